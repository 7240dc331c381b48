//! Limits on the contents of records.

/// Maximum size of a record on the wire, in bytes. The platform's store accepts
/// values of up to one megabyte.
pub const MAX_RECORD_BYTES: usize = 1_000_000;

/// Maximum number of shards in one index.
pub const MAX_SHARDS: usize = 4_096;

/// Maximum length of the name of a record, zone or region, in characters.
pub(crate) const MAX_NAME_CHARS: usize = 64;

/// Maximum deadline that a route may set, in milliseconds.
pub(crate) const MAX_DEADLINE_MS: u64 = 600_000;

/// Maximum retention time of a claim, in hours.
pub(crate) const MAX_RETENTION_HOURS: u64 = 720;
