//! A stub streamer server with a simulated network in front of it: delays, silence, resets, closes, and all kinds of
//! answers. It logs when the bytes of each attempt were received, when the attempt arrived, and when it ended.

mod connection;

pub use connection::bind;
use connection::listen;

use super::event_log::{Attempt, AttemptEnd, Recorder};
use super::plan::{seeded_fraction, Mode, Plan};
use crate::stub_platform::encode_message;
use bytes::Bytes;
use lemontide::interface::Load;
use lemontide_platform::codec::{cause, Body, Message, SetUp};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

/// A release is repeated on connections that the node opens up to this long after it.
const REPEAT_RELEASE_FOR_S: f64 = 8.0;
/// What was written within this time before the end of a connection may not have been read: a reset can overtake it,
/// and the node may have closed the connection, or given it up as unreadable, before.
const POSSIBLY_UNREAD_S: f64 = 0.8;
/// Viewers poll at fixed times with this interval, and end a session within this time after its answer.
const VIEWER_POLL_INTERVAL_S: f64 = 0.25;
const VIEWER_LEAVES_WITHIN_S: f64 = 0.001;
/// The shortest and the longest time from a set-up's arrival to its answer.
const SET_UP_TIME_S: (f64, f64) = (0.005, 0.06);
/// The shortest and the longest length of a session.
const SESSION_LENGTH_S: (f64, f64) = (0.3, 3.0);

/// How a server responds to one set-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Response {
    Answer,
    AnswerTwice,
    AnswerLate,
    /// The session is established, and its answer is lost.
    LoseAnswer,
    /// The session is established right after a viewer poll, and its viewer ends it at once.
    AnswerAndEnd,
    NeverAnswer,
    Garbage,
    Release(u8),
    ResetConnection,
    CloseConnection,
}

/// The entry of the event log that is made when a message is written. The numbers are indices of attempts.
#[derive(Clone, Copy, Debug)]
enum LogEntry {
    Nothing,
    Answered(usize),
    Ended(usize, AttemptEnd),
    Released(usize),
}

/// What the writer of a connection has to do.
enum Outgoing {
    Bytes { at: f64, bytes: Vec<u8>, log_entry: LogEntry },
    Close { reset: bool },
}

/// What the simulated network delivers.
enum Incoming {
    /// A message, and the index of the attempt that it begins, if any.
    Message(Box<Message>, Option<usize>),
    End,
}

/// A session that is being set up or is established.
struct Session {
    id: u64,
    attempt: usize,
    node: usize,
    connection: u64,
    is_established: bool,
}

/// A connection from a node.
struct NodeConnection {
    id: u64,
    node: usize,
    delay_s: f64,
    outgoing: mpsc::UnboundedSender<Outgoing>,
}

struct State {
    mode: Mode,
    sessions: Vec<Session>,
    node_connections: Vec<NodeConnection>,
    /// Releases of established sessions: when, for which node, session and attempt.
    released: Vec<(f64, usize, u64, usize)>,
    connection_count: u64,
}

/// A stub streamer server.
pub struct StubServer {
    index: usize,
    plan: Arc<Plan>,
    recorder: Arc<Recorder>,
    state: Mutex<State>,
    /// The number of times that the process has died; connections end with their process.
    process_generation: watch::Sender<u64>,
    mode: watch::Sender<Mode>,
    addresses: Vec<SocketAddr>,
}

impl StubServer {
    /// Starts a server that listens on a separate address for each node.
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
                node_connections: Vec::new(),
                released: Vec::new(),
                connection_count: 0,
            }),
            process_generation: watch::channel(0).0,
            mode: watch::channel(Mode::Normal).0,
        });
        for node in 0..server.addresses.len() {
            tokio::spawn(listen(server.clone(), node));
        }
        server
    }

    /// The index of the server in the run.
    pub fn index(&self) -> usize {
        self.index
    }

    /// The mode the server is in now.
    pub fn mode(&self) -> Mode {
        self.state().mode
    }

    /// The address on which the server listens for this node.
    pub fn address(&self, node: usize) -> SocketAddr {
        self.addresses[node]
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the mode. A server whose process ends loses its sessions and connections.
    pub fn set_mode(&self, mode: Mode) {
        let now = self.recorder.now();
        let mut state = self.state();
        if mode == Mode::Dead && state.mode != Mode::Dead {
            self.end_sessions(&mut state, now);
        }
        state.mode = mode;
        drop(state);
        // The mode first: a connection that is accepted with the new generation belongs to the next process.
        self.mode.send_replace(mode);
        if mode == Mode::Dead {
            self.process_generation.send_modify(|generation| *generation += 1);
        }
    }

    /// The process ends, and another server is at the address from that moment on.
    pub fn succeed(&self) {
        let now = self.recorder.now();
        self.end_sessions(&mut self.state(), now);
        self.recorder.event_log().successions.push((now, self.index));
        self.process_generation.send_modify(|generation| *generation += 1);
    }

    /// Ends the sessions and connections of the process.
    fn end_sessions(&self, state: &mut State, now: f64) {
        let mut event_log = self.recorder.event_log();
        event_log.server_crashes.push((now, self.index));
        for session in state.sessions.drain(..) {
            let end =
                if session.is_established { AttemptEnd::SessionEnded } else { AttemptEnd::ConnectionClosed };
            event_log.attempts[session.attempt].ended = Some((now, end));
        }
        state.node_connections.clear();
        state.released.clear();
    }

    /// Waits while traffic is held back.
    async fn wait_while_silent(&self) {
        let mut mode = self.mode.subscribe();
        let _ = mode.wait_for(|mode| *mode != Mode::Silent).await;
    }

    /// Logs the end of an attempt, unless one is logged.
    fn log_end(&self, attempt: usize, end: AttemptEnd) {
        let now = self.recorder.now();
        self.recorder.event_log().attempts[attempt].ended.get_or_insert((now, end));
    }

    /// Sends a message on this connection, or on the node's latest one if this is gone. Returns false if there is none.
    fn send(
        &self,
        state: &State,
        node: usize,
        connection: u64,
        message: Message,
        log_entry: LogEntry,
    ) -> bool {
        let of_node = state.node_connections.iter().filter(|node_connection| node_connection.node == node);
        let node_connection = of_node
            .clone()
            .find(|node_connection| node_connection.id == connection)
            .or(of_node.clone().next_back());
        let Some(node_connection) = node_connection else { return false };
        let at = self.recorder.now() + node_connection.delay_s;
        node_connection
            .outgoing
            .send(Outgoing::Bytes { at, bytes: encode_message(message), log_entry })
            .is_ok()
    }

    /// Removes a closed connection and the sessions that are being set up on it.
    fn remove_connection(&self, connection: u64, end: AttemptEnd) {
        let mut state = self.state();
        let is_removed = |session: &Session| session.connection == connection && !session.is_established;
        for session in state.sessions.iter().filter(|session| is_removed(session)) {
            self.log_end(session.attempt, end);
        }
        state.sessions.retain(|session| !is_removed(session));
        state.node_connections.retain(|node_connection| node_connection.id != connection);
    }

    /// Handles a message that the simulated network has delivered.
    fn receive(
        self: &Arc<StubServer>,
        node: usize,
        connection: u64,
        message: Message,
        attempt: Option<usize>,
    ) {
        let Message { session, body } = message;
        match body {
            Body::Test => {
                let passed = Message { session, body: Body::TestResult { passed: true } };
                let state = self.state();
                if state.node_connections.iter().any(|node_connection| node_connection.id == connection) {
                    self.send(&state, node, connection, passed, LogEntry::Nothing);
                }
            }
            Body::SetUp(set_up) => {
                let Some(attempt) = attempt else { return };
                let now = self.recorder.now();
                self.recorder.event_log().attempts[attempt].arrived_at = Some(now);
                let new = Session { id: session, attempt, node, connection, is_established: false };
                let has_capacity = self.add_session(new);
                let response = if has_capacity {
                    self.choose_response(session, attempt)
                } else {
                    Response::Release(cause::FULL)
                };
                tokio::spawn(respond(self.clone(), node, connection, session, attempt, set_up, response));
            }
            Body::Release { .. } => self.handle_release(node, connection, session),
            _ => {}
        }
    }

    /// Adds a session. Returns false if the server's capacity is exceeded.
    fn add_session(&self, session: Session) -> bool {
        let mut state = self.state();
        state.sessions.push(session);
        self.plan.server_capacity.is_none_or(|capacity| state.sessions.len() <= capacity)
    }

    /// Removes a session that the node releases: one being set up on this connection, or else an established one.
    fn handle_release(&self, node: usize, connection: u64, id: u64) {
        let mut state = self.state();
        let being_set_up = |s: &Session| s.id == id && !s.is_established && s.connection == connection;
        let established = |s: &Session| s.id == id && s.is_established;
        let position = state.sessions.iter().position(being_set_up);
        if let Some(position) = position.or_else(|| state.sessions.iter().position(established)) {
            let session = state.sessions.remove(position);
            self.log_end(
                session.attempt,
                if session.is_established { AttemptEnd::SessionEnded } else { AttemptEnd::Abandoned },
            );
        }
        // Acknowledging a release is optional in the protocol, so half of the seeds do it.
        if self.plan.seed.is_multiple_of(2) {
            self.send(
                &state,
                node,
                connection,
                Message { session: id, body: Body::Acknowledged },
                LogEntry::Nothing,
            );
        }
    }

    /// Changes the session of an attempt. Returns false if the server no longer has it.
    fn with_session(&self, attempt: usize, change: impl FnOnce(&State, &mut Session)) -> bool {
        let mut state = self.state();
        let Some(position) = state.sessions.iter().position(|s| s.attempt == attempt) else { return false };
        let mut session = state.sessions.swap_remove(position);
        change(&state, &mut session);
        state.sessions.push(session);
        true
    }

    /// Repeats releases that were written shortly before the connection ended, as they may not have been read. They are
    /// sent on another connection, at once or when one is opened, and their time counts from then on.
    fn repeat_unread_releases(&self, connection: u64) {
        let since = self.recorder.now() - POSSIBLY_UNREAD_S;
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
            self.send(&state, *node, connection, release, LogEntry::Released(*attempt));
        }
    }

    /// Waits for the next viewer poll.
    async fn wait_for_viewer_poll(&self) {
        let phase = VIEWER_POLL_INTERVAL_S * seeded_fraction(self.plan.seed, 0x0c10, 0);
        let poll_number = ((self.recorder.now() - phase) / VIEWER_POLL_INTERVAL_S).ceil();
        tokio::time::sleep_until(self.recorder.instant(phase + poll_number * VIEWER_POLL_INTERVAL_S)).await;
    }

    fn has_session(&self, attempt: usize) -> bool {
        self.state().sessions.iter().any(|session| session.attempt == attempt)
    }

    /// Removes and returns the session of an attempt.
    fn remove_session(&self, attempt: usize) -> Option<Session> {
        let mut state = self.state();
        let position = state.sessions.iter().position(|s| s.attempt == attempt)?;
        Some(state.sessions.swap_remove(position))
    }

    /// Chooses the response to an attempt by the probabilities, from the seed, the id and the number of earlier
    /// attempts.
    fn choose_response(&self, id: u64, attempt: usize) -> Response {
        let probabilities = &self.plan.probabilities;
        let earlier_attempts =
            self.recorder.event_log().attempts[..attempt].iter().filter(|a| a.id == id).count() as u64;
        let mut rest = seeded_fraction(self.plan.seed, id, earlier_attempts);
        let cumulative = [
            (probabilities.refused_full, Response::Release(cause::FULL)),
            (probabilities.refused_moot, Response::Release(cause::NOT_SENT)),
            (probabilities.failed, Response::Release(cause::ERROR)),
            (probabilities.answer_lost, Response::LoseAnswer),
            (probabilities.never_answered, Response::NeverAnswer),
            (probabilities.late_answer, Response::AnswerLate),
            (probabilities.garbled_answer, Response::Garbage),
            (probabilities.duplicate_answer, Response::AnswerTwice),
            (probabilities.reset_before_answer, Response::ResetConnection),
            (probabilities.close_before_answer, Response::CloseConnection),
            (probabilities.ended_when_answered, Response::AnswerAndEnd),
        ];
        for (probability, response) in cumulative {
            if rest < probability {
                return response;
            }
            rest -= probability;
        }
        Response::Answer
    }
}

/// Responds to a set-up as chosen.
async fn respond(
    server: Arc<StubServer>,
    node: usize,
    connection: u64,
    id: u64,
    attempt: usize,
    set_up: SetUp,
    response: Response,
) {
    let fraction =
        |purpose: u64| seeded_fraction(server.plan.seed, id ^ 0x5eed, attempt as u64 * 8 + purpose);
    let mut set_up_time_s = SET_UP_TIME_S.0 + (SET_UP_TIME_S.1 - SET_UP_TIME_S.0) * fraction(0);
    if response == Response::AnswerLate {
        set_up_time_s = set_up.wait_ms as f64 / 1e3 + 0.2 * fraction(1);
    }
    sleep(Duration::from_secs_f64(set_up_time_s)).await;
    if response == Response::AnswerAndEnd {
        server.wait_for_viewer_poll().await;
    }
    server.wait_while_silent().await;
    if server.state().mode == Mode::Hangs {
        return;
    }
    match response {
        Response::NeverAnswer => {}
        Response::Release(cause) => {
            if !server.has_session(attempt) {
                return;
            }
            let ran = ![cause::FULL, cause::NOT_SENT].contains(&cause);
            let log_entry = LogEntry::Ended(attempt, AttemptEnd::Answered { ran });
            let refusal = Message { session: id, body: Body::release(cause) };
            server.send(&server.state(), node, connection, refusal, log_entry);
        }
        Response::Garbage => {
            if !server.has_session(attempt) {
                return;
            }
            let garbage: Vec<u8> = match (fraction(2) * 3.0) as u32 {
                0 => vec![0xff; 64],
                1 => encode_message(Message { session: id, body: answer_body("cut") })[..12].to_vec(),
                _ => vec![0, 12, 9, 1, 2, 3, 4, 5, 6, 7, 8, 94, 255, 255],
            };
            let log_entry = LogEntry::Ended(attempt, AttemptEnd::Answered { ran: true });
            let state = server.state();
            let node_connection =
                state.node_connections.iter().find(|node_connection| node_connection.id == connection);
            if let Some(node_connection) = node_connection {
                let at = server.recorder.now() + node_connection.delay_s;
                let _ = node_connection.outgoing.send(Outgoing::Bytes { at, bytes: garbage, log_entry });
            }
        }
        Response::ResetConnection | Response::CloseConnection => {
            let reset = response == Response::ResetConnection;
            let state = server.state();
            if let Some(node_connection) =
                state.node_connections.iter().find(|node_connection| node_connection.id == connection)
            {
                let _ = node_connection.outgoing.send(Outgoing::Close { reset });
            }
        }
        Response::AnswerAndEnd => {
            if establish(&server, node, connection, id, attempt, response) {
                sleep(Duration::from_secs_f64(VIEWER_LEAVES_WITHIN_S * fraction(3))).await;
                end_by_viewer(&server, id, attempt);
            }
        }
        Response::Answer | Response::AnswerTwice | Response::AnswerLate | Response::LoseAnswer => {
            if establish(&server, node, connection, id, attempt, response) {
                sleep(Duration::from_secs_f64(
                    SESSION_LENGTH_S.0 + (SESSION_LENGTH_S.1 - SESSION_LENGTH_S.0) * fraction(3),
                ))
                .await;
                server.wait_while_silent().await;
                end_by_server(&server, attempt);
            }
        }
    }
}

fn answer_body(description: &str) -> Body {
    Body::Answer { description: Bytes::copy_from_slice(description.as_bytes()), load: Load::default() }
}

/// Establishes the session and sends its answer, unless that is to be lost. Returns false if the session was given up.
fn establish(
    server: &StubServer,
    node: usize,
    connection: u64,
    id: u64,
    attempt: usize,
    response: Response,
) -> bool {
    let description = format!("{id:016x} by {} for attempt {attempt}", server.index);
    server.recorder.event_log().descriptions_by_session.entry(id).or_default().push(description.clone());
    server.with_session(attempt, |state, session| {
        session.is_established = true;
        if response == Response::LoseAnswer {
            return;
        }
        let send = |id: u64, description: &str, log_entry| {
            let message = Message { session: id, body: answer_body(description) };
            if state.node_connections.iter().any(|node_connection| node_connection.id == connection) {
                server.send(state, node, connection, message, log_entry);
            }
        };
        let is_duplicate = response == Response::AnswerTwice;
        if is_duplicate && id.is_multiple_of(2) {
            send(id ^ 0xffff_0000, "of another", LogEntry::Nothing);
        }
        send(id, &description, LogEntry::Answered(attempt));
        if is_duplicate {
            send(id, &description, LogEntry::Nothing);
        }
    })
}

/// The viewer of a session ends it at the server. Its client must still get the answer, but no release.
fn end_by_viewer(server: &StubServer, id: u64, attempt: usize) {
    let Some(session) = server.remove_session(attempt) else { return };
    server.log_end(attempt, AttemptEnd::SessionEnded);
    let now = server.recorder.now();
    if let Some(request) = server.recorder.event_log().request(id) {
        request.ended_at.get_or_insert(now);
    }
    let release = Message { session: id, body: Body::release(cause::CANCELLED) };
    server.send(&server.state(), session.node, session.connection, release, LogEntry::Nothing);
}

/// Ends an established session with a release by the server.
fn end_by_server(server: &StubServer, attempt: usize) {
    let Some(session) = server.remove_session(attempt) else { return };
    server.log_end(attempt, AttemptEnd::SessionEnded);
    let now = server.recorder.now();
    let mut state = server.state();
    state.released.retain(|released| now - released.0 < REPEAT_RELEASE_FOR_S);
    state.released.push((now, session.node, session.id, attempt));
    let release = Message { session: session.id, body: Body::release(cause::NORMAL) };
    server.send(&state, session.node, session.connection, release, LogEntry::Released(attempt));
}
