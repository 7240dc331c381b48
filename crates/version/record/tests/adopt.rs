//! Tests of the order of adoption.

use {
    kind::Kind,
    record::{
        judge, Bundle, Change, Head, HeadId, InForce, NamedBody, Precondition, RecordId,
        RecordKind, Source, Stamp, Verdict, WireBundle, MAX_HEAD_BYTES, MAX_OPERATIONS,
    },
    std::sync::Arc,
};

fn id(name: &str) -> RecordId {
    RecordId {
        kind: RecordKind::Route,
        name: name.to_owned(),
        version: 1,
    }
}

fn put(head: &Head, operation_id: &str) -> Head {
    let change = Change::Put(NamedBody {
        id: id("shortfall"),
        key: format!("body-{operation_id}"),
        service: None,
    });
    head.with_change(&change, &stamp(operation_id))
        .expect("a valid value")
}

fn stamp(operation_id: &str) -> Stamp {
    Stamp {
        operation_id: operation_id.to_owned(),
        operator: "ada".to_owned(),
    }
}

fn recover(store: &Head, held: &Head) -> Head {
    let change = Change::Recover {
        held: Arc::new(held.clone()),
    };
    store
        .with_change(&change, &stamp("recovery"))
        .expect("a valid value")
}

#[test]
fn only_a_higher_revision_of_the_same_origin_is_adopted() {
    let first = put(&Head::default(), "a");
    let second = put(&first, "b");
    let third = put(&second, "c");
    let other_second = put(&first, "x");
    let other_third = put(&other_second, "y");
    let recovered = recover(&other_third, &second);
    let cases = [
        ("nothing held", HeadId::default(), &first, Verdict::Adopt),
        ("next", first.id(), &second, Verdict::Adopt),
        ("after a gap", first.id(), &third, Verdict::Adopt),
        ("same", second.id(), &second, Verdict::Same),
        ("older", third.id(), &second, Verdict::Reverted),
        (
            "empty store",
            third.id(),
            &Head::default(),
            Verdict::Reverted,
        ),
        (
            "same revision, other content",
            second.id(),
            &other_second,
            Verdict::Forked,
        ),
        (
            "restored and written past",
            second.id(),
            &other_third,
            Verdict::Forked,
        ),
        ("recovery", second.id(), &recovered, Verdict::Adopt),
        (
            "recovery, on the other branch",
            other_third.id(),
            &recovered,
            Verdict::Adopt,
        ),
        (
            "before the recovery",
            recovered.id(),
            &other_third,
            Verdict::Reverted,
        ),
    ];
    for (what, held, offered, verdict) in cases {
        assert_eq!(judge(&held, offered, Source::Store), verdict, "{what}");
        let from_peer = match verdict {
            Verdict::Reverted => Verdict::Lagging,
            other => other,
        };
        assert_eq!(judge(&held, offered, Source::Peer), from_peer, "{what}");
    }
}

#[test]
fn a_recovery_brings_back_what_was_held_at_a_higher_revision() {
    let held = put(&put(&Head::default(), "a"), "b");
    let store = put(&Head::default(), "x");
    let recovered = recover(&store, &held);
    assert_eq!(recovered.entries, held.entries);
    assert_eq!(recovered.revision, held.revision + 1);
    assert_eq!(recovered.generation, 1);
}

#[test]
fn the_head_names_the_last_operations_only() {
    let mut head = Head::default();
    for i in 0..MAX_OPERATIONS + 5 {
        head = put(&head, &format!("operation-{i}"));
    }
    assert_eq!(head.operations.len(), MAX_OPERATIONS);
    assert!(head.operation("operation-4").is_none());
    assert!(head.operation("operation-5").is_some());
    assert!(!head.names_all_since(4));
    assert!(head.names_all_since(5));
}

#[test]
fn preconditions_name_the_other_change() {
    let head = put(&put(&Head::default(), "a"), "b");
    let cases = [
        (Precondition::None, true),
        (Precondition::Record(2), true),
        (Precondition::Head(2), true),
        (Precondition::Record(1), false),
        (Precondition::Head(1), false),
        (Precondition::Absent, false),
    ];
    for (precondition, holds) in cases {
        let checked = head.check(&id("shortfall"), precondition);
        assert_eq!(checked.is_ok(), holds, "{precondition:?}");
        if let Err(error) = checked {
            assert_eq!(error.kind(), Kind::Conflict);
            assert!(error
                .detail()
                .starts_with("ada made revision 2: put of route shortfall/1"));
        }
    }
    assert!(head.check(&id("other"), Precondition::Absent).is_ok());
    assert!(head.check(&id("other"), Precondition::Record(0)).is_err());
}

#[test]
fn a_retired_record_is_gone_and_an_unknown_one_cannot_be_retired() {
    let head = put(&Head::default(), "a");
    let retire = Change::Retire {
        id: id("shortfall"),
    };
    let retired = head.with_change(&retire, &stamp("b")).unwrap();
    assert!(retired.entries.is_empty());
    let error = retired.with_change(&retire, &stamp("c")).unwrap_err();
    assert_eq!(error.kind(), Kind::UnknownRecord);
}

#[test]
fn a_head_over_the_limit_has_its_own_kind() {
    let change = Change::Put(NamedBody {
        id: id("shortfall"),
        key: "k".repeat(MAX_HEAD_BYTES),
        service: None,
    });
    let error = Head::default()
        .with_change(&change, &stamp("a"))
        .unwrap_err();
    assert_eq!(error.kind(), Kind::HeadTooLarge);
}

#[test]
fn a_bundle_without_a_body_or_with_a_wrong_one_is_refused() {
    let head = put(&Head::default(), "a");
    let text = r#"{"schema_version":2,"name":"NAME","version":1,"route":{"service":"s",
        "repeatable":true,"default_deadline_ms":5,"max_deadline_ms":9}}"#;
    let bundle = |name: &str| Bundle {
        head: head.clone(),
        bodies: [("body-a".to_owned(), Arc::from(text.replace("NAME", name)))].into(),
    };
    let whole = bundle("shortfall");
    let sent = Bundle::try_from(WireBundle::from(&whole)).unwrap();
    assert_eq!(sent, whole);
    assert_eq!(InForce::try_from(sent).unwrap().revision(), 1);
    assert!(InForce::try_from(bundle("other")).is_err());
    let empty = Bundle {
        head,
        ..Bundle::default()
    };
    assert!(Bundle::try_from(WireBundle::from(&empty)).is_err());
    assert!(InForce::try_from(empty).is_err());
}
