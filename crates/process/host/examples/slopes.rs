//! Measures what a host spends, as slopes over the size of its work.
//!
//! `docs/CAPACITY.md` works the planned size out from these lines. Two hosts
//! run as processes of their own, one as entry, one as relay, with more and
//! more shards; then records with more and more servers come into force.
//! Run it in release mode, after `cargo build --release --bins --examples`.

use {
    anyhow::{ensure, Context, Result},
    fakes::{
        process::{HostProcess, Layout, Path, ADMIN_TOKEN},
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
/// Times that each record is written, to rise above the clock's tick.
const RECORD_WRITES: u32 = 10;
/// Time for which an idle host is watched.
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
    let path = Path::start(Layout {
        shards,
        servers_per_shard: 1,
        behaviour: Behaviour {
            mean_ms: 0.0,
            ..Behaviour::default()
        },
        ..Layout::default()
    })
    .await?;
    path.configure().await?;
    let (entry, relay) = roles(&path).await?;
    for _ in 0..WARM_UP_QUERIES {
        send(&path, entry).await?;
    }
    let before = times(&path, entry, relay)?;
    for _ in 0..QUERIES {
        send(&path, entry).await?;
    }
    let after = times(&path, entry, relay)?;
    let entry_us = micros(after.entry - before.entry) / f64::from(QUERIES);
    let relay_us = micros(after.relay - before.relay) / f64::from(QUERIES);
    println!(
        "{shards:6}  {entry_us:8.0}  {relay_us:8.0}  {:14.1}  {:8.1}  {:8.1}",
        relay_us / shards as f64,
        megabytes(&path.hosts[entry])?,
        megabytes(&path.hosts[relay])?,
    );
    Ok(())
}

/// Writes records with `servers` servers in all, 210 shards each.
async fn record_slope(servers: usize) -> Result<()> {
    let path = Path::start(Layout {
        shards: 1,
        ..Layout::default()
    })
    .await?;
    path.configure().await?;
    sleep(IDLE_TIME).await;
    let host = &path.hosts[1].process;
    let idle_before = host.processor_time()?;
    sleep(IDLE_TIME).await;
    let idle = host.processor_time()? - idle_before;
    let mut record_bytes = 0;
    let before = host.processor_time()?;
    for version in 1..=RECORD_WRITES {
        let text = large_service(servers, version);
        record_bytes = text.len();
        path.put_record(&text).await?;
        adopted(&path, u64::from(version) + 2).await?;
    }
    let spent = host.processor_time()?.saturating_sub(before);
    println!(
        "{servers:7}  {:9.0}  {:8.0}  {:8.1}  (idle: {:.0} us a second)",
        record_bytes as f64 / 1e3,
        micros(spent) / f64::from(RECORD_WRITES),
        megabytes(&path.hosts[1])?,
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

async fn adopted(path: &Path, revision: u64) -> Result<()> {
    let value = format!(" {revision}");
    for _ in 0..MAX_POLLS {
        let text = path.metrics(1).await?;
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

struct Times {
    entry: Duration,
    relay: Duration,
}

fn times(path: &Path, entry: usize, relay: usize) -> Result<Times> {
    Ok(Times {
        entry: path.hosts[entry].process.processor_time()?,
        relay: path.hosts[relay].process.processor_time()?,
    })
}

/// Returns the host that forwards and the host that calls upstreams.
async fn roles(path: &Path) -> Result<(usize, usize)> {
    for host in 0..path.hosts.len() {
        knows_all_members(path, host).await?;
    }
    let before = leaf_calls(path, 0).await?;
    for host in 0..path.hosts.len() {
        send(path, host).await?;
    }
    let is_relay = leaf_calls(path, 0).await? > before;
    Ok((usize::from(is_relay), usize::from(!is_relay)))
}

async fn knows_all_members(path: &Path, host: usize) -> Result<()> {
    let token = format!("Bearer {ADMIN_TOKEN}");
    let headers = [("authorization", token.as_str())];
    let addr = path.hosts[host].admin_addr;
    for _ in 0..MAX_POLLS {
        let answer = path
            .client
            .send(Method::GET, addr, "/v1/admin/fleet", &headers, "")
            .await?;
        if answer.json()["members"].as_array().map(Vec::len) == Some(path.hosts.len()) {
            return Ok(());
        }
        sleep(POLL_PAUSE).await;
    }
    anyhow::bail!("host {host} does not know all members")
}

async fn leaf_calls(path: &Path, host: usize) -> Result<f64> {
    let text = path.metrics(host).await?;
    let counts = text
        .lines()
        .filter(|line| line.starts_with("wharf_leaf_calls"))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    Ok(counts.sum())
}

async fn send(path: &Path, host: usize) -> Result<()> {
    let answer = path
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
