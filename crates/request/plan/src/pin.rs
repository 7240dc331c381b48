//! The index snapshot that a query is pinned to.
//!
//! A pin holds one index version together with its partition map, so that
//! coverage is always computed from the map that the query actually used.

use {
    record::{Index, IndexVersion, Service},
    std::sync::Arc,
};

/// One index version of a service, with its partition map.
#[derive(Clone, Debug)]
pub struct Pin {
    service: Arc<Service>,
    position: usize,
}

impl Pin {
    /// Pins the newest index of `service`.
    ///
    /// Returns `None` if the service has no index, which record validation rules out.
    pub fn newest(service: &Arc<Service>) -> Option<Self> {
        Self::newest_where(service, |_| true)
    }

    /// Pins the newest index of `service` whose version satisfies `is_wanted`.
    pub(crate) fn newest_where(
        service: &Arc<Service>,
        is_wanted: impl Fn(IndexVersion) -> bool,
    ) -> Option<Self> {
        let position = service
            .indexes
            .iter()
            .position(|index| is_wanted(index.version))?;
        Some(Self {
            service: Arc::clone(service),
            position,
        })
    }

    /// Returns the pinned index.
    pub fn index(&self) -> &Index {
        &self.service.indexes[self.position]
    }

    /// Returns the pinned version.
    pub fn version(&self) -> IndexVersion {
        self.index().version
    }

    /// Returns the service record that lists the index.
    pub(crate) fn service(&self) -> &Arc<Service> {
        &self.service
    }

    /// Returns the number of calls that the servers of the index can execute
    /// concurrently for one relay.
    pub(crate) fn capacity(&self) -> usize {
        let servers: usize = self.index().shards.iter().map(|s| s.servers.len()).sum();
        let relays = self.service.relays.unwrap_or(1).max(1) as usize;
        (servers * self.service.slots as usize / relays).max(1)
    }
}
