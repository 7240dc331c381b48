//! Model checking of commit, claims and snapshot pins.
//!
//! A [`Model`] lists what may happen next in a state, faults included, and
//! says which states break a promise. [`explore`] visits every reachable state
//! breadth first, so that a violation comes with its shortest trace. The rules
//! are not written again here: the models call the decisions that hosts run.
//!
//! A model takes a mutant, which replaces one rule by a wrong one, to show that
//! the search finds what breaks when the rule does not hold.

pub mod claims;
pub mod commit;
mod explore;
pub mod merge;
mod write;

pub use crate::explore::{explore, Model, Report, Step, Violation};
