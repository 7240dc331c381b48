//! Counters of the servers.

use {
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashSet},
        net::SocketAddr,
    },
};

/// Counters over all servers.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Counters {
    /// Number of executions by request id, shard and server.
    pub runs: BTreeMap<String, u64>,
    /// Leaf calls received.
    pub calls: u64,
    /// Executions that completed.
    pub completed: u64,
    /// Executions that were cancelled.
    pub cancelled: u64,
    /// Calls refused without execution.
    pub refused: u64,
    /// Calls refused without execution, by server.
    pub refused_by: BTreeMap<SocketAddr, u64>,
    /// Connections refused because of the connection limit or a crash.
    pub refused_connections: u64,
    /// Maximum number of concurrent connections of one server.
    pub peak_connections: u64,
    /// Number of crashes.
    pub crashes: u64,
}

impl Counters {
    /// Returns the number of distinct pairs of request and shard that were
    /// executed; repeated and hedged calls count once.
    pub fn shards_run(&self) -> u64 {
        let pairs: HashSet<_> = self
            .runs
            .keys()
            .filter_map(|key| key.rsplit_once('/').map(|(pair, _server)| pair))
            .collect();
        pairs.len() as u64
    }
}
