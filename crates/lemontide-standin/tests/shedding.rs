//! Limits of the controller over real sockets: the doorway, bounds of connections, slow and stuck players.

use lemontide_front::events::ControllerState;
use lemontide_front::server::ControllerServer;
use lemontide_front::settings::Settings;
use lemontide_wire::list::StreamerList;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

const SOON: Duration = Duration::from_secs(10);

/// A controller without streamers; `change` sets its limits.
async fn start(change: impl Fn(&mut Settings)) -> (ControllerServer, tempfile::TempDir) {
    let folder = tempfile::tempdir().expect("a folder");
    let list = folder.path().join("list.json");
    std::fs::write(&list, serde_json::to_vec(&StreamerList { version: 1, streamers: vec![] }).expect("JSON"))
        .expect("the folder can be written");
    let lane =
        |name: &str| json!({"name": name, "gain": 1, "latency_goal_s": 1, "cut_off_s": 3, "repeat": "free"});
    let settings = json!({
        "listen": "127.0.0.1:0", "me": 0, "controllers": 1, "seed": 7, "zone": "here", "list": list,
        "titles": {"t": {"home": 0, "copies": 1}}, "lanes": [lane("free"), lane("paid")],
        "ladder": {"kb": [200], "gain": [1.0]},
        "fleet": {"cells": 1, "racks": 1, "rack_kb": 1e6, "kb_per_weight": 1e5, "kinds": []},
        "notes": {"age_s": 1, "every_s": 3}, "shots": {"most": 2},
        "retry_after": {"allowed": true, "longest_s": 0.5},
        "cold": {"span_s": 0, "from": 1, "multiple": 2, "window_s": 1},
        "links": {"dial_timeout_s": 0.25}, "limits": {"stop_s": 0.1}
    });
    let mut settings: Settings = serde_json::from_value(settings).expect("the settings are valid");
    change(&mut settings);
    settings.check().expect("they fit each other");
    (ControllerServer::start(settings).await.expect("it starts"), folder)
}

async fn stop(front: ControllerServer) {
    tokio::task::spawn_blocking(move || front.stop()).await.expect("it stops");
}

/// A controller whose memory is past its limit from the start, once its gauges were read.
async fn full(allowed: bool) -> (ControllerServer, tempfile::TempDir) {
    let started = start(|settings| {
        settings.retry_after.allowed = allowed;
        let shedding = json!({"delay_s": 5.0, "cores": 64, "memory_bytes": 1, "files": 1e6});
        settings.shedding = Some(serde_json::from_value(shedding).expect("it is valid"));
    })
    .await;
    // Until the gauges were read, however slow the machine.
    for _ in 0..200 {
        if state(started.0.address).await.shedding.is_some_and(|view| view.limit_per_s == Some(0.0)) {
            return started;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the gauges were not read within 10 s");
}

fn wish(hint: &str, lane: &str) -> Vec<u8> {
    let body = json!({"title": "t", "lane": lane, "ask": "a"}).to_string();
    let hint = if hint.is_empty() { String::new() } else { format!("lemontide-wish: {hint}\r\n") };
    format!(
        "POST /v1/subscriptions HTTP/1.1\r\nhost: x\r\n{hint}content-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Reads one answer by its length.
async fn answer(socket: &mut TcpStream) -> String {
    let read = async {
        let mut text = Vec::new();
        loop {
            let byte = socket.read_u8().await.expect("the answer is whole");
            text.push(byte);
            if text.ends_with(b"\r\n\r\n") {
                break;
            }
        }
        let head = String::from_utf8_lossy(&text).to_lowercase();
        let length = head.split("content-length: ").nth(1).and_then(|rest| rest.split("\r\n").next());
        let mut body = vec![0; length.and_then(|n| n.parse().ok()).expect("a length")];
        socket.read_exact(&mut body).await.expect("the answer is whole");
        head + &String::from_utf8_lossy(&body)
    };
    timeout(SOON, read).await.expect("an answer in time")
}

async fn connect(to: SocketAddr) -> TcpStream {
    TcpStream::connect(to).await.expect("it listens")
}

async fn state(to: SocketAddr) -> ControllerState {
    let mut socket = connect(to).await;
    socket.write_all(b"GET /v1/state HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("it takes bytes");
    let text = answer(&mut socket).await;
    serde_json::from_str(text.split("\r\n\r\n").nth(1).expect("a body")).expect("a state")
}

/// Whether the other end closes it soon.
async fn closes(socket: &mut TcpStream) -> bool {
    let mut rest = Vec::new();
    timeout(SOON, socket.read_to_end(&mut rest)).await.is_ok()
}

#[tokio::test]
async fn a_hinted_wish_is_turned_back_at_the_doorway_and_the_connection_goes_on() {
    let (front, _folder) = full(true).await;
    let mut socket = connect(front.address).await;
    for _ in 0..3 {
        socket.write_all(&wish("lane=free", "free")).await.expect("it takes bytes");
        let told = answer(&mut socket).await;
        assert!(told.starts_with("http/1.1 503") && told.contains("retry-after: 1\r\n"), "{told}");
        assert!(told.contains("near its limit"), "{told}");
        // Anything else goes through on the same connection, also between wishes.
        socket.write_all(b"GET /v1/gossip HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("it takes bytes");
        assert!(answer(&mut socket).await.starts_with("http/1.1 404"));
    }
    // Without the hint it is turned back, too, only later; so is one that comes in two parts.
    socket.write_all(&wish("", "free")).await.expect("it takes bytes");
    assert!(answer(&mut socket).await.contains("near its limit"));
    let (one, other) = (&wish("lane=free", "free")[..60], &wish("lane=free", "free")[60..]);
    socket.write_all(one).await.expect("it takes bytes");
    tokio::time::sleep(Duration::from_millis(50)).await;
    socket.write_all(other).await.expect("it takes bytes");
    assert!(answer(&mut socket).await.contains("near its limit"));
    let state = state(front.address).await;
    // The two parts may have come as one.
    assert_eq!(state.shed, 5);
    assert!(state.shed_by_hint >= 3, "{}", state.shed_by_hint);
    stop(front).await;
}

#[tokio::test]
async fn no_wait_is_told_where_none_is_allowed() {
    let (front, _folder) = full(false).await;
    let mut socket = connect(front.address).await;
    for hint in ["lane=free", ""] {
        socket.write_all(&wish(hint, "free")).await.expect("it takes bytes");
        let told = answer(&mut socket).await;
        assert!(told.contains("near its limit") && !told.contains("retry-after"), "{told}");
    }
    stop(front).await;
}

#[tokio::test]
async fn wishes_sent_all_at_once_get_one_answer_each() {
    let (front, _folder) = full(true).await;
    let mut socket = connect(front.address).await;
    let all: Vec<u8> = (0..20).flat_map(|_| wish("lane=free", "free")).collect();
    socket.write_all(&all).await.expect("it takes bytes");
    for _ in 0..20 {
        assert!(answer(&mut socket).await.contains("near its limit"));
    }
    let more = timeout(Duration::from_millis(200), socket.read_u8()).await;
    assert!(more.is_err(), "and not one more");
    stop(front).await;
}

#[tokio::test]
async fn a_hint_that_says_another_lane_than_the_wish_gets_nobody_in() {
    let (front, _folder) = start(|settings| {
        let shedding = json!({"delay_s": 5.0, "cores": 64, "memory_bytes": 1e12, "files": 1e6});
        settings.shedding = Some(serde_json::from_value(shedding).expect("it is valid"));
    })
    .await;
    let mut socket = connect(front.address).await;
    socket.write_all(&wish("lane=paid", "free")).await.expect("it takes bytes");
    let told = answer(&mut socket).await;
    assert!(told.starts_with("http/1.1 400") && told.contains("another lane"), "{told}");
    stop(front).await;
}

#[tokio::test]
async fn one_network_in_excess_is_refused_and_others_are_not() {
    let (front, _folder) = start(|settings| settings.limits.max_connections_per_network = 2).await;
    let from = |host: &str| {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(format!("{host}:0").parse().expect("an address")).expect("loopback");
        socket.connect(front.address)
    };
    let _first = from("127.0.1.1").await.expect("in");
    let _second = from("127.0.1.2").await.expect("in");
    let mut third = from("127.0.1.3").await.expect("in the queue");
    let told = answer(&mut third).await;
    assert!(told.starts_with("http/1.1 503") && told.contains("too many connections"), "{told}");
    let mut other = from("127.0.2.1").await.expect("in");
    other.write_all(b"GET /v1/state HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("it takes bytes");
    assert!(answer(&mut other).await.contains("\"refused_network\":1"));
    stop(front).await;
}

#[tokio::test]
async fn a_full_house_closes_the_longest_idle_for_a_new_one() {
    let (front, _folder) = start(|settings| settings.limits.max_connections = 50).await;
    let mut idle = Vec::new();
    for _ in 0..50 {
        idle.push(connect(front.address).await);
    }
    tokio::time::sleep(Duration::from_millis(800)).await;
    let state = state(front.address).await;
    assert_eq!((state.connections.open, state.connections.closed_idle), (50, 1));
    assert!(closes(&mut idle[0]).await, "the one that was idle longest");
    stop(front).await;
}

#[tokio::test]
async fn slow_heads_idlers_and_stuck_readers_are_ended() {
    let (front, _folder) = start(|settings| {
        (
            settings.limits.request_timeout_s,
            settings.limits.idle_timeout_s,
            settings.limits.write_timeout_s,
        ) = (1.0, 1.0, 0.5);
    })
    .await;
    let mut slow = connect(front.address).await;
    slow.write_all(b"POST /v1/subscriptions HTTP/1.1\r\nhost").await.expect("it takes bytes");
    assert!(closes(&mut slow).await, "a head that does not come");
    let mut silent = connect(front.address).await;
    assert!(closes(&mut silent).await, "nothing that comes at all");
    let mut idle = connect(front.address).await;
    idle.write_all(b"GET /v1/gossip HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("it takes bytes");
    assert!(answer(&mut idle).await.starts_with("http/1.1 404"));
    assert!(closes(&mut idle).await, "nothing after the first answer");
    // A player that asks on and on and reads nothing.
    let mut stuck = connect(front.address).await;
    let asks = b"GET /v1/state HTTP/1.1\r\nhost: x\r\n\r\n".repeat(2000);
    let write = async {
        // Until its end is closed, which a write sees.
        while stuck.write_all(&asks).await.is_ok() {}
    };
    assert!(timeout(SOON, write).await.is_ok(), "its connection is ended");
    assert!(state(front.address).await.connections.open <= 1);
    stop(front).await;
}
