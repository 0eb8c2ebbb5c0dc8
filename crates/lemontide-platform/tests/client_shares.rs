//! What clients make a controller keep, and who is refused when there is much of it, in virtual time.

mod common;

use bytes::Bytes;
use common::{set_up_of, Harness, VIEWERS};
use lemontide_platform::codec::{cause, SetUp};

/// Clients that take as much as they can, each on a connection of its own.
const GREEDY_CLIENTS: u64 = 300;
const FIRST_GREEDY: u64 = 1000;
/// As many requests as one connection can have in hand.
const REQUESTS_EACH: usize = 64;

/// A usable request, nearly as long as a message can be.
fn large_set_up(number: usize) -> SetUp {
    SetUp {
        title: format!("{number}").repeat(2000),
        description: Bytes::from(vec![0; 6000]),
        ..set_up_of("free")
    }
}

/// Guards against requests in hand that fill the memory, and against usual clients that are refused for them: no
/// streamer answers, so that all requests stay in hand.
#[test]
fn large_requests_of_many_clients_leave_room_for_usual_ones() {
    let mut harness = Harness::new();
    let mut accepted_bytes = 0;
    for client in FIRST_GREEDY..FIRST_GREEDY + GREEDY_CLIENTS {
        harness.dispatcher.on_viewer_connected(harness.now, client);
        for number in 0..REQUESTS_EACH {
            let set_up = large_set_up(number);
            let length = set_up.title.len() + set_up.description.len();
            let session = harness.request_on(client, set_up);
            match harness.final_answer(session) {
                None => accepted_bytes += length,
                why => assert_eq!(why, Some(cause::REJECTED), "a refusal is told"),
            }
        }
    }
    assert!(accepted_bytes < 4 * 1024 * 1024, "{accepted_bytes} bytes in hand");
    let usual = harness.request_on(VIEWERS, set_up_of("free"));
    assert_eq!(harness.final_answer(usual), None, "a usual request is taken");
}

/// Guards against one client whose sessions take all places.
#[test]
fn the_sessions_of_one_client_leave_room_for_others() {
    const SESSIONS: usize = 6000;
    let mut harness = Harness::new();
    harness.dispatcher.on_viewer_connected(harness.now, FIRST_GREEDY);
    for _ in 0..SESSIONS {
        let session = harness.request_on(FIRST_GREEDY, set_up_of("free"));
        if harness.final_answer(session).is_none() {
            harness.streamer_answers(session);
        }
    }
    let taken = harness.dispatcher.tracked_count();
    assert!(taken > SESSIONS / 2, "{taken}");
    let (usual, _) = harness.start_session("free");
    assert_eq!(harness.final_answer(usual), Some(0), "a usual request is served beside {taken} sessions");
}

/// What ended is given back.
#[test]
fn places_are_free_again_when_sessions_end() {
    let mut harness = Harness::new();
    for _ in 0..5000 {
        let (session, _) = harness.start_session("free");
        harness.streamer_releases(session, cause::NORMAL);
    }
    assert_eq!(harness.dispatcher.tracked_count(), 0);
}
