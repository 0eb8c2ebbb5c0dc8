//! One level of load from all gauges: 0 is free, 1 is at the limit, above it the controller falls behind. The
//! tightest gauge tells, and the way down is held so that a steady load does not swing it.

use crate::utilization::Utilization;
use lemontide::clock::Point;
use serde::{Deserialize, Serialize};

/// What a controller can run out of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Resource {
    /// From an event's arrival to its turn at the deciding thread, over what is allowed.
    #[serde(rename = "delay")]
    QueueDelay,
    /// Requests that wait, over their queue.
    #[serde(rename = "queue")]
    QueueLength,
    /// How late the sockets' loop runs, over what is allowed.
    #[serde(rename = "loop")]
    EventLoopLag,
    /// CPU of the process over its allowance.
    Cpu,
    /// Resident memory over its limit.
    Memory,
    /// Requests and subscriptions in hand over their limit.
    #[serde(rename = "held")]
    InFlight,
    /// Open files over their limit.
    #[serde(rename = "files")]
    OpenFiles,
}

pub const ALL_RESOURCES: [Resource; 7] = [
    Resource::QueueDelay,
    Resource::QueueLength,
    Resource::EventLoopLag,
    Resource::Cpu,
    Resource::Memory,
    Resource::InFlight,
    Resource::OpenFiles,
];

/// Shedding begins at this part of a limit, so that what is under way still fits. A queue that fills is late
/// news, so it counts from earlier on.
const BEGIN: [f64; 7] = [0.5, 0.25, 0.5, 0.9, 0.85, 0.9, 0.9];
/// From there to a pressure of 1. A CPU that is used up is little harm while nothing waits: at its allowance it
/// presses a little, past it as much as anything.
const SPAN: [f64; 7] = [0.5, 0.75, 0.5, 0.12, 0.15, 0.1, 0.1];
/// The level falls by at most this much a second: recovery goes in steps, without a burst when it ends.
const FALL_PER_S: f64 = 0.4;
/// What a level may differ before it moves at all.
const DEAD_BAND: f64 = 0.03;
/// The level is never higher: from there it falls within a few seconds, however far over a gauge was.
const MOST: f64 = 2.0;
/// With no fresh gauge at all the level is taken to be this: careful, not closed.
const BLIND: f64 = 0.5;

#[derive(Clone, Debug)]
pub struct LoadLevel {
    gauges: [Utilization; 7],
    level: f64,
    at: Option<Point>,
}

impl Default for LoadLevel {
    fn default() -> LoadLevel {
        let mut gauges = [Utilization::default(); 7];
        // A core that is busy for a tenth of a second is no sign of anything; delays tell of bursts.
        gauges[Resource::Cpu as usize] = Utilization::slow_rise();
        LoadLevel { gauges, level: 0.0, at: None }
    }
}

impl LoadLevel {
    pub fn observe(&mut self, now: Point, what: Resource, part: f64) {
        self.gauges[what as usize].observe(now, part);
    }

    /// Where each gauge stands: 0 below where shedding begins, 1 at its limit.
    fn resource_pressure(&self, now: Point, what: Resource) -> Option<f64> {
        let value = self.gauges[what as usize].value(now)?;
        Some(((value - BEGIN[what as usize]) / SPAN[what as usize]).max(0.0))
    }

    /// The tightest gauge, and its pressure.
    pub fn bottleneck(&self, now: Point) -> Option<(Resource, f64)> {
        let all = ALL_RESOURCES.iter().filter_map(|what| Some((*what, self.resource_pressure(now, *what)?)));
        all.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// The tightest pressure as the rate follows it; none without any fresh gauge.
    pub fn pressure(&self, now: Point) -> Option<f64> {
        self.bottleneck(now).map(|(_, pressure)| pressure.min(MOST))
    }

    /// The pressure of the tightest limit that must not be passed at all: memory, files and what is in hand.
    pub fn hard_limit_pressure(&self, now: Point) -> f64 {
        let hard = [Resource::Memory, Resource::OpenFiles, Resource::InFlight];
        hard.iter().filter_map(|what| self.resource_pressure(now, *what)).fold(0.0, f64::max)
    }

    /// The level as it is told and as waits follow it. Never falls where a gauge rises.
    pub fn level(&mut self, now: Point) -> f64 {
        // A frozen process wakes with old gauges: they say nothing, and the level stays where it was.
        let wanted = match self.bottleneck(now) {
            Some((_, pressure)) => pressure.min(MOST),
            None => self.level.max(BLIND),
        };
        let passed = self.at.map_or(f64::INFINITY, |at| (now - at).seconds().max(0.0));
        self.at = Some(now);
        if wanted > self.level {
            self.level = wanted;
        } else if self.level - wanted > DEAD_BAND || wanted <= 0.0 {
            // Inside the band it stays, unless that would keep it off the ground.
            self.level = (self.level - FALL_PER_S * passed).max(wanted);
        }
        self.level
    }

    /// How short memory is: below 0 where shedding for it has not begun, 1 at its limit.
    pub fn memory_pressure(&self, now: Point) -> Option<f64> {
        let memory = Resource::Memory as usize;
        Some((self.gauges[memory].value(now)? - BEGIN[memory]) / SPAN[memory])
    }

    /// The process stood still for so long, as a part of the delay that is allowed: what came meanwhile waited.
    /// The level rises at once, and falls from there in steps as always.
    pub fn process_stalled(&mut self, now: Point, part: f64) {
        self.gauges[Resource::QueueDelay as usize].raise_to(now, part.min(MOST));
    }

    /// All gauges for operators: their value and age in seconds.
    pub fn utilization(&self, now: Point) -> Vec<(Resource, Option<f64>, Option<f64>)> {
        ALL_RESOURCES
            .iter()
            .map(|what| {
                let gauge = &self.gauges[*what as usize];
                (*what, gauge.value(now), gauge.age_s(now))
            })
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn at(s: f64) -> Point {
        Point::at(1000.0 + s)
    }

    fn run(load: &mut LoadLevel, from: f64, seconds: f64, part: impl Fn(f64) -> f64) -> Vec<f64> {
        let steps = (seconds / 0.05) as usize;
        let level = |i: usize| {
            let s = from + i as f64 * 0.05;
            load.observe(at(s), Resource::QueueDelay, part(s));
            load.level(at(s))
        };
        (0..steps).map(level).collect()
    }

    #[test]
    fn a_burst_is_noticed_at_once_and_left_in_steps() {
        let mut load = LoadLevel::default();
        run(&mut load, 0.0, 2.0, |_| 0.1);
        let burst = run(&mut load, 2.0, 1.0, |_| 3.0);
        assert!(burst[5] > 1.0, "{:?}", &burst[..8]);
        let after = run(&mut load, 3.0, 20.0, |_| 0.1);
        assert!(after.windows(2).all(|w| w[0] - w[1] <= FALL_PER_S * 0.05 + DEAD_BAND + 1e-9), "steps");
        assert_eq!(after.last(), Some(&0.0));
    }

    #[test]
    fn missing_gauges_make_careful_and_frozen_ones_keep_the_level() {
        let mut load = LoadLevel::default();
        assert_eq!(load.level(at(0.0)), BLIND);
        load.observe(at(0.0), Resource::Memory, 0.96);
        let before = load.level(at(0.1));
        assert!(before > 0.7, "{before}");
        assert_eq!(load.level(at(9.0)), before, "nothing fresh is known");
    }

    proptest! {
        /// The level never falls because a gauge rose.
        #[test]
        fn the_level_is_monotone_in_each_gauge(
            parts in proptest::collection::vec(0.0f64..3.0, 7), which in 0usize..7, more in 0.0f64..2.0,
        ) {
            let level = |parts: &[f64]| {
                let mut load = LoadLevel::default();
                for (what, part) in ALL_RESOURCES.iter().zip(parts) {
                    load.observe(at(0.0), *what, *part);
                }
                load.level(at(0.01))
            };
            let mut higher = parts.clone();
            higher[which] += more;
            prop_assert!(level(&higher) >= level(&parts));
        }

        /// Under a steady load with noise the level stays within a narrow band once it has settled.
        #[test]
        fn a_steady_load_does_not_swing_it(part in 0.0f64..1.5, seed in 1u64..1000) {
            let mut load = LoadLevel::default();
            let noisy = |s: f64| part * (1.0 + 0.05 * ((s * 977.0 + seed as f64).sin()));
            run(&mut load, 0.0, 10.0, noisy);
            let settled = run(&mut load, 10.0, 10.0, noisy);
            let (low, high) = settled.iter().fold((f64::MAX, 0.0f64), |(l, h), v| (l.min(*v), h.max(*v)));
            prop_assert!(high - low <= 0.25, "{low} to {high}");
        }
    }
}
