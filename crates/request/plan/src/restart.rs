//! The choice of another snapshot once the pinned one is gone.

use {
    crate::Pin,
    record::{IndexVersion, Service},
    std::sync::Arc,
};

/// Versions that a query has tried and what it knows of others.
#[derive(Debug)]
pub(crate) struct Versions {
    /// Newest service record known.
    latest: Arc<Service>,
    /// Versions pinned before, this one included.
    pinned: Vec<IndexVersion>,
    /// Newest version that a server has said to hold.
    stated: Option<IndexVersion>,
}

impl Versions {
    pub(crate) fn new(pin: &Pin) -> Self {
        Self {
            latest: Arc::clone(pin.service()),
            pinned: vec![pin.version()],
            stated: None,
        }
    }

    /// Takes a service record; an older one than known is ignored.
    pub(crate) fn learn(&mut self, service: Arc<Service>) {
        if service.version >= self.latest.version {
            self.latest = service;
        }
    }

    /// Takes the newest version that a server says to hold.
    pub(crate) fn on_stated(&mut self, version: Option<IndexVersion>) {
        self.stated = self.stated.max(version);
    }

    /// Pins the newest version that was not tried and that servers may hold.
    ///
    /// Without the word of a server only newer versions come into question. A
    /// server whose newest version is older than the pin has not got it yet,
    /// and then an older one serves better than none. No version is pinned
    /// twice, so the number of restarts is bounded.
    pub(crate) fn next(&mut self, pin: &Pin) -> Option<Pin> {
        let current = pin.version();
        let is_wanted = |version: IndexVersion| {
            let may_be_held = match self.stated {
                Some(stated) => version <= stated,
                None => version > current,
            };
            may_be_held && !self.pinned.contains(&version)
        };
        let next = Pin::newest_where(&self.latest, is_wanted)
            .or_else(|| Pin::newest_where(pin.service(), is_wanted))?;
        self.pinned.push(next.version());
        self.stated = None;
        Some(next)
    }
}
