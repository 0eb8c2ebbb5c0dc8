//! What the platform sends to a controller: the configuration file and the lines of the journal service.

use lemontide::interface::StreamerState;
use lemontide_platform::config::Config;
use lemontide_platform::journal::{read, Heard};

const EVENT: &str = r#"{"pos":4,"hosts":{"version":7,"full":false,"servers":[{"id":"s-1","addr":"127.0.0.1:9","zone":"a",
    "kind":"std","cell":2,"state":"terminating","weight":4,"started_ms":1500}]}}"#;

#[test]
fn an_event_is_applied_once_and_a_gap_causes_a_request() {
    let Heard::Next(event) = read(EVENT, 3, false) else { panic!("it is the next event") };
    let entry = &event.hosts.servers[0];
    assert_eq!((entry.stage(), entry.cell), (StreamerState::Draining, 2));
    assert_eq!(entry.started(), Some(lemontide::clock::Point::at(1.5)));
    assert_eq!(read(EVENT, 4, false), Heard::Nothing, "repeated by the service");
    for first in [false, true] {
        assert_eq!(
            read(EVENT, 2, first),
            Heard::Gap(4),
            "requested once more, on the first line of a connection too"
        );
    }
    let whole = EVENT.replace("\"full\":false", "\"full\":true");
    assert!(matches!(read(&whole, 2, true), Heard::Next(_)), "a full list has no gap");
}

#[test]
fn the_number_of_the_last_event_changes_nothing_unless_one_was_missed() {
    for line in [r#"{"pos":4}"#, "4"] {
        assert_eq!(read(line, 4, false), Heard::Nothing, "{line}");
        assert_eq!(read(line, 3, false), Heard::Missed, "{line}");
    }
    for line in ["", "{", r#"{"pos":4,"hosts":7}"#, "[]", "-1"] {
        assert_eq!(read(line, 3, false), Heard::Missed, "{line}");
    }
}

#[test]
fn an_error_in_the_configuration_names_the_place_and_the_remedy() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("config.json");
    let missing = Config::read(&file).expect_err("there is none");
    assert!(missing.contains("config.json") && missing.contains("RELAY_CONFIG"), "{missing}");
    std::fs::write(&file, r#"{"listen":"127.0.0.1:1","journal":"j","settings":{},"known":{"pos":"x"}}"#)
        .expect("written");
    let odd = Config::read(&file).expect_err("text is not a number");
    assert!(odd.contains("known.pos") && odd.contains("correct"), "{odd}");
    std::fs::write(
        &file,
        format!(
            r#"{{"listen":"127.0.0.1:1","seed":"ff","journal":"j","settings":{{}},
        "known":{{"pos":4,"entries":[{EVENT}]}}}}"#
        ),
    )
    .expect("written");
    let config = Config::read(&file).expect("it is valid");
    assert_eq!((config.seed(), config.limits.sockets, config.known.entries.len()), (255, 256, 1));
}
