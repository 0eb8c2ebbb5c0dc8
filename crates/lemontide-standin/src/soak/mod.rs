//! Soak test: seeded runs of a few real controller processes on loopback under combined faults. The invariants are
//! checked on an event log of what crossed the sockets.
//!
//! `plan` generates the scenario of a seed. `stub_server`, `stub_discovery` and `client` simulate the controllers'
//! surroundings. `node_process` runs a controller. `event_log` keeps what happened, `invariants` checks it and
//! `report` prints it. `front` generates and runs days of `lemontide front`.

mod client;
pub mod event_log;
pub mod front;
pub mod invariants;
mod node_process;
mod plan;
mod report;
pub mod stub_discovery;
mod stub_server;

use client::ClientContext;
use event_log::{ListState, Recorder};
use node_process::NodeProcess;
use plan::{seeded_fraction, Fault, Mode, Plan};
use serde_json::{json, Value as Json};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use stub_discovery::{new_list_change, StubDiscovery};
use stub_server::StubServer;
use tokio::time::{sleep, sleep_until};

/// After a scenario, open requests are awaited for this long.
const WAIT_AFTER_SCENARIO_S: f64 = 4.0;
/// Clients send no new request in the last part of a scenario.
const NO_NEW_REQUESTS_S: f64 = 2.0;
/// A run in which this process itself was later than this does not count.
const MAX_LATENESS_S: f64 = 0.04;
const LATENESS_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Addresses of the stub discovery of one node, which it moves through.
const DISCOVERY_ADDRESS_COUNT: u8 = 6;
/// Offsets of ports from the base port of this process.
const CLIENT_PORT_OFFSET: u16 = 1;
const DISCOVERY_PORT_OFFSET: u16 = 2;

/// The number of runs that this process has started; each gets a loopback network of its own.
static RUN_COUNT: AtomicU8 = AtomicU8::new(0);

/// Which program is run, and for how long.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program that is run as `PROGRAM serve`.
    pub program: PathBuf,
    /// The length of the scenario.
    pub scenario_length_s: f64,
}

/// The outcome of a run.
pub struct Outcome {
    pub seed: u64,
    /// A summary of the run in one line.
    pub summary: String,
    /// The violations, in the form of the operators' reports; empty if there are none.
    pub report: String,
    /// False if this process was late and every violation found, if any, may be due to that.
    pub is_conclusive: bool,
}

/// The processes, stubs and clients of one run.
struct Cluster {
    plan: Arc<Plan>,
    recorder: Arc<Recorder>,
    servers: Vec<Arc<StubServer>>,
    discoveries: Vec<Arc<StubDiscovery>>,
    nodes: Vec<Arc<NodeProcess>>,
    client_contexts: Vec<Arc<ClientContext>>,
}

/// Runs the scenario of a seed. Logs of nodes and the event log are written to the folder.
pub async fn run_seed(seed: u64, options: &Options, folder: &Path) -> io::Result<Outcome> {
    let plan = Arc::new(Plan::from_seed(seed, options.scenario_length_s));
    let recorder = Arc::new(Recorder::start());
    let cluster = Cluster::new(plan.clone(), recorder.clone(), &options.program, folder);
    for server in 0..plan.server_count {
        cluster.change_list(&[(server, ListState::Ready)], true);
    }
    let lateness = tokio::spawn(measure_lateness(recorder.clone()));
    for node in &cluster.nodes {
        tokio::spawn(node.clone().monitor());
        node.start().await?;
    }
    for context in &cluster.client_contexts {
        for client in 0..plan.clients_per_node as u64 {
            tokio::spawn(client::run(context.clone(), client));
        }
        if plan.has_faulty_clients {
            tokio::spawn(client::run_faulty(context.clone()));
        }
        if plan.has_repeating_clients {
            tokio::spawn(client::run_repeating(context.clone()));
        }
        if plan.idle_connections_per_node > 0 {
            tokio::spawn(client::run_idle(context.clone()));
        }
    }
    let cluster = Arc::new(cluster);
    for (at, fault) in plan.faults.clone() {
        tokio::spawn(apply_fault(cluster.clone(), at, fault));
    }
    sleep_until(recorder.instant(plan.length_s + WAIT_AFTER_SCENARIO_S)).await;
    let end = recorder.now();
    lateness.abort();
    let violations = invariants::check_invariants(&recorder.event_log(), end);
    for node in &cluster.nodes {
        node.stop().await;
    }
    let event_log = recorder.event_log();
    std::fs::write(folder.join("record.txt"), report::event_log_text(&plan, &event_log))?;
    let was_late = event_log.max_lateness.0 > MAX_LATENESS_S;
    let is_conclusive = !was_late || violations.iter().any(|found| !found.invariant.depends_on_timing());
    let logs: Vec<PathBuf> = cluster.nodes.iter().map(|node| node.log_path()).collect();
    Ok(Outcome {
        seed,
        summary: report::summary(&plan, &event_log, &violations),
        report: report::report(&plan, &recorder, &event_log, &violations, &logs),
        is_conclusive,
    })
}

impl Cluster {
    fn new(plan: Arc<Plan>, recorder: Arc<Recorder>, program: &Path, folder: &Path) -> Cluster {
        // Each run has its own loopback addresses, and each process its own ports.
        let network = [100 + RUN_COUNT.fetch_add(1, Ordering::Relaxed) % 100, 0];
        let port = 10_000 + (std::process::id() % 5_000) as u16 * 4;
        let address = |node: usize, last: u8, port: u16| {
            SocketAddr::from((Ipv4Addr::new(127, network[0], 100 + node as u8, last), port))
        };
        let server = |at| StubServer::start(plan.clone(), recorder.clone(), at, network, port);
        let servers: Vec<_> = (0..plan.server_count).map(server).collect();
        let discovery = |node| {
            let addresses =
                (1..=DISCOVERY_ADDRESS_COUNT).map(|last| address(node, last, port + DISCOVERY_PORT_OFFSET));
            StubDiscovery::start(node, recorder.clone(), addresses.collect())
        };
        let discoveries: Vec<_> = (0..plan.node_count).map(discovery).collect();
        let settings = node_process::settings(&plan);
        recorder.event_log().cold_budget = node_process::cold_budget(&settings);
        let node = |at: usize| {
            let listen = address(at, 1, port + CLIENT_PORT_OFFSET);
            let discovery = discoveries[at].clone();
            NodeProcess::new(
                &plan,
                (at, listen),
                (program, folder),
                (recorder.clone(), discovery),
                settings.clone(),
            )
        };
        let nodes: Vec<_> = (0..plan.node_count).map(node).collect();
        let context = |node: &Arc<NodeProcess>| {
            Arc::new(ClientContext {
                plan: plan.clone(),
                recorder: recorder.clone(),
                node: node.clone(),
                last_request_at: plan.length_s - NO_NEW_REQUESTS_S,
                run_until: plan.length_s + WAIT_AFTER_SCENARIO_S,
                rush_requests: tokio::sync::watch::channel(0).0,
                rest: tokio::sync::watch::channel(0.0..0.0).0,
            })
        };
        let client_contexts = nodes.iter().map(context).collect();
        Cluster { plan, recorder, servers, discoveries, nodes, client_contexts }
    }

    /// Logs changes of the discovery list and publishes them to all nodes.
    fn change_list(&self, changes: &[(usize, ListState)], is_start: bool) {
        for (server, state) in changes {
            let predecessors = self.recorder.event_log().predecessor_count(*server, self.recorder.now());
            let name = server_name(self.plan.seed, *server, predecessors);
            self.change_list_entry(&name, *server, *state, is_start);
        }
    }

    /// Tells of a server that has gone, and of the one that is at its address now.
    fn list_successor(&self, server: usize) {
        let predecessors = self.recorder.event_log().predecessor_count(server, self.recorder.now());
        let name = |predecessors| server_name(self.plan.seed, server, predecessors);
        self.change_list_entry(&name(predecessors.saturating_sub(1)), server, ListState::Gone, false);
        self.change_list_entry(&name(predecessors), server, ListState::Ready, false);
    }

    fn change_list_entry(&self, name: &str, server: usize, state: ListState, is_start: bool) {
        let position = self.recorder.event_log().list_changes.len() as u64 + 1;
        let change = new_list_change(&self.recorder, self.plan.node_count, server, state, position);
        self.recorder.event_log().list_changes.push(change);
        for (node, discovery) in self.discoveries.iter().enumerate() {
            let entry = self.entry(node, name, server, state, is_start);
            discovery.publish(is_start && server == 0, vec![entry]);
        }
    }

    /// The list entry of a server, as a node reads it.
    fn entry(&self, node: usize, name: &str, server: usize, state: ListState, is_start: bool) -> Json {
        let address = self.servers[server].address(node).to_string();
        let unix_ms =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
        let state_name = match state {
            ListState::Ready => "in_service",
            ListState::Draining => "terminating",
            ListState::Gone => "terminated",
        };
        let started_ms = if state == ListState::Ready && !is_start { unix_ms } else { 0 };
        json!({"id": name, "addr": address, "zone": self.plan.zone(server), "kind": "std", "cell": server, "state": state_name,
            "weight": 1, "started_ms": started_ms})
    }
}

/// The name in the discovery list of a server whose address had this many servers before.
fn server_name(seed: u64, server: usize, predecessors: usize) -> String {
    let key = (predecessors as u64) << 32 | server as u64;
    format!("s-{:08x}", (seeded_fraction(seed, 0x7365_7276, key) * f64::from(u32::MAX)) as u32)
}

/// Applies a scheduled fault at its time.
async fn apply_fault(cluster: Arc<Cluster>, at: f64, fault: Fault) {
    sleep_until(cluster.recorder.instant(at)).await;
    let result = match fault {
        Fault::Server { server, mode } => {
            cluster.servers[server].set_mode(mode);
            Ok(())
        }
        Fault::Replace { server, gone_after, back_after } => {
            cluster.change_list(&[(server, ListState::Draining)], false);
            sleep(Duration::from_secs_f64(gone_after)).await;
            cluster.servers[server].set_mode(Mode::Dead);
            cluster.change_list(&[(server, ListState::Gone)], false);
            sleep(Duration::from_secs_f64(back_after)).await;
            cluster.servers[server].set_mode(Mode::Normal);
            cluster.change_list(&[(server, ListState::Ready)], false);
            Ok(())
        }
        Fault::Succeed { server, ends_after, told_after } => {
            cluster.change_list(&[(server, ListState::Draining)], false);
            sleep(Duration::from_secs_f64(ends_after)).await;
            cluster.servers[server].succeed();
            sleep(Duration::from_secs_f64(told_after)).await;
            cluster.list_successor(server);
            Ok(())
        }
        Fault::Rest { node, seconds } => {
            let now = cluster.recorder.now();
            cluster.client_contexts[node].rest.send_replace(now..now + seconds);
            Ok(())
        }
        Fault::Restart { node } => {
            restart_and_hand_over(&cluster, node, cluster.nodes[node].clone().restart()).await
        }
        Fault::Kill { node } => {
            restart_and_hand_over(&cluster, node, cluster.nodes[node].clone().kill_and_restart()).await
        }
        Fault::DiscoveryDown { node, seconds } => {
            cluster.discoveries[node].go_down(seconds).await;
            Ok(())
        }
        Fault::DiscoverySilent { node, seconds } => {
            cluster.discoveries[node].fall_silent(seconds).await;
            Ok(())
        }
        Fault::Reconfigure { node, times } => cluster.nodes[node].reconfigure(times).await,
        Fault::ZoneCut { zone, seconds } => {
            silence_zone(&cluster, zone, seconds).await;
            Ok(())
        }
        Fault::Rush { requests } => {
            cluster
                .client_contexts
                .iter()
                .for_each(|context| context.rush_requests.send_modify(|total| *total += requests));
            Ok(())
        }
    };
    if let Err(e) = result {
        tracing::error!(target: "soak", error = %e, at, "a scheduled fault could not be applied");
    }
}

/// Silences the servers of a zone for a while, except those with another fault.
async fn silence_zone(cluster: &Cluster, zone: usize, seconds: f64) {
    let in_zone = |server: &&Arc<StubServer>| cluster.plan.zone(server.index()) == cluster.plan.zone(zone);
    let silenced: Vec<&Arc<StubServer>> =
        cluster.servers.iter().filter(in_zone).filter(|server| server.mode() == Mode::Normal).collect();
    silenced.iter().for_each(|server| server.set_mode(Mode::Silent));
    sleep(Duration::from_secs_f64(seconds)).await;
    for server in silenced.into_iter().filter(|server| server.mode() == Mode::Silent) {
        server.set_mode(Mode::Normal);
    }
}

/// Waits for a node's restart, then hands the established sessions over to it.
async fn restart_and_hand_over(
    cluster: &Cluster,
    node: usize,
    start: impl std::future::Future<Output = io::Result<()>>,
) -> io::Result<()> {
    start.await?;
    let (seed, recorder) = (cluster.plan.seed, cluster.recorder.clone());
    let name = move |server, at| {
        let predecessors = recorder.event_log().predecessor_count(server, at);
        server_name(seed, server, predecessors)
    };
    tokio::spawn(client::hand_over_all(cluster.client_contexts[node].clone(), name));
    Ok(())
}

/// Measures how late the timers of this process are.
async fn measure_lateness(recorder: Arc<Recorder>) {
    loop {
        let due = recorder.now() + LATENESS_CHECK_INTERVAL.as_secs_f64();
        sleep_until(recorder.instant(due)).await;
        let now = recorder.now();
        let mut event_log = recorder.event_log();
        if now - due > event_log.max_lateness.0 {
            event_log.max_lateness = (now - due, now);
        }
    }
}
