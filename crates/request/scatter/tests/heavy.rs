//! Heavy days: what callers get when some shards have less room than they need.

mod load;

use {
    load::{Day, Got, Kind},
    std::time::Duration,
};

/// The users' search over all shards, and their urgent one.
const KINDS: [Kind; 2] = [
    Kind {
        name: "search",
        per_second: 80.0,
        work_ms: 28.0,
        target: Duration::from_millis(200),
        deadline: Duration::from_millis(1_200),
        min_share: 0.89,
    },
    Kind {
        name: "urgent",
        per_second: 22.0,
        work_ms: 9.0,
        target: Duration::from_millis(100),
        deadline: Duration::from_millis(600),
        min_share: 0.75,
    },
];
const SEEDS: [u64; 3] = [1, 2, 3];
const LENGTH: Duration = Duration::from_secs(20);
const SHARDS: usize = 20;
/// Shards that one slow server leaves with less room than their load needs.
const SLOW: usize = 8;

/// Plays the heavy day, with and without refusing whole queries.
fn played(seed: u64) -> (Vec<Got>, Vec<Got>) {
    let day = || Day::new(&KINDS, SHARDS, SLOW, seed);
    let (with, without) = (day().play(LENGTH), day().without_gate().play(LENGTH));
    println!("seed {seed}: with {with:?}\nwithout {without:?}");
    (with, without)
}

fn share(part: usize, got: Got) -> f64 {
    part as f64 / got.asked as f64
}

#[test]
fn queries_that_are_let_in_are_in_time() {
    for seed in SEEDS {
        let (with, without) = played(seed);
        for got in with {
            let let_in = got.asked - got.refused;
            assert!(got.in_time as f64 > 0.95 * let_in as f64, "{got:?}");
        }
        // The day is as heavy as meant: letting everything in makes many late.
        let search = without[0];
        assert!(share(search.in_time, search) < 0.8, "{search:?}");
    }
}

#[test]
fn the_more_urgent_kind_is_served_no_less_than_the_other() {
    for seed in SEEDS {
        let (with, without) = played(seed);
        assert!(share(with[1].in_time, with[1]) > 0.9, "{with:?}");
        assert!(share(with[1].in_time, with[1]) >= share(with[0].in_time, with[0]));
        // It is not without the refusals.
        assert!(share(without[1].in_time, without[1]) < share(without[0].in_time, without[0]));
    }
}

#[test]
fn a_refused_caller_who_comes_back_when_told_mostly_finds_room() {
    for seed in SEEDS {
        let got = Day::new(&KINDS, SHARDS, 0, seed)
            .with_burst(Duration::from_secs(2), Duration::from_millis(250), 4.0)
            .play(Duration::from_secs(4));
        println!("seed {seed}: {got:?}");
        // Whoever is refused twice was counted twice.
        let came_back: usize = got.iter().map(|got| got.refusals - got.refused).sum();
        let returned: usize = got.iter().map(|got| got.returned).sum();
        assert!(came_back > 20, "the burst is too small for this test");
        assert!(returned * 2 > came_back, "{got:?}");
    }
}

#[test]
fn hardly_anything_is_refused_on_a_calm_day() {
    for seed in SEEDS {
        for got in Day::new(&KINDS, SHARDS, 0, seed).play(LENGTH) {
            assert!(share(got.refusals, got) <= 0.01, "{got:?}");
            assert!(share(got.in_time, got) > 0.99, "{got:?}");
        }
    }
}
