//! The health and load of one server, from the calls of this host and from the
//! server's own reports.
//!
//! Latency is a peak-sensitive moving average: a slow reply raises it at once,
//! and fast replies lower it over time. What a server reports about itself may
//! be outdated or wrong, so it only makes the server less preferred. The one
//! exception is the report that it drains, which no server gains from sending.

use {
    crate::{call_limit::CallLimit, BackOff, Evidence, Refusal, ServerReport},
    std::time::{Duration, Instant},
};

/// Time constant of the exponential decay of the latency average.
const LATENCY_DECAY: Duration = Duration::from_secs(2);
/// Latency assumed for a server that has not replied yet, in milliseconds.
const DEFAULT_LATENCY_MS: f64 = 5.0;
/// Time after which a new or returning server gets its full load.
const SLOW_START_WINDOW: Duration = Duration::from_secs(10);
/// Weight of a server at the start of its slow-start window, relative to full load.
const SLOW_START_MIN_WEIGHT: f64 = 0.1;
/// Number of consecutive failures after which a server is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of a failing server's first ejection.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(250);
/// Longest ejection of a failing server.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(8);
/// Duration of the first ejection of a server that sheds load.
const BASE_SHED_EJECTION_TIME: Duration = Duration::from_millis(50);
/// Longest ejection of a server that sheds load.
const MAX_SHED_EJECTION_TIME: Duration = Duration::from_secs(1);
/// Age from which a reported load is ignored.
const REPORTED_LOAD_MAX_AGE: Duration = Duration::from_millis(500);
/// Time for which a report from a server or a peer that the server drains is valid.
const DRAIN_REPORT_TTL: Duration = Duration::from_secs(60);

/// The source of the information that a server is draining.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainSign {
    /// The server itself.
    Own,
    /// The platform's list of hosts.
    Listed,
    /// Another host.
    Peer,
}

#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    slots_in_use: u32,
    at: Instant,
}

/// The state of one server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    latency_ms: f64,
    latency_updated_at: Instant,
    in_flight: u32,
    consecutive_failures: u32,
    slow_start_since: Instant,
    ejection: BackOff,
    shed_ejection: BackOff,
    is_listed_as_leaving: bool,
    draining_until: Option<Instant>,
    reported_load: Option<ReportedLoad>,
    pub(crate) call_limit: CallLimit,
}

impl Server {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            latency_ms: DEFAULT_LATENCY_MS,
            latency_updated_at: now,
            in_flight: 0,
            consecutive_failures: 0,
            slow_start_since: now,
            ejection: BackOff::new(BASE_EJECTION_TIME, MAX_EJECTION_TIME),
            shed_ejection: BackOff::new(BASE_SHED_EJECTION_TIME, MAX_SHED_EJECTION_TIME),
            is_listed_as_leaving: false,
            draining_until: None,
            reported_load: None,
            call_limit: CallLimit::default(),
        }
    }

    pub(crate) fn on_call_start(&mut self) {
        self.in_flight += 1;
    }

    pub(crate) fn on_call_end(&mut self, evidence: Evidence, jitter: f64, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match evidence {
            Evidence::Replied(first_byte) => self.on_reply(first_byte, now),
            Evidence::Refused(Refusal::Shed) => {
                self.shed_ejection.on_failure(jitter, now);
                self.call_limit.on_shed(now);
            }
            Evidence::Refused(Refusal::Draining) => self.on_drain(DrainSign::Own, now),
            Evidence::ConnectionLost | Evidence::Unreachable | Evidence::NoResponse => {
                self.on_failure(jitter, now)
            }
            Evidence::Cancelled(waited) => self.on_cancelled(waited, now),
            Evidence::Refused(Refusal::Other) | Evidence::Inconclusive => {}
        }
    }

    fn on_reply(&mut self, first_byte: Duration, now: Instant) {
        let sample_ms = first_byte.as_secs_f64() * 1_000.0;
        let age = now.saturating_duration_since(self.latency_updated_at);
        let decay = (-age.as_secs_f64() / LATENCY_DECAY.as_secs_f64()).exp();
        // Peaks take effect in full at once.
        self.latency_ms = if sample_ms > self.latency_ms {
            sample_ms
        } else {
            // Weighs each reply by at least 5%, so that many replies in quick
            // succession still lower the average.
            let decay = decay.min(0.95);
            self.latency_ms * decay + sample_ms * (1.0 - decay)
        };
        self.latency_updated_at = now;
        if self.consecutive_failures >= FAILURES_TO_EJECT {
            self.slow_start_since = now;
        }
        self.consecutive_failures = 0;
        self.ejection.on_success();
        self.shed_ejection.on_success();
        self.call_limit.on_reply(now);
    }

    /// Raises the latency to the time that a cancelled call waited without a reply,
    /// which is a lower bound for it.
    fn on_cancelled(&mut self, waited: Duration, now: Instant) {
        let waited_ms = waited.as_secs_f64() * 1_000.0;
        if waited_ms > self.latency_now_ms(now) {
            self.latency_ms = waited_ms;
            self.latency_updated_at = now;
        }
    }

    fn on_failure(&mut self, jitter: f64, now: Instant) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= FAILURES_TO_EJECT {
            self.ejection.on_failure(jitter, now);
        }
    }

    pub(crate) fn on_report(&mut self, report: ServerReport, now: Instant) {
        if report.is_draining {
            self.on_drain(DrainSign::Own, now);
        }
        self.reported_load = report.slots_in_use.map(|slots_in_use| ReportedLoad {
            slots_in_use,
            at: now,
        });
    }

    pub(crate) fn on_drain(&mut self, source: DrainSign, now: Instant) {
        match source {
            DrainSign::Listed => self.is_listed_as_leaving = true,
            DrainSign::Own | DrainSign::Peer => self.draining_until = Some(now + DRAIN_REPORT_TTL),
        }
    }

    /// Records that the platform's list does not show the server as leaving.
    pub(crate) fn on_listed_as_active(&mut self, now: Instant) {
        if std::mem::take(&mut self.is_listed_as_leaving) {
            // Treats a server that returns after it was listed as leaving like a new one.
            self.draining_until = None;
            self.slow_start_since = now;
        }
    }

    pub(crate) fn is_draining(&self, now: Instant) -> bool {
        self.is_listed_as_leaving || self.draining_until.is_some_and(|until| until > now)
    }

    /// Returns whether the server is ejected because it shed a call.
    pub(crate) fn is_shedding(&self, now: Instant) -> bool {
        self.shed_ejection.paused_until(now).is_some()
    }

    /// Returns the time until which the server is ejected, if it is.
    ///
    /// After that time a single call probes the server. While the probe runs, the
    /// server counts as ejected for all other calls.
    pub(crate) fn ejected_until(&self, now: Instant) -> Option<Instant> {
        let ejected_until = self
            .ejection
            .paused_until(now)
            .max(self.shed_ejection.paused_until(now));
        ejected_until.or_else(|| (self.awaits_recovery() && self.in_flight > 0).then_some(now))
    }

    /// Returns whether the server was ejected and has not replied since.
    pub(crate) fn awaits_recovery(&self) -> bool {
        self.ejection.has_failed() || self.shed_ejection.has_failed()
    }

    /// Returns whether the server has no recent failures, is not ejected and does not drain.
    pub(crate) fn is_healthy(&self, now: Instant) -> bool {
        self.consecutive_failures == 0 && !self.awaits_recovery() && !self.is_draining(now)
    }

    /// Returns the part of its full load that the server gets by now, from 0 to 1.
    pub(crate) fn slow_start_weight(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.slow_start_since);
        let progress = age.as_secs_f64() / SLOW_START_WINDOW.as_secs_f64();
        (SLOW_START_MIN_WEIGHT + (1.0 - SLOW_START_MIN_WEIGHT) * progress).min(1.0)
    }

    /// Returns the expected cost of one more call, in milliseconds.
    pub(crate) fn cost_ms(&self, now: Instant) -> f64 {
        let reported_slots = self
            .reported_load
            .filter(|load| now.saturating_duration_since(load.at) < REPORTED_LOAD_MAX_AGE)
            .map_or(0, |load| load.slots_in_use);
        let load = f64::from(self.in_flight.max(reported_slots)) + 1.0;
        self.latency_now_ms(now) * load * (1.0 + f64::from(self.consecutive_failures))
    }

    /// Returns the latency average, which decays towards the default while no reply
    /// comes, so that a server that was slow once is tried again.
    fn latency_now_ms(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.latency_updated_at);
        let decay = (-age.as_secs_f64() / (LATENCY_DECAY.as_secs_f64() * 4.0)).exp();
        self.latency_ms * decay + DEFAULT_LATENCY_MS.min(self.latency_ms) * (1.0 - decay)
    }
}
