//! The dispatcher's part of attempts: each is sent, ends once, and the module is told the truth of it. The module places a
//! request anew only from `attempt_over`, which takes the proof that the last attempt is over, and from `out_of_time`,
//! after which there is no other.

use super::*;

/// A connection on which a set-up got no answer must pass a test within this time, or it is of no more use.
const TEST_WAIT: Span = Span::of_millis(400);

impl Dispatcher {
    /// Takes back an attempt that has not begun, wherever it waits; true where it now never will.
    fn withdraw(&mut self, id: u32, attempt: &Attempt) -> bool {
        if !attempt.permit.withdraw() {
            return false;
        }
        if let Some(wire) = self.wires.get_mut(&attempt.on.link) {
            wire.open = wire.open.saturating_sub(1);
            wire.link.withdraw((id, attempt.number));
        }
        true
    }

    /// Gives up an attempt that has begun; what is known of its end. Nothing is written yet.
    fn give_up(&mut self, attempt: &mut Attempt, ending: AttemptOutcome) -> GivenUp {
        let (on, is_first) = (attempt.on, attempt.is_first);
        if let Some(wire) = self.wires.get_mut(&on.link).filter(|_| attempt.given_up.is_none()) {
            wire.open = wire.open.saturating_sub(1);
        }
        *attempt.given_up.get_or_insert(GivenUp { on, is_closed: false, is_first, ending, test: None })
    }

    /// Tells a streamer that an attempt is given up, and sends a test behind it, whose number is returned: once it is
    /// passed, the streamer has read that far. Where the connection takes no more, its close gives the attempt up.
    fn write_end(&mut self, now: Point, session: u64, on: Connection) -> Option<u64> {
        if !self.is_current(on) {
            return None;
        }
        self.order(now, on.link, Message { session, body: Body::release(cause::NORMAL) });
        self.is_current(on).then(|| self.send_test(now, on.link))
    }

    /// Remembers an attempt that may still be out though its request is over, and to end it.
    fn remember_unproven(&mut self, now: Point, at: Arc<str>, session: u64, attempt: GivenUp) {
        self.end_unproven(now, at, session, &attempt);
        if self.unproven.len() >= OVER_MOST {
            self.unproven.pop_front();
        }
        self.unproven.push_back(Unproven { session, attempt, until: now + UNPROVEN_FOR });
    }

    /// Whether an attempt under this session may still be out, its stream may still stand, or its streamer may still
    /// release it, though nothing in hand has it.
    pub(super) fn is_unproven(&self, session: u64) -> bool {
        self.unproven.iter().any(|unproven| unproven.session == session)
            || self.ended.contains(session)
            || self.ends.iter().any(|end| end.session == session)
    }

    /// Ends what is out of a request whose viewer is gone; how it is told to the module.
    pub(super) fn abandon(
        &mut self,
        now: Point,
        id: u32,
        held: &Held,
        mut attempt: Attempt,
    ) -> AttemptOutcome {
        let session = held.session;
        if self.withdraw(id, &attempt) {
            return AttemptOutcome::NotSent;
        }
        let is_new = attempt.given_up.is_none();
        let mut attempt = self.give_up(&mut attempt, AttemptOutcome::Cancelled);
        if is_new {
            attempt.test = self.write_end(now, session, attempt.on);
        }
        self.remember_unproven(now, held.at.clone(), session, attempt);
        AttemptOutcome::Cancelled
    }

    pub(super) fn remove(&mut self, now: Point, id: u32) -> Option<Held> {
        let held = self.held.remove(&id)?;
        self.by_session.remove(&held.session);
        if held.has_begun() {
            self.ended.insert(now, held.session);
        }
        if held.playing.is_none() {
            if let Some(conn) = self.conns.get_mut(&held.conn) {
                conn.open = conn.open.saturating_sub(1);
            }
        }
        Some(held)
    }

    pub(super) fn plays(&mut self, now: Point, id: u32, description: Bytes, load: Load) {
        let Some(held) = self.held.get_mut(&id) else { return };
        held.begun = held.attempt.as_ref().and_then(|attempt| attempt.permit.begun_at());
        let steps = Self::steps(held, Outcome::Plays, now);
        if let Some(attempt) = held.attempt.take() {
            held.carrier = Some(attempt.on);
            if let Some(wire) = self.wires.get_mut(&attempt.on.link) {
                wire.open = wire.open.saturating_sub(1);
            }
        }
        held.playing = Some(now);
        held.set_up.description = Bytes::new();
        let (handle, conn, session, reply) = (held.handle, held.conn, held.session, held.reply.take());
        tracing::debug!(target: "decision", session = format!("{session:016x}"), streamer = &*held.at, answered = true);
        handle.playing(&mut self.module, now);
        if load.link_utilization.is_some() || load.uplink_utilization.is_some() {
            handle.load_reported(&mut self.module, now, load);
        }
        if let Some(reply) = reply {
            self.answer(reply, Body::Answer { description, load: Load::default() }, steps);
        }
        if let Some(from) = self.conns.get_mut(&conn) {
            from.open = from.open.saturating_sub(1);
            from.good = true;
        }
        for (until, message) in std::mem::take(&mut self.owed) {
            if now <= until {
                self.effects.push(Effect::Say { conn, message, stood: true, reply: None, steps: None });
            }
        }
    }

    /// An attempt's moment came: it was not written in time, or not answered in time, or the request's time is over
    /// before it is proven over.
    pub(super) fn overdue(&mut self, now: Point, id: u32, number: u32) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let (session, until) = (held.session, held.until);
        let Some(attempt) = held.attempt.as_ref().filter(|attempt| attempt.number == number) else { return };
        let (on, has_begun) = (attempt.on, attempt.permit.has_begun());
        if attempt.given_up.is_some() {
            if now >= until {
                self.out_of_time(now, id);
            }
        } else if !has_begun && now >= attempt.not_after {
            self.never_began(now, vec![(id, number)], AttemptOutcome::NoConnection);
        } else if has_begun && now >= attempt.deadline {
            self.give_up_in_hand(id, AttemptOutcome::TimedOut);
            let test = self.write_end(now, session, on);
            self.suspect(now, on);
            let attempt = self.held.get_mut(&id).and_then(|held| held.attempt.as_mut());
            if let Some(given_up) = attempt.and_then(|attempt| attempt.given_up.as_mut()) {
                given_up.test = test;
            }
            self.in_doubt(now, id);
        }
    }

    /// A set-up got no answer on a connection: it must say something soon.
    fn suspect(&mut self, now: Point, on: Connection) {
        if !self.is_current(on) {
            return;
        }
        if let Some(wire) = self.wires.get_mut(&on.link) {
            wire.suspect = wire.suspect.or(Some(now + TEST_WAIT));
        }
    }

    /// Gives up the attempt of a request in hand; nothing is written yet.
    pub(super) fn give_up_in_hand(&mut self, id: u32, ending: AttemptOutcome) {
        let Some(mut attempt) = self.held.get_mut(&id).and_then(|held| held.attempt.take()) else { return };
        self.give_up(&mut attempt, ending);
        if let Some(held) = self.held.get_mut(&id) {
            held.attempt = Some(attempt);
        }
    }

    /// An attempt is given up and may still be out. The module may place the request anew once it is proven over; where
    /// it would not do so anyway, the request is decided at once.
    pub(super) fn in_doubt(&mut self, now: Point, id: u32) {
        let Some(held) = self.held.get(&id) else { return };
        let (handle, session, until) = (held.handle, held.session, held.until);
        let Some(attempt) = held.attempt.as_ref() else { return };
        let (number, given_up) = (attempt.number, attempt.given_up);
        tracing::debug!(
            target: "attempt", session = format!("{session:016x}"), number, ?given_up, "given up, not proven over"
        );
        if !handle.attempt_in_doubt(&mut self.module, now) {
            return self.out_of_time(now, id);
        }
        self.due.push(Reverse((until, id, number)));
    }

    /// A request gets no other attempt, though its last is not proven over: the module gives its final answer.
    fn out_of_time(&mut self, now: Point, id: u32) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some(given_up) = held.attempt.take().and_then(|attempt| attempt.given_up) else { return };
        let (session, at) = (held.session, held.at.clone());
        self.remember_unproven(now, at, session, given_up);
        self.tell_ended(now, id, given_up.ending, Load::default());
    }

    /// Something was heard of a connection that may prove attempts over: of one session, or of all that were there.
    pub(super) fn learn_evidence(
        &mut self,
        now: Point,
        on: Connection,
        session: Option<u64>,
        evidence: Evidence,
    ) {
        self.ends.retain(|end| !end.is_read(on, session, evidence));
        let concerns = |of: u64| session.is_none_or(|session| session == of);
        self.unproven
            .retain(|unproven| !concerns(unproven.session) || unproven.attempt.proof(on, evidence).is_none());
        let proven = |held: &Held| {
            let given_up = held.attempt.as_ref()?.given_up.filter(|_| concerns(held.session))?;
            Some((given_up.ending, given_up.proof(on, evidence)?))
        };
        let proven: Vec<_> = self.held.iter().filter_map(|(id, held)| Some((*id, proven(held)?))).collect();
        for (id, (ending, proof)) in proven {
            self.attempt_over(now, id, ending, Load::default(), proof);
        }
    }

    /// A streamer closed a connection: it reads nothing more that came on it, and has given up what was being set up
    /// there. What it had set up may stand all the same, as its answer may be lost with the connection; so the ends go
    /// to it once more, on another.
    pub(super) fn closed_by_streamer(&mut self, now: Point, on: Connection) {
        for held in self.held.values_mut() {
            let given_up = held.attempt.as_mut().and_then(|attempt| attempt.given_up.as_mut());
            if let Some(given_up) = given_up.filter(|given_up| given_up.on == on) {
                given_up.is_closed = true;
            }
        }
        self.end_elsewhere(now);
    }

    /// Sends the ends of attempts whose streamer closed their connection on another one, where they are not on their
    /// way on one that is up.
    pub(super) fn end_elsewhere(&mut self, now: Point) {
        let waits = |held: &Held| {
            let given_up = held.attempt.as_ref()?.given_up?;
            (given_up.is_closed && !self.is_current(given_up.on)).then_some((held.session, held.at.clone()))
        };
        let waiting: Vec<_> = self.held.iter().filter_map(|(id, held)| Some((*id, waits(held)?))).collect();
        for (id, (session, at)) in waiting {
            let stage = self.known.get(&at).map(|known| known.entry.streamer_state());
            if stage.is_none_or(|stage| stage == StreamerState::Gone) {
                // It closed its connections, and the list says that it is no more.
                let attempt = self.held.get(&id).and_then(|held| held.attempt.as_ref());
                let Some(given_up) = attempt.and_then(|attempt| attempt.given_up) else { continue };
                self.attempt_over(now, id, given_up.ending, Load::default(), Proof::ProcessGone);
                continue;
            }
            let Some(link) = self.best_link(&at).or_else(|| self.redial(now, &at)) else { continue };
            let Some(dial) = self.wires.get(&link).map(|wire| wire.link.dial) else { continue };
            let on = Connection { link, dial };
            let test = self.write_end(now, session, on);
            let attempt = self.held.get_mut(&id).and_then(|held| held.attempt.as_mut());
            if let Some(given_up) = attempt.and_then(|attempt| attempt.given_up.as_mut()) {
                (given_up.on, given_up.test) = (on, test);
            }
        }
    }

    /// Takes back the attempts of a connection that have not begun.
    pub(super) fn withdraw_waiting(&mut self, link: u64) -> Vec<(u32, u32)> {
        let wire = self.wires.get_mut(&link);
        let _ = wire.map(|wire| wire.link.withdraw_set_ups());
        let waits = |held: &Held| {
            let attempt = held
                .attempt
                .as_ref()
                .filter(|attempt| attempt.on.link == link && attempt.given_up.is_none())?;
            attempt.permit.withdraw().then_some(attempt.number)
        };
        self.held.iter().filter_map(|(id, held)| Some((*id, waits(held)?))).collect()
    }

    /// These attempts never began, and never will: they are ended as such, where they are still waited for.
    pub(super) fn never_began(&mut self, now: Point, attempts: Vec<(u32, u32)>, ending: AttemptOutcome) {
        for (id, number) in attempts {
            let attempt = self.held.get(&id).and_then(|held| held.attempt.as_ref());
            let Some(attempt) =
                attempt.filter(|attempt| attempt.number == number && attempt.permit.withdraw())
            else {
                continue;
            };
            if let Some(wire) = self.wires.get_mut(&attempt.on.link) {
                wire.link.withdraw((id, number));
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
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some(attempt) = held.attempt.take() else { return };
        if proof.allows_a_later_release() && held.is_first_at(&held.at) {
            held.attempted_at.push(held.at.clone());
        }
        held.begun = attempt.permit.begun_at().or(held.begun);
        if let Some(wire) = self.wires.get_mut(&attempt.on.link).filter(|_| attempt.given_up.is_none()) {
            wire.open = wire.open.saturating_sub(1);
        }
        tracing::debug!(
            target: "attempt",
            session = format!("{:016x}", held.session), number = attempt.number, on = ?attempt.on, ?ending, ?proof, "over"
        );
        self.tell_ended(now, id, ending, load);
    }

    /// What plays is over: the module is told, and so is its viewer, where it is owed a release.
    pub(super) fn stream_over(&mut self, now: Point, id: u32, ending: AttemptOutcome, load: Load) {
        self.tell_ended(now, id, ending, load);
        let Some(held) = self.remove(now, id) else { return };
        match ending {
            AttemptOutcome::Served => self.release(now, held.conn, held.session, cause::NORMAL),
            // Its viewer ended it and is owed nothing.
            AttemptOutcome::Cancelled => {}
            _ => self.release(now, held.conn, held.session, cause::FAILED),
        }
    }

    /// Tells the module how an attempt, or what plays, ended.
    pub(super) fn tell_ended(&mut self, now: Point, id: u32, ending: AttemptOutcome, load: Load) {
        let Some(held) = self.held.get(&id) else { return };
        let (handle, plays) = (held.handle, held.playing.is_some());
        tracing::debug!(
            target: "decision",
            session = format!("{:016x}", held.session), streamer = &*held.at, ?ending, plays, ?load
        );
        handle.attempt_ended(&mut self.module, now, ending, plays, load);
    }

    /// Does what the module left to be done, until nothing is left.
    pub(super) fn carry_out(&mut self, now: Point) {
        loop {
            let mut results = std::mem::take(&mut self.module.actions);
            self.wake = results.next_tick.or(self.wake);
            let nothing = results == Default::default();
            for (id, rung) in results.rung_changes.drain(..) {
                self.set_rung(now, id, rung);
            }
            for shot in results.attempts.drain(..) {
                self.shoot(now, &shot);
            }
            for (id, after) in results.rejected.drain(..) {
                self.finish(now, id, viewers::turned_back(after), Outcome::Rejected);
            }
            for id in results.failed.drain(..) {
                self.finish(now, id, Body::release(cause::FAILED), Outcome::Failed);
            }
            for id in results.moved.drain(..) {
                let Some(held) = self.remove(now, id) else { continue };
                self.end_at(now, &held.at, held.session);
                held.handle.attempt_ended(
                    &mut self.module,
                    now,
                    AttemptOutcome::Cancelled,
                    true,
                    Load::default(),
                );
                self.say(held.conn, held.session, Body::Move);
            }
            if nothing {
                return;
            }
        }
    }

    /// The one answer of a wish that came to nothing.
    pub(super) fn finish(&mut self, now: Point, id: u32, body: Body, outcome: Outcome) {
        let Some(mut held) = self.remove(now, id) else { return };
        self.turn_away(held.conn, held.session);
        tracing::debug!(
            target: "decision",
            session = format!("{:016x}", held.session), lane = held.set_up.class, shots = held.shots, ?body
        );
        let steps = Self::steps(&held, outcome, now);
        if let Some(reply) = held.reply.take() {
            self.answer(reply, body, steps);
        }
    }

    pub(super) fn set_rung(&mut self, now: Point, id: u32, rung: usize) {
        let Some(held) = self.held.get_mut(&id) else { return };
        held.rung = rung;
        if held.playing.is_none() {
            return;
        }
        let (session, at, carrier) = (held.session, held.at.clone(), held.carrier);
        let link =
            carrier.filter(|on| self.is_current(*on)).map(|on| on.link).or_else(|| self.best_link(&at));
        let Some(link) = link else { return };
        self.order(now, link, Message { session, body: Body::Rung(rung) });
        let dial = self.wires.get(&link).map(|wire| wire.link.dial);
        if let Some(held) = self.held.get_mut(&id) {
            held.carrier = dial.map(|dial| Connection { link, dial });
        }
    }

    pub(super) fn shoot(&mut self, now: Point, shot: &NewAttempt) {
        let id = shot.session;
        let Some((at, known)) = self.known.get_key_value(&*shot.streamer) else {
            // Guards against a request that waits for ever for an attempt at somebody who is not there.
            return self.tell_ended(now, id, AttemptOutcome::NotSent, Load::default());
        };
        let (at, ready) = (at.clone(), known.entry.streamer_state() == StreamerState::Ready);
        let link = self.best_link(&at);
        let Some(held) = self.held.get_mut(&id) else { return };
        let deadline = now + shot.timeout;
        // A decision is of its moment: a set-up that can't leave soon goes back to the module.
        let not_after = deadline.min(now + self.terms.dial_timeout);
        let number = held.shots;
        held.shots += 1;
        held.decided = held.decided.or(Some(now));
        held.at = at.clone();
        let set_up = SetUp {
            wait_ms: (shot.timeout.seconds() * 1e3).max(0.0) as u64,
            rung: Some(held.rung),
            details: None,
            tenant: String::new(),
            is_retry: false,
            ..held.set_up.clone()
        };
        let permit = Permit::new();
        let message = Message { session: held.session, body: Body::SetUp(set_up) };
        let order = Order { message, permit: Some(permit.clone()) };
        tracing::debug!(
            target: "decision",
            session = format!("{:016x}", held.session), lane = held.set_up.class, shot = number,
            streamer = &*at, rung = held.rung, within_s = shot.timeout.seconds()
        );
        // No link has this number: it is not on one yet.
        let on = Connection { link: 0, dial: 0 };
        let is_first = held.is_first_at(&at);
        held.attempt = Some(Attempt { number, on, deadline, not_after, permit, is_first, given_up: None });
        if shot.timeout <= Span::ZERO || !ready {
            return self.never_began(now, vec![(id, number)], AttemptOutcome::NotSent);
        }
        let Some(link) = link.or_else(|| self.redial(now, &at)) else {
            // Where this process has no descriptor left, that tells nothing of the streamer.
            let why =
                if self.has_room_to_dial() { AttemptOutcome::NoConnection } else { AttemptOutcome::NotSent };
            return self.never_began(now, vec![(id, number)], why);
        };
        let Some(wire) = self.wires.get_mut(&link) else { return };
        let queued = Queued { order, shot: Some((id, number)), not_after: Some(not_after) };
        if wire.open >= self.terms.set_ups_a_link || !wire.link.push(queued) {
            return self.never_began(now, vec![(id, number)], AttemptOutcome::NotSent);
        }
        wire.open += 1;
        let (busy, dial) = (wire.open > 1, wire.link.dial);
        if let Some(attempt) = self.held.get_mut(&id).and_then(|held| held.attempt.as_mut()) {
            attempt.on = Connection { link, dial };
        }
        self.due.push(Reverse((not_after, id, number)));
        self.due.push(Reverse((deadline, id, number)));
        self.pump(now, link);
        if busy && self.known.get(&at).is_some_and(|known| known.links.len() < connections::LINKS_A_STREAMER)
        {
            self.add_link(now, &at);
        }
    }
}
