//! `lemontide front`: one controller as a daemon.

use crate::Outcome;
use lemontide_front::server::ControllerServer;
use lemontide_front::settings::Settings;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};

#[derive(clap::Args)]
pub struct Args {
    /// The settings, as JSON; `lemontide schema front` prints their schema.
    #[arg(long)]
    settings: PathBuf,
    /// Threads for the sockets; decisions have one of their own.
    #[arg(long, default_value_t = 1)]
    threads: usize,
}

/// Starts, says on standard output where it listens, and stops on SIGTERM or SIGINT: new wishes are turned away,
/// subscriptions get the time that the settings give.
pub fn run(args: &Args) -> Outcome {
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
    tracing::info!("stops");
    front.stop();
    runtime.shutdown_timeout(std::time::Duration::from_millis(500));
    Ok(ExitCode::SUCCESS)
}
