//! Simulated time.
//!
//! Tokio's timers have a resolution of a millisecond, too coarse for services
//! that take eight. One simulated second is therefore a thousand seconds of
//! tokio's paused time, which pass in no time at all.

use std::time::{Duration, Instant};

const SCALE: u32 = 1_000;

/// The clock of one trial.
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

impl door::Clock for Clock {
    fn now(&self) -> Instant {
        self.start + self.tokio_start.elapsed() / SCALE
    }

    async fn sleep_until(&self, until: Instant) {
        self.sleep(until.saturating_duration_since(self.now()))
            .await;
    }
}
