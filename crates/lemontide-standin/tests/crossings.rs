//! Races between two events on a socket of the platform. An endpoint that does not read or write forces each race.

use bytes::Bytes;
use lemontide::clock::{Point, Span};
use lemontide_front::core::{Connection, QueuedMessage};
use lemontide_platform::codec::{Body, Message, SetUp};
use lemontide_platform::config::ListUpdate;
use lemontide_platform::dispatcher::OutboundMessage;
use lemontide_platform::journal;
use lemontide_platform::permit::Permit;
use lemontide_platform::streamers::{run, Close, Dial, Report};
use lemontide_standin::stub_platform::{StubJournal, WAIT_TIMEOUT};
use lemontide_wire::clock::Clock;
use serde_json::json;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

const CONNECTION: Connection = Connection { link: 1, dial: 1 };

/// A connection to a streamer, run as by the event loop; the test plays the streamer.
struct StreamerConnection {
    outbound: mpsc::Sender<Vec<QueuedMessage<OutboundMessage>>>,
    close: Option<oneshot::Sender<Close>>,
    reports: mpsc::Receiver<Report>,
    streamer: TcpStream,
}

async fn connect() -> StreamerConnection {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let address = listener.local_addr().expect("it is bound").to_string();
    let (outbound, outbound_receiver) = mpsc::channel(4);
    let (close, close_receiver) = oneshot::channel();
    let (report, mut reports) = mpsc::channel(256);
    let dial = Dial { connection: CONNECTION, address, timeout: WAIT_TIMEOUT };
    tokio::spawn(run(Clock::start(), dial, outbound_receiver, close_receiver, report));
    let streamer = timeout(WAIT_TIMEOUT, listener.accept()).await.expect("it dials").expect("accepted").0;
    assert!(matches!(reports.recv().await, Some(Report::Connected { connection: CONNECTION })));
    StreamerConnection { outbound, close: Some(close), reports, streamer }
}

fn set_up(session: u64, permit: &Permit) -> QueuedMessage<OutboundMessage> {
    let body = Body::SetUp(SetUp {
        class: "paid".into(),
        title: "t".into(),
        description: Bytes::from(vec![7; 15_000]),
        ..SetUp::default()
    });
    let outbound = OutboundMessage { message: Message { session, body }, permit: Some(permit.clone()) };
    QueuedMessage { message: outbound, attempt: Some((session as u32, 0)), not_after: None }
}

/// The sessions of all complete set-ups that a streamer reads until the other end closes.
async fn read_all(streamer: &mut TcpStream) -> Vec<u64> {
    let mut bytes = Vec::new();
    let _ = timeout(WAIT_TIMEOUT, streamer.read_to_end(&mut bytes)).await.expect("it ends");
    let mut sessions = Vec::new();
    let mut rest = &bytes[..];
    while rest.len() >= 11 {
        let length = 2 + usize::from(u16::from_be_bytes([rest[0], rest[1]]));
        sessions.push(u64::from_be_bytes(rest[3..11].try_into().expect("eight bytes")));
        rest = &rest[length.min(rest.len())..];
    }
    sessions
}

/// Sends a batch of set-ups on a connection whose peer does not read, until the socket's buffer is full and others wait.
async fn fill(connection: &StreamerConnection) -> Vec<(u64, Permit)> {
    let all: Vec<(u64, Permit)> = (1..=1000).map(|session| (session, Permit::new())).collect();
    let batch = all.iter().map(|(session, permit)| set_up(*session, permit)).collect();
    connection.outbound.send(batch).await.expect("the batch is accepted");
    let begun = || all.iter().filter(|(_, permit)| permit.has_begun()).count();
    // The buffer counts as full when no write begins for 50 ms; no test depends on whether a few more do later.
    let buffer_full = async {
        let mut before = usize::MAX;
        while begun() == 0 || before != begun() {
            before = begun();
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(WAIT_TIMEOUT, buffer_full).await.expect("it begins, and stops when the socket is full");
    assert!(begun() < all.len(), "some wait");
    all
}

/// Guards against sending a set-up of a batch after its viewer left or its attempt was abandoned. It can be withdrawn
/// until its first byte is written to the socket, and only until then.
#[tokio::test]
async fn messages_withdrawn_from_a_batch_are_never_sent_and_the_others_are() {
    let mut connection = connect().await;
    let all = fill(&connection).await;
    let kept = |session: u64| session.is_multiple_of(3);
    let left: Vec<u64> = all
        .iter()
        .filter(|(session, permit)| kept(*session) || !permit.withdraw())
        .map(|(session, _)| *session)
        .collect();
    assert!(left.len() < all.len());
    drop(connection.outbound);
    assert_eq!(read_all(&mut connection.streamer).await, left);
    drop(connection.close);
    let mut wrote = 0;
    while let Some(report) = timeout(WAIT_TIMEOUT, connection.reports.recv()).await.expect("its task ends") {
        if let Report::Written { unsent, .. } = report {
            assert_eq!(unsent.len(), all.len() - left.len());
            wrote += 1;
        }
    }
    assert_eq!(wrote, 1);
}

/// Guards against a writer that continues its batch after the connection is closed: attempts that the dispatcher counted
/// as lost and retried elsewhere were then sent all the same. The end is reported only once the socket is closed, since
/// the next attempt is sent then.
#[tokio::test]
async fn after_a_close_no_write_begins_and_the_end_is_reported_after_the_socket_is_closed() {
    let mut connection = connect().await;
    let all = fill(&connection).await;
    drop(connection.close.take());
    let report = timeout(WAIT_TIMEOUT, connection.reports.recv())
        .await
        .expect("reported at once, although a write is blocked");
    assert!(matches!(report, Some(Report::Closed { by_streamer: false, .. })));
    let begun: Vec<u64> = all.iter().filter(|(_, permit)| permit.has_begun()).map(|(s, _)| *s).collect();
    // The socket is closed already: only what is in its buffer is still sent, and then the end.
    let read = read_all(&mut connection.streamer).await;
    assert!(
        read.len() <= begun.len() && begun.starts_with(&read),
        "{} read, {} begun",
        read.len(),
        begun.len()
    );
}

/// This end's close does not show what a streamer has read. The streamer's own close is awaited and reported, and so is
/// its absence.
#[tokio::test]
async fn the_close_of_a_connection_is_reported_with_the_side_that_closed_it() {
    for by_streamer in [false, true] {
        let mut connection = connect().await;
        let permit = Permit::new();
        connection.outbound.send(vec![set_up(1, &permit)]).await.expect("the batch is accepted");
        assert!(matches!(connection.reports.recv().await, Some(Report::Written { .. })));
        let close = connection.close.take().expect("it is up");
        close.send(Close::AwaitStreamer).expect("it is up");
        if by_streamer {
            // The streamer reads everything up to the end.
            assert_eq!(read_all(&mut connection.streamer).await, [1]);
            drop(connection.streamer);
        }
        let report =
            timeout(WAIT_TIMEOUT, connection.reports.recv()).await.expect("reported").expect("reported");
        assert!(matches!(report, Report::Closed { by_streamer: by, .. } if by == by_streamer));
    }
}

#[tokio::test]
async fn a_set_up_that_waits_past_its_time_limit_is_never_sent() {
    let mut connection = connect().await;
    let permit = Permit::new();
    let past = Point::at(Clock::start().now()) - Span::of(1.0);
    let late = QueuedMessage { not_after: Some(past), ..set_up(1, &permit) };
    let other = Permit::new();
    connection.outbound.send(vec![late, set_up(2, &other)]).await.expect("the batch is accepted");
    let report = timeout(WAIT_TIMEOUT, connection.reports.recv()).await.expect("reported");
    assert!(matches!(report, Some(Report::Written { unsent, .. }) if unsent == [(1, 0)]));
    assert!(!permit.begin() && other.has_begun(), "it can no longer begin");
    drop(connection.outbound);
    assert_eq!(read_all(&mut connection.streamer).await, [2]);
}

/// An attempt to connect that is cancelled before it is accepted ends at once, and keeps no file descriptor.
#[tokio::test]
async fn a_close_cancels_an_attempt_to_connect() {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let listener = socket.listen(1).expect("it listens");
    let at = listener.local_addr().expect("it is bound");
    // The listen queue is full, so that the next connection is not established.
    let mut full = Vec::new();
    while let Ok(Ok(one)) = timeout(Duration::from_millis(200), TcpStream::connect(at)).await {
        full.push(one);
    }
    let (_orders, outbound_receiver) = mpsc::channel(4);
    let (close, close_receiver) = oneshot::channel();
    let (report, mut reports) = mpsc::channel(4);
    let dial = Dial { connection: CONNECTION, address: at.to_string(), timeout: WAIT_TIMEOUT * 2 };
    tokio::spawn(run(Clock::start(), dial, outbound_receiver, close_receiver, report));
    tokio::task::yield_now().await;
    drop(close);
    let report = timeout(WAIT_TIMEOUT, reports.recv()).await.expect("reported before the connect timeout");
    assert!(matches!(report, Some(Report::Closed { by_streamer: false, .. })));
}

fn event(pos: u64) -> String {
    let server = json!({"id": format!("s{pos}"), "addr": "127.0.0.1:9", "state": "in_service"});
    format!("{}\n", json!({"pos": pos, "hosts": {"full": false, "servers": [server]}}))
}

fn name(hosts: &ListUpdate) -> &str {
    &hosts.streamers[0].id
}

/// Guards against losing an event that waits for room in the channel while the service moves: it was counted as accepted,
/// then dropped, and never requested again.
#[tokio::test]
async fn an_event_that_waits_when_the_service_moves_is_requested_again() {
    let (old, new) =
        (StubJournal::start().await.expect("a port"), StubJournal::start().await.expect("a port"));
    let address = |journal: &StubJournal| journal.address().expect("it is bound").to_string();
    let (moves, moved) = watch::channel(address(&old));
    let (updates, mut received) = mpsc::channel(1);
    let follower = tokio::spawn(journal::follow(moved, 0, updates));
    let (mut reader, last) = old.accept_reader().await.expect("the journal is requested");
    assert_eq!(last, 0);
    reader.write_all((event(1) + &event(2)).as_bytes()).await.expect("sent");
    // The first event fills the channel. The pause gives the follower time to read the second one, which then waits.
    let first = async {
        while received.is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(WAIT_TIMEOUT, first).await.expect("reported");
    tokio::time::sleep(Duration::from_millis(100)).await;
    moves.send(address(&new)).expect("followed");
    let (mut reader, last) = new.accept_reader().await.expect("the journal is requested at the new address");
    assert_eq!(last, 1, "from the event that found no room");
    reader.write_all(event(2).as_bytes()).await.expect("sent");
    for expected in ["s1", "s2"] {
        let hosts = timeout(WAIT_TIMEOUT, received.recv()).await.expect("reported").expect("followed");
        assert_eq!(name(&hosts), expected);
    }
    follower.abort();
}

/// A service that sends nothing: the following connections are silent, too, and the last one sends an event.
#[tokio::test]
async fn a_silent_service_is_requested_again_until_it_answers() {
    let service = StubJournal::start().await.expect("a port");
    let (_moves, moved) = watch::channel(service.address().expect("it is bound").to_string());
    let (updates, mut received) = mpsc::channel(8);
    let follower = tokio::spawn(journal::follow(moved, 3, updates));
    let mut silent = Vec::new();
    for partial in [&b""[..], b"{\"pos\":4,\"hosts\":{", b""] {
        let (mut reader, last) = service.accept_reader().await.expect("the journal is requested");
        assert_eq!(last, 3);
        reader.write_all(partial).await.expect("sent");
        silent.push(reader);
    }
    let (mut reader, _) = service.accept_reader().await.expect("the journal is requested");
    reader.write_all(event(4).as_bytes()).await.expect("sent");
    let hosts = timeout(WAIT_TIMEOUT, received.recv()).await.expect("reported").expect("followed");
    assert_eq!(name(&hosts), "s4");
    follower.abort();
}

/// If a response starts after the requested position, it is requested once more. A gap that remains is accepted, since the
/// service no longer has those events.
#[tokio::test]
async fn a_gap_is_requested_again_once() {
    let service = StubJournal::start().await.expect("a port");
    let (_moves, moved) = watch::channel(service.address().expect("it is bound").to_string());
    let (updates, mut received) = mpsc::channel(8);
    let follower = tokio::spawn(journal::follow(moved, 3, updates));
    for _ in 0..2 {
        let (mut reader, last) = service.accept_reader().await.expect("the journal is requested");
        assert_eq!(last, 3);
        assert!(received.is_empty());
        reader.write_all(("3\n".to_owned() + &event(6)).as_bytes()).await.expect("sent");
        if let Ok(hosts) = timeout(Duration::from_millis(500), received.recv()).await {
            assert_eq!(name(&hosts.expect("followed")), "s6");
            follower.abort();
            return;
        }
    }
    panic!("events that the service no longer has are requested forever");
}
