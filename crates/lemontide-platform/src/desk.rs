//! The desk: what happens on the platform's sockets becomes calls on the decision module, and what the module
//! decides becomes messages. It owns the subscriptions in hand, their shots, which link a shot was written to, and
//! the duty of one answer. No sockets, no files, no clock: time comes from outside, what has to be done is left in
//! `effects`. It tells the module the truth of every shot by the table in `docs/design/controller.md`.

use crate::codec::{cause, Body, Message, Note, SetUp};
use crate::config::{Entry, Hosts};
use bytes::Bytes;
use lemontide::clock::{Point, Span};
use lemontide::control::{Controller, Handle};
use lemontide::interface::{Ending, Line, Load, Sheet, Shot, Stage, Value, Wish};
use lemontide_front::core::{Link, Queued, Verdict};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::rc::Rc;

/// Kept back of a viewer's time, so that the final answer is there before the viewer goes.
const ANSWER_MARGIN: Span = Span::of_millis(40);
/// The links are looked after this often.
const LINK_BEAT: Span = Span::of_millis(100);
/// Connections to one streamer at most: what breaks one takes few set-ups with it.
const LINKS_A_STREAMER: usize = 4;
/// A connection on which a set-up got no answer must pass a test within this time, or it is of no more use.
const TEST_WAIT: Span = Span::of_millis(400);
/// A streamer that can't be reached for so long no longer plays what stood there; the platform gives 8 s in all,
/// of which a silent connection takes three.
const DARK: Span = Span::of_millis(1200);
/// A release that no connection could take is kept for so long.
const OWED_FOR: Span = Span::of_millis(8000);
const OWED_MOST: usize = 4096;
/// Set-ups owed an answer on one viewers' connection at most. Guards against hundreds at once on one: a usual one
/// carries a few, and some forty while every streamer stands still.
const OPEN_MOST: usize = 64;
/// So many of the last numbers are remembered on each viewers' connection. Guards against those who send the same
/// set-up again as soon as it is turned away: the platform gives every set-up a new number.
const NUMBERS_KEPT: usize = 32;
/// After SIGTERM set-ups are taken as usual for so long; what comes later is turned back.
const LAST_CALL: Span = Span::of_millis(600);

/// What the platform states and the desk itself needs; the rest is the module's, in the sheet.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    /// Name and cut-off of each lane.
    pub lanes: Vec<(String, Span)>,
    pub tenants: Vec<String>,
    pub cells: usize,
    pub rungs: usize,
    pub dial_timeout: Span,
    /// Set-ups that one connection to a streamer carries at a time.
    pub set_ups_a_link: usize,
    /// Connections to all streamers together.
    pub links_most: usize,
    /// A connection that nothing needs is closed after so long.
    pub idle_most: Span,
    /// Subscriptions and wishes in hand at most.
    pub held_most: usize,
}

/// Something that has to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Say {
        conn: u64,
        message: Message,
    },
    /// End a viewers' connection, after what was said on it.
    Part {
        conn: u64,
    },
    Dial {
        link: u64,
        dial: u64,
        address: String,
    },
    Write {
        link: u64,
        dial: u64,
        orders: Vec<Queued<Message>>,
    },
    /// Close the connection of that dial.
    Hang {
        link: u64,
        dial: u64,
    },
}

/// How a connection or a dial ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Nobody listens there: proof that the process is gone.
    Refused,
    /// The dial did not come through in time.
    Dark,
    /// It was up and broke, or could not be read any more.
    Broke,
}

struct Out {
    number: u32,
    link: u64,
    deadline: Point,
    not_after: Point,
    /// When it was given to the socket: from here on it may have run.
    handed: Option<Point>,
}

/// A wish or subscription in hand.
struct Held {
    session: u64,
    handle: Handle,
    conn: u64,
    /// What is passed on with a shot; given up once it plays.
    set_up: SetUp,
    at: Rc<str>,
    rung: usize,
    shots: u32,
    out: Option<Out>,
    /// Since when it plays.
    playing: Option<Point>,
}

struct Known {
    entry: Entry,
    links: Vec<u64>,
    /// Since when no connection to it comes up.
    dark: Option<Point>,
}

/// One connection to a streamer.
struct Wire {
    at: Rc<str>,
    link: Link<Message>,
    /// Set-ups that wait on it or are out on it.
    open: usize,
    /// A set-up got no answer on it: it must say something until then.
    suspect: Option<Point>,
}

/// A viewers' connection.
struct Conn {
    /// Set-ups on it that are owed an answer.
    open: usize,
    /// A subscription was set up on it.
    good: bool,
    said: Point,
    /// The last set-ups that were turned away on it.
    turned_away: VecDeque<u64>,
}

pub struct Desk {
    module: Controller,
    terms: Terms,
    known: BTreeMap<Rc<str>, Known>,
    wires: BTreeMap<u64, Wire>,
    /// Ordered, so that the same events give the same effects.
    held: BTreeMap<u32, Held>,
    by_session: HashMap<u64, u32>,
    conns: BTreeMap<u64, Conn>,
    due: BinaryHeap<Reverse<(Point, u32, u32)>>,
    /// Releases that no connection could take yet.
    owed: VecDeque<(Point, Message)>,
    wake: Option<Point>,
    looked_after: Point,
    chance: StdRng,
    next_id: u32,
    next_link: u64,
    stops: Option<Point>,
    pub effects: Vec<Effect>,
}

impl Desk {
    pub fn start(now: Point, seed: u64, sheet: &Sheet, terms: Terms) -> Desk {
        // No message here brings what a look would. Guards against wishes that wait for looks that never come back.
        let mut sheet = sheet.clone();
        sheet.insert("looks.allowed".to_owned(), Value::Flag(false));
        Desk {
            module: Controller::start(now, seed, &sheet),
            terms,
            known: BTreeMap::new(),
            wires: BTreeMap::new(),
            held: BTreeMap::new(),
            by_session: HashMap::new(),
            conns: BTreeMap::new(),
            due: BinaryHeap::new(),
            owed: VecDeque::new(),
            wake: None,
            looked_after: now,
            chance: StdRng::seed_from_u64(seed),
            next_id: 0,
            next_link: 0,
            stops: None,
            effects: Vec::new(),
        }
    }

    /// When `tick` wants to be called next.
    pub fn next(&self) -> Point {
        let due = self.due.peek().map(|Reverse((at, ..))| *at);
        let beat = self.looked_after + LINK_BEAT;
        [due, self.wake].into_iter().flatten().fold(beat, Point::min)
    }

    pub fn in_hand(&self) -> usize {
        self.held.len()
    }

    /// Wishes that are owed an answer.
    pub fn open(&self) -> usize {
        self.held.values().filter(|held| held.playing.is_none()).count()
    }

    pub fn links(&self) -> usize {
        self.wires.len()
    }

    pub fn streamers(&self) -> usize {
        self.known.len()
    }

    /// Set-ups that come from now on are taken for a moment only: the platform is about to stop this process.
    pub fn stop(&mut self, now: Point) {
        self.stops.get_or_insert(now);
    }

    // The list.

    /// Takes news of the list. What waits for a streamer that drains or is gone is taken back at once.
    pub fn learn(&mut self, now: Point, hosts: &Hosts) {
        let mut lines: Vec<Line> = hosts.servers.iter().map(Entry::line).collect();
        for entry in &hosts.servers {
            self.learn_of(now, entry);
        }
        if hosts.full {
            let named = |known: &Known| hosts.servers.iter().any(|entry| entry.id == known.entry.id);
            let gone = self.known.values().filter(|known| !named(known));
            let gone: Vec<Entry> = gone.map(|k| Entry { state: String::new(), ..k.entry.clone() }).collect();
            for entry in &gone {
                self.learn_of(now, entry);
            }
            lines.extend(gone.iter().map(Entry::line));
        }
        self.module.learn(now, &lines, hosts.full);
        self.carry_out(now);
        let names: Vec<Rc<str>> = self.known.keys().cloned().collect();
        for at in names {
            self.take_back(now, &at);
            self.forget(now, &at);
        }
        self.look_after_links(now, Span::ZERO);
        self.carry_out(now);
    }

    fn learn_of(&mut self, now: Point, entry: &Entry) {
        let Some(known) = self.known.get_mut(&*entry.id) else {
            if entry.stage() != Stage::Gone {
                let known = Known { entry: entry.clone(), links: Vec::new(), dark: None };
                self.known.insert(entry.id.as_str().into(), known);
            }
            return;
        };
        let before = std::mem::replace(&mut known.entry, entry.clone());
        if before.addr != entry.addr {
            // The process at the old address is not the one that the list means.
            for link in known.links.clone() {
                self.hang(now, link, Loss::Refused);
            }
        }
        if let Some(started) = entry.started().filter(|_| before.started() != entry.started()) {
            // A new process: what stood in the old one is over.
            self.cut(now, &entry.id, |since| since < started);
        }
    }

    /// Takes back what waits for a streamer that gets nothing new any more.
    fn take_back(&mut self, now: Point, at: &str) {
        let Some(known) = self.known.get(at) else { return };
        let stage = known.entry.stage();
        for link in known.links.clone() {
            let Some(wire) = self.wires.get_mut(&link) else { continue };
            wire.link.wanted = stage != Stage::Gone;
            let shots = if stage == Stage::Ready { Vec::new() } else { wire.link.withdraw_set_ups() };
            self.end_shots(now, shots, Ending::NotSent);
        }
    }

    /// Lets go of a streamer that is gone, once nothing is left of it.
    fn forget(&mut self, now: Point, at: &str) {
        let Some(known) = self.known.get(at).filter(|known| known.entry.stage() == Stage::Gone) else {
            return;
        };
        let up = |link: &u64| self.wires.get(link).is_some_and(|wire| wire.link.is_up());
        let links = known.links.clone();
        if !links.iter().any(up) {
            // Its address may be another's by now: nobody is asked there, and nobody will tell.
            self.cut(now, at, |_| true);
        }
        if self.held.values().any(|held| &*held.at == at && (held.playing.is_some() || held.out.is_some())) {
            return;
        }
        for link in links {
            self.hang(now, link, Loss::Broke);
            self.wires.remove(&link);
        }
        self.known.remove(at);
    }

    /// What stands at a streamer since a moment that `when` picks is over, though nobody could say so.
    fn cut(&mut self, now: Point, at: &str, when: impl Fn(Point) -> bool) {
        let there = |held: &Held| &*held.at == at && held.playing.is_some_and(&when);
        let ids: Vec<u32> = self.held.iter().filter(|(_, held)| there(held)).map(|(id, _)| *id).collect();
        for id in ids {
            self.ended(now, id, Ending::Broken, Load::default());
        }
    }

    // Viewers.

    pub fn viewer_up(&mut self, now: Point, conn: u64) {
        self.conns.insert(conn, Conn { open: 0, good: false, said: now, turned_away: VecDeque::new() });
    }

    /// A viewers' connection is over: what was asked on it and not answered is owed to nobody.
    pub fn viewer_gone(&mut self, now: Point, conn: u64) {
        let Some(was) = self.conns.remove(&conn) else { return };
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
        let idle = self.conns.iter().filter(|(_, conn)| conn.open == 0);
        idle.min_by_key(|(_, conn)| (conn.good, conn.said)).map(|(conn, _)| *conn)
    }

    /// Ends a viewers' connection from this side.
    pub fn part(&mut self, now: Point, conn: u64) {
        if self.conns.contains_key(&conn) {
            self.effects.push(Effect::Part { conn });
            self.viewer_gone(now, conn);
        }
    }

    pub fn viewer_said(&mut self, now: Point, conn: u64, message: Message) {
        let Some(from) = self.conns.get_mut(&conn) else { return };
        from.said = now;
        let session = message.session;
        match message.body {
            Body::Test => self.say(conn, session, Body::Tested { passed: true }),
            Body::SetUp(set_up) => self.set_up(now, conn, session, set_up),
            Body::Unusable(why) => {
                tracing::info!(target: "viewers", why, "a set-up that can't be used");
                self.refuse(now, conn, session);
            }
            Body::Release { .. } => {
                let id = self.by_session.get(&session).copied();
                let held = id.and_then(|id| Some((id, self.held.get(&id)?)));
                match held.map(|(id, held)| (id, held.playing.is_some(), held.conn == conn)) {
                    Some((id, true, _)) => self.viewer_ends(now, id),
                    Some((id, false, true)) => self.given_up(now, id),
                    // Another connection's set-up, or none at all: not theirs to give up.
                    _ => {}
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

    fn say(&mut self, conn: u64, session: u64, body: Body) {
        self.effects.push(Effect::Say { conn, message: Message { session, body } });
    }

    /// A set-up that can't be taken. Under the number of one that is open on the same connection no answer can
    /// be told from the other's: the connection ends.
    fn refuse(&mut self, now: Point, conn: u64, session: u64) {
        let other = self.by_session.get(&session).and_then(|id| self.held.get(id));
        if other.is_some_and(|held| held.conn == conn) {
            return self.part(now, conn);
        }
        self.say(conn, session, Body::release(cause::UNUSABLE));
    }

    /// Remembers a number that was turned away on a connection.
    fn turn_away(&mut self, conn: u64, session: u64) {
        let Some(from) = self.conns.get_mut(&conn) else { return };
        if from.turned_away.len() >= NUMBERS_KEPT {
            from.turned_away.pop_front();
        }
        from.turned_away.push_back(session);
    }

    /// What is wrong with a set-up, as far as the settings tell.
    fn wrong(&self, set_up: &SetUp) -> Option<&'static str> {
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

    fn set_up(&mut self, now: Point, conn: u64, session: u64, set_up: SetUp) {
        tracing::debug!(target: "decision", session = format!("{session:016x}"), conn, ?set_up);
        let why = if session == 0 { Some("no id") } else { self.wrong(&set_up) };
        let plays_at = set_up.figures.as_ref().and_then(|figures| figures.at.clone());
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
            cut_off: (now + wait) - ANSWER_MARGIN,
            home: figures.home,
            copies: figures.copies,
            top: figures.top,
            returned: figures.again,
            length: None,
        };
        let held = |handle, at: Rc<str>, playing| Held {
            session,
            handle,
            conn,
            set_up,
            at,
            rung: 0,
            shots: 0,
            out: None,
            playing,
        };
        if let Some(at) = plays_at {
            // It may name what is in hand already.
            if self.by_session.contains_key(&session) {
                return;
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
        if self.by_session.contains_key(&session) {
            return self.refuse(now, conn, session);
        }
        let from = self.conns.get(&conn);
        if from.is_some_and(|from| from.turned_away.contains(&session)) {
            self.refuse(now, conn, session);
            if self.conns.get(&conn).is_some_and(|from| from.open == 0) {
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
    fn given_up(&mut self, now: Point, id: u32) {
        let Some(mut held) = self.remove(id) else { return };
        held.handle.left(&mut self.module);
        if let Some(out) = held.out.take() {
            let ending = self.give_up_shot(now, id, held.session, &out);
            held.handle.ended(&mut self.module, now, ending, true, Load::default());
        }
        self.carry_out(now);
    }

    /// Takes a shot back, from the queue or from the streamer; what is then to be told of it.
    fn give_up_shot(&mut self, now: Point, id: u32, session: u64, out: &Out) -> Ending {
        if let Some(wire) = self.wires.get_mut(&out.link) {
            wire.open = wire.open.saturating_sub(1);
            if out.handed.is_none() {
                wire.link.withdraw((id, out.number));
                return Ending::NotSent;
            }
        }
        self.order(now, out.link, Message { session, body: Body::release(cause::NORMAL) });
        Ending::Cancelled
    }

    /// The viewer ends what plays; it is owed no release.
    fn viewer_ends(&mut self, now: Point, id: u32) {
        let Some(held) = self.remove(id) else { return };
        self.end_at_streamer(now, &held);
        held.handle.ended(&mut self.module, now, Ending::Cancelled, true, Load::default());
        self.carry_out(now);
    }

    fn end_at_streamer(&mut self, now: Point, held: &Held) {
        if let Some(link) = self.best_link(&held.at).or_else(|| self.redial(now, &held.at)) {
            let body = Body::release(cause::NORMAL);
            self.order(now, link, Message { session: held.session, body });
        }
    }

    fn remove(&mut self, id: u32) -> Option<Held> {
        let held = self.held.remove(&id)?;
        self.by_session.remove(&held.session);
        if held.playing.is_none() {
            if let Some(conn) = self.conns.get_mut(&held.conn) {
                conn.open = conn.open.saturating_sub(1);
            }
        }
        Some(held)
    }

    /// Tells a viewer that what stood is over, on its own connection or on any that viewers use.
    fn release(&mut self, now: Point, conn: u64, session: u64, why: u8) {
        let own = self.conns.contains_key(&conn).then_some(conn);
        let good = self.conns.iter().filter(|(_, conn)| conn.good).max_by_key(|(_, conn)| conn.said);
        match own.or(good.map(|(conn, _)| *conn)) {
            Some(conn) => self.say(conn, session, Body::release(why)),
            None if self.owed.len() < OWED_MOST => {
                self.owed.push_back((now + OWED_FOR, Message { session, body: Body::release(why) }));
            }
            None => {}
        }
    }

    // What the links report.

    fn is_current(&self, link: u64, dial: u64) -> bool {
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

    /// A connection or a dial is over.
    pub fn lost(&mut self, now: Point, link: u64, dial: u64, loss: Loss) {
        if self.is_current(link, dial) {
            self.lose(now, link, loss);
            self.carry_out(now);
        }
    }

    fn lose(&mut self, now: Point, link: u64, loss: Loss) {
        let chance = self.chance.random::<f64>();
        let Some(wire) = self.wires.get_mut(&link) else { return };
        let at = wire.at.clone();
        wire.link.down(now, chance);
        wire.suspect = None;
        let waiting = wire.link.withdraw_all();
        tracing::info!(target: "streamers", streamer = &*at, ?loss, waiting = waiting.len(), "link lost");
        let on_it = |held: &Held| held.out.as_ref().is_some_and(|o| o.link == link && o.handed.is_some());
        let broken: Vec<u32> = self.held.iter().filter(|(_, h)| on_it(h)).map(|(id, _)| *id).collect();
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
        let Some((id, held)) = ours else { return };
        let (handle, plays) = (held.handle, held.playing.is_some());
        let waits = held.out.as_ref().is_some_and(|out| out.link == link && out.handed.is_some());
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

    fn plays(&mut self, now: Point, id: u32, description: Bytes, load: Load) {
        let Some(held) = self.held.get_mut(&id) else { return };
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
        self.say(conn, session, Body::Answer { description, load: Load::default() });
        if let Some(from) = self.conns.get_mut(&conn) {
            from.open = from.open.saturating_sub(1);
            from.good = true;
        }
        for (until, message) in std::mem::take(&mut self.owed) {
            if now <= until {
                self.effects.push(Effect::Say { conn, message });
            }
        }
    }

    // Regular work.

    /// When `next` says so.
    pub fn tick(&mut self, now: Point) {
        if now - self.looked_after >= LINK_BEAT {
            self.look_after_links(now, now - self.looked_after);
            self.looked_after = now;
            self.owed.retain(|(until, _)| now <= *until);
        }
        while let Some(Reverse((_, id, shot))) = self.due.peek().copied().filter(|r| r.0 .0 <= now) {
            self.due.pop();
            self.overdue(now, id, shot);
        }
        if self.wake.is_some_and(|wake| wake <= now) {
            self.wake = None;
            self.module.wake(now);
        }
        self.carry_out(now);
    }

    /// A shot's moment came: it was not written in time, or not answered in time.
    fn overdue(&mut self, now: Point, id: u32, shot: u32) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some(out) = held.out.take_if(|out| out.number == shot) else { return };
        if out.handed.is_none() && now >= out.not_after {
            let session = held.session;
            self.give_up_shot(now, id, session, &out);
            self.ended(now, id, Ending::NoConnection, Load::default());
        } else if out.handed.is_some() && now >= out.deadline {
            let session = held.session;
            self.give_up_shot(now, id, session, &out);
            if let Some(wire) = self.wires.get_mut(&out.link).filter(|wire| wire.suspect.is_none()) {
                wire.suspect = Some(now + TEST_WAIT);
                self.order(now, out.link, Message { session: 0, body: Body::Test });
            }
            self.ended(now, id, Ending::TimedOut, Load::default());
        } else {
            held.out = Some(out);
        }
    }

    fn look_after_links(&mut self, now: Point, gap: Span) {
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

    // Links.

    fn add_link(&mut self, now: Point, at: &Rc<str>) {
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

    fn dial(&mut self, now: Point, link: u64) {
        let Some(wire) = self.wires.get_mut(&link) else { return };
        let Some(known) = self.known.get(&wire.at) else { return };
        let dial = wire.link.start_dial(now, self.terms.dial_timeout);
        self.effects.push(Effect::Dial { link, dial, address: known.entry.addr.clone() });
    }

    fn hang(&mut self, now: Point, link: u64, loss: Loss) {
        let Some(wire) = self.wires.get(&link) else { return };
        if wire.link.is_up() || wire.link.is_dialling() {
            self.effects.push(Effect::Hang { link, dial: wire.link.dial });
            self.lose(now, link, loss);
        }
    }

    /// The link of a streamer that carries least, of those that are up and not under suspicion if there is one.
    fn best_link(&self, at: &str) -> Option<u64> {
        let links = &self.known.get(at)?.links;
        let able = links.iter().filter_map(|link| Some((*link, self.wires.get(link)?)));
        let able = able.filter(|(_, wire)| wire.link.is_up() || wire.link.is_dialling());
        able.min_by_key(|(_, w)| (w.suspect.is_some(), !w.link.is_up(), w.open)).map(|(link, _)| link)
    }

    /// Puts an order that is no set-up on a link; one that takes none any more is of no use.
    fn order(&mut self, now: Point, link: u64, order: Message) {
        let Some(wire) = self.wires.get_mut(&link) else { return };
        if !wire.link.is_up() && !wire.link.is_dialling() {
            return;
        }
        if !wire.link.push(Queued { order, shot: None, not_after: None }) {
            return self.hang(now, link, Loss::Broke);
        }
        self.pump(now, link);
    }

    /// Hands the next orders of a link to the I/O.
    fn pump(&mut self, now: Point, link: u64) {
        let Some(wire) = self.wires.get_mut(&link) else { return };
        let orders = wire.link.batch(now);
        if orders.is_empty() {
            return;
        }
        let dial = wire.link.dial;
        for (id, number) in orders.iter().filter_map(|order| order.shot) {
            let out = self.held.get_mut(&id).and_then(|held| held.out.as_mut());
            if let Some(out) = out.filter(|out| out.number == number) {
                out.handed = Some(now);
                self.due.push(Reverse((out.deadline, id, number)));
            }
        }
        self.effects.push(Effect::Write { link, dial, orders });
    }

    /// These shots never left: they are ended as such, where they are still waited for.
    fn end_shots(&mut self, now: Point, shots: Vec<(u32, u32)>, ending: Ending) {
        for (id, number) in shots {
            let out = self.held.get(&id).and_then(|held| held.out.as_ref());
            if out.is_some_and(|out| out.number == number) {
                self.ended(now, id, ending, Load::default());
            }
        }
    }

    /// A shot, or the stream that came of it, ended: the module is told, and what plays is over.
    fn ended(&mut self, now: Point, id: u32, ending: Ending, load: Load) {
        let Some(held) = self.held.get_mut(&id) else { return };
        if let Some(wire) = held.out.take().and_then(|out| self.wires.get_mut(&out.link)) {
            wire.open = wire.open.saturating_sub(1);
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
    fn carry_out(&mut self, now: Point) {
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
                self.finish(id, turned_back(after));
            }
            for id in results.scrapped.drain(..) {
                self.finish(id, Body::release(cause::BROKEN));
            }
            for id in results.moved.drain(..) {
                let Some(held) = self.remove(id) else { continue };
                self.end_at_streamer(now, &held);
                held.handle.ended(&mut self.module, now, Ending::Cancelled, true, Load::default());
                self.say(held.conn, held.session, Body::Move);
            }
            if nothing {
                return;
            }
        }
    }

    /// The one answer of a wish that came to nothing.
    fn finish(&mut self, id: u32, body: Body) {
        let Some(held) = self.remove(id) else { return };
        self.turn_away(held.conn, held.session);
        tracing::debug!(
            target: "decision",
            session = format!("{:016x}", held.session), lane = held.set_up.lane, shots = held.shots, ?body
        );
        self.say(held.conn, held.session, body);
    }

    fn set_rung(&mut self, now: Point, id: u32, rung: usize) {
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

    fn shoot(&mut self, now: Point, shot: &Shot) {
        let id = shot.id;
        let Some((at, known)) = self.known.get_key_value(&*shot.streamer) else { return };
        let (at, ready) = (at.clone(), known.entry.stage() == Stage::Ready);
        let link = self.best_link(&at);
        let Some(held) = self.held.get_mut(&id) else { return };
        let deadline = now + shot.within;
        // A decision is of its moment: a set-up that can't leave soon goes back to the module.
        let not_after = deadline.min(now + self.terms.dial_timeout);
        let number = held.shots;
        held.shots += 1;
        held.at = at.clone();
        let set_up = SetUp {
            wait_ms: (shot.within.seconds() * 1e3).max(0.0) as u64,
            rung: Some(held.rung),
            figures: None,
            tenant: String::new(),
            retry: false,
            ..held.set_up.clone()
        };
        let message = Message { session: held.session, body: Body::SetUp(set_up) };
        tracing::debug!(
            target: "decision",
            session = format!("{:016x}", held.session), lane = held.set_up.lane, shot = number,
            streamer = &*at, rung = held.rung, within_s = shot.within.seconds()
        );
        // No link has this number: it is not on one yet.
        held.out = Some(Out { number, link: 0, deadline, not_after, handed: None });
        if shot.within <= Span::ZERO || !ready {
            return self.end_shots(now, vec![(id, number)], Ending::NotSent);
        }
        let Some(link) = link.or_else(|| self.redial(now, &at)) else {
            return self.end_shots(now, vec![(id, number)], Ending::NoConnection);
        };
        let Some(wire) = self.wires.get_mut(&link) else { return };
        let queued = Queued { order: message, shot: Some((id, number)), not_after: Some(not_after) };
        if wire.open >= self.terms.set_ups_a_link || !wire.link.push(queued) {
            return self.end_shots(now, vec![(id, number)], Ending::NotSent);
        }
        wire.open += 1;
        let busy = wire.open > 1;
        if let Some(out) = self.held.get_mut(&id).and_then(|held| held.out.as_mut()) {
            out.link = link;
        }
        self.due.push(Reverse((not_after, id, number)));
        self.pump(now, link);
        if busy && self.known.get(&at).is_some_and(|known| known.links.len() < LINKS_A_STREAMER) {
            self.add_link(now, &at);
        }
    }

    /// Dials a streamer that something is to be sent to at once, whatever wait is left.
    fn redial(&mut self, now: Point, at: &Rc<str>) -> Option<u64> {
        let links = &self.known.get(at)?.links;
        if links.is_empty() {
            self.add_link(now, at);
            return Some(self.next_link);
        }
        let may = |link: &&u64| self.wires.get(link).is_some_and(|wire| wire.link.may_dial(now));
        let link = *links.iter().find(may)?;
        self.wires.get_mut(&link)?.link.idle = None;
        self.dial(now, link);
        Some(link)
    }
}

/// The answer to a wish that is turned back, with the time to come again where there is one.
fn turned_back(after: Option<Span>) -> Body {
    let stay_away_ms = after.map(|after| (after.seconds() * 1e3).round() as u64);
    Body::Release { cause: cause::TURNED_BACK, stay_away_ms, load: Load::default() }
}
