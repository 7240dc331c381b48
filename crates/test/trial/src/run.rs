//! Runs a trial: arrivals of queries, their way to a relay, and the loss of a relay.

use {
    crate::{
        clock::Clock,
        load::ServerFault,
        query::{Outcome, Query},
        relay::Relay,
        report::Tally,
        server::Server,
        trial::{RelayLoss, Trial},
        Report,
    },
    async_gate::{AdmissionRequest, Clock as _},
    rand::{rngs::StdRng, Rng, SeedableRng},
    record::Rank,
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::{
        runtime::Builder,
        task::{spawn_local, JoinSet, LocalSet},
    },
};

/// Number of tenants that queries are spread over.
const TENANTS: u32 = 4;
/// One server in this many is slow under a load with stragglers.
const SLOW_ONE_IN: usize = 10;

/// State of a running trial.
struct Simulation {
    trial: Trial,
    clock: Clock,
    servers: Vec<Rc<Server>>,
    relays: RefCell<Vec<Rc<Relay>>>,
    tally: RefCell<Tally>,
}

pub(crate) fn run(trial: &Trial) -> Report {
    let runtime = Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("the runtime starts");
    LocalSet::new().block_on(&runtime, async {
        let simulation = Rc::new(Simulation::new(trial));
        let end = trial.warm_up + trial.duration;
        if let Some(loss) = trial.relay_loss {
            spawn_local(replace_lost_relay(Rc::clone(&simulation), loss));
        }
        let mut arrivals = JoinSet::new();
        for rank in Rank::ALL {
            arrivals.spawn_local(generate_arrivals(Rc::clone(&simulation), rank, end));
        }
        arrivals.join_all().await;
        let tally = simulation.tally.borrow();
        Report::new(trial, &tally, &simulation.windows(), &simulation.servers)
    })
}

impl Simulation {
    fn new(trial: &Trial) -> Self {
        let clock = Clock::new();
        let servers: Vec<_> = (0..trial.service.server_count())
            .map(|i| {
                let is_slow = i % SLOW_ONE_IN == SLOW_ONE_IN - 1;
                let slow_factor = if is_slow { trial.load.slow_factor } else { 1 };
                let server_fault = if i == 0 {
                    trial.load.server_fault
                } else {
                    ServerFault::None
                };
                let seed = trial.seed * 1_000 + i as u64;
                let service = &trial.service;
                Rc::new(Server::new(service, slow_factor, server_fault, seed, clock))
            })
            .collect();
        let relays = (0..trial.relays)
            .map(|i| Rc::new(Relay::new(trial, &servers, trial.seed + i as u64, clock)))
            .collect();
        Self {
            trial: trial.clone(),
            clock,
            servers,
            relays: RefCell::new(relays),
            tally: RefCell::default(),
        }
    }

    fn windows(&self) -> Vec<usize> {
        let relays = self.relays.borrow();
        relays
            .iter()
            .map(|relay| relay.gate.with_gate(|gate| gate.window()))
            .collect()
    }

    /// Handles a query that arrives at `host`.
    async fn handle_query(&self, host: usize, query: Query) {
        let started_at = self.clock.elapsed();
        let rank = query.request.rank;
        let relays = self.trial.relays;
        let first_relay = if host < relays {
            host
        } else {
            query.request_id as usize % relays
        };
        let mut outcome = Outcome::Lost;
        let mut tries = 0;
        // Like the entry of a host, tries the next relay only if one is lost.
        while outcome == Outcome::Lost && tries < relays {
            let relay_host = (first_relay + tries) % relays;
            outcome = self
                .query_relay(host == relay_host, relay_host, &query)
                .await;
            tries += 1;
        }
        let is_measured = started_at >= self.trial.warm_up;
        let latency = self.clock.elapsed() - started_at;
        let mut tally = self.tally.borrow_mut();
        if is_measured {
            tally.record_end(rank, outcome, latency, tries > 1);
        }
        let now = self.clock.elapsed();
        let end = self.trial.warm_up + self.trial.duration;
        if outcome == Outcome::Complete && now >= self.trial.warm_up && now < end {
            tally.record_completed(rank);
        }
    }

    async fn query_relay(&self, is_local: bool, relay_host: usize, query: &Query) -> Outcome {
        let relay = Rc::clone(&self.relays.borrow()[relay_host]);
        let hop = if is_local {
            Duration::ZERO
        } else {
            self.trial.service.hop
        };
        self.clock.sleep(hop).await;
        let outcome = relay.serve(query).await;
        self.clock.sleep(hop).await;
        outcome
    }
}

async fn generate_arrivals(simulation: Rc<Simulation>, rank: Rank, end: Duration) {
    let trial = &simulation.trial;
    let per_s = trial.load.share.get(rank) * trial.service.capacity_per_s();
    if per_s <= 0.0 {
        return;
    }
    let mut random = StdRng::seed_from_u64(trial.seed + rank.index() as u64);
    let mut queries = JoinSet::new();
    loop {
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        let gap = Duration::from_secs_f64(-uniform.ln() / per_s);
        simulation.clock.sleep(gap).await;
        if simulation.clock.elapsed() >= end {
            break;
        }
        let query = Query {
            request_id: random.random(),
            request: AdmissionRequest {
                rank,
                tenant: format!("tenant-{}", random.random_range(0..TENANTS)),
                deadline: simulation.clock.now() + *trial.load.deadline.get(rank),
            },
        };
        let host = random.random_range(0..trial.hosts);
        let simulation = Rc::clone(&simulation);
        queries.spawn_local(async move { simulation.handle_query(host, query).await });
        // Removes finished queries, so that the set does not grow with the duration.
        while queries.try_join_next().is_some() {}
    }
    queries.join_all().await;
}

async fn replace_lost_relay(simulation: Rc<Simulation>, loss: RelayLoss) {
    simulation.clock.sleep(loss.lost_at).await;
    simulation.relays.borrow()[0].is_lost.send_replace(true);
    simulation
        .clock
        .sleep(loss.replaced_at - loss.lost_at)
        .await;
    let replacement = Relay::new(
        &simulation.trial,
        &simulation.servers,
        simulation.trial.seed,
        simulation.clock,
    );
    simulation.relays.borrow_mut()[0] = Rc::new(replacement);
}
