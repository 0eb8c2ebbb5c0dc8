//! The one clock of a process: wall time at its start, carried on by the monotonic clock.
//! Every tap and every moment handed to a core is in its seconds, so that ends on one machine can be compared.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    wall: f64,
    since: Instant,
}

impl Clock {
    pub fn start() -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64());
        Clock { wall, since: Instant::now() }
    }

    /// Seconds of the wall clock, never going back.
    pub fn now(&self) -> f64 {
        self.wall + self.since.elapsed().as_secs_f64()
    }

    /// The same moment as the runtime's timers know it; a moment that is past is now.
    pub fn instant(&self, at: f64) -> Instant {
        let ahead = (at - self.now()).clamp(0.0, 86_400.0);
        Instant::now() + std::time::Duration::from_secs_f64(ahead)
    }
}
