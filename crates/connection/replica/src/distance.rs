//! Network distance between this host and a server.

use {
    record::{RegionId, ZoneId},
    std::{collections::HashMap, time::Duration},
};

/// Round trip assumed within a zone until one is measured.
const ZONE_ROUND_TRIP: Duration = Duration::from_micros(500);
/// Round trip assumed between zones of a region until one is measured.
const REGION_ROUND_TRIP: Duration = Duration::from_millis(3);
/// Round trip assumed between regions until one is measured.
const OTHER_REGION_ROUND_TRIP: Duration = Duration::from_millis(25);

/// Network distance of a server from this host.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// In the zone of this host.
    Zone,
    /// In another zone of the region.
    Region,
    /// In another region or an unknown zone.
    OtherRegion,
}

impl Distance {
    /// Returns the round trip to assume until one is measured.
    pub(crate) const fn round_trip(self) -> Duration {
        match self {
            Self::Zone => ZONE_ROUND_TRIP,
            Self::Region => REGION_ROUND_TRIP,
            Self::OtherRegion => OTHER_REGION_ROUND_TRIP,
        }
    }
}

/// Zone of this host and the regions of all zones.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Locality {
    /// Availability zone of this host.
    pub zone: ZoneId,
    /// Region of every zone.
    pub regions: HashMap<ZoneId, RegionId>,
}

impl Locality {
    /// Returns whether two zones are in the same region.
    pub fn is_same_region(&self, one: &str, other: &str) -> bool {
        let region = |zone| self.regions.get(zone);
        one == other || (region(one).is_some() && region(one) == region(other))
    }

    /// Returns the region of `zone`, or `None` if it is not known.
    pub fn region(&self, zone: &str) -> Option<&str> {
        self.regions.get(zone).map(|region| &**region)
    }

    /// Returns the distance between this host and `zone`.
    pub fn distance(&self, zone: &str) -> Distance {
        if zone == self.zone {
            return Distance::Zone;
        }
        match (self.regions.get(&self.zone), self.regions.get(zone)) {
            (Some(own), Some(other)) if own == other => Distance::Region,
            _ => Distance::OtherRegion,
        }
    }
}
