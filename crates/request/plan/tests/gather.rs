//! Decisions of a single query: snapshot, restart, coverage, reply matching, retries and hedges.

mod common;

use {
    common::*,
    kind::Ran,
    plan::{Cause, Event, LeafCall, Reason, ServiceState},
    record::{Coverage, Hedge, IncompletePolicy},
    std::{sync::Arc, time::Instant},
};

#[test]
fn all_shards_answer_from_one_snapshot() {
    let start = Instant::now();
    let mut gather = gather(&service(1, &[(1, 4), (2, 3)]), start, true);
    let calls = calls(&gather.start(&mut InOrder, start));
    assert_eq!(calls.len(), 3, "the newest index has three shards");
    let mut answer = None;
    for call in &calls {
        assert_eq!((call.cause, call.index_version), (Cause::First, 2));
        assert!(
            call.time_left < ms(1_000),
            "the network round trip was not subtracted"
        );
        answer = finished(gather.on_event(replied(call), &mut InOrder, start + ms(5)));
    }
    let answer = answer.unwrap();
    assert_eq!(answer.version, 2);
    assert_eq!(answer.coverage.covered, [0, 1, 2]);
    assert!(answer.coverage.is_complete());
    assert_eq!(answer.ran, Ran::Yes);
    assert_eq!(gather.next_wake(), None);
}

#[test]
fn gone_version_is_retried_on_the_other_replica_first() {
    let start = Instant::now();
    let mut gather = gather(&service(1, &[(1, 1), (2, 1)]), start, true);
    let first = calls(&gather.start(&mut InOrder, start));
    let second = calls(&gather.on_event(version_gone(&first[0], 1), &mut InOrder, start));
    assert_eq!(second[0].cause, Cause::Retry);
    assert_eq!(second[0].index_version, 2);
    assert_ne!(second[0].server, first[0].server);
    let answer = finished(gather.on_event(replied(&second[0]), &mut InOrder, start)).unwrap();
    assert_eq!((answer.version, answer.coverage.is_complete()), (2, true));
}

/// Fails the calls to both servers of the call's shard because they no longer hold its version.
fn report_version_gone(
    gather: &mut plan::Gather<Rows>,
    call: &LeafCall,
    newest: u64,
    now: Instant,
) -> Vec<plan::Action<Rows>> {
    let retry = calls(&gather.on_event(version_gone(call, newest), &mut InOrder, now));
    assert_eq!(retry.len(), 1);
    gather.on_event(version_gone(&retry[0], newest), &mut InOrder, now)
}

#[test]
fn restart_uses_the_other_partition_map_and_drops_late_replies() {
    let start = Instant::now();
    let mut gather = gather(&service(1, &[(1, 4)]), start, true);
    let first = calls(&gather.start(&mut InOrder, start));
    gather.on_event(replied(&first[0]), &mut InOrder, start);
    // The pin comes from an older record; the newest record lists repartitioned indexes.
    gather.learn(service(2, &[(2, 2), (3, 6)]));
    let actions = report_version_gone(&mut gather, &first[1], 2, start);
    let second = calls(&actions);
    assert_eq!(second.len(), 2, "the servers hold version 2, not 3");
    assert!(second
        .iter()
        .all(|c| c.cause == Cause::Restart && c.index_version == 2));
    assert_eq!(
        cancelled(&actions),
        [first[2].attempt_id, first[3].attempt_id]
    );
    for late in &first {
        let actions = gather.on_event(replied(late), &mut InOrder, start);
        assert!(
            actions.is_empty(),
            "accepted a reply for the former pin: {actions:?}"
        );
    }
    gather.on_event(replied(&second[0]), &mut InOrder, start);
    let answer = finished(gather.on_event(replied(&second[1]), &mut InOrder, start)).unwrap();
    assert_eq!(answer.version, 2);
    assert_eq!(answer.coverage.covered, [0, 1]);
    let rows: Vec<_> = answer.rows.iter().map(|rows| rows.rows).collect();
    assert_eq!(rows, [second[0].attempt_id, second[1].attempt_id]);
}

#[test]
fn gone_version_without_a_newer_one_is_reported_missing_with_zones() {
    let start = Instant::now();
    let mut gather = gather(&service(1, &[(1, 2)]), start, true);
    let first = calls(&gather.start(&mut InOrder, start));
    assert!(finished(report_version_gone(&mut gather, &first[1], 2, start)).is_none());
    let answer = finished(gather.on_event(replied(&first[0]), &mut InOrder, start)).unwrap();
    assert_eq!(answer.coverage.covered, [0]);
    let missing = &answer.coverage.missing[0];
    assert_eq!((missing.shard, missing.reason), (1, Reason::VersionGone));
    assert_eq!(missing.zones, ["zone-0", "zone-1"]);
}

#[test]
fn pin_newer_than_the_servers_falls_back_to_the_version_they_hold() {
    let start = Instant::now();
    let mut gather = gather(&service(1, &[(1, 2), (2, 2)]), start, true);
    let first = calls(&gather.start(&mut InOrder, start));
    let second = calls(&report_version_gone(&mut gather, &first[0], 1, start));
    assert!(second.iter().all(|call| call.index_version == 1));
    // No version is pinned twice.
    let third = report_version_gone(&mut gather, &second[0], 2, start);
    assert!(calls(&third).is_empty());
}

#[test]
fn no_restart_close_to_the_deadline() {
    let start = Instant::now();
    let mut gather = gather(&service(1, &[(1, 1)]), start, true);
    let first = calls(&gather.start(&mut InOrder, start));
    gather.learn(service(2, &[(2, 1)]));
    let now = start + ms(999);
    let answer = finished(gather.on_event(version_gone(&first[0], 2), &mut InOrder, now)).unwrap();
    assert_eq!(answer.coverage.missing[0].reason, Reason::VersionGone);
}

#[test]
fn non_repeatable_request_restarts_only_if_nothing_ran() {
    let start = Instant::now();
    struct Case {
        name: &'static str,
        other_event: fn(&LeafCall) -> Event<Rows>,
        is_restarted: bool,
    }
    let cases = [
        Case {
            name: "the other shard ran",
            other_event: replied,
            is_restarted: false,
        },
        Case {
            name: "the other shard may have run",
            other_event: |call| failed(call, Reason::Lost, Ran::Unknown),
            is_restarted: false,
        },
        Case {
            name: "the other shard refused too",
            other_event: |call| version_gone(call, 2),
            is_restarted: true,
        },
    ];
    for case in cases {
        let mut gather = gather(&service(1, &[(1, 2)]), start, false);
        let first = calls(&gather.start(&mut InOrder, start));
        gather.learn(service(2, &[(2, 2)]));
        let actions = report_version_gone(&mut gather, &first[0], 2, start);
        assert!(
            calls(&actions).is_empty(),
            "{}: restarted although a call is open",
            case.name
        );
        let mut actions = gather.on_event((case.other_event)(&first[1]), &mut InOrder, start);
        if let [retry] = calls(&actions).as_slice() {
            if retry.cause == Cause::Retry {
                actions = gather.on_event((case.other_event)(retry), &mut InOrder, start);
            }
        }
        let restarts = calls(&actions);
        let is_restarted = restarts.iter().any(|call| call.cause == Cause::Restart);
        assert_eq!(is_restarted, case.is_restarted, "{}", case.name);
    }
}

#[test]
fn non_repeatable_request_is_retried_only_if_it_did_not_run() {
    let start = Instant::now();
    let cases = [
        (Reason::Lost, Ran::Unknown, 0),
        (Reason::Lost, Ran::Yes, 0),
        (Reason::Mismatch, Ran::Unknown, 0),
        (Reason::Shed, Ran::No, 1),
        (Reason::Unreachable, Ran::No, 1),
        (Reason::Quarantined, Ran::No, 0),
    ];
    for (reason, ran, retries) in cases {
        let mut gather = gather(&service(1, &[(1, 1)]), start, false);
        let first = calls(&gather.start(&mut InOrder, start));
        let actions = gather.on_event(failed(&first[0], reason, ran), &mut InOrder, start);
        assert_eq!(calls(&actions).len(), retries, "{reason:?} {ran:?}");
    }
}

#[test]
fn retry_of_a_failed_probe_needs_no_budget() {
    let start = Instant::now();
    // Far more failures than the retries that the first calls earn.
    for (is_probe, all_are_retried) in [(true, true), (false, false)] {
        let group = Arc::<ServiceState>::default();
        let mut upstreams = FirstServerOnProbe(is_probe);
        let mut retries = 0;
        for _ in 0..100 {
            let gather = gather(&service(1, &[(1, 1)]), start, true);
            let mut gather = gather.with_service_state(Arc::clone(&group));
            let first = calls(&gather.start(&mut upstreams, start));
            let refused = failed(&first[0], Reason::Shed, Ran::No);
            retries += calls(&gather.on_event(refused, &mut upstreams, start)).len();
        }
        assert_eq!(retries == 100, all_are_retried, "{retries} retries");
    }
}

#[test]
fn reply_with_a_mismatched_id_is_rejected() {
    let start = Instant::now();
    let alterations: [fn(&mut plan::LeafReply<Rows>); 4] = [
        |reply| reply.request_id += 1,
        |reply| reply.attempt_id += 1,
        |reply| reply.shard += 1,
        |reply| reply.index_version += 1,
    ];
    for (i, alter) in alterations.iter().enumerate() {
        let mut gather = gather(&service(1, &[(1, 1)]), start, false);
        let first = calls(&gather.start(&mut InOrder, start));
        let mut mismatched = reply(&first[0]);
        alter(&mut mismatched);
        let event = Event::Replied(first[0].attempt_id, mismatched);
        let answer = finished(gather.on_event(event, &mut InOrder, start)).unwrap();
        assert_eq!(answer.coverage.missing[0].reason, Reason::Mismatch, "{i}");
        assert_eq!((answer.ran, answer.rows.len()), (Ran::Unknown, 0), "{i}");
    }
}

#[test]
fn early_answer_requires_minimum_share_and_elapsed_time() {
    let start = Instant::now();
    let coverage = Coverage {
        min_share: 0.5,
        when_short: IncompletePolicy::AnswerAfter(ms(50)),
    };
    let mut gather = gather(&service(1, &[(1, 4)]), start, true).with_coverage(coverage);
    let first = calls(&gather.start(&mut InOrder, start));
    gather.on_event(replied(&first[0]), &mut InOrder, start + ms(5));
    let actions = gather.on_event(Event::Wake, &mut InOrder, start + ms(60));
    assert!(actions.is_empty(), "only a quarter is covered");
    assert_eq!(gather.next_wake(), Some(start + ms(1_000)));
    let actions = gather.on_event(replied(&first[1]), &mut InOrder, start + ms(70));
    assert_eq!(cancelled(&actions).len(), 2);
    let answer = finished(actions).unwrap();
    assert_eq!(answer.coverage.covered, [0, 1]);
    let reasons: Vec<_> = answer.coverage.missing.iter().map(|m| m.reason).collect();
    assert_eq!(reasons, [Reason::NotAwaited; 2]);
}

#[test]
fn next_wake_is_the_early_time_or_the_deadline() {
    let start = Instant::now();
    for (when_short, wake_ms) in [
        (IncompletePolicy::AnswerAfter(ms(50)), 50),
        (IncompletePolicy::Wait, 1_000),
    ] {
        let coverage = Coverage {
            min_share: 0.5,
            when_short,
        };
        let mut gather = gather(&service(1, &[(1, 2)]), start, true).with_coverage(coverage);
        let first = calls(&gather.start(&mut InOrder, start));
        gather.on_event(replied(&first[0]), &mut InOrder, start + ms(5));
        assert_eq!(gather.next_wake(), Some(start + ms(wake_ms)));
        let now = start + ms(wake_ms);
        let answer = finished(gather.on_event(Event::Wake, &mut InOrder, now)).unwrap();
        assert_eq!(answer.coverage.missing.len(), 1);
    }
}

#[test]
fn query_past_its_deadline_makes_no_calls() {
    let start = Instant::now();
    let mut gather = gather(&service(1, &[(1, 2)]), start, true);
    let actions = gather.start(&mut InOrder, start + ms(1_000));
    assert!(calls(&actions).is_empty());
    assert_eq!(finished(actions).unwrap().ran, Ran::No);
}

#[test]
fn slow_shard_is_hedged_once_and_the_slower_call_is_cancelled() {
    let start = Instant::now();
    let group = trained_group(start);
    let mut gather = gather(&service(1, &[(1, 2)]), start, true)
        .with_service_state(group)
        .with_hedge(HEDGE);
    let first = calls(&gather.start(&mut InOrder, start));
    gather.on_event(replied(&first[0]), &mut InOrder, start + ms(4));
    let hedge_at = gather.next_wake().unwrap();
    assert_eq!(hedge_at, start + ms(10));
    let hedges = calls(&gather.on_event(Event::Wake, &mut InOrder, hedge_at));
    assert_eq!(hedges.len(), 1);
    assert_eq!((hedges[0].cause, hedges[0].shard), (Cause::Hedge, 1));
    assert_ne!(hedges[0].server, first[1].server);
    let actions = gather.on_event(replied(&hedges[0]), &mut InOrder, hedge_at + ms(2));
    assert_eq!(cancelled(&actions), [first[1].attempt_id]);
    assert!(finished(actions).unwrap().coverage.is_complete());
}

#[test]
fn no_hedge_if_not_repeatable_disabled_or_overloaded() {
    let start = Instant::now();
    struct Case {
        name: &'static str,
        is_repeatable: bool,
        hedge: Hedge,
        is_shedding: bool,
    }
    let cases = [
        Case {
            name: "non-repeatable",
            is_repeatable: false,
            hedge: HEDGE,
            is_shedding: false,
        },
        Case {
            name: "off in the record",
            is_repeatable: true,
            hedge: Hedge {
                quantile: 0.0,
                ..HEDGE
            },
            is_shedding: false,
        },
        Case {
            name: "a server sheds",
            is_repeatable: true,
            hedge: HEDGE,
            is_shedding: true,
        },
    ];
    for case in cases {
        let mut gather = gather(&service(1, &[(1, 2)]), start, case.is_repeatable)
            .with_service_state(trained_group(start))
            .with_hedge(case.hedge);
        let first = calls(&gather.start(&mut InOrder, start));
        if case.is_shedding {
            let shed = failed(&first[0], Reason::Shed, Ran::No);
            gather.on_event(shed, &mut InOrder, start);
        }
        for wait_ms in [10, 20, 40] {
            let actions = gather.on_event(Event::Wake, &mut InOrder, start + ms(wait_ms));
            assert!(actions.is_empty(), "{}: {actions:?}", case.name);
        }
    }
}
