//! The HTTP API for operators.

mod auth;
mod explain;
mod extract;
mod headers;
mod in_force;
mod records;

pub use crate::admin::in_force::MAX_QUERIED_HOSTS;

use {
    crate::{
        entry::{method_not_allowed, not_found, Problem},
        shared::Shared,
    },
    axum::{
        extract::{DefaultBodyLimit, State},
        middleware,
        routing::{get, post},
        Json, Router,
    },
    fleet::Member,
    kind::{Error, Kind},
    record::{HostId, Revision, MAX_RECORD_BYTES},
    serde::Serialize,
    std::sync::Arc,
};

/// Returns the router of the administration API, of which all but the health
/// and metrics endpoints need a token.
pub(crate) fn router(shared: Arc<Shared>) -> Router {
    let authenticated = Router::new()
        .route("/v1/admin/records", get(records::list))
        .route(
            "/v1/admin/records/{name}/{version}",
            get(records::get).put(records::put).delete(records::retire),
        )
        .route(
            "/v1/admin/records/{name}/{version}/history",
            get(records::record_history),
        )
        .route(
            "/v1/admin/records/{name}/{version}/rollback",
            post(records::roll_back),
        )
        .route(
            "/v1/admin/records/{name}/{version}/in-force",
            get(in_force::get),
        )
        .route("/v1/admin/in-force", get(in_force::get_revision))
        .route("/v1/admin/history", get(records::history))
        .route("/v1/admin/recover", post(records::recover))
        .route("/v1/admin/explain/{route}", get(explain::get))
        .route("/v1/admin/fleet", get(fleet))
        .layer(DefaultBodyLimit::max(MAX_RECORD_BYTES * 2))
        .layer(middleware::from_fn_with_state(
            Arc::clone(&shared),
            auth::check_token,
        ));
    Router::new()
        .merge(authenticated)
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/metrics", get(metrics))
        .fallback(not_found)
        .method_not_allowed_fallback(method_not_allowed)
        .with_state(shared)
}

/// Response with the membership that this host knows.
#[derive(Serialize)]
struct FleetResponse {
    host: HostId,
    revision: Revision,
    members: Vec<Member>,
    suspects: Vec<HostId>,
    /// On how many members the revision of this host is in force.
    in_force: RolloutStatus,
}

/// Number of members on which a revision is in force, and those that lag.
#[derive(Serialize)]
struct RolloutStatus {
    in_force: usize,
    members: usize,
    lagging: Vec<HostId>,
}

async fn fleet(State(shared): State<Arc<Shared>>) -> Json<FleetResponse> {
    let revision = shared.in_force().revision();
    let view = shared.members.view();
    let progress = in_force::progress(&shared, revision);
    Json(FleetResponse {
        host: shared.settings.member.id.clone(),
        revision,
        members: view.members.to_vec(),
        suspects: view.suspects.iter().cloned().collect(),
        in_force: RolloutStatus {
            in_force: progress.in_force,
            members: progress.members,
            lagging: progress.lagging,
        },
    })
}

async fn metrics(State(shared): State<Arc<Shared>>) -> Result<String, Problem> {
    shared
        .metrics
        .expose()
        .map_err(|e| Problem(Error::new(Kind::Internal, e.to_string())))
}
