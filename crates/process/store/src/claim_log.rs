//! The claim log: many claims in one value of the platform's store.
//!
//! Scopes are spread over a few ranges, so that the claims of a moment meet in
//! few values. The open generation of a range is one key that only
//! compare-and-swap changes; it is the truth about every claim of the range.
//! A full generation is copied to a key of its own, which never changes, and
//! the next open one names it. Sealed generations end with their lease.

use {
    crate::{Claim, ScopeHash},
    bytes::Bytes,
    kind::{Error, Kind, Result},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Number of ranges, a power of two that every release agrees on.
pub const CLAIM_RANGES: u8 = 4;
/// Size of the entries from which on a generation takes no more, in bytes.
const SEAL_BYTES: usize = 128 * 1024;
/// Number of sealed generations from which on a range takes no further claims;
/// their names and a batch still fit into a value of the store.
const MAX_SEALED: usize = 2_048;
/// Least size of the name of a sealed generation beside its key, in bytes.
const SEALED_OVERHEAD_BYTES: usize = 30;
/// Layout of a generation that this release reads.
const FORMAT: u32 = 1;

/// Number of a range of scope hashes.
pub type ClaimRange = u8;

/// Returns the range that a scope belongs to.
pub fn claim_range(scope_hash: ScopeHash) -> ClaimRange {
    (scope_hash >> 120) as u8 % CLAIM_RANGES
}

/// Returns the key of the open generation of a range.
pub(crate) fn open_key(range: ClaimRange) -> String {
    format!("wharf/claims/{range}/open")
}

/// A claim in the log.
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

/// A sealed generation as the open one names it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub(crate) struct Sealed {
    pub(crate) key: String,
    retention_s: u64,
}

/// One generation of a range.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub(crate) struct Generation {
    format: u32,
    number: u64,
    /// Longest retention of any entry of this generation.
    retention_s: u64,
    /// Sealed generations that are still kept, oldest first.
    pub(crate) sealed: Vec<Sealed>,
    /// Claims in the order in which they came; each scope stands once.
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

    /// Creates the generation after this one, which is sealed under `key`.
    pub(crate) fn next(&self, key: String) -> Self {
        let mut sealed = self.sealed.clone();
        sealed.push(Sealed {
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
            return Err(malformed(format!("format {format} is not known here")));
        }
        Ok(generation)
    }

    pub(crate) fn to_bytes(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).unwrap_or_default())
    }

    /// Returns whether this generation, of `bytes` bytes, takes no more entries.
    pub(crate) fn is_full(&self, bytes: usize) -> bool {
        let names = self.sealed.iter();
        let names = names.map(|sealed| sealed.key.len() + SEALED_OVERHEAD_BYTES);
        bytes.saturating_sub(names.sum()) >= SEAL_BYTES
    }

    /// Returns whether the range has as many sealed generations as it may have.
    pub(crate) fn has_most_sealed(&self) -> bool {
        self.sealed.len() >= MAX_SEALED
    }

    /// Returns the key under which this generation is sealed by `sealer`.
    pub(crate) fn sealed_key(&self, range: ClaimRange, sealer: &str) -> String {
        format!("wharf/claims/{range}/{}-{sealer}", self.number)
    }

    /// Returns how long the entries must be kept.
    pub(crate) fn retention(&self) -> Duration {
        Duration::from_secs(self.retention_s)
    }

    /// Returns how long the names of the sealed generations must be kept, too.
    pub(crate) fn open_retention(&self) -> Duration {
        let sealed = self.sealed.iter().map(|sealed| sealed.retention_s);
        Duration::from_secs(sealed.fold(self.retention_s, u64::max))
    }

    pub(crate) fn find(&self, scope_hash: ScopeHash) -> Option<&Claim> {
        let scope = format!("{scope_hash:032x}");
        let entry = self.entries.iter().find(|entry| entry.scope == scope);
        entry.map(|entry| &entry.claim)
    }

    /// Puts a claim in place of the one that its scope has.
    pub(crate) fn set(&mut self, scope_hash: ScopeHash, claim: Claim, retention: Duration) {
        let entry = LogEntry::new(scope_hash, claim);
        self.retention_s = self.retention_s.max(retention.as_secs());
        match self.entries.iter_mut().find(|e| e.scope == entry.scope) {
            Some(found) => *found = entry,
            None => self.entries.push(entry),
        }
    }

    /// Returns the scopes of the entries, sorted.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Internal`] for a hash that cannot be read.
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
        format!("malformed generation of claims: {detail}"),
    )
    .with_ran(kind::Ran::No)
}
