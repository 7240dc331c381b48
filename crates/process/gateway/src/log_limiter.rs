//! Rate limit for log lines, by log target.
//!
//! Under overload, a line for each rejected request would cost more than the
//! rejection itself. Dropped lines are counted and reported once a second.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Lines that a target may write in a second, several times the request rate
/// of one host at the users' sites.
const MAX_LINES_PER_WINDOW: u32 = 200;
/// Time over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct TargetBudget {
    window_start: Instant,
    written: u32,
    dropped: u64,
}

/// Line budgets by log target.
#[derive(Debug, Default)]
pub(crate) struct LogLimiter(HashMap<&'static str, TargetBudget>);

impl LogLimiter {
    /// Returns whether `target` may write one more line, and counts it as
    /// written or dropped.
    pub(crate) fn try_write(&mut self, target: &'static str, now: Instant) -> bool {
        let budget = self.0.entry(target).or_insert(TargetBudget {
            window_start: now,
            written: 0,
            dropped: 0,
        });
        if now.saturating_duration_since(budget.window_start) >= WINDOW {
            budget.window_start = now;
            budget.written = 0;
        }
        let may_write = budget.written < MAX_LINES_PER_WINDOW;
        if may_write {
            budget.written += 1;
        } else {
            budget.dropped += 1;
        }
        may_write
    }

    /// Returns the number of lines dropped since the last call, by target.
    pub(crate) fn take_dropped(&mut self) -> Vec<(&'static str, u64)> {
        let budgets = self.0.iter_mut().filter(|(_, budget)| budget.dropped > 0);
        let taken = budgets.map(|(target, budget)| (*target, std::mem::take(&mut budget.dropped)));
        taken.collect()
    }
}
