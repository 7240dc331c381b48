//! The hosts that one host knows, and what it believes of each.
//!
//! Entries spread as rumours and are repaired by groups: hosts fall into a
//! fixed number of groups by the hash of their name, and two hosts compare one
//! fingerprint a group. Where the fingerprints agree, both sides list the
//! group in the same order, so one bit for each host says which of them have
//! a revision in force.

use {
    crate::{Entry, Incarnation, Member, Standing},
    record::{HostId, Revision},
    std::{
        collections::{BTreeMap, HashMap},
        time::{Duration, Instant},
    },
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Number of groups that hosts fall into.
pub const GROUPS: usize = 32;
/// Time within which a suspected host can refute the suspicion.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_secs(6);
/// Time after which a host that left is forgotten.
pub const LEFT_RETENTION: Duration = Duration::from_secs(60);
/// Time after which a lost host is forgotten; longer than a region stays cut off.
pub const LOST_RETENTION: Duration = Duration::from_secs(1_800);
/// Time for which a forgotten host cannot come back by an old rumour.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(86_400);
/// Largest number of forgotten hosts that are remembered.
const MAX_TOMBSTONES: usize = 16_384;

/// Hosts whose bits share a digit on the wire.
const HOSTS_PER_DIGIT: usize = 4;

/// Number of a group.
pub type GroupId = u8;

/// What one host says of a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupReport {
    /// Number of the group.
    pub group: GroupId,
    /// Fingerprint of its entries.
    pub fingerprint: u32,
    /// For each host of the group, whether it has the stated revision in force;
    /// padded to a multiple of four.
    pub has_revision: Vec<bool>,
}

/// What became of an entry that a peer sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Merged {
    /// The entry was news and is kept.
    News,
    /// The entry says nothing new.
    Known,
    /// The entry is about this host and wrong, so this host has a new version.
    Refuted,
}

/// How far a revision has come.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Progress {
    /// Number of members that have it in force.
    pub in_force: usize,
    /// Number of members.
    pub members: usize,
    /// Members that lag.
    pub lagging: Vec<HostId>,
}

#[derive(Debug)]
struct Known {
    entry: Entry,
    revision: Revision,
    since: Instant,
    stamp: u64,
}

#[derive(Clone, Copy, Debug)]
struct Tombstone {
    incarnation: Incarnation,
    until: Instant,
}

/// The hosts that this host knows, itself included.
#[derive(Debug)]
pub struct Table {
    own_id: HostId,
    groups: Vec<BTreeMap<HostId, Known>>,
    tombstones: HashMap<HostId, Tombstone>,
}

impl Table {
    /// Creates a table that knows its own host only.
    pub fn new(own: Entry, now: Instant) -> Self {
        let mut table = Self {
            own_id: own.member.id.clone(),
            groups: (0..GROUPS).map(|_| BTreeMap::new()).collect(),
            tombstones: HashMap::new(),
        };
        table.store(own, now);
        table
    }

    /// Returns the entry of this host.
    pub fn own(&self) -> &Entry {
        // The own entry is stored on creation and never removed.
        &self.groups[group_of(&self.own_id)][&self.own_id].entry
    }

    /// Changes the entry of this host, which makes a new version of it.
    pub fn change_own(&mut self, now: Instant, change: impl FnOnce(&mut Entry)) {
        let mut own = self.own().clone();
        change(&mut own);
        own.version += 1;
        self.store(own, now);
    }

    /// Returns the entry of a host.
    pub fn get(&self, id: &str) -> Option<&Entry> {
        self.groups[group_of(id)].get(id).map(|known| &known.entry)
    }

    /// Takes an entry that a peer sent.
    pub fn merge(&mut self, entry: Entry, now: Instant) -> Merged {
        if entry.member.id == self.own_id {
            return self.merge_own(&entry, now);
        }
        let is_news = match self.get(&entry.member.id) {
            Some(held) => entry.is_newer_than(held),
            None => entry.standing != Standing::Left && !self.is_buried(&entry),
        };
        if !is_news {
            return Merged::Known;
        }
        self.store(entry, now);
        Merged::News
    }

    /// Contradicts what peers wrongly believe of this host.
    fn merge_own(&mut self, entry: &Entry, now: Instant) -> Merged {
        let own = self.own();
        if !entry.is_newer_than(own) || own.standing == Standing::Left {
            return Merged::Known;
        }
        let (incarnation, version) = (entry.incarnation, entry.version);
        self.change_own(now, |own| {
            // A former process of this name may have had a faster clock.
            own.incarnation = incarnation;
            own.version = version;
        });
        Merged::Refuted
    }

    /// Suspects a host that gave no answer; returns whether that is news.
    pub fn suspect(&mut self, id: &str, now: Instant) -> bool {
        let Some(entry) = self.get(id) else {
            return false;
        };
        if id == self.own_id || entry.standing != Standing::Alive {
            return false;
        }
        let entry = Entry {
            standing: Standing::Suspect,
            ..entry.clone()
        };
        self.store(entry, now);
        true
    }

    /// Notes that a host has at least `revision` in force; returns whether that is news.
    pub fn note_revision(&mut self, id: &str, revision: Revision) -> bool {
        match self.groups[group_of(id)].get_mut(id) {
            Some(known) if known.revision < revision => {
                known.revision = revision;
                true
            }
            _ => false,
        }
    }

    /// Returns the highest revision known.
    pub fn top_revision(&self) -> Revision {
        self.known().map(|known| known.revision).max().unwrap_or(0)
    }

    /// Returns how far `revision` has come among the members.
    pub fn progress(&self, revision: Revision, now: Instant) -> Progress {
        let mut progress = Progress {
            in_force: 0,
            members: 0,
            lagging: Vec::new(),
        };
        for known in self.known().filter(|known| known.is_member(now)) {
            progress.members += 1;
            if known.revision >= revision {
                progress.in_force += 1;
            } else {
                progress.lagging.push(known.entry.member.id.clone());
            }
        }
        progress
    }

    /// Returns the report of a group, or `None` if there is no such group.
    pub fn report(&self, group: GroupId, revision: Revision) -> Option<GroupReport> {
        let hosts = self.groups.get(usize::from(group))?;
        let mut bits: Vec<_> = hosts.values().map(|k| k.revision >= revision).collect();
        bits.resize(bits.len().next_multiple_of(HOSTS_PER_DIGIT), false);
        Some(GroupReport {
            group,
            fingerprint: fingerprint(hosts),
            has_revision: bits,
        })
    }

    /// Takes a peer's report; returns `None` if the fingerprints differ, else
    /// whether the report was news.
    pub fn merge_report(&mut self, report: &GroupReport, revision: Revision) -> Option<bool> {
        let hosts = self.groups.get_mut(usize::from(report.group))?;
        let bits = hosts.len().next_multiple_of(HOSTS_PER_DIGIT);
        if fingerprint(hosts) != report.fingerprint || bits != report.has_revision.len() {
            return None;
        }
        let mut is_news = false;
        for (known, has_revision) in hosts.values_mut().zip(&report.has_revision) {
            if *has_revision && known.revision < revision {
                known.revision = revision;
                is_news = true;
            }
        }
        Some(is_news)
    }

    /// Returns the entries of a group.
    pub fn group(&self, group: GroupId) -> impl Iterator<Item = &Entry> {
        let hosts = self.groups.get(usize::from(group)).into_iter().flatten();
        hosts.map(|(_, known)| &known.entry)
    }

    /// Returns every entry.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.known().map(|known| &known.entry)
    }

    /// Returns the hosts that take work: neither lost, nor leaving, nor draining.
    pub fn members(&self, now: Instant) -> Vec<Member> {
        self.known()
            .filter(|known| known.is_member(now) && !known.entry.is_draining)
            .map(|known| known.entry.member.clone())
            .collect()
    }

    /// Returns whether a host is a member: alive, or suspected and still able to refute.
    pub fn is_member(&self, id: &str, now: Instant) -> bool {
        let known = self.groups[group_of(id)].get(id);
        known.is_some_and(|known| known.is_member(now))
    }

    /// Forgets hosts that left or were lost long ago.
    pub fn evict(&mut self, now: Instant) {
        for hosts in &mut self.groups {
            hosts.retain(|id, known| {
                let is_kept = *id == self.own_id || !known.is_over(now);
                if !is_kept {
                    let tombstone = Tombstone {
                        incarnation: known.entry.incarnation,
                        until: now + TOMBSTONE_RETENTION,
                    };
                    self.tombstones.insert(id.clone(), tombstone);
                }
                is_kept
            });
        }
        self.tombstones.retain(|_, tombstone| tombstone.until > now);
        while self.tombstones.len() > MAX_TOMBSTONES {
            self.drop_oldest_tombstone();
        }
    }

    fn drop_oldest_tombstone(&mut self) {
        let oldest = self.tombstones.iter().min_by_key(|(_, t)| t.until);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.tombstones.remove(&id);
        }
    }

    fn is_buried(&self, entry: &Entry) -> bool {
        let tombstone = self.tombstones.get(&entry.member.id);
        tombstone.is_some_and(|tombstone| entry.incarnation <= tombstone.incarnation)
    }

    fn known(&self) -> impl Iterator<Item = &Known> {
        self.groups.iter().flat_map(BTreeMap::values)
    }

    fn store(&mut self, entry: Entry, now: Instant) {
        let hosts = &mut self.groups[group_of(&entry.member.id)];
        let held = hosts.get(&entry.member.id);
        let is_same_process = held.is_some_and(|k| k.entry.incarnation == entry.incarnation);
        let is_own = entry.member.id == self.own_id;
        let revision = match held {
            // A restarted host begins without a configuration.
            Some(known) if is_same_process || is_own => known.revision,
            _ => 0,
        };
        let stamp = stamp_of(&entry);
        let known = Known {
            entry,
            revision,
            since: now,
            stamp,
        };
        hosts.insert(known.entry.member.id.clone(), known);
    }
}

impl Known {
    fn is_member(&self, now: Instant) -> bool {
        match self.entry.standing {
            Standing::Alive => true,
            Standing::Suspect => now < self.since + SUSPECT_TIMEOUT,
            Standing::Left => false,
        }
    }

    fn is_over(&self, now: Instant) -> bool {
        match self.entry.standing {
            Standing::Alive => false,
            Standing::Suspect => now >= self.since + LOST_RETENTION,
            Standing::Left => now >= self.since + LEFT_RETENTION,
        }
    }
}

/// Returns the position of the group of a host.
pub(crate) fn group_of(id: &str) -> usize {
    xxh3_64(id.as_bytes()) as usize % GROUPS
}

fn stamp_of(entry: &Entry) -> u64 {
    let seed = xxh3_64(entry.member.id.as_bytes());
    let mut bytes = [0; 17];
    bytes[..8].copy_from_slice(&entry.incarnation.to_le_bytes());
    bytes[8..16].copy_from_slice(&entry.version.to_le_bytes());
    bytes[16] = entry.standing as u8;
    xxh3_64_with_seed(&bytes, seed)
}

fn fingerprint(hosts: &BTreeMap<HostId, Known>) -> u32 {
    let sum = hosts.values().fold(0, |sum, known| sum ^ known.stamp);
    (sum ^ (sum >> 32)) as u32
}
