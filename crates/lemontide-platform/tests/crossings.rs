//! Pairs of events that cross in the dispatcher, each in a forced order in virtual time.

mod common;

use common::{list_entry, set_up_of, Harness, STREAMERS, VIEWERS};
use lemontide_front::core::Connection;
use lemontide_platform::codec::{cause, Body, Message, SessionReport, SetUp};
use lemontide_platform::config::ListUpdate;
use lemontide_platform::dispatcher::ConnectionLoss;
use lemontide_platform::replies::Departure;

/// The session's set-ups and releases in the order in which they were written: true for a set-up.
fn order_of(harness: &Harness, session: u64) -> Vec<bool> {
    let of = harness.written.iter().filter(|(_, message)| message.session == session);
    of.filter_map(|(_, message)| match message.body {
        Body::SetUp(_) => Some(true),
        Body::Release { .. } => Some(false),
        _ => None,
    })
    .collect()
}

/// Brings up connections to all streamers, which from now on read nothing: what is sent waits in a batch on each.
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
fn a_set_up_in_a_batch_is_not_written_once_its_viewer_left() {
    for closes in [true, false] {
        let mut harness = Harness::new();
        with_slow_connections(&mut harness);
        let session = harness.request("paid");
        assert!(!harness.waiting_batches.is_empty(), "it waits to be written");
        match closes {
            true => harness.dispatcher.on_viewer_gone(harness.now, VIEWERS, Departure::Closed),
            false => harness.viewer_sends(VIEWERS, session, Body::release(cause::NORMAL)),
        }
        harness.perform_effects();
        harness.resume_stalled();
        assert!(
            order_of(&harness, session).is_empty(),
            "nothing of it was written, so nothing has to be released"
        );
    }
}

#[test]
fn a_set_up_in_a_batch_is_not_written_once_its_streamer_drains() {
    let mut harness = Harness::new();
    with_slow_connections(&mut harness);
    let session = harness.request("paid");
    let servers = (0..STREAMERS).map(|at| list_entry(at, "terminating")).collect();
    harness.apply_list_update(&ListUpdate { full: false, streamers: servers });
    assert_eq!(harness.final_answer(session), Some(cause::REJECTED), "it provably never ran");
    harness.resume_stalled();
    assert!(order_of(&harness, session).is_empty());
}

/// A set-up of an at-most-once class whose connection broke before it was written may be sent again; one that was
/// written may not.
#[test]
fn a_connection_lost_before_its_batch_is_written_proves_that_attempts_never_ran() {
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
        harness.lose_connection(link, ConnectionLoss::Disconnected);
        let failed = written.then_some(cause::FAILED);
        assert_eq!(
            (harness.final_answer(session), harness.attempt_count(session)),
            (failed, 1),
            "written: {written}"
        );
    }
}

/// The release of a given-up attempt waits behind a batch, and then unread at its streamer. The next attempt begins
/// when the streamer passes the test behind the release, and not before.
#[test]
fn the_next_attempt_is_sent_only_after_the_release_of_the_last_is_read() {
    let mut harness = Harness::new();
    let session = harness.request("free");
    let (link, _) = harness.last_attempt(session).expect("it was sent");
    // Another set-up on the same connection is being written when the first attempt is given up.
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
    assert_eq!(order_of(&harness, session), [true], "given up, and its release is not written yet");
    harness.unread_links = [link].into();
    harness.resume_stalled();
    assert_eq!(order_of(&harness, session), [true, false], "written, and not read");
    harness.advance(0.1);
    assert_eq!(order_of(&harness, session), [true, false]);
    harness.streamer_reads(link);
    assert_eq!(order_of(&harness, session), [true, false, true]);
}

/// That this end closes a connection does not prove what its streamer has read, and the streamer's close does not prove
/// that the session is not established: the release goes to the streamer on another connection, and must be read there.
#[test]
fn after_a_closed_connection_the_next_attempt_waits_until_a_release_is_read_on_another() {
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
        let expected = if by_streamer { vec![true, false] } else { vec![true] };
        assert_eq!(order_of(&harness, session), expected, "closed by its streamer: {by_streamer}");
        let links: Vec<u64> = harness.last_dials.keys().copied().collect();
        links.into_iter().for_each(|link| harness.streamer_reads(link));
        let expected = if by_streamer { vec![true, false, true] } else { vec![true] };
        assert_eq!(order_of(&harness, session), expected, "closed by its streamer: {by_streamer}");
    }
}

/// The process of an attempt is gone: its connection is closed, and new dials are refused or the list marks it as gone.
#[test]
fn the_next_attempt_is_sent_when_the_process_of_the_last_is_gone() {
    for is_listed in [true, false] {
        let mut harness = Harness::new();
        let session = harness.request("free");
        let (link, _) = harness.last_attempt(session).expect("it was sent");
        let address = harness.addresses[&link].clone();
        let at: usize = address[10..].parse::<usize>().expect("a port") - 9000;
        if is_listed {
            harness.unreachable.insert(address, ConnectionLoss::Refused);
        } else {
            harness.update_entry(list_entry(at, "terminated"));
        }
        harness.lose_connection(link, ConnectionLoss::Disconnected);
        harness.advance(0.3);
        assert_eq!(order_of(&harness, session), [true, true], "listed: {is_listed}");
    }
}

/// A streamer acknowledges the release, or releases the attempt itself: no test is needed.
#[test]
fn the_next_attempt_is_sent_when_the_streamer_ends_the_last() {
    for message in [Body::Acknowledged, Body::release(cause::FAILED)] {
        let mut harness = Harness::new();
        let session = harness.request("free");
        let (link, _) = harness.last_attempt(session).expect("it was sent");
        harness.unread_links = [link].into();
        harness.advance(0.46);
        assert_eq!(order_of(&harness, session), [true, false]);
        harness.streamer_sends_on(link, session, message);
        assert_eq!(order_of(&harness, session), [true, false, true]);
    }
}

/// A silent streamer gets no second attempt, its request gets none elsewhere, and the request is answered once by its
/// deadline. A later set-up with the same session number is refused while the attempt may be open.
#[test]
fn a_silent_streamer_ends_a_request_without_another_attempt() {
    let mut harness = Harness::new();
    let session = harness.request("free");
    let (link, _) = harness.last_attempt(session).expect("it was sent");
    harness.unreachable.insert(harness.addresses[&link].clone(), ConnectionLoss::DialFailed);
    harness.advance(3.0);
    assert_eq!((harness.attempt_count(session), harness.final_answer(session)), (1, Some(cause::REJECTED)));
    harness.dispatcher.on_viewer_connected(harness.now, 2);
    harness.viewer_sends(2, session, Body::SetUp(set_up_of("free")));
    assert_eq!(harness.attempt_count(session), 1, "its attempt may still be out");
    assert!(matches!(
        harness.messages_to_viewer(session)[..],
        [_, Body::Release { cause: cause::INVALID, .. }]
    ));
}

/// Rung changes of a session go over one connection while it is up, so that they stay in order, whichever connection
/// has the fewest set-ups.
#[test]
fn rungs_follow_each_other_on_one_connection() {
    let mut harness = Harness::new();
    let (session, link) = harness.start_session("free");
    // Other set-ups wait there, so that more connections are opened, which have fewer.
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

/// A connection that is never closed must not hold a request for ever.
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

/// The viewer ends its session, and the connection is lost before the release to the streamer is written.
#[test]
fn a_release_is_sent_again_if_its_connection_is_lost_before_it_is_written() {
    let mut harness = Harness::new();
    let (session, link) = harness.start_session("free");
    harness.stalled = [link].into();
    harness.viewer_sends(VIEWERS, session, Body::release(cause::NORMAL));
    assert_eq!(order_of(&harness, session), [true], "it waits to be written");
    harness.waiting_batches.clear();
    harness.stalled.clear();
    harness.lose_connection(link, ConnectionLoss::Disconnected);
    harness.advance(1.0);
    assert_eq!(order_of(&harness, session), [true, false], "sent once, on the next connection");
}

/// The release of a session was written, and its connection was lost before the streamer read it.
#[test]
fn a_release_is_sent_again_until_its_streamer_has_read_it() {
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
        harness.lose_connection(link, ConnectionLoss::Disconnected);
        harness.unread_links.clear();
        harness.advance(0.5);
        let expected = if read { vec![true, false] } else { vec![true, false, false] };
        assert_eq!(order_of(&harness, session), expected, "read: {read}");
    }
}

/// A client ends its session and sends a request with the same number: no attempt may begin before the release is read.
#[test]
fn a_number_whose_session_may_still_play_is_refused() {
    let mut harness = Harness::new();
    let (session, link) = harness.start_session("free");
    harness.unread_links = [link].into();
    harness.viewer_sends(VIEWERS, session, Body::release(cause::NORMAL));
    harness.dispatcher.on_viewer_connected(harness.now, 2);
    harness.viewer_sends(2, session, Body::SetUp(set_up_of("free")));
    assert_eq!(order_of(&harness, session), [true, false], "its session may still play");
    assert!(matches!(
        harness.messages_to_viewer(session)[..],
        [_, Body::Release { cause: cause::INVALID, .. }]
    ));
    harness.streamer_sends_on(link, session, Body::Acknowledged);
    harness.unread_links.clear();
    for (conn, wait, is_accepted) in [(3, 0.0, false), (4, 7.9, false), (5, 0.2, true)] {
        harness.advance(wait);
        harness.dispatcher.on_viewer_connected(harness.now, conn);
        harness.viewer_sends(conn, session, Body::SetUp(set_up_of("free")));
        assert_eq!(harness.attempt_count(session) == 2, is_accepted, "{wait} s later");
    }
}

/// Set-ups wait for a dial, half of their viewers leave, and then the connection comes up.
#[test]
fn a_set_up_that_waits_for_a_dial_is_not_sent_once_its_viewer_left() {
    let mut harness = Harness::new();
    harness.dials_stall = true;
    let sessions: Vec<u64> = (0..40).map(|_| harness.request("paid")).collect();
    assert!(sessions.iter().all(|session| order_of(&harness, *session).is_empty()), "all wait");
    for session in sessions.iter().step_by(2) {
        harness.viewer_sends(VIEWERS, *session, Body::release(cause::NORMAL));
    }
    for (link, dial) in harness.last_dials.clone() {
        harness.dispatcher.on_connected(harness.now, Connection { link, dial });
    }
    harness.perform_effects();
    for (index, session) in sessions.iter().enumerate() {
        assert_eq!(harness.attempt_count(*session), index % 2, "number {index}");
    }
}

#[test]
fn a_request_cancelled_or_closed_at_the_same_moment_is_not_sent() {
    for closes in [true, false] {
        let mut harness = Harness::new();
        let (request, session) = (Body::SetUp(set_up_of("free")), 0xabc);
        let message = |body| Message { session, body };
        harness.receive(VIEWERS, message(request), harness.now);
        match closes {
            true => harness.dispatcher.on_viewer_gone(harness.now, VIEWERS, Departure::Closed),
            false => harness.receive(VIEWERS, message(Body::release(cause::NORMAL)), harness.now),
        }
        assert!(!harness.dispatcher.decide_next(harness.now), "nothing is left to decide");
        harness.perform_effects();
        assert!(order_of(&harness, session).is_empty() && harness.sent_to_viewers.is_empty());
        assert_eq!(harness.dispatcher.tracked_count(), 0);
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
    assert!(harness.dispatcher.decide_next(harness.now));
    harness.perform_effects();
    let mut sent = harness.written.iter().filter(|(_, message)| message.session == session);
    let Some((_, Message { body: Body::SetUp(set_up), .. })) = sent.next() else {
        panic!("it is sent to a streamer")
    };
    assert!(set_up.wait_ms < 1000, "its streamer has {} ms", set_up.wait_ms);
}

#[test]
fn an_undecided_request_keeps_its_connection_and_its_process() {
    let mut harness = Harness::new();
    let (tracked, unanswered) = (harness.dispatcher.tracked_count(), harness.dispatcher.unanswered_count());
    assert_eq!(harness.dispatcher.idle_connection(), Some(VIEWERS), "nothing is open on it");
    let message = |body| Message { session: 0xabc, body };
    harness.receive(VIEWERS, message(Body::SetUp(set_up_of("free"))), harness.now);
    assert_eq!(
        (harness.dispatcher.tracked_count(), harness.dispatcher.unanswered_count()),
        (tracked + 1, unanswered + 1)
    );
    harness.dispatcher.close_idle_connection();
    harness.perform_effects();
    assert!(
        harness.dispatcher.idle_connection().is_none() && harness.close_if_idle.is_empty(),
        "it is not idle"
    );
    harness.receive(VIEWERS, message(Body::release(cause::NORMAL)), harness.now);
    assert_eq!(
        (harness.dispatcher.tracked_count(), harness.dispatcher.idle_connection()),
        (tracked, Some(VIEWERS))
    );
}

/// A new connection that needs a descriptor closes one idle connection, not several.
#[test]
fn one_idle_connection_is_closed_at_a_time() {
    let mut harness = Harness::new();
    (2..40).for_each(|conn| harness.dispatcher.on_viewer_connected(harness.now, conn));
    let busy = 2;
    harness.request_on(busy, set_up_of("free"));
    for _ in 0..8 {
        harness.dispatcher.close_idle_connection();
    }
    harness.perform_effects();
    assert_eq!(harness.close_if_idle.len(), 1, "{:?}", harness.close_if_idle);
    assert_ne!(harness.close_if_idle[0].0, busy);
}

/// A harness with one streamer, at which a request's first attempt got no answer and its second one is open: the
/// session, and the link of the second attempt.
fn with_a_second_attempt_at_the_same_streamer(class: &str) -> (Harness, u64, u64) {
    let mut harness = Harness::new();
    let others = (1..STREAMERS).map(|at| list_entry(at, "terminating")).collect();
    harness.apply_list_update(&ListUpdate { full: false, streamers: others });
    let session = harness.request(class);
    harness.advance(0.5);
    assert_eq!(order_of(&harness, session), [true, false, true], "the release of the first is read");
    let (link, _) = harness.last_attempt(session).expect("it was sent");
    (harness, session, link)
}

/// Seed 15 of the soak: the first attempt had set up the session and its answer was lost, and its streamer repeated its
/// release on the connection of the second attempt.
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
fn a_message_about_the_first_attempt_does_not_prove_a_given_up_second_one_over() {
    for message in [Body::release(cause::NORMAL), Body::release(cause::FAILED), Body::Acknowledged] {
        let (mut harness, session, link) = with_a_second_attempt_at_the_same_streamer("free");
        harness.unread_links = [link].into();
        harness.advance(0.5);
        let given_up = [true, false, true, false];
        assert_eq!(order_of(&harness, session), given_up);
        harness.streamer_sends_on(link, session, message.clone());
        harness.advance(0.05);
        let is_decided =
            |harness: &Harness| harness.final_answer(session).is_some() || harness.attempt_count(session) > 2;
        assert!(!is_decided(&harness), "{message:?}: the second may still be out");
        harness.streamer_reads(link);
        assert!(is_decided(&harness), "{message:?}");
    }
}

/// The release may concern the first attempt, so the session that the second one set up is released at its streamer
/// too.
#[test]
fn a_release_that_may_be_of_an_earlier_attempt_leaves_no_session() {
    let (mut harness, session, link) = with_a_second_attempt_at_the_same_streamer("free");
    harness.streamer_answers(session);
    harness.streamer_sends_on(link, session, Body::release(cause::NORMAL));
    assert!(matches!(
        harness.messages_to_viewer(session)[..],
        [_, Body::Release { cause: cause::NORMAL, .. }]
    ));
    assert_eq!((harness.release_count(session), harness.dispatcher.tracked_count()), (2, 0));
    let (session, _) = harness.start_session("free");
    harness.streamer_releases(session, cause::NORMAL);
    assert_eq!(harness.release_count(session), 0, "the release of a first attempt is its own");
}

/// A streamer repeats its release on the next connection, where it would be taken for the end of a set-up with the same
/// number.
#[test]
fn a_number_is_not_accepted_again_while_its_streamer_may_still_release_it() {
    let mut harness = Harness::new();
    let (session, _) = harness.start_session("free");
    harness.streamer_releases(session, cause::NORMAL);
    harness.dispatcher.on_viewer_connected(harness.now, 2);
    harness.viewer_sends(2, session, Body::SetUp(set_up_of("free")));
    assert_eq!(harness.attempt_count(session), 1);
    assert!(
        matches!(harness.sent_to_viewers.last(), Some((2, Message { body: Body::Release { .. }, .. }))),
        "refused"
    );
    harness.advance(8.2);
    harness.viewer_sends(2, session, Body::SetUp(set_up_of("free")));
    assert_eq!(harness.attempt_count(session), 2, "its streamer does not release it any more");
}

/// A set-up got no answer on a connection, so this end closes its half; the release of another session is on its way
/// there.
#[test]
fn a_release_on_a_connection_that_is_being_closed_is_handled() {
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
    harness.dispatcher.on_streamer_message(
        harness.now,
        on,
        Message { session, body: Body::release(cause::NORMAL) },
    );
    harness.perform_effects();
    assert!(matches!(
        harness.messages_to_viewer(session)[..],
        [_, Body::Release { cause: cause::NORMAL, .. }]
    ));
    harness.complete_closes(true);
    harness.dispatcher.on_streamer_message(
        harness.now,
        on,
        Message { session: 99, body: Body::release(cause::NORMAL) },
    );
}

/// The answer of an attempt may be lost with its connection, and its request gets no other attempt: the session that it
/// may have set up is released on the next connection that is up.
#[test]
fn the_possible_session_of_a_failed_request_is_released_on_another_connection() {
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
        harness.lose_connection(link, ConnectionLoss::Disconnected);
        harness.unread_links.clear();
        harness.advance(0.5);
        assert_eq!(
            (harness.attempt_count(session), harness.release_count(session)),
            (1, before + 1),
            "leaves: {leaves}"
        );
        harness.advance(2.0);
        assert_eq!(harness.release_count(session), before + 1, "leaves: {leaves}, sent only once");
    }
}
