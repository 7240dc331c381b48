//! Membership entries: the identity and state of each host.

use {
    record::{HostId, RegionId, ZoneId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Start time of a host's process; higher after each restart.
pub type Incarnation = u64;
/// Number of changes that a host has made to its own entry since its start.
pub type EntryVersion = u64;

/// One host of the tier.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of the host.
    pub id: HostId,
    /// Address on which the host accepts calls from its peers.
    pub peer_addr: SocketAddr,
    /// Region in which the host runs.
    pub region: RegionId,
    /// Availability zone in which the host runs.
    pub zone: ZoneId,
}

/// Liveness of a host as its peers see it.
///
/// The order of the variants matters: of two entries with the same incarnation
/// and version the later variant wins. Only the host itself can raise the
/// version of its entry.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Liveness {
    /// The host responds to its peers.
    Alive,
    /// A peer got no response from the host, which may still refute the suspicion.
    Suspect,
    /// The host has announced its departure.
    Left,
}

/// State of one host as hosts gossip it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The host.
    pub member: Member,
    /// Start time of its process.
    pub incarnation: Incarnation,
    /// Version of this entry within the incarnation.
    pub version: EntryVersion,
    /// Liveness of the host.
    pub standing: Liveness,
    /// Whether the host rejects new requests.
    pub is_draining: bool,
}

impl Entry {
    /// Creates the first entry of a host that has just started.
    pub fn new(member: Member, incarnation: Incarnation) -> Self {
        Self {
            member,
            incarnation,
            version: 0,
            standing: Liveness::Alive,
            is_draining: false,
        }
    }

    /// Returns whether this entry replaces `other`, an entry of the same host.
    ///
    /// # Examples
    ///
    /// ```
    /// use fleet::{Entry, Liveness, Member};
    ///
    /// let member = Member {
    ///     id: "host-1".to_owned(),
    ///     peer_addr: "10.0.0.1:7001".parse().unwrap(),
    ///     region: "north".to_owned(),
    ///     zone: "north-a".to_owned(),
    /// };
    /// let alive = Entry::new(member.clone(), 7);
    /// let suspect = Entry { standing: Liveness::Suspect, ..alive.clone() };
    /// assert!(suspect.is_newer_than(&alive));
    /// assert!(Entry::new(member, 8).is_newer_than(&suspect));
    /// ```
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.order() > other.order()
    }

    fn order(&self) -> (Incarnation, EntryVersion, Liveness) {
        (self.incarnation, self.version, self.standing)
    }
}
