//! Model checking of commits, claims and snapshot pinning.
//!
//! A [`Model`] lists the steps that are possible in a state, faults included,
//! and checks the invariants of each state. [`explore`] visits every reachable
//! state breadth first, so a violation is reported with a shortest trace. The
//! models call the state machines that hosts run instead of reimplementing them.
//!
//! A model can be given a mutant, which replaces one rule by a wrong one. The
//! tests check that the search detects every mutant.

pub mod claims;
pub mod commit;
mod explore;
pub mod merge;
mod write;

pub use crate::explore::{explore, Model, Report, Step, Violation};
