//! Messages of the exchange between two hosts, and their wire format.
//!
//! Field names on the wire are short because exchanges are frequent and limited
//! by a byte budget. Fields added later need a default and unknown fields are
//! ignored, so that hosts of two successive releases can talk to each other.

use {
    crate::{
        Entry, EntryVersion, Fact, FactKey, GroupId, GroupReport, Incarnation, Liveness, Member,
    },
    record::{HostId, RegionId, Revision, ZoneId},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// A request or an answer of an exchange.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    /// Membership entry of the sender.
    pub sender: Entry,
    /// Revision that the sender has in force.
    pub revision: Revision,
    /// Revision that the reports refer to.
    pub reported_revision: Revision,
    /// Whether the sender has just started and requests whole groups.
    pub is_joining: bool,
    /// Membership entries.
    pub entries: Vec<Entry>,
    /// Groups whose entries are all included.
    pub whole_groups: Vec<GroupId>,
    /// Facts that the sender shares.
    pub facts: Vec<Fact>,
    /// Fingerprint of all facts stored on the sender.
    pub facts_fingerprint: u32,
    /// Reports on groups of hosts.
    pub reports: Vec<GroupReport>,
    /// Positions of the facts and entries of the request, counted facts first,
    /// that the sender of the answer already knew.
    pub known: Vec<u16>,
}

/// An entry on the wire.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WireEntry {
    #[serde(rename = "i")]
    id: HostId,
    #[serde(rename = "a")]
    peer_addr: SocketAddr,
    #[serde(rename = "g")]
    region: RegionId,
    #[serde(rename = "z")]
    zone: ZoneId,
    #[serde(rename = "n")]
    incarnation: Incarnation,
    #[serde(rename = "v", default, skip_serializing_if = "is_zero")]
    version: EntryVersion,
    #[serde(rename = "s", default, skip_serializing_if = "is_zero")]
    standing: u64,
    #[serde(rename = "d", default, skip_serializing_if = "is_false")]
    is_draining: bool,
}

/// A fact on the wire.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WireFact {
    #[serde(rename = "t")]
    topic: String,
    #[serde(rename = "k")]
    subject: String,
    #[serde(rename = "v", default)]
    value: String,
    #[serde(rename = "s", default)]
    stamp: u64,
    #[serde(rename = "l")]
    time_left_ms: u64,
}

/// A group report on the wire: in hexadecimal, two digits for the group number,
/// eight for its fingerprint, and one for every four of its hosts.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(transparent)]
pub struct WireReport(String);

/// A request or an answer of an exchange on the wire.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WireMessage {
    /// Protocol version of the sender.
    #[serde(rename = "p")]
    pub protocol_version: u32,
    #[serde(rename = "m")]
    sender: WireEntry,
    #[serde(rename = "r", default, skip_serializing_if = "is_zero")]
    revision: Revision,
    #[serde(rename = "q", default, skip_serializing_if = "is_zero")]
    reported_revision: Revision,
    #[serde(rename = "j", default, skip_serializing_if = "is_false")]
    is_joining: bool,
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    entries: Vec<WireEntry>,
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    whole_groups: Vec<GroupId>,
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    facts: Vec<WireFact>,
    #[serde(rename = "x", default)]
    facts_fingerprint: u32,
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    reports: Vec<WireReport>,
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    known: Vec<u16>,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

fn is_false(flag: &bool) -> bool {
    !flag
}

impl From<Entry> for WireEntry {
    fn from(entry: Entry) -> Self {
        Self {
            id: entry.member.id,
            peer_addr: entry.member.peer_addr,
            region: entry.member.region,
            zone: entry.member.zone,
            incarnation: entry.incarnation,
            version: entry.version,
            standing: match entry.standing {
                Liveness::Alive => 0,
                Liveness::Suspect => 1,
                Liveness::Left => 2,
            },
            is_draining: entry.is_draining,
        }
    }
}

impl From<WireEntry> for Entry {
    fn from(wire: WireEntry) -> Self {
        Self {
            member: Member {
                id: wire.id,
                peer_addr: wire.peer_addr,
                region: wire.region,
                zone: wire.zone,
            },
            incarnation: wire.incarnation,
            version: wire.version,
            standing: match wire.standing {
                0 => Liveness::Alive,
                2 => Liveness::Left,
                // A standing added by a newer release is treated as neither alive nor final.
                _ => Liveness::Suspect,
            },
            is_draining: wire.is_draining,
        }
    }
}

impl From<Fact> for WireFact {
    fn from(fact: Fact) -> Self {
        Self {
            topic: fact.key.topic,
            subject: fact.key.subject,
            value: fact.value,
            stamp: fact.stamp,
            time_left_ms: u64::try_from(fact.time_left.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl From<WireFact> for Fact {
    fn from(wire: WireFact) -> Self {
        Self {
            key: FactKey {
                topic: wire.topic,
                subject: wire.subject,
            },
            value: wire.value,
            stamp: wire.stamp,
            time_left: Duration::from_millis(wire.time_left_ms),
        }
    }
}

impl From<GroupReport> for WireReport {
    fn from(report: GroupReport) -> Self {
        let digit = |bits: &[bool]| {
            let bits = bits.iter().enumerate();
            let value = bits.fold(0, |sum, (i, bit)| sum | (u32::from(*bit) << i));
            char::from_digit(value, 16).unwrap_or('0')
        };
        let bits: String = report.has_revision.chunks(4).map(digit).collect();
        Self(format!(
            "{:02x}{:08x}{bits}",
            report.group, report.fingerprint
        ))
    }
}

impl TryFrom<WireReport> for GroupReport {
    type Error = MalformedReport;

    fn try_from(wire: WireReport) -> Result<Self, Self::Error> {
        let text = wire.0;
        let group = text.get(..2).and_then(|t| u8::from_str_radix(t, 16).ok());
        let fingerprint = text
            .get(2..10)
            .and_then(|t| u32::from_str_radix(t, 16).ok());
        let digits = text.chars().skip(10).map(|c| c.to_digit(16).unwrap_or(0));
        let bits = digits.flat_map(|digit| (0..4).map(move |i| digit >> i & 1 == 1));
        Ok(Self {
            group: group.ok_or(MalformedReport)?,
            fingerprint: fingerprint.ok_or(MalformedReport)?,
            has_revision: bits.collect(),
        })
    }
}

/// The error for a group report without a valid group number or fingerprint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MalformedReport;

impl From<Message> for WireMessage {
    fn from(message: Message) -> Self {
        Self {
            protocol_version: crate::PROTOCOL_VERSION,
            sender: message.sender.into(),
            revision: message.revision,
            reported_revision: message.reported_revision,
            is_joining: message.is_joining,
            entries: message.entries.into_iter().map(Into::into).collect(),
            whole_groups: message.whole_groups,
            facts: message.facts.into_iter().map(Into::into).collect(),
            facts_fingerprint: message.facts_fingerprint,
            reports: message.reports.into_iter().map(Into::into).collect(),
            known: message.known,
        }
    }
}

impl From<WireMessage> for Message {
    fn from(wire: WireMessage) -> Self {
        Self {
            sender: wire.sender.into(),
            revision: wire.revision,
            reported_revision: wire.reported_revision,
            is_joining: wire.is_joining,
            entries: wire.entries.into_iter().map(Into::into).collect(),
            whole_groups: wire.whole_groups,
            facts: wire.facts.into_iter().map(Into::into).collect(),
            facts_fingerprint: wire.facts_fingerprint,
            // Malformed reports are skipped; later messages report the group again.
            reports: wire
                .reports
                .into_iter()
                .flat_map(TryInto::try_into)
                .collect(),
            known: wire.known,
        }
    }
}
