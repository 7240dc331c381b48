//! What a request demands and what bounds it.

use std::time::{Duration, Instant};

/// What a request demands and what bounds it.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Time at which the query ends in any case.
    pub deadline: Instant,
    /// Time at which a query that covers the least share answers, though parts are missing.
    pub answer_at: Instant,
    /// The same once `answer_at` has passed without the least share.
    pub late_answer_at: Instant,
    /// Least share of parts that a success covers, from 0 to 1.
    pub min_share: f64,
    /// Most servers of a part that the request is sent to.
    pub max_attempts: usize,
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Least time after which a slow call is hedged; `None` for no hedges.
    pub hedge_after: Option<Duration>,
}

impl Plan {
    /// Returns whether `covered` of `parts` parts are enough for a success.
    pub(crate) fn is_enough(&self, covered: usize, parts: usize) -> bool {
        // The tolerance keeps 0.89 of 100 parts at 89, whatever the rounding.
        covered > 0 && covered as f64 + 1e-9 >= self.min_share * parts as f64
    }
}
