//! Issue 51, case 2: a session ends after the connection of its viewer has ended. A session belongs to no connection,
//! so its release must be sent on any other connection from viewers.

mod common;

use common::{answer, set_up, wait_for_test, RunningController};
use lemontide_platform::codec::{cause, Body};
use lemontide_standin::stub_platform::PlatformConnection;
use nix::sys::signal::Signal;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How soon a release must reach a viewer: the platform's time, and its allowance for each time limit.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1050);
const SESSION: u64 = 1;
const REFUSED_SESSION: u64 = 2;

/// A controller with a session that plays and whose viewer's connection has ended, and the streamer's connection.
async fn start_session_without_connection() -> (RunningController, (usize, usize)) {
    let mut controller = RunningController::start(1, |_| {}).await;
    let mut viewer = controller.viewer().await;
    viewer.send(SESSION, set_up("free", None)).await.expect("sent");
    let (at, connection, message) = controller.next_message().await.expect("sent on");
    assert_eq!(message.session, SESSION);
    controller.streamer_sends((at, connection), SESSION, answer()).await;
    assert_eq!(viewer.receive().await.expect("answered").body, answer());
    drop(viewer);
    // The connection rests and ends before anything else happens.
    sleep(Duration::from_millis(100)).await;
    (controller, (at, connection))
}

/// Whether this connection gets the release of the session in time.
async fn receives_release(viewer: &mut PlatformConnection) -> bool {
    let released = async {
        while let Ok(message) = viewer.receive().await {
            if message.session == SESSION {
                return message.body == Body::release(cause::NORMAL);
            }
        }
        false
    };
    timeout(RELEASE_TIMEOUT, released).await.unwrap_or(false)
}

/// Guards against a release that is kept back because every set-up on the connections that are open was refused.
#[tokio::test]
async fn a_release_is_sent_on_a_connection_whose_set_ups_were_refused() {
    let (mut controller, streamer) = start_session_without_connection().await;
    let mut other = controller.viewer().await;
    other.send(REFUSED_SESSION, set_up("free", None)).await.expect("sent");
    loop {
        tokio::select! {
            refused = other.receive() => {
                assert_eq!(refused.expect("refused").session, REFUSED_SESSION);
                break;
            }
            Some((at, connection, message)) = controller.next_message() => {
                controller.streamer_sends((at, connection), message.session, Body::release(cause::FULL)).await;
            }
        }
    }
    controller.streamer_sends(streamer, SESSION, Body::release(cause::NORMAL)).await;
    assert!(
        receives_release(&mut other).await,
        "a viewer's connection is open, and the release is not sent on it"
    );
}

/// Guards against a release that is kept back from a connection on which only tests were sent.
#[tokio::test]
async fn a_release_is_sent_on_a_connection_that_carried_only_tests() {
    let (mut controller, streamer) = start_session_without_connection().await;
    let mut other = controller.viewer().await;
    wait_for_test(&mut other).await;
    controller.streamer_sends(streamer, SESSION, Body::release(cause::NORMAL)).await;
    assert!(
        receives_release(&mut other).await,
        "a viewer's connection is open, and the release is not sent on it"
    );
}

/// Guards against a release that is not sent on the next connection because no session is set up on that.
#[tokio::test]
async fn a_release_that_found_no_connection_is_sent_on_the_next_one() {
    let (mut controller, streamer) = start_session_without_connection().await;
    controller.streamer_sends(streamer, SESSION, Body::release(cause::NORMAL)).await;
    sleep(Duration::from_millis(200)).await;
    let mut other = controller.viewer().await;
    other.send(u64::MAX, Body::Test).await.expect("sent");
    assert!(receives_release(&mut other).await, "the release is not sent on the next connection");
}

/// Guards against a stop that loses a release which waits for a connection: the process that takes the sessions over
/// doesn't know of it.
#[tokio::test]
async fn a_stopping_process_waits_for_a_connection_for_a_release() {
    let (mut controller, streamer) = start_session_without_connection().await;
    controller.streamer_sends(streamer, SESSION, Body::release(cause::NORMAL)).await;
    sleep(Duration::from_millis(100)).await;
    controller.signal(Signal::SIGTERM);
    // A process that has nothing to do ends 1.2 s after SIGTERM.
    sleep(Duration::from_millis(1800)).await;
    let mut other = PlatformConnection::connect(controller.listen).await.expect("the process still runs");
    other.send(u64::MAX, Body::Test).await.expect("sent");
    assert!(receives_release(&mut other).await, "the release is not sent before the process ends");
    assert!(controller.wait_for_exit().await.success());
}
