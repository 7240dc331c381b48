//! Many hosts in one process, some or all of whose watches bring nothing.

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

/// More hosts than one request may ask directly.
const HOSTS: usize = 24;
const TOKEN: &str = "token-of-eight-hosts";
/// Number of looks before the change counts as lost.
const MAX_LOOKS: u32 = 300;
const POLL_PAUSE: Duration = Duration::from_millis(50);
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

/// Starts the hosts, each on the platform that `platform_of` gives, and lists them there.
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

/// Puts a record through the first host and waits until it is in force on all.
async fn put_everywhere(hosts: &[RunningHost], version: u32) -> Result<()> {
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
    for _ in 0..MAX_LOOKS {
        let stated = call(hosts[0].admin_addr, Method::GET, &path, "").await?;
        if stated.json()["in_force_on"] == HOSTS && stated.json()["hosts"] == HOSTS {
            return Ok(());
        }
        sleep(POLL_PAUSE).await;
    }
    bail!("the change is not in force everywhere")
}

/// Waits until the exchange tells that nothing lags, so that nobody is asked any more.
async fn await_no_questions(hosts: &[RunningHost], path: &str) -> Result<()> {
    for _ in 0..MAX_LOOKS {
        let before = questions(&hosts[0]).await?;
        let stated = call(hosts[0].admin_addr, Method::GET, path, "").await?;
        ensure!(stated.json()["in_force_on"] == HOSTS, "{}", stated.text);
        let asked = questions(&hosts[0]).await? - before;
        ensure!(
            asked <= host::MAX_QUESTIONS,
            "{asked} hosts were asked at once"
        );
        if asked == 0 {
            return Ok(());
        }
        sleep(POLL_PAUSE).await;
    }
    bail!("hosts are asked for what the exchange tells")
}

#[tokio::test]
async fn a_host_whose_watch_is_cut_learns_of_a_change_from_its_peers() -> Result<()> {
    let (platform, addr) = start_platform().await?;
    let (cut, cut_addr) = start_platform().await?;
    cut.set_faults(Faults {
        store_down: true,
        ..Faults::default()
    });
    let platform_of = |i| if i == HOSTS - 1 { cut_addr } else { addr };
    let hosts = start_hosts(&[&platform, &cut], platform_of).await?;
    put_everywhere(&hosts, 1).await?;
    await_no_questions(&hosts, "/v1/admin/records/shortfall/1/in-force").await?;
    // The bound is counted, not clocked; tests of `fleet` count how many rounds
    // a change takes from the watchers to the others.
    ensure!(host::MAX_LOOK_TIME * LOOKS_IN_TIME <= Duration::from_secs(8));
    Ok(())
}

#[tokio::test]
async fn only_some_hosts_watch_and_a_change_is_in_force_everywhere() -> Result<()> {
    let (platform, addr) = start_platform().await?;
    let hosts = start_hosts(&[&platform], |_| addr).await?;
    let watchers = watcher_count(HOSTS);
    ensure!(watchers < HOSTS);
    for looks in 0..=MAX_LOOKS {
        let waiting = platform.waiting_watches();
        if waiting == watchers {
            break;
        }
        ensure!(looks < MAX_LOOKS, "{waiting} hosts watch");
        sleep(POLL_PAUSE).await;
    }
    put_everywhere(&hosts, 1).await?;
    // The hosts that only read the head find the change if no watch tells of it.
    platform.set_faults(Faults {
        watches_cut: true,
        ..Faults::default()
    });
    put_everywhere(&hosts, 2).await
}
