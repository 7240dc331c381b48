//! The operators' command line.

mod api;
mod check;
mod command;
mod load;
mod query;
mod records;

use anyhow::Result;

#[tokio::main]
async fn main() -> Result<()> {
    let matches = command::command().get_matches();
    match matches.subcommand() {
        Some(("check", matches)) => check::run(matches),
        Some(("put", matches)) => records::put(matches).await,
        Some(("records", matches)) => records::list(matches).await,
        Some(("fleet", matches)) => records::fleet(matches).await,
        Some(("query", matches)) => query::run(matches).await,
        Some(("load", matches)) => load::run(matches).await,
        // The command line demands a subcommand.
        _ => Ok(()),
    }
}
