//! Viewers' connections: reads what comes, writes what the desk says, ends what can't be read. Nothing is decided
//! here.

use crate::codec::{Codec, Message};
use crate::reader::Reader;
use futures::SinkExt;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{timeout, Instant};
use tokio_util::codec::FramedWrite;

/// A new connection must have said something whole by then, and a message must be whole so long after its first
/// bytes. Guards against those who connect, or begin, and say no more: the platform owes them a close within 3 s.
const WHOLE_WITHIN: Duration = Duration::from_millis(2000);
/// A viewer that does not read for so long is cut off.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2000);

/// What a viewers' connection reports.
pub enum Report {
    Said { conn: u64, message: Message },
    Gone { conn: u64 },
}

/// Runs one connection until either end is done with it; it closes when `say` does.
pub async fn run(
    conn: u64,
    socket: TcpStream,
    mut say: mpsc::Receiver<Message>,
    reports: mpsc::Sender<Report>,
) {
    // Answers are small and urgent.
    let _ = socket.set_nodelay(true);
    let (read, write) = socket.into_split();
    let mut sink = FramedWrite::new(write, Codec);
    let writer = async {
        while let Some(message) = say.recv().await {
            let written = timeout(WRITE_TIMEOUT, async {
                sink.feed(message).await?;
                while let Ok(message) = say.try_recv() {
                    sink.feed(message).await?;
                }
                sink.flush().await
            });
            if !matches!(written.await, Ok(Ok(()))) {
                return;
            }
        }
    };
    let reader = async {
        let mut frames = Reader::new(read, WHOLE_WITHIN);
        let mut due = Some(Instant::now() + WHOLE_WITHIN);
        loop {
            match frames.next(due).await {
                Ok(message) => {
                    due = None;
                    if reports.send(Report::Said { conn, message }).await.is_err() {
                        return;
                    }
                }
                Err(e) => {
                    tracing::debug!(target: "viewers", conn, error = %e, "connection over");
                    return;
                }
            }
        }
    };
    tokio::select! {
        () = writer => {}
        () = reader => {}
    }
    let _ = reports.send(Report::Gone { conn }).await;
}
