//! Recent latencies of a group of shards, bounded, with quick quantiles.

use std::time::Duration;

/// Number of latencies kept.
const CAPACITY: usize = 512;
/// Number of latencies below which no quantile is given.
const MIN_SAMPLES: usize = 50;
/// Number of new latencies after which the quantiles are computed again.
const REFRESH_EVERY: usize = 32;

/// A ring of latencies and a sorted copy of it.
#[derive(Debug, Default)]
pub(crate) struct Window {
    ring: Vec<Duration>,
    next: usize,
    sorted: Vec<Duration>,
    since_sorted: usize,
}

impl Window {
    pub(crate) fn push(&mut self, latency: Duration) {
        if self.ring.len() < CAPACITY {
            self.ring.push(latency);
        } else {
            self.ring[self.next] = latency;
        }
        self.next = (self.next + 1) % CAPACITY;
        self.since_sorted += 1;
        if self.ring.len() >= MIN_SAMPLES && self.since_sorted >= REFRESH_EVERY {
            self.sorted.clone_from(&self.ring);
            self.sorted.sort_unstable();
            self.since_sorted = 0;
        }
    }

    /// Returns the quantile, from 0 to 1, once enough latencies are known.
    pub(crate) fn quantile(&self, quantile: f64) -> Option<Duration> {
        let last = self.sorted.len().checked_sub(1)?;
        let rank = (last as f64 * quantile).round() as usize;
        self.sorted.get(rank.min(last)).copied()
    }
}
