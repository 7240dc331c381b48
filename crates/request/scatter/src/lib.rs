//! State machine of a request to one service or to many shards.
//!
//! A [`Query`] calls one server for each of its parts and a second one where
//! the first is slow or fails. Its [`Plan`] decides whether it waits for all
//! parts or answers on time with the parts that have arrived. A request to a
//! single service is a query with one part. [`Extras`] limits hedges and
//! retries, [`Outlook`] refuses queries that would be late, and
//! [`greatest_records`] merges the replies of the parts.
//!
//! This crate does no I/O and reads no clock: callers pass in events and the
//! current time and carry out the returned actions.

mod event;
mod extras;
mod merge;
mod outlook;
mod plan;
mod query;
mod split;

pub use crate::{
    event::{Action, Bundle, Call, Candidate, Cause, Event, Failure, Outcome, Replicas},
    extras::{Allowance, Extras},
    merge::{greatest_records, RECORD_BYTES},
    outlook::{Outlook, Refusal},
    plan::Plan,
    query::Query,
    split::Splits,
};
