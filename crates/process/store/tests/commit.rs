//! Tests of the commit, stepped by hand against a store in memory.

mod faults;

use {
    crate::faults::Fate,
    fakes::memory::MemoryStore,
    kind::{Kind, Ran, Result},
    record::{Change, Head, Precondition, RawRecord, RecordId, Stamp, MAX_OPERATIONS},
    store::{Commit, CommitEvent, CommitStep, Committed, Expected, HEAD_KEY},
};

fn stamp(operation_id: &str) -> Stamp {
    Stamp {
        operation_id: operation_id.to_owned(),
        operator: format!("operator of {operation_id}"),
    }
}

fn raw(name: &str, deadline_ms: u64) -> RawRecord {
    RawRecord::from_json(&format!(
        r#"{{"schema_version":2,"name":"{name}","version":1,"route":{{"service":"s",
        "repeatable":true,"default_deadline_ms":{deadline_ms},"max_deadline_ms":9000}}}}"#
    ))
    .expect("a valid value")
}

fn put(name: &str, deadline_ms: u64, operation_id: &str) -> Commit {
    Commit::put(&raw(name, deadline_ms), stamp(operation_id)).expect("a valid value")
}

fn answer(store: &mut MemoryStore, step: &CommitStep, fate: Fate) -> CommitEvent {
    match step {
        CommitStep::ReadHead => CommitEvent::Read(fate.read(store, HEAD_KEY)),
        CommitStep::Write {
            key,
            expected,
            bytes,
        } => CommitEvent::Written(fate.write(store, key, *expected, bytes.clone())),
        CommitStep::Done(_) => panic!("the commit has ended"),
    }
}

/// Runs a commit under the given fates, and without faults after them.
fn run(store: &mut MemoryStore, mut commit: Commit, fates: &[Fate]) -> Result<Committed> {
    let mut step = commit.start();
    let mut fates = fates.iter().copied();
    loop {
        if let CommitStep::Done(result) = step {
            return result;
        }
        let event = answer(store, &step, fates.next().unwrap_or(Fate::Fine));
        step = commit.on_event(event);
    }
}

fn head(store: &MemoryStore) -> Head {
    store.get(HEAD_KEY).map_or_else(Head::default, |value| {
        Head::from_json(&value.bytes).expect("a valid value")
    })
}

/// Steps of a commit without faults: read the head, write the body, write the head.
const READ: usize = 0;
const BODY: usize = 1;
const HEAD: usize = 2;

fn fates(at: usize, then: &[Fate]) -> Vec<Fate> {
    let mut fates = vec![Fate::Fine; at];
    fates.extend_from_slice(then);
    fates
}

struct FaultCase {
    at: usize,
    then: &'static [Fate],
    /// Kind of the answer; `None` is a commit.
    kind: Option<Kind>,
    revision_after: u64,
}

const FAULT_CASES: &[FaultCase] = &[
    FaultCase {
        at: READ,
        then: &[Fate::Down],
        kind: Some(Kind::StoreDown),
        revision_after: 0,
    },
    FaultCase {
        at: READ,
        then: &[Fate::ReplyLost],
        kind: Some(Kind::StoreDown),
        revision_after: 0,
    },
    FaultCase {
        at: BODY,
        then: &[Fate::ReplyLost],
        kind: None,
        revision_after: 1,
    },
    FaultCase {
        at: BODY,
        then: &[Fate::RequestLost, Fate::Down],
        kind: Some(Kind::StoreDown),
        revision_after: 0,
    },
    FaultCase {
        at: BODY,
        then: &[Fate::RequestLost; 8],
        kind: Some(Kind::StoreDown),
        revision_after: 0,
    },
    FaultCase {
        at: HEAD,
        then: &[Fate::Down],
        kind: Some(Kind::StoreDown),
        revision_after: 0,
    },
    FaultCase {
        at: HEAD,
        then: &[Fate::ReplyLost],
        kind: None,
        revision_after: 1,
    },
    FaultCase {
        at: HEAD,
        then: &[Fate::RequestLost],
        kind: None,
        revision_after: 1,
    },
    FaultCase {
        at: HEAD,
        then: &[Fate::ReplyLost, Fate::Down],
        kind: Some(Kind::StoreUnknown),
        revision_after: 1,
    },
    FaultCase {
        at: HEAD,
        then: &[Fate::RequestLost, Fate::Down],
        kind: Some(Kind::StoreUnknown),
        revision_after: 0,
    },
    FaultCase {
        at: HEAD,
        then: &[Fate::RequestLost, Fate::Fine, Fate::Down],
        kind: Some(Kind::StoreUnknown),
        revision_after: 0,
    },
];

#[test]
fn a_lost_reply_is_settled_and_never_called_a_failure() {
    for case in FAULT_CASES {
        let mut store = MemoryStore::default();
        let result = run(&mut store, put("a", 1, "op"), &fates(case.at, case.then));
        let what = format!("{:?} at step {}", case.then, case.at);
        assert_eq!(head(&store).revision, case.revision_after, "{what}");
        match case.kind {
            None => assert_eq!(result.unwrap().revision, 1, "{what}"),
            Some(kind) => {
                let error = result.unwrap_err();
                assert_eq!(error.kind(), kind, "{what}");
                let is_unknown = kind == Kind::StoreUnknown;
                assert_eq!(error.ran() == Ran::Unknown, is_unknown, "{what}");
            }
        }
        // A repeat under the same identifier always ends at one commit.
        let repeated = run(&mut store, put("a", 1, "op"), &[]).unwrap();
        assert_eq!((repeated.revision, head(&store).revision), (1, 1), "{what}");
    }
}

#[test]
fn a_lost_reply_is_settled_after_others_committed_on_top() {
    let mut store = MemoryStore::default();
    let lost = run(
        &mut store,
        put("a", 1, "op"),
        &fates(HEAD, &[Fate::ReplyLost, Fate::Down]),
    );
    assert_eq!(lost.unwrap_err().kind(), Kind::StoreUnknown);
    for i in 2..10 {
        run(&mut store, put("a", i, &format!("other-{i}")), &[]).unwrap();
    }
    let before = head(&store);
    let repeated = run(&mut store, put("a", 1, "op"), &[]).unwrap();
    assert!(repeated.is_repeat);
    assert_eq!(repeated.revision, 1);
    assert_eq!(head(&store), before);
}

#[test]
fn an_operation_identifier_names_one_change() {
    let mut store = MemoryStore::default();
    run(&mut store, put("a", 1, "op"), &[]).unwrap();
    let error = run(&mut store, put("a", 2, "op"), &[]).unwrap_err();
    assert_eq!(error.kind(), Kind::KeyReused);
}

/// Runs `first` up to the write of the head, then `second` whole, then `first` to its end.
fn race(store: &mut MemoryStore, mut first: Commit, second: Commit) -> Result<Committed> {
    let mut step = first.start();
    let mut second = Some(second);
    loop {
        if let CommitStep::Done(result) = step {
            return result;
        }
        let is_head = matches!(&step, CommitStep::Write { key, .. } if key == HEAD_KEY);
        if is_head {
            if let Some(second) = second.take() {
                run(store, second, &[]).expect("a valid value");
            }
        }
        let event = answer(store, &step, Fate::Fine);
        step = first.on_event(event);
    }
}

#[test]
fn racers_on_one_record_get_a_conflict_that_names_the_other() {
    let mut store = MemoryStore::default();
    let error = race(&mut store, put("a", 1, "ada"), put("a", 2, "bob")).unwrap_err();
    assert_eq!(error.kind(), Kind::Conflict);
    assert!(
        error
            .detail()
            .starts_with("operator of bob made revision 1: put of route a/1"),
        "{error}"
    );
    assert_eq!(head(&store).operation_id, "bob");
}

#[test]
fn racers_on_two_records_both_commit() {
    let mut store = MemoryStore::default();
    let committed = race(&mut store, put("a", 1, "ada"), put("b", 2, "bob")).unwrap();
    assert_eq!(committed.revision, 2);
    assert_eq!(head(&store).entries.len(), 2);
}

#[test]
fn a_stale_precondition_writes_nothing() {
    let mut store = MemoryStore::default();
    run(&mut store, put("a", 1, "ada"), &[]).unwrap();
    run(&mut store, put("a", 2, "bob"), &[]).unwrap();
    let before = store.clone();
    for precondition in [
        Precondition::Absent,
        Precondition::Record(1),
        Precondition::Head(1),
    ] {
        let commit = put("a", 3, "cyd").with_precondition(precondition);
        let error = run(&mut store, commit, &[]).unwrap_err();
        assert_eq!(error.kind(), Kind::Conflict, "{precondition:?}");
        assert_eq!(store, before, "{precondition:?}");
    }
}

#[test]
fn a_roll_back_is_a_new_revision() {
    let mut store = MemoryStore::default();
    run(&mut store, put("a", 1, "ada"), &[]).unwrap();
    let first = head(&store).entries[0].clone();
    run(&mut store, put("a", 2, "bob"), &[]).unwrap();
    let change = Change::RollBack {
        id: first.id.clone(),
        body_key: first.body_key.clone(),
    };
    let committed = run(&mut store, Commit::new(change, stamp("cyd")), &[]).unwrap();
    assert_eq!(committed.revision, 3);
    let entry = &head(&store).entries[0];
    assert_eq!((&entry.body_key, entry.revision), (&first.body_key, 3));
}

#[test]
fn an_operation_is_in_the_history_before_it_leaves_the_head() {
    let mut store = MemoryStore::default();
    for i in 0..=MAX_OPERATIONS {
        run(&mut store, put("a", 1 + i as u64, &format!("op-{i}")), &[]).unwrap();
    }
    let history: Vec<_> = store
        .keys()
        .filter(|key| key.starts_with("wharf/history/"))
        .collect();
    assert_eq!(history, ["wharf/history/00000000000000000001"]);
    assert_eq!(head(&store).operations[0].revision, 2);
}

#[test]
fn nothing_is_committed_on_a_store_that_was_restored() {
    let mut store = MemoryStore::default();
    run(&mut store, put("a", 1, "ada"), &[]).unwrap();
    let backup = store.clone();
    run(&mut store, put("a", 2, "bob"), &[]).unwrap();
    let held = head(&store);
    let mut restored = backup;
    let commit = put("a", 3, "cyd").with_held(held.id());
    let error = run(&mut restored, commit, &[]).unwrap_err();
    assert_eq!(error.kind(), Kind::StoreReverted);
    assert_eq!(head(&restored).revision, 1);
    let change = Change::Recover {
        held: held.clone().into(),
    };
    let recovery = Commit::new(change, stamp("dee")).with_held(held.id());
    assert_eq!(run(&mut restored, recovery, &[]).unwrap().revision, 3);
    assert_eq!(head(&restored).entries, held.entries);
}

#[test]
fn a_malformed_head_is_left_alone() {
    let mut store = MemoryStore::default();
    store.put(HEAD_KEY, Expected::Absent, "{".into()).unwrap();
    let before = store.clone();
    let error = run(&mut store, put("a", 1, "op"), &[]).unwrap_err();
    assert_eq!(error.kind(), Kind::BadRecord);
    assert_eq!(store, before);
}

#[test]
fn a_record_that_is_not_in_force_cannot_be_retired() {
    let id = RecordId {
        kind: record::RecordKind::Route,
        name: "a".to_owned(),
        version: 1,
    };
    let commit = Commit::new(Change::Retire { id }, stamp("op"));
    let error = run(&mut MemoryStore::default(), commit, &[]).unwrap_err();
    assert_eq!(error.kind(), Kind::UnknownRecord);
}

#[test]
fn a_repeat_is_never_called_a_failure_while_the_store_is_down() {
    let mut store = MemoryStore::default();
    let first = run(&mut store, put("a", 1, "op"), &[Fate::Down]);
    assert_eq!(first.unwrap_err().kind(), Kind::StoreDown);
    let repeat = put("a", 1, "op").as_repeat();
    let second = run(&mut store, repeat, &[Fate::Down]);
    assert_eq!(second.unwrap_err().kind(), Kind::StoreUnknown);
}

#[test]
fn a_commit_across_a_restore_is_of_unknown_outcome() {
    let mut store = MemoryStore::default();
    run(&mut store, put("a", 1, "ada"), &[]).unwrap();
    let before = store.get(HEAD_KEY).unwrap().bytes;
    let mut commit = put("a", 2, "bob");
    let mut step = commit.start();
    for fate in [Fate::Fine, Fate::Fine, Fate::ReplyLost] {
        step = commit.on_event(answer(&mut store, &step, fate));
    }
    store.overwrite(HEAD_KEY, before);
    let CommitStep::Done(result) = commit.on_event(answer(&mut store, &step, Fate::Fine)) else {
        panic!("the commit has not ended");
    };
    assert_eq!(result.unwrap_err().kind(), Kind::StoreUnknown);
}
