//! Commit by racing operators and adoption by hosts.
//!
//! Operators change the same record. Their writes lose replies, arrive
//! late or meet a store that is down; an operator is killed and repeats its
//! operation. Hosts adopt from the store and from each other, restart, and the
//! store is restored to an older state and recovered.

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

/// A rule that is replaced by a wrong one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutant {
    /// A lost reply to a commit counts as a failure.
    LostReplyFails,
    /// The head is written whatever it holds.
    BlindWrite,
    /// A repeat goes by another operation identifier.
    RepeatIsNew,
    /// A repeat does not say that it is one.
    RepeatIsNotTold,
    /// Hosts adopt whatever the store shows.
    AdoptAnything,
    /// Hosts adopt any higher revision, whatever its origin.
    IgnoreDescent,
    /// The service of a route is looked for before the commit, not on its head.
    ServiceCheckedBefore,
}

/// How large the specification is.
#[derive(Clone, Copy, Debug)]
pub struct Commits {
    /// Number of operators.
    pub operators: usize,
    /// Whether each of them expects the record at the first revision.
    pub is_conditional: bool,
    /// Number of hosts.
    pub hosts: usize,
    /// Number of faults that may occur.
    pub faults: u8,
    /// Whether the first operator puts a route on the record at the start, a
    /// service, and the others retire it; else all of them put that record.
    pub has_route: bool,
    /// Whether the store may be restored to the state of the start.
    pub may_restore: bool,
    /// Rule that is replaced.
    pub mutant: Option<Mutant>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Call {
    Read(String),
    Write(Write),
}

/// What an operator was told.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Told {
    Committed(Revision),
    Unknown,
    Refused,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Operator {
    /// The operation under way, with the call that is due.
    running: Option<Box<(Commit, Call)>>,
    told: Option<Told>,
    repeats: u8,
}

/// State of the specification.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    store: MemoryStore,
    late: Vec<Write>,
    operators: Vec<Operator>,
    hosts: Vec<Arc<Head>>,
    faults: u8,
    is_restored: bool,
    is_recovered: bool,
    /// Whether an operator wrote to the restored store. What it shows from then on
    /// cannot be told from a lost race.
    is_rewritten: bool,
    broken: Option<&'static str>,
}

impl Model for Commits {
    type State = State;

    fn start(&self) -> State {
        let store = store_with_one_record();
        let head = Arc::new(head_of(&store));
        let mut state = State {
            store,
            late: Vec::new(),
            operators: Vec::new(),
            hosts: vec![head; self.hosts],
            faults: self.faults,
            is_restored: false,
            is_recovered: false,
            is_rewritten: false,
            broken: None,
        };
        for i in 0..self.operators {
            let operator = self.begin(&state, i, 0);
            state.operators.push(operator);
        }
        state
    }

    fn next(&self, state: &State) -> Vec<Step<State>> {
        let mut steps = Vec::new();
        for i in 0..state.operators.len() {
            self.next_of_operator(state, i, &mut steps);
        }
        for host in 0..state.hosts.len() {
            self.next_of_host(state, host, &mut steps);
        }
        for i in 0..state.late.len() {
            let mut next = state.clone();
            let write = next.late.remove(i);
            // A late write answers nobody; the condition still guards it.
            let _ = self.put(&mut next.store, &write);
            push(&mut steps, "a late write arrives".to_owned(), next);
        }
        if state.is_restored && !state.is_recovered {
            for step in &mut steps {
                step.state.is_rewritten |=
                    step.state.store.get(HEAD_KEY) != state.store.get(HEAD_KEY);
            }
        }
        self.next_of_store(state, &mut steps);
        steps
    }

    fn broken(&self, state: &State) -> Option<&'static str> {
        if state.broken.is_some() {
            return state.broken;
        }
        let head = head_of(&state.store);
        if is_dangling(&head) {
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
            match operator.told {
                Some(Told::Refused) if count > 0 && !state.is_rewritten => {
                    return Some("a change that was called refused was committed");
                }
                Some(Told::Committed(_)) if count == 0 && !state.is_restored => {
                    return Some("an accepted change was lost");
                }
                _ => {}
            }
        }
        let both = |told: &Option<Told>| matches!(told, Some(Told::Committed(_)));
        // A restored store has lost what one of them wrote, and no rule of a client mends that.
        let accepted = state.operators.iter().filter(|o| both(&o.told)).count();
        if self.is_conditional && !state.is_restored && accepted > 1 {
            return Some("two racers on one revision were both accepted");
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

impl Commits {
    fn begin(&self, state: &State, i: usize, repeats: u8) -> Operator {
        let mut commit = Commit::new(self.change(i), self.stamp(i, repeats))
            .with_bodies(self.bodies(i))
            .with_precondition(match self.is_conditional {
                true => Precondition::Record(1),
                false => Precondition::None,
            })
            .with_local_head(state.hosts[i % state.hosts.len()].id());
        if repeats > 0 && self.mutant != Some(Mutant::RepeatIsNotTold) {
            commit = commit.as_repeat();
        }
        let first = commit.start();
        let mut operator = Operator {
            running: None,
            told: None,
            repeats,
        };
        take_step(&mut operator, commit, first);
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
        // The service is there when the operators begin.
        let is_checked = self.mutant != Some(Mutant::ServiceCheckedBefore);
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
        // Without bodies there are fewer states, and no rule about forks needs them.
        Vec::from_iter(self.is_conditional.then_some(body))
    }

    fn stamp(&self, i: usize, repeats: u8) -> OperationInfo {
        let operation_id: OperationId = match self.mutant {
            Some(Mutant::RepeatIsNew) => format!("operation-{i}-{repeats}"),
            _ => format!("operation-{i}"),
        };
        OperationInfo {
            operation_id,
            operator: operator_name(i),
        }
    }

    fn next_of_operator(&self, state: &State, i: usize, steps: &mut Vec<Step<State>>) {
        let operator = &state.operators[i];
        let Some(running) = &operator.running else {
            if operator.told == Some(Told::Unknown) && operator.repeats == 0 {
                let mut next = state.clone();
                next.operators[i] = self.begin(state, i, 1);
                push(steps, format!("operator {i} repeats"), next);
            }
            return;
        };
        let (commit, call) = running.as_ref();
        let mut advance = |mut next: State, label: &str, event: CommitEvent| {
            let mut commit = commit.clone();
            let step = commit.on_event(event);
            take_step(&mut next.operators[i], commit, step);
            push(steps, format!("operator {i} {label}"), next);
        };
        let down = || Fault::Unreachable("down".to_owned());
        match call {
            Call::Read(key) => {
                let found = state.store.get(key);
                advance(state.clone(), "reads", CommitEvent::Read(Ok(found)));
                if let Some(next) = with_fault(state) {
                    let event = CommitEvent::Read(Err(down()));
                    advance(next, "reads, store down", event);
                }
            }
            Call::Write(write) => {
                let mut next = state.clone();
                let written = self.put(&mut next.store, write);
                let label = format!("writes {}", write.key);
                advance(next, &label, CommitEvent::Written(written));
                let Some(faulty) = with_fault(state) else {
                    return;
                };
                let event = CommitEvent::Written(Err(down()));
                advance(faulty.clone(), "writes, store down", event);
                let mut next = faulty.clone();
                let _ = self.put(&mut next.store, write);
                advance(next, "writes, reply lost", self.lost());
                let mut next = faulty;
                next.late.push(write.clone());
                advance(next, "writes, write late", self.lost());
            }
        }
        if let Some(mut next) = with_fault(state) {
            let killed = &mut next.operators[i];
            killed.running = None;
            killed.told = Some(Told::Unknown);
            push(steps, format!("host of operator {i} is killed"), next);
        }
    }

    fn next_of_host(&self, state: &State, host: usize, steps: &mut Vec<Step<State>>) {
        let seen = head_of(&state.store);
        self.offer(state, host, &seen, Source::Store, steps);
        for peer in 0..state.hosts.len() {
            if peer != host {
                let offered = Arc::clone(&state.hosts[peer]);
                self.offer(state, host, &offered, Source::Peer, steps);
            }
        }
        if let Some(mut next) = with_fault(state) {
            next.hosts[host] = Arc::default();
            push(steps, format!("host {host} restarts"), next);
        }
    }

    fn offer(
        &self,
        state: &State,
        host: usize,
        offered: &Head,
        source: Source,
        steps: &mut Vec<Step<State>>,
    ) {
        let held = &state.hosts[host];
        let is_adopted = match self.mutant {
            Some(Mutant::AdoptAnything) => offered.id() != held.id(),
            Some(Mutant::IgnoreDescent) => offered.revision > held.revision,
            _ => check_adoption(&held.id(), offered, source) == Adoption::Adopt,
        };
        if !is_adopted {
            return;
        }
        let mut next = state.clone();
        next.broken = reverts(held, offered);
        next.hosts[host] = Arc::new(offered.clone());
        let label = format!("host {host} adopts {} from {source:?}", offered.revision);
        push(steps, label, next);
    }

    /// Restores the store to the state of the start, and recovers it.
    fn next_of_store(&self, state: &State, steps: &mut Vec<Step<State>>) {
        if self.may_restore && !state.is_restored {
            let mut next = state.clone();
            // Key revisions rise on, as a restored store gives them out anew.
            let bytes = Bytes::from(head_of(&store_with_one_record()).to_json());
            next.store.overwrite(HEAD_KEY, bytes);
            next.late.clear();
            next.is_restored = true;
            push(steps, "the store is restored".to_owned(), next);
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
            push(steps, format!("host {host} recovers the store"), next);
        }
    }

    fn put(&self, store: &mut MemoryStore, write: &Write) -> Result<u64, Fault> {
        let is_blind = self.mutant == Some(Mutant::BlindWrite) && write.key == HEAD_KEY;
        write.put(store, is_blind)
    }

    fn lost(&self) -> CommitEvent {
        let detail = "lost".to_owned();
        CommitEvent::Written(Err(match self.mutant {
            Some(Mutant::LostReplyFails) => Fault::Unreachable(detail),
            _ => Fault::Unknown(detail),
        }))
    }
}

/// Returns the promise that a host breaks by taking `offered` in place of `held`.
fn reverts(held: &Head, offered: &Head) -> Option<&'static str> {
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

fn take_step(operator: &mut Operator, commit: Commit, step: CommitStep) {
    let call = match step {
        CommitStep::Read { key } => Call::Read(key),
        CommitStep::Write {
            key,
            expected,
            bytes,
            ..
        } => Call::Write(Write {
            key,
            expected,
            bytes,
        }),
        // No run is long enough for an operation to leave the head.
        CommitStep::GrantLease { .. } => return,
        CommitStep::Done(result) => {
            operator.running = None;
            operator.told = Some(told(result));
            return;
        }
    };
    operator.running = Some(Box::new((commit, call)));
}

fn told(result: Result<Committed>) -> Told {
    match result {
        Ok(committed) => Told::Committed(committed.revision),
        Err(error) if error.ran() == Ran::Unknown => Told::Unknown,
        Err(_) => Told::Refused,
    }
}

fn operator_name(i: usize) -> String {
    format!("operator-{i}")
}

fn body_key(i: usize) -> String {
    format!("body-{i}")
}

/// Returns whether a route is in force without the service, which is the only one.
fn is_dangling(head: &Head) -> bool {
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

fn push(steps: &mut Vec<Step<State>>, label: String, state: State) {
    steps.push(Step { label, state });
}

fn with_fault(state: &State) -> Option<State> {
    let mut next = state.clone();
    next.faults = next.faults.checked_sub(1)?;
    Some(next)
}
