//! The players' side: HTTP/1.1. A wish gets exactly one answer; a player that goes away is heard at once.

use crate::connections::{accept, Hall, LetIn, Stack};
use crate::core::SubmitError;
use crate::delivery::Undelivered;
use crate::events::{Asked, Happened, Said, State as Figures};
use crate::guard::Guard;
use crate::settings::Settings;
use crate::waiting::Waiting as Room;
use axum::body::{to_bytes, Body};
use axum::extract::{Path, Request, State};
use axum::http::{header, HeaderMap, HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post};
use axum::{Json, Router};
use futures::stream;
use lemontide::clock::{Point, Span};
use lemontide_gossip::node::GossipView;
use lemontide_shed::admission::Decision;
use lemontide_shed::connection_limits::ConnectionLimits;
use lemontide_shed::request_queue::Enqueued;
use lemontide_wire::clock::Clock;
use lemontide_wire::cmcd::{self, Cmcd};
use lemontide_wire::cmsd;
use lemontide_wire::play::{PlayRequest, PlayResponse};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

#[derive(Clone)]
struct Serving {
    clock: Clock,
    room: Arc<Room>,
    guard: Option<Arc<Guard>>,
    hall: Arc<Hall>,
    reports: mpsc::Sender<Happened>,
    ids: Arc<AtomicU32>,
    me: usize,
    body_bytes: usize,
    request: Duration,
    /// The wait that a wish which can't be queued is told, in seconds; none where that is not allowed.
    retry_after: Option<f64>,
    /// Name and cut-off of each lane, and whether it is live.
    lanes: Arc<Vec<(String, f64, bool)>>,
    gossip: Option<mpsc::Sender<oneshot::Sender<GossipView>>>,
}

/// What stands between the sockets and the deciding thread.
pub struct Before {
    pub clock: Clock,
    pub room: Arc<Room>,
    pub guard: Option<Arc<Guard>>,
    pub hall: Arc<Hall>,
}

/// A wait that no lane's cut-off comes near.
const UNBOUNDED_S: f64 = 1e6;
/// Connections that the system keeps until they are accepted: who finds no place tries again a second later.
const BACKLOG: u32 = 512;

/// Listens for players.
pub fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

/// Bounds of the HTTP stack that the settings state.
pub fn stack(settings: &Settings) -> Stack {
    let limits = &settings.limits;
    Stack {
        bounds: ConnectionLimits {
            max_connections: limits.connections,
            max_per_network: limits.per_network,
            prefix_bits_v4: limits.network_bits_v4,
            prefix_bits_v6: limits.network_bits_v6,
        },
        request: Duration::from_secs_f64(limits.request_s),
        idle: Duration::from_secs_f64(limits.idle_s),
        write: Duration::from_secs_f64(limits.write_s),
    }
}

/// Serves players until the listener fails for good or all is dropped.
pub fn serve(
    listener: TcpListener,
    settings: &Settings,
    before: Before,
    reports: mpsc::Sender<Happened>,
    stopped: watch::Receiver<bool>,
    gossip: Option<mpsc::Sender<oneshot::Sender<GossipView>>>,
) {
    let allowed = settings.retry_after.allowed && settings.retry_after.longest_s > 0.0;
    let lanes = settings.lanes.iter().map(|lane| (lane.name.clone(), lane.cut_off_s, lane.live)).collect();
    let Before { clock, room, guard, hall } = before;
    let serving = Serving {
        clock,
        room,
        guard: guard.clone(),
        hall: hall.clone(),
        reports,
        ids: Arc::new(AtomicU32::new(1)),
        me: settings.me,
        body_bytes: settings.limits.body_bytes,
        request: Duration::from_secs_f64(settings.limits.request_s),
        retry_after: allowed.then_some(settings.retry_after.longest_s),
        lanes: Arc::new(lanes),
        gossip,
    };
    let routes = Router::new()
        .route("/v1/subscriptions", post(subscribe))
        .route("/v1/subscriptions/{id}", delete(leave))
        .route("/v1/subscriptions/{id}/news", get(news))
        .route("/v1/state", get(figures))
        .route("/v1/gossip", get(gossip_view))
        .with_state(serving);
    let stack = stack(settings);
    tokio::spawn(async move {
        // Wishes that come while the controller stops are answered, too; so the listener stays until the end.
        let _stopped = stopped;
        accept(listener, routes, stack, hall, guard).await;
    });
}

/// A wish that is held for a moment; one that ends without being asked about again was given up by its player.
struct Held<'a>(Option<&'a Guard>);

impl Drop for Held<'_> {
    fn drop(&mut self) {
        if let Some(guard) = self.0 {
            guard.held_left();
        }
    }
}

/// Whether the guard takes a wish, now or after a hold; otherwise the wait that its player is told.
async fn passes(guard: &Guard, asked: f64, wish: &PlayRequest) -> Result<(), Span> {
    let held = match guard.judge(asked, wish, false) {
        Decision::Admit => return Ok(()),
        Decision::Reject { retry_after: wait } => return Err(wait),
        Decision::Hold { duration: span } => span,
    };
    let mut hold = Held(Some(guard));
    tokio::time::sleep(Duration::from_secs_f64(held.seconds())).await;
    hold.0 = None;
    match guard.judge(asked, wish, true) {
        Decision::Admit => Ok(()),
        Decision::Hold { duration: wait } | Decision::Reject { retry_after: wait } => Err(wait),
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
    let wish: PlayRequest = match serde_json::from_slice(&body) {
        Ok(wish) => wish,
        Err(e) => return not_taken(StatusCode::BAD_REQUEST, &format!("the wish is not valid: {e}"), None),
    };
    let cmcd = hints(&head.headers, head.uri.query(), &wish);
    if cmcd.skipped_keys > 0 {
        tracing::debug!(target: "http", skipped = cmcd.skipped_keys, "hints not valid");
    }
    let near = "the controller is near its limit";
    match head.extensions.get::<LetIn>() {
        Some(LetIn(hint)) if hint.class != wish.class || hint.tenant != wish.tenant => {
            let error = "the hint in the head names another lane or tenant than the wish; let them agree";
            return not_taken(StatusCode::BAD_REQUEST, error, None);
        }
        // Judged at the doorway already.
        Some(_) => {}
        None => {
            if let Some(guard) = &serving.guard {
                if let Err(wait) = passes(guard, asked, &wish).await {
                    let wait = serving.retry_after.map(|_| wait.seconds());
                    return not_taken(StatusCode::SERVICE_UNAVAILABLE, near, wait);
                }
            }
        }
    }
    let id = serving.ids.fetch_add(1, Ordering::Relaxed);
    let (reply, said) = oneshot::channel();
    let place = serving.lanes.iter().position(|(name, ..)| *name == wish.class);
    let live = place.is_some_and(|place| serving.lanes[place].2);
    let cut_off = place.map_or(f64::INFINITY, |place| serving.lanes[place].1);
    // Where nobody guards, a wish that is late is the module's to turn back.
    let until = match &serving.guard {
        Some(_) => {
            asked
                + wish.give_up_in_s.filter(|s| s.is_finite()).unwrap_or(cut_off).min(cut_off).min(UNBOUNDED_S)
        }
        None => asked + UNBOUNDED_S,
    };
    let lane = place.unwrap_or(0);
    match serving.room.enter(lane, Point::at(until), Asked { id, asked, wish, cmcd, reply }) {
        Enqueued::Waiting => {}
        Enqueued::Displaced(lost) => {
            let wait = serving.guard.as_ref().map_or(Span::ZERO, |guard| guard.wait());
            let _ = lost.reply.send(Err(SubmitError::Overloaded { retry_after: wait }));
        }
        Enqueued::Rejected(_) => {
            let spread = serving.guard.as_ref().map(|guard| guard.wait().seconds());
            let wait = serving.retry_after.map(|longest| spread.unwrap_or(longest));
            return not_taken(StatusCode::SERVICE_UNAVAILABLE, "too many wishes wait", wait);
        }
    }
    let undelivered = Undelivered::new(id, serving.reports.clone());
    let said = said.await;
    if let Ok(Ok(said)) = said {
        let mut response = answer(&serving, said, live);
        response.extensions_mut().insert(undelivered);
        return response;
    }
    undelivered.delivered();
    refusal(&serving, said)
}

/// The response to a wish that was not taken.
fn refusal(
    serving: &Serving,
    said: Result<Result<Said, SubmitError>, oneshot::error::RecvError>,
) -> Response {
    let near = "the controller is near its limit";
    match said {
        Ok(Ok(said)) => answer(serving, said, false),
        Ok(Err(SubmitError::UnknownTitle)) => {
            not_taken(StatusCode::NOT_FOUND, "there is no such title", None)
        }
        Ok(Err(SubmitError::UnknownClass)) => {
            not_taken(StatusCode::BAD_REQUEST, "there is no such lane", None)
        }
        Ok(Err(SubmitError::Closed)) => {
            not_taken(StatusCode::SERVICE_UNAVAILABLE, "no more is taken here", serving.retry_after)
        }
        Ok(Err(SubmitError::Overloaded { retry_after: wait })) => {
            let wait = serving.retry_after.map(|_| wait.seconds());
            not_taken(StatusCode::SERVICE_UNAVAILABLE, near, wait)
        }
        Err(_) => not_taken(StatusCode::SERVICE_UNAVAILABLE, "the controller stops", serving.retry_after),
    }
}

/// The hints of a request: headers, the query's `CMCD` argument or the wish's JSON, in this order.
fn hints(headers: &HeaderMap, query: Option<&str>, wish: &PlayRequest) -> Cmcd {
    let fields: Vec<&[u8]> = cmcd::HEADER_NAMES
        .iter()
        .flat_map(|name| headers.get_all(*name))
        .map(HeaderValue::as_bytes)
        .collect();
    if !fields.is_empty() {
        return Cmcd::from_headers(fields);
    }
    if let Some(argument) = query.and_then(cmcd::query_value) {
        return Cmcd::from_headers([&argument[..]]);
    }
    wish.cmcd.as_ref().map(Cmcd::from_json).unwrap_or_default()
}

fn answer(serving: &Serving, said: Said, live: bool) -> Response {
    let (status, wait) = match &said.answer {
        PlayResponse::Plays { .. } => (StatusCode::CREATED, None),
        PlayResponse::Rejected { retry_after_s, .. } => (StatusCode::SERVICE_UNAVAILABLE, *retry_after_s),
        PlayResponse::Failed { .. } => (StatusCode::BAD_GATEWAY, None),
        PlayResponse::NotAccepted { retry_after_s, .. } => (StatusCode::SERVICE_UNAVAILABLE, *retry_after_s),
    };
    let mut response = (status, Json(&said.answer)).into_response();
    let dynamic = cmsd::CmsdDynamic {
        server: format!("lemontide-{}", serving.me),
        suggested_kbps: said.suggested_kbps,
        duress: said.duress,
        ..cmsd::CmsdDynamic::default()
    };
    let headers = response.headers_mut();
    put(headers, cmsd::DYNAMIC_HEADER, dynamic.to_header_value());
    if let Some(kbps) = said.suggested_kbps {
        put(headers, cmsd::STATIC_HEADER, cmsd::static_header_value(kbps, live));
    }
    retry_after(headers, wait);
    response
}

fn not_taken(status: StatusCode, error: &str, wait: Option<f64>) -> Response {
    let said = PlayResponse::NotAccepted { error: error.to_owned(), retry_after_s: wait };
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
        (Ok(()), Ok(mut figures)) => {
            figures.connections = serving.hall.counts();
            if let Some(guard) = &serving.guard {
                let view = guard.view();
                figures.shed = guard.shed();
                figures.shed_at_the_door = guard.at_the_door.load(Ordering::Relaxed);
                figures.level = view.level;
                figures.shedding = Some(view);
            }
            Json::<Figures>(figures).into_response()
        }
        _ => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn gossip_view(State(serving): State<Serving>) -> Response {
    let Some(gossip) = serving.gossip else { return StatusCode::NOT_FOUND.into_response() };
    let (reply, view) = oneshot::channel();
    let sent = gossip.send(reply).await;
    match (sent, view.await) {
        (Ok(()), Ok(view)) => Json::<GossipView>(view).into_response(),
        _ => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}
