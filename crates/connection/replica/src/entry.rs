//! Server entries from service discovery.

use {
    record::{ServerAddr, ZoneId},
    routing::ServiceName,
    std::{sync::Arc, time::Duration},
};

/// Identifier of a server, reference-counted so that clones are cheap.
pub type ServerId = Arc<str>;
/// Key of one incarnation of a server, unique within the process.
pub type ReplicaKey = u64;

/// Whether a server accepts new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerState {
    /// Accepts new requests.
    Ready,
    /// Accepts no new requests and shuts down soon.
    Draining,
}

/// A server as service discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Identifier of the server.
    pub id: ServerId,
    /// Service that the server belongs to.
    pub service: ServiceName,
    /// Network address.
    pub addr: ServerAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Number of requests that the server executes concurrently.
    pub slots: u32,
    /// Whether the server accepts new requests.
    pub state: ServerState,
    /// Remaining time for which the server is slow after its start.
    pub warmup_left: Duration,
    /// Start time of the server in milliseconds since the Unix epoch, which
    /// distinguishes incarnations.
    pub started_at_ms: Option<u64>,
}

impl ServerEntry {
    /// Returns whether `other` describes the same incarnation of the same server.
    pub(crate) fn is_same_incarnation(&self, other: &Self) -> bool {
        self.addr == other.addr
            && self.service == other.service
            && self.started_at_ms == other.started_at_ms
    }
}
