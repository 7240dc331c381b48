//! The relay runs a query against the upstream servers of all shards of a service.

pub(crate) mod canary;
mod exchange;
pub(crate) mod gate;
mod gossip;
mod leaf;
mod maintenance;
pub(crate) mod pool;
mod query;
mod upstreams;

pub(crate) use {
    gossip::follow_gossip,
    maintenance::{apply_host_list, maintain_connections},
    query::run_query,
};
