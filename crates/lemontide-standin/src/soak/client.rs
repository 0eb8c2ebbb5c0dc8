//! Clients of one node: connections that stay, leave early, write slowly, send as a connection closes, and go on until
//! the node is killed.

mod faulty;

pub use faulty::{run_bad, run_idle, run_repeater, BAD_CLIENT_WAITS};

use super::event_log::{Answer, ClientConnection, FaultyClient, Recorder, Request, CLASSES};
use super::node::{Node, Status};
use super::plan::{draw, Plan};
use crate::platform::bytes_of;
use bytes::{Bytes, BytesMut};
use lemontide_platform::codec::{cause, Body, Codec, Figures, Message, SetUp};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, sleep_until, timeout};
use tokio_util::codec::Decoder;

/// After SIGTERM new connections are opened for so long, in seconds.
const NEW_CONNECTIONS_FOR: f64 = 0.3;
/// A set-up that crosses a close within this time is sent once more, in seconds.
const CROSSES_WITHIN: f64 = 0.05;
/// A request is unanswered for good so long after its time, in seconds.
const GIVES_UP_AFTER: f64 = 1.0;
/// What no message begins with.
const NOISE: [u8; 8] = [0; 8];
/// The longest that a slow writer takes for one message, in seconds.
const SLOW_WRITE: f64 = 0.15;
const CONNECT_WITHIN: Duration = Duration::from_millis(500);
const BETWEEN_CONNECTS: Duration = Duration::from_millis(30);

/// What clients need of the run.
pub struct World {
    pub plan: Arc<Plan>,
    pub recorder: Arc<Recorder>,
    pub node: Arc<Node>,
    /// No request is begun after this moment, in seconds.
    pub last_request: f64,
    pub until: f64,
    /// Requests that each client has sent at once, or is to.
    pub rush: watch::Sender<usize>,
}

/// Something that is written by the writer of a connection.
struct Write {
    bytes: Vec<u8>,
    /// It is the set-up of this request; slowly, where `pauses` is above 0 seconds.
    request: Option<Request>,
    pauses: f64,
    /// The client closes its half behind it.
    closes_half: bool,
}

impl Write {
    fn of(bytes: Vec<u8>) -> Write {
        Write { bytes, request: None, pauses: 0.0, closes_half: false }
    }
}

/// What a client does to its own connection behind a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Misuse {
    ClosesHalf,
    Resets,
    SendsNoise,
}

/// Titles that are asked for.
const TITLES: u64 = 8;

fn set_up(plan: &Plan, class: &str, wait_ms: u64, id: u64) -> SetUp {
    SetUp {
        lane: class.into(),
        tenant: plan.tenant(id),
        title: format!("t{}", id % TITLES),
        wait_ms,
        figures: Some(Figures { home: 0, copies: plan.servers, top: 1, again: false, at: None }),
        description: Bytes::from_static(b"asked"),
        ..SetUp::default()
    }
}

/// The message that asks for a session, or hands it over where `at` names its server.
pub fn hand_over(plan: &Plan, request: &Request, at: &str) -> Message {
    let wait = (request.class.deadline_s * 1e3) as u64;
    let mut set_up = set_up(plan, request.class.name, wait, request.id);
    if let Some(figures) = &mut set_up.figures {
        figures.at = Some(at.to_owned());
    }
    Message { session: request.id, body: Body::SetUp(set_up) }
}

/// Runs one client, connection after connection.
pub async fn run(world: Arc<World>, slot: u64) {
    let (mut number, mut connections) = (0, 0);
    let mut crossed = Vec::new();
    while world.recorder.now() < world.until {
        if !may_connect(&world) {
            sleep(BETWEEN_CONNECTS).await;
            continue;
        }
        let Ok(Ok(socket)) = timeout(CONNECT_WITHIN, TcpStream::connect(world.node.listen)).await else {
            sleep(BETWEEN_CONNECTS).await;
            continue;
        };
        let _ = socket.set_nodelay(true);
        let (mut read, write) = socket.into_split();
        let (writes, written) = mpsc::unbounded_channel();
        connections += 1;
        let mut connection = Connection {
            world: world.clone(),
            key: ClientConnection { node: world.node.at, client: slot, number: connections },
            slot,
            number: &mut number,
            writes,
            open: BTreeSet::new(),
            nothing_sent: true,
            sends_no_more: false,
            resets: false,
            noise: None,
        };
        for request in std::mem::take(&mut crossed) {
            connection.send_again(request);
        }
        let recorder = world.recorder.clone();
        let write = tokio::spawn(write_all(recorder, write, written));
        crossed = connection.attend(&mut read).await;
        connection.tell_noise();
        if connection.resets {
            let _ = read.as_ref().set_zero_linger();
        }
        drop(connection);
        write.abort();
    }
}

/// What a client does behind a request, by a number from 0 to 1.
fn misuse(plan: &Plan, drawn: f64) -> Option<Misuse> {
    let odds = &plan.odds;
    let all = [
        (odds.half_closes, Misuse::ClosesHalf),
        (odds.resets, Misuse::Resets),
        (odds.spoils_own, Misuse::SendsNoise),
    ];
    let mut rest = drawn;
    for (chance, misuse) in all {
        if rest < chance {
            return Some(misuse);
        }
        rest -= chance;
    }
    None
}

fn may_connect(world: &World) -> bool {
    match *world.node.status.borrow() {
        Status::Up => true,
        Status::Terminating(since) => world.recorder.now() - since < NEW_CONNECTIONS_FOR,
        Status::Down => false,
    }
}

async fn write_all(
    recorder: Arc<Recorder>,
    mut socket: OwnedWriteHalf,
    mut writes: mpsc::UnboundedReceiver<Write>,
) {
    while let Some(Write { bytes, request, pauses, closes_half }) = writes.recv().await {
        let pieces = if pauses > 0.0 { 3 } else { 1 };
        let mut is_written = true;
        for piece in bytes.chunks(bytes.len().div_ceil(pieces).max(1)) {
            is_written &= socket.write_all(piece).await.is_ok();
            if pauses > 0.0 {
                sleep(Duration::from_secs_f64(pauses / 3.0)).await;
            }
        }
        if !is_written {
            return;
        }
        if let Some(request) = request {
            let now = recorder.now();
            if let Some(request) = recorder.event_log().request(request.id) {
                request.sent_at = request.sent_at.min(now);
            }
        }
        if closes_half {
            let _ = socket.shutdown().await;
            return;
        }
    }
}

struct Connection<'a> {
    world: Arc<World>,
    key: ClientConnection,
    slot: u64,
    number: &'a mut u64,
    writes: mpsc::UnboundedSender<Write>,
    /// Requests that wait for an answer here.
    open: BTreeSet<u64>,
    nothing_sent: bool,
    /// It has closed its half, or sent what can't be read: nothing it sends now would be taken.
    sends_no_more: bool,
    /// It ends with a reset.
    resets: bool,
    /// When it sent what can't be read.
    noise: Option<f64>,
}

impl Connection<'_> {
    /// Sends and reads until the connection is over; the requests that crossed its close.
    async fn attend(&mut self, socket: &mut OwnedReadHalf) -> Vec<Request> {
        let mut bytes = BytesMut::new();
        let mut status = self.world.node.status.subscribe();
        let mut next = self.world.recorder.now() + 0.05 * draw(self.world.plan.seed, self.slot, 1);
        let mut cancels: Vec<(f64, u64)> = Vec::new();
        let mut rush = self.world.rush.subscribe();
        let mut rushed = *rush.borrow_and_update();
        loop {
            let now = self.world.recorder.now();
            if now >= self.world.until || *status.borrow_and_update() == Status::Down {
                return Vec::new();
            }
            let due = cancels.iter().map(|(at, _)| *at).fold(next, f64::min);
            tokio::select! {
                read = socket.read_buf(&mut bytes) => {
                    if !matches!(read, Ok(1..)) {
                        return self.closed();
                    }
                    loop {
                        match Codec.decode(&mut bytes) {
                            Ok(Some(message)) => cancels.extend(self.hear(message)),
                            Ok(None) => break,
                            Err(_) => return self.closed(),
                        }
                    }
                }
                _ = status.changed() => {}
                _ = rush.changed() => {
                    let requests = *rush.borrow_and_update();
                    (rushed..requests).for_each(|_| cancels.extend(self.send()));
                    rushed = requests;
                    if self.resets {
                        return Vec::new();
                    }
                }
                () = sleep_until(self.world.recorder.instant(due)) => {
                    if let Some(place) = cancels.iter().position(|(at, _)| *at <= due) {
                        if self.leave(cancels.swap_remove(place).1) {
                            return Vec::new();
                        }
                    } else {
                        cancels.extend(self.send());
                        if self.resets {
                            return Vec::new();
                        }
                        let gap = 2.0 * draw(self.world.plan.seed, self.slot * 977 + 5, *self.number);
                        next = due + gap / self.rate();
                    }
                }
            }
        }
    }

    /// Requests a second on this connection.
    fn rate(&self) -> f64 {
        self.world.plan.requests_per_s
    }

    /// Sends the next request; when its client leaves, if it does.
    fn send(&mut self) -> Option<(f64, u64)> {
        let now = self.world.recorder.now();
        if now >= self.world.last_request || self.sends_no_more {
            return None;
        }
        *self.number += 1;
        let (plan, recorder) = (&self.world.plan, &self.world.recorder);
        let place = ((self.world.node.at as u64) << 40) | (self.slot << 24) | *self.number;
        let draw = |what: u64| draw(plan.seed ^ 0xc11e, place, what);
        let number = (draw(0) * 2f64.powi(53)) as u64;
        let id = (number << 8) | (self.world.node.at as u64 + 1);
        let class = CLASSES[usize::from(draw(1) < 0.6)];
        let is_short = draw(2) < 0.03;
        let wait = if is_short { 0.05 + 0.3 * draw(3) } else { class.deadline_s };
        let set_up = set_up(plan, class.name, (wait * 1e3) as u64, id);
        let request = Request {
            id,
            class,
            node: self.world.node.at,
            connection: self.key,
            sent_at: f64::INFINITY,
            client_timeout_s: wait,
            reuses_id: false,
            is_first_on_connection: std::mem::take(&mut self.nothing_sent),
            left_at: None,
            answers: Vec::new(),
            connection_closed_at: None,
            is_resent: false,
            ended_at: None,
        };
        let mut event_log = recorder.event_log();
        let at = event_log.requests.len();
        event_log.request_index_by_id.insert(id, at);
        event_log.requests.push(request.clone());
        drop(event_log);
        let bytes = bytes_of(Message { session: id, body: Body::SetUp(set_up) });
        let pauses = if draw(4) < plan.odds.slow_writer { SLOW_WRITE * draw(5) } else { 0.0 };
        let misuse = misuse(plan, draw(8));
        let closes_half = misuse == Some(Misuse::ClosesHalf);
        let _ = self.writes.send(Write { bytes, request: Some(request), pauses, closes_half });
        self.open.insert(id);
        if let Some(misuse) = misuse {
            self.misuse(misuse);
            return None;
        }
        (draw(6) < plan.odds.leaves).then(|| (now + pauses + 1.2 * draw(7) * draw(7), id))
    }

    /// Does this to the own connection, behind the last request.
    fn misuse(&mut self, misuse: Misuse) {
        self.sends_no_more = true;
        match misuse {
            Misuse::ClosesHalf => {}
            Misuse::SendsNoise => {
                self.noise = Some(self.world.recorder.now());
                let _ = self.writes.send(Write::of(NOISE.to_vec()));
            }
            Misuse::Resets => {
                self.resets = true;
                self.leave_all();
            }
        }
    }

    /// Records whether the node closed the connection on which it was sent what can't be read.
    fn tell_noise(&mut self) {
        let Some(sent) = self.noise else { return };
        let (recorder, node) = (&self.world.recorder, self.world.node.at);
        let now = recorder.now();
        let mut event_log = recorder.event_log();
        let client = FaultyClient {
            node,
            input: "noise behind a request",
            connected_at: sent,
            responded_at: Some(now),
            was_served: false,
            is_excused: event_log.stopped_after(node, sent),
        };
        event_log.faulty_clients.push(client);
    }

    /// The client closes its connection: it waits for nothing on it any more.
    fn leave_all(&self) {
        let now = self.world.recorder.now();
        let mut event_log = self.world.recorder.event_log();
        for id in &self.open {
            if let Some(request) = event_log.request(*id) {
                request.left_at = Some(now);
            }
        }
        event_log.client_closes.push((now, self.key));
    }

    /// A request that crossed a close is sent once more, as it was.
    fn send_again(&mut self, request: Request) {
        let id = request.id;
        let wait = (request.client_timeout_s * 1e3) as u64;
        let set_up = set_up(&self.world.plan, request.class.name, wait, id);
        if let Some(again) = self.world.recorder.event_log().request(id) {
            again.is_resent = true;
            again.connection = self.key;
            again.sent_at = f64::INFINITY;
            again.is_first_on_connection = std::mem::take(&mut self.nothing_sent);
        }
        let bytes = bytes_of(Message { session: id, body: Body::SetUp(set_up) });
        let _ = self.writes.send(Write { request: Some(request), ..Write::of(bytes) });
        self.open.insert(id);
    }

    /// The client cancels, or ends what stands, or closes its connection; true where it closes.
    fn leave(&mut self, id: u64) -> bool {
        let now = self.world.recorder.now();
        let mut event_log = self.world.recorder.event_log();
        let is_open = self.open.contains(&id);
        if is_open && draw(self.world.plan.seed, id, 0x1eaf) < 0.4 {
            drop(event_log);
            self.leave_all();
            return true;
        }
        if self.sends_no_more {
            return false;
        }
        let Some(request) = event_log.request(id) else { return false };
        if is_open {
            request.left_at = Some(now);
            self.open.remove(&id);
        } else if request.ended_at.is_none() {
            request.ended_at = Some(now);
        }
        drop(event_log);
        let bytes = bytes_of(Message { session: id, body: Body::release(cause::NORMAL) });
        let _ = self.writes.send(Write::of(bytes));
        false
    }

    /// Hears the node; when what stands from now on is ended by its client, if it is.
    fn hear(&mut self, message: Message) -> Option<(f64, u64)> {
        let now = self.world.recorder.now();
        let id = message.session;
        let mut event_log = self.world.recorder.event_log();
        let made = event_log.descriptions_by_session.get(&id).cloned().unwrap_or_default();
        let request = event_log.request(id)?;
        let stands = request.answers.last().is_some_and(|answer| answer.1 == Answer::Served);
        match message.body {
            Body::Answer { description, .. } => {
                let is_right = made.iter().any(|made| made.as_bytes() == &description[..]);
                request.answers.push((now, if is_right { Answer::Served } else { Answer::ServedWrong }));
                self.open.remove(&id);
                let ends = draw(self.world.plan.seed, id, 0xe4d5);
                return (ends < 0.3).then_some((now + 4.0 * ends, id));
            }
            Body::Release { .. } | Body::Move if stands => {
                request.ended_at.get_or_insert(now);
            }
            Body::Release { cause, .. } => {
                let is_refusal = [cause::FULL, cause::TURNED_BACK, cause::MOOT].contains(&cause);
                request.answers.push((now, if is_refusal { Answer::Refused } else { Answer::Failed }));
                self.open.remove(&id);
            }
            _ => {}
        }
        None
    }

    /// The node closed the connection.
    fn closed(&mut self) -> Vec<Request> {
        let now = self.world.recorder.now();
        let mut crossed = Vec::new();
        let mut event_log = self.world.recorder.event_log();
        for id in &self.open {
            let Some(request) = event_log.request(*id) else { continue };
            let crosses = now - request.sent_at <= CROSSES_WITHIN && !self.sends_no_more;
            if crosses && !request.is_resent {
                crossed.push(request.clone());
            } else {
                request.connection_closed_at = Some(now);
            }
        }
        crossed
    }
}

/// How long after its time a client still listens for an answer.
pub fn listens_until(request: &Request) -> f64 {
    request.sent_at + request.client_timeout_s + GIVES_UP_AFTER
}

/// Hands all that stands over to a node that was started again, and goes on hearing it there.
pub async fn hand_over_all(world: Arc<World>, name: impl Fn(usize) -> String) {
    let standing: Vec<(Request, usize)> = {
        let event_log = world.recorder.event_log();
        let stands = |request: &&Request| {
            let served = matches!(request.answers.first(), Some((_, Answer::Served)));
            request.node == world.node.at && served && request.ended_at.is_none()
        };
        let server = |request: &Request| {
            let attempts = event_log.attempts.iter().rev().filter(|attempt| attempt.id == request.id);
            attempts.clone().find(|attempt| attempt.answered_at.is_some()).map(|attempt| attempt.server)
        };
        let standing = event_log.requests.iter().filter(stands);
        standing.filter_map(|request| Some((request.clone(), server(request)?))).collect()
    };
    let Ok(Ok(mut socket)) = timeout(CONNECT_WITHIN, TcpStream::connect(world.node.listen)).await else {
        return;
    };
    for (request, server) in &standing {
        let message = hand_over(&world.plan, request, &name(*server));
        if socket.write_all(&bytes_of(message)).await.is_err() {
            return;
        }
    }
    let mut bytes = BytesMut::new();
    while matches!(socket.read_buf(&mut bytes).await, Ok(1..)) {
        while let Ok(Some(message)) = Codec.decode(&mut bytes) {
            let now = world.recorder.now();
            if let Some(request) = world.recorder.event_log().request(message.session) {
                request.ended_at.get_or_insert(now);
            }
        }
    }
}
