//! Who is there: membership after SWIM, with suspicion and incarnations, indirect probes, and an instance that
//! doubts itself first when it is slow. Words of others never bury a member: they make this instance look for
//! itself, and only its own unanswered probes, or several accusers at once, raise a suspicion here.
//!
//! Names and times only; signatures, bytes and sockets are `node`'s matter.

use crate::message::{Record, Suspicion};
use lemontide::clock::{Point, Span};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};

/// Others that are asked to probe for this instance.
const HELPERS: usize = 3;
/// How slow an instance may think itself, in steps.
const HEALTH_MOST: u32 = 8;
/// Accusers beside this instance that raise a suspicion by themselves.
const ACCUSERS_LEAST: usize = 2;
/// Confirmations that shorten a suspicion to its least.
const CONFIRMS: f64 = 3.0;
/// Members at most; more are not taken in.
const MEMBERS_MOST: usize = 8192;
/// Rumours in hand at most, and how often each is passed on: so many times the logarithm of the fleet's size.
const RUMOURS_MOST: usize = 2048;
const SPREAD: f64 = 3.0;
/// Members that look for themselves when they hear an accusation, about.
const LOOKERS: f64 = 8.0;
/// An instance answers accusations at most this often.
const REFUTE_EVERY: Span = Span::of_millis(300);
/// A digest only steers what is exchanged and may be this old.
const DIGEST_EVERY: Span = Span::of_millis(250);
/// Probes asked for out of turn that wait at most.
const URGENT_MOST: usize = 64;

/// The protocol's timing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// One probe each period; answered within this time, or others are asked to help.
    pub probe_period: Span,
    pub probe_timeout: Span,
    /// A dead member is remembered for so long, and one of them is called on this often.
    pub dead_retention: Span,
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

#[derive(Clone, Debug, PartialEq)]
pub enum PeerStatus {
    Alive,
    /// Under suspicion since then, by these.
    Suspect {
        since: Point,
        accusers: BTreeSet<String>,
    },
    Dead {
        since: Point,
    },
    Left {
        since: Point,
    },
}

#[derive(Clone, Debug)]
pub struct Peer {
    pub record: Record,
    pub status: PeerStatus,
    /// When it was last heard itself.
    pub last_heard: Option<Point>,
    /// Others that accused it at this incarnation, while it is not suspected here.
    accusers: BTreeMap<String, Point>,
}

/// Something to be sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Ping {
        to: String,
        nonce: u64,
    },
    Ack {
        to: String,
        nonce: u64,
    },
    PingReq {
        to: String,
        target: String,
        nonce: u64,
    },
    /// Exchange what is known; with a member that counts as dead this heals partitions.
    Sync {
        to: String,
    },
}

/// What operators see.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    Joined(String),
    Suspected(String),
    Died(String),
    Returned(String),
    Left(String),
}

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    Direct,
    Indirect,
}

#[derive(Clone, Debug)]
struct Probe {
    target: String,
    nonce: u64,
    stage: Stage,
    began: Point,
    ends: Point,
}

/// Something to be passed on, with how often it was.
#[derive(Clone, Debug)]
pub enum Update {
    Record(Record),
    Suspicion(Suspicion),
}

#[derive(Clone, Debug)]
pub struct Membership {
    timing: Timing,
    me: String,
    pub own_record: Record,
    peers: BTreeMap<String, Peer>,
    turn: Vec<String>,
    urgent: VecDeque<String>,
    probe: Option<Probe>,
    /// Probes done for others: their nonce here, who asked, and with which nonce there.
    errands: BTreeMap<u64, (String, u64, Point)>,
    next_probe: Point,
    next_heal: Point,
    refuted: Option<Point>,
    heard_any: Option<Point>,
    pub health_score: u32,
    doubting: bool,
    size: usize,
    /// The digest as last made, and when.
    digested: (Point, u64),
    ticked: Point,
    nonce: u64,
    chance: StdRng,
    rumours: BTreeMap<(bool, String), (Update, u32)>,
    pub actions: Vec<Action>,
    pub changes: Vec<MembershipChange>,
    /// The own record changed and must be signed anew before it goes out.
    pub needs_signature: bool,
}

impl Membership {
    pub fn new(now: Point, timing: Timing, me: &str, address: &str, seed: u64) -> Membership {
        let mut chance = StdRng::seed_from_u64(seed);
        // Spread over the period, so that a fleet that starts together does not probe together.
        let first = now + timing.probe_period * chance.random::<f64>();
        Membership {
            timing,
            me: me.to_owned(),
            own_record: Record { name: me.to_owned(), address: address.to_owned(), ..Record::default() },
            peers: BTreeMap::new(),
            turn: Vec::new(),
            urgent: VecDeque::new(),
            probe: None,
            errands: BTreeMap::new(),
            next_probe: first,
            next_heal: now + timing.sync_interval * chance.random::<f64>(),
            refuted: None,
            heard_any: None,
            health_score: 0,
            doubting: false,
            size: 1,
            digested: (now, 0),
            ticked: now,
            nonce: seed,
            chance,
            rumours: BTreeMap::new(),
            actions: Vec::new(),
            changes: Vec::new(),
            needs_signature: true,
        }
    }

    pub fn peers(&self) -> impl Iterator<Item = (&String, &Peer)> {
        self.peers.iter()
    }

    pub fn peer(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    pub fn address_of(&self, name: &str) -> Option<&str> {
        self.peers.get(name).map(|peer| peer.record.address.as_str())
    }

    /// Members that count as alive here, this one and suspects among them.
    pub fn alive_count(&self) -> usize {
        1 + self.peers.values().filter(|peer| peer.is_live()).count()
    }

    /// The same for all who agree on who lives, and at which incarnation; a moment old.
    pub fn digest(&self) -> u64 {
        self.digested.1
    }

    fn digest_now(&self) -> u64 {
        let mut hasher = std::collections::hash_map::DefaultHasher::new();
        // Address and number, too: both lives of one that came back elsewhere begin at the same incarnation.
        fn of(record: &Record) -> (&str, u64, &str, Option<u32>) {
            (&record.name, record.incarnation, &record.address, record.number)
        }
        let living = self.peers.values().filter(|p| p.is_live()).map(|p| of(&p.record));
        let mut living: Vec<_> = living.chain([of(&self.own_record)]).collect();
        living.sort_unstable();
        living.hash(&mut hasher);
        hasher.finish()
    }

    fn nonce(&mut self) -> u64 {
        self.nonce =
            self.nonce.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.nonce
    }

    /// Slower for an instance that finds itself slow: it gives others more time before it accuses them.
    fn slowed(&self, span: Span) -> Span {
        span * f64::from(1 + self.health_score)
    }

    /// Of the fleet's size as at the last tick: counted once, not with every datagram.
    pub fn log2_size(&self) -> f64 {
        (self.size as f64 + 1.0).log2().max(1.0)
    }

    /// How long a suspicion lasts before the member counts as dead: less the more accuse it.
    fn patience(&self, accusers: usize) -> Span {
        let least = self.timing.probe_period * (1.5 * self.log2_size());
        let confirmed = (accusers.saturating_sub(1)) as f64;
        let part = ((confirmed + 1.0).ln() / (CONFIRMS + 1.0).ln()).min(1.0);
        self.slowed(least * (1.0 + 2.0 * (1.0 - part)))
    }

    /// When `tick` wants to be called next.
    pub fn next_tick_at(&self) -> Point {
        let probe = self.probe.as_ref().map(|probe| match probe.stage {
            Stage::Direct => probe.began + self.slowed(self.timing.probe_timeout),
            Stage::Indirect => probe.ends,
        });
        let next = probe.map_or(self.next_probe, |at| at.min(self.next_probe));
        next.min(self.next_heal)
    }

    pub fn tick(&mut self, now: Point) {
        // An instance that stood still itself has missed its own acks: it doubts itself first.
        let gap = now - self.ticked;
        self.ticked = now;
        self.size = self.alive_count();
        if now - self.digested.0 >= DIGEST_EVERY || self.digested.1 == 0 {
            self.digested = (now, self.digest_now());
        }
        if gap > self.timing.probe_period * 2.0 {
            self.stood_still(now, gap);
        }
        self.bury(now);
        if let Some(probe) = self.probe.clone() {
            match probe.stage {
                Stage::Direct if now - probe.began >= self.slowed(self.timing.probe_timeout) => {
                    self.ask_others(&probe)
                }
                Stage::Indirect if now >= probe.ends => {
                    self.probe = None;
                    // Who hears nobody else either is more likely cut off or slow itself.
                    if self.heard_any.is_none_or(|at| at < probe.began) {
                        self.health_score = (self.health_score + 1).min(HEALTH_MOST);
                    }
                    self.accuse(now, &probe.target);
                }
                _ => {}
            }
        }
        if now >= self.next_probe && self.probe.is_none() {
            self.next_probe = now + self.slowed(self.timing.probe_period);
            self.start_probe(now);
        }
        if now >= self.next_heal {
            self.next_heal = now + self.timing.sync_interval * (0.5 + self.chance.random::<f64>());
            self.heal(now);
        }
        let period = self.timing.probe_period;
        self.errands.retain(|_, (_, _, at)| now - *at < period * 2.0);
    }

    fn stood_still(&mut self, now: Point, gap: Span) {
        self.probe = None;
        self.health_score = (self.health_score + 2).min(HEALTH_MOST);
        self.next_probe = now;
        for peer in self.peers.values_mut() {
            if let PeerStatus::Suspect { since, .. } = &mut peer.status {
                *since = *since + gap;
            }
        }
    }

    /// Suspicions that lasted out become deaths; the dead are forgotten after a while.
    fn bury(&mut self, now: Point) {
        let mut died = Vec::new();
        let mut unseen = Vec::new();
        for (name, peer) in &self.peers {
            if let PeerStatus::Suspect { since, accusers } = &peer.status {
                if now - *since >= self.patience(accusers.len()) {
                    // Others' words alone bury nobody: where datagrams get lost there is always somebody who
                    // accuses. This instance looks for itself first.
                    let own = accusers.contains(&self.me);
                    if own { &mut died } else { &mut unseen }.push(name.clone());
                }
            }
        }
        for name in unseen {
            self.look_at(&name);
        }
        for name in died {
            if let Some(peer) = self.peers.get_mut(&name) {
                peer.status = PeerStatus::Dead { since: now };
            }
            self.changes.push(MembershipChange::Died(name));
        }
        let forget = self.timing.dead_retention;
        self.peers.retain(|_, peer| match peer.status {
            PeerStatus::Dead { since } | PeerStatus::Left { since } => now - since < forget,
            _ => true,
        });
    }

    fn start_probe(&mut self, now: Point) {
        // Every other probe goes to one that is suspected here: a suspicion born of lost datagrams ends with the
        // first answer, instead of waiting for the whole round.
        self.doubting = !self.doubting;
        let suspects =
            self.peers.iter().filter(|(_, peer)| matches!(peer.status, PeerStatus::Suspect { .. }));
        let suspects: Vec<String> = suspects.map(|(name, _)| name.clone()).collect();
        if self.doubting && !suspects.is_empty() {
            let suspect = suspects[self.chance.random_range(0..suspects.len())].clone();
            self.urgent.push_front(suspect);
        }
        let target = loop {
            let next = match self.urgent.pop_front().or_else(|| self.turn.pop()) {
                Some(next) => next,
                None => {
                    self.turn =
                        self.peers.iter().filter(|(_, p)| p.is_live()).map(|(n, _)| n.clone()).collect();
                    self.turn.shuffle(&mut self.chance);
                    match self.turn.pop() {
                        Some(next) => next,
                        None => return,
                    }
                }
            };
            if self.peers.get(&next).is_some_and(Peer::is_live) {
                break next;
            }
        };
        let nonce = self.nonce();
        let ends = now + self.slowed(self.timing.probe_period);
        self.actions.push(Action::Ping { to: target.clone(), nonce });
        self.probe = Some(Probe { target, nonce, stage: Stage::Direct, began: now, ends });
    }

    fn ask_others(&mut self, probe: &Probe) {
        let able = self.peers.iter().filter(|(n, p)| **n != probe.target && p.status == PeerStatus::Alive);
        let mut able: Vec<String> = able.map(|(name, _)| name.clone()).collect();
        able.shuffle(&mut self.chance);
        for helper in able.into_iter().take(HELPERS) {
            let act = Action::PingReq { to: helper, target: probe.target.clone(), nonce: probe.nonce };
            self.actions.push(act);
        }
        if let Some(probe) = &mut self.probe {
            probe.stage = Stage::Indirect;
        }
    }

    /// Calls on a member that counts as dead, so that a partition heals from both sides; else on a living one, so
    /// that what rumours missed comes round.
    fn heal(&mut self, _now: Point) {
        let pick = |dead: bool, chance: &mut StdRng, peers: &BTreeMap<String, Peer>| {
            let is = |p: &Peer| if dead { matches!(p.status, PeerStatus::Dead { .. }) } else { p.is_live() };
            let names: Vec<&String> = peers.iter().filter(|(_, p)| is(p)).map(|(name, _)| name).collect();
            (!names.is_empty()).then(|| names[chance.random_range(0..names.len())].clone())
        };
        for dead in [true, false] {
            if let Some(to) = pick(dead, &mut self.chance, &self.peers) {
                self.actions.push(Action::Sync { to });
            }
        }
    }

    /// This instance's own probes went unanswered.
    fn accuse(&mut self, now: Point, name: &str) {
        let me = self.me.clone();
        let Some(peer) = self.peers.get_mut(name) else { return };
        let incarnation = peer.record.incarnation;
        let fresh = match &mut peer.status {
            PeerStatus::Alive => {
                let others = std::mem::take(&mut peer.accusers).into_keys();
                let accusers = others.chain([me.clone()]).collect();
                peer.status = PeerStatus::Suspect { since: now, accusers };
                self.changes.push(MembershipChange::Suspected(name.to_owned()));
                true
            }
            PeerStatus::Suspect { accusers, .. } => accusers.insert(me.clone()),
            _ => false,
        };
        if fresh {
            let suspicion =
                Suspicion { accuser: me, name: name.to_owned(), incarnation, signature: Vec::new() };
            self.pass_on(Update::Suspicion(suspicion));
        }
    }

    /// A member accuses another, by its own signature.
    pub fn on_suspicion(&mut self, now: Point, suspicion: &Suspicion) {
        if suspicion.name == self.me {
            // Said of an incarnation that was answered already, or of none that there ever was.
            let current = suspicion.incarnation == self.own_record.incarnation;
            if current && self.refuted.is_none_or(|at| now - at >= REFUTE_EVERY) {
                self.refute(now, suspicion.incarnation);
            }
            return;
        }
        if suspicion.accuser == self.me {
            return;
        }
        let Some(peer) = self.peers.get_mut(&suspicion.name) else { return };
        // A refuted suspicion never comes back: it is of an incarnation that is past.
        if suspicion.incarnation != peer.record.incarnation {
            return;
        }
        match &mut peer.status {
            PeerStatus::Alive => {
                let new = peer.accusers.insert(suspicion.accuser.clone(), now).is_none();
                let enough = peer.accusers.len() >= ACCUSERS_LEAST;
                let heard = peer.last_heard.is_some_and(|at| now - at < self.timing.probe_period * 2.0);
                if enough && !heard {
                    let accusers = std::mem::take(&mut peer.accusers).into_keys().collect();
                    peer.status = PeerStatus::Suspect { since: now, accusers };
                    self.changes.push(MembershipChange::Suspected(suspicion.name.clone()));
                }
                if new {
                    // A few look for themselves, however large the fleet: where datagrams get lost, each look is
                    // one more chance to accuse.
                    if self.chance.random::<f64>() * self.size as f64 <= LOOKERS {
                        self.look_at(&suspicion.name);
                    }
                    self.pass_on(Update::Suspicion(suspicion.clone()));
                }
            }
            PeerStatus::Suspect { accusers, .. } => {
                let new = accusers.insert(suspicion.accuser.clone());
                if new {
                    self.pass_on(Update::Suspicion(suspicion.clone()));
                }
            }
            _ => {}
        }
    }

    /// Probes a member out of turn.
    fn look_at(&mut self, name: &str) {
        if self.urgent.len() < URGENT_MOST && !self.urgent.iter().any(|urgent| urgent == name) {
            self.urgent.push_back(name.to_owned());
        }
    }

    /// Says that it lives, at an incarnation that outdoes what was said of it.
    fn refute(&mut self, now: Point, said: u64) {
        self.refuted = Some(now);
        self.own_record.incarnation = self.own_record.incarnation.max(said).saturating_add(1);
        self.needs_signature = true;
        // Others accuse it: it may be the slow one.
        self.health_score = (self.health_score + 1).min(HEALTH_MOST);
    }

    /// The own record, signed, is to be passed on.
    pub fn set_signature(&mut self, signature: Vec<u8>) {
        self.own_record.signature = signature;
        self.needs_signature = false;
        self.pass_on(Update::Record(self.own_record.clone()));
    }

    /// A member's record of itself, whose signature was verified.
    pub fn on_record(&mut self, now: Point, record: &Record) {
        if record.name == self.me {
            // An earlier life of this instance, perhaps: its next incarnation outdoes it. Symptom: one that came back
            // under another address or number is looked for at the old one, as both lives began at 0.
            let own = (&self.own_record.address, self.own_record.number);
            let other =
                record.incarnation == self.own_record.incarnation && own != (&record.address, record.number);
            if record.incarnation > self.own_record.incarnation
                || record.left && !self.own_record.left
                || other
            {
                self.refute(now, record.incarnation);
            }
            return;
        }
        let Some(peer) = self.peers.get_mut(&record.name) else {
            if self.peers.len() < MEMBERS_MOST && !record.left {
                let peer = Peer {
                    record: record.clone(),
                    status: PeerStatus::Alive,
                    last_heard: None,
                    accusers: BTreeMap::new(),
                };
                self.peers.insert(record.name.clone(), peer);
                let place = self.chance.random_range(0..=self.turn.len());
                self.turn.insert(place, record.name.clone());
                self.changes.push(MembershipChange::Joined(record.name.clone()));
                self.pass_on(Update::Record(record.clone()));
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
        let before = std::mem::replace(&mut peer.status, PeerStatus::Alive);
        if record.left {
            peer.status = PeerStatus::Left { since: now };
            self.changes.push(MembershipChange::Left(record.name.clone()));
        } else if before != PeerStatus::Alive {
            self.changes.push(MembershipChange::Returned(record.name.clone()));
        }
        let (gone, name) = (record.name.clone(), record.name.clone());
        self.rumours.retain(|_, (rumour, _)| !matches!(rumour, Update::Suspicion(s) if s.name == gone));
        if !record.left && !self.turn.contains(&name) {
            let place = self.chance.random_range(0..=self.turn.len());
            self.turn.insert(place, name);
        }
        self.pass_on(Update::Record(record.clone()));
    }

    /// A fresh word from a member itself, whatever it says: it lives and reaches this instance. For this instance
    /// that ends a suspicion or a death; what others think is theirs to find out.
    pub fn on_message_from(&mut self, now: Point, from: &str) {
        let Some(peer) = self.peers.get_mut(from) else { return };
        peer.last_heard = Some(now);
        self.heard_any = Some(now);
        if matches!(peer.status, PeerStatus::Suspect { .. } | PeerStatus::Dead { .. }) {
            peer.status = PeerStatus::Alive;
            self.changes.push(MembershipChange::Returned(from.to_owned()));
            // Where others bury it, it must hear of that to answer.
        }
        peer.accusers.clear();
    }

    pub fn on_ping(&mut self, from: &str, nonce: u64) {
        self.actions.push(Action::Ack { to: from.to_owned(), nonce });
    }

    pub fn on_ping_req(&mut self, now: Point, from: &str, target: &str, nonce: u64) {
        if target == self.me {
            return self.on_ping(from, nonce);
        }
        if self.peers.contains_key(target) && self.errands.len() < URGENT_MOST {
            let own = self.nonce();
            self.errands.insert(own, (from.to_owned(), nonce, now));
            self.actions.push(Action::Ping { to: target.to_owned(), nonce: own });
        }
    }

    pub fn on_ack(&mut self, from: &str, nonce: u64) {
        if let Some((asker, theirs, _)) = self.errands.remove(&nonce) {
            self.actions.push(Action::Ack { to: asker, nonce: theirs });
        }
        let _ = from;
        if self.probe.as_ref().is_some_and(|probe| probe.nonce == nonce) {
            // Answered in time, directly or by way of another: this instance is not slow.
            self.health_score = self.health_score.saturating_sub(1);
            let target = self.probe.take().map(|probe| probe.target);
            if let Some(peer) = target.and_then(|target| self.peers.get_mut(&target)) {
                if matches!(peer.status, PeerStatus::Suspect { .. }) {
                    peer.status = PeerStatus::Alive;
                }
            }
        }
    }

    /// Says goodbye: an instance that stops by itself is not missed.
    pub fn leave(&mut self) {
        self.own_record.left = true;
        self.needs_signature = true;
    }

    fn pass_on(&mut self, rumour: Update) {
        let key = match &rumour {
            Update::Record(record) => (true, record.name.clone()),
            // One rumour a suspect: whose word it is matters less than that it is looked at.
            Update::Suspicion(suspicion) => (false, format!("{} {}", suspicion.name, suspicion.accuser)),
        };
        if self.rumours.len() >= RUMOURS_MOST && !self.rumours.contains_key(&key) {
            let oldest = self.rumours.iter().max_by_key(|(_, (_, sent))| *sent).map(|(key, _)| key.clone());
            oldest.map(|key| self.rumours.remove(&key));
        }
        self.rumours.insert(key, (rumour, 0));
    }

    /// The next rumours to pass on, the least spread first, as long as `take` says that they fit. Each is passed
    /// on a bounded number of times.
    pub fn take_updates(&mut self, mut take: impl FnMut(&Update) -> bool) {
        let most = (SPREAD * self.log2_size()).ceil() as u32;
        let mut order: Vec<((bool, String), u32)> =
            self.rumours.iter().map(|(key, (_, sent))| (key.clone(), *sent)).collect();
        order.sort_by_key(|(_, sent)| *sent);
        for (key, _) in order.into_iter().take(16) {
            let Some((rumour, sent)) = self.rumours.get_mut(&key) else { continue };
            if !take(rumour) {
                continue;
            }
            *sent += 1;
            if *sent >= most {
                self.rumours.remove(&key);
            }
        }
    }

    /// Records to hand over in a sync: the own one, then some drawn at random.
    pub fn sample_records(&mut self, most: usize) -> Vec<Record> {
        let mut names: Vec<&String> =
            self.peers.iter().filter(|(_, p)| p.is_live()).map(|(name, _)| name).collect();
        names.shuffle(&mut self.chance);
        let others = names.into_iter().take(most).map(|name| self.peers[name].record.clone());
        [self.own_record.clone()].into_iter().chain(others).collect()
    }

    /// Some living members, drawn at random.
    pub fn sample_members(&mut self, most: usize) -> Vec<String> {
        let mut names: Vec<&String> =
            self.peers.iter().filter(|(_, p)| p.is_live()).map(|(name, _)| name).collect();
        names.shuffle(&mut self.chance);
        names.into_iter().take(most).cloned().collect()
    }

    /// As after a long time together: nothing is left to be passed on.
    pub fn discard_pending(&mut self) {
        self.rumours.clear();
        self.changes.clear();
    }

    /// What this instance holds against a member, so that it can answer: unsigned.
    pub fn suspicion_about(&self, name: &str) -> Option<Suspicion> {
        let peer = self.peers.get(name)?;
        let bad = matches!(peer.status, PeerStatus::Suspect { .. } | PeerStatus::Dead { .. });
        bad.then(|| Suspicion {
            accuser: self.me.clone(),
            name: name.to_owned(),
            incarnation: peer.record.incarnation,
            signature: Vec::new(),
        })
    }
}

impl Peer {
    /// Alive as far as is known; a suspect is until its time is over.
    pub fn is_live(&self) -> bool {
        matches!(self.status, PeerStatus::Alive | PeerStatus::Suspect { .. })
    }
}
