//! A window whose owner sets its size.

use {
    crate::{Bounds, Shown, Window},
    std::time::Instant,
};

/// A window of a size that only its owner changes.
#[derive(Clone, Copy, Debug)]
pub struct Fixed(usize);

impl Fixed {
    /// Creates a window of `limit` queries, at least one.
    pub fn new(limit: usize) -> Self {
        Self(limit.max(1))
    }

    /// Sets the limit, at least one.
    pub fn set(&mut self, limit: usize) {
        self.0 = limit.max(1);
    }
}

impl Window for Fixed {
    fn limit(&self) -> usize {
        self.0
    }

    fn on_complete(&mut self, _: &Shown, _: usize, _: Instant) {}

    fn set_bounds(&mut self, _: Bounds) {}
}
