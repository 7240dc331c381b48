//! Checks every reachable state of snapshot pinning and merging.

use model::{
    explore,
    merge::{MergeModel, Mutant},
};

const MAX_FAULTS: u8 = 1;

#[test]
fn an_answer_is_of_one_snapshot_and_reports_its_coverage_correctly() {
    for is_repeatable in [true, false] {
        let model = MergeModel::new(MAX_FAULTS, is_repeatable).expect("valid records");
        let report = explore(&model);
        println!(
            "merge, repeatable {is_repeatable}: {} states, {} steps",
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
            Mutant::IgnoreRequestId,
            true,
            "rows of another request are in the answer",
        ),
        (
            Mutant::IgnoreIndexVersion,
            true,
            "rows of another snapshot are in the answer",
        ),
        (
            Mutant::IgnoreShard,
            true,
            "rows of another shard are in the answer",
        ),
        (
            Mutant::LostMeansNotRun,
            false,
            "a shard may run a non-repeatable request twice",
        ),
    ];
    for (mutant, is_repeatable, invariant) in cases {
        let mut model = MergeModel::new(MAX_FAULTS, is_repeatable).expect("valid records");
        model.mutant = Some(mutant);
        let violation = explore(&model).violation;
        let violation = violation.unwrap_or_else(|| panic!("{mutant:?} is not detected"));
        println!("{mutant:?}: {violation}");
        assert_eq!(violation.invariant, invariant, "{mutant:?}");
    }
}
