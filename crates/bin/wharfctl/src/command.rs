//! Definition of the command line.

use {
    crate::{
        argument::{parse_host_addr, parse_record_name},
        failure::EXIT_CODES,
        record_command,
    },
    clap::{value_parser, Arg, ArgAction, Command},
    std::net::SocketAddr,
};

/// Builds the command line.
pub(crate) fn command() -> Command {
    Command::new("wharfctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates a fleet of wharf hosts")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(format!(
            "Examples:\n  wharfctl check service.toml route.toml\n  \
             wharfctl put service.toml route.toml --wait\n  \
             wharfctl --admin-addr 10.0.0.7:7002 --json records\n\n{EXIT_CODES}"
        ))
        .arg(
            Arg::new("admin-addr")
                .long("admin-addr")
                .env("WHARF_ADMIN_ADDR")
                .default_value("127.0.0.1:7002")
                .value_parser(parse_host_addr)
                .global(true)
                .help("Address for operators of any host"),
        )
        .arg(
            Arg::new("admin-token")
                .long("admin-token")
                .env("WHARF_ADMIN_TOKEN")
                .default_value("")
                .hide_env_values(true)
                .global(true)
                .help("Bearer token of the administration API"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .global(true)
                .help("Prints JSON for scripts, one document a line; failures go to stderr as JSON too"),
        )
        .subcommands(record_command::commands())
        .subcommand(
            Command::new("fleet")
                .about("Shows the fleet as one host knows it")
                .after_help("Example: wharfctl fleet --admin-addr 10.0.0.7:7002"),
        )
        .subcommand(query_command())
        .subcommand(load_command())
        .subcommand(crate::trace::command())
}

fn query_command() -> Command {
    Command::new("query")
        .about("Sends one query and prints the answer")
        .after_help("Example: wharfctl query shortfall '{\"item\":\"barrel\"}' --rank urgent")
        .arg(
            Arg::new("route")
                .required(true)
                .value_parser(parse_record_name)
                .help("Name of the route"),
        )
        .arg(
            Arg::new("body")
                .default_value("{}")
                .help("Query for the upstreams, as JSON"),
        )
        .arg(
            Arg::new("entry-addr")
                .long("entry-addr")
                .env("WHARF_ENTRY_ADDR")
                .default_value("127.0.0.1:7000")
                .value_parser(parse_host_addr)
                .help("Address for callers of any host"),
        )
        .arg(
            Arg::new("tenant")
                .long("tenant")
                .default_value("operator")
                .help("Tenant to ask as"),
        )
        .arg(
            Arg::new("rank")
                .long("rank")
                .default_value("routine")
                .help("Rank: urgent, routine or background"),
        )
        .arg(
            Arg::new("deadline-ms")
                .long("deadline-ms")
                .value_parser(value_parser!(u64))
                .help("Deadline in milliseconds; the record's default without it"),
        )
        .arg(
            Arg::new("idempotency-key")
                .long("idempotency-key")
                .help("Key of a request that may run only once"),
        )
}

fn load_command() -> Command {
    Command::new("load")
        .about("Sends an open-loop load and reports latency, coverage and refusals by rank")
        .after_help(
            "With --experiment, a TOML file names the phases:\n\n  seed = 1\n  [[phases]]\n  \
             name = \"calm\"\n  duration_ms = 5000\n  urgent_per_s = 20\n  routine_per_s = 50\n  \
             background_per_s = 50",
        )
        .arg(
            Arg::new("route")
                .required(true)
                .value_parser(parse_record_name)
                .help("Name of the route"),
        )
        .arg(
            Arg::new("entry")
                .long("entry")
                .env("WHARF_ENTRY_ADDRS")
                .default_value("127.0.0.1:7000")
                .value_delimiter(',')
                .value_parser(value_parser!(SocketAddr))
                .help("Addresses for callers, used in turn"),
        )
        .arg(
            Arg::new("body")
                .long("body")
                .default_value("{}")
                .help("Query for the upstreams, as JSON"),
        )
        .arg(
            Arg::new("deadline-ms")
                .long("deadline-ms")
                .value_parser(value_parser!(u64))
                .help("Deadline of each query in milliseconds"),
        )
        .arg(
            Arg::new("tenants")
                .long("tenants")
                .default_value("4")
                .value_parser(value_parser!(u32).range(1..=10_000))
                .help("Number of tenants, used in turn"),
        )
        .arg(rate_flag("urgent-per-s", "Urgent queries a second"))
        .arg(rate_flag("routine-per-s", "Routine queries a second"))
        .arg(rate_flag("background-per-s", "Background queries a second"))
        .arg(
            Arg::new("duration-ms")
                .long("duration-ms")
                .default_value("10000")
                .value_parser(value_parser!(u64))
                .help("Duration in milliseconds"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the arrival times"),
        )
        .arg(
            Arg::new("experiment")
                .long("experiment")
                .help("File with the phases of an experiment, in place of the rates"),
        )
        .arg(
            Arg::new("svg")
                .long("svg")
                .help("File for a plot of latency by quantile"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Prints the report as JSON"),
        )
}

/// Creates a flag for a query rate.
fn rate_flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value("10")
        .value_parser(value_parser!(f64))
        .help(help)
}
