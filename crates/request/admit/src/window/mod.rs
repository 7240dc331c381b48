//! The size of the window: how many queries run at once.

mod aimd;
mod baseline;
mod delay;
mod fixed;
mod gradient;

pub use self::{aimd::Aimd, delay::DelayAimd, fixed::Fixed, gradient::Gradient};

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

/// Queries that one slot of a shard keeps busy: the slowest shard of a query
/// takes several times as long as the mean one, whose slot is free meanwhile.
const QUERIES_PER_SLOT: f64 = 8.0;
/// Largest window as a multiple of the first one.
const MAX_GROWTH: f64 = 4.0;
/// Smallest first window.
const MIN_INITIAL: f64 = 2.0;

impl Bounds {
    /// Returns bounds for one of `relays` relays of a service, whose scarcest
    /// shard has `slots` slots over all its servers.
    pub fn for_slots(slots: u32, relays: usize) -> Self {
        let share = f64::from(slots.max(1)) / relays.max(1) as f64;
        let initial = (share * QUERIES_PER_SLOT).max(MIN_INITIAL);
        Self {
            initial,
            // Less would leave slots idle even if every query were short.
            min: share.max(1.0),
            max: initial * MAX_GROWTH,
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
