//! Running estimates of the service time and of the admission rate.

use std::time::{Duration, Instant};

/// Weight of a new sample in the smoothed mean.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of a new sample in the smoothed mean deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Number of mean deviations above the mean that a service time rarely exceeds.
const DEVIATION_FACTOR: f64 = 3.0;
/// Period over which admissions are counted.
const RATE_PERIOD: Duration = Duration::from_secs(1);
/// Minimum retry time reported to callers.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Maximum retry time reported to callers.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Smoothed mean and mean deviation of the service time of whole queries.
#[derive(Debug, Default)]
pub(crate) struct ServiceTime {
    mean_s: Option<f64>,
    deviation_s: f64,
}

impl ServiceTime {
    pub(crate) fn add(&mut self, elapsed: Duration) {
        let sample_s = elapsed.as_secs_f64();
        let Some(mean_s) = self.mean_s else {
            self.mean_s = Some(sample_s);
            self.deviation_s = sample_s / 2.0;
            return;
        };
        let error_s = sample_s - mean_s;
        self.mean_s = Some(mean_s + MEAN_WEIGHT * error_s);
        self.deviation_s += DEVIATION_WEIGHT * (error_s.abs() - self.deviation_s);
    }

    /// Returns a time that a query rarely exceeds, or zero before the first sample.
    pub(crate) fn upper_bound(&self) -> Duration {
        let upper_bound_s = self.mean_s.unwrap_or(0.0) + DEVIATION_FACTOR * self.deviation_s;
        Duration::from_secs_f64(upper_bound_s.max(0.0))
    }
}

/// Rate at which queries of one rank are admitted.
#[derive(Debug, Default)]
pub(crate) struct DrainRate {
    period_start: Option<Instant>,
    count: u32,
    last_rate_per_s: Option<f64>,
}

impl DrainRate {
    pub(crate) fn on_admit(&mut self, now: Instant) {
        self.update_period(now);
        self.count += 1;
    }

    /// Estimates the time until `waiting` queries and one more have been admitted.
    pub(crate) fn time_to_drain(&mut self, waiting: usize, now: Instant) -> Duration {
        self.update_period(now);
        let rate_per_s = self.last_rate_per_s.unwrap_or(f64::from(self.count));
        let time_s = (waiting + 1) as f64 / rate_per_s;
        if !time_s.is_finite() || time_s > MAX_RETRY_AFTER.as_secs_f64() {
            return MAX_RETRY_AFTER;
        }
        Duration::from_secs_f64(time_s).max(MIN_RETRY_AFTER)
    }

    fn update_period(&mut self, now: Instant) {
        let start = *self.period_start.get_or_insert(now);
        let elapsed = now.saturating_duration_since(start);
        if elapsed >= RATE_PERIOD {
            self.last_rate_per_s = Some(f64::from(self.count) / elapsed.as_secs_f64());
            self.period_start = Some(now);
            self.count = 0;
        }
    }
}
