//! The controller over real sockets on loopback, with players and streamers that misbehave.

use futures::{SinkExt, StreamExt};
use lemontide_front::server::ControllerServer;
use lemontide_front::settings::Settings;
use lemontide_standin::day::Day;
use lemontide_standin::streamer::Fleet;
use lemontide_wire::clock::Clock;
use lemontide_wire::cmsd::CmsdDynamic;
use lemontide_wire::link::{
    Cancel, ControllerMessage, Plays, StreamerCodec, StreamerMessage, Welcome, PROTOCOL_VERSION,
};
use lemontide_wire::list::{ListEntry, StreamerList, StreamerState};
use lemontide_wire::play::PlayResponse;
use lemontide_wire::tap::Tap;
use serde_json::json;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// How long a test waits for something that must happen.
const TIMEOUT: Duration = Duration::from_secs(10);

fn settings(folder: &Path) -> Settings {
    let class = |name: &str, repeat: &str| json!({"name": name, "gain": 1, "latency_goal_s": 1, "cut_off_s": 3, "repeat": repeat});
    let settings = json!({
        "listen": "127.0.0.1:0", "me": 0, "controllers": 1, "seed": 7, "zone": "here",
        "list": folder.join("list.json"), "titles": {"t": {"home": 0, "copies": 1}},
        "lanes": [class("free", "free"), class("paid", "paid")],
        "ladder": {"kb": [200, 400, 800], "gain": [0.3, 0.6, 1.0]},
        "fleet": {"cells": 1, "racks": 1, "rack_kb": 1e6, "kb_per_weight": 1e5,
                  "kinds": [{"name": "std", "streams": 3000}]},
        "notes": {"age_s": 1, "every_s": 3}, "shots": {"most": 2},
        "retry_after": {"allowed": true, "longest_s": 0.5},
        // No warm-up, since a new controller sends less during the first half of it.
        "cold": {"span_s": 0, "from": 1, "multiple": 2, "window_s": 1},
        "links": {"dial_timeout_s": 0.25}, "limits": {"stop_s": 0.1, "request_s": 1.0}
    });
    serde_json::from_value(settings).expect("the settings are valid")
}

/// Writes a list with one streamer.
fn write_list(folder: &Path, version: u64, address: SocketAddr, state: StreamerState) {
    let streamer = ListEntry {
        streamer: "s0".into(),
        address: address.to_string(),
        zone: "here".into(),
        kind: "std".into(),
        cell: 0,
        state,
        weight: 1.0,
        started_at: None,
    };
    let list = StreamerList { version, streamers: vec![streamer] };
    let bytes = serde_json::to_vec(&list).expect("a list is JSON");
    lemontide_standin::run::replace(&folder.join("list.json"), &bytes).expect("the folder can be written");
}

/// Starts a controller with one streamer, which is played by the test, and accepts the first link.
async fn start() -> (ControllerServer, tempfile::TempDir, TcpListener, Framed<TcpStream, StreamerCodec>) {
    let folder = tempfile::tempdir().expect("a folder can be created");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback is there");
    write_list(folder.path(), 1, listener.local_addr().expect("it is bound"), StreamerState::Ready);
    let controller = ControllerServer::start(settings(folder.path())).await.expect("it starts");
    let link = accept_link(&listener).await;
    (controller, folder, listener, link)
}

/// Accepts a link and completes its handshake.
async fn accept_link(listener: &TcpListener) -> Framed<TcpStream, StreamerCodec> {
    loop {
        let (socket, _) = timeout(TIMEOUT, listener.accept()).await.expect("it dials").expect("it can");
        let mut link = Framed::new(socket, StreamerCodec::default());
        // An attempt to connect that has been given up meanwhile sends nothing.
        if let Ok(Some(Ok(ControllerMessage::Hello(hello)))) = timeout(TIMEOUT, link.next()).await {
            assert_eq!(hello.version, PROTOCOL_VERSION);
            let welcome = Welcome { version: PROTOCOL_VERSION, streamer: "s0".into(), started: 1.0 };
            if link.send(StreamerMessage::Welcome(welcome)).await.is_ok() {
                return link;
            }
        }
    }
}

/// The next message of the controller that is no ping.
async fn next_message(link: &mut Framed<TcpStream, StreamerCodec>) -> ControllerMessage {
    loop {
        let message =
            timeout(TIMEOUT, link.next()).await.expect("a message arrives").expect("the link is open");
        match message.expect("it is valid") {
            ControllerMessage::Ping(_) => {}
            other => return other,
        }
    }
}

fn request_body(class: &str) -> String {
    json!({"title": "t", "lane": class, "ask": "a", "cmcd": {"sid": 7}}).to_string()
}

/// Sends a request without waiting for the response.
async fn send(to: SocketAddr, head: &str, body: &str) -> TcpStream {
    let mut socket = TcpStream::connect(to).await.expect("it listens");
    let length = body.len();
    let text = format!("{head}\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}");
    let _ = socket.write_all(text.as_bytes()).await;
    socket
}

/// Reads the whole response.
async fn response(mut socket: TcpStream) -> String {
    let mut text = Vec::new();
    let _ = timeout(TIMEOUT, socket.read_to_end(&mut text)).await.expect("it is answered and closed");
    String::from_utf8_lossy(&text).into_owned()
}

const POST: &str = "POST /v1/subscriptions HTTP/1.1";

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_with_cmcd_is_played_and_invalid_cmcd_is_ignored() {
    let (controller, _folder, _listener, mut link) = start().await;
    let cmcd = "CMCD-Object: tb=4000,==broken==\r\nCMCD-Session: sid=\"v1\"\r\nCMCD-Request: ((((";
    let request = send(controller.address, &format!("{POST}\r\n{cmcd}"), &request_body("paid")).await;
    let ControllerMessage::SetUp(set_up) = next_message(&mut link).await else {
        panic!("a set-up is sent first")
    };
    assert!(set_up.rate_kb * 8 <= 4000, "the player's top bitrate is kept");
    let load = CmsdDynamic { server: "s0".into(), link_utilization: Some(0.25), ..CmsdDynamic::default() };
    let plays = Plays { id: set_up.id, shot: set_up.shot, cmsd_dynamic: load.to_header_value() };
    link.send(StreamerMessage::Plays(plays)).await.expect("it reads");
    let text = response(request).await;
    assert!(text.starts_with("HTTP/1.1 201"), "{text}");
    assert!(text.contains("cmsd-static: br=") && text.contains("cmsd-dynamic: \"lemontide-0\""), "{text}");
    let body = text.split("\r\n\r\n").nth(1).expect("there is a body");
    let Ok(PlayResponse::Plays { session, ref streamer, .. }) = serde_json::from_str(body) else {
        panic!("it plays: {body}")
    };
    assert_eq!(streamer, "s0");
    let deletion =
        send(controller.address, &format!("DELETE /v1/subscriptions/{session} HTTP/1.1"), "").await;
    assert!(response(deletion).await.starts_with("HTTP/1.1 204"));
    assert!(
        matches!(next_message(&mut link).await, ControllerMessage::Cancel(Cancel { id, .. }) if id == session)
    );
    tokio::task::spawn_blocking(move || controller.stop()).await.expect("it stops");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_player_that_disconnects_cancels_its_attempt() {
    let (controller, _folder, _listener, mut link) = start().await;
    let request = send(controller.address, POST, &request_body("paid")).await;
    let ControllerMessage::SetUp(set_up) = next_message(&mut link).await else {
        panic!("a set-up is sent first")
    };
    drop(request);
    let ControllerMessage::Cancel(cancel) = next_message(&mut link).await else {
        panic!("then its cancellation")
    };
    assert_eq!(cancel.id, set_up.id);
    tokio::task::spawn_blocking(move || controller.stop()).await.expect("it stops");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_requests_get_error_responses_and_have_no_effect() {
    let (controller, _folder, _listener, mut link) = start().await;
    let to = controller.address;
    for (body, status) in [
        ("{", "400"),
        (r#"{"title":"t","lane":"free","tpo":1}"#, "400"),
        (r#"{"title":"none","lane":"free"}"#, "404"),
        (r#"{"title":"t","lane":"none"}"#, "400"),
    ] {
        let text = response(send(to, POST, body).await).await;
        assert!(text.starts_with(&format!("HTTP/1.1 {status}")), "{body}: {text}");
        assert!(text.contains("not_taken"), "{text}");
    }
    let long = "x".repeat(20_000);
    let text = response(send(to, POST, &long).await).await;
    assert!(text.starts_with("HTTP/1.1 413"), "{text}");
    // Headers that are too long, and headers that never end: the connection is closed.
    let text = response(send(to, &format!("{POST}\r\nx-long: {}", "y".repeat(40_000)), "{}").await).await;
    assert!(text.is_empty() || text.starts_with("HTTP/1.1 4"), "{text}");
    let mut slow = TcpStream::connect(to).await.expect("it listens");
    slow.write_all(b"POST /v1/subscriptions HTTP/1.1\r\nhost").await.expect("it is open");
    response(slow).await;
    // A body that never ends gets a response, too.
    let mut slow = TcpStream::connect(to).await.expect("it listens");
    let head = format!("{POST}\r\nhost: x\r\nconnection: close\r\ncontent-length: 50\r\n\r\n{{");
    slow.write_all(head.as_bytes()).await.expect("it is open");
    assert!(response(slow).await.starts_with("HTTP/1.1 408"));
    // A valid request still works afterwards.
    let request = send(to, POST, &request_body("free")).await;
    assert!(matches!(next_message(&mut link).await, ControllerMessage::SetUp(_)));
    drop(request);
    tokio::task::spawn_blocking(move || controller.stop()).await.expect("it stops");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_streamer_that_sends_an_invalid_frame_is_reconnected_and_its_open_attempts_count_as_run() {
    let (controller, _folder, listener, mut link) = start().await;
    let paid = send(controller.address, POST, &request_body("paid")).await;
    assert!(matches!(next_message(&mut link).await, ControllerMessage::SetUp(_)));
    // A frame longer than the maximum.
    link.get_mut().write_all(&[0xff; 64]).await.expect("it is open");
    assert!(response(paid).await.starts_with("HTTP/1.1 502"), "at most once, and it can have run: failed");
    let _second_link = accept_link(&listener).await;
    tokio::task::spawn_blocking(move || controller.stop()).await.expect("it stops");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_incomplete_list_is_ignored_and_a_drain_takes_effect() {
    let (controller, folder, listener, mut link) = start().await;
    std::fs::write(folder.path().join("list.json"), "{\"version\": 2, \"strea").expect("it can be written");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let request = send(controller.address, POST, &request_body("free")).await;
    assert!(
        matches!(next_message(&mut link).await, ControllerMessage::SetUp(_)),
        "the last list is in force"
    );
    drop(request);
    assert!(matches!(next_message(&mut link).await, ControllerMessage::Cancel(_)));
    write_list(folder.path(), 3, listener.local_addr().expect("it is bound"), StreamerState::Draining);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let text = response(send(controller.address, POST, &request_body("free")).await).await;
    assert!(text.starts_with("HTTP/1.1 503") && text.contains("retry-after: 1"), "{text}");
    tokio::task::spawn_blocking(move || controller.stop()).await.expect("it stops");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_different_streamer_at_the_listed_address_gets_no_set_ups() {
    let folder = tempfile::tempdir().expect("a folder can be created");
    let day = Day::read(Path::new("../../days/short.json")).expect("it is valid");
    let clock = Clock::start();
    let fleet = Fleet::start(&day, clock, Tap::disabled(clock), None).await.expect("loopback is there");
    // The streamer at this address is s1.
    write_list(folder.path(), 1, fleet.addresses[1], StreamerState::Ready);
    let controller = ControllerServer::start(settings(folder.path())).await.expect("it starts");
    let text = response(send(controller.address, POST, &request_body("free")).await).await;
    assert!(text.starts_with("HTTP/1.1 503"), "{text}");
    tokio::task::spawn_blocking(move || controller.stop()).await.expect("it stops");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_event_stream_shows_the_rung_and_the_end() {
    let (controller, _folder, _listener, mut link) = start().await;
    let request = send(controller.address, POST, &request_body("free")).await;
    let ControllerMessage::SetUp(set_up) = next_message(&mut link).await else {
        panic!("a set-up is sent first")
    };
    let plays = Plays { id: set_up.id, shot: set_up.shot, cmsd_dynamic: String::new() };
    link.send(StreamerMessage::Plays(plays)).await.expect("it reads");
    response(request).await;
    let events =
        send(controller.address, &format!("GET /v1/subscriptions/{}/news HTTP/1.1", set_up.id), "").await;
    // The first event is the current rung; then the link to the streamer is lost.
    tokio::time::sleep(Duration::from_millis(200)).await;
    drop(link);
    let text = response(events).await;
    assert!(text.contains("\"news\":\"rung\"") && text.contains("\"why\":\"broken\""), "{text}");
    let none = send(controller.address, "GET /v1/subscriptions/4000/news HTTP/1.1", "").await;
    assert!(response(none).await.starts_with("HTTP/1.1 404"));
    tokio::task::spawn_blocking(move || controller.stop()).await.expect("it stops");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_controller_at_its_memory_limit_rejects_requests() {
    for (memory_bytes, full) in [(1.0, true), (1e12, false)] {
        let folder = tempfile::tempdir().expect("a folder can be created");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback is there");
        write_list(folder.path(), 1, listener.local_addr().expect("it is bound"), StreamerState::Ready);
        let shedding = json!({"delay_s": 5.0, "cores": 64, "memory_bytes": memory_bytes, "files": 1e6});
        let mut settings = settings(folder.path());
        settings.shedding = Some(serde_json::from_value(shedding).expect("it is valid"));
        let controller = ControllerServer::start(settings).await.expect("it starts");
        let mut link = accept_link(&listener).await;
        // Utilization is measured every 0.1 s.
        tokio::time::sleep(Duration::from_millis(300)).await;
        let request = send(controller.address, POST, &request_body("free")).await;
        if full {
            let text = response(request).await;
            let has_reason = text.contains("near its limit") && text.contains("retry-after: 1");
            assert!(text.starts_with("HTTP/1.1 503") && has_reason, "{text}");
        } else {
            assert!(matches!(next_message(&mut link).await, ControllerMessage::SetUp(_)));
            drop(request);
        }
        tokio::task::spawn_blocking(move || controller.stop()).await.expect("it stops");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_player_that_closed_its_half_of_the_connection_gets_a_response() {
    let (controller, _folder, _listener, mut link) = start().await;
    let mut request = send(controller.address, POST, &request_body("paid")).await;
    let ControllerMessage::SetUp(set_up) = next_message(&mut link).await else {
        panic!("a set-up is sent first")
    };
    request.shutdown().await.expect("this half is closed");
    // Long enough for the controller to have read the close.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let plays = Plays { id: set_up.id, shot: set_up.shot, cmsd_dynamic: String::new() };
    link.send(StreamerMessage::Plays(plays)).await.expect("it reads");
    let text = response(request).await;
    assert_eq!(text.matches("HTTP/1.1 201").count(), 1, "{text}");
    tokio::task::spawn_blocking(move || controller.stop()).await.expect("it stops");
}
