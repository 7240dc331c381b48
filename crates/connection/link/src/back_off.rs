//! Exponential back-off with jitter.

use std::time::{Duration, Instant};

/// The state of an exponential back-off.
#[derive(Clone, Copy, Debug)]
pub struct BackOff {
    initial_pause: Duration,
    max_pause: Duration,
    consecutive_failures: u32,
    paused_until: Option<Instant>,
}

impl BackOff {
    /// Creates a back-off whose pauses start at `initial_pause` and double up to `max_pause`.
    pub fn new(initial_pause: Duration, max_pause: Duration) -> Self {
        Self {
            initial_pause,
            max_pause,
            consecutive_failures: 0,
            paused_until: None,
        }
    }

    /// Records a failure, which starts a pause.
    ///
    /// `jitter`, from 0 to 1, places the actual pause between half and all of
    /// the nominal one.
    pub fn on_failure(&mut self, jitter: f64, now: Instant) {
        let doubled = self
            .initial_pause
            .saturating_mul(1 << self.consecutive_failures.min(16));
        let pause = doubled.min(self.max_pause);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.paused_until = Some(now + pause.mul_f64(0.5 + 0.5 * jitter.clamp(0.0, 1.0)));
    }

    /// Records a success, which resets the back-off.
    pub fn on_success(&mut self) {
        self.consecutive_failures = 0;
        self.paused_until = None;
    }

    /// Returns whether a failure has been recorded since the last success.
    pub fn has_failed(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Returns the end of the current pause, or `None` if there is none.
    pub fn paused_until(&self, now: Instant) -> Option<Instant> {
        self.paused_until.filter(|until| *until > now)
    }
}
