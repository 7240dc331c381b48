//! The error type returned to callers and operators.

use {
    crate::{Kind, Ran},
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// A result whose error type defaults to [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A failure with its kind, its execution state and a human-readable detail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Error {
    kind: Kind,
    ran: Ran,
    detail: String,
    retry_after_ms: Option<u64>,
}

impl Error {
    /// Creates an error with the default execution state of `kind`.
    pub fn new(kind: Kind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            ran: kind.answer().ran,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// Sets the execution state.
    pub fn with_ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }

    /// Sets the time after which a retry may succeed.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Returns the kind.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns the execution state of the request.
    pub fn ran(&self) -> Ran {
        self.ran
    }

    /// Returns the human-readable detail.
    pub fn detail(&self) -> &str {
        &self.detail
    }

    /// Returns the time after which a retry may succeed.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after_ms.map(Duration::from_millis)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.answer().title, self.detail)
    }
}

impl std::error::Error for Error {}
