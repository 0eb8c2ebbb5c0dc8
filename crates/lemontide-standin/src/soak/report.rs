//! Prints a run: a summary line, and a report in the operators' form if an invariant is violated.

use super::event_log::{
    Answer, Attempt, ClientConnection, EventLog, ListState, NodeEvent, Recorder, Request,
};
use super::invariants::{attempt_outcome, Invariant, Violation};
use super::plan::Plan;
use super::server_name;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::PathBuf;
use std::time::UNIX_EPOCH;

/// The most violations of one invariant, lines of one log, and characters of one line that are printed.
const MAX_VIOLATIONS: usize = 5;
const MAX_LOG_LINES: usize = 40;
const MAX_LINE_LENGTH: usize = 400;

/// The summary of a run in one line.
pub fn summary(plan: &Plan, event_log: &EventLog, violations: &[Violation]) -> String {
    let served =
        event_log.requests.iter().filter(|r| r.answers.iter().any(|a| a.1 == Answer::Served)).count();
    let arrived = event_log.attempts.iter().filter(|attempt| attempt.arrived_at.is_some()).count();
    let verdict = if violations.is_empty() {
        "no rule broken".to_owned()
    } else {
        format!("{} violations", violations.len())
    };
    format!(
        "seed {}: {} nodes, {} servers, {} requests, {served} served, {} attempts, {arrived} arrived, late {:.0} ms: {verdict}",
        plan.seed, plan.node_count, plan.server_count, event_log.requests.len(), event_log.attempts.len(), event_log.max_lateness.0 * 1e3,
    )
}

/// The event log of a run as text: signals, the discovery list, requests and attempts. It is kept beside the logs.
pub fn event_log_text(plan: &Plan, event_log: &EventLog) -> String {
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = write_signals(&mut text, event_log).and_then(|()| write_list(&mut text, plan, event_log));
    for request in &event_log.requests {
        let _ = write_session(&mut text, plan, event_log, request.id);
    }
    text
}

/// The violations of a run with all that is known about them; empty if there are none.
pub fn report(
    plan: &Plan,
    recorder: &Recorder,
    event_log: &EventLog,
    violations: &[Violation],
    logs: &[PathBuf],
) -> String {
    if violations.is_empty() {
        return String::new();
    }
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = write_report(&mut text, plan, recorder, event_log, violations, logs);
    text
}

fn write_report(
    text: &mut String,
    plan: &Plan,
    recorder: &Recorder,
    event_log: &EventLog,
    violations: &[Violation],
    logs: &[PathBuf],
) -> std::fmt::Result {
    let started = recorder.started.duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64());
    writeln!(text, "What went wrong")?;
    writeln!(text, "seed {}, {} nodes; second 0 was {started:.3} (Unix)", plan.seed, plan.node_count)?;
    let mut by_invariant: BTreeMap<Invariant, Vec<&Violation>> = BTreeMap::new();
    for found in violations {
        by_invariant.entry(found.invariant).or_default().push(found);
    }
    for (invariant, found) in &by_invariant {
        writeln!(text, "\n{} ({} times)", invariant.description(), found.len())?;
        for Violation { session, details, .. } in found.iter().take(MAX_VIOLATIONS) {
            writeln!(text, "{details}")?;
            if let Some(id) = session {
                write_session(text, plan, event_log, *id)?;
            }
        }
    }
    write_signals(text, event_log)?;
    write_list(text, plan, event_log)?;
    writeln!(text, "\nEvents of the seed")?;
    for (at, fault) in &plan.faults {
        writeln!(text, "{at:.3} {fault:?}")?;
    }
    let sessions: Vec<u64> =
        violations.iter().filter_map(|found| found.session).take(MAX_VIOLATIONS).collect();
    for (node, log) in logs.iter().enumerate() {
        write_log(text, node, log, &sessions)?;
    }
    Ok(())
}

fn write_session(text: &mut String, plan: &Plan, event_log: &EventLog, id: u64) -> std::fmt::Result {
    if let Some(request) = event_log.request_index_by_id.get(&id).map(|at| &event_log.requests[*at]) {
        writeln!(text, "client: {}", request_line(request))?;
    }
    for attempt in event_log.attempts.iter().filter(|attempt| attempt.id == id) {
        writeln!(text, "  backend {}", attempt_line(plan, event_log, attempt))?;
    }
    Ok(())
}

fn request_line(request: &Request) -> String {
    let safety = if request.class.is_idempotent { "safe" } else { "unsafe" };
    let mut end = match (request.answers.first(), request.left_at, request.connection_closed_at) {
        (Some((at, answer)), ..) => format!("ended {at:.3}: {answer:?}"),
        (None, Some(at), _) => format!("left {at:.3}"),
        (None, None, Some(at)) => format!("connection closed {at:.3}"),
        (None, None, None) => "never ended".to_owned(),
    };
    if let Some(at) = request.ended_at {
        let _ = write!(end, ", over {at:.3}");
    }
    if request.is_resent {
        end += ", sent again after a close";
    }
    format!(
        "id {:016x} class {} ({safety}) to {}, sent {:.3}, would wait {}s, {end}",
        request.id,
        request.class.name,
        connection_name(&request.connection),
        request.sent_at,
        request.client_timeout_s
    )
}

fn attempt_line(plan: &Plan, event_log: &EventLog, attempt: &Attempt) -> String {
    let predecessors = event_log.predecessor_count(attempt.server, attempt.first_byte_at);
    let time = |at: Option<f64>| at.map_or("-".to_owned(), |at| format!("{at:.3}"));
    format!(
        "{} from n{}: bytes {:.3} to {:.3}, taken {}, answered {}, ended {}, released {}: {}",
        server_name(plan.seed, attempt.server, predecessors),
        attempt.node,
        attempt.first_byte_at,
        attempt.last_byte_at,
        time(attempt.arrived_at),
        time(attempt.answered_at),
        time(attempt.ended.map(|(at, _)| at)),
        time(attempt.release_written.map(|(at, _)| at)),
        attempt_outcome(attempt),
    )
}

/// A client's connection: the node, the client, and the number among the client's connections.
fn connection_name(connection: &ClientConnection) -> String {
    format!("n{} by c{}.{}", connection.node, connection.client, connection.number)
}

fn write_signals(text: &mut String, event_log: &EventLog) -> std::fmt::Result {
    writeln!(text, "\nSignals")?;
    for (at, node, event) in &event_log.node_events {
        let name = match event {
            NodeEvent::Started => "started",
            NodeEvent::Ready => "ready",
            NodeEvent::Terminate => "SIGTERM",
            NodeEvent::Kill => "SIGKILL",
            NodeEvent::Reconfigure => "SIGHUP",
            NodeEvent::Exited { is_expected: true } => "ended",
            NodeEvent::Exited { is_expected: false } => "crashed",
        };
        writeln!(text, "n{node} {at:.3} {name}")?;
    }
    Ok(())
}

fn write_list(text: &mut String, plan: &Plan, event_log: &EventLog) -> std::fmt::Result {
    writeln!(text, "\nThe list of servers")?;
    for change in &event_log.list_changes {
        let state = match change.state {
            ListState::Ready => "ready",
            ListState::Draining => "draining",
            ListState::Gone => "gone",
        };
        let listed_with_address = event_log.predecessor_count(change.server, change.at);
        // A server is told to be gone after its successor has taken the address.
        let predecessors = match change.state {
            ListState::Gone => listed_with_address.saturating_sub(1),
            ListState::Ready | ListState::Draining => listed_with_address,
        };
        writeln!(
            text,
            "{:.3} v{} {} {state}",
            change.at,
            change.position,
            server_name(plan.seed, change.server, predecessors)
        )?;
    }
    let closes: Vec<String> =
        event_log.client_closes.iter().map(|(at, of)| format!("{} {at:.3}", connection_name(of))).collect();
    writeln!(text, "Connections that clients closed: {}", closes.join(", "))?;
    for (at, server) in &event_log.server_crashes {
        let predecessors =
            event_log.successions.iter().filter(|(since, of)| of == server && since < at).count();
        writeln!(text, "{at:.3} {} died", server_name(plan.seed, *server, predecessors))?;
    }
    Ok(())
}

/// The lines of a node's log that contain the id of one of the sessions or a panic.
fn write_log(text: &mut String, node: usize, log: &PathBuf, sessions: &[u64]) -> std::fmt::Result {
    writeln!(text, "\nLog of n{node}")?;
    let log = std::fs::read_to_string(log).unwrap_or_default();
    let ids: Vec<String> = sessions.iter().map(|id| format!("{id:016x}")).collect();
    let is_relevant = |line: &&str| line.contains("panicked") || ids.iter().any(|id| line.contains(id));
    for line in log.lines().filter(is_relevant).take(MAX_LOG_LINES) {
        writeln!(text, "{}", line.chars().take(MAX_LINE_LENGTH).collect::<String>())?;
    }
    Ok(())
}
