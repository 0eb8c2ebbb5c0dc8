//! Gossip's hard cases, in virtual time between whole nodes: liars, floods, partitions, clocks, restarts, keys.

use lemontide::clock::{Point, Span};
use lemontide_gossip::authentication::Keyring;
use lemontide_gossip::message::{Body, Datagram, Kind, Ping, Record, Seen, Testimony};
use lemontide_gossip::node::Node;
use lemontide_standin::town::{name, own, Plan, Town};
use prost::Message;

fn town(instances: usize) -> Town {
    let mut town = Town::new(Plan { acquainted: true, ..Plan::of(instances) });
    town.pass(3.0);
    town
}

fn seen(streamer: &str, tries: u32, failures: u32) -> Seen {
    Seen { streamer: streamer.into(), tries, failures }
}

/// Everybody tries streamers for so long; those named fail.
fn work(town: &mut Town, seconds: u32, streamers: u32, failing: &[u32], honest: std::ops::Range<usize>) {
    for half in 0..seconds * 2 {
        for i in honest.clone().filter(|i| town.up[*i]).collect::<Vec<_>>() {
            let streamer = (i as u32 * 3 + half) % streamers;
            let good = !failing.contains(&streamer);
            town.with(i, |node, now| node.record_outcome(now, &format!("s{streamer}"), good));
        }
        town.pass(0.5);
    }
}

fn weight(town: &mut Town, i: usize, streamer: &str) -> f64 {
    town.with(i, |node, now| node.failure_scores(now).get(streamer).copied().unwrap_or(0.0))
}

fn most_doubted(town: &mut Town, of: std::ops::Range<usize>, streamer: &str) -> f64 {
    of.map(|i| weight(town, i, streamer)).fold(0.0, f64::max)
}

fn least_doubted(town: &mut Town, of: std::ops::Range<usize>, streamer: &str) -> f64 {
    of.map(|i| weight(town, i, streamer)).fold(1.0, f64::min)
}

#[test]
fn strangers_find_each_other_by_seeds_within_seconds() {
    let mut town = Town::new(Plan::of(20));
    town.pass(20.0);
    assert_eq!(town.acquaintance(), 1.0);
    assert!(town.most_bytes() <= town.plan.bytes_per_s, "{} bytes in a second", town.most_bytes());
}

#[test]
fn clocks_minutes_apart_and_lost_datagrams_change_nothing() {
    let mut town = Town::new(Plan { skew_s: 300.0, loss: 0.1, seed: 3, ..Plan::of(12) });
    town.pass(40.0);
    assert_eq!(town.acquaintance(), 1.0);
    work(&mut town, 6, 4, &[1], 0..12);
    assert!(least_doubted(&mut town, 0..12, "s1") > 0.3);
}

#[test]
fn a_failing_streamer_is_known_to_all_who_never_tried_it() {
    let mut town = town(20);
    for i in 0..4 {
        (0..3).for_each(|_| town.with(i, |node, now| node.record_outcome(now, "s9", false)));
    }
    town.pass(5.0);
    let least = least_doubted(&mut town, 4..20, "s9");
    assert!(least > 0.4, "{least}");
    town.pass(40.0);
    assert_eq!(most_doubted(&mut town, 0..20, "s9"), 0.0, "all belief fades");
}

#[test]
fn one_liar_turns_nobody_and_a_rack_that_really_fails_is_believed_all_the_same() {
    let mut town = town(20);
    for round in 0..6 {
        let all_dead: Vec<Seen> =
            (0..12).map(|s| seen(&format!("s{s}"), 50, if s == 3 { 0 } else { 50 })).collect();
        town.with(19, |node, _| node.publish_false_testimony(all_dead));
        // s3, s4 and s5 are the rack; the liar calls s3 healthy.
        work(&mut town, 2, 12, if round >= 2 { &[3, 4, 5] } else { &[] }, 0..19);
    }
    for streamer in ["s0", "s1", "s2", "s6", "s11"] {
        let most = most_doubted(&mut town, 0..19, streamer);
        assert!(most == 0.0, "{streamer} is fine, and doubted by {most}");
    }
    for streamer in ["s3", "s4", "s5"] {
        let least = least_doubted(&mut town, 0..19, streamer);
        assert!(least > 0.5, "{streamer} fails, and is doubted by {least} only");
    }
}

#[test]
fn five_colluders_of_twenty_turn_nobody() {
    let mut town = town(20);
    for _ in 0..6 {
        for liar in 15..20 {
            let all_dead = (0..8).map(|s| seen(&format!("s{s}"), 50, 50)).collect();
            town.with(liar, |node, _| node.publish_false_testimony(all_dead));
        }
        work(&mut town, 2, 8, &[], 0..15);
    }
    for s in 0..8 {
        let most = most_doubted(&mut town, 0..15, &format!("s{s}"));
        // Two thirds bring doubt in the decision module.
        assert!(most < 0.2, "s{s} is fine, and doubted by {most}");
    }
}

#[test]
fn slander_of_members_buries_nobody() {
    let mut town = town(20);
    for _ in 0..60 {
        for victim in 0..19 {
            town.with(19, |node, now| node.send_false_suspicion(now, &name(victim)));
        }
        town.pass(0.5);
    }
    assert_eq!(town.acquaintance(), 1.0);
    assert!(town.most_bytes() <= town.plan.bytes_per_s);
}

/// A datagram as a liar makes it: any body under any sender's name, signed by the liar's own key.
fn forged(sender: &str, by: usize, seq: u64, body: Body) -> Vec<u8> {
    let mut datagram =
        Datagram { sender: sender.into(), boot: 1, seq, body: body.encode_to_vec(), signature: Vec::new() };
    datagram.signature = own(by).sign(&datagram);
    datagram.encode_to_vec()
}

#[test]
fn forgeries_are_dropped_and_counted() {
    let mut town = town(8);
    let time_ms = ((town.now - Point::default()).seconds() * 1e3) as u64;
    let body = Body { time_ms, kind: Some(Kind::Ping(Ping { nonce: 1 })), ..Body::default() };
    // In another's name, with the own key.
    town.throw(7, 0, Span::ZERO, forged("i3", 7, 900, body.clone()));
    // In the own name, with a record of another that sends its traffic elsewhere, and words put in its mouth.
    let mut record =
        Record { name: "i3".into(), address: "127.9.9.9:1".into(), incarnation: 99, ..Record::default() };
    record.signature = own(7).sign(&record);
    let mut words = Testimony {
        origin: "i3".into(),
        boot: 1,
        seq: 99,
        seen: vec![seen("s", 9, 9)],
        signature: Vec::new(),
    };
    words.signature = own(7).sign(&words);
    let body = Body { records: vec![record], testimonies: vec![words], ..body };
    town.throw(7, 0, Span::ZERO, forged("i7", 7, 900, body.clone()));
    town.throw(7, 0, Span::of_millis(1), forged("i7", 7, 900, body));
    // Nobody's name, and no datagram at all.
    town.throw(7, 0, Span::ZERO, forged("nobody", 7, 1, Body::default()));
    town.throw(7, 0, Span::ZERO, vec![0xff; 80]);
    town.throw(7, 0, Span::ZERO, vec![0; 4000]);
    town.pass(0.1);
    let dropped = town.nodes[0].dropped.clone();
    assert_eq!((dropped.bad_signature, dropped.forged, dropped.replayed), (1, 2, 1), "{dropped:?}");
    assert_eq!((dropped.unknown_sender, dropped.malformed), (1, 2), "{dropped:?}");
    assert_eq!(town.nodes[0].membership.peer("i3").map(|p| p.record.incarnation), Some(0));
    assert!(town.with(0, |node, now| node.failure_scores(now)).is_empty());
}

#[test]
fn a_flood_costs_neither_the_budget_nor_the_neighbours() {
    let mut town = town(12);
    let checked = |node: &mut Node, now| node.view(now).signatures_checked;
    let before = town.with(0, checked);
    for burst in 0..100u64 {
        for k in 0..100u64 {
            let time_ms = ((town.now - Point::default()).seconds() * 1e3) as u64;
            let body = Body { time_ms, kind: Some(Kind::Ping(Ping { nonce: k })), ..Body::default() };
            town.throw(11, 0, Span::ZERO, forged("i11", 11, 10_000 + burst * 100 + k, body));
        }
        town.pass(0.1);
    }
    let spent = town.with(0, checked) - before;
    assert!(spent < 2500, "{spent} signatures checked of 10,000 datagrams");
    assert!(town.nodes[0].dropped.rate_limited > 7000, "{:?}", town.nodes[0].dropped);
    assert!(town.most_bytes() <= town.plan.bytes_per_s);
    assert_eq!(town.acquaintance(), 1.0);
}

#[test]
fn who_equivocates_loses_its_voice() {
    let mut town = town(8);
    town.with(7, |node, _| node.publish_false_testimony(vec![seen("s1", 9, 9)]));
    town.pass(3.0);
    let other = {
        let mut said = Testimony {
            origin: "i7".into(),
            boot: 1,
            seq: 1,
            seen: vec![seen("s1", 9, 0)],
            signature: Vec::new(),
        };
        said.signature = own(7).sign(&said);
        said
    };
    let time_ms = ((town.now - Point::default()).seconds() * 1e3) as u64;
    let body = Body {
        time_ms,
        kind: Some(Kind::Ping(Ping { nonce: 1 })),
        testimonies: vec![other],
        ..Body::default()
    };
    town.throw(7, 0, Span::ZERO, forged("i7", 7, 5000, body));
    town.pass(0.1);
    assert_eq!(town.nodes[0].dropped.equivocated, 1);
    let view = town.with(0, Node::view);
    assert_eq!(view.members.iter().find(|m| m.name == "i7").and_then(|m| m.trust), Some(0.0));
}

#[test]
fn a_member_that_falls_silent_is_buried_and_its_rumour_lives_on() {
    let mut town = town(16);
    (0..3).for_each(|_| town.with(5, |node, now| node.record_outcome(now, "s1", false)));
    (0..3).for_each(|_| town.with(6, |node, now| node.record_outcome(now, "s1", false)));
    town.pass(1.2);
    (town.up[5], town.up[6]) = (false, false);
    town.pass(3.0);
    let knowing = (7..16).filter(|i| weight(&mut town, *i, "s1") > 0.2).count();
    assert!(knowing >= 7, "{knowing} of 9 heard of it");
    town.pass(60.0);
    for i in (0..16).filter(|i| !(5..=6).contains(i)) {
        assert!(
            town.nodes[i].membership.peer("i5").is_none_or(|peer| !peer.is_live()),
            "i{i} still counts on i5"
        );
    }
    assert_eq!(town.acquaintance(), 1.0);
}

#[test]
fn two_halves_go_on_by_themselves_and_find_each_other_again() {
    let mut town = town(20);
    (10..20).for_each(|i| town.side[i] = 1);
    // Each half sees other streamers, one of which fails in each.
    work(&mut town, 60, 5, &[2], 0..10);
    assert!(town.acquaintance() < 0.6, "{}", town.acquaintance());
    for i in 0..10 {
        (0..3).for_each(|_| town.with(i, |node, now| node.record_outcome(now, "s2", false)));
    }
    town.side.fill(0);
    town.pass(45.0);
    assert_eq!(town.acquaintance(), 1.0);
    for i in 0..10 {
        (0..3).for_each(|_| town.with(i, |node, now| node.record_outcome(now, "s2", false)));
    }
    town.pass(6.0);
    assert!(least_doubted(&mut town, 10..20, "s2") > 0.3, "the other half learns of it");
}

#[test]
fn loss_in_one_direction_buries_nobody() {
    let mut town = town(10);
    // i0 hears all, and half of what it says gets lost; i1 can't speak to i2 at all.
    town.deaf = (1..10).map(|to| (0, to, 0.5)).collect();
    town.deaf.push((1, 2, 1.0));
    for _ in 0..12 {
        town.pass(5.0);
        let dead = (0..10)
            .flat_map(|i| town.nodes[i].membership.peers())
            .filter(|(_, peer)| !peer.is_live())
            .count();
        assert!(dead == 0, "{dead} burials");
    }
}

#[test]
fn a_restart_with_an_old_incarnation_comes_back_and_old_words_do_not() {
    let mut town = town(10);
    for _ in 0..6 {
        (1..4).for_each(|i| town.with(i, |node, now| node.send_false_suspicion(now, "i9")));
        town.pass(1.0);
    }
    let known = town.nodes[0].membership.peer("i9").map_or(0, |peer| peer.record.incarnation);
    assert!(known > 0, "it answered slander by new incarnations");
    town.with(9, |node, now| (0..4).for_each(|_| node.record_outcome(now, "s1", false)));
    town.pass(2.0);
    town.up[9] = false;
    town.pass(2.0);
    town.restart(9, 2);
    town.pass(20.0);
    assert_eq!(town.acquaintance(), 1.0);
    let now = town.nodes[0].membership.peer("i9").map_or(0, |peer| peer.record.incarnation);
    assert!(now >= known, "{now} after {known}");
    // What its earlier process said is a replay by now.
    let before = town.nodes[0].dropped.replayed;
    let mut old = Testimony {
        origin: "i9".into(),
        boot: 1,
        seq: 999,
        seen: vec![seen("s1", 9, 9)],
        signature: Vec::new(),
    };
    old.signature = own(9).sign(&old);
    let time_ms = ((town.now - Point::default()).seconds() * 1e3) as u64;
    let body = Body {
        time_ms,
        kind: Some(Kind::Ping(Ping { nonce: 1 })),
        testimonies: vec![old],
        ..Body::default()
    };
    town.throw(8, 0, Span::ZERO, forged("i8", 8, 9000, body));
    town.pass(0.1);
    assert_eq!(town.nodes[0].dropped.replayed, before + 1);
}

#[test]
fn a_key_is_changed_while_all_run() {
    let mut town = town(6);
    let ring = |with_new: bool, with_old: bool| {
        let mut ring = Keyring::default();
        for i in 0..6 {
            if i != 5 || with_old {
                ring.add(&name(i), &own(i).public_key()).expect("a key");
            }
        }
        if with_new {
            ring.add(&name(5), &own(50).public_key()).expect("a key");
        }
        ring
    };
    // First all learn the new key beside the old, then i5 signs with it, then the old one goes.
    (0..6).for_each(|i| town.with(i, |node, _| node.set_keys(own(i), ring(true, true))));
    town.pass(10.0);
    assert_eq!(town.acquaintance(), 1.0);
    town.with(5, |node, _| node.set_keys(own(50), ring(true, true)));
    town.pass(10.0);
    assert_eq!(town.acquaintance(), 1.0);
    (0..6).for_each(|i| {
        town.with(i, |node, _| node.set_keys(own(if i == 5 { 50 } else { i }), ring(true, false)))
    });
    town.pass(20.0);
    assert_eq!(town.acquaintance(), 1.0);
    assert_eq!(town.nodes[0].dropped.bad_signature, 0);
    // A key that was taken out without a successor ends the membership.
    (0..5).for_each(|i| town.with(i, |node, _| node.set_keys(own(i), ring(false, false))));
    town.pass(60.0);
    assert!((0..5).all(|i| town.nodes[i].membership.peer("i5").is_none_or(|peer| !peer.is_live())));
}

#[test]
fn an_instance_that_stands_still_itself_accuses_nobody() {
    let mut town = town(10);
    town.up[0] = false;
    town.pass(8.0);
    town.up[0] = true;
    town.with(0, |node, now| node.tick(now));
    let suspects = town.nodes[0].membership.peers().filter(|(_, peer)| !peer.is_live()).count();
    assert_eq!(suspects, 0);
    town.pass(1.0);
    assert!(town.nodes[0].membership.health_score > 0, "it doubts itself first");
}

#[test]
fn numbers_tell_who_lives_who_died_and_who_left() {
    let mut town = town(6);
    let numbers = |town: &mut Town, i: usize| town.with(i, |node, _| node.gone_since_by_number());
    assert!(numbers(&mut town, 0).values().all(Option::is_none) && numbers(&mut town, 0).len() == 5);
    town.with(4, |node, now| node.leave(now));
    town.pass(2.0);
    town.up[4] = false;
    town.up[5] = false;
    town.pass(30.0);
    for i in 0..4 {
        let seen = numbers(&mut town, i);
        assert!(seen[&4].is_some() && seen[&5].is_some(), "{i} sees {seen:?}");
        assert!((0..4).filter(|other| *other != i as u32).all(|other| seen[&other].is_none()));
        assert!(seen[&4] < seen[&5], "who leaves in order is not waited for");
    }
    town.restart(5, 7);
    town.pass(15.0);
    assert!((0..4).all(|i| numbers(&mut town, i)[&5].is_none()));
}

/// Both lives of an instance begin at incarnation 0: only what it says of itself tells them apart.
#[test]
fn one_that_comes_back_under_another_number_is_known_by_it() {
    let mut town = town(6);
    town.renumber(5, 17);
    town.pass(20.0);
    for i in 0..5 {
        let numbers = town.with(i, |node, _| node.gone_since_by_number());
        assert_eq!((numbers.get(&5), numbers.get(&17)), (None, Some(&None)), "as {i} sees it");
    }
}
