//! Queries with separate processes: index changes, mismatched replies, slow servers
//! and coverage.

use {
    anyhow::Result,
    fakes::{
        process::{Deployment, DeploymentConfig},
        upstream::Behaviour,
    },
    http::StatusCode,
    serde_json::{json, Value},
    std::collections::BTreeSet,
};

/// Queries sent after each step of an index change.
const QUERIES_PER_PHASE: usize = 20;

fn serving(index_versions: &[u64]) -> Behaviour {
    Behaviour {
        index_versions: index_versions.to_vec(),
        ..Behaviour::default()
    }
}

/// Returns the number of leaf calls with this cause, summed over all hosts.
async fn leaf_calls(cluster: &Deployment, cause: &str) -> Result<u64> {
    let mut total = 0;
    for host in 0..cluster.hosts.len() {
        let text = cluster.metrics(host).await?;
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
async fn a_rolling_index_change_never_mixes_versions() -> Result<()> {
    let cluster = Deployment::start(DeploymentConfig::default()).await?;
    cluster
        .put_record(&cluster.service_toml(1, &[1, 2]))
        .await?;
    cluster
        .put_record(&Deployment::route_toml("shortfall", 1, true, ""))
        .await?;
    for host in &cluster.hosts {
        cluster.wait_for(host.entry_addr, "/readyz").await?;
    }
    let servers: Vec<_> = cluster.servers.iter().flatten().copied().collect();
    let mut seen_versions = BTreeSet::new();
    // The record already lists version 2; the servers start to serve it one by one.
    for upgraded in 0..=servers.len() {
        for server in &servers[..upgraded] {
            cluster
                .set_one_behaviour(*server, &serving(&[1, 2]))
                .await?;
        }
        for i in 0..QUERIES_PER_PHASE {
            let answer = cluster.query(i % 2, "shortfall", &[], "{}").await?;
            assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
            let body = answer.json();
            let index_version = body["snapshot"]["index_version"].as_u64().unwrap();
            assert_eq!(row_versions(&body), BTreeSet::from([index_version]));
            assert_eq!(body["coverage"]["is_complete"], true);
            seen_versions.insert(index_version);
        }
    }
    assert_eq!(seen_versions, BTreeSet::from([1, 2]));
    assert!(leaf_calls(&cluster, "restart").await? > 0);
    Ok(())
}

#[tokio::test]
async fn a_shard_without_the_version_is_reported_missing_with_its_zones() -> Result<()> {
    let cluster = Deployment::start(DeploymentConfig::default()).await?;
    cluster.configure().await?;
    cluster
        .put_record(&Deployment::route_toml(
            "partial",
            1,
            true,
            "[route.coverage]\nmin_share = 0.5\nwhen_short = \"wait\"\n",
        ))
        .await?;
    for server in &cluster.servers[3] {
        cluster.set_one_behaviour(*server, &serving(&[2])).await?;
    }
    let mut answer = cluster.query(0, "partial", &[], "{}").await?;
    while answer.status == StatusCode::NOT_FOUND {
        // The host has not received the record from its watch yet.
        answer = cluster.query(0, "partial", &[], "{}").await?;
    }
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
    let body = answer.json();
    assert_eq!(body["coverage"]["covered"], json!([0, 1, 2]));
    assert_eq!(
        body["coverage"]["missing"],
        json!([{ "shard": 3, "reason": "version-gone", "zones": ["zone-0", "zone-1"] }])
    );
    let answer = cluster.query(0, "shortfall", &[], "{}").await?;
    assert_eq!(answer.json()["kind"], "low-coverage");
    assert_eq!(answer.json()["ran"], "yes");
    Ok(())
}

#[tokio::test]
async fn mismatched_replies_are_dropped_with_their_connections() -> Result<()> {
    let cluster = Deployment::start(DeploymentConfig::default()).await?;
    cluster.configure().await?;
    let mismatched = Behaviour {
        is_crossed: true,
        ..Behaviour::default()
    };
    cluster.set_behaviour(&mismatched).await?;
    let answer = cluster.query(0, "shortfall", &[], "{}").await?;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{}", answer.text);
    assert_eq!(answer.json()["kind"], "upstream-lost");
    assert_eq!(answer.json()["ran"], "unknown");
    // Once one server of each shard answers correctly, the mismatched replies of
    // the other do not fail the query.
    for shard in &cluster.servers {
        cluster
            .set_one_behaviour(shard[0], &Behaviour::default())
            .await?;
    }
    let answer = cluster.query(0, "shortfall", &[], "{}").await?;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
    assert_eq!(row_versions(&answer.json()), BTreeSet::from([1]));
    Ok(())
}

#[tokio::test]
async fn a_query_to_an_unreachable_service_is_reported_as_not_run() -> Result<()> {
    let cluster = Deployment::start(DeploymentConfig::default()).await?;
    let mut record = cluster.service_toml(1, &[1]);
    for server in cluster.servers.iter().flatten() {
        // Nothing listens on an unused port.
        let unused = fakes::process::free_addr()?;
        record = record.replace(&server.to_string(), &unused.to_string());
    }
    cluster.put_record(&record).await?;
    cluster
        .put_record(&Deployment::route_toml("shortfall", 1, true, ""))
        .await?;
    cluster
        .wait_for(cluster.hosts[0].entry_addr, "/readyz")
        .await?;
    let answer = cluster.query(0, "shortfall", &[], "{}").await?;
    assert_eq!(answer.json()["kind"], "unreachable", "{}", answer.text);
    assert_eq!(answer.json()["ran"], "no");
    Ok(())
}

#[tokio::test]
async fn a_slow_server_is_hedged_and_an_early_answer_lists_missing_shards() -> Result<()> {
    let cluster = Deployment::start(DeploymentConfig::default()).await?;
    cluster.configure().await?;
    cluster
        .put_record(&Deployment::route_toml(
            "early",
            1,
            true,
            "[route.coverage]\nmin_share = 0.5\nwhen_short = \"early\"\nearly_after_ms = 1500\n",
        ))
        .await?;
    for _ in 0..100 {
        let answer = cluster.query(0, "shortfall", &[], "{}").await?;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
    }
    let slow = Behaviour {
        mean_ms: 3_000.0,
        ..Behaviour::default()
    };
    // The relay may prefer either server of a shard, so each is made slow in turn.
    for position in 0..2 {
        cluster.set_behaviour(&Behaviour::default()).await?;
        for shard in &cluster.servers {
            cluster.set_one_behaviour(shard[position], &slow).await?;
        }
        for _ in 0..4 {
            let headers = [("x-wharf-deadline-ms", "20000")];
            let answer = cluster.query(0, "shortfall", &headers, "{}").await?;
            assert_eq!(answer.json()["coverage"]["is_complete"], true);
        }
    }
    assert!(leaf_calls(&cluster, "hedge").await? > 0);
    assert!(
        cluster.counters().await?.cancelled > 0,
        "the slower call was not cancelled"
    );
    cluster.set_behaviour(&Behaviour::default()).await?;
    for server in &cluster.servers[0] {
        cluster.set_one_behaviour(*server, &slow).await?;
    }
    let answer = cluster.query(0, "early", &[], "{}").await?;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
    let missing = &answer.json()["coverage"]["missing"];
    assert_eq!(
        *missing,
        json!([{ "shard": 0, "reason": "not-awaited", "zones": ["zone-0", "zone-1"] }])
    );
    Ok(())
}
