//! Selects the host that reads the platform's store, and the hosts that each
//! other host asks.
//!
//! Every call to the store is billed, its rate limits do not grow with the
//! number of hosts, and servers write to it continuously, which costs traffic
//! between regions. One host therefore reads, one host in each other region
//! asks it, and the remaining hosts of a region form a tree below its first
//! host, in which each host answers at most [`FAN_OUT`] others. The load of the
//! busiest host thus depends on the number of servers and not of hosts. The
//! order is computed like a relay set and hosts may disagree on it: a host
//! answers with its current state and the age of that state, and a host that
//! has no other to ask reads the store itself.

use {
    crate::{relay_set, ChangeBudget, Member},
    record::RegionId,
    std::{collections::BTreeMap, time::Duration},
};

/// Number of hosts of the own region that a host answers.
pub const FAN_OUT: usize = 8;

/// Key of the rendezvous hash that orders the hosts.
const ORDER_KEY: &str = "reader";
/// Hosts of the own region that are asked before those of other regions, so
/// that two can fail at the same time.
const LOCAL_CANDIDATES: usize = 3;

/// Minimum age of others' state before a host looks for a newer source.
const MIN_STALENESS_LIMIT: Duration = Duration::from_millis(1_000);
/// Additional time for each host that precedes it in the order, so that one
/// host takes over rather than all of them at once.
const STALENESS_LIMIT_STEP: Duration = Duration::from_millis(350);
/// Time by which a host accepts older data than the one above it in the tree, so that
/// the one above finds newer data first and passes it on.
const STALENESS_LIMIT_STEP_BELOW: Duration = Duration::from_millis(100);
/// Number of these steps at least in the largest limit.
const MIN_STEPS_OF_LIMIT: u32 = 10;
/// Levels below the first host of a region that differ in this way.
const STAGGERED_LEVELS: u32 = 3;

/// Upper bound of the time for which a starting host waits for others.
const MAX_STARTUP_WAIT: Duration = Duration::from_millis(2_700);

/// How a host obtains the state of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreSource<'a> {
    /// Hosts to ask, in order; if empty, the host reads the store itself.
    pub candidates: Vec<&'a Member>,
    /// Age of the others' state from which the host tries the next source.
    pub max_staleness: Duration,
    /// Time for which the host, if it starts without any state, waits for others
    /// before it reads the store.
    pub startup_wait: Duration,
}

/// The order in which hosts read the store for each other.
#[derive(Clone, Debug, Default)]
pub struct SourceTree {
    /// Hosts of each region in order; the region whose first host comes first
    /// in the order of all regions is first.
    regions: Vec<Vec<Member>>,
}

impl SourceTree {
    /// Computes the order: in each region, `readers` precede `others`.
    pub fn new(readers: &[Member], others: &[Member]) -> Self {
        let mut by_region: BTreeMap<&RegionId, Vec<Member>> = BTreeMap::new();
        for members in [readers, others] {
            for (region, members) in group_by_region(members) {
                let ordered = relay_set(ORDER_KEY, &members, members.len());
                let region = by_region.entry(region).or_default();
                region.extend(ordered.into_iter().cloned());
            }
        }
        let first_hosts: Vec<Member> = by_region
            .values()
            .filter_map(|members| members.first().cloned())
            .collect();
        let regions = relay_set(ORDER_KEY, &first_hosts, first_hosts.len())
            .into_iter()
            .filter_map(|first| by_region.get(&first.region).cloned())
            .collect();
        Self { regions }
    }

    /// Returns how `own` obtains the state of the store within `budget`.
    ///
    /// The first host of all asks no other host. A host that cannot use the
    /// store, `is_store_unavailable`, also asks the hosts that follow it in the
    /// order.
    pub fn source(
        &self,
        own: &Member,
        is_store_unavailable: bool,
        budget: ChangeBudget,
    ) -> StoreSource<'_> {
        let local = self.regions.iter().position(|members| {
            let first = members.first();
            first.is_some_and(|first| first.region == own.region)
        });
        let order = local.map_or(&[][..], |region| &self.regions[region]);
        let position = order.iter().position(|member| member.id == own.id);
        let is_first = position == Some(0);
        let rank = match position {
            Some(0) => local,
            Some(position) if position < LOCAL_CANDIDATES => {
                Some(self.regions.len() + position - 1)
            }
            _ => None,
        };
        // A host that is not listed yet is placed behind all others.
        let position = position.unwrap_or(order.len());
        let level = u32::try_from(ancestors(position).count()).unwrap_or(u32::MAX);
        let levels_below = STAGGERED_LEVELS.saturating_sub(level.max(1));
        let largest = budget.max_staleness();
        let step = STALENESS_LIMIT_STEP_BELOW.min(largest / MIN_STEPS_OF_LIMIT);
        let max_staleness = largest.saturating_sub(step * levels_below);
        let ancestors = ancestors(position).filter_map(|position| order.get(position));
        let nearby = order.iter().take(LOCAL_CANDIDATES);
        let nearby = nearby.take_while(|member| is_store_unavailable || member.id != own.id);
        let remote = self.regions.iter().filter_map(|members| members.first());
        let remote = remote
            .take_while(|member| !is_first || is_store_unavailable || member.id != own.id)
            .filter(|member| member.region != own.region);
        StoreSource {
            candidates: deduplicate_without(&own.id, ancestors.chain(nearby).chain(remote)),
            max_staleness: takeover_time(rank).min(max_staleness),
            startup_wait: takeover_time(rank).min(MAX_STARTUP_WAIT),
        }
    }
}

fn group_by_region(members: &[Member]) -> BTreeMap<&RegionId, Vec<Member>> {
    let mut by_region: BTreeMap<&RegionId, Vec<Member>> = BTreeMap::new();
    for member in members {
        let region = by_region.entry(&member.region).or_default();
        region.push(member.clone());
    }
    by_region
}

/// Returns the positions above `position` in the tree of a region, up to the first.
fn ancestors(position: usize) -> impl Iterator<Item = usize> {
    let parent = |position: &usize| position.checked_sub(1).map(|above| above / FAN_OUT);
    std::iter::successors(parent(&position), parent)
}

/// Returns the time without a source after which the host of `rank` takes over.
fn takeover_time(rank: Option<usize>) -> Duration {
    let steps = rank.map_or(u32::MAX, |rank| u32::try_from(rank).unwrap_or(u32::MAX));
    let additional = STALENESS_LIMIT_STEP.saturating_mul(steps);
    MIN_STALENESS_LIMIT.saturating_add(additional)
}

fn deduplicate_without<'a>(
    own_id: &str,
    members: impl Iterator<Item = &'a Member>,
) -> Vec<&'a Member> {
    let mut remaining: Vec<&Member> = Vec::new();
    for member in members {
        if member.id != own_id && !remaining.iter().any(|other| other.id == member.id) {
            remaining.push(member);
        }
    }
    remaining
}
