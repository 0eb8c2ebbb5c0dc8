//! The streamers' sockets: a listener for each streamer of a day, links of controllers, and the model behind.

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

/// The model's step, and how often a still streamer is looked at again.
const STEP: Duration = Duration::from_millis(10);
const STILL: Duration = Duration::from_millis(20);
/// Words that wait for a controller that reads slowly before it is cut off.
const WORDS_MOST: usize = 8192;

/// A fault that the stand-ins make on purpose, to show that the judge finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Every so many set-ups reach the streamer twice, as if sent twice.
    Duplicates,
    /// Every so many answers never reach the player.
    Swallows,
}

/// Every so many, where a fault is made on purpose.
pub const FAULT_EVERY: u64 = 20;

struct Shared {
    clock: Clock,
    tap: Tap,
    model: Mutex<CapacityModel>,
    wires: Mutex<HashMap<ConnectionId, mpsc::Sender<StreamerMessage>>>,
    names: Vec<String>,
    fault: Option<Fault>,
    set_ups: AtomicU64,
}

/// All streamers of a day, on loopback.
#[derive(Clone)]
pub struct Fleet {
    shared: Arc<Shared>,
    pub addresses: Vec<SocketAddr>,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Fleet {
    /// Binds every streamer to a free port of loopback and starts the model.
    pub async fn start(day: &Day, clock: Clock, tap: Tap, fault: Option<Fault>) -> io::Result<Fleet> {
        let shared = Arc::new(Shared {
            clock,
            tap,
            model: Mutex::new(CapacityModel::new(day, clock.now())),
            wires: Mutex::new(HashMap::new()),
            names: day.streamers.iter().map(|streamer| streamer.name.clone()).collect(),
            fault,
            set_ups: AtomicU64::new(0),
        });
        let mut addresses = Vec::new();
        for at in 0..day.streamers.len() {
            let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
            addresses.push(listener.local_addr()?);
            tokio::spawn(accept(shared.clone(), at, listener));
        }
        let steps = shared.clone();
        tokio::spawn(async move {
            let mut ticks = tokio::time::interval(STEP);
            ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                ticks.tick().await;
                steps.with(|model, now| model.advance(now));
            }
        });
        Ok(Fleet { shared, addresses })
    }

    /// Calls on the model and sends out what comes of it.
    pub fn with<T>(&self, call: impl FnOnce(&mut CapacityModel, f64) -> T) -> T {
        self.shared.with(call)
    }
}

impl Shared {
    fn with<T>(&self, call: impl FnOnce(&mut CapacityModel, f64) -> T) -> T {
        let mut model = lock(&self.model);
        let result = call(&mut model, self.clock.now());
        // Routed under the model's lock, so that words leave in the order in which they were said.
        for out in model.take_outputs() {
            match out {
                Output::Send { connection: conn, message: told } => {
                    let mut wires = lock(&self.wires);
                    if wires.get(&conn).is_some_and(|wire| wire.try_send(told).is_err()) {
                        wires.remove(&conn);
                    }
                }
                Output::Disconnect { connection: conn } => {
                    lock(&self.wires).remove(&conn);
                }
                Output::Tap { streamer, event: seen } => {
                    self.tap.with_endpoint(&format!("streamer:{}", self.names[streamer])).record(seen);
                }
            }
        }
        result
    }
}

async fn accept(shared: Arc<Shared>, at: usize, listener: TcpListener) {
    loop {
        while lock(&shared.model).socket_state(at) == SocketState::Silent {
            sleep(STILL).await;
        }
        let Ok((socket, _)) = listener.accept().await else {
            sleep(STILL).await;
            continue;
        };
        // One that is down takes no connection: what was accepted here ends at once.
        if matches!(lock(&shared.model).socket_state(at), SocketState::Up | SocketState::NotReading) {
            tokio::spawn(serve(shared.clone(), at, socket));
        }
    }
}

async fn serve(shared: Arc<Shared>, at: usize, socket: TcpStream) {
    let _ = socket.set_nodelay(true);
    let mut framed = Framed::new(socket, StreamerCodec::default());
    let hello = timeout(Duration::from_secs(2), framed.next()).await;
    let Ok(Some(Ok(ControllerMessage::Hello(hello)))) = hello else { return };
    let started = lock(&shared.model).started_at(at).unwrap_or(0.0);
    let welcome = Welcome { version: PROTOCOL_VERSION, streamer: shared.names[at].clone(), started };
    if hello.version != PROTOCOL_VERSION || framed.send(StreamerMessage::Welcome(welcome)).await.is_err() {
        return;
    }
    let (say, mut said) = mpsc::channel(WORDS_MOST);
    let conn = shared.with(|model, now| {
        let conn = model.connection_opened(now, at, hello.controller as usize);
        lock(&shared.wires).insert(conn, say);
        conn
    });
    loop {
        let stand = lock(&shared.model).socket_state(at);
        if stand == SocketState::Silent {
            if said.is_closed() {
                break;
            }
            sleep(STILL).await;
            continue;
        }
        tokio::select! {
            told = said.recv() => {
                let Some(told) = told else { break };
                if framed.send(told).await.is_err() {
                    break;
                }
            }
            order = framed.next(), if stand == SocketState::Up => {
                let Some(Ok(order)) = order else { break };
                take(&shared, at, conn, order);
            }
            // The stand may have changed meanwhile.
            () = sleep(STILL) => {}
        }
    }
    lock(&shared.wires).remove(&conn);
    shared.with(|model, _| model.connection_closed(at, conn));
}

fn take(shared: &Shared, at: usize, conn: ConnectionId, order: ControllerMessage) {
    let say = |told| {
        if let Some(wire) = lock(&shared.wires).get(&conn) {
            let _ = wire.try_send(told);
        }
    };
    match order {
        ControllerMessage::SetUp(set_up) => {
            let number = shared.set_ups.fetch_add(1, Ordering::Relaxed) + 1;
            let twice = shared.fault == Some(Fault::Duplicates) && number.is_multiple_of(FAULT_EVERY);
            if twice {
                shared.with(|model, now| model.set_up(now, at, conn, set_up.clone()));
            }
            shared.with(|model, now| model.set_up(now, at, conn, set_up));
        }
        ControllerMessage::SetRung(rung) => shared.with(|model, _| {
            model.set_rung(at, conn, rung.id, rung.rung as usize, f64::from(rung.rate_kb));
        }),
        ControllerMessage::Cancel(cancel) => {
            shared.with(|model, _| model.cancel(at, conn, cancel.id, cancel.shot))
        }
        ControllerMessage::Look(look) => {
            let cmsd_dynamic = shared.with(|model, _| model.probe(at));
            say(StreamerMessage::Looked(Looked { nonce: look.nonce, cmsd_dynamic }));
        }
        ControllerMessage::Ping(ping) => say(StreamerMessage::Pong(Pong { nonce: ping.nonce })),
        ControllerMessage::Hello(_) => {}
    }
}
