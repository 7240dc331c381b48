//! The administration API.

mod auth;
mod explain;
mod extract;
mod headers;
mod in_force;
mod records;

pub use crate::admin::in_force::MAX_QUESTIONS;

use {
    crate::{
        entry::{serve_fallback, serve_method_fallback, Problem},
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

/// Returns the routes for operators.
pub(crate) fn router(shared: Arc<Shared>) -> Router {
    let guarded = Router::new()
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
        .merge(guarded)
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/metrics", get(metrics))
        .fallback(serve_fallback)
        .method_not_allowed_fallback(serve_method_fallback)
        .with_state(shared)
}

#[derive(Serialize)]
struct FleetStated {
    host: HostId,
    revision: Revision,
    members: Vec<Member>,
    suspects: Vec<HostId>,
    /// How far the revision of this host has come.
    in_force: Spread,
}

#[derive(Serialize)]
struct Spread {
    in_force: usize,
    members: usize,
    lagging: Vec<HostId>,
}

async fn fleet(State(shared): State<Arc<Shared>>) -> Json<FleetStated> {
    let revision = shared.in_force().revision();
    let view = shared.members.view();
    let progress = in_force::progress(&shared, revision);
    Json(FleetStated {
        host: shared.settings.member.id.clone(),
        revision,
        members: view.members.to_vec(),
        suspects: view.suspects.iter().cloned().collect(),
        in_force: Spread {
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
