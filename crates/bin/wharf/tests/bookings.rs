//! End-to-end tests of requests that run at most once, with separate processes.
//!
//! They compare the number of executions that the fake upstreams have counted.

use {
    anyhow::{ensure, Result},
    fakes::{
        client::Answer,
        platform::Faults,
        process::{Deployment, DeploymentConfig},
        upstream::Behaviour,
    },
    futures::future::join_all,
    http::Method,
    nix::{
        sys::signal::{kill, Signal},
        unistd::Pid,
    },
    std::{collections::BTreeMap, time::Duration},
    tokio::{join, time::sleep},
};

const KEY: (&str, &str) = ("idempotency-key", "tow-slot-17");
/// Number of polls before a wait fails.
const MAX_POLLS: u32 = 1_000;
const BODY: &str = r#"{"slot":17}"#;

/// Line of a route record that batches claims, so that several share one write.
const BATCHED_CLAIMS: &str = "claims = \"batched\"\n";
/// Routes that claim with one key per request, with the batched log, and with both.
const ROUTES: [&str; 3] = ["tow-slot", "tow-slot-log", "tow-slot-both"];

async fn start() -> Result<Deployment> {
    let cluster = Deployment::start(DeploymentConfig::default()).await?;
    cluster.configure().await?;
    let records = [
        Deployment::route_toml(ROUTES[0], 1, false, ""),
        Deployment::route_toml(ROUTES[1], 1, false, BATCHED_CLAIMS),
        Deployment::route_toml(ROUTES[2], 1, false, ""),
        Deployment::route_toml(ROUTES[2], 2, false, BATCHED_CLAIMS),
    ];
    for record in &records {
        cluster.put_record(record).await?;
    }
    cluster.wait_for_revision(6).await?;
    cluster.wait_for_members().await?;
    Ok(cluster)
}

async fn send_booking(cluster: &Deployment, host: usize, route: &str) -> Result<Answer> {
    cluster.query(host, route, &[KEY], BODY).await
}

/// Sends a booking to `version` of the route if the route has two, else to its newest.
async fn send_booking_with_version(
    cluster: &Deployment,
    host: usize,
    route: &str,
    version: &str,
) -> Result<Answer> {
    let versioned = [KEY, ("x-wharf-record-version", version)];
    let headers = if route == ROUTES[2] {
        &versioned[..]
    } else {
        &[KEY]
    };
    cluster.query(host, route, headers, BODY).await
}

/// Returns the highest number of executions on one shard, over all requests.
async fn max_runs_per_shard(cluster: &Deployment) -> Result<u64> {
    let mut by_shard: BTreeMap<String, u64> = BTreeMap::new();
    for (key, count) in cluster.counters().await?.runs {
        let shard = key.split('/').nth(1).unwrap_or_default().to_owned();
        *by_shard.entry(shard).or_default() += count;
    }
    Ok(by_shard.into_values().max().unwrap_or(0))
}

fn kind_and_ran(answer: &Answer) -> (String, String) {
    let body = answer.json();
    let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
    (text("kind"), text("ran"))
}

#[tokio::test]
async fn a_resend_through_another_host_returns_the_first_answer() -> Result<()> {
    let cluster = start().await?;
    for (route, runs) in ROUTES.into_iter().zip(1..) {
        let first = send_booking_with_version(&cluster, 0, route, "1").await?;
        assert!(first.status.is_success(), "{route}: {}", first.text);
        let second = send_booking_with_version(&cluster, 1, route, "2").await?;
        assert_eq!(second.headers["x-wharf-repeated"], "true", "{route}");
        assert_eq!(second.text, first.text, "{route}");
        let other_body = cluster.query(1, route, &[KEY], "{}").await?;
        assert_eq!(
            kind_and_ran(&other_body),
            ("idempotency-key-reused".to_owned(), "no".to_owned()),
            "{route}"
        );
        assert_eq!(max_runs_per_shard(&cluster).await?, runs, "{route}");
    }
    Ok(())
}

#[tokio::test]
async fn concurrent_resends_through_two_hosts_run_once() -> Result<()> {
    let cluster = start().await?;
    cluster
        .set_behaviour(&Behaviour {
            mean_ms: 100.0,
            ..Behaviour::default()
        })
        .await?;
    for (route, runs) in ROUTES.into_iter().zip(1..) {
        let versions = ["1", "2", "2", "1", "1", "2"].into_iter().enumerate();
        let requests =
            versions.map(|(i, version)| send_booking_with_version(&cluster, i % 2, route, version));
        let answers = join_all(requests).await;
        let answers = answers.into_iter().collect::<Result<Vec<_>>>()?;
        let fresh = answers
            .iter()
            .filter(|a| a.status.is_success() && !a.headers.contains_key("x-wharf-repeated"));
        assert_eq!(fresh.count(), 1, "{route}");
        for answer in answers.iter().filter(|a| !a.status.is_success()) {
            let expected = ("already-claimed".to_owned(), "unknown".to_owned());
            assert_eq!(kind_and_ran(answer), expected, "{route}");
        }
        assert_eq!(max_runs_per_shard(&cluster).await?, runs, "{route}");
    }
    Ok(())
}

#[tokio::test]
async fn a_booking_during_a_store_outage_is_refused_as_not_run() -> Result<()> {
    let cluster = start().await?;
    cluster
        .set_platform_faults(&Faults {
            down: true,
            ..Faults::default()
        })
        .await?;
    for route in ROUTES {
        let refused = send_booking(&cluster, 0, route).await?;
        let expected = ("store-down".to_owned(), "no".to_owned());
        assert_eq!(kind_and_ran(&refused), expected, "{route}");
    }
    assert_eq!(max_runs_per_shard(&cluster).await?, 0);
    cluster.set_platform_faults(&Faults::default()).await?;
    for (route, runs) in ROUTES.into_iter().zip(1..) {
        let booked = send_booking(&cluster, 1, route).await?;
        assert!(booked.status.is_success(), "{route}: {}", booked.text);
        assert_eq!(max_runs_per_shard(&cluster).await?, runs, "{route}");
    }
    Ok(())
}

#[tokio::test]
async fn a_lost_reply_to_a_claim_is_resolved() -> Result<()> {
    let cluster = start().await?;
    for (route, runs) in ROUTES.into_iter().zip(1..) {
        cluster
            .set_platform_faults(&Faults {
                lose_replies: 1,
                ..Faults::default()
            })
            .await?;
        let booked = send_booking(&cluster, 0, route).await?;
        assert!(booked.status.is_success(), "{route}: {}", booked.text);
        assert_eq!(max_runs_per_shard(&cluster).await?, runs, "{route}");
    }
    Ok(())
}

#[tokio::test]
async fn a_host_frozen_after_its_claim_causes_no_second_run() -> Result<()> {
    let cluster = start().await?;
    for route in ROUTES {
        let before = max_runs_per_shard(&cluster).await?;
        freeze_host_after_claim(&cluster, route).await?;
        assert!(max_runs_per_shard(&cluster).await? - before <= 1, "{route}");
    }
    Ok(())
}

async fn freeze_host_after_claim(cluster: &Deployment, route: &str) -> Result<()> {
    cluster
        .set_platform_faults(&Faults {
            lose_replies: 1,
            ..Faults::default()
        })
        .await?;
    let puts_before = cluster.platform_calls().await?.puts;
    let resend_while_frozen = async {
        // The store applies the claim at once; only the reply to the host is lost.
        for polls in 0..=MAX_POLLS {
            ensure!(polls < MAX_POLLS, "no claim was written");
            if cluster.platform_calls().await?.puts > puts_before {
                break;
            }
            sleep(Duration::from_millis(5)).await;
        }
        sleep(Duration::from_millis(200)).await;
        let pid = Pid::from_raw(cluster.hosts[0].process.pid().cast_signed());
        kill(pid, Signal::SIGSTOP)?;
        let resent = send_booking(cluster, 1, route).await;
        kill(pid, Signal::SIGCONT)?;
        resent
    };
    let (first, resent) = join!(send_booking(cluster, 0, route), resend_while_frozen);
    let expected = ("already-claimed".to_owned(), "unknown".to_owned());
    assert_eq!(kind_and_ran(&resent?), expected, "{route}");
    let first = first?;
    let again = send_booking(cluster, 1, route).await?;
    if first.status.is_success() {
        assert_eq!(again.text, first.text, "{route}");
    }
    Ok(())
}

/// Number of bookings sent while a host is frozen.
const BOOKINGS_WHILE_FROZEN: usize = 12;

#[tokio::test]
async fn a_frozen_claim_owner_causes_no_second_run() -> Result<()> {
    let cluster = start().await?;
    let route = ROUTES[1];
    // Freeze the host that does not call the upstreams.
    cluster.query(0, "shortfall", &[], "{}").await?;
    let (frozen, other) = match cluster.metrics(0).await?.contains("wharf_leaf_calls") {
        true => (1, 0),
        false => (0, 1),
    };
    let runs_before = max_runs_per_shard(&cluster).await?;
    let pid = Pid::from_raw(cluster.hosts[frozen].process.pid().cast_signed());
    kill(pid, Signal::SIGSTOP)?;
    let keys: Vec<_> = (0..BOOKINGS_WHILE_FROZEN)
        .map(|i| format!("slot-{i}"))
        .collect();
    let send_all = |host: usize| {
        let bookings = keys.iter().map(|key| {
            let headers = [("idempotency-key", key.as_str())];
            let cluster = &cluster;
            async move { cluster.query(host, route, &headers, BODY).await }
        });
        join_all(bookings)
    };
    let booked = send_all(other).await;
    kill(pid, Signal::SIGCONT)?;
    let booked = booked.into_iter().collect::<Result<Vec<_>>>()?;
    let repeated = send_all(frozen).await;
    for (first, repeated) in booked.iter().zip(repeated) {
        assert!(first.status.is_success(), "{}", first.text);
        assert_eq!(repeated?.text, first.text);
    }
    let runs = max_runs_per_shard(&cluster).await? - runs_before;
    assert_eq!(runs, BOOKINGS_WHILE_FROZEN as u64);
    let lost = cluster.metrics(other).await?.contains("owner-lost");
    assert!(lost, "the frozen host owned none of the claims");
    Ok(())
}

#[tokio::test]
async fn a_route_switched_to_batched_claims_keeps_its_claims() -> Result<()> {
    let cluster = start().await?;
    let route = ROUTES[0];
    let send_booking = |host, key| {
        let cluster = &cluster;
        async move {
            cluster
                .query(host, route, &[("idempotency-key", key)], BODY)
                .await
        }
    };
    let by_key = send_booking(0, "by-key").await?;
    cluster
        .put_record(&Deployment::route_toml(route, 2, false, BATCHED_CLAIMS))
        .await?;
    cluster.wait_for_revision(7).await?;
    let by_key_and_log = send_booking(1, "by-both").await?;
    // A claim made with a key is found while both versions are in force.
    assert_eq!(send_booking(1, "by-key").await?.text, by_key.text);
    let uri = "/v1/admin/records/tow-slot/1";
    let headers = [("x-wharf-operation-id", "retire-1")];
    let retired = cluster.admin(0, Method::DELETE, uri, &headers, "").await?;
    assert!(retired.status.is_success(), "{}", retired.text);
    cluster.wait_for_revision(8).await?;
    let by_log = send_booking(0, "by-log").await?;
    assert_eq!(send_booking(0, "by-both").await?.text, by_key_and_log.text);
    assert_eq!(send_booking(1, "by-log").await?.text, by_log.text);
    assert_eq!(max_runs_per_shard(&cluster).await?, 3);
    Ok(())
}

/// Number of bookings whose calls to the store are counted.
const COUNTED_BOOKINGS: u64 = 20;

#[tokio::test]
async fn a_booking_costs_two_store_writes_and_shares_a_lease() -> Result<()> {
    let cluster = start().await?;
    let before = cluster.platform_calls().await?;
    for i in 0..COUNTED_BOOKINGS {
        let key = format!("slot-{i}");
        let headers = [("idempotency-key", key.as_str())];
        let booked = cluster.query(0, "tow-slot", &headers, BODY).await?;
        assert!(booked.status.is_success(), "{}", booked.text);
    }
    let booked = cluster.platform_calls().await?;
    assert_eq!(booked.puts - before.puts, 2 * COUNTED_BOOKINGS);
    // Each host may read the head once in the meantime.
    assert!(booked.gets - before.gets <= cluster.hosts.len() as u64);
    assert_eq!(booked.leases - before.leases, 1);
    let headers = [("idempotency-key", "slot-0")];
    cluster.query(0, "tow-slot", &headers, BODY).await?;
    let resent = cluster.platform_calls().await?;
    assert_eq!(resent.puts - booked.puts, 1);
    assert!(resent.gets > booked.gets);
    Ok(())
}
