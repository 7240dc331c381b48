//! The calls of a query to one shard.

use {
    crate::{AttemptId, LeafCall, Reason},
    record::ServerAddr,
    std::time::{Duration, Instant},
};

/// State of one shard within a query.
#[derive(Debug)]
pub(crate) enum State<R> {
    /// Neither covered nor missing yet.
    Waiting,
    /// The rows have arrived.
    Covered(R),
    /// The shard will be missing from the answer.
    Missing(Reason),
}

/// Calls to one shard and their result.
#[derive(Debug)]
pub(crate) struct ShardTask<R> {
    pub(crate) state: State<R>,
    /// Servers called so far, in order.
    pub(crate) tried: Vec<ServerAddr>,
    /// Calls that have not ended.
    pub(crate) open_attempts: Vec<AttemptId>,
    /// Time from which the open call is slow.
    pub(crate) hedge_at: Option<Instant>,
}

impl<R> ShardTask<R> {
    pub(crate) fn new() -> Self {
        Self {
            state: State::Waiting,
            tried: Vec::new(),
            open_attempts: Vec::new(),
            hedge_at: None,
        }
    }

    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.state, State::Waiting)
    }

    /// Returns whether the shard waits for a single call, which is slow at `now`.
    pub(crate) fn is_slow(&self, now: Instant) -> bool {
        self.is_waiting()
            && self.open_attempts.len() == 1
            && self.hedge_at.is_some_and(|at| now >= at)
    }
}

/// One call that has not ended.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) position: usize,
    pub(crate) call: LeafCall,
    pub(crate) started_at: Instant,
    /// Counts the call as in flight until the attempt ends.
    pub(crate) _in_flight_guard: crate::service_state::InFlightGuard,
}

impl Attempt {
    pub(crate) fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }
}
