//! `lemontide serve`: runs one controller on the operators' platform.

use crate::CommandResult;
use std::process::ExitCode;

/// Runs the controller in the foreground until the platform stops it.
pub fn run() -> CommandResult {
    lemontide_platform::serve::run()?;
    Ok(ExitCode::SUCCESS)
}
