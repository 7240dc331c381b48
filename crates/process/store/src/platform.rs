//! Interface to the platform's key-value service and host list.

use {
    bytes::Bytes,
    kind::{Error, Kind},
    record::{HostId, RegionId, ZoneId},
    serde::{Deserialize, Serialize},
    std::{future::Future, net::SocketAddr, time::Duration},
};

/// Revision of a key, which increases with each change of the key.
pub type KeyRevision = u64;

/// Identifier of a lease; when the lease ends, the platform removes the keys attached
/// to it.
pub type LeaseId = u64;

/// A value with the revision at which it was read.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Value {
    /// Revision of the key.
    pub key_revision: KeyRevision,
    /// The value.
    pub bytes: Bytes,
}

/// Precondition of a conditional write.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Expected {
    /// The key does not exist.
    Absent,
    /// The key is at this revision.
    At(KeyRevision),
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Fault {
    /// The precondition did not hold, so nothing was written.
    Conflict,
    /// The call had no effect: it did not reach the platform or was rejected by it.
    Unreachable(String),
    /// The call may have taken effect.
    Unknown(String),
}

impl From<Fault> for Error {
    fn from(fault: Fault) -> Self {
        match fault {
            Fault::Conflict => Self::new(Kind::Conflict, "the key has changed"),
            Fault::Unreachable(detail) => Self::new(Kind::StoreDown, detail),
            Fault::Unknown(detail) => Self::new(Kind::StoreUnknown, detail),
        }
    }
}

/// Role of a listed host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A host of this tier.
    Wharf,
    /// An upstream server.
    Upstream,
}

/// One entry of the platform's list of hosts, which may be out of date.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedHost {
    /// Role of the host.
    pub role: Role,
    /// Identifier of the host.
    pub id: HostId,
    /// Address at which peers or relays connect to the host.
    pub addr: SocketAddr,
    /// Region of the host.
    pub region: RegionId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Whether the host is shutting down.
    pub leaving: bool,
}

/// The platform's key-value service and host list.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the platform does not answer.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Value>, Fault>> + Send;

    /// Writes a key if the precondition `expected` holds, and returns its new revision.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::Conflict`] if the precondition does not hold,
    /// [`Fault::Unreachable`] if nothing was written, and [`Fault::Unknown`] if
    /// the write may have taken effect.
    fn put(
        &self,
        key: &str,
        expected: Expected,
        bytes: Bytes,
    ) -> impl Future<Output = Result<KeyRevision, Fault>> + Send {
        self.put_leased(key, expected, bytes, None)
    }

    /// Writes a key like [`Platform::put`]; the platform removes it when the lease ends.
    ///
    /// # Errors
    ///
    /// Returns the same faults as [`Platform::put`].
    fn put_leased(
        &self,
        key: &str,
        expected: Expected,
        bytes: Bytes,
        lease_id: Option<LeaseId>,
    ) -> impl Future<Output = Result<KeyRevision, Fault>> + Send;

    /// Grants a lease that ends after `ttl` unless it is renewed.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the platform does not answer.
    fn grant_lease(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, Fault>> + Send;

    /// Waits up to `wait` for a revision of the key above `after`.
    ///
    /// Returns `None` if there is no such revision within that time.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the platform does not answer.
    fn watch(
        &self,
        key: &str,
        after: KeyRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Value>, Fault>> + Send;

    /// Reads the list of hosts.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the platform does not answer.
    fn hosts(&self) -> impl Future<Output = Result<Vec<ListedHost>, Fault>> + Send;
}
