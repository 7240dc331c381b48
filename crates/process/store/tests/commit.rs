//! Tests of the commit, stepped by hand against a store in memory.

mod faults;

use {
    crate::faults::Fate,
    fakes::memory::MemoryStore,
    kind::{Kind, Ran, Result},
    record::{
        Bundle, Change, Head, Operation, Precondition, RawRecord, RecordId, RecordKind, Stamp,
        MAX_OPERATIONS,
    },
    std::{sync::Arc, time::Duration},
    store::{Commit, CommitEvent, CommitStep, Committed, Expected, HEAD_KEY, KEPT_FOR},
};

fn stamp(operation_id: &str) -> Stamp {
    Stamp {
        operation_id: operation_id.to_owned(),
        operator: format!("operator of {operation_id}"),
    }
}

/// Returns the text of a service record; it stands alone, as a route does not.
fn service(name: &str, version: u32, slots: u64) -> String {
    format!(
        r#"{{"schema_version":2,"name":"{name}","version":{version},"service":{{
        "connection_limit":25,"slots":{slots},"indexes":[{{"version":1,"shards":[
        {{"id":0,"servers":[{{"addr":"127.0.0.1:9","zone":"z"}}]}}]}}]}}}}"#
    )
}

fn route(name: &str, service: &str) -> String {
    format!(
        r#"{{"schema_version":2,"name":"{name}","version":1,"route":{{"service":"{service}",
        "repeatable":true,"default_deadline_ms":5,"max_deadline_ms":9000}}}}"#
    )
}

fn put_text(text: &str, operation_id: &str) -> Commit {
    let raw = RawRecord::from_json(text).expect("a valid value");
    Commit::put(&raw, stamp(operation_id)).expect("a valid value")
}

fn put(name: &str, slots: u64, operation_id: &str) -> Commit {
    put_text(&service(name, 1, slots), operation_id)
}

fn retire(kind: RecordKind, name: &str, version: u32, operation_id: &str) -> Commit {
    let id = RecordId {
        kind,
        name: name.to_owned(),
        version,
    };
    Commit::new(Change::Retire { id }, stamp(operation_id))
}

/// Returns the commit that brings the body of `revision` into force again.
fn roll_back(store: &MemoryStore, revision: u64, operation_id: &str) -> Commit {
    let operations = head(store).operations;
    let made = operations.iter().find(|o| o.revision == revision);
    let key = made.and_then(|o| o.body_key.clone()).expect("a body");
    let text = store.get(&key).expect("a valid value").bytes;
    let text = String::from_utf8_lossy(&text).into_owned();
    Commit::roll_back(text, stamp(operation_id)).expect("a valid value")
}

fn answer(store: &mut MemoryStore, step: &CommitStep, fate: Fate) -> CommitEvent {
    match step {
        CommitStep::Read { key } => CommitEvent::Read(fate.call(|| Ok(store.get(key)))),
        CommitStep::Write {
            key,
            expected,
            bytes,
            lease_id,
        } => {
            let bytes = bytes.clone();
            let write = || store.put_leased(key, *expected, bytes, *lease_id);
            CommitEvent::Written(fate.call(write))
        }
        CommitStep::GrantLease { ttl } => {
            CommitEvent::Granted(fate.call(|| Ok(store.grant_lease(*ttl))))
        }
        CommitStep::Done(_) => panic!("the commit has ended"),
    }
}

/// Takes a commit to its end without faults.
fn finish(store: &mut MemoryStore, mut commit: Commit, mut step: CommitStep) -> Result<Committed> {
    loop {
        if let CommitStep::Done(result) = step {
            return result;
        }
        let event = answer(store, &step, Fate::Fine);
        step = commit.on_event(event);
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
            .starts_with("operator of bob made revision 1: put of service a/1"),
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
    let commit = roll_back(&store, 1, "cyd");
    let committed = run(&mut store, commit, &[]).unwrap();
    assert_eq!(committed.revision, 3);
    let entry = &head(&store).entries[0];
    // The same text under a key of its own, as the first key may be on its way out.
    assert_eq!(entry.revision, 3);
    assert_ne!(entry.body_key, first.body_key);
    let text = |key: &str| store.get(key).map(|value| value.bytes);
    assert!(text(&first.body_key).is_some());
    assert_eq!(text(&entry.body_key), text(&first.body_key));
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
    let commit = retire(RecordKind::Route, "a", 1, "op");
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

/// Returns a store with the services s/1 and s/2, and the route r/1 on top of them.
fn store_in_use() -> MemoryStore {
    let mut store = MemoryStore::default();
    for (i, text) in [service("s", 1, 1), service("s", 2, 1), route("r", "s")]
        .iter()
        .enumerate()
    {
        run(&mut store, put_text(text, &format!("op-{i}")), &[]).expect("a valid value");
    }
    store
}

fn refused(store: &mut MemoryStore, commit: Commit, kind: Kind, detail: &str) {
    let before = store.clone();
    let error = run(store, commit, &[]).expect_err(detail);
    assert_eq!((error.kind(), error.ran()), (kind, Ran::No), "{error}");
    assert!(error.detail().contains(detail), "{error}");
    assert_eq!(*store, before, "something was written: {error}");
}

#[test]
fn no_change_leaves_a_route_without_a_service() {
    let (mut store, on) = (store_in_use(), RecordKind::Service);
    let unknown = put_text(&route("r", "t"), "a");
    refused(&mut store, unknown, Kind::UnknownService, "names 't'");
    // An older version of the service takes over.
    run(&mut store, retire(on, "s", 2, "b"), &[]).unwrap();
    let last = retire(on, "s", 1, "c");
    refused(&mut store, last, Kind::ServiceInUse, "used by route r/1;");
    run(&mut store, retire(RecordKind::Route, "r", 1, "d"), &[]).unwrap();
    run(&mut store, retire(on, "s", 1, "e"), &[]).unwrap();
    let hole = roll_back(&store, 3, "f");
    refused(&mut store, hole, Kind::UnknownService, "names 's'");
    for (revision, operation_id) in [(1, "g"), (3, "h")] {
        let commit = roll_back(&store, revision, operation_id);
        run(&mut store, commit, &[]).unwrap();
    }
}

#[test]
fn a_race_leaves_no_route_without_a_service() {
    let retire_last = || retire(RecordKind::Service, "s", 1, "ada");
    let put_route = || put_text(&route("q", "s"), "bob");
    let start = || {
        let mut store = MemoryStore::default();
        run(&mut store, put("s", 1, "first"), &[]).unwrap();
        store
    };
    let lost = race(&mut start(), retire_last(), put_route()).unwrap_err();
    assert_eq!(lost.kind(), Kind::ServiceInUse, "{lost}");
    let lost = race(&mut start(), put_route(), retire_last()).unwrap_err();
    assert_eq!(lost.kind(), Kind::UnknownService, "{lost}");
}

#[test]
fn a_route_written_by_an_older_release_still_holds_its_service() {
    let mut store = store_in_use();
    let mut old = head(&store);
    old.entries
        .iter_mut()
        .for_each(|entry| entry.service = None);
    store.overwrite(HEAD_KEY, old.to_json().into());
    run(&mut store, retire(RecordKind::Service, "s", 2, "a"), &[]).unwrap();
    assert_eq!(head(&store).entries[0].service.as_deref(), Some("s"));
    store.overwrite(HEAD_KEY, old.to_json().into());
    run(&mut store, put("t", 1, "b"), &[]).unwrap();
    run(&mut store, retire(RecordKind::Service, "s", 2, "c"), &[]).unwrap();
    let last = retire(RecordKind::Service, "s", 1, "d");
    refused(&mut store, last, Kind::ServiceInUse, "used by route r/1;");
}

#[test]
fn a_refusal_of_a_repeat_does_not_say_that_nothing_ran() {
    let mut store = store_in_use();
    let commit = put_text(&route("r", "t"), "op").as_repeat();
    let error = run(&mut store, commit, &[]).unwrap_err();
    assert_eq!(
        (error.kind(), error.ran()),
        (Kind::UnknownService, Ran::Unknown)
    );
}

/// Commits other changes until the operations before have left the head.
fn fill_operations(store: &mut MemoryStore) {
    for i in 0..2 * MAX_OPERATIONS as u64 {
        run(store, put("z", 1 + i, &format!("other-{i}")), &[]).expect("a valid value");
    }
}

#[test]
fn a_repeat_after_any_number_of_operations_never_commits_twice() {
    for fate in [Fate::ReplyLost, Fate::RequestLost] {
        // Repeated by the operator, who may or may not say that it is a repeat.
        for is_told in [false, true] {
            let mut store = MemoryStore::default();
            let lost = run(
                &mut store,
                put("a", 1, "op"),
                &fates(HEAD, &[fate, Fate::Down]),
            );
            assert_eq!(lost.unwrap_err().kind(), Kind::StoreUnknown);
            fill_operations(&mut store);
            let (has_run, before) = (fate == Fate::ReplyLost, head(&store));
            let repeat = match is_told {
                true => put("a", 1, "op").as_repeat(),
                false => put("a", 1, "op"),
            };
            let repeated = run(&mut store, repeat, &[]).unwrap();
            assert_eq!(repeated.is_repeat, has_run, "{fate:?}");
            assert_eq!(repeated.revision == 1, has_run, "{fate:?}");
            assert_eq!(head(&store) == before, has_run, "{fate:?}");
            let other = run(&mut store, put("a", 2, "op"), &[]).unwrap_err();
            assert_eq!(other.kind(), Kind::KeyReused, "{fate:?}");
        }
        // Settled within the commit that lost the reply.
        let mut store = MemoryStore::default();
        let mut commit = put("a", 1, "op");
        let mut step = commit.start();
        for fate in [Fate::Fine, Fate::Fine, fate] {
            step = commit.on_event(answer(&mut store, &step, fate));
        }
        fill_operations(&mut store);
        let settled = finish(&mut store, commit, step).unwrap();
        assert_eq!(settled.revision == 1, fate == Fate::ReplyLost, "{fate:?}");
    }
}

/// Number of records that the long runs change in turn.
const RECORDS: u64 = 20;

/// Commits `count` changes with a pause before each, starting at operation `first`.
fn change_in_turn(store: &mut MemoryStore, first: u64, count: u64, pause: Duration) {
    for i in first..first + count {
        store.advance(pause);
        let name = format!("s{}", i % RECORDS);
        run(store, put(&name, 1 + i, &format!("op-{i}")), &[]).expect("a valid value");
    }
}

/// Checks that the store holds every body that the head names, also after all
/// leases that were granted by now have ended.
fn check_in_force(store: &MemoryStore) {
    let mut later = store.clone();
    later.advance(2 * KEPT_FOR);
    for entry in head(store).entries {
        assert!(later.get(&entry.body_key).is_some(), "{}", entry.body_key);
    }
}

#[test]
fn the_store_keeps_what_is_in_force_and_a_week_of_the_rest() {
    const A_DAY: u64 = 40;
    let mut store = MemoryStore::default();
    let pause = Duration::from_secs(24 * 3_600) / A_DAY as u32;
    let kept = KEPT_FOR.as_secs() / pause.as_secs();
    for day in 0..30 {
        change_in_turn(&mut store, day * A_DAY, A_DAY, pause);
        check_in_force(&store);
        let count = store.keys().count() as u64;
        // The head, bodies in force, those replaced by operations that the head
        // names, and three keys for each operation of a week.
        let most = 1 + RECORDS + MAX_OPERATIONS as u64 + 3 * kept;
        assert!(count <= most, "day {day}: {count} keys, allowed are {most}");
    }
    // What a week-old revision brought into force can still be rolled back to.
    let last = head(&store).revision;
    for revision in last - kept..=last - MAX_OPERATIONS as u64 {
        let key = format!("wharf/history/{revision:020}");
        let value = store.get(&key).unwrap_or_else(|| panic!("{key} is gone"));
        let operation: Operation = serde_json::from_slice(&value.bytes).expect("a valid value");
        let body_key = operation.body_key.expect("a body");
        assert!(store.get(&body_key).is_some(), "{body_key} is gone");
    }
}

#[test]
fn a_day_of_changes_leaves_few_keys_after_a_week() {
    let mut store = MemoryStore::default();
    change_in_turn(&mut store, 0, 1_100, Duration::from_secs(78));
    let after_a_day = store.keys().count();
    store.advance(KEPT_FOR);
    let after_a_week = store.keys().count();
    println!("1,100 changes of {RECORDS} records: {after_a_day} keys, a week later {after_a_week}");
    assert_eq!(after_a_week as u64, 1 + RECORDS + MAX_OPERATIONS as u64);
}

/// Steps of a commit that makes an operation leave the head, without faults.
const STEPS: usize = 9;
/// Those of them that read: the head, the operation, the body that was replaced.
const READS: [usize; 3] = [0, 1, 5];

#[test]
fn no_fault_on_the_way_loses_an_operation_or_a_body_in_force() {
    for fate in [Fate::ReplyLost, Fate::RequestLost, Fate::Down] {
        for at in 0..STEPS {
            let mut store = MemoryStore::default();
            change_in_turn(
                &mut store,
                0,
                2 * MAX_OPERATIONS as u64,
                Duration::from_secs(60),
            );
            let before = head(&store).revision;
            let result = run(&mut store, put("s0", 9, "op"), &fates(at, &[fate]));
            // A read that fails, like a store that is down, has changed nothing.
            let is_settled = result.is_ok() || fate == Fate::Down || READS.contains(&at);
            assert!(is_settled, "{fate:?} at step {at}: {result:?}");
            let repeated = run(&mut store, put("s0", 9, "op").as_repeat(), &[]).unwrap();
            assert_eq!(repeated.revision, before + 1, "{fate:?} at step {at}");
            assert_eq!(head(&store).revision, before + 1, "{fate:?} at step {at}");
            check_in_force(&store);
            for i in 0..=MAX_OPERATIONS {
                let key = format!("wharf/operation/op-{i}");
                assert!(store.get(&key).is_some(), "{fate:?} at step {at}: {key}");
            }
        }
    }
}

#[test]
fn what_goes_out_of_force_never_takes_a_body_in_force_along() {
    let mut store = MemoryStore::default();
    run(&mut store, put("s0", 1, "first"), &[]).unwrap();
    let (backup, held) = (store.clone(), head(&store));
    let text = store.get(&held.entries[0].body_key).unwrap().bytes;
    let text = Arc::from(String::from_utf8_lossy(&text));
    // The same text again, by a put and by a rollback, while the first key expires.
    run(&mut store, put("s0", 2, "other"), &[]).unwrap();
    run(&mut store, put("s0", 1, "again"), &[]).unwrap();
    change_in_turn(&mut store, 1, RECORDS - 1, Duration::ZERO);
    run(&mut store, put("s0", 2, "other-again"), &[]).unwrap();
    let commit = roll_back(&store, 1, "back");
    run(&mut store, commit, &[]).unwrap();
    for i in 0..2 * MAX_OPERATIONS as u64 {
        run(&mut store, put("s1", 1 + i, &format!("more-{i}")), &[]).unwrap();
    }
    check_in_force(&store);
    // Another branch replaces the body that a recovery brings back.
    let mut restored = backup;
    run(&mut restored, put("s0", 3, "branch"), &[]).unwrap();
    for i in 0..2 * MAX_OPERATIONS as u64 {
        run(&mut restored, put("s1", 1 + i, &format!("branch-{i}")), &[]).unwrap();
    }
    let bundle = Bundle {
        bodies: [(held.entries[0].body_key.clone(), text)].into(),
        head: held,
    };
    run(
        &mut restored,
        Commit::recover(&bundle, stamp("recovery")),
        &[],
    )
    .unwrap();
    check_in_force(&restored);
}
