//! Admission control of the relay, with one gate for each service.
//!
//! A query waits here before it calls any upstream. Once it is admitted, each of
//! its leaf calls needs a permit for its server, and permits are granted in the
//! order of rank. A server processes its calls in the order of arrival, so it is
//! sent only as many as keep its slots busy; the others queue here by rank. A
//! query releases its permit however it ends, also when the caller disconnects.

mod tally;
mod upstream_view;

pub(crate) use self::{tally::Tally, upstream_view::UpstreamView};

use {
    crate::shared::Shared,
    admit::{AimdWindow, Bounds, Config, FixedWindow, Gate},
    async_gate::{AdmissionRequest, AsyncGate, Permit, SystemClock},
    fleet::QueryCall,
    kind::{Error, Ran, Result},
    link::ServerTable,
    parking_lot::{Mutex, RwLock},
    plan::{LeafFailure, Reason},
    record::{ByRank, InForce, Rank, Revision, ServerAddr, Service},
    std::{collections::HashMap, sync::Arc, time::Instant},
};

/// Calls in flight to a server for each of its slots, over all relays. With one
/// call for each slot, a slot would be idle while the next call is in transit.
const CALLS_PER_SLOT: usize = 2;

/// Additional calls for urgent work and ranks that are due, as a share of a server's limit.
const RESERVED_CALL_SHARE: f64 = 0.5;

/// The gates of all services.
#[derive(Default)]
pub(crate) struct Gates(RwLock<HashMap<String, Arc<ServiceGate>>>);

struct ServiceGate {
    async_gate: Arc<AsyncGate<AimdWindow, SystemClock>>,
    parameters: Mutex<GateParameters>,
    servers: Mutex<HashMap<ServerAddr, Arc<AsyncGate<FixedWindow, SystemClock>>>>,
}

/// The inputs and results of the last computation of floors, bounds and limits.
#[derive(Clone, Copy, Debug, PartialEq)]
struct GateParameters {
    revision: Revision,
    relays: usize,
    floor_share: ByRank<f64>,
    calls_per_server: usize,
}

/// An admitted query. Its permit is released when dropped.
pub(crate) struct Admitted {
    gate: Arc<ServiceGate>,
    request: AdmissionRequest,
    permit: Permit<AimdWindow, SystemClock>,
}

/// Permission for one call to a server, released when dropped.
pub(crate) type CallPermit = Permit<FixedWindow, SystemClock>;

/// Waits until the gate of `service` admits a query.
///
/// # Errors
///
/// Returns [`kind::Kind::Overloaded`] or [`kind::Kind::TooLate`]. In both cases
/// the query did not run.
pub(crate) async fn admit(
    shared: &Shared,
    service: &Service,
    call: &QueryCall,
    deadline: Instant,
) -> Result<Admitted> {
    let started_at = Instant::now();
    let gate = shared.gates.get(shared, service);
    let request = AdmissionRequest {
        rank: call.rank,
        tenant: call.tenant.clone(),
        deadline,
    };
    let admission = gate.async_gate.acquire(&request).await;
    let window = gate.async_gate.with_gate(|gate| gate.window());
    shared.metrics.on_gate_window(&service.name, window);
    match admission {
        Ok(permit) => {
            let wait = started_at.elapsed();
            shared.metrics.on_gate_admit(&service.name, call.rank, wait);
            Ok(Admitted {
                gate,
                request,
                permit,
            })
        }
        Err(refusal) => {
            let error = Error::from(refusal);
            let kind = error.kind().answer().name;
            shared
                .metrics
                .on_gate_refusal(&service.name, call.rank, kind);
            Err(error)
        }
    }
}

impl Admitted {
    /// Ends the query and reports the statistics of its leaf calls to the gate.
    pub(crate) fn complete(self, tally: Tally) {
        self.permit.complete(&tally.into_leaf_stats());
    }

    /// Waits for a permit for a call of this query to `server`.
    ///
    /// # Errors
    ///
    /// Returns a failure if the deadline passes first. In this case no call was made.
    pub(crate) async fn acquire_permit(
        &self,
        server: ServerAddr,
        servers: &ServerTable,
    ) -> Result<CallPermit, LeafFailure> {
        let async_gate = self.gate.server_gate(server, servers, Instant::now());
        let admission = async_gate.acquire(&self.request).await;
        admission.map_err(|_| LeafFailure {
            reason: Reason::Deadline,
            ran: Ran::No,
            newest_version: None,
        })
    }

    /// Returns how many calls would wait for a permit for `server` if one more were added.
    fn queue_length(&self, server: ServerAddr, servers: &ServerTable, now: Instant) -> usize {
        self.gate
            .server_gate(server, servers, now)
            .queue_len_after_offer()
    }
}

impl Gates {
    fn get(&self, shared: &Shared, service: &Service) -> Arc<ServiceGate> {
        let in_force = shared.in_force();
        let relays = shared.relay_sets.get(shared, service).relays.len().max(1);
        let existing = self.0.read().get(&service.name).cloned();
        let gate = existing.unwrap_or_else(|| {
            let mut gates = self.0.write();
            let gate = gates
                .entry(service.name.clone())
                .or_insert_with(|| Arc::new(ServiceGate::new(&in_force, service, relays)));
            Arc::clone(gate)
        });
        gate.refresh(&in_force, service, relays);
        gate
    }
}

impl ServiceGate {
    fn new(in_force: &InForce, service: &Service, relays: usize) -> Self {
        let parameters = GateParameters::new(in_force, service, relays);
        let config = Config::default().floor_share(parameters.floor_share);
        let window = AimdWindow::new(window_bounds(service, relays));
        Self {
            async_gate: Arc::new(AsyncGate::new(Gate::new(config, window), SystemClock)),
            parameters: Mutex::new(parameters),
            servers: Mutex::default(),
        }
    }

    /// Recomputes floors, bounds and limits if the records or the number of relays have changed.
    fn refresh(&self, in_force: &InForce, service: &Service, relays: usize) {
        let mut parameters = self.parameters.lock();
        if parameters.revision == in_force.revision() && parameters.relays == relays {
            return;
        }
        *parameters = GateParameters::new(in_force, service, relays);
        self.async_gate.with_gate(|gate| {
            gate.set_floor_share(parameters.floor_share);
            gate.set_bounds(window_bounds(service, relays));
        });
        // Calls in flight keep their old gates, later calls use new ones.
        self.servers.lock().clear();
    }

    /// Returns the gate of a server, after updating it to the server's current call limit.
    fn server_gate(
        &self,
        addr: ServerAddr,
        table: &ServerTable,
        now: Instant,
    ) -> Arc<AsyncGate<FixedWindow, SystemClock>> {
        let parameters = *self.parameters.lock();
        let limit = table.call_limit(addr, parameters.calls_per_server, now);
        let mut servers = self.servers.lock();
        let async_gate = servers.entry(addr).or_insert_with(|| {
            // The number of waiting calls is bounded by the window of the service.
            let config = Config::default()
                .floor_share(parameters.floor_share)
                .reserve_share(RESERVED_CALL_SHARE)
                .max_waiting(usize::MAX);
            Arc::new(AsyncGate::new(
                Gate::new(config, FixedWindow::new(limit)),
                SystemClock,
            ))
        });
        let async_gate = Arc::clone(async_gate);
        drop(servers);
        async_gate.with_gate(|gate| gate.window_mut().set(limit));
        async_gate
    }
}

impl GateParameters {
    fn new(in_force: &InForce, service: &Service, relays: usize) -> Self {
        let calls = service.slots as usize * CALLS_PER_SLOT;
        Self {
            revision: in_force.revision(),
            relays,
            floor_share: rank_floors(in_force, service),
            calls_per_server: calls.div_ceil(relays.max(1)),
        }
    }
}

/// Returns the bounds of the window, from the slots of the shard with the fewest servers.
fn window_bounds(service: &Service, relays: usize) -> Bounds {
    let shards = service
        .indexes
        .first()
        .map_or(&[][..], |index| &index.shards);
    let servers = shards.iter().map(|shard| shard.servers.len()).min();
    let servers = u32::try_from(servers.unwrap_or(1)).unwrap_or(u32::MAX);
    let slots = servers.saturating_mul(service.slots);
    Bounds::for_slots(slots, shards.len(), relays)
}

/// Returns the guaranteed share of each rank of a service.
///
/// It is the largest floor among the service's routes. If the sum over all
/// ranks exceeds 1, the shares are scaled down.
fn rank_floors(in_force: &InForce, service: &Service) -> ByRank<f64> {
    let routes = || {
        in_force
            .routes()
            .filter(|route| route.service == service.name)
    };
    let largest = |rank: Rank| {
        let shares = routes().map(|route| *route.floor_share.get(rank));
        shares.fold(0.0, f64::max)
    };
    let total: f64 = Rank::ALL.into_iter().map(largest).sum();
    ByRank::from_fn(|rank| largest(rank) / total.max(1.0))
}
