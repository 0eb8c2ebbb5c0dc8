//! The one answer that each request is owed, in the dispatcher and in virtual time.

mod common;

use common::{set_up_of, Harness, VIEWERS};
use lemontide::clock::Span;
use lemontide_platform::codec::{cause, Body, Message};
use lemontide_platform::dispatcher::{Effect, InputEnd};
use lemontide_platform::replies::{Departure, Replies};

#[test]
fn a_request_is_open_until_it_is_answered_or_its_client_is_gone() {
    let replies = Replies::default();
    let now = Harness::new().now;
    let request = |session| Message { session, body: Body::SetUp(set_up_of("free")) };
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
    let now = Harness::new().now;
    let received = replies.register(1, Message { session: 7, body: Body::SetUp(set_up_of("free")) }, now);
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
    let now = Harness::new().now;
    for body in [Body::Test, Body::Acknowledged, Body::release(cause::NORMAL)] {
        assert!(replies.register(1, Message { session: 1, body }, now).reply.is_none());
    }
    assert_eq!(replies.open_count(), 0);
}

/// The answer is lost between the dispatcher and the connection.
#[test]
fn a_reply_that_is_dropped_is_answered_after_all() {
    let mut harness = Harness::new();
    let session = harness.request("free");
    let link = harness.last_attempt(session).expect("it was sent").0;
    let answer = Body::Answer { description: "answered".into(), load: Default::default() };
    let on = harness.current_connection(link);
    harness.dispatcher.on_streamer_message(harness.now, on, Message { session, body: answer });
    let is_answer = |effect: &Effect| matches!(effect, Effect::SendToViewer { message, .. } if message.session == session);
    harness.dispatcher.effects.retain(|effect| !is_answer(effect));
    harness.perform_effects();
    assert_eq!(
        (harness.messages_to_viewer(session).len(), harness.dispatcher.replies().open_count()),
        (0, 1)
    );
    harness.advance(0.2);
    assert_eq!(harness.final_answer(session), Some(cause::FAILED));
    assert_eq!(harness.dispatcher.replies().open_count(), 0);
}

#[test]
fn a_request_whose_connection_takes_no_more_input_gets_no_other_attempt_and_one_answer() {
    for why in [InputEnd::HalfClosed, InputEnd::Unusable] {
        let mut harness = Harness::new();
        let session = harness.request("free");
        harness.dispatcher.on_input_end(harness.now, VIEWERS, why);
        harness.perform_effects();
        match why {
            // The client may still wait for the open attempt.
            InputEnd::HalfClosed => harness.streamer_releases(session, cause::NOT_SENT),
            InputEnd::Unusable => assert_eq!(harness.release_count(session), 1, "it is given up"),
        }
        harness.advance(4.0);
        assert_eq!(harness.attempt_count(session), 1, "{why:?}");
        assert!(
            harness.final_answer(session).is_some_and(Harness::is_rejection),
            "{why:?}: it may be repeated"
        );
        assert_eq!(harness.dispatcher.replies().open_count(), 0);
    }
}

#[test]
fn a_client_that_closed_its_half_is_served_by_the_attempt_that_is_out() {
    let mut harness = Harness::new();
    let session = harness.request("paid");
    harness.dispatcher.on_input_end(harness.now, VIEWERS, InputEnd::HalfClosed);
    harness.streamer_answers(session);
    assert_eq!(harness.final_answer(session), Some(0));
}

#[test]
fn an_at_most_once_request_that_may_have_run_fails_and_is_not_rejected() {
    let mut harness = Harness::new();
    let session = harness.request("paid");
    harness.dispatcher.on_input_end(harness.now, VIEWERS, InputEnd::Unusable);
    harness.perform_effects();
    assert_eq!(harness.final_answer(session), Some(cause::FAILED));
}

#[test]
fn an_undecided_request_is_rejected_when_the_input_ends() {
    let mut harness = Harness::new();
    let session = 0xabc;
    harness.receive(VIEWERS, Message { session, body: Body::SetUp(set_up_of("paid")) }, harness.now);
    harness.dispatcher.on_input_end(harness.now, VIEWERS, InputEnd::HalfClosed);
    while harness.dispatcher.decide_next(harness.now) {}
    // Read before the input ended, and passed to the dispatcher after it.
    let late = 0xabd;
    harness.viewer_sends(VIEWERS, late, Body::SetUp(set_up_of("paid")));
    harness.perform_effects();
    assert_eq!((harness.final_answer(session), harness.attempt_count(session)), (Some(cause::REJECTED), 0));
    assert_eq!((harness.final_answer(late), harness.attempt_count(late)), (Some(cause::REJECTED), 0));
}

/// A hand-over is owed no answer, so it stays valid when its connection ends.
#[test]
fn a_hand_over_on_a_connection_that_closes_is_adopted() {
    for closes in [true, false] {
        let mut harness = Harness::new();
        let mut handed_over = set_up_of("free");
        let figures = handed_over.details.as_mut().expect("there are some");
        figures.playing_at = Some("s1".to_owned());
        harness.receive(VIEWERS, Message { session: 7, body: Body::SetUp(handed_over) }, harness.now);
        match closes {
            true => harness.dispatcher.on_viewer_gone(harness.now, VIEWERS, Departure::Closed),
            false => harness.dispatcher.on_input_end(harness.now, VIEWERS, InputEnd::HalfClosed),
        }
        while harness.dispatcher.decide_next(harness.now) {}
        assert_eq!(harness.dispatcher.tracked_count(), 1, "both halves closed: {closes}");
    }
}
