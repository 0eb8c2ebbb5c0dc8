//! Capacity model of a fleet of simulated streamers: links and uplinks shared in equal parts, warm-up and crashes,
//! late and noisy load reports, and the effects of faults. It has no sockets and no clock; its caller passes in
//! events with their time and carries out the outputs.

use crate::day::{Day, FaultKind};
use lemontide_wire::cmsd::CmsdDynamic;
use lemontide_wire::link::{Ended, Fullness, How, Plays, RungInForce, Short, StreamerMessage};
use lemontide_wire::tap::{TapEvent, TapOutcome};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};

/// Set-ups that a streamer works on at the same time.
const CORES: usize = 2;
/// Set-ups that a streamer has accepted and not finished; it refuses more.
const MAX_PENDING_SET_UPS: usize = 24;
/// Time constant by which the delivered share is smoothed for reports.
const SHARE_SMOOTHING_S: f64 = 1.0;
/// Viewers begin to leave when a smaller share of their rate is delivered.
const LEAVE_BELOW_SHARE: f64 = 0.75;

/// Identifies one connection of a controller to a streamer; ids are not reused.
pub type ConnectionId = u64;
type StreamKey = (ConnectionId, u32);

/// What the caller of the model has to carry out.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Send a message to the controller.
    Send { connection: ConnectionId, message: StreamerMessage },
    /// Break the connection.
    Disconnect { connection: ConnectionId },
    /// Record an event in the tap of a streamer.
    Tap { streamer: usize, event: TapEvent },
}

/// What a streamer does with its sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketState {
    /// Accepts, reads and writes.
    Up,
    /// Neither accepts, reads nor writes; connections stay open.
    Silent,
    /// Accepts and writes, but does not read.
    NotReading,
    /// Not running: connections are refused.
    Down,
}

struct Stream {
    request_id: String,
    class: String,
    attempt: u32,
    rung: usize,
    rate_kb: f64,
    /// Seconds that the viewer still watches.
    remaining_s: f64,
    /// Delivery since the last tap record: seconds, and the sum of share times seconds.
    delivered: (f64, f64),
    /// The controller was not notified that it plays.
    start_message_lost: bool,
}

struct PendingSetUp {
    key: StreamKey,
    attempt: u32,
    request_id: String,
    class: String,
    rung: usize,
    rate_kb: f64,
    ready_at: f64,
}

struct SimulatedStreamer {
    name: String,
    rack: usize,
    link_kb: f64,
    socket_state: SocketState,
    /// It crashed under overload and is not restarted.
    has_crashed: bool,
    started_at: Option<f64>,
    connections: BTreeMap<ConnectionId, ControllerLink>,
    streams: BTreeMap<StreamKey, Stream>,
    pending_set_ups: VecDeque<PendingSetUp>,
    cores_busy_until: [f64; CORES],
    /// Times of the set-ups in the last window.
    recent_set_ups: VecDeque<f64>,
    smoothed_share: f64,
    // Effects of the faults in force.
    error_share: f64,
    is_stalled: bool,
    /// Factor by which its link is slower.
    link_slowdown: f64,
    ageing_since: Option<f64>,
    /// Share of the start messages that get lost.
    start_message_loss: f64,
    /// A lost start message resets its connection.
    loss_resets_connection: bool,
}

struct ControllerLink {
    controller: usize,
    next_shortfall_report_at: f64,
    next_load_report_at: f64,
    was_short: bool,
}

/// Model of all streamers of a day.
pub struct CapacityModel {
    streamers: Vec<SimulatedStreamer>,
    /// Capacity of each rack's uplink, and the factor by which it is divided.
    uplinks: Vec<(f64, f64)>,
    /// Mean duration of a set-up by class.
    mean_set_up_s: BTreeMap<String, f64>,
    day: Day,
    /// Viewing time by request id.
    viewing_s: BTreeMap<String, f64>,
    /// Reports to be sent: the time, the connection and the message.
    delayed_reports: Vec<(f64, ConnectionId, StreamerMessage)>,
    extra_report_delay_s: f64,
    rng: StdRng,
    now: f64,
    last_connection_id: ConnectionId,
    outputs: Vec<Output>,
}

impl CapacityModel {
    /// A model of the day's streamers; the spare ones are down.
    pub fn new(day: &Day, now: f64) -> CapacityModel {
        let racks = day.uplinks_kb.len();
        let simulated = |streamer: &crate::day::Streamer| SimulatedStreamer {
            name: streamer.name.clone(),
            rack: streamer.cell % racks,
            link_kb: streamer.link_kb,
            socket_state: if streamer.spare { SocketState::Down } else { SocketState::Up },
            has_crashed: false,
            started_at: None,
            connections: BTreeMap::new(),
            streams: BTreeMap::new(),
            pending_set_ups: VecDeque::new(),
            cores_busy_until: [now; CORES],
            recent_set_ups: VecDeque::new(),
            smoothed_share: 1.0,
            error_share: 0.0,
            is_stalled: false,
            link_slowdown: 1.0,
            ageing_since: None,
            start_message_loss: 0.0,
            loss_resets_connection: false,
        };
        CapacityModel {
            streamers: day.streamers.iter().map(simulated).collect(),
            uplinks: day.uplinks_kb.iter().map(|kb| (*kb, 1.0)).collect(),
            mean_set_up_s: day
                .classes
                .iter()
                .map(|class| (class.class.name.clone(), class.set_up_s))
                .collect(),
            day: day.clone(),
            viewing_s: BTreeMap::new(),
            delayed_reports: Vec::new(),
            extra_report_delay_s: 0.0,
            rng: StdRng::seed_from_u64(day.seed ^ 0x5eed),
            now,
            last_connection_id: 0,
            outputs: Vec::new(),
        }
    }

    /// What a streamer does with its sockets.
    pub fn socket_state(&self, index: usize) -> SocketState {
        self.streamers[index].socket_state
    }

    /// When a streamer last started, if it did during the day.
    pub fn started_at(&self, index: usize) -> Option<f64> {
        self.streamers[index].started_at
    }

    /// Whether a streamer crashed under overload.
    pub fn has_crashed(&self, index: usize) -> bool {
        self.streamers[index].has_crashed
    }

    /// Number of streams that play on all streamers.
    pub fn stream_count(&self) -> usize {
        self.streamers.iter().map(|simulated| simulated.streams.len()).sum()
    }

    /// Takes the outputs since the last call.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Sets how long the viewer of a request would watch.
    pub fn set_viewing_time(&mut self, request_id: &str, seconds: f64) {
        self.viewing_s.insert(request_id.to_owned(), seconds);
    }

    fn record(&mut self, streamer: usize, event: TapEvent) {
        self.outputs.push(Output::Tap { streamer, event });
    }

    // Events of the sockets.

    /// A controller has connected to a streamer.
    pub fn connection_opened(&mut self, now: f64, index: usize, controller: usize) -> ConnectionId {
        self.last_connection_id += 1;
        let connection = self.last_connection_id;
        let interval_s = self.day.reports.every_s;
        let next_load_report_at = now + interval_s * self.rng.random::<f64>();
        let link = ControllerLink {
            controller,
            next_shortfall_report_at: now,
            next_load_report_at,
            was_short: false,
        };
        self.streamers[index].connections.insert(connection, link);
        connection
    }

    /// A connection has closed: its streams and pending set-ups end.
    pub fn connection_closed(&mut self, index: usize, connection: ConnectionId) {
        let simulated = &mut self.streamers[index];
        simulated.connections.remove(&connection);
        simulated.pending_set_ups.retain(|set_up| set_up.key.0 != connection);
        let ended: Vec<StreamKey> =
            simulated.streams.keys().filter(|key| key.0 == connection).copied().collect();
        for key in ended {
            self.end_stream(index, key, TapOutcome::ConnectionLost, None);
        }
        self.delayed_reports.retain(|(_, of, _)| *of != connection);
    }

    /// Accepts or refuses a set-up; too many of them crash a streamer that is warming up.
    pub fn set_up(
        &mut self,
        now: f64,
        index: usize,
        connection: ConnectionId,
        set_up: lemontide_wire::link::SetUp,
    ) {
        let simulated = &mut self.streamers[index];
        let Some(link) = simulated.connections.get(&connection) else { return };
        let (controller, streamer) = (link.controller, simulated.name.clone());
        let rung = set_up.rung as usize;
        let (request_id, class, attempt) = (set_up.ask, set_up.lane, set_up.shot);
        self.record(
            index,
            TapEvent::AttemptReceived {
                streamer,
                controller,
                request_id: request_id.clone(),
                attempt,
                class: class.clone(),
                title: set_up.title,
                rung,
            },
        );
        if self.crashes_by_overload(now, index) {
            return;
        }
        let (id, key) = (set_up.id, (connection, set_up.id));
        let accepted = self.streamers[index].streams.len() + self.streamers[index].pending_set_ups.len();
        let pending = self.streamers[index].pending_set_ups.len();
        if accepted as f64 >= self.day.max_streams || pending >= MAX_PENDING_SET_UPS {
            let cmsd_dynamic = self.load_report(index, true);
            let how = How::SentBack.into();
            return self.end_attempt(
                index,
                connection,
                &request_id,
                attempt,
                Ended { id, shot: attempt, how, cmsd_dynamic },
                TapOutcome::Refused,
            );
        }
        if self.rng.random::<f64>() < self.streamers[index].error_share {
            let cmsd_dynamic = self.load_report(index, true);
            let how = How::Errored.into();
            return self.end_attempt(
                index,
                connection,
                &request_id,
                attempt,
                Ended { id, shot: attempt, how, cmsd_dynamic },
                TapOutcome::Errored,
            );
        }
        let mean_s = self.mean_set_up_s.get(&class).copied().unwrap_or(0.05);
        let slowdown = self.ageing_slowdown(now, index) / self.warm_up_part(now, index).max(0.1);
        let work_s = mean_s * slowdown * (0.5 + self.rng.random::<f64>());
        let simulated = &mut self.streamers[index];
        let core = (0..CORES)
            .min_by(|a, b| simulated.cores_busy_until[*a].total_cmp(&simulated.cores_busy_until[*b]))
            .unwrap_or(0);
        let ready_at = simulated.cores_busy_until[core].max(now) + work_s;
        simulated.cores_busy_until[core] = ready_at;
        let rate_kb = f64::from(set_up.rate_kb);
        simulated.pending_set_ups.push_back(PendingSetUp {
            key,
            attempt,
            request_id,
            class,
            rung,
            rate_kb,
            ready_at,
        });
        if ready_at <= now {
            self.start_ready_streams(now, index);
        }
    }

    /// Records and reports the end of an attempt that never played.
    fn end_attempt(
        &mut self,
        index: usize,
        connection: ConnectionId,
        request_id: &str,
        attempt: u32,
        ended: Ended,
        outcome: TapOutcome,
    ) {
        let streamer = self.streamers[index].name.clone();
        self.record(
            index,
            TapEvent::AttemptEnded { streamer, request_id: request_id.to_owned(), attempt, outcome },
        );
        self.outputs.push(Output::Send { connection, message: StreamerMessage::Ended(ended) });
    }

    /// Changes the rung of a stream.
    pub fn set_rung(&mut self, index: usize, connection: ConnectionId, id: u32, rung: usize, rate_kb: f64) {
        let Some(stream) = self.streamers[index].streams.get_mut(&(connection, id)) else { return };
        (stream.rung, stream.rate_kb) = (rung, rate_kb);
        let (request_id, class) = (stream.request_id.clone(), stream.class.clone());
        let streamer = self.streamers[index].name.clone();
        self.record(index, TapEvent::RungChanged { streamer, request_id, class, rung });
        self.outputs.push(Output::Send {
            connection,
            message: StreamerMessage::Rung(RungInForce { id, rung: rung as u32 }),
        });
    }

    /// Ends an attempt that the controller cancels, whether it is pending or plays.
    pub fn cancel(&mut self, index: usize, connection: ConnectionId, id: u32, attempt: u32) {
        let key = (connection, id);
        let simulated = &mut self.streamers[index];
        let is_cancelled = |set_up: &PendingSetUp| set_up.key == key && set_up.attempt == attempt;
        let pending = simulated
            .pending_set_ups
            .iter()
            .position(is_cancelled)
            .and_then(|position| simulated.pending_set_ups.remove(position));
        let is_playing = simulated.streams.get(&key).is_some_and(|stream| stream.attempt == attempt);
        let how = How::Cancelled.into();
        let ended = Ended { id, shot: attempt, how, cmsd_dynamic: self.load_report(index, true) };
        if let Some(set_up) = pending {
            self.end_attempt(index, connection, &set_up.request_id, attempt, ended, TapOutcome::Cancelled);
        } else if is_playing {
            self.end_stream(index, key, TapOutcome::Cancelled, Some(ended));
        }
    }

    /// The load report that answers a probe.
    pub fn probe(&mut self, index: usize) -> String {
        self.load_report(index, true)
    }

    // Faults.

    /// Begins or ends a fault. Its effects on controllers, on the list and on the arrival rate are not modelled here.
    pub fn set_trouble(&mut self, now: f64, what: &FaultKind, begins: bool) {
        match what {
            FaultKind::QuickErrors { on, share } => {
                on.iter()
                    .for_each(|index| self.streamers[*index].error_share = if begins { *share } else { 0.0 });
            }
            FaultKind::Hang { on } => on.iter().for_each(|index| {
                self.streamers[*index].is_stalled = begins;
                if !begins {
                    // The set-ups that it had accepted become ready from now on.
                    let simulated = &mut self.streamers[*index];
                    simulated
                        .pending_set_ups
                        .iter_mut()
                        .for_each(|s| s.ready_at = s.ready_at.max(now + 0.05));
                }
            }),
            FaultKind::Vanish { on } => on.iter().for_each(|index| {
                if begins {
                    self.streamers[*index].socket_state = SocketState::Silent;
                    // Its delayed reports are dropped.
                    let connections = &self.streamers[*index].connections;
                    self.delayed_reports.retain(|(_, connection, _)| !connections.contains_key(connection));
                } else {
                    self.restart(now, *index);
                }
            }),
            FaultKind::SlowLink { on, times } => {
                on.iter().for_each(|index| {
                    self.streamers[*index].link_slowdown = if begins { *times } else { 1.0 }
                });
            }
            FaultKind::WeakUplink { racks, times } => {
                racks.iter().for_each(|rack| self.uplinks[*rack].1 = if begins { *times } else { 1.0 });
            }
            FaultKind::LateReports { by_s } => self.extra_report_delay_s = if begins { *by_s } else { 0.0 },
            FaultKind::AnswersLost { on, share, reset } => on.iter().for_each(|index| {
                self.streamers[*index].start_message_loss = if begins { *share } else { 0.0 };
                self.streamers[*index].loss_resets_connection = *reset;
            }),
            FaultKind::Ageing { on } => on.iter().for_each(|index| {
                if begins {
                    self.streamers[*index].ageing_since = Some(now);
                } else {
                    self.streamers[*index].ageing_since = None;
                    self.restart(now, *index);
                }
            }),
            FaultKind::Deaf { on } => on.iter().for_each(|index| {
                if !self.streamers[*index].has_crashed {
                    self.streamers[*index].socket_state =
                        if begins { SocketState::NotReading } else { SocketState::Up };
                }
            }),
            FaultKind::Removal { .. }
            | FaultKind::Crowd { .. }
            | FaultKind::KillControllers { .. }
            | FaultKind::PauseControllers { .. }
            | FaultKind::JoinControllers { .. }
            | FaultKind::LeaveControllers { .. }
            | FaultKind::Between { .. } => {}
        }
    }

    /// Ends the process: its streams and connections break, and new connections are refused.
    pub fn kill(&mut self, index: usize) {
        self.drop_all(index);
        self.streamers[index].socket_state = SocketState::Down;
    }

    /// Starts a new process of a streamer, without streams and at the beginning of its warm-up. A streamer that crashed
    /// stays down.
    pub fn restart(&mut self, now: f64, index: usize) {
        if self.streamers[index].has_crashed {
            return;
        }
        self.drop_all(index);
        let simulated = &mut self.streamers[index];
        simulated.socket_state = SocketState::Up;
        simulated.started_at = Some(now);
        simulated.cores_busy_until = [now; CORES];
        simulated.recent_set_ups.clear();
        let streamer = simulated.name.clone();
        self.record(index, TapEvent::StreamerStarted { streamer, started_at: now });
    }

    /// Breaks all streams and connections.
    fn drop_all(&mut self, index: usize) {
        let simulated = &mut self.streamers[index];
        simulated.pending_set_ups.clear();
        let connections: Vec<ConnectionId> = simulated.connections.keys().copied().collect();
        let streams: Vec<StreamKey> = simulated.streams.keys().copied().collect();
        for key in streams {
            self.end_stream(index, key, TapOutcome::ConnectionLost, None);
        }
        for connection in connections {
            self.outputs.push(Output::Disconnect { connection });
        }
    }

    /// Crashes a streamer that is warming up and got more set-ups within the last window than rule 4 of the judge allows.
    fn crashes_by_overload(&mut self, now: f64, index: usize) -> bool {
        let cold = &self.day.cold_start;
        let set_ups_per_s = self.day.max_streams / cold.warm_up_s.max(1e-3) * self.warm_up_part(now, index);
        let simulated = &mut self.streamers[index];
        if simulated.started_at.is_none_or(|started| now - started >= cold.warm_up_s) {
            return false;
        }
        simulated.recent_set_ups.push_back(now);
        while simulated.recent_set_ups.front().is_some_and(|then| now - then > cold.window_s) {
            simulated.recent_set_ups.pop_front();
        }
        let crashes = simulated.recent_set_ups.len() as f64
            > cold.overload_multiple * set_ups_per_s * cold.window_s + 1.0;
        if crashes {
            simulated.has_crashed = true;
            let streamer = simulated.name.clone();
            self.record(index, TapEvent::StreamerCrashed { streamer });
            self.kill(index);
        }
        crashes
    }

    /// Part of its capacity that a streamer has in its warm-up; 1 afterwards.
    fn warm_up_part(&self, now: f64, index: usize) -> f64 {
        let cold = &self.day.cold_start;
        let Some(started) = self.streamers[index].started_at else { return 1.0 };
        (cold.initial_part + (1.0 - cold.initial_part) * (now - started) / cold.warm_up_s.max(1e-3))
            .clamp(0.0, 1.0)
    }

    /// Factor by which an ageing streamer is slower by now.
    fn ageing_slowdown(&self, now: f64, index: usize) -> f64 {
        self.streamers[index].ageing_since.map_or(1.0, |since| 1.0 + (now - since) / 4.0)
    }

    /// Sum of the rates of all its streams.
    fn demand_kb(&self, index: usize) -> f64 {
        self.streamers[index].streams.values().map(|stream| stream.rate_kb).sum()
    }

    /// Capacity of its link now.
    fn link_capacity_kb(&self, now: f64, index: usize) -> f64 {
        let simulated = &self.streamers[index];
        simulated.link_kb * self.warm_up_part(now, index)
            / (simulated.link_slowdown * self.ageing_slowdown(now, index)).max(1e-3)
    }

    /// Demand and capacity of a rack's uplink.
    fn uplink_demand_and_capacity(&self, rack: usize) -> (f64, f64) {
        let in_rack = (0..self.streamers.len()).filter(|index| self.streamers[*index].rack == rack);
        (
            in_rack.map(|index| self.demand_kb(index)).sum(),
            self.uplinks[rack].0 / self.uplinks[rack].1.max(1e-3),
        )
    }

    /// The present load report, with the day's noise; it holds the number of streams on request, if the day reports it.
    fn load_report(&mut self, index: usize, with_streams: bool) -> String {
        let noise = self.day.reports.noise;
        let noise_factor = 1.0 + noise * (2.0 * self.rng.random::<f64>() - 1.0);
        let now = self.now;
        let (uplink_demand, uplink_capacity) = self.uplink_demand_and_capacity(self.streamers[index].rack);
        let simulated = &self.streamers[index];
        let dynamic = CmsdDynamic {
            server: simulated.name.clone(),
            streams: (with_streams && self.day.reports.streams)
                .then_some((simulated.streams.len() + simulated.pending_set_ups.len()) as f64),
            link_utilization: Some(
                self.demand_kb(index) / self.link_capacity_kb(now, index).max(1e-3) * noise_factor,
            ),
            uplink_utilization: self
                .day
                .reports
                .rack
                .then_some(uplink_demand / uplink_capacity.max(1e-3) * noise_factor),
            ..CmsdDynamic::default()
        };
        dynamic.to_header_value()
    }

    /// Ends a stream, records it, and reports it where `ended` is a message to the controller.
    fn end_stream(&mut self, index: usize, key: StreamKey, outcome: TapOutcome, ended: Option<Ended>) {
        let Some(stream) = self.streamers[index].streams.remove(&key) else { return };
        let streamer = self.streamers[index].name.clone();
        self.record_delivery(index, &streamer, &stream);
        self.record(
            index,
            TapEvent::AttemptEnded {
                streamer,
                request_id: stream.request_id,
                attempt: stream.attempt,
                outcome,
            },
        );
        if let Some(ended) = ended {
            self.outputs.push(Output::Send { connection: key.0, message: StreamerMessage::Ended(ended) });
        }
    }

    fn record_delivery(&mut self, index: usize, streamer: &str, stream: &Stream) {
        let (seconds, share_seconds) = stream.delivered;
        if seconds > 0.0 {
            let (streamer, request_id) = (streamer.to_owned(), stream.request_id.clone());
            let (rung, share) = (stream.rung, share_seconds / seconds);
            self.record(index, TapEvent::Delivered { streamer, request_id, rung, seconds, share });
        }
    }

    /// Advances the model to `now`: set-ups become ready, streams get their shares and end, reports are sent.
    pub fn advance(&mut self, now: f64) {
        let elapsed_s = (now - self.now).clamp(0.0, 1.0);
        let is_new_second = now.floor() > self.now.floor();
        self.now = now;
        for index in 0..self.streamers.len() {
            if matches!(self.streamers[index].socket_state, SocketState::Up | SocketState::NotReading) {
                self.start_ready_streams(now, index);
            }
            self.deliver(now, index, elapsed_s, is_new_second);
            self.queue_reports(now, index);
        }
        let mut due = Vec::new();
        self.delayed_reports.retain(|(due_at, connection, message)| {
            if *due_at <= now {
                due.push((*connection, message.clone()));
            }
            *due_at > now
        });
        self.outputs
            .extend(due.into_iter().map(|(connection, message)| Output::Send { connection, message }));
    }

    fn start_ready_streams(&mut self, now: f64, index: usize) {
        if self.streamers[index].is_stalled {
            return;
        }
        while let Some(position) =
            self.streamers[index].pending_set_ups.iter().position(|s| s.ready_at <= now)
        {
            let Some(set_up) = self.streamers[index].pending_set_ups.remove(position) else { return };
            let (connection, id) = set_up.key;
            let lost = self.rng.random::<f64>() < self.streamers[index].start_message_loss;
            let remaining_s = self.viewing_s.get(&set_up.request_id).copied().unwrap_or(30.0);
            let stream = Stream {
                request_id: set_up.request_id.clone(),
                class: set_up.class,
                attempt: set_up.attempt,
                rung: set_up.rung,
                rate_kb: set_up.rate_kb,
                remaining_s,
                delivered: (0.0, 0.0),
                start_message_lost: lost,
            };
            self.streamers[index].streams.insert(set_up.key, stream);
            let streamer = self.streamers[index].name.clone();
            self.record(
                index,
                TapEvent::PlayStarted { streamer, request_id: set_up.request_id, attempt: set_up.attempt },
            );
            if !lost {
                let cmsd_dynamic = self.load_report(index, false);
                let message = StreamerMessage::Plays(Plays { id, shot: set_up.attempt, cmsd_dynamic });
                self.outputs.push(Output::Send { connection, message });
            } else if self.streamers[index].loss_resets_connection {
                self.outputs.push(Output::Disconnect { connection });
                return;
            }
        }
    }

    /// Delivers the share that link and uplink allow to all streams, and ends those whose viewers have watched enough or
    /// leave. At each new second the delivery is recorded.
    fn deliver(&mut self, now: f64, index: usize, elapsed_s: f64, is_new_second: bool) {
        let demand = self.demand_kb(index);
        let (uplink_demand, uplink_capacity) = self.uplink_demand_and_capacity(self.streamers[index].rack);
        let share = (self.link_capacity_kb(now, index) / demand.max(1e-9))
            .min(uplink_capacity / uplink_demand.max(1e-9))
            .min(1.0);
        let is_stopped =
            self.streamers[index].is_stalled || self.streamers[index].socket_state == SocketState::Silent;
        let share = if is_stopped { 0.0 } else { share };
        let simulated = &mut self.streamers[index];
        simulated.smoothed_share +=
            (share - simulated.smoothed_share) * (elapsed_s / SHARE_SMOOTHING_S).min(1.0);
        let mut ending = Vec::new();
        for (key, stream) in &mut simulated.streams {
            if stream.start_message_lost {
                continue;
            }
            stream.delivered.0 += elapsed_s;
            stream.delivered.1 += elapsed_s * share;
            stream.remaining_s -= elapsed_s;
            if stream.remaining_s <= 0.0 && !is_stopped {
                ending.push((*key, How::Served));
            } else if share < LEAVE_BELOW_SHARE
                && !is_stopped
                && self.rng.random::<f64>() < elapsed_s * (LEAVE_BELOW_SHARE - share) / 4.0
            {
                ending.push((*key, How::Cancelled));
            }
        }
        for (key, how) in ending {
            let attempt = attempt_of(&self.streamers[index], key);
            let outcome = if how == How::Served { TapOutcome::Served } else { TapOutcome::Cancelled };
            let ended = Ended {
                id: key.1,
                shot: attempt,
                how: how.into(),
                cmsd_dynamic: self.load_report(index, true),
            };
            self.end_stream(index, key, outcome, Some(ended));
        }
        if is_new_second {
            let streamer = self.streamers[index].name.clone();
            let mut streams = std::mem::take(&mut self.streamers[index].streams);
            for stream in streams.values_mut() {
                self.record_delivery(index, &streamer, stream);
                stream.delivered = (0.0, 0.0);
            }
            self.streamers[index].streams = streams;
        }
    }

    /// Queues reports on one session of each controller: of a shortfall once a second while there is one and once after it,
    /// of the load at the day's interval. Both are delayed as the day says.
    fn queue_reports(&mut self, now: f64, index: usize) {
        if matches!(self.streamers[index].socket_state, SocketState::Silent | SocketState::Down)
            || self.streamers[index].is_stalled
        {
            return;
        }
        let sent_at = now + self.day.reports.age_s + self.extra_report_delay_s;
        let smoothed_share = self.streamers[index].smoothed_share;
        let connections: Vec<ConnectionId> = self.streamers[index].connections.keys().copied().collect();
        for connection in connections {
            let on_connection = |key: &&StreamKey| key.0 == connection;
            let is_known_to_play = |key: &&StreamKey| {
                self.streamers[index].streams.get(key).is_some_and(|s| !s.start_message_lost)
            };
            let session = self.streamers[index]
                .streams
                .keys()
                .filter(on_connection)
                .find(is_known_to_play)
                .map(|key| key.1);
            let Some(id) = session else { continue };
            let interval_s = self.day.reports.every_s;
            let Some(link) = self.streamers[index].connections.get_mut(&connection) else { continue };
            let is_short = smoothed_share < 0.98;
            if (is_short || link.was_short) && now >= link.next_shortfall_report_at {
                (link.next_shortfall_report_at, link.was_short) = (now + 1.0, is_short);
                let message = StreamerMessage::Short(Short { id, share: smoothed_share });
                self.delayed_reports.push((sent_at, connection, message));
            }
            if now >= link.next_load_report_at {
                link.next_load_report_at = now + interval_s;
                let cmsd_dynamic = self.load_report(index, false);
                let message = StreamerMessage::Fullness(Fullness { id, cmsd_dynamic });
                self.delayed_reports.push((sent_at, connection, message));
            }
        }
    }
}

fn attempt_of(simulated: &SimulatedStreamer, key: StreamKey) -> u32 {
    simulated.streams.get(&key).map_or(0, |stream| stream.attempt)
}
