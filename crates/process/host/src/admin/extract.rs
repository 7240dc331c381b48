//! Extractors of the administration API that reject with problem documents.
//!
//! The extractors of `axum` reject with plain text, but operators and their
//! scripts get a problem document for every error.

use {
    crate::entry::Problem,
    axum::{
        extract::{self, rejection::StringRejection, FromRequest, FromRequestParts, Request},
        http::{request::Parts, StatusCode},
    },
    kind::{Error, Kind},
    record::RecordVersion,
    serde::{de::DeserializeOwned, Deserialize},
};

/// Path parameters that name a record.
#[derive(Deserialize)]
pub(crate) struct RecordPath {
    pub(crate) name: String,
    pub(crate) version: RecordVersion,
}

/// Path parameters of a request.
pub(crate) struct Path<T>(pub(crate) T);

/// Query string parameters of a request.
pub(crate) struct Query<T>(pub(crate) T);

/// Body of a request, as text.
pub(crate) struct TextBody(pub(crate) String);

impl<S: Send + Sync, T: DeserializeOwned + Send> FromRequestParts<S> for Path<T> {
    type Rejection = Problem;

    async fn from_request_parts(parts: &mut Parts, state: &S) -> Result<Self, Problem> {
        match extract::Path::from_request_parts(parts, state).await {
            Ok(extract::Path(parameters)) => Ok(Self(parameters)),
            Err(rejection) => Err(bad_parameter(rejection.body_text())),
        }
    }
}

impl<S: Send + Sync, T: DeserializeOwned> FromRequestParts<S> for Query<T> {
    type Rejection = Problem;

    async fn from_request_parts(parts: &mut Parts, state: &S) -> Result<Self, Problem> {
        match extract::Query::from_request_parts(parts, state).await {
            Ok(extract::Query(parameters)) => Ok(Self(parameters)),
            Err(rejection) => Err(bad_parameter(rejection.body_text())),
        }
    }
}

impl<S: Send + Sync> FromRequest<S> for TextBody {
    type Rejection = Problem;

    async fn from_request(request: Request, state: &S) -> Result<Self, Problem> {
        match String::from_request(request, state).await {
            Ok(text) => Ok(Self(text)),
            Err(rejection) => Err(bad_body(&rejection)),
        }
    }
}

fn bad_parameter(detail: String) -> Problem {
    Problem(Error::new(Kind::BadParameter, detail))
}

fn bad_body(rejection: &StringRejection) -> Problem {
    let kind = match rejection.status() {
        StatusCode::PAYLOAD_TOO_LARGE => Kind::RecordTooLarge,
        _ => Kind::BadBody,
    };
    Problem(Error::new(kind, rejection.body_text()))
}
