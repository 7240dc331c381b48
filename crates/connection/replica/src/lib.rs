//! Servers of each service: what is known of them, and which one a call goes to.
//!
//! Servers come and go through discovery, each life of one being an
//! incarnation with a key of its own. What a server is expected to need for
//! the next call follows from its distance, its speed beside the others, the
//! calls that it owes and the load that it states. Health endpoints are not
//! asked: the traffic is the probe.
//!
//! Everything here is plain state. Events and the time come in, decisions go
//! out, and nothing does I/O.

mod directory;
mod distance;
mod entry;
mod forecast;
mod server;
mod work;

pub use crate::{
    directory::{Arrival, Pick, Replicas, Want},
    distance::{Distance, Place},
    entry::{Entry, ReplicaKey, ServerId, Standing},
    server::StatedLoad,
    work::Works,
};
