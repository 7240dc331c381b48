//! One fingerprint that has no success to its name yet.

use {
    record::ServerAddr,
    std::time::{Duration, Instant},
};

/// Time for which a crash counts.
const MARK_MEMORY: Duration = Duration::from_secs(600);
/// Time of the first quarantine; it doubles with each further one.
const FIRST_QUARANTINE: Duration = Duration::from_secs(600);
/// Longest time of a quarantine.
const LONGEST_QUARANTINE: Duration = Duration::from_secs(6 * 3_600);
/// Time of a quarantine that fell into a mass failure.
const MASS_QUARANTINE: Duration = Duration::from_secs(10);
/// Canaries that may run at once.
const CANARIES: usize = 2;
/// Most crashes of one fingerprint before it is held back whatever else fails.
const MAX_CRASHES: usize = 3;
/// Time after which canaries that bring no verdict get a further one.
const PATIENCE: Duration = Duration::from_millis(50);

/// A crash of an upstream while it ran a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Crash {
    pub(crate) server: ServerAddr,
    pub(crate) at: Instant,
}

/// Whether a call of a suspect may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Turn {
    Canary,
    Wait(Instant),
    Held(Duration),
}

/// State of one fingerprint.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspect {
    crashes: Vec<Crash>,
    running: usize,
    last_canary: Option<Instant>,
    held_until: Option<Instant>,
    is_mass: bool,
    quarantines: u32,
}

impl Suspect {
    pub(crate) fn turn(&mut self, now: Instant) -> Turn {
        self.forget(now);
        if let Some(left) = self.held_for(now) {
            return Turn::Held(left);
        }
        let risk = self.offence() + self.crashes.len() + self.running;
        let next = self.last_canary.map_or(now, |last| last + PATIENCE);
        if risk < CANARIES || (risk < MAX_CRASHES && next <= now) {
            self.running += 1;
            self.last_canary = Some(now);
            return Turn::Canary;
        }
        // With every canary out the wait ends by the end of one of them.
        Turn::Wait(next.max(now + PATIENCE))
    }

    pub(crate) fn on_canary_end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Takes a crash, and returns whether a quarantine begins.
    pub(crate) fn on_crash(&mut self, crash: Crash, is_mass: bool, now: Instant) -> bool {
        if !self.crashes.iter().any(|c| c.server == crash.server) {
            self.crashes.push(crash);
        }
        let most = if is_mass { MAX_CRASHES } else { CANARIES };
        let is_due = self.offence() + self.crashes.len() >= most;
        if !is_due || self.held_for(now).is_some() {
            return false;
        }
        let time = if is_mass {
            MASS_QUARANTINE
        } else {
            let doubled = FIRST_QUARANTINE.saturating_mul(1 << self.quarantines.min(8));
            self.quarantines += 1;
            doubled.min(LONGEST_QUARANTINE)
        };
        self.is_mass = is_mass;
        self.hold(now + time);
        true
    }

    /// Holds the fingerprint back until then.
    pub(crate) fn hold(&mut self, until: Instant) {
        self.held_until = self.held_until.max(Some(until));
    }

    pub(crate) fn held_for(&self, now: Instant) -> Option<Duration> {
        self.held_until
            .filter(|until| *until > now)
            .map(|until| until - now)
    }

    pub(crate) fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Returns whether the crashes say something to peers, which those of a mass failure do not.
    pub(crate) fn is_shared(&self) -> bool {
        !self.is_mass
    }

    /// After a quarantine a single crash is enough for the next one.
    fn offence(&self) -> usize {
        usize::from(self.quarantines > 0)
    }

    /// Returns whether nothing would be lost by forgetting the fingerprint.
    pub(crate) fn is_blank(&self, now: Instant) -> bool {
        self.running == 0
            && self.held_for(now).is_none()
            && self.quarantines == 0
            && self.crashes.iter().all(|crash| is_old(crash, now))
    }

    fn forget(&mut self, now: Instant) {
        if self.held_until.is_some_and(|until| until <= now) {
            self.held_until = None;
            self.is_mass = false;
            self.crashes.clear();
        }
        self.crashes.retain(|crash| !is_old(crash, now));
    }
}

/// Returns whether a crash does not count any more.
pub(crate) fn is_old(crash: &Crash, now: Instant) -> bool {
    now.saturating_duration_since(crash.at) >= MARK_MEMORY
}
