//! The life of one query: calls to every shard and the merge of their replies.
//!
//! A call that has ended is forgotten at once, so nothing that arrives for it
//! later can reach the answer, whichever snapshot it came from.

use {
    crate::{
        group::Group,
        restart::Versions,
        work::{Attempt, ShardWork, State},
        Action, Answer, AttemptId, Cause, Event, LeafCall, LeafFailure, LeafReply, Limits, Pin,
        Reason, RequestId, Upstreams,
    },
    kind::Ran,
    record::{Coverage, Hedge, ServerAddr, Service, WhenShort},
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Most calls that one shard gets within one query.
pub(crate) const MAX_ATTEMPTS_PER_SHARD: usize = 3;
/// Time that a call spends on the way to a server and back.
const HOP: Duration = Duration::from_millis(2);

/// One query over every shard of its pin.
#[derive(Debug)]
pub struct Gather<R> {
    request_id: RequestId,
    pub(crate) pin: Pin,
    versions: Versions,
    pub(crate) limits: Limits,
    coverage: Coverage,
    pub(crate) hedge: Hedge,
    pub(crate) group: Arc<Group>,
    pub(crate) capacity: usize,
    early_at: Option<Instant>,
    pub(crate) next_hedge: Option<Instant>,
    pub(crate) works: Vec<ShardWork<R>>,
    /// Number of shards that are neither covered nor missing.
    waiting: usize,
    /// Whether servers of a shard have said that the pinned version is gone.
    is_version_gone: bool,
    attempts: BTreeMap<AttemptId, Attempt>,
    next_attempt_id: AttemptId,
    ran: Ran,
    is_finished: bool,
}

/// One step of a query: what it may ask, when it happens and what follows.
pub(crate) struct Step<'a, U, R> {
    pub(crate) upstreams: &'a mut U,
    pub(crate) now: Instant,
    pub(crate) actions: Vec<Action<R>>,
}

impl<R> Gather<R> {
    /// Creates the query; [`Gather::start`] makes its first calls.
    ///
    /// Unless told otherwise it waits for every shard, does not hedge, and
    /// shares nothing with other queries.
    pub fn new(request_id: RequestId, pin: Pin, limits: Limits) -> Self {
        Self {
            request_id,
            versions: Versions::new(&pin),
            limits,
            coverage: Coverage {
                min_share: 1.0,
                when_short: WhenShort::Wait,
            },
            hedge: Hedge {
                quantile: 0.0,
                budget_share: 0.0,
            },
            group: Arc::default(),
            capacity: pin.capacity(),
            early_at: None,
            next_hedge: None,
            works: Vec::new(),
            waiting: 0,
            is_version_gone: false,
            attempts: BTreeMap::new(),
            next_attempt_id: 1,
            ran: Ran::No,
            is_finished: false,
            pin,
        }
    }

    /// Sets what the route demands of coverage.
    pub fn with_coverage(mut self, coverage: Coverage) -> Self {
        self.coverage = coverage;
        self
    }

    /// Sets how slow shards are hedged.
    pub fn with_hedge(mut self, hedge: Hedge) -> Self {
        self.hedge = hedge;
        self
    }

    /// Sets what the query shares with other queries of the service.
    pub fn with_group(mut self, group: Arc<Group>) -> Self {
        self.group = group;
        self
    }

    /// Takes the newest service record, which may list a version to restart on.
    pub fn learn(&mut self, service: Arc<Service>) {
        self.versions.learn(service);
    }

    /// Calls one server of every shard.
    pub fn start<U: Upstreams>(&mut self, upstreams: &mut U, now: Instant) -> Vec<Action<R>> {
        let mut step = Step {
            upstreams,
            now,
            actions: Vec::with_capacity(self.pin.index().shards.len()),
        };
        if let WhenShort::EarlyAfter(wait) = self.coverage.when_short {
            self.early_at = Some(now + wait);
        }
        let calls = self.pin.index().shards.len();
        self.group.on_first_calls(calls, self.hedge.budget_share);
        if self.limits.time_left(now).is_zero() {
            self.reset_works();
        } else {
            self.call_all(Cause::First, &mut step);
        }
        self.settle(&mut step);
        step.actions
    }

    /// Takes an event and returns what follows from it.
    pub fn on_event<U: Upstreams>(
        &mut self,
        event: Event<R>,
        upstreams: &mut U,
        now: Instant,
    ) -> Vec<Action<R>> {
        let mut step = Step {
            upstreams,
            now,
            actions: Vec::new(),
        };
        if self.is_finished {
            return step.actions;
        }
        match event {
            Event::Replied(attempt_id, reply) => self.on_reply(attempt_id, reply, &mut step),
            Event::Failed(attempt_id, failure) => self.on_failure(attempt_id, failure, &mut step),
            Event::Wake => self.hedge_slow_shards(&mut step),
        }
        self.settle(&mut step);
        step.actions
    }

    /// Returns when the query next needs [`Event::Wake`].
    pub fn next_wake(&self) -> Option<Instant> {
        if self.is_finished {
            return None;
        }
        let early_at = self.early_at.filter(|_| self.has_least_share());
        [Some(self.limits.deadline), self.next_hedge, early_at]
            .into_iter()
            .flatten()
            .min()
    }

    fn reset_works(&mut self) {
        let shards = self.pin.index().shards.len();
        self.works = (0..shards).map(|_| ShardWork::new()).collect();
        self.waiting = shards;
        self.is_version_gone = false;
        self.next_hedge = None;
    }

    fn call_all<U: Upstreams>(&mut self, cause: Cause, step: &mut Step<'_, U, R>) {
        self.reset_works();
        for position in 0..self.works.len() {
            match self.pick(position, step) {
                Some(server) => self.call(position, server, cause, step),
                None => {
                    let shard = &self.pin.index().shards[position];
                    let reason = step.upstreams.reason(shard, step.now);
                    self.lose(position, reason);
                }
            }
        }
    }

    /// Picks a server that was not tried and is not slow, as far as there is one.
    pub(crate) fn pick<U: Upstreams>(
        &self,
        position: usize,
        step: &mut Step<'_, U, R>,
    ) -> Option<ServerAddr> {
        let shard = &self.pin.index().shards[position];
        let tried = &self.works[position].tried;
        let fresh = shard.servers.iter().map(|server| server.addr);
        let fresh: Vec<_> = fresh.filter(|addr| !tried.contains(addr)).collect();
        let mut avoided = tried.clone();
        avoided.extend(self.group.left_out(&fresh, step.now));
        let picked = step.upstreams.pick(shard, &avoided, step.now)?;
        if avoided.len() > tried.len() && avoided.contains(&picked) {
            return step.upstreams.pick(shard, tried, step.now);
        }
        Some(picked)
    }

    pub(crate) fn call<U: Upstreams>(
        &mut self,
        position: usize,
        server: ServerAddr,
        cause: Cause,
        step: &mut Step<'_, U, R>,
    ) {
        let call = LeafCall {
            attempt_id: self.next_attempt_id,
            cause,
            shard: self.pin.index().shards[position].id,
            server,
            index_version: self.pin.version(),
            time_left: self.limits.time_left(step.now).saturating_sub(HOP),
        };
        self.next_attempt_id += 1;
        let shard = &self.pin.index().shards[position];
        if step.upstreams.is_test(shard, server, step.now) {
            self.group.on_test();
        }
        let work = &mut self.works[position];
        work.tried.push(server);
        work.open.push(call.attempt_id);
        let attempt = Attempt {
            position,
            call: call.clone(),
            started_at: step.now,
            _in_flight: self.group.enter(),
        };
        self.attempts.insert(call.attempt_id, attempt);
        step.actions.push(Action::Call(call));
        self.arm_hedge(position, step.now);
    }

    fn on_reply<U: Upstreams>(
        &mut self,
        attempt_id: AttemptId,
        reply: LeafReply<R>,
        step: &mut Step<'_, U, R>,
    ) {
        let Some(attempt) = self.attempts.get(&attempt_id) else {
            return;
        };
        if !reply.answers(self.request_id, &attempt.call) {
            let failure = crate::LeafFault::Mismatch.into();
            self.on_failure(attempt_id, failure, step);
            return;
        }
        let waited = step.upstreams.waited(attempt_id);
        let latency = attempt.elapsed(step.now).saturating_sub(waited);
        self.group.on_reply(attempt.call.server, latency, step.now);
        let position = attempt.position;
        self.attempts.remove(&attempt_id);
        self.ran = Ran::Yes;
        self.waiting -= 1;
        let work = &mut self.works[position];
        work.state = State::Covered(reply.rows);
        for open in std::mem::take(&mut work.open) {
            self.cancel_overtaken(open, step);
        }
    }

    fn cancel_overtaken<U: Upstreams>(&mut self, attempt_id: AttemptId, step: &mut Step<'_, U, R>) {
        if let Some(loser) = self.attempts.remove(&attempt_id) {
            // Hedges too: those that win are the fast ones, and counted alone
            // they would make a slow server look sound.
            let waited = step.upstreams.waited(attempt_id);
            let age = loser.elapsed(step.now).saturating_sub(waited);
            self.group.on_overtaken(loser.call.server, age, step.now);
            step.actions.push(Action::Cancel(attempt_id));
        }
    }

    fn on_failure<U: Upstreams>(
        &mut self,
        attempt_id: AttemptId,
        failure: LeafFailure,
        step: &mut Step<'_, U, R>,
    ) {
        let Some(attempt) = self.attempts.remove(&attempt_id) else {
            return;
        };
        if failure.ran != Ran::No {
            self.ran = self.ran.and(failure.ran);
        }
        match failure.reason {
            Reason::Shed => self.group.on_shed(step.now),
            Reason::VersionGone => self.versions.on_stated(failure.newest_version),
            _ => {}
        }
        let position = attempt.position;
        let work = &mut self.works[position];
        work.open.retain(|open| *open != attempt_id);
        if !work.open.is_empty() {
            return;
        }
        if let Some(server) = self.retry_server(position, failure, step) {
            self.call(position, server, Cause::Retry, step);
        } else {
            self.lose(position, failure.reason);
        }
    }

    fn retry_server<U: Upstreams>(
        &self,
        position: usize,
        failure: LeafFailure,
        step: &mut Step<'_, U, R>,
    ) -> Option<ServerAddr> {
        let is_allowed = self.limits.is_repeatable || failure.ran == Ran::No;
        let tried = self.works[position].tried.len();
        let is_in_time = self.limits.time_left(step.now) > HOP;
        let is_vain = failure.reason == Reason::Quarantined;
        if !is_allowed || !is_in_time || is_vain || tried >= MAX_ATTEMPTS_PER_SHARD {
            return None;
        }
        let server = self.pick(position, step)?;
        if failure.reason == Reason::VersionGone {
            // Another replica may still hold the version; the same server does not.
            let is_new = !self.works[position].tried.contains(&server);
            return is_new.then_some(server);
        }
        self.group.take_retry().then_some(server)
    }

    fn lose(&mut self, position: usize, reason: Reason) {
        self.works[position].state = State::Missing(reason);
        self.waiting -= 1;
        self.is_version_gone |= reason == Reason::VersionGone;
    }

    /// Restarts, gives up or finishes, whichever the state calls for.
    fn settle<U: Upstreams>(&mut self, step: &mut Step<'_, U, R>) {
        if step.now >= self.limits.deadline {
            self.give_up(Reason::Deadline, step);
        } else {
            self.restart_if_gone(step);
            if self.is_early(step.now) {
                self.give_up(Reason::NotAwaited, step);
            }
        }
        if self.waiting == 0 {
            self.is_finished = true;
            let works = std::mem::take(&mut self.works);
            let answer = Answer::build(&self.pin, works, self.ran);
            step.actions.push(Action::Finish(answer));
        }
    }

    fn restart_if_gone<U: Upstreams>(&mut self, step: &mut Step<'_, U, R>) {
        if !self.may_restart(step.now) {
            return;
        }
        if let Some(pin) = self.versions.next(&self.pin) {
            self.cancel_all(step);
            self.capacity = pin.capacity();
            self.pin = pin;
            self.call_all(Cause::Restart, step);
        }
    }

    fn may_restart(&self, now: Instant) -> bool {
        if !self.is_version_gone {
            return false;
        }
        // A call under way may run, so a non-repeatable request waits for its end.
        let has_not_run = self.ran == Ran::No && self.attempts.is_empty();
        let typical = self.group.quantile(0.5).unwrap_or_default();
        (self.limits.is_repeatable || has_not_run) && self.limits.time_left(now) > typical.max(HOP)
    }

    fn has_least_share(&self) -> bool {
        let covered = self
            .works
            .iter()
            .filter(|work| matches!(work.state, State::Covered(_)))
            .count();
        covered > 0 && covered as f64 / self.works.len() as f64 >= self.coverage.min_share
    }

    fn is_early(&self, now: Instant) -> bool {
        self.waiting > 0 && self.early_at.is_some_and(|at| now >= at) && self.has_least_share()
    }

    fn give_up<U: Upstreams>(&mut self, reason: Reason, step: &mut Step<'_, U, R>) {
        for work in &mut self.works {
            if work.is_waiting() {
                work.state = State::Missing(reason);
            }
        }
        self.waiting = 0;
        self.cancel_all(step);
    }

    fn cancel_all<U: Upstreams>(&mut self, step: &mut Step<'_, U, R>) {
        for attempt_id in std::mem::take(&mut self.attempts).into_keys() {
            self.ran = self.ran.and(Ran::Unknown);
            step.actions.push(Action::Cancel(attempt_id));
        }
    }
}
