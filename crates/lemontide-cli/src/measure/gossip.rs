//! `lemontide measure gossip`: real controllers on loopback with and without gossip and a liar, then the same core
//! at large sizes in virtual time.

use crate::Outcome;
use lemontide_standin::day::{Day, DayGossip, FaultKind};
use lemontide_standin::judge::{check_rules, Verdict};
use lemontide_standin::run::{self, RunOptions};
use lemontide_standin::simulated_network::{instance_name, NetworkConfig, SimulatedNetwork};
use lemontide_wire::tap::{self, TapRecord};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::process::ExitCode;

type Failed = Box<dyn std::error::Error + Send + Sync>;

#[derive(clap::Args)]
pub struct Args {
    /// The day that controllers play; its gossip is set by the measurement.
    #[arg(long, default_value = "days/gossip.json")]
    day: std::path::PathBuf,
    /// Bytes a second that each controller may send.
    #[arg(long, default_value_t = 8192)]
    budget: usize,
    /// Sizes of the towns in virtual time.
    #[arg(long, value_delimiter = ',', default_values_t = [20usize, 100, 300, 1000])]
    towns: Vec<usize>,
    /// Seconds of virtual time of each town, for the first size; larger ones take less.
    #[arg(long, default_value_t = 600.0)]
    seconds: f64,
    /// Leave out the controllers.
    #[arg(long)]
    towns_only: bool,
}

/// What one run of the day came to.
struct Run {
    verdict: Verdict,
    /// Set-ups to streamers that failed while they did, and to the others all day.
    to_failing: usize,
    to_healthy: BTreeMap<String, usize>,
    /// Seconds from the start of the failures until each controller sent its last set-up there before their end.
    avoided_s: f64,
    most_bytes: usize,
    mean_bytes: f64,
}

fn play(day: &Day, gossip: Option<DayGossip>, folder: &Path) -> Result<Run, Failed> {
    let mut day = day.clone();
    day.gossip = gossip;
    let trouble = day.faults.iter().find_map(|trouble| match &trouble.kind {
        FaultKind::QuickErrors { on, .. } => {
            Some((trouble.at_s, trouble.at_s + trouble.duration_s, on.clone()))
        }
        _ => None,
    });
    let (from, to, on) = trouble.ok_or("the day has no quick errors, which this measures")?;
    let failing: BTreeSet<String> = on.iter().map(|at| day.streamers[*at].name.clone()).collect();
    let how = RunOptions { program: std::env::current_exe()?, folder: folder.to_owned(), defect: None };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let ran = runtime.block_on(run::run(day, how))?;
    let mut lines: Vec<TapRecord> = Vec::new();
    for path in ran.taps.iter().filter(|path| path.exists()) {
        lines.extend(tap::read_records(path)?);
    }
    let verdict = check_rules(&lines).ok_or("the taps state no terms")?;
    let opens = lines
        .iter()
        .filter(|l| matches!(l.event, tap::TapEvent::RequestSent { .. }))
        .map(|l| l.at)
        .fold(f64::MAX, f64::min);
    let (mut to_failing, mut to_healthy, mut last) = (0, BTreeMap::new(), 0.0f64);
    let (mut seconds, mut bytes, mut most_bytes) = (0usize, 0usize, 0usize);
    for line in &lines {
        match &line.event {
            tap::TapEvent::AttemptSent { streamer, .. } => {
                let at = line.at - opens;
                if failing.contains(streamer) && (from..to).contains(&at) {
                    to_failing += 1;
                    last = last.max(at - from);
                } else if !failing.contains(streamer) {
                    *to_healthy.entry(streamer.clone()).or_default() += 1;
                }
            }
            tap::TapEvent::GossipSent { bytes: sent } => {
                seconds += 1;
                bytes += sent;
                most_bytes = most_bytes.max(*sent);
            }
            _ => {}
        }
    }
    let mean_bytes = bytes as f64 / seconds.max(1) as f64;
    Ok(Run { verdict, to_failing, to_healthy, avoided_s: last, most_bytes, mean_bytes })
}

fn quantile(sorted: &[f64], q: f64) -> f64 {
    let place = (q * (sorted.len().max(1) - 1) as f64).round() as usize;
    sorted.get(place).copied().unwrap_or(f64::NAN)
}

/// Bytes a second in quiet, the time in which three voices reach everybody, and false deaths at two rates of loss.
fn town(size: usize, seconds: f64, budget: usize) -> Value {
    // As much work for a large town as for a small one: so many instance-seconds.
    let lasts = (seconds * 20.0 / size as f64).clamp(40.0, seconds);
    let plan = NetworkConfig { bytes_per_s: budget, preloaded: true, ..NetworkConfig::of(size) };
    let mut quiet = SimulatedNetwork::new(plan.clone());
    quiet.advance(lasts);
    let mean = quiet.mean_bytes_per_second(lasts);
    let mut most = quiet.max_bytes_in_a_second();
    for i in 0..3 {
        (0..3).for_each(|_| quiet.with_node(i, |node, now| node.record_outcome(now, "s", false)));
    }
    let mut heard = vec![f64::NAN; size];
    let mut passed = 0.0;
    while passed < 30.0 && heard.iter().any(|at| at.is_nan()) {
        quiet.advance(0.1);
        passed += 0.1;
        for (i, at) in heard.iter_mut().enumerate().filter(|(_, at)| at.is_nan()) {
            if quiet.with_node(i, |node, now| node.failure_scores(now).contains_key("s")) {
                *at = passed;
            }
        }
    }
    let reached = heard.iter().filter(|at| !at.is_nan()).count() as f64 / size as f64;
    let mut spread: Vec<f64> = heard.into_iter().filter(|at| !at.is_nan()).collect();
    spread.sort_by(f64::total_cmp);
    most = most.max(quiet.max_bytes_in_a_second());
    let deaths = |loss: f64| {
        let mut town = SimulatedNetwork::new(NetworkConfig { loss, seed: 5, ..plan.clone() });
        let (mut dead, mut passed) = (0usize, 0.0);
        while passed < lasts {
            town.advance(1.0);
            passed += 1.0;
            for i in 0..size {
                let changes = town.with_node(i, |node, _| node.take_changes());
                dead += changes
                    .iter()
                    .filter(|c| matches!(c, lemontide_gossip::membership::MembershipChange::Died(_)))
                    .count();
            }
        }
        let most = town.max_bytes_in_a_second();
        // Of one instance by another, for each hour of one instance's life.
        (dead as f64 / (size as f64 * lasts / 3600.0), most, town.known_pair_ratio())
    };
    let ((five, most5, knows5), (twenty, most20, knows20)) = (deaths(0.05), deaths(0.2));
    json!({
        "instances": size, "virtual_s": lasts, "mean_bytes_per_s": mean,
        "most_bytes_in_a_s": most.max(most5).max(most20),
        "spread_p50_s": quantile(&spread, 0.5), "spread_p99_s": quantile(&spread, 0.99), "reached": reached,
        "false_deaths_an_hour_5": five, "false_deaths_an_hour_20": twenty,
        "acquaintance_5": knows5, "acquaintance_20": knows20,
    })
}

pub fn run(args: &Args) -> Outcome {
    let mut fine = true;
    let mut figures = json!({"measure": "gossip", "budget": args.budget});
    if !args.towns_only {
        let day = Day::read(&args.day)?;
        let scratch = tempfile::tempdir()?;
        let with = |liar| Some(DayGossip { bytes_per_s: args.budget, has_lying_member: liar, period_s: 1.0 });
        println!(
            "{} controllers, {} streamers (stand-ins), the same day three times",
            day.controllers.len(),
            day.streamers.len()
        );
        println!(
            "{:<22} {:>10} {:>10} {:>12} {:>12} {:>12} {:>9} {:>7}",
            "", "to failing", "last at s", "service", "worst 10 s", "bytes/s", "most", "clean"
        );
        let mut runs = Vec::new();
        for (label, gossip) in
            [("no gossip", None), ("gossip", with(false)), ("gossip, one liar", with(true))]
        {
            let run = play(&day, gossip, &scratch.path().join(label))?;
            let (service, clean) = (&run.verdict.service, run.verdict.is_clean());
            println!(
                "{label:<22} {:>10} {:>10.1} {:>12.3} {:>12.3} {:>12.0} {:>9} {:>7}",
                run.to_failing,
                run.avoided_s,
                service.overall,
                service.worst_ten_s,
                run.mean_bytes,
                run.most_bytes,
                clean
            );
            if !clean {
                print!("{}", run.verdict.table());
            }
            // A whole second of the clock may hold parts of two windows' budgets.
            fine &= clean && run.most_bytes <= 2 * args.budget;
            runs.push(run);
        }
        let (honest, lied) = (&runs[1], &runs[2]);
        let all = |run: &Run| run.to_healthy.values().sum::<usize>().max(1) as f64;
        let shares: Vec<f64> = honest
            .to_healthy
            .iter()
            .filter(|(_, count)| **count >= 20)
            .map(|(streamer, count)| {
                let with = lied.to_healthy.get(streamer).copied().unwrap_or(0) as f64 / all(lied);
                with / (*count as f64 / all(honest))
            })
            .collect();
        let least = shares.iter().copied().fold(f64::INFINITY, f64::min);
        println!(
            "share of a healthy streamer with the liar over without: least {least:.2} of {}",
            shares.len()
        );
        // Abandoned would be next to nothing; shares differ from run to run by chance.
        fine &= least > 0.25;
        figures["controllers"] = json!(day.controllers.len());
        figures["to_failing"] = json!(runs.iter().map(|run| run.to_failing).collect::<Vec<_>>());
        figures["last_to_failing_s"] = json!(runs.iter().map(|run| run.avoided_s).collect::<Vec<_>>());
        figures["service"] = json!(runs.iter().map(|run| run.verdict.service.overall).collect::<Vec<_>>());
        figures["most_bytes_in_a_s"] = json!(runs.iter().map(|run| run.most_bytes).collect::<Vec<_>>());
        figures["least_share_with_liar"] = json!(least);
    }
    println!(
        "the same core in virtual time (simulated network, 0.2 to 2 ms), budget {} bytes a second",
        args.budget
    );
    println!(
        "{:>9} {:>8} {:>9} {:>8} {:>9} {:>9} {:>8} {:>12} {:>13}",
        "instances", "lasts s", "bytes/s", "most", "p50 s", "p99 s", "reached", "deaths/h 5%", "deaths/h 20%"
    );
    let mut towns = Vec::new();
    for size in &args.towns {
        let one = town(*size, args.seconds, args.budget);
        let f = |key: &str| one[key].as_f64().unwrap_or(f64::NAN);
        println!(
            "{size:>9} {:>8.0} {:>9.0} {:>8.0} {:>9.1} {:>9.1} {:>8.2} {:>12.2} {:>13.2}",
            f("virtual_s"),
            f("mean_bytes_per_s"),
            f("most_bytes_in_a_s"),
            f("spread_p50_s"),
            f("spread_p99_s"),
            f("reached"),
            f("false_deaths_an_hour_5"),
            f("false_deaths_an_hour_20")
        );
        fine &= f("most_bytes_in_a_s") <= 2.0 * args.budget as f64 && f("reached") == 1.0;
        towns.push(one);
    }
    println!(
        "the town's members are named {} to {}",
        instance_name(0),
        instance_name(args.towns.last().copied().unwrap_or(1) - 1)
    );
    figures["towns"] = json!(towns);
    figures["holds"] = json!(fine);
    println!("{figures}");
    Ok(if fine { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
