//! Decisions of one query: snapshot pin, fan-out, hedging, retries, merge and coverage.
//!
//! Everything here is plain state. Events and the time come in, actions go
//! out, and nothing does I/O, so that the running host, the experiments and
//! the model checker drive the same code.

mod answer;
mod budget;
mod call;
mod coverage;
mod event;
mod fault;
mod gather;
mod group;
mod hedge;
mod id;
mod limits;
mod pin;
mod restart;
mod speed;
mod upstreams;
mod verdict;
mod window;
mod work;

pub use crate::{
    answer::{Answer, ShardRows},
    budget::Budget,
    call::{Cause, LeafCall, LeafFailure, LeafReply},
    coverage::{CoverageReport, MissingShard, Reason},
    event::{Action, Event},
    fault::{LeafFault, Refusal},
    gather::Gather,
    group::{Group, Groups},
    id::{AttemptId, RequestId},
    limits::Limits,
    pin::Pin,
    upstreams::Upstreams,
    verdict::verdict,
};
