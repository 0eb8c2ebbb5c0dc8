//! `lemontide gossip`: prints the gossip state of a running controller as a table or JSON.

use crate::measure::get_json;
use crate::CommandResult;
use lemontide_gossip::node::GossipView;
use std::net::SocketAddr;
use std::process::ExitCode;

/// Arguments of `lemontide gossip`.
#[derive(clap::Args)]
pub struct GossipArgs {
    /// The address on which the controller serves HTTP.
    controller: SocketAddr,
    /// Print JSON instead of the table.
    #[arg(long)]
    json: bool,
}

/// Fetches the gossip state and prints it.
pub fn run(args: &GossipArgs) -> CommandResult {
    let view: GossipView = get_json(args.controller, "/v1/gossip")
        .map_err(|e| format!("{e}; is it a controller, and do its settings enable gossip?"))?;
    if args.json {
        println!("{}", serde_json::to_string(&view)?);
        return Ok(ExitCode::SUCCESS);
    }
    println!(
        "{:<20} {:<22} {:>5} {:<8} {:>8} {:>6}",
        "member", "address", "inc", "status", "heard s", "trust"
    );
    let number_or_dash =
        |value: Option<f64>, digits| value.map_or("-".into(), |value| format!("{value:.digits$}"));
    for member in &view.members {
        let heard_age = number_or_dash(member.last_heard_age_s, 1);
        let trust = number_or_dash(member.trust, 2);
        println!(
            "{:<20} {:<22} {:>5} {:<8} {heard_age:>8} {trust:>6}",
            member.name, member.address, member.incarnation, member.status
        );
    }
    println!("suspicions:");
    for (streamer, score) in &view.suspicions {
        println!("  {streamer:<20} {score:.2}");
    }
    println!(
        "budget: {} of {} bytes in the last second; {} datagrams sent, {} accepted, {} signatures checked, health score {}",
        view.bytes_last_s, view.bytes_per_s, view.datagrams_sent, view.datagrams_accepted, view.signatures_checked, view.health_score
    );
    println!("dropped: {}", serde_json::to_string(&view.dropped)?);
    Ok(ExitCode::SUCCESS)
}
