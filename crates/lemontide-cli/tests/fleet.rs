//! Days with six or more controllers as processes, and faults between them: no rule is broken by all of them together, as
//! their taps show. The tests assert what must never happen; none depends on the speed of the machine.

use lemontide_wire::tap::{self, TapEvent, TapRecord};
use std::path::Path;
use std::process::Command;

/// Runs a day of the folder `days` and returns the records of its taps; fails if a rule is broken.
fn run_day(day: &str) -> Vec<TapRecord> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let folder = tempfile::tempdir().expect("a folder can be created");
    let output = Command::new(env!("CARGO_BIN_EXE_lemontide"))
        .args(["day", "run", &format!("days/{day}.json"), "--keep"])
        .arg(folder.path())
        .current_dir(root)
        .output()
        .expect("it runs");
    let printed = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{printed}");
    let taps = std::fs::read_dir(folder.path()).expect("the folder exists").flatten();
    let taps = taps.filter(|file| file.path().extension().is_some_and(|kind| kind == "tap"));
    let records: Vec<TapRecord> =
        taps.flat_map(|file| tap::read_records(&file.path()).expect("a tap can be read")).collect();
    let started =
        records.iter().filter(|record| matches!(record.event, TapEvent::ControllerStarted { .. })).count();
    assert!(started >= 6, "{started} controllers started");
    // A day without restarted, and so cold, streamers does not test the turns of controllers at cold streamers.
    let restarted =
        records.iter().filter(|record| matches!(record.event, TapEvent::StreamerStarted { .. })).count();
    assert_eq!(restarted, 3, "streamers that restarted cold");
    records
}

/// The number of messages that the relay passed, dropped, delayed and duplicated.
fn relayed_counts(records: &[TapRecord]) -> [u64; 4] {
    let mut counts = [0; 4];
    for record in records {
        if let TapEvent::Relayed { passed, dropped, delayed, duplicated, .. } = &record.event {
            for (sum, count) in counts.iter_mut().zip([passed, dropped, delayed, duplicated]) {
                *sum += count;
            }
        }
    }
    counts
}

#[test]
fn network_partition_into_three() {
    assert!(relayed_counts(&run_day("fleet-cut"))[1] > 0);
}

#[test]
fn message_loss_in_one_direction() {
    assert!(relayed_counts(&run_day("fleet-one-way"))[1] > 0);
}

#[test]
fn messages_delayed_longer_than_a_turn() {
    let [_, _, delayed, duplicated] = relayed_counts(&run_day("fleet-delay"));
    assert!(delayed > 0 && duplicated > 0);
}

#[test]
fn a_fleet_that_grows_and_shrinks() {
    let records = run_day("fleet-grows");
    let leaving = records.iter().filter(|record| matches!(record.event, TapEvent::Leaving { .. })).count();
    assert_eq!(leaving, 5);
}

#[test]
fn half_of_the_fleet_is_killed_at_once() {
    let records = run_day("fleet-killed");
    let killed = records.iter().filter(|record| matches!(record.event, TapEvent::Killed { .. })).count();
    assert_eq!(killed, 3);
}

#[test]
fn a_paused_controller_continues_with_an_outdated_view() {
    let records = run_day("fleet-still");
    let continued =
        records.iter().filter(|record| matches!(record.event, TapEvent::Continued { .. })).count();
    assert_eq!(continued, 1);
}

#[test]
fn slow_stalled_and_interrupted_links_to_streamers() {
    assert!(relayed_counts(&run_day("fleet-links"))[2] > 0);
}
