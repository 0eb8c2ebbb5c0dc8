//! The desk's part of connections to streamers: when one is dialled, what is written on it, what is heard on it.

use super::*;

/// Connections to one streamer at most: what breaks one takes few set-ups with it.
pub(super) const LINKS_A_STREAMER: usize = 4;
/// A streamer that can't be reached for so long no longer plays what stood there; the platform gives 8 s in all,
/// of which a silent connection takes three.
const DARK: Span = Span::of_millis(1200);
/// A connection that is told to close is taken to be closed after so long, whatever its task reports.
const CLOSE_WAIT: Span = Span::of_millis(60);

impl Desk {
    /// Tells a streamer that what stands there is over; again, where the connection goes before it is written. Guards
    /// against streams that nobody watches.
    pub(super) fn end_at(&mut self, now: Point, at: &Rc<str>, session: u64) {
        let mut end = End { at: at.clone(), session, until: now + OWED_FOR, word: None };
        self.send_end(now, &mut end);
        if self.ends.len() >= OVER_MOST {
            self.ends.pop_front();
        }
        self.ends.push_back(end);
    }

    fn send_end(&mut self, now: Point, end: &mut End) {
        end.word = None;
        let Some(link) = self.best_link(&end.at).or_else(|| self.redial(now, &end.at)) else { return };
        let (word, message) =
            (Permit::new(), Message { session: end.session, body: Body::release(cause::NORMAL) });
        if self.order_with(now, link, message, Some(word.clone())) {
            let dial = self.wires.get(&link).map_or(0, |wire| wire.link.dial);
            end.word = Some((link, dial, word));
        }
    }

    /// Sends again what was not written before its connection went.
    pub(super) fn end_again(&mut self, now: Point) {
        for mut end in std::mem::take(&mut self.ends) {
            let written = end.word.as_ref().is_some_and(|(.., word)| word.has_begun());
            if written || now > end.until || !self.known.contains_key(&end.at) {
                continue;
            }
            if !end.word.as_ref().is_some_and(|(link, dial, _)| self.is_current(*link, *dial)) {
                self.send_end(now, &mut end);
            }
            self.ends.push_back(end);
        }
    }

    pub(super) fn is_current(&self, link: u64, dial: u64) -> bool {
        let link = self.wires.get(&link).map(|wire| &wire.link);
        link.is_some_and(|link| link.dial == dial && (link.is_up() || link.is_dialling()))
    }

    /// A dial came through.
    pub fn linked(&mut self, now: Point, link: u64, dial: u64) {
        if !self.is_current(link, dial) {
            return;
        }
        if let Some(wire) = self.wires.get_mut(&link) {
            wire.link.up(now);
            if let Some(known) = self.known.get_mut(&wire.at) {
                known.dark = None;
            }
        }
        self.pump(now, link);
    }

    /// A connection or a dial is over, and closed.
    pub fn lost(&mut self, now: Point, link: u64, dial: u64, loss: Loss) {
        let of = |out: &&Out| (out.link, out.dial) == (link, dial) && out.ending.is_some();
        let out = |held: &Held| held.out.as_ref().filter(of).map(|out| out.number);
        let given_up: Vec<_> = self.held.iter().filter_map(|(id, held)| Some((*id, out(held)?))).collect();
        let current = self.is_current(link, dial);
        if current {
            self.lose(now, link, loss, true);
        }
        for (id, number) in &given_up {
            self.end_given_up(now, *id, *number);
        }
        if current || !given_up.is_empty() {
            self.carry_out(now);
        }
    }

    /// `closed` says that nothing more can leave on it; where it is only told to close, what has begun on it is
    /// over with the close and not before.
    pub(super) fn lose(&mut self, now: Point, link: u64, loss: Loss, closed: bool) {
        let chance = self.chance.random::<f64>();
        let waiting = self.withdraw_waiting(link);
        let Some(wire) = self.wires.get_mut(&link) else { return };
        let at = wire.at.clone();
        wire.link.down(now, chance);
        wire.suspect = None;
        wire.ends.clear();
        wire.link.withdraw_all();
        tracing::info!(target: "streamers", streamer = &*at, ?loss, waiting = waiting.len(), "link lost");
        let mut broken = Vec::new();
        for (id, held) in &mut self.held {
            if let Some(out) = held.out.as_mut().filter(|out| out.link == link && out.permit.has_begun()) {
                if !closed {
                    out.ending = out.ending.or(Some(Ending::Broken));
                    self.due.push(Reverse((now + CLOSE_WAIT, *id, out.number)));
                } else if out.ending.is_none() {
                    broken.push(*id);
                }
            }
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
        let gone = known.entry.stage() == Stage::Gone;
        let at_once = |wire: &Wire| wire.link.idle.is_none() && wire.link.may_dial(now);
        for id in broken {
            self.ended(now, id, Ending::Broken, Load::default());
        }
        self.end_shots(now, waiting, Ending::NoConnection);
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
    pub fn wrote(&mut self, now: Point, link: u64, dial: u64, unsent: Vec<(u32, u32)>) {
        if !self.is_current(link, dial) {
            return;
        }
        if let Some(wire) = self.wires.get_mut(&link) {
            wire.link.wrote();
        }
        self.end_shots(now, unsent, Ending::NotSent);
        let written = |wire: &mut Wire| {
            let (written, ends) =
                std::mem::take(&mut wire.ends).into_iter().partition(|end| end.2.has_begun());
            wire.ends = ends;
            written
        };
        let written: Vec<(u32, u32, Permit)> = self.wires.get_mut(&link).map(written).unwrap_or_default();
        for (id, number, _) in written {
            self.end_given_up(now, id, number);
        }
        self.carry_out(now);
        self.pump(now, link);
    }

    /// A streamer's word.
    pub fn told(&mut self, now: Point, link: u64, dial: u64, message: Message) {
        if !self.is_current(link, dial) {
            return;
        }
        let Some(wire) = self.wires.get_mut(&link) else { return };
        wire.link.heard(now);
        wire.suspect = None;
        let at = wire.at.clone();
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
        let waits = held.out.as_ref();
        let waits =
            waits.is_some_and(|out| out.link == link && out.ending.is_none() && out.permit.has_begun());
        if let Body::Release { cause, .. } = &message.body {
            tracing::debug!(target: "streamers", session = format!("{:016x}", message.session), cause, plays);
        }
        match message.body {
            Body::Answer { description, load } if waits => self.plays(now, id, description, load),
            Body::Release { cause, load, .. } if waits => {
                let ending = match cause {
                    cause::FULL => Ending::SentBack,
                    cause::ERROR => Ending::Errored,
                    cause::MOOT => Ending::NotSent,
                    cause::BROKEN => Ending::Broken,
                    // It may have run, and the process that says so is well: nothing is told of its health.
                    _ => Ending::Unknown,
                };
                self.ended(now, id, ending, load);
            }
            Body::Release { cause, load, .. } if plays => {
                let ending = match cause {
                    cause::NORMAL => Ending::Served,
                    cause::CANCELLED => Ending::Cancelled,
                    _ => Ending::Broken,
                };
                self.ended(now, id, ending, load);
            }
            Body::Note(note) if plays => match note {
                Note::Share(share) => handle.short(&mut self.module, now, share.clamp(0.0, 1.0)),
                Note::Rung(rung) => handle.at_rung(&mut self.module, now, rung),
                Note::Link(full) => handle.load(&mut self.module, now, Load::link(full)),
                Note::Rack(full) => handle.load(&mut self.module, now, Load::rack(full)),
            },
            _ => {}
        }
        self.carry_out(now);
    }

    pub(super) fn look_after_links(&mut self, now: Point, gap: Span) {
        // What plays or is out at a streamer needs a link there; a shot and a release dial for themselves.
        let needs = |held: &&Held| held.playing.is_some() || held.out.is_some();
        let needed: BTreeSet<Rc<str>> =
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
                    self.hang(now, link, Loss::Broke);
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
                Verdict::Lost => self.hang(now, link, Loss::Broke),
                _ if silent => self.hang(now, link, Loss::Broke),
                Verdict::Fine => {}
                Verdict::Dial => self.dial(now, link),
                Verdict::Ping => self.order(now, link, Message { session: 0, body: Body::Test }),
            }
        }
    }

    pub(super) fn add_link(&mut self, now: Point, at: &Rc<str>) {
        let Some(known) = self.known.get_mut(at) else { return };
        if self.wires.len() >= self.terms.links_most && !known.links.is_empty() {
            return;
        }
        self.next_link += 1;
        known.links.push(self.next_link);
        let wire = Wire { at: at.clone(), link: Link::new(now), open: 0, suspect: None, ends: Vec::new() };
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
        self.effects.push(Effect::Dial { link, dial, address: known.entry.addr.clone() });
    }

    /// Whether one more connection stays within the descriptors that are set apart for streamers. Guards against
    /// more streamers than descriptors: the list and the viewers have theirs, whatever plays.
    pub(super) fn has_room_to_dial(&self) -> bool {
        let live = |wire: &&Wire| wire.link.is_up() || wire.link.is_dialling();
        self.wires.values().filter(live).count() < self.terms.links_most
    }

    /// Closes a connection that nothing needs, the one that is idle for longest first, or else one of several to the
    /// same streamer.
    fn free_a_connection(&mut self, now: Point) {
        let several = |at: &Rc<str>| self.known.get(at).is_some_and(|known| known.links.len() > 1);
        let free = |wire: &Wire| {
            wire.link.is_up() && wire.open == 0 && (wire.link.idle.is_some() || several(&wire.at))
        };
        let all = self.wires.iter().filter(|(_, wire)| free(wire));
        let first = all.min_by_key(|(_, wire)| (wire.link.idle.is_none(), wire.link.idle));
        if let Some(link) = first.map(|(link, _)| *link) {
            self.hang(now, link, Loss::Broke);
        }
    }

    pub(super) fn hang(&mut self, now: Point, link: u64, loss: Loss) {
        let Some(wire) = self.wires.get(&link) else { return };
        if wire.link.is_up() || wire.link.is_dialling() {
            self.effects.push(Effect::Hang { link, dial: wire.link.dial });
            self.lose(now, link, loss, false);
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
        self.order_with(now, link, message, None);
    }

    /// The same with a permit that tells when it is written; whether it is on its way.
    pub(super) fn order_with(
        &mut self,
        now: Point,
        link: u64,
        message: Message,
        permit: Option<Permit>,
    ) -> bool {
        let Some(wire) = self.wires.get_mut(&link) else { return false };
        if !wire.link.is_up() && !wire.link.is_dialling() {
            return false;
        }
        let pushed = wire.link.push(Queued { order: Order { message, permit }, shot: None, not_after: None });
        if pushed {
            self.pump(now, link);
        } else {
            self.hang(now, link, Loss::Broke);
        }
        pushed
    }

    /// Hands the next orders of a link to the I/O.
    pub(super) fn pump(&mut self, now: Point, link: u64) {
        let Some(wire) = self.wires.get_mut(&link) else { return };
        let orders = wire.link.batch(now);
        if orders.is_empty() {
            return;
        }
        let dial = wire.link.dial;
        self.effects.push(Effect::Write { link, dial, orders });
    }

    /// Dials a streamer that something is to be sent to at once, whatever wait is left.
    pub(super) fn redial(&mut self, now: Point, at: &Rc<str>) -> Option<u64> {
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
