//! A window of fixed size.

use {
    crate::{Bounds, LeafStats, WindowControl},
    std::time::Instant,
};

/// A window that does not adapt; only [`FixedWindow::set`] changes its size.
#[derive(Clone, Copy, Debug)]
pub struct FixedWindow(usize);

impl FixedWindow {
    /// Creates a window of `limit` queries, or of one if `limit` is zero.
    pub fn new(limit: usize) -> Self {
        Self(limit.max(1))
    }

    /// Sets the limit, or one if `limit` is zero.
    pub fn set(&mut self, limit: usize) {
        self.0 = limit.max(1);
    }
}

impl WindowControl for FixedWindow {
    fn limit(&self) -> usize {
        self.0
    }

    fn on_complete(&mut self, _: &LeafStats, _: usize, _: Instant) {}

    fn set_bounds(&mut self, _: Bounds) {}
}
