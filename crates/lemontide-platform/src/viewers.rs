//! Viewers' connections: reads messages, writes the dispatcher's messages, and closes connections that send invalid
//! input. It decides nothing, except whether a connection is still idle at the moment of closing it. A connection on
//! which an answer is owed is not closed from this side: when its input ends, it is drained first.

use crate::codec::{Body, Message};
use crate::dispatcher::InputEnd;
use crate::outbox::Outbox;
use crate::reader::{MessageReader, ReadMemory};
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

/// How soon a new connection must have sent a complete message, and how soon after its first bytes a message must be
/// complete. Guards against clients that connect, or begin a message, and send nothing more: the platform requires that
/// they are closed within 3 s.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2000);
/// A connection whose client does not read for this long is closed.
pub const WRITE_TIMEOUT: Duration = Duration::from_millis(2000);
/// How long the input is read after this end closed: the platform's allowance for messages that cross a close. Guards
/// against a reset that overtakes the last answer: a socket that is closed with unread bytes sends one.
const READ_AFTER_CLOSE: Duration = Duration::from_millis(50);
/// Time within which the reset arrives for bytes that were written to a connection that the other end had closed.
const RESET_TIMEOUT: Duration = Duration::from_millis(20);
/// How often a client is checked for its close while its messages wait to be handled.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// How often a draining connection is checked for a reset by its client and for open requests.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// What a viewers' connection reports.
pub enum Report {
    /// The client sent a message.
    Received(Box<ReceivedMessage>),
    /// Nothing more is read; answers that are owed can still be written.
    InputEnded { connection_id: u64, reason: InputEnd },
    /// The connection has ended. With the messages that were not written, and the reason why its client left, which
    /// counts if an answer was still owed.
    Closed { connection_id: u64, departure: Departure, unwritten: Vec<Outgoing> },
    /// Messages that were written on a connection that has ended, and not read by its client.
    Unread { connection_id: u64, unread: Vec<Outgoing> },
}

/// A message to a viewer.
#[derive(Debug)]
pub struct Outgoing {
    pub message: Message,
    /// It ends a session that plays, and can be sent on any other connection as well.
    pub ends_session: bool,
    /// The pending reply of the request that it answers, if it answers one.
    pub reply: Option<PendingReply>,
    /// The steps of that request, if they are logged.
    pub steps: Option<Box<Steps>>,
}

/// A command to a viewers' connection.
pub enum Command {
    /// Write this message.
    Send(Box<Outgoing>),
    /// Close the connection, unless more than this number of messages were received on it, or one is being received.
    CloseIdle { received: u64 },
    /// Read nothing more, and close once no answer is owed.
    Drain,
}

/// How a connection ended.
#[derive(Clone, Copy)]
enum ConnectionEnd {
    /// The client has disconnected, or can't be reached.
    ByClient { is_reset: bool, departure: Departure },
    /// Nothing more is read on it.
    Input(InputEnd),
    /// This end closes it, and no answer is owed on it.
    ByController,
}

impl ConnectionEnd {
    const RESET: ConnectionEnd = ConnectionEnd::ByClient { is_reset: true, departure: Departure::Closed };
}

/// The writing side of one connection: its messages, and the answers that are owed on it.
struct ClientConnection {
    connection_id: u64,
    outbox: Outbox,
    commands: mpsc::Receiver<Command>,
    replies: Replies,
}

/// Passes commands that concern the reading side of a connection on to it; the writing side receives them.
#[derive(Default)]
struct ReaderControl {
    changed: Notify,
    is_draining: AtomicBool,
    /// One more than the number of received messages at which the connection is to be closed; 0 if it is not to be
    /// closed.
    close_idle: AtomicU64,
}

impl ClientConnection {
    fn owes_nothing(&self) -> bool {
        self.replies.open_count_on(self.connection_id) == 0
    }

    /// Takes a command and all that are queued behind it.
    fn take_commands(&mut self, first: Command, control: &ReaderControl) {
        let mut next = Some(first);
        while let Some(command) = next {
            match command {
                Command::Send(outgoing) => self.outbox.push(*outgoing),
                Command::CloseIdle { received } => {
                    // Counted from 1, as 0 means that there is no such command.
                    control.close_idle.store(received + 1, Ordering::Release);
                    control.changed.notify_one();
                }
                Command::Drain => {
                    control.is_draining.store(true, Ordering::Release);
                    control.changed.notify_one();
                }
            }
            next = self.commands.try_recv().ok();
        }
    }

    /// Writes all waiting messages; an error is the end of the connection.
    async fn write(&mut self) -> Result<(), ConnectionEnd> {
        match timeout(WRITE_TIMEOUT, self.outbox.write_all()).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(ConnectionEnd::RESET),
            Err(_) => Err(ConnectionEnd::ByClient { is_reset: false, departure: Departure::NotReading }),
        }
    }

    /// Writes the dispatcher's messages until its end of the channel is dropped.
    async fn write_commands(&mut self, control: &ReaderControl) -> ConnectionEnd {
        while let Some(command) = self.commands.recv().await {
            self.take_commands(command, control);
            if let Err(end) = self.write().await {
                return end;
            }
        }
        ConnectionEnd::ByController
    }

    /// Writes the answers that are owed on a connection on which nothing more is read, until none is owed or the client
    /// has provably disconnected. If the client has closed the connection, it is unknown whether it closed only its own
    /// half. A progress message is written for that: if both halves were closed, the client's host answers it with a
    /// reset.
    async fn drain(&mut self, reason: InputEnd, control: &ReaderControl) -> ConnectionEnd {
        if reason == InputEnd::HalfClosed {
            self.outbox.set_half_closed();
            if let Some(session) = self.replies.session_on(self.connection_id) {
                let message = Message { session, body: Body::Progress };
                self.outbox.push(Outgoing { message, ends_session: false, reply: None, steps: None });
            }
        }
        loop {
            if let Err(end) = self.write().await {
                return end;
            }
            if self.outbox.is_reset() {
                return ConnectionEnd::RESET;
            }
            if self.owes_nothing() && self.outbox.is_empty() {
                return ConnectionEnd::ByController;
            }
            match timeout(DRAIN_CHECK_INTERVAL, self.commands.recv()).await {
                Ok(Some(command)) => self.take_commands(command, control),
                Ok(None) => return ConnectionEnd::ByController,
                Err(_) => {}
            }
        }
    }
}

/// Waits until a message can be reported. A client that has closed the connection by then is noted before the message
/// is: it waits for no answer, and what it sent is not sent on.
async fn reserve_report<'a>(
    connection_id: u64,
    replies: &Replies,
    reader: &MessageReader,
    reports: &'a mpsc::Sender<Report>,
) -> Option<mpsc::Permit<'a, Report>> {
    loop {
        let permit = timeout(CLOSE_CHECK_INTERVAL, reports.reserve()).await;
        if reader.has_peer_closed() {
            replies.note_closed_input(connection_id);
        }
        if let Ok(permit) = permit {
            return permit.ok();
        }
    }
}

/// Reads a client's messages and reports them, until nothing more is to be read.
async fn read_all(
    clock: Clock,
    connection_id: u64,
    replies: &Replies,
    reader: &mut MessageReader,
    control: &ReaderControl,
    reports: &mpsc::Sender<Report>,
) -> ConnectionEnd {
    let mut deadline = Some(Instant::now() + MESSAGE_TIMEOUT);
    let mut received = 0;
    loop {
        let next = tokio::select! {
            biased;
            next = reader.next(deadline) => next,
            () = control.changed.notified() => {
                if control.is_draining.load(Ordering::Acquire) {
                    return ConnectionEnd::Input(InputEnd::Unusable);
                }
                let is_idle = control.close_idle.load(Ordering::Acquire) == received + 1;
                if !is_idle || replies.open_count_on(connection_id) > 0 {
                    continue;
                }
                // What the socket has received by now becomes readable after one turn of the runtime.
                tokio::task::yield_now().await;
                match reader.next(deadline).now_or_never() {
                    Some(next) => next,
                    None if reader.has_incomplete_message() => continue,
                    None => return ConnectionEnd::ByController,
                }
            }
        };
        match next {
            Ok(message) => {
                deadline = None;
                received += 1;
                let Some(permit) = reserve_report(connection_id, replies, reader, reports).await else {
                    return ConnectionEnd::ByController;
                };
                let mut received = replies.register(connection_id, message, Point::at(clock.now()));
                received.memory = reader.take_memory();
                permit.send(Report::Received(Box::new(received)));
            }
            Err(e) => {
                tracing::debug!(
                    target: "viewers",
                    conn = connection_id,
                    error = %e,
                    owed = replies.open_count_on(connection_id),
                    "input ended"
                );
                return match e.kind() {
                    io::ErrorKind::UnexpectedEof => ConnectionEnd::Input(InputEnd::HalfClosed),
                    _ if reader.is_closed_by_peer() => ConnectionEnd::RESET,
                    _ => ConnectionEnd::Input(InputEnd::Unusable),
                };
            }
        }
    }
}

/// Runs one connection until either end closes it, or the sender of `commands` is dropped.
pub async fn run(
    clock: Clock,
    connection_id: u64,
    socket: TcpStream,
    commands: mpsc::Receiver<Command>,
    reports: mpsc::Sender<Report>,
    replies: Replies,
    memory: ReadMemory,
) {
    // Answers are small and urgent.
    let _ = socket.set_nodelay(true);
    let (read_half, write_half) = socket.into_split();
    let outbox = Outbox::new(clock, write_half);
    let mut connection = ClientConnection { connection_id, outbox, commands, replies: replies.clone() };
    let mut reader = MessageReader::new(read_half, MESSAGE_TIMEOUT).with_memory(memory);
    let control = ReaderControl::default();
    let mut end = tokio::select! {
        end = connection.write_commands(&control) => end,
        end = read_all(clock, connection_id, &replies, &mut reader, &control, &reports) => end,
    };
    if matches!(end, ConnectionEnd::ByClient { .. } | ConnectionEnd::Input(InputEnd::HalfClosed)) {
        replies.note_closed_input(connection_id);
    }
    if let ConnectionEnd::Input(reason) = end {
        end = match (connection.owes_nothing(), reason) {
            (false, _) => {
                let _ = reports.send(Report::InputEnded { connection_id, reason }).await;
                connection.drain(reason, &control).await
            }
            (true, InputEnd::HalfClosed) => {
                ConnectionEnd::ByClient { is_reset: false, departure: Departure::Closed }
            }
            (true, InputEnd::Unusable) => ConnectionEnd::ByController,
        };
    }
    let ClientConnection { mut outbox, mut commands, .. } = connection;
    commands.close();
    while let Ok(command) = commands.try_recv() {
        if let Command::Send(outgoing) = command {
            outbox.push(*outgoing);
        }
    }
    if matches!(end, ConnectionEnd::ByController) {
        let _ = timeout(READ_AFTER_CLOSE, outbox.write_all()).await;
        let _ = timeout(READ_AFTER_CLOSE, outbox.socket().shutdown()).await;
    }
    let departure =
        if let ConnectionEnd::ByClient { departure, .. } = end { departure } else { Departure::Closed };
    let unwritten = outbox.take_unwritten();
    let _ = reports.send(Report::Closed { connection_id, departure, unwritten }).await;
    let is_reset = match end {
        ConnectionEnd::ByClient { is_reset, .. } => is_reset || is_reset_later(&outbox).await,
        ConnectionEnd::ByController | ConnectionEnd::Input(_) => {
            matches!(timeout(READ_AFTER_CLOSE, reader.discard(usize::MAX)).await, Ok(Err(_)))
        }
    };
    let unread = outbox.take_maybe_unread();
    if is_reset && !unread.is_empty() {
        tracing::debug!(
            target: "viewers",
            conn = connection_id,
            unread = unread.len(),
            "connection reset with unread messages"
        );
        let _ = reports.send(Report::Unread { connection_id, unread }).await;
    }
}

/// Whether a client that closed the connection resets it for messages that it will not read.
async fn is_reset_later(outbox: &Outbox) -> bool {
    if !outbox.has_maybe_unread() {
        return false;
    }
    sleep(RESET_TIMEOUT).await;
    outbox.is_reset()
}
