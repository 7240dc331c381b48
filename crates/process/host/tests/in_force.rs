//! Tests that a change is in force on all of many hosts in one process, also where
//! watches on the store fail.

use {
    anyhow::{bail, ensure, Result},
    fakes::{
        client::{Answer, TestClient},
        platform::{FakePlatform, Faults},
    },
    fleet::watcher_count,
    host::{RawSettings, RunningHost, Settings},
    http::Method,
    std::{net::SocketAddr, time::Duration},
    store::{ListedHost, Role},
    tokio::{net::TcpListener, spawn, time::sleep},
};

/// More hosts than one request may query directly.
const HOSTS: usize = 24;
const TOKEN: &str = "token-of-eight-hosts";
/// Number of polls after which a test fails.
const MAX_POLLS: u32 = 300;
const POLL_PAUSE: Duration = Duration::from_millis(50);
/// Minimum number of exchanges of a host within the 8 s that a change may take.
const MIN_EXCHANGES: u32 = 5;

async fn start_platform() -> Result<(FakePlatform, SocketAddr)> {
    let platform = FakePlatform::new();
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    spawn(platform.clone().serve(listener));
    Ok((platform, addr))
}

async fn start_host(i: usize, platform_addr: SocketAddr) -> Result<RunningHost> {
    host::run(Settings::try_from(RawSettings {
        host_id: format!("host-{i}"),
        region: "region-0".to_owned(),
        zone: format!("zone-{}", i % 3),
        entry_addr: "127.0.0.1:0".to_owned(),
        peer_addr: "127.0.0.1:0".to_owned(),
        admin_addr: "127.0.0.1:0".to_owned(),
        platform_addr: platform_addr.to_string(),
        admin_token: TOKEN.to_owned(),
        balancer_lag_ms: 0,
        max_body_bytes: 65_536,
        default_relays: 2,
        seed_peers: Vec::new(),
        max_drain_ms: 30_000,
    })?)
    .await
}

async fn call(addr: SocketAddr, method: Method, path: &str, body: &str) -> Result<Answer> {
    let token = format!("Bearer {TOKEN}");
    let headers = [("authorization", token.as_str())];
    TestClient::default()
        .send(method, addr, path, &headers, body.to_owned())
        .await
}

/// Returns how many direct queries of other hosts `host` has made.
async fn direct_query_count(host: &RunningHost) -> Result<usize> {
    let metrics = call(host.admin_addr, Method::GET, "/metrics", "").await?;
    let is_count = |line: &&str| line.contains("host-asked") && line.contains("in-force");
    let count = metrics.text.lines().find(is_count);
    Ok(count
        .and_then(|line| line.rsplit(' ').next())
        .map_or(Ok(0), str::parse)?)
}

/// Starts the hosts, each with the platform that `platform_of` returns, and lists
/// all of them on all `platforms`.
async fn start_hosts(
    platforms: &[&FakePlatform],
    platform_of: impl Fn(usize) -> SocketAddr,
) -> Result<Vec<RunningHost>> {
    let mut hosts = Vec::new();
    for i in 0..HOSTS {
        hosts.push(start_host(i, platform_of(i)).await?);
    }
    let listed: Vec<_> = hosts
        .iter()
        .enumerate()
        .map(|(i, host)| ListedHost {
            role: Role::Wharf,
            id: format!("host-{i}"),
            addr: host.peer_addr,
            region: "region-0".to_owned(),
            zone: format!("zone-{}", i % 3),
            leaving: false,
        })
        .collect();
    for platform in platforms {
        platform.set_hosts(listed.clone());
    }
    Ok(hosts)
}

/// Creates a service and a route through the first host, and waits until they are
/// in force on all hosts.
async fn put_records_everywhere(hosts: &[RunningHost], version: u32) -> Result<()> {
    let service = format!(
        r#"{{"schema_version":2,"name":"s","version":{version},"service":{{"connection_limit":9,
        "slots":2,"indexes":[{{"version":1,"shards":[{{"id":0,"servers":[
        {{"addr":"127.0.0.1:9","zone":"zone-0"}}]}}]}}]}}}}"#
    );
    let path = format!("/v1/admin/records/s/{version}");
    let put = call(hosts[0].admin_addr, Method::PUT, &path, &service).await?;
    ensure!(put.status.is_success(), "{}", put.text);
    let record = format!(
        r#"{{"schema_version":2,"name":"shortfall","version":{version},"route":{{"service":"s",
        "repeatable":true,"default_deadline_ms":5,"max_deadline_ms":9}}}}"#
    );
    let path = format!("/v1/admin/records/shortfall/{version}");
    let put = call(hosts[0].admin_addr, Method::PUT, &path, &record).await?;
    ensure!(put.status.is_success(), "{}", put.text);
    let path = format!("{path}/in-force");
    for _ in 0..MAX_POLLS {
        let report = call(hosts[0].admin_addr, Method::GET, &path, "").await?;
        if report.json()["in_force_on"] == HOSTS && report.json()["hosts"] == HOSTS {
            return Ok(());
        }
        sleep(POLL_PAUSE).await;
    }
    bail!("the change is not in force everywhere")
}

/// Waits until no host lags according to the exchange, so that the request for
/// `path` queries no host directly.
async fn wait_until_none_is_queried(hosts: &[RunningHost], path: &str) -> Result<()> {
    for _ in 0..MAX_POLLS {
        let before = direct_query_count(&hosts[0]).await?;
        let report = call(hosts[0].admin_addr, Method::GET, path, "").await?;
        ensure!(report.json()["in_force_on"] == HOSTS, "{}", report.text);
        let queried = direct_query_count(&hosts[0]).await? - before;
        ensure!(
            queried <= host::MAX_QUERIED_HOSTS,
            "{queried} hosts were queried at once"
        );
        if queried == 0 {
            return Ok(());
        }
        sleep(POLL_PAUSE).await;
    }
    bail!("hosts are still queried for revisions that the exchange reports")
}

#[tokio::test]
async fn host_without_a_store_adopts_a_change_from_its_peers() -> Result<()> {
    let (platform, addr) = start_platform().await?;
    let (unavailable, unavailable_addr) = start_platform().await?;
    unavailable.set_faults(Faults {
        store_down: true,
        ..Faults::default()
    });
    let platform_of = |i| {
        if i == HOSTS - 1 {
            unavailable_addr
        } else {
            addr
        }
    };
    let hosts = start_hosts(&[&platform, &unavailable], platform_of).await?;
    put_records_everywhere(&hosts, 1).await?;
    wait_until_none_is_queried(&hosts, "/v1/admin/records/shortfall/1/in-force").await?;
    // The bound of 8 s is computed from the number of exchanges rather than
    // measured. Tests of `fleet` count how many rounds a change takes from the
    // watching hosts to the others.
    ensure!(host::MAX_EXCHANGE_INTERVAL * MIN_EXCHANGES <= Duration::from_secs(8));
    Ok(())
}

#[tokio::test]
async fn some_hosts_watch_and_a_change_reaches_all_hosts() -> Result<()> {
    let (platform, addr) = start_platform().await?;
    let hosts = start_hosts(&[&platform], |_| addr).await?;
    let watchers = watcher_count(HOSTS);
    ensure!(watchers < HOSTS);
    for polls in 0..=MAX_POLLS {
        let waiting = platform.waiting_watches();
        if waiting == watchers {
            break;
        }
        ensure!(polls < MAX_POLLS, "{waiting} hosts watch");
        sleep(POLL_PAUSE).await;
    }
    put_records_everywhere(&hosts, 1).await?;
    // Without watches, the hosts that poll the head find the change.
    platform.set_faults(Faults {
        watches_cut: true,
        ..Faults::default()
    });
    put_records_everywhere(&hosts, 2).await
}
