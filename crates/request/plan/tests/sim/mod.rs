//! Discrete-event simulation of queries against fake servers.
//!
//! The queries run the real code. Time is simulated and all random numbers come
//! from a seed, so the results are the same on every run and every machine.

use {
    kind::Ran,
    plan::{
        Action, AttemptId, Cause, Event, Gather, LeafCall, LeafFailure, LeafReply, Limits, Pin,
        Reason, RequestId, ServiceState, Upstreams,
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
const MEAN_SERVICE_MS: f64 = 8.0;
const ONE_WAY_DELAY: Duration = Duration::from_micros(1_500);
const DEADLINE: Duration = Duration::from_secs(1);
/// Number of queries that run at once; further ones wait.
const WINDOW: usize = 16;
/// Number of queries that may wait; further ones are refused.
const MAX_WAITING: usize = 100;
const FIRST_PORT: u16 = 1_000;

/// Queries per second that the servers can process.
pub(crate) const CAPACITY_PER_S: f64 = (REPLICAS * SLOTS) as f64 * 1_000.0 / MEAN_SERVICE_MS;

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    pub(crate) load_share: f64,
    pub(crate) duration: Duration,
    /// Every `slow_every`th server is slow; 0 for none.
    pub(crate) slow_every: u32,
    pub(crate) slow_factor: f64,
    /// Whether all servers are unreachable in the second half of the duration.
    pub(crate) is_outage: bool,
    pub(crate) hedge: Hedge,
}

/// Results of a simulation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    pub(crate) latencies: Vec<Duration>,
    pub(crate) refused: usize,
    pub(crate) incomplete: usize,
    /// Calls by cause, in the order of [`Cause::ALL`].
    pub(crate) calls: [usize; 4],
    /// Calls by cause since the start of the outage.
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

/// Returns the number of extra calls as a share of the first calls.
pub(crate) fn extra_share(calls: &[usize; 4]) -> f64 {
    calls[1..].iter().sum::<usize>() as f64 / calls[0].max(1) as f64
}

/// Identifies a call by its request and attempt.
type CallId = (RequestId, AttemptId);

#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SimEvent {
    QueryArrives,
    CallArrives(CallId),
    CallCancelled(CallId),
    CallDone(CallId),
    ReplyArrives(CallId),
    QueryWakes(RequestId),
}

#[derive(Default)]
struct FakeServer {
    running: Vec<CallId>,
    queue: VecDeque<CallId>,
}

struct Query {
    gather: Gather<()>,
    arrived_at: Duration,
    calls: BTreeMap<AttemptId, LeafCall>,
    wake: Option<Duration>,
}

/// Picks a random server, preferring those that were not tried.
struct RandomServer(StdRng);

impl Upstreams for RandomServer {
    fn pick(&mut self, shard: &Shard, tried: &[ServerAddr], _: Instant) -> Option<ServerAddr> {
        let addrs = || shard.servers.iter().map(|server| server.addr);
        let untried: Vec<_> = addrs().filter(|addr| !tried.contains(addr)).collect();
        let candidates: Vec<_> = if untried.is_empty() {
            addrs().collect()
        } else {
            untried
        };
        candidates
            .get(self.0.random_range(0..candidates.len()))
            .copied()
    }
}

pub(crate) struct Sim {
    setup: Setup,
    service: Arc<Service>,
    group: Arc<ServiceState>,
    start: Instant,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, SimEvent)>>,
    next_event: u64,
    next_query: RequestId,
    servers: BTreeMap<ServerAddr, FakeServer>,
    /// Server of each queued or running call.
    server_by_call: BTreeMap<CallId, ServerAddr>,
    queries: BTreeMap<RequestId, Query>,
    waiting: VecDeque<Duration>,
    upstreams: RandomServer,
    rng: StdRng,
    report: Report,
}

/// Runs a simulation to its end.
pub(crate) fn run(setup: Setup, seed: u64) -> Report {
    let service = Arc::new(service());
    let addrs = service.indexes[0].shards.iter().flat_map(|s| &s.servers);
    let servers = addrs
        .map(|server| (server.addr, FakeServer::default()))
        .collect();
    let mut sim = Sim {
        setup,
        servers,
        server_by_call: BTreeMap::new(),
        service,
        group: Arc::default(),
        start: Instant::now(),
        now: Duration::ZERO,
        events: BinaryHeap::new(),
        next_event: 0,
        next_query: 0,
        queries: BTreeMap::new(),
        waiting: VecDeque::new(),
        upstreams: RandomServer(StdRng::seed_from_u64(seed + 1)),
        rng: StdRng::seed_from_u64(seed),
        report: Report::default(),
    };
    sim.schedule(Duration::ZERO, SimEvent::QueryArrives);
    while let Some(Reverse((now, _, event))) = sim.events.pop() {
        sim.now = now;
        sim.handle(&event);
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
    fn schedule(&mut self, at: Duration, event: SimEvent) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event, event)));
    }

    fn sample_exponential(&mut self, mean: Duration) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        mean.mul_f64(-uniform.ln())
    }

    fn is_outage_now(&self) -> bool {
        self.setup.is_outage && self.now >= self.setup.duration / 2
    }

    fn handle(&mut self, event: &SimEvent) {
        match *event {
            SimEvent::QueryArrives => self.on_query_arrival(),
            SimEvent::CallArrives(call_id) => self.on_call_arrival(call_id),
            SimEvent::CallCancelled(call_id) => {
                self.remove_call(call_id);
            }
            SimEvent::CallDone(call_id) => self.on_call_done(call_id),
            SimEvent::ReplyArrives(call_id) => self.on_reply_arrival(call_id),
            SimEvent::QueryWakes(id) => self.send_event(id, Event::Wake),
        }
    }

    fn on_query_arrival(&mut self) {
        let rate_per_s = CAPACITY_PER_S * self.setup.load_share;
        let interarrival = self.sample_exponential(Duration::from_secs_f64(1.0 / rate_per_s));
        if self.now + interarrival < self.setup.duration {
            self.schedule(self.now + interarrival, SimEvent::QueryArrives);
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

    fn admit(&mut self, arrived_at: Duration) {
        let id = self.next_query;
        self.next_query += 1;
        let limits = Limits {
            deadline: self.start + arrived_at + DEADLINE,
            is_repeatable: true,
        };
        let Some(pin) = Pin::newest(&self.service) else {
            return;
        };
        let mut gather = Gather::new(id, pin, limits)
            .with_hedge(self.setup.hedge)
            .with_service_state(Arc::clone(&self.group));
        let actions = gather.start(&mut self.upstreams, self.start + self.now);
        let query = Query {
            gather,
            arrived_at,
            calls: BTreeMap::new(),
            wake: None,
        };
        self.queries.insert(id, query);
        self.apply_actions(id, actions);
    }

    fn send_event(&mut self, id: RequestId, event: Event<()>) {
        let Some(query) = self.queries.get_mut(&id) else {
            return;
        };
        let now = self.start + self.now;
        let actions = query.gather.on_event(event, &mut self.upstreams, now);
        self.apply_actions(id, actions);
    }

    fn apply_actions(&mut self, id: RequestId, actions: Vec<Action<()>>) {
        for action in actions {
            match action {
                Action::Call(call) => self.call(id, call),
                Action::Cancel(attempt) => {
                    self.schedule(
                        self.now + ONE_WAY_DELAY,
                        SimEvent::CallCancelled((id, attempt)),
                    );
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
            self.schedule(wake_at.max(self.now), SimEvent::QueryWakes(id));
        }
    }

    fn call(&mut self, id: RequestId, call: LeafCall) {
        let cause = Cause::ALL.iter().position(|cause| *cause == call.cause);
        let cause = cause.unwrap_or_default();
        // Calls after the last query arrival are not counted, as the load ends there.
        self.report.calls[cause] += usize::from(self.now < self.setup.duration);
        self.report.outage_calls[cause] += usize::from(self.is_outage_now());
        let attempt = call.attempt_id;
        if let Some(query) = self.queries.get_mut(&id) {
            query.calls.insert(attempt, call);
        }
        self.schedule(
            self.now + ONE_WAY_DELAY,
            SimEvent::CallArrives((id, attempt)),
        );
    }

    fn finish(&mut self, id: RequestId, is_complete: bool) {
        if let Some(query) = self.queries.remove(&id) {
            self.report.latencies.push(self.now - query.arrived_at);
            self.report.incomplete += usize::from(!is_complete);
        }
        while let Some(arrived_at) = self.waiting.pop_front() {
            if arrived_at + DEADLINE > self.now {
                return self.admit(arrived_at);
            }
            self.report.refused += 1;
        }
    }

    fn call_of(&self, call_id: CallId) -> Option<&LeafCall> {
        self.queries.get(&call_id.0)?.calls.get(&call_id.1)
    }

    fn on_call_arrival(&mut self, call_id: CallId) {
        let Some(addr) = self.call_of(call_id).map(|call| call.server) else {
            return;
        };
        if self.is_outage_now() {
            return self.fail(call_id, Reason::Unreachable);
        }
        let Some(server) = self.servers.get_mut(&addr) else {
            return;
        };
        if server.queue.len() >= QUEUE_LIMIT {
            return self.fail(call_id, Reason::Shed);
        }
        server.queue.push_back(call_id);
        self.server_by_call.insert(call_id, addr);
        self.fill_slots(addr);
    }

    fn fill_slots(&mut self, addr: ServerAddr) {
        while let Some(server) = self.servers.get_mut(&addr) {
            if server.running.len() >= SLOTS as usize {
                return;
            }
            let Some(call_id) = server.queue.pop_front() else {
                return;
            };
            server.running.push(call_id);
            let mut mean = Duration::from_secs_f64(MEAN_SERVICE_MS / 1_000.0);
            let server_index = u32::from(addr.port() - FIRST_PORT);
            if self.setup.slow_every > 0 && server_index % self.setup.slow_every == 0 {
                mean = mean.mul_f64(self.setup.slow_factor);
            }
            let end = self.now + self.sample_exponential(mean);
            self.schedule(end, SimEvent::CallDone(call_id));
        }
    }

    fn on_call_done(&mut self, call_id: CallId) {
        if self.remove_call(call_id) {
            self.schedule(self.now + ONE_WAY_DELAY, SimEvent::ReplyArrives(call_id));
        }
    }

    /// Removes a call from its server and returns whether it was there.
    fn remove_call(&mut self, call_id: CallId) -> bool {
        let Some(addr) = self.server_by_call.remove(&call_id) else {
            return false;
        };
        if let Some(server) = self.servers.get_mut(&addr) {
            server.queue.retain(|other| *other != call_id);
            server.running.retain(|other| *other != call_id);
        }
        self.fill_slots(addr);
        true
    }

    fn on_reply_arrival(&mut self, call_id: CallId) {
        let Some(call) = self.call_of(call_id) else {
            return;
        };
        let reply = LeafReply {
            request_id: call_id.0,
            attempt_id: call_id.1,
            shard: call.shard,
            index_version: call.index_version,
            rows: (),
        };
        self.send_event(call_id.0, Event::Replied(call_id.1, reply));
    }

    fn fail(&mut self, call_id: CallId, reason: Reason) {
        let failure = LeafFailure {
            reason,
            ran: Ran::No,
            newest_version: None,
        };
        self.send_event(call_id.0, Event::Failed(call_id.1, failure));
    }
}
