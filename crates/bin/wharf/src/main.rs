//! The server process of an entry host.
//!
//! If the users' platform starts it, the settings come from the file that the
//! platform names. Otherwise they come from flags and environment variables.

mod flags;
mod hosted;

use {
    anyhow::{Context, Result},
    host::Settings,
    tokio::{
        runtime, select,
        signal::unix::{signal, SignalKind},
    },
};

fn main() -> Result<()> {
    match platform::settings_path() {
        Some(path) => hosted::run(&path),
        None => runtime::Runtime::new()?.block_on(run_standalone()),
    }
}

/// Runs a host that is configured by flags until it receives a shutdown signal.
async fn run_standalone() -> Result<()> {
    let flags = flags::parse()?;
    let _logs = meter::start_logs(&flags.log_level, flags.log_format)?;
    let settings = Settings::try_from(flags.settings)?;
    let host = host::run(settings).await?;
    shutdown_signal().await?;
    host.shut_down().await;
    log::info!(target: "host", "Stopped.");
    Ok(())
}

/// Waits for SIGTERM or SIGINT.
async fn shutdown_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT")?;
    select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
