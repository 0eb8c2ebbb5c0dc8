//! The dispatcher's part of messages from streamers: what each means for the attempt or session that it is about.

use super::*;

/// The session that a message is about, as it was when the message was read.
struct Subject {
    id: u32,
    handle: SessionHandle,
    streamer: Arc<str>,
    /// Whether the session plays.
    plays: bool,
    /// Whether its attempt on this connection awaits an answer.
    awaits_answer: bool,
    /// Whether the message can't concern an earlier attempt at this streamer.
    is_first_attempt: bool,
}

impl Dispatcher {
    /// Handles a message of a streamer.
    pub fn on_streamer_message(&mut self, now: Point, on: Connection, message: Message) {
        let Some(streamer) = self.streamer_on(on) else { return };
        if let Some((session, evidence)) = Self::evidence_of(&message) {
            self.apply_evidence(now, on, session, evidence);
            self.apply_actions(now);
        }
        if self.is_current(on) {
            if let Some(streamer_link) = self.links.get_mut(&on.link) {
                streamer_link.link.message_received(now);
                streamer_link.suspect_until = None;
            }
            if let Body::TestResult { .. } = message.body {
                self.note_test_passed(now, &streamer, message.session);
            }
        }
        let Some(subject) = self.subject_of(on, streamer, &message) else { return };
        match message.body {
            Body::Answer { description, load } if subject.awaits_answer => {
                self.on_attempt_answered(now, subject.id, description, load)
            }
            Body::Release { cause, load, .. } => {
                self.unconfirmed_hand_overs.remove(subject.id);
                self.log_release(now, &subject, message.session, cause);
                self.on_streamer_release(now, &subject, message.session, cause, load);
            }
            Body::SessionReport(report) if subject.plays => {
                self.confirm_process(subject.id, on);
                self.on_session_report(now, subject.handle, report);
            }
            _ => {}
        }
        self.apply_actions(now);
    }

    /// What a message of a streamer proves about attempts that were given up on its connection.
    fn evidence_of(message: &Message) -> Option<(Option<u64>, Evidence)> {
        match message.body {
            Body::TestResult { .. } => Some((None, Evidence::TestPassed { test: message.session })),
            Body::Acknowledged => Some((Some(message.session), Evidence::EndAcknowledged)),
            Body::Release { cause, .. } if cause::ends_set_up(cause) => {
                Some((Some(message.session), Evidence::SetUpRefused))
            }
            Body::Release { .. } => Some((Some(message.session), Evidence::Released)),
            _ => None,
        }
    }

    /// The streamer at the other end of a connection that is up, or whose close is awaited.
    fn streamer_on(&self, on: Connection) -> Option<Arc<str>> {
        let current = self.links.get(&on.link).filter(|_| self.is_current(on));
        current.map(|streamer_link| &streamer_link.streamer).or_else(|| self.closing.get(&on)).cloned()
    }

    /// The session that a message is about, if it is tracked at this streamer. Otherwise it belongs to another
    /// controller or is over; its release is remembered, as it may still be handed over.
    fn subject_of(&mut self, on: Connection, streamer: Arc<str>, message: &Message) -> Option<Subject> {
        let Some(id) = self.id_by_session.get(&message.session).copied() else {
            if let Body::Release { cause, .. } = message.body {
                self.untracked_ends.insert(message.session, UntrackedEnd::ByStreamer(cause));
            }
            return None;
        };
        let tracked = self.sessions.get(&id).filter(|tracked| tracked.streamer == streamer)?;
        let awaits_answer = tracked.attempt.as_ref().is_some_and(|attempt| {
            attempt.on == on && attempt.given_up.is_none() && attempt.permit.has_begun()
        });
        Some(Subject {
            id,
            handle: tracked.handle,
            plays: tracked.playing_since.is_some(),
            awaits_answer,
            is_first_attempt: tracked.is_first_attempt_at(&streamer),
            streamer,
        })
    }

    fn log_release(&self, now: Point, subject: &Subject, session: u64, cause: u8) {
        let playing_since = self.sessions.get(&subject.id).and_then(|tracked| tracked.playing_since);
        // `playing_ms` shows how soon the release arrived for a session that its viewer ended at once.
        let playing_ms = playing_since.map(|since| ((now - since).seconds() * 1e6).round() / 1e3);
        let (streamer, plays) = (&*subject.streamer, subject.plays);
        tracing::debug!(
            target: "streamers", session = format!("{session:016x}"), streamer, cause, plays, playing_ms
        );
    }

    /// A streamer has released a session, or refused or ended its attempt.
    fn on_streamer_release(&mut self, now: Point, subject: &Subject, session: u64, cause: u8, load: Load) {
        if subject.awaits_answer {
            // It may concern an earlier attempt, whose answer was lost: the outcome of this one is still awaited.
            if subject.is_first_attempt || cause::ends_set_up(cause) {
                self.on_attempt_released(now, subject.id, cause, load);
            }
        } else if subject.plays {
            if !subject.is_first_attempt {
                // It may concern what an earlier attempt had set up there, and the session that plays must not
                // continue.
                self.release_at_streamer(now, &subject.streamer, session);
            }
            let ending = match cause {
                cause::NORMAL => AttemptOutcome::Served,
                cause::CANCELLED => AttemptOutcome::Cancelled,
                _ => AttemptOutcome::ConnectionLost,
            };
            self.end_session(now, subject.id, ending, load);
        }
    }

    /// An attempt that awaits its answer is over.
    fn on_attempt_released(&mut self, now: Point, id: u32, cause: u8, load: Load) {
        let ending = match cause {
            cause::FULL => AttemptOutcome::Refused,
            cause::ERROR => AttemptOutcome::Errored,
            cause::NOT_SENT => AttemptOutcome::NotSent,
            cause::FAILED => AttemptOutcome::ConnectionLost,
            // It may have run, and the process that reports it works: this outcome is no evidence about the health of
            // the streamer.
            _ => AttemptOutcome::Unknown,
        };
        let proof = if cause::ends_set_up(cause) { Proof::SetUpRefused } else { Proof::Released };
        self.attempt_over(now, id, ending, load, proof);
    }

    /// The process at the other end of this connection holds the session.
    fn confirm_process(&mut self, id: u32, on: Connection) {
        self.unconfirmed_hand_overs.remove(id);
        if !self.is_current(on) {
            return;
        }
        if let Some(tracked) = self.sessions.get_mut(&id) {
            tracked.heard_on = Some(on);
        }
    }

    /// A streamer has reported on a session that plays.
    fn on_session_report(&mut self, now: Point, handle: SessionHandle, report: SessionReport) {
        match report {
            SessionReport::RateShare(share) => {
                handle.shortfall_reported(&mut self.controller, now, share.clamp(0.0, 1.0))
            }
            SessionReport::Rung(rung) => handle.rung_reported(&mut self.controller, now, rung),
            SessionReport::LinkUtilization(full) => {
                handle.load_reported(&mut self.controller, now, Load::of_link(full))
            }
            SessionReport::UplinkUtilization(full) => {
                handle.load_reported(&mut self.controller, now, Load::of_uplink(full))
            }
        }
    }
}
