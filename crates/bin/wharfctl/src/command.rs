//! The definition of the command line.

use clap::{value_parser, Arg, ArgAction, Command};

/// Returns the definition of the command line.
pub(crate) fn command() -> Command {
    Command::new("wharfctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates a fleet of wharf hosts")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("admin-addr")
                .long("admin-addr")
                .env("WHARF_ADMIN_ADDR")
                .default_value("127.0.0.1:7002")
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
        .subcommand(check())
        .subcommand(put())
        .subcommand(Command::new("records").about("Lists the records in force"))
        .subcommand(Command::new("fleet").about("Shows the fleet as one host knows it"))
        .subcommand(query())
}

fn files() -> Arg {
    Arg::new("file")
        .required(true)
        .action(ArgAction::Append)
        .num_args(1..)
        .help("Record files in TOML")
}

fn check() -> Command {
    Command::new("check")
        .about("Checks record files; needs no server")
        .arg(files())
}

fn put() -> Command {
    Command::new("put")
        .about("Commits record files, one after the other")
        .arg(files())
}

fn query() -> Command {
    Command::new("query")
        .about("Sends one query and prints the answer")
        .arg(Arg::new("route").required(true).help("Name of the route"))
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
