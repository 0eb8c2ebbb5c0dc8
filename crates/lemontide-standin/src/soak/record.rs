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
    pub is_safe: bool,
    /// Latency goal and deadline, in seconds.
    pub goal: f64,
    pub deadline: f64,
}

pub const CLASSES: [Class; 2] = [
    Class { name: "proevelektion", is_safe: false, goal: 0.8, deadline: 3.0 },
    Class { name: "genafspil", is_safe: true, goal: 1.5, deadline: 5.0 },
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
    pub sent: f64,
    pub wait: f64,
    /// Its client sends it again under its number, which is its own fault: only the rule on duplicates holds for it.
    pub is_repeated: bool,
    /// It was the first on its connection.
    pub is_first: bool,
    /// The client cancelled it or closed its connection.
    pub left: Option<f64>,
    pub answers: Vec<(f64, Answer)>,
    /// The node closed its connection without an answer.
    pub closed: Option<f64>,
    /// It crossed that close and was sent once more.
    pub is_sent_again: bool,
    /// After it was served: its client heard that it is over, or ended it.
    pub over: Option<f64>,
}

/// How an attempt ended at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The server's refusal or failure was written; `ran` is false where it says that nothing ran.
    Answered { ran: bool },
    /// The session stood and is over.
    Stood,
    /// The node gave it up, and the server has read that.
    GivenUp,
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
    pub first_byte: f64,
    pub last_byte: f64,
    /// When it arrived whole at the server, behind the network.
    pub arrived: Option<f64>,
    /// The server's answer that the session stands was written to the socket.
    pub answered: Option<f64>,
    pub ended: Option<(f64, AttemptEnd)>,
    /// When the server's own release of what stood was written, and on which of its connections.
    pub release_written: Option<(f64, u64)>,
}

impl Attempt {
    /// Until when it is out: from its arriving whole until its end is written or it is given up.
    pub fn over(&self) -> f64 {
        let ended = self.ended.map(|(at, _)| at);
        self.answered.into_iter().chain(ended).fold(f64::INFINITY, f64::min)
    }

    /// Whether the server said that nothing of it ran, or never saw it.
    pub fn never_ran(&self) -> bool {
        self.arrived.is_none() || matches!(self.ended, Some((_, AttemptEnd::Answered { ran: false })))
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
pub struct ListEvent {
    pub at: f64,
    pub position: u64,
    pub server: usize,
    pub state: ListState,
    /// When each node was first written it on a connection, or started with it.
    pub written: Vec<Option<f64>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    Started,
    Ready,
    Terminate,
    Kill,
    Reconfigure,
    /// It ended by itself; true where nothing is wrong with that.
    Exited {
        well: bool,
    },
}

/// Discovery of one node could not be reached, or said nothing, for a while.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    pub node: usize,
    pub from: f64,
    pub until: f64,
    /// New connections tell at once: only the open ones fell silent.
    pub open_ones_only: bool,
}

/// A client that sent what can't be used.
#[derive(Clone, Debug)]
pub struct BadClient {
    pub node: usize,
    pub what: &'static str,
    pub connected: f64,
    /// A refusal, an error or a close came.
    pub heard: Option<f64>,
    pub was_served: bool,
    /// It waits for no word, as its node went meanwhile.
    pub is_void: bool,
}

/// Set-ups that a server takes from all nodes in every such window until it is warm; times in seconds since its start.
#[derive(Clone, Copy, Debug)]
pub struct ColdBudget {
    pub sends: f64,
    pub window: f64,
    pub span: f64,
}

impl ColdBudget {
    /// With the slack for chance: a server falls when it gets more.
    pub fn most(&self) -> f64 {
        self.sends + 2.0 * self.sends.sqrt() + 2.0
    }
}

#[derive(Default)]
pub struct Book {
    pub requests: Vec<Request>,
    pub by_id: HashMap<u64, usize>,
    pub attempts: Vec<Attempt>,
    /// What servers made, by session.
    pub made: HashMap<u64, Vec<String>>,
    pub list: Vec<ListEvent>,
    pub signals: Vec<(f64, usize, Signal)>,
    pub outages: Vec<Outage>,
    pub bad_clients: Vec<BadClient>,
    /// Breaches of memory or descriptor limits, as they were read.
    pub over_limit: Vec<(f64, usize, String)>,
    /// The longest that the stand-ins themselves were late, in seconds, and when.
    pub lateness: (f64, f64),
    /// Connections that clients closed, and when.
    pub client_closes: Vec<(f64, ClientConnection)>,
    /// Servers that died, and when.
    pub deaths: Vec<(f64, usize)>,
    pub cold_budget: Option<ColdBudget>,
}

impl Book {
    pub fn request(&mut self, id: u64) -> Option<&mut Request> {
        let at = *self.by_id.get(&id)?;
        self.requests.get_mut(at)
    }

    /// The last signal of a node before a moment that `which` picks.
    pub fn last_signal(&self, node: usize, before: f64, which: impl Fn(Signal) -> bool) -> Option<f64> {
        let of = |(at, of, signal): &&(f64, usize, Signal)| *of == node && *at <= before && which(*signal);
        self.signals.iter().rev().find(of).map(|(at, ..)| *at)
    }

    /// Whether a node was told to go, or went, after a moment.
    pub fn has_gone(&self, node: usize, after: f64) -> bool {
        let goes = |signal| matches!(signal, Signal::Kill | Signal::Terminate | Signal::Exited { .. });
        self.next_signal(node, after, goes).is_some()
    }

    /// The first such signal after a moment.
    pub fn next_signal(&self, node: usize, after: f64, which: impl Fn(Signal) -> bool) -> Option<f64> {
        let of = |(at, of, signal): &&(f64, usize, Signal)| *of == node && *at >= after && which(*signal);
        self.signals.iter().find(of).map(|(at, ..)| *at)
    }
}

/// The record of one run, shared by all stand-ins.
pub struct Record {
    start: Instant,
    pub started: SystemTime,
    book: Mutex<Book>,
}

impl Record {
    pub fn start() -> Record {
        Record { start: Instant::now(), started: SystemTime::now(), book: Mutex::default() }
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// The moment of the runtime's clock that is so many seconds after the start.
    pub fn instant(&self, at: f64) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + std::time::Duration::from_secs_f64(at.max(0.0)))
    }

    pub fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn signal(&self, node: usize, signal: Signal) {
        let now = self.now();
        self.book().signals.push((now, node, signal));
    }
}
