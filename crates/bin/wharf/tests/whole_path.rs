//! End-to-end queries through the entry, the relay and the upstreams, as separate
//! processes.

use {
    anyhow::Result,
    fakes::process::{run_program, Deployment, DeploymentConfig, ADMIN_TOKEN},
    http::{Method, StatusCode},
    serde_json::json,
    std::fs,
};

#[tokio::test]
async fn a_query_reaches_every_shard_through_an_entry_and_a_relay() -> Result<()> {
    let cluster = Deployment::start(DeploymentConfig::default()).await?;
    put_records_with_wharfctl(&cluster)?;
    for host in &cluster.hosts {
        cluster.wait_for(host.entry_addr, "/readyz").await?;
    }
    for host in 0..cluster.hosts.len() {
        let answer = cluster
            .query(host, "shortfall", &[], "{\"item\":\"barrel\"}")
            .await?;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
        let body = answer.json();
        assert_eq!(body["record"]["name"], "shortfall");
        assert_eq!(body["record"]["version"], 1);
        assert_eq!(body["snapshot"]["index_version"], 1);
        assert_eq!(body["coverage"]["covered"], json!([0, 1, 2, 3]));
        assert_eq!(body["coverage"]["missing"], json!([]));
        assert_eq!(
            body["results"][3]["rows"],
            json!([{ "shard": 3, "version": 1 }])
        );
        assert_eq!(body["request_id"].as_str().map(str::len), Some(32));
    }
    // One of the two hosts is not a relay, so it forwarded its query to the other.
    let counters = cluster.counters().await?;
    assert_eq!(counters.shards_run(), 8);
    Ok(())
}

fn put_records_with_wharfctl(cluster: &Deployment) -> Result<()> {
    let dir = std::env::temp_dir().join(format!("wharf-whole-path-{}", std::process::id()));
    fs::create_dir_all(&dir)?;
    let service = dir.join("service.toml");
    let route = dir.join("route.toml");
    fs::write(&service, cluster.service_toml(1, &[1]))?;
    fs::write(&route, Deployment::route_toml("shortfall", 1, true, ""))?;
    let admin = format!("--admin-addr={}", cluster.hosts[0].admin_addr);
    let token = format!("--admin-token={ADMIN_TOKEN}");
    let files = [service.to_string_lossy(), route.to_string_lossy()];
    run_program("wharfctl", &["check", &files[0], &files[1]])?;
    run_program("wharfctl", &["put", &admin, &token, &files[0], &files[1]])?;
    fs::remove_dir_all(&dir)?;
    Ok(())
}

struct BadCase {
    description: &'static str,
    route: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: &'static str,
    status: u16,
    kind: &'static str,
}

const BAD_CASES: &[BadCase] = &[
    BadCase {
        description: "unknown route",
        route: "nothing",
        headers: &[],
        body: "{}",
        status: 404,
        kind: "unknown-route",
    },
    BadCase {
        description: "unknown version",
        route: "shortfall",
        headers: &[("x-wharf-record-version", "9")],
        body: "{}",
        status: 404,
        kind: "unknown-version",
    },
    BadCase {
        description: "malformed version",
        route: "shortfall",
        headers: &[("x-wharf-record-version", "one")],
        body: "{}",
        status: 400,
        kind: "bad-version",
    },
    BadCase {
        description: "unknown rank",
        route: "shortfall",
        headers: &[("x-wharf-rank", "royal")],
        body: "{}",
        status: 400,
        kind: "bad-rank",
    },
    BadCase {
        description: "malformed deadline",
        route: "shortfall",
        headers: &[("x-wharf-deadline-ms", "soon")],
        body: "{}",
        status: 400,
        kind: "bad-deadline",
    },
    BadCase {
        description: "deadline out of range",
        route: "shortfall",
        headers: &[("x-wharf-deadline-ms", "99999999")],
        body: "{}",
        status: 400,
        kind: "bad-deadline",
    },
    BadCase {
        description: "deadline of zero",
        route: "shortfall",
        headers: &[("x-wharf-deadline-ms", "0")],
        body: "{}",
        status: 400,
        kind: "bad-deadline",
    },
    BadCase {
        description: "malformed body",
        route: "shortfall",
        headers: &[],
        body: "{",
        status: 400,
        kind: "bad-body",
    },
    BadCase {
        description: "long idempotency key",
        route: "shortfall",
        headers: &[("idempotency-key", LONG_KEY)],
        body: "{}",
        status: 400,
        kind: "bad-idempotency-key",
    },
];

const LONG_KEY: &str = "kkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkk";

#[tokio::test]
async fn bad_input_gets_its_own_kind_and_runs_nothing() -> Result<()> {
    let cluster = Deployment::start(DeploymentConfig {
        host_flags: vec!["--max-body-bytes=1000".to_owned()],
        ..DeploymentConfig::default()
    })
    .await?;
    cluster.configure().await?;
    for case in BAD_CASES {
        let answer = cluster
            .query(0, case.route, case.headers, case.body)
            .await?;
        assert_eq!(
            answer.status.as_u16(),
            case.status,
            "{}: {}",
            case.description,
            answer.text
        );
        assert_eq!(answer.json()["kind"], case.kind, "{}", case.description);
        assert_eq!(answer.json()["ran"], "no", "{}", case.description);
        assert_eq!(answer.headers["content-type"], "application/problem+json");
    }
    let oversized = format!("\"{}\"", "x".repeat(2_000));
    let answer = cluster.query(0, "shortfall", &[], &oversized).await?;
    assert_eq!(answer.json()["kind"], "body-too-large");
    for token in ["", "Bearer wrong-token-of-tests"] {
        let headers = [("authorization", token)];
        let addr = cluster.hosts[0].admin_addr;
        let answer = cluster
            .client
            .send(Method::GET, addr, "/v1/admin/records", &headers, "")
            .await?;
        assert_eq!(answer.json()["kind"], "bad-token");
        assert_eq!(answer.json()["ran"], "no");
    }
    assert_eq!(cluster.counters().await?.calls, 0);
    Ok(())
}
