//! A host that the users' platform starts.

use {
    crate::stop_asked,
    anyhow::{Context, Result},
    gateway::Settings,
    platform::{read_settings, KvClient, Platform},
    std::path::Path,
    tokio::{
        runtime::Builder,
        select,
        signal::unix::{signal, SignalKind},
        task::LocalSet,
    },
};

/// Levels of the log; the library for calls between hosts tells each of them.
const LOG_LEVELS: &str = "info, tarpc=warn";

/// Runs a host by the settings file at `path` until it is asked to stop.
///
/// # Errors
///
/// Returns an error if the settings are not valid or an address cannot be bound.
pub(crate) fn run(path: &Path) -> Result<()> {
    let _logs = meter::start_json_logs(LOG_LEVELS)?;
    let settings = Settings::try_from(read_settings(path)?)?;
    // One thread: a host has a fraction of a core.
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(settings, path))
}

async fn serve(settings: Settings, path: &Path) -> Result<()> {
    let keys = KvClient::new(settings.store_addr);
    let host = gateway::run::<Platform>(settings, keys).await?;
    select! {
        asked = stop_asked() => asked?,
        failed = follow_settings(path) => failed?,
    }
    host.shut_down().await;
    Ok(())
}

/// Checks the settings again whenever the process is told that they have changed.
async fn follow_settings(path: &Path) -> Result<()> {
    let mut changed = signal(SignalKind::hangup()).context("SIGHUP")?;
    loop {
        changed.recv().await;
        match read_settings(path).and_then(Settings::try_from) {
            Ok(_) => log::info!(target: "host", "The settings were read again."),
            Err(error) => log::error!(target: "host", "The settings are kept: {error:#}."),
        }
    }
}
