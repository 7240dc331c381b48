//! What the losses of servers prove about one request that ran on them.
//!
//! Load: requests that end each server that runs them, among harmless ones that many
//! callers send and whose servers are lost together, as in a power cut.

use {
    routing::ServiceName,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Time within which losses count as one moment. It covers the difference between the
/// delays with which hosts see and report them.
pub(crate) const LOSS_MOMENT: Duration = Duration::from_millis(250);
/// Least number of servers whose loss within a short time is a mass failure.
pub(crate) const MIN_MASS_FAILURE_SERVERS: usize = 5;
/// Number of servers that a mass failure of a service counts for against one request.
/// One less than begins a hold, so that a further crash is needed.
const MASS_FAILURE_WEIGHT: usize = CRASHES_TO_HOLD - 1;
/// Number of servers that a request ends before it is held back.
pub const CRASHES_TO_HOLD: usize = 3;

/// Returns whether a mass failure explains losses better than one request does: many
/// servers were `lost`, and the request ran on less than half of them.
pub(crate) const fn is_unrelated_mass_failure(lost: usize, lost_under_request: usize) -> bool {
    lost >= MIN_MASS_FAILURE_SERVERS && lost_under_request * 2 < lost
}

/// The losses of servers of one service under one request.
#[derive(Debug, Default)]
struct ServiceLosses {
    /// Beginning of each moment, and the number of servers lost in it.
    moments: Vec<(Instant, usize)>,
}

impl ServiceLosses {
    /// Adds a loss that is not earlier than those before it.
    fn add(&mut self, at: Instant) {
        match self.moments.last_mut() {
            Some((since, count)) if at < *since + LOSS_MOMENT => *count += 1,
            _ => self.moments.push((at, 1)),
        }
    }

    /// Returns the number of servers that count against the request. A request runs on
    /// a few servers of a service at a time, so that a loss of many has another cause.
    fn weight(&self) -> usize {
        let weights = self.moments.iter().map(|(_, count)| match count {
            MIN_MASS_FAILURE_SERVERS.. => MASS_FAILURE_WEIGHT,
            count => *count,
        });
        weights.sum()
    }
}

/// Returns whether a request has ended too many servers, given the `losses` under it
/// that no answer has followed. `is_answered` tells whether other services answer it.
///
/// One that others answer may have met servers that were lost together, of many
/// services at one moment. It is harmful if a service has lost enough servers, or
/// several services have lost servers under it again and again.
pub(crate) fn is_harmful<'a>(
    losses: impl Iterator<Item = (&'a ServiceName, Instant)>,
    is_answered: bool,
) -> bool {
    let mut losses: Vec<_> = losses.collect();
    losses.sort_by_key(|(_, at)| *at);
    let mut services: BTreeMap<&ServiceName, ServiceLosses> = BTreeMap::new();
    for (service, at) in losses {
        services.entry(service).or_default().add(at);
    }
    if services
        .values()
        .any(|lost| lost.weight() >= CRASHES_TO_HOLD)
    {
        return true;
    }
    let counted = services
        .values()
        .filter(|lost| !is_answered || lost.moments.len() > 1);
    counted.map(ServiceLosses::weight).sum::<usize>() >= CRASHES_TO_HOLD
}

/// Returns how many times a request has come again after it had ended the third server,
/// given the times of all `losses` under it. They count like canaries.
pub(crate) fn late_attempts(losses: impl Iterator<Item = Instant>) -> usize {
    let mut losses: Vec<_> = losses.collect();
    losses.sort();
    let Some(third) = losses.get(CRASHES_TO_HOLD - 1) else {
        return 0;
    };
    let mut last = *third;
    let mut attempts = 0;
    for at in losses {
        if at >= last + LOSS_MOMENT {
            attempts += 1;
            last = at;
        }
    }
    attempts
}
