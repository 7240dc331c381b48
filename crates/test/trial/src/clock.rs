//! Simulated time.
//!
//! Tokio's timers have a resolution of one millisecond, which is too coarse for
//! execution times of eight. One simulated second is therefore a thousand
//! seconds of tokio's paused time, which costs no real time.

use std::time::{Duration, Instant};

/// Tokio time that passes for one unit of simulated time.
const SCALE: u32 = 1_000;

/// Clock of a trial, in simulated time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
    tokio_start: tokio::time::Instant,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
            tokio_start: tokio::time::Instant::now(),
        }
    }

    pub(crate) fn elapsed(&self) -> Duration {
        self.tokio_start.elapsed() / SCALE
    }

    pub(crate) async fn sleep(&self, time: Duration) {
        if !time.is_zero() {
            tokio::time::sleep(time * SCALE).await;
        }
    }
}

impl async_gate::Clock for Clock {
    fn now(&self) -> Instant {
        self.start + self.tokio_start.elapsed() / SCALE
    }

    async fn sleep_until(&self, until: Instant) {
        self.sleep(until.saturating_duration_since(self.now()))
            .await;
    }
}
