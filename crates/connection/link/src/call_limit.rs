//! How many calls this host keeps in flight to one server.
//!
//! The record states the slots of a server, but it may have fewer, or other
//! users. Its limit is therefore a share of the stated one that falls with each
//! refusal for load and grows with replies, so that calls wait on this host, in
//! the order of their ranks, and are not refused. It is whole again once no refusal
//! has come for a while, since a server that is limited may get no calls to reply to.

use std::time::{Duration, Instant};

/// Growth of the share with each reply.
const INCREASE: f64 = 0.0125;
/// Factor on the share with each refusal.
const DECREASE: f64 = 0.8;
/// Least share.
const MIN_SHARE: f64 = 0.1;

/// Time after which a refusal no longer counts.
const SHED_MEMORY: Duration = Duration::from_secs(5);

/// The share of the stated limit that a server gets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallLimit {
    share: f64,
    shed_at: Option<Instant>,
}

impl Default for CallLimit {
    fn default() -> Self {
        Self {
            share: 1.0,
            shed_at: None,
        }
    }
}

impl CallLimit {
    /// Returns the number of calls to keep in flight, of the `stated` ones, at least one.
    pub(crate) fn of(&self, stated: usize, now: Instant) -> usize {
        ((stated as f64 * self.share(now)).round() as usize).max(1)
    }

    /// Returns whether it is below what is stated.
    pub(crate) fn is_reduced(&self, now: Instant) -> bool {
        self.share(now) < 1.0
    }

    pub(crate) fn on_reply(&mut self, now: Instant) {
        self.share = (self.share(now) + INCREASE).min(1.0);
    }

    pub(crate) fn on_shed(&mut self, now: Instant) {
        self.share = (self.share(now) * DECREASE).max(MIN_SHARE);
        self.shed_at = Some(now);
    }

    fn share(&self, now: Instant) -> f64 {
        let is_recent = |at| now.saturating_duration_since(at) < SHED_MEMORY;
        if self.shed_at.is_some_and(is_recent) {
            self.share
        } else {
            1.0
        }
    }
}
