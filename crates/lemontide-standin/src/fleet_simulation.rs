//! Fleet simulation: many controllers in virtual time, with real drivers, decision modules and gossip, the capacity model
//! of the streamers, and viewers that prefer some controllers. It makes no decisions; it carries messages and counts
//! results.

use crate::day::Day;
use crate::model::{CapacityModel, ConnectionId, Output, SocketState};
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

/// Step of the virtual time.
const STEP_S: f64 = 0.01;
/// How often drivers get the membership that gossip knows.
const MEMBERSHIP_UPDATE_S: f64 = 0.25;
/// Delay until the list shows that a streamer started or ended.
const LIST_DELAY_S: f64 = 0.8;
/// Virtual time at the start.
const START_S: f64 = 100_000.0;

/// Where controllers get their view of the fleet of controllers from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewSource {
    /// They have no view: each connects to every streamer and takes turns by its number.
    FullMesh,
    /// From their settings.
    Settings,
    /// From gossip.
    Gossip,
}

/// Configuration of a fleet simulation.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// Number of controllers.
    pub controllers: usize,
    /// Number of streamers.
    pub streamers: usize,
    /// Where controllers get their view from.
    pub view_source: ViewSource,
    /// Arrival rate of the requests of all viewers.
    pub requests_per_s: f64,
    /// How unevenly requests arrive at the controllers; 0 is evenly.
    pub imbalance: f64,
    /// Virtual time that is simulated.
    pub duration_s: f64,
    /// Streamers restart, and controllers crash and return.
    pub with_failures: bool,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Result of a fleet simulation.
#[derive(Clone, Debug, Default)]
pub struct SimulationResult {
    /// Requests that were sent.
    pub requests: u64,
    /// Requests that led to a playing session.
    pub plays: u64,
    /// Requests that got any other response.
    pub rejected: u64,
    /// Gain that was earned over the gain of full delivery to all viewers.
    pub gain: f64,
    /// Connections that were opened.
    pub connections_opened: u64,
    /// Most open connections at any second.
    pub max_connections: usize,
    /// Mean number of open connections in the second half.
    pub mean_connections: f64,
    /// Set-ups at the busiest streamer over its share by weight.
    pub busiest_load_ratio: f64,
    /// Set-ups beyond what a streamer in its warm-up can take within a window.
    pub warm_up_overloads: u64,
    /// Set-ups sent to streamers in their warm-up.
    pub set_ups_in_warm_up: u64,
    /// Membership updates at which some controller covered the turns of a missing one, for each missing one.
    pub covered_turns: u64,
    /// Those at which two controllers covered the same one.
    pub doubly_covered_turns: u64,
    /// Time until 99 % of the controllers' knowledge of each other was right, after the crashes and after the returns.
    pub mostly_agreed_after_s: Vec<f64>,
    /// Time until all of it was right.
    pub fully_agreed_after_s: Vec<f64>,
    /// Time spent in drivers and decision modules.
    pub cpu_time: Duration,
}

struct Instance {
    driver: Driver,
    /// Connection and dial by streamer.
    connections: BTreeMap<usize, (ConnectionId, u64)>,
    /// Numbers of the missing controllers whose turns it covers.
    covered_numbers: Vec<u32>,
}

/// A fleet simulation.
pub struct FleetSimulation {
    config: SimulationConfig,
    day: Day,
    model: CapacityModel,
    network: Option<SimulatedNetwork>,
    instances: Vec<Option<Instance>>,
    by_connection: BTreeMap<ConnectionId, (usize, usize)>,
    list: StreamerList,
    now: f64,
    /// Weight of each controller in the viewers' choice of one.
    arrival_weights: Vec<f64>,
    rng: StdRng,
    last_request_number: u32,
    earned_gain: f64,
    possible_gain: f64,
    /// Set-ups by streamer.
    set_ups: Vec<u64>,
    /// Times of the recent set-ups of each streamer in its warm-up.
    recent_set_ups: Vec<VecDeque<f64>>,
    result: SimulationResult,
}

/// The day that is simulated: titles on three streamers each, weights of 16 and 10, links sized for about the load.
fn day(config: &SimulationConfig) -> Day {
    let cells = config.streamers;
    let weight = |i: usize| if i.is_multiple_of(2) { 16.0 } else { 10.0 };
    let total_weight: f64 = (0..cells).map(weight).sum();
    // About 700 kB/s for each viewer, who stays 7.5 s, at a link utilization of three quarters.
    let kb_per_weight = config.requests_per_s * 7.5 * 700.0 / 0.75 / total_weight;
    let zone = |i: usize| ["north", "south"][i % 2];
    let streamer = |i: usize| json!({"name": format!("s{i}"), "zone": zone(i / 2), "cell": i, "weight": weight(i), "link_kb": weight(i) * kb_per_weight});
    let class = |name: &str, gain: f64, repeat: &str, share: f64| {
        json!({"name": name, "gain": gain, "latency_goal_s": 1, "cut_off_s": 4, "repeat": repeat, "share": share,
               "watched_s": [5, 10], "set_up_s": 0.03})
    };
    let title =
        |i: usize| (format!("t{i}"), json!({"home": i * 7 % cells, "copies": 3.min(cells), "share": 1.0}));
    let day = json!({
        "name": "swarm", "seed": config.seed, "length_s": 60, "zones": ["north", "south"],
        "controllers": (0..config.controllers).map(zone).collect::<Vec<_>>(),
        "streamers": (0..cells).map(streamer).collect::<Vec<_>>(),
        "uplinks_kb": [1e9, 1e9], "kind": "std", "places": 40, "kb_per_weight": kb_per_weight, "cells": cells,
        "titles": (0..cells).map(title).collect::<serde_json::Map<_, _>>(),
        "lanes": [class("paid", 2.0, "paid", 0.3), class("free", 1.0, "free", 0.7)],
        "ladder": {"kb": [200, 400, 800, 1200], "gain": [0.3, 0.55, 0.8, 1.0]}, "shortfall_cost": 7,
        "viewers": {"per_s": config.requests_per_s, "returns": 0, "rejoin_s": 1},
        "reports": {"age_s": 0.6, "every_s": 2.5, "noise": 0.03, "streams": true},
        "news": {"ended_s": LIST_DELAY_S, "silent_s": 5, "started_s": LIST_DELAY_S}, "shots": {"most": 3},
        "retry_after": {"allowed": true, "longest_s": 0.5},
        "tenants": [{"name": "all", "quota_per_s": config.requests_per_s, "share": 1}],
        "cold": {"span_s": 10, "from": 0.4, "multiple": 2.5, "window_s": 1},
        "links": {"dial_timeout_s": 0.25}, "rules": {"answer_slack_s": 0.5, "drain_grace_s": 0.5}
    });
    serde_json::from_value(day).unwrap_or_else(|e| unreachable!("the simulated day is written here: {e}"))
}

impl FleetSimulation {
    /// A fleet whose controllers have run for long.
    pub fn new(config: SimulationConfig) -> FleetSimulation {
        let day = day(&config);
        let unused_addresses: Vec<SocketAddr> = vec![SocketAddr::from(([127, 0, 0, 1], 1)); config.streamers];
        let mut rng = StdRng::seed_from_u64(config.seed);
        // A few controllers get several times the mean number of requests.
        let arrival_weights = (0..config.controllers)
            .map(|_| (config.imbalance * (rng.random::<f64>() + rng.random::<f64>() - 1.0) * 2.0).exp())
            .collect();
        let network = (config.view_source == ViewSource::Gossip).then(|| {
            SimulatedNetwork::new(NetworkConfig {
                preloaded: true,
                seed: config.seed,
                ..NetworkConfig::of(config.controllers)
            })
        });
        let mut simulation = FleetSimulation {
            model: CapacityModel::new(&day, START_S),
            list: day.first_list(&unused_addresses),
            instances: (0..config.controllers).map(|_| None).collect(),
            by_connection: BTreeMap::new(),
            now: START_S,
            arrival_weights,
            rng,
            last_request_number: 0,
            earned_gain: 0.0,
            possible_gain: 0.0,
            set_ups: vec![0; config.streamers],
            recent_set_ups: vec![VecDeque::new(); config.streamers],
            result: SimulationResult::default(),
            network,
            day,
            config,
        };
        // The controllers started long ago, so none of them limits its sends as a new one does.
        for controller in 0..simulation.config.controllers {
            simulation.start(controller, START_S - 100.0);
        }
        simulation
    }

    fn now_point(&self) -> Point {
        Point::at(self.now)
    }

    fn start(&mut self, controller: usize, started_at: f64) {
        let settings = self.day.settings(
            controller,
            std::path::Path::new("list.json"),
            None,
            self.config.seed + controller as u64,
        );
        let coordination = CoordinationSettings {
            own_number: controller as u32,
            controller_count: self.config.controllers as u32,
            uses_gossip: self.config.view_source == ViewSource::Gossip,
            max_view_age: Span::of(15.0),
            uses_subset: true,
            idle_timeout: Span::of(10.0),
            zone: None,
            mean_requests_per_s: Some(self.config.requests_per_s / self.config.controllers as f64),
        };
        let mut driver_settings = settings.driver_settings();
        driver_settings.coordination =
            (self.config.view_source != ViewSource::FullMesh).then_some(coordination);
        let mut driver = Driver::new(
            Point::at(started_at),
            self.config.seed + controller as u64,
            &settings.controller_settings(),
            driver_settings,
        );
        driver.update_list(Point::at(started_at), &self.list);
        self.instances[controller] =
            Some(Instance { driver, connections: BTreeMap::new(), covered_numbers: Vec::new() });
        self.perform_effects(controller);
    }

    /// Crashes a controller: its connections break.
    fn kill(&mut self, controller: usize) {
        let Some(instance) = self.instances[controller].take() else { return };
        for (streamer, (connection, _)) in instance.connections {
            self.by_connection.remove(&connection);
            self.model.connection_closed(streamer, connection);
        }
        if let Some(network) = &mut self.network {
            network.running[controller] = false;
        }
    }

    /// Calls a function on a driver, measures its time, and performs the effects.
    fn with_driver<T>(&mut self, controller: usize, call: impl FnOnce(&mut Driver, Point) -> T) -> Option<T> {
        let now = self.now_point();
        let instance = self.instances[controller].as_mut()?;
        let call_start = Instant::now();
        let returned = call(&mut instance.driver, now);
        self.result.cpu_time += call_start.elapsed();
        self.perform_effects(controller);
        Some(returned)
    }

    fn perform_effects(&mut self, controller: usize) {
        loop {
            let Some(instance) = self.instances[controller].as_mut() else { return };
            let effects = std::mem::take(&mut instance.driver.effects);
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.perform_effect(controller, effect);
            }
        }
    }

    fn perform_effect(&mut self, controller: usize, effect: Effect) {
        let now = self.now_point();
        match effect {
            Effect::Dial { streamer_index: streamer, dial, .. } => {
                if self.model.socket_state(streamer) == SocketState::Up {
                    let connection = self.model.connection_opened(self.now, streamer, controller);
                    self.result.connections_opened += 1;
                    self.by_connection.insert(connection, (controller, streamer));
                    let started = self.model.started_at(streamer).unwrap_or(0.0);
                    let Some(instance) = self.instances[controller].as_mut() else { return };
                    if let Some((old, _)) = instance.connections.insert(streamer, (connection, dial)) {
                        self.by_connection.remove(&old);
                        self.model.connection_closed(streamer, old);
                    }
                    instance.driver.link_connected(now, streamer, dial, started);
                } else if let Some(instance) = self.instances[controller].as_mut() {
                    instance.driver.link_lost(now, streamer, dial, false);
                }
            }
            Effect::CloseConnection { streamer_index: streamer, .. } => {
                let closed = self.instances[controller]
                    .as_mut()
                    .and_then(|instance| instance.connections.remove(&streamer));
                if let Some((connection, _)) = closed {
                    self.by_connection.remove(&connection);
                    self.model.connection_closed(streamer, connection);
                }
            }
            Effect::Write { streamer_index: streamer, dial, messages } => {
                let open = self.instances[controller]
                    .as_ref()
                    .and_then(|instance| instance.connections.get(&streamer).copied());
                let Some((connection, _)) = open.filter(|(_, of_dial)| *of_dial == dial) else { return };
                for queued in messages {
                    self.deliver_to_streamer(controller, streamer, connection, queued.message);
                }
                if let Some(instance) = self.instances[controller].as_mut() {
                    instance.driver.batch_written(now, streamer, dial, Vec::new());
                }
            }
            Effect::Response { response, .. } => match response {
                PlayResponse::Plays { .. } => self.result.plays += 1,
                _ => self.result.rejected += 1,
            },
            Effect::Tap(TapEvent::TurnsCovered { controllers: covered, .. }) => {
                if let Some(instance) = self.instances[controller].as_mut() {
                    instance.covered_numbers = covered;
                }
            }
            Effect::Tap(_) | Effect::StreamerObserved { .. } | Effect::SessionEvent { .. } => {}
        }
    }

    fn deliver_to_streamer(
        &mut self,
        controller: usize,
        streamer: usize,
        connection: ConnectionId,
        message: ControllerMessage,
    ) {
        let answer = match message {
            ControllerMessage::SetUp(set_up) => {
                self.set_ups[streamer] += 1;
                self.count_warm_up_set_up(streamer);
                return self.model.set_up(self.now, streamer, connection, set_up);
            }
            ControllerMessage::SetRung(rung) => {
                return self.model.set_rung(
                    streamer,
                    connection,
                    rung.id,
                    rung.rung as usize,
                    f64::from(rung.rate_kb),
                );
            }
            ControllerMessage::Cancel(cancel) => {
                return self.model.cancel(streamer, connection, cancel.id, cancel.shot)
            }
            ControllerMessage::Look(look) => StreamerMessage::Looked(Looked {
                nonce: look.nonce,
                cmsd_dynamic: self.model.probe(streamer),
            }),
            ControllerMessage::Ping(ping) => StreamerMessage::Pong(Pong { nonce: ping.nonce }),
            ControllerMessage::Hello(_) => return,
        };
        self.deliver_to_controller(controller, streamer, answer);
    }

    fn deliver_to_controller(&mut self, controller: usize, streamer: usize, message: StreamerMessage) {
        let now = self.now_point();
        let Some(instance) = self.instances[controller].as_mut() else { return };
        let Some((_, dial)) = instance.connections.get(&streamer).copied() else { return };
        let call_start = Instant::now();
        instance.driver.message_received(now, streamer, dial, message);
        self.result.cpu_time += call_start.elapsed();
    }

    /// Counts a set-up, and whether it exceeds what a streamer in its warm-up can take within a window.
    fn count_warm_up_set_up(&mut self, streamer: usize) {
        let cold_start = &self.day.cold_start;
        let Some(started) =
            self.model.started_at(streamer).filter(|started| self.now - started < cold_start.warm_up_s)
        else {
            return;
        };
        self.result.set_ups_in_warm_up += 1;
        let recent = &mut self.recent_set_ups[streamer];
        recent.push_back(self.now);
        recent.retain(|then| self.now - then <= cold_start.window_s && *then >= started);
        let capacity_part = cold_start.initial_part
            + (1.0 - cold_start.initial_part) * (self.now - started) / cold_start.warm_up_s;
        let budget = cold_start.overload_multiple * self.day.max_streams / cold_start.warm_up_s
            * capacity_part
            * cold_start.window_s;
        self.result.warm_up_overloads += u64::from(recent.len() as f64 > budget + 1.0);
    }

    /// Carries out the outputs of the capacity model.
    fn process_outputs(&mut self) {
        loop {
            let outputs = self.model.take_outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                match output {
                    Output::Send { connection, message } => {
                        if let Some((controller, streamer)) = self.by_connection.get(&connection).copied() {
                            self.deliver_to_controller(controller, streamer, message);
                            self.perform_effects(controller);
                        }
                    }
                    Output::Disconnect { connection } => {
                        let Some((controller, streamer)) = self.by_connection.remove(&connection) else {
                            continue;
                        };
                        self.model.connection_closed(streamer, connection);
                        let now = self.now_point();
                        let Some(instance) = self.instances[controller].as_mut() else { continue };
                        let Some((_, dial)) = instance.connections.remove(&streamer) else { continue };
                        instance.driver.link_lost(now, streamer, dial, true);
                        self.perform_effects(controller);
                    }
                    Output::Tap {
                        event: TapEvent::Delivered { rung, seconds, share, request_id, .. },
                        ..
                    } => {
                        let gain = if request_id.starts_with('p') { 2.0 } else { 1.0 };
                        let rung_gain = self.day.ladder.gains.get(rung).copied().unwrap_or(0.0);
                        let lost = self.day.shortfall_cost * (0.98 - share).max(0.0);
                        self.earned_gain += gain * rung_gain * seconds * (1.0 - lost).max(0.0);
                    }
                    Output::Tap { .. } => {}
                }
            }
        }
    }

    /// Submits the requests that arrive within one step.
    fn submit_requests(&mut self) {
        let mut expected = self.config.requests_per_s * STEP_S;
        while expected > 0.0 && self.rng.random::<f64>() < expected {
            expected -= 1.0;
            let total_weight: f64 = self.arrival_weights.iter().sum();
            let mut drawn = self.rng.random::<f64>() * total_weight;
            let controller = self.arrival_weights.iter().position(|weight| {
                drawn -= weight;
                drawn < 0.0
            });
            let mut controller = controller.unwrap_or(0);
            // Players whose controller is not running use the next one.
            while self.instances[controller].is_none() {
                controller = (controller + 1) % self.instances.len();
            }
            let paid = self.rng.random::<f64>() < 0.3;
            let (class, gain) = if paid { ("paid", 2.0) } else { ("free", 1.0) };
            let viewing_s = 5.0 + 5.0 * self.rng.random::<f64>();
            let title = self.rng.random_range(0..self.config.streamers);
            self.last_request_number += 1;
            let id = self.last_request_number;
            let request_id = format!("{}{}", &class[..1], self.last_request_number);
            self.model.set_viewing_time(&request_id, viewing_s);
            self.result.requests += 1;
            // No gain can be earned after the end.
            self.possible_gain += gain * viewing_s.min(START_S + self.config.duration_s - self.now);
            let request = PlayRequest {
                title: format!("t{title}"),
                class: class.into(),
                tenant: "all".into(),
                request_id,
                expected_duration_s: Some(viewing_s),
                ..PlayRequest::default()
            };
            let _ = self.with_driver(controller, |driver, now| {
                driver.submit(now, now, id, &request, &Cmcd::default())
            });
        }
    }

    /// Publishes a new version of the list to all controllers.
    fn publish_list(&mut self) {
        self.list.version += 1;
        let list = self.list.clone();
        for controller in 0..self.instances.len() {
            self.with_driver(controller, |driver, now| driver.update_list(now, &list));
        }
    }

    /// How much of what the running controllers know of each other is right: running controllers count as present, others
    /// as absent.
    fn agreement(&mut self) -> f64 {
        let running: Vec<bool> = self.instances.iter().map(Option::is_some).collect();
        let Some(network) = &mut self.network else { return 1.0 };
        let (mut right, mut pairs) = (0, 0);
        for controller in (0..running.len()).filter(|controller| running[*controller]) {
            let numbers = network.with_node(controller, |node, _| node.gone_since_by_number());
            let is_present = |other: usize| matches!(numbers.get(&(other as u32)), Some(None));
            for other in (0..running.len()).filter(|other| *other != controller) {
                pairs += 1;
                right += u32::from(is_present(other) == running[other]);
            }
        }
        f64::from(right) / f64::from(pairs.max(1))
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> SimulationResult {
        let steps = (self.config.duration_s / STEP_S) as usize;
        let steps_per_update = (MEMBERSHIP_UPDATE_S / STEP_S) as usize;
        // When the membership last changed, while controllers don't agree on it fully, and whether they mostly do.
        let mut disagreement: Option<(f64, bool)> = None;
        let mut connection_samples: Vec<usize> = Vec::new();
        // A tenth of the streamers restart one after another; half of the controllers crash at once and return.
        let (restarts_from, crash_at, return_at) = (0.2, 0.3, 0.75);
        let step_at = |part: f64| (part * steps as f64) as usize;
        let restarted: Vec<usize> = (0..self.config.streamers).step_by(10).collect();
        let crashing: Vec<usize> =
            (0..self.config.controllers).filter(|controller| controller % 2 == 1).collect();
        let mut list_updates: Vec<(f64, usize)> = Vec::new();
        for step in 0..steps {
            self.now = START_S + step as f64 * STEP_S;
            if self.config.with_failures {
                let steps_per_restart = step_at(0.5) / restarted.len().max(1);
                let steps_since = step.checked_sub(step_at(restarts_from));
                if let Some(nth) = steps_since
                    .filter(|since| since.is_multiple_of(steps_per_restart.max(1)))
                    .map(|since| since / steps_per_restart.max(1))
                {
                    if let Some(streamer) = restarted.get(nth) {
                        self.model.kill(*streamer);
                        self.model.restart(self.now, *streamer);
                        list_updates.push((self.now + LIST_DELAY_S, *streamer));
                    }
                }
                if step == step_at(crash_at) {
                    crashing.iter().for_each(|controller| self.kill(*controller));
                    disagreement = Some((self.now, false));
                }
                if step == step_at(return_at) {
                    for controller in &crashing {
                        if let Some(network) = &mut self.network {
                            network.restart(*controller, 2);
                        }
                        self.start(*controller, self.now);
                    }
                    disagreement = Some((self.now, false));
                }
            }
            let due: Vec<usize> = list_updates
                .iter()
                .filter(|(due_at, _)| *due_at <= self.now)
                .map(|(_, streamer)| *streamer)
                .collect();
            if !due.is_empty() {
                list_updates.retain(|(due_at, _)| *due_at > self.now);
                for streamer in due {
                    let entry: &mut ListEntry = &mut self.list.streamers[streamer];
                    entry.started_at = self.model.started_at(streamer);
                }
                self.publish_list();
            }
            self.model.advance(self.now);
            self.process_outputs();
            self.submit_requests();
            self.process_outputs();
            if step.is_multiple_of(steps_per_update) {
                self.update_memberships();
                if let Some((since, mostly_agreed)) = disagreement.filter(|_| self.network.is_some()) {
                    let (agreement, elapsed_s) = (self.agreement(), self.now - since);
                    if agreement >= 0.99 && !mostly_agreed {
                        self.result.mostly_agreed_after_s.push(elapsed_s);
                        disagreement = Some((since, true));
                    }
                    if agreement >= 1.0 {
                        self.result.fully_agreed_after_s.push(elapsed_s);
                        disagreement = None;
                    }
                }
            }
            let now = self.now_point();
            for controller in 0..self.instances.len() {
                if self.instances[controller]
                    .as_ref()
                    .is_some_and(|instance| instance.driver.next_tick_at() <= now)
                {
                    self.with_driver(controller, |driver, now| driver.tick(now));
                }
            }
            self.process_outputs();
            if step.is_multiple_of((1.0 / STEP_S) as usize) {
                connection_samples.push(self.by_connection.len());
            }
        }
        self.finish(&connection_samples)
    }

    /// Advances gossip, updates the drivers' membership, and counts covered turns.
    fn update_memberships(&mut self) {
        if let Some(mut network) = self.network.take() {
            network.advance(MEMBERSHIP_UPDATE_S);
            for controller in 0..self.instances.len() {
                if self.instances[controller].is_some() {
                    let numbers = network.with_node(controller, |node, _| node.gone_since_by_number());
                    self.with_driver(controller, |driver, now| driver.update_membership(now, &numbers));
                }
            }
            self.network = Some(network);
        }
        let mut covering_controllers: BTreeMap<u32, u64> = BTreeMap::new();
        for number in self.instances.iter().flatten().flat_map(|instance| &instance.covered_numbers) {
            *covering_controllers.entry(*number).or_default() += 1;
        }
        self.result.covered_turns += covering_controllers.len() as u64;
        self.result.doubly_covered_turns +=
            covering_controllers.values().filter(|count| **count > 1).count() as u64;
    }

    fn finish(mut self, connection_samples: &[usize]) -> SimulationResult {
        let second_half = &connection_samples[connection_samples.len() / 2..];
        self.result.mean_connections =
            second_half.iter().sum::<usize>() as f64 / second_half.len().max(1) as f64;
        self.result.max_connections = connection_samples.iter().copied().max().unwrap_or(0);
        self.result.gain = self.earned_gain / self.possible_gain.max(1e-9);
        let weight = |streamer: usize| self.day.streamers[streamer].weight;
        let total_set_ups: u64 = self.set_ups.iter().sum();
        let total_weight: f64 = (0..self.set_ups.len()).map(weight).sum();
        let load_ratio = |streamer: usize| {
            self.set_ups[streamer] as f64 / (total_set_ups.max(1) as f64 * weight(streamer) / total_weight)
        };
        self.result.busiest_load_ratio = (0..self.set_ups.len()).map(load_ratio).fold(0.0, f64::max);
        self.result
    }
}
