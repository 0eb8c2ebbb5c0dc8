//! `lemontide measure front`: the cost of the controller over a constant response by the same HTTP stack.

use super::rig::{unlimited_capacity_day, write_list, Process};
use crate::{BoxError, CommandResult};
use lemontide_standin::load_generator::{run_closed_loop, run_open_loop, LoadConfig, LoadResult};
use lemontide_standin::streamer::Fleet;
use lemontide_wire::clock::Clock;
use lemontide_wire::tap::Tap;
use serde_json::json;
use std::process::ExitCode;
use std::time::Duration;

/// Arguments of `lemontide measure front`.
#[derive(clap::Args)]
pub struct FrontArgs {
    /// Length of each part, in seconds.
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// Connections that send the next request as soon as the previous one is answered.
    #[arg(long, default_value_t = 32)]
    workers: usize,
    /// Requests per second in the part that measures latency.
    #[arg(long = "rate", value_name = "RATE", default_value_t = 500.0)]
    requests_per_s: f64,
    /// Number of playing sessions at which memory is measured.
    #[arg(long, default_value_t = 10_000)]
    sessions: usize,
}

/// Median and 99th percentile of the latency, in milliseconds.
fn latency_quantiles_ms(load: &LoadResult) -> (f64, f64) {
    let quantile = |q| load.latency_us.value_at_quantile(q) as f64 / 1e3;
    (quantile(0.5), quantile(0.99))
}

/// Waits until the controller has read the list and all links are up.
fn wait_for_links(controller: &Process, links: usize) -> Result<(), BoxError> {
    for _ in 0..100 {
        if controller.state()?.links_up == links {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Err("the controller did not reach all streamers within 5 s".into())
}

/// Runs the measurement. It fails if a request gets no valid answer, if one is rejected, or if fewer or more sessions play
/// than were requested.
pub fn run(args: &FrontArgs) -> CommandResult {
    let folder = tempfile::tempdir()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let day = unlimited_capacity_day(1, 20)?;
    let list_file = folder.path().join("list.json");
    let clock = Clock::start();
    let fleet = runtime.block_on(Fleet::start(&day, clock, Tap::disabled(clock), None))?;
    write_list(&day, &fleet, &list_file)?;
    let settings = day.settings(0, &list_file, None, 1);
    let settings_file = folder.path().join("front.json");
    std::fs::write(&settings_file, serde_json::to_vec(&settings)?)?;
    let constant = Process::start(&["measure", "constant"])?;
    let controller = Process::start(&["front", "--settings", &settings_file.to_string_lossy()])?;
    wait_for_links(&controller, day.streamers.len())?;
    let part_length = Duration::from_secs_f64(args.seconds);
    let titles: Vec<String> = day.titles.keys().cloned().collect();
    let requests = |process: &Process, leave| LoadConfig {
        controller: process.address,
        workers: args.workers,
        titles: titles.clone(),
        class: "paid".into(),
        ends_sessions: leave,
    };
    let constant_load = runtime.block_on(run_closed_loop(requests(&constant, true), part_length, usize::MAX));
    let (_, cpu_before) = controller.usage()?;
    let decided_before = controller.state()?.deciding_s;
    let controller_load =
        runtime.block_on(run_closed_loop(requests(&controller, true), part_length, usize::MAX));
    let (_, cpu_after) = controller.usage()?;
    let decided_s = controller.state()?.deciding_s - decided_before;
    let constant_paced =
        runtime.block_on(run_open_loop(requests(&constant, true), args.requests_per_s, part_length));
    let controller_paced =
        runtime.block_on(run_open_loop(requests(&controller, true), args.requests_per_s, part_length));
    // Memory is measured in a new process, since a process that was under load keeps memory allocated from it.
    drop(controller);
    let controller = Process::start(&["front", "--settings", &settings_file.to_string_lossy()])?;
    wait_for_links(&controller, day.streamers.len())?;
    let (memory_empty, _) = controller.usage()?;
    let session_load = runtime.block_on(run_closed_loop(
        requests(&controller, false),
        Duration::from_secs(120),
        args.sessions,
    ));
    let (memory_with_sessions, _) = controller.usage()?;
    let playing = controller.state()?.playing;
    // The closed load once more, now with these sessions playing.
    let (_, cpu_before_load_with_sessions) = controller.usage()?;
    let decided_before_load_with_sessions = controller.state()?.deciding_s;
    let load_with_sessions =
        runtime.block_on(run_closed_loop(requests(&controller, true), part_length, usize::MAX));
    let cpu_used_with_sessions = controller.usage()?.1 - cpu_before_load_with_sessions;
    let decided_with_sessions_s = controller.state()?.deciding_s - decided_before_load_with_sessions;

    let rate = |load: &LoadResult| load.responses() as f64 / load.duration_s;
    let (constant_p50, constant_p99) = latency_quantiles_ms(&constant_paced);
    let (p50, p99) = latency_quantiles_ms(&controller_paced);
    let bytes_per_session = (memory_with_sessions - memory_empty) / args.sessions as f64;
    let cpu_used = cpu_after - cpu_before;
    println!(
        "one controller and a constant response, as processes on one machine; simulated streamers without delay"
    );
    println!("{:<44} {:>12} {:>12} {:>8}", "", "constant", "controller", "ratio");
    println!(
        "{:<44} {:>12.0} {:>12.0} {:>8.2}",
        format!("answers per second, {} connections", args.workers),
        rate(&constant_load),
        rate(&controller_load),
        rate(&controller_load) / rate(&constant_load)
    );
    println!(
        "{:<44} {constant_p50:>12.2} {p50:>12.2} {:>8.2}",
        format!("p50 ms at {}/s", args.requests_per_s),
        p50 / constant_p50
    );
    println!(
        "{:<44} {constant_p99:>12.2} {p99:>12.2} {:>8.2}",
        format!("p99 ms at {}/s", args.requests_per_s),
        p99 / constant_p99
    );
    println!("latency added: p50 {:.2} ms, p99 {:.2} ms", p50 - constant_p50, p99 - constant_p99);
    println!("resident memory per session at {}: {:.0} bytes", args.sessions, bytes_per_session);
    println!(
        "share of the process's CPU in driver and module: {:.2} without sessions",
        decided_s / cpu_used.max(1e-9)
    );
    println!(
        "with {} sessions playing: {:.0} answers per second, {:.2} of the rate without sessions; driver and module {:.2}",
        playing,
        rate(&load_with_sessions),
        rate(&load_with_sessions) / rate(&controller_load),
        decided_with_sessions_s / cpu_used_with_sessions.max(1e-9)
    );
    let loads = [
        &constant_load,
        &controller_load,
        &constant_paced,
        &controller_paced,
        &session_load,
        &load_with_sessions,
    ];
    let missing: u64 = loads.iter().map(|load| load.unanswered + load.failed + load.not_accepted).sum();
    let rejected: u64 = loads.iter().map(|load| load.rejected).sum();
    let holds = missing == 0 && rejected == 0 && playing == args.sessions;
    println!("requests without a valid answer: {missing}; rejected although capacity was free: {rejected}");
    println!(
        "{}",
        json!({
            "measure": "front", "seconds": args.seconds, "workers": args.workers, "rate": args.requests_per_s,
            "answers_per_s": rate(&controller_load), "constant_per_s": rate(&constant_load), "ratio": rate(&controller_load) / rate(&constant_load),
            "added_p50_ms": p50 - constant_p50, "added_p99_ms": p99 - constant_p99,
            "bytes_per_session": bytes_per_session, "sessions": playing,
            "deciding_share": decided_s / cpu_used.max(1e-9), "deciding_share_crowded": decided_with_sessions_s / cpu_used_with_sessions.max(1e-9),
            "crowded_per_s": rate(&load_with_sessions), "missing": missing, "turned_back": rejected, "holds": holds
        })
    );
    Ok(if holds { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
