//! Tests of the table that maps kinds to answers.

use {
    kind::{Error, Kind, Ran},
    std::collections::HashSet,
};

#[test]
fn names_are_unique_and_statuses_are_errors() {
    let mut names = HashSet::new();
    for kind in Kind::ALL {
        let answer = kind.answer();
        assert!(names.insert(answer.name), "duplicate name {}", answer.name);
        assert!((400..600).contains(&answer.status), "{}", answer.name);
        assert!(!answer.title.is_empty());
    }
}

#[test]
fn kinds_that_can_follow_execution_default_to_unknown() {
    let kinds_after_dispatch = [
        Kind::AlreadyClaimed,
        Kind::DeadlineExceeded,
        Kind::StoreUnknown,
        Kind::UpstreamLost,
        Kind::HostLost,
        Kind::Internal,
    ];
    for kind in kinds_after_dispatch {
        assert_eq!(Error::new(kind, "").ran(), Ran::Unknown, "{kind:?}");
    }
}
