//! Tests of [`Commit`], with its steps executed against an in-memory store.

mod faults;

use {
    crate::faults::InjectedFault,
    fakes::memory::MemoryStore,
    kind::{Kind, Ran, Result},
    record::{
        Bundle, Change, Head, Operation, OperationInfo, Precondition, RawRecord, RecordId,
        RecordKind, MAX_OPERATIONS,
    },
    std::{sync::Arc, time::Duration},
    store::{Commit, CommitEvent, CommitStep, Committed, Expected, HEAD_KEY, HISTORY_RETENTION},
};

fn stamp(operation_id: &str) -> OperationInfo {
    OperationInfo {
        operation_id: operation_id.to_owned(),
        operator: format!("operator of {operation_id}"),
    }
}

/// Returns the text of a service record, which, unlike a route, refers to no other record.
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
    let raw = RawRecord::from_json(text).expect("a valid record");
    Commit::put(&raw, stamp(operation_id)).expect("a valid record")
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

/// Returns a commit that rolls back to the body of `revision`.
fn roll_back(store: &MemoryStore, revision: u64, operation_id: &str) -> Commit {
    let operations = head(store).operations;
    let operation = operations.iter().find(|o| o.revision == revision);
    let key = operation
        .and_then(|o| o.body_key.clone())
        .expect("a revision with a body");
    let text = store.get(&key).expect("the body is stored").bytes;
    let text = String::from_utf8_lossy(&text).into_owned();
    Commit::roll_back(text, stamp(operation_id)).expect("a valid body")
}

fn execute(store: &mut MemoryStore, step: &CommitStep, fault: InjectedFault) -> CommitEvent {
    match step {
        CommitStep::Read { key } => CommitEvent::Read(fault.apply(|| Ok(store.get(key)))),
        CommitStep::Write {
            key,
            expected,
            bytes,
            lease_id,
        } => {
            let bytes = bytes.clone();
            let write = || store.put_leased(key, *expected, bytes, *lease_id);
            CommitEvent::Written(fault.apply(write))
        }
        CommitStep::GrantLease { ttl } => {
            CommitEvent::Granted(fault.apply(|| Ok(store.grant_lease(*ttl))))
        }
        CommitStep::Done(_) => panic!("the commit has ended"),
    }
}

/// Runs a commit from `step` to its end without faults.
fn run_to_end(
    store: &mut MemoryStore,
    mut commit: Commit,
    mut step: CommitStep,
) -> Result<Committed> {
    loop {
        if let CommitStep::Done(result) = step {
            return result;
        }
        let event = execute(store, &step, InjectedFault::NoFault);
        step = commit.on_event(event);
    }
}

/// Runs a commit with `faults` injected into its first calls.
fn run(store: &mut MemoryStore, mut commit: Commit, faults: &[InjectedFault]) -> Result<Committed> {
    let mut step = commit.start();
    let mut faults = faults.iter().copied();
    loop {
        if let CommitStep::Done(result) = step {
            return result;
        }
        let event = execute(
            store,
            &step,
            faults.next().unwrap_or(InjectedFault::NoFault),
        );
        step = commit.on_event(event);
    }
}

fn head(store: &MemoryStore) -> Head {
    store.get(HEAD_KEY).map_or_else(Head::default, |value| {
        Head::from_json(&value.bytes).expect("a valid head")
    })
}

/// Indexes of the steps of a commit without faults.
const READ_HEAD: usize = 0;
const WRITE_BODY: usize = 1;
const WRITE_HEAD: usize = 2;

fn faults_from(step_index: usize, injected: &[InjectedFault]) -> Vec<InjectedFault> {
    let mut faults = vec![InjectedFault::NoFault; step_index];
    faults.extend_from_slice(injected);
    faults
}

struct FaultCase {
    step_index: usize,
    faults: &'static [InjectedFault],
    /// Kind of the expected error; `None` if the commit succeeds.
    kind: Option<Kind>,
    revision_after: u64,
}

const FAULT_CASES: &[FaultCase] = &[
    FaultCase {
        step_index: READ_HEAD,
        faults: &[InjectedFault::Unreachable],
        kind: Some(Kind::StoreDown),
        revision_after: 0,
    },
    FaultCase {
        step_index: READ_HEAD,
        faults: &[InjectedFault::ReplyLost],
        kind: Some(Kind::StoreDown),
        revision_after: 0,
    },
    FaultCase {
        step_index: WRITE_BODY,
        faults: &[InjectedFault::ReplyLost],
        kind: None,
        revision_after: 1,
    },
    FaultCase {
        step_index: WRITE_BODY,
        faults: &[InjectedFault::RequestLost, InjectedFault::Unreachable],
        kind: Some(Kind::StoreDown),
        revision_after: 0,
    },
    FaultCase {
        step_index: WRITE_BODY,
        faults: &[InjectedFault::RequestLost; 8],
        kind: Some(Kind::StoreDown),
        revision_after: 0,
    },
    FaultCase {
        step_index: WRITE_HEAD,
        faults: &[InjectedFault::Unreachable],
        kind: Some(Kind::StoreDown),
        revision_after: 0,
    },
    FaultCase {
        step_index: WRITE_HEAD,
        faults: &[InjectedFault::ReplyLost],
        kind: None,
        revision_after: 1,
    },
    FaultCase {
        step_index: WRITE_HEAD,
        faults: &[InjectedFault::RequestLost],
        kind: None,
        revision_after: 1,
    },
    FaultCase {
        step_index: WRITE_HEAD,
        faults: &[InjectedFault::ReplyLost, InjectedFault::Unreachable],
        kind: Some(Kind::StoreUnknown),
        revision_after: 1,
    },
    FaultCase {
        step_index: WRITE_HEAD,
        faults: &[InjectedFault::RequestLost, InjectedFault::Unreachable],
        kind: Some(Kind::StoreUnknown),
        revision_after: 0,
    },
    FaultCase {
        step_index: WRITE_HEAD,
        faults: &[
            InjectedFault::RequestLost,
            InjectedFault::NoFault,
            InjectedFault::Unreachable,
        ],
        kind: Some(Kind::StoreUnknown),
        revision_after: 0,
    },
];

#[test]
fn a_lost_reply_is_resolved_and_never_reported_as_a_failure() {
    for case in FAULT_CASES {
        let mut store = MemoryStore::default();
        let result = run(
            &mut store,
            put("a", 1, "op"),
            &faults_from(case.step_index, case.faults),
        );
        let description = format!("{:?} at step {}", case.faults, case.step_index);
        assert_eq!(head(&store).revision, case.revision_after, "{description}");
        match case.kind {
            None => assert_eq!(result.unwrap().revision, 1, "{description}"),
            Some(kind) => {
                let error = result.unwrap_err();
                assert_eq!(error.kind(), kind, "{description}");
                let is_unknown = kind == Kind::StoreUnknown;
                assert_eq!(error.ran() == Ran::Unknown, is_unknown, "{description}");
            }
        }
        // A repeat with the same operation identifier never commits twice.
        let repeated = run(&mut store, put("a", 1, "op"), &[]).unwrap();
        assert_eq!(
            (repeated.revision, head(&store).revision),
            (1, 1),
            "{description}"
        );
    }
}

#[test]
fn a_repeat_after_a_lost_reply_finds_its_commit_below_later_ones() {
    let mut store = MemoryStore::default();
    let lost = run(
        &mut store,
        put("a", 1, "op"),
        &faults_from(
            WRITE_HEAD,
            &[InjectedFault::ReplyLost, InjectedFault::Unreachable],
        ),
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
fn an_operation_id_cannot_be_reused_for_another_change() {
    let mut store = MemoryStore::default();
    run(&mut store, put("a", 1, "op"), &[]).unwrap();
    let error = run(&mut store, put("a", 2, "op"), &[]).unwrap_err();
    assert_eq!(error.kind(), Kind::KeyReused);
}

/// Runs `first` up to its write of the head, then all of `second`, then the rest of `first`.
fn run_concurrently(
    store: &mut MemoryStore,
    mut first: Commit,
    second: Commit,
) -> Result<Committed> {
    let mut step = first.start();
    let mut second = Some(second);
    loop {
        if let CommitStep::Done(result) = step {
            return result;
        }
        let is_head = matches!(&step, CommitStep::Write { key, .. } if key == HEAD_KEY);
        if is_head {
            if let Some(second) = second.take() {
                run(store, second, &[]).expect("the second commit succeeds");
            }
        }
        let event = execute(store, &step, InjectedFault::NoFault);
        step = first.on_event(event);
    }
}

#[test]
fn concurrent_commits_to_one_record_conflict_and_name_the_winner() {
    let mut store = MemoryStore::default();
    let error = run_concurrently(&mut store, put("a", 1, "ada"), put("a", 2, "bob")).unwrap_err();
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
fn concurrent_commits_to_different_records_both_succeed() {
    let mut store = MemoryStore::default();
    let committed = run_concurrently(&mut store, put("a", 1, "ada"), put("b", 2, "bob")).unwrap();
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
fn a_rollback_creates_a_new_revision() {
    let mut store = MemoryStore::default();
    run(&mut store, put("a", 1, "ada"), &[]).unwrap();
    let first = head(&store).entries[0].clone();
    run(&mut store, put("a", 2, "bob"), &[]).unwrap();
    let commit = roll_back(&store, 1, "cyd");
    let committed = run(&mut store, commit, &[]).unwrap();
    assert_eq!(committed.revision, 3);
    let entry = &head(&store).entries[0];
    // The same text is stored under a new key, since the first key may be about to expire.
    assert_eq!(entry.revision, 3);
    assert_ne!(entry.body_key, first.body_key);
    let text_at = |key: &str| store.get(key).map(|value| value.bytes);
    assert!(text_at(&first.body_key).is_some());
    assert_eq!(text_at(&entry.body_key), text_at(&first.body_key));
}

#[test]
fn an_operation_is_archived_before_the_head_drops_it() {
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
fn a_restored_store_accepts_only_a_recovery() {
    let mut store = MemoryStore::default();
    run(&mut store, put("a", 1, "ada"), &[]).unwrap();
    let backup = store.clone();
    run(&mut store, put("a", 2, "bob"), &[]).unwrap();
    let local_head = head(&store);
    let mut restored = backup;
    let commit = put("a", 3, "cyd").with_local_head(local_head.id());
    let error = run(&mut restored, commit, &[]).unwrap_err();
    assert_eq!(error.kind(), Kind::StoreReverted);
    assert_eq!(head(&restored).revision, 1);
    let change = Change::Recover {
        head: local_head.clone().into(),
    };
    let recovery = Commit::new(change, stamp("dee")).with_local_head(local_head.id());
    assert_eq!(run(&mut restored, recovery, &[]).unwrap().revision, 3);
    assert_eq!(head(&restored).entries, local_head.entries);
}

#[test]
fn a_malformed_head_is_not_overwritten() {
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
fn a_repeat_during_a_store_outage_has_an_unknown_outcome() {
    let mut store = MemoryStore::default();
    let first = run(&mut store, put("a", 1, "op"), &[InjectedFault::Unreachable]);
    assert_eq!(first.unwrap_err().kind(), Kind::StoreDown);
    let repeat = put("a", 1, "op").as_repeat();
    let second = run(&mut store, repeat, &[InjectedFault::Unreachable]);
    assert_eq!(second.unwrap_err().kind(), Kind::StoreUnknown);
}

#[test]
fn a_commit_during_a_restore_has_an_unknown_outcome() {
    let mut store = MemoryStore::default();
    run(&mut store, put("a", 1, "ada"), &[]).unwrap();
    let before = store.get(HEAD_KEY).unwrap().bytes;
    let mut commit = put("a", 2, "bob");
    let mut step = commit.start();
    for fault in [
        InjectedFault::NoFault,
        InjectedFault::NoFault,
        InjectedFault::ReplyLost,
    ] {
        step = commit.on_event(execute(&mut store, &step, fault));
    }
    store.overwrite(HEAD_KEY, before);
    let CommitStep::Done(result) =
        commit.on_event(execute(&mut store, &step, InjectedFault::NoFault))
    else {
        panic!("the commit has not ended");
    };
    assert_eq!(result.unwrap_err().kind(), Kind::StoreUnknown);
}

/// Returns a store with the services s/1 and s/2 and the route r/1 that uses them.
fn store_with_route() -> MemoryStore {
    let mut store = MemoryStore::default();
    for (i, text) in [service("s", 1, 1), service("s", 2, 1), route("r", "s")]
        .iter()
        .enumerate()
    {
        run(&mut store, put_text(text, &format!("op-{i}")), &[]).expect("the commit succeeds");
    }
    store
}

fn assert_refused(store: &mut MemoryStore, commit: Commit, kind: Kind, detail: &str) {
    let before = store.clone();
    let error = run(store, commit, &[]).expect_err(detail);
    assert_eq!((error.kind(), error.ran()), (kind, Ran::No), "{error}");
    assert!(error.detail().contains(detail), "{error}");
    assert_eq!(*store, before, "something was written: {error}");
}

#[test]
fn no_change_leaves_a_route_without_a_service() {
    let (mut store, service_kind) = (store_with_route(), RecordKind::Service);
    let unknown = put_text(&route("r", "t"), "a");
    assert_refused(&mut store, unknown, Kind::UnknownService, "names 't'");
    // The route keeps working with the older version of the service.
    run(&mut store, retire(service_kind, "s", 2, "b"), &[]).unwrap();
    let last = retire(service_kind, "s", 1, "c");
    assert_refused(&mut store, last, Kind::ServiceInUse, "used by route r/1;");
    run(&mut store, retire(RecordKind::Route, "r", 1, "d"), &[]).unwrap();
    run(&mut store, retire(service_kind, "s", 1, "e"), &[]).unwrap();
    let orphaned_route = roll_back(&store, 3, "f");
    assert_refused(
        &mut store,
        orphaned_route,
        Kind::UnknownService,
        "names 's'",
    );
    for (revision, operation_id) in [(1, "g"), (3, "h")] {
        let commit = roll_back(&store, revision, operation_id);
        run(&mut store, commit, &[]).unwrap();
    }
}

#[test]
fn concurrent_commits_leave_no_route_without_a_service() {
    let retire_last = || retire(RecordKind::Service, "s", 1, "ada");
    let put_route = || put_text(&route("q", "s"), "bob");
    let start = || {
        let mut store = MemoryStore::default();
        run(&mut store, put("s", 1, "first"), &[]).unwrap();
        store
    };
    let error = run_concurrently(&mut start(), retire_last(), put_route()).unwrap_err();
    assert_eq!(error.kind(), Kind::ServiceInUse, "{error}");
    let error = run_concurrently(&mut start(), put_route(), retire_last()).unwrap_err();
    assert_eq!(error.kind(), Kind::UnknownService, "{error}");
}

#[test]
fn a_route_written_by_an_older_release_still_blocks_retirement_of_its_service() {
    let mut store = store_with_route();
    let mut old_head = head(&store);
    old_head
        .entries
        .iter_mut()
        .for_each(|entry| entry.service = None);
    store.overwrite(HEAD_KEY, old_head.to_json().into());
    run(&mut store, retire(RecordKind::Service, "s", 2, "a"), &[]).unwrap();
    assert_eq!(head(&store).entries[0].service.as_deref(), Some("s"));
    store.overwrite(HEAD_KEY, old_head.to_json().into());
    run(&mut store, put("t", 1, "b"), &[]).unwrap();
    run(&mut store, retire(RecordKind::Service, "s", 2, "c"), &[]).unwrap();
    let last = retire(RecordKind::Service, "s", 1, "d");
    assert_refused(&mut store, last, Kind::ServiceInUse, "used by route r/1;");
}

#[test]
fn a_refused_repeat_has_an_unknown_execution_state() {
    let mut store = store_with_route();
    let commit = put_text(&route("r", "t"), "op").as_repeat();
    let error = run(&mut store, commit, &[]).unwrap_err();
    assert_eq!(
        (error.kind(), error.ran()),
        (Kind::UnknownService, Ran::Unknown)
    );
}

/// Commits other changes until the head lists none of the earlier operations.
fn replace_all_operations_in_head(store: &mut MemoryStore) {
    for i in 0..2 * MAX_OPERATIONS as u64 {
        run(store, put("z", 1 + i, &format!("other-{i}")), &[]).expect("the commit succeeds");
    }
}

#[test]
fn a_repeat_after_any_number_of_operations_never_commits_twice() {
    for fault in [InjectedFault::ReplyLost, InjectedFault::RequestLost] {
        // The operator repeats the commit, marked as a repeat or not.
        for is_marked_as_repeat in [false, true] {
            let mut store = MemoryStore::default();
            let lost = run(
                &mut store,
                put("a", 1, "op"),
                &faults_from(WRITE_HEAD, &[fault, InjectedFault::Unreachable]),
            );
            assert_eq!(lost.unwrap_err().kind(), Kind::StoreUnknown);
            replace_all_operations_in_head(&mut store);
            let (has_committed, before) = (fault == InjectedFault::ReplyLost, head(&store));
            let repeat = match is_marked_as_repeat {
                true => put("a", 1, "op").as_repeat(),
                false => put("a", 1, "op"),
            };
            let repeated = run(&mut store, repeat, &[]).unwrap();
            assert_eq!(repeated.is_repeat, has_committed, "{fault:?}");
            assert_eq!(repeated.revision == 1, has_committed, "{fault:?}");
            assert_eq!(head(&store) == before, has_committed, "{fault:?}");
            let other = run(&mut store, put("a", 2, "op"), &[]).unwrap_err();
            assert_eq!(other.kind(), Kind::KeyReused, "{fault:?}");
        }
        // The commit that lost the reply resolves the outcome itself.
        let mut store = MemoryStore::default();
        let mut commit = put("a", 1, "op");
        let mut step = commit.start();
        for fault in [InjectedFault::NoFault, InjectedFault::NoFault, fault] {
            step = commit.on_event(execute(&mut store, &step, fault));
        }
        replace_all_operations_in_head(&mut store);
        let committed = run_to_end(&mut store, commit, step).unwrap();
        assert_eq!(
            committed.revision == 1,
            fault == InjectedFault::ReplyLost,
            "{fault:?}"
        );
    }
}

/// Number of records that the long-running tests change in turn.
const RECORD_COUNT: u64 = 20;

/// Commits `count` changes, starting with operation `first` and advancing the clock by
/// `pause` before each.
fn change_in_turn(store: &mut MemoryStore, first: u64, count: u64, pause: Duration) {
    for i in first..first + count {
        store.advance(pause);
        let name = format!("s{}", i % RECORD_COUNT);
        run(store, put(&name, 1 + i, &format!("op-{i}")), &[]).expect("the commit succeeds");
    }
}

/// Checks that the store holds every body that the head names even after all leases
/// granted so far have ended.
fn assert_bodies_in_force(store: &MemoryStore) {
    let mut later = store.clone();
    later.advance(2 * HISTORY_RETENTION);
    for entry in head(store).entries {
        assert!(later.get(&entry.body_key).is_some(), "{}", entry.body_key);
    }
}

#[test]
fn the_store_keeps_bodies_in_force_and_a_week_of_history() {
    const CHANGES_PER_DAY: u64 = 40;
    let mut store = MemoryStore::default();
    let pause = Duration::from_secs(24 * 3_600) / CHANGES_PER_DAY as u32;
    let kept_changes = HISTORY_RETENTION.as_secs() / pause.as_secs();
    for day in 0..30 {
        change_in_turn(&mut store, day * CHANGES_PER_DAY, CHANGES_PER_DAY, pause);
        assert_bodies_in_force(&store);
        let key_count = store.keys().count() as u64;
        // The head, the bodies in force, the bodies replaced by operations that the
        // head lists, and three keys for each operation of the last week.
        let max_keys = 1 + RECORD_COUNT + MAX_OPERATIONS as u64 + 3 * kept_changes;
        assert!(
            key_count <= max_keys,
            "day {day}: {key_count} keys, the limit is {max_keys}"
        );
    }
    // The bodies of the last week are still available for a rollback.
    let last = head(&store).revision;
    for revision in last - kept_changes..=last - MAX_OPERATIONS as u64 {
        let key = format!("wharf/history/{revision:020}");
        let value = store.get(&key).unwrap_or_else(|| panic!("{key} is gone"));
        let operation: Operation = serde_json::from_slice(&value.bytes).expect("a valid operation");
        let body_key = operation.body_key.expect("an operation with a body");
        assert!(store.get(&body_key).is_some(), "{body_key} is gone");
    }
}

#[test]
fn keys_of_a_day_of_changes_expire_after_a_week() {
    let mut store = MemoryStore::default();
    change_in_turn(&mut store, 0, 1_100, Duration::from_secs(78));
    let after_a_day = store.keys().count();
    store.advance(HISTORY_RETENTION);
    let after_a_week = store.keys().count();
    println!(
        "1,100 changes of {RECORD_COUNT} records: {after_a_day} keys, a week later {after_a_week}"
    );
    assert_eq!(
        after_a_week as u64,
        1 + RECORD_COUNT + MAX_OPERATIONS as u64
    );
}

/// Number of steps, without faults, of a commit for which the head drops an operation.
const STEP_COUNT: usize = 9;
/// Indexes of the steps that read: the head, the operation and the replaced body.
const READ_STEPS: [usize; 3] = [0, 1, 5];

#[test]
fn no_single_fault_loses_an_operation_or_a_body_in_force() {
    for fault in [
        InjectedFault::ReplyLost,
        InjectedFault::RequestLost,
        InjectedFault::Unreachable,
    ] {
        for step_index in 0..STEP_COUNT {
            let mut store = MemoryStore::default();
            change_in_turn(
                &mut store,
                0,
                2 * MAX_OPERATIONS as u64,
                Duration::from_secs(60),
            );
            let before = head(&store).revision;
            let result = run(
                &mut store,
                put("s0", 9, "op"),
                &faults_from(step_index, &[fault]),
            );
            // A failed read and an unreachable store have changed nothing.
            let is_expected = result.is_ok()
                || fault == InjectedFault::Unreachable
                || READ_STEPS.contains(&step_index);
            assert!(is_expected, "{fault:?} at step {step_index}: {result:?}");
            let repeated = run(&mut store, put("s0", 9, "op").as_repeat(), &[]).unwrap();
            assert_eq!(
                repeated.revision,
                before + 1,
                "{fault:?} at step {step_index}"
            );
            assert_eq!(
                head(&store).revision,
                before + 1,
                "{fault:?} at step {step_index}"
            );
            assert_bodies_in_force(&store);
            for i in 0..=MAX_OPERATIONS {
                let key = format!("wharf/operation/op-{i}");
                assert!(
                    store.get(&key).is_some(),
                    "{fault:?} at step {step_index}: {key}"
                );
            }
        }
    }
}

#[test]
fn expiry_of_replaced_bodies_never_removes_a_body_in_force() {
    let mut store = MemoryStore::default();
    run(&mut store, put("s0", 1, "first"), &[]).unwrap();
    let (backup, local_head) = (store.clone(), head(&store));
    let text = store.get(&local_head.entries[0].body_key).unwrap().bytes;
    let text = Arc::from(String::from_utf8_lossy(&text));
    // Put and roll back to the same text while the first key expires.
    run(&mut store, put("s0", 2, "other"), &[]).unwrap();
    run(&mut store, put("s0", 1, "again"), &[]).unwrap();
    change_in_turn(&mut store, 1, RECORD_COUNT - 1, Duration::ZERO);
    run(&mut store, put("s0", 2, "other-again"), &[]).unwrap();
    let commit = roll_back(&store, 1, "back");
    run(&mut store, commit, &[]).unwrap();
    for i in 0..2 * MAX_OPERATIONS as u64 {
        run(&mut store, put("s1", 1 + i, &format!("more-{i}")), &[]).unwrap();
    }
    assert_bodies_in_force(&store);
    // On a restored store, other commits replace the body that the recovery then restores.
    let mut restored = backup;
    run(&mut restored, put("s0", 3, "branch"), &[]).unwrap();
    for i in 0..2 * MAX_OPERATIONS as u64 {
        run(&mut restored, put("s1", 1 + i, &format!("branch-{i}")), &[]).unwrap();
    }
    let bundle = Bundle {
        bodies: [(local_head.entries[0].body_key.clone(), text)].into(),
        head: local_head,
    };
    run(
        &mut restored,
        Commit::recover(&bundle, stamp("recovery")),
        &[],
    )
    .unwrap();
    assert_bodies_in_force(&restored);
}
