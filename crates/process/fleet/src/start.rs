//! Tells callers when a starting host will take their requests.
//!
//! Load: all hosts lose power at once and start together, and their callers, most of
//! which try a second time only once, come back before the hosts know anything.

use std::time::Duration;

/// Time within which most hosts know the configuration and the servers: one search
/// for hosts, and the start of the host that reads the store for the others.
const USUAL_START: Duration = Duration::from_millis(600);
/// Shortest and longest time after which a caller is asked to come back.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));

/// Returns when a caller should come back to a host that has been starting for
/// `elapsed`.
///
/// A host that takes longer than usual waits for the store or for other hosts; then
/// the rest of the start is guessed from its length so far.
pub fn retry_after_start(elapsed: Duration) -> Duration {
    let rest = USUAL_START
        .checked_sub(elapsed)
        .unwrap_or_default()
        .max(elapsed.saturating_sub(USUAL_START) / 2);
    rest.clamp(RETRY_AFTER.0, RETRY_AFTER.1)
}
