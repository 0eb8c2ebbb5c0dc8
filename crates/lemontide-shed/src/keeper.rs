//! The controller's keeper: all readings come here, and each new wish is judged here before anything is done for
//! it. Ties the level, the gate, the tenants' shares and the relief of memory together.

use crate::admit::{Gate, Lane, Wish, Word};
use crate::level::{Load, What};
use crate::rate::Rate;
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
    /// Wishes a second that may be taken; none where there is no limit.
    pub limit: Option<f64>,
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
    rate: Rate,
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
            rate: Rate::new(now),
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
        if what == What::Cpu {
            self.rate.spends(part);
        }
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
        self.rate.beat(now, self.load.presses(now), self.load.presses_hard(now));
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
        if !asked.held {
            self.rate.ask();
        }
        let word = self.gate.admit(now, level, self.rate.limit(), wish);
        if let Some(counts) = self.counts.get_mut(asked.lane) {
            match word {
                Word::Take => counts.taken += 1,
                Word::Hold { .. } => counts.held += 1,
                Word::TurnBack { .. } => counts.turned_back += 1,
            }
        }
        word
    }

    /// A wish that was taken got its turn at the deciding thread.
    pub fn turn(&mut self) {
        self.rate.turn();
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
            limit: self.rate.limit(),
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

    /// Wishes at a steady rate at a controller that can do so many a second; a beat every tenth of a second. Which
    /// were taken.
    fn run(
        keeper: &mut Keeper,
        from: f64,
        per_s: [f64; 2],
        can: f64,
        tenant: fn(usize) -> &'static str,
    ) -> Vec<bool> {
        let [per_s, seconds] = per_s;
        let (mut words, mut beats, mut taken) = (Vec::new(), 0.0, 0.0);
        for i in 0..(seconds * per_s) as usize {
            let now = from + i as f64 / per_s;
            if now >= from + beats {
                beats += 0.1;
                keeper.read(at(now), What::Cpu, (taken * 10.0 / can).min(1.0));
                keeper.read(at(now), What::Delay, if taken * 10.0 > can { 1.0 } else { 0.1 });
                keeper.beat(at(now));
                taken = 0.0;
            }
            let take = keeper.judge(at(now), asked(0, tenant(i))) == Word::Take;
            if take {
                keeper.turn();
                taken += 1.0;
            }
            words.push(take);
        }
        words
    }

    #[test]
    fn a_stall_is_noticed_by_its_own_gap_and_left_in_steps() {
        let mut keeper = keeper();
        assert!(run(&mut keeper, 0.0, [100.0, 3.0], 200.0, |_| "").iter().all(|take| *take));
        // Stopped for two seconds: the first beat after it knows, before a wish that waited was looked at.
        keeper.beat(at(5.0));
        assert!(keeper.view(at(5.0)).level > 1.0);
        let limit = keeper.view(at(5.0)).limit.expect("there is one");
        assert!((50.0..90.0).contains(&limit), "{limit} of a hundred");
        let after = run(&mut keeper, 5.01, [100.0, 8.0], 200.0, |_| "");
        let taken = |from: usize, to: usize| after[from..to].iter().filter(|take| **take).count();
        assert!(taken(0, 100) <= 95, "no burst: {}", taken(0, 100));
        assert_eq!(taken(600, 800), 200, "and all again a few seconds later");
        let limit = keeper.view(at(13.0)).limit;
        assert!(limit.is_none_or(|limit| limit > 200.0), "only what the allowance can do: {limit:?}");
    }

    #[test]
    fn a_tenant_alone_in_excess_does_not_cost_the_others_theirs() {
        let mut keeper = keeper();
        let tenant = |i: usize| if i % 40 == 1 { "quiet" } else { "loud" };
        run(&mut keeper, 0.0, [100.0, 5.0], 200.0, |_| "");
        // Forty times as many of one as of the other, and twice as many as can be done.
        let words = run(&mut keeper, 5.0, [400.0, 20.0], 200.0, tenant);
        let part = |quiet: bool| {
            let of = words.iter().enumerate().filter(|(i, _)| (i % 40 == 1) == quiet);
            let (all, taken) = of.fold((0, 0), |(all, taken), (_, take)| (all + 1, taken + u32::from(*take)));
            f64::from(taken) / f64::from(all)
        };
        assert!(part(true) > 0.95 && part(false) < 0.55, "{} and {}", part(true), part(false));
    }
}
