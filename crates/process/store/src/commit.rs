//! Commits a change: writes immutable bodies first, then the head by compare-and-swap.
//!
//! The head is the only commit point, so anything else that a failed commit
//! wrote has no effect. [`Commit`] is a state machine without I/O that receives
//! the result of each call; [`commit`] executes its steps.
//!
//! After a lost reply the commit reads back whether the write took effect. The
//! head lists the latest operations, and an operation is stored under a key
//! derived from its identifier before it is dropped from the head, so an
//! operation found in neither place has not been committed. While the head is
//! still at the revision that the lost write expected, the same write is
//! repeated, since at most one of the two can take effect. Once the head has
//! moved to another revision without the operation, the lost write can no
//! longer take effect.

use {
    crate::{
        body::key_for_operation, operation_key, prepare::Preparation, read_operation, Body,
        CommitEvent, CommitStep, Expected, Fault, KeyRevision, Platform, Value, HEAD_KEY,
    },
    bytes::Bytes,
    kind::{Error, Kind, Ran, Result},
    record::{
        check_adoption, Adoption, BodyRef, Bundle, Change, Head, HeadEntry, HeadId, Operation,
        OperationInfo, Precondition, RawRecord, Record, RecordKind, Revision, Source,
        MAX_RECORD_BYTES,
    },
    std::{mem, time::Duration},
    tokio::time::sleep,
};

/// Maximum number of head reads and retried preparation steps within one commit.
const MAX_ATTEMPTS: u32 = 8;
/// Delay before the head is read again, multiplied by the number of earlier attempts.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// The result of a successful commit.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Committed {
    /// Revision of the head that contains the change.
    pub revision: Revision,
    /// Whether an earlier call for the same operation had already committed it.
    pub is_repeat: bool,
}

/// The head as it was read, with the revision of its key.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct HeadSnapshot {
    head: Head,
    key_revision: Option<KeyRevision>,
}

/// The step whose result the commit waits for.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
enum PendingStep {
    /// Read or write of the head.
    #[default]
    Head,
    /// Read of this operation, which the head in the snapshot may no longer list.
    Operation(HeadSnapshot),
    /// Read of a route in the head of the snapshot.
    Route(HeadSnapshot),
    /// A preparation step before the write of the head.
    Preparation,
}

/// State machine of one commit, from the first read of the head to the result.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Commit {
    change: Change,
    stamp: OperationInfo,
    precondition: Precondition,
    bodies: Vec<Body>,
    /// The head in force on the committing host.
    local_head: HeadId,
    /// The head that the planned change builds on.
    base: Option<HeadSnapshot>,
    pending_step: PendingStep,
    preparation: Preparation,
    new_head: Option<Head>,
    attempts: u32,
    /// Whether the reply to a write of the head was lost, so that it may have taken effect.
    has_uncertain_write: bool,
    is_repeat: bool,
}

impl Commit {
    /// Creates a commit of `change`.
    pub fn new(change: Change, stamp: OperationInfo) -> Self {
        Self {
            change,
            stamp,
            precondition: Precondition::None,
            bodies: Vec::new(),
            local_head: HeadId::default(),
            base: None,
            pending_step: PendingStep::Head,
            preparation: Preparation::default(),
            new_head: None,
            attempts: 0,
            has_uncertain_write: false,
            is_repeat: false,
        }
    }

    /// Creates a commit that puts a record.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::BadRecord`] or [`Kind::RecordTooLarge`].
    pub fn put(raw: &RawRecord, stamp: OperationInfo) -> Result<Self> {
        let record = Record::try_from(raw.clone())?;
        let text = raw.to_json();
        if text.len() > MAX_RECORD_BYTES {
            return Err(Error::new(
                Kind::RecordTooLarge,
                format!(
                    "the record has {} bytes, the limit is {MAX_RECORD_BYTES}",
                    text.len()
                ),
            ));
        }
        let body = Body::new(&record, text, &stamp.operation_id);
        let named = named_body(&record, &body);
        Ok(Self::new(Change::Put(named), stamp).with_bodies(vec![body]))
    }

    /// Creates a commit that rolls a record back to the text of an earlier body.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::BadRecord`] if this release does not accept the body as
    /// valid.
    pub fn roll_back(text: String, stamp: OperationInfo) -> Result<Self> {
        let record = Record::from_json(&text)?;
        let body = Body::new(&record, text, &stamp.operation_id);
        let named = named_body(&record, &body);
        Ok(Self::new(Change::RollBack(named), stamp).with_bodies(vec![body]))
    }

    /// Creates a commit that restores the store from the bundle that a host holds.
    pub fn recover(local: &Bundle, stamp: OperationInfo) -> Self {
        // The bodies get new keys, because leases of the restored store may be
        // about to remove the old ones.
        let bodies = local.bodies.iter().map(|(key, text)| Body {
            key: key_for_operation(key, &stamp.operation_id),
            text: text.to_string(),
        });
        let bodies = bodies.collect();
        let mut head = local.head.clone();
        for entry in &mut head.entries {
            entry.body_key = key_for_operation(&entry.body_key, &stamp.operation_id);
        }
        let change = Change::Recover { head: head.into() };
        Self::new(change, stamp).with_bodies(bodies)
    }

    /// Sets the bodies that are written before the head.
    pub fn with_bodies(mut self, bodies: Vec<Body>) -> Self {
        self.bodies = bodies;
        self
    }

    /// Sets the condition that must hold for the change to be committed.
    pub fn with_precondition(mut self, precondition: Precondition) -> Self {
        self.precondition = precondition;
        self
    }

    /// Sets the head that is in force on the committing host.
    ///
    /// A store with an older head was restored from a backup, and the commit
    /// fails instead of building on that head.
    pub fn with_local_head(mut self, local_head: HeadId) -> Self {
        self.local_head = local_head;
        self
    }

    /// Marks the commit as a repeat: an earlier call for the same operation may
    /// have committed it or may still do so.
    ///
    /// Unless the head resolves the outcome, a failed repeat is reported as unknown.
    pub fn as_repeat(mut self) -> Self {
        self.is_repeat = true;
        self
    }

    /// Returns the operator and the operation identifier of the change.
    pub fn stamp(&self) -> &OperationInfo {
        &self.stamp
    }

    /// Returns the change.
    pub fn change(&self) -> &Change {
        &self.change
    }

    /// Returns the first step.
    pub fn start(&mut self) -> CommitStep {
        self.read_head()
    }

    /// Processes the result of the last step and returns the next one.
    pub fn on_event(&mut self, event: CommitEvent) -> CommitStep {
        match (mem::take(&mut self.pending_step), event) {
            (_, CommitEvent::Read(Err(fault))) => self.fail(fault),
            (PendingStep::Preparation, event) => self.on_preparation(event),
            (PendingStep::Operation(snapshot), CommitEvent::Read(Ok(value))) => {
                self.on_operation(snapshot, value)
            }
            (PendingStep::Route(snapshot), CommitEvent::Read(Ok(value))) => {
                self.on_route(snapshot, value)
            }
            (_, CommitEvent::Read(Ok(value))) => self.on_head(value),
            (_, CommitEvent::Written(written)) => self.on_head_written(written),
            // Only preparation steps request leases, so this does not occur.
            (_, CommitEvent::Granted(_)) => self.read_head(),
        }
    }

    fn read_head(&mut self) -> CommitStep {
        self.attempts += 1;
        if self.attempts <= MAX_ATTEMPTS {
            return CommitStep::Read {
                key: HEAD_KEY.to_owned(),
            };
        }
        let detail = "the head kept changing during the commit".to_owned();
        if self.has_uncertain_write {
            return self.fail(Fault::Unreachable(detail));
        }
        CommitStep::Done(Err(Error::new(Kind::Conflict, detail)))
    }

    /// Ends the commit after a fault; the error states whether it may have taken effect.
    fn fail(&self, fault: Fault) -> CommitStep {
        let error = Error::from(fault);
        CommitStep::Done(Err(if self.has_uncertain_write || self.is_repeat {
            Error::new(
                Kind::StoreUnknown,
                format!(
                    "operation {} may have been committed; repeat it under the same identifier: {}",
                    self.stamp.operation_id,
                    error.detail()
                ),
            )
        } else {
            Error::new(Kind::StoreDown, error.detail()).with_ran(Ran::No)
        }))
    }

    fn on_head(&mut self, value: Option<Value>) -> CommitStep {
        let key_revision = value.as_ref().map(|v| v.key_revision);
        let head = match value.map_or(Ok(Head::default()), |v| Head::from_json(&v.bytes)) {
            Ok(head) => head,
            Err(error) => return CommitStep::Done(Err(error)),
        };
        if let Some(operation) = head.operation(&self.stamp.operation_id) {
            return CommitStep::Done(self.already_committed(operation));
        }
        let is_same_base = self
            .base
            .as_ref()
            .is_some_and(|b| b.key_revision == key_revision);
        if self.has_uncertain_write && is_same_base {
            return self.write_head();
        }
        let snapshot = HeadSnapshot { head, key_revision };
        if snapshot.head.lists_all_operations_since(0) {
            return self.on_not_committed(snapshot);
        }
        let key = operation_key(&self.stamp.operation_id);
        self.pending_step = PendingStep::Operation(snapshot);
        CommitStep::Read { key }
    }

    /// Processes the stored entry of this operation, if there is one outside the head.
    fn on_operation(&mut self, snapshot: HeadSnapshot, value: Option<Value>) -> CommitStep {
        let Some(value) = value else {
            return self.on_not_committed(snapshot);
        };
        CommitStep::Done(match read_operation(&value) {
            Ok(operation) => self.already_committed(&operation),
            Err(error) => Err(error),
        })
    }

    /// Continues from a head that was read and does not contain this operation.
    fn on_not_committed(&mut self, snapshot: HeadSnapshot) -> CommitStep {
        match self.resolve_uncertain_write(&snapshot.head) {
            Ok(()) => self.resolve_services(snapshot),
            Err(error) => CommitStep::Done(Err(error)),
        }
    }

    /// Reads the routes whose service must be known but is missing from the head; then
    /// plans the writes.
    fn resolve_services(&mut self, snapshot: HeadSnapshot) -> CommitStep {
        if let Some(route) = self.unresolved_route(&snapshot.head) {
            let key = route.body_key.clone();
            self.pending_step = PendingStep::Route(snapshot);
            return CommitStep::Read { key };
        }
        match self.plan(snapshot.head, snapshot.key_revision) {
            Ok(()) => self.next_write(),
            // An earlier call that is still in flight may yet commit the operation.
            Err(error) if self.is_repeat && error.kind() != Kind::Conflict => {
                CommitStep::Done(Err(error.with_ran(Ran::Unknown)))
            }
            Err(error) => CommitStep::Done(Err(error)),
        }
    }

    /// Returns a route that may block the retirement of a service because the head
    /// does not name the service of the route.
    fn unresolved_route<'a>(&self, head: &'a Head) -> Option<&'a HeadEntry> {
        let retired = match &self.change {
            Change::Retire { id } => id,
            _ => return None,
        };
        let is_unresolved =
            |entry: &&HeadEntry| entry.id.kind == RecordKind::Route && entry.service.is_none();
        match retired.kind {
            RecordKind::Service => head.entries.iter().find(is_unresolved),
            RecordKind::Route => None,
        }
    }

    /// Fills in the service of a route whose head entry an older release wrote.
    fn on_route(&mut self, mut snapshot: HeadSnapshot, value: Option<Value>) -> CommitStep {
        let Some(id) = self
            .unresolved_route(&snapshot.head)
            .map(|entry| entry.id.clone())
        else {
            return self.resolve_services(snapshot);
        };
        let text = value.map(|value| String::from_utf8_lossy(&value.bytes).into_owned());
        match Record::from_json(&text.unwrap_or_default()) {
            Ok(Record::Route(route)) => snapshot.head.set_service(&id, route.service),
            Ok(Record::Service(_)) | Err(_) => {
                let detail = format!("the body of {id} cannot be read");
                return CommitStep::Done(Err(Error::new(Kind::BadRecord, detail)));
            }
        }
        self.resolve_services(snapshot)
    }

    /// Returns the result for an operation that has already been committed.
    fn already_committed(&self, operation: &Operation) -> Result<Committed> {
        if !operation.commits(&self.change) {
            return Err(Error::new(
                Kind::KeyReused,
                format!(
                    "operation {} was already used for a different change",
                    operation.operation_id
                ),
            ));
        }
        Ok(Committed {
            revision: operation.revision,
            is_repeat: !self.has_uncertain_write,
        })
    }

    /// Checks that a write whose reply was lost did not take effect and no longer can.
    fn resolve_uncertain_write(&mut self, head: &Head) -> Result<()> {
        let Some(base) = self.base.as_ref().filter(|_| self.has_uncertain_write) else {
            return Ok(());
        };
        if check_adoption(&base.head.id(), head, Source::Store) != Adoption::Adopt {
            return Err(Error::new(
                Kind::StoreUnknown,
                "the store was restored from a backup during the commit; see 'wharfctl recover'",
            ));
        }
        self.has_uncertain_write = false;
        Ok(())
    }

    /// Checks the change against `head` and computes what to write.
    fn plan(&mut self, head: Head, key_revision: Option<KeyRevision>) -> Result<()> {
        let is_recovery = matches!(self.change, Change::Recover { .. });
        let verdict = check_adoption(&self.local_head, &head, Source::Store);
        if !is_recovery && matches!(verdict, Adoption::Reverted | Adoption::Forked) {
            // The operation may be among the data that the store lost.
            let kind = match self.is_repeat {
                true => Kind::StoreUnknown,
                false => Kind::StoreReverted,
            };
            return Err(Error::new(
                kind,
                format!(
                    "the store has revision {}, but {} is in force; see 'wharfctl recover'",
                    head.revision, self.local_head.revision
                ),
            ));
        }
        if let Some(id) = self.change.subject() {
            // Another operation changed the same record since the previous read of the head.
            let is_changed = |base: &HeadSnapshot| base.head.entry(id) != head.entry(id);
            if self.base.as_ref().is_some_and(is_changed) {
                return Err(head.conflict(id));
            }
            head.check(id, self.precondition)?;
        }
        self.new_head = Some(head.with_change(&self.change, &self.stamp)?);
        self.preparation.plan(&head, &self.bodies);
        self.base = Some(HeadSnapshot { head, key_revision });
        Ok(())
    }

    fn next_write(&mut self) -> CommitStep {
        match self.preparation.step() {
            Some(step) => {
                self.pending_step = PendingStep::Preparation;
                step
            }
            None => {
                self.pending_step = PendingStep::Head;
                self.write_head()
            }
        }
    }

    /// Processes the result of a preparation step.
    fn on_preparation(&mut self, event: CommitEvent) -> CommitStep {
        match self.preparation.on_event(event) {
            Ok(()) => self.next_write(),
            // Preparation steps are idempotent.
            Err(Fault::Unknown(_)) if self.attempts < MAX_ATTEMPTS => {
                self.attempts += 1;
                self.next_write()
            }
            // The head has not been written, so nothing has taken effect.
            Err(fault) => self.fail(fault),
        }
    }

    fn write_head(&self) -> CommitStep {
        let expected = match self.base.as_ref().and_then(|base| base.key_revision) {
            Some(key_revision) => Expected::At(key_revision),
            None => Expected::Absent,
        };
        let head = self.new_head.clone().unwrap_or_default();
        CommitStep::Write {
            key: HEAD_KEY.to_owned(),
            expected,
            bytes: Bytes::from(head.to_json()),
            lease_id: None,
        }
    }

    fn on_head_written(&mut self, written: Result<KeyRevision, Fault>) -> CommitStep {
        match written {
            Ok(_) => CommitStep::Done(Ok(Committed {
                revision: self.new_head.as_ref().map_or(0, |head| head.revision),
                is_repeat: false,
            })),
            Err(Fault::Conflict) => self.read_head(),
            Err(Fault::Unknown(_)) => {
                self.has_uncertain_write = true;
                self.read_head()
            }
            Err(fault) => self.fail(fault),
        }
    }
}

/// Executes the steps of a commit until it ends.
///
/// # Errors
///
/// Returns [`Kind::Conflict`], [`Kind::UnknownRecord`],
/// [`Kind::UnknownService`], [`Kind::ServiceInUse`], [`Kind::HeadTooLarge`],
/// [`Kind::KeyReused`], [`Kind::StoreReverted`] or [`Kind::StoreDown`] if
/// nothing was changed, and [`Kind::StoreUnknown`] if the change may have been
/// committed.
pub async fn commit<P: Platform>(platform: &P, mut commit: Commit) -> Result<Committed> {
    let mut step = commit.start();
    loop {
        let event = match step {
            CommitStep::Read { key } => {
                if key == HEAD_KEY {
                    sleep(RETRY_DELAY * (commit.attempts - 1)).await;
                }
                CommitEvent::Read(platform.get(&key).await)
            }
            CommitStep::Write {
                key,
                expected,
                bytes,
                lease_id,
            } => {
                let written = platform.put_leased(&key, expected, bytes, lease_id);
                CommitEvent::Written(written.await)
            }
            CommitStep::GrantLease { ttl } => CommitEvent::Granted(platform.grant_lease(ttl).await),
            CommitStep::Done(result) => return result,
        };
        step = commit.on_event(event);
    }
}

fn named_body(record: &Record, body: &Body) -> BodyRef {
    BodyRef {
        id: record.id(),
        key: body.key.clone(),
        service: record.named_service().cloned(),
    }
}
