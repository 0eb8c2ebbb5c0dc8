//! Two events that cross, in the dispatcher: every pair in an order that is forced, in virtual time.

mod common;

use common::{entry, wish, World, STREAMERS, VIEWERS};
use lemontide_front::core::Connection;
use lemontide_platform::codec::{cause, Body, Message, SessionReport, SetUp};
use lemontide_platform::config::ListUpdate;
use lemontide_platform::dispatcher::Loss;
use lemontide_platform::replies::Departure;

/// All of the session's set-ups and releases as they were written: true for a set-up.
fn order_of(world: &World, session: u64) -> Vec<bool> {
    let of = world.written.iter().filter(|(_, message)| message.session == session);
    of.filter_map(|(_, message)| match message.body {
        Body::SetUp(_) => Some(true),
        Body::Release { .. } => Some(false),
        _ => None,
    })
    .collect()
}

/// A world in which connections to all streamers are up and one more set-up waits in a batch on each.
fn with_slow_connections(world: &mut World) {
    for at in 0..STREAMERS {
        for _ in 0..40 {
            if world.address.values().any(|address| *address == entry(at, "").address) {
                break;
            }
            world.playing("free");
        }
    }
    world.slow = world.dials.keys().copied().collect();
}

#[test]
fn what_waits_in_a_batch_is_not_written_once_its_viewer_left() {
    for closes in [true, false] {
        let mut world = World::new();
        with_slow_connections(&mut world);
        let session = world.ask("paid");
        assert!(!world.batches.is_empty(), "it waits to be written");
        match closes {
            true => world.dispatcher.viewer_gone(world.now, VIEWERS, Departure::Closed),
            false => world.say(VIEWERS, session, Body::release(cause::NORMAL)),
        }
        world.perform();
        world.catch_up();
        assert!(order_of(&world, session).is_empty(), "nothing of it left, and nothing has to be given up");
    }
}

#[test]
fn what_waits_in_a_batch_is_not_written_once_its_streamer_drains() {
    let mut world = World::new();
    with_slow_connections(&mut world);
    let session = world.ask("paid");
    let servers = (0..STREAMERS).map(|at| entry(at, "terminating")).collect();
    world.learn(&ListUpdate { full: false, streamers: servers });
    assert_eq!(world.answered(session), Some(cause::REJECTED), "it provably never ran");
    world.catch_up();
    assert!(order_of(&world, session).is_empty());
}

/// A paid set-up whose connection broke before it was written may be sent again; one that was written may not.
#[test]
fn a_connection_lost_under_a_batch_proves_what_was_not_written() {
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
        world.loses(link, Loss::Broke);
        let failed = written.then_some(cause::FAILED);
        assert_eq!((world.answered(session), world.shots(session)), (failed, 1), "written: {written}");
    }
}

/// The word that gives up an attempt waits behind a batch, and then unread at its streamer; the next attempt begins
/// when the streamer passes the test behind it, and no sooner.
#[test]
fn the_next_attempt_leaves_only_after_the_end_of_the_last_is_read() {
    let mut world = World::new();
    let session = world.ask("free");
    let (link, _) = world.shot(session).expect("it was sent");
    // Another set-up on the same connection is being written when the first is given up.
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
    assert_eq!(order_of(&world, session), [true], "given up, but nobody can know it yet");
    world.unread = [link].into();
    world.catch_up();
    assert_eq!(order_of(&world, session), [true, false], "written, and not read");
    world.pass(0.1);
    assert_eq!(order_of(&world, session), [true, false]);
    world.reads(link);
    assert_eq!(order_of(&world, session), [true, false, true]);
}

/// A connection that is closed by this end proves nothing of what its streamer has read; nor does the streamer's close
/// prove that the session does not stand: the end goes to it on another connection, and must be read there.
#[test]
fn the_next_attempt_leaves_only_after_the_end_of_one_on_a_closed_connection_is_read_elsewhere() {
    for by_streamer in [false, true] {
        let mut world = World::new();
        let session = world.ask("free");
        let (link, _) = world.shot(session).expect("it was sent");
        world.late_close = true;
        let at: usize = world.address[&link][10..].parse::<usize>().expect("a port") - 9000;
        let mut moved = entry(at, "in_service");
        moved.address = "127.0.0.1:9999".into();
        world.news(moved);
        assert_eq!((world.hung.clone(), order_of(&world, session)), (vec![link], vec![true]));
        assert!(world.closing[0].1, "its streamer's close is awaited");
        world.pass(0.5);
        assert_eq!(order_of(&world, session), [true]);
        world.unread = (0..1000).collect();
        world.close_all(by_streamer);
        world.pass(0.2);
        let words = if by_streamer { vec![true, false] } else { vec![true] };
        assert_eq!(order_of(&world, session), words, "closed by its streamer: {by_streamer}");
        let links: Vec<u64> = world.dials.keys().copied().collect();
        links.into_iter().for_each(|link| world.reads(link));
        let words = if by_streamer { vec![true, false, true] } else { vec![true] };
        assert_eq!(order_of(&world, session), words, "closed by its streamer: {by_streamer}");
    }
}

/// The process of an attempt is gone: its connection is closed, and it refuses others or the list says so.
#[test]
fn the_next_attempt_leaves_when_the_process_of_the_last_is_gone() {
    for is_listed in [true, false] {
        let mut world = World::new();
        let session = world.ask("free");
        let (link, _) = world.shot(session).expect("it was sent");
        let address = world.address[&link].clone();
        let at: usize = address[10..].parse::<usize>().expect("a port") - 9000;
        if is_listed {
            world.away.insert(address, Loss::Refused);
        } else {
            world.news(entry(at, "terminated"));
        }
        world.loses(link, Loss::Broke);
        world.pass(0.3);
        assert_eq!(order_of(&world, session), [true, true], "listed: {is_listed}");
    }
}

/// A streamer acknowledges the end, or says how the attempt ended: no test is needed.
#[test]
fn the_next_attempt_leaves_when_the_streamer_says_that_the_last_is_over() {
    for word in [Body::Acknowledged, Body::release(cause::FAILED)] {
        let mut world = World::new();
        let session = world.ask("free");
        let (link, _) = world.shot(session).expect("it was sent");
        world.unread = [link].into();
        world.pass(0.46);
        assert_eq!(order_of(&world, session), [true, false]);
        world.tell_on(link, session, word);
        assert_eq!(order_of(&world, session), [true, false, true]);
    }
}

/// A streamer that stays silent gets no second attempt and its request none elsewhere, and one answer by its deadline;
/// a later set-up under the same number is refused while the attempt may be out.
#[test]
fn a_silent_streamer_ends_a_request_without_another_attempt() {
    let mut world = World::new();
    let session = world.ask("free");
    let (link, _) = world.shot(session).expect("it was sent");
    world.away.insert(world.address[&link].clone(), Loss::Dark);
    world.pass(3.0);
    assert_eq!((world.shots(session), world.answered(session)), (1, Some(cause::REJECTED)));
    world.dispatcher.viewer_up(world.now, 2);
    world.say(2, session, Body::SetUp(wish("free")));
    assert_eq!(world.shots(session), 1, "its attempt may still be out");
    assert!(matches!(world.heard(session)[..], [_, Body::Release { cause: cause::INVALID, .. }]));
}

/// Rungs of a subscription go over one connection while it is up, in order, whatever connection carries least.
#[test]
fn rungs_follow_each_other_on_one_connection() {
    let mut world = World::new();
    let (session, link) = world.playing("free");
    // Others wait there, so that further connections are opened and carry less.
    for second in 0..60 {
        if second % 2 == 0 {
            world.ask("paid");
        }
        world.tell_on(
            link,
            session,
            Body::SessionReport(SessionReport::LinkUtilization(if second % 20 < 10 { 0.1 } else { 3.0 })),
        );
        world.pass(1.0);
    }
    let rungs = world.written.iter().filter(|(_, m)| m.session == session && matches!(m.body, Body::Rung(_)));
    let on: Vec<u64> = rungs.map(|(link, _)| *link).collect();
    assert!(on.len() > 1 && on.iter().all(|other| *other == link), "on {link}: {on:?}");
}

/// Whatever never closes must not hold a request for ever.
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

/// The viewer ends what plays, and the connection goes before the word for its streamer is written.
#[test]
fn the_end_of_a_stream_is_sent_again_where_its_connection_goes_first() {
    let mut world = World::new();
    let (session, link) = world.playing("free");
    world.slow = [link].into();
    world.say(VIEWERS, session, Body::release(cause::NORMAL));
    assert_eq!(order_of(&world, session), [true], "it waits to be written");
    world.batches.clear();
    world.slow.clear();
    world.loses(link, Loss::Broke);
    world.pass(1.0);
    assert_eq!(order_of(&world, session), [true, false], "once, on the next connection");
}

/// The end of a stream was written, and its connection went before the streamer read it.
#[test]
fn the_end_of_a_stream_is_sent_again_until_its_streamer_has_read_it() {
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
            world.tell_on(link, session, Body::Acknowledged);
        }
        world.loses(link, Loss::Broke);
        world.unread.clear();
        world.pass(0.5);
        let words = if read { vec![true, false] } else { vec![true, false, false] };
        assert_eq!(order_of(&world, session), words, "read: {read}");
    }
}

/// A client ends its stream and asks again under the same number: nothing may begin before the end is read.
#[test]
fn a_number_whose_stream_may_still_stand_is_refused() {
    let mut world = World::new();
    let (session, link) = world.playing("free");
    world.unread = [link].into();
    world.say(VIEWERS, session, Body::release(cause::NORMAL));
    world.dispatcher.viewer_up(world.now, 2);
    world.say(2, session, Body::SetUp(wish("free")));
    assert_eq!(order_of(&world, session), [true, false], "its stream may still stand");
    assert!(matches!(world.heard(session)[..], [_, Body::Release { cause: cause::INVALID, .. }]));
    world.tell_on(link, session, Body::Acknowledged);
    world.unread.clear();
    for (conn, wait, is_taken) in [(3, 0.0, false), (4, 7.9, false), (5, 0.2, true)] {
        world.pass(wait);
        world.dispatcher.viewer_up(world.now, conn);
        world.say(conn, session, Body::SetUp(wish("free")));
        assert_eq!(world.shots(session) == 2, is_taken, "{wait} s later");
    }
}

/// Set-ups wait for a dial; half of their viewers leave, and then it comes up.
#[test]
fn what_waits_for_a_dial_is_not_sent_once_its_viewer_left() {
    let mut world = World::new();
    world.stuck = true;
    let asked: Vec<u64> = (0..40).map(|_| world.ask("paid")).collect();
    assert!(asked.iter().all(|session| order_of(&world, *session).is_empty()), "all wait");
    for session in asked.iter().step_by(2) {
        world.say(VIEWERS, *session, Body::release(cause::NORMAL));
    }
    for (link, dial) in world.dials.clone() {
        world.dispatcher.linked(world.now, Connection { link, dial });
    }
    world.perform();
    for (n, session) in asked.iter().enumerate() {
        assert_eq!(world.shots(*session), n % 2, "number {n}");
    }
}

#[test]
fn who_cancels_or_closes_in_the_moment_of_asking_is_not_sent_on() {
    for closes in [true, false] {
        let mut world = World::new();
        let (asks, session) = (Body::SetUp(wish("free")), 0xabc);
        let message = |body| Message { session, body };
        world.hears(VIEWERS, message(asks), world.now);
        match closes {
            true => world.dispatcher.viewer_gone(world.now, VIEWERS, Departure::Closed),
            false => world.hears(VIEWERS, message(Body::release(cause::NORMAL)), world.now),
        }
        assert!(!world.dispatcher.decide(world.now), "nothing is left to decide");
        world.perform();
        assert!(order_of(&world, session).is_empty() && world.said.is_empty());
        assert_eq!(world.dispatcher.in_hand(), 0);
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
    assert!(world.dispatcher.decide(world.now));
    world.perform();
    let mut sent_on = world.written.iter().filter(|(_, message)| message.session == session);
    let Some((_, Message { body: Body::SetUp(set_up), .. })) = sent_on.next() else {
        panic!("it is sent on")
    };
    assert!(set_up.wait_ms < 1000, "its streamer has {} ms", set_up.wait_ms);
}

#[test]
fn what_is_asked_and_not_decided_keeps_its_connection_and_its_process() {
    let mut world = World::new();
    let (in_hand, open) = (world.dispatcher.in_hand(), world.dispatcher.open());
    assert_eq!(world.dispatcher.spare(), Some(VIEWERS), "nothing is open on it");
    let message = |body| Message { session: 0xabc, body };
    world.hears(VIEWERS, message(Body::SetUp(wish("free"))), world.now);
    assert_eq!((world.dispatcher.in_hand(), world.dispatcher.open()), (in_hand + 1, open + 1));
    world.dispatcher.make_room();
    world.perform();
    assert!(world.dispatcher.spare().is_none() && world.retired.is_empty(), "it is not idle");
    world.hears(VIEWERS, message(Body::release(cause::NORMAL)), world.now);
    assert_eq!((world.dispatcher.in_hand(), world.dispatcher.spare()), (in_hand, Some(VIEWERS)));
}

/// A newcomer that needs a place takes the place of one idle connection, not of several.
#[test]
fn one_idle_connection_makes_room_at_a_time() {
    let mut world = World::new();
    (2..40).for_each(|conn| world.dispatcher.viewer_up(world.now, conn));
    let asks = 2;
    world.ask_on(asks, wish("free"));
    for _ in 0..8 {
        world.dispatcher.make_room();
    }
    world.perform();
    assert_eq!(world.retired.len(), 1, "{:?}", world.retired);
    assert_ne!(world.retired[0].0, asks);
}

/// A world with one streamer, at which a request's first attempt got no answer and its second one is out: its session and
/// the link of the second.
fn with_a_second_attempt_at_the_same_streamer(lane: &str) -> (World, u64, u64) {
    let mut world = World::new();
    let others = (1..STREAMERS).map(|at| entry(at, "terminating")).collect();
    world.learn(&ListUpdate { full: false, streamers: others });
    let session = world.ask(lane);
    world.pass(0.5);
    assert_eq!(order_of(&world, session), [true, false, true], "the end of the first is read");
    let (link, _) = world.shot(session).expect("it was sent");
    (world, session, link)
}

/// The soak's seed 15: the first attempt had stood with its answer lost, and its streamer said its release again on the
/// connection of the second.
#[test]
fn a_release_of_the_first_attempt_is_not_taken_for_the_end_of_the_second() {
    for why in [cause::NORMAL, cause::CANCELLED, cause::FAILED, 99] {
        let (mut world, session, link) = with_a_second_attempt_at_the_same_streamer("free");
        world.tell_on(link, session, Body::release(why));
        world.pass(0.02);
        assert_eq!(order_of(&world, session), [true, false, true], "cause {why}: the second may be out");
        world.answer(session);
        assert_eq!(world.answered(session), Some(0), "cause {why}");
    }
    for why in [cause::FULL, cause::ERROR, cause::NOT_SENT] {
        let (mut world, session, _) = with_a_second_attempt_at_the_same_streamer("free");
        world.ends(session, why);
        assert!(world.shots(session) > 2 || world.answered(session).is_some(), "cause {why} ends a set-up");
    }
}

#[test]
fn a_word_on_the_first_attempt_does_not_prove_the_second_over_that_was_given_up() {
    for word in [Body::release(cause::NORMAL), Body::release(cause::FAILED), Body::Acknowledged] {
        let (mut world, session, link) = with_a_second_attempt_at_the_same_streamer("free");
        world.unread = [link].into();
        world.pass(0.5);
        let given_up = [true, false, true, false];
        assert_eq!(order_of(&world, session), given_up);
        world.tell_on(link, session, word.clone());
        world.pass(0.05);
        let is_decided = |world: &World| world.answered(session).is_some() || world.shots(session) > 2;
        assert!(!is_decided(&world), "{word:?}: the second may still be out");
        world.reads(link);
        assert!(is_decided(&world), "{word:?}");
    }
}

/// The release may be that of the first attempt, so what the second set up is ended at its streamer too.
#[test]
fn a_release_that_may_be_of_an_earlier_attempt_leaves_nothing_standing() {
    let (mut world, session, link) = with_a_second_attempt_at_the_same_streamer("free");
    world.answer(session);
    world.tell_on(link, session, Body::release(cause::NORMAL));
    assert!(matches!(world.heard(session)[..], [_, Body::Release { cause: cause::NORMAL, .. }]));
    assert_eq!((world.released(session), world.dispatcher.in_hand()), (2, 0));
    let (session, _) = world.playing("free");
    world.ends(session, cause::NORMAL);
    assert_eq!(world.released(session), 0, "the release of a first attempt is its own");
}

/// A streamer says its release again on the next connection: a set-up under the same number would be taken for over.
#[test]
fn a_number_is_not_taken_again_while_its_streamer_may_still_release_it() {
    let mut world = World::new();
    let (session, _) = world.playing("free");
    world.ends(session, cause::NORMAL);
    world.dispatcher.viewer_up(world.now, 2);
    world.say(2, session, Body::SetUp(wish("free")));
    assert_eq!(world.shots(session), 1);
    assert!(matches!(world.said.last(), Some((2, Message { body: Body::Release { .. }, .. }))), "refused");
    world.pass(8.2);
    world.say(2, session, Body::SetUp(wish("free")));
    assert_eq!(world.shots(session), 2, "nothing more is said of it");
}

/// A set-up got no answer on a connection, so it is closed by half; the release of another session is on its way there.
#[test]
fn a_release_on_a_connection_that_is_being_closed_is_heard() {
    let mut world = World::new();
    let others = (1..STREAMERS).map(|at| entry(at, "terminating")).collect();
    world.learn(&ListUpdate { full: false, streamers: others });
    let (session, link) = world.playing("free");
    let on = world.on(link);
    world.ask("free");
    world.unread = [link].into();
    world.late_close = true;
    world.pass(1.1);
    assert_eq!(world.closing, [(on, true)], "the streamer's own close is awaited");
    world.dispatcher.told(world.now, on, Message { session, body: Body::release(cause::NORMAL) });
    world.perform();
    assert!(matches!(world.heard(session)[..], [_, Body::Release { cause: cause::NORMAL, .. }]));
    world.close_all(true);
    world.dispatcher.told(world.now, on, Message { session: 99, body: Body::release(cause::NORMAL) });
}

/// The answer of an attempt may be lost with its connection, and its request gets no other: what may stand is ended on
/// the next connection that is up.
#[test]
fn what_may_stand_of_a_failed_request_is_ended_on_another_connection() {
    for leaves in [true, false] {
        let mut world = World::new();
        let others = (1..STREAMERS).map(|at| entry(at, "terminating")).collect();
        world.learn(&ListUpdate { full: false, streamers: others });
        let (_, link) = world.playing("free");
        let session = world.ask("paid");
        if leaves {
            world.unread = [link].into();
            world.say(VIEWERS, session, Body::release(cause::NORMAL));
        }
        let before = world.released(session);
        world.loses(link, Loss::Broke);
        world.unread.clear();
        world.pass(0.5);
        assert_eq!((world.shots(session), world.released(session)), (1, before + 1), "leaves: {leaves}");
        world.pass(2.0);
        assert_eq!(world.released(session), before + 1, "leaves: {leaves}, and once is enough");
    }
}
