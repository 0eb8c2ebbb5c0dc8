//! `lemontide requests`: joins the request logs of several controllers by session. It prints each request without an end,
//! with several ends, or with an end after its deadline, then how long each step took, and how many sessions were ended
//! by their viewers at once.

use crate::CommandResult;
use serde_json::Value as Json;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Log fields with the steps of a request in order, each in milliseconds since the request was read.
const STEP_FIELDS: [&str; 5] = ["decided_ms", "begun_ms", "answered_ms", "said_ms", "written_ms"];

/// The cause that a streamer reports if the viewer has ended its session.
const CAUSE_ENDED_BY_VIEWER: u64 = 31;
/// A session that its viewer ends earlier than this after the response counts as ended at once.
const ENDED_AT_ONCE_MS: f64 = 250.0;

/// Sessions that their viewers ended, by streamer: the number of all, and of those that were ended at once.
#[derive(Default)]
struct ViewerEndedSessions(BTreeMap<String, (usize, usize)>);

impl ViewerEndedSessions {
    /// Counts a log line if it reports that a viewer ended its session.
    fn count(&mut self, line: &Json) {
        let is_end = line["target"] == "streamers" && line["cause"].as_u64() == Some(CAUSE_ENDED_BY_VIEWER);
        let Some(playing_ms) = line["playing_ms"].as_f64().filter(|_| is_end) else { return };
        let streamer = line["streamer"].as_str().unwrap_or("?").to_owned();
        let (all, at_once) = self.0.entry(streamer).or_default();
        *all += 1;
        *at_once += usize::from(playing_ms < ENDED_AT_ONCE_MS);
    }

    /// Prints the totals, then a row for each streamer with sessions that were ended at once.
    fn print(&self) {
        let total = |count: fn(&(usize, usize)) -> usize| self.0.values().map(count).sum::<usize>();
        println!(
            "{} sessions ended by their viewers, {} within {ENDED_AT_ONCE_MS} ms of their answer",
            total(|counts| counts.0),
            total(|counts| counts.1)
        );
        for (streamer, (all, at_once)) in self.0.iter().filter(|(_, counts)| counts.1 > 0) {
            println!("{streamer:<12} {all:>10} {at_once:>10}");
        }
    }
}

/// What the logs contain about one request.
#[derive(Default)]
struct LoggedRequest {
    /// The log in which it was read, if the logs contain that event.
    read_in: Option<String>,
    /// The log events of its end; a correct request has one.
    ends: Vec<Json>,
}

/// Reads the request events of one log. A line may have a prefix before its JSON, such as a time stamp added by the
/// program that stored the log.
fn read_log(
    path: &Path,
    requests: &mut BTreeMap<String, LoggedRequest>,
    viewer_ended: &mut ViewerEndedSessions,
) -> std::io::Result<()> {
    for line in BufReader::new(File::open(path)?).split(b'\n') {
        let line = String::from_utf8_lossy(&line?).into_owned();
        let Some(event) = line.find('{').and_then(|start| serde_json::from_str::<Json>(&line[start..]).ok())
        else {
            continue;
        };
        viewer_ended.count(&event);
        let Some(session) = event["session"].as_str().filter(|_| event["target"] == "request") else {
            continue;
        };
        let request = requests.entry(session.to_owned()).or_default();
        match event["outcome"].is_string() {
            true => request.ends.push(event),
            false => request.read_in = Some(path.display().to_string()),
        }
    }
    Ok(())
}

/// Prints the report on these logs, or on the files in these folders. The exit code is 0 if every request has one end
/// in time, and 1 otherwise.
pub fn run(logs: &[PathBuf]) -> CommandResult {
    let (mut requests, mut viewer_ended) = (BTreeMap::new(), ViewerEndedSessions::default());
    for path in logs {
        match path.is_dir() {
            true => {
                for file in std::fs::read_dir(path)? {
                    read_log(&file?.path(), &mut requests, &mut viewer_ended)?;
                }
            }
            false => read_log(path, &mut requests, &mut viewer_ended)?,
        }
    }
    let mut wrong_count = 0;
    let mut step_times: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    let mut outcomes: BTreeMap<&str, usize> = BTreeMap::new();
    for (session, request) in &requests {
        let mut report = |fault: &str, details: &dyn std::fmt::Display| {
            wrong_count += 1;
            println!("{session}  {fault}: {details}");
        };
        match &request.ends[..] {
            [] => report("no end", request.read_in.as_ref().map_or(&"", |log| log)),
            [end] => {
                let late = end["written_ms"].as_f64().zip(end["wait_ms"].as_f64());
                if late.is_some_and(|(written, wait)| written > wait) {
                    report("an end after its time", end);
                }
            }
            ends => report("more than one end", &ends.len()),
        }
        for end in &request.ends {
            *outcomes.entry(end["outcome"].as_str().unwrap_or("?")).or_default() += 1;
            let mut previous_ms = 0.0;
            for step in STEP_FIELDS {
                if let Some(at_ms) = end[step].as_f64() {
                    step_times.entry(step).or_default().push(at_ms - previous_ms);
                    previous_ms = at_ms;
                }
            }
        }
    }
    println!("{} requests, {wrong_count} wrong; {outcomes:?}", requests.len());
    println!("{:<12} {:>10} {:>10} {:>10}  (ms since the previous step)", "step", "p50", "p99", "max");
    for step in STEP_FIELDS {
        let Some(times) = step_times.get_mut(step) else { continue };
        times.sort_by(f64::total_cmp);
        let percentile = |percent: usize| times[((times.len() - 1) * percent).div_ceil(100)];
        println!(
            "{:<12} {:>10.3} {:>10.3} {:>10.3}",
            step.trim_end_matches("_ms"),
            percentile(50),
            percentile(99),
            percentile(100)
        );
    }
    viewer_ended.print();
    Ok(if wrong_count == 0 { ExitCode::SUCCESS } else { ExitCode::from(1) })
}
