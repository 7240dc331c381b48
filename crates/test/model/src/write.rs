//! A conditional write to the store.

use {
    bytes::Bytes,
    fakes::memory::MemoryStore,
    store::{Expected, Fault},
};

/// A key, the revision that the write expects there, and the new value.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Write {
    pub(crate) key: String,
    pub(crate) expected: Expected,
    pub(crate) bytes: Bytes,
}

impl Write {
    /// Applies the write; an unconditional one ignores the expected revision.
    pub(crate) fn apply(
        &self,
        store: &mut MemoryStore,
        is_unconditional: bool,
    ) -> Result<u64, Fault> {
        if is_unconditional {
            return Ok(store.overwrite(&self.key, self.bytes.clone()));
        }
        store.put(&self.key, self.expected, self.bytes.clone())
    }
}
