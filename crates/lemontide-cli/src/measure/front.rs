//! `lemontide measure front`: what the controller adds to a constant answer by the same HTTP stack.

use super::rig::{roomy_day, write_list, Process};
use crate::Outcome;
use lemontide_standin::load_generator::{run_closed_loop, run_open_loop, LoadConfig, LoadResult};
use lemontide_standin::streamer::Fleet;
use lemontide_wire::clock::Clock;
use lemontide_wire::tap::Tap;
use serde_json::json;
use std::process::ExitCode;
use std::time::Duration;

#[derive(clap::Args)]
pub struct Args {
    /// Seconds of each part.
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// Connections that ask as fast as answers come.
    #[arg(long, default_value_t = 32)]
    workers: usize,
    /// Wishes a second of the part that measures latency.
    #[arg(long, default_value_t = 500.0)]
    rate: f64,
    /// Sessions at which memory is measured.
    #[arg(long, default_value_t = 10_000)]
    sessions: usize,
}

fn quantiles(came: &LoadResult) -> (f64, f64) {
    let at = |q| came.latency_us.value_at_quantile(q) as f64 / 1e3;
    (at(0.5), at(0.99))
}

/// Waits until the list is read and all links are up.
fn linked(front: &Process, links: usize) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    for _ in 0..100 {
        if front.state()?.links_up == links {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Err("the controller did not reach all streamers within 5 s".into())
}

pub fn run(args: &Args) -> Outcome {
    let folder = tempfile::tempdir()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let day = roomy_day(1, 20)?;
    let list = folder.path().join("list.json");
    let clock = Clock::start();
    let fleet = runtime.block_on(Fleet::start(&day, clock, Tap::disabled(clock), None))?;
    write_list(&day, &fleet, &list)?;
    let settings = day.settings(0, &list, None, 1);
    let file = folder.path().join("front.json");
    std::fs::write(&file, serde_json::to_vec(&settings)?)?;
    let constant = Process::start(&["measure", "constant"])?;
    let front = Process::start(&["front", "--settings", &file.to_string_lossy()])?;
    linked(&front, day.streamers.len())?;
    let lasts = Duration::from_secs_f64(args.seconds);
    let titles: Vec<String> = day.titles.keys().cloned().collect();
    let ask = |process: &Process, leave| LoadConfig {
        controller: process.address,
        workers: args.workers,
        titles: titles.clone(),
        class: "paid".into(),
        ends_sessions: leave,
    };
    let most = usize::MAX;
    let base = runtime.block_on(run_closed_loop(ask(&constant, true), lasts, most));
    let (_, cpu_before) = front.usage()?;
    let decided_before = front.state()?.deciding_s;
    let full = runtime.block_on(run_closed_loop(ask(&front, true), lasts, most));
    let (_, cpu_after) = front.usage()?;
    let decided = front.state()?.deciding_s - decided_before;
    let base_paced = runtime.block_on(run_open_loop(ask(&constant, true), args.rate, lasts));
    let paced = runtime.block_on(run_open_loop(ask(&front, true), args.rate, lasts));
    // Memory is that of a fresh process: one that was under load has room left over from it.
    drop(front);
    let front = Process::start(&["front", "--settings", &file.to_string_lossy()])?;
    linked(&front, day.streamers.len())?;
    let (empty, _) = front.usage()?;
    let kept = runtime.block_on(run_closed_loop(ask(&front, false), Duration::from_secs(120), args.sessions));
    let (held, _) = front.usage()?;
    let playing = front.state()?.playing;
    // And with them in hand, as fast as answers come.
    let (_, cpu_at) = front.usage()?;
    let decided_at = front.state()?.deciding_s;
    let crowded = runtime.block_on(run_closed_loop(ask(&front, true), lasts, most));
    let cpu_crowded = front.usage()?.1 - cpu_at;
    let decided_crowded = front.state()?.deciding_s - decided_at;

    let rate = |came: &LoadResult| came.responses() as f64 / came.duration_s;
    let (base_p50, base_p99) = quantiles(&base_paced);
    let (p50, p99) = quantiles(&paced);
    let per_session = (held - empty) / args.sessions as f64;
    let cpu = cpu_after - cpu_before;
    println!(
        "one controller and a constant answer, as processes on one machine; stand-in streamers without delay"
    );
    println!("{:<44} {:>12} {:>12} {:>8}", "", "constant", "controller", "ratio");
    println!(
        "{:<44} {:>12.0} {:>12.0} {:>8.2}",
        format!("answers a second, {} connections", args.workers),
        rate(&base),
        rate(&full),
        rate(&full) / rate(&base)
    );
    println!(
        "{:<44} {base_p50:>12.2} {p50:>12.2} {:>8.2}",
        format!("p50 ms at {}/s", args.rate),
        p50 / base_p50
    );
    println!(
        "{:<44} {base_p99:>12.2} {p99:>12.2} {:>8.2}",
        format!("p99 ms at {}/s", args.rate),
        p99 / base_p99
    );
    println!("latency added: p50 {:.2} ms, p99 {:.2} ms", p50 - base_p50, p99 - base_p99);
    println!("resident memory per session at {}: {:.0} bytes", args.sessions, per_session);
    println!("driver and module, part of the process's CPU: {:.2} empty", decided / cpu.max(1e-9));
    println!(
        "with {} sessions in hand: {:.0} answers a second, {:.2} of the empty controller's; driver and module {:.2}",
        playing,
        rate(&crowded),
        rate(&crowded) / rate(&full),
        decided_crowded / cpu_crowded.max(1e-9)
    );
    let all = [&base, &full, &base_paced, &paced, &kept, &crowded];
    let missing: u64 = all.iter().map(|came| came.unanswered + came.failed + came.not_accepted).sum();
    let turned_back: u64 = all.iter().map(|came| came.rejected).sum();
    let fine = missing == 0 && turned_back == 0 && playing == args.sessions;
    println!("wishes without a fitting answer: {missing}; turned back with room for all: {turned_back}");
    println!(
        "{}",
        json!({
            "measure": "front", "seconds": args.seconds, "workers": args.workers, "rate": args.rate,
            "answers_per_s": rate(&full), "constant_per_s": rate(&base), "ratio": rate(&full) / rate(&base),
            "added_p50_ms": p50 - base_p50, "added_p99_ms": p99 - base_p99,
            "bytes_per_session": per_session, "sessions": playing,
            "deciding_share": decided / cpu.max(1e-9), "deciding_share_crowded": decided_crowded / cpu_crowded.max(1e-9),
            "crowded_per_s": rate(&crowded), "missing": missing, "turned_back": turned_back, "holds": fine
        })
    );
    Ok(if fine { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
