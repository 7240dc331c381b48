//! What a commit wants done, and what came of it.

use {
    crate::{Committed, Expected, Fault, KeyRevision, LeaseId, Value},
    bytes::Bytes,
    kind::Result,
    std::time::Duration,
};

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
