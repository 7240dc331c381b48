//! The calls between hosts and their wire types.
//!
//! The wire types are separate from the internal types, so that either can
//! change independently. Fields added by a newer release need a default, because
//! hosts of two releases talk to each other during a rolling update.

use {
    crate::WireMessage,
    kind::{Error, Kind, Ran},
    plan::{Answer, CoverageReport, ShardRows},
    record::{
        HeadId, HostId, IndexVersion, Rank, RecordVersion, Revision, ShardId, TenantId, WireBundle,
    },
    serde::{Deserialize, Serialize},
    serde_json::value::RawValue,
    std::time::Duration,
};

/// Version of the protocol between hosts.
///
/// Version 2 added exchanges and probes.
pub const PROTOCOL_VERSION: u32 = 2;
/// Maximum difference between the protocol versions of two hosts.
const MAX_VERSION_SKEW: u32 = 1;

/// Returns whether messages of protocol `version` are supported.
///
/// A release supports its predecessor, and accepts messages of its successor
/// because the successor keeps all fields that this release reads.
pub fn is_supported_version(version: u32) -> bool {
    version.abs_diff(PROTOCOL_VERSION) <= MAX_VERSION_SKEW
}

/// A query that an entry sends to a relay.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct QueryCall {
    /// Protocol version of the sender.
    pub protocol_version: u32,
    /// Identifier of the request, in hexadecimal.
    pub request_id: String,
    /// Name of the route.
    pub route: String,
    /// Version of the route.
    pub route_version: RecordVersion,
    /// Tenant that sent the query.
    pub tenant: TenantId,
    /// Priority of the query.
    pub rank: Rank,
    /// Time left for the relay until the deadline, in milliseconds.
    pub time_left_ms: u64,
    /// Query to send to the upstreams.
    pub query: Box<RawValue>,
}

/// Rows of one shard on the wire.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WireRows {
    /// Number of the shard.
    pub shard: ShardId,
    /// Rows that the shard returned.
    pub rows: Box<RawValue>,
}

/// The answer of a relay to an entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct QueryAnswer {
    /// Identifier of the answered request, in hexadecimal.
    pub request_id: String,
    /// Revision of the configuration that the relay used.
    pub revision: Revision,
    /// Index version of all rows.
    pub index_version: IndexVersion,
    /// Shards that the answer covers and those that are missing.
    pub coverage: CoverageReport,
    /// Rows, in ascending order of shard number.
    pub rows: Vec<WireRows>,
    /// Whether any upstream executed the request.
    pub ran: Ran,
}

impl QueryAnswer {
    /// Creates the wire form of an answer.
    pub fn new(request_id: String, revision: Revision, answer: Answer<Box<RawValue>>) -> Self {
        Self {
            request_id,
            revision,
            index_version: answer.version,
            coverage: answer.coverage,
            rows: answer.rows.into_iter().map(WireRows::from).collect(),
            ran: answer.ran,
        }
    }
}

impl From<ShardRows<Box<RawValue>>> for WireRows {
    fn from(rows: ShardRows<Box<RawValue>>) -> Self {
        Self {
            shard: rows.shard,
            rows: rows.rows,
        }
    }
}

/// An error on the wire.
///
/// The kind and the execution state are strings, because a kind added by a newer
/// release must not fail the deserialization of the whole reply: that would
/// close the connection and fail every other query on it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WireError {
    kind: String,
    ran: String,
    detail: String,
    #[serde(default)]
    retry_after_ms: Option<u64>,
}

impl From<Error> for WireError {
    fn from(error: Error) -> Self {
        let retry_after = error.retry_after();
        Self {
            kind: error.kind().answer().name.to_owned(),
            ran: error.ran().as_str().to_owned(),
            detail: error.detail().to_owned(),
            retry_after_ms: retry_after.and_then(|time| u64::try_from(time.as_millis()).ok()),
        }
    }
}

impl From<WireError> for Error {
    /// Maps an unknown kind to [`Kind::Internal`], on which entries do not try
    /// another relay, and an unknown execution state to [`Ran::Unknown`].
    fn from(wire: WireError) -> Self {
        let error = match kind_from_name(&wire.kind) {
            Some(kind) => Self::new(kind, wire.detail),
            None => Self::new(Kind::Internal, format!("{}: {}", wire.kind, wire.detail)),
        };
        let error = error.with_ran(ran_from_name(&wire.ran));
        match wire.retry_after_ms {
            Some(retry_after_ms) => error.with_retry_after(Duration::from_millis(retry_after_ms)),
            None => error,
        }
    }
}

fn kind_from_name(name: &str) -> Option<Kind> {
    let mut kinds = Kind::ALL.iter().copied();
    kinds.find(|kind| kind.answer().name == name)
}

fn ran_from_name(name: &str) -> Ran {
    let mut known = [Ran::No, Ran::Unknown, Ran::Yes].into_iter();
    known
        .find(|ran| ran.as_str() == name)
        .unwrap_or(Ran::Unknown)
}

/// A claim, or the outcome of a claim, sent to the host that batches them.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ClaimCall {
    /// Protocol version of the sender.
    pub protocol_version: u32,
    /// Hash of the scope, in hexadecimal.
    pub scope: String,
    /// Identifier of the attempt, in hexadecimal.
    pub attempt_id: String,
    /// Fingerprint of the request, in hexadecimal.
    pub fingerprint: String,
    /// Retention time of the claim, in seconds.
    pub retention_s: u64,
    /// Outcome of the request, if the call records one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<WireOutcome>,
}

/// Outcome of a request that runs at most once.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WireOutcome {
    /// Whether the request was executed.
    pub ran: Ran,
    /// Answer sent to the caller, if it was stored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<String>,
    /// Name of the error kind, if the request failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failure: Option<String>,
}

/// The reply to a claim that was not refused.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ClaimReply {
    /// Outcome of another attempt; if `None`, this attempt holds the claim.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finished: Option<WireOutcome>,
}

/// The configuration in force on a host.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Held {
    /// Name of the host.
    pub host: HostId,
    /// Head in force.
    pub head: HeadId,
    /// Records in force, if they are newer than those of the requesting host.
    #[serde(default)]
    pub bundle: Option<WireBundle>,
}

/// The service that every host provides to its peers.
#[tarpc::service]
pub trait Peer {
    /// Executes a query on this host as a relay.
    async fn query(call: QueryCall) -> Result<QueryAnswer, WireError>;

    /// Writes a claim or an outcome to the claim log.
    ///
    /// The previous release closes the connection when it receives this call.
    async fn claim(call: ClaimCall) -> Result<ClaimReply, WireError>;

    /// Exchanges membership updates and facts.
    async fn exchange(message: WireMessage) -> Result<WireMessage, WireError>;

    /// Returns immediately; verifies that the connection works in both directions.
    async fn probe();

    /// Returns the head in force, with the records if they are newer than `revision`.
    async fn held(revision: Revision) -> Held;
}
