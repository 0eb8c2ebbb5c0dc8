//! Exhaustive exploration of the membership core: all orders of deliveries, losses and clock advances in a small
//! cluster, up to a depth. Each explored state must then converge once nothing is lost any more.

use lemontide::clock::{Point, Span};
use lemontide_gossip::membership::{Action, Membership, PeerStatus, Timing, Update};
use lemontide_gossip::message::{Record, Suspicion};
use std::collections::hash_map::DefaultHasher;
use std::collections::HashSet;
use std::hash::{Hash, Hasher};

#[derive(Clone, Debug)]
enum Kind {
    Ping(u64),
    Ack(u64),
    PingReq(String, u64),
    Sync(bool),
}

#[derive(Clone, Debug)]
struct Datagram {
    from: usize,
    to: usize,
    kind: Kind,
    records: Vec<Record>,
    suspicions: Vec<Suspicion>,
}

#[derive(Clone)]
struct Cluster {
    now: Point,
    nodes: Vec<Membership>,
    in_flight: Vec<Datagram>,
    /// Datagrams that may still be lost.
    losses_left: u32,
}

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

fn index_of(name: &str) -> usize {
    NAMES.iter().position(|n| *n == name).expect("a member of the cluster")
}

impl Cluster {
    fn new(count: usize, losses: u32) -> Cluster {
        let now = Point::at(1000.0);
        let node = |i: usize| Membership::new(now, Timing::default(), NAMES[i], NAMES[i], i as u64 + 1);
        let nodes = (0..count).map(node).collect();
        let mut cluster = Cluster { now, nodes, in_flight: Vec::new(), losses_left: losses };
        let records: Vec<Record> = cluster.nodes.iter().map(|node| node.own_record.clone()).collect();
        for node in &mut cluster.nodes {
            node.set_signature(Vec::new());
            records.iter().for_each(|record| node.on_record(now, record));
            // All members know each other, and no update is pending.
            (0..40).for_each(|_| node.take_updates(|_| true));
        }
        cluster
    }

    fn send_actions(&mut self, at: usize) {
        if self.nodes[at].needs_signature {
            self.nodes[at].set_signature(Vec::new());
        }
        for action in std::mem::take(&mut self.nodes[at].actions) {
            let (to, kind) = match action {
                Action::Ping { to, nonce } => (to, Kind::Ping(nonce)),
                Action::Ack { to, nonce } => (to, Kind::Ack(nonce)),
                Action::PingReq { to, target, nonce } => (to, Kind::PingReq(target, nonce)),
                Action::Sync { to } => (to, Kind::Sync(true)),
            };
            self.send(at, index_of(&to), kind);
        }
    }

    fn send(&mut self, from: usize, to: usize, kind: Kind) {
        let node = &mut self.nodes[from];
        let mut records = Vec::new();
        if matches!(kind, Kind::Sync(_)) {
            records.extend(node.sample_records(4));
        }
        let mut suspicions: Vec<Suspicion> = node.suspicion_about(NAMES[to]).into_iter().collect();
        node.take_updates(|update| {
            match update {
                Update::Record(record) => records.push(record.clone()),
                Update::Suspicion(suspicion) => suspicions.push(suspicion.clone()),
            }
            true
        });
        self.in_flight.push(Datagram { from, to, kind, records, suspicions });
    }

    fn deliver(&mut self, i: usize) {
        let datagram = self.in_flight.remove(i);
        let (now, from) = (self.now, NAMES[datagram.from]);
        let node = &mut self.nodes[datagram.to];
        datagram.records.iter().for_each(|record| node.on_record(now, record));
        node.on_message_from(now, from);
        datagram.suspicions.iter().for_each(|suspicion| node.on_suspicion(now, suspicion));
        match datagram.kind {
            Kind::Ping(nonce) => node.on_ping(from, nonce),
            Kind::Ack(nonce) => node.on_ack(from, nonce),
            Kind::PingReq(target, nonce) => node.on_ping_req(now, from, &target, nonce),
            Kind::Sync(true) => self.send(datagram.to, datagram.from, Kind::Sync(false)),
            Kind::Sync(false) => {}
        }
        self.send_actions(datagram.to);
    }

    fn advance(&mut self, span: Span) {
        self.now = self.now + span;
        for at in 0..self.nodes.len() {
            self.nodes[at].tick(self.now);
            self.send_actions(at);
        }
    }

    fn state_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{:?}{:?}{}", self.nodes, self.in_flight, self.losses_left).hash(&mut hasher);
        self.now.hash_into(&mut hasher);
        hasher.finish()
    }

    /// Checks what must hold after every step, compared with the state before it.
    fn check_step_from(&self, before: &Cluster) {
        for (node, was) in self.nodes.iter().zip(&before.nodes) {
            assert!(
                node.own_record.incarnation >= was.own_record.incarnation,
                "an own incarnation decreased"
            );
            for (name, peer) in node.peers() {
                let was = was.peer(name).map_or(0, |peer| peer.record.incarnation);
                assert!(peer.record.incarnation >= was, "a known incarnation decreased");
                if peer.record.incarnation > 0 {
                    // A refuted suspicion never comes back, whichever members repeat it.
                    let mut again = node.clone();
                    for accuser in ["x", "y", "z"] {
                        let refuted = Suspicion {
                            accuser: accuser.into(),
                            name: name.clone(),
                            incarnation: peer.record.incarnation - 1,
                            signature: Vec::new(),
                        };
                        again.on_suspicion(self.now, &refuted);
                    }
                    let status = &again.peer(name).expect("the member is known").status;
                    assert_eq!(*status, peer.status, "a refuted suspicion came back");
                }
            }
        }
    }

    /// Loses nothing from here on: before long all members must count all others as alive.
    fn assert_converges(mut self) {
        for _ in 0..400 {
            while !self.in_flight.is_empty() {
                self.deliver(0);
            }
            self.advance(Span::of_millis(250));
        }
        for node in &self.nodes {
            for other in &self.nodes {
                let (name, other) = (&node.own_record.name, &other.own_record.name);
                let status = node.peer(other).map(|peer| &peer.status);
                assert!(
                    name == other || status == Some(&PeerStatus::Alive),
                    "{name} counts {other} as {status:?}"
                );
            }
        }
    }
}

trait HashInto {
    fn hash_into(&self, hasher: &mut DefaultHasher);
}

impl HashInto for Point {
    fn hash_into(&self, hasher: &mut DefaultHasher) {
        self.turn(Span::of_millis(1)).hash(hasher);
    }
}

struct Explorer {
    seen: HashSet<u64>,
    ends: usize,
    /// Ends up to this number are all checked, beyond it every seventh.
    fully_checked_ends: usize,
}

impl Explorer {
    fn explore(&mut self, cluster: &Cluster, depth: u32) {
        if !self.seen.insert(cluster.state_hash()) {
            return;
        }
        if depth == 0 {
            self.ends += 1;
            if self.ends <= self.fully_checked_ends || self.ends.is_multiple_of(7) {
                cluster.clone().assert_converges();
            }
            return;
        }
        for i in 0..cluster.in_flight.len().min(3) {
            let mut next = cluster.clone();
            next.deliver(i);
            next.check_step_from(cluster);
            self.explore(&next, depth - 1);
            if cluster.losses_left > 0 {
                let mut next = cluster.clone();
                next.in_flight.remove(i);
                next.losses_left -= 1;
                self.explore(&next, depth - 1);
            }
        }
        for ms in [250, 2500] {
            let mut next = cluster.clone();
            next.advance(Span::of_millis(ms));
            next.check_step_from(cluster);
            self.explore(&next, depth - 1);
        }
    }
}

#[test]
fn every_order_of_events_in_a_small_cluster_keeps_the_invariants_and_converges() {
    let mut explorer = Explorer { seen: HashSet::new(), ends: 0, fully_checked_ends: 40 };
    let mut cluster = Cluster::new(3, 3);
    // Probes are in flight when the exploration begins.
    cluster.advance(Span::of_millis(1000));
    explorer.explore(&cluster, 6);
    assert!(explorer.ends > 300, "{} ends in {} states", explorer.ends, explorer.seen.len());
}

#[test]
fn a_member_that_counted_as_dead_returns_with_and_without_a_restart() {
    // b is cut off until the others count it as dead; in the second run it also restarts at an old incarnation.
    for restarts in [false, true] {
        let mut cluster = Cluster::new(4, 0);
        for _ in 0..200 {
            while let Some(i) = (0..cluster.in_flight.len())
                .find(|i| cluster.in_flight[*i].from != 1 && cluster.in_flight[*i].to != 1)
            {
                cluster.deliver(i);
            }
            cluster.in_flight.clear();
            cluster.advance(Span::of_millis(250));
        }
        let dead = |status: &PeerStatus| matches!(status, PeerStatus::Dead { .. });
        assert!(cluster.nodes[0].peer("b").is_some_and(|peer| dead(&peer.status)));
        if restarts {
            let mut restarted = Membership::new(cluster.now, Timing::default(), "b", "b", 99);
            restarted.set_signature(Vec::new());
            restarted.on_record(cluster.now, &cluster.nodes[0].own_record.clone());
            cluster.nodes[1] = restarted;
        }
        cluster.assert_converges();
    }
}
