//! Settings of a gate.

use record::ByRank;

/// Most queries of one rank that wait.
const MAX_WAITING: usize = 64;

/// Settings of a gate.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    pub(crate) floor_share: ByRank<f64>,
    pub(crate) max_waiting: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            floor_share: ByRank::default(),
            max_waiting: MAX_WAITING,
        }
    }
}

impl Config {
    /// Sets the share of admissions that each rank keeps while it has queries waiting.
    pub fn floor_share(mut self, floor_share: ByRank<f64>) -> Self {
        self.floor_share = floor_share;
        self
    }

    /// Sets how many queries of one rank may wait.
    pub fn max_waiting(mut self, max_waiting: usize) -> Self {
        self.max_waiting = max_waiting;
        self
    }
}
