//! Who watches the head in the store, and how often the others read it.
//!
//! The store counts a waiting watch as a call, and its rates do not grow with
//! the fleet. A few hosts, picked like the relays of a service, therefore hold
//! the watch, and the exchange tells all others what they find. The others
//! still read the head now and then, so that a fleet whose watches all went
//! silent finds a change too. Membership is a hint here as well: two hosts
//! that both think it their duty cost a call.

use {
    crate::{relay_set, Member},
    rand::Rng,
    std::time::Duration,
};

/// Share of the hosts that watch in a small fleet.
const HOSTS_PER_WATCHER: usize = 2;
/// Least number of watchers: two zones can be lost with theirs.
const MIN_WATCHERS: usize = 4;
/// Largest number of watchers, one for each zone of a large fleet and a few more.
const MAX_WATCHERS: usize = 16;
/// Pause for each reading host, so that some host reads twice a second.
const READ_PAUSE_PER_HOST: Duration = Duration::from_millis(500);
/// Least pause between two reads of a host, short enough for one host alone to
/// find a change in time for the others.
const MIN_READ_PAUSE: Duration = Duration::from_secs(4);
/// Longest pause after the first failed call.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause after any failed call.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(4);
/// Doublings after which the pause is the longest.
const MAX_DOUBLINGS: u32 = 3;

/// What a host does to learn of a new head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeadDuty {
    /// Holds a watch.
    Watch,
    /// Reads the head once in each pause.
    Read {
        /// Pause between two reads, without its jitter.
        pause: Duration,
    },
}

/// Returns the number of hosts that watch in a fleet of `members`.
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
    let share = members / HOSTS_PER_WATCHER;
    share.clamp(MIN_WATCHERS, MAX_WATCHERS).min(members)
}

/// Returns the duty of the host `own_id` towards the head under `key`.
pub fn head_duty(key: &str, own_id: &str, members: &[Member]) -> HeadDuty {
    let watchers = relay_set(key, members, watcher_count(members.len()));
    if watchers.iter().any(|watcher| watcher.id == own_id) {
        return HeadDuty::Watch;
    }
    let readers = u32::try_from(members.len() - watchers.len()).unwrap_or(u32::MAX);
    let pause = READ_PAUSE_PER_HOST.saturating_mul(readers);
    HeadDuty::Read {
        pause: pause.max(MIN_READ_PAUSE),
    }
}

/// Returns the time from taking up the duty to the first read.
///
/// It lies anywhere within one pause, so that hosts that start together
/// neither read together nor leave a long time without any read.
pub fn first_read_pause(pause: Duration, rng: &mut impl Rng) -> Duration {
    pause.mul_f64(rng.random_range(0.0..1.0))
}

/// Returns the time from one read to the next.
pub fn next_read_pause(pause: Duration, rng: &mut impl Rng) -> Duration {
    pause.mul_f64(rng.random_range(0.8..1.2))
}

/// Pauses between failed calls: twice as long after each, up to a limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryPause {
    failures: u32,
}

impl RetryPause {
    /// Notes a failed call and returns the pause before the next.
    pub fn on_failure(&mut self, rng: &mut impl Rng) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let longest = (FIRST_RETRY_PAUSE * (1 << doublings)).min(MAX_RETRY_PAUSE);
        // Hosts that lost the store together must not come back together.
        longest.mul_f64(rng.random_range(0.5..1.0))
    }

    /// Notes a call that went well.
    pub fn on_success(&mut self) {
        self.failures = 0;
    }
}
