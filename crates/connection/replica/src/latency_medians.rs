//! Median latency of the requests of each route at the servers.

use std::{collections::HashMap, sync::Arc, time::Duration};

/// Median assumed for a route without samples, in milliseconds.
const DEFAULT_MEDIAN_MS: f64 = 10.0;
/// Relative change of the running median with each sample.
const STEP: f64 = 0.005;
/// Relative change with each of the first samples, which corrects a bad initial
/// value quickly.
const INITIAL_STEP: f64 = 0.1;
/// Number of samples below which the initial step is used.
const INITIAL_SAMPLES: u32 = 60;

#[derive(Debug)]
struct RunningMedian {
    value_ms: f64,
    samples: u32,
}

/// Running medians of the latency of requests, by route, without the network
/// round trip.
///
/// Unlike a mean, a median hardly changes while a minority of the servers is
/// slow or paused.
#[derive(Debug, Default)]
pub struct LatencyMedians(HashMap<Arc<str>, RunningMedian>);

impl LatencyMedians {
    /// Returns the median latency of the requests of `route` in milliseconds.
    pub fn median_ms(&self, route: &str) -> f64 {
        self.0
            .get(route)
            .map_or(DEFAULT_MEDIAN_MS, |median| median.value_ms)
    }

    /// Records the latency of one request without the network round trip.
    pub fn on_sample(&mut self, route: &Arc<str>, server_latency: Duration) {
        let sample_ms = server_latency.as_secs_f64() * 1_000.0;
        let median = self.0.entry(Arc::clone(route)).or_insert(RunningMedian {
            value_ms: sample_ms.max(0.1),
            samples: 0,
        });
        median.samples = median.samples.saturating_add(1);
        let step = if median.samples < INITIAL_SAMPLES {
            INITIAL_STEP
        } else {
            STEP
        };
        if sample_ms > median.value_ms {
            median.value_ms *= 1.0 + step;
        } else {
            median.value_ms /= 1.0 + step;
        }
    }
}
