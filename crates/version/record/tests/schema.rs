//! Tests of the schema versions and of the checks of records.

use {
    kind::Kind,
    record::{
        ClaimPlaces, Head, HeadEntry, InForce, RawRecord, Record, WhenShort, MAX_RECORD_BYTES,
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
fn a_service_of_either_schema_version_is_the_same_record() {
    let old = Record::from_toml(SERVICE_V1).unwrap();
    let new = Record::from_toml(SERVICE_V2).unwrap();
    assert_eq!(old, new);
}

#[test]
fn a_route_of_schema_version_1_states_coverage_as_a_percentage() {
    let Record::Route(route) = Record::from_toml(ROUTE_V1).unwrap() else {
        panic!("not a route");
    };
    assert_eq!(route.coverage.min_share, 0.95);
    assert_eq!(route.coverage.when_short, WhenShort::Wait);
}

#[test]
fn toml_and_json_of_a_record_are_the_same() {
    for text in [SERVICE_V1, SERVICE_V2, ROUTE_V1] {
        let raw = RawRecord::from_toml(text).unwrap();
        assert_eq!(RawRecord::from_json(&raw.to_json()).unwrap(), raw);
    }
}

#[test]
fn json_of_schema_version_1_is_understood() {
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

/// Returns the version `version` of the booking route with its way of claiming.
fn booking(version: u32, claims: &str) -> RawRecord {
    let version = format!("version = {version}\n[route]");
    let text = BOOKING.replace("version = 1\n[route]", &version);
    RawRecord::from_toml(&text.replace("batched", claims)).expect("a valid record")
}

#[test]
fn the_former_release_reads_a_route_that_claims_as_it_does() {
    assert!(!booking(1, "single").to_json().contains("claims"));
    assert!(booking(1, "batched").to_json().contains("claims"));
}

#[test]
fn versions_that_claim_in_different_ways_claim_in_both() {
    let cases: &[(&[&str], ClaimPlaces)] = &[
        (&[], ClaimPlaces::Keys),
        (&["single"], ClaimPlaces::Keys),
        (&["single", "batched"], ClaimPlaces::KeysAndLog),
        (&["batched", "single"], ClaimPlaces::KeysAndLog),
        (&["batched", "batched"], ClaimPlaces::Log),
    ];
    for (versions, wanted) in cases {
        let numbered = (1..).zip(*versions);
        let raws: Vec<_> = numbered.map(|(i, claims)| booking(i, claims)).collect();
        let records = raws.into_iter().map(Record::try_from);
        let mut records = records.collect::<Result<Vec<_>, _>>().unwrap();
        let head = Head {
            entries: records.iter().map(entry).collect(),
            ..Head::default()
        };
        let in_force = InForce::build(&head, |_| Ok(records.remove(0))).unwrap();
        assert_eq!(in_force.claim_places("tow-slot"), *wanted, "{versions:?}");
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

struct BadCase {
    from: &'static str,
    replaced: &'static str,
    by: &'static str,
    path: &'static str,
}

const BAD_CASES: &[BadCase] = &[
    BadCase {
        from: BOOKING,
        replaced: "batched",
        by: "none",
        path: "route.claims",
    },
    BadCase {
        from: ROUTE_V1,
        replaced: "min_coverage_percent",
        by: "min_coverage_permille",
        path: "route.min_coverage_permille",
    },
    BadCase {
        from: ROUTE_V1,
        replaced: "= 95",
        by: "= 101",
        path: "route.min_coverage_percent",
    },
    BadCase {
        from: ROUTE_V1,
        replaced: "schema_version = 1",
        by: "schema_version = 3",
        path: "",
    },
    BadCase {
        from: SERVICE_V1,
        replaced: "shard = 1",
        by: "shards = 1",
        path: "service.servers[0].shards",
    },
    BadCase {
        from: SERVICE_V1,
        replaced: "10.0.0.3:9000",
        by: "upstream-3",
        path: "service.indexes[0].shards[1].servers[0].addr",
    },
    BadCase {
        from: SERVICE_V2,
        replaced: "slots = 2",
        by: "slots = 0",
        path: "service.slots",
    },
    BadCase {
        from: SERVICE_V2,
        replaced: "slots = 2",
        by: "slots = 2\nslot_count = 3",
        path: "service.slot_count",
    },
    BadCase {
        from: SERVICE_V2,
        replaced: "zone = \"z2\"",
        by: "zone = \"z2\", rack = 4",
        path: "service.indexes[0].shards[0].servers[1].rack",
    },
    BadCase {
        from: SERVICE_V2,
        replaced: "id = 1",
        by: "id = 0",
        path: "service.indexes[0].shards[1]",
    },
    BadCase {
        from: SERVICE_V2,
        replaced: "name = \"restock-desk\"",
        by: "name = \"Restock Desk\"",
        path: "name",
    },
];

#[test]
fn bad_input_names_the_path_to_the_field() {
    for case in BAD_CASES {
        assert!(case.from.contains(case.replaced), "{}", case.replaced);
        let text = case.from.replacen(case.replaced, case.by, 1);
        let error = Record::from_toml(&text).unwrap_err();
        assert_eq!(error.kind(), Kind::BadRecord, "{error}");
        assert!(
            error.detail().starts_with(case.path),
            "{} is not at {}",
            error.detail(),
            case.path
        );
    }
}

#[test]
fn a_record_over_the_limit_has_its_own_kind() {
    let text = format!("{ROUTE_V1}# {}", "x".repeat(MAX_RECORD_BYTES));
    let error = Record::from_toml(&text).unwrap_err();
    assert_eq!(error.kind(), Kind::RecordTooLarge);
}
