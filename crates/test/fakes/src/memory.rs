//! The platform's store as plain state, without I/O.
//!
//! For tests that step a decision by hand, and for the model checker, whose
//! states hold one.

use {
    bytes::Bytes,
    std::collections::BTreeMap,
    store::{Expected, Fault, KeyRevision, Value},
};

/// Keys with their values.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct MemoryStore {
    values: BTreeMap<String, Value>,
    last_key_revision: KeyRevision,
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
        key_revision
    }

    /// Returns the keys.
    pub fn keys(&self) -> impl Iterator<Item = &String> {
        self.values.keys()
    }
}
