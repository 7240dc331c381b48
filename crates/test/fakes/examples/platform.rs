//! Runs the fake platform as a process.

use {
    anyhow::{Context, Result},
    clap::{Arg, Command},
    fakes::platform::FakePlatform,
    std::net::SocketAddr,
    tokio::net::TcpListener,
};

#[tokio::main]
async fn main() -> Result<()> {
    let matches = Command::new("platform")
        .about("Fake of the platform's key-value service and host list")
        .arg(
            Arg::new("listen")
                .long("listen")
                .required(true)
                .value_parser(clap::value_parser!(SocketAddr))
                .help("Address to listen on"),
        )
        .get_matches();
    let addr: SocketAddr = *matches.get_one("listen").context("--listen is required")?;
    let listener = TcpListener::bind(addr).await?;
    println!("listening on {}", listener.local_addr()?);
    FakePlatform::new().serve(listener).await?;
    Ok(())
}
