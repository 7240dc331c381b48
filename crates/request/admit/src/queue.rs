//! The waiting queries of one rank, served round-robin by tenant.

use {
    crate::Ticket,
    record::TenantId,
    std::collections::{HashMap, VecDeque},
};

/// A fair queue: first in, first out within a tenant, round-robin between tenants.
#[derive(Debug, Default)]
pub(crate) struct RankQueue {
    tenants: HashMap<TenantId, VecDeque<Ticket>>,
    // Each tenant with waiting queries once, in the order in which they are served.
    round_robin: VecDeque<TenantId>,
    len: usize,
}

impl RankQueue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn push(&mut self, tenant: &TenantId, ticket: Ticket) {
        if let Some(tickets) = self.tenants.get_mut(tenant) {
            tickets.push_back(ticket);
        } else {
            self.tenants.insert(tenant.clone(), [ticket].into());
            self.round_robin.push_back(tenant.clone());
        }
        self.len += 1;
    }

    /// Removes the next query and moves its tenant to the end of the rotation.
    pub(crate) fn pop(&mut self) -> Option<Ticket> {
        let tenant = self.round_robin.pop_front()?;
        let tickets = self.tenants.get_mut(&tenant)?;
        let ticket = tickets.pop_front()?;
        self.len -= 1;
        if tickets.is_empty() {
            self.tenants.remove(&tenant);
        } else {
            self.round_robin.push_back(tenant);
        }
        Some(ticket)
    }

    pub(crate) fn remove(&mut self, tenant: &TenantId, ticket: Ticket) {
        let Some(tickets) = self.tenants.get_mut(tenant) else {
            return;
        };
        let len_before = tickets.len();
        tickets.retain(|other| *other != ticket);
        self.len -= len_before - tickets.len();
        if tickets.is_empty() {
            self.tenants.remove(tenant);
            self.round_robin.retain(|other| other != tenant);
        }
    }

    /// Removes the newest query of the tenant with the most waiting queries, if
    /// that tenant has at least two more than `tenant`.
    pub(crate) fn evict_for(&mut self, tenant: &TenantId) -> Option<Ticket> {
        let own_len = self.tenants.get(tenant).map_or(0, VecDeque::len);
        let longest = self
            .round_robin
            .iter()
            .max_by_key(|other| self.tenants[*other].len())?;
        let tickets = self.tenants.get_mut(longest)?;
        if tickets.len() < own_len + 2 {
            return None;
        }
        self.len -= 1;
        tickets.pop_back()
    }
}
