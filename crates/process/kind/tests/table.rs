//! Tests of the table from kind to answer.

use {
    kind::{Error, Kind, Ran},
    std::collections::HashSet,
};

#[test]
fn names_are_unique_and_statuses_are_errors() {
    let mut names = HashSet::new();
    for kind in Kind::ALL {
        let answer = kind.answer();
        assert!(names.insert(answer.name), "{} stands twice", answer.name);
        assert!((400..600).contains(&answer.status), "{}", answer.name);
        assert!(!answer.title.is_empty());
    }
}

#[test]
fn a_kind_that_can_follow_execution_does_not_claim_no() {
    let after_dispatch = [
        Kind::AlreadyClaimed,
        Kind::DeadlineExceeded,
        Kind::StoreUnknown,
        Kind::UpstreamLost,
        Kind::HostLost,
        Kind::Internal,
    ];
    for kind in after_dispatch {
        assert_eq!(Error::new(kind, "").ran(), Ran::Unknown, "{kind:?}");
    }
}
