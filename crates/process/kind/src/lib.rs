//! The closed list of error kinds and the answer for each kind.
//!
//! Every failure visible to a caller or an operator has one [`Kind`]. A single
//! table, [`Kind::answer`], maps the kind to the HTTP status, the title and the
//! default execution state. The execution state [`Ran`] is stored separately in
//! the [`Error`], because the same kind can occur before and after a request
//! reached an upstream.
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
