//! Latency of leaf calls in batches, against the lowest batch of the recent past.

use {crate::Shown, std::time::Duration};

/// Queries in a batch.
const BATCH: u32 = 16;
/// Growth of the baseline with each batch, so that it follows slower upstreams.
const BASELINE_GROWTH: f64 = 1.002;

/// What one batch of queries showed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Batch {
    /// Mean latency over the baseline; 1 means no queueing.
    pub(crate) latency_ratio: f64,
    /// Calls that upstreams refused for load, over all calls that ended.
    pub(crate) shed_share: f64,
    /// Whether the window was full when the batch began or ended.
    pub(crate) is_full: bool,
}

/// Gathers batches.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Batches {
    count: u32,
    sum: Duration,
    answered: u32,
    sheds: u32,
    is_full: bool,
    baseline_s: Option<f64>,
}

impl Batches {
    /// Adds a query and returns the batch that it ends.
    pub(crate) fn add(&mut self, shown: &Shown, is_full: bool) -> Option<Batch> {
        self.answered += shown.answered;
        self.sheds += shown.sheds;
        self.is_full |= is_full;
        let latency = shown.leaf_latency?;
        self.count += 1;
        self.sum += latency;
        if self.count < BATCH {
            return None;
        }
        let mean_s = self.sum.as_secs_f64() / f64::from(self.count);
        let baseline_s = self
            .baseline_s
            .map_or(mean_s, |lowest| (lowest * BASELINE_GROWTH).min(mean_s));
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
