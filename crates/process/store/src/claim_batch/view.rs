//! What a host knows of a range of claims.

use {
    crate::{claim_log::Generation, Expected, ScopeHash, Value},
    kind::Result,
    std::collections::BTreeMap,
};

/// What a host knows of a range.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct RangeView {
    pub(super) open: Option<OpenView>,
    /// Sorted scopes of each sealed generation, by its key.
    pub(super) sealed: BTreeMap<String, Vec<ScopeHash>>,
}

/// The open generation of a range as it was last seen.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct OpenView {
    pub(super) generation: Generation,
    pub(super) bytes: usize,
    pub(super) expected: Expected,
}

impl RangeView {
    pub(super) fn forget_open(&mut self) {
        self.open = None;
    }

    pub(super) fn take_open(&mut self, value: Option<Value>) -> Result<()> {
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

    pub(super) fn take_index(&mut self, key: String, value: Option<Value>) -> Result<()> {
        // What is gone has outlived the retention of its claims.
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
