//! `wharfctl query`: sends one query as a caller would.

use {
    crate::api::send,
    anyhow::{Context, Result},
    clap::ArgMatches,
    http::Request,
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
};

/// Sends the query and prints the answer.
pub(crate) async fn run(matches: &ArgMatches) -> Result<()> {
    let text = |name: &str| matches.get_one::<String>(name).cloned();
    let addr = text("entry-addr").context("--entry-addr")?;
    let route = text("route").context("route")?;
    let mut request = Request::post(format!("http://{addr}/v1/query/{route}"))
        .header("x-wharf-tenant", text("tenant").context("--tenant")?)
        .header("x-wharf-rank", text("rank").context("--rank")?);
    if let Some(deadline_ms) = matches.get_one::<u64>("deadline-ms") {
        request = request.header("x-wharf-deadline-ms", *deadline_ms);
    }
    if let Some(key) = text("idempotency-key") {
        request = request.header("idempotency-key", key);
    }
    let client = Client::builder(TokioExecutor::new()).build_http();
    let answer = send(&client, request, text("body").context("body")?).await?;
    println!("{answer}");
    Ok(())
}
