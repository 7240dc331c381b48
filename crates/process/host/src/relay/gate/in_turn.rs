//! The view on upstreams of a query whose calls wait for turns.

use {
    crate::relay::gate::{Admitted, Tally},
    plan::{AttemptId, Reason, Upstreams},
    record::{ServerAddr, Shard},
    std::time::{Duration, Instant},
};

/// Upstreams of one query, with the calls that wait for each of them.
pub(crate) struct InTurn<'a, U> {
    upstreams: U,
    place: &'a Admitted,
    tally: &'a Tally,
}

impl<'a, U> InTurn<'a, U> {
    pub(crate) fn new(upstreams: U, place: &'a Admitted, tally: &'a Tally) -> Self {
        Self {
            upstreams,
            place,
            tally,
        }
    }
}

impl<U: Upstreams> Upstreams for InTurn<'_, U> {
    /// Picks a server; where calls wait for it, another one with fewer.
    fn pick(&mut self, shard: &Shard, tried: &[ServerAddr], now: Instant) -> Option<ServerAddr> {
        let first = self.upstreams.pick(shard, tried, now)?;
        let waiting = self.place.waiting(first);
        if waiting == 0 {
            return Some(first);
        }
        let mut avoided = tried.to_vec();
        avoided.push(first);
        let second = self.upstreams.pick(shard, &avoided, now);
        second
            .filter(|server| !avoided.contains(server) && self.place.waiting(*server) < waiting)
            .or(Some(first))
    }

    fn reason(&self, shard: &Shard, now: Instant) -> Reason {
        self.upstreams.reason(shard, now)
    }

    fn may_hedge(&self, shard: &Shard, now: Instant) -> bool {
        self.upstreams.may_hedge(shard, now)
    }

    fn is_test(&self, shard: &Shard, server: ServerAddr, now: Instant) -> bool {
        self.upstreams.is_test(shard, server, now)
    }

    fn waited(&self, attempt_id: AttemptId) -> Duration {
        self.tally.waited(attempt_id)
    }
}
