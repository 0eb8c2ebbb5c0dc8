//! A dispatcher with scripted streamers and viewers, in virtual time. It keeps all messages that the dispatcher sends.
#![allow(dead_code)] // each test program uses only a part of it

use bytes::Bytes;
use lemontide::clock::{Point, Span};
use lemontide::interface::Load;
use lemontide_front::core::{Connection, QueuedMessage};
use lemontide_platform::codec::{cause, Body, Message, RequestDetails, SetUp};
use lemontide_platform::config::{ListEntry, ListUpdate};
use lemontide_platform::dispatcher::{ConnectionLoss, Dispatcher, Effect, OutboundMessage};
use lemontide_platform::permit::Permit;
use lemontide_platform::replies::PendingReply;
use lemontide_platform::serve;
use serde_json::{json, Value as Json};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Number of streamers.
pub const STREAMERS: usize = 4;
/// The default viewers' connection.
pub const VIEWERS: u64 = 1;

/// Settings as the platform passes them: four streamers that hold every title, and three attempts.
pub fn settings() -> Json {
    let class = |name: &str, effect: &str| json!({"name": name, "worth": 1, "aim": 1, "hard_limit": 3, "effect": effect});
    json!({
        "me": 0, "peers_total": 1, "zone": "here", "areas": ["here"], "kinds": ["std"],
        "classes": [class("free", "read_like"), class("paid", "non_idempotent")],
        "tenants": [{"name": "acme", "quota_per_s": 1000, "share": 1}],
        "family_info": {"kind_slots": [3000], "positions": STREAMERS, "lowest_rung": [0, 0], "top_by_class": [2, 2],
            "class_scale": [1, 1], "class_seats": [0, 0], "live": [false, false], "join": 1,
            "rung_kb": [200, 400, 800], "worth_by_rung": [0.3, 0.6, 1.0], "kb_per_weight": 1e7, "rack_link_kb": 1e8, "racks": 1, "seen_after": 1, "told_every": 3},
        "policy_limits": {"may_probe": false, "try_limit": 3, "retry_after": true, "max_retry_after": 0.5,
            "dial_timeout": 0.25, "streams_per_conn": 32},
        "membership_mode": "pushed", "weight_source": "nominal",
        "report": {"how": "answers", "names": ["busy_reqs", "x0"]},
        "rules": {"ask_within": 10, "cold": 10, "cold_from": 0.5, "fall_multiple": 2.5, "fall": 1}
    })
}

/// An entry of the list of streamers.
pub fn list_entry(at: usize, state: &str) -> ListEntry {
    ListEntry {
        id: format!("s{at}"),
        address: format!("127.0.0.1:{}", 9000 + at),
        zone: "here".into(),
        kind: "std".into(),
        cell: at,
        state: state.into(),
        weight: Some(1.0),
        started_ms: 0.0,
    }
}

/// A viewer's set-up of this class.
pub fn set_up_of(class: &str) -> SetUp {
    let details =
        RequestDetails { first_cell: 0, replicas: STREAMERS, max_rung: 2, is_retry: false, playing_at: None };
    SetUp {
        class: class.into(),
        tenant: "acme".into(),
        title: "t".into(),
        wait_ms: 3000,
        details: Some(details),
        description: Bytes::from_static(b"asked"),
        ..SetUp::default()
    }
}

/// A dispatcher and everything around it. Viewers and streamers are played by the test.
pub struct Harness {
    pub dispatcher: Dispatcher,
    pub now: Point,
    /// All messages that were written to streamers, with the link, in order.
    pub written: Vec<(u64, Message)>,
    /// All messages that were sent to viewers, with the connection, in order.
    pub sent_to_viewers: Vec<(u64, Message)>,
    /// Viewers' connections that were drained.
    pub drained: Vec<u64>,
    /// Connections to be closed if no more than this number of messages were received on them.
    pub close_if_idle: Vec<(u64, u64)>,
    /// Number of the last dial of each link.
    pub last_dials: BTreeMap<u64, u64>,
    /// Address of each link's streamer.
    pub addresses: HashMap<u64, String>,
    /// The address of each dial, in order.
    pub dialled: Vec<String>,
    /// Links that the dispatcher closed.
    pub closed_links: Vec<u64>,
    /// How dials to these addresses fail; all others succeed.
    pub unreachable: HashMap<String, ConnectionLoss>,
    /// Links that take no bytes for now and do not close.
    pub stalled: BTreeSet<u64>,
    /// The batches that wait for stalled links.
    pub waiting_batches: Vec<(Connection, Vec<QueuedMessage<OutboundMessage>>)>,
    /// Links whose streamer reads nothing for now.
    pub unread_links: BTreeSet<u64>,
    /// The tests that such streamers have not read.
    pub unread_tests: Vec<(Connection, u64)>,
    /// Connections are closed only by `complete_closes`.
    pub delays_closes: bool,
    /// Connections that `complete_closes` will close, with whether the streamer's close is awaited.
    pub pending_closes: Vec<(Connection, bool)>,
    /// Dials from now on neither succeed nor fail.
    pub dials_stall: bool,
    last_session: u64,
}

impl Harness {
    /// A harness with the default settings.
    pub fn new() -> Harness {
        Harness::with_settings(settings())
    }

    /// A harness with these settings. It begins a while after the controller's start, as a controller that was just
    /// started sends little.
    pub fn with_settings(settings: Json) -> Harness {
        Harness::with_descriptors(settings, 256)
    }

    /// The same with this number of descriptors, a third of which is for connections to streamers.
    pub fn with_descriptors(settings: Json, descriptors: usize) -> Harness {
        let now = Point::at(1000.0);
        let controller_settings = lemontide_settings::parse_settings(&settings).expect("valid settings");
        let dispatcher_settings =
            serve::dispatcher_settings(&controller_settings, &settings, descriptors).expect("valid settings");
        let mut harness = Harness {
            dispatcher: Dispatcher::new(now, 7, &controller_settings, dispatcher_settings),
            now,
            written: Vec::new(),
            sent_to_viewers: Vec::new(),
            drained: Vec::new(),
            close_if_idle: Vec::new(),
            last_dials: BTreeMap::new(),
            addresses: HashMap::new(),
            dialled: Vec::new(),
            closed_links: Vec::new(),
            unreachable: HashMap::new(),
            stalled: BTreeSet::new(),
            waiting_batches: Vec::new(),
            unread_links: BTreeSet::new(),
            unread_tests: Vec::new(),
            delays_closes: false,
            pending_closes: Vec::new(),
            dials_stall: false,
            last_session: 100,
        };
        let streamers = (0..STREAMERS).map(|at| list_entry(at, "in_service")).collect();
        harness.apply_list_update(&ListUpdate { full: true, streamers });
        harness.dispatcher.on_viewer_connected(now, VIEWERS);
        harness.advance(20.0);
        harness
    }

    pub fn apply_list_update(&mut self, update: &ListUpdate) {
        self.dispatcher.update_list(self.now, update);
        self.perform_effects();
    }

    pub fn update_entry(&mut self, entry: ListEntry) {
        self.apply_list_update(&ListUpdate { full: false, streamers: vec![entry] });
    }

    /// Sends a set-up on a viewers' connection; returns its session number.
    pub fn request_on(&mut self, connection_id: u64, set_up: SetUp) -> u64 {
        self.last_session += 1;
        self.viewer_sends(connection_id, self.last_session, Body::SetUp(set_up));
        self.last_session
    }

    /// Sends a set-up of this class on the default viewers' connection.
    pub fn request(&mut self, class: &str) -> u64 {
        self.request_on(VIEWERS, set_up_of(class))
    }

    /// A viewer sends a message, and the dispatcher decides.
    pub fn viewer_sends(&mut self, connection_id: u64, session: u64, body: Body) {
        self.receive(connection_id, Message { session, body }, self.now);
        while self.dispatcher.decide_next(self.now) {}
        self.perform_effects();
    }

    /// The dispatcher receives a message that was read on a viewers' connection, and decides nothing yet.
    pub fn receive(&mut self, connection_id: u64, message: Message, read: Point) {
        let heard = self.dispatcher.replies().register(connection_id, message, read);
        self.dispatcher.on_viewer_message(self.now, heard);
    }

    /// A new session that plays, and the link that it was set up on.
    pub fn start_session(&mut self, class: &str) -> (u64, u64) {
        let session = self.request(class);
        let link = self.last_attempt(session).expect("it was sent").0;
        self.streamer_answers(session);
        (session, link)
    }

    /// The last set-up of this session and the link that it was written to.
    pub fn last_attempt(&self, session: u64) -> Option<(u64, SetUp)> {
        self.written.iter().rev().find_map(|(link, message)| match &message.body {
            Body::SetUp(set_up) if message.session == session => Some((*link, set_up.clone())),
            _ => None,
        })
    }

    /// The last session that was set up on this link.
    pub fn last_session_on(&self, link: u64) -> (u64, SetUp) {
        let last = self.written.iter().rev().find_map(|(on, message)| match &message.body {
            Body::SetUp(set_up) if *on == link => Some((message.session, set_up.clone())),
            _ => None,
        });
        last.expect("a session")
    }

    pub fn attempt_count(&self, session: u64) -> usize {
        let is_attempt = |(_, message): &&(u64, Message)| {
            message.session == session && matches!(message.body, Body::SetUp(_))
        };
        self.written.iter().filter(is_attempt).count()
    }

    /// How many releases were written to streamers for this session.
    pub fn release_count(&self, session: u64) -> usize {
        let is_release = |(_, message): &&(u64, Message)| {
            message.session == session && matches!(message.body, Body::Release { .. })
        };
        self.written.iter().filter(is_release).count()
    }

    /// The streamer of the session's last attempt sends a message.
    pub fn streamer_sends(&mut self, session: u64, body: Body) {
        let (link, _) = self.last_attempt(session).expect("it was sent");
        self.streamer_sends_on(link, session, body);
    }

    /// A streamer sends a message on a link.
    pub fn streamer_sends_on(&mut self, link: u64, session: u64, body: Body) {
        self.dispatcher.on_streamer_message(
            self.now,
            self.current_connection(link),
            Message { session, body },
        );
        self.perform_effects();
    }

    /// The streamer of the session's last attempt answers it.
    pub fn streamer_answers(&mut self, session: u64) {
        let description = Bytes::from_static(b"answered");
        self.streamer_sends(session, Body::Answer { description, load: Load::default() });
    }

    /// The streamer of the session's last attempt releases it.
    pub fn streamer_releases(&mut self, session: u64, cause: u8) {
        self.streamer_sends(session, Body::release(cause));
    }

    /// How many dials of this streamer there were.
    pub fn dial_count(&self, at: usize) -> usize {
        let address = list_entry(at, "in_service").address;
        self.dialled.iter().filter(|dialled| **dialled == address).count()
    }

    /// The connection of the link's last dial.
    pub fn current_connection(&self, link: u64) -> Connection {
        Connection { link, dial: self.last_dials.get(&link).copied().unwrap_or(0) }
    }

    /// The streamer closes a connection, or a dial fails.
    pub fn lose_connection(&mut self, link: u64, loss: ConnectionLoss) {
        let connection = self.current_connection(link);
        self.dispatcher.on_connection_lost(self.now, connection, loss);
        self.dispatcher.on_connection_closed(self.now, connection, loss == ConnectionLoss::Disconnected);
        self.perform_effects();
    }

    /// The streamer of a link reads what was unread, and passes the tests in it.
    pub fn streamer_reads(&mut self, link: u64) {
        self.unread_links.remove(&link);
        let (read, unread) =
            std::mem::take(&mut self.unread_tests).into_iter().partition(|test| test.0.link == link);
        self.unread_tests = unread;
        for (connection, test) in read {
            self.pass_test(connection, test);
        }
        self.perform_effects();
    }

    fn pass_test(&mut self, connection: Connection, test: u64) {
        let result = Message { session: test, body: Body::TestResult { passed: true } };
        self.dispatcher.on_streamer_message(self.now, connection, result);
    }

    /// Whether the streamer of a link reads what is written to it.
    fn is_read(&self, link: u64) -> bool {
        !self.unread_links.contains(&link) && !self.unreachable.contains_key(&self.addresses[&link])
    }

    /// All messages to viewers about this session.
    pub fn messages_to_viewer(&self, session: u64) -> Vec<&Body> {
        self.sent_to_viewers.iter().filter(|(_, m)| m.session == session).map(|(_, m)| &m.body).collect()
    }

    /// The cause of the session's only answer so far; 0 if it plays.
    pub fn final_answer(&self, session: u64) -> Option<u8> {
        match self.messages_to_viewer(session)[..] {
            [] => None,
            [Body::Answer { description, .. }] => {
                assert_eq!(&description[..], b"answered", "passed on unchanged");
                Some(0)
            }
            [Body::Release { cause, .. }] => Some(*cause),
            ref more => panic!("one answer, not {more:?}"),
        }
    }

    /// Lets this time pass.
    pub fn advance(&mut self, seconds: f64) {
        let until = self.now + Span::of(seconds);
        while self.now < until {
            self.now = self.now + Span::of_millis(10);
            // Streamers send something in each step, so that links stay up.
            for (link, dial) in self.last_dials.clone() {
                if self.is_read(link) {
                    let progress = Message { session: 0, body: Body::Progress };
                    self.dispatcher.on_streamer_message(self.now, Connection { link, dial }, progress);
                }
            }
            if self.now >= self.dispatcher.next_tick() {
                self.dispatcher.tick(self.now);
            }
            self.perform_effects();
        }
    }

    /// Carries out the dispatcher's effects, until there are none.
    pub fn perform_effects(&mut self) {
        while !self.dispatcher.effects.is_empty() {
            for effect in std::mem::take(&mut self.dispatcher.effects) {
                match effect {
                    Effect::SendToViewer { conn, message, reply, .. } => {
                        reply.into_iter().for_each(PendingReply::answered);
                        self.sent_to_viewers.push((conn, message));
                    }
                    Effect::Drain { conn } => self.drained.push(conn),
                    Effect::CloseIfIdle { conn, messages_read: heard } => {
                        self.close_if_idle.push((conn, heard))
                    }
                    Effect::Dial { on, address } => {
                        self.last_dials.insert(on.link, on.dial);
                        let loss = self.unreachable.get(&address).copied();
                        self.dialled.push(address.clone());
                        self.addresses.insert(on.link, address);
                        match loss {
                            _ if self.dials_stall => {}
                            Some(loss) => {
                                self.dispatcher.on_connection_lost(self.now, on, loss);
                                self.dispatcher.on_connection_closed(self.now, on, false);
                            }
                            None => self.dispatcher.on_connected(self.now, on),
                        }
                    }
                    Effect::Write { on, messages: orders } => {
                        assert_eq!(
                            self.last_dials.get(&on.link),
                            Some(&on.dial),
                            "written to a connection that is up"
                        );
                        if self.stalled.contains(&on.link) {
                            self.waiting_batches.push((on, orders));
                        } else {
                            self.write_batch(on, orders);
                        }
                    }
                    Effect::Close { on, awaits_close } => {
                        self.closed_links.push(on.link);
                        self.waiting_batches.retain(|batch| batch.0 != on);
                        if self.delays_closes {
                            self.pending_closes.push((on, awaits_close));
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

    /// Writes a batch as the task of a connection does, and passes the tests in it if the streamer reads them.
    pub fn write_batch(&mut self, connection: Connection, orders: Vec<QueuedMessage<OutboundMessage>>) {
        let can_begin = |queued: &QueuedMessage<OutboundMessage>| {
            queued.message.permit.as_ref().is_none_or(Permit::begin)
        };
        let written: Vec<Message> =
            orders.into_iter().filter(can_begin).map(|queued| queued.message.message).collect();
        let tests: Vec<u64> = written.iter().filter(|m| m.body == Body::Test).map(|m| m.session).collect();
        self.written.extend(written.into_iter().map(|message| (connection.link, message)));
        self.dispatcher.on_batch_written(self.now, connection, Vec::new());
        for test in tests {
            if self.is_read(connection.link) {
                self.pass_test(connection, test);
            } else {
                self.unread_tests.push((connection, test));
            }
        }
    }

    /// Closes the pending connections; where it is awaited, the streamer closes them as well if `by_streamer` is set.
    pub fn complete_closes(&mut self, by_streamer: bool) {
        for (connection, awaits_close) in std::mem::take(&mut self.pending_closes) {
            self.dispatcher.on_connection_closed(self.now, connection, awaits_close && by_streamer);
        }
        self.perform_effects();
    }

    /// The stalled connections take the batches that wait for them.
    pub fn resume_stalled(&mut self) {
        self.stalled.clear();
        for (connection, orders) in std::mem::take(&mut self.waiting_batches) {
            self.write_batch(connection, orders);
        }
        self.perform_effects();
    }

    /// Whether the cause means that the set-up did not run.
    pub fn is_rejection(why: u8) -> bool {
        [cause::FULL, cause::REJECTED, cause::NOT_SENT].contains(&why)
    }
}
