//! Detection of reused connections that have gone silent.
//!
//! A connection has gone silent if it is still open but no longer carries
//! replies. A call on a reused connection is suspected to be on a silent one if
//! no byte of its reply comes within the suspicion time. That time grows with
//! the server's usual time to first byte and with the calls in flight to it, so
//! that a slow server is not mistaken for a silent connection.
//!
//! The first suspicion is tested: a single call is repeated on a fresh
//! connection. Only if the repetition is answered first are the other calls
//! without a byte repeated too. After a test that found no silence, the next
//! test waits for a back-off, so that an overloaded server gets hardly any
//! repeated calls.

use {
    crate::BackOff,
    std::time::{Duration, Instant},
};

/// Number of latest times to first byte that are kept.
const WINDOW: usize = 64;
/// Number of samples after which the quantile is computed, first and again.
const REFRESH_INTERVAL: usize = 8;
/// Factor from the quantile to the suspicion time.
const SUSPICION_FACTOR: u32 = 4;
/// Quantile of the time to first byte that the suspicion time is based on.
const QUANTILE: f64 = 0.95;
/// Shortest suspicion time.
const MIN_SUSPICION_TIME: Duration = Duration::from_millis(50);
/// Divisor of the time left that gives the longest suspicion time, so that a
/// fresh connection can still bring the reply.
const TIME_LEFT_DIVISOR: u32 = 4;
/// Initial pause after a test that found no silence.
const INITIAL_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause after tests that found no silence.
const MAX_PAUSE: Duration = Duration::from_secs(30);

/// A sliding window of the times to first byte of one server.
#[derive(Clone, Debug)]
struct FirstByteTimes {
    samples_us: [u32; WINDOW],
    count: usize,
    quantile: Option<Duration>,
}

/// What to do with a call whose connection is suspected to have gone silent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspicionAction {
    /// Repeat the call: silence is confirmed.
    Repeat,
    /// Repeat the call as a test, and report its end with [`SilenceDetector::on_test_end`].
    Test,
    /// Keep waiting, and ask again later.
    Wait,
}

/// Detects silent connections to one server.
#[derive(Clone, Debug)]
pub struct SilenceDetector {
    first_byte_times: FirstByteTimes,
    is_testing: bool,
    confirmed_at: Option<Instant>,
    test_back_off: BackOff,
}

impl Default for SilenceDetector {
    fn default() -> Self {
        Self {
            first_byte_times: FirstByteTimes {
                samples_us: [0; WINDOW],
                count: 0,
                quantile: None,
            },
            is_testing: false,
            confirmed_at: None,
            test_back_off: BackOff::new(INITIAL_PAUSE, MAX_PAUSE),
        }
    }
}

impl SilenceDetector {
    /// Records the time to the first byte of a reply.
    pub fn on_first_byte(&mut self, time: Duration) {
        self.first_byte_times.add(time);
    }

    /// Returns the time without a byte after which a call on a reused connection
    /// is suspected.
    ///
    /// `in_flight` is the number of calls in flight to the server, this one included.
    pub fn suspicion_time(&self, time_left: Duration, in_flight: u32) -> Duration {
        let max = time_left / TIME_LEFT_DIVISOR;
        self.first_byte_times.quantile.map_or(max, |quantile| {
            quantile
                .saturating_mul(SUSPICION_FACTOR.saturating_mul(in_flight.max(1)))
                .max(MIN_SUSPICION_TIME)
                .min(max)
        })
    }

    /// Decides what to do with a suspected call that was sent at `sent_at`.
    pub fn on_suspicion(&mut self, sent_at: Instant, now: Instant) -> SuspicionAction {
        if self
            .confirmed_at
            .is_some_and(|confirmed_at| confirmed_at >= sent_at)
        {
            return SuspicionAction::Repeat;
        }
        if self.is_testing || self.test_back_off.paused_until(now).is_some() {
            return SuspicionAction::Wait;
        }
        self.is_testing = true;
        SuspicionAction::Test
    }

    /// Records the end of a test.
    ///
    /// `is_confirmed` is whether the fresh connection was answered first, or
    /// `None` if that is not known.
    pub fn on_test_end(&mut self, is_confirmed: Option<bool>, jitter: f64, now: Instant) {
        self.is_testing = false;
        match is_confirmed {
            Some(true) => {
                self.confirmed_at = Some(now);
                self.test_back_off.on_success();
            }
            Some(false) => self.test_back_off.on_failure(jitter, now),
            None => {}
        }
    }
}

impl FirstByteTimes {
    fn add(&mut self, time: Duration) {
        let time_us = u32::try_from(time.as_micros()).unwrap_or(u32::MAX);
        self.samples_us[self.count % WINDOW] = time_us;
        self.count += 1;
        // Most calls skip the cost of sorting the window.
        if self.count.is_multiple_of(REFRESH_INTERVAL) {
            self.quantile = Some(self.compute_quantile());
        }
    }

    fn compute_quantile(&self) -> Duration {
        let filled = self.count.min(WINDOW);
        let mut sorted = self.samples_us;
        let sorted = &mut sorted[..filled];
        sorted.sort_unstable();
        let index = ((filled as f64 * QUANTILE) as usize).min(filled - 1);
        Duration::from_micros(sorted[index].into())
    }
}
