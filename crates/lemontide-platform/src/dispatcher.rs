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

use crate::codec::{cause, Body, Message, Note, SetUp};
use crate::config::{Entry, Hosts};
use crate::permit::Permit;
use crate::replies::{Departure, PendingReply, ReceivedMessage, Replies};
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
use std::fmt;
use std::sync::Arc;

/// Kept back of a viewer's time, so that the final answer is there before the viewer goes.
const ANSWER_MARGIN: Span = Span::of_millis(40);
/// The links are looked after this often.
const LINK_CHECK_INTERVAL: Span = Span::of_millis(100);
/// A release that no connection could take is kept for so long.
const RELEASE_RETENTION: Span = Span::of_millis(8000);
/// An attempt that was never proven over is remembered for so long after its request.
const UNPROVEN_RETENTION: Span = Span::of_millis(8000);
/// Ends of what nobody has handed over yet that are remembered, releases that wait for a streamer, and attempts that
/// are not proven over, at most of each.
const MAX_REMEMBERED: usize = 1024;

/// What the platform states and the dispatcher itself needs; the rest is the module's, in the sheet.
#[derive(Clone, Debug, Default)]
pub struct DispatcherSettings {
    /// Name and cut-off of each lane.
    pub classes: Vec<(String, Span)>,
    pub tenants: Vec<String>,
    pub cells: usize,
    pub rungs: usize,
    pub dial_timeout: Span,
    /// Set-ups that one connection to a streamer carries at a time.
    pub max_set_ups_per_link: usize,
    /// Connections to all streamers together.
    pub max_connections: usize,
    /// A connection that nothing needs is closed after so long.
    pub max_idle: Span,
    /// Subscriptions and wishes in hand at most.
    pub max_tracked: usize,
}

/// Something that has to be done.
#[derive(Debug)]
pub enum Effect {
    SendToViewer {
        conn: u64,
        message: Message,
        /// It ends what stood: any viewers' connection may carry it.
        ends_session: bool,
        /// Where it is the final answer of a request.
        reply: Option<PendingReply>,
        /// Of the request that it answers, where they are logged.
        steps: Option<Box<Steps>>,
    },
    /// Close a viewers' connection on which nothing is open, unless more than so many messages came on it.
    CloseIfIdle {
        conn: u64,
        messages_read: u64,
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
        messages: Vec<Queued<OutboundMessage>>,
    },
    /// Close a connection to a streamer. Where `awaits_close`, only this end's half of it at first, and the streamer's
    /// own close is awaited for a while: it proves what was out there over.
    Close {
        on: Connection,
        awaits_close: bool,
    },
}

/// How a connection or a dial ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionLoss {
    /// Nobody listens there: proof that the process is gone.
    Refused,
    /// The dial did not come through in time.
    DialTimedOut,
    /// It was up and broke, or could not be read any more.
    Disconnected,
}

/// The value of the log field `loss`.
impl fmt::Display for ConnectionLoss {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(match self {
            ConnectionLoss::Refused => "Refused",
            ConnectionLoss::DialTimedOut => "Dark",
            ConnectionLoss::Disconnected => "Broke",
        })
    }
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
struct UnprovenAttempt {
    session: u64,
    attempt: GivenUp,
    until: Point,
}

/// A message for a streamer. One with a permit is written only where that may still begin.
#[derive(Clone, Debug, PartialEq)]
pub struct OutboundMessage {
    pub message: Message,
    pub permit: Option<Permit>,
}

/// What a viewer asks for and nobody has decided yet.
struct UndecidedSetUp {
    conn: u64,
    session: u64,
    body: Body,
    /// When it was read, and how long it may have waited unread.
    read_at: Point,
    read_delay: Span,
    /// Where an answer is owed.
    reply: Option<PendingReply>,
}

/// A wish or subscription in hand.
struct TrackedSession {
    session: u64,
    handle: SessionHandle,
    conn: u64,
    /// Until it is answered.
    reply: Option<PendingReply>,
    /// What is passed on with a shot; given up once it plays.
    set_up: SetUp,
    streamer: Arc<str>,
    /// Until when it may be sent.
    deadline: Point,
    rung: usize,
    attempt_count: u32,
    read_at: Point,
    decided_at: Option<Point>,
    /// When its last attempt began.
    begun_at: Option<Point>,
    attempt: Option<Attempt>,
    /// Streamers that may have set it up in an earlier attempt, and may still release that.
    previous_streamers: Vec<Arc<str>>,
    /// Since when it plays.
    playing_since: Option<Point>,
    /// The connection that carries what is said of it to its streamer while it plays: order holds within one only.
    control_connection: Option<Connection>,
}

impl TrackedSession {
    /// A request or session of this connection and number, read then and to be sent on until then.
    fn new(
        (conn, session): (u64, u64),
        handle: SessionHandle,
        reply: Option<PendingReply>,
        set_up: SetUp,
        (read_at, deadline): (Point, Point),
    ) -> TrackedSession {
        TrackedSession {
            session,
            handle,
            conn,
            reply,
            set_up,
            streamer: "".into(),
            deadline,
            rung: 0,
            attempt_count: 0,
            read_at,
            decided_at: None,
            begun_at: None,
            attempt: None,
            previous_streamers: Vec::new(),
            playing_since: None,
            control_connection: None,
        }
    }

    /// Whether what a streamer says of this session can concern no earlier attempt.
    fn is_first_attempt_at(&self, streamer: &Arc<str>) -> bool {
        !self.previous_streamers.contains(streamer)
    }

    /// Whether a streamer may know of this session.
    fn has_begun(&self) -> bool {
        let is_out = self.attempt.as_ref().is_some_and(|attempt| attempt.permit.has_begun());
        is_out || self.begun_at.is_some() || self.playing_since.is_some()
    }
}

struct KnownStreamer {
    entry: Entry,
    link_ids: Vec<u64>,
    /// Since when no connection to it comes up.
    unreachable_since: Option<Point>,
}

/// One connection to a streamer.
struct StreamerLink {
    streamer: Arc<str>,
    link: Link<OutboundMessage>,
    /// Set-ups that wait on it or are out on it.
    pending_set_ups: usize,
    /// A set-up got no answer on it: it must say something until then.
    suspect_until: Option<Point>,
}

/// How something ended that this controller did not hold.
#[derive(Clone, Copy)]
enum UntrackedEnd {
    /// Its streamer said so.
    ByStreamer(u8),
    /// Its viewer ended it.
    ByViewer,
}

/// A release that a streamer must get.
struct PendingRelease {
    streamer: Arc<str>,
    session: u64,
    until: Point,
    sent: Option<SentRelease>,
    /// A connection is dialled for it where none is up: it is known that something stands.
    may_dial: bool,
}

/// A release that is on its way to a streamer.
struct SentRelease {
    on: Connection,
    /// Number of the last test before it on its connection: the streamer has read it once it passes a later one.
    after_test: u64,
}

impl PendingRelease {
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
struct ViewerConnection {
    /// Set-ups on it that are owed an answer.
    unanswered: usize,
    /// What was asked on it and is not decided.
    undecided: usize,
    /// A subscription was set up on it.
    has_set_up: bool,
    last_message_at: Point,
    /// Messages heard on it.
    messages_read: u64,
    /// It was asked to close, and has not said anything since.
    closes_if_idle: bool,
    /// Nothing more is read on it, and nothing more is begun for it; what is owed on it is still answered.
    is_draining: bool,
    /// The last set-ups that were turned away on it.
    rejected_sessions: VecDeque<u64>,
}

impl ViewerConnection {
    /// Whether nothing that came on it is owed an answer.
    fn is_idle(&self) -> bool {
        self.unanswered == 0 && self.undecided == 0
    }
}

/// Decides and remembers for all connections of one process.
pub struct Dispatcher {
    controller: Controller,
    settings: DispatcherSettings,
    streamers: BTreeMap<Arc<str>, KnownStreamer>,
    links: BTreeMap<u64, StreamerLink>,
    /// Ordered, so that the same events give the same effects.
    sessions: BTreeMap<u32, TrackedSession>,
    id_by_session: HashMap<u64, u32>,
    viewer_connections: BTreeMap<u64, ViewerConnection>,
    timers: BinaryHeap<Reverse<(Point, u32, u32)>>,
    /// Releases that no connection could take yet.
    unsent_releases: VecDeque<(Point, Message)>,
    next_tick_at: Option<Point>,
    links_checked_at: Point,
    random: StdRng,
    last_id: u32,
    last_link: u64,
    stopping_since: Option<Point>,
    /// How long this process stood still before what it hears now.
    read_delay: Span,
    /// Heard in this turn and not decided, in order.
    undecided: VecDeque<UndecidedSetUp>,
    /// Ends of what stood that were heard before anybody handed it over, by their session.
    untracked_ends: VecDeque<(u64, UntrackedEnd)>,
    /// Releases for streamers that are not known to be read.
    pending_releases: VecDeque<PendingRelease>,
    unproven: VecDeque<UnprovenAttempt>,
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
    pub fn new(
        now: Point,
        seed: u64,
        controller_settings: &ControllerSettings,
        settings: DispatcherSettings,
    ) -> Dispatcher {
        // No message here brings what a look would. Guards against wishes that wait for looks that never come back.
        let mut controller_settings = controller_settings.clone();
        controller_settings.insert("looks.allowed".to_owned(), SettingValue::Flag(false));
        Dispatcher {
            controller: Controller::new(now, seed, &controller_settings),
            settings,
            streamers: BTreeMap::new(),
            links: BTreeMap::new(),
            sessions: BTreeMap::new(),
            id_by_session: HashMap::new(),
            viewer_connections: BTreeMap::new(),
            timers: BinaryHeap::new(),
            unsent_releases: VecDeque::new(),
            next_tick_at: None,
            links_checked_at: now,
            random: StdRng::seed_from_u64(seed),
            last_id: 0,
            last_link: 0,
            stopping_since: None,
            read_delay: Span::ZERO,
            undecided: VecDeque::new(),
            untracked_ends: VecDeque::new(),
            pending_releases: VecDeque::new(),
            unproven: VecDeque::new(),
            ended: EndedSessions::default(),
            closing: BTreeMap::new(),
            last_test: 0,
            replies: Replies::default(),
            effects: Vec::new(),
        }
    }

    /// When `tick` wants to be called next.
    pub fn next_tick(&self) -> Point {
        let timer = self.timers.peek().map(|Reverse((at, ..))| *at);
        let next_link_check = self.links_checked_at + LINK_CHECK_INTERVAL;
        [timer, self.next_tick_at].into_iter().flatten().fold(next_link_check, Point::min)
    }

    /// Subscriptions and wishes in hand, also those that are only asked for.
    pub fn tracked_count(&self) -> usize {
        self.sessions.len() + self.undecided.len()
    }

    /// Wishes that are owed an answer.
    pub fn unanswered_count(&self) -> usize {
        self.sessions.values().filter(|tracked| tracked.playing_since.is_none()).count()
            + self.undecided.len()
    }

    /// What viewers ask for that is not decided yet.
    pub fn undecided_count(&self) -> usize {
        self.undecided.len()
    }

    /// The answers that are owed, which those who read from clients' connections add to.
    pub fn replies(&self) -> &Replies {
        &self.replies
    }

    pub fn link_count(&self) -> usize {
        self.links.len()
    }

    pub fn streamer_count(&self) -> usize {
        self.streamers.len()
    }

    /// What is heard from now on may have come as long ago as this process stood still. Guards against answers that
    /// come when the viewer's own time is over.
    pub fn set_read_delay(&mut self, read_delay: Span) {
        self.read_delay = read_delay;
    }

    /// Set-ups that come from now on are taken for a moment only: the platform is about to stop this process.
    pub fn stop(&mut self, now: Point) {
        self.stopping_since.get_or_insert(now);
    }

    /// When `next` says so.
    pub fn tick(&mut self, now: Point) {
        if now - self.links_checked_at >= LINK_CHECK_INTERVAL {
            self.check_links(now, now - self.links_checked_at);
            self.links_checked_at = now;
            self.unsent_releases.retain(|(until, _)| now <= *until);
            self.unproven.retain(|unproven| now <= unproven.until);
            self.ended.remove_expired(now);
            self.resend_releases(now);
            self.release_on_other_connections(now);
        }
        while let Some(Reverse((_, id, number))) =
            self.timers.peek().copied().filter(|timer| timer.0 .0 <= now)
        {
            self.timers.pop();
            self.on_attempt_timer(now, id, number);
        }
        if self.next_tick_at.is_some_and(|next_tick| next_tick <= now) {
            self.next_tick_at = None;
            self.controller.tick(now);
        }
        self.apply_actions(now);
        self.answer_overdue(now);
    }
}
