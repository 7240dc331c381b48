//! A window that follows the ratio of latency to its baseline.

use {
    crate::{
        window::baseline::Batches,
        {Bounds, Shown, Window},
    },
    std::time::Instant,
};

/// Latency over the baseline that is no reason to narrow.
const TOLERANCE: f64 = 1.5;
/// Least factor of one step.
const MIN_GRADIENT: f64 = 0.5;
/// Weight of a step.
const SMOOTHING: f64 = 0.2;
/// Factor on the window when upstreams shed.
const DECREASE: f64 = 0.9;

/// Multiplies the window by the gradient and leaves a square root of it to queue.
#[derive(Clone, Copy, Debug)]
pub struct Gradient {
    bounds: Bounds,
    limit: f64,
    batches: Batches,
}

impl Gradient {
    /// Creates the window at the start of its bounds.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            limit: bounds.initial,
            batches: Batches::default(),
        }
    }
}

impl Window for Gradient {
    fn limit(&self) -> usize {
        self.limit as usize
    }

    fn on_complete(&mut self, shown: &Shown, in_flight: usize, _: Instant) {
        let is_full = in_flight >= self.limit();
        let Some(batch) = self.batches.add(shown, is_full) else {
            return;
        };
        if batch.sheds > 0 {
            self.limit = self.bounds.clamp(self.limit * DECREASE);
            return;
        }
        let gradient = (TOLERANCE / batch.latency_ratio).clamp(MIN_GRADIENT, 1.0);
        let wanted = self.limit * gradient + self.limit.sqrt();
        let next = self.limit + SMOOTHING * (wanted - self.limit);
        if next < self.limit || batch.is_full {
            self.limit = self.bounds.clamp(next);
        }
    }

    fn set_bounds(&mut self, bounds: Bounds) {
        self.limit = self.bounds.rescale(self.limit, &bounds);
        self.bounds = bounds;
    }
}
