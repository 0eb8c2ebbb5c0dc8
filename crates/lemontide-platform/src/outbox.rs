//! What is to be said on one viewers' connection, and which releases its client may not have read. That a release was
//! written to a socket proves nothing: a client that closes meanwhile never reads it.

use crate::codec::Codec;
use crate::viewers::Said;
use futures::SinkExt;
use lemontide::clock::Point;
use lemontide_wire::clock::Clock;
use std::collections::VecDeque;
use std::io;
use std::time::Duration;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::Instant;
use tokio_util::codec::FramedWrite;

/// A client that lives reads within this time.
const READ_WITHIN: Duration = Duration::from_millis(250);
/// Releases that are remembered after they were written, at most.
const WRITTEN_MOST: usize = 1024;

/// The messages of one connection, in order: those that wait, those that are being written, and the releases that were
/// written lately.
pub(crate) struct Outbox {
    clock: Clock,
    socket: FramedWrite<OwnedWriteHalf, Codec>,
    waiting: VecDeque<Said>,
    /// Releases that are not known to be written as a whole.
    writing: Vec<Said>,
    written: VecDeque<(Instant, Said)>,
}

impl Outbox {
    pub(crate) fn new(clock: Clock, socket: OwnedWriteHalf) -> Outbox {
        Outbox {
            clock,
            socket: FramedWrite::new(socket, Codec),
            waiting: VecDeque::new(),
            writing: Vec::new(),
            written: VecDeque::new(),
        }
    }

    pub(crate) fn push(&mut self, said: Said) {
        self.waiting.push_back(said);
    }

    /// Writes all that waits.
    pub(crate) async fn write_all(&mut self) -> io::Result<()> {
        let mut answered = Vec::new();
        while let Some(said) = self.waiting.front() {
            self.socket.feed(said.message.clone()).await?;
            let Some(mut said) = self.waiting.pop_front() else { break };
            answered.extend(said.steps.take());
            if said.stood {
                self.writing.push(said);
            }
        }
        self.socket.flush().await?;
        let written = Point::at(self.clock.now());
        answered.iter().for_each(|steps| steps.log(Some(written)));
        self.remember_written();
        Ok(())
    }

    fn remember_written(&mut self) {
        let now = Instant::now();
        self.forget_read(now);
        for said in self.writing.drain(..) {
            if self.written.len() >= WRITTEN_MOST {
                self.written.pop_front();
            }
            self.written.push_back((now, said));
        }
    }

    /// Forgets what the client has had time to read.
    fn forget_read(&mut self, now: Instant) {
        while self.written.front().is_some_and(|(at, _)| now - *at > READ_WITHIN) {
            self.written.pop_front();
        }
    }

    /// Takes what was not written, and releases that were not written as a whole.
    pub(crate) fn take_unsaid(&mut self) -> Vec<Said> {
        let mut unsaid = std::mem::take(&mut self.writing);
        unsaid.extend(self.waiting.drain(..));
        unsaid
    }

    /// Whether a release was written so lately that the client may not have read it.
    pub(crate) fn has_maybe_unread(&self) -> bool {
        self.written.back().is_some_and(|(at, _)| at.elapsed() <= READ_WITHIN)
    }

    /// Takes the releases that were written so lately that the client may not have read them.
    pub(crate) fn take_maybe_unread(&mut self) -> Vec<Said> {
        self.forget_read(Instant::now());
        self.written.drain(..).map(|(_, said)| said).collect()
    }

    /// Whether the other end reset the connection, as it does where it closes and leaves something unread.
    pub(crate) fn is_reset(&self) -> bool {
        let socket = self.socket.get_ref().as_ref();
        !matches!(socket.take_error(), Ok(None))
    }

    /// The half of the socket that is written.
    pub(crate) fn socket(&mut self) -> &mut OwnedWriteHalf {
        self.socket.get_mut()
    }
}
