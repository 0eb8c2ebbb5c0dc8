//! The text of values in logs. Log readers match it, so it must not change when a type or a field is renamed.

mod common;

use bytes::{BufMut, Bytes, BytesMut};
use common::{set_up_of, Harness, VIEWERS};
use lemontide::interface::Load;
use lemontide::log_values::Logged;
use lemontide_platform::codec::{cause, Body, Codec, RequestDetails, SessionReport, SetUp};
use lemontide_platform::config::KnownList;
use lemontide_platform::dispatcher::ConnectionLoss;
use lemontide_platform::replies::Departure;
use lemontide_platform::steps::Outcome;
use std::fmt::{self, Write};
use std::sync::{Arc, Mutex};
use tokio_util::codec::Decoder;
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

fn set_up() -> SetUp {
    SetUp {
        class: "live".into(),
        tenant: "acme".into(),
        title: "t1".into(),
        wait_ms: 900,
        is_retry: true,
        details: Some(RequestDetails {
            first_cell: 2,
            replicas: 3,
            max_rung: 4,
            is_retry: false,
            playing_at: Some("s7".into()),
        }),
        rung: None,
        description: Bytes::from_static(b"v=0"),
    }
}

const SET_UP_TEXT: &str = r#"SetUp { lane: "live", tenant: "acme", title: "t1", wait_ms: 900, retry: true, figures: Some(Figures { home: 2, copies: 3, top: 4, again: false, at: Some("s7") }), rung: None, description: b"v=0" }"#;

#[test]
fn set_ups_keep_their_field_names_in_logs() {
    assert_eq!(format!("{:?}", Logged(&set_up())), SET_UP_TEXT);
    let bare = SetUp { details: None, rung: Some(1), ..SetUp::default() };
    assert_eq!(
        format!("{:?}", Logged(bare)),
        r#"SetUp { lane: "", tenant: "", title: "", wait_ms: 0, retry: false, figures: None, rung: Some(1), description: b"" }"#
    );
}

#[test]
fn message_bodies_keep_their_names_in_logs() {
    let no_load = "load: Load { streams: None, link: None, rack: None }";
    let full_load = Load { streams: Some(8.0), link_utilization: Some(0.5), uplink_utilization: Some(0.25) };
    let texts = [
        (Body::SetUp(set_up()), format!("SetUp({SET_UP_TEXT})")),
        (Body::Invalid("no lane"), r#"Unusable("no lane")"#.into()),
        (Body::Progress, "Progress".into()),
        (
            Body::Answer { description: Bytes::from_static(b"d"), load: full_load },
            r#"Answer { description: b"d", load: Load { streams: Some(8.0), link: Some(0.5), rack: Some(0.25) } }"#
                .into(),
        ),
        (Body::release(41), format!("Release {{ cause: 41, stay_away_ms: None, {no_load} }}")),
        (
            Body::Release { cause: 42, retry_after_ms: Some(250), load: Load::default() },
            format!("Release {{ cause: 42, stay_away_ms: Some(250), {no_load} }}"),
        ),
        (Body::Acknowledged, "Heard".into()),
        (Body::Test, "Test".into()),
        (Body::TestResult { passed: true }, "Tested { passed: true }".into()),
        (Body::SessionReport(SessionReport::RateShare(0.5)), "Note(Share(0.5))".into()),
        (Body::SessionReport(SessionReport::Rung(3)), "Note(Rung(3))".into()),
        (Body::SessionReport(SessionReport::LinkUtilization(1.5)), "Note(Link(1.5))".into()),
        (Body::SessionReport(SessionReport::UplinkUtilization(2.0)), "Note(Rack(2.0))".into()),
        (Body::UnknownReport, "OtherNote".into()),
        (Body::Move, "Move".into()),
        (Body::Rung(2), "Rung(2)".into()),
    ];
    for (body, text) in texts {
        assert_eq!(format!("{:?}", Logged(&body)), text);
    }
}

#[test]
fn the_known_list_keeps_its_names_in_logs() {
    let known: KnownList = serde_json::from_value(serde_json::json!({
        "pos": 5,
        "entries": [{"pos": 4, "hosts": {"full": true, "servers": [
            {"id": "s1", "addr": "10.0.0.1:4000", "zone": "z1", "kind": "k", "cell": 2, "state": "in_service", "weight": 1.5},
        ]}}],
    }))
    .unwrap();
    assert_eq!(
        format!("{:?}", Logged(&known)),
        r#"Known { pos: 5, entries: [Event { pos: 4, hosts: Hosts { full: true, servers: [Entry { id: "s1", addr: "10.0.0.1:4000", zone: "z1", kind: "k", cell: 2, state: "in_service", weight: Some(1.5), started_ms: 0.0 }] } }] }"#
    );
    assert_eq!(format!("{:?}", Logged(KnownList::default())), "Known { pos: 0, entries: [] }");
}

/// `ConnectionLoss` is logged by its `Display`, the other types by their `Debug`.
#[test]
fn values_logged_as_they_are_keep_their_names() {
    let losses = [
        (ConnectionLoss::Refused, "Refused"),
        (ConnectionLoss::DialFailed, "Dark"),
        (ConnectionLoss::Disconnected, "Broke"),
    ];
    for (loss, name) in losses {
        assert_eq!(loss.to_string(), name);
    }
    let departures = [
        (Departure::Cancelled, "Cancelled"),
        (Departure::Closed, "Closed"),
        (Departure::NotReading, "NotReading"),
        (Departure::NumberReused, "NumberReused"),
    ];
    for (departure, name) in departures {
        assert_eq!(format!("{departure:?}"), name);
    }
    let outcomes = [
        (Outcome::Plays, "Plays"),
        (Outcome::Rejected, "Rejected"),
        (Outcome::Failed, "Failed"),
        (Outcome::ViewerLeft, "ViewerLeft"),
    ];
    for (outcome, name) in outcomes {
        assert_eq!(format!("{outcome:?}"), name);
    }
}

/// The body that a set-up with these parameters decodes to.
fn decode_set_up(parameters: &[(u8, &[u8])]) -> Body {
    let mut body = BytesMut::new();
    body.put_u8(1);
    body.put_u64(7);
    for (code, value) in parameters {
        body.put_u8(*code);
        body.put_u16(value.len() as u16);
        body.put_slice(value);
    }
    let mut whole = BytesMut::new();
    whole.put_u16(body.len() as u16);
    whole.extend_from_slice(&body);
    Codec.decode(&mut whole).expect("decodes").expect("complete").body
}

/// The reason is the value of the log field `why`.
#[test]
fn invalid_set_ups_keep_their_reasons_in_logs() {
    const VALID: &[(u8, &[u8])] =
        &[(64, b"paid"), (66, b"1500"), (72, b"t"), (74, b"home:0;copies:1;top:0"), (94, b"d")];
    assert!(matches!(decode_set_up(VALID), Body::SetUp(_)));
    let reasons: [(u8, Option<&[u8]>, &str); 9] = [
        (64, None, "no lane"),
        (66, None, "no wait in milliseconds"),
        (72, None, "no title"),
        (94, None, "no description"),
        (70, Some(b"yes"), "the mark of a retry is neither 0 nor 1"),
        (86, Some(b"high"), "the rung is no number"),
        (74, Some(b"\xff"), "figures are no text"),
        (74, Some(b"home:x"), "a figure is no number"),
        (74, Some(b"home:1"), "home, copies or top is missing"),
    ];
    for (code, value, why) in reasons {
        let mut parameters: Vec<_> = VALID.iter().copied().filter(|(own, _)| *own != code).collect();
        parameters.extend(value.map(|value| (code, value)));
        assert_eq!(decode_set_up(&parameters), Body::Invalid(why));
    }
}

#[test]
fn the_dispatcher_logs_under_the_outer_names() {
    let events = Collector::collect(|| {
        let mut harness = Harness::new();
        harness.request("nobody");
        let no_details = SetUp { details: None, ..set_up_of("free") };
        harness.request_on(VIEWERS, no_details);
        harness.viewer_sends(VIEWERS, 99, Body::Invalid("no lane"));
        let refused = harness.request("free");
        while harness.final_answer(refused).is_none() {
            let load = Load { streams: Some(2.0), link_utilization: Some(0.5), uplink_utilization: None };
            harness.streamer_sends(refused, Body::Release { cause: cause::FULL, retry_after_ms: None, load });
        }
        harness.request("paid");
        harness.advance(2.97);
        let lost = harness.request("paid");
        let (link, _) = harness.last_attempt(lost).expect("it was sent");
        harness.lose_connection(link, ConnectionLoss::Disconnected);
    });
    assert_logged(
        &events,
        r#"set_up=SetUp { lane: "nobody", tenant: "acme", title: "t", wait_ms: 3000, retry: false, figures: Some(Figures { home: 0, copies: 4, top: 2, again: false, at: None }), rung: None, description: b"asked" }"#,
    );
    assert_logged(&events, r#"INFO viewers why="no such lane""#);
    assert_logged(&events, r#"INFO viewers why="no figures""#);
    assert_logged(&events, r#"INFO viewers why="no lane""#);
    assert_logged(&events, "ending=SentBack proof=SetUpRefused");
    assert_logged(
        &events,
        "ending=SentBack plays=false load=Load { streams: Some(2.0), link: Some(0.5), rack: None }",
    );
    assert_logged(&events, r#"lane="free" shots=3 body=Release { cause: 42, stay_away_ms: "#);
    assert_logged(&events, "load: Load { streams: None, link: None, rack: None } }");
    assert_logged(&events, "loss=Broke waiting=0");
    assert_logged(&events, "given_up=Some(GivenUp { on: Connection { link: ");
    assert_logged(&events, "is_closed: false, is_first: true, ending: TimedOut, test: Some(");
    assert_logged(&events, "is_closed: false, is_first: true, ending: Broken, test: None })");
}
