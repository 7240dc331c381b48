//! State shared by the queries of one service, kept for the lifetime of the process.
//!
//! Recent latencies determine when a call is slow, and budgets bound the extra
//! calls made by hedges and retries. Each part has its own lock.

use {
    crate::{
        budget::Budget,
        outlier::{LatencySample, OutlierDetector},
        window::LatencyWindow,
    },
    parking_lot::Mutex,
    record::ServerAddr,
    std::{
        collections::HashMap,
        sync::{
            atomic::{AtomicUsize, Ordering},
            Arc,
        },
        time::{Duration, Instant},
    },
};

/// Retry tokens earned per first call.
const RETRY_SHARE: f64 = 0.08;
/// Maximum number of retry tokens. The budget starts full, so that the first
/// failures of a few servers can be retried.
const MAX_RETRY_TOKENS: f64 = 20.0;
/// Maximum number of hedge tokens.
const MAX_HEDGE_TOKENS: f64 = 20.0;
/// Time without hedges after a server has shed a call.
const SHED_PAUSE: Duration = Duration::from_secs(1);
/// Time without hedges after a query had to wait for admission. Slow servers
/// make queries wait too, and a long pause would prevent the hedges that help
/// against them.
const WAIT_PAUSE: Duration = Duration::from_millis(20);
/// Weight of a new sample in the mean number of calls in flight.
const LOAD_WEIGHT: f64 = 0.1;

/// The state of each service, by service name.
#[derive(Debug, Default)]
pub struct ServiceStates(Mutex<HashMap<String, Arc<ServiceState>>>);

impl ServiceStates {
    /// Returns the state of a service, creating it on first use.
    pub fn get(&self, service: &str) -> Arc<ServiceState> {
        let mut states = self.0.lock();
        if let Some(state) = states.get(service) {
            return Arc::clone(state);
        }
        let state = Arc::<ServiceState>::default();
        states.insert(service.to_owned(), Arc::clone(&state));
        state
    }
}

/// Latencies, load, and hedge and retry budgets of one service.
#[derive(Debug)]
pub struct ServiceState {
    latencies: Mutex<LatencyWindow>,
    outliers: OutlierDetector,
    hedge_budget: Mutex<Budget>,
    retry_budget: Mutex<Budget>,
    in_flight: AtomicUsize,
    mean_in_flight: Mutex<f64>,
    overloaded_until: Mutex<Option<Instant>>,
}

impl Default for ServiceState {
    fn default() -> Self {
        Self {
            latencies: Mutex::default(),
            outliers: OutlierDetector::default(),
            hedge_budget: Mutex::new(Budget::new(0.0, MAX_HEDGE_TOKENS)),
            retry_budget: Mutex::new(Budget::new(MAX_RETRY_TOKENS, MAX_RETRY_TOKENS)),
            in_flight: AtomicUsize::new(0),
            mean_in_flight: Mutex::default(),
            overloaded_until: Mutex::default(),
        }
    }
}

/// Counts a call as in flight until dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Arc<ServiceState>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ServiceState {
    /// Adds the budget earned by `calls` first calls, and samples the number of calls in flight.
    ///
    /// A query makes all its first calls at once, so a single sample varies
    /// widely. The mean over the starts of queries is used instead.
    pub(crate) fn on_first_calls(&self, calls: usize, hedge_share: f64) {
        let in_flight = self.in_flight.load(Ordering::Relaxed) as f64;
        let mut mean = self.mean_in_flight.lock();
        *mean += (in_flight - *mean) * LOAD_WEIGHT;
        drop(mean);
        self.hedge_budget.lock().earn(calls, hedge_share);
        self.retry_budget.lock().earn(calls, RETRY_SHARE);
    }

    /// Records a call that probes whether a failed server has recovered.
    ///
    /// The caller did not ask for the probe, so the budget is credited with the
    /// retry that its failure would cost. Probes are rare: a server that fails
    /// one is excluded for longer.
    pub(crate) fn on_probe(&self) {
        self.retry_budget.lock().earn(1, 1.0);
    }

    /// Counts a call as in flight until the returned guard is dropped.
    pub(crate) fn start_call(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(Arc::clone(self))
    }

    /// Records the latency of a call that was answered.
    pub(crate) fn on_reply(&self, server: ServerAddr, latency: Duration, now: Instant) {
        self.on_latency(server, LatencySample::Exact(latency), latency, now);
    }

    /// Records the age of a call that was cancelled because another call to the shard was faster.
    pub(crate) fn on_superseded(&self, server: ServerAddr, age: Duration, now: Instant) {
        self.on_latency(server, LatencySample::AtLeast(age), age, now);
    }

    fn on_latency(
        &self,
        server: ServerAddr,
        latency: LatencySample,
        observed: Duration,
        now: Instant,
    ) {
        let median = self.quantile(0.5);
        if !self.outliers.on_latency(server, latency, median, now) {
            self.latencies.lock().push(observed);
        }
    }

    /// Records that a server shed a call because of load.
    pub(crate) fn on_shed(&self, now: Instant) {
        self.pause_hedges(now + SHED_PAUSE);
    }

    /// Records that a query has to wait for admission.
    pub fn on_wait(&self, now: Instant) {
        self.pause_hedges(now + WAIT_PAUSE);
    }

    fn pause_hedges(&self, until: Instant) {
        let mut overloaded_until = self.overloaded_until.lock();
        *overloaded_until = (*overloaded_until).max(Some(until));
    }

    /// Returns a quantile of the recent latencies, or `None` if there are too few.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        self.latencies.lock().quantile(quantile)
    }

    /// Returns those of `servers` that are ejected for being much slower than the others.
    pub(crate) fn ejected(&self, servers: &[ServerAddr], now: Instant) -> Vec<ServerAddr> {
        self.outliers.ejected(servers, now)
    }

    /// Returns whether overload was seen recently, or the mean number of calls in
    /// flight exceeds `capacity`.
    pub(crate) fn is_overloaded(&self, capacity: usize, now: Instant) -> bool {
        let was_overloaded = self
            .overloaded_until
            .lock()
            .is_some_and(|until| now < until);
        was_overloaded || *self.mean_in_flight.lock() > capacity as f64
    }

    /// Takes a hedge token, and returns whether one was available.
    pub(crate) fn take_hedge(&self) -> bool {
        self.hedge_budget.lock().take()
    }

    /// Takes a retry token, and returns whether one was available.
    pub(crate) fn take_retry(&self) -> bool {
        self.retry_budget.lock().take()
    }
}
