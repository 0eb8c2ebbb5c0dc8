//! Gossiping instances on a simulated network in virtual time: real gossip cores that exchange datagrams with delay,
//! loss and partitions.

use lemontide::clock::{Point, Span};
use lemontide_gossip::authentication::{AllowedNetworks, Keyring, OwnKey};
use lemontide_gossip::membership::Timing;
use lemontide_gossip::message::Record;
use lemontide_gossip::node::{Node, NodeConfig};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

/// Configuration of a simulated network.
#[derive(Clone, Debug)]
pub struct NetworkConfig {
    /// Number of instances.
    pub instances: usize,
    /// Byte budget of each instance.
    pub bytes_per_s: usize,
    /// Part of the datagrams that get lost.
    pub loss: f64,
    /// Least and largest delay of a datagram.
    pub delay_ms: (f64, f64),
    /// How far each instance's clock can be off, in either direction.
    pub max_clock_skew_s: f64,
    /// Seed of all random choices.
    pub seed: u64,
    /// All instances know each other from the start.
    pub preloaded: bool,
}

impl NetworkConfig {
    /// A network of so many instances, without loss and clock skew.
    pub fn of(instances: usize) -> NetworkConfig {
        NetworkConfig {
            instances,
            bytes_per_s: 8 * 1024,
            loss: 0.0,
            delay_ms: (0.2, 2.0),
            max_clock_skew_s: 0.0,
            seed: 1,
            preloaded: false,
        }
    }
}

/// A datagram in flight, ordered by arrival.
struct InFlight {
    arrives_at: Point,
    number: u64,
    to: usize,
    from: SocketAddr,
    bytes: Vec<u8>,
}

impl PartialEq for InFlight {
    fn eq(&self, other: &InFlight) -> bool {
        self.number == other.number
    }
}
impl Eq for InFlight {}
impl PartialOrd for InFlight {
    fn partial_cmp(&self, other: &InFlight) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for InFlight {
    fn cmp(&self, other: &InFlight) -> std::cmp::Ordering {
        (self.arrives_at, self.number).cmp(&(other.arrives_at, other.number))
    }
}

/// A simulated network of gossiping instances.
pub struct SimulatedNetwork {
    /// The virtual time.
    pub now: Point,
    /// The instances.
    pub nodes: Vec<Node>,
    /// Which instances are running; the others send and receive nothing.
    pub running: Vec<bool>,
    /// The partition that each instance is in. Instances in different partitions can't reach each other.
    pub partition: Vec<u8>,
    /// Losses in one direction beside the configured one: sender, receiver, part of the datagrams.
    pub one_way_losses: Vec<(usize, usize, f64)>,
    /// The configuration.
    pub config: NetworkConfig,
    keyring: Keyring,
    clock_skew: Vec<Span>,
    in_flight: BinaryHeap<Reverse<InFlight>>,
    /// When each instance's `tick` is called next.
    timers: BinaryHeap<Reverse<(Point, usize)>>,
    by_address: BTreeMap<SocketAddr, usize>,
    last_number: u64,
    rng: StdRng,
    /// Bytes that each instance sent, by whole second.
    pub bytes: Vec<BTreeMap<i64, usize>>,
    /// Datagrams that all instances sent.
    pub datagrams: u64,
}

/// Name of the instance with this number.
pub fn instance_name(i: usize) -> String {
    format!("i{i}")
}

/// Secret key of the instance with this number.
pub fn secret_key(i: usize) -> [u8; 32] {
    let mut secret = [7u8; 32];
    secret[..8].copy_from_slice(&(i as u64 + 1).to_be_bytes());
    secret
}

/// Signing key of the instance with this number, the same in all networks.
pub fn signing_key(i: usize) -> OwnKey {
    OwnKey::new(&secret_key(i))
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (i / 250) as u8, (i % 250 + 1) as u8], 7000))
}

fn node_config(config: &NetworkConfig, keyring: &Keyring, i: usize) -> NodeConfig {
    NodeConfig {
        name: instance_name(i),
        address: address(i),
        number: Some(i as u32),
        own_key: signing_key(i),
        keyring: keyring.clone(),
        allowed_networks: AllowedNetworks::new(&["127.0.0.0/8".parse().unwrap_or_default()]),
        seeds: (0..3.min(config.instances)).map(address).collect(),
        timing: Timing::default(),
        bytes_per_s: config.bytes_per_s,
        boot_id: 1,
        rng_seed: config.seed.wrapping_mul(1000) + i as u64,
    }
}

impl SimulatedNetwork {
    /// A network in which all instances have just started.
    pub fn new(config: NetworkConfig) -> SimulatedNetwork {
        let now = Point::at(100_000.0);
        let mut keyring = Keyring::default();
        for i in 0..config.instances {
            keyring.add(&instance_name(i), &signing_key(i).public_key()).unwrap_or_default();
        }
        let mut rng = StdRng::seed_from_u64(config.seed);
        let clock_skew: Vec<Span> = (0..config.instances)
            .map(|_| Span::of(config.max_clock_skew_s * (2.0 * rng.random::<f64>() - 1.0)))
            .collect();
        let nodes: Vec<Node> = (0..config.instances)
            .map(|i| Node::new(now + clock_skew[i], node_config(&config, &keyring, i)))
            .collect();
        let count = config.instances;
        let mut network = SimulatedNetwork {
            now,
            nodes,
            running: vec![true; count],
            partition: vec![0; count],
            one_way_losses: Vec::new(),
            clock_skew,
            in_flight: BinaryHeap::new(),
            timers: (0..count).map(|i| Reverse((now, i))).collect(),
            by_address: (0..count).map(|i| (address(i), i)).collect(),
            last_number: 0,
            rng,
            bytes: vec![BTreeMap::new(); count],
            datagrams: 0,
            keyring,
            config,
        };
        if network.config.preloaded {
            let records: Vec<Record> = network.nodes.iter_mut().map(Node::signed_own_record).collect();
            let boot_ids: BTreeMap<String, u64> = (0..count).map(|i| (instance_name(i), 1)).collect();
            for i in 0..count {
                let others: Vec<Record> =
                    records.iter().filter(|r| r.name != instance_name(i)).cloned().collect();
                let now = network.local_time(i);
                network.nodes[i].preload(now, &others, &boot_ids);
            }
        }
        network
    }

    /// The time on an instance's clock.
    pub fn local_time(&self, i: usize) -> Point {
        self.now + self.clock_skew[i]
    }

    /// Starts a new process of an instance, with another boot id and without any state.
    pub fn restart(&mut self, i: usize, boot_id: u64) {
        let config = NetworkConfig { seed: self.config.seed + boot_id, ..self.config.clone() };
        let mut node = Node::new(self.local_time(i), node_config(&config, &self.keyring, i));
        node.set_boot_id(boot_id);
        self.nodes[i] = node;
        self.running[i] = true;
        self.timers.push(Reverse((self.now, i)));
    }

    /// Starts a new process of an instance under another number in the fleet.
    pub fn restart_with_number(&mut self, i: usize, number: u32) {
        let config = NodeConfig { number: Some(number), ..node_config(&self.config, &self.keyring, i) };
        self.nodes[i] = Node::new(self.local_time(i), config);
        self.nodes[i].set_boot_id(2);
        self.timers.push(Reverse((self.now, i)));
    }

    /// Calls a function on one instance at its local time, and sends the datagrams that it leaves in the outbox.
    pub fn with_node<T>(&mut self, i: usize, call: impl FnOnce(&mut Node, Point) -> T) -> T {
        let now = self.local_time(i);
        let result = call(&mut self.nodes[i], now);
        self.send_outbox(i);
        result
    }

    fn send_outbox(&mut self, i: usize) {
        for (to, bytes) in std::mem::take(&mut self.nodes[i].outbox) {
            let second = self.now.turn(Span::of_millis(1000));
            *self.bytes[i].entry(second).or_default() += bytes.len();
            self.datagrams += 1;
            let Some(to) = self.by_address.get(&to).copied() else { continue };
            let one_way_loss = self
                .one_way_losses
                .iter()
                .filter(|(from, at, _)| *from == i && *at == to)
                .map(|d| d.2)
                .sum::<f64>();
            let lost = self.rng.random::<f64>() < self.config.loss.max(one_way_loss);
            if lost || self.partition[i] != self.partition[to] {
                continue;
            }
            let (least, most) = self.config.delay_ms;
            let delay = Span::of((least + (most - least) * self.rng.random::<f64>()) / 1e3);
            self.inject(i, to, delay, bytes);
        }
    }

    /// Puts a datagram in flight to an instance, as from another one.
    pub fn inject(&mut self, from: usize, to: usize, delay: Span, bytes: Vec<u8>) {
        self.last_number += 1;
        let datagram = InFlight {
            arrives_at: self.now + delay,
            number: self.last_number,
            to,
            from: address(from),
            bytes,
        };
        self.in_flight.push(Reverse(datagram));
    }

    /// Advances the virtual time.
    pub fn advance(&mut self, seconds: f64) {
        let until = self.now + Span::of(seconds);
        loop {
            let arrival = self.in_flight.peek().map(|Reverse(datagram)| datagram.arrives_at);
            let timer = self.timers.peek().map(|Reverse((at, _))| *at);
            let Some(next) = [arrival, timer].into_iter().flatten().min().filter(|at| *at <= until) else {
                break;
            };
            self.now = self.now.max(next);
            if arrival.is_some_and(|at| at <= next) {
                let Some(Reverse(datagram)) = self.in_flight.pop() else { continue };
                let i = datagram.to;
                if self.running[i] {
                    let now = self.local_time(i);
                    self.nodes[i].receive(now, datagram.from, &datagram.bytes);
                    self.send_outbox(i);
                }
            } else if let Some(Reverse((_, i))) = self.timers.pop() {
                if self.running[i] {
                    let now = self.local_time(i);
                    self.nodes[i].tick(now);
                    self.send_outbox(i);
                    let next = self.nodes[i].next_tick_at() - now;
                    let next = self.now + next.max(Span::of_millis(10));
                    self.timers.push(Reverse((next, i)));
                }
            }
        }
        self.now = until;
    }

    /// Part of all ordered pairs of running instances in which the first counts the second as alive.
    pub fn known_pair_ratio(&self) -> f64 {
        let running: Vec<usize> = (0..self.nodes.len()).filter(|i| self.running[*i]).collect();
        let knows = |i: usize, j: usize| {
            self.nodes[i].membership.peer(&instance_name(j)).is_some_and(|peer| peer.is_live())
        };
        let pairs =
            running.iter().flat_map(|i| running.iter().map(move |j| (*i, *j))).filter(|(i, j)| i != j);
        let (known, all) =
            pairs.fold((0, 0), |(known, all), (i, j)| (known + usize::from(knows(i, j)), all + 1));
        known as f64 / f64::from(all.max(1) as u32)
    }

    /// Most bytes that an instance sent in one whole second.
    pub fn max_bytes_in_a_second(&self) -> usize {
        self.bytes.iter().flat_map(BTreeMap::values).copied().max().unwrap_or(0)
    }

    /// Mean bytes per second and instance; `seconds` is the time that has passed.
    pub fn mean_bytes_per_second(&self, seconds: f64) -> f64 {
        self.bytes.iter().flat_map(BTreeMap::values).sum::<usize>() as f64 / seconds / self.nodes.len() as f64
    }
}
