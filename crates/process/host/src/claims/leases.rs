//! Leases that remove claims after their retention.

use {
    crate::shared::Shared,
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    store::{Fault, LeaseId, LeaseProvider, Platform},
};

/// Time for which claims share one lease.
const LEASE_SHARING: Duration = Duration::from_secs(600);

/// Leases by the retention that they outlive.
#[derive(Default)]
pub(crate) struct SharedLeases(Mutex<HashMap<Duration, SharedLease>>);

#[derive(Clone, Copy)]
struct SharedLease {
    id: LeaseId,
    until: Instant,
}

impl SharedLeases {
    fn held(&self, retention: Duration, now: Instant) -> Option<LeaseId> {
        let lease = self.0.lock().get(&retention).copied()?;
        (lease.until > now).then_some(lease.id)
    }
}

impl LeaseProvider for Shared {
    async fn lease(&self, retention: Duration) -> Result<LeaseId, Fault> {
        let now = Instant::now();
        let leases = &self.claims.leases;
        if let Some(id) = leases.held(retention, now) {
            return Ok(id);
        }
        let id = self.platform.grant_lease(retention + LEASE_SHARING).await?;
        let until = now + LEASE_SHARING;
        leases.0.lock().insert(retention, SharedLease { id, until });
        Ok(id)
    }
}
