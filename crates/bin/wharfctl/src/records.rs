//! `wharfctl put`, `records` and `fleet`.

use {
    crate::{api::Api, check},
    anyhow::{Context, Result},
    clap::ArgMatches,
    http::Method,
};

/// Commits every file.
pub(crate) async fn put(matches: &ArgMatches) -> Result<()> {
    let api = Api::new(matches)?;
    for file in matches.get_many::<String>("file").into_iter().flatten() {
        let raw = check::read(file)?;
        let path = format!("/v1/admin/records/{}/{}", raw.name, raw.version);
        let answer = api
            .call(Method::PUT, &path, raw.to_json())
            .await
            .with_context(|| file.clone())?;
        println!("{file}: {answer}");
    }
    Ok(())
}

/// Prints the records in force.
pub(crate) async fn list(matches: &ArgMatches) -> Result<()> {
    let api = Api::new(matches)?;
    let answer = api
        .call(Method::GET, "/v1/admin/records", String::new())
        .await?;
    println!("{answer}");
    Ok(())
}

/// Prints the fleet.
pub(crate) async fn fleet(matches: &ArgMatches) -> Result<()> {
    let api = Api::new(matches)?;
    let answer = api
        .call(Method::GET, "/v1/admin/fleet", String::new())
        .await?;
    println!("{answer}");
    Ok(())
}
