//! What a query needs to know about upstreams.

use {
    crate::{AttemptId, Reason},
    record::{ServerAddr, Shard},
    std::time::{Duration, Instant},
};

/// The view on upstreams that a query asks for servers.
pub trait Upstreams {
    /// Picks a server of `shard` for the next call, leaving out those `tried` where possible.
    fn pick(&mut self, shard: &Shard, tried: &[ServerAddr], now: Instant) -> Option<ServerAddr>;

    /// Returns why no server of `shard` is picked.
    fn reason(&self, _shard: &Shard, _now: Instant) -> Reason {
        Reason::Unreachable
    }

    /// Returns whether `shard` has room for a second call beside one that is slow.
    fn may_hedge(&self, _shard: &Shard, _now: Instant) -> bool {
        true
    }

    /// Returns whether a call to `server` only tests if it works again, while
    /// another server of `shard` works.
    fn is_test(&self, _shard: &Shard, _server: ServerAddr, _now: Instant) -> bool {
        false
    }

    /// Returns how long a call waited in this process before it was sent.
    ///
    /// That time says nothing about the server. A call that still waits
    /// returns [`Duration::MAX`].
    fn waited(&self, _attempt_id: AttemptId) -> Duration {
        Duration::ZERO
    }
}
