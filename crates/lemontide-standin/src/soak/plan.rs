//! The scenario of one run, generated from its seed alone: sizes, fault probabilities and scheduled faults.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// No fault is scheduled in the first and in the last part of a scenario.
const QUIET_START_S: f64 = 1.5;
const QUIET_END_S: f64 = 4.0;
/// Sessions that a server of limited capacity holds.
const SMALL_SERVER_CAPACITY: std::ops::RangeInclusive<usize> = 20..=200;
/// Large runs: their share of the seeds, their nodes, the clients of each node and the requests per second of each
/// client.
const LARGE_RUN_SHARE: f64 = 0.12;
const LARGE_RUN_NODES: std::ops::RangeInclusive<usize> = 12..=32;
const LARGE_RUN_CLIENTS_PER_NODE: usize = 3;
const LARGE_RUN_REQUESTS_PER_S: f64 = 1.0;
/// Requests that each client sends at once in a burst.
const RUSH_REQUESTS: std::ops::RangeInclusive<usize> = 5..=20;

/// How a stub server treats incoming traffic. Reports print the variants by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Normal,
    /// Accepts set-ups, reads everything and passes health tests, but answers no set-up.
    Hangs,
    /// Traffic is held back in both directions and delivered when the mode ends.
    Silent,
    /// The process is dead: connections are reset and refused.
    Dead,
}

/// A scheduled fault or change. Reports print variants and fields by name.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A server changes its mode.
    Server { server: usize, mode: Mode },
    /// A server drains, then its process ends and it is listed as gone, then a new process replaces it. Delays are in
    /// seconds.
    Replace { server: usize, gone_after: f64, back_after: f64 },
    /// A server drains, then its process ends and another server is at its address at once; the list tells of both
    /// later. Delays are in seconds.
    Succeed { server: usize, ends_after: f64, told_after: f64 },
    /// The clients of a node close their connections, and send only tests on new ones for a while.
    Rest { node: usize, seconds: f64 },
    /// A node gets SIGTERM, then SIGKILL at the earliest moment that is allowed, and is started again.
    Restart { node: usize },
    /// A node gets SIGKILL without a warning and is started again.
    Kill { node: usize },
    /// The discovery service of a node closes open connections and refuses new ones for a while.
    DiscoveryDown { node: usize, seconds: f64 },
    /// Open connections to the discovery service of a node fall silent; new ones work.
    DiscoverySilent { node: usize, seconds: f64 },
    /// A node gets this many new configurations in quick succession.
    Reconfigure { node: usize, times: usize },
    /// The servers of a zone are unreachable for a while.
    ZoneCut { zone: usize, seconds: f64 },
    /// Every client of every node sends a burst of this many requests at once.
    Rush { requests: usize },
}

/// Probabilities of faults, each for one set-up, connection, request or session.
#[derive(Clone, Debug, Default)]
pub struct FaultProbabilities {
    /// Of a set-up, at its server: refused as full or moot, failed, or established with the answer lost.
    pub refused_full: f64,
    pub refused_moot: f64,
    pub failed: f64,
    pub answer_lost: f64,
    /// Of a set-up: never answered, answered late, answered with garbage, or answered twice.
    pub never_answered: f64,
    pub late_answer: f64,
    pub garbled_answer: f64,
    pub duplicate_answer: f64,
    /// Of a set-up: its connection is reset or closed before the answer.
    pub reset_before_answer: f64,
    pub close_before_answer: f64,
    /// Of a connection to a server: becomes usable late, is closed early, or writes in fragments.
    pub late_connection: f64,
    pub early_connection_close: f64,
    pub fragmented_writes: f64,
    /// Of a request: its client cancels it or disconnects early, or writes slowly.
    pub client_leaves: f64,
    pub client_writes_slowly: f64,
    /// Of a request: after it the client half-closes the connection, resets it, or sends unreadable bytes.
    pub client_half_closes: f64,
    pub client_resets: f64,
    pub client_sends_garbage: f64,
    /// Of a session: its viewer ends it right when the answer arrives, at a poll of a fixed clock.
    pub ended_when_answered: f64,
}

/// The scenario of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub node_count: usize,
    pub server_count: usize,
    pub length_s: f64,
    /// Clients of each node, each with one connection at a time, and the requests per second of each.
    pub clients_per_node: usize,
    pub requests_per_client_per_s: f64,
    /// The highest delay of a connection to a server, in each direction.
    pub max_network_delay_s: f64,
    pub has_faulty_clients: bool,
    /// Whether there are clients that send a request again with the same id.
    pub has_repeating_clients: bool,
    /// Connections to each node on which nothing is ever sent.
    pub idle_connections_per_node: usize,
    /// Sessions that a server holds at most, where capacity is limited; it refuses more.
    pub server_capacity: Option<usize>,
    /// Zones of servers and nodes, and tenants that requests belong to.
    pub zone_count: usize,
    pub tenant_count: usize,
    /// Whether a stopping node gets further signals after SIGTERM.
    pub repeats_shutdown_signals: bool,
    pub probabilities: FaultProbabilities,
    /// Ordered by time, in seconds since the start of the run.
    pub faults: Vec<(f64, Fault)>,
}

impl Plan {
    /// Generates the scenario of a seed.
    pub fn from_seed(seed: u64, seconds: f64) -> Plan {
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x736f_616b);
        let nodes = rng.random_range(1..=4);
        let servers = rng.random_range(2..=7);
        let is_busy = rng.random_bool(0.25);
        let mut plan = Plan {
            seed,
            node_count: nodes,
            server_count: servers,
            length_s: seconds,
            clients_per_node: if is_busy { 24 } else { rng.random_range(4..=10) },
            requests_per_client_per_s: if is_busy { 6.0 } else { rng.random_range(1.5..4.0) },
            max_network_delay_s: [0.0, 0.002, 0.05, 0.3][rng.random_range(0..4)],
            has_faulty_clients: rng.random_bool(0.4),
            has_repeating_clients: rng.random_bool(0.4),
            idle_connections_per_node: if rng.random_bool(0.2) { 400 } else { 0 },
            server_capacity: None,
            zone_count: 1,
            tenant_count: 1,
            repeats_shutdown_signals: false,
            probabilities: probabilities(&mut rng),
            faults: Vec::new(),
        };
        // Generated separately, so that later additions don't change what a seed generated before.
        let mut additions_rng = StdRng::seed_from_u64(seed.wrapping_mul(0xd134_2543_de82_ef95) ^ 0x6d6f_7265);
        if additions_rng.random_bool(LARGE_RUN_SHARE) {
            plan.node_count = additions_rng.random_range(LARGE_RUN_NODES);
            (plan.clients_per_node, plan.requests_per_client_per_s) =
                (LARGE_RUN_CLIENTS_PER_NODE, LARGE_RUN_REQUESTS_PER_S);
            plan.idle_connections_per_node = 0;
        }
        plan.add_faults(&mut rng);
        plan.server_capacity = rng.random_bool(0.4).then(|| rng.random_range(SMALL_SERVER_CAPACITY));
        plan.add_further_faults(&mut additions_rng);
        let mut connections_rng =
            StdRng::seed_from_u64(seed.wrapping_mul(0xa076_1d64_78bd_642f) ^ 0x6c69_6e6b);
        plan.add_connection_faults(&mut connections_rng);
        plan.faults.sort_by(|a, b| a.0.total_cmp(&b.0));
        plan
    }

    /// Adds servers that take over an address, and times in which clients rest.
    fn add_connection_faults(&mut self, rng: &mut StdRng) {
        let latest = self.length_s - QUIET_END_S;
        for server in 0..self.server_count {
            let has_fault = self.faults.iter().any(|(_, fault)| match fault {
                Fault::Server { server: other, .. } | Fault::Replace { server: other, .. } => {
                    *other == server
                }
                _ => false,
            });
            if !has_fault && rng.random_bool(0.5) {
                let (ends_after, told_after) = (rng.random_range(0.3..1.5), rng.random_range(0.3..2.0));
                let at = rng.random_range(QUIET_START_S..latest);
                self.faults.push((at, Fault::Succeed { server, ends_after, told_after }));
            }
        }
        for node in 0..self.node_count {
            if rng.random_bool(0.3) {
                let seconds = rng.random_range(1.0..3.0);
                self.faults.push((rng.random_range(QUIET_START_S..latest), Fault::Rest { node, seconds }));
            }
        }
    }

    /// Adds zones, tenants, a burst of requests, repeated signals, and the faults that clients cause on their
    /// connections.
    fn add_further_faults(&mut self, rng: &mut StdRng) {
        let latest = self.length_s - QUIET_END_S;
        self.zone_count = rng.random_range(1..=3).min(self.server_count);
        self.tenant_count = rng.random_range(1..=3);
        self.repeats_shutdown_signals = rng.random_bool(0.4);
        if self.zone_count > 1 && rng.random_bool(0.4) {
            let (zone, seconds) = (rng.random_range(0..self.zone_count), rng.random_range(0.3..4.0));
            self.faults.push((rng.random_range(QUIET_START_S..latest), Fault::ZoneCut { zone, seconds }));
        }
        if rng.random_bool(0.3) {
            let requests = rng.random_range(RUSH_REQUESTS);
            self.faults.push((rng.random_range(QUIET_START_S..latest), Fault::Rush { requests }));
        }
        let mut probability = |share_of_runs: f64, max: f64| {
            if rng.random_bool(share_of_runs) {
                rng.random_range(0.2 * max..max)
            } else {
                0.0
            }
        };
        self.probabilities.client_half_closes = probability(0.5, 0.08);
        self.probabilities.client_resets = probability(0.4, 0.05);
        self.probabilities.client_sends_garbage = probability(0.5, 0.05);
        self.probabilities.ended_when_answered = probability(0.6, 0.3);
    }

    /// The zone of a server or a node.
    pub fn zone(&self, index: usize) -> String {
        format!("z{}", index % self.zone_count)
    }

    /// The tenant of a request.
    pub fn tenant(&self, id: u64) -> String {
        format!("t{}", (id >> 8) % self.tenant_count as u64)
    }

    /// Schedules faults of servers, restarts of nodes, and faults of discovery.
    fn add_faults(&mut self, rng: &mut StdRng) {
        let latest = self.length_s - QUIET_END_S;
        let time = |rng: &mut StdRng| rng.random_range(QUIET_START_S..latest);
        for _ in 0..rng.random_range(1..=3) {
            let (server, from) = (rng.random_range(0..self.server_count), time(rng));
            let mode = [Mode::Hangs, Mode::Silent, Mode::Silent, Mode::Dead][rng.random_range(0..4)];
            let length = rng.random_range(0.3..5.0);
            self.faults.push((from, Fault::Server { server, mode }));
            self.faults.push((from + length, Fault::Server { server, mode: Mode::Normal }));
        }
        // Servers with a fault of their own are not replaced.
        let has_mode_fault = |server: usize, faults: &[(f64, Fault)]| {
            faults
                .iter()
                .any(|(_, fault)| matches!(fault, Fault::Server { server: other, .. } if *other == server))
        };
        let is_replaced = |server: usize, faults: &[(f64, Fault)]| {
            faults
                .iter()
                .any(|(_, fault)| matches!(fault, Fault::Replace { server: other, .. } if *other == server))
        };
        for server in 0..self.server_count {
            if !has_mode_fault(server, &self.faults) && rng.random_bool(0.4) {
                let (gone_after, back_after) = (rng.random_range(0.6..3.0), rng.random_range(0.3..3.0));
                self.faults.push((time(rng), Fault::Replace { server, gone_after, back_after }));
            }
        }
        // Restarts follow each other; each node is restarted at most once.
        let mut at = time(rng).min(latest - 4.0).max(QUIET_START_S);
        for node in 0..self.node_count {
            match rng.random_range(0..10) {
                0..=4 => self.faults.push((at, Fault::Restart { node })),
                5 => self.faults.push((at, Fault::Kill { node })),
                _ => continue,
            }
            at = (at + rng.random_range(0.1..1.5)).min(latest);
        }
        for node in 0..self.node_count {
            let seconds = rng.random_range(0.5..6.0);
            match rng.random_range(0..6) {
                0 => {
                    let from = time(rng);
                    self.faults.push((from, Fault::DiscoveryDown { node, seconds }));
                    // A server drains at about the time when discovery returns.
                    let server = rng.random_range(0..self.server_count);
                    if !has_mode_fault(server, &self.faults) && !is_replaced(server, &self.faults) {
                        let at = (from + seconds + rng.random_range(-0.3..0.3)).clamp(QUIET_START_S, latest);
                        let (gone_after, back_after) = (rng.random_range(0.6..3.0), 1.0);
                        self.faults.push((at, Fault::Replace { server, gone_after, back_after }));
                    }
                }
                1 => self.faults.push((time(rng), Fault::DiscoverySilent { node, seconds })),
                2 => {
                    let times = rng.random_range(1..=4);
                    self.faults.push((time(rng), Fault::Reconfigure { node, times }));
                }
                _ => {}
            }
        }
    }
}

/// Each kind of fault occurs in some runs and is absent in others.
fn probabilities(rng: &mut StdRng) -> FaultProbabilities {
    let mut probability = |share_of_runs: f64, max: f64| {
        if rng.random_bool(share_of_runs) {
            rng.random_range(0.2 * max..max)
        } else {
            0.0
        }
    };
    FaultProbabilities {
        refused_full: probability(0.6, 0.1),
        refused_moot: probability(0.4, 0.05),
        failed: probability(0.4, 0.05),
        answer_lost: probability(0.5, 0.08),
        never_answered: probability(0.5, 0.08),
        late_answer: probability(0.4, 0.05),
        garbled_answer: probability(0.4, 0.04),
        duplicate_answer: probability(0.4, 0.05),
        reset_before_answer: probability(0.4, 0.04),
        close_before_answer: probability(0.4, 0.04),
        late_connection: probability(0.5, 0.3),
        early_connection_close: probability(0.5, 0.4),
        fragmented_writes: probability(0.5, 0.5),
        client_leaves: probability(0.6, 0.2),
        client_writes_slowly: probability(0.5, 0.1),
        ..FaultProbabilities::default()
    }
}

/// A number from 0 to 1 that depends on the arguments alone, so that a set-up meets the same faults in every replay.
pub fn seeded_fraction(seed: u64, a: u64, b: u64) -> f64 {
    let mut x = seed ^ a.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    for _ in 0..2 {
        x ^= x >> 30;
        x = x.wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x ^= x >> 27;
        x = x.wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^= x >> 31;
    }
    (x >> 11) as f64 / (1u64 << 53) as f64
}
