//! What is given up under memory pressure, and in what order: new requests first, then caches, then history; never
//! sessions in progress. A stage is entered at once and stages are left one at a time.

use lemontide::clock::{Point, Span};
use serde::{Deserialize, Serialize};

/// From the stage `Caches` on, connections that have been idle for this long are closed.
pub const IDLE_CONNECTION_AGE: Span = Span::of_millis(1000);
/// Connections that are closed in one pass at most.
pub const MAX_CLOSED_PER_PASS: usize = 256;
/// Memory pressure from which caches and history are given up; 0 is where shedding begins, 1 is the limit.
const CACHES_PRESSURE: f64 = 0.4;
const HISTORY_PRESSURE: f64 = 0.75;
/// A stage is left when the pressure was this far below the stage's start for `LEAVE_AFTER`.
const LEAVE_MARGIN: f64 = 0.15;
const LEAVE_AFTER: Span = Span::of_millis(2000);
/// Growth is extrapolated by this time, so that slow growth is answered before memory is short.
const LOOKAHEAD_S: f64 = 3.0;
/// Time constant of the smoothed growth.
const GROWTH_TIME_CONSTANT_S: f64 = 2.0;

/// What is given up at present. Each stage includes the ones before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemoryStage {
    /// Nothing.
    #[default]
    Free,
    /// New requests are shed.
    Shed,
    /// Caches are dropped, too: recently seen viewers and idle connections.
    Caches,
    /// History shrinks, too: unused capacity is released.
    History,
}

impl MemoryStage {
    fn start_pressure(self) -> f64 {
        match self {
            MemoryStage::Free => f64::NEG_INFINITY,
            MemoryStage::Shed => 0.0,
            MemoryStage::Caches => CACHES_PRESSURE,
            MemoryStage::History => HISTORY_PRESSURE,
        }
    }

    fn previous(self) -> MemoryStage {
        match self {
            MemoryStage::Free | MemoryStage::Shed => MemoryStage::Free,
            MemoryStage::Caches => MemoryStage::Shed,
            MemoryStage::History => MemoryStage::Caches,
        }
    }
}

/// Chooses the stage from the memory pressure.
#[derive(Clone, Debug, Default)]
pub struct MemoryShedder {
    stage: MemoryStage,
    /// Since when the pressure has been low enough to leave the stage.
    low_since: Option<Point>,
    last_reading: Option<(Point, f64)>,
    /// Smoothed growth of the pressure.
    growth_per_s: f64,
}

impl MemoryShedder {
    /// The stage at this memory pressure. Without a reading the stage does not change.
    pub fn update(&mut self, now: Point, pressure: Option<f64>) -> MemoryStage {
        let Some(pressure) = pressure.filter(|pressure| pressure.is_finite()) else { return self.stage };
        if let Some((at, before)) = self.last_reading {
            let elapsed_s = (now - at).seconds();
            if elapsed_s > 0.0 {
                let slope = (pressure - before) / elapsed_s;
                self.growth_per_s +=
                    (slope - self.growth_per_s) * (1.0 - (-elapsed_s / GROWTH_TIME_CONSTANT_S).exp());
            }
        }
        self.last_reading = Some((now, pressure));
        // A fall is not extrapolated: stages are left one at a time.
        let expected = pressure + self.growth_per_s.max(0.0) * LOOKAHEAD_S;
        let wanted = [MemoryStage::History, MemoryStage::Caches, MemoryStage::Shed]
            .into_iter()
            .find(|stage| expected > stage.start_pressure())
            .unwrap_or_default();
        if wanted >= self.stage {
            self.stage = wanted;
            self.low_since = None;
            return self.stage;
        }
        if expected > self.stage.start_pressure() - LEAVE_MARGIN {
            self.low_since = None;
            return self.stage;
        }
        let low_since = *self.low_since.get_or_insert(now);
        if now - low_since >= LEAVE_AFTER {
            self.stage = self.stage.previous();
            self.low_since = Some(now);
        }
        self.stage
    }
}
