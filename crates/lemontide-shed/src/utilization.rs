//! One measured figure against its limit: smoothed, with its age. Rises are believed sooner than falls.

use lemontide::clock::{Point, Span};

/// A figure that is older counts as missing.
const STALE: Span = Span::of_millis(2000);
/// Time constants of the smoothing, in seconds.
const RISE: f64 = 0.05;
const FALL: f64 = 0.6;
/// Those of a gauge that is full in any burst without harm.
const SLOW_RISE: f64 = 0.8;

/// A figure as a part of its limit: 1 is at the limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct Utilization {
    value: f64,
    at: Option<Point>,
    slow: bool,
}

impl Utilization {
    /// One whose rises are believed only as slowly as its falls: full for a moment is no harm there.
    pub fn slow_rise() -> Utilization {
        Utilization { slow: true, ..Utilization::default() }
    }

    /// Takes a reading, as a part of the limit. One that is no number is no reading.
    pub fn observe(&mut self, now: Point, part: f64) {
        if !part.is_finite() {
            return;
        }
        let part = part.clamp(0.0, 100.0);
        let Some(before) = self.at.replace(now) else {
            self.value = part;
            return;
        };
        let passed = (now - before).seconds().max(0.0);
        let rise = if self.slow { SLOW_RISE } else { RISE };
        let constant = if part > self.value { rise } else { FALL };
        self.value += (part - self.value) * (1.0 - (-passed / constant).exp());
    }

    /// Takes a reading that is certain: it is believed at once, if it is higher.
    pub fn raise_to(&mut self, now: Point, part: f64) {
        if part.is_finite() && part > self.value(now).unwrap_or(0.0) {
            self.value = part.clamp(0.0, 100.0);
            self.at = Some(now);
        }
    }

    /// The smoothed figure; none where there is no fresh reading.
    pub fn value(&self, now: Point) -> Option<f64> {
        self.at.filter(|at| now - *at < STALE).map(|_| self.value)
    }

    /// Seconds since the last reading.
    pub fn age_s(&self, now: Point) -> Option<f64> {
        self.at.map(|at| (now - at).seconds())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(s: f64) -> Point {
        Point::at(1000.0 + s)
    }

    #[test]
    fn rises_come_through_sooner_than_falls_and_old_readings_lapse() {
        let mut gauge = Utilization::default();
        assert_eq!(gauge.value(at(0.0)), None);
        gauge.observe(at(0.0), 0.2);
        gauge.observe(at(0.15), 1.2);
        let risen = gauge.value(at(0.15)).expect("fresh");
        assert!(risen > 0.8, "{risen}");
        gauge.observe(at(0.30), 0.2);
        assert!(gauge.value(at(0.3)).expect("fresh") > 0.6);
        gauge.observe(at(0.4), f64::NAN);
        assert_eq!(gauge.age_s(at(2.4)).map(|age| age > 2.0), Some(true));
        assert_eq!(gauge.value(at(2.4)), None);
    }
}
