//! Adaptive limit on the set-ups in flight to one streamer. A streamer whose answers become slower under load gets
//! fewer; a set-up over the limit waits on the link for a moment and is then returned to the decision module as never
//! sent. The decision module alone decides which streamer is tried and how fast.

use lemontide::clock::{Point, Span};

const INITIAL_LIMIT: f64 = 64.0;
const MIN_LIMIT: f64 = 4.0;
const MAX_LIMIT: f64 = 512.0;
/// An answer is slow if it took more than this multiple of the best known time, and more than this margin above it.
const SLOW_MULTIPLE: f64 = 3.0;
const SLOW_MARGIN: Span = Span::of_millis(100);
/// A slow answer multiplies the limit by this, at most once per interval.
const DECREASE_FACTOR: f64 = 0.7;
const DECREASE_INTERVAL: Span = Span::of_millis(200);
/// The limit is raised only if it was reached within this time.
const REACHED_WINDOW: Span = Span::of_millis(500);
/// Relative growth of the best known time, so that a streamer that became slower for good is not limited for ever.
const BEST_TIME_GROWTH_PER_S: f64 = 0.02;

/// Limit on the set-ups in flight to one streamer.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    in_flight: usize,
    best_time: Option<Span>,
    updated_at: Point,
    decreased_at: Point,
    /// When the limit was last reached; it is raised only within `REACHED_WINDOW` after that.
    reached_at: Option<Point>,
}

impl ConcurrencyLimit {
    /// The limit of a streamer about which nothing is known.
    pub fn new(now: Point) -> ConcurrencyLimit {
        ConcurrencyLimit {
            limit: INITIAL_LIMIT,
            in_flight: 0,
            best_time: None,
            updated_at: now,
            decreased_at: now,
            reached_at: None,
        }
    }

    /// Whether one more set-up may be sent.
    pub fn has_capacity(&mut self, now: Point) -> bool {
        let has_capacity = self.in_flight < self.limit as usize;
        if !has_capacity {
            self.reached_at = Some(now);
        }
        has_capacity
    }

    /// A set-up was sent.
    pub fn record_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Set-ups without an answer yet.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// How many set-ups may be in flight.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// A set-up ended after `time_taken`; `None` if the streamer refused it or did not answer.
    pub fn record_answer(&mut self, now: Point, time_taken: Option<Span>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let elapsed_s = (now - self.updated_at).seconds().max(0.0);
        self.updated_at = now;
        self.best_time =
            self.best_time.map(|best| best * (1.0 + BEST_TIME_GROWTH_PER_S * elapsed_s.min(10.0)));
        let Some(time_taken) = time_taken else { return self.decrease(now) };
        let best = self.best_time.map_or(time_taken, |best| best.min(time_taken));
        self.best_time = Some(best);
        if time_taken > (best * SLOW_MULTIPLE).max(best + SLOW_MARGIN) {
            self.decrease(now);
        } else if self.reached_at.is_some_and(|reached_at| now - reached_at < REACHED_WINDOW) {
            // The limit rises by one for each full round of answers.
            self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(MAX_LIMIT);
        }
    }

    /// A set-up is no longer in flight, for a reason that says nothing about the streamer's capacity.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    fn decrease(&mut self, now: Point) {
        if now - self.decreased_at >= DECREASE_INTERVAL {
            self.decreased_at = now;
            self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
        }
    }

    /// The link was established anew: nothing is in flight on it. Of the limit found before, no more is kept than a
    /// new streamer would get.
    pub fn reset(&mut self, now: Point) {
        self.in_flight = 0;
        self.updated_at = now;
        self.limit = self.limit.min(INITIAL_LIMIT);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// A streamer with `slots` parallel set-ups that take `set_up_s` each, while set-ups always wait to be sent.
    /// Returns how many are in flight at the end, and the limit.
    fn settle(slots: usize, set_up_s: f64, seconds: f64) -> (usize, usize) {
        let at = |seconds_after_start: f64| Point::at(1000.0 + seconds_after_start);
        let mut limit = ConcurrencyLimit::new(at(0.0));
        let mut slot_free_at = vec![0.0f64; slots];
        let mut in_flight: Vec<(f64, f64)> = Vec::new();
        let mut now = 0.0;
        while now < seconds {
            now += 0.005;
            while let Some(done) = in_flight.iter().position(|(ends, _)| *ends <= now) {
                let (ends, sent) = in_flight.swap_remove(done);
                limit.record_answer(at(now), Some(Span::of(ends - sent)));
            }
            while limit.has_capacity(at(now)) {
                limit.record_sent();
                let slot = (0..slots)
                    .min_by(|a, b| slot_free_at[*a].total_cmp(&slot_free_at[*b]))
                    .expect("there are slots");
                let ends = slot_free_at[slot].max(now) + set_up_s;
                slot_free_at[slot] = ends;
                in_flight.push((ends, now));
            }
        }
        (limit.in_flight(), limit.limit())
    }

    #[test]
    fn the_limit_approaches_what_the_streamer_can_do_in_parallel() {
        let (few, _) = settle(8, 0.1, 30.0);
        assert!((8..=40).contains(&few), "{few} in flight for 8 slots");
        let (many, _) = settle(200, 0.1, 60.0);
        assert!(many > 100, "{many} in flight for 200 slots");
    }

    #[test]
    fn the_limit_of_a_silent_streamer_falls_in_steps_but_not_to_zero() {
        let at = |seconds_after_start: f64| Point::at(1000.0 + seconds_after_start);
        let mut limit = ConcurrencyLimit::new(at(0.0));
        let mut limits = Vec::new();
        for i in 1..100 {
            limit.record_sent();
            limit.record_answer(at(f64::from(i) * 0.05), None);
            limits.push(limit.limit());
        }
        assert!(limits.windows(2).all(|w| w[1] as f64 >= w[0] as f64 * DECREASE_FACTOR - 1.0), "in steps");
        assert_eq!(limits.last(), Some(&(MIN_LIMIT as usize)));
        assert!(limit.has_capacity(at(9.0)), "it can still be tried");
    }

    proptest! {
        #[test]
        fn the_limit_stays_within_its_bounds_for_any_answers(
            steps in proptest::collection::vec((0u8..4, 0.0f64..2.0), 1..300),
        ) {
            let mut limit = ConcurrencyLimit::new(Point::at(1000.0));
            let mut now = 1000.0;
            for (step, seconds) in steps {
                now += seconds * 0.1;
                match step {
                    0 => { if limit.has_capacity(Point::at(now)) { limit.record_sent() } }
                    1 => limit.record_answer(Point::at(now), None),
                    2 => limit.record_answer(Point::at(now), Some(Span::of(seconds))),
                    // A clock that went back.
                    _ => limit.record_answer(Point::at(now - 1.0), Some(Span::of(seconds))),
                }
                prop_assert!((4..=512).contains(&limit.limit()));
                prop_assert!(limit.in_flight() <= 512);
            }
        }
    }
}
