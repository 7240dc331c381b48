//! Forecast of whether a query over many shards can be answered on time.
//!
//! Under overload, some shards have less capacity than callers demand. Every
//! query needs nearly all shards, so if all queries are admitted, they all
//! wait for the same few shards and are all late. A query that would wait too
//! long is therefore refused before any server is called: admitted queries
//! finish on time, and refused callers learn early when to retry.

use {
    routing::ServiceName,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Time for which a peer's report on a shard is used. Queues last for about
/// 100 ms, and without a report the next query shows the current delay.
const REPORT_LIFETIME: Duration = Duration::from_millis(250);
/// Time for which an older report tells that a shard may be overloaded. A host that
/// gets a request every few seconds has no newer one.
const REPORT_RETENTION: Duration = Duration::from_secs(10);
/// Age from which reports are renewed if they matter. Half a queue may have passed by
/// then, and renewing them more often costs calls to the relays.
const MIN_RENEWAL_AGE: Duration = Duration::from_millis(50);
/// Share of a query's target latency from which on a reported delay matters: half of
/// that at which queries are refused.
const SUSPECT_DELAY_SHARE: f64 = 0.25;
/// Time for which a host without any report, such as one without relays, asks for none.
const ASK_INTERVAL: Duration = Duration::from_secs(60);
/// Share of a query's target latency that queueing may take; the rest is for the
/// network, the work itself and errors of the forecast.
const MAX_DELAY_SHARE: f64 = 0.5;

/// Weight of a new sample in the moving average of the time between admitted queries.
const INTERVAL_WEIGHT: f64 = 0.1;
/// Upper bound of one sample: a pause without callers says nothing about capacity.
const MAX_INTERVAL: Duration = Duration::from_millis(250);
/// Upper bound of the retry time given to callers. Overload lasts for seconds,
/// and the forecast does not extend beyond that.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Details of a refused query.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Forecast delay of the answers from the minimum share of shards.
    pub delay: Duration,
    /// Maximum delay at which the query would have been admitted.
    pub max_delay: Duration,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

/// Forecast of the delays of shards, and the retry times given to refused callers.
#[derive(Debug, Default)]
pub struct DelayForecast {
    /// Delays reported by peers: the response time beyond that of an idle server.
    reported_delays: HashMap<ServiceName, (Duration, Instant)>,
    /// Moving average of the time between admitted queries.
    admit_interval: Duration,
    admitted_at: Option<Instant>,
    /// When this host last asked its relays for reports.
    asked_at: Option<Instant>,
    /// Latest retry time given to a refused caller.
    last_retry_at: Option<Instant>,
}

impl DelayForecast {
    /// Records the delay of a shard that a peer reports.
    pub fn on_reported_delay(&mut self, shard: &ServiceName, delay: Duration, now: Instant) {
        match self.reported_delays.get_mut(shard) {
            Some(reported) => *reported = (delay, now),
            None => {
                self.reported_delays.insert(shard.clone(), (delay, now));
            }
        }
    }

    /// Removes expired reports, such as those of shards that no longer exist.
    pub fn remove_expired(&mut self, now: Instant) {
        let is_kept = |at: Instant| now.saturating_duration_since(at) < REPORT_RETENTION;
        self.reported_delays.retain(|_, (_, at)| is_kept(*at));
    }

    /// Returns whether the relays should be asked for the delays of `shards` before
    /// [`refusal`](Self::refusal): this host has just started, or it knows only that they
    /// may have been overloaded some time ago.
    ///
    /// Load: hundreds of hosts with a query every few seconds each. Without asking, each
    /// admits its queries, as its last report has expired; relying on old reports instead
    /// refuses queries for seconds after a burst.
    pub fn needs_reports(
        &self,
        shards: &[ServiceName],
        min_share: f64,
        target: Duration,
        now: Instant,
    ) -> bool {
        let age = |at| now.saturating_duration_since(at);
        let since_asked = self.asked_at.map(age);
        if since_asked.is_some_and(|age| age < MIN_RENEWAL_AGE) {
            return false;
        }
        let reports = || shards.iter().map(|shard| self.reported_delays.get(shard));
        let Some(oldest_at) = reports().flatten().map(|(_, at)| *at).min() else {
            return since_asked.is_none_or(|age| age >= ASK_INTERVAL);
        };
        let delays = reports().map(|report| report.map_or(Duration::ZERO, |(delay, _)| *delay));
        let delay = delay_of_min_share(delays.collect(), min_share).unwrap_or_default();
        age(oldest_at) >= MIN_RENEWAL_AGE && delay > target.mul_f64(SUSPECT_DELAY_SHARE)
    }

    /// Records that this host asks its relays for reports.
    pub fn on_asked(&mut self, now: Instant) {
        self.asked_at = Some(now);
    }

    /// Returns the delay of a shard from a peer's report that has not expired.
    fn reported_delay(&self, shard: &ServiceName, now: Instant) -> Option<Duration> {
        let (delay, at) = self.reported_delays.get(shard)?;
        (now.saturating_duration_since(*at) < REPORT_LIFETIME).then_some(*delay)
    }

    /// Returns the refusal of a query, or `None` if it is admitted.
    ///
    /// A peer's report takes precedence over `local_delay`, this host's own
    /// estimate. Shards without either are assumed to have no delay.
    ///
    /// Retry times of callers are spaced by the average time between admitted
    /// queries: callers that all retried at once would be refused again.
    pub fn refusal(
        &mut self,
        shards: &[ServiceName],
        min_share: f64,
        target: Duration,
        now: Instant,
        local_delay: impl Fn(&ServiceName) -> Option<Duration>,
    ) -> Option<Refusal> {
        let delay = |shard| {
            self.reported_delay(shard, now)
                .or_else(|| local_delay(shard))
        };
        let delays = shards.iter().map(|shard| delay(shard).unwrap_or_default());
        let delay = delay_of_min_share(delays.collect(), min_share).unwrap_or_default();
        let max_delay = target.mul_f64(MAX_DELAY_SHARE);
        if delay <= max_delay {
            self.on_admitted(now);
            return None;
        }
        let after_last_retry = self.last_retry_at.map(|at| at + self.admit_interval);
        let earliest = now + delay.min(MAX_RETRY_AFTER);
        let retry_at = after_last_retry.unwrap_or(now).max(earliest);
        let retry_at = retry_at.min(now + MAX_RETRY_AFTER);
        self.last_retry_at = Some(retry_at);
        Some(Refusal {
            delay,
            max_delay,
            retry_after: retry_at.saturating_duration_since(now),
        })
    }

    fn on_admitted(&mut self, now: Instant) {
        let interval = self.admitted_at.replace(now);
        let interval = interval.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let interval = interval.min(MAX_INTERVAL);
        self.admit_interval =
            self.admit_interval.mul_f64(1.0 - INTERVAL_WEIGHT) + interval.mul_f64(INTERVAL_WEIGHT);
    }
}

/// Returns the delay after which `min_share` of the shards with these `delays` have answered.
fn delay_of_min_share(mut delays: Vec<Duration>, min_share: f64) -> Option<Duration> {
    // The tolerance absorbs rounding errors, so that 0.89 of 100 parts is 89.
    let needed = (delays.len() as f64 * min_share - 1e-9).ceil() as usize;
    let last = needed.clamp(1, delays.len().max(1)) - 1;
    (last < delays.len()).then(|| *delays.select_nth_unstable(last).1)
}
