//! Steps that a batch requests, and their results.

use {
    crate::{claim_batch::BatchAnswer, Expected, Fault, KeyRevision, Value},
    bytes::Bytes,
    std::time::Duration,
};

/// The next action that a [`Batch`](crate::Batch) requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BatchStep {
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
        /// Time for which the value must be kept.
        retention: Duration,
    },
    /// The batch has ended, with one answer for each of its operations.
    Done(Vec<BatchAnswer>),
}

/// The result of a [`BatchStep`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BatchEvent {
    /// The key was read.
    Read(Result<Option<Value>, Fault>),
    /// The key was written.
    Written(Result<KeyRevision, Fault>),
}
