//! The relay's faults on datagrams and links.

use lemontide_standin::day::Impairment;
use lemontide_standin::relay::{Endpoint, Relay};
use lemontide_wire::clock::Clock;
use lemontide_wire::tap::{Tap, TapEvent};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::{sleep, timeout};

/// How long a test waits for something that must not arrive, and for something that must.
const SHORT_WAIT: Duration = Duration::from_millis(150);
const LONG_WAIT: Duration = Duration::from_secs(20);
/// The interval in which the relay checks whether held traffic can go on.
const RELAY_POLL_INTERVAL: Duration = Duration::from_millis(10);

fn one_way(from: usize, to: usize) -> Vec<(Endpoint, Endpoint)> {
    vec![(Endpoint::Controller(from), Endpoint::Controller(to))]
}

async fn pair() -> (Relay, Vec<UdpSocket>, Vec<SocketAddr>) {
    let relay = Relay::new(1);
    let mut sockets = Vec::new();
    for _ in 0..2 {
        sockets.push(UdpSocket::bind(("127.0.0.1", 0)).await.expect("a port"));
    }
    let listening: Vec<SocketAddr> =
        sockets.iter().map(|socket| socket.local_addr().expect("bound")).collect();
    let addresses = relay.proxy_datagrams(&listening).await.expect("relay sockets");
    (relay, sockets, addresses)
}

async fn receive(socket: &UdpSocket, within: Duration) -> Option<(Vec<u8>, SocketAddr)> {
    let mut bytes = [0u8; 64];
    let (length, from) = timeout(within, socket.recv_from(&mut bytes)).await.ok()?.ok()?;
    Some((bytes[..length].to_vec(), from))
}

#[tokio::test]
async fn datagrams_come_from_the_relay_address_of_their_sender_and_a_one_way_block_blocks_one_way() {
    let (relay, sockets, addresses) = pair().await;
    sockets[0].send_to(b"to 1", addresses[1]).await.expect("sent");
    assert_eq!(receive(&sockets[1], LONG_WAIT).await, Some((b"to 1".to_vec(), addresses[0])));
    relay.begin_impairment(0, one_way(0, 1), Impairment { blocked: true, ..Impairment::default() });
    sockets[0].send_to(b"lost", addresses[1]).await.expect("sent");
    sockets[1].send_to(b"back", addresses[0]).await.expect("sent");
    assert_eq!(receive(&sockets[0], LONG_WAIT).await, Some((b"back".to_vec(), addresses[1])));
    assert_eq!(receive(&sockets[1], SHORT_WAIT).await, None);
    relay.end_impairment(0);
    relay.begin_impairment(1, one_way(0, 1), Impairment { duplicated: 1.0, ..Impairment::default() });
    sockets[0].send_to(b"twice", addresses[1]).await.expect("sent");
    let both = [receive(&sockets[1], LONG_WAIT).await, receive(&sockets[1], LONG_WAIT).await];
    assert!(both.iter().all(|one| one.as_ref().is_some_and(|(bytes, _)| bytes == b"twice")));
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("relay.tap");
    relay.record_counts(&Tap::open(&file, Clock::start(), "relay").expect("a file"));
    let records = lemontide_wire::tap::read_records(&file).expect("it can be read");
    let of_first = records.iter().find_map(|record| match &record.event {
        TapEvent::Relayed { from, passed, dropped, duplicated, .. } if from == "controller:0" => {
            Some((*passed, *dropped, *duplicated))
        }
        _ => None,
    });
    assert_eq!(of_first, Some((2, 1, 1)));
}

#[tokio::test]
async fn held_datagrams_are_delivered_when_the_fault_ends() {
    let (relay, sockets, addresses) = pair().await;
    relay.begin_impairment(0, one_way(0, 1), Impairment { stalled: true, ..Impairment::default() });
    sockets[0].send_to(b"later", addresses[1]).await.expect("sent");
    assert_eq!(receive(&sockets[1], SHORT_WAIT).await, None);
    relay.end_impairment(0);
    assert!(receive(&sockets[1], LONG_WAIT).await.is_some());
}

#[tokio::test]
async fn a_link_is_forwarded_held_and_blocked() {
    let relay = Relay::new(1);
    let streamer = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address =
        relay.proxy_link(0, 3, streamer.local_addr().expect("bound")).await.expect("a relay address");
    let mut near = TcpStream::connect(address).await.expect("it takes connections");
    near.write_all(b"hello").await.expect("written");
    let (mut far, _) = streamer.accept().await.expect("it came");
    let mut bytes = [0u8; 5];
    far.read_exact(&mut bytes).await.expect("read");
    assert_eq!(&bytes, b"hello");
    let path = vec![(Endpoint::Controller(0), Endpoint::Streamer(3))];
    relay.begin_impairment(0, path.clone(), Impairment { stalled: true, ..Impairment::default() });
    sleep(RELAY_POLL_INTERVAL * 4).await;
    near.write_all(b"later").await.expect("written");
    assert!(timeout(SHORT_WAIT, far.read_exact(&mut bytes)).await.is_err(), "held, and still open");
    relay.end_impairment(0);
    // The cancelled read consumed nothing, since the relay had not forwarded the bytes.
    timeout(LONG_WAIT, far.read_exact(&mut bytes)).await.expect("in time").expect("read");
    assert_eq!(&bytes, b"later");
    relay.begin_impairment(1, path, Impairment { blocked: true, ..Impairment::default() });
    let ended = timeout(LONG_WAIT, far.read(&mut bytes)).await.expect("in time");
    assert!(matches!(ended, Ok(0) | Err(_)), "blocked: {ended:?}");
    let mut refused = TcpStream::connect(address).await.expect("the listener is still open");
    assert!(matches!(timeout(LONG_WAIT, refused.read(&mut bytes)).await, Ok(Ok(0) | Err(_))));
}
