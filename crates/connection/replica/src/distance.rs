//! How far away a server is.

use {
    record::{RegionId, ZoneId},
    std::{collections::HashMap, time::Duration},
};

/// Round trip within a zone until one is measured, a usual figure of data centres.
const ZONE_ROUND_TRIP: Duration = Duration::from_micros(500);
/// Round trip between zones of a region until one is measured, a usual figure.
const REGION_ROUND_TRIP: Duration = Duration::from_millis(3);
/// Round trip between regions until one is measured, a usual figure.
const FAR_ROUND_TRIP: Duration = Duration::from_millis(25);

/// How far away a server is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// In the zone of this host.
    Zone,
    /// In another zone of the region.
    Region,
    /// In another region, or in a zone that is not known.
    Far,
}

impl Distance {
    /// Returns the round trip to assume until one is measured.
    pub(crate) const fn round_trip(self) -> Duration {
        match self {
            Self::Zone => ZONE_ROUND_TRIP,
            Self::Region => REGION_ROUND_TRIP,
            Self::Far => FAR_ROUND_TRIP,
        }
    }
}

/// Where this host stands, and which zones belong to which region.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Place {
    /// Availability zone of this host.
    pub zone: ZoneId,
    /// Region of every zone.
    pub regions: HashMap<ZoneId, RegionId>,
}

impl Place {
    /// Returns how far away `zone` is.
    pub fn distance(&self, zone: &str) -> Distance {
        if zone == self.zone {
            return Distance::Zone;
        }
        match (self.regions.get(&self.zone), self.regions.get(zone)) {
            (Some(here), Some(there)) if here == there => Distance::Region,
            _ => Distance::Far,
        }
    }
}
