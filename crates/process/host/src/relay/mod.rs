//! The relay: runs whole queries against the servers of a service.

pub(crate) mod gate;
mod leaf;
pub(crate) mod pool;
mod query;

pub(crate) use query::serve;
