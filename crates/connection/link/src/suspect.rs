//! The state of one fingerprint that no server has replied to yet.

use {
    record::ServerAddr,
    std::time::{Duration, Instant},
};

/// Age from which a crash no longer counts.
const CRASH_TTL: Duration = Duration::from_secs(600);
/// Duration of the first quarantine, doubled with each further one.
const BASE_QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// Longest quarantine.
const MAX_QUARANTINE_TIME: Duration = Duration::from_secs(6 * 3_600);
/// Duration of a quarantine that begins during a mass failure.
const MASS_FAILURE_QUARANTINE_TIME: Duration = Duration::from_secs(10);
/// Number of canaries that may run at once.
///
/// Outside a mass failure, also the number of crashes that starts a quarantine.
const MAX_CANARIES: usize = 2;
/// Number of crashes that starts a quarantine even during a mass failure.
const MAX_CRASHES: usize = 3;
/// Time after which a further canary may run if the earlier ones have had no outcome.
const EXTRA_CANARY_DELAY: Duration = Duration::from_millis(50);

/// A crash of an upstream server while it ran a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Crash {
    pub(crate) server: ServerAddr,
    pub(crate) at: Instant,
}

/// Whether a call with a suspect's fingerprint may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Decision {
    Canary,
    WaitUntil(Instant),
    Quarantined(Duration),
}

/// The crashes, canaries and quarantines of one fingerprint.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspect {
    crashes: Vec<Crash>,
    running_canaries: usize,
    last_canary_at: Option<Instant>,
    quarantined_until: Option<Instant>,
    is_mass_failure: bool,
    quarantines: u32,
}

impl Suspect {
    pub(crate) fn decide(&mut self, now: Instant) -> Decision {
        self.expire(now);
        if let Some(remaining) = self.quarantined_for(now) {
            return Decision::Quarantined(remaining);
        }
        let possible_crashes = self.repeat_penalty() + self.crashes.len() + self.running_canaries;
        let next_canary_at = self
            .last_canary_at
            .map_or(now, |last| last + EXTRA_CANARY_DELAY);
        if possible_crashes < MAX_CANARIES
            || (possible_crashes < MAX_CRASHES && next_canary_at <= now)
        {
            self.running_canaries += 1;
            self.last_canary_at = Some(now);
            return Decision::Canary;
        }
        // The end of a running canary may end the wait earlier.
        Decision::WaitUntil(next_canary_at.max(now + EXTRA_CANARY_DELAY))
    }

    pub(crate) fn on_canary_end(&mut self) {
        self.running_canaries = self.running_canaries.saturating_sub(1);
    }

    /// Records a crash, and returns whether it starts a quarantine.
    pub(crate) fn on_crash(&mut self, crash: Crash, is_mass_failure: bool, now: Instant) -> bool {
        if !self.crashes.iter().any(|c| c.server == crash.server) {
            self.crashes.push(crash);
        }
        let threshold = if is_mass_failure {
            MAX_CRASHES
        } else {
            MAX_CANARIES
        };
        let is_due = self.repeat_penalty() + self.crashes.len() >= threshold;
        if !is_due || self.quarantined_for(now).is_some() {
            return false;
        }
        let duration = if is_mass_failure {
            MASS_FAILURE_QUARANTINE_TIME
        } else {
            let doubled = BASE_QUARANTINE_TIME.saturating_mul(1 << self.quarantines.min(8));
            self.quarantines += 1;
            doubled.min(MAX_QUARANTINE_TIME)
        };
        self.is_mass_failure = is_mass_failure;
        self.quarantine_until(now + duration);
        true
    }

    /// Quarantines the fingerprint until `until`, or longer if it already is.
    pub(crate) fn quarantine_until(&mut self, until: Instant) {
        self.quarantined_until = self.quarantined_until.max(Some(until));
    }

    /// Returns the remaining time of the quarantine, if there is one.
    pub(crate) fn quarantined_for(&self, now: Instant) -> Option<Duration> {
        self.quarantined_until
            .filter(|until| *until > now)
            .map(|until| until - now)
    }

    pub(crate) fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Returns whether peers are told of the crashes.
    ///
    /// The crashes of a mass failure are not evidence against the fingerprint.
    pub(crate) fn shares_crashes(&self) -> bool {
        !self.is_mass_failure
    }

    /// Counts as a crash if there was an earlier quarantine, so that a single
    /// further crash starts the next one.
    fn repeat_penalty(&self) -> usize {
        usize::from(self.quarantines > 0)
    }

    /// Returns whether the state can be discarded without losing information.
    pub(crate) fn is_discardable(&self, now: Instant) -> bool {
        self.running_canaries == 0
            && self.quarantined_for(now).is_none()
            && self.quarantines == 0
            && self.crashes.iter().all(|crash| is_expired(crash, now))
    }

    /// Removes a quarantine that has ended, with its crashes, and expired crashes.
    fn expire(&mut self, now: Instant) {
        if self.quarantined_until.is_some_and(|until| until <= now) {
            self.quarantined_until = None;
            self.is_mass_failure = false;
            self.crashes.clear();
        }
        self.crashes.retain(|crash| !is_expired(crash, now));
    }
}

/// Returns whether a crash no longer counts.
pub(crate) fn is_expired(crash: &Crash, now: Instant) -> bool {
    now.saturating_duration_since(crash.at) >= CRASH_TTL
}
