//! Selects the host that reads the platform's store, and the hosts that each
//! other host asks.
//!
//! Every call to the store is billed, its rate limits do not grow with the
//! number of hosts, and servers write to it continuously, which costs traffic
//! between regions. One host therefore reads, one host in each other region
//! asks it, and the remaining hosts ask the one in their region. The order is
//! computed like a relay set and hosts may disagree on it: a host answers with
//! its current state and the age of that state, and a host that has no other
//! to ask reads the store itself.

use {
    crate::{relay_set, Member},
    std::{collections::BTreeMap, time::Duration},
};

/// Key of the rendezvous hash that orders the readers.
const ORDER_KEY: &str = "reader";
/// Hosts of the own region that are asked before those of other regions, so
/// that two can fail at the same time.
const LOCAL_CANDIDATES: usize = 3;

/// Minimum age of others' state before a host looks for a newer source.
const MIN_STALENESS_LIMIT: Duration = Duration::from_millis(1_000);
/// Additional time for each host that precedes it in the order, so that one
/// host takes over rather than all of them at once.
const STALENESS_LIMIT_STEP: Duration = Duration::from_millis(350);
/// Upper bound of the maximum staleness. A draining server keeps serving for at least 3 s after the
/// store records the drain, and hosts must learn of it within that time.
const MAX_STALENESS_LIMIT: Duration = Duration::from_millis(2_700);

/// How a host obtains the state of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreSource<'a> {
    /// Hosts to ask, in order; if empty, the host reads the store itself.
    pub candidates: Vec<&'a Member>,
    /// Age of the others' state from which the host tries the next source.
    pub max_staleness: Duration,
}

/// Returns how `own` obtains the state of the store, given the `readers` that
/// may read for others.
///
/// The first reader of all asks no other host. A host that cannot use the
/// store, `is_store_unavailable`, also asks the hosts that follow it in the order.
pub fn store_source<'a>(
    own: &Member,
    readers: &'a [Member],
    is_store_unavailable: bool,
) -> StoreSource<'a> {
    let region_readers = region_readers(readers);
    let local = local_readers(own, readers);
    let local_position = local.iter().position(|member| member.id == own.id);
    let rank = match local_position {
        Some(0) => region_readers.iter().position(|member| member.id == own.id),
        Some(position) => Some(region_readers.len() + position - 1),
        None => None,
    };
    let is_first = local_position == Some(0);
    let remote = region_readers
        .into_iter()
        .filter(|member| member.region != own.region || is_first);
    let local = local.into_iter();
    let candidates = if is_store_unavailable {
        deduplicate_without(&own.id, local.chain(remote).collect())
    } else if is_first {
        remote.take_while(|member| member.id != own.id).collect()
    } else {
        local
            .take_while(|member| member.id != own.id)
            .chain(remote)
            .collect()
    };
    StoreSource {
        candidates,
        max_staleness: max_staleness(rank),
    }
}

fn max_staleness(rank: Option<usize>) -> Duration {
    let steps = rank.map_or(u32::MAX, |rank| u32::try_from(rank).unwrap_or(u32::MAX));
    let additional = STALENESS_LIMIT_STEP.saturating_mul(steps);
    MIN_STALENESS_LIMIT
        .saturating_add(additional)
        .min(MAX_STALENESS_LIMIT)
}

fn local_readers<'a>(own: &Member, members: &'a [Member]) -> Vec<&'a Member> {
    let local: Vec<Member> = members
        .iter()
        .filter(|member| member.region == own.region)
        .cloned()
        .collect();
    relay_set(ORDER_KEY, &local, LOCAL_CANDIDATES)
        .into_iter()
        .filter_map(|member| members.iter().find(|other| other.id == member.id))
        .collect()
}

fn deduplicate_without<'a>(own_id: &str, members: Vec<&'a Member>) -> Vec<&'a Member> {
    let mut remaining: Vec<&Member> = Vec::with_capacity(members.len());
    for member in members {
        if member.id != own_id && !remaining.iter().any(|other| other.id == member.id) {
            remaining.push(member);
        }
    }
    remaining
}

/// Returns the first reader of each region, in rendezvous order.
fn region_readers(members: &[Member]) -> Vec<&Member> {
    let mut by_region: BTreeMap<&str, Vec<Member>> = BTreeMap::new();
    for member in members {
        let region_members = by_region.entry(&member.region).or_default();
        region_members.push(member.clone());
    }
    let region_readers: Vec<Member> = by_region
        .into_values()
        .filter_map(|region_members| {
            relay_set(ORDER_KEY, &region_members, 1)
                .first()
                .map(|m| (*m).clone())
        })
        .collect();
    relay_set(ORDER_KEY, &region_readers, region_readers.len())
        .into_iter()
        .filter_map(|member| members.iter().find(|other| other.id == member.id))
        .collect()
}
