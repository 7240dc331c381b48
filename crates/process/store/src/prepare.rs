//! Writes that a commit makes before it writes the head.
//!
//! Before the head is written, the store must hold the bodies that the new head
//! names and the history of the operation that the new head no longer lists.
//! None of these writes has an effect until the head refers to it, so each step
//! may be repeated, by this commit or a later one.

use {
    crate::{
        body::is_single_use, history_key, operation_key, Body, CommitEvent, CommitStep, Expected,
        Fault, LeaseId, Value,
    },
    bytes::Bytes,
    record::{Head, MAX_OPERATIONS},
    std::{collections::VecDeque, time::Duration},
};

/// Retention of operations and bodies that the head no longer names, in seconds (one week).
const HISTORY_RETENTION_S: u64 = 7 * 24 * 3_600;

/// How long the store keeps an operation after the head has dropped it, and a
/// body after the head has dropped the operation that replaced the body.
pub const HISTORY_RETENTION: Duration = Duration::from_secs(HISTORY_RETENTION_S);

/// One task to complete before the head is written.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum PendingTask {
    /// Grant the lease for the entries that the head drops.
    GrantLease,
    /// Write a body that the new head names.
    WriteBody(Body),
    /// Write an operation that the head drops, attached to the lease.
    ArchiveOperation(Body),
    /// Read a replaced body.
    ReadReplaced(String),
    /// Write a replaced body again, attached to the lease, so that it expires.
    ExpireReplaced(String, Value),
}

/// The remaining tasks before the head is written.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Preparation {
    pending: VecDeque<PendingTask>,
    lease_id: Option<LeaseId>,
}

impl Preparation {
    /// Replaces the tasks with those for a commit of `bodies` on top of `head`.
    pub(crate) fn plan(&mut self, head: &Head, bodies: &[Body]) {
        self.pending = self.archive_oldest_operation(head);
        let bodies = bodies.iter().cloned();
        self.pending.extend(bodies.map(PendingTask::WriteBody));
    }

    /// Returns the tasks to complete before the head drops its oldest operation.
    ///
    /// The operation must be stored in the history and under its identifier. No
    /// head that a commit may still build on names the body that the operation
    /// replaced, so from here on that body is kept for as long as the operation.
    fn archive_oldest_operation(&self, head: &Head) -> VecDeque<PendingTask> {
        let mut tasks = VecDeque::new();
        let Some(oldest) = head.operations.first() else {
            return tasks;
        };
        if head.operations.len() < MAX_OPERATIONS {
            return tasks;
        }
        if self.lease_id.is_none() {
            tasks.push_back(PendingTask::GrantLease);
        }
        let text = serde_json::to_string(oldest).unwrap_or_default();
        let by_id = operation_key(&oldest.operation_id);
        for key in [history_key(oldest.revision), by_id] {
            let text = text.clone();
            tasks.push_back(PendingTask::ArchiveOperation(Body { key, text }));
        }
        let replaced = oldest.replaced.as_ref();
        // A rollback by an older release may have put the same key into the head again.
        let is_out_of_force = |key: &&String| is_single_use(key) && !head.contains_body(key);
        tasks.extend(
            replaced
                .filter(is_out_of_force)
                .cloned()
                .map(PendingTask::ReadReplaced),
        );
        tasks
    }

    /// Returns the next step, or `None` if no task is left.
    pub(crate) fn step(&self) -> Option<CommitStep> {
        Some(match self.pending.front()? {
            PendingTask::GrantLease => CommitStep::GrantLease {
                ttl: HISTORY_RETENTION,
            },
            PendingTask::WriteBody(body) => write_if_absent(body, None),
            PendingTask::ArchiveOperation(body) => write_if_absent(body, self.lease_id),
            PendingTask::ReadReplaced(key) => CommitStep::Read { key: key.clone() },
            PendingTask::ExpireReplaced(key, value) => CommitStep::Write {
                key: key.clone(),
                expected: Expected::At(value.key_revision),
                bytes: value.bytes.clone(),
                lease_id: self.lease_id,
            },
        })
    }

    /// Processes the result of the step.
    ///
    /// # Errors
    ///
    /// Returns the fault if the step has not been completed.
    pub(crate) fn on_event(&mut self, event: CommitEvent) -> Result<(), Fault> {
        match event {
            CommitEvent::Granted(granted) => {
                self.lease_id = Some(granted?);
                self.pending.pop_front();
            }
            // Bodies and operations are immutable, so the existing value equals this
            // one. For a replaced body, another commit has just attached its lease.
            CommitEvent::Written(Ok(_) | Err(Fault::Conflict)) => {
                self.pending.pop_front();
            }
            CommitEvent::Written(Err(fault)) => return Err(fault),
            CommitEvent::Read(found) => self.on_replaced_body(found?),
        }
        Ok(())
    }

    fn on_replaced_body(&mut self, found: Option<Value>) {
        if let (Some(PendingTask::ReadReplaced(key)), Some(value)) =
            (self.pending.pop_front(), found)
        {
            self.pending
                .push_front(PendingTask::ExpireReplaced(key, value));
        }
    }
}

fn write_if_absent(body: &Body, lease_id: Option<LeaseId>) -> CommitStep {
    CommitStep::Write {
        key: body.key.clone(),
        expected: Expected::Absent,
        bytes: Bytes::from(body.text.clone()),
        lease_id,
    }
}
