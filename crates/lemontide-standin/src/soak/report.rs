//! A run in words: one line where all is well, and the form of the operators' reports where a rule is broken.

use super::judge::{end_of, Break, Rule};
use super::plan::Plan;
use super::record::{Answer, Attempt, Book, ClientConnection, ListState, Record, Request, Signal};
use super::server_name;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::PathBuf;
use std::time::UNIX_EPOCH;

/// Cases of one rule, lines of one log, and characters of one line that are printed.
const CASES_MOST: usize = 5;
const LOG_LINES_MOST: usize = 40;
const LINE_MOST: usize = 400;

/// One line on a run.
pub fn summary(plan: &Plan, book: &Book, breaks: &[Break]) -> String {
    let served = book.requests.iter().filter(|r| r.answers.iter().any(|a| a.1 == Answer::Served)).count();
    let arrived = book.attempts.iter().filter(|attempt| attempt.arrived.is_some()).count();
    let verdict =
        if breaks.is_empty() { "no rule broken".to_owned() } else { format!("{} breaks", breaks.len()) };
    format!(
        "seed {}: {} nodes, {} servers, {} requests, {served} served, {} attempts, {arrived} arrived, late {:.0} ms: {verdict}",
        plan.seed, plan.nodes, plan.servers, book.requests.len(), book.attempts.len(), book.lateness.0 * 1e3,
    )
}

/// All requests and attempts of a run, its signals and its list: kept beside the logs.
pub fn record(plan: &Plan, book: &Book) -> String {
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = write_signals(&mut text, book).and_then(|()| write_list(&mut text, plan, book));
    for request in &book.requests {
        let _ = write_session(&mut text, plan, book, request.id);
    }
    text
}

/// What broke, with all that is known of it.
pub fn report(plan: &Plan, record: &Record, book: &Book, breaks: &[Break], logs: &[PathBuf]) -> String {
    if breaks.is_empty() {
        return String::new();
    }
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = write_report(&mut text, plan, record, book, breaks, logs);
    text
}

fn write_report(
    text: &mut String,
    plan: &Plan,
    record: &Record,
    book: &Book,
    breaks: &[Break],
    logs: &[PathBuf],
) -> std::fmt::Result {
    let started = record.started.duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64());
    writeln!(text, "What went wrong")?;
    writeln!(text, "seed {}, {} nodes; second 0 was {started:.3} (Unix)", plan.seed, plan.nodes)?;
    let mut by_rule: BTreeMap<Rule, Vec<&Break>> = BTreeMap::new();
    for found in breaks {
        by_rule.entry(found.rule).or_default().push(found);
    }
    for (rule, found) in &by_rule {
        writeln!(text, "\n{} ({} times)", rule.text(), found.len())?;
        for Break { session, what, .. } in found.iter().take(CASES_MOST) {
            writeln!(text, "{what}")?;
            if let Some(id) = session {
                write_session(text, plan, book, *id)?;
            }
        }
    }
    write_signals(text, book)?;
    write_list(text, plan, book)?;
    writeln!(text, "\nEvents of the seed")?;
    for (at, event) in &plan.events {
        writeln!(text, "{at:.3} {event:?}")?;
    }
    let sessions: Vec<u64> = breaks.iter().filter_map(|found| found.session).take(CASES_MOST).collect();
    for (node, log) in logs.iter().enumerate() {
        write_log(text, node, log, &sessions)?;
    }
    Ok(())
}

fn write_session(text: &mut String, plan: &Plan, book: &Book, id: u64) -> std::fmt::Result {
    if let Some(request) = book.by_id.get(&id).map(|at| &book.requests[*at]) {
        writeln!(text, "client: {}", client_line(request))?;
    }
    for attempt in book.attempts.iter().filter(|attempt| attempt.id == id) {
        writeln!(text, "  backend {}", attempt_line(plan, attempt))?;
    }
    Ok(())
}

fn client_line(request: &Request) -> String {
    let safety = if request.class.is_safe { "safe" } else { "unsafe" };
    let mut end = match (request.answers.first(), request.left, request.closed) {
        (Some((at, answer)), ..) => format!("ended {at:.3}: {answer:?}"),
        (None, Some(at), _) => format!("left {at:.3}"),
        (None, None, Some(at)) => format!("connection closed {at:.3}"),
        (None, None, None) => "never ended".to_owned(),
    };
    if let Some(at) = request.over {
        let _ = write!(end, ", over {at:.3}");
    }
    if request.is_sent_again {
        end += ", sent again after a close";
    }
    format!(
        "id {:016x} class {} ({safety}) to {}, sent {:.3}, would wait {}s, {end}",
        request.id,
        request.class.name,
        connection_name(&request.connection),
        request.sent,
        request.wait
    )
}

fn attempt_line(plan: &Plan, attempt: &Attempt) -> String {
    let time = |at: Option<f64>| at.map_or("-".to_owned(), |at| format!("{at:.3}"));
    format!(
        "{} from n{}: bytes {:.3} to {:.3}, taken {}, answered {}, ended {}, released {}: {}",
        server_name(plan.seed, attempt.server),
        attempt.node,
        attempt.first_byte,
        attempt.last_byte,
        time(attempt.arrived),
        time(attempt.answered),
        time(attempt.ended.map(|(at, _)| at)),
        time(attempt.release_written.map(|(at, _)| at)),
        end_of(attempt),
    )
}

/// A client's connection as it is printed: the node, the client, and which of its connections.
fn connection_name(connection: &ClientConnection) -> String {
    format!("n{} by c{}.{}", connection.node, connection.client, connection.number)
}

fn write_signals(text: &mut String, book: &Book) -> std::fmt::Result {
    writeln!(text, "\nSignals")?;
    for (at, node, signal) in &book.signals {
        let what = match signal {
            Signal::Started => "started",
            Signal::Ready => "ready",
            Signal::Terminate => "SIGTERM",
            Signal::Kill => "SIGKILL",
            Signal::Reconfigure => "SIGHUP",
            Signal::Exited { well: true } => "ended",
            Signal::Exited { well: false } => "crashed",
        };
        writeln!(text, "n{node} {at:.3} {what}")?;
    }
    Ok(())
}

fn write_list(text: &mut String, plan: &Plan, book: &Book) -> std::fmt::Result {
    writeln!(text, "\nThe list of servers")?;
    for event in &book.list {
        let state = match event.state {
            ListState::Ready => "ready",
            ListState::Draining => "draining",
            ListState::Gone => "gone",
        };
        writeln!(
            text,
            "{:.3} v{} {} {state}",
            event.at,
            event.position,
            server_name(plan.seed, event.server)
        )?;
    }
    let closes: Vec<String> =
        book.client_closes.iter().map(|(at, of)| format!("{} {at:.3}", connection_name(of))).collect();
    writeln!(text, "Connections that clients closed: {}", closes.join(", "))?;
    for (at, server) in &book.deaths {
        writeln!(text, "{at:.3} {} died", server_name(plan.seed, *server))?;
    }
    Ok(())
}

/// The lines of a node's log that name one of the sessions, and those of a crash.
fn write_log(text: &mut String, node: usize, log: &PathBuf, sessions: &[u64]) -> std::fmt::Result {
    writeln!(text, "\nLog of n{node}")?;
    let log = std::fs::read_to_string(log).unwrap_or_default();
    let ids: Vec<String> = sessions.iter().map(|id| format!("{id:016x}")).collect();
    let is_named = |line: &&str| line.contains("panicked") || ids.iter().any(|id| line.contains(id));
    for line in log.lines().filter(is_named).take(LOG_LINES_MOST) {
        writeln!(text, "{}", line.chars().take(LINE_MOST).collect::<String>())?;
    }
    Ok(())
}
