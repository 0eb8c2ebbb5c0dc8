//! Load shedding and limits of the controller over real sockets: rejection by the request hint, connection limits, slow
//! players and players that read nothing.

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

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// A controller without streamers; `change` adapts its settings.
async fn start(change: impl Fn(&mut Settings)) -> (ControllerServer, tempfile::TempDir) {
    let folder = tempfile::tempdir().expect("a folder");
    let list = folder.path().join("list.json");
    std::fs::write(&list, serde_json::to_vec(&StreamerList { version: 1, streamers: vec![] }).expect("JSON"))
        .expect("the folder can be written");
    let class =
        |name: &str| json!({"name": name, "gain": 1, "latency_goal_s": 1, "cut_off_s": 3, "repeat": "free"});
    let settings = json!({
        "listen": "127.0.0.1:0", "me": 0, "controllers": 1, "seed": 7, "zone": "here", "list": list,
        "titles": {"t": {"home": 0, "copies": 1}}, "lanes": [class("free"), class("paid")],
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

async fn stop(controller: ControllerServer) {
    tokio::task::spawn_blocking(move || controller.stop()).await.expect("it stops");
}

/// A controller whose memory is over its limit from the start, once the utilization was measured.
async fn start_overloaded(retry_after_allowed: bool) -> (ControllerServer, tempfile::TempDir) {
    let started = start(|settings| {
        settings.retry_after.allowed = retry_after_allowed;
        let shedding = json!({"delay_s": 5.0, "cores": 64, "memory_bytes": 1, "files": 1e6});
        settings.shedding = Some(serde_json::from_value(shedding).expect("it is valid"));
    })
    .await;
    // Waits for the first measurement, which takes longer on a slow machine.
    for _ in 0..200 {
        if state(started.0.address).await.shedding.is_some_and(|view| view.limit_per_s == Some(0.0)) {
            return started;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the utilization was not measured within 10 s");
}

fn play_request(hint: &str, class: &str) -> Vec<u8> {
    let body = json!({"title": "t", "lane": class, "ask": "a"}).to_string();
    let hint = if hint.is_empty() { String::new() } else { format!("lemontide-wish: {hint}\r\n") };
    format!(
        "POST /v1/subscriptions HTTP/1.1\r\nhost: x\r\n{hint}content-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Reads one response by its length.
async fn read_response(socket: &mut TcpStream) -> String {
    let read = async {
        let mut text = Vec::new();
        loop {
            let byte = socket.read_u8().await.expect("the response is complete");
            text.push(byte);
            if text.ends_with(b"\r\n\r\n") {
                break;
            }
        }
        let head = String::from_utf8_lossy(&text).to_lowercase();
        let length = head.split("content-length: ").nth(1).and_then(|rest| rest.split("\r\n").next());
        let mut body = vec![0; length.and_then(|n| n.parse().ok()).expect("a length")];
        socket.read_exact(&mut body).await.expect("the response is complete");
        head + &String::from_utf8_lossy(&body)
    };
    timeout(WAIT_TIMEOUT, read).await.expect("a response in time")
}

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.expect("it listens")
}

async fn state(address: SocketAddr) -> ControllerState {
    let mut socket = connect(address).await;
    socket.write_all(b"GET /v1/state HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("sent");
    let text = read_response(&mut socket).await;
    serde_json::from_str(text.split("\r\n\r\n").nth(1).expect("a body")).expect("a state")
}

/// Whether the other end closes the connection within the time limit.
async fn is_closed(socket: &mut TcpStream) -> bool {
    let mut rest = Vec::new();
    timeout(WAIT_TIMEOUT, socket.read_to_end(&mut rest)).await.is_ok()
}

#[tokio::test]
async fn a_request_with_a_hint_is_rejected_by_its_head_and_the_connection_stays_open() {
    let (controller, _folder) = start_overloaded(true).await;
    let mut socket = connect(controller.address).await;
    for _ in 0..3 {
        socket.write_all(&play_request("lane=free", "free")).await.expect("sent");
        let response = read_response(&mut socket).await;
        assert!(
            response.starts_with("http/1.1 503") && response.contains("retry-after: 1\r\n"),
            "{response}"
        );
        assert!(response.contains("near its limit"), "{response}");
        // Other requests on the same connection are served, also between play requests.
        socket.write_all(b"GET /v1/gossip HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("sent");
        assert!(read_response(&mut socket).await.starts_with("http/1.1 404"));
    }
    // Without the hint a request is rejected, too, only later; so is one that arrives in two parts.
    socket.write_all(&play_request("", "free")).await.expect("sent");
    assert!(read_response(&mut socket).await.contains("near its limit"));
    let request = play_request("lane=free", "free");
    let (first, second) = request.split_at(60);
    socket.write_all(first).await.expect("sent");
    tokio::time::sleep(Duration::from_millis(50)).await;
    socket.write_all(second).await.expect("sent");
    assert!(read_response(&mut socket).await.contains("near its limit"));
    let state = state(controller.address).await;
    // The two parts can have arrived as one.
    assert_eq!(state.shed, 5);
    assert!(state.shed_by_hint >= 3, "{}", state.shed_by_hint);
    stop(controller).await;
}

#[tokio::test]
async fn a_rejection_has_no_retry_after_where_it_is_not_allowed() {
    let (controller, _folder) = start_overloaded(false).await;
    let mut socket = connect(controller.address).await;
    for hint in ["lane=free", ""] {
        socket.write_all(&play_request(hint, "free")).await.expect("sent");
        let response = read_response(&mut socket).await;
        assert!(response.contains("near its limit") && !response.contains("retry-after"), "{response}");
    }
    stop(controller).await;
}

#[tokio::test]
async fn requests_sent_all_at_once_get_one_response_each() {
    let (controller, _folder) = start_overloaded(true).await;
    let mut socket = connect(controller.address).await;
    let all: Vec<u8> = (0..20).flat_map(|_| play_request("lane=free", "free")).collect();
    socket.write_all(&all).await.expect("sent");
    for _ in 0..20 {
        assert!(read_response(&mut socket).await.contains("near its limit"));
    }
    let more = timeout(Duration::from_millis(200), socket.read_u8()).await;
    assert!(more.is_err(), "no further response");
    stop(controller).await;
}

#[tokio::test]
async fn a_hint_with_another_class_than_the_request_is_an_error() {
    let (controller, _folder) = start(|settings| {
        let shedding = json!({"delay_s": 5.0, "cores": 64, "memory_bytes": 1e12, "files": 1e6});
        settings.shedding = Some(serde_json::from_value(shedding).expect("it is valid"));
    })
    .await;
    let mut socket = connect(controller.address).await;
    socket.write_all(&play_request("lane=paid", "free")).await.expect("sent");
    let response = read_response(&mut socket).await;
    assert!(response.starts_with("http/1.1 400") && response.contains("another lane"), "{response}");
    stop(controller).await;
}

#[tokio::test]
async fn a_network_over_its_limit_is_refused_and_others_are_not() {
    let (controller, _folder) = start(|settings| settings.limits.max_connections_per_network = 2).await;
    let from = |host: &str| {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(format!("{host}:0").parse().expect("an address")).expect("loopback");
        socket.connect(controller.address)
    };
    let _first = from("127.0.1.1").await.expect("connected");
    let _second = from("127.0.1.2").await.expect("connected");
    let mut third = from("127.0.1.3").await.expect("connected to the listen queue");
    let response = read_response(&mut third).await;
    assert!(response.starts_with("http/1.1 503") && response.contains("too many connections"), "{response}");
    let mut other = from("127.0.2.1").await.expect("connected");
    other.write_all(b"GET /v1/state HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("sent");
    assert!(read_response(&mut other).await.contains("\"refused_network\":1"));
    stop(controller).await;
}

#[tokio::test]
async fn at_the_connection_limit_the_longest_idle_one_is_closed_for_a_new_one() {
    let (controller, _folder) = start(|settings| settings.limits.max_connections = 50).await;
    let mut idle = Vec::new();
    for _ in 0..50 {
        idle.push(connect(controller.address).await);
    }
    tokio::time::sleep(Duration::from_millis(800)).await;
    let state = state(controller.address).await;
    assert_eq!((state.connections.open, state.connections.closed_idle), (50, 1));
    assert!(is_closed(&mut idle[0]).await, "the longest idle one");
    stop(controller).await;
}

#[tokio::test]
async fn connections_with_slow_heads_without_requests_or_without_reads_are_closed() {
    let (controller, _folder) = start(|settings| {
        (
            settings.limits.request_timeout_s,
            settings.limits.idle_timeout_s,
            settings.limits.write_timeout_s,
        ) = (1.0, 1.0, 0.5);
    })
    .await;
    let mut slow = connect(controller.address).await;
    slow.write_all(b"POST /v1/subscriptions HTTP/1.1\r\nhost").await.expect("sent");
    assert!(is_closed(&mut slow).await, "an incomplete head");
    let mut silent = connect(controller.address).await;
    assert!(is_closed(&mut silent).await, "no request at all");
    let mut idle = connect(controller.address).await;
    idle.write_all(b"GET /v1/gossip HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("sent");
    assert!(read_response(&mut idle).await.starts_with("http/1.1 404"));
    assert!(is_closed(&mut idle).await, "no request after the first response");
    // A player that sends many requests and reads nothing.
    let mut not_reading = connect(controller.address).await;
    let requests = b"GET /v1/state HTTP/1.1\r\nhost: x\r\n\r\n".repeat(2000);
    let write = async {
        // Until the controller closes the connection, which makes a write fail.
        while not_reading.write_all(&requests).await.is_ok() {}
    };
    assert!(timeout(WAIT_TIMEOUT, write).await.is_ok(), "its connection is closed");
    assert!(state(controller.address).await.connections.open <= 1);
    stop(controller).await;
}
