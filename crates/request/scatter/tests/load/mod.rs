//! A day's load in passed-in time: callers, one host's decisions, and servers with slots.
//!
//! The host decides by the real query, directory of servers, budget and
//! outlook. Servers execute two requests at once and keep twelve waiting, as
//! those of the users' shards do.

// The lint allows it in tests, but does not see that helpers belong to them.
#![allow(clippy::unwrap_used)]

use {
    kind::Ran,
    link::{Evidence, Refusal},
    plan::Reason,
    rand::{rngs::StdRng, Rng, SeedableRng},
    replica::{Entry, Place, ReplicaKey, Standing, StatedLoad, Want, Works},
    routing::ServiceName,
    scatter::{
        Action, Allowance, Call, Candidate, Event, Extras, Failure, Outlook, Plan, Query, Replicas,
    },
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap, VecDeque},
        sync::Arc,
        time::{Duration, Instant},
    },
};

const SLOTS: usize = 2;
const QUEUE: usize = 12;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) name: &'static str,
    pub(crate) per_second: f64,
    pub(crate) work_ms: f64,
    pub(crate) target: Duration,
    pub(crate) deadline: Duration,
    pub(crate) min_share: f64,
}

/// What callers of a kind got.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Got {
    pub(crate) asked: usize,
    /// Answered within the target, from the attempt that was served.
    pub(crate) in_time: usize,
    /// Of these, after a refusal.
    pub(crate) returned: usize,
    pub(crate) late: usize,
    pub(crate) failed: usize,
    /// Refused at the last attempt.
    pub(crate) refused: usize,
    /// Attempts that were refused, with the longest time that it took.
    pub(crate) refusals: usize,
}

/// What happens at a time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Due {
    Arrive { kind: usize, tries: usize },
    Done { server: usize },
    Wake { query: u64 },
}

#[derive(Clone, Debug)]
struct Job {
    query: u64,
    attempt: u64,
    number: u64,
    kind: usize,
    began: Instant,
}

#[derive(Default)]
struct Server {
    key: ReplicaKey,
    slowness: f64,
    running: VecDeque<(Instant, Job)>,
    waiting: VecDeque<Job>,
}

struct Asked {
    query: Query<ReplicaKey, ()>,
    kind: usize,
    tries: usize,
    began: Instant,
}

struct View<'a> {
    replicas: &'a replica::Replicas,
    extras: &'a mut Extras,
    rng: &'a mut StdRng,
    typical_ms: f64,
}

impl Replicas for View<'_> {
    type Key = ReplicaKey;

    fn pick(
        &mut self,
        service: &ServiceName,
        tried: &[ReplicaKey],
        _: usize,
        now: Instant,
    ) -> Option<Candidate<ReplicaKey>> {
        let want = Want {
            typical_ms: self.typical_ms,
            reserve: self.extras.reserve(service),
        };
        let pick = self
            .replicas
            .pick(service, tried, want, now, &mut *self.rng)?;
        Some(Candidate {
            server: pick.key,
            expected: pick.expected,
            is_free: pick.is_free,
            reaches: 1,
        })
    }

    fn take_extra(&mut self, service: &ServiceName, now: Instant) -> bool {
        self.extras.take(service, now)
    }
}

/// A day in passed-in time.
pub(crate) struct Day {
    kinds: Vec<Kind>,
    shards: Vec<ServiceName>,
    servers: Vec<Server>,
    by_key: HashMap<ReplicaKey, usize>,
    replicas: replica::Replicas,
    works: Works,
    extras: Extras,
    outlook: Outlook,
    has_gate: bool,
    queries: HashMap<u64, Asked>,
    due: BinaryHeap<Reverse<(Instant, u64, Due)>>,
    last: u64,
    rng: StdRng,
    now: Instant,
    /// Begin and end of a burst, and how many times the usual load it is.
    burst: Option<(Instant, Instant, f64)>,
    got: Vec<Got>,
}

impl Day {
    /// Prepares a day on which `slow` of the shards have one server that is eight times slower.
    pub(crate) fn new(kinds: &[Kind], shards: usize, slow: usize, seed: u64) -> Self {
        let now = Instant::now();
        let mut day = Self {
            kinds: kinds.to_vec(),
            shards: (0..shards)
                .map(|n| format!("s{n}").as_str().into())
                .collect(),
            servers: Vec::new(),
            by_key: HashMap::new(),
            replicas: replica::Replicas::new(Place {
                zone: "a".to_owned(),
                regions: HashMap::from([("a".to_owned(), "r".to_owned())]),
            }),
            works: Works::default(),
            extras: Extras::new(
                Allowance {
                    ratio: 0.2,
                    slack: 54.0,
                },
                1,
            ),
            outlook: Outlook::default(),
            has_gate: true,
            queries: HashMap::new(),
            due: BinaryHeap::new(),
            last: 0,
            rng: StdRng::seed_from_u64(seed),
            now,
            burst: None,
            got: vec![Got::default(); kinds.len()],
        };
        for number in 0..shards * 2 {
            let is_slow = number % 2 == 0 && number / 2 < slow;
            day.add_server(number, if is_slow { 8.0 } else { 1.0 });
        }
        day
    }

    fn add_server(&mut self, number: usize, slowness: f64) {
        let service = self.shards[number / 2].clone();
        let id: Arc<str> = format!("server-{number}").as_str().into();
        let entry = Entry {
            id,
            service: service.clone(),
            addr: ([10, 0, 0, 1], 1_000 + number as u16).into(),
            zone: "a".to_owned(),
            slots: SLOTS as u32,
            standing: Standing::Ready,
            cold_for: Duration::ZERO,
            born_ms: Some(1),
        };
        self.replicas.learn(entry, self.now);
        let known: Vec<_> = self.by_key.keys().copied().collect();
        let ready = self.replicas.ready(&service).into_iter();
        let key = ready.into_iter().find(|key| !known.contains(key)).unwrap();
        self.by_key.insert(key, number);
        self.servers.push(Server {
            key,
            slowness,
            ..Server::default()
        });
    }

    /// Plays the day without refusing whole queries.
    pub(crate) fn without_gate(mut self) -> Self {
        self.has_gate = false;
        self
    }

    /// Adds a burst of `factor` times the load after `from`.
    pub(crate) fn with_burst(mut self, from: Duration, length: Duration, factor: f64) -> Self {
        let begin = self.now + from;
        self.burst = Some((begin, begin + length, factor));
        self
    }

    /// Plays `length` of load, and returns what callers got, by kind.
    pub(crate) fn play(mut self, length: Duration) -> Vec<Got> {
        let end = self.now + length;
        for kind in 0..self.kinds.len() {
            self.arrive_later(kind);
        }
        while let Some(Reverse((at, _, due))) = self.due.pop() {
            self.now = at;
            match due {
                Due::Arrive { kind, tries } => {
                    if tries == 0 {
                        if at >= end {
                            continue;
                        }
                        self.got[kind].asked += 1;
                        self.arrive_later(kind);
                    }
                    self.arrive(kind, tries);
                }
                Due::Done { server } => self.done(server),
                Due::Wake { query } => self.tell(query, Event::Wake),
            }
        }
        self.got
    }

    fn at(&mut self, at: Instant, due: Due) {
        self.last += 1;
        self.due.push(Reverse((at, self.last, due)));
    }

    fn arrive_later(&mut self, kind: usize) {
        let is_now = |(begin, end, _): &(Instant, Instant, f64)| (*begin..*end).contains(&self.now);
        let factor = self
            .burst
            .filter(is_now)
            .map_or(1.0, |(_, _, factor)| factor);
        let mean_s = 1.0 / (factor * self.kinds[kind].per_second);
        let pause_s = -mean_s * (1.0 - self.rng.random::<f64>()).ln();
        self.at(
            self.now + Duration::from_secs_f64(pause_s),
            Due::Arrive { kind, tries: 0 },
        );
    }

    fn arrive(&mut self, index: usize, tries: usize) {
        let kind = self.kinds[index];
        if self.has_gate {
            let typical_ms = self.works.typical_ms(kind.name);
            let refused = self.outlook.refusal(
                &self.shards,
                kind.min_share,
                kind.target,
                self.now,
                |shard| self.replicas.delay(shard, typical_ms, self.now),
            );
            if let Some(refusal) = refused {
                self.got[index].refusals += 1;
                if tries == 0 {
                    let again = Due::Arrive {
                        kind: index,
                        tries: 1,
                    };
                    self.at(self.now + refusal.retry_after, again);
                } else {
                    self.got[index].refused += 1;
                }
                return;
            }
        }
        let answer_at = self.now + kind.target - Duration::from_millis(12);
        let plan = Plan {
            deadline: self.now + kind.deadline,
            answer_at,
            in_time_until: answer_at + Duration::from_millis(6),
            late_answer_at: answer_at + kind.target,
            min_share: kind.min_share,
            max_attempts: 2,
            is_repeatable: true,
            hedge_after: Some(Duration::from_millis(15)),
            hedge_until: None,
        };
        let mut query = Query::new(plan, &self.shards);
        let mut view = View {
            replicas: &self.replicas,
            extras: &mut self.extras,
            rng: &mut self.rng,
            typical_ms: self.works.typical_ms(kind.name),
        };
        let actions = query.start(&mut view, self.now);
        self.last += 1;
        let id = self.last;
        let asked = Asked {
            query,
            kind: index,
            tries,
            began: self.now,
        };
        self.queries.insert(id, asked);
        self.carry_out(id, actions, true);
    }

    fn tell(&mut self, id: u64, event: Event<()>) {
        let Some(asked) = self.queries.get_mut(&id) else {
            return;
        };
        let mut view = View {
            replicas: &self.replicas,
            extras: &mut self.extras,
            rng: &mut self.rng,
            typical_ms: self.works.typical_ms(self.kinds[asked.kind].name),
        };
        let actions = asked.query.on_event(event, &mut view, self.now);
        self.carry_out(id, actions, false);
    }

    fn carry_out(&mut self, id: u64, actions: Vec<Action<ReplicaKey>>, is_first: bool) {
        for action in actions {
            match action {
                Action::Finish => return self.finish(id),
                Action::Call(call) => self.call(id, &call, is_first),
            }
        }
        // A refused call may have finished the query on the way.
        if let Some(wake) = self
            .queries
            .get(&id)
            .and_then(|asked| asked.query.next_wake())
        {
            self.at(wake.max(self.now), Due::Wake { query: id });
        }
    }

    fn call(&mut self, id: u64, call: &Call<ReplicaKey>, is_first: bool) {
        let Some(kind) = self.queries.get(&id).map(|asked| asked.kind) else {
            return;
        };
        if is_first {
            self.extras.on_first(&call.service, self.now);
        }
        self.last += 1;
        let job = Job {
            query: id,
            attempt: call.attempt,
            number: self.last,
            kind,
            began: self.now,
        };
        self.replicas
            .on_begin(call.server, job.number, call.expected, self.now);
        let number = self.by_key[&call.server];
        let server = &mut self.servers[number];
        if server.running.len() < SLOTS {
            self.run(number, job);
        } else if server.waiting.len() < QUEUE {
            server.waiting.push_back(job);
        } else {
            self.end(number, &job, Evidence::Refused(Refusal::Shed));
            let failure = Failure {
                reason: Reason::Shed,
                ran: Ran::No,
                has_arrived: true,
            };
            self.tell(id, Event::Failed(call.attempt, failure));
        }
    }

    fn run(&mut self, number: usize, job: Job) {
        // Work that spreads by half around its mean.
        let spread = self.rng.random_range(0.5..1.5);
        let server = &mut self.servers[number];
        let work_ms = self.kinds[job.kind].work_ms * spread * server.slowness;
        let done_at = self.now + Duration::from_secs_f64(work_ms / 1_000.0);
        server.running.push_back((done_at, job));
        self.at(done_at, Due::Done { server: number });
    }

    fn done(&mut self, number: usize) {
        let now = self.now;
        let server = &mut self.servers[number];
        let index = server.running.iter().position(|(at, _)| *at == now);
        let (_, job) = server.running.remove(index.unwrap()).unwrap();
        if let Some(next) = server.waiting.pop_front() {
            self.run(number, next);
        }
        let server = &self.servers[number];
        let load = StatedLoad {
            running: server.running.len() as u32,
            waiting: server.waiting.len() as u32,
        };
        let key = server.key;
        self.end(number, &job, Evidence::Replied(now - job.began));
        self.replicas.on_load(key, load, now);
        self.tell(job.query, Event::Replied(vec![job.attempt], ()));
    }

    fn end(&mut self, number: usize, job: &Job, evidence: Evidence) {
        let name = self.kinds[job.kind].name;
        let typical_ms = self.works.typical_ms(name);
        let key = self.servers[number].key;
        let took = self
            .replicas
            .on_end(key, job.number, evidence, typical_ms, self.now);
        if let Some(took) = took {
            self.works.on_sample(&name.into(), took);
        }
    }

    fn finish(&mut self, id: u64) {
        let Some(asked) = self.queries.remove(&id) else {
            return;
        };
        let took = self.now - asked.began;
        let target = self.kinds[asked.kind].target;
        let got = &mut self.got[asked.kind];
        match asked.query.into_outcome().is_enough {
            true if took <= target => {
                got.in_time += 1;
                got.returned += asked.tries;
            }
            true => got.late += 1,
            false => got.failed += 1,
        }
    }
}
