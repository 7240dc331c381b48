//! Claim log: stores many claims in one value of the platform's store.
//!
//! Scopes are distributed over a few ranges, so that concurrent claims end up in
//! few values and can be written together. The open generation of a range is one
//! key that is changed by compare-and-swap only; it is authoritative for every
//! claim of the range. A full generation is sealed: it is copied to an immutable
//! key, which the next open generation lists. Sealed generations are removed
//! when their lease ends.

use {
    crate::{Claim, ScopeHash},
    bytes::Bytes,
    kind::{Error, Kind, Result},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Number of ranges. It is a power of two and must be the same in every release.
pub const CLAIM_RANGES: u8 = 4;
/// Size of the entries at which a generation is full, in bytes.
const SEAL_BYTES: usize = 128 * 1024;
/// Number of sealed generations at which a range accepts no further claims.
///
/// References to this many generations and one batch still fit into a value of
/// the store.
const MAX_SEALED: usize = 2_048;
/// Minimum size of a reference to a sealed generation without its key, in bytes.
const SEALED_REF_OVERHEAD_BYTES: usize = 30;
/// Version of the generation format that this release reads and writes.
const FORMAT: u32 = 1;

/// Index of a range of the claim log.
pub type ClaimRange = u8;

/// Returns the range that a scope belongs to.
pub fn claim_range(scope_hash: ScopeHash) -> ClaimRange {
    (scope_hash >> 120) as u8 % CLAIM_RANGES
}

/// Returns the key of the open generation of a range.
pub(crate) fn open_key(range: ClaimRange) -> String {
    format!("wharf/claims/{range}/open")
}

/// A claim with its scope, as stored in a generation.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
struct LogEntry {
    /// Hash of the scope, in hexadecimal.
    scope: String,
    #[serde(flatten)]
    claim: Claim,
}

impl LogEntry {
    fn new(scope_hash: ScopeHash, claim: Claim) -> Self {
        let scope = format!("{scope_hash:032x}");
        Self { scope, claim }
    }

    fn scope_hash(&self) -> Result<ScopeHash> {
        ScopeHash::from_str_radix(&self.scope, 16).map_err(malformed)
    }
}

/// Reference from the open generation to a sealed one.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub(crate) struct SealedRef {
    pub(crate) key: String,
    retention_s: u64,
}

/// One generation of a range.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub(crate) struct Generation {
    format: u32,
    number: u64,
    /// Longest retention of any entry of this generation, in seconds.
    retention_s: u64,
    /// Sealed generations that may still exist, oldest first.
    pub(crate) sealed: Vec<SealedRef>,
    /// Claims in insertion order, at most one for each scope.
    entries: Vec<LogEntry>,
}

impl Generation {
    /// Creates the first generation of a range.
    pub(crate) fn first() -> Self {
        Self {
            format: FORMAT,
            number: 1,
            retention_s: 0,
            sealed: Vec::new(),
            entries: Vec::new(),
        }
    }

    /// Creates the open generation that follows this one, which is sealed under `key`.
    pub(crate) fn successor(&self, key: String) -> Self {
        let mut sealed = self.sealed.clone();
        sealed.push(SealedRef {
            key,
            retention_s: self.retention_s,
        });
        Self {
            number: self.number + 1,
            sealed,
            ..Self::first()
        }
    }

    pub(crate) fn from_bytes(bytes: &[u8]) -> Result<Self> {
        let generation: Self = serde_json::from_slice(bytes).map_err(malformed)?;
        if generation.format != FORMAT {
            let format = generation.format;
            return Err(malformed(format!(
                "format {format} is not supported by this release"
            )));
        }
        Ok(generation)
    }

    pub(crate) fn to_bytes(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).unwrap_or_default())
    }

    /// Returns whether this generation, serialized to `bytes` bytes, is full.
    pub(crate) fn is_full(&self, bytes: usize) -> bool {
        let refs = self.sealed.iter();
        let refs = refs.map(|sealed| sealed.key.len() + SEALED_REF_OVERHEAD_BYTES);
        bytes.saturating_sub(refs.sum()) >= SEAL_BYTES
    }

    /// Returns whether the range has the maximum number of sealed generations.
    pub(crate) fn has_max_sealed(&self) -> bool {
        self.sealed.len() >= MAX_SEALED
    }

    /// Returns the key under which the batch identified by `sealer` seals this generation.
    pub(crate) fn sealed_key(&self, range: ClaimRange, sealer: &str) -> String {
        format!("wharf/claims/{range}/{}-{sealer}", self.number)
    }

    /// Returns how long the entries of this generation must be kept.
    pub(crate) fn retention(&self) -> Duration {
        Duration::from_secs(self.retention_s)
    }

    /// Returns how long this generation must be kept while it is open: as long as its
    /// own entries and every sealed generation that it lists.
    pub(crate) fn open_retention(&self) -> Duration {
        let sealed = self.sealed.iter().map(|sealed| sealed.retention_s);
        Duration::from_secs(sealed.fold(self.retention_s, u64::max))
    }

    pub(crate) fn find(&self, scope_hash: ScopeHash) -> Option<&Claim> {
        let scope = format!("{scope_hash:032x}");
        let entry = self.entries.iter().find(|entry| entry.scope == scope);
        entry.map(|entry| &entry.claim)
    }

    /// Inserts the claim of a scope or replaces the existing one.
    pub(crate) fn set(&mut self, scope_hash: ScopeHash, claim: Claim, retention: Duration) {
        let entry = LogEntry::new(scope_hash, claim);
        self.retention_s = self.retention_s.max(retention.as_secs());
        match self.entries.iter_mut().find(|e| e.scope == entry.scope) {
            Some(found) => *found = entry,
            None => self.entries.push(entry),
        }
    }

    /// Returns the sorted scope hashes of the entries.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Internal`] if a hash is malformed.
    pub(crate) fn scope_hashes(&self) -> Result<Vec<ScopeHash>> {
        let mut hashes = self
            .entries
            .iter()
            .map(LogEntry::scope_hash)
            .collect::<Result<Vec<_>>>()?;
        hashes.sort_unstable();
        Ok(hashes)
    }
}

fn malformed(detail: impl std::fmt::Display) -> Error {
    Error::new(
        Kind::Internal,
        format!("malformed claim log generation: {detail}"),
    )
    .with_ran(kind::Ran::No)
}
