//! The lemontide program: sub-commands only; the work is in the crates that they call.

mod day;
mod front;
mod gossip;
mod measure;
mod requests;
mod serve;
mod soak;
mod tools;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

/// Places video sessions on streaming servers and shapes them.
#[derive(Parser)]
#[command(version, about)]
struct Lemontide {
    /// What is logged to standard error, as `tracing` filters: `info`, or `info,decision=debug` for one line a
    /// decision.
    #[arg(long, global = true, default_value = "warn", env = "LEMONTIDE_LOG")]
    log: String,
    /// Log as text instead of JSON lines.
    #[arg(long, global = true)]
    log_text: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run one controller until it is told to stop.
    Front(front::Args),
    /// Run one controller on the operators' platform, told by the environment what it is.
    Serve,
    /// What a controller's gossip knows: members, suspicions, trust, budget.
    Gossip(gossip::Args),
    /// Run the stand-in streamers of a day and write the list that names them.
    Streamer(day::StreamerArgs),
    /// Days for the whole system, on loopback.
    #[command(subcommand)]
    Day(day::Command),
    /// Check the rules from taps alone.
    Judge {
        taps: Vec<PathBuf>,
        /// Print one line of JSON instead of the table.
        #[arg(long)]
        json: bool,
    },
    /// Join logs of `request=debug` by session: requests without an end, with two or a late one, and the time of each step.
    Requests {
        /// Logs, or folders of them.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Measure something: a table, then one line of JSON.
    #[command(subcommand)]
    Measure(measure::What),
    /// Play seeded runs of real controllers under combined troubles, and judge the rules from what crossed the sockets.
    Soak(soak::Args),
    /// Check settings, or a day, without starting anything.
    Check {
        file: PathBuf,
        /// The file is a day.
        #[arg(long)]
        day: bool,
    },
    /// Print a schema, or write all of them into a folder.
    Schema {
        #[arg(value_enum)]
        of: Option<tools::Schema>,
        #[arg(long)]
        into: Option<PathBuf>,
    },
}

/// What a command comes to: fine, or a reason that is printed to standard error.
type Outcome = Result<ExitCode, Box<dyn std::error::Error + Send + Sync>>;

fn main() -> ExitCode {
    let given = Lemontide::parse();
    let filter = match EnvFilter::try_new(&given.log) {
        Ok(filter) => filter,
        Err(e) => {
            eprintln!("lemontide: --log {}: {e}; name a level, as `info`", given.log);
            return ExitCode::from(2);
        }
    };
    let logs = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    if given.log_text {
        logs.init();
    } else {
        logs.json().flatten_event(true).init();
    }
    let outcome = match given.command {
        Command::Front(args) => front::run(&args),
        Command::Serve => serve::run(),
        Command::Gossip(args) => gossip::run(&args),
        Command::Streamer(args) => day::streamer(&args),
        Command::Day(command) => day::run(command),
        Command::Judge { taps, json } => tools::judge(&taps, json),
        Command::Requests { logs } => requests::run(&logs),
        Command::Measure(what) => measure::run(what),
        Command::Soak(args) => soak::run(&args),
        Command::Check { file, day } => tools::check(&file, day),
        Command::Schema { of, into } => tools::schema(of, into.as_deref()),
    };
    outcome.unwrap_or_else(|e| {
        eprintln!("lemontide: {e}");
        ExitCode::FAILURE
    })
}
