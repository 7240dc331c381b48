//! The rate at which a host may call a server that limits its callers.
//!
//! Load: a server that names how many requests a second it takes from all hosts
//! together, while callers want more. Each host knows only its own calls. The hosts
//! that call a server get equal shares of its limit; since they rarely use all of
//! them at once, the shares add up to somewhat more than the limit.

use std::time::{Duration, Instant};

/// Sum of the shares of all hosts, in multiples of a server's limit.
const SUM_OF_SHARES: f64 = 1.25;
/// Shares of the relays of a service in the order in which hosts use them.
const RELAY_SHARES: [f64; 3] = [1.0, 0.15, 0.1];
/// Part of the limit for all hosts that rarely call the server.
const OUTSIDERS_SHARE: f64 = 0.05;
/// Time for which a host that makes no calls saves up its rate, unless that is less
/// than one call.
const MAX_SAVED: Duration = Duration::from_millis(300);
/// Time for which a limit holds without another answer of the server.
const LIMIT_RETENTION: Duration = Duration::from_secs(30);
/// Smallest limit, so that a server which names none at all is asked again.
const MIN_LIMIT_PER_S: f64 = 0.1;
/// Hosts among which a limit is divided, for each request a second of it. With more,
/// single calls of all of them would exceed it.
const SENDERS_PER_LIMIT: f64 = 0.6;
/// Additional hosts among which a limit is divided.
const EXTRA_SENDERS: usize = 4;

/// This host's share of a server's limit, in multiples of the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitShare(f64);

impl LimitShare {
    /// Returns the largest number of hosts among which `limit_per_s` can be divided.
    pub fn max_senders(limit_per_s: f64) -> usize {
        (limit_per_s * SENDERS_PER_LIMIT) as usize + EXTRA_SENDERS
    }

    /// Returns the share of one of `senders` hosts, which call the server about
    /// equally often.
    pub fn of_sender(senders: usize) -> Self {
        Self(SUM_OF_SHARES / senders.max(1) as f64)
    }

    /// Returns the share of the relay that all hosts use for the server's service if
    /// it and `rank` others before it can be reached.
    pub fn of_relay(rank: usize) -> Self {
        let share = RELAY_SHARES.get(rank).copied();
        Self(share.unwrap_or_default())
    }

    /// Returns the share of one of `outsiders` hosts that rarely call the server.
    pub fn of_outsider(outsiders: usize) -> Self {
        Self(OUTSIDERS_SHARE / outsiders.max(1) as f64)
    }

    fn rate_per_s(self, limit_per_s: f64) -> f64 {
        limit_per_s.max(MIN_LIMIT_PER_S) * self.0
    }
}

/// A token bucket of calls to one server.
#[derive(Clone, Debug)]
pub(crate) struct CallRate {
    rate_per_s: f64,
    tokens: f64,
    updated_at: Instant,
    /// When the server named its limit last.
    named_at: Instant,
}

impl CallRate {
    /// Creates the bucket of a server that has just named its limit; it is empty.
    pub(crate) fn new(limit_per_s: f64, share: LimitShare, now: Instant) -> Self {
        Self {
            rate_per_s: share.rate_per_s(limit_per_s),
            tokens: 0.0,
            updated_at: now,
            named_at: now,
        }
    }

    /// Sets the limit and the share of it.
    pub(crate) fn update(&mut self, limit_per_s: f64, share: LimitShare, now: Instant) {
        self.tokens = self.tokens_at(now);
        self.updated_at = now;
        self.named_at = now;
        self.rate_per_s = share.rate_per_s(limit_per_s);
    }

    /// Records a call.
    pub(crate) fn on_call(&mut self, now: Instant) {
        self.tokens = self.tokens_at(now) - 1.0;
        self.updated_at = now;
    }

    /// Returns whether the server has not named its limit for so long that it may
    /// have ended.
    pub(crate) fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.named_at) >= LIMIT_RETENTION
    }

    /// Returns the time until the next call may be made.
    pub(crate) fn wait(&self, now: Instant) -> Duration {
        let missing = 1.0 - self.tokens_at(now);
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.rate_per_s).unwrap_or(Duration::MAX)
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let max_tokens = (self.rate_per_s * MAX_SAVED.as_secs_f64()).max(1.0);
        (self.tokens + elapsed.as_secs_f64() * self.rate_per_s).min(max_tokens)
    }
}
