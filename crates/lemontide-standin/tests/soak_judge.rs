//! The judge of the soak names each fault that is written into a record, and nothing in a record without one.

use lemontide_standin::soak::event_log::{
    Answer, Attempt, AttemptEnd, ClientConnection, ColdBudget, EventLog, FaultyClient, ListChange, ListState,
    NodeEvent, Outage, Request, CLASSES,
};
use lemontide_standin::soak::invariants::{check_invariants, Invariant};

const END: f64 = 60.0;
const ID: u64 = 7;

/// One request that is sent at 10, attempted once, served, and over at 12.
fn event_log(is_idempotent: bool) -> EventLog {
    let class = CLASSES.into_iter().find(|class| class.is_idempotent == is_idempotent).expect("there is one");
    let node_events = vec![(0.0, 0, NodeEvent::Started), (0.1, 0, NodeEvent::Ready)];
    let mut event_log = EventLog { node_events, ..EventLog::default() };
    event_log.requests.push(Request {
        id: ID,
        class,
        node: 0,
        connection: ClientConnection::default(),
        sent_at: 10.0,
        client_timeout_s: class.deadline_s,
        reuses_id: false,
        is_first_on_connection: false,
        left_at: None,
        answers: vec![(10.2, Answer::Served)],
        connection_closed_at: None,
        is_resent: false,
        ended_at: Some(12.0),
    });
    event_log.request_index_by_id.insert(ID, 0);
    let mut attempt = attempt(0, 10.0, 12.0, AttemptEnd::SessionEnded);
    attempt.answered_at = Some(10.2);
    attempt.release_written = Some((12.0, 1));
    attempt.class = class.name.to_owned();
    event_log.attempts.push(attempt);
    event_log
}

fn attempt(server: usize, arrived: f64, ended: f64, end: AttemptEnd) -> Attempt {
    Attempt {
        id: ID,
        server,
        node: 0,
        class: CLASSES[1].name.to_owned(),
        first_byte_at: arrived,
        last_byte_at: arrived,
        arrived_at: Some(arrived),
        answered_at: None,
        ended: Some((ended, end)),
        release_written: None,
    }
}

fn broken(event_log: &EventLog) -> Vec<Invariant> {
    let mut invariants: Vec<Invariant> =
        check_invariants(event_log, END).into_iter().map(|found| found.invariant).collect();
    invariants.dedup();
    invariants
}

/// What a change of a clean record breaks.
fn after(is_idempotent: bool, change: impl FnOnce(&mut EventLog)) -> Vec<Invariant> {
    let mut event_log = event_log(is_idempotent);
    change(&mut event_log);
    broken(&event_log)
}

#[test]
fn a_record_without_a_fault_breaks_nothing() {
    assert_eq!((broken(&event_log(true)), broken(&event_log(false))), (vec![], vec![]));
}

#[test]
fn two_attempts_at_once_are_found_and_two_in_a_row_are_not() {
    let before =
        |ended| move |b: &mut EventLog| b.attempts.push(attempt(1, 9.9, ended, AttemptEnd::Abandoned));
    assert_eq!(after(true, before(10.001)), [Invariant::NoConcurrentAttempts]);
    assert_eq!(after(true, before(9.999)), []);
    // Its answer was lost, so it stands on while the next one arrives.
    let stands = |b: &mut EventLog| b.attempts.push(attempt(1, 9.9, 11.0, AttemptEnd::SessionEnded));
    assert_eq!(after(true, stands), [Invariant::NoConcurrentAttempts]);
}

#[test]
fn what_may_not_be_repeated_is_not_sent_again_nor_refused_unless_nothing_ran() {
    let unsafe_attempt = |end| {
        move |b: &mut EventLog| {
            let class = CLASSES[0].name.to_owned();
            b.attempts.push(Attempt { class, ..attempt(1, 9.8, 9.9, end) });
        }
    };
    assert_eq!(after(false, unsafe_attempt(AttemptEnd::Answered { ran: true })), [Invariant::NoUnsafeRepeat]);
    assert_eq!(after(false, unsafe_attempt(AttemptEnd::Answered { ran: false })), []);
    assert_eq!(
        after(false, |b| b.requests[0].answers = vec![(10.2, Answer::Refused)]),
        [Invariant::NoUnsafeRepeat]
    );
}

#[test]
fn lost_requests_are_found_and_those_that_are_owed_nothing_are_not() {
    type Change = fn(&mut EventLog);
    let lost: [Change; 5] = [
        |b| b.requests[0].answers.clear(),
        |b| b.requests[0].answers = vec![(15.6, Answer::Failed)],
        |b| b.requests[0].answers.push((10.3, Answer::Served)),
        |b| b.requests[0].answers = vec![(10.2, Answer::ServedWrong)],
        // It came after the last call, and SIGKILL finds it.
        |b| {
            b.requests[0].answers.clear();
            b.node_events.extend([(9.0, 0, NodeEvent::Terminate), (12.7, 0, NodeEvent::Kill)]);
        },
    ];
    for (number, change) in lost.into_iter().enumerate() {
        assert_eq!(after(true, change), [Invariant::OneAnswerPerRequest], "case {number}");
    }
    let owed_nothing: [Change; 3] = [
        |b| {
            b.requests[0].answers.clear();
            b.requests[0].left_at = Some(10.5);
        },
        |b| {
            b.requests[0].answers.clear();
            b.node_events.push((11.0, 0, NodeEvent::Kill));
        },
        |b| {
            b.requests[0].answers.clear();
            b.node_events.extend([(9.5, 0, NodeEvent::Terminate), (13.2, 0, NodeEvent::Kill)]);
        },
    ];
    for (number, change) in owed_nothing.into_iter().enumerate() {
        assert_eq!(after(true, change), [], "case {number}");
    }
}

#[test]
fn drains_count_from_when_the_node_was_told() {
    let drains = |at: f64, written: Option<f64>| {
        move |b: &mut EventLog| {
            let written = vec![written];
            b.list_changes.push(ListChange {
                at,
                position: 1,
                server: 0,
                state: ListState::Draining,
                sent_to_node_at: written,
            });
        }
    };
    assert_eq!(after(true, drains(9.6, Some(9.6))), [Invariant::NoSetUpsWhileDraining]);
    assert_eq!(after(true, drains(9.8, Some(9.8))), []);
    // Discovery was down: six seconds after it is back, unless it was told before.
    let down = |written| {
        move |b: &mut EventLog| {
            drains(4.0, written)(b);
            b.outages.push(Outage { node: 0, from: 3.0, until: 5.0, open_connections_only: false });
        }
    };
    assert_eq!(after(true, down(None)), []);
    assert_eq!(after(true, down(Some(6.0))), [Invariant::NoSetUpsWhileDraining]);
}

#[test]
fn leavers_releases_bad_clients_crashes_and_strays_are_found() {
    assert_eq!(after(true, |b| b.requests[0].left_at = Some(9.6)), [Invariant::NoAttemptsAfterLeave]);
    assert_eq!(after(true, |b| b.requests[0].left_at = Some(9.8)), [], "the first two are let pass");
    let closes = |at| {
        move |b: &mut EventLog| {
            b.requests[0].ended_at = None;
            b.client_closes.push((at, ClientConnection::default()));
        }
    };
    assert_eq!(after(true, closes(11.9)), [Invariant::ReleasesForwarded]);
    assert_eq!(
        after(true, closes(12.01)),
        [Invariant::ReleasesForwarded],
        "its client has other connections"
    );
    assert_eq!(after(true, |b| b.requests[0].ended_at = None), [Invariant::ReleasesForwarded]);
    assert_eq!(
        after(true, |b| b.node_events.push((20.0, 0, NodeEvent::Exited { is_expected: false }))),
        [Invariant::NoCrashes]
    );
    assert_eq!(after(true, |b| b.node_events.retain(|s| s.2 != NodeEvent::Ready)), [Invariant::NoCrashes]);
    assert_eq!(after(true, |b| b.attempts[0].class = "other".into()), [Invariant::OnlyRequestedSetUps]);
    assert_eq!(
        after(true, |b| b.limit_breaches.push((3.0, 0, "900 descriptors".into()))),
        [Invariant::ResourceLimits]
    );
    let bad = |heard, was_served| {
        move |b: &mut EventLog| {
            let what = "noise";
            b.faulty_clients.push(FaultyClient {
                node: 0,
                input: what,
                connected_at: 5.0,
                responded_at: heard,
                was_served,
                is_excused: false,
            });
        }
    };
    assert_eq!(after(true, bad(None, false)), [Invariant::FaultyClientsRejected]);
    assert_eq!(after(true, bad(Some(6.0), true)), [Invariant::FaultyClientsRejected]);
    assert_eq!(after(true, bad(Some(6.0), false)), []);
}

/// A server comes back at 20 and takes 16 set-ups a second: 26 are let pass, of 27 most must be from nodes that knew.
#[test]
fn a_cold_server_that_gets_too_much_is_found() {
    let pushed = |sends: usize, told_at: f64, last: f64| {
        move |b: &mut EventLog| {
            b.cold_budget = Some(ColdBudget { set_ups_per_window: 16.0, window_s: 1.0, cold_span_s: 10.0 });
            b.list_changes =
                vec![list(15.0, ListState::Gone, None), list(20.0, ListState::Ready, Some(told_at))];
            for number in 0..sends {
                let at = 20.5 + (last - 20.5) * number as f64 / sends as f64;
                b.attempts.push(attempt(0, at, at + 0.001, AttemptEnd::Answered { ran: false }));
            }
        }
    };
    assert_eq!(after(true, pushed(26, 20.0, 21.4)), []);
    assert_eq!(after(true, pushed(27, 20.0, 21.4)), [Invariant::ColdServerBudget]);
    assert_eq!(after(true, pushed(27, 20.0, 22.0)), [], "over more than a window");
    let untold = |b: &mut EventLog| {
        pushed(27, 21.0, 21.4)(b);
        b.outages.push(Outage { node: 0, from: 19.0, until: 19.9, open_connections_only: false });
    };
    assert_eq!(after(true, untold), [], "most were sent before the node knew");
    let warm = |b: &mut EventLog| {
        pushed(27, 20.0, 21.4)(b);
        b.cold_budget = Some(ColdBudget { set_ups_per_window: 16.0, window_s: 1.0, cold_span_s: 0.4 });
    };
    assert_eq!(after(true, warm), []);
}

fn list(at: f64, state: ListState, written: Option<f64>) -> ListChange {
    ListChange { at, position: 1, server: 0, state, sent_to_node_at: vec![written] }
}

#[test]
fn releases_of_a_session_that_its_client_left_unread_are_no_answers_and_two_answers_are() {
    let heard = |left: Option<f64>, answer: Answer| {
        move |b: &mut EventLog| {
            (b.requests[0].left_at, b.requests[0].answers) = (left, vec![(12.0, answer), (12.1, answer)]);
        }
    };
    assert_eq!(after(true, heard(Some(10.2), Answer::Failed)), []);
    assert_eq!(after(true, heard(None, Answer::Failed)), [Invariant::OneAnswerPerRequest]);
    assert_eq!(after(true, heard(Some(10.2), Answer::Refused)), [Invariant::OneAnswerPerRequest]);
    // Nothing stood.
    let never_stood = |b: &mut EventLog| {
        heard(Some(10.2), Answer::Failed)(b);
        b.attempts[0].answered_at = None;
    };
    assert_eq!(after(true, never_stood), [Invariant::OneAnswerPerRequest]);
}
