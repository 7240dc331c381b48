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
        signal::unix::{signal, Signal, SignalKind},
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
    let mut signals = ShutdownSignals::new()?;
    let flags = flags::parse()?;
    let _logs = meter::start_logs(&flags.log_level, flags.log_format)?;
    let settings = Settings::try_from(flags.settings)?;
    let host = host::run(settings).await?;
    signals.recv().await;
    host.shut_down().await;
    log::info!(target: "host", "Stopped.");
    Ok(())
}

/// The signals that shut a host down.
struct ShutdownSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl ShutdownSignals {
    /// Begins to receive the signals. Must run in the context of a runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if a handler cannot be set.
    fn new() -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).context("SIGTERM")?,
            interrupt: signal(SignalKind::interrupt()).context("SIGINT")?,
        })
    }

    /// Waits for SIGTERM or SIGINT.
    async fn recv(&mut self) {
        select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
