//! Loss, freeze and drain of hosts, and hosts that the store or the list does not help.

use {
    anyhow::{ensure, Result},
    fakes::{
        platform::Faults,
        process::{Layout, Path},
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
/// Execution time with which the queries outlast all steps of a shutdown but the wait for them.
const LONG_MS: f64 = 1_500.0;
/// Deadline of queries that take so long.
const LONG_DEADLINE_MS: &str = "20000";
/// Deadline of other queries.
const DEADLINE_MS: &str = "5000";
const POLL_PAUSE: Duration = Duration::from_millis(50);
const MAX_POLLS: usize = 600;

fn layout(hosts: usize) -> Layout {
    Layout {
        hosts,
        behaviour: Behaviour {
            mean_ms: 150.0,
            is_exponential: false,
            queue_limit: 100,
            ..Behaviour::default()
        },
        ..Layout::default()
    }
}

fn signal(path: &Path, host: usize, signal: Signal) -> Result<()> {
    let pid = i32::try_from(path.hosts[host].process.pid())?;
    Ok(kill(Pid::from_raw(pid), signal)?)
}

/// Finds the one relay: the only host that counts leaf calls.
async fn relay_of(path: &Path) -> Result<usize> {
    let answer = path.query(0, "shortfall", &[], "{}").await?;
    ensure!(answer.status == StatusCode::OK, "{}", answer.text);
    path.relay().await
}

async fn started(hosts: usize) -> Result<(Path, usize, usize)> {
    let path = Path::start(layout(hosts)).await?;
    path.configure().await?;
    let all: Vec<_> = (0..hosts).collect();
    path.wait_for_member_count(&all, hosts).await?;
    let relay = relay_of(&path).await?;
    let entry = (relay + 1) % hosts;
    Ok((path, relay, entry))
}

/// Sends queries through `entry` and runs `event` while they are in flight.
async fn query_through<F>(path: &Path, entry: usize, deadline_ms: &str, event: F) -> Result<usize>
where
    F: std::future::Future<Output = Result<()>>,
{
    let queries = join_all((0..QUERIES).map(|i| async move {
        let body = format!("{{\"item\":{i}}}");
        let headers = [("x-wharf-deadline-ms", deadline_ms)];
        path.query(entry, "shortfall", &headers, &body).await
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

/// Waits until the upstreams are at work.
async fn at_work(path: &Path, before: u64) -> Result<()> {
    for _ in 0..MAX_POLLS {
        if path.seen().await?.calls > before {
            return Ok(());
        }
        sleep(Duration::from_millis(5)).await;
    }
    anyhow::bail!("no query reached an upstream")
}

/// Waits until the relay holds every query.
async fn all_in_flight(path: &Path, relay: usize) -> Result<()> {
    for _ in 0..MAX_POLLS {
        let metrics = path.metrics(relay).await?;
        let line = metrics.lines().find(|l| l.starts_with("wharf_in_flight{"));
        let value = line.and_then(|line| line.rsplit(' ').next());
        let in_flight: usize = value.unwrap_or("0").parse()?;
        // A forwarded query counts twice, as a query and as a reply that is owed.
        if in_flight >= 2 * QUERIES {
            return Ok(());
        }
        sleep(POLL_PAUSE).await;
    }
    anyhow::bail!("the relay never held all queries")
}

#[tokio::test]
async fn a_relay_that_drains_cuts_no_forwarded_query() -> Result<()> {
    let (mut path, relay, entry) = started(3).await?;
    path.set_behaviour(&Behaviour {
        mean_ms: LONG_MS,
        ..layout(3).behaviour
    })
    .await?;
    let complete = query_through(&path, entry, LONG_DEADLINE_MS, async {
        all_in_flight(&path, relay).await?;
        signal(&path, relay, Signal::SIGTERM)
    })
    .await?;
    assert_eq!(complete, QUERIES);
    // A forward that is cut leads to another relay, so the answers alone do not show it.
    let metrics = path.metrics(entry).await?;
    let forwards = metrics
        .lines()
        .filter(|line| line.starts_with("wharf_forwards_total{"));
    let cut: Vec<_> = forwards
        .filter(|line| !line.contains("outcome=\"ok\""))
        .collect();
    assert!(cut.is_empty(), "{cut:?}");
    for _ in 0..MAX_POLLS {
        if path.hosts[relay].process.has_succeeded()? {
            let left: Vec<_> = (0..3).filter(|host| *host != relay).collect();
            return path.wait_for_member_count(&left, 2).await;
        }
        sleep(POLL_PAUSE).await;
    }
    anyhow::bail!("the drained host does not end")
}

#[tokio::test]
async fn a_killed_relay_costs_no_repeatable_query() -> Result<()> {
    let (path, relay, entry) = started(3).await?;
    let before = path.seen().await?.calls;
    let complete = query_through(&path, entry, DEADLINE_MS, async {
        at_work(&path, before).await?;
        signal(&path, relay, Signal::SIGKILL)
    })
    .await?;
    assert_eq!(complete, QUERIES);
    let left: Vec<_> = (0..3).filter(|host| *host != relay).collect();
    path.wait_for_member_count(&left, 2).await
}

#[tokio::test]
async fn a_frozen_relay_holds_no_query_until_its_deadline() -> Result<()> {
    let (path, relay, entry) = started(3).await?;
    let before = path.seen().await?.calls;
    let complete = query_through(&path, entry, DEADLINE_MS, async {
        at_work(&path, before).await?;
        signal(&path, relay, Signal::SIGSTOP)
    })
    .await?;
    assert_eq!(complete, QUERIES);
    let left: Vec<_> = (0..3).filter(|host| *host != relay).collect();
    path.wait_for_member_count(&left, 2).await?;
    signal(&path, relay, Signal::SIGCONT)?;
    path.wait_for_member_count(&[0, 1, 2], 3).await
}

#[tokio::test]
async fn a_host_that_the_list_misses_is_a_member() -> Result<()> {
    let seed = Path::start(layout(2)).await?;
    seed.configure().await?;
    seed.wait_for_member_count(&[0, 1], 2).await?;
    let mut path = seed;
    path.add_host("host-9", "zone-2")?;
    // The list is not published again, so only the new host knows of the others.
    path.wait_for(path.hosts[2].entry_addr, "/readyz").await?;
    path.wait_for_member_count(&[0, 1, 2], 3).await
}

#[tokio::test]
async fn a_host_started_while_the_store_is_down_serves_from_its_peers() -> Result<()> {
    let mut path = Path::start(layout(2)).await?;
    path.configure().await?;
    path.set_platform_faults(&Faults {
        down: true,
        ..Faults::default()
    })
    .await?;
    let seeds = path.hosts[0].peer_addr;
    path.add_host_with("host-9", "zone-2", &[format!("--seed-peers={seeds}")])?;
    path.wait_for(path.hosts[2].entry_addr, "/readyz").await?;
    let answer = path.query(2, "shortfall", &[], "{}").await?;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
    Ok(())
}
