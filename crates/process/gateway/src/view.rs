//! The servers as one request sees them, and the relays that stand in for them.
//!
//! A first call goes through a relay where the server is in another region, or
//! where hosts are too many to hold connections of their own.

use {
    crate::{
        relay::{Relay, RelayKey},
        shared::Shared,
        Adapter,
    },
    record::ZoneId,
    replica::{Pick, ReplicaKey, Want},
    routing::{ServiceName, Table},
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
    pub(crate) relaying: Relaying,
    pub(crate) table: &'a Table,
    /// Relays chosen for all parts of a zone.
    pub(crate) chosen: Vec<(ZoneId, Option<RelayKey>)>,
}

/// Which calls go through relays.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Relaying {
    /// None, as for requests to a single service.
    None,
    /// None, as of a host that relays itself.
    Own,
    /// First calls, answered after this time with what there is.
    First(Duration),
}

impl<A: Adapter> View<'_, A> {
    /// Returns the relay for a first call to the server of `pick`.
    ///
    /// Second calls go without: a relay makes them itself, up to the most
    /// servers that a part may reach.
    fn relay_for(
        &mut self,
        service: &ServiceName,
        pick: Pick,
        tried: &[Via],
        now: Instant,
    ) -> Option<RelayKey> {
        if !tried.is_empty() {
            return None;
        }
        let zone = {
            let replicas = self.shared.replicas.borrow();
            replicas.entry(pick.key)?.zone.clone()
        };
        if let Some((_, relay)) = self.chosen.iter().find(|(known, _)| *known == zone) {
            return *relay;
        }
        let limit = self.table.connection_limit(service);
        match self.shared.choose_relay(&zone, service, limit, now) {
            Relay::OfZone(relay) => {
                self.chosen.push((zone, relay));
                relay
            }
            Relay::OfService(relay) => relay,
        }
    }
}

impl<A: Adapter> Replicas for View<'_, A> {
    type Key = Via;

    fn pick(
        &mut self,
        service: &ServiceName,
        tried: &[Via],
        most: usize,
        now: Instant,
    ) -> Option<Candidate<Via>> {
        let servers = tried.iter().filter_map(|via| match via {
            Via::Server(key) => Some(*key),
            Via::Relay(_) => None,
        });
        let servers: Vec<ReplicaKey> = servers.collect();
        let want = Want {
            typical_ms: self.typical_ms,
            reserve: self.shared.extras.borrow().reserve(service),
        };
        let replicas = self.shared.replicas.borrow();
        let pick = replicas.pick(service, &servers, want, now, &mut rand::rng())?;
        drop(replicas);
        if let Relaying::First(expected) = self.relaying {
            if let Some(relay) = self.relay_for(service, pick, tried, now) {
                return Some(Candidate {
                    server: Via::Relay(relay),
                    expected,
                    is_free: true,
                    reaches: most,
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
}
