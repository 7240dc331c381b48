//! Outlier detection: ejects servers that are much slower than their group.
//!
//! A hedge protects a query from a slow server, but a permanently slow server
//! would use up the whole hedge budget. Such a server is ejected where the
//! shard has another one, and probed with a single call from time to time.

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
/// Weight of a new latency in the smoothed mean of a server.
const WEIGHT: f64 = 0.2;
/// Weight of a new latency in the smoothed mean of a slow server, which gets few calls.
const SLOW_WEIGHT: f64 = 0.5;
/// Mean latency above which a server is slow, divided by the median of its group.
const SLOW_RATIO: f64 = 4.0;
/// Mean latency up to which a slow server is kept if all servers of its shard
/// are slow, divided by that of the fastest of them.
const MAX_PEER_RATIO: f64 = 2.0;
/// Number of samples below which a server is never slow.
const MIN_SAMPLES: u32 = 4;
/// Time for which a slow server is ejected before a single call probes it.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Mean latencies of servers, in partitions with one lock each.
#[derive(Debug, Default)]
pub(crate) struct OutlierDetector([Mutex<HashMap<ServerAddr, ServerLatency>>; LOCKS]);

#[derive(Debug, Default)]
struct ServerLatency {
    mean_s: f64,
    samples: u32,
    slow_until: Option<Instant>,
}

/// The latency of a call, or a lower bound for it.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LatencySample {
    /// The reply arrived after this time.
    Exact(Duration),
    /// No reply had arrived after this time.
    AtLeast(Duration),
}

impl OutlierDetector {
    /// Records a latency and returns whether the server is slow.
    pub(crate) fn on_latency(
        &self,
        server: ServerAddr,
        latency: LatencySample,
        group_median: Option<Duration>,
        now: Instant,
    ) -> bool {
        let mut servers = self.lock_of(server).lock();
        let entry = servers.entry(server).or_default();
        entry.add(latency);
        let Some(median) = group_median else {
            return false;
        };
        let is_slow =
            entry.samples >= MIN_SAMPLES && entry.mean_s > median.as_secs_f64() * SLOW_RATIO;
        entry.slow_until = is_slow.then_some(now + PROBE_INTERVAL);
        is_slow
    }

    /// Returns those of `servers` that are ejected, but never all of several.
    ///
    /// While one replica is ejected, the other one takes all the load of the
    /// shard and may look slow as well. The faster one is then kept.
    pub(crate) fn ejected(&self, servers: &[ServerAddr], now: Instant) -> Vec<ServerAddr> {
        let mut slow = servers.to_vec();
        slow.retain(|server| self.is_ejected(*server, now));
        if slow.len() > 1 && slow.len() == servers.len() {
            let means_s = slow.iter().map(|server| self.mean_s(*server));
            let fastest_s = means_s.fold(f64::INFINITY, f64::min);
            slow.retain(|server| self.mean_s(*server) > fastest_s * MAX_PEER_RATIO);
        }
        slow
    }

    fn mean_s(&self, server: ServerAddr) -> f64 {
        let servers = self.lock_of(server).lock();
        servers.get(&server).map_or(0.0, |entry| entry.mean_s)
    }

    /// Returns whether a server is ejected.
    ///
    /// Once per [`PROBE_INTERVAL`] this returns `false` for a single caller, whose
    /// call probes the server.
    fn is_ejected(&self, server: ServerAddr, now: Instant) -> bool {
        let mut servers = self.lock_of(server).lock();
        let Some(entry) = servers.get_mut(&server) else {
            return false;
        };
        match entry.slow_until {
            None => false,
            Some(until) if now < until => true,
            Some(_) => {
                entry.slow_until = Some(now + PROBE_INTERVAL);
                false
            }
        }
    }

    fn lock_of(&self, server: ServerAddr) -> &Mutex<HashMap<ServerAddr, ServerLatency>> {
        let mut hasher = DefaultHasher::new();
        server.hash(&mut hasher);
        &self.0[hasher.finish() as usize % LOCKS]
    }
}

impl ServerLatency {
    fn add(&mut self, latency: LatencySample) {
        let sample_s = match latency {
            LatencySample::Exact(exact) => exact.as_secs_f64(),
            // The remaining time is estimated as the mean.
            LatencySample::AtLeast(least) => least.as_secs_f64() + self.mean_s,
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
