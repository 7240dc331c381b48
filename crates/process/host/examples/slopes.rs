//! Measures how the processor time and memory of a host grow with its load.
//!
//! `docs/CAPACITY.md` derives the planned capacity from this output. Two hosts
//! run as separate processes, one as entry and one as relay. They serve queries
//! of an increasing number of shards, then adopt records with an increasing number
//! of servers. Run it in release mode, after `cargo build --release --bins --examples`.

use {
    anyhow::{ensure, Context, Result},
    fakes::{
        process::{Deployment, DeploymentConfig, HostProcess, ADMIN_TOKEN},
        upstream::Behaviour,
    },
    http::Method,
    std::time::Duration,
    tokio::time::sleep,
};

const SHARDS: [usize; 4] = [10, 50, 110, 210];
const QUERIES: u32 = 500;
const WARM_UP_QUERIES: u32 = 50;
const RECORD_SERVERS: [usize; 3] = [420, 2_000, 6_000];
/// Number of times that each record is written, so that the processor time
/// exceeds the resolution of its clock.
const RECORD_WRITES: u32 = 10;
/// Time for which the processor time of an idle host is measured.
const IDLE_TIME: Duration = Duration::from_secs(10);
const MAX_POLLS: u32 = 500;
const POLL_PAUSE: Duration = Duration::from_millis(20);

#[tokio::main]
async fn main() -> Result<()> {
    println!("a query, by shards");
    println!("shards  entry us  relay us  relay us/shard  entry MB  relay MB");
    for shards in SHARDS {
        query_slope(shards).await?;
    }
    println!("a record that comes into force, by servers");
    println!("servers  record KB  entry us  entry MB");
    for servers in RECORD_SERVERS {
        record_slope(servers).await?;
    }
    Ok(())
}

async fn query_slope(shards: usize) -> Result<()> {
    let deployment = Deployment::start(DeploymentConfig {
        shards,
        servers_per_shard: 1,
        behaviour: Behaviour {
            mean_ms: 0.0,
            ..Behaviour::default()
        },
        ..DeploymentConfig::default()
    })
    .await?;
    deployment.configure().await?;
    let (entry, relay) = roles(&deployment).await?;
    for _ in 0..WARM_UP_QUERIES {
        send(&deployment, entry).await?;
    }
    let before = processor_times(&deployment, entry, relay)?;
    for _ in 0..QUERIES {
        send(&deployment, entry).await?;
    }
    let after = processor_times(&deployment, entry, relay)?;
    let entry_us = micros(after.entry - before.entry) / f64::from(QUERIES);
    let relay_us = micros(after.relay - before.relay) / f64::from(QUERIES);
    println!(
        "{shards:6}  {entry_us:8.0}  {relay_us:8.0}  {:14.1}  {:8.1}  {:8.1}",
        relay_us / shards as f64,
        megabytes(&deployment.hosts[entry])?,
        megabytes(&deployment.hosts[relay])?,
    );
    Ok(())
}

/// Measures the adoption of records with `servers` servers in all, two per shard.
async fn record_slope(servers: usize) -> Result<()> {
    let deployment = Deployment::start(DeploymentConfig {
        shards: 1,
        ..DeploymentConfig::default()
    })
    .await?;
    deployment.configure().await?;
    sleep(IDLE_TIME).await;
    let host = &deployment.hosts[1].process;
    let idle_before = host.processor_time()?;
    sleep(IDLE_TIME).await;
    let idle = host.processor_time()? - idle_before;
    let mut record_bytes = 0;
    let before = host.processor_time()?;
    for version in 1..=RECORD_WRITES {
        let text = large_service(servers, version);
        record_bytes = text.len();
        deployment.put_record(&text).await?;
        wait_for_revision(&deployment, u64::from(version) + 2).await?;
    }
    let processor_time = host.processor_time()?.saturating_sub(before);
    println!(
        "{servers:7}  {:9.0}  {:8.0}  {:8.1}  (idle: {:.0} us a second)",
        record_bytes as f64 / 1e3,
        micros(processor_time) / f64::from(RECORD_WRITES),
        megabytes(&deployment.hosts[1])?,
        micros(idle) / IDLE_TIME.as_secs_f64(),
    );
    Ok(())
}

fn large_service(servers: usize, version: u32) -> String {
    let mut text = format!(
        "schema_version = 2\nname = \"large\"\nversion = {version}\n[service]\n\
         connection_limit = 25\nslots = 2\n[[service.indexes]]\nversion = 1\n"
    );
    for shard in 0..servers / 2 {
        text += &format!("[[service.indexes.shards]]\nid = {shard}\nservers = [\n");
        for replica in 0..2 {
            let (high, low) = (shard / 250, shard % 250);
            text += &format!(
                "  {{ addr = \"10.{replica}.{high}.{low}:8000\", zone = \"zone-{replica}\" }},\n"
            );
        }
        text += "]\n";
    }
    text
}

async fn wait_for_revision(deployment: &Deployment, revision: u64) -> Result<()> {
    let value = format!(" {revision}");
    for _ in 0..MAX_POLLS {
        let text = deployment.metrics(1).await?;
        let is_adopted = text
            .lines()
            .any(|line| line.starts_with("wharf_config_revision") && line.ends_with(&value));
        if is_adopted {
            return Ok(());
        }
        sleep(POLL_PAUSE).await;
    }
    anyhow::bail!("revision {revision} does not come into force")
}

struct ProcessorTimes {
    entry: Duration,
    relay: Duration,
}

fn processor_times(deployment: &Deployment, entry: usize, relay: usize) -> Result<ProcessorTimes> {
    Ok(ProcessorTimes {
        entry: deployment.hosts[entry].process.processor_time()?,
        relay: deployment.hosts[relay].process.processor_time()?,
    })
}

/// Returns the indexes of the entry, which forwards queries, and of the relay,
/// which calls upstreams.
async fn roles(deployment: &Deployment) -> Result<(usize, usize)> {
    for host in 0..deployment.hosts.len() {
        wait_for_members(deployment, host).await?;
    }
    let before = leaf_calls(deployment, 0).await?;
    for host in 0..deployment.hosts.len() {
        send(deployment, host).await?;
    }
    let is_relay = leaf_calls(deployment, 0).await? > before;
    Ok((usize::from(is_relay), usize::from(!is_relay)))
}

async fn wait_for_members(deployment: &Deployment, host: usize) -> Result<()> {
    let token = format!("Bearer {ADMIN_TOKEN}");
    let headers = [("authorization", token.as_str())];
    let addr = deployment.hosts[host].admin_addr;
    for _ in 0..MAX_POLLS {
        let answer = deployment
            .client
            .send(Method::GET, addr, "/v1/admin/fleet", &headers, "")
            .await?;
        if answer.json()["members"].as_array().map(Vec::len) == Some(deployment.hosts.len()) {
            return Ok(());
        }
        sleep(POLL_PAUSE).await;
    }
    anyhow::bail!("host {host} does not know all members")
}

async fn leaf_calls(deployment: &Deployment, host: usize) -> Result<f64> {
    let text = deployment.metrics(host).await?;
    let counts = text
        .lines()
        .filter(|line| line.starts_with("wharf_leaf_calls"))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    Ok(counts.sum())
}

async fn send(deployment: &Deployment, host: usize) -> Result<()> {
    let answer = deployment
        .query(host, "shortfall", &[], "{\"item\":\"barrel\"}")
        .await?;
    ensure!(answer.status.is_success(), "{}", answer.text);
    Ok(())
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

fn megabytes(host: &HostProcess) -> Result<f64> {
    let bytes = host.process.resident_bytes().context(host.id.clone())?;
    Ok(bytes as f64 / 1e6)
}
