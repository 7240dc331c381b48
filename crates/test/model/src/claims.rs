//! Claims and dispatch of a request that runs at most once.
//!
//! Several attempts carry the same idempotency key through as many hosts. Each
//! is paused, killed or cut off from the store at any point; writes lose their
//! replies, arrive late, or arrive twice.

use {
    crate::{Model, Step},
    bytes::Bytes,
    fakes::memory::MemoryStore,
    kind::{Error, Ran, Result},
    store::{ClaimEvent, ClaimStep, Claimed, Claiming, Expected, Fault, Outcome, Won},
};

const KEY: &str = "wharf/claim";
const FINGERPRINT: u128 = 7;

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
}

/// How large the specification is.
#[derive(Clone, Copy, Debug)]
pub struct Claims {
    /// Number of attempts.
    pub attempts: usize,
    /// Number of faults that may occur.
    pub faults: u8,
    /// Rule that is replaced.
    pub mutant: Option<Mutant>,
}

/// Where an attempt stands.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Phase {
    Claiming {
        claiming: Claiming,
        step: Call,
    },
    /// The claim is won and nothing is dispatched.
    Won(Won),
    /// The request is on its way to the upstream.
    Dispatched {
        won: Won,
        has_run: bool,
    },
    /// The outcome is known and not yet on record.
    Answered {
        won: Won,
        ran: Ran,
    },
    /// The caller has its answer.
    Ended(Said),
    /// The host is gone, with everything that it knew.
    Killed,
}

/// A call to the store that is due.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Call {
    Read,
    Write(Write),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Write {
    expected: Expected,
    bytes: Bytes,
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
    dispatches: Vec<u8>,
    runs: u8,
    faults: u8,
}

impl Model for Claims {
    type State = State;

    fn start(&self) -> State {
        let phases = (0..self.attempts).map(|i| {
            let mut claiming = Claiming::new(i as u128 + 1, FINGERPRINT);
            let first = claiming.start();
            self.phase_of(claiming, first)
        });
        State {
            store: MemoryStore::default(),
            late: Vec::new(),
            phases: phases.collect(),
            dispatches: vec![0; self.attempts],
            runs: 0,
            faults: self.faults,
        }
    }

    fn next(&self, state: &State) -> Vec<Step<State>> {
        let mut steps = Vec::new();
        for attempt in 0..state.phases.len() {
            self.next_of(state, attempt, &mut steps);
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

impl Claims {
    fn next_of(&self, state: &State, attempt: usize, steps: &mut Vec<Step<State>>) {
        match &state.phases[attempt] {
            Phase::Claiming { claiming, step } => {
                self.next_of_claiming(state, attempt, claiming, step, steps);
            }
            Phase::Won(won) => {
                let mut next = state.clone();
                next.dispatches[attempt] += 1;
                let won = won.clone();
                let has_run = false;
                next.phases[attempt] = Phase::Dispatched { won, has_run };
                push(steps, format!("attempt {attempt} dispatches"), next);
            }
            Phase::Dispatched { won, has_run } => {
                self.next_of_dispatched(state, attempt, won, *has_run, steps);
            }
            Phase::Answered { won, ran } => self.record(state, attempt, won, *ran, steps),
            Phase::Ended(_) | Phase::Killed => return,
        }
        if let Some(mut next) = with_fault(state) {
            next.phases[attempt] = Phase::Killed;
            push(steps, format!("host of attempt {attempt} is killed"), next);
        }
    }

    fn next_of_claiming(
        &self,
        state: &State,
        attempt: usize,
        claiming: &Claiming,
        call: &Call,
        steps: &mut Vec<Step<State>>,
    ) {
        let mut advance = |mut next: State, label: &str, event: ClaimEvent| {
            let mut claiming = claiming.clone();
            let step = claiming.on_event(event);
            next.phases[attempt] = self.phase_of(claiming, step);
            push(steps, format!("attempt {attempt}: {label}"), next);
        };
        let unknown = || Err(Fault::Unknown("lost".to_owned()));
        let down = || Fault::Unreachable("down".to_owned());
        match call {
            Call::Read => {
                let found = state.store.get(KEY);
                advance(state.clone(), "reads", ClaimEvent::Read(Ok(found)));
                if let Some(next) = with_fault(state) {
                    advance(next, "reads, store down", ClaimEvent::Read(Err(down())));
                }
            }
            Call::Write(write) => {
                let mut next = state.clone();
                let written = self.put(&mut next.store, write);
                advance(next, "claims", ClaimEvent::Written(written));
                let Some(faulty) = with_fault(state) else {
                    return;
                };
                advance(
                    faulty.clone(),
                    "claims, store down",
                    ClaimEvent::Written(Err(down())),
                );
                let mut next = faulty.clone();
                let _ = self.put(&mut next.store, write);
                advance(next, "claims, reply lost", self.lost(unknown()));
                let mut next = faulty.clone();
                next.late.push(write.clone());
                advance(next, "claims, write late", self.lost(unknown()));
                let mut next = faulty;
                let written = self.put(&mut next.store, write);
                next.late.push(write.clone());
                advance(next, "claims, write doubled", ClaimEvent::Written(written));
            }
        }
    }

    fn next_of_dispatched(
        &self,
        state: &State,
        attempt: usize,
        won: &Won,
        has_run: bool,
        steps: &mut Vec<Step<State>>,
    ) {
        let mut answer = |mut next: State, label: &str, ran: Ran| {
            let won = won.clone();
            next.phases[attempt] = Phase::Answered { won, ran };
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
        let won = won.clone();
        let has_run = true;
        next.phases[attempt] = Phase::Dispatched { won, has_run };
        push(steps, format!("attempt {attempt}: upstream runs"), next);
    }

    /// Records the outcome and tells the caller.
    fn record(
        &self,
        state: &State,
        attempt: usize,
        won: &Won,
        ran: Ran,
        steps: &mut Vec<Step<State>>,
    ) {
        let outcome = Outcome {
            ran,
            answer: None,
            failure: None,
        };
        let write = Write {
            expected: Expected::At(won.key_revision),
            bytes: won.claim.clone().with_outcome(outcome).to_bytes(),
        };
        let mut next = state.clone();
        next.phases[attempt] = Phase::Ended(Said::Own(ran));
        let mut lost = with_fault(&next);
        let _ = self.put(&mut next.store, &write);
        push(steps, format!("attempt {attempt} records {ran:?}"), next);
        if let Some(lost) = lost.as_mut() {
            push(
                steps,
                format!("attempt {attempt}: outcome lost"),
                lost.clone(),
            );
            lost.late.push(write);
            let label = format!("attempt {attempt}: outcome late");
            push(steps, label, lost.clone());
        }
    }

    fn phase_of(&self, claiming: Claiming, step: ClaimStep) -> Phase {
        match step {
            ClaimStep::Read => Phase::Claiming {
                claiming,
                step: Call::Read,
            },
            ClaimStep::Write { expected, bytes } => Phase::Claiming {
                claiming,
                step: Call::Write(Write { expected, bytes }),
            },
            ClaimStep::Done(result) => self.phase_after(result),
        }
    }

    fn phase_after(&self, result: Result<Claimed, Error>) -> Phase {
        match result {
            Ok(Claimed::Won(won)) => Phase::Won(won),
            Ok(Claimed::Finished(outcome)) => match self.mutant {
                Some(Mutant::TakeOverAlways) => Phase::Won(Won {
                    claim: store::Claim::new(9, FINGERPRINT),
                    key_revision: 0,
                }),
                _ => Phase::Ended(Said::Finished(outcome.ran)),
            },
            Err(_) if self.mutant == Some(Mutant::DispatchFirst) => Phase::Won(Won {
                claim: store::Claim::new(9, FINGERPRINT),
                key_revision: 0,
            }),
            Err(error) => Phase::Ended(Said::Refused(error.ran())),
        }
    }

    fn put(&self, store: &mut MemoryStore, write: &Write) -> Result<u64, Fault> {
        if self.mutant == Some(Mutant::BlindWrite) {
            return Ok(store.overwrite(KEY, write.bytes.clone()));
        }
        store.put(KEY, write.expected, write.bytes.clone())
    }

    fn lost(&self, written: Result<u64, Fault>) -> ClaimEvent {
        match self.mutant {
            Some(Mutant::LostReplyWins) => ClaimEvent::Written(Ok(0)),
            _ => ClaimEvent::Written(written),
        }
    }

    fn lost_answer(&self) -> Ran {
        match self.mutant {
            Some(Mutant::LostReplyIsProof) => Ran::No,
            _ => Ran::Unknown,
        }
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
