//! A small test for each fault found in the decisions.

mod common;

use common::*;
use lemontide::clock::Point;
use lemontide::control::Controller;
use lemontide::interface::{AttemptOutcome, Load, Request, SettingValue, StreamerEntry, StreamerState};
use lemontide::random::Random;

#[test]
fn every_seed_gives_a_running_generator() {
    for seed in [0, 1, u64::from(u32::MAX), u64::MAX] {
        let mut random = Random::from_seed(seed);
        let draws: Vec<f64> = (0..50).map(|_| random.uniform(0.0, 1.0)).collect();
        assert!(draws.windows(2).all(|w| w[0] != w[1]), "seed {seed} gives the same number again");
    }
}

/// Guards against a rack that stays unused for good, with all requests rejected, after a single report of a full uplink.
#[test]
fn report_of_a_full_uplink_expires() {
    let (mut controller, now) = single_controller(&[("rack.kb", 20_000.0), ("rack.count", 1.0)]);
    let playing = controller.adopt(now, &request(1, FREE, "t", 0, now), "s0");
    playing.load_reported(&mut controller, now + seconds(2.0), Load::of_uplink(1.3));
    controller.actions.clear();
    controller.submit(now + seconds(2.1), &request(2, FREE, "t", 0, now + seconds(9.0)));
    assert_eq!(controller.actions.rejected.len(), 1, "a full uplink gets no more sessions");
    controller.actions.clear();
    controller.submit(now + seconds(20.0), &request(3, FREE, "t", 0, now + seconds(29.0)));
    assert_eq!(controller.actions.attempts.len(), 1);
}

/// Guards against a link without any report that counts as empty and attracts every request.
#[test]
fn a_link_without_any_report_counts_as_the_mean() {
    let now = Point::at(100.0);
    let mut controller = Controller::new(now, 7, &controller_settings(0, 2, &[]));
    controller.update_list(now, &fleet(), true);
    for cell in 1..STREAMERS {
        let id = cell as u32;
        let playing = controller.adopt(now, &request(id, FREE, "other", cell, now), &format!("s{cell}"));
        playing.load_reported(
            &mut controller,
            now + seconds(1.5),
            Load::of_link(if cell == 1 { 0.2 } else { 0.8 }),
        );
    }
    controller.tick(now + seconds(1.5));
    controller.actions.clear();
    controller.submit(now + seconds(1.6), &request(9, FREE, "t", 0, now + seconds(9.0)));
    assert_eq!(&*controller.actions.attempts[0].streamer, "s1");
}

/// A report of slightly more than full is noise. Guards against hundreds of controllers that take a whole step each for a
/// small need, and together free far more than is missing.
#[test]
fn all_controllers_together_free_what_is_missing() {
    let (mut noise, mut steps) = (0, 0);
    for number in 0..200 {
        let now = Point::at(100.0);
        let mut controller = Controller::new(now, 31 * number as u64, &controller_settings(number, 200, &[]));
        controller.update_list(now, &fleet(), true);
        let playing = controller.adopt(now, &request(1, FREE, "t", 0, now), "s0");
        playing.rung_reported(&mut controller, now, 4);
        playing.load_reported(&mut controller, now + seconds(2.0), Load::of_link(1.03));
        noise += controller.actions.rung_changes.len();
        playing.load_reported(&mut controller, now + seconds(5.0), Load::of_link(1.25));
        steps += controller.actions.rung_changes.len();
    }
    assert_eq!(noise, 0);
    // A fifth of 200 x 2000 kB is missing, and a step frees 800 kB.
    assert!((70..130).contains(&steps), "{steps} steps");
}

/// Guards against hundreds of controllers with the same reports, or none, that rank the same holder first.
#[test]
fn controllers_without_reports_spread_over_the_holders() {
    let mut sends = [0; STREAMERS];
    for number in 0..120 {
        let now = Point::at(100.0);
        let mut controller = Controller::new(now, 31 * number as u64, &controller_settings(number, 120, &[]));
        controller.update_list(now, &fleet(), true);
        controller.submit(now, &request(1, FREE, "t", 0, now + seconds(9.0)));
        sends[controller.actions.attempts[0].streamer[1..].parse::<usize>().expect("a streamer")] += 1;
    }
    assert!(sends[..REPLICAS].iter().all(|n| (25..60).contains(n)), "{sends:?}");
}

/// Guards against starts at holders without reports that are downgraded within a second. They start one rung lower and
/// are upgraded when a report comes.
#[test]
fn a_start_without_a_report_is_one_rung_lower() {
    let (mut controller, now) = single_controller(&[]);
    controller.submit(now, &request(1, FREE, "t", 0, now + seconds(9.0)));
    controller.adopt(now, &request(2, FREE, "u", 3, now), "s3").load_reported(
        &mut controller,
        now,
        Load::of_link(0.0),
    );
    controller.submit(now, &Request { replicas: 1, ..request(3, FREE, "u", 3, now + seconds(9.0)) });
    assert_eq!(controller.actions.rung_changes, [(1, 1), (3, 2)]);
}

/// Guards against streamers that stay empty because few controllers get their reports and upgrades there need to earn
/// the price of the crowded streamers.
#[test]
fn upgrades_need_earn_less_where_few_controllers_know_of_spare_rate() {
    let now = Point::at(100.0);
    let mut controller = Controller::new(now, 7, &controller_settings(0, 12, &[]));
    controller.update_list(now, &fleet(), true);
    let (roomy, crowded) = (controller.adopt(now, &request(1, FREE, "t", 0, now), "s0"), 3..6);
    roomy.rung_reported(&mut controller, now, 2);
    for id in crowded {
        controller.adopt(now, &request(id, PAID, "u", 5, now), "s5").rung_reported(&mut controller, now, 2);
    }
    let mut upgrades = 0;
    for tick in 1..60 {
        let at = now + seconds(0.3 * f64::from(tick));
        roomy.load_reported(&mut controller, at, Load::of_link(0.2));
        controller.tick(at);
        upgrades += controller.actions.rung_changes.iter().filter(|(id, rung)| *id == 1 && *rung > 2).count();
        controller.actions.clear();
    }
    assert!(upgrades > 0);
}

/// Reports are of a past moment. Guards against a burst at all controllers in which starts and upgrades fill the spare
/// rate of old reports, so that links are overloaded and afterwards half empty for seconds.
#[test]
fn reported_load_grows_with_the_own_rate() {
    let rung = |growing: bool| {
        let mut now = Point::at(100.0);
        let mut controller = Controller::new(now, 7, &controller_settings(0, 100, &[]));
        controller.update_list(now, &fleet(), true);
        let mut playing = Vec::new();
        for tick in 0..60 {
            // Ten from the start and ten more at the end, or all twenty from the start.
            let due = if growing && tick < 56 { 10 } else { 20 };
            for id in playing.len() as u32..due {
                let streamer = format!("s{}", id as usize % STREAMERS);
                let handle = controller.adopt(now, &request(id, FREE, "t", 0, now), &streamer);
                handle.rung_reported(&mut controller, now, 1);
                playing.push(handle);
            }
            playing.iter().for_each(|handle| handle.load_reported(&mut controller, now, Load::of_link(0.7)));
            now = now + seconds(0.25);
            controller.tick(now);
        }
        controller.actions.clear();
        controller.submit(now, &Request { replicas: 1, ..request(99, FREE, "new", 0, now + seconds(9.0)) });
        controller.actions.rung_changes.first().map(|(_, rung)| *rung)
    };
    assert!(rung(true) < rung(false), "{:?} in a burst, {:?} else", rung(true), rung(false));
}

/// Guards against a restarted controller that takes its own growth for that of the fleet, and starts sessions at lower
/// rungs than a steady fleet allows.
#[test]
fn a_controller_that_catches_up_after_a_restart_takes_a_steady_fleet_as_steady() {
    let rung = |warm_up: f64, initial: usize| {
        let mut now = Point::at(100.0);
        let mut controller = Controller::new(
            now,
            7,
            &controller_settings(0, 4, &[("cold.span", warm_up), ("link.kb_per_weight", 30_000.0)]),
        );
        controller.update_list(now, &fleet(), true);
        let mut playing = Vec::new();
        for tick in 0..60 {
            for id in playing.len()..if tick < 56 { initial } else { 20 } {
                let handle = controller.adopt(
                    now,
                    &request(id as u32, FREE, "t", 0, now),
                    &format!("s{}", id % STREAMERS),
                );
                handle.rung_reported(&mut controller, now, 1);
                playing.push(handle);
            }
            playing.iter().for_each(|handle| handle.load_reported(&mut controller, now, Load::of_link(0.8)));
            now = now + seconds(0.25);
            controller.tick(now);
        }
        controller.actions.clear();
        controller.submit(now, &Request { replicas: 1, ..request(99, FREE, "new", 0, now + seconds(9.0)) });
        controller.actions.rung_changes.first().map(|(_, rung)| *rung)
    };
    // All of them have been up for longer than a warm-up of 5 s, and none for longer than one of 30 s.
    assert!(
        rung(5.0, 10) < rung(5.0, 20),
        "{:?} for a controller that grows after its warm-up",
        rung(5.0, 10)
    );
    assert_eq!(rung(30.0, 10), rung(30.0, 20), "for a controller that started recently");
}

/// Guards against a next attempt at a streamer that refused one as full, because its report is taken as noise.
#[test]
fn a_refused_attempt_reports_a_full_link() {
    let (mut controller, now) = single_controller(&[]);
    let handle =
        controller.submit(now, &Request { replicas: 1, ..request(1, FREE, "t", 0, now + seconds(9.0)) });
    handle.load_reported(&mut controller, now, Load::of_link(0.2));
    handle.attempt_ended(
        &mut controller,
        now + seconds(1.0),
        AttemptOutcome::Refused,
        false,
        Load::of_link(1.1),
    );
    controller.actions.clear();
    controller
        .submit(now + seconds(2.5), &Request { replicas: 1, ..request(2, FREE, "t", 0, now + seconds(9.0)) });
    assert_eq!((controller.actions.attempts.len(), controller.actions.rejected.len()), (0, 1));
}

/// Guards against a controller with more viewers than the others that assumes as many at these, and downgrades in an
/// empty fleet. Only where own sessions outnumber the controllers do adopted sessions allow that conclusion.
#[test]
fn adopted_sessions_are_downgraded_only_where_they_outnumber_the_controllers() {
    for (controllers, own_sessions, downgraded) in [(200, 5, false), (2, 60, true)] {
        let now = Point::at(100.0);
        let mut controller = Controller::new(now, 7, &controller_settings(0, controllers, &[]));
        controller.update_list(now, &fleet(), true);
        for id in 0..own_sessions {
            let handle = controller.adopt(
                now,
                &request(id, FREE, "t", 0, now),
                &format!("s{}", id % STREAMERS as u32),
            );
            handle.rung_reported(&mut controller, now, 2);
        }
        controller.tick(now + seconds(0.3));
        assert_eq!(!controller.actions.rung_changes.is_empty(), downgraded, "{controllers} controllers");
    }
}

/// Guards against an uplink without any report that counts as empty, so that sessions behind it start at too high rungs.
#[test]
fn an_uplink_without_any_report_counts_as_the_mean() {
    let (mut controller, now) = single_controller(&[("rack.kb", 5_000.0), ("rack.count", 2.0)]);
    let playing = controller.adopt(now, &request(1, FREE, "t", 0, now), "s0");
    playing.load_reported(&mut controller, now, Load { uplink_utilization: Some(0.8), ..Load::of_link(0.2) });
    controller.tick(now + seconds(0.3));
    controller.actions.clear();
    controller.submit(now, &Request { replicas: 1, ..request(2, FREE, "u", 1, now + seconds(9.0)) });
    assert_eq!(controller.actions.rung_changes, [(2, 0)]);
}

/// Guards against links that fill up with requests of the lowest gain at the lowest rung, so that those of high gain find
/// no capacity.
#[test]
fn a_request_far_below_the_price_is_rejected() {
    let (mut controller, now) = single_controller(&[("lanes.0.gain", 0.5)]);
    for id in 0..12 {
        let at = format!("s{}", id % 3);
        controller.adopt(now, &request(id, PAID, "t", 0, now), &at).load_reported(
            &mut controller,
            now,
            Load::of_link(0.9),
        );
    }
    controller.tick(now + seconds(0.3));
    controller.actions.clear();
    controller.submit(now, &request(20, FREE, "t", 0, now + seconds(9.0)));
    assert_eq!(controller.actions.rejected.len(), 1);
}

/// Where cross-zone traffic is charged, the holder in the own zone is used first among equal ones, but not when it is full.
#[test]
fn the_own_zone_is_used_first_among_equals() {
    let (mut controller, now) = single_controller(&[("charges.cross_zone", 0.02)]);
    let mut entries = fleet();
    entries.iter_mut().filter(|entry| entry.cell < 2).for_each(|entry| entry.zone = "there".to_owned());
    controller.update_list(now, &entries, true);
    controller.submit(now, &request(1, FREE, "t", 0, now + seconds(9.0)));
    assert_eq!(&*controller.actions.attempts[0].streamer, "s2");
    let near = controller.adopt(now, &request(2, FREE, "u", 2, now), "s2");
    near.load_reported(&mut controller, now + seconds(1.0), Load::of_link(0.8));
    controller.actions.clear();
    controller.submit(now + seconds(1.0), &request(3, FREE, "t", 0, now + seconds(9.0)));
    assert_ne!(&*controller.actions.attempts[0].streamer, "s2");
}

/// Guards against a controller that takes the whole fleet as full after one bad report, and rejects all requests.
#[test]
fn a_single_report_rejects_no_request() {
    let now = Point::at(100.0);
    let mut controller = Controller::new(now, 7, &controller_settings(0, 200, &[]));
    controller.update_list(now, &fleet(), true);
    let playing = controller.adopt(now, &request(1, FREE, "u", 5, now), "s5");
    playing.load_reported(&mut controller, now + seconds(1.5), Load::of_link(1.6));
    controller.tick(now + seconds(1.5));
    controller.actions.clear();
    controller.submit(now + seconds(1.6), &request(2, FREE, "t", 0, now + seconds(9.0)));
    assert_eq!(controller.actions.attempts.len(), 1);
}

/// Guards against first attempts at streamers without reports, in a controller that gets few. It probes first, and never
/// waits long for the result.
#[test]
fn a_holder_without_a_report_is_probed_first() {
    let now = Point::at(100.0);
    let mut settings = controller_settings(0, 1, &[]);
    settings.insert("looks.allowed".to_owned(), SettingValue::Flag(true));
    let mut controller = Controller::new(now, 7, &settings);
    controller.update_list(now, &fleet(), true);
    controller.submit(now, &request(1, FREE, "t", 0, now + seconds(9.0)));
    let first = controller.actions.probes.pop().expect("a probe");
    controller.probe_finished(now, &first, true, Load::of_link(1.2));
    let second = controller.actions.probes.pop().expect("a probe of another");
    assert_ne!(first, second, "the first is full");
    controller.probe_finished(now, &second, true, Load::of_link(0.1));
    while let Some(third) = controller.actions.probes.pop() {
        controller.probe_finished(now, &third, true, Load::of_link(0.3));
    }
    assert_eq!(controller.actions.attempts[0].streamer, second);
    controller.actions.clear();
    controller.submit(now, &request(2, FREE, "u", 3, now + seconds(9.0)));
    (1..5).for_each(|tick| controller.tick(now + seconds(0.3 * f64::from(tick))));
    assert_eq!(controller.actions.attempts.len(), 1, "probes without a result delay no session");
    controller.actions.clear();
    controller.submit(now, &request(3, FREE, "v", 2, now + seconds(0.5)));
    assert_eq!(controller.actions.attempts.len(), 1, "no time for a probe");
}

/// Guards against a controller among hundreds that takes one request for the burst of a whole tenant.
#[test]
fn few_requests_are_no_burst() {
    let now = Point::at(100.0);
    let mut settings =
        controller_settings(0, 200, &[("tenants.0.quota_per_s", 20.0), ("over_share_gain", 0.0)]);
    settings.insert("tenants.0.name".to_owned(), SettingValue::Text("a".to_owned()));
    let mut controller = Controller::new(now, 7, &settings);
    controller.update_list(now, &fleet(), true);
    for id in 0..3 {
        let at = now + seconds(f64::from(id));
        controller.adopt(at, &request(10 + id, FREE, "u", 3, at), "s3").load_reported(
            &mut controller,
            at,
            Load::of_link(0.8),
        );
        controller.tick(at);
        controller.submit(at, &Request { tenant: "a", ..request(id, FREE, "t", 0, at + seconds(9.0)) });
    }
    assert_eq!(controller.actions.attempts.len(), 3);
}

/// Guards against adopted sessions that count as requests of their tenant, so that all its gains fall.
#[test]
fn a_tenant_within_its_quota_keeps_its_gain() {
    let now = Point::at(100.0);
    let mut settings = controller_settings(0, 1, &[("tenants.0.quota_per_s", 2.0), ("over_share_gain", 0.0)]);
    settings.insert("tenants.0.name".to_owned(), SettingValue::Text("a".to_owned()));
    let mut controller = Controller::new(now, 7, &settings);
    controller.update_list(now, &fleet(), true);
    let mut of_tenant = |id: u32, adopted: bool, at: Point| {
        let mut request = request(id, FREE, "t", 0, at + seconds(9.0));
        request.tenant = "a";
        controller.actions.clear();
        if adopted {
            controller.adopt(at, &request, "s0").load_reported(&mut controller, at, Load::of_link(0.85));
            controller.tick(at + seconds(0.3));
        } else {
            controller.submit(at, &request);
        }
        controller.actions.rejected.len()
    };
    (0..40).for_each(|id| assert_eq!(of_tenant(id, true, now), 0));
    assert_eq!(of_tenant(50, false, now + seconds(0.4)), 0, "within its quota");
    let rejected: usize = (100..400).map(|id| of_tenant(id, false, now + seconds(0.5))).sum();
    assert!(rejected > 200, "far over its quota, at links with a price: {rejected}");
}

/// A single failure must not exclude a streamer; several in a row must.
#[test]
fn streamer_health_follows_a_sequential_test() {
    let (mut controller, start) = single_controller(&[("cells", 1.0)]);
    let now = start + seconds(WARM_UP_S + 1.0);
    let fail = |controller: &mut Controller, id: u32, at: Point| {
        controller.actions.clear();
        let handle = controller.submit(at, &request(id, FREE, &format!("t{id}"), 0, at + seconds(9.0)));
        let streamer = controller.actions.attempts.first()?.streamer.clone();
        handle.attempt_ended(controller, at, AttemptOutcome::Errored, true, Load::default());
        Some(streamer)
    };
    let first = fail(&mut controller, 1, now).expect("an untried fleet");
    assert_ne!(
        fail(&mut controller, 2, now).expect("others are healthy"),
        first,
        "suspect: another is used first"
    );
    let sends = (3..40).filter(|id| fail(&mut controller, *id, now).is_some()).count();
    assert!((6..=12).contains(&sends), "each is tried again before it is excluded: {sends}");
    assert!(fail(&mut controller, 90, now).is_none(), "all are excluded");
    assert!(fail(&mut controller, 91, now + seconds(20.0)).is_some(), "tried again after a while");
}

/// In a class that is set up at most once no other attempt can follow, so a short timeout would gain nothing.
#[test]
fn an_attempt_of_the_paid_class_lasts_until_the_deadline() {
    let (mut controller, now) = single_controller(&[]);
    controller.submit(now, &request(1, PAID, "t", 0, now + seconds(3.0)));
    controller.submit(now, &request(2, FREE, "t", 0, now + seconds(3.0)));
    assert_eq!(controller.actions.attempts[0].timeout, seconds(3.0));
    assert!(controller.actions.attempts[1].timeout < seconds(1.0));
}

/// Classes without settings, unknown streamers and empty settings are valid input.
#[test]
fn unusual_input_is_accepted() {
    let now = Point::at(5.0);
    let mut controller = Controller::new(now, 1, &Default::default());
    controller.update_list(now, &fleet(), true);
    let mut without_streamers = Controller::new(now, 1, &controller_settings(0, 1, &[]));
    without_streamers.update_list(now, &[], true);
    without_streamers.submit(now, &request(1, FREE, "t", 0, now + seconds(9.0)));
    assert_eq!(without_streamers.actions.rejected.len(), 1, "an empty list has no holder");
    let handle = controller.adopt(now, &request(1, "no class", "t", 77, now), "unknown");
    handle.shortfall_reported(&mut controller, now, 0.0);
    handle.load_reported(&mut controller, now, Load::of_uplink(f64::MAX));
    handle.rung_reported(&mut controller, now, 99);
    controller.submit(now, &request(2, "", "t", 0, now + seconds(1.0)));
    controller.tick(now + seconds(1.0));
    handle.attempt_ended(&mut controller, now, AttemptOutcome::Unknown, false, Load::default());
    handle.playing(&mut controller, now);
}

/// Guards against shortfalls of a single unsteady link that are attributed to an uplink with plenty of spare rate.
#[test]
fn a_shortfall_is_attributed_to_an_uplink_only_when_that_is_full() {
    let (mut controller, now) = single_controller(&[("rack.kb", 60_000.0), ("rack.count", 1.0)]);
    let at_short_link = controller.adopt(now, &request(1, FREE, "t", 0, now), "s0");
    let in_same_rack = controller.adopt(now, &request(2, FREE, "u", 1, now), "s1");
    for handle in [at_short_link, in_same_rack] {
        handle.rung_reported(&mut controller, now, 3);
        handle.load_reported(&mut controller, now + seconds(2.0), Load::of_link(0.3));
    }
    at_short_link.load_reported(&mut controller, now + seconds(2.0), Load::of_uplink(0.6));
    at_short_link.shortfall_reported(&mut controller, now + seconds(2.5), 0.6);
    assert_eq!(controller.actions.rung_changes, [(1, 2)], "the session at the short link is downgraded");
    in_same_rack.load_reported(&mut controller, now + seconds(3.0), Load::of_link(0.3));
    assert_eq!(controller.actions.rung_changes.len(), 1, "the other one in the rack is not");
}

/// Guards against a start that is dropped from the records of the uplink with the next report of its link.
#[test]
fn an_uplink_keeps_its_own_records() {
    let (mut controller, now) = single_controller(&[("rack.kb", 5_000.0), ("rack.count", 1.0)]);
    let playing = controller.adopt(now, &request(1, FREE, "t", 0, now), "s0");
    playing.load_reported(
        &mut controller,
        now + seconds(2.0),
        Load { uplink_utilization: Some(0.5), ..Load::of_link(0.1) },
    );
    let mut starts = 0;
    for id in 2..40 {
        controller.actions.clear();
        let handle = controller.submit(now + seconds(2.0), &request(id, FREE, "t", 0, now + seconds(9.0)));
        starts += controller.actions.attempts.len();
        handle.playing(&mut controller, now + seconds(2.0));
        handle.load_reported(&mut controller, now + seconds(2.0), Load::of_link(0.1));
    }
    assert!((1..15).contains(&starts), "half of the uplink does not hold {starts} starts");
}

/// A controller that restarted has an old list, and can't know which streamers restarted meanwhile.
#[test]
fn a_restarted_controller_does_not_overload_one_streamer() {
    let now = Point::at(100.0);
    let mut controller = Controller::new(now, 7, &controller_settings(1, 3, &[("link.kb_per_weight", 1e6)]));
    controller.update_list(now, &fleet(), true);
    for id in 0..60 {
        controller.submit(now, &request(id, FREE, "t", 0, now + seconds(9.0)));
    }
    for cell in 0..STREAMERS {
        let sends = controller
            .actions
            .attempts
            .iter()
            .filter(|attempt| *attempt.streamer == format!("s{cell}"))
            .count();
        assert!(sends <= 3, "{sends} at once to s{cell}, which can be cold");
    }
    controller.actions.clear();
    let later = now + seconds(WARM_UP_S + 1.0);
    for id in 100..120 {
        controller.submit(later, &request(id, FREE, "t", 0, later + seconds(9.0)));
    }
    assert_eq!(controller.actions.attempts.len(), 20, "a controller that knows its streamers");
}

/// Guards against turns of one controller each: with hundreds of controllers a round would take longer than the warm-up.
/// Shared turns still keep to the budget.
#[test]
fn as_many_controllers_share_a_turn_as_the_budget_allows_sends() {
    let controllers = 40;
    // 30 streams over 10 s, at an initial part of 0.5, times 4, for 2 s: 12 sends, of which a part of 0.7 is used.
    let extra = [("cold.multiple", 4.0), ("cold.window", 2.0), ("link.kb_per_weight", 1e6)];
    let start = Point::at(1000.0);
    let mut sends = Vec::new();
    for number in 0..controllers {
        let mut controller = Controller::new(
            Point::at(900.0),
            number as u64,
            &controller_settings(number, controllers, &extra),
        );
        controller.update_list(start, &[entry(0, StreamerState::Ready, Some(start))], true);
        for tick in 0..90 {
            let now = start + seconds(0.1 * f64::from(tick));
            controller.actions.clear();
            controller.submit(now, &request(tick, FREE, "t", 0, now + seconds(9.0)));
            sends.extend(controller.actions.attempts.iter().map(|_| now));
        }
    }
    let most = sends
        .iter()
        .map(|first| sends.iter().filter(|t| *t >= first && (**t - *first).seconds() < 2.0).count());
    assert!((6..=12).contains(&most.max().unwrap_or(0)), "a window keeps to its budget and uses much of it");
}

/// Reports of others make a streamer suspect and never exclude it. An own success outweighs them, an own failure confirms
/// them.
#[test]
fn peer_reports_make_suspect_and_never_exclude() {
    let (mut controller, now) = single_controller(&[]);
    // After the time in which a new controller limits its sends.
    let now = now + seconds(20.0);
    let mut last_id = 0;
    let mut submit = |controller: &mut Controller, after_s: f64| {
        last_id += 1;
        controller.actions.clear();
        let handle = controller.submit(
            now + seconds(after_s),
            &request(last_id, FREE, &format!("t{last_id}"), 0, now + seconds(after_s + 9.0)),
        );
        (handle, controller.actions.attempts.first().map(|attempt| attempt.streamer.to_string()))
    };
    controller.set_peer_suspicion(now, "s0", f64::NAN);
    controller.set_peer_suspicion(now, "unknown", 1.0);
    ["s0", "s1"].iter().for_each(|streamer| controller.set_peer_suspicion(now, streamer, 1.0));
    assert!(
        (0..6).all(|i| submit(&mut controller, f64::from(i) / 10.0).1.as_deref() == Some("s2")),
        "suspect streamers are used last"
    );
    controller.set_peer_suspicion(now, "s2", 1.0);
    let (attempt, streamer) = submit(&mut controller, 0.7);
    assert!(streamer.is_some(), "where all are suspect by reports alone they are tried");
    attempt.playing(&mut controller, now + seconds(0.8));
    let streamer = streamer.unwrap_or_default();
    assert!(
        (0..3).all(|i| submit(&mut controller, 0.9 + f64::from(i) / 10.0).1.as_deref() == Some(&*streamer)),
        "a session plays there"
    );
    let (attempt, _) = submit(&mut controller, 1.3);
    ["s0", "s1", "s2"]
        .iter()
        .for_each(|streamer| controller.set_peer_suspicion(now + seconds(1.3), streamer, 1.0));
    attempt.attempt_ended(
        &mut controller,
        now + seconds(1.4),
        AttemptOutcome::Errored,
        true,
        Load::default(),
    );
    assert!(
        (0..3).all(|i| submit(&mut controller, 1.5 + f64::from(i) / 10.0).1.as_deref() != Some(&*streamer)),
        "confirmed by an own failure"
    );
}

/// Guards against a healthy streamer that counts as cold, and stays unused for a warm-up, after the connection of one
/// set-up was lost.
#[test]
fn only_a_broken_stream_means_a_restart() {
    for (played, restarted) in [(false, false), (true, true)] {
        let now = Point::at(1000.0);
        let mut controller = Controller::new(now - seconds(100.0), 7, &controller_settings(1, 6, &[]));
        controller.update_list(now, &[entry(0, StreamerState::Ready, None)], true);
        let handle = controller.submit(now, &request(1, FREE, "t", 0, now + seconds(3.0)));
        if played {
            handle.playing(&mut controller, now);
        }
        handle.attempt_ended(&mut controller, now, AttemptOutcome::ConnectionLost, true, Load::default());
        controller.actions.clear();
        // No longer suspect, within the warm-up, and in the turn of other controllers.
        let later = now + seconds(6.0);
        controller.submit(later, &request(2, FREE, "t", 0, later + seconds(3.0)));
        assert_eq!(controller.actions.attempts.is_empty(), restarted, "played: {played}");
    }
}

/// Guards against requests for unknown titles that are retried at one streamer after the other, with each error counted
/// against a healthy streamer.
#[test]
fn a_request_that_fails_everywhere_excludes_no_streamer() {
    let (mut controller, start) = single_controller(&[]);
    let now = start + seconds(WARM_UP_S);
    for (id, title) in (1..).zip(["a", "b", "c", "d", "e", "f"]) {
        let bad = controller.submit(now, &request(id, FREE, title, 0, now + seconds(3.0)));
        while controller.actions.rejected.is_empty() {
            controller.actions.clear();
            bad.attempt_ended(&mut controller, now, AttemptOutcome::Errored, false, Load::default());
        }
        controller.actions.clear();
    }
    controller.submit(now, &request(9, PAID, "good", 0, now + seconds(3.0)));
    assert_eq!(controller.actions.attempts.len(), 1, "no streamer is suspect or excluded");
}

/// Guards against a list that is available on request only and is not requested: draining streamers that the rules take
/// as announced would not be known.
#[test]
fn a_list_on_request_is_requested_in_time_and_spread() {
    let mut first_requests = Vec::new();
    for number in 0..60 {
        let now = Point::at(100.0);
        let mut settings = controller_settings(number, 60, &[("list.ask_within", 8.0)]);
        let mut pushed = Controller::new(now, number as u64, &settings);
        settings.insert("list.on_request".to_owned(), SettingValue::Flag(true));
        let mut controller = Controller::new(now, 31 * number as u64, &settings);
        controller.update_list(now, &fleet(), true);
        // The third request is answered, and from then on updates come until they stop.
        let (mut calls, mut last) = (0, now);
        for tick in 1..200 {
            let at = now + seconds(0.3 * f64::from(tick));
            pushed.tick(at);
            controller.tick(at);
            assert!(!pushed.actions.request_list, "a pushed list is not requested");
            if std::mem::take(&mut controller.actions.request_list) {
                (calls, last) = (calls + 1, at);
                match calls {
                    1 => first_requests.push(at),
                    2 => controller.list_unavailable(at),
                    3 => controller.update_list(
                        at + seconds(0.1),
                        &[entry(0, StreamerState::Draining, None)],
                        false,
                    ),
                    _ => {}
                }
            }
            assert!(
                calls >= 3 || at - last < seconds(8.0),
                "requested again within the time that the rules allow"
            );
        }
        assert_eq!(calls, 3, "no request while updates come");
        controller.list_unavailable(now + seconds(60.0));
        (0..30).for_each(|tick| controller.tick(now + seconds(60.3 + 0.3 * f64::from(tick))));
        assert!(controller.actions.request_list, "requested again when its updates stopped");
    }
    let at_start = first_requests.iter().filter(|at| (**at - Point::at(100.0)).seconds() < 0.5).count();
    assert!(at_start < 30, "{at_start} of 60 requested at the same moment");
}

/// Guards against a viewer whose highest rung is below the class's lowest and who gets a rung that its screen can't show.
#[test]
fn a_viewer_that_can_use_no_rung_of_the_class_is_rejected_at_once() {
    let (mut controller, now) =
        single_controller(&[("lane_floor.1", 2.0), ("lane_floor.0", 3.0), ("lane_top.0", 1.0)]);
    controller.submit(now, &Request { max_rung: 1, ..request(1, PAID, "t", 0, now + seconds(9.0)) });
    controller.submit(now, &request(2, FREE, "t", 0, now + seconds(9.0)));
    assert_eq!((controller.actions.attempts.len(), controller.actions.rejected.len()), (0, 2));
    let adopted = controller.adopt(now, &Request { max_rung: 1, ..request(3, PAID, "t", 0, now) }, "s0");
    adopted.rung_reported(&mut controller, now, 4);
    (1..30).for_each(|tick| controller.tick(now + seconds(0.3 * f64::from(tick))));
    controller.actions.clear();
    controller.submit(now, &request(4, PAID, "t", 0, now + seconds(9.0)));
    assert!(
        controller.actions.rung_changes.iter().all(|(id, rung)| *id == 4 && *rung >= 2),
        "other sessions keep their rungs"
    );
}

/// Guards against holders of a title that are taken from its first request alone, and from the cells of the streamers at
/// that time.
#[test]
fn holders_follow_the_last_request_and_the_list() {
    let (mut controller, start) = single_controller(&[]);
    let now = start + seconds(WARM_UP_S);
    let streamer_for = |controller: &mut Controller, id: u32, first_cell: usize| {
        controller.actions.clear();
        controller
            .submit(now, &Request { replicas: 1, ..request(id, FREE, "t", first_cell, now + seconds(9.0)) });
        controller.actions.attempts[0].streamer.to_string()
    };
    assert_eq!(
        (streamer_for(&mut controller, 1, 0), streamer_for(&mut controller, 2, 5)),
        ("s0".to_owned(), "s5".to_owned())
    );
    controller.update_list(
        now,
        &[
            StreamerEntry { cell: 5, ..entry(3, StreamerState::Ready, None) },
            entry(5, StreamerState::Gone, None),
        ],
        false,
    );
    assert_eq!(streamer_for(&mut controller, 3, 5), "s3", "another streamer is in that cell now");
}

/// Guards against a reported number of streams that is valid for good: a streamer reported as full would never be used
/// again.
#[test]
fn a_reported_number_of_streams_expires() {
    let (mut controller, start) = single_controller(&[]);
    let now = start + seconds(WARM_UP_S);
    let full = Load { streams: Some(30.0), ..Load::of_link(0.3) };
    let single_holder_request =
        |id: u32, at: Point| Request { replicas: 1, ..request(id, FREE, "t", 0, at + seconds(9.0)) };
    controller.submit(now, &single_holder_request(1, now)).attempt_ended(
        &mut controller,
        now,
        AttemptOutcome::Served,
        true,
        full,
    );
    controller.actions.clear();
    for (id, wait, attempts) in [(2, 2.0, 0), (3, 20.0, 1)] {
        controller.submit(now + seconds(wait), &single_holder_request(id, now + seconds(wait)));
        assert_eq!(controller.actions.attempts.len(), attempts, "{wait} s later");
    }
    controller.submit(now, &single_holder_request(4, now)).attempt_ended(
        &mut controller,
        now,
        AttemptOutcome::Served,
        true,
        full,
    );
    controller.actions.clear();
    controller.update_list(now, &[entry(0, StreamerState::Ready, Some(now - seconds(WARM_UP_S)))], false);
    controller.submit(now, &single_holder_request(5, now));
    assert_eq!(controller.actions.attempts.len(), 1, "a new process runs no streams");
}

/// Guards against records of streamers and titles that are kept for good when these are gone.
#[test]
fn unused_streamers_and_titles_are_removed() {
    let (mut controller, start) = single_controller(&[]);
    let mut now = start;
    let renamed_entry = |cell: usize, round: u32| {
        let mut renamed = entry(cell, StreamerState::Ready, None);
        renamed.streamer = format!("s{cell}-{round}");
        renamed
    };
    let long = controller.submit(now, &request(0, FREE, "long", 0, now + seconds(3.0)));
    long.playing(&mut controller, now);
    let first = controller.actions.attempts[0].streamer.to_string();
    for round in 1..400 {
        now = now + seconds(5.0);
        controller.update_list(
            now,
            &(0..STREAMERS).map(|cell| renamed_entry(cell, round)).collect::<Vec<_>>(),
            true,
        );
        controller.actions.clear();
        let title = format!("t{round}");
        let handle = controller.submit(now, &request(round, FREE, &title, 0, now + seconds(3.0)));
        assert_eq!(controller.actions.attempts.len(), 1, "round {round}");
        handle.playing(&mut controller, now);
        handle.attempt_ended(&mut controller, now, AttemptOutcome::Served, true, Load::of_link(0.3));
        controller.tick(now + seconds(1.0));
        let (streamers, titles) = controller.known_counts();
        assert!(streamers <= 17 * STREAMERS && titles <= 17, "{streamers} and {titles}");
    }
    for tick in 1..30 {
        controller.tick(now + seconds(5.0 * f64::from(tick)));
    }
    assert_eq!(
        controller.known_counts(),
        (STREAMERS + 1, 1),
        "the streamer and title of the playing session, and the list"
    );
    controller.actions.clear();
    long.shortfall_reported(&mut controller, now, 0.5);
    long.attempt_ended(&mut controller, now + seconds(150.0), AttemptOutcome::Served, true, Load::default());
    controller.tick(now + seconds(151.0));
    assert_eq!(controller.known_counts(), (STREAMERS, 0), "{first} is removed");
}

/// A controller after its warm-up whose free class is live: a further viewer adds a tenth of a stream.
fn live_controller() -> (Controller, Point) {
    let start = Point::at(100.0);
    let mut settings = controller_settings(0, 1, &[("ladder.join", 0.1)]);
    settings.insert("lane_live.0".to_owned(), SettingValue::Flag(true));
    let mut controller = Controller::new(start, 7, &settings);
    controller.update_list(start, &fleet(), true);
    controller.actions.clear();
    (controller, start + seconds(WARM_UP_S))
}

/// Guards against viewers of a live title that count with the full rate and a stream each, so that many are rejected.
#[test]
fn viewers_of_a_live_title_join_the_present_stream() {
    let (mut controller, now) = live_controller();
    let mut handles = Vec::new();
    for id in 0..60 {
        handles.push(controller.submit(now, &request(id, FREE, "t", 0, now + seconds(9.0))));
        handles[id as usize].playing(&mut controller, now);
        handles[id as usize].load_reported(&mut controller, now, Load::of_link(0.1));
    }
    let streamer = controller.actions.attempts[0].streamer.clone();
    assert!(
        controller.actions.attempts.len() == 60
            && controller.actions.attempts.iter().all(|attempt| attempt.streamer == streamer)
    );
    let lowest = controller.actions.rung_changes.iter().map(|(_, rung)| *rung).min();
    assert!(lowest >= Some(1), "sixty share the rate of seven streams: {lowest:?}");
    controller.actions.clear();
    handles[0].load_reported(&mut controller, now, Load { streams: Some(30.0), ..Load::of_link(0.6) });
    handles.push(controller.submit(now, &request(60, FREE, "t", 0, now + seconds(9.0))));
    assert_eq!(controller.actions.attempts[0].streamer, streamer, "it needs no stream of its own");
    // All recorded load is released, in whatever order the sessions end.
    for handle in handles.into_iter().skip(1) {
        handle.attempt_ended(&mut controller, now, AttemptOutcome::Served, true, Load::default());
    }
    controller.actions.clear();
    let paid_request = |id: u32| request(id, PAID, "u", 0, now + seconds(9.0));
    for id in 100..160 {
        controller.submit(now, &paid_request(id));
    }
    assert!(
        controller.actions.attempts.len() >= 40,
        "{} where one viewer remains",
        controller.actions.attempts.len()
    );
}

/// Guards against one of many sessions on a shared stream that changes its rung alone, which opens a second stream.
#[test]
fn sessions_on_a_shared_stream_change_rungs_together() {
    let (mut controller, now) = live_controller();
    let mut playing = Vec::new();
    for id in 0..20 {
        playing.push(controller.adopt(now, &request(id, FREE, "t", 0, now), "s0"));
        playing[id as usize].rung_reported(&mut controller, now, 3);
    }
    controller.actions.clear();
    playing[0].shortfall_reported(&mut controller, now + seconds(2.0), 0.6);
    assert_eq!(controller.actions.rung_changes.len() % 20, 0, "all or none");
    assert!(
        !controller.actions.rung_changes.is_empty()
            && controller.actions.rung_changes[..20].iter().all(|(_, rung)| *rung == 2)
    );
}

/// A controller after its warm-up that can probe, in a fleet whose link load is reported in this way.
fn reporting_controller(reported_by: &str, interval_s: f64) -> (Controller, Point) {
    let start = Point::at(100.0);
    let mut settings = controller_settings(0, 1, &[("notes.every", interval_s)]);
    settings.insert("looks.allowed".to_owned(), SettingValue::Flag(true));
    settings.insert("links.told".to_owned(), SettingValue::Text(reported_by.to_owned()));
    let mut controller = Controller::new(start, 7, &settings);
    controller.update_list(start, &fleet(), true);
    controller.actions.clear();
    (controller, start + seconds(WARM_UP_S))
}

/// Guards against three probes before each request where these report no load of the link.
#[test]
fn streamers_are_probed_only_where_probes_report_link_load() {
    for (reported_by, interval_s, probes) in
        [("answers", 3.0, 1), ("looks", 0.0, 1), ("never", 3.0, 0), ("never", 0.0, 0)]
    {
        let (mut controller, now) = reporting_controller(reported_by, interval_s);
        controller.submit(now, &request(1, FREE, "t", 0, now + seconds(9.0)));
        assert_eq!(
            (controller.actions.probes.len(), controller.actions.attempts.len()),
            (probes, 1 - probes),
            "{reported_by}, {interval_s}"
        );
    }
    let (mut controller, now) = reporting_controller("looks", 0.0);
    controller.probe_finished(now, "s0", true, Load::of_link(0.1));
    controller.submit(
        now + seconds(9.0),
        &Request { replicas: 1, ..request(1, FREE, "t", 0, now + seconds(19.0)) },
    );
    assert_eq!(controller.actions.attempts.len(), 1, "no report is overdue where none comes by itself");
}

/// Guards, where link load is never reported, against starts that are always one rung lower, and against a link that stays
/// unused for good after one shortfall.
#[test]
fn without_load_reports_the_own_records_decide() {
    let (mut controller, now) = reporting_controller("never", 0.0);
    let single_holder_request =
        |id: u32, at: Point| Request { replicas: 1, ..request(id, FREE, "t", 0, at + seconds(9.0)) };
    let first = controller.submit(now, &single_holder_request(1, now));
    first.playing(&mut controller, now);
    assert_eq!(controller.actions.rung_changes, [(1, 2)], "the middle of the ladder, not one rung lower");
    controller.actions.clear();
    (1..60).for_each(|tick| controller.tick(now + seconds(0.3 * f64::from(tick))));
    assert!(
        controller.actions.rung_changes.len() >= 2,
        "it is upgraded in an empty fleet: {:?}",
        controller.actions.rung_changes
    );
    let now = now + seconds(20.0);
    first.shortfall_reported(&mut controller, now, 0.5);
    controller.actions.clear();
    for (id, wait, attempts) in [(2, 2.0, 0), (3, 17.0, 1)] {
        controller.submit(now + seconds(wait), &single_holder_request(id, now + seconds(wait)));
        assert_eq!(controller.actions.attempts.len(), attempts, "{wait} s after the shortfall");
    }
}

/// Guards against a weight that falls with the load and is taken as the capacity of the link, so that busy links look
/// small.
#[test]
fn a_weight_that_falls_with_load_keeps_the_capacity() {
    for (is_live, attempts) in [(true, 1), (false, 0)] {
        let start = Point::at(100.0);
        let mut settings = controller_settings(0, 1, &[]);
        settings.insert("link.weight_is_live".to_owned(), SettingValue::Flag(is_live));
        let mut controller = Controller::new(start, 7, &settings);
        let now = start + seconds(WARM_UP_S);
        for weight in [1.0, 0.02] {
            controller.update_list(
                now,
                &[StreamerEntry { weight, ..entry(0, StreamerState::Ready, None) }],
                false,
            );
        }
        controller.submit(now, &Request { replicas: 1, ..request(1, PAID, "t", 0, now + seconds(9.0)) });
        assert_eq!(controller.actions.attempts.len(), attempts, "live: {is_live}");
    }
}

/// Guards against a request that fails after its first timeout although its idempotency key is valid at every
/// streamer and for as long as the viewer waits.
#[test]
fn a_keyed_class_is_attempted_again_only_where_its_key_allows() {
    for (key_holds, window, again) in [("all", 3.0, true), ("all", 2.0, false), ("zone", 5.0, false)] {
        let now = Point::at(100.0);
        let mut settings =
            controller_settings(0, 1, &[("lanes.1.key_window", window), ("lanes.1.cut_off", 3.0)]);
        settings.insert("lanes.1.repeat".to_owned(), SettingValue::Text("keyed".to_owned()));
        settings.insert("lanes.1.key_holds".to_owned(), SettingValue::Text(key_holds.to_owned()));
        let mut controller = Controller::new(now, 7, &settings);
        controller.update_list(now, &fleet(), true);
        let handle = controller.submit(now, &request(1, PAID, "t", 0, now + seconds(3.0)));
        controller.actions.clear();
        handle.attempt_ended(
            &mut controller,
            now + seconds(0.4),
            AttemptOutcome::TimedOut,
            false,
            Load::default(),
        );
        let (attempts, failed) = (controller.actions.attempts.len(), controller.actions.failed.len());
        assert_eq!((attempts, failed), if again { (1, 0) } else { (0, 1) }, "{key_holds}, {window} s");
    }
}

/// Guards, where reports are rare, against a link that counts as the mean of the fleet long before its next report is due.
#[test]
fn a_report_is_not_old_before_the_next_one_is_due() {
    for (interval_s, attempts) in [(40.0, 1), (3.0, 0)] {
        let (mut controller, start) = single_controller(&[("notes.every", interval_s)]);
        for cell in 0..STREAMERS {
            let playing =
                controller.adopt(start, &request(cell as u32, FREE, "u", cell, start), &format!("s{cell}"));
            let utilization = if cell == 0 { 0.1 } else { 2.0 };
            playing.load_reported(&mut controller, start + seconds(1.0), Load::of_link(utilization));
            if cell > 0 {
                playing.load_reported(&mut controller, start + seconds(39.0), Load::of_link(utilization));
            }
        }
        let now = start + seconds(40.0);
        controller.tick(now);
        controller.actions.clear();
        controller.submit(now, &Request { replicas: 1, ..request(9, PAID, "t", 0, now + seconds(9.0)) });
        assert_eq!(controller.actions.attempts.len(), attempts, "a report every {interval_s} s");
    }
}
