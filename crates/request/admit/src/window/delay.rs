//! A window that grows until leaf calls queue.

use {
    crate::{
        window::baseline::Batches,
        {Bounds, Shown, Window},
    },
    std::time::Instant,
};

/// Latency over the baseline up to which the window grows.
const MAX_LATENCY_RATIO: f64 = 2.5;
/// Share of calls refused for load up to which the window grows: a server that
/// sheds alone has a limit of its own and is no reason to run fewer queries.
const MAX_SHED_SHARE: f64 = 0.1;
/// Factor on the window when leaf calls queue or many of them are shed.
const DECREASE: f64 = 0.9;

/// Additive increase, multiplicative decrease on queueing delay and sheds.
///
/// Relays that share upstreams see the same delay. The decrease takes more
/// from the larger window, so windows of unequal size converge.
#[derive(Clone, Copy, Debug)]
pub struct DelayAimd {
    bounds: Bounds,
    limit: f64,
    batches: Batches,
}

impl DelayAimd {
    /// Creates the window at the start of its bounds.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            limit: bounds.initial,
            batches: Batches::default(),
        }
    }
}

impl Window for DelayAimd {
    fn limit(&self) -> usize {
        self.limit as usize
    }

    fn on_complete(&mut self, shown: &Shown, in_flight: usize, _: Instant) {
        let is_full = in_flight >= self.limit();
        let Some(batch) = self.batches.add(shown, is_full) else {
            return;
        };
        if batch.shed_share > MAX_SHED_SHARE || batch.latency_ratio > MAX_LATENCY_RATIO {
            self.limit = self.bounds.clamp(self.limit * DECREASE);
        } else if batch.is_full {
            self.limit = self.bounds.clamp(self.limit + 1.0);
        }
    }

    fn set_bounds(&mut self, bounds: Bounds) {
        self.limit = self.bounds.rescale(self.limit, &bounds);
        self.bounds = bounds;
    }
}
