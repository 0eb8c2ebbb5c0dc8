//! A dispatcher with scripted links and viewers, in virtual time: what it writes is kept, what it says is counted.
#![allow(dead_code)] // each test program uses its own part

use bytes::Bytes;
use lemontide::clock::{Point, Span};
use lemontide::interface::Load;
use lemontide_front::core::{Connection, QueuedMessage};
use lemontide_platform::codec::{cause, Body, Figures, Message, SetUp};
use lemontide_platform::config::{Entry, Hosts};
use lemontide_platform::dispatcher::{ConnectionLoss, Dispatcher, Effect, OutboundMessage};
use lemontide_platform::permit::Permit;
use lemontide_platform::replies::PendingReply;
use lemontide_platform::serve;
use serde_json::{json, Value as Json};
use std::collections::{BTreeMap, BTreeSet, HashMap};

pub const STREAMERS: usize = 4;
pub const VIEWERS: u64 = 1;

/// Settings as the platform hands them out; four streamers that hold every title, three shots.
pub fn settings() -> Json {
    let lane = |name: &str, effect: &str| json!({"name": name, "worth": 1, "aim": 1, "hard_limit": 3, "effect": effect});
    json!({
        "me": 0, "peers_total": 1, "zone": "here", "areas": ["here"], "kinds": ["std"],
        "classes": [lane("free", "read_like"), lane("paid", "non_idempotent")],
        "tenants": [{"name": "acme", "quota_per_s": 1000, "share": 1}],
        "family_info": {"kind_slots": [3000], "positions": STREAMERS, "lowest_rung": [0, 0], "top_by_class": [2, 2],
            "class_scale": [1, 1], "class_seats": [0, 0], "live": [false, false], "join": 1, "rung_kb": [200, 400, 800], "worth_by_rung": [0.3, 0.6, 1.0],
            "kb_per_weight": 1e7, "rack_link_kb": 1e8, "racks": 1, "seen_after": 1, "told_every": 3},
        "policy_limits": {"may_probe": false, "try_limit": 3, "retry_after": true, "max_retry_after": 0.5, "dial_timeout": 0.25,
            "streams_per_conn": 32},
        "membership_mode": "pushed", "weight_source": "nominal",
        "report": {"how": "answers", "names": ["busy_reqs", "x0"]},
        "rules": {"ask_within": 10, "cold": 10, "cold_from": 0.5, "fall_multiple": 2.5, "fall": 1}
    })
}

pub fn entry(at: usize, state: &str) -> Entry {
    Entry {
        id: format!("s{at}"),
        addr: format!("127.0.0.1:{}", 9000 + at),
        zone: "here".into(),
        kind: "std".into(),
        cell: at,
        state: state.into(),
        weight: Some(1.0),
        started_ms: 0.0,
    }
}

pub fn wish(lane: &str) -> SetUp {
    let figures = Figures { home: 0, copies: STREAMERS, top: 2, again: false, at: None };
    SetUp {
        lane: lane.into(),
        tenant: "acme".into(),
        title: "t".into(),
        wait_ms: 3000,
        figures: Some(figures),
        description: Bytes::from_static(b"asked"),
        ..SetUp::default()
    }
}

pub struct World {
    pub dispatcher: Dispatcher,
    pub now: Point,
    /// All that was written to streamers, with the link, in order.
    pub written: Vec<(u64, Message)>,
    pub said: Vec<(u64, Message)>,
    pub parted: Vec<u64>,
    /// Connections that were asked to close if nothing more came on them.
    pub retired: Vec<(u64, u64)>,
    pub dials: BTreeMap<u64, u64>,
    pub address: HashMap<u64, String>,
    /// Links that were told to hang up.
    pub hung: Vec<u64>,
    /// How dials of these addresses end; the rest come through.
    pub away: HashMap<String, ConnectionLoss>,
    /// Connections that take nothing for now and do not close, and the batches that wait for them.
    pub slow: BTreeSet<u64>,
    pub batches: Vec<(Connection, Vec<QueuedMessage<OutboundMessage>>)>,
    /// Links whose streamer reads nothing for now, and the tests that it has not read.
    pub unread: BTreeSet<u64>,
    pub unread_tests: Vec<(Connection, u64)>,
    /// Connections close only with `close_all`, and those that were told to, with whether the streamer's close of
    /// them is awaited.
    pub late_close: bool,
    pub closing: Vec<(Connection, bool)>,
    /// Dials from now on neither come through nor end.
    pub stuck: bool,
    next: u64,
}

impl World {
    /// Young controllers hold back, so the world begins a while after the start.
    pub fn new() -> World {
        World::of(settings())
    }

    pub fn of(settings: Json) -> World {
        let now = Point::at(1000.0);
        let sheet = lemontide_settings::parse_settings(&settings).expect("usable settings");
        let terms = serve::terms(&sheet, &settings, 256).expect("usable settings");
        let mut world = World {
            dispatcher: Dispatcher::new(now, 7, &sheet, terms),
            now,
            written: Vec::new(),
            said: Vec::new(),
            parted: Vec::new(),
            retired: Vec::new(),
            dials: BTreeMap::new(),
            address: HashMap::new(),
            hung: Vec::new(),
            away: HashMap::new(),
            slow: BTreeSet::new(),
            batches: Vec::new(),
            unread: BTreeSet::new(),
            unread_tests: Vec::new(),
            late_close: false,
            closing: Vec::new(),
            stuck: false,
            next: 100,
        };
        let servers = (0..STREAMERS).map(|at| entry(at, "in_service")).collect();
        world.learn(&Hosts { full: true, servers });
        world.dispatcher.on_viewer_connected(now, VIEWERS);
        world.pass(20.0);
        world
    }

    pub fn learn(&mut self, hosts: &Hosts) {
        self.dispatcher.update_list(self.now, hosts);
        self.perform();
    }

    pub fn news(&mut self, entry: Entry) {
        self.learn(&Hosts { full: false, servers: vec![entry] });
    }

    /// Sends a set-up on a connection; its number.
    pub fn ask_on(&mut self, conn: u64, set_up: SetUp) -> u64 {
        self.next += 1;
        self.say(conn, self.next, Body::SetUp(set_up));
        self.next
    }

    pub fn ask(&mut self, lane: &str) -> u64 {
        self.ask_on(VIEWERS, wish(lane))
    }

    pub fn say(&mut self, conn: u64, session: u64, body: Body) {
        self.hears(conn, Message { session, body }, self.now);
        while self.dispatcher.decide_next(self.now) {}
        self.perform();
    }

    /// The dispatcher hears what was read on a connection.
    pub fn hears(&mut self, conn: u64, message: Message, read: Point) {
        let heard = self.dispatcher.replies().register(conn, message, read);
        self.dispatcher.on_viewer_message(self.now, heard);
    }

    /// A subscription that plays, and the link that it was set up on.
    pub fn playing(&mut self, lane: &str) -> (u64, u64) {
        let session = self.ask(lane);
        let link = self.shot(session).expect("it was sent").0;
        self.answer(session);
        (session, link)
    }

    /// The last set-up of this session and the link it went over.
    pub fn shot(&self, session: u64) -> Option<(u64, SetUp)> {
        self.written.iter().rev().find_map(|(link, message)| match &message.body {
            Body::SetUp(set_up) if message.session == session => Some((*link, set_up.clone())),
            _ => None,
        })
    }

    pub fn shots(&self, session: u64) -> usize {
        let of = |(_, m): &&(u64, Message)| m.session == session && matches!(m.body, Body::SetUp(_));
        self.written.iter().filter(of).count()
    }

    /// Releases written to streamers for this session.
    pub fn released(&self, session: u64) -> usize {
        let of = |(_, m): &&(u64, Message)| m.session == session && matches!(m.body, Body::Release { .. });
        self.written.iter().filter(of).count()
    }

    /// The streamer of the last shot says something.
    pub fn tell(&mut self, session: u64, body: Body) {
        let (link, _) = self.shot(session).expect("it was sent");
        self.tell_on(link, session, body);
    }

    pub fn tell_on(&mut self, link: u64, session: u64, body: Body) {
        self.dispatcher.on_streamer_message(self.now, self.on(link), Message { session, body });
        self.perform();
    }

    pub fn answer(&mut self, session: u64) {
        let description = Bytes::from_static(b"answered");
        self.tell(session, Body::Answer { description, load: Load::default() });
    }

    pub fn ends(&mut self, session: u64, why: u8) {
        self.tell(session, Body::release(why));
    }

    /// The connection of the link's last dial.
    pub fn on(&self, link: u64) -> Connection {
        Connection { link, dial: self.dials.get(&link).copied().unwrap_or(0) }
    }

    /// The streamer closes a connection, or a dial ends.
    pub fn loses(&mut self, link: u64, loss: ConnectionLoss) {
        let on = self.on(link);
        self.dispatcher.on_connection_lost(self.now, on, loss);
        self.dispatcher.on_connection_closed(self.now, on, loss == ConnectionLoss::Disconnected);
        self.perform();
    }

    /// A link's streamer reads what lies unread, and passes the tests in it.
    pub fn reads(&mut self, link: u64) {
        self.unread.remove(&link);
        let (read, unread) =
            std::mem::take(&mut self.unread_tests).into_iter().partition(|t| t.0.link == link);
        self.unread_tests = unread;
        for (on, test) in read {
            self.passes(on, test);
        }
        self.perform();
    }

    fn passes(&mut self, on: Connection, test: u64) {
        let passed = Message { session: test, body: Body::Tested { passed: true } };
        self.dispatcher.on_streamer_message(self.now, on, passed);
    }

    /// Whether the streamer at the other end of a link reads what comes.
    fn is_read(&self, link: u64) -> bool {
        !self.unread.contains(&link) && !self.away.contains_key(&self.address[&link])
    }

    /// All that was said to viewers under this number.
    pub fn heard(&self, session: u64) -> Vec<&Body> {
        self.said.iter().filter(|(_, m)| m.session == session).map(|(_, m)| &m.body).collect()
    }

    /// The one answer so far, by its cause; 0 is that it plays.
    pub fn answered(&self, session: u64) -> Option<u8> {
        match self.heard(session)[..] {
            [] => None,
            [Body::Answer { description, .. }] => {
                assert_eq!(&description[..], b"answered", "passed on unchanged");
                Some(0)
            }
            [Body::Release { cause, .. }] => Some(*cause),
            ref more => panic!("one answer, not {more:?}"),
        }
    }

    pub fn pass(&mut self, seconds: f64) {
        let until = self.now + Span::of(seconds);
        while self.now < until {
            self.now = self.now + Span::of_millis(10);
            // Streamers say something now and then, so that links stay up.
            for (link, dial) in self.dials.clone() {
                if self.is_read(link) {
                    let word = Message { session: 0, body: Body::Progress };
                    self.dispatcher.on_streamer_message(self.now, Connection { link, dial }, word);
                }
            }
            if self.now >= self.dispatcher.next_tick() {
                self.dispatcher.tick(self.now);
            }
            self.perform();
        }
    }

    pub fn perform(&mut self) {
        while !self.dispatcher.effects.is_empty() {
            for effect in std::mem::take(&mut self.dispatcher.effects) {
                match effect {
                    Effect::SendToViewer { conn, message, reply, .. } => {
                        reply.into_iter().for_each(PendingReply::answered);
                        self.said.push((conn, message));
                    }
                    Effect::Drain { conn } => self.parted.push(conn),
                    Effect::CloseIfIdle { conn, messages_read: heard } => self.retired.push((conn, heard)),
                    Effect::Dial { on, address } => {
                        self.dials.insert(on.link, on.dial);
                        let away = self.away.get(&address).copied();
                        self.address.insert(on.link, address);
                        match away {
                            _ if self.stuck => {}
                            Some(loss) => {
                                self.dispatcher.on_connection_lost(self.now, on, loss);
                                self.dispatcher.on_connection_closed(self.now, on, false);
                            }
                            None => self.dispatcher.on_connected(self.now, on),
                        }
                    }
                    Effect::Write { on, messages: orders } => {
                        assert_eq!(self.dials.get(&on.link), Some(&on.dial), "written on what is up");
                        if self.slow.contains(&on.link) {
                            self.batches.push((on, orders));
                        } else {
                            self.write(on, orders);
                        }
                    }
                    Effect::Close { on, awaits_close } => {
                        self.hung.push(on.link);
                        self.batches.retain(|batch| batch.0 != on);
                        if self.late_close {
                            self.closing.push((on, awaits_close));
                        } else {
                            self.dispatcher.on_connection_closed(
                                self.now,
                                on,
                                awaits_close && self.is_read(on.link),
                            );
                        }
                    }
                }
            }
        }
    }

    /// What a connection's task does with a batch, and the streamer with what it reads of it.
    pub fn write(&mut self, on: Connection, orders: Vec<QueuedMessage<OutboundMessage>>) {
        let may = |queued: &QueuedMessage<OutboundMessage>| {
            queued.message.permit.as_ref().is_none_or(Permit::begin)
        };
        let written: Vec<Message> =
            orders.into_iter().filter(may).map(|queued| queued.message.message).collect();
        let tests: Vec<u64> = written.iter().filter(|m| m.body == Body::Test).map(|m| m.session).collect();
        self.written.extend(written.into_iter().map(|message| (on.link, message)));
        self.dispatcher.on_batch_written(self.now, on, Vec::new());
        for test in tests {
            if self.is_read(on.link) {
                self.passes(on, test);
            } else {
                self.unread_tests.push((on, test));
            }
        }
    }

    /// The connections that were told to close are closed, by their streamers as well where that is awaited.
    pub fn close_all(&mut self, by_streamer: bool) {
        for (on, awaits_close) in std::mem::take(&mut self.closing) {
            self.dispatcher.on_connection_closed(self.now, on, awaits_close && by_streamer);
        }
        self.perform();
    }

    /// The slow connections take what waits for them.
    pub fn catch_up(&mut self) {
        self.slow.clear();
        for (on, orders) in std::mem::take(&mut self.batches) {
            self.write(on, orders);
        }
        self.perform();
    }

    pub fn is_refusal(why: u8) -> bool {
        [cause::FULL, cause::TURNED_BACK, cause::MOOT].contains(&why)
    }
}
