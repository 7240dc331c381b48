//! The platform's store as plain state, without I/O.
//!
//! For tests that step a decision by hand, and for the model checker, whose
//! states hold one.

use {
    bytes::Bytes,
    std::{collections::BTreeMap, time::Duration},
    store::{Expected, Fault, KeyRevision, LeaseId, Value},
};

/// Keys with their values.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct MemoryStore {
    values: BTreeMap<String, Value>,
    last_key_revision: KeyRevision,
    /// Ends of the leases, by the time that the store has been told of.
    leases: BTreeMap<LeaseId, Duration>,
    leased: BTreeMap<String, LeaseId>,
    now: Duration,
}

impl MemoryStore {
    /// Reads a key.
    pub fn get(&self, key: &str) -> Option<Value> {
        self.values.get(key).cloned()
    }

    /// Writes a key if it still is as expected.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::Conflict`] if it is not.
    pub fn put(
        &mut self,
        key: &str,
        expected: Expected,
        bytes: Bytes,
    ) -> Result<KeyRevision, Fault> {
        let found = self.values.get(key).map(|value| value.key_revision);
        let is_expected = match expected {
            Expected::Absent => found.is_none(),
            Expected::At(key_revision) => found == Some(key_revision),
        };
        if !is_expected {
            return Err(Fault::Conflict);
        }
        Ok(self.overwrite(key, bytes))
    }

    /// Writes a key whatever it holds, as a store without conditions would.
    pub fn overwrite(&mut self, key: &str, bytes: Bytes) -> KeyRevision {
        self.last_key_revision += 1;
        let key_revision = self.last_key_revision;
        let value = Value {
            key_revision,
            bytes,
        };
        self.values.insert(key.to_owned(), value);
        self.leased.remove(key);
        key_revision
    }

    /// Writes a key as [`MemoryStore::put`] does; it ends with its lease.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::Conflict`] if the key is not as expected.
    pub fn put_leased(
        &mut self,
        key: &str,
        expected: Expected,
        bytes: Bytes,
        lease_id: Option<LeaseId>,
    ) -> Result<KeyRevision, Fault> {
        let key_revision = self.put(key, expected, bytes)?;
        if let Some(lease_id) = lease_id {
            self.leased.insert(key.to_owned(), lease_id);
        }
        Ok(key_revision)
    }

    /// Grants a lease that ends after `ttl`.
    pub fn grant_lease(&mut self, ttl: Duration) -> LeaseId {
        let lease_id = self.leases.len() as LeaseId + 1;
        self.leases.insert(lease_id, self.now + ttl);
        lease_id
    }

    /// Lets time pass, and removes the keys of leases that end.
    pub fn advance(&mut self, time: Duration) {
        self.now += time;
        let (leases, now) = (&self.leases, self.now);
        let is_live = |id: &LeaseId| leases.get(id).is_some_and(|until| *until > now);
        self.leased.retain(|key, lease_id| {
            let is_kept = is_live(lease_id);
            if !is_kept {
                self.values.remove(key);
            }
            is_kept
        });
    }

    /// Returns the keys.
    pub fn keys(&self) -> impl Iterator<Item = &String> {
        self.values.keys()
    }
}
