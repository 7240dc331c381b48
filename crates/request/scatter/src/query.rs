//! The life of one request: calls to a server of each part, hedges, retries and the end.

use {
    crate::{Action, Bundle, Call, Candidate, Cause, Event, Failure, Outcome, Plan, Replicas},
    kind::Ran,
    plan::{AttemptId, Reason},
    routing::ServiceName,
    std::{
        mem::take,
        time::{Duration, Instant},
    },
};

/// Share of the expected time by which a call is late before it is hedged.
const HEDGE_FACTOR: f64 = 1.5;
/// Pause before a hedge that was not worth making is looked at again.
const HEDGE_PAUSE: Duration = Duration::from_millis(10);

#[derive(Clone, Copy, Debug)]
enum End {
    /// The bundle with this index covers the part.
    Covered(usize),
    Missing(Reason),
}

#[derive(Debug)]
struct Open {
    attempt: AttemptId,
    reaches: usize,
    hedge_at: Option<Instant>,
}

#[derive(Debug)]
struct Work<K> {
    service: ServiceName,
    end: Option<End>,
    tried: Vec<K>,
    /// Most servers that the calls so far may have reached.
    reached: usize,
    open: Vec<Open>,
}

/// One request over all its parts.
#[derive(Debug)]
pub struct Query<K, R> {
    plan: Plan,
    works: Vec<Work<K>>,
    /// Replies taken; one that a better one replaced leaves a gap.
    bundles: Vec<Option<Bundle<R>>>,
    covered: usize,
    waiting: usize,
    next_attempt: AttemptId,
    ran: Ran,
    /// When the least share was covered.
    enough_at: Option<Instant>,
    is_finished: bool,
}

impl<K: Copy + Eq, R> Query<K, R> {
    /// Creates a request over `services`; [`Query::start`] makes its first calls.
    pub fn new(plan: Plan, services: &[ServiceName]) -> Self {
        let works: Vec<_> = services
            .iter()
            .map(|service| Work {
                service: service.clone(),
                end: None,
                tried: Vec::new(),
                reached: 0,
                open: Vec::new(),
            })
            .collect();
        Self {
            plan,
            covered: 0,
            waiting: works.len(),
            works,
            bundles: Vec::new(),
            next_attempt: 1,
            ran: Ran::No,
            enough_at: None,
            is_finished: false,
        }
    }

    /// Calls one server of every part.
    pub fn start<V>(&mut self, view: &mut V, now: Instant) -> Vec<Action<K>>
    where
        V: Replicas<Key = K>,
    {
        let most = self.plan.max_attempts;
        let services = self.works.iter().map(|work| &work.service);
        let candidates: Vec<_> = services
            .map(|name| view.pick(name, &[], most, now))
            .collect();
        for (position, candidate) in candidates.iter().enumerate() {
            if candidate.is_none() {
                self.lose(position, Reason::Unreachable);
            }
        }
        let mut actions = Vec::with_capacity(self.works.len());
        self.settle(now, &mut actions);
        if !self.is_finished {
            let found = candidates.into_iter().enumerate();
            let found = found.filter_map(|(position, candidate)| Some((position, candidate?)));
            actions
                .extend(found.map(|(position, candidate)| {
                    self.call(position, candidate, Cause::First, now)
                }));
        }
        actions
    }

    /// Takes an event and returns what follows from it.
    pub fn on_event<V>(&mut self, event: Event<R>, view: &mut V, now: Instant) -> Vec<Action<K>>
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
                self.on_failure(attempt, failure, view, now, &mut actions);
            }
            Event::Wake => self.hedge_late_calls(view, now, &mut actions),
        }
        self.settle(now, &mut actions);
        actions
    }

    /// Returns when the query next needs [`Event::Wake`].
    pub fn next_wake(&self) -> Option<Instant> {
        if self.is_finished {
            return None;
        }
        let waiting = self.works.iter().filter(|work| work.end.is_none());
        let hedges = waiting.flat_map(|work| work.open.iter().filter_map(|open| open.hedge_at));
        hedges.chain([self.answer_at()]).min()
    }

    /// Returns when the query ends if nothing more arrives.
    fn answer_at(&self) -> Instant {
        let at = match self.enough_at {
            Some(at) if at <= self.plan.in_time_until => self.plan.answer_at,
            // The answer is late, so that a whole one is worth more waiting.
            Some(_) => self.plan.late_answer_at,
            None => self.plan.deadline,
        };
        at.min(self.plan.deadline)
    }

    /// Takes the replies that have come since the last time, for an answer in steps.
    pub fn take_bundles(&mut self) -> Vec<Bundle<R>> {
        self.bundles.iter_mut().filter_map(Option::take).collect()
    }

    /// Returns whether parts are neither covered nor missing.
    pub fn is_waiting(&self) -> bool {
        self.waiting > 0
    }

    /// Returns the end of the request, once [`Action::Finish`] has been given.
    pub fn into_outcome(self) -> Outcome<R> {
        let is_enough = self.plan.is_enough(self.covered, self.works.len());
        let parts = self.works.len();
        let missing = self.works.into_iter().filter_map(|work| match work.end {
            Some(End::Covered(_)) => None,
            Some(End::Missing(reason)) => Some((work.service, reason)),
            None => Some((work.service, Reason::NotAwaited)),
        });
        Outcome {
            parts,
            missing: missing.collect(),
            bundles: self.bundles.into_iter().flatten().collect(),
            ran: self.ran,
            is_enough,
        }
    }

    fn call(
        &mut self,
        position: usize,
        candidate: Candidate<K>,
        cause: Cause,
        now: Instant,
    ) -> Action<K> {
        let Candidate {
            server,
            expected,
            reaches,
            ..
        } = candidate;
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        let work = &mut self.works[position];
        if !work.tried.contains(&server) {
            work.tried.push(server);
        }
        work.reached += reaches;
        let least = self.plan.hedge_after.filter(|_| self.plan.is_repeatable);
        work.open.push(Open {
            attempt,
            reaches,
            hedge_at: least.map(|least| now + expected.mul_f64(HEDGE_FACTOR).max(expected + least)),
        });
        Action::Call(Call {
            attempt,
            position,
            reaches,
            cause,
            service: work.service.clone(),
            server,
            expected,
        })
    }

    /// Ends a call, and returns the position of its part and the servers it may have reached.
    fn close(&mut self, attempt: AttemptId) -> Option<(usize, usize)> {
        let is_of = |work: &Work<K>| work.open.iter().any(|open| open.attempt == attempt);
        let position = self.works.iter().position(is_of)?;
        let open = &mut self.works[position].open;
        let index = open.iter().position(|open| open.attempt == attempt)?;
        Some((position, open.swap_remove(index).reaches))
    }

    fn on_reply(&mut self, attempts: &[AttemptId], reply: R, now: Instant) {
        self.ran = Ran::Yes;
        let closed = attempts.iter().filter_map(|attempt| self.close(*attempt));
        let positions: Vec<usize> = closed.map(|(position, _)| position).collect();
        if !positions.is_empty() {
            self.cover(positions, reply);
        }
        if self.enough_at.is_none() && self.plan.is_enough(self.covered, self.works.len()) {
            self.enough_at = Some(now);
        }
    }

    /// Takes a reply, unless parts of it are covered already and it adds none.
    ///
    /// A reply for several parts is merged and cannot be taken in part: it
    /// stands in place of the others if it covers all of theirs and more, and
    /// is dropped otherwise, so that no record counts twice.
    fn cover(&mut self, positions: Vec<usize>, reply: R) {
        let ends = positions.iter().map(|position| self.works[*position].end);
        let mut replaced: Vec<usize> = ends
            .filter_map(|end| match end {
                Some(End::Covered(index)) => Some(index),
                _ => None,
            })
            .collect();
        if replaced.iter().any(|index| self.bundles[*index].is_none()) {
            // What covers the part has been handed out already.
            return;
        }
        replaced.sort_unstable();
        replaced.dedup();
        let held = replaced
            .iter()
            .filter_map(|index| self.bundles[*index].as_ref());
        let held: Vec<usize> = held.flat_map(|bundle| bundle.positions.clone()).collect();
        let has_all = held.iter().all(|position| positions.contains(position));
        if !has_all || held.len() >= positions.len() {
            return;
        }
        for index in replaced {
            self.bundles[index] = None;
        }
        for position in &positions {
            let work = &mut self.works[*position];
            if work.end.is_none() {
                self.waiting -= 1;
            }
            work.end = Some(End::Covered(self.bundles.len()));
        }
        self.covered += positions.len() - held.len();
        self.bundles.push(Some(Bundle { positions, reply }));
    }

    fn on_failure<V>(
        &mut self,
        attempt: AttemptId,
        failure: Failure,
        view: &mut V,
        now: Instant,
        actions: &mut Vec<Action<K>>,
    ) where
        V: Replicas<Key = K>,
    {
        if failure.ran != Ran::No {
            self.ran = self.ran.and(failure.ran);
        }
        let Some((position, reaches)) = self.close(attempt) else {
            return;
        };
        let work = &mut self.works[position];
        if failure.ran == Ran::No {
            // It may have arrived, but none of the servers has run it.
            work.reached -= reaches;
        }
        if work.end.is_some() || !work.open.is_empty() {
            return;
        }
        match self.retry_server(position, failure, view, now) {
            Some(candidate) => actions.push(self.call(position, candidate, Cause::Retry, now)),
            None => self.lose(position, failure.reason),
        }
    }

    fn retry_server<V>(
        &self,
        position: usize,
        failure: Failure,
        view: &mut V,
        now: Instant,
    ) -> Option<Candidate<K>>
    where
        V: Replicas<Key = K>,
    {
        let is_allowed = self.plan.is_repeatable || failure.ran == Ran::No;
        if !is_allowed
            || now >= self.plan.deadline
            || self.works[position].reached >= self.plan.max_attempts
        {
            return None;
        }
        let work = &self.works[position];
        let most = self.plan.max_attempts.saturating_sub(work.reached).max(1);
        let picked = view.pick(&work.service, &work.tried, most, now)?;
        // A call that never reached a server costs the servers nothing.
        (!failure.has_arrived || view.take_extra(&work.service, now)).then_some(picked)
    }

    fn hedge_late_calls<V>(&mut self, view: &mut V, now: Instant, actions: &mut Vec<Action<K>>)
    where
        V: Replicas<Key = K>,
    {
        for position in 0..self.works.len() {
            let work = &mut self.works[position];
            if work.end.is_some() {
                continue;
            }
            let mut is_late = false;
            for open in &mut work.open {
                if open.hedge_at.is_some_and(|at| now >= at) {
                    open.hedge_at = None;
                    is_late = true;
                }
            }
            if is_late {
                self.hedge(position, view, now, actions);
            }
        }
    }

    fn hedge<V>(
        &mut self,
        position: usize,
        view: &mut V,
        now: Instant,
        actions: &mut Vec<Action<K>>,
    ) where
        V: Replicas<Key = K>,
    {
        if self.works[position].reached >= self.plan.max_attempts {
            return;
        }
        let work = &self.works[position];
        let in_time = self.plan.hedge_until.unwrap_or(self.plan.answer_at);
        let answer_at = if now < in_time {
            in_time
        } else {
            self.plan.deadline
        };
        let left = answer_at.saturating_duration_since(now);
        let most = self.plan.max_attempts.saturating_sub(work.reached).max(1);
        let picked = view.pick(&work.service, &work.tried, most, now);
        let is_useful = |candidate: &Candidate<K>| candidate.is_free && candidate.expected < left;
        match picked.filter(is_useful) {
            Some(candidate) if view.take_extra(&work.service, now) => {
                actions.push(self.call(position, candidate, Cause::Hedge, now));
            }
            // The other server may be free by then, or the budget grown.
            _ => {
                let again_at = now + HEDGE_PAUSE;
                let open = self.works[position].open.last_mut();
                if let Some(open) = open.filter(|_| again_at < self.plan.deadline) {
                    open.hedge_at = Some(again_at);
                }
            }
        }
    }

    fn lose(&mut self, position: usize, reason: Reason) {
        self.works[position].end = Some(End::Missing(reason));
        self.waiting -= 1;
    }

    /// Finishes if nothing more is to be had, or if it is time to answer.
    fn settle(&mut self, now: Instant, actions: &mut Vec<Action<K>>) {
        let parts = self.works.len();
        let can_be_enough = self.plan.is_enough(self.covered + self.waiting, parts);
        if self.waiting == 0 || !can_be_enough || now >= self.answer_at() {
            self.finish(now);
            actions.clear();
            actions.push(Action::Finish);
        }
    }

    fn finish(&mut self, now: Instant) {
        self.is_finished = true;
        let is_over = now >= self.plan.deadline;
        for work in &mut self.works {
            let open = take(&mut work.open);
            if !open.is_empty() {
                self.ran = self.ran.and(Ran::Unknown);
            }
            if work.end.is_none() {
                let reason = if is_over {
                    Reason::Deadline
                } else {
                    Reason::NotAwaited
                };
                work.end = Some(End::Missing(reason));
            }
        }
    }
}
