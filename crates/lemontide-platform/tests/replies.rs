//! The one answer that each request is owed, in the dispatcher and in virtual time.

mod common;

use common::{wish, World, VIEWERS};
use lemontide::clock::Span;
use lemontide_platform::codec::{cause, Body, Message};
use lemontide_platform::dispatcher::{Effect, InputEnd};
use lemontide_platform::replies::{Departure, Replies};

#[test]
fn a_request_is_open_until_it_is_answered_or_its_client_is_gone() {
    let replies = Replies::default();
    let now = World::new().now;
    let request = |session| Message { session, body: Body::SetUp(wish("free")) };
    let take = |conn, session| replies.register(conn, request(session), now).reply.expect("a request");
    let (first, second, other) = (take(1, 1), take(1, 2), take(2, 3));
    assert_eq!((replies.open_count(), replies.open_count_on(1), replies.open_count_on(2)), (3, 2, 1));
    assert_eq!((replies.session_on(2), replies.session_on(3)), (Some(3), None));
    first.answered();
    other.client_gone(Departure::Closed);
    assert_eq!((replies.open_count(), replies.open_count_on(1), replies.open_count_on(2)), (1, 1, 0));
    second.answered();
    assert_eq!((replies.open_count(), replies.open_count_on(1)), (0, 0));
}

#[test]
fn a_request_is_overdue_from_its_deadline_until_its_answer_is_queued() {
    let replies = Replies::default();
    let now = World::new().now;
    let received = replies.register(1, Message { session: 7, body: Body::SetUp(wish("free")) }, now);
    let reply = received.reply.expect("a request");
    let wait = Span::of(3.0);
    assert!(replies.take_overdue(now).is_empty());
    assert_eq!(replies.take_overdue(now + wait), [(1, 7)]);
    assert!(replies.take_overdue(now + wait).is_empty(), "it is reported once");
    reply.set_answer_due(now + wait + wait);
    assert!(replies.take_overdue(now + wait).is_empty());
    reply.mark_queued();
    assert!(replies.take_overdue(now + wait + wait).is_empty(), "its connection has the answer");
    assert_eq!(replies.open_count(), 1, "it is not written yet");
    reply.answered();
}

#[test]
fn a_message_that_is_no_request_is_owed_no_answer() {
    let replies = Replies::default();
    let now = World::new().now;
    for body in [Body::Test, Body::Heard, Body::release(cause::NORMAL)] {
        assert!(replies.register(1, Message { session: 1, body }, now).reply.is_none());
    }
    assert_eq!(replies.open_count(), 0);
}

/// The answer is lost between the dispatcher and the connection.
#[test]
fn a_reply_that_is_dropped_is_answered_after_all() {
    let mut world = World::new();
    let session = world.ask("free");
    let link = world.shot(session).expect("it was sent").0;
    let answer = Body::Answer { description: "answered".into(), load: Default::default() };
    let on = world.on(link);
    world.dispatcher.on_streamer_message(world.now, on, Message { session, body: answer });
    let is_answer = |effect: &Effect| matches!(effect, Effect::SendToViewer { message, .. } if message.session == session);
    world.dispatcher.effects.retain(|effect| !is_answer(effect));
    world.perform();
    assert_eq!((world.heard(session).len(), world.dispatcher.replies().open_count()), (0, 1));
    world.pass(0.2);
    assert_eq!(world.answered(session), Some(cause::BROKEN));
    assert_eq!(world.dispatcher.replies().open_count(), 0);
}

#[test]
fn a_request_whose_connection_takes_no_more_input_gets_no_other_attempt_and_one_answer() {
    for why in [InputEnd::HalfClosed, InputEnd::Unusable] {
        let mut world = World::new();
        let session = world.ask("free");
        world.dispatcher.on_input_end(world.now, VIEWERS, why);
        world.perform();
        match why {
            // The client may still wait for the attempt that is out.
            InputEnd::HalfClosed => world.ends(session, cause::MOOT),
            InputEnd::Unusable => assert_eq!(world.released(session), 1, "it is given up"),
        }
        world.pass(4.0);
        assert_eq!(world.shots(session), 1, "{why:?}");
        assert!(world.answered(session).is_some_and(World::is_refusal), "{why:?}: it may be repeated");
        assert_eq!(world.dispatcher.replies().open_count(), 0);
    }
}

#[test]
fn a_client_that_closed_its_half_is_served_by_the_attempt_that_is_out() {
    let mut world = World::new();
    let session = world.ask("paid");
    world.dispatcher.on_input_end(world.now, VIEWERS, InputEnd::HalfClosed);
    world.answer(session);
    assert_eq!(world.answered(session), Some(0));
}

#[test]
fn an_at_most_once_request_that_may_have_run_fails_and_is_not_rejected() {
    let mut world = World::new();
    let session = world.ask("paid");
    world.dispatcher.on_input_end(world.now, VIEWERS, InputEnd::Unusable);
    world.perform();
    assert_eq!(world.answered(session), Some(cause::BROKEN));
}

#[test]
fn an_undecided_request_is_rejected_when_the_input_ends() {
    let mut world = World::new();
    let session = 0xabc;
    world.hears(VIEWERS, Message { session, body: Body::SetUp(wish("paid")) }, world.now);
    world.dispatcher.on_input_end(world.now, VIEWERS, InputEnd::HalfClosed);
    while world.dispatcher.decide_next(world.now) {}
    // Read before the input ended, and passed to the dispatcher after it.
    let late = 0xabd;
    world.say(VIEWERS, late, Body::SetUp(wish("paid")));
    world.perform();
    assert_eq!((world.answered(session), world.shots(session)), (Some(cause::TURNED_BACK), 0));
    assert_eq!((world.answered(late), world.shots(late)), (Some(cause::TURNED_BACK), 0));
}

/// A hand-over is owed no answer, so it stays valid when its connection ends.
#[test]
fn a_hand_over_on_a_connection_that_closes_is_adopted() {
    for closes in [true, false] {
        let mut world = World::new();
        let mut handed_over = wish("free");
        let figures = handed_over.figures.as_mut().expect("there are some");
        figures.at = Some("s1".to_owned());
        world.hears(VIEWERS, Message { session: 7, body: Body::SetUp(handed_over) }, world.now);
        match closes {
            true => world.dispatcher.on_viewer_gone(world.now, VIEWERS, Departure::Closed),
            false => world.dispatcher.on_input_end(world.now, VIEWERS, InputEnd::HalfClosed),
        }
        while world.dispatcher.decide_next(world.now) {}
        assert_eq!(world.dispatcher.tracked_count(), 1, "both halves closed: {closes}");
    }
}
