//! Which viewers' connection carries the release of a session whose own connection has ended, in virtual time.

mod common;

use common::{set_up_of, Harness, VIEWERS};
use lemontide_platform::codec::{cause, Body, Message};
use lemontide_platform::replies::Departure;
use lemontide_platform::viewers::Outgoing;

const FIRST: u64 = 2;
const SECOND: u64 = 3;

/// A harness with an ended session whose own connection is gone.
fn ended_session() -> (Harness, u64) {
    let mut harness = Harness::new();
    let (session, _) = harness.start_session("free");
    harness.dispatcher.on_viewer_gone(harness.now, VIEWERS, Departure::Closed);
    harness.streamer_releases(session, cause::NORMAL);
    (harness, session)
}

fn connect(harness: &mut Harness, connection_id: u64) {
    harness.dispatcher.on_viewer_connected(harness.now, connection_id);
    harness.perform_effects();
}

/// A viewer's connection on which a test is passed.
fn connect_and_test(harness: &mut Harness, connection_id: u64) {
    connect(harness, connection_id);
    harness.viewer_sends(connection_id, 1, Body::Test);
}

/// The connections on which the session was released, in order.
fn released_on(harness: &Harness, session: u64) -> Vec<u64> {
    let is_release =
        |(_, m): &&(u64, Message)| m.session == session && matches!(m.body, Body::Release { .. });
    harness.sent_to_viewers.iter().filter(is_release).map(|(connection_id, _)| *connection_id).collect()
}

/// A connection ends without its client having read the release.
fn return_release(harness: &mut Harness, connection_id: u64, session: u64) {
    let message = Message { session, body: Body::release(cause::NORMAL) };
    let unread = Outgoing { message, ends_session: true, reply: None, steps: None };
    harness.dispatcher.on_viewer_gone(harness.now, connection_id, Departure::Closed);
    harness.dispatcher.on_unsent(harness.now, connection_id, vec![unread]);
    harness.perform_effects();
}

/// Guards against a release that is thrown away because no viewer connects for long.
#[test]
fn a_release_waits_for_a_connection_as_long_as_there_is_none() {
    let (mut harness, session) = ended_session();
    harness.advance(60.0);
    assert!(harness.dispatcher.owes_release());
    connect_and_test(&mut harness, FIRST);
    assert_eq!(released_on(&harness, session), [FIRST]);
    assert!(!harness.dispatcher.owes_release());
}

/// Silent clients and those that send what can't be used are no viewers.
#[test]
fn a_release_is_not_sent_to_a_client_that_sent_nothing_valid() {
    let (mut harness, session) = ended_session();
    connect(&mut harness, FIRST);
    let mut unusable = set_up_of("free");
    unusable.class = "none".into();
    harness.request_on(FIRST, unusable);
    harness.advance(1.0);
    assert_eq!(released_on(&harness, session), [0; 0]);
}

/// Guards against a release that only a client that is no viewer has got.
#[test]
fn a_release_is_sent_again_on_other_connections_until_one_is_certain_to_be_a_viewers() {
    let (mut harness, session) = ended_session();
    connect_and_test(&mut harness, FIRST);
    connect(&mut harness, SECOND);
    let request = harness.request_on(SECOND, set_up_of("free"));
    assert_eq!(released_on(&harness, session), [FIRST, SECOND]);
    harness.streamer_answers(request);
    harness.advance(1.0);
    assert_eq!(released_on(&harness, session), [FIRST, SECOND], "once on each connection");
    connect_and_test(&mut harness, 4);
    assert_eq!(released_on(&harness, session), [FIRST, SECOND], "the second is certain now");
}

/// Guards against a release that goes to a client whose set-ups are refused over and over, while a viewer that sent
/// only a test gets none (soak seeds 51022 and 51044).
#[test]
fn a_release_is_sent_on_every_connection_that_may_be_a_viewers() {
    let (mut harness, session) = ended_session();
    harness.dispatcher.on_viewer_connected(harness.now, VIEWERS);
    let (other_session, _) = harness.start_session("free");
    connect(&mut harness, FIRST);
    harness.request_on(FIRST, set_up_of("free"));
    connect_and_test(&mut harness, SECOND);
    assert_eq!(released_on(&harness, session), [VIEWERS], "one is certain");
    harness.dispatcher.on_viewer_gone(harness.now, VIEWERS, Departure::Closed);
    harness.streamer_releases(other_session, cause::NORMAL);
    assert_eq!(released_on(&harness, other_session), [FIRST, SECOND]);
    const THIRD: u64 = 4;
    connect_and_test(&mut harness, THIRD);
    assert_eq!(released_on(&harness, other_session), [FIRST, SECOND, THIRD]);
}

#[test]
fn a_release_that_its_client_has_read_is_not_sent_again() {
    for read in [Body::Acknowledged, Body::release(cause::NORMAL)] {
        let (mut harness, session) = ended_session();
        connect_and_test(&mut harness, FIRST);
        harness.viewer_sends(FIRST, session, read);
        connect(&mut harness, SECOND);
        let request = harness.request_on(SECOND, set_up_of("free"));
        harness.streamer_answers(request);
        assert_eq!(released_on(&harness, session), [FIRST]);
    }
}

/// Guards against a release that is lost with a connection that carried no session either.
#[test]
fn a_release_that_comes_back_is_sent_on_the_next_connection() {
    let (mut harness, session) = ended_session();
    connect_and_test(&mut harness, FIRST);
    return_release(&mut harness, FIRST, session);
    assert!(harness.dispatcher.owes_release());
    harness.advance(10.0);
    connect_and_test(&mut harness, SECOND);
    assert_eq!(released_on(&harness, session), [FIRST, SECOND]);
}

/// A late report of the first connection must not cause a third release.
#[test]
fn a_release_that_was_sent_on_another_connection_since_does_not_come_back() {
    let (mut harness, session) = ended_session();
    connect_and_test(&mut harness, FIRST);
    connect(&mut harness, SECOND);
    harness.request_on(SECOND, set_up_of("free"));
    return_release(&mut harness, FIRST, session);
    assert_eq!(released_on(&harness, session), [FIRST, SECOND]);
}

/// A hand-over comes from a viewer, too.
#[test]
fn a_connection_that_carried_only_hand_overs_carries_releases() {
    let (mut harness, session) = ended_session();
    connect(&mut harness, FIRST);
    let mut handed_over = set_up_of("free");
    handed_over.details.as_mut().expect("some").playing_at = Some("s1".into());
    harness.viewer_sends(FIRST, 7, Body::SetUp(handed_over));
    assert_eq!(released_on(&harness, session), [FIRST]);
}

/// Guards against a session that is adopted after its end, and then stands for ever.
#[test]
fn a_session_that_ended_while_its_hand_over_was_on_the_way_is_not_adopted() {
    let mut harness = Harness::new();
    let (session, _) = harness.start_session("free");
    harness.streamer_releases(session, cause::NORMAL);
    let mut handed_over = set_up_of("free");
    handed_over.details.as_mut().expect("some").playing_at = Some("s1".into());
    harness.viewer_sends(VIEWERS, session, Body::SetUp(handed_over));
    assert_eq!((harness.dispatcher.tracked_count(), released_on(&harness, session).len()), (0, 1));
}

/// A client that closed its half may have closed the other half as well.
#[test]
fn a_release_goes_to_a_connection_that_still_takes_input_first() {
    let (mut harness, _) = ended_session();
    connect_and_test(&mut harness, FIRST);
    connect(&mut harness, SECOND);
    let session = harness.request_on(SECOND, set_up_of("free"));
    harness.streamer_answers(session);
    let open = harness.request_on(SECOND, set_up_of("free"));
    harness.dispatcher.close_when_answered(harness.now, SECOND);
    harness.streamer_releases(session, cause::NORMAL);
    assert_eq!(released_on(&harness, session), [FIRST]);
    assert!(harness.final_answer(open).is_some());
}

/// Guards against a release that is forgotten 8 s after it was first sent, though the connection that is certain to be
/// a viewer's got it just before and then returns it.
#[test]
fn a_release_that_comes_back_long_after_it_was_first_sent_is_sent_again() {
    const THIRD: u64 = 4;
    let (mut harness, session) = ended_session();
    connect_and_test(&mut harness, FIRST);
    harness.advance(7.5);
    connect(&mut harness, SECOND);
    let request = harness.request_on(SECOND, set_up_of("free"));
    harness.streamer_answers(request);
    harness.advance(1.0);
    return_release(&mut harness, SECOND, session);
    connect_and_test(&mut harness, THIRD);
    assert_eq!(released_on(&harness, session), [FIRST, SECOND, THIRD]);
}
