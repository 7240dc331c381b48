//! Input and output types of the gate.

use {
    kind::{Error, Kind},
    record::{Rank, TenantId},
    std::time::{Duration, Instant},
};

/// Identifier of a query at the gate, unique while the query waits or runs.
pub type Ticket = u64;

/// A query that requests admission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Offer {
    /// Identifier of the query.
    pub ticket: Ticket,
    /// Rank of the query, which decides its priority.
    pub rank: Rank,
    /// Tenant that the query belongs to; tenants of a rank are served round-robin.
    pub tenant: TenantId,
    /// Time by which the query must be answered.
    pub deadline: Instant,
}

/// Statistics of the leaf calls of one query.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LeafStats {
    /// Median latency of the answered leaf calls, if there were any.
    pub leaf_latency: Option<Duration>,
    /// Number of answered leaf calls.
    pub answered: u32,
    /// Number of leaf calls that upstreams shed because of load.
    pub sheds: u32,
}

impl LeafStats {
    /// Summarizes the leaf calls of one query.
    ///
    /// The median ignores a few slow shards. Stragglers are handled by
    /// hedging; a smaller window would not make them faster.
    pub fn new(mut leaf_latencies: Vec<Duration>, sheds: u32) -> Self {
        let median_index = leaf_latencies.len() / 2;
        let answered = u32::try_from(leaf_latencies.len()).unwrap_or(u32::MAX);
        let leaf_latency = (!leaf_latencies.is_empty())
            .then(|| *leaf_latencies.select_nth_unstable(median_index).1);
        Self {
            leaf_latency,
            answered,
            sheds,
        }
    }
}

/// An action that the caller of the gate must carry out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Run the query.
    Admit(Ticket),
    /// Reject the query, which has not run.
    Refuse(Ticket, Refusal),
}

/// The reason for which the gate refuses a query.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RefusalKind {
    /// The queue of the rank is full.
    Overloaded,
    /// The deadline can no longer be met.
    TooLate,
}

/// A refusal with the time after which a retry may succeed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub kind: RefusalKind,
    /// Estimated time until all queries now waiting have been admitted.
    pub retry_after: Duration,
}

impl RefusalKind {
    /// Returns the kind of error reported to callers.
    pub const fn kind(self) -> Kind {
        match self {
            Self::Overloaded => Kind::Overloaded,
            Self::TooLate => Kind::TooLate,
        }
    }
}

impl From<Refusal> for Error {
    fn from(refusal: Refusal) -> Self {
        let detail = match refusal.kind {
            RefusalKind::Overloaded => "too many queries of this rank are waiting",
            RefusalKind::TooLate => "the deadline has passed or can no longer be met",
        };
        Self::new(refusal.kind.kind(), detail).with_retry_after(refusal.retry_after)
    }
}
