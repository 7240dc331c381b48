//! Queries servers through a relay host in their zone.
//!
//! Traffic between regions is expensive and slow. Instead of calling each
//! remote server, a host sends one call to a relay in their zone, which queries
//! the servers, merges their records and returns the merged records with the
//! servers' proofs.

use {
    crate::{
        call::CallResult,
        crashes, delay_reports,
        exchange::{FailedCall, OutgoingRequest},
        identity,
        membership::{with_most_cpu, HostRecord},
        peer::{self, GatherCall, GatherReply, PROTOCOL_VERSION},
        relay_runs::OpenRelayCall,
        response::PartReply,
        server_selection::CallTarget,
        shared::Shared,
        Adapter, Protocol,
    },
    bytes::Bytes,
    fleet::{
        relay_count, relay_set, Member, Outcome, RelayKey, RelayLimits, RelayOrders, RelaySelector,
    },
    http::HeaderValue,
    kind::{Error, Kind, Ran, Result},
    link::connection_share,
    plan::Reason,
    rand::seq::IteratorRandom,
    record::{HostId, ZoneId},
    replica::{Distance, LimitShare, ReplicaKey, ServerEntry, ServerId},
    routing::{Route, ServiceName},
    scatter::{Call, Failure},
    std::{
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        select,
        sync::{mpsc::UnboundedSender, oneshot},
        time::sleep_until,
    },
};

/// Number of relay hosts per zone. With a small number, the connections to
/// servers stay in use and each relay sees the state of every server. Two of
/// the three may fail at the same time.
pub(crate) const RELAYS_PER_ZONE: usize = 3;
/// Round trip assumed to a relay until one has been measured: that of a relay
/// in another region.
const DEFAULT_ROUND_TRIP: Duration = Duration::from_millis(25);
/// Time that a reply spends waiting in the sending and receiving processes.
const PROCESSING_SLACK: Duration = Duration::from_millis(2);
/// How long past the agreed time a relay may reply before it counts as failed.
const REPLY_GRACE: Duration = Duration::from_millis(60);

/// The relay hosts and their state.
#[derive(Default)]
pub(crate) struct Relays {
    orders: RelayOrders,
    selector: RelaySelector,
    /// Receivers of the late parts of replies that this host sent as a relay, by number.
    pub(crate) pending_late_replies: HashMap<u64, oneshot::Receiver<GatherReply>>,
}

impl Relays {
    /// Chooses a relay in `zone` for any service, or `None` if all of them failed recently.
    fn choose_for_zone(&mut self, zone: &ZoneId, own: &Member, now: Instant) -> Option<RelayKey> {
        let set = self.orders.relays(zone);
        let order = self.selector.order(set, own, now, &mut rand::rng());
        let relay = *order.first()?;
        if relay.id == own.id || self.selector.has_failed(relay, now) {
            return None;
        }
        self.orders.key(&relay.id)
    }

    /// Chooses the relay in `zone` that all hosts use for `service` while it is available.
    ///
    /// Because that relay makes all calls to a server, it observes the server's
    /// pauses and load, and its connections stay in use.
    fn choose_for_service(
        &mut self,
        zone: &ZoneId,
        service: &ServiceName,
        own: &Member,
        now: Instant,
    ) -> Option<RelayKey> {
        let selector = &self.selector;
        let is_usable = |member: &Member| !selector.has_failed(member, now);
        let key = self.orders.first(zone, service, is_usable)?;
        (self.orders.member(key).id != own.id).then_some(key)
    }

    /// Chooses one of `members` as a relay, or `None` if none of them can be used or
    /// all were `asked` before.
    pub(crate) fn choose_any(
        &mut self,
        members: &[Member],
        own: &Member,
        asked: &[RelayKey],
        now: Instant,
    ) -> Option<RelayKey> {
        let (selector, orders) = (&self.selector, &self.orders);
        let was_asked = |id: &HostId| orders.key(id).is_some_and(|key| asked.contains(&key));
        let is_usable = |member: &&Member| {
            member.id != own.id && !selector.has_failed(member, now) && !was_asked(&member.id)
        };
        let usable = members.iter().filter(is_usable);
        let chosen = usable.choose(&mut rand::rng())?;
        Some(self.orders.key_of(chosen))
    }

    /// Returns the host of a relay key.
    pub(crate) fn member(&self, relay: RelayKey) -> Member {
        self.orders.member(relay).clone()
    }

    /// Records the start of a call to a host, and returns the host.
    pub(crate) fn begin_call(&mut self, key: RelayKey) -> Member {
        let member = self.orders.member(key).clone();
        self.selector.on_sent(&member.id);
        member
    }

    /// Records the start of a call to a host that is known.
    pub(crate) fn on_sent(&mut self, id: &HostId) {
        self.selector.on_sent(id);
    }

    /// Records the end of a call to a relay.
    pub(crate) fn on_done(&mut self, id: &HostId, outcome: Outcome, now: Instant) {
        self.selector.on_done(id, outcome, now);
    }

    fn is_relay(&self, own: &Member) -> bool {
        let set = self.orders.relays(&own.zone);
        set.iter().any(|relay| relay.id == own.id)
    }
}

/// Selects the relay hosts of each zone: [`RELAYS_PER_ZONE`] of those with the most CPU.
fn relays_by_zone<'a>(hosts: impl Iterator<Item = &'a HostRecord>) -> HashMap<ZoneId, Vec<Member>> {
    let mut hosts_by_zone: HashMap<ZoneId, Vec<&HostRecord>> = HashMap::new();
    for host in hosts {
        hosts_by_zone
            .entry(host.member.zone.clone())
            .or_default()
            .push(host);
    }
    let zones = hosts_by_zone.into_iter();
    zones
        .map(|(zone, hosts)| (zone.clone(), zone_relays(&zone, &hosts)))
        .collect()
}

/// Selects the relays of `zone` from its hosts.
pub(crate) fn zone_relays(zone: &str, hosts: &[&HostRecord]) -> Vec<Member> {
    let members_with_most_cpu = with_most_cpu(hosts);
    let relays = relay_set(zone, &members_with_most_cpu, RELAYS_PER_ZONE);
    relays.into_iter().cloned().collect()
}

impl<A: Adapter> Shared<A> {
    /// Updates the relays and the extra-call budgets after a change in the list of hosts.
    pub(crate) fn on_hosts_changed(&self) {
        let count = self.members.borrow_mut().count(Instant::now());
        if self.hosts.replace(count) != count {
            self.extra_call_budgets.borrow_mut().set_hosts(count);
            log::debug!(target: "fleet", "The number of hosts is now {count}.");
        }
        let mut relays = self.relays.borrow_mut();
        relays
            .orders
            .set_relays(relays_by_zone(self.members.borrow().listed()));
        drop(relays);
        self.update_warm_up_shares();
    }

    /// Returns whether every host may hold its own connections to servers that accept `limit`.
    pub(crate) fn can_connect_directly(&self, limit: u32) -> bool {
        let hosts = self.hosts.get();
        let limits = RelayLimits {
            record: None,
            settings: None,
            connection_limit: limit,
        };
        relay_count(limits, hosts) >= hosts
    }

    /// Returns how many connections this host may hold to a server that accepts `limit`.
    pub(crate) fn connection_quota(&self, limit: u32, is_relayed: bool) -> u32 {
        let hosts = self.hosts.get();
        if !is_relayed || self.can_connect_directly(limit) {
            return connection_share(limit, hosts);
        }
        let relays = self.relays.borrow();
        if relays.is_relay(&self.settings.member) {
            connection_share(limit, relays.orders.len())
        } else {
            // This host calls the servers itself only if no relay is available.
            1
        }
    }

    /// Records the limit that a server names for all hosts together, or none.
    pub(crate) fn on_server_limit(&self, server: ReplicaKey, limit_per_s: Option<f64>) {
        let Some(limit_per_s) = limit_per_s else {
            if self.servers.borrow_mut().on_no_limit(server) {
                log::info!(target: "upstream", "Server {} names no limit any longer.", self.server_id(server));
            }
            return;
        };
        let Some(entry) = self.servers.borrow().entry(server).cloned() else {
            return;
        };
        let share = self.limit_share(&entry, limit_per_s);
        let mut servers = self.servers.borrow_mut();
        if servers.on_limit(server, limit_per_s, share, Instant::now()) {
            log::info!(target: "upstream", "Server {} takes {limit_per_s} requests a second from all hosts.", entry.id);
        }
    }

    /// Returns the id of a server for log lines, or `-` if it is not known.
    pub(crate) fn server_id(&self, server: ReplicaKey) -> ServerId {
        let servers = self.servers.borrow();
        let entry = servers.entry(server);
        entry.map_or_else(|| "-".into(), |entry| entry.id.clone())
    }

    /// Returns this host's share of the limit of a server, which the hosts of its
    /// region call themselves or through the relay of its service. Without such hosts
    /// all others call it.
    fn limit_share(&self, server: &ServerEntry, limit_per_s: f64) -> LimitShare {
        let own = &self.settings.member;
        let table = self.table();
        let connection_limit =
            table.map_or(u32::MAX, |table| table.connection_limit(&server.service));
        let outsiders = |senders| {
            let outsiders = self.hosts.get().saturating_sub(senders);
            LimitShare::of_outsider(outsiders)
        };
        if !self.can_connect_directly(connection_limit) {
            let mut relays = self.relays.borrow_mut();
            let own_key = relays.orders.key(&own.id);
            let order = relays.orders.order(&server.zone, &server.service);
            if !order.is_empty() {
                let rank = order.iter().position(|relay| Some(*relay) == own_key);
                return rank.map_or_else(|| outsiders(order.len()), LimitShare::of_relay);
            }
        }
        let members = self.members.borrow();
        let locality = &self.settings.locality;
        let hosts = members.listed().map(|host| &host.member);
        let (in_region, elsewhere): (Vec<Member>, Vec<Member>) = hosts
            .cloned()
            .partition(|host| locality.is_same_region(&host.zone, &server.zone));
        let callers = if in_region.is_empty() {
            &elsewhere
        } else {
            &in_region
        };
        let senders = relay_set(&server.id, callers, LimitShare::max_senders(limit_per_s));
        if senders.iter().any(|sender| sender.id == own.id) {
            LimitShare::of_sender(senders.len())
        } else {
            outsiders(senders.len())
        }
    }

    /// Chooses an available relay in `zone`, or none if this host should call the servers itself.
    pub(crate) fn choose_relay(
        &self,
        zone: &ZoneId,
        service: &ServiceName,
        limit: u32,
        now: Instant,
    ) -> RelayChoice {
        let locality = &self.settings.locality;
        let own = &self.settings.member;
        if locality.distance(zone) == Distance::OtherRegion {
            // One relay for all parts, because each call to another region is expensive.
            return RelayChoice::ForZone(self.relays.borrow_mut().choose_for_zone(zone, own, now));
        }
        if self.can_connect_directly(limit) {
            return RelayChoice::ForZone(None);
        }
        let mut relays = self.relays.borrow_mut();
        RelayChoice::ForService(relays.choose_for_service(zone, service, own, now))
    }
}

/// A choice of relay; `None` means that this host calls the servers itself.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RelayChoice {
    /// Applies to all parts whose servers are in the zone.
    ForZone(Option<RelayKey>),
    /// Applies to the service only.
    ForService(Option<RelayKey>),
}

/// The calls of one query that go through the same relay.
pub(crate) struct RelayBatch {
    pub(crate) relay: RelayKey,
    pub(crate) calls: Vec<Call<CallTarget>>,
    /// Maximum number of servers per part that the relay may call.
    pub(crate) max_attempts: usize,
    pub(crate) table_version: u64,
    pub(crate) answer_at: Instant,
}

/// Queries a relay and sends its replies to the query, if that is still running.
pub(crate) async fn query<A: Adapter>(
    shared: Rc<Shared<A>>,
    route: Arc<Route>,
    mut batch: RelayBatch,
    outgoing: Rc<OutgoingRequest>,
    result_sender: UnboundedSender<CallResult>,
) {
    let member = shared.relays.borrow_mut().begin_call(batch.relay);
    let earliest_reply_at = Instant::now() + transit_time(&shared, member.peer_addr);
    let first_reply_deadline = batch.answer_at.max(earliest_reply_at) + REPLY_GRACE;
    let addr = member.peer_addr;
    let began = Instant::now();
    let connected = select! {
        connected = peer::connect(&shared, addr) => Some(connected),
        () = sleep_until(first_reply_deadline.into()) => {
            Some(Err(no_answer_error(&member).with_ran(Ran::No)))
        }
        () = result_sender.closed() => None,
    };
    let is_wanted = !result_sender.is_closed() && !outgoing.has_ended.get();
    let mut open_call = None;
    let connected = connected.map(|connected| {
        // The key may have been removed since the request was accepted.
        connected.and_then(|()| {
            identity::check_send(&shared, &outgoing).inspect_err(|error| {
                outgoing.identity.on_refused(error.clone());
            })
        })
    });
    let reply = match connected {
        Some(Ok(())) if is_wanted => {
            let transit_time = transit_time(&shared, addr);
            let call = gather_call::<A>(&route, &batch, &outgoing, transit_time);
            open_call = Some(OpenRelayCall::new(&outgoing, transit_time));
            select! {
                reply = peer::request_parts(&shared, addr, call, outgoing.deadline) => Some(reply),
                () = sleep_until(first_reply_deadline.into()) => {
                    Some(Err(no_answer_error(&member)))
                }
                () = result_sender.closed() => None,
            }
        }
        Some(Err(error)) => Some(Err(error)),
        Some(Ok(())) | None => None,
    };
    if let Some(Ok(reply)) = &reply {
        if !reply.proofs.is_empty() {
            outgoing.permit.on_sent();
        }
    }
    let rest = reply.as_ref().and_then(|reply| reply.as_ref().ok()?.rest);
    let outcome = match &reply {
        Some(Err(error)) if error.kind() == Kind::HostLost => Outcome::Failed,
        Some(_) => Outcome::Answered,
        None => Outcome::Dropped,
    };
    on_host_done(&shared, &member, outcome, began);
    let now = Instant::now();
    if let Some(Ok(reply)) = &reply {
        let services = batch.calls.iter().map(|call| &call.service);
        delay_reports::on_reported(&shared, services, &reply.delays_ms, now);
    }
    record_answers(&shared, &batch, reply.as_ref(), &outgoing);
    let may_have_run = reply.as_ref().is_none_or(has_run);
    if may_have_run || rest.is_none() {
        close_call(&mut open_call, may_have_run);
    }
    deliver(&mut batch, reply, &outgoing, &result_sender);
    if let Some(number) = rest {
        // The relay sends the parts that are still missing in a second reply, if at all.
        let rest = select! {
            rest = peer::request_rest(&shared, addr, number, outgoing.deadline) => Some(rest),
            () = result_sender.closed() => None,
        };
        record_answers(&shared, &batch, rest.as_ref(), &outgoing);
        close_call(&mut open_call, rest.as_ref().is_none_or(has_run));
        deliver(&mut batch, rest, &outgoing, &result_sender);
    }
}

/// Records whether the request may have run through a relay, unless that is known.
fn close_call(call: &mut Option<OpenRelayCall<'_>>, may_have_run: bool) {
    if let Some(call) = call.take() {
        call.on_reported(may_have_run);
    }
}

/// Returns whether a relay may have sent the request to a server so far.
fn has_run(reply: &Result<GatherReply>) -> bool {
    match reply {
        Ok(reply) => reply.may_have_run || !reply.proofs.is_empty(),
        Err(error) => error.ran() != Ran::No,
    }
}

/// Returns the time that a call to a host and its reply are on their way.
pub(crate) fn transit_time<A: Adapter>(shared: &Shared<A>, addr: SocketAddr) -> Duration {
    let round_trip = shared.peers.borrow().round_trip(addr);
    round_trip.unwrap_or(DEFAULT_ROUND_TRIP) + PROCESSING_SLACK
}

/// Records the outcome of a call to a host that began at `began`.
pub(crate) fn on_host_done<A: Adapter>(
    shared: &Shared<A>,
    member: &Member,
    outcome: Outcome,
    began: Instant,
) {
    let now = Instant::now();
    let mut relays = shared.relays.borrow_mut();
    relays.selector.on_done(&member.id, outcome, now);
    let mut servers = shared.servers.borrow_mut();
    match outcome {
        Outcome::Failed => servers.on_host_lost(&member.zone, &member.id, began, now),
        Outcome::Answered => servers.on_host_replied(&member.zone, now),
        Outcome::Dropped => {}
    }
}

/// Records which services have answered the request through a relay.
fn record_answers<A: Adapter>(
    shared: &Rc<Shared<A>>,
    batch: &RelayBatch,
    reply: Option<&Result<GatherReply>>,
    outgoing: &Rc<OutgoingRequest>,
) {
    let Some(Ok(reply)) = reply else {
        return;
    };
    for (position, _) in &reply.proofs {
        let position = usize::from(*position);
        let mut calls = batch.calls.iter();
        if let Some(call) = calls.find(|call| call.part_index == position) {
            crashes::on_answered(shared, outgoing, &call.service);
        }
    }
}

fn no_answer_error(member: &Member) -> Error {
    Error::new(Kind::HostLost, format!("{} does not answer", member.id))
}

/// Sends the parts of a relay's reply to the query, and reports the parts that
/// the relay will not deliver as failed.
fn deliver(
    batch: &mut RelayBatch,
    reply: Option<Result<GatherReply>>,
    outgoing: &OutgoingRequest,
    result_sender: &UnboundedSender<CallResult>,
) {
    let (ran, has_rest) = match reply {
        None => return,
        Some(Ok(reply)) => {
            let ran = if reply.may_have_run {
                Ran::Unknown
            } else {
                Ran::No
            };
            let has_rest = reply.rest.is_some();
            if let Some(result) = take_parts(batch, reply) {
                let _ = result_sender.send(result);
            }
            (ran, has_rest)
        }
        Some(Err(error)) => {
            log::info!(
                target: "relay",
                id = outgoing.options.log_id(),
                parts = batch.calls.len();
                "A call to a relay failed: {error}."
            );
            (error.ran(), false)
        }
    };
    if has_rest {
        return;
    }
    for call in batch.calls.drain(..) {
        let failure = Failure {
            reason: Reason::Lost,
            ran,
            reached_server: ran != Ran::No,
        };
        let _ = result_sender.send((vec![call.attempt], Err(FailedCall::from(failure))));
    }
}

/// Removes the calls that `reply` answers from the batch and returns their result.
fn take_parts(batch: &mut RelayBatch, reply: GatherReply) -> Option<CallResult> {
    let mut attempts = Vec::with_capacity(reply.proofs.len());
    let mut proofs = Vec::with_capacity(reply.proofs.len());
    for (position, proof) in &reply.proofs {
        let position = usize::from(*position);
        let call = batch.calls.iter().find(|call| call.part_index == position);
        let (Some(call), Ok(proof)) = (call, HeaderValue::from_bytes(proof)) else {
            // The records of the parts are merged, so those of this part cannot be separated
            // from the others and the whole reply is unusable.
            log::warn!(
                target: "relay",
                "A relay's reply is discarded: part {position} was not requested or its proof is invalid."
            );
            return None;
        };
        attempts.push(call.attempt);
        proofs.push(proof);
    }
    batch.calls.retain(|call| !attempts.contains(&call.attempt));
    let records = Bytes::from(reply.records);
    (!attempts.is_empty()).then_some((attempts, Ok(PartReply::Relayed { proofs, records })))
}

pub(crate) fn gather_call<A: Adapter>(
    route: &Route,
    batch: &RelayBatch,
    outgoing: &OutgoingRequest,
    transit_time: Duration,
) -> GatherCall {
    let now = Instant::now();
    let answer_in = batch.answer_at.saturating_duration_since(now);
    let positions = batch.calls.iter().map(|call| call.part_index);
    let headers = outgoing.head.headers.iter();
    let headers = headers.filter(|(name, _)| A::Protocol::is_forwarded_to_relay(name));
    GatherCall {
        protocol_version: PROTOCOL_VERSION,
        table_version: batch.table_version,
        route: route.name.to_string(),
        positions: positions.filter_map(|p| u16::try_from(p).ok()).collect(),
        path: outgoing.head.uri.to_string(),
        method: outgoing.head.method.to_string(),
        headers: headers
            .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
            .collect(),
        workspace: outgoing
            .workspace
            .as_ref()
            .map(|workspace| workspace.name.to_string()),
        permit_left_ms: outgoing.permit.time_left().map(millis),
        body: outgoing.body.to_vec(),
        time_left_ms: millis(outgoing.deadline.saturating_duration_since(now)),
        answer_in_ms: millis(answer_in.saturating_sub(transit_time)),
        max_attempts: u8::try_from(batch.max_attempts).unwrap_or(u8::MAX),
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
