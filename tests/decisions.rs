//! One small test for each failure found, without the bench.

mod common;

use common::*;
use lemontide::chance::Chance;
use lemontide::clock::Point;
use lemontide::control::Controller;
use lemontide::interface::{Ending, Load, Value};

#[test]
fn every_seed_gives_a_running_generator() {
    for seed in [0, 1, u64::from(u32::MAX), u64::MAX] {
        let mut chance = Chance::from_seed(seed);
        let draws: Vec<f64> = (0..50).map(|_| chance.between(0.0, 1.0)).collect();
        assert!(draws.windows(2).all(|w| w[0] != w[1]), "seed {seed} stands still");
    }
}

#[test]
fn a_turn_starts_at_its_own_multiple() {
    assert_eq!(Point::at(4.0).turn(seconds(2.0)), 2);
    assert_eq!(Point::at(5.5).into_turn(seconds(2.0)), seconds(1.5));
}

/// Once one short note told of a full uplink, the rack stayed shut for good and all wishes were turned back.
#[test]
fn news_of_a_full_uplink_lapses() {
    let (mut on, now) = lone(&[("rack.kb", 20_000.0), ("rack.count", 1.0)]);
    let playing = on.inherit(now, &wish(1, FREE, "t", 0, now), "s0");
    playing.load(&mut on, now + seconds(2.0), Load::rack(1.3));
    on.results.clear();
    on.take(now + seconds(2.1), &wish(2, FREE, "t", 0, now + seconds(9.0)));
    assert_eq!(on.results.turned_back.len(), 1, "a full uplink takes no more");
    on.results.clear();
    on.take(now + seconds(12.0), &wish(3, FREE, "t", 0, now + seconds(19.0)));
    assert_eq!(on.results.shots.len(), 1);
}

/// A link that was never heard of looked empty and drew every wish.
#[test]
fn a_link_never_heard_of_counts_as_the_mean() {
    let now = Point::at(100.0);
    let mut on = Controller::start(now, 7, &sheet(0, 2, &[]));
    on.learn(now, &fleet(), true);
    for cell in 1..STREAMERS {
        let id = cell as u32;
        let playing = on.inherit(now, &wish(id, FREE, "other", cell, now), &format!("s{cell}"));
        playing.load(&mut on, now + seconds(1.5), Load::link(if cell == 1 { 0.2 } else { 0.8 }));
    }
    on.wake(now + seconds(1.5));
    on.results.clear();
    on.take(now + seconds(1.6), &wish(9, FREE, "t", 0, now + seconds(9.0)));
    assert_eq!(on.results.shots[0].streamer, "s1");
}

/// One note just over the brim is noise; stepping on each cost more than the shortage.
#[test]
fn playing_subscriptions_step_down_under_pressure_only() {
    let (mut on, now) = lone(&[]);
    let playing = on.inherit(now, &wish(1, FREE, "t", 0, now), "s0");
    playing.at_rung(&mut on, 4);
    playing.load(&mut on, now + seconds(2.0), Load::link(1.03));
    assert!(on.results.rungs.is_empty());
    playing.load(&mut on, now + seconds(5.0), Load::link(1.4));
    assert_eq!(on.results.rungs, [(1, 3)]);
}

/// Viewers handed over at the start counted as wishes of their tenant, so that every gain fell.
#[test]
fn a_tenant_within_its_share_keeps_its_gain() {
    let now = Point::at(100.0);
    let mut settings = sheet(0, 1, &[("tenants.0.quota_per_s", 2.0), ("over_share_gain", 0.0)]);
    settings.insert("tenants.0.name".to_owned(), Value::Text("a".to_owned()));
    let mut on = Controller::start(now, 7, &settings);
    on.learn(now, &fleet(), true);
    let mut of_tenant = |id: u32, handed: bool, at: Point| {
        let mut one = wish(id, FREE, "t", 0, at + seconds(9.0));
        one.tenant = "a";
        on.results.clear();
        if handed {
            on.inherit(at, &one, "s0").load(&mut on, at, Load::link(0.85));
            on.wake(at + seconds(0.3));
        } else {
            on.take(at, &one);
        }
        on.results.turned_back.len()
    };
    (0..40).for_each(|id| assert_eq!(of_tenant(id, true, now), 0));
    assert_eq!(of_tenant(50, false, now + seconds(0.4)), 0, "within its share");
    let back: usize = (100..400).map(|id| of_tenant(id, false, now + seconds(0.5))).sum();
    assert!(back > 200, "far past its share, at links that others pay for: {back}");
}

/// One unlucky outcome must not condemn a streamer, and a row of them must.
#[test]
fn a_streamer_is_judged_by_a_sequential_test() {
    let (mut on, start) = lone(&[("cells", 1.0)]);
    let now = start + seconds(COLD + 1.0);
    let fail = |on: &mut Controller, id: u32, at: Point| {
        on.results.clear();
        let handle = on.take(at, &wish(id, FREE, &format!("t{id}"), 0, at + seconds(9.0)));
        let streamer = on.results.shots.first()?.streamer.clone();
        handle.ended(on, at, Ending::Errored, true, Load::default());
        Some(streamer)
    };
    let first = fail(&mut on, 1, now).expect("an untried fleet");
    assert_ne!(fail(&mut on, 2, now).expect("others are sound"), first, "doubt: another goes first");
    let sends = (3..40).filter(|id| fail(&mut on, *id, now).is_some()).count();
    assert!((6..=12).contains(&sends), "each is tried again before it is condemned: {sends}");
    assert!(fail(&mut on, 90, now).is_none(), "all are condemned");
    assert!(fail(&mut on, 91, now + seconds(20.0)).is_some(), "tried again after a while");
}

/// A paid shot has no other after it: nothing is won by cutting it short.
#[test]
fn a_paid_shot_runs_to_the_cut_off() {
    let (mut on, now) = lone(&[]);
    on.take(now, &wish(1, PAID, "t", 0, now + seconds(3.0)));
    on.take(now, &wish(2, FREE, "t", 0, now + seconds(3.0)));
    assert_eq!(on.results.shots[0].within, seconds(3.0));
    assert!(on.results.shots[1].within < seconds(1.0));
}

/// Unnamed lanes, unknown streamers and empty settings are legal, if odd.
#[test]
fn odd_input_does_no_harm() {
    let now = Point::at(5.0);
    let mut on = Controller::start(now, 1, &Default::default());
    on.learn(now, &fleet(), true);
    let handle = on.inherit(now, &wish(1, "no lane", "t", 77, now), "nobody");
    handle.short(&mut on, now, 0.0);
    handle.load(&mut on, now, Load::rack(f64::MAX));
    handle.at_rung(&mut on, 99);
    on.take(now, &wish(2, "", "t", 0, now + seconds(1.0)));
    on.wake(now + seconds(1.0));
    handle.ended(&mut on, now, Ending::Unknown, false, Load::default());
    handle.plays(&mut on, now);
}

/// Short notes of one link that gave less on and off were put down to an uplink with plenty of room.
#[test]
fn short_delivery_is_put_down_to_an_uplink_only_when_that_is_full() {
    let (mut on, now) = lone(&[("rack.kb", 60_000.0), ("rack.count", 1.0)]);
    let here = on.inherit(now, &wish(1, FREE, "t", 0, now), "s0");
    let mate = on.inherit(now, &wish(2, FREE, "u", 1, now), "s1");
    for handle in [here, mate] {
        handle.at_rung(&mut on, 3);
        handle.load(&mut on, now + seconds(2.0), Load::link(0.3));
    }
    here.load(&mut on, now + seconds(2.0), Load::rack(0.6));
    here.short(&mut on, now + seconds(2.5), 0.6);
    assert_eq!(on.results.rungs, [(1, 2)], "the short link steps down");
    mate.load(&mut on, now + seconds(3.0), Load::link(0.3));
    assert_eq!(on.results.rungs.len(), 1, "its mate in the rack does not");
}

/// A start was dropped from the rack's account with the next figure of its link.
#[test]
fn an_uplink_keeps_its_own_account() {
    let (mut on, now) = lone(&[("rack.kb", 5_000.0), ("rack.count", 1.0)]);
    let playing = on.inherit(now, &wish(1, FREE, "t", 0, now), "s0");
    playing.load(&mut on, now + seconds(2.0), Load { rack: Some(0.5), ..Load::link(0.1) });
    let mut starts = 0;
    for id in 2..40 {
        on.results.clear();
        let handle = on.take(now + seconds(2.0), &wish(id, FREE, "t", 0, now + seconds(9.0)));
        starts += on.results.shots.len();
        handle.plays(&mut on, now + seconds(2.0));
        handle.load(&mut on, now + seconds(2.0), Load::link(0.1));
    }
    assert!((1..15).contains(&starts), "half of the uplink does not hold {starts} starts");
}

/// A controller that has just come back holds an old list: it can't know which streamers restarted meanwhile.
#[test]
fn a_controller_that_came_back_does_not_pour_into_one_streamer() {
    let now = Point::at(100.0);
    let mut on = Controller::start(now, 7, &sheet(1, 3, &[("link.kb_per_weight", 1e6)]));
    on.learn(now, &fleet(), true);
    for id in 0..60 {
        on.take(now, &wish(id, FREE, "t", 0, now + seconds(9.0)));
    }
    for cell in 0..STREAMERS {
        let sends = on.results.shots.iter().filter(|s| s.streamer == format!("s{cell}")).count();
        assert!(sends <= 3, "{sends} at once to s{cell}, which may be cold");
    }
    on.results.clear();
    let later = now + seconds(COLD + 1.0);
    for id in 100..120 {
        on.take(later, &wish(id, FREE, "t", 0, later + seconds(9.0)));
    }
    assert_eq!(on.results.shots.len(), 20, "a controller that knows its streamers");
}
