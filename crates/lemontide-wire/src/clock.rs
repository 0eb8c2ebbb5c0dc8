//! The clock of a process: wall time at its start, advanced by the monotonic clock. All taps and all times
//! passed to the decision code are in its seconds, so that records of processes on one machine can be
//! compared.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Wall time that never goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    wall_start_s: f64,
    started_at: Instant,
}

impl Clock {
    /// Reads the wall clock; from then on only the monotonic clock counts.
    pub fn start() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall_start_s = since_epoch.map_or(0.0, |duration| duration.as_secs_f64());
        Clock { wall_start_s, started_at: Instant::now() }
    }

    /// Seconds of wall time since 1970. The value never decreases.
    pub fn now(&self) -> f64 {
        self.wall_start_s + self.started_at.elapsed().as_secs_f64()
    }

    /// Converts a time of this clock, in seconds, for the timers of the runtime. A time in the past becomes
    /// now, and one more than a day ahead becomes a day ahead.
    pub fn instant(&self, at_s: f64) -> Instant {
        let ahead_s = (at_s - self.now()).clamp(0.0, 86_400.0);
        Instant::now() + std::time::Duration::from_secs_f64(ahead_s)
    }
}
