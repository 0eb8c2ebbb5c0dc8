//! Many controllers in virtual time: real drivers and modules, real gossip, the streamers' model, and viewers that lean
//! to some controllers. Nothing here decides; it carries words and counts what came of them.

use crate::day::Day;
use crate::model::{Conn, Model, Out, Stand};
use crate::simulated_network::{NetworkConfig, SimulatedNetwork};
use lemontide::clock::{Point, Span};
use lemontide_front::core::{CoordinationSettings, Driver, Effect};
use lemontide_wire::cmcd::Cmcd;
use lemontide_wire::link::{ControllerMessage, Looked, Pong, StreamerMessage};
use lemontide_wire::list::{ListEntry, StreamerList};
use lemontide_wire::play::{PlayRequest, PlayResponse};
use lemontide_wire::tap::TapEvent;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The world's step, in seconds; and how often gossip's word of who is there is handed to a driver.
const STEP: f64 = 0.01;
const HAND_OVER: f64 = 0.25;
/// The list tells of a start or an end so much later.
const LISTED: f64 = 0.8;
const BEGIN: f64 = 100_000.0;

/// Where controllers have their view from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Views {
    /// None: a link to every streamer, turns by number.
    Mesh,
    Settings,
    Gossip,
}

/// How a swarm is laid out.
#[derive(Clone, Debug)]
pub struct Plan {
    pub controllers: usize,
    pub streamers: usize,
    pub views: Views,
    /// Wishes a second of all viewers, and how much some controllers get more: 0 is evenly.
    pub per_s: f64,
    pub uneven: f64,
    pub seconds: f64,
    /// Streamers restart and controllers die and come back.
    pub changing: bool,
    pub seed: u64,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Came {
    pub asked: u64,
    pub plays: u64,
    pub turned_back: u64,
    /// Gain that came over gain that was asked for.
    pub gain: f64,
    /// Connections opened over all, and those that stood: the most at any second, and the mean of the last half.
    pub opened: u64,
    pub stood_most: usize,
    pub stood: f64,
    /// Set-ups at the busiest streamer over its due by weight.
    pub busiest: f64,
    /// Windows in which a cold streamer got more than it can take, and set-ups that cold ones got.
    pub over_budget: u64,
    pub to_cold: u64,
    /// Turns of missing controllers: looks at which somebody stood for one, and at which two stood for the same.
    pub stood_for: u64,
    pub two_heirs: u64,
    /// Seconds until 99 in 100 of what all controllers think of each other was true, after the deaths and after the
    /// returns; and until all of it was.
    pub agreed_s: Vec<f64>,
    pub agreed_all_s: Vec<f64>,
    /// Seconds of CPU in drivers and modules.
    pub spent: Duration,
}

struct Instance {
    driver: Driver,
    /// Connection and dial by streamer.
    wires: BTreeMap<usize, (Conn, u64)>,
    stands: Vec<u32>,
}

/// A swarm at work.
pub struct Swarm {
    plan: Plan,
    day: Day,
    model: Model,
    town: Option<SimulatedNetwork>,
    instances: Vec<Option<Instance>>,
    by_conn: BTreeMap<Conn, (usize, usize)>,
    list: StreamerList,
    now: f64,
    weights: Vec<f64>,
    chance: StdRng,
    asks: u32,
    earned: f64,
    wanted: f64,
    set_ups: Vec<u64>,
    got: Vec<VecDeque<f64>>,
    came: Came,
}

/// The day that swarms play: titles on three streamers each, weights of 16 and 10, links for about the load.
fn day(plan: &Plan) -> Day {
    let cells = plan.streamers;
    let weight = |i: usize| if i.is_multiple_of(2) { 16.0 } else { 10.0 };
    let all: f64 = (0..cells).map(weight).sum();
    // About 700 kB/s a viewer that stays 7.5 s, at three quarters of all links.
    let kb = plan.per_s * 7.5 * 700.0 / 0.75 / all;
    let zone = |i: usize| ["north", "south"][i % 2];
    let streamer = |i: usize| json!({"name": format!("s{i}"), "zone": zone(i / 2), "cell": i, "weight": weight(i), "link_kb": weight(i) * kb});
    let lane = |name: &str, gain: f64, repeat: &str, share: f64| {
        json!({"name": name, "gain": gain, "latency_goal_s": 1, "cut_off_s": 4, "repeat": repeat, "share": share,
               "watched_s": [5, 10], "set_up_s": 0.03})
    };
    let title =
        |i: usize| (format!("t{i}"), json!({"home": i * 7 % cells, "copies": 3.min(cells), "share": 1.0}));
    let day = json!({
        "name": "swarm", "seed": plan.seed, "length_s": 60, "zones": ["north", "south"],
        "controllers": (0..plan.controllers).map(zone).collect::<Vec<_>>(),
        "streamers": (0..cells).map(streamer).collect::<Vec<_>>(),
        "uplinks_kb": [1e9, 1e9], "kind": "std", "places": 40, "kb_per_weight": kb, "cells": cells,
        "titles": (0..cells).map(title).collect::<serde_json::Map<_, _>>(),
        "lanes": [lane("paid", 2.0, "paid", 0.3), lane("free", 1.0, "free", 0.7)],
        "ladder": {"kb": [200, 400, 800, 1200], "gain": [0.3, 0.55, 0.8, 1.0]}, "shortfall_cost": 7,
        "viewers": {"per_s": plan.per_s, "returns": 0, "rejoin_s": 1},
        "reports": {"age_s": 0.6, "every_s": 2.5, "noise": 0.03, "streams": true},
        "news": {"ended_s": LISTED, "silent_s": 5, "started_s": LISTED}, "shots": {"most": 3},
        "retry_after": {"allowed": true, "longest_s": 0.5},
        "tenants": [{"name": "all", "quota_per_s": plan.per_s, "share": 1}],
        "cold": {"span_s": 10, "from": 0.4, "multiple": 2.5, "window_s": 1},
        "links": {"dial_timeout_s": 0.25}, "rules": {"answer_slack_s": 0.5, "drain_grace_s": 0.5}
    });
    serde_json::from_value(day).unwrap_or_else(|e| unreachable!("the swarm's day is written here: {e}"))
}

impl Swarm {
    pub fn new(plan: Plan) -> Swarm {
        let day = day(&plan);
        let nowhere: Vec<SocketAddr> = vec![SocketAddr::from(([127, 0, 0, 1], 1)); plan.streamers];
        let mut chance = StdRng::seed_from_u64(plan.seed);
        // A few get several times the mean.
        let weights = (0..plan.controllers)
            .map(|_| (plan.uneven * (chance.random::<f64>() + chance.random::<f64>() - 1.0) * 2.0).exp())
            .collect();
        let town = (plan.views == Views::Gossip).then(|| {
            SimulatedNetwork::new(NetworkConfig {
                preloaded: true,
                seed: plan.seed,
                ..NetworkConfig::of(plan.controllers)
            })
        });
        let mut swarm = Swarm {
            model: Model::new(&day, BEGIN),
            list: day.first_list(&nowhere),
            instances: (0..plan.controllers).map(|_| None).collect(),
            by_conn: BTreeMap::new(),
            now: BEGIN,
            weights,
            chance,
            asks: 0,
            earned: 0.0,
            wanted: 0.0,
            set_ups: vec![0; plan.streamers],
            got: vec![VecDeque::new(); plan.streamers],
            came: Came::default(),
            town,
            day,
            plan,
        };
        // All have run for long: nobody is young, and nobody holds back as one that just started.
        for me in 0..swarm.plan.controllers {
            swarm.start(me, BEGIN - 100.0);
        }
        swarm
    }

    fn at(&self) -> Point {
        Point::at(self.now)
    }

    fn start(&mut self, me: usize, born: f64) {
        let settings =
            self.day.settings(me, std::path::Path::new("list.json"), None, self.plan.seed + me as u64);
        let shared = CoordinationSettings {
            own_number: me as u32,
            controller_count: self.plan.controllers as u32,
            uses_gossip: self.plan.views == Views::Gossip,
            max_view_age: Span::of(15.0),
            uses_subset: true,
            idle_timeout: Span::of(10.0),
            zone: None,
            mean_requests_per_s: Some(self.plan.per_s / self.plan.controllers as f64),
        };
        let mut terms = settings.driver_settings();
        terms.coordination = (self.plan.views != Views::Mesh).then_some(shared);
        let mut driver =
            Driver::new(Point::at(born), self.plan.seed + me as u64, &settings.controller_settings(), terms);
        driver.update_list(Point::at(born), &self.list);
        self.instances[me] = Some(Instance { driver, wires: BTreeMap::new(), stands: Vec::new() });
        self.perform(me);
    }

    /// Kills a controller: its connections break, and nobody answers.
    fn kill(&mut self, me: usize) {
        let Some(instance) = self.instances[me].take() else { return };
        for (at, (conn, _)) in instance.wires {
            self.by_conn.remove(&conn);
            self.model.disconnected(at, conn);
        }
        if let Some(town) = &mut self.town {
            town.running[me] = false;
        }
    }

    /// Calls on a driver, counts what it takes, and carries out what it wants done.
    fn with<T>(&mut self, me: usize, call: impl FnOnce(&mut Driver, Point) -> T) -> Option<T> {
        let now = self.at();
        let instance = self.instances[me].as_mut()?;
        let began = Instant::now();
        let result = call(&mut instance.driver, now);
        self.came.spent += began.elapsed();
        self.perform(me);
        Some(result)
    }

    fn perform(&mut self, me: usize) {
        loop {
            let Some(instance) = self.instances[me].as_mut() else { return };
            let effects = std::mem::take(&mut instance.driver.effects);
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.effect(me, effect);
            }
        }
    }

    fn effect(&mut self, me: usize, effect: Effect) {
        let now = self.at();
        match effect {
            Effect::Dial { streamer_index: at, dial, .. } => {
                if self.model.stand(at) == Stand::Up {
                    let conn = self.model.connected(self.now, at, me);
                    self.came.opened += 1;
                    self.by_conn.insert(conn, (me, at));
                    let started = self.model.started(at).unwrap_or(0.0);
                    let Some(instance) = self.instances[me].as_mut() else { return };
                    if let Some((old, _)) = instance.wires.insert(at, (conn, dial)) {
                        self.by_conn.remove(&old);
                        self.model.disconnected(at, old);
                    }
                    instance.driver.link_connected(now, at, dial, started);
                } else if let Some(instance) = self.instances[me].as_mut() {
                    instance.driver.link_lost(now, at, dial, false);
                }
            }
            Effect::CloseConnection { streamer_index: at, .. } => {
                let wire = self.instances[me].as_mut().and_then(|instance| instance.wires.remove(&at));
                if let Some((conn, _)) = wire {
                    self.by_conn.remove(&conn);
                    self.model.disconnected(at, conn);
                }
            }
            Effect::Write { streamer_index: at, dial, messages: orders } => {
                let wire = self.instances[me].as_ref().and_then(|instance| instance.wires.get(&at).copied());
                let Some((conn, _)) = wire.filter(|wire| wire.1 == dial) else { return };
                for queued in orders {
                    self.order(me, at, conn, queued.message);
                }
                if let Some(instance) = self.instances[me].as_mut() {
                    instance.driver.batch_written(now, at, dial, Vec::new());
                }
            }
            Effect::Response { response: answer, .. } => match answer {
                PlayResponse::Plays { .. } => self.came.plays += 1,
                _ => self.came.turned_back += 1,
            },
            Effect::Tap(TapEvent::TurnsCovered { controllers: numbers, .. }) => {
                if let Some(instance) = self.instances[me].as_mut() {
                    instance.stands = numbers;
                }
            }
            Effect::Tap(_) | Effect::StreamerObserved { .. } | Effect::SessionEvent { .. } => {}
        }
    }

    fn order(&mut self, me: usize, at: usize, conn: Conn, order: ControllerMessage) {
        let told = match order {
            ControllerMessage::SetUp(set_up) => {
                self.set_ups[at] += 1;
                self.count_cold(at);
                return self.model.set_up(self.now, at, conn, set_up);
            }
            ControllerMessage::SetRung(rung) => {
                return self.model.set_rung(at, conn, rung.id, rung.rung as usize, f64::from(rung.rate_kb));
            }
            ControllerMessage::Cancel(cancel) => return self.model.cancel(at, conn, cancel.id, cancel.shot),
            ControllerMessage::Look(look) => {
                StreamerMessage::Looked(Looked { nonce: look.nonce, cmsd_dynamic: self.model.look(at) })
            }
            ControllerMessage::Ping(ping) => StreamerMessage::Pong(Pong { nonce: ping.nonce }),
            ControllerMessage::Hello(_) => return,
        };
        self.tell(me, at, told);
    }

    fn tell(&mut self, me: usize, at: usize, told: StreamerMessage) {
        let now = self.at();
        let Some(instance) = self.instances[me].as_mut() else { return };
        let Some((_, dial)) = instance.wires.get(&at).copied() else { return };
        let began = Instant::now();
        instance.driver.message_received(now, at, dial, told);
        self.came.spent += began.elapsed();
    }

    /// Counts a set-up against what a cold streamer takes in a window at its coldest.
    fn count_cold(&mut self, at: usize) {
        let cold = &self.day.cold_start;
        let Some(started) = self.model.started(at).filter(|started| self.now - started < cold.warm_up_s)
        else {
            return;
        };
        self.came.to_cold += 1;
        let got = &mut self.got[at];
        got.push_back(self.now);
        got.retain(|then| self.now - then <= cold.window_s && *then >= started);
        let warmth = cold.initial_part + (1.0 - cold.initial_part) * (self.now - started) / cold.warm_up_s;
        let budget = cold.overload_multiple * self.day.max_streams / cold.warm_up_s * warmth * cold.window_s;
        self.came.over_budget += u64::from(got.len() as f64 > budget + 1.0);
    }

    fn deliver(&mut self) {
        loop {
            let outs = self.model.take();
            if outs.is_empty() {
                return;
            }
            for out in outs {
                match out {
                    Out::Say { conn, told } => {
                        if let Some((me, at)) = self.by_conn.get(&conn).copied() {
                            self.tell(me, at, told);
                            self.perform(me);
                        }
                    }
                    Out::Cut { conn } => {
                        let Some((me, at)) = self.by_conn.remove(&conn) else { continue };
                        self.model.disconnected(at, conn);
                        let now = self.at();
                        let Some(instance) = self.instances[me].as_mut() else { continue };
                        let Some((_, dial)) = instance.wires.remove(&at) else { continue };
                        instance.driver.link_lost(now, at, dial, true);
                        self.perform(me);
                    }
                    Out::Tap {
                        seen: TapEvent::Delivered { rung, seconds, share, request_id: ask, .. },
                        ..
                    } => {
                        let gain = if ask.starts_with('p') { 2.0 } else { 1.0 };
                        let rung = self.day.ladder.gains.get(rung).copied().unwrap_or(0.0);
                        let lost = self.day.shortfall_cost * (0.98 - share).max(0.0);
                        self.earned += gain * rung * seconds * (1.0 - lost).max(0.0);
                    }
                    Out::Tap { .. } => {}
                }
            }
        }
    }

    fn arrive(&mut self) {
        let mut left = self.plan.per_s * STEP;
        while left > 0.0 && self.chance.random::<f64>() < left {
            left -= 1.0;
            let all: f64 = self.weights.iter().sum();
            let mut drawn = self.chance.random::<f64>() * all;
            let me = self.weights.iter().position(|weight| {
                drawn -= weight;
                drawn < 0.0
            });
            let mut me = me.unwrap_or(0);
            // Players whose controller is gone go to the next one.
            while self.instances[me].is_none() {
                me = (me + 1) % self.instances.len();
            }
            let paid = self.chance.random::<f64>() < 0.3;
            let (lane, gain) = if paid { ("paid", 2.0) } else { ("free", 1.0) };
            let watches = 5.0 + 5.0 * self.chance.random::<f64>();
            let title = self.chance.random_range(0..self.plan.streamers);
            self.asks += 1;
            let (id, ask) = (self.asks, format!("{}{}", &lane[..1], self.asks));
            self.model.wants(&ask, watches);
            self.came.asked += 1;
            // What would last past the end can't be earned.
            self.wanted += gain * watches.min(BEGIN + self.plan.seconds - self.now);
            let wish = PlayRequest {
                title: format!("t{title}"),
                class: lane.into(),
                tenant: "all".into(),
                request_id: ask,
                expected_duration_s: Some(watches),
                ..PlayRequest::default()
            };
            let _ = self.with(me, |driver, now| driver.submit(now, now, id, &wish, &Cmcd::default()));
        }
    }

    fn learn(&mut self) {
        self.list.version += 1;
        let list = self.list.clone();
        for me in 0..self.instances.len() {
            self.with(me, |driver, now| driver.update_list(now, &list));
        }
    }

    /// The part of what running controllers think of each other that is true: who runs counts as there, and nobody else.
    fn agreement(&mut self) -> f64 {
        let up: Vec<bool> = self.instances.iter().map(Option::is_some).collect();
        let Some(town) = &mut self.town else { return 1.0 };
        let (mut right, mut all) = (0, 0);
        for me in (0..up.len()).filter(|me| up[*me]) {
            let numbers = town.with_node(me, |node, _| node.gone_since_by_number());
            let lives = |other: usize| matches!(numbers.get(&(other as u32)), Some(None));
            for other in (0..up.len()).filter(|other| *other != me) {
                all += 1;
                right += u32::from(lives(other) == up[other]);
            }
        }
        f64::from(right) / f64::from(all.max(1))
    }

    /// Plays it to the end.
    pub fn run(mut self) -> Came {
        let steps = (self.plan.seconds / STEP) as usize;
        let hand_over = (HAND_OVER / STEP) as usize;
        let (mut waits, mut samples): (Option<(f64, bool)>, Vec<usize>) = (None, Vec::new());
        // A tenth of the streamers restart one after the other; half of the controllers die at once and come back.
        let (restarts_at, dies_at, returns_at) = (0.2, 0.3, 0.75);
        let moment = |part: f64| (part * steps as f64) as usize;
        let restarted: Vec<usize> = (0..self.plan.streamers).step_by(10).collect();
        let dying: Vec<usize> = (0..self.plan.controllers).filter(|me| me % 2 == 1).collect();
        let mut listed: Vec<(f64, usize)> = Vec::new();
        for step in 0..steps {
            self.now = BEGIN + step as f64 * STEP;
            if self.plan.changing {
                let each = moment(0.5) / restarted.len().max(1);
                let since = step.checked_sub(moment(restarts_at));
                if let Some(nth) =
                    since.filter(|since| since.is_multiple_of(each.max(1))).map(|s| s / each.max(1))
                {
                    if let Some(at) = restarted.get(nth) {
                        self.model.kill(*at);
                        self.model.restart(self.now, *at);
                        listed.push((self.now + LISTED, *at));
                    }
                }
                if step == moment(dies_at) {
                    dying.iter().for_each(|me| self.kill(*me));
                    waits = Some((self.now, false));
                }
                if step == moment(returns_at) {
                    for me in &dying {
                        if let Some(town) = &mut self.town {
                            town.restart(*me, 2);
                        }
                        self.start(*me, self.now);
                    }
                    waits = Some((self.now, false));
                }
            }
            let due: Vec<usize> =
                listed.iter().filter(|(when, _)| *when <= self.now).map(|(_, at)| *at).collect();
            if !due.is_empty() {
                listed.retain(|(when, _)| *when > self.now);
                for at in due {
                    let entry: &mut ListEntry = &mut self.list.streamers[at];
                    entry.started_at = self.model.started(at);
                }
                self.learn();
            }
            self.model.step(self.now);
            self.deliver();
            self.arrive();
            self.deliver();
            if step.is_multiple_of(hand_over) {
                self.hand_over();
                if let Some((since, mostly)) = waits.filter(|_| self.town.is_some()) {
                    let (agreement, took) = (self.agreement(), self.now - since);
                    if agreement >= 0.99 && !mostly {
                        self.came.agreed_s.push(took);
                        waits = Some((since, true));
                    }
                    if agreement >= 1.0 {
                        self.came.agreed_all_s.push(took);
                        waits = None;
                    }
                }
            }
            let now = self.at();
            for me in 0..self.instances.len() {
                if self.instances[me].as_ref().is_some_and(|instance| instance.driver.next_tick_at() <= now) {
                    self.with(me, |driver, now| driver.tick(now));
                }
            }
            self.deliver();
            if step.is_multiple_of((1.0 / STEP) as usize) {
                samples.push(self.by_conn.len());
            }
        }
        self.sum_up(&samples)
    }

    fn hand_over(&mut self) {
        if let Some(mut town) = self.town.take() {
            town.advance(HAND_OVER);
            for me in 0..self.instances.len() {
                if self.instances[me].is_some() {
                    let numbers = town.with_node(me, |node, _| node.gone_since_by_number());
                    self.with(me, |driver, now| driver.update_membership(now, &numbers));
                }
            }
            self.town = Some(town);
        }
        let mut heirs: BTreeMap<u32, u64> = BTreeMap::new();
        for number in self.instances.iter().flatten().flat_map(|instance| &instance.stands) {
            *heirs.entry(*number).or_default() += 1;
        }
        self.came.stood_for += heirs.len() as u64;
        self.came.two_heirs += heirs.values().filter(|heirs| **heirs > 1).count() as u64;
    }

    fn sum_up(mut self, samples: &[usize]) -> Came {
        let half = &samples[samples.len() / 2..];
        self.came.stood = half.iter().sum::<usize>() as f64 / half.len().max(1) as f64;
        self.came.stood_most = samples.iter().copied().max().unwrap_or(0);
        self.came.gain = self.earned / self.wanted.max(1e-9);
        let weight = |at: usize| self.day.streamers[at].weight;
        let (all, weights): (u64, f64) =
            (self.set_ups.iter().sum(), (0..self.set_ups.len()).map(weight).sum());
        let over = |at: usize| self.set_ups[at] as f64 / (all.max(1) as f64 * weight(at) / weights);
        self.came.busiest = (0..self.set_ups.len()).map(over).fold(0.0, f64::max);
        self.came
    }
}
