//! Who may speak: keys that the operator lists, networks that datagrams may come from, and what keeps replays
//! out. Cheap checks come first; a signature is verified only when all of them have passed.

use crate::message::Signable;
use ed25519_dalek::{Signature, Signer, SigningKey, Verifier, VerifyingKey};
use ipnet::IpNet;
use lemontide::clock::{Point, Span};
use prefix_trie::PrefixSet;
use std::collections::BTreeMap;
use std::net::IpAddr;

/// A peer's clock may run away from what it showed at the greeting by this much.
const CLOCK_WINDOW: Span = Span::of_millis(10_000);
/// A challenge is good for so long, and so many are open at a time.
const CHALLENGE: Span = Span::of_millis(2_000);
const CHALLENGES_MOST: usize = 1024;

/// The identity behind a signature: instances under one key speak with one voice.
pub type SignerKey = [u8; 32];

/// The keys of all instances, by instance name. While a key is changed an instance has two.
#[derive(Clone, Debug, Default)]
pub struct Keyring {
    keys: BTreeMap<String, Vec<VerifyingKey>>,
}

impl Keyring {
    /// Adds a key of an instance. Errors: it is no ed25519 public key, or a weak one.
    pub fn add(&mut self, name: &str, public: &[u8; 32]) -> Result<(), &'static str> {
        let key = VerifyingKey::from_bytes(public).map_err(|_| "it is no ed25519 public key")?;
        if key.is_weak() {
            return Err("it is a weak key, for which anybody can sign");
        }
        self.keys.entry(name.to_owned()).or_default().push(key);
        Ok(())
    }

    pub fn contains(&self, name: &str) -> bool {
        self.keys.contains_key(name)
    }

    /// The voice that signed this in the name of an instance, if one of its keys did.
    pub fn verify_signer(&self, name: &str, signed: &impl Signable, signature: &[u8]) -> Option<SignerKey> {
        let signature = Signature::from_slice(signature).ok()?;
        let covered = signed.signed_bytes();
        let signs = |key: &&VerifyingKey| key.verify(&covered, &signature).is_ok();
        self.keys.get(name)?.iter().find(signs).map(VerifyingKey::to_bytes)
    }
}

/// The own key.
pub struct OwnKey(SigningKey);

impl OwnKey {
    pub fn new(secret: &[u8; 32]) -> OwnKey {
        OwnKey(SigningKey::from_bytes(secret))
    }

    pub fn public_key(&self) -> [u8; 32] {
        self.0.verifying_key().to_bytes()
    }

    pub fn sign(&self, what: &impl Signable) -> Vec<u8> {
        self.0.sign(&what.signed_bytes()).to_bytes().to_vec()
    }
}

/// Networks that datagrams may come from.
#[derive(Clone, Debug, Default)]
pub struct AllowedNetworks {
    v4: PrefixSet<ipnet::Ipv4Net>,
    v6: PrefixSet<ipnet::Ipv6Net>,
}

impl AllowedNetworks {
    pub fn new(nets: &[IpNet]) -> AllowedNetworks {
        let mut networks = AllowedNetworks::default();
        for net in nets {
            match net {
                IpNet::V4(net) => networks.v4.insert(net.trunc()),
                IpNet::V6(net) => networks.v6.insert(net.trunc()),
            };
        }
        networks
    }

    pub fn contains(&self, from: IpAddr) -> bool {
        match from {
            IpAddr::V4(ip) => self.v4.get_lpm(&ipnet::Ipv4Net::from(ip)).is_some(),
            IpAddr::V6(ip) => self.v6.get_lpm(&ipnet::Ipv6Net::from(ip)).is_some(),
        }
    }
}

/// What is known of a sender's process: its greeting, and which sequence numbers came.
#[derive(Clone, Debug)]
struct Session {
    boot: u64,
    highest: u64,
    /// Bit i: the number `highest - i` came.
    window: u64,
    /// Its clock less ours, as at the greeting, in seconds.
    offset: f64,
}

/// Why a datagram is not listened to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplayCheckError {
    /// Seen already, or too old to tell.
    Replayed,
    /// Its clock is not where the greeting showed it.
    ClockDrift,
    /// A process that has not proven that it lives now.
    UnknownProcess,
}

/// Keeps replays out. A process is let in when it has signed a fresh challenge, so clocks need not agree: the
/// greeting tells how far a peer's clock is off, and later datagrams are held against that.
#[derive(Default)]
pub struct ReplayGuard {
    sessions: BTreeMap<String, Session>,
    challenges: BTreeMap<String, (u64, Point)>,
}

impl ReplayGuard {
    /// Whether a datagram of this process and number may be new; cheap, asked before the signature is verified.
    pub fn check_sequence(&self, sender: &str, boot: u64, seq: u64) -> Result<(), ReplayCheckError> {
        let Some(session) = self.sessions.get(sender).filter(|session| session.boot == boot) else {
            return Err(ReplayCheckError::UnknownProcess);
        };
        let behind = session.highest.checked_sub(seq);
        match behind {
            None => Ok(()),
            Some(behind) if behind < 64 && session.window & (1 << behind) == 0 => Ok(()),
            Some(_) => Err(ReplayCheckError::Replayed),
        }
    }

    /// Enters a datagram whose signature was verified.
    pub fn accept(
        &mut self,
        now: Point,
        sender: &str,
        seq: u64,
        time: Point,
    ) -> Result<(), ReplayCheckError> {
        let Some(session) = self.sessions.get_mut(sender) else {
            return Err(ReplayCheckError::UnknownProcess);
        };
        let off = (time - now).seconds() - session.offset;
        if off.abs() > CLOCK_WINDOW.seconds() {
            return Err(ReplayCheckError::ClockDrift);
        }
        if seq > session.highest {
            let ahead = seq - session.highest;
            session.window = if ahead < 64 { session.window << ahead } else { 0 } | 1;
            session.highest = seq;
        } else {
            session.window |= 1 << (session.highest - seq).min(63);
        }
        Ok(())
    }

    /// A challenge for a process that is not known, one at a time for each sender.
    pub fn open_challenge(&mut self, now: Point, sender: &str, nonce: u64) -> Option<u64> {
        self.challenges.retain(|_, (_, at)| now - *at < CHALLENGE);
        if self.challenges.contains_key(sender) || self.challenges.len() >= CHALLENGES_MOST {
            return None;
        }
        self.challenges.insert(sender.to_owned(), (nonce, now));
        Some(nonce)
    }

    /// A process proves itself by the nonce; whether it is let in. What was known of an earlier one is dropped.
    pub fn accept_proof(
        &mut self,
        now: Point,
        sender: &str,
        boot: u64,
        seq: u64,
        nonce: u64,
        time: Point,
    ) -> bool {
        let asked =
            self.challenges.get(sender).is_some_and(|(asked, at)| *asked == nonce && now - *at < CHALLENGE);
        if asked {
            self.challenges.remove(sender);
            let offset = (time - now).seconds();
            let session = Session { boot, highest: seq, window: 1, offset };
            self.sessions.insert(sender.to_owned(), session);
        }
        asked
    }

    /// The process that is let in under this name.
    pub fn current_boot(&self, sender: &str) -> Option<u64> {
        self.sessions.get(sender).map(|session| session.boot)
    }

    pub fn forget(&mut self, sender: &str) {
        self.sessions.remove(sender);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::message::Record;

    #[test]
    fn only_listed_keys_speak_and_two_overlap_while_one_changes() {
        let (old, new, other) = (OwnKey::new(&[1; 32]), OwnKey::new(&[2; 32]), OwnKey::new(&[3; 32]));
        let mut ring = Keyring::default();
        ring.add("a", &old.public_key()).expect("a key");
        ring.add("a", &new.public_key()).expect("a key");
        let record = Record { name: "a".into(), ..Record::default() };
        for own in [&old, &new] {
            assert_eq!(ring.verify_signer("a", &record, &own.sign(&record)), Some(own.public_key()));
        }
        assert_eq!(ring.verify_signer("a", &record, &other.sign(&record)), None);
        assert_eq!(ring.verify_signer("b", &record, &old.sign(&record)), None);
        let forged = Record { incarnation: 9, ..record.clone() };
        assert_eq!(ring.verify_signer("a", &forged, &old.sign(&record)), None);
        assert!(ring.add("c", &[0; 32]).is_err());
    }

    #[test]
    fn replays_fail_even_with_clocks_minutes_apart() {
        let mut gate = ReplayGuard::default();
        let now = Point::at(1000.0);
        let theirs = Point::at(1300.0);
        assert_eq!(gate.check_sequence("a", 7, 1), Err(ReplayCheckError::UnknownProcess));
        let nonce = gate.open_challenge(now, "a", 42).expect("none is open");
        assert_eq!(gate.open_challenge(now, "a", 43), None);
        assert!(!gate.accept_proof(now, "a", 7, 5, 41, theirs));
        assert!(gate.accept_proof(now, "a", 7, 5, nonce, theirs));
        assert!(!gate.accept_proof(now, "a", 7, 5, nonce, theirs), "a proof is good once");
        assert_eq!(gate.check_sequence("a", 7, 5), Err(ReplayCheckError::Replayed));
        assert_eq!(
            gate.check_sequence("a", 6, 500),
            Err(ReplayCheckError::UnknownProcess),
            "an earlier process"
        );
        assert_eq!(gate.check_sequence("a", 7, 9), Ok(()));
        assert_eq!(gate.accept(now, "a", 9, theirs), Ok(()));
        assert_eq!(gate.check_sequence("a", 7, 8), Ok(()), "overtaken on the way");
        assert_eq!(gate.accept(now, "a", 8, theirs), Ok(()));
        assert_eq!(gate.check_sequence("a", 7, 8), Err(ReplayCheckError::Replayed));
        assert_eq!(gate.accept(now, "a", 900, now), Err(ReplayCheckError::ClockDrift));
        assert_eq!(gate.accept(now, "a", 900, theirs), Ok(()));
        assert_eq!(gate.check_sequence("a", 7, 9), Err(ReplayCheckError::Replayed), "too old to tell");
    }

    #[test]
    fn networks_admit_what_the_operator_lists() {
        let nets = ["127.0.0.0/8", "2001:db8::/32"].map(|net| net.parse().expect("a network"));
        let networks = AllowedNetworks::new(&nets);
        for (ip, fine) in [("127.3.0.1", true), ("128.0.0.1", false), ("2001:db8::9", true), ("::1", false)] {
            assert_eq!(networks.contains(ip.parse().expect("an address")), fine, "{ip}");
        }
    }
}
