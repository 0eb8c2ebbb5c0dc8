//! A multiply-with-carry random generator: small, fast and the same on every machine.

/// A pseudo-random generator.
pub struct Random {
    state: u64,
}

impl Random {
    /// A generator that gives the same numbers for the same seed.
    pub fn from_seed(seed: u64) -> Self {
        // The sequence must start with neither zero nor the largest state: both never change.
        let state = (seed ^ (seed >> 32)) & 0x7fff_ffff;
        let mut random = Random { state: (state | 1) << 31 | 0x2545_f491 };
        for _ in 0..8 {
            random.next();
        }
        random
    }

    fn next(&mut self) -> u32 {
        self.state = 4_294_957_665 * (self.state & 0xffff_ffff) + (self.state >> 32);
        self.state as u32
    }

    /// Draws uniformly from `low` up to `high`.
    pub fn uniform(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * f64::from(self.next()) / f64::from(u32::MAX)
    }
}
