//! Selection of another index version when the pinned one is gone.

use {
    crate::Pin,
    record::{IndexVersion, Service},
    std::sync::Arc,
};

/// Index versions that a query has pinned, and what it knows about others.
#[derive(Debug)]
pub(crate) struct VersionCandidates {
    /// Newest known service record.
    latest: Arc<Service>,
    /// Versions pinned so far, including the current one.
    pinned: Vec<IndexVersion>,
    /// Newest version that any server reports to hold.
    reported: Option<IndexVersion>,
}

impl VersionCandidates {
    pub(crate) fn new(pin: &Pin) -> Self {
        Self {
            latest: Arc::clone(pin.service()),
            pinned: vec![pin.version()],
            reported: None,
        }
    }

    /// Records a service record, unless it is older than the latest one.
    pub(crate) fn on_record(&mut self, service: Arc<Service>) {
        if service.version >= self.latest.version {
            self.latest = service;
        }
    }

    /// Records the newest version that a server reports to hold.
    pub(crate) fn on_reported(&mut self, version: Option<IndexVersion>) {
        self.reported = self.reported.max(version);
    }

    /// Pins the newest version that has not been pinned yet and that servers may hold.
    ///
    /// If no server has reported a version, only versions newer than the pin
    /// are candidates. A server that reports an older version than the pin has
    /// not received the pinned one yet, and an older version is then better
    /// than none. No version is pinned twice, so the number of restarts is
    /// bounded.
    pub(crate) fn next_pin(&mut self, pin: &Pin) -> Option<Pin> {
        let current = pin.version();
        let is_wanted = |version: IndexVersion| {
            let may_be_held = match self.reported {
                Some(reported) => version <= reported,
                None => version > current,
            };
            may_be_held && !self.pinned.contains(&version)
        };
        let next = Pin::newest_where(&self.latest, is_wanted)
            .or_else(|| Pin::newest_where(pin.service(), is_wanted))?;
        self.pinned.push(next.version());
        self.reported = None;
        Some(next)
    }
}
