//! Overload by background queries, with separate processes: urgent queries are
//! answered, and queries that are refused as not run were not executed.

use {
    anyhow::Result,
    fakes::{
        client::Answer,
        process::{Deployment, DeploymentConfig},
        upstream::Behaviour,
    },
    futures::future::join_all,
    http::StatusCode,
    std::collections::BTreeSet,
};

const BACKGROUND: usize = 300;
const URGENT: usize = 20;
const SHARDS: usize = 4;
/// Deadline header, long enough that no query of the test exceeds it.
const DEADLINE: (&str, &str) = ("x-wharf-deadline-ms", "20000");

#[tokio::test]
async fn under_background_overload_urgent_queries_succeed_and_refused_queries_do_not_run(
) -> Result<()> {
    let cluster = Deployment::start(DeploymentConfig {
        shards: SHARDS,
        behaviour: Behaviour {
            // Slow, so that background queries arrive faster than they are executed.
            mean_ms: 100.0,
            queue_limit: 1_000,
            ..Behaviour::default()
        },
        ..DeploymentConfig::default()
    })
    .await?;
    cluster.configure().await?;
    let background = join_all((0..BACKGROUND).map(|i| send(&cluster, i, "background")));
    let urgent = async {
        // Send urgent queries once the background queries have filled the gate window.
        while cluster.counters().await?.calls == 0 {}
        join_all((0..URGENT).map(|i| send(&cluster, i, "urgent")))
            .await
            .into_iter()
            .collect::<Result<Vec<_>>>()
    };
    let (background, urgent) = tokio::join!(background, urgent);
    let background = background.into_iter().collect::<Result<Vec<_>>>()?;
    let urgent = urgent?;
    for answer in &urgent {
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
    }
    let (answered, refused): (Vec<_>, Vec<_>) =
        background.iter().partition(|a| a.status == StatusCode::OK);
    assert!(!answered.is_empty());
    assert!(!refused.is_empty());
    for answer in &refused {
        assert_eq!(answer.json()["kind"], "overloaded", "{}", answer.text);
        assert_eq!(answer.json()["ran"], "no");
        assert!(answer.headers.contains_key("retry-after"));
    }
    let counters = cluster.counters().await?;
    let run_ids: BTreeSet<_> = counters
        .runs
        .keys()
        .filter_map(|key| key.split('/').next())
        .collect();
    let answers: Vec<_> = answered
        .into_iter()
        .chain(&urgent)
        .map(Answer::json)
        .collect();
    let answered_ids: BTreeSet<_> = answers
        .iter()
        .filter_map(|a| a["request_id"].as_str())
        .collect();
    assert_eq!(run_ids, answered_ids, "a refused query was executed");
    assert_eq!(counters.completed, (answers.len() * SHARDS) as u64);
    assert_gate_metrics(&cluster).await
}

async fn send(cluster: &Deployment, i: usize, rank: &str) -> Result<Answer> {
    let headers = [("x-wharf-rank", rank), DEADLINE];
    cluster
        .query(i % cluster.hosts.len(), "shortfall", &headers, "{}")
        .await
}

/// Checks that the metrics include the wait times, refusals and window of the gate.
async fn assert_gate_metrics(cluster: &Deployment) -> Result<()> {
    let mut metrics = String::new();
    for host in 0..cluster.hosts.len() {
        metrics += &cluster.metrics(host).await?;
    }
    for name in [
        "wharf_gate_wait_ms_count",
        "wharf_gate_refusals_total",
        "wharf_gate_window",
    ] {
        assert!(metrics.contains(name), "{name} is missing:\n{metrics}");
    }
    Ok(())
}
