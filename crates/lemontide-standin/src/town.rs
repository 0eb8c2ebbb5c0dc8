//! A town of gossiping instances in virtual time: datagrams with delay, loss and partitions between real cores.

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

/// How a town is laid out.
#[derive(Clone, Debug)]
pub struct Plan {
    pub instances: usize,
    pub bytes_per_s: usize,
    /// Part of the datagrams that get lost.
    pub loss: f64,
    pub delay_ms: (f64, f64),
    /// How far each clock may be off, in seconds.
    pub skew_s: f64,
    pub seed: u64,
    /// All know each other from the start.
    pub acquainted: bool,
}

impl Plan {
    pub fn of(instances: usize) -> Plan {
        Plan {
            instances,
            bytes_per_s: 8 * 1024,
            loss: 0.0,
            delay_ms: (0.2, 2.0),
            skew_s: 0.0,
            seed: 1,
            acquainted: false,
        }
    }
}

struct Letter {
    at: Point,
    number: u64,
    to: usize,
    from: SocketAddr,
    bytes: Vec<u8>,
}

impl PartialEq for Letter {
    fn eq(&self, other: &Letter) -> bool {
        self.number == other.number
    }
}
impl Eq for Letter {}
impl PartialOrd for Letter {
    fn partial_cmp(&self, other: &Letter) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Letter {
    fn cmp(&self, other: &Letter) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

pub struct Town {
    pub now: Point,
    pub nodes: Vec<Node>,
    /// Instances that run; the others get and send nothing.
    pub up: Vec<bool>,
    /// Instances of different sides can't reach each other.
    pub side: Vec<u8>,
    /// One-way losses beside the plan's: from, to, part.
    pub deaf: Vec<(usize, usize, f64)>,
    pub plan: Plan,
    ring: Keyring,
    skew: Vec<Span>,
    letters: BinaryHeap<Reverse<Letter>>,
    wakes: BinaryHeap<Reverse<(Point, usize)>>,
    by_address: BTreeMap<SocketAddr, usize>,
    number: u64,
    chance: StdRng,
    /// Bytes that each instance sent in each whole second.
    pub bytes: Vec<BTreeMap<i64, usize>>,
    /// The most that any instance sent within any second.
    pub datagrams: u64,
}

pub fn name(i: usize) -> String {
    format!("i{i}")
}

/// The secret key of the instance of that number.
pub fn secret(i: usize) -> [u8; 32] {
    let mut secret = [7u8; 32];
    secret[..8].copy_from_slice(&(i as u64 + 1).to_be_bytes());
    secret
}

/// The own key of the instance of that number, as all towns give it.
pub fn own(i: usize) -> OwnKey {
    OwnKey::new(&secret(i))
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (i / 250) as u8, (i % 250 + 1) as u8], 7000))
}

fn terms(plan: &Plan, ring: &Keyring, i: usize) -> NodeConfig {
    NodeConfig {
        name: name(i),
        address: address(i),
        number: Some(i as u32),
        own_key: own(i),
        keyring: ring.clone(),
        allowed_networks: AllowedNetworks::new(&["127.0.0.0/8".parse().unwrap_or_default()]),
        seeds: (0..3.min(plan.instances)).map(address).collect(),
        timing: Timing::default(),
        bytes_per_s: plan.bytes_per_s,
        boot_id: 1,
        rng_seed: plan.seed.wrapping_mul(1000) + i as u64,
    }
}

impl Town {
    pub fn new(plan: Plan) -> Town {
        let now = Point::at(100_000.0);
        let mut ring = Keyring::default();
        for i in 0..plan.instances {
            ring.add(&name(i), &own(i).public_key()).unwrap_or_default();
        }
        let mut chance = StdRng::seed_from_u64(plan.seed);
        let skew: Vec<Span> = (0..plan.instances)
            .map(|_| Span::of(plan.skew_s * (2.0 * chance.random::<f64>() - 1.0)))
            .collect();
        let nodes: Vec<Node> =
            (0..plan.instances).map(|i| Node::new(now + skew[i], terms(&plan, &ring, i))).collect();
        let count = plan.instances;
        let mut town = Town {
            now,
            nodes,
            up: vec![true; count],
            side: vec![0; count],
            deaf: Vec::new(),
            skew,
            letters: BinaryHeap::new(),
            wakes: (0..count).map(|i| Reverse((now, i))).collect(),
            by_address: (0..count).map(|i| (address(i), i)).collect(),
            number: 0,
            chance,
            bytes: vec![BTreeMap::new(); count],
            datagrams: 0,
            ring,
            plan,
        };
        if town.plan.acquainted {
            let records: Vec<Record> = town.nodes.iter_mut().map(Node::signed_own_record).collect();
            let boots: BTreeMap<String, u64> = (0..count).map(|i| (name(i), 1)).collect();
            for i in 0..count {
                let others: Vec<Record> = records.iter().filter(|r| r.name != name(i)).cloned().collect();
                let now = town.local(i);
                town.nodes[i].preload(now, &others, &boots);
            }
        }
        town
    }

    /// The clock of an instance.
    pub fn local(&self, i: usize) -> Point {
        self.now + self.skew[i]
    }

    /// A process in the place of an instance, with another boot; it knows nothing.
    pub fn restart(&mut self, i: usize, boot: u64) {
        let plan = Plan { seed: self.plan.seed + boot, ..self.plan.clone() };
        let mut node = Node::new(self.local(i), terms(&plan, &self.ring, i));
        node.set_boot_id(boot);
        self.nodes[i] = node;
        self.up[i] = true;
        self.wakes.push(Reverse((self.now, i)));
    }

    /// The same, under another number in the fleet.
    pub fn renumber(&mut self, i: usize, number: u32) {
        let terms = NodeConfig { number: Some(number), ..terms(&self.plan, &self.ring, i) };
        self.nodes[i] = Node::new(self.local(i), terms);
        self.nodes[i].set_boot_id(2);
        self.wakes.push(Reverse((self.now, i)));
    }

    /// Calls on one instance at its own time, and posts what it has to say.
    pub fn with<T>(&mut self, i: usize, call: impl FnOnce(&mut Node, Point) -> T) -> T {
        let now = self.local(i);
        let result = call(&mut self.nodes[i], now);
        self.post(i);
        result
    }

    fn post(&mut self, i: usize) {
        for (to, bytes) in std::mem::take(&mut self.nodes[i].outbox) {
            let second = self.now.turn(Span::of_millis(1000));
            *self.bytes[i].entry(second).or_default() += bytes.len();
            self.datagrams += 1;
            let Some(to) = self.by_address.get(&to).copied() else { continue };
            let one_way =
                self.deaf.iter().filter(|(from, at, _)| *from == i && *at == to).map(|d| d.2).sum::<f64>();
            let lost = self.chance.random::<f64>() < self.plan.loss.max(one_way);
            if lost || self.side[i] != self.side[to] {
                continue;
            }
            let (least, most) = self.plan.delay_ms;
            let delay = Span::of((least + (most - least) * self.chance.random::<f64>()) / 1e3);
            self.throw(i, to, delay, bytes);
        }
    }

    /// Puts a datagram on its way to an instance, as from another.
    pub fn throw(&mut self, from: usize, to: usize, delay: Span, bytes: Vec<u8>) {
        self.number += 1;
        let letter = Letter { at: self.now + delay, number: self.number, to, from: address(from), bytes };
        self.letters.push(Reverse(letter));
    }

    /// Lets so many seconds pass.
    pub fn pass(&mut self, seconds: f64) {
        let until = self.now + Span::of(seconds);
        loop {
            let letter = self.letters.peek().map(|Reverse(letter)| letter.at);
            let wake = self.wakes.peek().map(|Reverse((at, _))| *at);
            let Some(next) = [letter, wake].into_iter().flatten().min().filter(|at| *at <= until) else {
                break;
            };
            self.now = self.now.max(next);
            if letter.is_some_and(|at| at <= next) {
                let Some(Reverse(letter)) = self.letters.pop() else { continue };
                let i = letter.to;
                if self.up[i] {
                    let now = self.local(i);
                    self.nodes[i].receive(now, letter.from, &letter.bytes);
                    self.post(i);
                }
            } else if let Some(Reverse((_, i))) = self.wakes.pop() {
                if self.up[i] {
                    let now = self.local(i);
                    self.nodes[i].tick(now);
                    self.post(i);
                    let next = self.nodes[i].next_tick_at() - now;
                    let next = self.now + next.max(Span::of_millis(10));
                    self.wakes.push(Reverse((next, i)));
                }
            }
        }
        self.now = until;
    }

    /// Pairs of running instances in which the first counts the second as alive, over all pairs.
    pub fn acquaintance(&self) -> f64 {
        let running: Vec<usize> = (0..self.nodes.len()).filter(|i| self.up[*i]).collect();
        let knows =
            |i: usize, j: usize| self.nodes[i].membership.peer(&name(j)).is_some_and(|peer| peer.is_live());
        let pairs =
            running.iter().flat_map(|i| running.iter().map(move |j| (*i, *j))).filter(|(i, j)| i != j);
        let (known, all) =
            pairs.fold((0, 0), |(known, all), (i, j)| (known + usize::from(knows(i, j)), all + 1));
        known as f64 / f64::from(all.max(1) as u32)
    }

    /// The most bytes that an instance sent in one whole second.
    pub fn most_bytes(&self) -> usize {
        self.bytes.iter().flat_map(BTreeMap::values).copied().max().unwrap_or(0)
    }

    /// Mean bytes a second and instance over all that has passed.
    pub fn mean_bytes(&self, seconds: f64) -> f64 {
        self.bytes.iter().flat_map(BTreeMap::values).sum::<usize>() as f64 / seconds / self.nodes.len() as f64
    }
}
