//! Keys of immutable record bodies.
//!
//! A key contains the hash of the text and the identifier of the operation that
//! wrote it. It is put into force at most once, because a rollback writes the
//! same text under a new key. A body that is no longer in force can therefore be
//! removed regardless of commits in progress: none of them can refer to its key.

use {
    record::{OperationId, Record},
    xxhash_rust::xxh3::xxh3_128,
};

/// Number of path segments before the operation identifier. Older releases wrote
/// keys of these segments alone.
const CONTENT_SEGMENTS: usize = 6;

/// An immutable value that must be stored before a change is committed.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Body {
    /// Key, derived from the hash of the text and the operation identifier.
    pub key: String,
    /// Text of the record in JSON.
    pub text: String,
}

impl Body {
    /// Creates the body that an operation writes for a record.
    pub(crate) fn new(record: &Record, text: String, operation_id: &OperationId) -> Self {
        let id = record.id();
        let content = format!(
            "wharf/body/{}/{}/{}/{:032x}",
            id.kind.as_str(),
            id.name,
            id.version,
            xxh3_128(text.as_bytes())
        );
        Self {
            key: key_for_operation(&content, operation_id),
            text,
        }
    }
}

/// Returns the part of a key that identifies the text, without the operation identifier.
pub(crate) fn content_key(key: &str) -> &str {
    match key.match_indices('/').nth(CONTENT_SEGMENTS - 1) {
        Some((end, _)) => &key[..end],
        None => key,
    }
}

/// Returns the key under which the operation stores the text that `key` identifies.
pub(crate) fn key_for_operation(key: &str, operation_id: &OperationId) -> String {
    format!("{}/{operation_id}", content_key(key))
}

/// Returns whether a key is put into force at most once, that is, whether it contains
/// an operation identifier.
pub(crate) fn is_single_use(key: &str) -> bool {
    content_key(key) != key
}
