//! One call to one upstream server over HTTP.

use {
    crate::relay::{
        exchange::{exchange, LeafRequest},
        pool::Pool,
    },
    http::StatusCode,
    kind::Ran,
    link::Evidence,
    plan::{AttemptId, LeafCall, LeafFailure, LeafReply, Reason, RequestId},
    record::{IndexVersion, ShardId},
    serde::{Deserialize, Serialize},
    serde_json::value::RawValue,
    std::{sync::Arc, time::Instant},
};

/// A call as upstreams read it.
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
/// # Errors
///
/// Returns why there is no reply and whether the server executed the call.
pub(crate) async fn call(
    pool: &Arc<Pool>,
    call: &LeafCall,
    wire: &WireCall<'_>,
    is_repeatable: bool,
) -> Result<LeafReply<Box<RawValue>>, LeafFailure> {
    let request = build_request(call, wire, is_repeatable).ok_or(failure(Reason::Lost, Ran::No))?;
    match exchange(pool, &request).await {
        Ok(exchanged) => read_reply(exchanged.status, &exchanged.body),
        Err(unanswered) => Err(failure(reason_of(unanswered.evidence), unanswered.ran)),
    }
}

fn reason_of(evidence: Evidence) -> Reason {
    match evidence {
        Evidence::Unreachable => Reason::Unreachable,
        Evidence::TimedOut => Reason::Deadline,
        // A server at its connection limit refuses the call.
        Evidence::Nothing => Reason::Shed,
        _ => Reason::Lost,
    }
}

fn build_request(call: &LeafCall, wire: &WireCall<'_>, is_repeatable: bool) -> Option<LeafRequest> {
    Some(LeafRequest {
        uri: format!("/v1/shards/{}/search", call.shard).parse().ok()?,
        body: serde_json::to_vec(wire).ok()?.into(),
        is_repeatable,
        deadline: Instant::now() + call.time_left,
    })
}

fn read_reply(status: StatusCode, body: &[u8]) -> Result<LeafReply<Box<RawValue>>, LeafFailure> {
    if status != StatusCode::OK {
        return Err(read_refusal(body));
    }
    let reply: WireReply =
        serde_json::from_slice(body).map_err(|_| failure(Reason::Mismatch, Ran::Unknown))?;
    let request_id = RequestId::from_str_radix(&reply.request_id, 16)
        .map_err(|_| failure(Reason::Mismatch, Ran::Unknown))?;
    Ok(LeafReply {
        request_id,
        attempt_id: reply.attempt_id,
        shard: reply.shard,
        index_version: reply.index_version,
        rows: reply.rows,
    })
}

fn read_refusal(body: &[u8]) -> LeafFailure {
    let Ok(refusal) = serde_json::from_slice::<WireRefusal>(body) else {
        return failure(Reason::Lost, Ran::Unknown);
    };
    let reason = match refusal.kind.as_str() {
        "shed" => Reason::Shed,
        "draining" => Reason::Draining,
        "version-gone" => Reason::VersionGone,
        "too-late" => Reason::Deadline,
        _ => Reason::Lost,
    };
    LeafFailure {
        reason,
        ran: refusal.ran,
        newest_version: refusal.newest_version,
    }
}

fn failure(reason: Reason, ran: Ran) -> LeafFailure {
    LeafFailure {
        reason,
        ran,
        newest_version: None,
    }
}
