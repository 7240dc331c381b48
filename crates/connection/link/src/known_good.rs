//! Fingerprints with a success to their name, in bounded memory.
//!
//! Two generations: new entries go to the young one; when it is full, the old
//! one is dropped. What is asked for often moves along.

use {crate::Fingerprint, std::collections::HashSet};

/// Most fingerprints of one generation.
const GENERATION: usize = 2_048;

#[derive(Debug, Default)]
pub(crate) struct KnownGood {
    young: HashSet<Fingerprint>,
    old: HashSet<Fingerprint>,
}

impl KnownGood {
    pub(crate) fn contains(&mut self, fingerprint: Fingerprint) -> bool {
        if self.young.contains(&fingerprint) {
            return true;
        }
        let is_old = self.old.remove(&fingerprint);
        if is_old {
            self.insert(fingerprint);
        }
        is_old
    }

    pub(crate) fn insert(&mut self, fingerprint: Fingerprint) {
        if self.young.len() >= GENERATION {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(fingerprint);
    }

    pub(crate) fn remove(&mut self, fingerprint: Fingerprint) {
        self.young.remove(&fingerprint);
        self.old.remove(&fingerprint);
    }
}
