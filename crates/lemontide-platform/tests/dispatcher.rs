//! The dispatcher's hard cases, one by one, in virtual time, and its promises under any order of events.

mod common;

use bytes::Bytes;
use common::{entry, settings, wish, World, STREAMERS, VIEWERS};
use lemontide_platform::codec::{cause, Body, SetUp};
use lemontide_platform::config::ListUpdate;
use lemontide_platform::dispatcher::Loss;
use lemontide_platform::replies::Departure;
use proptest::prelude::*;
use serde_json::{json, Value as Json};

#[test]
fn a_wish_plays_and_ends_and_leaves_nothing() {
    let mut world = World::new();
    let session = world.ask("paid");
    let (_, sent) = world.shot(session).expect("it was sent");
    assert_eq!((&sent.class[..], &sent.title[..], &sent.description[..]), ("paid", "t", &b"asked"[..]));
    assert!(
        sent.rung.is_some() && sent.tenant.is_empty() && sent.details.is_none(),
        "no more than the form has"
    );
    world.answer(session);
    assert_eq!(world.answered(session), Some(0));
    world.ends(session, cause::NORMAL);
    assert!(matches!(world.heard(session)[..], [_, Body::Release { cause: cause::NORMAL, .. }]));
    assert_eq!(world.dispatcher.in_hand(), 0);
}

/// A set-up may be shot again, or refused, only where no shot of a paid lane may have run.
#[test]
fn how_a_shot_ends_decides_what_may_follow() {
    let never_ran = [cause::FULL, cause::NOT_SENT];
    for why in [cause::FULL, cause::NOT_SENT, cause::ERROR, cause::FAILED, cause::NORMAL, 99] {
        let mut world = World::new();
        let (paid, free) = (world.ask("paid"), world.ask("free"));
        world.ends(paid, why);
        world.ends(free, why);
        assert_eq!(world.shots(paid) > 1, never_ran.contains(&why), "cause {why}");
        assert_eq!(world.answered(paid), (!never_ran.contains(&why)).then_some(cause::FAILED), "cause {why}");
        assert!(world.shots(free) > 1, "cause {why}");
    }
}

#[test]
fn no_answer_in_time_gives_the_shot_up_and_the_answer_is_still_in_time() {
    let mut world = World::new();
    let (paid, free) = (world.ask("paid"), world.ask("free"));
    world.pass(1.0);
    assert!(world.shots(free) > 1 && world.released(free) >= 1, "given up first, then sent again");
    world.pass(1.97);
    assert_eq!(world.answered(paid), Some(cause::FAILED));
    assert_eq!((world.shots(paid), world.released(paid)), (1, 1));
    assert!(world.answered(free).is_some_and(World::is_refusal));
    let (said, shots) = (world.said.len(), world.shots(paid));
    world.answer(paid);
    assert_eq!((world.said.len(), world.shots(paid)), (said, shots), "too late changes nothing");
}

#[test]
fn a_second_copy_or_an_unknown_number_changes_nothing() {
    let mut world = World::new();
    let (session, link) = world.playing("free");
    world.answer(session);
    let stray = Body::Answer { description: Bytes::from_static(b"x"), load: Default::default() };
    world.tell_on(link, 4242, stray);
    assert_eq!(world.answered(session), Some(0));
    assert_eq!(world.released(session), 0, "it goes on playing");
    assert!(world.heard(4242).is_empty());
}

#[test]
fn a_viewer_that_stops_waiting_is_owed_nothing_and_its_shot_is_given_up() {
    let mut world = World::new();
    let session = world.ask("free");
    world.say(VIEWERS, session, Body::release(cause::NORMAL));
    assert_eq!((world.released(session), world.dispatcher.in_hand()), (1, 0));
    world.answer(session);
    assert!(world.heard(session).is_empty());
    let gone = world.ask("paid");
    world.dispatcher.viewer_gone(world.now, VIEWERS, Departure::Closed);
    world.perform();
    assert_eq!((world.released(gone), world.dispatcher.in_hand()), (1, 0));
}

/// What stands belongs to no connection, of neither side.
#[test]
fn a_standing_subscription_outlives_its_connections() {
    let mut world = World::new();
    let (session, link) = world.playing("paid");
    world.loses(link, Loss::Broke);
    world.dispatcher.viewer_gone(world.now, VIEWERS, Departure::Closed);
    world.pass(3.0);
    assert_eq!(world.dispatcher.in_hand(), 1);
    world.dispatcher.viewer_up(world.now, 2);
    let other = world.ask_on(2, wish("free"));
    world.answer(other);
    let at = world.address[&link].clone();
    let again = *world.dials.keys().rev().find(|l| world.address[l] == at).expect("dialled again");
    world.tell_on(again, session, Body::release(cause::NORMAL));
    assert!(world.said.iter().any(|(conn, m)| *conn == 2 && m.session == session), "on any connection");
    world.say(2, other, Body::release(cause::NORMAL));
    assert_eq!((world.released(other), world.dispatcher.in_hand()), (1, 0), "ended by its viewer");
}

/// Hundreds of controllers by hundreds of streamers: a connection is there for what needs it and for nobody else.
#[test]
fn a_connection_is_dialled_when_needed_kept_while_something_stands_and_closed_when_idle() {
    let mut world = World::new();
    assert!(world.dials.is_empty(), "a list alone dials nobody");
    let (session, link) = world.playing("free");
    assert_eq!(world.dials.len(), 1);
    world.pass(40.0);
    assert!(world.hung.is_empty(), "a release is still to come on it");
    world.ends(session, cause::NORMAL);
    world.pass(11.0);
    assert!(world.hung.is_empty(), "the next set-up may use it");
    world.pass(2.0);
    assert_eq!(world.hung, [link], "closed by this end before the streamer's 15 s are over");
    world.pass(30.0);
    assert_eq!(world.dials.values().sum::<u64>(), 1, "and not dialled again");
    let next = world.ask("paid");
    assert_eq!(world.shots(next), 1, "but for a set-up");
}

/// A streamer or a zone that comes back is dialled by those who have something there, not by the whole fleet.
#[test]
fn a_lost_connection_is_dialled_again_only_for_what_stands() {
    for stands in [true, false] {
        let mut world = World::new();
        let (session, link) = world.playing("free");
        if !stands {
            world.ends(session, cause::NORMAL);
            world.pass(0.2);
        }
        world.loses(link, Loss::Broke);
        world.pass(1.0);
        assert_eq!(world.dials[&link], if stands { 2 } else { 1 });
    }
}

/// Guards against streams that nobody watches: the viewer ended it while its streamer's connection was down.
#[test]
fn a_release_dials_for_itself() {
    let mut world = World::new();
    let (session, link) = world.playing("free");
    world.away.insert(world.address[&link].clone(), Loss::Dark);
    world.loses(link, Loss::Broke);
    world.pass(0.15);
    world.away.clear();
    world.say(VIEWERS, session, Body::release(cause::NORMAL));
    assert_eq!((world.released(session), world.dispatcher.in_hand()), (1, 0));
}

#[test]
fn a_release_that_no_connection_takes_waits_for_one() {
    let mut world = World::new();
    let (session, link) = world.playing("free");
    world.dispatcher.viewer_gone(world.now, VIEWERS, Departure::Closed);
    world.tell_on(link, session, Body::release(cause::FAILED));
    assert_eq!(world.heard(session).len(), 1);
    world.pass(1.0);
    world.dispatcher.viewer_up(world.now, 2);
    let next = world.ask_on(2, wish("free"));
    world.answer(next);
    assert_eq!(world.heard(session).len(), 2);
}

/// The process is gone where nobody listens any more; a broken connection alone proves nothing.
#[test]
fn what_stood_is_released_when_nobody_listens_or_nobody_is_reached() {
    for (loss, within) in [(Loss::Refused, 0.5), (Loss::Dark, 3.0)] {
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
            world.loses(link, Loss::Broke);
        }
        world.pass(within);
        assert!(
            matches!(world.heard(session)[..], [_, Body::Release { cause: cause::FAILED, .. }]),
            "{loss:?}"
        );
    }
}

/// A machine that vanishes says nothing at all: its connections stay open.
#[test]
fn a_silent_streamer_is_found_by_a_test_within_the_platforms_time() {
    let mut world = World::new();
    let (session, link) = world.playing("free");
    world.away.insert(world.address[&link].clone(), Loss::Dark);
    world.pass(7.5);
    assert!(matches!(world.heard(session)[..], [_, Body::Release { cause: cause::FAILED, .. }]));
}

#[test]
fn a_connection_that_answers_no_test_after_a_lost_answer_is_closed() {
    let mut world = World::new();
    let session = world.ask("free");
    let (link, _) = world.shot(session).expect("it was sent");
    world.away.insert(world.address[&link].clone(), Loss::Dark);
    world.pass(0.5 + 0.5);
    assert!(world.hung.contains(&link));
}

#[test]
fn a_streamer_that_drains_or_goes_gets_nothing_new_and_is_forgotten() {
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
    world.loses(link, Loss::Broke);
    assert_eq!(world.heard(session).len(), 2, "nobody will tell any more");
    assert_eq!(world.dispatcher.streamers(), STREAMERS - 1);
    assert!(world.dispatcher.links() < STREAMERS, "none of them is its own");
}

#[test]
fn a_set_up_that_waits_for_a_connection_is_taken_back_when_its_streamer_drains() {
    let mut world = World::new();
    world.stuck = true;
    for link in world.dials.clone().into_keys() {
        world.loses(link, Loss::Broke);
    }
    let session = world.ask("paid");
    assert_eq!((world.answered(session), world.shots(session)), (None, 0), "it waits");
    for at in 0..STREAMERS {
        world.news(entry(at, "terminating"));
    }
    assert_eq!(world.answered(session), Some(cause::REJECTED), "it provably never ran");
}

#[test]
fn what_stood_before_a_new_start_is_over_and_what_stands_since_is_not() {
    let mut world = World::new();
    let (session, link) = world.playing("free");
    let at: usize = world.address[&link][10..].parse::<usize>().expect("a port") - 9000;
    let told = |seconds: f64| {
        let mut again = entry(at, "in_service");
        again.started_ms = seconds * 1e3;
        again
    };
    world.pass(1.0);
    world.news(told(1000.0));
    assert_eq!(world.heard(session).len(), 1, "it was set up in the new process");
    world.news(told(1020.5));
    assert_eq!(world.heard(session).len(), 2);
}

#[test]
fn another_streamer_at_an_old_address_is_another() {
    let mut world = World::new();
    let (session, link) = world.playing("free");
    let at: usize = world.address[&link][10..].parse::<usize>().expect("a port") - 9000;
    let mut new = entry(at, "in_service");
    new.id = "new".into();
    world.learn(&ListUpdate { full: false, streamers: vec![entry(at, "terminated"), new] });
    world.loses(link, Loss::Broke);
    assert_eq!(world.heard(session).len(), 2, "the new one does not know it");
    assert_eq!(world.dispatcher.streamers(), STREAMERS);
}

#[test]
fn bad_set_ups_are_refused_and_never_shot() {
    let with = |change: fn(&mut SetUp)| {
        let mut set_up = wish("free");
        change(&mut set_up);
        set_up
    };
    let odd = [
        with(|s| s.class = "none".into()),
        with(|s| s.tenant = "nobody".into()),
        with(|s| s.title.clear()),
        with(|s| s.wait_ms = 0),
        with(|s| s.details = None),
        with(|s| s.details.as_mut().expect("some").first_cell = 99),
        with(|s| s.details.as_mut().expect("some").replicas = 0),
        with(|s| s.details.as_mut().expect("some").max_rung = 99),
    ];
    let mut world = World::new();
    for set_up in odd {
        let session = world.ask_on(VIEWERS, set_up.clone());
        assert_eq!((world.answered(session), world.shots(session)), (Some(cause::INVALID), 0), "{set_up:?}");
    }
    world.say(VIEWERS, 0, Body::SetUp(wish("free")));
    assert_eq!(world.answered(0), Some(cause::INVALID), "no id");
}

/// Under the number of an open one no answer could be told from the other's.
#[test]
fn two_set_ups_under_one_number_end_their_connection_and_not_anothers() {
    let mut world = World::new();
    let session = world.ask("free");
    world.dispatcher.viewer_up(world.now, 2);
    world.say(2, session, Body::SetUp(wish("free")));
    assert!(world.said.iter().any(|(conn, m)| *conn == 2 && m.session == session));
    world.say(VIEWERS, session, Body::SetUp(wish("free")));
    assert_eq!((world.parted.clone(), world.dispatcher.in_hand()), (vec![VIEWERS], 0));
}

/// One connection sent the same wish two hundred times, and the module counted each for its tenant.
#[test]
fn the_same_again_after_a_turn_back_ends_its_connection() {
    let mut world = World::new();
    for at in 0..STREAMERS {
        world.news(entry(at, "terminating"));
    }
    let session = world.ask("free");
    assert_eq!(world.answered(session), Some(cause::REJECTED));
    world.say(VIEWERS, session, Body::SetUp(wish("free")));
    assert_eq!(world.heard(session).len(), 2);
    assert!(matches!(world.heard(session)[1], Body::Release { cause: cause::INVALID, .. }));
    assert_eq!(world.parted, [VIEWERS]);
}

/// Hundreds of wishes at once on one connection looked like a crowd of their tenant.
#[test]
fn a_connection_with_too_many_open_gets_no_more_and_others_do() {
    let mut world = World::new();
    let asked: Vec<u64> = (0..200).map(|_| world.ask("free")).collect();
    let shot = asked.iter().filter(|session| world.shots(**session) > 0).count();
    assert!((1..100).contains(&shot), "{shot} of 200 were shot");
    assert!(asked.iter().all(|s| world.shots(*s) > 0 || world.answered(*s).is_some_and(World::is_refusal)));
    world.dispatcher.viewer_up(world.now, 2);
    let other = world.ask_on(2, wish("free"));
    assert_eq!(world.shots(other), 1);
}

#[test]
fn what_plays_at_the_start_is_taken_over_once_and_released_when_it_ends() {
    let mut world = World::new();
    let mut handed = wish("free");
    handed.details.as_mut().expect("some").playing_at = Some("s1".into());
    world.say(VIEWERS, 7, Body::SetUp(handed.clone()));
    world.say(VIEWERS, 7, Body::SetUp(handed.clone()));
    assert_eq!((world.dispatcher.in_hand(), world.heard(7).len()), (1, 0));
    world.pass(0.2);
    let link = *world.address.iter().find(|(_, a)| *a == "127.0.0.1:9001").expect("it is linked").0;
    world.tell_on(link, 7, Body::release(cause::NORMAL));
    assert_eq!((world.dispatcher.in_hand(), world.heard(7).len()), (0, 1));
    handed.details.as_mut().expect("some").playing_at = Some("nowhere".into());
    world.say(VIEWERS, 8, Body::SetUp(handed));
    assert_eq!(world.heard(8).len(), 1, "nobody will ever tell of it");
}

#[test]
fn many_set_ups_at_one_streamer_spread_over_connections_within_the_bound() {
    let mut world = World::new();
    for _ in 0..200 {
        world.ask("free");
        world.pass(0.01);
    }
    assert!(world.dispatcher.links() > STREAMERS && world.dispatcher.links() <= 256 / 3);
    world.pass(10.0);
    assert_eq!(world.dispatcher.in_hand(), 0, "every one has its answer");
}

/// New numbers, connections and streamers all day long: what is over leaves nothing behind.
#[test]
fn thousands_of_lives_leave_the_tables_empty() {
    let mut world = World::new();
    world.dispatcher.viewer_gone(world.now, VIEWERS, Departure::Closed);
    for life in 0..3000u64 {
        let conn = 1000 + life;
        world.dispatcher.viewer_up(world.now, conn);
        let session = world.ask_on(conn, wish(if life % 2 == 0 { "free" } else { "paid" }));
        if world.shot(session).is_some() {
            world.answer(session);
            world.ends(session, cause::NORMAL);
        }
        if life % 100 == 99 {
            let at = (life as usize / 100) % STREAMERS;
            let named = |state: &str, round: u64| {
                let mut entry = entry(at, state);
                if round >= STREAMERS as u64 {
                    entry.id = format!("s{at}-{round}");
                }
                entry
            };
            let round = life / 100;
            let (old, mut new) = (named("terminated", round), named("in_service", round + STREAMERS as u64));
            new.address = format!("127.0.0.1:{}", 20_000 + life);
            world.learn(&ListUpdate { full: false, streamers: vec![old, new] });
            world.pass(0.1);
        }
        world.dispatcher.viewer_gone(world.now, conn, Departure::Closed);
        world.perform();
    }
    for link in world.dials.clone().into_keys() {
        world.loses(link, Loss::Broke);
    }
    world.pass(1.0);
    assert_eq!((world.dispatcher.in_hand(), world.dispatcher.open(), world.dispatcher.spare()), (0, 0, None));
    assert_eq!(world.dispatcher.streamers(), STREAMERS);
    assert!(world.dispatcher.links() <= STREAMERS, "{} links", world.dispatcher.links());
}

#[test]
fn after_the_last_call_set_ups_are_turned_back_at_once() {
    let mut world = World::new();
    world.dispatcher.stop(world.now);
    let early = world.ask("free");
    assert_eq!(world.shots(early), 1);
    world.pass(0.7);
    let late = world.ask("paid");
    assert_eq!((world.answered(late), world.shots(late)), (Some(cause::REJECTED), 0));
}

#[derive(Clone, Debug)]
enum Step {
    Ask { paid: bool },
    Tell { pick: usize, cause: u8 },
    Answer { pick: usize },
    GiveUp { pick: usize },
    Lose { pick: usize, loss: Loss },
    State { at: usize, state: &'static str },
    Away { at: usize, away: bool },
    Pass { tenths: u32 },
}

fn step() -> impl Strategy<Value = Step> {
    let cause = prop_oneof![Just(16u8), Just(31), Just(34), Just(41), Just(47), Just(102), any::<u8>()];
    let loss = prop_oneof![Just(Loss::Refused), Just(Loss::Dark), Just(Loss::Broke)];
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

    /// One answer each, in time; a paid one is sent again only where no shot may have run; nothing is kept.
    #[test]
    fn one_answer_each_under_any_order(steps in proptest::collection::vec(step(), 1..80)) {
        let mut world = World::new();
        let mut asked: Vec<(u64, bool)> = Vec::new();
        // Shots that provably never ran.
        let mut settled: std::collections::HashMap<u64, usize> = Default::default();
        let mut given_up: Vec<u64> = Vec::new();
        for step in steps {
            let session = |pick: usize| (!asked.is_empty()).then(|| asked[pick % asked.len()].0);
            match step {
                Step::Ask { paid } => {
                    let session = world.ask(if paid { "paid" } else { "free" });
                    asked.push((session, paid));
                }
                Step::Tell { pick, cause } => if let Some(session) = session(pick).filter(|s| world.shot(*s).is_some()) {
                    let settles = [cause::FULL, cause::NOT_SENT].contains(&cause) && world.heard(session).is_empty();
                    let settled = settled.entry(session).or_default();
                    *settled += usize::from(settles && world.shots(session) > *settled);
                    world.ends(session, cause);
                },
                Step::Answer { pick } => if let Some(session) = session(pick).filter(|s| world.shot(*s).is_some()) {
                    world.answer(session);
                },
                Step::GiveUp { pick } => if let Some(session) = session(pick).filter(|s| world.heard(*s).is_empty()) {
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
                    let address = entry(at, "").address;
                    if away {
                        world.away.insert(address, Loss::Dark);
                    } else {
                        world.away.remove(&address);
                    }
                }
                Step::Pass { tenths } => world.pass(f64::from(tenths) / 10.0),
            }
        }
        world.pass(3.0);
        prop_assert_eq!(world.dispatcher.open(), 0, "every wish has its answer by its cut-off");
        for (session, paid) in asked {
            let heard = world.heard(session);
            if given_up.contains(&session) {
                prop_assert!(heard.is_empty());
                continue;
            }
            let plays = matches!(heard.first(), Some(Body::Answer { .. }));
            prop_assert!(heard.len() == 1 || plays && heard.len() == 2, "{:?}", heard);
            if paid {
                let settled = settled.get(&session).copied().unwrap_or(0);
                prop_assert!(world.shots(session) <= settled + 1, "sent again though it may have run");
                let refused = matches!(heard[0], Body::Release { cause, .. } if World::is_refusal(*cause));
                prop_assert!(!refused || world.shots(session) == settled, "refused though it may have run");
            }
        }
    }
}

/// The usual settings with some places replaced.
fn with(places: &[(&str, Json)]) -> World {
    let mut settings = settings();
    for (place, value) in places {
        *settings.pointer_mut(place).expect("it is there") = value.clone();
    }
    World::of(settings)
}

/// No turn-back is held: it is said in the moment of the decision, with when to come again where that is allowed.
#[test]
fn a_turn_back_is_said_at_once_with_when_to_come_again() {
    for allowed in [true, false] {
        let seats = ("/family_info/class_seats", json!([1, 0]));
        let mut world = with(&[seats, ("/policy_limits/retry_after", json!(allowed))]);
        let stay_away = |world: &World, session| match world.heard(session)[..] {
            [Body::Release { cause: cause::REJECTED, retry_after_ms, .. }] => *retry_after_ms,
            ref other => panic!("one turn-back at once, not {other:?}"),
        };
        let due = allowed.then_some(500);
        world.playing("free");
        let no_seat = world.ask("free");
        assert_eq!((stay_away(&world, no_seat), world.shots(no_seat)), (due, 0));
        let tries = world.ask_on(VIEWERS, SetUp { title: "other".into(), ..wish("free") });
        (0..2).for_each(|_| world.ends(tries, cause::FULL));
        assert_eq!(world.answered(tries), None, "it may have one more");
        world.ends(tries, cause::FULL);
        assert_eq!(stay_away(&world, tries), due, "with the last shot");
        world.dispatcher.stop(world.now);
        world.pass(0.7);
        let late = world.ask("paid");
        assert_eq!(stay_away(&world, late), due, "what the dispatcher turns back by itself");
    }
}

/// What a moved deployment may bring: live titles whose viewers share a stream, and a list on request, which the
/// journal service tells all the same.
#[test]
fn viewers_of_a_live_title_go_to_one_streamer_and_a_list_on_request_is_followed() {
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
    assert_eq!((world.dispatcher.in_hand(), world.said.len()), (21, 21), "nobody is told anything");
}

/// Where looks are allowed a wish waited three quarters of a second for looks that the platform has no message for.
#[test]
fn a_wish_does_not_wait_for_looks() {
    let mut world = with(&[("/policy_limits/may_probe", json!(true))]);
    let session = world.ask("free");
    assert_eq!(world.shots(session), 1, "at once");
}
