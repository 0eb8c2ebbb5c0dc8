//! The fleet as it really is, in its own time: links and uplinks shared in equal parts, cold starts and falling
//! over, late and noisy reports, and everything that troubles do to it. No sockets: `streamer` carries what goes
//! in and comes out.

use crate::day::{Day, FaultKind};
use lemontide_wire::cmsd::CmsdDynamic;
use lemontide_wire::link::{Ended, Fullness, How, Plays, RungInForce, Short, StreamerMessage};
use lemontide_wire::tap::{self, TapEvent};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};

/// Set-ups that a streamer works on at a time, and that wait beside them.
const CORES: usize = 2;
const QUEUE: usize = 24;
/// Smoothing of the share that notes tell, a second.
const SMOOTH: f64 = 1.0;
/// Under this share viewers begin to leave.
const LEAVING: f64 = 0.75;

/// One link of a controller at a streamer; numbers are never used again.
pub type Conn = u64;
type Key = (Conn, u32);

/// What comes out of the model for the sockets.
#[derive(Debug, PartialEq)]
pub enum Out {
    Say {
        conn: Conn,
        told: StreamerMessage,
    },
    /// The connection breaks.
    Cut {
        conn: Conn,
    },
    Tap {
        streamer: usize,
        seen: TapEvent,
    },
}

/// How a streamer stands towards its sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stand {
    Up,
    /// Neither reads nor writes nor accepts; nothing is reset.
    Silent,
    /// Talks, and never reads.
    Deaf,
    /// Not there: connections are refused.
    Down,
}

struct Stream {
    ask: String,
    lane: String,
    shot: u32,
    rung: usize,
    rate_kb: f64,
    /// Seconds that the viewer still watches.
    left_s: f64,
    /// Given since the last line of the tap: seconds, and the share times them.
    given: (f64, f64),
    /// The controller never heard that it plays.
    lost: bool,
}

struct SettingUp {
    key: Key,
    shot: u32,
    ask: String,
    lane: String,
    rung: usize,
    rate_kb: f64,
    ready_at: f64,
}

struct Machine {
    name: String,
    rack: usize,
    link_kb: f64,
    stand: Stand,
    /// It fell over, or is gone for good.
    dead: bool,
    started: Option<f64>,
    conns: BTreeMap<Conn, Link>,
    streams: BTreeMap<Key, Stream>,
    setting_up: VecDeque<SettingUp>,
    cores: [f64; CORES],
    got: VecDeque<f64>,
    smooth: f64,
    // What troubles do to it now.
    errors: f64,
    hangs: bool,
    times: f64,
    ageing_since: Option<f64>,
    lost: f64,
    lost_resets: bool,
}

struct Link {
    controller: usize,
    next_short: f64,
    next_full: f64,
    was_short: bool,
}

/// All streamers of a day.
pub struct Model {
    machines: Vec<Machine>,
    uplinks: Vec<(f64, f64)>,
    lanes: BTreeMap<String, f64>,
    day: Day,
    wanted: BTreeMap<String, f64>,
    later: Vec<(f64, Conn, StreamerMessage)>,
    late_by: f64,
    chance: StdRng,
    at: f64,
    next_conn: Conn,
    out: Vec<Out>,
}

impl Model {
    pub fn new(day: &Day, now: f64) -> Model {
        let racks = day.uplinks_kb.len();
        let machine = |streamer: &crate::day::Streamer| Machine {
            name: streamer.name.clone(),
            rack: streamer.cell % racks,
            link_kb: streamer.link_kb,
            stand: if streamer.spare { Stand::Down } else { Stand::Up },
            dead: false,
            started: None,
            conns: BTreeMap::new(),
            streams: BTreeMap::new(),
            setting_up: VecDeque::new(),
            cores: [now; CORES],
            got: VecDeque::new(),
            smooth: 1.0,
            errors: 0.0,
            hangs: false,
            times: 1.0,
            ageing_since: None,
            lost: 0.0,
            lost_resets: false,
        };
        Model {
            machines: day.streamers.iter().map(machine).collect(),
            uplinks: day.uplinks_kb.iter().map(|kb| (*kb, 1.0)).collect(),
            lanes: day.classes.iter().map(|class| (class.class.name.clone(), class.set_up_s)).collect(),
            day: day.clone(),
            wanted: BTreeMap::new(),
            later: Vec::new(),
            late_by: 0.0,
            chance: StdRng::seed_from_u64(day.seed ^ 0x5eed),
            at: now,
            next_conn: 0,
            out: Vec::new(),
        }
    }

    pub fn stand(&self, at: usize) -> Stand {
        self.machines[at].stand
    }

    /// Its last start, where it had one this day.
    pub fn started(&self, at: usize) -> Option<f64> {
        self.machines[at].started
    }

    pub fn is_dead(&self, at: usize) -> bool {
        self.machines[at].dead
    }

    pub fn streams(&self) -> usize {
        self.machines.iter().map(|machine| machine.streams.len()).sum()
    }

    /// Takes what has come out since the last call.
    pub fn take(&mut self) -> Vec<Out> {
        std::mem::take(&mut self.out)
    }

    /// How long the viewer behind an ask would watch; told by the player's end.
    pub fn wants(&mut self, ask: &str, seconds: f64) {
        self.wanted.insert(ask.to_owned(), seconds);
    }

    fn tap(&mut self, streamer: usize, seen: TapEvent) {
        self.out.push(Out::Tap { streamer, seen });
    }

    // What comes from sockets.

    pub fn connected(&mut self, now: f64, at: usize, controller: usize) -> Conn {
        self.next_conn += 1;
        let conn = self.next_conn;
        let every = self.day.reports.every_s;
        let next_full = now + every * self.chance.random::<f64>();
        let link = Link { controller, next_short: now, next_full, was_short: false };
        self.machines[at].conns.insert(conn, link);
        conn
    }

    /// A link is gone, and with it all that its controller had here.
    pub fn disconnected(&mut self, at: usize, conn: Conn) {
        let machine = &mut self.machines[at];
        machine.conns.remove(&conn);
        machine.setting_up.retain(|set_up| set_up.key.0 != conn);
        let gone: Vec<Key> = machine.streams.keys().filter(|key| key.0 == conn).copied().collect();
        for key in gone {
            self.finish(at, key, tap::TapOutcome::ConnectionLost, None);
        }
        self.later.retain(|(_, of, _)| *of != conn);
    }

    pub fn set_up(&mut self, now: f64, at: usize, conn: Conn, set_up: lemontide_wire::link::SetUp) {
        let machine = &mut self.machines[at];
        let Some(link) = machine.conns.get(&conn) else { return };
        let (controller, streamer) = (link.controller, machine.name.clone());
        let rung = set_up.rung as usize;
        let (ask, lane, shot) = (set_up.ask, set_up.lane, set_up.shot);
        self.tap(
            at,
            TapEvent::AttemptReceived {
                streamer,
                controller,
                request_id: ask.clone(),
                attempt: shot,
                class: lane.clone(),
                title: set_up.title,
                rung,
            },
        );
        if self.falls(now, at) {
            return;
        }
        let (id, key) = (set_up.id, (conn, set_up.id));
        let full = self.machines[at].streams.len() + self.machines[at].setting_up.len();
        let waiting = self.machines[at].setting_up.len();
        if full as f64 >= self.day.max_streams || waiting >= QUEUE {
            let cmsd_dynamic = self.report(at, true);
            let how = How::SentBack.into();
            return self.over(
                at,
                conn,
                &ask,
                shot,
                Ended { id, shot, how, cmsd_dynamic },
                tap::TapOutcome::Refused,
            );
        }
        if self.chance.random::<f64>() < self.machines[at].errors {
            let cmsd_dynamic = self.report(at, true);
            let how = How::Errored.into();
            return self.over(
                at,
                conn,
                &ask,
                shot,
                Ended { id, shot, how, cmsd_dynamic },
                tap::TapOutcome::Errored,
            );
        }
        let mean = self.lanes.get(&lane).copied().unwrap_or(0.05);
        let slow = self.ageing(now, at) / self.warmth(now, at).max(0.1);
        let work = mean * slow * (0.5 + self.chance.random::<f64>());
        let machine = &mut self.machines[at];
        let core = (0..CORES).min_by(|a, b| machine.cores[*a].total_cmp(&machine.cores[*b])).unwrap_or(0);
        let ready_at = machine.cores[core].max(now) + work;
        machine.cores[core] = ready_at;
        let rate_kb = f64::from(set_up.rate_kb);
        machine.setting_up.push_back(SettingUp { key, shot, ask, lane, rung, rate_kb, ready_at });
        if ready_at <= now {
            self.ready(now, at);
        }
    }

    fn over(&mut self, at: usize, conn: Conn, ask: &str, shot: u32, ended: Ended, how: tap::TapOutcome) {
        let streamer = self.machines[at].name.clone();
        self.tap(
            at,
            TapEvent::AttemptEnded { streamer, request_id: ask.to_owned(), attempt: shot, outcome: how },
        );
        self.out.push(Out::Say { conn, told: StreamerMessage::Ended(ended) });
    }

    pub fn set_rung(&mut self, at: usize, conn: Conn, id: u32, rung: usize, rate_kb: f64) {
        let Some(stream) = self.machines[at].streams.get_mut(&(conn, id)) else { return };
        (stream.rung, stream.rate_kb) = (rung, rate_kb);
        let (ask, lane) = (stream.ask.clone(), stream.lane.clone());
        let streamer = self.machines[at].name.clone();
        self.tap(at, TapEvent::RungChanged { streamer, request_id: ask, class: lane, rung });
        self.out.push(Out::Say { conn, told: StreamerMessage::Rung(RungInForce { id, rung: rung as u32 }) });
    }

    pub fn cancel(&mut self, at: usize, conn: Conn, id: u32, shot: u32) {
        let key = (conn, id);
        let machine = &mut self.machines[at];
        let of = |set_up: &SettingUp| set_up.key == key && set_up.shot == shot;
        let waiting = machine.setting_up.iter().position(of).and_then(|i| machine.setting_up.remove(i));
        let streams = machine.streams.get(&key).is_some_and(|stream| stream.shot == shot);
        let how = How::Cancelled.into();
        let ended = Ended { id, shot, how, cmsd_dynamic: self.report(at, true) };
        if let Some(set_up) = waiting {
            self.over(at, conn, &set_up.ask, shot, ended, tap::TapOutcome::Cancelled);
        } else if streams {
            self.finish(at, key, tap::TapOutcome::Cancelled, Some(ended));
        }
    }

    /// The load as a look finds it.
    pub fn look(&mut self, at: usize) -> String {
        self.report(at, true)
    }

    // The troubles.

    /// A trouble begins, or ends. What it does to controllers, the list and the crowd is not the model's.
    pub fn trouble(&mut self, now: f64, what: &FaultKind, begins: bool) {
        match what {
            FaultKind::QuickErrors { on, share } => {
                on.iter().for_each(|at| self.machines[*at].errors = if begins { *share } else { 0.0 });
            }
            FaultKind::Hang { on } => on.iter().for_each(|at| {
                self.machines[*at].hangs = begins;
                if !begins {
                    // What it had taken is worked off from now on.
                    let machine = &mut self.machines[*at];
                    machine.setting_up.iter_mut().for_each(|s| s.ready_at = s.ready_at.max(now + 0.05));
                }
            }),
            FaultKind::Vanish { on } => on.iter().for_each(|at| {
                if begins {
                    self.machines[*at].stand = Stand::Silent;
                    // What it had to say is not said any more.
                    let conns = &self.machines[*at].conns;
                    self.later.retain(|(_, conn, _)| !conns.contains_key(conn));
                } else {
                    self.restart(now, *at);
                }
            }),
            FaultKind::SlowLink { on, times } => {
                on.iter().for_each(|at| self.machines[*at].times = if begins { *times } else { 1.0 });
            }
            FaultKind::WeakUplink { racks, times } => {
                racks.iter().for_each(|rack| self.uplinks[*rack].1 = if begins { *times } else { 1.0 });
            }
            FaultKind::LateReports { by_s } => self.late_by = if begins { *by_s } else { 0.0 },
            FaultKind::AnswersLost { on, share, reset } => on.iter().for_each(|at| {
                self.machines[*at].lost = if begins { *share } else { 0.0 };
                self.machines[*at].lost_resets = *reset;
            }),
            FaultKind::Ageing { on } => on.iter().for_each(|at| {
                if begins {
                    self.machines[*at].ageing_since = Some(now);
                } else {
                    self.machines[*at].ageing_since = None;
                    self.restart(now, *at);
                }
            }),
            FaultKind::Deaf { on } => on.iter().for_each(|at| {
                if !self.machines[*at].dead {
                    self.machines[*at].stand = if begins { Stand::Deaf } else { Stand::Up };
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

    /// The process ends: what it had is broken, and connections are refused.
    pub fn kill(&mut self, at: usize) {
        self.clear(at);
        self.machines[at].stand = Stand::Down;
    }

    /// A new process in its place: empty, and cold.
    pub fn restart(&mut self, now: f64, at: usize) {
        if self.machines[at].dead {
            return;
        }
        self.clear(at);
        let machine = &mut self.machines[at];
        machine.stand = Stand::Up;
        machine.started = Some(now);
        machine.cores = [now; CORES];
        machine.got.clear();
        let streamer = machine.name.clone();
        self.tap(at, TapEvent::StreamerStarted { streamer, started_at: now });
    }

    fn clear(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        machine.setting_up.clear();
        let conns: Vec<Conn> = machine.conns.keys().copied().collect();
        let streams: Vec<Key> = machine.streams.keys().copied().collect();
        for key in streams {
            self.finish(at, key, tap::TapOutcome::ConnectionLost, None);
        }
        for conn in conns {
            self.out.push(Out::Cut { conn });
        }
    }

    /// Set-ups within the last window against what a cold streamer can take: it falls over as rule 4 counts.
    fn falls(&mut self, now: f64, at: usize) -> bool {
        let cold = &self.day.cold_start;
        let pace = self.day.max_streams / cold.warm_up_s.max(1e-3) * self.warmth(now, at);
        let machine = &mut self.machines[at];
        if machine.started.is_none_or(|started| now - started >= cold.warm_up_s) {
            return false;
        }
        machine.got.push_back(now);
        while machine.got.front().is_some_and(|got| now - got > cold.window_s) {
            machine.got.pop_front();
        }
        let falls = machine.got.len() as f64 > cold.overload_multiple * pace * cold.window_s + 1.0;
        if falls {
            machine.dead = true;
            let streamer = machine.name.clone();
            self.tap(at, TapEvent::StreamerCrashed { streamer });
            self.kill(at);
        }
        falls
    }

    fn warmth(&self, now: f64, at: usize) -> f64 {
        let cold = &self.day.cold_start;
        let Some(started) = self.machines[at].started else { return 1.0 };
        (cold.initial_part + (1.0 - cold.initial_part) * (now - started) / cold.warm_up_s.max(1e-3))
            .clamp(0.0, 1.0)
    }

    /// How many times slower an ageing streamer is by now.
    fn ageing(&self, now: f64, at: usize) -> f64 {
        self.machines[at].ageing_since.map_or(1.0, |since| 1.0 + (now - since) / 4.0)
    }

    fn asked(&self, at: usize) -> f64 {
        self.machines[at].streams.values().map(|stream| stream.rate_kb).sum()
    }

    fn link(&self, now: f64, at: usize) -> f64 {
        let machine = &self.machines[at];
        machine.link_kb * self.warmth(now, at) / (machine.times * self.ageing(now, at)).max(1e-3)
    }

    fn uplink(&self, rack: usize) -> (f64, f64) {
        let asked = (0..self.machines.len()).filter(|at| self.machines[*at].rack == rack);
        (asked.map(|at| self.asked(at)).sum(), self.uplinks[rack].0 / self.uplinks[rack].1.max(1e-3))
    }

    /// The load report as it stands now, noisy where it is.
    fn report(&mut self, at: usize, streams: bool) -> String {
        let noise = self.day.reports.noise;
        let noisy = 1.0 + noise * (2.0 * self.chance.random::<f64>() - 1.0);
        let now = self.at;
        let (asked, uplink) = self.uplink(self.machines[at].rack);
        let machine = &self.machines[at];
        let dynamic = CmsdDynamic {
            server: machine.name.clone(),
            streams: (streams && self.day.reports.streams)
                .then_some((machine.streams.len() + machine.setting_up.len()) as f64),
            link_utilization: Some(self.asked(at) / self.link(now, at).max(1e-3) * noisy),
            uplink_utilization: self.day.reports.rack.then_some(asked / uplink.max(1e-3) * noisy),
            ..CmsdDynamic::default()
        };
        dynamic.to_header_value()
    }

    fn finish(&mut self, at: usize, key: Key, how: tap::TapOutcome, ended: Option<Ended>) {
        let Some(stream) = self.machines[at].streams.remove(&key) else { return };
        let streamer = self.machines[at].name.clone();
        self.given(at, &streamer, &stream);
        self.tap(
            at,
            TapEvent::AttemptEnded { streamer, request_id: stream.ask, attempt: stream.shot, outcome: how },
        );
        if let Some(ended) = ended {
            self.out.push(Out::Say { conn: key.0, told: StreamerMessage::Ended(ended) });
        }
    }

    fn given(&mut self, at: usize, streamer: &str, stream: &Stream) {
        let (seconds, weighed) = stream.given;
        if seconds > 0.0 {
            let (streamer, ask) = (streamer.to_owned(), stream.ask.clone());
            let (rung, share) = (stream.rung, weighed / seconds);
            self.tap(at, TapEvent::Delivered { streamer, request_id: ask, rung, seconds, share });
        }
    }

    /// Lets time pass until `now`: set-ups get ready, streams get their shares and end, notes go out.
    pub fn step(&mut self, now: f64) {
        let passed = (now - self.at).clamp(0.0, 1.0);
        let whole = now.floor() > self.at.floor();
        self.at = now;
        for at in 0..self.machines.len() {
            if matches!(self.machines[at].stand, Stand::Up | Stand::Deaf) {
                self.ready(now, at);
            }
            self.play(now, at, passed, whole);
            self.notes(now, at);
        }
        let mut due = Vec::new();
        self.later.retain(|(when, conn, told)| {
            if *when <= now {
                due.push((*conn, told.clone()));
            }
            *when > now
        });
        self.out.extend(due.into_iter().map(|(conn, told)| Out::Say { conn, told }));
    }

    fn ready(&mut self, now: f64, at: usize) {
        if self.machines[at].hangs {
            return;
        }
        while let Some(i) = self.machines[at].setting_up.iter().position(|s| s.ready_at <= now) {
            let Some(set_up) = self.machines[at].setting_up.remove(i) else { return };
            let (conn, id) = set_up.key;
            let lost = self.chance.random::<f64>() < self.machines[at].lost;
            let left_s = self.wanted.get(&set_up.ask).copied().unwrap_or(30.0);
            let stream = Stream {
                ask: set_up.ask.clone(),
                lane: set_up.lane,
                shot: set_up.shot,
                rung: set_up.rung,
                rate_kb: set_up.rate_kb,
                left_s,
                given: (0.0, 0.0),
                lost,
            };
            self.machines[at].streams.insert(set_up.key, stream);
            let streamer = self.machines[at].name.clone();
            self.tap(at, TapEvent::PlayStarted { streamer, request_id: set_up.ask, attempt: set_up.shot });
            if !lost {
                let cmsd_dynamic = self.report(at, false);
                let told = StreamerMessage::Plays(Plays { id, shot: set_up.shot, cmsd_dynamic });
                self.out.push(Out::Say { conn, told });
            } else if self.machines[at].lost_resets {
                self.out.push(Out::Cut { conn });
                return;
            }
        }
    }

    fn play(&mut self, now: f64, at: usize, passed: f64, whole: bool) {
        let asked = self.asked(at);
        let (rack_asked, uplink) = self.uplink(self.machines[at].rack);
        let share = (self.link(now, at) / asked.max(1e-9)).min(uplink / rack_asked.max(1e-9)).min(1.0);
        let still = self.machines[at].hangs || self.machines[at].stand == Stand::Silent;
        let share = if still { 0.0 } else { share };
        let machine = &mut self.machines[at];
        machine.smooth += (share - machine.smooth) * (passed / SMOOTH).min(1.0);
        let mut over = Vec::new();
        for (key, stream) in &mut machine.streams {
            if stream.lost {
                continue;
            }
            stream.given.0 += passed;
            stream.given.1 += passed * share;
            stream.left_s -= passed;
            if stream.left_s <= 0.0 && !still {
                over.push((*key, How::Served));
            } else if share < LEAVING
                && !still
                && self.chance.random::<f64>() < passed * (LEAVING - share) / 4.0
            {
                over.push((*key, How::Cancelled));
            }
        }
        for (key, how) in over {
            let shot = machine_shot(&self.machines[at], key);
            let seen = if how == How::Served { tap::TapOutcome::Served } else { tap::TapOutcome::Cancelled };
            let ended = Ended { id: key.1, shot, how: how.into(), cmsd_dynamic: self.report(at, true) };
            self.finish(at, key, seen, Some(ended));
        }
        if whole {
            let streamer = self.machines[at].name.clone();
            let mut streams = std::mem::take(&mut self.machines[at].streams);
            for stream in streams.values_mut() {
                self.given(at, &streamer, stream);
                stream.given = (0.0, 0.0);
            }
            self.machines[at].streams = streams;
        }
    }

    /// Notes of short delivery once a second while it is short and once after, of fullness now and then; both
    /// are as late as the day says, on one subscription of each controller.
    fn notes(&mut self, now: f64, at: usize) {
        if matches!(self.machines[at].stand, Stand::Silent | Stand::Down) || self.machines[at].hangs {
            return;
        }
        let late = now + self.day.reports.age_s + self.late_by;
        let smooth = self.machines[at].smooth;
        let conns: Vec<Conn> = self.machines[at].conns.keys().copied().collect();
        for conn in conns {
            let mine = |key: &&Key| key.0 == conn;
            let heard = |key: &&Key| self.machines[at].streams.get(key).is_some_and(|s| !s.lost);
            let Some(id) = self.machines[at].streams.keys().filter(mine).find(heard).map(|key| key.1) else {
                continue;
            };
            let every = self.day.reports.every_s;
            let Some(link) = self.machines[at].conns.get_mut(&conn) else { continue };
            let short = smooth < 0.98;
            if (short || link.was_short) && now >= link.next_short {
                (link.next_short, link.was_short) = (now + 1.0, short);
                self.later.push((late, conn, StreamerMessage::Short(Short { id, share: smooth })));
            }
            if now >= link.next_full {
                link.next_full = now + every;
                let cmsd_dynamic = self.report(at, false);
                self.later.push((late, conn, StreamerMessage::Fullness(Fullness { id, cmsd_dynamic })));
            }
        }
    }
}

fn machine_shot(machine: &Machine, key: Key) -> u32 {
    machine.streams.get(&key).map_or(0, |stream| stream.shot)
}
