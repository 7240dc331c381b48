//! Which hosts hold a place that only a few hosts may hold at a time.
//!
//! Load: hosts join, leave and lose their leases while others learn of it at different
//! times. A place is, for example, to be one of the callers of a cold server. A host
//! that has been removed from the list keeps its place for the time within which all
//! hosts learn of changes, and a host that has been listed waits for that time before
//! it takes one. So a host takes the place of another only once the other has stopped.

use std::time::{Duration, Instant};

/// When a host was listed and removed, as another host knows it.
#[derive(Clone, Copy, Debug)]
pub struct Tenure {
    listed_at: Instant,
    /// Time at which the host was removed from the list, if it was.
    removed_at: Option<Instant>,
}

impl Tenure {
    /// Creates the tenure of a host that is listed at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            listed_at: now,
            removed_at: None,
        }
    }

    /// Records that the host is listed at `now`. One that was removed for less than
    /// `lag` is not a new one.
    pub fn on_listed(&mut self, lag: Duration, now: Instant) {
        if !self.keeps_place(lag, now) {
            self.listed_at = now;
        }
        self.removed_at = None;
    }

    /// Records that the host is no longer listed, and returns whether it was.
    pub fn on_removed(&mut self, now: Instant) -> bool {
        let was_listed = self.is_listed();
        self.removed_at.get_or_insert(now);
        was_listed
    }

    /// Returns whether the host is listed.
    pub fn is_listed(&self) -> bool {
        self.removed_at.is_none()
    }

    /// Returns whether the host is listed or was less than `time` ago.
    pub fn keeps_place(&self, time: Duration, now: Instant) -> bool {
        self.removed_at
            .is_none_or(|at| now.saturating_duration_since(at) < time)
    }

    /// Returns whether the host itself may hold a place: it is listed, and has been for
    /// `lag`, so that all hosts that learn of changes within that time know of it.
    pub fn is_settled(&self, lag: Duration, now: Instant) -> bool {
        self.is_listed() && now.saturating_duration_since(self.listed_at) >= lag
    }
}
