//! Runs a day: streamers and players here, each controller as a process of its own, the list as a file, and the
//! troubles by the clock. Every end writes a tap into the day's folder.

use crate::day::{Day, Trouble, What};
use crate::gossip_setup::{self, GossipSetup};
use crate::player::{draw, Audience};
use crate::relay::Relay;
use crate::streamer::{Fault, Fleet};
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

/// A controller that does not say by then where it listens is broken.
const STARTS_WITHIN: Duration = Duration::from_secs(20);
/// What is left of a day after the last viewer should be through.
const AFTER: Duration = Duration::from_secs(30);

/// How a day is run.
pub struct How {
    /// The program that is started as `PROGRAM front --settings FILE`.
    pub program: PathBuf,
    /// An empty folder for settings, list, logs and taps.
    pub folder: PathBuf,
    pub fault: Option<Fault>,
}

/// What a day left: its taps, and how many viewers came.
pub struct Ran {
    pub taps: Vec<PathBuf>,
    pub viewers: usize,
    /// Seconds that it took.
    pub took_s: f64,
}

#[derive(Deserialize)]
struct Listening {
    listening: SocketAddr,
}

enum Step {
    Begin(usize),
    End(usize),
    Kill(usize),
    Leave(usize),
    Start(usize),
    Pause(usize),
    Continue(usize),
    Die(usize),
    Born(usize),
    /// The list learns that a streamer is at this stage.
    Stage(usize, StreamerState),
    /// Players notice that a controller is gone.
    Forget(usize),
}

/// Moments for each of these, one after the other over the trouble's time.
fn spread<'a>(trouble: &'a Trouble, on: &'a [usize]) -> impl Iterator<Item = (f64, usize)> + 'a {
    let each = trouble.for_s / on.len().max(1) as f64;
    on.iter().enumerate().map(move |(k, number)| (trouble.at_s + each * k as f64, *number))
}

/// The steps of all troubles, in the order of the clock.
fn script(day: &Day) -> Vec<(f64, Step)> {
    let mut steps = Vec::new();
    for (i, trouble) in day.troubles.iter().enumerate() {
        let (from, to) = (trouble.at_s, trouble.at_s + trouble.for_s);
        match &trouble.what {
            What::KillControllers { on, down_s } => {
                for (at, number) in spread(trouble, on) {
                    steps.push((at, Step::Kill(number)));
                    if day.viewers.notice_s < *down_s {
                        steps.push((at + day.viewers.notice_s, Step::Forget(number)));
                    }
                    // One that would come back after the day does not.
                    if at + down_s < day.length_s {
                        steps.push((at + down_s, Step::Start(number)));
                    }
                }
                continue;
            }
            What::JoinControllers { on } => {
                steps.extend(spread(trouble, on).map(|(at, number)| (at, Step::Start(number))));
                continue;
            }
            What::LeaveControllers { on } => {
                for (at, number) in spread(trouble, on) {
                    steps.push((at, Step::Forget(number)));
                    steps.push((at, Step::Leave(number)));
                }
                continue;
            }
            What::PauseControllers { on } => {
                steps.extend(on.iter().map(|number| (from, Step::Pause(*number))));
                steps.extend(on.iter().map(|number| (to, Step::Continue(*number))));
                continue;
            }
            What::Removal { on, notice_s, spares, spares_after_s } => {
                for at in on {
                    steps.push((from, Step::Stage(*at, StreamerState::Draining)));
                    steps.push((from + notice_s, Step::Die(*at)));
                    steps.push((from + notice_s + day.news.ended_s, Step::Stage(*at, StreamerState::Gone)));
                }
                for at in spares {
                    let born = from + notice_s + spares_after_s;
                    steps.push((born, Step::Born(*at)));
                    steps.push((born + day.news.started_s, Step::Stage(*at, StreamerState::Ready)));
                }
                continue;
            }
            What::Vanish { on } => {
                for at in on {
                    if day.news.silent_s < trouble.for_s {
                        steps.push((from + day.news.silent_s, Step::Stage(*at, StreamerState::Gone)));
                    }
                    steps.push((to + day.news.started_s, Step::Stage(*at, StreamerState::Ready)));
                }
            }
            What::Ageing { on } => {
                steps.extend(
                    on.iter().map(|at| (to + day.news.started_s, Step::Stage(*at, StreamerState::Ready))),
                );
            }
            _ => {}
        }
        steps.push((from, Step::Begin(i)));
        steps.push((to, Step::End(i)));
    }
    steps.sort_by(|a, b| a.0.total_cmp(&b.0));
    steps
}

struct Stagehand {
    day: Arc<Day>,
    clock: Clock,
    how: How,
    tap: Tap,
    fleet: Fleet,
    list: StreamerList,
    audience: Arc<Audience>,
    controllers: Vec<Option<Child>>,
    gossips: Option<GossipSetup>,
    relay: Relay,
    /// Where each controller finds each streamer, where something stands between.
    ways: Vec<Vec<SocketAddr>>,
}

/// Runs a day to its end. Errors: the folder or sockets are not to be had, or a controller does not start.
pub async fn run(day: Day, how: How) -> io::Result<Ran> {
    let began = Instant::now();
    let day = Arc::new(day);
    let clock = Clock::start();
    std::fs::create_dir_all(&how.folder)?;
    let tap = Tap::open(&how.folder.join("day.tap"), clock, "day")?;
    tap.record(TapEvent::Rules { rules: day.terms() });
    let streamers = Tap::open(&how.folder.join("streamers.tap"), clock, "streamers")?;
    let fleet = Fleet::start(&day, clock, streamers, how.fault).await?;
    let players = Tap::open(&how.folder.join("players.tap"), clock, "players")?;
    let audience = Arc::new(Audience::new(day.clone(), clock, players, fleet.clone(), how.fault));
    let list = day.first_list(&fleet.addresses);
    let controllers = day.controllers.iter().map(|_| None).collect();
    let relay = Relay::new(day.seed);
    let mut gossips = match &day.gossip {
        Some(terms) => Some(GossipSetup::prepare(day.controllers.len(), terms, &how.folder)?),
        None => None,
    };
    if let Some(gossips) = &mut gossips {
        gossips.route_through(&relay).await?;
    }
    let mut ways = Vec::new();
    if day.harms_links() {
        for controller in 0..day.controllers.len() {
            let mut of = Vec::new();
            for (streamer, address) in fleet.addresses.iter().enumerate() {
                of.push(relay.link(controller, streamer, *address).await?);
            }
            ways.push(of);
        }
    }
    let mut hand = Stagehand {
        day: day.clone(),
        clock,
        how,
        tap,
        fleet,
        list,
        audience: audience.clone(),
        controllers,
        gossips,
        relay,
        ways,
    };
    hand.write_list()?;
    for number in (0..day.controllers.len()).filter(|number| day.starts_with(*number)) {
        hand.start(number).await?;
    }
    if let (Some(gossips), Some(true)) = (&hand.gossips, day.gossip.as_ref().map(|terms| terms.liar)) {
        let names = day.streamers.iter().map(|streamer| streamer.name.clone()).collect();
        tokio::spawn(gossip_setup::run_lying_member(gossips.lying_member(clock).await?, names, clock));
    }
    let viewers = draw(&day);
    let count = viewers.len();
    let opens = Instant::now();
    let watched = tokio::spawn(async move {
        let mut watching = JoinSet::new();
        for viewer in viewers {
            tokio::time::sleep_until(opens + Duration::from_secs_f64(viewer.at_s)).await;
            watching.spawn(audience.clone().watch(viewer));
            while watching.try_join_next().is_some() {}
        }
        while watching.join_next().await.is_some() {}
    });
    for (at, step) in script(&day) {
        tokio::time::sleep_until(opens + Duration::from_secs_f64(at)).await;
        hand.step(step).await?;
    }
    let longest = day.lanes.iter().map(|lane| lane.watched_s.1).fold(0.0, f64::max);
    let last = opens + Duration::from_secs_f64(day.length_s + longest) + AFTER;
    let _ = tokio::time::timeout_at(last, watched).await;
    // What the last news said is written down before the ends go away.
    sleep(Duration::from_millis(300)).await;
    hand.end().await;
    hand.relay.tell(&hand.tap);
    let mut taps = vec!["day.tap".into(), "streamers.tap".into(), "players.tap".into()];
    taps.extend((0..day.controllers.len()).map(|number| format!("controller-{number}.tap")));
    let taps = taps.iter().map(|name: &String| hand.how.folder.join(name)).collect();
    Ok(Ran { taps, viewers: count, took_s: began.elapsed().as_secs_f64() })
}

impl Stagehand {
    async fn step(&mut self, step: Step) -> io::Result<()> {
        match step {
            Step::Begin(i) | Step::End(i) => {
                let begins = matches!(step, Step::Begin(_));
                let day = self.day.clone();
                if let What::Between { from, to, both_ways, harm } = &day.troubles[i].what {
                    let mut pairs = day.pairs(from, to);
                    if *both_ways {
                        pairs.extend(day.pairs(to, from));
                    }
                    match begins {
                        true => self.relay.begin(i, pairs, harm.clone()),
                        false => self.relay.end(i),
                    }
                }
                self.fleet.with(|model, now| model.set_trouble(now, &day.troubles[i].what, begins));
            }
            Step::Die(at) => self.fleet.with(|model, _| model.kill(at)),
            Step::Born(at) => self.fleet.with(|model, now| model.restart(now, at)),
            Step::Stage(at, stage) => self.tell(at, stage)?,
            Step::Kill(number) => {
                if let Some(mut child) = self.controllers[number].take() {
                    self.tap.record(TapEvent::Killed { controller: number });
                    child.kill().await?;
                }
            }
            Step::Forget(number) => self.point(number, None),
            Step::Leave(number) => {
                self.signal(number, Signal::SIGTERM, TapEvent::Leaving { controller: number });
                // Waited for when the day ends; it is started no more.
            }
            Step::Start(number) => self.start(number).await?,
            Step::Pause(number) => {
                self.signal(number, Signal::SIGSTOP, TapEvent::Paused { controller: number })
            }
            Step::Continue(number) => {
                self.signal(number, Signal::SIGCONT, TapEvent::Continued { controller: number });
            }
        }
        Ok(())
    }

    fn signal(&self, number: usize, signal: Signal, seen: TapEvent) {
        let id = self.controllers[number].as_ref().and_then(Child::id);
        if let Some(id) = id.and_then(|id| i32::try_from(id).ok()) {
            self.tap.record(seen);
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    fn point(&self, number: usize, at: Option<SocketAddr>) {
        self.audience.controllers.write().unwrap_or_else(PoisonError::into_inner)[number] = at;
    }

    /// Starts a controller's process and waits until it says where it listens.
    async fn start(&mut self, number: usize) -> io::Result<()> {
        let folder = &self.how.folder;
        let tap = folder.join(format!("controller-{number}.tap"));
        let list = folder.join(self.list_of(number));
        let mut settings = self.day.settings(number, &list, Some(tap), self.day.seed + number as u64);
        settings.gossip = self.gossips.as_ref().map(|gossips| gossips.settings(number));
        let file = folder.join(format!("controller-{number}.json"));
        std::fs::write(&file, serde_json::to_vec_pretty(&settings)?)?;
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("controller-{number}.log")))?;
        let mut child = Command::new(&self.how.program)
            .arg("front")
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        let said = child.stdout.take().map(BufReader::new);
        let mut line = String::new();
        if let Some(mut said) = said {
            let _ = timeout(STARTS_WITHIN, said.read_line(&mut line)).await;
        }
        let Ok(Listening { listening }) = serde_json::from_str(&line) else {
            let what = format!("controller {number} did not start; its log is in {}", folder.display());
            return Err(io::Error::other(what));
        };
        self.controllers[number] = Some(child);
        self.point(number, Some(listening));
        Ok(())
    }

    fn tell(&mut self, at: usize, stage: StreamerState) -> io::Result<()> {
        let (started, dead) = self.fleet.with(|model, _| (model.started_at(at), model.has_crashed(at)));
        let stage = if dead { StreamerState::Gone } else { stage };
        let entry =
            ListEntry { state: stage, started_at: started, ..self.day.entry(at, self.fleet.addresses[at]) };
        match self.list.streamers.iter_mut().find(|old| old.streamer == entry.streamer) {
            Some(old) => *old = entry,
            None => self.list.streamers.push(entry),
        }
        self.list.version += 1;
        self.write_list()
    }

    /// Replaces the list's file in one go.
    fn write_list(&self) -> io::Result<()> {
        let entries = self.list.streamers.clone();
        self.tap.record(TapEvent::ListPublished { version: self.list.version, entries });
        if self.ways.is_empty() {
            return replace(&self.how.folder.join("list.json"), &serde_json::to_vec(&self.list)?);
        }
        // Each controller finds the streamers by ways of its own.
        for (number, ways) in self.ways.iter().enumerate() {
            let mut list = self.list.clone();
            for entry in &mut list.streamers {
                let at = self.day.streamers.iter().position(|streamer| streamer.name == entry.streamer);
                if let Some(way) = at.and_then(|at| ways.get(at)) {
                    entry.address = way.to_string();
                }
            }
            replace(&self.how.folder.join(self.list_of(number)), &serde_json::to_vec(&list)?)?;
        }
        Ok(())
    }

    fn list_of(&self, controller: usize) -> String {
        if self.ways.is_empty() {
            "list.json".to_owned()
        } else {
            format!("list-{controller}.json")
        }
    }

    /// Ends the controllers: politely, and outright where that does not help.
    async fn end(&mut self) {
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

/// Writes a file beside and moves it into place, so that nobody reads half of it.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let beside = path.with_extension("new");
    std::fs::write(&beside, bytes)?;
    std::fs::rename(beside, path)
}
