//! The text of values in logs. Log readers match it, so it must not change when a type or a field is renamed.

use lemontide::interface::{AttemptOutcome, Load};
use lemontide::log_values::Logged;

#[test]
fn outcomes_keep_their_names_in_logs() {
    let names = [
        (AttemptOutcome::Served, "Served"),
        (AttemptOutcome::Errored, "Errored"),
        (AttemptOutcome::Refused, "SentBack"),
        (AttemptOutcome::TimedOut, "TimedOut"),
        (AttemptOutcome::NoConnection, "NoConnection"),
        (AttemptOutcome::ConnectionLost, "Broken"),
        (AttemptOutcome::Cancelled, "Cancelled"),
        (AttemptOutcome::NotSent, "NotSent"),
        (AttemptOutcome::Unknown, "Unknown"),
    ];
    for (outcome, name) in names {
        assert_eq!(outcome.log_name(), name);
        assert_eq!(format!("{:?}", Logged(outcome)), name);
        assert_eq!(format!("{:?}", Logged(Some(outcome))), format!("Some({name})"));
    }
    assert_eq!(format!("{:?}", Logged(None::<AttemptOutcome>)), "None");
}

#[test]
fn loads_keep_their_field_names_in_logs() {
    assert_eq!(format!("{:?}", Logged(Load::default())), "Load { streams: None, link: None, rack: None }");
    let load = Load { streams: Some(3.0), link_utilization: Some(0.5), uplink_utilization: Some(1.25) };
    assert_eq!(
        format!("{:?}", Logged(load)),
        "Load { streams: Some(3.0), link: Some(0.5), rack: Some(1.25) }"
    );
}
