//! Hosts of the tier as this host knows them.

use {
    record::{HostId, RegionId, ZoneId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Start of a host's process; a host that restarts has a higher one.
pub type Incarnation = u64;
/// Number of changes that a host has made to its own entry since its start.
pub type EntryVersion = u64;

/// One host of the tier.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of the host.
    pub id: HostId,
    /// Address on which the host takes calls of its peers.
    pub peer_addr: SocketAddr,
    /// Region.
    pub region: RegionId,
    /// Availability zone.
    pub zone: ZoneId,
}

/// What the fleet thinks of a host.
///
/// The order matters: of two entries of the same incarnation and version the
/// worse standing wins, and only the host itself can raise its version.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Standing {
    /// The host answers.
    Alive,
    /// A peer got no answer from the host, which may still refute that.
    Suspect,
    /// The host has said that it is leaving for good.
    Left,
}

/// What hosts tell each other of one host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The host.
    pub member: Member,
    /// Start of its process.
    pub incarnation: Incarnation,
    /// Version of this entry within the incarnation.
    pub version: EntryVersion,
    /// Standing.
    pub standing: Standing,
    /// Whether the host takes no new work.
    pub is_draining: bool,
}

impl Entry {
    /// Creates the first entry of a host that has just started.
    pub fn new(member: Member, incarnation: Incarnation) -> Self {
        Self {
            member,
            incarnation,
            version: 0,
            standing: Standing::Alive,
            is_draining: false,
        }
    }

    /// Returns whether this entry replaces `other`, an entry of the same host.
    ///
    /// # Examples
    ///
    /// ```
    /// use fleet::{Entry, Member, Standing};
    ///
    /// let member = Member {
    ///     id: "host-1".to_owned(),
    ///     peer_addr: "10.0.0.1:7001".parse().unwrap(),
    ///     region: "north".to_owned(),
    ///     zone: "north-a".to_owned(),
    /// };
    /// let alive = Entry::new(member.clone(), 7);
    /// let suspect = Entry { standing: Standing::Suspect, ..alive.clone() };
    /// assert!(suspect.is_newer_than(&alive));
    /// assert!(Entry::new(member, 8).is_newer_than(&suspect));
    /// ```
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.order() > other.order()
    }

    fn order(&self) -> (Incarnation, EntryVersion, Standing) {
        (self.incarnation, self.version, self.standing)
    }
}
