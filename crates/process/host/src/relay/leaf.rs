//! One call to one upstream server over HTTP.

use {
    crate::relay::pool::{CheckoutError, Pool},
    bytes::Bytes,
    http::{header, HeaderValue, Method, Request, StatusCode},
    http_body_util::{BodyExt, Full},
    kind::Ran,
    plan::{AttemptId, LeafCall, LeafFailure, LeafReply, Reason, RequestId},
    record::{IndexVersion, ShardId},
    serde::{Deserialize, Serialize},
    serde_json::value::RawValue,
    tokio::time::timeout,
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
    pool: &Pool,
    call: &LeafCall,
    wire: &WireCall<'_>,
) -> Result<LeafReply<Box<RawValue>>, LeafFailure> {
    let request = build_request(pool, call, wire).ok_or(failure(Reason::Lost, Ran::No))?;
    let exchange = async {
        let mut connection = pool.checkout().await.map_err(|error| match error {
            CheckoutError::Refused => failure(Reason::Unreachable, Ran::No),
        })?;
        let sent = connection.sender.try_send_request(request).await;
        let response = sent.map_err(|mut error| {
            // A request that comes back was never written.
            let ran = if error.take_message().is_some() {
                Ran::No
            } else {
                Ran::Unknown
            };
            failure(Reason::Lost, ran)
        })?;
        let status = response.status();
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|_| failure(Reason::Lost, Ran::Unknown))?
            .to_bytes();
        connection.give_back();
        read_reply(status, &body)
    };
    timeout(call.time_left, exchange)
        .await
        .unwrap_or(Err(failure(Reason::Deadline, Ran::Unknown)))
}

fn build_request(
    pool: &Pool,
    call: &LeafCall,
    wire: &WireCall<'_>,
) -> Option<Request<Full<Bytes>>> {
    let body = serde_json::to_vec(wire).ok()?;
    Request::builder()
        .method(Method::POST)
        .uri(format!("/v1/shards/{}/search", call.shard))
        .header(header::HOST, pool.host_header())
        .header(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        )
        .body(Full::new(Bytes::from(body)))
        .ok()
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
