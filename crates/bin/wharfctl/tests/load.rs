//! `wharfctl load` against a cluster of separate processes.

use {
    anyhow::Result,
    fakes::process::{run_program, Deployment, DeploymentConfig},
    serde_json::Value,
    std::{env, fs},
};

#[tokio::test]
async fn load_reports_every_query_it_sent() -> Result<()> {
    let cluster = Deployment::start(DeploymentConfig::default()).await?;
    cluster.configure().await?;
    let svg = env::temp_dir().join(format!("wharf-load-{}.svg", std::process::id()));
    let entries: Vec<_> = cluster
        .hosts
        .iter()
        .map(|h| h.entry_addr.to_string())
        .collect();
    let text = run_program(
        "wharfctl",
        &[
            "load",
            "shortfall",
            "--json",
            "--duration-ms=1000",
            "--urgent-per-s=20",
            "--routine-per-s=0",
            "--background-per-s=30",
            &format!("--entry={}", entries.join(",")),
            &format!("--svg={}", svg.display()),
        ],
    )?;
    let report: Value = serde_json::from_str(&text)?;
    let rows = report["rows"].as_array().cloned().unwrap_or_default();
    let ranks: Vec<_> = rows.iter().map(|row| row["rank"].clone()).collect();
    assert_eq!(ranks, ["urgent", "background"]);
    // The seed determines the arrival times and so the number of queries.
    let sent: u64 = rows.iter().filter_map(|row| row["sent"].as_u64()).sum();
    let plot = fs::read_to_string(&svg)?;
    fs::remove_file(&svg)?;
    assert!(plot.contains("<svg"));
    let counters = cluster.counters().await?;
    let answered: f64 = rows
        .iter()
        .map(|row| {
            row["answered_share"].as_f64().unwrap_or(0.0) * row["sent"].as_f64().unwrap_or(0.0)
        })
        .sum();
    assert_eq!(answered.round() as u64, sent);
    // A slow shard may be called twice, but every query runs on each of the four shards.
    assert_eq!(counters.shards_run(), 4 * sent);
    Ok(())
}

#[test]
fn the_error_of_an_invalid_experiment_names_the_field() -> Result<()> {
    let cases = [
        ("phases = []", "phases"),
        (
            "phases = [{ name = \"a\", duration_ms = 0 }]",
            "phases[0].duration_ms",
        ),
        (
            "phases = [{ name = \"a\", duration_ms = 5, urgent_per_s = -1.0 }]",
            "phases[0].urgent_per_s",
        ),
        (
            "phases = [{ name = \"a\", duration_ms = 5, royal_per_s = 1.0 }]",
            "phases[0].royal_per_s",
        ),
    ];
    for (i, (text, field)) in cases.iter().enumerate() {
        let file = env::temp_dir().join(format!("wharf-experiment-{}-{i}", std::process::id()));
        fs::write(&file, text)?;
        let argument = format!("--experiment={}", file.display());
        let outcome = run_program("wharfctl", &["load", "shortfall", &argument]);
        fs::remove_file(&file)?;
        let error = outcome.err().map(|e| e.to_string()).unwrap_or_default();
        assert!(error.contains(field), "{text}: {error}");
    }
    Ok(())
}
