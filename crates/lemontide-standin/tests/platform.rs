//! The controller on the platform's sockets, on loopback: one whole subscription, and what odd ends do.

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

/// A controller that knows one streamer, which the test plays itself.
struct World {
    at: SocketAddr,
    streamer: TcpListener,
    journal: StubJournal,
    reader: TcpStream,
    link: BackgroundConnection,
    _handed: PlatformConnection,
}

async fn start() -> World {
    let streamer = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let journal = StubJournal::start().await.expect("a free port");
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    listener.set_nonblocking(true).expect("it can wait");
    let at = listener.local_addr().expect("it is bound");
    let known = server("s0", streamer.local_addr().expect("it is bound"), "in_service");
    let config: Config = serde_json::from_value(json!({
        "listen": at, "seed": "7", "limits": {"sockets": 64},
        "journal": journal.address().expect("it is bound").to_string(),
        "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"full": true, "servers": [known]}}]},
        "settings": settings()
    }))
    .expect("the configuration is valid");
    // The controller's loop stays on one thread, its own.
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let listener = TcpListener::from_std(listener).expect("a listener of this runtime");
            serve(listener, config, None).await
        })
    });
    // What plays already keeps a connection to its streamer; at the lowest rung nothing more is said of it.
    let mut handed = PlatformConnection::connect(at).await.expect("it listens");
    let figures = RequestDetails {
        first_cell: 0,
        replicas: 1,
        max_rung: 0,
        is_retry: false,
        playing_at: Some("s0".into()),
    };
    let plays = SetUp { details: Some(figures), ..asked("free") };
    handed.send(u64::MAX, Body::SetUp(plays)).await.expect("sent");
    let link = PlatformConnection::accept(&streamer)
        .await
        .expect("it dials where something plays")
        .into_background();
    let (reader, last) = journal.accept_reader().await.expect("it asks");
    assert_eq!(last, 1);
    World { at, streamer, journal, reader, link, _handed: handed }
}

fn asked(lane: &str) -> SetUp {
    SetUp {
        class: lane.into(),
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
        description: Bytes::from_static(b"asked"),
        ..SetUp::default()
    }
}

fn set_up(lane: &str) -> Body {
    Body::SetUp(asked(lane))
}

fn answer() -> Body {
    Body::Answer { description: Bytes::from_static(b"made"), load: Load::default() }
}

#[tokio::test]
async fn a_subscription_is_set_up_plays_and_ends() {
    let mut world = start().await;
    let mut viewer = PlatformConnection::connect(world.at).await.expect("it listens");
    viewer.send(9, Body::Test).await.expect("sent");
    assert_eq!(viewer.receive().await.expect("told").body, Body::TestResult { passed: true });
    viewer.send(7, set_up("paid")).await.expect("sent");
    let came = world.link.receive().await.expect("shot");
    assert!(matches!(&came.body, Body::SetUp(s) if s.rung.is_some() && s.description == "asked"), "{came:?}");
    world.link.send(7, answer()).await.expect("sent");
    assert_eq!(viewer.receive().await.expect("told").body, answer());
    world.link.send(7, Body::release(cause::NORMAL)).await.expect("sent");
    assert_eq!(viewer.receive().await.expect("told").body, Body::release(cause::NORMAL));
}

#[tokio::test]
async fn what_can_not_be_read_or_never_ends_is_closed_and_others_go_on() {
    let mut world = start().await;
    let mut all = Vec::new();
    for odd in [&b"\x00\x00"[..], b"\xff\xff\x01\x00", b"\x00\x40\x01half a message", b""] {
        let mut bad = PlatformConnection::connect(world.at).await.expect("it listens");
        bad.write(odd).await.expect("sent");
        all.push((odd, bad));
    }
    for (odd, mut bad) in all {
        assert!(bad.wait_for_close().await, "{odd:?}");
    }
    let mut again = PlatformConnection::connect(world.at).await.expect("it listens");
    again.send(8, set_up("free")).await.expect("sent");
    assert_eq!(world.link.receive().await.expect("shot").session, 8);
}

#[tokio::test]
async fn a_spoilt_answer_ends_its_connection_and_the_shot_may_have_run() {
    let mut world = start().await;
    let mut viewer = PlatformConnection::connect(world.at).await.expect("it listens");
    viewer.send(7, set_up("paid")).await.expect("sent");
    world.link.receive().await.expect("shot");
    world.link.write(b"\x00\x1f\x09stops short").await.expect("sent");
    let said = viewer.receive().await.expect("told");
    assert_eq!(said.body, Body::release(cause::FAILED), "scrapped, as it may have run");
    assert!(PlatformConnection::accept(&world.streamer).await.is_ok(), "the streamer is dialled again");
}

/// Viewers keep connections for good; the descriptors are the platform's.
#[tokio::test]
async fn the_longest_idle_connection_makes_room_and_one_that_is_owed_an_answer_does_not() {
    let mut world = start().await;
    let mut owed = PlatformConnection::connect(world.at).await.expect("it listens");
    owed.send(7, set_up("paid")).await.expect("sent");
    world.link.receive().await.expect("shot");
    let mut idle = Vec::new();
    for _ in 0..60 {
        let mut viewer = PlatformConnection::connect(world.at).await.expect("it listens");
        viewer.send(9, Body::Test).await.expect("sent");
        assert_eq!(viewer.receive().await.expect("told").body, Body::TestResult { passed: true });
        idle.push(viewer);
    }
    assert!(idle[0].wait_for_close().await, "idle for longest");
    world.link.send(7, answer()).await.expect("sent");
    assert_eq!(owed.receive().await.expect("told").body, answer());
}

#[tokio::test]
async fn the_list_is_followed_over_breaks_and_a_drain_is_obeyed() {
    let mut world = start().await;
    let address = world.streamer.local_addr().expect("it is bound");
    world.reader.write_all(b"{\"pos\":2,\"hosts\":{\"ful").await.expect("sent");
    drop(world.reader);
    let (mut reader, last) = world.journal.accept_reader().await.expect("it asks again");
    assert_eq!(last, 1, "half an event is none");
    let event =
        json!({"pos": 2, "hosts": {"full": false, "servers": [server("s0", address, "terminating")]}});
    reader.write_all(format!("{event}\n{event}\n{{\"pos\":2}}\n").as_bytes()).await.expect("sent");
    let mut viewer = PlatformConnection::connect(world.at).await.expect("it listens");
    // The list travels apart from the wishes: ask until it is in.
    let turned_back = async {
        for session in 1.. {
            viewer.send(session, set_up("free")).await.expect("sent");
            tokio::select! {
                shot = world.link.receive() => world.link.send(shot.expect("shot").session, answer()).await.expect("sent"),
                said = viewer.receive() => match said.expect("told").body {
                    Body::Release { cause, .. } => return cause,
                    other => panic!("{other:?}"),
                },
            }
            viewer.receive().await.expect("told");
        }
        0
    };
    assert_eq!(timeout(WAIT_TIMEOUT, turned_back).await.expect("within the bound"), cause::REJECTED);
}
