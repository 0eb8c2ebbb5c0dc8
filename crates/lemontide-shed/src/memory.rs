//! What goes when memory is short, and in what order: new work first, then caches, then history; never the
//! subscriptions in hand. Each step is taken at once and given back one by one.

use lemontide::clock::{Point, Span};
use serde::{Deserialize, Serialize};

/// As a cache goes what was idle for so long, so many connections at a time.
pub const IDLE_CONNECTION_AGE: Span = Span::of_millis(1000);
pub const MAX_CLOSED_PER_PASS: usize = 256;
/// Pressure of memory at which caches and history go; 0 is where shedding begins, 1 is the limit.
const CACHES: f64 = 0.4;
const HISTORY: f64 = 0.75;
/// A step is given back when the pressure is this far under where it began, for so long.
const BACK: f64 = 0.15;
const REST: Span = Span::of_millis(2000);
/// Growth is looked ahead by so many seconds: memory that grows slowly is met before it is short.
const AHEAD_S: f64 = 3.0;
/// Time constant of the growth, in seconds.
const GROWTH_S: f64 = 2.0;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemoryStage {
    #[default]
    Free,
    /// New work is shed.
    Shed,
    /// Caches are dropped, too: viewers seen lately, idle connections.
    Caches,
    /// History shrinks, too: spare room is given back.
    History,
}

impl MemoryStage {
    fn begins(self) -> f64 {
        match self {
            MemoryStage::Free => f64::NEG_INFINITY,
            MemoryStage::Shed => 0.0,
            MemoryStage::Caches => CACHES,
            MemoryStage::History => HISTORY,
        }
    }

    fn below(self) -> MemoryStage {
        match self {
            MemoryStage::Free | MemoryStage::Shed => MemoryStage::Free,
            MemoryStage::Caches => MemoryStage::Shed,
            MemoryStage::History => MemoryStage::Caches,
        }
    }
}

#[derive(Clone, Debug, Default)]
pub struct MemoryShedder {
    stage: MemoryStage,
    /// Since when the pressure lets the stage be left.
    rests: Option<Point>,
    last: Option<(Point, f64)>,
    growth: f64,
}

impl MemoryShedder {
    /// The stage at this pressure of memory. Without a reading it stays where it was.
    pub fn update(&mut self, now: Point, pressure: Option<f64>) -> MemoryStage {
        let Some(pressure) = pressure.filter(|pressure| pressure.is_finite()) else { return self.stage };
        if let Some((at, before)) = self.last {
            let passed = (now - at).seconds();
            if passed > 0.0 {
                let slope = (pressure - before) / passed;
                self.growth += (slope - self.growth) * (1.0 - (-passed / GROWTH_S).exp());
            }
        }
        self.last = Some((now, pressure));
        // What shrinks is not looked ahead: it is left in steps.
        let ahead = pressure + self.growth.max(0.0) * AHEAD_S;
        let wanted = [MemoryStage::History, MemoryStage::Caches, MemoryStage::Shed]
            .into_iter()
            .find(|stage| ahead > stage.begins())
            .unwrap_or_default();
        if wanted >= self.stage {
            self.stage = wanted;
            self.rests = None;
            return self.stage;
        }
        if ahead > self.stage.begins() - BACK {
            self.rests = None;
            return self.stage;
        }
        let since = *self.rests.get_or_insert(now);
        if now - since >= REST {
            self.stage = self.stage.below();
            self.rests = Some(now);
        }
        self.stage
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(s: f64) -> Point {
        Point::at(1000.0 + s)
    }

    #[test]
    fn slow_growth_is_met_in_order_and_before_the_limit() {
        let mut relief = MemoryShedder::default();
        let mut reached = Vec::new();
        for i in 0..400 {
            // From under the beginning to the limit within forty seconds.
            let pressure = f64::from(i) / 400.0 * 1.2 - 0.2;
            let stage = relief.update(at(f64::from(i) / 10.0), Some(pressure));
            if reached.last().is_none_or(|(last, _)| *last != stage) {
                reached.push((stage, pressure));
            }
        }
        let stages: Vec<_> = reached.iter().map(|(stage, _)| *stage).collect();
        assert_eq!(stages, [MemoryStage::Free, MemoryStage::Shed, MemoryStage::Caches, MemoryStage::History]);
        assert!(reached[3].1 < 0.75, "looked ahead: {reached:?}");
    }

    #[test]
    fn steps_are_given_back_one_by_one_and_a_missing_gauge_keeps_them() {
        let mut relief = MemoryShedder::default();
        assert_eq!(relief.update(at(0.0), Some(0.9)), MemoryStage::History);
        assert_eq!(relief.update(at(1.0), None), MemoryStage::History);
        let mut left = Vec::new();
        for i in 10..200 {
            let now = f64::from(i) / 10.0;
            let stage = relief.update(at(now), Some(-0.5));
            if left.last().is_none_or(|(last, _)| *last != stage) {
                left.push((stage, now));
            }
        }
        let stages: Vec<_> = left.iter().map(|(stage, _)| *stage).collect();
        assert_eq!(stages, [MemoryStage::History, MemoryStage::Caches, MemoryStage::Shed, MemoryStage::Free]);
        assert!(left.windows(2).all(|w| w[1].1 - w[0].1 > 1.9), "{left:?}");
    }
}
