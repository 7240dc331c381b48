//! Authentication of requests to the administration API by bearer token.

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

/// Rejects a request that does not carry the configured bearer token.
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
        Some(token) if is_equal(token, &shared.settings.admin_token) => next.run(request).await,
        _ => Problem(Error::new(Kind::BadToken, "a bearer token is needed")).into_response(),
    }
}

/// Compares two tokens in a time that does not depend on where they differ.
fn is_equal(given: &str, expected: &str) -> bool {
    let difference = given
        .bytes()
        .zip(expected.bytes())
        .fold(0, |difference, (a, b)| difference | (a ^ b));
    given.len() == expected.len() && difference == 0
}
