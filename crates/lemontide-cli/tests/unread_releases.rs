//! Issue 39: releases that were written, and lost as a connection closed.

mod common;

use common::{answer, set_up, RunningController};
use lemontide_platform::codec::{cause, Body, Message};
use lemontide_standin::platform::{bytes_of, End, SOON};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A release is due so long after that of the streamer.
const RELEASED_WITHIN: Duration = Duration::from_secs(1);
const SESSION: u64 = 1;
const OTHER: u64 = 2;

/// A controller with a session that was set up over a socket of its own, another connection of the same client, and where
/// the streamer said its answer.
struct Standing {
    controller: RunningController,
    socket: TcpStream,
    other: End,
    streamer: (usize, usize),
}

async fn answers(controller: &mut RunningController, session: u64) -> (usize, usize) {
    let (at, link, message) = controller.next_message().await.expect("a set-up");
    assert_eq!(message.session, session);
    controller.streamer_sends((at, link), session, answer()).await;
    (at, link)
}

async fn start() -> Standing {
    let mut controller = RunningController::start(1, |_| ()).await;
    let mut other = controller.viewer().await;
    other.say(OTHER, set_up("free", None)).await.expect("sent");
    answers(&mut controller, OTHER).await;
    other.hear().await.expect("it plays");
    let mut socket = TcpStream::connect(controller.listen).await.expect("it listens");
    let asked = bytes_of(Message { session: SESSION, body: set_up("free", None) });
    socket.write_all(&asked).await.expect("sent");
    let streamer = answers(&mut controller, SESSION).await;
    let mut heard = [0; 256];
    assert!(timeout(SOON, socket.read(&mut heard)).await.expect("in time").expect("it plays") > 0);
    Standing { controller, socket, other, streamer }
}

async fn is_released(other: &mut End) -> bool {
    let released = async {
        while let Ok(message) = other.hear().await {
            if message.session == SESSION && matches!(message.body, Body::Release { .. }) {
                return true;
            }
        }
        false
    };
    timeout(RELEASED_WITHIN, released).await.unwrap_or(false)
}

#[tokio::test]
async fn a_release_that_lay_unread_as_its_client_closed_is_said_on_another_connection() {
    let Standing { mut controller, socket, mut other, streamer } = start().await;
    controller.streamer_sends(streamer, SESSION, Body::release(cause::NORMAL)).await;
    timeout(SOON, socket.readable()).await.expect("in time").expect("the release is there");
    drop(socket);
    assert!(is_released(&mut other).await);
}

/// Both are there when the controller looks, so the release may be written to what the client has closed.
#[tokio::test]
async fn a_release_that_came_after_its_client_closed_is_said_on_another_connection() {
    let Standing { mut controller, socket, mut other, streamer } = start().await;
    controller.pause().await;
    controller.streamer_sends(streamer, SESSION, Body::release(cause::NORMAL)).await;
    drop(socket);
    controller.resume();
    assert!(is_released(&mut other).await);
}

/// The streamer answers no set-up for a while, and says a release as the controller closes the connection for that.
#[tokio::test]
async fn a_release_on_a_connection_that_the_controller_closes_is_passed_on() {
    let controller = RunningController::start(1, |_| ()).await;
    let mut viewer = controller.viewer().await;
    viewer.say(SESSION, set_up("free", None)).await.expect("sent");
    let mut link = End::streamer(&controller.streamers[0].listener).await.expect("it dials");
    while link.hear().await.expect("a set-up").session != SESSION {}
    link.say(SESSION, answer()).await.expect("sent");
    viewer.hear().await.expect("it plays");
    viewer.say(OTHER, set_up("free", None)).await.expect("sent");
    while link.hear().await.is_ok() {}
    link.say(SESSION, Body::release(cause::NORMAL)).await.expect("sent");
    assert!(is_released(&mut viewer).await);
}
