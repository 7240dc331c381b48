//! Command-line tool for operators of `wharf` hosts.

mod api;
mod argument;
mod change;
mod check;
mod command;
mod failure;
mod in_force;
mod load;
mod query;
mod record_command;
mod records;
mod table;
mod trace;

use {anyhow::Result, clap::ArgMatches, std::process::ExitCode};

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command::command().get_matches();
    match run(&matches).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failure::report(&error, matches.get_flag("json")),
    }
}

async fn run(matches: &ArgMatches) -> Result<()> {
    match matches.subcommand() {
        Some(("check", matches)) => check::run(matches),
        Some(("diff", matches)) => records::diff(matches).await,
        Some(("put", matches)) => change::put(matches).await,
        Some(("retire", matches)) => change::retire(matches).await,
        Some(("rollback", matches)) => change::roll_back(matches).await,
        Some(("recover", matches)) => change::recover(matches).await,
        Some(("history", matches)) => records::history(matches).await,
        Some(("in-force", matches)) => in_force::show(matches).await,
        Some(("explain", matches)) => records::explain(matches).await,
        Some(("records", matches)) => records::list(matches).await,
        Some(("fleet", matches)) => records::fleet(matches).await,
        Some(("query", matches)) => query::run(matches).await,
        Some(("trace", matches)) => trace::run(matches),
        Some(("load", matches)) => load::run(matches).await,
        // clap requires a subcommand.
        _ => Ok(()),
    }
}
