//! The relay: runs whole queries against the servers of a service.

mod exchange;
mod leaf;
pub(crate) mod pool;
mod query;
mod upkeep;

pub(crate) use {query::serve, upkeep::keep_up};
