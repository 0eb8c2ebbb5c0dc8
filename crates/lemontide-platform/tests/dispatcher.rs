//! Difficult cases of the dispatcher one by one in virtual time, and its guarantees under any order of events.

mod common;

use bytes::Bytes;
use common::{list_entry, set_up_of, settings, Harness, STREAMERS, VIEWERS};
use lemontide_platform::codec::{cause, Body, SetUp};
use lemontide_platform::config::ListUpdate;
use lemontide_platform::dispatcher::ConnectionLoss;
use lemontide_platform::replies::Departure;
use proptest::prelude::*;
use serde_json::{json, Value as Json};

#[test]
fn a_request_plays_and_ends_and_leaves_no_state() {
    let mut harness = Harness::new();
    let session = harness.request("paid");
    let (_, sent) = harness.last_attempt(session).expect("it was sent");
    assert_eq!((&sent.class[..], &sent.title[..], &sent.description[..]), ("paid", "t", &b"asked"[..]));
    assert!(
        sent.rung.is_some() && sent.tenant.is_empty() && sent.details.is_none(),
        "only the fields of a set-up to a streamer"
    );
    harness.streamer_answers(session);
    assert_eq!(harness.final_answer(session), Some(0));
    harness.streamer_releases(session, cause::NORMAL);
    assert!(matches!(
        harness.messages_to_viewer(session)[..],
        [_, Body::Release { cause: cause::NORMAL, .. }]
    ));
    assert_eq!(harness.dispatcher.tracked_count(), 0);
}

/// A set-up may be sent again, or rejected, only if no attempt of an at-most-once class may have run.
#[test]
fn the_outcome_of_an_attempt_decides_what_may_follow() {
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
fn an_unanswered_attempt_is_given_up_and_its_request_is_answered_in_time() {
    let mut harness = Harness::new();
    let (paid, free) = (harness.request("paid"), harness.request("free"));
    harness.advance(1.0);
    assert!(
        harness.attempt_count(free) > 1 && harness.release_count(free) >= 1,
        "released first, then sent again"
    );
    harness.advance(1.97);
    assert_eq!(harness.final_answer(paid), Some(cause::FAILED));
    assert_eq!((harness.attempt_count(paid), harness.release_count(paid)), (1, 1));
    assert!(harness.final_answer(free).is_some_and(Harness::is_rejection));
    let (sent, attempts) = (harness.sent_to_viewers.len(), harness.attempt_count(paid));
    harness.streamer_answers(paid);
    assert_eq!(
        (harness.sent_to_viewers.len(), harness.attempt_count(paid)),
        (sent, attempts),
        "a late answer changes nothing"
    );
}

#[test]
fn a_repeated_answer_or_an_unknown_session_changes_nothing() {
    let mut harness = Harness::new();
    let (session, link) = harness.start_session("free");
    harness.streamer_answers(session);
    let stray = Body::Answer { description: Bytes::from_static(b"x"), load: Default::default() };
    harness.streamer_sends_on(link, 4242, stray);
    assert_eq!(harness.final_answer(session), Some(0));
    assert_eq!(harness.release_count(session), 0, "it plays on");
    assert!(harness.messages_to_viewer(4242).is_empty());
}

#[test]
fn a_viewer_that_stops_waiting_is_owed_nothing_and_its_attempt_is_given_up() {
    let mut harness = Harness::new();
    let session = harness.request("free");
    harness.viewer_sends(VIEWERS, session, Body::release(cause::NORMAL));
    assert_eq!((harness.release_count(session), harness.dispatcher.tracked_count()), (1, 0));
    harness.streamer_answers(session);
    assert!(harness.messages_to_viewer(session).is_empty());
    let gone = harness.request("paid");
    harness.dispatcher.on_viewer_gone(harness.now, VIEWERS, Departure::Closed);
    harness.perform_effects();
    assert_eq!((harness.release_count(gone), harness.dispatcher.tracked_count()), (1, 0));
}

/// An established session belongs to no connection, neither of its viewer nor of its streamer.
#[test]
fn an_established_session_outlives_its_connections() {
    let mut harness = Harness::new();
    let (session, link) = harness.start_session("paid");
    harness.lose_connection(link, ConnectionLoss::Disconnected);
    harness.dispatcher.on_viewer_gone(harness.now, VIEWERS, Departure::Closed);
    harness.advance(3.0);
    assert_eq!(harness.dispatcher.tracked_count(), 1);
    harness.dispatcher.on_viewer_connected(harness.now, 2);
    let other = harness.request_on(2, set_up_of("free"));
    harness.streamer_answers(other);
    let at = harness.addresses[&link].clone();
    let again =
        *harness.last_dials.keys().rev().find(|link| harness.addresses[link] == at).expect("dialled again");
    harness.streamer_sends_on(again, session, Body::release(cause::NORMAL));
    assert!(
        harness.sent_to_viewers.iter().any(|(conn, m)| *conn == 2 && m.session == session),
        "released on another viewer connection"
    );
    harness.viewer_sends(2, other, Body::release(cause::NORMAL));
    assert_eq!(
        (harness.release_count(other), harness.dispatcher.tracked_count()),
        (1, 0),
        "ended by its viewer"
    );
}

/// Guards against hundreds of controllers that keep connections to hundreds of streamers: a connection exists only
/// while something needs it.
#[test]
fn a_connection_is_dialled_when_needed_kept_while_a_session_plays_and_closed_when_idle() {
    let mut harness = Harness::new();
    assert!(harness.last_dials.is_empty(), "the list alone causes no dial");
    let (session, link) = harness.start_session("free");
    assert_eq!(harness.last_dials.len(), 1);
    harness.advance(40.0);
    assert!(harness.closed_links.is_empty(), "a release is still expected on it");
    harness.streamer_releases(session, cause::NORMAL);
    harness.advance(11.0);
    assert!(harness.closed_links.is_empty(), "it is kept for the next set-up");
    harness.advance(2.0);
    assert_eq!(harness.closed_links, [link], "closed by this end before the streamer's 15 s are over");
    harness.advance(30.0);
    assert_eq!(harness.last_dials.values().sum::<u64>(), 1, "and not dialled again");
    let next = harness.request("paid");
    assert_eq!(harness.attempt_count(next), 1, "except for a set-up");
}

/// A streamer or a zone that comes up again is dialled by the controllers that have sessions there, not by all.
#[test]
fn a_lost_connection_is_dialled_again_only_for_an_established_session() {
    for is_playing in [true, false] {
        let mut harness = Harness::new();
        let (session, link) = harness.start_session("free");
        if !is_playing {
            harness.streamer_releases(session, cause::NORMAL);
            harness.advance(0.2);
        }
        harness.lose_connection(link, ConnectionLoss::Disconnected);
        harness.advance(1.0);
        assert_eq!(harness.last_dials[&link], if is_playing { 2 } else { 1 });
    }
}

/// The viewer ends its session while the connection to the streamer is down. Guards against streams that nobody
/// watches.
#[test]
fn a_release_causes_a_dial() {
    let mut harness = Harness::new();
    let (session, link) = harness.start_session("free");
    harness.unreachable.insert(harness.addresses[&link].clone(), ConnectionLoss::DialFailed);
    harness.lose_connection(link, ConnectionLoss::Disconnected);
    harness.advance(0.15);
    harness.unreachable.clear();
    harness.viewer_sends(VIEWERS, session, Body::release(cause::NORMAL));
    assert_eq!((harness.release_count(session), harness.dispatcher.tracked_count()), (1, 0));
}

#[test]
fn a_release_to_a_viewer_waits_for_a_connection() {
    let mut harness = Harness::new();
    let (session, link) = harness.start_session("free");
    harness.dispatcher.on_viewer_gone(harness.now, VIEWERS, Departure::Closed);
    harness.streamer_sends_on(link, session, Body::release(cause::FAILED));
    assert_eq!(harness.messages_to_viewer(session).len(), 1);
    harness.advance(1.0);
    harness.dispatcher.on_viewer_connected(harness.now, 2);
    let next = harness.request_on(2, set_up_of("free"));
    harness.streamer_answers(next);
    assert_eq!(harness.messages_to_viewer(session).len(), 2);
}

/// A refused dial proves that the process is gone; a lost connection alone proves nothing.
#[test]
fn a_session_is_released_when_dials_are_refused_or_fail_for_too_long() {
    for (loss, within) in [(ConnectionLoss::Refused, 0.5), (ConnectionLoss::DialFailed, 3.0)] {
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
            harness.lose_connection(link, ConnectionLoss::Disconnected);
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

/// A machine that fails sends nothing at all: its connections stay open.
#[test]
fn a_silent_streamer_is_detected_by_a_test_within_the_platforms_time() {
    let mut harness = Harness::new();
    let (session, link) = harness.start_session("free");
    harness.unreachable.insert(harness.addresses[&link].clone(), ConnectionLoss::DialFailed);
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
    harness.unreachable.insert(harness.addresses[&link].clone(), ConnectionLoss::DialFailed);
    harness.advance(0.5 + 0.5);
    assert!(harness.closed_links.contains(&link));
}

#[test]
fn a_streamer_that_drains_or_is_gone_gets_nothing_new_and_is_removed() {
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
    harness.lose_connection(link, ConnectionLoss::Disconnected);
    assert_eq!(harness.messages_to_viewer(session).len(), 2, "no release will arrive any more");
    assert_eq!(harness.dispatcher.streamer_count(), STREAMERS - 1);
    assert!(harness.dispatcher.link_count() < STREAMERS, "no link to it is left");
}

#[test]
fn a_set_up_that_waits_for_a_connection_is_withdrawn_when_its_streamer_drains() {
    let mut harness = Harness::new();
    harness.dials_stall = true;
    for link in harness.last_dials.clone().into_keys() {
        harness.lose_connection(link, ConnectionLoss::Disconnected);
    }
    let session = harness.request("paid");
    assert_eq!((harness.final_answer(session), harness.attempt_count(session)), (None, 0), "it waits");
    for at in 0..STREAMERS {
        harness.update_entry(list_entry(at, "terminating"));
    }
    assert_eq!(harness.final_answer(session), Some(cause::REJECTED), "it provably never ran");
}

#[test]
fn a_session_older_than_the_start_of_its_streamer_is_over_and_a_newer_one_is_not() {
    let mut harness = Harness::new();
    let (session, link) = harness.start_session("free");
    let at: usize = harness.addresses[&link][10..].parse::<usize>().expect("a port") - 9000;
    let started = |seconds: f64| {
        let mut again = list_entry(at, "in_service");
        again.started_ms = seconds * 1e3;
        again
    };
    harness.advance(1.0);
    harness.update_entry(started(1000.0));
    assert_eq!(harness.messages_to_viewer(session).len(), 1, "it was set up in the new process");
    harness.update_entry(started(1020.5));
    assert_eq!(harness.messages_to_viewer(session).len(), 2);
}

#[test]
fn a_new_streamer_at_an_old_address_is_another_one() {
    let mut harness = Harness::new();
    let (session, link) = harness.start_session("free");
    let at: usize = harness.addresses[&link][10..].parse::<usize>().expect("a port") - 9000;
    let mut new = list_entry(at, "in_service");
    new.id = "new".into();
    harness
        .apply_list_update(&ListUpdate { full: false, streamers: vec![list_entry(at, "terminated"), new] });
    harness.lose_connection(link, ConnectionLoss::Disconnected);
    assert_eq!(harness.messages_to_viewer(session).len(), 2, "the new one does not know the session");
    assert_eq!(harness.dispatcher.streamer_count(), STREAMERS);
}

#[test]
fn unusable_set_ups_are_refused_and_never_sent() {
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

/// Under the session number of an open request the client could not distinguish the answers.
#[test]
fn two_set_ups_with_one_session_number_close_their_connection_and_not_another() {
    let mut harness = Harness::new();
    let session = harness.request("free");
    harness.dispatcher.on_viewer_connected(harness.now, 2);
    harness.viewer_sends(2, session, Body::SetUp(set_up_of("free")));
    assert!(harness.sent_to_viewers.iter().any(|(conn, m)| *conn == 2 && m.session == session));
    harness.viewer_sends(VIEWERS, session, Body::SetUp(set_up_of("free")));
    assert_eq!((harness.drained.clone(), harness.dispatcher.tracked_count()), (vec![VIEWERS], 0));
}

/// One connection sent the same request two hundred times, and the module counted each for its tenant.
#[test]
fn the_same_set_up_after_a_rejection_closes_its_connection() {
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

/// Hundreds of requests at a time on one connection appeared as a sudden rise in the load of their tenant.
#[test]
fn a_connection_with_too_many_open_requests_gets_no_more_and_others_do() {
    let mut harness = Harness::new();
    let sessions: Vec<u64> = (0..200).map(|_| harness.request("free")).collect();
    let sent = sessions.iter().filter(|session| harness.attempt_count(**session) > 0).count();
    assert!((1..100).contains(&sent), "{sent} of 200 were sent to a streamer");
    assert!(sessions.iter().all(|session| harness.attempt_count(*session) > 0
        || harness.final_answer(*session).is_some_and(Harness::is_rejection)));
    harness.dispatcher.on_viewer_connected(harness.now, 2);
    let other = harness.request_on(2, set_up_of("free"));
    assert_eq!(harness.attempt_count(other), 1);
}

#[test]
fn a_handed_over_session_is_adopted_once_and_released_when_it_ends() {
    let mut harness = Harness::new();
    let mut handed = set_up_of("free");
    handed.details.as_mut().expect("some").playing_at = Some("s1".into());
    harness.viewer_sends(VIEWERS, 7, Body::SetUp(handed.clone()));
    harness.viewer_sends(VIEWERS, 7, Body::SetUp(handed.clone()));
    assert_eq!((harness.dispatcher.tracked_count(), harness.messages_to_viewer(7).len()), (1, 0));
    harness.advance(0.2);
    let link =
        *harness.addresses.iter().find(|(_, address)| *address == "127.0.0.1:9001").expect("it is dialled").0;
    harness.streamer_sends_on(link, 7, Body::release(cause::NORMAL));
    assert_eq!((harness.dispatcher.tracked_count(), harness.messages_to_viewer(7).len()), (0, 1));
    handed.details.as_mut().expect("some").playing_at = Some("nowhere".into());
    harness.viewer_sends(VIEWERS, 8, Body::SetUp(handed));
    assert_eq!(harness.messages_to_viewer(8).len(), 1, "no streamer will ever release it");
}

#[test]
fn many_set_ups_at_one_streamer_spread_over_connections_within_the_limit() {
    let mut harness = Harness::new();
    for _ in 0..200 {
        harness.request("free");
        harness.advance(0.01);
    }
    assert!(harness.dispatcher.link_count() > STREAMERS && harness.dispatcher.link_count() <= 256 / 3);
    harness.advance(10.0);
    assert_eq!(harness.dispatcher.tracked_count(), 0, "every request has its answer");
}

/// New session numbers, connections and streamers all the time: what is over leaves no state behind.
#[test]
fn thousands_of_sessions_leave_no_state() {
    let mut harness = Harness::new();
    harness.dispatcher.on_viewer_gone(harness.now, VIEWERS, Departure::Closed);
    for round in 0..3000u64 {
        let conn = 1000 + round;
        harness.dispatcher.on_viewer_connected(harness.now, conn);
        let session = harness.request_on(conn, set_up_of(if round % 2 == 0 { "free" } else { "paid" }));
        if harness.last_attempt(session).is_some() {
            harness.streamer_answers(session);
            harness.streamer_releases(session, cause::NORMAL);
        }
        if round % 100 == 99 {
            let at = (round as usize / 100) % STREAMERS;
            let named = |state: &str, generation: u64| {
                let mut entry = list_entry(at, state);
                if generation >= STREAMERS as u64 {
                    entry.id = format!("s{at}-{generation}");
                }
                entry
            };
            let generation = round / 100;
            let (old, mut new) =
                (named("terminated", generation), named("in_service", generation + STREAMERS as u64));
            new.address = format!("127.0.0.1:{}", 20_000 + round);
            harness.apply_list_update(&ListUpdate { full: false, streamers: vec![old, new] });
            harness.advance(0.1);
        }
        harness.dispatcher.on_viewer_gone(harness.now, conn, Departure::Closed);
        harness.perform_effects();
    }
    for link in harness.last_dials.clone().into_keys() {
        harness.lose_connection(link, ConnectionLoss::Disconnected);
    }
    harness.advance(1.0);
    assert_eq!(
        (
            harness.dispatcher.tracked_count(),
            harness.dispatcher.unanswered_count(),
            harness.dispatcher.idle_connection()
        ),
        (0, 0, None)
    );
    assert_eq!(harness.dispatcher.streamer_count(), STREAMERS);
    assert!(harness.dispatcher.link_count() <= STREAMERS, "{} links", harness.dispatcher.link_count());
}

#[test]
fn set_ups_a_while_after_a_stop_are_rejected_at_once() {
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
        let mut harness = Harness::new();
        let mut sent_requests: Vec<(u64, bool)> = Vec::new();
        // Attempts that provably never ran.
        let mut settled: std::collections::HashMap<u64, usize> = Default::default();
        let mut given_up: Vec<u64> = Vec::new();
        for step in steps {
            let session = |pick: usize| (!sent_requests.is_empty()).then(|| sent_requests[pick % sent_requests.len()].0);
            match step {
                Step::Ask { paid } => {
                    let session = harness.request(if paid { "paid" } else { "free" });
                    sent_requests.push((session, paid));
                }
                Step::Tell { pick, cause } => if let Some(session) = session(pick).filter(|session| harness.last_attempt(*session).is_some()) {
                    let never_ran = [cause::FULL, cause::NOT_SENT].contains(&cause) && harness.messages_to_viewer(session).is_empty();
                    let settled = settled.entry(session).or_default();
                    *settled += usize::from(never_ran && harness.attempt_count(session) > *settled);
                    harness.streamer_releases(session, cause);
                },
                Step::Answer { pick } => if let Some(session) = session(pick).filter(|session| harness.last_attempt(*session).is_some()) {
                    harness.streamer_answers(session);
                },
                Step::GiveUp { pick } => if let Some(session) = session(pick).filter(|session| harness.messages_to_viewer(*session).is_empty()) {
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
                        harness.unreachable.insert(address, ConnectionLoss::DialFailed);
                    } else {
                        harness.unreachable.remove(&address);
                    }
                }
                Step::Pass { tenths } => harness.advance(f64::from(tenths) / 10.0),
            }
        }
        harness.advance(3.0);
        prop_assert_eq!(harness.dispatcher.unanswered_count(), 0, "every request has its answer by its deadline");
        for (session, paid) in sent_requests {
            let answers = harness.messages_to_viewer(session);
            if given_up.contains(&session) {
                prop_assert!(answers.is_empty());
                continue;
            }
            let plays = matches!(answers.first(), Some(Body::Answer { .. }));
            prop_assert!(answers.len() == 1 || plays && answers.len() == 2, "{:?}", answers);
            if paid {
                let settled = settled.get(&session).copied().unwrap_or(0);
                prop_assert!(harness.attempt_count(session) <= settled + 1, "sent again though it may have run");
                let refused = matches!(answers[0], Body::Release { cause, .. } if Harness::is_rejection(*cause));
                prop_assert!(!refused || harness.attempt_count(session) == settled, "rejected though it may have run");
            }
        }
    }
}

/// The usual settings with some values replaced.
fn with(values: &[(&str, Json)]) -> Harness {
    let mut settings = settings();
    for (pointer, value) in values {
        *settings.pointer_mut(pointer).expect("it is there") = value.clone();
    }
    Harness::with_settings(settings)
}

/// A rejection is not delayed: it is sent at the moment of the decision, with the time to retry after if that is
/// allowed.
#[test]
fn a_rejection_is_sent_at_once_with_the_time_to_retry_after() {
    for allowed in [true, false] {
        let max_sessions = ("/family_info/class_seats", json!([1, 0]));
        let mut harness = with(&[max_sessions, ("/policy_limits/retry_after", json!(allowed))]);
        let retry_after = |harness: &Harness, session| match harness.messages_to_viewer(session)[..] {
            [Body::Release { cause: cause::REJECTED, retry_after_ms, .. }] => *retry_after_ms,
            ref other => panic!("one rejection at once, not {other:?}"),
        };
        let expected = allowed.then_some(500);
        harness.start_session("free");
        let over_limit = harness.request("free");
        assert_eq!((retry_after(&harness, over_limit), harness.attempt_count(over_limit)), (expected, 0));
        let retried = harness.request_on(VIEWERS, SetUp { title: "other".into(), ..set_up_of("free") });
        (0..2).for_each(|_| harness.streamer_releases(retried, cause::FULL));
        assert_eq!(harness.final_answer(retried), None, "it has one attempt more");
        harness.streamer_releases(retried, cause::FULL);
        assert_eq!(retry_after(&harness, retried), expected, "after the last attempt");
        harness.dispatcher.stop(harness.now);
        harness.advance(0.7);
        let late = harness.request("paid");
        assert_eq!(retry_after(&harness, late), expected, "a rejection by the dispatcher itself");
    }
}

/// A moved deployment may have live titles, whose viewers share a stream, and a list on request, whose changes the
/// journal service sends nevertheless.
#[test]
fn viewers_of_a_live_title_share_one_streamer_and_a_list_on_request_is_followed() {
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
        (harness.dispatcher.tracked_count(), harness.sent_to_viewers.len()),
        (21, 21),
        "no viewer gets a message"
    );
}

/// With probes allowed, a request waited three quarters of a second for probes that the platform has no message for.
#[test]
fn a_request_does_not_wait_for_probes() {
    let mut harness = with(&[("/policy_limits/may_probe", json!(true))]);
    let session = harness.request("free");
    assert_eq!(harness.attempt_count(session), 1, "at once");
}
