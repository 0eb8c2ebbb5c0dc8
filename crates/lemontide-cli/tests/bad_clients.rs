//! Issue 57, pictures (a) to (c): clients that take much memory or time of a controller, or leave, beside a usual client.
//! The limits are the smallest of the platform's pages.

mod common;

use bytes::Bytes;
use common::{answer, set_up, RunningController};
use lemontide_platform::codec::{cause, Body, Message, SetUp, MAX_MESSAGE_BYTES};
use lemontide_standin::stub_platform::{encode_message, PlatformConnection};
use serde_json::json;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 1024;
/// Connections at the same time, as the page has it of bad clients: hundreds.
const CLIENTS: usize = 400;
/// How long bad clients go on.
const TROUBLE_TIME: Duration = Duration::from_secs(4);
/// A usual client has its answer within this time, or gives up.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
const USUAL_INTERVAL: Duration = Duration::from_millis(50);
const FIRST_USUAL: u64 = 1 << 40;
/// Parameter of a message that means nothing.
const UNKNOWN_CODE: u8 = 200;

/// How many set-ups of each session its streamers have read.
type Attempts = Arc<Mutex<HashMap<u64, usize>>>;

/// Runs a streamer that answers the set-ups that `answers` selects, and ends their sessions soon after.
fn start_streamer(listener: TcpListener, attempts: Attempts, answers: fn(&SetUp) -> bool) {
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let attempts = attempts.clone();
            tokio::spawn(async move {
                let mut connection = PlatformConnection::from_socket(socket).into_background();
                while let Ok(Message { session, body }) = connection.receive().await {
                    let Body::SetUp(set_up) = body else { continue };
                    *attempts.lock().expect("not poisoned").entry(session).or_default() += 1;
                    if !answers(&set_up) {
                        continue;
                    }
                    let is_sent = connection.send(session, answer()).await.is_ok()
                        && connection.send(session, Body::release(cause::NORMAL)).await.is_ok();
                    if !is_sent {
                        return;
                    }
                }
            });
        }
    });
}

/// A controller within the limits, and what its streamers have read.
async fn start(answers: fn(&SetUp) -> bool) -> (RunningController, Attempts) {
    let mut controller = RunningController::start(2, |config| {
        config["limits"] = json!({"sockets": SOCKETS, "memory_mb": MEMORY_MB});
    })
    .await;
    let attempts = Attempts::default();
    for streamer in std::mem::take(&mut controller.streamers) {
        start_streamer(streamer.listener, attempts.clone(), answers);
    }
    controller.viewer().await;
    (controller, attempts)
}

fn resident_mb(controller: &RunningController) -> u64 {
    let pid = controller.process.id().expect("running");
    let status = procfs::process::Process::new(pid as i32).and_then(|process| process.status());
    status.expect("read").vmrss.expect("known") / 1024
}

/// Sends usual requests for a while. Each must be served in time, within the limit of memory.
async fn check_usual_client(controller: &RunningController, picture: &str) {
    let mut client = controller.viewer().await;
    let (started_at, mut session) = (Instant::now(), FIRST_USUAL);
    let (mut longest, mut most_mb) = (Duration::ZERO, 0);
    while started_at.elapsed() < TROUBLE_TIME {
        session += 1;
        let sent_at = Instant::now();
        client.send(session, set_up("free", None)).await.expect("sent");
        let answered = async {
            loop {
                let message = client.receive().await.expect("received");
                if message.session == session {
                    return message.body;
                }
            }
        };
        let body = timeout(ANSWER_TIMEOUT, answered).await;
        assert_eq!(body.expect("answered in time"), answer(), "{picture}: a usual client is served");
        longest = longest.max(sent_at.elapsed());
        most_mb = most_mb.max(resident_mb(controller));
        assert!(most_mb < MEMORY_MB, "{picture}: {most_mb} MB of {MEMORY_MB}");
        sleep(USUAL_INTERVAL).await;
    }
    println!("{picture}: {} usual requests, longest answer {longest:?}, {most_mb} MB", session - FIRST_USUAL);
}

/// Connections that write these bytes and then wait, and come again when they are closed.
fn start_clients(controller: &RunningController, bytes: Vec<u8>) -> JoinSet<()> {
    let (address, bytes) = (controller.listen, Arc::new(bytes));
    let mut clients = JoinSet::new();
    for _ in 0..CLIENTS {
        let bytes = bytes.clone();
        clients.spawn(async move {
            loop {
                let Ok(mut socket) = TcpStream::connect(address).await else { continue };
                if socket.write_all(&bytes).await.is_ok() {
                    let _ = tokio::io::copy(&mut socket, &mut tokio::io::sink()).await;
                }
            }
        });
    }
    clients
}

fn long_title(number: u64) -> SetUp {
    let Body::SetUp(set_up) = set_up("free", None) else { unreachable!("a set-up") };
    SetUp { title: format!("{number:08}").repeat(1000), description: Bytes::from(vec![0; 7000]), ..set_up }
}

fn is_usual(set_up: &SetUp) -> bool {
    set_up.title.len() < 100
}

/// Guards against memory that clients take by stopping half way through a large request, picture (a).
#[tokio::test]
async fn clients_that_stop_half_way_through_a_large_request_take_little_memory() {
    let (controller, _) = start(is_usual).await;
    let mut bytes = encode_message(Message { session: 1, body: Body::SetUp(long_title(1)) });
    bytes.pop();
    let _clients = start_clients(&controller, bytes);
    check_usual_client(&controller, "half a large request").await;
}

/// The same with parameters of three bytes each.
#[tokio::test]
async fn clients_that_send_very_many_short_fields_take_little_memory() {
    let (controller, _) = start(is_usual).await;
    let fields = [UNKNOWN_CODE, 0, 0].repeat((MAX_MESSAGE_BYTES - 9) / 3);
    let mut bytes = ((9 + fields.len()) as u16).to_be_bytes().to_vec();
    bytes.extend([1, 0, 0, 0, 0, 0, 0, 0, 5]);
    bytes.extend(fields);
    bytes.pop();
    let _clients = start_clients(&controller, bytes);
    check_usual_client(&controller, "very many short fields").await;
}

/// Guards against large requests in hand that fill the memory or take the places of usual clients.
#[tokio::test]
async fn large_requests_in_hand_leave_room_for_a_usual_client() {
    const REQUESTS_EACH: u64 = 64;
    let (controller, _) = start(is_usual).await;
    let large = |session| encode_message(Message { session, body: Body::SetUp(long_title(session)) });
    let bytes: Vec<u8> = (1..=REQUESTS_EACH).flat_map(large).collect();
    let address = controller.listen;
    let mut clients = JoinSet::new();
    for client in 0..CLIENTS as u64 / 4 {
        let mut bytes = bytes.clone();
        let length = bytes.len() / REQUESTS_EACH as usize;
        // Each client has numbers of its own.
        bytes
            .chunks_mut(length)
            .for_each(|message| message[3..7].copy_from_slice(&(client as u32 + 1).to_be_bytes()));
        clients.spawn(async move {
            let Ok(socket) = TcpStream::connect(address).await else { return };
            let (mut read, mut write) = socket.into_split();
            let reading =
                tokio::spawn(async move { tokio::io::copy(&mut read, &mut tokio::io::sink()).await });
            let _ = write.write_all(&bytes).await;
            let _ = reading.await;
        });
    }
    check_usual_client(&controller, "large requests in hand").await;
}

/// Guards against memory that grows with every new name while one client asks at full speed, picture (b).
#[tokio::test]
async fn requests_under_ever_new_names_take_bounded_memory() {
    let (controller, _) = start(|_| true).await;
    let address = controller.listen;
    let flood = tokio::spawn(async move {
        let Ok(socket) = TcpStream::connect(address).await else { return };
        let (mut read, mut write) = socket.into_split();
        let _reading = tokio::spawn(async move { tokio::io::copy(&mut read, &mut tokio::io::sink()).await });
        for session in 1.. {
            let message = Message { session, body: Body::SetUp(long_title(session)) };
            if write.write_all(&encode_message(message)).await.is_err() {
                return;
            }
        }
    });
    check_usual_client(&controller, "ever new names").await;
    flood.abort();
}

/// Guards against requests that are sent on after their client has closed its connection, with many of them still
/// unread, picture (c).
#[tokio::test]
async fn unread_requests_of_a_client_that_has_left_are_not_sent_on() {
    const REQUESTS: u64 = 400;
    let (controller, attempts) = start(|_| true).await;
    let mut client = controller.viewer().await.into_socket();
    controller.pause().await;
    for session in 1..=REQUESTS {
        let bytes = encode_message(Message { session, body: set_up("free", None) });
        client.write_all(&bytes).await.expect("room in the socket");
    }
    drop(client);
    sleep(Duration::from_millis(400)).await;
    controller.resume();
    sleep(Duration::from_millis(1000)).await;
    let sent = attempts.lock().expect("not poisoned").len();
    assert_eq!(sent, 0, "of {REQUESTS} requests of a client that has left");
}

/// The same for a client that leaves while its requests wait behind others.
#[tokio::test]
async fn requests_that_wait_are_not_sent_on_once_their_client_has_left() {
    const REQUESTS: u64 = 60;
    const LATE: Duration = Duration::from_millis(100);
    let (controller, attempts) = start(|_| false).await;
    let mut clients = Vec::new();
    controller.pause().await;
    for client in 0..30_u64 {
        let mut socket = TcpStream::connect(controller.listen).await.expect("connected");
        for request in 1..=REQUESTS {
            let bytes =
                encode_message(Message { session: client << 32 | request, body: set_up("free", None) });
            socket.write_all(&bytes).await.expect("room in the socket");
        }
        clients.push(socket);
    }
    controller.resume();
    sleep(Duration::from_millis(5)).await;
    drop(clients);
    sleep(LATE).await;
    let sent_by_then = attempts.lock().expect("not poisoned").len();
    sleep(Duration::from_millis(1000)).await;
    let sent = attempts.lock().expect("not poisoned").len();
    assert_eq!(sent, sent_by_then, "none is sent on over 0.1 s after its client has left");
}
