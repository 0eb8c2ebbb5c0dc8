//! The final answers that clients are owed. A request that is read from a client's connection becomes a `PendingReply`
//! in the same step. It passes from the connection to the dispatcher and back with the answer, and ends in one of two
//! ways: the answer is written to a live connection, or the client is proven gone. `Replies` tracks all open requests,
//! so that no connection is closed and no process ends before they are settled. A reply that is dropped on its way is
//! logged and recovered, and so is a request that is not answered by its deadline.

use crate::codec::{Body, Message};
use lemontide::clock::{Point, Span};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::OwnedSemaphorePermit;

/// A request that can't be used states no time of its own and is answered within this.
const UNUSABLE_ANSWER_TIMEOUT: Span = Span::of_millis(1000);

/// Why a client is owed no answer any more. The names are values of the log field `why`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// It cancelled the request on the connection of the request.
    Cancelled,
    /// It closed both halves of the connection, or reset it.
    Closed,
    /// It reads nothing of what is written to it.
    NotReading,
    /// It used the session number of an open request again on the same connection, which is closed: the client could
    /// not distinguish the two answers.
    NumberReused,
}

/// One open request.
#[derive(Debug)]
struct OpenRequest {
    connection_id: u64,
    session: u64,
    answer_due: Point,
    /// Its answer waits for the socket of its connection.
    is_queued: bool,
    /// Its `PendingReply` was dropped.
    is_dropped: bool,
    /// It was reported as overdue.
    is_overdue: bool,
}

#[derive(Debug, Default)]
struct OpenRequests {
    last_number: u64,
    open: BTreeMap<u64, OpenRequest>,
    open_count_by_connection: HashMap<u64, usize>,
    /// Connections whose client has closed them, that the dispatcher does not know of yet.
    closed_inputs: BTreeSet<u64>,
}

/// All open requests of a process. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Replies(Arc<Mutex<OpenRequests>>);

/// A message that was read on a client's connection.
#[derive(Debug)]
pub struct ReceivedMessage {
    /// The connection that it was read on.
    pub conn: u64,
    pub message: Message,
    /// When its last byte was read.
    pub read_at: Point,
    /// Set if it is a request.
    pub reply: Option<PendingReply>,
    /// The memory that it holds until it is decided, if it is long.
    pub memory: Option<OwnedSemaphorePermit>,
}

/// The duty to answer one request. It ends with `answered` or `client_gone`.
#[derive(Debug)]
#[must_use = "a registered request is owed one answer"]
pub struct PendingReply {
    /// None once it is settled.
    unsettled: Option<Box<OpenRequestKey>>,
}

/// The number of an open request, and where it is kept.
#[derive(Debug)]
struct OpenRequestKey {
    number: u64,
    replies: Replies,
}

/// Whether a client's message requires an answer.
fn is_request(body: &Body) -> bool {
    match body {
        Body::SetUp(set_up) => set_up.plays_at().is_none(),
        Body::Invalid(_) => true,
        _ => false,
    }
}

impl Replies {
    fn lock(&self) -> MutexGuard<'_, OpenRequests> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a message that was read on a client's connection. If it is a request, it is owed an answer from now
    /// on.
    pub fn register(&self, connection_id: u64, message: Message, read_at: Point) -> ReceivedMessage {
        let timeout = match &message.body {
            Body::SetUp(set_up) => Span::of(set_up.wait_ms as f64 / 1e3),
            _ => UNUSABLE_ANSWER_TIMEOUT,
        };
        let reply = is_request(&message.body)
            .then(|| self.open_reply(connection_id, message.session, read_at + timeout));
        ReceivedMessage { conn: connection_id, message, read_at, reply, memory: None }
    }

    fn open_reply(&self, connection_id: u64, session: u64, answer_due: Point) -> PendingReply {
        let mut requests = self.lock();
        requests.last_number += 1;
        let number = requests.last_number;
        requests.open.insert(
            number,
            OpenRequest {
                connection_id,
                session,
                answer_due,
                is_queued: false,
                is_dropped: false,
                is_overdue: false,
            },
        );
        *requests.open_count_by_connection.entry(connection_id).or_default() += 1;
        PendingReply::new(self, number)
    }

    /// Number of requests that are owed an answer.
    pub fn open_count(&self) -> usize {
        self.lock().open.len()
    }

    /// Number of those on one connection.
    pub fn open_count_on(&self, connection_id: u64) -> usize {
        self.lock().open_count_by_connection.get(&connection_id).copied().unwrap_or_default()
    }

    /// The session of one of them, if there are any.
    pub fn session_on(&self, connection_id: u64) -> Option<u64> {
        self.lock()
            .open
            .values()
            .find(|request| request.connection_id == connection_id)
            .map(|request| request.session)
    }

    /// The client of a connection has closed it, though messages that it sent before may not be handled yet. The
    /// dispatcher has to know at once: none of these is sent on.
    pub fn note_closed_input(&self, connection_id: u64) {
        self.lock().closed_inputs.insert(connection_id);
    }

    /// The connections that were closed since the last call.
    pub fn take_closed_inputs(&self) -> BTreeSet<u64> {
        std::mem::take(&mut self.lock().closed_inputs)
    }

    /// Connection and session of each request that was not answered by its deadline. Each is returned once.
    pub fn take_overdue(&self, now: Point) -> Vec<(u64, u64)> {
        let mut requests = self.lock();
        let is_late = |request: &&mut OpenRequest| {
            !request.is_queued && !request.is_dropped && !request.is_overdue && now >= request.answer_due
        };
        let take = |request: &mut OpenRequest| {
            request.is_overdue = true;
            (request.connection_id, request.session)
        };
        requests.open.values_mut().filter(is_late).map(take).collect()
    }

    /// The replies that were dropped, so that they can be answered after all.
    pub fn recover_dropped(&self) -> Vec<PendingReply> {
        let mut requests = self.lock();
        let dropped = requests.open.iter_mut().filter(|(_, request)| request.is_dropped);
        dropped
            .map(|(number, request)| {
                (request.is_dropped, request.is_queued) = (false, false);
                PendingReply::new(self, *number)
            })
            .collect()
    }
}

impl PendingReply {
    fn new(replies: &Replies, number: u64) -> PendingReply {
        PendingReply { unsettled: Some(Box::new(OpenRequestKey { number, replies: replies.clone() })) }
    }

    fn with_open<T: Default>(&self, access: impl FnOnce(&mut OpenRequest) -> T) -> T {
        let Some(key) = &self.unsettled else { return T::default() };
        key.replies.lock().open.get_mut(&key.number).map(access).unwrap_or_default()
    }

    /// The connection that the answer is sent on.
    pub fn conn(&self) -> u64 {
        self.with_open(|request| request.connection_id)
    }

    /// The session number of the request.
    pub fn session(&self) -> u64 {
        self.with_open(|request| request.session)
    }

    /// Sets the time by which the answer is due.
    pub fn set_answer_due(&self, answer_due: Point) {
        self.with_open(|request| (request.answer_due, request.is_overdue) = (answer_due, false));
    }

    /// The answer waits for the socket of the connection.
    pub fn mark_queued(&self) {
        self.with_open(|request| request.is_queued = true);
    }

    /// The answer was written to a live connection.
    pub fn answered(self) {
        self.settle();
    }

    /// The client has disconnected or cancelled the request.
    pub fn client_gone(self, why: Departure) {
        let (connection_id, session) = (self.conn(), self.session());
        tracing::debug!(target: "reply", session = format!("{session:016x}"), conn = connection_id, ?why, "request is owed no answer");
        self.settle();
    }

    fn settle(mut self) {
        let Some(key) = self.unsettled.take() else { return };
        let mut requests = key.replies.lock();
        let Some(request) = requests.open.remove(&key.number) else { return };
        let Some(count) = requests.open_count_by_connection.get_mut(&request.connection_id) else { return };
        *count -= 1;
        if *count == 0 {
            requests.open_count_by_connection.remove(&request.connection_id);
        }
    }
}

impl Drop for PendingReply {
    fn drop(&mut self) {
        if self.unsettled.is_none() {
            return;
        }
        let (connection_id, session) = (self.conn(), self.session());
        self.with_open(|request| request.is_dropped = true);
        tracing::error!(target: "reply", session = format!("{session:016x}"), conn = connection_id, "reply was dropped before it was settled");
    }
}
