//! State machine of a request to one service or to many shards.
//!
//! A [`Query`] calls one server for each of its parts and a second one where
//! the first is slow or fails. Its [`QueryPolicy`] decides whether it waits for all
//! parts or answers on time with the parts that have arrived. A request to a
//! single service is a query with one part. [`ExtraCallBudgets`] limits hedges and
//! retries, [`DelayForecast`] refuses queries that would be late,
//! [`AnswerTimes`] tells how long a query can wait for shards, and [`top_records`] merges
//! the replies of the parts.
//!
//! This crate does no I/O and reads no clock: callers pass in events and the
//! current time and carry out the returned actions.

mod answer_times;
mod delay_forecast;
mod event;
mod extra_calls;
mod fair_shares;
mod merge;
mod policy;
mod query;
mod split;

pub use crate::{
    answer_times::AnswerTimes,
    delay_forecast::{DelayForecast, Refusal},
    event::{Action, Call, Candidate, Cause, Event, Failure, MergedReply, Outcome, Replicas},
    extra_calls::{Allowance, BudgetStart, ExtraCallBudgets},
    fair_shares::FairShares,
    merge::{top_records, RECORD_BYTES},
    policy::QueryPolicy,
    query::Query,
    split::WeightedSplits,
};
