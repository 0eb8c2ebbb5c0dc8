//! The invariants of the soak test: each fault in an event log is reported as a violation, and a log without faults has
//! none.

use lemontide_standin::soak::event_log::{
    Answer, Attempt, AttemptEnd, ClientConnection, ColdBudget, EventLog, FaultyClient, ListChange, ListState,
    NodeEvent, Outage, Request, CLASSES,
};
use lemontide_standin::soak::invariants::{check_invariants, Invariant};

const END: f64 = 60.0;
const ID: u64 = 7;

/// An event log with one request that is sent at 10 s, attempted once, served, and over at 12 s.
fn clean_event_log(is_idempotent: bool) -> EventLog {
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

fn violated(event_log: &EventLog) -> Vec<Invariant> {
    let mut invariants: Vec<Invariant> =
        check_invariants(event_log, END).into_iter().map(|found| found.invariant).collect();
    invariants.dedup();
    invariants
}

/// The invariants that are violated after a change of a clean event log.
fn violated_after(is_idempotent: bool, change: impl FnOnce(&mut EventLog)) -> Vec<Invariant> {
    let mut event_log = clean_event_log(is_idempotent);
    change(&mut event_log);
    violated(&event_log)
}

#[test]
fn an_event_log_without_faults_has_no_violations() {
    assert_eq!((violated(&clean_event_log(true)), violated(&clean_event_log(false))), (vec![], vec![]));
}

#[test]
fn concurrent_attempts_are_found_and_consecutive_ones_are_not() {
    let before =
        |ended| move |b: &mut EventLog| b.attempts.push(attempt(1, 9.9, ended, AttemptEnd::Abandoned));
    assert_eq!(violated_after(true, before(10.001)), [Invariant::NoConcurrentAttempts]);
    assert_eq!(violated_after(true, before(9.999)), []);
    // The first answer was lost, so the session is still established when the next attempt arrives.
    let established = |b: &mut EventLog| b.attempts.push(attempt(1, 9.9, 11.0, AttemptEnd::SessionEnded));
    assert_eq!(violated_after(true, established), [Invariant::NoConcurrentAttempts]);
}

#[test]
fn non_idempotent_requests_are_neither_repeated_nor_refused_unless_nothing_ran() {
    let earlier_attempt = |end| {
        move |b: &mut EventLog| {
            let class = CLASSES[0].name.to_owned();
            b.attempts.push(Attempt { class, ..attempt(1, 9.8, 9.9, end) });
        }
    };
    assert_eq!(
        violated_after(false, earlier_attempt(AttemptEnd::Answered { ran: true })),
        [Invariant::NoUnsafeRepeat]
    );
    assert_eq!(violated_after(false, earlier_attempt(AttemptEnd::Answered { ran: false })), []);
    assert_eq!(
        violated_after(false, |b| b.requests[0].answers = vec![(10.2, Answer::Refused)]),
        [Invariant::NoUnsafeRepeat]
    );
}

#[test]
fn lost_requests_are_found_and_excused_ones_are_not() {
    type Change = fn(&mut EventLog);
    let lost: [Change; 5] = [
        |b| b.requests[0].answers.clear(),
        |b| b.requests[0].answers = vec![(15.6, Answer::Failed)],
        |b| b.requests[0].answers.push((10.3, Answer::Served)),
        |b| b.requests[0].answers = vec![(10.2, Answer::ServedWrong)],
        // It was sent too long after SIGTERM to be excused, and is unanswered at SIGKILL.
        |b| {
            b.requests[0].answers.clear();
            b.node_events.extend([(9.0, 0, NodeEvent::Terminate), (12.7, 0, NodeEvent::Kill)]);
        },
    ];
    for (number, change) in lost.into_iter().enumerate() {
        assert_eq!(violated_after(true, change), [Invariant::OneAnswerPerRequest], "case {number}");
    }
    let excused: [Change; 3] = [
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
    for (number, change) in excused.into_iter().enumerate() {
        assert_eq!(violated_after(true, change), [], "case {number}");
    }
}

#[test]
fn set_ups_while_draining_count_from_when_the_node_was_informed() {
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
    assert_eq!(violated_after(true, drains(9.6, Some(9.6))), [Invariant::NoSetUpsWhileDraining]);
    assert_eq!(violated_after(true, drains(9.8, Some(9.8))), []);
    // Discovery was down: the node counts as informed six seconds after it is back, unless it was sent the change
    // before.
    let down = |written| {
        move |b: &mut EventLog| {
            drains(4.0, written)(b);
            b.outages.push(Outage { node: 0, from: 3.0, until: 5.0, open_connections_only: false });
        }
    };
    assert_eq!(violated_after(true, down(None)), []);
    assert_eq!(violated_after(true, down(Some(6.0))), [Invariant::NoSetUpsWhileDraining]);
}

#[test]
fn violations_by_left_clients_releases_faulty_clients_crashes_and_unrequested_set_ups_are_found() {
    assert_eq!(
        violated_after(true, |b| b.requests[0].left_at = Some(9.6)),
        [Invariant::NoAttemptsAfterLeave]
    );
    assert_eq!(
        violated_after(true, |b| b.requests[0].left_at = Some(9.8)),
        [],
        "the first two late attempts are tolerated"
    );
    let closes = |at| {
        move |b: &mut EventLog| {
            b.requests[0].ended_at = None;
            b.client_closes.push((at, ClientConnection::default()));
        }
    };
    assert_eq!(violated_after(true, closes(11.9)), [Invariant::ReleasesForwarded]);
    assert_eq!(
        violated_after(true, closes(12.01)),
        [Invariant::ReleasesForwarded],
        "its client has other connections"
    );
    assert_eq!(violated_after(true, |b| b.requests[0].ended_at = None), [Invariant::ReleasesForwarded]);
    let released_at = |at| move |b: &mut EventLog| b.requests[0].ended_at = Some(at);
    assert_eq!(violated_after(true, released_at(13.04)), []);
    assert_eq!(violated_after(true, released_at(13.06)), [Invariant::ReleasesForwarded], "too late");
    assert_eq!(
        violated_after(true, |b| b.node_events.push((20.0, 0, NodeEvent::Exited { is_expected: false }))),
        [Invariant::NoCrashes]
    );
    assert_eq!(
        violated_after(true, |b| b.node_events.retain(|s| s.2 != NodeEvent::Ready)),
        [Invariant::NoCrashes]
    );
    assert_eq!(
        violated_after(true, |b| b.attempts[0].class = "other".into()),
        [Invariant::OnlyRequestedSetUps]
    );
    assert_eq!(
        violated_after(true, |b| b.limit_breaches.push((3.0, 0, "900 descriptors".into()))),
        [Invariant::ResourceLimits]
    );
    let faulty_client = |responded_at, was_served| {
        move |b: &mut EventLog| {
            let input = "garbage";
            b.faulty_clients.push(FaultyClient {
                node: 0,
                input,
                connected_at: 5.0,
                responded_at,
                was_served,
                is_excused: false,
            });
        }
    };
    assert_eq!(violated_after(true, faulty_client(None, false)), [Invariant::FaultyClientsRejected]);
    assert_eq!(violated_after(true, faulty_client(Some(6.0), true)), [Invariant::FaultyClientsRejected]);
    assert_eq!(violated_after(true, faulty_client(Some(6.0), false)), []);
}

/// A server restarts at 20 s with a budget of 16 set-ups per second. With the margin, 26 are allowed; 27 are a
/// violation if most come from nodes that were informed of the start.
#[test]
fn a_cold_server_over_its_budget_is_found() {
    let set_ups_while_cold = |count: usize, informed_at: f64, last: f64| {
        move |b: &mut EventLog| {
            b.cold_budget = Some(ColdBudget { set_ups_per_window: 16.0, window_s: 1.0, cold_span_s: 10.0 });
            b.list_changes = vec![
                list_change(15.0, ListState::Gone, None),
                list_change(20.0, ListState::Ready, Some(informed_at)),
            ];
            for number in 0..count {
                let at = 20.5 + (last - 20.5) * number as f64 / count as f64;
                b.attempts.push(attempt(0, at, at + 0.001, AttemptEnd::Answered { ran: false }));
            }
        }
    };
    assert_eq!(violated_after(true, set_ups_while_cold(26, 20.0, 21.4)), []);
    assert_eq!(violated_after(true, set_ups_while_cold(27, 20.0, 21.4)), [Invariant::ColdServerBudget]);
    assert_eq!(
        violated_after(true, set_ups_while_cold(27, 20.0, 22.0)),
        [],
        "spread over more than one window"
    );
    let informed_late = |b: &mut EventLog| {
        set_ups_while_cold(27, 21.0, 21.4)(b);
        b.outages.push(Outage { node: 0, from: 19.0, until: 19.9, open_connections_only: false });
    };
    assert_eq!(violated_after(true, informed_late), [], "most were sent before the node was informed");
    let already_warm = |b: &mut EventLog| {
        set_ups_while_cold(27, 20.0, 21.4)(b);
        b.cold_budget = Some(ColdBudget { set_ups_per_window: 16.0, window_s: 1.0, cold_span_s: 0.4 });
    };
    assert_eq!(violated_after(true, already_warm), []);
}

fn list_change(at: f64, state: ListState, written: Option<f64>) -> ListChange {
    ListChange { at, position: 1, server: 0, state, sent_to_node_at: vec![written] }
}

#[test]
fn repeated_releases_of_a_session_that_its_client_left_are_no_violation_and_two_answers_are() {
    let answered_twice = |left: Option<f64>, answer: Answer| {
        move |b: &mut EventLog| {
            (b.requests[0].left_at, b.requests[0].answers) = (left, vec![(12.0, answer), (12.1, answer)]);
        }
    };
    assert_eq!(violated_after(true, answered_twice(Some(10.2), Answer::Failed)), []);
    assert_eq!(violated_after(true, answered_twice(None, Answer::Failed)), [Invariant::OneAnswerPerRequest]);
    assert_eq!(
        violated_after(true, answered_twice(Some(10.2), Answer::Refused)),
        [Invariant::OneAnswerPerRequest]
    );
    // The session was never established.
    let never_established = |b: &mut EventLog| {
        answered_twice(Some(10.2), Answer::Failed)(b);
        b.attempts[0].answered_at = None;
    };
    assert_eq!(violated_after(true, never_established), [Invariant::OneAnswerPerRequest]);
}

/// The process of a server dies, and its list entry goes later: its session is released within 8 s, or 1 s after the
/// node was informed if that is later.
#[test]
fn a_session_that_is_not_released_after_the_end_of_its_process_is_found() {
    let died = |released_at: f64, gone_at: f64| {
        move |b: &mut EventLog| {
            b.attempts[0].release_written = None;
            b.server_crashes.push((12.0, 0));
            b.list_changes.push(ListChange {
                at: gone_at,
                position: 1,
                server: 0,
                state: ListState::Gone,
                sent_to_node_at: vec![Some(gone_at)],
            });
            b.requests[0].ended_at = Some(released_at);
        }
    };
    assert_eq!(violated_after(true, died(20.04, 13.0)), []);
    assert_eq!(violated_after(true, died(20.06, 13.0)), [Invariant::ReleasesForwarded]);
    assert_eq!(violated_after(true, died(21.04, 20.0)), [], "only the list tells");
    assert_eq!(violated_after(true, died(21.06, 20.0)), [Invariant::ReleasesForwarded]);
    let never = |b: &mut EventLog| {
        died(20.0, 13.0)(b);
        b.requests[0].ended_at = None;
    };
    assert_eq!(violated_after(true, never), [Invariant::ReleasesForwarded]);
}
