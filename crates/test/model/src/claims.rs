//! Claims and dispatch of a request that must run at most once.
//!
//! Several attempts with the same idempotency key run on as many hosts, which
//! claim the request in a store key, in the claim log, or in both. A host may
//! pause, be killed or lose the store at any point. The reply to a write may be
//! lost, and the write may be delayed or duplicated. The owner of the log may
//! write the claim of an attempt concurrently with the host of the attempt.

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

const CLAIM_KEY: &str = "wharf/claim";
const FINGERPRINT: u128 = 7;
const SCOPE_HASH: u128 = 1;
const RETENTION: Duration = Duration::from_secs(3_600);

/// A wrong rule that replaces the right one; the search must detect it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutant {
    /// A claim is taken as won when the reply to its write is lost.
    LostReplyMeansWon,
    /// A claim overwrites whatever the key holds.
    UnconditionalWrite,
    /// A finished claim is taken over even if its outcome does not prove that nothing ran.
    AlwaysTakeOver,
    /// A host dispatches even if its claim ends with an error.
    DispatchWithoutClaim,
    /// A lost reply from the upstream is taken as proof that nothing ran.
    LostReplyMeansNotRun,
    /// A host claims only in the log while others still claim in the key.
    LogOnly,
}

/// Parameters of the model.
#[derive(Clone, Copy, Debug)]
pub struct ClaimModel<'a> {
    /// Where each attempt claims, one entry for each attempt.
    pub attempts: &'a [ClaimLocations],
    /// Whether the owner of the log also writes the claim of each attempt.
    pub has_owner: bool,
    /// Maximum number of faults.
    pub max_faults: u8,
    /// Wrong rule in force, if any.
    pub mutant: Option<Mutant>,
}

/// Progress of an attempt.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Phase {
    /// A claim in the key or the log is being made; in the log, the key may be held already.
    Claiming {
        claimer: Claimer,
        call: StoreCall,
        key: Option<HeldClaim>,
    },
    /// The claim is won and nothing is dispatched yet.
    Won(HeldClaims),
    /// The request was dispatched to the upstream.
    Dispatched { held: HeldClaims, has_run: bool },
    /// The outcome is known and not yet recorded; for a refusal, nothing was dispatched.
    Answered {
        held: HeldClaims,
        ran: Ran,
        response: Response,
    },
    /// The outcome is being recorded in the log.
    Recording {
        claimer: Claimer,
        call: StoreCall,
        response: Response,
    },
    /// The caller has its response.
    Ended(Response),
    /// The host was killed and its state is lost.
    Killed,
}

/// Claims that an attempt has won.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct HeldClaims {
    key: Option<HeldClaim>,
    in_log: bool,
}

/// State machine that claims in the key or in the log.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Claimer {
    Key(ClaimAttempt),
    Log(Batch),
}

/// What a [`Claimer`] needs next.
enum Action {
    Call(StoreCall),
    Done(Result<ClaimResult<Option<HeldClaim>>>),
}

/// A pending call to the store.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum StoreCall {
    Read(String),
    Write(Write),
}

/// Result of a call to the store.
enum StoreReply {
    Read(Result<Option<Value>, Fault>),
    Written(Result<KeyRevision, Fault>),
}

/// Response to a caller.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Response {
    /// What is known of the execution by this attempt.
    ThisAttempt(Ran),
    /// The recorded outcome of an earlier attempt.
    EarlierAttempt(Ran),
    /// Refused before anything was dispatched.
    Refused(Ran),
}

/// State of the model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    store: MemoryStore,
    delayed_writes: Vec<Write>,
    phases: Vec<Phase>,
    /// Pending claims that the owner of the log writes for the attempts.
    owner_claims: Vec<(Claimer, StoreCall)>,
    dispatches: Vec<u8>,
    executions: u8,
    faults_left: u8,
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

    fn start(&mut self) -> Action {
        match self {
            Self::Key(claiming) => Action::from(claiming.start()),
            Self::Log(batch) => Action::from(batch.start()),
        }
    }

    fn on_reply(&mut self, reply: StoreReply) -> Action {
        match (self, reply) {
            (Self::Key(claiming), StoreReply::Read(read)) => {
                Action::from(claiming.on_event(ClaimEvent::Read(read)))
            }
            (Self::Key(claiming), StoreReply::Written(written)) => {
                Action::from(claiming.on_event(ClaimEvent::Written(written)))
            }
            (Self::Log(batch), StoreReply::Read(read)) => {
                Action::from(batch.on_event(BatchEvent::Read(read)))
            }
            (Self::Log(batch), StoreReply::Written(written)) => {
                Action::from(batch.on_event(BatchEvent::Written(written)))
            }
        }
    }
}

impl From<ClaimStep> for Action {
    fn from(step: ClaimStep) -> Self {
        match step {
            ClaimStep::Read => Self::Call(StoreCall::Read(CLAIM_KEY.to_owned())),
            ClaimStep::Write { expected, bytes } => Self::Call(StoreCall::Write(Write {
                key: CLAIM_KEY.to_owned(),
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

impl From<BatchStep> for Action {
    fn from(step: BatchStep) -> Self {
        match step {
            BatchStep::Read { key } => Self::Call(StoreCall::Read(key)),
            BatchStep::Write {
                key,
                expected,
                bytes,
                ..
            } => Self::Call(StoreCall::Write(Write {
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

impl Model for ClaimModel<'_> {
    type State = State;

    fn initial_state(&self) -> State {
        let mut state = State {
            store: MemoryStore::default(),
            delayed_writes: Vec::new(),
            phases: Vec::new(),
            owner_claims: Vec::new(),
            dispatches: vec![0; self.attempts.len()],
            executions: 0,
            faults_left: self.max_faults,
        };
        for attempt in 0..self.attempts.len() {
            let places = self.places(attempt);
            let phase = if places.uses_keys() {
                let claimer = Claimer::Key(ClaimAttempt::from(new_claim(attempt)));
                self.start_claim(&mut state, attempt, claimer, None)
            } else {
                self.start_log_claim(&mut state, attempt, None)
            };
            state.phases.push(phase);
        }
        state
    }

    fn steps(&self, state: &State) -> Vec<Step<State>> {
        let mut steps = Vec::new();
        for attempt in 0..state.phases.len() {
            self.attempt_steps(state, attempt, &mut steps);
        }
        for i in 0..state.owner_claims.len() {
            self.owner_steps(state, i, &mut steps);
        }
        for i in 0..state.delayed_writes.len() {
            let mut next = state.clone();
            let write = next.delayed_writes.remove(i);
            // Nobody waits for the reply; the write still takes effect only if its condition holds.
            let _ = self.put(&mut next.store, &write);
            push_step(&mut steps, "a delayed write arrives".to_owned(), next);
        }
        steps
    }

    fn violated_invariant(&self, state: &State) -> Option<&'static str> {
        if state.executions > 1 {
            return Some("the request ran twice");
        }
        let was_sent = |response: Response| {
            let has_response = |phase: &Phase| *phase == Phase::Ended(response);
            state.phases.iter().any(has_response)
        };
        for (phase, dispatches) in state.phases.iter().zip(&state.dispatches) {
            if *dispatches > 1 {
                return Some("an attempt dispatched twice");
            }
            if matches!(phase, Phase::Ended(Response::Refused(Ran::No))) && *dispatches > 0 {
                return Some("an attempt that had dispatched was reported as 'not run'");
            }
        }
        if state.executions == 0
            && (was_sent(Response::ThisAttempt(Ran::Yes))
                || was_sent(Response::EarlierAttempt(Ran::Yes)))
        {
            return Some("a caller was told that the request ran, but it did not");
        }
        None
    }
}

impl ClaimModel<'_> {
    fn places(&self, attempt: usize) -> ClaimLocations {
        match (self.attempts[attempt], self.mutant) {
            (ClaimLocations::KeysAndLog, Some(Mutant::LogOnly)) => ClaimLocations::Log,
            (places, _) => places,
        }
    }

    fn start_claim(
        &self,
        state: &mut State,
        attempt: usize,
        mut claimer: Claimer,
        key: Option<HeldClaim>,
    ) -> Phase {
        let action = claimer.start();
        self.phase_after(state, attempt, claimer, action, key)
    }

    fn start_log_claim(&self, state: &mut State, attempt: usize, key: Option<HeldClaim>) -> Phase {
        let claimer = Claimer::log(attempt, new_claim(attempt));
        if self.has_owner {
            let mut owner_claim = claimer.clone();
            if let Action::Call(call) = owner_claim.start() {
                state.owner_claims.push((owner_claim, call));
            }
        }
        self.start_claim(state, attempt, claimer, key)
    }

    fn attempt_steps(&self, state: &State, attempt: usize, steps: &mut Vec<Step<State>>) {
        match &state.phases[attempt] {
            Phase::Claiming { claimer, call, key } => {
                let resume = |next: &mut State, reply: StoreReply| {
                    let mut claimer = claimer.clone();
                    let action = claimer.on_reply(reply);
                    let key = key.clone();
                    next.phases[attempt] = self.phase_after(next, attempt, claimer, action, key);
                };
                self.store_call_steps(state, attempt, call, resume, steps);
            }
            Phase::Won(held) => {
                let mut next = state.clone();
                next.dispatches[attempt] += 1;
                let held = held.clone();
                let has_run = false;
                next.phases[attempt] = Phase::Dispatched { held, has_run };
                push_step(steps, format!("attempt {attempt} dispatches"), next);
            }
            Phase::Dispatched { held, has_run } => {
                self.upstream_steps(state, attempt, held, *has_run, steps);
            }
            Phase::Answered {
                held,
                ran,
                response,
            } => {
                self.record_steps(state, attempt, held, (*ran, *response), steps);
            }
            Phase::Recording {
                claimer,
                call,
                response,
            } => {
                let resume = |next: &mut State, reply: StoreReply| {
                    let mut claimer = claimer.clone();
                    let action = claimer.on_reply(reply);
                    next.phases[attempt] = recording_phase(claimer, action, *response);
                };
                self.store_call_steps(state, attempt, call, resume, steps);
            }
            Phase::Ended(_) | Phase::Killed => return,
        }
        if let Some(mut next) = after_fault(state) {
            next.phases[attempt] = Phase::Killed;
            push_step(steps, format!("host of attempt {attempt} is killed"), next);
        }
    }

    fn owner_steps(&self, state: &State, i: usize, steps: &mut Vec<Step<State>>) {
        let mut next = state.clone();
        let (mut claimer, call) = next.owner_claims.remove(i);
        let reply = match &call {
            StoreCall::Read(key) => StoreReply::Read(Ok(next.store.get(key))),
            StoreCall::Write(write) => StoreReply::Written(self.put(&mut next.store, write)),
        };
        if let Action::Call(call) = claimer.on_reply(reply) {
            next.owner_claims.insert(i, (claimer, call));
        }
        push_step(steps, "the log owner proceeds".to_owned(), next);
    }

    fn store_call_steps(
        &self,
        state: &State,
        attempt: usize,
        call: &StoreCall,
        resume: impl Fn(&mut State, StoreReply),
        steps: &mut Vec<Step<State>>,
    ) {
        let mut advance = |mut next: State, label: &str, reply: StoreReply| {
            resume(&mut next, reply);
            push_step(steps, format!("attempt {attempt}: {label}"), next);
        };
        let unknown = || Err(Fault::Unknown("lost".to_owned()));
        let down = || Fault::Unreachable("down".to_owned());
        match call {
            StoreCall::Read(key) => {
                let found = state.store.get(key);
                advance(state.clone(), "reads", StoreReply::Read(Ok(found)));
                if let Some(next) = after_fault(state) {
                    advance(next, "reads, store down", StoreReply::Read(Err(down())));
                }
            }
            StoreCall::Write(write) => {
                let mut next = state.clone();
                let written = self.put(&mut next.store, write);
                advance(next, "writes", StoreReply::Written(written));
                let Some(faulty) = after_fault(state) else {
                    return;
                };
                advance(
                    faulty.clone(),
                    "writes, store down",
                    StoreReply::Written(Err(down())),
                );
                let mut next = faulty.clone();
                let _ = self.put(&mut next.store, write);
                advance(next, "writes, reply lost", self.lost_reply(unknown()));
                let mut next = faulty.clone();
                next.delayed_writes.push(write.clone());
                advance(next, "writes, write delayed", self.lost_reply(unknown()));
                let mut next = faulty;
                let written = self.put(&mut next.store, write);
                next.delayed_writes.push(write.clone());
                advance(
                    next,
                    "writes, write duplicated",
                    StoreReply::Written(written),
                );
            }
        }
    }

    fn upstream_steps(
        &self,
        state: &State,
        attempt: usize,
        held: &HeldClaims,
        has_run: bool,
        steps: &mut Vec<Step<State>>,
    ) {
        let mut answer = |mut next: State, label: &str, ran: Ran| {
            let held = held.clone();
            let response = Response::ThisAttempt(ran);
            next.phases[attempt] = Phase::Answered {
                held,
                ran,
                response,
            };
            push_step(steps, format!("attempt {attempt}: upstream {label}"), next);
        };
        if has_run {
            answer(state.clone(), "answers", Ran::Yes);
            if let Some(next) = after_fault(state) {
                answer(next, "loses its answer", self.ran_after_lost_answer());
            }
            return;
        }
        answer(state.clone(), "refuses", Ran::No);
        if let Some(next) = after_fault(state) {
            answer(next, "is lost before it runs", self.ran_after_lost_answer());
        }
        let mut next = state.clone();
        next.executions += 1;
        let held = held.clone();
        let has_run = true;
        next.phases[attempt] = Phase::Dispatched { held, has_run };
        push_step(steps, format!("attempt {attempt}: upstream runs"), next);
    }

    /// Records the outcome in the key, then in the log, and responds to the caller.
    fn record_steps(
        &self,
        state: &State,
        attempt: usize,
        held: &HeldClaims,
        (ran, response): (Ran, Response),
        steps: &mut Vec<Step<State>>,
    ) {
        let outcome = Outcome {
            ran,
            answer: None,
            failure: None,
        };
        let mut next = state.clone();
        next.phases[attempt] = if held.in_log {
            let claim = new_claim(attempt).with_outcome(outcome.clone());
            let mut claimer = Claimer::log(attempt, claim);
            let action = claimer.start();
            recording_phase(claimer, action, response)
        } else {
            Phase::Ended(response)
        };
        let Some(won) = &held.key else {
            push_step(steps, format!("attempt {attempt} records {ran:?}"), next);
            return;
        };
        let write = Write {
            key: CLAIM_KEY.to_owned(),
            expected: Expected::At(won.key_revision),
            bytes: won.claim.clone().with_outcome(outcome).to_bytes(),
        };
        let mut lost = after_fault(&next);
        let _ = self.put(&mut next.store, &write);
        push_step(steps, format!("attempt {attempt} records {ran:?}"), next);
        if let Some(lost) = lost.as_mut() {
            let label = format!("attempt {attempt}: outcome lost");
            push_step(steps, label, lost.clone());
            lost.delayed_writes.push(write);
            let label = format!("attempt {attempt}: outcome delayed");
            push_step(steps, label, lost.clone());
        }
    }

    fn phase_after(
        &self,
        state: &mut State,
        attempt: usize,
        claimer: Claimer,
        action: Action,
        key: Option<HeldClaim>,
    ) -> Phase {
        let is_log_claim = matches!(claimer, Claimer::Log(_));
        let result = match action {
            Action::Call(call) => return Phase::Claiming { claimer, call, key },
            Action::Done(result) => result,
        };
        let dispatches_anyway = match &result {
            Ok(ClaimResult::Held(_)) => false,
            Ok(ClaimResult::Finished(_)) => self.mutant == Some(Mutant::AlwaysTakeOver),
            Err(_) => self.mutant == Some(Mutant::DispatchWithoutClaim),
        };
        if dispatches_anyway {
            return Phase::Won(HeldClaims { key, in_log: false });
        }
        match result {
            Ok(ClaimResult::Held(won)) if !is_log_claim && self.places(attempt).uses_log() => {
                self.start_log_claim(state, attempt, won)
            }
            Ok(ClaimResult::Held(won)) => Phase::Won(HeldClaims {
                key: won.or(key),
                in_log: is_log_claim,
            }),
            Ok(ClaimResult::Finished(outcome)) => {
                refused_phase(key, Response::EarlierAttempt(outcome.ran))
            }
            Err(error) => refused_phase(key, Response::Refused(error.ran())),
        }
    }

    fn put(&self, store: &mut MemoryStore, write: &Write) -> Result<u64, Fault> {
        let is_unconditional = self.mutant == Some(Mutant::UnconditionalWrite);
        write.apply(store, is_unconditional)
    }

    fn lost_reply(&self, written: Result<u64, Fault>) -> StoreReply {
        match self.mutant {
            Some(Mutant::LostReplyMeansWon) => StoreReply::Written(Ok(0)),
            _ => StoreReply::Written(written),
        }
    }

    fn ran_after_lost_answer(&self) -> Ran {
        match self.mutant {
            Some(Mutant::LostReplyMeansNotRun) => Ran::No,
            _ => Ran::Unknown,
        }
    }
}

fn new_claim(attempt: usize) -> Claim {
    Claim::new(attempt as u128 + 1, FINGERPRINT)
}

/// Ends a refused attempt; a key that it holds is first released to later attempts,
/// with the outcome that nothing ran.
fn refused_phase(key: Option<HeldClaim>, response: Response) -> Phase {
    if key.is_none() {
        return Phase::Ended(response);
    }
    let held = HeldClaims { key, in_log: false };
    let ran = Ran::No;
    Phase::Answered {
        held,
        ran,
        response,
    }
}

fn recording_phase(claimer: Claimer, action: Action, response: Response) -> Phase {
    match action {
        Action::Call(call) => Phase::Recording {
            claimer,
            call,
            response,
        },
        Action::Done(_) => Phase::Ended(response),
    }
}

fn push_step(steps: &mut Vec<Step<State>>, label: String, state: State) {
    steps.push(Step { label, state });
}

fn after_fault(state: &State) -> Option<State> {
    let mut next = state.clone();
    next.faults_left = next.faults_left.checked_sub(1)?;
    Some(next)
}
