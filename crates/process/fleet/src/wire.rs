//! What hosts say to each other.
//!
//! The types stand apart from those that the host works with, so that either
//! can change alone. A field that a newer release adds has a default, because
//! hosts of two releases talk to each other during a replacement.

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
/// Version 2 added the exchange and probes.
pub const PROTOCOL_VERSION: u32 = 2;
/// Number of versions by which two hosts that talk to each other may differ.
const MAX_VERSION_SKEW: u32 = 1;

/// Returns whether a message of protocol `version` is understood here.
///
/// A release understands the one before it, and takes messages of the one
/// after it because that one keeps what this one reads.
pub fn is_spoken(version: u32) -> bool {
    version.abs_diff(PROTOCOL_VERSION) <= MAX_VERSION_SKEW
}

/// A query on its way from an entry to a relay.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct QueryCall {
    /// Version of the protocol that the sender speaks.
    pub protocol_version: u32,
    /// Identifier of the request, in hexadecimal.
    pub request_id: String,
    /// Name of the route.
    pub route: String,
    /// Version of the route.
    pub route_version: RecordVersion,
    /// Tenant.
    pub tenant: TenantId,
    /// Rank.
    pub rank: Rank,
    /// Time that is left for the relay, in milliseconds.
    pub time_left_ms: u64,
    /// Query for the upstreams.
    pub query: Box<RawValue>,
}

/// Rows of one shard on the wire.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WireRows {
    /// Number of the shard.
    pub shard: ShardId,
    /// Rows found.
    pub rows: Box<RawValue>,
}

/// The answer of a relay to an entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct QueryAnswer {
    /// Identifier of the request that this answers, in hexadecimal.
    pub request_id: String,
    /// Revision of the configuration that the relay used.
    pub revision: Revision,
    /// Index version that every row comes from.
    pub index_version: IndexVersion,
    /// What the answer covers.
    pub coverage: CoverageReport,
    /// Rows, by rising shard number.
    pub rows: Vec<WireRows>,
    /// Whether the request was executed anywhere.
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
/// The kind and the state of execution are names, because a kind that a newer
/// release adds must not make the whole reply unreadable: the connection would
/// end, and with it every other query on it.
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
    /// Reads an unknown kind as [`Kind::Internal`], which no entry takes for a
    /// reason to try another relay, and an unknown state of execution as
    /// [`Ran::Unknown`].
    fn from(wire: WireError) -> Self {
        let error = match kind_of(&wire.kind) {
            Some(kind) => Self::new(kind, wire.detail),
            None => Self::new(Kind::Internal, format!("{}: {}", wire.kind, wire.detail)),
        };
        let error = error.with_ran(ran_of(&wire.ran));
        match wire.retry_after_ms {
            Some(retry_after_ms) => error.with_retry_after(Duration::from_millis(retry_after_ms)),
            None => error,
        }
    }
}

fn kind_of(name: &str) -> Option<Kind> {
    let mut kinds = Kind::ALL.iter().copied();
    kinds.find(|kind| kind.answer().name == name)
}

fn ran_of(name: &str) -> Ran {
    let mut known = [Ran::No, Ran::Unknown, Ran::Yes].into_iter();
    known
        .find(|ran| ran.as_str() == name)
        .unwrap_or(Ran::Unknown)
}

/// A claim, or the outcome of one, on its way to the host that gathers them.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ClaimCall {
    /// Version of the protocol that the sender speaks.
    pub protocol_version: u32,
    /// Hash of the scope, in hexadecimal.
    pub scope: String,
    /// Identifier of the attempt, in hexadecimal.
    pub attempt_id: String,
    /// Fingerprint of the request, in hexadecimal.
    pub fingerprint: String,
    /// Time for which the claim must be kept, in seconds.
    pub retention_s: u64,
    /// How the request ended, if that is to be recorded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<WireOutcome>,
}

/// How a request that runs at most once ended.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WireOutcome {
    /// Whether the request was executed.
    pub ran: Ran,
    /// The answer that the caller got, if it was kept.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<String>,
    /// Name of the kind of failure, if it was one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failure: Option<String>,
}

/// The answer to a claim that was not refused.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ClaimReply {
    /// How another attempt ended; without it this one holds the claim.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finished: Option<WireOutcome>,
}

/// What a host holds in force.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Held {
    /// Name of the host.
    pub host: HostId,
    /// Head in force.
    pub head: HeadId,
    /// Records in force, if they are newer than what the asker holds.
    #[serde(default)]
    pub bundle: Option<WireBundle>,
}

/// The service that every host offers its peers.
#[tarpc::service]
pub trait Peer {
    /// Runs a query as its relay.
    async fn query(call: QueryCall) -> Result<QueryAnswer, WireError>;

    /// Writes a claim or an outcome to the claim log.
    ///
    /// The former release closes a connection on which it is called.
    async fn claim(call: ClaimCall) -> Result<ClaimReply, WireError>;

    /// Exchanges news of the fleet.
    async fn exchange(message: WireMessage) -> Result<WireMessage, WireError>;

    /// Answers at once; shows that the connection still carries bytes both ways.
    async fn probe();

    /// States what the host holds in force, with the records if they are newer than `revision`.
    async fn held(revision: Revision) -> Held;
}
