//! The closed list of error kinds and the table from kind to answer.
//!
//! Every failure that a caller or an operator can see has one [`Kind`]. The
//! kind decides the HTTP status, the title and whether a repeat may help, by
//! one table, see [`Kind::answer`]. What a failure says about execution is separate:
//! [`Ran`] travels with the [`Error`], because the same kind can occur before
//! and after a request reached an upstream.
//!
//! # Examples
//!
//! ```
//! use kind::{Error, Kind, Ran};
//!
//! let error = Error::new(Kind::UnknownRoute, "no route 'barrels'");
//! assert_eq!(error.ran(), Ran::No);
//! assert_eq!(error.kind().answer().status, 404);
//! ```

mod error;
mod ran;
mod table;

pub use crate::{
    error::{Error, Result},
    ran::Ran,
    table::{Answer, Kind},
};
