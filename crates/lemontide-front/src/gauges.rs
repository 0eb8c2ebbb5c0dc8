//! Measures this process for the shedding core and asks it about each new wish. Figures come from `/proc` and from
//! the deciding thread itself; what they mean is decided in `lemontide-shed`.

use crate::settings::{Settings, Shedding};
use lemontide::clock::{Point, Span};
use lemontide_shed::admit::{Gate, Lane, Wish as Seen, Word};
use lemontide_shed::level::{Load, What};
use lemontide_wire::clock::Clock;
use lemontide_wire::play::Wish;
use procfs::process::Process;

/// How often `/proc` is read: a reading costs tens of microseconds.
const EVERY: f64 = 0.1;

/// Stands before the driver where the settings ask for it.
pub struct Guard {
    clock: Clock,
    limits: Shedding,
    load: Load,
    gate: Gate,
    lanes: Vec<(String, Span)>,
    held_most: f64,
    read_at: f64,
    cpu: Option<(f64, f64)>,
    /// The longest wait since the last measurement, in seconds.
    waited: f64,
    /// Wishes turned back here, and the level at the last one.
    pub shed: u64,
    pub last: f64,
}

impl Guard {
    pub fn new(settings: &Settings, limits: &Shedding, clock: Clock, seed: u64) -> Guard {
        let share = |i: usize| limits.lane_shares.get(i).copied().unwrap_or(0.0);
        let lane =
            |(i, lane): (usize, &crate::settings::Lane)| Lane { gain: lane.gain, cost: 1.0, share: share(i) };
        let lanes = settings.lanes.iter().enumerate().map(lane).collect();
        let longest = Span::of(settings.retry_after.longest_s);
        Guard {
            clock,
            limits: limits.clone(),
            load: Load::default(),
            gate: Gate::new(Point::at(clock.now()), lanes, longest, seed),
            lanes: settings.lanes.iter().map(|lane| (lane.name.clone(), Span::of(lane.cut_off_s))).collect(),
            held_most: settings.limits.held as f64,
            read_at: 0.0,
            cpu: None,
            waited: 0.0,
            shed: 0,
            last: 0.0,
        }
    }

    /// The wait of a wish that is turned back here; none where the driver may have it.
    pub fn turns_back(&mut self, asked: f64, wish: &Wish) -> Option<Span> {
        let seconds = self.clock.now();
        let now = Point::at(seconds);
        let waited = (seconds - asked).max(0.0);
        self.waited = self.waited.max(waited);
        // A lane that nobody named is the driver's to refuse.
        let lane = self.lanes.iter().position(|(name, _)| *name == wish.lane)?;
        let given = wish.give_up_in_s.filter(|s| s.is_finite()).map_or(self.lanes[lane].1, Span::of);
        let left = Point::at(asked) + given.min(self.lanes[lane].1) - now;
        let level = self.load.level(now);
        self.last = level;
        let seen = Seen { lane, returning: wish.returned, tenant_past_share: false, left };
        match self.gate.admit(now, level, seen) {
            Word::Take => None,
            Word::TurnBack { wait } => {
                self.shed += 1;
                Some(wait)
            }
        }
    }

    /// Reads the gauges, now and then.
    pub fn measure(&mut self, in_hand: usize, queue: f64) {
        let seconds = self.clock.now();
        let passed = seconds - self.read_at;
        if passed < EVERY {
            return;
        }
        self.read_at = seconds;
        let now = Point::at(seconds);
        self.load.read(now, What::Delay, self.waited / self.limits.delay_s);
        self.waited = 0.0;
        self.load.read(now, What::Queue, queue);
        self.load.read(now, What::Held, in_hand as f64 / self.held_most);
        // A gauge that can't be read grows old, and the core knows what to make of that.
        let Ok(process) = Process::myself() else { return };
        if let Ok(stat) = process.stat() {
            let spent = (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64;
            if let Some((before, at)) = self.cpu.replace((spent, seconds)) {
                let cores = (spent - before) / (seconds - at).max(1e-3);
                self.load.read(now, What::Cpu, cores / self.limits.cores);
            }
            let resident = (stat.rss * procfs::page_size()) as f64;
            self.load.read(now, What::Memory, resident / self.limits.memory_bytes);
        }
        if let Ok(files) = process.fd_count() {
            self.load.read(now, What::Files, files as f64 / self.limits.files);
        }
    }
}
