//! A stand-in of the discovery service of one node: numbered events, a word a second, and outages of every kind.

use super::event_log::{ListChange, ListState, Outage, Recorder};
use super::stub_server::bind;
use serde_json::{json, Value as Json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Between two words of a service that has nothing to tell.
const WORD_EVERY: Duration = Duration::from_secs(1);
/// How long the connections at an old address stay open.
const OLD_ADDRESS_OPEN: Duration = Duration::from_millis(1500);

/// What the connections of the service do now.
#[derive(Clone, Debug)]
struct ServiceState {
    /// Which of the addresses is in use.
    address: usize,
    is_down: bool,
    /// Connections that were opened before are silent.
    silent_before: Option<f64>,
    /// Position of the last event.
    last: u64,
}

pub struct StubDiscovery {
    node: usize,
    recorder: Arc<Recorder>,
    addresses: Vec<SocketAddr>,
    /// Events as this node reads them; the first is the whole list of the start.
    events: Mutex<Vec<Json>>,
    status: watch::Sender<ServiceState>,
}

impl StubDiscovery {
    pub fn start(node: usize, recorder: Arc<Recorder>, addresses: Vec<SocketAddr>) -> Arc<StubDiscovery> {
        let status = ServiceState { address: 0, is_down: false, silent_before: None, last: 0 };
        let discovery = Arc::new(StubDiscovery {
            node,
            recorder,
            addresses,
            events: Mutex::default(),
            status: watch::channel(status).0,
        });
        for address in 0..discovery.addresses.len() {
            tokio::spawn(listen(discovery.clone(), address));
        }
        discovery
    }

    fn events(&self) -> MutexGuard<'_, Vec<Json>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn address(&self) -> SocketAddr {
        self.addresses[self.status.borrow().address]
    }

    /// Tells an event; positions count from 1.
    pub fn publish(&self, is_full: bool, servers: Vec<Json>) {
        let mut events = self.events();
        let position = events.len() as u64 + 1;
        events.push(
            json!({"pos": position, "hosts": {"version": position, "full": is_full, "servers": servers}}),
        );
        drop(events);
        self.status.send_modify(|status| status.last = position);
    }

    /// What a configuration holds of the list, up to the position that is given with it.
    pub fn snapshot(&self) -> (u64, Json) {
        let entries = self.events().clone();
        (entries.len() as u64, json!({"pos": entries.len(), "entries": entries}))
    }

    /// A process starts, which reads all events up to this position in its configuration.
    pub fn mark_sent_up_to(&self, last: u64) {
        for position in 1..=last {
            self.mark_sent(position);
        }
    }

    fn mark_sent(&self, position: u64) {
        let now = self.recorder.now();
        let mut event_log = self.recorder.event_log();
        for event in event_log.list_changes.iter_mut().filter(|event| event.position == position) {
            event.sent_to_node_at[self.node].get_or_insert(now);
        }
    }

    fn outage(&self, seconds: f64, open_connections_only: bool) {
        let from = self.recorder.now();
        let until = from + seconds;
        self.recorder.event_log().outages.push(Outage {
            node: self.node,
            from,
            until,
            open_connections_only,
        });
    }

    pub async fn go_down(&self, seconds: f64) {
        self.outage(seconds, false);
        self.status.send_modify(|status| status.is_down = true);
        sleep(Duration::from_secs_f64(seconds)).await;
        self.status.send_modify(|status| status.is_down = false);
    }

    pub async fn fall_silent(&self, seconds: f64) {
        self.outage(seconds, true);
        let now = self.recorder.now();
        self.status.send_modify(|status| status.silent_before = Some(now));
        sleep(Duration::from_secs_f64(seconds)).await;
        self.status.send_modify(|status| status.silent_before = None);
    }

    /// Goes on at the next address.
    pub fn move_to_next_address(&self) {
        let most = self.addresses.len();
        self.status.send_modify(|status| status.address = (status.address + 1).min(most - 1));
    }
}

/// An event of the record, before it is told.
pub fn new_list_change(
    recorder: &Recorder,
    nodes: usize,
    server: usize,
    state: ListState,
    position: u64,
) -> ListChange {
    ListChange { at: recorder.now(), position, server, state, sent_to_node_at: vec![None; nodes] }
}

async fn listen(discovery: Arc<StubDiscovery>, address: usize) {
    let mut status = discovery.status.subscribe();
    loop {
        let serves = |status: &ServiceState| status.address == address && !status.is_down;
        if status.wait_for(serves).await.is_err() {
            return;
        }
        let Some(listener) = bind(discovery.addresses[address]).await else { return };
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((socket, _)) = accepted {
                        tokio::spawn(follow(discovery.clone(), address, socket));
                    }
                }
                _ = status.wait_for(|status| !serves(status)) => break,
            }
        }
        if status.borrow().address != address {
            return;
        }
    }
}

/// Serves one follower until the service moves or goes down.
async fn follow(discovery: Arc<StubDiscovery>, address: usize, mut socket: TcpStream) {
    let opened = discovery.recorder.now();
    let mut status = discovery.status.subscribe();
    let Some(mut last) = timeout(WORD_EVERY, asked(&mut socket)).await.ok().flatten() else { return };
    loop {
        let now = status.borrow_and_update().clone();
        if now.is_down {
            return;
        }
        if now.address != address {
            sleep(OLD_ADDRESS_OPEN).await;
            return;
        }
        let is_silent = now.silent_before.is_some_and(|before| opened < before);
        if !is_silent {
            let news: Vec<(u64, String)> = {
                let events = discovery.events();
                (last..events.len() as u64).map(|at| (at + 1, events[at as usize].to_string())).collect()
            };
            for (position, line) in news {
                // Read by the node at this moment at the earliest: told from here on.
                if socket.write_all((line + "\n").as_bytes()).await.is_err() {
                    return;
                }
                discovery.mark_sent(position);
                last = position;
            }
            if socket.write_all(format!("{last}\n").as_bytes()).await.is_err() {
                return;
            }
        }
        tokio::select! {
            _ = status.changed() => {}
            () = sleep(WORD_EVERY) => {}
        }
    }
}

/// The position after which a follower asks.
async fn asked(socket: &mut TcpStream) -> Option<u64> {
    let mut line = Vec::new();
    while !line.ends_with(b"\n") {
        line.push(socket.read_u8().await.ok()?);
    }
    String::from_utf8_lossy(&line).trim().strip_prefix("tail ")?.parse().ok()
}
