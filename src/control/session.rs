//! What callers report about one session: how its attempts and its stream go, and how they end.

use super::*;

impl SessionHandle {
    pub(super) fn find(self, on: &mut Controller) -> Option<&mut Session> {
        on.sessions.get_mut(self.place).filter(|s| s.serial == self.serial)
    }

    /// The session plays.
    pub fn playing(self, on: &mut Controller, now: Point) {
        let Some(held) = self.find(on) else { return };
        held.state = SessionState::Playing;
        let at = held.streamer;
        if let Some(streamer) = on.streamers.get_mut(at) {
            streamer.add_evidence(now, GOOD);
        }
    }

    /// The rung in force, as the streamer reports it.
    pub fn rung_reported(self, on: &mut Controller, now: Point, rung: usize) {
        let Some(held) = self.find(on) else { return };
        let (at, before, rung) = (held.streamer, held.rung, rung.min(held.max_rung).max(held.min_rung));
        let (less, more) = (on.added_load(self.place, at, before), on.added_load(self.place, at, rung));
        on.sessions[self.place].rung = rung;
        on.record_change(now, at, more.0 - less.0, more.1 - less.1);
    }

    /// The streamer delivers only this share of the rates.
    pub fn shortfall_reported(self, on: &mut Controller, now: Point, share: f64) {
        let Some(held) = self.find(on) else { return };
        let at = held.streamer;
        if share >= BRIM || !on.streamers.contains(at) {
            return;
        }
        let full = 1.0 / share.max(0.3);
        // A link that is told to have room, and yet delivers short, stands behind an uplink told to be full.
        let uplink = on.uplink_utilization(now, at);
        let behind = uplink > FILL && uplink > on.link_utilization(now, at);
        let load = if behind { Load::of_uplink(full) } else { Load::of_link(full) };
        on.apply_load(now, at, load, get_span(&on.policy.settings, "notes.age"), 1.0);
    }

    /// The streamer reports the utilization of its link or its rack's uplink.
    pub fn load_reported(self, on: &mut Controller, now: Point, load: Load) {
        let Some(held) = self.find(on) else { return };
        let (at, set_up) = (held.streamer, now - held.changed_at < BEAT);
        let age = if set_up { Span::ZERO } else { get_span(&on.policy.settings, "notes.age") };
        on.apply_load(now, at, load, age, 1.0);
    }

    /// An attempt got no answer in time, or its connection became unusable, and it may still run. This counts
    /// against its streamer now, and not again when `attempt_ended` follows. True where another attempt may follow,
    /// which must wait until this one is proven over; false where `attempt_ended` decides the session for good.
    pub fn attempt_in_doubt(self, on: &mut Controller, now: Point) -> bool {
        let Some(held) = self.find(on) else { return false };
        let (at, lane, counted) =
            (held.streamer, held.class, std::mem::replace(&mut held.failure_counted, true));
        if let Some(streamer) = on.streamers.get_mut(at).filter(|_| !counted) {
            streamer.add_evidence(now, BAD);
        }
        !on.classes[lane].at_most_once && on.has_attempts_left(now, &on.sessions[self.place])
    }

    /// An attempt or its stream ended; `over` says that the session is finished with it.
    pub fn attempt_ended(
        self,
        on: &mut Controller,
        now: Point,
        ending: AttemptOutcome,
        over: bool,
        load: Load,
    ) {
        let Some(held) = self.find(on) else { return };
        let (at, rung, lane, seated) = (held.streamer, held.rung, held.class, held.is_placed());
        let finished = over || matches!(held.state, SessionState::Playing | SessionState::Left);
        let (played, blamed) = (held.state == SessionState::Playing, held.first_error_at);
        let counted = std::mem::take(&mut held.failure_counted);
        if ending == AttemptOutcome::Errored {
            held.first_error_at = Some(if blamed.is_none() { at } else { usize::MAX });
        }
        held.may_have_run |= !matches!(
            ending,
            AttemptOutcome::Refused | AttemptOutcome::NoConnection | AttemptOutcome::NotSent
        );
        held.state = SessionState::Waiting;
        if seated {
            let (kb, count) = on.added_load(self.place, at, rung);
            on.record_change(now, at, -kb, -count);
        }
        if let Some(streamer) = on.streamers.get_mut(at) {
            match ending {
                // A broken stream was held by a process that is no more: it restarts cold, if at all. A shot
                // that broke on its way says nothing of it. Symptom: one reset, and a sound streamer unused.
                AttemptOutcome::ConnectionLost if played => {
                    streamer.add_evidence(now, BAD);
                    streamer.started_at = streamer.started_at.max(Some(now));
                }
                // A wish that fails at one streamer after the other is at fault itself: its first error is
                // taken back. Symptom: some titles that nobody knows, and a third of the fleet condemned.
                AttemptOutcome::Errored if blamed.is_some_and(|first| first != at) => {
                    let first = blamed.and_then(|first| on.streamers.get_mut(first));
                    first.into_iter().for_each(|streamer| streamer.add_evidence(now, -BAD));
                }
                _ if counted => {}
                AttemptOutcome::Errored
                | AttemptOutcome::TimedOut
                | AttemptOutcome::NoConnection
                | AttemptOutcome::ConnectionLost => {
                    streamer.add_evidence(now, BAD);
                }
                AttemptOutcome::Refused => streamer.full_until = now + Span::of(1.0),
                _ => {}
            }
        }
        // A streamer that sends a shot back means what it says. Symptom: shot after shot at full streamers.
        let part = if ending == AttemptOutcome::Refused { 1.0 } else { ANSWER_PART };
        on.apply_load(now, at, load, ANSWER_AGE, part);
        if finished {
            on.sessions.remove(self.place);
        } else if on.sessions[self.place].may_have_run && on.classes[lane].at_most_once {
            on.reject_or_fail(self.place);
        } else {
            on.place_session(now, self.place);
        }
    }

    /// No further attempt: the session has its final answer now, or when the outstanding attempt ends.
    pub fn stop_retrying(self, on: &mut Controller, now: Point) {
        let Some(held) = self.find(on) else { return };
        held.deadline = held.deadline.min(now);
        if held.state == SessionState::Waiting {
            on.reject_or_fail(self.place);
        }
    }

    /// The viewer left; an outstanding attempt keeps its place until it ends.
    pub fn viewer_left(self, on: &mut Controller) {
        let Some(held) = self.find(on) else { return };
        if held.state == SessionState::Waiting {
            on.sessions.remove(self.place);
        } else {
            held.state = SessionState::Left;
        }
    }
}
