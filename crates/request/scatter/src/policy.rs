//! Requirements and limits of a request.

use std::time::{Duration, Instant};

/// Requirements and limits of a request.
#[derive(Clone, Copy, Debug)]
pub struct QueryPolicy {
    /// Time by which the query ends in any case.
    pub deadline: Instant,
    /// Time at which a query that covers the minimum share answers although parts are missing.
    pub answer_at: Instant,
    /// Latest time at which an answer sent immediately still counts as on time.
    pub on_time_until: Instant,
    /// Replaces `answer_at` if the minimum share is covered only after `on_time_until`.
    pub late_answer_at: Instant,
    /// Minimum share of covered parts for a success, from 0 to 1.
    pub min_share: f64,
    /// Maximum number of servers that each part is sent to.
    pub max_attempts: usize,
    /// Whether the request may be executed more than once.
    pub is_repeatable: bool,
    /// Minimum delay of a call beyond its expected time before it is hedged; `None` disables
    /// hedging.
    pub hedge_after: Option<Duration>,
    /// Time by which a hedge has to answer; `None` means `answer_at`.
    pub hedge_until: Option<Instant>,
}

impl QueryPolicy {
    /// Returns whether `covered` of `parts` parts suffice for a success.
    pub(crate) fn meets_min_share(&self, covered: usize, parts: usize) -> bool {
        // The tolerance absorbs rounding errors, so that 0.89 of 100 parts is 89.
        covered > 0 && covered as f64 + 1e-9 >= self.min_share * parts as f64
    }
}
