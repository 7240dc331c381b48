//! A bounded window of the recent latencies of a group, with cached quantiles.

use std::time::Duration;

/// Maximum number of latencies kept.
const CAPACITY: usize = 512;
/// Number of latencies below which no quantile is available.
const MIN_SAMPLES: usize = 50;
/// Number of new latencies after which the sorted copy is refreshed.
const REFRESH_INTERVAL: usize = 32;

/// A ring buffer of latencies with a sorted copy for quantiles.
#[derive(Debug, Default)]
pub(crate) struct LatencyWindow {
    ring: Vec<Duration>,
    next: usize,
    sorted: Vec<Duration>,
    pushes_since_sort: usize,
}

impl LatencyWindow {
    pub(crate) fn push(&mut self, latency: Duration) {
        if self.ring.len() < CAPACITY {
            self.ring.push(latency);
        } else {
            self.ring[self.next] = latency;
        }
        self.next = (self.next + 1) % CAPACITY;
        self.pushes_since_sort += 1;
        if self.ring.len() >= MIN_SAMPLES && self.pushes_since_sort >= REFRESH_INTERVAL {
            self.sorted.clone_from(&self.ring);
            self.sorted.sort_unstable();
            self.pushes_since_sort = 0;
        }
    }

    /// Returns the latency at `quantile`, from 0 to 1, or `None` if there are too few latencies.
    pub(crate) fn quantile(&self, quantile: f64) -> Option<Duration> {
        let last = self.sorted.len().checked_sub(1)?;
        let rank = (last as f64 * quantile).round() as usize;
        self.sorted.get(rank.min(last)).copied()
    }
}
