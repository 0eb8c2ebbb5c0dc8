//! Which datagrams are accepted: the keyring that the operator lists, the allowed networks, and replay protection.
//! Cheap checks come first; a signature is verified only after all of them have passed.

use crate::message::Signable;
use ed25519_dalek::{Signature, Signer, SigningKey, Verifier, VerifyingKey};
use ipnet::IpNet;
use lemontide::clock::{Point, Span};
use prefix_trie::PrefixSet;
use std::collections::BTreeMap;
use std::net::IpAddr;

/// How far a peer's clock may drift from the offset that was recorded when its process was verified.
const MAX_CLOCK_DRIFT: Span = Span::of_millis(10_000);
/// How long a challenge is valid.
const CHALLENGE_LIFETIME: Span = Span::of_millis(2_000);
/// Most challenges that are open at a time.
const MAX_OPEN_CHALLENGES: usize = 1024;

/// The public key that verified a signature. Instances that share a key count as one signer.
pub type SignerKey = [u8; 32];

/// The public keys of all instances, by instance name. An instance has two during a key change.
#[derive(Clone, Debug, Default)]
pub struct Keyring {
    keys: BTreeMap<String, Vec<VerifyingKey>>,
}

impl Keyring {
    /// Adds a key of an instance. Fails if it is not an ed25519 public key, or a weak one.
    pub fn add(&mut self, name: &str, public: &[u8; 32]) -> Result<(), &'static str> {
        let key = VerifyingKey::from_bytes(public).map_err(|_| "not a valid ed25519 public key")?;
        if key.is_weak() {
            return Err("a weak ed25519 key, for which anybody can make signatures");
        }
        self.keys.entry(name.to_owned()).or_default().push(key);
        Ok(())
    }

    /// Whether the instance has a key.
    pub fn contains(&self, name: &str) -> bool {
        self.keys.contains_key(name)
    }

    /// Verifies a signature against the instance's keys and returns the key that made it, if any did.
    pub fn verify_signer(&self, name: &str, message: &impl Signable, signature: &[u8]) -> Option<SignerKey> {
        let signature = Signature::from_slice(signature).ok()?;
        let signed_bytes = message.signed_bytes();
        let verifies = |key: &&VerifyingKey| key.verify(&signed_bytes, &signature).is_ok();
        self.keys.get(name)?.iter().find(verifies).map(VerifyingKey::to_bytes)
    }
}

/// This instance's signing key.
pub struct OwnKey(SigningKey);

impl OwnKey {
    /// The key with this secret.
    pub fn new(secret: &[u8; 32]) -> OwnKey {
        OwnKey(SigningKey::from_bytes(secret))
    }

    /// The public half of the key.
    pub fn public_key(&self) -> [u8; 32] {
        self.0.verifying_key().to_bytes()
    }

    /// The signature of a message.
    pub fn sign(&self, message: &impl Signable) -> Vec<u8> {
        self.0.sign(&message.signed_bytes()).to_bytes().to_vec()
    }
}

/// Networks that datagrams may come from.
#[derive(Clone, Debug, Default)]
pub struct AllowedNetworks {
    v4: PrefixSet<ipnet::Ipv4Net>,
    v6: PrefixSet<ipnet::Ipv6Net>,
}

impl AllowedNetworks {
    /// Allows these networks only.
    pub fn new(networks: &[IpNet]) -> AllowedNetworks {
        let mut allowed = AllowedNetworks::default();
        for network in networks {
            match network {
                IpNet::V4(network) => allowed.v4.insert(network.trunc()),
                IpNet::V6(network) => allowed.v6.insert(network.trunc()),
            };
        }
        allowed
    }

    /// Whether the address is in an allowed network.
    pub fn contains(&self, address: IpAddr) -> bool {
        match address {
            IpAddr::V4(ip) => self.v4.get_lpm(&ipnet::Ipv4Net::from(ip)).is_some(),
            IpAddr::V6(ip) => self.v6.get_lpm(&ipnet::Ipv6Net::from(ip)).is_some(),
        }
    }
}

/// A verified process of a sender, with its replay window.
#[derive(Clone, Debug)]
struct Session {
    boot_id: u64,
    highest_seq: u64,
    /// Bit i is set if sequence number `highest_seq - i` was received.
    replay_window: u64,
    /// The peer's clock minus this instance's, in seconds, when the process was verified.
    clock_offset_s: f64,
}

/// Why replay protection rejects a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplayCheckError {
    /// Its sequence number was received already, or is older than the replay window.
    Replayed,
    /// The sender's clock drifted too far from the recorded offset.
    ClockDrift,
    /// The sending process has not answered a challenge yet.
    UnknownProcess,
}

/// Rejects replayed datagrams. A process is accepted once it has signed the nonce of a fresh challenge, so clocks need
/// not agree: its clock offset is recorded then, and later datagrams are checked against it.
#[derive(Default)]
pub struct ReplayGuard {
    sessions: BTreeMap<String, Session>,
    challenges: BTreeMap<String, (u64, Point)>,
}

impl ReplayGuard {
    /// Whether a datagram with this boot id and sequence number can be new. Cheap: called before the signature is
    /// verified.
    pub fn check_sequence(&self, sender: &str, boot_id: u64, seq: u64) -> Result<(), ReplayCheckError> {
        let Some(session) = self.sessions.get(sender).filter(|session| session.boot_id == boot_id) else {
            return Err(ReplayCheckError::UnknownProcess);
        };
        let behind = session.highest_seq.checked_sub(seq);
        match behind {
            None => Ok(()),
            Some(behind) if behind < 64 && session.replay_window & (1 << behind) == 0 => Ok(()),
            Some(_) => Err(ReplayCheckError::Replayed),
        }
    }

    /// Checks the sender's clock and marks the sequence number as received. The signature must be verified already.
    pub fn accept(
        &mut self,
        now: Point,
        sender: &str,
        seq: u64,
        sender_time: Point,
    ) -> Result<(), ReplayCheckError> {
        let Some(session) = self.sessions.get_mut(sender) else {
            return Err(ReplayCheckError::UnknownProcess);
        };
        let drift_s = (sender_time - now).seconds() - session.clock_offset_s;
        if drift_s.abs() > MAX_CLOCK_DRIFT.seconds() {
            return Err(ReplayCheckError::ClockDrift);
        }
        if seq > session.highest_seq {
            let ahead = seq - session.highest_seq;
            session.replay_window = if ahead < 64 { session.replay_window << ahead } else { 0 } | 1;
            session.highest_seq = seq;
        } else {
            session.replay_window |= 1 << (session.highest_seq - seq).min(63);
        }
        Ok(())
    }

    /// Opens a challenge with this nonce for an unknown process. Returns `None` if one is open for the sender already,
    /// or if too many are open.
    pub fn open_challenge(&mut self, now: Point, sender: &str, nonce: u64) -> Option<u64> {
        self.challenges.retain(|_, (_, opened_at)| now - *opened_at < CHALLENGE_LIFETIME);
        if self.challenges.contains_key(sender) || self.challenges.len() >= MAX_OPEN_CHALLENGES {
            return None;
        }
        self.challenges.insert(sender.to_owned(), (nonce, now));
        Some(nonce)
    }

    /// Accepts a process if the nonce is that of the sender's open challenge, and returns whether it is. The session of
    /// an earlier process is replaced.
    pub fn accept_proof(
        &mut self,
        now: Point,
        sender: &str,
        boot_id: u64,
        seq: u64,
        nonce: u64,
        sender_time: Point,
    ) -> bool {
        let valid = self.challenges.get(sender).is_some_and(|(challenged, opened_at)| {
            *challenged == nonce && now - *opened_at < CHALLENGE_LIFETIME
        });
        if valid {
            self.challenges.remove(sender);
            let clock_offset_s = (sender_time - now).seconds();
            let session = Session { boot_id, highest_seq: seq, replay_window: 1, clock_offset_s };
            self.sessions.insert(sender.to_owned(), session);
        }
        valid
    }

    /// The boot id of the accepted process of this sender.
    pub fn current_boot(&self, sender: &str) -> Option<u64> {
        self.sessions.get(sender).map(|session| session.boot_id)
    }

    /// Drops the sender's session.
    pub fn forget(&mut self, sender: &str) {
        self.sessions.remove(sender);
    }
}
