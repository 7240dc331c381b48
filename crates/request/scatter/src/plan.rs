//! What a request demands and what bounds it.

use std::time::{Duration, Instant};

/// What a request demands and what bounds it.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Time at which the query ends in any case.
    pub deadline: Instant,
    /// Time at which a query that covers the least share answers, though parts are missing.
    pub answer_at: Instant,
    /// Time until which an answer is still in time, if it goes out at once.
    pub in_time_until: Instant,
    /// The same as `answer_at` for a query that is late.
    pub late_answer_at: Instant,
    /// Least share of parts that a success covers, from 0 to 1.
    pub min_share: f64,
    /// Most servers of a part that the request is sent to.
    pub max_attempts: usize,
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Least time after which a slow call is hedged; `None` for no hedges.
    pub hedge_after: Option<Duration>,
    /// Time by which a hedge has to answer; `None` for the time of the answer.
    pub hedge_until: Option<Instant>,
}

impl Plan {
    /// Returns whether `covered` of `parts` parts are enough for a success.
    pub(crate) fn is_enough(&self, covered: usize, parts: usize) -> bool {
        // The tolerance keeps 0.89 of 100 parts at 89, whatever the rounding.
        covered > 0 && covered as f64 + 1e-9 >= self.min_share * parts as f64
    }
}
