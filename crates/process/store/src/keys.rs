//! Access to many keys by prefix: listing, watching changes, and leases.
//!
//! [`Platform`](crate::Platform) reads and writes one key at a time, which is
//! what commits of records need. Hosts that follow all keys with a prefix use
//! [`KeyPrefixStore`].

use {
    crate::{EraTracker, Fault, LeaseId, StoreEra, StorePosition},
    bytes::Bytes,
    std::{future::Future, time::Duration},
};

/// Revision of the whole store, which increases with each change of any key within an
/// era.
pub type StoreRevision = u64;

/// A key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value.
    pub bytes: Bytes,
    /// Revision of the write.
    pub revision: StoreRevision,
    /// Era of that revision.
    pub era: StoreEra,
}

/// The result of listing keys by prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listing {
    /// The keys with their values, in the order of the store.
    pub items: Vec<Item>,
    /// Position after which to ask for changes.
    pub position: StorePosition,
}

/// A change of one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyEvent {
    /// The key was written.
    Written(Item),
    /// The key was removed.
    Removed {
        /// Key.
        key: String,
        /// Position of the removal, or a later one.
        position: StorePosition,
    },
}

impl KeyEvent {
    /// Returns the key that was written or removed.
    pub fn key(&self) -> &str {
        match self {
            Self::Written(item) => &item.key,
            Self::Removed { key, .. } => key,
        }
    }

    /// Returns the position of the write or removal.
    pub fn position(&self) -> StorePosition {
        match self {
            Self::Written(item) => StorePosition {
                era: item.era,
                revision: item.revision,
            },
            Self::Removed { position, .. } => *position,
        }
    }
}

/// Changes since a revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Changes {
    /// Changes that the store still has.
    Since {
        /// The changes, oldest first.
        events: Vec<KeyEvent>,
        /// Position after which to ask for further changes.
        position: StorePosition,
    },
    /// The store does not have the requested changes any more, or has returned from a
    /// copy since; the keys must be listed again.
    Compacted,
}

/// How recent a listing has to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// Includes every write that was acknowledged before the call.
    Current,
    /// May be some seconds old. Costs the store less.
    MayBeStale,
}

/// Access to the platform's store by key prefix.
///
/// Every method fails with [`Fault::Unreachable`] if the call had no effect and
/// with [`Fault::Unknown`] if it may have had one.
pub trait KeyPrefixStore: Clone + 'static {
    /// Returns the latest era that any response has named.
    ///
    /// Every method takes it from the response to its call, and fails with
    /// [`Fault::Unknown`] if the response is from an older era than this. Identifiers of
    /// leases are issued again in a new era, so a lease must not be used after the era
    /// in which it was granted.
    fn eras(&self) -> &EraTracker;

    /// Reads all keys that start with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the store does not answer.
    fn list(
        &self,
        prefix: &str,
        freshness: Freshness,
    ) -> impl Future<Output = Result<Listing, Fault>>;

    /// Returns the changes after position `after` of keys that start with `prefix`, and
    /// waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the store does not answer.
    fn wait_for_changes(
        &self,
        prefix: &str,
        after: StorePosition,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, Fault>>;

    /// Writes a key unconditionally; the store removes it when `lease` ends.
    ///
    /// Returns `false` and writes nothing if the lease has already ended.
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

    /// Writes a key if its revision is `expected`, or if it does not exist and
    /// `expected` is 0; the store removes it when `lease` ends, or keeps it if there is
    /// none.
    ///
    /// Returns the new revision of the key, or writes nothing and returns `None` if the
    /// key has another revision or the lease has already ended.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the store does not answer.
    fn write_if(
        &self,
        key: &str,
        expected: StoreRevision,
        bytes: Bytes,
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<Option<StoreRevision>, Fault>>;

    /// Removes a key if its revision is `expected`, and returns whether it was.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the store does not answer.
    fn remove_if(
        &self,
        key: &str,
        expected: StoreRevision,
    ) -> impl Future<Output = Result<bool, Fault>>;

    /// Grants a lease that ends after `ttl` unless it is renewed.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the store does not answer.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, Fault>>;

    /// Renews a lease; returns `false` if it has already ended.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the store does not answer.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<bool, Fault>>;

    /// Ends a lease and removes the keys attached to it.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the store does not answer.
    fn end(&self, lease: LeaseId) -> impl Future<Output = Result<(), Fault>>;
}
