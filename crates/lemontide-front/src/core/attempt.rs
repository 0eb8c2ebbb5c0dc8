//! Proof that an attempt is over at its streamer. A request has at most one attempt at a time, so the next one
//! requires a `Proof` for the last. A cancel (on a platform's connection: a release) that is written to a socket, or
//! a connection closed from this end, proves nothing: the streamer may not have read that far, and messages are
//! ordered within one connection only.

use lemontide::interface::AttemptOutcome;

/// One connection to a streamer, identified by the number of its link and the number of the dial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Connection {
    pub link: u64,
    pub dial: u64,
}

/// Why an attempt is known to be over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// Its set-up was withdrawn before the first byte was written.
    NeverBegan,
    /// Its streamer refused the set-up or failed it.
    SetUpRefused,
    /// Its streamer released the session.
    Released,
    /// Its streamer answered a test that was sent after the cancel on the same connection.
    EndRead,
    /// Its streamer acknowledged the cancel.
    EndAcknowledged,
    /// Its streamer closed the connection, and sessions end with their connection.
    ClosedByStreamer,
    /// Its streamer closed the connection and now refuses connections: the process has exited.
    ProcessGone,
}

impl Proof {
    /// Whether the streamer may have had the session, so that it can send a release of it, or repeat one, later.
    pub fn allows_a_later_release(self) -> bool {
        !matches!(self, Proof::NeverBegan | Proof::SetUpRefused | Proof::ProcessGone)
    }
}

/// An event of a connection that can prove attempts on it to be over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The streamer answered the test of this number.
    TestPassed { test: u64 },
    /// The streamer acknowledged the cancel of an attempt of this session.
    EndAcknowledged,
    /// The streamer refused or failed a set-up of this session, by a message that is never about an established
    /// session.
    SetUpRefused,
    /// The streamer released this session: the pending set-up, or what an earlier one had set up. It can repeat the
    /// release on any connection.
    Released,
    /// The streamer closed or reset the connection, in a protocol where no session outlives its connection.
    ClosedByStreamer,
    /// The streamer's address refused the connection.
    ConnectRefused,
}

/// An attempt that was abandoned after it began, and is not known to be over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AbandonedAttempt {
    /// The connection that carried it, or, once the streamer closed that one, the connection that carries its cancel.
    pub connection: Connection,
    /// The streamer closed the connection that carried it. It reads nothing more from that one, but the session may
    /// still exist.
    pub connection_closed: bool,
    /// No earlier attempt of its session began at its streamer, so any message of the streamer about the session is
    /// about this attempt.
    pub is_first_attempt: bool,
    /// The outcome to report to the decision module.
    pub outcome: AttemptOutcome,
    /// Number of the test that was sent after its cancel, where one could be sent.
    pub test: Option<u64>,
}

impl AbandonedAttempt {
    /// The proof that evidence from a connection gives, if any. Tests of one connection are numbered in order, and a
    /// streamer answers them in order.
    pub fn proof(&self, connection: Connection, evidence: Evidence) -> Option<Proof> {
        if connection != self.connection {
            return None;
        }
        match evidence {
            Evidence::TestPassed { test } => {
                self.test.filter(|own_test| *own_test <= test).map(|_| Proof::EndRead)
            }
            Evidence::EndAcknowledged => self.is_first_attempt.then_some(Proof::EndAcknowledged),
            Evidence::SetUpRefused => Some(Proof::SetUpRefused),
            Evidence::Released => self.is_first_attempt.then_some(Proof::Released),
            Evidence::ClosedByStreamer => Some(Proof::ClosedByStreamer),
            Evidence::ConnectRefused => self.connection_closed.then_some(Proof::ProcessGone),
        }
    }
}
