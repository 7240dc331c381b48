//! A host's cached view of a range of the claim log.

use {
    crate::{claim_log::Generation, Expected, ScopeHash, Value},
    kind::Result,
    std::collections::BTreeMap,
};

/// A host's cached view of a range of the claim log, which may be stale.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct RangeView {
    pub(super) open: Option<OpenView>,
    /// Sorted scope hashes of each sealed generation, by the key of the generation.
    pub(super) sealed: BTreeMap<String, Vec<ScopeHash>>,
}

/// The open generation of a range as it was last read or written.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct OpenView {
    pub(super) generation: Generation,
    pub(super) bytes: usize,
    pub(super) expected: Expected,
}

impl RangeView {
    pub(super) fn clear_open(&mut self) {
        self.open = None;
    }

    pub(super) fn set_open(&mut self, value: Option<Value>) -> Result<()> {
        let open = match value {
            None => OpenView {
                generation: Generation::first(),
                bytes: 0,
                expected: Expected::Absent,
            },
            Some(value) => OpenView {
                generation: Generation::from_bytes(&value.bytes)?,
                bytes: value.bytes.len(),
                expected: Expected::At(value.key_revision),
            },
        };
        let listed = &open.generation.sealed;
        self.sealed
            .retain(|key, _| listed.iter().any(|s| s.key == *key));
        self.open = Some(open);
        Ok(())
    }

    pub(super) fn set_index(&mut self, key: String, value: Option<Value>) -> Result<()> {
        // The key is removed only after the retention of all its claims has ended.
        let hashes = match value {
            None => Vec::new(),
            Some(value) => Generation::from_bytes(&value.bytes)?.scope_hashes()?,
        };
        self.sealed.insert(key, hashes);
        Ok(())
    }
}

impl OpenView {
    pub(super) fn is_full(&self) -> bool {
        self.generation.is_full(self.bytes)
    }
}
