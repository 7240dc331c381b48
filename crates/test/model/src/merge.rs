//! The pin of a query and the merge of its replies.
//!
//! One query runs over a service whose partitioning changes under it. Replies
//! arrive in any order, crossed with those of other calls, or again after
//! their call has ended; calls are lost, refused, or find their version gone.
//!
//! A query cannot be copied, so a state holds the events that led to it. States
//! are told apart by the calls made so far, how each of them ended, and what
//! was learned; a query depends on nothing else while its time stands still.

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

/// A rule that is replaced by a wrong one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutant {
    /// A reply counts whatever request it states.
    AnyRequest,
    /// A reply counts whatever index version it states.
    AnyVersion,
    /// A reply counts whatever shard it states.
    AnyShard,
    /// A lost call counts as not run.
    LostIsNotRun,
}

/// How large the specification is.
#[derive(Clone, Debug)]
pub struct Merging {
    /// Number of faults that may occur.
    pub faults: u8,
    /// Whether the request may be executed more than once.
    pub is_repeatable: bool,
    /// Rule that is replaced.
    pub mutant: Option<Mutant>,
    started_at: Instant,
    old: Arc<Service>,
    new: Arc<Service>,
}

/// Rows that say which call they were made for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Rows {
    request: RequestId,
    version: IndexVersion,
    shard: ShardId,
}

/// Something that happens to the query.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Happening {
    Reply(AttemptId),
    ReplyAgain(AttemptId),
    OtherRequest(AttemptId),
    OtherVersion(AttemptId),
    OtherShard(AttemptId),
    VersionGone(AttemptId),
    Refused(AttemptId),
    LostBefore(AttemptId),
    LostAfter(AttemptId),
    Learn,
    Deadline,
}

impl Happening {
    /// Returns whether the server said that it did not run the call.
    fn is_refusal(self) -> bool {
        matches!(self, Self::VersionGone(_) | Self::Refused(_))
    }

    fn is_fault(self) -> bool {
        !matches!(
            self,
            Self::Reply(_) | Self::VersionGone(_) | Self::Learn | Self::Deadline
        )
    }
}

/// The events of a query so far.
#[derive(Clone, Debug)]
pub struct State {
    happened: Vec<Happening>,
    digest: u64,
    broken: Option<&'static str>,
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.digest == other.digest
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.digest.hash(state);
    }
}

/// A query as some events have left it.
struct World {
    gather: Gather<Rows>,
    calls: BTreeMap<AttemptId, LeafCall>,
    /// Calls that have ended, with what ended them; nothing for a cancelled one.
    ended: BTreeMap<AttemptId, Option<Happening>>,
    /// Shards whose calls may have run.
    unproven: BTreeSet<ShardId>,
    answer: Option<Answer<Rows>>,
    has_run: bool,
    has_learned: bool,
    faults: u8,
    broken: Option<&'static str>,
}

struct InOrder;

impl Upstreams for InOrder {
    fn pick(&mut self, shard: &Shard, tried: &[ServerAddr], _: Instant) -> Option<ServerAddr> {
        let mut servers = shard.servers.iter().map(|server| server.addr);
        servers.find(|server| !tried.contains(server))
    }
}

impl Merging {
    /// Creates a specification.
    ///
    /// # Errors
    ///
    /// Returns an error if the records of the specification are not valid.
    pub fn new(faults: u8, is_repeatable: bool) -> kind::Result<Self> {
        Ok(Self {
            faults,
            is_repeatable,
            mutant: None,
            started_at: Instant::now(),
            old: service(1, &[OLD])?,
            new: service(2, &[OLD, NEW])?,
        })
    }

    fn begin(&self) -> World {
        let limits = Limits {
            deadline: self.started_at + DEADLINE,
            is_repeatable: self.is_repeatable,
        };
        let pin = Pin::newest(&self.old).expect("a service with an index");
        let mut world = World {
            gather: Gather::new(REQUEST, pin, limits),
            calls: BTreeMap::new(),
            ended: BTreeMap::new(),
            unproven: BTreeSet::new(),
            answer: None,
            has_run: false,
            has_learned: false,
            faults: self.faults,
            broken: None,
        };
        let actions = world.gather.start(&mut InOrder, self.started_at);
        self.carry_out(&mut world, actions);
        world
    }

    fn replay(&self, happened: &[Happening]) -> World {
        let mut world = self.begin();
        for happening in happened {
            self.apply(&mut world, *happening);
        }
        world
    }

    fn apply(&self, world: &mut World, happening: Happening) {
        world.faults -= u8::from(happening.is_fault());
        let mut now = self.started_at;
        let event = match happening {
            Happening::Learn => {
                world.has_learned = true;
                world.gather.learn(Arc::clone(&self.new));
                return;
            }
            Happening::Deadline => {
                now += DEADLINE;
                Event::Wake
            }
            Happening::Reply(attempt) => {
                world.has_run = true;
                self.replied(world, attempt, |_| {})
            }
            Happening::ReplyAgain(attempt) => self.replied(world, attempt, |_| {}),
            Happening::OtherRequest(attempt) => {
                self.replied(world, attempt, |rows| rows.request = OTHER_REQUEST)
            }
            Happening::OtherVersion(attempt) => self.replied(world, attempt, |rows| {
                rows.version = OLD + NEW - rows.version
            }),
            Happening::OtherShard(attempt) => self.replied(world, attempt, |rows| rows.shard += 1),
            Happening::VersionGone(attempt) => {
                let refusal = refusal(Reason::VersionGone, Some(NEW));
                Event::Failed(attempt, LeafFault::Refused(refusal).into())
            }
            Happening::Refused(attempt) => {
                let refusal = refusal(Reason::Shed, None);
                Event::Failed(attempt, LeafFault::Refused(refusal).into())
            }
            Happening::LostBefore(attempt) => Event::Failed(attempt, self.lost()),
            Happening::LostAfter(attempt) => {
                world.has_run = true;
                Event::Failed(attempt, self.lost())
            }
        };
        let ended = match &event {
            Event::Replied(attempt, _) | Event::Failed(attempt, _) => Some(*attempt),
            Event::Wake => None,
        };
        if let Some(attempt) = ended {
            world.end(attempt, happening);
        }
        let actions = world.gather.on_event(event, &mut InOrder, now);
        self.carry_out(world, actions);
    }

    /// Makes the reply of a server; it states truly what its rows are.
    fn replied(
        &self,
        world: &World,
        attempt_id: AttemptId,
        change: impl FnOnce(&mut Rows),
    ) -> Event<Rows> {
        let call = &world.calls[&attempt_id];
        let mut rows = Rows {
            request: REQUEST,
            version: call.index_version,
            shard: call.shard,
        };
        change(&mut rows);
        let mut reply = LeafReply {
            request_id: rows.request,
            attempt_id,
            shard: rows.shard,
            index_version: rows.version,
            rows,
        };
        match self.mutant {
            Some(Mutant::AnyRequest) => reply.request_id = REQUEST,
            Some(Mutant::AnyVersion) => reply.index_version = call.index_version,
            Some(Mutant::AnyShard) => reply.shard = call.shard,
            _ => {}
        }
        Event::Replied(attempt_id, reply)
    }

    fn lost(&self) -> LeafFailure {
        match self.mutant {
            Some(Mutant::LostIsNotRun) => LeafFault::NotWritten.into(),
            _ => LeafFault::LostAfterWrite.into(),
        }
    }

    fn carry_out(&self, world: &mut World, actions: Vec<Action<Rows>>) {
        for action in actions {
            if world.answer.is_some() {
                world.broken = Some("something followed the answer");
            }
            match action {
                Action::Call(call) => {
                    if !self.is_repeatable && world.may_have_run(call.shard) {
                        world.broken = Some("a shard may run a non-repeatable request twice");
                    }
                    world.calls.insert(call.attempt_id, call);
                }
                Action::Cancel(attempt) => {
                    world.ended.entry(attempt).or_insert(None);
                }
                Action::Finish(answer) => {
                    world.broken = world.broken.or(self.judge(world, &answer));
                    world.answer = Some(answer);
                }
            }
        }
    }

    /// Returns the promise that an answer breaks.
    fn judge(&self, world: &World, answer: &Answer<Rows>) -> Option<&'static str> {
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
            return Some("covered shards are not those with rows");
        }
        let missing = answer.coverage.missing.iter().map(|m| m.shard);
        let mut stated: Vec<_> = with_rows.iter().copied().chain(missing).collect();
        stated.sort_unstable();
        if stated != self.map_of(answer.version) {
            return Some("covered and missing shards are not the map of the snapshot");
        }
        if world.has_run && answer.ran == Ran::No {
            return Some("the answer says 'not run' of a request that ran");
        }
        None
    }

    fn map_of(&self, version: IndexVersion) -> Vec<ShardId> {
        let index = self.new.indexes.iter().find(|i| i.version == version);
        let shards = index.map_or(&[][..], |index| &index.shards);
        shards.iter().map(|shard| shard.id).collect()
    }

    fn digest(&self, world: &World) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{:?}{:?}", world.calls, world.answer).hash(&mut hasher);
        (&world.ended, &world.unproven).hash(&mut hasher);
        (world.has_run, world.has_learned).hash(&mut hasher);
        (world.faults, world.broken).hash(&mut hasher);
        hasher.finish()
    }
}

impl World {
    fn open(&self) -> Vec<AttemptId> {
        let is_open = |attempt: &&AttemptId| !self.ended.contains_key(attempt);
        self.calls.keys().filter(is_open).copied().collect()
    }

    /// Notes what ended a call; what comes after that changes nothing.
    fn end(&mut self, attempt: AttemptId, happening: Happening) {
        if self.ended.contains_key(&attempt) {
            return;
        }
        self.ended.insert(attempt, Some(happening));
        if !happening.is_refusal() {
            self.unproven.insert(self.calls[&attempt].shard);
        }
    }

    /// Returns whether a call to the shard ran, or ended without proof that it did not.
    fn may_have_run(&self, shard: ShardId) -> bool {
        self.unproven.contains(&shard)
    }

    /// Returns everything that may happen next.
    fn possible(&self) -> Vec<Happening> {
        let mut possible = Vec::new();
        for attempt in self.open() {
            possible.extend([
                Happening::Reply(attempt),
                Happening::VersionGone(attempt),
                Happening::OtherRequest(attempt),
                Happening::OtherVersion(attempt),
                Happening::OtherShard(attempt),
                Happening::Refused(attempt),
                Happening::LostBefore(attempt),
                Happening::LostAfter(attempt),
            ]);
        }
        // A server that has refused a call does not reply to it later.
        let may_reply = |by: &Option<Happening>| by.is_none_or(|by| !by.is_refusal());
        let ended = self.ended.iter().filter(|(_, by)| may_reply(by));
        possible.extend(ended.map(|(attempt, _)| Happening::ReplyAgain(*attempt)));
        if !self.has_learned {
            possible.push(Happening::Learn);
        }
        if self.answer.is_none() {
            possible.push(Happening::Deadline);
        }
        possible.retain(|happening| self.faults > 0 || !happening.is_fault());
        possible
    }
}

impl Model for Merging {
    type State = State;

    fn start(&self) -> State {
        let world = self.begin();
        State {
            happened: Vec::new(),
            digest: self.digest(&world),
            broken: world.broken,
        }
    }

    fn next(&self, state: &State) -> Vec<Step<State>> {
        let possible = self.replay(&state.happened).possible();
        let step = |happening: Happening| {
            let mut happened = state.happened.clone();
            happened.push(happening);
            let world = self.replay(&happened);
            Step {
                label: format!("{happening:?}"),
                state: State {
                    happened,
                    digest: self.digest(&world),
                    broken: world.broken,
                },
            }
        };
        possible.into_iter().map(step).collect()
    }

    fn broken(&self, state: &State) -> Option<&'static str> {
        state.broken
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

/// Builds a service whose old index has two shards and whose new one has three.
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
