//! The driver: what happens becomes calls on the decision module, and what the module decides becomes effects.
//! It tells the module the truth of every shot: what was never handed to a socket provably never ran, what was
//! handed over may have run unless the streamer sent it back.

mod attempts;

use super::links::{Link, LinkAction, QueuedMessage};
use super::{
    seconds, AbandonedAttempt, Connection, Coordination, CoordinationSettings, Evidence, FleetStatus,
    RecentViewers,
};
use lemontide::clock::{Point, Span};
use lemontide::control::{Controller, SessionHandle};
use lemontide::interface::{
    AttemptOutcome, ControllerSettings, Load, NewAttempt, StreamerEntry, StreamerState,
};
use lemontide_shed::concurrency::ConcurrencyLimit;
use lemontide_wire::cmcd::Cmcd;
use lemontide_wire::cmsd::CmsdDynamic;
use lemontide_wire::link::{
    Cancel, ControllerMessage, How, Look, Ping, SetRung, SetUp, StreamerMessage, Why,
};
use lemontide_wire::list::{self, StreamerList};
use lemontide_wire::play::{EndReason, PlayRequest, PlayResponse, SessionEvent};
use lemontide_wire::tap::{self, ResponseKind, TapEvent};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

/// Kept back of a viewer's time, so that the final answer is there before the viewer goes.
const ANSWER_MARGIN: Span = Span::of_millis(40);
/// The links are looked after this often.
const LINK_BEAT: Span = Span::of_millis(100);

/// What the operators state and the driver itself needs; the rest is the module's, in the sheet.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    /// Name and cut-off of each lane.
    pub lanes: Vec<(String, Span)>,
    /// First cell of each title, and how many in a row hold it.
    pub titles: HashMap<String, (usize, usize)>,
    /// Rates of the rungs in kB a second, and each lane's scale of them.
    pub ladder_kb: Vec<f64>,
    pub lane_scale: Vec<f64>,
    pub dial_timeout: Span,
    pub look_timeout: Span,
    /// Wishes and subscriptions in hand at most.
    pub held_most: usize,
    /// Set-ups under way to one streamer are bounded by how it answers.
    pub flights: bool,
    /// How this controller acts as one of many, where the settings ask for it.
    pub together: Option<CoordinationSettings>,
    /// Cells of the fleet.
    pub cells: usize,
}

/// Something that has to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// The final answer of a wish, with the highest bitrate suggested in kbit/s and whether it is short there.
    Answer {
        id: u32,
        answer: PlayResponse,
        suggested_kbps: Option<u64>,
        duress: bool,
        /// Its lane, and the shots that it took.
        lane: usize,
        shots: u32,
    },
    News {
        id: u32,
        news: SessionEvent,
    },
    Dial {
        at: usize,
        dial: u64,
        streamer: String,
        address: String,
    },
    Write {
        at: usize,
        dial: u64,
        orders: Vec<QueuedMessage>,
    },
    /// Close the connection of that dial.
    Hang {
        at: usize,
        dial: u64,
    },
    /// A try at a streamer ended well or badly here: evidence for those who gossip.
    Saw {
        streamer: String,
        good: bool,
    },
    Tap(TapEvent),
}

/// Why a wish was not taken at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    NoSuchTitle,
    NoSuchLane,
    /// As many are in hand as the settings allow, or the controller stops.
    Closed,
    /// The controller is near its own limit: come again after this.
    Overloaded {
        wait: Span,
    },
}

struct Out {
    number: u32,
    deadline: Point,
    not_after: Point,
    /// When it was given to the socket: from here on it may have run.
    handed: Option<Point>,
    /// It is given up, and the next attempt waits for a proof that it is over.
    given_up: Option<AbandonedAttempt>,
}

/// A wish or subscription in hand.
pub struct Held {
    handle: SessionHandle,
    pub ask: String,
    title: String,
    lane: usize,
    cut_off: Point,
    at: usize,
    pub rung: usize,
    shots: u32,
    out: Option<Out>,
    pub playing: bool,
    left: bool,
    last: Option<AttemptOutcome>,
}

struct Known {
    entry: list::ListEntry,
    /// Last start as its own welcome told it.
    welcomed: Option<f64>,
    link: Link,
    looking: Option<(u64, Point)>,
}

pub struct Driver {
    module: Controller,
    terms: Terms,
    known: Vec<Known>,
    by_name: HashMap<String, usize>,
    /// Counts the lists taken in.
    listed: u64,
    /// Ordered, so that the same events give the same effects.
    held: BTreeMap<u32, Held>,
    due: BinaryHeap<Reverse<(Point, u32, u32)>>,
    wake: Option<Point>,
    looked_after: Point,
    viewers: RecentViewers,
    together: Option<Coordination>,
    chance: StdRng,
    nonce: u64,
    stopping: bool,
    pub effects: Vec<Effect>,
    /// Counters for the operators: wishes taken, and answers by kind.
    pub taken: u64,
    pub answered: [u64; 3],
}

impl Driver {
    pub fn start(now: Point, seed: u64, sheet: &ControllerSettings, terms: Terms) -> Driver {
        Driver {
            module: Controller::new(now, seed, sheet),
            together: terms.together.as_ref().and_then(|shared| Coordination::new(now, shared)),
            terms,
            known: Vec::new(),
            by_name: HashMap::new(),
            listed: 0,
            held: BTreeMap::new(),
            due: BinaryHeap::new(),
            wake: None,
            looked_after: now,
            viewers: RecentViewers::default(),
            chance: StdRng::seed_from_u64(seed),
            nonce: 0,
            stopping: false,
            effects: Vec::new(),
            taken: 0,
            answered: [0; 3],
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

    pub fn playing(&self) -> usize {
        self.held.values().filter(|held| held.playing).count()
    }

    pub fn links_up(&self) -> usize {
        self.known.iter().filter(|known| known.link.is_up()).count()
    }

    pub fn streamers(&self) -> usize {
        self.known.len()
    }

    /// Takes the list, whole: who is missing is gone. What waits for a streamer that drains or is gone is taken
    /// back at once and placed anew.
    pub fn learn(&mut self, now: Point, list: &StreamerList) {
        self.listed += 1;
        let mut gone: Vec<bool> = vec![true; self.known.len()];
        for entry in &list.streamers {
            let at = self.by_name.get(&entry.streamer).copied().unwrap_or(self.known.len());
            if at == self.known.len() {
                self.by_name.insert(entry.streamer.clone(), at);
                let mut link = Link::new(now);
                link.set_up_limit = self.terms.flights.then(|| ConcurrencyLimit::new(now));
                // One of many dials when something needs the link, not all at once when the list comes.
                link.idle_since = self.together.as_ref().map(|_| now);
                let known = Known { entry: entry.clone(), welcomed: None, link, looking: None };
                self.known.push(known);
                gone.push(false);
                self.tell(entry.clone());
                continue;
            }
            gone[at] = false;
            let before = std::mem::replace(&mut self.known[at].entry, entry.clone());
            if (before.state, before.started_at) != (entry.state, entry.started_at) {
                self.tell(entry.clone());
            }
            if before.address != entry.address {
                // The old process is not the one that the list means: its streams are over.
                self.hang(now, at);
            }
        }
        for at in (0..gone.len()).filter(|at| gone[*at]) {
            if self.known[at].entry.state != list::StreamerState::Gone {
                self.known[at].entry.state = list::StreamerState::Gone;
                self.tell(self.known[at].entry.clone());
            }
        }
        let lines: Vec<StreamerEntry> = self.known.iter().map(Known::line).collect();
        self.module.update_list(now, &lines, true);
        self.carry_out(now);
        for at in 0..self.known.len() {
            let stage = self.known[at].entry.state;
            self.known[at].link.is_listed = stage != list::StreamerState::Gone;
            if stage != list::StreamerState::Ready {
                let shots = self.known[at].link.withdraw_set_ups();
                self.end_shots(now, at, shots, AttemptOutcome::NotSent);
            }
        }
        self.look_after_links(now, Span::ZERO);
        self.carry_out(now);
    }

    fn tell(&mut self, entry: list::ListEntry) {
        let told = TapEvent::ListChangeReceived {
            streamer: entry.streamer,
            state: entry.state,
            started_at: entry.started_at,
        };
        self.effects.push(Effect::Tap(told));
    }

    /// Takes a wish that came at `asked`; exactly one `Answer` with its id follows, unless it is refused here.
    pub fn ask(
        &mut self,
        now: Point,
        asked: Point,
        id: u32,
        wish: &PlayRequest,
        cmcd: &Cmcd,
    ) -> Result<(), Refusal> {
        let Some(lane) = self.terms.lanes.iter().position(|lane| lane.0 == wish.class) else {
            return Err(Refusal::NoSuchLane);
        };
        let Some((home, copies)) = self.terms.titles.get(&wish.title).copied() else {
            return Err(Refusal::NoSuchTitle);
        };
        if self.stopping || self.held.len() >= self.terms.held_most || self.held.contains_key(&id) {
            return Err(Refusal::Closed);
        }
        let lasts = wish.give_up_in_s.filter(|s| s.is_finite()).map_or(Span::of(1e6), Span::of);
        let gone_at = asked + lasts.min(self.terms.lanes[lane].1);
        let known = cmcd.session_id.as_ref().is_some_and(|session| self.viewers.record(now, session));
        let wish_here = lemontide::interface::Request {
            id,
            class: &wish.class,
            tenant: &wish.tenant,
            title: &wish.title,
            deadline: gone_at - ANSWER_MARGIN,
            first_cell: home,
            replicas: copies,
            max_rung: self.top(lane, wish, cmcd),
            is_retry: wish.is_retry || known,
            expected_duration: wish.expected_duration_s.filter(|s| s.is_finite()).map(Span::of),
        };
        let lane_name = wish.class.clone();
        self.effects.push(Effect::Tap(TapEvent::RequestReceived {
            request_id: wish.request_id.clone(),
            class: lane_name,
            title: wish.title.clone(),
            deadline: seconds(gone_at),
        }));
        self.taken += 1;
        if let Some(together) = &mut self.together {
            together.record_request(now);
        }
        let handle = self.module.submit(now, &wish_here);
        let held = Held {
            handle,
            ask: wish.request_id.clone(),
            title: wish.title.clone(),
            lane,
            cut_off: wish_here.deadline,
            at: usize::MAX,
            rung: 0,
            shots: 0,
            out: None,
            playing: false,
            left: false,
            last: None,
        };
        self.held.insert(id, held);
        self.carry_out(now);
        Ok(())
    }

    /// The highest rung of use to a viewer: what the wish says, and what the player's hints say of its screen
    /// and its link.
    fn top(&self, lane: usize, wish: &PlayRequest, cmcd: &Cmcd) -> usize {
        let highest = self.terms.ladder_kb.len().saturating_sub(1);
        let hinted = [cmcd.top_kbps, cmcd.throughput_kbps].into_iter().flatten().min();
        let within = |kbps: u64| {
            let fits = |rung: &usize| self.rate_kb(lane, *rung) * 8.0 <= kbps as f64;
            (0..=highest).take_while(fits).last().unwrap_or(0)
        };
        wish.max_rung.unwrap_or(highest).min(highest).min(hinted.map_or(highest, within))
    }

    fn rate_kb(&self, lane: usize, rung: usize) -> f64 {
        let kb = self.terms.ladder_kb.get(rung).copied().unwrap_or(0.0);
        kb * self.terms.lane_scale.get(lane).copied().unwrap_or(1.0)
    }

    /// The viewer went away, before the answer or after it.
    pub fn left(&mut self, now: Point, id: u32) {
        self.end(now, id, Why::Left, EndReason::ViewerLeft);
    }

    /// Ends what is in hand under this id; whether there was something.
    fn end(&mut self, now: Point, id: u32, why: Why, over: EndReason) -> bool {
        let Some(held) = self.held.get_mut(&id).filter(|held| !held.left) else { return false };
        let (at, handle) = (held.at, held.handle);
        if held.playing {
            let shot = held.shots - 1;
            self.order(now, at, ControllerMessage::Cancel(Cancel { id, shot, why: why.into() }));
            handle.attempt_ended(&mut self.module, now, AttemptOutcome::Cancelled, true, Load::default());
            self.held.remove(&id);
            self.effects.push(Effect::News { id, news: SessionEvent::Ended { reason: over } });
            self.carry_out(now);
            return true;
        }
        held.left = true;
        handle.viewer_left(&mut self.module);
        match &held.out {
            None => {
                self.held.remove(&id);
            }
            Some(out) if out.handed.is_none() => {
                let shot = (id, out.number);
                self.known[at].link.withdraw(shot);
                self.end_shots(now, at, vec![shot], AttemptOutcome::NotSent);
            }
            Some(out) => {
                let shot = out.number;
                self.order(now, at, ControllerMessage::Cancel(Cancel { id, shot, why: why.into() }));
            }
        }
        self.carry_out(now);
        true
    }

    /// The player ends a subscription that plays; false where there is none.
    pub fn leave(&mut self, now: Point, id: u32) -> bool {
        let playing = self.held.get(&id).is_some_and(|held| held.playing);
        playing && self.end(now, id, Why::Left, EndReason::ViewerLeft)
    }

    /// What a subscription that plays is at now, for a player that starts to listen.
    pub fn news_of(&self, id: u32) -> Option<SessionEvent> {
        let held = self.held.get(&id).filter(|held| held.playing)?;
        Some(SessionEvent::RungChanged { rung: held.rung, rate_kb: self.rate_kb(held.lane, held.rung) })
    }

    pub fn stopping(&self) -> bool {
        self.stopping
    }

    /// No new wishes from now on.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Ends everything: playing subscriptions are told, waiting wishes get their final answer.
    pub fn close(&mut self, now: Point) {
        self.stopping = true;
        let ids: Vec<u32> = self.held.keys().copied().collect();
        for id in ids {
            if let Some(held) = self.held.get(&id).filter(|held| !held.playing && !held.left) {
                // It may be set up by now or not: nothing is promised of the effect.
                let (lane, shots) = (held.lane, held.shots);
                let answer = PlayResponse::Failed { request_id: held.ask.clone() };
                self.answer(id, answer, lane, shots);
            }
            self.end(now, id, Why::Left, EndReason::Stopped);
        }
    }

    /// How far others are believed that each streamer fails, from 0 to 1. The module decides what to make of it.
    pub fn doubts(&mut self, now: Point, weights: &[(String, f64)]) {
        for (streamer, weight) in weights {
            self.module.set_peer_suspicion(now, streamer, *weight);
        }
    }

    /// Who of the other controllers is there, by number. What follows of it for turns is the fleet core's to say.
    pub fn fleet(&mut self, now: Point, numbers: &BTreeMap<u32, Option<Point>>) {
        let Some(together) = &mut self.together else { return };
        let (turns, tap) = together.update_membership(now, numbers);
        self.module.cover_turns(turns.has_own_turns, &turns.missing_controllers, turns.until);
        self.effects.extend(tap);
    }

    /// This controller as one of many, for the operators.
    pub fn in_fleet(&self, now: Point) -> Option<FleetStatus> {
        self.together.as_ref().map(|together| together.status(now))
    }

    /// Chooses which streamers go first, and closes links that nothing needs.
    fn share_out(&mut self, now: Point) {
        let Some(together) = &mut self.together else { return };
        let (titles, entries) = (self.terms.titles.values().copied(), self.known.iter().map(|k| &k.entry));
        for (at, first) in together.update_subset(now, self.listed, titles, self.terms.cells, entries) {
            if let Some(known) = self.known.get(at as usize) {
                self.module.set_preferred(&known.entry.streamer, first);
            }
        }
        let mut needed = vec![false; self.known.len()];
        for held in self.held.values().filter(|held| held.playing || held.out.is_some()) {
            if let Some(needed) = needed.get_mut(held.at) {
                *needed = true;
            }
        }
        for (at, needed) in needed.into_iter().enumerate() {
            let known = &mut self.known[at];
            let needed = needed || known.looking.is_some();
            known.link.idle_since = known.link.idle_since.or(Some(now)).filter(|_| !needed);
            let idle = known.link.idle_since.map_or(Span::ZERO, |since| now - since);
            if known.link.is_up() && together.can_close(at, idle) {
                known.link.close_idle(now);
                known.link.withdraw_all();
                self.effects.push(Effect::Hang { at, dial: known.link.dial });
            }
        }
    }

    /// Tells of what was seen of a streamer, if it says anything of its health.
    fn saw(&mut self, at: usize, ending: AttemptOutcome) {
        let good = match ending {
            AttemptOutcome::Served => true,
            AttemptOutcome::Errored
            | AttemptOutcome::TimedOut
            | AttemptOutcome::NoConnection
            | AttemptOutcome::ConnectionLost => false,
            AttemptOutcome::Refused
            | AttemptOutcome::Cancelled
            | AttemptOutcome::NotSent
            | AttemptOutcome::Unknown => return,
        };
        if let Some(known) = self.known.get(at) {
            self.effects.push(Effect::Saw { streamer: known.entry.streamer.clone(), good });
        }
    }

    // What the links report.

    /// A dial came through and the streamer said when it started.
    pub fn linked(&mut self, now: Point, at: usize, dial: u64, started: f64) {
        if !self.is_current(at, dial) {
            return;
        }
        let known = &mut self.known[at];
        known.link.connected(now);
        // A welcome is often earlier news of a restart than the list: the streamer is cold from then on.
        if started.is_finite() && started > known.welcomed.unwrap_or(0.0) {
            known.welcomed = Some(started);
            let line = known.line();
            self.module.update_list(now, &[line], false);
            self.carry_out(now);
        }
        self.pump(now, at);
    }

    /// A connection or dial is over. `by_streamer` says that the streamer closed or reset it, which proves what was
    /// out there over.
    pub fn lost(&mut self, now: Point, at: usize, dial: u64, by_streamer: bool) {
        if self.is_current(at, dial) {
            self.lose(now, at);
        }
        if by_streamer {
            self.learn_evidence(now, Connection { link: at as u64, dial }, Evidence::ClosedByStreamer);
        }
        self.carry_out(now);
    }

    fn lose(&mut self, now: Point, at: usize) {
        let was_up = self.known[at].link.is_up();
        let chance = self.chance.random::<f64>();
        self.known[at].link.disconnected(now, chance);
        let waiting = self.known[at].link.withdraw_all();
        if let Some((_, until)) = &mut self.known[at].looking {
            *until = now;
        }
        if was_up {
            let streamer = self.known[at].entry.streamer.clone();
            tracing::info!(target: "link", streamer, waiting = waiting.len(), "lost");
            self.effects.push(Effect::Tap(TapEvent::LinkLost { streamer }));
            let is_out =
                |held: &Held| held.out.as_ref().is_some_and(|o| o.handed.is_some() && o.given_up.is_none());
            let on_it = |held: &Held| held.at == at && (held.playing || is_out(held));
            self.saw(at, AttemptOutcome::ConnectionLost);
            let broken: Vec<_> =
                self.held.iter().filter(|(_, h)| on_it(h)).map(|(id, h)| (*id, h.playing)).collect();
            for (id, playing) in broken {
                if playing {
                    self.ended(now, id, AttemptOutcome::ConnectionLost, Load::default());
                } else {
                    self.in_doubt(now, id, AttemptOutcome::ConnectionLost, None);
                }
            }
        }
        self.end_shots(now, at, waiting, AttemptOutcome::NoConnection);
    }

    /// The orders of the last batch are written, but for these set-ups, whose time was over: they never ran.
    pub fn wrote(&mut self, now: Point, at: usize, dial: u64, unsent: Vec<(u32, u32)>) {
        if !self.is_current(at, dial) {
            return;
        }
        self.known[at].link.batch_written();
        self.end_shots(now, at, unsent, AttemptOutcome::NotSent);
        self.carry_out(now);
        self.pump(now, at);
    }

    /// A streamer's word.
    pub fn told(&mut self, now: Point, at: usize, dial: u64, told: StreamerMessage) {
        if !self.is_current(at, dial) {
            return;
        }
        self.known[at].link.message_received(now);
        match told {
            StreamerMessage::Plays(plays) => {
                let load = load(&plays.cmsd_dynamic);
                // An answer to a shot that is no longer waited for: its cancel is under way.
                let Some(held) = self.waits_for(at, plays.id, plays.shot) else { return };
                let handed = held.out.take().and_then(|out| out.handed);
                held.playing = true;
                let (handle, ask, rung, lane) = (held.handle, held.ask.clone(), held.rung, held.lane);
                self.effects.push(Effect::Tap(TapEvent::OutcomeReceived {
                    request_id: ask.clone(),
                    attempt: plays.shot,
                    outcome: tap::TapOutcome::Served,
                }));
                handle.playing(&mut self.module, now);
                self.saw(at, AttemptOutcome::Served);
                self.landed(now, at, handed, AttemptOutcome::Served);
                if load.link_utilization.is_some() || load.uplink_utilization.is_some() {
                    handle.load_reported(&mut self.module, now, load);
                }
                if self.held.get(&plays.id).is_some_and(|held| held.left) {
                    // It played before the cancel came: it is ended like one that plays.
                    let cancel = Cancel { id: plays.id, shot: plays.shot, why: Why::Left.into() };
                    self.order(now, at, ControllerMessage::Cancel(cancel));
                    self.ended(now, plays.id, AttemptOutcome::Cancelled, Load::default());
                } else {
                    let entry = &self.known[at].entry;
                    let answer = PlayResponse::Plays {
                        request_id: ask,
                        session: plays.id,
                        streamer: entry.streamer.clone(),
                        address: entry.address.clone(),
                        rung,
                        rate_kb: self.rate_kb(lane, rung),
                    };
                    self.answer(plays.id, answer, lane, plays.shot + 1);
                }
            }
            StreamerMessage::Ended(ended) => {
                let (how, ending) = match ended.how() {
                    How::Served => (tap::TapOutcome::Served, AttemptOutcome::Served),
                    How::SentBack => (tap::TapOutcome::Refused, AttemptOutcome::Refused),
                    How::Cancelled => (tap::TapOutcome::Cancelled, AttemptOutcome::Cancelled),
                    How::Errored => (tap::TapOutcome::Errored, AttemptOutcome::Errored),
                    // A newer streamer's word: it may have run.
                    How::Unspecified => (tap::TapOutcome::Errored, AttemptOutcome::Unknown),
                };
                let Some(held) = self.held.get(&ended.id).filter(|held| held.at == at) else { return };
                let out = held.out.as_ref().map(|out| out.number);
                let current =
                    if held.playing { held.shots == ended.shot + 1 } else { out == Some(ended.shot) };
                if !current {
                    return;
                }
                let ask = held.ask.clone();
                self.effects.push(Effect::Tap(TapEvent::OutcomeReceived {
                    request_id: ask,
                    attempt: ended.shot,
                    outcome: how,
                }));
                self.ended(now, ended.id, ending, load(&ended.cmsd_dynamic));
            }
            StreamerMessage::Rung(rung) => {
                if let Some(handle) = self.plays_at(at, rung.id) {
                    handle.rung_reported(&mut self.module, now, rung.rung as usize);
                }
            }
            StreamerMessage::Short(short) => {
                if let Some(handle) = self.plays_at(at, short.id).filter(|_| short.share.is_finite()) {
                    handle.shortfall_reported(&mut self.module, now, short.share.clamp(0.0, 1.0));
                }
            }
            StreamerMessage::Fullness(fullness) => {
                if let Some(handle) = self.plays_at(at, fullness.id) {
                    handle.load_reported(&mut self.module, now, load(&fullness.cmsd_dynamic));
                }
            }
            StreamerMessage::Looked(looked) => {
                let known = &mut self.known[at];
                if known.looking.is_some_and(|(nonce, _)| nonce == looked.nonce) {
                    known.looking = None;
                    let name = known.entry.streamer.clone();
                    self.module.probe_finished(now, &name, true, load(&looked.cmsd_dynamic));
                }
            }
            StreamerMessage::Pong(pong) => {
                let on = Connection { link: at as u64, dial };
                self.learn_evidence(now, on, Evidence::TestPassed { test: pong.nonce });
            }
            StreamerMessage::Welcome(_) => {}
        }
        self.carry_out(now);
    }

    /// Regular work, when `next` says so.
    pub fn tick(&mut self, now: Point) {
        if now - self.looked_after >= LINK_BEAT {
            self.look_after_links(now, now - self.looked_after);
            self.share_out(now);
            self.looked_after = now;
        }
        while let Some(Reverse((at, id, shot))) = self.due.peek().copied().filter(|r| r.0 .0 <= now) {
            self.due.pop();
            debug_assert!(at <= now);
            self.overdue(now, id, shot);
        }
        if self.wake.is_some_and(|wake| wake <= now) {
            self.wake = None;
            self.module.tick(now);
        }
        self.carry_out(now);
    }

    fn look_after_links(&mut self, now: Point, gap: Span) {
        for at in 0..self.known.len() {
            let dial = self.known[at].link.dial;
            match self.known[at].link.check(now, gap) {
                LinkAction::None => {}
                LinkAction::Dial => self.dial(now, at),
                LinkAction::Ping => {
                    self.ping(now, at);
                }
                LinkAction::Close => {
                    self.effects.push(Effect::Hang { at, dial });
                    self.lost(now, at, dial, false);
                }
            }
            let late = self.known[at].looking.is_some_and(|(_, until)| now >= until);
            if late {
                self.known[at].looking = None;
                let name = self.known[at].entry.streamer.clone();
                self.module.probe_finished(now, &name, false, Load::default());
            }
        }
    }

    fn dial(&mut self, now: Point, at: usize) {
        let dial = self.known[at].link.start_dial(now, self.terms.dial_timeout);
        let list::ListEntry { streamer, address, .. } = self.known[at].entry.clone();
        self.effects.push(Effect::Dial { at, dial, streamer, address });
    }

    fn hang(&mut self, now: Point, at: usize) {
        let dial = self.known[at].link.dial;
        self.effects.push(Effect::Hang { at, dial });
        self.lost(now, at, dial, false);
    }

    fn is_current(&self, at: usize, dial: u64) -> bool {
        let link = self.known.get(at).map(|known| &known.link);
        link.is_some_and(|link| link.dial == dial && (link.is_up() || link.is_dialling()))
    }

    fn plays_at(&self, at: usize, id: u32) -> Option<SessionHandle> {
        self.held.get(&id).filter(|held| held.playing && held.at == at).map(|held| held.handle)
    }

    /// Puts an order that is no set-up on a link; where it can't go, the link's end is the streamer's news.
    fn order(&mut self, now: Point, at: usize, order: ControllerMessage) {
        let Some(known) = self.known.get_mut(at).filter(|known| known.link.is_up()) else { return };
        if !known.link.push(QueuedMessage { message: order, attempt: None, not_after: None }) {
            // It takes no orders any more: to go on would leave it with streams that it does not know to end.
            self.hang(now, at);
        }
        self.pump(now, at);
    }

    /// Hands the next orders of a link to the I/O.
    fn pump(&mut self, now: Point, at: usize) {
        let Some(known) = self.known.get_mut(at) else { return };
        let orders = known.link.next_batch(now);
        if orders.is_empty() {
            return;
        }
        for (id, number) in orders.iter().filter_map(|queued| queued.attempt) {
            let out = self.held.get_mut(&id).and_then(|held| held.out.as_mut());
            if let Some(out) = out.filter(|out| out.number == number) {
                out.handed = Some(now);
                self.due.push(Reverse((out.deadline, id, number)));
            }
        }
        let dial = self.known[at].link.dial;
        self.effects.push(Effect::Write { at, dial, orders });
    }

    /// Memory is short: what is only remembered to serve better goes, nothing that is in hand.
    pub fn relieve(&mut self, history: bool) {
        self.viewers.shrink();
        if history {
            self.due.shrink_to_fit();
            self.effects.shrink_to_fit();
        }
    }

    /// Set-ups under way and the bound of each link that has one, for the operators.
    pub fn flights(&self) -> Vec<(String, usize, usize)> {
        let flight = |known: &Known| {
            let flight = known.link.set_up_limit.as_ref()?;
            Some((known.entry.streamer.clone(), flight.in_flight(), flight.limit()))
        };
        self.known.iter().filter_map(flight).collect()
    }

    /// Does what the module left to be done, until nothing is left.
    fn carry_out(&mut self, now: Point) {
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
                let Some(held) = self.held.remove(&id) else { continue };
                self.explain(now, "turned back", &held);
                let retry_after_s = after.map(Span::seconds);
                let answer = PlayResponse::Rejected { request_id: held.ask, retry_after_s };
                self.answer(id, answer, held.lane, held.shots);
            }
            for id in results.failed.drain(..) {
                let Some(held) = self.held.remove(&id) else { continue };
                self.explain(now, "scrapped", &held);
                self.answer(id, PlayResponse::Failed { request_id: held.ask }, held.lane, held.shots);
            }
            for id in results.moved.drain(..) {
                self.end(now, id, Why::Moved, EndReason::Moved);
            }
            for streamer in results.probes.drain(..) {
                self.look_at(now, &streamer);
            }
            if nothing {
                return;
            }
        }
    }

    /// One line a decision, for who asks for them.
    fn explain(&self, now: Point, verdict: &str, held: &Held) {
        tracing::debug!(
            target: "decision",
            ask = held.ask,
            lane = self.terms.lanes[held.lane].0,
            title = held.title,
            verdict,
            shots = held.shots,
            last_ending = ?held.last,
            left_s = (held.cut_off - now).seconds(),
            in_hand = self.held.len(),
        );
    }

    fn answer(&mut self, id: u32, answer: PlayResponse, lane: usize, shots: u32) {
        let (kind, place, ask) = match &answer {
            PlayResponse::Plays { request_id: ask, .. } => (ResponseKind::Plays, 0, ask.clone()),
            PlayResponse::Rejected { request_id: ask, .. } => (ResponseKind::Rejected, 1, ask.clone()),
            PlayResponse::Failed { request_id: ask } => (ResponseKind::Failed, 2, ask.clone()),
            // What was not taken never comes here.
            PlayResponse::NotAccepted { .. } => return,
        };
        self.answered[place] += 1;
        self.effects.push(Effect::Tap(TapEvent::ResponseSent { request_id: ask, kind }));
        let suggested_kbps = match &answer {
            PlayResponse::Plays { rate_kb, .. } => Some((rate_kb * 8.0).round() as u64),
            _ => None,
        };
        let duress = kind != ResponseKind::Plays;
        self.effects.push(Effect::Answer { id, answer, suggested_kbps, duress, lane, shots });
    }

    fn set_rung(&mut self, now: Point, id: u32, rung: usize) {
        let Some(held) = self.held.get_mut(&id) else { return };
        held.rung = rung;
        if !held.playing {
            return;
        }
        let (at, lane) = (held.at, held.lane);
        let rate_kb = self.rate_kb(lane, rung);
        self.effects.push(Effect::News { id, news: SessionEvent::RungChanged { rung, rate_kb } });
        let order = SetRung { id, rung: rung as u32, rate_kb: rate_kb.round() as u32 };
        self.order(now, at, ControllerMessage::SetRung(order));
    }

    /// Looks at a streamer, once for all who wait for it.
    fn look_at(&mut self, now: Point, streamer: &str) {
        let Some(at) = self.by_name.get(streamer).copied() else { return };
        if self.known[at].looking.is_some() {
            return;
        }
        if self.known[at].link.can_dial(now) {
            self.dial(now, at);
        }
        self.nonce += 1;
        let (nonce, until) = (self.nonce, now + self.terms.look_timeout);
        self.known[at].looking = Some((nonce, until));
        let order = QueuedMessage {
            message: ControllerMessage::Look(Look { nonce }),
            attempt: None,
            not_after: Some(until),
        };
        let link = &mut self.known[at].link;
        let possible = link.is_up() || link.is_dialling();
        if !possible || !link.push(order) {
            // Told at the next look at the links: a look never fails within the call that asked for it.
            self.known[at].looking = Some((nonce, now));
        }
        self.pump(now, at);
    }
}

impl Known {
    fn line(&self) -> StreamerEntry {
        let started = self.entry.started_at.unwrap_or(0.0).max(self.welcomed.unwrap_or(0.0));
        StreamerEntry {
            streamer: self.entry.streamer.clone(),
            zone: self.entry.zone.clone(),
            kind: self.entry.kind.clone(),
            cell: self.entry.cell,
            state: match self.entry.state {
                list::StreamerState::Ready => StreamerState::Ready,
                list::StreamerState::Draining => StreamerState::Draining,
                list::StreamerState::Gone => StreamerState::Gone,
            },
            weight: self.entry.weight,
            started_at: (started > 0.0).then(|| Point::at(started)),
        }
    }
}

/// The load report in a CMSD-Dynamic value; nothing where there is none or it is not valid.
fn load(cmsd_dynamic: &str) -> Load {
    let Some(dynamic) = CmsdDynamic::parse(cmsd_dynamic) else { return Load::default() };
    let sane = |value: Option<f64>| value.filter(|v| v.is_finite() && *v >= 0.0);
    Load {
        streams: sane(dynamic.streams),
        link_utilization: sane(dynamic.link_utilization),
        uplink_utilization: sane(dynamic.uplink_utilization),
    }
}
