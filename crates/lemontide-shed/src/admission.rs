//! Whom to take when not all can be. A bucket fills at the rate that the controller can do; the best may empty it,
//! lesser ones must leave the better a part. So the highest gain per cost is taken longest, without guessing how
//! much of each will come; no class is starved of its stated share, what can't be answered in time is never
//! started, and waits are spread so that the turned back don't return together.

use lemontide::clock::{Point, Span};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The bucket holds what so many seconds bring, and one request at least.
const DEPTH_S: f64 = 0.1;
/// The part of the bucket that the least of all classes leaves to the best.
const LEAVES: f64 = 0.6;
/// A viewer who comes again was turned back or broken off before; it goes a little before a new one.
const RETURNING: f64 = 0.05;
/// A tenant past its share ranks as a part of others.
const PAST_SHARE: f64 = 0.3;
/// Time to answer a request that is taken, without load, and how it grows with the level.
const ANSWER: Span = Span::of_millis(50);
/// Span over which a class's share of what is taken is kept, in seconds.
const SHARE_SPAN: f64 = 5.0;
/// Requests held at a time at most; and what a request must have left after a hold, over the time of an answer.
const HELD_MOST: usize = 256;
const LEFT_AFTER: f64 = 3.0;
/// How soon a class's mean cost follows what its requests cost.
const COST_STEP: f64 = 0.02;
/// Waits are spread from the least to so many times it; they are longest from this level on.
const SPREAD: f64 = 2.0;
const FULL: f64 = 1.5;

/// A class as far as this matters: gain of a subscription, its mean cost to the controller next to others', and
/// the part of what is taken that it keeps at any load.
#[derive(Clone, Debug)]
pub struct Class {
    pub gain: f64,
    pub mean_cost: f64,
    pub reserved_share: f64,
}

/// What is known of a request before it is looked at closely.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub class: usize,
    pub is_retry: bool,
    pub tenant_over_quota: bool,
    /// What is left until the viewer's cut-off.
    pub time_left: Span,
    /// It can't be held, or was held already.
    pub decide_now: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    Admit,
    /// Ask once more after this: there may be room by then, and the viewer has the time.
    Hold {
        duration: Span,
    },
    /// It would be answered too late, or there is no room: come again after this.
    Reject {
        retry_after: Span,
    },
}

#[derive(Clone, Debug)]
struct Kept {
    taken: f64,
    at: Point,
}

/// Decides for one controller.
#[derive(Clone, Debug)]
pub struct Admission {
    classes: Vec<Class>,
    /// Each class's place among all by gain per cost, from 0 for the least to 1.
    rank: Vec<f64>,
    kept: Vec<Kept>,
    longest: Span,
    hold: Span,
    held: usize,
    /// What the bucket holds, and when it was filled last.
    tokens: f64,
    filled: Point,
    chance: StdRng,
}

impl Admission {
    /// `longest` is the longest wait that viewers follow, `hold` the longest hold; zero holds nobody.
    pub fn new(now: Point, classes: Vec<Class>, longest: Span, hold: Span, seed: u64) -> Admission {
        let kept = classes.iter().map(|_| Kept { taken: 0.0, at: now }).collect();
        let rank = vec![0.0; classes.len()];
        let chance = StdRng::seed_from_u64(seed);
        let mut gate =
            Admission { classes, rank, kept, longest, hold, held: 0, tokens: 0.0, filled: now, chance };
        gate.set_ranks();
        gate
    }

    fn set_ranks(&mut self) {
        let worth = |class: &Class| class.gain.max(0.0) / class.mean_cost.max(1e-9);
        let most = self.classes.iter().map(worth).fold(1e-9, f64::max);
        for (rank, class) in self.rank.iter_mut().zip(&self.classes) {
            *rank = worth(class) / most;
        }
    }

    /// What a request of this class cost once it was answered, in shots or any other unit that all classes share.
    pub fn record_cost(&mut self, class: usize, cost: f64) {
        let Some(class) = self.classes.get_mut(class).filter(|_| cost.is_finite() && cost > 0.0) else {
            return;
        };
        class.mean_cost += (cost - class.mean_cost) * COST_STEP;
        self.set_ranks();
    }

    /// Ranks of the classes from 0 to 1 by gain over cost, and their stated shares.
    pub fn ranks_and_shares(&self) -> (&[f64], Vec<f64>) {
        (&self.rank, self.classes.iter().map(|class| class.reserved_share).collect())
    }

    /// A hold is over, or its player is gone.
    pub fn hold_ended(&mut self) {
        self.held = self.held.saturating_sub(1);
    }

    pub fn held_count(&self) -> usize {
        self.held
    }

    fn lately(&self, now: Point, class: usize) -> f64 {
        let kept = &self.kept[class];
        kept.taken * (-(now - kept.at).seconds().max(0.0) / SHARE_SPAN).exp()
    }

    fn count(&mut self, now: Point, class: usize) {
        let taken = self.lately(now, class) + 1.0;
        self.kept[class] = Kept { taken, at: now };
    }

    /// Whether a class got less than its stated share of what was taken lately.
    fn is_starved(&self, now: Point, class: usize) -> bool {
        let share = self.classes[class].reserved_share;
        if share <= 0.0 {
            return false;
        }
        let all: f64 = (0..self.classes.len()).map(|class| self.lately(now, class)).sum();
        self.lately(now, class) < share * all
    }

    /// What to do with a request at this level, where so many a second may be taken; none is no limit.
    pub fn decide(&mut self, now: Point, level: f64, limit: Option<f64>, request: Request) -> Decision {
        // What can't be answered before its cut-off is never started.
        let answer = ANSWER * (1.0 + 4.0 * level.max(0.0));
        if request.time_left < answer {
            return self.reject(level);
        }
        let class = request.class.min(self.classes.len().saturating_sub(1));
        if let Some(limit) = limit.filter(|_| !self.classes.is_empty()) {
            let missing = self.missing(now, limit, class, request);
            if missing > 0.0 {
                let soon = missing <= limit * self.hold.seconds() * 0.5;
                if soon
                    && !request.decide_now
                    && self.held < HELD_MOST
                    && request.time_left > self.hold + answer * LEFT_AFTER
                {
                    self.held += 1;
                    return Decision::Hold {
                        duration: self.hold * (0.5 + 0.5 * self.chance.random::<f64>()),
                    };
                }
                return self.reject(level);
            }
            self.tokens -= 1.0;
        }
        if !self.classes.is_empty() {
            self.count(now, class);
        }
        Decision::Admit
    }

    /// What the bucket lacks for this request; 0 where it may be taken.
    fn missing(&mut self, now: Point, limit: f64, class: usize, request: Request) -> f64 {
        // A clock that went back fills nothing; a limit that was not there before begins with what there is.
        let passed = (now - self.filled).seconds().clamp(0.0, DEPTH_S);
        self.filled = now;
        let depth = (limit * DEPTH_S).max(1.0);
        self.tokens = (self.tokens + limit * passed).min(depth);
        let mut rank = self.rank[class];
        if request.tenant_over_quota {
            rank *= PAST_SHARE;
        }
        if request.is_retry {
            rank += RETURNING;
        }
        if !request.tenant_over_quota && self.is_starved(now, class) {
            rank = 1.0;
        }
        // A bucket of one has nothing to leave.
        let leaves = LEAVES * (1.0 - rank).clamp(0.0, 1.0) * (depth - 1.0);
        leaves + 1.0 - self.tokens
    }

    /// Longer the fuller the controller is, and spread, so that nobody's return is another's burst.
    pub fn retry_after(&mut self, level: f64) -> Span {
        let least = self.longest * (level / FULL).clamp(0.3, 1.0) * (1.0 / SPREAD);
        least * (1.0 + (SPREAD - 1.0) * self.chance.random::<f64>())
    }

    fn reject(&mut self, level: f64) -> Decision {
        Decision::Reject { retry_after: self.retry_after(level) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn at(s: f64) -> Point {
        Point::at(1000.0 + s)
    }

    fn gate(share: f64, seed: u64) -> Admission {
        let class = |gain: f64| Class { gain, mean_cost: 1.0, reserved_share: share };
        Admission::new(at(0.0), vec![class(3.0), class(1.0)], Span::of(2.0), Span::ZERO, seed)
    }

    fn request(class: usize) -> Request {
        Request {
            class,
            is_retry: false,
            tenant_over_quota: false,
            time_left: Span::of(3.0),
            decide_now: false,
        }
    }

    /// Parts of each class's requests that are taken, 500 a second of each, where so many a second may be.
    fn taken(gate: &mut Admission, limit: Option<f64>, request_of: impl Fn(usize) -> Request) -> [f64; 2] {
        let mut taken = [0.0; 2];
        for i in 0..10_000 {
            let class = i % 2;
            if gate.decide(at(i as f64 * 0.001), 0.7, limit, request_of(class)) == Decision::Admit {
                taken[class] += 1.0 / 5000.0;
            }
        }
        taken
    }

    #[test]
    fn all_is_taken_without_a_limit_and_the_best_longest_with_one() {
        assert!(taken(&mut gate(0.0, 1), None, request).iter().all(|part| *part > 0.9999));
        let half = taken(&mut gate(0.0, 1), Some(600.0), request);
        assert!(half[0] > 0.99 && (0.15..0.25).contains(&half[1]), "{half:?}");
        let less = taken(&mut gate(0.0, 1), Some(300.0), request);
        assert!((0.55..0.65).contains(&less[0]) && less[1] < 0.05, "{less:?}");
        assert_eq!(taken(&mut gate(0.0, 1), Some(0.0), request), [0.0, 0.0]);
    }

    #[test]
    fn a_class_with_a_stated_share_is_never_starved() {
        let some = taken(&mut gate(0.1, 1), Some(300.0), request);
        assert!((0.04..0.1).contains(&some[1]) && some[0] > 0.5, "{some:?}");
    }

    #[test]
    fn what_would_be_late_is_never_started_and_a_tenant_in_excess_goes_first() {
        let late = |class| Request { time_left: Span::of_millis(60), ..request(class) };
        assert_eq!(taken(&mut gate(0.0, 1), None, late), [0.0, 0.0]);
        let past = |class| Request { tenant_over_quota: class == 0, ..request(0) };
        let [excess, others] = taken(&mut gate(0.0, 1), Some(600.0), past);
        assert!(others > 0.99 && excess < 0.25, "{excess} of the tenant in excess, {others} of the others");
    }

    #[test]
    fn a_request_that_lacks_little_is_held_once_and_holds_are_bounded() {
        let class = Class { gain: 1.0, mean_cost: 1.0, reserved_share: 0.0 };
        let mut gate = Admission::new(at(0.0), vec![class], Span::of(2.0), Span::of(0.2), 3);
        let limit = Some(100.0);
        let mut words = [0, 0, 0];
        for i in 0..2000 {
            match gate.decide(at(f64::from(i) * 0.001), 1.0, limit, request(0)) {
                Decision::Admit => words[0] += 1,
                Decision::Hold { duration } => {
                    assert!(duration >= Span::of(0.1) && duration <= Span::of(0.2));
                    words[1] += 1;
                }
                Decision::Reject { .. } => words[2] += 1,
            }
        }
        assert!((180..=210).contains(&words[0]) && words[1] == HELD_MOST && words[2] > 1000, "{words:?}");
        (0..HELD_MOST).for_each(|_| gate.hold_ended());
        let held = |gate: &mut Admission, request| {
            matches!(gate.decide(at(2.0), 1.0, limit, request), Decision::Hold { .. })
        };
        assert!((0..200).all(|_| !held(&mut gate, Request { decide_now: true, ..request(0) })));
        assert!(
            (0..200).all(|_| !held(&mut gate, Request { time_left: Span::of(0.5), ..request(0) })),
            "no time for it"
        );
        assert!(held(&mut gate, request(0)));
    }

    #[test]
    fn a_class_that_costs_more_ranks_lower() {
        let mut gate = gate(0.0, 1);
        assert_eq!(gate.ranks_and_shares().0, [1.0, 1.0 / 3.0]);
        (0..500).for_each(|_| gate.record_cost(0, 6.0));
        gate.record_cost(0, f64::NAN);
        let (ranks, _) = gate.ranks_and_shares();
        assert!(ranks[0] < 0.55 && ranks[1] == 1.0, "{ranks:?}");
    }

    proptest! {
        /// Never more is taken than the limit and the bucket allow, and a lesser request is never taken where the
        /// better, asked in its place, would not be.
        #[test]
        fn the_limit_holds_and_the_better_is_never_behind(
            steps in proptest::collection::vec((0usize..2, 0.0f64..0.01), 1..400), limit in 0.0f64..500.0,
        ) {
            let mut gate = gate(0.0, 7);
            let (mut now, mut count) = (0.0, 0.0);
            for (class, passed) in steps {
                now += passed;
                let better = gate.clone().decide(at(now), 0.7, Some(limit), request(0));
                let word = gate.decide(at(now), 0.7, Some(limit), request(class));
                if word == Decision::Admit {
                    count += 1.0;
                    prop_assert_eq!(better, Decision::Admit);
                }
                prop_assert!(count <= limit * now + (limit * DEPTH_S).max(1.0) + 1e-6);
            }
        }

        /// Waits are within what viewers follow, and fifty controllers that shed at once don't name one moment.
        #[test]
        fn waits_are_bounded_and_spread(level in 0.0f64..3.0) {
            let mut waits = Vec::new();
            for controller in 0..50 {
                let mut gate = gate(0.0, controller);
                let none = Request { time_left: Span::ZERO, ..request(0) };
                let Decision::Reject { retry_after } = gate.decide(at(0.0), level, None, none) else {
                    return Err(TestCaseError::fail("it can't be in time"));
                };
                prop_assert!(retry_after > Span::ZERO && retry_after <= Span::of(2.0), "{:?}", retry_after);
                waits.push(retry_after.seconds());
            }
            let (low, high) = waits.iter().fold((f64::MAX, 0.0f64), |(l, h), w| (l.min(*w), h.max(*w)));
            prop_assert!(high > low * 1.5, "{low} to {high}");
        }
    }
}
