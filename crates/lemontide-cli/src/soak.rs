//! `lemontide soak`: seeded runs of real controllers under combined faults. Invariants are checked on what crossed the
//! sockets.

use crate::CommandResult;
use clap::Args as ClapArgs;
use futures::stream::{self, StreamExt};
use lemontide_standin::soak::{self, front, Options};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Arguments of `lemontide soak`.
#[derive(ClapArgs)]
pub struct Args {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of consecutive seeds to run.
    #[arg(long, default_value_t = 1)]
    count: u64,
    /// The number of seeds that run at the same time.
    #[arg(long, default_value_t = 1)]
    jobs: usize,
    /// The length of each seed's scenario, in seconds; a run takes 4 s more.
    #[arg(long, default_value_t = 12.0)]
    seconds: f64,
    /// Another build to run instead of this program.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Run days of `lemontide front` instead of scenarios of `lemontide serve`.
    #[arg(long)]
    front: bool,
    /// A folder for the logs of the nodes, by seed; without it they are deleted.
    #[arg(long)]
    logs: Option<PathBuf>,
}

/// The most runs of a seed: a run that is inconclusive, as this machine was late, is repeated once.
const MAX_RUNS: usize = 2;

/// Runs the seeds. The exit code is 1 if an invariant was violated, and 2 if a seed could not be checked, as this
/// machine was late twice.
pub fn run(args: &Args) -> CommandResult {
    let program = match &args.program {
        Some(program) => program.clone(),
        None => std::env::current_exe()?,
    };
    if args.front {
        return run_front_days(&program, args);
    }
    let options = Options { program, scenario_length_s: args.seconds };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let seeds = args.seed..args.seed.saturating_add(args.count);
    let outcomes = runtime.block_on(async {
        let runs = stream::iter(seeds).map(|seed| run_seed(seed, &options, args.logs.clone()));
        runs.buffered(args.jobs.max(1)).collect::<Vec<_>>().await
    });
    let (mut broken, mut late) = (Vec::new(), Vec::new());
    for outcome in outcomes {
        let outcome = outcome?;
        if !outcome.is_conclusive {
            late.push(outcome.seed);
        } else if !outcome.report.is_empty() {
            broken.push(outcome.seed);
        }
    }
    println!(
        "{} seeds; a rule broken on {broken:?}; not judged, as this machine was late: {late:?}",
        args.count
    );
    Ok(match (broken.is_empty(), late.is_empty()) {
        (true, true) => ExitCode::SUCCESS,
        (true, false) => ExitCode::from(2),
        (false, _) => ExitCode::FAILURE,
    })
}

/// Runs days of `lemontide front`. The exit code is 1 if a rule was broken.
fn run_front_days(program: &Path, args: &Args) -> CommandResult {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let seeds = args.seed..args.seed.saturating_add(args.count);
    let outcomes = runtime.block_on(async {
        let run_day = |seed| async move {
            let scratch = tempfile::tempdir()?;
            let kept = args.logs.as_ref().map(|logs| logs.join(format!("front-{seed}")));
            let folder = std::path::absolute(kept.as_deref().unwrap_or(scratch.path()))?;
            let outcome = front::run_seed(seed, program, args.seconds, &folder).await?;
            println!("{}", outcome.summary);
            if !outcome.verdict.is_clean() {
                print!("{}", outcome.verdict.table());
            }
            Ok::<_, std::io::Error>(outcome)
        };
        stream::iter(seeds).map(run_day).buffered(args.jobs.max(1)).collect::<Vec<_>>().await
    });
    let mut broken = Vec::new();
    for outcome in outcomes {
        let outcome = outcome?;
        if !outcome.verdict.is_clean() {
            broken.push(outcome.seed);
        }
    }
    println!("{} seeds of front; a rule broken on {broken:?}", args.count);
    Ok(if broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs a seed, once more if this machine was late, and prints the outcome.
async fn run_seed(seed: u64, options: &Options, logs: Option<PathBuf>) -> std::io::Result<soak::Outcome> {
    let mut runs = 0;
    loop {
        runs += 1;
        let scratch = tempfile::tempdir()?;
        let folder = logs.as_ref().map(|logs| logs.join(format!("seed-{seed}")));
        if let Some(folder) = &folder {
            std::fs::create_dir_all(folder)?;
        }
        let outcome = soak::run_seed(seed, options, folder.as_deref().unwrap_or(scratch.path())).await?;
        println!("{}", outcome.summary);
        if !outcome.report.is_empty() {
            println!("{}", outcome.report);
        }
        if outcome.is_conclusive || runs >= MAX_RUNS {
            return Ok(outcome);
        }
        println!("seed {seed}: this machine was late, so it is run again");
    }
}
