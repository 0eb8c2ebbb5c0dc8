//! The dispatcher's hard cases, one by one, in virtual time, and its promises under any order of events.

mod common;

use bytes::Bytes;
use common::{list_entry, set_up_of, settings, Harness, STREAMERS, VIEWERS};
use lemontide_platform::codec::{cause, Body, SetUp};
use lemontide_platform::config::ListUpdate;
use lemontide_platform::dispatcher::Loss;
use lemontide_platform::replies::Departure;
use proptest::prelude::*;
use serde_json::{json, Value as Json};

#[test]
fn a_wish_plays_and_ends_and_leaves_nothing() {
    let mut harness = Harness::new();
    let session = harness.request("paid");
    let (_, sent) = harness.last_attempt(session).expect("it was sent");
    assert_eq!((&sent.class[..], &sent.title[..], &sent.description[..]), ("paid", "t", &b"asked"[..]));
    assert!(
        sent.rung.is_some() && sent.tenant.is_empty() && sent.details.is_none(),
        "no more than the form has"
    );
    harness.streamer_answers(session);
    assert_eq!(harness.final_answer(session), Some(0));
    harness.streamer_releases(session, cause::NORMAL);
    assert!(matches!(
        harness.messages_to_viewer(session)[..],
        [_, Body::Release { cause: cause::NORMAL, .. }]
    ));
    assert_eq!(harness.dispatcher.in_hand(), 0);
}

/// A set-up may be shot again, or refused, only where no shot of a paid lane may have run.
#[test]
fn how_a_shot_ends_decides_what_may_follow() {
    let never_ran = [cause::FULL, cause::NOT_SENT];
    for why in [cause::FULL, cause::NOT_SENT, cause::ERROR, cause::FAILED, cause::NORMAL, 99] {
        let mut harness = Harness::new();
        let (paid, free) = (harness.request("paid"), harness.request("free"));
        harness.streamer_releases(paid, why);
        harness.streamer_releases(free, why);
        assert_eq!(harness.attempt_count(paid) > 1, never_ran.contains(&why), "cause {why}");
        assert_eq!(
            harness.final_answer(paid),
            (!never_ran.contains(&why)).then_some(cause::FAILED),
            "cause {why}"
        );
        assert!(harness.attempt_count(free) > 1, "cause {why}");
    }
}

#[test]
fn no_answer_in_time_gives_the_shot_up_and_the_answer_is_still_in_time() {
    let mut harness = Harness::new();
    let (paid, free) = (harness.request("paid"), harness.request("free"));
    harness.advance(1.0);
    assert!(
        harness.attempt_count(free) > 1 && harness.release_count(free) >= 1,
        "given up first, then sent again"
    );
    harness.advance(1.97);
    assert_eq!(harness.final_answer(paid), Some(cause::FAILED));
    assert_eq!((harness.attempt_count(paid), harness.release_count(paid)), (1, 1));
    assert!(harness.final_answer(free).is_some_and(Harness::is_rejection));
    let (said, shots) = (harness.sent_to_viewers.len(), harness.attempt_count(paid));
    harness.streamer_answers(paid);
    assert_eq!(
        (harness.sent_to_viewers.len(), harness.attempt_count(paid)),
        (said, shots),
        "too late changes nothing"
    );
}

#[test]
fn a_second_copy_or_an_unknown_number_changes_nothing() {
    let mut harness = Harness::new();
    let (session, link) = harness.start_session("free");
    harness.streamer_answers(session);
    let stray = Body::Answer { description: Bytes::from_static(b"x"), load: Default::default() };
    harness.streamer_sends_on(link, 4242, stray);
    assert_eq!(harness.final_answer(session), Some(0));
    assert_eq!(harness.release_count(session), 0, "it goes on playing");
    assert!(harness.messages_to_viewer(4242).is_empty());
}

#[test]
fn a_viewer_that_stops_waiting_is_owed_nothing_and_its_shot_is_given_up() {
    let mut harness = Harness::new();
    let session = harness.request("free");
    harness.viewer_sends(VIEWERS, session, Body::release(cause::NORMAL));
    assert_eq!((harness.release_count(session), harness.dispatcher.in_hand()), (1, 0));
    harness.streamer_answers(session);
    assert!(harness.messages_to_viewer(session).is_empty());
    let gone = harness.request("paid");
    harness.dispatcher.viewer_gone(harness.now, VIEWERS, Departure::Closed);
    harness.perform_effects();
    assert_eq!((harness.release_count(gone), harness.dispatcher.in_hand()), (1, 0));
}

/// What stands belongs to no connection, of neither side.
#[test]
fn a_standing_subscription_outlives_its_connections() {
    let mut harness = Harness::new();
    let (session, link) = harness.start_session("paid");
    harness.lose_connection(link, Loss::Broke);
    harness.dispatcher.viewer_gone(harness.now, VIEWERS, Departure::Closed);
    harness.advance(3.0);
    assert_eq!(harness.dispatcher.in_hand(), 1);
    harness.dispatcher.viewer_up(harness.now, 2);
    let other = harness.request_on(2, set_up_of("free"));
    harness.streamer_answers(other);
    let at = harness.addresses[&link].clone();
    let again = *harness.last_dials.keys().rev().find(|l| harness.addresses[l] == at).expect("dialled again");
    harness.streamer_sends_on(again, session, Body::release(cause::NORMAL));
    assert!(
        harness.sent_to_viewers.iter().any(|(conn, m)| *conn == 2 && m.session == session),
        "on any connection"
    );
    harness.viewer_sends(2, other, Body::release(cause::NORMAL));
    assert_eq!((harness.release_count(other), harness.dispatcher.in_hand()), (1, 0), "ended by its viewer");
}

/// Hundreds of controllers by hundreds of streamers: a connection is there for what needs it and for nobody else.
#[test]
fn a_connection_is_dialled_when_needed_kept_while_something_stands_and_closed_when_idle() {
    let mut harness = Harness::new();
    assert!(harness.last_dials.is_empty(), "a list alone dials nobody");
    let (session, link) = harness.start_session("free");
    assert_eq!(harness.last_dials.len(), 1);
    harness.advance(40.0);
    assert!(harness.closed_links.is_empty(), "a release is still to come on it");
    harness.streamer_releases(session, cause::NORMAL);
    harness.advance(11.0);
    assert!(harness.closed_links.is_empty(), "the next set-up may use it");
    harness.advance(2.0);
    assert_eq!(harness.closed_links, [link], "closed by this end before the streamer's 15 s are over");
    harness.advance(30.0);
    assert_eq!(harness.last_dials.values().sum::<u64>(), 1, "and not dialled again");
    let next = harness.request("paid");
    assert_eq!(harness.attempt_count(next), 1, "but for a set-up");
}

/// A streamer or a zone that comes back is dialled by those who have something there, not by the whole fleet.
#[test]
fn a_lost_connection_is_dialled_again_only_for_what_stands() {
    for stands in [true, false] {
        let mut harness = Harness::new();
        let (session, link) = harness.start_session("free");
        if !stands {
            harness.streamer_releases(session, cause::NORMAL);
            harness.advance(0.2);
        }
        harness.lose_connection(link, Loss::Broke);
        harness.advance(1.0);
        assert_eq!(harness.last_dials[&link], if stands { 2 } else { 1 });
    }
}

/// Guards against streams that nobody watches: the viewer ended it while its streamer's connection was down.
#[test]
fn a_release_dials_for_itself() {
    let mut harness = Harness::new();
    let (session, link) = harness.start_session("free");
    harness.unreachable.insert(harness.addresses[&link].clone(), Loss::Dark);
    harness.lose_connection(link, Loss::Broke);
    harness.advance(0.15);
    harness.unreachable.clear();
    harness.viewer_sends(VIEWERS, session, Body::release(cause::NORMAL));
    assert_eq!((harness.release_count(session), harness.dispatcher.in_hand()), (1, 0));
}

#[test]
fn a_release_that_no_connection_takes_waits_for_one() {
    let mut harness = Harness::new();
    let (session, link) = harness.start_session("free");
    harness.dispatcher.viewer_gone(harness.now, VIEWERS, Departure::Closed);
    harness.streamer_sends_on(link, session, Body::release(cause::FAILED));
    assert_eq!(harness.messages_to_viewer(session).len(), 1);
    harness.advance(1.0);
    harness.dispatcher.viewer_up(harness.now, 2);
    let next = harness.request_on(2, set_up_of("free"));
    harness.streamer_answers(next);
    assert_eq!(harness.messages_to_viewer(session).len(), 2);
}

/// The process is gone where nobody listens any more; a broken connection alone proves nothing.
#[test]
fn what_stood_is_released_when_nobody_listens_or_nobody_is_reached() {
    for (loss, within) in [(Loss::Refused, 0.5), (Loss::Dark, 3.0)] {
        let mut harness = Harness::new();
        let (session, link) = harness.start_session("free");
        harness.unreachable.insert(harness.addresses[&link].clone(), loss);
        for link in harness
            .last_dials
            .clone()
            .into_keys()
            .filter(|l| harness.addresses[l] == harness.addresses[&link])
            .collect::<Vec<_>>()
        {
            harness.lose_connection(link, Loss::Broke);
        }
        harness.advance(within);
        assert!(
            matches!(
                harness.messages_to_viewer(session)[..],
                [_, Body::Release { cause: cause::FAILED, .. }]
            ),
            "{loss:?}"
        );
    }
}

/// A machine that vanishes says nothing at all: its connections stay open.
#[test]
fn a_silent_streamer_is_found_by_a_test_within_the_platforms_time() {
    let mut harness = Harness::new();
    let (session, link) = harness.start_session("free");
    harness.unreachable.insert(harness.addresses[&link].clone(), Loss::Dark);
    harness.advance(7.5);
    assert!(matches!(
        harness.messages_to_viewer(session)[..],
        [_, Body::Release { cause: cause::FAILED, .. }]
    ));
}

#[test]
fn a_connection_that_answers_no_test_after_a_lost_answer_is_closed() {
    let mut harness = Harness::new();
    let session = harness.request("free");
    let (link, _) = harness.last_attempt(session).expect("it was sent");
    harness.unreachable.insert(harness.addresses[&link].clone(), Loss::Dark);
    harness.advance(0.5 + 0.5);
    assert!(harness.closed_links.contains(&link));
}

#[test]
fn a_streamer_that_drains_or_goes_gets_nothing_new_and_is_forgotten() {
    let mut harness = Harness::new();
    let (session, link) = harness.start_session("free");
    let at: usize = harness.addresses[&link][10..].parse::<usize>().expect("a port") - 9000;
    harness.update_entry(list_entry(at, "terminating"));
    for _ in 0..20 {
        let other = harness.request("free");
        harness.streamer_answers(other);
        assert_ne!(
            harness.last_attempt(other).map(|(link, _)| harness.addresses[&link].clone()),
            Some(harness.addresses[&link].clone())
        );
    }
    harness.update_entry(list_entry(at, "terminated"));
    assert_eq!(harness.messages_to_viewer(session).len(), 1, "it may still play");
    harness.lose_connection(link, Loss::Broke);
    assert_eq!(harness.messages_to_viewer(session).len(), 2, "nobody will tell any more");
    assert_eq!(harness.dispatcher.streamers(), STREAMERS - 1);
    assert!(harness.dispatcher.links() < STREAMERS, "none of them is its own");
}

#[test]
fn a_set_up_that_waits_for_a_connection_is_taken_back_when_its_streamer_drains() {
    let mut harness = Harness::new();
    harness.dials_stall = true;
    for link in harness.last_dials.clone().into_keys() {
        harness.lose_connection(link, Loss::Broke);
    }
    let session = harness.request("paid");
    assert_eq!((harness.final_answer(session), harness.attempt_count(session)), (None, 0), "it waits");
    for at in 0..STREAMERS {
        harness.update_entry(list_entry(at, "terminating"));
    }
    assert_eq!(harness.final_answer(session), Some(cause::REJECTED), "it provably never ran");
}

#[test]
fn what_stood_before_a_new_start_is_over_and_what_stands_since_is_not() {
    let mut harness = Harness::new();
    let (session, link) = harness.start_session("free");
    let at: usize = harness.addresses[&link][10..].parse::<usize>().expect("a port") - 9000;
    let told = |seconds: f64| {
        let mut again = list_entry(at, "in_service");
        again.started_ms = seconds * 1e3;
        again
    };
    harness.advance(1.0);
    harness.update_entry(told(1000.0));
    assert_eq!(harness.messages_to_viewer(session).len(), 1, "it was set up in the new process");
    harness.update_entry(told(1020.5));
    assert_eq!(harness.messages_to_viewer(session).len(), 2);
}

#[test]
fn another_streamer_at_an_old_address_is_another() {
    let mut harness = Harness::new();
    let (session, link) = harness.start_session("free");
    let at: usize = harness.addresses[&link][10..].parse::<usize>().expect("a port") - 9000;
    let mut new = list_entry(at, "in_service");
    new.id = "new".into();
    harness
        .apply_list_update(&ListUpdate { full: false, streamers: vec![list_entry(at, "terminated"), new] });
    harness.lose_connection(link, Loss::Broke);
    assert_eq!(harness.messages_to_viewer(session).len(), 2, "the new one does not know it");
    assert_eq!(harness.dispatcher.streamers(), STREAMERS);
}

#[test]
fn bad_set_ups_are_refused_and_never_shot() {
    let with = |change: fn(&mut SetUp)| {
        let mut set_up = set_up_of("free");
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
    let mut harness = Harness::new();
    for set_up in odd {
        let session = harness.request_on(VIEWERS, set_up.clone());
        assert_eq!(
            (harness.final_answer(session), harness.attempt_count(session)),
            (Some(cause::INVALID), 0),
            "{set_up:?}"
        );
    }
    harness.viewer_sends(VIEWERS, 0, Body::SetUp(set_up_of("free")));
    assert_eq!(harness.final_answer(0), Some(cause::INVALID), "no id");
}

/// Under the number of an open one no answer could be told from the other's.
#[test]
fn two_set_ups_under_one_number_end_their_connection_and_not_anothers() {
    let mut harness = Harness::new();
    let session = harness.request("free");
    harness.dispatcher.viewer_up(harness.now, 2);
    harness.viewer_sends(2, session, Body::SetUp(set_up_of("free")));
    assert!(harness.sent_to_viewers.iter().any(|(conn, m)| *conn == 2 && m.session == session));
    harness.viewer_sends(VIEWERS, session, Body::SetUp(set_up_of("free")));
    assert_eq!((harness.drained.clone(), harness.dispatcher.in_hand()), (vec![VIEWERS], 0));
}

/// One connection sent the same wish two hundred times, and the module counted each for its tenant.
#[test]
fn the_same_again_after_a_turn_back_ends_its_connection() {
    let mut harness = Harness::new();
    for at in 0..STREAMERS {
        harness.update_entry(list_entry(at, "terminating"));
    }
    let session = harness.request("free");
    assert_eq!(harness.final_answer(session), Some(cause::REJECTED));
    harness.viewer_sends(VIEWERS, session, Body::SetUp(set_up_of("free")));
    assert_eq!(harness.messages_to_viewer(session).len(), 2);
    assert!(matches!(harness.messages_to_viewer(session)[1], Body::Release { cause: cause::INVALID, .. }));
    assert_eq!(harness.drained, [VIEWERS]);
}

/// Hundreds of wishes at once on one connection looked like a crowd of their tenant.
#[test]
fn a_connection_with_too_many_open_gets_no_more_and_others_do() {
    let mut harness = Harness::new();
    let asked: Vec<u64> = (0..200).map(|_| harness.request("free")).collect();
    let shot = asked.iter().filter(|session| harness.attempt_count(**session) > 0).count();
    assert!((1..100).contains(&shot), "{shot} of 200 were shot");
    assert!(asked.iter().all(
        |s| harness.attempt_count(*s) > 0 || harness.final_answer(*s).is_some_and(Harness::is_rejection)
    ));
    harness.dispatcher.viewer_up(harness.now, 2);
    let other = harness.request_on(2, set_up_of("free"));
    assert_eq!(harness.attempt_count(other), 1);
}

#[test]
fn what_plays_at_the_start_is_taken_over_once_and_released_when_it_ends() {
    let mut harness = Harness::new();
    let mut handed = set_up_of("free");
    handed.details.as_mut().expect("some").playing_at = Some("s1".into());
    harness.viewer_sends(VIEWERS, 7, Body::SetUp(handed.clone()));
    harness.viewer_sends(VIEWERS, 7, Body::SetUp(handed.clone()));
    assert_eq!((harness.dispatcher.in_hand(), harness.messages_to_viewer(7).len()), (1, 0));
    harness.advance(0.2);
    let link = *harness.addresses.iter().find(|(_, a)| *a == "127.0.0.1:9001").expect("it is linked").0;
    harness.streamer_sends_on(link, 7, Body::release(cause::NORMAL));
    assert_eq!((harness.dispatcher.in_hand(), harness.messages_to_viewer(7).len()), (0, 1));
    handed.details.as_mut().expect("some").playing_at = Some("nowhere".into());
    harness.viewer_sends(VIEWERS, 8, Body::SetUp(handed));
    assert_eq!(harness.messages_to_viewer(8).len(), 1, "nobody will ever tell of it");
}

#[test]
fn many_set_ups_at_one_streamer_spread_over_connections_within_the_bound() {
    let mut harness = Harness::new();
    for _ in 0..200 {
        harness.request("free");
        harness.advance(0.01);
    }
    assert!(harness.dispatcher.links() > STREAMERS && harness.dispatcher.links() <= 256 / 3);
    harness.advance(10.0);
    assert_eq!(harness.dispatcher.in_hand(), 0, "every one has its answer");
}

/// New numbers, connections and streamers all day long: what is over leaves nothing behind.
#[test]
fn thousands_of_lives_leave_the_tables_empty() {
    let mut harness = Harness::new();
    harness.dispatcher.viewer_gone(harness.now, VIEWERS, Departure::Closed);
    for life in 0..3000u64 {
        let conn = 1000 + life;
        harness.dispatcher.viewer_up(harness.now, conn);
        let session = harness.request_on(conn, set_up_of(if life % 2 == 0 { "free" } else { "paid" }));
        if harness.last_attempt(session).is_some() {
            harness.streamer_answers(session);
            harness.streamer_releases(session, cause::NORMAL);
        }
        if life % 100 == 99 {
            let at = (life as usize / 100) % STREAMERS;
            let named = |state: &str, round: u64| {
                let mut entry = list_entry(at, state);
                if round >= STREAMERS as u64 {
                    entry.id = format!("s{at}-{round}");
                }
                entry
            };
            let round = life / 100;
            let (old, mut new) = (named("terminated", round), named("in_service", round + STREAMERS as u64));
            new.address = format!("127.0.0.1:{}", 20_000 + life);
            harness.apply_list_update(&ListUpdate { full: false, streamers: vec![old, new] });
            harness.advance(0.1);
        }
        harness.dispatcher.viewer_gone(harness.now, conn, Departure::Closed);
        harness.perform_effects();
    }
    for link in harness.last_dials.clone().into_keys() {
        harness.lose_connection(link, Loss::Broke);
    }
    harness.advance(1.0);
    assert_eq!(
        (harness.dispatcher.in_hand(), harness.dispatcher.open(), harness.dispatcher.spare()),
        (0, 0, None)
    );
    assert_eq!(harness.dispatcher.streamers(), STREAMERS);
    assert!(harness.dispatcher.links() <= STREAMERS, "{} links", harness.dispatcher.links());
}

#[test]
fn after_the_last_call_set_ups_are_turned_back_at_once() {
    let mut harness = Harness::new();
    harness.dispatcher.stop(harness.now);
    let early = harness.request("free");
    assert_eq!(harness.attempt_count(early), 1);
    harness.advance(0.7);
    let late = harness.request("paid");
    assert_eq!((harness.final_answer(late), harness.attempt_count(late)), (Some(cause::REJECTED), 0));
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
        let mut harness = Harness::new();
        let mut asked: Vec<(u64, bool)> = Vec::new();
        // Shots that provably never ran.
        let mut settled: std::collections::HashMap<u64, usize> = Default::default();
        let mut given_up: Vec<u64> = Vec::new();
        for step in steps {
            let session = |pick: usize| (!asked.is_empty()).then(|| asked[pick % asked.len()].0);
            match step {
                Step::Ask { paid } => {
                    let session = harness.request(if paid { "paid" } else { "free" });
                    asked.push((session, paid));
                }
                Step::Tell { pick, cause } => if let Some(session) = session(pick).filter(|s| harness.last_attempt(*s).is_some()) {
                    let settles = [cause::FULL, cause::NOT_SENT].contains(&cause) && harness.messages_to_viewer(session).is_empty();
                    let settled = settled.entry(session).or_default();
                    *settled += usize::from(settles && harness.attempt_count(session) > *settled);
                    harness.streamer_releases(session, cause);
                },
                Step::Answer { pick } => if let Some(session) = session(pick).filter(|s| harness.last_attempt(*s).is_some()) {
                    harness.streamer_answers(session);
                },
                Step::GiveUp { pick } => if let Some(session) = session(pick).filter(|s| harness.messages_to_viewer(*s).is_empty()) {
                    given_up.push(session);
                    harness.viewer_sends(VIEWERS, session, Body::release(cause::NORMAL));
                },
                Step::Lose { pick, loss } => {
                    let links: Vec<u64> = harness.last_dials.keys().copied().collect();
                    if let Some(link) = links.get(pick % links.len().max(1)) {
                        harness.lose_connection(*link, loss);
                    }
                }
                Step::State { at, state } => harness.update_entry(list_entry(at, state)),
                Step::Away { at, away } => {
                    let address = list_entry(at, "").address;
                    if away {
                        harness.unreachable.insert(address, Loss::Dark);
                    } else {
                        harness.unreachable.remove(&address);
                    }
                }
                Step::Pass { tenths } => harness.advance(f64::from(tenths) / 10.0),
            }
        }
        harness.advance(3.0);
        prop_assert_eq!(harness.dispatcher.open(), 0, "every wish has its answer by its cut-off");
        for (session, paid) in asked {
            let heard = harness.messages_to_viewer(session);
            if given_up.contains(&session) {
                prop_assert!(heard.is_empty());
                continue;
            }
            let plays = matches!(heard.first(), Some(Body::Answer { .. }));
            prop_assert!(heard.len() == 1 || plays && heard.len() == 2, "{:?}", heard);
            if paid {
                let settled = settled.get(&session).copied().unwrap_or(0);
                prop_assert!(harness.attempt_count(session) <= settled + 1, "sent again though it may have run");
                let refused = matches!(heard[0], Body::Release { cause, .. } if Harness::is_rejection(*cause));
                prop_assert!(!refused || harness.attempt_count(session) == settled, "refused though it may have run");
            }
        }
    }
}

/// The usual settings with some places replaced.
fn with(places: &[(&str, Json)]) -> Harness {
    let mut settings = settings();
    for (place, value) in places {
        *settings.pointer_mut(place).expect("it is there") = value.clone();
    }
    Harness::with_settings(settings)
}

/// No turn-back is held: it is said in the moment of the decision, with when to come again where that is allowed.
#[test]
fn a_turn_back_is_said_at_once_with_when_to_come_again() {
    for allowed in [true, false] {
        let seats = ("/family_info/class_seats", json!([1, 0]));
        let mut harness = with(&[seats, ("/policy_limits/retry_after", json!(allowed))]);
        let stay_away = |harness: &Harness, session| match harness.messages_to_viewer(session)[..] {
            [Body::Release { cause: cause::REJECTED, retry_after_ms, .. }] => *retry_after_ms,
            ref other => panic!("one turn-back at once, not {other:?}"),
        };
        let due = allowed.then_some(500);
        harness.start_session("free");
        let no_seat = harness.request("free");
        assert_eq!((stay_away(&harness, no_seat), harness.attempt_count(no_seat)), (due, 0));
        let tries = harness.request_on(VIEWERS, SetUp { title: "other".into(), ..set_up_of("free") });
        (0..2).for_each(|_| harness.streamer_releases(tries, cause::FULL));
        assert_eq!(harness.final_answer(tries), None, "it may have one more");
        harness.streamer_releases(tries, cause::FULL);
        assert_eq!(stay_away(&harness, tries), due, "with the last shot");
        harness.dispatcher.stop(harness.now);
        harness.advance(0.7);
        let late = harness.request("paid");
        assert_eq!(stay_away(&harness, late), due, "what the dispatcher turns back by itself");
    }
}

/// What a moved deployment may bring: live titles whose viewers share a stream, and a list on request, which the
/// journal service tells all the same.
#[test]
fn viewers_of_a_live_title_go_to_one_streamer_and_a_list_on_request_is_followed() {
    let mut harness = with(&[
        ("/family_info/live", json!([true, false])),
        ("/family_info/join", json!(0.1)),
        ("/family_info/kb_per_weight", json!(3000)),
        ("/membership_mode", json!("on_request")),
        ("/rules/ask_within", json!(10)),
    ]);
    let first = harness.start_session("free").1;
    for _ in 0..20 {
        let (_, link) = harness.start_session("free");
        assert_eq!(harness.addresses[&link], harness.addresses[&first]);
    }
    harness.advance(30.0);
    harness.update_entry(list_entry(0, "terminating"));
    assert_eq!(
        (harness.dispatcher.in_hand(), harness.sent_to_viewers.len()),
        (21, 21),
        "nobody is told anything"
    );
}

/// Where looks are allowed a wish waited three quarters of a second for looks that the platform has no message for.
#[test]
fn a_wish_does_not_wait_for_looks() {
    let mut harness = with(&[("/policy_limits/may_probe", json!(true))]);
    let session = harness.request("free");
    assert_eq!(harness.attempt_count(session), 1, "at once");
}
