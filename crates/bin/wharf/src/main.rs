//! The process that every entry host runs.

mod flags;

use {
    anyhow::{Context, Result},
    host::Settings,
    tokio::{
        select,
        signal::unix::{signal, SignalKind},
    },
};

#[tokio::main]
async fn main() -> Result<()> {
    let flags = flags::parse()?;
    let _logs = meter::start_logs(&flags.log_level, flags.log_format)?;
    let settings = Settings::try_from(flags.settings)?;
    let host = host::run(settings).await?;
    let mut terminate = signal(SignalKind::terminate()).context("SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT")?;
    select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    host.shut_down().await;
    log::info!(target: "host", "Stopped.");
    Ok(())
}
