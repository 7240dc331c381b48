//! What a query needs to know about upstreams.

use {
    crate::Reason,
    record::{ServerAddr, Shard},
    std::time::Instant,
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
}
