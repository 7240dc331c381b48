//! Claiming many scopes of a range by one write of the claim log.
//!
//! A host keeps what it knows of a range as a [`RangeView`]. A batch decides
//! from the view and writes by compare-and-swap at the revision of the view, so
//! that a view which is out of date costs a conflict and never a second claim.
//! Nobody owns a range: any host may write a batch at any time.
//!
//! The decisions are [`Batch`], plain state that is fed with the outcome of
//! each call; [`run_batch`] carries its steps out.

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
        Claim, Claimed, Expected, Fault, KeyRevision, ScopeHash, Value,
    },
    bytes::Bytes,
    kind::{Error, Kind, Ran, Result},
    std::{collections::BTreeMap, time::Duration},
};

pub use self::{
    run::{run_batch, BatchEnd, Leases},
    step::{BatchEvent, BatchStep},
    view::RangeView,
};

/// Most writes within one batch.
const MAX_WRITES: u32 = 8;
/// Random number that tells a batch from all others.
pub type BatchId = u128;

/// Answer to one part of a batch.
pub type BatchAnswer = Result<Claimed<()>>;

/// One part of a batch.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct BatchOp {
    /// Scope, which belongs to the range of the batch.
    pub scope_hash: ScopeHash,
    /// Time for which the claim must be kept, in whole seconds.
    pub retention: Duration,
    /// Claim to be won, or to be recorded if it has an outcome.
    pub claim: Claim,
}

/// The call whose outcome a batch waits for.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Call {
    ReadOpen,
    /// Read of a sealed generation for the scopes that it holds.
    ReadIndex(String),
    /// Read of a sealed generation for a claim that it holds.
    ReadSealed(String),
    /// Read that finds out whether the oldest sealed generation still exists.
    ReadOldest(String),
    WriteSealed,
    /// Write of the open generation with this many bytes.
    WriteOpen(usize),
}

/// How far the sealing of a full generation has come.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Sealing {
    key: String,
    is_pruned: bool,
    is_written: bool,
}

/// The open generation after the parts of a batch, with their answers.
struct Applied {
    next: Generation,
    answers: Vec<BatchAnswer>,
    is_changed: bool,
}

/// The key of a sealed generation that must be read before a batch goes on.
struct Lacking(String);

/// One write of claims and outcomes, from its first step to its end.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Batch {
    range: ClaimRange,
    id: BatchId,
    ops: Vec<BatchOp>,
    view: RangeView,
    /// Sealed generations that this batch has read in full.
    read: BTreeMap<String, Generation>,
    call: Call,
    sealing: Option<Sealing>,
    most_lacking: usize,
    writes: u32,
    is_current: bool,
    is_unsettled: bool,
}

impl Batch {
    /// Creates a batch for a range from what the host knows of it.
    pub fn new(range: ClaimRange, id: BatchId, view: RangeView, ops: Vec<BatchOp>) -> Self {
        Self {
            range,
            id,
            ops,
            view,
            read: BTreeMap::new(),
            call: Call::ReadOpen,
            sealing: None,
            most_lacking: usize::MAX,
            writes: 0,
            is_current: false,
            is_unsettled: false,
        }
    }

    /// Gives up where more sealed generations than this would have to be read.
    pub fn with_most_lacking(mut self, most_lacking: usize) -> Self {
        self.most_lacking = most_lacking;
        self
    }

    /// Returns what the host knows of the range now.
    pub fn into_view(self) -> RangeView {
        self.view
    }

    /// Returns the first step.
    pub fn start(&mut self) -> BatchStep {
        self.advance()
    }

    /// Takes the outcome of the last step and returns the next one.
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
            Call::ReadOpen => {
                self.is_current = true;
                self.view.take_open(value)
            }
            Call::ReadIndex(key) => self.view.take_index(key, value),
            Call::ReadSealed(key) => match value {
                None => self.view.take_index(key, None),
                Some(value) => {
                    let generation = Generation::from_bytes(&value.bytes)?;
                    self.read.insert(key, generation);
                    Ok(())
                }
            },
            Call::ReadOldest(key) => {
                self.on_oldest(&key, value.is_some());
                Ok(())
            }
            Call::WriteSealed | Call::WriteOpen(_) => Ok(()),
        }
    }

    /// Drops the oldest sealed generation if it is gone.
    fn on_oldest(&mut self, key: &str, exists: bool) {
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
            (Call::WriteOpen(bytes), Ok(key_revision)) => self.finish(bytes, key_revision),
            // No other batch writes this key, so a conflict is an earlier write of this one.
            (Call::WriteSealed, Ok(_) | Err(Fault::Conflict)) => {
                if let Some(sealing) = &mut self.sealing {
                    sealing.is_written = true;
                }
                self.advance()
            }
            (Call::WriteSealed, Err(Fault::Unknown(_))) => self.advance(),
            (_, Err(Fault::Conflict)) => self.look_again(),
            (_, Err(Fault::Unknown(_))) => {
                self.is_unsettled = true;
                self.look_again()
            }
            (_, Err(fault)) => self.give_up(fault),
            (_, Ok(_)) => self.advance(),
        }
    }

    fn look_again(&mut self) -> BatchStep {
        self.view.forget_open();
        self.sealing = None;
        self.advance()
    }

    /// Returns the step that brings the batch nearer to its end.
    fn advance(&mut self) -> BatchStep {
        let Some(open) = &self.view.open else {
            return self.read(Call::ReadOpen, open_key(self.range));
        };
        let listed = open.generation.sealed.iter().map(|sealed| &sealed.key);
        let mut lacking = listed.filter(|key| !self.view.sealed.contains_key(*key));
        if let Some(key) = lacking.next().cloned() {
            if lacking.count() >= self.most_lacking {
                let detail = "this host would have to read too much of the log of claims";
                return self.give_up(Fault::Unreachable(detail.to_owned()));
            }
            return self.read(Call::ReadIndex(key.clone()), key);
        }
        let is_full = open.is_full();
        let applied = match self.apply(open) {
            Ok(applied) => applied,
            Err(Lacking(key)) => return self.read(Call::ReadSealed(key.clone()), key),
        };
        if !applied.is_changed {
            return self.settle(applied);
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
        let call = Call::WriteOpen(bytes.len());
        self.write(call, key, expected, bytes, retention)
    }

    fn read(&mut self, call: Call, key: String) -> BatchStep {
        self.call = call;
        BatchStep::Read { key }
    }

    fn write(
        &mut self,
        call: Call,
        key: String,
        expected: Expected,
        bytes: Bytes,
        retention: Duration,
    ) -> BatchStep {
        self.writes += 1;
        if self.writes > MAX_WRITES {
            let detail = "the log of claims changes all the time".to_owned();
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

    /// Returns what the parts of the batch make of the open generation.
    fn apply(&self, open: &OpenView) -> Result<Applied, Lacking> {
        let sealing = self.sealing.as_ref().filter(|sealing| sealing.is_written);
        let (mut next, full) = match sealing {
            Some(sealing) => (
                open.generation.next(sealing.key.clone()),
                Some(&open.generation),
            ),
            None => (open.generation.clone(), None),
        };
        let takes_claims = self.takes_claims(open);
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
                let is_refused = !takes_claims && op.claim.outcome().is_none();
                decision.unless_refused(is_refused)
            });
            if matches!(decision, Ok(Decision::Write)) {
                next.set(op.scope_hash, op.claim.clone(), op.retention);
                is_changed = true;
            }
            answers.push(decision.map(Claimed::from));
        }
        Ok(Applied {
            next,
            answers,
            is_changed,
        })
    }

    /// Returns whether the range has room, or may get some when it is sealed.
    fn takes_claims(&self, open: &OpenView) -> bool {
        let is_pruned = self.sealing.as_ref().is_some_and(|s| s.is_pruned);
        !(is_pruned && open.is_full() && open.generation.has_most_sealed())
    }

    fn find_sealed(
        &self,
        open: &OpenView,
        scope_hash: ScopeHash,
    ) -> Result<Option<Claim>, Lacking> {
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
            None => Err(Lacking(sealed.key.clone())),
        }
    }

    /// Ends a batch that changes nothing, once its view is current enough.
    fn settle(&mut self, applied: Applied) -> BatchStep {
        // Only the lack of an outcome can go out of date.
        let is_open = |answer: &BatchAnswer| {
            let kind = answer.as_ref().err().map(Error::kind);
            kind == Some(Kind::AlreadyClaimed)
        };
        if !self.is_current && applied.answers.iter().any(is_open) {
            return self.look_again();
        }
        BatchStep::Done(applied.answers)
    }

    /// Returns the next step of sealing the full open generation.
    fn seal(&mut self) -> BatchStep {
        let Some(open) = &self.view.open else {
            return self.look_again();
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
            return self.read(Call::ReadOldest(key.clone()), key);
        }
        let key = sealing.key.clone();
        let bytes = open.generation.to_bytes();
        let retention = open.generation.retention();
        self.write(Call::WriteSealed, key, Expected::Absent, bytes, retention)
    }

    fn finish(&mut self, bytes: usize, key_revision: KeyRevision) -> BatchStep {
        let applied = self.view.open.as_ref().map(|open| self.apply(open));
        let Some(Ok(applied)) = applied else {
            // The write was made from the very same view.
            return self.look_again();
        };
        let full = self.view.open.replace(OpenView {
            generation: applied.next,
            bytes,
            expected: Expected::At(key_revision),
        });
        if let (Some(sealing), Some(full)) = (self.sealing.take(), full) {
            // A generation whose scopes cannot be told is read when it is needed.
            if let Ok(hashes) = full.generation.scope_hashes() {
                self.view.sealed.insert(sealing.key, hashes);
            }
        }
        BatchStep::Done(applied.answers)
    }

    /// Ends without the claims; none of their attempts has dispatched anything.
    fn give_up(&mut self, fault: Fault) -> BatchStep {
        let detail = Error::from(fault).detail().to_owned();
        let kind = if self.is_unsettled {
            Kind::StoreUnknown
        } else {
            Kind::StoreDown
        };
        self.fail(&Error::new(kind, detail).with_ran(Ran::No))
    }

    fn fail(&mut self, error: &Error) -> BatchStep {
        let answers = self.ops.iter().map(|_| Err(error.clone()));
        let answers = answers.collect();
        self.view.forget_open();
        BatchStep::Done(answers)
    }
}
