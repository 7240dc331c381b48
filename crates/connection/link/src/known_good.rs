//! A bounded set of the fingerprints that have had a success.
//!
//! The set approximates least-recently-used eviction with two generations. New
//! fingerprints enter the young one. When that is full, it replaces the old
//! one, whose contents are dropped. A lookup that finds a fingerprint in the old
//! generation moves it to the young one.

use {crate::Fingerprint, std::collections::HashSet};

/// Largest number of fingerprints in one generation.
const GENERATION_CAPACITY: usize = 2_048;

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
        let was_old = self.old.remove(&fingerprint);
        if was_old {
            self.insert(fingerprint);
        }
        was_old
    }

    pub(crate) fn insert(&mut self, fingerprint: Fingerprint) {
        if self.young.len() >= GENERATION_CAPACITY {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(fingerprint);
    }

    pub(crate) fn remove(&mut self, fingerprint: Fingerprint) {
        self.young.remove(&fingerprint);
        self.old.remove(&fingerprint);
    }
}
