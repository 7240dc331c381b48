//! Which host reads the platform's store, and whom the others ask.
//!
//! Every call to the store is priced, its rates do not grow with the fleet,
//! and servers write there all the time, which costs bytes between regions.
//! One host therefore reads, one host of each other region asks it, and the
//! others ask that one. The order is computed like a relay set, a hint again:
//! whoever is asked answers from what it knows and says how old that is, and a
//! host that finds nobody to ask reads for itself.

use {
    crate::{relay_set, Member},
    std::{collections::BTreeMap, time::Duration},
};

/// Name under which the order is drawn.
const ORDER: &str = "reader";
/// Hosts of the own region that are asked before those of other regions: two
/// may be lost at the same time.
const CANDIDATES: usize = 3;

/// Shortest time for which a host bears with old knowledge of others.
const LEAST_PATIENCE: Duration = Duration::from_millis(1_000);
/// Further time for each host that would read before it, so that one host
/// takes over and not all of them at once.
const PATIENCE_STEP: Duration = Duration::from_millis(350);
/// Longest patience. A server that drains serves for 3 s at least after the
/// store knows, and a host that finds out needs to know by then.
const MOST_PATIENCE: Duration = Duration::from_millis(2_700);

/// What a host does to know what stands in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReaderDuty<'a> {
    /// Hosts to ask, the first one first; a host that has nobody to ask reads.
    pub candidates: Vec<&'a Member>,
    /// Age of the others' knowledge from which the host looks further.
    pub patience: Duration,
}

/// Returns the duty of `own` beside `readers`, the hosts that may read for others.
///
/// The first reader of all asks nobody. A host that the store turns away,
/// `is_cut`, asks also those that would ask it.
pub fn reader_duty<'a>(own: &Member, readers: &'a [Member], is_cut: bool) -> ReaderDuty<'a> {
    let firsts = first_readers(readers);
    let near = near_readers(own, readers);
    let place_near = near.iter().position(|member| member.id == own.id);
    let rank = match place_near {
        Some(0) => firsts.iter().position(|member| member.id == own.id),
        Some(place) => Some(firsts.len() + place - 1),
        None => None,
    };
    let is_first = place_near == Some(0);
    let far = firsts
        .into_iter()
        .filter(|member| member.region != own.region || is_first);
    let near = near.into_iter();
    let candidates = if is_cut {
        without(&own.id, near.chain(far).collect())
    } else if is_first {
        far.take_while(|member| member.id != own.id).collect()
    } else {
        near.take_while(|member| member.id != own.id)
            .chain(far)
            .collect()
    };
    ReaderDuty {
        candidates,
        patience: patience(rank),
    }
}

fn patience(rank: Option<usize>) -> Duration {
    let steps = rank.map_or(u32::MAX, |rank| u32::try_from(rank).unwrap_or(u32::MAX));
    let longer = PATIENCE_STEP.saturating_mul(steps);
    LEAST_PATIENCE.saturating_add(longer).min(MOST_PATIENCE)
}

fn near_readers<'a>(own: &Member, members: &'a [Member]) -> Vec<&'a Member> {
    let near: Vec<Member> = members
        .iter()
        .filter(|member| member.region == own.region)
        .cloned()
        .collect();
    relay_set(ORDER, &near, CANDIDATES)
        .into_iter()
        .filter_map(|member| members.iter().find(|known| known.id == member.id))
        .collect()
}

fn without<'a>(own_id: &str, members: Vec<&'a Member>) -> Vec<&'a Member> {
    let mut kept: Vec<&Member> = Vec::with_capacity(members.len());
    for member in members {
        if member.id != own_id && !kept.iter().any(|known| known.id == member.id) {
            kept.push(member);
        }
    }
    kept
}

/// Returns the first reader of every region, in the order of all.
fn first_readers(members: &[Member]) -> Vec<&Member> {
    let mut by_region: BTreeMap<&str, Vec<Member>> = BTreeMap::new();
    for member in members {
        let of_region = by_region.entry(&member.region).or_default();
        of_region.push(member.clone());
    }
    let firsts: Vec<Member> = by_region
        .into_values()
        .filter_map(|of_region| {
            relay_set(ORDER, &of_region, 1)
                .first()
                .map(|m| (*m).clone())
        })
        .collect();
    relay_set(ORDER, &firsts, firsts.len())
        .into_iter()
        .filter_map(|member| members.iter().find(|known| known.id == member.id))
        .collect()
}
