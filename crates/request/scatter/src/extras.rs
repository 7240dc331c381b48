//! The budget of calls beyond the first one of each request, by service.
//!
//! Every service bounds the extra calls of all hosts together: a share of
//! its requests, and a fixed number in any window. Each host spends a share
//! of its own first calls and its part of the fixed number, so the sum stays
//! below the bound without any agreement between hosts.

use {
    plan::Budget,
    routing::ServiceName,
    std::{collections::HashMap, time::Instant},
};

/// Part of the bound that is used. The rest covers hosts that are not known
/// yet and calls that the two sides count in different windows.
const USED_SHARE: f64 = 0.8;

/// Extra calls left from which on they are no concern: a hedge and a retry are
/// made good by the first calls of a few queries.
const AMPLE: f64 = 3.0;

/// What all hosts together may spend on a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Extra calls for each first call.
    pub ratio: f64,
    /// Further extra calls in any window.
    pub slack: f64,
}

/// Budgets of all services.
#[derive(Debug)]
pub struct Extras {
    allowance: Allowance,
    hosts: usize,
    budgets: HashMap<ServiceName, (Budget, Instant)>,
}

impl Extras {
    /// Creates the budgets of one among `hosts`.
    pub fn new(allowance: Allowance, hosts: usize) -> Self {
        Self {
            allowance,
            hosts: hosts.max(1),
            budgets: HashMap::new(),
        }
    }

    /// Takes what all hosts together may spend from now on.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        self.allowance = allowance;
        self.bound_budgets();
    }

    /// Takes the number of hosts that spend.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
        self.bound_budgets();
    }

    fn bound_budgets(&mut self) {
        let most = self.most();
        for (budget, _) in self.budgets.values_mut() {
            budget.set_max(most);
        }
    }

    /// Most tokens that a service saves up on this host.
    fn most(&self) -> f64 {
        (self.allowance.slack * USED_SHARE / self.hosts as f64).max(1.0)
    }

    fn budget(&mut self, service: &ServiceName, now: Instant) -> &mut Budget {
        let most = self.most();
        let known = self.budgets.entry(service.clone());
        let (budget, used_at) = known.or_insert_with(|| (Budget::new(most, most), now));
        *used_at = now;
        budget
    }

    /// Takes the first call of a request.
    pub fn on_first(&mut self, service: &ServiceName, now: Instant) {
        let ratio = self.allowance.ratio * USED_SHARE;
        self.budget(service, now).earn(1, ratio);
    }

    /// Spends one extra call, if there is any left.
    pub fn take(&mut self, service: &ServiceName, now: Instant) -> bool {
        self.budget(service, now).take()
    }

    /// Returns how well a failure can be made good: 1 if several extra calls are left, 0 if none is.
    pub fn reserve(&self, service: &ServiceName) -> f64 {
        (self.left(service) / AMPLE).min(1.0)
    }

    /// Returns the extra calls left.
    pub fn left(&self, service: &ServiceName) -> f64 {
        let known = self.budgets.get(service);
        known.map_or_else(|| self.most(), |(budget, _)| budget.tokens())
    }

    /// Forgets services that had no call since `before`.
    pub fn forget_unused(&mut self, before: Instant) {
        self.budgets.retain(|_, (_, used_at)| *used_at >= before);
    }
}
