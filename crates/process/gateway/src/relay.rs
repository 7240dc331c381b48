//! Parts of a query that a host near their servers asks for.
//!
//! Bytes between regions are dear and slow: in place of a call to each far
//! server goes one to a host there, which asks the servers, merges their
//! records and sends back what is left of them with the proofs.

use {
    crate::{
        answer::Piece,
        call::CallEnd,
        exchange::{Failed, Outgoing},
        membership::{strongest, ListedHost},
        peer::{self, GatherCall, GatherReply, PROTOCOL_VERSION},
        shared::Shared,
        view::Via,
        Adapter, Protocol,
    },
    bytes::Bytes,
    fleet::{relay_count, relay_set, Choice, Member, Outcome, RelayLimits},
    http::HeaderValue,
    kind::{Error, Kind, Ran, Result},
    link::connection_share,
    plan::Reason,
    record::{HostId, ZoneId},
    replica::Distance,
    routing::{Route, ServiceName},
    scatter::{Call, Failure},
    std::{
        collections::HashMap,
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

/// Number of a host that relays, unique within the process.
pub(crate) type RelayKey = u32;

/// Hosts of a zone that relay. Few of them keep the connections to servers in
/// use and see each server's state; two may be lost at the same time.
const RELAYS_PER_ZONE: usize = 3;
/// Round trip to a relay until one is measured, a usual figure between regions.
const ROUND_TRIP: Duration = Duration::from_millis(25);
/// Time for which an answer waits in the processes on its way.
const WAY_SLACK: Duration = Duration::from_millis(2);
/// Time beyond the agreed one after which a relay counts as failed.
const REPLY_SLACK: Duration = Duration::from_millis(60);

/// What is known of the hosts that relay.
#[derive(Default)]
pub(crate) struct Relays {
    keys: HashMap<HostId, RelayKey>,
    members: Vec<Member>,
    choice: Choice,
    /// Hosts of each zone that relay.
    sets: HashMap<ZoneId, Vec<Member>>,
    /// The same in the order of each service, made when it is first asked for.
    orders: HashMap<(ZoneId, ServiceName), Vec<Member>>,
    /// What is still to come of replies of this host.
    pub(crate) rests: HashMap<u64, oneshot::Receiver<GatherReply>>,
}

impl Relays {
    /// Chooses a relay in `zone` for whatever service, or none if all failed a moment ago.
    fn choose(&mut self, zone: &ZoneId, own: &Member, now: Instant) -> Option<RelayKey> {
        let set = self.sets.get(zone)?;
        let order = self.choice.order(set, own, now, &mut rand::rng());
        let relay = (*order.first()?).clone();
        self.usable(relay, own, now)
    }

    /// Chooses the relay in `zone` that all hosts use for `service` while it works.
    ///
    /// That host sees all the calls to a server, and so its pauses and its
    /// load, and keeps its connections in use.
    fn choose_for(
        &mut self,
        zone: &ZoneId,
        service: &ServiceName,
        own: &Member,
        now: Instant,
    ) -> Option<RelayKey> {
        let set = self.sets.get(zone)?;
        let key = (zone.clone(), service.clone());
        let order = self.orders.entry(key).or_insert_with(|| {
            let order = relay_set(service, set, set.len());
            order.into_iter().cloned().collect()
        });
        let choice = &self.choice;
        let relay = order.iter().find(|member| !choice.has_failed(member, now));
        let relay = relay?.clone();
        self.usable(relay, own, now)
    }

    /// Returns the key of a relay, or `None` for this host itself.
    fn usable(&mut self, relay: Member, own: &Member, now: Instant) -> Option<RelayKey> {
        if relay.id == own.id || self.choice.has_failed(&relay, now) {
            return None;
        }
        Some(self.key(relay))
    }

    fn is_relay(&self, own: &Member) -> bool {
        let set = self.sets.get(&own.zone);
        set.is_some_and(|set| set.iter().any(|relay| relay.id == own.id))
    }

    fn key(&mut self, member: Member) -> RelayKey {
        if let Some(key) = self.keys.get(&member.id).copied() {
            if let Some(known) = self.members.get_mut(key as usize) {
                *known = member;
            }
            return key;
        }
        let key = RelayKey::try_from(self.members.len()).unwrap_or(RelayKey::MAX);
        self.keys.insert(member.id.clone(), key);
        self.members.push(member);
        key
    }
}

/// Returns the hosts of each zone that relay: the strongest ones, a few of them.
fn relay_sets<'a>(hosts: impl Iterator<Item = &'a ListedHost>) -> HashMap<ZoneId, Vec<Member>> {
    let mut by_zone: HashMap<ZoneId, Vec<&ListedHost>> = HashMap::new();
    for host in hosts {
        by_zone
            .entry(host.member.zone.clone())
            .or_default()
            .push(host);
    }
    let set = |zone: &str, hosts: &[&ListedHost]| -> Vec<Member> {
        let strong = strongest(hosts);
        let set = relay_set(zone, &strong, RELAYS_PER_ZONE);
        set.into_iter().cloned().collect()
    };
    let zones = by_zone.into_iter();
    zones
        .map(|(zone, hosts)| (zone.clone(), set(&zone, &hosts)))
        .collect()
}

impl<A: Adapter> Shared<A> {
    /// Takes a change in the list of hosts.
    pub(crate) fn on_members(&self) {
        let count = self.members.borrow_mut().count(Instant::now());
        if self.hosts.replace(count) != count {
            self.extras.borrow_mut().set_hosts(count);
            log::debug!(target: "fleet", "{count} hosts are counted.");
        }
        let mut relays = self.relays.borrow_mut();
        relays.sets = relay_sets(self.members.borrow().listed());
        relays.orders.clear();
    }

    /// Returns whether every host can hold connections of its own to servers that accept `limit`.
    fn is_own_relay(&self, limit: u32) -> bool {
        let hosts = self.hosts.get();
        let limits = RelayLimits {
            record: None,
            settings: None,
            connection_limit: limit,
        };
        relay_count(limits, hosts) >= hosts
    }

    /// Returns the most connections that this host holds to a server that accepts `limit`.
    pub(crate) fn connection_share(&self, limit: u32, is_relayed: bool) -> u32 {
        let hosts = self.hosts.get();
        if !is_relayed || self.is_own_relay(limit) {
            return connection_share(limit, hosts);
        }
        let relays = self.relays.borrow();
        if relays.is_relay(&self.settings.member) {
            let count = relays.sets.values().map(Vec::len).sum::<usize>();
            connection_share(limit, count)
        } else {
            // Only where no relay works.
            1
        }
    }

    /// Chooses a relay in `zone`, if there is one that works and is another host.
    pub(crate) fn choose_relay(
        &self,
        zone: &ZoneId,
        service: &ServiceName,
        limit: u32,
        now: Instant,
    ) -> Relay {
        let place = &self.settings.place;
        let own = &self.settings.member;
        if place.distance(zone) == Distance::Far {
            // One for all parts: every call to another region is dear.
            return Relay::OfZone(self.relays.borrow_mut().choose(zone, own, now));
        }
        if self.is_own_relay(limit) {
            return Relay::OfZone(None);
        }
        let mut relays = self.relays.borrow_mut();
        Relay::OfService(relays.choose_for(zone, service, own, now))
    }
}

/// A relay, or none where this host calls the servers itself.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Relay {
    /// For all parts whose servers are in the zone.
    OfZone(Option<RelayKey>),
    /// For the service alone.
    OfService(Option<RelayKey>),
}

/// The calls of one query that go to the same relay.
pub(crate) struct Relayed {
    pub(crate) relay: RelayKey,
    pub(crate) calls: Vec<Call<Via>>,
    /// Most servers of a part that the relay may call.
    pub(crate) max_attempts: usize,
    pub(crate) table_version: u64,
    pub(crate) answer_at: Instant,
}

/// Asks a relay and sends what it brings to the query, if that still waits.
pub(crate) async fn ask<A: Adapter>(
    shared: Rc<Shared<A>>,
    route: Arc<Route>,
    mut relayed: Relayed,
    outgoing: Rc<Outgoing>,
    ends: UnboundedSender<CallEnd>,
) {
    let member = shared.relays.borrow().members[relayed.relay as usize].clone();
    shared.relays.borrow_mut().choice.on_sent(&member.id);
    let first_by = relayed.answer_at + REPLY_SLACK;
    let round_trip = shared.peers.borrow().round_trip(member.peer_addr);
    let way = round_trip.unwrap_or(ROUND_TRIP) + WAY_SLACK;
    let call = gather_call::<A>(&route, &relayed, &outgoing, way);
    let addr = member.peer_addr;
    let reply = select! {
        reply = peer::ask_parts(&shared, addr, call, outgoing.deadline) => Some(reply),
        () = sleep_until(first_by.into()) => Some(Err(silent(&member))),
        () = ends.closed() => None,
    };
    let rest = reply.as_ref().and_then(|reply| reply.as_ref().ok()?.rest);
    let outcome = match &reply {
        Some(Err(error)) if error.kind() == Kind::HostLost => Outcome::Failed,
        Some(_) => Outcome::Answered,
        None => Outcome::Dropped,
    };
    let now = Instant::now();
    shared
        .relays
        .borrow_mut()
        .choice
        .on_done(&member.id, outcome, now);
    if let Some(Ok(reply)) = &reply {
        let mut outlook = shared.outlook.borrow_mut();
        for (call, delay_ms) in relayed.calls.iter().zip(&reply.delays_ms) {
            outlook.learn(
                &call.service,
                Duration::from_millis((*delay_ms).into()),
                now,
            );
        }
    }
    deliver(&mut relayed, reply, &outgoing, &ends);
    if let Some(number) = rest {
        // Whatever is still missing comes late or not at all.
        let rest = select! {
            rest = peer::ask_rest(&shared, addr, number, outgoing.deadline) => Some(rest),
            () = ends.closed() => None,
        };
        deliver(&mut relayed, rest, &outgoing, &ends);
    }
}

fn silent(member: &Member) -> Error {
    Error::new(Kind::HostLost, format!("{} does not answer", member.id))
}

/// Hands over what a relay brought, and tells of what it will not bring.
fn deliver(
    relayed: &mut Relayed,
    reply: Option<Result<GatherReply>>,
    outgoing: &Outgoing,
    ends: &UnboundedSender<CallEnd>,
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
            if let Some(end) = taken(relayed, reply) {
                let _ = ends.send(end);
            }
            (ran, has_rest)
        }
        Some(Err(error)) => {
            log::info!(target: "relay", id = outgoing.ask.id(), parts = relayed.calls.len(); "Query not relayed: {error}.");
            (error.ran(), false)
        }
    };
    if has_rest {
        return;
    }
    for call in relayed.calls.drain(..) {
        let failure = Failure {
            reason: Reason::Lost,
            ran,
            has_arrived: ran != Ran::No,
        };
        let _ = ends.send((vec![call.attempt], Err(Failed::from(failure))));
    }
}

/// Takes the parts of a reply, whose calls have ended with it.
fn taken(relayed: &mut Relayed, reply: GatherReply) -> Option<CallEnd> {
    let mut attempts = Vec::with_capacity(reply.proofs.len());
    let mut proofs = Vec::with_capacity(reply.proofs.len());
    for (position, proof) in &reply.proofs {
        let position = usize::from(*position);
        let call = relayed.calls.iter().find(|call| call.position == position);
        let (Some(call), Ok(proof)) = (call, HeaderValue::from_bytes(proof)) else {
            // Its records cannot be told from the others, so nothing of the reply is of use.
            log::warn!(target: "relay", "A reply has part {position}, which is not waited for.");
            return None;
        };
        attempts.push(call.attempt);
        proofs.push(proof);
    }
    relayed
        .calls
        .retain(|call| !attempts.contains(&call.attempt));
    let records = Bytes::from(reply.records);
    (!attempts.is_empty()).then_some((attempts, Ok(Piece::Relayed { proofs, records })))
}

fn gather_call<A: Adapter>(
    route: &Route,
    relayed: &Relayed,
    outgoing: &Outgoing,
    way: Duration,
) -> GatherCall {
    let now = Instant::now();
    let answer_in = relayed.answer_at.saturating_duration_since(now);
    let positions = relayed.calls.iter().map(|call| call.position);
    let headers = outgoing.head.headers.iter();
    let headers = headers.filter(|(name, _)| A::Protocol::is_relayed(name));
    GatherCall {
        protocol_version: PROTOCOL_VERSION,
        table_version: relayed.table_version,
        route: route.name.to_string(),
        positions: positions.filter_map(|p| u16::try_from(p).ok()).collect(),
        path: outgoing.head.uri.to_string(),
        method: outgoing.head.method.to_string(),
        headers: headers
            .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
            .collect(),
        body: outgoing.body.to_vec(),
        time_left_ms: millis(outgoing.deadline.saturating_duration_since(now)),
        answer_in_ms: millis(answer_in.saturating_sub(way)),
        max_attempts: u8::try_from(relayed.max_attempts).unwrap_or(u8::MAX),
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
