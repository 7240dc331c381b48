//! The order in which an entry tries the relays of a service.
//!
//! The entry itself goes first if it is a relay, for there is no hop then.
//! The others follow by region, the own one first, and within a region by the
//! better of two random ones. A host that failed a moment ago goes last.

use {
    crate::Member,
    rand::Rng,
    record::HostId,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Time for which a failed host goes after all others.
pub const FAILURE_MEMORY: Duration = Duration::from_secs(3);
/// Number of hosts from which tracks that say nothing are dropped.
const MAX_TRACKS: usize = 1_024;

/// What an entry remembers of a host that it forwards to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Track {
    /// Forwards in flight.
    pub in_flight: u32,
    /// Time of the last failure.
    pub failed_at: Option<Instant>,
}

/// How a forward ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The host answered, if only with a refusal of the request.
    Answered,
    /// The host did not answer or takes no work.
    Failed,
    /// Nobody waits for the answer any more.
    Dropped,
}

/// What an entry remembers of the hosts that it forwards to.
#[derive(Debug, Default)]
pub struct Choice {
    tracks: HashMap<HostId, Track>,
}

impl Choice {
    /// Returns the relays in the order in which they are to be tried.
    pub fn order<'a>(
        &self,
        relays: &'a [Member],
        own: &Member,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<&'a Member> {
        let (mut order, others): (Vec<_>, Vec<_>) =
            relays.iter().partition(|relay| relay.id == own.id);
        let (failed, fine): (Vec<_>, Vec<_>) =
            others.into_iter().partition(|m| self.has_failed(m, now));
        for group in [fine, failed] {
            let (near, far): (Vec<_>, Vec<_>) =
                group.into_iter().partition(|m| m.region == own.region);
            order.extend(self.by_two_choices(near, rng));
            order.extend(self.by_two_choices(far, rng));
        }
        order
    }

    /// Notes that a forward begins.
    pub fn on_sent(&mut self, id: &HostId) {
        if self.tracks.len() >= MAX_TRACKS {
            self.tracks.retain(|_, track| track.in_flight > 0);
        }
        self.tracks.entry(id.clone()).or_default().in_flight += 1;
    }

    /// Notes how a forward ended.
    pub fn on_done(&mut self, id: &HostId, outcome: Outcome, now: Instant) {
        let track = self.tracks.entry(id.clone()).or_default();
        track.in_flight = track.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Answered => track.failed_at = None,
            Outcome::Failed => track.failed_at = Some(now),
            Outcome::Dropped => {}
        }
    }

    /// Returns the forwards in flight.
    pub fn in_flight(&self) -> u32 {
        self.tracks.values().map(|track| track.in_flight).sum()
    }

    /// Returns whether a host failed a moment ago.
    pub fn has_failed(&self, member: &Member, now: Instant) -> bool {
        let failed_at = self.tracks.get(&member.id).and_then(|t| t.failed_at);
        failed_at.is_some_and(|at| now.saturating_duration_since(at) < FAILURE_MEMORY)
    }

    fn load_of(&self, member: &Member) -> u32 {
        self.tracks.get(&member.id).map_or(0, |t| t.in_flight)
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
            let is_second = self.load_of(members[second]) < self.load_of(members[first]);
            order.push(members.swap_remove(if is_second { second } else { first }));
        }
        order
    }
}
