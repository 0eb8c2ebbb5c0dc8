//! HTTP/1.1 for players. Each request to play gets exactly one response; a player that disconnects is noticed
//! at once.

use crate::connections::{accept_loop, AdmittedHint, ConnectionRegistry, HttpLimits};
use crate::core::SubmitError;
use crate::delivery::ResponseDelivery;
use crate::events::{ControllerState, Event, NewRequest, PlayerResponse};
use crate::gossip::ViewRequests;
use crate::overload_control::OverloadControl;
use crate::request_queue::SharedRequestQueue;
use crate::settings::{ClassSettings, Settings};
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

/// State of the handlers.
#[derive(Clone)]
struct AppState {
    clock: Clock,
    queue: Arc<SharedRequestQueue>,
    overload: Option<Arc<OverloadControl>>,
    connections: Arc<ConnectionRegistry>,
    events: mpsc::Sender<Event>,
    next_id: Arc<AtomicU32>,
    controller: usize,
    max_body_bytes: usize,
    request_timeout: Duration,
    /// Time to retry after for a request that can't be queued, in seconds; none if that is not allowed.
    retry_after_s: Option<f64>,
    classes: Arc<Vec<ClassInfo>>,
    gossip_views: Option<ViewRequests>,
}

/// What the handlers need to know of a class.
struct ClassInfo {
    name: String,
    deadline_s: f64,
    is_live: bool,
}

/// What a request passes between the socket and the deciding thread.
pub struct RequestPath {
    pub clock: Clock,
    pub queue: Arc<SharedRequestQueue>,
    pub overload: Option<Arc<OverloadControl>>,
    pub connections: Arc<ConnectionRegistry>,
}

/// A waiting time far above every deadline.
const NO_DEADLINE_S: f64 = 1e6;
/// Connections that the system queues until they are accepted. A player beyond them tries again after a
/// second.
const ACCEPT_BACKLOG: u32 = 512;
const NEAR_LIMIT: &str = "the controller is near its limit";

/// Opens the listening socket for players.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// The limits of the HTTP stack from the settings.
pub fn http_limits(settings: &Settings) -> HttpLimits {
    let limits = &settings.limits;
    HttpLimits {
        connections: ConnectionLimits {
            max_connections: limits.max_connections,
            max_per_network: limits.max_connections_per_network,
            prefix_bits_v4: limits.network_bits_v4,
            prefix_bits_v6: limits.network_bits_v6,
        },
        request_timeout: Duration::from_secs_f64(limits.request_timeout_s),
        idle_timeout: Duration::from_secs_f64(limits.idle_timeout_s),
        write_timeout: Duration::from_secs_f64(limits.write_timeout_s),
    }
}

/// Spawns the task that serves players. It ends with the runtime.
pub fn serve(
    listener: TcpListener,
    settings: &Settings,
    path: RequestPath,
    events: mpsc::Sender<Event>,
    stopped: watch::Receiver<bool>,
    gossip_views: Option<ViewRequests>,
) {
    let is_retry_after_allowed = settings.retry_after.allowed && settings.retry_after.max_s > 0.0;
    let class_info = |class: &ClassSettings| ClassInfo {
        name: class.name.clone(),
        deadline_s: class.deadline_s,
        is_live: class.is_live,
    };
    let RequestPath { clock, queue, overload, connections } = path;
    let state = AppState {
        clock,
        queue,
        overload: overload.clone(),
        connections: connections.clone(),
        events,
        next_id: Arc::new(AtomicU32::new(1)),
        controller: settings.own_number,
        max_body_bytes: settings.limits.max_body_bytes,
        request_timeout: Duration::from_secs_f64(settings.limits.request_timeout_s),
        retry_after_s: is_retry_after_allowed.then_some(settings.retry_after.max_s),
        classes: Arc::new(settings.classes.iter().map(class_info).collect()),
        gossip_views,
    };
    let routes = Router::new()
        .route("/v1/subscriptions", post(start_session))
        .route("/v1/subscriptions/{id}", delete(end_session))
        .route("/v1/subscriptions/{id}/news", get(session_events))
        .route("/v1/state", get(controller_state))
        .route("/v1/gossip", get(gossip_view))
        .with_state(state);
    let limits = http_limits(settings);
    tokio::spawn(async move {
        // Requests that arrive while the controller stops are answered, too; so the listener stays open until
        // the end.
        let _stopped = stopped;
        accept_loop(listener, routes, limits, connections, overload).await;
    });
}

/// A request that is held for a moment. If it is dropped before it was decided on again, its player has
/// disconnected.
struct HeldRequest<'a>(Option<&'a OverloadControl>);

impl Drop for HeldRequest<'_> {
    fn drop(&mut self) {
        if let Some(overload) = self.0 {
            overload.held_request_cancelled();
        }
    }
}

/// Waits for the decision on a request, which can take a hold. A rejection has the time to retry after.
async fn admit(overload: &OverloadControl, received_at_s: f64, request: &PlayRequest) -> Result<(), Span> {
    let hold = match overload.decide(received_at_s, request, false) {
        Decision::Admit => return Ok(()),
        Decision::Reject { retry_after } => return Err(retry_after),
        Decision::Hold { duration } => duration,
    };
    let mut held_request = HeldRequest(Some(overload));
    tokio::time::sleep(Duration::from_secs_f64(hold.seconds())).await;
    held_request.0 = None;
    match overload.decide(received_at_s, request, true) {
        Decision::Admit => Ok(()),
        Decision::Hold { duration: retry_after } | Decision::Reject { retry_after } => Err(retry_after),
    }
}

async fn start_session(State(state): State<AppState>, request: Request) -> Response {
    let received_at_s = state.clock.now();
    let (head, body) = request.into_parts();
    let body = match timeout(state.request_timeout, to_bytes(body, state.max_body_bytes)).await {
        Ok(Ok(body)) => body,
        Ok(Err(_)) => {
            let error = format!("the body is cut short or over {} bytes", state.max_body_bytes);
            return not_accepted(StatusCode::PAYLOAD_TOO_LARGE, &error, None);
        }
        Err(_) => return not_accepted(StatusCode::REQUEST_TIMEOUT, "the body took too long", None),
    };
    let request: PlayRequest = match serde_json::from_slice(&body) {
        Ok(request) => request,
        Err(e) => return not_accepted(StatusCode::BAD_REQUEST, &format!("the wish is not valid: {e}"), None),
    };
    let cmcd = parse_cmcd(&head.headers, head.uri.query(), &request);
    if cmcd.skipped_keys > 0 {
        tracing::debug!(target: "http", skipped = cmcd.skipped_keys, "skipped CMCD keys that are not valid");
    }
    match head.extensions.get::<AdmittedHint>() {
        Some(AdmittedHint(hint)) if hint.class != request.class || hint.tenant != request.tenant => {
            let error = "the hint in the head names another lane or tenant than the wish; let them agree";
            return not_accepted(StatusCode::BAD_REQUEST, error, None);
        }
        // Admitted by its hint already.
        Some(_) => {}
        None => {
            if let Some(overload) = &state.overload {
                if let Err(retry_after) = admit(overload, received_at_s, &request).await {
                    let retry_after_s = state.retry_after_s.map(|_| retry_after.seconds());
                    return not_accepted(StatusCode::SERVICE_UNAVAILABLE, NEAR_LIMIT, retry_after_s);
                }
            }
        }
    }
    let id = state.next_id.fetch_add(1, Ordering::Relaxed);
    let (reply, response) = oneshot::channel();
    let class = state.classes.iter().position(|class| class.name == request.class);
    let is_live = class.is_some_and(|class| state.classes[class].is_live);
    let deadline_s = class.map_or(f64::INFINITY, |class| state.classes[class].deadline_s);
    // Without overload control the decision module rejects late requests.
    let expires_at_s = match &state.overload {
        Some(_) => {
            let give_up_in_s = request.give_up_in_s.filter(|s| s.is_finite()).unwrap_or(deadline_s);
            received_at_s + give_up_in_s.min(deadline_s).min(NO_DEADLINE_S)
        }
        None => received_at_s + NO_DEADLINE_S,
    };
    let class = class.unwrap_or(0);
    let request = NewRequest { id, received_at_s, request, cmcd, reply };
    match state.queue.push(class, Point::at(expires_at_s), request) {
        Enqueued::Waiting => {}
        Enqueued::Displaced(displaced) => {
            let wait = state.overload.as_ref().map_or(Span::ZERO, |overload| overload.retry_after());
            let _ = displaced.reply.send(Err(SubmitError::Overloaded { retry_after: wait }));
        }
        Enqueued::Rejected(_) => {
            let retry_after_s = state.overload.as_ref().map(|overload| overload.retry_after().seconds());
            let retry_after_s = state.retry_after_s.map(|max_s| retry_after_s.unwrap_or(max_s));
            return not_accepted(StatusCode::SERVICE_UNAVAILABLE, "too many wishes wait", retry_after_s);
        }
    }
    let delivery = ResponseDelivery::new(id, state.events.clone());
    let response = response.await;
    if let Ok(Ok(response)) = response {
        let mut response = play_response(&state, response, is_live);
        response.extensions_mut().insert(delivery);
        return response;
    }
    delivery.mark_delivered();
    refusal_response(&state, response)
}

/// The response to a request that the driver refused, or did not answer before the controller stopped.
fn refusal_response(
    state: &AppState,
    response: Result<Result<PlayerResponse, SubmitError>, oneshot::error::RecvError>,
) -> Response {
    match response {
        Ok(Ok(response)) => play_response(state, response, false),
        Ok(Err(SubmitError::UnknownTitle)) => {
            not_accepted(StatusCode::NOT_FOUND, "there is no such title", None)
        }
        Ok(Err(SubmitError::UnknownClass)) => {
            not_accepted(StatusCode::BAD_REQUEST, "there is no such lane", None)
        }
        Ok(Err(SubmitError::Closed)) => {
            not_accepted(StatusCode::SERVICE_UNAVAILABLE, "no more is taken here", state.retry_after_s)
        }
        Ok(Err(SubmitError::Overloaded { retry_after: wait })) => {
            let retry_after_s = state.retry_after_s.map(|_| wait.seconds());
            not_accepted(StatusCode::SERVICE_UNAVAILABLE, NEAR_LIMIT, retry_after_s)
        }
        Err(_) => not_accepted(StatusCode::SERVICE_UNAVAILABLE, "the controller stops", state.retry_after_s),
    }
}

/// The CMCD of a request, from its headers, or else from the `CMCD` argument of the query, or else from the
/// body.
fn parse_cmcd(headers: &HeaderMap, query: Option<&str>, request: &PlayRequest) -> Cmcd {
    let values: Vec<&[u8]> = cmcd::HEADER_NAMES
        .iter()
        .flat_map(|name| headers.get_all(*name))
        .map(HeaderValue::as_bytes)
        .collect();
    if !values.is_empty() {
        return Cmcd::from_headers(values);
    }
    if let Some(argument) = query.and_then(cmcd::query_value) {
        return Cmcd::from_headers([&argument[..]]);
    }
    request.cmcd.as_ref().map(Cmcd::from_json).unwrap_or_default()
}

fn play_response(state: &AppState, response: PlayerResponse, is_live: bool) -> Response {
    let PlayerResponse { response: body, suggested_kbps, duress } = response;
    let (status, retry_after_s) = match &body {
        PlayResponse::Plays { .. } => (StatusCode::CREATED, None),
        PlayResponse::Rejected { retry_after_s, .. } => (StatusCode::SERVICE_UNAVAILABLE, *retry_after_s),
        PlayResponse::Failed { .. } => (StatusCode::BAD_GATEWAY, None),
        PlayResponse::NotAccepted { retry_after_s, .. } => (StatusCode::SERVICE_UNAVAILABLE, *retry_after_s),
    };
    let mut response = (status, Json(&body)).into_response();
    let dynamic = cmsd::CmsdDynamic {
        server: format!("lemontide-{}", state.controller),
        suggested_kbps,
        duress,
        ..cmsd::CmsdDynamic::default()
    };
    let headers = response.headers_mut();
    insert_header(headers, cmsd::DYNAMIC_HEADER, dynamic.to_header_value());
    if let Some(kbps) = suggested_kbps {
        insert_header(headers, cmsd::STATIC_HEADER, cmsd::static_header_value(kbps, is_live));
    }
    insert_retry_after(headers, retry_after_s);
    response
}

fn not_accepted(status: StatusCode, error: &str, retry_after_s: Option<f64>) -> Response {
    let body = PlayResponse::NotAccepted { error: error.to_owned(), retry_after_s };
    let mut response = (status, Json(body)).into_response();
    insert_retry_after(response.headers_mut(), retry_after_s);
    response
}

/// `Retry-After` has whole seconds. The time is rounded up, so that no player retries too early.
fn insert_retry_after(headers: &mut HeaderMap, retry_after_s: Option<f64>) {
    if let Some(retry_after_s) = retry_after_s {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(retry_after_s.ceil().max(1.0) as u64));
    }
}

fn insert_header(headers: &mut HeaderMap, name: &'static str, value: String) {
    if let Ok(value) = HeaderValue::from_str(&value) {
        headers.insert(name, value);
    }
}

async fn end_session(State(state): State<AppState>, Path(id): Path<u32>) -> Response {
    let (reply, ended) = oneshot::channel();
    let sent = state.events.send(Event::EndSession { id, reply }).await;
    match (sent, ended.await) {
        (Ok(()), Ok(true)) => StatusCode::NO_CONTENT.into_response(),
        (Ok(()), Ok(false)) => StatusCode::NOT_FOUND.into_response(),
        _ => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn session_events(State(state): State<AppState>, Path(id): Path<u32>) -> Response {
    let (reply, listener) = oneshot::channel();
    if state.events.send(Event::Listen { id, reply }).await.is_err() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let Ok(Some(events)) = listener.await else { return StatusCode::NOT_FOUND.into_response() };
    let lines = stream::unfold(events, |mut events| async move {
        let mut line = serde_json::to_vec(&events.recv().await?).ok()?;
        line.push(b'\n');
        Some((Ok::<_, std::convert::Infallible>(line), events))
    });
    ([(header::CONTENT_TYPE, "application/x-ndjson")], Body::from_stream(lines)).into_response()
}

async fn controller_state(State(state): State<AppState>) -> Response {
    let (reply, controller_state) = oneshot::channel();
    let sent = state.events.send(Event::GetState(reply)).await;
    match (sent, controller_state.await) {
        (Ok(()), Ok(mut controller_state)) => {
            controller_state.connections = state.connections.counts();
            if let Some(overload) = &state.overload {
                let load = overload.snapshot();
                controller_state.shed = overload.rejected_total();
                controller_state.shed_by_hint = overload.rejected_by_hint.load(Ordering::Relaxed);
                controller_state.load_level = load.level;
                controller_state.shedding = Some(load);
            }
            Json::<ControllerState>(controller_state).into_response()
        }
        _ => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn gossip_view(State(state): State<AppState>) -> Response {
    let Some(gossip_views) = state.gossip_views else { return StatusCode::NOT_FOUND.into_response() };
    let (reply, view) = oneshot::channel();
    let sent = gossip_views.send(reply).await;
    match (sent, view.await) {
        (Ok(()), Ok(view)) => Json::<GossipView>(view).into_response(),
        _ => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}
