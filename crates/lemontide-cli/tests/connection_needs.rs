//! Issue 57, cases 8 and 9: a connection to a streamer at which sessions play is lost. Its streamer sends on the next
//! connection what was lost with it, so that one must be opened.

mod common;

use common::{answer, set_up, RunningController};
use lemontide_platform::codec::{cause, Body, Message};
use lemontide_standin::stub_platform::{BackgroundConnection, PlatformConnection};
use serde_json::json;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

/// How soon a lost connection is replaced.
const REDIAL_TIME: Duration = Duration::from_millis(1000);
/// How soon a release must reach a viewer: the platform's time, and its allowance for each time limit.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1050);
/// Set-ups at the same time, so that several connections are opened.
const AT_ONCE: u64 = 4;

/// Resets a connection, as its streamer does or the network.
fn reset(connection: PlatformConnection) {
    connection.into_socket().set_zero_linger().expect("set");
}

/// The next connection to a streamer, if one comes in time.
async fn next_connection(listener: &TcpListener) -> Option<PlatformConnection> {
    let accepted = timeout(REDIAL_TIME, listener.accept()).await.ok()?;
    Some(PlatformConnection::from_socket(accepted.expect("accepted").0))
}

async fn next_set_up(connection: &mut PlatformConnection) -> u64 {
    loop {
        let Message { session, body } = connection.receive().await.expect("a message");
        if matches!(body, Body::SetUp(_)) {
            return session;
        }
    }
}

/// Guards against a release that was on its way on a reset connection and is never heard, as others to the same
/// streamer are up and none is opened (review/8).
#[tokio::test]
async fn a_release_that_was_lost_with_one_of_several_connections_is_heard_on_the_next() {
    let controller = RunningController::start(1, |_| {}).await;
    let listener = &controller.streamers[0].listener;
    let mut viewer = controller.viewer().await;
    for session in 1..=AT_ONCE {
        viewer.send(session, set_up("free", None)).await.expect("sent");
    }
    let mut first = next_connection(listener).await.expect("dialled");
    let lost = next_set_up(&mut first).await;
    // The others come on this connection or on the next ones; none is answered before all are open.
    let mut others: Vec<BackgroundConnection> = Vec::new();
    while let Some(other) = next_connection(listener).await {
        others.push(other.into_background());
    }
    assert!(!others.is_empty(), "several connections are up");
    first.send(lost, answer()).await.expect("sent");
    assert_eq!(viewer.receive().await.expect("answered"), Message { session: lost, body: answer() });
    reset(first);
    let mut next = next_connection(listener).await.expect("a connection in place of the lost one");
    next.send(lost, Body::release(cause::NORMAL)).await.expect("sent");
    let released = async {
        loop {
            let message = viewer.receive().await.expect("received");
            if message == (Message { session: lost, body: Body::release(cause::NORMAL) }) {
                return;
            }
        }
    };
    timeout(RELEASE_TIMEOUT, released).await.expect("the viewer is told");
}

/// So few descriptors that a third of them is this number of connections to streamers.
const MAX_CONNECTIONS: usize = 16;
/// Set-ups that find no connection free when one is reset.
const WAITING_SET_UPS: u64 = 8;

/// A set-up of a title that the streamer in this cell alone holds.
fn set_up_in_cell(cell: usize) -> Body {
    let Body::SetUp(mut set_up) = set_up("free", None) else { unreachable!("a set-up") };
    set_up.title = format!("t{cell}");
    if let Some(details) = &mut set_up.details {
        details.first_cell = cell;
    }
    Body::SetUp(set_up)
}

/// Guards against new set-ups that take the place of a connection that was reset, so that nothing more is heard of the
/// sessions there (review/9).
#[tokio::test]
async fn a_reset_connection_is_dialled_again_before_new_set_ups_at_the_limit() {
    let mut controller = RunningController::start(MAX_CONNECTIONS + 1, |config| {
        config["limits"]["sockets"] = json!(MAX_CONNECTIONS * 3);
        config["settings"]["family_info"]["positions"] = json!(MAX_CONNECTIONS + 1);
        let servers = config["known"]["entries"][0]["hosts"]["servers"].as_array_mut().expect("a list");
        servers.iter_mut().enumerate().for_each(|(cell, server)| server["cell"] = json!(cell));
    })
    .await;
    let mut viewer = controller.viewer().await;
    let mut connections = Vec::new();
    for cell in 0..MAX_CONNECTIONS {
        let session = cell as u64 + 1;
        viewer.send(session, set_up_in_cell(cell)).await.expect("sent");
        let mut connection = next_connection(&controller.streamers[cell].listener).await.expect("dialled");
        assert_eq!(next_set_up(&mut connection).await, session);
        connection.send(session, answer()).await.expect("sent");
        assert_eq!(viewer.receive().await.expect("answered").body, answer());
        connections.push(connection);
    }
    // The reset and the set-ups are found together.
    controller.pause().await;
    reset(connections.remove(0));
    let others: Vec<BackgroundConnection> =
        connections.into_iter().map(PlatformConnection::into_background).collect();
    for number in 0..WAITING_SET_UPS {
        let session = 100 + number;
        viewer.send(session, set_up_in_cell(MAX_CONNECTIONS)).await.expect("sent");
    }
    sleep(Duration::from_millis(20)).await;
    controller.resume();
    let again = next_connection(&controller.streamers[0].listener).await;
    assert!(again.is_some(), "the streamer at which a session plays is dialled again");
    for _ in 0..WAITING_SET_UPS {
        let refused = viewer.receive().await.expect("told");
        assert!(matches!(refused.body, Body::Release { cause: cause::REJECTED, .. }), "{refused:?}");
    }
    drop((others, again));
    controller.process.kill().await.expect("ended");
}
