//! The judge: a clean tap passes, and for each rule a doctored one shows it broken.

use lemontide_standin::judge::judge;
use lemontide_wire::list::StreamerState;
use lemontide_wire::tap::{
    ClassRules, ColdStartRules, JudgeRules, ResponseKind, RetryBudget, TapEvent, TapOutcome, TapRecord,
};

fn lane(name: &str, paid: bool) -> ClassRules {
    ClassRules { name: name.into(), gain: 1.0, at_most_once: paid, min_rung: 1, max_sessions_per_title: 2 }
}

fn line(at: f64, end: &str, what: TapEvent) -> TapRecord {
    TapRecord { at, endpoint: end.into(), event: what }
}

fn terms() -> TapRecord {
    let cold = ColdStartRules {
        max_streams: 10.0,
        warm_up_s: 10.0,
        initial_part: 0.5,
        overload_multiple: 2.0,
        window_s: 1.0,
    };
    let terms = JudgeRules {
        answer_slack_s: 0.1,
        drain_grace_s: 0.5,
        cold_start: cold,
        retry_budget: Some(RetryBudget { min_retries: 1.0, request_share: 0.1, window_s: 5.0 }),
        classes: vec![lane("free", false), lane("paid", true)],
        gain_by_rung: vec![0.5, 1.0],
        shortfall_cost: 5.0,
    };
    line(0.0, "day", TapEvent::Rules { rules: terms })
}

fn asked(at: f64, ask: &str, lane: &str) -> Vec<TapRecord> {
    let (name, title) = (ask.to_owned(), "t".to_owned());
    let seen = TapEvent::RequestSent {
        request_id: name.clone(),
        viewer: name.clone(),
        controller: 0,
        class: lane.into(),
        title: title.clone(),
        latency_goal: at + 1.0,
        deadline: at + 3.0,
        max_rung: 1,
        wanted_s: 10.0,
    };
    let taken = TapEvent::RequestReceived { request_id: name, class: lane.into(), title, deadline: at + 3.0 };
    vec![line(at, "players", seen), line(at, "controller:0", taken)]
}

fn shot(at: f64, ask: &str, lane: &str, shot: u32, rung: usize) -> Vec<TapRecord> {
    let (ask, title, streamer, lane) = (ask.to_owned(), "t".to_owned(), "s0".to_owned(), lane.to_owned());
    let sent = TapEvent::AttemptSent {
        request_id: ask.clone(),
        attempt: shot,
        streamer: streamer.clone(),
        class: lane.clone(),
        title: title.clone(),
        rung,
    };
    let got = TapEvent::AttemptReceived {
        streamer,
        controller: 0,
        request_id: ask,
        attempt: shot,
        class: lane,
        title,
        rung,
    };
    vec![line(at, "controller:0", sent), line(at + 0.001, "streamer:s0", got)]
}

fn over(at: f64, ask: &str, shot: u32, how: TapOutcome) -> Vec<TapRecord> {
    let (ask, streamer) = (ask.to_owned(), "s0".to_owned());
    let heard = TapEvent::OutcomeReceived { request_id: ask.clone(), attempt: shot, outcome: how };
    vec![
        line(
            at,
            "streamer:s0",
            TapEvent::AttemptEnded { streamer, request_id: ask, attempt: shot, outcome: how },
        ),
        line(at + 0.001, "controller:0", heard),
    ]
}

fn answered(at: f64, ask: &str, kind: ResponseKind) -> Vec<TapRecord> {
    vec![
        line(at, "controller:0", TapEvent::ResponseSent { request_id: ask.into(), kind }),
        line(at + 0.001, "players", TapEvent::ResponseReceived { request_id: ask.into(), kind }),
    ]
}

/// A wish that was sent back once and then played.
fn clean() -> Vec<TapRecord> {
    let given = TapEvent::Delivered {
        streamer: "s0".into(),
        request_id: "a".into(),
        rung: 1,
        seconds: 10.0,
        share: 1.0,
    };
    let mut lines = vec![terms(), line(0.1, "controller:0", TapEvent::ControllerStarted { controller: 0 })];
    lines.extend(asked(1.0, "a", "paid"));
    lines.extend(shot(1.1, "a", "paid", 0, 1));
    lines.extend(over(1.2, "a", 0, TapOutcome::Refused));
    lines.extend(shot(1.3, "a", "paid", 1, 1));
    lines.extend(answered(1.4, "a", ResponseKind::Plays));
    lines.push(line(11.4, "streamer:s0", given));
    lines.extend(over(11.4, "a", 1, TapOutcome::Served));
    lines
}

/// Which rules the lines break, by their place.
fn broken(lines: &[TapRecord]) -> Vec<usize> {
    let verdict = judge(lines).expect("the terms are there");
    let broken = verdict.rules.iter().enumerate().filter(|(_, rule)| rule.broken > 0);
    let broken: Vec<usize> = broken.map(|(i, _)| i + 1).collect();
    assert_eq!(verdict.is_clean(), broken.is_empty());
    for rule in &verdict.rules {
        assert_eq!(rule.broken > 0, rule.breaches.iter().any(|breach| !breach.lines.is_empty()));
    }
    broken
}

#[test]
fn a_clean_tap_is_clean_and_earns_all() {
    let lines = clean();
    assert_eq!(broken(&lines), Vec::<usize>::new());
    let verdict = judge(&lines).expect("the terms are there");
    assert_eq!((verdict.answers.one, verdict.answers.in_time), (1, 1));
    assert!((verdict.service.whole - 1.0).abs() < 1e-9, "{:?}", verdict.service);
    assert!(verdict.table().contains("no set-up twice"));
    assert!(judge(&lines[1..]).is_none(), "without terms there is no verdict");
}

#[test]
fn rule_1_an_answer_missing_late_or_double() {
    let mut missing = clean();
    missing.retain(|line| !matches!(line.event, TapEvent::ResponseReceived { .. }));
    assert_eq!(broken(&missing), [1]);
    let mut late = clean();
    late.iter_mut()
        .filter(|line| matches!(line.event, TapEvent::ResponseReceived { .. }))
        .for_each(|line| line.at = 4.2);
    assert_eq!(broken(&late), [1]);
    let mut twice = clean();
    twice.extend(answered(1.5, "a", ResponseKind::Plays));
    assert_eq!(broken(&twice), [1]);
    let mut unasked = clean();
    unasked.extend(answered(1.5, "b", ResponseKind::Plays));
    assert_eq!(broken(&unasked), [1]);
    // A controller that was killed owes nothing; one killed elsewhere excuses nobody.
    missing.push(line(2.0, "day", TapEvent::Killed { controller: 0 }));
    assert_eq!(broken(&missing), Vec::<usize>::new());
    missing.pop();
    missing.push(line(2.0, "day", TapEvent::Killed { controller: 1 }));
    assert_eq!(broken(&missing), [1]);
}

#[test]
fn rule_2_a_paid_set_up_repeated_without_proof_or_two_shots_at_once() {
    let mut unproven = clean();
    for line in &mut unproven {
        if let TapEvent::AttemptEnded { outcome: how, .. } | TapEvent::OutcomeReceived { outcome: how, .. } =
            &mut line.event
        {
            if *how == TapOutcome::Refused {
                *how = TapOutcome::Errored;
            }
        }
    }
    assert_eq!(broken(&unproven), [2]);
    let mut at_once = clean();
    at_once
        .retain(|line| !matches!(line.event, TapEvent::OutcomeReceived { outcome: TapOutcome::Refused, .. }));
    assert_eq!(broken(&at_once), [2]);
    let mut doubled = clean();
    let again = doubled.iter().find(|line| matches!(line.event, TapEvent::AttemptReceived { .. })).cloned();
    doubled.extend(again);
    assert_eq!(broken(&doubled), [2]);
    let mut unsent = clean();
    unsent.retain(|line| !matches!(line.event, TapEvent::AttemptSent { attempt: 0, .. }));
    assert_eq!(broken(&unsent), [2]);
    let mut turned_back = vec![terms()];
    turned_back.extend(asked(1.0, "a", "paid"));
    turned_back.extend(shot(1.1, "a", "paid", 0, 1));
    turned_back.extend(over(1.2, "a", 0, TapOutcome::Errored));
    turned_back.extend(answered(1.3, "a", ResponseKind::Rejected));
    assert_eq!(broken(&turned_back), [2]);
}

#[test]
fn rule_3_sent_after_the_grace_of_a_drain() {
    let told = |at: f64, stage| {
        line(
            at,
            "controller:0",
            TapEvent::ListChangeReceived { streamer: "s0".into(), state: stage, started_at: None },
        )
    };
    let mut in_grace = clean();
    in_grace.push(told(0.9, StreamerState::Draining));
    assert_eq!(broken(&in_grace), Vec::<usize>::new());
    let mut late = clean();
    late.push(told(0.5, StreamerState::Draining));
    assert_eq!(broken(&late), [3]);
    late.push(told(0.7, StreamerState::Ready));
    assert_eq!(broken(&late), Vec::<usize>::new(), "it is back");
}

#[test]
fn rule_4_a_cold_streamer_pushed_over_by_who_knew() {
    // Ten places over ten seconds, half warm, twice that: one a second, and one of slack.
    let burst = |knew: bool| {
        let mut lines = clean();
        lines.push(line(
            20.0,
            "streamer:s0",
            TapEvent::StreamerStarted { streamer: "s0".into(), started_at: 20.0 },
        ));
        if knew {
            let told = TapEvent::ListChangeReceived {
                streamer: "s0".into(),
                state: StreamerState::Ready,
                started_at: Some(20.0),
            };
            lines.push(line(20.1, "controller:0", told));
        }
        for i in 0..6 {
            let (ask, at) = (format!("b{i}"), 20.3 + f64::from(i) * 0.05);
            lines.extend(asked(at, &ask, "free"));
            lines.extend(shot(at, &ask, "free", 0, 1));
            lines.extend(over(at + 0.01, &ask, 0, TapOutcome::Served));
            lines.extend(answered(at + 0.01, &ask, ResponseKind::Plays));
        }
        lines
    };
    assert_eq!(broken(&burst(true)), [4, 7], "one controller is all together, too");
    assert_eq!(broken(&burst(false)), Vec::<usize>::new(), "nobody knew");
}

#[test]
fn rule_5_under_the_floor_or_over_the_seats() {
    let mut low = clean();
    for line in &mut low {
        if let TapEvent::AttemptReceived { rung, attempt: 1, .. } = &mut line.event {
            *rung = 0;
        }
    }
    assert_eq!(broken(&low), [5]);
    let mut seats = clean();
    for ask in ["b", "c"] {
        seats.extend(asked(2.0, ask, "paid"));
        seats.extend(shot(2.1, ask, "paid", 0, 1));
        seats.extend(answered(2.2, ask, ResponseKind::Plays));
    }
    assert_eq!(broken(&seats), [5], "three hold two seats");
    seats.retain(|line| !matches!(&line.event, TapEvent::AttemptSent { request_id: ask, .. } | TapEvent::AttemptReceived { request_id: ask, .. } if ask == "c"));
    assert_eq!(broken(&seats), Vec::<usize>::new());
}

#[test]
fn rule_6_more_further_shots_than_the_ration() {
    let mut lines = clean();
    for (i, ask) in ["b", "c"].iter().enumerate() {
        let at = 2.0 + i as f64 * 0.2;
        lines.extend(asked(at, ask, "free"));
        lines.extend(shot(at, ask, "free", 0, 1));
        lines.extend(over(at + 0.05, ask, 0, TapOutcome::Errored));
        lines.extend(shot(at + 0.1, ask, "free", 1, 1));
        lines.extend(over(at + 0.12, ask, 1, TapOutcome::Served));
        lines.extend(answered(at + 0.15, ask, ResponseKind::Plays));
    }
    assert_eq!(broken(&lines), [6], "one, and a tenth of three, are allowed in five seconds");
}

/// What rule 4 excuses as no controller sent most of it, counts all the same where all who sent knew.
#[test]
fn rule_7_a_cold_budget_passed_by_all_together() {
    let by = |controllers: usize, knew: usize| {
        let mut lines = vec![
            terms(),
            line(20.0, "streamer:s0", TapEvent::StreamerStarted { streamer: "s0".into(), started_at: 20.0 }),
        ];
        for of in 0..controllers {
            let end = format!("controller:{of}");
            if of >= controllers - knew {
                let told = TapEvent::ListChangeReceived {
                    streamer: "s0".into(),
                    state: StreamerState::Ready,
                    started_at: Some(20.0),
                };
                lines.push(line(20.1, &end, told));
            }
            let (ask, at) = (format!("b{of}"), 20.3 + of as f64 * 0.05);
            let mut one = asked(at, &ask, "free");
            one.extend(shot(at, &ask, "free", 0, 1));
            one.extend(over(at + 0.01, &ask, 0, TapOutcome::Served));
            one.extend(answered(at + 0.01, &ask, ResponseKind::Plays));
            for line in one.iter_mut().filter(|line| line.endpoint == "controller:0") {
                line.endpoint.clone_from(&end);
                if let TapEvent::AttemptReceived { controller, .. } = &mut line.event {
                    *controller = of;
                }
            }
            lines.extend(one);
        }
        lines
    };
    assert_eq!(broken(&by(2, 2)), Vec::<usize>::new(), "one a second, and one of slack");
    assert_eq!(broken(&by(4, 2)), Vec::<usize>::new(), "two did not know");
    assert_eq!(broken(&by(6, 3)), [7], "half did not know, and the others sent too much");
    assert_eq!(broken(&by(3, 3)), [4, 7]);
}

#[test]
fn rule_8_two_that_stand_for_one_number_at_once() {
    let stands = |at: f64, of: usize, numbers: &[u32], until: f64| {
        line(at, &format!("controller:{of}"), TapEvent::TurnsCovered { controllers: numbers.to_vec(), until })
    };
    let judged = |stands: &[TapRecord]| broken(&[&clean()[..], stands].concat());
    let none = Vec::<usize>::new();
    assert_eq!(judged(&[stands(2.0, 1, &[5], 4.0), stands(3.0, 2, &[5], 6.0)]), [8]);
    assert_eq!(judged(&[stands(2.0, 1, &[5], 4.0), stands(3.0, 2, &[4], 6.0)]), none, "another number");
    assert_eq!(judged(&[stands(2.0, 1, &[5], 4.0), stands(4.5, 2, &[5], 6.0)]), none, "it had lapsed");
    let handed_over = [stands(2.0, 1, &[5], 9.0), stands(3.0, 1, &[], 9.0), stands(3.5, 2, &[5], 9.0)];
    assert_eq!(judged(&handed_over), none, "it was given up");
    let killed = line(3.0, "day", TapEvent::Killed { controller: 1 });
    assert_eq!(judged(&[stands(2.0, 1, &[5], 9.0), killed, stands(3.5, 2, &[5], 9.0)]), none);
    let renewed = [stands(2.0, 1, &[5], 4.0), stands(3.0, 1, &[5], 7.0), stands(6.0, 2, &[5], 9.0)];
    assert_eq!(judged(&renewed), [8], "said again, it holds longer");
}
