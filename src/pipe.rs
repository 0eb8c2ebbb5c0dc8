//! The account of a link or of a rack's uplink: plain bookkeeping, every judgement of it is in `control.rs`.

use crate::clock::Point;
use std::collections::VecDeque;

/// Its size, its fullness as last told, and own changes of rate since the moment of which that was told.
#[derive(Clone, Default)]
pub struct Pipe {
    pub kb: f64,
    pub full: f64,
    pub told: Option<Point>,
    ledger: VecDeque<(Point, f64)>,
}

impl Pipe {
    pub fn of_size(kb: f64) -> Pipe {
        Pipe { kb, ..Pipe::default() }
    }

    /// Fullness as told, and own changes since.
    pub fn fullness(&self) -> f64 {
        self.full + self.ledger.iter().map(|c| c.1).sum::<f64>() / self.kb.max(1e-9)
    }

    /// Enters an own change and forgets what is from before `since`.
    pub fn book(&mut self, now: Point, kb: f64, since: Point) {
        self.ledger.retain(|c| c.0 > since);
        self.ledger.push_back((now, kb));
    }

    /// Takes in what was told of a moment, unless later news is there; it moves what is known by a part.
    pub fn tell(&mut self, of: Point, full: f64, part: f64) {
        let part = match self.told {
            Some(told) if told > of => return,
            Some(_) => part,
            None => 1.0,
        };
        let past: f64 = self.ledger.iter().filter(|c| c.0 <= of).map(|c| c.1).sum();
        let known = self.full + past / self.kb.max(1e-9);
        self.full = (known + part * (full - known)).max(0.0);
        self.told = Some(of);
        self.ledger.retain(|c| c.0 > of);
    }
}
