//! The judge of the soak names each fault that is written into a record, and nothing in a record without one.

use lemontide_standin::soak::judge::{judge, Rule};
use lemontide_standin::soak::record::{
    Answer, Attempt, AttemptEnd, BadClient, Book, ClientConnection, ColdBudget, ListEvent, ListState, Outage,
    Request, Signal, CLASSES,
};

const END: f64 = 60.0;
const ID: u64 = 7;

/// One request that is sent at 10, attempted once, served, and over at 12.
fn book(is_safe: bool) -> Book {
    let class = CLASSES.into_iter().find(|class| class.is_safe == is_safe).expect("there is one");
    let signals = vec![(0.0, 0, Signal::Started), (0.1, 0, Signal::Ready)];
    let mut book = Book { signals, ..Book::default() };
    book.requests.push(Request {
        id: ID,
        class,
        node: 0,
        connection: ClientConnection::default(),
        sent: 10.0,
        wait: class.deadline,
        is_repeated: false,
        is_first: false,
        left: None,
        answers: vec![(10.2, Answer::Served)],
        closed: None,
        is_sent_again: false,
        over: Some(12.0),
    });
    book.by_id.insert(ID, 0);
    let mut attempt = attempt(0, 10.0, 12.0, AttemptEnd::Stood);
    attempt.answered = Some(10.2);
    attempt.release_written = Some((12.0, 1));
    attempt.class = class.name.to_owned();
    book.attempts.push(attempt);
    book
}

fn attempt(server: usize, arrived: f64, ended: f64, end: AttemptEnd) -> Attempt {
    Attempt {
        id: ID,
        server,
        node: 0,
        class: CLASSES[1].name.to_owned(),
        first_byte: arrived,
        last_byte: arrived,
        arrived: Some(arrived),
        answered: None,
        ended: Some((ended, end)),
        release_written: None,
    }
}

fn broken(book: &Book) -> Vec<Rule> {
    let mut rules: Vec<Rule> = judge(book, END).into_iter().map(|found| found.rule).collect();
    rules.dedup();
    rules
}

/// What a change of a clean record breaks.
fn after(is_safe: bool, change: impl FnOnce(&mut Book)) -> Vec<Rule> {
    let mut book = book(is_safe);
    change(&mut book);
    broken(&book)
}

#[test]
fn a_record_without_a_fault_breaks_nothing() {
    assert_eq!((broken(&book(true)), broken(&book(false))), (vec![], vec![]));
}

#[test]
fn two_attempts_at_once_are_found_and_two_in_a_row_are_not() {
    let before = |ended| move |b: &mut Book| b.attempts.push(attempt(1, 9.9, ended, AttemptEnd::GivenUp));
    assert_eq!(after(true, before(10.001)), [Rule::Duplicates]);
    assert_eq!(after(true, before(9.999)), []);
    // Its answer was lost, so it stands on while the next one arrives.
    let stands = |b: &mut Book| b.attempts.push(attempt(1, 9.9, 11.0, AttemptEnd::Stood));
    assert_eq!(after(true, stands), [Rule::Duplicates]);
}

#[test]
fn what_may_not_be_repeated_is_not_sent_again_nor_refused_unless_nothing_ran() {
    let unsafe_attempt = |end| {
        move |b: &mut Book| {
            let class = CLASSES[0].name.to_owned();
            b.attempts.push(Attempt { class, ..attempt(1, 9.8, 9.9, end) });
        }
    };
    assert_eq!(after(false, unsafe_attempt(AttemptEnd::Answered { ran: true })), [Rule::Unsafe]);
    assert_eq!(after(false, unsafe_attempt(AttemptEnd::Answered { ran: false })), []);
    assert_eq!(after(false, |b| b.requests[0].answers = vec![(10.2, Answer::Refused)]), [Rule::Unsafe]);
}

#[test]
fn lost_requests_are_found_and_those_that_are_owed_nothing_are_not() {
    type Change = fn(&mut Book);
    let lost: [Change; 5] = [
        |b| b.requests[0].answers.clear(),
        |b| b.requests[0].answers = vec![(15.6, Answer::Failed)],
        |b| b.requests[0].answers.push((10.3, Answer::Served)),
        |b| b.requests[0].answers = vec![(10.2, Answer::ServedWrong)],
        // It came after the last call, and SIGKILL finds it.
        |b| {
            b.requests[0].answers.clear();
            b.signals.extend([(9.0, 0, Signal::Terminate), (12.7, 0, Signal::Kill)]);
        },
    ];
    for (number, change) in lost.into_iter().enumerate() {
        assert_eq!(after(true, change), [Rule::Lost], "case {number}");
    }
    let owed_nothing: [Change; 3] = [
        |b| {
            b.requests[0].answers.clear();
            b.requests[0].left = Some(10.5);
        },
        |b| {
            b.requests[0].answers.clear();
            b.signals.push((11.0, 0, Signal::Kill));
        },
        |b| {
            b.requests[0].answers.clear();
            b.signals.extend([(9.5, 0, Signal::Terminate), (13.2, 0, Signal::Kill)]);
        },
    ];
    for (number, change) in owed_nothing.into_iter().enumerate() {
        assert_eq!(after(true, change), [], "case {number}");
    }
}

#[test]
fn drains_count_from_when_the_node_was_told() {
    let drains = |at: f64, written: Option<f64>| {
        move |b: &mut Book| {
            let written = vec![written];
            b.list.push(ListEvent { at, position: 1, server: 0, state: ListState::Draining, written });
        }
    };
    assert_eq!(after(true, drains(9.6, Some(9.6))), [Rule::Drains]);
    assert_eq!(after(true, drains(9.8, Some(9.8))), []);
    // Discovery was down: six seconds after it is back, unless it was told before.
    let down = |written| {
        move |b: &mut Book| {
            drains(4.0, written)(b);
            b.outages.push(Outage { node: 0, from: 3.0, until: 5.0, open_ones_only: false });
        }
    };
    assert_eq!(after(true, down(None)), []);
    assert_eq!(after(true, down(Some(6.0))), [Rule::Drains]);
}

#[test]
fn leavers_releases_bad_clients_crashes_and_strays_are_found() {
    assert_eq!(after(true, |b| b.requests[0].left = Some(9.6)), [Rule::Left]);
    assert_eq!(after(true, |b| b.requests[0].left = Some(9.8)), [], "the first two are let pass");
    let closes = |at| {
        move |b: &mut Book| {
            b.requests[0].over = None;
            b.client_closes.push((at, ClientConnection::default()));
        }
    };
    assert_eq!(after(true, closes(11.9)), [Rule::Releases]);
    assert_eq!(after(true, closes(12.01)), [Rule::Releases], "its client has other connections");
    assert_eq!(after(true, |b| b.requests[0].over = None), [Rule::Releases]);
    assert_eq!(after(true, |b| b.signals.push((20.0, 0, Signal::Exited { well: false }))), [Rule::Crashes]);
    assert_eq!(after(true, |b| b.signals.retain(|s| s.2 != Signal::Ready)), [Rule::Crashes]);
    assert_eq!(after(true, |b| b.attempts[0].class = "other".into()), [Rule::Strays]);
    assert_eq!(after(true, |b| b.over_limit.push((3.0, 0, "900 descriptors".into()))), [Rule::Limits]);
    let bad = |heard, was_served| {
        move |b: &mut Book| {
            let what = "noise";
            b.bad_clients.push(BadClient {
                node: 0,
                what,
                connected: 5.0,
                heard,
                was_served,
                is_void: false,
            });
        }
    };
    assert_eq!(after(true, bad(None, false)), [Rule::BadClients]);
    assert_eq!(after(true, bad(Some(6.0), true)), [Rule::BadClients]);
    assert_eq!(after(true, bad(Some(6.0), false)), []);
}

/// A server comes back at 20 and takes 16 set-ups a second: 26 are let pass, of 27 most must be from nodes that knew.
#[test]
fn a_cold_server_that_gets_too_much_is_found() {
    let pushed = |sends: usize, told_at: f64, last: f64| {
        move |b: &mut Book| {
            b.cold_budget = Some(ColdBudget { sends: 16.0, window: 1.0, span: 10.0 });
            b.list = vec![list(15.0, ListState::Gone, None), list(20.0, ListState::Ready, Some(told_at))];
            for number in 0..sends {
                let at = 20.5 + (last - 20.5) * number as f64 / sends as f64;
                b.attempts.push(attempt(0, at, at + 0.001, AttemptEnd::Answered { ran: false }));
            }
        }
    };
    assert_eq!(after(true, pushed(26, 20.0, 21.4)), []);
    assert_eq!(after(true, pushed(27, 20.0, 21.4)), [Rule::Cold]);
    assert_eq!(after(true, pushed(27, 20.0, 22.0)), [], "over more than a window");
    let untold = |b: &mut Book| {
        pushed(27, 21.0, 21.4)(b);
        b.outages.push(Outage { node: 0, from: 19.0, until: 19.9, open_ones_only: false });
    };
    assert_eq!(after(true, untold), [], "most were sent before the node knew");
    let warm = |b: &mut Book| {
        pushed(27, 20.0, 21.4)(b);
        b.cold_budget = Some(ColdBudget { sends: 16.0, window: 1.0, span: 0.4 });
    };
    assert_eq!(after(true, warm), []);
}

fn list(at: f64, state: ListState, written: Option<f64>) -> ListEvent {
    ListEvent { at, position: 1, server: 0, state, written: vec![written] }
}

#[test]
fn releases_of_a_session_that_its_client_left_unread_are_no_answers_and_two_answers_are() {
    let heard = |left: Option<f64>, answer: Answer| {
        move |b: &mut Book| {
            (b.requests[0].left, b.requests[0].answers) = (left, vec![(12.0, answer), (12.1, answer)]);
        }
    };
    assert_eq!(after(true, heard(Some(10.2), Answer::Failed)), []);
    assert_eq!(after(true, heard(None, Answer::Failed)), [Rule::Lost]);
    assert_eq!(after(true, heard(Some(10.2), Answer::Refused)), [Rule::Lost]);
    // Nothing stood.
    let never_stood = |b: &mut Book| {
        heard(Some(10.2), Answer::Failed)(b);
        b.attempts[0].answered = None;
    };
    assert_eq!(after(true, never_stood), [Rule::Lost]);
}
