//! One connection to a streamer: dials, writes what the dispatcher hands over and reports what comes back. Nothing is
//! decided here; every report carries the number of the dial that it belongs to.

use crate::codec::{Codec, Message};
use crate::dispatcher::{ConnectionLoss, OutboundMessage};
use crate::permit::Permit;
use crate::reader::Reader;
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

/// A message must be whole so long after its first bytes. Guards against answers that stop short: nothing else
/// can be read on that connection either, and set-ups wait on it.
const WHOLE_WITHIN: Duration = Duration::from_millis(300);

/// How long a streamer's own close of a connection is awaited, and how many messages are heard meanwhile, or bytes of
/// what can't be read.
const CLOSE_WITHIN: Duration = Duration::from_secs(3);
const HEARD_MOST: usize = 4096;
const DISCARD_MOST: usize = 256 * 1024;

/// What a connection to a streamer reports.
pub enum Report {
    Linked {
        on: Connection,
    },
    Wrote {
        on: Connection,
        unsent: Vec<(u32, u32)>,
    },
    Told {
        on: Connection,
        message: Message,
    },
    /// It is of no more use; `Closed` follows.
    Lost {
        on: Connection,
        loss: ConnectionLoss,
    },
    /// Its socket is closed. `by_streamer` says that the streamer closed or reset it, having read what it read.
    Closed {
        on: Connection,
        by_streamer: bool,
    },
}

/// How this end closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Close {
    AtOnce,
    /// The streamer's own close is awaited.
    AwaitStreamer,
}

/// Where a connection goes, and how long the dial may take.
pub struct Dial {
    pub on: Connection,
    pub address: String,
    pub timeout: Duration,
}

/// How the use of a connection ended.
enum End {
    /// The dial did not come through.
    NoDial(ConnectionLoss),
    /// The streamer closed or reset it.
    ByStreamer,
    /// It can't be read or written any more; its reading half.
    Unusable(Option<Reader>),
    /// The dispatcher closes it.
    Told(Close, Option<Reader>),
}

/// The writing half: asks in the moment of writing whether a message may still begin.
struct Writer {
    socket: OwnedWriteHalf,
    bytes: BytesMut,
}

impl Writer {
    /// Writes a message whole; false where it may no longer begin. `not_after` is asked of the clock when the socket
    /// takes its first bytes. Guards against set-ups that leave after their viewer did, or after they were sent
    /// elsewhere, as they waited in a batch on a slow connection.
    async fn write(&mut self, clock: Clock, queued: &QueuedMessage<OutboundMessage>) -> io::Result<bool> {
        let attempt = queued.message.permit.as_ref().filter(|_| queued.attempt.is_some());
        self.bytes.clear();
        Codec.encode(queued.message.message.clone(), &mut self.bytes)?;
        let mut begun = false;
        while !self.bytes.is_empty() {
            self.socket.writable().await?;
            let now = Point::at(clock.now());
            let late = queued.not_after.is_some_and(|until| now > until);
            if !begun && (late || attempt.is_some_and(|attempt| !attempt.begin_at(now))) {
                return Ok(false);
            }
            match self.socket.try_write(&self.bytes) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => {
                    begun = true;
                    self.bytes.advance(written);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    let nothing_yet = attempt.filter(|_| !begun);
                    nothing_yet.into_iter().for_each(Permit::undo);
                }
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }

    /// Writes a batch; the attempts in it whose time was over, which never ran.
    async fn write_all(
        &mut self,
        clock: Clock,
        batch: Vec<QueuedMessage<OutboundMessage>>,
    ) -> io::Result<Vec<(u32, u32)>> {
        let mut unsent = Vec::new();
        for queued in batch {
            let written = self.write(clock, &queued).await?;
            let permit = queued.message.permit.as_ref();
            match queued.attempt {
                Some(shot) if !written && permit.is_some_and(Permit::withdraw) => unsent.push(shot),
                _ => {}
            }
        }
        Ok(unsent)
    }
}

/// Whether an error of a socket says that the other end closed or reset the connection.
fn is_close(error: &io::Error) -> bool {
    use io::ErrorKind::{BrokenPipe, ConnectionReset, UnexpectedEof};
    matches!(error.kind(), BrokenPipe | ConnectionReset | UnexpectedEof)
}

/// Runs one connection until it is closed. It closes when `close` says so or its sender is gone, whatever is being
/// written. That it is over is reported once it is closed.
pub async fn run(
    clock: Clock,
    to: Dial,
    orders: mpsc::Receiver<Vec<QueuedMessage<OutboundMessage>>>,
    mut close: oneshot::Receiver<Close>,
    reports: mpsc::Sender<Report>,
) {
    let on = to.on;
    let (loss, reader) = match attend(clock, to, orders, &mut close, &reports).await {
        End::Told(Close::AtOnce, _) => (None, None),
        End::Told(Close::AwaitStreamer, reader) => (None, reader),
        End::NoDial(loss) => (Some(loss), None),
        End::ByStreamer => {
            let _ = reports.send(Report::Lost { on, loss: ConnectionLoss::Disconnected }).await;
            let _ = reports.send(Report::Closed { on, by_streamer: true }).await;
            return;
        }
        End::Unusable(reader) => (Some(ConnectionLoss::Disconnected), reader),
    };
    let mut awaits_streamer = loss.is_none();
    if let Some(loss) = loss {
        let _ = reports.send(Report::Lost { on, loss }).await;
        awaits_streamer = reader.is_some() && close.await == Ok(Close::AwaitStreamer);
    }
    let by_streamer = match reader {
        Some(reader) if awaits_streamer => closes(on, reader, &reports).await,
        _ => false,
    };
    let _ = reports.send(Report::Closed { on, by_streamer }).await;
}

/// Whether the streamer closes in time a connection of which this end has closed its half. What it still says is
/// reported: a session that stands belongs to no connection, and this may be the only one that carries its release.
async fn closes(on: Connection, mut reader: Reader, reports: &mpsc::Sender<Report>) -> bool {
    let closes = async {
        match hear_last(on, &mut reader, reports).await {
            Err(e) if is_close(&e) => Err(e),
            _ => reader.discard(DISCARD_MOST).await,
        }
    };
    match timeout(CLOSE_WITHIN, closes).await {
        Ok(Ok(())) => true,
        Ok(Err(e)) => is_close(&e),
        Err(_) => false,
    }
}

/// Reports what a streamer says, until that is over, can't be read, or is too much.
async fn hear_last(on: Connection, reader: &mut Reader, reports: &mpsc::Sender<Report>) -> io::Result<()> {
    for _ in 0..HEARD_MOST {
        let message = reader.next(None).await?;
        if reports.send(Report::Told { on, message }).await.is_err() {
            break;
        }
    }
    Ok(())
}

/// Dials and serves one connection. Its writing half is closed when this returns, and its reading half as well unless
/// it is returned.
async fn attend(
    clock: Clock,
    to: Dial,
    mut orders: mpsc::Receiver<Vec<QueuedMessage<OutboundMessage>>>,
    close: &mut oneshot::Receiver<Close>,
    reports: &mpsc::Sender<Report>,
) -> End {
    let Dial { on, address, timeout: within } = to;
    let dial = timeout(within, TcpStream::connect(&address));
    let socket = tokio::select! {
        dialled = dial => match dialled {
            Ok(Ok(socket)) => socket,
            Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => return End::NoDial(ConnectionLoss::Refused),
            _ => return End::NoDial(ConnectionLoss::DialFailed),
        },
        told = &mut *close => return End::Told(told.unwrap_or(Close::AtOnce), None),
    };
    let _ = socket.set_nodelay(true);
    if reports.send(Report::Linked { on }).await.is_err() {
        return End::Unusable(None);
    }
    let (read, write) = socket.into_split();
    let mut writer = Writer { socket: write, bytes: BytesMut::new() };
    let write = async {
        while let Some(batch) = orders.recv().await {
            let unsent = writer.write_all(clock, batch).await?;
            if reports.send(Report::Wrote { on, unsent }).await.is_err() {
                break;
            }
        }
        Ok(())
    };
    let mut reader = Reader::new(read, WHOLE_WITHIN);
    let read = read_all(on, &address, &mut reader, reports);
    let ended: io::Result<()> = tokio::select! {
        written = write => written,
        read = read => read,
        told = close => return End::Told(told.unwrap_or(Close::AtOnce), Some(reader)),
    };
    match ended {
        Err(e) if is_close(&e) => End::ByStreamer,
        // The socket is dead, and nothing more is heard of the streamer on it.
        Err(e) if e.raw_os_error().is_some() => End::Unusable(None),
        _ => End::Unusable(Some(reader)),
    }
}

/// Reports what a streamer says until the connection is over or can't be read.
async fn read_all(
    on: Connection,
    address: &str,
    reader: &mut Reader,
    reports: &mpsc::Sender<Report>,
) -> io::Result<()> {
    loop {
        match reader.next(None).await {
            Ok(message) => {
                if reports.send(Report::Told { on, message }).await.is_err() {
                    return Ok(());
                }
            }
            Err(e) => {
                tracing::info!(target: "streamers", address, error = %e, "connection over");
                return Err(e);
            }
        }
    }
}
