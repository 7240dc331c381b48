//! What hedges and retries buy and cost, held against the stated targets.

mod sim;

use {
    record::Hedge,
    sim::{extra_share, run, Report, Setup},
    std::time::Duration,
};

const SEED: u64 = 5;
/// Most that stragglers may add to the p99 of alike servers, as a factor.
const MAX_P99_FACTOR: f64 = 1.5;
/// Most extra calls for stragglers, as a share of the first calls.
const MAX_HEDGE_SHARE: f64 = 0.05;
/// Most extra calls in a full outage, as a share of the first calls.
const MAX_OUTAGE_SHARE: f64 = 0.1;

const SETUP: Setup = Setup {
    load_share: 0.2,
    time: Duration::from_secs(60),
    slow_every: 0,
    slow_factor: 10.0,
    is_outage: false,
    hedge: Hedge {
        quantile: 0.95,
        budget_share: 0.05,
    },
};

fn slow(setup: Setup) -> Setup {
    Setup {
        slow_every: 10,
        ..setup
    }
}

#[test]
fn one_slow_server_in_ten_costs_little() {
    let calm = run(SETUP, SEED);
    let slow = run(slow(SETUP), SEED);
    let factor = slow.quantile_ms(0.99) / calm.quantile_ms(0.99);
    assert!(factor <= MAX_P99_FACTOR, "p99 grows {factor:.2} times");
    for report in [&calm, &slow] {
        let share = extra_share(&report.calls);
        assert!(share <= MAX_HEDGE_SHARE, "{share:.4} extra calls");
        assert_eq!((report.incomplete, report.refused), (0, 0));
    }
}

#[test]
fn at_more_load_hedges_keep_the_tail_of_calm_servers_without_hedges() {
    let load = Setup {
        load_share: 0.3,
        ..SETUP
    };
    let plain = Setup {
        hedge: Hedge {
            quantile: 0.0,
            budget_share: 0.0,
        },
        ..load
    };
    let factor = run(slow(load), SEED).quantile_ms(0.99) / run(plain, SEED).quantile_ms(0.99);
    assert!(factor <= MAX_P99_FACTOR, "p99 grows {factor:.2} times");
}

#[test]
fn overload_makes_no_extra_calls() {
    for load_share in [3.0, 10.0] {
        let overload = Setup {
            load_share,
            time: Duration::from_secs(4),
            ..SETUP
        };
        for setup in [overload, slow(overload)] {
            let Report { calls, refused, .. } = run(setup, SEED);
            assert!(refused > 0, "no overload");
            assert_eq!(calls[1..], [0, 0, 0], "{setup:?}");
        }
    }
}

#[test]
fn a_full_outage_adds_few_calls() {
    let report = run(
        Setup {
            time: Duration::from_secs(10),
            is_outage: true,
            ..SETUP
        },
        SEED,
    );
    let [first, retries, ..] = report.outage_calls;
    assert!(retries > 0, "the first failures get their retries");
    let share = extra_share(&report.outage_calls);
    assert!(share <= MAX_OUTAGE_SHARE, "{share:.4} of {first}");
}
