//! `lemontide requests`: joins the controllers' logs of requests by session, and prints each request without an end, with
//! two ends, or with an end after its time, and how long each step took.

use crate::Outcome;
use serde_json::Value as Json;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The steps of a request in order, each told in milliseconds since it was read.
const STEPS: [&str; 5] = ["decided_ms", "begun_ms", "answered_ms", "said_ms", "written_ms"];

/// What the logs tell of one session.
#[derive(Default)]
struct Request {
    /// Where it was read, where the logs tell of readings.
    read: Option<String>,
    ends: Vec<Json>,
}

/// Reads the lines of requests in one log; a line may have something before its JSON, as the hour of whoever kept it.
fn read(path: &Path, all: &mut BTreeMap<String, Request>) -> std::io::Result<()> {
    for line in BufReader::new(File::open(path)?).split(b'\n') {
        let line = String::from_utf8_lossy(&line?).into_owned();
        let Some(json) = line.find('{').and_then(|at| serde_json::from_str::<Json>(&line[at..]).ok()) else {
            continue;
        };
        let Some(session) = json["session"].as_str().filter(|_| json["target"] == "request") else {
            continue;
        };
        let request = all.entry(session.to_owned()).or_default();
        match json["outcome"].is_string() {
            true => request.ends.push(json),
            false => request.read = Some(path.display().to_string()),
        }
    }
    Ok(())
}

/// Prints the account of these logs, or of the files in these folders; 0 where nothing is wrong.
pub fn run(logs: &[PathBuf]) -> Outcome {
    let mut all = BTreeMap::new();
    for path in logs {
        match path.is_dir() {
            true => {
                for file in std::fs::read_dir(path)? {
                    read(&file?.path(), &mut all)?;
                }
            }
            false => read(path, &mut all)?,
        }
    }
    let mut wrong = 0;
    let mut took: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    let mut outcomes: BTreeMap<&str, usize> = BTreeMap::new();
    for (session, request) in &all {
        let mut tell = |what: &str, more: &dyn std::fmt::Display| {
            wrong += 1;
            println!("{session}  {what}: {more}");
        };
        match &request.ends[..] {
            [] => tell("no end", request.read.as_ref().map_or(&"", |at| at)),
            [end] => {
                let late = end["written_ms"].as_f64().zip(end["wait_ms"].as_f64());
                if late.is_some_and(|(written, wait)| written > wait) {
                    tell("an end after its time", end);
                }
            }
            more => tell("more than one end", &more.len()),
        }
        for end in &request.ends {
            *outcomes.entry(end["outcome"].as_str().unwrap_or("?")).or_default() += 1;
            let mut before = 0.0;
            for step in STEPS {
                if let Some(at) = end[step].as_f64() {
                    took.entry(step).or_default().push(at - before);
                    before = at;
                }
            }
        }
    }
    println!("{} requests, {wrong} wrong; {outcomes:?}", all.len());
    println!("{:<12} {:>10} {:>10} {:>10}  (ms since the step before)", "step", "p50", "p99", "max");
    for step in STEPS {
        let Some(times) = took.get_mut(step) else { continue };
        times.sort_by(f64::total_cmp);
        let at = |part: usize| times[((times.len() - 1) * part).div_ceil(100)];
        println!("{:<12} {:>10.3} {:>10.3} {:>10.3}", step.trim_end_matches("_ms"), at(50), at(99), at(100));
    }
    Ok(if wrong == 0 { ExitCode::SUCCESS } else { ExitCode::from(1) })
}
