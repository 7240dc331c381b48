//! What happens to the calls of a decision that is stepped against a store in memory.

use {
    fakes::memory::MemoryStore,
    store::{Fault, Value},
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

    /// Makes a call, which may take effect although it fails.
    pub(crate) fn apply<T>(
        self,
        store: &mut MemoryStore,
        call: impl FnOnce(&mut MemoryStore) -> Result<T, Fault>,
    ) -> Result<T, Fault> {
        let Some(fault) = self.fault() else {
            return call(store);
        };
        if self == Self::ReplyLost {
            // Whether it took effect is what the caller does not hear.
            let _ = call(store);
        }
        Err(fault)
    }
}
