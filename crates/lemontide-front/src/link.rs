//! One connection to a streamer: dials, greets, writes what the driver hands over and reports what comes back.
//! Nothing is decided here; every report carries the number of the dial that it belongs to.

use crate::core::QueuedMessage;
use crate::events::Happened;
use futures::{SinkExt, StreamExt};
use lemontide::clock::Point;
use lemontide_wire::clock::Clock;
use lemontide_wire::link::{ControllerCodec, ControllerMessage, Hello, StreamerMessage, PROTOCOL_VERSION};
use lemontide_wire::tap::{Tap, TapEvent};
use std::io::ErrorKind;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{timeout, timeout_at, Instant};
use tokio_util::codec::Framed;

/// What all links of a controller share.
#[derive(Clone)]
pub struct Links {
    pub clock: Clock,
    pub tap: Tap,
    pub me: u32,
    /// Tells this process from an earlier one of the same number.
    pub run: u64,
    pub dial_timeout: Duration,
    pub reports: mpsc::Sender<Happened>,
}

/// Where a connection goes: the streamer's place in the driver, the number of the dial, name and address.
pub struct Dial {
    pub at: usize,
    pub dial: u64,
    pub streamer: String,
    pub address: String,
}

/// Runs one connection until it ends. `orders` gives batches to write; when it closes, so does the connection.
pub async fn run(links: Links, to: Dial, mut orders: mpsc::Receiver<Vec<QueuedMessage>>) {
    let Dial { at, dial, streamer, address } = to;
    let report = |what| links.reports.send(what);
    let until = Instant::now() + links.dial_timeout;
    let greeted = match timeout_at(until, greet(&links, &streamer, &address)).await {
        Ok(Ok(greeted)) => Some(greeted),
        Ok(Err(e)) => {
            tracing::debug!(target: "link", address, error = %e, "not reached");
            None
        }
        Err(_) => None,
    };
    let Some((framed, started)) = greeted else {
        let _ = report(Happened::Lost { at, dial, by_streamer: false }).await;
        return;
    };
    if report(Happened::Linked { at, dial, started }).await.is_err() {
        return;
    }
    let (mut sink, mut stream) = framed.split();
    let writer = async {
        while let Some(batch) = orders.recv().await {
            let mut unsent = Vec::new();
            for queued in batch {
                // The set-up is of its moment: this process may have stood still since it was decided.
                let now = Point::at(links.clock.now());
                if queued.not_after.is_some_and(|until| now > until) {
                    unsent.extend(queued.attempt);
                    continue;
                }
                if let ControllerMessage::SetUp(set_up) = &queued.message {
                    links.tap.record(TapEvent::AttemptSent {
                        request_id: set_up.ask.clone(),
                        attempt: set_up.shot,
                        streamer: streamer.clone(),
                        class: set_up.lane.clone(),
                        title: set_up.title.clone(),
                        rung: set_up.rung as usize,
                    });
                }
                if sink.feed(queued.message).await.is_err() {
                    return;
                }
            }
            if sink.flush().await.is_err() || report(Happened::Wrote { at, dial, unsent }).await.is_err() {
                return;
            }
        }
        // Told to hang up: what is still in the buffer goes out if it can.
        let _ = timeout(Duration::from_millis(100), sink.close()).await;
    };
    let reader = async {
        loop {
            match stream.next().await {
                Some(Ok(told)) => {
                    if report(Happened::Told { at, dial, told }).await.is_err() {
                        return false;
                    }
                }
                Some(Err(e)) => {
                    tracing::warn!(target: "link", streamer, error = %e, "link closed");
                    return e.kind() == ErrorKind::ConnectionReset;
                }
                None => return true,
            }
        }
    };
    let by_streamer = tokio::select! {
        () = writer => false,
        by_streamer = reader => by_streamer,
    };
    let _ = report(Happened::Lost { at, dial, by_streamer }).await;
}

type End = Framed<TcpStream, ControllerCodec>;

async fn greet(links: &Links, streamer: &str, address: &str) -> std::io::Result<(End, f64)> {
    let socket = TcpStream::connect(address).await?;
    socket.set_nodelay(true)?;
    let mut framed = Framed::new(socket, ControllerCodec::default());
    framed
        .send(ControllerMessage::Hello(Hello {
            version: PROTOCOL_VERSION,
            controller: links.me,
            run: links.run,
        }))
        .await?;
    match framed.next().await {
        Some(Ok(StreamerMessage::Welcome(welcome))) if welcome.version == PROTOCOL_VERSION => {
            // An address may have passed to another process since the list was written.
            if welcome.streamer != streamer {
                return Err(std::io::Error::other(format!("it is {}, not {streamer}", welcome.streamer)));
            }
            Ok((framed, welcome.started))
        }
        Some(Ok(StreamerMessage::Welcome(welcome))) => {
            let what = format!(
                "it speaks version {} of the link, this controller {PROTOCOL_VERSION}",
                welcome.version
            );
            Err(std::io::Error::other(what))
        }
        Some(Ok(_)) => Err(std::io::Error::other("its first word is no welcome")),
        Some(Err(e)) => Err(e),
        None => Err(std::io::ErrorKind::UnexpectedEof.into()),
    }
}
