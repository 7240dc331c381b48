//! A host that shuts down while queries keep arriving interrupts none of them.

use {
    anyhow::{ensure, Context, Result},
    fakes::{
        client::Answer,
        process::{Deployment, DeploymentConfig},
        upstream::Behaviour,
    },
    futures::future::join_all,
    http::StatusCode,
    nix::{
        sys::signal::{kill, Signal},
        unistd::Pid,
    },
    serde_json::json,
    std::{collections::BTreeSet, time::Duration},
    tokio::time::sleep,
};

const SHARDS: usize = 4;
const HOSTS: usize = 3;
/// Queries in flight when the host receives SIGTERM, and again after it; few enough
/// that admission control accepts all of them.
const QUERIES: usize = 20;
/// Queries, and as many bookings, that are in flight when the drain times out.
const UNFINISHED: usize = 2;
/// Execution time in milliseconds, longer than every drain and deadline here.
const UNFINISHED_MS: f64 = 120_000.0;
/// Deadline header, long enough for a slow machine.
const DEADLINE: (&str, &str) = ("x-wharf-deadline-ms", "10000");
const MAX_POLLS: usize = 1_500;
const POLL_PAUSE: Duration = Duration::from_millis(20);

#[tokio::test]
async fn shutting_down_the_entry_interrupts_no_query() -> Result<()> {
    check_drain_under_load(Drained::Entry).await
}

#[tokio::test]
async fn shutting_down_the_relay_interrupts_no_forwarded_query() -> Result<()> {
    check_drain_under_load(Drained::Relay).await
}

#[tokio::test]
async fn an_entry_whose_drain_times_out_answers_that_the_outcome_is_unknown() -> Result<()> {
    let (mut cluster, _, entry) = start_with_short_drain().await?;
    let (queries, bookings) = stop_with_unfinished_requests(&cluster, entry, entry, 0.0).await?;
    for answer in queries.iter().chain(&bookings) {
        assert_outcome_unknown(answer);
    }
    wait_for_exit(&mut cluster, entry).await
}

#[tokio::test]
async fn a_relay_whose_drain_times_out_loses_no_repeatable_query() -> Result<()> {
    let (mut cluster, relay, entry) = start_with_short_drain().await?;
    let (queries, bookings) = stop_with_unfinished_requests(&cluster, entry, relay, 1.0).await?;
    for answer in &bookings {
        assert_outcome_unknown(answer);
    }
    for answer in &queries {
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
        assert_eq!(answer.json()["coverage"]["missing"], json!([]));
    }
    wait_for_exit(&mut cluster, relay).await
}

/// Starts hosts that abandon requests in flight 300 ms after SIGTERM.
async fn start_with_short_drain() -> Result<(Deployment, usize, usize)> {
    let cluster = Deployment::start(DeploymentConfig {
        hosts: HOSTS,
        shards: SHARDS,
        host_flags: vec!["--max-drain-ms=300".to_owned()],
        ..DeploymentConfig::default()
    })
    .await?;
    cluster.configure().await?;
    // A hedged call to a slow shard could answer before the drain ends.
    let no_hedges = "[route.hedge]\nquantile = 0.0\nbudget_share = 0.0\n";
    cluster
        .put_record(&Deployment::route_toml("shortfall", 2, true, no_hedges))
        .await?;
    cluster
        .put_record(&Deployment::route_toml("tow-slot", 1, false, ""))
        .await?;
    cluster.wait_for_revision(4).await?;
    cluster.wait_for_members().await?;
    let (relay, entry) = relay_and_entry(&cluster).await?;
    // A request that no host has seen before is sent to a single upstream first.
    let headers = [("idempotency-key", "first")];
    cluster.query(entry, "tow-slot", &headers, "{}").await?;
    Ok((cluster, relay, entry))
}

/// Stops a host while upstreams execute queries and bookings; returns their answers.
///
/// If `mean_ms_after_stop` is above zero, calls that reach the upstreams after the
/// stop take that long.
async fn stop_with_unfinished_requests(
    cluster: &Deployment,
    entry: usize,
    stopped: usize,
    mean_ms_after_stop: f64,
) -> Result<(Vec<Answer>, Vec<Answer>)> {
    cluster
        .set_behaviour(&Behaviour {
            mean_ms: UNFINISHED_MS,
            ..Behaviour::default()
        })
        .await?;
    let calls_before = cluster.counters().await?.calls;
    let send = |route: &'static str, i: usize| async move {
        let key = format!("{route}-{i}");
        let headers = [("x-wharf-deadline-ms", "20000"), ("idempotency-key", &key)];
        cluster.query(entry, route, &headers, "{}").await
    };
    let queries = join_all((0..UNFINISHED).map(|i| send("shortfall", i)));
    let bookings = join_all((0..UNFINISHED).map(|i| send("tow-slot", i)));
    let stop = async {
        let expected_calls = u64::try_from(2 * UNFINISHED * SHARDS)?;
        let mut polls = 0;
        while cluster.counters().await?.calls < calls_before + expected_calls {
            polls += 1;
            ensure!(polls < MAX_POLLS, "not every call reached an upstream");
            sleep(POLL_PAUSE).await;
        }
        if mean_ms_after_stop > 0.0 {
            cluster
                .set_behaviour(&Behaviour {
                    mean_ms: mean_ms_after_stop,
                    ..Behaviour::default()
                })
                .await?;
        }
        stop(cluster, stopped)
    };
    let (queries, bookings, stopped) = tokio::join!(queries, bookings, stop);
    stopped?;
    let queries: Result<_> = queries.into_iter().collect();
    let bookings: Result<_> = bookings.into_iter().collect();
    Ok((queries?, bookings?))
}

fn assert_outcome_unknown(answer: &Answer) {
    let body = answer.json();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{body}");
    assert_eq!(body["kind"], "draining", "{body}");
    assert_eq!(body["ran"], "unknown", "{body}");
}

fn stop(cluster: &Deployment, host: usize) -> Result<()> {
    let pid = i32::try_from(cluster.hosts[host].process.pid())?;
    Ok(kill(Pid::from_raw(pid), Signal::SIGTERM)?)
}

#[derive(Clone, Copy, PartialEq)]
enum Drained {
    Entry,
    Relay,
}

impl Drained {
    /// Returns how long the host accepts work after the signal, in milliseconds.
    ///
    /// The queries take longer, so some are in flight when this time ends.
    fn balancer_lag_ms(self) -> u64 {
        match self {
            // Long enough for a slow machine: when the listener closes, the kernel
            // resets connections that have not been accepted yet.
            Self::Entry => 1_000,
            Self::Relay => 100,
        }
    }
}

async fn check_drain_under_load(drained: Drained) -> Result<()> {
    let mut cluster = Deployment::start(DeploymentConfig {
        hosts: HOSTS,
        shards: SHARDS,
        balancer_lag_ms: drained.balancer_lag_ms(),
        behaviour: Behaviour {
            mean_ms: 300.0,
            queue_limit: 1_000,
            ..Behaviour::default()
        },
        ..DeploymentConfig::default()
    })
    .await?;
    cluster.configure().await?;
    let (relay, entry) = relay_and_entry(&cluster).await?;
    let stopped = match drained {
        Drained::Entry => entry,
        Drained::Relay => relay,
    };
    let runs_before = cluster.counters().await?.runs;
    let before = send_all(&cluster, entry);
    let stop = async {
        // Wait until the first queries have reached the upstreams.
        while cluster.counters().await?.runs.len() == runs_before.len() {}
        stop(&cluster, stopped)?;
        send_all(&cluster, entry).await
    };
    let (before, after) = tokio::join!(before, stop);
    let (before, after) = (before?, after?);
    for answer in &before {
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
    }
    for answer in &after {
        let body = answer.json();
        let is_consistent = answer.status == StatusCode::OK || body["ran"] == "no";
        assert!(is_consistent, "{}", answer.text);
    }
    assert_refused_queries_did_not_run(&cluster, &before, &after).await?;
    wait_for_exit(&mut cluster, stopped).await
}

/// Returns the relay and an entry that is not a relay.
async fn relay_and_entry(cluster: &Deployment) -> Result<(usize, usize)> {
    for host in 0..HOSTS {
        cluster.query(host, "shortfall", &[], "{}").await?;
    }
    let relay = cluster.first_calling_host().await?;
    let entry = (0..HOSTS)
        .find(|host| *host != relay)
        .context("no host besides the relay")?;
    Ok((relay, entry))
}

async fn send_all(cluster: &Deployment, entry: usize) -> Result<Vec<Answer>> {
    let queries = (0..QUERIES).map(|_| cluster.query(entry, "shortfall", &[DEADLINE], "{}"));
    join_all(queries).await.into_iter().collect()
}

async fn assert_refused_queries_did_not_run(
    cluster: &Deployment,
    before: &[Answer],
    after: &[Answer],
) -> Result<()> {
    let answered = before
        .iter()
        .chain(after)
        .filter(|answer| answer.status == StatusCode::OK)
        .count();
    let counters = cluster.counters().await?;
    let ran: BTreeSet<_> = counters
        .runs
        .keys()
        .filter_map(|key| key.split('/').next())
        .collect();
    assert_eq!(ran.len(), answered + HOSTS, "a refused query was executed");
    assert_eq!(counters.cancelled, 0);
    Ok(())
}

async fn wait_for_exit(cluster: &mut Deployment, host: usize) -> Result<()> {
    for _ in 0..MAX_POLLS {
        if cluster.hosts[host].process.has_succeeded()? {
            return Ok(());
        }
        sleep(POLL_PAUSE).await;
    }
    anyhow::bail!("the host did not exit")
}
