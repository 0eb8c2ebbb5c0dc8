//! Issue 39: releases that were written to a connection, and lost when it was closed.

mod common;

use common::{answer, set_up, RunningController};
use lemontide_platform::codec::{cause, Body, Message};
use lemontide_standin::stub_platform::{encode_message, PlatformConnection, WAIT_TIMEOUT};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How soon after the streamer's release the viewer must have it.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
const SESSION: u64 = 1;
const OTHER_SESSION: u64 = 2;

/// A controller with a session that plays, which was set up over a socket of its own.
struct PlayingSession {
    controller: RunningController,
    socket: TcpStream,
    /// Another connection of the same client.
    other: PlatformConnection,
    /// The streamer that answered, and its connection.
    streamer: (usize, usize),
}

/// Answers the next set-up, which must be of this session; returns the streamer and its connection.
async fn answer_set_up(controller: &mut RunningController, session: u64) -> (usize, usize) {
    let (at, connection, message) = controller.next_message().await.expect("a set-up");
    assert_eq!(message.session, session);
    controller.streamer_sends((at, connection), session, answer()).await;
    (at, connection)
}

async fn start_session() -> PlayingSession {
    let mut controller = RunningController::start(1, |_| ()).await;
    let mut other = controller.viewer().await;
    other.send(OTHER_SESSION, set_up("free", None)).await.expect("sent");
    answer_set_up(&mut controller, OTHER_SESSION).await;
    other.receive().await.expect("the answer");
    let mut socket = TcpStream::connect(controller.listen).await.expect("connected");
    let request = encode_message(Message { session: SESSION, body: set_up("free", None) });
    socket.write_all(&request).await.expect("sent");
    let streamer = answer_set_up(&mut controller, SESSION).await;
    let mut buffer = [0; 256];
    assert!(timeout(WAIT_TIMEOUT, socket.read(&mut buffer)).await.expect("in time").expect("the answer") > 0);
    PlayingSession { controller, socket, other, streamer }
}

/// Whether the release of the session is received on this connection in time.
async fn receives_release(other: &mut PlatformConnection) -> bool {
    let released = async {
        while let Ok(message) = other.receive().await {
            if message.session == SESSION && matches!(message.body, Body::Release { .. }) {
                return true;
            }
        }
        false
    };
    timeout(RELEASE_TIMEOUT, released).await.unwrap_or(false)
}

#[tokio::test]
async fn a_release_that_was_unread_when_its_client_closed_is_sent_on_another_connection() {
    let PlayingSession { mut controller, socket, mut other, streamer } = start_session().await;
    controller.streamer_sends(streamer, SESSION, Body::release(cause::NORMAL)).await;
    timeout(WAIT_TIMEOUT, socket.readable()).await.expect("in time").expect("the release has arrived");
    drop(socket);
    assert!(receives_release(&mut other).await);
}

/// The controller finds the streamer's release and the client's close at the same time, so it can write the release
/// to a connection that the client has closed.
#[tokio::test]
async fn a_release_received_after_its_client_closed_is_sent_on_another_connection() {
    let PlayingSession { mut controller, socket, mut other, streamer } = start_session().await;
    controller.pause().await;
    controller.streamer_sends(streamer, SESSION, Body::release(cause::NORMAL)).await;
    drop(socket);
    controller.resume();
    assert!(receives_release(&mut other).await);
}

/// The streamer does not answer a set-up, so the controller closes the connection; meanwhile the streamer sends a
/// release on it.
#[tokio::test]
async fn a_release_on_a_connection_that_the_controller_closes_is_passed_on() {
    let controller = RunningController::start(1, |_| ()).await;
    let mut viewer = controller.viewer().await;
    viewer.send(SESSION, set_up("free", None)).await.expect("sent");
    let mut connection =
        PlatformConnection::accept(&controller.streamers[0].listener).await.expect("dialled");
    while connection.receive().await.expect("a set-up").session != SESSION {}
    connection.send(SESSION, answer()).await.expect("sent");
    viewer.receive().await.expect("the answer");
    viewer.send(OTHER_SESSION, set_up("free", None)).await.expect("sent");
    while connection.receive().await.is_ok() {}
    connection.send(SESSION, Body::release(cause::NORMAL)).await.expect("sent");
    assert!(receives_release(&mut viewer).await);
}
