//! A relay: its gate and its connections.

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
    door::{AsyncGate, Clock as _},
    link::{Evidence, Refusal, ServerTable},
    plan::ServiceState,
    rand::{rngs::StdRng, Rng, SeedableRng},
    record::{Hedge, ServerAddr},
    std::{cell::RefCell, rc::Rc, sync::Arc, time::Instant},
    tokio::sync::watch,
};

/// Window of a gate that lets every query through.
const NO_WINDOW: usize = 1_000_000;
/// Leaf calls that wait, in trials with queues at the leaves.
const MAX_LEAF_WAITING: usize = 100_000;
/// Calls beyond the limit of a server for urgent work and ranks that are due, as a share of it.
const LEAF_RESERVE_SHARE: f64 = 0.5;
/// Share of the connection limit that relays use, so that a replaced one finds room.
const CONNECTION_SHARE: f64 = 0.75;

/// What stands between a query and the connections.
pub(crate) enum LeafKind {
    Direct,
    Queued(Vec<Arc<AsyncGate<FixedWindow, Clock>>>, usize),
}

/// One relay of the service.
pub(crate) struct Relay {
    pub(crate) door: Arc<AsyncGate<AnyWindow, Clock>>,
    pub(crate) leaf: LeafKind,
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
        let leaf = match trial.gate_kind {
            GateKind::Query => LeafKind::Direct,
            GateKind::Leaf | GateKind::Both => {
                let calls = f64::from(service.slots) * trial.leaf_calls_per_slot;
                let stated = (calls / trial.relays as f64).ceil() as usize;
                LeafKind::Queued(leaf_doors(trial, stated, clock), stated)
            }
        };
        let connections = service.connection_limit as f64 * CONNECTION_SHARE;
        let limit = (connections / trial.relays as f64) as usize;
        let pool =
            |server: &Rc<Server>| Pool::new(Rc::clone(server), limit, service.connect, clock);
        Self {
            door: Arc::new(AsyncGate::new(Gate::new(config, window), clock)),
            leaf,
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

    /// Returns how many calls would wait for a turn at `server` with one more.
    pub(crate) fn queue_len_after_offer(&self, server: ServerAddr) -> usize {
        self.server_door(server)
            .map_or(0, |door| door.queue_len_after_offer())
    }

    /// Returns the door of a server with its limit as it is now.
    pub(crate) fn server_door(
        &self,
        server: ServerAddr,
    ) -> Option<&Arc<AsyncGate<FixedWindow, Clock>>> {
        let LeafKind::Queued(doors, stated) = &self.leaf else {
            return None;
        };
        let limit = self.servers.call_limit(server, *stated, self.clock.now());
        let door = &doors[position_of(server)];
        door.with_gate(|gate| gate.window_mut().set(limit));
        Some(door)
    }
}

/// One call under way; its end becomes evidence about its server.
pub(crate) struct CallGuard<'a> {
    relay: &'a Relay,
    server: ServerAddr,
    began: Instant,
    evidence: Option<Evidence>,
}

impl<'a> CallGuard<'a> {
    pub(crate) fn new(relay: &'a Relay, server: ServerAddr) -> Self {
        let began = relay.clock.now();
        relay.servers.on_begin(server, began);
        Self {
            relay,
            server,
            began,
            evidence: None,
        }
    }

    pub(crate) fn on_result(&mut self, result: Result<(), Shed>, sent: Instant) {
        let took = self.relay.clock.now().saturating_duration_since(sent);
        self.evidence = Some(match result {
            Ok(()) => Evidence::Replied(took),
            Err(Shed) => Evidence::Refused(Refusal::Shed),
        });
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        let now = self.relay.clock.now();
        let waited = now.saturating_duration_since(self.began);
        let evidence = self.evidence.unwrap_or(Evidence::Cancelled(waited));
        let jitter = self.relay.random.borrow_mut().random();
        self.relay
            .servers
            .on_end(self.server, evidence, jitter, now);
    }
}

fn leaf_doors(
    trial: &Trial,
    stated: usize,
    clock: Clock,
) -> Vec<Arc<AsyncGate<FixedWindow, Clock>>> {
    let service = &trial.service;
    let config = Config::default()
        .floor_share(trial.floor_share)
        .reserve_share(LEAF_RESERVE_SHARE)
        .max_waiting(MAX_LEAF_WAITING);
    (0..service.server_count())
        .map(|_| Gate::new(config, FixedWindow::new(stated)))
        .map(|gate| Arc::new(AsyncGate::new(gate, clock)))
        .collect()
}
