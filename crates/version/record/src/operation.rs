//! Changes to the head and the operations that commit them.

use {
    crate::{Head, RecordId, Revision},
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// Identifier of an operation, chosen by the client that requests it.
pub type OperationId = String;

/// A reference to the record body that a change puts in force.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct BodyRef {
    /// Record that the body belongs to.
    pub id: RecordId,
    /// Key of the body in the store.
    pub key: String,
    /// Service that the record refers to, if it is a route.
    pub service: Option<String>,
}

/// A change to the head.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Change {
    /// Puts a record body in force.
    Put(BodyRef),
    /// Removes a record from the head.
    Retire {
        /// Record to remove.
        id: RecordId,
    },
    /// Puts an earlier record body in force again, at a new revision.
    RollBack(BodyRef),
    /// Puts the head that hosts hold in force again after the store has lost
    /// it. The generation increases, so that hosts that have already adopted
    /// a head from the restored store adopt this one as well.
    Recover {
        /// Head that hosts hold.
        head: Arc<Head>,
    },
}

impl Change {
    /// Returns the record that is changed, or `None` for a recovery, which affects all records.
    pub fn subject(&self) -> Option<&RecordId> {
        match self {
            Self::Put(body) | Self::RollBack(body) => Some(&body.id),
            Self::Retire { id } => Some(id),
            Self::Recover { .. } => None,
        }
    }

    fn action(&self) -> Action {
        match self {
            Self::Put(_) => Action::Put,
            Self::Retire { .. } => Action::Retire,
            Self::RollBack(_) => Action::RollBack,
            Self::Recover { .. } => Action::Recover,
        }
    }

    fn body_key(&self) -> Option<&String> {
        match self {
            Self::Put(body) | Self::RollBack(body) => Some(&body.key),
            Self::Retire { .. } | Self::Recover { .. } => None,
        }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.subject() {
            Some(subject) => write!(f, "{} of {subject}", self.action().as_str()),
            None => write!(f, "{}", self.action().as_str()),
        }
    }
}

/// Kind of a change, as recorded in the history.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// [`Change::Put`].
    Put,
    /// [`Change::Retire`].
    Retire,
    /// [`Change::RollBack`].
    RollBack,
    /// [`Change::Recover`].
    Recover,
}

impl Action {
    /// Returns the name used in logs and on the wire.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Put => "put",
            Self::Retire => "retire",
            Self::RollBack => "rollback",
            Self::Recover => "recover",
        }
    }
}

/// Identifies the operation and the operator that make a change.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct OperationInfo {
    /// Identifier of the operation; a retry reuses it.
    pub operation_id: OperationId,
    /// Name of the operator.
    pub operator: String,
}

impl OperationInfo {
    /// Maximum length of an operation identifier or operator name, in bytes.
    pub const MAX_BYTES: usize = 64;

    /// Returns whether `text` is valid as an operation identifier or operator name.
    pub fn is_valid_identifier(text: &str) -> bool {
        let is_allowed_char =
            |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_' | '@');
        (1..=Self::MAX_BYTES).contains(&text.len()) && text.chars().all(is_allowed_char)
    }
}

/// One committed change.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Operation {
    /// Revision of the head that the change created.
    pub revision: Revision,
    /// Identifier of the operation.
    pub operation_id: OperationId,
    /// Name of the operator.
    pub operator: String,
    /// Kind of the change.
    pub action: Action,
    /// Record that was changed; `None` for a recovery, which affects all records.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub subject: Option<RecordId>,
    /// Key of the body that the change put in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body_key: Option<String>,
    /// Key of the body that the change replaced or removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replaced: Option<String>,
}

impl Operation {
    /// Creates the operation that commits `change` on top of `head` as `revision`.
    pub fn new(change: &Change, stamp: &OperationInfo, head: &Head, revision: Revision) -> Self {
        let entry = change.subject().and_then(|id| head.entry(id));
        Self {
            replaced: entry.map(|entry| entry.body_key.clone()),
            revision,
            operation_id: stamp.operation_id.clone(),
            operator: stamp.operator.clone(),
            action: change.action(),
            subject: change.subject().cloned(),
            body_key: change.body_key().cloned(),
        }
    }

    /// Returns whether this operation committed `change`.
    pub fn commits(&self, change: &Change) -> bool {
        self.action == change.action()
            && self.subject.as_ref() == change.subject()
            && self.body_key.as_ref() == change.body_key()
    }
}

impl fmt::Display for Operation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} made revision {}: {}",
            self.operator,
            self.revision,
            self.action.as_str()
        )?;
        match &self.subject {
            Some(subject) => write!(f, " of {subject}"),
            None => Ok(()),
        }
    }
}

/// Condition that the head must satisfy for a change to be committed.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum Precondition {
    /// No condition, but the change still fails if another operation changes
    /// the same record while it runs.
    #[default]
    None,
    /// No record with this name and version is in force.
    Absent,
    /// The record was last changed at this revision of the head.
    Record(Revision),
    /// The head is at this revision.
    Head(Revision),
}
