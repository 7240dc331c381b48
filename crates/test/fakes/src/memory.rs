//! An in-memory fake of the platform's store, without I/O.
//!
//! Used by tests that drive a state machine step by step, and by the states of
//! the model checker.

use {
    bytes::Bytes,
    std::{collections::BTreeMap, time::Duration},
    store::{Expected, Fault, KeyRevision, LeaseId, Value},
};

/// Keys with their values and leases.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct MemoryStore {
    values: BTreeMap<String, Value>,
    last_key_revision: KeyRevision,
    /// End of each lease, on the clock that [`MemoryStore::advance`] moves.
    leases: BTreeMap<LeaseId, Duration>,
    key_leases: BTreeMap<String, LeaseId>,
    now: Duration,
}

impl MemoryStore {
    /// Reads a key.
    pub fn get(&self, key: &str) -> Option<Value> {
        self.values.get(key).cloned()
    }

    /// Writes a key if it is at the expected revision.
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
        let current = self.values.get(key).map(|value| value.key_revision);
        let is_expected = match expected {
            Expected::Absent => current.is_none(),
            Expected::At(key_revision) => current == Some(key_revision),
        };
        if !is_expected {
            return Err(Fault::Conflict);
        }
        Ok(self.overwrite(key, bytes))
    }

    /// Writes a key unconditionally.
    pub fn overwrite(&mut self, key: &str, bytes: Bytes) -> KeyRevision {
        self.last_key_revision += 1;
        let key_revision = self.last_key_revision;
        let value = Value {
            key_revision,
            bytes,
        };
        self.values.insert(key.to_owned(), value);
        self.key_leases.remove(key);
        key_revision
    }

    /// Writes a key like [`MemoryStore::put`]; the key is removed when its lease ends.
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
            self.key_leases.insert(key.to_owned(), lease_id);
        }
        Ok(key_revision)
    }

    /// Grants a lease that ends after `ttl`.
    pub fn grant_lease(&mut self, ttl: Duration) -> LeaseId {
        let lease_id = self.leases.len() as LeaseId + 1;
        self.leases.insert(lease_id, self.now + ttl);
        lease_id
    }

    /// Advances the clock and removes the keys of leases that have ended.
    pub fn advance(&mut self, time: Duration) {
        self.now += time;
        let (leases, now) = (&self.leases, self.now);
        let is_live = |id: &LeaseId| leases.get(id).is_some_and(|ends_at| *ends_at > now);
        self.key_leases.retain(|key, lease_id| {
            let is_kept = is_live(lease_id);
            if !is_kept {
                self.values.remove(key);
            }
            is_kept
        });
    }

    /// Returns all keys.
    pub fn keys(&self) -> impl Iterator<Item = &String> {
        self.values.keys()
    }
}
