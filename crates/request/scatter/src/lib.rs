//! Decisions of one request over one service or over many shards.
//!
//! A [`Query`] asks one server of each of its parts, asks a second one where
//! the first is slow or fails, and ends as its [`Plan`] says: whole, or in
//! time with what is there. A request to a single service is a query of one
//! part. [`Extras`] bounds the calls beyond the first ones, and
//! [`greatest_records`] merges what the parts brought.
//!
//! Everything here is plain state. Events and the time come in, actions go
//! out, and nothing does I/O.

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
