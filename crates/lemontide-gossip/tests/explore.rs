//! The membership core, explored: every order of a small case's events, losses among them, and after each end a
//! fair stretch in which all must find each other again.

use lemontide::clock::{Point, Span};
use lemontide_gossip::membership::{Action, Membership, PeerStatus, Timing, Update};
use lemontide_gossip::message::{Record, Suspicion};
use std::collections::hash_map::DefaultHasher;
use std::collections::HashSet;
use std::hash::{Hash, Hasher};

#[derive(Clone, Debug)]
enum Word {
    Ping(u64),
    Ack(u64),
    PingReq(String, u64),
    Sync(bool),
}

#[derive(Clone, Debug)]
struct Letter {
    from: usize,
    to: usize,
    word: Word,
    records: Vec<Record>,
    suspicions: Vec<Suspicion>,
}

#[derive(Clone)]
struct Case {
    now: Point,
    nodes: Vec<Membership>,
    letters: Vec<Letter>,
    drops: u32,
}

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

fn place(name: &str) -> usize {
    NAMES.iter().position(|n| *n == name).expect("only these speak")
}

impl Case {
    fn new(count: usize, drops: u32) -> Case {
        let now = Point::at(1000.0);
        let node = |i: usize| Membership::new(now, Timing::default(), NAMES[i], NAMES[i], i as u64 + 1);
        let mut case = Case { now, nodes: (0..count).map(node).collect(), letters: Vec::new(), drops };
        let records: Vec<Record> = case.nodes.iter().map(|node| node.own_record.clone()).collect();
        for node in &mut case.nodes {
            node.set_signature(Vec::new());
            records.iter().for_each(|record| node.on_record(now, record));
            // They have known each other for long: nothing is left to be passed on.
            (0..40).for_each(|_| node.take_updates(|_| true));
        }
        case
    }

    fn collect(&mut self, at: usize) {
        if self.nodes[at].needs_signature {
            self.nodes[at].set_signature(Vec::new());
        }
        for act in std::mem::take(&mut self.nodes[at].actions) {
            let (to, word) = match act {
                Action::Ping { to, nonce } => (to, Word::Ping(nonce)),
                Action::Ack { to, nonce } => (to, Word::Ack(nonce)),
                Action::PingReq { to, target, nonce } => (to, Word::PingReq(target, nonce)),
                Action::Sync { to } => (to, Word::Sync(true)),
            };
            self.post(at, place(&to), word);
        }
    }

    fn post(&mut self, from: usize, to: usize, word: Word) {
        let node = &mut self.nodes[from];
        let mut records = Vec::new();
        if matches!(word, Word::Sync(_)) {
            records.extend(node.sample_records(4));
        }
        let mut suspicions: Vec<Suspicion> = node.suspicion_about(NAMES[to]).into_iter().collect();
        node.take_updates(|rumour| {
            match rumour {
                Update::Record(record) => records.push(record.clone()),
                Update::Suspicion(suspicion) => suspicions.push(suspicion.clone()),
            }
            true
        });
        self.letters.push(Letter { from, to, word, records, suspicions });
    }

    fn deliver(&mut self, i: usize) {
        let letter = self.letters.remove(i);
        let (now, from) = (self.now, NAMES[letter.from]);
        let node = &mut self.nodes[letter.to];
        letter.records.iter().for_each(|record| node.on_record(now, record));
        node.on_message_from(now, from);
        letter.suspicions.iter().for_each(|suspicion| node.on_suspicion(now, suspicion));
        match letter.word {
            Word::Ping(nonce) => node.on_ping(from, nonce),
            Word::Ack(nonce) => node.on_ack(from, nonce),
            Word::PingReq(target, nonce) => node.on_ping_req(now, from, &target, nonce),
            Word::Sync(true) => self.post(letter.to, letter.from, Word::Sync(false)),
            Word::Sync(false) => {}
        }
        self.collect(letter.to);
    }

    fn pass(&mut self, span: Span) {
        self.now = self.now + span;
        for at in 0..self.nodes.len() {
            self.nodes[at].tick(self.now);
            self.collect(at);
        }
    }

    fn key(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{:?}{:?}{}", self.nodes, self.letters, self.drops).hash(&mut hasher);
        self.now.hash_into(&mut hasher);
        hasher.finish()
    }

    /// What must hold in every step, against the one before.
    fn holds_after(&self, before: &Case) {
        for (node, was) in self.nodes.iter().zip(&before.nodes) {
            assert!(node.own_record.incarnation >= was.own_record.incarnation, "an incarnation fell");
            for (name, peer) in node.peers() {
                let was = was.peer(name).map_or(0, |peer| peer.record.incarnation);
                assert!(peer.record.incarnation >= was, "what is known of an incarnation fell");
                if peer.record.incarnation > 0 {
                    // A refuted suspicion never comes back, whoever repeats it.
                    let mut again = node.clone();
                    for accuser in ["x", "y", "z"] {
                        let old = Suspicion {
                            accuser: accuser.into(),
                            name: name.clone(),
                            incarnation: peer.record.incarnation - 1,
                            signature: Vec::new(),
                        };
                        again.on_suspicion(self.now, &old);
                    }
                    let status = &again.peer(name).expect("it is there").status;
                    assert_eq!(*status, peer.status, "an answered suspicion came back");
                }
            }
        }
    }

    /// From here on nothing is lost: all must count all as alive before long.
    fn heals(mut self) {
        for _ in 0..400 {
            while !self.letters.is_empty() {
                self.deliver(0);
            }
            self.pass(Span::of_millis(250));
        }
        for node in &self.nodes {
            for other in &self.nodes {
                let status = node.peer(&other.own_record.name).map(|peer| &peer.status);
                let fine =
                    node.own_record.name == other.own_record.name || status == Some(&PeerStatus::Alive);
                assert!(fine, "{} counts {} as {status:?}", node.own_record.name, other.own_record.name);
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
    ends_most: usize,
}

impl Explorer {
    fn explore(&mut self, case: &Case, depth: u32) {
        if !self.seen.insert(case.key()) {
            return;
        }
        if depth == 0 {
            self.ends += 1;
            // Every end is checked up to a number; beyond it every seventh.
            if self.ends <= self.ends_most || self.ends.is_multiple_of(7) {
                case.clone().heals();
            }
            return;
        }
        for i in 0..case.letters.len().min(3) {
            let mut next = case.clone();
            next.deliver(i);
            next.holds_after(case);
            self.explore(&next, depth - 1);
            if case.drops > 0 {
                let mut next = case.clone();
                next.letters.remove(i);
                next.drops -= 1;
                self.explore(&next, depth - 1);
            }
        }
        for ms in [250, 2500] {
            let mut next = case.clone();
            next.pass(Span::of_millis(ms));
            next.holds_after(case);
            self.explore(&next, depth - 1);
        }
    }
}

#[test]
fn every_order_of_a_small_case_keeps_the_claims_and_heals() {
    let mut explorer = Explorer { seen: HashSet::new(), ends: 0, ends_most: 40 };
    let mut case = Case::new(3, 3);
    // So that probes are under way when the choices begin.
    case.pass(Span::of_millis(1000));
    explorer.explore(&case, 6);
    assert!(explorer.ends > 300, "{} ends in {} states", explorer.ends, explorer.seen.len());
}

#[test]
fn a_suspicion_that_lasted_out_and_a_restart_heal_as_well() {
    // b is cut off until the others have buried it, and starts anew with an old incarnation.
    for restarts in [false, true] {
        let mut case = Case::new(4, 0);
        for _ in 0..200 {
            while let Some(i) =
                (0..case.letters.len()).find(|i| case.letters[*i].from != 1 && case.letters[*i].to != 1)
            {
                case.deliver(i);
            }
            case.letters.clear();
            case.pass(Span::of_millis(250));
        }
        let dead = |status: &PeerStatus| matches!(status, PeerStatus::Dead { .. });
        assert!(case.nodes[0].peer("b").is_some_and(|peer| dead(&peer.status)));
        if restarts {
            let mut fresh = Membership::new(case.now, Timing::default(), "b", "b", 99);
            fresh.set_signature(Vec::new());
            fresh.on_record(case.now, &case.nodes[0].own_record.clone());
            case.nodes[1] = fresh;
        }
        case.heals();
    }
}
