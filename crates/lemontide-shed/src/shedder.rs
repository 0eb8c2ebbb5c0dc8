//! Load shedding of one controller: takes all readings, and decides about each new request before any work is done for
//! it. Combines the load level, the admission rate, admission by class, tenant quotas and memory shedding.

use crate::admission::{Admission, Class, Decision, Request};
use crate::admission_rate::AdmissionRate;
use crate::load_level::{LoadLevel, Resource};
use crate::memory::{MemoryShedder, MemoryStage};
use crate::tenant_quotas::TenantQuotas;
use lemontide::clock::{Point, Span};
use serde::{Deserialize, Serialize};

/// A gap between two ticks from which the process counts as stalled.
const STALL: Span = Span::of_millis(400);

/// What operators configure.
#[derive(Clone, Debug)]
pub struct LoadShedderSettings {
    pub classes: Vec<Class>,
    /// Tenants by name, each with its quota at this controller in requests per second.
    pub tenant_quotas: Vec<(String, f64)>,
    /// The longest wait that viewers follow.
    pub max_retry_after: Span,
    /// The longest time for which a request is held.
    pub max_hold: Span,
    /// How long an event may wait to be processed.
    pub max_delay: Span,
}

/// A new request.
#[derive(Clone, Copy, Debug)]
pub struct IncomingRequest<'a> {
    pub class: usize,
    pub tenant: &'a str,
    pub is_retry: bool,
    /// Time left until the viewer's deadline.
    pub time_left: Span,
    /// It was held before and is decided again.
    pub was_held: bool,
    /// It can't be held, as it is decided by its header, before it is read.
    pub decide_now: bool,
}

/// Counts of one class's requests by decision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassCounts {
    #[serde(rename = "taken")]
    pub admitted: u64,
    pub held: u64,
    #[serde(rename = "turned_back")]
    pub rejected: u64,
}

/// The state of load shedding, for operators.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LoadSnapshot {
    /// Load level: 0 is free, 1 is at a limit.
    pub level: f64,
    /// Requests per second that may be admitted; `None` where there is no limit.
    #[serde(rename = "limit")]
    pub limit_per_s: Option<f64>,
    /// The resource with the highest pressure, if any is under pressure.
    #[serde(rename = "tightest")]
    pub bottleneck: Option<Resource>,
    #[serde(rename = "stage")]
    pub memory_stage: MemoryStage,
    /// Requests that are held now.
    #[serde(rename = "holding")]
    pub held_requests: usize,
    /// The utilization of each resource as a share of its limit, and the age of its reading in seconds.
    #[serde(rename = "gauges")]
    pub utilization: Vec<(Resource, Option<f64>, Option<f64>)>,
    #[serde(rename = "lanes")]
    pub classes: Vec<ClassCounts>,
}

/// Load shedding of one controller.
pub struct LoadShedder {
    load_level: LoadLevel,
    admission_rate: AdmissionRate,
    admission: Admission,
    tenant_quotas: TenantQuotas,
    memory: MemoryShedder,
    max_delay: Span,
    last_tick: Option<Point>,
    memory_stage: MemoryStage,
    counts: Vec<ClassCounts>,
}

impl LoadShedder {
    /// The seed makes `retry_after` and holds reproducible.
    pub fn new(now: Point, settings: LoadShedderSettings, seed: u64) -> LoadShedder {
        LoadShedder {
            load_level: LoadLevel::default(),
            admission_rate: AdmissionRate::new(now),
            counts: vec![ClassCounts::default(); settings.classes.len()],
            admission: Admission::new(
                now,
                settings.classes,
                settings.max_retry_after,
                settings.max_hold,
                seed,
            ),
            tenant_quotas: TenantQuotas::new(now, settings.tenant_quotas),
            memory: MemoryShedder::default(),
            max_delay: settings.max_delay,
            last_tick: None,
            memory_stage: MemoryStage::Free,
        }
    }

    /// Takes a reading of a resource as a share of its limit.
    pub fn observe(&mut self, now: Point, resource: Resource, share: f64) {
        self.load_level.observe(now, resource, share);
        if resource == Resource::Cpu {
            self.admission_rate.observe_cpu(share);
        }
    }

    /// Updates the load level, the admission rate and the memory stage, which it returns. To be called about every
    /// 100 ms.
    pub fn tick(&mut self, now: Point) -> MemoryStage {
        if let Some(before) = self.last_tick.replace(now) {
            let gap = now - before;
            if gap >= STALL {
                self.load_level.process_stalled(now, gap.seconds() / self.max_delay.seconds().max(1e-3));
            }
        }
        self.load_level.level(now);
        self.admission_rate.tick(
            now,
            self.load_level.pressure(now),
            self.load_level.hard_limit_pressure(now),
        );
        self.memory_stage = self.memory.update(now, self.load_level.memory_pressure(now));
        self.memory_stage
    }

    /// Decides about a request. Each request is decided once, and once more after a hold.
    pub fn decide(&mut self, now: Point, incoming: IncomingRequest) -> Decision {
        let level = self.load_level.level(now);
        if incoming.was_held {
            self.admission.hold_ended();
        }
        // A request that was held was counted against its tenant's quota before its hold; now it is decided as one
        // within the quota.
        let tenant_over_quota = !incoming.was_held && self.tenant_quotas.exceeds_quota(now, incoming.tenant);
        let request = Request {
            class: incoming.class,
            is_retry: incoming.is_retry,
            tenant_over_quota,
            time_left: incoming.time_left,
            decide_now: incoming.was_held || incoming.decide_now,
        };
        if !incoming.was_held {
            self.admission_rate.request_arrived();
        }
        let decision = self.admission.decide(now, level, self.admission_rate.limit_per_s(), request);
        if let Some(counts) = self.counts.get_mut(incoming.class) {
            match decision {
                Decision::Admit => counts.admitted += 1,
                Decision::Hold { .. } => counts.held += 1,
                Decision::Reject { .. } => counts.rejected += 1,
            }
        }
        decision
    }

    /// The deciding thread has begun to process an admitted request.
    pub fn request_started(&mut self) {
        self.admission_rate.request_started();
    }

    /// The player of a held request has disconnected.
    pub fn held_request_cancelled(&mut self) {
        self.admission.hold_ended();
    }

    /// When a player may retry whose request is rejected for another reason than its own rank.
    pub fn retry_after(&mut self, now: Point) -> Span {
        let level = self.load_level.level(now);
        self.admission.retry_after(level)
    }

    /// Records what an answered request cost, in attempts.
    pub fn record_cost(&mut self, class: usize, attempts: f64) {
        self.admission.record_cost(class, attempts);
    }

    /// Ranks of the classes from 0 to 1 by gain per cost, and their reserved shares.
    pub fn ranks_and_shares(&self) -> (&[f64], Vec<f64>) {
        self.admission.ranks_and_shares()
    }

    /// Requests of all classes that were rejected.
    pub fn rejected_total(&self) -> u64 {
        self.counts.iter().map(|counts| counts.rejected).sum()
    }

    /// The state of load shedding, for operators.
    pub fn snapshot(&mut self, now: Point) -> LoadSnapshot {
        LoadSnapshot {
            level: self.load_level.level(now),
            limit_per_s: self.admission_rate.limit_per_s(),
            bottleneck: self
                .load_level
                .bottleneck(now)
                .filter(|(_, pressure)| *pressure > 0.0)
                .map(|(resource, _)| resource),
            memory_stage: self.memory_stage,
            held_requests: self.admission.held_count(),
            utilization: self.load_level.utilization(now),
            classes: self.counts.clone(),
        }
    }
}
