//! Queries of callers: checks, the way to a relay, the answer.

use {
    crate::{
        claims::{run_once, Once, OnceRequest},
        entry::{answer::Envelope, headers::QueryHeaders, problem::Problem},
        relay,
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
    fleet::{relay_set, Member, Phase, QueryAnswer, QueryCall, PROTOCOL_VERSION},
    kind::{Error, Kind, Ran, Result},
    link::Fingerprint,
    meter::QueryLabels,
    plan::{verdict, RequestId},
    record::Route,
    serde_json::value::RawValue,
    std::{
        cmp::Reverse,
        sync::Arc,
        time::{Duration, Instant},
    },
    store::{fingerprint, ClaimScope},
};

/// Time that an entry keeps for itself out of a deadline, in milliseconds.
const OWN_SHARE_MS: u64 = 2;

/// Headers of an answer that was kept from the first attempt.
const REPEATED_HEADERS: [(&str, &str); 2] = [
    ("content-type", "application/json"),
    ("x-wharf-repeated", "true"),
];

/// Returns the routes for callers and the balancer.
pub(crate) fn router(shared: Arc<Shared>) -> Router {
    let max_body_bytes = shared.settings.max_body_bytes;
    Router::new()
        .route("/v1/query/{route}", post(query))
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(ready))
        .layer(DefaultBodyLimit::max(max_body_bytes))
        .fallback(serve_fallback)
        .method_not_allowed_fallback(serve_method_fallback)
        .with_state(shared)
}

/// Answers a path that names nothing.
pub(crate) async fn serve_fallback() -> Problem {
    Error::new(Kind::NotFound, "the path names nothing").into()
}

/// Answers a method that the path does not take.
pub(crate) async fn serve_method_fallback() -> Problem {
    Error::new(Kind::BadMethod, "the path does not take this method").into()
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
    let began = Instant::now();
    let checked = QueryHeaders::try_from(&headers);
    let (tenant, rank) = match &checked {
        Ok(headers) => (headers.tenant.clone(), headers.rank),
        Err(_) => (String::from("unknown"), Default::default()),
    };
    let result = match checked {
        Ok(headers) => answer(&shared, &route, &headers, body, began).await,
        Err(error) => Err(error),
    };
    let outcome = match &result {
        Ok(Once::Ran(envelope)) if !envelope.is_complete() => "partial",
        Ok(_) => "ok",
        Err(error) => error.kind().answer().name,
    };
    let labels = QueryLabels {
        tenant: &tenant,
        rank,
        outcome,
    };
    shared.metrics.on_query(labels, began.elapsed());
    match result {
        Ok(Once::Ran(envelope)) => Json(envelope).into_response(),
        Ok(Once::Repeated(text)) => (REPEATED_HEADERS, text).into_response(),
        Err(error) => {
            log::debug!(target: "entry", "Query refused: {error}.");
            Problem(error).into_response()
        }
    }
}

async fn answer(
    shared: &Arc<Shared>,
    route: &str,
    headers: &QueryHeaders,
    body: Result<Bytes, BytesRejection>,
    began: Instant,
) -> Result<Once<Envelope>> {
    let in_flight = shared
        .life
        .enter()
        .ok_or_else(|| not_ready(shared.life.phase()))?;
    let route = shared.in_force().route(route, headers.record_version)?;
    let deadline = began + headers.deadline_for(&route)?;
    let query = checked_body(body, shared.settings.max_body_bytes)?;
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
            .map(Once::Ran);
    }
    let request = OnceRequest {
        scope: checked_scope(headers, &route)?,
        fingerprint: fingerprint(call.query.get().as_bytes()),
        route: Arc::clone(&route),
        deadline,
        _in_flight: in_flight,
    };
    let dispatch = dispatch(Arc::clone(shared), route, call, deadline);
    run_once(shared, request, dispatch).await
}

fn checked_scope(headers: &QueryHeaders, route: &Route) -> Result<ClaimScope> {
    let key = headers.idempotency_key.clone().ok_or_else(|| {
        Error::new(
            Kind::BadKey,
            "the route is not repeatable, so the idempotency-key header is needed",
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
    let answer = send_to_relay(&shared, &route, call, deadline).await?;
    verdict(&answer.coverage, answer.ran, &route.coverage)?;
    Ok(Envelope::new(&route, answer))
}

fn not_ready(phase: Phase) -> Error {
    match phase {
        Phase::Starting => Error::new(Kind::NotReady, "no configuration is in force yet"),
        _ => Error::new(Kind::Draining, "the host takes no new work"),
    }
}

fn checked_body(
    body: Result<Bytes, BytesRejection>,
    max_body_bytes: usize,
) -> Result<Box<RawValue>> {
    let bytes = body.map_err(|rejection| match rejection.status() {
        StatusCode::PAYLOAD_TOO_LARGE => Error::new(
            Kind::BodyTooLarge,
            format!("allowed are {max_body_bytes} bytes"),
        ),
        _ => Error::new(Kind::BadBody, rejection.to_string()),
    })?;
    serde_json::from_slice(&bytes)
        .map_err(|e| Error::new(Kind::BadBody, format!("the body is not JSON: {e}")))
}

/// Runs the query here if this host is a relay of the service, else on a relay.
async fn send_to_relay(
    shared: &Arc<Shared>,
    route: &Route,
    mut call: QueryCall,
    deadline: Instant,
) -> Result<QueryAnswer> {
    let members = shared.members.all();
    let in_force = shared.in_force();
    let service = in_force.service(&route.service)?;
    let wanted = service.relays.map(|relays| relays as usize);
    let count = wanted
        .or(shared.settings.default_relays)
        .unwrap_or(members.len());
    let relays = relay_set(&service.name, &members, count);
    let own_id = &shared.settings.member.id;
    let mut last_error = Error::new(Kind::HostLost, "no relay is known").with_ran(Ran::No);
    let fingerprint = link::fingerprint(&route.name, call.query.get());
    let quarantine = &shared.canaries.quarantine;
    let relays = if quarantine.is_known_good(fingerprint) {
        in_turn(relays, own_id, &call.request_id)
    } else {
        owner_first(relays, fingerprint)
    };
    for relay in relays {
        call.time_left_ms = time_left_ms(deadline)?;
        let answer = if relay.id == *own_id {
            relay::serve(shared, call.clone()).await
        } else {
            shared
                .peers
                .query(relay.peer_addr, call.clone(), deadline)
                .await
        };
        match answer {
            Ok(answer) if answer.request_id == call.request_id => {
                if answer.coverage.is_complete() {
                    quarantine.on_success(fingerprint);
                }
                return Ok(answer);
            }
            Ok(_) => {
                return Err(Error::new(
                    Kind::Internal,
                    "the relay answered another request",
                ))
            }
            Err(error) if may_try_next(route, &error) => last_error = error,
            Err(error) => return Err(error),
        }
    }
    Err(last_error)
}

fn may_try_next(route: &Route, error: &Error) -> bool {
    let is_about_host = matches!(
        error.kind(),
        Kind::HostLost | Kind::Draining | Kind::BadPeer | Kind::UnknownVersion | Kind::UnknownRoute
    );
    is_about_host && (route.repeatable || error.ran() == Ran::No)
}

/// Orders the relays: this host first, the others from a place given by the request.
fn in_turn<'a>(relays: Vec<&'a Member>, own_id: &str, request_id: &str) -> Vec<&'a Member> {
    let (mut own, mut others): (Vec<_>, Vec<_>) =
        relays.into_iter().partition(|relay| relay.id == *own_id);
    if !others.is_empty() {
        let start = request_id.bytes().map(usize::from).sum::<usize>() % others.len();
        others.rotate_left(start);
    }
    own.append(&mut others);
    own
}

/// Orders the relays by their weight for a request that no host knows as harmless.
fn owner_first(mut relays: Vec<&Member>, fingerprint: Fingerprint) -> Vec<&Member> {
    relays.sort_by_key(|relay| Reverse(link::owner_weight(fingerprint, &relay.id)));
    relays
}

fn time_left_ms(deadline: Instant) -> Result<u64> {
    let left = deadline.saturating_duration_since(Instant::now());
    let left = left.saturating_sub(Duration::from_millis(OWN_SHARE_MS));
    match u64::try_from(left.as_millis()) {
        Ok(0) | Err(_) => Err(Error::new(
            Kind::TooLate,
            "no time is left for the upstreams",
        )),
        Ok(left_ms) => Ok(left_ms),
    }
}
