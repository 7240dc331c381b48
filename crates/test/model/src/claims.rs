//! Claims and dispatch of a request that runs at most once.
//!
//! Several attempts carry the same idempotency key through as many hosts, which
//! claim by a key, in the claim log, or in both. Each is paused, killed or cut
//! off from the store at any point; writes lose their replies, arrive late, or
//! arrive twice, and the owner of the log may write an attempt's claim beside it.

use {
    crate::{write::Write, Model, Step},
    fakes::memory::MemoryStore,
    kind::{Ran, Result},
    record::ClaimLocations,
    std::time::Duration,
    store::{
        Batch, BatchEvent, BatchOp, BatchStep, Claim, ClaimAttempt, ClaimEvent, ClaimResult,
        ClaimStep, Expected, Fault, HeldClaim, KeyRevision, Outcome, RangeView, Value,
    },
};

const KEY: &str = "wharf/claim";
const FINGERPRINT: u128 = 7;
const SCOPE_HASH: u128 = 1;
const RETENTION: Duration = Duration::from_secs(3_600);

/// A rule that is replaced by a wrong one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutant {
    /// A lost reply to the claim counts as won.
    LostReplyWins,
    /// A claim is written whatever the key holds.
    BlindWrite,
    /// Any outcome on record is taken over, not only one with proof.
    TakeOverAlways,
    /// A host dispatches first and claims afterwards.
    DispatchFirst,
    /// A lost reply from the upstream counts as proof that nothing ran.
    LostReplyIsProof,
    /// A host claims in the log alone while others claim by the key.
    LogAlone,
}

/// How large the specification is.
#[derive(Clone, Copy, Debug)]
pub struct Claims<'a> {
    /// Where each attempt claims.
    pub attempts: &'a [ClaimLocations],
    /// Whether the owner of the log writes each claim beside its attempt.
    pub has_owner: bool,
    /// Number of faults that may occur.
    pub faults: u8,
    /// Rule that is replaced.
    pub mutant: Option<Mutant>,
}

/// Where an attempt stands.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Phase {
    /// The key or the log is being claimed; the key may be held already.
    Claiming {
        claimer: Claimer,
        call: Call,
        key: Option<HeldClaim>,
    },
    /// The claim is won and nothing is dispatched.
    Won(Held),
    /// The request is on its way to the upstream.
    Dispatched { held: Held, has_run: bool },
    /// The outcome is known and not yet on record; nothing was dispatched for a refusal.
    Answered { held: Held, ran: Ran, said: Said },
    /// The outcome is being recorded in the log.
    Recording {
        claimer: Claimer,
        call: Call,
        said: Said,
    },
    /// The caller has its answer.
    Ended(Said),
    /// The host is gone, with everything that it knew.
    Killed,
}

/// What an attempt holds.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Held {
    key: Option<HeldClaim>,
    in_log: bool,
}

/// A decision that claims.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Claimer {
    Key(ClaimAttempt),
    Log(Batch),
}

/// What a decision wants done next.
enum Next {
    Call(Call),
    Done(Result<ClaimResult<Option<HeldClaim>>>),
}

/// A call to the store that is due.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Call {
    Read(String),
    Write(Write),
}

/// What happened to a call.
enum Reply {
    Read(Result<Option<Value>, Fault>),
    Written(Result<KeyRevision, Fault>),
}

/// What a caller was told.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Said {
    /// The attempt ran, or did not, as far as it knows.
    Own(Ran),
    /// An earlier attempt ran.
    Finished(Ran),
    /// Refused before anything was dispatched.
    Refused(Ran),
}

/// State of the specification.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    store: MemoryStore,
    late: Vec<Write>,
    phases: Vec<Phase>,
    /// Claims that the owner of the log writes beside their attempts.
    owned: Vec<(Claimer, Call)>,
    dispatches: Vec<u8>,
    runs: u8,
    faults: u8,
}

impl Claimer {
    fn log(attempt: usize, claim: Claim) -> Self {
        let op = BatchOp {
            scope_hash: SCOPE_HASH,
            retention: RETENTION,
            claim,
        };
        Self::Log(Batch::new(
            0,
            attempt as u128,
            RangeView::default(),
            vec![op],
        ))
    }

    fn start(&mut self) -> Next {
        match self {
            Self::Key(claiming) => Next::from(claiming.start()),
            Self::Log(batch) => Next::from(batch.start()),
        }
    }

    fn on_reply(&mut self, reply: Reply) -> Next {
        match (self, reply) {
            (Self::Key(claiming), Reply::Read(read)) => {
                Next::from(claiming.on_event(ClaimEvent::Read(read)))
            }
            (Self::Key(claiming), Reply::Written(written)) => {
                Next::from(claiming.on_event(ClaimEvent::Written(written)))
            }
            (Self::Log(batch), Reply::Read(read)) => {
                Next::from(batch.on_event(BatchEvent::Read(read)))
            }
            (Self::Log(batch), Reply::Written(written)) => {
                Next::from(batch.on_event(BatchEvent::Written(written)))
            }
        }
    }
}

impl From<ClaimStep> for Next {
    fn from(step: ClaimStep) -> Self {
        match step {
            ClaimStep::Read => Self::Call(Call::Read(KEY.to_owned())),
            ClaimStep::Write { expected, bytes } => Self::Call(Call::Write(Write {
                key: KEY.to_owned(),
                expected,
                bytes,
            })),
            ClaimStep::Done(result) => Self::Done(result.map(|claimed| match claimed {
                ClaimResult::Held(won) => ClaimResult::Held(Some(won)),
                ClaimResult::Finished(outcome) => ClaimResult::Finished(outcome),
            })),
        }
    }
}

impl From<BatchStep> for Next {
    fn from(step: BatchStep) -> Self {
        match step {
            BatchStep::Read { key } => Self::Call(Call::Read(key)),
            BatchStep::Write {
                key,
                expected,
                bytes,
                ..
            } => Self::Call(Call::Write(Write {
                key,
                expected,
                bytes,
            })),
            BatchStep::Done(mut answers) => {
                Self::Done(answers.remove(0).map(|claimed| match claimed {
                    ClaimResult::Held(()) => ClaimResult::Held(None),
                    ClaimResult::Finished(outcome) => ClaimResult::Finished(outcome),
                }))
            }
        }
    }
}

impl Model for Claims<'_> {
    type State = State;

    fn start(&self) -> State {
        let mut state = State {
            store: MemoryStore::default(),
            late: Vec::new(),
            phases: Vec::new(),
            owned: Vec::new(),
            dispatches: vec![0; self.attempts.len()],
            runs: 0,
            faults: self.faults,
        };
        for attempt in 0..self.attempts.len() {
            let places = self.places(attempt);
            let phase = if places.uses_keys() {
                let claimer = Claimer::Key(ClaimAttempt::from(claim_of(attempt)));
                self.begin(&mut state, attempt, claimer, None)
            } else {
                self.begin_log(&mut state, attempt, None)
            };
            state.phases.push(phase);
        }
        state
    }

    fn next(&self, state: &State) -> Vec<Step<State>> {
        let mut steps = Vec::new();
        for attempt in 0..state.phases.len() {
            self.next_of(state, attempt, &mut steps);
        }
        for i in 0..state.owned.len() {
            self.next_of_owner(state, i, &mut steps);
        }
        for i in 0..state.late.len() {
            let mut next = state.clone();
            let write = next.late.remove(i);
            // A late write answers nobody; the condition still guards it.
            let _ = self.put(&mut next.store, &write);
            push(&mut steps, "a late write arrives".to_owned(), next);
        }
        steps
    }

    fn broken(&self, state: &State) -> Option<&'static str> {
        if state.runs > 1 {
            return Some("the request ran twice");
        }
        let is_said = |said: Said| {
            let ended = |phase: &Phase| *phase == Phase::Ended(said);
            state.phases.iter().any(ended)
        };
        for (phase, dispatches) in state.phases.iter().zip(&state.dispatches) {
            if *dispatches > 1 {
                return Some("an attempt dispatched twice");
            }
            if matches!(phase, Phase::Ended(Said::Refused(Ran::No))) && *dispatches > 0 {
                return Some("an attempt said 'not run' after it had dispatched");
            }
        }
        if state.runs == 0 && (is_said(Said::Own(Ran::Yes)) || is_said(Said::Finished(Ran::Yes))) {
            return Some("a caller was told of a run that never was");
        }
        None
    }
}

impl Claims<'_> {
    fn places(&self, attempt: usize) -> ClaimLocations {
        match (self.attempts[attempt], self.mutant) {
            (ClaimLocations::KeysAndLog, Some(Mutant::LogAlone)) => ClaimLocations::Log,
            (places, _) => places,
        }
    }

    fn begin(
        &self,
        state: &mut State,
        attempt: usize,
        mut claimer: Claimer,
        key: Option<HeldClaim>,
    ) -> Phase {
        let next = claimer.start();
        self.phase_of(state, attempt, claimer, next, key)
    }

    fn begin_log(&self, state: &mut State, attempt: usize, key: Option<HeldClaim>) -> Phase {
        let claimer = Claimer::log(attempt, claim_of(attempt));
        if self.has_owner {
            let mut owned = claimer.clone();
            if let Next::Call(call) = owned.start() {
                state.owned.push((owned, call));
            }
        }
        self.begin(state, attempt, claimer, key)
    }

    fn next_of(&self, state: &State, attempt: usize, steps: &mut Vec<Step<State>>) {
        match &state.phases[attempt] {
            Phase::Claiming { claimer, call, key } => {
                let resume = |next: &mut State, reply: Reply| {
                    let mut claimer = claimer.clone();
                    let step = claimer.on_reply(reply);
                    let key = key.clone();
                    next.phases[attempt] = self.phase_of(next, attempt, claimer, step, key);
                };
                self.next_of_call(state, attempt, call, resume, steps);
            }
            Phase::Won(held) => {
                let mut next = state.clone();
                next.dispatches[attempt] += 1;
                let held = held.clone();
                let has_run = false;
                next.phases[attempt] = Phase::Dispatched { held, has_run };
                push(steps, format!("attempt {attempt} dispatches"), next);
            }
            Phase::Dispatched { held, has_run } => {
                self.next_of_dispatched(state, attempt, held, *has_run, steps);
            }
            Phase::Answered { held, ran, said } => {
                self.record(state, attempt, held, (*ran, *said), steps);
            }
            Phase::Recording {
                claimer,
                call,
                said,
            } => {
                let resume = |next: &mut State, reply: Reply| {
                    let mut claimer = claimer.clone();
                    let step = claimer.on_reply(reply);
                    next.phases[attempt] = recording(claimer, step, *said);
                };
                self.next_of_call(state, attempt, call, resume, steps);
            }
            Phase::Ended(_) | Phase::Killed => return,
        }
        if let Some(mut next) = with_fault(state) {
            next.phases[attempt] = Phase::Killed;
            push(steps, format!("host of attempt {attempt} is killed"), next);
        }
    }

    fn next_of_owner(&self, state: &State, i: usize, steps: &mut Vec<Step<State>>) {
        let mut next = state.clone();
        let (mut claimer, call) = next.owned.remove(i);
        let reply = match &call {
            Call::Read(key) => Reply::Read(Ok(next.store.get(key))),
            Call::Write(write) => Reply::Written(self.put(&mut next.store, write)),
        };
        if let Next::Call(call) = claimer.on_reply(reply) {
            next.owned.insert(i, (claimer, call));
        }
        push(steps, "the owner goes on".to_owned(), next);
    }

    fn next_of_call(
        &self,
        state: &State,
        attempt: usize,
        call: &Call,
        resume: impl Fn(&mut State, Reply),
        steps: &mut Vec<Step<State>>,
    ) {
        let mut advance = |mut next: State, label: &str, reply: Reply| {
            resume(&mut next, reply);
            push(steps, format!("attempt {attempt}: {label}"), next);
        };
        let unknown = || Err(Fault::Unknown("lost".to_owned()));
        let down = || Fault::Unreachable("down".to_owned());
        match call {
            Call::Read(key) => {
                let found = state.store.get(key);
                advance(state.clone(), "reads", Reply::Read(Ok(found)));
                if let Some(next) = with_fault(state) {
                    advance(next, "reads, store down", Reply::Read(Err(down())));
                }
            }
            Call::Write(write) => {
                let mut next = state.clone();
                let written = self.put(&mut next.store, write);
                advance(next, "writes", Reply::Written(written));
                let Some(faulty) = with_fault(state) else {
                    return;
                };
                advance(
                    faulty.clone(),
                    "writes, store down",
                    Reply::Written(Err(down())),
                );
                let mut next = faulty.clone();
                let _ = self.put(&mut next.store, write);
                advance(next, "writes, reply lost", self.lost(unknown()));
                let mut next = faulty.clone();
                next.late.push(write.clone());
                advance(next, "writes, late", self.lost(unknown()));
                let mut next = faulty;
                let written = self.put(&mut next.store, write);
                next.late.push(write.clone());
                advance(next, "writes, doubled", Reply::Written(written));
            }
        }
    }

    fn next_of_dispatched(
        &self,
        state: &State,
        attempt: usize,
        held: &Held,
        has_run: bool,
        steps: &mut Vec<Step<State>>,
    ) {
        let mut answer = |mut next: State, label: &str, ran: Ran| {
            let held = held.clone();
            let said = Said::Own(ran);
            next.phases[attempt] = Phase::Answered { held, ran, said };
            push(steps, format!("attempt {attempt}: upstream {label}"), next);
        };
        if has_run {
            answer(state.clone(), "answers", Ran::Yes);
            if let Some(next) = with_fault(state) {
                answer(next, "loses its answer", self.lost_answer());
            }
            return;
        }
        answer(state.clone(), "refuses", Ran::No);
        if let Some(next) = with_fault(state) {
            answer(next, "is lost before it runs", self.lost_answer());
        }
        let mut next = state.clone();
        next.runs += 1;
        let held = held.clone();
        let has_run = true;
        next.phases[attempt] = Phase::Dispatched { held, has_run };
        push(steps, format!("attempt {attempt}: upstream runs"), next);
    }

    /// Records the outcome by the key, then in the log, and tells the caller.
    fn record(
        &self,
        state: &State,
        attempt: usize,
        held: &Held,
        (ran, said): (Ran, Said),
        steps: &mut Vec<Step<State>>,
    ) {
        let outcome = Outcome {
            ran,
            answer: None,
            failure: None,
        };
        let mut next = state.clone();
        next.phases[attempt] = if held.in_log {
            let claim = claim_of(attempt).with_outcome(outcome.clone());
            let mut claimer = Claimer::log(attempt, claim);
            let step = claimer.start();
            recording(claimer, step, said)
        } else {
            Phase::Ended(said)
        };
        let Some(won) = &held.key else {
            push(steps, format!("attempt {attempt} records {ran:?}"), next);
            return;
        };
        let write = Write {
            key: KEY.to_owned(),
            expected: Expected::At(won.key_revision),
            bytes: won.claim.clone().with_outcome(outcome).to_bytes(),
        };
        let mut lost = with_fault(&next);
        let _ = self.put(&mut next.store, &write);
        push(steps, format!("attempt {attempt} records {ran:?}"), next);
        if let Some(lost) = lost.as_mut() {
            let label = format!("attempt {attempt}: outcome lost");
            push(steps, label, lost.clone());
            lost.late.push(write);
            let label = format!("attempt {attempt}: outcome late");
            push(steps, label, lost.clone());
        }
    }

    fn phase_of(
        &self,
        state: &mut State,
        attempt: usize,
        claimer: Claimer,
        next: Next,
        key: Option<HeldClaim>,
    ) -> Phase {
        let is_log = matches!(claimer, Claimer::Log(_));
        let result = match next {
            Next::Call(call) => return Phase::Claiming { claimer, call, key },
            Next::Done(result) => result,
        };
        let wins_anyway = match &result {
            Ok(ClaimResult::Held(_)) => false,
            Ok(ClaimResult::Finished(_)) => self.mutant == Some(Mutant::TakeOverAlways),
            Err(_) => self.mutant == Some(Mutant::DispatchFirst),
        };
        if wins_anyway {
            return Phase::Won(Held { key, in_log: false });
        }
        match result {
            Ok(ClaimResult::Held(won)) if !is_log && self.places(attempt).uses_log() => {
                self.begin_log(state, attempt, won)
            }
            Ok(ClaimResult::Held(won)) => Phase::Won(Held {
                key: won.or(key),
                in_log: is_log,
            }),
            Ok(ClaimResult::Finished(outcome)) => refused(key, Said::Finished(outcome.ran)),
            Err(error) => refused(key, Said::Refused(error.ran())),
        }
    }

    fn put(&self, store: &mut MemoryStore, write: &Write) -> Result<u64, Fault> {
        let is_blind = self.mutant == Some(Mutant::BlindWrite);
        write.put(store, is_blind)
    }

    fn lost(&self, written: Result<u64, Fault>) -> Reply {
        match self.mutant {
            Some(Mutant::LostReplyWins) => Reply::Written(Ok(0)),
            _ => Reply::Written(written),
        }
    }

    fn lost_answer(&self) -> Ran {
        match self.mutant {
            Some(Mutant::LostReplyIsProof) => Ran::No,
            _ => Ran::Unknown,
        }
    }
}

fn claim_of(attempt: usize) -> Claim {
    Claim::new(attempt as u128 + 1, FINGERPRINT)
}

/// Leaves a key that is held for nothing to the next attempt.
fn refused(key: Option<HeldClaim>, said: Said) -> Phase {
    if key.is_none() {
        return Phase::Ended(said);
    }
    let held = Held { key, in_log: false };
    let ran = Ran::No;
    Phase::Answered { held, ran, said }
}

fn recording(claimer: Claimer, next: Next, said: Said) -> Phase {
    match next {
        Next::Call(call) => Phase::Recording {
            claimer,
            call,
            said,
        },
        Next::Done(_) => Phase::Ended(said),
    }
}

fn push(steps: &mut Vec<Step<State>>, label: String, state: State) {
    steps.push(Step { label, state });
}

fn with_fault(state: &State) -> Option<State> {
    let mut next = state.clone();
    next.faults = next.faults.checked_sub(1)?;
    Some(next)
}
