//! A window that grows until upstreams shed.

use {
    crate::{Bounds, Shown, Window},
    std::time::Instant,
};

/// Factor on the window when upstreams shed.
const DECREASE: f64 = 0.9;

/// Additive increase, multiplicative decrease on sheds.
#[derive(Clone, Copy, Debug)]
pub struct Aimd {
    bounds: Bounds,
    limit: f64,
    // Completions since the last decrease: those that began before it tell nothing new.
    completions: usize,
}

impl Aimd {
    /// Creates the window at the start of its bounds.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            limit: bounds.initial,
            completions: 0,
        }
    }
}

impl Window for Aimd {
    fn limit(&self) -> usize {
        self.limit as usize
    }

    fn on_complete(&mut self, shown: &Shown, in_flight: usize, _: Instant) {
        self.completions += 1;
        if shown.sheds > 0 {
            if self.completions > self.limit() {
                self.limit = self.bounds.clamp(self.limit * DECREASE);
                self.completions = 0;
            }
        } else if in_flight >= self.limit() {
            self.limit = self.bounds.clamp(self.limit + 1.0 / self.limit);
        }
    }

    fn set_bounds(&mut self, bounds: Bounds) {
        self.limit = self.bounds.rescale(self.limit, &bounds);
        self.bounds = bounds;
    }
}
