//! Follows the list of streamers at the journal service: requests the events after the last known one, reads them line
//! by line, and reconnects whenever the connection ends, the service is silent or an event is missing.

use crate::config::{ListEvent, ListUpdate};
use futures::StreamExt;
use serde_json::Value as Json;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Framed, LinesCodec};

/// A full list of some hundred streamers is far shorter; a longer line counts as one that never ends.
const MAX_LINE_BYTES: usize = 1 << 20;
/// The service sends a line every second; when two of them are missing and the next one is a little late, it is silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2200);
/// Timeout for the first line of a new connection. It is shorter because of a service that falls silent and stays
/// silent on the next connection: its events count as received 4 s after it fell silent.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(1300);
/// How much of an unusable line is logged.
const MAX_LOGGED_CHARS: usize = 200;
/// Timeout for connecting, and for sending the request.
const DIAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two connections, so that a service that refuses them is not flooded.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Time after which the platform counts the events of a silent service as received.
const COUNTS_AS_RECEIVED_AFTER: Duration = Duration::from_millis(4000);
const _: () = assert!(
    SILENCE_TIMEOUT.as_millis() + FIRST_LINE_TIMEOUT.as_millis() + 2 * RECONNECT_PAUSE.as_millis()
        < COUNTS_AS_RECEIVED_AFTER.as_millis()
);

/// What a line of the service means to a reader that has all events up to a position.
#[derive(Clone, Debug, PartialEq)]
pub enum ParsedLine {
    /// The next event.
    Next(ListEvent),
    /// Nothing new: the position of the last event again, or an event that was sent twice.
    Unchanged,
    /// An event is missing, or the line can't be read: the events must be requested again.
    Missed,
    /// An event at this position, which is past the next one: the events must be requested again, once.
    Gap(u64),
}

/// Parses one line. As long as it is the first of a connection (`is_first`), the position of the last event can be
/// ahead of events that are still to be received.
pub fn parse_line(line: &str, last_position: u64, is_first: bool) -> ParsedLine {
    let Ok(json) = serde_json::from_str::<Json>(line.trim()) else { return ParsedLine::Missed };
    if json.get("hosts").is_none() {
        // The position of the last event alone, in an object or bare.
        return match json.get("pos").unwrap_or(&json).as_u64() {
            Some(position) if position <= last_position || is_first => ParsedLine::Unchanged,
            _ => ParsedLine::Missed,
        };
    }
    match serde_json::from_value::<ListEvent>(json) {
        Ok(event) if event.position <= last_position => ParsedLine::Unchanged,
        Ok(event) if event.position == last_position + 1 => ParsedLine::Next(event),
        // After a full list nothing is missing, whatever preceded it.
        Ok(event) if event.update.full => ParsedLine::Next(event),
        Ok(event) => ParsedLine::Gap(event.position),
        Err(_) => ParsedLine::Missed,
    }
}

/// What is known about the service, over all its connections.
struct Follower {
    last_position: u64,
    /// The gap at which the last connection ended: the last position before it, and the first one after it.
    gap: Option<(u64, u64)>,
    updates: mpsc::Sender<ListUpdate>,
}

/// Follows the list until the receiver of the updates is dropped. `address` changes when the operators move the
/// service.
pub async fn follow(
    mut address: watch::Receiver<String>,
    last_position: u64,
    updates: mpsc::Sender<ListUpdate>,
) {
    let mut follower = Follower { last_position, gap: None, updates };
    loop {
        let current_address = address.borrow_and_update().clone();
        tokio::select! {
            () = follower.read_connection(&current_address) => {}
            changed = address.changed() => {
                if changed.is_err() {
                    return;
                }
                continue;
            }
        }
        if follower.updates.is_closed() {
            return;
        }
        sleep(RECONNECT_PAUSE).await;
    }
}

impl Follower {
    /// Reads one connection until it is of no more use. Safe to cancel at any await: an event counts as received only
    /// when it is passed on. Guards against losing an event that waits for room in the channel when the service moves.
    async fn read_connection(&mut self, address: &str) {
        let Ok(Ok(mut socket)) = timeout(DIAL_TIMEOUT, TcpStream::connect(address)).await else {
            tracing::info!(target: "journal", at = address, "journal service not reachable");
            return;
        };
        let request = format!("tail {}\n", self.last_position);
        if !matches!(timeout(DIAL_TIMEOUT, socket.write_all(request.as_bytes())).await, Ok(Ok(()))) {
            return;
        }
        let mut lines = Framed::new(socket, LinesCodec::new_with_max_length(MAX_LINE_BYTES));
        let mut is_first = true;
        loop {
            // A line without its end, a broken connection and silence have the same remedy: another connection.
            let line_timeout = if is_first { FIRST_LINE_TIMEOUT } else { SILENCE_TIMEOUT };
            let Ok(Some(Ok(line))) = timeout(line_timeout, lines.next()).await else {
                tracing::info!(
                    target: "journal",
                    at = address,
                    last = self.last_position,
                    "connection ended or silent"
                );
                return;
            };
            let parsed = match parse_line(&line, self.last_position, is_first) {
                ParsedLine::Gap(position) => self.accept_repeated_gap(&line, position),
                parsed => parsed,
            };
            match parsed {
                ParsedLine::Next(event) => {
                    let Ok(permit) = self.updates.reserve().await else { return };
                    self.last_position = event.position;
                    permit.send(event.update);
                }
                ParsedLine::Unchanged => {}
                ParsedLine::Missed | ParsedLine::Gap(_) => {
                    let line: String = line.chars().take(MAX_LOGGED_CHARS).collect();
                    tracing::info!(
                        target: "journal",
                        at = address,
                        last = self.last_position,
                        line,
                        "an event is missing"
                    );
                    return;
                }
            }
            is_first = false;
        }
    }

    /// Accepts a gap that the service repeats on two connections. Guards against one faulty connection, after which the
    /// missing events would never be requested, and against endless requests for events that the service no longer has.
    fn accept_repeated_gap(&mut self, line: &str, position: u64) -> ParsedLine {
        let gap = Some((self.last_position, position));
        if std::mem::replace(&mut self.gap, gap) != gap {
            return ParsedLine::Gap(position);
        }
        serde_json::from_str(line.trim()).map_or(ParsedLine::Missed, ParsedLine::Next)
    }
}
