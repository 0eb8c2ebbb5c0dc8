//! The controller on the platform's protocol, on loopback: a whole session, and faulty peers.

use bytes::Bytes;
use lemontide::interface::Load;
use lemontide_platform::codec::{cause, Body, RequestDetails, SetUp};
use lemontide_platform::config::Config;
use lemontide_platform::serve::serve;
use lemontide_standin::stub_platform::{
    settings, BackgroundConnection, PlatformConnection, StubJournal, WAIT_TIMEOUT,
};
use serde_json::json;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

fn server(id: &str, address: SocketAddr, state: &str) -> serde_json::Value {
    json!({"id": id, "addr": address.to_string(), "zone": "a", "kind": "std", "cell": 0, "state": state,
        "weight": 1, "started_ms": 0})
}

/// A controller that knows one streamer, whose part the test takes itself.
struct Setup {
    address: SocketAddr,
    streamer: TcpListener,
    journal: StubJournal,
    reader: TcpStream,
    link: BackgroundConnection,
    _playing_viewer: PlatformConnection,
}

async fn start() -> Setup {
    let streamer = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let journal = StubJournal::start().await.expect("a free port");
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    listener.set_nonblocking(true).expect("it can be nonblocking");
    let address = listener.local_addr().expect("it is bound");
    let known = server("s0", streamer.local_addr().expect("it is bound"), "in_service");
    let config: Config = serde_json::from_value(json!({
        "listen": address, "seed": "7", "limits": {"sockets": 64},
        "journal": journal.address().expect("it is bound").to_string(),
        "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"full": true, "servers": [known]}}]},
        "settings": settings()
    }))
    .expect("the configuration is valid");
    // The controller's loop runs on a thread of its own.
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let listener = TcpListener::from_std(listener).expect("a listener of this runtime");
            serve(listener, config, None).await
        })
    });
    // A session that already plays keeps a connection to its streamer open; at the lowest rung it causes no further messages.
    let mut playing_viewer = PlatformConnection::connect(address).await.expect("it listens");
    let details = RequestDetails {
        first_cell: 0,
        replicas: 1,
        max_rung: 0,
        is_retry: false,
        playing_at: Some("s0".into()),
    };
    let playing = SetUp { details: Some(details), ..request("free") };
    playing_viewer.send(u64::MAX, Body::SetUp(playing)).await.expect("sent");
    let link = PlatformConnection::accept(&streamer)
        .await
        .expect("it dials where something plays")
        .into_background();
    let (reader, last) = journal.accept_reader().await.expect("it connects to the journal");
    assert_eq!(last, 1);
    Setup { address, streamer, journal, reader, link, _playing_viewer: playing_viewer }
}

fn request(class: &str) -> SetUp {
    SetUp {
        class: class.into(),
        tenant: "acme".into(),
        title: "t".into(),
        wait_ms: 60_000,
        details: Some(RequestDetails {
            first_cell: 0,
            replicas: 1,
            max_rung: 1,
            is_retry: false,
            playing_at: None,
        }),
        description: Bytes::from_static(b"request"),
        ..SetUp::default()
    }
}

fn set_up(class: &str) -> Body {
    Body::SetUp(request(class))
}

fn answer() -> Body {
    Body::Answer { description: Bytes::from_static(b"made"), load: Load::default() }
}

#[tokio::test]
async fn a_session_is_set_up_plays_and_ends() {
    let mut setup = start().await;
    let mut viewer = PlatformConnection::connect(setup.address).await.expect("it listens");
    viewer.send(9, Body::Test).await.expect("sent");
    assert_eq!(viewer.receive().await.expect("a message").body, Body::TestResult { passed: true });
    viewer.send(7, set_up("paid")).await.expect("sent");
    let message = setup.link.receive().await.expect("an attempt");
    assert!(
        matches!(&message.body, Body::SetUp(s) if s.rung.is_some() && s.description == "request"),
        "{message:?}"
    );
    setup.link.send(7, answer()).await.expect("sent");
    assert_eq!(viewer.receive().await.expect("a message").body, answer());
    setup.link.send(7, Body::release(cause::NORMAL)).await.expect("sent");
    assert_eq!(viewer.receive().await.expect("a message").body, Body::release(cause::NORMAL));
}

#[tokio::test]
async fn connections_with_invalid_or_incomplete_messages_are_closed_and_others_work_on() {
    let mut setup = start().await;
    let mut faulty = Vec::new();
    for bytes in [&b"\x00\x00"[..], b"\xff\xff\x01\x00", b"\x00\x40\x01half a message", b""] {
        let mut connection = PlatformConnection::connect(setup.address).await.expect("it listens");
        connection.write(bytes).await.expect("sent");
        faulty.push((bytes, connection));
    }
    for (bytes, mut connection) in faulty {
        assert!(connection.wait_for_close().await, "{bytes:?}");
    }
    let mut other = PlatformConnection::connect(setup.address).await.expect("it listens");
    other.send(8, set_up("free")).await.expect("sent");
    assert_eq!(setup.link.receive().await.expect("an attempt").session, 8);
}

#[tokio::test]
async fn an_incomplete_answer_ends_its_connection_and_the_attempt_may_have_run() {
    let mut setup = start().await;
    let mut viewer = PlatformConnection::connect(setup.address).await.expect("it listens");
    viewer.send(7, set_up("paid")).await.expect("sent");
    setup.link.receive().await.expect("an attempt");
    setup.link.write(b"\x00\x1f\x09stops short").await.expect("sent");
    let message = viewer.receive().await.expect("a message");
    assert_eq!(message.body, Body::release(cause::FAILED), "failed, as the attempt may have run");
    assert!(PlatformConnection::accept(&setup.streamer).await.is_ok(), "the streamer is dialled again");
}

/// Viewers never close idle connections, and the platform sets the limit of open sockets.
#[tokio::test]
async fn the_longest_idle_connection_is_closed_and_one_that_waits_for_an_answer_is_not() {
    let mut setup = start().await;
    let mut waiting = PlatformConnection::connect(setup.address).await.expect("it listens");
    waiting.send(7, set_up("paid")).await.expect("sent");
    setup.link.receive().await.expect("an attempt");
    let mut idle = Vec::new();
    for _ in 0..60 {
        let mut viewer = PlatformConnection::connect(setup.address).await.expect("it listens");
        viewer.send(9, Body::Test).await.expect("sent");
        assert_eq!(viewer.receive().await.expect("a message").body, Body::TestResult { passed: true });
        idle.push(viewer);
    }
    assert!(idle[0].wait_for_close().await, "idle for longest");
    setup.link.send(7, answer()).await.expect("sent");
    assert_eq!(waiting.receive().await.expect("a message").body, answer());
}

#[tokio::test]
async fn the_list_is_followed_across_reconnects_and_a_drain_takes_effect() {
    let mut setup = start().await;
    let address = setup.streamer.local_addr().expect("it is bound");
    setup.reader.write_all(b"{\"pos\":2,\"hosts\":{\"ful").await.expect("sent");
    drop(setup.reader);
    let (mut reader, last) = setup.journal.accept_reader().await.expect("it connects again");
    assert_eq!(last, 1, "half an event doesn't count");
    let event =
        json!({"pos": 2, "hosts": {"full": false, "servers": [server("s0", address, "terminating")]}});
    reader.write_all(format!("{event}\n{event}\n{{\"pos\":2}}\n").as_bytes()).await.expect("sent");
    let mut viewer = PlatformConnection::connect(setup.address).await.expect("it listens");
    // The list arrives independently of the requests: send some until it takes effect.
    let rejected = async {
        for session in 1.. {
            viewer.send(session, set_up("free")).await.expect("sent");
            tokio::select! {
                attempt = setup.link.receive() => {
                    setup.link.send(attempt.expect("an attempt").session, answer()).await.expect("sent")
                }
                message = viewer.receive() => match message.expect("a message").body {
                    Body::Release { cause, .. } => return cause,
                    other => panic!("{other:?}"),
                },
            }
            viewer.receive().await.expect("a message");
        }
        0
    };
    assert_eq!(timeout(WAIT_TIMEOUT, rejected).await.expect("within the time limit"), cause::REJECTED);
}
