//! Measures this process for the shedding core and asks it about each new wish. Figures come from `/proc`, from the
//! sockets' loop and from the deciding thread; what they mean is decided in `lemontide-shed`.

use crate::events::Happened;
use crate::settings::Settings;
use crate::waiting::Waiting;
use lemontide::clock::{Point, Span};
use lemontide_shed::admission::{Class, Decision};
use lemontide_shed::load_level::Resource;
use lemontide_shed::memory::MemoryStage;
use lemontide_shed::shedder::{IncomingRequest, LoadShedder, LoadShedderSettings, LoadSnapshot};
use lemontide_wire::clock::Clock;
use lemontide_wire::hint::RequestHint;
use lemontide_wire::play::PlayRequest;
use nix::time::{clock_gettime, ClockId};
use procfs::process::Process;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// The beat by which the loop's own lateness is seen, and how many beats lie between two readings of `/proc`,
/// which cost tens of microseconds.
const BEAT: Duration = Duration::from_millis(10);
const BEATS_A_READING: u32 = 5;
/// Stands before the driver where the settings ask for it. Shared by the sockets and the deciding thread.
pub struct Guard {
    clock: Clock,
    keeper: Mutex<LoadShedder>,
    lanes: Vec<(String, Span)>,
    /// Limits: of the delay, of cores, of memory, of files and of what is in hand.
    delay_s: f64,
    cores: f64,
    memory_bytes: f64,
    files: f64,
    held_most: f64,
    /// Whether players may be told a wait.
    pub tells_waits: bool,
    /// The longest wait for a turn since the last reading, in microseconds, and what is in hand.
    waited_us: AtomicU64,
    in_hand: AtomicUsize,
    /// Wishes turned back at the doorway.
    pub at_the_door: AtomicU64,
}

impl Guard {
    /// None where the settings don't ask for one.
    pub fn new(settings: &Settings, clock: Clock, seed: u64) -> Option<Guard> {
        let limits = settings.shedding.as_ref()?;
        let share = |i: usize| limits.class_shares.get(i).copied().unwrap_or(0.0);
        let lane = |(i, lane): (usize, &crate::settings::ClassSettings)| Class {
            gain: lane.gain,
            mean_cost: 1.0,
            reserved_share: share(i),
        };
        let here = settings.controller_count.max(1) as f64;
        let terms = LoadShedderSettings {
            classes: settings.classes.iter().enumerate().map(lane).collect(),
            tenant_quotas: settings.tenants.iter().map(|t| (t.name.clone(), t.quota_per_s / here)).collect(),
            max_retry_after: Span::of(settings.retry_after.max_s),
            max_hold: Span::of(limits.max_hold_s),
            max_delay: Span::of(limits.max_delay_s),
        };
        Some(Guard {
            clock,
            keeper: Mutex::new(LoadShedder::new(Point::at(clock.now()), terms, seed)),
            lanes: settings
                .classes
                .iter()
                .map(|lane| (lane.name.clone(), Span::of(lane.deadline_s)))
                .collect(),
            delay_s: limits.max_delay_s,
            cores: limits.cpu_cores,
            memory_bytes: limits.memory_bytes,
            files: limits.open_files,
            held_most: settings.limits.max_sessions as f64,
            tells_waits: settings.retry_after.allowed && settings.retry_after.max_s > 0.0,
            waited_us: AtomicU64::new(0),
            in_hand: AtomicUsize::new(0),
            at_the_door: AtomicU64::new(0),
        })
    }

    fn keeper(&self) -> MutexGuard<'_, LoadShedder> {
        self.keeper.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn left(&self, lane: usize, asked: f64, within: Option<f64>, now: f64) -> Span {
        let cut_off = self.lanes[lane].1;
        let given = within.filter(|s| s.is_finite()).map_or(cut_off, Span::of);
        Point::at(asked) + given.min(cut_off) - Point::at(now)
    }

    /// A wish by its hint, before it is read: the wait in seconds where it is turned back.
    pub fn hinted(&self, hint: &RequestHint) -> Option<Span> {
        // A lane that nobody named is the driver's to refuse.
        let lane = self.lanes.iter().position(|(name, _)| *name == hint.class)?;
        let now = self.clock.now();
        let asked = IncomingRequest {
            class: lane,
            tenant: &hint.tenant,
            is_retry: hint.is_retry,
            time_left: self.left(lane, now, hint.give_up_in_s, now),
            was_held: false,
            decide_now: true,
        };
        match self.keeper().decide(Point::at(now), asked) {
            Decision::Admit | Decision::Hold { .. } => None,
            Decision::Reject { retry_after: wait } => {
                self.at_the_door.fetch_add(1, Ordering::Relaxed);
                Some(wait)
            }
        }
    }

    /// A wish that was read at `asked` seconds; `held` where it is asked about once more.
    pub fn judge(&self, asked: f64, wish: &PlayRequest, held: bool) -> Decision {
        let Some(lane) = self.lanes.iter().position(|(name, _)| *name == wish.class) else {
            return Decision::Admit;
        };
        let now = self.clock.now();
        let asked = IncomingRequest {
            class: lane,
            tenant: &wish.tenant,
            is_retry: wish.is_retry,
            time_left: self.left(lane, asked, wish.give_up_in_s, now),
            was_held: held,
            decide_now: false,
        };
        self.keeper().decide(Point::at(now), asked)
    }

    /// The player of a held wish went away.
    pub fn held_left(&self) {
        self.keeper().held_request_cancelled();
    }

    /// A wait for who lost its place or came too late for it.
    pub fn wait(&self) -> Span {
        self.keeper().retry_after(Point::at(self.clock.now()))
    }

    /// A wish got its turn, so long after it was read.
    pub fn waited(&self, s: f64) {
        self.keeper().request_started();
        self.waited_us.fetch_max((s.max(0.0) * 1e6) as u64, Ordering::Relaxed);
    }

    pub fn in_hand(&self, count: usize) {
        self.in_hand.store(count, Ordering::Relaxed);
    }

    pub fn cost(&self, lane: usize, shots: u32) {
        self.keeper().record_cost(lane, f64::from(shots));
    }

    pub fn view(&self) -> LoadSnapshot {
        self.keeper().snapshot(Point::at(self.clock.now()))
    }

    pub fn shed(&self) -> u64 {
        self.keeper().rejected_total()
    }

    /// Reads the gauges and does what memory asks for, by `close_idle` and by a report, until the deciding thread is gone.
    pub async fn keep(
        self: Arc<Self>,
        waiting: Arc<Waiting>,
        close_idle: impl Fn() + Send + 'static,
        reports: mpsc::Sender<Happened>,
    ) {
        let (mut late, mut beats) = (Duration::ZERO, 0);
        let mut spent: Option<(f64, f64)> = None;
        let mut stage = MemoryStage::Free;
        while !reports.is_closed() {
            let due = Instant::now() + BEAT;
            tokio::time::sleep_until(due).await;
            late = late.max(due.elapsed());
            beats += 1;
            if beats < BEATS_A_READING && late < BEAT {
                continue;
            }
            if beats < BEATS_A_READING {
                // Late already: tell at once, the rest in its time.
                self.keeper().observe(
                    Point::at(self.clock.now()),
                    Resource::EventLoopLag,
                    late.as_secs_f64() / self.delay_s,
                );
                self.keeper().tick(Point::at(self.clock.now()));
                continue;
            }
            beats = 0;
            let seconds = self.clock.now();
            let now = Point::at(seconds);
            let (fullness, oldest) = waiting.fullness();
            let waits = oldest.map_or(0.0, |asked| seconds - asked);
            let waited = (self.waited_us.swap(0, Ordering::Relaxed) as f64 / 1e6).max(waits);
            let mut readings = vec![
                (Resource::QueueDelay, waited / self.delay_s),
                (Resource::EventLoopLag, std::mem::take(&mut late).as_secs_f64() / self.delay_s),
                (Resource::QueueLength, fullness),
                (Resource::InFlight, self.in_hand.load(Ordering::Relaxed) as f64 / self.held_most),
            ];
            if let Ok(cpu) = clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID) {
                let cpu = Duration::from(cpu).as_secs_f64();
                if let Some((before, at)) = spent.replace((cpu, seconds)) {
                    readings.push((Resource::Cpu, (cpu - before) / (seconds - at).max(1e-3) / self.cores));
                }
            }
            // A gauge that can't be read grows old, and the core knows what to make of that.
            if let Ok(process) = Process::myself() {
                if let Ok(stat) = process.stat() {
                    let resident = (stat.rss * procfs::page_size()) as f64;
                    readings.push((Resource::Memory, resident / self.memory_bytes));
                }
                if let Ok(files) = process.fd_count() {
                    readings.push((Resource::OpenFiles, files as f64 / self.files));
                }
            }
            let before = stage;
            let (ranks, shares) = {
                let mut keeper = self.keeper();
                for (what, part) in readings {
                    keeper.observe(now, what, part);
                }
                stage = keeper.tick(now);
                let (ranks, shares) = keeper.ranks_and_shares();
                (ranks.to_vec(), shares)
            };
            waiting.rank(&ranks, &shares);
            if stage >= MemoryStage::Caches {
                close_idle();
            }
            if stage > before && stage >= MemoryStage::Caches {
                tracing::warn!(target: "shedding", ?stage, "memory is short");
                let _ = reports.try_send(Happened::Relieve { history: stage == MemoryStage::History });
            }
        }
    }
}
