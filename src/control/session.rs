//! What callers report about one session: how its attempts and its stream go, and how they end.

use super::*;

impl SessionHandle {
    pub(super) fn find(self, controller: &mut Controller) -> Option<&mut Session> {
        controller.sessions.get_mut(self.slot).filter(|s| s.serial == self.serial)
    }

    /// The session plays.
    pub fn playing(self, controller: &mut Controller, now: Point) {
        let Some(session) = self.find(controller) else { return };
        session.state = SessionState::Playing;
        let streamer_index = session.streamer;
        if let Some(streamer) = controller.streamers.get_mut(streamer_index) {
            streamer.add_evidence(now, SUCCESS_LOG_ODDS);
        }
    }

    /// The rung in force, as the streamer reports it.
    pub fn rung_reported(self, controller: &mut Controller, now: Point, rung: usize) {
        let Some(session) = self.find(controller) else { return };
        let (streamer_index, old_rung) = (session.streamer, session.rung);
        let rung = rung.min(session.max_rung).max(session.min_rung);
        let old_load = controller.added_load(self.slot, streamer_index, old_rung);
        let new_load = controller.added_load(self.slot, streamer_index, rung);
        controller.sessions[self.slot].rung = rung;
        controller.record_change(now, streamer_index, new_load.0 - old_load.0, new_load.1 - old_load.1);
    }

    /// The streamer delivers only this share of the rates.
    pub fn shortfall_reported(self, controller: &mut Controller, now: Point, share: f64) {
        let Some(session) = self.find(controller) else { return };
        let streamer_index = session.streamer;
        if share >= MAX_UTILIZATION || !controller.streamers.contains(streamer_index) {
            return;
        }
        let utilization = 1.0 / share.max(0.3);
        // A link that delivers too little although it has spare rate is limited by its uplink, where that is
        // reported to be full.
        let uplink = controller.uplink_utilization(now, streamer_index);
        let limited_by_uplink =
            uplink > TARGET_UTILIZATION && uplink > controller.link_utilization(now, streamer_index);
        let load = if limited_by_uplink { Load::of_uplink(utilization) } else { Load::of_link(utilization) };
        let age = get_span(&controller.policy.settings, "notes.age");
        controller.apply_load(now, streamer_index, load, age, 1.0);
    }

    /// The streamer reports the utilization of its link or its rack's uplink.
    pub fn load_reported(self, controller: &mut Controller, now: Point, load: Load) {
        let Some(session) = self.find(controller) else { return };
        let (streamer_index, just_changed) = (session.streamer, now - session.changed_at < TICK_INTERVAL);
        let age = if just_changed { Span::ZERO } else { get_span(&controller.policy.settings, "notes.age") };
        controller.apply_load(now, streamer_index, load, age, 1.0);
    }

    /// An attempt got no answer in time, or its connection became unusable, and it may still run. This counts
    /// against its streamer now, and not again when `attempt_ended` follows. True where another attempt can follow,
    /// which must wait until this one is proven over; false where `attempt_ended` decides the session for good.
    pub fn attempt_in_doubt(self, controller: &mut Controller, now: Point) -> bool {
        let Some(session) = self.find(controller) else { return false };
        let (streamer_index, class) = (session.streamer, session.class);
        let counted_before = std::mem::replace(&mut session.failure_counted, true);
        if let Some(streamer) = controller.streamers.get_mut(streamer_index).filter(|_| !counted_before) {
            streamer.add_evidence(now, FAILURE_LOG_ODDS);
        }
        !controller.classes[class].at_most_once
            && controller.has_attempts_left(now, &controller.sessions[self.slot])
    }

    /// An attempt or its stream ended, with the load that was reported; after a `terminal` end the session is over.
    pub fn attempt_ended(
        self,
        controller: &mut Controller,
        now: Point,
        outcome: AttemptOutcome,
        terminal: bool,
        load: Load,
    ) {
        let Some(session) = self.find(controller) else { return };
        let (streamer_index, rung, class) = (session.streamer, session.rung, session.class);
        let was_placed = session.is_placed();
        let is_finished = terminal || matches!(session.state, SessionState::Playing | SessionState::Left);
        let (was_playing, first_error_streamer) =
            (session.state == SessionState::Playing, session.first_error_streamer);
        let failure_counted = std::mem::take(&mut session.failure_counted);
        if outcome == AttemptOutcome::Errored {
            session.first_error_streamer =
                Some(if first_error_streamer.is_none() { streamer_index } else { usize::MAX });
        }
        session.may_have_run |= !matches!(
            outcome,
            AttemptOutcome::Refused | AttemptOutcome::NoConnection | AttemptOutcome::NotSent
        );
        session.state = SessionState::Waiting;
        if was_placed {
            let (kb, count) = controller.added_load(self.slot, streamer_index, rung);
            controller.record_change(now, streamer_index, -kb, -count);
        }
        if let Some(streamer) = controller.streamers.get_mut(streamer_index) {
            match outcome {
                // The process that ran a broken stream is gone: the streamer restarts cold, if at all. A lost
                // connection of an attempt is no sign of that: otherwise after one reset a healthy streamer
                // stays unused.
                AttemptOutcome::ConnectionLost if was_playing => {
                    streamer.add_evidence(now, FAILURE_LOG_ODDS);
                    streamer.started_at = streamer.started_at.max(Some(now));
                }
                // A request that fails at one streamer after the other is at fault itself, so the evidence of its
                // first error is taken back: otherwise some unknown titles exclude a third of the fleet.
                AttemptOutcome::Errored
                    if first_error_streamer.is_some_and(|first| first != streamer_index) =>
                {
                    let first = first_error_streamer.and_then(|first| controller.streamers.get_mut(first));
                    first.into_iter().for_each(|streamer| streamer.add_evidence(now, -FAILURE_LOG_ODDS));
                }
                _ if failure_counted => {}
                AttemptOutcome::Errored
                | AttemptOutcome::TimedOut
                | AttemptOutcome::NoConnection
                | AttemptOutcome::ConnectionLost => {
                    streamer.add_evidence(now, FAILURE_LOG_ODDS);
                }
                AttemptOutcome::Refused => streamer.full_until = now + Span::of(1.0),
                _ => {}
            }
        }
        // The load that comes with a refusal is taken as exact: otherwise attempt follows attempt at full streamers.
        let weight = if outcome == AttemptOutcome::Refused { 1.0 } else { ANSWER_LOAD_WEIGHT };
        controller.apply_load(now, streamer_index, load, ANSWER_LOAD_AGE, weight);
        if is_finished {
            controller.sessions.remove(self.slot);
        } else if controller.sessions[self.slot].may_have_run && controller.classes[class].at_most_once {
            controller.reject_or_fail(self.slot);
        } else {
            controller.place_session(now, self.slot);
        }
    }

    /// No further attempt: the session has its final answer now, or when the outstanding attempt ends.
    pub fn stop_retrying(self, controller: &mut Controller, now: Point) {
        let Some(session) = self.find(controller) else { return };
        session.deadline = session.deadline.min(now);
        if session.state == SessionState::Waiting {
            controller.reject_or_fail(self.slot);
        }
    }

    /// The viewer left; an outstanding attempt keeps its place until it ends.
    pub fn viewer_left(self, controller: &mut Controller) {
        let Some(session) = self.find(controller) else { return };
        if session.state == SessionState::Waiting {
            controller.sessions.remove(self.slot);
        } else {
            session.state = SessionState::Left;
        }
    }
}
