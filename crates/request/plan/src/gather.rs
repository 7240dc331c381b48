//! The life of one query: calls to every shard and the merge of their replies.

use {
    crate::{AttemptId, CoverageReport, MissingShard, Pin, Reason, RequestId},
    kind::Ran,
    record::{IndexVersion, ServerAddr, Shard, ShardId},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Most calls that one shard gets within one query.
const MAX_ATTEMPTS_PER_SHARD: usize = 3;

/// What bounds a query.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time by which the query ends.
    pub deadline: Instant,
    /// Whether the request may be executed more than once.
    pub is_repeatable: bool,
}

/// What a query needs to know about upstreams.
pub trait Upstreams {
    /// Picks a server of `shard` for the next call, leaving out those `tried` where possible.
    fn pick(&mut self, shard: &Shard, tried: &[ServerAddr], now: Instant) -> Option<ServerAddr>;
}

/// One call to one server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeafCall {
    /// Identifier of the call.
    pub attempt_id: AttemptId,
    /// Shard to search.
    pub shard: ShardId,
    /// Server to call.
    pub server: ServerAddr,
    /// Index version to use.
    pub index_version: IndexVersion,
    /// Time that is left for the call.
    pub time_left: Duration,
}

/// The reply of a server, with what it says about itself.
#[derive(Clone, Debug)]
pub struct LeafReply<R> {
    /// Request that the server answered.
    pub request_id: RequestId,
    /// Call that the server answered.
    pub attempt_id: AttemptId,
    /// Shard that the server searched.
    pub shard: ShardId,
    /// Index version that the server used.
    pub index_version: IndexVersion,
    /// Rows found.
    pub rows: R,
}

/// A call that brought no usable reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeafFailure {
    /// Why there is no reply.
    pub reason: Reason,
    /// Whether the server executed the call.
    pub ran: Ran,
    /// Newest index version that the server holds, if it said so.
    pub newest_version: Option<IndexVersion>,
}

/// What happened to a query.
#[derive(Clone, Debug)]
pub enum Event<R> {
    /// A reply arrived on the connection of a call.
    Replied(AttemptId, LeafReply<R>),
    /// A call failed.
    Failed(AttemptId, LeafFailure),
    /// Time has passed.
    Wake,
}

/// What a query wants done.
#[derive(Clone, Debug)]
pub enum Action<R> {
    /// Make a call.
    Call(LeafCall),
    /// Stop a call whose reply is not needed any more.
    Cancel(AttemptId),
    /// Answer the caller; nothing follows.
    Finish(Answer<R>),
}

/// Rows of one shard.
#[derive(Clone, Debug)]
pub struct ShardRows<R> {
    /// Number of the shard.
    pub shard: ShardId,
    /// Rows found.
    pub rows: R,
}

/// The end of a query.
#[derive(Clone, Debug)]
pub struct Answer<R> {
    /// Index version that every row comes from.
    pub version: IndexVersion,
    /// What the answer covers.
    pub coverage: CoverageReport,
    /// Rows, by rising shard number.
    pub rows: Vec<ShardRows<R>>,
    /// Whether the request was executed anywhere.
    pub ran: Ran,
}

#[derive(Debug)]
enum State<R> {
    Waiting,
    Covered(R),
    Missing(Reason),
}

#[derive(Debug)]
struct ShardWork<R> {
    state: State<R>,
    tried: Vec<ServerAddr>,
    open: Vec<AttemptId>,
}

/// One query over every shard of its pin.
#[derive(Debug)]
pub struct Gather<R> {
    request_id: RequestId,
    pin: Pin,
    limits: Limits,
    shards: Vec<ShardWork<R>>,
    attempts: HashMap<AttemptId, usize>,
    next_attempt_id: AttemptId,
    ran: Ran,
    is_finished: bool,
}

impl<R> Gather<R> {
    /// Creates the query; [`Gather::start`] makes its first calls.
    pub fn new(request_id: RequestId, pin: Pin, limits: Limits) -> Self {
        let shards = pin
            .index()
            .shards
            .iter()
            .map(|_| ShardWork::new())
            .collect();
        Self {
            request_id,
            pin,
            limits,
            shards,
            attempts: HashMap::new(),
            next_attempt_id: 1,
            ran: Ran::No,
            is_finished: false,
        }
    }

    /// Calls one server of every shard.
    pub fn start<U: Upstreams>(&mut self, upstreams: &mut U, now: Instant) -> Vec<Action<R>> {
        let mut actions = Vec::with_capacity(self.shards.len());
        for position in 0..self.shards.len() {
            self.call(position, Reason::Unreachable, upstreams, now, &mut actions);
        }
        self.finish_if_done(&mut actions);
        actions
    }

    /// Takes an event and returns what follows from it.
    pub fn on_event<U: Upstreams>(
        &mut self,
        event: Event<R>,
        upstreams: &mut U,
        now: Instant,
    ) -> Vec<Action<R>> {
        let mut actions = Vec::new();
        if self.is_finished {
            return actions;
        }
        match event {
            Event::Replied(attempt_id, reply) => {
                self.on_reply(attempt_id, reply, upstreams, now, &mut actions);
            }
            Event::Failed(attempt_id, failure) => {
                self.on_failure(attempt_id, failure, upstreams, now, &mut actions);
            }
            Event::Wake => {}
        }
        if now >= self.limits.deadline {
            self.give_up(Reason::Deadline, &mut actions);
        }
        self.finish_if_done(&mut actions);
        actions
    }

    /// Returns when the query next needs [`Event::Wake`].
    pub fn next_wake(&self) -> Option<Instant> {
        (!self.is_finished).then_some(self.limits.deadline)
    }

    fn on_reply<U: Upstreams>(
        &mut self,
        attempt_id: AttemptId,
        reply: LeafReply<R>,
        upstreams: &mut U,
        now: Instant,
        actions: &mut Vec<Action<R>>,
    ) {
        let Some(position) = self.attempts.get(&attempt_id).copied() else {
            return;
        };
        if !self.belongs(attempt_id, position, &reply) {
            let failure = LeafFailure {
                reason: Reason::Mismatch,
                ran: Ran::Unknown,
                newest_version: None,
            };
            self.on_failure(attempt_id, failure, upstreams, now, actions);
            return;
        }
        self.attempts.remove(&attempt_id);
        self.ran = Ran::Yes;
        let work = &mut self.shards[position];
        work.state = State::Covered(reply.rows);
        for open in std::mem::take(&mut work.open) {
            if self.attempts.remove(&open).is_some() {
                actions.push(Action::Cancel(open));
            }
        }
    }

    fn belongs(&self, attempt_id: AttemptId, position: usize, reply: &LeafReply<R>) -> bool {
        reply.request_id == self.request_id
            && reply.attempt_id == attempt_id
            && reply.shard == self.pin.index().shards[position].id
            && reply.index_version == self.pin.version()
    }

    fn on_failure<U: Upstreams>(
        &mut self,
        attempt_id: AttemptId,
        failure: LeafFailure,
        upstreams: &mut U,
        now: Instant,
        actions: &mut Vec<Action<R>>,
    ) {
        let Some(position) = self.attempts.remove(&attempt_id) else {
            return;
        };
        if failure.ran != Ran::No {
            self.ran = self.ran.and(failure.ran);
        }
        let work = &mut self.shards[position];
        work.open.retain(|open| *open != attempt_id);
        if !work.open.is_empty() {
            return;
        }
        if self.may_retry(position, failure) {
            self.call(position, failure.reason, upstreams, now, actions);
        } else {
            self.shards[position].state = State::Missing(failure.reason);
        }
    }

    fn may_retry(&self, position: usize, failure: LeafFailure) -> bool {
        let is_allowed = self.limits.is_repeatable || failure.ran == Ran::No;
        is_allowed && self.shards[position].tried.len() < MAX_ATTEMPTS_PER_SHARD
    }

    fn call<U: Upstreams>(
        &mut self,
        position: usize,
        reason: Reason,
        upstreams: &mut U,
        now: Instant,
        actions: &mut Vec<Action<R>>,
    ) {
        let shard = &self.pin.index().shards[position];
        let work = &mut self.shards[position];
        let Some(server) = upstreams.pick(shard, &work.tried, now) else {
            work.state = State::Missing(reason);
            return;
        };
        let attempt_id = self.next_attempt_id;
        self.next_attempt_id += 1;
        work.tried.push(server);
        work.open.push(attempt_id);
        self.attempts.insert(attempt_id, position);
        actions.push(Action::Call(LeafCall {
            attempt_id,
            shard: shard.id,
            server,
            index_version: self.pin.version(),
            time_left: self.limits.deadline.saturating_duration_since(now),
        }));
    }

    fn give_up(&mut self, reason: Reason, actions: &mut Vec<Action<R>>) {
        for work in &mut self.shards {
            if matches!(work.state, State::Waiting) {
                work.state = State::Missing(reason);
                work.open.clear();
            }
        }
        for (attempt_id, _) in self.attempts.drain() {
            self.ran = self.ran.and(Ran::Unknown);
            actions.push(Action::Cancel(attempt_id));
        }
    }

    fn finish_if_done(&mut self, actions: &mut Vec<Action<R>>) {
        let is_done = !self
            .shards
            .iter()
            .any(|w| matches!(w.state, State::Waiting));
        if self.is_finished || !is_done {
            return;
        }
        self.is_finished = true;
        actions.push(Action::Finish(self.answer()));
    }

    fn answer(&mut self) -> Answer<R> {
        let mut coverage = CoverageReport::default();
        let mut rows = Vec::new();
        let works = std::mem::take(&mut self.shards);
        for (shard, work) in self.pin.index().shards.iter().zip(works) {
            match work.state {
                State::Covered(found) => {
                    coverage.covered.push(shard.id);
                    rows.push(ShardRows {
                        shard: shard.id,
                        rows: found,
                    });
                }
                State::Waiting => coverage.missing.push(missing(shard, Reason::NotAwaited)),
                State::Missing(reason) => coverage.missing.push(missing(shard, reason)),
            }
        }
        Answer {
            version: self.pin.version(),
            coverage,
            rows,
            ran: self.ran,
        }
    }
}

impl<R> ShardWork<R> {
    fn new() -> Self {
        Self {
            state: State::Waiting,
            tried: Vec::new(),
            open: Vec::new(),
        }
    }
}

fn missing(shard: &Shard, reason: Reason) -> MissingShard {
    let mut zones: Vec<_> = shard.servers.iter().map(|s| s.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    MissingShard {
        shard: shard.id,
        reason,
        zones,
    }
}
