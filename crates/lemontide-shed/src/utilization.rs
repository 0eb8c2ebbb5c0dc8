//! One measured figure as a share of its limit: smoothed, with its age. Rises are followed faster than falls.

use lemontide::clock::{Point, Span};

/// An older reading counts as missing.
const STALE_AFTER: Span = Span::of_millis(2000);
/// Time constants of the smoothing.
const RISE_TIME_CONSTANT_S: f64 = 0.05;
const FALL_TIME_CONSTANT_S: f64 = 0.6;
/// Rise time constant of a resource that any burst may use up without harm.
const SLOW_RISE_TIME_CONSTANT_S: f64 = 0.8;

/// The use of a resource as a share of its limit: 1 is at the limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct Utilization {
    value: f64,
    read_at: Option<Point>,
    slow_rise: bool,
}

impl Utilization {
    /// A utilization that rises about as slowly as it falls, for a resource that may be full for a moment
    /// without harm.
    pub fn slow_rise() -> Utilization {
        Utilization { slow_rise: true, ..Utilization::default() }
    }

    /// Takes a reading as a share of the limit. A reading that is not finite is ignored.
    pub fn observe(&mut self, now: Point, share: f64) {
        if !share.is_finite() {
            return;
        }
        let share = share.clamp(0.0, 100.0);
        let Some(before) = self.read_at.replace(now) else {
            self.value = share;
            return;
        };
        let elapsed_s = (now - before).seconds().max(0.0);
        let rise = if self.slow_rise { SLOW_RISE_TIME_CONSTANT_S } else { RISE_TIME_CONSTANT_S };
        let time_constant_s = if share > self.value { rise } else { FALL_TIME_CONSTANT_S };
        self.value += (share - self.value) * (1.0 - (-elapsed_s / time_constant_s).exp());
    }

    /// Takes a reading that is certain: a higher one replaces the value without smoothing, a lower one is ignored.
    pub fn raise_to(&mut self, now: Point, share: f64) {
        if share.is_finite() && share > self.value(now).unwrap_or(0.0) {
            self.value = share.clamp(0.0, 100.0);
            self.read_at = Some(now);
        }
    }

    /// The smoothed value; `None` without a recent reading.
    pub fn value(&self, now: Point) -> Option<f64> {
        self.read_at.filter(|read_at| now - *read_at < STALE_AFTER).map(|_| self.value)
    }

    /// Seconds since the last reading.
    pub fn age_s(&self, now: Point) -> Option<f64> {
        self.read_at.map(|read_at| (now - read_at).seconds())
    }
}
