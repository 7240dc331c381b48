//! Tests of facts: merging, expiry and limits.

use {
    fleet::{Fact, FactKey, Facts, MAX_FACTS, MAX_FACT_AGE, MAX_FACT_BYTES},
    std::time::{Duration, Instant},
};

fn fact(subject: &str, value: &str, stamp: u64, time_left: Duration) -> Fact {
    Fact {
        key: FactKey {
            topic: "quarantine".to_owned(),
            subject: subject.to_owned(),
        },
        value: value.to_owned(),
        stamp,
        time_left,
    }
}

#[test]
fn the_newest_fact_wins() {
    let minute = Duration::from_secs(60);
    let cases = [
        ("newer", fact("s", "a", 3, minute), true),
        ("older", fact("s", "z", 1, minute), false),
        ("same", fact("s", "b", 2, minute), false),
        ("same stamp, greater value", fact("s", "c", 2, minute), true),
        ("same stamp, lesser value", fact("s", "a", 2, minute), false),
        ("expired", fact("s", "a", 9, Duration::ZERO), false),
        (
            "oversized",
            fact("s", &"x".repeat(MAX_FACT_BYTES), 9, minute),
            false,
        ),
    ];
    for (what, incoming, is_new) in cases {
        let now = Instant::now();
        let mut facts = Facts::default();
        assert!(facts.merge(fact("s", "b", 2, minute), now));
        assert_eq!(facts.merge(incoming, now), is_new, "{what}");
    }
}

#[test]
fn facts_expire_and_are_bounded() {
    let now = Instant::now();
    let mut facts = Facts::default();
    facts.merge(fact("s", "a", 1, Duration::MAX), now);
    let key = fact("s", "", 0, Duration::ZERO).key;
    assert_eq!(facts.get(&key, now).unwrap().time_left, MAX_FACT_AGE);
    assert_eq!(facts.get(&key, now + MAX_FACT_AGE), None);
    for i in 0..2 * MAX_FACTS {
        facts.merge(fact(&i.to_string(), "a", 1, Duration::from_secs(9)), now);
    }
    assert_eq!(facts.keys().count(), MAX_FACTS);
    // The fact that expires last was retained.
    assert!(facts.get(&key, now).is_some());
}
