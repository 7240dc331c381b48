//! The state of a dependency, told once when it is lost and once when it is back.

use {
    link::BackOff,
    rand::Rng,
    std::time::{Duration, Instant},
    store::Fault,
};

/// First pause after a call that failed.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between calls that fail; what the store knows again is to be
/// learned within about a second.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// The link to a part of the store.
pub(crate) struct Link {
    name: &'static str,
    back_off: BackOff,
    lost_at: Option<Instant>,
}

impl Link {
    pub(crate) fn new(name: &'static str) -> Self {
        Self {
            name,
            back_off: BackOff::new(FIRST_PAUSE, LONGEST_PAUSE),
            lost_at: None,
        }
    }

    /// Takes a call that was answered.
    pub(crate) fn on_success(&mut self) {
        self.back_off.on_success();
        if let Some(lost_at) = self.lost_at.take() {
            let lost_ms = lost_at.elapsed().as_millis();
            log::info!(target: "store", "The store answers for the {} again after {lost_ms} ms.", self.name);
        }
    }

    /// Takes a call that failed, and returns the pause before the next one.
    pub(crate) fn on_fault(&mut self, fault: &Fault) -> Duration {
        let now = Instant::now();
        if self.lost_at.is_none() {
            self.lost_at = Some(now);
            log::warn!(target: "store", "The store does not answer for the {}: {fault:?}.", self.name);
        }
        self.back_off.on_failure(rand::rng().random(), now);
        let until = self.back_off.until(now).unwrap_or(now);
        until.saturating_duration_since(now)
    }
}
