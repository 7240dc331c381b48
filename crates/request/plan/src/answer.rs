//! The result of a query.

use {
    crate::{
        task::{ShardTask, State},
        CoverageReport, MissingShard, Pin, Reason,
    },
    kind::Ran,
    record::{IndexVersion, Shard, ShardId},
};

/// Rows returned by one shard.
#[derive(Clone, Debug)]
pub struct ShardRows<R> {
    /// Number of the shard.
    pub shard: ShardId,
    /// Rows found.
    pub rows: R,
}

/// The result of a query.
#[derive(Clone, Debug)]
pub struct Answer<R> {
    /// Index version that all rows come from.
    pub version: IndexVersion,
    /// Covered and missing shards.
    pub coverage: CoverageReport,
    /// Rows per shard, by ascending shard number.
    pub rows: Vec<ShardRows<R>>,
    /// Whether any server executed the request.
    pub ran: Ran,
}

impl<R> Answer<R> {
    /// Builds the answer from one task per shard of the partition map of `pin`.
    pub(crate) fn build(pin: &Pin, tasks: Vec<ShardTask<R>>, ran: Ran) -> Self {
        let mut coverage = CoverageReport::default();
        let mut rows = Vec::with_capacity(tasks.len());
        for (shard, task) in pin.index().shards.iter().zip(tasks) {
            match task.state {
                State::Covered(found) => {
                    coverage.covered.push(shard.id);
                    rows.push(ShardRows {
                        shard: shard.id,
                        rows: found,
                    });
                }
                State::Waiting => coverage
                    .missing
                    .push(missing_shard(shard, Reason::NotAwaited)),
                State::Missing(reason) => coverage.missing.push(missing_shard(shard, reason)),
            }
        }
        Self {
            version: pin.version(),
            coverage,
            rows,
            ran,
        }
    }
}

fn missing_shard(shard: &Shard, reason: Reason) -> MissingShard {
    let mut zones: Vec<_> = shard.servers.iter().map(|s| s.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    MissingShard {
        shard: shard.id,
        reason,
        zones,
    }
}
