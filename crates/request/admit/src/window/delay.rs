//! A window that grows until leaf calls start to queue.

use {
    crate::{
        window::baseline::BatchCollector,
        {Bounds, LeafStats, WindowControl},
    },
    std::time::Instant,
};

/// Ratio of latency to baseline above which the window shrinks.
const MAX_LATENCY_RATIO: f64 = 2.5;
/// Share of shed calls above which the window shrinks. A single server that
/// sheds has reached its own limit, which is no reason to run fewer queries.
const MAX_SHED_SHARE: f64 = 0.1;
/// Factor on the window when leaf calls queue or too many of them are shed.
const DECREASE_FACTOR: f64 = 0.9;

/// Additive increase, multiplicative decrease (AIMD) on queueing delay and load shedding.
///
/// Relays that share upstreams see the same delay. A decrease takes more from
/// a larger window, so windows of unequal size converge.
#[derive(Clone, Copy, Debug)]
pub struct AimdWindow {
    bounds: Bounds,
    limit: f64,
    collector: BatchCollector,
}

impl AimdWindow {
    /// Creates the window at the initial size of `bounds`.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            limit: bounds.initial,
            collector: BatchCollector::default(),
        }
    }
}

impl WindowControl for AimdWindow {
    fn limit(&self) -> usize {
        self.limit as usize
    }

    fn on_complete(&mut self, stats: &LeafStats, in_flight: usize, _: Instant) {
        let is_full = in_flight >= self.limit();
        let Some(batch) = self.collector.add(stats, is_full) else {
            return;
        };
        if batch.shed_share > MAX_SHED_SHARE || batch.latency_ratio > MAX_LATENCY_RATIO {
            self.limit = self.bounds.clamp(self.limit * DECREASE_FACTOR);
        } else if batch.is_full {
            self.limit = self.bounds.clamp(self.limit + 1.0);
        }
    }

    fn set_bounds(&mut self, bounds: Bounds) {
        self.limit = self.bounds.rescale(self.limit, &bounds);
        self.bounds = bounds;
    }
}
