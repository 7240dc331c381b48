//! Checks the effect and cost of hedges and retries against the stated targets.

mod sim;

use {
    record::Hedge,
    sim::{extra_share, run, Report, Setup},
    std::time::Duration,
};

const SEED: u64 = 5;
/// Maximum p99 with stragglers, divided by the p99 with servers of equal speed.
const MAX_P99_FACTOR: f64 = 1.5;
/// Maximum number of extra calls with stragglers, as a share of the first calls.
const MAX_HEDGE_SHARE: f64 = 0.05;
/// Maximum number of extra calls during a full outage, as a share of the first calls.
const MAX_OUTAGE_SHARE: f64 = 0.1;

const BASE_SETUP: Setup = Setup {
    load_share: 0.2,
    duration: Duration::from_secs(60),
    slow_every: 0,
    slow_factor: 10.0,
    is_outage: false,
    hedge: Hedge {
        quantile: 0.95,
        budget_share: 0.05,
    },
};

fn with_slow_servers(setup: Setup) -> Setup {
    Setup {
        slow_every: 10,
        ..setup
    }
}

#[test]
fn one_slow_server_in_ten_stays_within_the_targets() {
    let baseline = run(BASE_SETUP, SEED);
    let slow = run(with_slow_servers(BASE_SETUP), SEED);
    let factor = slow.quantile_ms(0.99) / baseline.quantile_ms(0.99);
    assert!(
        factor <= MAX_P99_FACTOR,
        "p99 is {factor:.2} times the baseline"
    );
    for report in [&baseline, &slow] {
        let share = extra_share(&report.calls);
        assert!(share <= MAX_HEDGE_SHARE, "{share:.4} extra calls");
        assert_eq!((report.incomplete, report.refused), (0, 0));
    }
}

#[test]
fn hedges_at_higher_load_keep_p99_near_that_without_slow_servers() {
    let higher_load = Setup {
        load_share: 0.3,
        ..BASE_SETUP
    };
    let without_hedges = Setup {
        hedge: Hedge {
            quantile: 0.0,
            budget_share: 0.0,
        },
        ..higher_load
    };
    let factor = run(with_slow_servers(higher_load), SEED).quantile_ms(0.99)
        / run(without_hedges, SEED).quantile_ms(0.99);
    assert!(
        factor <= MAX_P99_FACTOR,
        "p99 is {factor:.2} times that without slow servers"
    );
}

#[test]
fn overload_makes_no_extra_calls() {
    for load_share in [3.0, 10.0] {
        let overload = Setup {
            load_share,
            duration: Duration::from_secs(4),
            ..BASE_SETUP
        };
        for setup in [overload, with_slow_servers(overload)] {
            let Report { calls, refused, .. } = run(setup, SEED);
            assert!(refused > 0, "the load is no overload");
            assert_eq!(calls[1..], [0, 0, 0], "{setup:?}");
        }
    }
}

#[test]
fn full_outage_adds_few_calls() {
    let report = run(
        Setup {
            duration: Duration::from_secs(10),
            is_outage: true,
            ..BASE_SETUP
        },
        SEED,
    );
    let [first, retries, ..] = report.outage_calls;
    assert!(retries > 0, "the first failures are not retried");
    let share = extra_share(&report.outage_calls);
    assert!(share <= MAX_OUTAGE_SHARE, "{share:.4} of {first}");
}
