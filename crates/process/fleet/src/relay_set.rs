//! The hosts that hold connections to the servers of a service.
//!
//! The set is computed from what each host knows of the fleet, so two hosts
//! may disagree for a while. It is therefore a hint, never a promise: whoever
//! is asked serves, and connections over the limit are refused by upstreams.

use {
    crate::Member,
    record::{HostId, RegionId, ZoneId},
    std::{
        cmp::Reverse,
        collections::{HashMap, HashSet},
    },
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Share of a server's connections, in percent, that stays free for hosts that
/// take over while their predecessors still hold theirs.
const HEADROOM_PERCENT: u32 = 20;
/// Least number of connections to each server that a relay is worth having for.
const MIN_CONNECTIONS_PER_RELAY: u32 = 2;

/// What bounds the number of relays of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayLimits {
    /// Number that the service's record names.
    pub record: Option<u32>,
    /// Number that the settings name; `None` means every host.
    pub settings: Option<usize>,
    /// Number of connections that each server accepts.
    pub connection_limit: u32,
}

/// Returns the number of relays of a service among `members` hosts.
///
/// The record goes before the settings, and neither may exceed what the
/// connection limit of the servers allows.
///
/// # Examples
///
/// ```
/// use fleet::{relay_count, RelayLimits};
///
/// let limits = RelayLimits { record: None, settings: Some(2), connection_limit: 25 };
/// assert_eq!(relay_count(limits, 8), 2);
/// assert_eq!(relay_count(RelayLimits { settings: None, ..limits }, 1_300), 10);
/// ```
pub fn relay_count(limits: RelayLimits, members: usize) -> usize {
    let wanted = limits.record.map(|relays| relays as usize);
    let wanted = wanted.or(limits.settings).unwrap_or(members);
    let most = usable_connections(limits.connection_limit) / MIN_CONNECTIONS_PER_RELAY;
    wanted.min(most as usize).max(1).min(members)
}

fn usable_connections(connection_limit: u32) -> u32 {
    let usable = u64::from(connection_limit) * u64::from(100 - HEADROOM_PERCENT) / 100;
    u32::try_from(usable).unwrap_or(u32::MAX).max(1)
}

/// Returns the members in regions where a service has servers, or all members
/// if it has none in a region of the fleet.
pub fn eligible(members: &[Member], server_zones: &HashSet<ZoneId>) -> Vec<Member> {
    let regions: HashSet<&RegionId> = members
        .iter()
        .filter(|member| server_zones.contains(&member.zone))
        .map(|member| &member.region)
        .collect();
    let is_eligible = |m: &&Member| regions.is_empty() || regions.contains(&m.region);
    members.iter().filter(is_eligible).cloned().collect()
}

/// Returns the relays of `service`: the `count` members with the highest
/// rendezvous weight, spread over availability zones as far as they go.
///
/// A member's place within its zone counts before its weight, so that no zone
/// gets a second relay while another has none.
pub fn relay_set<'a>(service: &str, members: &'a [Member], count: usize) -> Vec<&'a Member> {
    let mut ranked = by_weight(service, members);
    let mut seen_in_zone: HashMap<&ZoneId, usize> = HashMap::new();
    for candidate in &mut ranked {
        let seen = seen_in_zone.entry(&candidate.member.zone).or_default();
        candidate.place_in_zone = *seen;
        *seen += 1;
    }
    // The sort is stable, so weight decides within a place.
    ranked.sort_by_key(|candidate| candidate.place_in_zone);
    ranked.truncate(count);
    ranked.into_iter().map(|c| c.member).collect()
}

struct Candidate<'a> {
    member: &'a Member,
    weight: u64,
    place_in_zone: usize,
}

impl<'a> Candidate<'a> {
    fn order(&self) -> Reverse<(u64, &'a HostId)> {
        Reverse((self.weight, &self.member.id))
    }
}

fn by_weight<'a>(service: &str, members: &'a [Member]) -> Vec<Candidate<'a>> {
    let seed = xxh3_64(service.as_bytes());
    let weighed = members.iter().map(|member| Candidate {
        member,
        weight: xxh3_64_with_seed(member.id.as_bytes(), seed),
        place_in_zone: 0,
    });
    let mut ranked: Vec<_> = weighed.collect();
    ranked.sort_unstable_by(|a, b| a.order().cmp(&b.order()));
    ranked
}
