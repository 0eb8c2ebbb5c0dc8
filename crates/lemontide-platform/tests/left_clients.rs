//! Requests of clients that leave and come again, in virtual time.

mod common;

use common::{set_up_of, Harness};
use lemontide_platform::codec::{cause, Body};
use lemontide_platform::replies::Departure;

const LEAVING: u64 = 2;
const AGAIN: u64 = 3;
const FLOOD: u64 = 4;

/// Guards against a request that runs twice: its client has left while it ran, many others have ended since, and it
/// comes again under the same number.
#[test]
fn a_number_is_refused_while_it_may_still_run_however_many_sessions_have_ended_since() {
    const ENDED: u64 = 8300;
    let mut harness = Harness::new();
    harness.dispatcher.on_viewer_connected(harness.now, LEAVING);
    let session = harness.request_on(LEAVING, set_up_of("paid"));
    assert_eq!(harness.attempt_count(session), 1);
    harness.dispatcher.on_viewer_gone(harness.now, LEAVING, Departure::Closed);
    harness.dispatcher.on_viewer_connected(harness.now, FLOOD);
    for _ in 0..ENDED {
        let other = harness.request_on(FLOOD, set_up_of("free"));
        harness.viewer_sends(FLOOD, other, Body::release(cause::NORMAL));
    }
    harness.dispatcher.on_viewer_connected(harness.now, AGAIN);
    harness.viewer_sends(AGAIN, session, Body::SetUp(set_up_of("paid")));
    assert_eq!(harness.attempt_count(session), 1, "it does not run again");
    assert_eq!(harness.final_answer(session), Some(cause::INVALID), "and its client is told");
}
