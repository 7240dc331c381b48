//! Measures the processor time of a query through the tier.
//!
//! A host process and a plain fan-out with hyper-util's pooled client call the
//! same fake upstreams, one after the other in one run. The result is the ratio of
//! their processor times per query, which cancels out the speed of the machine.
//! Both use the multi-threaded runtime, whose number of threads
//! `TOKIO_WORKER_THREADS` sets for both.
//! Run it in release mode, after `cargo build --release --bins --examples`.

use {
    anyhow::Result,
    fakes::{
        process::{Deployment, DeploymentConfig},
        upstream::Behaviour,
    },
    futures::future::try_join_all,
    http::Request,
    http_body_util::{BodyExt, Full},
    hyper::body::Bytes,
    hyper_util::{
        client::legacy::{connect::HttpConnector, Client},
        rt::TokioExecutor,
    },
    nix::sys::{
        resource::{getrusage, UsageWho},
        time::TimeVal,
    },
    serde_json::{json, Value},
    std::{net::SocketAddr, time::Duration},
};

const SHARDS: usize = 50;
const QUERIES: u32 = 2_000;
const WARM_UP_QUERIES: u32 = 200;
const QUERY: &str = r#"{"item":"barrel","hall":"north"}"#;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

#[tokio::main]
async fn main() -> Result<()> {
    let deployment = Deployment::start(DeploymentConfig {
        hosts: 1,
        shards: SHARDS,
        servers_per_shard: 1,
        behaviour: Behaviour {
            mean_ms: 0.0,
            ..Behaviour::default()
        },
        ..DeploymentConfig::default()
    })
    .await?;
    deployment.configure().await?;
    let tier = tier_time(&deployment).await?;
    let baseline = baseline_time(&deployment).await?;
    let per_query = |time: Duration| time.as_secs_f64() * 1e6 / f64::from(QUERIES);
    println!("queries {QUERIES}, shards {SHARDS}");
    println!("tier  {:8.1} us of processor time a query", per_query(tier));
    println!(
        "bare  {:8.1} us of processor time a query",
        per_query(baseline)
    );
    println!("ratio {:8.2}", tier.as_secs_f64() / baseline.as_secs_f64());
    Ok(())
}

async fn tier_time(deployment: &Deployment) -> Result<Duration> {
    let host = &deployment.hosts[0].process;
    let send = || deployment.query(0, "shortfall", &[], QUERY);
    for _ in 0..WARM_UP_QUERIES {
        send().await?;
    }
    let before = host.processor_time()?;
    for _ in 0..QUERIES {
        let answer = send().await?;
        anyhow::ensure!(answer.status.is_success(), "{}", answer.text);
    }
    Ok(host.processor_time()? - before)
}

async fn baseline_time(deployment: &Deployment) -> Result<Duration> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let servers: Vec<_> = deployment.servers.iter().map(|shard| shard[0]).collect();
    for _ in 0..WARM_UP_QUERIES {
        fan_out(&client, &servers).await?;
    }
    let before = process_time()?;
    for _ in 0..QUERIES {
        fan_out(&client, &servers).await?;
    }
    Ok(process_time()? - before)
}

async fn fan_out(client: &HttpClient, servers: &[SocketAddr]) -> Result<Vec<Value>> {
    let calls = servers
        .iter()
        .enumerate()
        .map(|(shard, server)| call(client, shard, *server));
    try_join_all(calls).await
}

async fn call(client: &HttpClient, shard: usize, server: SocketAddr) -> Result<Value> {
    let body = json!({
        "request_id": "00000000000000000000000000000001",
        "attempt_id": shard,
        "index_version": 1,
        "deadline_ms": 5_000,
        "query": QUERY,
    });
    let request = Request::post(format!("http://{server}/v1/shards/{shard}/search"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_string())))?;
    let response = client.request(request).await?;
    let bytes = response.into_body().collect().await?.to_bytes();
    Ok(serde_json::from_slice(&bytes)?)
}

fn process_time() -> Result<Duration> {
    let usage = getrusage(UsageWho::RUSAGE_SELF)?;
    let micros = |time: TimeVal| {
        Duration::from_secs(time.tv_sec().unsigned_abs())
            + Duration::from_micros(time.tv_usec().unsigned_abs())
    };
    Ok(micros(usage.user_time()) + micros(usage.system_time()))
}
