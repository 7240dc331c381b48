//! When a reused connection without a byte is suspected to have gone silent.
//!
//! The suspicion follows the times to first byte of the server itself, so
//! that a slow server is not taken for a silent connection. It costs one
//! fresh connection and one repeated call, never the server's health.

use std::time::Duration;

/// Times to first byte that are remembered.
const WINDOW: usize = 64;
/// Samples below which the window says nothing.
const MIN_SAMPLES: usize = 8;
/// The suspicion time as a multiple of the window's 95th percentile.
const FACTOR: u32 = 4;
/// Rank of the 95th percentile among the window's samples.
const QUANTILE: f64 = 0.95;
/// Suspicion time while the window says nothing.
const DEFAULT_SUSPICION: Duration = Duration::from_millis(100);
/// Shortest suspicion time.
const MIN_SUSPICION: Duration = Duration::from_millis(50);
/// Longest suspicion time.
const MAX_SUSPICION: Duration = Duration::from_millis(500);
/// Divisor of the time left, so that a fresh connection can still bring the reply.
const TIME_LEFT_DIVISOR: u32 = 4;

/// Times to first byte of one server.
#[derive(Clone, Debug)]
pub struct FirstByte {
    samples_us: [u32; WINDOW],
    count: usize,
    suspicion: Duration,
}

impl Default for FirstByte {
    fn default() -> Self {
        Self {
            samples_us: [0; WINDOW],
            count: 0,
            suspicion: DEFAULT_SUSPICION,
        }
    }
}

impl FirstByte {
    /// Takes the time to the first byte of a reply.
    pub fn on_first_byte(&mut self, time: Duration) {
        let time_us = u32::try_from(time.as_micros()).unwrap_or(u32::MAX);
        self.samples_us[self.count % WINDOW] = time_us;
        self.count += 1;
        // Sorting the window for each eighth sample keeps the cost off most calls.
        if self.count >= MIN_SAMPLES && self.count.is_multiple_of(MIN_SAMPLES) {
            self.suspicion = self.quantile().saturating_mul(FACTOR);
        }
    }

    /// Returns the time after which a call on a reused connection is suspected.
    pub fn suspicion_time(&self, time_left: Duration) -> Duration {
        self.suspicion
            .clamp(MIN_SUSPICION, MAX_SUSPICION)
            .min(time_left / TIME_LEFT_DIVISOR)
    }

    fn quantile(&self) -> Duration {
        let filled = self.count.min(WINDOW);
        let mut sorted = self.samples_us;
        let sorted = &mut sorted[..filled];
        sorted.sort_unstable();
        let position = ((filled as f64 * QUANTILE) as usize).min(filled - 1);
        Duration::from_micros(sorted[position].into())
    }
}
