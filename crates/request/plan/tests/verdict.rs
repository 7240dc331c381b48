//! Error kinds for insufficient coverage, and what a failed call implies about execution.

use {
    kind::{Kind, Ran},
    plan::{check_coverage, CoverageReport, LeafFailure, LeafFault, MissingShard, Reason, Refusal},
    record::{Coverage, IncompletePolicy},
};

const REQUIRED: Coverage = Coverage {
    min_share: 0.75,
    when_short: IncompletePolicy::Wait,
};

fn report(covered: u32, missing: &[Reason]) -> CoverageReport {
    CoverageReport {
        covered: (0..covered).collect(),
        missing: (covered..)
            .zip(missing)
            .map(|(shard, reason)| MissingShard {
                shard,
                reason: *reason,
                zones: vec!["zone-0".to_owned()],
            })
            .collect(),
    }
}

#[test]
fn error_kind_follows_from_the_reasons() {
    use Reason::*;
    let cases = [
        (0, vec![Unreachable; 2], Ran::No, Kind::Unreachable),
        (0, vec![Shed, Draining], Ran::No, Kind::Shed),
        (0, vec![Deadline; 2], Ran::Unknown, Kind::DeadlineExceeded),
        (0, vec![Lost, Mismatch], Ran::Unknown, Kind::UpstreamLost),
        (0, vec![Quarantined; 2], Ran::No, Kind::Quarantined),
        (0, vec![VersionGone; 2], Ran::No, Kind::LowCoverage),
        (0, vec![Unreachable, Shed], Ran::No, Kind::LowCoverage),
        (1, vec![Unreachable; 3], Ran::Yes, Kind::LowCoverage),
        (2, vec![Deadline; 2], Ran::Yes, Kind::LowCoverage),
    ];
    for (covered, missing, ran, kind) in cases {
        let error = check_coverage(&report(covered, &missing), ran, &REQUIRED).unwrap_err();
        assert_eq!((error.kind(), error.ran()), (kind, ran), "{missing:?}");
    }
}

#[test]
fn minimum_share_suffices_unless_no_shard_answered() {
    for (covered, missing) in [(4, vec![]), (3, vec![Reason::Lost])] {
        assert!(check_coverage(&report(covered, &missing), Ran::Yes, &REQUIRED).is_ok());
    }
    let no_minimum = Coverage {
        min_share: 0.0,
        ..REQUIRED
    };
    let none_covered = report(0, &[Reason::Unreachable]);
    assert!(
        check_coverage(&none_covered, Ran::No, &no_minimum).is_err(),
        "accepted although no shard answered"
    );
}

#[test]
fn not_run_is_reported_only_when_certain() {
    let refused = |ran, echoes_ids| {
        LeafFault::Refused(Refusal {
            reason: Reason::Shed,
            ran,
            echoes_ids,
            newest_version: None,
        })
    };
    let cases = [
        (LeafFault::NoConnection, Ran::No, false),
        (LeafFault::NotWritten, Ran::No, false),
        (LeafFault::LostAfterWrite, Ran::Unknown, false),
        (LeafFault::LostInReply, Ran::Unknown, false),
        (LeafFault::Malformed, Ran::Unknown, false),
        (LeafFault::Mismatch, Ran::Unknown, false),
        (refused(Ran::No, true), Ran::No, true),
        (refused(Ran::Unknown, true), Ran::Unknown, true),
        (refused(Ran::Yes, true), Ran::Yes, true),
        (refused(Ran::No, false), Ran::Unknown, false),
    ];
    for (fault, ran, keeps_connection) in cases {
        assert_eq!(LeafFailure::from(fault).ran, ran, "{fault:?}");
        assert_eq!(fault.keeps_connection(), keeps_connection, "{fault:?}");
    }
}
