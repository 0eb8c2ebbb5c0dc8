//! The state that a controller keeps. The decisions made from it are in `control`.

use crate::clock::{Point, Span};
use crate::interface::{get_number, get_span, get_text, ControllerSettings};
use std::collections::VecDeque;
use std::sync::Arc;

#[derive(Default)]
pub struct Class {
    pub name: String,
    pub gain: f64,
    pub latency_goal: Span,
    /// Set up at most once: neither attempted again nor rejected unless no earlier attempt can have run.
    pub at_most_once: bool,
    pub min_rung: usize,
    pub max_rung: usize,
    pub rate_scale: f64,
    pub max_sessions_per_title: usize,
    pub is_live: bool,
}

impl Class {
    /// A class that the settings do not name, under the strictest rules.
    pub fn unconfigured(name: &str, top: usize) -> Class {
        let (name, goal) = (name.to_owned(), Span::of(1.0));
        Class {
            name,
            gain: 1.0,
            latency_goal: goal,
            at_most_once: true,
            max_rung: top,
            rate_scale: 1.0,
            ..Class::default()
        }
    }
}

/// The rates and gains of the rungs.
pub struct Ladder {
    /// What a further viewer adds to a stream that is shared, as a part of its rate; 1 where none is.
    pub shared_rate_part: f64,
    pub rates_kb_per_s: Vec<f64>,
    pub gains: Vec<f64>,
}

/// Requests for a list that is not pushed: when to request next, whether an answer is awaited, failures in a row.
#[derive(Default)]
pub struct ListPolling {
    pub next_request_at: Option<Point>,
    pub awaits_answer: bool,
    pub failures: u32,
}

pub struct Tenant {
    pub name: String,
    pub quota_per_s: f64,
    /// First tries counted here, fading over `TENANT_SPAN`; at first, as many as are due.
    pub request_count: Option<f64>,
    pub counted_at: Point,
}

/// The operators' settings; each is read where it is needed.
pub struct Policy {
    pub settings: ControllerSettings,
    pub started_at: Point,
    pub covered_turns: CoveredTurns,
}

/// Turns at cold streamers that this controller takes for missing ones: their numbers, and until when.
#[derive(Default)]
pub struct CoveredTurns {
    /// Another instance under the same number takes the own turns.
    pub own_turns_lost: bool,
    pub missing_controllers: Vec<u32>,
    pub until: Point,
}

impl Policy {
    pub fn number_or(&self, name: &str, fallback: f64) -> f64 {
        get_number(&self.settings, name).unwrap_or(fallback)
    }

    pub fn controller_count(&self) -> f64 {
        self.number_or("controllers", 1.0).max(1.0)
    }

    /// Streams that a kind of machine runs at most.
    pub fn max_streams(&self, kind: &str) -> f64 {
        let of = (0..).map_while(|i| Some((i, get_text(&self.settings, &format!("kinds.{i}"))?)));
        let of = of.filter(|(_, name)| *name == kind).last();
        of.map_or(f64::INFINITY, |(i, _)| self.number_or(&format!("kind_streams.{i}"), f64::INFINITY))
    }
}

/// Estimates for the whole fleet: the mean utilization of its links and, where reported, uplinks; the share of it
/// that reports; and the gain per kB that a step to a higher rung must earn.
#[derive(Default)]
pub struct FleetEstimate {
    pub mean_utilization: f64,
    pub mean_uplink_utilization: Option<f64>,
    pub reporting_share: f64,
    pub price_per_kb: Option<f64>,
    /// Own rates at the time that the present reports are of, and the part by which they grew since.
    pub own_rate_at_report: f64,
    pub growth_since_report: f64,
}

/// The streamers that hold a title, for the list revision and cells of `holders_key`, and the preferred one with
/// when it was chosen.
#[derive(Default)]
pub struct Title {
    pub holders: Vec<usize>,
    pub holders_key: (u64, usize, usize),
    pub last_requested: Point,
    pub preferred_holder: Option<(usize, Point)>,
}

#[derive(Default)]
pub struct Streamer {
    pub name: Arc<str>,
    pub rack: usize,
    pub cell: usize,
    pub is_near: bool,
    /// Other instances use it first.
    pub is_deferred: bool,
    pub is_ready: bool,
    /// Since when the list no longer names it.
    pub unlisted_since: Option<Point>,
    pub max_streams: f64,
    /// Last start: from the list, or the moment at which this controller saw it break.
    pub started_at: Option<Point>,
    pub link: LinkLoad,
    /// Reported streams plus own starts since, and when they were reported.
    pub streams: Option<f64>,
    pub streams_reported_at: Point,
    /// Own sessions there, set-ups included, and their rates.
    pub own_streams: f64,
    pub own_rate_kb: f64,
    /// When rungs here were last changed because of a report; older reports are not acted on again.
    pub last_adjusted: Point,
    /// When a probe of it last finished.
    pub last_probed: Point,
    pub failure_log_odds: f64,
    pub failure_log_odds_at: Point,
    /// Log odds of failure as other controllers report them, and when they did.
    pub peer_log_odds: f64,
    pub peer_log_odds_at: Point,
    pub full_until: Point,
    /// The last turn at this streamer while it was cold, and own sends in it.
    pub sends_in_turn: (i64, u32),
}

impl Streamer {
    pub fn is_cold(&self, rules: &Policy, now: Point) -> bool {
        // By a clock that is ahead it is warm too early.
        let apart = get_span(&rules.settings, "clocks.apart");
        self.started_at.is_some_and(|s| now - s < get_span(&rules.settings, "cold.span") + apart)
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum SessionState {
    Waiting,
    SettingUp,
    Playing,
    /// The viewer left while an attempt is outstanding: only its place is kept.
    Left,
}

pub struct Session {
    pub serial: u64,
    pub id: u32,
    pub class: usize,
    pub title: usize,
    pub gain: f64,
    pub min_rung: usize,
    pub max_rung: usize,
    pub deadline: Point,
    pub state: SessionState,
    pub rung: usize,
    pub streamer: usize,
    pub attempts: u32,
    pub probes: u32,
    pub may_have_run: bool,
    /// The outstanding attempt counts against its streamer already.
    pub failure_counted: bool,
    /// The streamer that returned this request's first error.
    pub first_error_at: Option<usize>,
    pub upgrade_not_before: Point,
    pub changed_at: Point,
}

/// A link or a rack's uplink: its capacity, its last reported utilization, and own changes of rate since then.
#[derive(Clone, Default)]
pub struct LinkLoad {
    pub capacity_kb: f64,
    pub reported_utilization: f64,
    pub reported_at: Option<Point>,
    own_changes: VecDeque<(Point, f64)>,
}

impl LinkLoad {
    pub fn with_capacity(kb: f64) -> LinkLoad {
        LinkLoad { capacity_kb: kb, ..LinkLoad::default() }
    }

    /// Reported utilization plus own changes since.
    pub fn utilization(&self) -> f64 {
        self.reported_utilization
            + self.own_changes.iter().map(|c| c.1).sum::<f64>() / self.capacity_kb.max(1e-9)
    }

    /// Records an own change and removes those from before `since`.
    pub fn record_change(&mut self, now: Point, kb: f64, since: Point) {
        self.own_changes.retain(|c| c.0 > since);
        self.own_changes.push_back((now, kb));
    }

    /// Applies a report of the moment `of` unless a later one is known; it moves the known value by `part`.
    pub fn apply_report(&mut self, of: Point, full: f64, part: f64) {
        let part = match self.reported_at {
            Some(told) if told > of => return,
            Some(_) => part,
            None => 1.0,
        };
        let past: f64 = self.own_changes.iter().filter(|c| c.0 <= of).map(|c| c.1).sum();
        let known = self.reported_utilization + past / self.capacity_kb.max(1e-9);
        self.reported_utilization = (known + part * (full - known)).max(0.0);
        self.reported_at = Some(of);
        self.own_changes.retain(|c| c.0 > of);
    }
}

impl Session {
    pub fn is_placed(&self) -> bool {
        self.state != SessionState::Waiting
    }

    pub fn is_playing_at(&self, at: usize) -> bool {
        self.state == SessionState::Playing && self.streamer == at
    }
}
