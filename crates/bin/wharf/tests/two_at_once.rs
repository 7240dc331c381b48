//! Two failures at the same time, with separate processes.
//!
//! The tests check invariants on the contents of answers and on the executions that
//! the fake upstreams have counted.

use {
    anyhow::{ensure, Context, Result},
    fakes::{
        client::Answer,
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
    serde_json::json,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::time::sleep,
};

const SHARDS: usize = 4;
const HOSTS: usize = 4;
const RELAYS: u32 = 2;
const QUERIES: usize = 40;
const MAX_POLLS: u32 = 1_000;
const POLL_PAUSE: Duration = Duration::from_millis(10);
const KEY: (&str, &str) = ("idempotency-key", "tow-slot-4");

async fn start(behaviour: Behaviour) -> Result<Deployment> {
    let cluster = Deployment::start(DeploymentConfig {
        hosts: HOSTS,
        shards: SHARDS,
        relays: RELAYS,
        behaviour,
        ..DeploymentConfig::default()
    })
    .await?;
    cluster.configure().await?;
    cluster.wait_for_members().await?;
    Ok(cluster)
}

fn store_down() -> Faults {
    Faults {
        store_down: true,
        ..Faults::default()
    }
}

/// Returns the hosts that have called upstreams and the hosts that have not.
async fn relays_and_entries(cluster: &Deployment) -> Result<(Vec<usize>, Vec<usize>)> {
    for host in 0..HOSTS {
        for _ in 0..HOSTS {
            cluster.query(host, "shortfall", &[], "{}").await?;
        }
    }
    let mut relays = Vec::new();
    let mut entries = Vec::new();
    for host in 0..HOSTS {
        if cluster.metrics(host).await?.contains("wharf_leaf_calls") {
            relays.push(host);
        } else {
            entries.push(host);
        }
    }
    ensure!(!relays.is_empty() && !entries.is_empty(), "{relays:?}");
    Ok((relays, entries))
}

/// Kills a host with SIGKILL while other hosts may be connected to it.
fn kill_host(cluster: &Deployment, host: usize) -> Result<()> {
    let pid = Pid::from_raw(cluster.hosts[host].process.pid().cast_signed());
    kill(pid, Signal::SIGKILL)?;
    Ok(())
}

async fn send_all(cluster: &Deployment, entry: usize) -> Result<Vec<Answer>> {
    let queries = (0..QUERIES).map(|_| cluster.query(entry, "shortfall", &[], "{}"));
    join_all(queries).await.into_iter().collect()
}

/// Waits until the upstreams have started more than `before` executions.
async fn wait_for_runs(cluster: &Deployment, before: usize) -> Result<()> {
    for _ in 0..MAX_POLLS {
        if cluster.counters().await?.runs.len() > before {
            return Ok(());
        }
        sleep(POLL_PAUSE).await;
    }
    anyhow::bail!("no new execution reached the upstreams")
}

/// Checks that each answer covers every shard, comes from one index version and has
/// a request ID of its own.
fn assert_complete(answers: &[Answer]) {
    let mut ids = BTreeSet::new();
    for answer in answers {
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
        let body = answer.json();
        let covered: Vec<_> = (0..SHARDS).collect();
        assert_eq!(
            body["coverage"]["covered"],
            json!(covered),
            "{}",
            answer.text
        );
        let version = &body["snapshot"]["index_version"];
        for shard in 0..SHARDS {
            let row = json!([{ "shard": shard, "version": version }]);
            assert_eq!(body["results"][shard]["rows"], row, "{}", answer.text);
        }
        assert!(
            ids.insert(body["request_id"].to_string()),
            "two answers have the same request ID"
        );
    }
}

#[tokio::test]
async fn a_relay_killed_while_the_store_is_down_fails_no_repeatable_query() -> Result<()> {
    let cluster = start(Behaviour {
        mean_ms: 50.0,
        queue_limit: 1_000,
        ..Behaviour::default()
    })
    .await?;
    let (relays, entries) = relays_and_entries(&cluster).await?;
    cluster.set_platform_faults(&store_down()).await?;
    let before = cluster.counters().await?.runs.len();
    let entry = entries[0];
    let kill_relay = async {
        wait_for_runs(&cluster, before).await?;
        kill_host(&cluster, relays[0])
    };
    let (answers, kill_relay) = tokio::join!(send_all(&cluster, entry), kill_relay);
    kill_relay?;
    assert_complete(&answers?);
    assert_complete(&send_all(&cluster, entries[entries.len() - 1]).await?);
    Ok(())
}

#[tokio::test]
async fn a_refusal_after_a_lost_relay_is_not_reported_as_not_run() -> Result<()> {
    let cluster = start(Behaviour::default()).await?;
    let (relays, entries) = relays_and_entries(&cluster).await?;
    let slow = Behaviour {
        mean_ms: 2_000.0,
        ..Behaviour::default()
    };
    cluster.set_behaviour(&slow).await?;
    let before = cluster.counters().await?.runs.len();
    let shed_and_kill_relays = async {
        wait_for_runs(&cluster, before + SHARDS - 1).await?;
        cluster
            .set_behaviour(&Behaviour {
                is_shedding: true,
                ..slow
            })
            .await?;
        // All relays are killed, so the entry has to send the query to another host.
        relays
            .iter()
            .try_for_each(|relay| kill_host(&cluster, *relay))
    };
    let query = cluster.query(entries[0], "shortfall", &[], "{}");
    let (answer, kill_relay) = tokio::join!(query, shed_and_kill_relays);
    kill_relay?;
    let answer = answer?;
    assert_ne!(answer.status, StatusCode::OK, "{}", answer.text);
    assert_eq!(answer.json()["ran"], "unknown", "{}", answer.text);
    Ok(())
}

#[tokio::test]
async fn a_refusal_of_a_repeated_call_is_not_reported_as_not_run() -> Result<()> {
    let cluster = start(Behaviour::default()).await?;
    let (_, entries) = relays_and_entries(&cluster).await?;
    let slow = Behaviour {
        mean_ms: 3_000.0,
        ..Behaviour::default()
    };
    cluster.set_behaviour(&slow).await?;
    let before = cluster.counters().await?.runs.len();
    let start_shedding = async {
        wait_for_runs(&cluster, before + SHARDS - 1).await?;
        cluster
            .set_behaviour(&Behaviour {
                is_shedding: true,
                ..slow
            })
            .await
    };
    // The servers seem silent, so the calls are sent again, and these are refused.
    let query = cluster.query(entries[0], "shortfall", &[], "{}");
    let (answer, start_shedding) = tokio::join!(query, start_shedding);
    start_shedding?;
    let answer = answer?;
    assert_ne!(answer.json()["ran"], "no", "{}", answer.text);
    Ok(())
}

#[tokio::test]
async fn an_index_change_while_a_relay_is_killed_mixes_no_versions() -> Result<()> {
    let cluster = start(Behaviour {
        mean_ms: 50.0,
        queue_limit: 1_000,
        index_versions: vec![1],
        ..Behaviour::default()
    })
    .await?;
    let (relays, entries) = relays_and_entries(&cluster).await?;
    let before = cluster.counters().await?.runs.len();
    let change = async {
        wait_for_runs(&cluster, before).await?;
        cluster
            .put_record(&cluster.service_toml(2, &[2, 1]))
            .await?;
        cluster
            .set_behaviour(&Behaviour {
                mean_ms: 50.0,
                queue_limit: 1_000,
                index_versions: vec![2],
                ..Behaviour::default()
            })
            .await?;
        kill_host(&cluster, relays[0])
    };
    let (answers, changed) = tokio::join!(send_all(&cluster, entries[0]), change);
    changed?;
    assert_complete(&answers?);
    let after = send_all(&cluster, entries[0]).await?;
    assert_complete(&after);
    assert!(after
        .iter()
        .all(|a| a.json()["snapshot"]["index_version"] == 2));
    Ok(())
}

#[tokio::test]
async fn a_booking_whose_host_is_killed_during_a_store_outage_runs_at_most_once() -> Result<()> {
    let cluster = start(Behaviour {
        mean_ms: 400.0,
        ..Behaviour::default()
    })
    .await?;
    cluster
        .put_record(&Deployment::route_toml("tow-slot", 1, false, ""))
        .await?;
    cluster.wait_for_revision(3).await?;
    let (_, entries) = relays_and_entries(&cluster).await?;
    let (first, second) = (entries[0], entries[entries.len() - 1]);
    ensure!(first != second, "only one host is not a relay");
    let before = cluster.counters().await?.runs;
    let early_answer = {
        let booking = cluster.query(first, "tow-slot", &[KEY], "{}");
        let reached = wait_for_runs(&cluster, before.len());
        tokio::select! {
            answer = booking => Some(answer),
            reached = reached => reached.map(|()| None)?,
        }
    };
    ensure!(
        early_answer.is_none(),
        "the booking ended before its host was killed"
    );
    cluster.set_platform_faults(&store_down()).await?;
    kill_host(&cluster, first)?;
    let refused = cluster.query(second, "tow-slot", &[KEY], "{}").await?;
    assert_ne!(refused.status, StatusCode::OK, "{}", refused.text);
    cluster.set_platform_faults(&Faults::default()).await?;
    let resent = cluster.query(second, "tow-slot", &[KEY], "{}").await?;
    assert_eq!(resent.json()["kind"], "already-claimed", "{}", resent.text);
    assert_eq!(resent.json()["ran"], "unknown");
    assert!(max_runs_per_shard_since(&cluster, &before).await? <= 1);
    Ok(())
}

/// Returns the highest number of executions on one shard since `before`.
async fn max_runs_per_shard_since(
    cluster: &Deployment,
    before: &BTreeMap<String, u64>,
) -> Result<u64> {
    let mut by_shard: BTreeMap<String, u64> = BTreeMap::new();
    for (key, count) in cluster.counters().await?.runs {
        if before.contains_key(&key) {
            continue;
        }
        let shard = key.split('/').nth(1).context("malformed key")?;
        *by_shard.entry(shard.to_owned()).or_default() += count;
    }
    Ok(by_shard.into_values().max().unwrap_or(0))
}
