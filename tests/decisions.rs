//! One small test for each failure found, without the bench.

mod common;

use common::*;
use lemontide::clock::Point;
use lemontide::control::Controller;
use lemontide::interface::{AttemptOutcome, Load, Request, SettingValue, StreamerEntry, StreamerState};
use lemontide::random::Random;

#[test]
fn every_seed_gives_a_running_generator() {
    for seed in [0, 1, u64::from(u32::MAX), u64::MAX] {
        let mut chance = Random::from_seed(seed);
        let draws: Vec<f64> = (0..50).map(|_| chance.uniform(0.0, 1.0)).collect();
        assert!(draws.windows(2).all(|w| w[0] != w[1]), "seed {seed} stands still");
    }
}

/// Once one short note told of a full uplink, the rack stayed shut for good and all wishes were turned back.
#[test]
fn news_of_a_full_uplink_lapses() {
    let (mut on, now) = lone(&[("rack.kb", 20_000.0), ("rack.count", 1.0)]);
    let playing = on.adopt(now, &wish(1, FREE, "t", 0, now), "s0");
    playing.load_reported(&mut on, now + seconds(2.0), Load::of_uplink(1.3));
    on.actions.clear();
    on.submit(now + seconds(2.1), &wish(2, FREE, "t", 0, now + seconds(9.0)));
    assert_eq!(on.actions.rejected.len(), 1, "a full uplink takes no more");
    on.actions.clear();
    on.submit(now + seconds(20.0), &wish(3, FREE, "t", 0, now + seconds(29.0)));
    assert_eq!(on.actions.attempts.len(), 1);
}

/// A link that was never heard of looked empty and drew every wish.
#[test]
fn a_link_never_heard_of_counts_as_the_mean() {
    let now = Point::at(100.0);
    let mut on = Controller::new(now, 7, &sheet(0, 2, &[]));
    on.update_list(now, &fleet(), true);
    for cell in 1..STREAMERS {
        let id = cell as u32;
        let playing = on.adopt(now, &wish(id, FREE, "other", cell, now), &format!("s{cell}"));
        playing.load_reported(&mut on, now + seconds(1.5), Load::of_link(if cell == 1 { 0.2 } else { 0.8 }));
    }
    on.tick(now + seconds(1.5));
    on.actions.clear();
    on.submit(now + seconds(1.6), &wish(9, FREE, "t", 0, now + seconds(9.0)));
    assert_eq!(&*on.actions.attempts[0].streamer, "s1");
}

/// One note just over the brim is noise; and where each of hundreds of controllers took a whole step for a
/// small need, all together freed far more than was missing.
#[test]
fn all_controllers_together_free_what_is_missing() {
    let (mut noise, mut steps) = (0, 0);
    for me in 0..200 {
        let now = Point::at(100.0);
        let mut on = Controller::new(now, 31 * me as u64, &sheet(me, 200, &[]));
        on.update_list(now, &fleet(), true);
        let playing = on.adopt(now, &wish(1, FREE, "t", 0, now), "s0");
        playing.rung_reported(&mut on, now, 4);
        playing.load_reported(&mut on, now + seconds(2.0), Load::of_link(1.03));
        noise += on.actions.rung_changes.len();
        playing.load_reported(&mut on, now + seconds(5.0), Load::of_link(1.25));
        steps += on.actions.rung_changes.len();
    }
    assert_eq!(noise, 0);
    // A fifth of 200 x 2000 kB is missing, and a step frees 800 kB.
    assert!((70..130).contains(&steps), "{steps} steps");
}

/// With the same news, or none, hundreds of controllers ranked the same holder first.
#[test]
fn controllers_without_news_spread_over_the_holders() {
    let mut sends = [0; STREAMERS];
    for me in 0..120 {
        let now = Point::at(100.0);
        let mut on = Controller::new(now, 31 * me as u64, &sheet(me, 120, &[]));
        on.update_list(now, &fleet(), true);
        on.submit(now, &wish(1, FREE, "t", 0, now + seconds(9.0)));
        sends[on.actions.attempts[0].streamer[1..].parse::<usize>().expect("a streamer")] += 1;
    }
    assert!(sends[..COPIES].iter().all(|n| (25..60).contains(n)), "{sends:?}");
}

/// Starts at holders without news stepped down within a second: one rung lower, they climb when news comes.
#[test]
fn a_start_without_news_is_one_rung_lower() {
    let (mut on, now) = lone(&[]);
    on.submit(now, &wish(1, FREE, "t", 0, now + seconds(9.0)));
    on.adopt(now, &wish(2, FREE, "u", 3, now), "s3").load_reported(&mut on, now, Load::of_link(0.0));
    on.submit(now, &Request { replicas: 1, ..wish(3, FREE, "u", 3, now + seconds(9.0)) });
    assert_eq!(on.actions.rung_changes, [(1, 1), (3, 2)]);
}

/// Streamers with room that few hear of stayed empty, as climbs paid the price of the crowded ones.
#[test]
fn climbs_pay_less_where_there_is_room_that_few_hear_of() {
    let now = Point::at(100.0);
    let mut on = Controller::new(now, 7, &sheet(0, 12, &[]));
    on.update_list(now, &fleet(), true);
    let (roomy, crowded) = (on.adopt(now, &wish(1, FREE, "t", 0, now), "s0"), 3..6);
    roomy.rung_reported(&mut on, now, 2);
    for id in crowded {
        on.adopt(now, &wish(id, PAID, "u", 5, now), "s5").rung_reported(&mut on, now, 2);
    }
    let mut climbs = 0;
    for beat in 1..60 {
        let at = now + seconds(0.3 * f64::from(beat));
        roomy.load_reported(&mut on, at, Load::of_link(0.2));
        on.tick(at);
        climbs += on.actions.rung_changes.iter().filter(|(id, rung)| *id == 1 && *rung > 2).count();
        on.actions.clear();
    }
    assert!(climbs > 0);
}

/// News is of a moment past: in a burst that all controllers meet, starts and climbs filled the room that it told of
/// and links gave out; afterwards they held back for seconds at half empty links.
#[test]
fn what_was_told_is_carried_on_by_the_growth_of_the_own_account() {
    let room = |growing: bool| {
        let mut now = Point::at(100.0);
        let mut on = Controller::new(now, 7, &sheet(0, 100, &[]));
        on.update_list(now, &fleet(), true);
        let mut playing = Vec::new();
        for beat in 0..60 {
            // Ten from the start and as many more at the end, or all twenty from the start.
            let due = if growing && beat < 56 { 10 } else { 20 };
            for id in playing.len() as u32..due {
                let at = format!("s{}", id as usize % STREAMERS);
                let handle = on.adopt(now, &wish(id, FREE, "t", 0, now), &at);
                handle.rung_reported(&mut on, now, 1);
                playing.push(handle);
            }
            playing.iter().for_each(|handle| handle.load_reported(&mut on, now, Load::of_link(0.7)));
            now = now + seconds(0.25);
            on.tick(now);
        }
        on.actions.clear();
        on.submit(now, &Request { replicas: 1, ..wish(99, FREE, "new", 0, now + seconds(9.0)) });
        on.actions.rung_changes.first().map(|(_, rung)| *rung)
    };
    assert!(room(true) < room(false), "{:?} in a burst, {:?} else", room(true), room(false));
}

/// One that had just come back took its own return for the fleet's growth, and started below what a steady fleet bears.
#[test]
fn a_young_controller_that_catches_up_takes_a_steady_fleet_for_steady() {
    let rung = |warm_up: f64, from: usize| {
        let mut now = Point::at(100.0);
        let mut on = Controller::new(
            now,
            7,
            &sheet(0, 4, &[("cold.span", warm_up), ("link.kb_per_weight", 30_000.0)]),
        );
        on.update_list(now, &fleet(), true);
        let mut playing = Vec::new();
        for beat in 0..60 {
            for id in playing.len()..if beat < 56 { from } else { 20 } {
                let handle =
                    on.adopt(now, &wish(id as u32, FREE, "t", 0, now), &format!("s{}", id % STREAMERS));
                handle.rung_reported(&mut on, now, 1);
                playing.push(handle);
            }
            playing.iter().for_each(|handle| handle.load_reported(&mut on, now, Load::of_link(0.8)));
            now = now + seconds(0.25);
            on.tick(now);
        }
        on.actions.clear();
        on.submit(now, &Request { replicas: 1, ..wish(99, FREE, "new", 0, now + seconds(9.0)) });
        on.actions.rung_changes.first().map(|(_, rung)| *rung)
    };
    // All are older than a warm-up of 5 s, none than one of 30 s.
    assert!(rung(5.0, 10) < rung(5.0, 20), "{:?} for an old one that grows", rung(5.0, 10));
    assert_eq!(rung(30.0, 10), rung(30.0, 20), "for a young one");
}

/// A streamer that sent a shot back as full got the next one too, as its report was taken for noise.
#[test]
fn a_shot_sent_back_tells_that_the_link_is_full() {
    let (mut on, now) = lone(&[]);
    let handle = on.submit(now, &Request { replicas: 1, ..wish(1, FREE, "t", 0, now + seconds(9.0)) });
    handle.load_reported(&mut on, now, Load::of_link(0.2));
    handle.attempt_ended(&mut on, now + seconds(1.0), AttemptOutcome::Refused, false, Load::of_link(1.1));
    on.actions.clear();
    on.submit(now + seconds(2.5), &Request { replicas: 1, ..wish(2, FREE, "t", 0, now + seconds(9.0)) });
    assert_eq!((on.actions.attempts.len(), on.actions.rejected.len()), (0, 1));
}

/// A controller that viewers lean to took the others to hold as many and stepped down in an empty fleet; where own
/// subscriptions outnumber the controllers, what was handed over does tell.
#[test]
fn a_start_steps_down_as_far_as_own_subscriptions_prove() {
    for (controllers, own, steps) in [(200, 5, false), (2, 60, true)] {
        let now = Point::at(100.0);
        let mut on = Controller::new(now, 7, &sheet(0, controllers, &[]));
        on.update_list(now, &fleet(), true);
        for id in 0..own {
            let handle = on.adopt(now, &wish(id, FREE, "t", 0, now), &format!("s{}", id % STREAMERS as u32));
            handle.rung_reported(&mut on, now, 2);
        }
        on.tick(now + seconds(0.3));
        assert_eq!(!on.actions.rung_changes.is_empty(), steps, "{controllers} controllers");
    }
}

/// An uplink that nobody told of counted as empty, so that starts behind it were too high.
#[test]
fn an_uplink_never_told_of_counts_as_the_mean() {
    let (mut on, now) = lone(&[("rack.kb", 5_000.0), ("rack.count", 2.0)]);
    let playing = on.adopt(now, &wish(1, FREE, "t", 0, now), "s0");
    playing.load_reported(&mut on, now, Load { uplink_utilization: Some(0.8), ..Load::of_link(0.2) });
    on.tick(now + seconds(0.3));
    on.actions.clear();
    on.submit(now, &Request { replicas: 1, ..wish(2, FREE, "u", 1, now + seconds(9.0)) });
    assert_eq!(on.actions.rung_changes, [(2, 0)]);
}

/// Links were full of the cheapest wishes at the lowest rung, and dear ones found none.
#[test]
fn a_wish_far_under_the_price_is_turned_back() {
    let (mut on, now) = lone(&[("lanes.0.gain", 0.5)]);
    for id in 0..12 {
        let at = format!("s{}", id % 3);
        on.adopt(now, &wish(id, PAID, "t", 0, now), &at).load_reported(&mut on, now, Load::of_link(0.9));
    }
    on.tick(now + seconds(0.3));
    on.actions.clear();
    on.submit(now, &wish(20, FREE, "t", 0, now + seconds(9.0)));
    assert_eq!(on.actions.rejected.len(), 1);
}

/// A crossing costs points: among equals the own zone goes first, but a full one does not.
#[test]
fn the_own_zone_goes_first_among_equals() {
    let (mut on, now) = lone(&[("charges.cross_zone", 0.02)]);
    let mut lines = fleet();
    lines.iter_mut().filter(|l| l.cell < 2).for_each(|l| l.zone = "there".to_owned());
    on.update_list(now, &lines, true);
    on.submit(now, &wish(1, FREE, "t", 0, now + seconds(9.0)));
    assert_eq!(&*on.actions.attempts[0].streamer, "s2");
    let near = on.adopt(now, &wish(2, FREE, "u", 2, now), "s2");
    near.load_reported(&mut on, now + seconds(1.0), Load::of_link(0.8));
    on.actions.clear();
    on.submit(now + seconds(1.0), &wish(3, FREE, "t", 0, now + seconds(9.0)));
    assert_ne!(&*on.actions.attempts[0].streamer, "s2");
}

/// One unlucky note made a controller believe that the whole fleet was full, and turn everybody back.
#[test]
fn a_guess_alone_turns_nobody_back() {
    let now = Point::at(100.0);
    let mut on = Controller::new(now, 7, &sheet(0, 200, &[]));
    on.update_list(now, &fleet(), true);
    let playing = on.adopt(now, &wish(1, FREE, "u", 5, now), "s5");
    playing.load_reported(&mut on, now + seconds(1.5), Load::of_link(1.6));
    on.tick(now + seconds(1.5));
    on.actions.clear();
    on.submit(now + seconds(1.6), &wish(2, FREE, "t", 0, now + seconds(9.0)));
    assert_eq!(on.actions.attempts.len(), 1);
}

/// A controller that hears from few streamers sent most first shots blind: it looks first, never for long.
#[test]
fn a_holder_without_news_is_looked_at_first() {
    let now = Point::at(100.0);
    let mut settings = sheet(0, 1, &[]);
    settings.insert("looks.allowed".to_owned(), SettingValue::Flag(true));
    let mut on = Controller::new(now, 7, &settings);
    on.update_list(now, &fleet(), true);
    on.submit(now, &wish(1, FREE, "t", 0, now + seconds(9.0)));
    let first = on.actions.probes.pop().expect("a look");
    on.probe_finished(now, &first, true, Load::of_link(1.2));
    let second = on.actions.probes.pop().expect("a look at another");
    assert_ne!(first, second, "the first is full");
    on.probe_finished(now, &second, true, Load::of_link(0.1));
    while let Some(third) = on.actions.probes.pop() {
        on.probe_finished(now, &third, true, Load::of_link(0.3));
    }
    assert_eq!(on.actions.attempts[0].streamer, second);
    on.actions.clear();
    on.submit(now, &wish(2, FREE, "u", 3, now + seconds(9.0)));
    (1..5).for_each(|beat| on.tick(now + seconds(0.3 * f64::from(beat))));
    assert_eq!(on.actions.attempts.len(), 1, "looks that never come back hold nobody up");
    on.actions.clear();
    on.submit(now, &wish(3, FREE, "v", 2, now + seconds(0.5)));
    assert_eq!(on.actions.attempts.len(), 1, "no time for a look");
}

/// Among hundreds of controllers one wish looked like the crowd of a whole tenant.
#[test]
fn few_wishes_prove_no_crowd() {
    let now = Point::at(100.0);
    let mut settings = sheet(0, 200, &[("tenants.0.quota_per_s", 20.0), ("over_share_gain", 0.0)]);
    settings.insert("tenants.0.name".to_owned(), SettingValue::Text("a".to_owned()));
    let mut on = Controller::new(now, 7, &settings);
    on.update_list(now, &fleet(), true);
    for id in 0..3 {
        let at = now + seconds(f64::from(id));
        on.adopt(at, &wish(10 + id, FREE, "u", 3, at), "s3").load_reported(&mut on, at, Load::of_link(0.8));
        on.tick(at);
        on.submit(at, &Request { tenant: "a", ..wish(id, FREE, "t", 0, at + seconds(9.0)) });
    }
    assert_eq!(on.actions.attempts.len(), 3);
}

/// Viewers handed over at the start counted as wishes of their tenant, so that every gain fell.
#[test]
fn a_tenant_within_its_share_keeps_its_gain() {
    let now = Point::at(100.0);
    let mut settings = sheet(0, 1, &[("tenants.0.quota_per_s", 2.0), ("over_share_gain", 0.0)]);
    settings.insert("tenants.0.name".to_owned(), SettingValue::Text("a".to_owned()));
    let mut on = Controller::new(now, 7, &settings);
    on.update_list(now, &fleet(), true);
    let mut of_tenant = |id: u32, handed: bool, at: Point| {
        let mut one = wish(id, FREE, "t", 0, at + seconds(9.0));
        one.tenant = "a";
        on.actions.clear();
        if handed {
            on.adopt(at, &one, "s0").load_reported(&mut on, at, Load::of_link(0.85));
            on.tick(at + seconds(0.3));
        } else {
            on.submit(at, &one);
        }
        on.actions.rejected.len()
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
        on.actions.clear();
        let handle = on.submit(at, &wish(id, FREE, &format!("t{id}"), 0, at + seconds(9.0)));
        let streamer = on.actions.attempts.first()?.streamer.clone();
        handle.attempt_ended(on, at, AttemptOutcome::Errored, true, Load::default());
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
    on.submit(now, &wish(1, PAID, "t", 0, now + seconds(3.0)));
    on.submit(now, &wish(2, FREE, "t", 0, now + seconds(3.0)));
    assert_eq!(on.actions.attempts[0].timeout, seconds(3.0));
    assert!(on.actions.attempts[1].timeout < seconds(1.0));
}

/// Unnamed lanes, unknown streamers and empty settings are legal, if odd.
#[test]
fn odd_input_does_no_harm() {
    let now = Point::at(5.0);
    let mut on = Controller::new(now, 1, &Default::default());
    on.update_list(now, &fleet(), true);
    let mut none = Controller::new(now, 1, &sheet(0, 1, &[]));
    none.update_list(now, &[], true);
    none.submit(now, &wish(1, FREE, "t", 0, now + seconds(9.0)));
    assert_eq!(none.actions.rejected.len(), 1, "an empty list has no holder");
    let handle = on.adopt(now, &wish(1, "no lane", "t", 77, now), "nobody");
    handle.shortfall_reported(&mut on, now, 0.0);
    handle.load_reported(&mut on, now, Load::of_uplink(f64::MAX));
    handle.rung_reported(&mut on, now, 99);
    on.submit(now, &wish(2, "", "t", 0, now + seconds(1.0)));
    on.tick(now + seconds(1.0));
    handle.attempt_ended(&mut on, now, AttemptOutcome::Unknown, false, Load::default());
    handle.playing(&mut on, now);
}

/// Short notes of one link that gave less on and off were put down to an uplink with plenty of room.
#[test]
fn short_delivery_is_put_down_to_an_uplink_only_when_that_is_full() {
    let (mut on, now) = lone(&[("rack.kb", 60_000.0), ("rack.count", 1.0)]);
    let here = on.adopt(now, &wish(1, FREE, "t", 0, now), "s0");
    let mate = on.adopt(now, &wish(2, FREE, "u", 1, now), "s1");
    for handle in [here, mate] {
        handle.rung_reported(&mut on, now, 3);
        handle.load_reported(&mut on, now + seconds(2.0), Load::of_link(0.3));
    }
    here.load_reported(&mut on, now + seconds(2.0), Load::of_uplink(0.6));
    here.shortfall_reported(&mut on, now + seconds(2.5), 0.6);
    assert_eq!(on.actions.rung_changes, [(1, 2)], "the short link steps down");
    mate.load_reported(&mut on, now + seconds(3.0), Load::of_link(0.3));
    assert_eq!(on.actions.rung_changes.len(), 1, "its mate in the rack does not");
}

/// A start was dropped from the rack's account with the next figure of its link.
#[test]
fn an_uplink_keeps_its_own_account() {
    let (mut on, now) = lone(&[("rack.kb", 5_000.0), ("rack.count", 1.0)]);
    let playing = on.adopt(now, &wish(1, FREE, "t", 0, now), "s0");
    playing.load_reported(
        &mut on,
        now + seconds(2.0),
        Load { uplink_utilization: Some(0.5), ..Load::of_link(0.1) },
    );
    let mut starts = 0;
    for id in 2..40 {
        on.actions.clear();
        let handle = on.submit(now + seconds(2.0), &wish(id, FREE, "t", 0, now + seconds(9.0)));
        starts += on.actions.attempts.len();
        handle.playing(&mut on, now + seconds(2.0));
        handle.load_reported(&mut on, now + seconds(2.0), Load::of_link(0.1));
    }
    assert!((1..15).contains(&starts), "half of the uplink does not hold {starts} starts");
}

/// A controller that has just come back holds an old list: it can't know which streamers restarted meanwhile.
#[test]
fn a_controller_that_came_back_does_not_pour_into_one_streamer() {
    let now = Point::at(100.0);
    let mut on = Controller::new(now, 7, &sheet(1, 3, &[("link.kb_per_weight", 1e6)]));
    on.update_list(now, &fleet(), true);
    for id in 0..60 {
        on.submit(now, &wish(id, FREE, "t", 0, now + seconds(9.0)));
    }
    for cell in 0..STREAMERS {
        let sends = on.actions.attempts.iter().filter(|s| *s.streamer == format!("s{cell}")).count();
        assert!(sends <= 3, "{sends} at once to s{cell}, which may be cold");
    }
    on.actions.clear();
    let later = now + seconds(COLD + 1.0);
    for id in 100..120 {
        on.submit(later, &wish(id, FREE, "t", 0, later + seconds(9.0)));
    }
    assert_eq!(on.actions.attempts.len(), 20, "a controller that knows its streamers");
}

/// With one number a turn, the round of hundreds outlasted the warm-up; a shared turn still fits the budget.
#[test]
fn as_many_numbers_share_a_turn_as_the_budget_holds() {
    let controllers = 40;
    // 3 places a second at half warmth, times 4, for 2 s: 12 sends, of which 0.7 are used.
    let more = [("cold.multiple", 4.0), ("cold.window", 2.0), ("link.kb_per_weight", 1e6)];
    let start = Point::at(1000.0);
    let mut sends = Vec::new();
    for me in 0..controllers {
        let mut on = Controller::new(Point::at(900.0), me as u64, &sheet(me, controllers, &more));
        on.update_list(start, &[line(0, StreamerState::Ready, Some(start))], true);
        for tick in 0..90 {
            let now = start + seconds(0.1 * f64::from(tick));
            on.actions.clear();
            on.submit(now, &wish(tick, FREE, "t", 0, now + seconds(9.0)));
            sends.extend(on.actions.attempts.iter().map(|_| now));
        }
    }
    let most = sends
        .iter()
        .map(|first| sends.iter().filter(|t| *t >= first && (**t - *first).seconds() < 2.0).count());
    assert!((6..=12).contains(&most.max().unwrap_or(0)), "a window holds its budget, well used");
}

/// What others say brings doubt and never condemnation; an own success outweighs it, an own failure confirms it.
#[test]
fn hearsay_leans_and_never_condemns() {
    let (mut on, now) = lone(&[]);
    // Past the time in which a new controller holds back.
    let now = now + seconds(20.0);
    let mut next = 0;
    let mut take = |on: &mut Controller, at: f64| {
        next += 1;
        on.actions.clear();
        let handle =
            on.submit(now + seconds(at), &wish(next, FREE, &format!("t{next}"), 0, now + seconds(at + 9.0)));
        (handle, on.actions.attempts.first().map(|shot| shot.streamer.to_string()))
    };
    on.set_peer_suspicion(now, "s0", f64::NAN);
    on.set_peer_suspicion(now, "nobody", 1.0);
    ["s0", "s1"].iter().for_each(|s| on.set_peer_suspicion(now, s, 1.0));
    assert!(
        (0..6).all(|i| take(&mut on, f64::from(i) / 10.0).1.as_deref() == Some("s2")),
        "the others come last"
    );
    on.set_peer_suspicion(now, "s2", 1.0);
    let (shot, at) = take(&mut on, 0.7);
    assert!(at.is_some(), "where all are doubted by others alone they are tried");
    shot.playing(&mut on, now + seconds(0.8));
    let at = at.unwrap_or_default();
    assert!(
        (0..3).all(|i| take(&mut on, 0.9 + f64::from(i) / 10.0).1.as_deref() == Some(&*at)),
        "it plays here"
    );
    let (shot, _) = take(&mut on, 1.3);
    ["s0", "s1", "s2"].iter().for_each(|s| on.set_peer_suspicion(now + seconds(1.3), s, 1.0));
    shot.attempt_ended(&mut on, now + seconds(1.4), AttemptOutcome::Errored, true, Load::default());
    assert!(
        (0..3).all(|i| take(&mut on, 1.5 + f64::from(i) / 10.0).1.as_deref() != Some(&*at)),
        "confirmed here"
    );
}

/// One set-up that broke on its way made a sound streamer count as cold, and it stayed unused for a warm-up.
#[test]
fn only_a_broken_stream_means_a_fresh_start() {
    for (played, fresh) in [(false, false), (true, true)] {
        let now = Point::at(1000.0);
        let mut on = Controller::new(now - seconds(100.0), 7, &sheet(1, 6, &[]));
        on.update_list(now, &[line(0, StreamerState::Ready, None)], true);
        let held = on.submit(now, &wish(1, FREE, "t", 0, now + seconds(3.0)));
        if played {
            held.playing(&mut on, now);
        }
        held.attempt_ended(&mut on, now, AttemptOutcome::ConnectionLost, true, Load::default());
        on.actions.clear();
        // Past the doubt, within the warm-up, and in the turn of other numbers.
        let later = now + seconds(6.0);
        on.submit(later, &wish(2, FREE, "t", 0, later + seconds(3.0)));
        assert_eq!(on.actions.attempts.is_empty(), fresh, "played: {played}");
    }
}

/// Wishes for titles that nobody knew went from streamer to streamer, and each error counted against a sound one.
#[test]
fn a_wish_that_fails_everywhere_condemns_nobody() {
    let (mut on, start) = lone(&[]);
    let now = start + seconds(COLD);
    for (id, title) in (1..).zip(["a", "b", "c", "d", "e", "f"]) {
        let bad = on.submit(now, &wish(id, FREE, title, 0, now + seconds(3.0)));
        while on.actions.rejected.is_empty() {
            on.actions.clear();
            bad.attempt_ended(&mut on, now, AttemptOutcome::Errored, false, Load::default());
        }
        on.actions.clear();
    }
    on.submit(now, &wish(9, PAID, "good", 0, now + seconds(3.0)));
    assert_eq!(on.actions.attempts.len(), 1, "doubt is gone and nobody is condemned");
}

/// Where the list comes only when asked for nobody asked: drains that the rules count as told were not known.
#[test]
fn a_list_that_must_be_asked_for_is_asked_for_in_time_and_spread() {
    let mut asked = Vec::new();
    for me in 0..60 {
        let now = Point::at(100.0);
        let mut settings = sheet(me, 60, &[("list.ask_within", 8.0)]);
        let mut pushed = Controller::new(now, me as u64, &settings);
        settings.insert("list.on_request".to_owned(), SettingValue::Flag(true));
        let mut on = Controller::new(now, 31 * me as u64, &settings);
        on.update_list(now, &fleet(), true);
        // The third call is answered, and then the list is followed until it breaks off.
        let (mut calls, mut last) = (0, now);
        for beat in 1..200 {
            let at = now + seconds(0.3 * f64::from(beat));
            pushed.tick(at);
            on.tick(at);
            assert!(!pushed.actions.request_list, "it comes by itself");
            if std::mem::take(&mut on.actions.request_list) {
                (calls, last) = (calls + 1, at);
                match calls {
                    1 => asked.push(at),
                    2 => on.list_unavailable(at),
                    3 => on.update_list(at + seconds(0.1), &[line(0, StreamerState::Draining, None)], false),
                    _ => {}
                }
            }
            assert!(calls >= 3 || at - last < seconds(8.0), "asked again within the rules' time");
        }
        assert_eq!(calls, 3, "followed");
        on.list_unavailable(now + seconds(60.0));
        (0..30).for_each(|beat| on.tick(now + seconds(60.3 + 0.3 * f64::from(beat))));
        assert!(on.actions.request_list, "asked for anew when it broke off");
    }
    let first = asked.iter().filter(|at| (**at - Point::at(100.0)).seconds() < 0.5).count();
    assert!(first < 30, "{first} of 60 asked in the same moment");
}

/// A viewer whose highest rung lies under the lane's floor was started above it, which its screen can't show.
#[test]
fn a_viewer_that_can_use_no_rung_of_the_lane_is_turned_back_at_once() {
    let (mut on, now) = lone(&[("lane_floor.1", 2.0), ("lane_floor.0", 3.0), ("lane_top.0", 1.0)]);
    on.submit(now, &Request { max_rung: 1, ..wish(1, PAID, "t", 0, now + seconds(9.0)) });
    on.submit(now, &wish(2, FREE, "t", 0, now + seconds(9.0)));
    assert_eq!((on.actions.attempts.len(), on.actions.rejected.len()), (0, 2));
    let handed = on.adopt(now, &Request { max_rung: 1, ..wish(3, PAID, "t", 0, now) }, "s0");
    handed.rung_reported(&mut on, now, 4);
    (1..30).for_each(|beat| on.tick(now + seconds(0.3 * f64::from(beat))));
    on.actions.clear();
    on.submit(now, &wish(4, PAID, "t", 0, now + seconds(9.0)));
    assert!(
        on.actions.rung_changes.iter().all(|(id, rung)| *id == 4 && *rung >= 2),
        "others are not touched"
    );
}

/// Where a title lies was read from its first wish alone, and from where streamers stood then.
#[test]
fn a_title_is_asked_for_where_its_last_wish_and_the_list_say() {
    let (mut on, start) = lone(&[]);
    let now = start + seconds(COLD);
    let at = |on: &mut Controller, id: u32, home: usize| {
        on.actions.clear();
        on.submit(now, &Request { replicas: 1, ..wish(id, FREE, "t", home, now + seconds(9.0)) });
        on.actions.attempts[0].streamer.to_string()
    };
    assert_eq!((at(&mut on, 1, 0), at(&mut on, 2, 5)), ("s0".to_owned(), "s5".to_owned()));
    on.update_list(
        now,
        &[
            StreamerEntry { cell: 5, ..line(3, StreamerState::Ready, None) },
            line(5, StreamerState::Gone, None),
        ],
        false,
    );
    assert_eq!(at(&mut on, 3, 5), "s3", "it stands in another cell now");
}

/// The number of streams that a streamer told once stood for good: told full, it was never asked again.
#[test]
fn a_number_of_streams_told_once_lapses() {
    let (mut on, start) = lone(&[]);
    let now = start + seconds(COLD);
    let full = Load { streams: Some(30.0), ..Load::of_link(0.3) };
    let one = |id: u32, at: Point| Request { replicas: 1, ..wish(id, FREE, "t", 0, at + seconds(9.0)) };
    on.submit(now, &one(1, now)).attempt_ended(&mut on, now, AttemptOutcome::Served, true, full);
    on.actions.clear();
    for (id, wait, shots) in [(2, 2.0, 0), (3, 20.0, 1)] {
        on.submit(now + seconds(wait), &one(id, now + seconds(wait)));
        assert_eq!(on.actions.attempts.len(), shots, "{wait} s later");
    }
    on.submit(now, &one(4, now)).attempt_ended(&mut on, now, AttemptOutcome::Served, true, full);
    on.actions.clear();
    on.update_list(now, &[line(0, StreamerState::Ready, Some(now - seconds(COLD)))], false);
    on.submit(now, &one(5, now));
    assert_eq!(on.actions.attempts.len(), 1, "a new process runs none");
}

/// What was known of streamers and titles that are gone was kept for good.
#[test]
fn what_is_gone_is_let_go() {
    let (mut on, start) = lone(&[]);
    let mut now = start;
    let named = |cell: usize, round: u32| {
        let mut one = line(cell, StreamerState::Ready, None);
        one.streamer = format!("s{cell}-{round}");
        one
    };
    let long = on.submit(now, &wish(0, FREE, "long", 0, now + seconds(3.0)));
    long.playing(&mut on, now);
    let first = on.actions.attempts[0].streamer.to_string();
    for round in 1..400 {
        now = now + seconds(5.0);
        on.update_list(now, &(0..STREAMERS).map(|cell| named(cell, round)).collect::<Vec<_>>(), true);
        on.actions.clear();
        let title = format!("t{round}");
        let one = on.submit(now, &wish(round, FREE, &title, 0, now + seconds(3.0)));
        assert_eq!(on.actions.attempts.len(), 1, "round {round}");
        one.playing(&mut on, now);
        one.attempt_ended(&mut on, now, AttemptOutcome::Served, true, Load::of_link(0.3));
        on.tick(now + seconds(1.0));
        let (streamers, titles) = on.known_counts();
        assert!(streamers <= 17 * STREAMERS && titles <= 17, "{streamers} and {titles}");
    }
    for beat in 1..30 {
        on.tick(now + seconds(5.0 * f64::from(beat)));
    }
    assert_eq!(on.known_counts(), (STREAMERS + 1, 1), "what still plays is known, and the list");
    on.actions.clear();
    long.shortfall_reported(&mut on, now, 0.5);
    long.attempt_ended(&mut on, now + seconds(150.0), AttemptOutcome::Served, true, Load::default());
    on.tick(now + seconds(151.0));
    assert_eq!(on.known_counts(), (STREAMERS, 0), "{first} is let go");
}

/// A controller in the middle of its day whose free lane is live: a further viewer adds a tenth of a stream.
fn live() -> (Controller, Point) {
    let start = Point::at(100.0);
    let mut settings = sheet(0, 1, &[("ladder.join", 0.1)]);
    settings.insert("lane_live.0".to_owned(), SettingValue::Flag(true));
    let mut on = Controller::new(start, 7, &settings);
    on.update_list(start, &fleet(), true);
    on.actions.clear();
    (on, start + seconds(COLD))
}

/// Each viewer of a live title was counted at the full rate and a place, so a crowd before it was turned back.
#[test]
fn viewers_of_a_live_title_join_the_stream_that_is_there() {
    let (mut on, now) = live();
    let mut handles = Vec::new();
    for id in 0..60 {
        handles.push(on.submit(now, &wish(id, FREE, "t", 0, now + seconds(9.0))));
        handles[id as usize].playing(&mut on, now);
        handles[id as usize].load_reported(&mut on, now, Load::of_link(0.1));
    }
    let at = on.actions.attempts[0].streamer.clone();
    assert!(on.actions.attempts.len() == 60 && on.actions.attempts.iter().all(|shot| shot.streamer == at));
    let lowest = on.actions.rung_changes.iter().map(|(_, rung)| *rung).min();
    assert!(lowest >= Some(1), "sixty share what seven streams would take: {lowest:?}");
    on.actions.clear();
    handles[0].load_reported(&mut on, now, Load { streams: Some(30.0), ..Load::of_link(0.6) });
    handles.push(on.submit(now, &wish(60, FREE, "t", 0, now + seconds(9.0))));
    assert_eq!(on.actions.attempts[0].streamer, at, "it takes no place");
    // What was booked comes back whole, in whatever order they leave.
    for handle in handles.into_iter().skip(1) {
        handle.attempt_ended(&mut on, now, AttemptOutcome::Served, true, Load::default());
    }
    on.actions.clear();
    let full = |id: u32| wish(id, PAID, "u", 0, now + seconds(9.0));
    for id in 100..160 {
        on.submit(now, &full(id));
    }
    assert!(on.actions.attempts.len() >= 40, "{} where one viewer is left", on.actions.attempts.len());
}

/// One of many who share a stream stepped alone, which opened a second one beside the first.
#[test]
fn those_who_share_a_stream_step_together() {
    let (mut on, now) = live();
    let mut playing = Vec::new();
    for id in 0..20 {
        playing.push(on.adopt(now, &wish(id, FREE, "t", 0, now), "s0"));
        playing[id as usize].rung_reported(&mut on, now, 3);
    }
    on.actions.clear();
    playing[0].shortfall_reported(&mut on, now + seconds(2.0), 0.6);
    assert_eq!(on.actions.rung_changes.len() % 20, 0, "all or none");
    assert!(
        !on.actions.rung_changes.is_empty()
            && on.actions.rung_changes[..20].iter().all(|(_, rung)| *rung == 2)
    );
}

/// A controller in the middle of its day that may look, on a fleet whose links are told of in this way.
fn told(how: &str, every: f64) -> (Controller, Point) {
    let start = Point::at(100.0);
    let mut settings = sheet(0, 1, &[("notes.every", every)]);
    settings.insert("looks.allowed".to_owned(), SettingValue::Flag(true));
    settings.insert("links.told".to_owned(), SettingValue::Text(how.to_owned()));
    let mut on = Controller::new(start, 7, &settings);
    on.update_list(start, &fleet(), true);
    on.actions.clear();
    (on, start + seconds(COLD))
}

/// Looks that bring no figure of the link were taken before each wish, three at a time.
#[test]
fn a_look_is_taken_only_where_it_tells_of_the_link() {
    for (how, every, looks) in [("answers", 3.0, 1), ("looks", 0.0, 1), ("never", 3.0, 0), ("never", 0.0, 0)]
    {
        let (mut on, now) = told(how, every);
        on.submit(now, &wish(1, FREE, "t", 0, now + seconds(9.0)));
        assert_eq!(
            (on.actions.probes.len(), on.actions.attempts.len()),
            (looks, 1 - looks),
            "{how}, {every}"
        );
    }
    let (mut on, now) = told("looks", 0.0);
    on.probe_finished(now, "s0", true, Load::of_link(0.1));
    on.submit(now + seconds(9.0), &Request { replicas: 1, ..wish(1, FREE, "t", 0, now + seconds(19.0)) });
    assert_eq!(on.actions.attempts.len(), 1, "no note is overdue where none comes");
}

/// Where nothing ever tells of a link, starts were a rung lower for good and one short note shut it for good.
#[test]
fn without_any_news_of_links_the_own_account_decides() {
    let (mut on, now) = told("never", 0.0);
    let one = |id: u32, at: Point| Request { replicas: 1, ..wish(id, FREE, "t", 0, at + seconds(9.0)) };
    let first = on.submit(now, &one(1, now));
    first.playing(&mut on, now);
    assert_eq!(on.actions.rung_changes, [(1, 2)], "the middle, no rung lower");
    on.actions.clear();
    (1..60).for_each(|beat| on.tick(now + seconds(0.3 * f64::from(beat))));
    assert!(on.actions.rung_changes.len() >= 2, "it climbs in an empty fleet: {:?}", on.actions.rung_changes);
    let now = now + seconds(20.0);
    first.shortfall_reported(&mut on, now, 0.5);
    on.actions.clear();
    for (id, wait, shots) in [(2, 2.0, 0), (3, 17.0, 1)] {
        on.submit(now + seconds(wait), &one(id, now + seconds(wait)));
        assert_eq!(on.actions.attempts.len(), shots, "{wait} s after the short note");
    }
}

/// Where a weight falls with load it was taken for the size of the link, and busy links looked small.
#[test]
fn a_weight_that_falls_with_load_leaves_the_size() {
    for (live, shots) in [(true, 1), (false, 0)] {
        let start = Point::at(100.0);
        let mut settings = sheet(0, 1, &[]);
        settings.insert("link.weight_is_live".to_owned(), SettingValue::Flag(live));
        let mut on = Controller::new(start, 7, &settings);
        let now = start + seconds(COLD);
        for weight in [1.0, 0.02] {
            on.update_list(now, &[StreamerEntry { weight, ..line(0, StreamerState::Ready, None) }], false);
        }
        on.submit(now, &Request { replicas: 1, ..wish(1, PAID, "t", 0, now + seconds(9.0)) });
        assert_eq!(on.actions.attempts.len(), shots, "live: {live}");
    }
}

/// A key that covers every streamer and all of a viewer's time was not used: the first doubt scrapped its wish.
#[test]
fn a_keyed_lane_is_set_up_again_only_where_its_key_covers_that() {
    for (holds, window, again) in [("all", 3.0, true), ("all", 2.0, false), ("zone", 5.0, false)] {
        let now = Point::at(100.0);
        let mut settings = sheet(0, 1, &[("lanes.1.key_window", window), ("lanes.1.cut_off", 3.0)]);
        settings.insert("lanes.1.repeat".to_owned(), SettingValue::Text("keyed".to_owned()));
        settings.insert("lanes.1.key_holds".to_owned(), SettingValue::Text(holds.to_owned()));
        let mut on = Controller::new(now, 7, &settings);
        on.update_list(now, &fleet(), true);
        let held = on.submit(now, &wish(1, PAID, "t", 0, now + seconds(3.0)));
        on.actions.clear();
        held.attempt_ended(&mut on, now + seconds(0.4), AttemptOutcome::TimedOut, false, Load::default());
        let (shots, scrapped) = (on.actions.attempts.len(), on.actions.failed.len());
        assert_eq!((shots, scrapped), if again { (1, 0) } else { (0, 1) }, "{holds}, {window} s");
    }
}

/// Where notes come once a minute, a link counted as the fleet's mean long before its next note was due.
#[test]
fn news_is_not_old_before_the_next_note_is_due() {
    for (every, shots) in [(40.0, 1), (3.0, 0)] {
        let (mut on, start) = lone(&[("notes.every", every)]);
        for cell in 0..STREAMERS {
            let playing = on.adopt(start, &wish(cell as u32, FREE, "u", cell, start), &format!("s{cell}"));
            let full = if cell == 0 { 0.1 } else { 2.0 };
            playing.load_reported(&mut on, start + seconds(1.0), Load::of_link(full));
            if cell > 0 {
                playing.load_reported(&mut on, start + seconds(39.0), Load::of_link(full));
            }
        }
        let now = start + seconds(40.0);
        on.tick(now);
        on.actions.clear();
        on.submit(now, &Request { replicas: 1, ..wish(9, PAID, "t", 0, now + seconds(9.0)) });
        assert_eq!(on.actions.attempts.len(), shots, "a note every {every} s");
    }
}
