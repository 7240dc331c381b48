//! The targets at ten times the capacity, with bounds from the targets.
//!
//! Time is simulated and seeds are fixed, so the figures are the same on every
//! run. The commands of the longer runs stand in `docs/MEASUREMENTS.md`.

use {
    record::{ByRank, Rank},
    std::time::Duration,
    trial::{Load, Report, Service, Trial},
};

/// Simulated time, short enough for a debug build.
const DURATION: Duration = Duration::from_secs(8);
/// Urgent tail in a flood of background, or with slow servers, over the calm one.
const MAX_URGENT_RATIO: f64 = 1.5;
/// Share of urgent queries answered in a flood of background.
const MIN_URGENT_ANSWERED: f64 = 0.999;
/// Work done over the capacity in a flood.
const MIN_WORK: f64 = 0.9;
/// Extra leaf calls for slow servers.
const MAX_EXTRA: f64 = 0.05;
/// Work of a lower rank over its floor in a flood of urgent.
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
    assert!(flood.work_share >= MIN_WORK, "{flood}");
    assert_eq!(flood.extra_share, 0.0, "{flood}");
}

fn check_flood_of_urgent(floor_share: ByRank<f64>) {
    let flood = run(Load::flood_of_urgent(&floor_share), floor_share);
    for rank in [Rank::Routine, Rank::Background] {
        let kept = flood.ranks.get(rank).done_share / floor_share.get(rank);
        assert!(kept >= MIN_FLOOR_KEPT, "{kept} of {rank:?}\n{flood}");
    }
    assert!(flood.work_share >= MIN_WORK, "{flood}");
}

#[test]
fn tallapoosa_keeps_urgent_near_calm_in_a_flood_of_background() {
    check_flood_of_background(Trial::tallapoosa_floors());
}

#[test]
fn the_landesamt_keeps_urgent_near_calm_in_a_flood_of_background() {
    check_flood_of_background(Trial::landesamt_floors());
}

#[test]
fn slow_servers_leave_urgent_near_calm_for_few_extra_calls() {
    let floor_share = Trial::tallapoosa_floors();
    let calm = run(Load::calm(), floor_share);
    let slow = run(Load::straggler(), floor_share);
    let p99_ms = |report: &Report| report.ranks.get(Rank::Urgent).p99_ms;
    let ratio = p99_ms(&slow) / p99_ms(&calm);
    assert!(ratio <= MAX_URGENT_RATIO, "{ratio}\n{calm}\n{slow}");
    assert!(slow.extra_share <= MAX_EXTRA, "{slow}");
}

#[test]
fn tallapoosa_keeps_its_floors_in_a_flood_of_urgent() {
    check_flood_of_urgent(Trial::tallapoosa_floors());
}

#[test]
fn the_landesamt_keeps_its_floors_in_a_flood_of_urgent() {
    check_flood_of_urgent(Trial::landesamt_floors());
}

#[test]
fn the_loss_of_a_relay_loses_no_repeatable_query() {
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
fn the_same_trial_gives_the_same_report() {
    let trial = Trial::new(Service::restock_desk(), Load::flood_of_background())
        .duration(Duration::from_millis(500));
    assert_eq!(trial.run(), trial.run());
    assert_ne!(trial.run(), trial.seed(2).run());
}
