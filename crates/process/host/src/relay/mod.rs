//! The relay: runs whole queries against the servers of a service.

pub(crate) mod canary;
mod exchange;
pub(crate) mod gate;
mod leaf;
mod news;
pub(crate) mod pool;
mod query;
mod upkeep;
mod upstreams;

pub(crate) use {
    news::follow_news,
    query::serve,
    upkeep::{keep_up, on_list},
};
