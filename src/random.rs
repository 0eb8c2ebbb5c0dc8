//! A multiply-with-carry generator: small, fast and the same on every machine.

pub struct Random {
    state: u64,
}

impl Random {
    pub fn from_seed(seed: u64) -> Self {
        // Neither zero nor the largest state may start the sequence: both stay where they are.
        let state = (seed ^ (seed >> 32)) & 0x7fff_ffff;
        let mut chance = Random { state: (state | 1) << 31 | 0x2545_f491 };
        for _ in 0..8 {
            chance.next();
        }
        chance
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
