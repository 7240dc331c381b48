//! Checks every reachable state of commit and adoption.

use model::{
    commit::{CommitModel, Mutant},
    explore,
};

const RACING: CommitModel = CommitModel {
    operators: 2,
    is_conditional: true,
    hosts: 1,
    max_faults: 3,
    has_route: false,
    may_restore: false,
    mutant: None,
};

const ADOPTING: CommitModel = CommitModel {
    operators: 2,
    is_conditional: true,
    hosts: 2,
    max_faults: 1,
    has_route: false,
    may_restore: true,
    mutant: None,
};

const FORKING: CommitModel = CommitModel {
    operators: 3,
    is_conditional: false,
    hosts: 2,
    max_faults: 0,
    has_route: false,
    may_restore: true,
    mutant: None,
};

const RETIRING: CommitModel = CommitModel {
    operators: 2,
    is_conditional: false,
    hosts: 1,
    max_faults: 3,
    has_route: true,
    may_restore: false,
    mutant: None,
};

#[test]
fn accepted_changes_persist_and_refused_ones_are_never_committed() {
    for (name, model) in [
        ("racing", RACING),
        ("adopting", ADOPTING),
        ("forking", FORKING),
        ("retiring", RETIRING),
    ] {
        let report = explore(&model);
        println!(
            "commit, {name}: {} states, {} steps",
            report.states, report.steps
        );
        if let Some(violation) = report.violation {
            panic!("{violation}");
        }
    }
}

#[test]
fn every_mutant_is_detected() {
    let cases = [
        (
            RACING,
            Mutant::LostReplyMeansFailure,
            "a change reported as refused was committed",
        ),
        (
            RACING,
            Mutant::RepeatIsUnmarked,
            "a change reported as refused was committed",
        ),
        (
            RACING,
            Mutant::UnconditionalWrite,
            "an accepted change was lost",
        ),
        (
            RACING,
            Mutant::RepeatHasNewId,
            "a change reported as refused was committed",
        ),
        (
            ADOPTING,
            Mutant::AdoptUnconditionally,
            "a host went back to an older revision",
        ),
        (
            FORKING,
            Mutant::IgnoreAncestry,
            "a change in force was lost by adoption",
        ),
        (
            RETIRING,
            Mutant::ServiceCheckedBeforeCommit,
            "a route was left without its service",
        ),
    ];
    for (model, mutant, invariant) in cases {
        let model = CommitModel {
            mutant: Some(mutant),
            ..model
        };
        let violation = explore(&model).violation;
        let violation = violation.unwrap_or_else(|| panic!("{mutant:?} is not detected"));
        println!("{mutant:?}: {violation}");
        assert_eq!(violation.invariant, invariant, "{mutant:?}");
    }
}
