//! A single call to an upstream server over HTTP.

use {
    crate::{
        relay::{
            exchange::{exchange, LeafRequest},
            pool::Pool,
            upstreams::CallGuard,
        },
        shared::Shared,
    },
    http::StatusCode,
    kind::Ran,
    plan::{AttemptId, LeafCall, LeafFault, LeafReply, Reason, Refusal, RequestId},
    record::{IndexVersion, ShardId},
    serde::{Deserialize, Serialize},
    serde_json::value::RawValue,
    std::{sync::Arc, time::Instant},
};

/// The reply of a server to one call.
pub(crate) type Reply = LeafReply<Box<RawValue>>;

/// The connections to the called server, and how to use them.
pub(crate) struct Target<'a> {
    pub(crate) pool: Arc<Pool>,
    pub(crate) shared: &'a Shared,
    pub(crate) is_repeatable: bool,
}

/// The request body of a call to an upstream server.
#[derive(Serialize)]
pub(crate) struct WireCall<'a> {
    request_id: &'a str,
    attempt_id: AttemptId,
    index_version: IndexVersion,
    deadline_ms: u64,
    query: &'a RawValue,
}

#[derive(Deserialize)]
struct WireReply {
    request_id: String,
    attempt_id: AttemptId,
    shard: ShardId,
    index_version: IndexVersion,
    rows: Box<RawValue>,
}

#[derive(Deserialize)]
struct WireRefusal {
    request_id: Option<String>,
    attempt_id: Option<AttemptId>,
    kind: String,
    ran: Ran,
    newest_version: Option<IndexVersion>,
}

impl<'a> WireCall<'a> {
    pub(crate) fn new(request_id: &'a str, call: &LeafCall, query: &'a RawValue) -> Self {
        Self {
            request_id,
            attempt_id: call.attempt_id,
            index_version: call.index_version,
            deadline_ms: u64::try_from(call.time_left.as_millis()).unwrap_or(u64::MAX),
            query,
        }
    }
}

/// Calls a server and reads its reply.
///
/// The connection is returned to its pool only after a reply or a refusal that
/// carries the ids of the call. In all other cases it is closed.
///
/// # Errors
///
/// Returns the point at which the call failed.
pub(crate) async fn call(
    target: &Target<'_>,
    request_id: RequestId,
    call: &LeafCall,
    wire: &WireCall<'_>,
) -> Result<Reply, LeafFault> {
    let is_repeatable = target.is_repeatable;
    let request = build_request(call, wire, is_repeatable).ok_or(LeafFault::NotWritten)?;
    let mut guard = CallGuard::new(target.shared, call.server, is_repeatable);
    let exchanged = exchange(&target.pool, &request)
        .await
        .inspect_err(|fault| guard.on_fault(*fault))?;
    let result = read_reply(exchanged.status, &exchanged.body, request_id, call)
        .map_err(|fault| weaken_if_repeated(fault, exchanged.is_repeated));
    guard.on_reply(&exchanged, result.as_ref().err().copied());
    if result
        .as_ref()
        .err()
        .is_none_or(|fault| fault.keeps_connection())
    {
        exchanged.connection.check_in();
    }
    result
}

fn build_request(call: &LeafCall, wire: &WireCall<'_>, is_repeatable: bool) -> Option<LeafRequest> {
    Some(LeafRequest {
        uri: format!("/v1/shards/{}/search", call.shard).parse().ok()?,
        body: serde_json::to_vec(wire).ok()?.into(),
        is_repeatable,
        deadline: Instant::now() + call.time_left,
    })
}

fn read_reply(
    status: StatusCode,
    body: &[u8],
    request_id: RequestId,
    call: &LeafCall,
) -> Result<Reply, LeafFault> {
    if status != StatusCode::OK {
        return Err(read_refusal(body, request_id, call));
    }
    let reply: WireReply = serde_json::from_slice(body).map_err(|_| LeafFault::Malformed)?;
    let reply = LeafReply {
        request_id: parse_id(&reply.request_id).ok_or(LeafFault::Malformed)?,
        attempt_id: reply.attempt_id,
        shard: reply.shard,
        index_version: reply.index_version,
        rows: reply.rows,
    };
    if reply.answers(request_id, call) {
        Ok(reply)
    } else {
        Err(LeafFault::Mismatch)
    }
}

fn read_refusal(body: &[u8], request_id: RequestId, call: &LeafCall) -> LeafFault {
    let Ok(refusal) = serde_json::from_slice::<WireRefusal>(body) else {
        return LeafFault::Malformed;
    };
    let reason = match refusal.kind.as_str() {
        "shed" => Reason::Shed,
        "draining" => Reason::Draining,
        "version-gone" => Reason::VersionGone,
        "too-late" => Reason::Deadline,
        _ => Reason::Lost,
    };
    let stated_id = refusal.request_id.as_deref().and_then(parse_id);
    LeafFault::Refused(Refusal {
        reason,
        ran: refusal.ran,
        echoes_ids: stated_id == Some(request_id) && refusal.attempt_id == Some(call.attempt_id),
        newest_version: refusal.newest_version,
    })
}

/// Marks the execution state of a refusal as unknown if the request was also
/// sent on another connection.
fn weaken_if_repeated(fault: LeafFault, is_repeated: bool) -> LeafFault {
    match fault {
        LeafFault::Refused(refusal) if is_repeated => LeafFault::Refused(Refusal {
            ran: refusal.ran.and(Ran::Unknown),
            ..refusal
        }),
        fault => fault,
    }
}

fn parse_id(text: &str) -> Option<RequestId> {
    RequestId::from_str_radix(text, 16).ok()
}
