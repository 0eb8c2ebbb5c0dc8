//! The dispatcher's part of viewers: their connections, their set-ups, and the one answer that each is owed.

use super::*;

/// Set-ups owed an answer on one viewers' connection at most. Guards against hundreds at once on one: a usual one
/// carries a few, and some forty while every streamer stands still.
const OPEN_MOST: usize = 64;
/// So many of the last numbers are remembered on each viewers' connection. Guards against those who send the same
/// set-up again as soon as it is turned away: the platform gives every set-up a new number.
const NUMBERS_KEPT: usize = 32;
/// After SIGTERM set-ups are taken as usual for so long; what comes later is turned back.
const LAST_CALL: Span = Span::of_millis(600);
const OWED_MOST: usize = 4096;

impl Dispatcher {
    pub fn viewer_up(&mut self, now: Point, conn: u64) {
        let new = Conn {
            open: 0,
            asked: 0,
            good: false,
            said: now,
            heard: 0,
            retiring: false,
            turned_away: VecDeque::new(),
        };
        self.conns.insert(conn, new);
    }

    /// A viewers' connection is over: what was asked on it and not answered is owed to nobody.
    pub fn viewer_gone(&mut self, now: Point, conn: u64) {
        let Some(was) = self.conns.remove(&conn) else { return };
        self.asked.retain(|asked| asked.conn != conn);
        if was.open > 0 {
            let on_it = |held: &Held| held.conn == conn && held.playing.is_none();
            let ids: Vec<u32> = self.held.iter().filter(|(_, h)| on_it(h)).map(|(id, _)| *id).collect();
            for id in ids {
                self.given_up(now, id);
            }
        }
        self.carry_out(now);
    }

    /// The connection to end first where there are too many: idle for longest, before those that were of use.
    pub fn spare(&self) -> Option<u64> {
        let idle = self.conns.iter().filter(|(_, conn)| conn.is_idle() && !conn.retiring);
        idle.min_by_key(|(_, conn)| (conn.good, conn.said)).map(|(conn, _)| *conn)
    }

    /// Asks the spare connection to close, one at a time. What it says meanwhile is heard, and keeps it.
    pub fn make_room(&mut self) {
        if self.conns.values().any(|conn| conn.retiring) {
            return;
        }
        let Some(conn) = self.spare() else { return };
        if let Some(from) = self.conns.get_mut(&conn) {
            from.retiring = true;
            self.effects.push(Effect::Retire { conn, heard: from.heard });
        }
    }

    /// What was to be said on a connection that is over. What stood is told of elsewhere; what a viewer never heard
    /// is set up is ended.
    pub fn unsaid(&mut self, now: Point, all: Vec<Said>) {
        for Said { message, stood, .. } in all {
            match message.body {
                Body::Release { cause, .. } if stood => self.release(now, 0, message.session, cause),
                Body::Answer { .. } => {
                    let id = self.by_session.get(&message.session).copied();
                    let plays = |id: &u32| self.held.get(id).is_some_and(|held| held.playing.is_some());
                    if let Some(id) = id.filter(plays) {
                        self.viewer_ends(now, id);
                    }
                }
                _ => {}
            }
        }
        self.carry_out(now);
    }

    /// Ends a viewers' connection from this side.
    pub fn part(&mut self, now: Point, conn: u64) {
        if self.conns.contains_key(&conn) {
            self.effects.push(Effect::Part { conn });
            self.viewer_gone(now, conn);
        }
    }

    /// Hears a viewer. What it asks for waits for `decide`, so that all that was heard beside it counts: who leaves
    /// or cancels in the same moment is not sent on, and what streamers said leaves first.
    pub fn viewer_said(&mut self, now: Point, conn: u64, message: Message, read: Point) {
        let Some(from) = self.conns.get_mut(&conn) else { return };
        from.said = now;
        from.heard += 1;
        from.retiring = false;
        let session = message.session;
        match message.body {
            Body::Test => self.say(conn, session, Body::Tested { passed: true }),
            body @ (Body::SetUp(_) | Body::Unusable(_)) => {
                if matches!(&body, Body::SetUp(set_up) if set_up.plays_at().is_none()) {
                    tracing::trace!(target: "request", session = format!("{session:016x}"), conn, "read");
                }
                from.asked += 1;
                self.asked.push_back(Asked { conn, session, body, read, late: self.late });
                return;
            }
            Body::Release { .. } => {
                let asked = |asked: &Asked| {
                    let new = matches!(&asked.body, Body::SetUp(set_up) if set_up.plays_at().is_none());
                    (asked.conn, asked.session, new) == (conn, session, true)
                };
                if let Some(place) = self.asked.iter().position(asked) {
                    // Cancelled before anything was decided: no answer is owed.
                    self.asked.remove(place);
                    from.asked = from.asked.saturating_sub(1);
                    return;
                }
                let id = self.by_session.get(&session).copied();
                let held = id.and_then(|id| Some((id, self.held.get(&id)?)));
                match held.map(|(id, held)| (id, held.playing.is_some(), held.conn == conn)) {
                    Some((id, true, _)) => self.viewer_ends(now, id),
                    Some((id, false, true)) => self.given_up(now, id),
                    // Another connection's set-up is not theirs to give up.
                    Some(_) => {}
                    // It may be handed over yet, on another connection.
                    None => self.remember(session, Over::ByViewer),
                }
            }
            Body::Heard | Body::Progress | Body::Tested { .. } => {}
            // Only streamers and controllers say these.
            Body::Answer { .. } | Body::Note(_) | Body::OtherNote | Body::Move | Body::Rung(_) => {
                self.part(now, conn);
            }
        }
        self.carry_out(now);
    }

    /// Decides the first of what viewers asked for; false where nothing waits.
    pub fn decide(&mut self, now: Point) -> bool {
        let Some(Asked { conn, session, body, read, late }) = self.asked.pop_front() else { return false };
        if let Some(from) = self.conns.get_mut(&conn) {
            from.asked = from.asked.saturating_sub(1);
        }
        match body {
            Body::SetUp(set_up) => self.set_up(now, conn, session, set_up, (read, late)),
            Body::Unusable(why) => {
                tracing::info!(target: "viewers", why, "a set-up that can't be used");
                self.refuse(now, conn, session);
            }
            _ => {}
        }
        self.carry_out(now);
        true
    }

    pub(super) fn say(&mut self, conn: u64, session: u64, body: Body) {
        self.answer(conn, session, body, None);
    }

    /// The final answer of a request, or anything else that only this connection may carry.
    pub(super) fn answer(&mut self, conn: u64, session: u64, body: Body, steps: Option<Box<Steps>>) {
        self.effects.push(Effect::Say { conn, message: Message { session, body }, stood: false, steps });
    }

    /// The steps of a request that ends now, if anybody reads them.
    pub(super) fn steps(held: &Held, outcome: Outcome, now: Point) -> Option<Box<Steps>> {
        Steps::are_logged().then(|| {
            Box::new(Steps {
                session: held.session,
                conn: held.conn,
                outcome,
                attempts: held.shots,
                wait_ms: held.set_up.wait_ms,
                read: held.read,
                decided: held.decided,
                begun: held.begun,
                answered: (outcome == Outcome::Plays).then_some(now),
                said: (outcome != Outcome::ViewerLeft).then_some(now),
            })
        })
    }

    /// Remembers an end that nobody here waits for.
    pub(super) fn remember(&mut self, session: u64, how: Over) {
        if self.over.len() >= OVER_MOST {
            self.over.pop_front();
        }
        self.over.push_back((session, how));
    }

    /// A set-up that can't be taken. Under the number of one that is open on the same connection no answer can
    /// be told from the other's: the connection ends.
    pub(super) fn refuse(&mut self, now: Point, conn: u64, session: u64) {
        let other = self.by_session.get(&session).and_then(|id| self.held.get(id));
        if other.is_some_and(|held| held.conn == conn) {
            return self.part(now, conn);
        }
        self.say(conn, session, Body::release(cause::UNUSABLE));
    }

    /// Remembers a number that was turned away on a connection.
    pub(super) fn turn_away(&mut self, conn: u64, session: u64) {
        let Some(from) = self.conns.get_mut(&conn) else { return };
        if from.turned_away.len() >= NUMBERS_KEPT {
            from.turned_away.pop_front();
        }
        from.turned_away.push_back(session);
    }

    /// What is wrong with a set-up, as far as the settings tell.
    pub(super) fn wrong(&self, set_up: &SetUp) -> Option<&'static str> {
        let Some(figures) = &set_up.figures else { return Some("no figures") };
        let terms = &self.terms;
        let of_lane = terms.lanes.iter().any(|(name, _)| *name == set_up.lane);
        let of_tenant = terms.tenants.is_empty() || terms.tenants.contains(&set_up.tenant);
        let held = (1..=terms.cells).contains(&figures.copies) && figures.home < terms.cells;
        match () {
            () if !of_lane => Some("no such lane"),
            () if !of_tenant => Some("no such tenant"),
            () if !held => Some("no such cells"),
            () if figures.top >= terms.rungs => Some("no such rung"),
            () if set_up.title.is_empty() => Some("no title"),
            () if set_up.wait_ms == 0 => Some("no time to answer"),
            () => None,
        }
    }

    /// `read` is when it was read, with how long it may have waited unread: its time runs from then.
    fn set_up(&mut self, now: Point, conn: u64, session: u64, set_up: SetUp, read: (Point, Span)) {
        tracing::debug!(target: "decision", session = format!("{session:016x}"), conn, ?set_up);
        let why = if session == 0 { Some("no id") } else { self.wrong(&set_up) };
        let plays_at = set_up.plays_at().cloned();
        if let Some(why) = why {
            tracing::info!(target: "viewers", why, "a set-up that can't be used");
            if plays_at.is_none() {
                self.refuse(now, conn, session);
            }
            return;
        }
        let figures = set_up.figures.clone().unwrap_or_default();
        let lane = self.terms.lanes.iter().find(|(name, _)| *name == set_up.lane);
        // The viewer's word counts up to the lane's cut-off: a time far ahead would be kept for ever.
        let wait = Span::of((set_up.wait_ms as f64 / 1e3).min(lane.map_or(0.0, |lane| lane.1.seconds())));
        let (title, tenant, lane) = (set_up.title.clone(), set_up.tenant.clone(), set_up.lane.clone());
        self.next_id = self.next_id.wrapping_add(1);
        let id = self.next_id;
        let wish = Wish {
            id,
            lane: &lane,
            tenant: &tenant,
            title: &title,
            cut_off: (read.0 + wait) - ANSWER_MARGIN - read.1,
            home: figures.home,
            copies: figures.copies,
            top: figures.top,
            returned: figures.again,
            length: None,
        };
        let until = wish.cut_off;
        let held = |handle, at: Rc<str>, playing| Held {
            session,
            handle,
            conn,
            set_up,
            at,
            until,
            rung: 0,
            shots: 0,
            read: read.0,
            decided: None,
            begun: None,
            attempt: None,
            attempted_at: Vec::new(),
            playing,
            carrier: None,
        };
        if let Some(at) = plays_at {
            // It may name what is in hand already.
            if self.by_session.contains_key(&session) {
                return;
            }
            // Its end may have been heard before it.
            let over = self.over.iter().rev().find(|(of, _)| *of == session).map(|(_, how)| *how);
            match over {
                Some(Over::AtStreamer(cause::CANCELLED)) => return,
                Some(Over::AtStreamer(why)) => {
                    let why = if why == cause::NORMAL { why } else { cause::BROKEN };
                    return self.release(now, conn, session, why);
                }
                Some(Over::ByViewer) => return self.end_at(now, &at.as_str().into(), session),
                None => {}
            }
            let Some((at, _)) = self.known.get_key_value(&*at) else {
                return self.release(now, conn, session, cause::BROKEN);
            };
            let at = at.clone();
            let handle = self.module.inherit(now, &wish, &at);
            let mut held = held(handle, at, Some(now));
            held.set_up.description = Bytes::new();
            self.held.insert(id, held);
            self.by_session.insert(session, id);
            return self.carry_out(now);
        }
        // An attempt under this number may be out: nobody could tell two apart.
        if self.by_session.contains_key(&session) || self.is_unproven(session) {
            return self.refuse(now, conn, session);
        }
        let from = self.conns.get(&conn);
        if from.is_some_and(|from| from.turned_away.contains(&session)) {
            self.refuse(now, conn, session);
            if self.conns.get(&conn).is_some_and(Conn::is_idle) {
                self.part(now, conn);
            }
            return;
        }
        let crowded = from.is_none_or(|from| from.open >= OPEN_MOST);
        let late = self.stops.is_some_and(|since| now - since > LAST_CALL);
        if late || crowded || self.held.len() >= self.terms.held_most {
            self.turn_away(conn, session);
            return self.say(conn, session, turned_back(self.module.come_again()));
        }
        let handle = self.module.take(now, &wish);
        self.held.insert(id, held(handle, "".into(), None));
        self.by_session.insert(session, id);
        if let Some(conn) = self.conns.get_mut(&conn) {
            conn.open += 1;
        }
        self.carry_out(now);
    }

    /// A viewer stops waiting: no answer is owed, and what is out is given up.
    pub(super) fn given_up(&mut self, now: Point, id: u32) {
        let Some(mut held) = self.remove(now, id) else { return };
        if let Some(steps) = Self::steps(&held, Outcome::ViewerLeft, now) {
            steps.log(None);
        }
        held.handle.left(&mut self.module);
        if let Some(attempt) = held.attempt.take() {
            let ending = self.abandon(now, id, &held, attempt);
            held.handle.ended(&mut self.module, now, ending, true, Load::default());
        }
        self.carry_out(now);
    }

    /// The viewer ends what plays; it is owed no release.
    pub(super) fn viewer_ends(&mut self, now: Point, id: u32) {
        let Some(held) = self.remove(now, id) else { return };
        self.end_at(now, &held.at, held.session);
        held.handle.ended(&mut self.module, now, Ending::Cancelled, true, Load::default());
        self.carry_out(now);
    }

    /// Tells a viewer that what stood is over, on its own connection or on any that viewers use.
    pub(super) fn release(&mut self, now: Point, conn: u64, session: u64, why: u8) {
        let own = self.conns.contains_key(&conn).then_some(conn);
        let good = self.conns.iter().filter(|(_, conn)| conn.good).max_by_key(|(_, conn)| conn.said);
        match own.or(good.map(|(conn, _)| *conn)) {
            Some(conn) => {
                tracing::debug!(target: "viewers", session = format!("{session:016x}"), conn, why, "release");
                let message = Message { session, body: Body::release(why) };
                self.effects.push(Effect::Say { conn, message, stood: true, steps: None });
            }
            None if self.owed.len() < OWED_MOST => {
                self.owed.push_back((now + OWED_FOR, Message { session, body: Body::release(why) }));
            }
            None => {}
        }
    }
}

/// The answer to a wish that is turned back, with the time to come again where there is one.
pub(super) fn turned_back(after: Option<Span>) -> Body {
    let stay_away_ms = after.map(|after| (after.seconds() * 1e3).round() as u64);
    Body::Release { cause: cause::TURNED_BACK, stay_away_ms, load: Load::default() }
}
