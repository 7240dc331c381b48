//! Runs a fake platform, fake upstreams and two hosts in one process, creates
//! records and sends a query.
//!
//! With `--keep-running`, it stays up afterwards and prints how to send load.

use {
    anyhow::{ensure, Result},
    fakes::{
        client::TestClient,
        platform::FakePlatform,
        upstream::{Behaviour, FakeUpstreams},
    },
    host::{RawSettings, RunningHost, Settings},
    http::Method,
    serde_json::{json, Value},
    std::net::SocketAddr,
    store::{ListedHost, Role},
    tokio::{net::TcpListener, signal::ctrl_c, spawn},
};

const SHARDS: usize = 8;
const SERVERS_PER_SHARD: usize = 2;
const TOKEN: &str = "all-in-one-token";

#[tokio::main]
async fn main() -> Result<()> {
    let platform = FakePlatform::new();
    let platform_listener = listen().await?;
    let platform_addr = platform_listener.local_addr()?;
    spawn(platform.clone().serve(platform_listener));
    let mut listeners = Vec::new();
    let mut servers = Vec::new();
    for _ in 0..SHARDS * SERVERS_PER_SHARD {
        let listener = listen().await?;
        servers.push(listener.local_addr()?);
        listeners.push(listener);
    }
    let _upstreams = FakeUpstreams::spawn(listeners, &Behaviour::default())?;
    let hosts = [
        start_host(0, platform_addr).await?,
        start_host(1, platform_addr).await?,
    ];
    platform.set_hosts(hosts.iter().enumerate().map(host_entry).collect());
    put_record(&hosts[0], "restock-desk", &service_record(&servers)).await?;
    put_record(&hosts[0], "shortfall", &route_record()).await?;
    for host in &hosts {
        host.ready().await;
    }
    let answer = TestClient::default()
        .send(
            Method::POST,
            hosts[1].entry_addr,
            "/v1/query/shortfall",
            &[("x-wharf-tenant", "clerks"), ("x-wharf-rank", "urgent")],
            r#"{"item":"barrel"}"#,
        )
        .await?;
    ensure!(answer.status.is_success(), "{}", answer.text);
    println!("{}", serde_json::to_string_pretty(&answer.json())?);
    println!("coverage: {}", answer.json()["coverage"]);
    if std::env::args().any(|argument| argument == "--keep-running") {
        keep_running(&hosts).await?;
    }
    for host in hosts {
        host.shut_down().await;
    }
    Ok(())
}

async fn keep_running(hosts: &[RunningHost]) -> Result<()> {
    let entries: Vec<_> = hosts.iter().map(|h| h.entry_addr.to_string()).collect();
    println!("\nRunning until Ctrl-C. From another shell:");
    println!(
        "  cargo run --bin wharfctl -- load shortfall --entry {} --svg load.svg",
        entries.join(",")
    );
    println!(
        "  cargo run --bin wharfctl -- fleet --admin-addr {} --admin-token {TOKEN}",
        hosts[0].admin_addr
    );
    ctrl_c().await?;
    Ok(())
}

async fn listen() -> Result<TcpListener> {
    Ok(TcpListener::bind("127.0.0.1:0").await?)
}

async fn start_host(i: usize, platform_addr: SocketAddr) -> Result<RunningHost> {
    let settings = Settings::try_from(RawSettings {
        host_id: format!("host-{i}"),
        region: "region-0".to_owned(),
        zone: format!("zone-{i}"),
        entry_addr: "127.0.0.1:0".to_owned(),
        peer_addr: "127.0.0.1:0".to_owned(),
        admin_addr: "127.0.0.1:0".to_owned(),
        platform_addr: platform_addr.to_string(),
        admin_token: TOKEN.to_owned(),
        balancer_lag_ms: 0,
        max_body_bytes: 65_536,
        default_relays: 1,
        seed_peers: Vec::new(),
        max_drain_ms: 30_000,
    })?;
    host::run(settings).await
}

fn host_entry((i, host): (usize, &RunningHost)) -> ListedHost {
    ListedHost {
        role: Role::Wharf,
        id: format!("host-{i}"),
        addr: host.peer_addr,
        region: "region-0".to_owned(),
        zone: format!("zone-{i}"),
        leaving: false,
    }
}

async fn put_record(host: &RunningHost, name: &str, record: &Value) -> Result<()> {
    let token = format!("Bearer {TOKEN}");
    let path = format!("/v1/admin/records/{name}/1");
    let headers = [("authorization", token.as_str())];
    let answer = TestClient::default()
        .send(
            Method::PUT,
            host.admin_addr,
            &path,
            &headers,
            record.to_string(),
        )
        .await?;
    ensure!(answer.status.is_success(), "{}", answer.text);
    println!("record {name}/1: {}", answer.text);
    Ok(())
}

fn service_record(servers: &[SocketAddr]) -> Value {
    let shards: Vec<_> = servers
        .chunks(SERVERS_PER_SHARD)
        .enumerate()
        .map(|(id, servers)| {
            let servers: Vec<_> = servers
                .iter()
                .enumerate()
                .map(|(i, addr)| json!({ "addr": addr, "zone": format!("zone-{i}") }))
                .collect();
            json!({ "id": id, "servers": servers })
        })
        .collect();
    json!({
        "schema_version": 2,
        "name": "restock-desk",
        "version": 1,
        "service": {
            "connection_limit": 25,
            "slots": 2,
            "indexes": [{ "version": 1, "shards": shards }],
        },
    })
}

fn route_record() -> Value {
    json!({
        "schema_version": 2,
        "name": "shortfall",
        "version": 1,
        "route": {
            "service": "restock-desk",
            "repeatable": true,
            "default_deadline_ms": 500,
            "max_deadline_ms": 2000,
        },
    })
}
