//! What the caller gets.

use {
    crate::{adapter::Reply, Adapter, Protocol},
    bytes::Bytes,
    http::{header, HeaderMap, HeaderValue, Response, StatusCode},
    http_body_util::Full,
    kind::{Error, Kind, Ran},
    plan::Reason,
    routing::ShardSet,
    scatter::{greatest_records, Outcome},
    std::time::Duration,
};

/// An answer to a caller.
pub(crate) type Answer = Response<Full<Bytes>>;

/// Passes a server's answer on as it is.
pub(crate) fn passed_on<A: Adapter>(reply: Reply) -> Answer {
    let mut headers = HeaderMap::with_capacity(reply.head.headers.len());
    for (name, value) in &reply.head.headers {
        if A::Protocol::is_passed_on(name) {
            headers.append(name.clone(), value.clone());
        }
    }
    let mut answer = Response::new(Full::new(reply.body));
    *answer.status_mut() = reply.head.status;
    *answer.headers_mut() = headers;
    answer
}

/// What covers parts of a request.
#[derive(Clone, Debug)]
pub(crate) enum Piece {
    /// The answer of a server.
    Own(Reply),
    /// The answers of several servers, merged by a relay.
    Relayed {
        proofs: Vec<HeaderValue>,
        records: Bytes,
    },
}

/// Merges what covers the parts of a query.
pub(crate) fn merged<A: Adapter>(outcome: Outcome<Piece>, set: &ShardSet) -> Answer {
    let mut proofs = Vec::with_capacity(outcome.parts);
    let mut bodies = Vec::with_capacity(outcome.bundles.len());
    for bundle in outcome.bundles {
        match bundle.reply {
            Piece::Own(reply) => {
                proofs.extend(reply.word.proof);
                bodies.push(reply.body);
            }
            Piece::Relayed {
                proofs: of_relay,
                records,
            } => {
                proofs.extend(of_relay);
                bodies.push(records);
            }
        }
    }
    let mut answer = Response::new(Full::new(greatest_records(&bodies, set.keep_records)));
    let missing = outcome.missing.len();
    *answer.headers_mut() = A::Protocol::merged_headers(&proofs, missing);
    answer
}

/// Returns the error for a request that brought too little.
pub(crate) fn shortfall<R>(outcome: &Outcome<R>, retry_after: Duration) -> Error {
    let mut counts: Vec<(Reason, usize)> = Vec::new();
    for (_, reason) in &outcome.missing {
        match counts.iter_mut().find(|(known, _)| known == reason) {
            Some((_, count)) => *count += 1,
            None => counts.push((*reason, 1)),
        }
    }
    counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    let told = counts
        .iter()
        .map(|(reason, n)| format!("{n} {}", reason.as_str()));
    let told = told.collect::<Vec<_>>().join(", ");
    let detail = format!("of {} parts were missing: {told}", outcome.parts);
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

/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Returns the status of an error, which promises nothing that is not proved.
fn status(error: &Error) -> StatusCode {
    let status = error.kind().answer().status;
    let status = match error.ran() {
        Ran::No if status >= 500 => 503,
        Ran::Unknown | Ran::Yes if PROMISES.contains(&status) => 502,
        _ => status,
    };
    StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Tells the caller of an error.
pub(crate) fn refused(error: &Error) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from(error.to_string())));
    *answer.status_mut() = status(error);
    let headers = answer.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(wait) = error.retry_after() {
        let text = format!("{:.3}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    answer
}
