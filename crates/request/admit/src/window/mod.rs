//! Control of the window, the number of queries that may run at once.

mod baseline;
mod delay;
mod fixed;

pub use self::{delay::AimdWindow, fixed::FixedWindow};

use {crate::LeafStats, std::time::Instant};

/// Controls the size of the window from the statistics of completed queries.
pub trait WindowControl {
    /// Returns the number of queries that may run at once.
    fn limit(&self) -> usize;

    /// Records the end of a query; `in_flight` includes that query.
    fn on_complete(&mut self, stats: &LeafStats, in_flight: usize, now: Instant);

    /// Replaces the bounds and scales the window in proportion.
    fn set_bounds(&mut self, bounds: Bounds);
}

/// Initial, minimum and maximum size of a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    pub(crate) initial: f64,
    pub(crate) min: f64,
    pub(crate) max: f64,
}

/// Initial window, divided by the smallest window that keeps all slots busy without queueing.
const INITIAL_FACTOR: f64 = 3.0;
/// Minimum window, divided by the initial window.
const MIN_FACTOR: f64 = 0.25;
/// Maximum window, divided by the initial window.
const MAX_FACTOR: f64 = 2.0;
/// Euler–Mascheroni constant: the `n`th harmonic number is about `ln(n)` plus this.
const EULER_GAMMA: f64 = 0.577;

impl Bounds {
    /// Returns the bounds for one of `relays` relays of a service with `shards`
    /// shards, where the shard with the least capacity has `slots` slots over
    /// all its servers.
    ///
    /// A query ends with its slowest shard. The expected maximum of `n`
    /// exponentially distributed times is their mean times the `n`th harmonic
    /// number, so a query occupies a slot for only the inverse of that number
    /// as a share of its running time.
    pub fn for_slots(slots: u32, shards: usize, relays: usize) -> Self {
        let slots_per_relay = f64::from(slots.max(1)) / relays.max(1) as f64;
        let harmonic = (shards.max(1) as f64).ln() + EULER_GAMMA;
        let initial = (slots_per_relay * harmonic.max(1.0) * INITIAL_FACTOR).max(1.0);
        Self {
            initial,
            min: (initial * MIN_FACTOR).max(1.0),
            max: initial * MAX_FACTOR,
        }
    }

    /// Scales a window from these bounds to the same relative size within `next`.
    pub(crate) fn rescale(&self, limit: f64, next: &Self) -> f64 {
        next.clamp(limit / self.initial * next.initial)
    }

    pub(crate) fn clamp(&self, limit: f64) -> f64 {
        limit.clamp(self.min, self.max)
    }
}
