//! Settings of a gate.

use record::ByRank;

/// Most queries of one rank that wait.
const MAX_WAITING: usize = 64;

/// Room beyond the window for urgent work and ranks that are due, as a share of it.
const RESERVE_SHARE: f64 = 0.125;

/// Settings of a gate.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    pub(crate) floor_share: ByRank<f64>,
    pub(crate) max_waiting: usize,
    pub(crate) reserve_share: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            floor_share: ByRank::default(),
            max_waiting: MAX_WAITING,
            reserve_share: RESERVE_SHARE,
        }
    }
}

impl Config {
    /// Sets the share of admissions that each rank keeps while it has queries waiting.
    pub fn floor_share(mut self, floor_share: ByRank<f64>) -> Self {
        self.floor_share = floor_share;
        self
    }

    /// Sets the room beyond the window, as a share of it, for urgent work and ranks that are due.
    pub fn reserve_share(mut self, reserve_share: f64) -> Self {
        self.reserve_share = reserve_share;
        self
    }

    /// Sets how many queries of one rank may wait.
    pub fn max_waiting(mut self, max_waiting: usize) -> Self {
        self.max_waiting = max_waiting;
        self
    }
}
