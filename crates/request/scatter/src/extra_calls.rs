//! Budgets for extra calls, which are hedges and retries, by service.
//!
//! Every service limits the extra calls of all hosts together to a share of
//! its first calls plus a fixed number per time window. Each host limits
//! itself to that share of its own first calls plus its part of the fixed
//! number, so the total stays below the limit without coordination.

use {
    plan::Budget,
    routing::ServiceName,
    std::{collections::HashMap, time::Instant},
};

/// Share of the limit that hosts use. The rest covers hosts that are not known
/// yet and calls that senders and receivers count in different windows.
const USABLE_SHARE: f64 = 0.8;

/// Number of remaining extra calls that counts as a full reserve. The first
/// calls of a few queries earn back a hedge and a retry.
const FULL_RESERVE: f64 = 3.0;

/// Limit on the extra calls of all hosts together to a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Extra calls per first call.
    pub ratio: f64,
    /// Additional extra calls in any time window.
    pub slack: f64,
}

/// Extra-call budgets of one host, by service.
#[derive(Debug)]
pub struct ExtraCallBudgets {
    allowance: Allowance,
    hosts: usize,
    budgets: HashMap<ServiceName, (Budget, Instant)>,
}

impl ExtraCallBudgets {
    /// Creates the budgets of one of `hosts` hosts.
    pub fn new(allowance: Allowance, hosts: usize) -> Self {
        Self {
            allowance,
            hosts: hosts.max(1),
            budgets: HashMap::new(),
        }
    }

    /// Sets the limit for all hosts together.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        self.allowance = allowance;
        self.cap_budgets();
    }

    /// Sets the number of hosts that share the limit.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
        self.cap_budgets();
    }

    fn cap_budgets(&mut self) {
        let max_tokens = self.max_tokens();
        for (budget, _) in self.budgets.values_mut() {
            budget.set_max(max_tokens);
        }
    }

    /// Returns the maximum number of tokens that a service accumulates on this host.
    fn max_tokens(&self) -> f64 {
        (self.allowance.slack * USABLE_SHARE / self.hosts as f64).max(1.0)
    }

    fn budget(&mut self, service: &ServiceName, now: Instant) -> &mut Budget {
        let max_tokens = self.max_tokens();
        let entry = self.budgets.entry(service.clone());
        let (budget, used_at) = entry.or_insert_with(|| (Budget::new(max_tokens, max_tokens), now));
        *used_at = now;
        budget
    }

    /// Records the first call of a part, which earns a share of an extra call.
    pub fn on_first_call(&mut self, service: &ServiceName, now: Instant) {
        let ratio = self.allowance.ratio * USABLE_SHARE;
        self.budget(service, now).earn(1, ratio);
    }

    /// Takes one extra call; returns `false` if none is left.
    pub fn take(&mut self, service: &ServiceName, now: Instant) -> bool {
        self.budget(service, now).take()
    }

    /// Returns how well the budget can absorb a failed call: from 0 if no extra call is left
    /// to 1 if several are.
    pub fn retry_reserve(&self, service: &ServiceName) -> f64 {
        (self.remaining(service) / FULL_RESERVE).min(1.0)
    }

    /// Returns the number of extra calls left.
    pub fn remaining(&self, service: &ServiceName) -> f64 {
        let budget = self.budgets.get(service);
        budget.map_or_else(|| self.max_tokens(), |(budget, _)| budget.tokens())
    }

    /// Removes the budgets of services not called since `before`.
    pub fn remove_unused(&mut self, before: Instant) {
        self.budgets.retain(|_, (_, used_at)| *used_at >= before);
    }
}
