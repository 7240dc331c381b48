//! A relay: its gate, its server table and its connections.

use {
    crate::{
        clock::Clock,
        controller::{AnyWindow, GateKind},
        pool::Pool,
        server::{Server, Shed},
        service::position_of,
        trial::Trial,
    },
    admit::{Config, FixedWindow, Gate},
    async_gate::{AsyncGate, Clock as _},
    link::{Evidence, Refusal, ServerTable},
    plan::ServiceState,
    rand::{rngs::StdRng, Rng, SeedableRng},
    record::{Hedge, ServerAddr},
    std::{cell::RefCell, rc::Rc, sync::Arc, time::Instant},
    tokio::sync::watch,
};

/// Window that admits every query.
const NO_WINDOW: usize = 1_000_000;
/// Maximum number of leaf calls that wait per server.
const MAX_LEAF_WAITING: usize = 100_000;
/// Extra calls for urgent work and ranks that are due by their floor, as a share of the limit of
/// a server.
const LEAF_RESERVE_SHARE: f64 = 0.5;
/// Share of a server's connection limit that relays use, so that a replacement
/// relay can connect.
const CONNECTION_SHARE: f64 = 0.75;

/// Admission of leaf calls to the connections of a server.
pub(crate) enum LeafAdmission {
    /// Calls are sent at once.
    Direct,
    /// Calls are admitted by the gate of their server; the second field is its limit by the configuration.
    Queued(Vec<Arc<AsyncGate<FixedWindow, Clock>>>, usize),
}

/// One relay of the service.
pub(crate) struct Relay {
    pub(crate) gate: Arc<AsyncGate<AnyWindow, Clock>>,
    pub(crate) leaf_admission: LeafAdmission,
    pub(crate) pools: Vec<Pool>,
    pub(crate) servers: ServerTable,
    pub(crate) random: RefCell<StdRng>,
    pub(crate) service: Arc<record::Service>,
    pub(crate) hedge: Hedge,
    pub(crate) group: Arc<ServiceState>,
    pub(crate) clock: Clock,
    pub(crate) is_lost: watch::Sender<bool>,
}

impl Relay {
    pub(crate) fn new(trial: &Trial, servers: &[Rc<Server>], seed: u64, clock: Clock) -> Self {
        let service = &trial.service;
        let config = Config::default().floor_share(trial.floor_share);
        let controller = trial.controller;
        let window = match trial.gate_kind {
            GateKind::Query | GateKind::Both => controller.window(service, trial.relays),
            GateKind::Leaf => AnyWindow::Fixed(FixedWindow::new(NO_WINDOW)),
        };
        let leaf_admission = match trial.gate_kind {
            GateKind::Query => LeafAdmission::Direct,
            GateKind::Leaf | GateKind::Both => {
                let calls = f64::from(service.slots) * trial.leaf_calls_per_slot;
                let configured_limit = (calls / trial.relays as f64).ceil() as usize;
                LeafAdmission::Queued(leaf_gates(trial, configured_limit, clock), configured_limit)
            }
        };
        let connections = service.connection_limit as f64 * CONNECTION_SHARE;
        let connection_limit = (connections / trial.relays as f64) as usize;
        let pool = |server: &Rc<Server>| {
            Pool::new(
                Rc::clone(server),
                connection_limit,
                service.connect_time,
                clock,
            )
        };
        Self {
            gate: Arc::new(AsyncGate::new(Gate::new(config, window), clock)),
            leaf_admission,
            pools: servers.iter().map(pool).collect(),
            servers: ServerTable::default(),
            random: RefCell::new(StdRng::seed_from_u64(seed)),
            service: Arc::new(service.record()),
            hedge: trial.hedge,
            group: Arc::default(),
            clock,
            is_lost: watch::Sender::new(false),
        }
    }

    /// Returns how many calls would wait for `server` if one more were made.
    pub(crate) fn queue_len_after_offer(&self, server: ServerAddr) -> usize {
        self.call_gate(server)
            .map_or(0, |gate| gate.queue_len_after_offer())
    }

    /// Returns the gate of a server, updated to its current call limit.
    pub(crate) fn call_gate(
        &self,
        server: ServerAddr,
    ) -> Option<&Arc<AsyncGate<FixedWindow, Clock>>> {
        let LeafAdmission::Queued(gates, configured_limit) = &self.leaf_admission else {
            return None;
        };
        let limit = self
            .servers
            .call_limit(server, *configured_limit, self.clock.now());
        let gate = &gates[position_of(server)];
        gate.with_gate(|gate| gate.window_mut().set(limit));
        Some(gate)
    }
}

/// A running call, which reports its result to the server table on drop.
pub(crate) struct CallGuard<'a> {
    relay: &'a Relay,
    server: ServerAddr,
    started_at: Instant,
    evidence: Option<Evidence>,
}

impl<'a> CallGuard<'a> {
    pub(crate) fn new(relay: &'a Relay, server: ServerAddr) -> Self {
        let started_at = relay.clock.now();
        relay.servers.on_begin(server, started_at);
        Self {
            relay,
            server,
            started_at,
            evidence: None,
        }
    }

    pub(crate) fn on_result(&mut self, result: Result<(), Shed>, sent_at: Instant) {
        let elapsed = self.relay.clock.now().saturating_duration_since(sent_at);
        self.evidence = Some(match result {
            Ok(()) => Evidence::Replied(elapsed),
            Err(Shed) => Evidence::Refused(Refusal::Shed),
        });
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        let now = self.relay.clock.now();
        let elapsed = now.saturating_duration_since(self.started_at);
        let evidence = self.evidence.unwrap_or(Evidence::Cancelled(elapsed));
        let jitter = self.relay.random.borrow_mut().random();
        self.relay
            .servers
            .on_end(self.server, evidence, jitter, now);
    }
}

fn leaf_gates(
    trial: &Trial,
    configured_limit: usize,
    clock: Clock,
) -> Vec<Arc<AsyncGate<FixedWindow, Clock>>> {
    let service = &trial.service;
    let config = Config::default()
        .floor_share(trial.floor_share)
        .reserve_share(LEAF_RESERVE_SHARE)
        .max_waiting(MAX_LEAF_WAITING);
    (0..service.server_count())
        .map(|_| Gate::new(config, FixedWindow::new(configured_limit)))
        .map(|gate| Arc::new(AsyncGate::new(gate, clock)))
        .collect()
}
