//! Reads messages from a socket, with a timeout for messages that are never completed. Used for viewers' and streamers'
//! connections.

use crate::codec::{Codec, Message};
use bytes::BytesMut;
use std::io;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::{timeout_at, Instant};
use tokio_util::codec::Decoder;

/// Buffer space for one read, enough for some messages of the usual size; the buffer grows for a longer message.
const MIN_READ_BUFFER_BYTES: usize = 2048;

/// Reads the messages of one connection.
pub struct MessageReader {
    socket: OwnedReadHalf,
    /// Bytes that were read and are not a complete message yet.
    bytes: BytesMut,
    /// The other end has closed or reset the connection.
    is_closed_by_peer: bool,
    /// How soon after its first bytes a message must be complete.
    message_timeout: Duration,
    /// Since when `bytes` has held an incomplete message.
    incomplete_since: Option<Instant>,
}

impl MessageReader {
    /// A reader of this half of a socket.
    pub fn new(socket: OwnedReadHalf, message_timeout: Duration) -> MessageReader {
        MessageReader {
            socket,
            bytes: BytesMut::new(),
            is_closed_by_peer: false,
            message_timeout,
            incomplete_since: None,
        }
    }

    /// The next message. An error if the connection has ended, its bytes can't be decoded, a message stays
    /// incomplete, or nothing is received by the deadline. A connection without a deadline sets no timer: with
    /// hundreds of connections, the timers' wake-ups would need more of a small share of a core than the messages.
    /// Safe to cancel at any await.
    pub async fn next(&mut self, deadline: Option<Instant>) -> io::Result<Message> {
        loop {
            match Codec.decode(&mut self.bytes) {
                Ok(Some(message)) => {
                    self.incomplete_since = None;
                    return Ok(message);
                }
                Ok(None) => {}
                Err(e) => {
                    // Invalid data is found by this end; any other error is caused by the peer.
                    self.is_closed_by_peer = e.kind() != io::ErrorKind::InvalidData;
                    return Err(e);
                }
            }
            let message_deadline = if self.has_incomplete_message() {
                Some(*self.incomplete_since.get_or_insert_with(Instant::now) + self.message_timeout)
            } else {
                None
            };
            let until = message_deadline.into_iter().chain(deadline).min();
            if self.bytes.capacity() == self.bytes.len() {
                self.bytes.reserve(MIN_READ_BUFFER_BYTES);
            }
            let read = self.socket.read_buf(&mut self.bytes);
            let read = match until {
                None => read.await,
                Some(until) => match timeout_at(until, read).await {
                    Ok(read) => read,
                    Err(_) => {
                        let reason = if message_deadline.is_some() {
                            "a message was not completed in time"
                        } else {
                            "no message was received in time"
                        };
                        return Err(io::Error::new(io::ErrorKind::TimedOut, reason));
                    }
                },
            };
            match read {
                Ok(0) => {
                    self.is_closed_by_peer = true;
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                Ok(_) => {}
                Err(e) => {
                    self.is_closed_by_peer = true;
                    return Err(e);
                }
            }
        }
    }

    /// Whether a message has begun and is not complete.
    pub fn has_incomplete_message(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// Whether the other end closed or reset the connection.
    pub fn is_closed_by_peer(&self) -> bool {
        self.is_closed_by_peer
    }

    /// Reads and discards bytes until the other end closes the connection. An error after more than `max_bytes` bytes.
    pub async fn discard(&mut self, max_bytes: usize) -> io::Result<()> {
        let mut bytes = [0; 2048];
        let mut discarded = 0;
        loop {
            match self.socket.read(&mut bytes).await? {
                0 => return Ok(()),
                read => discarded += read,
            }
            if discarded > max_bytes {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "too many bytes before the other end closed",
                ));
            }
        }
    }
}
