//! Runs a day: streamers and players in this process, each controller as its own process, the list of streamers as a
//! file, and the faults at their times. Every endpoint writes its records to a tap in the run's folder.

use crate::day::{Day, FaultKind, FaultWindow};
use crate::gossip_setup::{self, GossipSetup};
use crate::player::{draw_viewers, PlayerPool};
use crate::relay::Relay;
use crate::streamer::{Defect, Fleet};
use lemontide_wire::clock::Clock;
use lemontide_wire::list::{ListEntry, StreamerList, StreamerState};
use lemontide_wire::tap::{Tap, TapEvent};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde::Deserialize;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

/// Maximum time until a controller prints the address that it listens on.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Extra time at the end of a run, after the last viewer should have finished.
const END_GRACE: Duration = Duration::from_secs(30);

/// How a day is run.
pub struct RunOptions {
    /// The program that is started as `PROGRAM front --settings FILE`.
    pub program: PathBuf,
    /// An empty folder for settings, the list, logs and taps.
    pub folder: PathBuf,
    /// A defect of the stand-ins, to test the rule checks.
    pub defect: Option<Defect>,
}

/// The result of a run.
pub struct RunResult {
    pub taps: Vec<PathBuf>,
    /// Number of viewers.
    pub viewers: usize,
    /// Duration of the run in seconds.
    pub took_s: f64,
}

#[derive(Deserialize)]
struct ListeningLine {
    listening: SocketAddr,
}

/// One action of the run's schedule; the numbers are indices of faults, controllers or streamers.
enum Step {
    BeginFault(usize),
    EndFault(usize),
    KillController(usize),
    StopController(usize),
    StartController(usize),
    PauseController(usize),
    ContinueController(usize),
    KillStreamer(usize),
    StartStreamer(usize),
    /// The list shows a streamer in this state.
    ListState(usize, StreamerState),
    /// Players notice that a controller is gone.
    RemoveAddress(usize),
}

/// A time for each of these controllers, spread evenly over the duration of the fault.
fn spread<'a>(fault: &'a FaultWindow, on: &'a [usize]) -> impl Iterator<Item = (f64, usize)> + 'a {
    let interval = fault.duration_s / on.len().max(1) as f64;
    on.iter().enumerate().map(move |(position, number)| (fault.at_s + interval * position as f64, *number))
}

/// The steps of all faults, by time.
fn schedule(day: &Day) -> Vec<(f64, Step)> {
    let mut steps = Vec::new();
    for (fault_index, fault) in day.faults.iter().enumerate() {
        let (from, to) = (fault.at_s, fault.at_s + fault.duration_s);
        match &fault.kind {
            FaultKind::KillControllers { on, down_s } => {
                for (at, number) in spread(fault, on) {
                    steps.push((at, Step::KillController(number)));
                    if day.viewers.failover_delay_s < *down_s {
                        steps.push((at + day.viewers.failover_delay_s, Step::RemoveAddress(number)));
                    }
                    // A controller that would start again after the end of the day stays down.
                    if at + down_s < day.length_s {
                        steps.push((at + down_s, Step::StartController(number)));
                    }
                }
                continue;
            }
            FaultKind::JoinControllers { on } => {
                steps.extend(spread(fault, on).map(|(at, number)| (at, Step::StartController(number))));
                continue;
            }
            FaultKind::LeaveControllers { on } => {
                for (at, number) in spread(fault, on) {
                    steps.push((at, Step::RemoveAddress(number)));
                    steps.push((at, Step::StopController(number)));
                }
                continue;
            }
            FaultKind::PauseControllers { on } => {
                steps.extend(on.iter().map(|number| (from, Step::PauseController(*number))));
                steps.extend(on.iter().map(|number| (to, Step::ContinueController(*number))));
                continue;
            }
            FaultKind::Removal { on, notice_s, spares, spares_after_s } => {
                for streamer in on {
                    steps.push((from, Step::ListState(*streamer, StreamerState::Draining)));
                    steps.push((from + notice_s, Step::KillStreamer(*streamer)));
                    steps.push((
                        from + notice_s + day.list_delays.ended_s,
                        Step::ListState(*streamer, StreamerState::Gone),
                    ));
                }
                for streamer in spares {
                    let started = from + notice_s + spares_after_s;
                    steps.push((started, Step::StartStreamer(*streamer)));
                    steps.push((
                        started + day.list_delays.started_s,
                        Step::ListState(*streamer, StreamerState::Ready),
                    ));
                }
                continue;
            }
            FaultKind::Vanish { on } => {
                for streamer in on {
                    if day.list_delays.silent_s < fault.duration_s {
                        steps.push((
                            from + day.list_delays.silent_s,
                            Step::ListState(*streamer, StreamerState::Gone),
                        ));
                    }
                    steps.push((
                        to + day.list_delays.started_s,
                        Step::ListState(*streamer, StreamerState::Ready),
                    ));
                }
            }
            FaultKind::Ageing { on } => {
                steps.extend(on.iter().map(|streamer| {
                    (to + day.list_delays.started_s, Step::ListState(*streamer, StreamerState::Ready))
                }));
            }
            _ => {}
        }
        steps.push((from, Step::BeginFault(fault_index)));
        steps.push((to, Step::EndFault(fault_index)));
    }
    steps.sort_by(|a, b| a.0.total_cmp(&b.0));
    steps
}

/// The state of a run.
struct Runner {
    day: Arc<Day>,
    clock: Clock,
    options: RunOptions,
    tap: Tap,
    fleet: Fleet,
    list: StreamerList,
    players: Arc<PlayerPool>,
    controllers: Vec<Option<Child>>,
    gossip: Option<GossipSetup>,
    relay: Relay,
    /// For each controller, the relay's address for each streamer; empty if links don't pass through the relay.
    link_addresses: Vec<Vec<SocketAddr>>,
}

/// Runs a day to its end. Fails if the folder or the sockets can't be created, or a controller does not start.
pub async fn run(day: Day, options: RunOptions) -> io::Result<RunResult> {
    let started = Instant::now();
    let day = Arc::new(day);
    let clock = Clock::start();
    std::fs::create_dir_all(&options.folder)?;
    let tap = Tap::open(&options.folder.join("day.tap"), clock, "day")?;
    tap.record(TapEvent::Rules { rules: day.judge_rules() });
    let streamer_tap = Tap::open(&options.folder.join("streamers.tap"), clock, "streamers")?;
    let fleet = Fleet::start(&day, clock, streamer_tap, options.defect).await?;
    let player_tap = Tap::open(&options.folder.join("players.tap"), clock, "players")?;
    let players = Arc::new(PlayerPool::new(day.clone(), clock, player_tap, fleet.clone(), options.defect));
    let list = day.first_list(&fleet.addresses);
    let controllers = day.controllers.iter().map(|_| None).collect();
    let relay = Relay::new(day.seed);
    let mut gossip = match &day.gossip {
        Some(settings) => Some(GossipSetup::prepare(day.controllers.len(), settings, &options.folder)?),
        None => None,
    };
    if let Some(gossip) = &mut gossip {
        gossip.route_through(&relay).await?;
    }
    let mut link_addresses = Vec::new();
    if day.impairs_links() {
        for controller in 0..day.controllers.len() {
            let mut addresses = Vec::new();
            for (streamer, address) in fleet.addresses.iter().enumerate() {
                addresses.push(relay.proxy_link(controller, streamer, *address).await?);
            }
            link_addresses.push(addresses);
        }
    }
    let mut runner = Runner {
        day: day.clone(),
        clock,
        options,
        tap,
        fleet,
        list,
        players: players.clone(),
        controllers,
        gossip,
        relay,
        link_addresses,
    };
    runner.write_list()?;
    for number in (0..day.controllers.len()).filter(|number| day.runs_from_start(*number)) {
        runner.start_controller(number).await?;
    }
    if let (Some(gossip), Some(true)) =
        (&runner.gossip, day.gossip.as_ref().map(|settings| settings.has_lying_member))
    {
        let names = day.streamers.iter().map(|streamer| streamer.name.clone()).collect();
        tokio::spawn(gossip_setup::run_lying_member(gossip.lying_member(clock).await?, names, clock));
    }
    let viewers = draw_viewers(&day);
    let viewer_count = viewers.len();
    let begin = Instant::now();
    let all_watched = tokio::spawn(async move {
        let mut watching = JoinSet::new();
        for viewer in viewers {
            tokio::time::sleep_until(begin + Duration::from_secs_f64(viewer.at_s)).await;
            watching.spawn(players.clone().watch(viewer));
            while watching.try_join_next().is_some() {}
        }
        while watching.join_next().await.is_some() {}
    });
    for (at, step) in schedule(&day) {
        tokio::time::sleep_until(begin + Duration::from_secs_f64(at)).await;
        runner.step(step).await?;
    }
    let max_watched_s = day.classes.iter().map(|class| class.watched_s.1).fold(0.0, f64::max);
    let last = begin + Duration::from_secs_f64(day.length_s + max_watched_s) + END_GRACE;
    let _ = tokio::time::timeout_at(last, all_watched).await;
    // Lets the endpoints record the last messages before they are stopped.
    sleep(Duration::from_millis(300)).await;
    runner.stop_controllers().await;
    runner.relay.record_counts(&runner.tap);
    let mut taps = vec!["day.tap".into(), "streamers.tap".into(), "players.tap".into()];
    taps.extend((0..day.controllers.len()).map(|number| format!("controller-{number}.tap")));
    let taps = taps.iter().map(|name: &String| runner.options.folder.join(name)).collect();
    Ok(RunResult { taps, viewers: viewer_count, took_s: started.elapsed().as_secs_f64() })
}

impl Runner {
    async fn step(&mut self, step: Step) -> io::Result<()> {
        match step {
            Step::BeginFault(fault_index) | Step::EndFault(fault_index) => {
                let begins = matches!(step, Step::BeginFault(_));
                let day = self.day.clone();
                if let FaultKind::Between { from, to, both_ways, impairment } = &day.faults[fault_index].kind
                {
                    let mut pairs = day.endpoint_pairs(from, to);
                    if *both_ways {
                        pairs.extend(day.endpoint_pairs(to, from));
                    }
                    match begins {
                        true => self.relay.begin_impairment(fault_index, pairs, impairment.clone()),
                        false => self.relay.end_impairment(fault_index),
                    }
                }
                self.fleet
                    .with_model(|model, now| model.set_trouble(now, &day.faults[fault_index].kind, begins));
            }
            Step::KillStreamer(streamer) => self.fleet.with_model(|model, _| model.kill(streamer)),
            Step::StartStreamer(streamer) => self.fleet.with_model(|model, now| model.restart(now, streamer)),
            Step::ListState(streamer, state) => self.publish_state(streamer, state)?,
            Step::KillController(number) => {
                if let Some(mut child) = self.controllers[number].take() {
                    self.tap.record(TapEvent::Killed { controller: number });
                    child.kill().await?;
                }
            }
            Step::RemoveAddress(number) => self.set_address(number, None),
            Step::StopController(number) => {
                self.signal(number, Signal::SIGTERM, TapEvent::Leaving { controller: number });
                // The run waits for its exit at the end; it is not started again.
            }
            Step::StartController(number) => self.start_controller(number).await?,
            Step::PauseController(number) => {
                self.signal(number, Signal::SIGSTOP, TapEvent::Paused { controller: number })
            }
            Step::ContinueController(number) => {
                self.signal(number, Signal::SIGCONT, TapEvent::Continued { controller: number });
            }
        }
        Ok(())
    }

    /// Records the event and sends the signal to the controller's process, if it runs.
    fn signal(&self, number: usize, signal: Signal, event: TapEvent) {
        let id = self.controllers[number].as_ref().and_then(Child::id);
        if let Some(id) = id.and_then(|id| i32::try_from(id).ok()) {
            self.tap.record(event);
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Sets the address at which players reach a controller.
    fn set_address(&self, number: usize, address: Option<SocketAddr>) {
        self.players.controllers.write().unwrap_or_else(PoisonError::into_inner)[number] = address;
    }

    /// Starts a controller's process and waits until it prints the address that it listens on.
    async fn start_controller(&mut self, number: usize) -> io::Result<()> {
        let folder = &self.options.folder;
        let tap = folder.join(format!("controller-{number}.tap"));
        let list = folder.join(self.list_file(number));
        let mut settings = self.day.settings(number, &list, Some(tap), self.day.seed + number as u64);
        settings.gossip = self.gossip.as_ref().map(|gossip| gossip.settings(number));
        let file = folder.join(format!("controller-{number}.json"));
        std::fs::write(&file, serde_json::to_vec_pretty(&settings)?)?;
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("controller-{number}.log")))?;
        let mut child = Command::new(&self.options.program)
            .arg("front")
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        let stdout = child.stdout.take().map(BufReader::new);
        let mut line = String::new();
        if let Some(mut stdout) = stdout {
            let _ = timeout(START_TIMEOUT, stdout.read_line(&mut line)).await;
        }
        let Ok(ListeningLine { listening }) = serde_json::from_str(&line) else {
            let problem = format!("controller {number} did not start; its log is in {}", folder.display());
            return Err(io::Error::other(problem));
        };
        self.controllers[number] = Some(child);
        self.set_address(number, Some(listening));
        Ok(())
    }

    /// Publishes a list that shows a streamer in this state, or as gone if its process is dead.
    fn publish_state(&mut self, streamer: usize, state: StreamerState) -> io::Result<()> {
        let (started_at, dead) =
            self.fleet.with_model(|model, _| (model.started_at(streamer), model.has_crashed(streamer)));
        let state = if dead { StreamerState::Gone } else { state };
        let entry =
            ListEntry { state, started_at, ..self.day.list_entry(streamer, self.fleet.addresses[streamer]) };
        match self.list.streamers.iter_mut().find(|old| old.streamer == entry.streamer) {
            Some(old) => *old = entry,
            None => self.list.streamers.push(entry),
        }
        self.list.version += 1;
        self.write_list()
    }

    /// Replaces the list's file, or the file of each controller if links pass through the relay.
    fn write_list(&self) -> io::Result<()> {
        let entries = self.list.streamers.clone();
        self.tap.record(TapEvent::ListPublished { version: self.list.version, entries });
        if self.link_addresses.is_empty() {
            return replace(&self.options.folder.join("list.json"), &serde_json::to_vec(&self.list)?);
        }
        // Each controller has its own address at the relay for each streamer.
        for (number, addresses) in self.link_addresses.iter().enumerate() {
            let mut list = self.list.clone();
            for entry in &mut list.streamers {
                let at = self.day.streamers.iter().position(|streamer| streamer.name == entry.streamer);
                if let Some(address) = at.and_then(|at| addresses.get(at)) {
                    entry.address = address.to_string();
                }
            }
            replace(&self.options.folder.join(self.list_file(number)), &serde_json::to_vec(&list)?)?;
        }
        Ok(())
    }

    fn list_file(&self, controller: usize) -> String {
        if self.link_addresses.is_empty() {
            "list.json".to_owned()
        } else {
            format!("list-{controller}.json")
        }
    }

    /// Stops the controllers: with SIGTERM, and with SIGKILL after 5 s.
    async fn stop_controllers(&mut self) {
        for child in self.controllers.iter().flatten() {
            if let Some(id) = child.id().and_then(|id| i32::try_from(id).ok()) {
                let _ = kill(Pid::from_raw(id), Signal::SIGTERM);
            }
        }
        for child in self.controllers.iter_mut().flatten() {
            if timeout(Duration::from_secs(5), child.wait()).await.is_err() {
                let _ = child.kill().await;
            }
        }
        let _ = self.clock;
    }
}

/// Replaces a file atomically: writes a temporary file next to it and renames that, so that no reader sees a part.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let temporary = path.with_extension("new");
    std::fs::write(&temporary, bytes)?;
    std::fs::rename(temporary, path)
}
