//! Evacuated zones and cold servers, as read from the store and from responses.
//!
//! Each host decides by itself whether it may call a cold server, from the list of
//! hosts. A host that has just been listed waits for [`Settings::membership_lag`]
//! before it calls cold servers, and a host that has just been removed still counts
//! for that time, so that the hosts whose places they take have stopped by then.
//!
//! [`Settings::membership_lag`]: crate::Settings::membership_lag

use {
    crate::{
        connections::AcquireError,
        membership::HostRecord,
        relay::{zone_relays, RELAYS_PER_ZONE},
        shared::Shared,
        Adapter,
    },
    fleet::{place_holders, Member, RelayKey},
    record::ZoneId,
    replica::{ColdServer, Locality, ReplicaKey, SendRefusal, ServerId, WarmUpBound},
    routing::{AllowedRegions, ServiceName},
    std::{
        collections::{BTreeSet, HashMap},
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Number of cold servers of which the callers are remembered, beyond which all are found
/// anew.
const MAX_COLD_SERVERS: usize = 4_096;

/// Hosts that may call each cold server, as long as the hosts stay the same.
#[derive(Default)]
pub(crate) struct ColdCallers {
    hosts: Vec<HostRecord>,
    /// Number of hosts that share connections.
    host_count: usize,
    by_server: HashMap<ServerId, Rc<[Member]>>,
}

impl ColdCallers {
    /// Sets the hosts among which callers are selected.
    fn set_hosts(&mut self, hosts: Vec<HostRecord>, host_count: usize) {
        if self.hosts != hosts || self.host_count != host_count {
            (self.hosts, self.host_count) = (hosts, host_count);
            self.by_server.clear();
        }
    }

    /// Forgets all callers, since the limits of services have changed.
    pub(crate) fn clear(&mut self) {
        self.by_server.clear();
    }

    /// Returns the hosts that may call a cold server: relays of its zone if the service
    /// `is_relayed`, otherwise hosts of its region, or of any region if it has none.
    fn of(
        &mut self,
        cold: ColdServer<'_>,
        count: usize,
        is_relayed: bool,
        locality: &Locality,
    ) -> Rc<[Member]> {
        let id = &cold.entry.id;
        if let Some(known) = self.by_server.get(id) {
            return Rc::clone(known);
        }
        let zone = &cold.entry.zone;
        let mut candidates = Vec::new();
        if is_relayed {
            let in_zone = self.hosts.iter().filter(|host| host.member.zone == *zone);
            candidates = zone_relays(zone, &in_zone.collect::<Vec<_>>());
        }
        let members = || self.hosts.iter().map(|host| &host.member);
        if candidates.is_empty() {
            let is_near = |host: &&Member| locality.is_same_region(&host.zone, zone);
            candidates = members().filter(is_near).cloned().collect();
        }
        if candidates.is_empty() {
            candidates = members().cloned().collect();
        }
        if self.by_server.len() >= MAX_COLD_SERVERS {
            self.by_server.clear();
        }
        let callers = place_holders(id, &candidates, count);
        let callers: Rc<[Member]> = callers.into_iter().cloned().collect();
        self.by_server.insert(Arc::clone(id), Rc::clone(&callers));
        callers
    }
}

/// Name of a refusal in metrics, or `None` if it has nothing to do with zones.
fn refusal_name(refusal: SendRefusal) -> Option<&'static str> {
    match refusal {
        SendRefusal::Evacuated => Some("evacuated"),
        SendRefusal::OutsideRegions => Some("outside-regions"),
        SendRefusal::Cold => Some("cold"),
        SendRefusal::Unknown | SendRefusal::Quiet | SendRefusal::Leaving => None,
    }
}

impl<A: Adapter> Shared<A> {
    /// Stops calls to the servers of a zone, and returns whether that is new.
    pub(crate) fn evacuate(&self, zone: &str) -> bool {
        let is_new = self.servers.borrow_mut().evacuate(zone);
        if is_new {
            // Calls that wait for a connection to a server of the zone end at once.
            self.servers_changed.notify_waiters();
            log::info!(target: "zones", "Zone {zone} is evacuated; its servers get no calls.");
            self.report_zones();
        }
        is_new
    }

    /// Allows calls to the servers of a zone again, and returns whether it was
    /// evacuated.
    pub(crate) fn end_evacuation(&self, zone: &str) -> bool {
        let now = Instant::now();
        let was_evacuated = self.servers.borrow_mut().end_evacuation(zone, now);
        if was_evacuated {
            log::info!(target: "zones", "Zone {zone} is no longer evacuated.");
            self.update_warm_up_shares();
            self.report_zones();
        }
        was_evacuated
    }

    /// Records how much longer a server says in a response that it is cold, and tells
    /// other hosts if that is new.
    pub(crate) fn on_warm_up_response(&self, server: ReplicaKey, left: Duration) {
        if self.on_warm_up(server, left) {
            let servers = self.servers.borrow();
            if let Some(entry) = servers.entry(server) {
                self.cold_news.add(entry, left);
            }
        }
    }

    /// Records how much longer a server is cold, and returns whether it was not known
    /// to be.
    pub(crate) fn on_warm_up(&self, server: ReplicaKey, left: Duration) -> bool {
        let is_limited = {
            let mut servers = self.servers.borrow_mut();
            servers.on_warm_up(server, left, Instant::now())
        };
        if is_limited {
            let id = self.server_id(server);
            log::info!(target: "zones", "Server {id} says that it is cold for {} ms.", left.as_millis());
            self.update_warm_up_shares();
        }
        is_limited
    }

    /// Sets the rates at which this host may call cold servers, after a change of the
    /// hosts, the servers or the configuration.
    pub(crate) fn update_warm_up_shares(&self) {
        if !self.servers.borrow().has_warm_up_limits() {
            return;
        }
        let now = Instant::now();
        let own = &self.settings.member.id;
        let lag = self.settings.membership_lag;
        let is_settled = {
            let members = self.members.borrow();
            let mut cold_callers = self.cold_callers.borrow_mut();
            let recent = members.recently_listed(lag, now).cloned().collect();
            cold_callers.set_hosts(recent, self.hosts.get());
            members.is_settled(own, lag, now)
        };
        let bound = self.settings.warm_up_bound;
        let mut servers = self.servers.borrow_mut();
        servers.set_warm_up_shares(now, |cold| {
            let callers = self.callers_of(cold);
            if is_settled && callers.iter().any(|caller| caller.id == *own) {
                bound.share_per_s(cold.per_s, self.caller_count(cold, bound))
            } else {
                0.0
            }
        });
    }

    /// Returns the hosts that may call a cold server.
    fn callers_of(&self, cold: ColdServer<'_>) -> Rc<[Member]> {
        let count = self.caller_count(cold, self.settings.warm_up_bound);
        let is_relayed = self.is_relayed(&cold.entry.service);
        let locality = &self.settings.locality;
        let mut cold_callers = self.cold_callers.borrow_mut();
        cold_callers.of(cold, count, is_relayed, locality)
    }

    fn caller_count(&self, cold: ColdServer<'_>, bound: WarmUpBound) -> usize {
        let count = bound.callers(cold.per_s);
        if self.is_relayed(&cold.entry.service) {
            count.min(RELAYS_PER_ZONE)
        } else {
            count
        }
    }

    /// Returns whether there are too many hosts for each to call the servers of a
    /// service itself.
    fn is_relayed(&self, service: &ServiceName) -> bool {
        let table = self.table();
        table.is_some_and(|table| !self.can_connect_directly(table.connection_limit(service)))
    }

    /// Chooses a host that may call a cold server sooner than this one, and to which
    /// the request may be sent. Hosts that were `asked` before are left out.
    pub(crate) fn relay_for_cold_server(
        &self,
        server: ReplicaKey,
        regions: &AllowedRegions,
        asked: &[RelayKey],
        now: Instant,
    ) -> Option<RelayKey> {
        let callers = {
            let servers = self.servers.borrow();
            if !servers.is_closed_while_cold(server, now) {
                return None;
            }
            self.callers_of(servers.cold_server(server, now)?)
        };
        let usable = callers
            .iter()
            .filter(|caller| self.may_relay_to(&caller.zone, regions));
        let usable: Vec<Member> = usable.cloned().collect();
        let own = &self.settings.member;
        self.relays
            .borrow_mut()
            .choose_any(&usable, own, asked, now)
    }

    /// Returns whether the body of a request may be sent to a host in `zone`: it is in
    /// the region of this host, to which the caller has connected, or in an allowed one.
    pub(crate) fn may_relay_to(&self, zone: &str, regions: &AllowedRegions) -> bool {
        let locality = &self.settings.locality;
        regions.is_everywhere()
            || locality.is_same_region(zone, &locality.zone)
            || regions.allows(locality.region(zone))
    }

    /// Counts a call that is not sent, if zones are the reason.
    pub(crate) fn on_call_refused(&self, refusal: SendRefusal) {
        if let Some(name) = refusal_name(refusal) {
            self.metrics.on_refused_call(name);
        }
    }

    /// Converts the refusal of a call, and counts it.
    pub(crate) fn refused(&self, refusal: SendRefusal) -> AcquireError {
        self.on_call_refused(refusal);
        refusal.into()
    }

    /// Logs which zones are lost or answer again and how many servers are cold, and
    /// records the numbers of evacuated zones and of cold servers in the metrics.
    pub(crate) fn report_zones(&self) {
        let servers = self.servers.borrow();
        let lost: BTreeSet<ZoneId> = servers.lost_zones(Instant::now()).cloned().collect();
        let before = self.lost_zones.replace(lost.clone());
        for zone in lost.difference(&before) {
            log::warn!(target: "zones", "No server of zone {zone} answers; others are preferred.");
        }
        for zone in before.difference(&lost) {
            log::info!(target: "zones", "Servers of zone {zone} answer again.");
        }
        let cold_count = servers.cold_servers(Instant::now()).count();
        if self.cold_count.replace(cold_count) != cold_count {
            log::info!(target: "zones", "The number of cold servers is now {cold_count}.");
        }
        self.metrics
            .on_zones(servers.evacuated_zones().count(), cold_count);
    }
}
