//! The sockets of the stand-in streamers: a listener for each streamer of a day, and the links of controllers. The
//! model of the streamers decides what is sent.

use crate::day::Day;
use crate::model::{CapacityModel, ConnectionId, Output, SocketState};
use futures::{SinkExt, StreamExt};
use lemontide_wire::clock::Clock;
use lemontide_wire::link::{
    ControllerMessage, Looked, Pong, StreamerCodec, StreamerMessage, Welcome, PROTOCOL_VERSION,
};
use lemontide_wire::tap::Tap;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

/// Interval between steps of the model.
const STEP_INTERVAL: Duration = Duration::from_millis(10);
/// Interval in which the sockets check the state of their streamer.
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of messages queued for a controller that reads slowly; beyond it the link is closed.
const MAX_QUEUED_MESSAGES: usize = 8192;

/// A defect of the stand-ins, which a test of the rule checks injects on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Some set-ups reach the streamer twice, as if they had been sent twice.
    DuplicateSetUps,
    /// Some responses are not recorded by the player, as if they had been lost.
    LostResponses,
}

/// One in so many set-ups or responses is affected by a defect.
pub const DEFECT_INTERVAL: u64 = 20;

struct Shared {
    clock: Clock,
    tap: Tap,
    model: Mutex<CapacityModel>,
    links: Mutex<HashMap<ConnectionId, mpsc::Sender<StreamerMessage>>>,
    names: Vec<String>,
    defect: Option<Defect>,
    set_up_count: AtomicU64,
}

/// All streamers of a day, on loopback.
#[derive(Clone)]
pub struct Fleet {
    shared: Arc<Shared>,
    /// The address of each streamer, by its index in the day.
    pub addresses: Vec<SocketAddr>,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Fleet {
    /// Binds every streamer to a free port of loopback and starts the model.
    pub async fn start(day: &Day, clock: Clock, tap: Tap, defect: Option<Defect>) -> io::Result<Fleet> {
        let shared = Arc::new(Shared {
            clock,
            tap,
            model: Mutex::new(CapacityModel::new(day, clock.now())),
            links: Mutex::new(HashMap::new()),
            names: day.streamers.iter().map(|streamer| streamer.name.clone()).collect(),
            defect,
            set_up_count: AtomicU64::new(0),
        });
        let mut addresses = Vec::new();
        for at in 0..day.streamers.len() {
            let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
            addresses.push(listener.local_addr()?);
            tokio::spawn(accept_links(shared.clone(), at, listener));
        }
        let stepper = shared.clone();
        tokio::spawn(async move {
            let mut ticks = tokio::time::interval(STEP_INTERVAL);
            ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                ticks.tick().await;
                stepper.with_model(|model, now| model.advance(now));
            }
        });
        Ok(Fleet { shared, addresses })
    }

    /// Calls the model and sends the messages that result.
    pub fn with_model<T>(&self, call: impl FnOnce(&mut CapacityModel, f64) -> T) -> T {
        self.shared.with_model(call)
    }
}

impl Shared {
    fn with_model<T>(&self, call: impl FnOnce(&mut CapacityModel, f64) -> T) -> T {
        let mut model = lock(&self.model);
        let result = call(&mut model, self.clock.now());
        // Sent under the model's lock, so that messages leave in the order in which the model produced them.
        for out in model.take_outputs() {
            match out {
                Output::Send { connection: conn, message: told } => {
                    let mut links = lock(&self.links);
                    if links.get(&conn).is_some_and(|link| link.try_send(told).is_err()) {
                        links.remove(&conn);
                    }
                }
                Output::Disconnect { connection: conn } => {
                    lock(&self.links).remove(&conn);
                }
                Output::Tap { streamer, event: seen } => {
                    self.tap.with_endpoint(&format!("streamer:{}", self.names[streamer])).record(seen);
                }
            }
        }
        result
    }
}

async fn accept_links(shared: Arc<Shared>, at: usize, listener: TcpListener) {
    loop {
        while lock(&shared.model).socket_state(at) == SocketState::Silent {
            sleep(STATE_POLL_INTERVAL).await;
        }
        let Ok((socket, _)) = listener.accept().await else {
            sleep(STATE_POLL_INTERVAL).await;
            continue;
        };
        // A streamer that is down accepts no connection, so this one is closed at once.
        if matches!(lock(&shared.model).socket_state(at), SocketState::Up | SocketState::NotReading) {
            tokio::spawn(serve_link(shared.clone(), at, socket));
        }
    }
}

async fn serve_link(shared: Arc<Shared>, at: usize, socket: TcpStream) {
    let _ = socket.set_nodelay(true);
    let mut framed = Framed::new(socket, StreamerCodec::default());
    let hello = timeout(Duration::from_secs(2), framed.next()).await;
    let Ok(Some(Ok(ControllerMessage::Hello(hello)))) = hello else { return };
    let started = lock(&shared.model).started_at(at).unwrap_or(0.0);
    let welcome = Welcome { version: PROTOCOL_VERSION, streamer: shared.names[at].clone(), started };
    if hello.version != PROTOCOL_VERSION || framed.send(StreamerMessage::Welcome(welcome)).await.is_err() {
        return;
    }
    let (sender, mut messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let conn = shared.with_model(|model, now| {
        let conn = model.connection_opened(now, at, hello.controller as usize);
        lock(&shared.links).insert(conn, sender);
        conn
    });
    loop {
        let stand = lock(&shared.model).socket_state(at);
        if stand == SocketState::Silent {
            if messages.is_closed() {
                break;
            }
            sleep(STATE_POLL_INTERVAL).await;
            continue;
        }
        tokio::select! {
            message = messages.recv() => {
                let Some(message) = message else { break };
                if framed.send(message).await.is_err() {
                    break;
                }
            }
            received = framed.next(), if stand == SocketState::Up => {
                let Some(Ok(message)) = received else { break };
                handle_message(&shared, at, conn, message);
            }
            // The state of the streamer can have changed meanwhile.
            () = sleep(STATE_POLL_INTERVAL) => {}
        }
    }
    lock(&shared.links).remove(&conn);
    shared.with_model(|model, _| model.connection_closed(at, conn));
}

/// Handles one message of a controller.
fn handle_message(shared: &Shared, at: usize, conn: ConnectionId, message: ControllerMessage) {
    let reply = |message| {
        if let Some(link) = lock(&shared.links).get(&conn) {
            let _ = link.try_send(message);
        }
    };
    match message {
        ControllerMessage::SetUp(set_up) => {
            let number = shared.set_up_count.fetch_add(1, Ordering::Relaxed) + 1;
            let is_duplicated =
                shared.defect == Some(Defect::DuplicateSetUps) && number.is_multiple_of(DEFECT_INTERVAL);
            if is_duplicated {
                shared.with_model(|model, now| model.set_up(now, at, conn, set_up.clone()));
            }
            shared.with_model(|model, now| model.set_up(now, at, conn, set_up));
        }
        ControllerMessage::SetRung(rung) => shared.with_model(|model, _| {
            model.set_rung(at, conn, rung.id, rung.rung as usize, f64::from(rung.rate_kb));
        }),
        ControllerMessage::Cancel(cancel) => {
            shared.with_model(|model, _| model.cancel(at, conn, cancel.id, cancel.shot))
        }
        ControllerMessage::Look(look) => {
            let cmsd_dynamic = shared.with_model(|model, _| model.probe(at));
            reply(StreamerMessage::Looked(Looked { nonce: look.nonce, cmsd_dynamic }));
        }
        ControllerMessage::Ping(ping) => reply(StreamerMessage::Pong(Pong { nonce: ping.nonce })),
        ControllerMessage::Hello(_) => {}
    }
}
