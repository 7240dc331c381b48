//! Every reachable state of claims and dispatch.

use model::{
    claims::{Claims, Mutant},
    explore,
};

const SIZE: Claims = Claims {
    attempts: 3,
    faults: 3,
    mutant: None,
};

#[test]
fn a_request_runs_at_most_once() {
    let report = explore(&SIZE);
    println!("claims: {} states, {} steps", report.states, report.steps);
    if let Some(violation) = report.violation {
        panic!("{violation}");
    }
}

#[test]
fn every_mutant_is_caught() {
    let cases = [
        (Mutant::LostReplyWins, "the request ran twice"),
        (Mutant::BlindWrite, "the request ran twice"),
        (Mutant::TakeOverAlways, "the request ran twice"),
        (Mutant::DispatchFirst, "the request ran twice"),
        (Mutant::LostReplyIsProof, "the request ran twice"),
    ];
    for (mutant, promise) in cases {
        let model = Claims {
            mutant: Some(mutant),
            ..SIZE
        };
        let violation = explore(&model).violation;
        let violation = violation.unwrap_or_else(|| panic!("{mutant:?} is not caught"));
        println!("{mutant:?}: {violation}");
        assert_eq!(violation.promise, promise, "{mutant:?}");
    }
}
