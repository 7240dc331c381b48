//! The time that a door goes by.

use std::{future::Future, time::Instant};

/// A source of the time, real or simulated.
pub trait Clock {
    /// Returns the time.
    fn now(&self) -> Instant;

    /// Waits until `at`; a time that has passed is no wait.
    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()> + Send;
}

/// The clock of the machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    async fn sleep_until(&self, at: Instant) {
        tokio::time::sleep_until(at.into()).await;
    }
}
