//! Whom to take at a level of load. Highest gain per expected cost longest, no lane starved of its stated share,
//! what can't be answered in time never started, waits spread so that the turned back don't return together.

use lemontide::clock::{Point, Span};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// From this level on nothing new is taken but what a lane's stated share keeps.
const FULL: f64 = 1.5;
/// Ranks over which the threshold rises between a free and a full controller are smoothed: a wish this far from
/// it is taken or turned back by chance.
const SOFT: f64 = 0.15;
/// A viewer who comes again was turned back or broken off before; it goes a little before a new one.
const RETURNING: f64 = 0.05;
/// A tenant past its share ranks as a part of others.
const PAST_SHARE: f64 = 0.3;
/// Time to answer a wish that is taken, without load, and how it grows with the level.
const ANSWER: Span = Span::of_millis(50);
/// Span over which a lane's share of what is taken is kept, in seconds.
const SHARE_SPAN: f64 = 5.0;
/// Wishes nearer to being taken than these odds are held for a moment instead of turned back.
const HOLD_ODDS: f64 = 0.2;
/// Wishes held at a time at most; and what a wish must have left after a hold, over the time of an answer.
const HELD_MOST: usize = 256;
const LEFT_AFTER: f64 = 3.0;
/// How soon a lane's mean cost follows what its wishes cost.
const COST_STEP: f64 = 0.02;
/// Waits are spread from the least to so many times it.
const SPREAD: f64 = 2.0;

/// A lane as far as this matters: gain of a subscription, its mean cost to the controller next to others', and
/// the part of what is taken that it keeps at any load.
#[derive(Clone, Debug)]
pub struct Lane {
    pub gain: f64,
    pub cost: f64,
    pub share: f64,
}

/// What is known of a wish before it is looked at closely.
#[derive(Clone, Copy, Debug)]
pub struct Wish {
    pub lane: usize,
    pub returning: bool,
    pub tenant_past_share: bool,
    /// What is left until the viewer's cut-off.
    pub left: Span,
    /// It can't be held, or was held already.
    pub at_once: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Word {
    Take,
    /// Ask once more after this: the level may be lower by then, and the viewer has the time.
    Hold {
        span: Span,
    },
    /// It would be answered too late, or there is no room: come again after this.
    TurnBack {
        wait: Span,
    },
}

#[derive(Clone, Debug)]
struct Kept {
    taken: f64,
    at: Point,
}

/// Decides for one controller.
#[derive(Clone, Debug)]
pub struct Gate {
    lanes: Vec<Lane>,
    /// Each lane's place among all by gain per cost, from 0 for the least to 1.
    rank: Vec<f64>,
    kept: Vec<Kept>,
    longest: Span,
    hold: Span,
    held: usize,
    chance: StdRng,
}

impl Gate {
    /// `longest` is the longest wait that viewers follow, `hold` the longest hold; zero holds nobody.
    pub fn new(now: Point, lanes: Vec<Lane>, longest: Span, hold: Span, seed: u64) -> Gate {
        let kept = lanes.iter().map(|_| Kept { taken: 0.0, at: now }).collect();
        let rank = vec![0.0; lanes.len()];
        let mut gate =
            Gate { lanes, rank, kept, longest, hold, held: 0, chance: StdRng::seed_from_u64(seed) };
        gate.set_ranks();
        gate
    }

    fn set_ranks(&mut self) {
        let worth = |lane: &Lane| lane.gain.max(0.0) / lane.cost.max(1e-9);
        let most = self.lanes.iter().map(worth).fold(1e-9, f64::max);
        for (rank, lane) in self.rank.iter_mut().zip(&self.lanes) {
            *rank = worth(lane) / most;
        }
    }

    /// What a wish of this lane cost once it was answered, in shots or any other unit that all lanes share.
    pub fn cost(&mut self, lane: usize, cost: f64) {
        let Some(lane) = self.lanes.get_mut(lane).filter(|_| cost.is_finite() && cost > 0.0) else { return };
        lane.cost += (cost - lane.cost) * COST_STEP;
        self.set_ranks();
    }

    /// Ranks of the lanes from 0 to 1 by gain over cost, and their stated shares.
    pub fn ranks(&self) -> (&[f64], Vec<f64>) {
        (&self.rank, self.lanes.iter().map(|lane| lane.share).collect())
    }

    /// A hold is over, or its player is gone.
    pub fn held_over(&mut self) {
        self.held = self.held.saturating_sub(1);
    }

    pub fn held(&self) -> usize {
        self.held
    }

    fn lately(&self, now: Point, lane: usize) -> f64 {
        let kept = &self.kept[lane];
        kept.taken * (-(now - kept.at).seconds().max(0.0) / SHARE_SPAN).exp()
    }

    fn count(&mut self, now: Point, lane: usize) {
        let taken = self.lately(now, lane) + 1.0;
        self.kept[lane] = Kept { taken, at: now };
    }

    /// Whether a lane got less than its stated share of what was taken lately.
    fn is_starved(&self, now: Point, lane: usize) -> bool {
        let all: f64 = (0..self.lanes.len()).map(|lane| self.lately(now, lane)).sum();
        let share = self.lanes[lane].share;
        share > 0.0 && self.lately(now, lane) < share * all
    }

    /// What to do with a wish at this level.
    pub fn admit(&mut self, now: Point, level: f64, wish: Wish) -> Word {
        let lane = wish.lane.min(self.lanes.len().saturating_sub(1));
        // What can't be answered before its cut-off is never started.
        let answer = ANSWER * (1.0 + 4.0 * level.max(0.0));
        if wish.left < answer {
            return self.turn_back(level);
        }
        let odds =
            if level <= 0.0 || self.lanes.is_empty() { 1.0 } else { self.odds(now, level, lane, wish) };
        if self.chance.random::<f64>() >= odds {
            let room = self.hold > Span::ZERO && !wish.at_once && self.held < HELD_MOST;
            if room && odds >= HOLD_ODDS && wish.left > self.hold + answer * LEFT_AFTER {
                self.held += 1;
                return Word::Hold { span: self.hold * (0.5 + 0.5 * self.chance.random::<f64>()) };
            }
            return self.turn_back(level);
        }
        if !self.lanes.is_empty() {
            self.count(now, lane);
        }
        Word::Take
    }

    /// How likely a wish is taken. Never rises with the level.
    fn odds(&self, now: Point, level: f64, lane: usize, wish: Wish) -> f64 {
        let mut rank = self.rank[lane];
        if wish.tenant_past_share {
            rank *= PAST_SHARE;
        }
        if wish.returning {
            rank += RETURNING;
        }
        if level >= FULL {
            let fair = !wish.tenant_past_share && self.is_starved(now, lane);
            return if fair { 0.1 } else { 0.0 };
        }
        // The threshold goes from under the least rank to over the highest; around it chance decides, so that
        // equal wishes are not all taken or all turned back.
        let threshold = level / FULL * (1.0 + 2.0 * SOFT) - SOFT;
        let odds = ((rank - threshold) / SOFT + 0.5).clamp(0.0, 1.0);
        let fair = !wish.tenant_past_share && self.is_starved(now, lane);
        if fair {
            odds.max((1.0 - level / FULL).max(0.1))
        } else {
            odds
        }
    }

    /// Longer the fuller the controller is, and spread, so that nobody's return is another's burst.
    pub fn wait(&mut self, level: f64) -> Span {
        let least = self.longest * (level / FULL).clamp(0.3, 1.0) * (1.0 / SPREAD);
        least * (1.0 + (SPREAD - 1.0) * self.chance.random::<f64>())
    }

    fn turn_back(&mut self, level: f64) -> Word {
        Word::TurnBack { wait: self.wait(level) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn at(s: f64) -> Point {
        Point::at(1000.0 + s)
    }

    fn gate(share: f64, seed: u64) -> Gate {
        let lane = |gain: f64| Lane { gain, cost: 1.0, share };
        Gate::new(at(0.0), vec![lane(3.0), lane(1.0)], Span::of(2.0), Span::ZERO, seed)
    }

    fn wish(lane: usize) -> Wish {
        Wish { lane, returning: false, tenant_past_share: false, left: Span::of(3.0), at_once: false }
    }

    /// Parts of each lane's wishes that are taken at a level, both coming alike.
    fn taken(gate: &mut Gate, level: f64, wish_of: impl Fn(usize) -> Wish) -> [f64; 2] {
        let mut taken = [0.0; 2];
        for i in 0..4000 {
            let lane = i % 2;
            if gate.admit(at(i as f64 * 0.01), level, wish_of(lane)) == Word::Take {
                taken[lane] += 1.0 / 2000.0;
            }
        }
        taken
    }

    #[test]
    fn all_is_taken_when_free_and_high_gain_longest() {
        assert!(taken(&mut gate(0.0, 1), 0.0, wish).iter().all(|part| *part > 0.9999));
        let half = taken(&mut gate(0.0, 1), 0.8, wish);
        assert!(half[0] > 0.95 && half[1] < 0.3, "{half:?}");
        let full = taken(&mut gate(0.0, 1), 1.6, wish);
        assert_eq!(full, [0.0, 0.0]);
        let mut before = [1.0, 1.0];
        for step in 0..16 {
            let now = taken(&mut gate(0.0, 1), f64::from(step) / 10.0, wish);
            assert!(
                now.iter().zip(&before).all(|(now, before)| *now <= before + 0.05),
                "{now:?} after {before:?}"
            );
            before = now;
        }
    }

    #[test]
    fn a_lane_with_a_stated_share_is_never_starved() {
        let some = taken(&mut gate(0.1, 1), 1.2, wish);
        assert!(some[1] > 0.05 && some[0] > some[1], "{some:?}");
    }

    #[test]
    fn what_would_be_late_is_never_started_and_a_tenant_in_excess_goes_first() {
        let late = |lane| Wish { left: Span::of_millis(60), ..wish(lane) };
        assert_eq!(taken(&mut gate(0.0, 1), 0.3, late), [0.0, 0.0]);
        let past = |lane| Wish { tenant_past_share: lane == 0, ..wish(0) };
        let mut gate = gate(0.0, 1);
        let [excess, others] = taken(&mut gate, 0.7, past);
        assert!(others > excess + 0.4, "{excess} of the tenant in excess, {others} of the others");
    }

    #[test]
    fn a_wish_near_the_threshold_is_held_once_and_holds_are_bounded() {
        let lane = Lane { gain: 1.0, cost: 1.0, share: 0.0 };
        let mut gate = Gate::new(at(0.0), vec![lane], Span::of(2.0), Span::of(0.2), 3);
        let mut words = [0, 0, 0];
        for _ in 0..2000 {
            match gate.admit(at(0.0), 1.3, wish(0)) {
                Word::Take => words[0] += 1,
                Word::Hold { span } => {
                    assert!(span >= Span::of(0.1) && span <= Span::of(0.2));
                    words[1] += 1;
                }
                Word::TurnBack { .. } => words[2] += 1,
            }
        }
        assert!(words[0] > 200 && words[1] == HELD_MOST && words[2] > 200, "{words:?}");
        (0..HELD_MOST).for_each(|_| gate.held_over());
        let again = Wish { at_once: true, ..wish(0) };
        assert!((0..200).all(|_| !matches!(gate.admit(at(0.0), 1.3, again), Word::Hold { .. })));
        let soon = Wish { left: Span::of(0.5), ..wish(0) };
        assert!(
            (0..200).all(|_| !matches!(gate.admit(at(0.0), 1.3, soon), Word::Hold { .. })),
            "no time for it"
        );
    }

    #[test]
    fn a_lane_that_costs_more_ranks_lower() {
        let mut gate = gate(0.0, 1);
        assert_eq!(gate.ranks().0, [1.0, 1.0 / 3.0]);
        (0..500).for_each(|_| gate.cost(0, 6.0));
        gate.cost(0, f64::NAN);
        let (ranks, _) = gate.ranks();
        assert!(ranks[0] < 0.55 && ranks[1] == 1.0, "{ranks:?}");
    }

    proptest! {
        /// Waits are within what viewers follow, and fifty controllers that shed at once don't name one moment.
        #[test]
        fn waits_are_bounded_and_spread(level in 0.0f64..3.0) {
            let mut waits = Vec::new();
            for controller in 0..50 {
                let mut gate = gate(0.0, controller);
                let none = Wish { left: Span::ZERO, ..wish(0) };
                let Word::TurnBack { wait } = gate.admit(at(0.0), level, none) else {
                    return Err(TestCaseError::fail("it can't be in time"));
                };
                prop_assert!(wait > Span::ZERO && wait <= Span::of(2.0), "{:?}", wait);
                waits.push(wait.seconds());
            }
            let (low, high) = waits.iter().fold((f64::MAX, 0.0f64), |(l, h), w| (l.min(*w), h.max(*w)));
            prop_assert!(high > low * 1.5, "{low} to {high}");
        }
    }
}
