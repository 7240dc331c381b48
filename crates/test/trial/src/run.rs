//! Runs a trial: arrivals, entries, loss of a relay.

use {
    crate::{
        clock::Clock,
        load::Weakness,
        query::{Outcome, Query},
        relay::Relay,
        report::Tally,
        server::Server,
        trial::{RelayLoss, Trial},
        Report,
    },
    door::{AdmissionRequest, Clock as _},
    rand::{rngs::StdRng, Rng, SeedableRng},
    record::Rank,
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::{
        runtime::Builder,
        task::{spawn_local, JoinSet, LocalSet},
    },
};

const TENANTS: u32 = 4;
/// One server in this many is the slow one of a load with stragglers.
const SLOW_ONE_IN: usize = 10;

struct World {
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
        let world = Rc::new(World::new(trial));
        let end = trial.warm_up + trial.duration;
        if let Some(loss) = trial.relay_loss {
            spawn_local(lose_relay(Rc::clone(&world), loss));
        }
        let mut arrivals = JoinSet::new();
        for rank in Rank::ALL {
            arrivals.spawn_local(arrive(Rc::clone(&world), rank, end));
        }
        arrivals.join_all().await;
        let tally = world.tally.borrow();
        Report::new(trial, &tally, &world.windows(), &world.servers)
    })
}

impl World {
    fn new(trial: &Trial) -> Self {
        let clock = Clock::new();
        let servers: Vec<_> = (0..trial.service.server_count())
            .map(|i| {
                let is_slow = i % SLOW_ONE_IN == SLOW_ONE_IN - 1;
                let slow_factor = if is_slow { trial.load.slow_factor } else { 1 };
                let weakness = if i == 0 {
                    trial.load.weakness
                } else {
                    Weakness::None
                };
                let seed = trial.seed * 1_000 + i as u64;
                let service = &trial.service;
                Rc::new(Server::new(service, slow_factor, weakness, seed, clock))
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
            .map(|relay| relay.door.with_gate(|gate| gate.window()))
            .collect()
    }

    /// Serves a query that reached the entry of `host`.
    async fn enter(&self, host: usize, query: Query) {
        let began = self.clock.elapsed();
        let rank = query.passer.rank;
        let relays = self.trial.relays;
        let first = if host < relays {
            host
        } else {
            query.request_id as usize % relays
        };
        let mut outcome = Outcome::Lost;
        let mut tries = 0;
        // As the entry does: only a lost relay leads to the next one.
        while outcome == Outcome::Lost && tries < relays {
            let relay_host = (first + tries) % relays;
            outcome = self.ask(host == relay_host, relay_host, &query).await;
            tries += 1;
        }
        let is_measured = began >= self.trial.warm_up;
        let took = self.clock.elapsed() - began;
        let mut tally = self.tally.borrow_mut();
        if is_measured {
            tally.on_end(rank, outcome, took, tries > 1);
        }
        let now = self.clock.elapsed();
        let end = self.trial.warm_up + self.trial.duration;
        if outcome == Outcome::Complete && now >= self.trial.warm_up && now < end {
            tally.on_done(rank);
        }
    }

    async fn ask(&self, is_here: bool, relay_host: usize, query: &Query) -> Outcome {
        let relay = Rc::clone(&self.relays.borrow()[relay_host]);
        let hop = if is_here {
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

async fn arrive(world: Rc<World>, rank: Rank, end: Duration) {
    let trial = &world.trial;
    let per_s = trial.load.share.get(rank) * trial.service.capacity_per_s();
    if per_s <= 0.0 {
        return;
    }
    let mut random = StdRng::seed_from_u64(trial.seed + rank.index() as u64);
    let mut queries = JoinSet::new();
    loop {
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        let pause = Duration::from_secs_f64(-uniform.ln() / per_s);
        world.clock.sleep(pause).await;
        if world.clock.elapsed() >= end {
            break;
        }
        let query = Query {
            request_id: random.random(),
            passer: AdmissionRequest {
                rank,
                tenant: format!("tenant-{}", random.random_range(0..TENANTS)),
                deadline: world.clock.now() + *trial.load.deadline.get(rank),
            },
        };
        let host = random.random_range(0..trial.hosts);
        let world = Rc::clone(&world);
        queries.spawn_local(async move { world.enter(host, query).await });
        // Ended queries are let go of as new ones come.
        while queries.try_join_next().is_some() {}
    }
    queries.join_all().await;
}

async fn lose_relay(world: Rc<World>, loss: RelayLoss) {
    world.clock.sleep(loss.lost_at).await;
    world.relays.borrow()[0].is_lost.send_replace(true);
    world.clock.sleep(loss.replaced_at - loss.lost_at).await;
    let fresh = Relay::new(&world.trial, &world.servers, world.trial.seed, world.clock);
    world.relays.borrow_mut()[0] = Rc::new(fresh);
}
