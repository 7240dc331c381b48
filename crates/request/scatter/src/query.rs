//! State machine of one request: first calls, hedges, retries and completion.

use {
    crate::{
        Action, Call, Candidate, Cause, Event, Failure, MergedReply, Outcome, QueryPolicy, Replicas,
    },
    kind::Ran,
    plan::{AttemptId, Reason},
    routing::ServiceName,
    std::{
        mem::take,
        time::{Duration, Instant},
    },
};

/// A call is hedged no earlier than this multiple of its expected time.
const HEDGE_FACTOR: f64 = 1.5;
/// Time after which a hedge that was not possible or not useful is considered again.
const HEDGE_RECHECK_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Clone, Copy, Debug)]
enum PartResult {
    /// Covered by the reply with this index.
    Covered(usize),
    Missing(Reason),
}

#[derive(Debug)]
struct OpenCall {
    attempt: AttemptId,
    /// Maximum number of servers that the call may reach.
    max_servers: usize,
    hedge_at: Option<Instant>,
}

#[derive(Debug)]
struct Part<K> {
    service: ServiceName,
    result: Option<PartResult>,
    tried: Vec<K>,
    /// Maximum number of servers that the calls so far may have reached.
    max_reached: usize,
    open_calls: Vec<OpenCall>,
}

/// A request with all its parts.
#[derive(Debug)]
pub struct Query<K, R> {
    policy: QueryPolicy,
    parts: Vec<Part<K>>,
    /// Accepted replies; `None` where a reply was replaced or handed out.
    replies: Vec<Option<MergedReply<R>>>,
    covered: usize,
    /// Number of parts without a result.
    pending: usize,
    next_attempt: AttemptId,
    ran: Ran,
    /// When the minimum share was first covered.
    min_share_at: Option<Instant>,
    is_finished: bool,
}

impl<K: Copy + Eq, R> Query<K, R> {
    /// Creates a request with one part per service; [`Query::start`] makes the first calls.
    pub fn new(policy: QueryPolicy, services: &[ServiceName]) -> Self {
        let parts: Vec<_> = services
            .iter()
            .map(|service| Part {
                service: service.clone(),
                result: None,
                tried: Vec::new(),
                max_reached: 0,
                open_calls: Vec::new(),
            })
            .collect();
        Self {
            policy,
            covered: 0,
            pending: parts.len(),
            parts,
            replies: Vec::new(),
            next_attempt: 1,
            ran: Ran::No,
            min_share_at: None,
            is_finished: false,
        }
    }

    /// Calls one server for each part.
    pub fn start<V>(&mut self, replicas: &mut V, now: Instant) -> Vec<Action<K>>
    where
        V: Replicas<Key = K>,
    {
        let max_servers = self.policy.max_attempts;
        let services = self.parts.iter().map(|part| &part.service);
        let candidates: Vec<_> = services
            .map(|name| replicas.pick(name, &[], max_servers, now))
            .collect();
        for (part_index, candidate) in candidates.iter().enumerate() {
            if candidate.is_none() {
                let reason = replicas.missing_reason(&self.parts[part_index].service);
                self.mark_missing(part_index, reason);
            }
        }
        let mut actions = Vec::with_capacity(self.parts.len());
        self.finish_if_due(now, &mut actions);
        if !self.is_finished {
            let picked = candidates.into_iter().enumerate();
            let picked =
                picked.filter_map(|(part_index, candidate)| Some((part_index, candidate?)));
            actions.extend(picked.map(|(part_index, candidate)| {
                self.start_call(part_index, candidate, Cause::First, now)
            }));
        }
        actions
    }

    /// Handles an event and returns the actions to carry out.
    pub fn on_event<V>(&mut self, event: Event<R>, replicas: &mut V, now: Instant) -> Vec<Action<K>>
    where
        V: Replicas<Key = K>,
    {
        let mut actions = Vec::new();
        if self.is_finished {
            return actions;
        }
        match event {
            Event::Replied(attempts, reply) => self.on_reply(&attempts, reply, now),
            Event::Failed(attempt, failure) => {
                self.on_failure(attempt, failure, replicas, now, &mut actions);
            }
            Event::Wake => self.hedge_late_calls(replicas, now, &mut actions),
        }
        self.finish_if_due(now, &mut actions);
        actions
    }

    /// Returns when the query next needs [`Event::Wake`], or `None` once it has finished.
    pub fn next_wake(&self) -> Option<Instant> {
        if self.is_finished {
            return None;
        }
        let pending = self.parts.iter().filter(|part| part.result.is_none());
        let hedges =
            pending.flat_map(|part| part.open_calls.iter().filter_map(|call| call.hedge_at));
        hedges.chain([self.ends_at()]).min()
    }

    /// Returns when the query ends if no further reply arrives.
    pub fn ends_at(&self) -> Instant {
        let at = match self.min_share_at {
            Some(at) if at <= self.policy.on_time_until => self.policy.answer_at,
            // The answer is late anyway, so wait longer for the remaining parts.
            Some(_) => self.policy.late_answer_at,
            None => self.policy.deadline,
        };
        at.min(self.policy.deadline)
    }

    /// Makes the query answer earlier than its policy says by `time`, because the
    /// response is expected to take longer.
    ///
    /// A query that covers its minimum share only after that is still answered at
    /// once: its response may turn out to be faster than expected.
    pub fn answer_earlier(&mut self, time: Duration) {
        let answer_at = &mut self.policy.answer_at;
        *answer_at = answer_at.checked_sub(time).unwrap_or(*answer_at);
    }

    /// Removes and returns the replies accepted since the last call, for an incremental answer.
    pub fn take_replies(&mut self) -> Vec<MergedReply<R>> {
        self.replies.iter_mut().filter_map(Option::take).collect()
    }

    /// Returns whether any part is neither covered nor missing.
    pub fn has_pending_parts(&self) -> bool {
        self.pending > 0
    }

    /// Returns the result of the request; call it after [`Action::Finish`].
    pub fn into_outcome(self) -> Outcome<R> {
        let meets_min_share = self.policy.meets_min_share(self.covered, self.parts.len());
        let part_count = self.parts.len();
        let missing = self.parts.into_iter().filter_map(|part| match part.result {
            Some(PartResult::Covered(_)) => None,
            Some(PartResult::Missing(reason)) => Some((part.service, reason)),
            None => Some((part.service, Reason::NotAwaited)),
        });
        Outcome {
            part_count,
            missing: missing.collect(),
            replies: self.replies.into_iter().flatten().collect(),
            ran: self.ran,
            meets_min_share,
        }
    }

    fn start_call(
        &mut self,
        part_index: usize,
        candidate: Candidate<K>,
        cause: Cause,
        now: Instant,
    ) -> Action<K> {
        let Candidate {
            server,
            expected,
            max_servers,
            ..
        } = candidate;
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        let part = &mut self.parts[part_index];
        if !part.tried.contains(&server) {
            part.tried.push(server);
        }
        part.max_reached += max_servers;
        let min_lateness = self
            .policy
            .hedge_after
            .filter(|_| self.policy.is_repeatable);
        part.open_calls.push(OpenCall {
            attempt,
            max_servers,
            hedge_at: min_lateness
                .map(|min| now + expected.mul_f64(HEDGE_FACTOR).max(expected + min)),
        });
        Action::Call(Call {
            attempt,
            part_index,
            max_servers,
            cause,
            service: part.service.clone(),
            server,
            expected,
        })
    }

    /// Removes an open call; returns the index of its part and the maximum number of servers
    /// that the call may have reached.
    fn remove_call(&mut self, attempt: AttemptId) -> Option<(usize, usize)> {
        let has_call = |part: &Part<K>| part.open_calls.iter().any(|call| call.attempt == attempt);
        let part_index = self.parts.iter().position(has_call)?;
        let open_calls = &mut self.parts[part_index].open_calls;
        let index = open_calls.iter().position(|call| call.attempt == attempt)?;
        Some((part_index, open_calls.swap_remove(index).max_servers))
    }

    fn on_reply(&mut self, attempts: &[AttemptId], reply: R, now: Instant) {
        self.ran = Ran::Yes;
        let removed = attempts
            .iter()
            .filter_map(|attempt| self.remove_call(*attempt));
        let part_indexes: Vec<usize> = removed.map(|(part_index, _)| part_index).collect();
        if !part_indexes.is_empty() {
            self.accept_reply(part_indexes, reply);
        }
        if self.min_share_at.is_none()
            && self.policy.meets_min_share(self.covered, self.parts.len())
        {
            self.min_share_at = Some(now);
        }
    }

    /// Accepts a reply if it covers more parts than the replies that it overlaps.
    ///
    /// A merged reply for several parts cannot be split. It replaces the
    /// overlapping replies if it covers all of their parts and at least one
    /// more. Otherwise it is dropped, so that no record is counted twice.
    fn accept_reply(&mut self, part_indexes: Vec<usize>, reply: R) {
        let results = part_indexes
            .iter()
            .map(|part_index| self.parts[*part_index].result);
        let mut replaced: Vec<usize> = results
            .filter_map(|result| match result {
                Some(PartResult::Covered(index)) => Some(index),
                _ => None,
            })
            .collect();
        if replaced.iter().any(|index| self.replies[*index].is_none()) {
            // A reply that covers one of the parts has already been handed out.
            return;
        }
        replaced.sort_unstable();
        replaced.dedup();
        let replaced_replies = replaced
            .iter()
            .filter_map(|index| self.replies[*index].as_ref());
        let replaced_part_indexes: Vec<usize> = replaced_replies
            .flat_map(|merged| merged.part_indexes.clone())
            .collect();
        let covers_all = replaced_part_indexes
            .iter()
            .all(|part_index| part_indexes.contains(part_index));
        if !covers_all || replaced_part_indexes.len() >= part_indexes.len() {
            return;
        }
        for index in replaced {
            self.replies[index] = None;
        }
        for part_index in &part_indexes {
            let part = &mut self.parts[*part_index];
            if part.result.is_none() {
                self.pending -= 1;
            }
            part.result = Some(PartResult::Covered(self.replies.len()));
        }
        self.covered += part_indexes.len() - replaced_part_indexes.len();
        self.replies.push(Some(MergedReply {
            part_indexes,
            reply,
        }));
    }

    fn on_failure<V>(
        &mut self,
        attempt: AttemptId,
        failure: Failure,
        replicas: &mut V,
        now: Instant,
        actions: &mut Vec<Action<K>>,
    ) where
        V: Replicas<Key = K>,
    {
        if failure.ran != Ran::No {
            self.ran = self.ran.and(failure.ran);
        }
        let Some((part_index, max_servers)) = self.remove_call(attempt) else {
            return;
        };
        let part = &mut self.parts[part_index];
        if failure.ran == Ran::No {
            // The call may have arrived, but no server has executed it.
            part.max_reached -= max_servers;
        }
        if part.result.is_some() || !part.open_calls.is_empty() {
            return;
        }
        match self.pick_retry_server(part_index, failure, replicas, now) {
            Some(candidate) => {
                actions.push(self.start_call(part_index, candidate, Cause::Retry, now))
            }
            None => self.mark_missing(part_index, failure.reason),
        }
    }

    fn pick_retry_server<V>(
        &self,
        part_index: usize,
        failure: Failure,
        replicas: &mut V,
        now: Instant,
    ) -> Option<Candidate<K>>
    where
        V: Replicas<Key = K>,
    {
        let is_allowed = self.policy.is_repeatable || failure.ran == Ran::No;
        if !is_allowed
            || now >= self.policy.deadline
            || self.parts[part_index].max_reached >= self.policy.max_attempts
        {
            return None;
        }
        let part = &self.parts[part_index];
        let max_servers = self
            .policy
            .max_attempts
            .saturating_sub(part.max_reached)
            .max(1);
        let picked = replicas.pick(&part.service, &part.tried, max_servers, now)?;
        // Replacing a call that never reached a server adds no load.
        (!failure.reached_server || replicas.take_extra_call(&part.service, now)).then_some(picked)
    }

    fn hedge_late_calls<V>(&mut self, replicas: &mut V, now: Instant, actions: &mut Vec<Action<K>>)
    where
        V: Replicas<Key = K>,
    {
        for part_index in 0..self.parts.len() {
            let part = &mut self.parts[part_index];
            if part.result.is_some() {
                continue;
            }
            let mut is_late = false;
            for call in &mut part.open_calls {
                if call.hedge_at.is_some_and(|at| now >= at) {
                    call.hedge_at = None;
                    is_late = true;
                }
            }
            if is_late {
                self.hedge_part(part_index, replicas, now, actions);
            }
        }
    }

    fn hedge_part<V>(
        &mut self,
        part_index: usize,
        replicas: &mut V,
        now: Instant,
        actions: &mut Vec<Action<K>>,
    ) where
        V: Replicas<Key = K>,
    {
        if self.parts[part_index].max_reached >= self.policy.max_attempts {
            return;
        }
        let part = &self.parts[part_index];
        let hedge_until = self.policy.hedge_until.unwrap_or(self.policy.answer_at);
        let needed_by = if now < hedge_until {
            hedge_until
        } else {
            self.policy.deadline
        };
        let remaining = needed_by.saturating_duration_since(now);
        let max_servers = self
            .policy
            .max_attempts
            .saturating_sub(part.max_reached)
            .max(1);
        let picked = replicas.pick(&part.service, &part.tried, max_servers, now);
        let is_useful =
            |candidate: &Candidate<K>| candidate.is_free && candidate.expected < remaining;
        match picked.filter(is_useful) {
            Some(candidate) if replicas.take_extra_call(&part.service, now) => {
                actions.push(self.start_call(part_index, candidate, Cause::Hedge, now));
            }
            // By then another server may be free or the budget may have grown.
            _ => {
                let recheck_at = now + HEDGE_RECHECK_INTERVAL;
                let last_call = self.parts[part_index].open_calls.last_mut();
                if let Some(call) = last_call.filter(|_| recheck_at < self.policy.deadline) {
                    call.hedge_at = Some(recheck_at);
                }
            }
        }
    }

    fn mark_missing(&mut self, part_index: usize, reason: Reason) {
        self.parts[part_index].result = Some(PartResult::Missing(reason));
        self.pending -= 1;
    }

    /// Finishes if no part is pending, the minimum share is out of reach, or it is time to answer.
    fn finish_if_due(&mut self, now: Instant, actions: &mut Vec<Action<K>>) {
        let total = self.parts.len();
        let is_reachable = self
            .policy
            .meets_min_share(self.covered + self.pending, total);
        if self.pending == 0 || !is_reachable || now >= self.ends_at() {
            self.finish(now);
            actions.clear();
            actions.push(Action::Finish);
        }
    }

    fn finish(&mut self, now: Instant) {
        self.is_finished = true;
        let is_past_deadline = now >= self.policy.deadline;
        for part in &mut self.parts {
            let open_calls = take(&mut part.open_calls);
            if !open_calls.is_empty() {
                self.ran = self.ran.and(Ran::Unknown);
            }
            if part.result.is_none() {
                let reason = if is_past_deadline {
                    Reason::Deadline
                } else {
                    Reason::NotAwaited
                };
                part.result = Some(PartResult::Missing(reason));
            }
        }
    }
}
