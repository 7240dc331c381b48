//! Keys of the immutable bodies.
//!
//! A key carries the hash of the text and the operation that wrote it. It comes
//! into force at most once, since a rollback writes the text under a key of its
//! own. A body that has gone out of force can thus be removed later, whatever
//! commits are under way: none of them can name it.

use {
    record::{OperationId, Record},
    xxhash_rust::xxh3::xxh3_128,
};

/// Number of parts of a key without its operation, as older releases write them.
const CONTENT_PARTS: usize = 6;

/// An immutable value that a change needs in the store.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Body {
    /// Key, which carries the hash of the text and the operation.
    pub key: String,
    /// Text.
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
            key: key_of(&content, operation_id),
            text,
        }
    }
}

/// Returns the part of a key that tells the text.
pub(crate) fn content_of(key: &str) -> &str {
    match key.match_indices('/').nth(CONTENT_PARTS - 1) {
        Some((end, _)) => &key[..end],
        None => key,
    }
}

/// Returns the key under which `operation_id` writes the text of `key`.
pub(crate) fn key_of(key: &str, operation_id: &OperationId) -> String {
    format!("{}/{operation_id}", content_of(key))
}

/// Returns whether a key comes into force at most once.
pub(crate) fn is_single_use(key: &str) -> bool {
    content_of(key) != key
}
