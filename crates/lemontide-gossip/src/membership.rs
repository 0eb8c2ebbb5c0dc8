//! Membership after SWIM: probes, indirect probes, suspicion and incarnations, with a health score that makes a slow
//! instance suspect itself before others. An accusation by another member alone never makes a member dead here: it
//! makes this instance probe the member itself, and only an own unanswered probe, or several accusers at once, raise a
//! suspicion.
//!
//! This module handles names and times only; signatures, bytes and sockets are left to `node`.

use crate::message::{Record, Suspicion};
use lemontide::clock::{Point, Span};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};

/// Members that are asked for an indirect probe.
const INDIRECT_PROBE_HELPERS: usize = 3;
/// Highest (worst) health score.
const MAX_HEALTH_SCORE: u32 = 8;
/// Other accusers that raise a suspicion here without an own failed probe, unless a message from the member arrived
/// within the last two periods.
const MIN_ACCUSERS: usize = 2;
/// Confirmations that shorten a suspicion to its minimum.
const CONFIRMATIONS_FOR_MIN_TIMEOUT: f64 = 3.0;
/// Most members; further ones are ignored.
const MAX_MEMBERS: usize = 8192;
/// Most updates that wait to be passed on.
const MAX_PENDING_UPDATES: usize = 2048;
/// Each update is sent this many times the logarithm of the fleet's size.
const RETRANSMIT_FACTOR: f64 = 3.0;
/// Expected number of members, in the whole fleet, that probe a member when they receive an accusation of it.
const PROBING_MEMBERS_PER_ACCUSATION: f64 = 8.0;
/// Least time between two refutations by this instance.
const REFUTATION_MIN_INTERVAL: Span = Span::of_millis(300);
/// How long a digest is reused. It only decides what is exchanged, so it may be a little out of date.
const DIGEST_MAX_AGE: Span = Span::of_millis(250);
/// Most probes out of turn that wait; the same limit holds for probes on behalf of others.
const MAX_PRIORITY_PROBES: usize = 64;

/// The protocol's intervals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// One member is probed in each period.
    pub probe_period: Span,
    /// A probe that is not answered within this time is repeated indirectly.
    pub probe_timeout: Span,
    /// How long a dead member or one that left is remembered.
    pub dead_retention: Span,
    /// Mean interval of syncs with a random dead and a random live member.
    pub sync_interval: Span,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            probe_period: Span::of_millis(1000),
            probe_timeout: Span::of_millis(300),
            dead_retention: Span::of_millis(120_000),
            sync_interval: Span::of_millis(3000),
        }
    }
}

/// Status of a member as this instance knows it.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerStatus {
    /// It is reachable, as far as is known.
    Alive,
    /// It is under suspicion.
    Suspect {
        /// When the suspicion began.
        since: Point,
        /// The members that accuse it, this instance possibly among them.
        accusers: BTreeSet<String>,
    },
    /// A suspicion of it ran out.
    Dead {
        /// When the suspicion ran out.
        since: Point,
    },
    /// It left by itself.
    Left {
        /// When this instance received notice of it.
        since: Point,
    },
}

/// Another member.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its latest record.
    pub record: Record,
    /// Its status here.
    pub status: PeerStatus,
    /// When a message from it last arrived.
    pub last_heard: Option<Point>,
    /// Members that accused it at its current incarnation, while it is not suspected here.
    accusers: BTreeMap<String, Point>,
}

/// A message to be sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Probe a member.
    Ping {
        /// The receiver.
        to: String,
        /// Returned in its ack.
        nonce: u64,
    },
    /// Answer a probe.
    Ack {
        /// The receiver.
        to: String,
        /// The probe's nonce.
        nonce: u64,
    },
    /// Ask a member to probe another one.
    PingReq {
        /// The receiver.
        to: String,
        /// The member to be probed.
        target: String,
        /// Returned in the ack.
        nonce: u64,
    },
    /// Exchange records (anti-entropy). With a member that counts as dead this heals partitions.
    Sync {
        /// The receiver.
        to: String,
    },
}

/// A change of membership, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A new member.
    Joined(String),
    /// A member is under suspicion.
    Suspected(String),
    /// A member counts as dead.
    Died(String),
    /// A member that was suspected, dead or gone counts as alive again.
    Returned(String),
    /// A member left by itself.
    Left(String),
}

#[derive(Clone, Debug, PartialEq)]
enum ProbeStage {
    Direct,
    Indirect,
}

#[derive(Clone, Debug)]
struct Probe {
    target: String,
    nonce: u64,
    stage: ProbeStage,
    started_at: Point,
    ends_at: Point,
}

/// An update to be passed on to other members.
#[derive(Clone, Debug)]
pub enum Update {
    /// A member's record of itself.
    Record(Record),
    /// A member's accusation of another.
    Suspicion(Suspicion),
}

/// The members as one instance knows them.
#[derive(Clone, Debug)]
pub struct Membership {
    timing: Timing,
    own_name: String,
    /// This instance's record.
    pub own_record: Record,
    peers: BTreeMap<String, Peer>,
    /// Members to probe in this round, the next one last.
    probe_order: Vec<String>,
    /// Members to probe before those.
    priority_probes: VecDeque<String>,
    probe: Option<Probe>,
    /// Probes on behalf of others, by own nonce: the member that asked, the nonce it expects, and when it
    /// asked.
    relayed_probes: BTreeMap<u64, (String, u64, Point)>,
    next_probe_at: Point,
    next_sync_at: Point,
    last_refutation: Option<Point>,
    /// When a message from any member last arrived.
    last_heard_any: Option<Point>,
    /// 0 is healthy; higher means that this instance seems slow or cut off, and gives others more time.
    pub health_score: u32,
    /// Every other probe goes to a suspect: whether the current one does.
    probe_suspect: bool,
    /// Live members as of the last tick.
    size: usize,
    /// When the digest was last computed, and its value.
    cached_digest: (Point, u64),
    last_tick: Point,
    last_nonce: u64,
    rng: StdRng,
    /// Updates to be passed on, with how often each was sent.
    pending_updates: BTreeMap<(bool, String), (Update, u32)>,
    /// Messages to be sent.
    pub actions: Vec<Action>,
    /// Changes that were not collected yet.
    pub changes: Vec<MembershipChange>,
    /// The own record changed and must be signed before it is sent.
    pub needs_signature: bool,
}

impl Membership {
    /// A membership that knows this instance only.
    pub fn new(now: Point, timing: Timing, own_name: &str, address: &str, seed: u64) -> Membership {
        let mut rng = StdRng::seed_from_u64(seed);
        // Spread over the period, so that instances that start together do not probe together.
        let first_probe_at = now + timing.probe_period * rng.random::<f64>();
        Membership {
            timing,
            own_name: own_name.to_owned(),
            own_record: Record {
                name: own_name.to_owned(),
                address: address.to_owned(),
                ..Record::default()
            },
            peers: BTreeMap::new(),
            probe_order: Vec::new(),
            priority_probes: VecDeque::new(),
            probe: None,
            relayed_probes: BTreeMap::new(),
            next_probe_at: first_probe_at,
            next_sync_at: now + timing.sync_interval * rng.random::<f64>(),
            last_refutation: None,
            last_heard_any: None,
            health_score: 0,
            probe_suspect: false,
            size: 1,
            cached_digest: (now, 0),
            last_tick: now,
            last_nonce: seed,
            rng,
            pending_updates: BTreeMap::new(),
            actions: Vec::new(),
            changes: Vec::new(),
            needs_signature: true,
        }
    }

    /// All other members, by name.
    pub fn peers(&self) -> impl Iterator<Item = (&String, &Peer)> {
        self.peers.iter()
    }

    /// Another member.
    pub fn peer(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Another member's address.
    pub fn address_of(&self, name: &str) -> Option<&str> {
        self.peers.get(name).map(|peer| peer.record.address.as_str())
    }

    /// Number of live members, this instance and suspects included.
    pub fn alive_count(&self) -> usize {
        1 + self.peers.values().filter(|peer| peer.is_live()).count()
    }

    /// A hash that is equal for all instances that know the same live members at the same incarnations. It may be
    /// slightly out of date.
    pub fn digest(&self) -> u64 {
        self.cached_digest.1
    }

    fn compute_digest(&self) -> u64 {
        let mut hasher = std::collections::hash_map::DefaultHasher::new();
        // Address and number are included: an instance that restarts elsewhere begins at the same incarnation again.
        fn identity(record: &Record) -> (&str, u64, &str, Option<u32>) {
            (&record.name, record.incarnation, &record.address, record.number)
        }
        let live = self.peers.values().filter(|p| p.is_live()).map(|p| identity(&p.record));
        let mut live: Vec<_> = live.chain([identity(&self.own_record)]).collect();
        live.sort_unstable();
        live.hash(&mut hasher);
        hasher.finish()
    }

    fn next_nonce(&mut self) -> u64 {
        self.last_nonce =
            self.last_nonce.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.last_nonce
    }

    /// Scales a time by the health score: an instance that seems slow gives others more time before it accuses them.
    fn scaled_by_health(&self, span: Span) -> Span {
        span * f64::from(1 + self.health_score)
    }

    /// Binary logarithm of the fleet's size. The size is that of the last tick: counted once, not for each datagram.
    pub fn log2_size(&self) -> f64 {
        (self.size as f64 + 1.0).log2().max(1.0)
    }

    /// How long a suspicion lasts before the member counts as dead; the more accusers, the shorter.
    fn suspicion_timeout(&self, accusers: usize) -> Span {
        let minimum = self.timing.probe_period * (1.5 * self.log2_size());
        let confirmations = (accusers.saturating_sub(1)) as f64;
        let confirmed = ((confirmations + 1.0).ln() / (CONFIRMATIONS_FOR_MIN_TIMEOUT + 1.0).ln()).min(1.0);
        self.scaled_by_health(minimum * (1.0 + 2.0 * (1.0 - confirmed)))
    }

    /// When `tick` must be called next.
    pub fn next_tick_at(&self) -> Point {
        let probe = self.probe.as_ref().map(|probe| match probe.stage {
            ProbeStage::Direct => probe.started_at + self.scaled_by_health(self.timing.probe_timeout),
            ProbeStage::Indirect => probe.ends_at,
        });
        let next = probe.map_or(self.next_probe_at, |at| at.min(self.next_probe_at));
        next.min(self.next_sync_at)
    }

    /// Does what is due: ends suspicions, continues or starts a probe, starts syncs.
    pub fn tick(&mut self, now: Point) {
        // An instance that was stalled has missed acks to its own probes: it must not accuse others of that.
        let gap = now - self.last_tick;
        self.last_tick = now;
        self.size = self.alive_count();
        if now - self.cached_digest.0 >= DIGEST_MAX_AGE || self.cached_digest.1 == 0 {
            self.cached_digest = (now, self.compute_digest());
        }
        if gap > self.timing.probe_period * 2.0 {
            self.on_own_stall(now, gap);
        }
        self.expire_suspicions(now);
        if let Some(probe) = self.probe.clone() {
            match probe.stage {
                ProbeStage::Direct
                    if now - probe.started_at >= self.scaled_by_health(self.timing.probe_timeout) =>
                {
                    self.start_indirect_probe(&probe)
                }
                ProbeStage::Indirect if now >= probe.ends_at => {
                    self.probe = None;
                    // If no message from any other member arrived either, this instance is more likely to be cut off
                    // or slow.
                    if self.last_heard_any.is_none_or(|at| at < probe.started_at) {
                        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
                    }
                    self.on_probe_failed(now, &probe.target);
                }
                _ => {}
            }
        }
        if now >= self.next_probe_at && self.probe.is_none() {
            self.next_probe_at = now + self.scaled_by_health(self.timing.probe_period);
            self.start_probe(now);
        }
        if now >= self.next_sync_at {
            self.next_sync_at = now + self.timing.sync_interval * (0.5 + self.rng.random::<f64>());
            self.start_syncs(now);
        }
        let period = self.timing.probe_period;
        self.relayed_probes.retain(|_, (_, _, at)| now - *at < period * 2.0);
    }

    /// Drops the current probe, worsens the health score, and extends suspicions by the time of the stall.
    fn on_own_stall(&mut self, now: Point, gap: Span) {
        self.probe = None;
        self.health_score = (self.health_score + 2).min(MAX_HEALTH_SCORE);
        self.next_probe_at = now;
        for peer in self.peers.values_mut() {
            if let PeerStatus::Suspect { since, .. } = &mut peer.status {
                *since = *since + gap;
            }
        }
    }

    /// Members whose suspicion timed out become dead; dead members and those that left are forgotten after a while.
    fn expire_suspicions(&mut self, now: Point) {
        let mut died = Vec::new();
        let mut unprobed = Vec::new();
        for (name, peer) in &self.peers {
            if let PeerStatus::Suspect { since, accusers } = &peer.status {
                if now - *since >= self.suspicion_timeout(accusers.len()) {
                    // Accusations by others alone make no member dead: where datagrams get lost, there is always some
                    // member that accuses. This instance probes the member first.
                    let accused_here = accusers.contains(&self.own_name);
                    if accused_here { &mut died } else { &mut unprobed }.push(name.clone());
                }
            }
        }
        for name in unprobed {
            self.queue_priority_probe(&name);
        }
        for name in died {
            if let Some(peer) = self.peers.get_mut(&name) {
                peer.status = PeerStatus::Dead { since: now };
            }
            self.changes.push(MembershipChange::Died(name));
        }
        let retention = self.timing.dead_retention;
        self.peers.retain(|_, peer| match peer.status {
            PeerStatus::Dead { since } | PeerStatus::Left { since } => now - since < retention,
            _ => true,
        });
    }

    fn start_probe(&mut self, now: Point) {
        // Every other probe goes to a member that is suspected here: a suspicion that came from lost datagrams ends
        // with the first answer, instead of waiting for the whole round.
        self.probe_suspect = !self.probe_suspect;
        let suspects =
            self.peers.iter().filter(|(_, peer)| matches!(peer.status, PeerStatus::Suspect { .. }));
        let suspects: Vec<String> = suspects.map(|(name, _)| name.clone()).collect();
        if self.probe_suspect && !suspects.is_empty() {
            let suspect = suspects[self.rng.random_range(0..suspects.len())].clone();
            self.priority_probes.push_front(suspect);
        }
        let target = loop {
            let next = match self.priority_probes.pop_front().or_else(|| self.probe_order.pop()) {
                Some(next) => next,
                None => {
                    self.probe_order =
                        self.peers.iter().filter(|(_, p)| p.is_live()).map(|(n, _)| n.clone()).collect();
                    self.probe_order.shuffle(&mut self.rng);
                    match self.probe_order.pop() {
                        Some(next) => next,
                        None => return,
                    }
                }
            };
            if self.peers.get(&next).is_some_and(Peer::is_live) {
                break next;
            }
        };
        let nonce = self.next_nonce();
        let ends_at = now + self.scaled_by_health(self.timing.probe_period);
        self.actions.push(Action::Ping { to: target.clone(), nonce });
        self.probe = Some(Probe { target, nonce, stage: ProbeStage::Direct, started_at: now, ends_at });
    }

    /// Asks other members to probe the target.
    fn start_indirect_probe(&mut self, probe: &Probe) {
        let helpers = self.peers.iter().filter(|(n, p)| **n != probe.target && p.status == PeerStatus::Alive);
        let mut helpers: Vec<String> = helpers.map(|(name, _)| name.clone()).collect();
        helpers.shuffle(&mut self.rng);
        for helper in helpers.into_iter().take(INDIRECT_PROBE_HELPERS) {
            let action = Action::PingReq { to: helper, target: probe.target.clone(), nonce: probe.nonce };
            self.actions.push(action);
        }
        if let Some(probe) = &mut self.probe {
            probe.stage = ProbeStage::Indirect;
        }
    }

    /// Syncs with a random dead member, so that a partition heals from both sides, and with a random live one, so that
    /// lost updates still arrive.
    fn start_syncs(&mut self, _now: Point) {
        let pick = |dead: bool, rng: &mut StdRng, peers: &BTreeMap<String, Peer>| {
            let matches =
                |p: &Peer| if dead { matches!(p.status, PeerStatus::Dead { .. }) } else { p.is_live() };
            let names: Vec<&String> =
                peers.iter().filter(|(_, p)| matches(p)).map(|(name, _)| name).collect();
            (!names.is_empty()).then(|| names[rng.random_range(0..names.len())].clone())
        };
        for dead in [true, false] {
            if let Some(to) = pick(dead, &mut self.rng, &self.peers) {
                self.actions.push(Action::Sync { to });
            }
        }
    }

    /// The direct and the indirect probe of a member went unanswered: this instance accuses it.
    fn on_probe_failed(&mut self, now: Point, name: &str) {
        let own_name = self.own_name.clone();
        let Some(peer) = self.peers.get_mut(name) else { return };
        let incarnation = peer.record.incarnation;
        let newly_accused = match &mut peer.status {
            PeerStatus::Alive => {
                let others = std::mem::take(&mut peer.accusers).into_keys();
                let accusers = others.chain([own_name.clone()]).collect();
                peer.status = PeerStatus::Suspect { since: now, accusers };
                self.changes.push(MembershipChange::Suspected(name.to_owned()));
                true
            }
            PeerStatus::Suspect { accusers, .. } => accusers.insert(own_name.clone()),
            _ => false,
        };
        if newly_accused {
            let suspicion =
                Suspicion { accuser: own_name, name: name.to_owned(), incarnation, signature: Vec::new() };
            self.queue_update(Update::Suspicion(suspicion));
        }
    }

    /// Handles a member's accusation of another one. Its signature must be verified already.
    pub fn on_suspicion(&mut self, now: Point, suspicion: &Suspicion) {
        if suspicion.name == self.own_name {
            // An accusation of another incarnation is refuted already, or that incarnation never existed.
            let current = suspicion.incarnation == self.own_record.incarnation;
            if current && self.last_refutation.is_none_or(|at| now - at >= REFUTATION_MIN_INTERVAL) {
                self.refute(now, suspicion.incarnation);
            }
            return;
        }
        if suspicion.accuser == self.own_name {
            return;
        }
        let Some(peer) = self.peers.get_mut(&suspicion.name) else { return };
        // A refuted suspicion never comes back, as it is of an earlier incarnation.
        if suspicion.incarnation != peer.record.incarnation {
            return;
        }
        match &mut peer.status {
            PeerStatus::Alive => {
                let new = peer.accusers.insert(suspicion.accuser.clone(), now).is_none();
                let enough = peer.accusers.len() >= MIN_ACCUSERS;
                let recently_heard =
                    peer.last_heard.is_some_and(|at| now - at < self.timing.probe_period * 2.0);
                if enough && !recently_heard {
                    let accusers = std::mem::take(&mut peer.accusers).into_keys().collect();
                    peer.status = PeerStatus::Suspect { since: now, accusers };
                    self.changes.push(MembershipChange::Suspected(suspicion.name.clone()));
                }
                if new {
                    // A few members probe it, however large the fleet: where datagrams get lost, each probe can raise
                    // one more accusation.
                    if self.rng.random::<f64>() * self.size as f64 <= PROBING_MEMBERS_PER_ACCUSATION {
                        self.queue_priority_probe(&suspicion.name);
                    }
                    self.queue_update(Update::Suspicion(suspicion.clone()));
                }
            }
            PeerStatus::Suspect { accusers, .. } => {
                let new = accusers.insert(suspicion.accuser.clone());
                if new {
                    self.queue_update(Update::Suspicion(suspicion.clone()));
                }
            }
            _ => {}
        }
    }

    /// Queues a probe of a member out of turn.
    fn queue_priority_probe(&mut self, name: &str) {
        if self.priority_probes.len() < MAX_PRIORITY_PROBES
            && !self.priority_probes.iter().any(|queued| queued == name)
        {
            self.priority_probes.push_back(name.to_owned());
        }
    }

    /// Refutes an accusation by a higher incarnation of the own record.
    fn refute(&mut self, now: Point, accused_incarnation: u64) {
        self.last_refutation = Some(now);
        self.own_record.incarnation = self.own_record.incarnation.max(accused_incarnation).saturating_add(1);
        self.needs_signature = true;
        // The accusation may be due to this instance being slow.
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
    }

    /// Sets the signature of the own record and queues it to be passed on.
    pub fn set_signature(&mut self, signature: Vec<u8>) {
        self.own_record.signature = signature;
        self.needs_signature = false;
        self.queue_update(Update::Record(self.own_record.clone()));
    }

    /// Handles a member's record of itself. Its signature must be verified already.
    pub fn on_record(&mut self, now: Point, record: &Record) {
        if record.name == self.own_name {
            // The record may be from an earlier process of this instance; a higher incarnation replaces it. Without the
            // check of address and number, an instance that restarted under another address or number was looked for
            // under the old one, as both processes began at incarnation 0.
            let own = (&self.own_record.address, self.own_record.number);
            let differs =
                record.incarnation == self.own_record.incarnation && own != (&record.address, record.number);
            if record.incarnation > self.own_record.incarnation
                || record.left && !self.own_record.left
                || differs
            {
                self.refute(now, record.incarnation);
            }
            return;
        }
        let Some(peer) = self.peers.get_mut(&record.name) else {
            if self.peers.len() < MAX_MEMBERS && !record.left {
                let peer = Peer {
                    record: record.clone(),
                    status: PeerStatus::Alive,
                    last_heard: None,
                    accusers: BTreeMap::new(),
                };
                self.peers.insert(record.name.clone(), peer);
                let position = self.rng.random_range(0..=self.probe_order.len());
                self.probe_order.insert(position, record.name.clone());
                self.changes.push(MembershipChange::Joined(record.name.clone()));
                self.queue_update(Update::Record(record.clone()));
            }
            return;
        };
        let known = &peer.record;
        let newer = record.incarnation > known.incarnation
            || record.incarnation == known.incarnation && record.left && !known.left;
        if !newer {
            return;
        }
        peer.record = record.clone();
        peer.accusers.clear();
        let previous_status = std::mem::replace(&mut peer.status, PeerStatus::Alive);
        if record.left {
            peer.status = PeerStatus::Left { since: now };
            self.changes.push(MembershipChange::Left(record.name.clone()));
        } else if previous_status != PeerStatus::Alive {
            self.changes.push(MembershipChange::Returned(record.name.clone()));
        }
        let (refuted, name) = (record.name.clone(), record.name.clone());
        self.pending_updates
            .retain(|_, (update, _)| !matches!(update, Update::Suspicion(s) if s.name == refuted));
        if !record.left && !self.probe_order.contains(&name) {
            let position = self.rng.random_range(0..=self.probe_order.len());
            self.probe_order.insert(position, name);
        }
        self.queue_update(Update::Record(record.clone()));
    }

    /// Handles a fresh message from a member, whatever its content: the member is alive and reaches this instance. That
    /// ends a suspicion or a death here; other members decide for themselves.
    pub fn on_message_from(&mut self, now: Point, from: &str) {
        let Some(peer) = self.peers.get_mut(from) else { return };
        peer.last_heard = Some(now);
        self.last_heard_any = Some(now);
        if matches!(peer.status, PeerStatus::Suspect { .. } | PeerStatus::Dead { .. }) {
            peer.status = PeerStatus::Alive;
            self.changes.push(MembershipChange::Returned(from.to_owned()));
            // Other members that suspect it or count it as dead send it their accusation with a probe or a sync (see
            // `suspicion_about`), so that it can refute it.
        }
        peer.accusers.clear();
    }

    /// Answers a probe.
    pub fn on_ping(&mut self, from: &str, nonce: u64) {
        self.actions.push(Action::Ack { to: from.to_owned(), nonce });
    }

    /// Probes the target on behalf of another member.
    pub fn on_ping_req(&mut self, now: Point, from: &str, target: &str, nonce: u64) {
        if target == self.own_name {
            return self.on_ping(from, nonce);
        }
        if self.peers.contains_key(target) && self.relayed_probes.len() < MAX_PRIORITY_PROBES {
            let own_nonce = self.next_nonce();
            self.relayed_probes.insert(own_nonce, (from.to_owned(), nonce, now));
            self.actions.push(Action::Ping { to: target.to_owned(), nonce: own_nonce });
        }
    }

    /// Handles the answer to an own probe, or to one on behalf of another member.
    pub fn on_ack(&mut self, from: &str, nonce: u64) {
        if let Some((requester, requested_nonce, _)) = self.relayed_probes.remove(&nonce) {
            self.actions.push(Action::Ack { to: requester, nonce: requested_nonce });
        }
        let _ = from;
        if self.probe.as_ref().is_some_and(|probe| probe.nonce == nonce) {
            // Answered in time, directly or by way of another member: this instance is not slow.
            self.health_score = self.health_score.saturating_sub(1);
            let target = self.probe.take().map(|probe| probe.target);
            if let Some(peer) = target.and_then(|target| self.peers.get_mut(&target)) {
                if matches!(peer.status, PeerStatus::Suspect { .. }) {
                    peer.status = PeerStatus::Alive;
                }
            }
        }
    }

    /// Marks the own record as left, so that others do not suspect an instance that stops by itself.
    pub fn leave(&mut self) {
        self.own_record.left = true;
        self.needs_signature = true;
    }

    fn queue_update(&mut self, update: Update) {
        let key = match &update {
            Update::Record(record) => (true, record.name.clone()),
            // One update for each suspect and accuser.
            Update::Suspicion(suspicion) => (false, format!("{} {}", suspicion.name, suspicion.accuser)),
        };
        if self.pending_updates.len() >= MAX_PENDING_UPDATES && !self.pending_updates.contains_key(&key) {
            let most_sent =
                self.pending_updates.iter().max_by_key(|(_, (_, sent))| *sent).map(|(key, _)| key.clone());
            most_sent.map(|key| self.pending_updates.remove(&key));
        }
        self.pending_updates.insert(key, (update, 0));
    }

    /// Offers pending updates to `add`, the least often sent first. One that `add` accepts counts as sent; after a
    /// bounded number of times it is dropped.
    pub fn take_updates(&mut self, mut add: impl FnMut(&Update) -> bool) {
        let max_sends = (RETRANSMIT_FACTOR * self.log2_size()).ceil() as u32;
        let mut order: Vec<((bool, String), u32)> =
            self.pending_updates.iter().map(|(key, (_, sent))| (key.clone(), *sent)).collect();
        order.sort_by_key(|(_, sent)| *sent);
        for (key, _) in order.into_iter().take(16) {
            let Some((update, sent)) = self.pending_updates.get_mut(&key) else { continue };
            if !add(update) {
                continue;
            }
            *sent += 1;
            if *sent >= max_sends {
                self.pending_updates.remove(&key);
            }
        }
    }

    /// Records for a sync: the own one and those of up to `count` random live members.
    pub fn sample_records(&mut self, count: usize) -> Vec<Record> {
        let mut names: Vec<&String> =
            self.peers.iter().filter(|(_, p)| p.is_live()).map(|(name, _)| name).collect();
        names.shuffle(&mut self.rng);
        let others = names.into_iter().take(count).map(|name| self.peers[name].record.clone());
        [self.own_record.clone()].into_iter().chain(others).collect()
    }

    /// Up to `count` random live members.
    pub fn sample_members(&mut self, count: usize) -> Vec<String> {
        let mut names: Vec<&String> =
            self.peers.iter().filter(|(_, p)| p.is_live()).map(|(name, _)| name).collect();
        names.shuffle(&mut self.rng);
        names.into_iter().take(count).cloned().collect()
    }

    /// Drops pending updates and changes, as if they had been passed on long ago.
    pub fn discard_pending(&mut self) {
        self.pending_updates.clear();
        self.changes.clear();
    }

    /// This instance's accusation of a suspected or dead member, unsigned. It is sent to the member so that it can
    /// refute it.
    pub fn suspicion_about(&self, name: &str) -> Option<Suspicion> {
        let peer = self.peers.get(name)?;
        let accused = matches!(peer.status, PeerStatus::Suspect { .. } | PeerStatus::Dead { .. });
        accused.then(|| Suspicion {
            accuser: self.own_name.clone(),
            name: name.to_owned(),
            incarnation: peer.record.incarnation,
            signature: Vec::new(),
        })
    }
}

impl Peer {
    /// Whether it counts as alive: a suspect does until its suspicion times out.
    pub fn is_live(&self) -> bool {
        matches!(self.status, PeerStatus::Alive | PeerStatus::Suspect { .. })
    }
}
