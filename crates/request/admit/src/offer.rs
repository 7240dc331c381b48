//! What goes into the gate and what comes out of it.

use {
    kind::{Error, Kind},
    record::{Rank, TenantId},
    std::time::{Duration, Instant},
};

/// Identifier of a query at the gate, unique for as long as the query is there.
pub type Ticket = u64;

/// A query that asks to be admitted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Offer {
    /// Identifier of the query.
    pub ticket: Ticket,
    /// Rank.
    pub rank: Rank,
    /// Tenant.
    pub tenant: TenantId,
    /// Time by which the query has to be answered.
    pub deadline: Instant,
}

/// What the upstreams showed while a query was running.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Shown {
    /// Median latency of the leaf calls that were answered, if any was.
    pub leaf_latency: Option<Duration>,
    /// Number of leaf calls that were answered.
    pub answered: u32,
    /// Number of leaf calls that upstreams refused for load.
    pub sheds: u32,
}

impl Shown {
    /// Sums up the leaf calls of one query.
    ///
    /// The median ignores a few slow shards: a straggler is a matter for
    /// hedging, and narrowing the window would not make it faster.
    pub fn new(mut leaf_latencies: Vec<Duration>, sheds: u32) -> Self {
        let middle = leaf_latencies.len() / 2;
        let answered = u32::try_from(leaf_latencies.len()).unwrap_or(u32::MAX);
        let leaf_latency =
            (!leaf_latencies.is_empty()).then(|| *leaf_latencies.select_nth_unstable(middle).1);
        Self {
            leaf_latency,
            answered,
            sheds,
        }
    }
}

/// What the gate wants done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Run the query.
    Admit(Ticket),
    /// Answer the query with a refusal; it has not run.
    Refuse(Ticket, Refusal),
}

/// Why the gate refuses a query.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RefusalKind {
    /// Too many queries of the rank are waiting.
    Overloaded,
    /// The deadline cannot be met any more.
    TooLate,
}

/// A refusal with the time after which a repeat may succeed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the query is refused.
    pub kind: RefusalKind,
    /// Time after which the queries now waiting will have been admitted.
    pub retry_after: Duration,
}

impl RefusalKind {
    /// Returns the kind of error that callers get.
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
            RefusalKind::TooLate => "the deadline passed or came too near at the gate",
        };
        Self::new(refusal.kind.kind(), detail).with_retry_after(refusal.retry_after)
    }
}
