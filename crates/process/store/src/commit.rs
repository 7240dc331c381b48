//! Commit of a change: immutable bodies first, then the head by compare-and-swap.
//!
//! The head is the only commit point, so whatever else was written by a commit
//! that fails stays without effect. The decisions are [`Commit`], plain state
//! that is fed with the outcome of each call; [`commit`] carries its steps out.
//!
//! A lost reply is settled by reading back: the head names the last operations,
//! and each operation that leaves it was written under a key of its identifier
//! before. An operation that is in neither place has not been committed. While it still stands at the revision on which the lost write was based, the
//! same write is repeated, since at most one of the two can take effect. Once
//! it has moved on without the operation, the lost write can never take effect.

use {
    crate::{
        body::{is_single_use, key_of},
        history_key, operation_key, read_operation, Body, Expected, Fault, KeyRevision, LeaseId,
        Platform, Value, HEAD_KEY,
    },
    bytes::Bytes,
    kind::{Error, Kind, Ran, Result},
    record::{
        judge, Bundle, Change, Head, HeadEntry, HeadId, NamedBody, Operation, Precondition,
        RawRecord, Record, RecordKind, Revision, Source, Stamp, Verdict, MAX_OPERATIONS,
        MAX_RECORD_BYTES,
    },
    std::{collections::VecDeque, mem, time::Duration},
    tokio::time::sleep,
};

/// Most looks at the head within one commit.
const MAX_LOOKS: u32 = 8;
/// Pause before the head is read again, growing with each look.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// Time for which the store keeps what has left the head, in seconds: a week.
const KEPT_S: u64 = 7 * 24 * 3_600;

/// Time for which the store keeps an operation after it has left the head, and
/// a body after the operation that replaced it has.
pub const KEPT_FOR: Duration = Duration::from_secs(KEPT_S);

/// A committed change.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Committed {
    /// Revision that brings the change into force.
    pub revision: Revision,
    /// Whether an earlier attempt of the same operation had committed it.
    pub is_repeat: bool,
}

/// What a commit wants done next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitStep {
    /// Read a key.
    Read {
        /// Key.
        key: String,
    },
    /// Write a key.
    Write {
        /// Key.
        key: String,
        /// What the write expects to find.
        expected: Expected,
        /// Bytes of the value.
        bytes: Bytes,
        /// Lease that the platform removes the key with.
        lease_id: Option<LeaseId>,
    },
    /// Grant a lease.
    GrantLease {
        /// Time after which the lease ends.
        ttl: Duration,
    },
    /// Nothing; the commit has ended.
    Done(Result<Committed>),
}

/// What happened to a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitEvent {
    /// A key was read.
    Read(Result<Option<Value>, Fault>),
    /// A key was written.
    Written(Result<KeyRevision, Fault>),
    /// A lease was granted.
    Granted(Result<LeaseId, Fault>),
}

/// What is to be done before the head is written.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Pending {
    /// Grant the lease of what leaves the head.
    Lease,
    /// Write a body that comes into force.
    Body(Body),
    /// Write an operation that leaves the head, with the lease.
    Operation(Body),
    /// Read a body that has gone out of force.
    Replaced(String),
    /// Write it again, with the lease.
    Expire(String, Value),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Base {
    head: Head,
    key_revision: Option<KeyRevision>,
}

/// What the read under way is for.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
enum Awaited {
    /// The head.
    #[default]
    Head,
    /// This operation, which may have left the head that was seen.
    Operation(Base),
    /// A route of the head that was seen.
    Route(Base),
    /// A body that has gone out of force.
    Replaced(String),
}

/// One commit, from its first look at the head to its end.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Commit {
    change: Change,
    stamp: Stamp,
    precondition: Precondition,
    bodies: Vec<Body>,
    held: HeadId,
    base: Option<Base>,
    awaited: Awaited,
    pending: VecDeque<Pending>,
    lease_id: Option<LeaseId>,
    next: Option<Head>,
    looks: u32,
    is_unsettled: bool,
    is_repeat: bool,
}

impl Commit {
    /// Creates the commit of a change.
    pub fn new(change: Change, stamp: Stamp) -> Self {
        Self {
            change,
            stamp,
            precondition: Precondition::None,
            bodies: Vec::new(),
            held: HeadId::default(),
            base: None,
            awaited: Awaited::Head,
            pending: VecDeque::new(),
            lease_id: None,
            next: None,
            looks: 0,
            is_unsettled: false,
            is_repeat: false,
        }
    }

    /// Creates the commit of a record.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::BadRecord`] or [`Kind::RecordTooLarge`].
    pub fn put(raw: &RawRecord, stamp: Stamp) -> Result<Self> {
        let record = Record::try_from(raw.clone())?;
        let text = raw.to_json();
        if text.len() > MAX_RECORD_BYTES {
            return Err(Error::new(
                Kind::RecordTooLarge,
                format!("{} bytes, allowed are {MAX_RECORD_BYTES}", text.len()),
            ));
        }
        let body = Body::new(&record, text, &stamp.operation_id);
        let named = named_body(&record, &body);
        Ok(Self::new(Change::Put(named), stamp).with_bodies(vec![body]))
    }

    /// Creates the commit that brings the text of an earlier body into force again.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::BadRecord`] if the body does not pass the checks of
    /// this release.
    pub fn roll_back(text: String, stamp: Stamp) -> Result<Self> {
        let record = Record::from_json(&text)?;
        let body = Body::new(&record, text, &stamp.operation_id);
        let named = named_body(&record, &body);
        Ok(Self::new(Change::RollBack(named), stamp).with_bodies(vec![body]))
    }

    /// Creates the commit that gives the store back what a host holds.
    pub fn recover(held: &Bundle, stamp: Stamp) -> Self {
        // The restored store may be about to remove bodies under their old keys.
        let bodies = held.bodies.iter().map(|(key, text)| Body {
            key: key_of(key, &stamp.operation_id),
            text: text.to_string(),
        });
        let bodies = bodies.collect();
        let mut head = held.head.clone();
        for entry in &mut head.entries {
            entry.body_key = key_of(&entry.body_key, &stamp.operation_id);
        }
        let change = Change::Recover { held: head.into() };
        Self::new(change, stamp).with_bodies(bodies)
    }

    /// Adds bodies that the change needs.
    pub fn with_bodies(mut self, bodies: Vec<Body>) -> Self {
        self.bodies = bodies;
        self
    }

    /// Sets what the operator expects to find.
    pub fn with_precondition(mut self, precondition: Precondition) -> Self {
        self.precondition = precondition;
        self
    }

    /// Sets the head that the committing host holds; a store that shows an
    /// older one was restored, and nothing is committed on top of it.
    pub fn with_held(mut self, held: HeadId) -> Self {
        self.held = held;
        self
    }

    /// States that an earlier call of the same operation may have committed it,
    /// or may still do so. What fails is then unknown until the head tells more.
    pub fn as_repeat(mut self) -> Self {
        self.is_repeat = true;
        self
    }

    /// Returns who makes the change, under which identifier.
    pub fn stamp(&self) -> &Stamp {
        &self.stamp
    }

    /// Returns the change.
    pub fn change(&self) -> &Change {
        &self.change
    }

    /// Returns the first step.
    pub fn start(&mut self) -> CommitStep {
        self.look()
    }

    /// Takes the outcome of the last step and returns the next one.
    pub fn on_event(&mut self, event: CommitEvent) -> CommitStep {
        match event {
            CommitEvent::Read(Ok(value)) => match mem::take(&mut self.awaited) {
                Awaited::Head => self.on_head(value),
                Awaited::Operation(seen) => self.on_operation(seen, value),
                Awaited::Route(seen) => self.on_route(seen, value),
                Awaited::Replaced(key) => self.on_replaced(key, value),
            },
            CommitEvent::Read(Err(fault)) => self.fail(fault),
            CommitEvent::Written(written) if !self.pending.is_empty() => self.on_body(written),
            CommitEvent::Written(written) => self.on_head_written(written),
            CommitEvent::Granted(granted) => self.on_granted(granted),
        }
    }

    fn look(&mut self) -> CommitStep {
        self.looks += 1;
        if self.looks <= MAX_LOOKS {
            return CommitStep::Read {
                key: HEAD_KEY.to_owned(),
            };
        }
        let detail = "the head changes all the time".to_owned();
        if self.is_unsettled {
            return self.fail(Fault::Unreachable(detail));
        }
        CommitStep::Done(Err(Error::new(Kind::Conflict, detail)))
    }

    /// Ends without knowing more than before.
    fn fail(&self, fault: Fault) -> CommitStep {
        let error = Error::from(fault);
        CommitStep::Done(Err(if self.is_unsettled || self.is_repeat {
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
            return CommitStep::Done(self.repeated(operation));
        }
        let is_same_base = self
            .base
            .as_ref()
            .is_some_and(|b| b.key_revision == key_revision);
        if self.is_unsettled && is_same_base {
            return self.write_head();
        }
        let seen = Base { head, key_revision };
        if seen.head.names_all_since(0) {
            return self.on_absent(seen);
        }
        let key = operation_key(&self.stamp.operation_id);
        self.awaited = Awaited::Operation(seen);
        CommitStep::Read { key }
    }

    /// Takes what is known of this operation beside the head.
    fn on_operation(&mut self, seen: Base, value: Option<Value>) -> CommitStep {
        let Some(value) = value else {
            return self.on_absent(seen);
        };
        CommitStep::Done(match read_operation(&value) {
            Ok(operation) => self.repeated(&operation),
            Err(error) => Err(error),
        })
    }

    /// Goes on from a head on which this operation is not committed.
    fn on_absent(&mut self, seen: Base) -> CommitStep {
        match self.settle(&seen.head) {
            Ok(()) => self.resolve(seen),
            Err(error) => CommitStep::Done(Err(error)),
        }
    }

    /// Reads the routes whose service must be known and is not; then plans.
    fn resolve(&mut self, seen: Base) -> CommitStep {
        if let Some(route) = self.unresolved(&seen.head) {
            let key = route.body_key.clone();
            self.awaited = Awaited::Route(seen);
            return CommitStep::Read { key };
        }
        match self.plan(seen.head, seen.key_revision) {
            Ok(()) => self.write(),
            // An earlier call under way may still find that nothing is in its way.
            Err(error) if self.is_repeat && error.kind() != Kind::Conflict => {
                CommitStep::Done(Err(error.with_ran(Ran::Unknown)))
            }
            Err(error) => CommitStep::Done(Err(error)),
        }
    }

    /// Returns a route whose service decides about a retirement and is not known.
    fn unresolved<'a>(&self, head: &'a Head) -> Option<&'a HeadEntry> {
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

    /// Notes the service of a route whose entry an older release has written.
    fn on_route(&mut self, mut seen: Base, value: Option<Value>) -> CommitStep {
        let Some(id) = self.unresolved(&seen.head).map(|entry| entry.id.clone()) else {
            return self.resolve(seen);
        };
        let text = value.map(|value| String::from_utf8_lossy(&value.bytes).into_owned());
        match Record::from_json(&text.unwrap_or_default()) {
            Ok(Record::Route(route)) => seen.head.set_service(&id, route.service),
            Ok(Record::Service(_)) | Err(_) => {
                let detail = format!("the body of {id} cannot be read");
                return CommitStep::Done(Err(Error::new(Kind::BadRecord, detail)));
            }
        }
        self.resolve(seen)
    }

    /// Answers an operation that the head names already.
    fn repeated(&self, operation: &Operation) -> Result<Committed> {
        if !operation.is_of(&self.change) {
            return Err(Error::new(
                Kind::KeyReused,
                format!("operation {} made another change", operation.operation_id),
            ));
        }
        Ok(Committed {
            revision: operation.revision,
            is_repeat: !self.is_unsettled,
        })
    }

    /// Checks that a lost write is known not to have taken effect.
    fn settle(&mut self, head: &Head) -> Result<()> {
        let Some(base) = self.base.as_ref().filter(|_| self.is_unsettled) else {
            return Ok(());
        };
        if judge(&base.head.id(), head, Source::Store) != Verdict::Adopt {
            return Err(Error::new(
                Kind::StoreUnknown,
                "the store was restored meanwhile; see 'wharfctl recover'",
            ));
        }
        self.is_unsettled = false;
        Ok(())
    }

    /// Decides what to write on top of `head`.
    fn plan(&mut self, head: Head, key_revision: Option<KeyRevision>) -> Result<()> {
        let is_recovery = matches!(self.change, Change::Recover { .. });
        let verdict = judge(&self.held, &head, Source::Store);
        if !is_recovery && matches!(verdict, Verdict::Reverted | Verdict::Forked) {
            // What a repeat asks for may be among what the store has lost.
            let kind = match self.is_repeat {
                true => Kind::StoreUnknown,
                false => Kind::StoreReverted,
            };
            return Err(Error::new(
                kind,
                format!(
                    "the store shows revision {}, {} is in force; see 'wharfctl recover'",
                    head.revision, self.held.revision
                ),
            ));
        }
        if let Some(id) = self.change.subject() {
            // A change of the same record since the first look came first.
            let is_changed = |base: &Base| base.head.entry(id) != head.entry(id);
            if self.base.as_ref().is_some_and(is_changed) {
                return Err(head.conflict(id));
            }
            head.check(id, self.precondition)?;
        }
        self.next = Some(head.with_change(&self.change, &self.stamp)?);
        self.pending = self.leaving(&head);
        let bodies = self.bodies.iter().cloned();
        self.pending.extend(bodies.map(Pending::Body));
        self.base = Some(Base { head, key_revision });
        Ok(())
    }

    /// Returns what is due before the oldest operation leaves the head.
    ///
    /// It must be in the history and known by its identifier. The body that it
    /// replaced is named by no head that a commit may still be based on; from
    /// here on it is kept for as long as the operation.
    fn leaving(&self, head: &Head) -> VecDeque<Pending> {
        let mut due = VecDeque::new();
        let Some(leaving) = head.operations.first() else {
            return due;
        };
        if head.operations.len() < MAX_OPERATIONS {
            return due;
        }
        if self.lease_id.is_none() {
            due.push_back(Pending::Lease);
        }
        let text = serde_json::to_string(leaving).unwrap_or_default();
        let by_id = operation_key(&leaving.operation_id);
        for key in [history_key(leaving.revision), by_id] {
            let text = text.clone();
            due.push_back(Pending::Operation(Body { key, text }));
        }
        let replaced = leaving.replaced.as_ref();
        // A host of an older release may have brought the key into force again.
        let is_over = |key: &&String| is_single_use(key) && !head.names_body(key);
        due.extend(replaced.filter(is_over).cloned().map(Pending::Replaced));
        due
    }

    fn write(&mut self) -> CommitStep {
        match self.pending.front() {
            Some(Pending::Lease) => CommitStep::GrantLease { ttl: KEPT_FOR },
            Some(Pending::Body(body)) => write_absent(body, None),
            Some(Pending::Operation(body)) => write_absent(body, self.lease_id),
            Some(Pending::Replaced(key)) => {
                let key = key.clone();
                self.awaited = Awaited::Replaced(key.clone());
                CommitStep::Read { key }
            }
            Some(Pending::Expire(key, value)) => CommitStep::Write {
                key: key.clone(),
                expected: Expected::At(value.key_revision),
                bytes: value.bytes.clone(),
                lease_id: self.lease_id,
            },
            None => self.write_head(),
        }
    }

    fn on_replaced(&mut self, key: String, value: Option<Value>) -> CommitStep {
        self.pending.pop_front();
        if let Some(value) = value {
            self.pending.push_front(Pending::Expire(key, value));
        }
        self.write()
    }

    fn on_granted(&mut self, granted: Result<LeaseId, Fault>) -> CommitStep {
        match granted {
            Ok(lease_id) => {
                self.lease_id = Some(lease_id);
                self.pending.pop_front();
                self.write()
            }
            Err(fault) => self.retry(fault),
        }
    }

    fn on_body(&mut self, written: Result<KeyRevision, Fault>) -> CommitStep {
        match written {
            // The text under such a key never differs, so what is there is this one.
            Ok(_) | Err(Fault::Conflict) => {
                self.pending.pop_front();
                self.write()
            }
            Err(fault) => self.retry(fault),
        }
    }

    /// Repeats a step before the write of the head, or ends the commit.
    fn retry(&mut self, fault: Fault) -> CommitStep {
        match fault {
            // The same call again does no harm.
            Fault::Unknown(_) if self.looks < MAX_LOOKS => {
                self.looks += 1;
                self.write()
            }
            // The head is as it was, so nothing has changed.
            fault => self.fail(fault),
        }
    }

    fn write_head(&self) -> CommitStep {
        let expected = match self.base.as_ref().and_then(|base| base.key_revision) {
            Some(key_revision) => Expected::At(key_revision),
            None => Expected::Absent,
        };
        let head = self.next.clone().unwrap_or_default();
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
                revision: self.next.as_ref().map_or(0, |head| head.revision),
                is_repeat: false,
            })),
            Err(Fault::Conflict) => self.look(),
            Err(Fault::Unknown(_)) => {
                self.is_unsettled = true;
                self.look()
            }
            Err(fault) => self.fail(fault),
        }
    }
}

/// Carries a commit out.
///
/// # Errors
///
/// Returns [`Kind::Conflict`], [`Kind::UnknownRecord`],
/// [`Kind::UnknownService`], [`Kind::ServiceInUse`], [`Kind::HeadTooLarge`],
/// [`Kind::KeyReused`], [`Kind::StoreReverted`] or [`Kind::StoreDown`] if
/// nothing was changed, [`Kind::StoreUnknown`] if that is not known.
pub async fn commit<P: Platform>(platform: &P, mut commit: Commit) -> Result<Committed> {
    let mut step = commit.start();
    loop {
        let event = match step {
            CommitStep::Read { key } => {
                if key == HEAD_KEY {
                    sleep(LOOK_PAUSE * (commit.looks - 1)).await;
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

fn named_body(record: &Record, body: &Body) -> NamedBody {
    NamedBody {
        id: record.id(),
        key: body.key.clone(),
        service: record.named_service().cloned(),
    }
}

fn write_absent(body: &Body, lease_id: Option<LeaseId>) -> CommitStep {
    CommitStep::Write {
        key: body.key.clone(),
        expected: Expected::Absent,
        bytes: Bytes::from(body.text.clone()),
        lease_id,
    }
}
