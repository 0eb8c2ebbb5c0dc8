//! `lemontide measure`: each prints a table, then one line of JSON, and fails where what must hold does not.
//! Speeds are told as ratios within one run and never decide the exit code.

mod fleet;
mod front;
mod gossip;
mod rig;
mod shedding;

use crate::Outcome;

pub use rig::get;

#[derive(clap::Subcommand)]
pub enum What {
    /// What the controller costs over a constant answer by the same HTTP stack; memory and CPU at many sessions.
    Front(front::Args),
    /// What many controllers come to together: connections, turns at cold streamers, gain, by size and kind of view.
    Fleet(fleet::Args),
    /// What gossip costs and brings: controllers with a liar among them, and large towns in virtual time.
    Gossip(gossip::Args),
    /// What shedding keeps at many times the limit of a controller, against no shedding and a bounded queue.
    Shedding(shedding::Args),
    /// Serve a constant answer; a baseline that `front` starts by itself.
    #[command(hide = true)]
    Constant,
}

pub fn run(what: What) -> Outcome {
    match what {
        What::Front(args) => front::run(&args),
        What::Fleet(args) => fleet::run(&args),
        What::Gossip(args) => gossip::run(&args),
        What::Shedding(args) => shedding::run(&args),
        What::Constant => rig::constant(),
    }
}
