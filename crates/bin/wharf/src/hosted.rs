//! A host that the users' platform starts.

use {
    crate::stop_asked,
    anyhow::{Context, Result},
    clap::{value_parser, Arg, ArgAction, Command},
    gateway::{RawSettings, RunningGateway, Settings},
    platform::{read_settings, KvClient, Platform},
    std::{fs, path::Path, time::Duration},
    tokio::{
        runtime::Builder,
        select,
        signal::unix::{signal, SignalKind},
        task::LocalSet,
        time::sleep,
    },
};

/// Levels of the log; the library for calls between hosts tells each of them.
const LOG_LEVELS: &str = "info, tarpc=warn";

/// Pause between looks at the settings file, which may change without a signal.
const SETTINGS_PAUSE: Duration = Duration::from_secs(5);

/// Runs a host by the settings file at `path` until it is asked to stop.
///
/// # Errors
///
/// Returns an error if the settings are not valid or an address cannot be bound.
pub(crate) fn run(path: &Path) -> Result<()> {
    let matches = command().get_matches();
    let metrics_port = matches.get_one("metrics-port").copied();
    let settings = settings(path, metrics_port)?;
    if matches.get_flag("check") {
        return Ok(());
    }
    let levels: &String = matches.get_one("log-levels").context("--log-levels")?;
    let _logs = meter::start_json_logs(levels)?;
    // One thread: a host has a fraction of a core.
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(settings, path, metrics_port))
}

fn settings(path: &Path, metrics_port: Option<u16>) -> Result<Settings> {
    let raw = RawSettings {
        metrics_port,
        ..read_settings(path)?
    };
    Settings::try_from(raw)
}

/// Returns the definition of the command line for a host that the platform starts.
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
                .default_value(LOG_LEVELS),
        )
        .arg(
            Arg::new("metrics-port")
                .long("metrics-port")
                .env("WHARF_METRICS_PORT")
                .help("Port for metrics, beside the address for the balancer")
                .value_parser(value_parser!(u16)),
        )
}

async fn serve(settings: Settings, path: &Path, metrics_port: Option<u16>) -> Result<()> {
    let keys = KvClient::new(settings.store_addr);
    let host = gateway::run::<Platform>(settings, keys).await?;
    select! {
        asked = stop_asked() => asked?,
        failed = follow_settings(path, metrics_port, &host) => failed?,
    }
    host.shut_down().await;
    Ok(())
}

/// Takes the settings again when the process is told that they have changed,
/// and when the file has changed without a word.
async fn follow_settings(
    path: &Path,
    metrics_port: Option<u16>,
    host: &RunningGateway<Platform>,
) -> Result<()> {
    let mut changed = signal(SignalKind::hangup()).context("SIGHUP")?;
    let mut known = fs::read(path).ok();
    loop {
        let is_told = select! {
            _ = changed.recv() => true,
            () = sleep(SETTINGS_PAUSE) => false,
        };
        // A file that cannot be read for a moment is told of below.
        let now = fs::read(path).ok();
        if !is_told && now == known {
            continue;
        }
        known = now;
        match settings(path, metrics_port) {
            Ok(newer) => host.reload(&newer),
            Err(error) => log::error!(target: "host", "The settings are kept: {error:#}."),
        }
    }
}
