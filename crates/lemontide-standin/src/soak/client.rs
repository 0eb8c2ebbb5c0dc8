//! Simulated clients of one node. Some cancel requests or disconnect early, write slowly, send while the connection is
//! closing, or break their connections; all go on until the node is killed.

mod faulty;

pub use faulty::{run_faulty, run_idle, run_repeating, FAULTY_CLIENT_TIMEOUT_S};

use super::event_log::{Answer, ClientConnection, FaultyClient, Recorder, Request, CLASSES};
use super::node_process::{NodeProcess, NodeStatus};
use super::plan::{seeded_fraction, Plan};
use crate::stub_platform::encode_message;
use bytes::{Bytes, BytesMut};
use lemontide_platform::codec::{cause, Body, Codec, Message, RequestDetails, SetUp};
use std::collections::BTreeSet;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, sleep_until, timeout};
use tokio_util::codec::Decoder;

/// Clients open new connections until this long after SIGTERM.
const CONNECT_AFTER_SIGTERM_S: f64 = 0.3;
/// A set-up that was written within this time before the node closed the connection crossed the close; it is sent once
/// more.
const CLOSE_RACE_S: f64 = 0.05;
/// A request counts as unanswered this long after its client's timeout.
const GIVE_UP_AFTER_S: f64 = 1.0;
/// Bytes with which no message begins.
const GARBAGE: [u8; 8] = [0; 8];
/// The longest time that a slow client takes to write one message.
const MAX_SLOW_WRITE_S: f64 = 0.15;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const CONNECT_INTERVAL: Duration = Duration::from_millis(30);

/// What the clients of one node need to know of the run.
pub struct ClientContext {
    pub plan: Arc<Plan>,
    pub recorder: Arc<Recorder>,
    pub node: Arc<NodeProcess>,
    /// No request is sent after this time.
    pub last_request_at: f64,
    pub run_until: f64,
    /// The total of requests that each client has to send in bursts, up to now.
    pub rush_requests: watch::Sender<usize>,
    /// When the clients rest: they close the connections that they have once no request on them is open, and send only
    /// tests.
    pub rest: watch::Sender<Range<f64>>,
}

/// Bytes for the writer of a connection.
struct OutgoingBytes {
    bytes: Vec<u8>,
    /// The request that these bytes set up, if any.
    request: Option<Request>,
    /// The bytes are written slowly, over this time, if it is above 0.
    write_duration_s: f64,
    /// The client closes its half of the connection after these bytes.
    half_closes: bool,
}

impl OutgoingBytes {
    fn new(bytes: Vec<u8>) -> OutgoingBytes {
        OutgoingBytes { bytes, request: None, write_duration_s: 0.0, half_closes: false }
    }
}

/// What a client does to its own connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionFault {
    HalfClose,
    Reset,
    SendGarbage,
}

/// The number of titles that clients request.
const TITLE_COUNT: u64 = 8;

/// The set-up of a request.
fn set_up(plan: &Plan, class: &str, wait_ms: u64, id: u64) -> SetUp {
    SetUp {
        class: class.into(),
        tenant: plan.tenant(id),
        title: format!("t{}", id % TITLE_COUNT),
        wait_ms,
        details: Some(RequestDetails {
            first_cell: 0,
            replicas: plan.server_count,
            max_rung: 1,
            is_retry: false,
            playing_at: None,
        }),
        description: Bytes::from_static(b"asked"),
        ..SetUp::default()
    }
}

/// The message that hands an established session over to a node; `at` names its server.
pub fn hand_over(plan: &Plan, request: &Request, at: &str) -> Message {
    let wait = (request.class.deadline_s * 1e3) as u64;
    let mut set_up = set_up(plan, request.class.name, wait, request.id);
    if let Some(figures) = &mut set_up.details {
        figures.playing_at = Some(at.to_owned());
    }
    Message { session: request.id, body: Body::SetUp(set_up) }
}

/// Runs one client, one connection after the other.
pub async fn run(context: Arc<ClientContext>, client: u64) {
    let (mut request_count, mut connection_count) = (0, 0);
    let mut to_resend = Vec::new();
    while context.recorder.now() < context.run_until {
        if !may_connect(&context) {
            sleep(CONNECT_INTERVAL).await;
            continue;
        }
        let Ok(Ok(socket)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(context.node.listen_address)).await
        else {
            sleep(CONNECT_INTERVAL).await;
            continue;
        };
        let _ = socket.set_nodelay(true);
        let (mut read, write) = socket.into_split();
        let (writes, written) = mpsc::unbounded_channel();
        connection_count += 1;
        let mut connection = Connection {
            context: context.clone(),
            key: ClientConnection { node: context.node.index, client, number: connection_count },
            client,
            request_count: &mut request_count,
            writes,
            unanswered: BTreeSet::new(),
            nothing_sent: true,
            sending_stopped: false,
            ends_with_reset: false,
            garbage_sent_at: None,
        };
        for request in std::mem::take(&mut to_resend) {
            connection.resend(request);
        }
        let recorder = context.recorder.clone();
        let write = tokio::spawn(write_all(recorder, write, written));
        to_resend = connection.exchange(&mut read).await;
        connection.record_garbage_result();
        if connection.ends_with_reset {
            let _ = read.as_ref().set_zero_linger();
        }
        drop(connection);
        write.abort();
    }
}

/// Chooses what a client does to its connection after a request, by a number from 0 to 1.
fn choose_connection_fault(plan: &Plan, fraction: f64) -> Option<ConnectionFault> {
    let probabilities = &plan.probabilities;
    let cumulative = [
        (probabilities.client_half_closes, ConnectionFault::HalfClose),
        (probabilities.client_resets, ConnectionFault::Reset),
        (probabilities.client_sends_garbage, ConnectionFault::SendGarbage),
    ];
    let mut rest = fraction;
    for (probability, connection_fault) in cumulative {
        if rest < probability {
            return Some(connection_fault);
        }
        rest -= probability;
    }
    None
}

/// Whether clients open new connections to the node now.
fn may_connect(context: &ClientContext) -> bool {
    match *context.node.status.borrow() {
        NodeStatus::Up => true,
        NodeStatus::Terminating(since) => context.recorder.now() - since < CONNECT_AFTER_SIGTERM_S,
        NodeStatus::Down => false,
    }
}

/// Writes the messages of a connection and logs when each request was written completely.
async fn write_all(
    recorder: Arc<Recorder>,
    mut socket: OwnedWriteHalf,
    mut writes: mpsc::UnboundedReceiver<OutgoingBytes>,
) {
    while let Some(OutgoingBytes { bytes, request, write_duration_s, half_closes }) = writes.recv().await {
        let fragment_count = if write_duration_s > 0.0 { 3 } else { 1 };
        let mut is_written = true;
        for fragment in bytes.chunks(bytes.len().div_ceil(fragment_count).max(1)) {
            is_written &= socket.write_all(fragment).await.is_ok();
            if write_duration_s > 0.0 {
                sleep(Duration::from_secs_f64(write_duration_s / 3.0)).await;
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
        if half_closes {
            let _ = socket.shutdown().await;
            return;
        }
    }
}

/// A connection of a client while it is open.
struct Connection<'a> {
    context: Arc<ClientContext>,
    key: ClientConnection,
    client: u64,
    request_count: &'a mut u64,
    writes: mpsc::UnboundedSender<OutgoingBytes>,
    /// Requests that were sent on this connection and have no answer yet.
    unanswered: BTreeSet<u64>,
    nothing_sent: bool,
    /// The client has half-closed the connection, reset it or sent garbage: the node would accept nothing more on it.
    sending_stopped: bool,
    /// The connection ends with a reset.
    ends_with_reset: bool,
    /// When the client sent garbage.
    garbage_sent_at: Option<f64>,
}

impl Connection<'_> {
    /// Sends and receives until the connection ends. Returns the requests that crossed the node's close.
    async fn exchange(&mut self, socket: &mut OwnedReadHalf) -> Vec<Request> {
        let mut bytes = BytesMut::new();
        let mut status = self.context.node.status.subscribe();
        let mut next =
            self.context.recorder.now() + 0.05 * seeded_fraction(self.context.plan.seed, self.client, 1);
        let mut leave_times: Vec<(f64, u64)> = Vec::new();
        let mut rush_requests = self.context.rush_requests.subscribe();
        let mut rush_requests_sent = *rush_requests.borrow_and_update();
        let mut rest = self.context.rest.subscribe();
        let opened_at = self.context.recorder.now();
        loop {
            let now = self.context.recorder.now();
            if now >= self.context.run_until || *status.borrow_and_update() == NodeStatus::Down {
                return Vec::new();
            }
            let begins_to_rest = now < rest.borrow_and_update().end && opened_at < rest.borrow().start;
            if begins_to_rest && self.unanswered.is_empty() {
                self.leave_all();
                return Vec::new();
            }
            let due = leave_times.iter().map(|(at, _)| *at).fold(next, f64::min);
            tokio::select! {
                read = socket.read_buf(&mut bytes) => {
                    if !matches!(read, Ok(1..)) {
                        return self.connection_closed();
                    }
                    loop {
                        match Codec.decode(&mut bytes) {
                            Ok(Some(message)) => leave_times.extend(self.receive(message)),
                            Ok(None) => break,
                            Err(_) => return self.connection_closed(),
                        }
                    }
                }
                _ = status.changed() => {}
                _ = rest.changed() => {}
                _ = rush_requests.changed() => {
                    let requests = *rush_requests.borrow_and_update();
                    (rush_requests_sent..requests).for_each(|_| leave_times.extend(self.send()));
                    rush_requests_sent = requests;
                    if self.ends_with_reset {
                        return Vec::new();
                    }
                }
                () = sleep_until(self.context.recorder.instant(due)) => {
                    if let Some(position) = leave_times.iter().position(|(at, _)| *at <= due) {
                        if self.leave(leave_times.swap_remove(position).1) {
                            return Vec::new();
                        }
                    } else {
                        leave_times.extend(self.send());
                        if self.ends_with_reset {
                            return Vec::new();
                        }
                        let gap = 2.0 * seeded_fraction(self.context.plan.seed, self.client * 977 + 5, *self.request_count);
                        next = due + gap / self.rate();
                    }
                }
            }
        }
    }

    /// Requests per second on this connection.
    fn rate(&self) -> f64 {
        self.context.plan.requests_per_client_per_s
    }

    /// Sends the next request. Returns when the client gives it up, if it does.
    fn send(&mut self) -> Option<(f64, u64)> {
        let now = self.context.recorder.now();
        if now >= self.context.last_request_at || self.sending_stopped {
            return None;
        }
        if now < self.context.rest.borrow().end {
            let test = encode_message(Message { session: 0, body: Body::Test });
            let _ = self.writes.send(OutgoingBytes::new(test));
            return None;
        }
        *self.request_count += 1;
        let (plan, recorder) = (&self.context.plan, &self.context.recorder);
        let hash_key = ((self.context.node.index as u64) << 40) | (self.client << 24) | *self.request_count;
        let fraction = |purpose: u64| seeded_fraction(plan.seed ^ 0xc11e, hash_key, purpose);
        let number = (fraction(0) * 2f64.powi(53)) as u64;
        let id = (number << 8) | (self.context.node.index as u64 + 1);
        let class = CLASSES[usize::from(fraction(1) < 0.6)];
        let is_short = fraction(2) < 0.03;
        let wait = if is_short { 0.05 + 0.3 * fraction(3) } else { class.deadline_s };
        let set_up = set_up(plan, class.name, (wait * 1e3) as u64, id);
        let request = Request {
            id,
            class,
            node: self.context.node.index,
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
        let bytes = encode_message(Message { session: id, body: Body::SetUp(set_up) });
        let write_duration_s = if fraction(4) < plan.probabilities.client_writes_slowly {
            MAX_SLOW_WRITE_S * fraction(5)
        } else {
            0.0
        };
        let connection_fault = choose_connection_fault(plan, fraction(8));
        let half_closes = connection_fault == Some(ConnectionFault::HalfClose);
        let _ =
            self.writes.send(OutgoingBytes { bytes, request: Some(request), write_duration_s, half_closes });
        self.unanswered.insert(id);
        if let Some(connection_fault) = connection_fault {
            self.break_connection(connection_fault);
            return None;
        }
        (fraction(6) < plan.probabilities.client_leaves)
            .then(|| (now + write_duration_s + 1.2 * fraction(7) * fraction(7), id))
    }

    /// Breaks the own connection after the last request.
    fn break_connection(&mut self, connection_fault: ConnectionFault) {
        self.sending_stopped = true;
        match connection_fault {
            ConnectionFault::HalfClose => {}
            ConnectionFault::SendGarbage => {
                self.garbage_sent_at = Some(self.context.recorder.now());
                let _ = self.writes.send(OutgoingBytes::new(GARBAGE.to_vec()));
            }
            ConnectionFault::Reset => {
                self.ends_with_reset = true;
                self.leave_all();
            }
        }
    }

    /// Logs when the connection ended on which garbage was sent.
    fn record_garbage_result(&mut self) {
        let Some(sent_at) = self.garbage_sent_at else { return };
        let (recorder, node) = (&self.context.recorder, self.context.node.index);
        let now = recorder.now();
        let mut event_log = recorder.event_log();
        let client = FaultyClient {
            node,
            input: "garbage after a request",
            connected_at: sent_at,
            responded_at: Some(now),
            was_served: false,
            is_excused: event_log.stopped_after(node, sent_at),
        };
        event_log.faulty_clients.push(client);
    }

    /// Logs that the client closes its connection and so leaves all requests on it.
    fn leave_all(&self) {
        let now = self.context.recorder.now();
        let mut event_log = self.context.recorder.event_log();
        for id in &self.unanswered {
            if let Some(request) = event_log.request(*id) {
                request.left_at = Some(now);
            }
        }
        event_log.client_closes.push((now, self.key));
    }

    /// Sends a request that crossed a close once more, unchanged.
    fn resend(&mut self, request: Request) {
        let id = request.id;
        let wait = (request.client_timeout_s * 1e3) as u64;
        let set_up = set_up(&self.context.plan, request.class.name, wait, id);
        if let Some(logged) = self.context.recorder.event_log().request(id) {
            logged.is_resent = true;
            logged.connection = self.key;
            logged.sent_at = f64::INFINITY;
            logged.is_first_on_connection = std::mem::take(&mut self.nothing_sent);
        }
        let bytes = encode_message(Message { session: id, body: Body::SetUp(set_up) });
        let _ = self.writes.send(OutgoingBytes { request: Some(request), ..OutgoingBytes::new(bytes) });
        self.unanswered.insert(id);
    }

    /// Cancels a request, ends its established session, or closes the connection. Returns true if it closes.
    fn leave(&mut self, id: u64) -> bool {
        let now = self.context.recorder.now();
        let mut event_log = self.context.recorder.event_log();
        let is_unanswered = self.unanswered.contains(&id);
        if is_unanswered && seeded_fraction(self.context.plan.seed, id, 0x1eaf) < 0.4 {
            drop(event_log);
            self.leave_all();
            return true;
        }
        if self.sending_stopped {
            return false;
        }
        let Some(request) = event_log.request(id) else { return false };
        if is_unanswered {
            request.left_at = Some(now);
            self.unanswered.remove(&id);
        } else if request.ended_at.is_none() {
            request.ended_at = Some(now);
        }
        drop(event_log);
        let bytes = encode_message(Message { session: id, body: Body::release(cause::NORMAL) });
        let _ = self.writes.send(OutgoingBytes::new(bytes));
        false
    }

    /// Handles a message of the node. Returns when the client ends the session established by it, if it does.
    fn receive(&mut self, message: Message) -> Option<(f64, u64)> {
        let now = self.context.recorder.now();
        let id = message.session;
        let mut event_log = self.context.recorder.event_log();
        let made = event_log.descriptions_by_session.get(&id).cloned().unwrap_or_default();
        let request = event_log.request(id)?;
        let is_established = request.answers.last().is_some_and(|answer| answer.1 == Answer::Served);
        match message.body {
            Body::Answer { description, .. } => {
                let was_made_for_request = made.iter().any(|made| made.as_bytes() == &description[..]);
                request
                    .answers
                    .push((now, if was_made_for_request { Answer::Served } else { Answer::ServedWrong }));
                self.unanswered.remove(&id);
                let end_fraction = seeded_fraction(self.context.plan.seed, id, 0xe4d5);
                return (end_fraction < 0.3).then_some((now + 4.0 * end_fraction, id));
            }
            Body::Release { .. } | Body::Move if is_established => {
                request.ended_at.get_or_insert(now);
            }
            Body::Release { cause, .. } => {
                let is_rejection = [cause::FULL, cause::REJECTED, cause::NOT_SENT].contains(&cause);
                request.answers.push((now, if is_rejection { Answer::Refused } else { Answer::Failed }));
                self.unanswered.remove(&id);
            }
            _ => {}
        }
        None
    }

    /// Logs that the node closed the connection. Returns the requests that crossed the close.
    fn connection_closed(&mut self) -> Vec<Request> {
        let now = self.context.recorder.now();
        let mut to_resend = Vec::new();
        let mut event_log = self.context.recorder.event_log();
        for id in &self.unanswered {
            let Some(request) = event_log.request(*id) else { continue };
            let close_raced = now - request.sent_at <= CLOSE_RACE_S && !self.sending_stopped;
            if close_raced && !request.is_resent {
                to_resend.push(request.clone());
            } else {
                request.connection_closed_at = Some(now);
            }
        }
        to_resend
    }
}

/// The time until which a client awaits the answer to a request.
pub fn answer_awaited_until(request: &Request) -> f64 {
    request.sent_at + request.client_timeout_s + GIVE_UP_AFTER_S
}

/// Hands all established sessions over to a node that was started again, and logs their ends from there.
/// `name` gives the name that a server had at a time.
pub async fn hand_over_all(context: Arc<ClientContext>, name: impl Fn(usize, f64) -> String) {
    let established: Vec<(Request, usize, f64)> = {
        let event_log = context.recorder.event_log();
        let is_established = |request: &&Request| {
            let served = matches!(request.answers.first(), Some((_, Answer::Served)));
            request.node == context.node.index && served && request.ended_at.is_none()
        };
        let server_of = |request: &Request| {
            let attempts = event_log.attempts.iter().rev().filter(|attempt| attempt.id == request.id);
            attempts.clone().find_map(|attempt| Some((attempt.server, attempt.answered_at?)))
        };
        let established = event_log.requests.iter().filter(is_established);
        let with_server = established.filter_map(|request| {
            let (server, answered_at) = server_of(request)?;
            Some((request.clone(), server, answered_at))
        });
        with_server.collect()
    };
    let Ok(Ok(mut socket)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(context.node.listen_address)).await
    else {
        return;
    };
    for (request, server, answered_at) in &established {
        let message = hand_over(&context.plan, request, &name(*server, *answered_at));
        if socket.write_all(&encode_message(message)).await.is_err() {
            return;
        }
    }
    let mut bytes = BytesMut::new();
    while matches!(socket.read_buf(&mut bytes).await, Ok(1..)) {
        while let Ok(Some(message)) = Codec.decode(&mut bytes) {
            let now = context.recorder.now();
            if let Some(request) = context.recorder.event_log().request(message.session) {
                request.ended_at.get_or_insert(now);
            }
        }
    }
}
