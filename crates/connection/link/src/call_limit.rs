//! An adaptive limit on the calls that this host has in flight to one server.
//!
//! The record configures the number of slots of a server, but the server may
//! have fewer slots or other clients. The effective limit is therefore a
//! fraction of the configured one. Each refusal for overload decreases it and
//! each reply increases it, so that excess calls wait on this host, in the order
//! of their ranks, and are not refused by the server. The fraction returns to 1
//! once no refusal has come for a while, because a limited server may get no
//! calls whose replies could raise it.

use std::time::{Duration, Instant};

/// Amount added to the fraction with each reply.
const INCREASE: f64 = 0.0125;
/// Factor applied to the fraction with each refusal.
const DECREASE_FACTOR: f64 = 0.8;
/// Smallest fraction.
const MIN_FRACTION: f64 = 0.1;

/// Time after which a refusal no longer counts.
const REFUSAL_TTL: Duration = Duration::from_secs(5);

/// The fraction of the configured limit that is in effect for a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallLimit {
    fraction: f64,
    last_refusal_at: Option<Instant>,
}

impl Default for CallLimit {
    fn default() -> Self {
        Self {
            fraction: 1.0,
            last_refusal_at: None,
        }
    }
}

impl CallLimit {
    /// Returns how many calls may be in flight if `configured` is the full limit.
    ///
    /// The result is at least 1.
    pub(crate) fn effective(&self, configured: usize, now: Instant) -> usize {
        ((configured as f64 * self.fraction(now)).round() as usize).max(1)
    }

    /// Returns whether the limit is below the configured one.
    pub(crate) fn is_reduced(&self, now: Instant) -> bool {
        self.fraction(now) < 1.0
    }

    pub(crate) fn on_reply(&mut self, now: Instant) {
        self.fraction = (self.fraction(now) + INCREASE).min(1.0);
    }

    pub(crate) fn on_shed(&mut self, now: Instant) {
        self.fraction = (self.fraction(now) * DECREASE_FACTOR).max(MIN_FRACTION);
        self.last_refusal_at = Some(now);
    }

    fn fraction(&self, now: Instant) -> f64 {
        let is_recent = |at| now.saturating_duration_since(at) < REFUSAL_TTL;
        if self.last_refusal_at.is_some_and(is_recent) {
            self.fraction
        } else {
            1.0
        }
    }
}
