//! `lemontide day` and `lemontide streamer`: run the scenario of a day on loopback, or its streamers alone.

use crate::{BoxError, CommandResult};
use lemontide_standin::day::Day;
use lemontide_standin::import::import;
use lemontide_standin::judge::check_rules;
use lemontide_standin::run::{self, RunOptions};
use lemontide_standin::streamer::{Defect, Fleet};
use lemontide_wire::clock::Clock;
use lemontide_wire::tap::{self, Tap};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Sub-commands of `lemontide day`.
#[derive(clap::Subcommand)]
pub enum Command {
    /// Run a day with controllers as processes, and check the rules: exit 0 only if no rule is broken.
    Run {
        /// The day to run.
        file: PathBuf,
        /// Keep settings, list, logs and taps in this empty folder; otherwise they are deleted at the end of the day.
        #[arg(long = "keep", value_name = "KEEP")]
        kept_folder: Option<PathBuf>,
        /// Inject a fault, to see that the check of the rules finds it.
        #[arg(long, value_enum)]
        fault: Option<InjectedFault>,
        /// Print one line of JSON after the table.
        #[arg(long)]
        json: bool,
    },
    /// Convert a generated day of the bench into a day for the real controller.
    Import {
        /// The day of the bench.
        file: PathBuf,
        /// The day that is written.
        #[arg(short, long)]
        output: PathBuf,
    },
}

/// A fault that `lemontide day run --fault` injects.
#[derive(Clone, Copy, clap::ValueEnum)]
pub enum InjectedFault {
    /// Some set-up requests reach their streamer twice.
    #[value(name = "duplicates")]
    DuplicatedSetUps,
    /// Some responses never reach their player.
    #[value(name = "swallows")]
    LostResponses,
}

/// Arguments of `lemontide streamer`.
#[derive(clap::Args)]
pub struct StreamerArgs {
    /// The day whose streamers are run.
    day: PathBuf,
    /// The file that the list of streamers is written to.
    #[arg(long)]
    list: PathBuf,
    /// A tap file that records the streamers' side of every link.
    #[arg(long)]
    tap: Option<PathBuf>,
}

fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()
}

/// Runs or imports a day.
pub fn run(command: Command) -> CommandResult {
    match command {
        Command::Run { file, kept_folder, fault, json } => run_day(&file, kept_folder, fault, json),
        Command::Import { file, output } => {
            let bench_day = lemontide_front::settings::read_json(&file)?;
            let name = file.file_stem().map_or_else(|| "day".into(), |stem| stem.to_string_lossy());
            let (day, notes) =
                import(&bench_day, &name).map_err(|e| format!("{}: at {e}", file.display()))?;
            run::replace(&output, &serde_json::to_vec_pretty(&day)?)?;
            // Fails if the written file is not a valid day.
            Day::read(&output)?;
            for note in notes {
                println!("{note}");
            }
            Ok(ExitCode::SUCCESS)
        }
    }
}

/// Runs a day, checks the rules on its taps, and prints the result.
fn run_day(
    file: &Path,
    kept_folder: Option<PathBuf>,
    fault: Option<InjectedFault>,
    json: bool,
) -> CommandResult {
    let day = Day::read(file)?;
    let scratch = tempfile::tempdir()?;
    let folder = kept_folder.unwrap_or_else(|| scratch.path().to_owned());
    if folder.join("day.tap").exists() {
        return Err(format!("{}: already holds a day; give an empty folder", folder.display()).into());
    }
    let folder = std::path::absolute(folder)?;
    let defect = fault.map(|fault| match fault {
        InjectedFault::DuplicatedSetUps => Defect::DuplicateSetUps,
        InjectedFault::LostResponses => Defect::LostResponses,
    });
    let (name, description) = (day.name.clone(), day.about.clone());
    let (controllers, streamers) = (day.controllers.len(), day.streamers.len());
    let options = RunOptions { program: std::env::current_exe()?, folder, defect };
    let finished = runtime()?.block_on(run::run(day, options))?;
    let mut records = Vec::new();
    for tap in &finished.taps {
        if tap.exists() {
            records.extend(tap::read_records(tap)?);
        }
    }
    let verdict = check_rules(&records).ok_or("the taps do not contain the rules of the day")?;
    println!("day {name}: {controllers} controllers, {streamers} streamers, {} viewers", finished.viewers);
    if !description.is_empty() {
        println!("{description}");
    }
    println!("{:.1} s, {} tap records", finished.took_s, records.len());
    print!("{}", verdict.table());
    if json {
        println!("{}", serde_json::to_string(&verdict)?);
    }
    Ok(if verdict.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs a day's streamers, warmed up and without the day's faults, until it is interrupted.
pub fn run_streamers(args: &StreamerArgs) -> CommandResult {
    let day = Day::read(&args.day)?;
    let clock = Clock::start();
    let tap = match &args.tap {
        Some(path) => Tap::open(path, clock, "streamers")?,
        None => Tap::disabled(clock),
    };
    runtime()?.block_on(async {
        let fleet = Fleet::start(&day, clock, tap, None).await?;
        let list = day.first_list(&fleet.addresses);
        run::replace(&args.list, &serde_json::to_vec_pretty(&list)?)?;
        println!("{}", serde_json::json!({"streamers": list.streamers.len()}));
        tokio::signal::ctrl_c().await?;
        Ok::<_, BoxError>(ExitCode::SUCCESS)
    })
}
