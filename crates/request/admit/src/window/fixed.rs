//! A window that never changes.

use {
    crate::{Bounds, Shown, Window},
    std::time::Instant,
};

/// A window of constant size, for comparison.
#[derive(Clone, Copy, Debug)]
pub struct Fixed(usize);

impl Fixed {
    /// Creates a window of `limit` queries, at least one.
    pub fn new(limit: usize) -> Self {
        Self(limit.max(1))
    }
}

impl Window for Fixed {
    fn limit(&self) -> usize {
        self.0
    }

    fn on_complete(&mut self, _: &Shown, _: usize, _: Instant) {}

    fn set_bounds(&mut self, _: Bounds) {}
}
