//! The sum of what all instances send in one turn, under views that differ.

use lemontide::clock::{Point, Span};
use lemontide_fleet::{Claims, Turns, View};
use proptest::prelude::*;

const OLDEST: Span = Span::of_millis(3000);
/// Clocks are off by this much at most, in seconds.
const SKEW: f64 = 0.3;

fn at(seconds: f64) -> Point {
    Point::at(1000.0 + seconds)
}

/// A delay in the given part of the oldest view, the same for the same message.
fn delay(seed: u64, from: u32, to: u32, nth: usize) -> f64 {
    let mixed =
        (seed ^ u64::from(from) << 40 ^ u64::from(to) << 20 ^ nth as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed >> 40) as f64 / (1u64 << 24) as f64 * (OLDEST.seconds() - SKEW)
}

/// What truly happens: at these seconds a number starts or stops. All run for long before second 0.
#[derive(Clone, Debug)]
struct Truth {
    count: u32,
    seed: u64,
    /// Seconds at which each number's state turns, in order; it runs before the first.
    turns: Vec<Vec<f64>>,
    /// From and until when the numbers below a bound don't see the others.
    cut: Option<(f64, f64, u32)>,
}

impl Truth {
    fn runs(&self, number: u32, t: f64) -> bool {
        self.turns[number as usize].iter().filter(|turn| **turn <= t).count() % 2 == 0
    }

    fn born(&self, number: u32, t: f64) -> f64 {
        let starts = self.turns[number as usize].iter().skip(1).step_by(2);
        starts.copied().take_while(|start| *start <= t).last().unwrap_or(-100.0)
    }

    /// What one instance sees at that second: each change of another reaches it late, by up to the oldest view.
    fn view(&self, me: u32, t: f64) -> View {
        let born = self.born(me, t);
        let mut view = View::hearing(at(born), me, self.count).expect("a number of the fleet");
        for other in (0..self.count).filter(|other| *other != me) {
            let mut news: Vec<(f64, bool)> = vec![(-90.0, true)];
            news.extend(
                self.turns[other as usize].iter().enumerate().map(|(nth, turn)| (*turn, nth % 2 == 1)),
            );
            if let Some((from, until, _)) = self.cut.filter(|cut| (me < cut.2) != (other < cut.2)) {
                news.retain(|(when, _)| *when < from || *when > until);
                news.extend([(from, false), (until, self.runs(other, until))]);
                news.sort_by(|a, b| a.0.total_cmp(&b.0));
            }
            for (nth, (when, here)) in news.iter().enumerate() {
                if when.max(born) + delay(self.seed, other, me, nth) <= t {
                    if *here {
                        view.here(at(*when), other);
                    } else {
                        view.gone(at(*when), other);
                    }
                }
            }
        }
        view
    }

    /// The most that all together have of one turn, at any look.
    fn most(&self, turns: Turns, of: impl Fn(&Turns, Claims) -> u32) -> u32 {
        let sum = |t: f64| -> u32 {
            let running = (0..self.count).filter(|number| self.runs(*number, t));
            let views: Vec<View> = running.map(|number| self.view(number, t)).collect();
            let of_turn = |turn: i64| {
                let clock = |view: &View| at(t + (f64::from(view.me() % 3) - 1.0) * SKEW);
                views.iter().map(|view| of(&turns, turns.claims(clock(view), view, turn))).sum::<u32>()
            };
            (0..i64::from(turns.round(self.count))).map(of_turn).max().unwrap_or(0)
        };
        (0..24).map(|look| sum(f64::from(look) * 2.7)).max().unwrap_or(0)
    }
}

fn truth() -> impl Strategy<Value = Truth> {
    let times = prop::collection::vec(0.0..60.0f64, 0..4);
    let cut = prop::option::of((0.0..40.0f64, 1.0..25.0f64, 0u32..24));
    (1u32..24, any::<u64>(), prop::collection::vec(times, 24), cut).prop_map(
        |(count, seed, mut turns, cut)| {
            turns.iter_mut().for_each(|times| times.sort_by(f64::total_cmp));
            let cut = cut.map(|(from, long, bound)| (from, from + long, bound));
            Truth { count, seed, turns, cut }
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(24) })]

    /// Killed, restarted and cut in any mix, with every view up to the oldest age: never more than the budget.
    #[test]
    fn all_together_stay_within_the_budget(truth in truth(), budget in 1.0..30.0f64) {
        let worst = truth.most(Turns::new(budget, OLDEST), |turns, claims| turns.share(claims, budget));
        prop_assert!(f64::from(worst) <= budget, "{worst} of {budget}");
        let heirs = truth.most(Turns::new(1.0, OLDEST), |_, claims| claims.adopted);
        prop_assert!(heirs <= 1, "{heirs} heirs of one number");
    }
}

/// The wait for others' views is what keeps two heirs of one number apart: without it a fleet of which some come back
/// has several.
#[test]
fn without_the_wait_a_number_has_two_heirs() {
    let lives = |number: u32| match number {
        9 | 10 | 17 | 18 => vec![20.0],
        11 | 12 | 19 | 20 => vec![20.0, 25.2],
        _ => Vec::new(),
    };
    let heirs = |seed: u64, oldest: Span| {
        let truth = Truth { count: 24, seed, turns: (0..24).map(lives).collect(), cut: None };
        truth.most(Turns::new(1.0, oldest), |_, claims| claims.adopted)
    };
    assert!((0..6).all(|seed| heirs(seed, OLDEST) == 1));
    assert!((0..6).any(|seed| heirs(seed, Span::ZERO) > 1));
}

/// Settings alone: what is decided today, each number its own turn and nobody another's.
#[test]
fn settings_alone_give_each_number_one_turn_a_round() {
    for (count, budget) in [(1, 5.0), (7, 1.0), (300, 19.0), (10, 100.0)] {
        let turns = Turns::new(budget, OLDEST);
        for me in 0..count {
            let view = View::settled(at(0.0), me, count).expect("a number of the fleet");
            let mine =
                (0..i64::from(turns.round(count))).filter(|turn| turns.claims(at(99.0), &view, *turn).own);
            assert_eq!(mine.count(), 1, "number {me} of {count}");
            assert!((0..50).all(|turn| turns.claims(at(99.0), &view, turn).adopted == 0));
        }
    }
}

/// The turns of the dead are not lost, and come back with them.
#[test]
fn the_next_that_is_there_adopts_the_turns_of_the_missing() {
    let mut view = View::hearing(at(0.0), 5, 8).expect("a number of the fleet");
    (0..8).filter(|number| *number != 5).for_each(|number| view.here(at(1.0), number));
    let turns = Turns::new(1.0, OLDEST);
    let adopted = |view: &View, now: f64| -> Vec<i64> {
        (0..8).filter(|turn| turns.claims(at(now), view, *turn).adopted > 0).collect()
    };
    assert!(adopted(&view, 20.0).is_empty());
    view.gone(at(20.0), 4);
    view.gone(at(20.0), 3);
    view.gone(at(20.0), 1);
    assert!(adopted(&view, 25.0).is_empty(), "others may not know yet");
    assert_eq!(adopted(&view, 27.0), [3, 4], "1 is the second's to adopt");
    view.here(at(28.0), 4);
    assert!(adopted(&view, 40.0).is_empty(), "3 is its own neighbour's again");
    view.here(at(28.0), 5);
    assert!(
        (0..8).all(|turn| turns.claims(at(50.0), &view, turn) == Default::default()),
        "two of one number"
    );
}

#[test]
fn the_smaller_side_of_a_cut_adopts_nobody() {
    for (seen, adopts) in [(3, false), (4, false), (5, true)] {
        let mut view = View::hearing(at(0.0), 0, 8).expect("a number of the fleet");
        (1..seen).for_each(|number| view.here(at(1.0), number));
        let adopted = (0..8).any(|turn| Turns::new(1.0, OLDEST).claims(at(60.0), &view, turn).adopted > 0);
        assert_eq!(adopted, adopts, "{seen} of 8 seen");
    }
}

#[test]
fn odd_figures_and_news_do_no_harm() {
    for (me, count) in [(0, 0), (3, 3), (9, 2), (0, u32::MAX)] {
        let wrong = View::settled(at(0.0), me, count).expect_err("unusable");
        assert!(wrong.to_string().contains("give") || wrong.to_string().contains("run from"), "{wrong}");
    }
    let mut view = View::hearing(at(0.0), 1, 3).expect("a number of the fleet");
    view.here(at(5.0), 700);
    view.gone(at(5.0), u32::MAX);
    view.here(at(5.0), 2);
    view.gone(at(4.0), 2);
    assert!(view.has(1) && view.has(2) && !view.has(0) && !view.has(700), "old news changes nothing");
    assert_eq!((view.present(), view.majority()), (2, true));
    assert!((view.sure(at(6.0), OLDEST) - 2.0 / 3.0).abs() < 1e-9);
    for budget in [f64::NAN, f64::INFINITY, -1.0, 0.0] {
        let turns = Turns::new(budget, OLDEST);
        let sends = turns.share(turns.claims(at(9.0), &view, i64::MIN), budget);
        assert!(budget == f64::INFINITY || sends <= 1);
    }
}
