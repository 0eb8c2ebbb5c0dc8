//! `lemontide measure`: each prints a table, then one line of JSON, and fails where what must hold does not.

use crate::Outcome;

#[derive(clap::Subcommand)]
pub enum What {}

pub fn run(what: What) -> Outcome {
    match what {}
}
