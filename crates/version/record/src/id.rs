//! Identifier types used in records.

use std::net::SocketAddr;

/// Number of a shard within a service.
pub type ShardId = u32;
/// Version of an index, which increases with each build.
pub type IndexVersion = u64;
/// Revision of the head, which increases with each commit.
pub type Revision = u64;
/// Version of a record, assigned by the operator.
pub type RecordVersion = u32;
/// Name of a tenant.
pub type TenantId = String;
/// Name of an availability zone.
pub type ZoneId = String;
/// Name of a region.
pub type RegionId = String;
/// Name of a host.
pub type HostId = String;
/// Address of an upstream server.
pub type ServerAddr = SocketAddr;
