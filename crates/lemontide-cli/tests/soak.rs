//! The soak on fixed seeds: real processes of this build under combined troubles.

use std::io::Write;
use std::process::Command;
use std::sync::{Mutex, PoisonError};

/// First seed and count of each part; together they take about two minutes.
const PARTS: [(u64, u64); 4] = [(1, 16), (120, 2), (204, 2), (9001, 4)];
/// First seed and count of days of `front`, and their length in seconds.
const FRONT: (u64, u64, u64) = (1, 4, 6);
/// Seeds that are played at the same time at first.
const JOBS: u64 = 4;
/// Exit codes of `lemontide soak`: nothing broken, and not judged, as this machine was late.
const CLEAN: i32 = 0;
const NOT_JUDGED: i32 = 2;
/// The part of the seeds that must have been judged: with fewer, the soak has shown nothing.
const JUDGED_LEAST: f64 = 0.5;

/// Plays these seeds; those that could not be judged.
fn play(first: u64, count: u64, jobs: u64) -> Vec<u64> {
    let run = Command::new(env!("CARGO_BIN_EXE_lemontide"))
        .args(["soak", "--seconds", "10", "--jobs", &jobs.to_string()])
        .args(["--seed", &first.to_string(), "--count", &count.to_string()])
        .output()
        .expect("it runs");
    let told = String::from_utf8_lossy(&run.stdout);
    println!("{told}");
    let code = run.status.code();
    assert!(matches!(code, Some(CLEAN | NOT_JUDGED)), "{code:?}\n{told}");
    let late = told.lines().last().and_then(|line| line.rsplit_once('[')).expect("it names them").1;
    let late = late.trim_end_matches(']').split(", ").filter(|seed| !seed.is_empty());
    late.map(|seed| seed.parse().expect("a seed")).collect()
}

/// The two soaks take turns: each judges times, and neither is to be late by the other.
static TURN: Mutex<()> = Mutex::new(());

#[test]
fn no_rule_is_broken_on_fixed_days_of_front() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let (first, count, seconds) = FRONT;
    let run = Command::new(env!("CARGO_BIN_EXE_lemontide"))
        .args(["soak", "--front", "--jobs", &JOBS.to_string(), "--seconds", &seconds.to_string()])
        .args(["--seed", &first.to_string(), "--count", &count.to_string()])
        .output()
        .expect("it runs");
    let told = String::from_utf8_lossy(&run.stdout);
    assert!(run.status.success(), "{told}{}", String::from_utf8_lossy(&run.stderr));
    tell(&format!("soak of front: {count} seeds judged, no rule broken"));
}

/// Written past the test program's capture, so that a run that passes tells it too.
fn tell(what: &str) {
    let _ = writeln!(std::io::stderr(), "{what}");
}

#[test]
fn no_rule_is_broken_on_fixed_seeds() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let all: u64 = PARTS.iter().map(|part| part.1).sum();
    let late: Vec<u64> = PARTS.iter().flat_map(|(first, count)| play(*first, *count, JOBS)).collect();
    tell(&format!("soak: {} of {all} seeds not judged at first: {late:?}", late.len()));
    // Alone, so that they are in nobody's way.
    let late: Vec<u64> = late.into_iter().flat_map(|seed| play(seed, 1, 1)).collect();
    let judged = all - late.len() as u64;
    tell(&format!("soak: {judged} of {all} seeds judged, no rule broken; not judged: {late:?}"));
    assert!(judged as f64 >= JUDGED_LEAST * all as f64, "too few seeds judged: {judged} of {all}");
}
