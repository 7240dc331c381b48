//! Time source of an [`AsyncGate`](crate::AsyncGate).

use std::{future::Future, time::Instant};

/// A time source, real or simulated.
pub trait Clock {
    /// Returns the current time.
    fn now(&self) -> Instant;

    /// Waits until `at`; returns at once if `at` has passed.
    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()> + Send;
}

/// The system clock.
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
