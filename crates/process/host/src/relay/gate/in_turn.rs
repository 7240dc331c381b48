//! The view on upstreams of a query whose calls wait for turns.

use {
    crate::relay::gate::{Admitted, Tally},
    link::ServerTable,
    plan::{AttemptId, Reason, Upstreams},
    record::{ServerAddr, Shard},
    std::time::{Duration, Instant},
};

/// What the calls of this host have found about upstreams, and the calls of
/// this query that wait for them.
pub(crate) struct InTurn<'a> {
    pub(crate) servers: &'a ServerTable,
    pub(crate) place: &'a Admitted,
    pub(crate) tally: &'a Tally,
}

impl Upstreams for InTurn<'_> {
    fn pick(&mut self, shard: &Shard, tried: &[ServerAddr], now: Instant) -> Option<ServerAddr> {
        let waiting = |server| self.place.queue_len_after_offer(server, self.servers, now);
        self.servers
            .pick_avoiding_queue(shard, tried, waiting, &mut rand::random::<f64>, now)
    }

    fn unavailable_reason(&self, shard: &Shard, now: Instant) -> Reason {
        if self.servers.all_drain(shard, now) {
            Reason::Draining
        } else {
            Reason::Unreachable
        }
    }

    fn may_hedge(&self, shard: &Shard, now: Instant) -> bool {
        !self.servers.is_shedding(shard, now)
    }

    fn is_recovery_probe(&self, shard: &Shard, server: ServerAddr, now: Instant) -> bool {
        self.servers.is_recovery_probe(shard, server, now)
    }

    fn queued_time(&self, attempt_id: AttemptId) -> Duration {
        self.tally.queued_time(attempt_id)
    }
}
