//! Back-off for calls to the store, with one log line per outage and recovery.

use {
    link::BackOff,
    rand::Rng,
    std::time::{Duration, Instant},
    store::Fault,
};

/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between failing calls. It is short so that a host reads
/// again within about a second after the store has recovered.
const MAX_PAUSE: Duration = Duration::from_millis(800);
/// Additional pause for each host of the fleet, so that the calls of all hosts
/// together stay at about a hundred a second while the store fails.
const PAUSE_PER_HOST: Duration = Duration::from_millis(10);
/// Longest pause in a fleet of any size.
const MAX_FLEET_PAUSE: Duration = Duration::from_secs(3);

/// Retry state of one kind of calls to the store.
pub(crate) struct StoreRetry {
    /// What the calls are for, as log lines name it.
    purpose: &'static str,
    back_off: BackOff,
    /// Time of the first failure of the current outage.
    failing_since: Option<Instant>,
}

impl StoreRetry {
    pub(crate) fn new(purpose: &'static str) -> Self {
        Self {
            purpose,
            back_off: BackOff::new(FIRST_PAUSE, MAX_PAUSE),
            failing_since: None,
        }
    }

    /// Resets the back-off, and logs the end of an outage.
    pub(crate) fn on_success(&mut self) {
        self.back_off.on_success();
        if let Some(failing_since) = self.failing_since.take() {
            let outage_ms = failing_since.elapsed().as_millis();
            log::info!(target: "store", "The store answers for the {} again after {outage_ms} ms.", self.purpose);
        }
    }

    /// Logs the start of an outage, and returns the pause before the next call of
    /// this host, one of `hosts`.
    pub(crate) fn on_fault(&mut self, fault: &Fault, hosts: usize) -> Duration {
        let now = Instant::now();
        if self.failing_since.is_none() {
            self.failing_since = Some(now);
            log::warn!(target: "store", "The store does not answer for the {}: {fault:?}.", self.purpose);
        }
        self.back_off.on_failure(rand::rng().random(), now);
        let until = self.back_off.paused_until(now).unwrap_or(now);
        let fleet_pause = PAUSE_PER_HOST.saturating_mul(u32::try_from(hosts).unwrap_or(u32::MAX));
        let spread = fleet_pause
            .min(MAX_FLEET_PAUSE)
            .mul_f64(rand::rng().random());
        until.saturating_duration_since(now).saturating_add(spread)
    }
}
