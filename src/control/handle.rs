//! What callers tell of one subscription: how its attempts and its stream go, and how they end.

use super::*;

impl Handle {
    pub(super) fn find(self, on: &mut Controller) -> Option<&mut Subscription> {
        on.held.get_mut(self.place).filter(|s| s.serial == self.serial)
    }

    /// The subscription plays.
    pub fn plays(self, on: &mut Controller, now: Point) {
        let Some(held) = self.find(on) else { return };
        held.state = State::Playing;
        let at = held.streamer;
        if let Some(streamer) = on.streamers.get_mut(at) {
            streamer.weigh(now, GOOD);
        }
    }

    /// The rung in force, as the streamer tells it.
    pub fn at_rung(self, on: &mut Controller, now: Point, rung: usize) {
        let Some(held) = self.find(on) else { return };
        let (at, before, rung) = (held.streamer, held.rung, rung.min(held.top).max(held.floor));
        let (less, more) = (on.takes(self.place, at, before), on.takes(self.place, at, rung));
        on.held[self.place].rung = rung;
        on.book(now, at, more.0 - less.0, more.1 - less.1);
    }

    /// The streamer delivers only this share of the rates.
    pub fn short(self, on: &mut Controller, now: Point, share: f64) {
        let Some(held) = self.find(on) else { return };
        let at = held.streamer;
        if share >= BRIM || !on.streamers.contains(at) {
            return;
        }
        let full = 1.0 / share.max(0.3);
        // A link that is told to have room, and yet delivers short, stands behind an uplink told to be full.
        let uplink = on.uplink_fullness(now, at);
        let behind = uplink > FILL && uplink > on.fullness(now, at);
        let load = if behind { Load::of_uplink(full) } else { Load::of_link(full) };
        on.hear(now, at, load, get_span(&on.rules.sheet, "notes.age"), 1.0);
    }

    /// The streamer tells how full its link or its rack's uplink is.
    pub fn load(self, on: &mut Controller, now: Point, load: Load) {
        let Some(held) = self.find(on) else { return };
        let (at, set_up) = (held.streamer, now - held.changed < BEAT);
        let age = if set_up { Span::ZERO } else { get_span(&on.rules.sheet, "notes.age") };
        on.hear(now, at, load, age, 1.0);
    }

    /// A shot got no answer in its time, or its connection is of no more use, and it may still be out. This counts
    /// against its streamer now, and no more when `ended` follows. True where another shot may follow, which must
    /// wait until this one is proven over; false where `ended` decides the subscription for good.
    pub fn in_doubt(self, on: &mut Controller, now: Point) -> bool {
        let Some(held) = self.find(on) else { return false };
        let (at, lane, counted) = (held.streamer, held.lane, std::mem::replace(&mut held.counted, true));
        if let Some(streamer) = on.streamers.get_mut(at).filter(|_| !counted) {
            streamer.weigh(now, BAD);
        }
        !on.lanes[lane].paid && on.has_shots_left(now, &on.held[self.place])
    }

    /// A shot or its stream ended; `over` says that the subscription is finished with it.
    pub fn ended(self, on: &mut Controller, now: Point, ending: AttemptOutcome, over: bool, load: Load) {
        let Some(held) = self.find(on) else { return };
        let (at, rung, lane, seated) = (held.streamer, held.rung, held.lane, held.seated());
        let finished = over || matches!(held.state, State::Playing | State::Left);
        let (played, blamed) = (held.state == State::Playing, held.blamed);
        let counted = std::mem::take(&mut held.counted);
        if ending == AttemptOutcome::Errored {
            held.blamed = Some(if blamed.is_none() { at } else { usize::MAX });
        }
        held.may_have_run |= !matches!(
            ending,
            AttemptOutcome::Refused | AttemptOutcome::NoConnection | AttemptOutcome::NotSent
        );
        held.state = State::Waiting;
        if seated {
            let (kb, count) = on.takes(self.place, at, rung);
            on.book(now, at, -kb, -count);
        }
        if let Some(streamer) = on.streamers.get_mut(at) {
            match ending {
                // A broken stream was held by a process that is no more: it restarts cold, if at all. A shot
                // that broke on its way says nothing of it. Symptom: one reset, and a sound streamer unused.
                AttemptOutcome::ConnectionLost if played => {
                    streamer.weigh(now, BAD);
                    streamer.started = streamer.started.max(Some(now));
                }
                // A wish that fails at one streamer after the other is at fault itself: its first error is
                // taken back. Symptom: some titles that nobody knows, and a third of the fleet condemned.
                AttemptOutcome::Errored if blamed.is_some_and(|first| first != at) => {
                    let first = blamed.and_then(|first| on.streamers.get_mut(first));
                    first.into_iter().for_each(|streamer| streamer.weigh(now, -BAD));
                }
                _ if counted => {}
                AttemptOutcome::Errored
                | AttemptOutcome::TimedOut
                | AttemptOutcome::NoConnection
                | AttemptOutcome::ConnectionLost => {
                    streamer.weigh(now, BAD);
                }
                AttemptOutcome::Refused => streamer.full_until = now + Span::of(1.0),
                _ => {}
            }
        }
        // A streamer that sends a shot back means what it says. Symptom: shot after shot at full streamers.
        let part = if ending == AttemptOutcome::Refused { 1.0 } else { ANSWER_PART };
        on.hear(now, at, load, ANSWER_AGE, part);
        if finished {
            on.held.remove(self.place);
        } else if on.held[self.place].may_have_run && on.lanes[lane].paid {
            on.give_up(self.place);
        } else {
            on.place(now, self.place);
        }
    }

    /// The subscription gets no other shot: it has its final answer at once where none is out, else when that one ends.
    pub fn conclude(self, on: &mut Controller, now: Point) {
        let Some(held) = self.find(on) else { return };
        held.cut_off = held.cut_off.min(now);
        if held.state == State::Waiting {
            on.give_up(self.place);
        }
    }

    /// The viewer left; a shot that is still out keeps its place until it ends.
    pub fn left(self, on: &mut Controller) {
        let Some(held) = self.find(on) else { return };
        if held.state == State::Waiting {
            on.held.remove(self.place);
        } else {
            held.state = State::Left;
        }
    }
}
