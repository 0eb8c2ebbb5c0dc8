//! The sum of what all instances send to a fresh streamer, under views that differ: real modules, each told by its view.

use lemontide::clock::{Point, Span};
use lemontide::control::Controller;
use lemontide::interface::{Line, Sheet, Stage, Value, Wish};
use lemontide_fleet::FleetView;
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
    fn view(&self, me: u32, t: f64) -> FleetView {
        let born = self.born(me, t);
        let mut view = FleetView::from_membership(at(born), me, self.count).expect("a number of the fleet");
        let mut told: Vec<(f64, f64, u32, bool)> = Vec::new();
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
            let arrives = |nth: usize, when: f64| when.max(born) + delay(self.seed, other, me, nth);
            told.extend(
                news.iter().enumerate().map(|(nth, (when, here))| (arrives(nth, *when), *when, other, *here)),
            );
        }
        told.sort_by(|a, b| a.0.total_cmp(&b.0));
        // What came is handed over all the time, the last of it now.
        let mut told = told.into_iter().peekable();
        let beats = (0..).map(|beat| born + f64::from(beat) * 0.5).take_while(|now| *now < t);
        for now in beats.chain([t]) {
            while let Some((_, when, other, here)) = told.next_if(|(arrives, ..)| *arrives <= now) {
                if here {
                    view.mark_present(at(when), other);
                } else {
                    view.mark_absent(at(when), other);
                }
            }
            view.refresh(at(now), OLDEST);
        }
        view
    }

    /// Numbers that each running instance stands for at that second.
    fn heirs(&self, t: f64, oldest: Span) -> Vec<(u32, FleetView, Vec<u32>)> {
        let running = (0..self.count).filter(|number| self.runs(*number, t));
        let seen = running.map(|number| (number, self.view(number, t)));
        seen.map(|(number, view)| (number, view.clone(), view.numbers_to_cover(at(t), oldest))).collect()
    }

    /// The most that stand for one number at any look.
    fn most_heirs(&self, oldest: Span) -> usize {
        let most = |t: f64| {
            let heirs = self.heirs(t, oldest);
            let of = |number: u32| heirs.iter().filter(|(.., stands)| stands.contains(&number)).count();
            (0..self.count).map(of).max().unwrap_or(0)
        };
        (0..24).map(|look| most(f64::from(look) * 2.7)).max().unwrap_or(0)
    }

    /// What all modules together send to a streamer that started a moment ago, in one window from that second on, when
    /// each has as many wishes as it can send.
    fn sent(&self, t: f64, budget: f64) -> usize {
        let mut sent = 0;
        for (number, _, stands) in self.heirs(t, OLDEST) {
            let skew = (f64::from(number % 3) - 1.0) * SKEW;
            let mut module = fleet_of(self.count, number, budget, at(self.born(number, t) + skew));
            learn(&mut module, t - 1.0);
            module.stands_for(true, &stands, at(t + skew) + OLDEST);
            for step in 0..20 {
                let now = at(t + skew + f64::from(step) * WINDOW / 20.0);
                loop {
                    let before = module.results.shots.len();
                    module.take(now, &wish(step, now));
                    if module.results.shots.len() == before {
                        break;
                    }
                }
            }
            sent += module.results.shots.len();
        }
        sent
    }
}

/// Seconds in which a cold streamer holds its budget.
const WINDOW: f64 = 1.0;

/// The one streamer, started at that second.
fn learn(module: &mut Controller, started: f64) {
    let line = Line {
        streamer: "s".into(),
        zone: "here".into(),
        kind: "std".into(),
        cell: 0,
        stage: Stage::Ready,
        weight: 1.0,
        started: Some(at(started)),
    };
    module.learn(at(started), &[line], true);
}

fn wish(id: u32, now: Point) -> Wish<'static> {
    Wish {
        id,
        lane: "free",
        tenant: "",
        title: "t",
        cut_off: now + Span::of(5.0),
        home: 0,
        copies: 1,
        top: 0,
        returned: false,
        length: None,
    }
}

/// The module of one instance of a fleet whose one streamer holds so many set-ups a window at its coldest.
fn fleet_of(count: u32, me: u32, budget: f64, born: Point) -> Controller {
    let number = |name: &str, value: f64| (name.to_owned(), Value::Number(value));
    let word = |name: &str, value: &str| (name.to_owned(), Value::Text(value.to_owned()));
    let sheet: Sheet = [
        number("controllers", f64::from(count)),
        number("me", f64::from(me)),
        number("cells", 1.0),
        number("ladder.kb.0", 1.0),
        number("ladder.gain.0", 1.0),
        word("lanes.0.name", "free"),
        word("lanes.0.repeat", "free"),
        number("lanes.0.cut_off", 5.0),
        word("kinds.0", "std"),
        // Twice its pace for a window, at half its pace, over ten seconds.
        number("kind_streams.0", budget * 10.0),
        number("cold.span", 10.0),
        number("cold.from", 0.5),
        number("cold.multiple", 2.0),
        number("cold.window", WINDOW),
        number("clocks.apart", 2.0 * SKEW),
        number("link.kb_per_weight", 1e9),
        number("shots.most", 1.0),
    ]
    .into_iter()
    .collect();
    Controller::start(born, u64::from(me), &sheet)
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
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(40) })]

    /// Killed, restarted and cut in any mix, with every view up to the oldest age and clocks apart: what all modules
    /// together send never passes the budget of a window, wherever it begins, and no number has two heirs.
    #[test]
    fn all_together_stay_within_the_budget(truth in truth(), budget in 1.5..30.0f64, moments in prop::collection::vec(0.0..70.0f64, 12)) {
        for t in moments {
            let sent = truth.sent(t, budget);
            prop_assert!(sent as f64 <= budget, "{sent} of {budget} from second {t}");
        }
        let heirs = truth.most_heirs(OLDEST);
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
        truth.most_heirs(oldest)
    };
    assert!((0..6).all(|seed| heirs(seed, OLDEST) == 1));
    assert!((0..6).any(|seed| heirs(seed, Span::ZERO) > 1));
}

/// Settings alone: what is decided without a view, each number its own turns and nobody another's.
#[test]
fn settings_alone_give_each_number_its_own_turns() {
    for count in [1, 7, 300] {
        let view = FleetView::from_settings(at(0.0), count - 1, count).expect("a number of the fleet");
        assert!(view.numbers_to_cover(at(99.0), OLDEST).is_empty() && view.present_count() == count);
    }
    let mut sent = Vec::new();
    for me in 0..4 {
        let mut module = fleet_of(4, me, 1.5, at(-100.0));
        learn(&mut module, 0.0);
        // Four turns of two windows are one round.
        for step in 0..160 {
            let now = at(f64::from(step) * 0.05);
            let before = module.results.shots.len();
            module.take(now, &wish(step as u32, now));
            sent.extend((module.results.shots.len() > before).then_some((now.turn(Span::of(2.0)), me)));
        }
    }
    sent.sort_unstable();
    let turns: std::collections::BTreeSet<i64> = sent.iter().map(|(turn, _)| *turn).collect();
    assert_eq!((sent.len(), turns.len()), (4, 4), "each once, in a turn of its own: {sent:?}");
}

/// The turns of the dead are not lost, and come back with them.
#[test]
fn the_next_that_is_there_stands_for_the_missing() {
    let mut view = FleetView::from_membership(at(0.0), 5, 8).expect("a number of the fleet");
    let stands = |view: &mut FleetView, now: f64| {
        // Each second, as what is heard is handed over.
        (0..4).rev().for_each(|back| view.refresh(at(now - f64::from(back)), OLDEST));
        view.numbers_to_cover(at(now), OLDEST)
    };
    (0..8).filter(|number| *number != 5).for_each(|number| view.mark_present(at(1.0), number));
    (0..20).for_each(|now| view.refresh(at(f64::from(now)), OLDEST));
    assert!(stands(&mut view, 20.0).is_empty());
    [4, 3, 1].into_iter().for_each(|number| view.mark_absent(at(20.0), number));
    assert!(stands(&mut view, 23.0).is_empty(), "others may not know yet");
    assert_eq!(stands(&mut view, 26.0), [4, 3], "1 is the second's to stand for");
    view.mark_present(at(28.0), 4);
    assert!(stands(&mut view, 28.0).is_empty(), "3 is its own neighbour's again");
    view.mark_absent(at(28.5), 4);
    (29..40).for_each(|now| view.refresh(at(f64::from(now)), OLDEST));
    assert_eq!(stands(&mut view, 40.0), [4, 3]);
    view.mark_present(at(41.0), 5);
    assert!(stands(&mut view, 41.0).is_empty(), "two of one number");
    view.mark_absent(at(42.0), 5);
    assert_eq!(stands(&mut view, 43.0), [4, 3]);
}

/// An instance that stood still acts on no old view, and is young when it goes on.
#[test]
fn who_stood_still_stands_for_nobody_until_its_view_has_caught_up() {
    let mut view = FleetView::from_membership(at(0.0), 1, 4).expect("a number of the fleet");
    [2, 3].into_iter().for_each(|number| view.mark_present(at(1.0), number));
    (0..12).for_each(|now| view.refresh(at(f64::from(now)), OLDEST));
    assert_eq!(view.numbers_to_cover(at(11.0), OLDEST), [0], "never heard of since the start");
    assert!(
        view.numbers_to_cover(at(15.0), OLDEST).is_empty(),
        "nothing came in for longer than the oldest view"
    );
    view.refresh(at(15.0), OLDEST);
    assert!(view.numbers_to_cover(at(15.0), OLDEST).is_empty(), "others saw what it did not");
    (16..22).for_each(|now| view.refresh(at(f64::from(now)), OLDEST));
    assert_eq!(view.numbers_to_cover(at(21.0), OLDEST), [0]);
}

#[test]
fn the_smaller_side_of_a_cut_stands_for_nobody() {
    for (seen, stands) in [(3, false), (4, false), (5, true)] {
        let mut view = FleetView::from_membership(at(0.0), 0, 8).expect("a number of the fleet");
        (1..seen).for_each(|number| view.mark_present(at(1.0), number));
        (0..60).for_each(|now| view.refresh(at(f64::from(now)), OLDEST));
        assert_eq!(!view.numbers_to_cover(at(60.0), OLDEST).is_empty(), stands, "{seen} of 8 seen");
    }
}

/// Two of one number: neither sends to a cold streamer, and what stood for others lapses by itself.
#[test]
fn turns_that_are_lost_or_past_are_not_used() {
    let sent = |own: bool, missing: &[u32], until: f64| {
        let mut module = fleet_of(2, 0, 3.0, at(-100.0));
        learn(&mut module, 0.0);
        module.stands_for(own, missing, at(until));
        for step in 0..40 {
            let now = at(f64::from(step) * 0.1);
            module.take(now, &wish(step, now));
        }
        module.results.shots.len()
    };
    let (alone, with, late, doubled) =
        (sent(true, &[], 9.0), sent(true, &[1], 9.0), sent(true, &[1], -1.0), sent(false, &[], 9.0));
    assert!(with > alone && alone > 0, "{with} and {alone}");
    assert_eq!((late, doubled), (alone, 0));
}

#[test]
fn odd_figures_and_news_do_no_harm() {
    for (me, count) in [(0, 0), (3, 3), (9, 2), (0, u32::MAX)] {
        let wrong = FleetView::from_settings(at(0.0), me, count).expect_err("unusable");
        assert!(wrong.to_string().contains("give") || wrong.to_string().contains("run from"), "{wrong}");
    }
    let mut view = FleetView::from_membership(at(0.0), 1, 3).expect("a number of the fleet");
    view.mark_present(at(5.0), 700);
    view.mark_absent(at(5.0), u32::MAX);
    view.mark_present(at(5.0), 2);
    view.mark_absent(at(4.0), 2);
    assert!(
        view.is_present(1) && view.is_present(2) && !view.is_present(0) && !view.is_present(700),
        "old news changes nothing"
    );
    assert_eq!((view.present_count(), view.has_majority()), (2, true));
    assert!((view.confirmed_ratio(at(6.0), OLDEST) - 2.0 / 3.0).abs() < 1e-9);
    let mut module = fleet_of(3, 1, 2.0, at(-100.0));
    learn(&mut module, 0.0);
    module.stands_for(true, &[700, u32::MAX, 1], at(50.0));
    module.favour("nobody", true);
    for step in 0..100 {
        let now = at(f64::from(step) * 0.1);
        module.take(now, &wish(step, now));
    }
    assert!(!module.results.shots.is_empty());
}
