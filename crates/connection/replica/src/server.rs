//! What is known about one incarnation of a server, from the calls to it.

use {
    crate::{Distance, Entry},
    link::{BackOff, Evidence, Refusal},
    std::time::{Duration, Instant},
};

/// Weight of a new sample in the mean slowness.
const SLOWNESS_WEIGHT: f64 = 0.25;
/// Most that one sample counts, in multiples of the mean; one pause must not
/// look like a server that is slow for long.
const SLOWNESS_CLIP: f64 = 3.0;
/// Least slowness above the mean that a sample may show before it is clipped.
const SLOWNESS_FLOOR: f64 = 1.0;
/// Time over which a server that gets no calls is forgiven.
const FORGIVENESS: Duration = Duration::from_secs(3);
/// Slowness of a server that has just started, as the platform's servers show it.
const COLD_SLOWNESS: f64 = 1.5;
/// Weight of a new outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// Time over which a stated load loses its weight: a few requests long.
const LOAD_DECAY: Duration = Duration::from_millis(100);
/// Failures in a row after which a server is held out.
const FAILURES_TO_HOLD_OUT: u32 = 3;
/// First time for which a failing server is held out.
const FIRST_HOLD_OUT: Duration = Duration::from_millis(250);
/// Longest time for which a failing server is held out; one call tries it after that.
const LONGEST_HOLD_OUT: Duration = Duration::from_secs(2);
/// Waiting requests assumed at a server that sheds without stating its load, in slots.
const SHED_QUEUE_SLOTS: u32 = 4;
/// Delay after which a call is overdue, beside twice its expected time.
const OVERDUE_SLACK: Duration = Duration::from_millis(15);

/// Load that a server states about itself, over all callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StatedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
}

/// One call that the server owes an answer to.
#[derive(Clone, Copy, Debug)]
struct Owed {
    call: u64,
    since: Instant,
    expected: Duration,
}

/// State of one incarnation.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) entry: Entry,
    pub(crate) distance: Distance,
    round_trip: Option<Duration>,
    slowness: f64,
    slowness_at: Instant,
    failure_share: f64,
    failures_in_row: u32,
    held_out: BackOff,
    cold_until: Instant,
    load: Option<(f64, Instant)>,
    owed: Vec<Owed>,
    /// Whether discovery lists the server.
    pub(crate) is_listed: bool,
    /// Since when discovery says that the server leaves, or no longer lists it.
    pub(crate) leaving_since: Option<Instant>,
}

impl Server {
    pub(crate) fn new(entry: Entry, distance: Distance, now: Instant) -> Self {
        Self {
            distance,
            round_trip: None,
            slowness: 1.0,
            slowness_at: now,
            failure_share: 0.0,
            failures_in_row: 0,
            held_out: BackOff::new(FIRST_HOLD_OUT, LONGEST_HOLD_OUT),
            cold_until: now + entry.cold_for,
            load: None,
            owed: Vec::new(),
            is_listed: true,
            leaving_since: None,
            entry,
        }
    }

    /// Takes the time that opening a connection took, which is one round trip.
    pub(crate) fn on_opened(&mut self, took: Duration) {
        // The shortest one seen: a longer one waited for the server or the host.
        self.round_trip = Some(self.round_trip.map_or(took, |known| known.min(took)));
    }

    pub(crate) fn on_begin(&mut self, call: u64, expected: Duration, now: Instant) {
        self.owed.push(Owed {
            call,
            since: now,
            expected,
        });
    }

    /// Takes the end of a call, and returns how long the server itself took if it replied.
    pub(crate) fn on_end(
        &mut self,
        call: u64,
        evidence: Evidence,
        typical_ms: f64,
        now: Instant,
    ) -> Option<Duration> {
        self.owed.retain(|owed| owed.call != call);
        match evidence {
            Evidence::Replied(latency) => {
                self.on_success();
                let took = latency.saturating_sub(self.round_trip());
                self.on_speed(took, typical_ms, now);
                Some(took)
            }
            Evidence::Refused(Refusal::Shed) => {
                self.failure_share += (1.0 - self.failure_share) * FAILURE_WEIGHT;
                let queue = self.entry.slots * (1 + SHED_QUEUE_SLOTS);
                self.on_queue(queue, now);
                None
            }
            Evidence::Died | Evidence::Unreachable => {
                self.on_failure(now);
                None
            }
            Evidence::Cancelled(waited) => {
                let took = waited.saturating_sub(self.round_trip());
                if took.as_secs_f64() * 1_000.0 > typical_ms * self.slowness {
                    self.on_speed(took, typical_ms, now);
                }
                None
            }
            Evidence::Refused(Refusal::Draining) => {
                self.leaving_since.get_or_insert(now);
                None
            }
            Evidence::Refused(Refusal::Other) | Evidence::Nothing => None,
        }
    }

    fn on_success(&mut self) {
        self.failures_in_row = 0;
        self.held_out.on_success();
        self.failure_share -= self.failure_share * FAILURE_WEIGHT;
    }

    fn on_failure(&mut self, now: Instant) {
        self.failure_share += (1.0 - self.failure_share) * FAILURE_WEIGHT;
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        if self.failures_in_row >= FAILURES_TO_HOLD_OUT {
            self.held_out.on_failure(1.0, now);
        }
    }

    fn on_speed(&mut self, took: Duration, typical_ms: f64, now: Instant) {
        let sample = took.as_secs_f64() * 1_000.0 / typical_ms.max(0.1);
        let mean = self.slowness(now);
        let most = mean.max(SLOWNESS_FLOOR) * SLOWNESS_CLIP;
        self.slowness = mean + (sample.min(most) - mean) * SLOWNESS_WEIGHT;
        self.slowness_at = now;
    }

    /// Takes the load that the server states.
    pub(crate) fn on_load(&mut self, stated: StatedLoad, now: Instant) {
        self.on_queue(stated.running + stated.waiting, now);
    }

    /// Takes the requests that run or wait at the server, over all callers.
    fn on_queue(&mut self, queue: u32, now: Instant) {
        // Calls of this host are counted apart, since it knows them exactly.
        let own = u32::try_from(self.owed.len()).unwrap_or(u32::MAX);
        self.load = Some((f64::from(queue.saturating_sub(own)), now));
    }

    /// Returns the round trip, measured or assumed.
    pub(crate) fn round_trip(&self) -> Duration {
        self.round_trip
            .unwrap_or_else(|| self.distance.round_trip())
    }

    /// Returns the time that the server takes, in multiples of the usual one.
    pub(crate) fn slowness(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.slowness_at);
        let kept = (-age.as_secs_f64() / FORGIVENESS.as_secs_f64()).exp();
        let learned = 1.0 + (self.slowness - 1.0) * kept;
        if now < self.cold_until {
            learned.max(COLD_SLOWNESS)
        } else {
            learned
        }
    }

    /// Returns the share of recent calls that failed or were refused.
    pub(crate) fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Returns the requests that run or wait at the server, as far as is known.
    pub(crate) fn queue(&self, now: Instant) -> f64 {
        let others = self.load.map_or(0.0, |(others, at)| {
            let age = now.saturating_duration_since(at);
            others * (-age.as_secs_f64() / LOAD_DECAY.as_secs_f64()).exp()
        });
        self.owed.len() as f64 + others
    }

    /// Returns for how long the oldest answer is owed beyond what was expected, if it is.
    pub(crate) fn overdue(&self, now: Instant) -> Option<Duration> {
        let late = |owed: &Owed| {
            let due = owed.since + owed.expected * 2 + OVERDUE_SLACK;
            now.checked_duration_since(due)
        };
        self.owed.iter().filter_map(late).max()
    }

    /// Returns whether the server has failed several times in a row a moment ago.
    pub(crate) fn is_held_out(&self, now: Instant) -> bool {
        self.held_out.until(now).is_some()
    }
}
