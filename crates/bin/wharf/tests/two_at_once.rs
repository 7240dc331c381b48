//! Two failures at the same time, over separate processes.
//!
//! The verdicts are invariants: what answers say of themselves, and the
//! executions that the stand-ins have counted.

use {
    anyhow::{ensure, Context, Result},
    fakes::{
        client::Answer,
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

async fn start(behaviour: Behaviour) -> Result<Path> {
    let path = Path::start(Layout {
        hosts: HOSTS,
        shards: SHARDS,
        relays: RELAYS,
        behaviour,
        ..Layout::default()
    })
    .await?;
    path.configure().await?;
    path.wait_for_members().await?;
    Ok(path)
}

fn store_down() -> Faults {
    Faults {
        store_down: true,
        ..Faults::default()
    }
}

/// Returns the hosts that have called upstreams, and those that have not.
async fn relays_and_entries(path: &Path) -> Result<(Vec<usize>, Vec<usize>)> {
    for host in 0..HOSTS {
        for _ in 0..HOSTS {
            path.query(host, "shortfall", &[], "{}").await?;
        }
    }
    let mut relays = Vec::new();
    let mut entries = Vec::new();
    for host in 0..HOSTS {
        if path.metrics(host).await?.contains("wharf_leaf_calls") {
            relays.push(host);
        } else {
            entries.push(host);
        }
    }
    ensure!(!relays.is_empty() && !entries.is_empty(), "{relays:?}");
    Ok((relays, entries))
}

/// Kills a host while others may be talking to it.
fn kill_host(path: &Path, host: usize) -> Result<()> {
    let pid = Pid::from_raw(path.hosts[host].process.pid().cast_signed());
    kill(pid, Signal::SIGKILL)?;
    Ok(())
}

async fn send_all(path: &Path, entry: usize) -> Result<Vec<Answer>> {
    let queries = (0..QUERIES).map(|_| path.query(entry, "shortfall", &[], "{}"));
    join_all(queries).await.into_iter().collect()
}

/// Waits until the upstreams have begun more executions than `before`.
async fn wait_for_runs(path: &Path, before: usize) -> Result<()> {
    for _ in 0..MAX_POLLS {
        if path.seen().await?.runs.len() > before {
            return Ok(());
        }
        sleep(POLL_PAUSE).await;
    }
    anyhow::bail!("nothing reaches the upstreams")
}

/// Checks that each answer is whole, of one snapshot, and nobody else's.
fn assert_whole(answers: &[Answer]) {
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
            "an id stands twice"
        );
    }
}

#[tokio::test]
async fn a_relay_killed_while_the_store_is_down_costs_no_repeatable_query() -> Result<()> {
    let path = start(Behaviour {
        mean_ms: 50.0,
        queue_limit: 1_000,
        ..Behaviour::default()
    })
    .await?;
    let (relays, entries) = relays_and_entries(&path).await?;
    path.set_platform_faults(&store_down()).await?;
    let before = path.seen().await?.runs.len();
    let entry = entries[0];
    let cut = async {
        wait_for_runs(&path, before).await?;
        kill_host(&path, relays[0])
    };
    let (answers, cut) = tokio::join!(send_all(&path, entry), cut);
    cut?;
    assert_whole(&answers?);
    assert_whole(&send_all(&path, entries[entries.len() - 1]).await?);
    Ok(())
}

#[tokio::test]
async fn a_refusal_after_a_lost_relay_does_not_say_that_nothing_ran() -> Result<()> {
    let path = start(Behaviour::default()).await?;
    let (relays, entries) = relays_and_entries(&path).await?;
    let slow = Behaviour {
        mean_ms: 2_000.0,
        ..Behaviour::default()
    };
    path.set_behaviour(&slow).await?;
    let before = path.seen().await?.runs.len();
    let shed_and_cut = async {
        wait_for_runs(&path, before + SHARDS - 1).await?;
        path.set_behaviour(&Behaviour {
            is_shedding: true,
            ..slow
        })
        .await?;
        // Whichever relay has the query is gone, and the entry has to look elsewhere.
        relays.iter().try_for_each(|relay| kill_host(&path, *relay))
    };
    let query = path.query(entries[0], "shortfall", &[], "{}");
    let (answer, cut) = tokio::join!(query, shed_and_cut);
    cut?;
    let answer = answer?;
    assert_ne!(answer.status, StatusCode::OK, "{}", answer.text);
    assert_eq!(answer.json()["ran"], "unknown", "{}", answer.text);
    Ok(())
}

#[tokio::test]
async fn a_refusal_of_a_repeated_call_does_not_say_that_nothing_ran() -> Result<()> {
    let path = start(Behaviour::default()).await?;
    let (_, entries) = relays_and_entries(&path).await?;
    let slow = Behaviour {
        mean_ms: 3_000.0,
        ..Behaviour::default()
    };
    path.set_behaviour(&slow).await?;
    let before = path.seen().await?.runs.len();
    let shed = async {
        wait_for_runs(&path, before + SHARDS - 1).await?;
        path.set_behaviour(&Behaviour {
            is_shedding: true,
            ..slow
        })
        .await
    };
    // The servers look silent, so their calls are sent again and refused.
    let query = path.query(entries[0], "shortfall", &[], "{}");
    let (answer, shed) = tokio::join!(query, shed);
    shed?;
    let answer = answer?;
    assert_ne!(answer.json()["ran"], "no", "{}", answer.text);
    Ok(())
}

#[tokio::test]
async fn an_index_change_while_a_relay_is_killed_mixes_no_versions() -> Result<()> {
    let path = start(Behaviour {
        mean_ms: 50.0,
        queue_limit: 1_000,
        index_versions: vec![1],
        ..Behaviour::default()
    })
    .await?;
    let (relays, entries) = relays_and_entries(&path).await?;
    let before = path.seen().await?.runs.len();
    let change = async {
        wait_for_runs(&path, before).await?;
        path.put_record(&path.service_toml(2, &[2, 1])).await?;
        path.set_behaviour(&Behaviour {
            mean_ms: 50.0,
            queue_limit: 1_000,
            index_versions: vec![2],
            ..Behaviour::default()
        })
        .await?;
        kill_host(&path, relays[0])
    };
    let (answers, changed) = tokio::join!(send_all(&path, entries[0]), change);
    changed?;
    assert_whole(&answers?);
    let after = send_all(&path, entries[0]).await?;
    assert_whole(&after);
    assert!(after
        .iter()
        .all(|a| a.json()["snapshot"]["index_version"] == 2));
    Ok(())
}

#[tokio::test]
async fn a_booking_whose_host_dies_in_an_outage_of_the_store_runs_once() -> Result<()> {
    let path = start(Behaviour {
        mean_ms: 400.0,
        ..Behaviour::default()
    })
    .await?;
    path.put_record(&Path::route_toml("tow-slot", 1, false, ""))
        .await?;
    path.wait_for_revision(3).await?;
    let (_, entries) = relays_and_entries(&path).await?;
    let (first, second) = (entries[0], entries[entries.len() - 1]);
    ensure!(first != second, "one entry only");
    let before = path.seen().await?.runs;
    let killed = {
        let booking = path.query(first, "tow-slot", &[KEY], "{}");
        let reached = wait_for_runs(&path, before.len());
        tokio::select! {
            answer = booking => Some(answer),
            reached = reached => reached.map(|()| None)?,
        }
    };
    ensure!(
        killed.is_none(),
        "the booking ended before its host could die"
    );
    path.set_platform_faults(&store_down()).await?;
    kill_host(&path, first)?;
    let refused = path.query(second, "tow-slot", &[KEY], "{}").await?;
    assert_ne!(refused.status, StatusCode::OK, "{}", refused.text);
    path.set_platform_faults(&Faults::default()).await?;
    let taken = path.query(second, "tow-slot", &[KEY], "{}").await?;
    assert_eq!(taken.json()["kind"], "already-claimed", "{}", taken.text);
    assert_eq!(taken.json()["ran"], "unknown");
    assert!(most_runs_since(&path, &before).await? <= 1);
    Ok(())
}

/// Returns the most executions that any shard has seen since `before`.
async fn most_runs_since(path: &Path, before: &BTreeMap<String, u64>) -> Result<u64> {
    let mut by_shard: BTreeMap<String, u64> = BTreeMap::new();
    for (key, count) in path.seen().await?.runs {
        if before.contains_key(&key) {
            continue;
        }
        let shard = key.split('/').nth(1).context("malformed key")?;
        *by_shard.entry(shard.to_owned()).or_default() += count;
    }
    Ok(by_shard.into_values().max().unwrap_or(0))
}
