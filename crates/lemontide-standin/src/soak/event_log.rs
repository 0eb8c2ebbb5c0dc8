//! The event log of one run, as seen on the sockets: requests, attempts, list changes, process events. Times are
//! seconds since the start of the run. The stubs and clients write it; the invariants are checked on it when the run is
//! over.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Instant, SystemTime};

/// A class of requests, as the settings name it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    pub name: &'static str,
    /// Whether a request may be set up again without harm.
    pub is_idempotent: bool,
    /// The latency goal and the deadline.
    pub latency_goal_s: f64,
    pub deadline_s: f64,
}

/// The classes that clients use.
pub const CLASSES: [Class; 2] = [
    Class { name: "proevelektion", is_idempotent: false, latency_goal_s: 0.8, deadline_s: 3.0 },
    Class { name: "genafspil", is_idempotent: true, latency_goal_s: 1.5, deadline_s: 5.0 },
];

/// How a client's request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Answered with what a server made for this request.
    Served,
    /// Answered with something that no server made for it.
    ServedWrong,
    Refused,
    Failed,
}

/// A client's connection: its node, the client, and the number among the client's connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientConnection {
    pub node: usize,
    pub client: u64,
    pub number: u64,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: u64,
    pub class: Class,
    pub node: usize,
    /// The connection on which it was last sent.
    pub connection: ClientConnection,
    /// When its last byte was written, and how long its client waits for the answer.
    pub sent_at: f64,
    pub client_timeout_s: f64,
    /// Its client sends it again with the same id, which is the client's fault: only concurrent attempts are checked
    /// for it.
    pub reuses_id: bool,
    /// Whether it was the first on its connection.
    pub is_first_on_connection: bool,
    /// When the client cancelled it or closed its connection.
    pub left_at: Option<f64>,
    pub answers: Vec<(f64, Answer)>,
    /// When the node closed the connection without an answer.
    pub connection_closed_at: Option<f64>,
    /// Whether it was sent once more, as it crossed that close on the wire.
    pub is_resent: bool,
    /// When, after it was served, its client received a release or ended the session.
    pub ended_at: Option<f64>,
}

/// How an attempt ended at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The server's refusal or failure was written; `ran` is false if it states that nothing ran.
    Answered { ran: bool },
    /// The session was established and has ended.
    SessionEnded,
    /// The node gave it up, and the server has read its release or the end of the connection.
    Abandoned,
    /// Its connection was closed or its server died.
    ConnectionClosed,
}

/// A set-up that a node sent to a server.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: u64,
    pub server: usize,
    pub node: usize,
    pub class: String,
    /// When its first and last bytes were read from the node's socket.
    pub first_byte_at: f64,
    pub last_byte_at: f64,
    /// When it arrived completely at the server, after the simulated network delay.
    pub arrived_at: Option<f64>,
    /// When the server's answer that the session is established was written to the socket.
    pub answered_at: Option<f64>,
    pub ended: Option<(f64, AttemptEnd)>,
    /// When the server's own release of the established session was written, and on which of its connections.
    pub release_written: Option<(f64, u64)>,
}

impl Attempt {
    /// The end of the time in which the attempt is outstanding; it begins when the attempt has arrived and ends when
    /// its answer or end is written or it is given up.
    pub fn outstanding_until(&self) -> f64 {
        let ended = self.ended.map(|(at, _)| at);
        self.answered_at.into_iter().chain(ended).fold(f64::INFINITY, f64::min)
    }

    /// Whether the server stated that nothing of it ran, or never got it.
    pub fn never_ran(&self) -> bool {
        self.arrived_at.is_none() || matches!(self.ended, Some((_, AttemptEnd::Answered { ran: false })))
    }
}

/// The state of a server in the discovery list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    Ready,
    Draining,
    Gone,
}

/// A change of the discovery list.
#[derive(Clone, Debug)]
pub struct ListChange {
    pub at: f64,
    pub position: u64,
    pub server: usize,
    pub state: ListState,
    /// When the change was first written to each node on a connection, or the node was started with it.
    pub sent_to_node_at: Vec<Option<f64>>,
}

/// A signal to a node process, or a change of its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeEvent {
    Started,
    Ready,
    Terminate,
    Kill,
    Reconfigure,
    /// The process exited by itself, as a reaction to SIGTERM if expected.
    Exited {
        is_expected: bool,
    },
}

/// A time in which the discovery service of one node was unreachable or silent.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    pub node: usize,
    pub from: f64,
    pub until: f64,
    /// Only connections that were open became silent; new ones work at once.
    pub open_connections_only: bool,
}

/// A client that sent invalid input.
#[derive(Clone, Debug)]
pub struct FaultyClient {
    pub node: usize,
    pub input: &'static str,
    pub connected_at: f64,
    /// When a refusal, an error or a close arrived.
    pub responded_at: Option<f64>,
    pub was_served: bool,
    /// No response is required, as its node stopped meanwhile or the input could not be written.
    pub is_excused: bool,
}

/// The set-ups that a server takes from all nodes in each window while it is cold, that is for `cold_span_s` after its
/// start.
#[derive(Clone, Copy, Debug)]
pub struct ColdBudget {
    pub set_ups_per_window: f64,
    pub window_s: f64,
    pub cold_span_s: f64,
}

impl ColdBudget {
    /// The budget with a margin for random variation; a server that gets more is overloaded.
    pub fn max_set_ups(&self) -> f64 {
        self.set_ups_per_window + 2.0 * self.set_ups_per_window.sqrt() + 2.0
    }
}

/// All that was logged in a run.
#[derive(Default)]
pub struct EventLog {
    pub requests: Vec<Request>,
    pub request_index_by_id: HashMap<u64, usize>,
    pub attempts: Vec<Attempt>,
    /// The descriptions that servers answered with, by session.
    pub descriptions_by_session: HashMap<u64, Vec<String>>,
    pub list_changes: Vec<ListChange>,
    pub node_events: Vec<(f64, usize, NodeEvent)>,
    pub outages: Vec<Outage>,
    pub faulty_clients: Vec<FaultyClient>,
    /// Breaches of memory or descriptor limits: when, by which node, and the values read.
    pub limit_breaches: Vec<(f64, usize, String)>,
    /// The highest lateness of the test process itself in seconds, and when it occurred.
    pub max_lateness: (f64, f64),
    /// When clients closed connections, and which.
    pub client_closes: Vec<(f64, ClientConnection)>,
    /// When servers died, and which.
    pub server_crashes: Vec<(f64, usize)>,
    /// When another server, with a name of its own, took over the address of one that had died, and of which.
    pub successions: Vec<(f64, usize)>,
    pub cold_budget: Option<ColdBudget>,
}

impl EventLog {
    /// The number of servers that the address of a server had before the one at a time.
    pub fn predecessor_count(&self, server: usize, at: f64) -> usize {
        self.successions.iter().filter(|(since, of)| *of == server && *since <= at).count()
    }

    /// The request with this id.
    pub fn request(&mut self, id: u64) -> Option<&mut Request> {
        let at = *self.request_index_by_id.get(&id)?;
        self.requests.get_mut(at)
    }

    /// The time of the last event of a node, up to `before`, that `which` selects.
    pub fn last_node_event(
        &self,
        node: usize,
        before: f64,
        which: impl Fn(NodeEvent) -> bool,
    ) -> Option<f64> {
        let matches = |(at, of_node, event): &&(f64, usize, NodeEvent)| {
            *of_node == node && *at <= before && which(*event)
        };
        self.node_events.iter().rev().find(matches).map(|(at, ..)| *at)
    }

    /// Whether a node received SIGTERM, was killed or exited after a moment.
    pub fn stopped_after(&self, node: usize, after: f64) -> bool {
        let stops =
            |event| matches!(event, NodeEvent::Kill | NodeEvent::Terminate | NodeEvent::Exited { .. });
        self.next_node_event(node, after, stops).is_some()
    }

    /// The time of the first event of a node, from `after` on, that `which` selects.
    pub fn next_node_event(&self, node: usize, after: f64, which: impl Fn(NodeEvent) -> bool) -> Option<f64> {
        let matches = |(at, of_node, event): &&(f64, usize, NodeEvent)| {
            *of_node == node && *at >= after && which(*event)
        };
        self.node_events.iter().find(matches).map(|(at, ..)| *at)
    }
}

/// The clock and the event log of one run, shared by all stubs and clients.
pub struct Recorder {
    start: Instant,
    pub started: SystemTime,
    event_log: Mutex<EventLog>,
}

impl Recorder {
    /// Starts the clock of a run.
    pub fn start() -> Recorder {
        Recorder { start: Instant::now(), started: SystemTime::now(), event_log: Mutex::default() }
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// The instant of the runtime's clock at this many seconds since the start of the run.
    pub fn instant(&self, at: f64) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + std::time::Duration::from_secs_f64(at.max(0.0)))
    }

    /// Locks the event log.
    pub fn event_log(&self) -> MutexGuard<'_, EventLog> {
        self.event_log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Logs an event of a node at the current time.
    pub fn record_node_event(&self, node: usize, event: NodeEvent) {
        let now = self.now();
        self.event_log().node_events.push((now, node, event));
    }
}
