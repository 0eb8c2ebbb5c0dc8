//! The controller over real sockets on loopback, against odd players and odd streamers.

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

const SOON: Duration = Duration::from_secs(10);

fn settings(folder: &Path) -> Settings {
    let lane = |name: &str, repeat: &str| json!({"name": name, "gain": 1, "latency_goal_s": 1, "cut_off_s": 3, "repeat": repeat});
    let settings = json!({
        "listen": "127.0.0.1:0", "me": 0, "controllers": 1, "seed": 7, "zone": "here",
        "list": folder.join("list.json"), "titles": {"t": {"home": 0, "copies": 1}},
        "lanes": [lane("free", "free"), lane("paid", "paid")],
        "ladder": {"kb": [200, 400, 800], "gain": [0.3, 0.6, 1.0]},
        "fleet": {"cells": 1, "racks": 1, "rack_kb": 1e6, "kb_per_weight": 1e5,
                  "kinds": [{"name": "std", "streams": 3000}]},
        "notes": {"age_s": 1, "every_s": 3}, "shots": {"most": 2},
        "retry_after": {"allowed": true, "longest_s": 0.5},
        // No warm-up here: a new controller would hold back for half of it.
        "cold": {"span_s": 0, "from": 1, "multiple": 2, "window_s": 1},
        "links": {"dial_timeout_s": 0.25}, "limits": {"stop_s": 0.1, "request_s": 1.0}
    });
    serde_json::from_value(settings).expect("the settings are valid")
}

fn list(folder: &Path, version: u64, address: SocketAddr, stage: StreamerState) {
    let streamer = ListEntry {
        streamer: "s0".into(),
        address: address.to_string(),
        zone: "here".into(),
        kind: "std".into(),
        cell: 0,
        state: stage,
        weight: 1.0,
        started_at: None,
    };
    let list = StreamerList { version, streamers: vec![streamer] };
    let bytes = serde_json::to_vec(&list).expect("a list is JSON");
    lemontide_standin::run::replace(&folder.join("list.json"), &bytes).expect("the folder can be written");
}

/// A controller with one streamer that the test plays itself; its first link, greeted.
async fn start() -> (ControllerServer, tempfile::TempDir, TcpListener, Framed<TcpStream, StreamerCodec>) {
    let folder = tempfile::tempdir().expect("a folder is to be had");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback is there");
    list(folder.path(), 1, listener.local_addr().expect("it is bound"), StreamerState::Ready);
    let front = ControllerServer::start(settings(folder.path())).await.expect("it starts");
    let link = link(&listener).await;
    (front, folder, listener, link)
}

async fn link(listener: &TcpListener) -> Framed<TcpStream, StreamerCodec> {
    loop {
        let (socket, _) = timeout(SOON, listener.accept()).await.expect("it dials").expect("it can");
        let mut link = Framed::new(socket, StreamerCodec::default());
        // A dial that gave up meanwhile says nothing.
        if let Ok(Some(Ok(ControllerMessage::Hello(hello)))) = timeout(SOON, link.next()).await {
            assert_eq!(hello.version, PROTOCOL_VERSION);
            let welcome = Welcome { version: PROTOCOL_VERSION, streamer: "s0".into(), started: 1.0 };
            if link.send(StreamerMessage::Welcome(welcome)).await.is_ok() {
                return link;
            }
        }
    }
}

async fn order(link: &mut Framed<TcpStream, StreamerCodec>) -> ControllerMessage {
    loop {
        let order = timeout(SOON, link.next()).await.expect("an order comes").expect("the link is open");
        match order.expect("it is valid") {
            ControllerMessage::Ping(_) => {}
            other => return other,
        }
    }
}

fn wish(lane: &str) -> String {
    json!({"title": "t", "lane": lane, "ask": "a", "cmcd": {"sid": 7}}).to_string()
}

async fn send(to: SocketAddr, head: &str, body: &str) -> TcpStream {
    let mut socket = TcpStream::connect(to).await.expect("it listens");
    let length = body.len();
    let text = format!("{head}\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}");
    let _ = socket.write_all(text.as_bytes()).await;
    socket
}

async fn answer(mut socket: TcpStream) -> String {
    let mut text = Vec::new();
    let _ = timeout(SOON, socket.read_to_end(&mut text)).await.expect("it is answered and closed");
    String::from_utf8_lossy(&text).into_owned()
}

const POST: &str = "POST /v1/subscriptions HTTP/1.1";

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_wish_is_played_with_hints_and_garbage_hints_cost_nothing() {
    let (front, _folder, _listener, mut link) = start().await;
    let hints = "CMCD-Object: tb=4000,==broken==\r\nCMCD-Session: sid=\"v1\"\r\nCMCD-Request: ((((";
    let asked = send(front.address, &format!("{POST}\r\n{hints}"), &wish("paid")).await;
    let ControllerMessage::SetUp(set_up) = order(&mut link).await else { panic!("a set-up comes first") };
    assert!(set_up.rate_kb * 8 <= 4000, "the player's top bitrate is kept");
    let load = CmsdDynamic { server: "s0".into(), link_utilization: Some(0.25), ..CmsdDynamic::default() };
    let plays = Plays { id: set_up.id, shot: set_up.shot, cmsd_dynamic: load.to_header_value() };
    link.send(StreamerMessage::Plays(plays)).await.expect("it reads");
    let text = answer(asked).await;
    assert!(text.starts_with("HTTP/1.1 201"), "{text}");
    assert!(text.contains("cmsd-static: br=") && text.contains("cmsd-dynamic: \"lemontide-0\""), "{text}");
    let body = text.split("\r\n\r\n").nth(1).expect("there is a body");
    let Ok(PlayResponse::Plays { session: subscription, ref streamer, .. }) = serde_json::from_str(body)
    else {
        panic!("it plays: {body}")
    };
    assert_eq!(streamer, "s0");
    let gone = send(front.address, &format!("DELETE /v1/subscriptions/{subscription} HTTP/1.1"), "").await;
    assert!(answer(gone).await.starts_with("HTTP/1.1 204"));
    assert!(
        matches!(order(&mut link).await, ControllerMessage::Cancel(Cancel { id, .. }) if id == subscription)
    );
    tokio::task::spawn_blocking(move || front.stop()).await.expect("it stops");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_player_that_goes_away_is_heard() {
    let (front, _folder, _listener, mut link) = start().await;
    let asked = send(front.address, POST, &wish("paid")).await;
    let ControllerMessage::SetUp(set_up) = order(&mut link).await else { panic!("a set-up comes first") };
    drop(asked);
    let ControllerMessage::Cancel(cancel) = order(&mut link).await else { panic!("then its cancel") };
    assert_eq!(cancel.id, set_up.id);
    tokio::task::spawn_blocking(move || front.stop()).await.expect("it stops");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_requests_get_clear_answers_and_change_nothing() {
    let (front, _folder, _listener, mut link) = start().await;
    let to = front.address;
    for (body, status) in [
        ("{", "400"),
        (r#"{"title":"t","lane":"free","tpo":1}"#, "400"),
        (r#"{"title":"none","lane":"free"}"#, "404"),
        (r#"{"title":"t","lane":"none"}"#, "400"),
    ] {
        let text = answer(send(to, POST, body).await).await;
        assert!(text.starts_with(&format!("HTTP/1.1 {status}")), "{body}: {text}");
        assert!(text.contains("not_taken"), "{text}");
    }
    let long = "x".repeat(20_000);
    let text = answer(send(to, POST, &long).await).await;
    assert!(text.starts_with("HTTP/1.1 413"), "{text}");
    // A head that is too long, and one that never ends: both are cut off.
    let text = answer(send(to, &format!("{POST}\r\nx-long: {}", "y".repeat(40_000)), "{}").await).await;
    assert!(text.is_empty() || text.starts_with("HTTP/1.1 4"), "{text}");
    let mut slow = TcpStream::connect(to).await.expect("it listens");
    slow.write_all(b"POST /v1/subscriptions HTTP/1.1\r\nhost").await.expect("it is open");
    answer(slow).await;
    // A body that never ends is answered, too.
    let mut slow = TcpStream::connect(to).await.expect("it listens");
    let head = format!("{POST}\r\nhost: x\r\nconnection: close\r\ncontent-length: 50\r\n\r\n{{");
    slow.write_all(head.as_bytes()).await.expect("it is open");
    assert!(answer(slow).await.starts_with("HTTP/1.1 408"));
    // After all that a plain wish still goes through.
    let asked = send(to, POST, &wish("free")).await;
    assert!(matches!(order(&mut link).await, ControllerMessage::SetUp(_)));
    drop(asked);
    tokio::task::spawn_blocking(move || front.stop()).await.expect("it stops");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_streamer_that_sends_garbage_is_dialled_anew_and_what_was_out_counts_as_run() {
    let (front, _folder, listener, mut link) = start().await;
    let paid = send(front.address, POST, &wish("paid")).await;
    assert!(matches!(order(&mut link).await, ControllerMessage::SetUp(_)));
    // A frame longer than any honest one.
    link.get_mut().write_all(&[0xff; 64]).await.expect("it is open");
    assert!(answer(paid).await.starts_with("HTTP/1.1 502"), "paid and may have run: scrapped");
    let _again = self::link(&listener).await;
    tokio::task::spawn_blocking(move || front.stop()).await.expect("it stops");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_half_written_list_keeps_the_last_and_a_drain_is_obeyed() {
    let (front, folder, listener, mut link) = start().await;
    std::fs::write(folder.path().join("list.json"), "{\"version\": 2, \"strea").expect("it can be written");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let asked = send(front.address, POST, &wish("free")).await;
    assert!(matches!(order(&mut link).await, ControllerMessage::SetUp(_)), "the last list is in force");
    drop(asked);
    assert!(matches!(order(&mut link).await, ControllerMessage::Cancel(_)));
    list(folder.path(), 3, listener.local_addr().expect("it is bound"), StreamerState::Draining);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let text = answer(send(front.address, POST, &wish("free")).await).await;
    assert!(text.starts_with("HTTP/1.1 503") && text.contains("retry-after: 1"), "{text}");
    tokio::task::spawn_blocking(move || front.stop()).await.expect("it stops");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn another_streamer_at_the_old_address_is_not_taken_for_it() {
    let folder = tempfile::tempdir().expect("a folder is to be had");
    let day = Day::read(Path::new("../../days/short.json")).expect("it is valid");
    let clock = Clock::start();
    let fleet = Fleet::start(&day, clock, Tap::disabled(clock), None).await.expect("loopback is there");
    // What answers there is s1.
    list(folder.path(), 1, fleet.addresses[1], StreamerState::Ready);
    let front = ControllerServer::start(settings(folder.path())).await.expect("it starts");
    let text = answer(send(front.address, POST, &wish("free")).await).await;
    assert!(text.starts_with("HTTP/1.1 503"), "{text}");
    tokio::task::spawn_blocking(move || front.stop()).await.expect("it stops");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_listener_hears_rungs_and_the_end() {
    let (front, _folder, _listener, mut link) = start().await;
    let asked = send(front.address, POST, &wish("free")).await;
    let ControllerMessage::SetUp(set_up) = order(&mut link).await else { panic!("a set-up comes first") };
    let plays = Plays { id: set_up.id, shot: set_up.shot, cmsd_dynamic: String::new() };
    link.send(StreamerMessage::Plays(plays)).await.expect("it reads");
    answer(asked).await;
    let news = send(front.address, &format!("GET /v1/subscriptions/{}/news HTTP/1.1", set_up.id), "").await;
    // Its first line is where things stand; then the streamer is lost.
    tokio::time::sleep(Duration::from_millis(200)).await;
    drop(link);
    let text = answer(news).await;
    assert!(text.contains("\"news\":\"rung\"") && text.contains("\"why\":\"broken\""), "{text}");
    let none = send(front.address, "GET /v1/subscriptions/4000/news HTTP/1.1", "").await;
    assert!(answer(none).await.starts_with("HTTP/1.1 404"));
    tokio::task::spawn_blocking(move || front.stop()).await.expect("it stops");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_controller_at_its_limit_turns_back_what_it_was_asked_to_guard() {
    for (memory_bytes, full) in [(1.0, true), (1e12, false)] {
        let folder = tempfile::tempdir().expect("a folder is to be had");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback is there");
        list(folder.path(), 1, listener.local_addr().expect("it is bound"), StreamerState::Ready);
        let shedding = json!({"delay_s": 5.0, "cores": 64, "memory_bytes": memory_bytes, "files": 1e6});
        let mut settings = settings(folder.path());
        settings.shedding = Some(serde_json::from_value(shedding).expect("it is valid"));
        let front = ControllerServer::start(settings).await.expect("it starts");
        let mut link = link(&listener).await;
        // The gauges are read every tenth of a second.
        tokio::time::sleep(Duration::from_millis(300)).await;
        let asked = send(front.address, POST, &wish("free")).await;
        if full {
            let text = answer(asked).await;
            let told = text.contains("near its limit") && text.contains("retry-after: 1");
            assert!(text.starts_with("HTTP/1.1 503") && told, "{text}");
        } else {
            assert!(matches!(order(&mut link).await, ControllerMessage::SetUp(_)));
            drop(asked);
        }
        tokio::task::spawn_blocking(move || front.stop()).await.expect("it stops");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_player_that_closed_its_half_is_answered() {
    let (front, _folder, _listener, mut link) = start().await;
    let mut asked = send(front.address, POST, &wish("paid")).await;
    let ControllerMessage::SetUp(set_up) = order(&mut link).await else { panic!("a set-up comes first") };
    asked.shutdown().await.expect("closed by half");
    // Long enough for the controller to have read the close.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let plays = Plays { id: set_up.id, shot: set_up.shot, cmsd_dynamic: String::new() };
    link.send(StreamerMessage::Plays(plays)).await.expect("it reads");
    let text = answer(asked).await;
    assert_eq!(text.matches("HTTP/1.1 201").count(), 1, "{text}");
    tokio::task::spawn_blocking(move || front.stop()).await.expect("it stops");
}
