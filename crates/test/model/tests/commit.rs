//! Every reachable state of commit and adoption.

use model::{
    commit::{Commits, Mutant},
    explore,
};

const RACING: Commits = Commits {
    operators: 2,
    is_conditional: true,
    hosts: 1,
    faults: 3,
    has_route: false,
    may_restore: false,
    mutant: None,
};

const ADOPTING: Commits = Commits {
    operators: 2,
    is_conditional: true,
    hosts: 2,
    faults: 1,
    has_route: false,
    may_restore: true,
    mutant: None,
};

const FORKING: Commits = Commits {
    operators: 3,
    is_conditional: false,
    hosts: 2,
    faults: 0,
    has_route: false,
    may_restore: true,
    mutant: None,
};

const RETIRING: Commits = Commits {
    operators: 2,
    is_conditional: false,
    hosts: 1,
    faults: 3,
    has_route: true,
    may_restore: false,
    mutant: None,
};

#[test]
fn accepted_changes_stay_and_refused_ones_never_come() {
    for (what, model) in [
        ("racing", RACING),
        ("adopting", ADOPTING),
        ("forking", FORKING),
        ("retiring", RETIRING),
    ] {
        let report = explore(&model);
        println!(
            "commit, {what}: {} states, {} steps",
            report.states, report.steps
        );
        if let Some(violation) = report.violation {
            panic!("{violation}");
        }
    }
}

#[test]
fn every_mutant_is_caught() {
    let cases = [
        (
            RACING,
            Mutant::LostReplyFails,
            "a change that was called refused was committed",
        ),
        (
            RACING,
            Mutant::RepeatIsNotTold,
            "a change that was called refused was committed",
        ),
        (RACING, Mutant::BlindWrite, "an accepted change was lost"),
        (
            RACING,
            Mutant::RepeatIsNew,
            "a change that was called refused was committed",
        ),
        (
            ADOPTING,
            Mutant::AdoptAnything,
            "a host went back to an older revision",
        ),
        (
            FORKING,
            Mutant::IgnoreDescent,
            "a change in force was lost by adoption",
        ),
        (
            RETIRING,
            Mutant::ServiceCheckedBefore,
            "a route was left without its service",
        ),
    ];
    for (model, mutant, promise) in cases {
        let model = Commits {
            mutant: Some(mutant),
            ..model
        };
        let violation = explore(&model).violation;
        let violation = violation.unwrap_or_else(|| panic!("{mutant:?} is not caught"));
        println!("{mutant:?}: {violation}");
        assert_eq!(violation.promise, promise, "{mutant:?}");
    }
}
