//! Real queries against small fake servers, by a clock of its own.
//!
//! Time is that of the next event and every draw has a seed, so the figures
//! are the same on every run and every machine.

use {
    kind::Ran,
    plan::{
        Action, AttemptId, Cause, Event, Gather, Group, LeafCall, LeafFailure, LeafReply, Limits,
        Pin, Reason, RequestId, Upstreams,
    },
    rand::{rngs::StdRng, Rng, SeedableRng},
    record::{Hedge, Index, Server, ServerAddr, Service, Shard},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap, VecDeque},
        net::Ipv4Addr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const SHARDS: u32 = 20;
const REPLICAS: u32 = 2;
const SLOTS: u32 = 2;
const QUEUE_LIMIT: usize = 16;
const MEAN_MS: f64 = 8.0;
const HOP: Duration = Duration::from_micros(1_500);
const DEADLINE: Duration = Duration::from_secs(1);
/// Whole queries that run at once; the others wait for their turn.
const WINDOW: usize = 16;
/// Whole queries that wait; further ones are refused.
const MAX_WAITING: usize = 100;
const FIRST_PORT: u16 = 1_000;

/// Queries a second that the servers can do.
pub(crate) const CAPACITY_PER_S: f64 = (REPLICAS * SLOTS) as f64 * 1_000.0 / MEAN_MS;

/// What is simulated.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    pub(crate) load_share: f64,
    pub(crate) time: Duration,
    /// Every how manieth server is slow; 0 for none.
    pub(crate) slow_every: u32,
    pub(crate) slow_factor: f64,
    /// Whether no server can be reached from half of the time on.
    pub(crate) is_outage: bool,
    pub(crate) hedge: Hedge,
}

/// What came out.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    pub(crate) latencies: Vec<Duration>,
    pub(crate) refused: usize,
    pub(crate) incomplete: usize,
    /// Calls by cause, in the order of [`Cause::ALL`].
    pub(crate) calls: [usize; 4],
    /// Calls by cause since the outage began.
    pub(crate) outage_calls: [usize; 4],
}

impl Report {
    pub(crate) fn quantile_ms(&self, quantile: f64) -> f64 {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        let rank = ((sorted.len() - 1) as f64 * quantile).round() as usize;
        sorted[rank].as_secs_f64() * 1_000.0
    }
}

/// Returns the extra calls as a share of the first ones.
pub(crate) fn extra_share(calls: &[usize; 4]) -> f64 {
    calls[1..].iter().sum::<usize>() as f64 / calls[0].max(1) as f64
}

/// Name of a call: its query and its attempt.
type Name = (RequestId, AttemptId);

#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Happening {
    Arrive,
    Reach(Name),
    Cancelled(Name),
    Done(Name),
    Return(Name),
    Wake(RequestId),
}

#[derive(Default)]
struct FakeServer {
    running: Vec<Name>,
    queue: VecDeque<Name>,
}

struct Query {
    gather: Gather<()>,
    arrived: Duration,
    calls: BTreeMap<AttemptId, LeafCall>,
    wake: Option<Duration>,
}

/// Picks any server that was not tried.
struct AnyServer(StdRng);

impl Upstreams for AnyServer {
    fn pick(&mut self, shard: &Shard, tried: &[ServerAddr], _: Instant) -> Option<ServerAddr> {
        let addrs = || shard.servers.iter().map(|server| server.addr);
        let fresh: Vec<_> = addrs().filter(|addr| !tried.contains(addr)).collect();
        let choice: Vec<_> = if fresh.is_empty() {
            addrs().collect()
        } else {
            fresh
        };
        choice.get(self.0.random_range(0..choice.len())).copied()
    }
}

pub(crate) struct Sim {
    setup: Setup,
    service: Arc<Service>,
    group: Arc<Group>,
    start: Instant,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Happening)>>,
    next_event: u64,
    next_query: RequestId,
    servers: BTreeMap<ServerAddr, FakeServer>,
    /// Server of each call that waits or runs.
    homes: BTreeMap<Name, ServerAddr>,
    queries: BTreeMap<RequestId, Query>,
    waiting: VecDeque<Duration>,
    upstreams: AnyServer,
    random: StdRng,
    report: Report,
}

/// Runs a setup to its end.
pub(crate) fn run(setup: Setup, seed: u64) -> Report {
    let service = Arc::new(service());
    let addrs = service.indexes[0].shards.iter().flat_map(|s| &s.servers);
    let servers = addrs
        .map(|server| (server.addr, FakeServer::default()))
        .collect();
    let mut sim = Sim {
        setup,
        servers,
        homes: BTreeMap::new(),
        service,
        group: Arc::default(),
        start: Instant::now(),
        now: Duration::ZERO,
        events: BinaryHeap::new(),
        next_event: 0,
        next_query: 0,
        queries: BTreeMap::new(),
        waiting: VecDeque::new(),
        upstreams: AnyServer(StdRng::seed_from_u64(seed + 1)),
        random: StdRng::seed_from_u64(seed),
        report: Report::default(),
    };
    sim.at(Duration::ZERO, Happening::Arrive);
    while let Some(Reverse((now, _, happening))) = sim.events.pop() {
        sim.now = now;
        sim.happen(&happening);
    }
    sim.report
}

fn service() -> Service {
    let server = |shard, replica| Server {
        addr: ServerAddr::from((
            Ipv4Addr::LOCALHOST,
            FIRST_PORT + u16::try_from(shard * REPLICAS + replica).unwrap_or_default(),
        )),
        zone: format!("zone-{replica}"),
    };
    let shards = (0..SHARDS)
        .map(|id| Shard {
            id,
            servers: (0..REPLICAS).map(|replica| server(id, replica)).collect(),
        })
        .collect();
    Service {
        name: "restock-desk".to_owned(),
        version: 1,
        connection_limit: 25,
        slots: SLOTS,
        relays: Some(1),
        indexes: vec![Index { version: 1, shards }],
    }
}

impl Sim {
    fn at(&mut self, time: Duration, happening: Happening) {
        self.next_event += 1;
        self.events
            .push(Reverse((time, self.next_event, happening)));
    }

    fn draw(&mut self, mean: Duration) -> Duration {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        mean.mul_f64(-uniform.ln())
    }

    fn is_out(&self) -> bool {
        self.setup.is_outage && self.now >= self.setup.time / 2
    }

    fn happen(&mut self, happening: &Happening) {
        match *happening {
            Happening::Arrive => self.arrive(),
            Happening::Reach(name) => self.reach(name),
            Happening::Cancelled(name) => {
                self.leave(name);
            }
            Happening::Done(name) => self.done(name),
            Happening::Return(name) => self.bring_back(name),
            Happening::Wake(id) => self.feed(id, Event::Wake),
        }
    }

    fn arrive(&mut self) {
        let rate_per_s = CAPACITY_PER_S * self.setup.load_share;
        let pause = self.draw(Duration::from_secs_f64(1.0 / rate_per_s));
        if self.now + pause < self.setup.time {
            self.at(self.now + pause, Happening::Arrive);
        }
        if self.queries.len() < WINDOW {
            return self.admit(self.now);
        }
        self.group.on_wait(self.start + self.now);
        if self.waiting.len() < MAX_WAITING {
            self.waiting.push_back(self.now);
        } else {
            self.report.refused += 1;
        }
    }

    fn admit(&mut self, arrived: Duration) {
        let id = self.next_query;
        self.next_query += 1;
        let limits = Limits {
            deadline: self.start + arrived + DEADLINE,
            is_repeatable: true,
        };
        let Some(pin) = Pin::newest(&self.service) else {
            return;
        };
        let mut gather = Gather::new(id, pin, limits)
            .with_hedge(self.setup.hedge)
            .with_group(Arc::clone(&self.group));
        let actions = gather.start(&mut self.upstreams, self.start + self.now);
        let query = Query {
            gather,
            arrived,
            calls: BTreeMap::new(),
            wake: None,
        };
        self.queries.insert(id, query);
        self.act(id, actions);
    }

    fn feed(&mut self, id: RequestId, event: Event<()>) {
        let Some(query) = self.queries.get_mut(&id) else {
            return;
        };
        let now = self.start + self.now;
        let actions = query.gather.on_event(event, &mut self.upstreams, now);
        self.act(id, actions);
    }

    fn act(&mut self, id: RequestId, actions: Vec<Action<()>>) {
        for action in actions {
            match action {
                Action::Call(call) => self.call(id, call),
                Action::Cancel(attempt) => {
                    self.at(self.now + HOP, Happening::Cancelled((id, attempt)));
                }
                Action::Finish(answer) => return self.finish(id, answer.coverage.is_complete()),
            }
        }
        let start = self.start;
        let Some(query) = self.queries.get_mut(&id) else {
            return;
        };
        let wake = query.gather.next_wake().map(|at| at - start);
        if let Some(wake_at) = wake.filter(|_| wake != query.wake) {
            query.wake = wake;
            self.at(wake_at.max(self.now), Happening::Wake(id));
        }
    }

    fn call(&mut self, id: RequestId, call: LeafCall) {
        let cause = Cause::ALL.iter().position(|cause| *cause == call.cause);
        let cause = cause.unwrap_or_default();
        // What is made after the last arrival is no part of the load.
        self.report.calls[cause] += usize::from(self.now < self.setup.time);
        self.report.outage_calls[cause] += usize::from(self.is_out());
        let attempt = call.attempt_id;
        if let Some(query) = self.queries.get_mut(&id) {
            query.calls.insert(attempt, call);
        }
        self.at(self.now + HOP, Happening::Reach((id, attempt)));
    }

    fn finish(&mut self, id: RequestId, is_complete: bool) {
        if let Some(query) = self.queries.remove(&id) {
            self.report.latencies.push(self.now - query.arrived);
            self.report.incomplete += usize::from(!is_complete);
        }
        while let Some(arrived) = self.waiting.pop_front() {
            if arrived + DEADLINE > self.now {
                return self.admit(arrived);
            }
            self.report.refused += 1;
        }
    }

    fn call_of(&self, name: Name) -> Option<&LeafCall> {
        self.queries.get(&name.0)?.calls.get(&name.1)
    }

    fn reach(&mut self, name: Name) {
        let Some(addr) = self.call_of(name).map(|call| call.server) else {
            return;
        };
        if self.is_out() {
            return self.fail(name, Reason::Unreachable);
        }
        let Some(server) = self.servers.get_mut(&addr) else {
            return;
        };
        if server.queue.len() >= QUEUE_LIMIT {
            return self.fail(name, Reason::Shed);
        }
        server.queue.push_back(name);
        self.homes.insert(name, addr);
        self.fill_slots(addr);
    }

    fn fill_slots(&mut self, addr: ServerAddr) {
        while let Some(server) = self.servers.get_mut(&addr) {
            if server.running.len() >= SLOTS as usize {
                return;
            }
            let Some(name) = server.queue.pop_front() else {
                return;
            };
            server.running.push(name);
            let mut mean = Duration::from_secs_f64(MEAN_MS / 1_000.0);
            let number = u32::from(addr.port() - FIRST_PORT);
            if self.setup.slow_every > 0 && number % self.setup.slow_every == 0 {
                mean = mean.mul_f64(self.setup.slow_factor);
            }
            let end = self.now + self.draw(mean);
            self.at(end, Happening::Done(name));
        }
    }

    fn done(&mut self, name: Name) {
        if self.leave(name) {
            self.at(self.now + HOP, Happening::Return(name));
        }
    }

    /// Takes a call from its server and returns whether it was there.
    fn leave(&mut self, name: Name) -> bool {
        let Some(addr) = self.homes.remove(&name) else {
            return false;
        };
        if let Some(server) = self.servers.get_mut(&addr) {
            server.queue.retain(|other| *other != name);
            server.running.retain(|other| *other != name);
        }
        self.fill_slots(addr);
        true
    }

    fn bring_back(&mut self, name: Name) {
        let Some(call) = self.call_of(name) else {
            return;
        };
        let reply = LeafReply {
            request_id: name.0,
            attempt_id: name.1,
            shard: call.shard,
            index_version: call.index_version,
            rows: (),
        };
        self.feed(name.0, Event::Replied(name.1, reply));
    }

    fn fail(&mut self, name: Name, reason: Reason) {
        let failure = LeafFailure {
            reason,
            ran: Ran::No,
            newest_version: None,
        };
        self.feed(name.0, Event::Failed(name.1, failure));
    }
}
