//! The size of the window: how many queries run at once.

mod baseline;
mod delay;
mod fixed;

pub use self::{delay::DelayAimd, fixed::Fixed};

use {crate::Shown, std::time::Instant};

/// Decides the size of the window from what upstreams show.
pub trait Window {
    /// Returns the number of queries that may run at once.
    fn limit(&self) -> usize;

    /// Takes the end of a query; `in_flight` counts it too.
    fn on_complete(&mut self, shown: &Shown, in_flight: usize, now: Instant);

    /// Replaces the bounds and scales the window with them.
    fn set_bounds(&mut self, bounds: Bounds);
}

/// Where a window begins and how far it may go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    pub(crate) initial: f64,
    pub(crate) min: f64,
    pub(crate) max: f64,
}

/// Windows full of queries for each that would keep all slots busy without queueing.
const WINDOWS_IN_QUEUE: f64 = 3.0;
/// Smallest window over the first one.
const MIN_SHARE: f64 = 0.25;
/// Largest window over the first one.
const MAX_SHARE: f64 = 2.0;
/// Euler's constant, in the harmonic number of a count.
const EULER: f64 = 0.577;

impl Bounds {
    /// Returns bounds for one of `relays` relays of a service of `shards`
    /// shards, the scarcest with `slots` slots over all its servers.
    ///
    /// A query ends with its slowest shard, and of `n` exponential times the
    /// longest is the mean times the `n`th harmonic number. A slot is
    /// therefore busy with a query for only that part of the query's time.
    pub fn for_slots(slots: u32, shards: usize, relays: usize) -> Self {
        let share = f64::from(slots.max(1)) / relays.max(1) as f64;
        let harmonic = (shards.max(1) as f64).ln() + EULER;
        let initial = (share * harmonic.max(1.0) * WINDOWS_IN_QUEUE).max(1.0);
        Self {
            initial,
            min: (initial * MIN_SHARE).max(1.0),
            max: initial * MAX_SHARE,
        }
    }

    /// Moves a window from these bounds to the same place within `next`.
    pub(crate) fn rescale(&self, limit: f64, next: &Self) -> f64 {
        next.clamp(limit / self.initial * next.initial)
    }

    pub(crate) fn clamp(&self, limit: f64) -> f64 {
        limit.clamp(self.min, self.max)
    }
}
