//! Tests of the head, of the rules for adopting it, and of bundles.

use {
    kind::Kind,
    record::{
        check_adoption, Adoption, BodyRef, Bundle, Change, Head, HeadId, InForce, OperationInfo,
        Precondition, RecordId, RecordKind, Source, WireBundle, MAX_HEAD_BYTES, MAX_OPERATIONS,
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
    let change = Change::Put(BodyRef {
        id: id("shortfall"),
        key: format!("body-{operation_id}"),
        service: None,
    });
    head.with_change(&change, &stamp(operation_id))
        .expect("the change should be valid")
}

fn stamp(operation_id: &str) -> OperationInfo {
    OperationInfo {
        operation_id: operation_id.to_owned(),
        operator: "ada".to_owned(),
    }
}

fn recover(store: &Head, held: &Head) -> Head {
    let change = Change::Recover {
        head: Arc::new(held.clone()),
    };
    store
        .with_change(&change, &stamp("recovery"))
        .expect("the change should be valid")
}

#[test]
fn adopts_only_descendants_and_recoveries() {
    let first = put(&Head::default(), "a");
    let second = put(&first, "b");
    let third = put(&second, "c");
    let other_second = put(&first, "x");
    let other_third = put(&other_second, "y");
    let recovered = recover(&other_third, &second);
    let cases = [
        (
            "no current head",
            HeadId::default(),
            &first,
            Adoption::Adopt,
        ),
        ("next revision", first.id(), &second, Adoption::Adopt),
        ("skipped revision", first.id(), &third, Adoption::Adopt),
        ("same head", second.id(), &second, Adoption::Same),
        ("older revision", third.id(), &second, Adoption::Reverted),
        (
            "empty store",
            third.id(),
            &Head::default(),
            Adoption::Reverted,
        ),
        (
            "same revision, different operation",
            second.id(),
            &other_second,
            Adoption::Forked,
        ),
        (
            "restored store, higher revision",
            second.id(),
            &other_third,
            Adoption::Forked,
        ),
        ("recovery", second.id(), &recovered, Adoption::Adopt),
        (
            "recovery, from the forked head",
            other_third.id(),
            &recovered,
            Adoption::Adopt,
        ),
        (
            "forked head after the recovery",
            recovered.id(),
            &other_third,
            Adoption::Reverted,
        ),
    ];
    for (case, current, candidate, from_store) in cases {
        assert_eq!(
            check_adoption(&current, candidate, Source::Store),
            from_store,
            "{case}"
        );
        let from_peer = match from_store {
            Adoption::Reverted => Adoption::Lagging,
            other => other,
        };
        assert_eq!(
            check_adoption(&current, candidate, Source::Peer),
            from_peer,
            "{case}"
        );
    }
}

#[test]
fn recovery_restores_entries_at_a_higher_revision_and_generation() {
    let held = put(&put(&Head::default(), "a"), "b");
    let store = put(&Head::default(), "x");
    let recovered = recover(&store, &held);
    assert_eq!(recovered.entries, held.entries);
    assert_eq!(recovered.revision, held.revision + 1);
    assert_eq!(recovered.generation, 1);
}

#[test]
fn head_keeps_only_the_most_recent_operations() {
    let mut head = Head::default();
    for i in 0..MAX_OPERATIONS + 5 {
        head = put(&head, &format!("operation-{i}"));
    }
    assert_eq!(head.operations.len(), MAX_OPERATIONS);
    assert!(head.operation("operation-4").is_none());
    assert!(head.operation("operation-5").is_some());
    assert!(!head.lists_all_operations_since(4));
    assert!(head.lists_all_operations_since(5));
}

#[test]
fn failed_preconditions_report_the_conflicting_change() {
    let head = put(&put(&Head::default(), "a"), "b");
    let cases = [
        (Precondition::None, true),
        (Precondition::Record(2), true),
        (Precondition::Head(2), true),
        (Precondition::Record(1), false),
        (Precondition::Head(1), false),
        (Precondition::Absent, false),
    ];
    for (precondition, is_satisfied) in cases {
        let result = head.check(&id("shortfall"), precondition);
        assert_eq!(result.is_ok(), is_satisfied, "{precondition:?}");
        if let Err(error) = result {
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
fn retiring_removes_a_record_and_fails_if_it_is_not_in_force() {
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
fn oversized_head_is_rejected_as_head_too_large() {
    let change = Change::Put(BodyRef {
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
fn bundle_with_a_missing_or_wrong_body_is_rejected() {
    let head = put(&Head::default(), "a");
    let text = r#"{"schema_version":2,"name":"NAME","version":1,"route":{"service":"s",
        "repeatable":true,"default_deadline_ms":5,"max_deadline_ms":9}}"#;
    let bundle = |name: &str| Bundle {
        head: head.clone(),
        bodies: [("body-a".to_owned(), Arc::from(text.replace("NAME", name)))].into(),
    };
    let complete = bundle("shortfall");
    let decoded = Bundle::try_from(WireBundle::from(&complete)).unwrap();
    assert_eq!(decoded, complete);
    assert_eq!(InForce::try_from(decoded).unwrap().revision(), 1);
    assert!(InForce::try_from(bundle("other")).is_err());
    let empty = Bundle {
        head,
        ..Bundle::default()
    };
    assert!(Bundle::try_from(WireBundle::from(&empty)).is_err());
    assert!(InForce::try_from(empty).is_err());
}
