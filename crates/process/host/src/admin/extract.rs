//! What a request to the administration API carries, refused by kind where it is malformed.
//!
//! The extractors of the library answer with plain text; operators and their
//! scripts get a problem document for every refusal.

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

/// Path of a record.
#[derive(Deserialize)]
pub(crate) struct RecordPath {
    pub(crate) name: String,
    pub(crate) version: RecordVersion,
}

/// Parameters of the path.
pub(crate) struct Path<T>(pub(crate) T);

/// Parameters of the query string.
pub(crate) struct Query<T>(pub(crate) T);

/// Text of the body.
pub(crate) struct Text(pub(crate) String);

impl<S: Send + Sync, T: DeserializeOwned + Send> FromRequestParts<S> for Path<T> {
    type Rejection = Problem;

    async fn from_request_parts(parts: &mut Parts, state: &S) -> Result<Self, Problem> {
        match extract::Path::from_request_parts(parts, state).await {
            Ok(extract::Path(found)) => Ok(Self(found)),
            Err(rejection) => Err(bad_parameter(rejection.body_text())),
        }
    }
}

impl<S: Send + Sync, T: DeserializeOwned> FromRequestParts<S> for Query<T> {
    type Rejection = Problem;

    async fn from_request_parts(parts: &mut Parts, state: &S) -> Result<Self, Problem> {
        match extract::Query::from_request_parts(parts, state).await {
            Ok(extract::Query(found)) => Ok(Self(found)),
            Err(rejection) => Err(bad_parameter(rejection.body_text())),
        }
    }
}

impl<S: Send + Sync> FromRequest<S> for Text {
    type Rejection = Problem;

    async fn from_request(request: Request, state: &S) -> Result<Self, Problem> {
        match String::from_request(request, state).await {
            Ok(text) => Ok(Self(text)),
            Err(rejection) => Err(bad_text(&rejection)),
        }
    }
}

fn bad_parameter(detail: String) -> Problem {
    Problem(Error::new(Kind::BadParameter, detail))
}

fn bad_text(rejection: &StringRejection) -> Problem {
    let kind = match rejection.status() {
        StatusCode::PAYLOAD_TOO_LARGE => Kind::RecordTooLarge,
        _ => Kind::BadBody,
    };
    Problem(Error::new(kind, rejection.body_text()))
}
