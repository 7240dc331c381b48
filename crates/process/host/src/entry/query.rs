//! HTTP handlers of the entry: validation, dispatch and answer of queries.

use {
    crate::{
        claims::{run_once, OnceAnswer, OnceRequest},
        entry::{
            answer::Envelope, forward::send_to_relay, headers::QueryHeaders, problem::Problem,
        },
        shared::Shared,
    },
    axum::{
        body::Bytes,
        extract::{rejection::BytesRejection, DefaultBodyLimit, Path, State},
        http::{HeaderMap, StatusCode},
        response::{IntoResponse, Response},
        routing::{get, post},
        Json, Router,
    },
    fleet::{Phase, QueryCall, PROTOCOL_VERSION},
    kind::{Error, Kind, Result},
    meter::QueryLabels,
    plan::{check_coverage, RequestId},
    record::Route,
    serde_json::value::RawValue,
    std::{sync::Arc, time::Instant},
    store::{fingerprint, ClaimScope},
    tokio::select,
};

/// Headers of a stored answer that is returned for a repeated request.
const STORED_ANSWER_HEADERS: [(&str, &str); 2] = [
    ("content-type", "application/json"),
    ("x-wharf-repeated", "true"),
];

/// Returns the HTTP router for callers and the load balancer.
pub(crate) fn router(shared: Arc<Shared>) -> Router {
    let max_body_bytes = shared.settings.max_body_bytes;
    Router::new()
        .route("/v1/query/{route}", post(query))
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(ready))
        .layer(DefaultBodyLimit::max(max_body_bytes))
        .fallback(not_found)
        .method_not_allowed_fallback(method_not_allowed)
        .with_state(shared)
}

/// Answers a request for an unknown path.
pub(crate) async fn not_found() -> Problem {
    Error::new(Kind::NotFound, "the path does not exist").into()
}

/// Answers a method that the path does not support.
pub(crate) async fn method_not_allowed() -> Problem {
    Error::new(Kind::BadMethod, "the path does not support this method").into()
}

async fn ready(State(shared): State<Arc<Shared>>) -> Response {
    match shared.life.phase() {
        Phase::Ready => "ready\n".into_response(),
        phase => (StatusCode::SERVICE_UNAVAILABLE, format!("{phase:?}\n")).into_response(),
    }
}

async fn query(
    State(shared): State<Arc<Shared>>,
    Path(route): Path<String>,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Response {
    let started_at = Instant::now();
    let parsed = QueryHeaders::try_from(&headers);
    let (tenant, rank) = match &parsed {
        Ok(headers) => (headers.tenant.clone(), headers.rank),
        Err(_) => (String::from("unknown"), Default::default()),
    };
    let result = match parsed {
        Ok(headers) => run_query(&shared, &route, &headers, body, started_at).await,
        Err(error) => Err(error),
    };
    let outcome = match &result {
        Ok(OnceAnswer::Ran(envelope)) if !envelope.is_complete() => "partial",
        Ok(_) => "ok",
        Err(error) => error.kind().answer().name,
    };
    let labels = QueryLabels {
        tenant: &tenant,
        rank,
        outcome,
    };
    shared.metrics.on_query(labels, started_at.elapsed());
    match result {
        Ok(OnceAnswer::Ran(envelope)) => Json(envelope).into_response(),
        Ok(OnceAnswer::Repeated(json)) => (STORED_ANSWER_HEADERS, json).into_response(),
        Err(error) => {
            log::debug!(target: "entry", "Query failed: {error}.");
            Problem(error).into_response()
        }
    }
}

async fn run_query(
    shared: &Arc<Shared>,
    route: &str,
    headers: &QueryHeaders,
    body: Result<Bytes, BytesRejection>,
    started_at: Instant,
) -> Result<OnceAnswer<Envelope>> {
    let in_flight = shared
        .life
        .try_begin_request()
        .ok_or_else(|| not_ready(shared.life.phase()))?;
    let in_force = shared.in_force();
    let route = in_force.route(route, headers.record_version)?;
    let deadline = started_at + headers.deadline_for(&route)?;
    let query = parse_body(body, shared.settings.max_body_bytes)?;
    let call = QueryCall {
        protocol_version: PROTOCOL_VERSION,
        request_id: format!("{:032x}", rand::random::<RequestId>()),
        route: route.name.clone(),
        route_version: route.version,
        tenant: headers.tenant.clone(),
        rank: headers.rank,
        time_left_ms: 0,
        query,
    };
    if route.repeatable {
        return dispatch(Arc::clone(shared), route, call, deadline)
            .await
            .map(OnceAnswer::Ran);
    }
    let request = OnceRequest {
        scope: claim_scope(headers, &route)?,
        locations: in_force.claim_locations(&route.name),
        fingerprint: fingerprint(call.query.get().as_bytes()),
        route: Arc::clone(&route),
        deadline,
        _in_flight: in_flight,
    };
    let dispatch = dispatch(Arc::clone(shared), route, call, deadline);
    run_once(shared, request, dispatch).await
}

fn claim_scope(headers: &QueryHeaders, route: &Route) -> Result<ClaimScope> {
    let key = headers.idempotency_key.clone().ok_or_else(|| {
        Error::new(
            Kind::BadKey,
            "the route is not repeatable, so the idempotency-key header is required",
        )
    })?;
    Ok(ClaimScope {
        tenant: headers.tenant.clone(),
        route: route.name.clone(),
        key,
    })
}

async fn dispatch(
    shared: Arc<Shared>,
    route: Arc<Route>,
    call: QueryCall,
    deadline: Instant,
) -> Result<Envelope> {
    let answer = select! {
        biased;
        answer = send_to_relay(&shared, &route, call, deadline) => answer?,
        error = shared.life.wait_for_abort() => return Err(error),
    };
    check_coverage(&answer.coverage, answer.ran, &route.coverage)?;
    Ok(Envelope::new(&route, answer))
}

fn not_ready(phase: Phase) -> Error {
    match phase {
        Phase::Starting => Error::new(Kind::NotReady, "no configuration is in force yet"),
        _ => Error::new(Kind::Draining, "the host accepts no new requests"),
    }
}

fn parse_body(body: Result<Bytes, BytesRejection>, max_body_bytes: usize) -> Result<Box<RawValue>> {
    let bytes = body.map_err(|rejection| match rejection.status() {
        StatusCode::PAYLOAD_TOO_LARGE => Error::new(
            Kind::BodyTooLarge,
            format!("the body exceeds {max_body_bytes} bytes"),
        ),
        _ => Error::new(Kind::BadBody, rejection.to_string()),
    })?;
    serde_json::from_slice(&bytes)
        .map_err(|e| Error::new(Kind::BadBody, format!("the body is not valid JSON: {e}")))
}
