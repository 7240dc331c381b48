//! Measures the cost of fleet membership and configuration on real sockets: bytes,
//! processor time and memory of a host, and calls to the store when idle, after
//! a change and around an outage.
//!
//! All hosts run in this process and serve no queries, so its processor time and
//! memory, divided by the number of hosts, are those of the background tasks.

use {
    anyhow::{ensure, Context, Result},
    fakes::{
        client::TestClient,
        platform::{Calls, FakePlatform, Faults},
    },
    host::{RawSettings, RunningHost, Settings},
    http::Method,
    std::{fs, future::Future, net::SocketAddr, time::Duration},
    store::{ListedHost, Role},
    tokio::{net::TcpListener, spawn, time::sleep},
};

const SETTLE_TIME: Duration = Duration::from_secs(8);
const MEASURED_TIME: Duration = Duration::from_secs(20);
/// Time in which a change reaches every host.
const CHANGE_TIME: Duration = Duration::from_secs(4);
const OUTAGE_TIME: Duration = Duration::from_secs(12);
const ONE_SECOND: Duration = Duration::from_secs(1);
const TOKEN: &str = "token-of-the-example";
const RECORD: &str = r#"{"schema_version":2,"name":"shortfall","version":1,"route":{"service":"s",
    "repeatable":true,"default_deadline_ms":5,"max_deadline_ms":9}}"#;
/// Ticks per second of processor time in `/proc`.
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
    platform.set_hosts(hosts.iter().enumerate().map(host_entry).collect());
    sleep(SETTLE_TIME).await;
    let (bytes, ticks) = (exchange_bytes(&hosts).await?, processor_ticks()?);
    let (idle, ()) = calls_during(&platform, sleep(MEASURED_TIME)).await;
    let seconds = MEASURED_TIME.as_secs_f64();
    let bytes = (exchange_bytes(&hosts).await? - bytes) / seconds / count as f64;
    let share = (processor_ticks()? - ticks) / TICKS_PER_S / seconds / count as f64;
    let memory_kb = (resident_kb()? - before_kb) / count as f64;
    println!(
        "{count} hosts: {bytes:.0} B/s, {:.3}% of a core, {memory_kb:.0} KB a host",
        share * 100.0
    );
    print_calls("calm", &idle, MEASURED_TIME);
    let change = async {
        let put = put_record(&hosts[0]).await;
        sleep(CHANGE_TIME).await;
        put
    };
    let (change, put) = calls_during(&platform, change).await;
    put?;
    print_calls("a change", &change, CHANGE_TIME);
    let in_force = metric_sum(&hosts, "wharf_config_revision").await?;
    println!("the change is in force on {in_force:.0} hosts");
    platform.set_faults(Faults {
        store_down: true,
        ..Faults::default()
    });
    let (outage, ()) = calls_during(&platform, sleep(OUTAGE_TIME)).await;
    print_calls("an outage", &outage, OUTAGE_TIME);
    platform.set_faults(Faults::default());
    for second in 1..=4 {
        let (calls, ()) = calls_during(&platform, sleep(ONE_SECOND)).await;
        print_calls(&format!("second {second} after it"), &calls, ONE_SECOND);
    }
    Ok(())
}

/// Returns the calls that the platform received during `event`, and the output of
/// `event`.
async fn calls_during<T>(platform: &FakePlatform, event: impl Future<Output = T>) -> (Calls, T) {
    let before = platform.calls();
    let output = event.await;
    let after = platform.calls();
    let calls = Calls {
        gets: after.gets - before.gets,
        puts: after.puts - before.puts,
        watches: after.watches - before.watches,
        host_lists: after.host_lists - before.host_lists,
        leases: after.leases - before.leases,
    };
    (calls, output)
}

fn print_calls(when: &str, calls: &Calls, over: Duration) {
    let seconds = over.as_secs_f64();
    println!(
        "{when}: {} reads, {} watches, {} of the list in {seconds:.0} s: {:.2} calls/s",
        calls.gets,
        calls.watches,
        calls.host_lists,
        (calls.gets + calls.watches + calls.host_lists) as f64 / seconds
    );
}

async fn put_record(host: &RunningHost) -> Result<()> {
    let token = format!("Bearer {TOKEN}");
    let headers = [("authorization", token.as_str())];
    let path = "/v1/admin/records/shortfall/1";
    let answer = TestClient::default()
        .send(Method::PUT, host.admin_addr, path, &headers, RECORD)
        .await?;
    ensure!(answer.status.is_success(), "{}", answer.text);
    Ok(())
}

async fn start_host(i: usize, platform_addr: SocketAddr) -> Result<RunningHost> {
    let any_port = || "127.0.0.1:0".to_owned();
    let settings = Settings::try_from(RawSettings {
        host_id: format!("host-{i:05}"),
        region: format!("region-{}", i % 5),
        zone: format!("zone-{}", i % 14),
        entry_addr: any_port(),
        peer_addr: any_port(),
        admin_addr: any_port(),
        platform_addr: platform_addr.to_string(),
        admin_token: TOKEN.to_owned(),
        balancer_lag_ms: 0,
        max_body_bytes: 65_536,
        default_relays: 2,
        seed_peers: Vec::new(),
        max_drain_ms: 1_000,
    })?;
    host::run(settings).await
}

fn host_entry((i, host): (usize, &RunningHost)) -> ListedHost {
    ListedHost {
        role: Role::Wharf,
        id: format!("host-{i:05}"),
        addr: host.peer_addr,
        region: format!("region-{}", i % 5),
        zone: format!("zone-{}", i % 14),
        leaving: false,
    }
}

/// Returns the bytes that all hosts exchanged, in both directions.
async fn exchange_bytes(hosts: &[RunningHost]) -> Result<f64> {
    metric_sum(hosts, "wharf_exchange_bytes_total").await
}

/// Returns the sum of a metric over all hosts and labels.
async fn metric_sum(hosts: &[RunningHost], name: &str) -> Result<f64> {
    let client = TestClient::default();
    let mut sum = 0.0;
    for host in hosts {
        let answer = client
            .send(Method::GET, host.admin_addr, "/metrics", &[], "")
            .await?;
        let lines = answer.text.lines();
        let lines = lines.filter(|line| line.starts_with(name));
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
