//! When a reused connection without a byte is suspected to have gone silent.
//!
//! The suspicion time follows the server's own times to first byte and the
//! calls that stand before it, so that a slow server is not taken for a
//! silent connection. A first suspicion is tested by a single repeated call
//! on a fresh connection. Only when that call is answered first, the other
//! calls without a byte are repeated too. A test that fails makes the next
//! one wait, so that an overloaded server gets next to no repeated calls.

use {
    crate::BackOff,
    std::time::{Duration, Instant},
};

/// Times to first byte that are remembered.
const WINDOW: usize = 64;
/// Samples between two looks at the quantile, and least number of samples for one.
const REFRESH_EVERY: usize = 8;
/// The suspicion time as a multiple of the window's quantile.
const FACTOR: u32 = 4;
/// Quantile of the window.
const QUANTILE: f64 = 0.95;
/// Shortest suspicion time.
const MIN_SUSPICION: Duration = Duration::from_millis(50);
/// Divisor of the time left, so that a fresh connection can still bring the reply.
const TIME_LEFT_DIVISOR: u32 = 4;
/// First pause after a test that found no silence.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause after tests that found no silence.
const LONGEST_PAUSE: Duration = Duration::from_secs(30);

/// Times to first byte of one server.
#[derive(Clone, Debug)]
struct FirstByte {
    samples_us: [u32; WINDOW],
    count: usize,
    quantile: Option<Duration>,
}

/// What a suspected call does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Suspicion {
    /// Send the call again; silence is proved.
    Repeat,
    /// Send the call again as the test, and report with [`Silence::on_test_end`].
    Test,
    /// Wait on, and ask again.
    Wait,
}

/// What is known about silent connections to one server.
#[derive(Clone, Debug)]
pub struct Silence {
    first_byte: FirstByte,
    is_testing: bool,
    proved_at: Option<Instant>,
    refuted: BackOff,
}

impl Default for Silence {
    fn default() -> Self {
        Self {
            first_byte: FirstByte {
                samples_us: [0; WINDOW],
                count: 0,
                quantile: None,
            },
            is_testing: false,
            proved_at: None,
            refuted: BackOff::new(FIRST_PAUSE, LONGEST_PAUSE),
        }
    }
}

impl Silence {
    /// Takes the time to the first byte of a reply.
    pub fn on_first_byte(&mut self, time: Duration) {
        self.first_byte.add(time);
    }

    /// Returns the time after which a call on a reused connection is suspected,
    /// with `in_flight` calls to the server, itself included.
    pub fn suspicion_time(&self, time_left: Duration, in_flight: u32) -> Duration {
        let longest = time_left / TIME_LEFT_DIVISOR;
        self.first_byte.quantile.map_or(longest, |quantile| {
            quantile
                .saturating_mul(FACTOR.saturating_mul(in_flight.max(1)))
                .max(MIN_SUSPICION)
                .min(longest)
        })
    }

    /// Decides what a suspected call does that was sent at `sent_at`.
    pub fn on_suspicion(&mut self, sent_at: Instant, now: Instant) -> Suspicion {
        if self.proved_at.is_some_and(|proved_at| proved_at >= sent_at) {
            return Suspicion::Repeat;
        }
        if self.is_testing || self.refuted.until(now).is_some() {
            return Suspicion::Wait;
        }
        self.is_testing = true;
        Suspicion::Test
    }

    /// Takes the end of a test: whether the fresh connection was answered
    /// first, or `None` if that cannot be told.
    pub fn on_test_end(&mut self, is_proved: Option<bool>, jitter: f64, now: Instant) {
        self.is_testing = false;
        match is_proved {
            Some(true) => {
                self.proved_at = Some(now);
                self.refuted.on_success();
            }
            Some(false) => self.refuted.on_failure(jitter, now),
            None => {}
        }
    }
}

impl FirstByte {
    fn add(&mut self, time: Duration) {
        let time_us = u32::try_from(time.as_micros()).unwrap_or(u32::MAX);
        self.samples_us[self.count % WINDOW] = time_us;
        self.count += 1;
        // Sorting for each eighth sample only keeps the cost off most calls.
        if self.count.is_multiple_of(REFRESH_EVERY) {
            self.quantile = Some(self.look());
        }
    }

    fn look(&self) -> Duration {
        let filled = self.count.min(WINDOW);
        let mut sorted = self.samples_us;
        let sorted = &mut sorted[..filled];
        sorted.sort_unstable();
        let position = ((filled as f64 * QUANTILE) as usize).min(filled - 1);
        Duration::from_micros(sorted[position].into())
    }
}
