//! Forecasts the latency of the next call to a server and the cost of the call.
//!
//! Designed for days of heavy load, on which some servers pause, some are slow
//! for seconds and all have queues. A call goes to the server whose answer is
//! expected first, and the expected latency also decides whether a second call
//! is worthwhile.

use {
    crate::{server::Server, Distance},
    std::time::{Duration, Instant},
};

/// Time added to the expected latency of a server with an overdue call. A pause
/// lasts a few hundred milliseconds, and part of it has passed by the time it
/// is detected.
const STALL_PENALTY: Duration = Duration::from_millis(100);
/// Time that a failed call costs a request until the retry has got equally far.
const FAILURE_PENALTY: Duration = Duration::from_millis(60);
/// Additional cost of a failure if no retry is left, so that the answer lacks
/// the part. It must outweigh the queues of the other servers, which are a few
/// hundred milliseconds long.
const NO_RETRY_PENALTY: Duration = Duration::from_millis(240);
/// Penalty for a server in another region, since traffic between regions is expensive.
const OTHER_REGION_PENALTY: Duration = Duration::from_millis(8);
/// Penalty for a server in another zone of the region.
const REGION_PENALTY: Duration = Duration::from_millis(1);

/// Returns the expected time from sending the next call to `server` to its answer.
pub(crate) fn expected_latency(server: &Server, median_ms: f64, now: Instant) -> Duration {
    let slots = f64::from(server.entry.slots.max(1));
    let service_ms = median_ms * server.latency_ratio(now) * server.slowness(now);
    let waiting = (server.queue(now) + 1.0 - slots).max(0.0);
    let wait_ms = waiting / slots * service_ms;
    let time_at_server = Duration::from_secs_f64((service_ms + wait_ms) / 1_000.0);
    let stall = server
        .overdue(now)
        .map_or(Duration::ZERO, |_| STALL_PENALTY);
    server.round_trip() + time_at_server + stall
}

/// Returns whether `server` can run another call at once, without delaying others.
pub(crate) fn is_free(server: &Server, now: Instant) -> bool {
    has_free_slot(server, now) && server.overdue(now).is_none()
}

/// Returns whether `server` has a free slot.
pub(crate) fn has_free_slot(server: &Server, now: Instant) -> bool {
    server.queue(now) + 0.5 < f64::from(server.entry.slots.max(1))
}

/// Returns the cost of a call to `server` in addition to its expected latency.
///
/// `retry_reserve` tells from 0 to 1 how far the remaining retries can make up for a
/// failure.
pub(crate) fn penalty(server: &Server, retry_reserve: f64) -> Duration {
    let distance = match server.distance {
        Distance::Zone => Duration::ZERO,
        Distance::Region => REGION_PENALTY,
        Distance::OtherRegion => OTHER_REGION_PENALTY,
    };
    let failure = FAILURE_PENALTY + NO_RETRY_PENALTY.mul_f64(1.0 - retry_reserve);
    distance + failure.mul_f64(server.failure_rate())
}
