//! Which hosts read the platform's store, and whom the others ask.
//!
//! Every call to the store is priced and its rates do not grow with the
//! fleet, while servers write all the time. One host of each region therefore
//! reads, and the others ask it. The order is computed like a relay set, a
//! hint again: whoever is asked answers from what it knows and says how old
//! that is, and a host that finds nobody to ask reads for itself.

use crate::{relay_set, Member};

/// Name under which the order is drawn.
const ORDER: &str = "reader";
/// Hosts of the own region that are asked before those of other regions: two
/// may be lost at the same time.
const CANDIDATES: usize = 3;

/// Returns the hosts that `own_id` asks, the first one first.
///
/// The first reader of a region asks nobody, the second one asks the first.
/// A host that the store turns away, `is_cut`, asks also those that would ask it.
pub fn reader_candidates<'a>(own_id: &str, members: &'a [Member], is_cut: bool) -> Vec<&'a Member> {
    let Some(own) = members.iter().find(|member| member.id == own_id) else {
        return first_readers(members, None);
    };
    let (near, far): (Vec<Member>, Vec<Member>) = members
        .iter()
        .cloned()
        .partition(|member| member.region == own.region);
    let near = relay_set(ORDER, &near, CANDIDATES);
    let before = near.iter().take_while(|member| member.id != own_id);
    let after = near.iter().skip_while(|member| member.id != own_id);
    let mut ids: Vec<&str> = before.map(|member| member.id.as_str()).collect();
    if is_cut {
        ids.extend(after.skip(1).map(|member| member.id.as_str()));
    }
    let find = |id: &str| members.iter().find(|member| member.id == id);
    let mut candidates: Vec<&Member> = ids.into_iter().filter_map(find).collect();
    let is_first = near.first().is_some_and(|member| member.id == own_id);
    if is_cut || !is_first {
        let far = first_readers(&far, Some(&own.region));
        candidates.extend(far.into_iter().filter_map(|member| find(&member.id)));
    }
    candidates
}

/// Returns the first reader of every region but `without`.
fn first_readers<'a>(members: &'a [Member], without: Option<&str>) -> Vec<&'a Member> {
    let mut regions: Vec<&str> = members.iter().map(|m| m.region.as_str()).collect();
    regions.sort_unstable();
    regions.dedup();
    let wanted = regions
        .into_iter()
        .filter(|region| Some(*region) != without);
    let first = wanted.filter_map(|region| {
        let of_region: Vec<Member> = members
            .iter()
            .filter(|member| member.region == region)
            .cloned()
            .collect();
        let id = relay_set(ORDER, &of_region, 1)
            .first()
            .map(|m| m.id.clone())?;
        members.iter().find(|member| member.id == id)
    });
    first.collect()
}
