//! Configuration of a gate.

use record::ByRank;

/// Default maximum number of waiting queries per rank.
const DEFAULT_MAX_WAITING: usize = 64;

/// Default reserve beyond the window, as a share of the window.
const DEFAULT_RESERVE_SHARE: f64 = 0.125;

/// Configuration of a [`Gate`](crate::Gate).
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
            max_waiting: DEFAULT_MAX_WAITING,
            reserve_share: DEFAULT_RESERVE_SHARE,
        }
    }
}

impl Config {
    /// Sets the share of admissions guaranteed to each rank while it has queries waiting.
    pub fn floor_share(mut self, floor_share: ByRank<f64>) -> Self {
        self.floor_share = floor_share;
        self
    }

    /// Sets the reserve beyond the window, as a share of the window, for urgent
    /// queries and for ranks with credit under their floor.
    pub fn reserve_share(mut self, reserve_share: f64) -> Self {
        self.reserve_share = reserve_share;
        self
    }

    /// Sets the maximum number of waiting queries per rank.
    pub fn max_waiting(mut self, max_waiting: usize) -> Self {
        self.max_waiting = max_waiting;
        self
    }
}
