//! Limits that every record obeys.

/// Largest size of one record on the wire, in bytes. The platform's store
/// holds values up to a megabyte.
pub const MAX_RECORD_BYTES: usize = 1_000_000;

/// Largest number of shards of one index.
pub const MAX_SHARDS: usize = 4_096;

/// Longest name of a record, a zone or a region, in characters.
pub(crate) const MAX_NAME_CHARS: usize = 64;

/// Longest deadline that a route may allow, in milliseconds.
pub(crate) const MAX_DEADLINE_MS: u64 = 600_000;

/// Longest time for which a claim may be kept, in hours.
pub(crate) const MAX_RETENTION_HOURS: u64 = 720;
