//! A slow, plain model of the six rules beside the module, on generated days: the two must agree on what is
//! allowed. Two controllers that share nothing meet the same streamers.

mod common;

use common::*;
use lemontide::clock::{Point, Span};
use lemontide::control::{Controller, SessionHandle};
use lemontide::interface::{AttemptOutcome, ControllerSettings, Load, SettingValue, StreamerState};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

const SEATS: usize = 2;
const MOST: u32 = 3;
const RATION: (f64, f64, f64) = (2.0, 0.3, 5.0);

#[derive(Clone, Debug)]
enum Step {
    Wish { to: usize, paid: bool, title: usize, patience: f64 },
    End { pick: usize, ending: AttemptOutcome },
    Play { pick: usize },
    Leave { pick: usize },
    Stage { cell: usize, stage: StreamerState, restarted: bool },
    Full { pick: usize, full: f64 },
    Look { pick: usize, sound: bool, full: f64 },
    Pass { seconds: f64 },
}

fn step() -> impl Strategy<Value = Step> {
    let ending = prop_oneof![
        Just(AttemptOutcome::Errored),
        Just(AttemptOutcome::Refused),
        Just(AttemptOutcome::NoConnection),
        Just(AttemptOutcome::ConnectionLost),
        Just(AttemptOutcome::Cancelled),
        Just(AttemptOutcome::Unknown),
    ];
    let ready = Just(StreamerState::Ready);
    let stage = prop_oneof![3 => ready, 1 => Just(StreamerState::Draining), 1 => Just(StreamerState::Gone)];
    prop_oneof![
        6 => (0..2usize, any::<bool>(), 0..4usize, 0.2..4.0)
            .prop_map(|(to, paid, title, patience)| Step::Wish { to, paid, title, patience }),
        3 => (any::<usize>(), ending).prop_map(|(pick, ending)| Step::End { pick, ending }),
        3 => any::<usize>().prop_map(|pick| Step::Play { pick }),
        1 => any::<usize>().prop_map(|pick| Step::Leave { pick }),
        1 => (0..STREAMERS, stage, any::<bool>()).prop_map(|(cell, stage, restarted)| Step::Stage {
            cell, stage, restarted
        }),
        2 => (any::<usize>(), 0.0..1.6).prop_map(|(pick, full)| Step::Full { pick, full }),
        4 => (any::<usize>(), any::<bool>(), 0.0..1.6)
            .prop_map(|(pick, sound, full)| Step::Look { pick, sound, full }),
        3 => (0.01..1.5).prop_map(|seconds| Step::Pass { seconds }),
    ]
}

/// The first controller may look at streamers, the second may not. On a fleet of another shape the free lane is live,
/// the list comes on request, no notes come, and looks alone tell of links.
fn settings(me: usize, other_shape: bool, more: &[(&str, f64)]) -> ControllerSettings {
    let shape = [("ladder.join", 0.2), ("notes.every", 0.0), ("list.ask_within", 5.0)];
    let shape = if other_shape { &shape[..] } else { &[] };
    let mut sheet = sheet(me, 2, &[more, shape].concat());
    sheet.insert("looks.allowed".to_owned(), SettingValue::Flag(me == 0));
    for name in ["lane_live.0", "list.on_request"] {
        sheet.insert(name.to_owned(), SettingValue::Flag(other_shape));
    }
    let told = if other_shape { "looks" } else { "answers" };
    sheet.insert("links.told".to_owned(), SettingValue::Text(told.to_owned()));
    sheet
}

/// What the model knows of one subscription.
#[derive(Default)]
struct Case {
    to: usize,
    handle: Option<SessionHandle>,
    paid: bool,
    title: usize,
    cut_off: Point,
    shots: u32,
    ran: bool,
    /// Until when its shot is out, and whether it plays.
    out: Option<Point>,
    plays: bool,
    answered: u32,
    gone: bool,
    /// Until when it may wait for looks.
    waits: Point,
}

impl Case {
    fn seated(&self) -> bool {
        self.out.is_some() || self.plays
    }
}

struct Model {
    now: Point,
    controllers: Vec<Controller>,
    cases: BTreeMap<u32, Case>,
    ready: Vec<bool>,
    started: Vec<Option<Point>>,
    taken: Vec<Vec<Point>>,
    further: Vec<Vec<Point>>,
    /// Sends to streamers while they were cold, by both controllers.
    cold: Vec<Vec<Point>>,
    /// Looks under way, by controller.
    looks: Vec<(usize, Arc<str>)>,
}

impl Model {
    fn new(other_shape: bool) -> Model {
        let now = Point::at(1000.0);
        let more = [
            ("lane_seats.0", SEATS as f64),
            ("shots.most", f64::from(MOST)),
            ("ration.floor", RATION.0),
            ("ration.share", RATION.1),
            ("ration.window", RATION.2),
        ];
        let mut controllers: Vec<_> =
            (0..2).map(|me| Controller::new(now, me as u64, &settings(me, other_shape, &more))).collect();
        for controller in &mut controllers {
            controller.update_list(now, &fleet(), true);
        }
        Model {
            now,
            controllers,
            cases: BTreeMap::new(),
            ready: vec![true; STREAMERS],
            started: vec![None; STREAMERS],
            taken: vec![Vec::new(); 2],
            further: vec![Vec::new(); 2],
            cold: vec![Vec::new(); STREAMERS],
            looks: Vec::new(),
        }
    }

    /// Whether the model would let this case have a shot, whatever the streamer.
    fn may_shoot(&self, case: &Case) -> bool {
        let (floor, share, window) = RATION;
        let recent =
            |times: &[Point]| times.iter().filter(|t| (self.now - **t).seconds() <= window).count() as f64;
        let mates =
            self.cases.values().filter(|c| c.to == case.to && c.title == case.title && !c.paid && c.seated());
        case.out.is_none()
            && !case.plays
            && case.answered == 0
            && case.shots < MOST
            && !(case.paid && case.ran)
            && (case.paid || mates.count() < SEATS)
            && (case.shots == 0
                || recent(&self.further[case.to]) < floor + share * recent(&self.taken[case.to]))
    }

    /// Checks and carries out what a controller wants done.
    fn obey(&mut self, to: usize) {
        let results = std::mem::take(&mut self.controllers[to].actions);
        for (id, rung) in &results.rung_changes {
            let case = &self.cases[id];
            assert!(*rung <= 4 && *rung >= usize::from(case.paid), "rung {rung} is off the terms");
        }
        for shot in &results.attempts {
            assert!(
                results.rung_changes.iter().any(|(id, _)| *id == shot.session),
                "a shot without its rung"
            );
            let cell: usize = shot.streamer[1..].parse().expect("a streamer of the fleet");
            assert!(self.ready[cell], "sent to {} after it was told to drain", shot.streamer);
            assert!(holds(&shot.streamer, self.cases[&shot.session].title), "the title is not there");
            assert!(self.may_shoot(&self.cases[&shot.session]), "a shot that the rules forbid");
            if self.started[cell].is_some_and(|s| (self.now - s).seconds() < COLD) {
                self.cold[cell].push(self.now);
            }
            let now = self.now;
            let case = self.cases.get_mut(&shot.session).expect("known");
            assert!(shot.timeout > Span::ZERO && now + shot.timeout <= case.cut_off, "past the cut-off");
            if case.shots > 0 {
                self.further[to].push(now);
            }
            case.shots += 1;
            case.out = Some(now + shot.timeout);
        }
        for (id, after) in &results.rejected {
            let case = self.cases.get_mut(id).expect("known");
            assert!(
                !(case.paid && case.ran) && case.out.is_none() && !case.plays,
                "a turn-back that may lie"
            );
            assert!(after.is_some(), "no word on when to come again");
            case.answered += 1;
        }
        for id in &results.failed {
            let case = self.cases.get_mut(id).expect("known");
            assert!(case.out.is_none() && !case.plays, "scrapped with a shot out");
            assert!(case.paid && case.ran, "scrapped though it could be turned back");
            case.answered += 1;
        }
        self.looks.extend(results.probes.into_iter().map(|streamer| (to, streamer)));
        // Who waits for a look is answered within some beats; else an answer is owed at once: whoever has no shot out
        // and does not play was answered just now.
        for (id, case) in self.cases.iter().filter(|(_, c)| c.to == to && !c.gone) {
            let waits = to == 0 && case.shots == 0 && case.answered == 0 && self.now < case.waits;
            let owed = u32::from(!case.seated() && !waits);
            assert_eq!(owed, case.answered, "subscription {id} lacks its one answer");
        }
    }

    fn end(&mut self, id: u32, ending: AttemptOutcome) {
        let case = self.cases.get_mut(&id).expect("known");
        let (to, over) = (case.to, case.plays || case.gone);
        (case.out, case.plays, case.gone) = (None, false, over);
        case.ran |= !matches!(
            ending,
            AttemptOutcome::Refused | AttemptOutcome::NoConnection | AttemptOutcome::NotSent
        );
        if let Some(handle) = case.handle {
            handle.attempt_ended(&mut self.controllers[to], self.now, ending, over, Load::default());
            self.obey(to);
            // The same news again finds nobody, or a shot that is not out: it must do no harm.
            if self.cases[&id].answered > 0 || over {
                handle.attempt_ended(&mut self.controllers[to], self.now, ending, true, Load::of_link(0.5));
                handle.viewer_left(&mut self.controllers[to]);
            }
        }
    }

    /// Lets time go by in beats: shots run out, controllers are woken.
    fn pass(&mut self, until: Point) {
        while self.now < until {
            let beat = until.min(self.now + seconds(0.25));
            loop {
                let due = self.cases.iter().filter_map(|(id, c)| Some((c.out?, *id))).min();
                let Some((at, id)) = due.filter(|(at, _)| *at <= beat) else { break };
                self.now = self.now.max(at);
                self.end(id, AttemptOutcome::TimedOut);
            }
            self.now = beat;
            for to in 0..2 {
                self.controllers[to].tick(self.now);
                self.obey(to);
            }
        }
    }

    fn pick(&self, pick: usize, wanted: impl Fn(&Case) -> bool) -> Option<u32> {
        let ids: Vec<u32> = self.cases.iter().filter(|(_, c)| wanted(c)).map(|(id, _)| *id).collect();
        (!ids.is_empty()).then(|| ids[pick % ids.len()])
    }

    fn play(&mut self, step: &Step) {
        match *step {
            Step::Wish { to, paid, title, patience } => {
                let id = self.cases.len() as u32;
                let (lane, cut_off) = (if paid { PAID } else { FREE }, self.now + seconds(patience));
                let waits = self.now + seconds(2.0);
                let case = Case { to, paid, title, cut_off, waits, ..Case::default() };
                self.taken[to].push(self.now);
                self.cases.insert(id, case);
                let name = format!("t{title}");
                let handle = self.controllers[to].submit(self.now, &wish(id, lane, &name, title, cut_off));
                self.cases.get_mut(&id).expect("just entered").handle = Some(handle);
                self.obey(to);
            }
            Step::End { pick, ending } => {
                if let Some(id) = self.pick(pick, Case::seated) {
                    self.end(id, ending);
                }
            }
            Step::Play { pick } => {
                if let Some(id) = self.pick(pick, |c| c.out.is_some() && !c.gone) {
                    let case = self.cases.get_mut(&id).expect("known");
                    (case.out, case.plays) = (None, true);
                    case.handle.expect("taken").playing(&mut self.controllers[case.to], self.now);
                }
            }
            Step::Leave { pick } => {
                if let Some(id) = self.pick(pick, |c| c.out.is_some() && !c.gone) {
                    let case = self.cases.get_mut(&id).expect("known");
                    case.gone = true;
                    case.handle.expect("taken").viewer_left(&mut self.controllers[case.to]);
                }
            }
            Step::Stage { cell, stage, restarted } => {
                self.ready[cell] = stage == StreamerState::Ready;
                if restarted {
                    self.started[cell] = Some(self.now);
                    self.cold[cell].clear();
                }
                for to in 0..2 {
                    let lines = [line(cell, stage, self.started[cell])];
                    self.controllers[to].update_list(self.now, &lines, false);
                    self.obey(to);
                }
            }
            Step::Full { pick, full } => {
                if let Some(id) = self.pick(pick, |c| c.plays) {
                    let to = self.cases[&id].to;
                    let handle = self.cases[&id].handle.expect("taken");
                    handle.load_reported(&mut self.controllers[to], self.now, Load::of_link(full));
                    handle.shortfall_reported(&mut self.controllers[to], self.now, 1.0 / full.max(1.0));
                    self.obey(to);
                }
            }
            Step::Look { pick, sound, full } if !self.looks.is_empty() => {
                let (to, streamer) = self.looks.swap_remove(pick % self.looks.len());
                let load = if sound { Load::of_link(full) } else { Load::default() };
                self.controllers[to].probe_finished(self.now, &streamer, sound, load);
                self.obey(to);
            }
            Step::Look { .. } => {}
            Step::Pass { seconds: s } => self.pass(self.now + seconds(s)),
        }
    }

    /// Rule 4 as a budget: in no window did both controllers together send a cold streamer too much.
    fn check_cold(&self) {
        let budget = 30.0 / COLD * 0.5 * 2.5 * 1.0;
        for sends in &self.cold {
            for first in sends {
                let window = sends.iter().filter(|t| *t >= first && (**t - *first).seconds() < 1.0);
                assert!((window.count() as f64) <= budget, "a cold streamer was pushed over");
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_201),
        ..ProptestConfig::default()
    })]

    #[test]
    fn module_and_model_agree_on_what_is_allowed(
        other_shape in any::<bool>(),
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut model = Model::new(other_shape);
        for step in &steps {
            model.play(step);
        }
        model.pass(model.now + seconds(10.0));
        model.check_cold();
    }
}
