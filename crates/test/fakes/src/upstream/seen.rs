//! What the servers count.

use {
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashSet},
        net::SocketAddr,
    },
};

/// What the servers have seen.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Seen {
    /// Number of executions by request id, shard and server.
    pub runs: BTreeMap<String, u64>,
    /// Leaf calls received.
    pub calls: u64,
    /// Executions that reached their end.
    pub completed: u64,
    /// Executions that were cancelled.
    pub cancelled: u64,
    /// Calls refused without execution.
    pub refused: u64,
    /// Calls refused without execution, by server.
    pub refused_by: BTreeMap<SocketAddr, u64>,
    /// Connections refused at the limit.
    pub refused_connections: u64,
    /// Most connections held by one server at once.
    pub peak_connections: u64,
    /// Crashes.
    pub crashes: u64,
}

impl Seen {
    /// Returns the number of pairs of request and shard that ran; a call that
    /// is repeated or hedged counts once.
    pub fn shards_run(&self) -> u64 {
        let pairs: HashSet<_> = self
            .runs
            .keys()
            .filter_map(|key| key.rsplit_once('/').map(|(pair, _server)| pair))
            .collect();
        pairs.len() as u64
    }
}
