//! Tests of the detection of requests that end servers.

use {
    link::{Admission, CrashLedger, HoldState},
    std::time::{Duration, Instant},
};

const REQUEST: u64 = 7;

/// Servers that a request may reach after it has ended three: the platform's bound.
const MAX_LATE_ARRIVALS: usize = 3;
const DAY: Duration = Duration::from_secs(24 * 3_600);

/// Reports crashes of `servers`, and returns the hold that they lead to.
fn crash(ledger: &mut CrashLedger, servers: &[&str], now: Instant) -> Option<HoldState> {
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
    assert_eq!((hold.left, hold.canaries), (DAY, 0));
    assert_eq!(
        ledger.admit(REQUEST, || true, now),
        Admission::Held(Duration::from_secs(1)),
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
fn a_request_runs_everywhere_once_its_hold_has_ended() {
    let (mut ledger, now) = (CrashLedger::default(), Instant::now());
    crash(&mut ledger, &["a", "b", "c"], now).unwrap();
    assert_eq!(ledger.admit(REQUEST, || false, now + DAY), Admission::Run);
}

/// Sends the request every 100 ms for two minutes and then every minute for a day, to
/// the owner and another host in turn. Returns the times of its canaries.
fn canary_times(ledger: &mut CrashLedger, since: Instant) -> Vec<Duration> {
    let frequent = (0..1_200).map(|tenth| Duration::from_millis(tenth * 100));
    let seldom = (2..24 * 60).map(|minute| Duration::from_secs(minute * 60));
    let mut times = Vec::new();
    for after in frequent.chain(seldom) {
        let at = since + after;
        let other = ledger.admit(REQUEST, || false, at);
        assert!(matches!(other, Admission::Held(_)), "{after:?}: {other:?}");
        match ledger.admit(REQUEST, || true, at) {
            Admission::Canary => times.push(after),
            Admission::Held(_) => {}
            Admission::Run => panic!("it runs after {after:?}"),
        }
    }
    times
}

#[test]
fn canaries_are_few_and_run_on_the_owner_only() {
    let (mut ledger, now) = (CrashLedger::default(), Instant::now());
    crash(&mut ledger, &["a", "b", "c"], now).unwrap();
    let times = canary_times(&mut ledger, now);
    let first = |bound| {
        times
            .iter()
            .filter(|time| **time < Duration::from_secs(bound))
            .count()
    };
    assert_eq!(first(60), 2, "{times:?}");
    assert_eq!(times.len(), 3, "{times:?}");
}

// Guards against a bound that begins anew with each hold, restart or change of owner.
#[test]
fn a_request_that_keeps_ending_servers_reaches_three_more_whoever_owns_it() {
    let (mut ledger, now) = (CrashLedger::default(), Instant::now());
    let mut state = crash(&mut ledger, &["a", "b", "c"], now).unwrap();
    let mut canaries = 0;
    for restart in 0..8 {
        let at = now + Duration::from_secs(700 * restart);
        let mut ledger = CrashLedger::default();
        ledger.hold(REQUEST, state, at);
        for second in 0..700 {
            let at = at + Duration::from_secs(second);
            if ledger.admit(REQUEST, || true, at) == Admission::Canary {
                canaries += 1;
                assert_eq!(ledger.on_crash(REQUEST, "d", at), None);
                // What the owner has written to the store.
                state = ledger.hold_state(REQUEST, at).unwrap();
            }
        }
    }
    assert_eq!(canaries, MAX_LATE_ARRIVALS);
}

#[test]
fn callers_are_told_when_a_request_may_run_again_and_it_counts_anew_after_a_day() {
    let (mut ledger, now) = (CrashLedger::default(), Instant::now());
    crash(&mut ledger, &["a", "b", "c"], now).unwrap();
    let mut at = now;
    for _ in 0..MAX_LATE_ARRIVALS {
        let wait = ledger.held_for(REQUEST, at).unwrap();
        assert_eq!(ledger.admit(REQUEST, || true, at), Admission::Held(wait));
        at += wait;
        assert_eq!(ledger.admit(REQUEST, || true, at), Admission::Canary);
    }
    assert_eq!(ledger.held_for(REQUEST, at), Some(now + DAY - at));
    // It may also be held back again then, without having come to this host.
    assert!(crash(&mut ledger, &["d", "e", "f"], now + DAY).is_some());
    let again = ledger.held_for(REQUEST, now + DAY);
    assert_eq!(again, Some(Duration::from_secs(1)));
}

// Guards against a harmless request that is held back for a day because its canaries
// were refused by full servers.
#[test]
fn a_canary_that_no_server_has_run_is_tried_again_after_a_pause() {
    let (mut ledger, now) = (CrashLedger::default(), Instant::now());
    crash(&mut ledger, &["a", "b", "c"], now).unwrap();
    let mut at = now + Duration::from_secs(1);
    for _ in 0..20 {
        assert_eq!(ledger.admit(REQUEST, || true, at), Admission::Canary);
        let state = ledger.on_canary_not_run(REQUEST, at).unwrap();
        assert_eq!(state.canaries, 0);
        ledger.on_record(REQUEST, state, at);
        let early = ledger.admit(REQUEST, || true, at + Duration::from_secs(4));
        assert!(matches!(early, Admission::Held(_)), "{early:?}");
        at += Duration::from_secs(5);
    }
}

#[test]
fn requests_that_are_held_back_are_bounded_too() {
    let (mut ledger, now) = (CrashLedger::default(), Instant::now());
    let state = HoldState {
        left: DAY,
        canaries: 0,
    };
    for request in 0..10_000 {
        ledger.hold(request, state, now + Duration::from_millis(request));
    }
    let held = ledger.held(now + Duration::from_secs(20));
    assert!(
        held.len() <= 4_096 && held.contains(&9_999),
        "{}",
        held.len()
    );
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
