//! A stub of the discovery service of one node: numbered list changes, a heartbeat every second, and outages.

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

/// The time between two position lines when there is no change.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// How long connections at an old address stay open after the service has moved.
const OLD_ADDRESS_LINGER: Duration = Duration::from_millis(1500);

/// The current behaviour of the service's connections.
#[derive(Clone, Debug)]
struct ServiceState {
    /// The index of the address in use.
    address_index: usize,
    is_down: bool,
    /// Connections that were opened before this time are silent.
    silent_before: Option<f64>,
    /// The position of the last change.
    last_position: u64,
}

/// The discovery service of one node.
pub struct StubDiscovery {
    node: usize,
    recorder: Arc<Recorder>,
    addresses: Vec<SocketAddr>,
    /// List changes as this node reads them; the first is marked as a full list.
    changes: Mutex<Vec<Json>>,
    state: watch::Sender<ServiceState>,
}

impl StubDiscovery {
    /// Starts the service on its first address.
    pub fn start(node: usize, recorder: Arc<Recorder>, addresses: Vec<SocketAddr>) -> Arc<StubDiscovery> {
        let state = ServiceState { address_index: 0, is_down: false, silent_before: None, last_position: 0 };
        let discovery = Arc::new(StubDiscovery {
            node,
            recorder,
            addresses,
            changes: Mutex::default(),
            state: watch::channel(state).0,
        });
        for address_index in 0..discovery.addresses.len() {
            tokio::spawn(listen(discovery.clone(), address_index));
        }
        discovery
    }

    fn changes(&self) -> MutexGuard<'_, Vec<Json>> {
        self.changes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The address in use.
    pub fn address(&self) -> SocketAddr {
        self.addresses[self.state.borrow().address_index]
    }

    /// Publishes a list change; positions count from 1.
    pub fn publish(&self, is_full: bool, servers: Vec<Json>) {
        let mut changes = self.changes();
        let position = changes.len() as u64 + 1;
        changes.push(
            json!({"pos": position, "hosts": {"version": position, "full": is_full, "servers": servers}}),
        );
        drop(changes);
        self.state.send_modify(|state| state.last_position = position);
    }

    /// The list as a configuration contains it, and the position up to which it goes.
    pub fn snapshot(&self) -> (u64, Json) {
        let entries = self.changes().clone();
        (entries.len() as u64, json!({"pos": entries.len(), "entries": entries}))
    }

    /// Logs that the node has the changes up to this position, as its process starts with a configuration that contains
    /// them.
    pub fn mark_sent_up_to(&self, last: u64) {
        for position in 1..=last {
            self.mark_sent(position);
        }
    }

    /// Logs that the change at this position was sent to the node, unless it was before.
    fn mark_sent(&self, position: u64) {
        let now = self.recorder.now();
        let mut event_log = self.recorder.event_log();
        for change in event_log.list_changes.iter_mut().filter(|change| change.position == position) {
            change.sent_to_node_at[self.node].get_or_insert(now);
        }
    }

    /// Logs an outage that begins now.
    fn log_outage(&self, seconds: f64, open_connections_only: bool) {
        let from = self.recorder.now();
        let until = from + seconds;
        self.recorder.event_log().outages.push(Outage {
            node: self.node,
            from,
            until,
            open_connections_only,
        });
    }

    /// Closes open connections and refuses new ones for a while.
    pub async fn go_down(&self, seconds: f64) {
        self.log_outage(seconds, false);
        self.state.send_modify(|state| state.is_down = true);
        sleep(Duration::from_secs_f64(seconds)).await;
        self.state.send_modify(|state| state.is_down = false);
    }

    /// Sends nothing on the connections that are open now, for a while.
    pub async fn fall_silent(&self, seconds: f64) {
        self.log_outage(seconds, true);
        let now = self.recorder.now();
        self.state.send_modify(|state| state.silent_before = Some(now));
        sleep(Duration::from_secs_f64(seconds)).await;
        self.state.send_modify(|state| state.silent_before = None);
    }

    /// Moves the service to its next address, if there is one.
    pub fn move_to_next_address(&self) {
        let count = self.addresses.len();
        self.state.send_modify(|state| state.address_index = (state.address_index + 1).min(count - 1));
    }
}

/// A list change for the event log, before any node was sent it.
pub fn new_list_change(
    recorder: &Recorder,
    nodes: usize,
    server: usize,
    state: ListState,
    position: u64,
) -> ListChange {
    ListChange { at: recorder.now(), position, server, state, sent_to_node_at: vec![None; nodes] }
}

/// Accepts connections at one address while it is in use and the service is not down.
async fn listen(discovery: Arc<StubDiscovery>, address_index: usize) {
    let mut state = discovery.state.subscribe();
    loop {
        let serves = |state: &ServiceState| state.address_index == address_index && !state.is_down;
        if state.wait_for(serves).await.is_err() {
            return;
        }
        let Some(listener) = bind(discovery.addresses[address_index]).await else { return };
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((socket, _)) = accepted {
                        tokio::spawn(serve_node(discovery.clone(), address_index, socket));
                    }
                }
                _ = state.wait_for(|state| !serves(state)) => break,
            }
        }
        if state.borrow().address_index != address_index {
            return;
        }
    }
}

/// Sends list changes to one connected node until the service moves or goes down.
async fn serve_node(discovery: Arc<StubDiscovery>, address_index: usize, mut socket: TcpStream) {
    let opened_at = discovery.recorder.now();
    let mut state = discovery.state.subscribe();
    let Some(mut last) = timeout(HEARTBEAT_INTERVAL, requested_position(&mut socket)).await.ok().flatten()
    else {
        return;
    };
    loop {
        let current = state.borrow_and_update().clone();
        if current.is_down {
            return;
        }
        if current.address_index != address_index {
            sleep(OLD_ADDRESS_LINGER).await;
            return;
        }
        let is_silent = current.silent_before.is_some_and(|before| opened_at < before);
        if !is_silent {
            let unsent: Vec<(u64, String)> = {
                let changes = discovery.changes();
                (last..changes.len() as u64).map(|at| (at + 1, changes[at as usize].to_string())).collect()
            };
            for (position, line) in unsent {
                // The node can read the change from now on.
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
            _ = state.changed() => {}
            () = sleep(HEARTBEAT_INTERVAL) => {}
        }
    }
}

/// Reads the position after which the node requests changes.
async fn requested_position(socket: &mut TcpStream) -> Option<u64> {
    let mut line = Vec::new();
    while !line.ends_with(b"\n") {
        line.push(socket.read_u8().await.ok()?);
    }
    String::from_utf8_lossy(&line).trim().strip_prefix("tail ")?.parse().ok()
}
