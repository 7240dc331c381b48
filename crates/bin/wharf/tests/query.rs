//! Queries over separate processes: index change, crossed replies, stragglers, coverage.

use {
    anyhow::Result,
    fakes::{
        process::{Layout, Path},
        upstream::Behaviour,
    },
    http::StatusCode,
    serde_json::{json, Value},
    std::collections::BTreeSet,
};

/// Queries sent while the index changes.
const QUERIES_PER_PHASE: usize = 20;

fn holding(index_versions: &[u64]) -> Behaviour {
    Behaviour {
        index_versions: index_versions.to_vec(),
        ..Behaviour::default()
    }
}

/// Returns how many leaf calls of a cause all hosts have made.
async fn leaf_calls(path: &Path, cause: &str) -> Result<u64> {
    let mut total = 0;
    for host in 0..path.hosts.len() {
        let text = path.metrics(host).await?;
        let label = format!("cause=\"{cause}\"");
        total += text
            .lines()
            .filter(|line| line.starts_with("wharf_leaf_calls") && line.contains(&label))
            .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
            .sum::<u64>();
    }
    Ok(total)
}

/// Returns the versions that the rows of an answer come from.
fn row_versions(answer: &Value) -> BTreeSet<u64> {
    answer["results"]
        .as_array()
        .into_iter()
        .flatten()
        .flat_map(|shard| shard["rows"].as_array().into_iter().flatten())
        .filter_map(|row| row["version"].as_u64())
        .collect()
}

#[tokio::test]
async fn an_index_change_under_way_never_mixes_versions() -> Result<()> {
    let path = Path::start(Layout::default()).await?;
    path.put_record(&path.service_toml(1, &[1, 2])).await?;
    path.put_record(&Path::route_toml("shortfall", 1, true, ""))
        .await?;
    for host in &path.hosts {
        path.wait_for(host.entry_addr, "/readyz").await?;
    }
    let all: Vec<_> = path.servers.iter().flatten().copied().collect();
    let mut seen_versions = BTreeSet::new();
    // The record runs ahead; the servers take version 2 over one after the other.
    for changed in 0..=all.len() {
        for server in &all[..changed] {
            path.set_one_behaviour(*server, &holding(&[1, 2])).await?;
        }
        for i in 0..QUERIES_PER_PHASE {
            let answer = path.query(i % 2, "shortfall", &[], "{}").await?;
            assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
            let body = answer.json();
            let stated = body["snapshot"]["index_version"].as_u64().unwrap();
            assert_eq!(row_versions(&body), BTreeSet::from([stated]));
            assert_eq!(body["coverage"]["is_complete"], true);
            seen_versions.insert(stated);
        }
    }
    assert_eq!(seen_versions, BTreeSet::from([1, 2]));
    assert!(leaf_calls(&path, "restart").await? > 0);
    Ok(())
}

#[tokio::test]
async fn a_gone_version_is_named_missing_with_its_zones() -> Result<()> {
    let path = Path::start(Layout::default()).await?;
    path.configure().await?;
    path.put_record(&Path::route_toml(
        "partial",
        1,
        true,
        "[route.coverage]\nmin_share = 0.5\nwhen_short = \"wait\"\n",
    ))
    .await?;
    for server in &path.servers[3] {
        path.set_one_behaviour(*server, &holding(&[2])).await?;
    }
    let mut answer = path.query(0, "partial", &[], "{}").await?;
    while answer.status == StatusCode::NOT_FOUND {
        // The host adopts the record within its watch.
        answer = path.query(0, "partial", &[], "{}").await?;
    }
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
    let body = answer.json();
    assert_eq!(body["coverage"]["covered"], json!([0, 1, 2]));
    assert_eq!(
        body["coverage"]["missing"],
        json!([{ "shard": 3, "reason": "version-gone", "zones": ["zone-0", "zone-1"] }])
    );
    let answer = path.query(0, "shortfall", &[], "{}").await?;
    assert_eq!(answer.json()["kind"], "low-coverage");
    assert_eq!(answer.json()["ran"], "yes");
    Ok(())
}

#[tokio::test]
async fn crossed_replies_are_dropped_with_their_connections() -> Result<()> {
    let path = Path::start(Layout::default()).await?;
    path.configure().await?;
    let crossed = Behaviour {
        is_crossed: true,
        ..Behaviour::default()
    };
    path.set_behaviour(&crossed).await?;
    let answer = path.query(0, "shortfall", &[], "{}").await?;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{}", answer.text);
    assert_eq!(answer.json()["kind"], "upstream-lost");
    assert_eq!(answer.json()["ran"], "unknown");
    // One server answers truly again, so its replica's replies do no harm.
    for shard in &path.servers {
        path.set_one_behaviour(shard[0], &Behaviour::default())
            .await?;
    }
    let answer = path.query(0, "shortfall", &[], "{}").await?;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
    assert_eq!(row_versions(&answer.json()), BTreeSet::from([1]));
    Ok(())
}

#[tokio::test]
async fn a_lost_service_is_unreachable_and_did_not_run() -> Result<()> {
    let path = Path::start(Layout::default()).await?;
    let mut lost = path.service_toml(1, &[1]);
    for server in path.servers.iter().flatten() {
        // Nothing listens on a port that is free.
        let free = fakes::process::free_addr()?;
        lost = lost.replace(&server.to_string(), &free.to_string());
    }
    path.put_record(&lost).await?;
    path.put_record(&Path::route_toml("shortfall", 1, true, ""))
        .await?;
    path.wait_for(path.hosts[0].entry_addr, "/readyz").await?;
    let answer = path.query(0, "shortfall", &[], "{}").await?;
    assert_eq!(answer.json()["kind"], "unreachable", "{}", answer.text);
    assert_eq!(answer.json()["ran"], "no");
    Ok(())
}

#[tokio::test]
async fn a_straggler_is_hedged_and_an_early_answer_states_what_it_lacks() -> Result<()> {
    let path = Path::start(Layout::default()).await?;
    path.configure().await?;
    path.put_record(&Path::route_toml(
        "early",
        1,
        true,
        "[route.coverage]\nmin_share = 0.5\nwhen_short = \"early\"\nearly_after_ms = 1500\n",
    ))
    .await?;
    for _ in 0..100 {
        let answer = path.query(0, "shortfall", &[], "{}").await?;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
    }
    let slow = Behaviour {
        mean_ms: 3_000.0,
        ..Behaviour::default()
    };
    // The relay may prefer the other server of every shard, so each is slow in turn.
    for position in 0..2 {
        path.set_behaviour(&Behaviour::default()).await?;
        for shard in &path.servers {
            path.set_one_behaviour(shard[position], &slow).await?;
        }
        for _ in 0..4 {
            let headers = [("x-wharf-deadline-ms", "20000")];
            let answer = path.query(0, "shortfall", &headers, "{}").await?;
            assert_eq!(answer.json()["coverage"]["is_complete"], true);
        }
    }
    assert!(leaf_calls(&path, "hedge").await? > 0);
    assert!(path.seen().await?.cancelled > 0, "the loser is cancelled");
    path.set_behaviour(&Behaviour::default()).await?;
    for server in &path.servers[0] {
        path.set_one_behaviour(*server, &slow).await?;
    }
    let answer = path.query(0, "early", &[], "{}").await?;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
    let missing = &answer.json()["coverage"]["missing"];
    assert_eq!(
        *missing,
        json!([{ "shard": 0, "reason": "not-awaited", "zones": ["zone-0", "zone-1"] }])
    );
    Ok(())
}
