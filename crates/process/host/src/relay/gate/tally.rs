//! What the leaf calls of one query showed.

use {
    admit::LeafStats,
    parking_lot::Mutex,
    plan::{AttemptId, Reason},
    std::{collections::HashMap, time::Duration},
};

/// Counts of one query.
#[derive(Default)]
pub(crate) struct Tally(Mutex<Counts>);

#[derive(Default)]
struct Counts {
    latencies: Vec<Duration>,
    // How long each call waited for its turn; none while it waits.
    waits: HashMap<AttemptId, Option<Duration>>,
    sheds: u32,
}

impl Tally {
    /// Counts a leaf call that took `took` and failed for `failed`, if it did.
    pub(crate) fn add(&self, took: Duration, failed: Option<Reason>) {
        let mut counts = self.0.lock();
        match failed {
            None => counts.latencies.push(took),
            Some(Reason::Shed) => counts.sheds += 1,
            Some(_) => {}
        }
    }

    /// Takes the wait of a leaf call for its turn at the server; none while it waits.
    pub(crate) fn set_wait(&self, attempt_id: AttemptId, wait: Option<Duration>) {
        self.0.lock().waits.insert(attempt_id, wait);
    }

    /// Returns how long a call waited for its turn; one that waits says the longest.
    pub(crate) fn queued_time(&self, attempt_id: AttemptId) -> Duration {
        let wait = self.0.lock().waits.get(&attempt_id).copied().flatten();
        wait.unwrap_or(Duration::MAX)
    }

    /// Returns the statistics for the gate: the wait for a turn is queueing too.
    pub(crate) fn into_leaf_stats(self) -> LeafStats {
        let counts = self.0.into_inner();
        let waits = counts.waits.into_values().flatten().collect();
        let wait = LeafStats::new(waits, 0).leaf_latency.unwrap_or_default();
        let mut stats = LeafStats::new(counts.latencies, counts.sheds);
        stats.leaf_latency = stats.leaf_latency.map(|latency| latency + wait);
        stats
    }
}
