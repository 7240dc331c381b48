//! What discovery says of a server.

use {
    record::{ServerAddr, ZoneId},
    routing::ServiceName,
    std::{sync::Arc, time::Duration},
};

/// Name of a server, shared by all that speak of it.
pub type ServerId = Arc<str>;
/// Number of one incarnation of a server, unique within the process.
pub type ReplicaKey = u64;

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// It does.
    Ready,
    /// It ends soon.
    Draining,
}

/// What discovery says of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Name.
    pub id: ServerId,
    /// Service that the server belongs to.
    pub service: ServiceName,
    /// Address.
    pub addr: ServerAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Requests that the server executes at once.
    pub slots: u32,
    /// Whether the server takes new work.
    pub standing: Standing,
    /// Time for which the server is still slow after its start.
    pub cold_for: Duration,
    /// Start of the server, in milliseconds since 1970; tells incarnations apart.
    pub born_ms: Option<u64>,
}

impl Entry {
    /// Returns whether `newer` speaks of the same life of the same server.
    pub(crate) fn is_same_life(&self, newer: &Self) -> bool {
        self.addr == newer.addr && self.service == newer.service && self.born_ms == newer.born_ms
    }
}
