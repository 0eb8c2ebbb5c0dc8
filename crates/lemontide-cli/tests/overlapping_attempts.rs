//! Issue 39: two attempts of one request out at once.

mod common;

use common::{answer, set_up, RunningController};
use lemontide_platform::codec::{cause, Body};
use lemontide_standin::platform::{Attended, End, SOON};
use serde_json::json;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// The latency goal of the class that may be repeated, in seconds, and its deadline.
const GOAL_S: f64 = 1.5;
const DEADLINE_S: f64 = 5.0;
/// An attempt without an answer is given up by then.
const GIVEN_UP: Duration = Duration::from_millis(1000);
/// Well before an attempt without an answer is given up.
const BEFORE_GIVEN_UP: Duration = Duration::from_millis(300);

async fn start(streamers: usize) -> RunningController {
    let class = |config: &mut serde_json::Value| {
        config["settings"]["classes"][0]["aim"] = json!(GOAL_S);
        config["settings"]["classes"][0]["hard_limit"] = json!(DEADLINE_S);
    };
    RunningController::start(streamers, class).await
}

async fn accept(listener: &TcpListener) -> TcpStream {
    timeout(SOON, listener.accept()).await.expect("it dials").expect("accepted").0
}

/// Whether a set-up of this session comes within the time.
async fn set_up_comes(link: &mut Attended, session: u64, within: Duration) -> bool {
    let comes = async {
        while let Ok(message) = link.news().await {
            if message.session == session && matches!(message.body, Body::SetUp(_)) {
                return;
            }
        }
        std::future::pending().await
    };
    timeout(within, comes).await.is_ok()
}

/// The end of the first attempt lies unread at its streamer, and the second one begins at another.
#[tokio::test]
async fn no_second_attempt_while_the_end_of_the_first_is_unread() {
    let controller = start(2).await;
    let mut viewer = controller.viewer().await;
    viewer.say(1, set_up("free", None)).await.expect("sent");
    let (first, second) = (&controller.streamers[0].listener, &controller.streamers[1].listener);
    let (unread, other) = tokio::select! {
        socket = accept(first) => (socket, second),
        socket = accept(second) => (socket, first),
    };
    sleep(GIVEN_UP).await;
    let early = timeout(Duration::from_millis(10), other.accept()).await;
    if let Ok(Ok((socket, _))) = early {
        let mut link = End::of(socket).attend();
        assert!(!set_up_comes(&mut link, 1, GIVEN_UP).await, "the first attempt may still be taken up");
    }
    // The streamer reads on, and passes the test behind the end.
    let mut read = End::of(unread).attend();
    assert!(set_up_comes(&mut read, 1, SOON).await);
    let comes = async {
        let mut link = End::of(accept(other).await).attend();
        set_up_comes(&mut link, 1, SOON).await
    };
    assert!(tokio::select! {
        comes = comes => comes,
        comes = set_up_comes(&mut read, 1, SOON) => comes,
    });
}

/// The end is written on one connection, and the next attempt overtakes it on another to the same streamer.
#[tokio::test]
async fn no_second_attempt_overtakes_the_end_of_the_first_on_another_connection() {
    const REQUESTS: u64 = 6;
    let controller = start(1).await;
    let mut viewer = controller.viewer().await;
    for session in 1..=REQUESTS {
        viewer.say(session, set_up("free", None)).await.expect("sent");
    }
    let mut unread = Vec::new();
    let all = async {
        loop {
            unread.push(accept(&controller.streamers[0].listener).await);
        }
    };
    let _: Result<(), _> = timeout(GIVEN_UP * 2, all).await;
    let mut attempts: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    for (number, socket) in unread.into_iter().enumerate() {
        for message in End::of(socket).unread().expect("readable") {
            if matches!(message.body, Body::SetUp(_)) {
                attempts.entry(message.session).or_default().push(number);
            }
        }
    }
    assert_eq!(attempts.len(), REQUESTS as usize, "each was sent: {attempts:?}");
    let twice: Vec<_> = attempts.iter().filter(|(_, on)| on.len() > 1).collect();
    assert!(twice.is_empty(), "sessions with several attempts, by connection: {twice:?}");
}

/// The first attempt stood with its answer lost; its release comes once more on the connection of the second.
#[tokio::test]
async fn no_third_attempt_after_a_release_of_the_first() {
    let controller = start(1).await;
    let mut viewer = controller.viewer().await;
    viewer.say(1, set_up("free", None)).await.expect("sent");
    let mut link = End::of(accept(&controller.streamers[0].listener).await).attend();
    assert!(set_up_comes(&mut link, 1, SOON).await);
    assert!(set_up_comes(&mut link, 1, SOON).await, "the end of the first is read");
    link.say(1, Body::release(cause::NORMAL)).await.expect("sent");
    assert!(!set_up_comes(&mut link, 1, BEFORE_GIVEN_UP).await, "the second attempt is out");
    link.say(1, answer()).await.expect("sent");
    let heard = timeout(SOON, viewer.hear()).await.expect("in time").expect("told");
    assert!(matches!(heard.body, Body::Answer { .. }), "{heard:?}");
}
