//! Tests of the query state machine, event by event.

mod common;

use {
    common::{calls, is_finish, ms, policy, started, Servers},
    kind::Ran,
    plan::Reason,
    scatter::{Cause, Event, Failure, QueryPolicy},
    std::time::Instant,
};

fn failure(reason: Reason, ran: Ran, reached_server: bool) -> Failure {
    Failure {
        reason,
        ran,
        reached_server,
    }
}

#[test]
fn complete_answer_is_sent_at_once() {
    let (now, mut servers) = (Instant::now(), Servers::default());
    let (mut query, first) = started(policy(now), 4, &mut servers, now);
    assert_eq!(first.len(), 4);
    for call in &first[..3] {
        let event = Event::Replied(vec![call.attempt], "part");
        assert!(query.on_event(event, &mut servers, now + ms(9)).is_empty());
    }
    let event = Event::Replied(vec![first[3].attempt], "part");
    assert!(is_finish(&query.on_event(
        event,
        &mut servers,
        now + ms(10)
    )));
    let outcome = query.into_outcome();
    assert!(outcome.meets_min_share && outcome.missing.is_empty());
    assert_eq!(outcome.replies.len(), 4);
}

#[test]
fn query_answers_on_time_once_min_share_is_covered() {
    // Covered parts of 4, time of their replies, time of the end, whether they are enough.
    let cases = [
        (3, 50, 100, true),
        (3, 100, 100, true),
        (3, 104, 104, true),
        (3, 120, 200, true),
        (2, 50, 500, false),
        (0, 0, 500, false),
    ];
    for (covered, replied_ms, ends_ms, meets_min_share) in cases {
        let now = Instant::now();
        let mut servers = Servers {
            extras: 0,
            ..Servers::default()
        };
        let (mut query, first) = started(policy(now), 4, &mut servers, now);
        let mut ended_ms = None;
        for call in first.iter().take(covered) {
            let event = Event::Replied(vec![call.attempt], "part");
            if is_finish(&query.on_event(event, &mut servers, now + ms(replied_ms))) {
                ended_ms = Some(replied_ms);
            }
        }
        while ended_ms.is_none() {
            let wake = query.next_wake().unwrap().max(now + ms(replied_ms));
            if is_finish(&query.on_event(Event::Wake, &mut servers, wake)) {
                ended_ms = Some(u64::try_from((wake - now).as_millis()).unwrap());
            }
        }
        assert_eq!(
            ended_ms,
            Some(ends_ms),
            "{covered} parts after {replied_ms} ms"
        );
        assert_eq!(query.into_outcome().meets_min_share, meets_min_share);
    }
}

#[test]
fn late_call_is_hedged_once_and_only_if_useful() {
    struct Case {
        name: &'static str,
        servers: Servers,
        policy: fn(QueryPolicy) -> QueryPolicy,
        hedges: usize,
    }
    let unchanged: fn(QueryPolicy) -> QueryPolicy = |policy| policy;
    let cases = [
        Case {
            name: "plain",
            servers: Servers::default(),
            policy: unchanged,
            hedges: 4,
        },
        Case {
            name: "no other server",
            servers: Servers {
                expected_ms: vec![10],
                ..Servers::default()
            },
            policy: unchanged,
            hedges: 0,
        },
        Case {
            name: "the other server is busy",
            servers: Servers {
                is_free: false,
                ..Servers::default()
            },
            policy: unchanged,
            hedges: 0,
        },
        Case {
            name: "the other server answers too late",
            servers: Servers {
                expected_ms: vec![10, 90],
                ..Servers::default()
            },
            policy: unchanged,
            hedges: 0,
        },
        Case {
            name: "the budget of the service is spent",
            servers: Servers {
                extras: 2,
                ..Servers::default()
            },
            policy: unchanged,
            hedges: 2,
        },
        Case {
            name: "not repeatable",
            servers: Servers::default(),
            policy: |policy| QueryPolicy {
                is_repeatable: false,
                ..policy
            },
            hedges: 0,
        },
        Case {
            name: "one attempt",
            servers: Servers::default(),
            policy: |policy| QueryPolicy {
                max_attempts: 1,
                ..policy
            },
            hedges: 0,
        },
        Case {
            name: "a relay may have reached all attempts",
            servers: Servers {
                max_servers: 2,
                ..Servers::default()
            },
            policy: unchanged,
            hedges: 0,
        },
    ];
    for mut case in cases {
        let now = Instant::now();
        let policy = (case.policy)(policy(now));
        let (mut query, _) = started(policy, 4, &mut case.servers, now);
        let mut hedges = 0;
        // Up to the answer time; hedges after it are limited by the deadline instead.
        for step_ms in 0..95 {
            let at = now + ms(step_ms);
            if query.next_wake().is_some_and(|wake| wake <= at) {
                let actions = query.on_event(Event::Wake, &mut case.servers, at);
                hedges += calls(&actions).len();
            }
        }
        assert_eq!(hedges, case.hedges, "{}", case.name);
    }
}

#[test]
fn failed_call_is_retried_if_it_may_run_again() {
    let lost = failure(Reason::Lost, Ran::Unknown, true);
    let shed = failure(Reason::Shed, Ran::No, true);
    let no_connection = failure(Reason::Unreachable, Ran::No, false);
    // Whether repeatable, failure, extra calls left, whether the call is retried.
    let cases = [
        (true, lost, 1, true),
        (true, shed, 1, true),
        (true, lost, 0, false),
        (true, no_connection, 0, true),
        (false, lost, 1, false),
        (false, shed, 1, true),
        (false, no_connection, 0, true),
    ];
    for (is_repeatable, failure, extras, is_retried) in cases {
        let now = Instant::now();
        let mut servers = Servers {
            extras,
            ..Servers::default()
        };
        let policy = QueryPolicy {
            is_repeatable,
            min_share: 1.0,
            ..policy(now)
        };
        let (mut query, first) = started(policy, 1, &mut servers, now);
        let event = Event::Failed(first[0].attempt, failure);
        let actions = query.on_event(event, &mut servers, now + ms(5));
        let retries = calls(&actions);
        assert_eq!(
            retries.len(),
            usize::from(is_retried),
            "{is_repeatable} {failure:?} {extras}"
        );
        assert_eq!(is_finish(&actions), !is_retried);
        assert!(retries
            .iter()
            .all(|call| call.cause == Cause::Retry && call.server == 1));
    }
}

#[test]
fn outcome_says_not_run_only_if_no_call_may_have_run() {
    let cases = [
        (vec![Ran::No, Ran::No], Ran::No),
        (vec![Ran::No, Ran::Unknown], Ran::Unknown),
        (vec![Ran::Unknown, Ran::No], Ran::Unknown),
        (vec![Ran::Yes, Ran::No], Ran::Yes),
    ];
    for (call_results, expected) in cases {
        let (now, mut servers) = (Instant::now(), Servers::default());
        let policy = QueryPolicy {
            min_share: 1.0,
            ..policy(now)
        };
        let (mut query, mut calls_made) = started(policy, 1, &mut servers, now);
        for ran in &call_results {
            let event = Event::Failed(calls_made[0].attempt, failure(Reason::Shed, *ran, true));
            calls_made = calls(&query.on_event(event, &mut servers, now + ms(5)));
        }
        assert_eq!(query.into_outcome().ran, expected, "{call_results:?}");
    }
}

#[test]
fn query_ends_at_once_when_min_share_is_out_of_reach() {
    let now = Instant::now();
    let mut servers = Servers {
        expected_ms: vec![10],
        ..Servers::default()
    };
    let (mut query, first) = started(policy(now), 4, &mut servers, now);
    let lost = failure(Reason::Lost, Ran::Unknown, true);
    let after_first = query.on_event(Event::Failed(first[0].attempt, lost), &mut servers, now);
    assert!(after_first.is_empty());
    let after_second = query.on_event(Event::Failed(first[1].attempt, lost), &mut servers, now);
    assert!(is_finish(&after_second));
    // Without servers no call is made, so nothing can have run.
    let mut no_servers = Servers {
        expected_ms: Vec::new(),
        ..Servers::default()
    };
    let (query, first) = started(policy(now), 4, &mut no_servers, now);
    assert!(first.is_empty());
    assert_eq!(query.into_outcome().ran, Ran::No);
}

#[test]
fn merged_reply_counts_no_part_twice() {
    let (now, mut servers) = (Instant::now(), Servers::default());
    let (mut query, first) = started(policy(now), 4, &mut servers, now);
    let attempts: Vec<_> = first.iter().map(|call| call.attempt).collect();
    let actions = query.on_event(Event::Wake, &mut servers, now + ms(30));
    let hedge = calls(&actions)[0].attempt;
    // The second reply covers only part 0, which the merged one already covers.
    query.on_event(
        Event::Replied(attempts[..2].to_vec(), "merged"),
        &mut servers,
        now + ms(31),
    );
    query.on_event(
        Event::Replied(vec![hedge], "single"),
        &mut servers,
        now + ms(32),
    );
    let last_reply = Event::Replied(attempts[2..].to_vec(), "others");
    assert!(is_finish(&query.on_event(
        last_reply,
        &mut servers,
        now + ms(33)
    )));
    let outcome = query.into_outcome();
    let mut parts: Vec<_> = outcome
        .replies
        .iter()
        .flat_map(|merged| merged.part_indexes.clone())
        .collect();
    parts.sort_unstable();
    assert_eq!(parts, [0, 1, 2, 3]);
    assert_eq!(outcome.replies[0].reply, "merged");
}

#[test]
fn merged_reply_replaces_replies_for_fewer_parts() {
    let (now, mut servers) = (Instant::now(), Servers::default());
    let (mut query, first) = started(policy(now), 4, &mut servers, now);
    let hedges = calls(&query.on_event(Event::Wake, &mut servers, now + ms(30)));
    query.on_event(
        Event::Replied(vec![first[0].attempt], "single"),
        &mut servers,
        now,
    );
    let merged = hedges.iter().map(|call| call.attempt).collect();
    let actions = query.on_event(Event::Replied(merged, "merged"), &mut servers, now + ms(31));
    assert!(is_finish(&actions));
    let outcome = query.into_outcome();
    assert_eq!(outcome.replies.len(), 1);
    assert_eq!(outcome.replies[0].part_indexes.len(), 4);
}

/// A relay answers in two steps: the second must not repeat parts of the first.
#[test]
fn part_that_was_handed_out_is_not_repeated() {
    let (now, mut servers) = (Instant::now(), Servers::default());
    let (mut query, first) = started(policy(now), 4, &mut servers, now);
    let hedges = calls(&query.on_event(Event::Wake, &mut servers, now + ms(30)));
    query.on_event(
        Event::Replied(vec![first[0].attempt], "part"),
        &mut servers,
        now + ms(31),
    );
    let handed_out = query.take_replies();
    assert_eq!(handed_out[0].part_indexes, [0]);
    // The hedge of the same part answers after the first step.
    query.on_event(
        Event::Replied(vec![hedges[0].attempt], "again"),
        &mut servers,
        now + ms(32),
    );
    assert!(query.take_replies().is_empty());
}
