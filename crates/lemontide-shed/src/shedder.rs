//! The controller's keeper: all readings come here, and each new request is judged here before anything is done for
//! it. Ties the level, the gate, the tenants' shares and the relief of memory together.

use crate::admission::{Admission, Class, Decision, Request};
use crate::admission_rate::AdmissionRate;
use crate::load_level::{LoadLevel, Resource};
use crate::memory::{MemoryShedder, MemoryStage};
use crate::tenant_quotas::TenantQuotas;
use lemontide::clock::{Point, Span};
use serde::{Deserialize, Serialize};

/// A gap in the beat from which the process stood still, and the level that it has then at least.
const STOOD_STILL: Span = Span::of_millis(400);

/// What the operators state.
#[derive(Clone, Debug)]
pub struct LoadShedderSettings {
    pub classes: Vec<Class>,
    /// Names and requests a second at this controller.
    pub tenant_quotas: Vec<(String, f64)>,
    /// The longest wait that viewers follow, and the longest hold.
    pub max_retry_after: Span,
    pub max_hold: Span,
    /// How long an event may wait for its turn.
    pub max_delay: Span,
}

/// A new request.
#[derive(Clone, Copy, Debug)]
pub struct IncomingRequest<'a> {
    pub class: usize,
    pub tenant: &'a str,
    pub is_retry: bool,
    pub time_left: Span,
    /// It was held before and is asked about again.
    pub was_held: bool,
    /// Nobody can hold it: it is judged at its head, before it is read.
    pub decide_now: bool,
}

/// What became of each class's requests here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassCounts {
    #[serde(rename = "taken")]
    pub admitted: u64,
    pub held: u64,
    #[serde(rename = "turned_back")]
    pub rejected: u64,
}

/// All of it in figures.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LoadSnapshot {
    pub level: f64,
    /// Requests a second that may be taken; none where there is no limit.
    #[serde(rename = "limit")]
    pub limit_per_s: Option<f64>,
    /// The tightest gauge.
    #[serde(rename = "tightest")]
    pub bottleneck: Option<Resource>,
    #[serde(rename = "stage")]
    pub memory_stage: MemoryStage,
    #[serde(rename = "holding")]
    pub held_requests: usize,
    /// Each gauge as a part of its limit, and the age of its reading in seconds.
    #[serde(rename = "gauges")]
    pub utilization: Vec<(Resource, Option<f64>, Option<f64>)>,
    #[serde(rename = "lanes")]
    pub classes: Vec<ClassCounts>,
}

pub struct LoadShedder {
    load: LoadLevel,
    rate: AdmissionRate,
    gate: Admission,
    tenants: TenantQuotas,
    relief: MemoryShedder,
    delay: Span,
    beat: Option<Point>,
    stage: MemoryStage,
    counts: Vec<ClassCounts>,
}

impl LoadShedder {
    pub fn new(now: Point, terms: LoadShedderSettings, seed: u64) -> LoadShedder {
        LoadShedder {
            load: LoadLevel::default(),
            rate: AdmissionRate::new(now),
            counts: vec![ClassCounts::default(); terms.classes.len()],
            gate: Admission::new(now, terms.classes, terms.max_retry_after, terms.max_hold, seed),
            tenants: TenantQuotas::new(now, terms.tenant_quotas),
            relief: MemoryShedder::default(),
            delay: terms.max_delay,
            beat: None,
            stage: MemoryStage::Free,
        }
    }

    /// A reading, as a part of its limit.
    pub fn observe(&mut self, now: Point, what: Resource, part: f64) {
        self.load.observe(now, what, part);
        if what == Resource::Cpu {
            self.rate.observe_cpu(part);
        }
    }

    /// Called regularly, every tenth of a second or so; what memory asks for.
    pub fn tick(&mut self, now: Point) -> MemoryStage {
        if let Some(before) = self.beat.replace(now) {
            let gap = now - before;
            if gap >= STOOD_STILL {
                self.load.process_stalled(now, gap.seconds() / self.delay.seconds().max(1e-3));
            }
        }
        self.load.level(now);
        self.rate.tick(now, self.load.pressure(now), self.load.hard_limit_pressure(now));
        self.stage = self.relief.update(now, self.load.memory_pressure(now));
        self.stage
    }

    /// What to do with a request. Each request is judged once, or once more after a hold.
    pub fn decide(&mut self, now: Point, asked: IncomingRequest) -> Decision {
        let level = self.load.level(now);
        if asked.was_held {
            self.gate.hold_ended();
        }
        // A request that was held was counted already.
        let past = !asked.was_held && self.tenants.exceeds_quota(now, asked.tenant);
        let request = Request {
            class: asked.class,
            is_retry: asked.is_retry,
            tenant_over_quota: past,
            time_left: asked.time_left,
            decide_now: asked.was_held || asked.decide_now,
        };
        if !asked.was_held {
            self.rate.request_arrived();
        }
        let word = self.gate.decide(now, level, self.rate.limit_per_s(), request);
        if let Some(counts) = self.counts.get_mut(asked.class) {
            match word {
                Decision::Admit => counts.admitted += 1,
                Decision::Hold { .. } => counts.held += 1,
                Decision::Reject { .. } => counts.rejected += 1,
            }
        }
        word
    }

    /// A request that was taken got its turn at the deciding thread.
    pub fn request_started(&mut self) {
        self.rate.request_started();
    }

    /// The player of a held request went away.
    pub fn held_request_cancelled(&mut self) {
        self.gate.hold_ended();
    }

    /// A wait for who is turned away for another reason than its own rank.
    pub fn retry_after(&mut self, now: Point) -> Span {
        let level = self.load.level(now);
        self.gate.retry_after(level)
    }

    /// What an answered request cost, in shots.
    pub fn record_cost(&mut self, class: usize, shots: f64) {
        self.gate.record_cost(class, shots);
    }

    pub fn ranks_and_shares(&self) -> (&[f64], Vec<f64>) {
        self.gate.ranks_and_shares()
    }

    pub fn rejected_total(&self) -> u64 {
        self.counts.iter().map(|counts| counts.rejected).sum()
    }

    pub fn snapshot(&mut self, now: Point) -> LoadSnapshot {
        LoadSnapshot {
            level: self.load.level(now),
            limit_per_s: self.rate.limit_per_s(),
            bottleneck: self.load.bottleneck(now).filter(|(_, part)| *part > 0.0).map(|(what, _)| what),
            memory_stage: self.stage,
            held_requests: self.gate.held_count(),
            utilization: self.load.utilization(now),
            classes: self.counts.clone(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(s: f64) -> Point {
        Point::at(1000.0 + s)
    }

    fn keeper() -> LoadShedder {
        let class = |gain| Class { gain, mean_cost: 1.0, reserved_share: 0.0 };
        let terms = LoadShedderSettings {
            classes: vec![class(4.0), class(1.0)],
            tenant_quotas: vec![("loud".into(), 10.0), ("quiet".into(), 10.0)],
            max_retry_after: Span::of(2.0),
            max_hold: Span::of(0.2),
            max_delay: Span::of_millis(50),
        };
        LoadShedder::new(at(0.0), terms, 5)
    }

    fn asked(class: usize, tenant: &str) -> IncomingRequest<'_> {
        IncomingRequest {
            class,
            tenant,
            is_retry: false,
            time_left: Span::of(3.0),
            was_held: false,
            decide_now: true,
        }
    }

    /// Requests at a steady rate at a controller that can do so many a second; a beat every tenth of a second. Which
    /// were taken.
    fn run(
        keeper: &mut LoadShedder,
        from: f64,
        per_s: [f64; 2],
        can: f64,
        tenant: fn(usize) -> &'static str,
    ) -> Vec<bool> {
        let [per_s, seconds] = per_s;
        let (mut words, mut beats, mut taken) = (Vec::new(), 0.0, 0.0);
        for i in 0..(seconds * per_s) as usize {
            let now = from + i as f64 / per_s;
            if now >= from + beats {
                beats += 0.1;
                keeper.observe(at(now), Resource::Cpu, (taken * 10.0 / can).min(1.0));
                keeper.observe(at(now), Resource::QueueDelay, if taken * 10.0 > can { 1.0 } else { 0.1 });
                keeper.tick(at(now));
                taken = 0.0;
            }
            let take = keeper.decide(at(now), asked(0, tenant(i))) == Decision::Admit;
            if take {
                keeper.request_started();
                taken += 1.0;
            }
            words.push(take);
        }
        words
    }

    #[test]
    fn a_stall_is_noticed_by_its_own_gap_and_left_in_steps() {
        let mut keeper = keeper();
        assert!(run(&mut keeper, 0.0, [100.0, 3.0], 200.0, |_| "").iter().all(|take| *take));
        // Stopped for two seconds: the first beat after it knows, before a request that waited was looked at.
        keeper.tick(at(5.0));
        assert!(keeper.snapshot(at(5.0)).level > 1.0);
        let limit = keeper.snapshot(at(5.0)).limit_per_s.expect("there is one");
        assert!((50.0..90.0).contains(&limit), "{limit} of a hundred");
        let after = run(&mut keeper, 5.01, [100.0, 8.0], 200.0, |_| "");
        let taken = |from: usize, to: usize| after[from..to].iter().filter(|take| **take).count();
        assert!(taken(0, 100) <= 95, "no burst: {}", taken(0, 100));
        assert_eq!(taken(600, 800), 200, "and all again a few seconds later");
        let limit = keeper.snapshot(at(13.0)).limit_per_s;
        assert!(limit.is_none_or(|limit| limit > 200.0), "only what the allowance can do: {limit:?}");
    }

    #[test]
    fn a_tenant_alone_in_excess_does_not_cost_the_others_theirs() {
        let mut keeper = keeper();
        let tenant = |i: usize| if i % 40 == 1 { "quiet" } else { "loud" };
        run(&mut keeper, 0.0, [100.0, 5.0], 200.0, |_| "");
        // Forty times as many of one as of the other, and twice as many as can be done.
        let words = run(&mut keeper, 5.0, [400.0, 20.0], 200.0, tenant);
        let part = |quiet: bool| {
            let of = words.iter().enumerate().filter(|(i, _)| (i % 40 == 1) == quiet);
            let (all, taken) = of.fold((0, 0), |(all, taken), (_, take)| (all + 1, taken + u32::from(*take)));
            f64::from(taken) / f64::from(all)
        };
        assert!(part(true) > 0.95 && part(false) < 0.55, "{} and {}", part(true), part(false));
    }
}
