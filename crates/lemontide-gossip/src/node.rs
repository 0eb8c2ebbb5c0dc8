//! One instance's gossip, whole: bytes in, bytes out. Checks what comes in from the cheapest check to the dearest,
//! keeps to the budget, and gives what is believed of streamers.

use crate::authentication::{AllowedNetworks, Keyring, OwnKey, ReplayCheckError, ReplayGuard};
use crate::budget::{ByteBudget, Priority, RateLimiter};
use crate::membership::{Action, Membership, MembershipChange, PeerStatus, Timing, Update};
use crate::message::{
    self, Ack, Body, Challenge, Datagram, Kind, Ping, PingReq, Record, Signable, Suspicion, Sync, Testimony,
    MAX_DATAGRAM_BYTES,
};
use crate::observations::LocalObservations;
use crate::testimonies::{MergeOutcome, TestimonyStore};
use lemontide::clock::{Point, Span};
use prost::Message;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Room in a datagram beside its body.
const OUTER: usize = 64 + NAME_ROOM + 40;
const NAME_ROOM: usize = message::MAX_NAME_BYTES;
/// A testimony is made at most this often, and passed on this often by each who hears it.
const TELL_EVERY: Span = Span::of_millis(500);
const TELL_AGAIN: Span = Span::of_millis(4000);
const TESTIMONY_SPREAD: f64 = 3.0;
/// News of failures does not wait for the next probe: so many members are told at once, this often at most.
const PUSH: usize = 2;
const PUSH_EVERY: Span = Span::of_millis(150);
const TESTIMONIES_MOST: usize = 4096;
/// Messages a second from one member, and from one address that is no known member.
const MEMBER_RATE: u32 = 60;
const STRANGER_RATE: u32 = 20;
/// Records in one sync beside the own.
const SYNC_RECORDS: usize = 4;

/// What an instance is told at its start.
pub struct NodeConfig {
    pub name: String,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Its number in the fleet, where it tells one.
    pub number: Option<u32>,
    pub own_key: OwnKey,
    pub keyring: Keyring,
    pub allowed_networks: AllowedNetworks,
    /// Where others may be found at first.
    pub seeds: Vec<SocketAddr>,
    pub timing: Timing,
    /// Bytes that may leave in any second.
    pub bytes_per_s: usize,
    /// Tells this process from earlier ones: the wall clock at its start will do.
    pub boot_id: u64,
    pub rng_seed: u64,
}

/// Datagrams dropped, by cause.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DropCounters {
    #[serde(rename = "network")]
    pub disallowed_network: u64,
    #[serde(rename = "rate")]
    pub rate_limited: u64,
    pub malformed: u64,
    pub unknown_sender: u64,
    #[serde(rename = "unsigned")]
    pub bad_signature: u64,
    pub replayed: u64,
    #[serde(rename = "out_of_time")]
    pub clock_drift: u64,
    /// Passed-on words whose own signature failed.
    pub forged: u64,
    pub equivocated: u64,
    /// Not sent for want of budget.
    pub over_budget: u64,
}

/// A member as operators see it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberView {
    pub name: String,
    pub address: String,
    pub incarnation: u64,
    pub status: String,
    /// Seconds since it was heard itself.
    #[serde(rename = "heard_s")]
    pub last_heard_age_s: Option<f64>,
    /// Trust in its words of streamers, from 0 to 1; absent while it has said nothing lately.
    pub trust: Option<f64>,
}

/// All of it as operators see it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct GossipView {
    pub name: String,
    pub members: Vec<MemberView>,
    /// How far others' words of streamers are believed, where they are.
    pub suspicions: BTreeMap<String, f64>,
    #[serde(rename = "health")]
    pub health_score: u32,
    pub bytes_last_s: usize,
    pub bytes_per_s: usize,
    pub bytes_sent: u64,
    pub datagrams_sent: u64,
    #[serde(rename = "datagrams_taken")]
    pub datagrams_accepted: u64,
    pub signatures_checked: u64,
    pub dropped: DropCounters,
}

pub struct Node {
    terms: NodeConfig,
    pub membership: Membership,
    evidence: LocalObservations,
    belief: TestimonyStore,
    gate: ReplayGuard,
    budget: ByteBudget,
    by_member: RateLimiter<(String, std::net::IpAddr)>,
    by_address: RateLimiter<std::net::IpAddr>,
    testimonies: BTreeMap<String, (Testimony, u32)>,
    own_seq: u64,
    told: Option<(Point, Vec<message::Seen>)>,
    seq: u64,
    /// When news of failures is pushed next, and when it was last.
    push_at: Option<Point>,
    pushed: Point,
    /// Strangers that were not answered by anybody yet: who to greet again.
    next_join: Point,
    greeted: BTreeMap<SocketAddr, Point>,
    pub dropped: DropCounters,
    bytes_sent: u64,
    datagrams_sent: u64,
    datagrams_accepted: u64,
    signatures_checked: u64,
    /// Datagrams to be sent.
    pub outbox: Vec<(SocketAddr, Vec<u8>)>,
}

impl Node {
    pub fn new(now: Point, terms: NodeConfig) -> Node {
        let address = terms.address.to_string();
        let mut members = Membership::new(now, terms.timing, &terms.name, &address, terms.rng_seed);
        members.own_record.number = terms.number;
        Node {
            membership: members,
            evidence: LocalObservations::default(),
            belief: TestimonyStore::default(),
            gate: ReplayGuard::default(),
            budget: ByteBudget::new(terms.bytes_per_s),
            by_member: RateLimiter::new(MEMBER_RATE),
            by_address: RateLimiter::new(STRANGER_RATE),
            testimonies: BTreeMap::new(),
            own_seq: 0,
            told: None,
            seq: 0,
            push_at: None,
            pushed: now,
            next_join: now,
            greeted: BTreeMap::new(),
            dropped: DropCounters::default(),
            bytes_sent: 0,
            datagrams_sent: 0,
            datagrams_accepted: 0,
            signatures_checked: 0,
            outbox: Vec::new(),
            terms,
        }
    }

    /// When `tick` wants to be called next.
    pub fn next_tick_at(&self) -> Point {
        let tell = self.told.as_ref().map_or(self.next_join, |(at, _)| *at + TELL_EVERY);
        let push = self.push_at.unwrap_or(tell);
        self.membership.next_tick_at().min(self.next_join).min(tell).min(push)
    }

    /// Begins as another process of the same instance.
    pub fn set_boot_id(&mut self, boot: u64) {
        self.terms.boot_id = boot;
    }

    /// Takes other keys into use: the operator changed the list while this runs.
    pub fn set_keys(&mut self, own: OwnKey, ring: Keyring) {
        self.terms.own_key = own;
        self.terms.keyring = ring;
        // Records and words under keys that are gone must not be passed on.
        self.membership.needs_signature = true;
        self.testimonies.clear();
        let gone: Vec<String> = self
            .membership
            .peers()
            .map(|(name, _)| name.clone())
            .filter(|name| !self.terms.keyring.contains(name))
            .collect();
        gone.iter().for_each(|name| self.gate.forget(name));
    }

    /// This instance saw a try at a streamer end well or badly.
    pub fn record_outcome(&mut self, now: Point, streamer: &str, good: bool) {
        self.evidence.record_outcome(now, streamer, good);
        self.belief.record_outcome(now, streamer, good);
    }

    /// How far to believe that each streamer fails, from 0 to 1; those not named are not suspected.
    pub fn failure_scores(&self, now: Point) -> BTreeMap<String, f64> {
        self.belief.failure_scores(now, &self.evidence)
    }

    /// The numbers that other members hold, as far as this one knows: whether a member of that number lives and, if none
    /// does, since when. Of two under one number the living one counts. Who is suspected counts as gone since then, as to
    /// bury many takes one own probe each: half of 300 lost at once would count as there for minutes.
    pub fn gone_since_by_number(&self) -> BTreeMap<u32, Option<Point>> {
        let mut numbers: BTreeMap<u32, Option<Point>> = BTreeMap::new();
        for (_, peer) in self.membership.peers() {
            let Some(number) = peer.record.number else { continue };
            let gone = match peer.status {
                PeerStatus::Suspect { since, .. }
                | PeerStatus::Dead { since }
                | PeerStatus::Left { since } => Some(since),
                PeerStatus::Alive => None,
            };
            // None, for one that lives, is the least of all; of the gone the last counts.
            let known = numbers.entry(number).or_insert(gone);
            *known = if known.is_none() || gone.is_none() { None } else { (*known).max(gone) };
        }
        numbers
    }

    pub fn take_changes(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.membership.changes)
    }

    /// Enters members as known and alive, as after a long time together; for measurements at large sizes.
    pub fn preload(&mut self, now: Point, records: &[Record], boots: &BTreeMap<String, u64>) {
        for record in records {
            self.membership.on_record(now, record);
            if let Some(boot) = boots.get(&record.name) {
                let nonce = self.gate.open_challenge(now, &record.name, 1).unwrap_or(1);
                self.gate.accept_proof(now, &record.name, *boot, 0, nonce, now);
            }
        }
        self.membership.discard_pending();
    }

    /// The own record, signed; for preloading others.
    pub fn signed_own_record(&mut self) -> Record {
        self.sign_record();
        self.membership.own_record.clone()
    }

    fn sign_record(&mut self) {
        if self.membership.needs_signature {
            let signature = self.terms.own_key.sign(&self.membership.own_record);
            self.membership.set_signature(signature);
        }
    }

    /// Regular work: probes, greetings of seeds, the own testimony.
    pub fn tick(&mut self, now: Point) {
        self.membership.tick(now);
        self.sign_record();
        if now >= self.next_join {
            self.next_join = now + Span::of_millis(1000);
            self.join(now);
        }
        self.testify(now);
        self.push(now);
        self.act(now);
    }

    /// News of failures is due to be pushed, after what others push meanwhile has come.
    fn hurry(&mut self, now: Point, said: &Testimony) {
        if said.seen.iter().any(|seen| seen.failures * 2 >= seen.tries) {
            self.push_at.get_or_insert((self.pushed + PUSH_EVERY).max(now));
        }
    }

    fn push(&mut self, now: Point) {
        if self.push_at.is_none_or(|at| now < at) {
            return;
        }
        (self.push_at, self.pushed) = (None, now);
        for name in self.membership.sample_members(PUSH) {
            let kind = Kind::Sync(Sync { answer_me: false, digest: self.membership.digest() });
            self.send_to(now, &name, kind, Priority::Background, Vec::new(), Vec::new());
        }
    }

    /// Says goodbye to some members; they pass it on.
    pub fn leave(&mut self, now: Point) {
        self.membership.leave();
        self.sign_record();
        let to: Vec<String> =
            self.membership.peers().filter(|(_, p)| p.is_live()).map(|(n, _)| n.clone()).take(4).collect();
        for name in to {
            let kind = Kind::Sync(Sync { answer_me: false, digest: self.membership.digest() });
            let record = self.membership.own_record.clone();
            self.send_to(now, &name, kind, Priority::Reply, vec![record], Vec::new());
        }
    }

    /// Greets the seeds while hardly anybody is known, and now and then ever after: a partition of seeds heals.
    fn join(&mut self, now: Point) {
        let lonely = self.membership.alive_count() <= 1;
        for seed in self.terms.seeds.clone() {
            let known =
                self.membership.peers().any(|(_, p)| p.is_live() && p.record.address == seed.to_string());
            let rest = if lonely { Span::of_millis(1000) } else { Span::of_millis(10_000) };
            let due = self.greeted.get(&seed).is_none_or(|at| now - *at >= rest);
            if seed != self.terms.address && !known && due {
                self.greeted.insert(seed, now);
                let kind = Kind::Sync(Sync { answer_me: true, digest: self.membership.digest() });
                let record = self.membership.own_record.clone();
                self.send(now, seed, kind, Priority::Protocol, vec![record], Vec::new());
            }
        }
    }

    /// Says what was seen here, when it changed, or again after a while so that it does not fade.
    fn testify(&mut self, now: Point) {
        let seen = self.evidence.most_relevant(now);
        if let Some((at, last)) = &self.told {
            let again = !seen.is_empty() && now - *at >= TELL_AGAIN;
            if now - *at < TELL_EVERY || seen == *last && !again {
                return;
            }
        } else if seen.is_empty() {
            return;
        }
        self.own_seq += 1;
        let mut said = Testimony {
            origin: self.terms.name.clone(),
            boot: self.terms.boot_id,
            seq: self.own_seq,
            seen: seen.clone(),
            signature: Vec::new(),
        };
        said.signature = self.terms.own_key.sign(&said);
        self.told = Some((now, seen));
        self.hurry(now, &said);
        self.testimonies.insert(said.origin.clone(), (said, 0));
    }

    /// Says something of streamers that was not seen here: a liar, for tests and measurements only.
    pub fn publish_false_testimony(&mut self, seen: Vec<message::Seen>) {
        self.own_seq += 1;
        let mut said = Testimony {
            origin: self.terms.name.clone(),
            boot: self.terms.boot_id,
            seq: self.own_seq,
            seen,
            signature: Vec::new(),
        };
        said.signature = self.terms.own_key.sign(&said);
        self.testimonies.insert(said.origin.clone(), (said, 0));
    }

    /// Accuses a member of being dead: a liar's word again.
    pub fn send_false_suspicion(&mut self, now: Point, name: &str) {
        let Some(peer) = self.membership.peer(name) else { return };
        let mut suspicion = Suspicion {
            accuser: self.terms.name.clone(),
            name: name.to_owned(),
            incarnation: peer.record.incarnation,
            signature: Vec::new(),
        };
        suspicion.signature = self.terms.own_key.sign(&suspicion);
        let to: Vec<String> = self.membership.peers().map(|(name, _)| name.clone()).take(6).collect();
        for to in to {
            let kind = Kind::Sync(Sync { answer_me: false, digest: 0 });
            self.send_to(now, &to, kind, Priority::Reply, Vec::new(), vec![suspicion.clone()]);
        }
    }

    /// Takes a datagram as it came.
    pub fn receive(&mut self, now: Point, from: SocketAddr, bytes: &[u8]) {
        if !self.terms.allowed_networks.contains(from.ip()) {
            self.dropped.disallowed_network += 1;
            return;
        }
        let Some(datagram) = message::decode_datagram(bytes) else {
            self.dropped.malformed += 1;
            return;
        };
        if !self.terms.keyring.contains(&datagram.sender) || datagram.sender == self.terms.name {
            self.dropped.unknown_sender += 1;
            return;
        }
        // A flood under one name must not shut out others, nor a flood from strangers the members.
        let admitted = match self.gate.current_boot(&datagram.sender) {
            Some(boot) if boot == datagram.boot => {
                self.by_member.allow(now, &(datagram.sender.clone(), from.ip()))
            }
            _ => self.by_address.allow(now, &from.ip()) || self.membership.alive_count() <= 1,
        };
        if !admitted {
            self.dropped.rate_limited += 1;
            return;
        }
        let new = self.gate.check_sequence(&datagram.sender, datagram.boot, datagram.seq);
        if new == Err(ReplayCheckError::Replayed) {
            self.dropped.replayed += 1;
            return;
        }
        self.signatures_checked += 1;
        let Some(voice) = self.terms.keyring.verify_signer(&datagram.sender, &datagram, &datagram.signature)
        else {
            self.dropped.bad_signature += 1;
            return;
        };
        let Some(body) = message::decode_body(&datagram.body) else {
            self.dropped.malformed += 1;
            return;
        };
        let time = Point::at(body.time_ms as f64 / 1e3);
        let sender = datagram.sender.clone();
        if new == Err(ReplayCheckError::UnknownProcess) {
            return self.greet(now, from, &datagram, &body, time);
        }
        if self.gate.accept(now, &sender, datagram.seq, time).is_err() {
            self.dropped.clock_drift += 1;
            return;
        }
        let _ = voice;
        self.take(now, &sender, body);
    }

    /// A process that is not known: it is asked to prove that it lives now; with the proof it is let in.
    fn greet(&mut self, now: Point, from: SocketAddr, datagram: &Datagram, body: &Body, time: Point) {
        let sender = &datagram.sender;
        match &body.kind {
            Some(Kind::Proof(proof))
                if self.gate.accept_proof(now, sender, datagram.boot, datagram.seq, proof.nonce, time) =>
            {
                self.take(now, sender, body.clone());
            }
            // Its challenge is answered though it is a stranger, or two strangers would wait for each other.
            Some(Kind::Challenge(challenge)) => {
                let kind = Kind::Proof(Challenge { nonce: challenge.nonce });
                let record = self.membership.own_record.clone();
                self.send(now, from, kind, Priority::Reply, vec![record], Vec::new());
                self.challenge(now, from, sender);
            }
            _ => self.challenge(now, from, sender),
        }
    }

    fn challenge(&mut self, now: Point, to: SocketAddr, sender: &str) {
        let fresh = now.turn(Span::of_millis(1)) as u64 ^ self.seq.rotate_left(32) ^ self.terms.rng_seed;
        let nonce = fresh.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        if let Some(nonce) = self.gate.open_challenge(now, sender, nonce) {
            let kind = Kind::Challenge(Challenge { nonce });
            self.send(now, to, kind, Priority::Reply, Vec::new(), Vec::new());
        }
    }

    fn take(&mut self, now: Point, sender: &str, body: Body) {
        self.datagrams_accepted += 1;
        for record in &body.records {
            self.learn(now, record);
        }
        self.membership.on_message_from(now, sender);
        for suspicion in &body.suspicions {
            // What changes nothing is not worth a signature check.
            let of_me = suspicion.name == self.terms.name;
            let current = match self.membership.peer(&suspicion.name) {
                Some(peer) => peer.record.incarnation == suspicion.incarnation && peer.is_live(),
                None => of_me && suspicion.incarnation == self.membership.own_record.incarnation,
            };
            if current && self.verified(&suspicion.accuser, suspicion, &suspicion.signature) {
                self.membership.on_suspicion(now, suspicion);
            }
        }
        for said in &body.testimonies {
            self.hear(now, said);
        }
        match body.kind {
            Some(Kind::Ping(ping)) => self.membership.on_ping(sender, ping.nonce),
            Some(Kind::Ack(ack)) => self.membership.on_ack(sender, ack.nonce),
            Some(Kind::PingReq(ask)) => self.membership.on_ping_req(now, sender, &ask.target, ask.nonce),
            Some(Kind::Sync(sync)) if sync.answer_me => {
                let differs = sync.digest != self.membership.digest() || self.membership.alive_count() <= 2;
                if differs {
                    let kind = Kind::Sync(Sync { answer_me: false, digest: self.membership.digest() });
                    let records = self.membership.sample_records(SYNC_RECORDS);
                    self.send_to(now, sender, kind, Priority::Background, records, Vec::new());
                }
            }
            Some(Kind::Challenge(challenge)) => {
                // The other side forgot this process, or never knew it.
                let record = self.membership.own_record.clone();
                let kind = Kind::Proof(Challenge { nonce: challenge.nonce });
                self.send_to(now, sender, kind, Priority::Reply, vec![record], Vec::new());
            }
            _ => {}
        }
        self.sign_record();
        self.act(now);
    }

    fn verified(&mut self, name: &str, signed: &impl Signable, signature: &[u8]) -> bool {
        self.signatures_checked += 1;
        let fine = self.terms.keyring.verify_signer(name, signed, signature).is_some();
        if !fine {
            self.dropped.forged += 1;
        }
        fine
    }

    fn learn(&mut self, now: Point, record: &Record) {
        let known = match self.membership.peer(&record.name) {
            Some(peer) => {
                record.incarnation < peer.record.incarnation
                    || record.incarnation == peer.record.incarnation && record.left == peer.record.left
            }
            None if record.name == self.terms.name => {
                let own = &self.membership.own_record;
                let same = (&record.address, record.number) == (&own.address, own.number);
                record.incarnation < own.incarnation || record.incarnation == own.incarnation && same
            }
            None => false,
        };
        let reachable = record
            .address
            .parse::<SocketAddr>()
            .is_ok_and(|at| self.terms.allowed_networks.contains(at.ip()));
        if !known && reachable && self.verified(&record.name, record, &record.signature) {
            self.membership.on_record(now, record);
        }
    }

    fn hear(&mut self, now: Point, said: &Testimony) {
        if said.origin == self.terms.name {
            return;
        }
        // Words of a process that is gone are replays, whoever brings them.
        if self.gate.current_boot(&said.origin).is_some_and(|boot| boot != said.boot) {
            self.dropped.replayed += 1;
            return;
        }
        let known = self.testimonies.get(&said.origin);
        if known.is_some_and(|(known, _)| known == said || known.boot == said.boot && known.seq > said.seq) {
            return;
        }
        self.signatures_checked += 1;
        let Some(voice) = self.terms.keyring.verify_signer(&said.origin, said, &said.signature) else {
            self.dropped.forged += 1;
            return;
        };
        match self.belief.merge(now, voice, said, said.signed_bytes()) {
            MergeOutcome::Newer => {
                self.hurry(now, said);
                if self.testimonies.len() < TESTIMONIES_MOST || self.testimonies.contains_key(&said.origin) {
                    self.testimonies.insert(said.origin.clone(), (said.clone(), 0));
                }
            }
            MergeOutcome::Equivocation => self.dropped.equivocated += 1,
            MergeOutcome::Stale => {}
        }
    }

    fn act(&mut self, now: Point) {
        for act in std::mem::take(&mut self.membership.actions) {
            match act {
                Action::Ping { to, nonce } => {
                    // One that is suspected must hear of it to answer.
                    let charge = self.membership.suspicion_about(&to).map(|mut charge| {
                        charge.signature = self.terms.own_key.sign(&charge);
                        charge
                    });
                    let kind = Kind::Ping(Ping { nonce });
                    self.send_to(
                        now,
                        &to,
                        kind,
                        Priority::Protocol,
                        Vec::new(),
                        charge.into_iter().collect(),
                    );
                }
                Action::Ack { to, nonce } => {
                    let kind = Kind::Ack(Ack { nonce });
                    self.send_to(now, &to, kind, Priority::Reply, Vec::new(), Vec::new());
                }
                Action::PingReq { to, target, nonce } => {
                    let kind = Kind::PingReq(PingReq { nonce, target });
                    self.send_to(now, &to, kind, Priority::Protocol, Vec::new(), Vec::new());
                }
                Action::Sync { to } => {
                    let charge = self.membership.suspicion_about(&to).map(|mut charge| {
                        charge.signature = self.terms.own_key.sign(&charge);
                        charge
                    });
                    let kind = Kind::Sync(Sync { answer_me: true, digest: self.membership.digest() });
                    let records = self.membership.sample_records(SYNC_RECORDS);
                    self.send_to(now, &to, kind, Priority::Background, records, charge.into_iter().collect());
                }
            }
        }
    }

    fn send_to(
        &mut self,
        now: Point,
        to: &str,
        kind: Kind,
        need: Priority,
        records: Vec<Record>,
        suspicions: Vec<Suspicion>,
    ) {
        let address = self.membership.address_of(to).and_then(|address| address.parse().ok());
        if let Some(address) = address {
            self.send(now, address, kind, need, records, suspicions);
        }
    }

    /// Fills a datagram with what is to be passed on, as far as its size and the budget allow, and sends it.
    fn send(
        &mut self,
        now: Point,
        to: SocketAddr,
        kind: Kind,
        need: Priority,
        records: Vec<Record>,
        suspicions: Vec<Suspicion>,
    ) {
        let strangers = matches!(kind, Kind::Challenge(_) | Kind::Proof(_));
        let time_ms = ((now - Point::default()).seconds() * 1e3).max(0.0) as u64;
        let mut body = Body { time_ms, kind: Some(kind), records, suspicions, testimonies: Vec::new() };
        let mut size = body.encoded_len() + OUTER + self.terms.name.len();
        if !self.budget_allows(now, need, size) {
            return;
        }
        // What is passed on uses what spare messages may use, so that pings and answers always have room.
        let mut room =
            self.budget.available(now, Priority::Background).min(MAX_DATAGRAM_BYTES).saturating_sub(size);
        if !strangers {
            // Neither news of members nor words of streamers may crowd the other out: when many join at once, the
            // former would fill every datagram.
            let mut kept = if self.testimonies_wait() { room / 2 } else { 0 };
            room -= kept;
            let own = &self.terms.own_key;
            self.membership.take_updates(|rumour| {
                let rumour = match rumour {
                    Update::Suspicion(s) if s.signature.is_empty() => {
                        let mut signed = s.clone();
                        signed.signature = own.sign(s);
                        Update::Suspicion(signed)
                    }
                    other => other.clone(),
                };
                let len = 4 + match &rumour {
                    Update::Record(record) => record.encoded_len(),
                    Update::Suspicion(suspicion) => suspicion.encoded_len(),
                };
                if len > room {
                    return false;
                }
                room -= len;
                size += len;
                match rumour {
                    Update::Record(record) => body.records.push(record),
                    Update::Suspicion(suspicion) => body.suspicions.push(suspicion),
                }
                true
            });
            kept += room;
            self.pass_testimonies(&mut body, &mut kept);
        }
        self.seq += 1;
        let mut datagram = Datagram {
            sender: self.terms.name.clone(),
            boot: self.terms.boot_id,
            seq: self.seq,
            body: body.encode_to_vec(),
            signature: Vec::new(),
        };
        datagram.signature = self.terms.own_key.sign(&datagram);
        let bytes = datagram.encode_to_vec();
        if !self.budget.try_spend(now, Priority::Reply, bytes.len()) {
            self.dropped.over_budget += 1;
            return;
        }
        self.bytes_sent += bytes.len() as u64;
        self.datagrams_sent += 1;
        self.outbox.push((to, bytes));
    }

    fn budget_allows(&mut self, now: Point, need: Priority, size: usize) -> bool {
        let fits = size <= self.budget.available(now, need);
        if !fits {
            self.dropped.over_budget += 1;
        }
        fits
    }

    /// How often each testimony is passed on.
    fn testimony_most(&self) -> u32 {
        (TESTIMONY_SPREAD * self.membership.log2_size()).ceil() as u32
    }

    fn testimonies_wait(&self) -> bool {
        let most = self.testimony_most();
        self.testimonies.values().any(|(_, sent)| *sent < most)
    }

    fn pass_testimonies(&mut self, body: &mut Body, room: &mut usize) {
        let most = self.testimony_most();
        let mut order: Vec<(&String, u32)> =
            self.testimonies.iter().map(|(name, (_, sent))| (name, *sent)).collect();
        order.retain(|(_, sent)| *sent < most);
        order.sort_by_key(|(_, sent)| *sent);
        let names: Vec<String> = order.into_iter().take(8).map(|(name, _)| name.clone()).collect();
        for name in names {
            let Some((said, sent)) = self.testimonies.get_mut(&name) else { continue };
            let len = said.encoded_len() + 4;
            if len <= *room {
                *room -= len;
                *sent += 1;
                body.testimonies.push(said.clone());
            }
        }
    }

    /// All of it for operators.
    pub fn view(&mut self, now: Point) -> GossipView {
        let trusts: BTreeMap<String, f64> = self.belief.trust_by_origin(now).into_iter().collect();
        let members = self.membership.peers().map(|(name, peer)| MemberView {
            name: name.clone(),
            address: peer.record.address.clone(),
            incarnation: peer.record.incarnation,
            status: match peer.status {
                PeerStatus::Alive => "alive",
                PeerStatus::Suspect { .. } => "suspect",
                PeerStatus::Dead { .. } => "dead",
                PeerStatus::Left { .. } => "left",
            }
            .to_owned(),
            last_heard_age_s: peer.last_heard.map(|at| (now - at).seconds()),
            trust: trusts.get(name).copied(),
        });
        GossipView {
            name: self.terms.name.clone(),
            members: members.collect(),
            suspicions: self.failure_scores(now),
            health_score: self.membership.health_score,
            bytes_last_s: self.budget.spent_in_last_second(now),
            bytes_per_s: self.terms.bytes_per_s,
            bytes_sent: self.bytes_sent,
            datagrams_sent: self.datagrams_sent,
            datagrams_accepted: self.datagrams_accepted,
            signatures_checked: self.signatures_checked,
            dropped: self.dropped.clone(),
        }
    }
}
