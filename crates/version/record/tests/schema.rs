//! Tests of the schema versions and of record validation.

use {
    kind::Kind,
    record::{
        ClaimLocations, Head, HeadEntry, InForce, IncompletePolicy, RawRecord, Record,
        MAX_RECORD_BYTES,
    },
};

const SERVICE_V1: &str = r#"
schema_version = 1
name = "restock-desk"
version = 1
[service]
connection_limit = 25
slots = 2
index_version = 7
servers = [
  { shard = 1, addr = "10.0.0.3:9000", zone = "z1" },
  { shard = 0, addr = "10.0.0.1:9000", zone = "z1" },
  { shard = 0, addr = "10.0.0.2:9000", zone = "z2" },
]
"#;

const SERVICE_V2: &str = r#"
schema_version = 2
name = "restock-desk"
version = 1
[service]
connection_limit = 25
slots = 2
[[service.indexes]]
version = 7
shards = [
  { id = 0, servers = [
    { addr = "10.0.0.1:9000", zone = "z1" },
    { addr = "10.0.0.2:9000", zone = "z2" },
  ] },
  { id = 1, servers = [{ addr = "10.0.0.3:9000", zone = "z1" }] },
]
"#;

const ROUTE_V1: &str = r#"
schema_version = 1
name = "shortfall"
version = 1
[route]
service = "restock-desk"
repeatable = true
default_deadline_ms = 100
max_deadline_ms = 1000
min_coverage_percent = 95
"#;

#[test]
fn both_schema_versions_give_the_same_service() {
    let old = Record::from_toml(SERVICE_V1).unwrap();
    let new = Record::from_toml(SERVICE_V2).unwrap();
    assert_eq!(old, new);
}

#[test]
fn schema_version_1_coverage_percentage_is_converted_to_a_share() {
    let Record::Route(route) = Record::from_toml(ROUTE_V1).unwrap() else {
        panic!("not a route");
    };
    assert_eq!(route.coverage.min_share, 0.95);
    assert_eq!(route.coverage.when_short, IncompletePolicy::Wait);
}

#[test]
fn records_round_trip_through_json() {
    for text in [SERVICE_V1, SERVICE_V2, ROUTE_V1] {
        let raw = RawRecord::from_toml(text).unwrap();
        assert_eq!(RawRecord::from_json(&raw.to_json()).unwrap(), raw);
    }
}

#[test]
fn schema_version_1_json_is_accepted_without_trailing_text() {
    let text = r#"{"schema_version":1,"name":"r","version":3,"route":{"service":"s",
        "repeatable":false,"default_deadline_ms":5,"max_deadline_ms":9}}"#;
    let record = Record::from_json(text).unwrap();
    assert_eq!(record.version(), 3);
    assert!(Record::from_json(&format!("{text} more")).is_err());
}

const BOOKING: &str = r#"
schema_version = 2
name = "tow-slot"
version = 1
[route]
service = "restock-desk"
repeatable = false
default_deadline_ms = 100
max_deadline_ms = 1000
claims = "batched"
"#;

/// Returns version `version` of the booking route with the given `claims` value.
fn booking(version: u32, claims: &str) -> RawRecord {
    let version = format!("version = {version}\n[route]");
    let text = BOOKING.replace("version = 1\n[route]", &version);
    RawRecord::from_toml(&text.replace("batched", claims)).expect("the record should be valid")
}

#[test]
fn default_claims_value_is_omitted_for_older_releases() {
    assert!(!booking(1, "single").to_json().contains("claims"));
    assert!(booking(1, "batched").to_json().contains("claims"));
}

#[test]
fn versions_with_different_claim_write_modes_use_both_places() {
    let cases: &[(&[&str], ClaimLocations)] = &[
        (&[], ClaimLocations::Keys),
        (&["single"], ClaimLocations::Keys),
        (&["single", "batched"], ClaimLocations::KeysAndLog),
        (&["batched", "single"], ClaimLocations::KeysAndLog),
        (&["batched", "batched"], ClaimLocations::Log),
    ];
    for (versions, expected) in cases {
        let numbered = (1..).zip(*versions);
        let raw_records: Vec<_> = numbered.map(|(i, claims)| booking(i, claims)).collect();
        let records = raw_records.into_iter().map(Record::try_from);
        let mut records = records.collect::<Result<Vec<_>, _>>().unwrap();
        let head = Head {
            entries: records.iter().map(entry).collect(),
            ..Head::default()
        };
        let in_force = InForce::build(&head, |_| Ok(records.remove(0))).unwrap();
        assert_eq!(
            in_force.claim_locations("tow-slot"),
            *expected,
            "{versions:?}"
        );
    }
}

fn entry(record: &Record) -> HeadEntry {
    HeadEntry {
        id: record.id(),
        body_key: String::new(),
        revision: 1,
        service: None,
    }
}

struct InvalidCase {
    source: &'static str,
    original: &'static str,
    replacement: &'static str,
    path: &'static str,
}

const INVALID_CASES: &[InvalidCase] = &[
    InvalidCase {
        source: BOOKING,
        original: "batched",
        replacement: "none",
        path: "route.claims",
    },
    InvalidCase {
        source: ROUTE_V1,
        original: "min_coverage_percent",
        replacement: "min_coverage_permille",
        path: "route.min_coverage_permille",
    },
    InvalidCase {
        source: ROUTE_V1,
        original: "= 95",
        replacement: "= 101",
        path: "route.min_coverage_percent",
    },
    InvalidCase {
        source: ROUTE_V1,
        original: "schema_version = 1",
        replacement: "schema_version = 3",
        path: "",
    },
    InvalidCase {
        source: SERVICE_V1,
        original: "shard = 1",
        replacement: "shards = 1",
        path: "service.servers[0].shards",
    },
    InvalidCase {
        source: SERVICE_V1,
        original: "10.0.0.3:9000",
        replacement: "upstream-3",
        path: "service.indexes[0].shards[1].servers[0].addr",
    },
    InvalidCase {
        source: SERVICE_V2,
        original: "slots = 2",
        replacement: "slots = 0",
        path: "service.slots",
    },
    InvalidCase {
        source: SERVICE_V2,
        original: "slots = 2",
        replacement: "slots = 2\nslot_count = 3",
        path: "service.slot_count",
    },
    InvalidCase {
        source: SERVICE_V2,
        original: "zone = \"z2\"",
        replacement: "zone = \"z2\", rack = 4",
        path: "service.indexes[0].shards[0].servers[1].rack",
    },
    InvalidCase {
        source: SERVICE_V2,
        original: "id = 1",
        replacement: "id = 0",
        path: "service.indexes[0].shards[1]",
    },
    InvalidCase {
        source: SERVICE_V2,
        original: "name = \"restock-desk\"",
        replacement: "name = \"Restock Desk\"",
        path: "name",
    },
];

#[test]
fn invalid_fields_are_reported_with_their_path() {
    for case in INVALID_CASES {
        assert!(case.source.contains(case.original), "{}", case.original);
        let text = case.source.replacen(case.original, case.replacement, 1);
        let error = Record::from_toml(&text).unwrap_err();
        assert_eq!(error.kind(), Kind::BadRecord, "{error}");
        assert!(
            error.detail().starts_with(case.path),
            "{:?} does not start with {:?}",
            error.detail(),
            case.path
        );
    }
}

#[test]
fn oversized_record_is_rejected_as_record_too_large() {
    let text = format!("{ROUTE_V1}# {}", "x".repeat(MAX_RECORD_BYTES));
    let error = Record::from_toml(&text).unwrap_err();
    assert_eq!(error.kind(), Kind::RecordTooLarge);
}
