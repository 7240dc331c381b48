//! What the leaf calls of one query showed.

use {admit::Shown, parking_lot::Mutex, plan::Reason, std::time::Duration};

/// Counts of one query.
#[derive(Default)]
pub(crate) struct Tally(Mutex<Counts>);

#[derive(Default)]
struct Counts {
    latencies: Vec<Duration>,
    waits: Vec<Duration>,
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

    /// Counts the wait of a leaf call for its turn at the server.
    pub(crate) fn add_wait(&self, wait: Duration) {
        self.0.lock().waits.push(wait);
    }

    /// Returns what the gate is shown: the wait for a turn is queueing too.
    pub(crate) fn into_shown(self) -> Shown {
        let counts = self.0.into_inner();
        let wait = Shown::new(counts.waits, 0).leaf_latency.unwrap_or_default();
        let mut shown = Shown::new(counts.latencies, counts.sheds);
        shown.leaf_latency = shown.leaf_latency.map(|latency| latency + wait);
        shown
    }
}
