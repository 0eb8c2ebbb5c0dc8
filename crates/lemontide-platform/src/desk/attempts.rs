//! The desk's part of attempts: each is sent, ends once, and the module is told the truth of it.

use super::*;

/// A connection on which a set-up got no answer must pass a test within this time, or it is of no more use.
const TEST_WAIT: Span = Span::of_millis(400);
/// The end of an attempt that is given up must be written within this time, or its connection is closed; and must
/// be closed within as long again, or the request goes on without.
const END_WAIT: Span = Span::of_millis(60);

impl Desk {
    /// Takes an attempt back, from the queue or from the streamer; what is then to be told of it, and the permit of
    /// the word that gives it up where one has to be written.
    pub(super) fn give_up(
        &mut self,
        now: Point,
        id: u32,
        session: u64,
        out: &Out,
    ) -> (Ending, Option<Permit>) {
        let (never_ran, wire) = (out.permit.withdraw(), self.wires.get_mut(&out.link));
        if let Some(wire) = wire {
            wire.open = wire.open.saturating_sub(1);
            if never_ran {
                wire.link.withdraw((id, out.number));
            }
        }
        if never_ran {
            return (Ending::NotSent, None);
        }
        if out.ending.is_some() {
            return (Ending::Cancelled, None);
        }
        let word = Permit::new();
        let message = Message { session, body: Body::release(cause::NORMAL) };
        (Ending::Cancelled, self.order_with(now, out.link, message, Some(word.clone())).then_some(word))
    }

    pub(super) fn remove(&mut self, id: u32) -> Option<Held> {
        let held = self.held.remove(&id)?;
        self.by_session.remove(&held.session);
        if held.playing.is_none() {
            if let Some(conn) = self.conns.get_mut(&held.conn) {
                conn.open = conn.open.saturating_sub(1);
            }
        }
        Some(held)
    }

    pub(super) fn plays(&mut self, now: Point, id: u32, description: Bytes, load: Load) {
        let Some(held) = self.held.get_mut(&id) else { return };
        held.begun = held.out.as_ref().and_then(|out| out.permit.begun_at());
        let steps = Self::steps(held, Outcome::Plays, now);
        if let Some(wire) = held.out.take().and_then(|out| self.wires.get_mut(&out.link)) {
            wire.open = wire.open.saturating_sub(1);
        }
        held.playing = Some(now);
        held.set_up.description = Bytes::new();
        let (handle, conn, session) = (held.handle, held.conn, held.session);
        tracing::debug!(target: "decision", session = format!("{session:016x}"), streamer = &*held.at, answered = true);
        handle.plays(&mut self.module, now);
        if load.link.is_some() || load.rack.is_some() {
            handle.load(&mut self.module, now, load);
        }
        self.answer(conn, session, Body::Answer { description, load: Load::default() }, steps);
        if let Some(from) = self.conns.get_mut(&conn) {
            from.open = from.open.saturating_sub(1);
            from.good = true;
        }
        for (until, message) in std::mem::take(&mut self.owed) {
            if now <= until {
                self.effects.push(Effect::Say { conn, message, stood: true, steps: None });
            }
        }
    }

    /// An attempt's moment came: it was not written in time, or not answered in time, or its end is not written.
    pub(super) fn overdue(&mut self, now: Point, id: u32, number: u32) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let (session, until) = (held.session, held.until);
        let Some(out) = held.out.take_if(|out| out.number == number) else { return };
        if out.ending.is_some() {
            let (link, dial) = (out.link, out.dial);
            held.out = Some(out);
            if self.is_current(link, dial) {
                // It does not take even a word: the close gives up what is out there.
                self.due.push(Reverse((now + END_WAIT, id, number)));
                return self.hang(now, link, Loss::Broke);
            }
            return self.end_given_up(now, id, number);
        }
        if now >= out.not_after && out.permit.withdraw() {
            self.give_up(now, id, session, &out);
            self.ended(now, id, Ending::NoConnection, Load::default());
        } else if out.permit.has_begun() && now >= out.deadline {
            let (link, word) = (out.link, self.give_up(now, id, session, &out).1);
            if let Some(wire) = self.wires.get_mut(&link).filter(|wire| wire.suspect.is_none()) {
                wire.suspect = Some(now + TEST_WAIT);
                self.order(now, link, Message { session: 0, body: Body::Test });
            }
            let wire = self.wires.get_mut(&link).filter(|_| now < until);
            let Some((wire, word)) = wire.zip(word) else {
                return self.ended(now, id, Ending::TimedOut, Load::default());
            };
            // Another attempt may follow: not before this one's end is written.
            wire.open += 1;
            wire.ends.push((id, number, word));
            let Some(held) = self.held.get_mut(&id) else { return };
            held.out = Some(Out { ending: Some(Ending::TimedOut), ..out });
            self.due.push(Reverse((now + END_WAIT, id, number)));
        } else {
            held.out = Some(out);
        }
    }

    /// The end of an attempt that was given up is written, or its connection is closed.
    pub(super) fn end_given_up(&mut self, now: Point, id: u32, number: u32) {
        let out = self.held.get(&id).and_then(|held| held.out.as_ref()).filter(|out| out.number == number);
        if let Some(ending) = out.and_then(|out| out.ending) {
            self.ended(now, id, ending, Load::default());
        }
    }

    /// Takes back the attempts of a connection that have not begun.
    pub(super) fn withdraw_waiting(&mut self, link: u64) -> Vec<(u32, u32)> {
        let wire = self.wires.get_mut(&link);
        let _ = wire.map(|wire| wire.link.withdraw_set_ups());
        let waits = |held: &Held| {
            let out = held.out.as_ref().filter(|out| out.link == link && out.ending.is_none())?;
            out.permit.withdraw().then_some(out.number)
        };
        self.held.iter().filter_map(|(id, held)| Some((*id, waits(held)?))).collect()
    }

    /// These shots never left: they are ended as such, where they are still waited for.
    pub(super) fn end_shots(&mut self, now: Point, shots: Vec<(u32, u32)>, ending: Ending) {
        for (id, number) in shots {
            let out = self.held.get(&id).and_then(|held| held.out.as_ref());
            if out.is_some_and(|out| out.number == number) {
                self.ended(now, id, ending, Load::default());
            }
        }
    }

    /// A shot, or the stream that came of it, ended: the module is told, and what plays is over.
    pub(super) fn ended(&mut self, now: Point, id: u32, ending: Ending, load: Load) {
        let Some(held) = self.held.get_mut(&id) else { return };
        if let Some(out) = held.out.take() {
            held.begun = out.permit.begun_at().or(held.begun);
            if let Some(wire) = self.wires.get_mut(&out.link) {
                wire.open = wire.open.saturating_sub(1);
            }
        }
        let (handle, plays) = (held.handle, held.playing.is_some());
        tracing::debug!(
            target: "decision",
            session = format!("{:016x}", held.session), streamer = &*held.at, ?ending, plays, ?load
        );
        handle.ended(&mut self.module, now, ending, plays, load);
        if !plays {
            return;
        }
        let Some(held) = self.remove(id) else { return };
        match ending {
            Ending::Served => self.release(now, held.conn, held.session, cause::NORMAL),
            // Its viewer ended it and is owed nothing.
            Ending::Cancelled => {}
            _ => self.release(now, held.conn, held.session, cause::BROKEN),
        }
    }

    /// Does what the module left to be done, until nothing is left.
    pub(super) fn carry_out(&mut self, now: Point) {
        loop {
            let mut results = std::mem::take(&mut self.module.results);
            self.wake = results.wake.or(self.wake);
            let nothing = results == Default::default();
            for (id, rung) in results.rungs.drain(..) {
                self.set_rung(now, id, rung);
            }
            for shot in results.shots.drain(..) {
                self.shoot(now, &shot);
            }
            for (id, after) in results.turned_back.drain(..) {
                self.finish(now, id, viewers::turned_back(after), Outcome::Rejected);
            }
            for id in results.scrapped.drain(..) {
                self.finish(now, id, Body::release(cause::BROKEN), Outcome::Failed);
            }
            for id in results.moved.drain(..) {
                let Some(held) = self.remove(id) else { continue };
                self.end_at(now, &held.at, held.session);
                held.handle.ended(&mut self.module, now, Ending::Cancelled, true, Load::default());
                self.say(held.conn, held.session, Body::Move);
            }
            if nothing {
                return;
            }
        }
    }

    /// The one answer of a wish that came to nothing.
    pub(super) fn finish(&mut self, now: Point, id: u32, body: Body, outcome: Outcome) {
        let Some(held) = self.remove(id) else { return };
        self.turn_away(held.conn, held.session);
        tracing::debug!(
            target: "decision",
            session = format!("{:016x}", held.session), lane = held.set_up.lane, shots = held.shots, ?body
        );
        let steps = Self::steps(&held, outcome, now);
        self.answer(held.conn, held.session, body, steps);
    }

    pub(super) fn set_rung(&mut self, now: Point, id: u32, rung: usize) {
        let Some(held) = self.held.get_mut(&id) else { return };
        held.rung = rung;
        if held.playing.is_none() {
            return;
        }
        let (session, at) = (held.session, held.at.clone());
        if let Some(link) = self.best_link(&at) {
            self.order(now, link, Message { session, body: Body::Rung(rung) });
        }
    }

    pub(super) fn shoot(&mut self, now: Point, shot: &Shot) {
        let id = shot.id;
        let Some((at, known)) = self.known.get_key_value(&*shot.streamer) else {
            // Guards against a request that waits for ever for an attempt at somebody who is not there.
            return self.ended(now, id, Ending::NotSent, Load::default());
        };
        let (at, ready) = (at.clone(), known.entry.stage() == Stage::Ready);
        let link = self.best_link(&at);
        let Some(held) = self.held.get_mut(&id) else { return };
        let deadline = now + shot.within;
        // A decision is of its moment: a set-up that can't leave soon goes back to the module.
        let not_after = deadline.min(now + self.terms.dial_timeout);
        let number = held.shots;
        held.shots += 1;
        held.decided = held.decided.or(Some(now));
        held.at = at.clone();
        let set_up = SetUp {
            wait_ms: (shot.within.seconds() * 1e3).max(0.0) as u64,
            rung: Some(held.rung),
            figures: None,
            tenant: String::new(),
            retry: false,
            ..held.set_up.clone()
        };
        let permit = Permit::new();
        let message = Message { session: held.session, body: Body::SetUp(set_up) };
        let order = Order { message, permit: Some(permit.clone()) };
        tracing::debug!(
            target: "decision",
            session = format!("{:016x}", held.session), lane = held.set_up.lane, shot = number,
            streamer = &*at, rung = held.rung, within_s = shot.within.seconds()
        );
        // No link has this number: it is not on one yet.
        held.out = Some(Out { number, link: 0, dial: 0, deadline, not_after, permit, ending: None });
        if shot.within <= Span::ZERO || !ready {
            return self.end_shots(now, vec![(id, number)], Ending::NotSent);
        }
        let Some(link) = link.or_else(|| self.redial(now, &at)) else {
            // Where this process has no descriptor left, that tells nothing of the streamer.
            let why = if self.has_room_to_dial() { Ending::NoConnection } else { Ending::NotSent };
            return self.end_shots(now, vec![(id, number)], why);
        };
        let Some(wire) = self.wires.get_mut(&link) else { return };
        let queued = Queued { order, shot: Some((id, number)), not_after: Some(not_after) };
        if wire.open >= self.terms.set_ups_a_link || !wire.link.push(queued) {
            return self.end_shots(now, vec![(id, number)], Ending::NotSent);
        }
        wire.open += 1;
        let (busy, dial) = (wire.open > 1, wire.link.dial);
        if let Some(out) = self.held.get_mut(&id).and_then(|held| held.out.as_mut()) {
            (out.link, out.dial) = (link, dial);
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
