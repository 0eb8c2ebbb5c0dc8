//! Issue 42: requests that were accepted and never answered, because their connection closed before the answer.

mod common;

use common::{answer, set_up, RunningController};
use lemontide_platform::codec::{Body, Message};
use lemontide_standin::stub_platform::{encode_message, PlatformConnection, WAIT_TIMEOUT};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, timeout};

/// Bytes that no message begins with: the length is too small for a message type.
const INVALID_BYTES: [u8; 4] = [0, 0, 0, 0];
/// A connection with invalid input must be closed within this time.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);
const FIRST: u64 = 1;
const SECOND: u64 = 2;

/// The number of final answers for each session, until the controller closes the connection or sends nothing more.
async fn count_answers(client: &mut PlatformConnection) -> BTreeMap<u64, usize> {
    let mut answers = BTreeMap::new();
    while let Ok(Message { session, body }) = client.receive().await {
        if matches!(body, Body::Answer { .. } | Body::Release { .. }) {
            *answers.entry(session).or_default() += 1;
        }
    }
    answers
}

/// A controller with two requests of one connection that were sent to its streamer.
async fn start_with_two_requests() -> (RunningController, PlatformConnection, (usize, usize)) {
    let mut controller = RunningController::start(1, |_| ()).await;
    let mut client = controller.viewer().await;
    let mut streamer = (0, 0);
    for session in [FIRST, SECOND] {
        client.send(session, set_up("free", None)).await.expect("sent");
        let (at, connection, message) = controller.next_message().await.expect("sent on");
        assert_eq!(message.session, session);
        streamer = (at, connection);
    }
    (controller, client, streamer)
}

#[tokio::test]
async fn requests_before_invalid_or_incomplete_input_are_answered_once_before_the_close() {
    let message = encode_message(Message { session: 3, body: set_up("free", None) });
    for input in [&INVALID_BYTES[..], &message[..message.len() / 2]] {
        let (_served, mut client, _) = start_with_two_requests().await;
        client.write(input).await.expect("sent");
        let answered = timeout(CLOSE_TIMEOUT, count_answers(&mut client)).await.expect("closed in time");
        assert_eq!(answered, BTreeMap::from([(FIRST, 1), (SECOND, 1)]));
    }
}

#[tokio::test]
async fn requests_before_a_reused_session_number_are_answered_once_before_the_close() {
    let (_served, mut client, _) = start_with_two_requests().await;
    client.send(SECOND, set_up("free", None)).await.expect("sent");
    let answered = timeout(CLOSE_TIMEOUT, count_answers(&mut client)).await.expect("closed in time");
    assert_eq!(answered, BTreeMap::from([(FIRST, 1), (SECOND, 1)]));
}

#[tokio::test]
async fn a_request_of_a_client_that_closed_its_half_is_answered() {
    let mut controller = RunningController::start(1, |_| ()).await;
    let mut client = controller.viewer().await;
    client.send(FIRST, set_up("free", None)).await.expect("sent");
    let mut socket = client.into_socket();
    let (at, connection, _) = controller.next_message().await.expect("sent on");
    socket.shutdown().await.expect("closed by half");
    // Long enough for the controller to read the close.
    sleep(Duration::from_millis(100)).await;
    controller.streamer_sends((at, connection), FIRST, answer()).await;
    let mut client = PlatformConnection::from_socket(socket);
    let answered = loop {
        let message = timeout(WAIT_TIMEOUT, client.receive()).await.expect("in time").expect("an answer");
        if message.body != Body::Progress {
            break message;
        }
    };
    assert_eq!(answered, Message { session: FIRST, body: answer() });
    assert!(count_answers(&mut client).await.is_empty(), "exactly one answer, and then the close");
}
