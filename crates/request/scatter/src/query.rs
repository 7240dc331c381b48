//! The life of one request: calls to a server of each part, hedges, retries and the end.

use {
    crate::Plan,
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

/// Why a call is made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// It is the first call to its part.
    First,
    /// An earlier call to the part failed.
    Retry,
    /// An earlier call to the part is slow.
    Hedge,
}

impl Cause {
    /// Returns the label used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Retry => "retry",
            Self::Hedge => "hedge",
        }
    }
}

/// The view on the servers that a query asks.
pub trait Replicas {
    /// What tells servers apart.
    type Key: Copy + Eq;

    /// Picks a server for a part, those `tried` left out.
    fn pick(
        &mut self,
        service: &ServiceName,
        tried: &[Self::Key],
        now: Instant,
    ) -> Option<Candidate<Self::Key>>;

    /// Spends one call beyond the first, if the budget of the service allows it.
    fn take_extra(&mut self, service: &ServiceName, now: Instant) -> bool;
}

/// A server that a call may go to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate<K> {
    /// The server.
    pub server: K,
    /// Time to its answer.
    pub expected: Duration,
    /// Whether it has a free slot, so that the call delays no other.
    pub is_free: bool,
}

/// One call to one server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call<K> {
    /// Number of the call within the request.
    pub attempt: AttemptId,
    /// Why the call is made.
    pub cause: Cause,
    /// Service of the part.
    pub service: ServiceName,
    /// The server.
    pub server: K,
    /// Time to its answer.
    pub expected: Duration,
}

/// A call that brought nothing to use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Why.
    pub reason: Reason,
    /// Whether the server executed the call.
    pub ran: Ran,
    /// Whether the call reached the server, and so counts against its budget.
    pub has_arrived: bool,
}

/// What happened to a request.
#[derive(Clone, Debug)]
pub enum Event<R> {
    /// A call brought what it was made for.
    Replied(AttemptId, R),
    /// A call failed.
    Failed(AttemptId, Failure),
    /// Time has passed.
    Wake,
}

/// What a request wants done.
#[derive(Clone, Debug)]
pub enum Action<K> {
    /// Make a call.
    Call(Call<K>),
    /// Answer the caller; nothing follows.
    Finish,
}

/// The end of one part.
#[derive(Clone, Debug, PartialEq)]
pub enum PartEnd<R> {
    /// What the part brought.
    Covered(R),
    /// Why the part brought nothing.
    Missing(Reason),
}

/// One part with its end.
#[derive(Clone, Debug)]
pub struct Part<R> {
    /// Service of the part.
    pub service: ServiceName,
    /// Its end.
    pub end: PartEnd<R>,
}

/// The end of a request.
#[derive(Clone, Debug)]
pub struct Outcome<R> {
    /// Every part of the request with its end.
    pub parts: Vec<Part<R>>,
    /// Whether the request was executed anywhere.
    pub ran: Ran,
    /// Whether enough parts are covered.
    pub is_enough: bool,
}

#[derive(Debug)]
struct Open {
    attempt: AttemptId,
    hedge_at: Option<Instant>,
}

#[derive(Debug)]
struct Work<K, R> {
    service: ServiceName,
    end: Option<PartEnd<R>>,
    tried: Vec<K>,
    open: Vec<Open>,
}

/// One request over all its parts.
#[derive(Debug)]
pub struct Query<K, R> {
    plan: Plan,
    works: Vec<Work<K, R>>,
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
                open: Vec::new(),
            })
            .collect();
        Self {
            plan,
            covered: 0,
            waiting: works.len(),
            works,
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
        let services = self.works.iter().map(|work| &work.service);
        let candidates: Vec<_> = services.map(|name| view.pick(name, &[], now)).collect();
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
            Event::Replied(attempt, reply) => self.on_reply(attempt, reply, now),
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
            Some(at) if at <= self.plan.answer_at => self.plan.answer_at,
            // The answer is late, so that a whole one is worth more waiting.
            Some(_) => self.plan.late_answer_at,
            None => self.plan.deadline,
        };
        at.min(self.plan.deadline)
    }

    /// Returns the end of the request, once [`Action::Finish`] has been given.
    pub fn into_outcome(self) -> Outcome<R> {
        let parts_len = self.works.len();
        let parts = self.works.into_iter().map(|work| Part {
            service: work.service,
            end: work.end.unwrap_or(PartEnd::Missing(Reason::NotAwaited)),
        });
        Outcome {
            parts: parts.collect(),
            ran: self.ran,
            is_enough: self.plan.is_enough(self.covered, parts_len),
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
            server, expected, ..
        } = candidate;
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        let work = &mut self.works[position];
        if !work.tried.contains(&server) {
            work.tried.push(server);
        }
        let may_hedge = self.plan.is_repeatable && work.tried.len() < self.plan.max_attempts;
        let least = self.plan.hedge_after.filter(|_| may_hedge);
        work.open.push(Open {
            attempt,
            hedge_at: least.map(|least| now + expected.mul_f64(HEDGE_FACTOR).max(expected + least)),
        });
        Action::Call(Call {
            attempt,
            cause,
            service: work.service.clone(),
            server,
            expected,
        })
    }

    /// Ends a call, and returns the position of its part.
    fn close(&mut self, attempt: AttemptId) -> Option<usize> {
        let is_of = |work: &Work<K, R>| work.open.iter().any(|open| open.attempt == attempt);
        let position = self.works.iter().position(is_of)?;
        let work = &mut self.works[position];
        work.open.retain(|open| open.attempt != attempt);
        Some(position)
    }

    fn on_reply(&mut self, attempt: AttemptId, reply: R, now: Instant) {
        self.ran = Ran::Yes;
        let Some(position) = self.close(attempt) else {
            return;
        };
        let work = &mut self.works[position];
        if work.end.is_none() {
            work.end = Some(PartEnd::Covered(reply));
            self.covered += 1;
            self.waiting -= 1;
        }
        if self.enough_at.is_none() && self.plan.is_enough(self.covered, self.works.len()) {
            self.enough_at = Some(now);
        }
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
        let Some(position) = self.close(attempt) else {
            return;
        };
        let work = &mut self.works[position];
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
        let work = &self.works[position];
        if !is_allowed || work.tried.len() >= self.plan.max_attempts || now >= self.plan.deadline {
            return None;
        }
        let picked = view.pick(&work.service, &work.tried, now)?;
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
        let work = &self.works[position];
        if work.tried.len() >= self.plan.max_attempts {
            return;
        }
        let answer_at = if now < self.plan.answer_at {
            self.plan.answer_at
        } else {
            self.plan.deadline
        };
        let left = answer_at.saturating_duration_since(now);
        let picked = view.pick(&work.service, &work.tried, now);
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
        self.works[position].end = Some(PartEnd::Missing(reason));
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
                work.end = Some(PartEnd::Missing(reason));
            }
        }
    }
}
