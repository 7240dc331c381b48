//! What the parts of a host share for the life of the process.

use {
    crate::{
        life::LifeWatch,
        members::Members,
        peer::Peers,
        relay::{gate::Gates, pool::Pools},
        Settings,
    },
    meter::Metrics,
    plan::Groups,
    record::InForce,
    std::sync::Arc,
    store::HttpPlatform,
    tokio::sync::watch,
};

/// State of a host that lives as long as its process.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) metrics: Metrics,
    pub(crate) platform: HttpPlatform,
    pub(crate) config: watch::Sender<Arc<InForce>>,
    pub(crate) members: Members,
    pub(crate) peers: Peers,
    pub(crate) pools: Pools,
    pub(crate) groups: Groups,
    pub(crate) gates: Gates,
    pub(crate) life: Arc<LifeWatch>,
}

impl Shared {
    /// Returns the configuration in force; a query takes it once and keeps it.
    pub(crate) fn in_force(&self) -> Arc<InForce> {
        Arc::clone(&self.config.borrow())
    }
}
