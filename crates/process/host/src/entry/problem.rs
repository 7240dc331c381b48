//! Error responses to callers and operators, as problem documents.

use {
    axum::{
        response::{IntoResponse, Response},
        Json,
    },
    http::{header, HeaderValue, StatusCode},
    kind::{Error, Ran},
    serde::Serialize,
};

const CONTENT_TYPE: HeaderValue = HeaderValue::from_static("application/problem+json");

/// An error that is returned to a caller or an operator.
pub(crate) struct Problem(pub(crate) Error);

/// A problem document as defined by RFC 9457.
#[derive(Serialize)]
struct ProblemDocument<'a> {
    r#type: &'static str,
    title: &'static str,
    status: u16,
    detail: &'a str,
    kind: &'static str,
    ran: Ran,
}

impl From<Error> for Problem {
    fn from(error: Error) -> Self {
        Self(error)
    }
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        let answer = self.0.kind().answer();
        let document = ProblemDocument {
            r#type: "about:blank",
            title: answer.title,
            status: answer.status,
            detail: self.0.detail(),
            kind: answer.name,
            ran: self.0.ran(),
        };
        let status =
            StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = (status, Json(document)).into_response();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, CONTENT_TYPE);
        if let Some(retry_after) = self.0.retry_after() {
            // The header holds whole seconds, and 0 would allow an immediate retry.
            let retry_after_s = retry_after.as_secs().max(1);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(retry_after_s));
        }
        response
    }
}
