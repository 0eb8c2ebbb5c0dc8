//! Viewers' connections: reads what comes, writes what the dispatcher says, ends what can't be read. Nothing is decided
//! here but whether a connection is still idle in the moment in which it would be closed. A connection on which an
//! answer is owed is not closed from this side: where its input ends, it drains first.

use crate::codec::{Body, Message};
use crate::dispatcher::InputEnd;
use crate::outbox::Outbox;
use crate::reader::Reader;
use crate::replies::{Departure, PendingReply, ReceivedMessage, Replies};
use crate::steps::Steps;
use futures::FutureExt;
use lemontide::clock::Point;
use lemontide_wire::clock::Clock;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
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
/// While a connection drains it is looked this often whether its client has reset it or is owed nothing more.
const LOOK_WHILE_DRAINING: Duration = Duration::from_millis(5);

/// What a viewers' connection reports.
pub enum Report {
    Received(Box<ReceivedMessage>),
    /// Nothing more is read on it; what is owed on it can still be said.
    InputOver {
        conn: u64,
        why: InputEnd,
    },
    /// It is over; what was to be said on it and was not, and why its client is gone where something was still owed.
    Gone {
        conn: u64,
        why: Departure,
        unsaid: Vec<Outgoing>,
    },
    /// What was said on a connection that is over, and not read by its client.
    Unread {
        unread: Vec<Outgoing>,
    },
}

/// A message to a viewer; with `stood` it ends what stood, and may be said on any other connection as well.
#[derive(Debug)]
pub struct Outgoing {
    pub message: Message,
    pub stood: bool,
    /// Of the request that it answers, if it answers one.
    pub reply: Option<PendingReply>,
    /// The steps of that request, where they are logged.
    pub steps: Option<Box<Steps>>,
}

/// What a viewers' connection is told.
pub enum Command {
    Say(Box<Outgoing>),
    /// Close, unless more was said on it than this many messages, or is being said.
    Retire {
        heard: u64,
    },
    /// Read nothing more, and close once nothing is owed.
    Drain,
}

/// How a connection came to its end.
#[derive(Clone, Copy)]
enum End {
    /// The other end is gone, or can't be reached.
    Theirs { is_reset: bool, why: Departure },
    /// Nothing more is read on it.
    Input(InputEnd),
    /// This end is done with it, and nothing on it is owed an answer.
    Ours,
}

impl End {
    const RESET: End = End::Theirs { is_reset: true, why: Departure::Closed };
}

/// One connection: what it may still say, and the answers that are owed on it.
struct ClientConnection {
    conn: u64,
    outbox: Outbox,
    commands: mpsc::Receiver<Command>,
    replies: Replies,
}

/// What the reading side of a connection is told by its writing side, which takes the commands.
#[derive(Default)]
struct ReaderControl {
    changed: Notify,
    drains: AtomicBool,
    /// It is to close, where so many messages came on it.
    retires_at: AtomicU64,
}

impl ClientConnection {
    fn owes_nothing(&self) -> bool {
        self.replies.open_count_on(self.conn) == 0
    }

    /// Takes a command and all that wait behind it.
    fn take_commands(&mut self, first: Command, control: &ReaderControl) {
        let mut next = Some(first);
        while let Some(command) = next {
            match command {
                Command::Say(said) => self.outbox.push(*said),
                Command::Retire { heard } => {
                    // Counted from 1, as 0 is none.
                    control.retires_at.store(heard + 1, Ordering::Release);
                    control.changed.notify_one();
                }
                Command::Drain => {
                    control.drains.store(true, Ordering::Release);
                    control.changed.notify_one();
                }
            }
            next = self.commands.try_recv().ok();
        }
    }

    /// Writes all that waits; the end of the connection where that fails.
    async fn write(&mut self) -> Result<(), End> {
        match timeout(WRITE_TIMEOUT, self.outbox.write_all()).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(End::RESET),
            Err(_) => Err(End::Theirs { is_reset: false, why: Departure::NotReading }),
        }
    }

    /// Writes what the dispatcher says until it says no more.
    async fn write_commands(&mut self, control: &ReaderControl) -> End {
        while let Some(command) = self.commands.recv().await {
            self.take_commands(command, control);
            if let Err(end) = self.write().await {
                return end;
            }
        }
        End::Ours
    }

    /// Says what is owed on a connection on which nothing more is read, until nothing is or its client is proven gone. Of
    /// one that was closed by the other end it is not known whether by half: a message that means nothing is
    /// answered with a reset where it was closed whole.
    async fn drain(&mut self, why: InputEnd, control: &ReaderControl) -> End {
        if why == InputEnd::HalfClosed {
            self.outbox.half_closed();
            if let Some(session) = self.replies.session_on(self.conn) {
                let probe = Message { session, body: Body::Progress };
                self.outbox.push(Outgoing { message: probe, stood: false, reply: None, steps: None });
            }
        }
        loop {
            if let Err(end) = self.write().await {
                return end;
            }
            if self.outbox.is_reset() {
                return End::RESET;
            }
            if self.owes_nothing() && self.outbox.is_empty() {
                return End::Ours;
            }
            match timeout(LOOK_WHILE_DRAINING, self.commands.recv()).await {
                Ok(Some(command)) => self.take_commands(command, control),
                Ok(None) => return End::Ours,
                Err(_) => {}
            }
        }
    }
}

/// Reads what a client says, and reports it, until nothing more is to be read.
async fn read_all(
    clock: Clock,
    conn: u64,
    replies: &Replies,
    frames: &mut Reader,
    control: &ReaderControl,
    reports: &mpsc::Sender<Report>,
) -> End {
    let mut due = Some(Instant::now() + WHOLE_WITHIN);
    let mut said = 0;
    loop {
        let next = tokio::select! {
            biased;
            next = frames.next(due) => next,
            () = control.changed.notified() => {
                if control.drains.load(Ordering::Acquire) {
                    return End::Input(InputEnd::Unusable);
                }
                if control.retires_at.load(Ordering::Acquire) != said + 1 || replies.open_count_on(conn) > 0 {
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
                let heard = replies.register(conn, message, Point::at(clock.now()));
                if reports.send(Report::Received(Box::new(heard))).await.is_err() {
                    return End::Ours;
                }
            }
            Err(e) => {
                tracing::debug!(target: "viewers", conn, error = %e, owed = replies.open_count_on(conn), "input over");
                return match e.kind() {
                    io::ErrorKind::UnexpectedEof => End::Input(InputEnd::HalfClosed),
                    _ if frames.is_over() => End::RESET,
                    _ => End::Input(InputEnd::Unusable),
                };
            }
        }
    }
}

/// Runs one connection until either end is done with it; it closes when `commands` does.
pub async fn run(
    clock: Clock,
    conn: u64,
    socket: TcpStream,
    commands: mpsc::Receiver<Command>,
    reports: mpsc::Sender<Report>,
    replies: Replies,
) {
    // Answers are small and urgent.
    let _ = socket.set_nodelay(true);
    let (read, write) = socket.into_split();
    let mut connection =
        ClientConnection { conn, outbox: Outbox::new(clock, write), commands, replies: replies.clone() };
    let mut frames = Reader::new(read, WHOLE_WITHIN);
    let control = ReaderControl::default();
    let mut end = tokio::select! {
        end = connection.write_commands(&control) => end,
        end = read_all(clock, conn, &replies, &mut frames, &control, &reports) => end,
    };
    if let End::Input(why) = end {
        end = match (connection.owes_nothing(), why) {
            (false, _) => {
                let _ = reports.send(Report::InputOver { conn, why }).await;
                connection.drain(why, &control).await
            }
            (true, InputEnd::HalfClosed) => End::Theirs { is_reset: false, why: Departure::Closed },
            (true, InputEnd::Unusable) => End::Ours,
        };
    }
    let ClientConnection { mut outbox, mut commands, .. } = connection;
    commands.close();
    while let Ok(command) = commands.try_recv() {
        if let Command::Say(said) = command {
            outbox.push(*said);
        }
    }
    if matches!(end, End::Ours) {
        let _ = timeout(LINGER, outbox.write_all()).await;
        let _ = timeout(LINGER, outbox.socket().shutdown()).await;
    }
    let why = if let End::Theirs { why, .. } = end { why } else { Departure::Closed };
    let _ = reports.send(Report::Gone { conn, why, unsaid: outbox.take_unsaid() }).await;
    let is_reset = match end {
        End::Theirs { is_reset, .. } => is_reset || is_reset_later(&outbox).await,
        End::Ours | End::Input(_) => matches!(timeout(LINGER, frames.discard(usize::MAX)).await, Ok(Err(_))),
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
