//! The rule checks: correct records pass, and for each rule altered records show a violation.

use lemontide_standin::judge::check_rules;
use lemontide_wire::list::StreamerState;
use lemontide_wire::tap::{
    ClassRules, ColdStartRules, JudgeRules, ResponseKind, RetryBudget, TapEvent, TapOutcome, TapRecord,
};

fn class(name: &str, at_most_once: bool) -> ClassRules {
    ClassRules { name: name.into(), gain: 1.0, at_most_once, min_rung: 1, max_sessions_per_title: 2 }
}

fn record(at: f64, endpoint: &str, event: TapEvent) -> TapRecord {
    TapRecord { at, endpoint: endpoint.into(), event }
}

fn rules() -> TapRecord {
    let cold_start = ColdStartRules {
        max_streams: 10.0,
        warm_up_s: 10.0,
        initial_part: 0.5,
        overload_multiple: 2.0,
        window_s: 1.0,
    };
    let rules = JudgeRules {
        answer_slack_s: 0.1,
        drain_grace_s: 0.5,
        cold_start,
        retry_budget: Some(RetryBudget { min_retries: 1.0, request_share: 0.1, window_s: 5.0 }),
        classes: vec![class("free", false), class("paid", true)],
        gain_by_rung: vec![0.5, 1.0],
        shortfall_cost: 5.0,
    };
    record(0.0, "day", TapEvent::Rules { rules })
}

fn request(at: f64, id: &str, class: &str) -> Vec<TapRecord> {
    let (id, title) = (id.to_owned(), "t".to_owned());
    let sent = TapEvent::RequestSent {
        request_id: id.clone(),
        viewer: id.clone(),
        controller: 0,
        class: class.into(),
        title: title.clone(),
        latency_goal: at + 1.0,
        deadline: at + 3.0,
        max_rung: 1,
        wanted_s: 10.0,
    };
    let received =
        TapEvent::RequestReceived { request_id: id, class: class.into(), title, deadline: at + 3.0 };
    vec![record(at, "players", sent), record(at, "controller:0", received)]
}

fn attempt(at: f64, id: &str, class: &str, attempt: u32, rung: usize) -> Vec<TapRecord> {
    let (id, title, streamer, class) = (id.to_owned(), "t".to_owned(), "s0".to_owned(), class.to_owned());
    let sent = TapEvent::AttemptSent {
        request_id: id.clone(),
        attempt,
        streamer: streamer.clone(),
        class: class.clone(),
        title: title.clone(),
        rung,
    };
    let received =
        TapEvent::AttemptReceived { streamer, controller: 0, request_id: id, attempt, class, title, rung };
    vec![record(at, "controller:0", sent), record(at + 0.001, "streamer:s0", received)]
}

fn ended(at: f64, id: &str, attempt: u32, outcome: TapOutcome) -> Vec<TapRecord> {
    let (id, streamer) = (id.to_owned(), "s0".to_owned());
    let received = TapEvent::OutcomeReceived { request_id: id.clone(), attempt, outcome };
    vec![
        record(at, "streamer:s0", TapEvent::AttemptEnded { streamer, request_id: id, attempt, outcome }),
        record(at + 0.001, "controller:0", received),
    ]
}

fn response(at: f64, id: &str, kind: ResponseKind) -> Vec<TapRecord> {
    vec![
        record(at, "controller:0", TapEvent::ResponseSent { request_id: id.into(), kind }),
        record(at + 0.001, "players", TapEvent::ResponseReceived { request_id: id.into(), kind }),
    ]
}

/// Records of a request that one attempt refused and the next one served.
fn correct_records() -> Vec<TapRecord> {
    let delivered = TapEvent::Delivered {
        streamer: "s0".into(),
        request_id: "a".into(),
        rung: 1,
        seconds: 10.0,
        share: 1.0,
    };
    let mut records =
        vec![rules(), record(0.1, "controller:0", TapEvent::ControllerStarted { controller: 0 })];
    records.extend(request(1.0, "a", "paid"));
    records.extend(attempt(1.1, "a", "paid", 0, 1));
    records.extend(ended(1.2, "a", 0, TapOutcome::Refused));
    records.extend(attempt(1.3, "a", "paid", 1, 1));
    records.extend(response(1.4, "a", ResponseKind::Plays));
    records.push(record(11.4, "streamer:s0", delivered));
    records.extend(ended(11.4, "a", 1, TapOutcome::Served));
    records
}

/// The numbers of the rules that the records violate.
fn violated_rules(records: &[TapRecord]) -> Vec<usize> {
    let verdict = check_rules(records).expect("the rules are recorded");
    let violated = verdict.rules.iter().enumerate().filter(|(_, rule)| rule.violation_count > 0);
    let violated: Vec<usize> = violated.map(|(i, _)| i + 1).collect();
    assert_eq!(verdict.is_clean(), violated.is_empty());
    for rule in &verdict.rules {
        assert_eq!(
            rule.violation_count > 0,
            rule.violations.iter().any(|violation| !violation.records.is_empty())
        );
    }
    violated
}

#[test]
fn correct_records_violate_no_rule_and_earn_the_full_gain() {
    let records = correct_records();
    assert_eq!(violated_rules(&records), Vec::<usize>::new());
    let verdict = check_rules(&records).expect("the rules are recorded");
    assert_eq!((verdict.responses.answered_once, verdict.responses.in_time), (1, 1));
    assert!((verdict.service.overall - 1.0).abs() < 1e-9, "{:?}", verdict.service);
    assert!(verdict.table().contains("no set-up twice"));
    assert!(check_rules(&records[1..]).is_none(), "without the rules there is no verdict");
}

#[test]
fn rule_1_a_response_missing_late_or_repeated() {
    let mut missing = correct_records();
    missing.retain(|record| !matches!(record.event, TapEvent::ResponseReceived { .. }));
    assert_eq!(violated_rules(&missing), [1]);
    let mut late = correct_records();
    late.iter_mut()
        .filter(|record| matches!(record.event, TapEvent::ResponseReceived { .. }))
        .for_each(|record| record.at = 4.2);
    assert_eq!(violated_rules(&late), [1]);
    let mut twice = correct_records();
    twice.extend(response(1.5, "a", ResponseKind::Plays));
    assert_eq!(violated_rules(&twice), [1]);
    let mut unasked = correct_records();
    unasked.extend(response(1.5, "b", ResponseKind::Plays));
    assert_eq!(violated_rules(&unasked), [1]);
    // A controller that was killed need not answer; the end of another controller excuses nothing.
    missing.push(record(2.0, "day", TapEvent::Killed { controller: 0 }));
    assert_eq!(violated_rules(&missing), Vec::<usize>::new());
    missing.pop();
    missing.push(record(2.0, "day", TapEvent::Killed { controller: 1 }));
    assert_eq!(violated_rules(&missing), [1]);
}

#[test]
fn rule_2_an_at_most_once_set_up_retried_without_proof_or_two_attempts_at_once() {
    let mut unproven = correct_records();
    for record in &mut unproven {
        if let TapEvent::AttemptEnded { outcome, .. } | TapEvent::OutcomeReceived { outcome, .. } =
            &mut record.event
        {
            if *outcome == TapOutcome::Refused {
                *outcome = TapOutcome::Errored;
            }
        }
    }
    assert_eq!(violated_rules(&unproven), [2]);
    let mut at_once = correct_records();
    at_once.retain(|record| {
        !matches!(record.event, TapEvent::OutcomeReceived { outcome: TapOutcome::Refused, .. })
    });
    assert_eq!(violated_rules(&at_once), [2]);
    let mut doubled = correct_records();
    let again =
        doubled.iter().find(|record| matches!(record.event, TapEvent::AttemptReceived { .. })).cloned();
    doubled.extend(again);
    assert_eq!(violated_rules(&doubled), [2]);
    let mut unsent = correct_records();
    unsent.retain(|record| !matches!(record.event, TapEvent::AttemptSent { attempt: 0, .. }));
    assert_eq!(violated_rules(&unsent), [2]);
    let mut rejected = vec![rules()];
    rejected.extend(request(1.0, "a", "paid"));
    rejected.extend(attempt(1.1, "a", "paid", 0, 1));
    rejected.extend(ended(1.2, "a", 0, TapOutcome::Errored));
    rejected.extend(response(1.3, "a", ResponseKind::Rejected));
    assert_eq!(violated_rules(&rejected), [2]);
}

#[test]
fn rule_3_an_attempt_after_the_grace_period_of_a_drain() {
    let list_change = |at: f64, state| {
        record(
            at,
            "controller:0",
            TapEvent::ListChangeReceived { streamer: "s0".into(), state, started_at: None },
        )
    };
    let mut in_grace = correct_records();
    in_grace.push(list_change(0.9, StreamerState::Draining));
    assert_eq!(violated_rules(&in_grace), Vec::<usize>::new());
    let mut late = correct_records();
    late.push(list_change(0.5, StreamerState::Draining));
    assert_eq!(violated_rules(&late), [3]);
    late.push(list_change(0.7, StreamerState::Ready));
    assert_eq!(violated_rules(&late), Vec::<usize>::new(), "it is ready again");
}

#[test]
fn rule_4_a_cold_streamer_overloaded_by_controllers_that_knew_of_its_start() {
    // 10 streams over 10 s, times the initial part 0.5, times the overload multiple 2: one a second, and one of slack.
    let burst = |knew: bool| {
        let mut records = correct_records();
        records.push(record(
            20.0,
            "streamer:s0",
            TapEvent::StreamerStarted { streamer: "s0".into(), started_at: 20.0 },
        ));
        if knew {
            let change = TapEvent::ListChangeReceived {
                streamer: "s0".into(),
                state: StreamerState::Ready,
                started_at: Some(20.0),
            };
            records.push(record(20.1, "controller:0", change));
        }
        for i in 0..6 {
            let (id, at) = (format!("b{i}"), 20.3 + f64::from(i) * 0.05);
            records.extend(request(at, &id, "free"));
            records.extend(attempt(at, &id, "free", 0, 1));
            records.extend(ended(at + 0.01, &id, 0, TapOutcome::Served));
            records.extend(response(at + 0.01, &id, ResponseKind::Plays));
        }
        records
    };
    assert_eq!(violated_rules(&burst(true)), [4, 7], "one controller is also all controllers together");
    assert_eq!(violated_rules(&burst(false)), Vec::<usize>::new(), "no controller knew of the start");
}

#[test]
fn rule_5_under_the_minimum_rung_or_over_the_sessions_per_title() {
    let mut low = correct_records();
    for record in &mut low {
        if let TapEvent::AttemptReceived { rung, attempt: 1, .. } = &mut record.event {
            *rung = 0;
        }
    }
    assert_eq!(violated_rules(&low), [5]);
    let mut sessions = correct_records();
    for id in ["b", "c"] {
        sessions.extend(request(2.0, id, "paid"));
        sessions.extend(attempt(2.1, id, "paid", 0, 1));
        sessions.extend(response(2.2, id, ResponseKind::Plays));
    }
    assert_eq!(violated_rules(&sessions), [5], "three sessions, two allowed");
    sessions.retain(|record| !matches!(&record.event, TapEvent::AttemptSent { request_id: id, .. } | TapEvent::AttemptReceived { request_id: id, .. } if id == "c"));
    assert_eq!(violated_rules(&sessions), Vec::<usize>::new());
}

#[test]
fn rule_6_more_retries_than_the_budget() {
    let mut records = correct_records();
    for (i, id) in ["b", "c"].iter().enumerate() {
        let at = 2.0 + i as f64 * 0.2;
        records.extend(request(at, id, "free"));
        records.extend(attempt(at, id, "free", 0, 1));
        records.extend(ended(at + 0.05, id, 0, TapOutcome::Errored));
        records.extend(attempt(at + 0.1, id, "free", 1, 1));
        records.extend(ended(at + 0.12, id, 1, TapOutcome::Served));
        records.extend(response(at + 0.15, id, ResponseKind::Plays));
    }
    assert_eq!(violated_rules(&records), [6], "1 + 0.1 * 3 retries are allowed in 5 s");
}

/// Rule 4 excuses a burst if most of it came from controllers that did not know of the start. The attempts of those
/// that knew still count here.
#[test]
fn rule_7_a_cold_budget_exceeded_by_all_controllers_together() {
    let burst = |controllers: usize, knew: usize| {
        let mut records = vec![
            rules(),
            record(
                20.0,
                "streamer:s0",
                TapEvent::StreamerStarted { streamer: "s0".into(), started_at: 20.0 },
            ),
        ];
        for number in 0..controllers {
            let endpoint = format!("controller:{number}");
            if number >= controllers - knew {
                let change = TapEvent::ListChangeReceived {
                    streamer: "s0".into(),
                    state: StreamerState::Ready,
                    started_at: Some(20.0),
                };
                records.push(record(20.1, &endpoint, change));
            }
            let (id, at) = (format!("b{number}"), 20.3 + number as f64 * 0.05);
            let mut of_one = request(at, &id, "free");
            of_one.extend(attempt(at, &id, "free", 0, 1));
            of_one.extend(ended(at + 0.01, &id, 0, TapOutcome::Served));
            of_one.extend(response(at + 0.01, &id, ResponseKind::Plays));
            for record in of_one.iter_mut().filter(|record| record.endpoint == "controller:0") {
                record.endpoint.clone_from(&endpoint);
                if let TapEvent::AttemptReceived { controller, .. } = &mut record.event {
                    *controller = number;
                }
            }
            records.extend(of_one);
        }
        records
    };
    assert_eq!(violated_rules(&burst(2, 2)), Vec::<usize>::new(), "one a second, and one of slack");
    assert_eq!(violated_rules(&burst(4, 2)), Vec::<usize>::new(), "two did not know");
    assert_eq!(violated_rules(&burst(6, 3)), [7], "half did not know, and the others exceeded the budget");
    assert_eq!(violated_rules(&burst(3, 3)), [4, 7]);
}

#[test]
fn rule_8_two_controllers_cover_one_number_at_once() {
    let covered = |at: f64, by: usize, numbers: &[u32], until: f64| {
        record(
            at,
            &format!("controller:{by}"),
            TapEvent::TurnsCovered { controllers: numbers.to_vec(), until },
        )
    };
    let violated = |coverage: &[TapRecord]| violated_rules(&[&correct_records()[..], coverage].concat());
    let none = Vec::<usize>::new();
    assert_eq!(violated(&[covered(2.0, 1, &[5], 4.0), covered(3.0, 2, &[5], 6.0)]), [8]);
    assert_eq!(violated(&[covered(2.0, 1, &[5], 4.0), covered(3.0, 2, &[4], 6.0)]), none, "another number");
    assert_eq!(
        violated(&[covered(2.0, 1, &[5], 4.0), covered(4.5, 2, &[5], 6.0)]),
        none,
        "the first period had ended"
    );
    let withdrawn = [covered(2.0, 1, &[5], 9.0), covered(3.0, 1, &[], 9.0), covered(3.5, 2, &[5], 9.0)];
    assert_eq!(violated(&withdrawn), none, "the coverage was withdrawn");
    let killed = record(3.0, "day", TapEvent::Killed { controller: 1 });
    assert_eq!(violated(&[covered(2.0, 1, &[5], 9.0), killed, covered(3.5, 2, &[5], 9.0)]), none);
    let renewed = [covered(2.0, 1, &[5], 4.0), covered(3.0, 1, &[5], 7.0), covered(6.0, 2, &[5], 9.0)];
    assert_eq!(violated(&renewed), [8], "a repeated record extends the period");
}
