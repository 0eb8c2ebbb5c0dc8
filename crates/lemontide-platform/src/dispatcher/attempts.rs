//! The dispatcher's part of attempts: each is sent, ends once, and the module is told the truth of it. The module places a
//! request anew only from `attempt_over`, which takes the proof that the last attempt is over, and from `out_of_time`,
//! after which there is no other.

use super::*;

/// A connection on which a set-up got no answer must pass a test within this time, or it is of no more use.
const TEST_TIMEOUT: Span = Span::of_millis(400);

impl Dispatcher {
    /// Takes back an attempt that has not begun, wherever it waits; true where it now never will.
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

    /// Gives up an attempt that has begun; what is known of its end. Nothing is written yet.
    fn give_up(&mut self, attempt: &mut Attempt, ending: AttemptOutcome) -> GivenUp {
        let (on, is_first) = (attempt.on, attempt.is_first);
        if let Some(streamer_link) = self.links.get_mut(&on.link).filter(|_| attempt.given_up.is_none()) {
            streamer_link.pending_set_ups = streamer_link.pending_set_ups.saturating_sub(1);
        }
        *attempt.given_up.get_or_insert(GivenUp { on, is_closed: false, is_first, ending, test: None })
    }

    /// Tells a streamer that an attempt is given up, and sends a test behind it, whose number is returned: once it is
    /// passed, the streamer has read that far. Where the connection takes no more, its close gives the attempt up.
    fn send_release_and_test(&mut self, now: Point, session: u64, on: Connection) -> Option<u64> {
        if !self.is_current(on) {
            return None;
        }
        self.send_to_streamer(now, on.link, Message { session, body: Body::release(cause::NORMAL) });
        self.is_current(on).then(|| self.send_test(now, on.link))
    }

    /// Remembers an attempt that may still be out though its request is over, and to end it.
    fn remember_unproven(&mut self, now: Point, streamer: Arc<str>, session: u64, attempt: GivenUp) {
        self.release_unproven(now, streamer, session, &attempt);
        if self.unproven.len() >= MAX_REMEMBERED {
            self.unproven.pop_front();
        }
        self.unproven.push_back(UnprovenAttempt { session, attempt, until: now + UNPROVEN_RETENTION });
    }

    /// Whether an attempt under this session may still be out, its stream may still stand, or its streamer may still
    /// release it, though nothing in hand has it.
    pub(super) fn is_in_doubt(&self, session: u64) -> bool {
        self.unproven.iter().any(|unproven| unproven.session == session)
            || self.ended.contains(session)
            || self.pending_releases.iter().any(|release| release.session == session)
    }

    /// Ends what is out of a request whose viewer is gone; how it is told to the module.
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
            attempt.test = self.send_release_and_test(now, session, attempt.on);
        }
        self.remember_unproven(now, tracked.streamer.clone(), session, attempt);
        AttemptOutcome::Cancelled
    }

    pub(super) fn remove(&mut self, now: Point, id: u32) -> Option<TrackedSession> {
        let tracked = self.sessions.remove(&id)?;
        self.id_by_session.remove(&tracked.session);
        if tracked.has_begun() {
            self.ended.insert(now, tracked.session);
        }
        if tracked.playing_since.is_none() {
            if let Some(viewer_connection) = self.viewer_connections.get_mut(&tracked.conn) {
                viewer_connection.unanswered = viewer_connection.unanswered.saturating_sub(1);
            }
        }
        Some(tracked)
    }

    pub(super) fn on_attempt_answered(&mut self, now: Point, id: u32, description: Bytes, load: Load) {
        let Some(tracked) = self.sessions.get_mut(&id) else { return };
        tracked.begun_at = tracked.attempt.as_ref().and_then(|attempt| attempt.permit.begun_at());
        let steps = Self::steps(tracked, Outcome::Plays, now);
        if let Some(attempt) = tracked.attempt.take() {
            tracked.control_connection = Some(attempt.on);
            if let Some(streamer_link) = self.links.get_mut(&attempt.on.link) {
                streamer_link.pending_set_ups = streamer_link.pending_set_ups.saturating_sub(1);
            }
        }
        tracked.playing_since = Some(now);
        tracked.set_up.description = Bytes::new();
        let (handle, conn, session, reply) =
            (tracked.handle, tracked.conn, tracked.session, tracked.reply.take());
        tracing::debug!(target: "decision", session = format!("{session:016x}"), streamer = &*tracked.streamer, answered = true);
        handle.playing(&mut self.controller, now);
        if load.link_utilization.is_some() || load.uplink_utilization.is_some() {
            handle.load_reported(&mut self.controller, now, load);
        }
        if let Some(reply) = reply {
            self.answer(reply, Body::Answer { description, load: Load::default() }, steps);
        }
        if let Some(viewer_connection) = self.viewer_connections.get_mut(&conn) {
            viewer_connection.unanswered = viewer_connection.unanswered.saturating_sub(1);
            viewer_connection.has_set_up = true;
        }
        for (until, message) in std::mem::take(&mut self.unsent_releases) {
            if now <= until {
                self.effects.push(Effect::SendToViewer {
                    conn,
                    message,
                    ends_session: true,
                    reply: None,
                    steps: None,
                });
            }
        }
    }

    /// An attempt's moment came: it was not written in time, or not answered in time, or the request's time is over
    /// before it is proven over.
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

    /// A set-up got no answer on a connection: it must say something soon.
    fn suspect_connection(&mut self, now: Point, on: Connection) {
        if !self.is_current(on) {
            return;
        }
        if let Some(streamer_link) = self.links.get_mut(&on.link) {
            streamer_link.suspect_until = streamer_link.suspect_until.or(Some(now + TEST_TIMEOUT));
        }
    }

    /// Gives up the attempt of a request in hand; nothing is written yet.
    pub(super) fn give_up_tracked(&mut self, id: u32, ending: AttemptOutcome) {
        let Some(mut attempt) = self.sessions.get_mut(&id).and_then(|tracked| tracked.attempt.take()) else {
            return;
        };
        self.give_up(&mut attempt, ending);
        if let Some(tracked) = self.sessions.get_mut(&id) {
            tracked.attempt = Some(attempt);
        }
    }

    /// An attempt is given up and may still be out. The module may place the request anew once it is proven over; where
    /// it would not do so anyway, the request is decided at once.
    pub(super) fn attempt_in_doubt(&mut self, now: Point, id: u32) {
        let Some(tracked) = self.sessions.get(&id) else { return };
        let (handle, session, deadline) = (tracked.handle, tracked.session, tracked.deadline);
        let Some(attempt) = tracked.attempt.as_ref() else { return };
        let (number, given_up) = (attempt.number, attempt.given_up);
        tracing::debug!(
            target: "attempt", session = format!("{session:016x}"), number, ?given_up, "given up, not proven over"
        );
        if !handle.attempt_in_doubt(&mut self.controller, now) {
            return self.end_without_proof(now, id);
        }
        self.timers.push(Reverse((deadline, id, number)));
    }

    /// A request gets no other attempt, though its last is not proven over: the module gives its final answer.
    fn end_without_proof(&mut self, now: Point, id: u32) {
        let Some(tracked) = self.sessions.get_mut(&id) else { return };
        let Some(given_up) = tracked.attempt.take().and_then(|attempt| attempt.given_up) else { return };
        let (session, streamer) = (tracked.session, tracked.streamer.clone());
        self.remember_unproven(now, streamer, session, given_up);
        self.report_ended(now, id, given_up.ending, Load::default());
    }

    /// Something was heard of a connection that may prove attempts over: of one session, or of all that were there.
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
            Some((given_up.ending, given_up.proof(on, evidence)?))
        };
        let proven: Vec<_> =
            self.sessions.iter().filter_map(|(id, tracked)| Some((*id, proven(tracked)?))).collect();
        for (id, (ending, proof)) in proven {
            self.attempt_over(now, id, ending, Load::default(), proof);
        }
    }

    /// A streamer closed a connection: it reads nothing more that came on it, and has given up what was being set up
    /// there. What it had set up may stand all the same, as its answer may be lost with the connection; so the ends go
    /// to it once more, on another.
    pub(super) fn on_closed_by_streamer(&mut self, now: Point, on: Connection) {
        for tracked in self.sessions.values_mut() {
            let given_up = tracked.attempt.as_mut().and_then(|attempt| attempt.given_up.as_mut());
            if let Some(given_up) = given_up.filter(|given_up| given_up.on == on) {
                given_up.is_closed = true;
            }
        }
        self.release_on_other_connections(now);
    }

    /// Sends the ends of attempts whose streamer closed their connection on another one, where they are not on their
    /// way on one that is up.
    pub(super) fn release_on_other_connections(&mut self, now: Point) {
        let waits = |tracked: &TrackedSession| {
            let given_up = tracked.attempt.as_ref()?.given_up?;
            (given_up.is_closed && !self.is_current(given_up.on))
                .then_some((tracked.session, tracked.streamer.clone()))
        };
        let waiting: Vec<_> =
            self.sessions.iter().filter_map(|(id, tracked)| Some((*id, waits(tracked)?))).collect();
        for (id, (session, streamer)) in waiting {
            let state = self.streamers.get(&streamer).map(|known| known.entry.stage());
            if state.is_none_or(|state| state == StreamerState::Gone) {
                // It closed its connections, and the list says that it is no more.
                let attempt = self.sessions.get(&id).and_then(|tracked| tracked.attempt.as_ref());
                let Some(given_up) = attempt.and_then(|attempt| attempt.given_up) else { continue };
                self.attempt_over(now, id, given_up.ending, Load::default(), Proof::ProcessGone);
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
                (given_up.on, given_up.test) = (on, test);
            }
        }
    }

    /// Takes back the attempts of a connection that have not begun.
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

    /// These attempts never began, and never will: they are ended as such, where they are still waited for.
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

    /// An attempt is proven over: the module is told, and may place the request anew.
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
            session = format!("{:016x}", tracked.session), number = attempt.number, on = ?attempt.on, ?ending, ?proof, "over"
        );
        self.report_ended(now, id, ending, load);
    }

    /// What plays is over: the module is told, and so is its viewer, where it is owed a release.
    pub(super) fn end_session(&mut self, now: Point, id: u32, ending: AttemptOutcome, load: Load) {
        self.report_ended(now, id, ending, load);
        let Some(tracked) = self.remove(now, id) else { return };
        match ending {
            AttemptOutcome::Served => {
                self.release_to_viewer(now, tracked.conn, tracked.session, cause::NORMAL)
            }
            // Its viewer ended it and is owed nothing.
            AttemptOutcome::Cancelled => {}
            _ => self.release_to_viewer(now, tracked.conn, tracked.session, cause::BROKEN),
        }
    }

    /// Tells the module how an attempt, or what plays, ended.
    pub(super) fn report_ended(&mut self, now: Point, id: u32, ending: AttemptOutcome, load: Load) {
        let Some(tracked) = self.sessions.get(&id) else { return };
        let (handle, plays) = (tracked.handle, tracked.playing_since.is_some());
        tracing::debug!(
            target: "decision",
            session = format!("{:016x}", tracked.session), streamer = &*tracked.streamer, ?ending, plays, ?load
        );
        handle.attempt_ended(&mut self.controller, now, ending, plays, load);
    }

    /// Does what the module left to be done, until nothing is left.
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
                self.answer_unserved(now, id, Body::release(cause::BROKEN), Outcome::Failed);
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
                self.send_to_viewer(tracked.conn, tracked.session, Body::Move);
            }
            if is_empty {
                return;
            }
        }
    }

    /// The one answer of a wish that came to nothing.
    pub(super) fn answer_unserved(&mut self, now: Point, id: u32, body: Body, outcome: Outcome) {
        let Some(mut tracked) = self.remove(now, id) else { return };
        self.remember_rejected(tracked.conn, tracked.session);
        tracing::debug!(
            target: "decision",
            session = format!("{:016x}", tracked.session), lane = tracked.set_up.lane, shots = tracked.attempt_count, ?body
        );
        let steps = Self::steps(&tracked, outcome, now);
        if let Some(reply) = tracked.reply.take() {
            self.answer(reply, body, steps);
        }
    }

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

    pub(super) fn start_attempt(&mut self, now: Point, new_attempt: &NewAttempt) {
        let id = new_attempt.session;
        let Some((streamer, known)) = self.streamers.get_key_value(&*new_attempt.streamer) else {
            // Guards against a request that waits for ever for an attempt at somebody who is not there.
            return self.report_ended(now, id, AttemptOutcome::NotSent, Load::default());
        };
        let (streamer, is_ready) = (streamer.clone(), known.entry.stage() == StreamerState::Ready);
        let link = self.best_link(&streamer);
        let Some(tracked) = self.sessions.get_mut(&id) else { return };
        let deadline = now + new_attempt.timeout;
        // A decision is of its moment: a set-up that can't leave soon goes back to the module.
        let not_after = deadline.min(now + self.settings.dial_timeout);
        let number = tracked.attempt_count;
        tracked.attempt_count += 1;
        tracked.decided_at = tracked.decided_at.or(Some(now));
        tracked.streamer = streamer.clone();
        let set_up = SetUp {
            wait_ms: (new_attempt.timeout.seconds() * 1e3).max(0.0) as u64,
            rung: Some(tracked.rung),
            figures: None,
            tenant: String::new(),
            retry: false,
            ..tracked.set_up.clone()
        };
        let permit = Permit::new();
        let message = Message { session: tracked.session, body: Body::SetUp(set_up) };
        let outbound = OutboundMessage { message, permit: Some(permit.clone()) };
        tracing::debug!(
            target: "decision",
            session = format!("{:016x}", tracked.session), lane = tracked.set_up.lane, shot = number,
            streamer = &*streamer, rung = tracked.rung, within_s = new_attempt.timeout.seconds()
        );
        // No link has this number: it is not on one yet.
        let on = Connection { link: 0, dial: 0 };
        let is_first = tracked.is_first_attempt_at(&streamer);
        tracked.attempt = Some(Attempt { number, on, deadline, not_after, permit, is_first, given_up: None });
        if new_attempt.timeout <= Span::ZERO || !is_ready {
            return self.end_unbegun(now, vec![(id, number)], AttemptOutcome::NotSent);
        }
        let Some(link) = link.or_else(|| self.dial_now(now, &streamer)) else {
            // Where this process has no descriptor left, that tells nothing of the streamer.
            let outcome =
                if self.can_dial() { AttemptOutcome::NoConnection } else { AttemptOutcome::NotSent };
            return self.end_unbegun(now, vec![(id, number)], outcome);
        };
        let Some(streamer_link) = self.links.get_mut(&link) else { return };
        let queued = Queued { order: outbound, shot: Some((id, number)), not_after: Some(not_after) };
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
