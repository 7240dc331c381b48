//! Which servers are much slower than their group.
//!
//! A hedge saves a query from a slow server, but a server that is always slow
//! would eat the whole budget. Such a server is left out where the shard has
//! another one, and tried again with a single call from time to time.

use {
    parking_lot::Mutex,
    record::ServerAddr,
    std::{
        collections::{hash_map::DefaultHasher, HashMap},
        hash::{Hash, Hasher},
        time::{Duration, Instant},
    },
};

/// Number of locks.
const LOCKS: usize = 16;
/// Weight of a new latency in the mean of a server.
const WEIGHT: f64 = 0.2;
/// Weight of a new latency in the mean of a slow server, of which few come.
const SLOW_WEIGHT: f64 = 0.5;
/// Mean latency of a slow server, in medians of its group.
const SLOW_RATIO: f64 = 4.0;
/// Mean latency of a slow server up to which it is like the fastest of its shard, over that one's.
const ALIKE_RATIO: f64 = 2.0;
/// Number of latencies before a server is judged.
const MIN_SAMPLES: u32 = 4;
/// Time for which a slow server is left out before one call tries it again.
const PROBE_EVERY: Duration = Duration::from_secs(5);

/// Mean latencies of servers, in shards with a lock each.
#[derive(Debug, Default)]
pub(crate) struct Speeds([Mutex<HashMap<ServerAddr, Speed>>; LOCKS]);

#[derive(Debug, Default)]
struct Speed {
    mean_s: f64,
    samples: u32,
    slow_until: Option<Instant>,
}

/// How a call ended, seen by the clock.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Latency {
    /// The reply came after this time.
    Exact(Duration),
    /// No reply had come after this time.
    AtLeast(Duration),
}

impl Speeds {
    /// Takes a latency and returns whether the server counts as slow.
    pub(crate) fn on_latency(
        &self,
        server: ServerAddr,
        latency: Latency,
        group_median: Option<Duration>,
        now: Instant,
    ) -> bool {
        let mut speeds = self.lock_of(server).lock();
        let speed = speeds.entry(server).or_default();
        speed.add(latency);
        let Some(median) = group_median else {
            return false;
        };
        let is_slow =
            speed.samples >= MIN_SAMPLES && speed.mean_s > median.as_secs_f64() * SLOW_RATIO;
        speed.slow_until = is_slow.then_some(now + PROBE_EVERY);
        is_slow
    }

    /// Returns those of `servers` that are to be left out, never all of several.
    ///
    /// The other replica of a slow server has all the load of its shard, so that
    /// it looks slow itself. The faster one then stays.
    pub(crate) fn left_out(&self, servers: &[ServerAddr], now: Instant) -> Vec<ServerAddr> {
        let mut slow = servers.to_vec();
        slow.retain(|server| self.is_left_out(*server, now));
        if slow.len() > 1 && slow.len() == servers.len() {
            let means_s = slow.iter().map(|server| self.mean_s(*server));
            let fastest_s = means_s.fold(f64::INFINITY, f64::min);
            slow.retain(|server| self.mean_s(*server) > fastest_s * ALIKE_RATIO);
        }
        slow
    }

    fn mean_s(&self, server: ServerAddr) -> f64 {
        let speeds = self.lock_of(server).lock();
        speeds.get(&server).map_or(0.0, |speed| speed.mean_s)
    }

    /// Returns whether a server is to be left out.
    ///
    /// Once in a while the answer is no for a single caller, who tries the server again.
    fn is_left_out(&self, server: ServerAddr, now: Instant) -> bool {
        let mut speeds = self.lock_of(server).lock();
        let Some(speed) = speeds.get_mut(&server) else {
            return false;
        };
        match speed.slow_until {
            None => false,
            Some(until) if now < until => true,
            Some(_) => {
                speed.slow_until = Some(now + PROBE_EVERY);
                false
            }
        }
    }

    fn lock_of(&self, server: ServerAddr) -> &Mutex<HashMap<ServerAddr, Speed>> {
        let mut hasher = DefaultHasher::new();
        server.hash(&mut hasher);
        &self.0[hasher.finish() as usize % LOCKS]
    }
}

impl Speed {
    fn add(&mut self, latency: Latency) {
        let sample_s = match latency {
            Latency::Exact(exact) => exact.as_secs_f64(),
            // What was still to come is taken to be as long as the mean.
            Latency::AtLeast(least) => least.as_secs_f64() + self.mean_s,
        };
        let weight = match (self.samples, self.slow_until) {
            (0, _) => 1.0,
            (_, Some(_)) => SLOW_WEIGHT,
            (_, None) => WEIGHT,
        };
        self.mean_s += (sample_s - self.mean_s) * weight;
        self.samples = self.samples.saturating_add(1);
    }
}
