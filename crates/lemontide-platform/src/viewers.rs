//! Viewers' connections: reads what comes, writes what the desk says, ends what can't be read. Nothing is decided
//! here but whether a connection is still idle in the moment in which it would be closed.

use crate::codec::{Codec, Message};
use crate::reader::Reader;
use crate::steps::Steps;
use futures::{FutureExt, SinkExt};
use lemontide::clock::Point;
use lemontide_wire::clock::Clock;
use std::collections::VecDeque;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, Notify};
use tokio::time::{timeout, Instant};
use tokio_util::codec::FramedWrite;

/// A new connection must have said something whole by then, and a message must be whole so long after its first
/// bytes. Guards against those who connect, or begin, and say no more: the platform owes them a close within 3 s.
const WHOLE_WITHIN: Duration = Duration::from_millis(2000);
/// A viewer that does not read for so long is cut off.
pub const WRITE_TIMEOUT: Duration = Duration::from_millis(2000);
/// What still comes after this end closed is read for so long: the platform's slack for what crosses a close. Guards
/// against a reset that overtakes the last answer, as a close with unread bytes sends one.
const LINGER: Duration = Duration::from_millis(50);

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
    /// The other end is gone, or can't be understood or reached.
    Theirs,
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
    let mut sink = FramedWrite::new(write, Codec);
    let mut frames = Reader::new(read, WHOLE_WITHIN);
    let mut unsaid = VecDeque::new();
    let (retire, retire_at) = (Notify::new(), AtomicU64::new(u64::MAX));
    let writer = async {
        while let Some(word) = words.recv().await {
            let mut next = Some(word);
            while let Some(word) = next {
                match word {
                    Word::Say(said) => unsaid.push_back(*said),
                    Word::Retire { heard } => {
                        retire_at.store(heard, Ordering::Release);
                        retire.notify_one();
                    }
                }
                next = words.try_recv().ok();
            }
            let written = timeout(WRITE_TIMEOUT, say_all(clock, &mut sink, &mut unsaid)).await;
            if !matches!(written, Ok(Ok(()))) {
                return End::Theirs;
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
                    return if frames.is_over() { End::Theirs } else { End::Ours };
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
            unsaid.push_back(*said);
        }
    }
    if matches!(end, End::Ours) {
        let _ = timeout(LINGER, say_all(clock, &mut sink, &mut unsaid)).await;
        let _ = timeout(LINGER, sink.get_mut().shutdown()).await;
    }
    let _ = reports.send(Report::Gone { conn, unsaid: unsaid.into() }).await;
    if matches!(end, End::Ours) {
        let _ = timeout(LINGER, frames.discard(usize::MAX)).await;
    }
}

/// Writes what waits; what is left in `unsaid` after an error was not.
async fn say_all(
    clock: Clock,
    sink: &mut FramedWrite<OwnedWriteHalf, Codec>,
    unsaid: &mut VecDeque<Said>,
) -> io::Result<()> {
    let mut answered = Vec::new();
    while let Some(said) = unsaid.front() {
        sink.feed(said.message.clone()).await?;
        answered.extend(unsaid.pop_front().and_then(|said| said.steps));
    }
    sink.flush().await?;
    let written = Point::at(clock.now());
    answered.iter().for_each(|steps| steps.log(Some(written)));
    Ok(())
}
