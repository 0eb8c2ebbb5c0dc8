//! Load generators that send play requests over kept connections: a closed loop that sends the next request after each
//! response, and open loops with a given arrival rate.

use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use lemontide_wire::play::{PlayRequest, PlayResponse};
use lemontide_wire::tap::{ResponseKind, Tap, TapEvent};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{timeout, Instant};

/// Time limit for connecting and for each HTTP request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Connections that are opened without a pause before a load begins.
const CONNECTION_BATCH: usize = 50;

/// Result of a load of one class.
#[derive(Clone, Debug)]
pub struct LoadResult {
    /// Requests that led to a playing session.
    pub plays: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests that the controller did not accept.
    pub not_accepted: u64,
    /// Requests without any of these responses.
    pub unanswered: u64,
    /// Duration of the load.
    pub duration_s: f64,
    /// Time from a request's due time to its response, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Sessions that play and were not ended.
    pub playing_sessions: Vec<u32>,
}

impl LoadResult {
    fn new() -> LoadResult {
        LoadResult {
            plays: 0,
            rejected: 0,
            failed: 0,
            not_accepted: 0,
            unanswered: 0,
            duration_s: 0.0,
            latency_us: Histogram::new_with_bounds(1, 60_000_000, 3)
                .unwrap_or_else(|_| Histogram::new(3).expect("three digits are allowed")),
            playing_sessions: Vec::new(),
        }
    }

    /// Number of responses.
    pub fn responses(&self) -> u64 {
        self.plays + self.rejected + self.failed + self.not_accepted
    }

    fn count(&mut self, response: Option<&PlayResponse>, latency: Duration) {
        match response {
            Some(PlayResponse::Plays { .. }) => self.plays += 1,
            Some(PlayResponse::Rejected { .. }) => self.rejected += 1,
            Some(PlayResponse::Failed { .. }) => self.failed += 1,
            Some(PlayResponse::NotAccepted { .. }) => self.not_accepted += 1,
            None => self.unanswered += 1,
        }
        self.latency_us.saturating_record((latency.as_micros() as u64).max(1));
    }

    fn add(&mut self, other: LoadResult) {
        self.plays += other.plays;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.not_accepted += other.not_accepted;
        self.unanswered += other.unanswered;
        self.playing_sessions.extend(other.playing_sessions);
        let _ = self.latency_us.add(&other.latency_us);
    }
}

/// Configuration of a load of one class.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// Address of the controller.
    pub controller: SocketAddr,
    /// Connections of a closed loop, each with one request at a time.
    pub workers: usize,
    /// Titles that are requested in turn.
    pub titles: Vec<String>,
    /// Class of the requests.
    pub class: String,
    /// End each session as soon as it plays.
    pub ends_sessions: bool,
}

type HttpConnection = SendRequest<Full<Bytes>>;

async fn connect(address: SocketAddr) -> Option<HttpConnection> {
    let socket = timeout(REQUEST_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    let _ = socket.set_nodelay(true);
    let (connection, http_task) = handshake(TokioIo::new(socket)).await.ok()?;
    tokio::spawn(http_task);
    Some(connection)
}

async fn send(
    connection: &mut HttpConnection,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Option<(StatusCode, Bytes)> {
    let request = Request::builder().method(method).uri(path).header("host", "lemontide");
    let request = request.body(Full::new(Bytes::from(body))).ok()?;
    let exchange = async {
        connection.ready().await.ok()?;
        let response = connection.send_request(request).await.ok()?;
        let status = response.status();
        Some((status, response.into_body().collect().await.ok()?.to_bytes()))
    };
    timeout(REQUEST_TIMEOUT, exchange).await.ok()?
}

/// Sends one request. Without a response, the connection can't be used any more.
async fn request_play(
    connection: &mut HttpConnection,
    config: &LoadConfig,
    number: usize,
) -> Option<PlayResponse> {
    let request = PlayRequest {
        title: config.titles[number % config.titles.len()].clone(),
        class: config.class.clone(),
        request_id: format!("l{number}"),
        ..PlayRequest::default()
    };
    let body = serde_json::to_vec(&request).ok()?;
    let (_, bytes) = send(connection, Method::POST, "/v1/subscriptions", body).await?;
    serde_json::from_slice(&bytes).ok()
}

async fn end_session(connection: &mut HttpConnection, session: u32) {
    let path = format!("/v1/subscriptions/{session}");
    let _ = send(connection, Method::DELETE, &path, Vec::new()).await;
}

/// Closed loop: each connection sends the next request after each response, for this long or until this many requests were
/// sent in total.
pub async fn run_closed_loop(config: LoadConfig, duration: Duration, max_requests: usize) -> LoadResult {
    let start = Instant::now();
    let next_number = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let mut workers = JoinSet::new();
    for _ in 0..config.workers {
        let (config, next_number) = (config.clone(), next_number.clone());
        workers.spawn(async move {
            let mut result = LoadResult::new();
            let mut connection = connect(config.controller).await;
            while start.elapsed() < duration {
                let number = next_number.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                if number >= max_requests {
                    break;
                }
                let Some(open) = connection.as_mut() else {
                    result.count(None, Duration::ZERO);
                    break;
                };
                let sent_at = Instant::now();
                let response = request_play(open, &config, number).await;
                result.count(response.as_ref(), sent_at.elapsed());
                match response {
                    Some(PlayResponse::Plays { session, .. }) if config.ends_sessions => {
                        end_session(open, session).await
                    }
                    Some(PlayResponse::Plays { session, .. }) => result.playing_sessions.push(session),
                    Some(_) => {}
                    None => connection = connect(config.controller).await,
                }
            }
            result
        });
    }
    let mut all = LoadResult::new();
    while let Some(result) = workers.join_next().await {
        if let Ok(result) = result {
            all.add(result);
        }
    }
    all.duration_s = start.elapsed().as_secs_f64();
    all
}

/// Open loop: sends requests at a constant arrival rate, each at its due time whether or not earlier ones were answered, on
/// as many connections as it takes. Latency counts from the due time, so that a stall of the controller is included.
pub async fn run_open_loop(config: LoadConfig, requests_per_s: f64, duration: Duration) -> LoadResult {
    let start = Instant::now();
    let idle_connections: Arc<Mutex<Vec<HttpConnection>>> = Arc::default();
    let mut requests = JoinSet::new();
    let count = (requests_per_s * duration.as_secs_f64()) as usize;
    let mut all = LoadResult::new();
    for number in 0..count {
        let due = start + Duration::from_secs_f64(number as f64 / requests_per_s);
        tokio::time::sleep_until(due).await;
        let (config, idle_connections) = (config.clone(), idle_connections.clone());
        requests.spawn(async move {
            let kept = idle_connections.lock().unwrap_or_else(PoisonError::into_inner).pop();
            let connection = match kept {
                Some(connection) if !connection.is_closed() => Some(connection),
                _ => connect(config.controller).await,
            };
            let mut result = LoadResult::new();
            let Some(mut connection) = connection else {
                result.count(None, due.elapsed());
                return result;
            };
            let response = request_play(&mut connection, &config, number).await;
            result.count(response.as_ref(), due.elapsed());
            match response {
                Some(PlayResponse::Plays { session, .. }) if config.ends_sessions => {
                    end_session(&mut connection, session).await
                }
                Some(PlayResponse::Plays { session, .. }) => result.playing_sessions.push(session),
                _ => {}
            }
            if response.is_some() {
                idle_connections.lock().unwrap_or_else(PoisonError::into_inner).push(connection);
            }
            result
        });
        while let Some(Ok(result)) = requests.try_join_next() {
            all.add(result);
        }
    }
    while let Some(result) = requests.join_next().await {
        if let Ok(result) = result {
            all.add(result);
        }
    }
    all.duration_s = start.elapsed().as_secs_f64();
    all
}

/// One class of a mixed load.
#[derive(Clone, Debug)]
pub struct ClassLoad {
    /// Name of the class.
    pub name: String,
    /// Gain of a session.
    pub gain: f64,
    /// Part of all requests that are of this class; the parts of all classes add up to 1.
    pub part: f64,
}

/// Configuration of an open load of several classes: each request is sent at its due time and given up at its deadline.
#[derive(Clone)]
pub struct MixedLoadConfig {
    /// Address of the controller.
    pub controller: SocketAddr,
    /// Titles that are requested in turn.
    pub titles: Vec<String>,
    /// Classes of the requests.
    pub classes: Vec<ClassLoad>,
    /// Arrival rates: requests per second from these times on, in seconds from the start. The last time is the end.
    pub rate_steps: Vec<(f64, f64)>,
    /// Latency goal of a request.
    pub latency_goal_s: f64,
    /// Requests are given up after this time.
    pub deadline_s: f64,
    /// Most retries of a rejected request, each after the wait that the response asks for.
    pub max_retries: u32,
    /// Requests name their class in a header, too.
    pub sends_hint: bool,
    /// A playing session reads its events on another connection until it ends.
    pub reads_events: bool,
    /// Connections that are open before the load begins, as a proxy would keep them.
    pub initial_connections: usize,
    /// Tap for the events of the players, and the number of the controller.
    pub tap: Option<(Tap, usize)>,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Outcome of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The session plays.
    Plays,
    /// It was rejected.
    Rejected,
    /// The controller did not accept it.
    NotAccepted,
    /// It failed.
    Failed,
    /// There was no response until the deadline.
    Late,
    /// There was no connection, or it ended without a response.
    ConnectionLost,
}

/// Record of one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord {
    /// Seconds from the start of the load to its due time.
    pub due_s: f64,
    /// Index of its class.
    pub class: usize,
    /// Number of the retry; 0 for the first request.
    pub retry: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Seconds from its due time to the response.
    pub latency_s: f64,
}

struct MixedLoad {
    config: MixedLoadConfig,
    start: Instant,
    idle_connections: Mutex<Vec<HttpConnection>>,
    records: Mutex<Vec<RequestRecord>>,
}

impl MixedLoad {
    fn lock<T>(of: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
        of.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the events of a session on a connection of its own, and returns after the first of them.
    async fn open_event_stream(&self, session: u32) -> Option<(HttpConnection, hyper::body::Incoming)> {
        let kept = MixedLoad::lock(&self.idle_connections).pop();
        let mut connection = match kept {
            Some(connection) if !connection.is_closed() => connection,
            _ => connect(self.config.controller).await?,
        };
        let path = format!("/v1/subscriptions/{session}/news");
        let request = Request::builder().uri(path).header("host", "x").body(Full::new(Bytes::new())).ok()?;
        let exchange = async {
            connection.ready().await.ok()?;
            let mut body = connection.send_request(request).await.ok()?.into_body();
            body.frame().await?.ok()?;
            Some(body)
        };
        let body = timeout(REQUEST_TIMEOUT, exchange).await.ok()??;
        Some((connection, body))
    }

    /// Sends one request and records it. Returns its outcome and the time to wait before a retry.
    async fn send_request(
        &self,
        number: usize,
        class: usize,
        retry: u32,
        due: Instant,
    ) -> (Outcome, Option<f64>) {
        let config = &self.config;
        let request_id = format!("m{number}-{retry}");
        let title = &config.titles[number % config.titles.len()];
        let due_s = due.saturating_duration_since(self.start).as_secs_f64();
        if let Some((tap, controller)) = &config.tap {
            let now = tap.now();
            tap.record_at(
                now,
                TapEvent::RequestSent {
                    request_id: request_id.clone(),
                    viewer: format!("v{number}"),
                    controller: *controller,
                    class: config.classes[class].name.clone(),
                    title: title.clone(),
                    latency_goal: now + config.latency_goal_s,
                    deadline: now + config.deadline_s,
                    max_rung: 0,
                    wanted_s: 1.0,
                },
            );
        }
        let deadline = due + Duration::from_secs_f64(config.deadline_s);
        let exchange = async {
            let kept = MixedLoad::lock(&self.idle_connections).pop();
            let mut connection = match kept {
                Some(connection) if !connection.is_closed() => connection,
                _ => connect(config.controller).await?,
            };
            let play_request = PlayRequest {
                title: title.clone(),
                class: config.classes[class].name.clone(),
                request_id: request_id.clone(),
                is_retry: retry > 0,
                give_up_in_s: Some(deadline.saturating_duration_since(Instant::now()).as_secs_f64()),
                ..PlayRequest::default()
            };
            let body = serde_json::to_vec(&play_request).ok()?;
            let mut request =
                Request::builder().method(Method::POST).uri("/v1/subscriptions").header("host", "x");
            if config.sends_hint {
                let retry_hint = if retry > 0 { ", returned" } else { "" };
                request = request.header(
                    lemontide_wire::hint::HEADER_NAME,
                    format!("lane={}{retry_hint}", play_request.class),
                );
            }
            let request = request.body(Full::new(Bytes::from(body))).ok()?;
            connection.ready().await.ok()?;
            let response = connection.send_request(request).await.ok()?;
            let bytes = response.into_body().collect().await.ok()?.to_bytes();
            Some((serde_json::from_slice::<PlayResponse>(&bytes).ok()?, connection))
        };
        let answered = tokio::time::timeout_at(deadline, exchange).await;
        let latency_s = due.elapsed().as_secs_f64();
        let (outcome, kind, retry_after_s, connection) = match answered {
            Err(_) => (Outcome::Late, None, None, None),
            Ok(None) => (Outcome::ConnectionLost, Some(ResponseKind::NoResponse), None, None),
            Ok(Some((response, connection))) => match response {
                PlayResponse::Plays { session, .. } => {
                    (Outcome::Plays, Some(ResponseKind::Plays), None, Some((connection, Some(session))))
                }
                PlayResponse::Rejected { retry_after_s, .. } => {
                    (Outcome::Rejected, Some(ResponseKind::Rejected), retry_after_s, Some((connection, None)))
                }
                PlayResponse::NotAccepted { retry_after_s, .. } => (
                    Outcome::NotAccepted,
                    Some(ResponseKind::NotAccepted),
                    retry_after_s,
                    Some((connection, None)),
                ),
                PlayResponse::Failed { .. } => {
                    (Outcome::Failed, Some(ResponseKind::Failed), None, Some((connection, None)))
                }
            },
        };
        if let Some((tap, _)) = &config.tap {
            match kind {
                Some(kind) => tap.record(TapEvent::ResponseReceived { request_id, kind }),
                None => tap.record(TapEvent::ViewerLeft { request_id }),
            }
        }
        MixedLoad::lock(&self.records).push(RequestRecord { due_s, class, retry, outcome, latency_s });
        if let Some((mut connection, session)) = connection {
            if let Some(session) = session {
                let events = if config.reads_events { self.open_event_stream(session).await } else { None };
                end_session(&mut connection, session).await;
                if let Some((kept, events)) = events {
                    // The last event ends the response, and the connection can be used again.
                    if timeout(REQUEST_TIMEOUT, events.collect()).await.is_ok_and(|last| last.is_ok()) {
                        MixedLoad::lock(&self.idle_connections).push(kept);
                    }
                }
            }
            MixedLoad::lock(&self.idle_connections).push(connection);
        }
        (outcome, retry_after_s)
    }
}

/// Runs a mixed load to its end and waits for the last response. Returns one record for each request.
pub async fn run_mixed_load(config: MixedLoadConfig) -> Vec<RequestRecord> {
    let mut rng = StdRng::seed_from_u64(config.seed);
    let rate_steps = config.rate_steps.clone();
    let mut connections = Vec::new();
    while connections.len() < config.initial_connections {
        let Some(connection) = connect(config.controller).await else { break };
        connections.push(connection);
        if connections.len().is_multiple_of(CONNECTION_BATCH) {
            // The listen queue of the system is short, and a client that finds it full retries a second later.
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
    }
    let start = Instant::now();
    let load = Arc::new(MixedLoad {
        config,
        start,
        idle_connections: Mutex::new(connections),
        records: Mutex::new(Vec::new()),
    });
    let mut requests = JoinSet::new();
    let mut number = 0;
    for step in rate_steps.windows(2) {
        let ((from_s, requests_per_s), (to_s, _)) = (step[0], step[1]);
        for i in 0..((to_s - from_s) * requests_per_s) as usize {
            let due = start + Duration::from_secs_f64(from_s + i as f64 / requests_per_s);
            if due > Instant::now() {
                tokio::time::sleep_until(due).await;
            }
            let mut drawn = rng.random::<f64>();
            let class = load.config.classes.iter().position(|class| {
                drawn -= class.part;
                drawn < 0.0
            });
            let class = class.unwrap_or(load.config.classes.len() - 1);
            let load = load.clone();
            requests.spawn(async move {
                let mut due = due;
                for retry in 0..=load.config.max_retries {
                    let (outcome, retry_after_s) = load.send_request(number, class, retry, due).await;
                    let Some(wait_s) = retry_after_s.filter(|_| {
                        matches!(outcome, Outcome::Rejected | Outcome::NotAccepted)
                            && retry < load.config.max_retries
                    }) else {
                        return;
                    };
                    tokio::time::sleep(Duration::from_secs_f64(wait_s.clamp(0.0, 10.0))).await;
                    due = Instant::now();
                }
            });
            number += 1;
            while requests.try_join_next().is_some() {}
        }
    }
    while requests.join_next().await.is_some() {}
    let mut records = std::mem::take(&mut *MixedLoad::lock(&load.records));
    records.sort_by(|a, b| a.due_s.total_cmp(&b.due_s));
    records
}
