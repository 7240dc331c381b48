//! Tests of the claim log: batches of several hosts against one store in memory.

mod faults;

use {
    crate::faults::Fate,
    fakes::memory::MemoryStore,
    kind::{Kind, Ran},
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::{
        collections::BTreeMap,
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
    store::{
        Batch, BatchAnswer, BatchEvent, BatchOp, BatchStep, Claim, Claimed, Outcome, RangeView,
        ScopeHash,
    },
};

static NEXT_ID: AtomicU64 = AtomicU64::new(1);
const OPEN: &str = "wharf/claims/0/open";
/// Number of sealed generations from which on a range takes no further claims.
const MAX_SEALED: usize = 2_048;
const RETENTION: Duration = Duration::from_secs(3_600);
/// Size of an answer of which a few fill a generation, in bytes.
const LARGE_ANSWER_BYTES: usize = 16 * 1024;

/// A batch under way on one host.
struct Running {
    batch: Batch,
    step: BatchStep,
    writes: u32,
    reads: u32,
    /// Retention of the last value that was written.
    retention: Duration,
}

impl Running {
    fn new(id: u128, view: RangeView, ops: Vec<BatchOp>) -> Self {
        Self::of(Batch::new(0, id, view, ops))
    }

    fn of(mut batch: Batch) -> Self {
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

    /// Carries one step out.
    fn advance(&mut self, store: &mut MemoryStore, fate: Fate) {
        let event = match self.step.clone() {
            BatchStep::Read { key } => {
                self.reads += 1;
                BatchEvent::Read(fate.call(|| Ok(store.get(&key))))
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
                BatchEvent::Written(fate.call(|| store.put(&key, expected, bytes)))
            }
            BatchStep::Done(_) => return,
        };
        self.step = self.batch.on_event(event);
    }

    fn run(mut self, store: &mut MemoryStore, fates: &[Fate]) -> Ended {
        let mut fates = fates.iter().copied();
        while self.answers().is_none() {
            self.advance(store, fates.next().unwrap_or(Fate::Fine));
        }
        Ended {
            answers: self.answers().cloned().unwrap_or_default(),
            writes: self.writes,
            reads: self.reads,
            retention: self.retention,
            view: self.batch.into_view(),
        }
    }
}

struct Ended {
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

fn claim(scope_hash: ScopeHash, attempt_id: u128) -> BatchOp {
    op(scope_hash, Claim::new(attempt_id, 7))
}

fn outcome(ran: Ran, bytes: usize) -> Outcome {
    Outcome {
        ran,
        answer: Some("x".repeat(bytes)),
        failure: None,
    }
}

fn record(scope_hash: ScopeHash, attempt_id: u128, outcome: Outcome) -> BatchOp {
    op(scope_hash, Claim::new(attempt_id, 7).with_outcome(outcome))
}

fn run(store: &mut MemoryStore, view: RangeView, ops: Vec<BatchOp>, fates: &[Fate]) -> Ended {
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    Running::new(id.into(), view, ops).run(store, fates)
}

fn kinds(ended: &Ended) -> Vec<Option<(Kind, Ran)>> {
    let kind = |answer: &BatchAnswer| answer.as_ref().err().map(|e| (e.kind(), e.ran()));
    ended.answers.iter().map(kind).collect()
}

const TAKEN: Option<(Kind, Ran)> = Some((Kind::AlreadyClaimed, Ran::Unknown));

#[test]
fn many_claims_and_outcomes_are_one_write_each() {
    let mut store = MemoryStore::default();
    let claims = (0..64).map(|i| claim(i, i + 1)).collect();
    let claimed = run(&mut store, RangeView::default(), claims, &[]);
    assert!(claimed.answers.iter().all(|a| *a == Ok(Claimed::Won(()))));
    assert_eq!((claimed.writes, claimed.reads), (1, 1));
    let outcomes = (0..64).map(|i| record(i, i + 1, outcome(Ran::Yes, 10)));
    let recorded = run(&mut store, claimed.view, outcomes.collect(), &[]);
    assert_eq!((recorded.writes, recorded.reads), (1, 0));
    // A resend is answered from what the host knows, without any call.
    let resent = run(&mut store, recorded.view, vec![claim(3, 99)], &[Fate::Down]);
    assert_eq!(
        resent.answers,
        [Ok(Claimed::Finished(outcome(Ran::Yes, 10)))]
    );
    assert_eq!((resent.writes, resent.reads), (0, 0));
}

const DOWN: Option<(Kind, Ran)> = Some((Kind::StoreDown, Ran::No));
const UNKNOWN: Option<(Kind, Ran)> = Some((Kind::StoreUnknown, Ran::No));

/// What happens to the calls of a batch, and how it is refused unless it wins.
type Case = (&'static [Fate], Option<(Kind, Ran)>);

const FREE: &[Case] = &[
    (&[], None),
    (&[Fate::Fine, Fate::ReplyLost], None),
    (&[Fate::Fine, Fate::RequestLost], None),
    (&[Fate::Down], DOWN),
    (&[Fate::Fine, Fate::Down], DOWN),
    (&[Fate::Fine, Fate::ReplyLost, Fate::Down], UNKNOWN),
];

#[test]
fn a_free_scope_is_won_or_refused_as_not_run() {
    for (fates, refusal) in FREE {
        let mut store = MemoryStore::default();
        let ops = vec![claim(1, 1), claim(2, 2)];
        let ended = run(&mut store, RangeView::default(), ops, fates);
        assert_eq!(kinds(&ended), [*refusal, *refusal], "{fates:?}");
    }
}

#[test]
fn a_taken_scope_is_never_won_whatever_the_host_knows() {
    let mut store = MemoryStore::default();
    let stale = run(&mut store, RangeView::default(), vec![claim(9, 9)], &[]).view;
    run(&mut store, stale.clone(), vec![claim(1, 1)], &[]);
    for view in [RangeView::default(), stale.clone()] {
        let ops = vec![claim(1, 2), claim(2, 3), claim(2, 4)];
        let ended = run(&mut store.clone(), view, ops, &[]);
        assert_eq!(kinds(&ended), [TAKEN, None, TAKEN]);
    }
    let other_body = op(1, Claim::new(3, 8));
    let reused = run(&mut store, stale.clone(), vec![other_body], &[]);
    assert_eq!(kinds(&reused), [Some((Kind::KeyReused, Ran::No))]);
    // An outcome that another host has recorded is seen before 'unknown' is said.
    let knows_claim = run(&mut store, stale, vec![claim(1, 1)], &[]).view;
    let outcome = outcome(Ran::Yes, 1);
    let ops = vec![record(1, 1, outcome.clone())];
    run(&mut store, RangeView::default(), ops, &[]);
    let resent = run(&mut store, knows_claim, vec![claim(1, 2)], &[]);
    assert_eq!(resent.answers, [Ok(Claimed::Finished(outcome))]);
}

#[test]
fn an_attempt_that_settles_finds_its_own_claim() {
    let mut store = MemoryStore::default();
    run(&mut store, RangeView::default(), vec![claim(1, 1)], &[]);
    let settled = run(&mut store, RangeView::default(), vec![claim(1, 1)], &[]);
    assert_eq!(settled.answers, [Ok(Claimed::Won(()))]);
    assert_eq!((settled.writes, settled.reads), (0, 1));
}

#[test]
fn a_repeat_takes_over_after_proof_that_nothing_ran() {
    let mut store = MemoryStore::default();
    let ops = vec![claim(1, 1), record(1, 1, outcome(Ran::No, 1))];
    run(&mut store, RangeView::default(), ops, &[]);
    let ops = vec![claim(1, 2), claim(1, 3)];
    let ended = run(&mut store, RangeView::default(), ops, &[]);
    assert_eq!(kinds(&ended), [None, TAKEN]);
    // The first attempt has nothing to say any more.
    let late = vec![record(1, 1, outcome(Ran::Yes, 1)), claim(1, 4)];
    let ended = run(&mut store, RangeView::default(), late, &[]);
    assert_eq!(kinds(&ended), [None, TAKEN]);
}

/// Fills generations with finished claims of the scopes in `scopes`.
fn fill(store: &mut MemoryStore, scopes: std::ops::Range<u128>) -> RangeView {
    let mut view = RangeView::default();
    for i in scopes {
        let large = outcome(Ran::Yes, LARGE_ANSWER_BYTES);
        view = run(store, view, vec![claim(i, i + 1)], &[]).view;
        view = run(store, view, vec![record(i, i + 1, large)], &[]).view;
    }
    view
}

fn sealed_keys(store: &MemoryStore) -> Vec<String> {
    let is_sealed = |key: &&String| !key.ends_with("/open");
    store.keys().filter(is_sealed).cloned().collect()
}

#[test]
fn claims_outlive_the_sealing_of_their_generation() {
    let mut store = MemoryStore::default();
    let known = fill(&mut store, 0..40);
    let sealed = sealed_keys(&store).len();
    assert!((3..=6).contains(&sealed), "{sealed} sealed generations");
    let fresh = Batch::new(0, 1, RangeView::default(), vec![claim(0, 98)]);
    let ended = Running::of(fresh.with_most_lacking(sealed - 1)).run(&mut store, &[]);
    assert_eq!((kinds(&ended), ended.reads), (vec![DOWN], 1));
    for (view, most_reads) in [(known, 1), (RangeView::default(), 2 + sealed as u32)] {
        let resent = run(&mut store, view, vec![claim(0, 99)], &[]);
        assert!(matches!(resent.answers[0], Ok(Claimed::Finished(_))));
        assert_eq!(resent.writes, 0);
        assert!(resent.reads <= most_reads, "{} reads", resent.reads);
    }
}

/// A range whose next claim seals.
struct Full {
    store: MemoryStore,
    view: RangeView,
    /// Number of its scopes, from 0 on.
    scopes: u128,
}

fn about_to_seal() -> Full {
    let seals = |full: &Full| {
        let mut store = full.store.clone();
        run(&mut store, full.view.clone(), vec![claim(99, 99)], &[]).writes == 2
    };
    let fills = (1..).map(|scopes| {
        let mut store = MemoryStore::default();
        let view = fill(&mut store, 0..scopes);
        Full {
            store,
            view,
            scopes,
        }
    });
    let mut full = fills.skip_while(|full| !seals(full));
    full.next().expect("a full generation")
}

#[test]
fn a_generation_is_sealed_whole_whatever_is_lost() {
    let Full {
        store: whole,
        view: known,
        scopes,
    } = about_to_seal();
    let faults = [Fate::ReplyLost, Fate::RequestLost, Fate::Down];
    for (at, fate) in (0..4).flat_map(|at| faults.map(|fate| (at, fate))) {
        let mut fates = vec![Fate::Fine; at];
        fates.push(fate);
        let mut store = whole.clone();
        let ops = vec![claim(99, 99), claim(0, 96)];
        let ended = run(&mut store, known.clone(), ops, &fates);
        assert!(!matches!(ended.answers[1], Ok(Claimed::Won(()))));
        let rival = run(&mut store, known.clone(), vec![claim(99, 98)], &[]);
        let winners = [&ended, &rival].map(|ended| u32::from(ended.answers[0].is_ok()));
        assert!(winners.iter().sum::<u32>() <= 1, "{at} {fate:?}");
        for i in 0..scopes {
            let resent = run(&mut store, RangeView::default(), vec![claim(i, 97)], &[]);
            let is_finished = matches!(resent.answers[0], Ok(Claimed::Finished(_)));
            assert!(is_finished, "{at} {fate:?}: {:?}", resent.answers);
        }
    }
}

#[test]
fn generations_that_their_lease_has_ended_are_let_go() {
    let mut store = MemoryStore::default();
    let known = fill(&mut store, 0..20);
    let mut expired = MemoryStore::default();
    let value = store.get(OPEN).unwrap();
    // The same revision, so that what the host knows is still current.
    while expired.overwrite(OPEN, value.bytes.clone()) < value.key_revision {}
    for view in [known, RangeView::default()] {
        let mut store = expired.clone();
        let again = run(&mut store, view, vec![claim(0, 99)], &[]);
        assert_eq!(again.answers, [Ok(Claimed::Won(()))]);
    }
    fill(&mut expired, 100..140);
    let value = expired.get(OPEN).unwrap();
    let text = String::from_utf8_lossy(&value.bytes).into_owned();
    let named = text.matches("wharf/claims/0/").count();
    assert_eq!(named, sealed_keys(&expired).len());
}

#[test]
fn a_long_retention_holds_for_all_that_leads_to_its_claim() {
    let mut store = MemoryStore::default();
    let long = BatchOp {
        retention: 72 * RETENTION,
        ..claim(500, 1)
    };
    let mut view = run(&mut store, RangeView::default(), vec![long], &[]).view;
    let mut sealed = Vec::new();
    for i in 0..30 {
        let large = record(i, i + 1, outcome(Ran::Yes, LARGE_ANSWER_BYTES));
        let ended = run(&mut store, view, vec![large], &[]);
        assert_eq!(ended.retention, 72 * RETENTION, "write {i}");
        sealed = sealed_keys(&store);
        view = ended.view;
    }
    assert!(sealed.len() > 1);
}

/// Names sealed generations that no key holds, the newest ones, up to `count`.
fn name_sealed(store: &mut MemoryStore, count: usize) {
    let value = store.get(OPEN).expect("an open generation");
    let mut open: serde_json::Value = serde_json::from_slice(&value.bytes).expect("valid JSON");
    let names = open["sealed"].as_array_mut().expect("a list");
    for i in names.len()..count {
        let key = format!("wharf/claims/0/{i}-{}", "0".repeat(32));
        names.push(serde_json::json!({ "key": key, "retention_s": 3_600 }));
    }
    store.overwrite(OPEN, open.to_string().into());
}

#[test]
fn a_range_without_room_refuses_claims_and_records_outcomes() {
    let full = about_to_seal().store;
    let cases = [
        (MAX_SEALED - 1, true, None),
        (MAX_SEALED, true, DOWN),
        (MAX_SEALED, false, None),
    ];
    for (sealed, is_oldest_kept, refusal) in cases {
        let mut store = full.clone();
        name_sealed(&mut store, sealed);
        if is_oldest_kept {
            let oldest = format!("wharf/claims/0/0-{}", "0".repeat(32));
            let bytes = store.get(OPEN).expect("an open generation").bytes;
            store.overwrite(&oldest, bytes);
        }
        let ops = vec![claim(99, 99)];
        let ended = run(&mut store, RangeView::default(), ops, &[]);
        assert_eq!(kinds(&ended), [refusal], "{sealed} {is_oldest_kept}");
        let ops = vec![claim(98, 98), record(97, 1, outcome(Ran::Yes, 1))];
        let ended = run(&mut store, ended.view, ops, &[]);
        assert_eq!(kinds(&ended), [refusal, None], "{sealed} {is_oldest_kept}");
    }
}

#[test]
fn a_log_that_cannot_be_read_lets_nobody_through() {
    for bytes in ["{", r#"{"format":2}"#] {
        let mut store = MemoryStore::default();
        store.overwrite(OPEN, bytes.into());
        let ended = run(&mut store, RangeView::default(), vec![claim(1, 1)], &[]);
        assert_eq!(kinds(&ended), [Some((Kind::Internal, Ran::No))]);
    }
}

/// What several hosts do, and what happens to their calls.
#[derive(Clone, Debug)]
struct Schedule(Vec<Turn>);

#[derive(Clone, Copy, Debug)]
struct Turn {
    host: usize,
    scope: ScopeHash,
    ran: Ran,
    fate: Fate,
}

const HOSTS: usize = 3;
const SCOPES: ScopeHash = 4;
const SEED: u64 = 17;
const TURNS: usize = 120;
const RANS: &[Ran] = &[Ran::Yes, Ran::No, Ran::Unknown];
const FATES: &[Fate] = &[
    Fate::Fine,
    Fate::Fine,
    Fate::Fine,
    Fate::ReplyLost,
    Fate::RequestLost,
    Fate::Down,
];

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        let turn = |g: &mut Gen| Turn {
            host: usize::arbitrary(g) % HOSTS,
            scope: ScopeHash::arbitrary(g) % SCOPES,
            ran: *g.choose(RANS).expect("a choice"),
            fate: *g.choose(FATES).expect("a choice"),
        };
        Self((0..TURNS).map(|_| turn(g)).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let turns = self.0.clone();
        Box::new((0..turns.len()).map(move |i| {
            let mut fewer = turns.clone();
            fewer.remove(i);
            Self(fewer)
        }))
    }
}

/// One attempt to run a request.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Attempt {
    id: u128,
    scope: ScopeHash,
    /// How its request ended, once it has been dispatched.
    ran: Option<Ran>,
}

impl Attempt {
    fn op(self) -> BatchOp {
        match self.ran {
            None => claim(self.scope, self.id),
            Some(ran) => record(self.scope, self.id, outcome(ran, LARGE_ANSWER_BYTES)),
        }
    }
}

/// A host that claims, runs and records one request after the other.
#[derive(Default)]
struct Host {
    view: RangeView,
    running: Option<(Running, Attempt)>,
    won: Option<Attempt>,
}

/// Hosts with the attempts that may have run, by scope.
#[derive(Default)]
struct Fleet {
    store: MemoryStore,
    hosts: [Host; HOSTS],
    holders: BTreeMap<ScopeHash, Vec<u128>>,
}

impl Fleet {
    fn take(&mut self, turn: Turn, id: u128) {
        let host = &mut self.hosts[turn.host];
        let (mut running, attempt) = host.running.take().unwrap_or_else(|| {
            let ran = host.won.as_ref().map(|_| turn.ran);
            let scope = turn.scope;
            let fresh = Attempt { id, scope, ran };
            let attempt = host.won.take().map_or(fresh, |won| Attempt { ran, ..won });
            let view = std::mem::take(&mut host.view);
            (Running::new(id, view, vec![attempt.op()]), attempt)
        });
        let held = self.holders.entry(attempt.scope).or_default();
        if attempt.ran == Some(Ran::No) {
            // From here on another attempt may take over.
            held.retain(|id| *id != attempt.id);
        }
        running.advance(&mut self.store, turn.fate);
        let Some(answers) = running.answers() else {
            host.running = Some((running, attempt));
            return;
        };
        if attempt.ran.is_none() && answers[0] == Ok(Claimed::Won(())) {
            held.push(attempt.id);
            host.won = Some(attempt);
        }
        host.view = running.batch.into_view();
    }
}

#[test]
fn no_schedule_of_hosts_and_faults_lets_two_attempts_hold_a_scope() {
    fn holds(Schedule(turns): Schedule) -> bool {
        let mut fleet = Fleet::default();
        for (turn, id) in turns.into_iter().zip(1..) {
            fleet.take(turn, id);
        }
        fleet.holders.values().all(|held| held.len() <= 1)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(400)
        .quickcheck(holds as fn(Schedule) -> bool);
}
