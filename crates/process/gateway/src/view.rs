//! The servers as one request sees them.

use {
    crate::{shared::Shared, Adapter},
    replica::ReplicaKey,
    routing::ServiceName,
    scatter::{Candidate, Replicas},
    std::time::Instant,
};

/// The servers as a request of one route sees them.
pub(crate) struct View<'a, A: Adapter> {
    pub(crate) shared: &'a Shared<A>,
    pub(crate) typical_ms: f64,
}

impl<A: Adapter> Replicas for View<'_, A> {
    type Key = ReplicaKey;

    fn pick(
        &mut self,
        service: &ServiceName,
        tried: &[ReplicaKey],
        now: Instant,
    ) -> Option<Candidate<ReplicaKey>> {
        let replicas = self.shared.replicas.borrow();
        let pick = replicas.pick(service, tried, self.typical_ms, now)?;
        Some(Candidate {
            server: pick.key,
            expected: pick.expected,
            is_free: pick.is_free,
        })
    }

    fn take_extra(&mut self, service: &ServiceName, now: Instant) -> bool {
        self.shared.extras.borrow_mut().take(service, now)
    }
}
