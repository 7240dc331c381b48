//! Responses to callers.

use {
    crate::{adapter::Reply, Adapter, Protocol},
    bytes::Bytes,
    http::{header, HeaderMap, HeaderValue, Response, StatusCode},
    http_body_util::Full,
    kind::{Error, Kind, Ran},
    plan::Reason,
    routing::ShardSet,
    scatter::{top_records, Outcome},
    std::time::Duration,
};

/// A response to a caller.
pub(crate) type CallerResponse = Response<Full<Bytes>>;

/// Converts a server's reply into the response to the caller.
pub(crate) fn forwarded<A: Adapter>(reply: Reply) -> CallerResponse {
    let mut headers = HeaderMap::with_capacity(reply.head.headers.len());
    for (name, value) in &reply.head.headers {
        if A::Protocol::is_forwarded_to_caller(name) {
            headers.append(name.clone(), value.clone());
        }
    }
    let mut response = Response::new(Full::new(reply.body));
    *response.status_mut() = reply.head.status;
    *response.headers_mut() = headers;
    response
}

/// A reply that covers one or more parts of a request.
#[derive(Clone, Debug)]
pub(crate) enum PartReply {
    /// The reply of a server.
    Direct(Box<Reply>),
    /// The replies of several servers, merged by a relay.
    Relayed {
        proofs: Vec<HeaderValue>,
        records: Bytes,
    },
}

/// Merges the replies to the parts of a query into one response.
pub(crate) fn merged<A: Adapter>(outcome: Outcome<PartReply>, set: &ShardSet) -> CallerResponse {
    let mut proofs = Vec::with_capacity(outcome.part_count);
    let mut bodies = Vec::with_capacity(outcome.replies.len());
    for merged in outcome.replies {
        match merged.reply {
            PartReply::Direct(reply) => {
                proofs.extend(reply.metadata.proof);
                bodies.push(reply.body);
            }
            PartReply::Relayed {
                proofs: relay_proofs,
                records,
            } => {
                proofs.extend(relay_proofs);
                bodies.push(records);
            }
        }
    }
    let mut response = Response::new(Full::new(top_records(&bodies, set.max_records)));
    let missing = outcome.missing.len();
    *response.headers_mut() = A::Protocol::merged_headers(&proofs, missing);
    response
}

/// Returns the error for a request with too many missing parts.
pub(crate) fn shortfall_error<R>(outcome: &Outcome<R>, retry_after: Duration) -> Error {
    let mut counts: Vec<(Reason, usize)> = Vec::new();
    for (_, reason) in &outcome.missing {
        match counts.iter_mut().find(|(known, _)| known == reason) {
            Some((_, count)) => *count += 1,
            None => counts.push((*reason, 1)),
        }
    }
    counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    let summary = counts
        .iter()
        .map(|(reason, n)| format!("{n} {}", reason.as_str()));
    let summary = summary.collect::<Vec<_>>().join(", ");
    let detail = format!("of {} parts were missing: {summary}", outcome.part_count);
    let kind = match counts.first() {
        Some((Reason::Deadline | Reason::NotAwaited, _)) => Kind::DeadlineExceeded,
        Some((Reason::Shed | Reason::Draining, _)) => Kind::Shed,
        Some((Reason::Unreachable, _)) => Kind::Unreachable,
        Some((Reason::Lost | Reason::Mismatch, _)) => Kind::UpstreamLost,
        _ => Kind::LowCoverage,
    };
    let error = Error::new(kind, detail).with_ran(outcome.ran);
    match outcome.ran {
        Ran::No => error.with_retry_after(retry_after),
        Ran::Unknown | Ran::Yes => error,
    }
}

/// Value of `Retry-After` of a response 503 whose error names no time.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Statuses that guarantee that the request was not and will not be executed.
const NOT_EXECUTED_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Returns the status for an error. A status that guarantees that the request was
/// not executed is used only if that is known.
fn status_code(error: &Error) -> StatusCode {
    let status = error.kind().answer().status;
    let status = match error.ran() {
        Ran::No if status >= 500 => 503,
        Ran::Unknown | Ran::Yes if NOT_EXECUTED_STATUSES.contains(&status) => 502,
        _ => status,
    };
    StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Returns the response for an error.
pub(crate) fn error_response(error: &Error) -> CallerResponse {
    let mut response = Response::new(Full::new(Bytes::from(error.to_string())));
    *response.status_mut() = status_code(error);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    let is_unavailable = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    let default_wait = is_unavailable.then_some(DEFAULT_RETRY_AFTER);
    let headers = response.headers_mut();
    if let Some(retry_after) = error.retry_after().or(default_wait) {
        let text = format!("{:.3}", retry_after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}
