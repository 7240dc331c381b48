//! A write on its way to the store.

use {
    bytes::Bytes,
    fakes::memory::MemoryStore,
    store::{Expected, Fault},
};

/// One key, what the write expects to find there, and what it leaves.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Write {
    pub(crate) key: String,
    pub(crate) expected: Expected,
    pub(crate) bytes: Bytes,
}

impl Write {
    /// Carries the write out; a blind one looks at nothing.
    pub(crate) fn put(&self, store: &mut MemoryStore, is_blind: bool) -> Result<u64, Fault> {
        if is_blind {
            return Ok(store.overwrite(&self.key, self.bytes.clone()));
        }
        store.put(&self.key, self.expected, self.bytes.clone())
    }
}
