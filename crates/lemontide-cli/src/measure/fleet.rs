//! `lemontide measure fleet`: many controllers in virtual time, with a full mesh, with turns and streamers shared out by
//! settings alone, and with gossip's view; steady, and while streamers restart and half of the controllers die.

use crate::Outcome;
use lemontide_fleet::{Holder, RendezvousHash};
use lemontide_standin::fleet_simulation::{FleetSimulation, SimulationConfig, SimulationResult, ViewSource};
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::process::ExitCode;
use std::sync::{Mutex, PoisonError};

/// What is aimed at, against the mesh of the same size: part of its connections, gain, busiest streamer.
const CONNECTIONS: f64 = 0.25;
const BUSIEST: f64 = 1.1;
/// Gain swings by about this much from seed to seed.
const NOISE: f64 = 0.01;
/// Aims are held to at this size.
const SIZE: usize = 300;

#[derive(clap::Args)]
pub struct Args {
    /// Controllers.
    #[arg(long, value_delimiter = ',', default_values_t = [10usize, 30, 100, 300, 1000])]
    sizes: Vec<usize>,
    #[arg(long, default_value_t = 200)]
    streamers: usize,
    /// Wishes a second of all viewers.
    #[arg(long, default_value_t = 200.0)]
    per_s: f64,
    /// Seconds of virtual time of each run.
    #[arg(long, default_value_t = 60.0)]
    seconds: f64,
    /// How uneven traffic is: at 1 a few get five times the mean.
    #[arg(long, default_value_t = 1.0)]
    uneven: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Runs side by side; CPU a set-up is truest with one.
    #[arg(long, default_value_t = 1)]
    jobs: usize,
}

fn name(views: ViewSource) -> &'static str {
    match views {
        ViewSource::FullMesh => "mesh",
        ViewSource::Settings => "settings",
        ViewSource::Gossip => "gossip",
    }
}

/// Part of all first choices that move: when one instance leaves, and when one streamer does.
fn moved(controllers: usize, streamers: usize) -> (f64, f64) {
    let holder = |s: usize| Holder {
        streamer_key: s as u32,
        weight: if s.is_multiple_of(2) { 16.0 } else { 10.0 },
        is_local: true,
        unavailable: false,
    };
    // Choices rest on the own number alone: who leaves takes its own with it, and those of the rest are looked at again.
    let choices = |instances: &[usize], gone: Option<usize>| -> Vec<usize> {
        let each = |me: &usize| {
            let ring = RendezvousHash::new(*me as u32);
            (0..streamers)
                .map(|home| {
                    let held = (home..home + 3.min(streamers)).map(|s| s % streamers);
                    let held: Vec<usize> = held.filter(|s| Some(*s) != gone).collect();
                    let holders: Vec<Holder> = held.iter().map(|s| holder(*s)).collect();
                    ring.select(&holders, 1).first().map_or(usize::MAX, |at| held[*at])
                })
                .collect::<Vec<_>>()
        };
        instances.iter().flat_map(each).collect()
    };
    let all: Vec<usize> = (0..controllers).collect();
    let rest: Vec<usize> = all.iter().copied().filter(|me| *me != controllers / 2).collect();
    let part = |a: &[usize], b: &[usize]| {
        a.iter().zip(b).filter(|(a, b)| a != b).count() as f64 / a.len().max(1) as f64
    };
    let before = choices(&all, None);
    let kept: Vec<usize> = before
        .chunks(streamers)
        .enumerate()
        .filter(|(me, _)| *me != controllers / 2)
        .flat_map(|(_, c)| c.to_vec())
        .collect();
    (part(&kept, &choices(&rest, None)), part(&before, &choices(&all, Some(streamers / 2))))
}

fn line(plan: &SimulationConfig, came: &SimulationResult) -> Value {
    let us = came.cpu_time.as_secs_f64() * 1e6 / came.plays.max(1) as f64;
    json!({
        "controllers": plan.controllers, "views": name(plan.view_source), "changing": plan.with_failures,
        "asked": came.requests, "plays": came.plays, "turned_back": came.rejected, "gain": came.gain,
        "stood": came.mean_connections, "stood_most": came.max_connections, "opened_a_s": came.connections_opened as f64 / plan.duration_s,
        "busiest": came.busiest_load_ratio, "over_budget": came.warm_up_overloads, "to_cold": came.set_ups_in_warm_up,
        "stood_for": came.covered_turns, "two_heirs": came.doubly_covered_turns, "agreed_s": came.mostly_agreed_after_s, "agreed_all_s": came.fully_agreed_after_s, "us_a_set_up": us,
    })
}

pub fn run(args: &Args) -> Outcome {
    let mut plans = Vec::new();
    for controllers in &args.sizes {
        for changing in [false, true] {
            for views in [ViewSource::FullMesh, ViewSource::Settings, ViewSource::Gossip] {
                plans.push(SimulationConfig {
                    controllers: *controllers,
                    streamers: args.streamers,
                    view_source: views,
                    requests_per_s: args.per_s,
                    imbalance: args.uneven,
                    duration_s: args.seconds,
                    with_failures: changing,
                    seed: args.seed,
                });
            }
        }
    }
    let todo: Mutex<VecDeque<(usize, SimulationConfig)>> =
        Mutex::new(plans.iter().cloned().enumerate().collect());
    let done: Mutex<Vec<(usize, SimulationResult)>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..args.jobs.max(1) {
            scope.spawn(|| loop {
                let next = todo.lock().unwrap_or_else(PoisonError::into_inner).pop_front();
                let Some((nth, plan)) = next else { return };
                let came = FleetSimulation::new(plan).run();
                done.lock().unwrap_or_else(PoisonError::into_inner).push((nth, came));
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_else(PoisonError::into_inner);
    done.sort_by_key(|(nth, _)| *nth);
    println!(
        "{} streamers, {} wishes/s, {:.0} s of virtual time (simulated network, streamers and players)",
        args.streamers, args.per_s, args.seconds
    );
    println!(
        "{:>11} {:<8} {:<8} {:>7} {:>7} {:>8} {:>8} {:>9} {:>8} {:>5} {:>8} {:>6} {:>5} {:>10} {:>8}",
        "controllers",
        "traffic",
        "views",
        "gain",
        "turned",
        "links",
        "most",
        "opened/s",
        "busiest",
        "over",
        "to cold",
        "heirs",
        "two",
        "agreed s",
        "us/setup"
    );
    let mut fine = true;
    let mut runs = Vec::new();
    for (plan, (_, came)) in plans.iter().zip(&done) {
        let agreed: Vec<String> = came.mostly_agreed_after_s.iter().map(|s| format!("{s:.1}")).collect();
        println!(
            "{:>11} {:<8} {:<8} {:>7.3} {:>7} {:>8.0} {:>8} {:>9.1} {:>8.2} {:>5} {:>8} {:>6} {:>5} {:>10} {:>8.0}",
            plan.controllers,
            if plan.with_failures { "changing" } else { "steady" },
            name(plan.view_source),
            came.gain,
            came.rejected,
            came.mean_connections,
            came.max_connections,
            came.connections_opened as f64 / plan.duration_s,
            came.busiest_load_ratio,
            came.warm_up_overloads,
            came.set_ups_in_warm_up,
            came.covered_turns,
            came.doubly_covered_turns,
            agreed.join(","),
            came.cpu_time.as_secs_f64() * 1e6 / came.plays.max(1) as f64,
        );
        // What is promised under any view holds at every size.
        fine &= came.warm_up_overloads == 0 && came.doubly_covered_turns == 0;
        runs.push(line(plan, came));
    }
    let mut aims = Vec::new();
    let mut aim = |what: String, met: bool| {
        println!("{} {what}", if met { "met:    " } else { "not met:" });
        aims.push(json!({"aim": what, "met": met}));
    };
    for (place, plan) in plans
        .iter()
        .enumerate()
        .filter(|(_, plan)| plan.controllers == SIZE && plan.view_source != ViewSource::FullMesh)
    {
        let same = |other: &SimulationConfig| {
            (other.controllers, other.with_failures) == (plan.controllers, plan.with_failures)
        };
        let Some(mesh) =
            plans.iter().position(|other| other.view_source == ViewSource::FullMesh && same(other))
        else {
            continue;
        };
        let (here, mesh) = (&done[place].1, &done[mesh].1);
        let of =
            format!("{}, {}", name(plan.view_source), if plan.with_failures { "changing" } else { "steady" });
        let part = here.mean_connections / mesh.mean_connections.max(1.0);
        aim(format!("{of}: connections at most a quarter of the mesh's: {part:.2}"), part <= CONNECTIONS);
        let less = mesh.gain - here.gain;
        aim(format!("{of}: gain no lower than the mesh's: {less:+.3} less"), less <= NOISE);
        let over = here.busiest_load_ratio / mesh.busiest_load_ratio.max(1e-9);
        aim(format!("{of}: busiest over mean at most {BUSIEST} of the mesh's: {over:.2}"), over <= BUSIEST);
    }
    let mut moves = Vec::new();
    for controllers in &args.sizes {
        let (instance, streamer) = moved(*controllers, args.streamers);
        let least = 3.0 / *controllers as f64;
        aim(format!("{controllers} controllers: first choices that move when one leaves: {instance:.4}, at most {least:.4}"), instance <= least);
        println!("         when a streamer leaves: {streamer:.4}");
        moves.push(json!({"controllers": controllers, "instance": instance, "streamer": streamer}));
    }
    println!(
        "{}",
        json!({"measure": "fleet", "streamers": args.streamers, "runs": runs, "moved": moves, "aims": aims, "holds": fine})
    );
    Ok(if fine { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
