//! Selection of the server or relay for each call of a request.
//!
//! The first call of a part goes through a relay if the server is in another
//! region, or if there are too many hosts for each of them to hold connections
//! to the server.

use {
    crate::{exchange::OutgoingRequest, relay::RelayChoice, shared::Shared, Adapter},
    fleet::RelayKey,
    link::{ServiceNames, CRASHES_TO_HOLD},
    plan::Reason,
    record::ZoneId,
    replica::{CallProfile, Distance, Pick, ReplicaKey},
    routing::{ServiceName, Table},
    scatter::{Candidate, Replicas},
    std::time::{Duration, Instant},
};

/// Longest time for which a call waits for its turn at a cold server.
const MAX_COLD_WAIT: Duration = Duration::from_millis(500);

/// Target of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallTarget {
    /// A server.
    Server(ReplicaKey),
    /// A host near the server, which calls the server.
    Relay(RelayKey),
}

/// State for the selection of servers and relays during one request.
pub(crate) struct ServerSelection<'a, A: Adapter> {
    pub(crate) shared: &'a Shared<A>,
    /// Usual time that servers work for a request of the route, in milliseconds.
    pub(crate) median_ms: f64,
    pub(crate) outgoing: &'a OutgoingRequest,
    /// Services at which the request may run, `None` for all.
    pub(crate) scope: Option<&'a ServiceNames>,
    pub(crate) relay_mode: RelayMode,
    pub(crate) table: &'a Table,
    /// Relays chosen for all calls to a zone, or `None` where this host calls the
    /// servers itself.
    pub(crate) zone_relays: Vec<(ZoneId, Option<RelayKey>)>,
}

/// Which calls of a request go through relays.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RelayMode {
    /// None, because the request goes to a single service.
    None,
    /// None, because this host is itself the relay of the request.
    IsRelay,
    /// The first call of each part. Relays reply after this time with the parts
    /// that have arrived.
    First(Duration),
}

impl<A: Adapter> ServerSelection<'_, A> {
    fn is_in_scope(&self, service: &ServiceName) -> bool {
        self.scope.is_none_or(|scope| scope.contains(service))
    }

    /// Returns whether a further server may run the request: not if it may be the
    /// request that has ended those that were tried.
    fn may_try_further(&self, service: &ServiceName, now: Instant) -> bool {
        let evidence = self.outgoing.evidence.borrow();
        let is_harmful = evidence.lost >= CRASHES_TO_HOLD && evidence.answered.is_empty();
        let crash_ledger = self.shared.crash_ledger.borrow();
        !is_harmful && !crash_ledger.is_held_at(self.outgoing.fingerprint, service, now)
    }

    /// Returns the relay for a call of a part, or `None` to call the server of `pick`
    /// directly.
    ///
    /// Calls after one to a server need no relay, because a relay retries and hedges by
    /// itself up to the largest number of servers that a part may reach. After relays
    /// of a far region that cannot be reached, the parts go to another one, all in one
    /// call: calling each server there directly would open a connection to every one.
    fn relay_for(
        &mut self,
        service: &ServiceName,
        pick: Pick,
        tried: &[CallTarget],
        now: Instant,
    ) -> Option<RelayKey> {
        if tried
            .iter()
            .any(|target| matches!(target, CallTarget::Server(_)))
        {
            return None;
        }
        let is_new = |relay: &RelayKey| !tried.contains(&CallTarget::Relay(*relay));
        let regions = &self.outgoing.allowed_regions;
        let relay = self
            .shared
            .relay_for_cold_server(pick.key, regions, &[], now);
        if relay.is_some() {
            return relay.filter(is_new);
        }
        let zone = {
            let servers = self.shared.servers.borrow();
            servers.entry(pick.key)?.zone.clone()
        };
        if !self.shared.may_relay_to(&zone, regions) {
            return None;
        }
        let locality = &self.shared.settings.locality;
        if !tried.is_empty() && locality.distance(&zone) != Distance::OtherRegion {
            return None;
        }
        if let Some((_, relay)) = self.zone_relays.iter().find(|(known, _)| *known == zone) {
            return relay.filter(is_new);
        }
        let limit = self.table.connection_limit(service);
        match self.shared.choose_relay(&zone, service, limit, now) {
            RelayChoice::ForZone(relay) => {
                self.zone_relays.push((zone, relay));
                relay.filter(is_new)
            }
            RelayChoice::ForService(relay) => relay.filter(is_new),
        }
    }
}

impl<A: Adapter> Replicas for ServerSelection<'_, A> {
    type Key = CallTarget;

    fn pick(
        &mut self,
        service: &ServiceName,
        tried: &[CallTarget],
        max_servers: usize,
        now: Instant,
    ) -> Option<Candidate<CallTarget>> {
        if !self.is_in_scope(service) || (!tried.is_empty() && !self.may_try_further(service, now))
        {
            return None;
        }
        let tried_servers = tried.iter().filter_map(|target| match target {
            CallTarget::Server(key) => Some(*key),
            CallTarget::Relay(_) => None,
        });
        let tried_servers: Vec<ReplicaKey> = tried_servers.collect();
        let profile = CallProfile {
            median_ms: self.median_ms,
            retry_reserve: self
                .shared
                .extra_call_budgets
                .borrow()
                .retry_reserve(service, now),
            may_probe: self.outgoing.route.is_repeatable && self.outgoing.route.max_attempts > 1,
        };
        let servers = self.shared.servers.borrow();
        let servers = servers.within(&self.outgoing.allowed_regions);
        let rng = &mut rand::rng();
        let pick = servers.pick(service, &tried_servers, profile, now, rng);
        // A call to a cold server waits for its turn, unless another host may call it.
        let pick = match pick {
            None if self.relay_mode != RelayMode::None => {
                servers.pick_waiting(service, &tried_servers, profile, MAX_COLD_WAIT, now, rng)
            }
            pick => pick,
        };
        let relayed_pick = match pick {
            None if tried.is_empty() => {
                servers.pick_for_relay(service, profile, now, &mut rand::rng())
            }
            pick => pick,
        };
        let refusal = pick
            .is_none()
            .then(|| servers.refusal(service, now))
            .flatten();
        if let RelayMode::First(expected) = self.relay_mode {
            let relay = relayed_pick.and_then(|pick| self.relay_for(service, pick, tried, now));
            if let Some(relay) = relay {
                return Some(Candidate {
                    server: CallTarget::Relay(relay),
                    expected,
                    is_free: true,
                    max_servers,
                });
            }
        }
        if let Some(refusal) = refusal {
            self.shared.on_call_refused(refusal);
        }
        let pick = pick?;
        Some(Candidate {
            server: CallTarget::Server(pick.key),
            expected: pick.expected,
            is_free: pick.is_free,
            max_servers: 1,
        })
    }

    fn missing_reason(&self, service: &ServiceName) -> Reason {
        if self.is_in_scope(service) {
            Reason::Unreachable
        } else {
            Reason::Quarantined
        }
    }

    fn take_extra_call(&mut self, service: &ServiceName, now: Instant) -> bool {
        self.shared
            .extra_call_budgets
            .borrow_mut()
            .take(service, now)
    }
}
