//! Prints what the exchange costs hosts on real sockets: bytes, processor time, memory.
//!
//! All hosts run in this one process, without queries, so that the processor
//! time and memory are those of the fleet's upkeep, divided by the hosts.

use {
    anyhow::{Context, Result},
    fakes::{client::TestClient, platform::FakePlatform},
    host::{RawSettings, RunningHost, Settings},
    http::Method,
    std::{fs, net::SocketAddr, time::Duration},
    store::{ListedHost, Role},
    tokio::{net::TcpListener, spawn, time::sleep},
};

const SETTLE_TIME: Duration = Duration::from_secs(8);
const MEASURED_TIME: Duration = Duration::from_secs(20);
/// Ticks of processor time in a second, as the kernel states them.
const TICKS_PER_S: f64 = 100.0;

#[tokio::main]
async fn main() -> Result<()> {
    let argument = std::env::args().nth(1);
    let count: usize = argument.context("the number of hosts is needed")?.parse()?;
    let platform = FakePlatform::new();
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let platform_addr = listener.local_addr()?;
    spawn(platform.clone().serve(listener));
    let before_kb = resident_kb()?;
    let mut hosts = Vec::new();
    for i in 0..count {
        hosts.push(start_host(i, platform_addr).await?);
    }
    platform.set_hosts(hosts.iter().enumerate().map(listed).collect());
    sleep(SETTLE_TIME).await;
    let (bytes, ticks) = (exchange_bytes(&hosts).await?, processor_ticks()?);
    sleep(MEASURED_TIME).await;
    let seconds = MEASURED_TIME.as_secs_f64();
    let bytes = (exchange_bytes(&hosts).await? - bytes) / seconds / count as f64;
    let share = (processor_ticks()? - ticks) / TICKS_PER_S / seconds / count as f64;
    let memory_kb = (resident_kb()? - before_kb) / count as f64;
    println!(
        "{count} hosts: {bytes:.0} B/s, {:.3}% of a core, {memory_kb:.0} KB a host",
        share * 100.0
    );
    Ok(())
}

async fn start_host(i: usize, platform_addr: SocketAddr) -> Result<RunningHost> {
    let any = || "127.0.0.1:0".to_owned();
    let settings = Settings::try_from(RawSettings {
        host_id: format!("host-{i:05}"),
        region: format!("region-{}", i % 5),
        zone: format!("zone-{}", i % 14),
        entry_addr: any(),
        peer_addr: any(),
        admin_addr: any(),
        platform_addr: platform_addr.to_string(),
        admin_token: "token-of-the-example".to_owned(),
        balancer_lag_ms: 0,
        max_body_bytes: 65_536,
        default_relays: 2,
        seed_peers: Vec::new(),
        max_drain_ms: 1_000,
    })?;
    host::run(settings).await
}

fn listed((i, host): (usize, &RunningHost)) -> ListedHost {
    ListedHost {
        role: Role::Wharf,
        id: format!("host-{i:05}"),
        addr: host.peer_addr,
        region: format!("region-{}", i % 5),
        zone: format!("zone-{}", i % 14),
        leaving: false,
    }
}

/// Returns the bytes of the exchange on all hosts, in both directions.
async fn exchange_bytes(hosts: &[RunningHost]) -> Result<f64> {
    let client = TestClient::default();
    let mut sum = 0.0;
    for host in hosts {
        let answer = client
            .send(Method::GET, host.admin_addr, "/metrics", &[], "")
            .await?;
        let lines = answer.text.lines();
        let lines = lines.filter(|line| line.starts_with("wharf_exchange_bytes_total{"));
        let values = lines.filter_map(|line| line.split_whitespace().last());
        sum += values.flat_map(str::parse::<f64>).sum::<f64>();
    }
    Ok(sum)
}

/// Returns the processor time of this process, in ticks.
fn processor_ticks() -> Result<f64> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    // User and system time are the 12th and 13th fields after the name.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    Ok(ticks.flat_map(str::parse::<f64>).sum())
}

fn resident_kb() -> Result<f64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(kb.context("VmRSS")?.parse()?)
}
