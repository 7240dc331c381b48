//! Selects the relays of a service: the hosts that hold connections to its servers.
//!
//! Each host computes the set from its own membership view, so two hosts may
//! temporarily disagree. The set is therefore only a hint: any host serves the
//! queries that it receives, and upstreams refuse connections over their limit.

use {
    crate::Member,
    record::{HostId, RegionId, ZoneId},
    std::{
        cmp::Reverse,
        collections::{HashMap, HashSet},
    },
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Share of a server's connections, in percent, that is reserved for new relays
/// while the previous ones still hold their connections.
const HEADROOM_PERCENT: u32 = 20;
/// Minimum number of connections to each server that justifies a relay.
const MIN_CONNECTIONS_PER_RELAY: u32 = 2;

/// Limits on the number of relays of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayLimits {
    /// Number in the service's record.
    pub record: Option<u32>,
    /// Number in the settings; `None` means every host.
    pub settings: Option<usize>,
    /// Number of connections that each server accepts.
    pub connection_limit: u32,
}

/// Returns the number of relays of a service among `members` hosts.
///
/// The record takes precedence over the settings, and the connection limit of
/// the servers bounds both.
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
    let requested = limits.record.map(|relays| relays as usize);
    let requested = requested.or(limits.settings).unwrap_or(members);
    let max_relays = usable_connections(limits.connection_limit) / MIN_CONNECTIONS_PER_RELAY;
    requested.min(max_relays as usize).max(1).min(members)
}

fn usable_connections(connection_limit: u32) -> u32 {
    let usable = u64::from(connection_limit) * u64::from(100 - HEADROOM_PERCENT) / 100;
    u32::try_from(usable).unwrap_or(u32::MAX).max(1)
}

/// Returns the members in regions where a service has servers, or all members
/// if no member is in such a region.
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
/// rendezvous weight, spread evenly over availability zones.
///
/// Members are sorted by their position within their zone before their weight,
/// so that no zone gets a second relay while another has none.
pub fn relay_set<'a>(service: &str, members: &'a [Member], count: usize) -> Vec<&'a Member> {
    let mut ranked = ranked_by_weight(service, members);
    let mut counts_by_zone: HashMap<&ZoneId, usize> = HashMap::new();
    for candidate in &mut ranked {
        let count_in_zone = counts_by_zone.entry(&candidate.member.zone).or_default();
        candidate.position_in_zone = *count_in_zone;
        *count_in_zone += 1;
    }
    // The sort is stable, so members at the same position stay ordered by weight.
    ranked.sort_by_key(|candidate| candidate.position_in_zone);
    ranked.truncate(count);
    ranked.into_iter().map(|c| c.member).collect()
}

/// Returns the `count` members with the highest rendezvous weight for `key`, in any
/// zone.
///
/// A member that is among them stays so if others leave, which does not hold for
/// [`relay_set`].
pub fn place_holders<'a>(key: &str, members: &'a [Member], count: usize) -> Vec<&'a Member> {
    let mut ranked = ranked_by_weight(key, members);
    ranked.truncate(count);
    ranked.into_iter().map(|c| c.member).collect()
}

struct Candidate<'a> {
    member: &'a Member,
    weight: u64,
    position_in_zone: usize,
}

impl<'a> Candidate<'a> {
    fn sort_key(&self) -> Reverse<(u64, &'a HostId)> {
        Reverse((self.weight, &self.member.id))
    }
}

fn ranked_by_weight<'a>(service: &str, members: &'a [Member]) -> Vec<Candidate<'a>> {
    let seed = xxh3_64(service.as_bytes());
    let candidates = members.iter().map(|member| Candidate {
        member,
        weight: xxh3_64_with_seed(member.id.as_bytes(), seed),
        position_in_zone: 0,
    });
    let mut ranked: Vec<_> = candidates.collect();
    ranked.sort_unstable_by(|a, b| a.sort_key().cmp(&b.sort_key()));
    ranked
}
