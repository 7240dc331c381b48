//! Tests of compatibility with messages of the previous and the next release.

use {
    fleet::{
        is_supported_version, ClaimCall, ClaimReply, Liveness, Message, PeerResponse, QueryAnswer,
        QueryCall, WireError, WireMessage, PROTOCOL_VERSION,
    },
    kind::{Error, Kind, Ran},
    std::time::Duration,
};

/// A query of release 1.
const QUERY_CALL_V1: &str = r#"{
    "protocol_version": 1, "request_id": "00000000000000000000000000000abc",
    "route": "shortfall", "route_version": 1, "tenant": "clerks", "rank": "urgent",
    "time_left_ms": 480, "query": {"item": "barrel"}
}"#;

/// An answer of release 1.
const QUERY_ANSWER_V1: &str = r#"{
    "request_id": "00000000000000000000000000000abc", "revision": 2, "index_version": 1,
    "coverage": {"index_version": 1, "covered": [0], "missing": [
        {"shard": 1, "reason": "deadline", "zones": ["zone-0"]}
    ]},
    "rows": [{"shard": 0, "rows": [1]}], "ran": "yes"
}"#;

/// An error of release 1.
const ERROR_V1: &str = r#"{"kind": "draining", "ran": "no", "detail": "the host is draining", "retry_after_ms": null}"#;

/// A reply of a later release, with an unknown kind, execution state and field.
const LATER_REPLY: &str = r#"{"Query": {"Err": {
    "kind": "too-hot", "ran": "RAN", "detail": "cooling down", "retry_after_ms": 50, "new": 1
}}}"#;

/// The smallest valid message of an exchange.
const MINIMAL_EXCHANGE: &str = r#"{
    "p": 2, "m": {"i": "host-1", "a": "10.0.0.1:7001", "g": "north", "z": "north-a", "n": 7}
}"#;

/// A message of an exchange of a later release, with unknown fields and an unknown standing.
const LATER_EXCHANGE: &str = r#"{
    "p": 3, "new": {"deep": [1]}, "r": 4,
    "m": {"i": "host-1", "a": "10.0.0.1:7001", "g": "north", "z": "north-a", "n": 7, "new": 1},
    "e": [{"i": "host-2", "a": "10.0.0.2:7001", "g": "north", "z": "north-b", "n": 7, "s": 9}],
    "o": ["00000000ab1", "", "zz"]
}"#;

/// The smallest valid claim.
const MINIMAL_CLAIM: &str = r#"{
    "protocol_version": 2, "scope": "a", "attempt_id": "b", "fingerprint": "c", "retention_s": 3600
}"#;

#[test]
fn messages_of_the_previous_release_are_read() {
    let call: QueryCall = serde_json::from_str(QUERY_CALL_V1).unwrap();
    assert!(is_supported_version(call.protocol_version));
    assert_eq!((call.route.as_str(), call.time_left_ms), ("shortfall", 480));
    let answer: QueryAnswer = serde_json::from_str(QUERY_ANSWER_V1).unwrap();
    assert_eq!((answer.rows.len(), answer.ran), (1, Ran::Yes));
    let error: WireError = serde_json::from_str(ERROR_V1).unwrap();
    let error = Error::from(error);
    assert_eq!((error.kind(), error.ran()), (Kind::Draining, Ran::No));
}

#[test]
fn an_error_of_an_unknown_kind_keeps_its_execution_state() {
    let cases = [
        ("no", Ran::No),
        ("unknown", Ran::Unknown),
        ("yes", Ran::Yes),
        ("halfway", Ran::Unknown),
    ];
    for (text, ran) in cases {
        let reply = serde_json::from_str(&LATER_REPLY.replace("RAN", text)).unwrap();
        let PeerResponse::Query(Err(error)) = reply else {
            panic!("{text}: no error was read");
        };
        let error = Error::from(error);
        assert_eq!((error.kind(), error.ran()), (Kind::Internal, ran), "{text}");
        assert_eq!(error.detail(), "too-hot: cooling down");
        assert_eq!(error.retry_after(), Some(Duration::from_millis(50)));
    }
}

#[test]
fn every_kind_round_trips() {
    for kind in Kind::ALL {
        let error = Error::new(*kind, "detail").with_retry_after(Duration::from_millis(7));
        let reply = PeerResponse::Query(Err(error.clone().into()));
        let text = serde_json::to_string(&reply).unwrap();
        let PeerResponse::Query(Err(back)) = serde_json::from_str(&text).unwrap() else {
            panic!("{text}");
        };
        assert_eq!(Error::from(back), error);
    }
}

#[test]
fn the_previous_release_can_read_messages_of_this_one() {
    let call: QueryCall = serde_json::from_str(QUERY_CALL_V1).unwrap();
    let current: serde_json::Value = serde_json::to_value(&call).unwrap();
    let previous: serde_json::Value = serde_json::from_str(QUERY_CALL_V1).unwrap();
    for (name, value) in previous.as_object().unwrap() {
        assert_eq!(current.get(name), Some(value), "{name}");
    }
}

#[test]
fn missing_fields_have_defaults_and_unknown_ones_are_ignored() {
    let minimal: WireMessage = serde_json::from_str(MINIMAL_EXCHANGE).unwrap();
    let minimal = Message::from(minimal);
    assert_eq!(minimal.sender.standing, Liveness::Alive);
    assert_eq!((minimal.revision, minimal.entries.len()), (0, 0));
    let later: WireMessage = serde_json::from_str(LATER_EXCHANGE).unwrap();
    assert!(is_supported_version(later.protocol_version));
    let later = Message::from(later);
    assert_eq!(later.revision, 4);
    assert_eq!(later.entries[0].standing, Liveness::Suspect);
    assert_eq!(later.reports.len(), 1);
    let claim: ClaimCall = serde_json::from_str(MINIMAL_CLAIM).unwrap();
    assert!(claim.outcome.is_none());
    let reply: ClaimReply = serde_json::from_str(r#"{"new": 1}"#).unwrap();
    assert!(reply.finished.is_none());
}

#[test]
fn only_adjacent_versions_are_supported() {
    let supported: Vec<_> = (0..10)
        .filter(|version| is_supported_version(*version))
        .collect();
    assert_eq!(
        supported,
        [PROTOCOL_VERSION - 1, PROTOCOL_VERSION, PROTOCOL_VERSION + 1]
    );
}

#[test]
fn a_message_round_trips() {
    let later: WireMessage = serde_json::from_str(LATER_EXCHANGE).unwrap();
    let message = Message::from(later);
    let text = serde_json::to_string(&WireMessage::from(message.clone())).unwrap();
    let back: WireMessage = serde_json::from_str(&text).unwrap();
    assert_eq!(Message::from(back), message);
}
