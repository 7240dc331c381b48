//! Configuration of a trial.

use {
    crate::{
        controller::{Controller, GateKind},
        load::{by_rank, Load},
        run, Report, Service,
    },
    record::{ByRank, Hedge},
    std::time::Duration,
};

/// Number of hosts in each current deployment.
const HOSTS: usize = 8;

/// A trial; equal settings give equal reports.
#[derive(Clone, Debug)]
pub struct Trial {
    pub(crate) service: Service,
    pub(crate) load: Load,
    pub(crate) hosts: usize,
    pub(crate) relays: usize,
    pub(crate) controller: Controller,
    pub(crate) gate_kind: GateKind,
    pub(crate) leaf_calls_per_slot: f64,
    pub(crate) floor_share: ByRank<f64>,
    pub(crate) hedge: Hedge,
    pub(crate) warm_up: Duration,
    pub(crate) duration: Duration,
    pub(crate) relay_loss: Option<RelayLoss>,
    pub(crate) seed: u64,
}

/// Times of the loss of a relay and of its replacement, from the start of the arrivals.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayLoss {
    pub(crate) lost_at: Duration,
    pub(crate) replaced_at: Duration,
}

impl Trial {
    /// Creates a trial with the default settings of a host.
    pub fn new(service: Service, load: Load) -> Self {
        Self {
            service,
            load,
            hosts: HOSTS,
            relays: 2,
            controller: Controller::Delay,
            gate_kind: GateKind::Both,
            leaf_calls_per_slot: 2.0,
            floor_share: Self::tallapoosa_floors(),
            hedge: Hedge {
                quantile: 0.95,
                budget_share: 0.05,
            },
            warm_up: Duration::from_secs(1),
            duration: Duration::from_secs(10),
            relay_loss: None,
            seed: 1,
        }
    }

    /// Returns the floors of Tallapoosa, which favour urgent work.
    pub fn tallapoosa_floors() -> ByRank<f64> {
        by_rank(0.5, 0.1, 0.05)
    }

    /// Returns the floors of the Landesamt, which reserve more for background work.
    pub fn landesamt_floors() -> ByRank<f64> {
        by_rank(0.3, 0.2, 0.3)
    }

    /// Sets how many of the hosts are relays.
    pub fn relays(mut self, relays: usize) -> Self {
        self.relays = relays.clamp(1, self.hosts);
        self
    }

    /// Sets the algorithm of the window.
    pub fn controller(mut self, controller: Controller) -> Self {
        self.controller = controller;
        self
    }

    /// Sets where queries and their calls wait for admission.
    pub fn gate_kind(mut self, gate_kind: GateKind) -> Self {
        self.gate_kind = gate_kind;
        self
    }

    /// Sets the number of concurrent calls of all relays to a server, per slot of the server.
    pub fn leaf_calls_per_slot(mut self, leaf_calls_per_slot: f64) -> Self {
        self.leaf_calls_per_slot = leaf_calls_per_slot;
        self
    }

    /// Sets the floor of each rank, as a share of the capacity.
    pub fn floor_share(mut self, floor_share: ByRank<f64>) -> Self {
        self.floor_share = floor_share;
        self
    }

    /// Disables hedged calls.
    pub fn without_hedges(mut self) -> Self {
        self.hedge.quantile = 0.0;
        self
    }

    /// Sets the measured time, which follows the warm-up.
    pub fn duration(mut self, duration: Duration) -> Self {
        self.duration = duration;
        self
    }

    /// Loses one relay a quarter into the measured time and replaces it at half.
    pub fn with_relay_loss(mut self) -> Self {
        self.relay_loss = Some(RelayLoss {
            lost_at: self.warm_up + self.duration / 4,
            replaced_at: self.warm_up + self.duration / 2,
        });
        self
    }

    /// Sets the seed of the random numbers.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Runs the trial.
    ///
    /// # Panics
    ///
    /// Panics if no runtime can be built.
    pub fn run(&self) -> Report {
        run::run(self)
    }
}
