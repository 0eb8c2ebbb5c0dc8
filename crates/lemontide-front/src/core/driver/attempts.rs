//! Attempts in the driver: each is sent, ends once, and its outcome is reported to the module. The next attempt of a
//! request starts only with proof that the last one is over.

use super::*;

impl Driver {
    /// Starts an attempt that the module decided on: queues its set-up, or ends it where it cannot be sent.
    pub(super) fn start_attempt(&mut self, now: Point, new_attempt: &NewAttempt) {
        let id = new_attempt.session;
        let Some(streamer_index) = self.index_by_name.get(&*new_attempt.streamer).copied() else { return };
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let (number, class, rung) = (session.attempt_count, session.class, session.rung);
        let deadline = now + new_attempt.timeout;
        // A decision is valid only for a moment: a set-up that cannot be sent soon is returned to the module.
        let not_after = deadline.min(now + self.settings.dial_timeout);
        session.attempt_count += 1;
        session.streamer_index = streamer_index;
        session.attempt =
            Some(PendingAttempt { number, deadline, not_after, sent_at: None, abandoned: None });
        let message = ControllerMessage::SetUp(SetUp {
            id,
            shot: number,
            ask: session.request_id.clone(),
            title: session.title.clone(),
            lane: self.settings.classes[class].0.clone(),
            rung: rung as u32,
            rate_kb: self.rate_kb(class, rung).round() as u32,
            within_ms: (new_attempt.timeout.seconds() * 1e3).max(0.0) as u32,
        });
        if let Some(session) = self.sessions.get(&id) {
            self.log_decision(now, "shot", session);
        }
        if new_attempt.timeout <= Span::ZERO
            || self.streamers[streamer_index].entry.state != list::StreamerState::Ready
        {
            return self.end_unsent_attempts(
                now,
                streamer_index,
                vec![(id, number)],
                AttemptOutcome::NotSent,
            );
        }
        if self.streamers[streamer_index].link.can_dial(now) {
            self.dial(now, streamer_index);
        }
        let link = &mut self.streamers[streamer_index].link;
        if !link.is_up() && !link.is_dialling() {
            return self.end_unsent_attempts(
                now,
                streamer_index,
                vec![(id, number)],
                AttemptOutcome::NoConnection,
            );
        }
        if !link.push(QueuedMessage { message, attempt: Some((id, number)), not_after: Some(not_after) }) {
            return self.end_unsent_attempts(
                now,
                streamer_index,
                vec![(id, number)],
                AttemptOutcome::NotSent,
            );
        }
        self.deadlines.push(Reverse((not_after, id, number)));
        self.write_next_batch(now, streamer_index);
    }

    /// A deadline of an attempt is reached: it is ended where it was not written in time, abandoned where it was not
    /// answered in time, and ended where its proof did not arrive within the request's time.
    pub(super) fn check_attempt_deadline(&mut self, now: Point, id: u32, number: u32) {
        let Some(session) = self.sessions.get(&id) else { return };
        let Some(attempt) = session.attempt.as_ref().filter(|attempt| attempt.number == number) else {
            return;
        };
        let (streamer_index, request_id) = (session.streamer_index, session.request_id.clone());
        if let Some(abandoned) = attempt.abandoned {
            if now >= session.deadline {
                self.attempt_ended(now, id, abandoned.outcome, Load::default());
            }
        } else if attempt.sent_at.is_none() {
            if now >= attempt.not_after {
                self.streamers[streamer_index].link.withdraw((id, number));
                self.end_unsent_attempts(
                    now,
                    streamer_index,
                    vec![(id, number)],
                    AttemptOutcome::NoConnection,
                );
            }
        } else if now >= attempt.deadline {
            let viewer_left = session.viewer_left;
            self.effects.push(Effect::Tap(TapEvent::AttemptAbandoned { request_id, attempt: number }));
            if viewer_left {
                return self.attempt_ended(now, id, AttemptOutcome::TimedOut, Load::default());
            }
            let dial = self.streamers[streamer_index].link.dial;
            let cancel = Cancel { id, shot: number, why: Why::TimedOut.into() };
            self.send(now, streamer_index, ControllerMessage::Cancel(cancel));
            let test = self.is_current(streamer_index, dial).then(|| self.ping(now, streamer_index));
            let awaits_outcome = |session: &Session| {
                session.attempt.as_ref().is_some_and(|attempt| attempt.abandoned.is_none())
            };
            if self.sessions.get(&id).is_some_and(awaits_outcome) {
                self.abandon_attempt(now, id, AttemptOutcome::TimedOut, test);
            }
        }
    }

    /// Abandons an attempt that may have begun. The module can place the request again once the attempt is proven over;
    /// where it would not place it again anyway, the request is decided at once.
    pub(super) fn abandon_attempt(
        &mut self,
        now: Point,
        id: u32,
        outcome: AttemptOutcome,
        test: Option<u64>,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let (handle, streamer_index, deadline) = (session.handle, session.streamer_index, session.deadline);
        let Some(attempt) = session.attempt.as_mut() else { return };
        let dial = self.streamers.get(streamer_index).map_or(0, |known| known.link.dial);
        let connection = Connection { link: streamer_index as u64, dial };
        let (number, sent_at) = (attempt.number, attempt.sent_at);
        attempt.abandoned = Some(AbandonedAttempt {
            connection,
            connection_closed: false,
            is_first_attempt: true,
            outcome,
            test,
        });
        tracing::debug!(
            target: "attempt",
            ask = session.request_id, number, on = ?connection, ending = ?Logged(outcome), ?test,
            "abandoned, not proven over"
        );
        let viewer_left = session.viewer_left;
        self.record_attempt_end(now, streamer_index, sent_at, outcome, false);
        if viewer_left || !handle.attempt_in_doubt(&mut self.module, now) {
            return self.attempt_ended(now, id, outcome, Load::default());
        }
        self.deadlines.push(Reverse((deadline, id, number)));
    }

    /// Ends the abandoned attempts that evidence from a connection proves to be over.
    pub(super) fn apply_evidence(&mut self, now: Point, connection: Connection, evidence: Evidence) {
        let proven = |session: &Session| {
            let abandoned = session.attempt.as_ref()?.abandoned?;
            Some((abandoned.outcome, abandoned.proof(connection, evidence)?))
        };
        let proven: Vec<_> =
            self.sessions.iter().filter_map(|(id, session)| Some((*id, proven(session)?))).collect();
        for (id, (outcome, proof)) in proven {
            tracing::debug!(
                target: "attempt",
                ask = self.sessions[&id].request_id, on = ?connection, ending = ?Logged(outcome), ?proof,
                "proven over"
            );
            self.attempt_ended(now, id, outcome, Load::default());
        }
    }

    /// The session, if this attempt of it was sent to this streamer and still awaits its outcome.
    pub(super) fn awaited_session(
        &mut self,
        streamer_index: usize,
        id: u32,
        number: u32,
    ) -> Option<&mut Session> {
        let session =
            self.sessions.get_mut(&id).filter(|session| session.streamer_index == streamer_index)?;
        let attempt = session
            .attempt
            .as_ref()
            .filter(|attempt| attempt.number == number && attempt.abandoned.is_none());
        attempt.is_some_and(|attempt| attempt.sent_at.is_some()).then_some(session)
    }

    /// Ends attempts that were never sent, where their sessions still await them.
    pub(super) fn end_unsent_attempts(
        &mut self,
        now: Point,
        streamer_index: usize,
        unsent: Vec<(u32, u32)>,
        outcome: AttemptOutcome,
    ) {
        for (id, number) in unsent {
            let session = self.sessions.get(&id).filter(|session| session.streamer_index == streamer_index);
            let attempt = session.and_then(|session| session.attempt.as_ref());
            if attempt.is_some_and(|attempt| attempt.number == number) {
                self.attempt_ended(now, id, outcome, Load::default());
            }
        }
    }

    /// An attempt or its stream ended: reports it to the module, and ends the session if it was playing. An attempt
    /// that was handed to a socket must be proven over before, unless it is the last of its request.
    pub(super) fn attempt_ended(&mut self, now: Point, id: u32, outcome: AttemptOutcome, load: Load) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let attempt = session.attempt.take();
        session.last_outcome = Some(outcome);
        let (handle, playing, viewer_left, streamer_index) =
            (session.handle, session.playing, session.viewer_left, session.streamer_index);
        // The end of an abandoned attempt was recorded when it was abandoned.
        if attempt.as_ref().is_none_or(|attempt| attempt.abandoned.is_none()) {
            self.record_attempt_end(
                now,
                streamer_index,
                attempt.and_then(|attempt| attempt.sent_at),
                outcome,
                playing,
            );
        }
        handle.attempt_ended(&mut self.module, now, outcome, playing, load);
        if playing || viewer_left {
            self.sessions.remove(&id);
        }
        if playing && !viewer_left {
            let reason =
                if outcome == AttemptOutcome::Served { EndReason::Served } else { EndReason::ConnectionLost };
            self.effects.push(Effect::SessionEvent { id, event: SessionEvent::Ended { reason } });
        }
    }

    /// Records the end of an attempt or its stream for its streamer: in its set-up limit, its preference and its
    /// health.
    pub(super) fn record_attempt_end(
        &mut self,
        now: Point,
        streamer_index: usize,
        sent_at: Option<Point>,
        outcome: AttemptOutcome,
        playing: bool,
    ) {
        self.set_up_ended(now, streamer_index, sent_at, outcome);
        let is_failure = !matches!(
            outcome,
            AttemptOutcome::Served
                | AttemptOutcome::Cancelled
                | AttemptOutcome::NotSent
                | AttemptOutcome::Unknown
        );
        if let Some(coordination) = self.coordination.as_mut().filter(|_| is_failure) {
            coordination.avoid_streamer(now, streamer_index);
        }
        // The end of a stream adds nothing to what its start showed, and a lost streamer counts as one failure, not as
        // one for each of its streams.
        if !playing {
            self.report_observation(streamer_index, outcome);
        }
    }

    /// A set-up that was handed to a link has ended, so it no longer counts against the limit of concurrent set-ups.
    pub(super) fn set_up_ended(
        &mut self,
        now: Point,
        streamer_index: usize,
        sent_at: Option<Point>,
        outcome: AttemptOutcome,
    ) {
        let Some(sent_at) = sent_at else { return };
        let Some(set_up_limit) =
            self.streamers.get_mut(streamer_index).and_then(|known| known.link.set_up_limit.as_mut())
        else {
            return;
        };
        match outcome {
            AttemptOutcome::Served => set_up_limit.record_answer(now, Some(now - sent_at)),
            // A refusal or a timeout means too many concurrent set-ups.
            AttemptOutcome::Refused | AttemptOutcome::TimedOut => set_up_limit.record_answer(now, None),
            // The other outcomes are about the streamer's health, which the module evaluates, not about its capacity.
            _ => set_up_limit.release(),
        }
        self.write_next_batch(now, streamer_index);
    }

    /// Sends a ping to a streamer; returns the nonce of its pong.
    pub(super) fn ping(&mut self, now: Point, streamer_index: usize) -> u64 {
        self.last_nonce += 1;
        let nonce = self.last_nonce;
        self.send(now, streamer_index, ControllerMessage::Ping(Ping { nonce }));
        nonce
    }
}
