//! Connections of players: the registry with its limits, the accept loop, timeouts of idle and stuck
//! connections, and rejection of requests before the HTTP stack parses them. The decisions are made in
//! `lemontide-shed` and in `core`.

use crate::core::{EarlyAdmission, EarlyDecision};
use crate::delivery::ResponseDelivery;
use crate::overload_control::OverloadControl;
use axum::body::Body;
use axum::extract::Request;
use axum::Router;
use hyper::body::{Body as _, Incoming};
use hyper::service::{service_fn, Service};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use lemontide::clock::{Point, Span};
use lemontide_shed::connection_limits::{
    AcceptDecision, ConnectionCounts, ConnectionLimiter, ConnectionLimits,
};
use lemontide_wire::clock::Clock;
use lemontide_wire::hint::RequestHint;
use lemontide_wire::play::PlayResponse;
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{Instant, Sleep};

/// Maximum size of the head of a request.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Size of the read buffer that is used until the connection has an HTTP stack.
const FIRST_READ_BYTES: usize = 2048;
/// Interim response that probes a player which has closed its sending half. Such a player can still be
/// waiting for the response, and ignores the interim one. If it has closed the whole connection its system
/// answers with a reset, which is checked for at this interval.
const INTERIM_RESPONSE: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";
const HALF_CLOSED_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Minimum time between two updates of a connection's idle time in the registry while its requests are
/// rejected.
const IDLE_UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Limits of the HTTP stack.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    pub connections: ConnectionLimits,
    /// The time in which a request must arrive, the time that a connection can be idle, and the time that a
    /// write can be stuck.
    pub request_timeout: Duration,
    pub idle_timeout: Duration,
    pub write_timeout: Duration,
}

/// The registry of open connections: it enforces their limits and can close them.
pub struct ConnectionRegistry {
    clock: Clock,
    limiter: Mutex<ConnectionLimiter>,
    tasks: Mutex<HashMap<u64, AbortHandle>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ConnectionRegistry {
    /// An empty registry.
    pub fn new(clock: Clock, limits: ConnectionLimits) -> ConnectionRegistry {
        let limiter = Mutex::new(ConnectionLimiter::new(limits));
        ConnectionRegistry { clock, limiter, tasks: Mutex::default() }
    }

    fn now(&self) -> Point {
        Point::at(self.clock.now())
    }

    fn close(&self, id: u64) {
        if let Some(task) = lock(&self.tasks).remove(&id) {
            task.abort();
        }
    }

    /// Closes up to `max_count` connections that have been idle for at least `min_idle`.
    pub fn close_idle(&self, min_idle: Span, max_count: usize) {
        let closed = lock(&self.limiter).close_idle(self.now(), min_idle, max_count);
        closed.into_iter().for_each(|id| self.close(id));
    }

    /// Counts of open, closed and refused connections.
    pub fn counts(&self) -> ConnectionCounts {
        lock(&self.limiter).counts()
    }
}

/// The hint that a request was admitted by, as an extension of the request. Its body must agree with the
/// hint.
#[derive(Clone, Debug)]
pub struct AdmittedHint(pub RequestHint);

// States of a connection, which its service and its socket share.

/// The bytes of a request are expected or arriving.
const RECEIVING: u8 = 0;
/// Between requests.
const IDLE: u8 = 1;
/// A request is being handled.
const HANDLING: u8 = 2;
/// A response of known length is being written.
const RESPONDING: u8 = 3;
/// A response of unknown length is being written.
const STREAMING: u8 = 4;

/// Shared state of one connection. Removes the connection from the registry when it is dropped.
struct ConnectionGuard {
    id: u64,
    registry: Arc<ConnectionRegistry>,
    state: AtomicU8,
    admitted_hint: Mutex<Option<RequestHint>>,
    /// Delivery of the response that is being written.
    delivery: Mutex<Option<ResponseDelivery>>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        lock(&self.registry.limiter).remove(self.id);
        lock(&self.registry.tasks).remove(&self.id);
    }
}

/// The accept loop: accepts connections within their limits and serves the routes on them, for as long as it
/// is polled.
pub async fn accept_loop(
    listener: TcpListener,
    routes: Router,
    limits: HttpLimits,
    registry: Arc<ConnectionRegistry>,
    overload: Option<Arc<OverloadControl>>,
) {
    loop {
        let Ok((socket, peer)) = listener.accept().await else {
            // Probably out of file descriptors: close some idle connections and wait for free descriptors.
            registry.close_idle(Span::ZERO, 16);
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let decision = lock(&registry.limiter).try_accept(registry.now(), peer.ip());
        let id = match decision {
            AcceptDecision::Accept(id) => id,
            AcceptDecision::AcceptAndClose(id, closed) => {
                registry.close(closed);
                id
            }
            AcceptDecision::LimitReached | AcceptDecision::NetworkLimitReached => {
                // Writes once without waiting, so that a refused connection can't delay the accept loop.
                let _ = socket.try_write(&unavailable_response("too many connections", None));
                continue;
            }
        };
        let _ = socket.set_nodelay(true);
        let connection = Arc::new(ConnectionGuard {
            id,
            registry: registry.clone(),
            state: AtomicU8::new(RECEIVING),
            admitted_hint: Mutex::default(),
            delivery: Mutex::default(),
        });
        // The lock is held while the task starts, so that a task that ends at once still finds its entry to
        // remove.
        let mut tasks = lock(&registry.tasks);
        let task = tokio::spawn(serve(socket, routes.clone(), limits, connection, overload.clone()));
        tasks.insert(id, task.abort_handle());
    }
}

async fn serve(
    socket: TcpStream,
    routes: Router,
    limits: HttpLimits,
    connection: Arc<ConnectionGuard>,
    overload: Option<Arc<OverloadControl>>,
) {
    let inner = TowerToHyperService::new(routes);
    let shared = connection.clone();
    let service = service_fn(move |mut request: hyper::Request<Incoming>| {
        shared.state.store(HANDLING, Ordering::Relaxed);
        if let Some(hint) = lock(&shared.admitted_hint).take() {
            request.extensions_mut().insert(AdmittedHint(hint));
        }
        let call = inner.call(request.map(Body::new) as Request);
        let shared = shared.clone();
        async move {
            let mut response = call.await?;
            *lock(&shared.delivery) = response.extensions_mut().remove::<ResponseDelivery>();
            // The end of a body of unknown length can't be detected in the socket, so such a connection stays
            // in this state until its next request.
            let has_known_length = response.body().size_hint().exact().is_some();
            shared.state.store(if has_known_length { RESPONDING } else { STREAMING }, Ordering::Relaxed);
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let mut socket = PlayerSocket {
        socket,
        first_bytes: Vec::new(),
        early_admission: EarlyAdmission::default(),
        overload,
        unsent: Vec::new(),
        state_since: Instant::now(),
        idle_updated_at: Instant::now(),
        read_timer: Box::pin(tokio::time::sleep(limits.request_timeout)),
        write_timer: None,
        half_closed_timer: None,
        limits,
        connection,
    };
    // The HTTP stack is created for the first request that is admitted; connections whose requests are all
    // rejected never need one.
    let mut bytes = [0; FIRST_READ_BYTES];
    let length = std::future::poll_fn(|cx| {
        let mut buf = ReadBuf::new(&mut bytes);
        let ready = Pin::new(&mut socket).poll_read(cx, &mut buf);
        ready.map(|result| result.map(|()| buf.filled().len()))
    });
    let Ok(length @ 1..) = length.await else { return };
    socket.first_bytes.extend_from_slice(&bytes[..length]);
    // The timeouts of heads and of idle connections are in `PlayerSocket`, which also sees the requests that
    // are rejected before the HTTP stack.
    let served = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(socket), service);
    if let Err(e) = served.await {
        tracing::debug!(target: "http", error = %e, "connection ended");
    }
}

/// The bytes of a 503 response that is written without the HTTP stack.
fn unavailable_response(error: &str, retry_after: Option<Span>) -> Vec<u8> {
    let response =
        PlayResponse::NotAccepted { error: error.to_owned(), retry_after_s: retry_after.map(Span::seconds) };
    let body = serde_json::to_string(&response).unwrap_or_default();
    let retry_header = retry_after
        .map_or(String::new(), |wait| format!("retry-after: {}\r\n", wait.seconds().ceil().max(1.0) as u64));
    format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n{retry_header}content-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// A player's socket as the HTTP stack sees it: without the requests that are rejected before the stack.
struct PlayerSocket {
    socket: TcpStream,
    /// Bytes that were read before the HTTP stack was created.
    first_bytes: Vec<u8>,
    early_admission: EarlyAdmission,
    overload: Option<Arc<OverloadControl>>,
    /// The rest of a rejection that the socket has not accepted yet.
    unsent: Vec<u8>,
    /// When the connection became idle or began to receive, and when its idle time was last updated in the
    /// registry.
    state_since: Instant,
    idle_updated_at: Instant,
    read_timer: Pin<Box<Sleep>>,
    write_timer: Option<Pin<Box<Sleep>>>,
    /// Once the player has closed its sending half: when to check next whether it has closed the whole
    /// connection.
    half_closed_timer: Option<Pin<Box<Sleep>>>,
    limits: HttpLimits,
    connection: Arc<ConnectionGuard>,
}

impl PlayerSocket {
    fn state(&self) -> u8 {
        self.connection.state.load(Ordering::Relaxed)
    }

    /// Ready with an error when the connection has been idle for too long or its request takes too long to
    /// arrive.
    fn poll_read_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        let allowed = match self.state() {
            RECEIVING => self.limits.request_timeout,
            IDLE => self.limits.idle_timeout,
            _ => return Poll::Pending,
        };
        let due = self.state_since + allowed;
        // The timer is only reset if it would fire too late, or after it has fired too early.
        if self.read_timer.deadline() > due {
            self.read_timer.as_mut().reset(due);
        }
        while self.read_timer.as_mut().poll(cx).is_ready() {
            if Instant::now() >= due {
                return Poll::Ready(io::ErrorKind::TimedOut.into());
            }
            self.read_timer.as_mut().reset(due);
        }
        Poll::Pending
    }

    /// Whether a request was received whose response is not completely written.
    fn owes_response(&self) -> bool {
        matches!(self.state(), HANDLING | RESPONDING)
    }

    /// Handles a player that has closed its sending half: ready with the end of the stream once no response
    /// is due, or with an error if the player has closed the whole connection.
    fn poll_half_closed(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.owes_response() {
            return Poll::Ready(Ok(()));
        }
        if self.half_closed_timer.is_none() && self.state() == HANDLING {
            // No part of the response is written yet, so the interim response goes between two messages.
            let _ = self.socket.try_write(INTERIM_RESPONSE);
        }
        let new_timer = || Box::pin(tokio::time::sleep(HALF_CLOSED_CHECK_INTERVAL));
        let mut timer = self.half_closed_timer.take().unwrap_or_else(new_timer);
        while timer.as_mut().poll(cx).is_ready() {
            if let Some(error) = self.socket.take_error()? {
                return Poll::Ready(Err(error));
            }
            timer.as_mut().reset(Instant::now() + HALF_CLOSED_CHECK_INTERVAL);
        }
        self.half_closed_timer = Some(timer);
        Poll::Pending
    }

    /// Applies the write timeout to the result of a write, so that a player that reads nothing can't keep its
    /// connection forever.
    fn with_write_timeout<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.write_timer = None;
            return result;
        }
        let allowed = self.limits.write_timeout;
        let timer = self.write_timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(allowed)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Writes the rest of a rejection.
    fn poll_write_unsent(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.unsent.is_empty() {
            let result = Pin::new(&mut self.socket).poll_write(cx, &self.unsent);
            let written = ready!(self.with_write_timeout(cx, result))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.unsent.drain(..written);
        }
        Poll::Ready(Ok(()))
    }

    fn reject(&mut self, retry_after: Span) {
        // Some operators don't allow that players are given a time to retry after.
        let retry_after =
            self.overload.as_ref().filter(|overload| overload.allows_retry_after).map(|_| retry_after);
        let bytes = unavailable_response("the controller is near its limit", retry_after);
        let written = self.socket.try_write(&bytes).unwrap_or(0);
        self.unsent.extend_from_slice(&bytes[written..]);
        self.state_since = Instant::now();
        self.connection.state.store(IDLE, Ordering::Relaxed);
        if self.state_since - self.idle_updated_at >= IDLE_UPDATE_INTERVAL {
            self.idle_updated_at = self.state_since;
            let registry = &self.connection.registry;
            lock(&registry.limiter).mark_idle(registry.now(), self.connection.id);
        }
    }
}

impl AsyncRead for PlayerSocket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if !this.first_bytes.is_empty() {
            let length = this.first_bytes.len().min(buf.remaining());
            buf.put_slice(&this.first_bytes[..length]);
            this.first_bytes.drain(..length);
            return Poll::Ready(Ok(()));
        }
        loop {
            ready!(this.poll_write_unsent(cx))?;
            if this.half_closed_timer.is_some() {
                return this.poll_half_closed(cx);
            }
            let before = buf.filled().len();
            match Pin::new(&mut this.socket).poll_read(cx, buf) {
                Poll::Pending => return this.poll_read_timeout(cx).map(Err),
                Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
                Poll::Ready(Ok(())) => {}
            }
            let bytes = &buf.filled()[before..];
            if bytes.is_empty() {
                return this.poll_half_closed(cx);
            }
            if let Some(overload) = &this.overload {
                match this.early_admission.bytes_received(bytes, |hint| overload.reject_by_hint(hint)) {
                    EarlyDecision::Forward => {}
                    EarlyDecision::Admit(hint) => *lock(&this.connection.admitted_hint) = Some(hint),
                    EarlyDecision::Reject(retry_after) => {
                        buf.set_filled(before);
                        this.reject(retry_after);
                        continue;
                    }
                }
            }
            if this.state() == IDLE {
                this.state_since = Instant::now();
                this.connection.state.store(RECEIVING, Ordering::Relaxed);
            }
            if this.state() == RECEIVING {
                lock(&this.connection.registry.limiter).mark_busy(this.connection.id);
            }
            return Poll::Ready(Ok(()));
        }
    }
}

impl AsyncWrite for PlayerSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        ready!(this.poll_write_unsent(cx))?;
        let result = Pin::new(&mut this.socket).poll_write(cx, bytes);
        this.with_write_timeout(cx, result)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        ready!(this.poll_write_unsent(cx))?;
        let result = Pin::new(&mut this.socket).poll_write_vectored(cx, slices);
        this.with_write_timeout(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(this.poll_write_unsent(cx))?;
        // The HTTP stack flushes once it has written everything, so a response of known length is complete
        // here.
        if this.state() == RESPONDING {
            lock(&this.connection.delivery).take().into_iter().for_each(|delivery| delivery.mark_delivered());
            this.early_admission.response_sent();
            this.state_since = Instant::now();
            this.connection.state.store(IDLE, Ordering::Relaxed);
            let registry = &this.connection.registry;
            lock(&registry.limiter).mark_idle(registry.now(), this.connection.id);
            // The HTTP stack may not read again before bytes arrive, so the idle timeout is registered here.
            let _ = this.poll_read_timeout(cx);
        }
        Pin::new(&mut this.socket).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(this.poll_write_unsent(cx))?;
        Pin::new(&mut this.socket).poll_shutdown(cx)
    }
}
