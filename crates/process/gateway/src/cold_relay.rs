//! Forwards requests to hosts that may call the cold servers of their service.
//!
//! Load: all servers of a service are cold at once, as after the start of a system, and
//! requests arrive at any of many hosts. Only a few hosts may call each cold server, so
//! the others would refuse almost all requests. They send them to one of those hosts
//! instead, which calls the server within its share and returns the response.

use {
    crate::{
        crashes, identity,
        peer::{self, ForwardCall, ForwardReply},
        relay::{self, RelayBatch},
        relay_server,
        response::CallerResponse,
        serve::{RequestContext, RequestSummary, RETRY_AFTER},
        server_selection::RelayMode,
        shared::Shared,
        Adapter,
    },
    fleet::{Outcome, Phase, RelayKey},
    http::{HeaderName, HeaderValue, Response, StatusCode},
    http_body_util::{BodyExt, Full},
    kind::{Error, Kind, Ran, Result},
    replica::CallProfile,
    routing::{ServiceName, Target},
    std::{
        rc::Rc,
        slice,
        time::{Duration, Instant},
    },
    tokio::time::timeout_at,
};

/// Hosts that are asked for one request. Each may have used up its share.
const MAX_HOSTS: usize = 3;
/// Largest body of a request that is forwarded, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1_024 * 1_024;

/// Forwards a request if all servers of `service` are cold and this host may call none
/// of them. Returns `None` if it is not to be forwarded.
pub(crate) async fn forward<A: Adapter>(
    context: &RequestContext<'_, A>,
    service: &ServiceName,
    deadline: Instant,
) -> Option<Result<CallerResponse>> {
    let has_limits = context.shared.servers.borrow().has_warm_up_limits();
    let is_relay = context.relay_mode == RelayMode::IsRelay;
    // A request that is held back runs on the host that has its permit.
    let is_held = context.scope.is_some();
    if !has_limits || is_relay || is_held || context.outgoing.body.len() > MAX_BODY_BYTES {
        return None;
    }
    let mut asked = Vec::new();
    let mut refusal = None;
    while asked.len() < MAX_HOSTS {
        let Some(host) = choose_host(context, service, &asked) else {
            break;
        };
        asked.push(host);
        match forward_to(context, service, host, deadline).await {
            Err(error) if error.ran() == Ran::No => refusal = Some(error),
            result => return Some(result),
        }
    }
    refusal
        .filter(|_| !may_call(context, service))
        .map(|error| Err(refused(error)))
}

/// Returns the error for the caller if no host that was asked has sent the request.
///
/// Errors that concern only the hosts say nothing to a caller; it may come back.
fn refused(error: Error) -> Error {
    match error.kind() {
        Kind::UnknownVersion
        | Kind::UnknownRoute
        | Kind::BadPeer
        | Kind::HostLost
        | Kind::Draining => {
            let detail = format!("no host may call the cold servers now: {error}");
            Error::new(Kind::Shed, detail).with_retry_after(RETRY_AFTER)
        }
        _ => error,
    }
}

/// Returns whether this host itself may call a server of `service` now.
fn may_call<A: Adapter>(context: &RequestContext<'_, A>, service: &ServiceName) -> bool {
    let servers = context.shared.servers.borrow();
    let allowed = servers.within(&context.outgoing.allowed_regions);
    let profile = profile(context);
    let pick = allowed.pick(service, &[], profile, Instant::now(), &mut rand::rng());
    pick.is_some()
}

fn profile<A: Adapter>(context: &RequestContext<'_, A>) -> CallProfile {
    let latency_medians = context.shared.latency_medians.borrow();
    CallProfile {
        median_ms: latency_medians.median_ms(&context.route.name),
        retry_reserve: 1.0,
        may_probe: false,
    }
}

/// Chooses a host that may call a server of `service`, or none if this host itself may.
fn choose_host<A: Adapter>(
    context: &RequestContext<'_, A>,
    service: &ServiceName,
    asked: &[RelayKey],
) -> Option<RelayKey> {
    if may_call(context, service) {
        return None;
    }
    let now = Instant::now();
    let shared = context.shared;
    let regions = &context.outgoing.allowed_regions;
    let servers = shared.servers.borrow();
    let allowed = servers.within(regions);
    let rng = &mut rand::rng();
    let server = allowed
        .pick_for_relay(service, profile(context), now, rng)?
        .key;
    shared.relay_for_cold_server(server, regions, asked, now)
}

async fn forward_to<A: Adapter>(
    context: &RequestContext<'_, A>,
    service: &ServiceName,
    host: RelayKey,
    deadline: Instant,
) -> Result<CallerResponse> {
    let shared = context.shared;
    identity::check_send(shared, context.outgoing)?;
    let member = shared.relays.borrow_mut().begin_call(host);
    let began = Instant::now();
    let connected = timeout_at(deadline.into(), peer::connect(shared, member.peer_addr)).await;
    let not_connected = match connected {
        Ok(Ok(())) if Instant::now() < deadline => None,
        Ok(Err(error)) => Some(error),
        Ok(Ok(())) | Err(_) => {
            let detail = format!("no connection to {} in time", member.id);
            Some(Error::new(Kind::HostLost, detail).with_ran(Ran::No))
        }
    };
    let batch = RelayBatch {
        relay: host,
        calls: Vec::new(),
        max_attempts: context.max_attempts,
        table_version: context.table.version(),
        answer_at: deadline,
    };
    let round_trip = relay::transit_time(shared, member.peer_addr);
    let mut call = relay::gather_call::<A>(context.route, &batch, context.outgoing, round_trip);
    call.time_left_ms = call.answer_in_ms;
    let call = ForwardCall {
        call,
        service: service.to_string(),
    };
    let reply = match not_connected {
        Some(error) => Err(error),
        None => {
            let reply = peer::forward(shared, member.peer_addr, call, deadline);
            let reply = timeout_at(deadline.into(), reply).await;
            reply.unwrap_or_else(|_| {
                let detail = format!("{} does not answer", member.id);
                Err(Error::new(Kind::HostLost, detail))
            })
        }
    };
    let outcome = match &reply {
        Err(error) if error.kind() == Kind::HostLost => Outcome::Failed,
        _ => Outcome::Answered,
    };
    relay::on_host_done(shared, &member, outcome, began);
    if let Err(error) = &reply {
        if shared.may_log("zones") {
            log::info!(
                target: "zones",
                id = context.outgoing.options.log_id(),
                host = &*member.id;
                "A request for a cold server was not served: {error}."
            );
        }
    }
    CallerResponse::try_from(reply?)
}

/// Sends the request of a peer to a cold server and returns the response.
///
/// # Errors
///
/// Returns the error of the request. One with `ran: no` is certain to have sent nothing.
pub(crate) async fn serve<A: Adapter>(
    shared: &Rc<Shared<A>>,
    call: ForwardCall,
) -> Result<ForwardReply> {
    let _in_flight = shared.life.begin_work();
    if shared.life.phase() > Phase::Leaving {
        return Err(Error::new(Kind::Draining, "the host is leaving"));
    }
    let ForwardCall { call, service } = call;
    let (table, route) = relay_server::find_route(shared, &call)?;
    let service = route
        .services()
        .into_iter()
        .find(|name| ***name == *service);
    let service = service.filter(|_| !matches!(route.target, Target::Shards(_)));
    let service = service
        .cloned()
        .ok_or_else(|| Error::new(Kind::UnknownRoute, "the route has no such service"))?;
    let started_at = Instant::now();
    let deadline = started_at + Duration::from_millis(call.time_left_ms.into());
    let max_attempts = usize::from(call.max_attempts).min(route.max_attempts);
    let outgoing = relay_server::outgoing_request::<A>(call, &table, &route, deadline)?;
    let scope = crashes::relay_scope(shared, outgoing.fingerprint, slice::from_ref(&service));
    let outgoing = Rc::new(outgoing);
    let context = RequestContext {
        shared,
        table: &table,
        route: &route,
        outgoing: &outgoing,
        relay_mode: RelayMode::IsRelay,
        scope: scope.as_ref(),
        max_attempts,
    };
    let mut summary = RequestSummary::default();
    let response = context.forward_to_service(&service, started_at, &mut summary);
    let response = response.await;
    let has_not_run = matches!(&response, Err(error) if error.ran() == Ran::No);
    let response = match outgoing.identity.take_refusal() {
        Some(refusal) if has_not_run => Err(refusal),
        _ => response,
    };
    ForwardReply::from_response(response?).await
}

impl ForwardReply {
    async fn from_response(response: CallerResponse) -> Result<Self> {
        let (head, body) = response.into_parts();
        let body = body.collect().await;
        let body = body.map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
        let headers = head.headers.iter();
        Ok(Self {
            status: head.status.as_u16(),
            headers: headers
                .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
                .collect(),
            body: body.to_bytes().to_vec(),
        })
    }
}

impl TryFrom<ForwardReply> for CallerResponse {
    type Error = Error;

    fn try_from(reply: ForwardReply) -> Result<Self> {
        let invalid = || Error::new(Kind::BadPeer, "the response of a host is invalid");
        let mut response = Response::new(Full::new(reply.body.into()));
        *response.status_mut() = StatusCode::from_u16(reply.status).map_err(|_| invalid())?;
        for (name, value) in reply.headers {
            let name: HeaderName = name.parse().map_err(|_| invalid())?;
            let value = HeaderValue::from_bytes(&value).map_err(|_| invalid())?;
            response.headers_mut().append(name, value);
        }
        Ok(response)
    }
}
