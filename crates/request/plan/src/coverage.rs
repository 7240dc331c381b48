//! The shards that an answer covers, and those that are missing from it.

use {
    record::{ShardId, ZoneId},
    serde::{Deserialize, Serialize},
};

/// Why a shard is missing from an answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// No reply arrived before the deadline.
    Deadline,
    /// No server of the shard could be reached.
    Unreachable,
    /// Every server of the shard refused the call to shed load.
    Shed,
    /// The connection was lost during the call.
    Lost,
    /// The servers no longer hold the pinned index version.
    VersionGone,
    /// The reply does not belong to the call or cannot be read.
    Mismatch,
    /// Every server of the shard is draining.
    Draining,
    /// The request is quarantined because it has crashed upstreams.
    Quarantined,
    /// The answer was sent early, as the route allows.
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
    /// Availability zones of the servers of the shard.
    pub zones: Vec<ZoneId>,
}

/// Covered and missing shards, together all shards of the pinned partition map.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CoverageReport {
    /// Shards whose rows are in the answer, including shards without any rows.
    pub covered: Vec<ShardId>,
    /// Shards whose rows are not in the answer, with the reasons.
    pub missing: Vec<MissingShard>,
}

impl CoverageReport {
    /// Returns the share of covered shards, from 0 to 1.
    pub fn share(&self) -> f64 {
        let total = self.covered.len() + self.missing.len();
        self.covered.len() as f64 / total.max(1) as f64
    }

    /// Returns whether no shard is missing.
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty()
    }
}
