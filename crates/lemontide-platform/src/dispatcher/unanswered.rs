//! The dispatcher's part of requests that would otherwise end without an answer: their connection takes no more
//! input, their reply was dropped, or their cut-off has passed.

use super::*;

/// So long after its cut-off an unanswered request is answered here; the ordinary answer comes at the cut-off.
pub(super) const ANSWER_GRACE: Span = Span::of_millis(20);

/// Why nothing more is read on a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InputEnd {
    /// The client has closed its half, and may wait for answers.
    HalfClosed,
    /// What came can't be read or used, or was never finished.
    Unusable,
}

impl Dispatcher {
    /// Nothing more is read on a client's connection. What is open on it is answered without another attempt; where the
    /// client may still wait for it, an attempt that is out may end by itself.
    pub fn input_over(&mut self, now: Point, conn: u64, why: InputEnd) {
        let Some(from) = self.conns.get_mut(&conn) else { return };
        from.is_draining = true;
        for reply in self.take_undecided_on(conn) {
            let turned_back = viewers::turned_back(self.module.retry_after());
            self.answer(reply, turned_back, None);
        }
        for id in self.unanswered_on(conn) {
            let attempt = self.held.get(&id).and_then(|held| held.attempt.as_ref());
            let is_out =
                attempt.is_some_and(|attempt| attempt.given_up.is_none() && attempt.permit.has_begun());
            if why == InputEnd::HalfClosed && is_out {
                self.allow_no_other_attempt(now, id);
            } else {
                self.conclude(now, id);
            }
        }
        self.carry_out(now);
    }

    /// Takes the requests of a connection that are not decided; their replies. What is handed over on it stays: it stands, and
    /// asks for no answer.
    pub(super) fn take_undecided_on(&mut self, conn: u64) -> Vec<PendingReply> {
        let all = std::mem::take(&mut self.asked);
        let is_request = |asked: &Asked| asked.conn == conn && asked.reply.is_some();
        let (requests, others): (VecDeque<Asked>, _) = all.into_iter().partition(is_request);
        self.asked = others;
        if let Some(from) = self.conns.get_mut(&conn) {
            from.asked = from.asked.saturating_sub(requests.len());
        }
        requests.into_iter().filter_map(|asked| asked.reply).collect()
    }

    /// The requests in hand on a connection that are owed an answer.
    pub(super) fn unanswered_on(&self, conn: u64) -> Vec<u32> {
        let on_it = |held: &Held| held.conn == conn && held.reply.is_some();
        self.held.iter().filter(|(_, held)| on_it(held)).map(|(id, _)| *id).collect()
    }

    fn allow_no_other_attempt(&mut self, now: Point, id: u32) {
        if let Some(held) = self.held.get(&id) {
            held.handle.stop_retrying(&mut self.module, now);
        }
    }

    /// Ends the attempt of a request in hand, if one is out, and gives the request its answer at once.
    fn conclude(&mut self, now: Point, id: u32) {
        self.allow_no_other_attempt(now, id);
        let attempt = self.held.get_mut(&id).and_then(|held| held.attempt.take());
        if let Some((attempt, held)) = attempt.and_then(|attempt| Some((attempt, self.held.remove(&id)?))) {
            let ending = self.abandon(now, id, &held, attempt);
            self.held.insert(id, held);
            self.tell_ended(now, id, ending, Load::default());
        }
        self.carry_out(now);
        if self.held.get(&id).is_some_and(|held| held.reply.is_some()) {
            self.finish(now, id, Body::release(cause::FAILED), Outcome::Failed);
        }
    }

    /// Answers and logs requests whose cut-off has passed, and those whose reply was dropped.
    pub(super) fn answer_overdue(&mut self, now: Point) {
        for reply in self.replies.recover() {
            if self.conns.contains_key(&reply.conn()) {
                self.answer(reply, Body::release(cause::FAILED), None);
            } else {
                reply.client_gone(Departure::Closed);
            }
        }
        for (conn, session) in self.replies.overdue(now) {
            let is_it = |held: &Held| held.conn == conn && held.session == session;
            let id = self.by_session.get(&session).copied();
            let id = id.filter(|id| self.held.get(id).is_some_and(is_it));
            tracing::warn!(
                target: "reply", session = format!("{session:016x}"), conn, in_hand = id.is_some(), "no answer by its cut-off"
            );
            if let Some(id) = id {
                self.conclude(now, id);
            }
        }
    }
}
