//! What proves that an attempt is over at its streamer. A request may have one attempt out at a time, so whoever begins
//! another one must hold a `Proof` for the last. That an end was written to a socket, or that this end closed a
//! connection, proves nothing: the streamer may not have read so far, and order holds within one connection only.

use lemontide::interface::AttemptOutcome;

/// One connection to a streamer: the number of its link and that of the dial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Connection {
    pub link: u64,
    pub dial: u64,
}

/// Why an attempt is known to be over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// It was withdrawn before its first byte was written.
    NeverBegan,
    /// Its streamer refused or failed its set-up.
    SetUpRefused,
    /// Its streamer released it.
    Released,
    /// Its streamer passed a test that came behind its end on its connection.
    EndRead,
    /// Its streamer acknowledged its end.
    EndAcknowledged,
    /// Its streamer closed its connection, and what stands there ends with it.
    ClosedByStreamer,
    /// Its streamer closed its connection, and nobody listens at its address any more.
    ProcessGone,
}

impl Proof {
    /// Whether a session may have stood at the streamer, whose release it may say, or say again, later.
    pub fn allows_a_later_release(self) -> bool {
        !matches!(self, Proof::NeverBegan | Proof::SetUpRefused | Proof::ProcessGone)
    }
}

/// What is heard of a connection and may prove that attempts on it are over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The streamer passed the test of this number.
    TestPassed { test: u64 },
    /// The streamer acknowledged the end of an attempt under this session.
    EndAcknowledged,
    /// The streamer refused or failed a set-up under this session, in words that concern no standing session.
    SetUpRefused,
    /// The streamer released this session: the set-up that is out, or what an earlier one had set up there. It may
    /// repeat that on any connection.
    Released,
    /// The streamer closed or reset the connection, where no session outlives its connection.
    ClosedByStreamer,
    /// The connection was refused.
    Refused,
}

/// An attempt that was given up after it began, and is not known to be over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivenUp {
    /// The connection that carried it, or that carries its end since the streamer closed that one.
    pub on: Connection,
    /// The streamer closed the connection that carried it. It reads nothing more of that, but the session may stand.
    pub is_closed: bool,
    /// No earlier attempt of its session began at its streamer, so whatever the streamer says of the session is about
    /// this one.
    pub is_first: bool,
    /// How it is told to the decision module.
    pub ending: AttemptOutcome,
    /// Number of the test that was sent behind its end, where one could be sent.
    pub test: Option<u64>,
}

impl GivenUp {
    /// The proof that evidence from a connection gives, if any. Tests of one connection are numbered in order, and a
    /// streamer passes them in order.
    pub fn proof(&self, on: Connection, evidence: Evidence) -> Option<Proof> {
        if on != self.on {
            return None;
        }
        match evidence {
            Evidence::TestPassed { test } => {
                self.test.filter(|behind| *behind <= test).map(|_| Proof::EndRead)
            }
            Evidence::EndAcknowledged => self.is_first.then_some(Proof::EndAcknowledged),
            Evidence::SetUpRefused => Some(Proof::SetUpRefused),
            Evidence::Released => self.is_first.then_some(Proof::Released),
            Evidence::ClosedByStreamer => Some(Proof::ClosedByStreamer),
            Evidence::Refused => self.is_closed.then_some(Proof::ProcessGone),
        }
    }
}
