//! The snapshot that a query is pinned to.
//!
//! A pin holds one index version together with the partition map of that
//! version, so that coverage is always counted against the map that the
//! answer was made from.

use {
    record::{Index, IndexVersion, Service},
    std::sync::Arc,
};

/// One index version of a service with its partition map.
#[derive(Clone, Debug)]
pub struct Pin {
    service: Arc<Service>,
    position: usize,
}

impl Pin {
    /// Pins the newest index of `service`.
    ///
    /// Returns `None` if the service has no index, which a checked record never shows.
    pub fn newest(service: &Arc<Service>) -> Option<Self> {
        (!service.indexes.is_empty()).then(|| Self {
            service: Arc::clone(service),
            position: 0,
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
}
