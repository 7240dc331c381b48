//! HTTP gateway: sockets and tasks of a host that forwards callers' requests.
//!
//! A request is matched to a route by host name and path, and sent to a server
//! of the route's service or to one server of each of its shards. The caller
//! gets the server's answer, or the merged answers of the shards. The crates
//! `routing`, `replica`, `scatter`, `link` and `fleet` make the decisions and
//! do no I/O. This crate owns the sockets and the tasks, passes events to those
//! crates and carries out their actions. All tasks of a host run on one thread,
//! because a host has a fraction of a core.
//!
//! Everything specific to a platform is behind [`Adapter`].

mod adapter;
mod answer_margin;
mod apply;
mod busy_record;
mod call;
mod cold_news;
mod cold_relay;
mod connection_state;
mod connections;
mod crash_reports;
mod crashes;
mod delay_reports;
mod exchange;
mod hold_store;
mod identity;
mod listen;
mod log_limiter;
mod membership;
mod peer;
mod quota;
mod quota_issuer;
mod relay;
mod relay_runs;
mod relay_server;
mod response;
mod run;
mod serve;
mod server_selection;
mod settings;
mod shared;
mod store_cache;
mod store_restore;
mod store_retry;
mod store_sync;
mod store_watch;
mod zones;

pub use crate::{
    adapter::{Adapter, Protocol, RequestOptions, ServerMetadata, StoreLayout},
    run::{run, RunningGateway},
    settings::{RawSettings, Settings},
};

pub use ::quota::RawLimits;
