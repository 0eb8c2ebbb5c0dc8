//! The dispatcher, the core of the event loop without I/O. It turns events on the platform's sockets into calls on the
//! decision module (`Controller`), and the decisions of the module into messages. It owns the tracked sessions, their
//! attempts, the connection that each attempt was written to, and the duty to answer each request exactly once. It uses
//! no sockets, files or clock: the time is an argument, and the work for the caller is left in `effects`. It reports
//! the outcome of each attempt to the module by the table in `docs/design/controller.md`.

mod attempts;
mod client_releases;
mod client_shares;
mod connection_needs;
mod connections;
mod ended;
mod hand_overs;
mod list;
mod streamer_messages;
mod unanswered;
mod untracked_ends;
mod viewers;

pub use unanswered::InputEnd;

use crate::codec::{cause, Body, Message, SessionReport, SetUp};
use crate::config::{ListEntry, ListUpdate};
use crate::permit::Permit;
use crate::replies::{Departure, PendingReply, ReceivedMessage, Replies};
use crate::steps::{Outcome, Steps};
use crate::viewers::Outgoing;
use bytes::Bytes;
use client_releases::{ClientReleases, ViewerEvidence};
use client_shares::{Charge, ClientShares};
use connection_needs::{LossCause, Unheard};
use ended::EndedSessions;
use hand_overs::UnconfirmedHandOvers;
use lemontide::clock::{Point, Span};
use lemontide::control::{Controller, SessionHandle};
use lemontide::interface::{
    AttemptOutcome, ControllerSettings, Load, NewAttempt, Request, SettingValue, StreamerEntry, StreamerState,
};
use lemontide::log_values::Logged;
use lemontide_front::core::{AbandonedAttempt, Connection, Evidence, Link, LinkAction, Proof, QueuedMessage};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::fmt;
use std::sync::Arc;
use tokio::sync::OwnedSemaphorePermit;
use untracked_ends::{UntrackedEnd, UntrackedEnds};

/// Subtracted from the time that a viewer waits, so that the final answer arrives before the viewer gives up.
const ANSWER_MARGIN: Span = Span::of_millis(40);
/// Interval between checks of all links to streamers.
const LINK_CHECK_INTERVAL: Span = Span::of_millis(100);
/// How long a release is kept that its streamer is not known to have read.
const RELEASE_RETENTION: Span = Span::of_millis(8000);
/// How long an attempt that was not proven over is remembered after its request ended.
const UNPROVEN_RETENTION: Span = Span::of_millis(8000);
/// Maximum number of entries of each of these: releases that a streamer is not known to have read, those of them that
/// only a client's claim calls for, and attempts that are not proven over.
const MAX_REMEMBERED: usize = 1024;

/// The settings that the dispatcher itself needs. The module has its own, in `ControllerSettings`.
#[derive(Clone, Debug, Default)]
pub struct DispatcherSettings {
    /// Name of each class, and the longest time that its requests may wait for an answer.
    pub classes: Vec<(String, Span)>,
    /// Names of the tenants that can set up sessions; any name can if it is empty.
    pub tenants: Vec<String>,
    /// Number of cells of the fleet.
    pub cells: usize,
    /// Number of rungs of the ladder.
    pub rungs: usize,
    /// Time after which a dial has failed, and within which a set-up must begin to be written.
    pub dial_timeout: Span,
    /// Maximum number of waiting and unanswered set-ups on one connection to a streamer.
    pub max_set_ups_per_link: usize,
    /// Maximum number of connections to all streamers together.
    pub max_connections: usize,
    /// A connection to a streamer that nothing needs is closed after this time.
    pub max_idle: Span,
    /// Maximum number of tracked requests and sessions.
    pub max_tracked: usize,
}

/// Work for the caller.
#[derive(Debug)]
pub enum Effect {
    /// Send a message on a viewer connection.
    SendToViewer {
        conn: u64,
        message: Message,
        /// It releases an established session: any viewer connection can carry it.
        ends_session: bool,
        /// Set if it is the final answer of a request.
        reply: Option<PendingReply>,
        /// The steps of the request that it answers, if they are logged.
        steps: Option<Box<Steps>>,
    },
    /// Close a viewer connection on which no answer is owed, unless more than `messages_read` messages were read on it.
    CloseIfIdle { conn: u64, messages_read: u64 },
    /// Read nothing more on a viewer connection, and close it once no answer is owed on it.
    Drain { conn: u64 },
    /// Dial a streamer.
    Dial { on: Connection, address: String },
    /// Write a batch of messages to a streamer.
    Write { on: Connection, messages: Vec<QueuedMessage<OutboundMessage>> },
    /// Close a connection to a streamer. With `awaits_close`, only this end's half is closed at first, and the
    /// streamer's own close is awaited for a while: after it the streamer reads nothing more of that connection, and
    /// has given up the set-ups on it that had not finished.
    Close { on: Connection, awaits_close: bool },
}

/// How a connection or a dial ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionLoss {
    /// The dial was refused: no process listens at the address, which proves that the streamer's process is gone.
    Refused,
    /// The dial timed out or failed in another way.
    DialFailed,
    /// The connection was up and broke, or was closed by this end.
    Disconnected,
    /// What was read on the connection can't be used. The streamer may still send on it.
    Unusable,
}

/// The value of the log field `loss`, which keeps its first names.
impl fmt::Display for ConnectionLoss {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(match self {
            ConnectionLoss::Refused => "Refused",
            ConnectionLoss::DialFailed => "Dark",
            ConnectionLoss::Disconnected | ConnectionLoss::Unusable => "Broke",
        })
    }
}

/// Why this end closes a connection to a streamer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// Nothing needed it for `max_idle`.
    Idle,
    /// Nothing was received on it for too long, or a message stayed unwritten.
    Silent,
    /// A set-up got no answer on it, and nothing else was received within the test timeout.
    Unanswered,
    /// Too many messages wait to be written.
    QueueFull,
    /// The list has another address for the streamer.
    AddressChanged,
    /// The streamer was removed from the list, and no state of it is left here.
    StreamerGone,
    /// Another connection needs its descriptor.
    MakesRoom,
}

/// An attempt whose outcome is not known.
struct Attempt {
    number: u32,
    /// The connection that carries it. Link and dial are 0 until it has one; no connection has these numbers.
    on: Connection,
    deadline: Point,
    not_after: Point,
    /// Decides whether it may begin to be written. From the moment in which it begins it may have run.
    permit: Permit,
    /// No earlier attempt of its request may have set up a session at its streamer.
    is_first: bool,
    /// Set once it is given up: the next attempt waits for a proof that this one is over.
    given_up: Option<AbandonedAttempt>,
}

/// An attempt whose request is over and that may still run: no other may begin under its session.
struct UnprovenAttempt {
    session: u64,
    attempt: AbandonedAttempt,
    until: Point,
}

/// A message for a streamer. One with a permit is written only if the permit lets it begin.
#[derive(Clone, Debug, PartialEq)]
pub struct OutboundMessage {
    pub message: Message,
    pub permit: Option<Permit>,
}

/// A set-up of a viewer that is not decided yet.
struct UndecidedSetUp {
    connection_id: u64,
    session: u64,
    body: Body,
    /// When it was read, and how long it may have waited unread before.
    read_at: Point,
    read_delay: Span,
    /// Set if it is owed an answer, which a hand-over is not.
    reply: Option<PendingReply>,
    /// The memory that it holds until it is decided, if it is long.
    _memory: Option<OwnedSemaphorePermit>,
}

/// A request that is not answered finally yet, or a session that plays.
struct TrackedSession {
    session: u64,
    handle: SessionHandle,
    connection_id: u64,
    /// Set until the request is answered.
    reply: Option<PendingReply>,
    /// What is passed on with each attempt. Its description is dropped once the session plays.
    set_up: SetUp,
    streamer: Arc<str>,
    /// The deadline of the request.
    deadline: Point,
    rung: usize,
    attempt_count: u32,
    read_at: Point,
    decided_at: Option<Point>,
    /// When its last attempt began.
    begun_at: Option<Point>,
    attempt: Option<Attempt>,
    /// Streamers at which an earlier attempt may have set up a session, which they may still release.
    previous_streamers: Vec<Arc<str>>,
    /// Since when the session plays.
    playing_since: Option<Point>,
    /// The connection that carries the messages about the session to its streamer while it plays: messages keep their
    /// order only within one connection.
    control_connection: Option<Connection>,
    /// The connection on which its streamer spoke of it last. It leads to the process that the session plays in for as
    /// long as it is up; what is dialled later at the same address may be another process.
    heard_on: Option<Connection>,
    /// What it takes of the share of its client's connection.
    charge: Charge,
}

impl TrackedSession {
    /// A request or session with this connection and session number, when it was read, and its deadline.
    fn new(
        (connection_id, session): (u64, u64),
        handle: SessionHandle,
        reply: Option<PendingReply>,
        set_up: SetUp,
        (read_at, deadline): (Point, Point),
    ) -> TrackedSession {
        TrackedSession {
            session,
            handle,
            connection_id,
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
            heard_on: None,
            charge: Charge::default(),
        }
    }

    /// Whether a message of the streamer about this session can't concern an earlier attempt.
    fn is_first_attempt_at(&self, streamer: &Arc<str>) -> bool {
        !self.previous_streamers.contains(streamer)
    }

    /// Whether a streamer may have state of this session.
    fn has_begun(&self) -> bool {
        let is_out = self.attempt.as_ref().is_some_and(|attempt| attempt.permit.has_begun());
        is_out || self.begun_at.is_some() || self.playing_since.is_some()
    }
}

struct KnownStreamer {
    entry: ListEntry,
    /// Number of the change of the list that gave it its address; 0 if it was never listed there as ready. Only a new
    /// process takes an address over, and it is ready first.
    address_since: u64,
    /// Another streamer has got its address since, so its process is gone, whether the list says so yet or not.
    is_superseded: bool,
    link_ids: Vec<u64>,
    /// Since when no connection to it could be established.
    unreachable_since: Option<Point>,
    /// What is missing before everything is heard that it has said of the sessions that play there.
    unheard: Unheard,
}

impl KnownStreamer {
    fn state(&self) -> StreamerState {
        if self.is_superseded {
            StreamerState::Gone
        } else {
            self.entry.streamer_state()
        }
    }

    /// The entry as the module takes it.
    fn module_entry(&self) -> StreamerEntry {
        StreamerEntry { state: self.state(), ..self.entry.to_streamer_entry() }
    }
}

/// A link to a streamer, with one connection at a time.
struct StreamerLink {
    streamer: Arc<str>,
    link: Link<OutboundMessage>,
    /// Number of its last dial among all dials.
    dial_number: u64,
    /// Set-ups that wait to be written on it or are unanswered on it.
    pending_set_ups: usize,
    /// Set if a set-up got no answer on it: it is closed if nothing is received on it until then.
    suspect_until: Option<Point>,
}

/// A release that a streamer has to read.
struct PendingRelease {
    streamer: Arc<str>,
    session: u64,
    until: Point,
    sent: Option<SentRelease>,
    /// Whether a connection is dialled for it if none is up, as the session is known to be established.
    dials_if_needed: bool,
    /// Only a client has said that the streamer has the session.
    is_claimed: bool,
}

/// The last sending of a release to a streamer.
struct SentRelease {
    on: Connection,
    /// Number of the last test that was sent before it. Once the streamer passes a later test on the same connection,
    /// it has read the release.
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
            // An established session belongs to no connection and outlives it.
            Evidence::ClosedByStreamer | Evidence::ConnectRefused => false,
        }
    }
}

/// A connection from viewers.
struct ViewerConnection {
    /// Requests on it that are decided and owed an answer.
    unanswered: usize,
    /// Set-ups that were read on it and are not decided.
    undecided: usize,
    /// What shows that it belongs to a viewer.
    evidence: ViewerEvidence,
    last_message_at: Point,
    /// Number of messages read on it.
    messages_read: u64,
    /// Its task was sent a command to close it if it is idle, and nothing was read on it since.
    closes_if_idle: bool,
    /// Nothing more is read on it, and no new request of it is started; the requests on it are still answered.
    is_draining: bool,
    /// Session numbers of the last set-ups that were rejected or failed on it.
    rejected_sessions: VecDeque<u64>,
}

impl ViewerConnection {
    /// Whether no answer is owed on it and nothing is undecided.
    fn is_idle(&self) -> bool {
        self.unanswered == 0 && self.undecided == 0
    }
}

/// The requests, sessions and connections of one process.
pub struct Dispatcher {
    controller: Controller,
    settings: DispatcherSettings,
    streamers: BTreeMap<Arc<str>, KnownStreamer>,
    /// Number of changes of the list so far.
    list_changes: u64,
    links: BTreeMap<u64, StreamerLink>,
    /// Ordered, so that the same events give the same effects.
    sessions: BTreeMap<u32, TrackedSession>,
    id_by_session: HashMap<u64, u32>,
    viewer_connections: BTreeMap<u64, ViewerConnection>,
    timers: BinaryHeap<Reverse<(Point, u32, u32)>>,
    client_releases: ClientReleases,
    client_shares: ClientShares,
    next_tick_at: Option<Point>,
    links_checked_at: Point,
    random: StdRng,
    last_id: u32,
    last_link: u64,
    /// Number of dials so far.
    last_dial: u64,
    stopping_since: Option<Point>,
    /// How long this process did not run before the messages that are being handled.
    read_delay: Span,
    /// Set-ups that were read and are not decided, in order.
    undecided: VecDeque<UndecidedSetUp>,
    /// Ends of sessions that arrived before their hand-over.
    untracked_ends: UntrackedEnds,
    unconfirmed_hand_overs: UnconfirmedHandOvers,
    /// Releases that their streamer is not known to have read.
    pending_releases: VecDeque<PendingRelease>,
    unproven: VecDeque<UnprovenAttempt>,
    /// Sessions under which an attempt began and which are not tracked any more.
    ended: EndedSessions,
    /// Connections that this end does not use any more and whose close by the streamer is awaited, with that streamer.
    /// They hold a descriptor, and messages on them are still handled.
    closing: BTreeMap<Connection, Arc<str>>,
    /// Number of the last test that was sent to a streamer.
    last_test: u64,
    replies: Replies,
    /// Work for the caller, in order.
    pub effects: Vec<Effect>,
}

impl Dispatcher {
    /// Creates a dispatcher without streamers and connections. `seed` seeds the module and the redial delays.
    pub fn new(
        now: Point,
        seed: u64,
        controller_settings: &ControllerSettings,
        settings: DispatcherSettings,
    ) -> Dispatcher {
        // The platform has no message for probes, so they are switched off. Guards against requests that wait for the
        // result of a probe that never arrives.
        let mut controller_settings = controller_settings.clone();
        controller_settings.insert("looks.allowed".to_owned(), SettingValue::Flag(false));
        Dispatcher {
            controller: Controller::new(now, seed, &controller_settings),
            settings,
            streamers: BTreeMap::new(),
            list_changes: 0,
            links: BTreeMap::new(),
            sessions: BTreeMap::new(),
            id_by_session: HashMap::new(),
            viewer_connections: BTreeMap::new(),
            timers: BinaryHeap::new(),
            client_releases: ClientReleases::default(),
            client_shares: ClientShares::default(),
            next_tick_at: None,
            links_checked_at: now,
            random: StdRng::seed_from_u64(seed),
            last_id: 0,
            last_link: 0,
            last_dial: 0,
            stopping_since: None,
            read_delay: Span::ZERO,
            undecided: VecDeque::new(),
            untracked_ends: UntrackedEnds::default(),
            unconfirmed_hand_overs: UnconfirmedHandOvers::default(),
            pending_releases: VecDeque::new(),
            unproven: VecDeque::new(),
            ended: EndedSessions::default(),
            closing: BTreeMap::new(),
            last_test: 0,
            replies: Replies::default(),
            effects: Vec::new(),
        }
    }

    /// When `tick` is to be called next.
    pub fn next_tick(&self) -> Point {
        let timer = self.timers.peek().map(|Reverse((at, ..))| *at);
        let next_link_check = self.links_checked_at + LINK_CHECK_INTERVAL;
        [timer, self.next_tick_at].into_iter().flatten().fold(next_link_check, Point::min)
    }

    /// Number of tracked requests and sessions, with set-ups that are not decided.
    pub fn tracked_count(&self) -> usize {
        self.sessions.len() + self.undecided.len()
    }

    /// Number of requests that are owed an answer, with set-ups that are not decided.
    pub fn unanswered_count(&self) -> usize {
        self.sessions.values().filter(|tracked| tracked.playing_since.is_none()).count()
            + self.undecided.len()
    }

    /// Number of set-ups that are not decided.
    pub fn undecided_count(&self) -> usize {
        self.undecided.len()
    }

    /// The open requests. The tasks that read from viewer connections register theirs here.
    pub fn replies(&self) -> &Replies {
        &self.replies
    }

    /// Number of links to streamers.
    pub fn link_count(&self) -> usize {
        self.links.len()
    }

    /// Number of known streamers.
    pub fn streamer_count(&self) -> usize {
        self.streamers.len()
    }

    /// Messages that are handled from now on may have waited unread for up to this time, as this process did not run.
    /// Their deadlines are earlier by it. Guards against answers that arrive when the viewer does not wait any more.
    pub fn set_read_delay(&mut self, read_delay: Span) {
        self.read_delay = read_delay;
    }

    /// The platform is about to stop this process: set-ups are accepted only for a short time more.
    pub fn stop(&mut self, now: Point) {
        self.stopping_since.get_or_insert(now);
    }

    /// Does what is due. To be called at the time that `next_tick` gives.
    pub fn tick(&mut self, now: Point) {
        if now - self.links_checked_at >= LINK_CHECK_INTERVAL {
            self.check_links(now, now - self.links_checked_at);
            self.links_checked_at = now;
            self.forget_sent_releases(now);
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
