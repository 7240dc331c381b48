//! Latency of leaf calls per batch of queries, relative to a slowly rising minimum.

use {crate::LeafStats, std::time::Duration};

/// Number of queries with a latency sample in a batch.
const QUERIES_PER_BATCH: u32 = 16;
/// Factor on the baseline per batch, so that it adapts when upstreams become slower.
const BASELINE_GROWTH: f64 = 1.002;

/// Statistics of one batch of queries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Batch {
    /// Mean latency divided by the baseline; 1 means no queueing.
    pub(crate) latency_ratio: f64,
    /// Share of the completed calls that upstreams shed because of load.
    pub(crate) shed_share: f64,
    /// Whether the window was full when any query of the batch ended.
    pub(crate) is_full: bool,
}

/// Collects the statistics of queries into batches.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BatchCollector {
    samples: u32,
    latency_sum: Duration,
    answered: u32,
    sheds: u32,
    is_full: bool,
    baseline_s: Option<f64>,
}

impl BatchCollector {
    /// Adds a query, and returns the batch if this query completes it.
    pub(crate) fn add(&mut self, stats: &LeafStats, is_full: bool) -> Option<Batch> {
        self.answered += stats.answered;
        self.sheds += stats.sheds;
        self.is_full |= is_full;
        let latency = stats.leaf_latency?;
        self.samples += 1;
        self.latency_sum += latency;
        if self.samples < QUERIES_PER_BATCH {
            return None;
        }
        let mean_s = self.latency_sum.as_secs_f64() / f64::from(self.samples);
        let baseline_s = self.baseline_s.map_or(mean_s, |baseline_s| {
            (baseline_s * BASELINE_GROWTH).min(mean_s)
        });
        let batch = Batch {
            latency_ratio: mean_s / baseline_s.max(f64::MIN_POSITIVE),
            shed_share: f64::from(self.sheds) / f64::from((self.sheds + self.answered).max(1)),
            is_full: self.is_full,
        };
        *self = Self {
            baseline_s: Some(baseline_s),
            ..Self::default()
        };
        Some(batch)
    }
}
