//! Pairs of events that cross in the dispatcher, each in a forced order in virtual time.

mod common;

use common::{entry, wish, World, STREAMERS, VIEWERS};
use lemontide_front::core::Connection;
use lemontide_platform::codec::{cause, Body, Message, Note, SetUp};
use lemontide_platform::config::Hosts;
use lemontide_platform::dispatcher::ConnectionLoss;
use lemontide_platform::replies::Departure;

/// The session's set-ups and releases in the order in which they were written: true for a set-up.
fn order_of(world: &World, session: u64) -> Vec<bool> {
    let of = world.written.iter().filter(|(_, message)| message.session == session);
    of.filter_map(|(_, message)| match message.body {
        Body::SetUp(_) => Some(true),
        Body::Release { .. } => Some(false),
        _ => None,
    })
    .collect()
}

/// Brings up connections to all streamers, which from now on take nothing: what is sent waits in a batch on each.
fn with_slow_connections(world: &mut World) {
    for at in 0..STREAMERS {
        for _ in 0..40 {
            if world.address.values().any(|address| *address == entry(at, "").addr) {
                break;
            }
            world.playing("free");
        }
    }
    world.slow = world.dials.keys().copied().collect();
}

#[test]
fn a_set_up_in_a_batch_is_not_written_once_its_viewer_left() {
    for closes in [true, false] {
        let mut world = World::new();
        with_slow_connections(&mut world);
        let session = world.ask("paid");
        assert!(!world.batches.is_empty(), "it waits to be written");
        match closes {
            true => world.dispatcher.on_viewer_gone(world.now, VIEWERS, Departure::Closed),
            false => world.say(VIEWERS, session, Body::release(cause::NORMAL)),
        }
        world.perform();
        world.catch_up();
        assert!(
            order_of(&world, session).is_empty(),
            "nothing of it was written, so nothing has to be released"
        );
    }
}

#[test]
fn a_set_up_in_a_batch_is_not_written_once_its_streamer_drains() {
    let mut world = World::new();
    with_slow_connections(&mut world);
    let session = world.ask("paid");
    let servers = (0..STREAMERS).map(|at| entry(at, "terminating")).collect();
    world.learn(&Hosts { full: false, servers });
    assert_eq!(world.answered(session), Some(cause::TURNED_BACK), "it provably never ran");
    world.catch_up();
    assert!(order_of(&world, session).is_empty());
}

/// A set-up of an at-most-once class whose connection broke before it was written may be sent again; one that was
/// written may not.
#[test]
fn a_connection_lost_before_its_batch_is_written_proves_that_attempts_never_ran() {
    for written in [false, true] {
        let mut world = World::new();
        with_slow_connections(&mut world);
        if written {
            world.slow.clear();
        }
        let session = world.ask("paid");
        let link = match world.batches.last() {
            Some(batch) => batch.0.link,
            None => world.shot(session).expect("it was written").0,
        };
        world.batches.clear();
        world.slow.clear();
        world.loses(link, ConnectionLoss::Disconnected);
        let failed = written.then_some(cause::BROKEN);
        assert_eq!((world.answered(session), world.shots(session)), (failed, 1), "written: {written}");
    }
}

/// The release of a given-up attempt waits behind a batch, and then unread at its streamer. The next attempt begins
/// when the streamer passes the test behind the release, and not before.
#[test]
fn the_next_attempt_is_sent_only_after_the_release_of_the_last_is_read() {
    let mut world = World::new();
    let session = world.ask("free");
    let (link, _) = world.shot(session).expect("it was sent");
    // Another set-up on the same connection is being written when the first attempt is given up.
    world.slow = [link].into();
    let title = SetUp { title: "t".into(), ..wish("free") };
    for _ in 0..40 {
        world.ask_on(VIEWERS, title.clone());
        if !world.batches.is_empty() {
            break;
        }
    }
    assert!(!world.batches.is_empty(), "a batch is being written there");
    world.pass(0.46);
    assert_eq!(order_of(&world, session), [true], "given up, and its release is not written yet");
    world.unread = [link].into();
    world.catch_up();
    assert_eq!(order_of(&world, session), [true, false], "written, and not read");
    world.pass(0.1);
    assert_eq!(order_of(&world, session), [true, false]);
    world.reads(link);
    assert_eq!(order_of(&world, session), [true, false, true]);
}

/// That this end closes a connection does not prove what its streamer has read, and the streamer's close does not prove
/// that the session is not established: the release goes to the streamer on another connection, and must be read there.
#[test]
fn after_a_closed_connection_the_next_attempt_waits_until_a_release_is_read_on_another() {
    for by_streamer in [false, true] {
        let mut world = World::new();
        let session = world.ask("free");
        let (link, _) = world.shot(session).expect("it was sent");
        world.late_close = true;
        let at: usize = world.address[&link][10..].parse::<usize>().expect("a port") - 9000;
        let mut moved = entry(at, "in_service");
        moved.addr = "127.0.0.1:9999".into();
        world.news(moved);
        assert_eq!((world.hung.clone(), order_of(&world, session)), (vec![link], vec![true]));
        assert!(world.closing[0].1, "its streamer's close is awaited");
        world.pass(0.5);
        assert_eq!(order_of(&world, session), [true]);
        world.unread = (0..1000).collect();
        world.close_all(by_streamer);
        world.pass(0.2);
        let expected = if by_streamer { vec![true, false] } else { vec![true] };
        assert_eq!(order_of(&world, session), expected, "closed by its streamer: {by_streamer}");
        let links: Vec<u64> = world.dials.keys().copied().collect();
        links.into_iter().for_each(|link| world.reads(link));
        let expected = if by_streamer { vec![true, false, true] } else { vec![true] };
        assert_eq!(order_of(&world, session), expected, "closed by its streamer: {by_streamer}");
    }
}

/// The process of an attempt is gone: its connection is closed, and new dials are refused or the list marks it as gone.
#[test]
fn the_next_attempt_is_sent_when_the_process_of_the_last_is_gone() {
    for is_listed in [true, false] {
        let mut world = World::new();
        let session = world.ask("free");
        let (link, _) = world.shot(session).expect("it was sent");
        let address = world.address[&link].clone();
        let at: usize = address[10..].parse::<usize>().expect("a port") - 9000;
        if is_listed {
            world.away.insert(address, ConnectionLoss::Refused);
        } else {
            world.news(entry(at, "terminated"));
        }
        world.loses(link, ConnectionLoss::Disconnected);
        world.pass(0.3);
        assert_eq!(order_of(&world, session), [true, true], "listed: {is_listed}");
    }
}

/// A streamer acknowledges the release, or releases the attempt itself: no test is needed.
#[test]
fn the_next_attempt_is_sent_when_the_streamer_ends_the_last() {
    for message in [Body::Heard, Body::release(cause::BROKEN)] {
        let mut world = World::new();
        let session = world.ask("free");
        let (link, _) = world.shot(session).expect("it was sent");
        world.unread = [link].into();
        world.pass(0.46);
        assert_eq!(order_of(&world, session), [true, false]);
        world.tell_on(link, session, message);
        assert_eq!(order_of(&world, session), [true, false, true]);
    }
}

/// A silent streamer gets no second attempt, its request gets none elsewhere, and the request is answered once by its
/// deadline. A later set-up with the same session number is refused while the attempt may be out.
#[test]
fn a_silent_streamer_ends_a_request_without_another_attempt() {
    let mut world = World::new();
    let session = world.ask("free");
    let (link, _) = world.shot(session).expect("it was sent");
    world.away.insert(world.address[&link].clone(), ConnectionLoss::DialFailed);
    world.pass(3.0);
    assert_eq!((world.shots(session), world.answered(session)), (1, Some(cause::TURNED_BACK)));
    world.dispatcher.on_viewer_connected(world.now, 2);
    world.say(2, session, Body::SetUp(wish("free")));
    assert_eq!(world.shots(session), 1, "its attempt may still be out");
    assert!(matches!(world.heard(session)[..], [_, Body::Release { cause: cause::UNUSABLE, .. }]));
}

/// Rung changes of a session go over one connection while it is up, so that they stay in order, whichever connection
/// has the fewest set-ups.
#[test]
fn rungs_follow_each_other_on_one_connection() {
    let mut world = World::new();
    let (session, link) = world.playing("free");
    // Other set-ups wait there, so that more connections are opened, which have fewer.
    for second in 0..60 {
        if second % 2 == 0 {
            world.ask("paid");
        }
        world.tell_on(link, session, Body::Note(Note::Link(if second % 20 < 10 { 0.1 } else { 3.0 })));
        world.pass(1.0);
    }
    let rungs = world.written.iter().filter(|(_, m)| m.session == session && matches!(m.body, Body::Rung(_)));
    let on: Vec<u64> = rungs.map(|(link, _)| *link).collect();
    assert!(on.len() > 1 && on.iter().all(|other| *other == link), "on {link}: {on:?}");
}

/// A connection that is never closed must not hold a request for ever.
#[test]
fn a_connection_that_is_never_closed_does_not_keep_a_request() {
    let mut world = World::new();
    let session = world.ask("free");
    let (link, _) = world.shot(session).expect("it was sent");
    world.late_close = true;
    world.slow = [link].into();
    world.pass(3.0);
    assert!(world.answered(session).is_some(), "one answer by its deadline");
}

/// The viewer ends its session, and the connection is lost before the release to the streamer is written.
#[test]
fn a_release_is_sent_again_if_its_connection_is_lost_before_it_is_written() {
    let mut world = World::new();
    let (session, link) = world.playing("free");
    world.slow = [link].into();
    world.say(VIEWERS, session, Body::release(cause::NORMAL));
    assert_eq!(order_of(&world, session), [true], "it waits to be written");
    world.batches.clear();
    world.slow.clear();
    world.loses(link, ConnectionLoss::Disconnected);
    world.pass(1.0);
    assert_eq!(order_of(&world, session), [true, false], "sent once, on the next connection");
}

/// The release of a session was written, and its connection was lost before the streamer read it.
#[test]
fn a_release_is_sent_again_until_its_streamer_has_read_it() {
    for read in [false, true] {
        let mut world = World::new();
        let (session, link) = world.playing("free");
        if !read {
            world.unread = [link].into();
        }
        world.say(VIEWERS, session, Body::release(cause::NORMAL));
        world.pass(1.5);
        assert_eq!(order_of(&world, session), [true, false], "written");
        if read {
            world.tell_on(link, session, Body::Heard);
        }
        world.loses(link, ConnectionLoss::Disconnected);
        world.unread.clear();
        world.pass(0.5);
        let expected = if read { vec![true, false] } else { vec![true, false, false] };
        assert_eq!(order_of(&world, session), expected, "read: {read}");
    }
}

/// A client ends its session and sends a request with the same number: no attempt may begin before the release is read.
#[test]
fn a_number_whose_session_may_still_play_is_refused() {
    let mut world = World::new();
    let (session, link) = world.playing("free");
    world.unread = [link].into();
    world.say(VIEWERS, session, Body::release(cause::NORMAL));
    world.dispatcher.on_viewer_connected(world.now, 2);
    world.say(2, session, Body::SetUp(wish("free")));
    assert_eq!(order_of(&world, session), [true, false], "its session may still play");
    assert!(matches!(world.heard(session)[..], [_, Body::Release { cause: cause::UNUSABLE, .. }]));
    world.tell_on(link, session, Body::Heard);
    world.unread.clear();
    for (conn, wait, is_accepted) in [(3, 0.0, false), (4, 7.9, false), (5, 0.2, true)] {
        world.pass(wait);
        world.dispatcher.on_viewer_connected(world.now, conn);
        world.say(conn, session, Body::SetUp(wish("free")));
        assert_eq!(world.shots(session) == 2, is_accepted, "{wait} s later");
    }
}

/// Set-ups wait for a dial, half of their viewers leave, and then the connection comes up.
#[test]
fn a_set_up_that_waits_for_a_dial_is_not_sent_once_its_viewer_left() {
    let mut world = World::new();
    world.stuck = true;
    let asked: Vec<u64> = (0..40).map(|_| world.ask("paid")).collect();
    assert!(asked.iter().all(|session| order_of(&world, *session).is_empty()), "all wait");
    for session in asked.iter().step_by(2) {
        world.say(VIEWERS, *session, Body::release(cause::NORMAL));
    }
    for (link, dial) in world.dials.clone() {
        world.dispatcher.on_connected(world.now, Connection { link, dial });
    }
    world.perform();
    for (index, session) in asked.iter().enumerate() {
        assert_eq!(world.shots(*session), index % 2, "number {index}");
    }
}

#[test]
fn a_request_cancelled_or_closed_at_the_same_moment_is_not_sent() {
    for closes in [true, false] {
        let mut world = World::new();
        let (request, session) = (Body::SetUp(wish("free")), 0xabc);
        let message = |body| Message { session, body };
        world.hears(VIEWERS, message(request), world.now);
        match closes {
            true => world.dispatcher.on_viewer_gone(world.now, VIEWERS, Departure::Closed),
            false => world.hears(VIEWERS, message(Body::release(cause::NORMAL)), world.now),
        }
        assert!(!world.dispatcher.decide_next(world.now), "nothing is left to decide");
        world.perform();
        assert!(order_of(&world, session).is_empty() && world.said.is_empty());
        assert_eq!(world.dispatcher.tracked_count(), 0);
    }
}

#[test]
fn the_time_of_a_request_runs_from_when_it_was_read() {
    let mut world = World::new();
    let (read, session) = (world.now, 0xabc);
    let message = Message { session, body: Body::SetUp(wish("paid")) };
    world.hears(VIEWERS, message, read);
    // It waits two of its three seconds for a decision.
    world.now = world.now + lemontide::clock::Span::of(2.0);
    assert!(world.dispatcher.decide_next(world.now));
    world.perform();
    let mut sent = world.written.iter().filter(|(_, message)| message.session == session);
    let Some((_, Message { body: Body::SetUp(set_up), .. })) = sent.next() else {
        panic!("it is sent to a streamer")
    };
    assert!(set_up.wait_ms < 1000, "its streamer has {} ms", set_up.wait_ms);
}

#[test]
fn an_undecided_request_keeps_its_connection_and_its_process() {
    let mut world = World::new();
    let (tracked, unanswered) = (world.dispatcher.tracked_count(), world.dispatcher.unanswered_count());
    assert_eq!(world.dispatcher.idle_connection(), Some(VIEWERS), "nothing is open on it");
    let message = |body| Message { session: 0xabc, body };
    world.hears(VIEWERS, message(Body::SetUp(wish("free"))), world.now);
    assert_eq!(
        (world.dispatcher.tracked_count(), world.dispatcher.unanswered_count()),
        (tracked + 1, unanswered + 1)
    );
    world.dispatcher.close_idle_connection();
    world.perform();
    assert!(world.dispatcher.idle_connection().is_none() && world.retired.is_empty(), "it is not idle");
    world.hears(VIEWERS, message(Body::release(cause::NORMAL)), world.now);
    assert_eq!(
        (world.dispatcher.tracked_count(), world.dispatcher.idle_connection()),
        (tracked, Some(VIEWERS))
    );
}

/// A new connection that needs a descriptor closes one idle connection, not several.
#[test]
fn one_idle_connection_is_closed_at_a_time() {
    let mut world = World::new();
    (2..40).for_each(|conn| world.dispatcher.on_viewer_connected(world.now, conn));
    let busy = 2;
    world.ask_on(busy, wish("free"));
    for _ in 0..8 {
        world.dispatcher.close_idle_connection();
    }
    world.perform();
    assert_eq!(world.retired.len(), 1, "{:?}", world.retired);
    assert_ne!(world.retired[0].0, busy);
}

/// A world with one streamer, at which a request's first attempt got no answer and its second one is out: the session,
/// and the link of the second attempt.
fn with_a_second_attempt_at_the_same_streamer(class: &str) -> (World, u64, u64) {
    let mut world = World::new();
    let others = (1..STREAMERS).map(|at| entry(at, "terminating")).collect();
    world.learn(&Hosts { full: false, servers: others });
    let session = world.ask(class);
    world.pass(0.5);
    assert_eq!(order_of(&world, session), [true, false, true], "the release of the first is read");
    let (link, _) = world.shot(session).expect("it was sent");
    (world, session, link)
}

/// Seed 15 of the soak: the first attempt had set up the session and its answer was lost, and its streamer repeated its
/// release on the connection of the second attempt.
#[test]
fn a_release_of_the_first_attempt_is_not_taken_for_the_end_of_the_second() {
    for why in [cause::NORMAL, cause::CANCELLED, cause::BROKEN, 99] {
        let (mut world, session, link) = with_a_second_attempt_at_the_same_streamer("free");
        world.tell_on(link, session, Body::release(why));
        world.pass(0.02);
        assert_eq!(order_of(&world, session), [true, false, true], "cause {why}: the second may be out");
        world.answer(session);
        assert_eq!(world.answered(session), Some(0), "cause {why}");
    }
    for why in [cause::FULL, cause::ERROR, cause::MOOT] {
        let (mut world, session, _) = with_a_second_attempt_at_the_same_streamer("free");
        world.ends(session, why);
        assert!(world.shots(session) > 2 || world.answered(session).is_some(), "cause {why} ends a set-up");
    }
}

#[test]
fn a_message_about_the_first_attempt_does_not_prove_a_given_up_second_one_over() {
    for message in [Body::release(cause::NORMAL), Body::release(cause::BROKEN), Body::Heard] {
        let (mut world, session, link) = with_a_second_attempt_at_the_same_streamer("free");
        world.unread = [link].into();
        world.pass(0.5);
        let given_up = [true, false, true, false];
        assert_eq!(order_of(&world, session), given_up);
        world.tell_on(link, session, message.clone());
        world.pass(0.05);
        let is_decided = |world: &World| world.answered(session).is_some() || world.shots(session) > 2;
        assert!(!is_decided(&world), "{message:?}: the second may still be out");
        world.reads(link);
        assert!(is_decided(&world), "{message:?}");
    }
}

/// The release may concern the first attempt, so the session that the second one set up is released at its streamer
/// too.
#[test]
fn a_release_that_may_be_of_an_earlier_attempt_leaves_no_session() {
    let (mut world, session, link) = with_a_second_attempt_at_the_same_streamer("free");
    world.answer(session);
    world.tell_on(link, session, Body::release(cause::NORMAL));
    assert!(matches!(world.heard(session)[..], [_, Body::Release { cause: cause::NORMAL, .. }]));
    assert_eq!((world.released(session), world.dispatcher.tracked_count()), (2, 0));
    let (session, _) = world.playing("free");
    world.ends(session, cause::NORMAL);
    assert_eq!(world.released(session), 0, "the release of a first attempt is its own");
}

/// A streamer repeats its release on the next connection, where it would be taken for the end of a set-up with the same
/// number.
#[test]
fn a_number_is_not_accepted_again_while_its_streamer_may_still_release_it() {
    let mut world = World::new();
    let (session, _) = world.playing("free");
    world.ends(session, cause::NORMAL);
    world.dispatcher.on_viewer_connected(world.now, 2);
    world.say(2, session, Body::SetUp(wish("free")));
    assert_eq!(world.shots(session), 1);
    assert!(matches!(world.said.last(), Some((2, Message { body: Body::Release { .. }, .. }))), "refused");
    world.pass(8.2);
    world.say(2, session, Body::SetUp(wish("free")));
    assert_eq!(world.shots(session), 2, "its streamer does not release it any more");
}

/// A set-up got no answer on a connection, so this end closes its half; the release of another session is on its way
/// there.
#[test]
fn a_release_on_a_connection_that_is_being_closed_is_handled() {
    let mut world = World::new();
    let others = (1..STREAMERS).map(|at| entry(at, "terminating")).collect();
    world.learn(&Hosts { full: false, servers: others });
    let (session, link) = world.playing("free");
    let on = world.on(link);
    world.ask("free");
    world.unread = [link].into();
    world.late_close = true;
    world.pass(1.1);
    assert_eq!(world.closing, [(on, true)], "the streamer's own close is awaited");
    world.dispatcher.on_streamer_message(
        world.now,
        on,
        Message { session, body: Body::release(cause::NORMAL) },
    );
    world.perform();
    assert!(matches!(world.heard(session)[..], [_, Body::Release { cause: cause::NORMAL, .. }]));
    world.close_all(true);
    world.dispatcher.on_streamer_message(
        world.now,
        on,
        Message { session: 99, body: Body::release(cause::NORMAL) },
    );
}

/// The answer of an attempt may be lost with its connection, and its request gets no other attempt: the session that it
/// may have set up is released on the next connection that is up.
#[test]
fn the_possible_session_of_a_failed_request_is_released_on_another_connection() {
    for leaves in [true, false] {
        let mut world = World::new();
        let others = (1..STREAMERS).map(|at| entry(at, "terminating")).collect();
        world.learn(&Hosts { full: false, servers: others });
        let (_, link) = world.playing("free");
        let session = world.ask("paid");
        if leaves {
            world.unread = [link].into();
            world.say(VIEWERS, session, Body::release(cause::NORMAL));
        }
        let before = world.released(session);
        world.loses(link, ConnectionLoss::Disconnected);
        world.unread.clear();
        world.pass(0.5);
        assert_eq!((world.shots(session), world.released(session)), (1, before + 1), "leaves: {leaves}");
        world.pass(2.0);
        assert_eq!(world.released(session), before + 1, "leaves: {leaves}, sent only once");
    }
}
