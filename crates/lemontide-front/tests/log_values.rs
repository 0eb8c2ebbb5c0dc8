//! The text of values in logs. Log readers match it, so it must not change when a type or a field is renamed.

#[allow(dead_code)] // a part of it is used by other tests only
mod common;

use common::Simulation;
use lemontide::interface::AttemptOutcome;
use lemontide::log_values::Logged;
use lemontide_front::core::{AbandonedAttempt, Connection, Proof};
use lemontide_gossip::membership::MembershipChange;
use lemontide_shed::memory::MemoryStage;
use lemontide_wire::link::How;
use std::fmt::{self, Write};
use std::sync::{Arc, Mutex};
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Metadata, Subscriber};

/// Collects log events as text, a line each: level, target, then the fields as `name=value`.
#[derive(Clone, Default)]
struct Collector(Arc<Mutex<Vec<String>>>);

impl Collector {
    /// The events that `run` logs.
    fn collect(run: impl FnOnce()) -> Vec<String> {
        let collector = Collector::default();
        tracing::subscriber::with_default(collector.clone(), run);
        let events = collector.0.lock().unwrap().clone();
        events
    }
}

struct Fields<'a>(&'a mut String);

impl Visit for Fields<'_> {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() != "message" {
            write!(self.0, " {}={value:?}", field.name()).unwrap();
        }
    }
}

impl Subscriber for Collector {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }
    fn new_span(&self, _: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }
    fn record(&self, _: &Id, _: &Record<'_>) {}
    fn record_follows_from(&self, _: &Id, _: &Id) {}
    fn event(&self, event: &Event<'_>) {
        let mut line = format!("{} {}", event.metadata().level(), event.metadata().target());
        event.record(&mut Fields(&mut line));
        self.0.lock().unwrap().push(line);
    }
    fn enter(&self, _: &Id) {}
    fn exit(&self, _: &Id) {}
}

/// Asserts that one of the events contains the text.
fn assert_logged(events: &[String], text: &str) {
    assert!(events.iter().any(|event| event.contains(text)), "{text} is not in {events:#?}");
}

#[test]
fn abandoned_attempts_keep_their_field_names_in_logs() {
    let attempt = AbandonedAttempt {
        connection: Connection { link: 4, dial: 2 },
        connection_closed: false,
        is_first_attempt: true,
        outcome: AttemptOutcome::ConnectionLost,
        test: Some(17),
    };
    assert_eq!(
        format!("{:?}", Logged(Some(attempt))),
        "Some(GivenUp { on: Connection { link: 4, dial: 2 }, is_closed: false, is_first: true, ending: Broken, \
         test: Some(17) })"
    );
    let attempt = AbandonedAttempt {
        connection_closed: true,
        is_first_attempt: false,
        outcome: AttemptOutcome::TimedOut,
        test: None,
        ..attempt
    };
    assert_eq!(
        format!("{:?}", Logged(attempt)),
        "GivenUp { on: Connection { link: 4, dial: 2 }, is_closed: true, is_first: false, ending: TimedOut, \
         test: None }"
    );
    assert_eq!(format!("{:?}", Logged(None::<AbandonedAttempt>)), "None");
}

/// These types are logged as `Debug` prints them.
#[test]
fn values_logged_by_debug_keep_their_names() {
    let proofs = [
        (Proof::NeverBegan, "NeverBegan"),
        (Proof::SetUpRefused, "SetUpRefused"),
        (Proof::Released, "Released"),
        (Proof::EndRead, "EndRead"),
        (Proof::EndAcknowledged, "EndAcknowledged"),
        (Proof::ClosedByStreamer, "ClosedByStreamer"),
        (Proof::ProcessGone, "ProcessGone"),
    ];
    for (proof, name) in proofs {
        assert_eq!(format!("{proof:?}"), name);
    }
    let stages = [
        (MemoryStage::Free, "Free"),
        (MemoryStage::Shed, "Shed"),
        (MemoryStage::Caches, "Caches"),
        (MemoryStage::History, "History"),
    ];
    for (stage, name) in stages {
        assert_eq!(format!("{stage:?}"), name);
    }
    let changes = [
        (MembershipChange::Joined("b".into()), r#"Joined("b")"#),
        (MembershipChange::Suspected("b".into()), r#"Suspected("b")"#),
        (MembershipChange::Died("b".into()), r#"Died("b")"#),
        (MembershipChange::Returned("b".into()), r#"Returned("b")"#),
        (MembershipChange::Left("b".into()), r#"Left("b")"#),
    ];
    for (change, text) in changes {
        assert_eq!(format!("{change:?}"), text);
    }
}

#[test]
fn decisions_and_attempts_are_logged_under_the_outer_names() {
    let events = Collector::collect(|| {
        let mut simulation = Simulation::new();
        let refused = simulation.submit("free");
        while simulation.is_waiting(refused) {
            simulation.end_attempt(refused, How::SentBack);
        }
        let lost = simulation.submit("paid");
        let (streamer, _) = simulation.last_attempt(lost);
        simulation.close_by_streamer(streamer);
        let unanswered = simulation.submit("paid");
        simulation.advance(2.97);
        assert!(!simulation.is_waiting(unanswered));
    });
    assert_logged(&events, r#"verdict="shot" shots=1 last_ending=None left_s="#);
    assert_logged(&events, r#"verdict="shot" shots=2 last_ending=Some(SentBack) left_s="#);
    assert_logged(&events, r#"verdict="turned back" shots=3 last_ending=Some(SentBack) left_s="#);
    assert_logged(&events, r#"verdict="scrapped" shots=1 last_ending=Some(Broken) left_s="#);
    assert_logged(&events, r#"DEBUG decision ask="a2" lane="paid" title="t" verdict="#);
    assert_logged(&events, r#"DEBUG attempt ask="a3" number=0 on=Connection { link: "#);
    assert_logged(&events, "ending=TimedOut test=Some(");
}
