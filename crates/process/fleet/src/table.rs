//! The membership table: the hosts known to one host, and their state.
//!
//! Changed entries spread by gossip, and an anti-entropy comparison repairs
//! what gossip missed: hosts are assigned to a fixed number of groups by the
//! hash of their name, and two peers compare one fingerprint for each group.
//! If the fingerprints match, both sides list the group in the same order, so
//! one bit for each host states whether it has a revision in force.

use {
    crate::{Entry, Incarnation, Liveness, Member},
    record::{HostId, Revision},
    std::{
        collections::{BTreeMap, HashMap},
        time::{Duration, Instant},
    },
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Number of groups to which hosts are assigned.
pub const GROUPS: usize = 32;
/// Time within which a suspected host can refute the suspicion.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_secs(6);
/// Time after which a host that left is removed from the table.
pub const LEFT_RETENTION: Duration = Duration::from_secs(60);
/// Time after which a lost host is removed; longer than a network partition of a region lasts.
pub const LOST_RETENTION: Duration = Duration::from_secs(1_800);
/// Time for which an old entry cannot restore a removed host.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(86_400);
/// Maximum number of tombstones.
const MAX_TOMBSTONES: usize = 16_384;

/// Number of hosts whose bits share one hexadecimal digit on the wire.
const HOSTS_PER_DIGIT: usize = 4;

/// Number of a group.
pub type GroupId = u8;

/// A host's report on a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupReport {
    /// Number of the group.
    pub group: GroupId,
    /// Fingerprint of the entries of the group.
    pub fingerprint: u32,
    /// For each host of the group, whether it has the stated revision in force;
    /// padded to a multiple of four.
    pub has_revision: Vec<bool>,
}

/// Result of merging an entry that a peer sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// The entry was newer and has been stored.
    Applied,
    /// The entry was not newer than the stored one.
    AlreadyKnown,
    /// The entry concerned this host and was wrong, so this host's entry has a
    /// new version.
    Refuted,
}

/// How many members have a revision in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Progress {
    /// Number of members that have the revision in force.
    pub in_force: usize,
    /// Number of members.
    pub members: usize,
    /// Members that do not have the revision in force yet.
    pub lagging: Vec<HostId>,
}

#[derive(Debug)]
struct KnownHost {
    entry: Entry,
    revision: Revision,
    updated_at: Instant,
    hash: u64,
}

#[derive(Clone, Copy, Debug)]
struct Tombstone {
    incarnation: Incarnation,
    expires_at: Instant,
}

/// The hosts known to this host, including itself.
#[derive(Debug)]
pub struct Table {
    own_id: HostId,
    groups: Vec<BTreeMap<HostId, KnownHost>>,
    tombstones: HashMap<HostId, Tombstone>,
}

impl Table {
    /// Creates a table that contains only this host.
    pub fn new(own: Entry, now: Instant) -> Self {
        let mut table = Self {
            own_id: own.member.id.clone(),
            groups: (0..GROUPS).map(|_| BTreeMap::new()).collect(),
            tombstones: HashMap::new(),
        };
        table.insert(own, now);
        table
    }

    /// Returns the entry of this host.
    pub fn own(&self) -> &Entry {
        // The own entry is inserted on creation and never removed.
        &self.groups[group_of(&self.own_id)][&self.own_id].entry
    }

    /// Changes the entry of this host and increments its version.
    pub fn change_own(&mut self, now: Instant, change: impl FnOnce(&mut Entry)) {
        let mut own = self.own().clone();
        change(&mut own);
        own.version += 1;
        self.insert(own, now);
    }

    /// Returns the entry of a host.
    pub fn get(&self, id: &str) -> Option<&Entry> {
        self.groups[group_of(id)].get(id).map(|host| &host.entry)
    }

    /// Merges an entry that a peer sent.
    pub fn merge(&mut self, entry: Entry, now: Instant) -> MergeOutcome {
        if entry.member.id == self.own_id {
            return self.merge_own(&entry, now);
        }
        let is_newer = match self.get(&entry.member.id) {
            Some(stored) => entry.is_newer_than(stored),
            None => entry.standing != Liveness::Left && !self.is_superseded_by_tombstone(&entry),
        };
        if !is_newer {
            return MergeOutcome::AlreadyKnown;
        }
        self.insert(entry, now);
        MergeOutcome::Applied
    }

    /// Refutes a wrong entry that peers have for this host.
    fn merge_own(&mut self, entry: &Entry, now: Instant) -> MergeOutcome {
        let own = self.own();
        if !entry.is_newer_than(own) || own.standing == Liveness::Left {
            return MergeOutcome::AlreadyKnown;
        }
        let (incarnation, version) = (entry.incarnation, entry.version);
        self.change_own(now, |own| {
            // A previous process of this name may have had a faster clock.
            own.incarnation = incarnation;
            own.version = version;
        });
        MergeOutcome::Refuted
    }

    /// Suspects a host that did not answer; returns whether its standing changed.
    pub fn suspect(&mut self, id: &str, now: Instant) -> bool {
        let Some(entry) = self.get(id) else {
            return false;
        };
        if id == self.own_id || entry.standing != Liveness::Alive {
            return false;
        }
        let entry = Entry {
            standing: Liveness::Suspect,
            ..entry.clone()
        };
        self.insert(entry, now);
        true
    }

    /// Records that a host has at least `revision` in force; returns whether its
    /// revision changed.
    pub fn note_revision(&mut self, id: &str, revision: Revision) -> bool {
        match self.groups[group_of(id)].get_mut(id) {
            Some(host) if host.revision < revision => {
                host.revision = revision;
                true
            }
            _ => false,
        }
    }

    /// Returns the highest revision that a known host has in force.
    pub fn max_revision(&self) -> Revision {
        self.hosts().map(|host| host.revision).max().unwrap_or(0)
    }

    /// Returns how many members have `revision` in force.
    pub fn progress(&self, revision: Revision, now: Instant) -> Progress {
        let mut progress = Progress {
            in_force: 0,
            members: 0,
            lagging: Vec::new(),
        };
        for host in self.hosts().filter(|host| host.is_member(now)) {
            progress.members += 1;
            if host.revision >= revision {
                progress.in_force += 1;
            } else {
                progress.lagging.push(host.entry.member.id.clone());
            }
        }
        progress
    }

    /// Returns the report of a group, or `None` if there is no such group.
    pub fn report(&self, group: GroupId, revision: Revision) -> Option<GroupReport> {
        let hosts = self.groups.get(usize::from(group))?;
        let mut bits: Vec<_> = hosts
            .values()
            .map(|host| host.revision >= revision)
            .collect();
        bits.resize(bits.len().next_multiple_of(HOSTS_PER_DIGIT), false);
        Some(GroupReport {
            group,
            fingerprint: fingerprint(hosts),
            has_revision: bits,
        })
    }

    /// Merges a peer's report; returns `None` if the fingerprints differ, else
    /// whether any revision changed.
    pub fn merge_report(&mut self, report: &GroupReport, revision: Revision) -> Option<bool> {
        let hosts = self.groups.get_mut(usize::from(report.group))?;
        let bits = hosts.len().next_multiple_of(HOSTS_PER_DIGIT);
        if fingerprint(hosts) != report.fingerprint || bits != report.has_revision.len() {
            return None;
        }
        let mut is_changed = false;
        for (host, has_revision) in hosts.values_mut().zip(&report.has_revision) {
            if *has_revision && host.revision < revision {
                host.revision = revision;
                is_changed = true;
            }
        }
        Some(is_changed)
    }

    /// Returns the entries of a group.
    pub fn group(&self, group: GroupId) -> impl Iterator<Item = &Entry> {
        let hosts = self.groups.get(usize::from(group)).into_iter().flatten();
        hosts.map(|(_, host)| &host.entry)
    }

    /// Returns all entries.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.hosts().map(|host| &host.entry)
    }

    /// Returns the hosts that accept requests: neither lost, nor departed, nor draining.
    pub fn members(&self, now: Instant) -> Vec<Member> {
        self.hosts()
            .filter(|host| host.is_member(now) && !host.entry.is_draining)
            .map(|host| host.entry.member.clone())
            .collect()
    }

    /// Returns whether a host is a member: alive, or suspected for less than
    /// [`SUSPECT_TIMEOUT`].
    pub fn is_member(&self, id: &str, now: Instant) -> bool {
        let host = self.groups[group_of(id)].get(id);
        host.is_some_and(|host| host.is_member(now))
    }

    /// Removes hosts that left or were lost longer ago than their retention time.
    pub fn remove_expired(&mut self, now: Instant) {
        for hosts in &mut self.groups {
            hosts.retain(|id, host| {
                let is_retained = *id == self.own_id || !host.is_expired(now);
                if !is_retained {
                    let tombstone = Tombstone {
                        incarnation: host.entry.incarnation,
                        expires_at: now + TOMBSTONE_RETENTION,
                    };
                    self.tombstones.insert(id.clone(), tombstone);
                }
                is_retained
            });
        }
        self.tombstones
            .retain(|_, tombstone| tombstone.expires_at > now);
        while self.tombstones.len() > MAX_TOMBSTONES {
            self.drop_oldest_tombstone();
        }
    }

    fn drop_oldest_tombstone(&mut self) {
        let oldest = self.tombstones.iter().min_by_key(|(_, t)| t.expires_at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.tombstones.remove(&id);
        }
    }

    fn is_superseded_by_tombstone(&self, entry: &Entry) -> bool {
        let tombstone = self.tombstones.get(&entry.member.id);
        tombstone.is_some_and(|tombstone| entry.incarnation <= tombstone.incarnation)
    }

    fn hosts(&self) -> impl Iterator<Item = &KnownHost> {
        self.groups.iter().flat_map(BTreeMap::values)
    }

    fn insert(&mut self, entry: Entry, now: Instant) {
        let hosts = &mut self.groups[group_of(&entry.member.id)];
        let stored = hosts.get(&entry.member.id);
        let is_same_process =
            stored.is_some_and(|host| host.entry.incarnation == entry.incarnation);
        let is_own = entry.member.id == self.own_id;
        let revision = match stored {
            // A restarted host starts without a configuration.
            Some(host) if is_same_process || is_own => host.revision,
            _ => 0,
        };
        let hash = entry_hash(&entry);
        let host = KnownHost {
            entry,
            revision,
            updated_at: now,
            hash,
        };
        hosts.insert(host.entry.member.id.clone(), host);
    }
}

impl KnownHost {
    fn is_member(&self, now: Instant) -> bool {
        match self.entry.standing {
            Liveness::Alive => true,
            Liveness::Suspect => now < self.updated_at + SUSPECT_TIMEOUT,
            Liveness::Left => false,
        }
    }

    fn is_expired(&self, now: Instant) -> bool {
        match self.entry.standing {
            Liveness::Alive => false,
            Liveness::Suspect => now >= self.updated_at + LOST_RETENTION,
            Liveness::Left => now >= self.updated_at + LEFT_RETENTION,
        }
    }
}

/// Returns the index of the group that a host is assigned to.
pub(crate) fn group_of(id: &str) -> usize {
    xxh3_64(id.as_bytes()) as usize % GROUPS
}

fn entry_hash(entry: &Entry) -> u64 {
    let seed = xxh3_64(entry.member.id.as_bytes());
    let mut bytes = [0; 17];
    bytes[..8].copy_from_slice(&entry.incarnation.to_le_bytes());
    bytes[8..16].copy_from_slice(&entry.version.to_le_bytes());
    bytes[16] = entry.standing as u8;
    xxh3_64_with_seed(&bytes, seed)
}

fn fingerprint(hosts: &BTreeMap<HostId, KnownHost>) -> u32 {
    let sum = hosts.values().fold(0, |sum, host| sum ^ host.hash);
    (sum ^ (sum >> 32)) as u32
}
