//! Reads messages off a socket and gives up on one that never ends. Shared by both kinds of connections.

use crate::codec::{Codec, Message};
use bytes::BytesMut;
use std::io;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::{timeout_at, Instant};
use tokio_util::codec::Decoder;

/// Room for what is read at a time: some messages of the usual size. One that is longer makes its own room.
const READ_LEAST: usize = 2048;

pub struct Reader {
    socket: OwnedReadHalf,
    /// What was read and is no whole message yet.
    bytes: BytesMut,
    /// The other end closed or reset it.
    over: bool,
    /// A message must be whole so long after its first bytes were seen.
    whole_within: Duration,
    /// Since when `bytes` has held the beginning of a message.
    unfinished: Option<Instant>,
}

impl Reader {
    pub fn new(socket: OwnedReadHalf, whole_within: Duration) -> Reader {
        Reader { socket, bytes: BytesMut::new(), over: false, whole_within, unfinished: None }
    }

    /// The next message; an error when the connection is over, can't be read, keeps a message unfinished, or is
    /// silent past `due`. A connection on which nothing is awaited wakes nobody: with hundreds of them the wakes
    /// would take more of a small part of a core than the messages. It may be dropped at any await.
    pub async fn next(&mut self, due: Option<Instant>) -> io::Result<Message> {
        loop {
            match Codec.decode(&mut self.bytes) {
                Ok(Some(message)) => {
                    self.unfinished = None;
                    return Ok(message);
                }
                Ok(None) => {}
                Err(e) => {
                    // What can't be read is this end's word; anything else is the other's.
                    self.over = e.kind() != io::ErrorKind::InvalidData;
                    return Err(e);
                }
            }
            let whole = if self.is_unfinished() {
                Some(*self.unfinished.get_or_insert_with(Instant::now) + self.whole_within)
            } else {
                None
            };
            let until = whole.into_iter().chain(due).min();
            if self.bytes.capacity() == self.bytes.len() {
                self.bytes.reserve(READ_LEAST);
            }
            let read = self.socket.read_buf(&mut self.bytes);
            let read = match until {
                None => read.await,
                Some(until) => match timeout_at(until, read).await {
                    Ok(read) => read,
                    Err(_) => {
                        let why =
                            if whole.is_some() { "a message was never finished" } else { "nothing was said" };
                        return Err(io::Error::new(io::ErrorKind::TimedOut, why));
                    }
                },
            };
            match read {
                Ok(0) => {
                    self.over = true;
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                Ok(_) => {}
                Err(e) => {
                    self.over = true;
                    return Err(e);
                }
            }
        }
    }

    /// Whether a message has begun and is not whole.
    pub fn is_unfinished(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// Whether the other end ended it.
    pub fn is_over(&self) -> bool {
        self.over
    }

    /// Reads on until the other end closes; nothing of it is of use any more. An error where it says more than `most`
    /// bytes.
    pub async fn discard(&mut self, most: usize) -> io::Result<()> {
        let mut bytes = [0; 2048];
        let mut discarded = 0;
        loop {
            match self.socket.read(&mut bytes).await? {
                0 => return Ok(()),
                read => discarded += read,
            }
            if discarded > most {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "it says too much to be read to its end",
                ));
            }
        }
    }
}
