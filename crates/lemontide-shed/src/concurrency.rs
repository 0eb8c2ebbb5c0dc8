//! How many set-ups may be on their way to one streamer at a time. A streamer that answers slower the more it has
//! gets less; what it has no room for waits on the link for a moment and then goes back to the decision module as
//! never sent. The module stays in charge of whom to shoot at and how fast.

use lemontide::clock::{Point, Span};

const FIRST: f64 = 64.0;
const LEAST: f64 = 4.0;
const MOST: f64 = 512.0;
/// An answer is slow from so many times the best known time on, and so much more than it.
const SLOW: f64 = 3.0;
const SLOW_BY: Span = Span::of_millis(100);
/// The limit is cut to this part by a slow answer, at most once in this span.
const CUT: f64 = 0.7;
const CUT_EVERY: Span = Span::of_millis(200);
const REACHED_LATELY: Span = Span::of_millis(500);
/// The best known time is forgotten by so much of itself a second, so that a streamer that became slower for
/// good is not held down for ever.
const FORGET_PER_S: f64 = 0.02;

#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    out: usize,
    best: Option<Span>,
    at: Point,
    cut: Point,
    /// When the limit was last reached: only where it was lately is there reason to raise it.
    reached: Option<Point>,
}

impl ConcurrencyLimit {
    pub fn new(now: Point) -> ConcurrencyLimit {
        ConcurrencyLimit { limit: FIRST, out: 0, best: None, at: now, cut: now, reached: None }
    }

    /// Whether one more set-up may leave.
    pub fn has_capacity(&mut self, now: Point) -> bool {
        let may = self.out < self.limit as usize;
        if !may {
            self.reached = Some(now);
        }
        may
    }

    pub fn record_sent(&mut self) {
        self.out += 1;
    }

    pub fn in_flight(&self) -> usize {
        self.out
    }

    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// A set-up came back after this time; with `none` it was given up or got no answer.
    pub fn record_answer(&mut self, now: Point, took: Option<Span>) {
        self.out = self.out.saturating_sub(1);
        let passed = (now - self.at).seconds().max(0.0);
        self.at = now;
        self.best = self.best.map(|best| best * (1.0 + FORGET_PER_S * passed.min(10.0)));
        let Some(took) = took else { return self.cut(now) };
        let best = self.best.map_or(took, |best| best.min(took));
        self.best = Some(best);
        if took > (best * SLOW).max(best + SLOW_BY) {
            self.cut(now);
        } else if self.reached.is_some_and(|at| now - at < REACHED_LATELY) {
            // One more for each round of answers.
            self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(MOST);
        }
    }

    /// A set-up is no longer under way, for a reason that says nothing of the streamer's room.
    pub fn release(&mut self) {
        self.out = self.out.saturating_sub(1);
    }

    fn cut(&mut self, now: Point) {
        if now - self.cut >= CUT_EVERY {
            self.cut = now;
            self.limit = (self.limit * CUT).max(LEAST);
        }
    }

    /// The link is new: nothing is out on it. What the streamer could take is remembered with care.
    pub fn reset(&mut self, now: Point) {
        self.out = 0;
        self.at = now;
        self.limit = self.limit.min(FIRST);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// A streamer that sets up so many at a time, each in so long; requests always wait. How many it has at once
    /// in the end.
    fn settle(places: usize, work: f64, seconds: f64) -> (usize, usize) {
        let at = |s: f64| Point::at(1000.0 + s);
        let mut flight = ConcurrencyLimit::new(at(0.0));
        let mut free = vec![0.0f64; places];
        let mut out: Vec<(f64, f64)> = Vec::new();
        let mut now = 0.0;
        while now < seconds {
            now += 0.005;
            while let Some(done) = out.iter().position(|(ends, _)| *ends <= now) {
                let (ends, sent) = out.swap_remove(done);
                flight.record_answer(at(now), Some(Span::of(ends - sent)));
            }
            while flight.has_capacity(at(now)) {
                flight.record_sent();
                let place =
                    (0..places).min_by(|a, b| free[*a].total_cmp(&free[*b])).expect("there are places");
                let ends = free[place].max(now) + work;
                free[place] = ends;
                out.push((ends, now));
            }
        }
        (flight.in_flight(), flight.limit())
    }

    #[test]
    fn a_streamer_gets_about_what_it_can_do_at_once() {
        let (few, _) = settle(8, 0.1, 30.0);
        assert!((8..=40).contains(&few), "{few} at a time for eight places");
        let (many, _) = settle(200, 0.1, 60.0);
        assert!(many > 100, "{many} at a time for two hundred places");
    }

    #[test]
    fn a_silent_streamer_is_cut_in_steps_but_never_to_nothing() {
        let at = |s: f64| Point::at(1000.0 + s);
        let mut flight = ConcurrencyLimit::new(at(0.0));
        let mut limits = Vec::new();
        for i in 1..100 {
            flight.record_sent();
            flight.record_answer(at(f64::from(i) * 0.05), None);
            limits.push(flight.limit());
        }
        assert!(limits.windows(2).all(|w| w[1] as f64 >= w[0] as f64 * CUT - 1.0), "in steps");
        assert_eq!(limits.last(), Some(&(LEAST as usize)));
        assert!(flight.has_capacity(at(9.0)), "it can still be tried");
    }

    proptest! {
        #[test]
        fn whatever_comes_back_the_limit_stays_within_bounds(
            steps in proptest::collection::vec((0u8..4, 0.0f64..2.0), 1..300),
        ) {
            let mut flight = ConcurrencyLimit::new(Point::at(1000.0));
            let mut now = 1000.0;
            for (step, s) in steps {
                now += s * 0.1;
                match step {
                    0 => { if flight.has_capacity(Point::at(now)) { flight.record_sent() } }
                    1 => flight.record_answer(Point::at(now), None),
                    2 => flight.record_answer(Point::at(now), Some(Span::of(s))),
                    // A clock that went back.
                    _ => flight.record_answer(Point::at(now - 1.0), Some(Span::of(s))),
                }
                prop_assert!((4..=512).contains(&flight.limit()));
                prop_assert!(flight.in_flight() <= 512);
            }
        }
    }
}
