//! `lemontide gossip`: what a running controller's gossip knows, as a table or JSON.

use crate::measure::get;
use crate::Outcome;
use lemontide_gossip::node::GossipView;
use std::net::SocketAddr;
use std::process::ExitCode;

#[derive(clap::Args)]
pub struct Args {
    /// Where the controller serves HTTP.
    controller: SocketAddr,
    /// Print JSON instead of the table.
    #[arg(long)]
    json: bool,
}

pub fn run(args: &Args) -> Outcome {
    let view: GossipView = get(args.controller, "/v1/gossip")
        .map_err(|e| format!("{e}; is it a controller, and is gossip in its settings?"))?;
    if args.json {
        println!("{}", serde_json::to_string(&view)?);
        return Ok(ExitCode::SUCCESS);
    }
    println!(
        "{:<20} {:<22} {:>5} {:<8} {:>8} {:>6}",
        "member", "address", "inc", "status", "heard s", "trust"
    );
    let figure = |value: Option<f64>, digits| value.map_or("-".into(), |v| format!("{v:.digits$}"));
    for m in &view.members {
        let (heard, trust) = (figure(m.last_heard_age_s, 1), figure(m.trust, 2));
        println!(
            "{:<20} {:<22} {:>5} {:<8} {heard:>8} {trust:>6}",
            m.name, m.address, m.incarnation, m.status
        );
    }
    println!("suspicions:");
    for (streamer, weight) in &view.suspicions {
        println!("  {streamer:<20} {weight:.2}");
    }
    println!(
        "budget: {} of {} bytes in the last second; {} datagrams sent, {} taken, {} signatures checked, slowness {}",
        view.bytes_last_s, view.bytes_per_s, view.datagrams_sent, view.datagrams_accepted, view.signatures_checked, view.health_score
    );
    println!("dropped: {}", serde_json::to_string(&view.dropped)?);
    Ok(ExitCode::SUCCESS)
}
