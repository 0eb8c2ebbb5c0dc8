//! The final answers that clients are owed. A request that is read from a client's connection becomes a `PendingReply`
//! in the same step. It passes from the connection to the dispatcher and back with the answer, and ends in one of
//! two ways: the answer is written to a live connection, or the client is proven gone. `Replies` knows all that are
//! open, so that a connection is not closed and a process does not end before them. One that is dropped on its way, or
//! is not answered by its cut-off, is logged and recovered.

use crate::codec::{Body, Message};
use lemontide::clock::{Point, Span};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A request that can't be used has no time of its own and is answered within this.
const UNUSABLE_WITHIN: Span = Span::of_millis(1000);

/// Why a client is owed no answer any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// It cancelled the request on the connection of the request.
    Cancelled,
    /// It closed both halves of the connection, or reset it.
    Closed,
    /// It takes nothing that is written to it.
    NotReading,
    /// It used the number of an open request again on the same connection, which closes: no answer could be told from the
    /// other's.
    NumberReused,
}

/// One open request.
#[derive(Debug)]
struct Open {
    conn: u64,
    session: u64,
    due: Point,
    /// Its answer waits for the socket of its connection.
    is_handed: bool,
    /// Nobody holds its reply.
    is_dropped: bool,
    /// It was told that its cut-off has passed.
    is_overdue: bool,
}

#[derive(Debug, Default)]
struct Ledger {
    last: u64,
    open: BTreeMap<u64, Open>,
    by_conn: HashMap<u64, usize>,
}

/// All open requests of a process. Its clones are the same.
#[derive(Clone, Debug, Default)]
pub struct Replies(Arc<Mutex<Ledger>>);

/// A message that was read on a client's connection.
#[derive(Debug)]
pub struct Heard {
    pub conn: u64,
    pub message: Message,
    /// When its last byte was read.
    pub read: Point,
    /// Where it is a request.
    pub reply: Option<PendingReply>,
}

/// The duty to answer one request. It ends with `answered` or `client_gone`.
#[derive(Debug)]
#[must_use = "a request that was taken is owed one answer"]
pub struct PendingReply {
    /// None once it is settled.
    unsettled: Option<Box<Place>>,
}

/// Where the request of a reply stands.
#[derive(Debug)]
struct Place {
    number: u64,
    replies: Replies,
}

/// Whether a client's message asks for an answer.
fn is_request(body: &Body) -> bool {
    match body {
        Body::SetUp(set_up) => set_up.plays_at().is_none(),
        Body::Invalid(_) => true,
        _ => false,
    }
}

impl Replies {
    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a message that was read on a client's connection; a request is owed an answer from here on.
    pub fn take(&self, conn: u64, message: Message, read: Point) -> Heard {
        let within = match &message.body {
            Body::SetUp(set_up) => Span::of(set_up.wait_ms as f64 / 1e3),
            _ => UNUSABLE_WITHIN,
        };
        let reply = is_request(&message.body).then(|| self.open_reply(conn, message.session, read + within));
        Heard { conn, message, read, reply }
    }

    fn open_reply(&self, conn: u64, session: u64, due: Point) -> PendingReply {
        let mut ledger = self.ledger();
        ledger.last += 1;
        let number = ledger.last;
        ledger.open.insert(
            number,
            Open { conn, session, due, is_handed: false, is_dropped: false, is_overdue: false },
        );
        *ledger.by_conn.entry(conn).or_default() += 1;
        PendingReply::new(self, number)
    }

    /// Requests that are owed an answer.
    pub fn open(&self) -> usize {
        self.ledger().open.len()
    }

    /// Those of one connection.
    pub fn open_on(&self, conn: u64) -> usize {
        self.ledger().by_conn.get(&conn).copied().unwrap_or_default()
    }

    /// The session of one of them.
    pub fn session_on(&self, conn: u64) -> Option<u64> {
        self.ledger().open.values().find(|open| open.conn == conn).map(|open| open.session)
    }

    /// Connection and session of each request that nobody has answered by its cut-off, once.
    pub fn overdue(&self, now: Point) -> Vec<(u64, u64)> {
        let mut ledger = self.ledger();
        let late =
            |open: &&mut Open| !open.is_handed && !open.is_dropped && !open.is_overdue && now >= open.due;
        let tell = |open: &mut Open| {
            open.is_overdue = true;
            (open.conn, open.session)
        };
        ledger.open.values_mut().filter(late).map(tell).collect()
    }

    /// The replies that were dropped, to be answered after all.
    pub fn recover(&self) -> Vec<PendingReply> {
        let mut ledger = self.ledger();
        let dropped = ledger.open.iter_mut().filter(|(_, open)| open.is_dropped);
        dropped
            .map(|(number, open)| {
                (open.is_dropped, open.is_handed) = (false, false);
                PendingReply::new(self, *number)
            })
            .collect()
    }
}

impl PendingReply {
    fn new(replies: &Replies, number: u64) -> PendingReply {
        PendingReply { unsettled: Some(Box::new(Place { number, replies: replies.clone() })) }
    }

    fn with_open<T: Default>(&self, of: impl FnOnce(&mut Open) -> T) -> T {
        let Some(place) = &self.unsettled else { return T::default() };
        place.replies.ledger().open.get_mut(&place.number).map(of).unwrap_or_default()
    }

    /// The connection that the answer goes to.
    pub fn conn(&self) -> u64 {
        self.with_open(|open| open.conn)
    }

    pub fn session(&self) -> u64 {
        self.with_open(|open| open.session)
    }

    /// The answer is due by then.
    pub fn set_due(&self, due: Point) {
        self.with_open(|open| (open.due, open.is_overdue) = (due, false));
    }

    /// The answer is on its way to the connection's socket.
    pub fn hand(&self) {
        self.with_open(|open| open.is_handed = true);
    }

    /// The answer was written to a live connection.
    pub fn answered(self) {
        self.settle();
    }

    /// Nobody is there to be answered.
    pub fn client_gone(self, why: Departure) {
        let (conn, session) = (self.conn(), self.session());
        tracing::debug!(target: "reply", session = format!("{session:016x}"), conn, ?why, "owed no answer");
        self.settle();
    }

    fn settle(mut self) {
        let Some(place) = self.unsettled.take() else { return };
        let mut ledger = place.replies.ledger();
        let Some(open) = ledger.open.remove(&place.number) else { return };
        let Some(left) = ledger.by_conn.get_mut(&open.conn) else { return };
        *left -= 1;
        if *left == 0 {
            ledger.by_conn.remove(&open.conn);
        }
    }
}

impl Drop for PendingReply {
    fn drop(&mut self) {
        if self.unsettled.is_none() {
            return;
        }
        let (conn, session) = (self.conn(), self.session());
        self.with_open(|open| open.is_dropped = true);
        tracing::error!(target: "reply", session = format!("{session:016x}"), conn, "its reply was dropped");
    }
}
