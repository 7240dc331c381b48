//! Checks that the operators' pages name exactly the metrics that hosts expose, and
//! every event that the test provokes.

use {
    anyhow::{Context, Result},
    fakes::{
        process::{Deployment, DeploymentConfig},
        upstream::Behaviour,
    },
    meter::{LeafLabels, Metrics, QueryLabels},
    record::Rank,
    std::{collections::BTreeSet, fs, path::Path, time::Duration},
};

const PAGES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../../docs/operators");
const PREFIX: &str = "wharf_";
/// Suffix that the exposition gives counters.
const COUNTER_SUFFIX: &str = "_total";

/// Returns a Prometheus exposition in which every metric has been recorded once.
fn exposition() -> Result<String> {
    let metrics = Metrics::new()?;
    let time = Duration::from_millis(1);
    let query = QueryLabels {
        tenant: "clerks",
        rank: Rank::Urgent,
        outcome: "ok",
    };
    let leaf = LeafLabels {
        service: "restock-desk",
        cause: "first",
        outcome: "ok",
    };
    metrics.on_query(query, time);
    metrics.on_leaf_call(leaf.service, leaf.cause);
    metrics.on_leaf_end(leaf, time);
    metrics.on_revision(1);
    metrics.on_store_reverted(false);
    metrics.on_event("link", "drain");
    metrics.on_gate_admit(leaf.service, query.rank, time);
    metrics.on_gate_refusal(leaf.service, query.rank, "overloaded");
    metrics.on_gate_window(leaf.service, 1);
    metrics.on_exchange_bytes("sent", 1);
    metrics.on_members(1, 0);
    metrics.on_forward("ok");
    metrics.on_in_flight(1);
    metrics.on_limited_servers(1);
    metrics.expose()
}

/// Returns the names of the metrics in an exposition, without the suffix of counters.
fn metric_names_in_exposition(exposition: &str) -> BTreeSet<String> {
    let types = exposition
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "));
    let names = types.filter_map(|line| line.split(' ').next());
    names
        .filter(|name| name.starts_with(PREFIX))
        .map(without_counter_suffix)
        .collect()
}

/// Returns the metric names in a page, without the suffix of counters.
fn metric_names_in_page(page: &str) -> BTreeSet<String> {
    let is_name_char = |c: char| c.is_ascii_lowercase() || c == '_';
    page.split(|c| !is_name_char(c))
        .filter(|word| word.starts_with(PREFIX))
        .map(without_counter_suffix)
        .collect()
}

fn without_counter_suffix(name: &str) -> String {
    name.strip_suffix(COUNTER_SUFFIX).unwrap_or(name).to_owned()
}

fn read_page(name: &str) -> Result<String> {
    fs::read_to_string(Path::new(PAGES).join(name)).context(name.to_owned())
}

#[test]
fn the_watch_page_names_every_metric_and_no_page_names_an_unknown_one() -> Result<()> {
    let exposed = metric_names_in_exposition(&exposition()?);
    assert_eq!(metric_names_in_page(&read_page("watch.md")?), exposed);
    for entry in fs::read_dir(PAGES)? {
        let text = fs::read_to_string(entry?.path())?;
        let unknown: Vec<_> = metric_names_in_page(&text)
            .difference(&exposed)
            .cloned()
            .collect();
        assert!(unknown.is_empty(), "{unknown:?} is not exposed");
    }
    Ok(())
}

/// Number of poison requests; the last is quarantined at the latest.
const MAX_QUERIES: usize = 20;
/// Events that the test provokes and so must be exposed.
const EXPECTED_EVENTS: [&str; 3] = ["drain", "held-back", "quarantine"];

#[tokio::test]
async fn hosts_expose_only_events_that_the_upstreams_page_names() -> Result<()> {
    let behaviour = Behaviour {
        poison: Some("weevil".to_owned()),
        ..Behaviour::default()
    };
    let draining = Behaviour {
        is_draining: true,
        ..behaviour.clone()
    };
    let config = DeploymentConfig {
        behaviour,
        ..DeploymentConfig::default()
    };
    let cluster = Deployment::start(config).await?;
    cluster.configure().await?;
    cluster
        .set_one_behaviour(cluster.servers[0][0], &draining)
        .await?;
    // A host alternates between servers, so the draining one is called too.
    for _ in 0..MAX_QUERIES {
        cluster.query(0, "shortfall", &[], "{}").await?;
    }
    let mut is_held_back = false;
    for _ in 0..MAX_QUERIES {
        let answer = cluster.query(0, "shortfall", &[], r#"{"item":"weevil"}"#);
        is_held_back |= answer.await?.json()["kind"] == "quarantined";
    }
    assert!(is_held_back);
    let mut events = BTreeSet::new();
    for host in 0..cluster.hosts.len() {
        events.extend(link_events(&cluster.metrics(host).await?));
    }
    let known = first_cells(&read_page("upstreams.md")?);
    assert!(events.is_subset(&known), "{events:?} and {known:?}");
    for event in EXPECTED_EVENTS {
        assert!(events.contains(event), "{event} is not in {events:?}");
    }
    Ok(())
}

/// Returns the events of the part `link` in an exposition.
fn link_events(exposition: &str) -> BTreeSet<String> {
    let lines = exposition
        .lines()
        .filter(|line| line.starts_with("wharf_events_total{") && line.contains("part=\"link\""));
    let events = lines.filter_map(|line| line.split("event=\"").nth(1)?.split('"').next());
    events.map(str::to_owned).collect()
}

/// Returns the code words in the first cells of the tables of a page.
fn first_cells(page: &str) -> BTreeSet<String> {
    let cells = page.lines().filter_map(|line| line.strip_prefix("| `"));
    let words = cells.filter_map(|cell| cell.split('`').next());
    words.map(str::to_owned).collect()
}
