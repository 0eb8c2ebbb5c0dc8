//! `lemontide measure`: each prints a table, then one line of JSON, and fails where what must hold does not.
//! Speeds are told as ratios within one run and never decide the exit code.

mod front;
mod rig;

use crate::Outcome;

#[derive(clap::Subcommand)]
pub enum What {
    /// What the controller costs over a constant answer by the same HTTP stack; memory and CPU at many sessions.
    Front(front::Args),
    /// Serve a constant answer; a baseline that `front` starts by itself.
    #[command(hide = true)]
    Constant,
}

pub fn run(what: What) -> Outcome {
    match what {
        What::Front(args) => front::run(&args),
        What::Constant => rig::constant(),
    }
}
