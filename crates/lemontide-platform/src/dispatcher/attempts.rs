//! The dispatcher's part of attempts: each is sent, ends once, and its outcome is reported to the module. A request
//! gets another attempt only after `attempt_over`, which needs a proof that the last attempt is over. After
//! `end_without_proof` it gets no other attempt.

use super::*;

/// Time within which a connection on which a set-up got no answer must pass a test; otherwise it is closed.
const TEST_TIMEOUT: Span = Span::of_millis(400);

impl Dispatcher {
    /// Withdraws an attempt that has not begun, wherever it waits. True if it now never will begin.
    fn withdraw(&mut self, id: u32, attempt: &Attempt) -> bool {
        if !attempt.permit.withdraw() {
            return false;
        }
        if let Some(streamer_link) = self.links.get_mut(&attempt.on.link) {
            streamer_link.pending_set_ups = streamer_link.pending_set_ups.saturating_sub(1);
            streamer_link.link.withdraw((id, attempt.number));
        }
        true
    }

    /// Marks an attempt that has begun as given up, and returns what is known of its end. Nothing is sent yet.
    fn give_up(&mut self, attempt: &mut Attempt, ending: AttemptOutcome) -> AbandonedAttempt {
        let (on, is_first) = (attempt.on, attempt.is_first);
        if let Some(streamer_link) = self.links.get_mut(&on.link).filter(|_| attempt.given_up.is_none()) {
            streamer_link.pending_set_ups = streamer_link.pending_set_ups.saturating_sub(1);
        }
        *attempt.given_up.get_or_insert(AbandonedAttempt {
            connection: on,
            connection_closed: false,
            is_first_attempt: is_first,
            outcome: ending,
            test: None,
        })
    }

    /// Releases an attempt that is given up, and sends a test behind the release, whose number is returned: once the
    /// streamer passes the test, it has read the release. If the connection takes no more messages it is closed, and
    /// the close makes the streamer give up the attempt.
    fn send_release_and_test(&mut self, now: Point, session: u64, on: Connection) -> Option<u64> {
        if !self.is_current(on) {
            return None;
        }
        self.send_to_streamer(now, on.link, Message { session, body: Body::release(cause::NORMAL) });
        self.is_current(on).then(|| self.send_test(now, on.link))
    }

    /// Remembers an attempt that may still run though its request is over, and the release that it needs.
    fn remember_unproven(&mut self, now: Point, streamer: Arc<str>, session: u64, attempt: AbandonedAttempt) {
        self.release_unproven(now, streamer, session, &attempt);
        if self.unproven.len() >= MAX_REMEMBERED {
            self.unproven.pop_front();
        }
        self.unproven.push_back(UnprovenAttempt { session, attempt, until: now + UNPROVEN_RETENTION });
    }

    /// Whether, though no tracked session has this number, an attempt under it may still run, its stream may still
    /// play, or its streamer may still release it.
    pub(super) fn is_in_doubt(&self, session: u64) -> bool {
        self.unproven.iter().any(|unproven| unproven.session == session)
            || self.ended.contains(session)
            || self.pending_releases.iter().any(|release| release.session == session)
    }

    /// Ends the attempt of a request that nobody waits for any more, and returns its outcome for the module.
    pub(super) fn abandon(
        &mut self,
        now: Point,
        id: u32,
        tracked: &TrackedSession,
        mut attempt: Attempt,
    ) -> AttemptOutcome {
        let session = tracked.session;
        if self.withdraw(id, &attempt) {
            return AttemptOutcome::NotSent;
        }
        let is_new = attempt.given_up.is_none();
        let mut attempt = self.give_up(&mut attempt, AttemptOutcome::Cancelled);
        if is_new {
            attempt.test = self.send_release_and_test(now, session, attempt.connection);
        }
        self.remember_unproven(now, tracked.streamer.clone(), session, attempt);
        AttemptOutcome::Cancelled
    }

    /// Stops tracking a request or session. Its number is kept if a streamer may have state of it.
    pub(super) fn remove(&mut self, now: Point, id: u32) -> Option<TrackedSession> {
        let tracked = self.sessions.remove(&id)?;
        self.id_by_session.remove(&tracked.session);
        self.unconfirmed_hand_overs.remove(id);
        self.client_shares.remove(tracked.connection_id, tracked.charge);
        if tracked.has_begun() {
            self.ended.insert(now, tracked.session, tracked.connection_id);
        }
        if tracked.playing_since.is_none() {
            if let Some(viewer_connection) = self.viewer_connections.get_mut(&tracked.connection_id) {
                viewer_connection.unanswered = viewer_connection.unanswered.saturating_sub(1);
            }
        }
        Some(tracked)
    }

    /// The attempt of a request is answered: its session plays, and its viewer gets the answer.
    pub(super) fn on_attempt_answered(&mut self, now: Point, id: u32, description: Bytes, load: Load) {
        let Some(tracked) = self.sessions.get_mut(&id) else { return };
        tracked.begun_at = tracked.attempt.as_ref().and_then(|attempt| attempt.permit.begun_at());
        let steps = Self::steps(tracked, Outcome::Plays, now);
        if let Some(attempt) = tracked.attempt.take() {
            tracked.control_connection = Some(attempt.on);
            tracked.heard_on = Some(attempt.on);
            if let Some(streamer_link) = self.links.get_mut(&attempt.on.link) {
                streamer_link.pending_set_ups = streamer_link.pending_set_ups.saturating_sub(1);
            }
        }
        tracked.playing_since = Some(now);
        tracked.set_up.drop_payload();
        self.client_shares.return_request(tracked.connection_id, &mut tracked.charge);
        let (handle, connection_id, session, reply) =
            (tracked.handle, tracked.connection_id, tracked.session, tracked.reply.take());
        tracing::debug!(target: "decision", session = format!("{session:016x}"), streamer = &*tracked.streamer, answered = true);
        handle.playing(&mut self.controller, now);
        if load.link_utilization.is_some() || load.uplink_utilization.is_some() {
            handle.load_reported(&mut self.controller, now, load);
        }
        if let Some(reply) = reply {
            self.answer(reply, Body::Answer { description, load: Load::default() }, steps);
        }
        if let Some(viewer_connection) = self.viewer_connections.get_mut(&connection_id) {
            viewer_connection.unanswered = viewer_connection.unanswered.saturating_sub(1);
        }
        self.add_viewer_evidence(now, connection_id, ViewerEvidence::Session);
    }

    /// A time limit of an attempt has passed: it was not written in time, was not answered in time, or was not proven
    /// over by the deadline of its request.
    pub(super) fn on_attempt_timer(&mut self, now: Point, id: u32, number: u32) {
        let Some(tracked) = self.sessions.get_mut(&id) else { return };
        let (session, deadline) = (tracked.session, tracked.deadline);
        let Some(attempt) = tracked.attempt.as_ref().filter(|attempt| attempt.number == number) else {
            return;
        };
        let (on, has_begun) = (attempt.on, attempt.permit.has_begun());
        if attempt.given_up.is_some() {
            if now >= deadline {
                self.end_without_proof(now, id);
            }
        } else if !has_begun && now >= attempt.not_after {
            self.end_unbegun(now, vec![(id, number)], AttemptOutcome::NoConnection);
        } else if has_begun && now >= attempt.deadline {
            self.give_up_tracked(id, AttemptOutcome::TimedOut);
            let test = self.send_release_and_test(now, session, on);
            self.suspect_connection(now, on);
            let attempt = self.sessions.get_mut(&id).and_then(|tracked| tracked.attempt.as_mut());
            if let Some(given_up) = attempt.and_then(|attempt| attempt.given_up.as_mut()) {
                given_up.test = test;
            }
            self.attempt_in_doubt(now, id);
        }
    }

    /// A set-up got no answer on this connection: it is closed if nothing is received on it within the test timeout.
    fn suspect_connection(&mut self, now: Point, on: Connection) {
        if !self.is_current(on) {
            return;
        }
        if let Some(streamer_link) = self.links.get_mut(&on.link) {
            streamer_link.suspect_until = streamer_link.suspect_until.or(Some(now + TEST_TIMEOUT));
        }
    }

    /// Gives up the attempt of a tracked request. Nothing is sent yet.
    pub(super) fn give_up_tracked(&mut self, id: u32, ending: AttemptOutcome) {
        let Some(mut attempt) = self.sessions.get_mut(&id).and_then(|tracked| tracked.attempt.take()) else {
            return;
        };
        self.give_up(&mut attempt, ending);
        if let Some(tracked) = self.sessions.get_mut(&id) {
            tracked.attempt = Some(attempt);
        }
    }

    /// An attempt is given up and may still run. The module may place the request again once the attempt is proven
    /// over; if it would not do so anyway, the request is decided at once.
    pub(super) fn attempt_in_doubt(&mut self, now: Point, id: u32) {
        let Some(tracked) = self.sessions.get(&id) else { return };
        let (handle, session, deadline) = (tracked.handle, tracked.session, tracked.deadline);
        let Some(attempt) = tracked.attempt.as_ref() else { return };
        let (number, given_up) = (attempt.number, attempt.given_up);
        tracing::debug!(
            target: "attempt",
            session = format!("{session:016x}"), number, given_up = ?Logged(given_up), "given up, not proven over"
        );
        if !handle.attempt_in_doubt(&mut self.controller, now) {
            return self.end_without_proof(now, id);
        }
        self.timers.push(Reverse((deadline, id, number)));
    }

    /// The request gets no other attempt, though its last one is not proven over: the module decides on the final
    /// answer.
    fn end_without_proof(&mut self, now: Point, id: u32) {
        let Some(tracked) = self.sessions.get_mut(&id) else { return };
        let Some(given_up) = tracked.attempt.take().and_then(|attempt| attempt.given_up) else { return };
        let (session, streamer) = (tracked.session, tracked.streamer.clone());
        self.remember_unproven(now, streamer, session, given_up);
        self.report_ended(now, id, given_up.outcome, Load::default());
    }

    /// Applies evidence from a connection that may prove that attempts are over: those of one session, or all on
    /// that connection.
    pub(super) fn apply_evidence(
        &mut self,
        now: Point,
        on: Connection,
        session: Option<u64>,
        evidence: Evidence,
    ) {
        self.pending_releases.retain(|release| !release.is_read(on, session, evidence));
        let concerns = |of: u64| session.is_none_or(|session| session == of);
        self.unproven
            .retain(|unproven| !concerns(unproven.session) || unproven.attempt.proof(on, evidence).is_none());
        let proven = |tracked: &TrackedSession| {
            let given_up = tracked.attempt.as_ref()?.given_up.filter(|_| concerns(tracked.session))?;
            Some((given_up.outcome, given_up.proof(on, evidence)?))
        };
        let proven: Vec<_> =
            self.sessions.iter().filter_map(|(id, tracked)| Some((*id, proven(tracked)?))).collect();
        for (id, (ending, proof)) in proven {
            self.attempt_over(now, id, ending, Load::default(), proof);
        }
    }

    /// A streamer closed a connection: it reads nothing more of it, and has given up the set-ups on it that had not
    /// finished. A session that it had set up may still play, as its answer may be lost with the connection. So
    /// the releases are sent to it again, on another connection.
    pub(super) fn on_closed_by_streamer(&mut self, now: Point, on: Connection) {
        for tracked in self.sessions.values_mut() {
            let given_up = tracked.attempt.as_mut().and_then(|attempt| attempt.given_up.as_mut());
            if let Some(given_up) = given_up.filter(|given_up| given_up.connection == on) {
                given_up.connection_closed = true;
            }
        }
        self.release_on_other_connections(now);
    }

    /// Releases given-up attempts whose streamer closed their connection on another connection, unless the last release
    /// is on a connection that is still up.
    pub(super) fn release_on_other_connections(&mut self, now: Point) {
        let waits = |tracked: &TrackedSession| {
            let given_up = tracked.attempt.as_ref()?.given_up?;
            (given_up.connection_closed && !self.is_current(given_up.connection))
                .then_some((tracked.session, tracked.streamer.clone()))
        };
        let waiting: Vec<_> =
            self.sessions.iter().filter_map(|(id, tracked)| Some((*id, waits(tracked)?))).collect();
        for (id, (session, streamer)) in waiting {
            let state = self.streamers.get(&streamer).map(KnownStreamer::state);
            if state.is_none_or(|state| state == StreamerState::Gone) {
                // The streamer closed its connection, and the list does not contain it any more or marks it as gone.
                let attempt = self.sessions.get(&id).and_then(|tracked| tracked.attempt.as_ref());
                let Some(given_up) = attempt.and_then(|attempt| attempt.given_up) else { continue };
                self.attempt_over(now, id, given_up.outcome, Load::default(), Proof::ProcessGone);
                continue;
            }
            let Some(link) = self.best_link(&streamer).or_else(|| self.dial_now(now, &streamer)) else {
                continue;
            };
            let Some(dial) = self.links.get(&link).map(|streamer_link| streamer_link.link.dial) else {
                continue;
            };
            let on = Connection { link, dial };
            let test = self.send_release_and_test(now, session, on);
            let attempt = self.sessions.get_mut(&id).and_then(|tracked| tracked.attempt.as_mut());
            if let Some(given_up) = attempt.and_then(|attempt| attempt.given_up.as_mut()) {
                (given_up.connection, given_up.test) = (on, test);
            }
        }
    }

    /// Withdraws the attempts on a link that have not begun, and returns them.
    pub(super) fn withdraw_waiting(&mut self, link: u64) -> Vec<(u32, u32)> {
        let streamer_link = self.links.get_mut(&link);
        let _ = streamer_link.map(|streamer_link| streamer_link.link.withdraw_set_ups());
        let waits = |tracked: &TrackedSession| {
            let attempt = tracked
                .attempt
                .as_ref()
                .filter(|attempt| attempt.on.link == link && attempt.given_up.is_none())?;
            attempt.permit.withdraw().then_some(attempt.number)
        };
        self.sessions.iter().filter_map(|(id, tracked)| Some((*id, waits(tracked)?))).collect()
    }

    /// These attempts have not begun and are withdrawn for good. Those that are still current end with this outcome.
    pub(super) fn end_unbegun(&mut self, now: Point, attempts: Vec<(u32, u32)>, ending: AttemptOutcome) {
        for (id, number) in attempts {
            let attempt = self.sessions.get(&id).and_then(|tracked| tracked.attempt.as_ref());
            let Some(attempt) =
                attempt.filter(|attempt| attempt.number == number && attempt.permit.withdraw())
            else {
                continue;
            };
            if let Some(streamer_link) = self.links.get_mut(&attempt.on.link) {
                streamer_link.link.withdraw((id, number));
            }
            self.attempt_over(now, id, ending, Load::default(), Proof::NeverBegan);
        }
    }

    /// An attempt is proven over: its outcome is reported to the module, which may place the request again.
    pub(super) fn attempt_over(
        &mut self,
        now: Point,
        id: u32,
        ending: AttemptOutcome,
        load: Load,
        proof: Proof,
    ) {
        let Some(tracked) = self.sessions.get_mut(&id) else { return };
        let Some(attempt) = tracked.attempt.take() else { return };
        if proof.allows_a_later_release() && tracked.is_first_attempt_at(&tracked.streamer) {
            tracked.previous_streamers.push(tracked.streamer.clone());
        }
        tracked.begun_at = attempt.permit.begun_at().or(tracked.begun_at);
        if let Some(streamer_link) =
            self.links.get_mut(&attempt.on.link).filter(|_| attempt.given_up.is_none())
        {
            streamer_link.pending_set_ups = streamer_link.pending_set_ups.saturating_sub(1);
        }
        tracing::debug!(
            target: "attempt",
            session = format!("{:016x}", tracked.session), number = attempt.number, on = ?attempt.on,
            ending = ?Logged(ending), ?proof, "over"
        );
        self.report_ended(now, id, ending, load);
    }

    /// A playing session is over: its end is reported to the module, and to its viewer if that is owed a release.
    pub(super) fn end_session(&mut self, now: Point, id: u32, ending: AttemptOutcome, load: Load) {
        self.report_ended(now, id, ending, load);
        let is_claimed = self.unconfirmed_hand_overs.contains(id);
        let Some(tracked) = self.remove(now, id) else { return };
        let why = match ending {
            AttemptOutcome::Served => cause::NORMAL,
            // The viewer ended the session and is owed nothing.
            AttemptOutcome::Cancelled => return,
            _ => cause::FAILED,
        };
        if is_claimed {
            self.owe_claim_release(now, tracked.connection_id, tracked.session, Body::release(why));
        } else {
            self.owe_release(now, tracked.connection_id, tracked.session, Body::release(why));
        }
    }

    /// Reports to the module how an attempt or a playing session ended.
    pub(super) fn report_ended(&mut self, now: Point, id: u32, ending: AttemptOutcome, load: Load) {
        let Some(tracked) = self.sessions.get(&id) else { return };
        let (handle, plays) = (tracked.handle, tracked.playing_since.is_some());
        tracing::debug!(
            target: "decision",
            session = format!("{:016x}", tracked.session), streamer = &*tracked.streamer,
            ending = ?Logged(ending), plays, load = ?Logged(load)
        );
        handle.attempt_ended(&mut self.controller, now, ending, plays, load);
    }

    /// Carries out the actions that the module decided on, until there are none left.
    pub(super) fn apply_actions(&mut self, now: Point) {
        loop {
            let mut actions = std::mem::take(&mut self.controller.actions);
            self.next_tick_at = actions.next_tick.or(self.next_tick_at);
            let is_empty = actions == Default::default();
            for (id, rung) in actions.rung_changes.drain(..) {
                self.set_rung(now, id, rung);
            }
            for new_attempt in actions.attempts.drain(..) {
                self.start_attempt(now, &new_attempt);
            }
            for (id, after) in actions.rejected.drain(..) {
                self.answer_unserved(now, id, viewers::rejection(after), Outcome::Rejected);
            }
            for id in actions.failed.drain(..) {
                self.answer_unserved(now, id, Body::release(cause::FAILED), Outcome::Failed);
            }
            for id in actions.moved.drain(..) {
                let Some(tracked) = self.remove(now, id) else { continue };
                self.release_at_streamer(now, &tracked.streamer, tracked.session);
                tracked.handle.attempt_ended(
                    &mut self.controller,
                    now,
                    AttemptOutcome::Cancelled,
                    true,
                    Load::default(),
                );
                self.owe_release(now, tracked.connection_id, tracked.session, Body::Move);
            }
            if is_empty {
                return;
            }
        }
    }

    /// Sends the one answer of a request that did not lead to a session.
    pub(super) fn answer_unserved(&mut self, now: Point, id: u32, body: Body, outcome: Outcome) {
        let Some(mut tracked) = self.remove(now, id) else { return };
        self.remember_rejected(tracked.connection_id, tracked.session);
        tracing::debug!(
            target: "decision",
            session = format!("{:016x}", tracked.session), lane = tracked.set_up.class, shots = tracked.attempt_count,
            body = ?Logged(&body)
        );
        let steps = Self::steps(&tracked, outcome, now);
        if let Some(reply) = tracked.reply.take() {
            self.answer(reply, body, steps);
        }
    }

    /// Sets the rung of a session, and sends it to the streamer if the session plays.
    pub(super) fn set_rung(&mut self, now: Point, id: u32, rung: usize) {
        let Some(tracked) = self.sessions.get_mut(&id) else { return };
        tracked.rung = rung;
        if tracked.playing_since.is_none() {
            return;
        }
        let (session, streamer, control_connection) =
            (tracked.session, tracked.streamer.clone(), tracked.control_connection);
        let link = control_connection
            .filter(|on| self.is_current(*on))
            .map(|on| on.link)
            .or_else(|| self.best_link(&streamer));
        let Some(link) = link else { return };
        self.send_to_streamer(now, link, Message { session, body: Body::Rung(rung) });
        let dial = self.links.get(&link).map(|streamer_link| streamer_link.link.dial);
        if let Some(tracked) = self.sessions.get_mut(&id) {
            tracked.control_connection = dial.map(|dial| Connection { link, dial });
        }
    }

    /// Starts an attempt, or ends it at once if it can't be sent.
    pub(super) fn start_attempt(&mut self, now: Point, new_attempt: &NewAttempt) {
        let id = new_attempt.session;
        let Some((streamer, known)) = self.streamers.get_key_value(&*new_attempt.streamer) else {
            // Guards against a request that waits for ever for an attempt at a streamer that is not known.
            return self.report_ended(now, id, AttemptOutcome::NotSent, Load::default());
        };
        let (streamer, is_ready) = (streamer.clone(), known.state() == StreamerState::Ready);
        let link = self.best_link(&streamer);
        let Some(tracked) = self.sessions.get_mut(&id) else { return };
        let deadline = now + new_attempt.timeout;
        // A decision holds only for a moment: a set-up that can't be written soon goes back to the module.
        let not_after = deadline.min(now + self.settings.dial_timeout);
        let number = tracked.attempt_count;
        tracked.attempt_count += 1;
        tracked.decided_at = tracked.decided_at.or(Some(now));
        tracked.streamer = streamer.clone();
        let set_up = SetUp {
            wait_ms: (new_attempt.timeout.seconds() * 1e3).max(0.0) as u64,
            rung: Some(tracked.rung),
            details: None,
            tenant: String::new(),
            is_retry: false,
            ..tracked.set_up.clone()
        };
        let permit = Permit::new();
        let message = Message { session: tracked.session, body: Body::SetUp(set_up) };
        let outbound = OutboundMessage { message, permit: Some(permit.clone()) };
        tracing::debug!(
            target: "decision",
            session = format!("{:016x}", tracked.session), lane = tracked.set_up.class, shot = number,
            streamer = &*streamer, rung = tracked.rung, within_s = new_attempt.timeout.seconds()
        );
        // No link has the number 0: the attempt is not on one yet.
        let on = Connection { link: 0, dial: 0 };
        let is_first = tracked.is_first_attempt_at(&streamer);
        tracked.attempt = Some(Attempt { number, on, deadline, not_after, permit, is_first, given_up: None });
        if new_attempt.timeout <= Span::ZERO || !is_ready {
            return self.end_unbegun(now, vec![(id, number)], AttemptOutcome::NotSent);
        }
        let Some(link) = link.or_else(|| self.dial_now(now, &streamer)) else {
            // If this process has no descriptor left, that proves nothing about the streamer.
            let outcome =
                if self.can_dial(&streamer) { AttemptOutcome::NoConnection } else { AttemptOutcome::NotSent };
            return self.end_unbegun(now, vec![(id, number)], outcome);
        };
        let Some(streamer_link) = self.links.get_mut(&link) else { return };
        let queued =
            QueuedMessage { message: outbound, attempt: Some((id, number)), not_after: Some(not_after) };
        if streamer_link.pending_set_ups >= self.settings.max_set_ups_per_link
            || !streamer_link.link.push(queued)
        {
            return self.end_unbegun(now, vec![(id, number)], AttemptOutcome::NotSent);
        }
        streamer_link.pending_set_ups += 1;
        let (is_busy, dial) = (streamer_link.pending_set_ups > 1, streamer_link.link.dial);
        if let Some(attempt) = self.sessions.get_mut(&id).and_then(|tracked| tracked.attempt.as_mut()) {
            attempt.on = Connection { link, dial };
        }
        self.timers.push(Reverse((not_after, id, number)));
        self.timers.push(Reverse((deadline, id, number)));
        self.write_next_batch(now, link);
        if is_busy
            && self
                .streamers
                .get(&streamer)
                .is_some_and(|known| known.link_ids.len() < connections::MAX_LINKS_PER_STREAMER)
        {
            self.add_link(now, &streamer);
        }
    }
}
