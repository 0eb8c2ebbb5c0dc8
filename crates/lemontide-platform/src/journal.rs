//! Follows the list of streamers at the journal service: asks for what comes after the last event, takes lines, and
//! asks again whenever the service breaks off, falls silent or leaves something out.

use crate::config::{Event, Hosts};
use futures::StreamExt;
use serde_json::Value as Json;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Framed, LinesCodec};

/// A whole list of some hundred streamers is far shorter; a line beyond it never ends.
const LINE_MOST: usize = 1 << 20;
/// The service says something every second; two of them missing and a little late is silence.
const SILENCE: Duration = Duration::from_millis(2200);
/// So much of a line that makes no sense goes into the log.
const LOGGED: usize = 200;
const DIAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Between two dials, so that a service that refuses is not hammered.
const REST: Duration = Duration::from_millis(100);

/// What a line of the service means to a reader who has all up to `last`.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    Next(Event),
    /// Nothing new: the last event's number again, or an event written twice.
    Nothing,
    /// Something was left out, or the line can't be read: ask again.
    Missed,
}

/// Reads one line. On a connection that has told nothing yet a gap is the service's own: there is nothing between.
pub fn read(line: &str, last: u64, first: bool) -> Heard {
    let Ok(json) = serde_json::from_str::<Json>(line.trim()) else { return Heard::Missed };
    if json.get("hosts").is_none() {
        // The number of the last event alone, in an object or bare.
        return match json.get("pos").unwrap_or(&json).as_u64() {
            Some(pos) if pos <= last || first => Heard::Nothing,
            _ => Heard::Missed,
        };
    }
    match serde_json::from_value::<Event>(json) {
        Ok(event) if event.pos <= last => Heard::Nothing,
        Ok(event) if event.pos == last + 1 || first => Heard::Next(event),
        _ => Heard::Missed,
    }
}

/// Follows until nobody listens any more. `address` changes when the operators move the service.
pub async fn follow(mut address: watch::Receiver<String>, mut last: u64, news: mpsc::Sender<Hosts>) {
    loop {
        let at = address.borrow_and_update().clone();
        tokio::select! {
            gone = session(&at, &mut last, &news) => {
                if gone {
                    return;
                }
                sleep(REST).await;
            }
            changed = address.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

/// One connection; whether nobody listens any more.
async fn session(at: &str, last: &mut u64, news: &mpsc::Sender<Hosts>) -> bool {
    let Ok(Ok(mut socket)) = timeout(DIAL_TIMEOUT, TcpStream::connect(at)).await else {
        tracing::info!(target: "journal", at, "not reached");
        return news.is_closed();
    };
    let ask = format!("tail {last}\n");
    if !matches!(timeout(DIAL_TIMEOUT, socket.write_all(ask.as_bytes())).await, Ok(Ok(()))) {
        return news.is_closed();
    }
    let mut lines = Framed::new(socket, LinesCodec::new_with_max_length(LINE_MOST));
    let mut first = true;
    loop {
        // A line without its end, a broken connection and silence all mean the same: ask again.
        let Ok(Some(Ok(line))) = timeout(SILENCE, lines.next()).await else {
            tracing::info!(target: "journal", at, last = *last, "broke off or fell silent");
            return news.is_closed();
        };
        match read(&line, *last, first) {
            Heard::Next(event) => {
                *last = event.pos;
                if news.send(event.hosts).await.is_err() {
                    return true;
                }
            }
            Heard::Nothing => {}
            Heard::Missed => {
                let line: String = line.chars().take(LOGGED).collect();
                tracing::info!(target: "journal", at, last = *last, line, "left something out");
                return news.is_closed();
            }
        }
        first = false;
    }
}
