//! Query execution logic: snapshot pinning, fan-out, hedging, retries, merge and coverage.
//!
//! The crate does no I/O and reads no clock: callers pass in events and the
//! current time, and carry out the actions returned. The running host, the
//! experiments and the model checker thus share the same code.

mod answer;
mod budget;
mod call;
mod coverage;
mod coverage_check;
mod event;
mod fault;
mod gather;
mod hedge;
mod id;
mod limits;
mod outlier;
mod pin;
mod restart;
mod service_state;
mod task;
mod upstreams;
mod window;

pub use crate::{
    answer::{Answer, ShardRows},
    budget::Budget,
    call::{Cause, LeafCall, LeafFailure, LeafReply},
    coverage::{CoverageReport, MissingShard, Reason},
    coverage_check::check_coverage,
    event::{Action, Event},
    fault::{LeafFault, Refusal},
    gather::Gather,
    id::{AttemptId, RequestId},
    limits::Limits,
    pin::Pin,
    service_state::{ServiceState, ServiceStates},
    upstreams::Upstreams,
};
