//! What is to be said on one viewers' connection, and what of it its client may not have read. That a message was
//! written to a socket proves nothing: a client that closes meanwhile never reads it.

use crate::codec::Codec;
use crate::replies::PendingReply;
use crate::viewers::Outgoing;
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
/// Messages that are remembered after they were written, at most.
const WRITTEN_MOST: usize = 1024;

/// The messages of one connection, in order: those that wait, those that are being written, and those written lately
/// that must not be lost: releases, and answers once the client has closed its half.
pub(crate) struct Outbox {
    clock: Clock,
    socket: FramedWrite<OwnedWriteHalf, Codec>,
    waiting: VecDeque<Outgoing>,
    /// What is not known to be written as a whole.
    writing: Vec<Outgoing>,
    written: VecDeque<(Instant, Outgoing)>,
    /// The client has closed its half, and may have closed the other too.
    is_half_closed: bool,
}

impl Outbox {
    pub(crate) fn new(clock: Clock, socket: OwnedWriteHalf) -> Outbox {
        Outbox {
            clock,
            socket: FramedWrite::new(socket, Codec),
            waiting: VecDeque::new(),
            writing: Vec::new(),
            written: VecDeque::new(),
            is_half_closed: false,
        }
    }

    pub(crate) fn push(&mut self, said: Outgoing) {
        self.waiting.push_back(said);
    }

    /// The client has closed its half: what is written from now on may not be read.
    pub(crate) fn half_closed(&mut self) {
        self.is_half_closed = true;
    }

    /// Whether all was written.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.writing.is_empty()
    }

    /// Writes all that waits. It may be dropped at any await, and goes on where it was with the next call.
    pub(crate) async fn write_all(&mut self) -> io::Result<()> {
        while let Some(said) = self.waiting.front() {
            self.socket.feed(said.message.clone()).await?;
            let Some(said) = self.waiting.pop_front() else { break };
            self.writing.push(said);
        }
        self.socket.flush().await?;
        self.remember_written();
        Ok(())
    }

    /// The socket has taken all: requests are answered, and what must not be lost is remembered.
    fn remember_written(&mut self) {
        let now = Instant::now();
        let written = Point::at(self.clock.now());
        self.forget_read(now);
        for mut said in self.writing.drain(..) {
            said.steps.take().into_iter().for_each(|steps| steps.log(Some(written)));
            let is_answer = said.reply.is_some();
            said.reply.take().into_iter().for_each(PendingReply::answered);
            let must_be_read = said.stood || is_answer && self.is_half_closed;
            if !must_be_read {
                continue;
            }
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

    /// Takes what was not written, or not as a whole.
    pub(crate) fn take_unsaid(&mut self) -> Vec<Outgoing> {
        let mut unsaid = std::mem::take(&mut self.writing);
        unsaid.extend(self.waiting.drain(..));
        unsaid
    }

    /// Whether something was written so lately that the client may not have read it, and must not be lost.
    pub(crate) fn has_maybe_unread(&self) -> bool {
        self.written.back().is_some_and(|(at, _)| at.elapsed() <= READ_WITHIN)
    }

    /// Takes what was written so lately that the client may not have read it, and must not be lost.
    pub(crate) fn take_maybe_unread(&mut self) -> Vec<Outgoing> {
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
