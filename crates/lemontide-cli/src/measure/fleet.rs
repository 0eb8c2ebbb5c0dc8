//! `lemontide measure fleet`: many controllers in virtual time. Links form a full mesh, or turns and streamers are divided
//! by settings alone, or by the membership that gossip reports. Each is run on a steady fleet, and while streamers restart
//! and half of the controllers crash.

use crate::CommandResult;
use lemontide_fleet::{Holder, RendezvousHash};
use lemontide_standin::fleet_simulation::{FleetSimulation, SimulationConfig, SimulationResult, ViewSource};
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::process::ExitCode;
use std::sync::{Mutex, PoisonError};

/// Target: the number of connections is at most this ratio of the mesh of the same size.
const MAX_CONNECTIONS_RATIO: f64 = 0.25;
/// Target: the load of the busiest streamer over its share by weight is at most this ratio of that in the mesh.
const MAX_BUSIEST_RATIO: f64 = 1.1;
/// Target: the gain is at most this much lower than in the mesh. It varies by about this much between seeds.
const GAIN_TOLERANCE: f64 = 0.01;
/// The number of controllers at which the targets are checked against the mesh.
const TARGET_FLEET_SIZE: usize = 300;

/// Arguments of `lemontide measure fleet`.
#[derive(clap::Args)]
pub struct FleetArgs {
    /// Numbers of controllers, each a run of its own.
    #[arg(long, value_delimiter = ',', default_values_t = [10usize, 30, 100, 300, 1000])]
    sizes: Vec<usize>,
    /// Number of streamers.
    #[arg(long, default_value_t = 200)]
    streamers: usize,
    /// Requests per second of all viewers.
    #[arg(long = "per-s", value_name = "PER_S", default_value_t = 200.0)]
    requests_per_s: f64,
    /// Length of each run, in seconds of virtual time.
    #[arg(long, default_value_t = 60.0)]
    seconds: f64,
    /// How unevenly requests are spread over the controllers: at 1 a few get five times the mean.
    #[arg(long, default_value_t = 1.0)]
    uneven: f64,
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of parallel runs; the CPU time per set-up is most accurate with 1.
    #[arg(long, default_value_t = 1)]
    jobs: usize,
}

/// The name of a kind of fleet view, as it is printed.
fn view_name(views: ViewSource) -> &'static str {
    match views {
        ViewSource::FullMesh => "mesh",
        ViewSource::Settings => "settings",
        ViewSource::Gossip => "gossip",
    }
}

/// The share of all preferred holders that change: when one controller leaves, and when one streamer does.
fn moved_shares(controllers: usize, streamers: usize) -> (f64, f64) {
    let holder = |streamer: usize| Holder {
        streamer_key: streamer as u32,
        weight: if streamer.is_multiple_of(2) { 16.0 } else { 10.0 },
        is_local: true,
        unavailable: false,
    };
    // A controller's choices depend on its own number alone: those of the controller that leaves end with it, and those
    // of the rest are computed again.
    let choices = |instances: &[usize], gone_streamer: Option<usize>| -> Vec<usize> {
        let of_instance = |instance: &usize| {
            let hash = RendezvousHash::new(*instance as u32);
            (0..streamers)
                .map(|home| {
                    let replicas = (home..home + 3.min(streamers)).map(|streamer| streamer % streamers);
                    let replicas: Vec<usize> =
                        replicas.filter(|streamer| Some(*streamer) != gone_streamer).collect();
                    let holders: Vec<Holder> = replicas.iter().map(|streamer| holder(*streamer)).collect();
                    hash.select(&holders, 1).first().map_or(usize::MAX, |index| replicas[*index])
                })
                .collect::<Vec<_>>()
        };
        instances.iter().flat_map(of_instance).collect()
    };
    let all: Vec<usize> = (0..controllers).collect();
    let rest: Vec<usize> = all.iter().copied().filter(|instance| *instance != controllers / 2).collect();
    let changed_share = |a: &[usize], b: &[usize]| {
        a.iter().zip(b).filter(|(a, b)| a != b).count() as f64 / a.len().max(1) as f64
    };
    let before = choices(&all, None);
    let before_of_rest: Vec<usize> = before
        .chunks(streamers)
        .enumerate()
        .filter(|(instance, _)| *instance != controllers / 2)
        .flat_map(|(_, chosen)| chosen.to_vec())
        .collect();
    (
        changed_share(&before_of_rest, &choices(&rest, None)),
        changed_share(&before, &choices(&all, Some(streamers / 2))),
    )
}

/// CPU time in drivers and modules per set-up, in microseconds.
fn cpu_us_per_set_up(result: &SimulationResult) -> f64 {
    result.cpu_time.as_secs_f64() * 1e6 / result.plays.max(1) as f64
}

/// The result of a run, as it is printed.
fn run_to_json(plan: &SimulationConfig, result: &SimulationResult) -> Value {
    json!({
        "controllers": plan.controllers, "views": view_name(plan.view_source), "changing": plan.with_failures,
        "asked": result.requests, "plays": result.plays, "turned_back": result.rejected, "gain": result.gain,
        "stood": result.mean_connections, "stood_most": result.max_connections, "opened_a_s": result.connections_opened as f64 / plan.duration_s,
        "busiest": result.busiest_load_ratio, "over_budget": result.warm_up_overloads, "to_cold": result.set_ups_in_warm_up,
        "stood_for": result.covered_turns, "two_heirs": result.doubly_covered_turns, "agreed_s": result.mostly_agreed_after_s, "agreed_all_s": result.fully_agreed_after_s, "us_a_set_up": cpu_us_per_set_up(result),
    })
}

/// Runs all sizes with each kind of fleet view. It fails if a cold streamer gets more than it can take, or if two
/// controllers take the turns of the same missing one.
pub fn run(args: &FleetArgs) -> CommandResult {
    let mut plans = Vec::new();
    for controllers in &args.sizes {
        for changing in [false, true] {
            for views in [ViewSource::FullMesh, ViewSource::Settings, ViewSource::Gossip] {
                plans.push(SimulationConfig {
                    controllers: *controllers,
                    streamers: args.streamers,
                    view_source: views,
                    requests_per_s: args.requests_per_s,
                    imbalance: args.uneven,
                    duration_s: args.seconds,
                    with_failures: changing,
                    seed: args.seed,
                });
            }
        }
    }
    let pending: Mutex<VecDeque<(usize, SimulationConfig)>> =
        Mutex::new(plans.iter().cloned().enumerate().collect());
    let finished: Mutex<Vec<(usize, SimulationResult)>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..args.jobs.max(1) {
            scope.spawn(|| loop {
                let next = pending.lock().unwrap_or_else(PoisonError::into_inner).pop_front();
                let Some((index, plan)) = next else { return };
                let result = FleetSimulation::new(plan).run();
                finished.lock().unwrap_or_else(PoisonError::into_inner).push((index, result));
            });
        }
    });
    let mut results = finished.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_by_key(|(index, _)| *index);
    println!(
        "{} streamers, {} requests/s, {:.0} s of virtual time (simulated network, streamers and players)",
        args.streamers, args.requests_per_s, args.seconds
    );
    println!(
        "{:>11} {:<8} {:<8} {:>7} {:>7} {:>8} {:>8} {:>9} {:>8} {:>5} {:>8} {:>6} {:>5} {:>10} {:>8}",
        "controllers",
        "traffic",
        "views",
        "gain",
        "reject",
        "links",
        "most",
        "opened/s",
        "busiest",
        "over",
        "to cold",
        "cover",
        "two",
        "agreed s",
        "us/setup"
    );
    let mut holds = true;
    let mut runs = Vec::new();
    for (plan, (_, result)) in plans.iter().zip(&results) {
        let agreed: Vec<String> = result.mostly_agreed_after_s.iter().map(|s| format!("{s:.1}")).collect();
        println!(
            "{:>11} {:<8} {:<8} {:>7.3} {:>7} {:>8.0} {:>8} {:>9.1} {:>8.2} {:>5} {:>8} {:>6} {:>5} {:>10} {:>8.0}",
            plan.controllers,
            if plan.with_failures { "changing" } else { "steady" },
            view_name(plan.view_source),
            result.gain,
            result.rejected,
            result.mean_connections,
            result.max_connections,
            result.connections_opened as f64 / plan.duration_s,
            result.busiest_load_ratio,
            result.warm_up_overloads,
            result.set_ups_in_warm_up,
            result.covered_turns,
            result.doubly_covered_turns,
            agreed.join(","),
            cpu_us_per_set_up(result),
        );
        // These two hold with every kind of view at every size.
        holds &= result.warm_up_overloads == 0 && result.doubly_covered_turns == 0;
        runs.push(run_to_json(plan, result));
    }
    let mut targets = Vec::new();
    let mut report_target = |text: String, met: bool| {
        println!("{} {text}", if met { "met:    " } else { "not met:" });
        targets.push(json!({"aim": text, "met": met}));
    };
    for (index, plan) in plans
        .iter()
        .enumerate()
        .filter(|(_, plan)| plan.controllers == TARGET_FLEET_SIZE && plan.view_source != ViewSource::FullMesh)
    {
        let same_size_and_traffic = |other: &SimulationConfig| {
            (other.controllers, other.with_failures) == (plan.controllers, plan.with_failures)
        };
        let Some(mesh) = plans
            .iter()
            .position(|other| other.view_source == ViewSource::FullMesh && same_size_and_traffic(other))
        else {
            continue;
        };
        let (result, mesh) = (&results[index].1, &results[mesh].1);
        let label = format!(
            "{}, {}",
            view_name(plan.view_source),
            if plan.with_failures { "changing" } else { "steady" }
        );
        let ratio = result.mean_connections / mesh.mean_connections.max(1.0);
        report_target(
            format!("{label}: connections at most a quarter of the mesh's: {ratio:.2}"),
            ratio <= MAX_CONNECTIONS_RATIO,
        );
        let gain_loss = mesh.gain - result.gain;
        report_target(
            format!("{label}: gain no lower than the mesh's: {gain_loss:+.3} lower"),
            gain_loss <= GAIN_TOLERANCE,
        );
        let ratio = result.busiest_load_ratio / mesh.busiest_load_ratio.max(1e-9);
        report_target(
            format!("{label}: busiest over its share at most {MAX_BUSIEST_RATIO} of the mesh's: {ratio:.2}"),
            ratio <= MAX_BUSIEST_RATIO,
        );
    }
    let mut moved = Vec::new();
    for controllers in &args.sizes {
        let (instance, streamer) = moved_shares(*controllers, args.streamers);
        let max_share = 3.0 / *controllers as f64;
        report_target(format!("{controllers} controllers: preferred holders that change when one leaves: {instance:.4}, at most {max_share:.4}"), instance <= max_share);
        println!("         when a streamer leaves: {streamer:.4}");
        moved.push(json!({"controllers": controllers, "instance": instance, "streamer": streamer}));
    }
    println!(
        "{}",
        json!({"measure": "fleet", "streamers": args.streamers, "runs": runs, "moved": moved, "aims": targets, "holds": holds})
    );
    Ok(if holds { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
