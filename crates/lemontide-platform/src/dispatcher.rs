//! The dispatcher: what happens on the platform's sockets becomes calls on the decision module, and what the module
//! decides becomes messages. It owns the subscriptions in hand, their shots, which link a shot was written to, and
//! the duty of one answer. No sockets, no files, no clock: time comes from outside, what has to be done is left in
//! `effects`. It tells the module the truth of every shot by the table in `docs/design/controller.md`.

mod attempts;
mod connections;
mod ended;
mod list;
mod unanswered;
mod viewers;

pub use unanswered::InputEnd;

use crate::codec::{cause, Body, Message, SessionReport, SetUp};
use crate::config::{ListEntry, ListUpdate};
use crate::permit::Permit;
use crate::replies::{Departure, Heard, PendingReply, Replies};
use crate::steps::{Outcome, Steps};
use crate::viewers::Outgoing;
use bytes::Bytes;
use ended::EndedSessions;
use lemontide::clock::{Point, Span};
use lemontide::control::{Controller, SessionHandle};
use lemontide::interface::{
    AttemptOutcome, ControllerSettings, Load, NewAttempt, Request, SettingValue, StreamerEntry, StreamerState,
};
use lemontide_front::core::{Connection, Evidence, GivenUp, Link, Proof, Queued, Verdict};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;

/// Kept back of a viewer's time, so that the final answer is there before the viewer goes.
const ANSWER_MARGIN: Span = Span::of_millis(40);
/// The links are looked after this often.
const LINK_BEAT: Span = Span::of_millis(100);
/// A release that no connection could take is kept for so long.
const OWED_FOR: Span = Span::of_millis(8000);
/// An attempt that was never proven over is remembered for so long after its request.
const UNPROVEN_FOR: Span = Span::of_millis(8000);
/// Ends of what nobody has handed over yet that are remembered, releases that wait for a streamer, and attempts that
/// are not proven over, at most of each.
const OVER_MOST: usize = 1024;

/// What the platform states and the dispatcher itself needs; the rest is the module's, in the sheet.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    /// Name and cut-off of each lane.
    pub lanes: Vec<(String, Span)>,
    pub tenants: Vec<String>,
    pub cells: usize,
    pub rungs: usize,
    pub dial_timeout: Span,
    /// Set-ups that one connection to a streamer carries at a time.
    pub set_ups_a_link: usize,
    /// Connections to all streamers together.
    pub links_most: usize,
    /// A connection that nothing needs is closed after so long.
    pub idle_most: Span,
    /// Subscriptions and wishes in hand at most.
    pub held_most: usize,
}

/// Something that has to be done.
#[derive(Debug)]
pub enum Effect {
    Say {
        conn: u64,
        message: Message,
        /// It ends what stood: any viewers' connection may carry it.
        stood: bool,
        /// Where it is the final answer of a request.
        reply: Option<PendingReply>,
        /// Of the request that it answers, where they are logged.
        steps: Option<Box<Steps>>,
    },
    /// Close a viewers' connection on which nothing is open, unless more than so many messages came on it.
    Retire {
        conn: u64,
        heard: u64,
    },
    /// Read nothing more on a viewers' connection, and close it once nothing on it is owed an answer.
    Drain {
        conn: u64,
    },
    Dial {
        on: Connection,
        address: String,
    },
    Write {
        on: Connection,
        orders: Vec<Queued<Order>>,
    },
    /// Close a connection to a streamer. Where `awaits_close`, only this end's half of it at first, and the streamer's
    /// own close is awaited for a while: it proves what was out there over.
    Hang {
        on: Connection,
        awaits_close: bool,
    },
}

/// How a connection or a dial ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Nobody listens there: proof that the process is gone.
    Refused,
    /// The dial did not come through in time.
    Dark,
    /// It was up and broke, or could not be read any more.
    Broke,
}

/// Why this end closes a connection to a streamer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    Idle,
    /// Nothing was heard on it for too long, or an order stayed unwritten.
    Silent,
    /// A set-up got no answer on it, and then nothing else came.
    Unanswered,
    /// Too many orders wait for it.
    QueueFull,
    AddressChanged,
    StreamerGone,
    MakesRoom,
}

/// An attempt that is out.
struct Attempt {
    number: u32,
    /// The connection that carries it; none has these numbers before it is on one.
    on: Connection,
    deadline: Point,
    not_after: Point,
    /// From the moment in which it begins it may have run.
    permit: Permit,
    /// No earlier attempt of its request began at its streamer.
    is_first: bool,
    /// It is given up, and the next attempt waits for a proof that it is over.
    given_up: Option<GivenUp>,
}

/// An attempt whose request is over and that may still be out: nothing may be begun under its session.
struct Unproven {
    session: u64,
    attempt: GivenUp,
    until: Point,
}

/// A message for a streamer. One with a permit is written only where that may still begin.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    pub message: Message,
    pub permit: Option<Permit>,
}

/// What a viewer asks for and nobody has decided yet.
struct Asked {
    conn: u64,
    session: u64,
    body: Body,
    /// When it was read, and how long it may have waited unread.
    read: Point,
    late: Span,
    /// Where an answer is owed.
    reply: Option<PendingReply>,
}

/// A wish or subscription in hand.
struct Held {
    session: u64,
    handle: SessionHandle,
    conn: u64,
    /// Until it is answered.
    reply: Option<PendingReply>,
    /// What is passed on with a shot; given up once it plays.
    set_up: SetUp,
    at: Arc<str>,
    /// Until when it may be sent.
    until: Point,
    rung: usize,
    shots: u32,
    read: Point,
    decided: Option<Point>,
    /// When its last attempt began.
    begun: Option<Point>,
    attempt: Option<Attempt>,
    /// Streamers that may have set it up in an earlier attempt, and may still release that.
    attempted_at: Vec<Arc<str>>,
    /// Since when it plays.
    playing: Option<Point>,
    /// The connection that carries what is said of it to its streamer while it plays: order holds within one only.
    carrier: Option<Connection>,
}

impl Held {
    /// A request or session of this connection and number, read then and to be sent on until then.
    fn new(
        (conn, session): (u64, u64),
        handle: SessionHandle,
        reply: Option<PendingReply>,
        set_up: SetUp,
        (read, until): (Point, Point),
    ) -> Held {
        Held {
            session,
            handle,
            conn,
            reply,
            set_up,
            at: "".into(),
            until,
            rung: 0,
            shots: 0,
            read,
            decided: None,
            begun: None,
            attempt: None,
            attempted_at: Vec::new(),
            playing: None,
            carrier: None,
        }
    }

    /// Whether what a streamer says of this session can concern no earlier attempt.
    fn is_first_at(&self, at: &Arc<str>) -> bool {
        !self.attempted_at.contains(at)
    }

    /// Whether a streamer may know of this session.
    fn has_begun(&self) -> bool {
        let is_out = self.attempt.as_ref().is_some_and(|attempt| attempt.permit.has_begun());
        is_out || self.begun.is_some() || self.playing.is_some()
    }
}

struct Known {
    entry: ListEntry,
    links: Vec<u64>,
    /// Since when no connection to it comes up.
    dark: Option<Point>,
}

/// One connection to a streamer.
struct Wire {
    at: Arc<str>,
    link: Link<Order>,
    /// Set-ups that wait on it or are out on it.
    open: usize,
    /// A set-up got no answer on it: it must say something until then.
    suspect: Option<Point>,
}

/// How something ended that this controller did not hold.
#[derive(Clone, Copy)]
enum Over {
    /// Its streamer said so.
    AtStreamer(u8),
    /// Its viewer ended it.
    ByViewer,
}

/// A release that a streamer must get.
struct End {
    at: Arc<str>,
    session: u64,
    until: Point,
    sent: Option<SentEnd>,
    /// A connection is dialled for it where none is up: it is known that something stands.
    may_dial: bool,
}

/// A release that is on its way to a streamer.
struct SentEnd {
    on: Connection,
    /// Number of the last test before it on its connection: the streamer has read it once it passes a later one.
    after_test: u64,
}

impl End {
    /// Whether evidence from a connection proves that the streamer has read it.
    fn is_read(&self, on: Connection, session: Option<u64>, evidence: Evidence) -> bool {
        let Some(sent) = self.sent.as_ref().filter(|sent| sent.on == on) else { return false };
        match evidence {
            Evidence::TestPassed { test } => test > sent.after_test,
            Evidence::EndAcknowledged | Evidence::SetUpRefused | Evidence::Released => {
                session == Some(self.session)
            }
            // What stands belongs to no connection, and stands on.
            Evidence::ClosedByStreamer | Evidence::Refused => false,
        }
    }
}

/// A viewers' connection.
struct Conn {
    /// Set-ups on it that are owed an answer.
    open: usize,
    /// What was asked on it and is not decided.
    asked: usize,
    /// A subscription was set up on it.
    good: bool,
    said: Point,
    /// Messages heard on it.
    heard: u64,
    /// It was asked to close, and has not said anything since.
    retiring: bool,
    /// Nothing more is read on it, and nothing more is begun for it; what is owed on it is still answered.
    is_draining: bool,
    /// The last set-ups that were turned away on it.
    turned_away: VecDeque<u64>,
}

impl Conn {
    /// Whether nothing that came on it is owed an answer.
    fn is_idle(&self) -> bool {
        self.open == 0 && self.asked == 0
    }
}

/// Decides and remembers for all connections of one process.
pub struct Dispatcher {
    module: Controller,
    terms: Terms,
    known: BTreeMap<Arc<str>, Known>,
    wires: BTreeMap<u64, Wire>,
    /// Ordered, so that the same events give the same effects.
    held: BTreeMap<u32, Held>,
    by_session: HashMap<u64, u32>,
    conns: BTreeMap<u64, Conn>,
    due: BinaryHeap<Reverse<(Point, u32, u32)>>,
    /// Releases that no connection could take yet.
    owed: VecDeque<(Point, Message)>,
    wake: Option<Point>,
    looked_after: Point,
    chance: StdRng,
    next_id: u32,
    next_link: u64,
    stops: Option<Point>,
    /// How long this process stood still before what it hears now.
    late: Span,
    /// Heard in this turn and not decided, in order.
    asked: VecDeque<Asked>,
    /// Ends of what stood that were heard before anybody handed it over, by their session.
    over: VecDeque<(u64, Over)>,
    /// Releases for streamers that are not known to be read.
    ends: VecDeque<End>,
    unproven: VecDeque<Unproven>,
    /// Sessions under which an attempt began, and which are not in hand any more.
    ended: EndedSessions,
    /// Connections that this end has done with, whose streamer's close is awaited, with that streamer. They hold a
    /// descriptor, and what is said on them is still heard.
    closing: BTreeMap<Connection, Arc<str>>,
    /// Number of the last test that was sent to a streamer.
    last_test: u64,
    replies: Replies,
    pub effects: Vec<Effect>,
}

impl Dispatcher {
    pub fn start(now: Point, seed: u64, sheet: &ControllerSettings, terms: Terms) -> Dispatcher {
        // No message here brings what a look would. Guards against wishes that wait for looks that never come back.
        let mut sheet = sheet.clone();
        sheet.insert("looks.allowed".to_owned(), SettingValue::Flag(false));
        Dispatcher {
            module: Controller::new(now, seed, &sheet),
            terms,
            known: BTreeMap::new(),
            wires: BTreeMap::new(),
            held: BTreeMap::new(),
            by_session: HashMap::new(),
            conns: BTreeMap::new(),
            due: BinaryHeap::new(),
            owed: VecDeque::new(),
            wake: None,
            looked_after: now,
            chance: StdRng::seed_from_u64(seed),
            next_id: 0,
            next_link: 0,
            stops: None,
            late: Span::ZERO,
            asked: VecDeque::new(),
            over: VecDeque::new(),
            ends: VecDeque::new(),
            unproven: VecDeque::new(),
            ended: EndedSessions::default(),
            closing: BTreeMap::new(),
            last_test: 0,
            replies: Replies::default(),
            effects: Vec::new(),
        }
    }

    /// When `tick` wants to be called next.
    pub fn next(&self) -> Point {
        let due = self.due.peek().map(|Reverse((at, ..))| *at);
        let beat = self.looked_after + LINK_BEAT;
        [due, self.wake].into_iter().flatten().fold(beat, Point::min)
    }

    /// Subscriptions and wishes in hand, also those that are only asked for.
    pub fn in_hand(&self) -> usize {
        self.held.len() + self.asked.len()
    }

    /// Wishes that are owed an answer.
    pub fn open(&self) -> usize {
        self.held.values().filter(|held| held.playing.is_none()).count() + self.asked.len()
    }

    /// What viewers ask for that is not decided yet.
    pub fn asked(&self) -> usize {
        self.asked.len()
    }

    /// The answers that are owed, which those who read from clients' connections add to.
    pub fn replies(&self) -> &Replies {
        &self.replies
    }

    pub fn links(&self) -> usize {
        self.wires.len()
    }

    pub fn streamers(&self) -> usize {
        self.known.len()
    }

    /// What is heard from now on may have come as long ago as this process stood still. Guards against answers that
    /// come when the viewer's own time is over.
    pub fn stood_still(&mut self, late: Span) {
        self.late = late;
    }

    /// Set-ups that come from now on are taken for a moment only: the platform is about to stop this process.
    pub fn stop(&mut self, now: Point) {
        self.stops.get_or_insert(now);
    }

    /// When `next` says so.
    pub fn tick(&mut self, now: Point) {
        if now - self.looked_after >= LINK_BEAT {
            self.look_after_links(now, now - self.looked_after);
            self.looked_after = now;
            self.owed.retain(|(until, _)| now <= *until);
            self.unproven.retain(|unproven| now <= unproven.until);
            self.ended.forget_old(now);
            self.end_again(now);
            self.end_elsewhere(now);
        }
        while let Some(Reverse((_, id, shot))) = self.due.peek().copied().filter(|r| r.0 .0 <= now) {
            self.due.pop();
            self.overdue(now, id, shot);
        }
        if self.wake.is_some_and(|wake| wake <= now) {
            self.wake = None;
            self.module.tick(now);
        }
        self.carry_out(now);
        self.answer_overdue(now);
    }
}
