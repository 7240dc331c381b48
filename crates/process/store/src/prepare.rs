//! What a commit does before it writes the head.
//!
//! Bodies that come into force must be there, and so must the history of the
//! operation that leaves the head. Nothing of it has an effect before the head
//! names it, so that each step may be repeated, by this commit or by the next.

use {
    crate::{
        body::is_single_use, history_key, operation_key, Body, CommitEvent, CommitStep, Expected,
        Fault, LeaseId, Value,
    },
    bytes::Bytes,
    record::{Head, MAX_OPERATIONS},
    std::{collections::VecDeque, time::Duration},
};

/// Time for which the store keeps what has left the head, in seconds: a week.
const KEPT_S: u64 = 7 * 24 * 3_600;

/// Time for which the store keeps an operation after it has left the head, and
/// a body after the operation that replaced it has.
pub const KEPT_FOR: Duration = Duration::from_secs(KEPT_S);

/// One thing to be done before the head is written.
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

/// What is left to be done before the head is written.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Preparation {
    pending: VecDeque<Pending>,
    lease_id: Option<LeaseId>,
}

impl Preparation {
    /// Begins anew for a commit of `bodies` on top of `head`.
    pub(crate) fn plan(&mut self, head: &Head, bodies: &[Body]) {
        self.pending = self.leaving(head);
        let bodies = bodies.iter().cloned();
        self.pending.extend(bodies.map(Pending::Body));
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

    /// Returns the next step, or `None` once all is done.
    pub(crate) fn step(&self) -> Option<CommitStep> {
        Some(match self.pending.front()? {
            Pending::Lease => CommitStep::GrantLease { ttl: KEPT_FOR },
            Pending::Body(body) => write_absent(body, None),
            Pending::Operation(body) => write_absent(body, self.lease_id),
            Pending::Replaced(key) => CommitStep::Read { key: key.clone() },
            Pending::Expire(key, value) => CommitStep::Write {
                key: key.clone(),
                expected: Expected::At(value.key_revision),
                bytes: value.bytes.clone(),
                lease_id: self.lease_id,
            },
        })
    }

    /// Takes the outcome of the step.
    ///
    /// # Errors
    ///
    /// Returns the fault of a step that must be repeated.
    pub(crate) fn on_event(&mut self, event: CommitEvent) -> Result<(), Fault> {
        match event {
            CommitEvent::Granted(granted) => {
                self.lease_id = Some(granted?);
                self.pending.pop_front();
            }
            // The text under such a key never differs, so what is there is this
            // one; of a body that was read, another commit has just set the lease.
            CommitEvent::Written(Ok(_) | Err(Fault::Conflict)) => {
                self.pending.pop_front();
            }
            CommitEvent::Written(Err(fault)) => return Err(fault),
            CommitEvent::Read(found) => self.on_replaced(found?),
        }
        Ok(())
    }

    fn on_replaced(&mut self, found: Option<Value>) {
        if let (Some(Pending::Replaced(key)), Some(value)) = (self.pending.pop_front(), found) {
            self.pending.push_front(Pending::Expire(key, value));
        }
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
