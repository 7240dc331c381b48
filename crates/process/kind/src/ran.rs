//! Whether a request was executed.
//!
//! A refusal that says `no` is a promise, so `no` is the one value that needs
//! proof. Merging the values of several attempts therefore keeps `no` only if
//! every attempt can prove it.

use serde::{Deserialize, Serialize};

/// What is known about the execution of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// The request was never executed, with proof.
    No,
    /// Nothing proves that the request was executed or that it was not.
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

    /// Combines what two attempts of one request say.
    ///
    /// `Yes` wins over everything, and `No` survives only beside `No`.
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
