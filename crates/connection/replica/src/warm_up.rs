//! Paces calls to cold servers.
//!
//! Load: servers that have just started, or lost their caches, take only a few
//! requests a second from all hosts together, while callers send many times as many
//! to any of hundreds of hosts. A few hosts may call each cold server; each of them
//! has a fixed share of the rate and a burst of one. The shares are small enough that
//! the bound holds with half as many callers again, which covers hosts that know
//! different members for a moment. All other hosts treat the server as unavailable.

use {
    routing::WarmUpLimit,
    std::time::{Duration, Instant},
};

/// Part of a server's rate that its callers use together.
const USED_RATE: f64 = 0.8;
/// Callers for which the bound still holds, in multiples of the planned ones.
const CALLER_MARGIN: f64 = 1.5;
/// Time that a host which may not call a cold server lets pass before it is asked
/// again, at most. Another host may call the server at any time.
const OTHER_HOSTS_WAIT: Duration = Duration::from_secs(1);
/// Longest time for which a server counts as cold by one statement, so that an
/// invalid one does not keep it out of use.
const MAX_WARM_UP: Duration = Duration::from_secs(3_600);
/// Time until the store's entry of a server reflects that the server has become cold.
/// Servers write their entries about once a second.
const ENTRY_LAG: Duration = Duration::from_millis(1_500);
/// Difference from which the end of a warm-up counts as another one than known. Entries
/// are read up to about a second after they were written.
const MIN_DIFFERENCE: Duration = Duration::from_secs(2);
/// Error of sums of tokens.
const ROUNDING: f64 = 1e-9;

/// Bound on the requests that a cold server gets from all hosts in any second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpBound {
    /// Allowed multiple of the server's rate.
    pub overage: f64,
    /// Requests allowed beyond that.
    pub slack: f64,
}

impl WarmUpBound {
    /// Returns the part of a server's rate that all callers use together.
    fn used_rate(self) -> f64 {
        USED_RATE.min(self.overage / CALLER_MARGIN)
    }

    /// Returns the number of hosts that may call a server with the rate `per_s`.
    ///
    /// In any second, each sends its share and a burst of one at most. The number is
    /// the largest for which half as many callers again stay within the bound.
    pub fn callers(self, per_s: f64) -> usize {
        let unused = (self.overage - CALLER_MARGIN * self.used_rate()) * per_s + self.slack;
        ((unused / CALLER_MARGIN) as usize).max(1)
    }

    /// Returns the rate at which one of `callers` hosts may call a server with the
    /// rate `per_s`, in requests per second.
    pub fn share_per_s(self, per_s: f64, callers: usize) -> f64 {
        self.used_rate() * per_s / callers.max(1) as f64
    }
}

/// What is known of the warm-up of one server, and this host's calls to it.
#[derive(Clone, Debug)]
pub(crate) struct WarmUp {
    limit: Option<WarmUpLimit>,
    /// Time until which the server is cold by its entry.
    entry_until: Instant,
    /// Time until which the server is cold by its last response that said so. Kept
    /// apart, since an entry that is read later may have been written earlier.
    response_until: Option<Instant>,
    /// Time at which the server may have become cold without having said so.
    doubted_at: Option<Instant>,
    pacer: Pacer,
}

impl WarmUp {
    pub(crate) fn new(limit: Option<WarmUpLimit>, left: Duration, now: Instant) -> Self {
        Self {
            limit,
            entry_until: now + left.min(MAX_WARM_UP),
            response_until: None,
            doubted_at: None,
            pacer: Pacer::new(now),
        }
    }

    pub(crate) fn set_limit(&mut self, limit: Option<WarmUpLimit>) {
        self.limit = limit;
    }

    /// Returns the limit of the server while it is cold.
    pub(crate) fn limit_if_cold(&self, now: Instant) -> Option<WarmUpLimit> {
        self.limit.filter(|_| !self.left(now).is_zero())
    }

    /// Records the remaining time that an entry states, and returns whether the warm-up
    /// ends at another time than was known.
    pub(crate) fn on_entry(&mut self, left: Duration, now: Instant) -> bool {
        let until = now + left.min(MAX_WARM_UP);
        let before = std::mem::replace(&mut self.entry_until, until);
        let before = before.max(now);
        until.max(before) - until.min(before) > MIN_DIFFERENCE
    }

    /// Records the remaining time that a response of the server states.
    pub(crate) fn on_response(&mut self, left: Duration, now: Instant) {
        self.response_until = Some(now + left.min(MAX_WARM_UP));
    }

    /// Records that the server may have become cold by `now` without having said so.
    pub(crate) fn on_doubt(&mut self, now: Instant) {
        self.doubted_at = Some(now);
    }

    /// Records that the entries matched the store at `at`.
    pub(crate) fn on_confirmed(&mut self, at: Instant) {
        if self.doubted_at.is_some_and(|since| at >= since + ENTRY_LAG) {
            self.doubted_at = None;
        }
    }

    /// Returns how much longer the server is cold or may be.
    fn left(&self, now: Instant) -> Duration {
        let duration = self.limit.map_or(Duration::ZERO, |limit| limit.duration);
        let known_until = self.response_until.max(Some(self.entry_until));
        let doubted_until = self.doubted_at.map(|since| since + duration);
        let until = known_until.max(doubted_until);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns the time until this host may call the server again.
    pub(crate) fn wait(&self, now: Instant) -> Duration {
        if self.limit_if_cold(now).is_none() {
            return Duration::ZERO;
        }
        let other_hosts = || self.left(now).min(OTHER_HOSTS_WAIT);
        self.pacer.wait(now).unwrap_or_else(other_hosts)
    }

    /// Returns whether the server is cold and other hosts may call it, but not this one.
    pub(crate) fn is_left_to_others(&self, now: Instant) -> bool {
        self.limit_if_cold(now).is_some() && self.pacer.per_s <= 0.0
    }

    /// Returns whether the server takes a call of this host within `max_wait`.
    pub(crate) fn is_open_within(&self, max_wait: Duration, now: Instant) -> bool {
        !self.is_left_to_others(now) && self.wait(now) <= max_wait
    }

    /// Returns the time until `call`, for which a call is reserved, may be sent.
    pub(crate) fn send_wait(&self, call: u64, now: Instant) -> Option<Duration> {
        self.limit_if_cold(now)?;
        let position = self
            .pacer
            .reserved
            .iter()
            .position(|other| *other == call)?;
        self.pacer.wait_behind(position, now)
    }

    /// Sets the rate at which this host may call the server while it is cold, 0 if it
    /// may not call it.
    pub(crate) fn set_share(&mut self, per_s: f64, now: Instant) {
        self.pacer.set_rate(per_s, now);
    }

    /// Reserves the next call to the server for `call`, until it is sent or ends.
    pub(crate) fn reserve(&mut self, call: u64, now: Instant) {
        if self.limit_if_cold(now).is_some() {
            self.pacer.reserved.push(call);
        }
    }

    /// Drops the reservation of a call that has ended.
    pub(crate) fn release(&mut self, call: u64) {
        self.pacer.reserved.retain(|other| *other != call);
    }

    /// Returns whether `call` may be sent now.
    pub(crate) fn admits(&self, call: u64, now: Instant) -> bool {
        self.limit_if_cold(now).is_none() || self.pacer.admits(call, now)
    }

    /// Counts a call that is sent now.
    pub(crate) fn on_sent(&mut self, call: u64, now: Instant) {
        self.release(call);
        self.pacer.on_sent(now);
    }

    /// Takes back [`on_sent`](Self::on_sent) for a call of which nothing was sent.
    pub(crate) fn on_not_sent(&mut self, call: u64, now: Instant) {
        self.pacer.on_not_sent(call, now);
    }
}

/// A token bucket for one token. A call takes it when it is sent, not when it is
/// picked, because calls may wait for a connection in between.
#[derive(Clone, Debug)]
struct Pacer {
    per_s: f64,
    tokens: f64,
    updated_at: Instant,
    /// Calls that were picked and not sent yet.
    reserved: Vec<u64>,
}

impl Pacer {
    fn new(now: Instant) -> Self {
        Self {
            per_s: 0.0,
            tokens: 0.0,
            updated_at: now,
            reserved: Vec::new(),
        }
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at);
        (self.tokens + elapsed.as_secs_f64() * self.per_s).min(1.0)
    }

    fn set_rate(&mut self, per_s: f64, now: Instant) {
        self.tokens = self.tokens_at(now);
        self.updated_at = now;
        self.per_s = per_s;
    }

    /// Returns the time until a further call may be picked, or `None` if this host
    /// has no share.
    fn wait(&self, now: Instant) -> Option<Duration> {
        self.wait_behind(self.reserved.len(), now)
    }

    /// Returns the time until a call may be sent that waits behind `others`.
    fn wait_behind(&self, others: usize, now: Instant) -> Option<Duration> {
        if self.per_s <= 0.0 {
            return None;
        }
        let missing = 1.0 + others as f64 - self.tokens_at(now);
        if missing <= ROUNDING {
            return Some(Duration::ZERO);
        }
        let wait = Duration::try_from_secs_f64(missing / self.per_s);
        Some(wait.unwrap_or(OTHER_HOSTS_WAIT))
    }

    /// Returns whether a token is left for `call` that no earlier call has reserved.
    fn admits(&self, call: u64, now: Instant) -> bool {
        let is_next = self.reserved.first().is_none_or(|first| *first == call);
        self.per_s > 0.0 && is_next && self.tokens_at(now) >= 1.0 - ROUNDING
    }

    fn on_sent(&mut self, now: Instant) {
        // Calls to the server while it was warm leave no debt.
        self.tokens = (self.tokens_at(now) - 1.0).max(0.0);
        self.updated_at = now;
    }

    fn on_not_sent(&mut self, call: u64, now: Instant) {
        self.tokens = (self.tokens_at(now) + 1.0).min(1.0);
        self.updated_at = now;
        self.reserved.insert(0, call);
    }
}
