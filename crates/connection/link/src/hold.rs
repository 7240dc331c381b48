//! What a hold does: where and when a request that ends servers may run.
//!
//! Load: callers that send such a request again and again for a day, at any host,
//! while hosts restart and the store is out of reach or returns from a copy.

use {
    crate::ServiceNames,
    routing::ServiceName,
    std::time::{Duration, Instant},
};

/// Time for which a request is held back unless a canary is answered.
pub(crate) const HOLD_TIME: Duration = Duration::from_secs(24 * 3_600);
/// Times since the beginning of a hold from which the canaries may run.
const CANARY_TIMES: [Duration; 3] = [
    Duration::from_secs(1),
    Duration::from_secs(30),
    Duration::from_secs(600),
];
/// Shortest time that callers of a request that is held back are told to wait.
const MIN_WAIT: Duration = Duration::from_secs(1);

/// What hosts tell each other of a request that is held back.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HoldState {
    /// Time for which the request is still held back.
    pub left: Duration,
    /// Number of canaries that have run or may have.
    pub canaries: usize,
    /// Services at which the request may run.
    pub proven: ServiceNames,
    /// Number of the record, which rises with each write to the store. A record with a
    /// lower number, as from a copy of the store, is outdated.
    pub version: u64,
}

#[derive(Debug)]
pub(crate) struct Hold {
    pub(crate) since: Instant,
    pub(crate) until: Instant,
    pub(crate) canaries: usize,
    /// Time before which no further canary runs.
    pub(crate) paused_until: Instant,
    pub(crate) proven: ServiceNames,
    /// Those of `proven` that this host has found and that are in no record yet.
    pub(crate) unwritten_proven: ServiceNames,
    pub(crate) version: u64,
    /// Whether the last record that came from the store was outdated.
    pub(crate) is_store_outdated: bool,
}

impl Hold {
    pub(crate) fn new(state: HoldState, now: Instant) -> Self {
        Self {
            since: now,
            until: now + state.left.min(HOLD_TIME),
            canaries: state.canaries,
            paused_until: now,
            proven: state.proven,
            unwritten_proven: ServiceNames::new(),
            version: state.version,
            is_store_outdated: false,
        }
    }

    /// Records that a service has answered, and returns whether that is new.
    pub(crate) fn on_answered(&mut self, service: &ServiceName) -> bool {
        let is_new = self.proven.insert(service.clone());
        if is_new {
            self.unwritten_proven.insert(service.clone());
        }
        is_new
    }

    /// Records the loss of a server of a service, and returns whether the service was
    /// proven until then.
    pub(crate) fn on_disproven(&mut self, service: &ServiceName) -> bool {
        self.unwritten_proven.remove(service);
        self.proven.remove(service)
    }

    /// Takes a newer record of another host, which need not know what this host has found.
    pub(crate) fn take_newer(&mut self, state: HoldState) {
        self.on_proven_written(&state.proven);
        self.canaries = state.canaries;
        self.proven = state.proven;
        self.proven.extend(self.unwritten_proven.iter().cloned());
        self.version = state.version;
    }

    /// Records that a record with these proven services is in the store.
    pub(crate) fn on_proven_written(&mut self, proven: &ServiceNames) {
        self.unwritten_proven
            .retain(|service| !proven.contains(service));
    }

    /// Returns the time from which the next canary may run, or at which the hold ends.
    pub(crate) fn next_run_at(&self) -> Instant {
        let canary_time = CANARY_TIMES.get(self.canaries);
        let next_at = canary_time.map(|time| (self.since + *time).max(self.paused_until));
        next_at.map_or(self.until, |at| at.min(self.until))
    }

    pub(crate) fn wait(&self, now: Instant) -> Duration {
        let wait = self.next_run_at().saturating_duration_since(now);
        wait.max(MIN_WAIT)
    }

    /// Returns which of the `unproven` services the next canary reaches: one, until one
    /// has answered, since a harmful query would end a server of each.
    pub(crate) fn probed(&self, unproven: ServiceNames) -> ServiceNames {
        if !self.proven.is_empty() {
            return unproven;
        }
        let turn = self.canaries % unproven.len().max(1);
        unproven.into_iter().skip(turn).take(1).collect()
    }

    pub(crate) fn state(&self, now: Instant) -> HoldState {
        HoldState {
            left: self.until.saturating_duration_since(now),
            canaries: self.canaries,
            proven: self.proven.clone(),
            version: self.version,
        }
    }
}
