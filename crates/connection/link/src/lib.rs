//! Connections to upstreams: pool, limit share, silence detection, health and quarantine.
//!
//! Everything here is plain state. Events and the time come in, decisions go
//! out, and nothing does I/O. State that several threads share stands in
//! shards, each under its own lock.

mod back_off;
mod call_limit;
mod delta;
mod evidence;
mod fingerprint;
mod known_good;
mod pool;
mod quarantine;
mod server;
mod share;
mod silence;
mod suspect;
mod table;

pub use crate::{
    back_off::BackOff,
    delta::{
        BadDelta, HeldBack, Mark, QuarantineDelta, WireHeldBack, WireMark, WireQuarantineDelta,
    },
    evidence::{Evidence, Refusal, Stated},
    fingerprint::{fingerprint, owner_weight, Fingerprint},
    pool::{Checkout, Lease, Pool, PoolConfig},
    quarantine::{Clearance, Outcome, Quarantine},
    server::DrainSign,
    share::connection_share,
    silence::{Silence, Suspicion},
    table::{Chance, ServerTable},
};
