//! What an answer covers and what it lacks.

use {
    record::{ShardId, ZoneId},
    serde::{Deserialize, Serialize},
};

/// Why a shard is missing from an answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// No reply came before the deadline.
    Deadline,
    /// No server of the shard could be reached.
    Unreachable,
    /// Every server of the shard refused the call.
    Shed,
    /// The connection was lost while the call was running.
    Lost,
    /// The servers no longer hold the pinned index version.
    VersionGone,
    /// The reply did not belong to the call.
    Mismatch,
    /// Every server of the shard is leaving.
    Draining,
    /// The request is held back because it has crashed upstreams.
    Quarantined,
    /// The answer went out early, as the route allows.
    NotAwaited,
}

impl Reason {
    /// Returns the name used on the wire and in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::Unreachable => "unreachable",
            Self::Shed => "shed",
            Self::Lost => "lost",
            Self::VersionGone => "version-gone",
            Self::Mismatch => "mismatch",
            Self::Draining => "draining",
            Self::Quarantined => "quarantined",
            Self::NotAwaited => "not-awaited",
        }
    }
}

/// A shard that is missing from an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MissingShard {
    /// Number of the shard.
    pub shard: ShardId,
    /// Why the shard is missing.
    pub reason: Reason,
    /// Availability zones of its servers.
    pub zones: Vec<ZoneId>,
}

/// Covered and missing shards; together they are the partition map of the pin.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CoverageReport {
    /// Shards whose rows are in the answer, also if they have none.
    pub covered: Vec<ShardId>,
    /// Shards whose rows are not in the answer.
    pub missing: Vec<MissingShard>,
}

impl CoverageReport {
    /// Returns the covered share, from 0 to 1.
    pub fn share(&self) -> f64 {
        let total = self.covered.len() + self.missing.len();
        self.covered.len() as f64 / total.max(1) as f64
    }

    /// Returns whether no shard is missing.
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty()
    }
}
