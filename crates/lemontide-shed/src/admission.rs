//! Which requests to admit when not all can be. A token bucket fills at the rate of requests that may be admitted. The
//! class with the highest gain per cost may empty it, lower ones must leave part of it for better ones. So under
//! overload the highest gain per cost is admitted longest, without a forecast of each class's traffic. No class gets
//! less than its reserved share, a request that can't be answered before its deadline is rejected at once, and the
//! `retry_after` of rejected requests is spread so that they don't return together.

use lemontide::clock::{Point, Span};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The bucket holds what its rate brings in this time, and one request at least.
const BUCKET_DEPTH_S: f64 = 0.1;
/// Share of the bucket that a request of rank 0 must leave for better ones.
const RESERVE_SHARE: f64 = 0.6;
/// Added to the rank of a retry: its viewer was rejected or interrupted before, so it goes a little before new ones.
const RETRY_RANK_BONUS: f64 = 0.05;
/// Multiplies the rank of a request whose tenant is over its quota.
const OVER_QUOTA_RANK_FACTOR: f64 = 0.3;
/// Expected time to answer an admitted request at level 0, and its relative growth per unit of the level.
const ANSWER_TIME: Span = Span::of_millis(50);
const ANSWER_TIME_GROWTH: f64 = 4.0;
/// Time constant over which a class's share of the admitted requests is measured.
const SHARE_TIME_CONSTANT_S: f64 = 5.0;
/// Requests that are held at a time at most.
const MAX_HELD: usize = 256;
/// A request is held only if the time left after the longest hold exceeds this multiple of the expected answer time.
const MIN_ANSWER_TIMES_AFTER_HOLD: f64 = 3.0;
/// Weight of a new cost in a class's mean cost.
const COST_WEIGHT: f64 = 0.02;
/// `retry_after` is spread between a minimum and this multiple of it.
const RETRY_SPREAD: f64 = 2.0;
/// Level from which `retry_after` is longest.
const LONGEST_RETRY_LEVEL: f64 = 1.5;

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Gain of a session.
    pub gain: f64,
    /// Mean cost of a request to the controller, relative to that of other classes.
    pub mean_cost: f64,
    /// The share of the admitted requests that the class gets at any load.
    pub reserved_share: f64,
}

/// What is known of a request when it is decided.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub class: usize,
    pub is_retry: bool,
    pub tenant_over_quota: bool,
    /// Time left until the viewer's deadline.
    pub time_left: Span,
    /// It can't be held, or was held already.
    pub decide_now: bool,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Process it.
    Admit,
    /// Decide again after this duration: there may be room by then, and the viewer has the time.
    Hold { duration: Span },
    /// It would be answered too late, or there is no room: the player may retry after this time.
    Reject { retry_after: Span },
}

/// A count of admitted requests that decays exponentially, as of its last update.
#[derive(Clone, Debug)]
struct RecentCount {
    count: f64,
    updated_at: Point,
}

/// Decides which requests one controller admits.
#[derive(Clone, Debug)]
pub struct Admission {
    classes: Vec<Class>,
    /// Each class's gain per cost, as a share of the highest one.
    ranks: Vec<f64>,
    /// Recently admitted requests of each class.
    recent: Vec<RecentCount>,
    max_retry_after: Span,
    max_hold: Span,
    held: usize,
    /// What the bucket held when it was last refilled, less what was taken since.
    tokens: f64,
    refilled_at: Point,
    rng: StdRng,
}

impl Admission {
    /// `max_retry_after` is the longest wait that viewers follow; with a `max_hold` of zero no request is held.
    pub fn new(
        now: Point,
        classes: Vec<Class>,
        max_retry_after: Span,
        max_hold: Span,
        seed: u64,
    ) -> Admission {
        let recent = classes.iter().map(|_| RecentCount { count: 0.0, updated_at: now }).collect();
        let ranks = vec![0.0; classes.len()];
        let rng = StdRng::seed_from_u64(seed);
        let mut admission = Admission {
            classes,
            ranks,
            recent,
            max_retry_after,
            max_hold,
            held: 0,
            tokens: 0.0,
            refilled_at: now,
            rng,
        };
        admission.update_ranks();
        admission
    }

    fn update_ranks(&mut self) {
        let gain_per_cost = |class: &Class| class.gain.max(0.0) / class.mean_cost.max(1e-9);
        let highest = self.classes.iter().map(gain_per_cost).fold(1e-9, f64::max);
        for (rank, class) in self.ranks.iter_mut().zip(&self.classes) {
            *rank = gain_per_cost(class) / highest;
        }
    }

    /// Records what an answered request of this class cost, in attempts or any other unit that all classes share.
    pub fn record_cost(&mut self, class: usize, cost: f64) {
        let Some(class) = self.classes.get_mut(class).filter(|_| cost.is_finite() && cost > 0.0) else {
            return;
        };
        class.mean_cost += (cost - class.mean_cost) * COST_WEIGHT;
        self.update_ranks();
    }

    /// Ranks of the classes from 0 to 1 by gain per cost, and their reserved shares.
    pub fn ranks_and_shares(&self) -> (&[f64], Vec<f64>) {
        (&self.ranks, self.classes.iter().map(|class| class.reserved_share).collect())
    }

    /// A hold has ended, or its player has disconnected.
    pub fn hold_ended(&mut self) {
        self.held = self.held.saturating_sub(1);
    }

    /// How many requests are held.
    pub fn held_count(&self) -> usize {
        self.held
    }

    fn recent_count(&self, now: Point, class: usize) -> f64 {
        let recent = &self.recent[class];
        recent.count * (-(now - recent.updated_at).seconds().max(0.0) / SHARE_TIME_CONSTANT_S).exp()
    }

    fn record_admitted(&mut self, now: Point, class: usize) {
        let count = self.recent_count(now, class) + 1.0;
        self.recent[class] = RecentCount { count, updated_at: now };
    }

    /// Whether a class got less than its reserved share of the recently admitted requests.
    fn is_below_share(&self, now: Point, class: usize) -> bool {
        let share = self.classes[class].reserved_share;
        if share <= 0.0 {
            return false;
        }
        let all: f64 = (0..self.classes.len()).map(|class| self.recent_count(now, class)).sum();
        self.recent_count(now, class) < share * all
    }

    /// Decides about a request at this load level, where `limit_per_s` requests per second may be admitted; `None` is
    /// no limit.
    pub fn decide(&mut self, now: Point, level: f64, limit_per_s: Option<f64>, request: Request) -> Decision {
        // A request that can't be answered before its deadline is not started.
        let answer_time = ANSWER_TIME * (1.0 + ANSWER_TIME_GROWTH * level.max(0.0));
        if request.time_left < answer_time {
            return self.reject(level);
        }
        let class = request.class.min(self.classes.len().saturating_sub(1));
        if let Some(limit_per_s) = limit_per_s.filter(|_| !self.classes.is_empty()) {
            let missing = self.missing_tokens(now, limit_per_s, class, request);
            if missing > 0.0 {
                let available_soon = missing <= limit_per_s * self.max_hold.seconds() * 0.5;
                if available_soon
                    && !request.decide_now
                    && self.held < MAX_HELD
                    && request.time_left > self.max_hold + answer_time * MIN_ANSWER_TIMES_AFTER_HOLD
                {
                    self.held += 1;
                    return Decision::Hold {
                        duration: self.max_hold * (0.5 + 0.5 * self.rng.random::<f64>()),
                    };
                }
                return self.reject(level);
            }
            self.tokens -= 1.0;
        }
        if !self.classes.is_empty() {
            self.record_admitted(now, class);
        }
        Decision::Admit
    }

    /// How many tokens the bucket lacks for this request; 0 or less if it may be admitted.
    fn missing_tokens(&mut self, now: Point, limit_per_s: f64, class: usize, request: Request) -> f64 {
        // A clock that went back adds no tokens. A limit that was not there before starts with the tokens that are left.
        let elapsed_s = (now - self.refilled_at).seconds().clamp(0.0, BUCKET_DEPTH_S);
        self.refilled_at = now;
        let depth = (limit_per_s * BUCKET_DEPTH_S).max(1.0);
        self.tokens = (self.tokens + limit_per_s * elapsed_s).min(depth);
        let mut rank = self.ranks[class];
        if request.tenant_over_quota {
            rank *= OVER_QUOTA_RANK_FACTOR;
        }
        if request.is_retry {
            rank += RETRY_RANK_BONUS;
        }
        if !request.tenant_over_quota && self.is_below_share(now, class) {
            rank = 1.0;
        }
        // A bucket with a depth of one has nothing to reserve.
        let reserve = RESERVE_SHARE * (1.0 - rank).clamp(0.0, 1.0) * (depth - 1.0);
        reserve + 1.0 - self.tokens
    }

    /// When a rejected player may retry: later at a higher level, and spread so that rejected players don't return in
    /// one burst.
    pub fn retry_after(&mut self, level: f64) -> Span {
        let shortest =
            self.max_retry_after * (level / LONGEST_RETRY_LEVEL).clamp(0.3, 1.0) * (1.0 / RETRY_SPREAD);
        shortest * (1.0 + (RETRY_SPREAD - 1.0) * self.rng.random::<f64>())
    }

    fn reject(&mut self, level: f64) -> Decision {
        Decision::Reject { retry_after: self.retry_after(level) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn at(seconds: f64) -> Point {
        Point::at(1000.0 + seconds)
    }

    fn admission(reserved_share: f64, seed: u64) -> Admission {
        let class = |gain: f64| Class { gain, mean_cost: 1.0, reserved_share };
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

    /// The share of each class's requests that is admitted at 500 requests per second of each class.
    fn admitted(
        admission: &mut Admission,
        limit_per_s: Option<f64>,
        request_of: impl Fn(usize) -> Request,
    ) -> [f64; 2] {
        let mut admitted = [0.0; 2];
        for i in 0..10_000 {
            let class = i % 2;
            let decision = admission.decide(at(i as f64 * 0.001), 0.7, limit_per_s, request_of(class));
            if decision == Decision::Admit {
                admitted[class] += 1.0 / 5000.0;
            }
        }
        admitted
    }

    #[test]
    fn without_a_limit_all_are_admitted_and_with_one_the_highest_gain_longest() {
        assert!(admitted(&mut admission(0.0, 1), None, request).iter().all(|share| *share > 0.9999));
        let half = admitted(&mut admission(0.0, 1), Some(600.0), request);
        assert!(half[0] > 0.99 && (0.15..0.25).contains(&half[1]), "{half:?}");
        let less = admitted(&mut admission(0.0, 1), Some(300.0), request);
        assert!((0.55..0.65).contains(&less[0]) && less[1] < 0.05, "{less:?}");
        assert_eq!(admitted(&mut admission(0.0, 1), Some(0.0), request), [0.0, 0.0]);
    }

    #[test]
    fn a_class_gets_its_reserved_share() {
        let some = admitted(&mut admission(0.1, 1), Some(300.0), request);
        assert!((0.04..0.1).contains(&some[1]) && some[0] > 0.5, "{some:?}");
    }

    #[test]
    fn late_requests_are_rejected_and_those_over_quota_are_rejected_first() {
        let late = |class| Request { time_left: Span::of_millis(60), ..request(class) };
        assert_eq!(admitted(&mut admission(0.0, 1), None, late), [0.0, 0.0]);
        let over_quota = |class| Request { tenant_over_quota: class == 0, ..request(0) };
        let [over, others] = admitted(&mut admission(0.0, 1), Some(600.0), over_quota);
        assert!(others > 0.99 && over < 0.25, "{over} of the tenant over its quota, {others} of the others");
    }

    #[test]
    fn a_request_that_lacks_few_tokens_is_held_once_and_holds_are_bounded() {
        let class = Class { gain: 1.0, mean_cost: 1.0, reserved_share: 0.0 };
        let mut admission = Admission::new(at(0.0), vec![class], Span::of(2.0), Span::of(0.2), 3);
        let limit_per_s = Some(100.0);
        let mut counts = [0, 0, 0];
        for i in 0..2000 {
            match admission.decide(at(f64::from(i) * 0.001), 1.0, limit_per_s, request(0)) {
                Decision::Admit => counts[0] += 1,
                Decision::Hold { duration } => {
                    assert!(duration >= Span::of(0.1) && duration <= Span::of(0.2));
                    counts[1] += 1;
                }
                Decision::Reject { .. } => counts[2] += 1,
            }
        }
        assert!((180..=210).contains(&counts[0]) && counts[1] == MAX_HELD && counts[2] > 1000, "{counts:?}");
        (0..MAX_HELD).for_each(|_| admission.hold_ended());
        let held = |admission: &mut Admission, request| {
            matches!(admission.decide(at(2.0), 1.0, limit_per_s, request), Decision::Hold { .. })
        };
        assert!((0..200).all(|_| !held(&mut admission, Request { decide_now: true, ..request(0) })));
        assert!(
            (0..200).all(|_| !held(&mut admission, Request { time_left: Span::of(0.5), ..request(0) })),
            "too little time is left for a hold"
        );
        assert!(held(&mut admission, request(0)));
    }

    #[test]
    fn a_class_that_costs_more_ranks_lower() {
        let mut admission = admission(0.0, 1);
        assert_eq!(admission.ranks_and_shares().0, [1.0, 1.0 / 3.0]);
        (0..500).for_each(|_| admission.record_cost(0, 6.0));
        admission.record_cost(0, f64::NAN);
        let (ranks, _) = admission.ranks_and_shares();
        assert!(ranks[0] < 0.55 && ranks[1] == 1.0, "{ranks:?}");
    }

    proptest! {
        /// Never more is admitted than the limit and the bucket allow, and a request of a lower class is never admitted
        /// where one of the higher class in its place would not be.
        #[test]
        fn the_limit_holds_and_the_higher_class_is_never_behind(
            steps in proptest::collection::vec((0usize..2, 0.0f64..0.01), 1..400), limit_per_s in 0.0f64..500.0,
        ) {
            let mut admission = admission(0.0, 7);
            let (mut now, mut count) = (0.0, 0.0);
            for (class, elapsed_s) in steps {
                now += elapsed_s;
                let higher = admission.clone().decide(at(now), 0.7, Some(limit_per_s), request(0));
                let decision = admission.decide(at(now), 0.7, Some(limit_per_s), request(class));
                if decision == Decision::Admit {
                    count += 1.0;
                    prop_assert_eq!(higher, Decision::Admit);
                }
                prop_assert!(count <= limit_per_s * now + (limit_per_s * BUCKET_DEPTH_S).max(1.0) + 1e-6);
            }
        }

        /// `retry_after` is within what viewers follow, and 50 controllers that shed at once don't give the same time.
        #[test]
        fn retry_after_is_bounded_and_spread(level in 0.0f64..3.0) {
            let mut waits_s = Vec::new();
            for controller in 0..50 {
                let mut admission = admission(0.0, controller);
                let no_time = Request { time_left: Span::ZERO, ..request(0) };
                let Decision::Reject { retry_after } = admission.decide(at(0.0), level, None, no_time) else {
                    return Err(TestCaseError::fail("it can't be in time"));
                };
                prop_assert!(retry_after > Span::ZERO && retry_after <= Span::of(2.0), "{:?}", retry_after);
                waits_s.push(retry_after.seconds());
            }
            let (low, high) = waits_s.iter().fold((f64::MAX, 0.0f64), |(l, h), w| (l.min(*w), h.max(*w)));
            prop_assert!(high > low * 1.5, "{low} to {high}");
        }
    }
}
