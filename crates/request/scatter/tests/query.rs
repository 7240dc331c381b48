//! The life of a request, event by event.

mod common;

use {
    common::{calls, is_finish, ms, plan, started, Servers},
    kind::Ran,
    plan::Reason,
    scatter::{Cause, Event, Failure, Plan},
    std::time::Instant,
};

fn failure(reason: Reason, ran: Ran, has_arrived: bool) -> Failure {
    Failure {
        reason,
        ran,
        has_arrived,
    }
}

#[test]
fn a_whole_answer_goes_out_at_once() {
    let (now, mut servers) = (Instant::now(), Servers::default());
    let (mut query, first) = started(plan(now), 4, &mut servers, now);
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
    assert!(outcome.is_enough && outcome.missing.is_empty());
    assert_eq!(outcome.bundles.len(), 4);
}

/// Replies of the covered parts, the time of the end, and what is missing then.
#[test]
fn a_query_answers_in_time_with_what_covers_enough() {
    // Covered parts of 4, when the last of them came, when the query ends, if it is enough.
    let cases = [
        (3, 50, 100, true),
        (3, 100, 100, true),
        (3, 104, 104, true),
        (3, 120, 200, true),
        (2, 50, 500, false),
        (0, 0, 500, false),
    ];
    for (covered, came_ms, ends_ms, is_enough) in cases {
        let now = Instant::now();
        let mut servers = Servers {
            extras: 0,
            ..Servers::default()
        };
        let (mut query, first) = started(plan(now), 4, &mut servers, now);
        let mut ended_ms = None;
        for call in first.iter().take(covered) {
            let event = Event::Replied(vec![call.attempt], "part");
            if is_finish(&query.on_event(event, &mut servers, now + ms(came_ms))) {
                ended_ms = Some(came_ms);
            }
        }
        while ended_ms.is_none() {
            let wake = query.next_wake().unwrap().max(now + ms(came_ms));
            if is_finish(&query.on_event(Event::Wake, &mut servers, wake)) {
                ended_ms = Some(u64::try_from((wake - now).as_millis()).unwrap());
            }
        }
        assert_eq!(
            ended_ms,
            Some(ends_ms),
            "{covered} parts after {came_ms} ms"
        );
        assert_eq!(query.into_outcome().is_enough, is_enough);
    }
}

#[test]
fn a_late_call_is_hedged_once_and_only_where_that_helps() {
    struct Case {
        name: &'static str,
        servers: Servers,
        plan: fn(Plan) -> Plan,
        hedges: usize,
    }
    let same: fn(Plan) -> Plan = |plan| plan;
    let cases = [
        Case {
            name: "plain",
            servers: Servers::default(),
            plan: same,
            hedges: 4,
        },
        Case {
            name: "no other server",
            servers: Servers {
                expected_ms: vec![10],
                ..Servers::default()
            },
            plan: same,
            hedges: 0,
        },
        Case {
            name: "the other server is busy",
            servers: Servers {
                is_free: false,
                ..Servers::default()
            },
            plan: same,
            hedges: 0,
        },
        Case {
            name: "the other server answers too late",
            servers: Servers {
                expected_ms: vec![10, 90],
                ..Servers::default()
            },
            plan: same,
            hedges: 0,
        },
        Case {
            name: "the budget of the service is spent",
            servers: Servers {
                extras: 2,
                ..Servers::default()
            },
            plan: same,
            hedges: 2,
        },
        Case {
            name: "not repeatable",
            servers: Servers::default(),
            plan: |plan| Plan {
                is_repeatable: false,
                ..plan
            },
            hedges: 0,
        },
        Case {
            name: "one attempt",
            servers: Servers::default(),
            plan: |plan| Plan {
                max_attempts: 1,
                ..plan
            },
            hedges: 0,
        },
        Case {
            name: "a relay may have reached all attempts",
            servers: Servers {
                reaches: 2,
                ..Servers::default()
            },
            plan: same,
            hedges: 0,
        },
    ];
    for mut case in cases {
        let now = Instant::now();
        let plan = (case.plan)(plan(now));
        let (mut query, _) = started(plan, 4, &mut case.servers, now);
        let mut hedges = 0;
        // Up to the time of the answer; what comes after has another bound.
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
fn a_failed_call_is_repeated_where_it_may_run_again() {
    let lost = failure(Reason::Lost, Ran::Unknown, true);
    let shed = failure(Reason::Shed, Ran::No, true);
    let no_connection = failure(Reason::Unreachable, Ran::No, false);
    // Repeatable, failure, extra calls left, whether there is a second call.
    let cases = [
        (true, lost, 1, true),
        (true, shed, 1, true),
        (true, lost, 0, false),
        (true, no_connection, 0, true),
        (false, lost, 1, false),
        (false, shed, 1, true),
        (false, no_connection, 0, true),
    ];
    for (is_repeatable, failure, extras, is_repeated) in cases {
        let now = Instant::now();
        let mut servers = Servers {
            extras,
            ..Servers::default()
        };
        let plan = Plan {
            is_repeatable,
            min_share: 1.0,
            ..plan(now)
        };
        let (mut query, first) = started(plan, 1, &mut servers, now);
        let event = Event::Failed(first[0].attempt, failure);
        let actions = query.on_event(event, &mut servers, now + ms(5));
        let again = calls(&actions);
        assert_eq!(
            again.len(),
            usize::from(is_repeated),
            "{is_repeatable} {failure:?} {extras}"
        );
        assert_eq!(is_finish(&actions), !is_repeated);
        assert!(again
            .iter()
            .all(|call| call.cause == Cause::Retry && call.server == 1));
    }
}

#[test]
fn not_run_is_said_only_if_no_call_may_have_run() {
    let cases = [
        (vec![Ran::No, Ran::No], Ran::No),
        (vec![Ran::No, Ran::Unknown], Ran::Unknown),
        (vec![Ran::Unknown, Ran::No], Ran::Unknown),
        (vec![Ran::Yes, Ran::No], Ran::Yes),
    ];
    for (rans, expected) in cases {
        let (now, mut servers) = (Instant::now(), Servers::default());
        let plan = Plan {
            min_share: 1.0,
            ..plan(now)
        };
        let (mut query, mut open) = started(plan, 1, &mut servers, now);
        for ran in &rans {
            let event = Event::Failed(open[0].attempt, failure(Reason::Shed, *ran, true));
            open = calls(&query.on_event(event, &mut servers, now + ms(5)));
        }
        assert_eq!(query.into_outcome().ran, expected, "{rans:?}");
    }
}

#[test]
fn a_query_that_cannot_cover_enough_ends_at_once() {
    let now = Instant::now();
    let mut servers = Servers {
        expected_ms: vec![10],
        ..Servers::default()
    };
    let (mut query, first) = started(plan(now), 4, &mut servers, now);
    let lost = failure(Reason::Lost, Ran::Unknown, true);
    let one = query.on_event(Event::Failed(first[0].attempt, lost), &mut servers, now);
    assert!(one.is_empty());
    let two = query.on_event(Event::Failed(first[1].attempt, lost), &mut servers, now);
    assert!(is_finish(&two));
    // Nothing is sent where no server is known, and so nothing can have run.
    let mut nobody = Servers {
        expected_ms: Vec::new(),
        ..Servers::default()
    };
    let (query, first) = started(plan(now), 4, &mut nobody, now);
    assert!(first.is_empty());
    assert_eq!(query.into_outcome().ran, Ran::No);
}

#[test]
fn a_merged_reply_counts_no_part_twice() {
    let (now, mut servers) = (Instant::now(), Servers::default());
    let (mut query, first) = started(plan(now), 4, &mut servers, now);
    let ids: Vec<_> = first.iter().map(|call| call.attempt).collect();
    let late = query.on_event(Event::Wake, &mut servers, now + ms(30));
    let hedge = calls(&late)[0].attempt;
    // A reply for parts 0 and 1, then one for part 0 alone: the second adds nothing.
    query.on_event(
        Event::Replied(ids[..2].to_vec(), "merged"),
        &mut servers,
        now + ms(31),
    );
    query.on_event(
        Event::Replied(vec![hedge], "single"),
        &mut servers,
        now + ms(32),
    );
    let end = Event::Replied(ids[2..].to_vec(), "others");
    assert!(is_finish(&query.on_event(end, &mut servers, now + ms(33))));
    let outcome = query.into_outcome();
    let mut parts: Vec<_> = outcome
        .bundles
        .iter()
        .flat_map(|b| b.positions.clone())
        .collect();
    parts.sort_unstable();
    assert_eq!(parts, [0, 1, 2, 3]);
    assert_eq!(outcome.bundles[0].reply, "merged");
}

#[test]
fn a_merged_reply_that_covers_more_takes_the_place_of_others() {
    let (now, mut servers) = (Instant::now(), Servers::default());
    let (mut query, first) = started(plan(now), 4, &mut servers, now);
    let late = calls(&query.on_event(Event::Wake, &mut servers, now + ms(30)));
    query.on_event(
        Event::Replied(vec![first[0].attempt], "single"),
        &mut servers,
        now,
    );
    let merged = late.iter().map(|call| call.attempt).collect();
    let actions = query.on_event(Event::Replied(merged, "merged"), &mut servers, now + ms(31));
    assert!(is_finish(&actions));
    let outcome = query.into_outcome();
    assert_eq!(outcome.bundles.len(), 1);
    assert_eq!(outcome.bundles[0].positions.len(), 4);
}

/// A relay answers in two steps; a part of the first must not come again in the second.
#[test]
fn a_part_that_was_handed_out_does_not_come_again() {
    let (now, mut servers) = (Instant::now(), Servers::default());
    let (mut query, first) = started(plan(now), 4, &mut servers, now);
    let late = calls(&query.on_event(Event::Wake, &mut servers, now + ms(30)));
    query.on_event(
        Event::Replied(vec![first[0].attempt], "part"),
        &mut servers,
        now + ms(31),
    );
    let handed_out = query.take_bundles();
    assert_eq!(handed_out[0].positions, [0]);
    // The hedge of the same part answers too, after the first step.
    query.on_event(
        Event::Replied(vec![late[0].attempt], "again"),
        &mut servers,
        now + ms(32),
    );
    assert!(query.take_bundles().is_empty());
}
