//! A slow, simple model of the six rules runs next to the decision module on generated sequences of events: both must
//! agree on what is allowed. Two controllers that share nothing use the same streamers.

mod common;

use common::*;
use lemontide::clock::{Point, Span};
use lemontide::control::{Controller, SessionHandle};
use lemontide::interface::{AttemptOutcome, ControllerSettings, Load, SettingValue, StreamerState};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

const MAX_SESSIONS_PER_TITLE: usize = 2;
const MAX_ATTEMPTS: u32 = 3;
/// Least number of retries, retries per request, and window in seconds.
const RETRY_BUDGET: (f64, f64, f64) = (2.0, 0.3, 5.0);

/// One event; `pick` chooses among the sessions or probes that it can concern.
#[derive(Clone, Debug)]
enum Step {
    Request { controller: usize, at_most_once: bool, title: usize, patience: f64 },
    EndAttempt { pick: usize, outcome: AttemptOutcome },
    StartPlaying { pick: usize },
    ViewerLeaves { pick: usize },
    ListChange { cell: usize, state: StreamerState, restarted: bool },
    ReportLoad { pick: usize, utilization: f64 },
    FinishProbe { pick: usize, succeeded: bool, utilization: f64 },
    PassTime { seconds: f64 },
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        Just(AttemptOutcome::Errored),
        Just(AttemptOutcome::Refused),
        Just(AttemptOutcome::NoConnection),
        Just(AttemptOutcome::ConnectionLost),
        Just(AttemptOutcome::Cancelled),
        Just(AttemptOutcome::Unknown),
    ];
    let ready = Just(StreamerState::Ready);
    let state = prop_oneof![3 => ready, 1 => Just(StreamerState::Draining), 1 => Just(StreamerState::Gone)];
    prop_oneof![
        6 => (0..2usize, any::<bool>(), 0..4usize, 0.2..4.0)
            .prop_map(|(controller, at_most_once, title, patience)| Step::Request { controller, at_most_once, title, patience }),
        3 => (any::<usize>(), outcome).prop_map(|(pick, outcome)| Step::EndAttempt { pick, outcome }),
        3 => any::<usize>().prop_map(|pick| Step::StartPlaying { pick }),
        1 => any::<usize>().prop_map(|pick| Step::ViewerLeaves { pick }),
        1 => (0..STREAMERS, state, any::<bool>()).prop_map(|(cell, state, restarted)| Step::ListChange {
            cell, state, restarted
        }),
        2 => (any::<usize>(), 0.0..1.6).prop_map(|(pick, utilization)| Step::ReportLoad { pick, utilization }),
        4 => (any::<usize>(), any::<bool>(), 0.0..1.6)
            .prop_map(|(pick, succeeded, utilization)| Step::FinishProbe { pick, succeeded, utilization }),
        3 => (0.01..1.5).prop_map(|seconds| Step::PassTime { seconds }),
    ]
}

/// The first controller can probe streamers, the second can't. In the alternative fleet the free class is live, the list
/// is available on request, no load reports come by themselves, and only probes report the load of links.
fn model_settings(number: usize, alternative_fleet: bool, extra: &[(&str, f64)]) -> ControllerSettings {
    let fleet_settings = [("ladder.join", 0.2), ("notes.every", 0.0), ("list.ask_within", 5.0)];
    let fleet_settings = if alternative_fleet { &fleet_settings[..] } else { &[] };
    let mut settings = controller_settings(number, 2, &[extra, fleet_settings].concat());
    settings.insert("looks.allowed".to_owned(), SettingValue::Flag(number == 0));
    for name in ["lane_live.0", "list.on_request"] {
        settings.insert(name.to_owned(), SettingValue::Flag(alternative_fleet));
    }
    let reported_by = if alternative_fleet { "looks" } else { "answers" };
    settings.insert("links.told".to_owned(), SettingValue::Text(reported_by.to_owned()));
    settings
}

/// What the model knows of one session.
#[derive(Default)]
struct ModelSession {
    controller: usize,
    handle: Option<SessionHandle>,
    at_most_once: bool,
    title: usize,
    deadline: Point,
    attempts: u32,
    may_have_run: bool,
    /// Until when its attempt is outstanding.
    outstanding_until: Option<Point>,
    is_playing: bool,
    /// Final answers that it got.
    answers: u32,
    /// The viewer left, or its stream ended: it gets no answer.
    is_over: bool,
    /// Until when it can wait for probes.
    can_wait_until: Point,
}

impl ModelSession {
    fn is_placed(&self) -> bool {
        self.outstanding_until.is_some() || self.is_playing
    }
}

struct Model {
    now: Point,
    controllers: Vec<Controller>,
    sessions: BTreeMap<u32, ModelSession>,
    ready: Vec<bool>,
    started_at: Vec<Option<Point>>,
    requests: Vec<Vec<Point>>,
    retries: Vec<Vec<Point>>,
    /// Sends of both controllers to each streamer while it was cold.
    cold_sends: Vec<Vec<Point>>,
    /// Outstanding probes, with their controller.
    probes: Vec<(usize, Arc<str>)>,
}

impl Model {
    fn new(alternative_fleet: bool) -> Model {
        let now = Point::at(1000.0);
        let extra = [
            ("lane_seats.0", MAX_SESSIONS_PER_TITLE as f64),
            ("shots.most", f64::from(MAX_ATTEMPTS)),
            ("ration.floor", RETRY_BUDGET.0),
            ("ration.share", RETRY_BUDGET.1),
            ("ration.window", RETRY_BUDGET.2),
        ];
        let mut controllers: Vec<_> = (0..2)
            .map(|number| {
                Controller::new(now, number as u64, &model_settings(number, alternative_fleet, &extra))
            })
            .collect();
        for controller in &mut controllers {
            controller.update_list(now, &fleet(), true);
        }
        Model {
            now,
            controllers,
            sessions: BTreeMap::new(),
            ready: vec![true; STREAMERS],
            started_at: vec![None; STREAMERS],
            requests: vec![Vec::new(); 2],
            retries: vec![Vec::new(); 2],
            cold_sends: vec![Vec::new(); STREAMERS],
            probes: Vec::new(),
        }
    }

    /// Whether the model allows this session an attempt, at whatever streamer.
    fn allows_attempt(&self, session: &ModelSession) -> bool {
        let (min_retries, share, window) = RETRY_BUDGET;
        let recent =
            |times: &[Point]| times.iter().filter(|t| (self.now - **t).seconds() <= window).count() as f64;
        let same_title = self.sessions.values().filter(|s| {
            s.controller == session.controller && s.title == session.title && !s.at_most_once && s.is_placed()
        });
        session.outstanding_until.is_none()
            && !session.is_playing
            && session.answers == 0
            && session.attempts < MAX_ATTEMPTS
            && !(session.at_most_once && session.may_have_run)
            && (session.at_most_once || same_title.count() < MAX_SESSIONS_PER_TITLE)
            && (session.attempts == 0
                || recent(&self.retries[session.controller])
                    < min_retries + share * recent(&self.requests[session.controller]))
    }

    /// Checks and carries out the actions of a controller.
    fn check_actions(&mut self, controller: usize) {
        let actions = std::mem::take(&mut self.controllers[controller].actions);
        for (id, rung) in &actions.rung_changes {
            let session = &self.sessions[id];
            assert!(
                *rung <= 4 && *rung >= usize::from(session.at_most_once),
                "rung {rung} is outside the class's rungs"
            );
        }
        for attempt in &actions.attempts {
            assert!(
                actions.rung_changes.iter().any(|(id, _)| *id == attempt.session),
                "an attempt without its rung"
            );
            let cell: usize = attempt.streamer[1..].parse().expect("a streamer of the fleet");
            assert!(self.ready[cell], "sent to {} after the list had it draining or gone", attempt.streamer);
            assert!(
                holds(&attempt.streamer, self.sessions[&attempt.session].title),
                "the streamer does not hold the title"
            );
            assert!(
                self.allows_attempt(&self.sessions[&attempt.session]),
                "an attempt that the rules forbid"
            );
            if self.started_at[cell].is_some_and(|s| (self.now - s).seconds() < WARM_UP_S) {
                self.cold_sends[cell].push(self.now);
            }
            let now = self.now;
            let session = self.sessions.get_mut(&attempt.session).expect("known");
            assert!(
                attempt.timeout > Span::ZERO && now + attempt.timeout <= session.deadline,
                "past the deadline"
            );
            if session.attempts > 0 {
                self.retries[controller].push(now);
            }
            session.attempts += 1;
            session.outstanding_until = Some(now + attempt.timeout);
        }
        for (id, retry_after) in &actions.rejected {
            let session = self.sessions.get_mut(id).expect("known");
            assert!(
                !(session.at_most_once && session.may_have_run)
                    && session.outstanding_until.is_none()
                    && !session.is_playing,
                "rejected although an attempt may have run"
            );
            assert!(retry_after.is_some(), "rejected without a time to retry after");
            session.answers += 1;
        }
        for id in &actions.failed {
            let session = self.sessions.get_mut(id).expect("known");
            assert!(
                session.outstanding_until.is_none() && !session.is_playing,
                "failed with an attempt outstanding"
            );
            assert!(session.at_most_once && session.may_have_run, "failed although it could be rejected");
            session.answers += 1;
        }
        self.probes.extend(actions.probes.into_iter().map(|streamer| (controller, streamer)));
        // A session that waits for a probe is answered within some ticks. Any other one without an outstanding attempt
        // or a stream must have its final answer by now.
        for (id, session) in self.sessions.iter().filter(|(_, s)| s.controller == controller && !s.is_over) {
            let can_wait = controller == 0
                && session.attempts == 0
                && session.answers == 0
                && self.now < session.can_wait_until;
            let expected = u32::from(!session.is_placed() && !can_wait);
            assert_eq!(expected, session.answers, "session {id} lacks its one answer");
        }
    }

    fn end_attempt(&mut self, id: u32, outcome: AttemptOutcome) {
        let session = self.sessions.get_mut(&id).expect("known");
        let (controller, is_over) = (session.controller, session.is_playing || session.is_over);
        (session.outstanding_until, session.is_playing, session.is_over) = (None, false, is_over);
        session.may_have_run |= !matches!(
            outcome,
            AttemptOutcome::Refused | AttemptOutcome::NoConnection | AttemptOutcome::NotSent
        );
        if let Some(handle) = session.handle {
            handle.attempt_ended(
                &mut self.controllers[controller],
                self.now,
                outcome,
                is_over,
                Load::default(),
            );
            self.check_actions(controller);
            // The same report again concerns no session, or no outstanding attempt, and must have no effect.
            if self.sessions[&id].answers > 0 || is_over {
                handle.attempt_ended(
                    &mut self.controllers[controller],
                    self.now,
                    outcome,
                    true,
                    Load::of_link(0.5),
                );
                handle.viewer_left(&mut self.controllers[controller]);
            }
        }
    }

    /// Advances time in ticks, with timeouts of attempts and ticks of the controllers.
    fn pass_time(&mut self, until: Point) {
        while self.now < until {
            let tick = until.min(self.now + seconds(0.25));
            loop {
                let due = self.sessions.iter().filter_map(|(id, s)| Some((s.outstanding_until?, *id))).min();
                let Some((at, id)) = due.filter(|(at, _)| *at <= tick) else { break };
                self.now = self.now.max(at);
                self.end_attempt(id, AttemptOutcome::TimedOut);
            }
            self.now = tick;
            for controller in 0..2 {
                self.controllers[controller].tick(self.now);
                self.check_actions(controller);
            }
        }
    }

    fn pick(&self, pick: usize, wanted: impl Fn(&ModelSession) -> bool) -> Option<u32> {
        let ids: Vec<u32> = self.sessions.iter().filter(|(_, s)| wanted(s)).map(|(id, _)| *id).collect();
        (!ids.is_empty()).then(|| ids[pick % ids.len()])
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::Request { controller, at_most_once, title, patience } => {
                let id = self.sessions.len() as u32;
                let (class, deadline) =
                    (if at_most_once { PAID } else { FREE }, self.now + seconds(patience));
                let can_wait_until = self.now + seconds(2.0);
                let session = ModelSession {
                    controller,
                    at_most_once,
                    title,
                    deadline,
                    can_wait_until,
                    ..ModelSession::default()
                };
                self.requests[controller].push(self.now);
                self.sessions.insert(id, session);
                let name = format!("t{title}");
                let handle = self.controllers[controller]
                    .submit(self.now, &request(id, class, &name, title, deadline));
                self.sessions.get_mut(&id).expect("just inserted").handle = Some(handle);
                self.check_actions(controller);
            }
            Step::EndAttempt { pick, outcome } => {
                if let Some(id) = self.pick(pick, ModelSession::is_placed) {
                    self.end_attempt(id, outcome);
                }
            }
            Step::StartPlaying { pick } => {
                if let Some(id) = self.pick(pick, |s| s.outstanding_until.is_some() && !s.is_over) {
                    let session = self.sessions.get_mut(&id).expect("known");
                    (session.outstanding_until, session.is_playing) = (None, true);
                    session
                        .handle
                        .expect("submitted")
                        .playing(&mut self.controllers[session.controller], self.now);
                }
            }
            Step::ViewerLeaves { pick } => {
                if let Some(id) = self.pick(pick, |s| s.outstanding_until.is_some() && !s.is_over) {
                    let session = self.sessions.get_mut(&id).expect("known");
                    session.is_over = true;
                    session.handle.expect("submitted").viewer_left(&mut self.controllers[session.controller]);
                }
            }
            Step::ListChange { cell, state, restarted } => {
                self.ready[cell] = state == StreamerState::Ready;
                if restarted {
                    self.started_at[cell] = Some(self.now);
                    self.cold_sends[cell].clear();
                }
                for controller in 0..2 {
                    let entries = [entry(cell, state, self.started_at[cell])];
                    self.controllers[controller].update_list(self.now, &entries, false);
                    self.check_actions(controller);
                }
            }
            Step::ReportLoad { pick, utilization } => {
                if let Some(id) = self.pick(pick, |s| s.is_playing) {
                    let controller = self.sessions[&id].controller;
                    let handle = self.sessions[&id].handle.expect("submitted");
                    handle.load_reported(
                        &mut self.controllers[controller],
                        self.now,
                        Load::of_link(utilization),
                    );
                    handle.shortfall_reported(
                        &mut self.controllers[controller],
                        self.now,
                        1.0 / utilization.max(1.0),
                    );
                    self.check_actions(controller);
                }
            }
            Step::FinishProbe { pick, succeeded, utilization } if !self.probes.is_empty() => {
                let (controller, streamer) = self.probes.swap_remove(pick % self.probes.len());
                let load = if succeeded { Load::of_link(utilization) } else { Load::default() };
                self.controllers[controller].probe_finished(self.now, &streamer, succeeded, load);
                self.check_actions(controller);
            }
            Step::FinishProbe { .. } => {}
            Step::PassTime { seconds: duration_s } => self.pass_time(self.now + seconds(duration_s)),
        }
    }

    /// Rule 4 as a budget: in no window do both controllers together send more to a cold streamer than it allows.
    fn check_cold_budget(&self) {
        let budget = 30.0 / WARM_UP_S * 0.5 * 2.5 * 1.0;
        for sends in &self.cold_sends {
            for first in sends {
                let window = sends.iter().filter(|t| *t >= first && (**t - *first).seconds() < 1.0);
                assert!((window.count() as f64) <= budget, "a cold streamer got more than its budget");
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
        alternative_fleet in any::<bool>(),
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut model = Model::new(alternative_fleet);
        for step in &steps {
            model.run(step);
        }
        model.pass_time(model.now + seconds(10.0));
        model.check_cold_budget();
    }
}
