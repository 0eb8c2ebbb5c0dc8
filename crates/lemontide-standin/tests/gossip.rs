//! Gossip between whole nodes in virtual time: lying members, floods, partitions, clock skew, restarts, key changes.

use lemontide::clock::{Point, Span};
use lemontide_gossip::authentication::Keyring;
use lemontide_gossip::message::{Body, Datagram, Kind, Ping, Record, Seen, Testimony};
use lemontide_gossip::node::Node;
use lemontide_standin::simulated_network::{instance_name, signing_key, NetworkConfig, SimulatedNetwork};
use prost::Message;

fn preloaded_network(instances: usize) -> SimulatedNetwork {
    let mut network =
        SimulatedNetwork::new(NetworkConfig { preloaded: true, ..NetworkConfig::of(instances) });
    network.advance(3.0);
    network
}

fn seen(streamer: &str, tries: u32, failures: u32) -> Seen {
    Seen { streamer: streamer.into(), tries, failures }
}

/// The honest instances try streamers for this long; those named fail.
fn run_attempts(
    network: &mut SimulatedNetwork,
    seconds: u32,
    streamers: u32,
    failing: &[u32],
    honest: std::ops::Range<usize>,
) {
    for half_second in 0..seconds * 2 {
        for i in honest.clone().filter(|i| network.running[*i]).collect::<Vec<_>>() {
            let streamer = (i as u32 * 3 + half_second) % streamers;
            let succeeded = !failing.contains(&streamer);
            network.with_node(i, |node, now| node.record_outcome(now, &format!("s{streamer}"), succeeded));
        }
        network.advance(0.5);
    }
}

fn failure_score(network: &mut SimulatedNetwork, i: usize, streamer: &str) -> f64 {
    network.with_node(i, |node, now| node.failure_scores(now).get(streamer).copied().unwrap_or(0.0))
}

fn max_failure_score(network: &mut SimulatedNetwork, of: std::ops::Range<usize>, streamer: &str) -> f64 {
    of.map(|i| failure_score(network, i, streamer)).fold(0.0, f64::max)
}

fn min_failure_score(network: &mut SimulatedNetwork, of: std::ops::Range<usize>, streamer: &str) -> f64 {
    of.map(|i| failure_score(network, i, streamer)).fold(1.0, f64::min)
}

#[test]
fn instances_find_each_other_by_seeds_within_seconds() {
    let mut network = SimulatedNetwork::new(NetworkConfig::of(20));
    network.advance(20.0);
    assert_eq!(network.known_pair_ratio(), 1.0);
    assert!(
        network.max_bytes_in_a_second() <= network.config.bytes_per_s,
        "{} bytes in a second",
        network.max_bytes_in_a_second()
    );
}

#[test]
fn clock_skew_of_minutes_and_lost_datagrams_are_tolerated() {
    let mut network = SimulatedNetwork::new(NetworkConfig {
        max_clock_skew_s: 300.0,
        loss: 0.1,
        seed: 3,
        ..NetworkConfig::of(12)
    });
    network.advance(40.0);
    assert_eq!(network.known_pair_ratio(), 1.0);
    run_attempts(&mut network, 6, 4, &[1], 0..12);
    assert!(min_failure_score(&mut network, 0..12, "s1") > 0.3);
}

#[test]
fn a_failing_streamer_is_known_to_instances_that_never_tried_it() {
    let mut network = preloaded_network(20);
    for i in 0..4 {
        (0..3).for_each(|_| network.with_node(i, |node, now| node.record_outcome(now, "s9", false)));
    }
    network.advance(5.0);
    let least = min_failure_score(&mut network, 4..20, "s9");
    assert!(least > 0.4, "{least}");
    network.advance(40.0);
    assert_eq!(max_failure_score(&mut network, 0..20, "s9"), 0.0, "all scores decay");
}

#[test]
fn one_lying_member_discredits_no_streamer_and_a_rack_that_fails_is_still_believed_to_fail() {
    let mut network = preloaded_network(20);
    for round in 0..6 {
        let all_failing: Vec<Seen> =
            (0..12).map(|s| seen(&format!("s{s}"), 50, if s == 3 { 0 } else { 50 })).collect();
        network.with_node(19, |node, _| node.publish_false_testimony(all_failing));
        // s3, s4 and s5 are the rack; the lying member reports s3 as healthy.
        run_attempts(&mut network, 2, 12, if round >= 2 { &[3, 4, 5] } else { &[] }, 0..19);
    }
    for streamer in ["s0", "s1", "s2", "s6", "s11"] {
        let most = max_failure_score(&mut network, 0..19, streamer);
        assert!(most == 0.0, "{streamer} is healthy, but its failure score is {most}");
    }
    for streamer in ["s3", "s4", "s5"] {
        let least = min_failure_score(&mut network, 0..19, streamer);
        assert!(least > 0.5, "{streamer} fails, but its failure score is {least} only");
    }
}

#[test]
fn five_colluding_members_of_twenty_discredit_no_streamer() {
    let mut network = preloaded_network(20);
    for _ in 0..6 {
        for lying in 15..20 {
            let all_failing = (0..8).map(|s| seen(&format!("s{s}"), 50, 50)).collect();
            network.with_node(lying, |node, _| node.publish_false_testimony(all_failing));
        }
        run_attempts(&mut network, 2, 8, &[], 0..15);
    }
    for s in 0..8 {
        let most = max_failure_score(&mut network, 0..15, &format!("s{s}"));
        // The decision module doubts a streamer from two thirds on.
        assert!(most < 0.2, "s{s} is healthy, but its failure score is {most}");
    }
}

#[test]
fn false_suspicions_make_no_member_dead() {
    let mut network = preloaded_network(20);
    for _ in 0..60 {
        for accused in 0..19 {
            network.with_node(19, |node, now| node.send_false_suspicion(now, &instance_name(accused)));
        }
        network.advance(0.5);
    }
    assert_eq!(network.known_pair_ratio(), 1.0);
    assert!(network.max_bytes_in_a_second() <= network.config.bytes_per_s);
}

/// A forged datagram: any body under any sender's name, signed by the key of instance `by`.
fn forged(sender: &str, by: usize, seq: u64, body: Body) -> Vec<u8> {
    let mut datagram =
        Datagram { sender: sender.into(), boot: 1, seq, body: body.encode_to_vec(), signature: Vec::new() };
    datagram.signature = signing_key(by).sign(&datagram);
    datagram.encode_to_vec()
}

#[test]
fn forgeries_are_dropped_and_counted() {
    let mut network = preloaded_network(8);
    let time_ms = ((network.now - Point::default()).seconds() * 1e3) as u64;
    let body = Body { time_ms, kind: Some(Kind::Ping(Ping { nonce: 1 })), ..Body::default() };
    // Under another member's name, signed with the own key.
    network.inject(7, 0, Span::ZERO, forged("i3", 7, 900, body.clone()));
    // Under the own name, with a forged record that would redirect another member's traffic, and a testimony forged in
    // its name.
    let mut record =
        Record { name: "i3".into(), address: "127.9.9.9:1".into(), incarnation: 99, ..Record::default() };
    record.signature = signing_key(7).sign(&record);
    let mut testimony = Testimony {
        origin: "i3".into(),
        boot: 1,
        seq: 99,
        seen: vec![seen("s", 9, 9)],
        signature: Vec::new(),
    };
    testimony.signature = signing_key(7).sign(&testimony);
    let body = Body { records: vec![record], testimonies: vec![testimony], ..body };
    network.inject(7, 0, Span::ZERO, forged("i7", 7, 900, body.clone()));
    network.inject(7, 0, Span::of_millis(1), forged("i7", 7, 900, body));
    // From an unknown sender, and bytes that are no datagram.
    network.inject(7, 0, Span::ZERO, forged("nobody", 7, 1, Body::default()));
    network.inject(7, 0, Span::ZERO, vec![0xff; 80]);
    network.inject(7, 0, Span::ZERO, vec![0; 4000]);
    network.advance(0.1);
    let dropped = network.nodes[0].dropped.clone();
    assert_eq!((dropped.bad_signature, dropped.forged, dropped.replayed), (1, 2, 1), "{dropped:?}");
    assert_eq!((dropped.unknown_sender, dropped.malformed), (1, 2), "{dropped:?}");
    assert_eq!(network.nodes[0].membership.peer("i3").map(|p| p.record.incarnation), Some(0));
    assert!(network.with_node(0, |node, now| node.failure_scores(now)).is_empty());
}

#[test]
fn a_flood_exhausts_neither_the_budget_nor_other_members() {
    let mut network = preloaded_network(12);
    let checked = |node: &mut Node, now| node.view(now).signatures_checked;
    let before = network.with_node(0, checked);
    for burst in 0..100u64 {
        for k in 0..100u64 {
            let time_ms = ((network.now - Point::default()).seconds() * 1e3) as u64;
            let body = Body { time_ms, kind: Some(Kind::Ping(Ping { nonce: k })), ..Body::default() };
            network.inject(11, 0, Span::ZERO, forged("i11", 11, 10_000 + burst * 100 + k, body));
        }
        network.advance(0.1);
    }
    let checked_in_flood = network.with_node(0, checked) - before;
    assert!(checked_in_flood < 2500, "{checked_in_flood} signatures checked of 10,000 datagrams");
    assert!(network.nodes[0].dropped.rate_limited > 7000, "{:?}", network.nodes[0].dropped);
    assert!(network.max_bytes_in_a_second() <= network.config.bytes_per_s);
    assert_eq!(network.known_pair_ratio(), 1.0);
}

#[test]
fn a_member_that_equivocates_loses_its_trust() {
    let mut network = preloaded_network(8);
    network.with_node(7, |node, _| node.publish_false_testimony(vec![seen("s1", 9, 9)]));
    network.advance(3.0);
    let other = {
        let mut testimony = Testimony {
            origin: "i7".into(),
            boot: 1,
            seq: 1,
            seen: vec![seen("s1", 9, 0)],
            signature: Vec::new(),
        };
        testimony.signature = signing_key(7).sign(&testimony);
        testimony
    };
    let time_ms = ((network.now - Point::default()).seconds() * 1e3) as u64;
    let body = Body {
        time_ms,
        kind: Some(Kind::Ping(Ping { nonce: 1 })),
        testimonies: vec![other],
        ..Body::default()
    };
    network.inject(7, 0, Span::ZERO, forged("i7", 7, 5000, body));
    network.advance(0.1);
    assert_eq!(network.nodes[0].dropped.equivocated, 1);
    let view = network.with_node(0, Node::view);
    assert_eq!(view.members.iter().find(|m| m.name == "i7").and_then(|m| m.trust), Some(0.0));
}

#[test]
fn a_silent_member_becomes_dead_and_its_testimony_still_spreads() {
    let mut network = preloaded_network(16);
    (0..3).for_each(|_| network.with_node(5, |node, now| node.record_outcome(now, "s1", false)));
    (0..3).for_each(|_| network.with_node(6, |node, now| node.record_outcome(now, "s1", false)));
    network.advance(1.2);
    (network.running[5], network.running[6]) = (false, false);
    network.advance(3.0);
    let informed = (7..16).filter(|i| failure_score(&mut network, *i, "s1") > 0.2).count();
    assert!(informed >= 7, "{informed} of 9 know of it");
    network.advance(60.0);
    for i in (0..16).filter(|i| !(5..=6).contains(i)) {
        assert!(
            network.nodes[i].membership.peer("i5").is_none_or(|peer| !peer.is_live()),
            "i{i} still counts i5 as alive"
        );
    }
    assert_eq!(network.known_pair_ratio(), 1.0);
}

#[test]
fn two_partitions_go_on_by_themselves_and_merge_again() {
    let mut network = preloaded_network(20);
    (10..20).for_each(|i| network.partition[i] = 1);
    // The first half tries streamers, of which s2 fails.
    run_attempts(&mut network, 60, 5, &[2], 0..10);
    assert!(network.known_pair_ratio() < 0.6, "{}", network.known_pair_ratio());
    for i in 0..10 {
        (0..3).for_each(|_| network.with_node(i, |node, now| node.record_outcome(now, "s2", false)));
    }
    network.partition.fill(0);
    network.advance(45.0);
    assert_eq!(network.known_pair_ratio(), 1.0);
    for i in 0..10 {
        (0..3).for_each(|_| network.with_node(i, |node, now| node.record_outcome(now, "s2", false)));
    }
    network.advance(6.0);
    assert!(min_failure_score(&mut network, 10..20, "s2") > 0.3, "the other half knows of it");
}

#[test]
fn loss_in_one_direction_makes_no_member_dead() {
    let mut network = preloaded_network(10);
    // i0 receives everything, and half of what it sends gets lost; nothing from i1 reaches i2.
    network.one_way_losses = (1..10).map(|to| (0, to, 0.5)).collect();
    network.one_way_losses.push((1, 2, 1.0));
    for _ in 0..12 {
        network.advance(5.0);
        let dead = (0..10)
            .flat_map(|i| network.nodes[i].membership.peers())
            .filter(|(_, peer)| !peer.is_live())
            .count();
        assert!(dead == 0, "{dead} members counted as not live");
    }
}

#[test]
fn a_restart_at_an_old_incarnation_rejoins_and_testimonies_of_the_earlier_process_are_dropped() {
    let mut network = preloaded_network(10);
    for _ in 0..6 {
        (1..4).for_each(|i| network.with_node(i, |node, now| node.send_false_suspicion(now, "i9")));
        network.advance(1.0);
    }
    let known = network.nodes[0].membership.peer("i9").map_or(0, |peer| peer.record.incarnation);
    assert!(known > 0, "it refuted the accusations by higher incarnations");
    network.with_node(9, |node, now| (0..4).for_each(|_| node.record_outcome(now, "s1", false)));
    network.advance(2.0);
    network.running[9] = false;
    network.advance(2.0);
    network.restart(9, 2);
    network.advance(20.0);
    assert_eq!(network.known_pair_ratio(), 1.0);
    let now = network.nodes[0].membership.peer("i9").map_or(0, |peer| peer.record.incarnation);
    assert!(now >= known, "{now} after {known}");
    // A testimony of its earlier process counts as a replay now.
    let before = network.nodes[0].dropped.replayed;
    let mut old = Testimony {
        origin: "i9".into(),
        boot: 1,
        seq: 999,
        seen: vec![seen("s1", 9, 9)],
        signature: Vec::new(),
    };
    old.signature = signing_key(9).sign(&old);
    let time_ms = ((network.now - Point::default()).seconds() * 1e3) as u64;
    let body = Body {
        time_ms,
        kind: Some(Kind::Ping(Ping { nonce: 1 })),
        testimonies: vec![old],
        ..Body::default()
    };
    network.inject(8, 0, Span::ZERO, forged("i8", 8, 9000, body));
    network.advance(0.1);
    assert_eq!(network.nodes[0].dropped.replayed, before + 1);
}

#[test]
fn a_key_is_changed_while_all_instances_run() {
    let mut network = preloaded_network(6);
    let keyring = |with_new: bool, with_old: bool| {
        let mut keyring = Keyring::default();
        for i in 0..6 {
            if i != 5 || with_old {
                keyring.add(&instance_name(i), &signing_key(i).public_key()).expect("a key");
            }
        }
        if with_new {
            keyring.add(&instance_name(5), &signing_key(50).public_key()).expect("a key");
        }
        keyring
    };
    // First all instances list the new key beside the old one, then i5 signs with it, then the old one is removed.
    (0..6).for_each(|i| network.with_node(i, |node, _| node.set_keys(signing_key(i), keyring(true, true))));
    network.advance(10.0);
    assert_eq!(network.known_pair_ratio(), 1.0);
    network.with_node(5, |node, _| node.set_keys(signing_key(50), keyring(true, true)));
    network.advance(10.0);
    assert_eq!(network.known_pair_ratio(), 1.0);
    (0..6).for_each(|i| {
        network.with_node(i, |node, _| {
            node.set_keys(signing_key(if i == 5 { 50 } else { i }), keyring(true, false))
        })
    });
    network.advance(20.0);
    assert_eq!(network.known_pair_ratio(), 1.0);
    assert_eq!(network.nodes[0].dropped.bad_signature, 0);
    // Without any key in the list, an instance is no longer a member.
    (0..5).for_each(|i| network.with_node(i, |node, _| node.set_keys(signing_key(i), keyring(false, false))));
    network.advance(60.0);
    assert!((0..5).all(|i| network.nodes[i].membership.peer("i5").is_none_or(|peer| !peer.is_live())));
}

#[test]
fn a_stalled_instance_accuses_no_other() {
    let mut network = preloaded_network(10);
    network.running[0] = false;
    network.advance(8.0);
    network.running[0] = true;
    network.with_node(0, |node, now| node.tick(now));
    let suspects = network.nodes[0].membership.peers().filter(|(_, peer)| !peer.is_live()).count();
    assert_eq!(suspects, 0);
    network.advance(1.0);
    assert!(network.nodes[0].membership.health_score > 0, "its own health score is worse");
}

#[test]
fn numbers_tell_live_members_from_those_that_died_or_left() {
    let mut network = preloaded_network(6);
    let numbers = |network: &mut SimulatedNetwork, i: usize| {
        network.with_node(i, |node, _| node.gone_since_by_number())
    };
    assert!(numbers(&mut network, 0).values().all(Option::is_none) && numbers(&mut network, 0).len() == 5);
    network.with_node(4, |node, now| node.leave(now));
    network.advance(2.0);
    network.running[4] = false;
    network.running[5] = false;
    network.advance(30.0);
    for i in 0..4 {
        let seen = numbers(&mut network, i);
        assert!(seen[&4].is_some() && seen[&5].is_some(), "{i} sees {seen:?}");
        assert!((0..4).filter(|other| *other != i as u32).all(|other| seen[&other].is_none()));
        assert!(seen[&4] < seen[&5], "a member that leaves counts as gone without a suspicion");
    }
    network.restart(5, 7);
    network.advance(15.0);
    assert!((0..4).all(|i| numbers(&mut network, i)[&5].is_none()));
}

/// Both processes of an instance begin at incarnation 0: only the content of their records tells them apart.
#[test]
fn an_instance_that_restarts_under_another_number_is_known_by_it() {
    let mut network = preloaded_network(6);
    network.restart_with_number(5, 17);
    network.advance(20.0);
    for i in 0..5 {
        let numbers = network.with_node(i, |node, _| node.gone_since_by_number());
        assert_eq!((numbers.get(&5), numbers.get(&17)), (None, Some(&None)), "as {i} sees it");
    }
}
