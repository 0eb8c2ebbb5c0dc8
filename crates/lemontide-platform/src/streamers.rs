//! One connection to a streamer: dials, writes the dispatcher's batches and reports what it reads. It decides nothing;
//! every report carries the number of the dial that it belongs to.

use crate::codec::{Codec, Message};
use crate::dispatcher::{ConnectionLoss, OutboundMessage};
use crate::permit::Permit;
use crate::reader::MessageReader;
use bytes::{Buf, BytesMut};
use lemontide::clock::Point;
use lemontide_front::core::{Connection, QueuedMessage};
use lemontide_wire::clock::Clock;
use std::io;
use std::time::Duration;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tokio_util::codec::Encoder;

/// How soon after its first bytes a message must be complete. Guards against truncated answers: nothing behind one can
/// be read on that connection, and set-ups wait on it.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(300);

/// How long this end waits for a streamer to close a connection, after closing its own half.
const STREAMER_CLOSE_TIMEOUT: Duration = Duration::from_secs(3);
/// How many messages are read while it waits.
const MAX_MESSAGES_BEFORE_CLOSE: usize = 4096;
/// How many bytes are read while it waits, once they can't be decoded.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// What a connection to a streamer reports.
pub enum Report {
    /// The dial succeeded.
    Connected { connection: Connection },
    /// A batch was written, except for these attempts.
    Written { connection: Connection, unsent: Vec<(u32, u32)> },
    /// The streamer sent a message.
    Received { connection: Connection, message: Message },
    /// The connection is of no more use; `Closed` follows.
    Lost { connection: Connection, loss: ConnectionLoss },
    /// The socket is closed. `by_streamer` is set if the streamer closed or reset the connection, and so reads
    /// nothing more.
    Closed { connection: Connection, by_streamer: bool },
}

/// How this end closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Close {
    AtOnce,
    /// Closes only this end's half, and waits for the streamer to close the other.
    AwaitStreamer,
}

/// The connection to dial, its address, and the timeout of the dial.
pub struct Dial {
    pub connection: Connection,
    pub address: String,
    pub timeout: Duration,
}

/// Why a connection is not used any more.
enum ConnectionEnd {
    /// The dial failed.
    DialFailed(ConnectionLoss),
    /// The streamer closed or reset it.
    ByStreamer,
    /// It can't be read or written any more; with its reading half.
    Unusable(Option<MessageReader>),
    /// The dispatcher closes it.
    CloseRequested(Close, Option<MessageReader>),
}

/// The writing half. It checks at the moment of writing whether a message can still begin.
struct Writer {
    socket: OwnedWriteHalf,
    bytes: BytesMut,
}

impl Writer {
    /// Writes a complete message; returns false if the message can no longer begin. The clock is compared with
    /// `not_after` when the socket takes the first bytes. Guards against set-ups that wait in a batch on a slow
    /// connection, and are sent after their viewer has left or after they were sent to another streamer.
    async fn write(&mut self, clock: Clock, queued: &QueuedMessage<OutboundMessage>) -> io::Result<bool> {
        let attempt = queued.message.permit.as_ref().filter(|_| queued.attempt.is_some());
        self.bytes.clear();
        Codec.encode(queued.message.message.clone(), &mut self.bytes)?;
        let mut has_begun = false;
        while !self.bytes.is_empty() {
            self.socket.writable().await?;
            let now = Point::at(clock.now());
            let is_late = queued.not_after.is_some_and(|until| now > until);
            if !has_begun && (is_late || attempt.is_some_and(|attempt| !attempt.begin_at(now))) {
                return Ok(false);
            }
            match self.socket.try_write(&self.bytes) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => {
                    has_begun = true;
                    self.bytes.advance(written);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    let not_begun = attempt.filter(|_| !has_begun);
                    not_begun.into_iter().for_each(Permit::undo);
                }
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }

    /// Writes a batch; returns the attempts in it that could no longer begin, and so never ran.
    async fn write_all(
        &mut self,
        clock: Clock,
        batch: Vec<QueuedMessage<OutboundMessage>>,
    ) -> io::Result<Vec<(u32, u32)>> {
        let mut unsent = Vec::new();
        for queued in batch {
            let is_written = self.write(clock, &queued).await?;
            let permit = queued.message.permit.as_ref();
            match queued.attempt {
                Some(attempt) if !is_written && permit.is_some_and(Permit::withdraw) => unsent.push(attempt),
                _ => {}
            }
        }
        Ok(unsent)
    }
}

/// Whether a socket's error means that the other end closed or reset the connection.
fn is_close(error: &io::Error) -> bool {
    use io::ErrorKind::{BrokenPipe, ConnectionReset, UnexpectedEof};
    matches!(error.kind(), BrokenPipe | ConnectionReset | UnexpectedEof)
}

/// Runs one connection until it is closed. It closes when `close` receives a request or its sender is dropped, whatever
/// is being written then. The end of the connection is reported once its socket is closed.
pub async fn run(
    clock: Clock,
    dial: Dial,
    batches: mpsc::Receiver<Vec<QueuedMessage<OutboundMessage>>>,
    mut close: oneshot::Receiver<Close>,
    reports: mpsc::Sender<Report>,
) {
    let connection = dial.connection;
    let (loss, reader) = match serve_connection(clock, dial, batches, &mut close, &reports).await {
        ConnectionEnd::CloseRequested(Close::AtOnce, _) => (None, None),
        ConnectionEnd::CloseRequested(Close::AwaitStreamer, reader) => (None, reader),
        ConnectionEnd::DialFailed(loss) => (Some(loss), None),
        ConnectionEnd::ByStreamer => {
            let _ = reports.send(Report::Lost { connection, loss: ConnectionLoss::Disconnected }).await;
            let _ = reports.send(Report::Closed { connection, by_streamer: true }).await;
            return;
        }
        ConnectionEnd::Unusable(reader) => (Some(ConnectionLoss::Unusable), reader),
    };
    let mut awaits_streamer = loss.is_none();
    if let Some(loss) = loss {
        let _ = reports.send(Report::Lost { connection, loss }).await;
        awaits_streamer = reader.is_some() && close.await == Ok(Close::AwaitStreamer);
    }
    let by_streamer = match reader {
        Some(reader) if awaits_streamer => streamer_closes(connection, reader, &reports).await,
        _ => false,
    };
    let _ = reports.send(Report::Closed { connection, by_streamer }).await;
}

/// Whether the streamer closes a connection in time after this end closed its half. Messages that it still sends are
/// reported: a session belongs to no connection, and this may be the only one that carries its release.
async fn streamer_closes(
    connection: Connection,
    mut reader: MessageReader,
    reports: &mpsc::Sender<Report>,
) -> bool {
    let closes = async {
        match report_last_messages(connection, &mut reader, reports).await {
            Err(e) if is_close(&e) => Err(e),
            _ => reader.discard(MAX_DISCARDED_BYTES).await,
        }
    };
    match timeout(STREAMER_CLOSE_TIMEOUT, closes).await {
        Ok(Ok(())) => true,
        Ok(Err(e)) => is_close(&e),
        Err(_) => false,
    }
}

/// Reports a streamer's messages until they end, can't be decoded, or are too many.
async fn report_last_messages(
    connection: Connection,
    reader: &mut MessageReader,
    reports: &mpsc::Sender<Report>,
) -> io::Result<()> {
    for _ in 0..MAX_MESSAGES_BEFORE_CLOSE {
        let message = reader.next(None).await?;
        if reports.send(Report::Received { connection, message }).await.is_err() {
            break;
        }
    }
    Ok(())
}

/// Dials and serves one connection. Its writing half is closed when this returns, and its reading half as well unless
/// it is returned.
async fn serve_connection(
    clock: Clock,
    dial: Dial,
    mut batches: mpsc::Receiver<Vec<QueuedMessage<OutboundMessage>>>,
    close: &mut oneshot::Receiver<Close>,
    reports: &mpsc::Sender<Report>,
) -> ConnectionEnd {
    let Dial { connection, address, timeout: dial_timeout } = dial;
    let dialled = timeout(dial_timeout, TcpStream::connect(&address));
    let socket = tokio::select! {
        dialled = dialled => match dialled {
            Ok(Ok(socket)) => socket,
            Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
                return ConnectionEnd::DialFailed(ConnectionLoss::Refused)
            }
            _ => return ConnectionEnd::DialFailed(ConnectionLoss::DialFailed),
        },
        request = &mut *close => {
            return ConnectionEnd::CloseRequested(request.unwrap_or(Close::AtOnce), None)
        }
    };
    let _ = socket.set_nodelay(true);
    if reports.send(Report::Connected { connection }).await.is_err() {
        return ConnectionEnd::Unusable(None);
    }
    let (read_half, write_half) = socket.into_split();
    let mut writer = Writer { socket: write_half, bytes: BytesMut::new() };
    let write = async {
        while let Some(batch) = batches.recv().await {
            let unsent = writer.write_all(clock, batch).await?;
            if reports.send(Report::Written { connection, unsent }).await.is_err() {
                break;
            }
        }
        Ok(())
    };
    let mut reader = MessageReader::new(read_half, MESSAGE_TIMEOUT);
    let read = read_all(connection, &address, &mut reader, reports);
    let ended: io::Result<()> = tokio::select! {
        written = write => written,
        read = read => read,
        request = close => {
            return ConnectionEnd::CloseRequested(request.unwrap_or(Close::AtOnce), Some(reader))
        }
    };
    match ended {
        Err(e) if is_close(&e) => ConnectionEnd::ByStreamer,
        // The socket has failed, and nothing more can be read from it.
        Err(e) if e.raw_os_error().is_some() => ConnectionEnd::Unusable(None),
        _ => ConnectionEnd::Unusable(Some(reader)),
    }
}

/// Reports a streamer's messages until the connection ends or can't be read.
async fn read_all(
    connection: Connection,
    address: &str,
    reader: &mut MessageReader,
    reports: &mpsc::Sender<Report>,
) -> io::Result<()> {
    loop {
        match reader.next(None).await {
            Ok(message) => {
                if reports.send(Report::Received { connection, message }).await.is_err() {
                    return Ok(());
                }
            }
            Err(e) => {
                tracing::info!(target: "streamers", address, error = %e, "connection ended");
                return Err(e);
            }
        }
    }
}
