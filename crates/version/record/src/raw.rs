//! Unvalidated records, as stored in files and sent on the wire.
//!
//! Parsing into these types checks only syntax and field types. Values are
//! validated by the `TryFrom` implementations of the validated types. Unknown
//! fields are errors, because a misspelt optional field would otherwise
//! silently take its default.

use {
    crate::{limits::MAX_RECORD_BYTES, raw_v1::RawRecordV1, Record, Route, Service},
    kind::{Error, Kind, Result},
    serde::{Deserialize, Deserializer, Serialize},
};

/// Current schema version, which this release writes.
pub(crate) const SCHEMA_VERSION: u32 = 2;

/// Previous schema version, which this release still reads.
const PREVIOUS_SCHEMA_VERSION: u32 = 1;

/// The field that all schema versions have in common, which selects the parser.
#[derive(Deserialize)]
struct Schema {
    schema_version: u32,
}

/// A record as written by an operator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawRecord {
    /// Schema version of the record.
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
    /// Deadline of a request that does not set one, in milliseconds.
    pub default_deadline_ms: u64,
    /// Maximum deadline that a request may set, in milliseconds.
    pub max_deadline_ms: u64,
    /// Shard coverage that an answer requires.
    #[serde(default)]
    pub coverage: RawCoverage,
    /// Hedging of calls to slow shards.
    #[serde(default)]
    pub hedge: RawHedge,
    /// Minimum share of the service's capacity that each rank gets under overload.
    #[serde(default)]
    pub floors: RawFloors,
    /// Retention time of claims on idempotency keys, in hours.
    #[serde(default = "default_retention_hours")]
    pub claim_retention_hours: u64,
    /// How claims on idempotency keys are written: `single` or `batched`.
    // The default is not serialized, because older releases reject this field as unknown.
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

/// Shard coverage that the answers of a route require.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawCoverage {
    /// Minimum share of shards that an answer must cover, from 0 to 1.
    pub min_share: f64,
    /// What to do while shards are missing: `wait` or `early`.
    pub when_short: String,
    /// Time after which an early answer may be sent, in milliseconds.
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

/// Hedging of calls to slow shards.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawHedge {
    /// Quantile of recent latency after which a hedge call is sent; 0 disables hedging.
    pub quantile: f64,
    /// Maximum share of upstream calls that may be hedges, from 0 to 1.
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

/// Minimum shares of the service's capacity for each rank under overload, from 0 to 1.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawFloors {
    /// Share of urgent requests.
    pub urgent: f64,
    /// Share of routine requests.
    pub routine: f64,
    /// Share of background requests.
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
    /// Maximum number of connections that each server accepts.
    pub connection_limit: u32,
    /// Maximum number of requests that each server executes concurrently.
    pub slots: u32,
    /// Number of hosts that act as relays for the service; 0 selects the default.
    #[serde(default)]
    pub relays: u32,
    /// Available versions of the index, each with its own partition into shards.
    pub indexes: Vec<RawIndex>,
}

/// One version of the index of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawIndex {
    /// Version of the index.
    pub version: u64,
    /// Shards of the index.
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

/// One upstream server of a shard.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawServer {
    /// IP address and port of the server.
    pub addr: String,
    /// Availability zone of the server.
    pub zone: String,
}

impl RawRecord {
    /// Parses a record in the TOML format that operators write.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::BadRecord`] for malformed text, or, with the path to the
    /// field, for a field that is unknown or of the wrong type. Returns
    /// [`Kind::RecordTooLarge`] if the text exceeds [`MAX_RECORD_BYTES`].
    pub fn from_toml(text: &str) -> Result<Self> {
        check_size(text)?;
        let parse = || {
            toml::Deserializer::parse(text).map_err(|e| Error::new(Kind::BadRecord, e.to_string()))
        };
        match schema_version(parse()?)? {
            PREVIOUS_SCHEMA_VERSION => deserialize::<RawRecordV1, _>(parse()?)?.try_into(),
            _ => deserialize(parse()?),
        }
    }

    /// Parses a record in the JSON format used on the wire.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::BadRecord`] for malformed text, or, with the path to the
    /// field, for a field that is unknown or of the wrong type. Returns
    /// [`Kind::RecordTooLarge`] if the text exceeds [`MAX_RECORD_BYTES`].
    pub fn from_json(text: &str) -> Result<Self> {
        check_size(text)?;
        let mut deserializer = serde_json::Deserializer::from_str(text);
        let raw = match schema_version(&mut serde_json::Deserializer::from_str(text))? {
            PREVIOUS_SCHEMA_VERSION => {
                deserialize::<RawRecordV1, _>(&mut deserializer)?.try_into()?
            }
            _ => deserialize(&mut deserializer)?,
        };
        deserializer
            .end()
            .map_err(|e| Error::new(Kind::BadRecord, e.to_string()))?;
        Ok(raw)
    }

    /// Serializes the record to the JSON format used on the wire.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

impl TryFrom<RawRecord> for Record {
    type Error = Error;

    fn try_from(raw: RawRecord) -> Result<Self> {
        if raw.schema_version != SCHEMA_VERSION {
            return Err(crate::invalid_field(
                "schema_version",
                format!("schema version {} is not supported", raw.schema_version),
            ));
        }
        match (&raw.route, &raw.service) {
            (Some(_), None) => Route::try_from(raw).map(Self::Route),
            (None, Some(_)) => Service::try_from(raw).map(Self::Service),
            _ => Err(crate::invalid_field(
                ".",
                "a record must have exactly one of [route] and [service]",
            )),
        }
    }
}

fn schema_version<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32>
where
    D::Error: std::error::Error,
{
    Ok(deserialize::<Schema, _>(deserializer)?.schema_version)
}

fn deserialize<'de, T: Deserialize<'de>, D: Deserializer<'de>>(deserializer: D) -> Result<T>
where
    D::Error: std::error::Error,
{
    serde_path_to_error::deserialize(deserializer).map_err(|e| deserialize_error(&e))
}

fn check_size(text: &str) -> Result<()> {
    if text.len() > MAX_RECORD_BYTES {
        return Err(Error::new(
            Kind::RecordTooLarge,
            format!(
                "the record is {} bytes long, the limit is {MAX_RECORD_BYTES}",
                text.len()
            ),
        ));
    }
    Ok(())
}

fn deserialize_error<E: std::error::Error>(error: &serde_path_to_error::Error<E>) -> Error {
    // The message of a TOML error ends with a newline.
    let problem = error.inner().to_string();
    crate::invalid_field(&error.path().to_string(), problem.trim_end())
}
