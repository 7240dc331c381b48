//! What the queries of one service share for the life of the process.
//!
//! Recent latency says when a call is slow, and budgets bound the extra calls
//! that hedges and retries make. Every part stands under a lock of its own.

use {
    crate::{
        budget::Budget,
        speed::{Latency, Speeds},
        window::Window,
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

/// Retries that a first call earns.
const RETRY_SHARE: f64 = 0.08;
/// Most retries saved up; as many are there from the start, so that the first
/// failure of a few servers gets its retries.
const MAX_RETRY_TOKENS: f64 = 20.0;
/// Most hedges saved up.
const MAX_HEDGE_TOKENS: f64 = 20.0;
/// Time for which no hedge is made after a server has shed.
const SHED_PAUSE: Duration = Duration::from_secs(1);
/// Time for which no hedge is made after a query had to wait for its turn.
/// Slow servers make queries wait too, so a long pause would keep them slow.
const WAIT_PAUSE: Duration = Duration::from_millis(20);
/// Weight of a new sample in the mean number of calls under way.
const LOAD_WEIGHT: f64 = 0.1;

/// Groups of all services, by name.
#[derive(Debug, Default)]
pub struct Groups(Mutex<HashMap<String, Arc<Group>>>);

impl Groups {
    /// Returns the group of a service.
    pub fn get(&self, service: &str) -> Arc<Group> {
        let mut groups = self.0.lock();
        if let Some(group) = groups.get(service) {
            return Arc::clone(group);
        }
        let group = Arc::<Group>::default();
        groups.insert(service.to_owned(), Arc::clone(&group));
        group
    }
}

/// Latency, load and budgets of the shards of one service.
#[derive(Debug)]
pub struct Group {
    window: Mutex<Window>,
    speeds: Speeds,
    hedges: Mutex<Budget>,
    retries: Mutex<Budget>,
    in_flight: AtomicUsize,
    mean_in_flight: Mutex<f64>,
    overloaded_until: Mutex<Option<Instant>>,
}

impl Default for Group {
    fn default() -> Self {
        Self {
            window: Mutex::default(),
            speeds: Speeds::default(),
            hedges: Mutex::new(Budget::new(0.0, MAX_HEDGE_TOKENS)),
            retries: Mutex::new(Budget::new(MAX_RETRY_TOKENS, MAX_RETRY_TOKENS)),
            in_flight: AtomicUsize::new(0),
            mean_in_flight: Mutex::default(),
            overloaded_until: Mutex::default(),
        }
    }
}

/// Counts a call as under way until dropped.
#[derive(Debug)]
pub(crate) struct InFlight(Arc<Group>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Group {
    /// Earns budget for a number of first calls, and looks at the load that they meet.
    ///
    /// Calls come in bursts of a whole query, so the number under way says
    /// little at one moment; its mean over the starts of queries does.
    pub(crate) fn on_first_calls(&self, calls: usize, hedge_share: f64) {
        let in_flight = self.in_flight.load(Ordering::Relaxed) as f64;
        let mut mean = self.mean_in_flight.lock();
        *mean += (in_flight - *mean) * LOAD_WEIGHT;
        drop(mean);
        self.hedges.lock().earn(calls, hedge_share);
        self.retries.lock().earn(calls, RETRY_SHARE);
    }

    /// Takes a call that tests if a server works again.
    ///
    /// It is made for the tier's own sake, so it earns the retry that its
    /// failure costs. Tests are rare by themselves: a server that fails one is
    /// held out for longer.
    pub(crate) fn on_test(&self) {
        self.retries.lock().earn(1, 1.0);
    }

    /// Counts a call as under way.
    pub(crate) fn enter(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(Arc::clone(self))
    }

    /// Takes the latency of a call that brought its reply.
    pub(crate) fn on_reply(&self, server: ServerAddr, latency: Duration, now: Instant) {
        self.on_latency(server, Latency::Exact(latency), latency, now);
    }

    /// Takes the age of a call that was cancelled because another was faster.
    pub(crate) fn on_overtaken(&self, server: ServerAddr, age: Duration, now: Instant) {
        self.on_latency(server, Latency::AtLeast(age), age, now);
    }

    fn on_latency(&self, server: ServerAddr, latency: Latency, seen: Duration, now: Instant) {
        let median = self.quantile(0.5);
        if !self.speeds.on_latency(server, latency, median, now) {
            self.window.lock().push(seen);
        }
    }

    /// Takes the refusal of a server that has more work than it can do.
    pub(crate) fn on_shed(&self, now: Instant) {
        self.pause_hedges(now + SHED_PAUSE);
    }

    /// Takes a sign that queries have to wait for their turn.
    pub fn on_wait(&self, now: Instant) {
        self.pause_hedges(now + WAIT_PAUSE);
    }

    fn pause_hedges(&self, until: Instant) {
        let mut overloaded_until = self.overloaded_until.lock();
        *overloaded_until = (*overloaded_until).max(Some(until));
    }

    /// Returns a quantile of recent latency, once enough is known.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        self.window.lock().quantile(quantile)
    }

    /// Returns those of `servers` that are much slower than their group and to be left out.
    pub(crate) fn left_out(&self, servers: &[ServerAddr], now: Instant) -> Vec<ServerAddr> {
        self.speeds.left_out(servers, now)
    }

    /// Returns whether there is a recent sign of overload, or more calls are under way than `capacity`.
    pub(crate) fn is_overloaded(&self, capacity: usize, now: Instant) -> bool {
        let has_sign = self
            .overloaded_until
            .lock()
            .is_some_and(|until| now < until);
        has_sign || *self.mean_in_flight.lock() > capacity as f64
    }

    /// Spends the budget of one hedge, if there is any.
    pub(crate) fn take_hedge(&self) -> bool {
        self.hedges.lock().take()
    }

    /// Spends the budget of one retry, if there is any.
    pub(crate) fn take_retry(&self) -> bool {
        self.retries.lock().take()
    }
}
