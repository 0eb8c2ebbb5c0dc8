//! Sessions that clients hand over, and that their streamers may not know, in virtual time.

mod common;

use common::{set_up_of, Harness, STREAMERS, VIEWERS};
use lemontide_platform::codec::{cause, Body, Message, SessionReport, SetUp};
use lemontide_platform::replies::Departure;

/// More than a dispatcher tracks.
const FLOOD: u64 = 5000;
/// So many hand-overs that the streamer has not confirmed are held: half of its 3,000 streams.
const MAX_UNCONFIRMED: usize = 1500;
/// The same for all streamers together: half of what a dispatcher tracks.
const MAX_UNCONFIRMED_IN_ALL: usize = 2048;
const BAD_CLIENT: u64 = 9;
const NEXT: u64 = 10;
const FIRST_CLAIM: u64 = 100_000;

fn handed_over(streamer: &str) -> SetUp {
    let mut set_up = set_up_of("free");
    set_up.details.as_mut().expect("some").playing_at = Some(streamer.into());
    set_up
}

fn connect_bad_client(harness: &mut Harness) {
    harness.dispatcher.on_viewer_connected(harness.now, BAD_CLIENT);
}

fn flood(harness: &mut Harness, streamer: &str) {
    connect_bad_client(harness);
    for session in FIRST_CLAIM..FIRST_CLAIM + FLOOD {
        harness.viewer_sends(BAD_CLIENT, session, Body::SetUp(handed_over(streamer)));
    }
}

/// Guards against hand-overs that take every place, and against a refusal that is not told.
#[test]
fn hand_overs_that_no_streamer_confirms_leave_room_for_requests() {
    let mut harness = Harness::new();
    flood(&mut harness, "s1");
    assert_eq!(harness.dispatcher.tracked_count(), MAX_UNCONFIRMED);
    let told = harness.sent_to_viewers.iter().filter(|(conn, _)| *conn == BAD_CLIENT).count();
    assert_eq!(told, FLOOD as usize - MAX_UNCONFIRMED);
    let (session, _) = harness.start_session("free");
    assert_eq!(harness.final_answer(session), Some(0), "a usual request is served");
}

/// Guards against hand-overs at many streamers that take every place together.
#[test]
fn hand_overs_at_several_streamers_leave_room_for_requests() {
    let mut harness = Harness::new();
    connect_bad_client(&mut harness);
    for session in FIRST_CLAIM..FIRST_CLAIM + FLOOD {
        let streamer = format!("s{}", session % STREAMERS as u64);
        harness.viewer_sends(BAD_CLIENT, session, Body::SetUp(handed_over(&streamer)));
    }
    assert_eq!(harness.dispatcher.tracked_count(), MAX_UNCONFIRMED_IN_ALL);
    let (session, _) = harness.start_session("free");
    assert_eq!(harness.final_answer(session), Some(0), "a usual request is served");
}

/// What a streamer has spoken of is no claim any more, and takes no place from other hand-overs.
#[test]
fn a_hand_over_that_its_streamer_has_confirmed_does_not_count() {
    let mut harness = Harness::new();
    harness.viewer_sends(VIEWERS, 1, Body::SetUp(handed_over("s1")));
    harness.advance(0.3);
    let link = *harness.last_dials.keys().last().expect("dialled");
    harness.streamer_sends_on(link, 1, Body::SessionReport(SessionReport::Rung(0)));
    flood(&mut harness, "s1");
    assert_eq!(harness.dispatcher.tracked_count(), MAX_UNCONFIRMED + 1);
}

/// Guards against a release of a session that is displaced by releases of sessions that clients have named: its client
/// would never be told.
#[test]
fn claims_of_clients_displace_no_release_of_a_session() {
    let mut harness = Harness::new();
    let (session, _) = harness.start_session("free");
    harness.dispatcher.on_viewer_gone(harness.now, VIEWERS, Departure::Closed);
    harness.streamer_releases(session, cause::NORMAL);
    flood(&mut harness, "unlisted");
    harness.dispatcher.on_viewer_gone(harness.now, BAD_CLIENT, Departure::Closed);
    harness.dispatcher.on_viewer_connected(harness.now, NEXT);
    harness.viewer_sends(NEXT, 1, Body::Test);
    let is_told = |(conn, m): &(u64, Message)| *conn == NEXT && m.session == session;
    assert!(harness.sent_to_viewers.iter().any(is_told), "the client of the session is told");
}

/// Guards against an end that a streamer has reported and that clients displace by ending sessions that nobody knows:
/// the session would be adopted after its end, and stand for ever.
#[test]
fn ends_that_clients_report_displace_none_that_streamers_reported() {
    let mut harness = Harness::new();
    let (playing, link) = harness.start_session("free");
    harness.streamer_sends_on(link, playing + 1, Body::release(cause::NORMAL));
    connect_bad_client(&mut harness);
    for session in FIRST_CLAIM..FIRST_CLAIM + FLOOD {
        harness.viewer_sends(BAD_CLIENT, session, Body::release(cause::NORMAL));
    }
    harness.viewer_sends(VIEWERS, playing + 1, Body::SetUp(handed_over("s1")));
    assert_eq!(harness.dispatcher.tracked_count(), 1, "only the session that plays");
}

/// Guards against ends of many sessions at one streamer that fill its queue: its connection would be closed under the
/// set-ups on it.
#[test]
fn ends_of_many_sessions_at_once_close_no_connection() {
    const SESSIONS: u64 = 1400;
    let mut harness = Harness::new();
    connect_bad_client(&mut harness);
    for session in FIRST_CLAIM..FIRST_CLAIM + SESSIONS {
        harness.viewer_sends(BAD_CLIENT, session, Body::SetUp(handed_over("s1")));
    }
    harness.advance(0.3);
    let link = *harness.last_dials.keys().last().expect("dialled");
    harness.stalled.insert(link);
    for session in FIRST_CLAIM..FIRST_CLAIM + SESSIONS {
        harness.viewer_sends(BAD_CLIENT, session, Body::release(cause::NORMAL));
    }
    assert!(harness.closed_links.is_empty(), "closed {:?}", harness.closed_links);
}
