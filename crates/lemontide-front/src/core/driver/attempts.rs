//! The driver's part of shots: each is sent, ends once, and the module is told the truth of it. Another one follows only
//! with a proof that the last is over.

use super::*;

impl Driver {
    pub(super) fn shoot(&mut self, now: Point, shot: &NewAttempt) {
        let id = shot.session;
        let Some(at) = self.by_name.get(&*shot.streamer).copied() else { return };
        let Some(held) = self.held.get_mut(&id) else { return };
        let (number, lane, rung) = (held.shots, held.lane, held.rung);
        let deadline = now + shot.timeout;
        // A decision is of its moment: a set-up that can't leave soon goes back to the module.
        let not_after = deadline.min(now + self.terms.dial_timeout);
        held.shots += 1;
        held.at = at;
        held.out = Some(Out { number, deadline, not_after, handed: None, given_up: None });
        let order = ControllerMessage::SetUp(SetUp {
            id,
            shot: number,
            ask: held.ask.clone(),
            title: held.title.clone(),
            lane: self.terms.lanes[lane].0.clone(),
            rung: rung as u32,
            rate_kb: self.rate_kb(lane, rung).round() as u32,
            within_ms: (shot.timeout.seconds() * 1e3).max(0.0) as u32,
        });
        if let Some(held) = self.held.get(&id) {
            self.explain(now, "shot", held);
        }
        if shot.timeout <= Span::ZERO || self.known[at].entry.state != list::StreamerState::Ready {
            return self.end_shots(now, at, vec![(id, number)], AttemptOutcome::NotSent);
        }
        if self.known[at].link.can_dial(now) {
            self.dial(now, at);
        }
        let link = &mut self.known[at].link;
        if !link.is_up() && !link.is_dialling() {
            return self.end_shots(now, at, vec![(id, number)], AttemptOutcome::NoConnection);
        }
        if !link.push(QueuedMessage {
            message: order,
            attempt: Some((id, number)),
            not_after: Some(not_after),
        }) {
            return self.end_shots(now, at, vec![(id, number)], AttemptOutcome::NotSent);
        }
        self.due.push(Reverse((not_after, id, number)));
        self.pump(now, at);
    }

    /// A shot's moment came: it was not written in time, or not answered in time.
    pub(super) fn overdue(&mut self, now: Point, id: u32, shot: u32) {
        let Some(held) = self.held.get(&id) else { return };
        let Some(out) = held.out.as_ref().filter(|out| out.number == shot) else { return };
        let (at, ask) = (held.at, held.ask.clone());
        if let Some(given_up) = out.given_up {
            if now >= held.cut_off {
                self.ended(now, id, given_up.outcome, Load::default());
            }
        } else if out.handed.is_none() {
            if now >= out.not_after {
                self.known[at].link.withdraw((id, shot));
                self.end_shots(now, at, vec![(id, shot)], AttemptOutcome::NoConnection);
            }
        } else if now >= out.deadline {
            let left = held.left;
            self.effects.push(Effect::Tap(TapEvent::AttemptAbandoned { request_id: ask, attempt: shot }));
            if left {
                return self.ended(now, id, AttemptOutcome::TimedOut, Load::default());
            }
            let dial = self.known[at].link.dial;
            self.order(now, at, ControllerMessage::Cancel(Cancel { id, shot, why: Why::TimedOut.into() }));
            let test = self.is_current(at, dial).then(|| self.ping(now, at));
            let waits = |held: &Held| held.out.as_ref().is_some_and(|out| out.given_up.is_none());
            if self.held.get(&id).is_some_and(waits) {
                self.in_doubt(now, id, AttemptOutcome::TimedOut, test);
            }
        }
    }

    /// An attempt that has begun is given up. The module may place the wish anew once the attempt is proven over;
    /// where it would not do so anyway, the wish is decided at once.
    pub(super) fn in_doubt(&mut self, now: Point, id: u32, ending: AttemptOutcome, test: Option<u64>) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let (handle, at, cut_off) = (held.handle, held.at, held.cut_off);
        let Some(out) = held.out.as_mut() else { return };
        let dial = self.known.get(at).map_or(0, |known| known.link.dial);
        let on = Connection { link: at as u64, dial };
        let (number, handed) = (out.number, out.handed);
        out.given_up = Some(AbandonedAttempt {
            connection: on,
            connection_closed: false,
            is_first_attempt: true,
            outcome: ending,
            test,
        });
        tracing::debug!(target: "attempt", ask = held.ask, number, ?on, ?ending, ?test, "given up, not proven over");
        let left = held.left;
        self.count_end(now, at, handed, ending, false);
        if left || !handle.attempt_in_doubt(&mut self.module, now) {
            return self.ended(now, id, ending, Load::default());
        }
        self.due.push(Reverse((cut_off, id, number)));
    }

    /// Something was heard of a connection that may prove attempts over.
    pub(super) fn learn_evidence(&mut self, now: Point, on: Connection, evidence: Evidence) {
        let proven = |held: &Held| {
            let given_up = held.out.as_ref()?.given_up?;
            Some((given_up.outcome, given_up.proof(on, evidence)?))
        };
        let proven: Vec<_> = self.held.iter().filter_map(|(id, held)| Some((*id, proven(held)?))).collect();
        for (id, (ending, proof)) in proven {
            tracing::debug!(target: "attempt", ask = self.held[&id].ask, ?on, ?ending, ?proof, "over");
            self.ended(now, id, ending, Load::default());
        }
    }

    pub(super) fn waits_for(&mut self, at: usize, id: u32, shot: u32) -> Option<&mut Held> {
        let held = self.held.get_mut(&id).filter(|held| held.at == at)?;
        let out = held.out.as_ref().filter(|out| out.number == shot && out.given_up.is_none());
        out.is_some_and(|out| out.handed.is_some()).then_some(held)
    }

    /// These shots never left: they are ended as such, where they are still waited for.
    pub(super) fn end_shots(
        &mut self,
        now: Point,
        at: usize,
        shots: Vec<(u32, u32)>,
        ending: AttemptOutcome,
    ) {
        for (id, number) in shots {
            let held = self.held.get(&id).filter(|held| held.at == at);
            let out = held.and_then(|held| held.out.as_ref());
            if out.is_some_and(|out| out.number == number) {
                self.ended(now, id, ending, Load::default());
            }
        }
    }

    /// A shot, or the stream that came of it, ended: the module is told, and what plays is over. A shot that was
    /// handed to a socket must be proven over, unless it was the last.
    pub(super) fn ended(&mut self, now: Point, id: u32, ending: AttemptOutcome, load: Load) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let out = held.out.take();
        held.last = Some(ending);
        let (handle, playing, left, at) = (held.handle, held.playing, held.left, held.at);
        // One that was given up is counted already.
        if out.as_ref().is_none_or(|out| out.given_up.is_none()) {
            self.count_end(now, at, out.and_then(|out| out.handed), ending, playing);
        }
        handle.attempt_ended(&mut self.module, now, ending, playing, load);
        if playing || left {
            self.held.remove(&id);
        }
        if playing && !left {
            let why =
                if ending == AttemptOutcome::Served { EndReason::Served } else { EndReason::ConnectionLost };
            self.effects.push(Effect::News { id, news: SessionEvent::Ended { reason: why } });
        }
    }

    /// Counts the end of a shot, or of the stream that came of it, for its streamer.
    pub(super) fn count_end(
        &mut self,
        now: Point,
        at: usize,
        handed: Option<Point>,
        ending: AttemptOutcome,
        playing: bool,
    ) {
        self.landed(now, at, handed, ending);
        let against = !matches!(
            ending,
            AttemptOutcome::Served
                | AttemptOutcome::Cancelled
                | AttemptOutcome::NotSent
                | AttemptOutcome::Unknown
        );
        if let Some(together) = self.together.as_mut().filter(|_| against) {
            together.avoid_streamer(now, at);
        }
        // Streams that end well say no more than their start did; one lost streamer is one failure, not hundreds.
        if !playing {
            self.saw(at, ending);
        }
    }

    /// A set-up that was handed to a link is no longer under way.
    pub(super) fn landed(&mut self, now: Point, at: usize, handed: Option<Point>, ending: AttemptOutcome) {
        let Some(handed) = handed else { return };
        let Some(flight) = self.known.get_mut(at).and_then(|known| known.link.set_up_limit.as_mut()) else {
            return;
        };
        match ending {
            AttemptOutcome::Served => flight.record_answer(now, Some(now - handed)),
            // Too many at once: it said so, or said nothing.
            AttemptOutcome::Refused | AttemptOutcome::TimedOut => flight.record_answer(now, None),
            // This tells of its health, which is the module's to judge, and nothing of its room.
            _ => flight.release(),
        }
        self.pump(now, at);
    }

    /// Asks a streamer for a word; the number that it comes back with.
    pub(super) fn ping(&mut self, now: Point, at: usize) -> u64 {
        self.nonce += 1;
        let nonce = self.nonce;
        self.order(now, at, ControllerMessage::Ping(Ping { nonce }));
        nonce
    }
}
