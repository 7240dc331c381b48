//! Changes of the head and the operations that made them.

use {
    crate::{Head, RecordId, Revision},
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// Identifier of an operation, chosen by whoever asks for it.
pub type OperationId = String;

/// A body that comes into force, as the head names it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct NamedBody {
    /// The record.
    pub id: RecordId,
    /// Key of the body.
    pub key: String,
    /// Service that the record names, if it is a route.
    pub service: Option<String>,
}

/// A change of the head.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Change {
    /// Brings a body into force.
    Put(NamedBody),
    /// Takes a record out of force.
    Retire {
        /// The record.
        id: RecordId,
    },
    /// Brings an earlier body into force again, at a new revision.
    RollBack(NamedBody),
    /// Brings a head that hosts hold into force again after the store has
    /// lost it. The generation rises, so that hosts which have adopted
    /// anything from the restored store take it as well.
    Recover {
        /// The head that hosts hold.
        held: Arc<Head>,
    },
}

impl Change {
    /// Returns the record that is changed; a recovery concerns them all.
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

/// Name of a change in the history.
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

/// Who makes a change, under which identifier.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Stamp {
    /// Identifier of the operation; a repeat carries the same.
    pub operation_id: OperationId,
    /// Name of the operator.
    pub operator: String,
}

impl Stamp {
    /// Longest identifier or name, in bytes.
    pub const MAX_BYTES: usize = 64;

    /// Returns whether a text may be an identifier of an operation or the name of an operator.
    pub fn is_allowed(text: &str) -> bool {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_' | '@');
        (1..=Self::MAX_BYTES).contains(&text.len()) && text.chars().all(is_allowed)
    }
}

/// One committed change.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Operation {
    /// Revision that the change made.
    pub revision: Revision,
    /// Identifier of the operation.
    pub operation_id: OperationId,
    /// Name of the operator.
    pub operator: String,
    /// What was done.
    pub action: Action,
    /// The record; a recovery concerns them all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub subject: Option<RecordId>,
    /// Key of the body that came into force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body_key: Option<String>,
    /// Key of the body that went out of force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replaced: Option<String>,
}

impl Operation {
    /// Creates the operation that commits `change` on top of `head` as `revision`.
    pub fn new(change: &Change, stamp: &Stamp, head: &Head, revision: Revision) -> Self {
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
    pub fn is_of(&self, change: &Change) -> bool {
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

/// What an operator expects to find.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum Precondition {
    /// Anything, except for a change of the same record while the operation runs.
    #[default]
    None,
    /// No record of this name and version.
    Absent,
    /// The record as that revision of the head made it.
    Record(Revision),
    /// The whole head at that revision.
    Head(Revision),
}
