//! Issue 57, case 10: clients hand over sessions that no streamer knows, far more than a controller has.

mod common;

use common::{answer, set_up, RunningController};
use lemontide_platform::codec::{cause, Body, Message};
use lemontide_standin::stub_platform::PlatformConnection;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// More than the 4,096 requests and sessions that a controller holds.
const HAND_OVERS: u64 = 6000;
/// So many of them can be held while their streamer has not confirmed them: half of its 300 streams.
const MAX_UNCONFIRMED: usize = 150;
const FIRST_HAND_OVER: u64 = 1000;
const REQUEST: u64 = 1;
/// The time for all hand-overs to be decided, one in each turn of the loop.
const DECIDED_WITHIN: Duration = Duration::from_secs(10);

/// Sends the hand-overs and reads what the controller has to say to each, until this many are released.
async fn hand_over(mut client: PlatformConnection, refused: usize) -> HashSet<u64> {
    for session in FIRST_HAND_OVER..FIRST_HAND_OVER + HAND_OVERS {
        client.send(session, set_up("free", Some("s0"))).await.expect("sent");
    }
    let mut released = HashSet::new();
    while released.len() < refused {
        let Ok(Message { session, body }) = client.receive().await else { break };
        assert_eq!(body, Body::release(cause::FAILED));
        released.insert(session);
    }
    released
}

/// Guards against hand-overs that fill the memory, or take every place for usual requests (review/10).
#[tokio::test]
async fn usual_requests_are_served_beside_hand_overs_that_no_streamer_knows() {
    let mut controller = RunningController::start(1, |_| {}).await;
    let client = controller.viewer().await;
    let refused = HAND_OVERS as usize - MAX_UNCONFIRMED;
    let handing_over = tokio::spawn(hand_over(client, refused));
    let started_at = Instant::now();
    while !handing_over.is_finished() && started_at.elapsed() < DECIDED_WITHIN {
        // The streamer passes its tests meanwhile.
        controller.next_message_within(Duration::from_millis(10)).await;
    }
    let is_told = handing_over.is_finished();
    let mut viewer = controller.viewer().await;
    viewer.send(REQUEST, set_up("free", None)).await.expect("sent");
    let sent = controller.next_message().await;
    let (at, connection, message) = sent.expect("the request of a usual client is sent to a streamer");
    assert_eq!(message.session, REQUEST);
    controller.streamer_sends((at, connection), REQUEST, answer()).await;
    assert_eq!(viewer.receive().await.expect("answered").body, answer());
    assert!(is_told, "told in time");
    let released = handing_over.await.expect("a task");
    assert_eq!(released.len(), refused, "hand-overs without room are refused, and their client is told");
}
