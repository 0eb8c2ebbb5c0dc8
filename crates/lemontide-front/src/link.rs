//! One connection to a streamer: connects, performs the handshake, writes the driver's messages and passes
//! received ones on. It makes no decisions; each of its events has the number of the connection.

use crate::core::QueuedMessage;
use crate::events::Event;
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

/// Time in which a closing connection can write its buffered messages.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// What all links of a controller share.
#[derive(Clone)]
pub struct LinkContext {
    pub clock: Clock,
    pub tap: Tap,
    /// This controller's number.
    pub controller: u32,
    /// Distinguishes this process from an earlier one of the same number.
    pub run_id: u64,
    pub dial_timeout: Duration,
    pub events: mpsc::Sender<Event>,
}

/// The streamer to connect to.
pub struct LinkTarget {
    /// The streamer's index in the driver.
    pub streamer: usize,
    /// Number of the connection.
    pub dial: u64,
    pub name: String,
    pub address: String,
}

/// Runs one connection until it ends. `batches` are the messages to write; the connection is closed when
/// their channel is.
pub async fn run(context: LinkContext, target: LinkTarget, mut batches: mpsc::Receiver<Vec<QueuedMessage>>) {
    let LinkTarget { streamer, dial, name, address } = target;
    let report = |event| context.events.send(event);
    let give_up_at = Instant::now() + context.dial_timeout;
    let connected = match timeout_at(give_up_at, connect(&context, &name, &address)).await {
        Ok(Ok(connected)) => Some(connected),
        Ok(Err(e)) => {
            tracing::debug!(target: "link", address, error = %e, "connecting to the streamer failed");
            None
        }
        Err(_) => None,
    };
    let Some((framed, started_at_s)) = connected else {
        let _ = report(Event::LinkLost { streamer, dial, by_streamer: false }).await;
        return;
    };
    if report(Event::LinkUp { streamer, dial, started_at_s }).await.is_err() {
        return;
    }
    let (mut sink, mut stream) = framed.split();
    let writer = async {
        while let Some(batch) = batches.recv().await {
            let mut unsent = Vec::new();
            for queued in batch {
                // The time limit is checked again here, since the process may have stalled since the
                // decision.
                let now = Point::at(context.clock.now());
                if queued.not_after.is_some_and(|not_after| now > not_after) {
                    unsent.extend(queued.attempt);
                    continue;
                }
                if let ControllerMessage::SetUp(set_up) = &queued.message {
                    context.tap.record(TapEvent::AttemptSent {
                        request_id: set_up.ask.clone(),
                        attempt: set_up.shot,
                        streamer: name.clone(),
                        class: set_up.lane.clone(),
                        title: set_up.title.clone(),
                        rung: set_up.rung as usize,
                    });
                }
                if sink.feed(queued.message).await.is_err() {
                    return;
                }
            }
            if sink.flush().await.is_err()
                || report(Event::BatchWritten { streamer, dial, unsent }).await.is_err()
            {
                return;
            }
        }
        // The driver closed the connection: buffered messages are still written if that is possible in time.
        let _ = timeout(CLOSE_TIMEOUT, sink.close()).await;
    };
    let reader = async {
        loop {
            match stream.next().await {
                Some(Ok(message)) => {
                    if report(Event::MessageReceived { streamer, dial, message }).await.is_err() {
                        return false;
                    }
                }
                Some(Err(e)) => {
                    tracing::warn!(target: "link", streamer = name, error = %e, "link closed");
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
    let _ = report(Event::LinkLost { streamer, dial, by_streamer }).await;
}

type FramedLink = Framed<TcpStream, ControllerCodec>;

/// Connects and performs the handshake. Returns the connection, and the streamer's start time by its own
/// clock.
async fn connect(context: &LinkContext, name: &str, address: &str) -> std::io::Result<(FramedLink, f64)> {
    let socket = TcpStream::connect(address).await?;
    socket.set_nodelay(true)?;
    let mut framed = Framed::new(socket, ControllerCodec::default());
    framed
        .send(ControllerMessage::Hello(Hello {
            version: PROTOCOL_VERSION,
            controller: context.controller,
            run: context.run_id,
        }))
        .await?;
    match framed.next().await {
        Some(Ok(StreamerMessage::Welcome(welcome))) if welcome.version == PROTOCOL_VERSION => {
            // Another process may use the address now, if the list is outdated.
            if welcome.streamer != name {
                let problem = format!("the streamer is {} instead of {name}", welcome.streamer);
                return Err(std::io::Error::other(problem));
            }
            Ok((framed, welcome.started))
        }
        Some(Ok(StreamerMessage::Welcome(welcome))) => {
            let problem = format!(
                "the streamer has version {} of the link's protocol, this controller version {PROTOCOL_VERSION}",
                welcome.version
            );
            Err(std::io::Error::other(problem))
        }
        Some(Ok(_)) => Err(std::io::Error::other("the streamer's first message is not a welcome")),
        Some(Err(e)) => Err(e),
        None => Err(std::io::ErrorKind::UnexpectedEof.into()),
    }
}
