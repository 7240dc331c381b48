//! Counts the store's calls for bookings, by the way in which claims are written.
//!
//! Eight hosts run as processes of their own; so many callers at once, spread
//! over the hosts, each send one booking after the other. Run it after
//! `cargo build --workspace --bins --examples`.

use {
    anyhow::{ensure, Result},
    fakes::{
        platform::Faults,
        process::{Layout, Path},
        upstream::Behaviour,
    },
    futures::future::join_all,
    std::time::{Duration, Instant},
};

const HOSTS: usize = 8;
const CALLERS: [usize; 3] = [1, 8, 64];
const BOOKINGS: usize = 512;
/// Time that the stand-in of the store takes for each call, in milliseconds.
const STORE_MS: u64 = 5;
/// Bookings that open connections and leases and make hosts read the log.
const WARM_UP_BOOKINGS: usize = 64;
const ROUTES: [(&str, &str); 2] = [("single", ""), ("batched", "claims = \"batched\"\n")];

#[tokio::main]
async fn main() -> Result<()> {
    let path = start().await?;
    println!("claims   callers  writes  reads  leases  (a booking)  mean ms  bookings/s");
    for (route, _) in ROUTES {
        send_all(&path, route, "warm-up", CALLERS[1], WARM_UP_BOOKINGS).await?;
        for callers in CALLERS {
            measure(&path, route, callers).await?;
        }
    }
    Ok(())
}

async fn start() -> Result<Path> {
    let path = Path::start(Layout {
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
        ..Layout::default()
    })
    .await?;
    path.configure().await?;
    for (route, further) in ROUTES {
        path.put_record(&Path::route_toml(route, 1, false, further))
            .await?;
    }
    path.wait_for_revision(2 + ROUTES.len() as u64).await?;
    path.wait_for_members().await?;
    path.set_platform_faults(&Faults {
        slow_ms: STORE_MS,
        ..Faults::default()
    })
    .await?;
    Ok(path)
}

async fn measure(path: &Path, route: &str, callers: usize) -> Result<()> {
    let before = path.platform_calls().await?;
    let began = Instant::now();
    let round = format!("{callers}");
    let spent = send_all(path, route, &round, callers, BOOKINGS).await?;
    let elapsed = began.elapsed();
    let after = path.platform_calls().await?;
    let each = |after: u64, before: u64| (after - before) as f64 / BOOKINGS as f64;
    println!(
        "{route:8} {callers:7}  {:6.3}  {:5.3}  {:6.3}               {:7.1}  {:10.0}",
        each(after.puts, before.puts),
        each(after.gets, before.gets),
        each(after.leases, before.leases),
        spent.as_secs_f64() * 1e3 / BOOKINGS as f64,
        BOOKINGS as f64 / elapsed.as_secs_f64(),
    );
    Ok(())
}

/// Sends bookings with keys of their own; returns the sum of their times.
async fn send_all(
    path: &Path,
    route: &str,
    round: &str,
    callers: usize,
    bookings: usize,
) -> Result<Duration> {
    let callers = (0..callers).map(|caller| async move {
        let mut spent = Duration::ZERO;
        for i in (caller..bookings).step_by(callers) {
            let key = format!("{round}-{i}");
            let headers = [("idempotency-key", key.as_str())];
            let began = Instant::now();
            let answer = path.query(i % HOSTS, route, &headers, "{}").await?;
            spent += began.elapsed();
            ensure!(answer.status.is_success(), "{}", answer.text);
        }
        Ok(spent)
    });
    let spent = join_all(callers).await.into_iter();
    spent.sum::<Result<Duration>>()
}
