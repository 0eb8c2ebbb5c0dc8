//! Issue 39: two attempts of one request must not be open at the same time.

mod common;

use common::{answer, set_up, RunningController};
use lemontide_platform::codec::{cause, Body};
use lemontide_standin::stub_platform::{BackgroundConnection, PlatformConnection, WAIT_TIMEOUT};
use serde_json::json;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// The latency goal of the class whose requests can be repeated.
const GOAL_S: f64 = 1.5;
/// The deadline of that class.
const DEADLINE_S: f64 = 5.0;
/// An attempt without an answer is given up within this time.
const GIVE_UP_TIME: Duration = Duration::from_millis(1000);
/// Well below the time after which an attempt without an answer is given up.
const TIME_BEFORE_GIVE_UP: Duration = Duration::from_millis(300);

async fn start(streamer_count: usize) -> RunningController {
    let set_class_times = |config: &mut serde_json::Value| {
        config["settings"]["classes"][0]["aim"] = json!(GOAL_S);
        config["settings"]["classes"][0]["hard_limit"] = json!(DEADLINE_S);
    };
    RunningController::start(streamer_count, set_class_times).await
}

async fn accept(listener: &TcpListener) -> TcpStream {
    timeout(WAIT_TIMEOUT, listener.accept()).await.expect("dialled in time").expect("accepted").0
}

/// Whether a set-up of this session is received within the time.
async fn receives_set_up(connection: &mut BackgroundConnection, session: u64, within: Duration) -> bool {
    let received = async {
        while let Ok(message) = connection.receive().await {
            if message.session == session && matches!(message.body, Body::SetUp(_)) {
                return;
            }
        }
        std::future::pending().await
    };
    timeout(within, received).await.is_ok()
}

/// The release of the first attempt is unread at its streamer. A second attempt at another streamer would then be open
/// together with the first one.
#[tokio::test]
async fn no_second_attempt_while_the_release_of_the_first_is_unread() {
    let controller = start(2).await;
    let mut viewer = controller.viewer().await;
    viewer.send(1, set_up("free", None)).await.expect("sent");
    let (first, second) = (&controller.streamers[0].listener, &controller.streamers[1].listener);
    let (unread_socket, other_listener) = tokio::select! {
        socket = accept(first) => (socket, second),
        socket = accept(second) => (socket, first),
    };
    sleep(GIVE_UP_TIME).await;
    let early_connection = timeout(Duration::from_millis(10), other_listener.accept()).await;
    if let Ok(Ok((socket, _))) = early_connection {
        let mut connection = PlatformConnection::from_socket(socket).into_background();
        assert!(
            !receives_set_up(&mut connection, 1, GIVE_UP_TIME).await,
            "the streamer can still accept the first attempt"
        );
    }
    // The streamer reads the release, and passes the test behind it.
    let mut first_connection = PlatformConnection::from_socket(unread_socket).into_background();
    assert!(receives_set_up(&mut first_connection, 1, WAIT_TIMEOUT).await);
    let at_other = async {
        let mut connection = PlatformConnection::from_socket(accept(other_listener).await).into_background();
        receives_set_up(&mut connection, 1, WAIT_TIMEOUT).await
    };
    assert!(tokio::select! {
        is_received = at_other => is_received,
        is_received = receives_set_up(&mut first_connection, 1, WAIT_TIMEOUT) => is_received,
    });
}

/// The release of the first attempt is written on one connection. A second attempt on another connection to the same
/// streamer would overtake it.
#[tokio::test]
async fn no_second_attempt_overtakes_the_release_of_the_first_on_another_connection() {
    const REQUESTS: u64 = 6;
    let controller = start(1).await;
    let mut viewer = controller.viewer().await;
    for session in 1..=REQUESTS {
        viewer.send(session, set_up("free", None)).await.expect("sent");
    }
    let mut unread_sockets = Vec::new();
    let accept_all = async {
        loop {
            unread_sockets.push(accept(&controller.streamers[0].listener).await);
        }
    };
    let _: Result<(), _> = timeout(GIVE_UP_TIME * 2, accept_all).await;
    let mut connections_by_session: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    for (number, socket) in unread_sockets.into_iter().enumerate() {
        for message in PlatformConnection::from_socket(socket).into_unread_messages().expect("readable") {
            if matches!(message.body, Body::SetUp(_)) {
                connections_by_session.entry(message.session).or_default().push(number);
            }
        }
    }
    assert_eq!(connections_by_session.len(), REQUESTS as usize, "each was sent: {connections_by_session:?}");
    let repeated: Vec<_> =
        connections_by_session.iter().filter(|(_, connections)| connections.len() > 1).collect();
    assert!(repeated.is_empty(), "sessions with several attempts, by connection: {repeated:?}");
}

/// The first attempt set the session up, but its answer was lost. Its release is received once more, on the connection
/// of the second attempt, and must not be taken for the release of that one.
#[tokio::test]
async fn no_third_attempt_after_a_release_of_the_first() {
    let controller = start(1).await;
    let mut viewer = controller.viewer().await;
    viewer.send(1, set_up("free", None)).await.expect("sent");
    let mut connection =
        PlatformConnection::from_socket(accept(&controller.streamers[0].listener).await).into_background();
    assert!(receives_set_up(&mut connection, 1, WAIT_TIMEOUT).await);
    assert!(
        receives_set_up(&mut connection, 1, WAIT_TIMEOUT).await,
        "the release of the first attempt is read"
    );
    connection.send(1, Body::release(cause::NORMAL)).await.expect("sent");
    assert!(
        !receives_set_up(&mut connection, 1, TIME_BEFORE_GIVE_UP).await,
        "the second attempt is still open"
    );
    connection.send(1, answer()).await.expect("sent");
    let message = timeout(WAIT_TIMEOUT, viewer.receive()).await.expect("in time").expect("received");
    assert!(matches!(message.body, Body::Answer { .. }), "{message:?}");
}
