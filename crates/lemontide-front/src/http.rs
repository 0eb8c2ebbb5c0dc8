//! The players' side: HTTP/1.1. A wish gets exactly one answer; a player that goes away is heard at once.

use crate::core::Refusal;
use crate::front::{Asked, Happened, Said, State as Figures};
use crate::settings::Settings;
use axum::body::{to_bytes, Body};
use axum::extract::{Path, Request, State};
use axum::http::{header, HeaderMap, HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post};
use axum::{Json, Router};
use futures::stream;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use lemontide_gossip::node::View;
use lemontide_wire::clock::Clock;
use lemontide_wire::cmcd::{self, Cmcd};
use lemontide_wire::cmsd;
use lemontide_wire::play::{Answer, Wish};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot, watch, Semaphore};
use tokio::time::timeout;

/// Bytes of one request's head at most.
const HEAD_MOST: usize = 16 * 1024;

#[derive(Clone)]
struct Serving {
    clock: Clock,
    wishes: mpsc::Sender<Asked>,
    reports: mpsc::Sender<Happened>,
    ids: Arc<AtomicU32>,
    me: usize,
    body_bytes: usize,
    request: Duration,
    /// The wait that a wish which can't be queued is told, in seconds; none where that is not allowed.
    retry_after: Option<f64>,
    live: Arc<Vec<String>>,
    gossip: Option<mpsc::Sender<oneshot::Sender<View>>>,
}

/// Serves players until the listener fails for good or all is dropped.
pub fn serve(
    listener: TcpListener,
    settings: &Settings,
    clock: Clock,
    wishes: mpsc::Sender<Asked>,
    reports: mpsc::Sender<Happened>,
    stopped: watch::Receiver<bool>,
    gossip: Option<mpsc::Sender<oneshot::Sender<View>>>,
) {
    let allowed = settings.retry_after.allowed && settings.retry_after.longest_s > 0.0;
    let live = settings.lanes.iter().filter(|lane| lane.live).map(|lane| lane.name.clone()).collect();
    let serving = Serving {
        clock,
        wishes,
        reports,
        ids: Arc::new(AtomicU32::new(1)),
        me: settings.me,
        body_bytes: settings.limits.body_bytes,
        request: Duration::from_secs_f64(settings.limits.request_s),
        retry_after: allowed.then_some(settings.retry_after.longest_s),
        live: Arc::new(live),
        gossip,
    };
    let request = serving.request;
    let routes = Router::new()
        .route("/v1/subscriptions", post(subscribe))
        .route("/v1/subscriptions/{id}", delete(leave))
        .route("/v1/subscriptions/{id}/news", get(news))
        .route("/v1/state", get(figures))
        .route("/v1/gossip", get(gossip_view))
        .with_state(serving);
    let stack = Stack { connections: settings.limits.connections, request };
    tokio::spawn(async move {
        // Wishes that come while the controller stops are answered, too; so the listener stays until the end.
        let _stopped = stopped;
        accept(listener, routes, stack).await;
    });
}

/// Bounds of the HTTP stack: connections at a time, and the time in which a head must be there.
#[derive(Clone, Copy, Debug)]
pub struct Stack {
    pub connections: usize,
    pub request: Duration,
}

/// Accepts connections and serves these routes on them, for as long as it is polled.
pub async fn accept(listener: TcpListener, routes: Router, stack: Stack) {
    let room = Arc::new(Semaphore::new(stack.connections));
    loop {
        // A full house leaves connections in the system's queue; they are not accepted and then forgotten.
        let Ok(permit) = room.clone().acquire_owned().await else { return };
        let Ok((socket, _)) = listener.accept().await else {
            // Out of descriptors, most likely: wait for some to come free.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let _ = socket.set_nodelay(true);
        let service = TowerToHyperService::new(routes.clone());
        tokio::spawn(async move {
            let served = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(stack.request)
                .max_buf_size(HEAD_MOST)
                .serve_connection(TokioIo::new(socket), service);
            if let Err(e) = served.await {
                tracing::debug!(target: "http", error = %e, "connection ended");
            }
            drop(permit);
        });
    }
}

/// Tells the controller when the player of a wish goes away before the answer.
struct Waiting {
    id: u32,
    reports: mpsc::Sender<Happened>,
    answered: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.answered {
            // Where the queue is full the closed reply tells the same when the answer is due.
            let _ = self.reports.try_send(Happened::Left { id: self.id });
        }
    }
}

async fn subscribe(State(serving): State<Serving>, request: Request) -> Response {
    let asked = serving.clock.now();
    let (head, body) = request.into_parts();
    let body = match timeout(serving.request, to_bytes(body, serving.body_bytes)).await {
        Ok(Ok(body)) => body,
        Ok(Err(_)) => {
            let error = format!("the body is cut short or over {} bytes", serving.body_bytes);
            return not_taken(StatusCode::PAYLOAD_TOO_LARGE, &error, None);
        }
        Err(_) => return not_taken(StatusCode::REQUEST_TIMEOUT, "the body took too long", None),
    };
    let wish: Wish = match serde_json::from_slice(&body) {
        Ok(wish) => wish,
        Err(e) => return not_taken(StatusCode::BAD_REQUEST, &format!("the wish is not valid: {e}"), None),
    };
    let cmcd = hints(&head.headers, head.uri.query(), &wish);
    if cmcd.skipped > 0 {
        tracing::debug!(target: "http", skipped = cmcd.skipped, "hints not valid");
    }
    let id = serving.ids.fetch_add(1, Ordering::Relaxed);
    let (reply, said) = oneshot::channel();
    let live = serving.live.contains(&wish.lane);
    let sent = serving.wishes.try_send(Asked { id, asked, wish, cmcd, reply });
    if let Err(TrySendError::Full(_) | TrySendError::Closed(_)) = sent {
        return not_taken(StatusCode::SERVICE_UNAVAILABLE, "too many wishes wait", serving.retry_after);
    }
    let mut waiting = Waiting { id, reports: serving.reports.clone(), answered: false };
    let said = said.await;
    waiting.answered = true;
    match said {
        Ok(Ok(said)) => answer(&serving, said, live),
        Ok(Err(Refusal::NoSuchTitle)) => not_taken(StatusCode::NOT_FOUND, "there is no such title", None),
        Ok(Err(Refusal::NoSuchLane)) => not_taken(StatusCode::BAD_REQUEST, "there is no such lane", None),
        Ok(Err(Refusal::Closed)) => {
            not_taken(StatusCode::SERVICE_UNAVAILABLE, "no more is taken here", serving.retry_after)
        }
        Ok(Err(Refusal::Overloaded { wait })) => {
            let wait = serving.retry_after.map(|_| wait.seconds());
            not_taken(StatusCode::SERVICE_UNAVAILABLE, "the controller is near its limit", wait)
        }
        Err(_) => not_taken(StatusCode::SERVICE_UNAVAILABLE, "the controller stops", serving.retry_after),
    }
}

/// The hints of a request: headers, the query's `CMCD` argument or the wish's JSON, in this order.
fn hints(headers: &HeaderMap, query: Option<&str>, wish: &Wish) -> Cmcd {
    let fields: Vec<&[u8]> =
        cmcd::HEADERS.iter().flat_map(|name| headers.get_all(*name)).map(HeaderValue::as_bytes).collect();
    if !fields.is_empty() {
        return Cmcd::of_fields(fields);
    }
    if let Some(argument) = query.and_then(cmcd::in_query) {
        return Cmcd::of_fields([&argument[..]]);
    }
    wish.cmcd.as_ref().map(Cmcd::of_json).unwrap_or_default()
}

fn answer(serving: &Serving, said: Said, live: bool) -> Response {
    let (status, wait) = match &said.answer {
        Answer::Plays { .. } => (StatusCode::CREATED, None),
        Answer::TurnedBack { retry_after_s, .. } => (StatusCode::SERVICE_UNAVAILABLE, *retry_after_s),
        Answer::Scrapped { .. } => (StatusCode::BAD_GATEWAY, None),
        Answer::NotTaken { retry_after_s, .. } => (StatusCode::SERVICE_UNAVAILABLE, *retry_after_s),
    };
    let mut response = (status, Json(&said.answer)).into_response();
    let dynamic = cmsd::Dynamic {
        server: format!("lemontide-{}", serving.me),
        suggested_kbps: said.suggested_kbps,
        duress: said.duress,
        ..cmsd::Dynamic::default()
    };
    let headers = response.headers_mut();
    put(headers, cmsd::DYNAMIC, dynamic.write());
    if let Some(kbps) = said.suggested_kbps {
        put(headers, cmsd::STATIC, cmsd::fixed(kbps, live));
    }
    retry_after(headers, wait);
    response
}

fn not_taken(status: StatusCode, error: &str, wait: Option<f64>) -> Response {
    let said = Answer::NotTaken { error: error.to_owned(), retry_after_s: wait };
    let mut response = (status, Json(said)).into_response();
    retry_after(response.headers_mut(), wait);
    response
}

/// `Retry-After` carries whole seconds: the next one, so that nobody comes too early by it.
fn retry_after(headers: &mut HeaderMap, wait: Option<f64>) {
    if let Some(wait) = wait {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(wait.ceil().max(1.0) as u64));
    }
}

fn put(headers: &mut HeaderMap, name: &'static str, value: String) {
    if let Ok(value) = HeaderValue::from_str(&value) {
        headers.insert(name, value);
    }
}

async fn leave(State(serving): State<Serving>, Path(id): Path<u32>) -> Response {
    let (done, ended) = oneshot::channel();
    let sent = serving.reports.send(Happened::Leave { id, done }).await;
    match (sent, ended.await) {
        (Ok(()), Ok(true)) => StatusCode::NO_CONTENT.into_response(),
        (Ok(()), Ok(false)) => StatusCode::NOT_FOUND.into_response(),
        _ => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn news(State(serving): State<Serving>, Path(id): Path<u32>) -> Response {
    let (reply, heard) = oneshot::channel();
    if serving.reports.send(Happened::Listen { id, news: reply }).await.is_err() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let Ok(Some(news)) = heard.await else { return StatusCode::NOT_FOUND.into_response() };
    let lines = stream::unfold(news, |mut news| async move {
        let mut line = serde_json::to_vec(&news.recv().await?).ok()?;
        line.push(b'\n');
        Some((Ok::<_, std::convert::Infallible>(line), news))
    });
    ([(header::CONTENT_TYPE, "application/x-ndjson")], Body::from_stream(lines)).into_response()
}

async fn figures(State(serving): State<Serving>) -> Response {
    let (reply, figures) = oneshot::channel();
    let sent = serving.reports.send(Happened::State(reply)).await;
    match (sent, figures.await) {
        (Ok(()), Ok(figures)) => Json::<Figures>(figures).into_response(),
        _ => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn gossip_view(State(serving): State<Serving>) -> Response {
    let Some(gossip) = serving.gossip else { return StatusCode::NOT_FOUND.into_response() };
    let (reply, view) = oneshot::channel();
    let sent = gossip.send(reply).await;
    match (sent, view.await) {
        (Ok(()), Ok(view)) => Json::<View>(view).into_response(),
        _ => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}
