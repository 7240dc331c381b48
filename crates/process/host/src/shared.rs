//! State shared by all tasks of a host.

use {
    crate::{
        claims::Claims,
        config::RefusedHead,
        entry::RelaySelectors,
        members::Members,
        peer::Peers,
        relay::{canary::Canaries, gate::Gates, pool::Pools},
        relay_sets::RelaySets,
        Settings,
    },
    life::SharedLifecycle,
    link::ServerTable,
    meter::Metrics,
    plan::ServiceStates,
    record::InForce,
    std::sync::Arc,
    store::HttpPlatform,
    tokio::sync::watch,
};

/// State that all tasks of a host share for the life of the process.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) metrics: Metrics,
    pub(crate) platform: HttpPlatform,
    pub(crate) config: watch::Sender<Arc<InForce>>,
    pub(crate) refused_head: RefusedHead,
    pub(crate) claims: Claims,
    pub(crate) members: Members,
    pub(crate) relay_sets: RelaySets,
    pub(crate) relay_selectors: RelaySelectors,
    pub(crate) peers: Peers,
    pub(crate) pools: Pools,
    pub(crate) servers: ServerTable,
    pub(crate) canaries: Canaries,
    pub(crate) service_states: ServiceStates,
    pub(crate) gates: Gates,
    pub(crate) life: Arc<SharedLifecycle>,
}

impl Shared {
    /// Returns the configuration in force.
    ///
    /// A query reads it once and uses that snapshot to its end.
    pub(crate) fn in_force(&self) -> Arc<InForce> {
        Arc::clone(&self.config.borrow())
    }
}
