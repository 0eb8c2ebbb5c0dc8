//! One connection to a streamer: dials, writes what the desk hands over and reports what comes back. Nothing is
//! decided here; every report carries the number of the dial that it belongs to.

use crate::codec::{Codec, Message};
use crate::desk::{Loss, Order};
use crate::permit::Permit;
use crate::reader::Reader;
use bytes::{Buf, BytesMut};
use lemontide::clock::Point;
use lemontide_front::core::Queued;
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

/// What a connection to a streamer reports.
pub enum Report {
    Linked { link: u64, dial: u64 },
    Lost { link: u64, dial: u64, loss: Loss },
    Wrote { link: u64, dial: u64, unsent: Vec<(u32, u32)> },
    Told { link: u64, dial: u64, message: Message },
}

/// Where a connection goes: the link, the number of the dial, the address, and how long the dial may take.
pub struct Dial {
    pub link: u64,
    pub dial: u64,
    pub address: String,
    pub timeout: Duration,
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
    async fn write(&mut self, clock: Clock, queued: &Queued<Order>) -> io::Result<bool> {
        let attempt = queued.order.permit.as_ref().filter(|_| queued.shot.is_some());
        self.bytes.clear();
        Codec.encode(queued.order.message.clone(), &mut self.bytes)?;
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
    async fn write_all(&mut self, clock: Clock, batch: Vec<Queued<Order>>) -> io::Result<Vec<(u32, u32)>> {
        let mut unsent = Vec::new();
        for queued in batch {
            let written = self.write(clock, &queued).await?;
            let permit = queued.order.permit.as_ref();
            match queued.shot {
                // Who waits for a word to be out learns it here.
                None => {
                    permit.map(Permit::begin);
                }
                Some(shot) if !written && permit.is_some_and(Permit::withdraw) => unsent.push(shot),
                Some(_) => {}
            }
        }
        Ok(unsent)
    }
}

/// Runs one connection until it ends; it closes when the sender of `hang_up` is gone, whatever is being written. That it is over is reported once it is closed.
pub async fn run(
    clock: Clock,
    to: Dial,
    orders: mpsc::Receiver<Vec<Queued<Order>>>,
    hang_up: oneshot::Receiver<()>,
    reports: mpsc::Sender<Report>,
) {
    let (link, dial) = (to.link, to.dial);
    let loss = tokio::select! {
        loss = attend(clock, to, orders, &reports) => loss,
        _ = hang_up => Loss::Broke,
    };
    let _ = reports.send(Report::Lost { link, dial, loss }).await;
}

/// Dials and serves one connection; the socket is closed when this returns.
async fn attend(
    clock: Clock,
    to: Dial,
    mut orders: mpsc::Receiver<Vec<Queued<Order>>>,
    reports: &mpsc::Sender<Report>,
) -> Loss {
    let Dial { link, dial, address, timeout: within } = to;
    let socket = match timeout(within, TcpStream::connect(&address)).await {
        Ok(Ok(socket)) => socket,
        Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => return Loss::Refused,
        _ => return Loss::Dark,
    };
    let _ = socket.set_nodelay(true);
    if reports.send(Report::Linked { link, dial }).await.is_err() {
        return Loss::Broke;
    }
    let (read, write) = socket.into_split();
    let mut writer = Writer { socket: write, bytes: BytesMut::new() };
    let write = async {
        while let Some(batch) = orders.recv().await {
            let Ok(unsent) = writer.write_all(clock, batch).await else { return };
            if reports.send(Report::Wrote { link, dial, unsent }).await.is_err() {
                return;
            }
        }
    };
    let read = async {
        let mut frames = Reader::new(read, WHOLE_WITHIN);
        loop {
            match frames.next(None).await {
                Ok(message) => {
                    if reports.send(Report::Told { link, dial, message }).await.is_err() {
                        return;
                    }
                }
                Err(e) => {
                    tracing::info!(target: "streamers", address, error = %e, "connection over");
                    return;
                }
            }
        }
    };
    tokio::select! {
        () = write => {}
        () = read => {}
    }
    Loss::Broke
}
