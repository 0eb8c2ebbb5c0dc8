//! What one run does, drawn from its seed alone: sizes, odds and the script of events.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Quiet time at the start and at the end of a run, in seconds.
const QUIET_START: f64 = 1.5;
const QUIET_END: f64 = 4.0;
/// Sessions that a small server holds.
const PLACES: std::ops::RangeInclusive<usize> = 20..=200;
/// A large run: the part of the seeds, its nodes, and clients' connections to each and requests a second on each.
const LARGE_PART: f64 = 0.12;
const LARGE_NODES: std::ops::RangeInclusive<usize> = 12..=32;
const LARGE_CONNECTIONS: usize = 3;
const LARGE_REQUESTS_PER_S: f64 = 1.0;
/// Requests that each client sends at once in a rush.
const RUSH: std::ops::RangeInclusive<usize> = 5..=20;

/// How a server treats what comes to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Normal,
    /// It takes set-ups, reads everything and passes tests, and answers no set-up.
    Hangs,
    /// Nothing passes in either direction; what waits passes when it is over.
    Silent,
    /// Its process is dead: connections are reset and refused.
    Dead,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Server {
        server: usize,
        mode: Mode,
    },
    /// Drains, then dies and is gone, then is back as a new process.
    Replace {
        server: usize,
        gone_after: f64,
        back_after: f64,
    },
    /// SIGTERM, SIGKILL at the earliest moment that is allowed, and a new process.
    Restart {
        node: usize,
    },
    /// SIGKILL without a warning, and a new process.
    Kill {
        node: usize,
    },
    /// Discovery of a node refuses connections and closes the open ones for a while.
    DiscoveryDown {
        node: usize,
        seconds: f64,
    },
    /// Open connections to discovery fall silent; new ones tell.
    DiscoverySilent {
        node: usize,
        seconds: f64,
    },
    /// New configurations, so many in quick succession.
    Reconfigure {
        node: usize,
        times: usize,
    },
    /// Nothing passes to or from the servers of a zone for a while.
    ZoneCut {
        zone: usize,
        seconds: f64,
    },
    /// Every client of every node sends so many requests at once.
    Rush {
        requests: usize,
    },
}

/// Chances of what happens to one set-up or connection.
#[derive(Clone, Debug, Default)]
pub struct Odds {
    pub refused: f64,
    pub moot: f64,
    pub error: f64,
    pub answer_lost: f64,
    pub never_answered: f64,
    pub late_answer: f64,
    pub spoilt: f64,
    pub twice: f64,
    pub reset_under: f64,
    pub close_under: f64,
    /// Of a connection to a server: comes up late, is closed early, says things in pieces.
    pub late_connection: f64,
    pub early_close: f64,
    pub pieces: f64,
    /// Of a request: its client cancels or closes early, or writes slowly.
    pub leaves: f64,
    pub slow_writer: f64,
    /// Of a request: behind it its client closes its half of the connection, resets it, or sends what can't be read.
    pub half_closes: f64,
    pub resets: f64,
    pub spoils_own: f64,
    /// Of a session: its viewer ends it as the answer comes, on a clock.
    pub ends_as_answered: f64,
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub nodes: usize,
    pub servers: usize,
    pub seconds: f64,
    /// Clients' connections to each node, and requests a second on each.
    pub connections: usize,
    pub requests_per_s: f64,
    /// The longest delay of a connection to a server in each direction, in seconds.
    pub delay_most: f64,
    pub faulty_clients: bool,
    /// Clients that send a request again under its number.
    pub repeaters: bool,
    /// Connections to each node that say nothing.
    pub idle_connections: usize,
    /// Sessions that a server holds at most, where servers are small; it refuses more.
    pub places: Option<usize>,
    /// Zones of servers and nodes, and tenants of requests.
    pub zones: usize,
    pub tenants: usize,
    /// A stopping node gets more signals than the one.
    pub signals_in_series: bool,
    pub odds: Odds,
    /// By time, in seconds since the start.
    pub events: Vec<(f64, Event)>,
}

impl Plan {
    pub fn draw(seed: u64, seconds: f64) -> Plan {
        let mut chance = StdRng::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x736f_616b);
        let nodes = chance.random_range(1..=4);
        let servers = chance.random_range(2..=7);
        let is_crowd = chance.random_bool(0.25);
        let mut plan = Plan {
            seed,
            nodes,
            servers,
            seconds,
            connections: if is_crowd { 24 } else { chance.random_range(4..=10) },
            requests_per_s: if is_crowd { 6.0 } else { chance.random_range(1.5..4.0) },
            delay_most: [0.0, 0.002, 0.05, 0.3][chance.random_range(0..4)],
            faulty_clients: chance.random_bool(0.4),
            repeaters: chance.random_bool(0.4),
            idle_connections: if chance.random_bool(0.2) { 400 } else { 0 },
            places: None,
            zones: 1,
            tenants: 1,
            signals_in_series: false,
            odds: odds(&mut chance),
            events: Vec::new(),
        };
        // Drawn apart, so that what a seed played before is still in it.
        let mut further = StdRng::seed_from_u64(seed.wrapping_mul(0xd134_2543_de82_ef95) ^ 0x6d6f_7265);
        if further.random_bool(LARGE_PART) {
            plan.nodes = further.random_range(LARGE_NODES);
            (plan.connections, plan.requests_per_s) = (LARGE_CONNECTIONS, LARGE_REQUESTS_PER_S);
            plan.idle_connections = 0;
        }
        plan.draw_events(&mut chance);
        plan.places = chance.random_bool(0.4).then(|| chance.random_range(PLACES));
        plan.draw_further(&mut further);
        plan.events.sort_by(|a, b| a.0.total_cmp(&b.0));
        plan
    }

    /// Zones, tenants, a rush, signals in series, and what clients do to their own connections.
    fn draw_further(&mut self, chance: &mut StdRng) {
        let last = self.seconds - QUIET_END;
        self.zones = chance.random_range(1..=3).min(self.servers);
        self.tenants = chance.random_range(1..=3);
        self.signals_in_series = chance.random_bool(0.4);
        if self.zones > 1 && chance.random_bool(0.4) {
            let (zone, seconds) = (chance.random_range(0..self.zones), chance.random_range(0.3..4.0));
            self.events.push((chance.random_range(QUIET_START..last), Event::ZoneCut { zone, seconds }));
        }
        if chance.random_bool(0.3) {
            let requests = chance.random_range(RUSH);
            self.events.push((chance.random_range(QUIET_START..last), Event::Rush { requests }));
        }
        let mut of = |share: f64, most: f64| {
            if chance.random_bool(share) {
                chance.random_range(0.2 * most..most)
            } else {
                0.0
            }
        };
        self.odds.half_closes = of(0.5, 0.08);
        self.odds.resets = of(0.4, 0.05);
        self.odds.spoils_own = of(0.5, 0.05);
        self.odds.ends_as_answered = of(0.6, 0.3);
    }

    /// The zone of a server or a node.
    pub fn zone(&self, at: usize) -> String {
        format!("z{}", at % self.zones)
    }

    /// The tenant of a request.
    pub fn tenant(&self, id: u64) -> String {
        format!("t{}", (id >> 8) % self.tenants as u64)
    }

    fn draw_events(&mut self, chance: &mut StdRng) {
        let last = self.seconds - QUIET_END;
        let time = |chance: &mut StdRng| chance.random_range(QUIET_START..last);
        for _ in 0..chance.random_range(1..=3) {
            let (server, from) = (chance.random_range(0..self.servers), time(chance));
            let mode = [Mode::Hangs, Mode::Silent, Mode::Silent, Mode::Dead][chance.random_range(0..4)];
            let length = chance.random_range(0.3..5.0);
            self.events.push((from, Event::Server { server, mode }));
            self.events.push((from + length, Event::Server { server, mode: Mode::Normal }));
        }
        // Servers that are replaced are others than those with a trouble of their own, where there are enough.
        let troubled = |server: usize, events: &[(f64, Event)]| {
            events.iter().any(|(_, event)| matches!(event, Event::Server { server: of, .. } if *of == server))
        };
        let replaced = |server: usize, events: &[(f64, Event)]| {
            events
                .iter()
                .any(|(_, event)| matches!(event, Event::Replace { server: of, .. } if *of == server))
        };
        for server in 0..self.servers {
            if !troubled(server, &self.events) && chance.random_bool(0.4) {
                let (gone_after, back_after) = (chance.random_range(0.6..3.0), chance.random_range(0.3..3.0));
                self.events.push((time(chance), Event::Replace { server, gone_after, back_after }));
            }
        }
        // Restarts come in series, each node once.
        let mut at = time(chance).min(last - 4.0).max(QUIET_START);
        for node in 0..self.nodes {
            match chance.random_range(0..10) {
                0..=4 => self.events.push((at, Event::Restart { node })),
                5 => self.events.push((at, Event::Kill { node })),
                _ => continue,
            }
            at = (at + chance.random_range(0.1..1.5)).min(last);
        }
        for node in 0..self.nodes {
            let seconds = chance.random_range(0.5..6.0);
            match chance.random_range(0..6) {
                0 => {
                    let from = time(chance);
                    self.events.push((from, Event::DiscoveryDown { node, seconds }));
                    // Something drains close to its return.
                    let server = chance.random_range(0..self.servers);
                    if !troubled(server, &self.events) && !replaced(server, &self.events) {
                        let at = (from + seconds + chance.random_range(-0.3..0.3)).clamp(QUIET_START, last);
                        let (gone_after, back_after) = (chance.random_range(0.6..3.0), 1.0);
                        self.events.push((at, Event::Replace { server, gone_after, back_after }));
                    }
                }
                1 => self.events.push((time(chance), Event::DiscoverySilent { node, seconds })),
                2 => {
                    let times = chance.random_range(1..=4);
                    self.events.push((time(chance), Event::Reconfigure { node, times }));
                }
                _ => {}
            }
        }
    }
}

/// Each kind of trouble is there in some runs and absent in others.
fn odds(chance: &mut StdRng) -> Odds {
    let mut of = |share: f64, most: f64| {
        if chance.random_bool(share) {
            chance.random_range(0.2 * most..most)
        } else {
            0.0
        }
    };
    Odds {
        refused: of(0.6, 0.1),
        moot: of(0.4, 0.05),
        error: of(0.4, 0.05),
        answer_lost: of(0.5, 0.08),
        never_answered: of(0.5, 0.08),
        late_answer: of(0.4, 0.05),
        spoilt: of(0.4, 0.04),
        twice: of(0.4, 0.05),
        reset_under: of(0.4, 0.04),
        close_under: of(0.4, 0.04),
        late_connection: of(0.5, 0.3),
        early_close: of(0.5, 0.4),
        pieces: of(0.5, 0.5),
        leaves: of(0.6, 0.2),
        slow_writer: of(0.5, 0.1),
        ..Odds::default()
    }
}

/// A number from 0 to 1 that depends on these alone, so that what happens to a set-up is the same in every replay.
pub fn draw(seed: u64, a: u64, b: u64) -> f64 {
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
