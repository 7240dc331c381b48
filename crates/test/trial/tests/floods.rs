//! Checks the targets at ten times the capacity, with slow servers and with a lost relay. The
//! bounds are the targets.
//!
//! Time is simulated and seeds are fixed, so the figures are the same on every
//! run. `docs/MEASUREMENTS.md` lists the commands of longer runs.

use {
    record::{ByRank, Rank},
    std::time::Duration,
    trial::{Load, Report, Service, Trial},
};

/// Simulated time, short enough for a debug build.
const DURATION: Duration = Duration::from_secs(8);
/// Maximum p99 of urgent queries with a background flood or slow servers, as a multiple of that
/// of the calm load.
const MAX_URGENT_RATIO: f64 = 1.5;
/// Minimum share of urgent queries answered in a background flood.
const MIN_URGENT_ANSWERED: f64 = 0.999;
/// Minimum throughput in a flood, as a share of the capacity.
const MIN_THROUGHPUT: f64 = 0.9;
/// Maximum share of extra leaf calls with slow servers.
const MAX_EXTRA_CALLS: f64 = 0.05;
/// Minimum throughput of a lower rank in an urgent flood, as a share of its floor.
const MIN_FLOOR_KEPT: f64 = 0.9;

fn run(load: Load, floor_share: ByRank<f64>) -> Report {
    Trial::new(Service::restock_desk(), load)
        .floor_share(floor_share)
        .duration(DURATION)
        .run()
}

fn check_flood_of_background(floor_share: ByRank<f64>) {
    let calm = run(Load::calm(), floor_share);
    let flood = run(Load::flood_of_background(), floor_share);
    let urgent = flood.ranks.get(Rank::Urgent);
    let ratio = urgent.p99_ms / calm.ranks.get(Rank::Urgent).p99_ms;
    assert!(ratio <= MAX_URGENT_RATIO, "{ratio}\n{calm}\n{flood}");
    assert!(urgent.answered_share >= MIN_URGENT_ANSWERED, "{flood}");
    assert!(flood.throughput_share >= MIN_THROUGHPUT, "{flood}");
    assert_eq!(flood.extra_call_share, 0.0, "{flood}");
}

fn check_flood_of_urgent(floor_share: ByRank<f64>) {
    let flood = run(Load::flood_of_urgent(&floor_share), floor_share);
    for rank in [Rank::Routine, Rank::Background] {
        let floor_kept = flood.ranks.get(rank).completed_share / floor_share.get(rank);
        assert!(
            floor_kept >= MIN_FLOOR_KEPT,
            "{floor_kept} of {rank:?}\n{flood}"
        );
    }
    assert!(flood.throughput_share >= MIN_THROUGHPUT, "{flood}");
}

#[test]
fn tallapoosa_floors_bound_urgent_latency_in_a_background_flood() {
    check_flood_of_background(Trial::tallapoosa_floors());
}

#[test]
fn landesamt_floors_bound_urgent_latency_in_a_background_flood() {
    check_flood_of_background(Trial::landesamt_floors());
}

#[test]
fn few_extra_calls_bound_urgent_latency_with_slow_servers() {
    let floor_share = Trial::tallapoosa_floors();
    let calm = run(Load::calm(), floor_share);
    let slow = run(Load::straggler(), floor_share);
    let p99_ms = |report: &Report| report.ranks.get(Rank::Urgent).p99_ms;
    let ratio = p99_ms(&slow) / p99_ms(&calm);
    assert!(ratio <= MAX_URGENT_RATIO, "{ratio}\n{calm}\n{slow}");
    assert!(slow.extra_call_share <= MAX_EXTRA_CALLS, "{slow}");
}

#[test]
fn tallapoosa_floors_hold_in_an_urgent_flood() {
    check_flood_of_urgent(Trial::tallapoosa_floors());
}

#[test]
fn landesamt_floors_hold_in_an_urgent_flood() {
    check_flood_of_urgent(Trial::landesamt_floors());
}

#[test]
fn losing_a_relay_fails_no_repeatable_query() {
    let report = Trial::new(Service::restock_desk(), Load::calm())
        .duration(DURATION)
        .with_relay_loss()
        .run();
    for (rank, figures) in report.ranks.iter() {
        assert!(figures.retried > 0, "{rank:?}\n{report}");
        assert_eq!(figures.lost, 0, "{rank:?}\n{report}");
        assert_eq!(figures.answered_share, 1.0, "{rank:?}\n{report}");
    }
}

#[test]
fn equal_trials_give_equal_reports() {
    let trial = Trial::new(Service::restock_desk(), Load::flood_of_background())
        .duration(Duration::from_millis(500));
    assert_eq!(trial.run(), trial.run());
    assert_ne!(trial.run(), trial.seed(2).run());
}
