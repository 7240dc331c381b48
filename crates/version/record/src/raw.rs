//! Raw records as they stand in files and on the wire.
//!
//! These types hold whatever parses; the checks are in the `TryFrom`
//! implementations of the checked types. Unknown fields are errors, so that a
//! misspelt field never passes for a default.

use {
    crate::{limits::MAX_RECORD_BYTES, raw_v1::RawRecordV1, Record, Route, Service},
    kind::{Error, Kind, Result},
    serde::{Deserialize, Deserializer, Serialize},
};

/// Schema version that this release writes.
pub(crate) const SCHEMA_VERSION: u32 = 2;

/// Older schema version that this release still reads.
const OLD_SCHEMA_VERSION: u32 = 1;

/// The one field that every schema version has.
#[derive(Deserialize)]
struct Schema {
    schema_version: u32,
}

/// A record as written by an operator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawRecord {
    /// Version of this schema.
    pub schema_version: u32,
    /// Name of the record.
    pub name: String,
    /// Version of the record.
    pub version: u32,
    /// Body of a route record.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub route: Option<RawRoute>,
    /// Body of a service record.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<RawService>,
}

/// Body of a route record.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawRoute {
    /// Name of the service record that the route uses.
    pub service: String,
    /// Whether a request may be executed more than once.
    pub repeatable: bool,
    /// Deadline of a request that names none, in milliseconds.
    pub default_deadline_ms: u64,
    /// Longest deadline that a request may name, in milliseconds.
    pub max_deadline_ms: u64,
    /// Demands on coverage.
    #[serde(default)]
    pub coverage: RawCoverage,
    /// Hedging of slow shards.
    #[serde(default)]
    pub hedge: RawHedge,
    /// Share of the service that each rank keeps in a flood.
    #[serde(default)]
    pub floors: RawFloors,
    /// Time for which claims of idempotency keys are kept, in hours.
    #[serde(default = "default_retention_hours")]
    pub claim_retention_hours: u64,
    /// How claims of idempotency keys are written: `single` or `batched`.
    // Left out when it is the default, because former releases do not know it.
    #[serde(default = "single_claims", skip_serializing_if = "is_single_claims")]
    pub claims: String,
}

pub(crate) fn single_claims() -> String {
    "single".to_owned()
}

fn is_single_claims(claims: &String) -> bool {
    claims == "single"
}

pub(crate) fn default_retention_hours() -> u64 {
    24
}

/// Demands of a route on coverage.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawCoverage {
    /// Least share of shards that an answer must cover, from 0 to 1.
    pub min_share: f64,
    /// What to do once the least share is reached: `wait` or `early`.
    pub when_short: String,
    /// Time after which an early answer may go out, in milliseconds.
    #[serde(default)]
    pub early_after_ms: u64,
}

impl Default for RawCoverage {
    fn default() -> Self {
        Self {
            min_share: 1.0,
            when_short: "wait".to_owned(),
            early_after_ms: 0,
        }
    }
}

/// Hedging of slow shards.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawHedge {
    /// Quantile of recent latency after which a second call is made; 0 turns hedging off.
    pub quantile: f64,
    /// Largest share of leaf calls that may be hedges, from 0 to 1.
    pub budget_share: f64,
}

impl Default for RawHedge {
    fn default() -> Self {
        Self {
            quantile: 0.95,
            budget_share: 0.05,
        }
    }
}

/// Shares of the service that the ranks keep in a flood, from 0 to 1.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawFloors {
    /// Share of urgent work.
    pub urgent: f64,
    /// Share of routine work.
    pub routine: f64,
    /// Share of background work.
    pub background: f64,
}

impl Default for RawFloors {
    fn default() -> Self {
        Self {
            urgent: 0.3,
            routine: 0.1,
            background: 0.05,
        }
    }
}

/// Body of a service record.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
    /// Number of connections that each server accepts.
    pub connection_limit: u32,
    /// Number of requests that each server executes at once.
    pub slots: u32,
    /// Number of relays of the service; 0 takes the default of the release.
    #[serde(default)]
    pub relays: u32,
    /// Indexes in force, each with its own partition map.
    pub indexes: Vec<RawIndex>,
}

/// One version of the index of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawIndex {
    /// Version of the index.
    pub version: u64,
    /// Shards of this version.
    pub shards: Vec<RawShard>,
}

/// One shard of an index.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawShard {
    /// Number of the shard.
    pub id: u32,
    /// Servers that hold the shard.
    pub servers: Vec<RawServer>,
}

/// One server of a shard.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawServer {
    /// Address, as an IP number with a port.
    pub addr: String,
    /// Availability zone.
    pub zone: String,
}

impl RawRecord {
    /// Parses the TOML text that operators write.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::BadRecord`] with the path to the field, or
    /// [`Kind::RecordTooLarge`].
    pub fn from_toml(text: &str) -> Result<Self> {
        check_size(text)?;
        let parse = || {
            toml::Deserializer::parse(text).map_err(|e| Error::new(Kind::BadRecord, e.to_string()))
        };
        match schema_version(parse()?)? {
            OLD_SCHEMA_VERSION => read::<RawRecordV1, _>(parse()?)?.try_into(),
            _ => read(parse()?),
        }
    }

    /// Parses the JSON text used on the wire.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::BadRecord`] with the path to the field, or
    /// [`Kind::RecordTooLarge`].
    pub fn from_json(text: &str) -> Result<Self> {
        check_size(text)?;
        let mut value = serde_json::Deserializer::from_str(text);
        let raw = match schema_version(&mut serde_json::Deserializer::from_str(text))? {
            OLD_SCHEMA_VERSION => read::<RawRecordV1, _>(&mut value)?.try_into()?,
            _ => read(&mut value)?,
        };
        value
            .end()
            .map_err(|e| Error::new(Kind::BadRecord, e.to_string()))?;
        Ok(raw)
    }

    /// Returns the JSON text used on the wire.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

impl TryFrom<RawRecord> for Record {
    type Error = Error;

    fn try_from(raw: RawRecord) -> Result<Self> {
        if raw.schema_version != SCHEMA_VERSION {
            return Err(crate::bad_field(
                "schema_version",
                format!("{} is not supported", raw.schema_version),
            ));
        }
        match (&raw.route, &raw.service) {
            (Some(_), None) => Route::try_from(raw).map(Self::Route),
            (None, Some(_)) => Service::try_from(raw).map(Self::Service),
            _ => Err(crate::bad_field(
                ".",
                "a record has exactly one of [route] and [service]",
            )),
        }
    }
}

fn schema_version<'de, D: Deserializer<'de>>(value: D) -> Result<u32>
where
    D::Error: std::error::Error,
{
    Ok(read::<Schema, _>(value)?.schema_version)
}

fn read<'de, T: Deserialize<'de>, D: Deserializer<'de>>(value: D) -> Result<T>
where
    D::Error: std::error::Error,
{
    serde_path_to_error::deserialize(value).map_err(|e| field_error(&e))
}

fn check_size(text: &str) -> Result<()> {
    if text.len() > MAX_RECORD_BYTES {
        return Err(Error::new(
            Kind::RecordTooLarge,
            format!("{} bytes, allowed are {MAX_RECORD_BYTES}", text.len()),
        ));
    }
    Ok(())
}

fn field_error<E: std::error::Error>(error: &serde_path_to_error::Error<E>) -> Error {
    // The text of a TOML error ends with a line of its own.
    let problem = error.inner().to_string();
    crate::bad_field(&error.path().to_string(), problem.trim_end())
}
