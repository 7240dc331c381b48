//! The pinned snapshot of a query and the merge of its replies.
//!
//! One query runs over a service whose partitioning changes meanwhile. Replies
//! arrive in any order, mixed up with those of other calls, or again after
//! their call has ended. Calls are lost or refused, or their index version is
//! no longer served.
//!
//! A query cannot be cloned, so a state holds the events that led to it and
//! replays them. States are compared by a digest of the calls made so far, how
//! each of them ended, and whether the new service is known; at a fixed time, a
//! query depends on nothing else.

use {
    crate::{Model, Step},
    kind::Ran,
    plan::{
        Action, Answer, AttemptId, Event, Gather, LeafCall, LeafFailure, LeafFault, LeafReply,
        Limits, Pin, Reason, Refusal, RequestId, Upstreams,
    },
    record::{IndexVersion, Record, ServerAddr, Service, Shard, ShardId},
    std::{
        collections::{BTreeMap, BTreeSet},
        hash::{DefaultHasher, Hash, Hasher},
        sync::Arc,
        time::{Duration, Instant},
    },
};

const REQUEST: RequestId = 1;
const OTHER_REQUEST: RequestId = 2;
const OLD: IndexVersion = 1;
const NEW: IndexVersion = 2;
const DEADLINE: Duration = Duration::from_secs(1);

/// A wrong rule that replaces the right one; the search must detect it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutant {
    /// A reply is accepted whatever request it states.
    IgnoreRequestId,
    /// A reply is accepted whatever index version it states.
    IgnoreIndexVersion,
    /// A reply is accepted whatever shard it states.
    IgnoreShard,
    /// A lost call is taken as not run.
    LostMeansNotRun,
}

/// Parameters of the model.
#[derive(Clone, Debug)]
pub struct MergeModel {
    /// Maximum number of faults.
    pub max_faults: u8,
    /// Whether the request may be executed more than once.
    pub is_repeatable: bool,
    /// Wrong rule in force, if any.
    pub mutant: Option<Mutant>,
    started_at: Instant,
    /// Service before and after its partitioning changes.
    old: Arc<Service>,
    new: Arc<Service>,
}

/// Stand-in for result rows, identifying the call that produced them.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Rows {
    request: RequestId,
    version: IndexVersion,
    shard: ShardId,
}

/// An event of the query in the model.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum QueryEvent {
    Reply(AttemptId),
    DuplicateReply(AttemptId),
    ReplyToOtherRequest(AttemptId),
    ReplyOfOtherVersion(AttemptId),
    ReplyOfOtherShard(AttemptId),
    VersionGone(AttemptId),
    Refused(AttemptId),
    LostBeforeRun(AttemptId),
    LostAfterRun(AttemptId),
    LearnNewService,
    Deadline,
}

impl QueryEvent {
    /// Returns whether the server refused the call without running it.
    fn is_refusal(self) -> bool {
        matches!(self, Self::VersionGone(_) | Self::Refused(_))
    }

    fn is_fault(self) -> bool {
        !matches!(
            self,
            Self::Reply(_) | Self::VersionGone(_) | Self::LearnNewService | Self::Deadline
        )
    }
}

/// The events of a query so far, with a digest of the state that they lead to.
#[derive(Clone, Debug)]
pub struct State {
    events: Vec<QueryEvent>,
    digest: u64,
    violation: Option<&'static str>,
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.digest == other.digest
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.digest.hash(hasher);
    }
}

/// A running query after a sequence of events.
struct RunningQuery {
    gather: Gather<Rows>,
    calls: BTreeMap<AttemptId, LeafCall>,
    /// Calls that have ended, with the event that ended them; `None` if cancelled.
    ended: BTreeMap<AttemptId, Option<QueryEvent>>,
    /// Shards with an ended call that may have run.
    maybe_run: BTreeSet<ShardId>,
    answer: Option<Answer<Rows>>,
    has_run: bool,
    knows_new_service: bool,
    faults_left: u8,
    violation: Option<&'static str>,
}

/// Picks the servers of a shard in the order of the record.
struct InOrder;

impl Upstreams for InOrder {
    fn pick(&mut self, shard: &Shard, tried: &[ServerAddr], _: Instant) -> Option<ServerAddr> {
        let mut servers = shard.servers.iter().map(|server| server.addr);
        servers.find(|server| !tried.contains(server))
    }
}

impl MergeModel {
    /// Creates a model.
    ///
    /// # Errors
    ///
    /// Returns an error if the records of the model are not valid.
    pub fn new(max_faults: u8, is_repeatable: bool) -> kind::Result<Self> {
        Ok(Self {
            max_faults,
            is_repeatable,
            mutant: None,
            started_at: Instant::now(),
            old: service(1, &[OLD])?,
            new: service(2, &[OLD, NEW])?,
        })
    }

    fn start_query(&self) -> RunningQuery {
        let limits = Limits {
            deadline: self.started_at + DEADLINE,
            is_repeatable: self.is_repeatable,
        };
        let pin = Pin::newest(&self.old).expect("a service with an index");
        let mut query = RunningQuery {
            gather: Gather::new(REQUEST, pin, limits),
            calls: BTreeMap::new(),
            ended: BTreeMap::new(),
            maybe_run: BTreeSet::new(),
            answer: None,
            has_run: false,
            knows_new_service: false,
            faults_left: self.max_faults,
            violation: None,
        };
        let actions = query.gather.start(&mut InOrder, self.started_at);
        self.apply_actions(&mut query, actions);
        query
    }

    fn replay(&self, events: &[QueryEvent]) -> RunningQuery {
        let mut query = self.start_query();
        for query_event in events {
            self.apply(&mut query, *query_event);
        }
        query
    }

    fn apply(&self, query: &mut RunningQuery, query_event: QueryEvent) {
        query.faults_left -= u8::from(query_event.is_fault());
        let mut now = self.started_at;
        let event = match query_event {
            QueryEvent::LearnNewService => {
                query.knows_new_service = true;
                query.gather.learn(Arc::clone(&self.new));
                return;
            }
            QueryEvent::Deadline => {
                now += DEADLINE;
                Event::Wake
            }
            QueryEvent::Reply(attempt) => {
                query.has_run = true;
                self.reply_event(query, attempt, |_| {})
            }
            QueryEvent::DuplicateReply(attempt) => self.reply_event(query, attempt, |_| {}),
            QueryEvent::ReplyToOtherRequest(attempt) => {
                self.reply_event(query, attempt, |rows| rows.request = OTHER_REQUEST)
            }
            QueryEvent::ReplyOfOtherVersion(attempt) => self.reply_event(query, attempt, |rows| {
                rows.version = OLD + NEW - rows.version
            }),
            QueryEvent::ReplyOfOtherShard(attempt) => {
                self.reply_event(query, attempt, |rows| rows.shard += 1)
            }
            QueryEvent::VersionGone(attempt) => {
                let refusal = refusal(Reason::VersionGone, Some(NEW));
                Event::Failed(attempt, LeafFault::Refused(refusal).into())
            }
            QueryEvent::Refused(attempt) => {
                let refusal = refusal(Reason::Shed, None);
                Event::Failed(attempt, LeafFault::Refused(refusal).into())
            }
            QueryEvent::LostBeforeRun(attempt) => Event::Failed(attempt, self.lost_call_failure()),
            QueryEvent::LostAfterRun(attempt) => {
                query.has_run = true;
                Event::Failed(attempt, self.lost_call_failure())
            }
        };
        let ended = match &event {
            Event::Replied(attempt, _) | Event::Failed(attempt, _) => Some(*attempt),
            Event::Wake => None,
        };
        if let Some(attempt) = ended {
            query.end_call(attempt, query_event);
        }
        let actions = query.gather.on_event(event, &mut InOrder, now);
        self.apply_actions(query, actions);
    }

    /// Builds the reply of a server; its header matches its rows unless a mutant rewrites it.
    fn reply_event(
        &self,
        query: &RunningQuery,
        attempt_id: AttemptId,
        alter: impl FnOnce(&mut Rows),
    ) -> Event<Rows> {
        let call = &query.calls[&attempt_id];
        let mut rows = Rows {
            request: REQUEST,
            version: call.index_version,
            shard: call.shard,
        };
        alter(&mut rows);
        let mut reply = LeafReply {
            request_id: rows.request,
            attempt_id,
            shard: rows.shard,
            index_version: rows.version,
            rows,
        };
        match self.mutant {
            Some(Mutant::IgnoreRequestId) => reply.request_id = REQUEST,
            Some(Mutant::IgnoreIndexVersion) => reply.index_version = call.index_version,
            Some(Mutant::IgnoreShard) => reply.shard = call.shard,
            _ => {}
        }
        Event::Replied(attempt_id, reply)
    }

    fn lost_call_failure(&self) -> LeafFailure {
        match self.mutant {
            Some(Mutant::LostMeansNotRun) => LeafFault::NotWritten.into(),
            _ => LeafFault::LostAfterWrite.into(),
        }
    }

    fn apply_actions(&self, query: &mut RunningQuery, actions: Vec<Action<Rows>>) {
        for action in actions {
            if query.answer.is_some() {
                query.violation = Some("an action followed the answer");
            }
            match action {
                Action::Call(call) => {
                    if !self.is_repeatable && query.may_have_run(call.shard) {
                        query.violation = Some("a shard may run a non-repeatable request twice");
                    }
                    query.calls.insert(call.attempt_id, call);
                }
                Action::Cancel(attempt) => {
                    query.ended.entry(attempt).or_insert(None);
                }
                Action::Finish(answer) => {
                    query.violation = query
                        .violation
                        .or(self.invariant_violated_by(query, &answer));
                    query.answer = Some(answer);
                }
            }
        }
    }

    /// Returns the invariant that an answer violates.
    fn invariant_violated_by(
        &self,
        query: &RunningQuery,
        answer: &Answer<Rows>,
    ) -> Option<&'static str> {
        for row in &answer.rows {
            if row.rows.request != REQUEST {
                return Some("rows of another request are in the answer");
            }
            if row.rows.version != answer.version {
                return Some("rows of another snapshot are in the answer");
            }
            if row.rows.shard != row.shard {
                return Some("rows of another shard are in the answer");
            }
        }
        let with_rows: Vec<_> = answer.rows.iter().map(|row| row.shard).collect();
        if with_rows != answer.coverage.covered {
            return Some("covered shards are not the shards with rows");
        }
        let missing = answer.coverage.missing.iter().map(|m| m.shard);
        let mut reported: Vec<_> = with_rows.iter().copied().chain(missing).collect();
        reported.sort_unstable();
        if reported != self.shards_of(answer.version) {
            return Some("covered and missing shards are not the shards of the snapshot");
        }
        if query.has_run && answer.ran == Ran::No {
            return Some("the answer reports a request that ran as 'not run'");
        }
        None
    }

    fn shards_of(&self, version: IndexVersion) -> Vec<ShardId> {
        let index = self.new.indexes.iter().find(|i| i.version == version);
        let shards = index.map_or(&[][..], |index| &index.shards);
        shards.iter().map(|shard| shard.id).collect()
    }

    fn digest(&self, query: &RunningQuery) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{:?}{:?}", query.calls, query.answer).hash(&mut hasher);
        (&query.ended, &query.maybe_run).hash(&mut hasher);
        (query.has_run, query.knows_new_service).hash(&mut hasher);
        (query.faults_left, query.violation).hash(&mut hasher);
        hasher.finish()
    }
}

impl RunningQuery {
    fn open_calls(&self) -> Vec<AttemptId> {
        let is_open = |attempt: &&AttemptId| !self.ended.contains_key(attempt);
        self.calls.keys().filter(is_open).copied().collect()
    }

    /// Records the event that ended a call; later events for the call are ignored.
    fn end_call(&mut self, attempt: AttemptId, query_event: QueryEvent) {
        if self.ended.contains_key(&attempt) {
            return;
        }
        self.ended.insert(attempt, Some(query_event));
        if !query_event.is_refusal() {
            self.maybe_run.insert(self.calls[&attempt].shard);
        }
    }

    /// Returns whether an ended call to the shard may have run.
    fn may_have_run(&self, shard: ShardId) -> bool {
        self.maybe_run.contains(&shard)
    }

    /// Returns every event that is possible next.
    fn possible_events(&self) -> Vec<QueryEvent> {
        let mut possible = Vec::new();
        for attempt in self.open_calls() {
            possible.extend([
                QueryEvent::Reply(attempt),
                QueryEvent::VersionGone(attempt),
                QueryEvent::ReplyToOtherRequest(attempt),
                QueryEvent::ReplyOfOtherVersion(attempt),
                QueryEvent::ReplyOfOtherShard(attempt),
                QueryEvent::Refused(attempt),
                QueryEvent::LostBeforeRun(attempt),
                QueryEvent::LostAfterRun(attempt),
            ]);
        }
        // A server that refused a call does not reply to it later.
        let may_reply = |by: &Option<QueryEvent>| by.is_none_or(|by| !by.is_refusal());
        let ended = self.ended.iter().filter(|(_, by)| may_reply(by));
        possible.extend(ended.map(|(attempt, _)| QueryEvent::DuplicateReply(*attempt)));
        if !self.knows_new_service {
            possible.push(QueryEvent::LearnNewService);
        }
        if self.answer.is_none() {
            possible.push(QueryEvent::Deadline);
        }
        possible.retain(|query_event| self.faults_left > 0 || !query_event.is_fault());
        possible
    }
}

impl Model for MergeModel {
    type State = State;

    fn initial_state(&self) -> State {
        let query = self.start_query();
        State {
            events: Vec::new(),
            digest: self.digest(&query),
            violation: query.violation,
        }
    }

    fn steps(&self, state: &State) -> Vec<Step<State>> {
        let possible_events = self.replay(&state.events).possible_events();
        let step = |query_event: QueryEvent| {
            let mut events = state.events.clone();
            events.push(query_event);
            let query = self.replay(&events);
            Step {
                label: format!("{query_event:?}"),
                state: State {
                    events,
                    digest: self.digest(&query),
                    violation: query.violation,
                },
            }
        };
        possible_events.into_iter().map(step).collect()
    }

    fn violated_invariant(&self, state: &State) -> Option<&'static str> {
        state.violation
    }
}

fn refusal(reason: Reason, newest_version: Option<IndexVersion>) -> Refusal {
    Refusal {
        reason,
        ran: Ran::No,
        echoes_ids: true,
        newest_version,
    }
}

/// Builds a service with the given indexes; the old one has two shards, the new one three.
fn service(version: u32, indexes: &[IndexVersion]) -> kind::Result<Arc<Service>> {
    let shard = |index: IndexVersion, id: u64| {
        format!(
            r#"{{"id":{id},"servers":[{{"addr":"10.0.{index}.{id}:1","zone":"a"}},
            {{"addr":"10.1.{index}.{id}:1","zone":"b"}}]}}"#
        )
    };
    let index = |index: &IndexVersion| {
        let shards: Vec<_> = (0..=*index).map(|id| shard(*index, id)).collect();
        format!(r#"{{"version":{index},"shards":[{}]}}"#, shards.join(","))
    };
    let indexes: Vec<_> = indexes.iter().map(index).collect();
    let text = format!(
        r#"{{"schema_version":2,"name":"s","version":{version},"service":{{
        "connection_limit":25,"slots":2,"indexes":[{}]}}}}"#,
        indexes.join(",")
    );
    match Record::from_json(&text)? {
        Record::Service(service) => Ok(Arc::new(service)),
        Record::Route(_) => Err(kind::Error::new(kind::Kind::Internal, "not a service")),
    }
}
