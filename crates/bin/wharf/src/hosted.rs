//! Runs a host that the users' platform starts.

use {
    crate::ShutdownSignals,
    anyhow::{Context, Result},
    clap::{value_parser, Arg, ArgAction, Command},
    gateway::{RawSettings, RunningGateway, Settings},
    platform::{read_settings, KvClient, Platform},
    std::{fs, path::Path, time::Duration},
    tokio::{
        runtime::Builder,
        select,
        signal::unix::{signal, Signal, SignalKind},
        task::LocalSet,
        time::sleep,
    },
};

/// Default log levels. `tarpc` is limited to warnings because it logs every call
/// between hosts.
const DEFAULT_LOG_LEVELS: &str = "info, tarpc=warn";

/// Interval between checks of the settings file, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Runs a host with the settings file at `path` until it receives a shutdown signal.
///
/// # Errors
///
/// Returns an error if the settings are not valid or an address cannot be bound.
pub(crate) fn run(path: &Path) -> Result<()> {
    // Single-threaded, because a host has only a fraction of a core.
    let runtime = Builder::new_current_thread().enable_all().build()?;
    // A signal that comes while the host starts must not end the process.
    let signals = {
        let _context = runtime.enter();
        Signals::new()?
    };
    let matches = command().get_matches();
    let metrics_port = matches.get_one("metrics-port").copied();
    let settings = load_settings(path, metrics_port)?;
    if matches.get_flag("check") {
        return Ok(());
    }
    let levels: &String = matches.get_one("log-levels").context("--log-levels")?;
    let _logs = meter::start_json_logs(levels)?;
    LocalSet::new().block_on(&runtime, serve(settings, path, metrics_port, signals))
}

/// Loads and validates the settings; `metrics_port` overrides the file.
fn load_settings(path: &Path, metrics_port: Option<u16>) -> Result<Settings> {
    let raw = RawSettings {
        metrics_port,
        ..read_settings(path)?
    };
    Settings::try_from(raw)
}

/// Builds the command line of a host that the platform starts.
fn command() -> Command {
    Command::new("wharf")
        .version(env!("CARGO_PKG_VERSION"))
        .about("One host of the query tier, started by the users' platform")
        .after_help(
            "The platform names the settings file in a variable. Without that variable, \
             `wharf --help` tells the flags of a host that is started by hand. SIGTERM shuts the \
             host down without cutting work in flight, SIGHUP makes it take the settings again.",
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Check the settings and exit")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("log-levels")
                .long("log-levels")
                .env("WHARF_LOG_LEVELS")
                .help("Log levels, also for one part: info,upstream=debug")
                .default_value(DEFAULT_LOG_LEVELS),
        )
        .arg(
            Arg::new("metrics-port")
                .long("metrics-port")
                .env("WHARF_METRICS_PORT")
                .help("Port for metrics, beside the address for the balancer")
                .value_parser(value_parser!(u16)),
        )
}

/// Signals that the platform sends to a host.
struct Signals {
    shutdown: ShutdownSignals,
    hangup: Signal,
}

impl Signals {
    /// Begins to receive the signals. Must run in the context of a runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if a handler cannot be set.
    fn new() -> Result<Self> {
        Ok(Self {
            shutdown: ShutdownSignals::new()?,
            hangup: signal(SignalKind::hangup()).context("SIGHUP")?,
        })
    }
}

async fn serve(
    settings: Settings,
    path: &Path,
    metrics_port: Option<u16>,
    mut signals: Signals,
) -> Result<()> {
    let store = KvClient::new(settings.store_addr);
    let host = gateway::run::<Platform>(settings, store).await?;
    select! {
        () = signals.shutdown.recv() => {}
        () = watch_settings(path, metrics_port, &host, &mut signals.hangup) => {}
    }
    host.shut_down().await;
    Ok(())
}

/// Reloads the settings on SIGHUP and when the contents of the file have changed.
async fn watch_settings(
    path: &Path,
    metrics_port: Option<u16>,
    host: &RunningGateway<Platform>,
    hangup: &mut Signal,
) {
    let mut last_contents = fs::read(path).ok();
    loop {
        let is_signalled = select! {
            _ = hangup.recv() => true,
            () = sleep(SETTINGS_POLL_INTERVAL) => false,
        };
        // If the file cannot be read, `load_settings` below reports the error.
        let contents = fs::read(path).ok();
        if !is_signalled && contents == last_contents {
            continue;
        }
        last_contents = contents;
        match load_settings(path, metrics_port) {
            Ok(new_settings) => host.reload(&new_settings),
            Err(error) => log::error!(target: "host", "The settings are kept: {error:#}."),
        }
    }
}
