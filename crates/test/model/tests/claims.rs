//! Checks every reachable state of claims and dispatch.

use {
    model::{
        claims::{ClaimModel, Mutant},
        explore,
    },
    record::ClaimLocations::{self, Keys, KeysAndLog, Log},
};

const IN_KEYS: ClaimModel<'_> = model(&[Keys, Keys, Keys], 3);
const IN_LOG: ClaimModel<'_> = ClaimModel {
    has_owner: true,
    ..model(&[Log, Log], 2)
};
/// Hosts while a route migrates from claims in keys to claims in the log.
const MIGRATING: ClaimModel<'_> = model(&[Keys, KeysAndLog, KeysAndLog], 1);
/// Hosts at the end of the migration.
const MIGRATED: ClaimModel<'_> = model(&[KeysAndLog, Log, Log], 1);
/// Hosts when the old route version is retired before every host has the new one.
const RETIRED_EARLY: ClaimModel<'_> = model(&[Keys, Log], 0);

const fn model(attempts: &[ClaimLocations], max_faults: u8) -> ClaimModel<'_> {
    ClaimModel {
        attempts,
        has_owner: false,
        max_faults,
        mutant: None,
    }
}

#[test]
fn a_request_runs_at_most_once() {
    let models = [
        ("in keys", IN_KEYS),
        ("in the log", IN_LOG),
        ("migrating", MIGRATING),
        ("migrated", MIGRATED),
    ];
    for (name, model) in models {
        let report = explore(&model);
        println!(
            "claims {name}: {} states, {} steps",
            report.states, report.steps
        );
        if let Some(violation) = report.violation {
            panic!("{name}: {violation}");
        }
    }
}

#[test]
fn retiring_the_old_version_early_lets_a_request_run_twice() {
    let violation = explore(&RETIRED_EARLY).violation;
    let invariant = violation.map(|violation| violation.invariant);
    assert_eq!(invariant, Some("the request ran twice"));
}

#[test]
fn every_mutant_is_detected() {
    let cases = [
        (IN_KEYS, Mutant::LostReplyMeansWon),
        (IN_KEYS, Mutant::UnconditionalWrite),
        (IN_KEYS, Mutant::AlwaysTakeOver),
        (IN_KEYS, Mutant::DispatchWithoutClaim),
        (IN_KEYS, Mutant::LostReplyMeansNotRun),
        (IN_LOG, Mutant::LostReplyMeansWon),
        (IN_LOG, Mutant::UnconditionalWrite),
        (IN_LOG, Mutant::AlwaysTakeOver),
        (IN_LOG, Mutant::DispatchWithoutClaim),
        (IN_LOG, Mutant::LostReplyMeansNotRun),
        (MIGRATING, Mutant::LogOnly),
    ];
    for (base, mutant) in cases {
        let model = ClaimModel {
            mutant: Some(mutant),
            ..base
        };
        let violation = explore(&model).violation;
        let violation = violation.unwrap_or_else(|| panic!("{mutant:?} is not detected"));
        println!("{mutant:?}: {violation}");
        assert_eq!(violation.invariant, "the request ran twice", "{mutant:?}");
    }
}
