//! Zones whose servers get no calls because an operator has evacuated them.
//!
//! Load: an operator takes a whole zone out of use while callers send at full rate,
//! and calls are queued, hedged, relayed and retried at that moment. The directory
//! leaves the servers of evacuated zones out of every choice and refuses calls to
//! them right before they are sent.

use {record::ZoneId, std::collections::BTreeSet};

/// The evacuated zones.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evacuation(BTreeSet<ZoneId>);

impl Evacuation {
    /// Evacuates a zone, and returns whether that is new.
    pub(crate) fn begin(&mut self, zone: &str) -> bool {
        self.0.insert(zone.to_owned())
    }

    /// Ends the evacuation of a zone, and returns whether it was evacuated.
    pub(crate) fn end(&mut self, zone: &str) -> bool {
        self.0.remove(zone)
    }

    /// Returns whether the servers of a zone get no calls.
    pub(crate) fn covers(&self, zone: &str) -> bool {
        self.0.contains(zone)
    }

    /// Returns the evacuated zones in alphabetical order.
    pub(crate) fn zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.0.iter()
    }
}
