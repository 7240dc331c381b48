//! Runs many fake upstream servers as one process.

use {
    anyhow::{Context, Result},
    clap::{value_parser, Arg, Command},
    fakes::upstream::{Behaviour, FakeUpstreams},
    std::net::SocketAddr,
    tokio::net::TcpListener,
};

#[tokio::main]
async fn main() -> Result<()> {
    let matches = Command::new("upstreams")
        .about("Fake upstream servers, one at each of the given addresses")
        .arg(
            Arg::new("control")
                .long("control")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("Address of the control API"),
        )
        .arg(
            Arg::new("servers")
                .long("servers")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .value_delimiter(',')
                .help("Addresses of the servers, separated by commas"),
        )
        .arg(
            Arg::new("behaviour")
                .long("behaviour")
                .default_value("{}")
                .help("Behaviour of the servers, as JSON"),
        )
        .get_matches();
    let control: SocketAddr = *matches
        .get_one("control")
        .context("--control is required")?;
    let text: &String = matches.get_one("behaviour").context("--behaviour")?;
    let behaviour: Behaviour = serde_json::from_str(text).context("--behaviour")?;
    let mut listeners = Vec::new();
    for addr in matches
        .get_many::<SocketAddr>("servers")
        .into_iter()
        .flatten()
    {
        let listener = TcpListener::bind(addr)
            .await
            .with_context(|| addr.to_string())?;
        listeners.push(listener);
    }
    let upstreams = FakeUpstreams::spawn(listeners, &behaviour)?;
    let listener = TcpListener::bind(control).await?;
    println!("control on {}", listener.local_addr()?);
    upstreams.serve_control(listener).await?;
    Ok(())
}
