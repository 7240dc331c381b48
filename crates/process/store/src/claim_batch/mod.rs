//! Claims many scopes of a range with one write to the claim log.
//!
//! A host caches the state of a range as a [`RangeView`]. A batch decides from
//! the view and writes by compare-and-swap at the revision of the view, so a
//! stale view causes a conflict and never a second claim of a scope. No host
//! owns a range: any host may write a batch at any time.
//!
//! [`Batch`] is a state machine without I/O that receives the result of each
//! call; [`run_batch`] executes its steps.

mod decision;
mod run;
mod step;
mod view;

use {
    self::{
        decision::{decide, Decision},
        view::OpenView,
    },
    crate::{
        claim_log::{open_key, ClaimRange, Generation},
        Claim, ClaimResult, Expected, Fault, KeyRevision, ScopeHash, Value,
    },
    bytes::Bytes,
    kind::{Error, Kind, Ran, Result},
    std::{collections::BTreeMap, time::Duration},
};

pub use self::{
    run::{run_batch, BatchResult, LeaseProvider},
    step::{BatchEvent, BatchStep},
    view::RangeView,
};

/// Maximum number of writes within one batch.
const MAX_WRITES: u32 = 8;
/// Unique random identifier of a batch.
pub type BatchId = u128;

/// Answer to one operation of a batch.
pub type BatchAnswer = Result<ClaimResult<()>>;

/// One operation of a batch.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct BatchOp {
    /// Hash of the scope, which must belong to the range of the batch.
    pub scope_hash: ScopeHash,
    /// Time for which the claim must be kept, in whole seconds.
    pub retention: Duration,
    /// Claim to acquire, or to store with its outcome if it has one.
    pub claim: Claim,
}

/// The call whose result a batch waits for.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum PendingCall {
    ReadOpen,
    /// Read of a sealed generation for its scope hashes.
    ReadIndex(String),
    /// Read of a sealed generation for one of its claims.
    ReadSealed(String),
    /// Read that checks whether the oldest sealed generation still exists.
    CheckOldest(String),
    WriteSealed,
    /// Write of the open generation, serialized to this many bytes.
    WriteOpen(usize),
}

/// Progress of sealing a full generation.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Sealing {
    key: String,
    /// Whether references to removed generations have been dropped.
    is_pruned: bool,
    is_written: bool,
}

/// The open generation after the operations of a batch, with their answers.
struct AppliedOps {
    next: Generation,
    answers: Vec<BatchAnswer>,
    is_changed: bool,
}

/// The key of a sealed generation that must be read before the batch can decide.
struct UnreadGeneration(String);

/// State machine that writes claims and outcomes to one range.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Batch {
    range: ClaimRange,
    id: BatchId,
    ops: Vec<BatchOp>,
    view: RangeView,
    /// Sealed generations that this batch has read in full.
    read: BTreeMap<String, Generation>,
    call: PendingCall,
    sealing: Option<Sealing>,
    max_missing: usize,
    writes: u32,
    /// Whether this batch has read the open generation itself.
    is_current: bool,
    /// Whether the reply to a write of the open generation was lost, so that it may have
    /// taken effect.
    has_uncertain_write: bool,
}

impl Batch {
    /// Creates a batch for a range from the host's view of it.
    pub fn new(range: ClaimRange, id: BatchId, view: RangeView, ops: Vec<BatchOp>) -> Self {
        Self {
            range,
            id,
            ops,
            view,
            read: BTreeMap::new(),
            call: PendingCall::ReadOpen,
            sealing: None,
            max_missing: usize::MAX,
            writes: 0,
            is_current: false,
            has_uncertain_write: false,
        }
    }

    /// Sets the maximum number of sealed generations missing from the view; the
    /// batch fails if it would have to read more than that.
    pub fn with_max_missing(mut self, max_missing: usize) -> Self {
        self.max_missing = max_missing;
        self
    }

    /// Returns the updated view of the range.
    pub fn into_view(self) -> RangeView {
        self.view
    }

    /// Returns the first step.
    pub fn start(&mut self) -> BatchStep {
        self.advance()
    }

    /// Processes the result of the last step and returns the next one.
    pub fn on_event(&mut self, event: BatchEvent) -> BatchStep {
        match event {
            BatchEvent::Read(Ok(value)) => match self.on_value(value) {
                Ok(()) => self.advance(),
                Err(error) => self.fail(&error),
            },
            BatchEvent::Read(Err(fault)) => self.give_up(fault),
            BatchEvent::Written(written) => self.on_written(written),
        }
    }

    fn on_value(&mut self, value: Option<Value>) -> Result<()> {
        match self.call.clone() {
            PendingCall::ReadOpen => {
                self.is_current = true;
                self.view.set_open(value)
            }
            PendingCall::ReadIndex(key) => self.view.set_index(key, value),
            PendingCall::ReadSealed(key) => match value {
                None => self.view.set_index(key, None),
                Some(value) => {
                    let generation = Generation::from_bytes(&value.bytes)?;
                    self.read.insert(key, generation);
                    Ok(())
                }
            },
            PendingCall::CheckOldest(key) => {
                self.on_oldest_checked(&key, value.is_some());
                Ok(())
            }
            PendingCall::WriteSealed | PendingCall::WriteOpen(_) => Ok(()),
        }
    }

    /// Drops the reference to the oldest sealed generation if it no longer exists.
    fn on_oldest_checked(&mut self, key: &str, exists: bool) {
        if exists {
            if let Some(sealing) = &mut self.sealing {
                sealing.is_pruned = true;
            }
            return;
        }
        self.view.sealed.remove(key);
        if let Some(open) = &mut self.view.open {
            open.generation.sealed.retain(|sealed| sealed.key != key);
        }
    }

    fn on_written(&mut self, written: Result<KeyRevision, Fault>) -> BatchStep {
        match (self.call.clone(), written) {
            (PendingCall::WriteOpen(bytes), Ok(key_revision)) => self.finish(bytes, key_revision),
            // The key contains the batch identifier, so a conflict means that an earlier
            // write of this batch took effect.
            (PendingCall::WriteSealed, Ok(_) | Err(Fault::Conflict)) => {
                if let Some(sealing) = &mut self.sealing {
                    sealing.is_written = true;
                }
                self.advance()
            }
            (PendingCall::WriteSealed, Err(Fault::Unknown(_))) => self.advance(),
            (_, Err(Fault::Conflict)) => self.reload_open(),
            (_, Err(Fault::Unknown(_))) => {
                self.has_uncertain_write = true;
                self.reload_open()
            }
            (_, Err(fault)) => self.give_up(fault),
            (_, Ok(_)) => self.advance(),
        }
    }

    fn reload_open(&mut self) -> BatchStep {
        self.view.clear_open();
        self.sealing = None;
        self.advance()
    }

    /// Returns the next step for the current state.
    fn advance(&mut self) -> BatchStep {
        let Some(open) = &self.view.open else {
            return self.read(PendingCall::ReadOpen, open_key(self.range));
        };
        let listed = open.generation.sealed.iter().map(|sealed| &sealed.key);
        let mut missing = listed.filter(|key| !self.view.sealed.contains_key(*key));
        if let Some(key) = missing.next().cloned() {
            if missing.count() >= self.max_missing {
                let detail =
                    "too many sealed generations of the claim log are not cached on this host";
                return self.give_up(Fault::Unreachable(detail.to_owned()));
            }
            return self.read(PendingCall::ReadIndex(key.clone()), key);
        }
        let is_full = open.is_full();
        let applied = match self.apply(open) {
            Ok(applied) => applied,
            Err(UnreadGeneration(key)) => {
                return self.read(PendingCall::ReadSealed(key.clone()), key)
            }
        };
        if !applied.is_changed {
            return self.finish_unchanged(applied);
        }
        if is_full && !self.sealing.as_ref().is_some_and(|s| s.is_written) {
            return self.seal();
        }
        let bytes = applied.next.to_bytes();
        let retention = applied.next.open_retention();
        let expected = self
            .view
            .open
            .as_ref()
            .map_or(Expected::Absent, |o| o.expected);
        let key = open_key(self.range);
        let call = PendingCall::WriteOpen(bytes.len());
        self.write(call, key, expected, bytes, retention)
    }

    fn read(&mut self, call: PendingCall, key: String) -> BatchStep {
        self.call = call;
        BatchStep::Read { key }
    }

    fn write(
        &mut self,
        call: PendingCall,
        key: String,
        expected: Expected,
        bytes: Bytes,
        retention: Duration,
    ) -> BatchStep {
        self.writes += 1;
        if self.writes > MAX_WRITES {
            let detail = "the claim log kept changing during the batch".to_owned();
            return self.give_up(Fault::Unreachable(detail));
        }
        self.call = call;
        BatchStep::Write {
            key,
            expected,
            bytes,
            retention,
        }
    }

    /// Applies the operations of the batch to the open generation.
    fn apply(&self, open: &OpenView) -> Result<AppliedOps, UnreadGeneration> {
        let sealing = self.sealing.as_ref().filter(|sealing| sealing.is_written);
        let (mut next, full) = match sealing {
            Some(sealing) => (
                open.generation.successor(sealing.key.clone()),
                Some(&open.generation),
            ),
            None => (open.generation.clone(), None),
        };
        let accepts_claims = self.accepts_claims(open);
        let mut answers = Vec::with_capacity(self.ops.len());
        let mut is_changed = false;
        for op in &self.ops {
            let recent = next.find(op.scope_hash);
            let recent = recent.or_else(|| full.and_then(|full| full.find(op.scope_hash)));
            let found = match recent {
                Some(found) => Some(found.clone()),
                None => self.find_sealed(open, op.scope_hash)?,
            };
            let decision = decide(&op.claim, found).and_then(|decision| {
                let is_refused = !accepts_claims && op.claim.outcome().is_none();
                decision.refuse_write_if(is_refused)
            });
            if matches!(decision, Ok(Decision::Write)) {
                next.set(op.scope_hash, op.claim.clone(), op.retention);
                is_changed = true;
            }
            answers.push(decision.map(ClaimResult::from));
        }
        Ok(AppliedOps {
            next,
            answers,
            is_changed,
        })
    }

    /// Returns whether the range has room for claims, or may still gain room by pruning
    /// when the open generation is sealed.
    fn accepts_claims(&self, open: &OpenView) -> bool {
        let is_pruned = self.sealing.as_ref().is_some_and(|s| s.is_pruned);
        !(is_pruned && open.is_full() && open.generation.has_max_sealed())
    }

    fn find_sealed(
        &self,
        open: &OpenView,
        scope_hash: ScopeHash,
    ) -> Result<Option<Claim>, UnreadGeneration> {
        let holds = |key: &String| {
            let index = self.view.sealed.get(key);
            index.is_some_and(|hashes| hashes.binary_search(&scope_hash).is_ok())
        };
        let mut newest_first = open.generation.sealed.iter().rev();
        let Some(sealed) = newest_first.find(|sealed| holds(&sealed.key)) else {
            return Ok(None);
        };
        match self.read.get(&sealed.key) {
            Some(generation) => Ok(generation.find(scope_hash).cloned()),
            None => Err(UnreadGeneration(sealed.key.clone())),
        }
    }

    /// Ends a batch that writes nothing, or reloads the view if it may be stale.
    fn finish_unchanged(&mut self, applied: AppliedOps) -> BatchStep {
        // Stored outcomes are final, so only a missing outcome can be stale.
        let is_without_outcome = |answer: &BatchAnswer| {
            let kind = answer.as_ref().err().map(Error::kind);
            kind == Some(Kind::AlreadyClaimed)
        };
        if !self.is_current && applied.answers.iter().any(is_without_outcome) {
            return self.reload_open();
        }
        BatchStep::Done(applied.answers)
    }

    /// Returns the next step of sealing the full open generation.
    fn seal(&mut self) -> BatchStep {
        let Some(open) = &self.view.open else {
            return self.reload_open();
        };
        let sealer = format!("{:032x}-{}", self.id, self.writes);
        let sealing = self.sealing.get_or_insert_with(|| Sealing {
            key: open.generation.sealed_key(self.range, &sealer),
            is_pruned: false,
            is_written: false,
        });
        let oldest = open.generation.sealed.first();
        if let Some(oldest) = oldest.filter(|_| !sealing.is_pruned) {
            let key = oldest.key.clone();
            return self.read(PendingCall::CheckOldest(key.clone()), key);
        }
        let key = sealing.key.clone();
        let bytes = open.generation.to_bytes();
        let retention = open.generation.retention();
        self.write(
            PendingCall::WriteSealed,
            key,
            Expected::Absent,
            bytes,
            retention,
        )
    }

    fn finish(&mut self, bytes: usize, key_revision: KeyRevision) -> BatchStep {
        let applied = self.view.open.as_ref().map(|open| self.apply(open));
        let Some(Ok(applied)) = applied else {
            // Does not occur: the write was computed from the same view.
            return self.reload_open();
        };
        let full = self.view.open.replace(OpenView {
            generation: applied.next,
            bytes,
            expected: Expected::At(key_revision),
        });
        if let (Some(sealing), Some(full)) = (self.sealing.take(), full) {
            // If a scope hash is malformed, the generation is read again when needed.
            if let Ok(hashes) = full.generation.scope_hashes() {
                self.view.sealed.insert(sealing.key, hashes);
            }
        }
        BatchStep::Done(applied.answers)
    }

    /// Ends the batch without the claims; none of their attempts has dispatched its request.
    fn give_up(&mut self, fault: Fault) -> BatchStep {
        let detail = Error::from(fault).detail().to_owned();
        let kind = if self.has_uncertain_write {
            Kind::StoreUnknown
        } else {
            Kind::StoreDown
        };
        self.fail(&Error::new(kind, detail).with_ran(Ran::No))
    }

    fn fail(&mut self, error: &Error) -> BatchStep {
        let answers = self.ops.iter().map(|_| Err(error.clone()));
        let answers = answers.collect();
        self.view.clear_open();
        BatchStep::Done(answers)
    }
}
