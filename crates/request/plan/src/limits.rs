//! Limits of a query.

use std::time::{Duration, Instant};

/// Limits of a query.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time by which the query must end.
    pub deadline: Instant,
    /// Whether the request may be executed more than once.
    pub is_repeatable: bool,
}

impl Limits {
    /// Returns the time until the deadline.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}
