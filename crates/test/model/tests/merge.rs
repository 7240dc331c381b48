//! Every reachable state of pin and merge.

use model::{
    explore,
    merge::{Merging, Mutant},
};

const FAULTS: u8 = 1;

#[test]
fn an_answer_is_of_one_snapshot_and_states_its_coverage_truly() {
    for is_repeatable in [true, false] {
        let model = Merging::new(FAULTS, is_repeatable).expect("valid records");
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
fn every_mutant_is_caught() {
    let cases = [
        (
            Mutant::AnyRequest,
            true,
            "rows of another request are in the answer",
        ),
        (
            Mutant::AnyVersion,
            true,
            "rows of another snapshot are in the answer",
        ),
        (
            Mutant::AnyShard,
            true,
            "rows of another shard are in the answer",
        ),
        (
            Mutant::LostIsNotRun,
            false,
            "a shard may run a non-repeatable request twice",
        ),
    ];
    for (mutant, is_repeatable, promise) in cases {
        let mut model = Merging::new(FAULTS, is_repeatable).expect("valid records");
        model.mutant = Some(mutant);
        let violation = explore(&model).violation;
        let violation = violation.unwrap_or_else(|| panic!("{mutant:?} is not caught"));
        println!("{mutant:?}: {violation}");
        assert_eq!(violation.promise, promise, "{mutant:?}");
    }
}
