//! The execution state of a request.
//!
//! `no` guarantees that the request was not executed, so it is the only value
//! that requires proof. Combining the states of several attempts therefore
//! yields `no` only if every attempt has that proof.

use serde::{Deserialize, Serialize};

/// What is known about the execution of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// The request was provably not executed.
    No,
    /// The request may or may not have been executed.
    Unknown,
    /// The request was executed.
    Yes,
}

impl Ran {
    /// Returns the name used on the wire.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
            Self::Yes => "yes",
        }
    }

    /// Combines the states of two attempts of one request.
    ///
    /// The result is `Yes` if either is `Yes`, and `No` only if both are `No`.
    ///
    /// # Examples
    ///
    /// ```
    /// use kind::Ran;
    ///
    /// assert_eq!(Ran::No.and(Ran::No), Ran::No);
    /// assert_eq!(Ran::No.and(Ran::Unknown), Ran::Unknown);
    /// assert_eq!(Ran::Unknown.and(Ran::Yes), Ran::Yes);
    /// ```
    pub const fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Yes, _) | (_, Self::Yes) => Self::Yes,
            (Self::No, Self::No) => Self::No,
            _ => Self::Unknown,
        }
    }
}
