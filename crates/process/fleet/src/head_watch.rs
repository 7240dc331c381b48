//! Selects the hosts that watch the head in the store, and how often the
//! others read it.
//!
//! The store counts each pending watch as a call, and its rate limits do not
//! grow with the number of hosts. Only a few hosts, selected like the relays
//! of a service, therefore hold a watch, and the exchange passes changes on to
//! the others. The others still read the head periodically, so that a change
//! is found even if every watch has silently stopped. Membership views may
//! differ between hosts; a host that watches in addition only costs a call.

use {
    crate::{relay_set, Member},
    rand::Rng,
    std::time::Duration,
};

/// Hosts for each watcher in a small fleet.
const HOSTS_PER_WATCHER: usize = 2;
/// Minimum number of watchers, so that two zones can fail with their watchers.
const MIN_WATCHERS: usize = 4;
/// Maximum number of watchers: one for each zone of a large fleet and a few more.
const MAX_WATCHERS: usize = 16;
/// Pause for each reading host, so that the fleet as a whole reads twice a second.
const READ_PAUSE_PER_HOST: Duration = Duration::from_millis(500);
/// Minimum pause between two reads of a host, short enough that a single
/// reading host finds a change in time for the others.
const MIN_READ_PAUSE: Duration = Duration::from_secs(4);
/// Maximum pause after the first failed call.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Maximum pause after any failed call.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(4);
/// Doublings after which the pause no longer grows.
const MAX_DOUBLINGS: u32 = 3;

/// How a host learns of a new head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeadAccess {
    /// The host holds a watch.
    Watch,
    /// The host reads the head periodically.
    Read {
        /// Pause between two reads, before jitter.
        pause: Duration,
    },
}

/// Returns the number of hosts that watch in a fleet of `members` hosts.
///
/// # Examples
///
/// ```
/// use fleet::watcher_count;
///
/// assert_eq!(watcher_count(8), 4);
/// assert_eq!(watcher_count(1_300), 16);
/// ```
pub fn watcher_count(members: usize) -> usize {
    let watchers = members / HOSTS_PER_WATCHER;
    watchers.clamp(MIN_WATCHERS, MAX_WATCHERS).min(members)
}

/// Returns whether the host `own_id` watches or reads the head under `key`.
pub fn head_access(key: &str, own_id: &str, members: &[Member]) -> HeadAccess {
    let watchers = relay_set(key, members, watcher_count(members.len()));
    if watchers.iter().any(|watcher| watcher.id == own_id) {
        return HeadAccess::Watch;
    }
    let readers = u32::try_from(members.len() - watchers.len()).unwrap_or(u32::MAX);
    let pause = READ_PAUSE_PER_HOST.saturating_mul(readers);
    HeadAccess::Read {
        pause: pause.max(MIN_READ_PAUSE),
    }
}

/// Returns the time until the first read.
///
/// It is uniform within one pause, so that hosts that start together spread
/// their reads evenly over time.
pub fn first_read_pause(pause: Duration, rng: &mut impl Rng) -> Duration {
    pause.mul_f64(rng.random_range(0.0..1.0))
}

/// Returns the time from one read to the next, with a jitter of 20%.
pub fn next_read_pause(pause: Duration, rng: &mut impl Rng) -> Duration {
    pause.mul_f64(rng.random_range(0.8..1.2))
}

/// Exponential backoff with jitter between failed calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryBackoff {
    failures: u32,
}

impl RetryBackoff {
    /// Records a failed call and returns the pause before the next.
    pub fn on_failure(&mut self, rng: &mut impl Rng) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let max_pause = (FIRST_RETRY_PAUSE * (1 << doublings)).min(MAX_RETRY_PAUSE);
        // Jitter keeps hosts that lost the store together from retrying together.
        max_pause.mul_f64(rng.random_range(0.5..1.0))
    }

    /// Resets the backoff after a successful call.
    pub fn on_success(&mut self) {
        self.failures = 0;
    }
}
