//! Hosts that crash, freeze or drain, and hosts that start without the store or
//! are missing from the host list.

use {
    anyhow::{ensure, Result},
    fakes::{
        platform::Faults,
        process::{Deployment, DeploymentConfig},
        upstream::Behaviour,
    },
    futures::future::join_all,
    http::StatusCode,
    nix::{
        sys::signal::{kill, Signal},
        unistd::Pid,
    },
    std::time::Duration,
    tokio::time::sleep,
};

const QUERIES: usize = 12;
/// Execution time in milliseconds; longer than every step of a shutdown except the
/// wait for queries in flight.
const SLOW_MS: f64 = 1_500.0;
/// Deadline of queries that take `SLOW_MS`.
const SLOW_DEADLINE_MS: &str = "20000";
/// Deadline of other queries.
const DEADLINE_MS: &str = "5000";
const POLL_PAUSE: Duration = Duration::from_millis(50);
const MAX_POLLS: usize = 600;

fn deployment_config(hosts: usize) -> DeploymentConfig {
    DeploymentConfig {
        hosts,
        behaviour: Behaviour {
            mean_ms: 150.0,
            is_exponential: false,
            queue_limit: 100,
            ..Behaviour::default()
        },
        ..DeploymentConfig::default()
    }
}

fn signal(cluster: &Deployment, host: usize, signal: Signal) -> Result<()> {
    let pid = i32::try_from(cluster.hosts[host].process.pid())?;
    Ok(kill(Pid::from_raw(pid), signal)?)
}

/// Returns the only relay, which is the host that reports leaf calls in its metrics.
async fn find_relay(cluster: &Deployment) -> Result<usize> {
    let answer = cluster.query(0, "shortfall", &[], "{}").await?;
    ensure!(answer.status == StatusCode::OK, "{}", answer.text);
    cluster.first_calling_host().await
}

async fn start(hosts: usize) -> Result<(Deployment, usize, usize)> {
    let cluster = Deployment::start(deployment_config(hosts)).await?;
    cluster.configure().await?;
    let all: Vec<_> = (0..hosts).collect();
    cluster.wait_for_member_count(&all, hosts).await?;
    let relay = find_relay(&cluster).await?;
    let entry = (relay + 1) % hosts;
    Ok((cluster, relay, entry))
}

/// Sends queries through `entry`, runs `event` while they are in flight, and
/// returns how many were answered in full.
async fn query_during<F>(
    cluster: &Deployment,
    entry: usize,
    deadline_ms: &str,
    event: F,
) -> Result<usize>
where
    F: std::future::Future<Output = Result<()>>,
{
    let queries = join_all((0..QUERIES).map(|i| async move {
        let body = format!("{{\"item\":{i}}}");
        let headers = [("x-wharf-deadline-ms", deadline_ms)];
        cluster.query(entry, "shortfall", &headers, &body).await
    }));
    let (answers, event) = tokio::join!(queries, event);
    event?;
    let mut complete = 0;
    for answer in answers {
        let answer = answer?;
        if answer.status == StatusCode::OK {
            ensure!(answer.json()["coverage"]["missing"] == serde_json::json!([]));
            complete += 1;
        } else {
            println!("{}", answer.text);
        }
    }
    Ok(complete)
}

/// Waits until the upstreams have received more than `before` calls.
async fn wait_for_upstream_calls(cluster: &Deployment, before: u64) -> Result<()> {
    for _ in 0..MAX_POLLS {
        if cluster.counters().await?.calls > before {
            return Ok(());
        }
        sleep(Duration::from_millis(5)).await;
    }
    anyhow::bail!("no query reached an upstream")
}

/// Waits until the relay has every query in flight.
async fn wait_for_all_in_flight(cluster: &Deployment, relay: usize) -> Result<()> {
    for _ in 0..MAX_POLLS {
        let metrics = cluster.metrics(relay).await?;
        let line = metrics.lines().find(|l| l.starts_with("wharf_in_flight{"));
        let value = line.and_then(|line| line.rsplit(' ').next());
        let in_flight: usize = value.unwrap_or("0").parse()?;
        // A forwarded query counts twice: as a query and as a pending reply.
        if in_flight >= 2 * QUERIES {
            return Ok(());
        }
        sleep(POLL_PAUSE).await;
    }
    anyhow::bail!("the relay never had all queries in flight")
}

#[tokio::test]
async fn a_draining_relay_interrupts_no_forwarded_query() -> Result<()> {
    let (mut cluster, relay, entry) = start(3).await?;
    cluster
        .set_behaviour(&Behaviour {
            mean_ms: SLOW_MS,
            ..deployment_config(3).behaviour
        })
        .await?;
    let complete = query_during(&cluster, entry, SLOW_DEADLINE_MS, async {
        wait_for_all_in_flight(&cluster, relay).await?;
        signal(&cluster, relay, Signal::SIGTERM)
    })
    .await?;
    assert_eq!(complete, QUERIES);
    // The entry retries a failed forward on another relay, so only the metrics show it.
    let metrics = cluster.metrics(entry).await?;
    let forwards = metrics
        .lines()
        .filter(|line| line.starts_with("wharf_forwards_total{"));
    let failed: Vec<_> = forwards
        .filter(|line| !line.contains("outcome=\"ok\""))
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
    for _ in 0..MAX_POLLS {
        if cluster.hosts[relay].process.has_succeeded()? {
            let remaining: Vec<_> = (0..3).filter(|host| *host != relay).collect();
            return cluster.wait_for_member_count(&remaining, 2).await;
        }
        sleep(POLL_PAUSE).await;
    }
    anyhow::bail!("the drained host did not exit")
}

#[tokio::test]
async fn a_killed_relay_fails_no_repeatable_query() -> Result<()> {
    let (cluster, relay, entry) = start(3).await?;
    let before = cluster.counters().await?.calls;
    let complete = query_during(&cluster, entry, DEADLINE_MS, async {
        wait_for_upstream_calls(&cluster, before).await?;
        signal(&cluster, relay, Signal::SIGKILL)
    })
    .await?;
    assert_eq!(complete, QUERIES);
    let remaining: Vec<_> = (0..3).filter(|host| *host != relay).collect();
    cluster.wait_for_member_count(&remaining, 2).await
}

#[tokio::test]
async fn a_frozen_relay_delays_no_query_until_its_deadline() -> Result<()> {
    let (cluster, relay, entry) = start(3).await?;
    let before = cluster.counters().await?.calls;
    let complete = query_during(&cluster, entry, DEADLINE_MS, async {
        wait_for_upstream_calls(&cluster, before).await?;
        signal(&cluster, relay, Signal::SIGSTOP)
    })
    .await?;
    assert_eq!(complete, QUERIES);
    let remaining: Vec<_> = (0..3).filter(|host| *host != relay).collect();
    cluster.wait_for_member_count(&remaining, 2).await?;
    signal(&cluster, relay, Signal::SIGCONT)?;
    cluster.wait_for_member_count(&[0, 1, 2], 3).await
}

#[tokio::test]
async fn a_host_missing_from_the_list_becomes_a_member() -> Result<()> {
    let initial = Deployment::start(deployment_config(2)).await?;
    initial.configure().await?;
    initial.wait_for_member_count(&[0, 1], 2).await?;
    let mut cluster = initial;
    cluster.add_host("host-9", "zone-2")?;
    // The host list is not published again, so only the new host knows the others.
    cluster
        .wait_for(cluster.hosts[2].entry_addr, "/readyz")
        .await?;
    cluster.wait_for_member_count(&[0, 1, 2], 3).await
}

#[tokio::test]
async fn a_host_started_while_the_store_is_down_starts_from_its_peers() -> Result<()> {
    let mut cluster = Deployment::start(deployment_config(2)).await?;
    cluster.configure().await?;
    cluster
        .set_platform_faults(&Faults {
            down: true,
            ..Faults::default()
        })
        .await?;
    let seeds = cluster.hosts[0].peer_addr;
    cluster.add_host_with("host-9", "zone-2", &[format!("--seed-peers={seeds}")])?;
    cluster
        .wait_for(cluster.hosts[2].entry_addr, "/readyz")
        .await?;
    let answer = cluster.query(2, "shortfall", &[], "{}").await?;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
    Ok(())
}
