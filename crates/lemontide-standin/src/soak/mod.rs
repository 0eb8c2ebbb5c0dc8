//! Seeded runs of a handful of real controllers on loopback, under troubles that are drawn and combined by the seed,
//! with the rules judged from what crossed the sockets. `plan` draws a run, `server`, `discovery` and `client` are the
//! stand-ins, `front` draws days of the other program, `node` is a controller's process, `record` keeps what crossed, `judge` reads it, `report` prints it.

mod client;
pub mod event_log;
pub mod front;
pub mod invariants;
mod node;
mod plan;
mod report;
pub mod stub_discovery;
mod stub_server;

use client::ClientContext;
use event_log::{ListState, Recorder};
use node::Node;
use plan::{draw, Event, Mode, Plan};
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

/// After the script of a run its open requests are waited for, in seconds.
const WAIT_AFTER: f64 = 4.0;
/// No request is begun in the last part of the script, in seconds.
const QUIET_END: f64 = 2.0;
/// A run in which the stand-ins themselves were later than this does not count, in seconds.
const LATE_MOST: f64 = 0.04;
const LOOK_AT_LATENESS: Duration = Duration::from_millis(5);
/// Addresses that discovery of one node may move to.
const DISCOVERY_ADDRESSES: u8 = 6;
const CLIENTS_PORT: u16 = 1;
const DISCOVERY_PORT: u16 = 2;

/// The networks of runs of this process.
static RUNS: AtomicU8 = AtomicU8::new(0);

/// What is played, and how.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program that is run as `PROGRAM serve`.
    pub program: PathBuf,
    /// Length of the script of events, in seconds.
    pub scenario_length_s: f64,
}

/// How a run ended.
pub struct Outcome {
    pub seed: u64,
    /// One line on the run.
    pub summary: String,
    /// What broke, in the form of the operators' reports; empty where nothing did.
    pub report: String,
    /// False where the stand-ins were late, and no rule is broken but such as they may have broken by that.
    pub is_conclusive: bool,
}

/// The parts of one run.
struct Cluster {
    plan: Arc<Plan>,
    recorder: Arc<Recorder>,
    servers: Vec<Arc<StubServer>>,
    discoveries: Vec<Arc<StubDiscovery>>,
    nodes: Vec<Arc<Node>>,
    client_contexts: Vec<Arc<ClientContext>>,
}

/// Plays one seed.
pub async fn run_seed(seed: u64, options: &Options, folder: &Path) -> io::Result<Outcome> {
    let plan = Arc::new(Plan::draw(seed, options.scenario_length_s));
    let recorder = Arc::new(Recorder::start());
    let cluster = Cluster::new(plan.clone(), recorder.clone(), &options.program, folder);
    for server in 0..plan.servers {
        cluster.change_list(&[(server, ListState::Ready)], true);
    }
    let lateness = tokio::spawn(watch_lateness(recorder.clone()));
    for node in &cluster.nodes {
        tokio::spawn(node.clone().watch());
        node.start().await?;
    }
    for context in &cluster.client_contexts {
        for slot in 0..plan.connections as u64 {
            tokio::spawn(client::run(context.clone(), slot));
        }
        if plan.faulty_clients {
            tokio::spawn(client::run_faulty(context.clone()));
        }
        if plan.repeaters {
            tokio::spawn(client::run_repeating(context.clone()));
        }
        if plan.idle_connections > 0 {
            tokio::spawn(client::run_idle(context.clone()));
        }
    }
    let cluster = Arc::new(cluster);
    for (at, event) in plan.events.clone() {
        tokio::spawn(happen(cluster.clone(), at, event));
    }
    sleep_until(recorder.instant(plan.seconds + WAIT_AFTER)).await;
    let end = recorder.now();
    lateness.abort();
    let violations = invariants::check_invariants(&recorder.event_log(), end);
    for node in &cluster.nodes {
        node.end().await;
    }
    let event_log = recorder.event_log();
    std::fs::write(folder.join("record.txt"), report::event_log_text(&plan, &event_log))?;
    let was_late = event_log.max_lateness.0 > LATE_MOST;
    let is_conclusive = !was_late || violations.iter().any(|found| !found.invariant.depends_on_timing());
    let logs: Vec<PathBuf> = cluster.nodes.iter().map(|node| node.log_file()).collect();
    Ok(Outcome {
        seed,
        summary: report::summary(&plan, &event_log, &violations),
        report: report::report(&plan, &recorder, &event_log, &violations, &logs),
        is_conclusive,
    })
}

impl Cluster {
    fn new(plan: Arc<Plan>, recorder: Arc<Recorder>, program: &Path, folder: &Path) -> Cluster {
        // Each run has addresses of its own, and each process a port of its own.
        let network = [100 + RUNS.fetch_add(1, Ordering::Relaxed) % 100, 0];
        let port = 10_000 + (std::process::id() % 5_000) as u16 * 4;
        let address = |node: usize, last: u8, port: u16| {
            SocketAddr::from((Ipv4Addr::new(127, network[0], 100 + node as u8, last), port))
        };
        let server = |at| StubServer::start(plan.clone(), recorder.clone(), at, network, port);
        let servers: Vec<_> = (0..plan.servers).map(server).collect();
        let discovery = |node| {
            let addresses = (1..=DISCOVERY_ADDRESSES).map(|last| address(node, last, port + DISCOVERY_PORT));
            StubDiscovery::start(node, recorder.clone(), addresses.collect())
        };
        let discoveries: Vec<_> = (0..plan.nodes).map(discovery).collect();
        let settings = node::settings(&plan);
        recorder.event_log().cold_budget = node::cold_budget(&settings);
        let node = |at: usize| {
            let listen = address(at, 1, port + CLIENTS_PORT);
            let discovery = discoveries[at].clone();
            Node::new(&plan, (at, listen), (program, folder), (recorder.clone(), discovery), settings.clone())
        };
        let nodes: Vec<_> = (0..plan.nodes).map(node).collect();
        let context = |node: &Arc<Node>| {
            Arc::new(ClientContext {
                plan: plan.clone(),
                recorder: recorder.clone(),
                node: node.clone(),
                last_request_at: plan.seconds - QUIET_END,
                run_until: plan.seconds + WAIT_AFTER,
                rush_requests: tokio::sync::watch::channel(0).0,
            })
        };
        let client_contexts = nodes.iter().map(context).collect();
        Cluster { plan, recorder, servers, discoveries, nodes, client_contexts }
    }

    /// Tells all nodes of changes of the list.
    fn change_list(&self, changes: &[(usize, ListState)], is_start: bool) {
        for (server, state) in changes {
            let position = self.recorder.event_log().list_changes.len() as u64 + 1;
            let event = new_list_change(&self.recorder, self.plan.nodes, *server, *state, position);
            self.recorder.event_log().list_changes.push(event);
            for (node, discovery) in self.discoveries.iter().enumerate() {
                let entry = self.entry(node, *server, *state, is_start);
                discovery.publish(is_start && *server == 0, vec![entry]);
            }
        }
    }

    fn entry(&self, node: usize, server: usize, state: ListState, is_start: bool) -> Json {
        let name = server_name(self.plan.seed, server);
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

/// The name of a server in the list.
fn server_name(seed: u64, server: usize) -> String {
    format!("s-{:08x}", (draw(seed, 0x7365_7276, server as u64) * f64::from(u32::MAX)) as u32)
}

/// Does what the script says, in its time.
async fn happen(cluster: Arc<Cluster>, at: f64, event: Event) {
    sleep_until(cluster.recorder.instant(at)).await;
    let done = match event {
        Event::Server { server, mode } => {
            cluster.servers[server].set_mode(mode);
            Ok(())
        }
        Event::Replace { server, gone_after, back_after } => {
            cluster.change_list(&[(server, ListState::Draining)], false);
            sleep(Duration::from_secs_f64(gone_after)).await;
            cluster.servers[server].set_mode(Mode::Dead);
            cluster.change_list(&[(server, ListState::Gone)], false);
            sleep(Duration::from_secs_f64(back_after)).await;
            cluster.servers[server].set_mode(Mode::Normal);
            cluster.change_list(&[(server, ListState::Ready)], false);
            Ok(())
        }
        Event::Restart { node } => restarted(&cluster, node, cluster.nodes[node].clone().restart()).await,
        Event::Kill { node } => restarted(&cluster, node, cluster.nodes[node].clone().kill_and_start()).await,
        Event::DiscoveryDown { node, seconds } => {
            cluster.discoveries[node].go_down(seconds).await;
            Ok(())
        }
        Event::DiscoverySilent { node, seconds } => {
            cluster.discoveries[node].fall_silent(seconds).await;
            Ok(())
        }
        Event::Reconfigure { node, times } => cluster.nodes[node].reconfigure(times).await,
        Event::ZoneCut { zone, seconds } => {
            cut_zone(&cluster, zone, seconds).await;
            Ok(())
        }
        Event::Rush { requests } => {
            cluster.client_contexts.iter().for_each(|context| {
                context.rush_requests.send_modify(|rush_requests| *rush_requests += requests)
            });
            Ok(())
        }
    };
    if let Err(e) = done {
        tracing::error!(target: "soak", error = %e, at, "a step of the script failed");
    }
}

/// Nothing passes to or from the servers of a zone for a while, but for those that have another trouble.
async fn cut_zone(cluster: &Cluster, zone: usize, seconds: f64) {
    let in_zone = |server: &&Arc<StubServer>| cluster.plan.zone(server.at()) == cluster.plan.zone(zone);
    let cut: Vec<&Arc<StubServer>> =
        cluster.servers.iter().filter(in_zone).filter(|server| server.mode() == Mode::Normal).collect();
    cut.iter().for_each(|server| server.set_mode(Mode::Silent));
    sleep(Duration::from_secs_f64(seconds)).await;
    for server in cut.into_iter().filter(|server| server.mode() == Mode::Silent) {
        server.set_mode(Mode::Normal);
    }
}

/// Hands what stands over to a node that was started again.
async fn restarted(
    cluster: &Cluster,
    node: usize,
    start: impl std::future::Future<Output = io::Result<()>>,
) -> io::Result<()> {
    start.await?;
    let seed = cluster.plan.seed;
    let name = move |server| server_name(seed, server);
    tokio::spawn(client::hand_over_all(cluster.client_contexts[node].clone(), name));
    Ok(())
}

/// Measures how late the stand-ins themselves are.
async fn watch_lateness(recorder: Arc<Recorder>) {
    loop {
        let due = recorder.now() + LOOK_AT_LATENESS.as_secs_f64();
        sleep_until(recorder.instant(due)).await;
        let now = recorder.now();
        let mut event_log = recorder.event_log();
        if now - due > event_log.max_lateness.0 {
            event_log.max_lateness = (now - due, now);
        }
    }
}
