//! Divides the time within which hosts obey a change of the store.
//!
//! Load: hundreds of hosts that learn of changes from each other, while the host that
//! reads the store for them is cut off from it, or another on the way does not answer.
//!
//! A change passes these steps before the last request that ignores it arrives:
//!
//! | Step | Bound |
//! | --- | --- |
//! | a host accepts the data of others, which may lack the change | [`ChangeBudget::max_staleness`] |
//! | it asks others for newer data, some of which do not answer | [`ChangeBudget::SEARCH_TIME`] |
//! | it reads the store itself | [`ChangeBudget::READ_TIME`] |
//! | what was sent before is on its way | [`ChangeBudget::SEND_TIME`] |
//!
//! The first bound is what the others leave of the promised time, so that the sum
//! never exceeds it.

use std::time::Duration;

/// Longest time for which a host holds another's request open to wait for changes.
pub const MAX_CHANGES_WAIT: Duration = Duration::from_millis(500);

/// Shortest time within which hosts can obey a change, with looks at the store every
/// tenth of a second.
const MIN_TOTAL: Duration = Duration::from_millis(1_000);
/// Longest pause between two looks of the reader at the store.
const LONGEST_POLL_PAUSE: Duration = Duration::from_millis(900);

/// The time within which all hosts obey a change of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChangeBudget {
    total: Duration,
}

/// How to ask another host for changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SourceRequest {
    /// Time for which the other host may wait for changes.
    pub wait: Duration,
    /// Time after which the other host counts as silent.
    pub timeout: Duration,
}

impl ChangeBudget {
    /// Time for asking other hosts once the own data is too old. One round trip to
    /// another region fits.
    pub const SEARCH_TIME: Duration = Duration::from_millis(400);
    /// Time for reading the store.
    pub const READ_TIME: Duration = Duration::from_millis(200);
    /// Time for which a request that was sent before is on its way.
    pub const SEND_TIME: Duration = Duration::from_millis(200);

    /// Creates the budget for changes that are obeyed within `total`, or within the
    /// shortest time that hosts can keep if that is longer.
    pub fn new(total: Duration) -> Self {
        Self {
            total: total.max(MIN_TOTAL),
        }
    }

    /// Returns the greatest age of data that a host accepts from another.
    pub fn max_staleness(self) -> Duration {
        let other_steps = Self::SEARCH_TIME + Self::READ_TIME + Self::SEND_TIME;
        self.total.saturating_sub(other_steps)
    }

    /// Returns the pause between two looks of the reader at the store, which is the age
    /// that its data reaches when nothing fails.
    pub fn poll_pause(self) -> Duration {
        LONGEST_POLL_PAUSE.min(self.max_staleness() / 2)
    }

    /// Returns how to ask the next source for newer data, or `None` if it is time to
    /// read the store.
    ///
    /// `asked` sources were asked in vain before, `age` is that of the own data. Only a
    /// source that `may_wait`, since it gave the own data, waits for changes. No wait
    /// exceeds the time until the own data is older than `max_staleness`, and after
    /// that time the sources together have [`SEARCH_TIME`](Self::SEARCH_TIME), of which
    /// one that was not asked first takes no more than half.
    pub fn next_request(
        max_staleness: Duration,
        asked: usize,
        may_wait: bool,
        age: Option<Duration>,
    ) -> Option<SourceRequest> {
        // A host without any data has nothing to obey yet.
        let age = age.unwrap_or(Duration::ZERO);
        let fresh_for = max_staleness.saturating_sub(age);
        let mut left = (max_staleness + Self::SEARCH_TIME).saturating_sub(age);
        let mut answer_time = Self::SEARCH_TIME / 2;
        if asked == 0 {
            // After an outage of the store all data is old.
            left = left.max(Self::SEARCH_TIME);
            answer_time = Self::SEARCH_TIME;
        }
        let wait = if may_wait {
            MAX_CHANGES_WAIT.min(fresh_for)
        } else {
            Duration::ZERO
        };
        (!left.is_zero()).then(|| SourceRequest {
            wait,
            timeout: (wait + answer_time).min(left),
        })
    }
}
