//! Scatter-gather of one query: calls to every shard and the merge of their replies.
//!
//! A call is removed as soon as it ends, so a reply that arrives for it later,
//! from whichever snapshot, cannot reach the answer.

use {
    crate::{
        restart::VersionCandidates,
        service_state::ServiceState,
        task::{Attempt, ShardTask, State},
        Action, Answer, AttemptId, Cause, Event, LeafCall, LeafFailure, LeafReply, Limits, Pin,
        Reason, RequestId, Upstreams,
    },
    kind::Ran,
    record::{Coverage, Hedge, IncompletePolicy, ServerAddr, Service},
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Maximum number of calls to one shard within one query.
pub(crate) const MAX_ATTEMPTS_PER_SHARD: usize = 3;
/// Assumed network round-trip time of a call.
const ROUND_TRIP: Duration = Duration::from_millis(2);

/// The state of one query over all shards of the pinned index.
#[derive(Debug)]
pub struct Gather<R> {
    request_id: RequestId,
    pub(crate) pin: Pin,
    versions: VersionCandidates,
    pub(crate) limits: Limits,
    coverage: Coverage,
    pub(crate) hedge: Hedge,
    pub(crate) service_state: Arc<ServiceState>,
    pub(crate) capacity: usize,
    early_at: Option<Instant>,
    pub(crate) next_hedge: Option<Instant>,
    pub(crate) tasks: Vec<ShardTask<R>>,
    /// Number of shards in [`State::Waiting`].
    waiting_shards: usize,
    /// Whether a shard is missing because its servers no longer hold the pinned version.
    is_version_gone: bool,
    attempts: BTreeMap<AttemptId, Attempt>,
    next_attempt_id: AttemptId,
    ran: Ran,
    is_finished: bool,
}

/// Context of one event: the upstreams, the current time and the resulting actions.
pub(crate) struct Context<'a, U, R> {
    pub(crate) upstreams: &'a mut U,
    pub(crate) now: Instant,
    pub(crate) actions: Vec<Action<R>>,
}

impl<R> Gather<R> {
    /// Creates the query; [`Gather::start`] makes its first calls.
    ///
    /// By default the query waits for every shard, does not hedge, and shares
    /// no state with other queries.
    pub fn new(request_id: RequestId, pin: Pin, limits: Limits) -> Self {
        Self {
            request_id,
            versions: VersionCandidates::new(&pin),
            limits,
            coverage: Coverage {
                min_share: 1.0,
                when_short: IncompletePolicy::Wait,
            },
            hedge: Hedge {
                quantile: 0.0,
                budget_share: 0.0,
            },
            service_state: Arc::default(),
            capacity: pin.capacity(),
            early_at: None,
            next_hedge: None,
            tasks: Vec::new(),
            waiting_shards: 0,
            is_version_gone: false,
            attempts: BTreeMap::new(),
            next_attempt_id: 1,
            ran: Ran::No,
            is_finished: false,
            pin,
        }
    }

    /// Sets the coverage that the route requires.
    pub fn with_coverage(mut self, coverage: Coverage) -> Self {
        self.coverage = coverage;
        self
    }

    /// Sets when slow shards are hedged, and the budget for it.
    pub fn with_hedge(mut self, hedge: Hedge) -> Self {
        self.hedge = hedge;
        self
    }

    /// Sets the state shared with other queries of the service.
    pub fn with_service_state(mut self, service_state: Arc<ServiceState>) -> Self {
        self.service_state = service_state;
        self
    }

    /// Adds the newest service record, which may list a version to restart on.
    pub fn learn(&mut self, service: Arc<Service>) {
        self.versions.on_record(service);
    }

    /// Starts the query and returns its first actions, a call to one server of every shard.
    pub fn start<U: Upstreams>(&mut self, upstreams: &mut U, now: Instant) -> Vec<Action<R>> {
        let mut context = Context {
            upstreams,
            now,
            actions: Vec::with_capacity(self.pin.index().shards.len()),
        };
        if let IncompletePolicy::AnswerAfter(wait) = self.coverage.when_short {
            self.early_at = Some(now + wait);
        }
        let calls = self.pin.index().shards.len();
        self.service_state
            .on_first_calls(calls, self.hedge.budget_share);
        if self.limits.time_left(now).is_zero() {
            self.reset_tasks();
        } else {
            self.call_all(Cause::First, &mut context);
        }
        self.advance(&mut context);
        context.actions
    }

    /// Handles an event and returns the resulting actions.
    pub fn on_event<U: Upstreams>(
        &mut self,
        event: Event<R>,
        upstreams: &mut U,
        now: Instant,
    ) -> Vec<Action<R>> {
        let mut context = Context {
            upstreams,
            now,
            actions: Vec::new(),
        };
        if self.is_finished {
            return context.actions;
        }
        match event {
            Event::Replied(attempt_id, reply) => self.on_reply(attempt_id, reply, &mut context),
            Event::Failed(attempt_id, failure) => {
                self.on_failure(attempt_id, failure, &mut context)
            }
            Event::Wake => self.hedge_slow_shards(&mut context),
        }
        self.advance(&mut context);
        context.actions
    }

    /// Returns the time at which the query next needs [`Event::Wake`].
    pub fn next_wake(&self) -> Option<Instant> {
        if self.is_finished {
            return None;
        }
        let early_at = self.early_at.filter(|_| self.has_min_share());
        [Some(self.limits.deadline), self.next_hedge, early_at]
            .into_iter()
            .flatten()
            .min()
    }

    fn reset_tasks(&mut self) {
        let shards = self.pin.index().shards.len();
        self.tasks = (0..shards).map(|_| ShardTask::new()).collect();
        self.waiting_shards = shards;
        self.is_version_gone = false;
        self.next_hedge = None;
    }

    fn call_all<U: Upstreams>(&mut self, cause: Cause, context: &mut Context<'_, U, R>) {
        self.reset_tasks();
        for position in 0..self.tasks.len() {
            match self.pick(position, context) {
                Some(server) => self.call(position, server, cause, context),
                None => {
                    let shard = &self.pin.index().shards[position];
                    let reason = context.upstreams.unavailable_reason(shard, context.now);
                    self.mark_missing(position, reason);
                }
            }
        }
    }

    /// Picks a server, preferring those that are neither tried yet nor ejected as slow.
    pub(crate) fn pick<U: Upstreams>(
        &self,
        position: usize,
        context: &mut Context<'_, U, R>,
    ) -> Option<ServerAddr> {
        let shard = &self.pin.index().shards[position];
        let tried = &self.tasks[position].tried;
        let addrs = shard.servers.iter().map(|server| server.addr);
        let untried: Vec<_> = addrs.filter(|addr| !tried.contains(addr)).collect();
        let mut avoided = tried.clone();
        avoided.extend(self.service_state.ejected(&untried, context.now));
        let picked = context.upstreams.pick(shard, &avoided, context.now)?;
        if avoided.len() > tried.len() && avoided.contains(&picked) {
            return context.upstreams.pick(shard, tried, context.now);
        }
        Some(picked)
    }

    pub(crate) fn call<U: Upstreams>(
        &mut self,
        position: usize,
        server: ServerAddr,
        cause: Cause,
        context: &mut Context<'_, U, R>,
    ) {
        let call = LeafCall {
            attempt_id: self.next_attempt_id,
            cause,
            shard: self.pin.index().shards[position].id,
            server,
            index_version: self.pin.version(),
            time_left: self
                .limits
                .time_left(context.now)
                .saturating_sub(ROUND_TRIP),
        };
        self.next_attempt_id += 1;
        let shard = &self.pin.index().shards[position];
        if context
            .upstreams
            .is_recovery_probe(shard, server, context.now)
        {
            self.service_state.on_probe();
        }
        let task = &mut self.tasks[position];
        task.tried.push(server);
        task.open_attempts.push(call.attempt_id);
        let attempt = Attempt {
            position,
            call: call.clone(),
            started_at: context.now,
            _in_flight_guard: self.service_state.start_call(),
        };
        self.attempts.insert(call.attempt_id, attempt);
        context.actions.push(Action::Call(call));
        self.schedule_hedge(position, context.now);
    }

    fn on_reply<U: Upstreams>(
        &mut self,
        attempt_id: AttemptId,
        reply: LeafReply<R>,
        context: &mut Context<'_, U, R>,
    ) {
        let Some(attempt) = self.attempts.get(&attempt_id) else {
            return;
        };
        if !reply.answers(self.request_id, &attempt.call) {
            let failure = crate::LeafFault::Mismatch.into();
            self.on_failure(attempt_id, failure, context);
            return;
        }
        let waited = context.upstreams.queued_time(attempt_id);
        let latency = attempt.elapsed(context.now).saturating_sub(waited);
        self.service_state
            .on_reply(attempt.call.server, latency, context.now);
        let position = attempt.position;
        self.attempts.remove(&attempt_id);
        self.ran = Ran::Yes;
        self.waiting_shards -= 1;
        let task = &mut self.tasks[position];
        task.state = State::Covered(reply.rows);
        for open in std::mem::take(&mut task.open_attempts) {
            self.cancel_superseded(open, context);
        }
    }

    fn cancel_superseded<U: Upstreams>(
        &mut self,
        attempt_id: AttemptId,
        context: &mut Context<'_, U, R>,
    ) {
        if let Some(superseded) = self.attempts.remove(&attempt_id) {
            // Losing hedges are recorded too. If only winning hedges counted, which
            // are the fast ones, a slow server would look healthy.
            let waited = context.upstreams.queued_time(attempt_id);
            let age = superseded.elapsed(context.now).saturating_sub(waited);
            self.service_state
                .on_superseded(superseded.call.server, age, context.now);
            context.actions.push(Action::Cancel(attempt_id));
        }
    }

    fn on_failure<U: Upstreams>(
        &mut self,
        attempt_id: AttemptId,
        failure: LeafFailure,
        context: &mut Context<'_, U, R>,
    ) {
        let Some(attempt) = self.attempts.remove(&attempt_id) else {
            return;
        };
        if failure.ran != Ran::No {
            self.ran = self.ran.and(failure.ran);
        }
        match failure.reason {
            Reason::Shed => self.service_state.on_shed(context.now),
            Reason::VersionGone => self.versions.on_reported(failure.newest_version),
            _ => {}
        }
        let position = attempt.position;
        let task = &mut self.tasks[position];
        task.open_attempts.retain(|open| *open != attempt_id);
        if !task.open_attempts.is_empty() {
            return;
        }
        if let Some(server) = self.retry_server(position, failure, context) {
            self.call(position, server, Cause::Retry, context);
        } else {
            self.mark_missing(position, failure.reason);
        }
    }

    fn retry_server<U: Upstreams>(
        &self,
        position: usize,
        failure: LeafFailure,
        context: &mut Context<'_, U, R>,
    ) -> Option<ServerAddr> {
        let may_repeat = self.limits.is_repeatable || failure.ran == Ran::No;
        let tried = self.tasks[position].tried.len();
        let has_time = self.limits.time_left(context.now) > ROUND_TRIP;
        let is_futile = failure.reason == Reason::Quarantined;
        if !may_repeat || !has_time || is_futile || tried >= MAX_ATTEMPTS_PER_SHARD {
            return None;
        }
        let server = self.pick(position, context)?;
        if failure.reason == Reason::VersionGone {
            // Another replica may still hold the version, but the same server does not.
            let is_untried = !self.tasks[position].tried.contains(&server);
            return is_untried.then_some(server);
        }
        self.service_state.take_retry().then_some(server)
    }

    fn mark_missing(&mut self, position: usize, reason: Reason) {
        self.tasks[position].state = State::Missing(reason);
        self.waiting_shards -= 1;
        self.is_version_gone |= reason == Reason::VersionGone;
    }

    /// Gives up on waiting shards, restarts or finishes, as the current state requires.
    fn advance<U: Upstreams>(&mut self, context: &mut Context<'_, U, R>) {
        if context.now >= self.limits.deadline {
            self.give_up(Reason::Deadline, context);
        } else {
            self.restart_if_version_gone(context);
            if self.may_answer_early(context.now) {
                self.give_up(Reason::NotAwaited, context);
            }
        }
        if self.waiting_shards == 0 {
            self.is_finished = true;
            let tasks = std::mem::take(&mut self.tasks);
            let answer = Answer::build(&self.pin, tasks, self.ran);
            context.actions.push(Action::Finish(answer));
        }
    }

    fn restart_if_version_gone<U: Upstreams>(&mut self, context: &mut Context<'_, U, R>) {
        if !self.may_restart(context.now) {
            return;
        }
        if let Some(pin) = self.versions.next_pin(&self.pin) {
            self.cancel_all(context);
            self.capacity = pin.capacity();
            self.pin = pin;
            self.call_all(Cause::Restart, context);
        }
    }

    fn may_restart(&self, now: Instant) -> bool {
        if !self.is_version_gone {
            return false;
        }
        // An open call may still execute, so a non-repeatable request waits until it ends.
        let has_not_run = self.ran == Ran::No && self.attempts.is_empty();
        let median = self.service_state.quantile(0.5).unwrap_or_default();
        (self.limits.is_repeatable || has_not_run)
            && self.limits.time_left(now) > median.max(ROUND_TRIP)
    }

    fn has_min_share(&self) -> bool {
        let covered = self
            .tasks
            .iter()
            .filter(|task| matches!(task.state, State::Covered(_)))
            .count();
        covered > 0 && covered as f64 / self.tasks.len() as f64 >= self.coverage.min_share
    }

    fn may_answer_early(&self, now: Instant) -> bool {
        self.waiting_shards > 0 && self.early_at.is_some_and(|at| now >= at) && self.has_min_share()
    }

    fn give_up<U: Upstreams>(&mut self, reason: Reason, context: &mut Context<'_, U, R>) {
        for task in &mut self.tasks {
            if task.is_waiting() {
                task.state = State::Missing(reason);
            }
        }
        self.waiting_shards = 0;
        self.cancel_all(context);
    }

    fn cancel_all<U: Upstreams>(&mut self, context: &mut Context<'_, U, R>) {
        for attempt_id in std::mem::take(&mut self.attempts).into_keys() {
            self.ran = self.ran.and(Ran::Unknown);
            context.actions.push(Action::Cancel(attempt_id));
        }
    }
}
