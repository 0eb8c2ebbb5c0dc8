//! Two events that cross on a socket of the platform, the crossing forced by an end that holds its bytes.

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

const ON: Connection = Connection { link: 1, dial: 1 };

/// A connection to a streamer as the loop runs it; the test plays the streamer.
struct Line {
    orders: mpsc::Sender<Vec<QueuedMessage<OutboundMessage>>>,
    close: Option<oneshot::Sender<Close>>,
    reports: mpsc::Receiver<Report>,
    streamer: TcpStream,
}

async fn line() -> Line {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let address = listener.local_addr().expect("it is bound").to_string();
    let (orders, ordered) = mpsc::channel(4);
    let (close, closed) = oneshot::channel();
    let (report, mut reports) = mpsc::channel(256);
    let to = Dial { connection: ON, address, timeout: WAIT_TIMEOUT };
    tokio::spawn(run(Clock::start(), to, ordered, closed, report));
    let streamer = timeout(WAIT_TIMEOUT, listener.accept()).await.expect("it dials").expect("accepted").0;
    assert!(matches!(reports.recv().await, Some(Report::Connected { connection: ON })));
    Line { orders, close: Some(close), reports, streamer }
}

fn set_up(session: u64, permit: &Permit) -> QueuedMessage<OutboundMessage> {
    let body = Body::SetUp(SetUp {
        class: "paid".into(),
        title: "t".into(),
        description: Bytes::from(vec![7; 15_000]),
        ..SetUp::default()
    });
    let order = OutboundMessage { message: Message { session, body }, permit: Some(permit.clone()) };
    QueuedMessage { message: order, attempt: Some((session as u32, 0)), not_after: None }
}

/// The sessions of all set-ups that a streamer reads until the other end closes, whole ones only.
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

/// Set-ups in a batch on a connection that takes no bytes, until the socket is full and more wait behind it.
async fn fill(line: &Line) -> Vec<(u64, Permit)> {
    let all: Vec<(u64, Permit)> = (1..=1000).map(|session| (session, Permit::new())).collect();
    let batch = all.iter().map(|(session, permit)| set_up(*session, permit)).collect();
    line.orders.send(batch).await.expect("it takes orders");
    let begun = || all.iter().filter(|(_, permit)| permit.has_begun()).count();
    // Full when nothing more begins for a while; whether a few more do is of no matter to any test.
    let full = async {
        let mut before = usize::MAX;
        while begun() == 0 || before != begun() {
            before = begun();
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(WAIT_TIMEOUT, full).await.expect("it begins, and stops when the socket is full");
    assert!(begun() < all.len(), "some wait");
    all
}

/// A set-up in a batch left although its viewer had gone, or it had been given up: it is taken back until its first
/// byte is with the socket, and only until then.
#[tokio::test]
async fn what_is_taken_back_out_of_a_batch_never_leaves_and_the_rest_does() {
    let mut line = line().await;
    let all = fill(&line).await;
    let kept = |session: u64| session.is_multiple_of(3);
    let left: Vec<u64> = all
        .iter()
        .filter(|(session, permit)| kept(*session) || !permit.withdraw())
        .map(|(session, _)| *session)
        .collect();
    assert!(left.len() < all.len());
    drop(line.orders);
    assert_eq!(read_all(&mut line.streamer).await, left);
    drop(line.close);
    let mut wrote = 0;
    while let Some(report) = timeout(WAIT_TIMEOUT, line.reports.recv()).await.expect("its task ends") {
        if let Report::Written { unsent, .. } = report {
            assert_eq!(unsent.len(), all.len() - left.len());
            wrote += 1;
        }
    }
    assert_eq!(wrote, 1);
}

/// After a hang-up the writer went on with the batch: what the dispatcher had declared broken and sent elsewhere left all
/// the same. And it is over only when the socket is closed, as the next attempt leaves then.
#[tokio::test]
async fn after_a_hang_up_nothing_more_begins_and_the_end_is_told_after_the_close() {
    let mut line = line().await;
    let all = fill(&line).await;
    drop(line.close.take());
    let told =
        timeout(WAIT_TIMEOUT, line.reports.recv()).await.expect("told at once, though a write is stuck");
    assert!(matches!(told, Some(Report::Closed { by_streamer: false, .. })));
    let begun: Vec<u64> = all.iter().filter(|(_, permit)| permit.has_begun()).map(|(s, _)| *s).collect();
    // Closed already: nothing is left to be sent but what the socket holds, and then its end.
    let read = read_all(&mut line.streamer).await;
    assert!(
        read.len() <= begun.len() && begun.starts_with(&read),
        "{} read, {} begun",
        read.len(),
        begun.len()
    );
}

/// This end's close proves nothing of what a streamer has read: its own close is awaited and told, and that there was
/// none.
#[tokio::test]
async fn the_close_of_a_connection_is_told_with_whose_it_was() {
    for by_streamer in [false, true] {
        let mut line = line().await;
        let permit = Permit::new();
        line.orders.send(vec![set_up(1, &permit)]).await.expect("it takes orders");
        assert!(matches!(line.reports.recv().await, Some(Report::Written { .. })));
        let close = line.close.take().expect("it is up");
        close.send(Close::AwaitStreamer).expect("it is up");
        if by_streamer {
            // It reads all that came, and the end of it.
            assert_eq!(read_all(&mut line.streamer).await, [1]);
            drop(line.streamer);
        }
        let told = timeout(WAIT_TIMEOUT, line.reports.recv()).await.expect("told").expect("told");
        assert!(matches!(told, Report::Closed { by_streamer: by, .. } if by == by_streamer));
    }
}

#[tokio::test]
async fn a_set_up_that_waits_past_its_time_never_leaves() {
    let mut line = line().await;
    let permit = Permit::new();
    let past = Point::at(Clock::start().now()) - Span::of(1.0);
    let late = QueuedMessage { not_after: Some(past), ..set_up(1, &permit) };
    let other = Permit::new();
    line.orders.send(vec![late, set_up(2, &other)]).await.expect("it takes orders");
    let told = timeout(WAIT_TIMEOUT, line.reports.recv()).await.expect("told");
    assert!(matches!(told, Some(Report::Written { unsent, .. }) if unsent == [(1, 0)]));
    assert!(!permit.begin() && other.has_begun(), "nobody may begin it any more");
    drop(line.orders);
    assert_eq!(read_all(&mut line.streamer).await, [2]);
}

/// A dial that is given up while nobody accepts it ends at once, and holds no descriptor.
#[tokio::test]
async fn a_hang_up_ends_a_dial() {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let listener = socket.listen(1).expect("it listens");
    let at = listener.local_addr().expect("it is bound");
    // Its queue is full, so that the next connection does not come up.
    let mut full = Vec::new();
    while let Ok(Ok(one)) = timeout(Duration::from_millis(200), TcpStream::connect(at)).await {
        full.push(one);
    }
    let (_orders, ordered) = mpsc::channel(4);
    let (close, closed) = oneshot::channel();
    let (report, mut reports) = mpsc::channel(4);
    let to = Dial { connection: ON, address: at.to_string(), timeout: WAIT_TIMEOUT * 2 };
    tokio::spawn(run(Clock::start(), to, ordered, closed, report));
    tokio::task::yield_now().await;
    drop(close);
    let told = timeout(WAIT_TIMEOUT, reports.recv()).await.expect("told before the dial's time is over");
    assert!(matches!(told, Some(Report::Closed { by_streamer: false, .. })));
}

fn event(pos: u64) -> String {
    let server = json!({"id": format!("s{pos}"), "addr": "127.0.0.1:9", "state": "in_service"});
    format!("{}\n", json!({"pos": pos, "hosts": {"full": false, "servers": [server]}}))
}

fn name(hosts: &ListUpdate) -> &str {
    &hosts.streamers[0].id
}

/// The service moves while an event waits for room: it was counted as taken, dropped, and never asked for again.
#[tokio::test]
async fn an_event_that_waits_when_the_service_moves_is_asked_for_again() {
    let (old, new) =
        (StubJournal::start().await.expect("a port"), StubJournal::start().await.expect("a port"));
    let address = |journal: &StubJournal| journal.address().expect("it is bound").to_string();
    let (moves, moved) = watch::channel(address(&old));
    let (news, mut heard) = mpsc::channel(1);
    let follower = tokio::spawn(journal::follow(moved, 0, news));
    let (mut reader, last) = old.accept_reader().await.expect("it asks");
    assert_eq!(last, 0);
    reader.write_all((event(1) + &event(2)).as_bytes()).await.expect("sent");
    // The first fills the channel; the second has been read once the service's word after it makes no difference.
    let first = async {
        while heard.is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(WAIT_TIMEOUT, first).await.expect("told");
    tokio::time::sleep(Duration::from_millis(100)).await;
    moves.send(address(&new)).expect("followed");
    let (mut reader, last) = new.accept_reader().await.expect("it asks at the new address");
    assert_eq!(last, 1, "for the one that found no room");
    reader.write_all(event(2).as_bytes()).await.expect("sent");
    for expected in ["s1", "s2"] {
        let hosts = timeout(WAIT_TIMEOUT, heard.recv()).await.expect("told").expect("followed");
        assert_eq!(name(&hosts), expected);
    }
    follower.abort();
}

/// A list that goes quiet and stays quiet: the next connection is silent, too, and the one after it tells.
#[tokio::test]
async fn a_service_that_stays_silent_is_asked_again_and_again() {
    let service = StubJournal::start().await.expect("a port");
    let (_moves, moved) = watch::channel(service.address().expect("it is bound").to_string());
    let (news, mut heard) = mpsc::channel(8);
    let follower = tokio::spawn(journal::follow(moved, 3, news));
    let mut silent = Vec::new();
    for half in [&b""[..], b"{\"pos\":4,\"hosts\":{", b""] {
        let (mut reader, last) = service.accept_reader().await.expect("it asks");
        assert_eq!(last, 3);
        reader.write_all(half).await.expect("sent");
        silent.push(reader);
    }
    let (mut reader, _) = service.accept_reader().await.expect("it asks");
    reader.write_all(event(4).as_bytes()).await.expect("sent");
    let hosts = timeout(WAIT_TIMEOUT, heard.recv()).await.expect("told").expect("followed");
    assert_eq!(name(&hosts), "s4");
    follower.abort();
}

/// A connection that begins past what was asked for is asked about again; a gap that stays is the service's own.
#[tokio::test]
async fn a_gap_is_asked_about_once() {
    let service = StubJournal::start().await.expect("a port");
    let (_moves, moved) = watch::channel(service.address().expect("it is bound").to_string());
    let (news, mut heard) = mpsc::channel(8);
    let follower = tokio::spawn(journal::follow(moved, 3, news));
    for _ in 0..2 {
        let (mut reader, last) = service.accept_reader().await.expect("it asks");
        assert_eq!(last, 3);
        assert!(heard.is_empty());
        reader.write_all(("3\n".to_owned() + &event(6)).as_bytes()).await.expect("sent");
        if let Ok(hosts) = timeout(Duration::from_millis(500), heard.recv()).await {
            assert_eq!(name(&hosts.expect("followed")), "s6");
            follower.abort();
            return;
        }
    }
    panic!("what the service no longer has is asked for for ever");
}
