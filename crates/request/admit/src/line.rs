//! The queries of one rank that wait, in turn by tenant.

use {
    crate::Ticket,
    record::TenantId,
    std::collections::{HashMap, VecDeque},
};

/// Queries of one rank, each tenant in the order of arrival, tenants in turn.
#[derive(Debug, Default)]
pub(crate) struct Line {
    tenants: HashMap<TenantId, VecDeque<Ticket>>,
    // Tenants that have queries waiting, each once, the next one first.
    turns: VecDeque<TenantId>,
    len: usize,
}

impl Line {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn push(&mut self, tenant: &TenantId, ticket: Ticket) {
        if let Some(tickets) = self.tenants.get_mut(tenant) {
            tickets.push_back(ticket);
        } else {
            self.tenants.insert(tenant.clone(), [ticket].into());
            self.turns.push_back(tenant.clone());
        }
        self.len += 1;
    }

    /// Takes the next query and moves its tenant to the end.
    pub(crate) fn pop(&mut self) -> Option<Ticket> {
        let tenant = self.turns.pop_front()?;
        let tickets = self.tenants.get_mut(&tenant)?;
        let ticket = tickets.pop_front()?;
        self.len -= 1;
        if tickets.is_empty() {
            self.tenants.remove(&tenant);
        } else {
            self.turns.push_back(tenant);
        }
        Some(ticket)
    }

    pub(crate) fn remove(&mut self, tenant: &TenantId, ticket: Ticket) {
        let Some(tickets) = self.tenants.get_mut(tenant) else {
            return;
        };
        let before = tickets.len();
        tickets.retain(|waiting| *waiting != ticket);
        self.len -= before - tickets.len();
        if tickets.is_empty() {
            self.tenants.remove(tenant);
            self.turns.retain(|waiting| waiting != tenant);
        }
    }

    /// Takes the newest query of the tenant with the most waiting, if that
    /// tenant has at least two more than `tenant`.
    pub(crate) fn displace_for(&mut self, tenant: &TenantId) -> Option<Ticket> {
        let own = self.tenants.get(tenant).map_or(0, VecDeque::len);
        let longest = self
            .turns
            .iter()
            .max_by_key(|other| self.tenants[*other].len())?;
        let tickets = self.tenants.get_mut(longest)?;
        if tickets.len() < own + 2 {
            return None;
        }
        self.len -= 1;
        tickets.pop_back()
    }
}
