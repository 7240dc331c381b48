//! This host's copy of the keys in the store, served to peers as changes.
//!
//! Every change gets a sequence number, so that a peer can ask for what has
//! changed since the last one that it received.

use {
    crate::{
        apply::FLEET_PREFIX,
        peer::{ChangesReply, WireItem},
        StoreLayout,
    },
    bytes::Bytes,
    rand::Rng,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    store::{EraChange, KeyEvent, Settling, StoreEra, StorePosition, StoreRevision, Trust},
};

/// Number of [`KeyRange`]s.
pub(crate) const KEY_RANGES: usize = 3;

/// Keys that are listed and watched together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum KeyRange {
    /// The keys that hosts write.
    Fleet,
    /// The keys that operators write: the configuration and evacuated zones.
    Config,
    /// The keys of servers.
    Servers,
}

impl KeyRange {
    pub(crate) const ALL: [Self; KEY_RANGES] = [Self::Fleet, Self::Config, Self::Servers];

    /// Returns the range that holds `key`, if any does.
    pub(crate) fn of<L: StoreLayout>(key: &str) -> Option<Self> {
        let mut ranges = Self::ALL.into_iter();
        ranges.find(|range| key.starts_with(range.prefix::<L>()))
    }

    /// Returns the prefix of the keys.
    pub(crate) fn prefix<L: StoreLayout>(self) -> &'static str {
        match self {
            Self::Fleet => FLEET_PREFIX,
            Self::Config => L::OPERATOR_PREFIX,
            Self::Servers => L::SERVER_PREFIX,
        }
    }
}

/// Largest number of removed keys that are remembered. A peer that asks for
/// changes older than these gets all keys.
const MAX_REMOVED_KEYS: usize = 4_096;
/// Smallest progress of the time at which the cache matched the store that
/// counts as a confirmation. Replies of the same age differ by network delays.
const MIN_CONFIRMATION_STEP: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct CachedValue {
    /// Sequence number of the last change.
    sequence: u64,
    /// Position of the last write, whether it was a change or not.
    position: StorePosition,
    bytes: Bytes,
}

#[derive(Clone, Copy, Debug)]
struct Removal {
    sequence: u64,
    position: StorePosition,
}

/// Keys and values of the store with the sequence numbers of their changes.
#[derive(Debug)]
pub(crate) struct StoreCache {
    /// Random identifier of this process; sequence numbers hold within it.
    epoch: u64,
    last_sequence: u64,
    values: HashMap<String, CachedValue>,
    removed: HashMap<String, Removal>,
    /// Removals with sequence numbers up to this one are no longer remembered.
    pruned_through: u64,
    /// Positions up to which all changes of each range are applied, except for those
    /// that are deferred after a return of the store from a copy.
    complete_through: [StorePosition; KEY_RANGES],
    settling: Settling<KEY_RANGES>,
    /// Latest time at which the whole cache was known to match the store.
    read_at: Option<Instant>,
    /// The same, but only advanced by [`MIN_CONFIRMATION_STEP`] or more.
    confirmed_at: Option<Instant>,
}

impl Default for StoreCache {
    fn default() -> Self {
        Self {
            // 0 is what a host sends that has no epoch of a peer yet.
            epoch: rand::rng().random_range(1..=u64::MAX),
            last_sequence: 0,
            values: HashMap::new(),
            removed: HashMap::new(),
            pruned_through: 0,
            complete_through: Default::default(),
            settling: Settling::default(),
            read_at: None,
            confirmed_at: None,
        }
    }
}

impl StoreCache {
    /// Applies an event of the store.
    ///
    /// A write of a known key that is not a change replaces the bytes and keeps
    /// the sequence number, so that peers do not receive it.
    pub(crate) fn apply(&mut self, event: &KeyEvent, is_change: bool) {
        match event {
            KeyEvent::Written(item) => {
                let is_cached = self.values.contains_key(&item.key);
                let sequence = self.next_sequence_if(is_change || !is_cached);
                self.removed.remove(&item.key);
                let cached = self.values.entry(item.key.clone());
                let cached = cached.or_insert_with(|| CachedValue {
                    sequence,
                    position: event.position(),
                    bytes: Bytes::new(),
                });
                cached.bytes = item.bytes.clone();
                cached.position = event.position();
                if is_change {
                    cached.sequence = sequence;
                }
            }
            KeyEvent::Removed { key, position } => {
                if self.values.remove(key).is_some() {
                    let removal = Removal {
                        sequence: self.next_sequence_if(true),
                        position: *position,
                    };
                    self.removed.insert(key.clone(), removal);
                    self.prune_removed();
                }
            }
        }
    }

    fn next_sequence_if(&mut self, is_change: bool) -> u64 {
        self.last_sequence += u64::from(is_change);
        self.last_sequence
    }

    fn prune_removed(&mut self) {
        if self.removed.len() > MAX_REMOVED_KEYS {
            self.removed.clear();
            self.pruned_through = self.last_sequence;
        }
    }

    /// Returns the revision of a key in the current era, or 0 if none is known.
    pub(crate) fn revision(&self, key: &str) -> StoreRevision {
        let cached = self.values.get(key).map(|cached| cached.position);
        let in_era = cached.filter(|position| position.era == self.era());
        in_era.map_or(0, |position| position.revision)
    }

    /// Returns the value of a key.
    pub(crate) fn value(&self, key: &str) -> Option<&Bytes> {
        self.values.get(key).map(|cached| &cached.bytes)
    }

    /// Returns the era of the store, 0 before any response.
    pub(crate) fn era(&self) -> StoreEra {
        self.settling.era()
    }

    /// Records an era of the store, in which one of `hosts` hosts reads.
    pub(crate) fn on_era(&mut self, era: StoreEra, hosts: usize, now: Instant) -> EraChange {
        let has_data = KeyRange::ALL.iter().any(|range| self.has_data_of(*range));
        self.settling.on_era(era, has_data, hosts, now)
    }

    /// Returns whether any keys of `range` were applied.
    pub(crate) fn has_data_of(&self, range: KeyRange) -> bool {
        self.complete_through[range as usize] != StorePosition::default()
    }

    /// Records a position at which `range` was listed.
    pub(crate) fn on_listing(&mut self, range: KeyRange, position: StorePosition) {
        self.settling.on_listing(range as usize, position);
    }

    /// Returns whether an event at `position` was certainly made in the current era.
    pub(crate) fn is_of_this_era(&self, range: KeyRange, position: StorePosition) -> bool {
        self.settling.is_of_this_era(range as usize, position)
    }

    /// Returns how far the cache can be trusted.
    pub(crate) fn trust(&self, now: Instant) -> Trust {
        self.settling.trust(now)
    }

    /// Returns whether the cache keeps what was known before the current era.
    pub(crate) fn is_deferring(&self, now: Instant) -> bool {
        self.trust(now) == Trust::Deferring
    }

    /// Returns whether what is read from the store from `now` on settles the cache.
    pub(crate) fn have_writers_had_time(&self, now: Instant) -> bool {
        self.settling.have_writers_had_time(now)
    }

    /// Returns the time from which the store has to be read again, if it has to.
    pub(crate) fn read_again_at(&self) -> Option<Instant> {
        self.settling.read_again_at()
    }

    /// Records that all keys were taken from a host whose data is trusted this far.
    pub(crate) fn on_source(&mut self, trust: Trust) {
        self.settling.on_source(trust);
    }

    /// Records that the cache holds what the store said after writers had time.
    pub(crate) fn settle(&mut self) {
        self.settling.settle();
    }

    /// Returns whether no range is complete further than through `positions`.
    pub(crate) fn is_complete_no_further_than(
        &self,
        positions: &[StorePosition; KEY_RANGES],
    ) -> bool {
        let mut pairs = self.complete_through.iter().zip(positions);
        pairs.all(|(own, other)| own <= other)
    }

    /// Returns whether an event of the store is newer than what is cached.
    pub(crate) fn is_news(&self, event: &KeyEvent) -> bool {
        let cached = self.values.get(event.key());
        cached.is_none_or(|cached| event.position() > cached.position)
    }

    /// Returns whether an event from another host is newer than what is cached.
    ///
    /// That host may be behind this one: a key that is not cached had been removed
    /// by the position through which `range` is complete.
    pub(crate) fn is_peer_news(&self, event: &KeyEvent, range: KeyRange) -> bool {
        if self.values.contains_key(event.key()) {
            return self.is_news(event);
        }
        event.position() > self.complete_through[range as usize]
    }

    /// Records that all changes of `range` up to `position` are applied.
    pub(crate) fn set_complete_through(&mut self, range: KeyRange, position: StorePosition) {
        let known = &mut self.complete_through[range as usize];
        *known = position.max(*known);
    }

    /// Returns the cached keys that begin with `prefix` and were not written after
    /// `position`, only those known from its era if `in_era`.
    pub(crate) fn keys(&self, prefix: &str, position: StorePosition, in_era: bool) -> Vec<String> {
        let cached = self.values.iter().filter(|(key, cached)| {
            let is_of_era = cached.position.era == position.era;
            key.starts_with(prefix) && cached.position <= position && (is_of_era || !in_era)
        });
        cached.map(|(key, _)| key.clone()).collect()
    }

    /// Records that the whole cache matched the store at `at`, and returns
    /// whether that confirms the cache anew.
    pub(crate) fn on_read(&mut self, at: Instant) -> bool {
        let confirmed = self.confirmed_at;
        let is_new = confirmed.is_none_or(|before| at >= before + MIN_CONFIRMATION_STEP);
        if is_new {
            self.confirmed_at = Some(at);
        }
        self.read_at = self.read_at.max(Some(at));
        is_new
    }

    /// Returns the time of the last confirmation by the store.
    pub(crate) fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// Returns the time since the whole cache was known to match the store, or
    /// `None` if it never was.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        self.read_at.map(|at| now.saturating_duration_since(at))
    }

    /// Takes what the host that sent `reply` knows of the earliest listings in this era.
    pub(crate) fn on_reply(&mut self, reply: &ChangesReply) {
        for (range, baseline) in reply.baselines.into_iter().enumerate() {
            if let Some(revision) = baseline {
                let era = reply.era;
                self.settling
                    .on_listing(range, StorePosition { era, revision });
            }
        }
    }

    /// Returns whether there are changes after sequence number `after` of `epoch`.
    pub(crate) fn has_changes_since(&self, epoch: u64, after: u64) -> bool {
        epoch != self.epoch || after < self.last_sequence
    }

    /// Returns the changes after sequence number `after` of `epoch`, or all keys
    /// if the changes since then are not known.
    pub(crate) fn changes_since(&self, epoch: u64, after: u64, now: Instant) -> ChangesReply {
        let is_full =
            epoch != self.epoch || after < self.pruned_through || after > self.last_sequence;
        let after = if is_full { 0 } else { after };
        let written = self
            .values
            .iter()
            .filter(|(_, cached)| is_full || cached.sequence > after);
        let written = written.map(|(key, cached)| WireItem {
            key: key.clone(),
            value: Some(cached.bytes.to_vec()),
            position: cached.position.into(),
        });
        let removed = self
            .removed
            .iter()
            .filter(|(_, removal)| !is_full && removal.sequence > after);
        let removed = removed.map(|(key, removal)| WireItem {
            key: key.clone(),
            value: None,
            position: removal.position.into(),
        });
        let age = self.age(now).unwrap_or(Duration::MAX);
        ChangesReply {
            epoch: self.epoch,
            last: self.last_sequence,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            is_full,
            era: self.era(),
            trust: self.trust(now).into(),
            complete_through: self.complete_through.map(Into::into),
            baselines: self.settling.baselines(),
            items: written.chain(removed).collect(),
        }
    }
}
