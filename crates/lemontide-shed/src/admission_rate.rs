//! How many new requests per second are admitted near the controller's limit. The limit is found, not configured: it is
//! cut below the rate of processed requests while a resource is under pressure, raised in steps while none is, and
//! lifted when it no longer binds. At all times admission is also limited to what the CPU allowance can do by the
//! measured cost of a request, plus a margin, so that a burst is limited before it causes a delay.

use lemontide::clock::{Point, Span};

/// Highest pressure at which the limit is not cut. A new limit is set only when the pressure exceeds this by
/// `ONSET_EXCESS`.
const TARGET_PRESSURE: f64 = 0.5;
const ONSET_EXCESS: f64 = 0.15;
/// Relative cut of the processed rate per unit of pressure over the target.
const CUT_OVER_TARGET: f64 = 0.15;
/// Added to it per unit of pressure over 1: beyond a limit the load must fall, not only stop growing.
const CUT_OVER_LIMIT: f64 = 0.2;
/// Time in which the limit moves down to its new value.
const CUT_TIME_S: f64 = 0.6;
/// Highest relative growth per second without pressure.
const GROWTH_PER_S: f64 = 0.5;
/// Growth while the limit is below `FAST_GROWTH_SHARE` of the best rate seen, or while that rate is below
/// `MIN_LIMIT_PER_S`: a limit that was set while few requests arrived says little.
const FAST_GROWTH_PER_S: f64 = 2.0;
const FAST_GROWTH_SHARE: f64 = 0.5;
/// Growth is relative to the limit, or to this share of the best rate seen if that is more.
const GROWTH_BASE_SHARE: f64 = 0.2;
/// The limit is lifted when it was at least this multiple of the arrival rate for `LIFT_AFTER`.
const LIFT_MULTIPLE: f64 = 1.25;
const LIFT_AFTER: Span = Span::of_millis(1000);
/// Time constant of the processed rate and the arrival rate.
const RATE_TIME_CONSTANT_S: f64 = 0.5;
/// Time constant with which the best rate seen is forgotten.
const BEST_RATE_DECAY_S: f64 = 60.0;
/// A gap between two ticks from which the process counts as stalled.
const STALL_S: f64 = 0.4;
/// Smallest limit while no hard limit is reached: without some requests it could not be seen that there is room again.
const MIN_LIMIT_PER_S: f64 = 2.0;
/// Smallest limit as a share of the best rate seen: where rejecting alone uses up the controller, admitting nothing
/// does not help.
const MIN_SHARE_OF_BEST: f64 = 0.1;
/// The limit may exceed the estimated capacity of the CPU by this factor, as it is only an estimate.
const CAPACITY_HEADROOM: f64 = 1.3;
/// The capacity is estimated only from this share of the CPU allowance and this processed rate on, while at least this
/// share of the arriving requests is processed, and while pressure has set no limit.
const MIN_CPU_TO_LEARN: f64 = 0.25;
const MIN_RATE_TO_LEARN_PER_S: f64 = 20.0;
const MIN_PROCESSED_SHARE_TO_LEARN: f64 = 0.8;
/// Time constant of the estimated capacity.
const CAPACITY_TIME_CONSTANT_S: f64 = 2.0;
/// Time constant of the CPU use and the processed rate that it is estimated from.
const COST_TIME_CONSTANT_S: f64 = 1.0;
/// Below this processed rate the CPU use counts as idle use.
const IDLE_RATE_PER_S: f64 = 1.0;
/// From this pressure of a hard limit on no request is admitted.
const HARD_LIMIT_PRESSURE: f64 = 1.0;

/// The limit on admitted requests per second, and the measurements that it is found from.
#[derive(Clone, Debug)]
pub struct AdmissionRate {
    limit_per_s: Option<f64>,
    /// Requests that were started and that arrived since the last tick.
    started: f64,
    arrived: f64,
    /// The same per second, smoothed.
    processed_per_s: f64,
    arrived_per_s: f64,
    best_per_s: f64,
    /// Estimate of the requests per second that the whole CPU allowance can do.
    capacity_per_s: Option<f64>,
    /// The last reading of the CPU as a share of its allowance.
    cpu: f64,
    /// That share and the processed rate, both smoothed with `COST_TIME_CONSTANT_S`.
    mean_cpu: f64,
    mean_processed_per_s: f64,
    /// The least CPU use that was seen without requests.
    idle_cpu: Option<f64>,
    /// Since when the limit has not been binding.
    unneeded_since: Option<Point>,
    last_tick: Point,
}

impl AdmissionRate {
    /// No limit until the first pressure or the first estimate of the capacity.
    pub fn new(now: Point) -> AdmissionRate {
        AdmissionRate {
            limit_per_s: None,
            started: 0.0,
            arrived: 0.0,
            processed_per_s: 0.0,
            arrived_per_s: 0.0,
            best_per_s: 0.0,
            capacity_per_s: None,
            cpu: 0.0,
            mean_cpu: 0.0,
            mean_processed_per_s: 0.0,
            idle_cpu: None,
            unneeded_since: None,
            last_tick: now,
        }
    }

    /// The processing of a request has begun.
    pub fn request_started(&mut self) {
        self.started += 1.0;
    }

    /// A request has arrived.
    pub fn request_arrived(&mut self) {
        self.arrived += 1.0;
    }

    /// Requests per second that may be admitted; `None` where there is no limit.
    pub fn limit_per_s(&self) -> Option<f64> {
        let ceiling = self.capacity_per_s.map(|capacity| (capacity * CAPACITY_HEADROOM).max(MIN_LIMIT_PER_S));
        [self.limit_per_s, ceiling].into_iter().flatten().reduce(f64::min)
    }

    /// Takes a reading of the CPU as a share of its allowance.
    pub fn observe_cpu(&mut self, share: f64) {
        if share.is_finite() {
            self.cpu = share.clamp(0.0, 10.0);
        }
    }

    /// Estimates what the whole CPU allowance can do. CPU use and processed rate are smoothed alike, so that neither
    /// lags behind the other. At a low load most of the CPU is not used for requests, so nothing is learned about
    /// their cost there.
    fn learn_capacity(&mut self, elapsed_s: f64, processed_per_s: f64) {
        let weight = 1.0 - (-elapsed_s / COST_TIME_CONSTANT_S).exp();
        self.mean_cpu += (self.cpu - self.mean_cpu) * weight;
        self.mean_processed_per_s += (processed_per_s - self.mean_processed_per_s) * weight;
        let (cpu, processed_per_s) = (self.mean_cpu, self.mean_processed_per_s);
        if processed_per_s < IDLE_RATE_PER_S {
            self.idle_cpu = Some(self.idle_cpu.map_or(cpu, |idle| idle.min(cpu)));
        }
        if cpu >= MIN_CPU_TO_LEARN && processed_per_s >= MIN_RATE_TO_LEARN_PER_S {
            // CPU use without any request is not part of their cost.
            let idle = self.idle_cpu.unwrap_or(0.0);
            let capacity = processed_per_s * (1.0 - idle) / (cpu - idle).max(0.05);
            let weight = 1.0 - (-elapsed_s / CAPACITY_TIME_CONSTANT_S).exp();
            self.capacity_per_s =
                Some(self.capacity_per_s.map_or(capacity, |before| before + (capacity - before) * weight));
        }
    }

    /// Updates the limit. To be called about every 100 ms, with the highest pressure of all resources and the highest
    /// one among the limits that must never be exceeded. Without any reading the limit does not change.
    pub fn tick(&mut self, now: Point, pressure: Option<f64>, hard_pressure: f64) {
        let elapsed_s = (now - self.last_tick).seconds();
        if elapsed_s <= 0.0 {
            return;
        }
        self.last_tick = now;
        let (started, arrived) = (std::mem::take(&mut self.started), std::mem::take(&mut self.arrived));
        // A stalled process did nothing, which says nothing about its capacity.
        if elapsed_s < STALL_S {
            let weight = 1.0 - (-elapsed_s / RATE_TIME_CONSTANT_S).exp();
            self.processed_per_s += (started / elapsed_s - self.processed_per_s) * weight;
            self.arrived_per_s += (arrived / elapsed_s - self.arrived_per_s) * weight;
            // Rejected requests cost CPU time, too, and a backlog will cost some later; neither is then part of the
            // cost of the processed ones.
            if self.limit_per_s.is_none() && started >= arrived * MIN_PROCESSED_SHARE_TO_LEARN {
                self.learn_capacity(elapsed_s, started / elapsed_s);
            }
        }
        self.best_per_s =
            (self.best_per_s * (1.0 - elapsed_s / BEST_RATE_DECAY_S).max(0.0)).max(self.processed_per_s);
        let Some(pressure) = pressure else { return };
        let min_limit = if hard_pressure >= HARD_LIMIT_PRESSURE {
            0.0
        } else {
            MIN_LIMIT_PER_S.max(self.best_per_s * MIN_SHARE_OF_BEST)
        };
        let excess = pressure - TARGET_PRESSURE;
        if excess > 0.0 {
            self.unneeded_since = None;
            if self.limit_per_s.is_none() && excess < ONSET_EXCESS {
                return;
            }
            let cut = CUT_OVER_TARGET * excess + CUT_OVER_LIMIT * (pressure - 1.0).max(0.0);
            let target = if hard_pressure >= HARD_LIMIT_PRESSURE {
                0.0
            } else {
                self.processed_per_s * (1.0 - cut).max(0.0)
            };
            let target = target.max(min_limit);
            // A new limit applies at once; an existing one moves, and only down.
            let limit = self.limit_per_s.unwrap_or(target);
            self.limit_per_s = Some(limit + (target.min(limit) - limit) * (elapsed_s / CUT_TIME_S).min(1.0));
            return;
        }
        let Some(limit) = self.limit_per_s else { return };
        let growth = if limit < self.best_per_s * FAST_GROWTH_SHARE || self.best_per_s < MIN_LIMIT_PER_S {
            FAST_GROWTH_PER_S
        } else {
            GROWTH_PER_S
        };
        let base = limit.max(self.best_per_s * GROWTH_BASE_SHARE).max(MIN_LIMIT_PER_S);
        let step = base * growth * (-excess / TARGET_PRESSURE).min(1.0);
        self.limit_per_s = Some((limit + step * elapsed_s.min(1.0)).max(min_limit));
        if limit < self.arrived_per_s * LIFT_MULTIPLE {
            self.unneeded_since = None;
        } else if now - *self.unneeded_since.get_or_insert(now) >= LIFT_AFTER {
            self.limit_per_s = None;
            self.unneeded_since = None;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn at(seconds: f64) -> Point {
        Point::at(1000.0 + seconds)
    }

    /// A server with this capacity per second and a queue. Returns the admitted requests of each second.
    fn serve(capacity_per_s: f64, offered: impl Fn(f64) -> f64, seconds: usize) -> (Vec<f64>, AdmissionRate) {
        let mut rate = AdmissionRate::new(at(0.0));
        let (mut queue, mut admitted) = (0.0f64, vec![0.0; seconds]);
        for step in 0..seconds * 10 {
            let now = step as f64 / 10.0;
            let arrived = offered(now) / 10.0;
            (0..arrived.round() as usize).for_each(|_| rate.request_arrived());
            let admit = rate.limit_per_s().map_or(arrived, |limit| arrived.min(limit / 10.0));
            queue += admit;
            admitted[step / 10] += admit;
            let done = queue.min(capacity_per_s / 10.0);
            queue -= done;
            (0..done.round() as usize).for_each(|_| rate.request_started());
            // Pressure of the delay over 0.1 s, and of the share of the capacity in use.
            let delay = (queue / capacity_per_s / 0.1 - 0.5) / 0.5;
            let busy = (done * 10.0 / capacity_per_s - 0.85) / 0.15;
            rate.tick(at(now + 0.1), Some(delay.max(busy).clamp(0.0, 2.0)), 0.0);
        }
        (admitted, rate)
    }

    #[test]
    fn under_overload_most_of_the_capacity_is_used_without_oscillation() {
        let (admitted, _) = serve(1000.0, |s| if s < 3.0 { 600.0 } else { 5000.0 }, 30);
        let settled = &admitted[10..];
        let mean = settled.iter().sum::<f64>() / settled.len() as f64;
        assert!((870.0..=1000.0).contains(&mean), "{mean}: {admitted:?}");
        let (low, high) = settled.iter().fold((f64::MAX, 0.0f64), |(l, h), v| (l.min(*v), h.max(*v)));
        assert!(high - low < 150.0, "{low} to {high}");
    }

    #[test]
    fn the_limit_is_lifted_soon_after_a_burst_and_grows_in_steps() {
        let (admitted, rate) = serve(1000.0, |s| if (3.0..8.0).contains(&s) { 9000.0 } else { 600.0 }, 20);
        assert_eq!(rate.limit_per_s(), None);
        assert!(admitted[12..].iter().all(|admitted| *admitted > 590.0), "{admitted:?}");
        assert!(admitted.iter().skip(4).all(|admitted| *admitted < 1100.0), "{admitted:?}");
    }

    #[test]
    fn at_a_hard_limit_nothing_is_admitted_and_a_missing_reading_changes_nothing() {
        let mut rate = AdmissionRate::new(at(0.0));
        rate.tick(at(0.1), Some(2.0), 1.5);
        assert_eq!(rate.limit_per_s(), Some(0.0));
        rate.tick(at(0.2), None, 0.0);
        assert_eq!(rate.limit_per_s(), Some(0.0));
        for tenth in 3..200 {
            rate.tick(at(f64::from(tenth) / 10.0), Some(0.0), 0.0);
        }
        assert_eq!(rate.limit_per_s(), None, "the limit is lifted again");
    }

    #[test]
    fn the_cpu_allowance_limits_a_burst_before_any_delay() {
        let mut rate = AdmissionRate::new(at(0.0));
        for tenth in 1..50 {
            (0..10).for_each(|_| rate.request_started());
            (0..10).for_each(|_| rate.request_arrived());
            rate.observe_cpu(0.6);
            rate.tick(at(f64::from(tenth) / 10.0), Some(0.0), 0.0);
        }
        let limit = rate.limit_per_s().expect("the capacity was estimated");
        assert!((200.0..=235.0).contains(&limit), "{limit}: 100 per second use six tenths of the CPU");
        // Neither a time in which many requests are rejected nor an idle one lowers the estimate.
        for tenth in 50..80 {
            (0..100).for_each(|_| rate.request_arrived());
            rate.observe_cpu(if tenth < 60 { 1.0 } else { 0.01 });
            rate.tick(at(f64::from(tenth) / 10.0), Some(0.0), 0.0);
        }
        assert!(rate.limit_per_s().is_some_and(|now| now > limit * 0.98));
    }

    proptest! {
        /// For any readings the limit is finite and, without a hard limit, never below its minimum; and a higher
        /// pressure never leads to a higher limit.
        #[test]
        fn a_higher_pressure_never_gives_a_higher_limit(
            ticks in proptest::collection::vec((0.0f64..3.0, 0u8..50, 0u8..50), 1..100), more in 0.0f64..2.0,
        ) {
            let (mut one, mut other) = (AdmissionRate::new(at(0.0)), AdmissionRate::new(at(0.0)));
            for (i, (pressure, arrived, started)) in ticks.iter().enumerate() {
                for rate in [&mut one, &mut other] {
                    (0..*arrived).for_each(|_| rate.request_arrived());
                    (0..*started).for_each(|_| rate.request_started());
                }
                let now = at((i + 1) as f64 / 10.0);
                one.tick(now, Some(*pressure), 0.0);
                other.tick(now, Some(*pressure + more), 0.0);
                if let Some(limit) = one.limit_per_s() {
                    prop_assert!(limit.is_finite() && limit >= MIN_LIMIT_PER_S);
                }
                let limit_of = |rate: &AdmissionRate| rate.limit_per_s().unwrap_or(f64::INFINITY);
                prop_assert!(
                    limit_of(&other) <= limit_of(&one) + 1e-9,
                    "{:?} {:?}",
                    other.limit_per_s(),
                    one.limit_per_s()
                );
                // Both go on from the same state, so that only the last tick is compared.
                other = one.clone();
            }
        }
    }
}
