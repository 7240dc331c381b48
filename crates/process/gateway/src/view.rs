//! The servers as one request sees them, with the relays before those far away.

use {
    crate::{relay::RelayKey, shared::Shared, Adapter},
    record::RegionId,
    replica::{Distance, Pick, ReplicaKey},
    routing::ServiceName,
    scatter::{Candidate, Replicas},
    std::time::{Duration, Instant},
};

/// Where a call goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Via {
    /// To a server.
    Server(ReplicaKey),
    /// To a host near the server, which calls it.
    Relay(RelayKey),
}

/// The servers as a request of one route sees them.
pub(crate) struct View<'a, A: Adapter> {
    pub(crate) shared: &'a Shared<A>,
    pub(crate) typical_ms: f64,
    /// Time until a relay answers with what it has, or `None` to go without relays.
    pub(crate) relayed_for: Option<Duration>,
    /// Most servers that a part may reach.
    pub(crate) max_attempts: usize,
    /// Relays chosen, by region: all parts of a region go to the same one.
    pub(crate) chosen: Vec<(RegionId, Option<RelayKey>)>,
}

impl<A: Adapter> View<'_, A> {
    fn relay_for(&mut self, pick: Pick, tried: &[Via], now: Instant) -> Option<RelayKey> {
        let has_tried = tried.iter().any(|via| matches!(via, Via::Relay(_)));
        if pick.distance != Distance::Far || has_tried {
            return None;
        }
        let region = {
            let replicas = self.shared.replicas.borrow();
            let zone = &replicas.entry(pick.key)?.zone;
            self.shared.settings.place.regions.get(zone)?.clone()
        };
        if let Some((_, relay)) = self.chosen.iter().find(|(known, _)| *known == region) {
            return *relay;
        }
        let relay = self.shared.choose_relay(&region, now);
        self.chosen.push((region, relay));
        relay
    }
}

impl<A: Adapter> Replicas for View<'_, A> {
    type Key = Via;

    fn pick(
        &mut self,
        service: &ServiceName,
        tried: &[Via],
        now: Instant,
    ) -> Option<Candidate<Via>> {
        let servers = tried.iter().filter_map(|via| match via {
            Via::Server(key) => Some(*key),
            Via::Relay(_) => None,
        });
        let servers: Vec<ReplicaKey> = servers.collect();
        let replicas = self.shared.replicas.borrow();
        let pick = replicas.pick(service, &servers, self.typical_ms, now)?;
        drop(replicas);
        if let Some(relayed_for) = self.relayed_for {
            if let Some(relay) = self.relay_for(pick, tried, now) {
                return Some(Candidate {
                    server: Via::Relay(relay),
                    expected: relayed_for,
                    is_free: true,
                    reaches: self.max_attempts,
                });
            }
        }
        Some(Candidate {
            server: Via::Server(pick.key),
            expected: pick.expected,
            is_free: pick.is_free,
            reaches: 1,
        })
    }

    fn take_extra(&mut self, service: &ServiceName, now: Instant) -> bool {
        self.shared.extras.borrow_mut().take(service, now)
    }

    fn servers(&self, service: &ServiceName) -> usize {
        self.shared.replicas.borrow().ready(service).len()
    }
}
