//! The work for one shard within a query.

use {
    crate::{AttemptId, LeafCall, Reason},
    record::ServerAddr,
    std::time::{Duration, Instant},
};

/// State of one shard.
#[derive(Debug)]
pub(crate) enum State<R> {
    Waiting,
    Covered(R),
    Missing(Reason),
}

/// Calls to one shard and what they brought.
#[derive(Debug)]
pub(crate) struct ShardWork<R> {
    pub(crate) state: State<R>,
    /// Servers called, in turn.
    pub(crate) tried: Vec<ServerAddr>,
    /// Calls under way.
    pub(crate) open: Vec<AttemptId>,
    /// Time at which the calls under way count as slow.
    pub(crate) hedge_at: Option<Instant>,
}

impl<R> ShardWork<R> {
    pub(crate) fn new() -> Self {
        Self {
            state: State::Waiting,
            tried: Vec::new(),
            open: Vec::new(),
            hedge_at: None,
        }
    }

    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.state, State::Waiting)
    }

    /// Returns whether the one call under way is slow by `now`.
    pub(crate) fn is_slow(&self, now: Instant) -> bool {
        self.is_waiting() && self.open.len() == 1 && self.hedge_at.is_some_and(|at| now >= at)
    }
}

/// One call under way.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) position: usize,
    pub(crate) call: LeafCall,
    pub(crate) started_at: Instant,
    /// Counts the call as under way until the attempt ends.
    pub(crate) _in_flight: crate::group::InFlight,
}

impl Attempt {
    pub(crate) fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }
}
