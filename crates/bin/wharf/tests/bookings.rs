//! Requests that run at most once, over the whole path as separate processes.
//!
//! The verdict is the number of executions that the upstreams have counted.

use {
    anyhow::{ensure, Result},
    fakes::{
        client::Answer,
        platform::Faults,
        process::{Layout, Path},
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
/// Number of looks before something awaited counts as missing.
const MAX_POLLS: u32 = 1_000;
const BODY: &str = r#"{"slot":17}"#;

/// Line of a route record whose claims share writes.
const BATCHED: &str = "claims = \"batched\"\n";
/// Routes that claim by keys, in the log, and in both.
const ROUTES: [&str; 3] = ["tow-slot", "tow-slot-log", "tow-slot-both"];

async fn start() -> Result<Path> {
    let path = Path::start(Layout::default()).await?;
    path.configure().await?;
    let records = [
        Path::route_toml(ROUTES[0], 1, false, ""),
        Path::route_toml(ROUTES[1], 1, false, BATCHED),
        Path::route_toml(ROUTES[2], 1, false, ""),
        Path::route_toml(ROUTES[2], 2, false, BATCHED),
    ];
    for record in &records {
        path.put_record(record).await?;
    }
    path.wait_for_revision(6).await?;
    path.wait_for_members().await?;
    Ok(path)
}

async fn book(path: &Path, host: usize, route: &str) -> Result<Answer> {
    path.query(host, route, &[KEY], BODY).await
}

/// Books on a version of the route, if it has that one, or on its newest.
async fn book_version(path: &Path, host: usize, route: &str, version: &str) -> Result<Answer> {
    let versioned = [KEY, ("x-wharf-record-version", version)];
    let headers = if route == ROUTES[2] {
        &versioned[..]
    } else {
        &[KEY]
    };
    path.query(host, route, headers, BODY).await
}

/// Returns the most executions that any shard has seen, over all requests.
async fn most_runs(path: &Path) -> Result<u64> {
    let mut by_shard: BTreeMap<String, u64> = BTreeMap::new();
    for (key, count) in path.seen().await?.runs {
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
async fn a_resend_through_another_host_gets_the_first_answer() -> Result<()> {
    let path = start().await?;
    for (route, runs) in ROUTES.into_iter().zip(1..) {
        let first = book_version(&path, 0, route, "1").await?;
        assert!(first.status.is_success(), "{route}: {}", first.text);
        let second = book_version(&path, 1, route, "2").await?;
        assert_eq!(second.headers["x-wharf-repeated"], "true", "{route}");
        assert_eq!(second.text, first.text, "{route}");
        let other_body = path.query(1, route, &[KEY], "{}").await?;
        assert_eq!(
            kind_and_ran(&other_body),
            ("idempotency-key-reused".to_owned(), "no".to_owned()),
            "{route}"
        );
        assert_eq!(most_runs(&path).await?, runs, "{route}");
    }
    Ok(())
}

#[tokio::test]
async fn sendings_at_once_through_two_hosts_run_once() -> Result<()> {
    let path = start().await?;
    path.set_behaviour(&Behaviour {
        mean_ms: 100.0,
        ..Behaviour::default()
    })
    .await?;
    for (route, runs) in ROUTES.into_iter().zip(1..) {
        let versions = ["1", "2", "2", "1", "1", "2"].into_iter().enumerate();
        let sendings = versions.map(|(i, version)| book_version(&path, i % 2, route, version));
        let answers = join_all(sendings).await;
        let answers = answers.into_iter().collect::<Result<Vec<_>>>()?;
        let fresh = answers
            .iter()
            .filter(|a| a.status.is_success() && !a.headers.contains_key("x-wharf-repeated"));
        assert_eq!(fresh.count(), 1, "{route}");
        for answer in answers.iter().filter(|a| !a.status.is_success()) {
            let wanted = ("already-claimed".to_owned(), "unknown".to_owned());
            assert_eq!(kind_and_ran(answer), wanted, "{route}");
        }
        assert_eq!(most_runs(&path).await?, runs, "{route}");
    }
    Ok(())
}

#[tokio::test]
async fn a_booking_during_an_outage_of_the_store_is_refused_as_not_run() -> Result<()> {
    let path = start().await?;
    path.set_platform_faults(&Faults {
        down: true,
        ..Faults::default()
    })
    .await?;
    for route in ROUTES {
        let refused = book(&path, 0, route).await?;
        let wanted = ("store-down".to_owned(), "no".to_owned());
        assert_eq!(kind_and_ran(&refused), wanted, "{route}");
    }
    assert_eq!(most_runs(&path).await?, 0);
    path.set_platform_faults(&Faults::default()).await?;
    for (route, runs) in ROUTES.into_iter().zip(1..) {
        let booked = book(&path, 1, route).await?;
        assert!(booked.status.is_success(), "{route}: {}", booked.text);
        assert_eq!(most_runs(&path).await?, runs, "{route}");
    }
    Ok(())
}

#[tokio::test]
async fn a_lost_reply_to_the_claim_is_settled() -> Result<()> {
    let path = start().await?;
    for (route, runs) in ROUTES.into_iter().zip(1..) {
        path.set_platform_faults(&Faults {
            lose_replies: 1,
            ..Faults::default()
        })
        .await?;
        let booked = book(&path, 0, route).await?;
        assert!(booked.status.is_success(), "{route}: {}", booked.text);
        assert_eq!(most_runs(&path).await?, runs, "{route}");
    }
    Ok(())
}

#[tokio::test]
async fn a_host_frozen_after_its_claim_does_no_harm() -> Result<()> {
    let path = start().await?;
    for route in ROUTES {
        let before = most_runs(&path).await?;
        freeze_after_claim(&path, route).await?;
        assert!(most_runs(&path).await? - before <= 1, "{route}");
    }
    Ok(())
}

async fn freeze_after_claim(path: &Path, route: &str) -> Result<()> {
    path.set_platform_faults(&Faults {
        lose_replies: 1,
        ..Faults::default()
    })
    .await?;
    let puts_before = path.platform_calls().await?.puts;
    let resend_while_frozen = async {
        // The claim takes effect at once, its reply is what the winner waits for.
        for polls in 0..=MAX_POLLS {
            ensure!(polls < MAX_POLLS, "no claim is made");
            if path.platform_calls().await?.puts > puts_before {
                break;
            }
            sleep(Duration::from_millis(5)).await;
        }
        sleep(Duration::from_millis(200)).await;
        let pid = Pid::from_raw(path.hosts[0].process.pid().cast_signed());
        kill(pid, Signal::SIGSTOP)?;
        let resent = book(path, 1, route).await;
        kill(pid, Signal::SIGCONT)?;
        resent
    };
    let (first, resent) = join!(book(path, 0, route), resend_while_frozen);
    let wanted = ("already-claimed".to_owned(), "unknown".to_owned());
    assert_eq!(kind_and_ran(&resent?), wanted, "{route}");
    let first = first?;
    let again = book(path, 1, route).await?;
    if first.status.is_success() {
        assert_eq!(again.text, first.text, "{route}");
    }
    Ok(())
}

/// Bookings made while a host is frozen.
const WHILE_FROZEN: usize = 12;

#[tokio::test]
async fn a_frozen_owner_of_claims_does_no_harm() -> Result<()> {
    let path = start().await?;
    let route = ROUTES[1];
    // The host that calls the upstreams must not be the frozen one.
    path.query(0, "shortfall", &[], "{}").await?;
    let (frozen, other) = match path.metrics(0).await?.contains("wharf_leaf_calls") {
        true => (1, 0),
        false => (0, 1),
    };
    let runs_before = most_runs(&path).await?;
    let pid = Pid::from_raw(path.hosts[frozen].process.pid().cast_signed());
    kill(pid, Signal::SIGSTOP)?;
    let keys: Vec<_> = (0..WHILE_FROZEN).map(|i| format!("slot-{i}")).collect();
    let through = |host: usize| {
        let books = keys.iter().map(|key| {
            let headers = [("idempotency-key", key.as_str())];
            let path = &path;
            async move { path.query(host, route, &headers, BODY).await }
        });
        join_all(books)
    };
    let booked = through(other).await;
    kill(pid, Signal::SIGCONT)?;
    let booked = booked.into_iter().collect::<Result<Vec<_>>>()?;
    let repeated = through(frozen).await;
    for (first, repeated) in booked.iter().zip(repeated) {
        assert!(first.status.is_success(), "{}", first.text);
        assert_eq!(repeated?.text, first.text);
    }
    let runs = most_runs(&path).await? - runs_before;
    assert_eq!(runs, WHILE_FROZEN as u64);
    let lost = path.metrics(other).await?.contains("owner-lost");
    assert!(lost, "the frozen host owned no claim");
    Ok(())
}

#[tokio::test]
async fn a_route_that_moves_to_the_log_keeps_its_claims() -> Result<()> {
    let path = start().await?;
    let route = ROUTES[0];
    let book = |host, key| {
        let path = &path;
        async move {
            path.query(host, route, &[("idempotency-key", key)], BODY)
                .await
        }
    };
    let by_key = book(0, "by-key").await?;
    path.put_record(&Path::route_toml(route, 2, false, BATCHED))
        .await?;
    path.wait_for_revision(7).await?;
    let by_both = book(1, "by-both").await?;
    // What was claimed by a key is found while both ways are in force.
    assert_eq!(book(1, "by-key").await?.text, by_key.text);
    let uri = "/v1/admin/records/tow-slot/1";
    let headers = [("x-wharf-operation-id", "retire-1")];
    let retired = path.admin(0, Method::DELETE, uri, &headers, "").await?;
    assert!(retired.status.is_success(), "{}", retired.text);
    path.wait_for_revision(8).await?;
    let by_log = book(0, "by-log").await?;
    assert_eq!(book(0, "by-both").await?.text, by_both.text);
    assert_eq!(book(1, "by-log").await?.text, by_log.text);
    assert_eq!(most_runs(&path).await?, 3);
    Ok(())
}

/// Bookings whose calls to the store are counted.
const COUNTED: u64 = 20;

#[tokio::test]
async fn a_booking_costs_two_writes_and_a_share_of_a_lease() -> Result<()> {
    let path = start().await?;
    let before = path.platform_calls().await?;
    for i in 0..COUNTED {
        let key = format!("slot-{i}");
        let headers = [("idempotency-key", key.as_str())];
        let booked = path.query(0, "tow-slot", &headers, BODY).await?;
        assert!(booked.status.is_success(), "{}", booked.text);
    }
    let booked = path.platform_calls().await?;
    assert_eq!(booked.puts - before.puts, 2 * COUNTED);
    // Each host may look at the head once meanwhile.
    assert!(booked.gets - before.gets <= path.hosts.len() as u64);
    assert_eq!(booked.leases - before.leases, 1);
    let headers = [("idempotency-key", "slot-0")];
    path.query(0, "tow-slot", &headers, BODY).await?;
    let resent = path.platform_calls().await?;
    assert_eq!(resent.puts - booked.puts, 1);
    assert!(resent.gets > booked.gets);
    Ok(())
}
