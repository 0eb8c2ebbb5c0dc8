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
/// On a new connection the first word is missed sooner. Guards against a service that falls silent and is silent on
/// the next connection, too: what it would have told counts as told 4 s after it fell silent.
const FIRST_SILENCE: Duration = Duration::from_millis(1300);
/// So much of a line that makes no sense goes into the log.
const LOGGED: usize = 200;
const DIAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Between two dials, so that a service that refuses is not hammered.
const REST: Duration = Duration::from_millis(100);
/// The platform's time after which what a silent service would have told counts as told.
const COUNTS_AS_TOLD: Duration = Duration::from_millis(4000);
const _: () = assert!(
    SILENCE.as_millis() + FIRST_SILENCE.as_millis() + 2 * REST.as_millis() < COUNTS_AS_TOLD.as_millis()
);

/// What a line of the service means to a reader who has all up to `last`.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    Next(Event),
    /// Nothing new: the last event's number again, or an event written twice.
    Nothing,
    /// Something was left out, or the line can't be read: ask again.
    Missed,
    /// An event past the next one, of this number: ask again, once.
    Gap(u64),
}

/// Reads one line. On a connection that has told nothing yet (`first`), the number of the last event may be ahead of
/// events that are still on their way.
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
        Ok(event) if event.pos == last + 1 => Heard::Next(event),
        // A whole list leaves nothing out, whatever was before it.
        Ok(event) if event.hosts.full => Heard::Next(event),
        Ok(event) => Heard::Gap(event.pos),
        Err(_) => Heard::Missed,
    }
}

/// What is known of the service, over all its connections.
struct Reader {
    last: u64,
    /// The gap at which the last connection ended.
    gap: Option<(u64, u64)>,
    news: mpsc::Sender<Hosts>,
}

/// Follows until nobody listens any more. `address` changes when the operators move the service.
pub async fn follow(mut address: watch::Receiver<String>, last: u64, news: mpsc::Sender<Hosts>) {
    let mut reader = Reader { last, gap: None, news };
    loop {
        let at = address.borrow_and_update().clone();
        tokio::select! {
            () = reader.session(&at) => {}
            changed = address.changed() => {
                if changed.is_err() {
                    return;
                }
                continue;
            }
        }
        if reader.news.is_closed() {
            return;
        }
        sleep(REST).await;
    }
}

impl Reader {
    /// One connection, until it is of no more use. It may be dropped at any await: an event counts as taken in the
    /// moment in which it is handed over. Guards against a service that moves while the loop has no room for an event.
    async fn session(&mut self, at: &str) {
        let Ok(Ok(mut socket)) = timeout(DIAL_TIMEOUT, TcpStream::connect(at)).await else {
            tracing::info!(target: "journal", at, "not reached");
            return;
        };
        let ask = format!("tail {}\n", self.last);
        if !matches!(timeout(DIAL_TIMEOUT, socket.write_all(ask.as_bytes())).await, Ok(Ok(()))) {
            return;
        }
        let mut lines = Framed::new(socket, LinesCodec::new_with_max_length(LINE_MOST));
        let mut first = true;
        loop {
            // A line without its end, a broken connection and silence all mean the same: ask again.
            let silence = if first { FIRST_SILENCE } else { SILENCE };
            let Ok(Some(Ok(line))) = timeout(silence, lines.next()).await else {
                tracing::info!(target: "journal", at, last = self.last, "broke off or fell silent");
                return;
            };
            let heard = match read(&line, self.last, first) {
                Heard::Gap(pos) => self.believe(&line, pos),
                heard => heard,
            };
            match heard {
                Heard::Next(event) => {
                    let Ok(place) = self.news.reserve().await else { return };
                    self.last = event.pos;
                    place.send(event.hosts);
                }
                Heard::Nothing => {}
                Heard::Missed | Heard::Gap(_) => {
                    let line: String = line.chars().take(LOGGED).collect();
                    tracing::info!(target: "journal", at, last = self.last, line, "left something out");
                    return;
                }
            }
            first = false;
        }
    }

    /// A gap is believed where the service tells it twice. Guards against one spoilt connection after which what was
    /// left out would never be asked for, and against asking for ever for what the service no longer has.
    fn believe(&mut self, line: &str, pos: u64) -> Heard {
        let told = Some((self.last, pos));
        if std::mem::replace(&mut self.gap, told) != told {
            return Heard::Gap(pos);
        }
        serde_json::from_str(line.trim()).map_or(Heard::Missed, Heard::Next)
    }
}
