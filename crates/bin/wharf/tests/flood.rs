//! A flood of background work over separate processes: urgent queries are
//! answered, and what is refused as not run did not run.

use {
    anyhow::Result,
    fakes::{
        client::Answer,
        process::{Layout, Path},
        upstream::Behaviour,
    },
    futures::future::join_all,
    http::StatusCode,
    std::collections::BTreeSet,
};

const FLOOD: usize = 300;
const URGENT: usize = 20;
const SHARDS: usize = 4;
/// Long enough that no query of the test gets late.
const DEADLINE: (&str, &str) = ("x-wharf-deadline-ms", "20000");

#[tokio::test]
async fn a_flood_of_background_leaves_urgent_queries_answered_and_refusals_not_run() -> Result<()> {
    let path = Path::start(Layout {
        shards: SHARDS,
        behaviour: Behaviour {
            // Slow, so that the flood arrives faster than it is worked off.
            mean_ms: 100.0,
            queue_limit: 1_000,
            ..Behaviour::default()
        },
        ..Layout::default()
    })
    .await?;
    path.configure().await?;
    let flood = join_all((0..FLOOD).map(|i| send(&path, i, "background")));
    let urgent = async {
        // Urgent work comes once the flood has filled the window.
        while path.seen().await?.calls == 0 {}
        join_all((0..URGENT).map(|i| send(&path, i, "urgent")))
            .await
            .into_iter()
            .collect::<Result<Vec<_>>>()
    };
    let (flood, urgent) = tokio::join!(flood, urgent);
    let flood = flood.into_iter().collect::<Result<Vec<_>>>()?;
    let urgent = urgent?;
    for answer in &urgent {
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
    }
    let (answered, refused): (Vec<_>, Vec<_>) =
        flood.iter().partition(|a| a.status == StatusCode::OK);
    assert!(!answered.is_empty());
    assert!(!refused.is_empty());
    for answer in &refused {
        assert_eq!(answer.json()["kind"], "overloaded", "{}", answer.text);
        assert_eq!(answer.json()["ran"], "no");
        assert!(answer.headers.contains_key("retry-after"));
    }
    let seen = path.seen().await?;
    let run_ids: BTreeSet<_> = seen
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
    assert_eq!(run_ids, answered_ids, "a refused query has run");
    assert_eq!(seen.completed, (answers.len() * SHARDS) as u64);
    shows_the_gate(&path).await
}

async fn send(path: &Path, i: usize, rank: &str) -> Result<Answer> {
    let headers = [("x-wharf-rank", rank), DEADLINE];
    path.query(i % path.hosts.len(), "shortfall", &headers, "{}")
        .await
}

/// The relay exports its waits, refusals and window.
async fn shows_the_gate(path: &Path) -> Result<()> {
    let mut metrics = String::new();
    for host in 0..path.hosts.len() {
        metrics += &path.metrics(host).await?;
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
