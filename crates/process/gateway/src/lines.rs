//! How many log lines each part may write.
//!
//! Answers the load of a flood, in which a line for each decision would cost
//! more than the decisions. What is over the budget is counted and said once
//! a second.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Lines that a part may write in a second: every request of a host at the
/// users' sites, several times over.
const LINES_PER_SECOND: u32 = 200;
/// Time over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Part {
    since: Instant,
    lines: u32,
    dropped: u64,
}

/// Budgets of all parts.
#[derive(Debug, Default)]
pub(crate) struct Lines(HashMap<&'static str, Part>);

impl Lines {
    /// Returns whether `part` may write one more line, and counts it either way.
    pub(crate) fn may_write(&mut self, part: &'static str, now: Instant) -> bool {
        let known = self.0.entry(part).or_insert(Part {
            since: now,
            lines: 0,
            dropped: 0,
        });
        if now.saturating_duration_since(known.since) >= WINDOW {
            known.since = now;
            known.lines = 0;
        }
        let may_write = known.lines < LINES_PER_SECOND;
        if may_write {
            known.lines += 1;
        } else {
            known.dropped += 1;
        }
        may_write
    }

    /// Returns the lines dropped since the last time, by part.
    pub(crate) fn take_dropped(&mut self) -> Vec<(&'static str, u64)> {
        let parts = self.0.iter_mut().filter(|(_, part)| part.dropped > 0);
        let taken = parts.map(|(name, part)| (*name, std::mem::take(&mut part.dropped)));
        taken.collect()
    }
}
