//! The controller's keeper: all readings come here, and each new wish is judged here before anything is done for
//! it. Ties the level, the gate, the tenants' shares and the relief of memory together.

use crate::admit::{Gate, Lane, Wish, Word};
use crate::level::{Load, What};
use crate::relief::{Relief, Stage};
use crate::tenants::Tenants;
use lemontide::clock::{Point, Span};
use serde::{Deserialize, Serialize};

/// A gap in the beat from which the process stood still, and the level that it has then at least.
const STOOD_STILL: Span = Span::of_millis(400);

/// What the operators state.
#[derive(Clone, Debug)]
pub struct Terms {
    pub lanes: Vec<Lane>,
    /// Names and wishes a second at this controller.
    pub tenants: Vec<(String, f64)>,
    /// The longest wait that viewers follow, and the longest hold.
    pub longest: Span,
    pub hold: Span,
    /// How long an event may wait for its turn.
    pub delay: Span,
}

/// A new wish.
#[derive(Clone, Copy, Debug)]
pub struct Asked<'a> {
    pub lane: usize,
    pub tenant: &'a str,
    pub returning: bool,
    pub left: Span,
    /// It was held before and is asked about again.
    pub held: bool,
    /// Nobody can hold it: it is judged at its head, before it is read.
    pub at_once: bool,
}

/// What became of each lane's wishes here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    pub taken: u64,
    pub held: u64,
    pub turned_back: u64,
}

/// All of it in figures.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct View {
    pub level: f64,
    /// The tightest gauge.
    pub tightest: Option<What>,
    pub stage: Stage,
    pub holding: usize,
    /// Each gauge as a part of its limit, and the age of its reading in seconds.
    pub gauges: Vec<(What, Option<f64>, Option<f64>)>,
    pub lanes: Vec<Counts>,
}

pub struct Keeper {
    load: Load,
    gate: Gate,
    tenants: Tenants,
    relief: Relief,
    delay: Span,
    beat: Option<Point>,
    stage: Stage,
    counts: Vec<Counts>,
}

impl Keeper {
    pub fn new(now: Point, terms: Terms, seed: u64) -> Keeper {
        Keeper {
            load: Load::default(),
            counts: vec![Counts::default(); terms.lanes.len()],
            gate: Gate::new(now, terms.lanes, terms.longest, terms.hold, seed),
            tenants: Tenants::new(now, terms.tenants),
            relief: Relief::default(),
            delay: terms.delay,
            beat: None,
            stage: Stage::Free,
        }
    }

    /// A reading, as a part of its limit.
    pub fn read(&mut self, now: Point, what: What, part: f64) {
        self.load.read(now, what, part);
    }

    /// Called regularly, every tenth of a second or so; what memory asks for.
    pub fn beat(&mut self, now: Point) -> Stage {
        if let Some(before) = self.beat.replace(now) {
            let gap = now - before;
            if gap >= STOOD_STILL {
                self.load.stood_still(now, gap.seconds() / self.delay.seconds().max(1e-3));
            }
        }
        self.load.level(now);
        self.stage = self.relief.stage(now, self.load.memory_short(now));
        self.stage
    }

    /// What to do with a wish. Each wish is judged once, or once more after a hold.
    pub fn judge(&mut self, now: Point, asked: Asked) -> Word {
        let level = self.load.level(now);
        if asked.held {
            self.gate.held_over();
        }
        // A wish that was held was counted already.
        let past = !asked.held && self.tenants.past(now, asked.tenant);
        let wish = Wish {
            lane: asked.lane,
            returning: asked.returning,
            tenant_past_share: past,
            left: asked.left,
            at_once: asked.held || asked.at_once,
        };
        let word = self.gate.admit(now, level, wish);
        if let Some(counts) = self.counts.get_mut(asked.lane) {
            match word {
                Word::Take => counts.taken += 1,
                Word::Hold { .. } => counts.held += 1,
                Word::TurnBack { .. } => counts.turned_back += 1,
            }
        }
        word
    }

    /// The player of a held wish went away.
    pub fn held_left(&mut self) {
        self.gate.held_over();
    }

    /// A wait for who is turned away for another reason than its own rank.
    pub fn wait(&mut self, now: Point) -> Span {
        let level = self.load.level(now);
        self.gate.wait(level)
    }

    /// What an answered wish cost, in shots.
    pub fn cost(&mut self, lane: usize, shots: f64) {
        self.gate.cost(lane, shots);
    }

    pub fn ranks(&self) -> (&[f64], Vec<f64>) {
        self.gate.ranks()
    }

    pub fn shed(&self) -> u64 {
        self.counts.iter().map(|counts| counts.turned_back).sum()
    }

    pub fn view(&mut self, now: Point) -> View {
        View {
            level: self.load.level(now),
            tightest: self.load.tightest(now).filter(|(_, part)| *part > 0.0).map(|(what, _)| what),
            stage: self.stage,
            holding: self.gate.held(),
            gauges: self.load.view(now),
            lanes: self.counts.clone(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(s: f64) -> Point {
        Point::at(1000.0 + s)
    }

    fn keeper() -> Keeper {
        let lane = |gain| Lane { gain, cost: 1.0, share: 0.0 };
        let terms = Terms {
            lanes: vec![lane(4.0), lane(1.0)],
            tenants: vec![("loud".into(), 10.0), ("quiet".into(), 10.0)],
            longest: Span::of(2.0),
            hold: Span::of(0.2),
            delay: Span::of_millis(50),
        };
        Keeper::new(at(0.0), terms, 5)
    }

    fn asked(lane: usize, tenant: &str) -> Asked<'_> {
        Asked { lane, tenant, returning: false, left: Span::of(3.0), held: false, at_once: true }
    }

    #[test]
    fn a_stall_is_noticed_by_its_own_gap_and_left_in_steps() {
        let mut keeper = keeper();
        for i in 0..20 {
            keeper.read(at(f64::from(i) / 10.0), What::Delay, 0.1);
            keeper.beat(at(f64::from(i) / 10.0));
        }
        assert_eq!(keeper.view(at(1.9)).level, 0.0);
        // Stopped for two seconds: the first beat after it knows, before a wish that waited was looked at.
        keeper.beat(at(4.0));
        let level = keeper.view(at(4.0)).level;
        assert!(level > 1.0, "{level}");
        assert!(matches!(keeper.judge(at(4.0), asked(1, "")), Word::TurnBack { .. }));
        let mut before = level;
        for i in 41..200 {
            keeper.read(at(f64::from(i) / 10.0), What::Delay, 0.1);
            keeper.beat(at(f64::from(i) / 10.0));
            let level = keeper.view(at(f64::from(i) / 10.0)).level;
            assert!(before - level <= 0.08, "{before} to {level}");
            before = level;
        }
        assert_eq!(before, 0.0);
    }

    #[test]
    fn a_tenant_alone_in_excess_does_not_cost_the_others_theirs() {
        let mut keeper = keeper();
        let mut taken = [0.0, 0.0];
        for i in 0..20_000 {
            let now = f64::from(i) / 400.0;
            if i % 40 == 0 {
                keeper.read(at(now), What::Cpu, 0.955);
                keeper.beat(at(now));
            }
            // Forty times as many of one as of the other; both of the best lane.
            let loud = i % 40 != 1;
            let word = keeper.judge(at(now), asked(0, if loud { "loud" } else { "quiet" }));
            taken[usize::from(!loud)] +=
                f64::from(u8::from(word == Word::Take)) / if loud { 19_500.0 } else { 500.0 };
        }
        assert!(taken[1] > 0.95 && taken[0] < 0.5, "{taken:?}");
    }

    #[test]
    fn all_paid_means_no_lane_to_prefer_and_chance_decides() {
        let mut keeper = keeper();
        let mut taken = 0;
        for i in 0..1000 {
            let now = f64::from(i) / 100.0;
            if i % 10 == 0 {
                keeper.read(at(now), What::Delay, 1.15);
                keeper.beat(at(now));
            }
            taken += usize::from(keeper.judge(at(now), asked(0, "")) == Word::Take);
        }
        assert!((100..900).contains(&taken), "{taken} of 1000 of one lane");
    }
}
