//! Viewers' connections: reads what comes, writes what the dispatcher says, ends what can't be read. Nothing is decided
//! here but whether a connection is still idle in the moment in which it would be closed.

use crate::codec::Message;
use crate::outbox::Outbox;
use crate::reader::Reader;
use crate::steps::Steps;
use futures::FutureExt;
use lemontide::clock::Point;
use lemontide_wire::clock::Clock;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep, timeout, Instant};

/// A new connection must have said something whole by then, and a message must be whole so long after its first
/// bytes. Guards against those who connect, or begin, and say no more: the platform owes them a close within 3 s.
const WHOLE_WITHIN: Duration = Duration::from_millis(2000);
/// A viewer that does not read for so long is cut off.
pub const WRITE_TIMEOUT: Duration = Duration::from_millis(2000);
/// What still comes after this end closed is read for so long: the platform's slack for what crosses a close. Guards
/// against a reset that overtakes the last answer, as a close with unread bytes sends one.
const LINGER: Duration = Duration::from_millis(50);
/// A reset for what was written to a connection that the other end had closed comes within this time.
const RESET_WITHIN: Duration = Duration::from_millis(20);

/// What a viewers' connection reports.
pub enum Report {
    Said {
        conn: u64,
        message: Message,
        /// When its last byte was read.
        read: Point,
    },
    /// It is over; what was to be said on it and was not.
    Gone { conn: u64, unsaid: Vec<Said> },
    /// What was said on a connection that is over, and not read by its client.
    Unread { unread: Vec<Said> },
}

/// A message to a viewer; with `stood` it ends what stood, and may be said on any other connection as well.
#[derive(Clone, Debug, PartialEq)]
pub struct Said {
    pub message: Message,
    pub stood: bool,
    /// Of the request that it answers, where they are logged.
    pub steps: Option<Box<Steps>>,
}

/// What a viewers' connection is told.
pub enum Word {
    Say(Box<Said>),
    /// Close, unless more was said on it than this many messages, or is being said.
    Retire {
        heard: u64,
    },
}

/// How a connection came to its end.
enum End {
    /// The other end is gone, or can't be understood or reached; whether it reset the connection.
    Theirs { is_reset: bool },
    /// This end is done with it.
    Ours,
}

/// Runs one connection until either end is done with it; it closes when `words` does.
pub async fn run(
    clock: Clock,
    conn: u64,
    socket: TcpStream,
    mut words: mpsc::Receiver<Word>,
    reports: mpsc::Sender<Report>,
) {
    // Answers are small and urgent.
    let _ = socket.set_nodelay(true);
    let (read, write) = socket.into_split();
    let mut outbox = Outbox::new(clock, write);
    let mut frames = Reader::new(read, WHOLE_WITHIN);
    let (retire, retire_at) = (Notify::new(), AtomicU64::new(u64::MAX));
    let writer = async {
        while let Some(word) = words.recv().await {
            let mut next = Some(word);
            while let Some(word) = next {
                match word {
                    Word::Say(said) => outbox.push(*said),
                    Word::Retire { heard } => {
                        retire_at.store(heard, Ordering::Release);
                        retire.notify_one();
                    }
                }
                next = words.try_recv().ok();
            }
            match timeout(WRITE_TIMEOUT, outbox.write_all()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return End::Theirs { is_reset: true },
                Err(_) => return End::Theirs { is_reset: false },
            }
        }
        End::Ours
    };
    let reader = async {
        let mut due = Some(Instant::now() + WHOLE_WITHIN);
        let mut said = 0;
        loop {
            let next = tokio::select! {
                biased;
                next = frames.next(due) => next,
                () = retire.notified() => {
                    if retire_at.load(Ordering::Acquire) != said {
                        continue;
                    }
                    // What the socket holds by now is seen after one turn of the runtime.
                    tokio::task::yield_now().await;
                    match frames.next(due).now_or_never() {
                        Some(next) => next,
                        None if frames.is_unfinished() => continue,
                        None => return End::Ours,
                    }
                }
            };
            match next {
                Ok(message) => {
                    due = None;
                    said += 1;
                    let read = Point::at(clock.now());
                    if reports.send(Report::Said { conn, message, read }).await.is_err() {
                        return End::Ours;
                    }
                }
                Err(e) => {
                    tracing::debug!(target: "viewers", conn, error = %e, "connection over");
                    let is_reset = e.kind() == io::ErrorKind::ConnectionReset;
                    return if frames.is_over() { End::Theirs { is_reset } } else { End::Ours };
                }
            }
        }
    };
    let end = tokio::select! {
        end = writer => end,
        end = reader => end,
    };
    words.close();
    while let Ok(word) = words.try_recv() {
        if let Word::Say(said) = word {
            outbox.push(*said);
        }
    }
    if matches!(end, End::Ours) {
        let _ = timeout(LINGER, outbox.write_all()).await;
        let _ = timeout(LINGER, outbox.socket().shutdown()).await;
    }
    let _ = reports.send(Report::Gone { conn, unsaid: outbox.take_unsaid() }).await;
    let is_reset = match end {
        End::Ours => matches!(timeout(LINGER, frames.discard(usize::MAX)).await, Ok(Err(_))),
        End::Theirs { is_reset } => is_reset || is_reset_later(&outbox).await,
    };
    let unread = outbox.take_maybe_unread();
    if is_reset && !unread.is_empty() {
        tracing::debug!(target: "viewers", conn, unread = unread.len(), "reset before all was read");
        let _ = reports.send(Report::Unread { unread }).await;
    }
}

/// Whether the other end, which closed the connection, resets it for what it will not read.
async fn is_reset_later(outbox: &Outbox) -> bool {
    if !outbox.has_maybe_unread() {
        return false;
    }
    sleep(RESET_WITHIN).await;
    outbox.is_reset()
}
