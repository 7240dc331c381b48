//! The upstreams as seen by a query whose calls queue for permits.

use {
    crate::relay::gate::{Admitted, Tally},
    link::ServerTable,
    plan::{AttemptId, Reason, Upstreams},
    record::{ServerAddr, Shard},
    std::time::{Duration, Instant},
};

/// Combines the state of upstreams known to this host with the queues for
/// permits and the waits of this query's calls.
pub(crate) struct UpstreamView<'a> {
    pub(crate) servers: &'a ServerTable,
    pub(crate) admitted: &'a Admitted,
    pub(crate) tally: &'a Tally,
}

impl Upstreams for UpstreamView<'_> {
    fn pick(&mut self, shard: &Shard, tried: &[ServerAddr], now: Instant) -> Option<ServerAddr> {
        let queue_length = |server| self.admitted.queue_length(server, self.servers, now);
        self.servers
            .pick_avoiding_queue(shard, tried, queue_length, &mut rand::random::<f64>, now)
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
