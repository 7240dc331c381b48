//! The view of upstreams that a query needs.

use {
    crate::{AttemptId, Reason},
    record::{ServerAddr, Shard},
    std::time::{Duration, Instant},
};

/// Selects servers for calls, and reports on their state.
pub trait Upstreams {
    /// Picks a server of `shard` for the next call, avoiding those in `tried` if possible.
    fn pick(&mut self, shard: &Shard, tried: &[ServerAddr], now: Instant) -> Option<ServerAddr>;

    /// Returns the reason for which no server of `shard` can be picked.
    fn unavailable_reason(&self, _shard: &Shard, _now: Instant) -> Reason {
        Reason::Unreachable
    }

    /// Returns whether `shard` has capacity for a hedge in addition to a slow call.
    fn may_hedge(&self, _shard: &Shard, _now: Instant) -> bool {
        true
    }

    /// Returns whether a call to `server` only probes whether it has recovered,
    /// while another server of `shard` works.
    fn is_recovery_probe(&self, _shard: &Shard, _server: ServerAddr, _now: Instant) -> bool {
        false
    }

    /// Returns how long a call was queued in this process before it was sent.
    ///
    /// This time is not part of the latency of the server. For a call that is
    /// still queued, returns [`Duration::MAX`].
    fn queued_time(&self, _attempt_id: AttemptId) -> Duration {
        Duration::ZERO
    }
}
