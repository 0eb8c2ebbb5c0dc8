//! `lemontide front`: runs one controller as a daemon.

use crate::CommandResult;
use lemontide_front::server::ControllerServer;
use lemontide_front::settings::Settings;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};

/// Arguments of `lemontide front`.
#[derive(clap::Args)]
pub struct FrontArgs {
    /// The settings file, as JSON; `lemontide schema front` prints its schema.
    #[arg(long)]
    settings: PathBuf,
    /// Threads for the sockets; decisions run in a thread of their own.
    #[arg(long, default_value_t = 1)]
    threads: usize,
}

/// Starts the controller, prints the address that it listens on to standard output, and stops on SIGTERM or SIGINT.
/// While it stops, new requests are rejected and sessions get the time that the settings allow.
pub fn run(args: &FrontArgs) -> CommandResult {
    let settings = Settings::read(&args.settings)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(args.threads.max(1))
        .enable_all()
        .build()?;
    let front = runtime.block_on(async {
        let front = ControllerServer::start(settings).await?;
        let mut stdout = std::io::stdout().lock();
        writeln!(stdout, "{}", serde_json::json!({"listening": front.address}))?;
        stdout.flush()?;
        drop(stdout);
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok::<_, std::io::Error>(front)
    })?;
    tracing::info!("stopping");
    front.stop();
    runtime.shutdown_timeout(std::time::Duration::from_millis(500));
    Ok(ExitCode::SUCCESS)
}
