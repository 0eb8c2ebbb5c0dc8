//! What goes into the decision module's calls and what comes out of them.

use crate::clock::{Point, Span};
use std::collections::BTreeMap;
use std::sync::Arc;

/// One value of the settings that a controller is handed at its start.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Number(f64),
    Text(String),
    Flag(bool),
}

/// The settings: plain names to values, lists spelled out as `lanes.0.gain`, `lanes.1.gain` and so on.
pub type Sheet = BTreeMap<String, Value>;

/// The number of that name; none where it is missing or no number.
pub fn number(sheet: &Sheet, name: &str) -> Option<f64> {
    match sheet.get(name) {
        Some(Value::Number(n)) if n.is_finite() => Some(*n),
        _ => None,
    }
}

/// The same as a span of so many seconds; none at all where it is missing.
pub fn span(sheet: &Sheet, name: &str) -> Span {
    Span::of(number(sheet, name).unwrap_or(0.0))
}

pub fn text<'a>(sheet: &'a Sheet, name: &str) -> Option<&'a str> {
    match sheet.get(name) {
        Some(Value::Text(t)) => Some(t),
        _ => None,
    }
}

pub fn flag(sheet: &Sheet, name: &str) -> bool {
    sheet.get(name) == Some(&Value::Flag(true))
}

/// All numbers of a list.
pub fn row(sheet: &Sheet, name: &str) -> Vec<f64> {
    (0..).map_while(|i| number(sheet, &format!("{name}.{i}"))).collect()
}

/// A viewer's wish, as it is taken or handed over.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    pub id: u32,
    pub lane: &'a str,
    pub tenant: &'a str,
    pub title: &'a str,
    pub cut_off: Point,
    /// First of the cells that hold the title, and how many in a row do.
    pub home: usize,
    pub copies: usize,
    /// Highest rung that the viewer can use.
    pub top: usize,
    /// The viewer comes again, so this traffic was counted before.
    pub returned: bool,
    /// A guess of how long the viewer stays.
    pub length: Option<Span>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Ready,
    Draining,
    Gone,
}

/// One line of the list of streamers.
#[derive(Clone, Debug)]
pub struct Line {
    pub streamer: String,
    pub zone: String,
    pub kind: String,
    pub cell: usize,
    pub stage: Stage,
    pub weight: f64,
    /// Its last start; none when that is long ago.
    pub started: Option<Point>,
}

/// How a shot, or the stream that came of it, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Served,
    Errored,
    SentBack,
    TimedOut,
    NoConnection,
    Broken,
    Cancelled,
    NotSent,
    Unknown,
}

/// What a streamer said of its load; a part that it does not report is none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub streams: Option<f64>,
    /// Share of its link that is asked for.
    pub link: Option<f64>,
    /// The same of its rack's uplink.
    pub rack: Option<f64>,
}

impl Load {
    pub fn link(full: f64) -> Load {
        Load { link: Some(full), ..Load::default() }
    }

    pub fn rack(full: f64) -> Load {
        Load { rack: Some(full), ..Load::default() }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Shot {
    pub id: u32,
    pub streamer: Arc<str>,
    pub within: Span,
}

/// What the caller has to do after a call, list by list in this order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Results {
    /// Rungs to set, by subscription.
    pub rungs: Vec<(u32, usize)>,
    pub shots: Vec<Shot>,
    /// Subscriptions turned back, with the time after which the viewer should come again.
    pub turned_back: Vec<(u32, Option<Span>)>,
    pub scrapped: Vec<u32>,
    /// Playing subscriptions to end here; they come back to this controller as new wishes.
    pub moved: Vec<u32>,
    /// Streamers to look at; what comes back goes to `looked`.
    pub looks: Vec<Arc<str>>,
    /// Ask for the list's changes from now on; what comes goes to `learn`, a failure to `list_lost`.
    pub follow: bool,
    /// The moment at which `wake` wants to be called.
    pub wake: Option<Point>,
}

impl Results {
    pub fn clear(&mut self) {
        self.rungs.clear();
        self.shots.clear();
        self.turned_back.clear();
        self.scrapped.clear();
        self.moved.clear();
        self.looks.clear();
        self.follow = false;
        self.wake = None;
    }
}
