//! Sizes of a service.

use {
    record::{Index, Server, Shard},
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
};

/// Port of the first server; servers are told apart by their port.
const FIRST_PORT: u16 = 1_000;

/// Sizes of a service and its upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Number of shards.
    pub shards: u32,
    /// Number of servers of a shard.
    pub servers_per_shard: u32,
    /// Number of calls that a server executes at once.
    pub slots: u32,
    /// Number of calls that wait for a slot before a server sheds.
    pub queue_limit: usize,
    /// Number of connections that a server accepts.
    pub connection_limit: usize,
    /// Time to open a connection.
    pub connect: Duration,
    /// Mean execution time; times are exponential.
    pub mean: Duration,
    /// Time for one way between hosts, and between a host and an upstream.
    pub hop: Duration,
}

impl Service {
    /// Returns Tallapoosa's restock desk; the Landesamt's club portal has the same size.
    pub fn restock_desk() -> Self {
        Self {
            shards: 20,
            servers_per_shard: 2,
            slots: 2,
            queue_limit: 16,
            connection_limit: 25,
            connect: Duration::from_millis(6),
            mean: Duration::from_millis(8),
            hop: Duration::from_micros(1_500),
        }
    }

    /// Returns Tallapoosa's fair ledger; the Landesamt's float builder has the same size.
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
            connect: Duration::from_millis(1),
            ..Self::restock_desk()
        }
    }

    /// Returns the queries a second that the slots can execute.
    pub fn capacity_per_s(&self) -> f64 {
        f64::from(self.shard_slots()) / self.mean.as_secs_f64()
    }

    /// Returns the slots of one shard over all its servers.
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

/// Returns the position of the server at `addr`.
pub(crate) fn position_of(addr: SocketAddr) -> usize {
    usize::from(addr.port() - FIRST_PORT)
}
