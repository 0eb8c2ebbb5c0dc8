//! A stand-in server of the platform with the network before it: delays, silence, resets and closes, and every kind of
//! answer. It records when each attempt's bytes came, when it arrived, and when it was over.

use super::plan::{draw, Mode, Plan};
use super::record::{Attempt, AttemptEnd, Record};
use bytes::{Bytes, BytesMut};
use lemontide::interface::Load;
use lemontide_platform::codec::{cause, Body, Codec, Message, SetUp};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, sleep_until};
use tokio_util::codec::{Decoder, Encoder};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// A release is said again on connections that are opened so much later, in seconds.
const RELEASE_AGAIN: f64 = 8.0;
/// Bytes of an answer that is sent in pieces, and the time between them.
const PIECE: usize = 5;
const BETWEEN_PIECES: Duration = Duration::from_millis(2);
/// What was written so long before the end of a connection may not have been read: a reset overtakes it, and a node may
/// have closed the connection, or given it up as unreadable, before; in seconds.
const OVERTAKEN: f64 = 0.8;
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

pub struct Server {
    at: usize,
    plan: Arc<Plan>,
    record: Arc<Record>,
    state: Mutex<State>,
    /// Counts the deaths; connections end with their process.
    process: watch::Sender<u64>,
    mode: watch::Sender<Mode>,
    addresses: Vec<SocketAddr>,
}

fn bytes_of(message: Message) -> Vec<u8> {
    let mut bytes = BytesMut::new();
    // What stand-ins say fits into a message.
    let _ = Codec.encode(message, &mut bytes);
    bytes.to_vec()
}

impl Server {
    /// Starts a server that listens at an address of its own for each node.
    pub fn start(
        plan: Arc<Plan>,
        record: Arc<Record>,
        at: usize,
        network: [u8; 2],
        port: u16,
    ) -> Arc<Server> {
        let address = |node: usize| {
            let ip = Ipv4Addr::new(127, network[0], network[1].wrapping_add(node as u8), at as u8 + 1);
            SocketAddr::from((ip, port))
        };
        let server = Arc::new(Server {
            at,
            addresses: (0..plan.nodes).map(address).collect(),
            plan,
            record,
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

    pub fn address(&self, node: usize) -> SocketAddr {
        self.addresses[node]
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn set_mode(&self, mode: Mode) {
        let now = self.record.now();
        let mut state = self.state();
        if mode == Mode::Dead && state.mode != Mode::Dead {
            let mut book = self.record.book();
            book.deaths.push((now, self.at));
            for session in state.sessions.drain(..) {
                let end = if session.stands { AttemptEnd::Stood } else { AttemptEnd::ConnectionClosed };
                book.attempts[session.attempt].ended = Some((now, end));
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
        let now = self.record.now();
        self.record.book().attempts[attempt].ended.get_or_insert((now, end));
    }

    /// Sends on a connection of this number, or on any to the node where it is gone; whether there was one.
    fn say(&self, state: &State, node: usize, connection: u64, message: Message, mark: Mark) -> bool {
        let of_node = state.links.iter().filter(|link| link.node == node);
        let link = of_node.clone().find(|link| link.connection == connection).or(of_node.clone().next_back());
        let Some(link) = link else { return false };
        let at = self.record.now() + link.delay;
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
    fn take(self: &Arc<Server>, node: usize, connection: u64, message: Message, attempt: Option<usize>) {
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
                let now = self.record.now();
                self.record.book().attempts[attempt].arrived = Some(now);
                let new = Session { id: session, attempt, node, connection, stands: false };
                self.state().sessions.push(new);
                tokio::spawn(treat(self.clone(), node, connection, session, attempt, set_up));
            }
            Body::Release { .. } => self.released_by_node(node, connection, session),
            _ => {}
        }
    }

    fn released_by_node(&self, node: usize, connection: u64, id: u64) {
        let mut state = self.state();
        let setting_up = |s: &Session| s.id == id && !s.stands && s.connection == connection;
        let standing = |s: &Session| s.id == id && s.stands;
        let place = state.sessions.iter().position(setting_up);
        if let Some(place) = place.or_else(|| state.sessions.iter().position(standing)) {
            let session = state.sessions.remove(place);
            self.end(session.attempt, if session.stands { AttemptEnd::Stood } else { AttemptEnd::GivenUp });
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
        let since = self.record.now() - OVERTAKEN;
        let state = self.state();
        for (_, node, session, attempt) in &state.released {
            let mut book = self.record.book();
            let written = &mut book.attempts[*attempt].release_written;
            if !written.is_some_and(|(at, on)| on == connection && at >= since) {
                continue;
            }
            *written = None;
            drop(book);
            let release = Message { session: *session, body: Body::release(cause::NORMAL) };
            self.say(&state, *node, connection, release, Mark::Released(*attempt));
        }
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
        let odds = &self.plan.odds;
        let earlier = self.record.book().attempts[..attempt].iter().filter(|a| a.id == id).count() as u64;
        let mut rest = draw(self.plan.seed, id, earlier);
        let all = [
            (odds.refused, Treatment::Release(cause::FULL)),
            (odds.moot, Treatment::Release(cause::MOOT)),
            (odds.error, Treatment::Release(cause::ERROR)),
            (odds.answer_lost, Treatment::LoseAnswer),
            (odds.never_answered, Treatment::NeverAnswer),
            (odds.late_answer, Treatment::AnswerLate),
            (odds.spoilt, Treatment::Spoil),
            (odds.twice, Treatment::AnswerTwice),
            (odds.reset_under, Treatment::Reset),
            (odds.close_under, Treatment::Close),
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
async fn treat(server: Arc<Server>, node: usize, connection: u64, id: u64, attempt: usize, set_up: SetUp) {
    let treatment = server.treatment(id, attempt);
    let draw = |what: u64| draw(server.plan.seed, id ^ 0x5eed, attempt as u64 * 8 + what);
    let mut work = WORK.0 + (WORK.1 - WORK.0) * draw(0);
    if treatment == Treatment::AnswerLate {
        work = set_up.wait_ms as f64 / 1e3 + 0.2 * draw(1);
    }
    sleep(Duration::from_secs_f64(work)).await;
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
            let noise: Vec<u8> = match (draw(2) * 3.0) as u32 {
                0 => vec![0xff; 64],
                1 => bytes_of(Message { session: id, body: answer("cut") })[..12].to_vec(),
                _ => vec![0, 12, 9, 1, 2, 3, 4, 5, 6, 7, 8, 94, 255, 255],
            };
            let mark = Mark::Ended(attempt, AttemptEnd::Answered { ran: true });
            let state = server.state();
            let link = state.links.iter().find(|link| link.connection == connection);
            if let Some(link) = link {
                let at = server.record.now() + link.delay;
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
        Treatment::Answer | Treatment::AnswerTwice | Treatment::AnswerLate | Treatment::LoseAnswer => {
            if stand(&server, node, connection, id, attempt, treatment) {
                sleep(Duration::from_secs_f64(STANDS.0 + (STANDS.1 - STANDS.0) * draw(3))).await;
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
    server: &Server,
    node: usize,
    connection: u64,
    id: u64,
    attempt: usize,
    treatment: Treatment,
) -> bool {
    let description = format!("{id:016x} by {} for attempt {attempt}", server.at);
    server.record.book().made.entry(id).or_default().push(description.clone());
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

/// What stood has come to its end.
fn end_of_play(server: &Server, attempt: usize) {
    let Some(session) = server.forget(attempt) else { return };
    server.end(attempt, AttemptEnd::Stood);
    let now = server.record.now();
    let mut state = server.state();
    state.released.retain(|released| now - released.0 < RELEASE_AGAIN);
    state.released.push((now, session.node, session.id, attempt));
    let release = Message { session: session.id, body: Body::release(cause::NORMAL) };
    server.say(&state, session.node, session.connection, release, Mark::Released(attempt));
}

/// Accepts the connections of one node while the process lives.
async fn listen(server: Arc<Server>, node: usize) {
    let mut mode = server.mode.subscribe();
    loop {
        if mode.wait_for(|mode| *mode != Mode::Dead).await.is_err() {
            return;
        }
        let Some(listener) = bind(server.addresses[node]).await else { return };
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((socket, _)) = accepted {
                        tokio::spawn(serve(server.clone(), node, socket));
                    }
                }
                _ = mode.wait_for(|mode| *mode == Mode::Dead) => break,
            }
        }
    }
}

/// Listens at an address, as soon as it is free.
pub async fn bind(address: SocketAddr) -> Option<TcpListener> {
    for _ in 0..200 {
        let socket = TcpSocket::new_v4().ok()?;
        let _ = socket.set_reuseaddr(true);
        if socket.bind(address).is_ok() {
            return socket.listen(BACKLOG).ok();
        }
        sleep(Duration::from_millis(10)).await;
    }
    None
}

/// Runs one connection until either end closes it, or the process dies.
async fn serve(server: Arc<Server>, node: usize, socket: TcpStream) {
    let _ = socket.set_nodelay(true);
    let odds = &server.plan.odds;
    let number = {
        let mut state = server.state();
        state.connections += 1;
        state.connections
    };
    let connection = (number << 8) | server.at as u64;
    let place = (server.at * 64 + node) as u64;
    let draw = |what: u64| draw(server.plan.seed, place + 0xc000, number * 8 + what);
    let opened = server.record.now();
    let delay = server.plan.delay_most * draw(0);
    let ready = if draw(1) < odds.late_connection { opened + draw(2) } else { opened };
    let closes = (draw(3) < odds.early_close).then(|| opened + 0.2 + 3.0 * draw(4));
    let in_pieces = draw(5) < odds.pieces;
    let (out, outs) = mpsc::unbounded_channel();
    {
        let mut state = server.state();
        let again: Vec<_> = state.released.iter().filter(|released| released.1 == node).copied().collect();
        for (_, _, session, attempt) in again.into_iter().filter(|again| opened - again.0 < RELEASE_AGAIN) {
            let release = Message { session, body: Body::release(cause::NORMAL) };
            let mark = Mark::Released(attempt);
            let _ = out.send(Out::Bytes { at: ready + delay, bytes: bytes_of(release), mark });
        }
        state.links.push(Link { connection, node, delay, out });
    }
    let (arrivals, arrived) = mpsc::unbounded_channel();
    let (read, write) = socket.into_split();
    let mut process = server.process.subscribe();
    let lives = *process.borrow_and_update();
    let mut writer = Writer { server: server.clone(), connection, socket: write, in_pieces };
    let reset = tokio::select! {
        reset = writer.run(outs) => reset,
        () = read_all(&server, node, read, arrivals, |now: f64| now.max(ready) + delay) => true,
        () = deliver(&server, node, connection, arrived) => false,
        () = close_at(&server, closes) => draw(6) < 0.5,
        _ = process.wait_for(|process| *process != lives) => true,
    };
    server.close(connection, AttemptEnd::ConnectionClosed);
    server.release_again(connection);
    if reset {
        let _ = writer.socket.as_ref().set_zero_linger();
    }
}

async fn close_at(server: &Server, closes: Option<f64>) {
    match closes {
        Some(at) => sleep_until(server.record.instant(at)).await,
        None => std::future::pending().await,
    }
}

/// Reads what a node writes, and passes it on as the network delivers it. Ends only where nothing more arrives.
async fn read_all(
    server: &Server,
    node: usize,
    mut socket: OwnedReadHalf,
    arrivals: mpsc::UnboundedSender<(f64, Arrival)>,
    delivered: impl Fn(f64) -> f64,
) {
    let mut bytes = BytesMut::new();
    let mut first_byte = None;
    loop {
        let read = socket.read_buf(&mut bytes).await;
        let now = server.record.now();
        if !matches!(read, Ok(1..)) {
            let _ = arrivals.send((delivered(now), Arrival::End));
            return std::future::pending().await;
        }
        let mut began = *first_byte.get_or_insert(now);
        loop {
            match Codec.decode(&mut bytes) {
                Ok(Some(message)) => {
                    let attempt = record_attempt(server, node, &message, began, now);
                    let arrival = Arrival::Message(Box::new(message), attempt);
                    let _ = arrivals.send((delivered(now), arrival));
                    began = now;
                }
                Ok(None) => break,
                // A node never says what can't be read.
                Err(_) => return,
            }
        }
        first_byte = (!bytes.is_empty()).then_some(began);
    }
}

fn record_attempt(
    server: &Server,
    node: usize,
    message: &Message,
    first_byte: f64,
    last_byte: f64,
) -> Option<usize> {
    let Body::SetUp(set_up) = &message.body else { return None };
    let mut book = server.record.book();
    book.attempts.push(Attempt {
        id: message.session,
        server: server.at,
        node,
        class: set_up.lane.clone(),
        first_byte,
        last_byte,
        arrived: None,
        answered: None,
        ended: None,
        release_written: None,
    });
    Some(book.attempts.len() - 1)
}

/// Hands over what arrives, in order and in its time.
async fn deliver(
    server: &Arc<Server>,
    node: usize,
    connection: u64,
    mut arrivals: mpsc::UnboundedReceiver<(f64, Arrival)>,
) {
    while let Some((at, arrival)) = arrivals.recv().await {
        sleep_until(server.record.instant(at)).await;
        server.passes().await;
        match arrival {
            Arrival::Message(message, attempt) => server.take(node, connection, *message, attempt),
            Arrival::End => {
                server.close(connection, AttemptEnd::GivenUp);
                return;
            }
        }
    }
}

struct Writer {
    server: Arc<Server>,
    connection: u64,
    socket: OwnedWriteHalf,
    in_pieces: bool,
}

impl Writer {
    /// Writes what is to be said until the connection is to be closed; whether by a reset.
    async fn run(&mut self, mut outs: mpsc::UnboundedReceiver<Out>) -> bool {
        while let Some(out) = outs.recv().await {
            match out {
                Out::Close { reset } => return reset,
                Out::Bytes { at, bytes, mark } => {
                    sleep_until(self.server.record.instant(at)).await;
                    self.server.passes().await;
                    if self.write(&bytes, mark).await.is_err() {
                        // The reading half tells of the end.
                        return std::future::pending().await;
                    }
                }
            }
        }
        std::future::pending().await
    }

    /// Writes a message, and marks it before its last bytes leave: the node may act on them at once.
    async fn write(&mut self, bytes: &[u8], mark: Mark) -> std::io::Result<()> {
        let piece = if self.in_pieces { PIECE } else { bytes.len() };
        let last = bytes.len().saturating_sub(1) / piece.max(1) * piece;
        for piece in bytes[..last].chunks(piece.max(1)) {
            self.socket.write_all(piece).await?;
            sleep(BETWEEN_PIECES).await;
        }
        self.mark(mark);
        self.socket.write_all(&bytes[last..]).await
    }

    fn mark(&self, mark: Mark) {
        let now = self.server.record.now();
        if let Mark::Ended(attempt, _) = mark {
            self.server.forget(attempt);
        }
        let mut book = self.server.record.book();
        match mark {
            Mark::Nothing => {}
            Mark::Answered(attempt) => book.attempts[attempt].answered = Some(now),
            Mark::Ended(attempt, end) => {
                book.attempts[attempt].ended.get_or_insert((now, end));
            }
            Mark::Released(attempt) => {
                book.attempts[attempt].release_written.get_or_insert((now, self.connection));
            }
        }
    }
}
