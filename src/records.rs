//! The state that a controller keeps. The decisions made from it are in `control`.

use crate::clock::{Point, Span};
use crate::interface::{get_number, get_span, get_text, ControllerSettings};
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// The rules of one class of requests.
#[derive(Default)]
pub struct Class {
    pub name: String,
    pub gain: f64,
    pub latency_goal: Span,
    /// Set up at most once: neither attempted again nor rejected unless no earlier attempt can have run.
    pub at_most_once: bool,
    pub min_rung: usize,
    pub max_rung: usize,
    /// Factor on the rates of the ladder.
    pub rate_scale: f64,
    /// Most sessions of one title at a time on this controller; 0 for no limit.
    pub max_sessions_per_title: usize,
    /// Viewers of the same title can share a stream.
    pub is_live: bool,
}

impl Class {
    /// A class that the settings do not name, under the strictest rules.
    pub fn unconfigured(name: &str, max_rung: usize) -> Class {
        Class {
            name: name.to_owned(),
            gain: 1.0,
            latency_goal: Span::of(1.0),
            at_most_once: true,
            max_rung,
            rate_scale: 1.0,
            ..Class::default()
        }
    }
}

/// The rates and gains of the rungs.
pub struct Ladder {
    /// What a further viewer adds to a shared stream, as a part of its rate; 1 where streams are not shared.
    pub shared_rate_part: f64,
    pub rates_kb_per_s: Vec<f64>,
    pub gains: Vec<f64>,
}

/// Requests for the list of streamers, where it is not pushed.
#[derive(Default)]
pub struct ListPolling {
    pub next_request_at: Option<Point>,
    pub awaits_answer: bool,
    /// Failures in a row.
    pub failures: u32,
}

/// A tenant, its quota over all controllers, and its requests to this one.
pub struct Tenant {
    pub name: String,
    pub quota_per_s: f64,
    /// Count of its requests except repeated ones, which decays over `TENANT_COUNT_DECAY_S`; `None` means as many
    /// as its quota allows.
    pub request_count: Option<f64>,
    pub counted_at: Point,
}

/// The operators' settings, each read where it is needed, and what else the rules depend on.
pub struct Policy {
    pub settings: ControllerSettings,
    pub started_at: Point,
    pub covered_turns: CoveredTurns,
}

/// Turns at cold streamers that this controller takes in place of missing ones.
#[derive(Default)]
pub struct CoveredTurns {
    /// This controller does not take its own turns, as another instance runs under the same number.
    pub own_turns_lost: bool,
    /// Numbers of the missing controllers.
    pub missing_controllers: Vec<u32>,
    pub until: Point,
}

impl Policy {
    /// The number under this key, or `fallback` where it is missing.
    pub fn number_or(&self, name: &str, fallback: f64) -> f64 {
        get_number(&self.settings, name).unwrap_or(fallback)
    }

    /// Number of controllers of the whole fleet, this one included.
    pub fn controller_count(&self) -> f64 {
        self.number_or("controllers", 1.0).max(1.0)
    }

    /// Most streams on a machine of this kind.
    pub fn max_streams(&self, kind: &str) -> f64 {
        let kinds = (0..).map_while(|i| Some((i, get_text(&self.settings, &format!("kinds.{i}"))?)));
        let found = kinds.filter(|(_, name)| *name == kind).last();
        found.map_or(f64::INFINITY, |(i, _)| self.number_or(&format!("kind_streams.{i}"), f64::INFINITY))
    }
}

/// Estimates for the whole fleet.
#[derive(Default)]
pub struct FleetEstimate {
    /// Mean utilization of the links, and of the uplinks where they are reported.
    pub mean_utilization: f64,
    pub mean_uplink_utilization: Option<f64>,
    /// Share of the links, by capacity, with a recent report.
    pub reporting_share: f64,
    /// Gain per kB that a step to a higher rung must earn.
    pub price_per_kb: Option<f64>,
    /// Sum of own rates, in kB a second, at the moment of which the present reports are, and its relative growth
    /// since.
    pub own_rate_at_report: f64,
    pub growth_since_report: f64,
}

/// Stands for the name of a title. Names are as long as clients choose, and a key is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TitleKey(u64, u64);

impl TitleKey {
    /// The key of the title with this name: two hashes, so that names with the same key are not found by chance.
    pub fn of(name: &str) -> TitleKey {
        let hash = |salt: u8| {
            let mut hasher = DefaultHasher::new();
            (salt, name).hash(&mut hasher);
            hasher.finish()
        };
        TitleKey(hash(0), hash(1))
    }
}

/// A title, with the streamers that hold it.
#[derive(Default)]
pub struct Title {
    pub holders: Vec<usize>,
    /// First cell and number of cells that hold it, as the last request states them.
    pub cells: (usize, usize),
    /// List revision for which `holders` is valid, if there is one.
    pub holders_revision: Option<u64>,
    pub last_requested: Point,
    /// The holder of its last attempt, and when that was.
    pub preferred_holder: Option<(usize, Point)>,
}

/// What is known of one streamer.
#[derive(Default)]
pub struct Streamer {
    pub name: Arc<str>,
    pub rack: usize,
    pub cell: usize,
    /// In the own zone, or crossing zones costs nothing.
    pub is_near: bool,
    /// Other instances use it first, where holders are nearly equal.
    pub is_deferred: bool,
    pub is_ready: bool,
    /// Since when it is no longer on the list.
    pub unlisted_since: Option<Point>,
    pub max_streams: f64,
    /// Last start: from the list, or the moment at which this controller lost a playing stream there.
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
    /// After a refusal it gets no attempts until then.
    pub full_until: Point,
    /// The turn of the last own send (see `turn_allows_send`), and own sends in it.
    pub sends_in_turn: (i64, u32),
}

impl Streamer {
    /// Whether it started so recently that it can't serve its full load yet.
    pub fn is_cold(&self, policy: &Policy, now: Point) -> bool {
        // Without this allowance its warm-up would end too early by a clock that is ahead.
        let max_clock_skew = get_span(&policy.settings, "clocks.apart");
        self.started_at.is_some_and(|started_at| {
            now - started_at < get_span(&policy.settings, "cold.span") + max_clock_skew
        })
    }
}

/// Where a session is between its request and its end.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum SessionState {
    /// No attempt is outstanding.
    Waiting,
    /// An attempt is outstanding.
    SettingUp,
    Playing,
    /// The viewer left while an attempt is outstanding: only its place is kept.
    Left,
}

/// One session, from its request until its final answer or the end of its stream.
pub struct Session {
    /// Distinguishes it from a later session in the same slot.
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
    /// An earlier attempt reached a streamer, or may have.
    pub may_have_run: bool,
    /// The outstanding attempt counts against its streamer already.
    pub failure_counted: bool,
    /// The streamer of the first error; `usize::MAX` from the second on.
    pub first_error_streamer: Option<usize>,
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
    /// A link without reports.
    pub fn with_capacity(kb: f64) -> LinkLoad {
        LinkLoad { capacity_kb: kb, ..LinkLoad::default() }
    }

    /// Reported utilization plus own changes since.
    pub fn utilization(&self) -> f64 {
        self.reported_utilization
            + self.own_changes.iter().map(|c| c.1).sum::<f64>() / self.capacity_kb.max(1e-9)
    }

    /// Records an own change and removes those up to `keep_after`.
    pub fn record_change(&mut self, now: Point, kb: f64, keep_after: Point) {
        self.own_changes.retain(|c| c.0 > keep_after);
        self.own_changes.push_back((now, kb));
    }

    /// Applies a report measured at that moment, unless a later one is known. It moves the known value by `weight`,
    /// and replaces it where there is none.
    pub fn apply_report(&mut self, measured_at: Point, utilization: f64, weight: f64) {
        let weight = match self.reported_at {
            Some(reported_at) if reported_at > measured_at => return,
            Some(_) => weight,
            None => 1.0,
        };
        let included_kb: f64 = self.own_changes.iter().filter(|c| c.0 <= measured_at).map(|c| c.1).sum();
        let known = self.reported_utilization + included_kb / self.capacity_kb.max(1e-9);
        self.reported_utilization = (known + weight * (utilization - known)).max(0.0);
        self.reported_at = Some(measured_at);
        self.own_changes.retain(|c| c.0 > measured_at);
    }
}

impl Session {
    /// Whether it has an outstanding attempt or a stream, also one whose viewer left.
    pub fn is_placed(&self) -> bool {
        self.state != SessionState::Waiting
    }

    /// Whether it plays at this streamer.
    pub fn is_playing_at(&self, streamer_index: usize) -> bool {
        self.state == SessionState::Playing && self.streamer == streamer_index
    }
}
