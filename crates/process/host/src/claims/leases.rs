//! Leases in the platform's store that delete claims after their retention time.

use {
    crate::shared::Shared,
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    store::{Fault, LeaseId, LeaseProvider, Platform, StoreEra},
};

/// Time for which new claims are attached to the same lease.
///
/// The lease lives longer than the retention by this time.
const LEASE_SHARING_PERIOD: Duration = Duration::from_secs(600);

/// The current lease for each retention time.
#[derive(Default)]
pub(crate) struct SharedLeases(Mutex<HashMap<Duration, SharedLease>>);

#[derive(Clone, Copy)]
struct SharedLease {
    id: LeaseId,
    /// Era of the store in which the lease was granted. In a later one, the store may
    /// not have it, or has given its identifier to another.
    era: Option<StoreEra>,
    shared_until: Instant,
}

impl SharedLeases {
    fn current(&self, retention: Duration, era: Option<StoreEra>, now: Instant) -> Option<LeaseId> {
        let lease = self.0.lock().get(&retention).copied()?;
        (lease.shared_until > now && lease.era == era).then_some(lease.id)
    }
}

impl LeaseProvider for Shared {
    async fn lease(&self, retention: Duration) -> Result<LeaseId, Fault> {
        let now = Instant::now();
        let leases = &self.claims.leases;
        if let Some(id) = leases.current(retention, self.platform.eras().current(), now) {
            return Ok(id);
        }
        let id = self
            .platform
            .grant_lease(retention + LEASE_SHARING_PERIOD)
            .await?;
        let shared_until = now + LEASE_SHARING_PERIOD;
        let lease = SharedLease {
            id,
            era: self.platform.eras().current(),
            shared_until,
        };
        leases.0.lock().insert(retention, lease);
        Ok(id)
    }
}
