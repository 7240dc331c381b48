//! The bearer token of the administration API.

use {
    crate::{entry::Problem, shared::Shared},
    axum::{
        extract::{Request, State},
        http::header::AUTHORIZATION,
        middleware::Next,
        response::{IntoResponse, Response},
    },
    kind::{Error, Kind},
    std::sync::Arc,
};

/// Lets a request pass if it carries the token of the settings.
pub(crate) async fn check_token(
    State(shared): State<Arc<Shared>>,
    request: Request,
    next: Next,
) -> Response {
    let given = request
        .headers()
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    match given {
        Some(token) if is_same(token, &shared.settings.admin_token) => next.run(request).await,
        _ => Problem(Error::new(Kind::BadToken, "a bearer token is needed")).into_response(),
    }
}

/// Compares in a time that does not depend on where the texts differ.
fn is_same(given: &str, wanted: &str) -> bool {
    let differing = given
        .bytes()
        .zip(wanted.bytes())
        .fold(0, |differing, (a, b)| differing | (a ^ b));
    given.len() == wanted.len() && differing == 0
}
