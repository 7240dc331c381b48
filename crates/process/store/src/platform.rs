//! The interface to the platform's key-value service and host list.

use {
    bytes::Bytes,
    kind::{Error, Kind},
    record::{HostId, RegionId, ZoneId},
    serde::{Deserialize, Serialize},
    std::{future::Future, net::SocketAddr, time::Duration},
};

/// Revision of a key, rising with each change of it.
pub type KeyRevision = u64;

/// Identifier of a lease, which the platform removes its keys with.
pub type LeaseId = u64;

/// A value with the revision at which it was read.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Value {
    /// Revision of the key.
    pub key_revision: KeyRevision,
    /// Bytes of the value.
    pub bytes: Bytes,
}

/// What a conditional write expects to find.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Expected {
    /// No value.
    Absent,
    /// The value of this revision.
    At(KeyRevision),
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Fault {
    /// The expectation did not hold, so nothing was written.
    Conflict,
    /// The call never reached the platform.
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

/// What a listed host does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A host of the tier.
    Wharf,
    /// An upstream.
    Upstream,
}

/// One line of the platform's list of hosts, which lags behind the truth.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedHost {
    /// What the host does.
    pub role: Role,
    /// Name of the host.
    pub id: HostId,
    /// Address by which peers or relays reach the host.
    pub addr: SocketAddr,
    /// Region.
    pub region: RegionId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Whether the host is leaving.
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

    /// Writes a key if it still is as expected, and returns its new revision.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::Conflict`] if it is not, [`Fault::Unknown`] if the
    /// write may have taken effect.
    fn put(
        &self,
        key: &str,
        expected: Expected,
        bytes: Bytes,
    ) -> impl Future<Output = Result<KeyRevision, Fault>> + Send {
        self.put_leased(key, expected, bytes, None)
    }

    /// Writes a key as [`Platform::put`] does; the platform removes it with its lease.
    ///
    /// # Errors
    ///
    /// Returns the faults of [`Platform::put`].
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

    /// Waits until the key has a revision above `after`, for at most `wait`.
    ///
    /// Returns `None` if the time passes without a change.
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
