//! Messages that a viewer connection returns if its client closes it without reading them.

use lemontide_platform::codec::{cause, Body, Message};
use lemontide_platform::reader::ReadMemory;
use lemontide_platform::replies::Replies;
use lemontide_platform::viewers::{run, Command, Outgoing, Report};
use lemontide_wire::clock::Clock;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Number of connections per test. The writing and the reading half of a connection run in either order, and among this
/// many both orders occur.
const CONNECTIONS: u64 = 40;

async fn connected() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("it is bound");
    let (ours, theirs) = tokio::join!(listener.accept(), TcpStream::connect(address));
    (ours.expect("accepted").0, theirs.expect("connected"))
}

fn release(session: u64) -> Outgoing {
    Outgoing {
        message: Message { session, body: Body::release(cause::NORMAL) },
        ends_session: true,
        reply: None,
        steps: None,
    }
}

/// The sessions whose releases are returned until the connection is over.
async fn returned_sessions(mut reports: mpsc::Receiver<Report>) -> Vec<u64> {
    let mut returned = Vec::new();
    while let Some(report) = reports.recv().await {
        match report {
            Report::Received(_) | Report::InputEnded { .. } => {}
            Report::Closed { unwritten, .. } => {
                returned.extend(unwritten.iter().map(|unsent| unsent.message.session))
            }
            Report::Unread { unread, .. } => {
                returned.extend(unread.iter().map(|unsent| unsent.message.session))
            }
        }
    }
    returned
}

#[tokio::test]
async fn a_release_to_a_client_that_has_closed_is_returned() {
    for session in 1..=CONNECTIONS {
        let (ours, theirs) = connected().await;
        let (commands, receiver) = mpsc::channel(4);
        let (reports, reported) = mpsc::channel(4);
        drop(theirs);
        commands.send(Command::Send(Box::new(release(session)))).await.expect("the connection takes it");
        tokio::spawn(run(
            Clock::start(),
            1,
            ours,
            receiver,
            reports,
            Replies::default(),
            ReadMemory::default(),
        ));
        assert_eq!(returned_sessions(reported).await, [session]);
    }
}

#[tokio::test]
async fn a_release_that_was_read_is_not_returned() {
    use tokio::io::AsyncReadExt;
    for session in 1..=CONNECTIONS {
        let (ours, mut theirs) = connected().await;
        let (commands, receiver) = mpsc::channel(4);
        let (reports, reported) = mpsc::channel(4);
        tokio::spawn(run(
            Clock::start(),
            1,
            ours,
            receiver,
            reports,
            Replies::default(),
            ReadMemory::default(),
        ));
        commands.send(Command::Send(Box::new(release(session)))).await.expect("the connection takes it");
        let mut buffer = [0; 64];
        let read = tokio::time::timeout(Duration::from_secs(1), theirs.read(&mut buffer)).await;
        assert!(read.expect("in time").expect("read") > 0);
        drop(theirs);
        assert_eq!(returned_sessions(reported).await, [0; 0]);
    }
}
