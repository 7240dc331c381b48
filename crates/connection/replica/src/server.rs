//! State of one incarnation of a server, as observed from the calls to it.

use {
    crate::{call_rate::CallRate, warm_up::WarmUp, Distance, LimitShare, ServerEntry, Slowness},
    link::{BackOff, Evidence, Refusal},
    routing::WarmUpLimit,
    std::time::{Duration, Instant},
};

/// Weight of a new sample in the moving average of the latency ratio.
const LATENCY_RATIO_WEIGHT: f64 = 0.25;
/// Limit for one sample, in multiples of the average, so that a single pause
/// does not make a server look slow for long.
const LATENCY_RATIO_CLIP: f64 = 3.0;
/// Lower bound of the average in the computation of that limit, so that a sample
/// of up to three times the route's median is never clipped.
const LATENCY_RATIO_CLIP_FLOOR: f64 = 1.0;
/// Time constant with which the latency ratio returns to 1 without new samples,
/// so that a slow server gets calls again.
const LATENCY_RATIO_DECAY: Duration = Duration::from_secs(3);
/// Lower bound of the latency ratio of a server that is still warming up, so that
/// forecasts count it as slower than the route's median.
const WARMUP_LATENCY_RATIO: f64 = 1.5;
/// Weight of a new result in the moving average of the failure rate.
const FAILURE_WEIGHT: f64 = 0.2;
/// Time constant with which a reported load loses its weight: a few requests long.
const LOAD_DECAY: Duration = Duration::from_millis(100);
/// Consecutive failures after which a server is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection of a failing server.
const FIRST_EJECTION: Duration = Duration::from_millis(250);
/// Longest ejection of a failing server. A call is tried after each one, and a
/// single further failure ejects the server again.
const LONGEST_EJECTION: Duration = Duration::from_secs(2);
/// Waiting requests assumed at a server that sheds without reporting its load,
/// in multiples of its slots.
const SHED_QUEUE_PER_SLOT: u32 = 4;
/// Longest time for which a server that has refused a call is not called.
const MAX_QUIET_TIME: Duration = Duration::from_secs(600);
/// A call is overdue once it takes longer than twice its expected latency and
/// this time.
const OVERDUE_SLACK: Duration = Duration::from_millis(15);

/// Load that a server reports about itself, caused by all callers together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportedLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub waiting: u32,
    /// How long work takes on the server's machine at this moment.
    pub slowness: Slowness,
}

/// A call that the server has not answered yet.
#[derive(Clone, Copy, Debug)]
struct InFlightCall {
    id: u64,
    started_at: Instant,
    expected: Duration,
}

/// State of one incarnation of a server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) entry: ServerEntry,
    pub(crate) distance: Distance,
    round_trip: Option<Duration>,
    /// Moving average of the latency without the network round trip, in multiples
    /// of the route's median on a machine as slow as reported.
    latency_ratio: f64,
    latency_ratio_at: Instant,
    failure_rate: f64,
    consecutive_failures: u32,
    ejection: BackOff,
    warmup_until: Instant,
    pub(crate) warm_up: WarmUp,
    /// Requests of other hosts at the server, and when this number was reported or
    /// assumed.
    foreign_load: Option<(f64, Instant)>,
    /// Last reported slowness of the machine, and when it was reported.
    slowness: Option<(Slowness, Instant)>,
    in_flight: Vec<InFlightCall>,
    /// Whether the server itself has said that it leaves, which discovery does not undo.
    pub(crate) has_announced_leaving: bool,
    /// Time until which the server wants no calls of this host.
    quiet_until: Option<Instant>,
    /// Rate of this host's calls, while the server limits its callers.
    call_rate: Option<CallRate>,
    /// Whether discovery lists the server.
    pub(crate) is_listed: bool,
    /// Time until which the server is called if its service has no other, once it
    /// leaves: discovery lists it as draining or no longer lists it, or the server
    /// itself has said so.
    pub(crate) callable_until: Option<Instant>,
    /// Time of the last reply, to a refused call, too.
    pub(crate) last_reply_at: Option<Instant>,
}

impl Server {
    pub(crate) fn new(
        entry: ServerEntry,
        distance: Distance,
        warm_up_limit: Option<WarmUpLimit>,
        now: Instant,
    ) -> Self {
        Self {
            distance,
            round_trip: None,
            latency_ratio: 1.0,
            latency_ratio_at: now,
            failure_rate: 0.0,
            consecutive_failures: 0,
            ejection: BackOff::new(FIRST_EJECTION, LONGEST_EJECTION),
            warmup_until: now + entry.warmup_left,
            warm_up: WarmUp::new(warm_up_limit, entry.warmup_left, now),
            foreign_load: None,
            slowness: None,
            in_flight: Vec::new(),
            has_announced_leaving: false,
            quiet_until: None,
            call_rate: None,
            is_listed: true,
            callable_until: None,
            last_reply_at: None,
            entry,
        }
    }

    /// Records how long it took to open a connection, which is one round trip.
    pub(crate) fn on_connected(&mut self, connect_time: Duration) {
        // Longer samples include waiting at the server or at this host.
        self.round_trip = Some(
            self.round_trip
                .map_or(connect_time, |known| known.min(connect_time)),
        );
    }

    /// Records the start of a call.
    pub(crate) fn on_call_started(&mut self, id: u64, expected: Duration, now: Instant) {
        if let Some(call_rate) = &mut self.call_rate {
            call_rate.on_call(now);
        }
        self.warm_up.reserve(id, now);
        self.in_flight.push(InFlightCall {
            id,
            started_at: now,
            expected,
        });
    }

    /// Returns when a call in flight was started, and the expected time to its answer.
    pub(crate) fn call_in_flight(&self, id: u64) -> Option<(Instant, Duration)> {
        let mut calls = self.in_flight.iter();
        let call = calls.find(|call| call.id == id)?;
        Some((call.started_at, call.expected))
    }

    /// Records the end of a call, and returns the latency without the network
    /// round trip if the server replied.
    pub(crate) fn on_call_ended(
        &mut self,
        id: u64,
        evidence: Evidence,
        median_ms: f64,
        now: Instant,
    ) -> Option<Duration> {
        self.in_flight.retain(|call| call.id != id);
        self.warm_up.release(id);
        if matches!(evidence, Evidence::Replied(_) | Evidence::Refused(_)) {
            self.last_reply_at = Some(now);
        }
        match evidence {
            Evidence::Replied(latency) => {
                self.on_success();
                let server_latency = latency.saturating_sub(self.round_trip());
                self.on_server_latency(server_latency, median_ms, now);
                Some(server_latency)
            }
            Evidence::Refused(Refusal::Shed) => {
                self.failure_rate += (1.0 - self.failure_rate) * FAILURE_WEIGHT;
                let queue = self.entry.slots.saturating_mul(1 + SHED_QUEUE_PER_SLOT);
                self.on_queue(queue, now);
                None
            }
            Evidence::ConnectionLost | Evidence::Unreachable | Evidence::NoResponse => {
                self.on_failure(now);
                None
            }
            Evidence::Cancelled(waited) => {
                let server_latency = waited.saturating_sub(self.round_trip());
                if server_latency.as_secs_f64() * 1_000.0 > median_ms * self.latency_ratio {
                    self.on_server_latency(server_latency, median_ms, now);
                }
                None
            }
            Evidence::Refused(Refusal::Draining) => {
                self.leave_by(now);
                None
            }
            Evidence::Refused(Refusal::Other) | Evidence::Inconclusive => None,
        }
    }

    fn on_success(&mut self) {
        self.consecutive_failures = 0;
        self.ejection.on_success();
        self.failure_rate -= self.failure_rate * FAILURE_WEIGHT;
    }

    /// Forgets earlier failures.
    pub(crate) fn forgive_failures(&mut self) {
        self.consecutive_failures = 0;
        self.ejection.on_success();
        self.failure_rate = 0.0;
    }

    fn on_failure(&mut self, now: Instant) {
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_WEIGHT;
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.consecutive_failures >= FAILURES_TO_EJECT {
            self.ejection.on_failure(1.0, now);
        }
    }

    fn on_server_latency(&mut self, server_latency: Duration, median_ms: f64, now: Instant) {
        // Forecasts multiply by the slowness of the machine, so that it must not count here.
        let usual_ms = median_ms.max(0.1) * self.slowness(now);
        let sample = server_latency.as_secs_f64() * 1_000.0 / usual_ms;
        let average = self.latency_ratio(now);
        let limit = average.max(LATENCY_RATIO_CLIP_FLOOR) * LATENCY_RATIO_CLIP;
        self.latency_ratio = average + (sample.min(limit) - average) * LATENCY_RATIO_WEIGHT;
        self.latency_ratio_at = now;
    }

    /// Records the limit that the server names for all hosts together and this host's
    /// share of it, and returns whether the limit is new.
    pub(crate) fn on_limit(&mut self, limit_per_s: f64, share: LimitShare, now: Instant) -> bool {
        if let Some(call_rate) = &mut self.call_rate {
            call_rate.update(limit_per_s, share, now);
            return false;
        }
        self.call_rate = Some(CallRate::new(limit_per_s, share, now));
        true
    }

    /// Records that the server names no limit, and returns whether it did before.
    pub(crate) fn on_no_limit(&mut self) -> bool {
        self.call_rate.take().is_some()
    }

    /// Records that the server leaves and is called until `until` at most. A time that
    /// is already set stays.
    pub(crate) fn leave_by(&mut self, until: Instant) {
        self.callable_until.get_or_insert(until);
    }

    /// Returns whether the server is known to leave.
    pub(crate) fn is_leaving(&self) -> bool {
        self.callable_until.is_some()
    }

    /// Records that the server has said that it leaves and is called until `until`
    /// at most, and returns whether that is new.
    pub(crate) fn on_leaving(&mut self, until: Instant) -> bool {
        self.leave_by(until);
        !std::mem::replace(&mut self.has_announced_leaving, true)
    }

    /// Records that the server wants no calls of this host for `time`.
    pub(crate) fn on_retry_after(&mut self, time: Duration, now: Instant) {
        let until = now + time.min(MAX_QUIET_TIME);
        self.quiet_until = self.quiet_until.max(Some(until));
    }

    /// Returns how much longer the server wants no calls of this host.
    pub(crate) fn quiet_for(&self, now: Instant) -> Duration {
        self.quiet_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns the time until the server takes another call of this host: it wants
    /// none now, its limit admits none, or it is cold.
    pub(crate) fn closed_for(&self, now: Instant) -> Duration {
        self.limited_for(now).max(self.warm_up.wait(now))
    }

    /// Returns the time of [`closed_for`](Self::closed_for) of a warm server.
    pub(crate) fn limited_for(&self, now: Instant) -> Duration {
        let call_rate = self.call_rate.as_ref();
        let call_rate = call_rate.filter(|call_rate| !call_rate.is_expired(now));
        let limit_wait = call_rate.map_or(Duration::ZERO, |call_rate| call_rate.wait(now));
        limit_wait.max(self.quiet_for(now))
    }

    /// Records the load that the server reports.
    pub(crate) fn on_load(&mut self, load: ReportedLoad, now: Instant) {
        self.slowness = Some((load.slowness, now));
        self.on_queue(load.running.saturating_add(load.waiting), now);
    }

    /// Records the number of requests of all callers that run or wait at the server.
    fn on_queue(&mut self, queue: u32, now: Instant) {
        // Leaves out the calls of this host, whose number is known exactly.
        let own = u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX);
        self.foreign_load = Some((f64::from(queue.saturating_sub(own)), now));
    }

    /// Returns the round trip, measured or assumed.
    pub(crate) fn round_trip(&self) -> Duration {
        self.round_trip
            .unwrap_or_else(|| self.distance.round_trip())
    }

    /// Returns the latency of the server, without the network round trip, in
    /// multiples of the route's median on a machine as slow as reported.
    pub(crate) fn latency_ratio(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.latency_ratio_at);
        let kept = (-age.as_secs_f64() / LATENCY_RATIO_DECAY.as_secs_f64()).exp();
        let decayed = 1.0 + (self.latency_ratio - 1.0) * kept;
        if now < self.warmup_until {
            decayed.max(WARMUP_LATENCY_RATIO)
        } else {
            decayed
        }
    }

    /// Returns the expected duration of work on the server's machine, in multiples of
    /// the normal duration.
    pub(crate) fn slowness(&self, now: Instant) -> f64 {
        self.slowness.map_or(1.0, |(slowness, at)| {
            slowness.after(now.saturating_duration_since(at))
        })
    }

    /// Returns the share of recent calls that failed or were shed.
    pub(crate) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns the estimated number of requests that run or wait at the server.
    pub(crate) fn queue(&self, now: Instant) -> f64 {
        let foreign = self.foreign_load.map_or(0.0, |(requests, at)| {
            let age = now.saturating_duration_since(at);
            requests * (-age.as_secs_f64() / LOAD_DECAY.as_secs_f64()).exp()
        });
        self.in_flight.len() as f64 + foreign
    }

    /// Returns by how much the most overdue call exceeds its time limit, if one does.
    pub(crate) fn overdue(&self, now: Instant) -> Option<Duration> {
        let excess = |call: &InFlightCall| {
            let limit = call.started_at + call.expected * 2 + OVERDUE_SLACK;
            now.checked_duration_since(limit)
        };
        self.in_flight.iter().filter_map(excess).max()
    }

    /// Returns whether the server is ejected after consecutive failures.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejection.paused_until(now).is_some()
    }
}
