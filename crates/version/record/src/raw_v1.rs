//! Schema version 1, converted to the present one.
//!
//! Version 1 knows one index for each service, lists its servers flat with
//! the shard that each holds, and states coverage as a percentage. Records of
//! both versions are in force side by side.

use {
    crate::{
        bad_field, raw::SCHEMA_VERSION, RawCoverage, RawFloors, RawHedge, RawIndex, RawRecord,
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

    fn try_from(old: RawRecordV1) -> Result<Self> {
        Ok(Self {
            schema_version: SCHEMA_VERSION,
            name: old.name,
            version: old.version,
            route: old.route.map(RawRoute::try_from).transpose()?,
            service: old.service.map(RawService::from),
        })
    }
}

impl TryFrom<RawRouteV1> for RawRoute {
    type Error = Error;

    fn try_from(old: RawRouteV1) -> Result<Self> {
        if old.min_coverage_percent > MAX_PERCENT {
            return Err(bad_field(
                "route.min_coverage_percent",
                format!(
                    "{} is out of range, allowed is 0 to {MAX_PERCENT}",
                    old.min_coverage_percent
                ),
            ));
        }
        Ok(Self {
            service: old.service,
            repeatable: old.repeatable,
            default_deadline_ms: old.default_deadline_ms,
            max_deadline_ms: old.max_deadline_ms,
            coverage: RawCoverage {
                min_share: f64::from(old.min_coverage_percent) / f64::from(MAX_PERCENT),
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
    fn from(old: RawServiceV1) -> Self {
        let mut shards: BTreeMap<ShardId, Vec<RawServer>> = BTreeMap::new();
        for server in old.servers {
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
            connection_limit: old.connection_limit,
            slots: old.slots,
            relays: 0,
            indexes: vec![RawIndex {
                version: old.index_version,
                shards,
            }],
        }
    }
}
