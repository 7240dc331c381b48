//! The head: a single value in the store that lists all records in force.
//!
//! A change is committed by replacing the head. Each entry holds the key of an
//! immutable record body. The revision of the head increases with each commit,
//! so that hosts can order heads without relying on clocks or on the order of
//! arrival. The head also lists the most recent operations, so that a writer
//! whose reply was lost can find out whether its change was committed, even
//! after later commits.

use {
    crate::{
        invalid_field, BodyRef, Change, Operation, OperationInfo, Precondition, RecordVersion,
        Revision,
    },
    kind::{Error, Kind, Result},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Maximum size of the head, in bytes. The platform's store accepts values of
/// up to one megabyte.
pub const MAX_HEAD_BYTES: usize = 1_000_000;

/// Part of [`MAX_HEAD_BYTES`] that is reserved for retirements and recoveries, in bytes.
///
/// A retirement adds an operation that can be larger than the entry it removes,
/// so without the reserve a full head could not be reduced. The reserve holds
/// [`MAX_OPERATIONS`] operations of the maximum size.
pub const RESERVED_HEAD_BYTES: usize = 64_000;

/// Maximum number of recent operations that the head lists.
pub const MAX_OPERATIONS: usize = 64;

/// Maximum number of routes listed in the error for a service that is still in use.
const MAX_LISTED_ROUTES: usize = 10;

/// Number of recoveries so far, which tells heads before and after a recovery apart.
pub type Generation = u64;

/// Kind of a record.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RecordKind {
    /// A route record.
    Route,
    /// A service record.
    Service,
}

impl RecordKind {
    /// Returns the name used in keys and messages.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Route => "route",
            Self::Service => "service",
        }
    }
}

/// Unique identifier of a record.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RecordId {
    /// Kind of the record.
    pub kind: RecordKind,
    /// Name of the record.
    pub name: String,
    /// Version of the record.
    pub version: RecordVersion,
}

impl fmt::Display for RecordId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}/{}", self.kind.as_str(), self.name, self.version)
    }
}

/// Entry of the head for one record in force.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct HeadEntry {
    /// Identifier of the record.
    #[serde(flatten)]
    pub id: RecordId,
    /// Key of the immutable body in the platform's store.
    pub body_key: String,
    /// Revision of the head that put this body in force.
    #[serde(default)]
    pub revision: Revision,
    /// Service that the route uses. Absent for a service, and for a route whose
    /// entry was written by an older release.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
}

/// Identifier of a head. It stays unique after the store was restored to an
/// older state, when revisions are assigned a second time.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct HeadId {
    /// Number of recoveries before this head.
    #[serde(default)]
    pub generation: Generation,
    /// Revision of the head.
    pub revision: Revision,
    /// Identifier of the operation that created the revision.
    pub operation_id: String,
}

/// All records in force at one revision, and the most recent operations.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Head {
    /// Number of recoveries so far; see [`Change::Recover`].
    #[serde(default)]
    pub generation: Generation,
    /// Revision, which increases with each commit.
    pub revision: Revision,
    /// Identifier of the operation that created this revision.
    pub operation_id: String,
    /// Entries of the records in force, sorted by kind, name and version.
    pub entries: Vec<HeadEntry>,
    /// The most recent operations, oldest first; at most [`MAX_OPERATIONS`].
    #[serde(default)]
    pub operations: Vec<Operation>,
}

impl Head {
    /// Returns the identifier of the head.
    pub fn id(&self) -> HeadId {
        HeadId {
            generation: self.generation,
            revision: self.revision,
            operation_id: self.operation_id.clone(),
        }
    }

    /// Returns the entry for a record, if it is in force.
    pub fn entry(&self, id: &RecordId) -> Option<&HeadEntry> {
        self.entries.iter().find(|entry| entry.id == *id)
    }

    /// Returns whether any entry refers to the body with this key.
    pub fn contains_body(&self, key: &str) -> bool {
        self.entries.iter().any(|entry| entry.body_key == key)
    }

    /// Sets the service that the route `id` uses, if the route is in force.
    pub fn set_service(&mut self, id: &RecordId, service: String) {
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.id == *id) {
            entry.service = Some(service);
        }
    }

    /// Returns the operation with this identifier, if it is among the recent operations.
    pub fn operation(&self, operation_id: &str) -> Option<&Operation> {
        self.operations
            .iter()
            .find(|operation| operation.operation_id == operation_id)
    }

    /// Returns whether the head still lists every operation committed after `revision`.
    pub fn lists_all_operations_since(&self, revision: Revision) -> bool {
        self.operations
            .first()
            .is_none_or(|oldest| oldest.revision <= revision + 1)
    }

    /// Returns the latest operation on a record, if it is among the recent operations.
    pub fn last_operation_on(&self, id: &RecordId) -> Option<&Operation> {
        self.operations
            .iter()
            .rfind(|operation| operation.subject.as_ref() == Some(id))
    }

    /// Checks that `precondition` holds for the record `id`.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Conflict`] with the latest change if the precondition does not hold.
    pub fn check(&self, id: &RecordId, precondition: Precondition) -> Result<()> {
        let record_revision = self.entry(id).map_or(0, |entry| entry.revision);
        let is_satisfied = match precondition {
            Precondition::None => true,
            Precondition::Absent => record_revision == 0,
            Precondition::Record(revision) => record_revision == revision && record_revision != 0,
            Precondition::Head(revision) => self.revision == revision,
        };
        if is_satisfied {
            return Ok(());
        }
        Err(self.conflict(id))
    }

    /// Creates the [`Kind::Conflict`] error, which describes the latest change to
    /// the record, or to any record if that change is no longer listed.
    pub fn conflict(&self, id: &RecordId) -> Error {
        let detail = match self.last_operation_on(id).or(self.operations.last()) {
            Some(operation) => format!("{operation}; the head is at revision {}", self.revision),
            None => format!("the head is at revision {}", self.revision),
        };
        Error::new(Kind::Conflict, detail)
    }

    /// Returns the head that results from committing `change` on top of this one.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::UnknownRecord`] if the record to retire is not in
    /// force, [`Kind::UnknownService`] or [`Kind::ServiceInUse`] if a route
    /// would refer to a service that is not in force, [`Kind::HeadTooLarge`]
    /// if the resulting head would exceed its size limit.
    pub fn with_change(&self, change: &Change, stamp: &OperationInfo) -> Result<Self> {
        let revision = match change {
            Change::Recover { head } => self.revision.max(head.revision) + 1,
            _ => self.revision + 1,
        };
        let mut next = match change {
            Change::Recover { head } => Self {
                generation: self.generation.max(head.generation) + 1,
                ..head.as_ref().clone()
            },
            _ => self.clone(),
        };
        match change {
            Change::Put(body) | Change::RollBack(body) => {
                next.check_service(body)?;
                next.set_entry(HeadEntry {
                    id: body.id.clone(),
                    body_key: body.key.clone(),
                    revision,
                    service: body.service.clone(),
                });
            }
            Change::Retire { id } => {
                next.remove_entry(id)?;
                next.check_not_in_use(id)?;
            }
            Change::Recover { .. } => {}
        }
        next.revision = revision;
        next.operation_id = stamp.operation_id.clone();
        next.operations
            .push(Operation::new(change, stamp, self, revision));
        let excess = next.operations.len().saturating_sub(MAX_OPERATIONS);
        next.operations.drain(..excess);
        next.check_size(change)?;
        Ok(next)
    }

    /// Parses a head from JSON.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::BadRecord`] for malformed text.
    pub fn from_json(text: &[u8]) -> Result<Self> {
        serde_json::from_slice(text).map_err(|e| invalid_field("head", e))
    }

    /// Serializes the head to JSON.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    fn set_entry(&mut self, entry: HeadEntry) {
        self.entries.retain(|other| other.id != entry.id);
        self.entries.push(entry);
        self.entries.sort_by(|a, b| a.id.cmp(&b.id));
    }

    fn remove_entry(&mut self, id: &RecordId) -> Result<()> {
        if self.entry(id).is_none() {
            return Err(Error::new(
                Kind::UnknownRecord,
                format!("{id} is not in force"),
            ));
        }
        self.entries.retain(|other| other.id != *id);
        Ok(())
    }

    /// Checks that the service that a route refers to is in force.
    fn check_service(&self, body: &BodyRef) -> Result<()> {
        let Some(service) = &body.service else {
            return Ok(());
        };
        if self.has_service(service) {
            return Ok(());
        }
        Err(Error::new(
            Kind::UnknownService,
            format!(
                "route.service: {} names '{service}', which is not in force; \
                 put the service record first",
                body.id
            ),
        ))
    }

    /// Checks that no route uses the service of the removed entry `id`, if no
    /// other version of that service is in force.
    fn check_not_in_use(&self, id: &RecordId) -> Result<()> {
        if id.kind != RecordKind::Service || self.has_service(&id.name) {
            return Ok(());
        }
        let uses_service = |entry: &&HeadEntry| entry.service.as_ref() == Some(&id.name);
        let routes: Vec<_> = self.entries.iter().filter(uses_service).collect();
        if routes.is_empty() {
            return Ok(());
        }
        let listed = routes.iter().take(MAX_LISTED_ROUTES);
        let mut names: Vec<_> = listed.map(|entry| entry.id.to_string()).collect();
        if routes.len() > MAX_LISTED_ROUTES {
            names.push(format!("{} more", routes.len() - MAX_LISTED_ROUTES));
        }
        Err(Error::new(
            Kind::ServiceInUse,
            format!(
                "{id} is the last version of a service that is used by {}; \
                 retire these routes first, or put another version of the service",
                names.join(", ")
            ),
        ))
    }

    fn has_service(&self, name: &str) -> bool {
        let mut ids = self.entries.iter().map(|entry| &entry.id);
        ids.any(|id| id.kind == RecordKind::Service && id.name == name)
    }

    fn check_size(&self, change: &Change) -> Result<()> {
        let max_bytes = match change {
            Change::Put(_) | Change::RollBack(_) => MAX_HEAD_BYTES - RESERVED_HEAD_BYTES,
            Change::Retire { .. } | Change::Recover { .. } => MAX_HEAD_BYTES,
        };
        let size_bytes = self.to_json().len();
        if size_bytes > max_bytes {
            return Err(Error::new(
                Kind::HeadTooLarge,
                format!(
                    "the head would be {size_bytes} bytes long, the limit is {max_bytes}; \
                     retire old versions"
                ),
            ));
        }
        Ok(())
    }
}
