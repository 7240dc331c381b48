//! Exponential back-off with jitter.

use std::time::{Duration, Instant};

/// Times of a back-off.
#[derive(Clone, Copy, Debug)]
pub struct BackOff {
    first: Duration,
    longest: Duration,
    failures: u32,
    until: Option<Instant>,
}

impl BackOff {
    /// Creates a back-off that starts at `first` and doubles up to `longest`.
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self {
            first,
            longest,
            failures: 0,
            until: None,
        }
    }

    /// Takes a failure; `jitter` from 0 to 1 spreads the pause over its upper half.
    pub fn on_failure(&mut self, jitter: f64, now: Instant) {
        let doubled = self.first.saturating_mul(1 << self.failures.min(16));
        let pause = doubled.min(self.longest);
        self.failures = self.failures.saturating_add(1);
        self.until = Some(now + pause.mul_f64(0.5 + 0.5 * jitter.clamp(0.0, 1.0)));
    }

    /// Takes a success, which ends the back-off.
    pub fn on_success(&mut self) {
        self.failures = 0;
        self.until = None;
    }

    /// Returns whether the last event was a failure.
    pub fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Returns the end of the pause while it lasts.
    pub fn until(&self, now: Instant) -> Option<Instant> {
        self.until.filter(|until| *until > now)
    }
}
