//! The process that every entry host runs.
//!
//! Started by the users' platform, it takes its settings from the file that
//! the platform names; started by hand, from flags and variables of its own.

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
        None => runtime::Runtime::new()?.block_on(run_alone()),
    }
}

async fn run_alone() -> Result<()> {
    let flags = flags::parse()?;
    let _logs = meter::start_logs(&flags.log_level, flags.log_format)?;
    let settings = Settings::try_from(flags.settings)?;
    let host = host::run(settings).await?;
    stop_asked().await?;
    host.shut_down().await;
    log::info!(target: "host", "Stopped.");
    Ok(())
}

/// Waits until the process is asked to stop.
async fn stop_asked() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT")?;
    select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
