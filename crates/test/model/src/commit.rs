//! Commit by concurrent operators and adoption of heads by hosts.
//!
//! Operators change the same record concurrently. The reply to a write may be
//! lost, the write may be delayed, and the store may be down. The host of an
//! operator may be killed, after which the operator repeats its operation.
//! Hosts adopt heads from the store and from each other, and may restart. The
//! store may be restored to an older state and recovered.

use {
    crate::{write::Write, Model, Step},
    bytes::Bytes,
    fakes::memory::MemoryStore,
    kind::{Ran, Result},
    record::{
        check_adoption, Adoption, BodyRef, Change, Head, OperationId, OperationInfo, Precondition,
        RecordId, RecordKind, Revision, Source,
    },
    std::sync::Arc,
    store::{Body, Commit, CommitEvent, CommitStep, Committed, Fault, HEAD_KEY},
};

/// A wrong rule that replaces the right one; the search must detect it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutant {
    /// A commit is taken as failed when the reply to its write is lost.
    LostReplyMeansFailure,
    /// A write to the head ignores its condition.
    UnconditionalWrite,
    /// A repeat uses a new operation identifier.
    RepeatHasNewId,
    /// A repeat is not marked as a repeat.
    RepeatIsUnmarked,
    /// Hosts adopt any head that differs from their own.
    AdoptUnconditionally,
    /// Hosts adopt any higher revision, even if it does not descend from their own.
    IgnoreAncestry,
    /// The service of a route is checked before the commit, not against the head being changed.
    ServiceCheckedBeforeCommit,
}

/// Parameters of the model.
#[derive(Clone, Copy, Debug)]
pub struct CommitModel {
    /// Number of operators.
    pub operators: usize,
    /// Whether each change is conditional on the record being at revision 1.
    pub is_conditional: bool,
    /// Number of hosts.
    pub hosts: usize,
    /// Maximum number of faults.
    pub max_faults: u8,
    /// Whether the first operator puts a route to the initial service and the
    /// others retire that service. Otherwise all of them put the service.
    pub has_route: bool,
    /// Whether the store may be restored to its initial state.
    pub may_restore: bool,
    /// Wrong rule in force, if any.
    pub mutant: Option<Mutant>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum StoreCall {
    Read(String),
    Write(Write),
}

/// Response to an operator.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Response {
    Committed(Revision),
    Unknown,
    Refused,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Operator {
    /// The running operation with its pending call.
    running: Option<Box<(Commit, StoreCall)>>,
    response: Option<Response>,
    repeats: u8,
}

/// State of the model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    store: MemoryStore,
    delayed_writes: Vec<Write>,
    operators: Vec<Operator>,
    hosts: Vec<Arc<Head>>,
    faults_left: u8,
    is_restored: bool,
    is_recovered: bool,
    /// Whether an operator wrote the head after the restore. From then on, the
    /// store cannot be distinguished from one where another change was first.
    is_written_after_restore: bool,
    violation: Option<&'static str>,
}

impl Model for CommitModel {
    type State = State;

    fn initial_state(&self) -> State {
        let store = store_with_one_record();
        let head = Arc::new(head_of(&store));
        let mut state = State {
            store,
            delayed_writes: Vec::new(),
            operators: Vec::new(),
            hosts: vec![head; self.hosts],
            faults_left: self.max_faults,
            is_restored: false,
            is_recovered: false,
            is_written_after_restore: false,
            violation: None,
        };
        for i in 0..self.operators {
            let operator = self.start_operator(&state, i, 0);
            state.operators.push(operator);
        }
        state
    }

    fn steps(&self, state: &State) -> Vec<Step<State>> {
        let mut steps = Vec::new();
        for i in 0..state.operators.len() {
            self.operator_steps(state, i, &mut steps);
        }
        for host in 0..state.hosts.len() {
            self.host_steps(state, host, &mut steps);
        }
        for i in 0..state.delayed_writes.len() {
            let mut next = state.clone();
            let write = next.delayed_writes.remove(i);
            // Nobody waits for the reply; the write still takes effect only if its condition holds.
            let _ = self.put(&mut next.store, &write);
            push_step(&mut steps, "a delayed write arrives".to_owned(), next);
        }
        if state.is_restored && !state.is_recovered {
            for step in &mut steps {
                step.state.is_written_after_restore |=
                    step.state.store.get(HEAD_KEY) != state.store.get(HEAD_KEY);
            }
        }
        self.store_steps(state, &mut steps);
        steps
    }

    fn violated_invariant(&self, state: &State) -> Option<&'static str> {
        if state.violation.is_some() {
            return state.violation;
        }
        let head = head_of(&state.store);
        if has_dangling_route(&head) {
            return Some("a route was left without its service");
        }
        for (i, operator) in state.operators.iter().enumerate() {
            let count = head
                .operations
                .iter()
                .filter(|operation| operation.operator == operator_name(i))
                .count();
            if count > 1 {
                return Some("an operation was committed twice");
            }
            match operator.response {
                Some(Response::Refused) if count > 0 && !state.is_written_after_restore => {
                    return Some("a change reported as refused was committed");
                }
                Some(Response::Committed(_)) if count == 0 && !state.is_restored => {
                    return Some("an accepted change was lost");
                }
                _ => {}
            }
        }
        let is_committed =
            |response: &Option<Response>| matches!(response, Some(Response::Committed(_)));
        // A restore discards committed changes, which no rule of the client can prevent.
        let accepted = state
            .operators
            .iter()
            .filter(|o| is_committed(&o.response))
            .count();
        if self.is_conditional && !state.is_restored && accepted > 1 {
            return Some("two changes conditional on the same revision were both accepted");
        }
        let is_stuck = |held: &Arc<Head>| {
            let verdict = check_adoption(&held.id(), &head, Source::Store);
            matches!(verdict, Adoption::Reverted | Adoption::Forked)
        };
        if state.is_recovered && state.hosts.iter().any(is_stuck) {
            return Some("a host refuses the recovered store");
        }
        None
    }
}

impl CommitModel {
    fn start_operator(&self, state: &State, i: usize, repeats: u8) -> Operator {
        let mut commit = Commit::new(self.change(i), self.stamp(i, repeats))
            .with_bodies(self.bodies(i))
            .with_precondition(match self.is_conditional {
                true => Precondition::Record(1),
                false => Precondition::None,
            })
            .with_local_head(state.hosts[i % state.hosts.len()].id());
        if repeats > 0 && self.mutant != Some(Mutant::RepeatIsUnmarked) {
            commit = commit.as_repeat();
        }
        let first_step = commit.start();
        let mut operator = Operator {
            running: None,
            response: None,
            repeats,
        };
        apply_step(&mut operator, commit, first_step);
        operator
    }

    fn change(&self, i: usize) -> Change {
        match (self.has_route, i) {
            (false, _) => change(i),
            (true, 0) => Change::Put(self.route()),
            (true, _) => Change::Retire { id: record_id() },
        }
    }

    fn route(&self) -> BodyRef {
        // The service exists when the operators start.
        let is_checked = self.mutant != Some(Mutant::ServiceCheckedBeforeCommit);
        BodyRef {
            id: RecordId {
                kind: RecordKind::Route,
                ..record_id()
            },
            key: body_key(0),
            service: is_checked.then(|| record_id().name),
        }
    }

    fn bodies(&self, i: usize) -> Vec<Body> {
        let body = Body {
            key: body_key(i),
            text: "{}".to_owned(),
        };
        // Unconditional changes need no bodies: no rule on forks depends on them, and leaving
        // them out reduces the number of states.
        Vec::from_iter(self.is_conditional.then_some(body))
    }

    fn stamp(&self, i: usize, repeats: u8) -> OperationInfo {
        let operation_id: OperationId = match self.mutant {
            Some(Mutant::RepeatHasNewId) => format!("operation-{i}-{repeats}"),
            _ => format!("operation-{i}"),
        };
        OperationInfo {
            operation_id,
            operator: operator_name(i),
        }
    }

    fn operator_steps(&self, state: &State, i: usize, steps: &mut Vec<Step<State>>) {
        let operator = &state.operators[i];
        let Some(running) = &operator.running else {
            if operator.response == Some(Response::Unknown) && operator.repeats == 0 {
                let mut next = state.clone();
                next.operators[i] = self.start_operator(state, i, 1);
                push_step(steps, format!("operator {i} repeats"), next);
            }
            return;
        };
        let (commit, call) = running.as_ref();
        let mut advance = |mut next: State, label: &str, event: CommitEvent| {
            let mut commit = commit.clone();
            let step = commit.on_event(event);
            apply_step(&mut next.operators[i], commit, step);
            push_step(steps, format!("operator {i} {label}"), next);
        };
        let down = || Fault::Unreachable("down".to_owned());
        match call {
            StoreCall::Read(key) => {
                let found = state.store.get(key);
                advance(state.clone(), "reads", CommitEvent::Read(Ok(found)));
                if let Some(next) = after_fault(state) {
                    let event = CommitEvent::Read(Err(down()));
                    advance(next, "reads, store down", event);
                }
            }
            StoreCall::Write(write) => {
                let mut next = state.clone();
                let written = self.put(&mut next.store, write);
                let label = format!("writes {}", write.key);
                advance(next, &label, CommitEvent::Written(written));
                let Some(faulty) = after_fault(state) else {
                    return;
                };
                let event = CommitEvent::Written(Err(down()));
                advance(faulty.clone(), "writes, store down", event);
                let mut next = faulty.clone();
                let _ = self.put(&mut next.store, write);
                advance(next, "writes, reply lost", self.lost_reply());
                let mut next = faulty;
                next.delayed_writes.push(write.clone());
                advance(next, "writes, write delayed", self.lost_reply());
            }
        }
        if let Some(mut next) = after_fault(state) {
            let killed = &mut next.operators[i];
            killed.running = None;
            killed.response = Some(Response::Unknown);
            push_step(steps, format!("host of operator {i} is killed"), next);
        }
    }

    fn host_steps(&self, state: &State, host: usize, steps: &mut Vec<Step<State>>) {
        let stored = head_of(&state.store);
        self.adoption_steps(state, host, &stored, Source::Store, steps);
        for peer in 0..state.hosts.len() {
            if peer != host {
                let offered = Arc::clone(&state.hosts[peer]);
                self.adoption_steps(state, host, &offered, Source::Peer, steps);
            }
        }
        if let Some(mut next) = after_fault(state) {
            next.hosts[host] = Arc::default();
            push_step(steps, format!("host {host} restarts"), next);
        }
    }

    fn adoption_steps(
        &self,
        state: &State,
        host: usize,
        offered: &Head,
        source: Source,
        steps: &mut Vec<Step<State>>,
    ) {
        let held = &state.hosts[host];
        let is_adopted = match self.mutant {
            Some(Mutant::AdoptUnconditionally) => offered.id() != held.id(),
            Some(Mutant::IgnoreAncestry) => offered.revision > held.revision,
            _ => check_adoption(&held.id(), offered, source) == Adoption::Adopt,
        };
        if !is_adopted {
            return;
        }
        let mut next = state.clone();
        next.violation = invariant_violated_by_adoption(held, offered);
        next.hosts[host] = Arc::new(offered.clone());
        let label = format!("host {host} adopts {} from {source:?}", offered.revision);
        push_step(steps, label, next);
    }

    /// Restores the store to its initial state, and recovers it after that.
    fn store_steps(&self, state: &State, steps: &mut Vec<Step<State>>) {
        if self.may_restore && !state.is_restored {
            let mut next = state.clone();
            // Key revisions keep rising: a restored store assigns new ones.
            let bytes = Bytes::from(head_of(&store_with_one_record()).to_json());
            next.store.overwrite(HEAD_KEY, bytes);
            next.delayed_writes.clear();
            next.is_restored = true;
            push_step(steps, "the store is restored".to_owned(), next);
            return;
        }
        if !state.is_restored || state.is_recovered {
            return;
        }
        for (host, held) in state.hosts.iter().enumerate() {
            let is_newest = state.hosts.iter().all(|h| h.revision <= held.revision);
            let verdict = check_adoption(&held.id(), &head_of(&state.store), Source::Store);
            if !is_newest || !matches!(verdict, Adoption::Reverted | Adoption::Forked) {
                continue;
            }
            let mut next = state.clone();
            recover(&mut next.store, held);
            next.is_recovered = true;
            push_step(steps, format!("host {host} recovers the store"), next);
        }
    }

    fn put(&self, store: &mut MemoryStore, write: &Write) -> Result<u64, Fault> {
        let is_unconditional =
            self.mutant == Some(Mutant::UnconditionalWrite) && write.key == HEAD_KEY;
        write.apply(store, is_unconditional)
    }

    fn lost_reply(&self) -> CommitEvent {
        let detail = "lost".to_owned();
        CommitEvent::Written(Err(match self.mutant {
            Some(Mutant::LostReplyMeansFailure) => Fault::Unreachable(detail),
            _ => Fault::Unknown(detail),
        }))
    }
}

/// Returns the invariant that a host violates by replacing `held` with `offered`.
fn invariant_violated_by_adoption(held: &Head, offered: &Head) -> Option<&'static str> {
    if offered.revision <= held.revision {
        return Some("a host went back to an older revision");
    }
    let is_lost =
        |operation: &&record::Operation| offered.operation(&operation.operation_id).is_none();
    let is_recovery = offered.generation > held.generation;
    if !is_recovery && held.operations.iter().any(|o| is_lost(&o)) {
        return Some("a change in force was lost by adoption");
    }
    None
}

fn recover(store: &mut MemoryStore, held: &Arc<Head>) {
    let change = Change::Recover {
        head: Arc::clone(held),
    };
    let stamp = OperationInfo {
        operation_id: "recovery".to_owned(),
        operator: "recovery".to_owned(),
    };
    if let Ok(head) = head_of(store).with_change(&change, &stamp) {
        store.overwrite(HEAD_KEY, Bytes::from(head.to_json()));
    }
}

fn apply_step(operator: &mut Operator, commit: Commit, step: CommitStep) {
    let call = match step {
        CommitStep::Read { key } => StoreCall::Read(key),
        CommitStep::Write {
            key,
            expected,
            bytes,
            ..
        } => StoreCall::Write(Write {
            key,
            expected,
            bytes,
        }),
        // No trace is long enough for an operation to be removed from the head.
        CommitStep::GrantLease { .. } => return,
        CommitStep::Done(result) => {
            operator.running = None;
            operator.response = Some(response_to(result));
            return;
        }
    };
    operator.running = Some(Box::new((commit, call)));
}

fn response_to(result: Result<Committed>) -> Response {
    match result {
        Ok(committed) => Response::Committed(committed.revision),
        Err(error) if error.ran() == Ran::Unknown => Response::Unknown,
        Err(_) => Response::Refused,
    }
}

fn operator_name(i: usize) -> String {
    format!("operator-{i}")
}

fn body_key(i: usize) -> String {
    format!("body-{i}")
}

/// Returns whether a route is in force without the only service of the model.
fn has_dangling_route(head: &Head) -> bool {
    let has = |kind| head.entries.iter().any(|entry| entry.id.kind == kind);
    has(RecordKind::Route) && !has(RecordKind::Service)
}

fn record_id() -> RecordId {
    RecordId {
        kind: RecordKind::Service,
        name: "shortfall".to_owned(),
        version: 1,
    }
}

fn change(i: usize) -> Change {
    Change::Put(BodyRef {
        id: record_id(),
        key: body_key(i),
        service: None,
    })
}

fn store_with_one_record() -> MemoryStore {
    let stamp = OperationInfo {
        operation_id: "first".to_owned(),
        operator: "first".to_owned(),
    };
    let mut store = MemoryStore::default();
    if let Ok(head) = Head::default().with_change(&change(9), &stamp) {
        store.overwrite(HEAD_KEY, Bytes::from(head.to_json()));
    }
    store
}

fn head_of(store: &MemoryStore) -> Head {
    store
        .get(HEAD_KEY)
        .and_then(|value| Head::from_json(&value.bytes).ok())
        .unwrap_or_default()
}

fn push_step(steps: &mut Vec<Step<State>>, label: String, state: State) {
    steps.push(Step { label, state });
}

fn after_fault(state: &State) -> Option<State> {
    let mut next = state.clone();
    next.faults_left = next.faults_left.checked_sub(1)?;
    Some(next)
}
