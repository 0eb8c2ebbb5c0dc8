//! Which connections are opened for streamers at which sessions play, in virtual time.

mod common;

use common::{list_entry, set_up_of, settings, Harness, STREAMERS};
use lemontide_platform::codec::SetUp;
use lemontide_platform::dispatcher::ConnectionLoss;

/// So few descriptors that three connections to streamers are allowed.
const FEW_DESCRIPTORS: usize = 9;
const MAX_CONNECTIONS: usize = 3;

/// A set-up of a title that one streamer alone holds.
fn set_up_at(streamer: usize) -> SetUp {
    let mut set_up = set_up_of("free");
    let details = set_up.details.as_mut().expect("some");
    (details.first_cell, details.replicas) = (streamer, 1);
    set_up.title = format!("t{streamer}");
    set_up
}

fn play_at(harness: &mut Harness, streamer: usize) -> (u64, u64) {
    let session = harness.request_on(common::VIEWERS, set_up_at(streamer));
    let link = harness.last_attempt(session).expect("sent").0;
    harness.streamer_answers(session);
    (session, link)
}

/// A harness with sessions on several connections to the first streamer; returns the links.
fn sessions_on_several_connections() -> (Harness, Vec<u64>) {
    let mut harness = Harness::new();
    let mut sessions = Vec::new();
    for _ in 0..4 {
        sessions.push(harness.request_on(common::VIEWERS, set_up_at(0)));
    }
    sessions.iter().for_each(|session| harness.streamer_answers(*session));
    let links: Vec<u64> = harness.last_dials.keys().copied().collect();
    assert!(links.len() > 1, "several connections");
    (harness, links)
}

/// Guards against a release that was on its way on a lost connection and is never heard, as its streamer sends it again
/// on the next connection alone (review/8).
#[test]
fn a_lost_connection_is_replaced_though_others_are_up() {
    let (mut harness, links) = sessions_on_several_connections();
    harness.advance(0.5);
    for (lost, link) in links.iter().enumerate() {
        let before = harness.dial_count(0);
        harness.lose_connection(*link, ConnectionLoss::Disconnected);
        harness.advance(0.5);
        assert_eq!(harness.dial_count(0), before + 1, "after {lost} others were lost");
    }
}

/// Each of several connections that are lost at once can have carried a release.
#[test]
fn every_connection_that_is_lost_at_once_is_followed_by_a_dial() {
    let (mut harness, links) = sessions_on_several_connections();
    harness.advance(0.5);
    let before = harness.dial_count(0);
    links.iter().for_each(|link| harness.lose_connection(*link, ConnectionLoss::Disconnected));
    let after_last = harness.dial_count(0);
    harness.advance(1.0);
    assert!(harness.dial_count(0) > before);
    assert!(after_last > before + links.len() - 2, "the last loss is followed by a dial, too");
}

/// Nothing is owed to a controller whose sessions there are over.
#[test]
fn a_lost_connection_is_not_replaced_where_nothing_plays() {
    let (mut harness, links) = sessions_on_several_connections();
    let sessions: Vec<u64> = harness.sent_to_viewers.iter().map(|(_, message)| message.session).collect();
    for session in sessions {
        harness.streamer_releases(session, lemontide_platform::codec::cause::NORMAL);
    }
    harness.advance(0.5);
    let before = harness.dial_count(0);
    harness.lose_connection(links[0], ConnectionLoss::Disconnected);
    harness.advance(2.0);
    assert_eq!(harness.dial_count(0), before);
}

/// Guards against a release that a streamer sent, after it had stood still, on a connection that was closed meanwhile:
/// the connection that was opened in its place had come up before.
#[test]
fn another_connection_is_opened_once_a_silent_streamer_passes_tests_again() {
    let mut harness = Harness::new();
    let (_, link) = play_at(&mut harness, 0);
    harness.unread_links.insert(link);
    harness.advance(4.0);
    let before = harness.dial_count(0);
    assert!(before > 1, "closed for its silence and dialled again");
    harness.streamer_reads(link);
    harness.advance(1.0);
    assert_eq!(harness.dial_count(0), before + 1);
    harness.advance(5.0);
    assert_eq!(harness.dial_count(0), before + 1, "and no more after it");
}

/// What can't be read may hide a release, and its streamer may send another one there until it notices the close.
#[test]
fn another_connection_is_opened_after_one_that_could_not_be_read() {
    let mut harness = Harness::new();
    let (_, link) = play_at(&mut harness, 0);
    harness.advance(0.5);
    let before = harness.dial_count(0);
    harness.lose_connection(link, ConnectionLoss::Unusable);
    harness.advance(2.0);
    assert_eq!(
        harness.dial_count(0),
        before + 2,
        "one in its place, and one after its streamer passed a test"
    );
}

/// A dispatcher whose connections are all used by sessions, with the links.
fn sessions_at_the_limit() -> (Harness, Vec<u64>) {
    let mut harness = Harness::with_descriptors(settings(), FEW_DESCRIPTORS);
    let links = (0..MAX_CONNECTIONS).map(|at| play_at(&mut harness, at).1).collect();
    harness.advance(0.5);
    (harness, links)
}

/// Guards against new set-ups that take the place of a connection that was reset: the sessions at its streamer would
/// end unheard (review/9).
#[test]
fn a_lost_connection_is_dialled_again_before_new_set_ups_take_its_place() {
    let (mut harness, links) = sessions_at_the_limit();
    let before = harness.dial_count(0);
    harness.lose_connection(links[0], ConnectionLoss::Disconnected);
    harness.request_on(common::VIEWERS, set_up_at(STREAMERS - 1));
    harness.advance(0.5);
    assert_eq!((harness.dial_count(0), harness.dial_count(STREAMERS - 1)), (before + 1, 0));
}

/// The same while dials fail: the place stays for the streamer at which sessions play.
#[test]
fn a_place_is_kept_for_a_streamer_with_sessions_while_its_dials_fail() {
    let (mut harness, links) = sessions_at_the_limit();
    let address = list_entry(0, "in_service").address;
    harness.unreachable.insert(address.clone(), ConnectionLoss::DialFailed);
    harness.lose_connection(links[0], ConnectionLoss::Disconnected);
    for _ in 0..8 {
        harness.request_on(common::VIEWERS, set_up_at(STREAMERS - 1));
        harness.advance(0.1);
    }
    harness.unreachable.remove(&address);
    let before = harness.dial_count(0);
    harness.advance(1.0);
    assert_eq!((harness.dial_count(0), harness.dial_count(STREAMERS - 1)), (before + 1, 0));
}

/// At the limit, set-ups go on to streamers that are connected, and to others once a place is free.
#[test]
fn set_ups_are_served_at_the_limit_of_connections() {
    let (mut harness, links) = sessions_at_the_limit();
    play_at(&mut harness, 1);
    let refused = harness.request_on(common::VIEWERS, set_up_at(STREAMERS - 1));
    assert!(Harness::is_rejection(harness.final_answer(refused).expect("told at once")));
    let (session, _) = harness.last_session_on(links[2]);
    harness.streamer_sends_on(
        links[2],
        session,
        lemontide_platform::codec::Body::release(lemontide_platform::codec::cause::NORMAL),
    );
    harness.advance(0.5);
    play_at(&mut harness, STREAMERS - 1);
}
