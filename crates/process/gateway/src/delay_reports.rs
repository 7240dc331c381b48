//! Asks relays for the delays of shards before a query is admitted or refused.

use {
    crate::{
        peer::{self, DelaysCall, PROTOCOL_VERSION},
        relay_server,
        serve::RequestContext,
        server_selection::{CallTarget, RelayMode},
        shared::Shared,
        Adapter,
    },
    fleet::{Member, Outcome, Phase, RelayKey},
    futures::future::join_all,
    kind::{Error, Kind, Result},
    replica::Distance,
    routing::{ServiceName, ShardSet, Target},
    scatter::Replicas,
    std::{
        collections::HashMap,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{task::spawn_local, time::timeout},
};

/// Share of a query's target latency for which reports are awaited. Relays of the own
/// region answer within a few milliseconds.
const WAIT_SHARE: f64 = 0.125;
/// Longest time to wait for reports.
const MAX_WAIT: Duration = Duration::from_millis(30);
/// Time for the answer of a relay in another region before its first one.
const OTHER_REGION_TIME: Duration = Duration::from_millis(25);

/// Asks the relays of the shards for their delays if this host knows too little to
/// decide whether the query can be answered in time.
///
/// Reports that arrive too late for this query serve the next ones.
pub(crate) async fn refresh<A: Adapter>(context: &RequestContext<'_, A>, set: &ShardSet) {
    let shared = context.shared;
    let target = context.route.target_latency;
    let now = Instant::now();
    {
        let mut forecast = shared.delay_forecast.borrow_mut();
        if !forecast.needs_reports(&set.services, set.min_share, target, now) {
            return;
        }
        forecast.on_asked(now);
    }
    let wait = target.mul_f64(WAIT_SHARE).min(MAX_WAIT);
    let groups = positions_by_relay(context, set, now).into_iter();
    let groups: Vec<(Member, Vec<u16>)> = groups
        .map(|(relay, positions)| (shared.relays.borrow().member(relay), positions))
        .filter(|(relay, _)| answer_time(shared, relay) <= wait)
        .collect();
    if groups.is_empty() {
        return;
    }
    log::debug!(target: "relay", "{} relays are asked for delays.", groups.len());
    let tasks = groups.into_iter().map(|(relay, positions)| {
        let services = positions
            .iter()
            .map(|n| set.services[usize::from(*n)].clone());
        let services: Vec<ServiceName> = services.collect();
        let workspace = context.outgoing.workspace.as_ref();
        let call = DelaysCall {
            protocol_version: PROTOCOL_VERSION,
            table_version: context.table.version(),
            route: context.route.name.to_string(),
            positions,
            workspace: workspace.map(|workspace| workspace.name.to_string()),
        };
        spawn_local(ask(Rc::clone(shared), relay, call, services, now + target))
    });
    let tasks: Vec<_> = tasks.collect();
    // The reports are recorded by the tasks.
    let _ = timeout(wait, join_all(tasks)).await;
}

/// Returns the positions of the shards that this host queries through each relay.
fn positions_by_relay<A: Adapter>(
    context: &RequestContext<'_, A>,
    set: &ShardSet,
    now: Instant,
) -> HashMap<RelayKey, Vec<u16>> {
    let mut selection = context.server_selection();
    selection.relay_mode = RelayMode::First(Duration::ZERO);
    let mut positions: HashMap<RelayKey, Vec<u16>> = HashMap::new();
    for (position, service) in (0..).zip(set.services.iter()) {
        let candidate = selection.pick(service, &[], 1, now);
        if let Some(CallTarget::Relay(relay)) = candidate.map(|candidate| candidate.server) {
            positions.entry(relay).or_default().push(position);
        }
    }
    positions
}

/// Returns the time after which a relay is expected to answer.
fn answer_time<A: Adapter>(shared: &Shared<A>, relay: &Member) -> Duration {
    let measured = shared.peers.borrow().round_trip(relay.peer_addr);
    let is_far = shared.settings.locality.distance(&relay.zone) == Distance::OtherRegion;
    let assumed = if is_far {
        OTHER_REGION_TIME
    } else {
        Duration::ZERO
    };
    measured.unwrap_or(assumed)
}

async fn ask<A: Adapter>(
    shared: Rc<Shared<A>>,
    relay: Member,
    call: DelaysCall,
    services: Vec<ServiceName>,
    deadline: Instant,
) {
    shared.relays.borrow_mut().on_sent(&relay.id);
    let reply = peer::request_delays(&shared, relay.peer_addr, call, deadline).await;
    let now = Instant::now();
    let outcome = match &reply {
        Err(error) if error.kind() == Kind::HostLost => Outcome::Failed,
        _ => Outcome::Answered,
    };
    shared.relays.borrow_mut().on_done(&relay.id, outcome, now);
    match reply {
        Ok(delays_ms) => on_reported(&shared, &services, &delays_ms, now),
        Err(error) => {
            if shared.may_log("relay") {
                log::info!(target: "relay", "Relay {} reports no delays: {error}.", relay.id);
            }
        }
    }
}

/// Records the delays that a relay reports, in the order of `services`.
pub(crate) fn on_reported<'a, A: Adapter>(
    shared: &Shared<A>,
    services: impl IntoIterator<Item = &'a ServiceName>,
    delays_ms: &[u16],
    now: Instant,
) {
    let mut forecast = shared.delay_forecast.borrow_mut();
    for (service, delay_ms) in services.into_iter().zip(delays_ms) {
        let delay = Duration::from_millis((*delay_ms).into());
        forecast.on_reported_delay(service, delay, now);
    }
}

/// Returns the delays that a peer asks this host for as a relay.
///
/// # Errors
///
/// Returns an error if this host does not know the route or the workspace.
pub(crate) fn answer<A: Adapter>(shared: &Shared<A>, call: &DelaysCall) -> Result<Vec<u16>> {
    if shared.life.phase() != Phase::Ready || !shared.has_servers.get() {
        // Without the servers, each of their services would seem to have none.
        return Err(Error::new(Kind::NotReady, "the servers are not known yet"));
    }
    let table = relay_server::table_of_version(shared, call.table_version)?;
    let route = table.route(&call.route);
    let route = route.ok_or_else(|| Error::new(Kind::UnknownRoute, call.route.clone()))?;
    let Target::Shards(set) = &route.target else {
        let detail = "the route does not target shards";
        return Err(Error::new(Kind::UnknownRoute, detail));
    };
    let services = relay_server::services_at(set, &call.positions)?;
    let workspace = relay_server::workspace_named(&table, call.workspace.as_deref())?;
    let regions = relay_server::regions_for(route, workspace.as_deref());
    Ok(relay_server::delays_ms(
        shared,
        &route.name,
        &services,
        &regions,
    ))
}
