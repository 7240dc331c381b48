//! What is known about one server, from calls to it first and its own word second.
//!
//! Latency is a peak-sensitive moving average: a slow reply counts at once,
//! fast ones bring it down over time. What a server states about itself may
//! lag or mislead, so it only makes the server less preferred. The one
//! exception is its word that it drains, which no server gains from giving.

use {
    crate::{BackOff, Evidence, Refusal, Stated},
    std::time::{Duration, Instant},
};

/// Time over which the latency average forgets.
const LATENCY_DECAY: Duration = Duration::from_secs(2);
/// Latency of a server that is not known yet, in milliseconds.
const DEFAULT_LATENCY_MS: f64 = 5.0;
/// Time over which a new or returned server takes up its full load.
const RAMP: Duration = Duration::from_secs(10);
/// Load share at the begin of the ramp.
const RAMP_START: f64 = 0.1;
/// Failures in a row after which a server is held out.
const FAILURES_TO_HOLD_OUT: u32 = 3;
/// First time for which a failing server is held out.
const FIRST_HOLD_OUT: Duration = Duration::from_millis(250);
/// Longest time for which a failing server is held out.
const LONGEST_HOLD_OUT: Duration = Duration::from_secs(8);
/// First time for which a server that shed is held out.
const FIRST_SHED_PAUSE: Duration = Duration::from_millis(50);
/// Longest time for which a server that shed is held out.
const LONGEST_SHED_PAUSE: Duration = Duration::from_secs(1);
/// Time for which a stated load counts.
const STATED_LOAD_AGE: Duration = Duration::from_millis(500);
/// Time for which the word of a server that it drains is believed.
const DRAIN_MEMORY: Duration = Duration::from_secs(60);

/// Who says that a server drains.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainSign {
    /// The server itself.
    Own,
    /// The platform's list of hosts.
    Listed,
    /// A peer.
    Peer,
}

#[derive(Clone, Copy, Debug)]
struct StatedLoad {
    slots_in_use: u32,
    at: Instant,
}

/// State of one server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    latency_ms: f64,
    latency_at: Instant,
    in_flight: u32,
    failures: u32,
    ramp_from: Instant,
    held_out: BackOff,
    shed: BackOff,
    is_listed_as_leaving: bool,
    drains_until: Option<Instant>,
    load: Option<StatedLoad>,
}

impl Server {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            latency_ms: DEFAULT_LATENCY_MS,
            latency_at: now,
            in_flight: 0,
            failures: 0,
            ramp_from: now,
            held_out: BackOff::new(FIRST_HOLD_OUT, LONGEST_HOLD_OUT),
            shed: BackOff::new(FIRST_SHED_PAUSE, LONGEST_SHED_PAUSE),
            is_listed_as_leaving: false,
            drains_until: None,
            load: None,
        }
    }

    pub(crate) fn on_begin(&mut self) {
        self.in_flight += 1;
    }

    pub(crate) fn on_end(&mut self, evidence: Evidence, jitter: f64, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match evidence {
            Evidence::Replied(first_byte) => self.on_reply(first_byte, now),
            Evidence::Refused(Refusal::Shed) => self.shed.on_failure(jitter, now),
            Evidence::Refused(Refusal::Draining) => self.on_drain(DrainSign::Own, now),
            Evidence::Died | Evidence::Unreachable => self.on_failure(jitter, now),
            Evidence::Cancelled(waited) => self.on_cancelled(waited, now),
            Evidence::Refused(Refusal::Other) | Evidence::Nothing => {}
        }
    }

    fn on_reply(&mut self, first_byte: Duration, now: Instant) {
        let sample_ms = first_byte.as_secs_f64() * 1_000.0;
        let age = now.saturating_duration_since(self.latency_at);
        let kept = (-age.as_secs_f64() / LATENCY_DECAY.as_secs_f64()).exp();
        // Peaks count in full at once.
        self.latency_ms = if sample_ms > self.latency_ms {
            sample_ms
        } else {
            // A share of each fast reply counts also when replies come at once.
            let kept = kept.min(0.95);
            self.latency_ms * kept + sample_ms * (1.0 - kept)
        };
        self.latency_at = now;
        if self.failures >= FAILURES_TO_HOLD_OUT {
            self.ramp_from = now;
        }
        self.failures = 0;
        self.held_out.on_success();
        self.shed.on_success();
    }

    /// A call without a reply shows that the latency is at least the time waited.
    fn on_cancelled(&mut self, waited: Duration, now: Instant) {
        let waited_ms = waited.as_secs_f64() * 1_000.0;
        if waited_ms > self.latency_now_ms(now) {
            self.latency_ms = waited_ms;
            self.latency_at = now;
        }
    }

    fn on_failure(&mut self, jitter: f64, now: Instant) {
        self.failures += 1;
        if self.failures >= FAILURES_TO_HOLD_OUT {
            self.held_out.on_failure(jitter, now);
        }
    }

    pub(crate) fn on_stated(&mut self, stated: Stated, now: Instant) {
        if stated.is_draining {
            self.on_drain(DrainSign::Own, now);
        }
        self.load = stated.slots_in_use.map(|slots_in_use| StatedLoad {
            slots_in_use,
            at: now,
        });
    }

    pub(crate) fn on_drain(&mut self, sign: DrainSign, now: Instant) {
        match sign {
            DrainSign::Listed => self.is_listed_as_leaving = true,
            DrainSign::Own | DrainSign::Peer => self.drains_until = Some(now + DRAIN_MEMORY),
        }
    }

    /// Takes the list's word that the server does not leave any more.
    pub(crate) fn on_listed_as_staying(&mut self, now: Instant) {
        if std::mem::take(&mut self.is_listed_as_leaving) {
            // A server that comes back after it was listed as leaving is a new one.
            self.drains_until = None;
            self.ramp_from = now;
        }
    }

    pub(crate) fn is_draining(&self, now: Instant) -> bool {
        self.is_listed_as_leaving || self.drains_until.is_some_and(|until| until > now)
    }

    /// Returns whether the server shed a moment ago.
    pub(crate) fn is_shedding(&self, now: Instant) -> bool {
        self.shed.until(now).is_some()
    }

    /// Returns until when the server is held out.
    ///
    /// After that a single call tries it; the others wait for its end.
    pub(crate) fn held_out_until(&self, now: Instant) -> Option<Instant> {
        let paused = self.held_out.until(now).max(self.shed.until(now));
        paused.or_else(|| (self.is_on_trial() && self.in_flight > 0).then_some(now))
    }

    /// Returns whether the server has not replied since it was held out.
    pub(crate) fn is_on_trial(&self) -> bool {
        self.held_out.has_failed() || self.shed.has_failed()
    }

    /// Returns whether nothing speaks against the server.
    pub(crate) fn works(&self, now: Instant) -> bool {
        self.failures == 0 && !self.is_on_trial() && !self.is_draining(now)
    }

    /// Returns the share of its full load that the server takes by now, from 0 to 1.
    pub(crate) fn ramp(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.ramp_from);
        let progress = age.as_secs_f64() / RAMP.as_secs_f64();
        (RAMP_START + (1.0 - RAMP_START) * progress).min(1.0)
    }

    /// Returns the expected cost of one more call, in milliseconds.
    pub(crate) fn cost_ms(&self, now: Instant) -> f64 {
        let stated = self
            .load
            .filter(|load| now.saturating_duration_since(load.at) < STATED_LOAD_AGE)
            .map_or(0, |load| load.slots_in_use);
        let load = f64::from(self.in_flight.max(stated)) + 1.0;
        self.latency_now_ms(now) * load * (1.0 + f64::from(self.failures))
    }

    /// The latency average falls back to the default while no reply comes, so
    /// that a server that was slow once is tried again.
    fn latency_now_ms(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.latency_at);
        let kept = (-age.as_secs_f64() / (LATENCY_DECAY.as_secs_f64() * 4.0)).exp();
        self.latency_ms * kept + DEFAULT_LATENCY_MS.min(self.latency_ms) * (1.0 - kept)
    }
}
