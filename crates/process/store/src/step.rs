//! Steps that a commit requests, and their results.

use {
    crate::{Committed, Expected, Fault, KeyRevision, LeaseId, Value},
    bytes::Bytes,
    kind::Result,
    std::time::Duration,
};

/// The next action that a [`Commit`](crate::Commit) requests.
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
        /// Precondition of the write.
        expected: Expected,
        /// The value.
        bytes: Bytes,
        /// Lease with whose end the platform removes the key.
        lease_id: Option<LeaseId>,
    },
    /// Grant a lease.
    GrantLease {
        /// Time after which the lease ends.
        ttl: Duration,
    },
    /// The commit has ended with this result.
    Done(Result<Committed>),
}

/// The result of a [`CommitStep`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitEvent {
    /// A key was read.
    Read(Result<Option<Value>, Fault>),
    /// A key was written.
    Written(Result<KeyRevision, Fault>),
    /// A lease was granted.
    Granted(Result<LeaseId, Fault>),
}
