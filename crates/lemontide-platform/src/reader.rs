//! Reads messages off a socket and gives up on one that never ends. Shared by both kinds of connections.

use crate::codec::{Codec, Message};
use futures::StreamExt;
use std::io;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::{timeout, Instant};
use tokio_util::codec::FramedRead;

/// How often an unfinished message is looked at.
const LOOK: Duration = Duration::from_millis(100);

pub struct Reader {
    frames: FramedRead<OwnedReadHalf, Codec>,
    /// The other end closed or reset it.
    over: bool,
    /// A message must be whole so long after its first bytes were seen.
    whole_within: Duration,
    unfinished: Option<Instant>,
}

impl Reader {
    pub fn new(socket: OwnedReadHalf, whole_within: Duration) -> Reader {
        Reader { frames: FramedRead::new(socket, Codec), over: false, whole_within, unfinished: None }
    }

    /// The next message; an error when the connection is over, can't be read, keeps a message unfinished, or is
    /// silent past `due`.
    pub async fn next(&mut self, due: Option<Instant>) -> io::Result<Message> {
        loop {
            match timeout(LOOK, self.frames.next()).await {
                Ok(Some(message)) => {
                    self.unfinished = None;
                    // What can't be read is this end's word; anything else is the other's.
                    self.over = message.as_ref().is_err_and(|e| e.kind() != io::ErrorKind::InvalidData);
                    return message;
                }
                Ok(None) => {
                    self.over = true;
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                Err(_) => {}
            }
            let now = Instant::now();
            if due.is_some_and(|due| now >= due) {
                return Err(io::Error::new(io::ErrorKind::TimedOut, "nothing was said"));
            }
            if self.frames.read_buffer().is_empty() {
                self.unfinished = None;
            } else if now - *self.unfinished.get_or_insert(now) >= self.whole_within {
                return Err(io::Error::new(io::ErrorKind::TimedOut, "a message was never finished"));
            }
        }
    }

    /// Whether a message has begun and is not whole.
    pub fn is_unfinished(&self) -> bool {
        !self.frames.read_buffer().is_empty()
    }

    /// Whether the other end ended it.
    pub fn is_over(&self) -> bool {
        self.over
    }

    /// Reads on until the other end closes; nothing of it is of use any more.
    pub async fn discard(&mut self) -> io::Result<()> {
        let mut bytes = [0; 2048];
        while self.frames.get_mut().read(&mut bytes).await? > 0 {}
        Ok(())
    }
}
