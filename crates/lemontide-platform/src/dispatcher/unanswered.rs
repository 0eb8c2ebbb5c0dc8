//! The dispatcher's part of requests that would otherwise end without an answer: their connection takes no more input,
//! their reply was dropped, or their deadline has passed.

use super::*;

/// A request that is unanswered this long after its deadline is answered here. The ordinary answer is sent at the
/// deadline.
pub(super) const ANSWER_GRACE: Span = Span::of_millis(20);

/// Why nothing more is read on a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InputEnd {
    /// The client has closed its half of the connection and may wait for answers.
    HalfClosed,
    /// The input can't be read or used, or a message was never finished.
    Unusable,
}

impl Dispatcher {
    /// Nothing more is read on a client's connection. The open requests on it are answered without another attempt. If
    /// the client may still wait for the answer, an unanswered attempt may end by itself.
    pub fn on_input_end(&mut self, now: Point, connection_id: u64, why: InputEnd) {
        let Some(viewer_connection) = self.viewer_connections.get_mut(&connection_id) else { return };
        viewer_connection.is_draining = true;
        for reply in self.take_undecided_on(connection_id) {
            let rejection = viewers::rejection(self.controller.retry_after());
            self.answer(reply, rejection, None);
        }
        for id in self.unanswered_on(connection_id) {
            let attempt = self.sessions.get(&id).and_then(|tracked| tracked.attempt.as_ref());
            let is_out =
                attempt.is_some_and(|attempt| attempt.given_up.is_none() && attempt.permit.has_begun());
            if why == InputEnd::HalfClosed && is_out {
                self.stop_retrying(now, id);
            } else {
                self.answer_at_once(now, id);
            }
        }
        self.apply_actions(now);
    }

    /// Handles the closes of clients that their connections have noted: the messages before them may still wait.
    pub fn end_closed_inputs(&mut self, now: Point) {
        for connection_id in self.replies.take_closed_inputs() {
            self.on_input_end(now, connection_id, InputEnd::HalfClosed);
        }
    }

    /// Takes the undecided requests of a connection and returns their replies. Hand-overs on it stay: their sessions
    /// are established, and they are owed no answer.
    pub(super) fn take_undecided_on(&mut self, connection_id: u64) -> Vec<PendingReply> {
        let all = std::mem::take(&mut self.undecided);
        let is_request =
            |waiting: &UndecidedSetUp| waiting.connection_id == connection_id && waiting.reply.is_some();
        let (requests, others): (VecDeque<UndecidedSetUp>, _) = all.into_iter().partition(is_request);
        self.undecided = others;
        if let Some(viewer_connection) = self.viewer_connections.get_mut(&connection_id) {
            viewer_connection.undecided = viewer_connection.undecided.saturating_sub(requests.len());
        }
        requests.into_iter().filter_map(|waiting| waiting.reply).collect()
    }

    /// The tracked requests on a connection that are owed an answer.
    pub(super) fn unanswered_on(&self, connection_id: u64) -> Vec<u32> {
        let on_it =
            |tracked: &TrackedSession| tracked.connection_id == connection_id && tracked.reply.is_some();
        self.sessions.iter().filter(|(_, tracked)| on_it(tracked)).map(|(id, _)| *id).collect()
    }

    fn stop_retrying(&mut self, now: Point, id: u32) {
        if let Some(tracked) = self.sessions.get(&id) {
            tracked.handle.stop_retrying(&mut self.controller, now);
        }
    }

    /// Ends the attempt of a tracked request, if there is one, and answers the request at once.
    fn answer_at_once(&mut self, now: Point, id: u32) {
        self.stop_retrying(now, id);
        let attempt = self.sessions.get_mut(&id).and_then(|tracked| tracked.attempt.take());
        if let Some((attempt, tracked)) =
            attempt.and_then(|attempt| Some((attempt, self.sessions.remove(&id)?)))
        {
            let ending = self.abandon(now, id, &tracked, attempt);
            self.sessions.insert(id, tracked);
            self.report_ended(now, id, ending, Load::default());
        }
        self.apply_actions(now);
        if self.sessions.get(&id).is_some_and(|tracked| tracked.reply.is_some()) {
            self.answer_unserved(now, id, Body::release(cause::FAILED), Outcome::Failed);
        }
    }

    /// Answers requests whose reply was dropped, and answers and logs those whose deadline has passed.
    pub(super) fn answer_overdue(&mut self, now: Point) {
        for reply in self.replies.recover_dropped() {
            if self.viewer_connections.contains_key(&reply.conn()) {
                self.answer(reply, Body::release(cause::FAILED), None);
            } else {
                reply.client_gone(Departure::Closed);
            }
        }
        for (connection_id, session) in self.replies.take_overdue(now) {
            let is_it = |tracked: &TrackedSession| {
                tracked.connection_id == connection_id && tracked.session == session
            };
            let id = self.id_by_session.get(&session).copied();
            let id = id.filter(|id| self.sessions.get(id).is_some_and(is_it));
            tracing::warn!(
                target: "reply", session = format!("{session:016x}"), conn = connection_id, in_hand = id.is_some(), "no answer by its deadline"
            );
            if let Some(id) = id {
                self.answer_at_once(now, id);
            }
        }
    }
}
