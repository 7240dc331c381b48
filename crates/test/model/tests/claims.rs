//! Every reachable state of claims and dispatch.

use {
    model::{
        claims::{Claims, Mutant},
        explore,
    },
    record::ClaimLocations::{self, Keys, KeysAndLog, Log},
};

const BY_KEY: Claims<'_> = size(&[Keys, Keys, Keys], 3);
const IN_LOG: Claims<'_> = Claims {
    has_owner: true,
    ..size(&[Log, Log], 2)
};
/// Hosts while a route changes over to the log, and after.
const CHANGING: Claims<'_> = size(&[Keys, KeysAndLog, KeysAndLog], 1);
const CHANGED: Claims<'_> = size(&[KeysAndLog, Log, Log], 1);
/// Hosts when the old version is retired before all have the new one.
const RETIRED_EARLY: Claims<'_> = size(&[Keys, Log], 0);

const fn size(attempts: &[ClaimLocations], faults: u8) -> Claims<'_> {
    Claims {
        attempts,
        has_owner: false,
        faults,
        mutant: None,
    }
}

#[test]
fn a_request_runs_at_most_once() {
    let sizes = [
        ("by key", BY_KEY),
        ("in the log", IN_LOG),
        ("changing over", CHANGING),
        ("changed over", CHANGED),
    ];
    for (what, size) in sizes {
        let report = explore(&size);
        println!(
            "claims {what}: {} states, {} steps",
            report.states, report.steps
        );
        if let Some(violation) = report.violation {
            panic!("{what}: {violation}");
        }
    }
}

#[test]
fn a_version_that_is_retired_early_lets_a_request_run_twice() {
    let violation = explore(&RETIRED_EARLY).violation;
    let promise = violation.map(|violation| violation.promise);
    assert_eq!(promise, Some("the request ran twice"));
}

#[test]
fn every_mutant_is_caught() {
    let cases = [
        (BY_KEY, Mutant::LostReplyWins),
        (BY_KEY, Mutant::BlindWrite),
        (BY_KEY, Mutant::TakeOverAlways),
        (BY_KEY, Mutant::DispatchFirst),
        (BY_KEY, Mutant::LostReplyIsProof),
        (IN_LOG, Mutant::LostReplyWins),
        (IN_LOG, Mutant::BlindWrite),
        (IN_LOG, Mutant::TakeOverAlways),
        (IN_LOG, Mutant::DispatchFirst),
        (IN_LOG, Mutant::LostReplyIsProof),
        (CHANGING, Mutant::LogAlone),
    ];
    for (size, mutant) in cases {
        let model = Claims {
            mutant: Some(mutant),
            ..size
        };
        let violation = explore(&model).violation;
        let violation = violation.unwrap_or_else(|| panic!("{mutant:?} is not caught"));
        println!("{mutant:?}: {violation}");
        assert_eq!(violation.promise, "the request ran twice", "{mutant:?}");
    }
}
