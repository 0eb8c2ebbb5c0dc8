//! Turns: the time slots in which an instance may send set-ups to a fresh streamer. While their views of the fleet
//! differ, all instances together must not exceed the streamer's budget, and no two may cover the same absent number.

use lemontide::clock::{Point, Span};
use lemontide::control::Controller;
use lemontide::interface::{ControllerSettings, Request, SettingValue, StreamerEntry, StreamerState};
use lemontide_fleet::FleetView;
use proptest::prelude::*;

const MAX_VIEW_AGE: Span = Span::of_millis(3000);
/// Clocks differ from true time by this much at most.
const MAX_SKEW_S: f64 = 0.3;

fn at(seconds: f64) -> Point {
    Point::at(1000.0 + seconds)
}

/// Pseudo-random delay in seconds of the n-th report about `from` on its way to `to`, below the maximum age of a view.
fn delay_s(seed: u64, from: u32, to: u32, nth: usize) -> f64 {
    let mixed =
        (seed ^ u64::from(from) << 40 ^ u64::from(to) << 20 ^ nth as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed >> 40) as f64 / (1u64 << 24) as f64 * (MAX_VIEW_AGE.seconds() - MAX_SKEW_S)
}

/// The true history of a fleet, from which the views of its instances are derived. All instances have been running for
/// long before second 0.
#[derive(Clone, Debug)]
struct History {
    count: u32,
    seed: u64,
    /// Seconds at which each instance alternately stops and starts, in order.
    switches: Vec<Vec<f64>>,
    /// From and until when the numbers below a bound don't see the others.
    partition: Option<(f64, f64, u32)>,
}

impl History {
    fn is_running(&self, number: u32, t: f64) -> bool {
        self.switches[number as usize].iter().filter(|switch| **switch <= t).count() % 2 == 0
    }

    fn last_start(&self, number: u32, t: f64) -> f64 {
        let starts = self.switches[number as usize].iter().skip(1).step_by(2);
        starts.copied().take_while(|start| *start <= t).last().unwrap_or(-100.0)
    }

    /// The view of one instance at that second: each change of another reaches it late, by up to the maximum age of a
    /// view.
    fn view(&self, own_number: u32, t: f64) -> FleetView {
        let started = self.last_start(own_number, t);
        let mut view =
            FleetView::from_membership(at(started), own_number, self.count).expect("a number of the fleet");
        let mut reports: Vec<(f64, f64, u32, bool)> = Vec::new();
        for other in (0..self.count).filter(|other| *other != own_number) {
            let mut changes: Vec<(f64, bool)> = vec![(-90.0, true)];
            let switches = self.switches[other as usize].iter().enumerate();
            changes.extend(switches.map(|(nth, switch)| (*switch, nth % 2 == 1)));
            let separated = |partition: &(f64, f64, u32)| (own_number < partition.2) != (other < partition.2);
            if let Some((from, until, _)) = self.partition.filter(separated) {
                changes.retain(|(when, _)| *when < from || *when > until);
                changes.extend([(from, false), (until, self.is_running(other, until))]);
                changes.sort_by(|a, b| a.0.total_cmp(&b.0));
            }
            let arrives =
                |nth: usize, when: f64| when.max(started) + delay_s(self.seed, other, own_number, nth);
            reports.extend(
                changes
                    .iter()
                    .enumerate()
                    .map(|(nth, (when, present))| (arrives(nth, *when), *when, other, *present)),
            );
        }
        reports.sort_by(|a, b| a.0.total_cmp(&b.0));
        // Reports are applied every half second, the last ones now.
        let mut reports = reports.into_iter().peekable();
        let refreshes = (0..).map(|nth| started + f64::from(nth) * 0.5).take_while(|now| *now < t);
        for now in refreshes.chain([t]) {
            while let Some((_, when, other, present)) = reports.next_if(|(arrives, ..)| *arrives <= now) {
                if present {
                    view.mark_present(at(when), other);
                } else {
                    view.mark_absent(at(when), other);
                }
            }
            view.refresh(at(now), MAX_VIEW_AGE);
        }
        view
    }

    /// Each running instance at that second, with the absent numbers that it covers.
    fn coverage(&self, t: f64, max_view_age: Span) -> Vec<(u32, Vec<u32>)> {
        let running = (0..self.count).filter(|number| self.is_running(*number, t));
        running.map(|number| (number, self.view(number, t).numbers_to_cover(at(t), max_view_age))).collect()
    }

    /// The largest number of instances that cover one number at any of the times checked.
    fn max_coverage(&self, max_view_age: Span) -> usize {
        let max_at = |t: f64| {
            let coverage = self.coverage(t, max_view_age);
            let covering =
                |number: u32| coverage.iter().filter(|(_, covered)| covered.contains(&number)).count();
            (0..self.count).map(covering).max().unwrap_or(0)
        };
        (0..24).map(|check| max_at(f64::from(check) * 2.7)).max().unwrap_or(0)
    }

    /// How many set-ups all instances together send to a streamer that started a second before `t`, in one window from
    /// `t` on, when each has as many requests as it can send.
    fn sent(&self, t: f64, budget: f64) -> usize {
        let mut sent = 0;
        for (number, covered) in self.coverage(t, MAX_VIEW_AGE) {
            let skew_s = (f64::from(number % 3) - 1.0) * MAX_SKEW_S;
            let mut module = fleet_of(self.count, number, budget, at(self.last_start(number, t) + skew_s));
            learn(&mut module, t - 1.0);
            module.cover_turns(true, &covered, at(t + skew_s) + MAX_VIEW_AGE);
            for step in 0..20 {
                let now = at(t + skew_s + f64::from(step) * WINDOW_S / 20.0);
                loop {
                    let before = module.actions.attempts.len();
                    module.submit(now, &request(step, now));
                    if module.actions.attempts.len() == before {
                        break;
                    }
                }
            }
            sent += module.actions.attempts.len();
        }
        sent
    }
}

/// Time in which a cold streamer must get no more than its budget.
const WINDOW_S: f64 = 1.0;

/// Registers the one streamer with the module, as started at that second.
fn learn(module: &mut Controller, started: f64) {
    let line = StreamerEntry {
        streamer: "s".into(),
        zone: "here".into(),
        kind: "std".into(),
        cell: 0,
        state: StreamerState::Ready,
        weight: 1.0,
        started_at: Some(at(started)),
    };
    module.update_list(at(started), &[line], true);
}

fn request(id: u32, now: Point) -> Request<'static> {
    Request {
        id,
        class: "free",
        tenant: "",
        title: "t",
        deadline: now + Span::of(5.0),
        first_cell: 0,
        replicas: 1,
        max_rung: 0,
        is_retry: false,
        expected_duration: None,
    }
}

/// The decision module of one instance of a fleet with one streamer, which takes `budget` set-ups in a window when it is
/// coldest.
fn fleet_of(count: u32, own_number: u32, budget: f64, started: Point) -> Controller {
    let number = |name: &str, value: f64| (name.to_owned(), SettingValue::Number(value));
    let word = |name: &str, value: &str| (name.to_owned(), SettingValue::Text(value.to_owned()));
    let settings: ControllerSettings = [
        number("controllers", f64::from(count)),
        number("me", f64::from(own_number)),
        number("cells", 1.0),
        number("ladder.kb.0", 1.0),
        number("ladder.gain.0", 1.0),
        word("lanes.0.name", "free"),
        word("lanes.0.repeat", "free"),
        number("lanes.0.cut_off", 5.0),
        word("kinds.0", "std"),
        // Ten seconds cold, from half its pace on, and in a window twice that pace.
        number("kind_streams.0", budget * 10.0),
        number("cold.span", 10.0),
        number("cold.from", 0.5),
        number("cold.multiple", 2.0),
        number("cold.window", WINDOW_S),
        number("clocks.apart", 2.0 * MAX_SKEW_S),
        number("link.kb_per_weight", 1e9),
        number("shots.most", 1.0),
    ]
    .into_iter()
    .collect();
    Controller::new(started, u64::from(own_number), &settings)
}

fn history() -> impl Strategy<Value = History> {
    let times = prop::collection::vec(0.0..60.0f64, 0..4);
    let partition = prop::option::of((0.0..40.0f64, 1.0..25.0f64, 0u32..24));
    (1u32..24, any::<u64>(), prop::collection::vec(times, 24), partition).prop_map(
        |(count, seed, mut switches, partition)| {
            switches.iter_mut().for_each(|times| times.sort_by(f64::total_cmp));
            let partition = partition.map(|(from, length_s, bound)| (from, from + length_s, bound));
            History { count, seed, switches, partition }
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(40) })]

    /// For any mix of stops, starts and a partition, with views up to the maximum age and clocks apart: all instances
    /// together never exceed the budget of a window, wherever it begins, and no number is covered twice.
    #[test]
    fn all_instances_together_stay_within_the_budget(history in history(), budget in 1.5..30.0f64, starts in prop::collection::vec(0.0..70.0f64, 12)) {
        for t in starts {
            let sent = history.sent(t, budget);
            prop_assert!(sent as f64 <= budget, "{sent} of {budget} from second {t}");
        }
        let covering = history.max_coverage(MAX_VIEW_AGE);
        prop_assert!(covering <= 1, "{covering} instances cover one number");
    }
}

/// Without the wait for other views, several instances cover the same number after some of the fleet have restarted.
#[test]
fn without_the_wait_a_number_is_covered_twice() {
    let switches = |number: u32| match number {
        9 | 10 | 17 | 18 => vec![20.0],
        11 | 12 | 19 | 20 => vec![20.0, 25.2],
        _ => Vec::new(),
    };
    let covering = |seed: u64, max_view_age: Span| {
        let history = History { count: 24, seed, switches: (0..24).map(switches).collect(), partition: None };
        history.max_coverage(max_view_age)
    };
    assert!((0..6).all(|seed| covering(seed, MAX_VIEW_AGE) == 1));
    assert!((0..6).any(|seed| covering(seed, Span::ZERO) > 1));
}

/// With settings alone each instance uses its own turns and covers no other number.
#[test]
fn settings_alone_give_each_number_its_own_turns() {
    for count in [1, 7, 300] {
        let view = FleetView::from_settings(at(0.0), count - 1, count).expect("a number of the fleet");
        assert!(view.numbers_to_cover(at(99.0), MAX_VIEW_AGE).is_empty() && view.present_count() == count);
    }
    let mut sent = Vec::new();
    for own_number in 0..4 {
        let mut module = fleet_of(4, own_number, 1.5, at(-100.0));
        learn(&mut module, 0.0);
        // Four turns of two windows each are one round.
        for step in 0..160 {
            let now = at(f64::from(step) * 0.05);
            let before = module.actions.attempts.len();
            module.submit(now, &request(step as u32, now));
            sent.extend(
                (module.actions.attempts.len() > before).then_some((now.turn(Span::of(2.0)), own_number)),
            );
        }
    }
    sent.sort_unstable();
    let turns: std::collections::BTreeSet<i64> = sent.iter().map(|(turn, _)| *turn).collect();
    assert_eq!((sent.len(), turns.len()), (4, 4), "each sends once, in its own turn: {sent:?}");
}

/// The turns of absent instances are not lost, and go back to them when they return.
#[test]
fn the_next_present_instance_covers_absent_ones() {
    let mut view = FleetView::from_membership(at(0.0), 5, 8).expect("a number of the fleet");
    let covered = |view: &mut FleetView, now: f64| {
        // Once per second, as reports are applied.
        (0..4).rev().for_each(|back| view.refresh(at(now - f64::from(back)), MAX_VIEW_AGE));
        view.numbers_to_cover(at(now), MAX_VIEW_AGE)
    };
    (0..8).filter(|number| *number != 5).for_each(|number| view.mark_present(at(1.0), number));
    (0..20).for_each(|now| view.refresh(at(f64::from(now)), MAX_VIEW_AGE));
    assert!(covered(&mut view, 20.0).is_empty());
    [4, 3, 1].into_iter().for_each(|number| view.mark_absent(at(20.0), number));
    assert!(covered(&mut view, 23.0).is_empty(), "other views may not show it yet");
    assert_eq!(covered(&mut view, 26.0), [4, 3], "1 is covered by 2");
    view.mark_present(at(28.0), 4);
    assert!(covered(&mut view, 28.0).is_empty(), "3 is covered by 4 again");
    view.mark_absent(at(28.5), 4);
    (29..40).for_each(|now| view.refresh(at(f64::from(now)), MAX_VIEW_AGE));
    assert_eq!(covered(&mut view, 40.0), [4, 3]);
    view.mark_present(at(41.0), 5);
    assert!(covered(&mut view, 41.0).is_empty(), "another instance runs under the own number");
    view.mark_absent(at(42.0), 5);
    assert_eq!(covered(&mut view, 43.0), [4, 3]);
}

/// An instance that stalled does not act on its old view, and counts as newly started when it continues.
#[test]
fn a_stalled_instance_covers_no_number_until_its_view_is_reliable_again() {
    let mut view = FleetView::from_membership(at(0.0), 1, 4).expect("a number of the fleet");
    [2, 3].into_iter().for_each(|number| view.mark_present(at(1.0), number));
    (0..12).for_each(|now| view.refresh(at(f64::from(now)), MAX_VIEW_AGE));
    assert_eq!(view.numbers_to_cover(at(11.0), MAX_VIEW_AGE), [0], "never reported since the start");
    assert!(
        view.numbers_to_cover(at(15.0), MAX_VIEW_AGE).is_empty(),
        "the view was not refreshed for longer than its maximum age"
    );
    view.refresh(at(15.0), MAX_VIEW_AGE);
    assert!(
        view.numbers_to_cover(at(15.0), MAX_VIEW_AGE).is_empty(),
        "other instances saw what this one missed"
    );
    (16..22).for_each(|now| view.refresh(at(f64::from(now)), MAX_VIEW_AGE));
    assert_eq!(view.numbers_to_cover(at(21.0), MAX_VIEW_AGE), [0]);
}

#[test]
fn the_smaller_side_of_a_partition_covers_no_number() {
    for (present, covers) in [(3, false), (4, false), (5, true)] {
        let mut view = FleetView::from_membership(at(0.0), 0, 8).expect("a number of the fleet");
        (1..present).for_each(|number| view.mark_present(at(1.0), number));
        (0..60).for_each(|now| view.refresh(at(f64::from(now)), MAX_VIEW_AGE));
        assert_eq!(
            !view.numbers_to_cover(at(60.0), MAX_VIEW_AGE).is_empty(),
            covers,
            "{present} of 8 present"
        );
    }
}

/// Of two instances under one number neither sends to a cold streamer, and the cover for others expires by itself.
#[test]
fn lost_or_expired_turns_are_not_used() {
    let sent = |own: bool, covered: &[u32], until: f64| {
        let mut module = fleet_of(2, 0, 3.0, at(-100.0));
        learn(&mut module, 0.0);
        module.cover_turns(own, covered, at(until));
        for step in 0..40 {
            let now = at(f64::from(step) * 0.1);
            module.submit(now, &request(step, now));
        }
        module.actions.attempts.len()
    };
    let (own, covering, expired, duplicate) =
        (sent(true, &[], 9.0), sent(true, &[1], 9.0), sent(true, &[1], -1.0), sent(false, &[], 9.0));
    assert!(covering > own && own > 0, "{covering} and {own}");
    assert_eq!((expired, duplicate), (own, 0));
}

#[test]
fn invalid_settings_and_reports_do_no_harm() {
    for (own_number, count) in [(0, 0), (3, 3), (9, 2), (0, u32::MAX)] {
        let error = FleetView::from_settings(at(0.0), own_number, count).expect_err("invalid settings");
        assert!(error.to_string().contains("give") || error.to_string().contains("run from"), "{error}");
    }
    let mut view = FleetView::from_membership(at(0.0), 1, 3).expect("a number of the fleet");
    view.mark_present(at(5.0), 700);
    view.mark_absent(at(5.0), u32::MAX);
    view.mark_present(at(5.0), 2);
    view.mark_absent(at(4.0), 2);
    assert!(
        view.is_present(1) && view.is_present(2) && !view.is_present(0) && !view.is_present(700),
        "an old report changes nothing"
    );
    assert_eq!((view.present_count(), view.has_majority()), (2, true));
    assert!((view.confirmed_ratio(at(6.0), MAX_VIEW_AGE) - 2.0 / 3.0).abs() < 1e-9);
    let mut module = fleet_of(3, 1, 2.0, at(-100.0));
    learn(&mut module, 0.0);
    module.cover_turns(true, &[700, u32::MAX, 1], at(50.0));
    module.set_preferred("nobody", true);
    for step in 0..100 {
        let now = at(f64::from(step) * 0.1);
        module.submit(now, &request(step, now));
    }
    assert!(!module.actions.attempts.is_empty());
}
