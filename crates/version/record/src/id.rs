//! Names of the things that records speak of.

use std::net::SocketAddr;

/// Number of a shard within a service.
pub type ShardId = u32;
/// Version of an index, rising with each build.
pub type IndexVersion = u64;
/// Revision of the manifest, rising with each commit.
pub type Revision = u64;
/// Version of a record, chosen by its operator.
pub type RecordVersion = u32;
/// Name of a tenant.
pub type TenantId = String;
/// Name of an availability zone.
pub type ZoneId = String;
/// Name of a region.
pub type RegionId = String;
/// Name of a host of the tier.
pub type HostId = String;
/// Address of one upstream server.
pub type ServerAddr = SocketAddr;
