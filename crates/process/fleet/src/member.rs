//! Hosts of the tier as this host knows them.

use {
    record::{HostId, RegionId, ZoneId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// One host of the tier.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of the host.
    pub id: HostId,
    /// Address on which the host takes calls of its peers.
    pub peer_addr: SocketAddr,
    /// Region.
    pub region: RegionId,
    /// Availability zone.
    pub zone: ZoneId,
}
