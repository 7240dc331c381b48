//! Tests of the claim log: batches of several hosts on one in-memory store.

mod faults;

use {
    crate::faults::InjectedFault,
    fakes::memory::MemoryStore,
    kind::{Kind, Ran},
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::{
        collections::BTreeMap,
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
    store::{
        Batch, BatchAnswer, BatchEvent, BatchOp, BatchStep, Claim, ClaimResult, Outcome, RangeView,
        ScopeHash,
    },
};

static NEXT_ID: AtomicU64 = AtomicU64::new(1);
const OPEN_KEY: &str = "wharf/claims/0/open";
/// Number of sealed generations at which a range accepts no further claims; must match
/// the constant of the crate.
const MAX_SEALED: usize = 2_048;
const RETENTION: Duration = Duration::from_secs(3_600);
/// Size of an answer such that a few of them fill a generation, in bytes.
const LARGE_ANSWER_BYTES: usize = 16 * 1024;

/// A batch in progress on one host.
struct RunningBatch {
    batch: Batch,
    step: BatchStep,
    writes: u32,
    reads: u32,
    /// Retention of the last write.
    retention: Duration,
}

impl RunningBatch {
    fn new(id: u128, view: RangeView, ops: Vec<BatchOp>) -> Self {
        Self::from_batch(Batch::new(0, id, view, ops))
    }

    fn from_batch(mut batch: Batch) -> Self {
        let step = batch.start();
        Self {
            batch,
            step,
            writes: 0,
            reads: 0,
            retention: Duration::ZERO,
        }
    }

    fn answers(&self) -> Option<&Vec<BatchAnswer>> {
        match &self.step {
            BatchStep::Done(answers) => Some(answers),
            _ => None,
        }
    }

    /// Executes one step.
    fn advance(&mut self, store: &mut MemoryStore, fault: InjectedFault) {
        let event = match self.step.clone() {
            BatchStep::Read { key } => {
                self.reads += 1;
                BatchEvent::Read(fault.apply(|| Ok(store.get(&key))))
            }
            BatchStep::Write {
                key,
                expected,
                bytes,
                retention,
            } => {
                assert!(bytes.len() < 1_000_000 && retention >= RETENTION);
                self.writes += 1;
                self.retention = retention;
                BatchEvent::Written(fault.apply(|| store.put(&key, expected, bytes)))
            }
            BatchStep::Done(_) => return,
        };
        self.step = self.batch.on_event(event);
    }

    fn run(mut self, store: &mut MemoryStore, faults: &[InjectedFault]) -> BatchResult {
        let mut faults = faults.iter().copied();
        while self.answers().is_none() {
            self.advance(store, faults.next().unwrap_or(InjectedFault::NoFault));
        }
        BatchResult {
            answers: self.answers().cloned().unwrap_or_default(),
            writes: self.writes,
            reads: self.reads,
            retention: self.retention,
            view: self.batch.into_view(),
        }
    }
}

struct BatchResult {
    answers: Vec<BatchAnswer>,
    writes: u32,
    reads: u32,
    retention: Duration,
    view: RangeView,
}

fn op(scope_hash: ScopeHash, claim: Claim) -> BatchOp {
    BatchOp {
        scope_hash,
        retention: RETENTION,
        claim,
    }
}

fn claim_op(scope_hash: ScopeHash, attempt_id: u128) -> BatchOp {
    op(scope_hash, Claim::new(attempt_id, 7))
}

fn outcome(ran: Ran, bytes: usize) -> Outcome {
    Outcome {
        ran,
        answer: Some("x".repeat(bytes)),
        failure: None,
    }
}

fn outcome_op(scope_hash: ScopeHash, attempt_id: u128, outcome: Outcome) -> BatchOp {
    op(scope_hash, Claim::new(attempt_id, 7).with_outcome(outcome))
}

fn run(
    store: &mut MemoryStore,
    view: RangeView,
    ops: Vec<BatchOp>,
    faults: &[InjectedFault],
) -> BatchResult {
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    RunningBatch::new(id.into(), view, ops).run(store, faults)
}

fn refusals(result: &BatchResult) -> Vec<Option<(Kind, Ran)>> {
    let kind = |answer: &BatchAnswer| answer.as_ref().err().map(|e| (e.kind(), e.ran()));
    result.answers.iter().map(kind).collect()
}

const ALREADY_CLAIMED: Option<(Kind, Ran)> = Some((Kind::AlreadyClaimed, Ran::Unknown));

#[test]
fn a_batch_of_claims_or_outcomes_takes_one_write() {
    let mut store = MemoryStore::default();
    let claims = (0..64).map(|i| claim_op(i, i + 1)).collect();
    let claimed = run(&mut store, RangeView::default(), claims, &[]);
    assert!(claimed
        .answers
        .iter()
        .all(|a| *a == Ok(ClaimResult::Held(()))));
    assert_eq!((claimed.writes, claimed.reads), (1, 1));
    let outcomes = (0..64).map(|i| outcome_op(i, i + 1, outcome(Ran::Yes, 10)));
    let recorded = run(&mut store, claimed.view, outcomes.collect(), &[]);
    assert_eq!((recorded.writes, recorded.reads), (1, 0));
    // A resent request is answered from the view, without any call.
    let resent = run(
        &mut store,
        recorded.view,
        vec![claim_op(3, 99)],
        &[InjectedFault::Unreachable],
    );
    assert_eq!(
        resent.answers,
        [Ok(ClaimResult::Finished(outcome(Ran::Yes, 10)))]
    );
    assert_eq!((resent.writes, resent.reads), (0, 0));
}

const STORE_DOWN: Option<(Kind, Ran)> = Some((Kind::StoreDown, Ran::No));
const STORE_UNKNOWN: Option<(Kind, Ran)> = Some((Kind::StoreUnknown, Ran::No));

/// Faults injected into the calls of a batch, and the expected error, if any.
type Case = (&'static [InjectedFault], Option<(Kind, Ran)>);

const UNCLAIMED_SCOPE_CASES: &[Case] = &[
    (&[], None),
    (&[InjectedFault::NoFault, InjectedFault::ReplyLost], None),
    (&[InjectedFault::NoFault, InjectedFault::RequestLost], None),
    (&[InjectedFault::Unreachable], STORE_DOWN),
    (
        &[InjectedFault::NoFault, InjectedFault::Unreachable],
        STORE_DOWN,
    ),
    (
        &[
            InjectedFault::NoFault,
            InjectedFault::ReplyLost,
            InjectedFault::Unreachable,
        ],
        STORE_UNKNOWN,
    ),
];

#[test]
fn an_unclaimed_scope_is_claimed_or_refused_with_ran_no() {
    for (faults, refusal) in UNCLAIMED_SCOPE_CASES {
        let mut store = MemoryStore::default();
        let ops = vec![claim_op(1, 1), claim_op(2, 2)];
        let result = run(&mut store, RangeView::default(), ops, faults);
        assert_eq!(refusals(&result), [*refusal, *refusal], "{faults:?}");
    }
}

#[test]
fn a_scope_with_a_pending_claim_cannot_be_claimed_from_any_view() {
    let mut store = MemoryStore::default();
    let stale = run(&mut store, RangeView::default(), vec![claim_op(9, 9)], &[]).view;
    run(&mut store, stale.clone(), vec![claim_op(1, 1)], &[]);
    for view in [RangeView::default(), stale.clone()] {
        let ops = vec![claim_op(1, 2), claim_op(2, 3), claim_op(2, 4)];
        let result = run(&mut store.clone(), view, ops, &[]);
        assert_eq!(refusals(&result), [ALREADY_CLAIMED, None, ALREADY_CLAIMED]);
    }
    let other_body = op(1, Claim::new(3, 8));
    let reused = run(&mut store, stale.clone(), vec![other_body], &[]);
    assert_eq!(refusals(&reused), [Some((Kind::KeyReused, Ran::No))]);
    // With a stale view, the batch reads the range again and finds the outcome that
    // another host recorded, instead of reporting it as unknown.
    let view_with_claim = run(&mut store, stale, vec![claim_op(1, 1)], &[]).view;
    let outcome = outcome(Ran::Yes, 1);
    let ops = vec![outcome_op(1, 1, outcome.clone())];
    run(&mut store, RangeView::default(), ops, &[]);
    let resent = run(&mut store, view_with_claim, vec![claim_op(1, 2)], &[]);
    assert_eq!(resent.answers, [Ok(ClaimResult::Finished(outcome))]);
}

#[test]
fn a_retried_attempt_finds_its_own_claim() {
    let mut store = MemoryStore::default();
    run(&mut store, RangeView::default(), vec![claim_op(1, 1)], &[]);
    let retried = run(&mut store, RangeView::default(), vec![claim_op(1, 1)], &[]);
    assert_eq!(retried.answers, [Ok(ClaimResult::Held(()))]);
    assert_eq!((retried.writes, retried.reads), (0, 1));
}

#[test]
fn a_repeat_takes_over_a_claim_whose_request_did_not_run() {
    let mut store = MemoryStore::default();
    let ops = vec![claim_op(1, 1), outcome_op(1, 1, outcome(Ran::No, 1))];
    run(&mut store, RangeView::default(), ops, &[]);
    let ops = vec![claim_op(1, 2), claim_op(1, 3)];
    let result = run(&mut store, RangeView::default(), ops, &[]);
    assert_eq!(refusals(&result), [None, ALREADY_CLAIMED]);
    // An outcome that the first attempt records late is ignored.
    let late_ops = vec![outcome_op(1, 1, outcome(Ran::Yes, 1)), claim_op(1, 4)];
    let result = run(&mut store, RangeView::default(), late_ops, &[]);
    assert_eq!(refusals(&result), [None, ALREADY_CLAIMED]);
}

/// Adds finished claims of `scopes` with large answers, which fills generations.
fn fill_generations(store: &mut MemoryStore, scopes: std::ops::Range<u128>) -> RangeView {
    let mut view = RangeView::default();
    for i in scopes {
        let large = outcome(Ran::Yes, LARGE_ANSWER_BYTES);
        view = run(store, view, vec![claim_op(i, i + 1)], &[]).view;
        view = run(store, view, vec![outcome_op(i, i + 1, large)], &[]).view;
    }
    view
}

fn sealed_keys(store: &MemoryStore) -> Vec<String> {
    let is_sealed = |key: &&String| !key.ends_with("/open");
    store.keys().filter(is_sealed).cloned().collect()
}

#[test]
fn claims_are_found_after_their_generation_is_sealed() {
    let mut store = MemoryStore::default();
    let cached_view = fill_generations(&mut store, 0..40);
    let sealed = sealed_keys(&store).len();
    assert!((3..=6).contains(&sealed), "{sealed} sealed generations");
    let fresh = Batch::new(0, 1, RangeView::default(), vec![claim_op(0, 98)]);
    let result = RunningBatch::from_batch(fresh.with_max_missing(sealed - 1)).run(&mut store, &[]);
    assert_eq!((refusals(&result), result.reads), (vec![STORE_DOWN], 1));
    for (view, max_reads) in [(cached_view, 1), (RangeView::default(), 2 + sealed as u32)] {
        let resent = run(&mut store, view, vec![claim_op(0, 99)], &[]);
        assert!(matches!(resent.answers[0], Ok(ClaimResult::Finished(_))));
        assert_eq!(resent.writes, 0);
        assert!(resent.reads <= max_reads, "{} reads", resent.reads);
    }
}

/// A range whose next claim seals the open generation.
struct FullRange {
    store: MemoryStore,
    view: RangeView,
    /// Number of claimed scopes, starting at scope 0.
    scopes: u128,
}

fn range_about_to_seal() -> FullRange {
    let seals_next = |full: &FullRange| {
        let mut store = full.store.clone();
        run(&mut store, full.view.clone(), vec![claim_op(99, 99)], &[]).writes == 2
    };
    let ranges = (1..).map(|scopes| {
        let mut store = MemoryStore::default();
        let view = fill_generations(&mut store, 0..scopes);
        FullRange {
            store,
            view,
            scopes,
        }
    });
    let mut full = ranges.skip_while(|full| !seals_next(full));
    full.next().expect("a full generation")
}

#[test]
fn sealing_loses_no_claim_under_any_single_fault() {
    let FullRange {
        store: full_store,
        view: cached_view,
        scopes,
    } = range_about_to_seal();
    let faults = [
        InjectedFault::ReplyLost,
        InjectedFault::RequestLost,
        InjectedFault::Unreachable,
    ];
    for (fault_index, fault) in
        (0..4).flat_map(|fault_index| faults.map(|fault| (fault_index, fault)))
    {
        let mut faults = vec![InjectedFault::NoFault; fault_index];
        faults.push(fault);
        let mut store = full_store.clone();
        let ops = vec![claim_op(99, 99), claim_op(0, 96)];
        let result = run(&mut store, cached_view.clone(), ops, &faults);
        assert!(!matches!(result.answers[1], Ok(ClaimResult::Held(()))));
        let other = run(&mut store, cached_view.clone(), vec![claim_op(99, 98)], &[]);
        let winners = [&result, &other].map(|result| u32::from(result.answers[0].is_ok()));
        assert!(winners.iter().sum::<u32>() <= 1, "{fault_index} {fault:?}");
        for i in 0..scopes {
            let resent = run(&mut store, RangeView::default(), vec![claim_op(i, 97)], &[]);
            let is_finished = matches!(resent.answers[0], Ok(ClaimResult::Finished(_)));
            assert!(is_finished, "{fault_index} {fault:?}: {:?}", resent.answers);
        }
    }
}

#[test]
fn references_to_expired_generations_are_dropped() {
    let mut store = MemoryStore::default();
    let cached_view = fill_generations(&mut store, 0..20);
    let mut expired = MemoryStore::default();
    let value = store.get(OPEN_KEY).unwrap();
    // Reach the same revision, so that the view of the host stays current.
    while expired.overwrite(OPEN_KEY, value.bytes.clone()) < value.key_revision {}
    for view in [cached_view, RangeView::default()] {
        let mut store = expired.clone();
        let repeated = run(&mut store, view, vec![claim_op(0, 99)], &[]);
        assert_eq!(repeated.answers, [Ok(ClaimResult::Held(()))]);
    }
    fill_generations(&mut expired, 100..140);
    let value = expired.get(OPEN_KEY).unwrap();
    let text = String::from_utf8_lossy(&value.bytes).into_owned();
    let reference_count = text.matches("wharf/claims/0/").count();
    assert_eq!(reference_count, sealed_keys(&expired).len());
}

#[test]
fn a_long_retention_applies_to_every_later_open_generation() {
    let mut store = MemoryStore::default();
    let long = BatchOp {
        retention: 72 * RETENTION,
        ..claim_op(500, 1)
    };
    let mut view = run(&mut store, RangeView::default(), vec![long], &[]).view;
    let mut sealed = Vec::new();
    for i in 0..30 {
        let large = outcome_op(i, i + 1, outcome(Ran::Yes, LARGE_ANSWER_BYTES));
        let result = run(&mut store, view, vec![large], &[]);
        assert_eq!(result.retention, 72 * RETENTION, "write {i}");
        sealed = sealed_keys(&store);
        view = result.view;
    }
    assert!(sealed.len() > 1);
}

/// Appends references to sealed generations that do not exist until there are `count`.
fn add_sealed_references(store: &mut MemoryStore, count: usize) {
    let value = store.get(OPEN_KEY).expect("an open generation");
    let mut open: serde_json::Value = serde_json::from_slice(&value.bytes).expect("valid JSON");
    let names = open["sealed"]
        .as_array_mut()
        .expect("a list of sealed generations");
    for i in names.len()..count {
        let key = format!("wharf/claims/0/{i}-{}", "0".repeat(32));
        names.push(serde_json::json!({ "key": key, "retention_s": 3_600 }));
    }
    store.overwrite(OPEN_KEY, open.to_string().into());
}

#[test]
fn a_full_range_refuses_claims_but_records_outcomes() {
    let full = range_about_to_seal().store;
    let cases = [
        (MAX_SEALED - 1, true, None),
        (MAX_SEALED, true, STORE_DOWN),
        (MAX_SEALED, false, None),
    ];
    for (sealed, is_oldest_kept, refusal) in cases {
        let mut store = full.clone();
        add_sealed_references(&mut store, sealed);
        if is_oldest_kept {
            let oldest = format!("wharf/claims/0/0-{}", "0".repeat(32));
            let bytes = store.get(OPEN_KEY).expect("an open generation").bytes;
            store.overwrite(&oldest, bytes);
        }
        let ops = vec![claim_op(99, 99)];
        let result = run(&mut store, RangeView::default(), ops, &[]);
        assert_eq!(refusals(&result), [refusal], "{sealed} {is_oldest_kept}");
        let ops = vec![claim_op(98, 98), outcome_op(97, 1, outcome(Ran::Yes, 1))];
        let result = run(&mut store, result.view, ops, &[]);
        assert_eq!(
            refusals(&result),
            [refusal, None],
            "{sealed} {is_oldest_kept}"
        );
    }
}

#[test]
fn an_unreadable_generation_refuses_all_claims() {
    for bytes in ["{", r#"{"format":2}"#] {
        let mut store = MemoryStore::default();
        store.overwrite(OPEN_KEY, bytes.into());
        let result = run(&mut store, RangeView::default(), vec![claim_op(1, 1)], &[]);
        assert_eq!(refusals(&result), [Some((Kind::Internal, Ran::No))]);
    }
}

/// A sequence of actions of several hosts, with the faults injected into their calls.
#[derive(Clone, Debug)]
struct Schedule(Vec<Turn>);

/// One action of one host.
#[derive(Clone, Copy, Debug)]
struct Turn {
    host: usize,
    scope: ScopeHash,
    ran: Ran,
    fault: InjectedFault,
}

const HOSTS: usize = 3;
const SCOPES: ScopeHash = 4;
const SEED: u64 = 17;
const TURNS: usize = 120;
const RAN_VALUES: &[Ran] = &[Ran::Yes, Ran::No, Ran::Unknown];
const FAULTS: &[InjectedFault] = &[
    InjectedFault::NoFault,
    InjectedFault::NoFault,
    InjectedFault::NoFault,
    InjectedFault::ReplyLost,
    InjectedFault::RequestLost,
    InjectedFault::Unreachable,
];

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        let turn = |g: &mut Gen| Turn {
            host: usize::arbitrary(g) % HOSTS,
            scope: ScopeHash::arbitrary(g) % SCOPES,
            ran: *g.choose(RAN_VALUES).expect("a non-empty list"),
            fault: *g.choose(FAULTS).expect("a non-empty list"),
        };
        Self((0..TURNS).map(|_| turn(g)).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let turns = self.0.clone();
        Box::new((0..turns.len()).map(move |i| {
            let mut shorter = turns.clone();
            shorter.remove(i);
            Self(shorter)
        }))
    }
}

/// One attempt to run a request.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Attempt {
    id: u128,
    scope: ScopeHash,
    /// Whether its request ran, once it has been dispatched.
    ran: Option<Ran>,
}

impl Attempt {
    fn op(self) -> BatchOp {
        match self.ran {
            None => claim_op(self.scope, self.id),
            Some(ran) => outcome_op(self.scope, self.id, outcome(ran, LARGE_ANSWER_BYTES)),
        }
    }
}

/// A host that claims a scope, runs the request and records the outcome, one request at
/// a time.
#[derive(Default)]
struct Host {
    view: RangeView,
    running: Option<(RunningBatch, Attempt)>,
    won: Option<Attempt>,
}

/// Hosts on one store, with the attempts that hold each scope.
#[derive(Default)]
struct Fleet {
    store: MemoryStore,
    hosts: [Host; HOSTS],
    holders: BTreeMap<ScopeHash, Vec<u128>>,
}

impl Fleet {
    fn run_turn(&mut self, turn: Turn, id: u128) {
        let host = &mut self.hosts[turn.host];
        let (mut running, attempt) = host.running.take().unwrap_or_else(|| {
            let ran = host.won.as_ref().map(|_| turn.ran);
            let scope = turn.scope;
            let fresh = Attempt { id, scope, ran };
            let attempt = host.won.take().map_or(fresh, |won| Attempt { ran, ..won });
            let view = std::mem::take(&mut host.view);
            (RunningBatch::new(id, view, vec![attempt.op()]), attempt)
        });
        let holders_of_scope = self.holders.entry(attempt.scope).or_default();
        if attempt.ran == Some(Ran::No) {
            // Another attempt may take over from here on.
            holders_of_scope.retain(|id| *id != attempt.id);
        }
        running.advance(&mut self.store, turn.fault);
        let Some(answers) = running.answers() else {
            host.running = Some((running, attempt));
            return;
        };
        if attempt.ran.is_none() && answers[0] == Ok(ClaimResult::Held(())) {
            holders_of_scope.push(attempt.id);
            host.won = Some(attempt);
        }
        host.view = running.batch.into_view();
    }
}

#[test]
fn no_schedule_of_hosts_and_faults_lets_two_attempts_hold_a_scope() {
    fn is_exclusive(Schedule(turns): Schedule) -> bool {
        let mut fleet = Fleet::default();
        for (turn, id) in turns.into_iter().zip(1..) {
            fleet.run_turn(turn, id);
        }
        fleet
            .holders
            .values()
            .all(|holders_of_scope| holders_of_scope.len() <= 1)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(400)
        .quickcheck(is_exclusive as fn(Schedule) -> bool);
}
