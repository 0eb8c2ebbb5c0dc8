//! The dispatcher's part of connections to streamers: when one is dialled, what is written on it, what is heard on it.

use super::*;

/// Connections to one streamer at most: what breaks one takes few set-ups with it.
pub(super) const LINKS_A_STREAMER: usize = 4;
/// A streamer that can't be reached for so long no longer plays what stood there; the platform gives 8 s in all,
/// of which a silent connection takes three.
const DARK: Span = Span::of_millis(1200);
/// Connections whose streamer's close is awaited at a time, at most.
const CLOSING_MOST: usize = 32;

impl Dispatcher {
    /// Tells a streamer that what stands there is over; again, where the connection goes before the streamer is known
    /// to have read it. Guards against streams that nobody watches.
    pub(super) fn end_at(&mut self, now: Point, at: &Arc<str>, session: u64) {
        let mut end = End { at: at.clone(), session, until: now + OWED_FOR, sent: None, may_dial: true };
        self.send_end(now, &mut end);
        self.remember_end(end);
    }

    /// Remembers to end an attempt that was given up and may stand, though its request is over: its end may not be
    /// written yet, and is written again where its connection goes before the streamer is known to have read it.
    pub(super) fn end_unproven(&mut self, now: Point, at: Arc<str>, session: u64, attempt: &GivenUp) {
        let sent = attempt.test.map(|test| SentEnd { on: attempt.on, after_test: test.saturating_sub(1) });
        self.remember_end(End { at, session, until: now + OWED_FOR, sent, may_dial: false });
    }

    fn remember_end(&mut self, end: End) {
        if self.ends.len() >= OVER_MOST {
            self.ends.pop_front();
        }
        self.ends.push_back(end);
    }

    fn send_end(&mut self, now: Point, end: &mut End) {
        end.sent = None;
        let link = match self.best_link(&end.at) {
            None if end.may_dial => self.redial(now, &end.at),
            link => link,
        };
        let Some(link) = link else { return };
        let Some(dial) = self.wires.get(&link).map(|wire| wire.link.dial) else { return };
        let message = Message { session: end.session, body: Body::release(cause::NORMAL) };
        self.order(now, link, message);
        let on = Connection { link, dial };
        if self.is_current(on) {
            end.sent = Some(SentEnd { on, after_test: self.last_test });
        }
    }

    /// Sends again what may not have been read before its connection went.
    pub(super) fn end_again(&mut self, now: Point) {
        for mut end in std::mem::take(&mut self.ends) {
            if now > end.until || !self.known.contains_key(&end.at) {
                continue;
            }
            if !end.sent.as_ref().is_some_and(|sent| self.is_current(sent.on)) {
                self.send_end(now, &mut end);
            }
            self.ends.push_back(end);
        }
    }

    /// Sends a test; its number.
    pub(super) fn send_test(&mut self, now: Point, link: u64) -> u64 {
        self.last_test += 1;
        let test = self.last_test;
        self.order(now, link, Message { session: test, body: Body::Test });
        test
    }

    pub(super) fn is_current(&self, on: Connection) -> bool {
        let link = self.wires.get(&on.link).map(|wire| &wire.link);
        link.is_some_and(|link| link.dial == on.dial && (link.is_up() || link.is_dialling()))
    }

    /// A dial came through.
    pub fn linked(&mut self, now: Point, on: Connection) {
        if !self.is_current(on) {
            return;
        }
        let link = on.link;
        if let Some(wire) = self.wires.get_mut(&link) {
            wire.link.up(now);
            if let Some(known) = self.known.get_mut(&wire.at) {
                known.dark = None;
            }
        }
        self.pump(now, link);
    }

    /// A connection or a dial is of no more use; `closed` follows when its socket is closed.
    pub fn lost(&mut self, now: Point, on: Connection, loss: Loss) {
        if !self.is_current(on) {
            return;
        }
        let awaits_close = self.may_await_close(on, true);
        self.effects.push(Effect::Hang { on, awaits_close });
        if loss == Loss::Refused {
            self.learn_evidence(now, on, None, Evidence::Refused);
        }
        self.lose(now, on.link, loss);
        self.carry_out(now);
    }

    /// The socket of a connection is closed, by its streamer or by this end alone.
    pub fn closed(&mut self, now: Point, on: Connection, by_streamer: bool) {
        self.closing.remove(&on);
        if by_streamer {
            self.closed_by_streamer(now, on);
            self.carry_out(now);
        }
    }

    /// Whether a streamer's close of this connection is worth awaiting, as an attempt may be out there or, where it was
    /// heard of lately, a release on its way. It keeps its descriptor meanwhile.
    fn may_await_close(&mut self, on: Connection, is_alive: bool) -> bool {
        let Some(wire) = self.wires.get(&on.link).filter(|wire| wire.link.is_up()) else { return false };
        let at = wire.at.clone();
        let is_out = |held: &Held| {
            held.attempt.as_ref().is_some_and(|attempt| attempt.on == on && attempt.permit.has_begun())
        };
        let plays = |held: &Held| is_alive && held.playing.is_some() && held.at == at;
        let is_of_use = self.held.values().any(|held| is_out(held) || plays(held));
        let awaits = is_of_use && self.closing.len() < CLOSING_MOST;
        if awaits {
            self.closing.insert(on, at);
        }
        awaits
    }

    fn lose(&mut self, now: Point, link: u64, loss: Loss) {
        let chance = self.chance.random::<f64>();
        let waiting = self.withdraw_waiting(link);
        let Some(wire) = self.wires.get_mut(&link) else { return };
        let at = wire.at.clone();
        wire.link.down(now, chance);
        wire.suspect = None;
        wire.link.withdraw_all();
        tracing::info!(target: "streamers", streamer = &*at, ?loss, waiting = waiting.len(), "link lost");
        let begun = |held: &Held| {
            let attempt = held.attempt.as_ref();
            attempt.is_some_and(|attempt| {
                attempt.on.link == link && attempt.given_up.is_none() && attempt.permit.has_begun()
            })
        };
        let begun: Vec<u32> = self.held.iter().filter(|(_, held)| begun(held)).map(|(id, _)| *id).collect();
        for id in &begun {
            self.give_up_in_hand(*id, AttemptOutcome::ConnectionLost);
        }
        let others = |known: &Known, wires: &BTreeMap<u64, Wire>| {
            known.links.iter().any(|l| *l != link && wires.get(l).is_some_and(|wire| wire.link.is_up()))
        };
        let Some(known) = self.known.get_mut(&at) else { return };
        let alone = !others(known, &self.wires);
        if known.links.len() > 1 {
            known.links.retain(|l| *l != link);
        }
        let kept = known.links.contains(&link);
        let dark = alone.then(|| *known.dark.get_or_insert(now));
        let gone = known.entry.streamer_state() == StreamerState::Gone;
        let at_once = |wire: &Wire| wire.link.idle.is_none() && wire.link.may_dial(now);
        for id in begun {
            self.in_doubt(now, id);
        }
        self.never_began(now, waiting, AttemptOutcome::NoConnection);
        if !kept {
            self.wires.remove(&link);
        }
        // Standing subscriptions belong to no connection. They are over where nobody listens any more, where
        // nobody was reached for too long, and where nobody will be asked again.
        let unreached = loss == Loss::Dark && dark.is_some_and(|since| now - since >= DARK);
        if alone && (loss == Loss::Refused || unreached || gone) {
            self.cut(now, &at, |_| true);
        }
        if gone {
            self.forget(now, &at);
        } else if kept && loss == Loss::Broke && self.wires.get(&link).is_some_and(at_once) {
            self.dial(now, link);
        }
    }

    /// The orders of the last batch are written, but for these set-ups, whose time was over: they never ran.
    pub fn wrote(&mut self, now: Point, on: Connection, unsent: Vec<(u32, u32)>) {
        if !self.is_current(on) {
            return;
        }
        if let Some(wire) = self.wires.get_mut(&on.link) {
            wire.link.wrote();
        }
        self.never_began(now, unsent, AttemptOutcome::NotSent);
        self.carry_out(now);
        self.pump(now, on.link);
    }

    /// What a streamer's message proves of attempts that were given up on its connection.
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

    /// The streamer at the other end of a connection that is up, or closed by half.
    fn streamer_on(&self, on: Connection) -> Option<Arc<str>> {
        let current = self.wires.get(&on.link).filter(|_| self.is_current(on));
        current.map(|wire| &wire.at).or_else(|| self.closing.get(&on)).cloned()
    }

    /// A streamer's word.
    pub fn told(&mut self, now: Point, on: Connection, message: Message) {
        let Some(at) = self.streamer_on(on) else { return };
        if let Some((session, evidence)) = Self::evidence_of(&message) {
            self.learn_evidence(now, on, session, evidence);
            self.carry_out(now);
        }
        if self.is_current(on) {
            if let Some(wire) = self.wires.get_mut(&on.link) {
                wire.link.heard(now);
                wire.suspect = None;
            }
        }
        // What is said under a number that is not in hand at this streamer is somebody else's, or over.
        let id = self.by_session.get(&message.session).copied();
        let ours = id.and_then(|id| Some((id, self.held.get(&id).filter(|held| held.at == at)?)));
        let Some((id, held)) = ours else {
            if let (None, Body::Release { cause, .. }) = (id, &message.body) {
                self.remember(message.session, Over::AtStreamer(*cause));
            }
            return;
        };
        let (handle, plays) = (held.handle, held.playing.is_some());
        let waits = held.attempt.as_ref();
        let waits = waits.is_some_and(|attempt| {
            attempt.on == on && attempt.given_up.is_none() && attempt.permit.has_begun()
        });
        let is_first = held.is_first_at(&at);
        if let Body::Release { cause, .. } = &message.body {
            // Of a session that its viewer ended at once its streamer's news is in `playing_ms`.
            let playing_ms = held.playing.map(|since| ((now - since).seconds() * 1e6).round() / 1e3);
            tracing::debug!(
                target: "streamers", session = format!("{:016x}", message.session), streamer = &*at, cause, plays, playing_ms
            );
        }
        match message.body {
            Body::Answer { description, load } if waits => self.plays(now, id, description, load),
            // It may be about an earlier attempt, whose answer was lost: the end of this one is still awaited.
            Body::Release { cause, .. } if waits && !is_first && !cause::ends_set_up(cause) => {}
            Body::Release { cause, load, .. } if waits => {
                let ending = match cause {
                    cause::FULL => AttemptOutcome::Refused,
                    cause::ERROR => AttemptOutcome::Errored,
                    cause::NOT_SENT => AttemptOutcome::NotSent,
                    cause::FAILED => AttemptOutcome::ConnectionLost,
                    // It may have run, and the process that says so is well: nothing is told of its health.
                    _ => AttemptOutcome::Unknown,
                };
                let is_refusal = cause::ends_set_up(cause);
                let proof = if is_refusal { Proof::SetUpRefused } else { Proof::Released };
                self.attempt_over(now, id, ending, load, proof);
            }
            Body::Release { cause, load, .. } if plays => {
                let ending = match cause {
                    cause::NORMAL => AttemptOutcome::Served,
                    cause::CANCELLED => AttemptOutcome::Cancelled,
                    _ => AttemptOutcome::ConnectionLost,
                };
                if !is_first {
                    // It may be about what an earlier attempt had set up there, and what plays must not stand on.
                    self.end_at(now, &at, message.session);
                }
                self.stream_over(now, id, ending, load);
            }
            Body::SessionReport(note) if plays => match note {
                SessionReport::RateShare(share) => {
                    handle.shortfall_reported(&mut self.module, now, share.clamp(0.0, 1.0))
                }
                SessionReport::Rung(rung) => handle.rung_reported(&mut self.module, now, rung),
                SessionReport::LinkUtilization(full) => {
                    handle.load_reported(&mut self.module, now, Load::of_link(full))
                }
                SessionReport::UplinkUtilization(full) => {
                    handle.load_reported(&mut self.module, now, Load::of_uplink(full))
                }
            },
            _ => {}
        }
        self.carry_out(now);
    }

    pub(super) fn look_after_links(&mut self, now: Point, gap: Span) {
        // What plays or is out at a streamer needs a link there; a shot and a release dial for themselves.
        let is_out = |held: &Held| held.attempt.as_ref().is_some_and(|attempt| attempt.given_up.is_none());
        let needs = |held: &&Held| held.playing.is_some() || is_out(held);
        let needed: BTreeSet<Arc<str>> =
            self.held.values().filter(needs).map(|held| held.at.clone()).collect();
        for at in &needed {
            if self.known.get(at).is_some_and(|known| known.links.is_empty()) {
                self.add_link(now, at);
            }
        }
        let links: Vec<u64> = self.wires.keys().copied().collect();
        for link in links {
            let Some(wire) = self.wires.get_mut(&link) else { continue };
            wire.link.idle = wire.link.idle.or(Some(now)).filter(|_| !needed.contains(&wire.at));
            if let Some(since) = wire.link.idle {
                // Kept well short of the other end's own close, which a set-up could cross.
                if now - since >= self.terms.idle_most {
                    self.hang(now, link, Loss::Broke, CloseReason::Idle);
                    continue;
                }
                // Nobody asks there: what was not reached then proves nothing of what plays there later.
                if let Some(known) = self.known.get_mut(&wire.at) {
                    known.dark = None;
                }
            }
            let verdict = wire.link.look(now, gap);
            if gap >= LINK_BEAT + LINK_BEAT {
                // This process stood still itself: what it did not read is no silence.
                wire.suspect = wire.suspect.map(|until| until + gap);
            }
            let silent = wire.suspect.is_some_and(|until| now >= until);
            match verdict {
                Verdict::Lost => self.hang(now, link, Loss::Broke, CloseReason::Silent),
                _ if silent => self.hang(now, link, Loss::Broke, CloseReason::Unanswered),
                Verdict::Fine => {}
                Verdict::Dial => self.dial(now, link),
                Verdict::Ping => {
                    self.send_test(now, link);
                }
            }
        }
    }

    pub(super) fn add_link(&mut self, now: Point, at: &Arc<str>) {
        let Some(known) = self.known.get_mut(at) else { return };
        if self.wires.len() >= self.terms.links_most && !known.links.is_empty() {
            return;
        }
        self.next_link += 1;
        known.links.push(self.next_link);
        let wire = Wire { at: at.clone(), link: Link::new(now), open: 0, suspect: None };
        self.wires.insert(self.next_link, wire);
        self.dial(now, self.next_link);
    }

    pub(super) fn dial(&mut self, now: Point, link: u64) {
        if !self.has_room_to_dial() {
            self.free_a_connection(now);
        }
        let room = self.has_room_to_dial();
        let Some(wire) = self.wires.get_mut(&link).filter(|_| room) else { return };
        let Some(known) = self.known.get(&wire.at) else { return };
        let dial = wire.link.start_dial(now, self.terms.dial_timeout);
        let on = Connection { link, dial };
        self.effects.push(Effect::Dial { on, address: known.entry.address.clone() });
    }

    /// Whether one more connection stays within the descriptors that are set apart for streamers. Guards against
    /// more streamers than descriptors: the list and the viewers have theirs, whatever plays.
    pub(super) fn has_room_to_dial(&self) -> bool {
        let live = |wire: &&Wire| wire.link.is_up() || wire.link.is_dialling();
        self.wires.values().filter(live).count() + self.closing.len() < self.terms.links_most
    }

    /// Closes a connection that nothing needs, the one that is idle for longest first, or else one of several to the
    /// same streamer.
    fn free_a_connection(&mut self, now: Point) {
        let several = |at: &Arc<str>| self.known.get(at).is_some_and(|known| known.links.len() > 1);
        let free = |wire: &Wire| {
            wire.link.is_up() && wire.open == 0 && (wire.link.idle.is_some() || several(&wire.at))
        };
        let all = self.wires.iter().filter(|(_, wire)| free(wire));
        let first = all.min_by_key(|(_, wire)| (wire.link.idle.is_none(), wire.link.idle));
        if let Some(link) = first.map(|(link, _)| *link) {
            self.hang(now, link, Loss::Broke, CloseReason::MakesRoom);
        }
    }

    /// Closes a connection from this end.
    pub(super) fn hang(&mut self, now: Point, link: u64, loss: Loss, reason: CloseReason) {
        let Some(wire) = self.wires.get(&link) else { return };
        if wire.link.is_up() || wire.link.is_dialling() {
            let on = Connection { link, dial: wire.link.dial };
            let is_alive = matches!(reason, CloseReason::Unanswered | CloseReason::QueueFull);
            let awaits_close = self.may_await_close(on, is_alive);
            tracing::debug!(target: "attempt", ?on, ?reason, awaits_close, "closes");
            self.effects.push(Effect::Hang { on, awaits_close });
            self.lose(now, link, loss);
        }
    }

    /// The link of a streamer that carries least, of those that are up and not under suspicion if there is one.
    pub(super) fn best_link(&self, at: &str) -> Option<u64> {
        let links = &self.known.get(at)?.links;
        let able = links.iter().filter_map(|link| Some((*link, self.wires.get(link)?)));
        let able = able.filter(|(_, wire)| wire.link.is_up() || wire.link.is_dialling());
        able.min_by_key(|(_, w)| (w.suspect.is_some(), !w.link.is_up(), w.open)).map(|(link, _)| link)
    }

    /// Puts an order that is no set-up on a link; one that takes none any more is of no use.
    pub(super) fn order(&mut self, now: Point, link: u64, message: Message) {
        let Some(wire) = self.wires.get_mut(&link) else { return };
        if !wire.link.is_up() && !wire.link.is_dialling() {
            return;
        }
        if wire.link.push(Queued { order: Order { message, permit: None }, shot: None, not_after: None }) {
            self.pump(now, link);
        } else {
            self.hang(now, link, Loss::Broke, CloseReason::QueueFull);
        }
    }

    /// Hands the next orders of a link to the I/O.
    pub(super) fn pump(&mut self, now: Point, link: u64) {
        let Some(wire) = self.wires.get_mut(&link) else { return };
        let orders = wire.link.batch(now);
        if orders.is_empty() {
            return;
        }
        let on = Connection { link, dial: wire.link.dial };
        self.effects.push(Effect::Write { on, orders });
    }

    /// Dials a streamer that something is to be sent to at once, whatever wait is left.
    pub(super) fn redial(&mut self, now: Point, at: &Arc<str>) -> Option<u64> {
        let links = &self.known.get(at)?.links;
        if links.is_empty() {
            self.add_link(now, at);
            return Some(self.next_link).filter(|link| self.wires[link].link.is_dialling());
        }
        let may = |link: &&u64| self.wires.get(link).is_some_and(|wire| wire.link.may_dial(now));
        let link = *links.iter().find(may)?;
        self.wires.get_mut(&link)?.link.idle = None;
        self.dial(now, link);
        self.wires.get(&link).filter(|wire| wire.link.is_dialling()).map(|_| link)
    }
}
