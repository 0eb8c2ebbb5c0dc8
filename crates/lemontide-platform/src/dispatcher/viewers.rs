//! The dispatcher's part of viewers: their connections, their set-ups, and the one answer that each is owed.

use super::unanswered::{InputEnd, ANSWER_GRACE};
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
            is_draining: false,
            turned_away: VecDeque::new(),
        };
        self.conns.insert(conn, new);
    }

    /// The client of a connection is proven gone: what was asked on it and not answered is owed to nobody.
    pub fn viewer_gone(&mut self, now: Point, conn: u64, why: Departure) {
        if self.conns.remove(&conn).is_none() {
            return;
        }
        self.take_undecided_on(conn).into_iter().for_each(|reply| reply.client_gone(why));
        for id in self.unanswered_on(conn) {
            self.given_up(now, id, why);
        }
        self.carry_out(now);
    }

    /// The connection to end first where there are too many: idle for longest, before those that were of use.
    pub fn spare(&self) -> Option<u64> {
        let idle =
            self.conns.iter().filter(|(_, conn)| conn.is_idle() && !conn.retiring && !conn.is_draining);
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
    pub fn unsaid(&mut self, now: Point, all: Vec<Outgoing>) {
        for Outgoing { message, ends_session: stood, reply, .. } in all {
            reply.into_iter().for_each(|reply| reply.client_gone(Departure::Closed));
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

    /// Ends a viewers' connection from this side, once all that is owed on it is answered.
    pub fn close_when_answered(&mut self, now: Point, conn: u64) {
        if self.conns.contains_key(&conn) {
            self.input_over(now, conn, InputEnd::Unusable);
            self.effects.push(Effect::Drain { conn });
        }
    }

    /// Hears a viewer. What it asks for waits for `decide`, so that all that was heard beside it counts: who leaves
    /// or cancels in the same moment is not sent on, and what streamers said leaves first.
    pub fn viewer_said(&mut self, now: Point, heard: Heard) {
        let Heard { conn, message, read, reply } = heard;
        let Some(from) = self.conns.get_mut(&conn) else {
            reply.into_iter().for_each(|reply| reply.client_gone(Departure::Closed));
            return;
        };
        from.said = now;
        from.heard += 1;
        from.retiring = false;
        let session = message.session;
        match message.body {
            Body::Test => self.say(conn, session, Body::TestResult { passed: true }),
            body @ (Body::SetUp(_) | Body::Invalid(_)) => {
                if matches!(&body, Body::SetUp(set_up) if set_up.plays_at().is_none()) {
                    tracing::trace!(target: "request", session = format!("{session:016x}"), conn, "read");
                }
                from.asked += 1;
                self.asked.push_back(Asked { conn, session, body, read, late: self.late, reply });
                return;
            }
            Body::Release { .. } => {
                let asked = |asked: &Asked| {
                    let new = matches!(&asked.body, Body::SetUp(set_up) if set_up.plays_at().is_none());
                    (asked.conn, asked.session, new) == (conn, session, true)
                };
                if let Some(place) = self.asked.iter().position(asked) {
                    // Cancelled before anything was decided: no answer is owed.
                    from.asked = from.asked.saturating_sub(1);
                    let reply = self.asked.remove(place).and_then(|asked| asked.reply);
                    reply.into_iter().for_each(|reply| reply.client_gone(Departure::Cancelled));
                    return;
                }
                let id = self.by_session.get(&session).copied();
                let held = id.and_then(|id| Some((id, self.held.get(&id)?)));
                match held.map(|(id, held)| (id, held.playing.is_some(), held.conn == conn)) {
                    Some((id, true, _)) => self.viewer_ends(now, id),
                    Some((id, false, true)) => self.given_up(now, id, Departure::Cancelled),
                    // Another connection's set-up is not theirs to give up.
                    Some(_) => {}
                    // It may be handed over yet, on another connection.
                    None => self.remember(session, Over::ByViewer),
                }
            }
            Body::Acknowledged | Body::Progress | Body::TestResult { .. } => {}
            // Only streamers and controllers say these.
            Body::Answer { .. }
            | Body::SessionReport(_)
            | Body::UnknownReport
            | Body::Move
            | Body::Rung(_) => {
                self.close_when_answered(now, conn);
            }
        }
        self.carry_out(now);
    }

    /// Decides the first of what viewers asked for; false where nothing waits.
    pub fn decide(&mut self, now: Point) -> bool {
        let Some(Asked { conn, session, body, read, late, reply }) = self.asked.pop_front() else {
            return false;
        };
        if let Some(from) = self.conns.get_mut(&conn) {
            from.asked = from.asked.saturating_sub(1);
        }
        match (body, reply) {
            (Body::SetUp(set_up), Some(reply)) => self.set_up(now, reply, set_up, (read, late)),
            (Body::SetUp(set_up), None) => self.hand_over(now, (conn, session), set_up, (read, late)),
            (Body::Invalid(why), Some(reply)) => {
                tracing::info!(target: "viewers", why, "a set-up that can't be used");
                self.refuse(now, reply);
            }
            _ => {}
        }
        self.carry_out(now);
        true
    }

    /// Says what only this connection may carry, and what is no answer.
    pub(super) fn say(&mut self, conn: u64, session: u64, body: Body) {
        let message = Message { session, body };
        self.effects.push(Effect::Say { conn, message, stood: false, reply: None, steps: None });
    }

    /// Gives a request its final answer.
    pub(super) fn answer(&mut self, reply: PendingReply, body: Body, steps: Option<Box<Steps>>) {
        reply.hand();
        let (conn, message) = (reply.conn(), Message { session: reply.session(), body });
        self.effects.push(Effect::Say { conn, message, stood: false, reply: Some(reply), steps });
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

    /// A set-up that can't be taken. Under the number of one that is in hand on the same connection no answer can
    /// be told from the other's: the connection ends.
    pub(super) fn refuse(&mut self, now: Point, reply: PendingReply) {
        let (conn, session) = (reply.conn(), reply.session());
        let other = self.by_session.get(&session).and_then(|id| self.held.get(id));
        if other.is_some_and(|held| held.conn == conn) {
            reply.client_gone(Departure::NumberReused);
            return self.close_when_answered(now, conn);
        }
        self.answer(reply, Body::release(cause::INVALID), None);
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
        let Some(figures) = &set_up.details else { return Some("no figures") };
        let terms = &self.terms;
        let of_lane = terms.lanes.iter().any(|(name, _)| *name == set_up.class);
        let of_tenant = terms.tenants.is_empty() || terms.tenants.contains(&set_up.tenant);
        let held = (1..=terms.cells).contains(&figures.replicas) && figures.first_cell < terms.cells;
        match () {
            () if !of_lane => Some("no such lane"),
            () if !of_tenant => Some("no such tenant"),
            () if !held => Some("no such cells"),
            () if figures.max_rung >= terms.rungs => Some("no such rung"),
            () if set_up.title.is_empty() => Some("no title"),
            () if set_up.wait_ms == 0 => Some("no time to answer"),
            () => None,
        }
    }

    /// What the module is asked for with a set-up. `read` is when it was read, with how long it may have waited unread:
    /// its time runs from then.
    fn wish<'a>(&self, id: u32, set_up: &'a SetUp, read: (Point, Span)) -> Request<'a> {
        let figures = set_up.details.clone().unwrap_or_default();
        let lane = self.terms.lanes.iter().find(|(name, _)| *name == set_up.class);
        // The viewer's word counts up to the lane's cut-off: a time far ahead would be kept for ever.
        let wait = Span::of((set_up.wait_ms as f64 / 1e3).min(lane.map_or(0.0, |lane| lane.1.seconds())));
        Request {
            id,
            class: &set_up.class,
            tenant: &set_up.tenant,
            title: &set_up.title,
            deadline: (read.0 + wait) - ANSWER_MARGIN - read.1,
            first_cell: figures.first_cell,
            replicas: figures.replicas,
            max_rung: figures.max_rung,
            is_retry: figures.is_retry,
            expected_duration: None,
        }
    }

    fn next_id(&mut self) -> u32 {
        self.next_id = self.next_id.wrapping_add(1);
        self.next_id
    }

    /// What is wrong with a set-up, its number included; it is logged.
    fn why_unusable(&self, (conn, session): (u64, u64), set_up: &SetUp) -> Option<&'static str> {
        tracing::debug!(target: "decision", session = format!("{session:016x}"), conn, ?set_up);
        let why = if session == 0 { Some("no id") } else { self.wrong(set_up) };
        if let Some(why) = why {
            tracing::info!(target: "viewers", why, "a set-up that can't be used");
        }
        why
    }

    /// Takes over a session that plays already. What can't be used is passed over: nobody waits for an answer.
    fn hand_over(&mut self, now: Point, of: (u64, u64), mut set_up: SetUp, read: (Point, Span)) {
        let (conn, session) = of;
        let Some(at) = set_up.plays_at().cloned() else { return };
        // It may name what is in hand already.
        if self.why_unusable(of, &set_up).is_some() || self.by_session.contains_key(&session) {
            return;
        }
        // Its end may have been heard before it.
        let over = self.over.iter().rev().find(|(of, _)| *of == session).map(|(_, how)| *how);
        match over {
            Some(Over::AtStreamer(cause::CANCELLED)) => return,
            Some(Over::AtStreamer(why)) => {
                let why = if why == cause::NORMAL { why } else { cause::FAILED };
                return self.release(now, conn, session, why);
            }
            Some(Over::ByViewer) => return self.end_at(now, &at.as_str().into(), session),
            None => {}
        }
        let Some((at, _)) = self.known.get_key_value(&*at) else {
            return self.release(now, conn, session, cause::FAILED);
        };
        let at = at.clone();
        let id = self.next_id();
        let wish = self.wish(id, &set_up, read);
        let until = wish.deadline;
        let handle = self.module.adopt(now, &wish, &at);
        set_up.description = Bytes::new();
        let held = Held::new((conn, session), handle, None, set_up, (read.0, until));
        self.held.insert(id, Held { at, playing: Some(now), ..held });
        self.by_session.insert(session, id);
        self.carry_out(now);
    }

    /// Takes a request.
    fn set_up(&mut self, now: Point, reply: PendingReply, set_up: SetUp, read: (Point, Span)) {
        let (conn, session) = (reply.conn(), reply.session());
        // An attempt under this number may be out: nobody could tell two apart.
        if self.why_unusable((conn, session), &set_up).is_some()
            || self.by_session.contains_key(&session)
            || self.is_unproven(session)
        {
            return self.refuse(now, reply);
        }
        let from = self.conns.get(&conn);
        if from.is_some_and(|from| from.turned_away.contains(&session)) {
            self.refuse(now, reply);
            if self.conns.get(&conn).is_some_and(Conn::is_idle) {
                self.close_when_answered(now, conn);
            }
            return;
        }
        let crowded = from.is_none_or(|from| from.open >= OPEN_MOST || from.is_draining);
        let late = self.stops.is_some_and(|since| now - since > LAST_CALL);
        if late || crowded || self.held.len() >= self.terms.held_most {
            self.turn_away(conn, session);
            return self.answer(reply, turned_back(self.module.retry_after()), None);
        }
        let id = self.next_id();
        let wish = self.wish(id, &set_up, read);
        let until = wish.deadline;
        reply.set_due(until + ANSWER_GRACE);
        let handle = self.module.submit(now, &wish);
        let held = Held::new((conn, session), handle, Some(reply), set_up, (read.0, until));
        self.held.insert(id, held);
        self.by_session.insert(session, id);
        if let Some(conn) = self.conns.get_mut(&conn) {
            conn.open += 1;
        }
        self.carry_out(now);
    }

    /// A viewer stops waiting: no answer is owed, and what is out is given up.
    pub(super) fn given_up(&mut self, now: Point, id: u32, why: Departure) {
        let Some(mut held) = self.remove(now, id) else { return };
        held.reply.take().into_iter().for_each(|reply| reply.client_gone(why));
        if let Some(steps) = Self::steps(&held, Outcome::ViewerLeft, now) {
            steps.log(None);
        }
        held.handle.viewer_left(&mut self.module);
        if let Some(attempt) = held.attempt.take() {
            let ending = self.abandon(now, id, &held, attempt);
            held.handle.attempt_ended(&mut self.module, now, ending, true, Load::default());
        }
        self.carry_out(now);
    }

    /// The viewer ends what plays; it is owed no release.
    pub(super) fn viewer_ends(&mut self, now: Point, id: u32) {
        let Some(held) = self.remove(now, id) else { return };
        self.end_at(now, &held.at, held.session);
        held.handle.attempt_ended(&mut self.module, now, AttemptOutcome::Cancelled, true, Load::default());
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
                self.effects.push(Effect::Say { conn, message, stood: true, reply: None, steps: None });
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
    let retry_after_ms = after.map(|after| (after.seconds() * 1e3).round() as u64);
    Body::Release { cause: cause::REJECTED, retry_after_ms, load: Load::default() }
}
