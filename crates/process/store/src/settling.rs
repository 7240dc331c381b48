//! What a reader may believe after the store has returned from a copy.
//!
//! Load: some hundreds of hosts, thousands of servers and an operator that all write
//! their keys again after a copy that is some seconds old has replaced the store.
//!
//! Until these writers have had time, a key that the copy lacks, or has again, or has
//! with an older value, says nothing: the reader keeps what it knew. What is written
//! after the return is believed at once.

use {
    crate::{StoreEra, StorePosition, StoreRevision},
    rand::Rng,
    std::time::{Duration, Instant},
};

/// Part of the spread that each host adds. A host writes about two keys, so that all
/// hosts together write 200 per second, a sixth of what the store accepts.
const SPREAD_PER_HOST: Duration = Duration::from_millis(10);
/// Longest spread, reached with 1,000 hosts. It is shorter than the leases of hosts, 15 s,
/// so that keys which the copy has are written again before they expire.
const MAX_SPREAD: Duration = Duration::from_secs(10);
/// Time for which writers that do not spread their writes may take, after which a lease
/// in the copy that nobody renews has expired as well.
const WRITERS_TIME: Duration = Duration::from_secs(15);

/// Returns the time over which `hosts` hosts spread the writes of their own keys.
pub fn rewrite_spread(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    SPREAD_PER_HOST.saturating_mul(hosts).min(MAX_SPREAD)
}

/// Returns the time after which one of `hosts` hosts writes its own keys again, uniform
/// within [`rewrite_spread`].
pub fn rewrite_delay(hosts: usize, rng: &mut impl Rng) -> Duration {
    rewrite_spread(hosts).mul_f64(rng.random_range(0.0..1.0))
}

/// Returns the time that all writers have after a return of the store.
pub fn settle_time(hosts: usize) -> Duration {
    WRITERS_TIME + rewrite_spread(hosts)
}

/// How far the data of a reader can be trusted in the current era.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trust {
    /// The reader keeps what it knew before the era; what it has may differ from the store.
    Deferring,
    /// All data was read in this era, but writers may not have had time to write.
    Unconfirmed,
    /// Writers had time before the data was read.
    Settled,
}

/// What an era means for a reader that already knows of one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EraChange {
    /// It is the first known era.
    First,
    /// The store has returned from a copy.
    Risen,
    /// It is the known era, or an older one.
    None,
}

/// State of a reader of `RANGES` ranges of keys with regard to the store's era.
#[derive(Debug)]
pub struct Settling<const RANGES: usize> {
    era: Option<StoreEra>,
    trust: Trust,
    /// Time from which writers have had time.
    settles_at: Option<Instant>,
    /// Revision of the first listing of each range in this era; later ones are of
    /// writes in this era.
    baselines: [Option<StoreRevision>; RANGES],
}

impl<const RANGES: usize> Default for Settling<RANGES> {
    fn default() -> Self {
        Self {
            era: None,
            trust: Trust::Unconfirmed,
            settles_at: None,
            baselines: [None; RANGES],
        }
    }
}

impl<const RANGES: usize> Settling<RANGES> {
    /// Returns the era of the reader, 0 before the first response.
    pub fn era(&self) -> StoreEra {
        self.era.unwrap_or_default()
    }

    /// Records an era. `has_data` tells whether the reader has data of an earlier one,
    /// and `hosts` is the number of hosts that write their keys again.
    pub fn on_era(
        &mut self,
        era: StoreEra,
        has_data: bool,
        hosts: usize,
        now: Instant,
    ) -> EraChange {
        if self.era.is_some_and(|known| era <= known) {
            return EraChange::None;
        }
        let change = match self.era.replace(era) {
            None => EraChange::First,
            Some(_) => EraChange::Risen,
        };
        self.baselines = [None; RANGES];
        self.settles_at = Some(now + settle_time(hosts));
        self.trust = match (era, has_data) {
            // A store in era 0 has never returned from a copy.
            (0, _) => Trust::Settled,
            (_, false) => Trust::Unconfirmed,
            (_, true) => Trust::Deferring,
        };
        change
    }

    /// Returns how far the data can be trusted at `now`.
    pub fn trust(&self, now: Instant) -> Trust {
        if self.trust == Trust::Unconfirmed && self.have_writers_had_time(now) {
            return Trust::Settled;
        }
        self.trust
    }

    /// Returns whether what is read from the store from `now` on is to be believed.
    pub fn have_writers_had_time(&self, now: Instant) -> bool {
        self.settles_at.is_some_and(|at| at <= now)
    }

    /// Returns the time from which the store has to be read again, if it has to.
    pub fn read_again_at(&self) -> Option<Instant> {
        self.settles_at.filter(|_| self.trust == Trust::Deferring)
    }

    /// Records that a reader without data of an earlier era has taken all keys from
    /// another, whose data is trusted this far.
    pub fn on_source(&mut self, source: Trust) {
        if self.trust == Trust::Unconfirmed && source == Trust::Deferring {
            self.trust = Trust::Deferring;
        }
    }

    /// Records that the store was read after writers had time, here or by the host that
    /// the data comes from.
    pub fn settle(&mut self) {
        self.trust = Trust::Settled;
    }

    /// Returns the [`baselines`](Self::on_listing) of all ranges.
    pub fn baselines(&self) -> [Option<StoreRevision>; RANGES] {
        self.baselines
    }

    /// Records a position at which the keys of `range` were listed. The earliest listing
    /// of an era tells the most, whichever host has read it.
    pub fn on_listing(&mut self, range: usize, position: StorePosition) {
        if position.era == self.era() {
            let baseline = &mut self.baselines[range];
            let earliest = baseline.map_or(position.revision, |b| b.min(position.revision));
            *baseline = Some(earliest);
        }
    }

    /// Returns whether a write or removal at `position` was certainly made in this era.
    pub fn is_of_this_era(&self, range: usize, position: StorePosition) -> bool {
        let baseline = self.baselines[range];
        position.era == self.era() && baseline.is_some_and(|b| position.revision > b)
    }
}
