//! What a batch wants done, and what came of it.

use {
    crate::{claim_batch::BatchAnswer, Expected, Fault, KeyRevision, Value},
    bytes::Bytes,
    std::time::Duration,
};

/// What a batch wants done next.
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
        /// What the write expects to find.
        expected: Expected,
        /// Bytes of the value.
        bytes: Bytes,
        /// Time for which the value must be kept.
        retention: Duration,
    },
    /// Nothing; the batch has ended, with one answer for each of its parts.
    Done(Vec<BatchAnswer>),
}

/// What happened to a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BatchEvent {
    /// The key was read.
    Read(Result<Option<Value>, Fault>),
    /// The key was written.
    Written(Result<KeyRevision, Fault>),
}
