//! Parameters of a service.

use {
    record::{Index, Server, Shard},
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
};

/// Port of the first server; the port identifies a server.
const FIRST_PORT: u16 = 1_000;

/// Parameters of a service and its upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Number of shards.
    pub shards: u32,
    /// Number of servers of a shard.
    pub servers_per_shard: u32,
    /// Number of calls that a server executes concurrently.
    pub slots: u32,
    /// Number of calls that wait for a slot before a server sheds.
    pub queue_limit: usize,
    /// Number of connections that a server accepts.
    pub connection_limit: usize,
    /// Time to open a connection.
    pub connect_time: Duration,
    /// Mean of the exponentially distributed execution times.
    pub mean_execution_time: Duration,
    /// One-way network delay between hosts, and between a host and an upstream.
    pub hop: Duration,
}

impl Service {
    /// Returns the size of Tallapoosa's restock desk, which the Landesamt's club portal shares.
    pub fn restock_desk() -> Self {
        Self {
            shards: 20,
            servers_per_shard: 2,
            slots: 2,
            queue_limit: 16,
            connection_limit: 25,
            connect_time: Duration::from_millis(6),
            mean_execution_time: Duration::from_millis(8),
            hop: Duration::from_micros(1_500),
        }
    }

    /// Returns the size of Tallapoosa's fair ledger, which the Landesamt's float builder shares.
    pub fn fair_ledger() -> Self {
        Self {
            shards: 30,
            ..Self::restock_desk()
        }
    }

    /// Returns a pooled service: one shard on many servers.
    pub fn pooled() -> Self {
        Self {
            shards: 1,
            servers_per_shard: 8,
            slots: 4,
            connection_limit: 45,
            connect_time: Duration::from_millis(1),
            ..Self::restock_desk()
        }
    }

    /// Returns the number of queries per second that the slots can execute.
    pub fn capacity_per_s(&self) -> f64 {
        f64::from(self.shard_slots()) / self.mean_execution_time.as_secs_f64()
    }

    /// Returns the number of slots of all servers of a shard.
    pub fn shard_slots(&self) -> u32 {
        self.servers_per_shard * self.slots
    }

    pub(crate) fn server_count(&self) -> usize {
        (self.shards * self.servers_per_shard) as usize
    }

    pub(crate) fn record(&self) -> record::Service {
        let shards = (0..self.shards).map(|id| Shard {
            id,
            servers: (0..self.servers_per_shard)
                .map(|i| Server {
                    addr: addr_of(id * self.servers_per_shard + i),
                    zone: format!("zone-{i}"),
                })
                .collect(),
        });
        record::Service {
            name: "trial".to_owned(),
            version: 1,
            connection_limit: self.connection_limit as u32,
            slots: self.slots,
            relays: None,
            indexes: vec![Index {
                version: 1,
                shards: shards.collect(),
            }],
        }
    }
}

fn addr_of(server: u32) -> SocketAddr {
    let port = FIRST_PORT + u16::try_from(server).unwrap_or(u16::MAX - FIRST_PORT);
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Returns the index of the server at `addr`.
pub(crate) fn position_of(addr: SocketAddr) -> usize {
    usize::from(addr.port() - FIRST_PORT)
}
