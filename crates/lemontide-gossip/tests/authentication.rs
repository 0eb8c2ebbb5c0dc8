//! Keyring, replay protection and allowed networks.

use lemontide::clock::Point;
use lemontide_gossip::authentication::{AllowedNetworks, Keyring, OwnKey, ReplayCheckError, ReplayGuard};
use lemontide_gossip::message::Record;

#[test]
fn only_listed_keys_verify_and_two_are_valid_during_a_key_change() {
    let (old, new, other) = (OwnKey::new(&[1; 32]), OwnKey::new(&[2; 32]), OwnKey::new(&[3; 32]));
    let mut keyring = Keyring::default();
    keyring.add("a", &old.public_key()).expect("a key");
    keyring.add("a", &new.public_key()).expect("a key");
    let record = Record { name: "a".into(), ..Record::default() };
    for own in [&old, &new] {
        assert_eq!(keyring.verify_signer("a", &record, &own.sign(&record)), Some(own.public_key()));
    }
    assert_eq!(keyring.verify_signer("a", &record, &other.sign(&record)), None);
    assert_eq!(keyring.verify_signer("b", &record, &old.sign(&record)), None);
    let forged = Record { incarnation: 9, ..record.clone() };
    assert_eq!(keyring.verify_signer("a", &forged, &old.sign(&record)), None);
    assert!(keyring.add("c", &[0; 32]).is_err());
}

#[test]
fn replays_are_rejected_even_with_clocks_minutes_apart() {
    let mut guard = ReplayGuard::default();
    let now = Point::at(1000.0);
    let theirs = Point::at(1300.0);
    assert_eq!(guard.check_sequence("a", 7, 1), Err(ReplayCheckError::UnknownProcess));
    let nonce = guard.open_challenge(now, "a", 42).expect("none is open");
    assert_eq!(guard.open_challenge(now, "a", 43), None);
    assert!(!guard.accept_proof(now, "a", 7, 5, 41, theirs));
    assert!(guard.accept_proof(now, "a", 7, 5, nonce, theirs));
    assert!(!guard.accept_proof(now, "a", 7, 5, nonce, theirs), "a proof is accepted once");
    assert_eq!(guard.check_sequence("a", 7, 5), Err(ReplayCheckError::Replayed));
    assert_eq!(
        guard.check_sequence("a", 6, 500),
        Err(ReplayCheckError::UnknownProcess),
        "an earlier process"
    );
    assert_eq!(guard.check_sequence("a", 7, 9), Ok(()));
    assert_eq!(guard.accept(now, "a", 9, theirs), Ok(()));
    assert_eq!(guard.check_sequence("a", 7, 8), Ok(()), "reordered on the way");
    assert_eq!(guard.accept(now, "a", 8, theirs), Ok(()));
    assert_eq!(guard.check_sequence("a", 7, 8), Err(ReplayCheckError::Replayed));
    assert_eq!(guard.accept(now, "a", 900, now), Err(ReplayCheckError::ClockDrift));
    assert_eq!(guard.accept(now, "a", 900, theirs), Ok(()));
    assert_eq!(guard.check_sequence("a", 7, 9), Err(ReplayCheckError::Replayed), "older than the window");
}

#[test]
fn only_addresses_in_listed_networks_are_allowed() {
    let listed = ["127.0.0.0/8", "2001:db8::/32"].map(|network| network.parse().expect("a network"));
    let networks = AllowedNetworks::new(&listed);
    for (ip, allowed) in [("127.3.0.1", true), ("128.0.0.1", false), ("2001:db8::9", true), ("::1", false)] {
        assert_eq!(networks.contains(ip.parse().expect("an address")), allowed, "{ip}");
    }
}
