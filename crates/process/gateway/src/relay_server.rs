//! Queries servers on behalf of a peer, for which this host acts as a relay.
//!
//! The first reply is sent one round trip before the peer responds to its
//! caller and contains the parts received by then. A second reply contains the
//! parts that arrive later, as long as the peer waits for them.

use {
    crate::{
        adapter::Reply,
        answer_margin, crashes,
        exchange::{self, OutgoingRequest},
        identity::Identity,
        peer::{GatherCall, GatherReply},
        quota::RequestPermit,
        response::PartReply,
        serve::{RequestContext, MIN_HEDGE_DELAY},
        server_selection::RelayMode,
        shared::Shared,
        Adapter, Protocol,
    },
    fleet::Phase,
    http::{HeaderName, HeaderValue, Method, Request, Uri},
    kind::{Error, Kind, Ran, Result},
    link::ServiceNames,
    replica::Distance,
    routing::{AllowedRegions, Route, ServiceName, ShardSet, Table, Target, Workspace},
    scatter::{top_records, MergedReply, QueryPolicy},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{select, sync::oneshot, task::spawn_local, time::sleep},
};

/// How long the rest of a reply is kept until the peer asks for it: a long round
/// trip plus a delay in both processes. If the caller has disconnected in the
/// meantime, servers work for it no longer than this plus `call::LINGER`.
const LATE_REPLY_RETENTION: Duration = Duration::from_millis(100);

/// Queries servers near this host for the parts that a peer requests.
///
/// # Errors
///
/// Returns an error with `ran: no` if the peer has to query the servers itself.
pub(crate) async fn gather<A: Adapter>(
    shared: &Rc<Shared<A>>,
    call: GatherCall,
) -> Result<GatherReply> {
    let _in_flight = shared.life.begin_work();
    if shared.life.phase() > Phase::Leaving {
        return Err(Error::new(Kind::Draining, "the relay is leaving"));
    }
    let (table, route) = find_route(shared, &call)?;
    let Target::Shards(set) = &route.target else {
        return Err(Error::new(
            Kind::UnknownRoute,
            "the route does not target shards",
        ));
    };
    let now = Instant::now();
    let deadline = now + Duration::from_millis(call.time_left_ms.into());
    let answer_in = Duration::from_millis(call.answer_in_ms.into());
    let answer_at = answer_margin::reply_at(shared, &route.name, answer_in, now);
    let positions = call.positions.clone();
    let max_attempts = usize::from(call.max_attempts).min(route.max_attempts);
    let services = services_at(set, &positions)?;
    let outgoing = outgoing_request::<A>(call, &table, &route, deadline)?;
    let task = GatherTask {
        max_records: set.max_records,
        positions,
        max_attempts,
        scope: crashes::relay_scope(shared, outgoing.fingerprint, &services),
        outgoing: Rc::new(outgoing),
        table,
        route: Arc::clone(&route),
        services,
        answer_at: answer_at.min(deadline),
        deadline,
    };
    let (reply_sender, reply_receiver) = oneshot::channel();
    let (rest_sender, late_reply_receiver) = oneshot::channel();
    spawn_local(task.run(Rc::clone(shared), reply_sender, rest_sender));
    let mut reply = reply_receiver
        .await
        .map_err(|_| Error::new(Kind::Internal, "the relay task ended without a reply"))?;
    if reply.rest.is_some() {
        let number = shared.next_number();
        reply.rest = Some(number);
        shared
            .relays
            .borrow_mut()
            .pending_late_replies
            .insert(number, late_reply_receiver);
        let shared = Rc::clone(shared);
        spawn_local(async move {
            sleep(LATE_REPLY_RETENTION).await;
            shared
                .relays
                .borrow_mut()
                .pending_late_replies
                .remove(&number);
        });
    }
    Ok(reply)
}

/// Returns the table in force if it has `version`.
pub(crate) fn table_of_version<A: Adapter>(shared: &Shared<A>, version: u64) -> Result<Arc<Table>> {
    let table = shared.table().filter(|table| table.version() == version);
    table.ok_or_else(|| Error::new(Kind::UnknownVersion, "another one is in force"))
}

/// Returns the shards at `positions` of a route.
pub(crate) fn services_at(set: &ShardSet, positions: &[u16]) -> Result<Vec<ServiceName>> {
    let indexes = positions.iter().map(|position| usize::from(*position));
    let services: Option<Vec<ServiceName>> = indexes
        .map(|position| set.services.get(position).cloned())
        .collect();
    services.ok_or_else(|| {
        Error::new(
            Kind::BadPeer,
            "a shard position is out of range for the route",
        )
    })
}

/// Returns the workspace that a peer names.
pub(crate) fn workspace_named(table: &Table, name: Option<&str>) -> Result<Option<Arc<Workspace>>> {
    let workspace = name.map(|name| {
        let workspace = table.workspace(name).cloned();
        workspace.ok_or_else(|| Error::new(Kind::BadPeer, format!("no workspace is named {name}")))
    });
    workspace.transpose()
}

/// Returns the regions in which requests of a workspace on a route may be served.
pub(crate) fn regions_for(route: &Route, workspace: Option<&Workspace>) -> AllowedRegions {
    let regions = &route.allowed_regions;
    workspace.map_or_else(
        || regions.clone(),
        |workspace| regions.intersection(&workspace.allowed_regions),
    )
}

/// Returns the expected delays of services at which this host as a relay calls servers,
/// in milliseconds.
pub(crate) fn delays_ms<A: Adapter>(
    shared: &Shared<A>,
    route: &str,
    services: &[ServiceName],
    regions: &AllowedRegions,
) -> Vec<u16> {
    let now = Instant::now();
    let median_ms = shared.latency_medians.borrow().median_ms(route);
    let servers = shared.servers.borrow();
    let servers = servers.within(regions);
    let delays = services.iter().map(|service| {
        let delay = servers.min_call_delay(service, median_ms, Distance::OtherRegion, now);
        let delay_ms = delay.map_or(u128::MAX, |delay| delay.as_millis());
        u16::try_from(delay_ms).unwrap_or(u16::MAX)
    });
    delays.collect()
}

/// Returns the table and the route of a peer's call.
///
/// # Errors
///
/// Returns an error with `ran: no` if another table is in force or it has no such route.
pub(crate) fn find_route<A: Adapter>(
    shared: &Shared<A>,
    call: &GatherCall,
) -> Result<(Arc<Table>, Arc<Route>)> {
    let table = table_of_version(shared, call.table_version)?;
    let route = table.route(&call.route).cloned();
    let route = route.ok_or_else(|| Error::new(Kind::UnknownRoute, call.route.clone()))?;
    Ok((table, route))
}

/// Waits for the parts that were missing from an earlier reply of this host.
///
/// # Errors
///
/// Returns [`Kind::NotFound`] if no late reply is pending under `number`.
pub(crate) async fn take_late_reply<A: Adapter>(
    shared: &Rc<Shared<A>>,
    number: u64,
) -> Result<GatherReply> {
    let _in_flight = shared.life.begin_work();
    let unavailable = || Error::new(Kind::NotFound, "the rest is gone").with_ran(Ran::Unknown);
    let receiver = shared
        .relays
        .borrow_mut()
        .pending_late_replies
        .remove(&number);
    receiver
        .ok_or_else(unavailable)?
        .await
        .map_err(|_| unavailable())
}

/// The parts of a query that this host requests on behalf of a peer.
struct GatherTask {
    table: Arc<Table>,
    route: Arc<Route>,
    outgoing: Rc<OutgoingRequest>,
    services: Vec<ServiceName>,
    scope: Option<ServiceNames>,
    /// Position of each part's shard within the route.
    positions: Vec<u16>,
    max_records: usize,
    max_attempts: usize,
    answer_at: Instant,
    deadline: Instant,
}

impl GatherTask {
    /// Sends the parts received by `answer_at`, then those received later, as long as the
    /// receivers exist.
    async fn run<A: Adapter>(
        self,
        shared: Rc<Shared<A>>,
        mut reply_sender: oneshot::Sender<GatherReply>,
        mut rest_sender: oneshot::Sender<GatherReply>,
    ) {
        let context = RequestContext {
            shared: &shared,
            table: &self.table,
            route: &self.route,
            outgoing: &self.outgoing,
            relay_mode: RelayMode::IsRelay,
            scope: self.scope.as_ref(),
            max_attempts: self.max_attempts,
        };
        let policy = QueryPolicy {
            deadline: self.deadline,
            answer_at: self.deadline,
            on_time_until: self.deadline,
            late_answer_at: self.deadline,
            // The peer checks the minimum share itself, over the parts of all relays.
            min_share: 0.0,
            max_attempts: self.max_attempts,
            is_repeatable: true,
            hedge_after: Some(MIN_HEDGE_DELAY),
            hedge_until: Some(self.answer_at),
        };
        let mut running = context.start_query(policy, &self.services);
        let has_ended = select! {
            has_ended = running.run(&context, Some(self.answer_at)) => has_ended,
            // The peer cancelled the call, for example because its caller has disconnected.
            () = reply_sender.closed() => return,
        };
        let ended_at = Instant::now().min(self.answer_at);
        let reply = self.reply(&shared, running.query.take_replies(), !has_ended);
        answer_margin::on_reply(&shared, &self.route.name, ended_at);
        if reply_sender.send(reply).is_err() || has_ended {
            return;
        }
        select! {
            _ = running.run(&context, None) => {}
            () = rest_sender.closed() => return,
        }
        let reply = self.reply(&shared, running.query.take_replies(), false);
        // The receiver is gone if the peer has stopped waiting.
        let _ = rest_sender.send(reply);
    }

    fn reply<A: Adapter>(
        &self,
        shared: &Shared<A>,
        replies: Vec<MergedReply<PartReply>>,
        has_rest: bool,
    ) -> GatherReply {
        let regions = &self.outgoing.allowed_regions;
        let delays_ms = delays_ms(shared, &self.route.name, &self.services, regions);
        let mut proofs = Vec::with_capacity(replies.len());
        let mut bodies = Vec::with_capacity(replies.len());
        for merged in replies {
            let PartReply::Direct(reply) = merged.reply else {
                continue;
            };
            let Reply { metadata, body, .. } = *reply;
            if let (Some(proof), Some(index)) = (metadata.proof, merged.part_indexes.first()) {
                proofs.push((self.positions[*index], proof.as_bytes().to_vec()));
                bodies.push(body);
            }
        }
        GatherReply {
            proofs,
            records: top_records(&bodies, self.max_records).to_vec(),
            may_have_run: self.outgoing.may_have_run(),
            delays_ms,
            // Placeholder; `gather` assigns the number before the reply is sent.
            rest: has_rest.then_some(0),
        }
    }
}

/// Returns the request of a peer's call in the form that is sent to servers.
///
/// # Errors
///
/// Returns [`Kind::BadPeer`] if a part of the call is invalid.
pub(crate) fn outgoing_request<A: Adapter>(
    call: GatherCall,
    table: &Table,
    route: &Arc<Route>,
    deadline: Instant,
) -> Result<OutgoingRequest> {
    let parse_error = |what: &str| Error::new(Kind::BadPeer, format!("cannot parse the {what}"));
    let method: Method = call.method.parse().map_err(|_| parse_error("method"))?;
    let uri: Uri = call.path.parse().map_err(|_| parse_error("path"))?;
    let (mut head, ()) = Request::new(()).into_parts();
    head.method = method;
    head.uri = uri;
    for (name, value) in &call.headers {
        let name: HeaderName = name.parse().map_err(|_| parse_error("name of a header"))?;
        let value = HeaderValue::from_bytes(value).map_err(|_| parse_error("value of a header"))?;
        head.headers.append(name, value);
    }
    let options = A::Protocol::read_request_options(&head.headers);
    let permit_left = call
        .permit_left_ms
        .map(|left_ms| Duration::from_millis(left_ms.into()));
    let body = call.body.into();
    let workspace = workspace_named(table, call.workspace.as_deref())?;
    let allowed_regions = regions_for(route, workspace.as_deref());
    Ok(OutgoingRequest {
        route: Arc::clone(route),
        fingerprint: exchange::fingerprint(&head, workspace.as_deref(), &body),
        is_canary: false,
        evidence: RefCell::default(),
        has_ended: Cell::default(),
        identity: Identity::new(None, table.version()),
        permit: RequestPermit::relayed(permit_left),
        head,
        body,
        options,
        workspace,
        allowed_regions,
        deadline,
        needs_success: matches!(route.target, Target::Shards(_)),
    })
}
