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

async fn start() -> Result<Path> {
    let path = Path::start(Layout::default()).await?;
    path.configure().await?;
    path.put_record(&Path::route_toml("tow-slot", 1, false, ""))
        .await?;
    path.wait_for_revision(3).await?;
    Ok(path)
}

async fn book(path: &Path, host: usize) -> Result<Answer> {
    path.query(host, "tow-slot", &[KEY], BODY).await
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
    let first = book(&path, 0).await?;
    assert!(first.status.is_success(), "{}", first.text);
    let second = book(&path, 1).await?;
    assert_eq!(second.text, first.text);
    assert_eq!(second.headers["x-wharf-repeated"], "true");
    let other_body = path.query(1, "tow-slot", &[KEY], "{}").await?;
    assert_eq!(
        kind_and_ran(&other_body),
        ("idempotency-key-reused".to_owned(), "no".to_owned())
    );
    assert_eq!(most_runs(&path).await?, 1);
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
    let answers = join!(
        book(&path, 0),
        book(&path, 1),
        book(&path, 0),
        book(&path, 1),
        book(&path, 0),
        book(&path, 1)
    );
    let answers = [
        answers.0?, answers.1?, answers.2?, answers.3?, answers.4?, answers.5?,
    ];
    let fresh = answers
        .iter()
        .filter(|a| a.status.is_success() && !a.headers.contains_key("x-wharf-repeated"));
    assert_eq!(fresh.count(), 1);
    for answer in answers.iter().filter(|a| !a.status.is_success()) {
        let wanted = ("already-claimed".to_owned(), "unknown".to_owned());
        assert_eq!(kind_and_ran(answer), wanted);
    }
    assert_eq!(most_runs(&path).await?, 1);
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
    let refused = book(&path, 0).await?;
    let wanted = ("store-down".to_owned(), "no".to_owned());
    assert_eq!(kind_and_ran(&refused), wanted);
    assert_eq!(most_runs(&path).await?, 0);
    path.set_platform_faults(&Faults::default()).await?;
    let booked = book(&path, 1).await?;
    assert!(booked.status.is_success(), "{}", booked.text);
    assert_eq!(most_runs(&path).await?, 1);
    Ok(())
}

#[tokio::test]
async fn a_lost_reply_to_the_claim_is_settled() -> Result<()> {
    let path = start().await?;
    path.set_platform_faults(&Faults {
        lose_replies: 1,
        ..Faults::default()
    })
    .await?;
    let booked = book(&path, 0).await?;
    assert!(booked.status.is_success(), "{}", booked.text);
    assert_eq!(most_runs(&path).await?, 1);
    Ok(())
}

#[tokio::test]
async fn a_host_frozen_after_its_claim_does_no_harm() -> Result<()> {
    let path = start().await?;
    path.set_platform_faults(&Faults {
        lose_replies: 1,
        ..Faults::default()
    })
    .await?;
    let resend_while_frozen = async {
        // The claim takes effect at once, its reply is what the winner waits for.
        for polls in 0..=MAX_POLLS {
            ensure!(polls < MAX_POLLS, "no claim is made");
            if path.platform_calls().await?.leases > 0 {
                break;
            }
            sleep(Duration::from_millis(5)).await;
        }
        sleep(Duration::from_millis(200)).await;
        let pid = Pid::from_raw(path.hosts[0].process.pid().cast_signed());
        kill(pid, Signal::SIGSTOP)?;
        let resent = book(&path, 1).await;
        kill(pid, Signal::SIGCONT)?;
        resent
    };
    let (first, resent) = join!(book(&path, 0), resend_while_frozen);
    let wanted = ("already-claimed".to_owned(), "unknown".to_owned());
    assert_eq!(kind_and_ran(&resent?), wanted);
    let first = first?;
    let again = book(&path, 1).await?;
    if first.status.is_success() {
        assert_eq!(again.text, first.text);
    }
    assert!(most_runs(&path).await? <= 1);
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
