//! A fixed set of servers, for queries without a network.

use {
    routing::ServiceName,
    scatter::{Action, Call, Candidate, Query, QueryPolicy, Replicas},
    std::time::{Duration, Instant},
};

/// Servers of every service, identified by numbers from 0.
#[derive(Debug)]
pub(crate) struct Servers {
    /// Expected response time of each server.
    pub(crate) expected_ms: Vec<u64>,
    pub(crate) is_free: bool,
    /// Number of extra calls left.
    pub(crate) extras: usize,
    /// Maximum number of servers that a call to server 0 may reach.
    pub(crate) max_servers: usize,
}

impl Default for Servers {
    fn default() -> Self {
        Self {
            expected_ms: vec![10, 12],
            is_free: true,
            extras: 100,
            max_servers: 1,
        }
    }
}

impl Replicas for Servers {
    type Key = usize;

    fn pick(
        &mut self,
        _: &ServiceName,
        tried: &[usize],
        _: usize,
        _: Instant,
    ) -> Option<Candidate<usize>> {
        let number = (0..self.expected_ms.len()).find(|number| !tried.contains(number))?;
        Some(Candidate {
            server: number,
            expected: Duration::from_millis(self.expected_ms[number]),
            is_free: self.is_free,
            max_servers: if number == 0 { self.max_servers } else { 1 },
        })
    }

    fn take_extra_call(&mut self, _: &ServiceName, _: Instant) -> bool {
        let has_extra = self.extras > 0;
        self.extras = self.extras.saturating_sub(1);
        has_extra
    }
}

pub(crate) fn services(count: usize) -> Vec<ServiceName> {
    (0..count)
        .map(|n| format!("shard-{n}").as_str().into())
        .collect()
}

pub(crate) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns a policy that answers after 100 ms, after 200 ms if late, and ends after 500 ms.
pub(crate) fn policy(now: Instant) -> QueryPolicy {
    QueryPolicy {
        deadline: now + ms(500),
        answer_at: now + ms(100),
        on_time_until: now + ms(106),
        late_answer_at: now + ms(200),
        min_share: 0.75,
        max_attempts: 2,
        is_repeatable: true,
        hedge_after: Some(ms(15)),
        hedge_until: None,
    }
}

/// Returns the calls among `actions`.
pub(crate) fn calls(actions: &[Action<usize>]) -> Vec<Call<usize>> {
    let calls = actions.iter().filter_map(|action| match action {
        Action::Call(call) => Some(call.clone()),
        Action::Finish => None,
    });
    calls.collect()
}

pub(crate) fn is_finish(actions: &[Action<usize>]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Finish))
}

/// Starts a query over `parts` parts and returns it with its first calls.
pub(crate) fn started(
    policy: QueryPolicy,
    parts: usize,
    servers: &mut Servers,
    now: Instant,
) -> (Query<usize, &'static str>, Vec<Call<usize>>) {
    let mut query = Query::new(policy, &services(parts));
    let actions = query.start(servers, now);
    let first = calls(&actions);
    (query, first)
}
