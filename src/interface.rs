//! Types of the calls of the decision module `control`: settings, requests, reports, and the actions to carry out.

use crate::clock::{Point, Span};
use std::collections::BTreeMap;
use std::sync::Arc;

/// One value of the settings of a controller.
#[derive(Clone, Debug, PartialEq)]
pub enum SettingValue {
    Number(f64),
    Text(String),
    Flag(bool),
}

/// The settings of a controller: flat names with their values. Lists have a name for each element, as `lanes.0.gain`,
/// `lanes.1.gain` and so on.
pub type ControllerSettings = BTreeMap<String, SettingValue>;

/// The number of that name; none where it is missing or not a finite number.
pub fn get_number(settings: &ControllerSettings, name: &str) -> Option<f64> {
    match settings.get(name) {
        Some(SettingValue::Number(n)) if n.is_finite() => Some(*n),
        _ => None,
    }
}

/// The same as a duration of so many seconds; zero where it is missing.
pub fn get_span(settings: &ControllerSettings, name: &str) -> Span {
    Span::of(get_number(settings, name).unwrap_or(0.0))
}

/// The text of that name; none where it is missing or no text.
pub fn get_text<'a>(settings: &'a ControllerSettings, name: &str) -> Option<&'a str> {
    match settings.get(name) {
        Some(SettingValue::Text(t)) => Some(t),
        _ => None,
    }
}

/// The flag of that name; false where it is missing or no flag.
pub fn get_flag(settings: &ControllerSettings, name: &str) -> bool {
    settings.get(name) == Some(&SettingValue::Flag(true))
}

/// All numbers of the list of that name.
pub fn get_numbers(settings: &ControllerSettings, name: &str) -> Vec<f64> {
    (0..).map_while(|i| get_number(settings, &format!("{name}.{i}"))).collect()
}

/// A viewer's request, new or of a session that is taken over.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    pub id: u32,
    pub class: &'a str,
    pub tenant: &'a str,
    pub title: &'a str,
    pub deadline: Point,
    /// First of the cells that hold the title, and how many in a row do.
    pub first_cell: usize,
    pub replicas: usize,
    /// Highest rung that the viewer can use.
    pub max_rung: usize,
    /// The viewer repeats a request, which was counted before.
    pub is_retry: bool,
    /// An estimate of how long the viewer stays.
    pub expected_duration: Option<Span>,
}

/// State of a streamer on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamerState {
    /// It accepts new sessions.
    Ready,
    /// It keeps its sessions and gets no new ones.
    Draining,
    /// It is no longer on the list.
    Gone,
}

/// One entry of the list of streamers.
#[derive(Clone, Debug)]
pub struct StreamerEntry {
    pub streamer: String,
    pub zone: String,
    pub kind: String,
    pub cell: usize,
    pub state: StreamerState,
    /// Capacity of its link, in a unit given by the settings.
    pub weight: f64,
    /// Its last start; none when that is long ago.
    pub started_at: Option<Point>,
}

/// How an attempt, or the stream that it started, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The stream ran to its end.
    Served,
    /// The streamer answered with an error.
    Errored,
    /// The streamer refused it without starting anything.
    Refused,
    /// No answer came within the timeout.
    TimedOut,
    /// There was no connection, so nothing was sent.
    NoConnection,
    /// The connection broke after the attempt was sent.
    ConnectionLost,
    /// It was cancelled, as when the viewer leaves.
    Cancelled,
    /// It was dropped before it was sent.
    NotSent,
    /// Nothing is known of how it ended.
    Unknown,
}

/// The load that a streamer reported; `None` for what it does not report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Streams that it runs.
    pub streams: Option<f64>,
    /// Demand on its link as a share of the link's capacity; above 1 when overloaded.
    pub link_utilization: Option<f64>,
    /// The same for its rack's uplink.
    pub uplink_utilization: Option<f64>,
}

impl Load {
    /// A report of the link alone.
    pub fn of_link(utilization: f64) -> Load {
        Load { link_utilization: Some(utilization), ..Load::default() }
    }

    /// A report of the rack's uplink alone.
    pub fn of_uplink(utilization: f64) -> Load {
        Load { uplink_utilization: Some(utilization), ..Load::default() }
    }
}

/// An attempt to start: the session's stream at this streamer.
#[derive(Clone, Debug, PartialEq)]
pub struct NewAttempt {
    pub session: u32,
    pub streamer: Arc<str>,
    pub timeout: Span,
}

/// What the caller has to do after a call, list by list in this order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Actions {
    /// Rungs to set, by session.
    pub rung_changes: Vec<(u32, usize)>,
    pub attempts: Vec<NewAttempt>,
    /// Rejected sessions, with the time after which the viewer should retry.
    pub rejected: Vec<(u32, Option<Span>)>,
    /// Sessions that failed: they are neither attempted again nor rejected, as an attempt may have run.
    pub failed: Vec<u32>,
    /// Playing sessions to end here; their viewers then send new requests to this controller.
    pub moved: Vec<u32>,
    /// Streamers to probe; the result goes to `probe_finished`.
    pub probes: Vec<Arc<str>>,
    /// Request the list and its changes from now on; they go to `update_list`, a failure to `list_unavailable`.
    pub request_list: bool,
    /// When to call `tick` next.
    pub next_tick: Option<Point>,
}

impl Actions {
    /// Empties all lists, once the caller has carried them out.
    pub fn clear(&mut self) {
        self.rung_changes.clear();
        self.attempts.clear();
        self.rejected.clear();
        self.failed.clear();
        self.moved.clear();
        self.probes.clear();
        self.request_list = false;
        self.next_tick = None;
    }
}
