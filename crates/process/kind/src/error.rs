//! The error that carries a kind to the edge of the system.

use {
    crate::{Kind, Ran},
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// A result whose error is an [`Error`] unless named otherwise.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A failure with its kind, what it says about execution, and a detail for people.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Error {
    kind: Kind,
    ran: Ran,
    detail: String,
    retry_after_ms: Option<u64>,
}

impl Error {
    /// Creates an error with the execution state that the table gives for `kind`.
    pub fn new(kind: Kind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            ran: kind.answer().ran,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// Replaces what the error says about execution.
    pub fn with_ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }

    /// States after which time a repeat may succeed.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Returns the kind.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns what is known about execution.
    pub fn ran(&self) -> Ran {
        self.ran
    }

    /// Returns the detail for people.
    pub fn detail(&self) -> &str {
        &self.detail
    }

    /// Returns the time after which a repeat may succeed.
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
