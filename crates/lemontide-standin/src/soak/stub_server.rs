//! A stand-in server of the platform with the network before it: delays, silence, resets and closes, and every kind of
//! answer. It records when each attempt's bytes came, when it arrived, and when it was over.

mod connection;

pub use connection::bind;
use connection::listen;

use super::event_log::{Attempt, AttemptEnd, Recorder};
use super::plan::{seeded_fraction, Mode, Plan};
use crate::platform::bytes_of;
use bytes::Bytes;
use lemontide::interface::Load;
use lemontide_platform::codec::{cause, Body, Message, SetUp};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

/// A release is said again on connections that are opened so much later, in seconds.
const RELEASE_AGAIN: f64 = 8.0;
/// What was written so long before the end of a connection may not have been read: a reset overtakes it, and a node may
/// have closed the connection, or given it up as unreadable, before; in seconds.
const OVERTAKEN: f64 = 0.8;
/// Viewers look at what they get on a clock of their own, every so often, in seconds, and tell within so long of the answer.
const VIEWERS_LOOK_EVERY: f64 = 0.25;
const VIEWERS_LEAVE_WITHIN: f64 = 0.001;
/// How long an attempt takes before its answer, in seconds: from and to.
const WORK: (f64, f64) = (0.005, 0.06);
/// How long a session stands, in seconds: from and to.
const STANDS: (f64, f64) = (0.3, 3.0);

/// What a server does with one set-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Treatment {
    Answer,
    AnswerTwice,
    AnswerLate,
    /// The session stands, and its answer is lost on the way.
    LoseAnswer,
    /// The session stands, and its viewer ends it within the same moment of its clock.
    AnswerAndLeave,
    NeverAnswer,
    Spoil,
    Release(u8),
    Reset,
    Close,
}

/// What is marked in the record once bytes are written.
#[derive(Clone, Copy, Debug)]
enum Mark {
    Nothing,
    Answered(usize),
    Ended(usize, AttemptEnd),
    Released(usize),
}

enum Out {
    Bytes { at: f64, bytes: Vec<u8>, mark: Mark },
    Close { reset: bool },
}

enum Arrival {
    /// With the attempt that it begins, if any.
    Message(Box<Message>, Option<usize>),
    End,
}

struct Session {
    id: u64,
    attempt: usize,
    node: usize,
    connection: u64,
    stands: bool,
}

struct Link {
    connection: u64,
    node: usize,
    delay: f64,
    out: mpsc::UnboundedSender<Out>,
}

struct State {
    mode: Mode,
    sessions: Vec<Session>,
    links: Vec<Link>,
    /// Releases of what stood: when, for which node, session and attempt.
    released: Vec<(f64, usize, u64, usize)>,
    connections: u64,
}

pub struct StubServer {
    index: usize,
    plan: Arc<Plan>,
    recorder: Arc<Recorder>,
    state: Mutex<State>,
    /// Counts the deaths; connections end with their process.
    process: watch::Sender<u64>,
    mode: watch::Sender<Mode>,
    addresses: Vec<SocketAddr>,
}

impl StubServer {
    /// Starts a server that listens at an address of its own for each node.
    pub fn start(
        plan: Arc<Plan>,
        recorder: Arc<Recorder>,
        index: usize,
        network: [u8; 2],
        port: u16,
    ) -> Arc<StubServer> {
        let address = |node: usize| {
            let ip = Ipv4Addr::new(127, network[0], network[1].wrapping_add(node as u8), index as u8 + 1);
            SocketAddr::from((ip, port))
        };
        let server = Arc::new(StubServer {
            index,
            addresses: (0..plan.node_count).map(address).collect(),
            plan,
            recorder,
            state: Mutex::new(State {
                mode: Mode::Normal,
                sessions: Vec::new(),
                links: Vec::new(),
                released: Vec::new(),
                connections: 0,
            }),
            process: watch::channel(0).0,
            mode: watch::channel(Mode::Normal).0,
        });
        for node in 0..server.addresses.len() {
            tokio::spawn(listen(server.clone(), node));
        }
        server
    }

    pub fn index(&self) -> usize {
        self.index
    }

    pub fn mode(&self) -> Mode {
        self.state().mode
    }

    pub fn address(&self, node: usize) -> SocketAddr {
        self.addresses[node]
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn set_mode(&self, mode: Mode) {
        let now = self.recorder.now();
        let mut state = self.state();
        if mode == Mode::Dead && state.mode != Mode::Dead {
            let mut event_log = self.recorder.event_log();
            event_log.server_crashes.push((now, self.index));
            for session in state.sessions.drain(..) {
                let end =
                    if session.stands { AttemptEnd::SessionEnded } else { AttemptEnd::ConnectionClosed };
                event_log.attempts[session.attempt].ended = Some((now, end));
            }
            state.links.clear();
            state.released.clear();
        }
        state.mode = mode;
        drop(state);
        if mode == Mode::Dead {
            self.process.send_modify(|process| *process += 1);
        }
        self.mode.send_replace(mode);
    }

    /// Waits while nothing passes.
    async fn passes(&self) {
        let mut mode = self.mode.subscribe();
        let _ = mode.wait_for(|mode| *mode != Mode::Silent).await;
    }

    fn end(&self, attempt: usize, end: AttemptEnd) {
        let now = self.recorder.now();
        self.recorder.event_log().attempts[attempt].ended.get_or_insert((now, end));
    }

    /// Sends on a connection of this number, or on any to the node where it is gone; whether there was one.
    fn say(&self, state: &State, node: usize, connection: u64, message: Message, mark: Mark) -> bool {
        let of_node = state.links.iter().filter(|link| link.node == node);
        let link = of_node.clone().find(|link| link.connection == connection).or(of_node.clone().next_back());
        let Some(link) = link else { return false };
        let at = self.recorder.now() + link.delay;
        link.out.send(Out::Bytes { at, bytes: bytes_of(message), mark }).is_ok()
    }

    /// The sessions that are being set up on a connection which closes are given up.
    fn close(&self, connection: u64, end: AttemptEnd) {
        let mut state = self.state();
        let gone = |session: &Session| session.connection == connection && !session.stands;
        for session in state.sessions.iter().filter(|session| gone(session)) {
            self.end(session.attempt, end);
        }
        state.sessions.retain(|session| !gone(session));
        state.links.retain(|link| link.connection != connection);
    }

    /// A message arrives, behind the network.
    fn take(self: &Arc<StubServer>, node: usize, connection: u64, message: Message, attempt: Option<usize>) {
        let Message { session, body } = message;
        match body {
            Body::Test => {
                let passed = Message { session, body: Body::Tested { passed: true } };
                let state = self.state();
                if state.links.iter().any(|link| link.connection == connection) {
                    self.say(&state, node, connection, passed, Mark::Nothing);
                }
            }
            Body::SetUp(set_up) => {
                let Some(attempt) = attempt else { return };
                let now = self.recorder.now();
                self.recorder.event_log().attempts[attempt].arrived_at = Some(now);
                let new = Session { id: session, attempt, node, connection, stands: false };
                let has_room = self.take_up(new);
                let treatment =
                    if has_room { self.treatment(session, attempt) } else { Treatment::Release(cause::FULL) };
                tokio::spawn(treat(self.clone(), node, connection, session, attempt, set_up, treatment));
            }
            Body::Release { .. } => self.released_by_node(node, connection, session),
            _ => {}
        }
    }

    /// Takes up a session; whether there is a place for it.
    fn take_up(&self, session: Session) -> bool {
        let mut state = self.state();
        state.sessions.push(session);
        self.plan.server_capacity.is_none_or(|places| state.sessions.len() <= places)
    }

    fn released_by_node(&self, node: usize, connection: u64, id: u64) {
        let mut state = self.state();
        let setting_up = |s: &Session| s.id == id && !s.stands && s.connection == connection;
        let standing = |s: &Session| s.id == id && s.stands;
        let place = state.sessions.iter().position(setting_up);
        if let Some(place) = place.or_else(|| state.sessions.iter().position(standing)) {
            let session = state.sessions.remove(place);
            self.end(
                session.attempt,
                if session.stands { AttemptEnd::SessionEnded } else { AttemptEnd::Abandoned },
            );
        }
        // To acknowledge it is free.
        if self.plan.seed.is_multiple_of(2) {
            self.say(&state, node, connection, Message { session: id, body: Body::Heard }, Mark::Nothing);
        }
    }

    /// The session of an attempt, if its process still has it.
    fn with_session(&self, attempt: usize, change: impl FnOnce(&State, &mut Session)) -> bool {
        let mut state = self.state();
        let Some(place) = state.sessions.iter().position(|s| s.attempt == attempt) else { return false };
        let mut session = state.sessions.swap_remove(place);
        change(&state, &mut session);
        state.sessions.push(session);
        true
    }

    /// The end of a connection may overtake what was written shortly before it: releases are said on another one, at
    /// once or when one is opened, and count from then on.
    fn release_again(&self, connection: u64) {
        let since = self.recorder.now() - OVERTAKEN;
        let state = self.state();
        for (_, node, session, attempt) in &state.released {
            let mut event_log = self.recorder.event_log();
            let written = &mut event_log.attempts[*attempt].release_written;
            if !written.is_some_and(|(at, on)| on == connection && at >= since) {
                continue;
            }
            *written = None;
            drop(event_log);
            let release = Message { session: *session, body: Body::release(cause::NORMAL) };
            self.say(&state, *node, connection, release, Mark::Released(*attempt));
        }
    }

    /// Waits for the moment in which viewers look, as the run's clock has it.
    async fn until_viewers_look(&self) {
        let phase = VIEWERS_LOOK_EVERY * seeded_fraction(self.plan.seed, 0x0c10, 0);
        let looks = ((self.recorder.now() - phase) / VIEWERS_LOOK_EVERY).ceil();
        tokio::time::sleep_until(self.recorder.instant(phase + looks * VIEWERS_LOOK_EVERY)).await;
    }

    fn has_session(&self, attempt: usize) -> bool {
        self.state().sessions.iter().any(|session| session.attempt == attempt)
    }

    fn forget(&self, attempt: usize) -> Option<Session> {
        let mut state = self.state();
        let place = state.sessions.iter().position(|s| s.attempt == attempt)?;
        Some(state.sessions.swap_remove(place))
    }

    fn treatment(&self, id: u64, attempt: usize) -> Treatment {
        let probabilities = &self.plan.probabilities;
        let earlier =
            self.recorder.event_log().attempts[..attempt].iter().filter(|a| a.id == id).count() as u64;
        let mut rest = seeded_fraction(self.plan.seed, id, earlier);
        let all = [
            (probabilities.refused_full, Treatment::Release(cause::FULL)),
            (probabilities.refused_moot, Treatment::Release(cause::MOOT)),
            (probabilities.failed, Treatment::Release(cause::ERROR)),
            (probabilities.answer_lost, Treatment::LoseAnswer),
            (probabilities.never_answered, Treatment::NeverAnswer),
            (probabilities.late_answer, Treatment::AnswerLate),
            (probabilities.garbled_answer, Treatment::Spoil),
            (probabilities.duplicate_answer, Treatment::AnswerTwice),
            (probabilities.reset_before_answer, Treatment::Reset),
            (probabilities.close_before_answer, Treatment::Close),
            (probabilities.ended_when_answered, Treatment::AnswerAndLeave),
        ];
        for (chance, treatment) in all {
            if rest < chance {
                return treatment;
            }
            rest -= chance;
        }
        Treatment::Answer
    }
}

/// Does with a set-up what is drawn for it.
async fn treat(
    server: Arc<StubServer>,
    node: usize,
    connection: u64,
    id: u64,
    attempt: usize,
    set_up: SetUp,
    treatment: Treatment,
) {
    let fraction = |what: u64| seeded_fraction(server.plan.seed, id ^ 0x5eed, attempt as u64 * 8 + what);
    let mut work = WORK.0 + (WORK.1 - WORK.0) * fraction(0);
    if treatment == Treatment::AnswerLate {
        work = set_up.wait_ms as f64 / 1e3 + 0.2 * fraction(1);
    }
    sleep(Duration::from_secs_f64(work)).await;
    if treatment == Treatment::AnswerAndLeave {
        server.until_viewers_look().await;
    }
    server.passes().await;
    if server.state().mode == Mode::Hangs {
        return;
    }
    match treatment {
        Treatment::NeverAnswer => {}
        Treatment::Release(cause) => {
            if !server.has_session(attempt) {
                return;
            }
            let ran = ![cause::FULL, cause::MOOT].contains(&cause);
            let mark = Mark::Ended(attempt, AttemptEnd::Answered { ran });
            let refusal = Message { session: id, body: Body::release(cause) };
            server.say(&server.state(), node, connection, refusal, mark);
        }
        Treatment::Spoil => {
            if !server.has_session(attempt) {
                return;
            }
            let noise: Vec<u8> = match (fraction(2) * 3.0) as u32 {
                0 => vec![0xff; 64],
                1 => bytes_of(Message { session: id, body: answer("cut") })[..12].to_vec(),
                _ => vec![0, 12, 9, 1, 2, 3, 4, 5, 6, 7, 8, 94, 255, 255],
            };
            let mark = Mark::Ended(attempt, AttemptEnd::Answered { ran: true });
            let state = server.state();
            let link = state.links.iter().find(|link| link.connection == connection);
            if let Some(link) = link {
                let at = server.recorder.now() + link.delay;
                let _ = link.out.send(Out::Bytes { at, bytes: noise, mark });
            }
        }
        Treatment::Reset | Treatment::Close => {
            let reset = treatment == Treatment::Reset;
            let state = server.state();
            if let Some(link) = state.links.iter().find(|link| link.connection == connection) {
                let _ = link.out.send(Out::Close { reset });
            }
        }
        Treatment::AnswerAndLeave => {
            if stand(&server, node, connection, id, attempt, treatment) {
                sleep(Duration::from_secs_f64(VIEWERS_LEAVE_WITHIN * fraction(3))).await;
                viewer_leaves(&server, id, attempt);
            }
        }
        Treatment::Answer | Treatment::AnswerTwice | Treatment::AnswerLate | Treatment::LoseAnswer => {
            if stand(&server, node, connection, id, attempt, treatment) {
                sleep(Duration::from_secs_f64(STANDS.0 + (STANDS.1 - STANDS.0) * fraction(3))).await;
                server.passes().await;
                end_of_play(&server, attempt);
            }
        }
    }
}

fn answer(description: &str) -> Body {
    Body::Answer { description: Bytes::copy_from_slice(description.as_bytes()), load: Load::default() }
}

/// The session stands from now on; false where it was given up.
fn stand(
    server: &StubServer,
    node: usize,
    connection: u64,
    id: u64,
    attempt: usize,
    treatment: Treatment,
) -> bool {
    let description = format!("{id:016x} by {} for attempt {attempt}", server.index);
    server.recorder.event_log().descriptions_by_session.entry(id).or_default().push(description.clone());
    server.with_session(attempt, |state, session| {
        session.stands = true;
        if treatment == Treatment::LoseAnswer {
            return;
        }
        let say = |id: u64, description: &str, mark| {
            let message = Message { session: id, body: answer(description) };
            if state.links.iter().any(|link| link.connection == connection) {
                server.say(state, node, connection, message, mark);
            }
        };
        let twice = treatment == Treatment::AnswerTwice;
        if twice && id.is_multiple_of(2) {
            say(id ^ 0xffff_0000, "of another", Mark::Nothing);
        }
        say(id, &description, Mark::Answered(attempt));
        if twice {
            say(id, &description, Mark::Nothing);
        }
    })
}

/// The viewer of a session ends it there. Its client is owed the answer all the same, and no release.
fn viewer_leaves(server: &StubServer, id: u64, attempt: usize) {
    let Some(session) = server.forget(attempt) else { return };
    server.end(attempt, AttemptEnd::SessionEnded);
    let now = server.recorder.now();
    if let Some(request) = server.recorder.event_log().request(id) {
        request.ended_at.get_or_insert(now);
    }
    let left = Message { session: id, body: Body::release(cause::CANCELLED) };
    server.say(&server.state(), session.node, session.connection, left, Mark::Nothing);
}

/// What stood has come to its end.
fn end_of_play(server: &StubServer, attempt: usize) {
    let Some(session) = server.forget(attempt) else { return };
    server.end(attempt, AttemptEnd::SessionEnded);
    let now = server.recorder.now();
    let mut state = server.state();
    state.released.retain(|released| now - released.0 < RELEASE_AGAIN);
    state.released.push((now, session.node, session.id, attempt));
    let release = Message { session: session.id, body: Body::release(cause::NORMAL) };
    server.say(&state, session.node, session.connection, release, Mark::Released(attempt));
}
