//! The records that a controller keeps: plain bookkeeping, every judgement of it is in `control`.

use crate::clock::{Point, Span};
use crate::interface::{get_number, get_span, get_text, ControllerSettings};
use std::collections::VecDeque;
use std::sync::Arc;

#[derive(Default)]
pub struct Lane {
    pub name: String,
    pub gain: f64,
    pub goal: Span,
    /// Set up once: neither shot again nor turned back unless no earlier shot can have run.
    pub paid: bool,
    pub floor: usize,
    pub top: usize,
    pub scale: f64,
    pub seats: usize,
    pub live: bool,
}

impl Lane {
    /// A lane that the settings never named, on the strictest terms.
    pub fn unnamed(name: &str, top: usize) -> Lane {
        let (name, goal) = (name.to_owned(), Span::of(1.0));
        Lane { name, gain: 1.0, goal, paid: true, top, scale: 1.0, ..Lane::default() }
    }
}

/// The rates and gains of the rungs.
pub struct Ladder {
    /// What a further viewer adds to a stream that is shared, as a part of its rate; 1 where none is.
    pub join: f64,
    pub kb: Vec<f64>,
    pub gain: Vec<f64>,
}

/// A list that comes only when asked for: when to ask next, whether an answer is awaited, failures in a row.
#[derive(Default)]
pub struct Asking {
    pub due: Option<Point>,
    pub awaited: bool,
    pub failures: u32,
}

pub struct Tenant {
    pub name: String,
    pub quota_per_s: f64,
    /// First tries counted here, fading over `TENANT_SPAN`; at first, as many as are due.
    pub count: Option<f64>,
    pub counted: Point,
}

/// What the operators state and allow; each rule is read where it is needed.
pub struct HouseRules {
    pub sheet: ControllerSettings,
    pub born: Point,
    pub turns: Turns,
}

/// Turns at fresh streamers beside the own ones: the numbers that they belong to, and until when they are taken.
#[derive(Default)]
pub struct Turns {
    /// The own turns are lost to another instance under the same number.
    pub lost: bool,
    pub missing: Vec<u32>,
    pub until: Point,
}

impl HouseRules {
    pub fn number_or(&self, name: &str, fallback: f64) -> f64 {
        get_number(&self.sheet, name).unwrap_or(fallback)
    }

    pub fn controllers(&self) -> f64 {
        self.number_or("controllers", 1.0).max(1.0)
    }

    /// Streams that a kind of machine runs at most.
    pub fn places(&self, kind: &str) -> f64 {
        let of = (0..).map_while(|i| Some((i, get_text(&self.sheet, &format!("kinds.{i}"))?)));
        let of = of.filter(|(_, name)| *name == kind).last();
        of.map_or(f64::INFINITY, |(i, _)| self.number_or(&format!("kind_streams.{i}"), f64::INFINITY))
    }
}

/// What is known of the whole fleet: the mean fullness of its links and, where told of, uplinks; the part
/// that is heard from; and the gain per kB that a step must earn.
#[derive(Default)]
pub struct Fleet {
    pub mean_full: f64,
    pub mean_uplink: Option<f64>,
    pub heard: f64,
    pub price: Option<f64>,
    /// Own rates as they were when the news in hand was true, and the part by which they grew since.
    pub past: f64,
    pub growth: f64,
}

/// The streamers that hold a title, for that state of the list and those cells, and the kept one with when it
/// was chosen.
#[derive(Default)]
pub struct Title {
    pub holders: Vec<usize>,
    pub of: (u64, usize, usize),
    pub asked: Point,
    pub kept: Option<(usize, Point)>,
}

#[derive(Default)]
pub struct Streamer {
    pub name: Arc<str>,
    pub rack: usize,
    pub cell: usize,
    pub near: bool,
    /// Other instances use it first.
    pub later: bool,
    pub ready: bool,
    /// Since when the list no longer names it.
    pub gone: Option<Point>,
    pub places: f64,
    /// Last start: from the list, or the moment at which this controller saw it break.
    pub started: Option<Point>,
    pub link: Pipe,
    /// Streams there as told, with own starts since, and when that was told.
    pub streams: Option<f64>,
    pub counted: Point,
    /// Own subscriptions there, set-ups included, and their rates.
    pub own_count: f64,
    pub own_kb: f64,
    /// When its news was last answered by steps or climbs: what is older is not answered again.
    pub acted: Point,
    /// When a look at it last came back.
    pub looked: Point,
    pub odds: f64,
    pub odds_at: Point,
    /// What others say of it, as log odds, and when they said it.
    pub hearsay: f64,
    pub hearsay_at: Point,
    pub full_until: Point,
    /// The last turn at this streamer while it was cold, and own sends in it.
    pub turn: (i64, u32),
}

impl Streamer {
    pub fn is_cold(&self, rules: &HouseRules, now: Point) -> bool {
        // By a clock that is ahead it is warm too early.
        let apart = get_span(&rules.sheet, "clocks.apart");
        self.started.is_some_and(|s| now - s < get_span(&rules.sheet, "cold.span") + apart)
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum State {
    Waiting,
    SettingUp,
    Playing,
    /// The viewer left while a shot is out: it keeps its seat, no more.
    Left,
}

pub struct Subscription {
    pub serial: u64,
    pub id: u32,
    pub lane: usize,
    pub title: usize,
    pub gain: f64,
    pub floor: usize,
    pub top: usize,
    pub cut_off: Point,
    pub state: State,
    pub rung: usize,
    pub streamer: usize,
    pub shots: u32,
    pub looks: u32,
    pub may_have_run: bool,
    /// The shot that is out counts against its streamer already.
    pub counted: bool,
    /// The streamer whose error was this wish's first.
    pub blamed: Option<usize>,
    pub climb_at: Point,
    pub changed: Point,
}

/// A link or a rack's uplink: its size, its fullness as last told, and own changes of rate since that moment.
#[derive(Clone, Default)]
pub struct Pipe {
    pub kb: f64,
    pub full: f64,
    pub told: Option<Point>,
    ledger: VecDeque<(Point, f64)>,
}

impl Pipe {
    pub fn of_size(kb: f64) -> Pipe {
        Pipe { kb, ..Pipe::default() }
    }

    /// Fullness as told, and own changes since.
    pub fn fullness(&self) -> f64 {
        self.full + self.ledger.iter().map(|c| c.1).sum::<f64>() / self.kb.max(1e-9)
    }

    /// Enters an own change and forgets what is from before `since`.
    pub fn book(&mut self, now: Point, kb: f64, since: Point) {
        self.ledger.retain(|c| c.0 > since);
        self.ledger.push_back((now, kb));
    }

    /// Takes in what was told of a moment, unless later news is there; it moves what is known by a part.
    pub fn tell(&mut self, of: Point, full: f64, part: f64) {
        let part = match self.told {
            Some(told) if told > of => return,
            Some(_) => part,
            None => 1.0,
        };
        let past: f64 = self.ledger.iter().filter(|c| c.0 <= of).map(|c| c.1).sum();
        let known = self.full + past / self.kb.max(1e-9);
        self.full = (known + part * (full - known)).max(0.0);
        self.told = Some(of);
        self.ledger.retain(|c| c.0 > of);
    }
}

impl Subscription {
    pub fn seated(&self) -> bool {
        self.state != State::Waiting
    }

    pub fn plays_at(&self, at: usize) -> bool {
        self.state == State::Playing && self.streamer == at
    }
}
