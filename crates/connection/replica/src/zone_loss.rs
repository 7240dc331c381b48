//! Detects that a whole zone is lost.
//!
//! Load: all servers and hosts of a zone or region stop at the same moment, while each
//! host sends a few requests a second to hundreds of services. A host that had to find
//! out for each server by itself would call one lost server after the other for many
//! seconds. Instead, a few servers without an answer, and no answer from the zone since
//! their calls began, show that its other servers are lost, too.

use {
    crate::ReplicaKey,
    link::BackOff,
    record::ZoneId,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Servers or hosts without an answer that show that their zone is lost.
const WITNESSES: usize = 3;
/// Time for which a call without an answer counts.
const WITNESS_RETENTION: Duration = Duration::from_secs(10);
/// Largest number of servers that are remembered as lost. One of them is called after
/// each pause, whatever it costs, since the others are avoided until it answers.
const MAX_WITNESSES: usize = 64;
/// Pause after the detection, until one call is sent to the zone again.
const FIRST_PAUSE: Duration = Duration::from_secs(2);
/// Longest pause between two such calls. The entries of lost servers expire within
/// about that time.
const LONGEST_PAUSE: Duration = Duration::from_secs(16);
/// Time for which one server is the only one to be called after a pause. Its service
/// may have no requests.
const PROBE_TIME: Duration = Duration::from_secs(2);
/// Time without an answer after which a cancelled call counts like a failed one. Longer
/// than the pauses of servers.
pub(crate) const SILENCE: Duration = Duration::from_millis(400);
/// Multiple of the expected time to the answer that a cancelled call must have waited, too.
pub(crate) const SLOW_ANSWER_FACTOR: u32 = 4;
/// Time after which a failed call to a host counts. A machine whose process does not run
/// refuses connections sooner.
pub(crate) const MIN_HOST_SILENCE: Duration = Duration::from_millis(50);
/// Time after the last sign of a loss for which a zone is avoided. Routes whose requests
/// must not be repeated send no calls to find out whether it is back.
const LOSS_RETENTION: Duration = Duration::from_secs(30);

/// A server or host that has not answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Witness {
    Server(ReplicaKey),
    Host(String),
}

/// What calls have shown of a zone.
#[derive(Clone, Debug)]
struct ZoneHealth {
    replied_at: Option<Instant>,
    /// Servers and hosts that have not answered since, and when that was found.
    silent: Vec<(Witness, Instant)>,
    /// Until when the zone is avoided, if it is lost.
    lost_until: Option<Instant>,
    back_off: BackOff,
}

/// Zones of which recent calls have shown something.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneLosses(HashMap<ZoneId, ZoneHealth>);

impl ZoneLosses {
    /// Records an answer of a server or host of `zone`, and returns whether the zone was
    /// lost.
    pub(crate) fn on_reply(&mut self, zone: &str, now: Instant) -> bool {
        let Some(health) = self.0.get_mut(zone) else {
            let mut health = ZoneHealth::new();
            health.replied_at = Some(now);
            self.0.insert(zone.to_owned(), health);
            return false;
        };
        health.replied_at = Some(now);
        health.silent.clear();
        health.back_off.on_success();
        health.lost_until.take().is_some()
    }

    /// Records that a call which began at `started_at` got no answer.
    pub(crate) fn on_silence(
        &mut self,
        zone: &str,
        witness: Witness,
        started_at: Instant,
        now: Instant,
    ) {
        let health = self.0.entry(zone.to_owned());
        health
            .or_insert_with(ZoneHealth::new)
            .on_silence(witness, started_at, now);
    }

    /// Returns whether a zone is lost, so that servers elsewhere are preferred.
    pub(crate) fn is_lost(&self, zone: &str, now: Instant) -> bool {
        self.0.get(zone).is_some_and(|health| health.is_lost(now))
    }

    /// Returns whether the server with key `key` should be called to find out whether
    /// its zone is back.
    pub(crate) fn is_probe(&self, zone: &str, key: ReplicaKey, now: Instant) -> bool {
        let lost = self.0.get(zone).filter(|health| health.is_lost(now));
        lost.is_some_and(|health| health.is_probe(key, now))
    }

    /// Records the start of a call, which is followed by a pause if it is to find out
    /// whether the zone is back.
    pub(crate) fn on_call_started(&mut self, zone: &str, key: ReplicaKey, now: Instant) {
        let lost = self.0.get_mut(zone).filter(|health| health.is_lost(now));
        if let Some(health) = lost.filter(|health| health.is_probe(key, now)) {
            health.back_off.on_failure(1.0, now);
        }
    }

    /// Records that a server of `zone` is not known any longer.
    pub(crate) fn on_removed(&mut self, zone: &str, key: ReplicaKey) {
        if let Some(health) = self.0.get_mut(zone) {
            health
                .silent
                .retain(|(witness, _)| *witness != Witness::Server(key));
        }
    }

    /// Records that a server of `zone` has appeared in discovery.
    pub(crate) fn on_listed(&mut self, zone: &str) {
        if let Some(health) = self.0.get_mut(zone) {
            *health = ZoneHealth {
                replied_at: health.replied_at,
                ..ZoneHealth::new()
            };
        }
    }

    /// Returns the zones that are lost.
    pub(crate) fn zones(&self, now: Instant) -> impl Iterator<Item = &ZoneId> {
        let lost = self.0.iter().filter(move |(_, health)| health.is_lost(now));
        lost.map(|(zone, _)| zone)
    }
}

impl ZoneHealth {
    fn new() -> Self {
        Self {
            replied_at: None,
            silent: Vec::new(),
            lost_until: None,
            back_off: BackOff::new(FIRST_PAUSE, LONGEST_PAUSE),
        }
    }

    fn is_lost(&self, now: Instant) -> bool {
        self.lost_until.is_some_and(|until| now < until)
    }

    fn on_silence(&mut self, witness: Witness, started_at: Instant, now: Instant) {
        if self.replied_at.is_some_and(|at| at > started_at) {
            return;
        }
        let is_recent = |at: Instant| now.saturating_duration_since(at) < WITNESS_RETENTION;
        self.silent
            .retain(|(known, at)| *known != witness && is_recent(*at));
        if self.silent.len() < MAX_WITNESSES {
            self.silent.push((witness, now));
        }
        if self.silent.len() >= WITNESSES || self.is_lost(now) {
            self.lost_until = Some(now + LOSS_RETENTION);
        }
        // Calls that began together, or after the start of a pause, count as one failure.
        if self.is_lost(now) && self.back_off.paused_until(now).is_none() {
            self.back_off.on_failure(1.0, now);
        }
    }

    /// Returns whether the server with key `key` is called to find out whether the zone
    /// is back: one of those that have not answered, or any if only hosts have not or
    /// none of those servers was called in its turn.
    fn is_probe(&self, key: ReplicaKey, now: Instant) -> bool {
        if self.back_off.paused_until(now).is_some() {
            return false;
        }
        let servers = self
            .silent
            .iter()
            .filter_map(|(witness, at)| match witness {
                Witness::Server(key) => Some((*key, *at)),
                Witness::Host(_) => None,
            });
        let servers: Vec<(ReplicaKey, Instant)> = servers.collect();
        let Some(last_at) = servers.iter().map(|(_, at)| *at).max() else {
            return true;
        };
        let turns = now.saturating_duration_since(last_at).as_millis() / PROBE_TIME.as_millis();
        let turn = usize::try_from(turns).unwrap_or(usize::MAX);
        servers
            .get(turn)
            .is_none_or(|(turn_key, _)| *turn_key == key)
    }
}
