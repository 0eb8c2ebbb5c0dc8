//! A load of wishes over kept connections: as fast as answers come, or at a stated rate whatever comes.

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

/// No answer takes longer.
const LONGEST: Duration = Duration::from_secs(10);

/// Connections opened in one go before a load begins.
const OPENED_AT_ONCE: usize = 50;

/// What came of a load.
#[derive(Clone, Debug)]
pub struct Came {
    pub plays: u64,
    pub turned_back: u64,
    pub scrapped: u64,
    pub not_taken: u64,
    /// Wishes whose answer was none of these, or did not come.
    pub missing: u64,
    pub took_s: f64,
    /// From the wish's due time to its answer, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Subscriptions that play and were not ended.
    pub playing: Vec<u32>,
}

impl Came {
    fn new() -> Came {
        Came {
            plays: 0,
            turned_back: 0,
            scrapped: 0,
            not_taken: 0,
            missing: 0,
            took_s: 0.0,
            latency_us: Histogram::new_with_bounds(1, 60_000_000, 3)
                .unwrap_or_else(|_| Histogram::new(3).expect("three digits are allowed")),
            playing: Vec::new(),
        }
    }

    pub fn answers(&self) -> u64 {
        self.plays + self.turned_back + self.scrapped + self.not_taken
    }

    fn count(&mut self, answer: Option<&PlayResponse>, after: Duration) {
        match answer {
            Some(PlayResponse::Plays { .. }) => self.plays += 1,
            Some(PlayResponse::Rejected { .. }) => self.turned_back += 1,
            Some(PlayResponse::Failed { .. }) => self.scrapped += 1,
            Some(PlayResponse::NotAccepted { .. }) => self.not_taken += 1,
            None => self.missing += 1,
        }
        self.latency_us.saturating_record((after.as_micros() as u64).max(1));
    }

    fn add(&mut self, other: Came) {
        self.plays += other.plays;
        self.turned_back += other.turned_back;
        self.scrapped += other.scrapped;
        self.not_taken += other.not_taken;
        self.missing += other.missing;
        self.playing.extend(other.playing);
        let _ = self.latency_us.add(&other.latency_us);
    }
}

/// How a load asks.
#[derive(Clone, Debug)]
pub struct Ask {
    pub to: SocketAddr,
    /// Connections, each with one wish at a time.
    pub workers: usize,
    pub titles: Vec<String>,
    pub lane: String,
    /// End each subscription as soon as it plays.
    pub leave: bool,
}

type Line = SendRequest<Full<Bytes>>;

async fn connect(to: SocketAddr) -> Option<Line> {
    let socket = timeout(LONGEST, TcpStream::connect(to)).await.ok()?.ok()?;
    let _ = socket.set_nodelay(true);
    let (line, connection) = handshake(TokioIo::new(socket)).await.ok()?;
    tokio::spawn(connection);
    Some(line)
}

async fn call(line: &mut Line, method: Method, path: &str, body: Vec<u8>) -> Option<(StatusCode, Bytes)> {
    let request = Request::builder().method(method).uri(path).header("host", "lemontide");
    let request = request.body(Full::new(Bytes::from(body))).ok()?;
    let exchange = async {
        line.ready().await.ok()?;
        let response = line.send_request(request).await.ok()?;
        let status = response.status();
        Some((status, response.into_body().collect().await.ok()?.to_bytes()))
    };
    timeout(LONGEST, exchange).await.ok()?
}

/// One wish, and its end where the load leaves at once. The answer, and whether the line is still good.
async fn wish(line: &mut Line, ask: &Ask, number: usize) -> Option<PlayResponse> {
    let wish = PlayRequest {
        title: ask.titles[number % ask.titles.len()].clone(),
        class: ask.lane.clone(),
        request_id: format!("l{number}"),
        ..PlayRequest::default()
    };
    let body = serde_json::to_vec(&wish).ok()?;
    let (_, bytes) = call(line, Method::POST, "/v1/subscriptions", body).await?;
    serde_json::from_slice(&bytes).ok()
}

async fn leave(line: &mut Line, subscription: u32) {
    let path = format!("/v1/subscriptions/{subscription}");
    let _ = call(line, Method::DELETE, &path, Vec::new()).await;
}

/// Asks on every connection as fast as answers come: for so long, or until so many were asked.
pub async fn closed(ask: Ask, lasts: Duration, most: usize) -> Came {
    let began = Instant::now();
    let next = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let mut workers = JoinSet::new();
    for _ in 0..ask.workers {
        let (ask, next) = (ask.clone(), next.clone());
        workers.spawn(async move {
            let mut came = Came::new();
            let mut line = connect(ask.to).await;
            while began.elapsed() < lasts {
                let number = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                if number >= most {
                    break;
                }
                let Some(open) = line.as_mut() else {
                    came.count(None, Duration::ZERO);
                    break;
                };
                let since = Instant::now();
                let answer = wish(open, &ask, number).await;
                came.count(answer.as_ref(), since.elapsed());
                match answer {
                    Some(PlayResponse::Plays { session: subscription, .. }) if ask.leave => {
                        leave(open, subscription).await
                    }
                    Some(PlayResponse::Plays { session: subscription, .. }) => {
                        came.playing.push(subscription)
                    }
                    Some(_) => {}
                    None => line = connect(ask.to).await,
                }
            }
            came
        });
    }
    let mut all = Came::new();
    while let Some(came) = workers.join_next().await {
        if let Ok(came) = came {
            all.add(came);
        }
    }
    all.took_s = began.elapsed().as_secs_f64();
    all
}

/// Asks at a steady rate, each wish at its due time whether or not earlier ones were answered, on as many
/// connections as it takes. Latency counts from the due time, so that a stall is not left out.
pub async fn open(ask: Ask, per_s: f64, lasts: Duration) -> Came {
    let began = Instant::now();
    let idle: Arc<Mutex<Vec<Line>>> = Arc::default();
    let mut asks = JoinSet::new();
    let count = (per_s * lasts.as_secs_f64()) as usize;
    let mut all = Came::new();
    for number in 0..count {
        let due = began + Duration::from_secs_f64(number as f64 / per_s);
        tokio::time::sleep_until(due).await;
        let (ask, idle) = (ask.clone(), idle.clone());
        asks.spawn(async move {
            let kept = idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
            let line = match kept {
                Some(line) if !line.is_closed() => Some(line),
                _ => connect(ask.to).await,
            };
            let mut came = Came::new();
            let Some(mut line) = line else {
                came.count(None, due.elapsed());
                return came;
            };
            let answer = wish(&mut line, &ask, number).await;
            came.count(answer.as_ref(), due.elapsed());
            match answer {
                Some(PlayResponse::Plays { session: subscription, .. }) if ask.leave => {
                    leave(&mut line, subscription).await
                }
                Some(PlayResponse::Plays { session: subscription, .. }) => came.playing.push(subscription),
                _ => {}
            }
            if answer.is_some() {
                idle.lock().unwrap_or_else(PoisonError::into_inner).push(line);
            }
            came
        });
        while let Some(Ok(came)) = asks.try_join_next() {
            all.add(came);
        }
    }
    while let Some(came) = asks.join_next().await {
        if let Ok(came) = came {
            all.add(came);
        }
    }
    all.took_s = began.elapsed().as_secs_f64();
    all
}

/// One lane of a mixed load.
#[derive(Clone, Debug)]
pub struct Lane {
    pub name: String,
    pub gain: f64,
    /// Its part of all wishes; the parts of all lanes add up to 1.
    pub part: f64,
}

/// A load of several lanes, open: each wish at its due time, given up at its cut-off.
#[derive(Clone)]
pub struct Mix {
    pub to: SocketAddr,
    pub titles: Vec<String>,
    pub lanes: Vec<Lane>,
    /// Wishes a second from these moments on, in seconds from the start; the last moment is the end.
    pub rate: Vec<(f64, f64)>,
    pub goal_s: f64,
    pub cut_off_s: f64,
    /// Turned-back players come again so many times, after the wait that they are told.
    pub again: u32,
    /// The head says the lane.
    pub hinted: bool,
    /// Who plays listens to its news on another connection until it leaves.
    pub follows: bool,
    /// Connections that are open before the load begins, as a proxy would keep them.
    pub connections: usize,
    /// Where the players' end is written down, and the number of the controller that they ask.
    pub tap: Option<(Tap, usize)>,
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Plays,
    TurnedBack,
    NotTaken,
    Scrapped,
    /// The answer was not there at the cut-off.
    Late,
    /// No connection, or it ended without an answer.
    Broken,
}

/// What came of one wish.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    /// Seconds from the start at which it was due.
    pub due: f64,
    pub lane: usize,
    /// 0 for the first time.
    pub again: u32,
    pub outcome: Outcome,
    /// Seconds from its due time to the answer.
    pub took: f64,
}

struct Player {
    mix: Mix,
    began: Instant,
    idle: Mutex<Vec<Line>>,
    records: Mutex<Vec<Record>>,
}

impl Player {
    fn keep<T>(of: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
        of.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Listens to the news of a subscription on a connection of its own; its first line came.
    async fn follow(&self, subscription: u32) -> Option<(Line, hyper::body::Incoming)> {
        let kept = Player::keep(&self.idle).pop();
        let mut line = match kept {
            Some(line) if !line.is_closed() => line,
            _ => connect(self.mix.to).await?,
        };
        let path = format!("/v1/subscriptions/{subscription}/news");
        let request = Request::builder().uri(path).header("host", "x").body(Full::new(Bytes::new())).ok()?;
        let exchange = async {
            line.ready().await.ok()?;
            let mut body = line.send_request(request).await.ok()?.into_body();
            body.frame().await?.ok()?;
            Some(body)
        };
        let body = timeout(LONGEST, exchange).await.ok()??;
        Some((line, body))
    }

    /// One wish. What came, its wait, and the subscription where it plays.
    async fn ask(&self, number: usize, lane: usize, again: u32, due: Instant) -> (Outcome, Option<f64>) {
        let mix = &self.mix;
        let ask = format!("m{number}-{again}");
        let title = &mix.titles[number % mix.titles.len()];
        let at = due.saturating_duration_since(self.began).as_secs_f64();
        if let Some((tap, controller)) = &mix.tap {
            let now = tap.now();
            tap.record_at(
                now,
                TapEvent::RequestSent {
                    request_id: ask.clone(),
                    viewer: format!("v{number}"),
                    controller: *controller,
                    class: mix.lanes[lane].name.clone(),
                    title: title.clone(),
                    latency_goal: now + mix.goal_s,
                    deadline: now + mix.cut_off_s,
                    max_rung: 0,
                    wanted_s: 1.0,
                },
            );
        }
        let until = due + Duration::from_secs_f64(mix.cut_off_s);
        let exchange = async {
            let kept = Player::keep(&self.idle).pop();
            let mut line = match kept {
                Some(line) if !line.is_closed() => line,
                _ => connect(mix.to).await?,
            };
            let wish = PlayRequest {
                title: title.clone(),
                class: mix.lanes[lane].name.clone(),
                request_id: ask.clone(),
                is_retry: again > 0,
                give_up_in_s: Some(until.saturating_duration_since(Instant::now()).as_secs_f64()),
                ..PlayRequest::default()
            };
            let body = serde_json::to_vec(&wish).ok()?;
            let mut request =
                Request::builder().method(Method::POST).uri("/v1/subscriptions").header("host", "x");
            if mix.hinted {
                let returned = if again > 0 { ", returned" } else { "" };
                request = request
                    .header(lemontide_wire::hint::HEADER_NAME, format!("lane={}{returned}", wish.class));
            }
            let request = request.body(Full::new(Bytes::from(body))).ok()?;
            line.ready().await.ok()?;
            let response = line.send_request(request).await.ok()?;
            let bytes = response.into_body().collect().await.ok()?.to_bytes();
            Some((serde_json::from_slice::<PlayResponse>(&bytes).ok()?, line))
        };
        let came = tokio::time::timeout_at(until, exchange).await;
        let took = due.elapsed().as_secs_f64();
        let (outcome, kind, wait, line) = match came {
            Err(_) => (Outcome::Late, None, None, None),
            Ok(None) => (Outcome::Broken, Some(ResponseKind::NoResponse), None, None),
            Ok(Some((answer, line))) => match answer {
                PlayResponse::Plays { session: subscription, .. } => {
                    (Outcome::Plays, Some(ResponseKind::Plays), None, Some((line, Some(subscription))))
                }
                PlayResponse::Rejected { retry_after_s, .. } => {
                    (Outcome::TurnedBack, Some(ResponseKind::Rejected), retry_after_s, Some((line, None)))
                }
                PlayResponse::NotAccepted { retry_after_s, .. } => {
                    (Outcome::NotTaken, Some(ResponseKind::NotAccepted), retry_after_s, Some((line, None)))
                }
                PlayResponse::Failed { .. } => {
                    (Outcome::Scrapped, Some(ResponseKind::Failed), None, Some((line, None)))
                }
            },
        };
        if let Some((tap, _)) = &mix.tap {
            match kind {
                Some(kind) => tap.record(TapEvent::ResponseReceived { request_id: ask, kind }),
                None => tap.record(TapEvent::ViewerLeft { request_id: ask }),
            }
        }
        Player::keep(&self.records).push(Record { due: at, lane, again, outcome, took });
        if let Some((mut line, subscription)) = line {
            if let Some(subscription) = subscription {
                let news = if mix.follows { self.follow(subscription).await } else { None };
                leave(&mut line, subscription).await;
                if let Some((kept, news)) = news {
                    // The last line of news ends the answer, and the connection is free again.
                    if timeout(LONGEST, news.collect()).await.is_ok_and(|last| last.is_ok()) {
                        Player::keep(&self.idle).push(kept);
                    }
                }
            }
            Player::keep(&self.idle).push(line);
        }
        (outcome, wait)
    }
}

/// Plays a mixed load to its end and the last answer. One record a wish.
pub async fn mixed(mix: Mix) -> Vec<Record> {
    let mut chance = StdRng::seed_from_u64(mix.seed);
    let rates = mix.rate.clone();
    let mut lines = Vec::new();
    while lines.len() < mix.connections {
        let Some(line) = connect(mix.to).await else { break };
        lines.push(line);
        if lines.len().is_multiple_of(OPENED_AT_ONCE) {
            // A system's queue of connections is short, and who finds it full tries again a second later.
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
    }
    let began = Instant::now();
    let player = Arc::new(Player { mix, began, idle: Mutex::new(lines), records: Mutex::new(Vec::new()) });
    let mut asks = JoinSet::new();
    let mut number = 0;
    for step in rates.windows(2) {
        let ((from, per_s), (to, _)) = (step[0], step[1]);
        for i in 0..((to - from) * per_s) as usize {
            let due = began + Duration::from_secs_f64(from + i as f64 / per_s);
            if due > Instant::now() {
                tokio::time::sleep_until(due).await;
            }
            let mut drawn = chance.random::<f64>();
            let lane = player.mix.lanes.iter().position(|lane| {
                drawn -= lane.part;
                drawn < 0.0
            });
            let lane = lane.unwrap_or(player.mix.lanes.len() - 1);
            let player = player.clone();
            asks.spawn(async move {
                let mut due = due;
                for again in 0..=player.mix.again {
                    let (outcome, wait) = player.ask(number, lane, again, due).await;
                    let Some(wait) = wait.filter(|_| {
                        matches!(outcome, Outcome::TurnedBack | Outcome::NotTaken) && again < player.mix.again
                    }) else {
                        return;
                    };
                    tokio::time::sleep(Duration::from_secs_f64(wait.clamp(0.0, 10.0))).await;
                    due = Instant::now();
                }
            });
            number += 1;
            while asks.try_join_next().is_some() {}
        }
    }
    while asks.join_next().await.is_some() {}
    let mut records = std::mem::take(&mut *Player::keep(&player.records));
    records.sort_by(|a, b| a.due.total_cmp(&b.due));
    records
}
