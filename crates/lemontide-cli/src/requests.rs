//! `lemontide requests`: joins the controllers' logs of requests by session, and prints each request without an end, with
//! two ends, or with an end after its time, how long each step took, and how many sessions their viewers ended at once.

use crate::CommandResult;
use serde_json::Value as Json;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The steps of a request in order, each told in milliseconds since it was read.
const STEPS: [&str; 5] = ["decided_ms", "begun_ms", "answered_ms", "said_ms", "written_ms"];

/// The cause by which a streamer tells that the viewer has ended its session.
const ENDED_BY_VIEWER: u64 = 31;
/// A viewer that ends its session sooner than this after its answer has left at once, in milliseconds.
const AT_ONCE_MS: f64 = 250.0;

/// Sessions that their viewers ended, by streamer: all, and those that were ended at once.
#[derive(Default)]
struct EndedByViewers(BTreeMap<String, (usize, usize)>);

impl EndedByViewers {
    /// Counts a line of a log, if it tells of such an end.
    fn count(&mut self, line: &Json) {
        let is_end = line["target"] == "streamers" && line["cause"].as_u64() == Some(ENDED_BY_VIEWER);
        let Some(playing_ms) = line["playing_ms"].as_f64().filter(|_| is_end) else { return };
        let streamer = line["streamer"].as_str().unwrap_or("?").to_owned();
        let (all, at_once) = self.0.entry(streamer).or_default();
        *all += 1;
        *at_once += usize::from(playing_ms < AT_ONCE_MS);
    }

    /// Prints the sums, and the streamers with such ends.
    fn print(&self) {
        let sum = |of: fn(&(usize, usize)) -> usize| self.0.values().map(of).sum::<usize>();
        println!(
            "{} sessions ended by their viewers, {} within {AT_ONCE_MS} ms of their answer",
            sum(|ends| ends.0),
            sum(|ends| ends.1)
        );
        for (streamer, (all, at_once)) in self.0.iter().filter(|(_, ends)| ends.1 > 0) {
            println!("{streamer:<12} {all:>10} {at_once:>10}");
        }
    }
}

/// What the logs tell of one session.
#[derive(Default)]
struct Request {
    /// Where it was read, where the logs tell of readings.
    read: Option<String>,
    ends: Vec<Json>,
}

/// Reads the lines of requests in one log; a line may have something before its JSON, as the hour of whoever kept it.
fn read(path: &Path, all: &mut BTreeMap<String, Request>, ended: &mut EndedByViewers) -> std::io::Result<()> {
    for line in BufReader::new(File::open(path)?).split(b'\n') {
        let line = String::from_utf8_lossy(&line?).into_owned();
        let Some(json) = line.find('{').and_then(|at| serde_json::from_str::<Json>(&line[at..]).ok()) else {
            continue;
        };
        ended.count(&json);
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
pub fn run(logs: &[PathBuf]) -> CommandResult {
    let (mut all, mut ended) = (BTreeMap::new(), EndedByViewers::default());
    for path in logs {
        match path.is_dir() {
            true => {
                for file in std::fs::read_dir(path)? {
                    read(&file?.path(), &mut all, &mut ended)?;
                }
            }
            false => read(path, &mut all, &mut ended)?,
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
    ended.print();
    Ok(if wrong == 0 { ExitCode::SUCCESS } else { ExitCode::from(1) })
}
