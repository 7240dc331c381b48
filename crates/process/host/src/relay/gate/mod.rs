//! The gates of this relay, one for each service, each under its own lock.
//!
//! A query waits here before any upstream is touched. Once it is admitted, its
//! leaf calls take turns at each server, in the order of their ranks: a server
//! serves what it has in the order of arrival, so it gets no more than keeps
//! its slots busy. Whatever ends a query gives its place back, the caller's
//! going away included.

mod in_turn;
mod tally;

pub(crate) use self::{in_turn::InTurn, tally::Tally};

use {
    crate::shared::Shared,
    admit::{AimdWindow, Bounds, Config, FixedWindow, Gate},
    door::{AdmissionRequest, AsyncGate, Permit, SystemClock},
    fleet::QueryCall,
    kind::{Error, Ran, Result},
    link::ServerTable,
    parking_lot::{Mutex, RwLock},
    plan::{LeafFailure, Reason},
    record::{ByRank, InForce, Rank, Revision, ServerAddr, Service},
    std::{collections::HashMap, sync::Arc, time::Instant},
};

/// Calls that all relays together keep at a server, over its slots. One would
/// leave slots idle for as long as a call is on its way.
const CALLS_PER_SLOT: usize = 2;

/// Calls beyond the limit of a server for urgent work and ranks that are due, as a share of it.
const CALL_RESERVE_SHARE: f64 = 0.5;

/// The gates of all services.
#[derive(Default)]
pub(crate) struct Gates(RwLock<HashMap<String, Arc<ServiceGate>>>);

struct ServiceGate {
    door: Arc<AsyncGate<AimdWindow, SystemClock>>,
    built_for: Mutex<BuiltFor>,
    servers: Mutex<HashMap<ServerAddr, Arc<AsyncGate<FixedWindow, SystemClock>>>>,
}

/// What floors, bounds and limits were computed for.
#[derive(Clone, Copy, Debug, PartialEq)]
struct BuiltFor {
    revision: Revision,
    relays: usize,
    floor_share: ByRank<f64>,
    calls_per_server: usize,
}

/// A query that the gate has admitted; its place is given back when dropped.
pub(crate) struct Admitted {
    gate: Arc<ServiceGate>,
    passer: AdmissionRequest,
    place: Permit<AimdWindow, SystemClock>,
}

/// A turn at a server, given back when dropped.
pub(crate) type Turn = Permit<FixedWindow, SystemClock>;

/// Waits until the gate of `service` admits a query.
///
/// # Errors
///
/// Returns [`kind::Kind::Overloaded`] or [`kind::Kind::TooLate`]; the query has not run.
pub(crate) async fn admit(
    shared: &Shared,
    service: &Service,
    call: &QueryCall,
    deadline: Instant,
) -> Result<Admitted> {
    let began = Instant::now();
    let gate = shared.gates.get(shared, service);
    let passer = AdmissionRequest {
        rank: call.rank,
        tenant: call.tenant.clone(),
        deadline,
    };
    let passed = gate.door.acquire(&passer).await;
    let window = gate.door.with_gate(|gate| gate.window());
    shared.metrics.on_gate_window(&service.name, window);
    match passed {
        Ok(place) => {
            let wait = began.elapsed();
            shared.metrics.on_gate_admit(&service.name, call.rank, wait);
            Ok(Admitted {
                gate,
                passer,
                place,
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
    /// Ends the query with what its leaf calls showed.
    pub(crate) fn complete(self, tally: Tally) {
        self.place.complete(&tally.into_leaf_stats());
    }

    /// Waits until `server` has room for a call of this query.
    ///
    /// # Errors
    ///
    /// Returns a failure once the deadline has passed; the call was not made.
    pub(crate) async fn turn(
        &self,
        server: ServerAddr,
        servers: &ServerTable,
    ) -> Result<Turn, LeafFailure> {
        let door = self.gate.server(server, servers, Instant::now());
        let passed = door.acquire(&self.passer).await;
        passed.map_err(|_| LeafFailure {
            reason: Reason::Deadline,
            ran: Ran::No,
            newest_version: None,
        })
    }

    /// Returns how many calls would wait for a turn at `server` with one more.
    fn queue_len_after_offer(
        &self,
        server: ServerAddr,
        servers: &ServerTable,
        now: Instant,
    ) -> usize {
        self.gate
            .server(server, servers, now)
            .queue_len_after_offer()
    }
}

impl Gates {
    fn get(&self, shared: &Shared, service: &Service) -> Arc<ServiceGate> {
        let in_force = shared.in_force();
        let relays = shared.relay_sets.of(shared, service).relays.len().max(1);
        let found = self.0.read().get(&service.name).cloned();
        let gate = found.unwrap_or_else(|| {
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
        let built_for = BuiltFor::new(in_force, service, relays);
        let config = Config::default().floor_share(built_for.floor_share);
        let window = AimdWindow::new(bounds(service, relays));
        Self {
            door: Arc::new(AsyncGate::new(Gate::new(config, window), SystemClock)),
            built_for: Mutex::new(built_for),
            servers: Mutex::default(),
        }
    }

    /// Follows changes of the records and of the number of relays.
    fn refresh(&self, in_force: &InForce, service: &Service, relays: usize) {
        let mut built_for = self.built_for.lock();
        if built_for.revision == in_force.revision() && built_for.relays == relays {
            return;
        }
        *built_for = BuiltFor::new(in_force, service, relays);
        self.door.with_gate(|gate| {
            gate.set_floor_share(built_for.floor_share);
            gate.set_bounds(bounds(service, relays));
        });
        // Calls in flight keep the old doors; the next ones get new ones.
        self.servers.lock().clear();
    }

    /// Returns the door of a server, with the limit that the server bears by now.
    fn server(
        &self,
        addr: ServerAddr,
        table: &ServerTable,
        now: Instant,
    ) -> Arc<AsyncGate<FixedWindow, SystemClock>> {
        let built_for = *self.built_for.lock();
        let limit = table.call_limit(addr, built_for.calls_per_server, now);
        let mut servers = self.servers.lock();
        let door = servers.entry(addr).or_insert_with(|| {
            // The window of the service bounds what waits here.
            let config = Config::default()
                .floor_share(built_for.floor_share)
                .reserve_share(CALL_RESERVE_SHARE)
                .max_waiting(usize::MAX);
            Arc::new(AsyncGate::new(
                Gate::new(config, FixedWindow::new(limit)),
                SystemClock,
            ))
        });
        let door = Arc::clone(door);
        drop(servers);
        door.with_gate(|gate| gate.window_mut().set(limit));
        door
    }
}

impl BuiltFor {
    fn new(in_force: &InForce, service: &Service, relays: usize) -> Self {
        let calls = service.slots as usize * CALLS_PER_SLOT;
        Self {
            revision: in_force.revision(),
            relays,
            floor_share: floors(in_force, service),
            calls_per_server: calls.div_ceil(relays.max(1)),
        }
    }
}

/// Returns the bounds of the window from the slots of the scarcest shard.
fn bounds(service: &Service, relays: usize) -> Bounds {
    let shards = service
        .indexes
        .first()
        .map_or(&[][..], |index| &index.shards);
    let servers = shards.iter().map(|shard| shard.servers.len()).min();
    let servers = u32::try_from(servers.unwrap_or(1)).unwrap_or(u32::MAX);
    let slots = servers.saturating_mul(service.slots);
    Bounds::for_slots(slots, shards.len(), relays)
}

/// Returns the floors of a service: for each rank the largest of its routes,
/// scaled down where they exceed the whole.
fn floors(in_force: &InForce, service: &Service) -> ByRank<f64> {
    let routes = || in_force.routes().filter(|r| r.service == service.name);
    let largest = |rank: Rank| {
        let shares = routes().map(|route| *route.floor_share.get(rank));
        shares.fold(0.0, f64::max)
    };
    let total: f64 = Rank::ALL.into_iter().map(largest).sum();
    ByRank::from_fn(|rank| largest(rank) / total.max(1.0))
}
