//! Tests of the detection of requests that end servers.

use {
    link::{Admission, CrashLedger},
    std::time::{Duration, Instant},
};

const REQUEST: u64 = 7;

/// Reports crashes of `servers`, and returns the hold that they lead to.
fn crash(ledger: &mut CrashLedger, servers: &[&str], now: Instant) -> Option<Duration> {
    let hold = servers
        .iter()
        .filter_map(|server| ledger.on_crash(REQUEST, server, now))
        .last();
    if let Some(hold) = hold {
        ledger.hold(REQUEST, hold, now);
    }
    hold
}

#[test]
fn three_distinct_servers_are_needed_to_hold_a_request_back() {
    let (mut ledger, now) = (CrashLedger::default(), Instant::now());
    assert_eq!(crash(&mut ledger, &["a", "b", "a", "b"], now), None);
    assert_eq!(ledger.admit(REQUEST, || true, now), Admission::Run);
    let hold = crash(&mut ledger, &["c"], now).unwrap();
    assert_eq!(
        ledger.admit(REQUEST, || true, now),
        Admission::Held(hold),
        "no canary runs at once"
    );
    assert_eq!(ledger.admit(REQUEST + 1, || true, now), Admission::Run);
}

#[test]
fn an_answer_clears_a_request_and_an_old_crash_is_forgotten() {
    let (mut ledger, now) = (CrashLedger::default(), Instant::now());
    crash(&mut ledger, &["a", "b"], now);
    assert!(!ledger.on_answered(REQUEST));
    assert!(!ledger.on_server_lost(REQUEST), "it was harmless until now");
    assert!(ledger.on_server_lost(REQUEST));
    assert_eq!(crash(&mut ledger, &["c"], now), None);
    let later = now + Duration::from_secs(3_600);
    assert_eq!(crash(&mut ledger, &["d", "e"], later), None);
    assert!(crash(&mut ledger, &["f"], later).is_some());
    assert!(ledger.on_answered(REQUEST));
    assert_eq!(ledger.admit(REQUEST, || true, later), Admission::Run);
}

#[test]
fn canaries_are_few_and_run_on_the_owner_only() {
    let (mut ledger, now) = (CrashLedger::default(), Instant::now());
    let hold = crash(&mut ledger, &["a", "b", "c"], now).unwrap();
    let mut canaries = 0;
    for elapsed_ms in (0..hold.as_millis() as u64).step_by(100) {
        let at = now + Duration::from_millis(elapsed_ms);
        assert!(matches!(
            ledger.admit(REQUEST, || false, at),
            Admission::Held(_)
        ));
        canaries += usize::from(ledger.admit(REQUEST, || true, at) == Admission::Canary);
    }
    assert_eq!(canaries, 2);
}

#[test]
fn a_request_that_ends_another_server_after_a_hold_is_held_back_longer() {
    let (mut ledger, mut now) = (CrashLedger::default(), Instant::now());
    let first = crash(&mut ledger, &["a", "b", "c"], now).unwrap();
    now += first;
    assert_eq!(ledger.admit(REQUEST, || false, now), Admission::Run);
    let second = crash(&mut ledger, &["d"], now).unwrap();
    assert!(second > first, "{second:?} after {first:?}");
}

#[test]
fn the_ledger_is_bounded_and_drops_the_oldest_suspects_first() {
    let (mut ledger, now) = (CrashLedger::default(), Instant::now());
    let at = |request: u64| now + Duration::from_millis(request);
    for request in 0..10_000 {
        ledger.on_crash(request, "a", at(request));
        ledger.on_crash(request, "b", at(request));
    }
    let end = at(10_000);
    assert!(ledger.on_crash(9_999, "c", end).is_some());
    assert!(ledger.on_crash(0, "c", end).is_none());
}
