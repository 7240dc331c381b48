//! Counts the calls to the store per non-repeatable request, with single and with
//! batched claims.
//!
//! Eight hosts run as separate processes. A number of concurrent callers, spread
//! over the hosts, each send one request after the other. Run it after
//! `cargo build --workspace --bins --examples`.

use {
    anyhow::{ensure, Result},
    fakes::{
        platform::Faults,
        process::{Deployment, DeploymentConfig},
        upstream::Behaviour,
    },
    futures::future::join_all,
    std::time::{Duration, Instant},
};

const HOSTS: usize = 8;
const CALLERS: [usize; 3] = [1, 8, 64];
const REQUESTS: usize = 512;
/// Latency of each call to the fake store, in milliseconds.
const STORE_MS: u64 = 5;
/// Requests before the measurement, which open connections and leases and make
/// hosts read the claim log.
const WARM_UP_REQUESTS: usize = 64;
/// Name of each route, and the settings that it adds.
const ROUTES: [(&str, &str); 2] = [("single", ""), ("batched", "claims = \"batched\"\n")];

#[tokio::main]
async fn main() -> Result<()> {
    let deployment = start().await?;
    println!("claims   callers  writes  reads  leases  (a booking)  mean ms  bookings/s");
    for (route, _) in ROUTES {
        send_all(&deployment, route, "warm-up", CALLERS[1], WARM_UP_REQUESTS).await?;
        for callers in CALLERS {
            measure(&deployment, route, callers).await?;
        }
    }
    Ok(())
}

async fn start() -> Result<Deployment> {
    let deployment = Deployment::start(DeploymentConfig {
        hosts: HOSTS,
        shards: 1,
        servers_per_shard: 1,
        behaviour: Behaviour {
            mean_ms: 1.0,
            connection_limit: 128,
            slots: 128,
            ..Behaviour::default()
        },
        relays: 1,
        ..DeploymentConfig::default()
    })
    .await?;
    deployment.configure().await?;
    for (route, settings) in ROUTES {
        deployment
            .put_record(&Deployment::route_toml(route, 1, false, settings))
            .await?;
    }
    deployment
        .wait_for_revision(2 + ROUTES.len() as u64)
        .await?;
    deployment.wait_for_members().await?;
    deployment
        .set_platform_faults(&Faults {
            slow_ms: STORE_MS,
            ..Faults::default()
        })
        .await?;
    Ok(deployment)
}

async fn measure(deployment: &Deployment, route: &str, callers: usize) -> Result<()> {
    let before = deployment.platform_calls().await?;
    let began = Instant::now();
    let round = format!("{callers}");
    let total_latency = send_all(deployment, route, &round, callers, REQUESTS).await?;
    let elapsed = began.elapsed();
    let after = deployment.platform_calls().await?;
    let per_request = |after: u64, before: u64| (after - before) as f64 / REQUESTS as f64;
    println!(
        "{route:8} {callers:7}  {:6.3}  {:5.3}  {:6.3}               {:7.1}  {:10.0}",
        per_request(after.puts, before.puts),
        per_request(after.gets, before.gets),
        per_request(after.leases, before.leases),
        total_latency.as_secs_f64() * 1e3 / REQUESTS as f64,
        REQUESTS as f64 / elapsed.as_secs_f64(),
    );
    Ok(())
}

/// Sends requests with unique idempotency keys, and returns the sum of their
/// latencies.
async fn send_all(
    deployment: &Deployment,
    route: &str,
    round: &str,
    callers: usize,
    requests: usize,
) -> Result<Duration> {
    let callers = (0..callers).map(|caller| async move {
        let mut total_latency = Duration::ZERO;
        for i in (caller..requests).step_by(callers) {
            let key = format!("{round}-{i}");
            let headers = [("idempotency-key", key.as_str())];
            let began = Instant::now();
            let answer = deployment.query(i % HOSTS, route, &headers, "{}").await?;
            total_latency += began.elapsed();
            ensure!(answer.status.is_success(), "{}", answer.text);
        }
        Ok(total_latency)
    });
    let total_latency = join_all(callers).await.into_iter();
    total_latency.sum::<Result<Duration>>()
}
