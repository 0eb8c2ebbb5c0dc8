//! One connection to a streamer: dials, writes what the desk hands over and reports what comes back. Nothing is
//! decided here; every report carries the number of the dial that it belongs to.

use crate::codec::{Codec, Message};
use crate::desk::Loss;
use crate::reader::Reader;
use futures::SinkExt;
use lemontide::clock::Point;
use lemontide_front::core::Queued;
use lemontide_wire::clock::Clock;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::FramedWrite;

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

/// Runs one connection until it ends; it closes when `orders` does.
pub async fn run(
    clock: Clock,
    to: Dial,
    mut orders: mpsc::Receiver<Vec<Queued<Message>>>,
    reports: mpsc::Sender<Report>,
) {
    let Dial { link, dial, address, timeout: within } = to;
    let report = |what| reports.send(what);
    let socket = match timeout(within, TcpStream::connect(&address)).await {
        Ok(Ok(socket)) => socket,
        other => {
            let refused = matches!(&other, Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused);
            let loss = if refused { Loss::Refused } else { Loss::Dark };
            let _ = report(Report::Lost { link, dial, loss }).await;
            return;
        }
    };
    let _ = socket.set_nodelay(true);
    if report(Report::Linked { link, dial }).await.is_err() {
        return;
    }
    let (read, write) = socket.into_split();
    let mut sink = FramedWrite::new(write, Codec);
    let writer = async {
        while let Some(batch) = orders.recv().await {
            let mut unsent = Vec::new();
            for queued in batch {
                // The set-up is of its moment: this process may have stood still since it was decided.
                let now = Point::at(clock.now());
                if queued.not_after.is_some_and(|until| now > until) {
                    unsent.extend(queued.shot);
                    continue;
                }
                if sink.feed(queued.order).await.is_err() {
                    return;
                }
            }
            if sink.flush().await.is_err() || report(Report::Wrote { link, dial, unsent }).await.is_err() {
                return;
            }
        }
    };
    let reader = async {
        let mut frames = Reader::new(read, WHOLE_WITHIN);
        loop {
            match frames.next(None).await {
                Ok(message) => {
                    if report(Report::Told { link, dial, message }).await.is_err() {
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
        () = writer => {}
        () = reader => {}
    }
    let _ = report(Report::Lost { link, dial, loss: Loss::Broke }).await;
}
