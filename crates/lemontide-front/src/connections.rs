//! Connections of players: who may come in, how long a silent or a stuck one stays, and the doorway at which a wish
//! is turned back before the HTTP stack reads it. What is decided stands in `lemontide-shed` and in `core`.

use crate::core::{EarlyAdmission, EarlyDecision};
use crate::delivery::Undelivered;
use crate::guard::Guard;
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

/// Bytes of one request's head at most.
const HEAD_MOST: usize = 16 * 1024;
/// Bytes that are read at once before there is an HTTP stack.
const FIRST_MOST: usize = 2048;
/// A player that has closed its half may still wait for an answer. What it is sent then means nothing to it, and is answered
/// with a reset where it has closed its connection whole, which is looked for so often.
const INTERIM: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";
const LOOK_WHILE_HALF_CLOSED: Duration = Duration::from_millis(5);
/// An idle connection's age is told to the hall at most this often while its wishes are turned back.
const TOLD_EVERY: Duration = Duration::from_millis(200);

/// Bounds of the HTTP stack.
#[derive(Clone, Copy, Debug)]
pub struct Stack {
    pub bounds: ConnectionLimits,
    /// The time in which a request must be there, that a connection may be idle, and that it may take no bytes.
    pub request: Duration,
    pub idle: Duration,
    pub write: Duration,
}

/// All connections.
pub struct Hall {
    clock: Clock,
    door: Mutex<ConnectionLimiter>,
    tasks: Mutex<HashMap<u64, AbortHandle>>,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Hall {
    pub fn new(clock: Clock, bounds: ConnectionLimits) -> Hall {
        Hall { clock, door: Mutex::new(ConnectionLimiter::new(bounds)), tasks: Mutex::default() }
    }

    fn now(&self) -> Point {
        Point::at(self.clock.now())
    }

    fn close(&self, id: u64) {
        if let Some(task) = lock(&self.tasks).remove(&id) {
            task.abort();
        }
    }

    /// Closes connections that have been idle for so long, so many at most.
    pub fn close_idle(&self, least: Span, most: usize) {
        let closed = lock(&self.door).close_idle(self.now(), least, most);
        closed.into_iter().for_each(|id| self.close(id));
    }

    pub fn counts(&self) -> ConnectionCounts {
        lock(&self.door).counts()
    }
}

/// A hint that a wish was let in by; the wish must agree with it.
#[derive(Clone, Debug)]
pub struct LetIn(pub RequestHint);

/// Where a connection stands, as both its service and its socket see it.
const COMES: u8 = 0;
const RESTS: u8 = 1;
const SERVES: u8 = 2;
const ANSWERED: u8 = 3;
const STREAMS: u8 = 4;

struct Visit {
    id: u64,
    hall: Arc<Hall>,
    state: AtomicU8,
    let_in: Mutex<Option<RequestHint>>,
    /// The answer that the socket is to take next.
    undelivered: Mutex<Option<Undelivered>>,
}

impl Drop for Visit {
    fn drop(&mut self) {
        lock(&self.hall.door).remove(self.id);
        lock(&self.hall.tasks).remove(&self.id);
    }
}

/// Accepts connections and serves these routes on them, for as long as it is polled.
pub async fn accept(
    listener: TcpListener,
    routes: Router,
    stack: Stack,
    hall: Arc<Hall>,
    guard: Option<Arc<Guard>>,
) {
    loop {
        let Ok((socket, from)) = listener.accept().await else {
            // Out of descriptors, most likely: wait for some to come free.
            hall.close_idle(Span::ZERO, 16);
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let knock = lock(&hall.door).try_accept(hall.now(), from.ip());
        let id = match knock {
            AcceptDecision::Accept(id) => id,
            AcceptDecision::AcceptAndClose(id, closed) => {
                hall.close(closed);
                id
            }
            AcceptDecision::LimitReached | AcceptDecision::NetworkLimitReached => {
                // One try: who is turned away at the door costs no wait.
                let _ = socket.try_write(&answer("too many connections", None));
                continue;
            }
        };
        let _ = socket.set_nodelay(true);
        let visit = Arc::new(Visit {
            id,
            hall: hall.clone(),
            state: AtomicU8::new(COMES),
            let_in: Mutex::default(),
            undelivered: Mutex::default(),
        });
        // The lock is held over the start, so that a task that ends at once still finds its entry to remove.
        let mut tasks = lock(&hall.tasks);
        let task = tokio::spawn(serve(socket, routes.clone(), stack, visit, guard.clone()));
        tasks.insert(id, task.abort_handle());
    }
}

async fn serve(
    socket: TcpStream,
    routes: Router,
    stack: Stack,
    visit: Arc<Visit>,
    guard: Option<Arc<Guard>>,
) {
    let inner = TowerToHyperService::new(routes);
    let seen = visit.clone();
    let service = service_fn(move |mut request: hyper::Request<Incoming>| {
        seen.state.store(SERVES, Ordering::Relaxed);
        if let Some(hint) = lock(&seen.let_in).take() {
            request.extensions_mut().insert(LetIn(hint));
        }
        let call = inner.call(request.map(Body::new) as Request);
        let seen = seen.clone();
        async move {
            let mut response = call.await?;
            *lock(&seen.undelivered) = response.extensions_mut().remove::<Undelivered>();
            // The end of a body of unknown length can't be told from here: such a connection stays as it is.
            let sized = response.body().size_hint().exact().is_some();
            seen.state.store(if sized { ANSWERED } else { STREAMS }, Ordering::Relaxed);
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let mut socket = Guarded {
        socket,
        first: Vec::new(),
        doorway: EarlyAdmission::default(),
        guard,
        out: Vec::new(),
        since: Instant::now(),
        told: Instant::now(),
        reads: Box::pin(tokio::time::sleep(stack.request)),
        writes: None,
        half_closed: None,
        stack,
        visit,
    };
    // The HTTP stack is made for the first request that passes: who is only turned back never costs one.
    let mut bytes = [0; FIRST_MOST];
    let read = std::future::poll_fn(|cx| {
        let mut buf = ReadBuf::new(&mut bytes);
        let ready = Pin::new(&mut socket).poll_read(cx, &mut buf);
        ready.map(|result| result.map(|()| buf.filled().len()))
    });
    let Ok(read @ 1..) = read.await else { return };
    socket.first.extend_from_slice(&bytes[..read]);
    // Times of heads and of idling are kept below, where bytes that were answered at the doorway count, too.
    let served = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(HEAD_MOST)
        .serve_connection(TokioIo::new(socket), service);
    if let Err(e) = served.await {
        tracing::debug!(target: "http", error = %e, "connection ended");
    }
}

/// An answer as it leaves at the doorway.
fn answer(error: &str, wait: Option<Span>) -> Vec<u8> {
    let said = PlayResponse::NotAccepted { error: error.to_owned(), retry_after_s: wait.map(Span::seconds) };
    let body = serde_json::to_string(&said).unwrap_or_default();
    let retry = wait
        .map_or(String::new(), |wait| format!("retry-after: {}\r\n", wait.seconds().ceil().max(1.0) as u64));
    format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n{retry}content-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// A player's socket as the HTTP stack sees it: without the wishes that are turned back before it.
struct Guarded {
    socket: TcpStream,
    /// What was read before there was an HTTP stack to take it.
    first: Vec<u8>,
    doorway: EarlyAdmission,
    guard: Option<Arc<Guard>>,
    /// What of an answer of the doorway's own the socket did not take yet.
    out: Vec<u8>,
    /// Since when it rests or a request comes, and when the hall was last told.
    since: Instant,
    told: Instant,
    reads: Pin<Box<Sleep>>,
    writes: Option<Pin<Box<Sleep>>>,
    /// Once the player has closed its half: when to look whether it has closed the other, too.
    half_closed: Option<Pin<Box<Sleep>>>,
    stack: Stack,
    visit: Arc<Visit>,
}

impl Guarded {
    fn state(&self) -> u8 {
        self.visit.state.load(Ordering::Relaxed)
    }

    /// Ends a connection that asks nothing for too long, or whose request takes too long to come.
    fn keeps_time(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        let allowed = match self.state() {
            COMES => self.stack.request,
            RESTS => self.stack.idle,
            _ => return Poll::Pending,
        };
        let due = self.since + allowed;
        // The timer is set anew only where it would ring too late, or rang too early.
        if self.reads.deadline() > due {
            self.reads.as_mut().reset(due);
        }
        while self.reads.as_mut().poll(cx).is_ready() {
            if Instant::now() >= due {
                return Poll::Ready(io::ErrorKind::TimedOut.into());
            }
            self.reads.as_mut().reset(due);
        }
        Poll::Pending
    }

    /// Whether a request that was read has no answer out yet.
    fn owes_an_answer(&self) -> bool {
        matches!(self.state(), SERVES | ANSWERED)
    }

    /// The player has closed its half: the end of what it says, once nothing is owed to it, or an error where it is
    /// proven gone.
    fn poll_half_closed(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.owes_an_answer() {
            return Poll::Ready(Ok(()));
        }
        if self.half_closed.is_none() && self.state() == SERVES {
            // Nothing of the answer is out yet, so it stands between two messages.
            let _ = self.socket.try_write(INTERIM);
        }
        let wait = || Box::pin(tokio::time::sleep(LOOK_WHILE_HALF_CLOSED));
        let mut timer = self.half_closed.take().unwrap_or_else(wait);
        while timer.as_mut().poll(cx).is_ready() {
            if let Some(error) = self.socket.take_error()? {
                return Poll::Ready(Err(error));
            }
            timer.as_mut().reset(Instant::now() + LOOK_WHILE_HALF_CLOSED);
        }
        self.half_closed = Some(timer);
        Poll::Pending
    }

    /// A write that is stuck ends the connection in the end: a player that reads nothing holds nothing up.
    fn stuck<T>(&mut self, cx: &mut Context<'_>, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.writes = None;
            return result;
        }
        let allowed = self.stack.write;
        let timer = self.writes.get_or_insert_with(|| Box::pin(tokio::time::sleep(allowed)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Writes out what is left of an answer of the doorway's own.
    fn drain(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.out.is_empty() {
            let wrote = Pin::new(&mut self.socket).poll_write(cx, &self.out);
            let wrote = ready!(self.stuck(cx, wrote))?;
            if wrote == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.out.drain(..wrote);
        }
        Poll::Ready(Ok(()))
    }

    fn turn_back(&mut self, wait: Span) {
        // Not every operator lets players be told when to come again.
        let wait = self.guard.as_ref().filter(|guard| guard.tells_waits).map(|_| wait);
        let bytes = answer("the controller is near its limit", wait);
        let wrote = self.socket.try_write(&bytes).unwrap_or(0);
        self.out.extend_from_slice(&bytes[wrote..]);
        self.since = Instant::now();
        self.visit.state.store(RESTS, Ordering::Relaxed);
        if self.since - self.told >= TOLD_EVERY {
            self.told = self.since;
            let hall = &self.visit.hall;
            lock(&hall.door).mark_idle(hall.now(), self.visit.id);
        }
    }
}

impl AsyncRead for Guarded {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if !this.first.is_empty() {
            let length = this.first.len().min(buf.remaining());
            buf.put_slice(&this.first[..length]);
            this.first.drain(..length);
            return Poll::Ready(Ok(()));
        }
        loop {
            ready!(this.drain(cx))?;
            if this.half_closed.is_some() {
                return this.poll_half_closed(cx);
            }
            let before = buf.filled().len();
            match Pin::new(&mut this.socket).poll_read(cx, buf) {
                Poll::Pending => return this.keeps_time(cx).map(Err),
                Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
                Poll::Ready(Ok(())) => {}
            }
            let bytes = &buf.filled()[before..];
            if bytes.is_empty() {
                return this.poll_half_closed(cx);
            }
            if let Some(guard) = &this.guard {
                match this.doorway.bytes_received(bytes, |hint| guard.hinted(hint)) {
                    EarlyDecision::Forward => {}
                    EarlyDecision::Admit(hint) => *lock(&this.visit.let_in) = Some(hint),
                    EarlyDecision::Reject(wait) => {
                        buf.set_filled(before);
                        this.turn_back(wait);
                        continue;
                    }
                }
            }
            if this.state() == RESTS {
                this.since = Instant::now();
                this.visit.state.store(COMES, Ordering::Relaxed);
            }
            if this.state() == COMES {
                lock(&this.visit.hall.door).mark_busy(this.visit.id);
            }
            return Poll::Ready(Ok(()));
        }
    }
}

impl AsyncWrite for Guarded {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        ready!(this.drain(cx))?;
        let wrote = Pin::new(&mut this.socket).poll_write(cx, bytes);
        this.stuck(cx, wrote)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        ready!(this.drain(cx))?;
        let wrote = Pin::new(&mut this.socket).poll_write_vectored(cx, slices);
        this.stuck(cx, wrote)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(this.drain(cx))?;
        // The stack flushes once all that it has is written: an answer that was made is out whole.
        if this.state() == ANSWERED {
            lock(&this.visit.undelivered).take().into_iter().for_each(|answer| answer.delivered());
            this.doorway.response_sent();
            this.since = Instant::now();
            this.visit.state.store(RESTS, Ordering::Relaxed);
            let hall = &this.visit.hall;
            lock(&hall.door).mark_idle(hall.now(), this.visit.id);
            // The stack may not read again before bytes come: the time of resting is kept from here on.
            let _ = this.keeps_time(cx);
        }
        Pin::new(&mut this.socket).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(this.drain(cx))?;
        Pin::new(&mut this.socket).poll_shutdown(cx)
    }
}
