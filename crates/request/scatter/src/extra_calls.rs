//! Budgets for extra calls, which are hedges and retries, by service.
//!
//! Every service limits the extra calls of all hosts together to a share of
//! its first calls plus a fixed number per time window. Each host limits
//! itself to that share of its own first calls plus its part of the fixed
//! number, so the total stays below the limit without coordination.
//!
//! Load: hosts that restart while servers fail. A host does not know what it used
//! before it started. Until a window has passed it has only a part of the fixed
//! number, so that each host may restart once within a window.

use {
    plan::Budget,
    routing::ServiceName,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Share of the limit that hosts use. The rest covers hosts that are not known
/// yet and calls that senders and receivers count in different windows.
const USABLE_SHARE: f64 = 0.8;

/// Share of its part of the fixed number that a started host has until a window has
/// passed: what the usable share leaves.
const SHARE_AT_START: f64 = (1.0 - USABLE_SHARE) / USABLE_SHARE;

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
    /// Length of that window.
    pub window: Duration,
}

/// When a host has begun to make calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BudgetStart {
    /// It is the first process of the host, which has made no calls before.
    New,
    /// It may have made calls before this time.
    At(Instant),
}

/// Extra-call budgets of one host, by service.
#[derive(Debug)]
pub struct ExtraCallBudgets {
    allowance: Allowance,
    hosts: usize,
    start: BudgetStart,
    budgets: HashMap<ServiceName, ServiceBudget>,
}

#[derive(Debug)]
struct ServiceBudget {
    budget: Budget,
    /// Whether the whole part of the fixed number has been granted.
    is_granted: bool,
    used_at: Instant,
}

impl ExtraCallBudgets {
    /// Creates the budgets of one of `hosts` hosts.
    pub fn new(allowance: Allowance, hosts: usize, start: BudgetStart) -> Self {
        Self {
            allowance,
            hosts: hosts.max(1),
            start,
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
        for service in self.budgets.values_mut() {
            service.budget.set_max(max_tokens);
        }
    }

    /// Returns the maximum number of tokens that a service accumulates on this host.
    fn max_tokens(&self) -> f64 {
        (self.allowance.slack * USABLE_SHARE / self.hosts as f64).max(1.0)
    }

    /// Returns whether all calls before the start are older than a window.
    fn is_window_over(&self, now: Instant) -> bool {
        match self.start {
            BudgetStart::New => true,
            BudgetStart::At(at) => now.saturating_duration_since(at) >= self.allowance.window,
        }
    }

    fn initial_tokens(&self, now: Instant) -> f64 {
        if self.is_window_over(now) {
            self.max_tokens()
        } else {
            self.max_tokens() * SHARE_AT_START
        }
    }

    fn budget(&mut self, service: &ServiceName, now: Instant) -> &mut Budget {
        let max_tokens = self.max_tokens();
        let is_window_over = self.is_window_over(now);
        let initial_tokens = self.initial_tokens(now);
        let entry = self.budgets.entry(service.clone());
        let service = entry.or_insert_with(|| ServiceBudget {
            budget: Budget::new(initial_tokens, max_tokens),
            is_granted: is_window_over,
            used_at: now,
        });
        service.used_at = now;
        if is_window_over && !service.is_granted {
            service.is_granted = true;
            service.budget.add(max_tokens * (1.0 - SHARE_AT_START));
        }
        &mut service.budget
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
    pub fn retry_reserve(&self, service: &ServiceName, now: Instant) -> f64 {
        (self.remaining(service, now) / FULL_RESERVE).min(1.0)
    }

    /// Returns the number of extra calls left.
    pub fn remaining(&self, service: &ServiceName, now: Instant) -> f64 {
        let known = self.budgets.get(service);
        known.map_or_else(
            || self.initial_tokens(now),
            |service| service.budget.tokens(),
        )
    }

    /// Removes the budgets of services not called since `before`.
    pub fn remove_unused(&mut self, before: Instant) {
        self.budgets.retain(|_, service| service.used_at >= before);
    }
}
