//! How many new requests a second are taken while the controller is near its limit. It is found, not stated: cut
//! below what gets done while a gauge presses, raised in steps while none does, and gone when it binds no more. At
//! all times it stays under what the allowance of CPU can do by the least cost that was seen: a burst is met before
//! its first delay.

use lemontide::clock::{Point, Span};

/// Pressure of the tightest gauge at which the rate stays as it is; a limit is set when it is this much higher.
const AIM: f64 = 0.5;
const BINDS: f64 = 0.15;
/// Cut of the rate for each unit of pressure over the aim, and how soon it comes into force, in seconds.
const CUT: f64 = 0.15;
/// More of it for what a gauge is over its limit: there it has to become less, not only not more.
const CUT_OVER: f64 = 0.2;
const CUT_S: f64 = 0.6;
/// Most growth a second where nothing presses, of the rate or of this part of the best that was seen.
const GROWTH: f64 = 0.5;
/// Far under the best, or where none was seen yet, it grows so fast: a limit that was set while nothing was asked
/// says little.
const GROWTH_FAR: f64 = 2.0;
const FAR: f64 = 0.5;
const FROM: f64 = 0.2;
/// The limit goes when it was this much over what is asked, for so long.
const OVER: f64 = 1.25;
const CALM: Span = Span::of_millis(1000);
/// Time constants of what gets done and is asked, and of forgetting the best, in seconds.
const SEEN_S: f64 = 0.5;
const BEST_S: f64 = 60.0;
/// A gap between two beats from which the process stood still.
const STOOD_STILL_S: f64 = 0.4;
/// Never less a second, unless a limit is hard: how else would it be seen that there is room again? And never
/// less than this part of the best: where turning back alone fills the controller, taking nothing helps nobody.
const LEAST: f64 = 2.0;
const LEAST_OF_BEST: f64 = 0.1;
/// What the allowance can do is passed by so much: the estimate is no more than one. It is learned from this part
/// of the allowance and this many requests a second on, while most of what is asked is taken, with
/// these time constants in seconds.
const CEILING: f64 = 1.3;
const CPU_LEAST: f64 = 0.25;
const DONE_LEAST: f64 = 20.0;
const CAN_S: f64 = 2.0;
const TAKEN_LEAST: f64 = 0.8;
const DONE_IDLE: f64 = 1.0;
const COST_S: f64 = 1.0;
/// From this pressure on a hard limit closes the door.
const CLOSED: f64 = 1.0;

#[derive(Clone, Debug)]
pub struct AdmissionRate {
    limit: Option<f64>,
    /// Since the last beat, and a second.
    turns: f64,
    asks: f64,
    done: f64,
    asked: f64,
    best: f64,
    /// Requests a second that the whole allowance could do, by the least cost seen lately.
    can: Option<f64>,
    /// The last reading of the CPU; part of the allowance and what gets done a second, both averaged.
    part: f64,
    spent: (f64, f64),
    /// Least part that was spent without requests.
    idle: Option<f64>,
    calm: Option<Point>,
    at: Point,
}

impl AdmissionRate {
    pub fn new(now: Point) -> AdmissionRate {
        AdmissionRate {
            limit: None,
            turns: 0.0,
            asks: 0.0,
            done: 0.0,
            asked: 0.0,
            best: 0.0,
            can: None,
            part: 0.0,
            spent: (0.0, 0.0),
            idle: None,
            calm: None,
            at: now,
        }
    }

    /// A request got its turn and was worked on.
    pub fn request_started(&mut self) {
        self.turns += 1.0;
    }

    /// A request came.
    pub fn request_arrived(&mut self) {
        self.asks += 1.0;
    }

    /// Requests a second that may be taken; none where there is no limit.
    pub fn limit_per_s(&self) -> Option<f64> {
        let ceiling = self.can.map(|can| (can * CEILING).max(LEAST));
        [self.limit, ceiling].into_iter().flatten().reduce(f64::min)
    }

    /// A reading of the CPU, as a part of its allowance.
    pub fn observe_cpu(&mut self, part: f64) {
        if part.is_finite() {
            self.part = part.clamp(0.0, 10.0);
        }
    }

    /// Learns what the whole allowance could do. Both figures are averaged alike, so that neither runs ahead. Under
    /// little load most of the CPU is not the requests', so nothing is learned of their cost there.
    fn learn(&mut self, passed: f64, done: f64) {
        let weight = 1.0 - (-passed / COST_S).exp();
        self.spent.0 += (self.part - self.spent.0) * weight;
        self.spent.1 += (done - self.spent.1) * weight;
        let (part, done) = self.spent;
        if done < DONE_IDLE {
            self.idle = Some(self.idle.map_or(part, |idle| idle.min(part)));
        }
        if part >= CPU_LEAST && done >= DONE_LEAST {
            // What is spent without any request is not theirs.
            let idle = self.idle.unwrap_or(0.0);
            let can = done * (1.0 - idle) / (part - idle).max(0.05);
            let weight = 1.0 - (-passed / CAN_S).exp();
            self.can = Some(self.can.map_or(can, |before| before + (can - before) * weight));
        }
    }

    /// Called every tenth of a second or so, with the tightest gauge's pressure and that of the tightest limit
    /// that must not be passed at all. Without any reading the rate stays as it is.
    pub fn tick(&mut self, now: Point, pressure: Option<f64>, hard: f64) {
        let passed = (now - self.at).seconds();
        if passed <= 0.0 {
            return;
        }
        self.at = now;
        let (turns, asks) = (std::mem::take(&mut self.turns), std::mem::take(&mut self.asks));
        // A process that stood still did nothing, which says nothing of what it can do.
        if passed < STOOD_STILL_S {
            let weight = 1.0 - (-passed / SEEN_S).exp();
            self.done += (turns / passed - self.done) * weight;
            self.asked += (asks / passed - self.asked) * weight;
            // What is turned back costs, too, and what is behind will cost later: then it says nothing.
            if self.limit.is_none() && turns >= asks * TAKEN_LEAST {
                self.learn(passed, turns / passed);
            }
        }
        self.best = (self.best * (1.0 - passed / BEST_S).max(0.0)).max(self.done);
        let Some(pressure) = pressure else { return };
        let least = if hard >= CLOSED { 0.0 } else { LEAST.max(self.best * LEAST_OF_BEST) };
        let over = pressure - AIM;
        if over > 0.0 {
            self.calm = None;
            if self.limit.is_none() && over < BINDS {
                return;
            }
            let cut = CUT * over + CUT_OVER * (pressure - 1.0).max(0.0);
            let aim = if hard >= CLOSED { 0.0 } else { self.done * (1.0 - cut).max(0.0) };
            let aim = aim.max(least);
            // The first limit is in force at once; from then on it moves, and only down.
            let limit = self.limit.unwrap_or(aim);
            self.limit = Some(limit + (aim.min(limit) - limit) * (passed / CUT_S).min(1.0));
            return;
        }
        let Some(limit) = self.limit else { return };
        let growth = if limit < self.best * FAR || self.best < LEAST { GROWTH_FAR } else { GROWTH };
        let step = limit.max(self.best * FROM).max(LEAST) * growth * (-over / AIM).min(1.0);
        self.limit = Some((limit + step * passed.min(1.0)).max(least));
        if limit < self.asked * OVER {
            self.calm = None;
        } else if now - *self.calm.get_or_insert(now) >= CALM {
            self.limit = None;
            self.calm = None;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn at(s: f64) -> Point {
        Point::at(1000.0 + s)
    }

    /// A server that does so many a second; what is over waits. Taken a second, in each second.
    fn serve(capacity: f64, offered: impl Fn(f64) -> f64, seconds: usize) -> (Vec<f64>, AdmissionRate) {
        let mut rate = AdmissionRate::new(at(0.0));
        let (mut queue, mut taken) = (0.0f64, vec![0.0; seconds]);
        for step in 0..seconds * 10 {
            let now = step as f64 / 10.0;
            let come = offered(now) / 10.0;
            (0..come.round() as usize).for_each(|_| rate.request_arrived());
            let take = rate.limit_per_s().map_or(come, |limit| come.min(limit / 10.0));
            queue += take;
            taken[step / 10] += take;
            let done = queue.min(capacity / 10.0);
            queue -= done;
            (0..done.round() as usize).for_each(|_| rate.request_started());
            // Delay over 0.1 s, and how busy it is.
            let delay = (queue / capacity / 0.1 - 0.5) / 0.5;
            let busy = (done * 10.0 / capacity - 0.85) / 0.15;
            rate.tick(at(now + 0.1), Some(delay.max(busy).clamp(0.0, 2.0)), 0.0);
        }
        (taken, rate)
    }

    #[test]
    fn under_overload_most_of_the_capacity_is_used_without_swings() {
        let (taken, _) = serve(1000.0, |s| if s < 3.0 { 600.0 } else { 5000.0 }, 30);
        let settled = &taken[10..];
        let mean = settled.iter().sum::<f64>() / settled.len() as f64;
        assert!((870.0..=1000.0).contains(&mean), "{mean}: {taken:?}");
        let (low, high) = settled.iter().fold((f64::MAX, 0.0f64), |(l, h), v| (l.min(*v), h.max(*v)));
        assert!(high - low < 150.0, "{low} to {high}");
    }

    #[test]
    fn it_is_gone_soon_after_the_burst_and_comes_back_in_steps() {
        let (taken, rate) = serve(1000.0, |s| if (3.0..8.0).contains(&s) { 9000.0 } else { 600.0 }, 20);
        assert_eq!(rate.limit_per_s(), None);
        assert!(taken[12..].iter().all(|taken| *taken > 590.0), "{taken:?}");
        assert!(taken.iter().skip(4).all(|taken| *taken < 1100.0), "{taken:?}");
    }

    #[test]
    fn a_hard_limit_closes_and_a_blind_moment_changes_nothing() {
        let mut rate = AdmissionRate::new(at(0.0));
        rate.tick(at(0.1), Some(2.0), 1.5);
        assert_eq!(rate.limit_per_s(), Some(0.0));
        rate.tick(at(0.2), None, 0.0);
        assert_eq!(rate.limit_per_s(), Some(0.0));
        for tenth in 3..200 {
            rate.tick(at(f64::from(tenth) / 10.0), Some(0.0), 0.0);
        }
        assert_eq!(rate.limit_per_s(), None, "it opens again");
    }

    #[test]
    fn the_allowance_bounds_a_burst_before_any_delay() {
        let mut rate = AdmissionRate::new(at(0.0));
        for tenth in 1..50 {
            (0..10).for_each(|_| rate.request_started());
            (0..10).for_each(|_| rate.request_arrived());
            rate.observe_cpu(0.6);
            rate.tick(at(f64::from(tenth) / 10.0), Some(0.0), 0.0);
        }
        let limit = rate.limit_per_s().expect("it is known what can be done");
        assert!((200.0..=235.0).contains(&limit), "{limit}: a hundred a second take six tenths");
        // A moment in which much is turned back does not pull it down, nor does an idle one say anything.
        for tenth in 50..80 {
            (0..100).for_each(|_| rate.request_arrived());
            rate.observe_cpu(if tenth < 60 { 1.0 } else { 0.01 });
            rate.tick(at(f64::from(tenth) / 10.0), Some(0.0), 0.0);
        }
        assert!(rate.limit_per_s().is_some_and(|now| now > limit * 0.98));
    }

    proptest! {
        /// Whatever the readings, the limit is a number, never under its least where no limit is hard, and more
        /// pressure never leaves more of it.
        #[test]
        fn more_pressure_never_leaves_more(
            beats in proptest::collection::vec((0.0f64..3.0, 0u8..50, 0u8..50), 1..100), more in 0.0f64..2.0,
        ) {
            let (mut one, mut other) = (AdmissionRate::new(at(0.0)), AdmissionRate::new(at(0.0)));
            for (i, (pressure, asks, turns)) in beats.iter().enumerate() {
                for rate in [&mut one, &mut other] {
                    (0..*asks).for_each(|_| rate.request_arrived());
                    (0..*turns).for_each(|_| rate.request_started());
                }
                let now = at((i + 1) as f64 / 10.0);
                one.tick(now, Some(*pressure), 0.0);
                other.tick(now, Some(*pressure + more), 0.0);
                if let Some(limit) = one.limit_per_s() {
                    prop_assert!(limit.is_finite() && limit >= LEAST);
                }
                let open = |rate: &AdmissionRate| rate.limit_per_s().unwrap_or(f64::INFINITY);
                prop_assert!(open(&other) <= open(&one) + 1e-9, "{:?} {:?}", other.limit_per_s(), one.limit_per_s());
                // Each goes on from the same: what came before must not tell.
                other = one.clone();
            }
        }
    }
}
