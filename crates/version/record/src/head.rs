//! The head: the one value whose change is a commit.
//!
//! The head lists every record in force with the key of its immutable body.
//! It carries a revision that rises with each commit, so that hosts can tell
//! newer from older without trusting clocks or the order of arrival.

use {
    crate::{bad_field, RecordVersion, Revision},
    kind::Result,
    serde::{Deserialize, Serialize},
};

/// Kind of a record, as part of its key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RecordKind {
    /// A route record.
    Route,
    /// A service record.
    Service,
}

impl RecordKind {
    /// Returns the name used in keys.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Route => "route",
            Self::Service => "service",
        }
    }
}

/// One record in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeadEntry {
    /// Kind of the record.
    pub kind: RecordKind,
    /// Name of the record.
    pub name: String,
    /// Version of the record.
    pub version: RecordVersion,
    /// Key of the immutable body in the platform's store.
    pub body_key: String,
}

/// The list of records in force at one revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Revision, rising with each commit.
    pub revision: Revision,
    /// Identifier of the operation that made this revision.
    pub operation_id: String,
    /// Records in force, ordered by kind, name and version.
    pub entries: Vec<HeadEntry>,
}

impl Head {
    /// Returns the head that follows this one with `entry` added or replaced.
    pub fn with_entry(&self, entry: HeadEntry, operation_id: &str) -> Self {
        let mut entries = self.without(&entry);
        entries.push(entry);
        entries.sort_by(|a, b| (a.kind, &a.name, a.version).cmp(&(b.kind, &b.name, b.version)));
        Self {
            revision: self.revision + 1,
            operation_id: operation_id.to_owned(),
            entries,
        }
    }

    /// Reads a head from its JSON text.
    ///
    /// # Errors
    ///
    /// Returns [`kind::Kind::BadRecord`] for malformed text.
    pub fn from_json(text: &[u8]) -> Result<Self> {
        serde_json::from_slice(text).map_err(|e| bad_field("head", e))
    }

    /// Returns the JSON text of the head.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    fn without(&self, entry: &HeadEntry) -> Vec<HeadEntry> {
        let is_same = |e: &&HeadEntry| {
            e.kind == entry.kind && e.name == entry.name && e.version == entry.version
        };
        self.entries
            .iter()
            .filter(|e| !is_same(e))
            .cloned()
            .collect()
    }
}
