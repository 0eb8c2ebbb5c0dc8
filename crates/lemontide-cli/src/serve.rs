//! `lemontide serve`: one controller on the operators' platform.

use crate::Outcome;
use std::process::ExitCode;

/// Runs in the foreground until the platform stops it.
pub fn run() -> Outcome {
    lemontide_platform::serve::run()?;
    Ok(ExitCode::SUCCESS)
}
