//! How long the requests of a route usually take at a server.

use std::{collections::HashMap, sync::Arc, time::Duration};

/// Time of a request of which nothing is known yet.
const FIRST_GUESS_MS: f64 = 10.0;
/// Step of the running median for each sample, as a share of it.
const STEP: f64 = 0.005;
/// Step while few samples are known, so that a bad first guess does not last.
const EARLY_STEP: f64 = 0.1;
/// Number of samples that count as few.
const EARLY_SAMPLES: u32 = 60;

#[derive(Debug)]
struct Typical {
    median_ms: f64,
    samples: u32,
}

/// Running medians of the time that requests take, by route.
///
/// A median stands still while a part of the servers is slow or pauses.
#[derive(Debug, Default)]
pub struct Works(HashMap<Arc<str>, Typical>);

impl Works {
    /// Returns the usual time of a request of `route` in milliseconds.
    pub fn typical_ms(&self, route: &str) -> f64 {
        self.0
            .get(route)
            .map_or(FIRST_GUESS_MS, |typical| typical.median_ms)
    }

    /// Takes the time that one request spent at a server, the way there left out.
    pub fn on_sample(&mut self, route: &Arc<str>, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        let typical = self.0.entry(Arc::clone(route)).or_insert(Typical {
            median_ms: took_ms.max(0.1),
            samples: 0,
        });
        typical.samples = typical.samples.saturating_add(1);
        let step = if typical.samples < EARLY_SAMPLES {
            EARLY_STEP
        } else {
            STEP
        };
        if took_ms > typical.median_ms {
            typical.median_ms *= 1.0 + step;
        } else {
            typical.median_ms /= 1.0 + step;
        }
    }
}
