//! Many hosts in one process, one of them cut off from the store.

use {
    anyhow::{ensure, Result},
    fakes::{
        client::{Answer, TestClient},
        platform::{FakePlatform, Faults},
    },
    host::{RawSettings, RunningHost, Settings},
    http::Method,
    std::{net::SocketAddr, time::Duration},
    store::{ListedHost, Role},
    tokio::{net::TcpListener, spawn, time::sleep},
};

/// More hosts than one request may ask directly.
const HOSTS: usize = 24;
const TOKEN: &str = "token-of-eight-hosts";
/// Number of looks before the change counts as lost.
const MAX_LOOKS: u32 = 300;
/// Least number of looks at peers within the 8 s that a change may take.
const LOOKS_IN_TIME: u32 = 5;

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

/// Returns how many hosts were asked directly what they hold.
async fn questions(host: &RunningHost) -> Result<usize> {
    let metrics = call(host.admin_addr, Method::GET, "/metrics", "").await?;
    let is_wanted = |line: &&str| line.contains("host-asked") && line.contains("in-force");
    let found = metrics.text.lines().find(is_wanted);
    Ok(found
        .and_then(|line| line.rsplit(' ').next())
        .map_or(Ok(0), str::parse)?)
}

#[tokio::test]
async fn a_host_whose_watch_is_cut_learns_of_a_change_from_its_peers() -> Result<()> {
    let (platform, addr) = start_platform().await?;
    let (cut, cut_addr) = start_platform().await?;
    cut.set_faults(Faults {
        store_down: true,
        ..Faults::default()
    });
    let mut hosts = Vec::new();
    for i in 0..HOSTS {
        let addr = if i == HOSTS - 1 { cut_addr } else { addr };
        hosts.push(start_host(i, addr).await?);
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
    platform.set_hosts(listed.clone());
    cut.set_hosts(listed);
    let service = r#"{"schema_version":2,"name":"s","version":1,"service":{"connection_limit":9,
        "slots":2,"indexes":[{"version":1,"shards":[{"id":0,"servers":[
        {"addr":"127.0.0.1:9","zone":"zone-0"}]}]}]}}"#;
    let path = "/v1/admin/records/s/1";
    let put = call(hosts[0].admin_addr, Method::PUT, path, service).await?;
    ensure!(put.status.is_success(), "{}", put.text);
    let record = r#"{"schema_version":2,"name":"shortfall","version":1,"route":{"service":"s",
        "repeatable":true,"default_deadline_ms":5,"max_deadline_ms":9}}"#;
    let path = "/v1/admin/records/shortfall/1/in-force".to_owned();
    let put_path = "/v1/admin/records/shortfall/1";
    let put = call(hosts[0].admin_addr, Method::PUT, put_path, record).await?;
    ensure!(put.status.is_success(), "{}", put.text);
    for looks in 0..=MAX_LOOKS {
        ensure!(looks < MAX_LOOKS, "the change is not in force everywhere");
        let stated = call(hosts[0].admin_addr, Method::GET, &path, "").await?;
        if stated.json()["in_force_on"] == HOSTS && stated.json()["hosts"] == HOSTS {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    // Nothing lags, so that nobody is asked any more once the exchange has told so.
    for looks in 0..=MAX_LOOKS {
        ensure!(
            looks < MAX_LOOKS,
            "hosts are asked for what the exchange tells"
        );
        let before = questions(&hosts[0]).await?;
        let stated = call(hosts[0].admin_addr, Method::GET, &path, "").await?;
        ensure!(stated.json()["in_force_on"] == HOSTS, "{}", stated.text);
        let asked = questions(&hosts[0]).await? - before;
        ensure!(
            asked <= host::MAX_QUESTIONS,
            "{asked} hosts were asked at once"
        );
        if asked == 0 {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    // Every peer of the cut host has the change from the store, so that one
    // answered look is enough; the bound is counted, not clocked.
    ensure!(host::MAX_LOOK_TIME * LOOKS_IN_TIME <= Duration::from_secs(8));
    Ok(())
}
