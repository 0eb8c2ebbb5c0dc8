//! `lemontide day` and `lemontide streamer`: days on loopback, and their streamers alone.

use crate::Outcome;
use lemontide_standin::day::Day;
use lemontide_standin::import::import;
use lemontide_standin::judge::check_rules;
use lemontide_standin::run::{self, RunOptions};
use lemontide_standin::streamer::{Defect, Fleet};
use lemontide_wire::clock::Clock;
use lemontide_wire::tap::{self, Tap};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(clap::Subcommand)]
pub enum Command {
    /// Play a day with controllers as processes, and judge it: exit 0 only where no rule is broken.
    Run {
        file: PathBuf,
        /// Keep settings, list, logs and taps here; otherwise they go when the day is over.
        #[arg(long)]
        keep: Option<PathBuf>,
        /// Make a fault on purpose, to see it found.
        #[arg(long, value_enum)]
        fault: Option<Meddle>,
        /// Print one line of JSON after the table.
        #[arg(long)]
        json: bool,
    },
    /// Carry a drawn day of the bench over to the real controller.
    Import {
        file: PathBuf,
        #[arg(short, long)]
        output: PathBuf,
    },
}

#[derive(Clone, Copy, clap::ValueEnum)]
pub enum Meddle {
    /// Some set-ups reach their streamer twice.
    Duplicates,
    /// Some answers never reach their player.
    Swallows,
}

#[derive(clap::Args)]
pub struct StreamerArgs {
    /// The day whose streamers are run.
    day: PathBuf,
    /// Where the list that names them is written.
    #[arg(long)]
    list: PathBuf,
    /// Where their end of every link is written down.
    #[arg(long)]
    tap: Option<PathBuf>,
}

fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()
}

pub fn run(command: Command) -> Outcome {
    match command {
        Command::Run { file, keep, fault, json } => play(&file, keep, fault, json),
        Command::Import { file, output } => {
            let drawn = lemontide_front::settings::read_json(&file)?;
            let name = file.file_stem().map_or_else(|| "day".into(), |stem| stem.to_string_lossy());
            let (day, notes) = import(&drawn, &name).map_err(|e| format!("{}: at {e}", file.display()))?;
            run::replace(&output, &serde_json::to_vec_pretty(&day)?)?;
            // What was written must be a day that can be played.
            Day::read(&output)?;
            for note in notes {
                println!("{note}");
            }
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn play(file: &Path, keep: Option<PathBuf>, fault: Option<Meddle>, json: bool) -> Outcome {
    let day = Day::read(file)?;
    let scratch = tempfile::tempdir()?;
    let folder = keep.unwrap_or_else(|| scratch.path().to_owned());
    if folder.join("day.tap").exists() {
        return Err(format!("{}: a day lies there already; name an empty folder", folder.display()).into());
    }
    let folder = std::path::absolute(folder)?;
    let defect = fault.map(|fault| match fault {
        Meddle::Duplicates => Defect::DuplicateSetUps,
        Meddle::Swallows => Defect::LostResponses,
    });
    let (name, about) = (day.name.clone(), day.about.clone());
    let sizes = (day.controllers.len(), day.streamers.len());
    let how = RunOptions { program: std::env::current_exe()?, folder, defect };
    let ran = runtime()?.block_on(run::run(day, how))?;
    let mut lines = Vec::new();
    for tap in &ran.taps {
        if tap.exists() {
            lines.extend(tap::read_records(tap)?);
        }
    }
    let verdict = check_rules(&lines).ok_or("the taps state no terms")?;
    println!("day {name}: {} controllers, {} streamers, {} viewers", sizes.0, sizes.1, ran.viewers);
    if !about.is_empty() {
        println!("{about}");
    }
    println!("{:.1} s, {} lines of taps", ran.took_s, lines.len());
    print!("{}", verdict.table());
    if json {
        println!("{}", serde_json::to_string(&verdict)?);
    }
    Ok(if verdict.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs a day's streamers, warm and without its troubles, until it is interrupted.
pub fn streamer(args: &StreamerArgs) -> Outcome {
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
        Ok::<_, Box<dyn std::error::Error + Send + Sync>>(ExitCode::SUCCESS)
    })
}
