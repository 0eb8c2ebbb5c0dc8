//! What a viewers' connection hands back where its client closes without reading it.

use lemontide_platform::codec::{cause, Body, Message};
use lemontide_platform::replies::Replies;
use lemontide_platform::viewers::{run, Command, Outgoing, Report};
use lemontide_wire::clock::Clock;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// The writing and the reading half of a connection run in either order, so both are seen among so many.
const PLAYS: u64 = 40;

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

/// All sessions whose releases come back until the connection is over.
async fn handed_back(mut reports: mpsc::Receiver<Report>) -> Vec<u64> {
    let mut back = Vec::new();
    while let Some(report) = reports.recv().await {
        match report {
            Report::Received(_) | Report::InputEnded { .. } => {}
            Report::Closed { unwritten, .. } => {
                back.extend(unwritten.iter().map(|said| said.message.session))
            }
            Report::Unread { unread } => back.extend(unread.iter().map(|said| said.message.session)),
        }
    }
    back
}

#[tokio::test]
async fn a_release_to_a_client_that_has_closed_comes_back() {
    for session in 1..=PLAYS {
        let (ours, theirs) = connected().await;
        let (commands, said) = mpsc::channel(4);
        let (reports, reported) = mpsc::channel(4);
        drop(theirs);
        commands.send(Command::Send(Box::new(release(session)))).await.expect("it takes it");
        tokio::spawn(run(Clock::start(), 1, ours, said, reports, Replies::default()));
        assert_eq!(handed_back(reported).await, [session]);
    }
}

#[tokio::test]
async fn a_release_that_was_read_does_not_come_back() {
    use tokio::io::AsyncReadExt;
    for session in 1..=PLAYS {
        let (ours, mut theirs) = connected().await;
        let (commands, said) = mpsc::channel(4);
        let (reports, reported) = mpsc::channel(4);
        tokio::spawn(run(Clock::start(), 1, ours, said, reports, Replies::default()));
        commands.send(Command::Send(Box::new(release(session)))).await.expect("it takes it");
        let mut heard = [0; 64];
        let read = tokio::time::timeout(Duration::from_secs(1), theirs.read(&mut heard)).await;
        assert!(read.expect("in time").expect("read") > 0);
        drop(theirs);
        assert_eq!(handed_back(reported).await, [0; 0]);
    }
}
