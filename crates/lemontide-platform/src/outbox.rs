//! The messages to be written to one viewers' connection, and those that its client may not have read. A write to a
//! socket does not prove that a message is read: a client that closes the connection at the same time never reads it.

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

/// A client that is alive reads a message within this time.
const CLIENT_READ_TIME: Duration = Duration::from_millis(250);
/// Buffer space for writing at the start, enough for some answers; it grows for longer ones.
const WRITE_BUFFER_BYTES: usize = 512;
/// How many written messages are remembered.
const MAX_REMEMBERED_MESSAGES: usize = 1024;

/// The messages of one connection, in order: those that wait, those that are being written, and those written lately
/// that must not be lost: releases, and answers once the client has closed its half.
pub(crate) struct Outbox {
    clock: Clock,
    socket: FramedWrite<OwnedWriteHalf, Codec>,
    waiting: VecDeque<Outgoing>,
    /// Messages that are not known to be written completely.
    writing: Vec<Outgoing>,
    written: VecDeque<(Instant, Outgoing)>,
    /// The client has closed its half, and may have closed the other too.
    is_half_closed: bool,
}

impl Outbox {
    pub(crate) fn new(clock: Clock, socket: OwnedWriteHalf) -> Outbox {
        Outbox {
            clock,
            socket: FramedWrite::with_capacity(socket, Codec, WRITE_BUFFER_BYTES),
            waiting: VecDeque::new(),
            writing: Vec::new(),
            written: VecDeque::new(),
            is_half_closed: false,
        }
    }

    pub(crate) fn push(&mut self, message: Outgoing) {
        self.waiting.push_back(message);
    }

    /// The client has closed its half: it may not read what is written from now on.
    pub(crate) fn set_half_closed(&mut self) {
        self.is_half_closed = true;
    }

    /// Whether everything was written.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.writing.is_empty()
    }

    /// Writes all waiting messages. Safe to cancel at any await; the next call continues.
    pub(crate) async fn write_all(&mut self) -> io::Result<()> {
        while let Some(outgoing) = self.waiting.front() {
            self.socket.feed(outgoing.message.clone()).await?;
            let Some(outgoing) = self.waiting.pop_front() else { break };
            self.writing.push(outgoing);
        }
        self.socket.flush().await?;
        self.remember_written();
        Ok(())
    }

    /// The socket has taken everything: marks requests as answered, and remembers the messages that must not be lost.
    fn remember_written(&mut self) {
        let now = Instant::now();
        let written_at = Point::at(self.clock.now());
        self.forget_read(now);
        for mut outgoing in self.writing.drain(..) {
            outgoing.steps.take().into_iter().for_each(|steps| steps.log(Some(written_at)));
            let is_answer = outgoing.reply.is_some();
            outgoing.reply.take().into_iter().for_each(PendingReply::answered);
            let must_be_read = outgoing.ends_session || is_answer && self.is_half_closed;
            if !must_be_read {
                continue;
            }
            if self.written.len() >= MAX_REMEMBERED_MESSAGES {
                self.written.pop_front();
            }
            self.written.push_back((now, outgoing));
        }
    }

    /// Forgets messages that the client has had time to read.
    fn forget_read(&mut self, now: Instant) {
        while self.written.front().is_some_and(|(at, _)| now - *at > CLIENT_READ_TIME) {
            self.written.pop_front();
        }
    }

    /// Takes the messages that were not written, or not completely.
    pub(crate) fn take_unwritten(&mut self) -> Vec<Outgoing> {
        let mut unwritten = std::mem::take(&mut self.writing);
        unwritten.extend(self.waiting.drain(..));
        unwritten
    }

    /// Whether a message that must not be lost was written so lately that the client may not have read it.
    pub(crate) fn has_maybe_unread(&self) -> bool {
        self.written.back().is_some_and(|(at, _)| at.elapsed() <= CLIENT_READ_TIME)
    }

    /// Takes the messages that must not be lost and were written so lately that the client may not have read them.
    pub(crate) fn take_maybe_unread(&mut self) -> Vec<Outgoing> {
        self.forget_read(Instant::now());
        self.written.drain(..).map(|(_, outgoing)| outgoing).collect()
    }

    /// Whether the other end has reset the connection, as it does when it closes it with unread bytes.
    pub(crate) fn is_reset(&self) -> bool {
        let socket = self.socket.get_ref().as_ref();
        !matches!(socket.take_error(), Ok(None))
    }

    /// The writing half of the socket.
    pub(crate) fn socket(&mut self) -> &mut OwnedWriteHalf {
        self.socket.get_mut()
    }
}
