//! Difficult cases of the dispatcher one by one in virtual time, and its guarantees under any order of events.

mod common;

use bytes::Bytes;
use common::{entry, settings, wish, World, STREAMERS, VIEWERS};
use lemontide_platform::codec::{cause, Body, SetUp};
use lemontide_platform::config::Hosts;
use lemontide_platform::dispatcher::ConnectionLoss;
use lemontide_platform::replies::Departure;
use proptest::prelude::*;
use serde_json::{json, Value as Json};

#[test]
fn a_request_plays_and_ends_and_leaves_no_state() {
    let mut world = World::new();
    let session = world.ask("paid");
    let (_, sent) = world.shot(session).expect("it was sent");
    assert_eq!((&sent.lane[..], &sent.title[..], &sent.description[..]), ("paid", "t", &b"asked"[..]));
    assert!(
        sent.rung.is_some() && sent.tenant.is_empty() && sent.figures.is_none(),
        "only the fields of a set-up to a streamer"
    );
    world.answer(session);
    assert_eq!(world.answered(session), Some(0));
    world.ends(session, cause::NORMAL);
    assert!(matches!(world.heard(session)[..], [_, Body::Release { cause: cause::NORMAL, .. }]));
    assert_eq!(world.dispatcher.tracked_count(), 0);
}

/// A set-up may be sent again, or rejected, only if no attempt of an at-most-once class may have run.
#[test]
fn the_outcome_of_an_attempt_decides_what_may_follow() {
    let never_ran = [cause::FULL, cause::MOOT];
    for why in [cause::FULL, cause::MOOT, cause::ERROR, cause::BROKEN, cause::NORMAL, 99] {
        let mut world = World::new();
        let (paid, free) = (world.ask("paid"), world.ask("free"));
        world.ends(paid, why);
        world.ends(free, why);
        assert_eq!(world.shots(paid) > 1, never_ran.contains(&why), "cause {why}");
        assert_eq!(world.answered(paid), (!never_ran.contains(&why)).then_some(cause::BROKEN), "cause {why}");
        assert!(world.shots(free) > 1, "cause {why}");
    }
}

#[test]
fn an_unanswered_attempt_is_given_up_and_its_request_is_answered_in_time() {
    let mut world = World::new();
    let (paid, free) = (world.ask("paid"), world.ask("free"));
    world.pass(1.0);
    assert!(world.shots(free) > 1 && world.released(free) >= 1, "released first, then sent again");
    world.pass(1.97);
    assert_eq!(world.answered(paid), Some(cause::BROKEN));
    assert_eq!((world.shots(paid), world.released(paid)), (1, 1));
    assert!(world.answered(free).is_some_and(World::is_refusal));
    let (sent, attempts) = (world.said.len(), world.shots(paid));
    world.answer(paid);
    assert_eq!((world.said.len(), world.shots(paid)), (sent, attempts), "a late answer changes nothing");
}

#[test]
fn a_repeated_answer_or_an_unknown_session_changes_nothing() {
    let mut world = World::new();
    let (session, link) = world.playing("free");
    world.answer(session);
    let stray = Body::Answer { description: Bytes::from_static(b"x"), load: Default::default() };
    world.tell_on(link, 4242, stray);
    assert_eq!(world.answered(session), Some(0));
    assert_eq!(world.released(session), 0, "it plays on");
    assert!(world.heard(4242).is_empty());
}

#[test]
fn a_viewer_that_stops_waiting_is_owed_nothing_and_its_attempt_is_given_up() {
    let mut world = World::new();
    let session = world.ask("free");
    world.say(VIEWERS, session, Body::release(cause::NORMAL));
    assert_eq!((world.released(session), world.dispatcher.tracked_count()), (1, 0));
    world.answer(session);
    assert!(world.heard(session).is_empty());
    let gone = world.ask("paid");
    world.dispatcher.on_viewer_gone(world.now, VIEWERS, Departure::Closed);
    world.perform();
    assert_eq!((world.released(gone), world.dispatcher.tracked_count()), (1, 0));
}

/// An established session belongs to no connection, neither of its viewer nor of its streamer.
#[test]
fn an_established_session_outlives_its_connections() {
    let mut world = World::new();
    let (session, link) = world.playing("paid");
    world.loses(link, ConnectionLoss::Disconnected);
    world.dispatcher.on_viewer_gone(world.now, VIEWERS, Departure::Closed);
    world.pass(3.0);
    assert_eq!(world.dispatcher.tracked_count(), 1);
    world.dispatcher.on_viewer_connected(world.now, 2);
    let other = world.ask_on(2, wish("free"));
    world.answer(other);
    let at = world.address[&link].clone();
    let again = *world.dials.keys().rev().find(|link| world.address[link] == at).expect("dialled again");
    world.tell_on(again, session, Body::release(cause::NORMAL));
    assert!(
        world.said.iter().any(|(conn, m)| *conn == 2 && m.session == session),
        "released on another viewer connection"
    );
    world.say(2, other, Body::release(cause::NORMAL));
    assert_eq!((world.released(other), world.dispatcher.tracked_count()), (1, 0), "ended by its viewer");
}

/// Guards against hundreds of controllers that keep connections to hundreds of streamers: a connection exists only
/// while something needs it.
#[test]
fn a_connection_is_dialled_when_needed_kept_while_a_session_plays_and_closed_when_idle() {
    let mut world = World::new();
    assert!(world.dials.is_empty(), "the list alone causes no dial");
    let (session, link) = world.playing("free");
    assert_eq!(world.dials.len(), 1);
    world.pass(40.0);
    assert!(world.hung.is_empty(), "a release is still expected on it");
    world.ends(session, cause::NORMAL);
    world.pass(11.0);
    assert!(world.hung.is_empty(), "it is kept for the next set-up");
    world.pass(2.0);
    assert_eq!(world.hung, [link], "closed by this end before the streamer's 15 s are over");
    world.pass(30.0);
    assert_eq!(world.dials.values().sum::<u64>(), 1, "and not dialled again");
    let next = world.ask("paid");
    assert_eq!(world.shots(next), 1, "except for a set-up");
}

/// A streamer or a zone that comes up again is dialled by the controllers that have sessions there, not by all.
#[test]
fn a_lost_connection_is_dialled_again_only_for_an_established_session() {
    for is_playing in [true, false] {
        let mut world = World::new();
        let (session, link) = world.playing("free");
        if !is_playing {
            world.ends(session, cause::NORMAL);
            world.pass(0.2);
        }
        world.loses(link, ConnectionLoss::Disconnected);
        world.pass(1.0);
        assert_eq!(world.dials[&link], if is_playing { 2 } else { 1 });
    }
}

/// The viewer ends its session while the connection to the streamer is down. Guards against streams that nobody
/// watches.
#[test]
fn a_release_causes_a_dial() {
    let mut world = World::new();
    let (session, link) = world.playing("free");
    world.away.insert(world.address[&link].clone(), ConnectionLoss::DialFailed);
    world.loses(link, ConnectionLoss::Disconnected);
    world.pass(0.15);
    world.away.clear();
    world.say(VIEWERS, session, Body::release(cause::NORMAL));
    assert_eq!((world.released(session), world.dispatcher.tracked_count()), (1, 0));
}

#[test]
fn a_release_to_a_viewer_waits_for_a_connection() {
    let mut world = World::new();
    let (session, link) = world.playing("free");
    world.dispatcher.on_viewer_gone(world.now, VIEWERS, Departure::Closed);
    world.tell_on(link, session, Body::release(cause::BROKEN));
    assert_eq!(world.heard(session).len(), 1);
    world.pass(1.0);
    world.dispatcher.on_viewer_connected(world.now, 2);
    let next = world.ask_on(2, wish("free"));
    world.answer(next);
    assert_eq!(world.heard(session).len(), 2);
}

/// A refused dial proves that the process is gone; a lost connection alone proves nothing.
#[test]
fn a_session_is_released_when_dials_are_refused_or_fail_for_too_long() {
    for (loss, within) in [(ConnectionLoss::Refused, 0.5), (ConnectionLoss::DialFailed, 3.0)] {
        let mut world = World::new();
        let (session, link) = world.playing("free");
        world.away.insert(world.address[&link].clone(), loss);
        for link in world
            .dials
            .clone()
            .into_keys()
            .filter(|l| world.address[l] == world.address[&link])
            .collect::<Vec<_>>()
        {
            world.loses(link, ConnectionLoss::Disconnected);
        }
        world.pass(within);
        assert!(
            matches!(world.heard(session)[..], [_, Body::Release { cause: cause::BROKEN, .. }]),
            "{loss:?}"
        );
    }
}

/// A machine that fails sends nothing at all: its connections stay open.
#[test]
fn a_silent_streamer_is_detected_by_a_test_within_the_platforms_time() {
    let mut world = World::new();
    let (session, link) = world.playing("free");
    world.away.insert(world.address[&link].clone(), ConnectionLoss::DialFailed);
    world.pass(7.5);
    assert!(matches!(world.heard(session)[..], [_, Body::Release { cause: cause::BROKEN, .. }]));
}

#[test]
fn a_connection_that_answers_no_test_after_a_lost_answer_is_closed() {
    let mut world = World::new();
    let session = world.ask("free");
    let (link, _) = world.shot(session).expect("it was sent");
    world.away.insert(world.address[&link].clone(), ConnectionLoss::DialFailed);
    world.pass(0.5 + 0.5);
    assert!(world.hung.contains(&link));
}

#[test]
fn a_streamer_that_drains_or_is_gone_gets_nothing_new_and_is_removed() {
    let mut world = World::new();
    let (session, link) = world.playing("free");
    let at: usize = world.address[&link][10..].parse::<usize>().expect("a port") - 9000;
    world.news(entry(at, "terminating"));
    for _ in 0..20 {
        let other = world.ask("free");
        world.answer(other);
        assert_ne!(
            world.shot(other).map(|(link, _)| world.address[&link].clone()),
            Some(world.address[&link].clone())
        );
    }
    world.news(entry(at, "terminated"));
    assert_eq!(world.heard(session).len(), 1, "it may still play");
    world.loses(link, ConnectionLoss::Disconnected);
    assert_eq!(world.heard(session).len(), 2, "no release will arrive any more");
    assert_eq!(world.dispatcher.streamer_count(), STREAMERS - 1);
    assert!(world.dispatcher.link_count() < STREAMERS, "no link to it is left");
}

#[test]
fn a_set_up_that_waits_for_a_connection_is_withdrawn_when_its_streamer_drains() {
    let mut world = World::new();
    world.stuck = true;
    for link in world.dials.clone().into_keys() {
        world.loses(link, ConnectionLoss::Disconnected);
    }
    let session = world.ask("paid");
    assert_eq!((world.answered(session), world.shots(session)), (None, 0), "it waits");
    for at in 0..STREAMERS {
        world.news(entry(at, "terminating"));
    }
    assert_eq!(world.answered(session), Some(cause::TURNED_BACK), "it provably never ran");
}

#[test]
fn a_session_older_than_the_start_of_its_streamer_is_over_and_a_newer_one_is_not() {
    let mut world = World::new();
    let (session, link) = world.playing("free");
    let at: usize = world.address[&link][10..].parse::<usize>().expect("a port") - 9000;
    let started = |seconds: f64| {
        let mut again = entry(at, "in_service");
        again.started_ms = seconds * 1e3;
        again
    };
    world.pass(1.0);
    world.news(started(1000.0));
    assert_eq!(world.heard(session).len(), 1, "it was set up in the new process");
    world.news(started(1020.5));
    assert_eq!(world.heard(session).len(), 2);
}

#[test]
fn a_new_streamer_at_an_old_address_is_another_one() {
    let mut world = World::new();
    let (session, link) = world.playing("free");
    let at: usize = world.address[&link][10..].parse::<usize>().expect("a port") - 9000;
    let mut new = entry(at, "in_service");
    new.id = "new".into();
    world.learn(&Hosts { full: false, servers: vec![entry(at, "terminated"), new] });
    world.loses(link, ConnectionLoss::Disconnected);
    assert_eq!(world.heard(session).len(), 2, "the new one does not know the session");
    assert_eq!(world.dispatcher.streamer_count(), STREAMERS);
}

#[test]
fn unusable_set_ups_are_refused_and_never_sent() {
    let with = |change: fn(&mut SetUp)| {
        let mut set_up = wish("free");
        change(&mut set_up);
        set_up
    };
    let odd = [
        with(|s| s.lane = "none".into()),
        with(|s| s.tenant = "nobody".into()),
        with(|s| s.title.clear()),
        with(|s| s.wait_ms = 0),
        with(|s| s.figures = None),
        with(|s| s.figures.as_mut().expect("some").home = 99),
        with(|s| s.figures.as_mut().expect("some").copies = 0),
        with(|s| s.figures.as_mut().expect("some").top = 99),
    ];
    let mut world = World::new();
    for set_up in odd {
        let session = world.ask_on(VIEWERS, set_up.clone());
        assert_eq!((world.answered(session), world.shots(session)), (Some(cause::UNUSABLE), 0), "{set_up:?}");
    }
    world.say(VIEWERS, 0, Body::SetUp(wish("free")));
    assert_eq!(world.answered(0), Some(cause::UNUSABLE), "no id");
}

/// Under the session number of an open request the client could not tell the answers apart.
#[test]
fn two_set_ups_with_one_session_number_close_their_connection_and_not_another() {
    let mut world = World::new();
    let session = world.ask("free");
    world.dispatcher.on_viewer_connected(world.now, 2);
    world.say(2, session, Body::SetUp(wish("free")));
    assert!(world.said.iter().any(|(conn, m)| *conn == 2 && m.session == session));
    world.say(VIEWERS, session, Body::SetUp(wish("free")));
    assert_eq!((world.parted.clone(), world.dispatcher.tracked_count()), (vec![VIEWERS], 0));
}

/// One connection sent the same request two hundred times, and the module counted each for its tenant.
#[test]
fn the_same_set_up_after_a_rejection_closes_its_connection() {
    let mut world = World::new();
    for at in 0..STREAMERS {
        world.news(entry(at, "terminating"));
    }
    let session = world.ask("free");
    assert_eq!(world.answered(session), Some(cause::TURNED_BACK));
    world.say(VIEWERS, session, Body::SetUp(wish("free")));
    assert_eq!(world.heard(session).len(), 2);
    assert!(matches!(world.heard(session)[1], Body::Release { cause: cause::UNUSABLE, .. }));
    assert_eq!(world.parted, [VIEWERS]);
}

/// Hundreds of requests at a time on one connection looked like a crowd of their tenant.
#[test]
fn a_connection_with_too_many_open_requests_gets_no_more_and_others_do() {
    let mut world = World::new();
    let asked: Vec<u64> = (0..200).map(|_| world.ask("free")).collect();
    let sent = asked.iter().filter(|session| world.shots(**session) > 0).count();
    assert!((1..100).contains(&sent), "{sent} of 200 were sent to a streamer");
    assert!(asked
        .iter()
        .all(|session| world.shots(*session) > 0 || world.answered(*session).is_some_and(World::is_refusal)));
    world.dispatcher.on_viewer_connected(world.now, 2);
    let other = world.ask_on(2, wish("free"));
    assert_eq!(world.shots(other), 1);
}

#[test]
fn a_handed_over_session_is_adopted_once_and_released_when_it_ends() {
    let mut world = World::new();
    let mut handed = wish("free");
    handed.figures.as_mut().expect("some").at = Some("s1".into());
    world.say(VIEWERS, 7, Body::SetUp(handed.clone()));
    world.say(VIEWERS, 7, Body::SetUp(handed.clone()));
    assert_eq!((world.dispatcher.tracked_count(), world.heard(7).len()), (1, 0));
    world.pass(0.2);
    let link =
        *world.address.iter().find(|(_, address)| *address == "127.0.0.1:9001").expect("it is dialled").0;
    world.tell_on(link, 7, Body::release(cause::NORMAL));
    assert_eq!((world.dispatcher.tracked_count(), world.heard(7).len()), (0, 1));
    handed.figures.as_mut().expect("some").at = Some("nowhere".into());
    world.say(VIEWERS, 8, Body::SetUp(handed));
    assert_eq!(world.heard(8).len(), 1, "no streamer will ever release it");
}

#[test]
fn many_set_ups_at_one_streamer_spread_over_connections_within_the_limit() {
    let mut world = World::new();
    for _ in 0..200 {
        world.ask("free");
        world.pass(0.01);
    }
    assert!(world.dispatcher.link_count() > STREAMERS && world.dispatcher.link_count() <= 256 / 3);
    world.pass(10.0);
    assert_eq!(world.dispatcher.tracked_count(), 0, "every request has its answer");
}

/// New session numbers, connections and streamers all the time: what is over leaves no state behind.
#[test]
fn thousands_of_sessions_leave_no_state() {
    let mut world = World::new();
    world.dispatcher.on_viewer_gone(world.now, VIEWERS, Departure::Closed);
    for round in 0..3000u64 {
        let conn = 1000 + round;
        world.dispatcher.on_viewer_connected(world.now, conn);
        let session = world.ask_on(conn, wish(if round % 2 == 0 { "free" } else { "paid" }));
        if world.shot(session).is_some() {
            world.answer(session);
            world.ends(session, cause::NORMAL);
        }
        if round % 100 == 99 {
            let at = (round as usize / 100) % STREAMERS;
            let named = |state: &str, generation: u64| {
                let mut entry = entry(at, state);
                if generation >= STREAMERS as u64 {
                    entry.id = format!("s{at}-{generation}");
                }
                entry
            };
            let generation = round / 100;
            let (old, mut new) =
                (named("terminated", generation), named("in_service", generation + STREAMERS as u64));
            new.addr = format!("127.0.0.1:{}", 20_000 + round);
            world.learn(&Hosts { full: false, servers: vec![old, new] });
            world.pass(0.1);
        }
        world.dispatcher.on_viewer_gone(world.now, conn, Departure::Closed);
        world.perform();
    }
    for link in world.dials.clone().into_keys() {
        world.loses(link, ConnectionLoss::Disconnected);
    }
    world.pass(1.0);
    assert_eq!(
        (
            world.dispatcher.tracked_count(),
            world.dispatcher.unanswered_count(),
            world.dispatcher.idle_connection()
        ),
        (0, 0, None)
    );
    assert_eq!(world.dispatcher.streamer_count(), STREAMERS);
    assert!(world.dispatcher.link_count() <= STREAMERS, "{} links", world.dispatcher.link_count());
}

#[test]
fn set_ups_a_while_after_a_stop_are_rejected_at_once() {
    let mut world = World::new();
    world.dispatcher.stop(world.now);
    let early = world.ask("free");
    assert_eq!(world.shots(early), 1);
    world.pass(0.7);
    let late = world.ask("paid");
    assert_eq!((world.answered(late), world.shots(late)), (Some(cause::TURNED_BACK), 0));
}

#[derive(Clone, Debug)]
enum Step {
    Ask { paid: bool },
    Tell { pick: usize, cause: u8 },
    Answer { pick: usize },
    GiveUp { pick: usize },
    Lose { pick: usize, loss: ConnectionLoss },
    State { at: usize, state: &'static str },
    Away { at: usize, away: bool },
    Pass { tenths: u32 },
}

fn step() -> impl Strategy<Value = Step> {
    let cause = prop_oneof![Just(16u8), Just(31), Just(34), Just(41), Just(47), Just(102), any::<u8>()];
    let loss = prop_oneof![
        Just(ConnectionLoss::Refused),
        Just(ConnectionLoss::DialFailed),
        Just(ConnectionLoss::Disconnected)
    ];
    let state = prop_oneof![3 => Just("in_service"), 1 => Just("terminating"), 1 => Just("terminated")];
    prop_oneof![
        6 => any::<bool>().prop_map(|paid| Step::Ask { paid }),
        3 => (any::<usize>(), cause).prop_map(|(pick, cause)| Step::Tell { pick, cause }),
        3 => any::<usize>().prop_map(|pick| Step::Answer { pick }),
        1 => any::<usize>().prop_map(|pick| Step::GiveUp { pick }),
        1 => (any::<usize>(), loss).prop_map(|(pick, loss)| Step::Lose { pick, loss }),
        1 => (0..STREAMERS, state).prop_map(|(at, state)| Step::State { at, state }),
        1 => (0..STREAMERS, any::<bool>()).prop_map(|(at, away)| Step::Away { at, away }),
        3 => (1..20u32).prop_map(|tenths| Step::Pass { tenths }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Each request gets one answer in time. One of an at-most-once class is sent again only if no attempt may have
    /// run. No state is left.
    #[test]
    fn one_answer_each_under_any_order_of_events(steps in proptest::collection::vec(step(), 1..80)) {
        let mut world = World::new();
        let mut asked: Vec<(u64, bool)> = Vec::new();
        // Attempts that provably never ran.
        let mut settled: std::collections::HashMap<u64, usize> = Default::default();
        let mut given_up: Vec<u64> = Vec::new();
        for step in steps {
            let session = |pick: usize| (!asked.is_empty()).then(|| asked[pick % asked.len()].0);
            match step {
                Step::Ask { paid } => {
                    let session = world.ask(if paid { "paid" } else { "free" });
                    asked.push((session, paid));
                }
                Step::Tell { pick, cause } => if let Some(session) = session(pick).filter(|session| world.shot(*session).is_some()) {
                    let never_ran = [cause::FULL, cause::MOOT].contains(&cause) && world.heard(session).is_empty();
                    let settled = settled.entry(session).or_default();
                    *settled += usize::from(never_ran && world.shots(session) > *settled);
                    world.ends(session, cause);
                },
                Step::Answer { pick } => if let Some(session) = session(pick).filter(|session| world.shot(*session).is_some()) {
                    world.answer(session);
                },
                Step::GiveUp { pick } => if let Some(session) = session(pick).filter(|session| world.heard(*session).is_empty()) {
                    given_up.push(session);
                    world.say(VIEWERS, session, Body::release(cause::NORMAL));
                },
                Step::Lose { pick, loss } => {
                    let links: Vec<u64> = world.dials.keys().copied().collect();
                    if let Some(link) = links.get(pick % links.len().max(1)) {
                        world.loses(*link, loss);
                    }
                }
                Step::State { at, state } => world.news(entry(at, state)),
                Step::Away { at, away } => {
                    let address = entry(at, "").addr;
                    if away {
                        world.away.insert(address, ConnectionLoss::DialFailed);
                    } else {
                        world.away.remove(&address);
                    }
                }
                Step::Pass { tenths } => world.pass(f64::from(tenths) / 10.0),
            }
        }
        world.pass(3.0);
        prop_assert_eq!(world.dispatcher.unanswered_count(), 0, "every request has its answer by its deadline");
        for (session, paid) in asked {
            let answers = world.heard(session);
            if given_up.contains(&session) {
                prop_assert!(answers.is_empty());
                continue;
            }
            let plays = matches!(answers.first(), Some(Body::Answer { .. }));
            prop_assert!(answers.len() == 1 || plays && answers.len() == 2, "{:?}", answers);
            if paid {
                let settled = settled.get(&session).copied().unwrap_or(0);
                prop_assert!(world.shots(session) <= settled + 1, "sent again though it may have run");
                let refused = matches!(answers[0], Body::Release { cause, .. } if World::is_refusal(*cause));
                prop_assert!(!refused || world.shots(session) == settled, "rejected though it may have run");
            }
        }
    }
}

/// The usual settings with some values replaced.
fn with(values: &[(&str, Json)]) -> World {
    let mut settings = settings();
    for (pointer, value) in values {
        *settings.pointer_mut(pointer).expect("it is there") = value.clone();
    }
    World::of(settings)
}

/// A rejection is not delayed: it is sent at the moment of the decision, with the time to retry after if that is
/// allowed.
#[test]
fn a_rejection_is_sent_at_once_with_the_time_to_retry_after() {
    for allowed in [true, false] {
        let max_sessions = ("/family_info/class_seats", json!([1, 0]));
        let mut world = with(&[max_sessions, ("/policy_limits/retry_after", json!(allowed))]);
        let retry_after = |world: &World, session| match world.heard(session)[..] {
            [Body::Release { cause: cause::TURNED_BACK, stay_away_ms, .. }] => *stay_away_ms,
            ref other => panic!("one rejection at once, not {other:?}"),
        };
        let expected = allowed.then_some(500);
        world.playing("free");
        let over_limit = world.ask("free");
        assert_eq!((retry_after(&world, over_limit), world.shots(over_limit)), (expected, 0));
        let retried = world.ask_on(VIEWERS, SetUp { title: "other".into(), ..wish("free") });
        (0..2).for_each(|_| world.ends(retried, cause::FULL));
        assert_eq!(world.answered(retried), None, "it has one attempt more");
        world.ends(retried, cause::FULL);
        assert_eq!(retry_after(&world, retried), expected, "after the last attempt");
        world.dispatcher.stop(world.now);
        world.pass(0.7);
        let late = world.ask("paid");
        assert_eq!(retry_after(&world, late), expected, "a rejection by the dispatcher itself");
    }
}

/// A moved deployment may have live titles, whose viewers share a stream, and a list on request, whose changes the
/// journal service sends all the same.
#[test]
fn viewers_of_a_live_title_share_one_streamer_and_a_list_on_request_is_followed() {
    let mut world = with(&[
        ("/family_info/live", json!([true, false])),
        ("/family_info/join", json!(0.1)),
        ("/family_info/kb_per_weight", json!(3000)),
        ("/membership_mode", json!("on_request")),
        ("/rules/ask_within", json!(10)),
    ]);
    let first = world.playing("free").1;
    for _ in 0..20 {
        let (_, link) = world.playing("free");
        assert_eq!(world.address[&link], world.address[&first]);
    }
    world.pass(30.0);
    world.news(entry(0, "terminating"));
    assert_eq!((world.dispatcher.tracked_count(), world.said.len()), (21, 21), "no viewer gets a message");
}

/// With probes allowed, a request waited three quarters of a second for probes that the platform has no message for.
#[test]
fn a_request_does_not_wait_for_probes() {
    let mut world = with(&[("/policy_limits/may_probe", json!(true))]);
    let session = world.ask("free");
    assert_eq!(world.shots(session), 1, "at once");
}
