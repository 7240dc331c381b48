//! The head: the one value whose change is a commit.
//!
//! The head lists every record in force with the key of its immutable body.
//! It carries a revision that rises with each commit, so that hosts can tell
//! newer from older without trusting clocks or the order of arrival. It also
//! names the last operations, so that a writer whose reply was lost can tell
//! whether it committed, also after others have committed on top.

use {
    crate::{
        bad_field, Change, NamedBody, Operation, Precondition, RecordVersion, Revision, Stamp,
    },
    kind::{Error, Kind, Result},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Largest size of the head, in bytes. The platform's store holds values up to a megabyte.
pub const MAX_HEAD_BYTES: usize = 1_000_000;

/// Part of [`MAX_HEAD_BYTES`] that only retirements and recoveries may use, in bytes.
///
/// Without it a head at its limit could not even be made smaller, since a
/// retirement adds an operation that may be larger than the entry it removes.
/// [`MAX_OPERATIONS`] of the largest operations fit in.
pub const RESERVED_HEAD_BYTES: usize = 64_000;

/// Number of operations that the head names.
pub const MAX_OPERATIONS: usize = 64;

/// Most routes that a refused retirement names.
const MAX_NAMED_USERS: usize = 10;

/// Number of recoveries, rising with each.
pub type Generation = u64;

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

/// What tells one record from all others.
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

/// One record in force.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct HeadEntry {
    /// What tells the record from all others.
    #[serde(flatten)]
    pub id: RecordId,
    /// Key of the immutable body in the platform's store.
    pub body_key: String,
    /// Revision of the head that brought this body into force.
    #[serde(default)]
    pub revision: Revision,
    /// Service that a route uses; absent where an older release has written the entry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
}

/// What tells one head from all others, also after the store was restored.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct HeadId {
    /// Number of recoveries.
    #[serde(default)]
    pub generation: Generation,
    /// Revision.
    pub revision: Revision,
    /// Identifier of the operation that made the revision.
    pub operation_id: String,
}

/// The list of records in force at one revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Head {
    /// Number of recoveries, see [`Change::Recover`].
    #[serde(default)]
    pub generation: Generation,
    /// Revision, rising with each commit.
    pub revision: Revision,
    /// Identifier of the operation that made this revision.
    pub operation_id: String,
    /// Records in force, ordered by kind, name and version.
    pub entries: Vec<HeadEntry>,
    /// The last operations, the oldest first.
    #[serde(default)]
    pub operations: Vec<Operation>,
}

impl Head {
    /// Returns what tells this head from all others.
    pub fn id(&self) -> HeadId {
        HeadId {
            generation: self.generation,
            revision: self.revision,
            operation_id: self.operation_id.clone(),
        }
    }

    /// Returns the entry of a record.
    pub fn entry(&self, id: &RecordId) -> Option<&HeadEntry> {
        self.entries.iter().find(|entry| entry.id == *id)
    }

    /// Returns whether a body is in force.
    pub fn names_body(&self, key: &str) -> bool {
        self.entries.iter().any(|entry| entry.body_key == key)
    }

    /// Notes the service that a route uses.
    pub fn set_service(&mut self, id: &RecordId, service: String) {
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.id == *id) {
            entry.service = Some(service);
        }
    }

    /// Returns the operation with an identifier, if it is among the last.
    pub fn operation(&self, operation_id: &str) -> Option<&Operation> {
        self.operations
            .iter()
            .find(|operation| operation.operation_id == operation_id)
    }

    /// Returns whether the head names every operation since `revision`.
    pub fn names_all_since(&self, revision: Revision) -> bool {
        self.operations
            .first()
            .is_none_or(|oldest| oldest.revision <= revision + 1)
    }

    /// Returns the last operation on a record, if it is among the last.
    pub fn last_operation_on(&self, id: &RecordId) -> Option<&Operation> {
        self.operations
            .iter()
            .rfind(|operation| operation.subject.as_ref() == Some(id))
    }

    /// Checks what an operator expects to find.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Conflict`], which names the change that came first.
    pub fn check(&self, id: &RecordId, precondition: Precondition) -> Result<()> {
        let found = self.entry(id).map_or(0, |entry| entry.revision);
        let holds = match precondition {
            Precondition::None => true,
            Precondition::Absent => found == 0,
            Precondition::Record(revision) => found == revision && found != 0,
            Precondition::Head(revision) => self.revision == revision,
        };
        if holds {
            return Ok(());
        }
        Err(self.conflict(id))
    }

    /// Creates the error that names the last change of a record.
    pub fn conflict(&self, id: &RecordId) -> Error {
        let detail = match self.last_operation_on(id).or(self.operations.last()) {
            Some(other) => format!("{other}; the head is at revision {}", self.revision),
            None => format!("the head is at revision {}", self.revision),
        };
        Error::new(Kind::Conflict, detail)
    }

    /// Returns the head that follows this one by a change.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::UnknownRecord`] if the record to retire is not in
    /// force, [`Kind::UnknownService`] or [`Kind::ServiceInUse`] if a route
    /// would be left without a service, [`Kind::HeadTooLarge`] if the head
    /// would outgrow its limit.
    pub fn with_change(&self, change: &Change, stamp: &Stamp) -> Result<Self> {
        let revision = match change {
            Change::Recover { held } => self.revision.max(held.revision) + 1,
            _ => self.revision + 1,
        };
        let mut next = match change {
            Change::Recover { held } => Self {
                generation: self.generation.max(held.generation) + 1,
                ..held.as_ref().clone()
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
                next.check_unused(id)?;
            }
            Change::Recover { .. } => {}
        }
        next.revision = revision;
        next.operation_id = stamp.operation_id.clone();
        next.operations
            .push(Operation::new(change, stamp, self, revision));
        let surplus = next.operations.len().saturating_sub(MAX_OPERATIONS);
        next.operations.drain(..surplus);
        next.check_size(change)?;
        Ok(next)
    }

    /// Reads a head from its JSON text.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::BadRecord`] for malformed text.
    pub fn from_json(text: &[u8]) -> Result<Self> {
        serde_json::from_slice(text).map_err(|e| bad_field("head", e))
    }

    /// Returns the JSON text of the head.
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

    /// Checks that the service which a route names is in force.
    fn check_service(&self, body: &NamedBody) -> Result<()> {
        let Some(service) = &body.service else {
            return Ok(());
        };
        if self.has_service(service) {
            return Ok(());
        }
        Err(Error::new(
            Kind::UnknownService,
            format!(
                "route.service: {} names '{service}', which is not in force; put its record first",
                body.id
            ),
        ))
    }

    /// Checks that the retirement of `id` leaves no route without a service.
    fn check_unused(&self, id: &RecordId) -> Result<()> {
        if id.kind != RecordKind::Service || self.has_service(&id.name) {
            return Ok(());
        }
        let is_user = |entry: &&HeadEntry| entry.service.as_ref() == Some(&id.name);
        let users: Vec<_> = self.entries.iter().filter(is_user).collect();
        if users.is_empty() {
            return Ok(());
        }
        let named = users.iter().take(MAX_NAMED_USERS);
        let mut names: Vec<_> = named.map(|entry| entry.id.to_string()).collect();
        if users.len() > MAX_NAMED_USERS {
            names.push(format!("{} more", users.len() - MAX_NAMED_USERS));
        }
        Err(Error::new(
            Kind::ServiceInUse,
            format!(
                "{id} is the last version of a service that is used by {}; \
                 retire these first, or put another version of the service",
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
                    "the head would take {size_bytes} bytes, allowed are {max_bytes}; \
                     retire old versions"
                ),
            ));
        }
        Ok(())
    }
}
