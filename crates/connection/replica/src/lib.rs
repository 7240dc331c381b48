//! Tracks the servers of each service and picks a server for each call.
//!
//! Servers are added and removed through service discovery. Each run of a
//! server process is a separate incarnation with its own key. The expected
//! latency of the next call to a server follows from its distance, its latency
//! relative to that of the other servers, the calls in flight and the load that
//! the server reports. There are no active health checks: regular traffic shows
//! whether a server works.
//!
//! The crate performs no I/O. Events and the current time are passed in, and
//! decisions are returned.

mod call_rate;
mod directory;
mod distance;
mod entry;
mod evacuation;
mod forecast;
mod latency_medians;
mod server;
mod slowness;
mod warm_up;
mod zone_loss;

pub use crate::{
    call_rate::LimitShare,
    directory::{
        CallProfile, ColdServer, EntryChange, PendingCall, Pick, RegionView, SendRefusal,
        ServerDirectory,
    },
    distance::{Distance, Locality},
    entry::{ReplicaKey, ServerEntry, ServerId, ServerState},
    latency_medians::LatencyMedians,
    server::ReportedLoad,
    slowness::Slowness,
    warm_up::WarmUpBound,
};
