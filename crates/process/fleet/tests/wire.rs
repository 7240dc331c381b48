//! Messages of the former and the next release, as they stand on the wire.

use {
    fleet::{
        is_spoken, ClaimCall, ClaimReply, Message, PeerResponse, QueryAnswer, QueryCall, Standing,
        WireError, WireMessage, PROTOCOL_VERSION,
    },
    kind::{Error, Kind, Ran},
    std::time::Duration,
};

/// A query of release 1.
const QUERY_CALL_1: &str = r#"{
    "protocol_version": 1, "request_id": "00000000000000000000000000000abc",
    "route": "shortfall", "route_version": 1, "tenant": "clerks", "rank": "urgent",
    "time_left_ms": 480, "query": {"item": "barrel"}
}"#;

/// An answer of release 1.
const QUERY_ANSWER_1: &str = r#"{
    "request_id": "00000000000000000000000000000abc", "revision": 2, "index_version": 1,
    "coverage": {"index_version": 1, "covered": [0], "missing": [
        {"shard": 1, "reason": "deadline", "zones": ["zone-0"]}
    ]},
    "rows": [{"shard": 0, "rows": [1]}], "ran": "yes"
}"#;

/// An error of release 1.
const ERROR_1: &str = r#"{"kind": "draining", "ran": "no", "detail": "the host is draining", "retry_after_ms": null}"#;

/// The reply of a later release, with a kind, a state of execution and a field that are unknown here.
const REPLY_LATER: &str = r#"{"Query": {"Err": {
    "kind": "too-hot", "ran": "RAN", "detail": "cooling down", "retry_after_ms": 50, "new": 1
}}}"#;

/// The least that a host of any release says in an exchange.
const EXCHANGE_LEAST: &str = r#"{
    "p": 2, "m": {"i": "host-1", "a": "10.0.0.1:7001", "g": "north", "z": "north-a", "n": 7}
}"#;

/// An exchange of a later release, with fields and a standing that are unknown here.
const EXCHANGE_LATER: &str = r#"{
    "p": 3, "new": {"deep": [1]}, "r": 4,
    "m": {"i": "host-1", "a": "10.0.0.1:7001", "g": "north", "z": "north-a", "n": 7, "new": 1},
    "e": [{"i": "host-2", "a": "10.0.0.2:7001", "g": "north", "z": "north-b", "n": 7, "s": 9}],
    "o": ["00000000ab1", "", "zz"]
}"#;

/// The least that a claim says.
const CLAIM_LEAST: &str = r#"{
    "protocol_version": 2, "scope": "a", "attempt_id": "b", "fingerprint": "c", "retention_s": 3600
}"#;

#[test]
fn messages_of_the_former_release_are_read() {
    let call: QueryCall = serde_json::from_str(QUERY_CALL_1).unwrap();
    assert!(is_spoken(call.protocol_version));
    assert_eq!((call.route.as_str(), call.time_left_ms), ("shortfall", 480));
    let answer: QueryAnswer = serde_json::from_str(QUERY_ANSWER_1).unwrap();
    assert_eq!((answer.rows.len(), answer.ran), (1, Ran::Yes));
    let error: WireError = serde_json::from_str(ERROR_1).unwrap();
    let error = Error::from(error);
    assert_eq!((error.kind(), error.ran()), (Kind::Draining, Ran::No));
}

#[test]
fn an_error_of_an_unknown_kind_is_read_with_what_it_says_of_execution() {
    let cases = [
        ("no", Ran::No),
        ("unknown", Ran::Unknown),
        ("yes", Ran::Yes),
        ("halfway", Ran::Unknown),
    ];
    for (text, ran) in cases {
        let reply = serde_json::from_str(&REPLY_LATER.replace("RAN", text)).unwrap();
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
fn every_kind_survives_the_wire() {
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
fn the_former_release_can_read_what_this_one_says() {
    let call: QueryCall = serde_json::from_str(QUERY_CALL_1).unwrap();
    let now: serde_json::Value = serde_json::to_value(&call).unwrap();
    let then: serde_json::Value = serde_json::from_str(QUERY_CALL_1).unwrap();
    for (name, value) in then.as_object().unwrap() {
        assert_eq!(now.get(name), Some(value), "{name}");
    }
}

#[test]
fn missing_fields_have_defaults_and_unknown_ones_are_ignored() {
    let least: WireMessage = serde_json::from_str(EXCHANGE_LEAST).unwrap();
    let least = Message::from(least);
    assert_eq!(least.sender.standing, Standing::Alive);
    assert_eq!((least.revision, least.entries.len()), (0, 0));
    let later: WireMessage = serde_json::from_str(EXCHANGE_LATER).unwrap();
    assert!(is_spoken(later.protocol_version));
    let later = Message::from(later);
    assert_eq!(later.revision, 4);
    assert_eq!(later.entries[0].standing, Standing::Suspect);
    assert_eq!(later.reports.len(), 1);
    let claim: ClaimCall = serde_json::from_str(CLAIM_LEAST).unwrap();
    assert!(claim.outcome.is_none());
    let reply: ClaimReply = serde_json::from_str(r#"{"new": 1}"#).unwrap();
    assert!(reply.finished.is_none());
}

#[test]
fn neighbouring_versions_are_spoken_and_no_others() {
    let spoken: Vec<_> = (0..10).filter(|version| is_spoken(*version)).collect();
    assert_eq!(
        spoken,
        [PROTOCOL_VERSION - 1, PROTOCOL_VERSION, PROTOCOL_VERSION + 1]
    );
}

#[test]
fn a_message_survives_the_wire() {
    let later: WireMessage = serde_json::from_str(EXCHANGE_LATER).unwrap();
    let message = Message::from(later);
    let text = serde_json::to_string(&WireMessage::from(message.clone())).unwrap();
    let back: WireMessage = serde_json::from_str(&text).unwrap();
    assert_eq!(Message::from(back), message);
}
