//! The gossip of one instance: received datagrams go in, datagrams to send come out. Checks received data from the
//! cheapest check to the most expensive one, keeps to the byte budget, and scores how far streamers are believed to fail.

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

/// Bytes that are reserved in a datagram beside its body: signature, name and the other fields of the envelope.
const ENVELOPE_BYTES: usize = 64 + message::MAX_NAME_BYTES + 40;
/// Least time between two testimonies of this instance.
const TESTIMONY_MIN_INTERVAL: Span = Span::of_millis(500);
/// An unchanged testimony is made again after this time, so that its weight does not decay.
const TESTIMONY_REFRESH_INTERVAL: Span = Span::of_millis(4000);
/// Each member that receives a testimony sends it this many times the logarithm of the fleet's size.
const TESTIMONY_RETRANSMIT_FACTOR: f64 = 3.0;
/// Reports of failures do not wait for the next probe: they are pushed to this many members at once.
const PUSH_MEMBERS: usize = 2;
/// Least time between two such pushes.
const PUSH_MIN_INTERVAL: Span = Span::of_millis(150);
/// Most origins whose testimony is kept to be passed on.
const MAX_TESTIMONIES: usize = 4096;
/// Most datagrams a second from one known process and address.
const MEMBER_DATAGRAMS_PER_S: u32 = 60;
/// Most datagrams a second of unknown processes from one address.
const UNKNOWN_DATAGRAMS_PER_S: u32 = 20;
/// Records in one sync beside the own one.
const SYNC_RECORDS: usize = 4;

/// Configuration of an instance at its start.
pub struct NodeConfig {
    /// This instance's name.
    pub name: String,
    /// The address at which other members reach it.
    pub address: SocketAddr,
    /// Its number in the fleet, if it announces one.
    pub number: Option<u32>,
    /// Its signing key.
    pub own_key: OwnKey,
    /// The public keys of all instances.
    pub keyring: Keyring,
    /// Networks that datagrams and members' addresses may be in.
    pub allowed_networks: AllowedNetworks,
    /// Addresses of the members that it contacts first.
    pub seeds: Vec<SocketAddr>,
    /// The membership protocol's intervals.
    pub timing: Timing,
    /// Most bytes that are sent in any second.
    pub bytes_per_s: usize,
    /// Differs from that of earlier processes of this instance: the wall clock at the start is enough.
    pub boot_id: u64,
    /// Seed of the random choices.
    pub rng_seed: u64,
}

/// Dropped datagrams and messages, by cause.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DropCounters {
    /// From an address outside the allowed networks.
    #[serde(rename = "network")]
    pub disallowed_network: u64,
    /// Above the sender's rate limit.
    #[serde(rename = "rate")]
    pub rate_limited: u64,
    /// Not decodable, or with values out of their limits.
    pub malformed: u64,
    /// From a sender without a key in the keyring, or under this instance's own name.
    pub unknown_sender: u64,
    /// The datagram's signature is invalid.
    #[serde(rename = "unsigned")]
    pub bad_signature: u64,
    /// Received already, older than the replay window, or a testimony of an earlier process.
    pub replayed: u64,
    /// The sender's clock drifted too far from the recorded offset.
    #[serde(rename = "out_of_time")]
    pub clock_drift: u64,
    /// Passed-on messages whose own signature is invalid.
    pub forged: u64,
    /// Testimonies that differ from an earlier one with the same sequence number.
    pub equivocated: u64,
    /// Datagrams not sent, as the byte budget was exhausted.
    pub over_budget: u64,
}

/// A member, for operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberView {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// "alive", "suspect", "dead" or "left".
    pub status: String,
    /// Seconds since a message from it last arrived.
    #[serde(rename = "heard_s")]
    pub last_heard_age_s: Option<f64>,
    /// Trust in its testimonies, from 0 to 1; absent if it has made none lately.
    pub trust: Option<f64>,
}

/// The state of an instance's gossip, for operators.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct GossipView {
    /// This instance's name.
    pub name: String,
    /// All other members.
    pub members: Vec<MemberView>,
    /// How far other members' reports of failing streamers are believed, by streamer, where the score is not 0.
    pub suspicions: BTreeMap<String, f64>,
    /// 0 is healthy; higher means that this instance seems slow or cut off.
    #[serde(rename = "health")]
    pub health_score: u32,
    /// Bytes sent within the last second.
    pub bytes_last_s: usize,
    /// The byte budget.
    pub bytes_per_s: usize,
    /// Bytes sent since the start.
    pub bytes_sent: u64,
    /// Datagrams sent since the start.
    pub datagrams_sent: u64,
    /// Datagrams received and accepted since the start.
    #[serde(rename = "datagrams_taken")]
    pub datagrams_accepted: u64,
    /// Signatures verified since the start, valid or not.
    pub signatures_checked: u64,
    /// What was dropped since the start.
    pub dropped: DropCounters,
}

/// The gossip of one instance.
pub struct Node {
    config: NodeConfig,
    /// The members.
    pub membership: Membership,
    observations: LocalObservations,
    testimony_store: TestimonyStore,
    replay_guard: ReplayGuard,
    budget: ByteBudget,
    member_rates: RateLimiter<(String, std::net::IpAddr)>,
    unknown_rates: RateLimiter<std::net::IpAddr>,
    /// Testimonies to be passed on, by origin, with how often each was sent.
    outgoing_testimonies: BTreeMap<String, (Testimony, u32)>,
    own_testimony_seq: u64,
    /// When the own testimony was last made, and its content.
    last_testimony: Option<(Point, Vec<message::Seen>)>,
    seq: u64,
    /// When reports of failures are pushed next.
    push_at: Option<Point>,
    last_push: Point,
    next_join_at: Point,
    /// When each seed was last contacted.
    seeds_contacted: BTreeMap<SocketAddr, Point>,
    /// What was dropped since the start.
    pub dropped: DropCounters,
    bytes_sent: u64,
    datagrams_sent: u64,
    datagrams_accepted: u64,
    signatures_checked: u64,
    /// Datagrams to be sent.
    pub outbox: Vec<(SocketAddr, Vec<u8>)>,
}

impl Node {
    /// An instance that knows no other member yet.
    pub fn new(now: Point, config: NodeConfig) -> Node {
        let address = config.address.to_string();
        let mut membership = Membership::new(now, config.timing, &config.name, &address, config.rng_seed);
        membership.own_record.number = config.number;
        Node {
            membership,
            observations: LocalObservations::default(),
            testimony_store: TestimonyStore::default(),
            replay_guard: ReplayGuard::default(),
            budget: ByteBudget::new(config.bytes_per_s),
            member_rates: RateLimiter::new(MEMBER_DATAGRAMS_PER_S),
            unknown_rates: RateLimiter::new(UNKNOWN_DATAGRAMS_PER_S),
            outgoing_testimonies: BTreeMap::new(),
            own_testimony_seq: 0,
            last_testimony: None,
            seq: 0,
            push_at: None,
            last_push: now,
            next_join_at: now,
            seeds_contacted: BTreeMap::new(),
            dropped: DropCounters::default(),
            bytes_sent: 0,
            datagrams_sent: 0,
            datagrams_accepted: 0,
            signatures_checked: 0,
            outbox: Vec::new(),
            config,
        }
    }

    /// When `tick` must be called next.
    pub fn next_tick_at(&self) -> Point {
        let testimony_at =
            self.last_testimony.as_ref().map_or(self.next_join_at, |(at, _)| *at + TESTIMONY_MIN_INTERVAL);
        let push_at = self.push_at.unwrap_or(testimony_at);
        self.membership.next_tick_at().min(self.next_join_at).min(testimony_at).min(push_at)
    }

    /// Continues as another process of the same instance.
    pub fn set_boot_id(&mut self, boot_id: u64) {
        self.config.boot_id = boot_id;
    }

    /// Replaces the keys while the instance runs: the operator changed the list.
    pub fn set_keys(&mut self, own_key: OwnKey, keyring: Keyring) {
        self.config.own_key = own_key;
        self.config.keyring = keyring;
        // Records and testimonies under removed keys must not be passed on.
        self.membership.needs_signature = true;
        self.outgoing_testimonies.clear();
        let removed: Vec<String> = self
            .membership
            .peers()
            .map(|(name, _)| name.clone())
            .filter(|name| !self.config.keyring.contains(name))
            .collect();
        removed.iter().for_each(|name| self.replay_guard.forget(name));
    }

    /// Records the outcome of an attempt at a streamer by this instance.
    pub fn record_outcome(&mut self, now: Point, streamer: &str, succeeded: bool) {
        self.observations.record_outcome(now, streamer, succeeded);
        self.testimony_store.record_outcome(now, streamer, succeeded);
    }

    /// How far to believe that each streamer fails, from 0 to 1. Streamers with score 0 are omitted.
    pub fn failure_scores(&self, now: Point) -> BTreeMap<String, f64> {
        self.testimony_store.failure_scores(now, &self.observations)
    }

    /// The fleet numbers of other members, as far as this instance knows: `None` if a member with the number is alive,
    /// else since when none is. Of two members with one number the live one counts. A suspect counts as gone since its
    /// suspicion began, because each death needs an own probe: if half of 300 members were lost at once, they would count
    /// as present for minutes.
    pub fn gone_since_by_number(&self) -> BTreeMap<u32, Option<Point>> {
        let mut numbers: BTreeMap<u32, Option<Point>> = BTreeMap::new();
        for (_, peer) in self.membership.peers() {
            let Some(number) = peer.record.number else { continue };
            let gone_since = match peer.status {
                PeerStatus::Suspect { since, .. }
                | PeerStatus::Dead { since }
                | PeerStatus::Left { since } => Some(since),
                PeerStatus::Alive => None,
            };
            // A live member takes precedence; of several that are gone the last to go counts.
            let known = numbers.entry(number).or_insert(gone_since);
            *known = if known.is_none() || gone_since.is_none() { None } else { (*known).max(gone_since) };
        }
        numbers
    }

    /// Takes the changes of membership since the last call.
    pub fn take_changes(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.membership.changes)
    }

    /// Enters members as known and alive, as if they had run together for long; for measurements with many members.
    pub fn preload(&mut self, now: Point, records: &[Record], boot_ids: &BTreeMap<String, u64>) {
        for record in records {
            self.membership.on_record(now, record);
            if let Some(boot_id) = boot_ids.get(&record.name) {
                let nonce = self.replay_guard.open_challenge(now, &record.name, 1).unwrap_or(1);
                self.replay_guard.accept_proof(now, &record.name, *boot_id, 0, nonce, now);
            }
        }
        self.membership.discard_pending();
    }

    /// The own record, signed; for preloading others.
    pub fn signed_own_record(&mut self) -> Record {
        self.sign_own_record();
        self.membership.own_record.clone()
    }

    fn sign_own_record(&mut self) {
        if self.membership.needs_signature {
            let signature = self.config.own_key.sign(&self.membership.own_record);
            self.membership.set_signature(signature);
        }
    }

    /// Does what is due: probes and syncs, contacts to seeds, the own testimony, pushes of failure reports.
    pub fn tick(&mut self, now: Point) {
        self.membership.tick(now);
        self.sign_own_record();
        if now >= self.next_join_at {
            self.next_join_at = now + Span::of_millis(1000);
            self.contact_seeds(now);
        }
        self.update_own_testimony(now);
        self.push_testimonies(now);
        self.send_actions(now);
    }

    /// Schedules a push if the testimony reports a failing streamer. Pushes are spaced, so that one push carries the
    /// reports that arrive in between.
    fn schedule_push(&mut self, now: Point, testimony: &Testimony) {
        if testimony.seen.iter().any(|seen| seen.failures * 2 >= seen.tries) {
            self.push_at.get_or_insert((self.last_push + PUSH_MIN_INTERVAL).max(now));
        }
    }

    fn push_testimonies(&mut self, now: Point) {
        if self.push_at.is_none_or(|at| now < at) {
            return;
        }
        (self.push_at, self.last_push) = (None, now);
        for name in self.membership.sample_members(PUSH_MEMBERS) {
            let kind = Kind::Sync(Sync { answer_me: false, digest: self.membership.digest() });
            self.send_to_member(now, &name, kind, Priority::Background, Vec::new(), Vec::new());
        }
    }

    /// Announces to some members that this instance leaves; they pass it on.
    pub fn leave(&mut self, now: Point) {
        self.membership.leave();
        self.sign_own_record();
        let receivers: Vec<String> =
            self.membership.peers().filter(|(_, p)| p.is_live()).map(|(n, _)| n.clone()).take(4).collect();
        for name in receivers {
            let kind = Kind::Sync(Sync { answer_me: false, digest: self.membership.digest() });
            let record = self.membership.own_record.clone();
            self.send_to_member(now, &name, kind, Priority::Reply, vec![record], Vec::new());
        }
    }

    /// Contacts seeds that are not known as live members: often while no other member is known, and less often
    /// afterwards, so that a partition between seeds heals.
    fn contact_seeds(&mut self, now: Point) {
        let alone = self.membership.alive_count() <= 1;
        for seed in self.config.seeds.clone() {
            let known =
                self.membership.peers().any(|(_, p)| p.is_live() && p.record.address == seed.to_string());
            let interval = if alone { Span::of_millis(1000) } else { Span::of_millis(10_000) };
            let due = self.seeds_contacted.get(&seed).is_none_or(|at| now - *at >= interval);
            if seed != self.config.address && !known && due {
                self.seeds_contacted.insert(seed, now);
                let kind = Kind::Sync(Sync { answer_me: true, digest: self.membership.digest() });
                let record = self.membership.own_record.clone();
                self.send(now, seed, kind, Priority::Protocol, vec![record], Vec::new());
            }
        }
    }

    /// Makes a testimony of what this instance saw, if that changed, or again after a while so that its weight does not
    /// decay.
    fn update_own_testimony(&mut self, now: Point) {
        let seen = self.observations.most_relevant(now);
        if let Some((at, last)) = &self.last_testimony {
            let refresh = !seen.is_empty() && now - *at >= TESTIMONY_REFRESH_INTERVAL;
            if now - *at < TESTIMONY_MIN_INTERVAL || seen == *last && !refresh {
                return;
            }
        } else if seen.is_empty() {
            return;
        }
        self.own_testimony_seq += 1;
        let mut testimony = Testimony {
            origin: self.config.name.clone(),
            boot: self.config.boot_id,
            seq: self.own_testimony_seq,
            seen: seen.clone(),
            signature: Vec::new(),
        };
        testimony.signature = self.config.own_key.sign(&testimony);
        self.last_testimony = Some((now, seen));
        self.schedule_push(now, &testimony);
        self.outgoing_testimonies.insert(testimony.origin.clone(), (testimony, 0));
    }

    /// Publishes a testimony that is not based on observations; for tests and measurements with a lying member.
    pub fn publish_false_testimony(&mut self, seen: Vec<message::Seen>) {
        self.own_testimony_seq += 1;
        let mut testimony = Testimony {
            origin: self.config.name.clone(),
            boot: self.config.boot_id,
            seq: self.own_testimony_seq,
            seen,
            signature: Vec::new(),
        };
        testimony.signature = self.config.own_key.sign(&testimony);
        self.outgoing_testimonies.insert(testimony.origin.clone(), (testimony, 0));
    }

    /// Accuses a member without a failed probe; for tests and measurements with a lying member.
    pub fn send_false_suspicion(&mut self, now: Point, name: &str) {
        let Some(peer) = self.membership.peer(name) else { return };
        let mut suspicion = Suspicion {
            accuser: self.config.name.clone(),
            name: name.to_owned(),
            incarnation: peer.record.incarnation,
            signature: Vec::new(),
        };
        suspicion.signature = self.config.own_key.sign(&suspicion);
        let receivers: Vec<String> = self.membership.peers().map(|(name, _)| name.clone()).take(6).collect();
        for to in receivers {
            let kind = Kind::Sync(Sync { answer_me: false, digest: 0 });
            self.send_to_member(now, &to, kind, Priority::Reply, Vec::new(), vec![suspicion.clone()]);
        }
    }

    /// Handles a datagram as it was received.
    pub fn receive(&mut self, now: Point, from: SocketAddr, bytes: &[u8]) {
        if !self.config.allowed_networks.contains(from.ip()) {
            self.dropped.disallowed_network += 1;
            return;
        }
        let Some(datagram) = message::decode_datagram(bytes) else {
            self.dropped.malformed += 1;
            return;
        };
        if !self.config.keyring.contains(&datagram.sender) || datagram.sender == self.config.name {
            self.dropped.unknown_sender += 1;
            return;
        }
        // Separate limits: a flood under one name must not shut out other members, nor must a flood from unknown
        // processes shut out the known ones.
        let allowed = match self.replay_guard.current_boot(&datagram.sender) {
            Some(boot_id) if boot_id == datagram.boot => {
                self.member_rates.allow(now, &(datagram.sender.clone(), from.ip()))
            }
            _ => self.unknown_rates.allow(now, &from.ip()) || self.membership.alive_count() <= 1,
        };
        if !allowed {
            self.dropped.rate_limited += 1;
            return;
        }
        let sequence_check = self.replay_guard.check_sequence(&datagram.sender, datagram.boot, datagram.seq);
        if sequence_check == Err(ReplayCheckError::Replayed) {
            self.dropped.replayed += 1;
            return;
        }
        self.signatures_checked += 1;
        let Some(_) = self.config.keyring.verify_signer(&datagram.sender, &datagram, &datagram.signature)
        else {
            self.dropped.bad_signature += 1;
            return;
        };
        let Some(body) = message::decode_body(&datagram.body) else {
            self.dropped.malformed += 1;
            return;
        };
        let sender_time = Point::at(body.time_ms as f64 / 1e3);
        let sender = datagram.sender.clone();
        if sequence_check == Err(ReplayCheckError::UnknownProcess) {
            return self.on_unknown_process(now, from, &datagram, &body, sender_time);
        }
        if self.replay_guard.accept(now, &sender, datagram.seq, sender_time).is_err() {
            self.dropped.clock_drift += 1;
            return;
        }
        self.on_body(now, &sender, body);
    }

    /// Handles a datagram of an unknown process: it is challenged to prove that it is running now, and accepted with
    /// the proof.
    fn on_unknown_process(
        &mut self,
        now: Point,
        from: SocketAddr,
        datagram: &Datagram,
        body: &Body,
        sender_time: Point,
    ) {
        let sender = &datagram.sender;
        match &body.kind {
            Some(Kind::Proof(proof))
                if self.replay_guard.accept_proof(
                    now,
                    sender,
                    datagram.boot,
                    datagram.seq,
                    proof.nonce,
                    sender_time,
                ) =>
            {
                self.on_body(now, sender, body.clone());
            }
            // Its challenge is answered although it is unknown, or two unknown processes would wait for each other.
            Some(Kind::Challenge(challenge)) => {
                let kind = Kind::Proof(Challenge { nonce: challenge.nonce });
                let record = self.membership.own_record.clone();
                self.send(now, from, kind, Priority::Reply, vec![record], Vec::new());
                self.send_challenge(now, from, sender);
            }
            _ => self.send_challenge(now, from, sender),
        }
    }

    fn send_challenge(&mut self, now: Point, to: SocketAddr, sender: &str) {
        let entropy = now.turn(Span::of_millis(1)) as u64 ^ self.seq.rotate_left(32) ^ self.config.rng_seed;
        let nonce = entropy.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        if let Some(nonce) = self.replay_guard.open_challenge(now, sender, nonce) {
            let kind = Kind::Challenge(Challenge { nonce });
            self.send(now, to, kind, Priority::Reply, Vec::new(), Vec::new());
        }
    }

    /// Handles the body of an accepted datagram.
    fn on_body(&mut self, now: Point, sender: &str, body: Body) {
        self.datagrams_accepted += 1;
        for record in &body.records {
            self.on_record(now, record);
        }
        self.membership.on_message_from(now, sender);
        for suspicion in &body.suspicions {
            // A suspicion that would change nothing is not worth a signature check.
            let of_this_instance = suspicion.name == self.config.name;
            let current = match self.membership.peer(&suspicion.name) {
                Some(peer) => peer.record.incarnation == suspicion.incarnation && peer.is_live(),
                None => of_this_instance && suspicion.incarnation == self.membership.own_record.incarnation,
            };
            if current && self.verify_forwarded(&suspicion.accuser, suspicion, &suspicion.signature) {
                self.membership.on_suspicion(now, suspicion);
            }
        }
        for testimony in &body.testimonies {
            self.on_testimony(now, testimony);
        }
        match body.kind {
            Some(Kind::Ping(ping)) => self.membership.on_ping(sender, ping.nonce),
            Some(Kind::Ack(ack)) => self.membership.on_ack(sender, ack.nonce),
            Some(Kind::PingReq(ping_req)) => {
                self.membership.on_ping_req(now, sender, &ping_req.target, ping_req.nonce)
            }
            Some(Kind::Sync(sync)) if sync.answer_me => {
                let differs = sync.digest != self.membership.digest() || self.membership.alive_count() <= 2;
                if differs {
                    let kind = Kind::Sync(Sync { answer_me: false, digest: self.membership.digest() });
                    let records = self.membership.sample_records(SYNC_RECORDS);
                    self.send_to_member(now, sender, kind, Priority::Background, records, Vec::new());
                }
            }
            Some(Kind::Challenge(challenge)) => {
                // The sender does not know this process, or no longer does.
                let record = self.membership.own_record.clone();
                let kind = Kind::Proof(Challenge { nonce: challenge.nonce });
                self.send_to_member(now, sender, kind, Priority::Reply, vec![record], Vec::new());
            }
            _ => {}
        }
        self.sign_own_record();
        self.send_actions(now);
    }

    /// Verifies the signature of a passed-on message, and counts an invalid one.
    fn verify_forwarded(&mut self, name: &str, message: &impl Signable, signature: &[u8]) -> bool {
        self.signatures_checked += 1;
        let valid = self.config.keyring.verify_signer(name, message, signature).is_some();
        if !valid {
            self.dropped.forged += 1;
        }
        valid
    }

    /// Handles a record: verified only if it is news, and its address is in an allowed network.
    fn on_record(&mut self, now: Point, record: &Record) {
        let known = match self.membership.peer(&record.name) {
            Some(peer) => {
                record.incarnation < peer.record.incarnation
                    || record.incarnation == peer.record.incarnation && record.left == peer.record.left
            }
            None if record.name == self.config.name => {
                let own = &self.membership.own_record;
                let same = (&record.address, record.number) == (&own.address, own.number);
                record.incarnation < own.incarnation || record.incarnation == own.incarnation && same
            }
            None => false,
        };
        let allowed_address = record
            .address
            .parse::<SocketAddr>()
            .is_ok_and(|address| self.config.allowed_networks.contains(address.ip()));
        if !known && allowed_address && self.verify_forwarded(&record.name, record, &record.signature) {
            self.membership.on_record(now, record);
        }
    }

    fn on_testimony(&mut self, now: Point, testimony: &Testimony) {
        if testimony.origin == self.config.name {
            return;
        }
        // A testimony of an earlier process is a replay, whichever member sends it.
        if self.replay_guard.current_boot(&testimony.origin).is_some_and(|boot_id| boot_id != testimony.boot)
        {
            self.dropped.replayed += 1;
            return;
        }
        let known = self.outgoing_testimonies.get(&testimony.origin);
        if known.is_some_and(|(known, _)| {
            known == testimony || known.boot == testimony.boot && known.seq > testimony.seq
        }) {
            return;
        }
        self.signatures_checked += 1;
        let signer = self.config.keyring.verify_signer(&testimony.origin, testimony, &testimony.signature);
        let Some(signer) = signer else {
            self.dropped.forged += 1;
            return;
        };
        match self.testimony_store.merge(now, signer, testimony, testimony.signed_bytes()) {
            MergeOutcome::Newer => {
                self.schedule_push(now, testimony);
                if self.outgoing_testimonies.len() < MAX_TESTIMONIES
                    || self.outgoing_testimonies.contains_key(&testimony.origin)
                {
                    self.outgoing_testimonies.insert(testimony.origin.clone(), (testimony.clone(), 0));
                }
            }
            MergeOutcome::Equivocation => self.dropped.equivocated += 1,
            MergeOutcome::Stale => {}
        }
    }

    /// Sends what the membership wants to be sent.
    fn send_actions(&mut self, now: Point) {
        for action in std::mem::take(&mut self.membership.actions) {
            match action {
                Action::Ping { to, nonce } => {
                    // A suspect must receive the accusation to be able to refute it.
                    let suspicion = self.membership.suspicion_about(&to).map(|mut suspicion| {
                        suspicion.signature = self.config.own_key.sign(&suspicion);
                        suspicion
                    });
                    let kind = Kind::Ping(Ping { nonce });
                    let suspicions = suspicion.into_iter().collect();
                    self.send_to_member(now, &to, kind, Priority::Protocol, Vec::new(), suspicions);
                }
                Action::Ack { to, nonce } => {
                    let kind = Kind::Ack(Ack { nonce });
                    self.send_to_member(now, &to, kind, Priority::Reply, Vec::new(), Vec::new());
                }
                Action::PingReq { to, target, nonce } => {
                    let kind = Kind::PingReq(PingReq { nonce, target });
                    self.send_to_member(now, &to, kind, Priority::Protocol, Vec::new(), Vec::new());
                }
                Action::Sync { to } => {
                    let suspicion = self.membership.suspicion_about(&to).map(|mut suspicion| {
                        suspicion.signature = self.config.own_key.sign(&suspicion);
                        suspicion
                    });
                    let kind = Kind::Sync(Sync { answer_me: true, digest: self.membership.digest() });
                    let records = self.membership.sample_records(SYNC_RECORDS);
                    let suspicions = suspicion.into_iter().collect();
                    self.send_to_member(now, &to, kind, Priority::Background, records, suspicions);
                }
            }
        }
    }

    fn send_to_member(
        &mut self,
        now: Point,
        to: &str,
        kind: Kind,
        priority: Priority,
        records: Vec<Record>,
        suspicions: Vec<Suspicion>,
    ) {
        let address = self.membership.address_of(to).and_then(|address| address.parse().ok());
        if let Some(address) = address {
            self.send(now, address, kind, priority, records, suspicions);
        }
    }

    /// Sends a datagram, filled up with pending updates and testimonies as far as its size and the budget allow.
    fn send(
        &mut self,
        now: Point,
        to: SocketAddr,
        kind: Kind,
        priority: Priority,
        records: Vec<Record>,
        suspicions: Vec<Suspicion>,
    ) {
        let handshake = matches!(kind, Kind::Challenge(_) | Kind::Proof(_));
        let time_ms = ((now - Point::default()).seconds() * 1e3).max(0.0) as u64;
        let mut body = Body { time_ms, kind: Some(kind), records, suspicions, testimonies: Vec::new() };
        let mut size = body.encoded_len() + ENVELOPE_BYTES + self.config.name.len();
        if !self.budget_allows(now, priority, size) {
            return;
        }
        // What is passed on uses background budget only, so that pings and replies always have room.
        let mut room =
            self.budget.available(now, Priority::Background).min(MAX_DATAGRAM_BYTES).saturating_sub(size);
        if !handshake {
            // Half of the room is reserved for testimonies, if any are pending: when many members join at once, their
            // records would fill every datagram.
            let mut testimony_room = if self.has_pending_testimonies() { room / 2 } else { 0 };
            room -= testimony_room;
            let own_key = &self.config.own_key;
            self.membership.take_updates(|update| {
                let update = match update {
                    Update::Suspicion(suspicion) if suspicion.signature.is_empty() => {
                        let mut signed = suspicion.clone();
                        signed.signature = own_key.sign(suspicion);
                        Update::Suspicion(signed)
                    }
                    other => other.clone(),
                };
                let length = 4 + match &update {
                    Update::Record(record) => record.encoded_len(),
                    Update::Suspicion(suspicion) => suspicion.encoded_len(),
                };
                if length > room {
                    return false;
                }
                room -= length;
                size += length;
                match update {
                    Update::Record(record) => body.records.push(record),
                    Update::Suspicion(suspicion) => body.suspicions.push(suspicion),
                }
                true
            });
            testimony_room += room;
            self.add_testimonies(&mut body, &mut testimony_room);
        }
        self.seq += 1;
        let mut datagram = Datagram {
            sender: self.config.name.clone(),
            boot: self.config.boot_id,
            seq: self.seq,
            body: body.encode_to_vec(),
            signature: Vec::new(),
        };
        datagram.signature = self.config.own_key.sign(&datagram);
        let bytes = datagram.encode_to_vec();
        if !self.budget.try_spend(now, Priority::Reply, bytes.len()) {
            self.dropped.over_budget += 1;
            return;
        }
        self.bytes_sent += bytes.len() as u64;
        self.datagrams_sent += 1;
        self.outbox.push((to, bytes));
    }

    /// Whether the budget has room for a datagram of this size, and counts a drop if it has not.
    fn budget_allows(&mut self, now: Point, priority: Priority, size: usize) -> bool {
        let fits = size <= self.budget.available(now, priority);
        if !fits {
            self.dropped.over_budget += 1;
        }
        fits
    }

    /// How often each testimony is sent.
    fn max_testimony_sends(&self) -> u32 {
        (TESTIMONY_RETRANSMIT_FACTOR * self.membership.log2_size()).ceil() as u32
    }

    fn has_pending_testimonies(&self) -> bool {
        let max_sends = self.max_testimony_sends();
        self.outgoing_testimonies.values().any(|(_, sent)| *sent < max_sends)
    }

    /// Adds testimonies that fit into the room, the least often sent first.
    fn add_testimonies(&mut self, body: &mut Body, room: &mut usize) {
        let max_sends = self.max_testimony_sends();
        let mut order: Vec<(&String, u32)> =
            self.outgoing_testimonies.iter().map(|(name, (_, sent))| (name, *sent)).collect();
        order.retain(|(_, sent)| *sent < max_sends);
        order.sort_by_key(|(_, sent)| *sent);
        let names: Vec<String> = order.into_iter().take(8).map(|(name, _)| name.clone()).collect();
        for name in names {
            let Some((testimony, sent)) = self.outgoing_testimonies.get_mut(&name) else { continue };
            let length = testimony.encoded_len() + 4;
            if length <= *room {
                *room -= length;
                *sent += 1;
                body.testimonies.push(testimony.clone());
            }
        }
    }

    /// The state for operators.
    pub fn view(&mut self, now: Point) -> GossipView {
        let trust_by_origin: BTreeMap<String, f64> =
            self.testimony_store.trust_by_origin(now).into_iter().collect();
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
            trust: trust_by_origin.get(name).copied(),
        });
        GossipView {
            name: self.config.name.clone(),
            members: members.collect(),
            suspicions: self.failure_scores(now),
            health_score: self.membership.health_score,
            bytes_last_s: self.budget.spent_in_last_second(now),
            bytes_per_s: self.config.bytes_per_s,
            bytes_sent: self.bytes_sent,
            datagrams_sent: self.datagrams_sent,
            datagrams_accepted: self.datagrams_accepted,
            signatures_checked: self.signatures_checked,
            dropped: self.dropped.clone(),
        }
    }
}
