//! A load of wishes over kept connections: as fast as answers come, or at a stated rate whatever comes.

use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use lemontide_wire::play::{Answer, Wish};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{timeout, Instant};

/// No answer takes longer.
const LONGEST: Duration = Duration::from_secs(10);

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

    fn count(&mut self, answer: Option<&Answer>, after: Duration) {
        match answer {
            Some(Answer::Plays { .. }) => self.plays += 1,
            Some(Answer::TurnedBack { .. }) => self.turned_back += 1,
            Some(Answer::Scrapped { .. }) => self.scrapped += 1,
            Some(Answer::NotTaken { .. }) => self.not_taken += 1,
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
async fn wish(line: &mut Line, ask: &Ask, number: usize) -> Option<Answer> {
    let wish = Wish {
        title: ask.titles[number % ask.titles.len()].clone(),
        lane: ask.lane.clone(),
        ask: format!("l{number}"),
        ..Wish::default()
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
                    Some(Answer::Plays { subscription, .. }) if ask.leave => leave(open, subscription).await,
                    Some(Answer::Plays { subscription, .. }) => came.playing.push(subscription),
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
                Some(Answer::Plays { subscription, .. }) if ask.leave => leave(&mut line, subscription).await,
                Some(Answer::Plays { subscription, .. }) => came.playing.push(subscription),
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
