//! Decisions of one query: snapshot pin, fan-out, hedging, retries, merge and coverage.
//!
//! Everything here is plain state. Events and the time come in, actions go
//! out, and nothing does I/O, so that the running host, the experiments and
//! the model checker drive the same code.

mod coverage;
mod gather;
mod id;
mod pin;

pub use crate::{
    coverage::{CoverageReport, MissingShard, Reason},
    gather::{
        Action, Answer, Event, Gather, LeafCall, LeafFailure, LeafReply, Limits, ShardRows,
        Upstreams,
    },
    id::{AttemptId, RequestId},
    pin::Pin,
};
