//! Connections to upstreams: pool, limit share, silence detection, health and quarantine.
//!
//! Everything here is plain state. Events and the time come in, decisions go
//! out, and nothing does I/O. State that several threads share stands in
//! shards, each under its own lock.

mod back_off;
mod evidence;
mod pool;
mod server;
mod share;
mod silence;
mod table;

pub use crate::{
    back_off::BackOff,
    evidence::{Evidence, Refusal, Stated},
    pool::{Checkout, Lease, Pool, PoolConfig},
    server::DrainSign,
    share::connection_share,
    silence::FirstByte,
    table::{Chance, ServerTable},
};
