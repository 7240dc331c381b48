//! How long the next call to a server will take, and what it costs.
//!
//! Answers the load of heavy days, in which some servers pause, some are slow
//! for seconds and all have queues: a call goes where its answer is expected
//! first, and what is expected decides if a second call is worth making.

use {
    crate::{server::Server, Distance},
    std::time::{Duration, Instant},
};

/// Time added for a server that owes an answer for longer than expected. A
/// pause lasts a few tenths of a second, and some of it is over when it shows.
const STALL: Duration = Duration::from_millis(100);
/// Time that a failed call costs a request until its retry is as far.
const FAILURE_COST: Duration = Duration::from_millis(60);
/// Further time that it costs if no retry is left, so that the part is lost.
/// It has to outweigh the queue of the other servers, a few tenths of a second.
const LOSS_COST: Duration = Duration::from_millis(240);
/// Handicap of a server in another region, whose traffic is dear.
const FAR_HANDICAP: Duration = Duration::from_millis(8);
/// Handicap of a server in another zone of the region.
const REGION_HANDICAP: Duration = Duration::from_millis(1);

/// Returns the time from sending the next call to `server` to its answer.
pub(crate) fn expected(server: &Server, typical_ms: f64, now: Instant) -> Duration {
    let slots = f64::from(server.entry.slots.max(1));
    let service_ms = typical_ms * server.slowness(now);
    let waiting = (server.queue(now) + 1.0 - slots).max(0.0);
    let wait_ms = waiting / slots * service_ms;
    let answered_in = Duration::from_secs_f64((service_ms + wait_ms) / 1_000.0);
    let stall = server.overdue(now).map_or(Duration::ZERO, |_| STALL);
    server.round_trip() + answered_in + stall
}

/// Returns whether `server` has a slot for one more call, so that the call delays no other.
pub(crate) fn is_free(server: &Server, now: Instant) -> bool {
    has_slot(server, now) && server.overdue(now).is_none()
}

/// Returns whether not all slots of `server` are taken.
pub(crate) fn has_slot(server: &Server, now: Instant) -> bool {
    server.queue(now) + 0.5 < f64::from(server.entry.slots.max(1))
}

/// Returns what a call costs beside the time to its answer.
///
/// `reserve` says how well a failure can be made good, from 0 to 1.
pub(crate) fn handicap(server: &Server, reserve: f64) -> Duration {
    let distance = match server.distance {
        Distance::Zone => Duration::ZERO,
        Distance::Region => REGION_HANDICAP,
        Distance::Far => FAR_HANDICAP,
    };
    let failure_cost = FAILURE_COST + LOSS_COST.mul_f64(1.0 - reserve);
    distance + failure_cost.mul_f64(server.failure_share())
}
