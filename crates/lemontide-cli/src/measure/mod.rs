//! `lemontide measure`: each measurement prints a table, then one line of JSON, and fails if a required property does
//! not hold. Speeds are given as ratios within one run and never affect the exit code.

mod fleet;
mod front;
mod gossip;
mod rig;
mod shedding;

use crate::CommandResult;

pub use rig::get_json;

/// Sub-commands of `lemontide measure`.
#[derive(clap::Subcommand)]
pub enum Measurement {
    /// Measure the cost of the controller over a constant response by the same HTTP stack; memory and CPU at many sessions.
    Front(front::FrontArgs),
    /// Measure many controllers together: connections, turns at cold streamers, gain, by size and kind of fleet view.
    Fleet(fleet::FleetArgs),
    /// Measure cost and benefit of gossip: controllers with a lying member, and large simulated networks in virtual time.
    Gossip(gossip::GossipArgs),
    /// Measure load shedding at many times the limit of a controller, against no shedding and a bounded queue.
    Shedding(shedding::SheddingArgs),
    /// Serve a constant response: the baseline that `measure front` starts by itself.
    #[command(hide = true)]
    Constant,
}

/// Runs a measurement.
pub fn run(measurement: Measurement) -> CommandResult {
    match measurement {
        Measurement::Front(args) => front::run(&args),
        Measurement::Fleet(args) => fleet::run(&args),
        Measurement::Gossip(args) => gossip::run(&args),
        Measurement::Shedding(args) => shedding::run(&args),
        Measurement::Constant => rig::serve_constant_response(),
    }
}
