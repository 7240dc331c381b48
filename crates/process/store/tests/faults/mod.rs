//! What happens to the calls of a decision that is stepped against a store in memory.

use {
    bytes::Bytes,
    fakes::memory::MemoryStore,
    store::{Expected, Fault, KeyRevision, Value},
};

/// What happens to one call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fate {
    Fine,
    ReplyLost,
    RequestLost,
    Down,
}

impl Fate {
    fn fault(self) -> Option<Fault> {
        match self {
            Self::Fine => None,
            Self::ReplyLost | Self::RequestLost => Some(Fault::Unknown("lost".to_owned())),
            Self::Down => Some(Fault::Unreachable("down".to_owned())),
        }
    }

    /// Reads a key.
    pub(crate) fn read(self, store: &MemoryStore, key: &str) -> Result<Option<Value>, Fault> {
        self.fault().map_or_else(|| Ok(store.get(key)), Err)
    }

    /// Writes a key, which may take effect although the call fails.
    pub(crate) fn write(
        self,
        store: &mut MemoryStore,
        key: &str,
        expected: Expected,
        bytes: Bytes,
    ) -> Result<KeyRevision, Fault> {
        let Some(fault) = self.fault() else {
            return store.put(key, expected, bytes);
        };
        if self == Self::ReplyLost {
            // Whether it took effect is what the caller does not hear.
            let _ = store.put(key, expected, bytes);
        }
        Err(fault)
    }
}
