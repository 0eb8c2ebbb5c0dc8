//! Issue 42: requests that were taken and never answered, as their connection went before they were.

mod common;

use common::{answer, set_up, RunningController};
use lemontide_platform::codec::{Body, Message};
use lemontide_standin::platform::{bytes_of, End, SOON};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, timeout};

/// What no message begins with: a length of no type.
const UNREADABLE: [u8; 4] = [0, 0, 0, 0];
/// Bad input is owed a close within this time of its connection.
const CLOSED_WITHIN: Duration = Duration::from_secs(3);
const FIRST: u64 = 1;
const SECOND: u64 = 2;

/// How many final answers came for each session until the controller closed the connection, or said nothing more.
async fn answers(client: &mut End) -> BTreeMap<u64, usize> {
    let mut answers = BTreeMap::new();
    while let Ok(Message { session, body }) = client.hear().await {
        if matches!(body, Body::Answer { .. } | Body::Release { .. }) {
            *answers.entry(session).or_default() += 1;
        }
    }
    answers
}

/// A controller with two requests out at its streamer, on one connection.
async fn with_two_requests() -> (RunningController, End, (usize, usize)) {
    let mut controller = RunningController::start(1, |_| ()).await;
    let mut client = controller.viewer().await;
    let mut streamer = (0, 0);
    for session in [FIRST, SECOND] {
        client.say(session, set_up("free", None)).await.expect("sent");
        let (at, link, message) = controller.next_message().await.expect("sent on");
        assert_eq!(message.session, session);
        streamer = (at, link);
    }
    (controller, client, streamer)
}

#[tokio::test]
async fn requests_beside_unreadable_or_unfinished_input_are_answered_once_before_the_close() {
    let message = bytes_of(Message { session: 3, body: set_up("free", None) });
    for input in [&UNREADABLE[..], &message[..message.len() / 2]] {
        let (_served, mut client, _) = with_two_requests().await;
        client.write(input).await.expect("sent");
        let answered = timeout(CLOSED_WITHIN, answers(&mut client)).await.expect("closed in time");
        assert_eq!(answered, BTreeMap::from([(FIRST, 1), (SECOND, 1)]));
    }
}

#[tokio::test]
async fn requests_beside_a_number_that_is_used_twice_are_answered_once_before_the_close() {
    let (_served, mut client, _) = with_two_requests().await;
    client.say(SECOND, set_up("free", None)).await.expect("sent");
    let answered = timeout(CLOSED_WITHIN, answers(&mut client)).await.expect("closed in time");
    assert_eq!(answered, BTreeMap::from([(FIRST, 1), (SECOND, 1)]));
}

#[tokio::test]
async fn a_request_of_a_client_that_closed_its_half_is_answered() {
    let mut controller = RunningController::start(1, |_| ()).await;
    let mut client = controller.viewer().await;
    client.say(FIRST, set_up("free", None)).await.expect("sent");
    let mut socket = client.into_socket();
    let (at, link, _) = controller.next_message().await.expect("sent on");
    socket.shutdown().await.expect("closed by half");
    // Long enough for the controller to have read the close.
    sleep(Duration::from_millis(100)).await;
    controller.streamer_sends((at, link), FIRST, answer()).await;
    let mut client = End::of(socket);
    let heard = loop {
        let heard = timeout(SOON, client.hear()).await.expect("in time").expect("an answer");
        if heard.body != Body::Progress {
            break heard;
        }
    };
    assert_eq!(heard, Message { session: FIRST, body: answer() });
    assert!(answers(&mut client).await.is_empty(), "one answer, and a close");
}
