//! Statistics of the leaf calls of one query.

use {
    admit::LeafStats,
    parking_lot::Mutex,
    plan::{AttemptId, Reason},
    std::{collections::HashMap, time::Duration},
};

/// Latencies, waits and refusals of the leaf calls of one query.
#[derive(Default)]
pub(crate) struct Tally(Mutex<Statistics>);

#[derive(Default)]
struct Statistics {
    latencies: Vec<Duration>,
    // How long each call waited for its permit, or `None` while it still waits.
    waits: HashMap<AttemptId, Option<Duration>>,
    sheds: u32,
}

impl Tally {
    /// Records the latency of a leaf call, and the reason if it failed.
    pub(crate) fn record_call(&self, latency: Duration, failure: Option<Reason>) {
        let mut statistics = self.0.lock();
        match failure {
            None => statistics.latencies.push(latency),
            Some(Reason::Shed) => statistics.sheds += 1,
            Some(_) => {}
        }
    }

    /// Sets how long a leaf call waited for its permit, or `None` while it still waits.
    pub(crate) fn set_wait(&self, attempt_id: AttemptId, wait: Option<Duration>) {
        self.0.lock().waits.insert(attempt_id, wait);
    }

    /// Returns how long a call waited for its permit.
    ///
    /// Returns [`Duration::MAX`] for a call that still waits.
    pub(crate) fn queued_time(&self, attempt_id: AttemptId) -> Duration {
        let wait = self.0.lock().waits.get(&attempt_id).copied().flatten();
        wait.unwrap_or(Duration::MAX)
    }

    /// Returns the statistics for the gate.
    ///
    /// The wait for a permit is added to the latency, since it is queueing too.
    pub(crate) fn into_leaf_stats(self) -> LeafStats {
        let statistics = self.0.into_inner();
        let waits = statistics.waits.into_values().flatten().collect();
        let wait = LeafStats::new(waits, 0).leaf_latency.unwrap_or_default();
        let mut stats = LeafStats::new(statistics.latencies, statistics.sheds);
        stats.leaf_latency = stats.leaf_latency.map(|latency| latency + wait);
        stats
    }
}
