//! The order in which an entry tries the relays of a service.
//!
//! The entry itself comes first if it is a relay, because that saves a network
//! hop. Relays in the entry's own region come before the others, and within
//! each of the two groups the order is by power of two random choices over the
//! requests in flight. Hosts that failed recently come last.

use {
    crate::Member,
    rand::Rng,
    record::HostId,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Time for which a failed host is tried after all others.
pub const FAILURE_MEMORY: Duration = Duration::from_secs(3);
/// Number of tracked hosts from which those without requests in flight are dropped.
const MAX_STATES: usize = 1_024;

/// State that an entry keeps for a host it forwards to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HostState {
    /// Forwarded requests in flight.
    pub in_flight: u32,
    /// Time of the last failure.
    pub failed_at: Option<Instant>,
}

/// How a forwarded request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The host answered, possibly by refusing the request.
    Answered,
    /// The host did not answer or accepts no requests.
    Failed,
    /// The entry stopped waiting for the answer.
    Dropped,
}

/// Orders relays by the state that an entry keeps for the hosts it forwards to.
#[derive(Debug, Default)]
pub struct RelaySelector {
    states: HashMap<HostId, HostState>,
}

impl RelaySelector {
    /// Returns the relays in the order in which to try them.
    pub fn order<'a>(
        &self,
        relays: &'a [Member],
        own: &Member,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<&'a Member> {
        let (mut order, others): (Vec<_>, Vec<_>) =
            relays.iter().partition(|relay| relay.id == own.id);
        let (failed, healthy): (Vec<_>, Vec<_>) =
            others.into_iter().partition(|m| self.has_failed(m, now));
        for group in [healthy, failed] {
            let (local, remote): (Vec<_>, Vec<_>) =
                group.into_iter().partition(|m| m.region == own.region);
            order.extend(self.by_two_choices(local, rng));
            order.extend(self.by_two_choices(remote, rng));
        }
        order
    }

    /// Records the start of a forwarded request.
    pub fn on_sent(&mut self, id: &HostId) {
        if self.states.len() >= MAX_STATES {
            self.states.retain(|_, state| state.in_flight > 0);
        }
        self.states.entry(id.clone()).or_default().in_flight += 1;
    }

    /// Records the end of a forwarded request.
    pub fn on_done(&mut self, id: &HostId, outcome: Outcome, now: Instant) {
        let state = self.states.entry(id.clone()).or_default();
        state.in_flight = state.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Answered => state.failed_at = None,
            Outcome::Failed => state.failed_at = Some(now),
            Outcome::Dropped => {}
        }
    }

    /// Returns the number of forwarded requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.states.values().map(|state| state.in_flight).sum()
    }

    /// Returns whether a host failed within [`FAILURE_MEMORY`].
    pub fn has_failed(&self, member: &Member, now: Instant) -> bool {
        let failed_at = self
            .states
            .get(&member.id)
            .and_then(|state| state.failed_at);
        failed_at.is_some_and(|at| now.saturating_duration_since(at) < FAILURE_MEMORY)
    }

    fn load_of(&self, member: &Member) -> u32 {
        self.states
            .get(&member.id)
            .map_or(0, |state| state.in_flight)
    }

    fn by_two_choices<'a>(
        &self,
        mut members: Vec<&'a Member>,
        rng: &mut impl Rng,
    ) -> Vec<&'a Member> {
        let mut order = Vec::with_capacity(members.len());
        while !members.is_empty() {
            let first = rng.random_range(0..members.len());
            let second = rng.random_range(0..members.len());
            let is_second_less_loaded =
                self.load_of(members[second]) < self.load_of(members[first]);
            order.push(members.swap_remove(if is_second_less_loaded { second } else { first }));
        }
        order
    }
}
