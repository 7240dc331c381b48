//! Eras of the store: how often it has returned from a copy.
//!
//! A store that returns from a copy issues revisions again that it had issued before.
//! A revision therefore says what is newer only within one era.

use {
    crate::{Fault, StoreRevision},
    std::sync::Arc,
    tokio::sync::watch,
};

/// Number of times that the store has returned from a copy.
pub type StoreEra = u64;

/// Position in the history of the store: an era, and a revision within it.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StorePosition {
    /// Era. Compared first.
    pub era: StoreEra,
    /// Revision, which increases with each change of any key within an era.
    pub revision: StoreRevision,
}

/// The latest known era of the store, shared by the clones of a client.
#[derive(Clone, Debug)]
pub struct EraTracker(Arc<watch::Sender<Option<StoreEra>>>);

impl Default for EraTracker {
    fn default() -> Self {
        Self(Arc::new(watch::Sender::new(None)))
    }
}

impl EraTracker {
    /// Returns the latest known era, or `None` before the first response.
    pub fn current(&self) -> Option<StoreEra> {
        *self.0.borrow()
    }

    /// Records an era that is named by a host or a response of the store.
    pub fn raise(&self, era: StoreEra) {
        self.0.send_if_modified(|known| {
            let is_newer = known.is_none_or(|known| era > known);
            if is_newer {
                *known = Some(era);
            }
            is_newer
        });
    }

    /// Records the era of a response of the store.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::Unknown`] if the response is from an older era than the latest
    /// known one: what it says, or what it confirms as written, may be gone.
    pub fn on_response(&self, era: StoreEra) -> Result<(), Fault> {
        self.raise(era);
        match self.current() {
            Some(current) if era < current => Err(Fault::Unknown(format!(
                "the response is from era {era}, and era {current} has begun"
            ))),
            _ => Ok(()),
        }
    }

    /// Waits until an era is known, and returns it.
    pub async fn wait_until_known(&self) -> StoreEra {
        let mut eras = self.0.subscribe();
        loop {
            if let Some(era) = *eras.borrow_and_update() {
                return era;
            }
            // The sender lives in `self`, so waiting cannot fail.
            let _ = eras.changed().await;
        }
    }

    /// Waits until an era above `era` is known, and returns it.
    pub async fn wait_above(&self, era: StoreEra) -> StoreEra {
        let mut eras = self.0.subscribe();
        loop {
            if let Some(newer) = eras.borrow_and_update().filter(|newer| *newer > era) {
                return newer;
            }
            let _ = eras.changed().await;
        }
    }
}
