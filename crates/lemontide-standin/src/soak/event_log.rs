//! What crossed the sockets in one run: requests, attempts, changes of the list, signals. Times are seconds since the
//! start of the run. Everything is written here by the stand-ins; the judge reads it when the run is over.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Instant, SystemTime};

/// A class of requests, as the settings name it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    pub name: &'static str,
    /// It may be set up again without harm.
    pub is_idempotent: bool,
    /// Latency goal and deadline, in seconds.
    pub latency_goal_s: f64,
    pub deadline_s: f64,
}

pub const CLASSES: [Class; 2] = [
    Class { name: "proevelektion", is_idempotent: false, latency_goal_s: 0.8, deadline_s: 3.0 },
    Class { name: "genafspil", is_idempotent: true, latency_goal_s: 1.5, deadline_s: 5.0 },
];

/// How a client's request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// With what a server made for this request.
    Served,
    /// With something that no server made for it.
    ServedWrong,
    Refused,
    Failed,
}

/// A client's connection: its node, the client, and which of its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientConnection {
    pub node: usize,
    pub client: u64,
    pub number: u64,
}

#[derive(Clone, Debug)]
pub struct Request {
    pub id: u64,
    pub class: Class,
    pub node: usize,
    /// The connection that it was last sent on.
    pub connection: ClientConnection,
    /// When its last byte was written, and how long the client waits.
    pub sent_at: f64,
    pub client_timeout_s: f64,
    /// Its client sends it again under its number, which is its own fault: only the rule on duplicates holds for it.
    pub reuses_id: bool,
    /// It was the first on its connection.
    pub is_first_on_connection: bool,
    /// The client cancelled it or closed its connection.
    pub left_at: Option<f64>,
    pub answers: Vec<(f64, Answer)>,
    /// The node closed its connection without an answer.
    pub connection_closed_at: Option<f64>,
    /// It crossed that close and was sent once more.
    pub is_resent: bool,
    /// After it was served: its client heard that it is over, or ended it.
    pub ended_at: Option<f64>,
}

/// How an attempt ended at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The server's refusal or failure was written; `ran` is false where it says that nothing ran.
    Answered { ran: bool },
    /// The session stood and is over.
    SessionEnded,
    /// The node gave it up, and the server has read that.
    Abandoned,
    /// Its connection closed or its server died.
    ConnectionClosed,
}

#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: u64,
    pub server: usize,
    pub node: usize,
    pub class: String,
    /// When its first and last bytes came from the node.
    pub first_byte_at: f64,
    pub last_byte_at: f64,
    /// When it arrived whole at the server, behind the network.
    pub arrived_at: Option<f64>,
    /// The server's answer that the session stands was written to the socket.
    pub answered_at: Option<f64>,
    pub ended: Option<(f64, AttemptEnd)>,
    /// When the server's own release of what stood was written, and on which of its connections.
    pub release_written: Option<(f64, u64)>,
}

impl Attempt {
    /// Until when it is out: from its arriving whole until its end is written or it is given up.
    pub fn outstanding_until(&self) -> f64 {
        let ended = self.ended.map(|(at, _)| at);
        self.answered_at.into_iter().chain(ended).fold(f64::INFINITY, f64::min)
    }

    /// Whether the server said that nothing of it ran, or never saw it.
    pub fn never_ran(&self) -> bool {
        self.arrived_at.is_none() || matches!(self.ended, Some((_, AttemptEnd::Answered { ran: false })))
    }
}

/// A server's state in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug)]
pub struct ListChange {
    pub at: f64,
    pub position: u64,
    pub server: usize,
    pub state: ListState,
    /// When each node was first written it on a connection, or started with it.
    pub sent_to_node_at: Vec<Option<f64>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeEvent {
    Started,
    Ready,
    Terminate,
    Kill,
    Reconfigure,
    /// It ended by itself; true where nothing is wrong with that.
    Exited {
        is_expected: bool,
    },
}

/// Discovery of one node could not be reached, or said nothing, for a while.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    pub node: usize,
    pub from: f64,
    pub until: f64,
    /// New connections tell at once: only the open ones fell silent.
    pub open_connections_only: bool,
}

/// A client that sent what can't be used.
#[derive(Clone, Debug)]
pub struct FaultyClient {
    pub node: usize,
    pub input: &'static str,
    pub connected_at: f64,
    /// A refusal, an error or a close came.
    pub responded_at: Option<f64>,
    pub was_served: bool,
    /// It waits for no word, as its node went meanwhile.
    pub is_excused: bool,
}

/// Set-ups that a server takes from all nodes in every such window until it is warm; times in seconds since its start.
#[derive(Clone, Copy, Debug)]
pub struct ColdBudget {
    pub set_ups_per_window: f64,
    pub window_s: f64,
    pub cold_span_s: f64,
}

impl ColdBudget {
    /// With the slack for chance: a server falls when it gets more.
    pub fn max_set_ups(&self) -> f64 {
        self.set_ups_per_window + 2.0 * self.set_ups_per_window.sqrt() + 2.0
    }
}

#[derive(Default)]
pub struct EventLog {
    pub requests: Vec<Request>,
    pub request_index_by_id: HashMap<u64, usize>,
    pub attempts: Vec<Attempt>,
    /// What servers made, by session.
    pub descriptions_by_session: HashMap<u64, Vec<String>>,
    pub list_changes: Vec<ListChange>,
    pub node_events: Vec<(f64, usize, NodeEvent)>,
    pub outages: Vec<Outage>,
    pub faulty_clients: Vec<FaultyClient>,
    /// Breaches of memory or descriptor limits, as they were read.
    pub limit_breaches: Vec<(f64, usize, String)>,
    /// The longest that the stand-ins themselves were late, in seconds, and when.
    pub max_lateness: (f64, f64),
    /// Connections that clients closed, and when.
    pub client_closes: Vec<(f64, ClientConnection)>,
    /// Servers that died, and when.
    pub server_crashes: Vec<(f64, usize)>,
    pub cold_budget: Option<ColdBudget>,
}

impl EventLog {
    pub fn request(&mut self, id: u64) -> Option<&mut Request> {
        let at = *self.request_index_by_id.get(&id)?;
        self.requests.get_mut(at)
    }

    /// The last signal of a node before a moment that `which` picks.
    pub fn last_node_event(
        &self,
        node: usize,
        before: f64,
        which: impl Fn(NodeEvent) -> bool,
    ) -> Option<f64> {
        let of = |(at, of, signal): &&(f64, usize, NodeEvent)| *of == node && *at <= before && which(*signal);
        self.node_events.iter().rev().find(of).map(|(at, ..)| *at)
    }

    /// Whether a node was told to go, or went, after a moment.
    pub fn stopped_after(&self, node: usize, after: f64) -> bool {
        let goes =
            |signal| matches!(signal, NodeEvent::Kill | NodeEvent::Terminate | NodeEvent::Exited { .. });
        self.next_node_event(node, after, goes).is_some()
    }

    /// The first such signal after a moment.
    pub fn next_node_event(&self, node: usize, after: f64, which: impl Fn(NodeEvent) -> bool) -> Option<f64> {
        let of = |(at, of, signal): &&(f64, usize, NodeEvent)| *of == node && *at >= after && which(*signal);
        self.node_events.iter().find(of).map(|(at, ..)| *at)
    }
}

/// The record of one run, shared by all stand-ins.
pub struct Recorder {
    start: Instant,
    pub started: SystemTime,
    event_log: Mutex<EventLog>,
}

impl Recorder {
    pub fn start() -> Recorder {
        Recorder { start: Instant::now(), started: SystemTime::now(), event_log: Mutex::default() }
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// The moment of the runtime's clock that is so many seconds after the start.
    pub fn instant(&self, at: f64) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + std::time::Duration::from_secs_f64(at.max(0.0)))
    }

    pub fn event_log(&self) -> MutexGuard<'_, EventLog> {
        self.event_log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn record_node_event(&self, node: usize, signal: NodeEvent) {
        let now = self.now();
        self.event_log().node_events.push((now, node, signal));
    }
}
