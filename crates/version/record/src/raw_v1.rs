//! Schema version 1 and its conversion to the current version.
//!
//! In version 1 a service has a single index, its servers are a flat list in
//! which each server gives its shard, and coverage is a percentage. Records of
//! both versions can be in force at the same time.

use {
    crate::{
        invalid_field, raw::SCHEMA_VERSION, RawCoverage, RawFloors, RawHedge, RawIndex, RawRecord,
        RawRoute, RawServer, RawService, RawShard, ShardId,
    },
    kind::{Error, Result},
    serde::Deserialize,
    std::collections::BTreeMap,
};

const MAX_PERCENT: u32 = 100;

/// A record of schema version 1.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawRecordV1 {
    #[serde(rename = "schema_version")]
    _schema_version: u32,
    name: String,
    version: u32,
    route: Option<RawRouteV1>,
    service: Option<RawServiceV1>,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
struct RawRouteV1 {
    service: String,
    repeatable: bool,
    default_deadline_ms: u64,
    max_deadline_ms: u64,
    #[serde(default = "full_percent")]
    min_coverage_percent: u32,
}

fn full_percent() -> u32 {
    MAX_PERCENT
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
struct RawServiceV1 {
    connection_limit: u32,
    slots: u32,
    index_version: u64,
    servers: Vec<RawServerV1>,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
struct RawServerV1 {
    shard: u32,
    addr: String,
    zone: String,
}

impl TryFrom<RawRecordV1> for RawRecord {
    type Error = Error;

    fn try_from(v1: RawRecordV1) -> Result<Self> {
        Ok(Self {
            schema_version: SCHEMA_VERSION,
            name: v1.name,
            version: v1.version,
            route: v1.route.map(RawRoute::try_from).transpose()?,
            service: v1.service.map(RawService::from),
        })
    }
}

impl TryFrom<RawRouteV1> for RawRoute {
    type Error = Error;

    fn try_from(v1: RawRouteV1) -> Result<Self> {
        if v1.min_coverage_percent > MAX_PERCENT {
            return Err(invalid_field(
                "route.min_coverage_percent",
                format!(
                    "{} is out of range, expected 0 to {MAX_PERCENT}",
                    v1.min_coverage_percent
                ),
            ));
        }
        Ok(Self {
            service: v1.service,
            repeatable: v1.repeatable,
            default_deadline_ms: v1.default_deadline_ms,
            max_deadline_ms: v1.max_deadline_ms,
            coverage: RawCoverage {
                min_share: f64::from(v1.min_coverage_percent) / f64::from(MAX_PERCENT),
                ..RawCoverage::default()
            },
            hedge: RawHedge::default(),
            floors: RawFloors::default(),
            claim_retention_hours: crate::raw::default_retention_hours(),
            claims: crate::raw::single_claims(),
        })
    }
}

impl From<RawServiceV1> for RawService {
    fn from(v1: RawServiceV1) -> Self {
        let mut shards: BTreeMap<ShardId, Vec<RawServer>> = BTreeMap::new();
        for server in v1.servers {
            shards.entry(server.shard).or_default().push(RawServer {
                addr: server.addr,
                zone: server.zone,
            });
        }
        let shards = shards
            .into_iter()
            .map(|(id, servers)| RawShard { id, servers })
            .collect();
        Self {
            connection_limit: v1.connection_limit,
            slots: v1.slots,
            relays: 0,
            indexes: vec![RawIndex {
                version: v1.index_version,
                shards,
            }],
        }
    }
}
