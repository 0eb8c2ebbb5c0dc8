//! Two events that cross, in the dispatcher: every pair in an order that is forced, in virtual time.

mod common;

use common::{list_entry, set_up_of, Harness, STREAMERS, VIEWERS};
use lemontide_front::core::Connection;
use lemontide_platform::codec::{cause, Body, Message, SessionReport, SetUp};
use lemontide_platform::config::ListUpdate;
use lemontide_platform::dispatcher::Loss;
use lemontide_platform::replies::Departure;

/// All of the session's set-ups and releases as they were written: true for a set-up.
fn order_of(harness: &Harness, session: u64) -> Vec<bool> {
    let of = harness.written.iter().filter(|(_, message)| message.session == session);
    of.filter_map(|(_, message)| match message.body {
        Body::SetUp(_) => Some(true),
        Body::Release { .. } => Some(false),
        _ => None,
    })
    .collect()
}

/// A world in which connections to all streamers are up and one more set-up waits in a batch on each.
fn with_slow_connections(harness: &mut Harness) {
    for at in 0..STREAMERS {
        for _ in 0..40 {
            if harness.addresses.values().any(|address| *address == list_entry(at, "").address) {
                break;
            }
            harness.start_session("free");
        }
    }
    harness.stalled = harness.last_dials.keys().copied().collect();
}

#[test]
fn what_waits_in_a_batch_is_not_written_once_its_viewer_left() {
    for closes in [true, false] {
        let mut harness = Harness::new();
        with_slow_connections(&mut harness);
        let session = harness.request("paid");
        assert!(!harness.waiting_batches.is_empty(), "it waits to be written");
        match closes {
            true => harness.dispatcher.viewer_gone(harness.now, VIEWERS, Departure::Closed),
            false => harness.viewer_sends(VIEWERS, session, Body::release(cause::NORMAL)),
        }
        harness.perform_effects();
        harness.resume_stalled();
        assert!(order_of(&harness, session).is_empty(), "nothing of it left, and nothing has to be given up");
    }
}

#[test]
fn what_waits_in_a_batch_is_not_written_once_its_streamer_drains() {
    let mut harness = Harness::new();
    with_slow_connections(&mut harness);
    let session = harness.request("paid");
    let servers = (0..STREAMERS).map(|at| list_entry(at, "terminating")).collect();
    harness.apply_list_update(&ListUpdate { full: false, streamers: servers });
    assert_eq!(harness.final_answer(session), Some(cause::REJECTED), "it provably never ran");
    harness.resume_stalled();
    assert!(order_of(&harness, session).is_empty());
}

/// A paid set-up whose connection broke before it was written may be sent again; one that was written may not.
#[test]
fn a_connection_lost_under_a_batch_proves_what_was_not_written() {
    for written in [false, true] {
        let mut harness = Harness::new();
        with_slow_connections(&mut harness);
        if written {
            harness.stalled.clear();
        }
        let session = harness.request("paid");
        let link = match harness.waiting_batches.last() {
            Some(batch) => batch.0.link,
            None => harness.last_attempt(session).expect("it was written").0,
        };
        harness.waiting_batches.clear();
        harness.stalled.clear();
        harness.lose_connection(link, Loss::Broke);
        let failed = written.then_some(cause::FAILED);
        assert_eq!(
            (harness.final_answer(session), harness.attempt_count(session)),
            (failed, 1),
            "written: {written}"
        );
    }
}

/// The word that gives up an attempt waits behind a batch, and then unread at its streamer; the next attempt begins
/// when the streamer passes the test behind it, and no sooner.
#[test]
fn the_next_attempt_leaves_only_after_the_end_of_the_last_is_read() {
    let mut harness = Harness::new();
    let session = harness.request("free");
    let (link, _) = harness.last_attempt(session).expect("it was sent");
    // Another set-up on the same connection is being written when the first is given up.
    harness.stalled = [link].into();
    let title = SetUp { title: "t".into(), ..set_up_of("free") };
    for _ in 0..40 {
        harness.request_on(VIEWERS, title.clone());
        if !harness.waiting_batches.is_empty() {
            break;
        }
    }
    assert!(!harness.waiting_batches.is_empty(), "a batch is being written there");
    harness.advance(0.46);
    assert_eq!(order_of(&harness, session), [true], "given up, but nobody can know it yet");
    harness.unread_links = [link].into();
    harness.resume_stalled();
    assert_eq!(order_of(&harness, session), [true, false], "written, and not read");
    harness.advance(0.1);
    assert_eq!(order_of(&harness, session), [true, false]);
    harness.streamer_reads(link);
    assert_eq!(order_of(&harness, session), [true, false, true]);
}

/// A connection that is closed by this end proves nothing of what its streamer has read; nor does the streamer's close
/// prove that the session does not stand: the end goes to it on another connection, and must be read there.
#[test]
fn the_next_attempt_leaves_only_after_the_end_of_one_on_a_closed_connection_is_read_elsewhere() {
    for by_streamer in [false, true] {
        let mut harness = Harness::new();
        let session = harness.request("free");
        let (link, _) = harness.last_attempt(session).expect("it was sent");
        harness.delays_closes = true;
        let at: usize = harness.addresses[&link][10..].parse::<usize>().expect("a port") - 9000;
        let mut moved = list_entry(at, "in_service");
        moved.address = "127.0.0.1:9999".into();
        harness.update_entry(moved);
        assert_eq!((harness.closed_links.clone(), order_of(&harness, session)), (vec![link], vec![true]));
        assert!(harness.pending_closes[0].1, "its streamer's close is awaited");
        harness.advance(0.5);
        assert_eq!(order_of(&harness, session), [true]);
        harness.unread_links = (0..1000).collect();
        harness.complete_closes(by_streamer);
        harness.advance(0.2);
        let words = if by_streamer { vec![true, false] } else { vec![true] };
        assert_eq!(order_of(&harness, session), words, "closed by its streamer: {by_streamer}");
        let links: Vec<u64> = harness.last_dials.keys().copied().collect();
        links.into_iter().for_each(|link| harness.streamer_reads(link));
        let words = if by_streamer { vec![true, false, true] } else { vec![true] };
        assert_eq!(order_of(&harness, session), words, "closed by its streamer: {by_streamer}");
    }
}

/// The process of an attempt is gone: its connection is closed, and it refuses others or the list says so.
#[test]
fn the_next_attempt_leaves_when_the_process_of_the_last_is_gone() {
    for is_listed in [true, false] {
        let mut harness = Harness::new();
        let session = harness.request("free");
        let (link, _) = harness.last_attempt(session).expect("it was sent");
        let address = harness.addresses[&link].clone();
        let at: usize = address[10..].parse::<usize>().expect("a port") - 9000;
        if is_listed {
            harness.unreachable.insert(address, Loss::Refused);
        } else {
            harness.update_entry(list_entry(at, "terminated"));
        }
        harness.lose_connection(link, Loss::Broke);
        harness.advance(0.3);
        assert_eq!(order_of(&harness, session), [true, true], "listed: {is_listed}");
    }
}

/// A streamer acknowledges the end, or says how the attempt ended: no test is needed.
#[test]
fn the_next_attempt_leaves_when_the_streamer_says_that_the_last_is_over() {
    for word in [Body::Acknowledged, Body::release(cause::FAILED)] {
        let mut harness = Harness::new();
        let session = harness.request("free");
        let (link, _) = harness.last_attempt(session).expect("it was sent");
        harness.unread_links = [link].into();
        harness.advance(0.46);
        assert_eq!(order_of(&harness, session), [true, false]);
        harness.streamer_sends_on(link, session, word);
        assert_eq!(order_of(&harness, session), [true, false, true]);
    }
}

/// A streamer that stays silent gets no second attempt and its request none elsewhere, and one answer by its deadline;
/// a later set-up under the same number is refused while the attempt may be out.
#[test]
fn a_silent_streamer_ends_a_request_without_another_attempt() {
    let mut harness = Harness::new();
    let session = harness.request("free");
    let (link, _) = harness.last_attempt(session).expect("it was sent");
    harness.unreachable.insert(harness.addresses[&link].clone(), Loss::Dark);
    harness.advance(3.0);
    assert_eq!((harness.attempt_count(session), harness.final_answer(session)), (1, Some(cause::REJECTED)));
    harness.dispatcher.viewer_up(harness.now, 2);
    harness.viewer_sends(2, session, Body::SetUp(set_up_of("free")));
    assert_eq!(harness.attempt_count(session), 1, "its attempt may still be out");
    assert!(matches!(
        harness.messages_to_viewer(session)[..],
        [_, Body::Release { cause: cause::INVALID, .. }]
    ));
}

/// Rungs of a subscription go over one connection while it is up, in order, whatever connection carries least.
#[test]
fn rungs_follow_each_other_on_one_connection() {
    let mut harness = Harness::new();
    let (session, link) = harness.start_session("free");
    // Others wait there, so that further connections are opened and carry less.
    for second in 0..60 {
        if second % 2 == 0 {
            harness.request("paid");
        }
        harness.streamer_sends_on(
            link,
            session,
            Body::SessionReport(SessionReport::LinkUtilization(if second % 20 < 10 { 0.1 } else { 3.0 })),
        );
        harness.advance(1.0);
    }
    let rungs =
        harness.written.iter().filter(|(_, m)| m.session == session && matches!(m.body, Body::Rung(_)));
    let on: Vec<u64> = rungs.map(|(link, _)| *link).collect();
    assert!(on.len() > 1 && on.iter().all(|other| *other == link), "on {link}: {on:?}");
}

/// Whatever never closes must not hold a request for ever.
#[test]
fn a_connection_that_is_never_closed_does_not_keep_a_request() {
    let mut harness = Harness::new();
    let session = harness.request("free");
    let (link, _) = harness.last_attempt(session).expect("it was sent");
    harness.delays_closes = true;
    harness.stalled = [link].into();
    harness.advance(3.0);
    assert!(harness.final_answer(session).is_some(), "one answer by its deadline");
}

/// The viewer ends what plays, and the connection goes before the word for its streamer is written.
#[test]
fn the_end_of_a_stream_is_sent_again_where_its_connection_goes_first() {
    let mut harness = Harness::new();
    let (session, link) = harness.start_session("free");
    harness.stalled = [link].into();
    harness.viewer_sends(VIEWERS, session, Body::release(cause::NORMAL));
    assert_eq!(order_of(&harness, session), [true], "it waits to be written");
    harness.waiting_batches.clear();
    harness.stalled.clear();
    harness.lose_connection(link, Loss::Broke);
    harness.advance(1.0);
    assert_eq!(order_of(&harness, session), [true, false], "once, on the next connection");
}

/// The end of a stream was written, and its connection went before the streamer read it.
#[test]
fn the_end_of_a_stream_is_sent_again_until_its_streamer_has_read_it() {
    for read in [false, true] {
        let mut harness = Harness::new();
        let (session, link) = harness.start_session("free");
        if !read {
            harness.unread_links = [link].into();
        }
        harness.viewer_sends(VIEWERS, session, Body::release(cause::NORMAL));
        harness.advance(1.5);
        assert_eq!(order_of(&harness, session), [true, false], "written");
        if read {
            harness.streamer_sends_on(link, session, Body::Acknowledged);
        }
        harness.lose_connection(link, Loss::Broke);
        harness.unread_links.clear();
        harness.advance(0.5);
        let words = if read { vec![true, false] } else { vec![true, false, false] };
        assert_eq!(order_of(&harness, session), words, "read: {read}");
    }
}

/// A client ends its stream and asks again under the same number: nothing may begin before the end is read.
#[test]
fn a_number_whose_stream_may_still_stand_is_refused() {
    let mut harness = Harness::new();
    let (session, link) = harness.start_session("free");
    harness.unread_links = [link].into();
    harness.viewer_sends(VIEWERS, session, Body::release(cause::NORMAL));
    harness.dispatcher.viewer_up(harness.now, 2);
    harness.viewer_sends(2, session, Body::SetUp(set_up_of("free")));
    assert_eq!(order_of(&harness, session), [true, false], "its stream may still stand");
    assert!(matches!(
        harness.messages_to_viewer(session)[..],
        [_, Body::Release { cause: cause::INVALID, .. }]
    ));
    harness.streamer_sends_on(link, session, Body::Acknowledged);
    harness.unread_links.clear();
    for (conn, wait, is_taken) in [(3, 0.0, false), (4, 7.9, false), (5, 0.2, true)] {
        harness.advance(wait);
        harness.dispatcher.viewer_up(harness.now, conn);
        harness.viewer_sends(conn, session, Body::SetUp(set_up_of("free")));
        assert_eq!(harness.attempt_count(session) == 2, is_taken, "{wait} s later");
    }
}

/// Set-ups wait for a dial; half of their viewers leave, and then it comes up.
#[test]
fn what_waits_for_a_dial_is_not_sent_once_its_viewer_left() {
    let mut harness = Harness::new();
    harness.dials_stall = true;
    let asked: Vec<u64> = (0..40).map(|_| harness.request("paid")).collect();
    assert!(asked.iter().all(|session| order_of(&harness, *session).is_empty()), "all wait");
    for session in asked.iter().step_by(2) {
        harness.viewer_sends(VIEWERS, *session, Body::release(cause::NORMAL));
    }
    for (link, dial) in harness.last_dials.clone() {
        harness.dispatcher.linked(harness.now, Connection { link, dial });
    }
    harness.perform_effects();
    for (n, session) in asked.iter().enumerate() {
        assert_eq!(harness.attempt_count(*session), n % 2, "number {n}");
    }
}

#[test]
fn who_cancels_or_closes_in_the_moment_of_asking_is_not_sent_on() {
    for closes in [true, false] {
        let mut harness = Harness::new();
        let (asks, session) = (Body::SetUp(set_up_of("free")), 0xabc);
        let message = |body| Message { session, body };
        harness.receive(VIEWERS, message(asks), harness.now);
        match closes {
            true => harness.dispatcher.viewer_gone(harness.now, VIEWERS, Departure::Closed),
            false => harness.receive(VIEWERS, message(Body::release(cause::NORMAL)), harness.now),
        }
        assert!(!harness.dispatcher.decide(harness.now), "nothing is left to decide");
        harness.perform_effects();
        assert!(order_of(&harness, session).is_empty() && harness.sent_to_viewers.is_empty());
        assert_eq!(harness.dispatcher.in_hand(), 0);
    }
}

#[test]
fn the_time_of_a_request_runs_from_when_it_was_read() {
    let mut harness = Harness::new();
    let (read, session) = (harness.now, 0xabc);
    let message = Message { session, body: Body::SetUp(set_up_of("paid")) };
    harness.receive(VIEWERS, message, read);
    // It waits two of its three seconds for a decision.
    harness.now = harness.now + lemontide::clock::Span::of(2.0);
    assert!(harness.dispatcher.decide(harness.now));
    harness.perform_effects();
    let mut sent_on = harness.written.iter().filter(|(_, message)| message.session == session);
    let Some((_, Message { body: Body::SetUp(set_up), .. })) = sent_on.next() else {
        panic!("it is sent on")
    };
    assert!(set_up.wait_ms < 1000, "its streamer has {} ms", set_up.wait_ms);
}

#[test]
fn what_is_asked_and_not_decided_keeps_its_connection_and_its_process() {
    let mut harness = Harness::new();
    let (in_hand, open) = (harness.dispatcher.in_hand(), harness.dispatcher.open());
    assert_eq!(harness.dispatcher.spare(), Some(VIEWERS), "nothing is open on it");
    let message = |body| Message { session: 0xabc, body };
    harness.receive(VIEWERS, message(Body::SetUp(set_up_of("free"))), harness.now);
    assert_eq!((harness.dispatcher.in_hand(), harness.dispatcher.open()), (in_hand + 1, open + 1));
    harness.dispatcher.make_room();
    harness.perform_effects();
    assert!(harness.dispatcher.spare().is_none() && harness.close_if_idle.is_empty(), "it is not idle");
    harness.receive(VIEWERS, message(Body::release(cause::NORMAL)), harness.now);
    assert_eq!((harness.dispatcher.in_hand(), harness.dispatcher.spare()), (in_hand, Some(VIEWERS)));
}

/// A newcomer that needs a place takes the place of one idle connection, not of several.
#[test]
fn one_idle_connection_makes_room_at_a_time() {
    let mut harness = Harness::new();
    (2..40).for_each(|conn| harness.dispatcher.viewer_up(harness.now, conn));
    let asks = 2;
    harness.request_on(asks, set_up_of("free"));
    for _ in 0..8 {
        harness.dispatcher.make_room();
    }
    harness.perform_effects();
    assert_eq!(harness.close_if_idle.len(), 1, "{:?}", harness.close_if_idle);
    assert_ne!(harness.close_if_idle[0].0, asks);
}

/// A world with one streamer, at which a request's first attempt got no answer and its second one is out: its session and
/// the link of the second.
fn with_a_second_attempt_at_the_same_streamer(lane: &str) -> (Harness, u64, u64) {
    let mut harness = Harness::new();
    let others = (1..STREAMERS).map(|at| list_entry(at, "terminating")).collect();
    harness.apply_list_update(&ListUpdate { full: false, streamers: others });
    let session = harness.request(lane);
    harness.advance(0.5);
    assert_eq!(order_of(&harness, session), [true, false, true], "the end of the first is read");
    let (link, _) = harness.last_attempt(session).expect("it was sent");
    (harness, session, link)
}

/// The soak's seed 15: the first attempt had stood with its answer lost, and its streamer said its release again on the
/// connection of the second.
#[test]
fn a_release_of_the_first_attempt_is_not_taken_for_the_end_of_the_second() {
    for why in [cause::NORMAL, cause::CANCELLED, cause::FAILED, 99] {
        let (mut harness, session, link) = with_a_second_attempt_at_the_same_streamer("free");
        harness.streamer_sends_on(link, session, Body::release(why));
        harness.advance(0.02);
        assert_eq!(order_of(&harness, session), [true, false, true], "cause {why}: the second may be out");
        harness.streamer_answers(session);
        assert_eq!(harness.final_answer(session), Some(0), "cause {why}");
    }
    for why in [cause::FULL, cause::ERROR, cause::NOT_SENT] {
        let (mut harness, session, _) = with_a_second_attempt_at_the_same_streamer("free");
        harness.streamer_releases(session, why);
        assert!(
            harness.attempt_count(session) > 2 || harness.final_answer(session).is_some(),
            "cause {why} ends a set-up"
        );
    }
}

#[test]
fn a_word_on_the_first_attempt_does_not_prove_the_second_over_that_was_given_up() {
    for word in [Body::release(cause::NORMAL), Body::release(cause::FAILED), Body::Acknowledged] {
        let (mut harness, session, link) = with_a_second_attempt_at_the_same_streamer("free");
        harness.unread_links = [link].into();
        harness.advance(0.5);
        let given_up = [true, false, true, false];
        assert_eq!(order_of(&harness, session), given_up);
        harness.streamer_sends_on(link, session, word.clone());
        harness.advance(0.05);
        let is_decided =
            |harness: &Harness| harness.final_answer(session).is_some() || harness.attempt_count(session) > 2;
        assert!(!is_decided(&harness), "{word:?}: the second may still be out");
        harness.streamer_reads(link);
        assert!(is_decided(&harness), "{word:?}");
    }
}

/// The release may be that of the first attempt, so what the second set up is ended at its streamer too.
#[test]
fn a_release_that_may_be_of_an_earlier_attempt_leaves_nothing_standing() {
    let (mut harness, session, link) = with_a_second_attempt_at_the_same_streamer("free");
    harness.streamer_answers(session);
    harness.streamer_sends_on(link, session, Body::release(cause::NORMAL));
    assert!(matches!(
        harness.messages_to_viewer(session)[..],
        [_, Body::Release { cause: cause::NORMAL, .. }]
    ));
    assert_eq!((harness.release_count(session), harness.dispatcher.in_hand()), (2, 0));
    let (session, _) = harness.start_session("free");
    harness.streamer_releases(session, cause::NORMAL);
    assert_eq!(harness.release_count(session), 0, "the release of a first attempt is its own");
}

/// A streamer says its release again on the next connection: a set-up under the same number would be taken for over.
#[test]
fn a_number_is_not_taken_again_while_its_streamer_may_still_release_it() {
    let mut harness = Harness::new();
    let (session, _) = harness.start_session("free");
    harness.streamer_releases(session, cause::NORMAL);
    harness.dispatcher.viewer_up(harness.now, 2);
    harness.viewer_sends(2, session, Body::SetUp(set_up_of("free")));
    assert_eq!(harness.attempt_count(session), 1);
    assert!(
        matches!(harness.sent_to_viewers.last(), Some((2, Message { body: Body::Release { .. }, .. }))),
        "refused"
    );
    harness.advance(8.2);
    harness.viewer_sends(2, session, Body::SetUp(set_up_of("free")));
    assert_eq!(harness.attempt_count(session), 2, "nothing more is said of it");
}

/// A set-up got no answer on a connection, so it is closed by half; the release of another session is on its way there.
#[test]
fn a_release_on_a_connection_that_is_being_closed_is_heard() {
    let mut harness = Harness::new();
    let others = (1..STREAMERS).map(|at| list_entry(at, "terminating")).collect();
    harness.apply_list_update(&ListUpdate { full: false, streamers: others });
    let (session, link) = harness.start_session("free");
    let on = harness.current_connection(link);
    harness.request("free");
    harness.unread_links = [link].into();
    harness.delays_closes = true;
    harness.advance(1.1);
    assert_eq!(harness.pending_closes, [(on, true)], "the streamer's own close is awaited");
    harness.dispatcher.told(harness.now, on, Message { session, body: Body::release(cause::NORMAL) });
    harness.perform_effects();
    assert!(matches!(
        harness.messages_to_viewer(session)[..],
        [_, Body::Release { cause: cause::NORMAL, .. }]
    ));
    harness.complete_closes(true);
    harness.dispatcher.told(harness.now, on, Message { session: 99, body: Body::release(cause::NORMAL) });
}

/// The answer of an attempt may be lost with its connection, and its request gets no other: what may stand is ended on
/// the next connection that is up.
#[test]
fn what_may_stand_of_a_failed_request_is_ended_on_another_connection() {
    for leaves in [true, false] {
        let mut harness = Harness::new();
        let others = (1..STREAMERS).map(|at| list_entry(at, "terminating")).collect();
        harness.apply_list_update(&ListUpdate { full: false, streamers: others });
        let (_, link) = harness.start_session("free");
        let session = harness.request("paid");
        if leaves {
            harness.unread_links = [link].into();
            harness.viewer_sends(VIEWERS, session, Body::release(cause::NORMAL));
        }
        let before = harness.release_count(session);
        harness.lose_connection(link, Loss::Broke);
        harness.unread_links.clear();
        harness.advance(0.5);
        assert_eq!(
            (harness.attempt_count(session), harness.release_count(session)),
            (1, before + 1),
            "leaves: {leaves}"
        );
        harness.advance(2.0);
        assert_eq!(harness.release_count(session), before + 1, "leaves: {leaves}, and once is enough");
    }
}
