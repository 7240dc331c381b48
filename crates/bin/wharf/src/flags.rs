//! Command-line flags and environment variables of `wharf`.

use {
    anyhow::{Context, Result},
    clap::{builder::PossibleValuesParser, value_parser, Arg, ArgMatches, Command},
    host::RawSettings,
    meter::LogFormat,
};

/// Parsed flags, before the settings are validated.
pub(crate) struct Flags {
    pub(crate) settings: RawSettings,
    pub(crate) log_level: String,
    pub(crate) log_format: LogFormat,
}

/// Parses the command line and the environment of this process.
///
/// # Errors
///
/// Returns an error that names the flag if a value is missing or malformed.
pub(crate) fn parse() -> Result<Flags> {
    let matches = command().get_matches();
    Ok(Flags {
        settings: RawSettings {
            host_id: required_text(&matches, "host-id")?,
            region: required_text(&matches, "region")?,
            zone: required_text(&matches, "zone")?,
            entry_addr: required_text(&matches, "entry-addr")?,
            peer_addr: required_text(&matches, "peer-addr")?,
            admin_addr: required_text(&matches, "admin-addr")?,
            platform_addr: required_text(&matches, "platform-addr")?,
            admin_token: required_text(&matches, "admin-token")?,
            balancer_lag_ms: *matches
                .get_one("balancer-lag-ms")
                .context("--balancer-lag-ms")?,
            max_body_bytes: *matches
                .get_one("max-body-bytes")
                .context("--max-body-bytes")?,
            default_relays: *matches
                .get_one("default-relays")
                .context("--default-relays")?,
            seed_peers: matches
                .get_many::<String>("seed-peers")
                .map(|seeds| seeds.cloned().collect())
                .unwrap_or_default(),
            max_drain_ms: *matches.get_one("max-drain-ms").context("--max-drain-ms")?,
        },
        log_level: required_text(&matches, "log-level")?,
        log_format: required_text(&matches, "log-format")?
            .parse()
            .map_err(|e| anyhow::anyhow!("--log-format: {e}"))?,
    })
}

/// Returns the value of a flag that is required or has a default.
fn required_text(matches: &ArgMatches, name: &str) -> Result<String> {
    matches
        .get_one::<String>(name)
        .cloned()
        .with_context(|| format!("--{name} is required"))
}

/// Builds the command line.
pub(crate) fn command() -> Command {
    Command::new("wharf")
        .version(env!("CARGO_PKG_VERSION"))
        .about("One host of the query tier: takes queries, runs them against every shard, answers")
        .after_help(
            "Every flag can be given as an environment variable. SIGTERM shuts the host down \
             without cutting work in flight.",
        )
        .arg(
            flag(
                "host-id",
                "WHARF_HOST_ID",
                "Name of this host, unique in the fleet",
            )
            .required(true),
        )
        .arg(flag("region", "WHARF_REGION", "Region of this host").required(true))
        .arg(flag("zone", "WHARF_ZONE", "Availability zone of this host").required(true))
        .arg(
            flag("entry-addr", "WHARF_ENTRY_ADDR", "Address for callers")
                .default_value("127.0.0.1:7000"),
        )
        .arg(
            flag(
                "peer-addr",
                "WHARF_PEER_ADDR",
                "Address for peers, as the host list names it",
            )
            .default_value("127.0.0.1:7001"),
        )
        .arg(
            flag(
                "admin-addr",
                "WHARF_ADMIN_ADDR",
                "Address for operators, metrics included",
            )
            .default_value("127.0.0.1:7002"),
        )
        .arg(
            flag(
                "platform-addr",
                "WHARF_PLATFORM_ADDR",
                "Address of the platform's service",
            )
            .required(true),
        )
        .arg(
            flag(
                "admin-token",
                "WHARF_ADMIN_TOKEN",
                "Bearer token of the administration API",
            )
            .required(true)
            .hide_env_values(true),
        )
        .arg(
            flag(
                "balancer-lag-ms",
                "WHARF_BALANCER_LAG_MS",
                "Time for which a leaving host still takes work, in milliseconds",
            )
            .default_value("2000")
            .value_parser(value_parser!(u64)),
        )
        .arg(
            flag(
                "max-body-bytes",
                "WHARF_MAX_BODY_BYTES",
                "Largest body of a query, in bytes",
            )
            .default_value("65536")
            .value_parser(value_parser!(usize)),
        )
        .arg(
            flag(
                "default-relays",
                "WHARF_DEFAULT_RELAYS",
                "Relays of a service whose record names no number; 0 means every host",
            )
            .default_value("2")
            .value_parser(value_parser!(u32)),
        )
        .arg(
            flag(
                "seed-peers",
                "WHARF_SEED_PEERS",
                "Addresses of peers to begin with, separated by commas, for when the platform is down",
            )
            .value_delimiter(','),
        )
        .arg(
            flag(
                "max-drain-ms",
                "WHARF_MAX_DRAIN_MS",
                "Time after which a shutdown gives up what is in flight, in milliseconds",
            )
            .default_value("30000")
            .value_parser(value_parser!(u64)),
        )
        .arg(
            flag(
                "log-level",
                "WHARF_LOG_LEVEL",
                "Log level, also for one part: info,config=debug",
            )
            .default_value("info"),
        )
        .arg(
            flag("log-format", "WHARF_LOG_FORMAT", "Form of the log lines")
                .default_value("text")
                .value_parser(PossibleValuesParser::new(["text", "json"])),
        )
}

/// Creates a flag that can also be set by an environment variable.
fn flag(name: &'static str, variable: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).env(variable).help(help)
}
