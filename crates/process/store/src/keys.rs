//! Keys by prefix, changes since a revision, and leases.
//!
//! [`Platform`](crate::Platform) reads and writes one key at a time, as the
//! commit of records needs it. Hosts that learn of many keys by their prefix
//! use [`Keys`].

use {
    crate::{Fault, LeaseId},
    bytes::Bytes,
    std::{future::Future, time::Duration},
};

/// Revision of the whole store, rising with each change of any key.
pub type StoreRevision = u64;

/// A key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value.
    pub bytes: Bytes,
}

/// What a read found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listing {
    /// The keys, in the order of the store.
    pub items: Vec<Item>,
    /// Revision from which changes are to be followed.
    pub revision: StoreRevision,
}

/// One change of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyEvent {
    /// The key was written.
    Written(Item),
    /// The key was removed.
    Removed(String),
}

/// Changes since a revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Changes {
    /// What has changed, the oldest first.
    Since {
        /// The changes.
        events: Vec<KeyEvent>,
        /// Revision from which to go on.
        revision: StoreRevision,
    },
    /// The store has dropped the changes asked for; the keys have to be read again.
    HistoryGone,
}

/// The platform's store, by prefix of keys.
///
/// Every method fails with [`Fault::Unreachable`] where nothing was done and
/// with [`Fault::Unknown`] where something may have been.
pub trait Keys: Clone + 'static {
    /// Reads all keys that begin with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the store does not answer.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, Fault>>;

    /// Waits for changes of keys that begin with `prefix`, for at most `wait`.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the store does not answer.
    fn changes(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, Fault>>;

    /// Writes a key whatever it held; the store removes it with its lease.
    ///
    /// Returns `false` if the lease has ended, so that nothing was written.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the store does not answer.
    fn write(
        &self,
        key: &str,
        bytes: Bytes,
        lease: LeaseId,
    ) -> impl Future<Output = Result<bool, Fault>>;

    /// Grants a lease that ends after `ttl` unless it is renewed.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the store does not answer.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, Fault>>;

    /// Renews a lease, and returns `false` if it has ended.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the store does not answer.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<bool, Fault>>;

    /// Ends a lease, which removes its keys.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the store does not answer.
    fn end(&self, lease: LeaseId) -> impl Future<Output = Result<(), Fault>>;
}
