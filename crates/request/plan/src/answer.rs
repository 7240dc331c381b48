//! The end of a query.

use {
    crate::{
        work::{ShardWork, State},
        CoverageReport, MissingShard, Pin, Reason,
    },
    kind::Ran,
    record::{IndexVersion, Shard, ShardId},
};

/// Rows of one shard.
#[derive(Clone, Debug)]
pub struct ShardRows<R> {
    /// Number of the shard.
    pub shard: ShardId,
    /// Rows found.
    pub rows: R,
}

/// The end of a query.
#[derive(Clone, Debug)]
pub struct Answer<R> {
    /// Index version that every row comes from.
    pub version: IndexVersion,
    /// What the answer covers.
    pub coverage: CoverageReport,
    /// Rows, by rising shard number.
    pub rows: Vec<ShardRows<R>>,
    /// Whether the request was executed anywhere.
    pub ran: Ran,
}

impl<R> Answer<R> {
    /// Builds the answer over the partition map of `pin`, one work item a shard.
    pub(crate) fn build(pin: &Pin, works: Vec<ShardWork<R>>, ran: Ran) -> Self {
        let mut coverage = CoverageReport::default();
        let mut rows = Vec::with_capacity(works.len());
        for (shard, work) in pin.index().shards.iter().zip(works) {
            match work.state {
                State::Covered(found) => {
                    coverage.covered.push(shard.id);
                    rows.push(ShardRows {
                        shard: shard.id,
                        rows: found,
                    });
                }
                State::Waiting => coverage.missing.push(missing(shard, Reason::NotAwaited)),
                State::Missing(reason) => coverage.missing.push(missing(shard, reason)),
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

fn missing(shard: &Shard, reason: Reason) -> MissingShard {
    let mut zones: Vec<_> = shard.servers.iter().map(|s| s.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    MissingShard {
        shard: shard.id,
        reason,
        zones,
    }
}
