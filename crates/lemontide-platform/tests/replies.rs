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
    let take = |conn, session| replies.take(conn, request(session), now).reply.expect("a request");
    let (first, second, other) = (take(1, 1), take(1, 2), take(2, 3));
    assert_eq!((replies.open(), replies.open_on(1), replies.open_on(2)), (3, 2, 1));
    assert_eq!((replies.session_on(2), replies.session_on(3)), (Some(3), None));
    first.answered();
    other.client_gone(Departure::Closed);
    assert_eq!((replies.open(), replies.open_on(1), replies.open_on(2)), (1, 1, 0));
    second.answered();
    assert_eq!((replies.open(), replies.open_on(1)), (0, 0));
}

#[test]
fn a_request_is_overdue_from_its_cut_off_until_its_answer_is_handed_over() {
    let replies = Replies::default();
    let now = World::new().now;
    let heard = replies.take(1, Message { session: 7, body: Body::SetUp(wish("free")) }, now);
    let reply = heard.reply.expect("a request");
    let wait = Span::of(3.0);
    assert!(replies.overdue(now).is_empty());
    assert_eq!(replies.overdue(now + wait), [(1, 7)]);
    assert!(replies.overdue(now + wait).is_empty(), "it is told once");
    reply.set_due(now + wait + wait);
    assert!(replies.overdue(now + wait).is_empty());
    reply.hand();
    assert!(replies.overdue(now + wait + wait).is_empty(), "its connection has it");
    assert_eq!(replies.open(), 1, "it is not written yet");
    reply.answered();
}

#[test]
fn a_message_that_asks_for_nothing_is_owed_no_answer() {
    let replies = Replies::default();
    let now = World::new().now;
    for body in [Body::Test, Body::Acknowledged, Body::release(cause::NORMAL)] {
        assert!(replies.take(1, Message { session: 1, body }, now).reply.is_none());
    }
    assert_eq!(replies.open(), 0);
}

/// The answer is lost between the dispatcher and the connection.
#[test]
fn a_reply_that_is_dropped_is_answered_after_all() {
    let mut world = World::new();
    let session = world.ask("free");
    let link = world.shot(session).expect("it was sent").0;
    let answer = Body::Answer { description: "answered".into(), load: Default::default() };
    let on = world.on(link);
    world.dispatcher.told(world.now, on, Message { session, body: answer });
    let is_answer =
        |effect: &Effect| matches!(effect, Effect::Say { message, .. } if message.session == session);
    world.dispatcher.effects.retain(|effect| !is_answer(effect));
    world.perform();
    assert_eq!((world.heard(session).len(), world.dispatcher.replies().open()), (0, 1));
    world.pass(0.2);
    assert_eq!(world.answered(session), Some(cause::FAILED));
    assert_eq!(world.dispatcher.replies().open(), 0);
}

#[test]
fn a_request_whose_connection_takes_no_more_input_gets_no_other_attempt_and_one_answer() {
    for why in [InputEnd::HalfClosed, InputEnd::Unusable] {
        let mut world = World::new();
        let session = world.ask("free");
        world.dispatcher.input_over(world.now, VIEWERS, why);
        world.perform();
        match why {
            // The client may still wait for the attempt that is out.
            InputEnd::HalfClosed => world.ends(session, cause::NOT_SENT),
            InputEnd::Unusable => assert_eq!(world.released(session), 1, "it is given up"),
        }
        world.pass(4.0);
        assert_eq!(world.shots(session), 1, "{why:?}");
        assert!(world.answered(session).is_some_and(World::is_refusal), "{why:?}: it may be repeated");
        assert_eq!(world.dispatcher.replies().open(), 0);
    }
}

#[test]
fn a_client_that_closed_its_half_is_served_by_the_attempt_that_is_out() {
    let mut world = World::new();
    let session = world.ask("paid");
    world.dispatcher.input_over(world.now, VIEWERS, InputEnd::HalfClosed);
    world.answer(session);
    assert_eq!(world.answered(session), Some(0));
}

#[test]
fn what_may_have_run_and_may_not_be_repeated_is_failed_and_not_refused() {
    let mut world = World::new();
    let session = world.ask("paid");
    world.dispatcher.input_over(world.now, VIEWERS, InputEnd::Unusable);
    world.perform();
    assert_eq!(world.answered(session), Some(cause::FAILED));
}

#[test]
fn what_is_asked_and_not_decided_as_the_input_ends_is_refused() {
    let mut world = World::new();
    let session = 0xabc;
    world.hears(VIEWERS, Message { session, body: Body::SetUp(wish("paid")) }, world.now);
    world.dispatcher.input_over(world.now, VIEWERS, InputEnd::HalfClosed);
    while world.dispatcher.decide(world.now) {}
    // Read before the input ended, and reported after it.
    let late = 0xabd;
    world.say(VIEWERS, late, Body::SetUp(wish("paid")));
    world.perform();
    assert_eq!((world.answered(session), world.shots(session)), (Some(cause::REJECTED), 0));
    assert_eq!((world.answered(late), world.shots(late)), (Some(cause::REJECTED), 0));
}

/// A hand-over asks for no answer, so the end of its connection takes nothing from it.
#[test]
fn what_is_handed_over_on_a_connection_that_closes_is_taken_over() {
    for closes in [true, false] {
        let mut world = World::new();
        let mut stands = wish("free");
        let figures = stands.details.as_mut().expect("there are some");
        figures.playing_at = Some("s1".to_owned());
        world.hears(VIEWERS, Message { session: 7, body: Body::SetUp(stands) }, world.now);
        match closes {
            true => world.dispatcher.viewer_gone(world.now, VIEWERS, Departure::Closed),
            false => world.dispatcher.input_over(world.now, VIEWERS, InputEnd::HalfClosed),
        }
        while world.dispatcher.decide(world.now) {}
        assert_eq!(world.dispatcher.in_hand(), 1, "closed whole: {closes}");
    }
}
