//! The `lemontide` program. It only parses the sub-commands; the crates that they call do the work.

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

/// Assigns video sessions to streaming servers and controls their bitrate.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    /// What is logged to standard error, as `tracing` filters: `info`, or `info,decision=debug` for one line per
    /// decision.
    #[arg(long = "log", value_name = "LOG", global = true, default_value = "warn", env = "LEMONTIDE_LOG")]
    log_filter: String,
    /// Log as text instead of JSON lines.
    #[arg(long = "log-text", global = true)]
    log_as_text: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run one controller until it receives SIGTERM or SIGINT.
    Front(front::FrontArgs),
    /// Run one controller on the operators' platform, configured by environment variables.
    Serve,
    /// Show the gossip state of a running controller: members, suspicions, trust, budget.
    Gossip(gossip::GossipArgs),
    /// Run the simulated streamers of a day and write the list of their addresses.
    Streamer(day::StreamerArgs),
    /// Run a day (a scenario file) of the whole system on loopback, or import one.
    #[command(subcommand)]
    Day(day::Command),
    /// Check the rules from tap files alone.
    Judge {
        /// Tap files, in any order.
        taps: Vec<PathBuf>,
        /// Print one line of JSON instead of the table.
        #[arg(long)]
        json: bool,
    },
    /// Join logs of `request=debug` by session: requests without an end, with several or a late one, and the time of each step.
    Requests {
        /// Log files, or folders of log files.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Run a measurement and print a table, then one line of JSON.
    #[command(subcommand)]
    Measure(measure::Measurement),
    /// Run seeded scenarios of real controllers under combined faults, and check the rules on what crossed the sockets.
    Soak(soak::Args),
    /// Validate a settings file or a day without starting anything.
    Check {
        /// The file to validate.
        file: PathBuf,
        /// The file is a day, not settings of a controller.
        #[arg(long = "day")]
        is_day: bool,
    },
    /// Print one JSON schema, or write all of them into a folder.
    Schema {
        /// The schema to print.
        #[arg(value_enum, value_name = "OF")]
        schema: Option<tools::Schema>,
        /// A folder for all schemas; it is created if it is missing.
        #[arg(long = "into", value_name = "INTO")]
        folder: Option<PathBuf>,
    },
}

/// An error of any kind that ends a command.
type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// The exit code of a command, or an error that is printed to standard error and exits with 1.
type CommandResult = Result<ExitCode, BoxError>;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let filter = match EnvFilter::try_new(&cli.log_filter) {
        Ok(filter) => filter,
        Err(e) => {
            eprintln!("lemontide: --log {}: {e}; give a level, for example `info`", cli.log_filter);
            return ExitCode::from(2);
        }
    };
    let subscriber = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    if cli.log_as_text {
        subscriber.init();
    } else {
        subscriber.json().flatten_event(true).init();
    }
    let result = match cli.command {
        Command::Front(args) => front::run(&args),
        Command::Serve => serve::run(),
        Command::Gossip(args) => gossip::run(&args),
        Command::Streamer(args) => day::run_streamers(&args),
        Command::Day(command) => day::run(command),
        Command::Judge { taps, json } => tools::check_rules(&taps, json),
        Command::Requests { logs } => requests::run(&logs),
        Command::Measure(measurement) => measure::run(measurement),
        Command::Soak(args) => soak::run(&args),
        Command::Check { file, is_day } => tools::check_file(&file, is_day),
        Command::Schema { schema, folder } => tools::write_schema(schema, folder.as_deref()),
    };
    result.unwrap_or_else(|e| {
        eprintln!("lemontide: {e}");
        ExitCode::FAILURE
    })
}
