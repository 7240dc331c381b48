//! The directory of known servers, and the choice of a server for a call.

use {
    crate::{
        evacuation::Evacuation,
        forecast,
        server::Server,
        zone_loss::{Witness, ZoneLosses, MIN_HOST_SILENCE, SILENCE, SLOW_ANSWER_FACTOR},
        Distance, LimitShare, Locality, ReplicaKey, ReportedLoad, ServerEntry, ServerId,
        ServerState,
    },
    link::Evidence,
    rand::Rng,
    record::ZoneId,
    routing::{AllowedRegions, ServiceName, WarmUpLimit},
    std::{
        collections::{HashMap, HashSet},
        time::{Duration, Instant},
    },
};

/// Part of the drain period in which no call is sent to a leaving server any more.
/// Covers the way of the call, and that of the confirmation over other hosts.
const DRAIN_MARGIN: Duration = Duration::from_millis(500);
/// Time for which a server is still called if its service has no other server and
/// its entry may have expired, rather than been removed by the server, while
/// discovery was unavailable.
const LAPSED_GRACE: Duration = Duration::from_millis(1_500);
/// Time for which it is remembered that a removed server had said that it leaves.
const DEPARTED_RETENTION: Duration = Duration::from_secs(600);
/// Largest relative increase of a cost by random jitter, which keeps hosts with
/// the same information from all picking the same server.
const JITTER: f64 = 0.1;

static EVERYWHERE: AllowedRegions = AllowedRegions::EVERYWHERE;

/// How an entry from discovery changed the directory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryChange {
    /// The entry added a server or a new incarnation of one.
    New,
    /// A known server began to leave, is ready again, has moved to another zone, or its
    /// warm-up ends at another time than was known.
    Changed,
    /// The known server is as before.
    Same,
}

/// Properties of a call that affect the choice of its server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallProfile {
    /// Median latency of such requests without the network round trip, in
    /// milliseconds.
    pub median_ms: f64,
    /// How far retries can make up for a failure: 1 if several are left, 0 if none is.
    pub retry_reserve: f64,
    /// Whether the call may go to a server that is probably lost, to find out whether
    /// it is back: a failure is repaired by a retry.
    pub may_probe: bool,
}

/// The server picked for a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pick {
    /// Key of the server.
    pub key: ReplicaKey,
    /// Expected time to the answer.
    pub expected: Duration,
    /// Whether the server is expected to run the call at once.
    pub is_free: bool,
    /// Distance of the server from this host.
    pub distance: Distance,
}

/// Why a call that was picked earlier is not sent to its server any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendRefusal {
    /// The server is not known any more.
    Unknown,
    /// The server wants no calls of this host now.
    Quiet,
    /// The server leaves.
    Leaving,
    /// The zone of the server is evacuated.
    Evacuated,
    /// The request may not be served in the region of the server.
    OutsideRegions,
    /// The server is cold and takes no call of this host now.
    Cold,
}

/// A call that was picked earlier and has not been sent yet.
#[derive(Clone, Copy, Debug)]
pub struct PendingCall<'a> {
    /// Key of its server.
    pub key: ReplicaKey,
    /// Number under which its start was recorded.
    pub number: u64,
    /// Whether the server was known to leave when it was picked.
    pub was_leaving: bool,
    /// Regions in which the request may be served.
    pub regions: &'a AllowedRegions,
}

/// A server that is cold and takes a limited number of calls.
#[derive(Clone, Copy, Debug)]
pub struct ColdServer<'a> {
    /// Key of the server.
    pub key: ReplicaKey,
    /// Its discovery entry.
    pub entry: &'a ServerEntry,
    /// Requests a second that it takes from all hosts together.
    pub per_s: f64,
}

impl<'a> ColdServer<'a> {
    fn new(key: ReplicaKey, server: &'a Server, now: Instant) -> Option<Self> {
        Some(Self {
            key,
            entry: &server.entry,
            per_s: server.warm_up.limit_if_cold(now)?.per_s,
        })
    }
}

/// All known servers, by service.
#[derive(Debug, Default)]
pub struct ServerDirectory {
    locality: Locality,
    servers: HashMap<ReplicaKey, Server>,
    by_id: HashMap<ServerId, ReplicaKey>,
    by_service: HashMap<ServiceName, Vec<ReplicaKey>>,
    last_key: ReplicaKey,
    /// Removed incarnations that had said that they leave, and until when they could
    /// be called.
    departed: HashMap<(ServerId, Option<u64>), Instant>,
    /// Time for which a leaving server serves after discovery has listed it as such.
    drain_period: Duration,
    /// Latest time at which the directory was known to match discovery. A server
    /// that is found to leave began to do so after it.
    confirmed_at: Option<Instant>,
    evacuation: Evacuation,
    zone_losses: ZoneLosses,
    /// Limits on the calls to cold servers, by service.
    warm_up_limits: HashMap<ServiceName, WarmUpLimit>,
}

/// The servers of a [`ServerDirectory`] in the regions that a request allows and in
/// zones that are not evacuated.
#[derive(Clone, Copy, Debug)]
pub struct RegionView<'a> {
    directory: &'a ServerDirectory,
    regions: &'a AllowedRegions,
}

impl ServerDirectory {
    /// Creates an empty directory for a host at `locality`. Servers that begin to
    /// leave still serve for `drain_period`.
    pub fn new(locality: Locality, drain_period: Duration) -> Self {
        Self {
            locality,
            drain_period,
            ..Self::default()
        }
    }

    /// Records that the directory matched discovery at `at`.
    pub fn on_confirmed(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
        if !self.warm_up_limits.is_empty() {
            for server in self.servers.values_mut() {
                server.warm_up.on_confirmed(at);
            }
        }
    }

    /// Stops calls to the servers of a zone, and returns whether that is new.
    pub fn evacuate(&mut self, zone: &str) -> bool {
        self.evacuation.begin(zone)
    }

    /// Allows calls to the servers of a zone again, and returns whether it was
    /// evacuated.
    ///
    /// Its servers count as cold until entries are read that must reflect it, since
    /// they may have become cold while the evacuation ended.
    pub fn end_evacuation(&mut self, zone: &str, now: Instant) -> bool {
        if !self.evacuation.end(zone) {
            return false;
        }
        for server in self.servers.values_mut() {
            if server.entry.zone == zone {
                server.warm_up.on_doubt(now);
            }
        }
        true
    }

    /// Returns the evacuated zones in alphabetical order.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.evacuation.zones()
    }

    /// Sets the limits on calls to cold servers, by service.
    pub fn set_warm_up_limits(&mut self, limits: HashMap<ServiceName, WarmUpLimit>) {
        for server in self.servers.values_mut() {
            let limit = limits.get(&server.entry.service).copied();
            server.warm_up.set_limit(limit);
        }
        self.warm_up_limits = limits;
    }

    /// Returns whether any service limits the calls to its cold servers.
    pub fn has_warm_up_limits(&self) -> bool {
        !self.warm_up_limits.is_empty()
    }

    /// Returns the cold servers whose services limit the calls to them.
    pub fn cold_servers(&self, now: Instant) -> impl Iterator<Item = ColdServer<'_>> {
        let has_limits = self.has_warm_up_limits();
        let servers = self.servers.iter().filter(move |_| has_limits);
        servers.filter_map(move |(key, server)| ColdServer::new(*key, server, now))
    }

    /// Returns a server if it is cold and its service limits the calls to it.
    pub fn cold_server(&self, key: ReplicaKey, now: Instant) -> Option<ColdServer<'_>> {
        ColdServer::new(key, self.servers.get(&key)?, now)
    }

    /// Returns whether a server is cold and takes no call of this host now.
    pub fn is_closed_while_cold(&self, key: ReplicaKey, now: Instant) -> bool {
        let server = self.servers.get(&key);
        server.is_some_and(|server| !server.warm_up.wait(now).is_zero())
    }

    /// Returns the time until a call to a cold server that was picked by
    /// [`RegionView::pick_waiting`] may be sent.
    pub fn cold_wait(&self, call: PendingCall<'_>, now: Instant) -> Option<Duration> {
        let server = self.servers.get(&call.key)?;
        server.warm_up.send_wait(call.number, now)
    }

    /// Sets the rates at which this host may call cold servers, in requests per second,
    /// to those that `share_of` returns; 0 if it may not call the server.
    pub fn set_warm_up_shares(
        &mut self,
        now: Instant,
        mut share_of: impl FnMut(ColdServer<'_>) -> f64,
    ) {
        if !self.has_warm_up_limits() {
            return;
        }
        for (key, server) in &mut self.servers {
            // A server that is warm and becomes cold again gets calls only once the
            // share is known.
            let share = ColdServer::new(*key, server, now).map_or(0.0, &mut share_of);
            server.warm_up.set_share(share, now);
        }
    }

    /// Records how much longer a server says that it is cold, and returns whether that
    /// makes it a limited one.
    pub fn on_warm_up(&mut self, key: ReplicaKey, left: Duration, now: Instant) -> bool {
        let Some(server) = self.servers.get_mut(&key) else {
            return false;
        };
        let was_limited = server.warm_up.limit_if_cold(now).is_some();
        server.warm_up.on_response(left, now);
        !was_limited && server.warm_up.limit_if_cold(now).is_some()
    }

    /// Returns the time until which a server may be called that began to leave after
    /// the last confirmation and no later than `now`.
    ///
    /// Counts from the confirmation, since the drain may have begun right after it.
    fn drain_until(&self, now: Instant) -> Instant {
        let began_at = self.confirmed_at.unwrap_or(now);
        began_at + self.drain_period.saturating_sub(DRAIN_MARGIN)
    }

    /// Returns the time until which a server may be called whose entry is gone.
    fn unlisted_until(&self, now: Instant) -> Instant {
        let age = |at| now.saturating_duration_since(at);
        if self
            .confirmed_at
            .is_some_and(|at| age(at) < self.drain_period)
        {
            self.drain_until(now)
        } else {
            now + LAPSED_GRACE
        }
    }

    /// Adds or updates a server that discovery lists.
    pub fn upsert(&mut self, entry: ServerEntry, now: Instant) -> EntryChange {
        let drain_until = self.drain_until(now);
        if let Some(key) = self.by_id.get(&entry.id).copied() {
            if let Some(known) = self.servers.get_mut(&key) {
                if known.entry.is_same_incarnation(&entry) {
                    known.distance = self.locality.distance(&entry.zone);
                    if !known.is_listed {
                        self.zone_losses.on_listed(&entry.zone);
                    }
                    return update_entry(known, entry, drain_until, now);
                }
            }
            self.remove(key);
        }
        self.last_key += 1;
        let key = self.last_key;
        self.by_id.insert(entry.id.clone(), key);
        let service_keys = self.by_service.entry(entry.service.clone());
        service_keys.or_default().push(key);
        let distance = self.locality.distance(&entry.zone);
        self.zone_losses.on_listed(&entry.zone);
        let warm_up_limit = self.warm_up_limits.get(&entry.service).copied();
        let mut server = Server::new(entry, distance, warm_up_limit, now);
        if server.entry.state == ServerState::Draining {
            // Without any confirmation, the drain may have begun at any time.
            let is_start_known = self.confirmed_at.is_some();
            server.leave_by(if is_start_known { drain_until } else { now });
        }
        // Discovery may list a server again that has said that it leaves.
        let incarnation = (server.entry.id.clone(), server.entry.started_at_ms);
        if let Some(until) = self.departed.get(&incarnation) {
            server.on_leaving(*until);
        }
        self.servers.insert(key, server);
        EntryChange::New
    }

    /// Marks a server that discovery no longer lists, and returns whether it was known.
    ///
    /// The server is kept as a last resort, since entries also expire while the
    /// store is unavailable and reappear afterwards.
    pub fn mark_unlisted(&mut self, id: &str, now: Instant) -> bool {
        let until = self.unlisted_until(now);
        let server = self.by_id.get(id).and_then(|key| self.servers.get_mut(key));
        let Some(server) = server else {
            return false;
        };
        server.is_listed = false;
        server.leave_by(until);
        true
    }

    /// Returns whether `entry` may be older than what is known of its server.
    ///
    /// Discovery that has returned to an earlier state lists servers again that have left,
    /// and lists servers as ready that have begun to leave since.
    pub fn may_be_outdated(&self, entry: &ServerEntry) -> bool {
        let key = self.by_id.get(&entry.id);
        let Some(known) = key.and_then(|key| self.servers.get(key)) else {
            return true;
        };
        if known.entry.is_same_incarnation(entry) {
            let is_back = entry.state == ServerState::Ready && known.is_leaving();
            return is_back || !known.is_listed;
        }
        entry.started_at_ms <= known.entry.started_at_ms
    }

    /// Marks every server that is missing from `listed`, the full list of
    /// discovery, and returns their number.
    pub fn mark_missing_unlisted(&mut self, listed: &HashSet<ServerId>, now: Instant) -> usize {
        let missing = self.by_id.keys().filter(|id| !listed.contains(*id));
        let missing: Vec<ServerId> = missing.cloned().collect();
        for id in &missing {
            self.mark_unlisted(id, now);
        }
        missing.len()
    }

    /// Removes unlisted servers that are no longer called even as a last resort,
    /// and returns their keys.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<ReplicaKey> {
        self.departed
            .retain(|_, until| now.saturating_duration_since(*until) < DEPARTED_RETENTION);
        let expired = self.servers.iter().filter(|(_, server)| {
            let is_expired = server.callable_until.is_some_and(|until| until <= now);
            !server.is_listed && is_expired
        });
        let expired: Vec<ReplicaKey> = expired.map(|(key, _)| *key).collect();
        for key in &expired {
            self.remove(*key);
        }
        expired
    }

    /// Removes a server whose address demonstrably belongs to another server now.
    pub fn on_address_reused(&mut self, key: ReplicaKey) {
        self.remove(key);
    }

    fn remove(&mut self, key: ReplicaKey) {
        let Some(server) = self.servers.remove(&key) else {
            return;
        };
        self.zone_losses.on_removed(&server.entry.zone, key);
        if let Some(until) = server
            .callable_until
            .filter(|_| server.has_announced_leaving)
        {
            let incarnation = (server.entry.id.clone(), server.entry.started_at_ms);
            self.departed.insert(incarnation, until);
        }
        if self.by_id.get(&server.entry.id) == Some(&key) {
            self.by_id.remove(&server.entry.id);
        }
        if let Some(keys) = self.by_service.get_mut(&server.entry.service) {
            keys.retain(|other| *other != key);
            if keys.is_empty() {
                self.by_service.remove(&server.entry.service);
            }
        }
    }

    /// Returns the key of the server that discovery lists under `id`.
    pub fn key(&self, id: &str) -> Option<ReplicaKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the discovery entry of a server.
    pub fn entry(&self, key: ReplicaKey) -> Option<&ServerEntry> {
        self.servers.get(&key).map(|server| &server.entry)
    }

    /// Returns the keys of the servers of a service that accept new requests.
    pub fn ready(&self, service: &ServiceName) -> Vec<ReplicaKey> {
        let keys = self.by_service.get(service).into_iter().flatten();
        keys.filter(|key| self.is_ready(**key)).copied().collect()
    }

    /// Returns the number of known servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    fn is_ready(&self, key: ReplicaKey) -> bool {
        self.servers
            .get(&key)
            .is_some_and(|server| !server.is_leaving())
    }

    /// Returns the servers of all regions, without those in evacuated zones.
    pub fn everywhere(&self) -> RegionView<'_> {
        self.within(&EVERYWHERE)
    }

    /// Returns the servers in the regions that `regions` allows, without those in
    /// evacuated zones.
    pub fn within<'a>(&'a self, regions: &'a AllowedRegions) -> RegionView<'a> {
        RegionView {
            directory: self,
            regions,
        }
    }

    /// Returns whether all slots of a server are estimated to be in use.
    pub fn is_full(&self, key: ReplicaKey, now: Instant) -> bool {
        let server = self.servers.get(&key);
        server.is_some_and(|server| !forecast::has_free_slot(server, now))
    }

    /// Records the start of a call.
    pub fn on_call_started(
        &mut self,
        key: ReplicaKey,
        call: u64,
        expected: Duration,
        now: Instant,
    ) {
        if let Some(server) = self.servers.get_mut(&key) {
            let zone = &server.entry.zone;
            self.zone_losses.on_call_started(zone, key, now);
            server.on_call_started(call, expected, now);
        }
    }

    /// Records the end of a call, and returns the latency without the network
    /// round trip if the server replied.
    pub fn on_call_ended(
        &mut self,
        key: ReplicaKey,
        call: u64,
        evidence: Evidence,
        median_ms: f64,
        now: Instant,
    ) -> Option<Duration> {
        let server = self.servers.get_mut(&key)?;
        let zone = &server.entry.zone;
        match evidence {
            Evidence::Replied(_) | Evidence::Refused(_) => {
                if self.zone_losses.on_reply(zone, now) {
                    let zone = zone.clone();
                    self.forgive_failures(&zone);
                }
            }
            Evidence::NoResponse | Evidence::Cancelled(_) => {
                if let Some((started_at, expected)) = server.call_in_flight(call) {
                    let is_silent = match evidence {
                        Evidence::Cancelled(waited) => {
                            waited >= SILENCE.max(expected * SLOW_ANSWER_FACTOR)
                        }
                        _ => true,
                    };
                    if is_silent {
                        let witness = Witness::Server(key);
                        self.zone_losses.on_silence(zone, witness, started_at, now);
                    }
                }
            }
            // A server that answers with an error, or whose machine refuses or closes the
            // connection, is not silent.
            Evidence::Unreachable | Evidence::ConnectionLost | Evidence::Inconclusive => {}
        }
        let server = self.servers.get_mut(&key)?;
        server.on_call_ended(call, evidence, median_ms, now)
    }

    /// Forgets the failures of the servers of a zone that was lost and is back. They
    /// would keep calls away from servers that work.
    fn forgive_failures(&mut self, zone: &str) {
        let servers = self.servers.values_mut();
        let in_zone = servers.filter(|server| server.entry.zone == zone);
        in_zone.for_each(Server::forgive_failures);
    }

    /// Records that a host of `zone` has answered a call.
    pub fn on_host_replied(&mut self, zone: &str, now: Instant) {
        if self.zone_losses.on_reply(zone, now) {
            self.forgive_failures(zone);
        }
    }

    /// Records that the host `id` of `zone` has not answered a call that began at
    /// `started_at`.
    pub fn on_host_lost(&mut self, zone: &str, id: &str, started_at: Instant, now: Instant) {
        if now.saturating_duration_since(started_at) < MIN_HOST_SILENCE {
            return;
        }
        let witness = Witness::Host(id.to_owned());
        self.zone_losses.on_silence(zone, witness, started_at, now);
    }

    /// Returns the zones of which no server answers.
    pub fn lost_zones(&self, now: Instant) -> impl Iterator<Item = &ZoneId> {
        self.zone_losses.zones(now)
    }

    /// Returns the tier of a server, or `None` if it must not be picked.
    ///
    /// Servers of a lower tier are preferred: 0 is healthy, 1 ejected or in a lost zone,
    /// 2 leaving.
    fn tier(&self, server: &Server, now: Instant) -> Option<u8> {
        if let Some(until) = server.callable_until {
            return (now < until).then_some(2);
        }
        let is_lost = self.zone_losses.is_lost(&server.entry.zone, now);
        Some(u8::from(is_lost || server.is_ejected(now)))
    }

    /// Returns the time of a server's last reply, to a refused call, too.
    pub fn last_reply_at(&self, key: ReplicaKey) -> Option<Instant> {
        self.servers.get(&key)?.last_reply_at
    }

    /// Records how long it took to open a connection to a server.
    pub fn on_connected(&mut self, key: ReplicaKey, connect_time: Duration) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.on_connected(connect_time);
        }
    }

    /// Records the limit that a server names for all hosts together and this host's
    /// share of it, and returns whether the limit is new.
    pub fn on_limit(
        &mut self,
        key: ReplicaKey,
        limit_per_s: f64,
        share: LimitShare,
        now: Instant,
    ) -> bool {
        let server = self.servers.get_mut(&key);
        server.is_some_and(|server| server.on_limit(limit_per_s, share, now))
    }

    /// Records that a server names no limit, and returns whether it did before.
    pub fn on_no_limit(&mut self, key: ReplicaKey) -> bool {
        let server = self.servers.get_mut(&key);
        server.is_some_and(Server::on_no_limit)
    }

    /// Records that a server has said that it leaves, and returns whether that is new.
    pub fn on_leaving(&mut self, key: ReplicaKey, now: Instant) -> bool {
        let until = self.drain_until(now);
        let server = self.servers.get_mut(&key);
        server.is_some_and(|server| server.on_leaving(until))
    }

    /// Records that a server wants no calls of this host for `time`.
    pub fn on_retry_after(&mut self, key: ReplicaKey, time: Duration, now: Instant) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.on_retry_after(time, now);
        }
    }

    /// Returns whether a server has ended without having announced it: its entry is gone,
    /// or names an incarnation other than the one started at `started_at_ms`.
    pub fn is_lost(&self, key: ReplicaKey, started_at_ms: Option<u64>) -> bool {
        self.servers.get(&key).is_some_and(|server| {
            let is_announced =
                server.has_announced_leaving || server.entry.state == ServerState::Draining;
            let is_gone = !server.is_listed && !is_announced;
            is_gone || server.entry.started_at_ms != started_at_ms
        })
    }

    /// Returns whether a server is known to leave.
    pub fn is_leaving(&self, key: ReplicaKey) -> bool {
        self.servers.get(&key).is_some_and(Server::is_leaving)
    }

    /// Returns the time until which a leaving server may be called.
    pub fn callable_until(&self, key: ReplicaKey) -> Option<Instant> {
        self.servers.get(&key)?.callable_until
    }

    /// Checks that a call which was picked earlier, and has waited since, may still
    /// be sent.
    ///
    /// A call whose server has begun to leave meanwhile is sent to it only if its
    /// service has no other server that takes calls.
    ///
    /// # Errors
    ///
    /// Returns why the call must not be sent.
    pub fn check_send(&self, call: PendingCall<'_>, now: Instant) -> Result<(), SendRefusal> {
        let server = self.servers.get(&call.key).ok_or(SendRefusal::Unknown)?;
        if self.evacuation.covers(&server.entry.zone) {
            return Err(SendRefusal::Evacuated);
        }
        if !self.is_within(server, call.regions) {
            return Err(SendRefusal::OutsideRegions);
        }
        if !server.quiet_for(now).is_zero() {
            return Err(SendRefusal::Quiet);
        }
        let is_called = match server.callable_until {
            None => true,
            Some(until) => now < until && (call.was_leaving || !self.has_sibling(call, now)),
        };
        if !is_called {
            return Err(SendRefusal::Leaving);
        }
        if !server.warm_up.admits(call.number, now) {
            return Err(SendRefusal::Cold);
        }
        Ok(())
    }

    /// Checks a call as [`check_send`](Self::check_send) does, and records that it is
    /// sent now.
    ///
    /// # Errors
    ///
    /// Returns why the call must not be sent.
    pub fn begin_send(&mut self, call: PendingCall<'_>, now: Instant) -> Result<(), SendRefusal> {
        self.check_send(call, now)?;
        if let Some(server) = self.servers.get_mut(&call.key) {
            server.warm_up.on_sent(call.number, now);
        }
        Ok(())
    }

    /// Takes back [`begin_send`](Self::begin_send) for a call of which nothing was sent.
    pub fn on_not_sent(&mut self, key: ReplicaKey, number: u64, now: Instant) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.warm_up.on_not_sent(number, now);
        }
    }

    fn is_within(&self, server: &Server, regions: &AllowedRegions) -> bool {
        regions.is_everywhere() || regions.allows(self.locality.region(&server.entry.zone))
    }

    /// Returns whether the service of the server of `call` has another one that takes
    /// calls of the request.
    fn has_sibling(&self, call: PendingCall<'_>, now: Instant) -> bool {
        let Some(service) = self.entry(call.key).map(|entry| &entry.service) else {
            return false;
        };
        let servers = self.within(call.regions);
        let mut others = servers.servers(service).into_iter().flatten();
        others.any(|(key, other)| {
            key != call.key && self.tier(other, now) == Some(0) && other.closed_for(now).is_zero()
        })
    }

    /// Records the load that a server reports about itself.
    pub fn on_load(&mut self, key: ReplicaKey, load: ReportedLoad, now: Instant) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.on_load(load, now);
        }
    }
}

impl RegionView<'_> {
    fn servers(
        &self,
        service: &ServiceName,
    ) -> Option<impl Iterator<Item = (ReplicaKey, &Server)>> {
        let keys = self.directory.by_service.get(service)?.iter();
        let servers = keys.map(|key| (*key, &self.directory.servers[key]));
        let evacuation = &self.directory.evacuation;
        Some(servers.filter(|(_, server)| {
            !evacuation.covers(&server.entry.zone) && self.directory.is_within(server, self.regions)
        }))
    }

    fn healthy_servers(
        &self,
        service: &ServiceName,
        now: Instant,
    ) -> Option<impl Iterator<Item = &Server>> {
        let is_healthy =
            move |server: &&Server| server.callable_until.is_none() && !server.is_ejected(now);
        let directory = self.directory;
        let is_reached = move |server: &&Server| directory.tier(server, now) == Some(0);
        // Without any other, the servers of lost zones are called, too.
        let has_reached = self
            .servers(service)?
            .any(|(_, server)| is_reached(&server));
        let servers = self.servers(service)?.map(|(_, server)| server);
        Some(
            servers
                .filter(is_healthy)
                .filter(move |server| !has_reached || is_reached(server)),
        )
    }

    /// Picks the server of `service` with the lowest cost: the expected time to
    /// its answer, with penalties for distance and failures.
    ///
    /// Servers in `tried` are excluded. Ejected servers are picked only if no
    /// healthy one is left, and servers that left recently only if there is no
    /// ejected one either. Servers that take no call of this host now are never
    /// picked.
    pub fn pick(
        &self,
        service: &ServiceName,
        tried: &[ReplicaKey],
        profile: CallProfile,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Pick> {
        self.pick_if(service, tried, profile, now, rng, |server| {
            server.closed_for(now).is_zero()
        })
    }

    /// Picks a cold server that takes a call of this host within `max_wait`.
    pub fn pick_waiting(
        &self,
        service: &ServiceName,
        tried: &[ReplicaKey],
        profile: CallProfile,
        max_wait: Duration,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Pick> {
        let is_open = |server: &Server| {
            server.limited_for(now).is_zero() && server.warm_up.is_open_within(max_wait, now)
        };
        let mut pick = self.pick_if(service, tried, profile, now, rng, is_open)?;
        pick.is_free = false;
        pick.expected += self.directory.servers[&pick.key].warm_up.wait(now);
        Some(pick)
    }

    /// Picks a server as [`pick`](Self::pick) does, for a call that another host makes.
    pub fn pick_for_relay(
        &self,
        service: &ServiceName,
        profile: CallProfile,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Pick> {
        self.pick_if(service, &[], profile, now, rng, |_| true)
    }

    fn pick_if(
        &self,
        service: &ServiceName,
        tried: &[ReplicaKey],
        profile: CallProfile,
        now: Instant,
        rng: &mut impl Rng,
        is_open: impl Fn(&Server) -> bool,
    ) -> Option<Pick> {
        let servers = self.servers(service)?;
        let mut best: Option<(u8, f64, Pick)> = None;
        for (key, server) in servers.filter(|(key, _)| !tried.contains(key)) {
            let Some(tier) = self.directory.tier(server, now) else {
                continue;
            };
            if !is_open(server) {
                continue;
            }
            let is_probe = profile.may_probe && tried.is_empty() && {
                let zone_losses = &self.directory.zone_losses;
                zone_losses.is_probe(&server.entry.zone, key, now)
            };
            let expected = forecast::expected_latency(server, profile.median_ms, now);
            let jitter = 1.0 + JITTER * rng.random::<f64>();
            let (tier, jitter) = if is_probe { (0, 0.0) } else { (tier, jitter) };
            let cost = (expected + forecast::penalty(server, profile.retry_reserve)).as_secs_f64()
                * jitter;
            if best.is_none_or(|(best_tier, lowest, _)| (tier, cost) < (best_tier, lowest)) {
                let pick = Pick {
                    key,
                    expected,
                    is_free: forecast::is_free(server, now),
                    distance: server.distance,
                };
                best = Some((tier, cost, pick));
            }
        }
        best.map(|(_, _, pick)| pick)
    }

    /// Returns why `service` has no server for a call of this host, if the reason is
    /// that zones or regions must not be used or that servers are cold.
    pub fn refusal(&self, service: &ServiceName, now: Instant) -> Option<SendRefusal> {
        let directory = self.directory;
        let is_cold = |(_, server): (ReplicaKey, &Server)| {
            directory.tier(server, now).is_some() && !server.warm_up.wait(now).is_zero()
        };
        if self.servers(service)?.any(is_cold) {
            return Some(SendRefusal::Cold);
        }
        let keys = directory.by_service.get(service)?.iter();
        let servers = keys.map(|key| &directory.servers[key]);
        let callable = servers.filter(|server| directory.tier(server, now).is_some());
        let mut callable = callable.peekable();
        callable.peek()?;
        let mut allowed = callable.filter(|server| directory.is_within(server, self.regions));
        let Some(first) = allowed.next() else {
            return Some(SendRefusal::OutsideRegions);
        };
        let is_evacuated = |server: &Server| directory.evacuation.covers(&server.entry.zone);
        (is_evacuated(first) && allowed.all(is_evacuated)).then_some(SendRefusal::Evacuated)
    }

    /// Returns by how much the next answer of `service` is expected later than
    /// that of an idle server, or `None` if the service has no healthy server.
    ///
    /// Excludes the network round trip, so that the delay is comparable between
    /// hosts, and the time for which servers take no call of this host, since others
    /// may call them for it.
    pub fn min_queue_delay(
        &self,
        service: &ServiceName,
        median_ms: f64,
        now: Instant,
    ) -> Option<Duration> {
        self.min_delay(service, median_ms, now, |_| Duration::ZERO)
    }

    /// Returns the delay of [`min_queue_delay`](Self::min_queue_delay) if this host
    /// itself calls the servers within `reach`.
    pub fn min_call_delay(
        &self,
        service: &ServiceName,
        median_ms: f64,
        reach: Distance,
        now: Instant,
    ) -> Option<Duration> {
        self.min_delay(service, median_ms, now, |server| {
            if server.distance <= reach {
                server.limited_for(now)
            } else {
                Duration::ZERO
            }
        })
    }

    fn min_delay(
        &self,
        service: &ServiceName,
        median_ms: f64,
        now: Instant,
        closed_for: impl Fn(&Server) -> Duration,
    ) -> Option<Duration> {
        let healthy = self.healthy_servers(service, now)?;
        let delays = healthy.map(|server| {
            let time_at_server =
                forecast::expected_latency(server, median_ms, now) - server.round_trip();
            let delay = time_at_server.saturating_sub(Duration::from_secs_f64(median_ms / 1_000.0));
            delay.max(closed_for(server))
        });
        delays.min()
    }

    /// Returns the time until the first server of `service` takes a call of this
    /// host, or `None` if the service has no healthy server.
    pub fn min_closed_for(&self, service: &ServiceName, now: Instant) -> Option<Duration> {
        let healthy = self.healthy_servers(service, now)?;
        healthy.map(|server| server.closed_for(now)).min()
    }
}

fn update_entry(
    known: &mut Server,
    entry: ServerEntry,
    drain_until: Instant,
    now: Instant,
) -> EntryChange {
    let was_leaving = known.is_leaving();
    let has_moved = known.entry.zone != entry.zone;
    match entry.state {
        ServerState::Draining => known.leave_by(drain_until),
        // The entry had expired during an outage of the store; the server never left.
        ServerState::Ready if !known.has_announced_leaving => known.callable_until = None,
        ServerState::Ready => {}
    }
    let is_other_warm_up = known.warm_up.on_entry(entry.warmup_left, now);
    known.entry = entry;
    known.is_listed = true;
    if was_leaving == known.is_leaving() && !has_moved && !is_other_warm_up {
        EntryChange::Same
    } else {
        EntryChange::Changed
    }
}
