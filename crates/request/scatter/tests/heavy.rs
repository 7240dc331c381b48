//! Overload: results of callers when some shards have less capacity than demand.

mod load;

use {
    load::{RequestKind, Simulation, Stats},
    std::time::Duration,
};

/// The users' normal and urgent searches over all shards.
const KINDS: [RequestKind; 2] = [
    RequestKind {
        name: "search",
        per_second: 80.0,
        work_ms: 28.0,
        target: Duration::from_millis(200),
        deadline: Duration::from_millis(1_200),
        min_share: 0.89,
    },
    RequestKind {
        name: "urgent",
        per_second: 22.0,
        work_ms: 9.0,
        target: Duration::from_millis(100),
        deadline: Duration::from_millis(600),
        min_share: 0.75,
    },
];
const SEEDS: [u64; 3] = [1, 2, 3];
const DURATION: Duration = Duration::from_secs(20);
const SHARDS: usize = 20;
/// Number of shards with a slow server and therefore less capacity than demand.
const SLOW_SHARDS: usize = 8;

/// Runs the overload simulation with and without refusing queries.
fn run_overload(seed: u64) -> (Vec<Stats>, Vec<Stats>) {
    let simulation = || Simulation::new(&KINDS, SHARDS, SLOW_SHARDS, seed);
    let (with, without) = (
        simulation().run(DURATION),
        simulation().without_refusals().run(DURATION),
    );
    println!("seed {seed}: with {with:?}\nwithout {without:?}");
    (with, without)
}

fn share(part: usize, stats: Stats) -> f64 {
    part as f64 / stats.total as f64
}

#[test]
fn admitted_queries_finish_on_time() {
    for seed in SEEDS {
        let (with, without) = run_overload(seed);
        for stats in with {
            let admitted = stats.total - stats.refused;
            assert!(stats.on_time as f64 > 0.95 * admitted as f64, "{stats:?}");
        }
        // Without refusals many queries are late, which shows that this is an overload.
        let search = without[0];
        assert!(share(search.on_time, search) < 0.8, "{search:?}");
    }
}

#[test]
fn urgent_queries_are_served_at_least_as_well_as_others() {
    for seed in SEEDS {
        let (with, without) = run_overload(seed);
        assert!(share(with[1].on_time, with[1]) > 0.9, "{with:?}");
        assert!(share(with[1].on_time, with[1]) >= share(with[0].on_time, with[0]));
        // Without refusals this does not hold.
        assert!(share(without[1].on_time, without[1]) < share(without[0].on_time, without[0]));
    }
}

#[test]
fn most_refused_callers_are_admitted_when_they_retry_as_told() {
    for seed in SEEDS {
        let stats = Simulation::new(&KINDS, SHARDS, 0, seed)
            .with_burst(Duration::from_secs(2), Duration::from_millis(250), 4.0)
            .run(Duration::from_secs(4));
        println!("seed {seed}: {stats:?}");
        // `refusals` counts both attempts of a caller that is refused twice.
        let retried: usize = stats
            .iter()
            .map(|stats| stats.refusals - stats.refused)
            .sum();
        let succeeded: usize = stats.iter().map(|stats| stats.on_time_after_retry).sum();
        assert!(retried > 20, "the burst is too small for this test");
        assert!(succeeded * 2 > retried, "{stats:?}");
    }
}

#[test]
fn almost_nothing_is_refused_without_overload() {
    for seed in SEEDS {
        for stats in Simulation::new(&KINDS, SHARDS, 0, seed).run(DURATION) {
            assert!(share(stats.refusals, stats) <= 0.01, "{stats:?}");
            assert!(share(stats.on_time, stats) > 0.99, "{stats:?}");
        }
    }
}
