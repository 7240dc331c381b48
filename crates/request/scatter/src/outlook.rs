//! Whether a query over many shards can be answered in time.
//!
//! Answers the load of heavy days, on which some shards have less room than
//! their callers ask for. Every query needs nearly all shards, so that queries
//! that are all let in wait for the same few shards and are all late. A query
//! that would wait there is refused before any server is asked: those that
//! are let in are in time, and the caller can come back at once.

use {
    routing::ServiceName,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Time for which a peer's word on a shard counts: queues last for about a
/// tenth of a second, and without news the next query finds out.
const MEMORY: Duration = Duration::from_millis(250);
/// Part of a query's target by which enough shards may be delayed; the rest is
/// for the way, the work itself and what the forecast misses.
const PATIENCE: f64 = 0.5;

/// Weight of a new sample in the mean time between queries that are let in.
const PACE_WEIGHT: f64 = 0.1;
/// Most that one sample counts: a pause without callers says nothing of room.
const MOST_PACE: Duration = Duration::from_millis(250);
/// Longest time after which a caller is told to come back: heavy loads last for
/// seconds, and nothing is known of the time after.
const MOST_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Why a query is not let in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Time by which enough shards are expected to answer late.
    pub delay: Duration,
    /// Delay up to which the query would have been let in.
    pub most: Duration,
    /// Time after which the caller may come back.
    pub retry_after: Duration,
}

/// What is known of the shards' room, and whom it was promised to.
#[derive(Debug, Default)]
pub struct Outlook {
    /// Delays as peers told of them: the time to an answer beyond that of an idle server.
    delays: HashMap<ServiceName, (Duration, Instant)>,
    /// Mean time between queries that are let in.
    pace: Duration,
    let_in_at: Option<Instant>,
    /// When the last refused caller was told to come back.
    returns_at: Option<Instant>,
}

impl Outlook {
    /// Takes a peer's word on the delay at a shard.
    pub fn learn(&mut self, shard: &ServiceName, delay: Duration, now: Instant) {
        match self.delays.get_mut(shard) {
            Some(known) => *known = (delay, now),
            None => {
                self.delays.insert(shard.clone(), (delay, now));
            }
        }
    }

    /// Forgets what peers told too long ago, as of shards that are gone.
    pub fn forget_old(&mut self, now: Instant) {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < MEMORY;
        self.delays.retain(|_, (_, at)| is_fresh(*at));
    }

    /// Returns the delay at a shard, as far as a peer told of it a moment ago.
    fn told(&self, shard: &ServiceName, now: Instant) -> Option<Duration> {
        let (delay, at) = self.delays.get(shard)?;
        (now.saturating_duration_since(*at) < MEMORY).then_some(*delay)
    }

    /// Returns why a query is not let in, or `None` if it is.
    ///
    /// A peer's word goes before `own`, the delay that this host knows of
    /// itself. Shards of which nobody knows anything are expected to answer.
    ///
    /// Callers are told to come back one by one, at the pace at which others
    /// are let in: all at once they would find no room again.
    pub fn refusal(
        &mut self,
        shards: &[ServiceName],
        min_share: f64,
        target: Duration,
        now: Instant,
        own: impl Fn(&ServiceName) -> Option<Duration>,
    ) -> Option<Refusal> {
        let delay = |shard| self.told(shard, now).or_else(|| own(shard));
        let delays = shards.iter().map(|shard| delay(shard).unwrap_or_default());
        let delay = delay_of_enough(delays.collect(), min_share).unwrap_or_default();
        let most = target.mul_f64(PATIENCE);
        if delay <= most {
            self.on_let_in(now);
            return None;
        }
        let after_last = self.returns_at.map(|at| at + self.pace);
        let soonest = now + delay.min(MOST_RETRY_AFTER);
        let returns_at = after_last.unwrap_or(now).max(soonest);
        let returns_at = returns_at.min(now + MOST_RETRY_AFTER);
        self.returns_at = Some(returns_at);
        Some(Refusal {
            delay,
            most,
            retry_after: returns_at.saturating_duration_since(now),
        })
    }

    fn on_let_in(&mut self, now: Instant) {
        let since = self.let_in_at.replace(now);
        let since = since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let since = since.min(MOST_PACE);
        self.pace = self.pace.mul_f64(1.0 - PACE_WEIGHT) + since.mul_f64(PACE_WEIGHT);
    }
}

/// Returns the delay after which `min_share` of the shards with `delays` have answered.
fn delay_of_enough(mut delays: Vec<Duration>, min_share: f64) -> Option<Duration> {
    // The tolerance keeps 0.89 of 100 parts at 89, whatever the rounding.
    let needed = (delays.len() as f64 * min_share - 1e-9).ceil() as usize;
    let last = needed.clamp(1, delays.len().max(1)) - 1;
    (last < delays.len()).then(|| *delays.select_nth_unstable(last).1)
}
