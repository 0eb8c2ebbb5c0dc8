//! One load level from the utilization of all resources: 0 is free, 1 is at a limit, above 1 the controller falls
//! behind. The most used resource sets it, and its fall is slowed down so that a steady load does not make it
//! oscillate.

use crate::utilization::Utilization;
use lemontide::clock::Point;
use serde::{Deserialize, Serialize};

/// What a controller can run out of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Resource {
    /// Time from an event's arrival to its processing by the deciding thread, over the allowed time.
    #[serde(rename = "delay")]
    QueueDelay,
    /// Waiting requests over the capacity of their queue.
    #[serde(rename = "queue")]
    QueueLength,
    /// Delay of the event loop that serves the sockets, over the allowed time.
    #[serde(rename = "loop")]
    EventLoopLag,
    /// CPU time of the process over its allowance.
    Cpu,
    /// Resident memory over its limit.
    Memory,
    /// Requests and sessions in progress over their limit.
    #[serde(rename = "held")]
    InFlight,
    /// Open files over their limit.
    #[serde(rename = "files")]
    OpenFiles,
}

/// All resources, in the order of the enum.
pub const ALL_RESOURCES: [Resource; 7] = [
    Resource::QueueDelay,
    Resource::QueueLength,
    Resource::EventLoopLag,
    Resource::Cpu,
    Resource::Memory,
    Resource::InFlight,
    Resource::OpenFiles,
];

/// Utilization at which pressure begins, in the order of `ALL_RESOURCES`: low enough that requests in progress still
/// fit. A queue that fills is a late sign of overload, so it counts from a lower share on.
const PRESSURE_START: [f64; 7] = [0.5, 0.25, 0.5, 0.9, 0.85, 0.9, 0.9];
/// From there to a pressure of 1. A busy CPU does little harm while nothing waits, so at its allowance its pressure is
/// still below 1 and reaches 1 at 2 % more.
const PRESSURE_RANGE: [f64; 7] = [0.5, 0.75, 0.5, 0.12, 0.15, 0.1, 0.1];
/// The level falls by at most this much per second, so that load returns in steps and without a burst.
const MAX_FALL_PER_S: f64 = 0.4;
/// The level does not fall for a smaller difference.
const DEAD_BAND: f64 = 0.03;
/// The level is capped here, so that it falls within a few seconds however far a utilization exceeded its limit.
const MAX_LEVEL: f64 = 2.0;
/// Minimum of the level while there is no recent reading at all: some shedding, but not of everything.
const LEVEL_WITHOUT_READINGS: f64 = 0.5;

/// The load level and what it is made from.
#[derive(Clone, Debug)]
pub struct LoadLevel {
    utilization: [Utilization; 7],
    level: f64,
    updated_at: Option<Point>,
}

impl Default for LoadLevel {
    fn default() -> LoadLevel {
        let mut utilization = [Utilization::default(); 7];
        // A CPU that is busy for a tenth of a second is not overloaded; the delays show a burst.
        utilization[Resource::Cpu as usize] = Utilization::slow_rise();
        LoadLevel { utilization, level: 0.0, updated_at: None }
    }
}

impl LoadLevel {
    /// Takes a reading of a resource as a share of its limit.
    pub fn observe(&mut self, now: Point, resource: Resource, share: f64) {
        self.utilization[resource as usize].observe(now, share);
    }

    /// Pressure of one resource: 0 below where shedding begins, 1 at the end of its range.
    fn resource_pressure(&self, now: Point, resource: Resource) -> Option<f64> {
        let value = self.utilization[resource as usize].value(now)?;
        Some(((value - PRESSURE_START[resource as usize]) / PRESSURE_RANGE[resource as usize]).max(0.0))
    }

    /// The resource with the highest pressure, and that pressure.
    pub fn bottleneck(&self, now: Point) -> Option<(Resource, f64)> {
        let all = ALL_RESOURCES
            .iter()
            .filter_map(|resource| Some((*resource, self.resource_pressure(now, *resource)?)));
        all.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// The highest pressure, which the admission rate follows; `None` without any recent reading.
    pub fn pressure(&self, now: Point) -> Option<f64> {
        self.bottleneck(now).map(|(_, pressure)| pressure.min(MAX_LEVEL))
    }

    /// The highest pressure among the limits that must never be exceeded: memory, open files and requests and sessions
    /// in progress.
    pub fn hard_limit_pressure(&self, now: Point) -> f64 {
        let hard = [Resource::Memory, Resource::OpenFiles, Resource::InFlight];
        hard.iter().filter_map(|resource| self.resource_pressure(now, *resource)).fold(0.0, f64::max)
    }

    /// The level that is reported and that sets `retry_after`. It never falls because a utilization rose.
    pub fn level(&mut self, now: Point) -> f64 {
        // After a stall of the process the readings are stale and say nothing; the level then does not fall.
        let wanted = match self.bottleneck(now) {
            Some((_, pressure)) => pressure.min(MAX_LEVEL),
            None => self.level.max(LEVEL_WITHOUT_READINGS),
        };
        let elapsed_s =
            self.updated_at.map_or(f64::INFINITY, |updated_at| (now - updated_at).seconds().max(0.0));
        self.updated_at = Some(now);
        if wanted > self.level {
            self.level = wanted;
        } else if self.level - wanted > DEAD_BAND || wanted <= 0.0 {
            // Within the dead band the level stays, unless it would then never reach 0.
            self.level = (self.level - MAX_FALL_PER_S * elapsed_s).max(wanted);
        }
        self.level
    }

    /// Pressure of memory alone: below 0 where shedding for it has not begun, 1 at its limit.
    pub fn memory_pressure(&self, now: Point) -> Option<f64> {
        let memory = Resource::Memory as usize;
        Some((self.utilization[memory].value(now)? - PRESSURE_START[memory]) / PRESSURE_RANGE[memory])
    }

    /// The process stalled for this multiple of the allowed delay: what arrived meanwhile has waited. The level rises
    /// at once and falls in steps as always.
    pub fn process_stalled(&mut self, now: Point, delays: f64) {
        self.utilization[Resource::QueueDelay as usize].raise_to(now, delays.min(MAX_LEVEL));
    }

    /// The utilization of each resource and the age of its reading in seconds.
    pub fn utilization(&self, now: Point) -> Vec<(Resource, Option<f64>, Option<f64>)> {
        ALL_RESOURCES
            .iter()
            .map(|resource| {
                let utilization = &self.utilization[*resource as usize];
                (*resource, utilization.value(now), utilization.age_s(now))
            })
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn at(seconds: f64) -> Point {
        Point::at(1000.0 + seconds)
    }

    /// Levels over this time at a queue delay that is read every 50 ms.
    fn run(load: &mut LoadLevel, from_s: f64, seconds: f64, share: impl Fn(f64) -> f64) -> Vec<f64> {
        let steps = (seconds / 0.05) as usize;
        let level = |i: usize| {
            let time_s = from_s + i as f64 * 0.05;
            load.observe(at(time_s), Resource::QueueDelay, share(time_s));
            load.level(at(time_s))
        };
        (0..steps).map(level).collect()
    }

    #[test]
    fn a_burst_raises_the_level_at_once_and_it_falls_in_steps() {
        let mut load = LoadLevel::default();
        run(&mut load, 0.0, 2.0, |_| 0.1);
        let burst = run(&mut load, 2.0, 1.0, |_| 3.0);
        assert!(burst[5] > 1.0, "{:?}", &burst[..8]);
        let after = run(&mut load, 3.0, 20.0, |_| 0.1);
        assert!(
            after.windows(2).all(|w| w[0] - w[1] <= MAX_FALL_PER_S * 0.05 + DEAD_BAND + 1e-9),
            "in steps"
        );
        assert_eq!(after.last(), Some(&0.0));
    }

    #[test]
    fn without_readings_the_level_is_moderate_and_with_stale_ones_it_stays() {
        let mut load = LoadLevel::default();
        assert_eq!(load.level(at(0.0)), LEVEL_WITHOUT_READINGS);
        load.observe(at(0.0), Resource::Memory, 0.96);
        let before = load.level(at(0.1));
        assert!(before > 0.7, "{before}");
        assert_eq!(load.level(at(9.0)), before, "there is no recent reading");
    }

    proptest! {
        /// The level never falls because a utilization rose.
        #[test]
        fn the_level_is_monotone_in_each_utilization(
            shares in proptest::collection::vec(0.0f64..3.0, 7), which in 0usize..7, more in 0.0f64..2.0,
        ) {
            let level = |shares: &[f64]| {
                let mut load = LoadLevel::default();
                for (resource, share) in ALL_RESOURCES.iter().zip(shares) {
                    load.observe(at(0.0), *resource, *share);
                }
                load.level(at(0.01))
            };
            let mut higher = shares.clone();
            higher[which] += more;
            prop_assert!(level(&higher) >= level(&shares));
        }

        /// Under a steady load with noise the level stays within a narrow band once it has settled.
        #[test]
        fn a_steady_load_does_not_make_the_level_oscillate(share in 0.0f64..1.5, seed in 1u64..1000) {
            let mut load = LoadLevel::default();
            let noisy = |time_s: f64| share * (1.0 + 0.05 * ((time_s * 977.0 + seed as f64).sin()));
            run(&mut load, 0.0, 10.0, noisy);
            let settled = run(&mut load, 10.0, 10.0, noisy);
            let extend = |(low, high): (f64, f64), level: &f64| (low.min(*level), high.max(*level));
            let (low, high) = settled.iter().fold((f64::MAX, 0.0f64), extend);
            prop_assert!(high - low <= 0.25, "{low} to {high}");
        }
    }
}
