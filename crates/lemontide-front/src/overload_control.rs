//! Overload control: measures this process and lets the load shedder decide on each new request. The figures
//! come from `/proc`, from the event loop of the sockets and from the deciding thread; `lemontide-shed`
//! interprets them.

use crate::events::Event;
use crate::request_queue::SharedRequestQueue;
use crate::settings::{ClassSettings, Settings};
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

/// How often the lag of the event loop is measured, and every how many times `/proc` is read, which costs
/// tens of microseconds.
const TICK: Duration = Duration::from_millis(10);
const TICKS_PER_READING: u32 = 5;

/// Decides on new requests before the driver does, if the settings have load shedding. Shared by the sockets
/// and the deciding thread.
pub struct OverloadControl {
    clock: Clock,
    shedder: Mutex<LoadShedder>,
    /// Name and deadline of each class.
    classes: Vec<(String, Span)>,
    max_delay_s: f64,
    cpu_cores: f64,
    memory_bytes: f64,
    open_files: f64,
    max_sessions: f64,
    /// Whether rejected players can be given a time to retry after.
    pub allows_retry_after: bool,
    /// Longest time that a request waited in the queue since the last reading, in microseconds.
    max_waited_us: AtomicU64,
    /// Number of requests and sessions of the driver.
    session_count: AtomicUsize,
    /// Number of requests that were rejected by their hint, before the HTTP stack.
    pub rejected_by_hint: AtomicU64,
}

impl OverloadControl {
    /// None if the settings have no load shedding.
    pub fn new(settings: &Settings, clock: Clock, seed: u64) -> Option<OverloadControl> {
        let limits = settings.shedding.as_ref()?;
        let share = |i: usize| limits.class_shares.get(i).copied().unwrap_or(0.0);
        let class = |(i, class): (usize, &ClassSettings)| Class {
            gain: class.gain,
            mean_cost: 1.0,
            reserved_share: share(i),
        };
        let controller_count = settings.controller_count.max(1) as f64;
        let quotas = settings.tenants.iter().map(|t| (t.name.clone(), t.quota_per_s / controller_count));
        let shedder_settings = LoadShedderSettings {
            classes: settings.classes.iter().enumerate().map(class).collect(),
            tenant_quotas: quotas.collect(),
            max_retry_after: Span::of(settings.retry_after.max_s),
            max_hold: Span::of(limits.max_hold_s),
            max_delay: Span::of(limits.max_delay_s),
        };
        let classes = settings.classes.iter().map(|class| (class.name.clone(), Span::of(class.deadline_s)));
        Some(OverloadControl {
            clock,
            shedder: Mutex::new(LoadShedder::new(Point::at(clock.now()), shedder_settings, seed)),
            classes: classes.collect(),
            max_delay_s: limits.max_delay_s,
            cpu_cores: limits.cpu_cores,
            memory_bytes: limits.memory_bytes,
            open_files: limits.open_files,
            max_sessions: settings.limits.max_sessions as f64,
            allows_retry_after: settings.retry_after.allowed && settings.retry_after.max_s > 0.0,
            max_waited_us: AtomicU64::new(0),
            session_count: AtomicUsize::new(0),
            rejected_by_hint: AtomicU64::new(0),
        })
    }

    fn shedder(&self) -> MutexGuard<'_, LoadShedder> {
        self.shedder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn time_left(&self, class: usize, received_at_s: f64, give_up_in_s: Option<f64>, now_s: f64) -> Span {
        let deadline = self.classes[class].1;
        let requested = give_up_in_s.filter(|s| s.is_finite()).map_or(deadline, Span::of);
        Point::at(received_at_s) + requested.min(deadline) - Point::at(now_s)
    }

    /// Decides on a request by its hint, before it is parsed. If it is rejected, returns the time to retry
    /// after.
    pub fn reject_by_hint(&self, hint: &RequestHint) -> Option<Span> {
        // The driver rejects unknown classes.
        let class = self.classes.iter().position(|(name, _)| *name == hint.class)?;
        let now_s = self.clock.now();
        let request = IncomingRequest {
            class,
            tenant: &hint.tenant,
            is_retry: hint.is_retry,
            time_left: self.time_left(class, now_s, hint.give_up_in_s, now_s),
            was_held: false,
            decide_now: true,
        };
        match self.shedder().decide(Point::at(now_s), request) {
            Decision::Admit | Decision::Hold { .. } => None,
            Decision::Reject { retry_after } => {
                self.rejected_by_hint.fetch_add(1, Ordering::Relaxed);
                Some(retry_after)
            }
        }
    }

    /// Decides on a parsed request. `was_held` is true if it is decided on for the second time, after a hold.
    pub fn decide(&self, received_at_s: f64, request: &PlayRequest, was_held: bool) -> Decision {
        let Some(class) = self.classes.iter().position(|(name, _)| *name == request.class) else {
            return Decision::Admit;
        };
        let now_s = self.clock.now();
        let incoming = IncomingRequest {
            class,
            tenant: &request.tenant,
            is_retry: request.is_retry,
            time_left: self.time_left(class, received_at_s, request.give_up_in_s, now_s),
            was_held,
            decide_now: false,
        };
        self.shedder().decide(Point::at(now_s), incoming)
    }

    /// The player of a held request disconnected.
    pub fn held_request_cancelled(&self) {
        self.shedder().held_request_cancelled();
    }

    /// Time to retry after for a request that was displaced from the queue or expired in it.
    pub fn retry_after(&self) -> Span {
        self.shedder().retry_after(Point::at(self.clock.now()))
    }

    /// The deciding thread has begun to process a request that was received this many seconds ago.
    pub fn request_started(&self, waited_s: f64) {
        self.shedder().request_started();
        self.max_waited_us.fetch_max((waited_s.max(0.0) * 1e6) as u64, Ordering::Relaxed);
    }

    /// Sets the number of requests and sessions of the driver.
    pub fn set_session_count(&self, count: usize) {
        self.session_count.store(count, Ordering::Relaxed);
    }

    /// Records the cost of an answered request: its number of attempts.
    pub fn record_cost(&self, class: usize, attempts: u32) {
        self.shedder().record_cost(class, f64::from(attempts));
    }

    /// Current load, and counts of each class.
    pub fn snapshot(&self) -> LoadSnapshot {
        self.shedder().snapshot(Point::at(self.clock.now()))
    }

    /// Number of requests that were rejected so far.
    pub fn rejected_total(&self) -> u64 {
        self.shedder().rejected_total()
    }

    /// Measures the process and frees memory if it is short, with `close_idle` and with an event to the
    /// driver. Ends with the deciding thread.
    pub async fn run(
        self: Arc<Self>,
        queue: Arc<SharedRequestQueue>,
        close_idle: impl Fn() + Send + 'static,
        events: mpsc::Sender<Event>,
    ) {
        let (mut max_lag, mut ticks) = (Duration::ZERO, 0);
        let mut last_cpu: Option<(f64, f64)> = None;
        let mut memory_stage = MemoryStage::Free;
        while !events.is_closed() {
            let due = Instant::now() + TICK;
            tokio::time::sleep_until(due).await;
            max_lag = max_lag.max(due.elapsed());
            ticks += 1;
            if ticks < TICKS_PER_READING && max_lag < TICK {
                continue;
            }
            if ticks < TICKS_PER_READING {
                // The event loop lags already: report this at once, and the other figures at their usual
                // time.
                self.shedder().observe(
                    Point::at(self.clock.now()),
                    Resource::EventLoopLag,
                    max_lag.as_secs_f64() / self.max_delay_s,
                );
                self.shedder().tick(Point::at(self.clock.now()));
                continue;
            }
            ticks = 0;
            let now_s = self.clock.now();
            let now = Point::at(now_s);
            let (fill_ratio, oldest_s) = queue.fill_ratio_and_oldest();
            let waiting_s = oldest_s.map_or(0.0, |received_at_s| now_s - received_at_s);
            let waited_s = (self.max_waited_us.swap(0, Ordering::Relaxed) as f64 / 1e6).max(waiting_s);
            let session_count = self.session_count.load(Ordering::Relaxed) as f64;
            let mut readings = vec![
                (Resource::QueueDelay, waited_s / self.max_delay_s),
                (Resource::EventLoopLag, std::mem::take(&mut max_lag).as_secs_f64() / self.max_delay_s),
                (Resource::QueueLength, fill_ratio),
                (Resource::InFlight, session_count / self.max_sessions),
            ];
            if let Ok(cpu) = clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID) {
                let cpu_s = Duration::from(cpu).as_secs_f64();
                if let Some((last_cpu_s, last_at_s)) = last_cpu.replace((cpu_s, now_s)) {
                    let cores = (cpu_s - last_cpu_s) / (now_s - last_at_s).max(1e-3);
                    readings.push((Resource::Cpu, cores / self.cpu_cores));
                }
            }
            // A figure that can't be read is not reported; the shedder takes the age of its last value into
            // account.
            if let Ok(process) = Process::myself() {
                if let Ok(stat) = process.stat() {
                    let resident_bytes = (stat.rss * procfs::page_size()) as f64;
                    readings.push((Resource::Memory, resident_bytes / self.memory_bytes));
                }
                if let Ok(files) = process.fd_count() {
                    readings.push((Resource::OpenFiles, files as f64 / self.open_files));
                }
            }
            let last_stage = memory_stage;
            let (ranks, shares) = {
                let mut shedder = self.shedder();
                for (resource, utilization) in readings {
                    shedder.observe(now, resource, utilization);
                }
                memory_stage = shedder.tick(now);
                let (ranks, shares) = shedder.ranks_and_shares();
                (ranks.to_vec(), shares)
            };
            queue.set_ranks(&ranks, &shares);
            if memory_stage >= MemoryStage::Caches {
                close_idle();
            }
            if memory_stage > last_stage && memory_stage >= MemoryStage::Caches {
                tracing::warn!(target: "shedding", stage = ?memory_stage, "memory is short");
                let _ =
                    events.try_send(Event::ReleaseMemory { history: memory_stage == MemoryStage::History });
            }
        }
    }
}
