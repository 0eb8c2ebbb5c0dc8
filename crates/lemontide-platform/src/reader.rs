//! Reads messages from a socket, with a timeout for messages that are never completed. Used for viewers' and streamers'
//! connections.

use crate::codec::{Codec, Message};
use bytes::BytesMut;
use futures::FutureExt;
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, Interest};
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{timeout_at, Instant};
use tokio_util::codec::Decoder;

/// Buffer space for one read, enough for some messages of the usual size; the buffer grows for a longer message.
const MIN_READ_BUFFER_BYTES: usize = 2048;

/// A message of up to this size is read without asking for memory.
const SMALL_MESSAGE_BYTES: usize = 2048;
/// Maximum size of all longer messages of clients, from their reading until they are decided.
const MAX_LARGE_MESSAGES_BYTES: usize = 4 * 1024 * 1024;

/// The memory for long messages, which the connections of all clients share. Where there is none left, a long message
/// waits and its connection is closed after the time for a message; short ones are not affected.
#[derive(Clone, Debug)]
pub struct ReadMemory(Arc<Semaphore>);

impl Default for ReadMemory {
    fn default() -> ReadMemory {
        ReadMemory(Arc::new(Semaphore::new(MAX_LARGE_MESSAGES_BYTES)))
    }
}

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
    /// The memory that long messages need, and the part of it that the message that is being read holds.
    memory: Option<ReadMemory>,
    held_memory: Option<OwnedSemaphorePermit>,
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
            memory: None,
            held_memory: None,
        }
    }

    /// Long messages need a part of this memory.
    pub fn with_memory(mut self, memory: ReadMemory) -> MessageReader {
        self.memory = Some(memory);
        self
    }

    /// The memory that the last message needed. It is free again once the result is dropped.
    pub fn take_memory(&mut self) -> Option<OwnedSemaphorePermit> {
        self.held_memory.take()
    }

    /// Waits for the memory that the message that is being read needs, if it is long.
    async fn acquire_memory(&mut self) {
        let Some(memory) = self.memory.as_ref().filter(|_| self.held_memory.is_none()) else { return };
        let Some(length) = Codec::message_length(&self.bytes).filter(|length| *length > SMALL_MESSAGE_BYTES)
        else {
            return;
        };
        self.held_memory = memory.0.clone().acquire_many_owned(length as u32).await.ok();
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
            if until_deadline(until, self.acquire_memory()).await.is_none() {
                return Err(io::Error::new(io::ErrorKind::TimedOut, "no memory for a long message in time"));
            }
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

    /// Whether the other end has closed its half, though there may be messages of it that are not read yet.
    pub fn has_peer_closed(&self) -> bool {
        let ready = self.socket.ready(Interest::READABLE).now_or_never();
        ready.and_then(Result::ok).is_some_and(|ready| ready.is_read_closed())
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

/// The output of a future, or none if it is not ready by then.
async fn until_deadline<T>(until: Option<Instant>, future: impl Future<Output = T>) -> Option<T> {
    match until {
        None => Some(future.await),
        Some(until) => timeout_at(until, future).await.ok(),
    }
}
